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

/// Entry host: forwards callers' datagrams from the fabric to agents and
/// answers from agents to the fabric. Keeps no flow state.
namespace {

constexpr const char *Version = "0.1.0";

constexpr const char *Usage =
    R"(jasminearch-entry: forwards callers' datagrams to agents.

  --config FILE  settings file (TOML)
  --check        validate the settings file and exit
  --version
  --help

SIGTERM and SIGINT: leave the cluster, keep forwarding for a few seconds, exit.
)";

/// Interval at which counts are passed to the control client.
constexpr std::chrono::seconds CountReportInterval{1};

/// Minimum time to keep forwarding after leaving. Agents learn within 3 s
/// (promise 8) that they must send answers through another entry host.
constexpr std::chrono::seconds MinShutdownDelay{3};

/// Maximum time to keep forwarding after leaving. The fabric may learn late
/// that this host leaves, so the host forwards as long as datagrams arrive, up
/// to this time.
constexpr std::chrono::seconds MaxShutdownDelay{10};

/// If no datagram arrives for this long, none is in transit any more.
constexpr std::chrono::milliseconds QuietInterval{200};

/// Maximum number of batches that a traffic thread relays after the request to
/// stop.
constexpr int MaxFinalBatches = 1'000;

struct CommandLine {
  std::string Config;
  bool Check = false;
  bool Help = false;
  bool Version = false;
};

std::optional<CommandLine> parseCommandLine(int Argc, char **Argv) {
  constexpr option LongOptions[] = {{"config", required_argument, nullptr, 'c'},
                                    {"check", no_argument, nullptr, 'k'},
                                    {"help", no_argument, nullptr, 'h'},
                                    {"version", no_argument, nullptr, 'v'},
                                    {nullptr, 0, nullptr, 0}};
  CommandLine Parsed;
  int Option = 0;
  while ((Option = getopt_long(Argc, Argv, "", LongOptions, nullptr)) != -1) {
    if (Option == '?')
      return std::nullopt;
    if (Option == 'c')
      Parsed.Config = optarg;
    Parsed.Check = Parsed.Check || Option == 'k';
    Parsed.Help = Parsed.Help || Option == 'h';
    Parsed.Version = Parsed.Version || Option == 'v';
  }
  const bool Complete = Parsed.Help || Parsed.Version || !Parsed.Config.empty();
  if (!Complete || optind != Argc)
    return std::nullopt;
  return Parsed;
}

/// \returns a random id that identifies this run of the program.
std::uint64_t generateRunId() {
  std::random_device Source;
  constexpr unsigned HalfBits = 32;
  return std::uint64_t{Source()} << HalfBits | Source();
}

/// The bound sockets of an entry host.
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

/// Puts configurations from the control hosts in force. Used by the control
/// thread only, except for counts().
class ConfigurationApplier {
public:
  explicit ConfigurationApplier(RoutingSnapshotHolder &Target)
      : Target(Target) {}

