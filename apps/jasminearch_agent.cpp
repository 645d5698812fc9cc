#include "jasminearch/agent/take_over.h"
#include "jasminearch/agent/traffic_loop.h"
#include "jasminearch/clock.h"
#include "jasminearch/link/control_client.h"
#include "jasminearch/log.h"
#include "jasminearch/settings.h"
#include <csignal>
#include <getopt.h>
#include <iostream>
#include <optional>
#include <random>
#include <sys/resource.h>
#include <thread>

using namespace jasminearch;
using namespace jasminearch::agent;

namespace {

/// Exit statuses; 0 is a clean stop or a completed hand-over.
constexpr int ExitUsage = 2;
constexpr int ExitUpstreamGone = 3;
constexpr int ExitTakeOverFailed = 4;

/// Descriptors that are not flows: links, logs, standard streams.
constexpr rlim_t OtherDescriptors = 64;
constexpr std::chrono::milliseconds SupervisionInterval{50};
constexpr std::chrono::seconds CountInterval{1};
constexpr std::chrono::milliseconds ListenInterval{500};

struct CommandLine {
  std::string Config;
  bool Check = false;
  std::optional<Endpoint> TakeOver;
};

void printHelp() {
  std::cout << "jasminearch-agent --config FILE [--check] "
               "[--take-over IP:PORT]\n"
               "  --config FILE        settings file (TOML)\n"
               "  --check              check the settings file and exit\n"
               "  --take-over IP:PORT  take over from the running agent whose "
               "take_over\n"
               "                       setting is IP:PORT\n"
               "  --help, --version\n";
}

const option LongOptions[] = {{"config", required_argument, nullptr, 'c'},
                              {"check", no_argument, nullptr, 'k'},
                              {"take-over", required_argument, nullptr, 't'},
                              {"help", no_argument, nullptr, 'h'},
                              {"version", no_argument, nullptr, 'v'},
                              {nullptr, 0, nullptr, 0}};

/// Reads the command line. \returns nothing when the process should exit with
/// \p Status.
std::optional<CommandLine> readCommandLine(int Argc, char **Argv, int &Status) {
  CommandLine Out;
  int Option = 0;
  while ((Option = getopt_long(Argc, Argv, "", LongOptions, nullptr)) != -1) {
    if (Option == 'h' || Option == 'v') {
      Option == 'h' ? printHelp()
                    : void(std::cout << "jasminearch-agent 0.1.0\n");
      Status = EXIT_SUCCESS;
      return std::nullopt;
    }
    Status = ExitUsage;
    if (Option == 'c') {
      Out.Config = optarg;
    } else if (Option == 'k') {
      Out.Check = true;
    } else if (Option == 't') {
      const auto Parsed = parseEndpoint(optarg);
      if (!Parsed) {
        std::cerr << "--take-over: " << toString(Parsed.error()) << '\n';
        return std::nullopt;
      }
      Out.TakeOver = *Parsed;
    } else {
      return std::nullopt;
    }
  }
  if (!Out.Config.empty() && optind == Argc)
    return Out;
  Status = ExitUsage;
  std::cerr << "--config FILE is needed; see --help\n";
  return std::nullopt;
}

AgentOptions optionsFrom(const AgentSettings &Settings) {
  AgentOptions Out;
  Out.Slots = Settings.Slots;
  rlimit Descriptors{};
  if (getrlimit(RLIMIT_NOFILE, &Descriptors) == 0 &&
      Descriptors.rlim_cur > OtherDescriptors)
    Out.MaxFlows = std::min<std::size_t>(Out.MaxFlows, Descriptors.rlim_cur -
                                                           OtherDescriptors);
  return Out;
}

link::ControlClientOptions clientOptions(const AgentSettings &Settings,
                                         std::uint64_t RunId) {
  link::ControlClientOptions Out;
  Out.Cluster = Settings.Common.Cluster;
  Out.Name = Settings.Common.Name;
  Out.LinkKey = Settings.Common.LinkKey;
  for (const ControlHost &Host : Settings.ControlHosts)
    Out.ControlHosts.push_back(Host.Address);
  Out.Announcement = control::UpstreamAnnouncement{
      Settings.Common.Name, Settings.Service, Settings.Common.DataCentre,
      Settings.Tunnel,      Settings.Slots,   RunId};
  return Out;
}

/// Threads and links of one running agent.
struct Daemon {
  AgentSettings Settings;
  std::uint64_t RunId = 0;
  SystemClock Time;
  std::unique_ptr<TrafficLoop> Traffic;
  std::unique_ptr<link::ControlClient> Control;
  std::unique_ptr<TakeOverServer> Successor;
  TimePoint NextListen{};
  std::thread TrafficThread;
};

void startControl(Daemon &D) {
  link::ControlClientHandlers Handlers;
  Handlers.Configured =
      [&D](std::shared_ptr<const control::Configuration> Config) {
        D.Traffic->post(ConfigurationChanged{std::move(Config)});
      };
  Handlers.Announced = [&D](UpstreamId Self, Incarnation Instance) {
    logEvent(LogLevel::Info, "announced",
             {{"upstream", std::uint64_t{Self.Number}},
              {"incarnation", Instance.Number}});
    D.Traffic->post(Announced{Self, Instance});
  };
  D.Control = link::startControlClient(clientOptions(D.Settings, D.RunId),
                                       D.Time, std::move(Handlers));
}

/// Listens for a successor, or tries again later: during a planned restart the
/// predecessor holds the port until it has exited.
void listenForSuccessor(Daemon &D) {
  if (D.Successor || D.Time.now() < D.NextListen)
    return;
  const bool First = D.NextListen == TimePoint{};
  D.NextListen = D.Time.now() + ListenInterval;
  auto Listening = startTakeOverServer(
      D.Settings, [&D] { return D.Traffic->handOver().get(); });
  if (Listening)
    D.Successor = std::move(*Listening);
  else if (First)
    logError("take_over_unavailable", Listening.error());
}

/// Serves until a signal, a successor or the loss of the upstream ends it.
int supervise(Daemon &D, const sigset_t &Signals) {
  const timespec Pause{0,
                       std::chrono::nanoseconds(SupervisionInterval).count()};
  TimePoint NextCounts = D.Time.now();
  bool Leaving = false;
  while (true) {
    const int Signal = sigtimedwait(&Signals, nullptr, &Pause);
    listenForSuccessor(D);
    if (D.Successor && D.Successor->finished())
      return EXIT_SUCCESS;
    if (D.Time.now() >= NextCounts) {
      NextCounts = D.Time.now() + CountInterval;
      D.Control->setOutcomeCounts(D.Traffic->counts());
    }
    if (D.Traffic->upstreamGone()) {
      D.Control->leave();
      return ExitUpstreamGone;
    }
    if (Signal > 0 && !Leaving) {
      Leaving = true;
      logEvent(LogLevel::Info, "stop_requested");
      D.Traffic->post(StopRequested{});
      D.Control->leave();
    }
    if (Leaving && D.Traffic->stopped()) {
      D.Control->setOutcomeCounts(D.Traffic->counts());
      return EXIT_SUCCESS;
    }
  }
}

int serve(Daemon &D, std::unique_ptr<State> Initial, const sigset_t &Signals) {
  D.Traffic = std::make_unique<TrafficLoop>(
      std::move(Initial),
      TrafficEndpoints{D.Settings.Tunnel, D.Settings.Upstream}, D.Time);
  if (const auto Opened = D.Traffic->open(); !Opened) {
    logError("tunnel_not_opened", Opened.error());
    return EXIT_FAILURE;
  }
  D.TrafficThread = std::thread([&D] { D.Traffic->run(); });
  startControl(D);
  const int Status = supervise(D, Signals);
  D.Successor.reset();
  D.Control.reset();
  D.Traffic->quit();
  D.TrafficThread.join();
  logEvent(LogLevel::Info, "stopped", {{"status", std::int64_t{Status}}});
  return Status;
}

std::uint64_t freshRunId() {
  std::random_device Source;
  constexpr unsigned WordBits = 32;
  return (std::uint64_t{Source()} << WordBits) | Source();
}

int runAgent(const AgentSettings &Settings, const CommandLine &Line) {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  // Blocked here, so that every thread inherits it and only supervise() takes
  // the signals.
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  Daemon D;
  D.Settings = Settings;
  const auto Key = makePermitKey();
  if (!Key) {
    logError("permit_key_unavailable", Key.error());
    return EXIT_FAILURE;
  }
  auto Initial =
      std::make_unique<State>(optionsFrom(Settings), *Key, D.Time.now());
  Initial->RunId = freshRunId();
  if (Line.TakeOver) {
    const auto Taken = takeOver(Settings, *Line.TakeOver, *Initial, D.Time);
    if (!Taken) {
      logError("take_over_failed", Taken.error());
      return ExitTakeOverFailed;
    }
    logEvent(LogLevel::Info, "taken_over",
             {{"flows", static_cast<std::uint64_t>(Initial->Flows.ById.size())},
              {"records",
               static_cast<std::uint64_t>(Initial->Records.ByNonce.size())}});
  }
  D.RunId = Initial->RunId;
  return serve(D, std::move(Initial), Signals);
}

} // namespace

int main(int Argc, char **Argv) {
  int Status = EXIT_SUCCESS;
  const auto Line = readCommandLine(Argc, Argv, Status);
  if (!Line)
    return Status;
  const auto Settings = loadAgentSettings(Line->Config);
  if (!Settings) {
    std::cerr << toString(Settings.error()) << '\n';
    return EXIT_FAILURE;
  }
  if (Line->Check) {
    std::cout << Line->Config << ": valid\n";
    return EXIT_SUCCESS;
  }
  startLog("jasminearch-agent", Settings->Common.Name,
           Settings->Common.LogLevel);
  return runAgent(*Settings, *Line);
}
