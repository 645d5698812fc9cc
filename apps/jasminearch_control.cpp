#include "jasminearch/clock.h"
#include "jasminearch/link/control_daemon.h"
#include "jasminearch/log.h"
#include "jasminearch/settings.h"
#include <csignal>
#include <getopt.h>
#include <iostream>
#include <optional>
#include <pthread.h>
#include <string>
#include <thread>
#include <unistd.h>

using namespace jasminearch;

namespace {

constexpr auto Usage =
    "Usage: jasminearch-control --config FILE [--check] [--bootstrap]\n"
    "\n"
    "Runs a control host, which holds a replica of the control state.\n"
    "\n"
    "  --config FILE  settings file (TOML)\n"
    "  --check        validate the settings file and exit\n"
    "  --bootstrap    create the data folder as one of the initial members;\n"
    "                 only for the first start of a new cluster\n"
    "  --help         show this text and exit\n"
    "  --version      show the version and exit\n";

/// Exit status for invalid command lines.
constexpr int ExitUsage = 2;

struct CommandLine {
  std::string Config;
  bool Check = false;
  bool Bootstrap = false;
  /// Set if the program should exit without serving.
  std::optional<int> ExitStatus;
};

CommandLine parseCommandLine(int Argc, char **Argv) {
  const option Options[] = {{"config", required_argument, nullptr, 'c'},
                            {"check", no_argument, nullptr, 'k'},
                            {"bootstrap", no_argument, nullptr, 'b'},
                            {"help", no_argument, nullptr, 'h'},
                            {"version", no_argument, nullptr, 'v'},
                            {nullptr, 0, nullptr, 0}};
  CommandLine Arguments;
  int Option = 0;
  while ((Option = getopt_long(Argc, Argv, "", Options, nullptr)) != -1) {
    switch (Option) {
    case 'c':
      Arguments.Config = optarg;
      break;
    case 'k':
      Arguments.Check = true;
      break;
    case 'b':
      Arguments.Bootstrap = true;
      break;
    case 'h':
      std::cout << Usage;
      Arguments.ExitStatus = 0;
      return Arguments;
    case 'v':
      std::cout << "jasminearch-control 0.1.0\n";
      Arguments.ExitStatus = 0;
      return Arguments;
    default:
      Arguments.ExitStatus = ExitUsage;
      return Arguments;
    }
  }
  if (Arguments.Config.empty() || optind < Argc) {
    std::cerr << Usage;
    Arguments.ExitStatus = ExitUsage;
  }
  return Arguments;
}

/// Blocks the signals that stop the program, so that one thread can wait for
/// them. Call it before any other thread starts.
sigset_t blockSignals() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  return Signals;
}

int serve(const ControlSettings &Settings, bool Bootstrap) {
  const sigset_t Signals = blockSignals();
  const SystemClock Time;
  auto Daemon = link::openControlDaemon(Settings, Bootstrap, Time);
  if (!Daemon) {
    logError("start_failed", Daemon.error());
    return 1;
  }
  logEvent(LogLevel::Info, "started");
  std::thread SignalThread([&] {
    int Signal = 0;
    sigwait(&Signals, &Signal);
    (*Daemon)->stop();
  });
  const Expected<void> RunResult = (*Daemon)->run();
  if (!RunResult) {
    logError("stopped", RunResult.error());
    // Wakes the thread that waits for signals.
    kill(getpid(), SIGTERM);
  }
  SignalThread.join();
  if (RunResult)
    logEvent(LogLevel::Info, "stopped");
  return RunResult ? 0 : 1;
}

} // namespace

int main(int Argc, char **Argv) {
  const CommandLine Arguments = parseCommandLine(Argc, Argv);
  if (Arguments.ExitStatus)
    return *Arguments.ExitStatus;
  const Expected<ControlSettings> Settings =
      loadControlSettings(Arguments.Config);
  if (!Settings) {
    std::cerr << toString(Settings.error()) << "\n";
    return 1;
  }
  if (Arguments.Check) {
    std::cout << Arguments.Config << ": ok\n";
    return 0;
  }
  initializeLogging("jasminearch-control", Settings->Common.Name,
                    Settings->Common.LogLevel);
  return serve(*Settings, Arguments.Bootstrap);
}
