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

/// A CoAP upstream with slots, a cold start, shedding and false health:
///   GET  /sheet?id=I            large answer that depends on the id
///   POST /confirm?id=I          non-idempotent work; the answer comes later
///   POST /line                  creates /line/<n>
///   GET  /line/<n>, observed    a feed
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
  milliseconds ServiceTime{5};
  milliseconds ColdStart{0};
  milliseconds NotifyEvery{500};
  std::size_t SheetBytes = 20'000;
  bool FalseHealth = false;
  /// libcoap's log level, 0 to 7; 7 shows every message.
  unsigned CoapLog = LOG_CRIT;
};

/// State of the one upstream in this process; libcoap's handlers reach it
/// through the context's application data.
struct UpstreamState {
  Options Settings;
  std::unique_ptr<RecordWriter> Records;
  coap_context_t *Context = nullptr;
  std::chrono::steady_clock::time_point Started;
  std::map<std::string, coap_resource_t *> Lines;
  unsigned InService = 0;
  std::uint64_t NextLine = 1;
  std::uint64_t FeedCount = 0;
};

UpstreamState State;
std::atomic<bool> Stopping{false};

/// Work takes this many times longer while an upstream is cold.
constexpr int ColdFactor = 4;

milliseconds serviceTime() {
  const auto Age = std::chrono::steady_clock::now() - State.Started;
  const bool Cold = Age < State.Settings.ColdStart;
  return State.Settings.ServiceTime * (Cold ? ColdFactor : 1);
}

std::string resourcePath(coap_resource_t *Resource) {
  const coap_str_const_t *Path = coap_resource_get_uri_path(Resource);
  return {reinterpret_cast<const char *>(Path->s), Path->length};
}

/// Records a request that names another service.
void checkService(const coap_pdu_t *Request) {
  const std::string Wanted = queryValue(Request, "service");
  if (!Wanted.empty() && Wanted != State.Settings.Service)
    State.Records->write({{"kind", "misdelivered"},
                          {"wanted", Wanted},
                          {"service", State.Settings.Service},
                          {"upstream", State.Settings.Name}});
}

/// \param OnLine whether the work belongs to a line that was open before.
void recordRun(const std::string &Id, bool OnLine) {
  State.Records->write({{"kind", "run"},
                        {"id", Id},
                        {"on_line", OnLine},
                        {"at_ms", wallMillis()},
                        {"service", State.Settings.Service},
                        {"upstream", State.Settings.Name}});
}

void answerHealth(coap_resource_t *, coap_session_t *, const coap_pdu_t *,
                  const coap_string_t *, coap_pdu_t *Response) {
  coap_pdu_set_code(Response, COAP_RESPONSE_CODE_CONTENT);
  addText(Response, State.Settings.FalseHealth ? "failing" : "ok");
}

void answerLoad(coap_resource_t *, coap_session_t *, const coap_pdu_t *,
                const coap_string_t *, coap_pdu_t *Response) {
  coap_pdu_set_code(Response, COAP_RESPONSE_CODE_CONTENT);
  addText(Response, std::to_string(State.InService));
}

void answerSheet(coap_resource_t *Resource, coap_session_t *Session,
                 const coap_pdu_t *Request, const coap_string_t *Query,
                 coap_pdu_t *Response) {
  checkService(Request);
  auto *Body = new std::string(sheetBody(State.Settings.Service,
                                         queryValue(Request, "id"),
                                         State.Settings.SheetBytes));
  coap_pdu_set_code(Response, COAP_RESPONSE_CODE_CONTENT);
  coap_add_data_large_response(
      Resource, Session, Request, Response, Query, COAP_MEDIATYPE_TEXT_PLAIN,
      -1, 0, Body->size(), reinterpret_cast<const std::uint8_t *>(Body->data()),
      [](coap_session_t *, void *Owned) {
        delete static_cast<std::string *>(Owned);
      },
      Body);
}

