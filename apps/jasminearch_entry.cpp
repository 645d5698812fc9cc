#include "jasminearch/clock.h"
#include "jasminearch/control/command.h"
#include "jasminearch/link/control_client.h"
#include "jasminearch/log.h"
#include "jasminearch/net/udp_socket.h"
#include "jasminearch/routing/entry_relay.h"
#include "jasminearch/settings.h"
#include <atomic>
#include <chrono>
#include <csignal>
#include <getopt.h>
#include <iostream>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <thread>

using namespace jasminearch;
using namespace jasminearch::routing;

/// Entry host: takes callers' datagrams from the fabric, hands them to agents,
/// and returns answers. Keeps no state of flows.
namespace {

constexpr const char *Version = "0.1.0";

constexpr const char *Usage =
    R"(jasminearch-entry: takes callers' datagrams and hands them to agents.

  --config FILE  settings (TOML)
  --check        check the settings and exit
  --version
  --help

SIGTERM and SIGINT: leave, keep forwarding for a short while, then exit.
)";

/// How often counts are handed to the control thread.
constexpr std::chrono::seconds CountsInterval{1};

/// Time to go on after leaving: agents learn within 3 s (promise 8) that they
/// must send answers through another entry host.
constexpr std::chrono::seconds ShortestLinger{3};

/// The fabric may be told late that this host leaves, so it goes on while
/// datagrams arrive, but not longer than this.
constexpr std::chrono::seconds LongestLinger{10};

/// Without datagrams for this long, none is on its way any more.
constexpr std::chrono::milliseconds QuietTime{200};

/// Batches that a traffic thread still takes when it is told to stop.
constexpr int LastBatches = 1'000;

struct CommandLine {
  std::string Config;
  bool Check = false;
  bool Help = false;
  bool Version = false;
};

std::optional<CommandLine> parseCommandLine(int Argc, char **Argv) {
  constexpr option Known[] = {{"config", required_argument, nullptr, 'c'},
                              {"check", no_argument, nullptr, 'k'},
                              {"help", no_argument, nullptr, 'h'},
                              {"version", no_argument, nullptr, 'v'},
                              {nullptr, 0, nullptr, 0}};
  CommandLine Parsed;
  int Letter = 0;
  while ((Letter = getopt_long(Argc, Argv, "", Known, nullptr)) != -1) {
    if (Letter == '?')
      return std::nullopt;
    if (Letter == 'c')
      Parsed.Config = optarg;
    Parsed.Check = Parsed.Check || Letter == 'k';
    Parsed.Help = Parsed.Help || Letter == 'h';
    Parsed.Version = Parsed.Version || Letter == 'v';
  }
  const bool Complete = Parsed.Help || Parsed.Version || !Parsed.Config.empty();
  if (!Complete || optind != Argc)
    return std::nullopt;
  return Parsed;
}

/// Differs between runs of this program.
std::uint64_t makeRunId() {
  std::random_device Source;
  constexpr unsigned Half = 32;
  return std::uint64_t{Source()} << Half | Source();
}

/// Sockets of the daemon.
struct Sockets {
  net::UdpSocket Fabric;
  net::UdpSocket Tunnel;
};

Expected<Sockets> openSockets(const EntrySettings &Settings) {
  auto Fabric = net::bindUdp(Settings.FabricListen, {});
  if (!Fabric)
    return tl::unexpected(Fabric.error());
  auto Tunnel = net::bindUdp(Settings.Tunnel, {});
  if (!Tunnel)
    return tl::unexpected(Tunnel.error());
  return Sockets{std::move(*Fabric), std::move(*Tunnel)};
}

/// Puts configurations in force as they arrive from the control hosts. Used by
/// the control thread, except for counts().
class ConfigurationUser {
public:
  explicit ConfigurationUser(RoutingSnapshotHolder &Target) : Target(Target) {}

  void take(const control::Configuration &Next) {
    auto Routing = buildRoutingSnapshot(Target.load(), Next);
    if (!Routing) {
      ++Refused;
      logError("configuration_refused", Routing.error());
      return;
    }
    Target.store(std::move(*Routing));
    ++Accepted;
    logEvent(LogLevel::Info, "configuration_in_force",
             {{"revision", Next.InForce.Number}});
  }

  ConfigurationCounts counts() const { return {Accepted, Refused}; }

private:
  RoutingSnapshotHolder &Target;
  std::atomic<std::uint64_t> Accepted{0};
  std::atomic<std::uint64_t> Refused{0};
};

/// Both directions of traffic, one thread each.
class Traffic {
public:
  Traffic(const EntrySettings &Settings, const Sockets &Open,
          const RoutingSnapshotHolder &Routing, std::uint64_t RunId)
      : Forwards(Routing, Open.Fabric, Open.Tunnel, Settings.Tunnel,
                 Settings.FabricReturn,
                 makeTraceIdGenerator(Settings.Common.Name, RunId),
                 makeLog(Settings)),
        Answers(Routing, Open.Tunnel, Open.Fabric, Settings.Tunnel,
                Settings.FabricReturn, {}, makeLog(Settings)),
        ForwardThread(
            [this] { serve([this] { return Forwards.forwardBatch(); }); }),
        AnswerThread(
            [this] { serve([this] { return Answers.answerBatch(); }); }) {}

  ~Traffic() {
    Stop = true;
    ForwardThread.join();
    AnswerThread.join();
  }

  Traffic(const Traffic &) = delete;
  Traffic &operator=(const Traffic &) = delete;

