#include "jasminearch/settings.h"
#include "standins/lib/caller.h"
#include <absl/strings/numbers.h>
#include <csignal>
#include <getopt.h>
#include <iostream>

/// A CoAP caller for tests, over libcoap sessions. Opens lines, fetches large
/// bodies and sends non-idempotent requests, and records the outcome of each
/// request.
namespace {

using namespace standins;

const option LongOptions[] = {
    {"address", required_argument, nullptr, 'a'},
    {"service", required_argument, nullptr, 's'},
    {"name", required_argument, nullptr, 'n'},
    {"record", required_argument, nullptr, 'r'},
    {"lines", required_argument, nullptr, 'l'},
    {"requests", required_argument, nullptr, 'q'},
    {"rate", required_argument, nullptr, 'R'},
    {"sheet-percent", required_argument, nullptr, 'p'},
    {"sheet-bytes", required_argument, nullptr, 'b'},
    {"rebind-lines", required_argument, nullptr, 'B'},
    {"sessions", required_argument, nullptr, 'S'},
    {"seconds", required_argument, nullptr, 'd'},
    {"seed", required_argument, nullptr, 'e'},
    {"coap-log", required_argument, nullptr, 'L'},
    {"help", no_argument, nullptr, 'h'},
    {nullptr, 0, nullptr, 0}};

void printHelp() {
  std::cout
      << "jasminearch-caller --address IP:PORT --service NAME --name NAME "
         "[--record FILE]\n  [--lines N] [--requests N] [--rate PER_SECOND] "
         "[--sheet-percent N]\n  [--sheet-bytes N] [--rebind-lines N] "
         "[--sessions N] [--seconds N] [--seed N]\n  "
         "[--coap-log LEVEL]\n";
}

bool readTextOption(int Option, const char *Value, CallerOptions &Out) {
  switch (Option) {
  case 's':
    Out.Service = Value;
    return true;
  case 'n':
    Out.Name = Value;
    return true;
  case 'r':
    Out.RecordFile = Value;
    return true;
  case 'a': {
    const auto Parsed = jasminearch::parseEndpoint(Value);
    Out.Address = Parsed.value_or(jasminearch::Endpoint{});
    return Parsed.has_value();
  }
  default:
    return false;
  }
}

bool readNumberOption(int Option, unsigned Number, CallerOptions &Out) {
  switch (Option) {
  case 'l':
    Out.Lines = Number;
    return true;
  case 'q':
    Out.Requests = Number;
    return true;
  case 'R':
    Out.RequestsPerSecond = Number;
    return Number > 0;
  case 'p':
    Out.LargeReadPercent = Number;
    return Number <= 100;
  case 'b':
    Out.LargeBodyBytes = Number;
    return true;
  case 'B':
    Out.RebindLines = Number;
    return true;
  case 'S':
    Out.Sessions = Number;
    return Number > 0;
  case 'd':
    Out.Duration = std::chrono::seconds(Number);
    return true;
  case 'e':
    Out.Seed = Number;
    return true;
  case 'L':
    Out.CoapLogLevel = Number;
    return Number <= LOG_DEBUG;
  default:
    return false;
  }
}

Caller CallerState;

} // namespace

int main(int Argc, char **Argv) {
  int Option = 0;
  while ((Option = getopt_long(Argc, Argv, "", LongOptions, nullptr)) != -1) {
    unsigned Number = 0;
    const bool Read =
        optarg && (readTextOption(Option, optarg, CallerState.Options) ||
                   (absl::SimpleAtoi(optarg, &Number) &&
                    readNumberOption(Option, Number, CallerState.Options)));
    if (Option == 'h' || !Read) {
      printHelp();
      return Option == 'h' ? EXIT_SUCCESS : EXIT_FAILURE;
    }
  }
  if (CallerState.Options.Address == jasminearch::Endpoint{}) {
    printHelp();
    return EXIT_FAILURE;
  }
  std::signal(SIGTERM, [](int) { CallerState.Stopping = true; });
  if (!startCaller(CallerState)) {
    std::cerr << "cannot create the CoAP context or a session\n";
    return EXIT_FAILURE;
  }
  runCaller(CallerState);
  return EXIT_SUCCESS;
}