/// Non-idempotent work: counted once when it starts, answered after the service
/// time through libcoap's separate responses.
void runWork(coap_resource_t *Resource, coap_session_t *Session,
             const coap_pdu_t *Request, const coap_string_t *,
             coap_pdu_t *Response) {
  const std::string Id = queryValue(Request, "id");
  if (coap_find_async(Session, coap_pdu_get_token(Request))) {
    --State.InService;
    coap_pdu_set_code(Response, COAP_RESPONSE_CODE_CHANGED);
    addText(Response, absl::StrCat(State.Settings.Service, "/", Id));
    return;
  }
  checkService(Request);
  if (State.InService >= State.Settings.Slots) {
    State.Records->write({{"kind", "shed"}, {"id", Id}});
    coap_pdu_set_code(Response, COAP_RESPONSE_CODE_SERVICE_UNAVAILABLE);
    return;
  }
  recordRun(Id, resourcePath(Resource).starts_with("line/"));
  if (coap_register_async(Session, Request, toTicks(serviceTime()))) {
    ++State.InService;
    return;
  }
  coap_pdu_set_code(Response, COAP_RESPONSE_CODE_CHANGED);
  addText(Response, absl::StrCat(State.Settings.Service, "/", Id));
}

void answerFeed(coap_resource_t *Resource, coap_session_t *, const coap_pdu_t *,
                const coap_string_t *, coap_pdu_t *Response) {
  const std::string Line = resourcePath(Resource);
  coap_pdu_set_code(Response, COAP_RESPONSE_CODE_CONTENT);
  addText(Response, absl::StrCat(State.Settings.Service, "/", Line, "/",
                                 State.FeedCount));
}

void createLine(coap_resource_t *, coap_session_t *, const coap_pdu_t *Request,
                const coap_string_t *, coap_pdu_t *Response) {
  checkService(Request);
  const std::string Number = std::to_string(State.NextLine++);
  const std::string Path = absl::StrCat("line/", Number);
  coap_str_const_t *Name = coap_new_str_const(
      reinterpret_cast<const std::uint8_t *>(Path.data()), Path.size());
  coap_resource_t *Resource = coap_resource_init(
      Name, COAP_RESOURCE_FLAGS_RELEASE_URI | COAP_RESOURCE_FLAGS_NOTIFY_CON);
  coap_register_request_handler(Resource, COAP_REQUEST_GET, answerFeed);
  coap_register_request_handler(Resource, COAP_REQUEST_POST, runWork);
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
  ++State.FeedCount;
  for (const auto &[Path, Resource] : State.Lines)
    coap_resource_notify_observers(Resource, nullptr);
}

int serve() {
  startCoap(State.Settings.CoapLog);
  State.Started = std::chrono::steady_clock::now();
  State.Context = coap_new_context(nullptr);
  coap_context_set_block_mode(State.Context,
                              COAP_BLOCK_USE_LIBCOAP | COAP_BLOCK_SINGLE_BODY);
  const coap_address_t Address = toCoapAddress(State.Settings.Listen);
  if (!coap_new_endpoint(State.Context, &Address, COAP_PROTO_UDP)) {
    std::cerr << "can't listen on " << toString(State.Settings.Listen) << '\n';
    return EXIT_FAILURE;
  }
  addResource("sheet", COAP_REQUEST_GET, answerSheet);
  addResource("confirm", COAP_REQUEST_POST, runWork);
  addResource("line", COAP_REQUEST_POST, createLine);
  addResource("health", COAP_REQUEST_GET, answerHealth);
  addResource("load", COAP_REQUEST_GET, answerLoad);
  auto NextNotify = std::chrono::steady_clock::now();
  constexpr unsigned PollMillis = 50;
  while (!Stopping) {
    coap_io_process(State.Context, PollMillis);
    if (std::chrono::steady_clock::now() < NextNotify)
      continue;
    NextNotify += State.Settings.NotifyEvery;
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

bool readNumber(const char *Text, unsigned &Out) {
  return absl::SimpleAtoi(Text, &Out);
}

/// \returns whether the option and its value are valid.
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
  if (!Value || !readNumber(Value, Number))
    return false;
  switch (Option) {
  case 'S':
    Out.Slots = Number;
    return true;
  case 't':
    Out.ServiceTime = milliseconds(Number);
    return true;
  case 'c':
    Out.ColdStart = milliseconds(Number);
    return true;
  case 'N':
    Out.NotifyEvery = milliseconds(Number);
    return true;
  case 'b':
    Out.SheetBytes = Number;
    return true;
  case 'L':
    Out.CoapLog = Number;
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