  EntryCounts counts() const {
    EntryCounts Sum = Forwards.counts();
    add(Sum, Answers.counts());
    return Sum;
  }

private:
  static RelayLogOptions makeLog(const EntrySettings &Settings) {
    RelayLogOptions Log;
    Log.Datagrams = Settings.Common.LogLevel == "debug";
    return Log;
  }

  /// Moves batches until told to stop, and then those that still wait.
  template <typename BatchStep> void serve(BatchStep Step) {
    while (!Stop)
      Step();
    for (int Left = LastBatches; Left > 0 && Step() > 0; --Left) {
    }
  }

  std::atomic<bool> Stop{false};
  EntryRelay Forwards;
  EntryRelay Answers;
  std::thread ForwardThread;
  std::thread AnswerThread;
};

link::ControlClientOptions clientOptions(const EntrySettings &Settings,
                                         std::uint64_t RunId) {
  link::ControlClientOptions Options;
  Options.Cluster = Settings.Common.Cluster;
  Options.Name = Settings.Common.Name;
  Options.LinkKey = Settings.Common.LinkKey;
  for (const ControlHost &Host : Settings.ControlHosts)
    Options.ControlHosts.push_back(Host.Address);
  Options.Announcement = control::EntryAnnouncement{
      Settings.Common.Name, Settings.Common.DataCentre, Settings.Tunnel, RunId};
  return Options;
}

/// Blocks the signals that end the program, in this and all later threads.
sigset_t blockStopSignals() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  return Signals;
}

/// Waits for a signal and hands over counts until one comes.
void serveUntil(const sigset_t &Signals, const Traffic &Moving,
                const ConfigurationUser &Configurations,
                link::ControlClient &Client) {
  const timespec Interval{CountsInterval.count(), 0};
  while (sigtimedwait(&Signals, nullptr, &Interval) < 0)
    Client.setOutcomeCounts(
        promiseCounts(Moving.counts(), Configurations.counts()));
}

/// Goes on forwarding, so that no datagram already on its way is dropped.
void linger(const Traffic &Moving) {
  const auto Start = std::chrono::steady_clock::now();
  EntryCounts Before = Moving.counts();
  while (true) {
    std::this_thread::sleep_for(QuietTime);
    const auto Passed = std::chrono::steady_clock::now() - Start;
    EntryCounts Now = Moving.counts();
    const bool Quiet = Now == Before;
    if (Passed >= LongestLinger || (Quiet && Passed >= ShortestLinger))
      return;
    Before = std::move(Now);
  }
}

void logTotals(const EntryCounts &Counts) {
  ServiceCounts Sum;
  for (const auto &[Id, Service] : Counts.Services) {
    Sum.Forwarded += Service.Forwarded;
    Sum.Answered += Service.Answered;
    Sum.NoUpstream += Service.NoUpstream;
    Sum.RefusedAnswers += Service.RefusedAnswers;
  }
  logEvent(LogLevel::Info, "entry_stopped",
           {{"forwarded", Sum.Forwarded},
            {"answered", Sum.Answered},
            {"no_upstream", Sum.NoUpstream},
            {"refused_answers", Sum.RefusedAnswers},
            {"unknown_address", Counts.UnknownAddress},
            {"unknown_service", Counts.UnknownService},
            {"bad_header", Counts.BadHeader},
            {"bad_frame", Counts.BadFrame},
            {"oversize", Counts.Oversize},
            {"send_failed", Counts.SendFailed}});
}

int serve(const EntrySettings &Settings, const Sockets &Open,
          const sigset_t &Signals) {
  const SystemClock Time;
  const std::uint64_t RunId = makeRunId();
  RoutingSnapshotHolder Routing;
  ConfigurationUser Configurations(Routing);
  const Traffic Moving(Settings, Open, Routing, RunId);
  const auto Client = link::startControlClient(
      clientOptions(Settings, RunId), Time,
      {[&](const std::shared_ptr<const control::Configuration> &Next) {
         Configurations.take(*Next);
       },
       [](UpstreamId, Incarnation) {
         logEvent(LogLevel::Info, "announcement_committed");
       }});
  logEvent(LogLevel::Info, "entry_started",
           {{"fabric_listen", toString(Settings.FabricListen)},
            {"tunnel", toString(Settings.Tunnel)}});
  serveUntil(Signals, Moving, Configurations, *Client);
  logEvent(LogLevel::Info, "entry_leaving");
  Client->leave();
  linger(Moving);
  logTotals(Moving.counts());
  return 0;
}

int run(const CommandLine &Parsed) {
  const auto Settings = loadEntrySettings(Parsed.Config);
  if (!Settings) {
    std::cerr << toString(Settings.error()) << '\n';
    return 1;
  }
  if (Parsed.Check) {
    std::cout << Parsed.Config << ": settings are valid\n";
    return 0;
  }
  startLog("jasminearch-entry", Settings->Common.Name,
           Settings->Common.LogLevel);
  const sigset_t Signals = blockStopSignals();
  const auto Open = openSockets(*Settings);
  if (!Open) {
    logError("entry_failed", Open.error());
    return 1;
  }
  return serve(*Settings, *Open, Signals);
}

} // namespace

int main(int Argc, char **Argv) {
  const auto Parsed = parseCommandLine(Argc, Argv);
  if (!Parsed) {
    std::cerr << Usage;
    return 2;
  }
  if (Parsed->Help || Parsed->Version) {
    std::cout << (Parsed->Help ? Usage : Version) << (Parsed->Help ? "" : "\n");
    return 0;
  }
  return run(*Parsed);
}
