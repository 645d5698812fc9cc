#include "jasminearch/settings.h"
#include "standins/lib/fabric_loop.h"
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <atomic>
#include <csignal>
#include <getopt.h>
#include <iostream>
#include <optional>
#include <string>
#include <thread>

using namespace jasminearch;
using namespace standins;

namespace {

constexpr const char *Usage =
    R"(jasminearch-fabric: sends each caller datagram to a random entry host.

  --service A.B.C.D:PORT    service address to listen on; repeatable
  --entries LIST            entry hosts, separated by commas; repeatable
  --return A.B.C.D:PORT     address where entry hosts send answers
  --control A.B.C.D:PORT    address for text commands over UDP (loopback only):
                            add, remove, cut, heal ENTRY; loss SHARE; counts
  --seed N                  seed of the random faults (default 1)
  --delay MS                one-way delay (default 0)
  --jitter MS               maximum random addition to the delay (default 0)
  --loss SHARE              share of lost datagrams, 0 to 1 (default 0)
  --duplicate SHARE         share of duplicated datagrams, 0 to 1 (default 0)
  --reorder SHARE           share of reordered datagrams, 0 to 1 (default 0)
  --reorder-delay MS        extra delay of reordered datagrams (default 5)
  --help

On SIGTERM or SIGINT, prints the counts as one line of JSON and exits.
)";

struct Options {
  FabricAddresses Addresses;
  FabricState InitialState;
  bool Help = false;
};

bool parseEndpointOption(const std::string &Text, Endpoint &Out) {
  const auto Parsed = parseEndpoint(Text);
  if (Parsed)
    Out = *Parsed;
  else
    std::cerr << toString(Parsed.error()) << '\n';
  return Parsed.has_value();
}

bool parseEntries(const std::string &List, std::vector<FabricEntry> &Out) {
  for (const auto &Text : absl::StrSplit(List, ',', absl::SkipEmpty())) {
    FabricEntry Entry;
    if (!parseEndpointOption(std::string(Text), Entry.Address))
      return false;
    Out.push_back(Entry);
  }
  return true;
}

bool parseService(const std::string &Text, std::vector<Endpoint> &Out) {
  Out.emplace_back();
  return parseEndpointOption(Text, Out.back());
}

bool parseShare(const char *Text, double &Out) {
  if (absl::SimpleAtod(Text, &Out) && Out >= 0 && Out <= 1)
    return true;
  std::cerr << Text << " is not a share, expected a number from 0 to 1\n";
  return false;
}

bool parseMilliseconds(const char *Text, Duration &Out) {
  constexpr double MaxMilliseconds = 60'000;
  double Value = 0;
  if (!absl::SimpleAtod(Text, &Value) ||
      !(Value >= 0 && Value <= MaxMilliseconds)) {
    std::cerr << Text << " is not a valid time, expected 0 to 60000 ms\n";
    return false;
  }
  Out = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(Value));
  return true;
}

bool parseSeed(const char *Text, FabricState &InitialState) {
  std::uint64_t Seed = 0;
  if (!absl::SimpleAtoi(Text, &Seed)) {
    std::cerr << Text << " is not a valid seed, expected an unsigned integer\n";
    return false;
  }
  InitialState.Random.seed(Seed);
  return true;
}

bool parseOption(int OptionCode, const char *Text, Options &Out) {
  FabricFaults &Faults = Out.InitialState.Faults;
  switch (OptionCode) {
  case 's':
    return parseService(Text, Out.Addresses.Services);
  case 'e':
    return parseEntries(Text, Out.InitialState.Entries);
  case 'r':
    return parseEndpointOption(Text, Out.Addresses.Return);
  case 'c':
    return parseEndpointOption(Text, Out.Addresses.Control);
  case 'S':
    return parseSeed(Text, Out.InitialState);
  case 'd':
    return parseMilliseconds(Text, Faults.Delay);
  case 'j':
    return parseMilliseconds(Text, Faults.Jitter);
  case 'R':
    return parseMilliseconds(Text, Faults.ReorderDelay);
  case 'l':
    return parseShare(Text, Faults.Loss);
  case 'D':
    return parseShare(Text, Faults.Duplicate);
  case 'o':
    return parseShare(Text, Faults.Reorder);
  default:
    Out.Help = OptionCode == 'h';
    return Out.Help;
  }
}

bool isLoopback(const Endpoint &E) {
  constexpr unsigned FirstOctetShift = 24;
  constexpr std::uint32_t LoopbackOctet = 127;
  return E.Address >> FirstOctetShift == LoopbackOctet;
}

bool hasRequiredOptions(const Options &Parsed) {
  if (Parsed.Help)
    return true;
  if (Parsed.Addresses.Services.empty() || Parsed.Addresses.Return.Port == 0) {
    std::cerr << "--service and --return are required\n";
    return false;
  }
  if (!isLoopback(Parsed.Addresses.Control)) {
    std::cerr << "--control is required and must be a loopback address\n";
    return false;
  }
  return true;
}

std::optional<Options> parseOptions(int Argc, char **Argv) {
  constexpr option LongOptions[] = {
      {"service", required_argument, nullptr, 's'},
      {"entries", required_argument, nullptr, 'e'},
      {"return", required_argument, nullptr, 'r'},
      {"control", required_argument, nullptr, 'c'},
      {"seed", required_argument, nullptr, 'S'},
      {"delay", required_argument, nullptr, 'd'},
      {"jitter", required_argument, nullptr, 'j'},
      {"reorder-delay", required_argument, nullptr, 'R'},
      {"loss", required_argument, nullptr, 'l'},
      {"duplicate", required_argument, nullptr, 'D'},
      {"reorder", required_argument, nullptr, 'o'},
      {"help", no_argument, nullptr, 'h'},
      {nullptr, 0, nullptr, 0}};
  Options Parsed;
  Parsed.InitialState.Random.seed(1);
  int OptionCode = 0;
  while ((OptionCode = getopt_long(Argc, Argv, "", LongOptions, nullptr)) != -1)
    if (!parseOption(OptionCode, optarg, Parsed))
      return std::nullopt;
  if (optind != Argc || !hasRequiredOptions(Parsed))
    return std::nullopt;
  return Parsed;
}

/// Blocks SIGTERM and SIGINT in this thread and in all threads that it starts
/// later.
/// \returns the blocked signals, for sigwait.
sigset_t blockStopSignals() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  return Signals;
}

} // namespace

int main(int Argc, char **Argv) {
  const auto Parsed = parseOptions(Argc, Argv);
  if (!Parsed || Parsed->Help) {
    (Parsed ? std::cout : std::cerr) << Usage;
    return Parsed ? 0 : 2;
  }
  const sigset_t Signals = blockStopSignals();
  auto Loop = FabricLoop::open(Parsed->Addresses, Parsed->InitialState);
  if (!Loop) {
    std::cerr << toString(Loop.error()) << '\n';
    return 1;
  }
  std::atomic<bool> StopRequested{false};
  std::thread LoopThread([&] { Loop->run(StopRequested); });
  int Signal = 0;
  sigwait(&Signals, &Signal);
  StopRequested = true;
  LoopThread.join();
  std::cout << toJson(Loop->counts()) << '\n';
  return 0;
}
