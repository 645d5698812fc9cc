#include "jasminearch/settings.h"
#include "standins/lib/coap_support.h"
#include "standins/lib/records.h"
#include "standins/lib/sheet_body.h"
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <atomic>
#include <csignal>
#include <getopt.h>
#include <iostream>
#include <map>
#include <memory>

/// A CoAP upstream for tests with a limited number of slots, a cold start, load
/// shedding and a health resource that can report a false failure:
///   GET  /sheet?id=I            returns a large body that depends on the id
///   POST /confirm?id=I          non-idempotent work, answered separately
///   POST /line                  creates /line/<n>
///   GET  /line/<n>, observed    notifies observers at a fixed interval
///   POST /line/<n>?id=I         non-idempotent work on a line
///   GET  /health, /load
namespace {

using namespace standins;
using std::chrono::milliseconds;

struct Options {
  jasminearch::Endpoint Listen;
  std::string Name = "upstream";
  std::string Service = "service";
  std::string RecordFile = "/dev/null";
  unsigned Slots = 7;
  milliseconds ServiceDuration{5};
  milliseconds ColdStartDuration{0};
  milliseconds NotifyInterval{500};
  std::size_t LargeBodyBytes = 20'000;
  bool FalseHealth = false;
  /// libcoap's log level, 0 to 7; 7 logs every message.
  unsigned CoapLogLevel = LOG_CRIT;
};

/// State of the upstream of this process.
struct UpstreamState {
  Options Settings;
  std::unique_ptr<RecordWriter> Records;
  coap_context_t *Context = nullptr;
  std::chrono::steady_clock::time_point Started;
  std::map<std::string, coap_resource_t *> Lines;
  unsigned RequestsInProgress = 0;
  std::uint64_t NextLineNumber = 1;
  std::uint64_t NotificationCount = 0;
};

UpstreamState State;
std::atomic<bool> Stopping{false};

/// Factor by which work takes longer during the cold start.
constexpr int ColdServiceTimeFactor = 4;

milliseconds serviceDuration() {
  const auto Age = std::chrono::steady_clock::now() - State.Started;
  const bool Cold = Age < State.Settings.ColdStartDuration;
  return State.Settings.ServiceDuration * (Cold ? ColdServiceTimeFactor : 1);
}

std::string resourcePath(coap_resource_t *Resource) {
  const coap_str_const_t *Path = coap_resource_get_uri_path(Resource);
  return {reinterpret_cast<const char *>(Path->s), Path->length};
}

/// Writes a "misdelivered" record if the request names another service.
void recordIfMisdelivered(const coap_pdu_t *Request) {
  const std::string RequestedService = queryValue(Request, "service");
  if (!RequestedService.empty() && RequestedService != State.Settings.Service)
    State.Records->write({{"kind", "misdelivered"},
                          {"wanted", RequestedService},
                          {"service", State.Settings.Service},
                          {"upstream", State.Settings.Name}});
}

/// Writes a "run" record.
/// \param OnLine whether the work belongs to a line that was already open.
void recordRun(const std::string &Id, bool OnLine) {
  State.Records->write({{"kind", "run"},
                        {"id", Id},
                        {"on_line", OnLine},
                        {"at_ms", wallClockMilliseconds()},
                        {"service", State.Settings.Service},
                        {"upstream", State.Settings.Name}});
}

void answerHealth(coap_resource_t *, coap_session_t *, const coap_pdu_t *,
                  const coap_string_t *, coap_pdu_t *Response) {
  coap_pdu_set_code(Response, COAP_RESPONSE_CODE_CONTENT);
  addTextPayload(Response, State.Settings.FalseHealth ? "failing" : "ok");
}

void answerLoad(coap_resource_t *, coap_session_t *, const coap_pdu_t *,
                const coap_string_t *, coap_pdu_t *Response) {
  coap_pdu_set_code(Response, COAP_RESPONSE_CODE_CONTENT);
  addTextPayload(Response, std::to_string(State.RequestsInProgress));
}

void answerLargeRead(coap_resource_t *Resource, coap_session_t *Session,
                     const coap_pdu_t *Request, const coap_string_t *Query,
                     coap_pdu_t *Response) {
  recordIfMisdelivered(Request);
  auto *Body = new std::string(largeBody(State.Settings.Service,
                                         queryValue(Request, "id"),
                                         State.Settings.LargeBodyBytes));
  coap_pdu_set_code(Response, COAP_RESPONSE_CODE_CONTENT);
  coap_add_data_large_response(
      Resource, Session, Request, Response, Query, COAP_MEDIATYPE_TEXT_PLAIN,
      -1, 0, Body->size(), reinterpret_cast<const std::uint8_t *>(Body->data()),
      [](coap_session_t *, void *Owned) {
        delete static_cast<std::string *>(Owned);
      },
      Body);
}

/// Handles non-idempotent work: records it when it starts and answers after the
/// service time with a separate response. libcoap calls this handler a second
/// time when the response is due.
void handleWork(coap_resource_t *Resource, coap_session_t *Session,
                const coap_pdu_t *Request, const coap_string_t *,
                coap_pdu_t *Response) {
  const std::string Id = queryValue(Request, "id");
  if (coap_find_async(Session, coap_pdu_get_token(Request))) {
    --State.RequestsInProgress;
    coap_pdu_set_code(Response, COAP_RESPONSE_CODE_CHANGED);
    addTextPayload(Response, absl::StrCat(State.Settings.Service, "/", Id));
    return;
  }
  recordIfMisdelivered(Request);
  if (State.RequestsInProgress >= State.Settings.Slots) {
    State.Records->write({{"kind", "shed"}, {"id", Id}});
    coap_pdu_set_code(Response, COAP_RESPONSE_CODE_SERVICE_UNAVAILABLE);
    return;
  }
  recordRun(Id, resourcePath(Resource).starts_with("line/"));
  if (coap_register_async(Session, Request, toTicks(serviceDuration()))) {
    ++State.RequestsInProgress;
    return;
  }
  coap_pdu_set_code(Response, COAP_RESPONSE_CODE_CHANGED);
  addTextPayload(Response, absl::StrCat(State.Settings.Service, "/", Id));
}

void answerLine(coap_resource_t *Resource, coap_session_t *, const coap_pdu_t *,
                const coap_string_t *, coap_pdu_t *Response) {
  const std::string Line = resourcePath(Resource);
  coap_pdu_set_code(Response, COAP_RESPONSE_CODE_CONTENT);
  addTextPayload(Response, absl::StrCat(State.Settings.Service, "/", Line, "/",
                                        State.NotificationCount));
}

void createLine(coap_resource_t *, coap_session_t *, const coap_pdu_t *Request,
                const coap_string_t *, coap_pdu_t *Response) {
  recordIfMisdelivered(Request);
  const std::string Number = std::to_string(State.NextLineNumber++);
  const std::string Path = absl::StrCat("line/", Number);
  coap_str_const_t *Name = coap_new_str_const(
      reinterpret_cast<const std::uint8_t *>(Path.data()), Path.size());
  coap_resource_t *Resource = coap_resource_init(
      Name, COAP_RESOURCE_FLAGS_RELEASE_URI | COAP_RESOURCE_FLAGS_NOTIFY_CON);
  coap_register_request_handler(Resource, COAP_REQUEST_GET, answerLine);
  coap_register_request_handler(Resource, COAP_REQUEST_POST, handleWork);
  coap_resource_set_get_observable(Resource, 1);
  coap_add_resource(State.Context, Resource);
  State.Lines[Path] = Resource;
  recordRun(queryValue(Request, "id"), false);
  coap_pdu_set_code(Response, COAP_RESPONSE_CODE_CREATED);
  for (const std::string &Segment : {std::string("line"), Number})
    coap_add_option(Response, COAP_OPTION_LOCATION_PATH, Segment.size(),
                    reinterpret_cast<const std::uint8_t *>(Segment.data()));
}

void addResource(const char *Path, coap_request_t Method,
                 coap_method_handler_t Handler) {
  coap_resource_t *Resource = coap_resource_init(coap_make_str_const(Path), 0);
  coap_register_request_handler(Resource, Method, Handler);
  coap_add_resource(State.Context, Resource);
}

void notifyLines() {
  ++State.NotificationCount;
  for (const auto &[Path, Resource] : State.Lines)
    coap_resource_notify_observers(Resource, nullptr);
}

int serve() {
  initCoap(State.Settings.CoapLogLevel);
  State.Started = std::chrono::steady_clock::now();
  State.Context = coap_new_context(nullptr);
  coap_context_set_block_mode(State.Context,
                              COAP_BLOCK_USE_LIBCOAP | COAP_BLOCK_SINGLE_BODY);
  const coap_address_t Address = toCoapAddress(State.Settings.Listen);
  if (!coap_new_endpoint(State.Context, &Address, COAP_PROTO_UDP)) {
    std::cerr << "cannot listen for CoAP over UDP on "
              << toString(State.Settings.Listen) << '\n';
    return EXIT_FAILURE;
  }
  addResource("sheet", COAP_REQUEST_GET, answerLargeRead);
  addResource("confirm", COAP_REQUEST_POST, handleWork);
  addResource("line", COAP_REQUEST_POST, createLine);
  addResource("health", COAP_REQUEST_GET, answerHealth);
  addResource("load", COAP_REQUEST_GET, answerLoad);
  auto NextNotification = std::chrono::steady_clock::now();
  constexpr unsigned PollMilliseconds = 50;
  while (!Stopping) {
    coap_io_process(State.Context, PollMilliseconds);
    if (std::chrono::steady_clock::now() < NextNotification)
      continue;
    NextNotification += State.Settings.NotifyInterval;
    notifyLines();
  }
  coap_free_context(State.Context);
  coap_cleanup();
  return EXIT_SUCCESS;
}

void printHelp() {
  std::cout << "jasminearch-upstream --listen IP:PORT --name NAME --service "
               "SERVICE [--record FILE]\n  [--slots N] [--service-ms N] "
               "[--cold-start-ms N] [--notify-ms N]\n  [--sheet-bytes N] "
               "[--false-health] [--coap-log LEVEL]\n";
}

bool parseNumber(const char *Text, unsigned &Out) {
  return absl::SimpleAtoi(Text, &Out);
}

/// Reads one command-line option into \p Out.
/// \returns whether the option is known and its value valid.
bool readOption(int Option, const char *Value, Options &Out) {
  unsigned Number = 0;
  switch (Option) {
  case 'a': {
    const auto Parsed = jasminearch::parseEndpoint(Value);
    Out.Listen = Parsed.value_or(jasminearch::Endpoint{});
    return Parsed.has_value();
  }
  case 'n':
    Out.Name = Value;
    return true;
  case 's':
    Out.Service = Value;
    return true;
  case 'r':
    Out.RecordFile = Value;
    return true;
  case 'f':
    Out.FalseHealth = true;
    return true;
  default:
    break;
  }
  if (!Value || !parseNumber(Value, Number))
    return false;
  switch (Option) {
  case 'S':
    Out.Slots = Number;
    return true;
  case 't':
    Out.ServiceDuration = milliseconds(Number);
    return true;
  case 'c':
    Out.ColdStartDuration = milliseconds(Number);
    return true;
  case 'N':
    Out.NotifyInterval = milliseconds(Number);
    return true;
  case 'b':
    Out.LargeBodyBytes = Number;
    return true;
  case 'L':
    Out.CoapLogLevel = Number;
    return Number <= LOG_DEBUG;
  default:
    return false;
  }
}

const option LongOptions[] = {
    {"listen", required_argument, nullptr, 'a'},
    {"name", required_argument, nullptr, 'n'},
    {"service", required_argument, nullptr, 's'},
    {"record", required_argument, nullptr, 'r'},
    {"slots", required_argument, nullptr, 'S'},
    {"service-ms", required_argument, nullptr, 't'},
    {"cold-start-ms", required_argument, nullptr, 'c'},
    {"notify-ms", required_argument, nullptr, 'N'},
    {"sheet-bytes", required_argument, nullptr, 'b'},
    {"coap-log", required_argument, nullptr, 'L'},
    {"false-health", no_argument, nullptr, 'f'},
    {"help", no_argument, nullptr, 'h'},
    {nullptr, 0, nullptr, 0}};

} // namespace

int main(int Argc, char **Argv) {
  int Option = 0;
  while ((Option = getopt_long(Argc, Argv, "", LongOptions, nullptr)) != -1) {
    if (Option == 'h') {
      printHelp();
      return EXIT_SUCCESS;
    }
    if (!readOption(Option, optarg, State.Settings)) {
      printHelp();
      return EXIT_FAILURE;
    }
  }
  if (State.Settings.Listen == jasminearch::Endpoint{}) {
    printHelp();
    return EXIT_FAILURE;
  }
  State.Records = std::make_unique<RecordWriter>(State.Settings.RecordFile);
  std::signal(SIGTERM, [](int) { Stopping = true; });
  std::signal(SIGINT, [](int) { Stopping = true; });
  return serve();
}