  void apply(const control::Configuration &Next) {
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

/// Relays both directions of traffic, each on its own thread.
class Traffic {
public:
  Traffic(const EntrySettings &Settings, const Sockets &BoundSockets,
          const RoutingSnapshotHolder &Routing, std::uint64_t RunId)
      : ForwardRelay(Routing, BoundSockets.Fabric, BoundSockets.Tunnel,
                     Settings.Tunnel, Settings.FabricReturn,
                     makeTraceIdGenerator(Settings.Common.Name, RunId),
                     relayLogOptions(Settings)),
        AnswerRelay(Routing, BoundSockets.Tunnel, BoundSockets.Fabric,
                    Settings.Tunnel, Settings.FabricReturn, {},
                    relayLogOptions(Settings)),
        ForwardThread(
            [this] { serve([this] { return ForwardRelay.forwardBatch(); }); }),
        AnswerThread(
            [this] { serve([this] { return AnswerRelay.answerBatch(); }); }) {}

  ~Traffic() {
    Stop = true;
    ForwardThread.join();
    AnswerThread.join();
  }

  Traffic(const Traffic &) = delete;
  Traffic &operator=(const Traffic &) = delete;

  EntryCounts counts() const {
    EntryCounts Sum = ForwardRelay.counts();
    add(Sum, AnswerRelay.counts());
    return Sum;
  }

private:
  static RelayLogOptions relayLogOptions(const EntrySettings &Settings) {
    RelayLogOptions Log;
    Log.Datagrams = Settings.Common.LogLevel == "debug";
    return Log;
  }

  /// Relays batches until Stop is set, then those still queued in the socket.
  template <typename BatchFunction> void serve(BatchFunction RelayBatch) {
    while (!Stop)
      RelayBatch();
    for (int BatchesLeft = MaxFinalBatches; BatchesLeft > 0 && RelayBatch() > 0;
         --BatchesLeft) {
    }
  }

  std::atomic<bool> Stop{false};
  EntryRelay ForwardRelay;
  EntryRelay AnswerRelay;
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

/// Blocks the signals that stop the program, in this and all later threads.
sigset_t blockStopSignals() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  return Signals;
}

/// Passes the counts to the control client until a signal arrives.
void reportCountsUntilSignal(const sigset_t &Signals, const Traffic &Relays,
                             const ConfigurationApplier &Configurations,
                             link::ControlClient &Client) {
  const timespec Interval{CountReportInterval.count(), 0};
  while (sigtimedwait(&Signals, nullptr, &Interval) < 0)
    Client.setOutcomeCounts(
        promiseCounts(Relays.counts(), Configurations.counts()));
}

/// Waits while the relays deliver datagrams that are still in transit.
void waitForQuietTraffic(const Traffic &Relays) {
  const auto Start = std::chrono::steady_clock::now();
  EntryCounts Previous = Relays.counts();
  while (true) {
    std::this_thread::sleep_for(QuietInterval);
    const auto Elapsed = std::chrono::steady_clock::now() - Start;
    EntryCounts Latest = Relays.counts();
    const bool Quiet = Latest == Previous;
    if (Elapsed >= MaxShutdownDelay || (Quiet && Elapsed >= MinShutdownDelay))
      return;
    Previous = std::move(Latest);
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

int serve(const EntrySettings &Settings, const Sockets &BoundSockets,
          const sigset_t &Signals) {
  const SystemClock Time;
  const std::uint64_t RunId = generateRunId();
  RoutingSnapshotHolder Routing;
  ConfigurationApplier Configurations(Routing);
  const Traffic Relays(Settings, BoundSockets, Routing, RunId);
  const auto Client = link::startControlClient(
      clientOptions(Settings, RunId), Time,
      {[&](const std::shared_ptr<const control::Configuration> &Next) {
         Configurations.apply(*Next);
       },
       [](UpstreamId, Incarnation) {
         logEvent(LogLevel::Info, "announcement_committed");
       }});
  logEvent(LogLevel::Info, "entry_started",
           {{"fabric_listen", toString(Settings.FabricListen)},
            {"tunnel", toString(Settings.Tunnel)}});
  reportCountsUntilSignal(Signals, Relays, Configurations, *Client);
  logEvent(LogLevel::Info, "entry_leaving");
  Client->leave();
  waitForQuietTraffic(Relays);
  logTotals(Relays.counts());
  return 0;
}

int run(const CommandLine &Parsed) {
  const auto Settings = loadEntrySettings(Parsed.Config);
  if (!Settings) {
    std::cerr << toString(Settings.error()) << '\n';
    return 1;
  }
  if (Parsed.Check) {
    std::cout << Parsed.Config << ": settings file is valid\n";
    return 0;
  }
  initializeLogging("jasminearch-entry", Settings->Common.Name,
                    Settings->Common.LogLevel);
  const sigset_t Signals = blockStopSignals();
  const auto BoundSockets = openSockets(*Settings);
  if (!BoundSockets) {
    logError("entry_failed", BoundSockets.error());
    return 1;
  }
  return serve(*Settings, *BoundSockets, Signals);
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
