#include "standins/lib/caller.h"
#include "standins/lib/sheet_body.h"
#include <absl/strings/str_cat.h>
#include <algorithm>

namespace standins {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// Limit on retries, as a share of the first attempts.
constexpr double RetryBudgetRatio = 0.1;
/// Retries that are allowed on top of the budget.
constexpr unsigned UnbudgetedRetries = 10;
/// Maximum token length of RFC 7252.
constexpr std::size_t MaxTokenBytes = 8;
constexpr milliseconds MinBackoff{100};
constexpr milliseconds MaxBackoff{400};
/// Successive unanswered registrations after which a line counts as broken.
constexpr unsigned MaxUnansweredRegistrations = 4;

Caller &callerOf(coap_session_t *Session) {
  return *static_cast<Caller *>(
      coap_get_app_data(coap_session_get_context(Session)));
}

std::size_t sessionIndex(const Caller &C, const coap_session_t *Session) {
  const auto Found = std::find(C.Sessions.begin(), C.Sessions.end(), Session);
  return static_cast<std::size_t>(Found - C.Sessions.begin());
}

coap_session_t *openSession(Caller &C) {
  const coap_address_t Server = toCoapAddress(C.Options.Address);
  return coap_new_client_session(C.Context, nullptr, &Server, COAP_PROTO_UDP);
}

std::string newToken(coap_session_t *Session) {
  std::uint8_t Token[MaxTokenBytes];
  std::size_t Length = sizeof(Token);
  coap_session_new_token(Session, &Length, Token);
  return {reinterpret_cast<const char *>(Token), Length};
}

std::string tokenOf(const coap_pdu_t *Pdu) {
  const coap_bin_const_t Token = coap_pdu_get_token(Pdu);
  return {reinterpret_cast<const char *>(Token.s), Token.length};
}

void addOption(coap_pdu_t *Pdu, coap_option_num_t Number,
               const std::string &Value) {
  coap_add_option(Pdu, Number, Value.size(),
                  reinterpret_cast<const std::uint8_t *>(Value.data()));
}

/// Builds and sends a request. libcoap requires options to be added in the
/// order of their numbers.
bool sendPdu(coap_session_t *Session, coap_pdu_code_t Code,
             const std::string &Token, bool Observe,
             const std::vector<std::string> &Path,
             const std::vector<std::string> &Query, const std::string &Echo) {
  coap_pdu_t *Pdu =
      coap_pdu_init(COAP_MESSAGE_CON, Code, coap_new_message_id(Session),
                    coap_session_max_pdu_size(Session));
  if (!Pdu)
    return false;
  coap_add_token(Pdu, Token.size(),
                 reinterpret_cast<const std::uint8_t *>(Token.data()));
  if (Observe)
    addOption(Pdu, COAP_OPTION_OBSERVE, "");
  for (const std::string &Segment : Path)
    addOption(Pdu, COAP_OPTION_URI_PATH, Segment);
  for (const std::string &Parameter : Query)
    addOption(Pdu, COAP_OPTION_URI_QUERY, Parameter);
  if (!Echo.empty())
    addOption(Pdu, COAP_OPTION_ECHO, Echo);
  return coap_send(Session, Pdu) != COAP_INVALID_MID;
}

std::string attemptId(const Request &R) {
  return absl::StrCat(R.Id, ".", R.Attempt);
}

void sendAttempt(Caller &C, Request &R) {
  coap_session_t *Session = C.Sessions[R.SessionIndex];
  R.Token = newToken(Session);
  const auto Code = R.Kind == RequestKind::LargeRead ? COAP_REQUEST_CODE_GET
                                                     : COAP_REQUEST_CODE_POST;
  sendPdu(Session, Code, R.Token, false, R.Path,
          {absl::StrCat("id=", attemptId(R)),
           absl::StrCat("service=", C.Options.Service)},
          R.Echo);
}

void registerLine(Caller &C, Line &L) {
  coap_session_t *Session = C.Sessions[L.SessionIndex];
  L.Token = newToken(Session);
  L.Phase = LinePhase::Registering;
  L.LastActivity = steady_clock::now();
  ++L.UnansweredRegistrations;
  sendPdu(Session, COAP_REQUEST_CODE_GET, L.Token, true, L.Path,
          {absl::StrCat("service=", C.Options.Service)}, "");
}

const char *kindName(RequestKind Kind) {
  switch (Kind) {
  case RequestKind::LargeRead:
    return "sheet";
  case RequestKind::Confirm:
    return "confirm";
  case RequestKind::OpenLine:
    return "open_line";
  }
  return "";
}

void recordLine(Caller &C, std::size_t Index, const char *Event,
                const std::string &Reason) {
  const auto Age = steady_clock::now() - C.Started;
  C.Records->write(
      {{"kind", "line"},
       {"id", absl::StrCat(C.Options.Name, "-line-", Index)},
       {"event", Event},
       {"reason", Reason},
       {"at_ms", std::chrono::duration_cast<milliseconds>(Age).count()}});
}

/// Records the end of a request and removes it.
/// \param Outcome "answered", "not_run" or "unknown".
void finishRequest(Caller &C, std::list<Request>::iterator R,
                   const char *Outcome, bool Wrong, const std::string &Reason) {
  const auto Elapsed = steady_clock::now() - R->Started;
  C.Records->write(
      {{"kind", "request"},
       {"id", R->Id},
       {"what", kindName(R->Kind)},
       {"service", C.Options.Service},
       {"attempts", R->Attempt + 1},
       {"outcome", Outcome},
       {"wrong", Wrong},
       {"reason", Reason},
       {"ms", std::chrono::duration_cast<milliseconds>(Elapsed).count()}});
  if (R->Kind == RequestKind::OpenLine &&
      C.Lines[R->LineIndex].Phase == LinePhase::Opening)
    C.Lines[R->LineIndex].Phase = LinePhase::Idle;
  C.PendingRequests.erase(R);
}

bool canRetry(const Caller &C, const Request &R) {
  if (steady_clock::now() + MaxBackoff - R.Started > C.Options.Deadline)
    return false;
  return C.Retries < UnbudgetedRetries + RetryBudgetRatio * C.RequestCount;
}

/// Schedules another attempt after a random backoff, or finishes the request if
/// it may not be retried.
void retryOrFinish(Caller &C, std::list<Request>::iterator R,
                   const char *Outcome, const std::string &Reason) {
  if (!canRetry(C, *R)) {
    finishRequest(C, R, Outcome, false, Reason);
    return;
  }
  ++C.Retries;
  ++R->Attempt;
  R->Token.clear();
  R->Echo.clear();
  std::uniform_int_distribution<std::int64_t> Pause(MinBackoff.count(),
                                                    MaxBackoff.count());
  R->RetryAt = steady_clock::now() + milliseconds(Pause(C.Random));
}

std::string expectedBody(const Caller &C, const Request &R) {
  if (R.Kind == RequestKind::LargeRead)
    return largeBody(C.Options.Service, attemptId(R), C.Options.LargeBodyBytes);
  return absl::StrCat(C.Options.Service, "/", attemptId(R));
}

void handleSuccess(Caller &C, std::list<Request>::iterator R,
                   const coap_pdu_t *Pdu) {
  if (R->Kind != RequestKind::OpenLine) {
    const bool Wrong = payloadText(Pdu) != expectedBody(C, *R);
    finishRequest(C, R, "answered", Wrong,
                  Wrong ? "unexpected response body" : "");
    return;
  }
  Line &L = C.Lines[R->LineIndex];
  L.Path = optionValues(Pdu, COAP_OPTION_LOCATION_PATH);
  L.SessionIndex = R->SessionIndex;
  L.UnansweredRegistrations = 0;
  const bool Wrong = L.Path.empty();
  if (!Wrong)
    registerLine(C, L);
  finishRequest(C, R, "answered", Wrong,
                Wrong ? "response without Location-Path" : "");
}

void handleResponse(Caller &C, std::list<Request>::iterator R,
                    const coap_pdu_t *Pdu) {
  const coap_pdu_code_t Code = coap_pdu_get_code(Pdu);
  if (COAP_RESPONSE_CLASS(Code) == 2) {
    handleSuccess(C, R, Pdu);
    return;
  }
  const std::vector<std::string> Echo = optionValues(Pdu, COAP_OPTION_ECHO);
  if (Code == COAP_RESPONSE_CODE_UNAUTHORIZED && !Echo.empty()) {
    R->Echo = Echo.front();
    sendAttempt(C, *R);
    return;
  }
  const std::string Body = payloadText(Pdu);
  const std::string Reason =
      absl::StrCat(COAP_RESPONSE_CLASS(Code), ".", Code & 0x1F, " ", Body);
  if (Body.find("\"not-run\"") != std::string::npos) {
    C.Records->write({{"kind", "refused"}, {"id", attemptId(*R)}});
    retryOrFinish(C, R, "not_run", Reason);
    return;
  }
  if (R->Kind == RequestKind::LargeRead) {
    retryOrFinish(C, R, "unknown", Reason);
    return;
  }
  finishRequest(C, R, "unknown", false, Reason);
}

void markLineBroken(Caller &C, Line &L, const std::string &Reason) {
  recordLine(C, static_cast<std::size_t>(&L - C.Lines.data()), "broken",
             Reason);
  L = Line{};
}

void handleNotification(Caller &C, Line &L, const coap_pdu_t *Pdu) {
  const coap_pdu_code_t Code = coap_pdu_get_code(Pdu);
  if (COAP_RESPONSE_CLASS(Code) != 2) {
    markLineBroken(C, L,
                   absl::StrCat(COAP_RESPONSE_CLASS(Code), ".", Code & 0x1F,
                                " ", payloadText(Pdu)));
    return;
  }
  if (!payloadText(Pdu).starts_with(C.Options.Service + "/line/")) {
    C.Records->write({{"kind", "wrong_notification"}});
    return;
  }
  if (L.Phase != LinePhase::Open)
    recordLine(C, static_cast<std::size_t>(&L - C.Lines.data()), "open", "");
  L.Phase = LinePhase::Open;
  L.LastActivity = steady_clock::now();
  L.UnansweredRegistrations = 0;
}

coap_response_t onResponse(coap_session_t *Session, const coap_pdu_t *,
                           const coap_pdu_t *Pdu, const coap_mid_t) {
  Caller &C = callerOf(Session);
  const std::string Token = tokenOf(Pdu);
  const std::size_t Index = sessionIndex(C, Session);
  for (Line &L : C.Lines)
    if (L.SessionIndex == Index && !L.Token.empty() && L.Token == Token) {
      handleNotification(C, L, Pdu);
      return COAP_RESPONSE_OK;
    }
  for (auto R = C.PendingRequests.begin(); R != C.PendingRequests.end(); ++R)
    if (R->SessionIndex == Index && !R->Token.empty() && R->Token == Token) {
      handleResponse(C, R, Pdu);
      return COAP_RESPONSE_OK;
    }
  // No match: a late answer to an attempt that has ended or to a registration
  // that was replaced. It is ignored.
  return COAP_RESPONSE_OK;
}

void onNack(coap_session_t *Session, const coap_pdu_t *Sent,
            const coap_nack_reason_t Reason, const coap_mid_t) {
  if (!Sent)
    return;
  Caller &C = callerOf(Session);
  const std::string Token = tokenOf(Sent);
  const std::size_t Index = sessionIndex(C, Session);
  for (auto R = C.PendingRequests.begin(); R != C.PendingRequests.end(); ++R)
    if (R->SessionIndex == Index && R->Token == Token) {
      finishRequest(C, R, "unknown", false,
                    absl::StrCat("libcoap NACK reason ", Reason));
      return;
    }
}

Request newRequest(Caller &C, RequestKind Kind) {
  Request R;
  R.Kind = Kind;
  R.Id = absl::StrCat(C.Options.Name, "-", C.RequestCount++);
  R.Started = steady_clock::now();
  return R;
}

/// Adds a request to the pending ones and sends its first attempt.
void sendFirstAttempt(Caller &C, Request R) {
  C.PendingRequests.push_back(std::move(R));
  sendAttempt(C, C.PendingRequests.back());
}

void startRandomRequest(Caller &C) {
  std::uniform_int_distribution<unsigned> PercentDistribution(0, 99);
  std::uniform_int_distribution<std::size_t> SessionDistribution(
      0, C.Options.Sessions - 1);
  const bool LargeRead =
      PercentDistribution(C.Random) < C.Options.LargeReadPercent;
  Request R =
      newRequest(C, LargeRead ? RequestKind::LargeRead : RequestKind::Confirm);
  R.SessionIndex = SessionDistribution(C.Random);
  R.Path = {LargeRead ? "sheet" : "confirm"};
  if (!LargeRead && !C.Lines.empty() &&
      PercentDistribution(C.Random) % 2 == 0) {
    const Line &L = C.Lines[SessionDistribution(C.Random) % C.Lines.size()];
    if (L.Phase == LinePhase::Open) {
      R.Path = L.Path;
      R.SessionIndex = L.SessionIndex;
    }
  }
  sendFirstAttempt(C, std::move(R));
}

/// Opens an idle line. Registers a line again that got no notification within
/// LineTimeout, and marks it broken after MaxUnansweredRegistrations.
void maintainLine(Caller &C, std::size_t Index) {
  Line &L = C.Lines[Index];
  const auto Now = steady_clock::now();
  if (L.Phase == LinePhase::Idle) {
    Request R = newRequest(C, RequestKind::OpenLine);
    R.Path = {"line"};
    R.LineIndex = Index;
    R.SessionIndex = C.Options.Sessions + Index;
    L.Phase = LinePhase::Opening;
    sendFirstAttempt(C, std::move(R));
    return;
  }
  if (L.Phase == LinePhase::Opening ||
      Now - L.LastActivity < C.Options.LineTimeout)
    return;
  if (L.UnansweredRegistrations >= MaxUnansweredRegistrations) {
    markLineBroken(C, L, "silent");
    return;
  }
  recordLine(C, Index, "registered_again", "silent");
  registerLine(C, L);
}

/// Gives a line a new local port. Requests that are pending on the old session
/// are finished first: the new session generates the same tokens from the
/// start, so an answer to a new request could be matched to one of them.
void rebindLine(Caller &C, std::size_t Index) {
  Line &L = C.Lines[Index];
  if (L.Phase != LinePhase::Open || L.Rebound)
    return;
  for (auto R = C.PendingRequests.begin(); R != C.PendingRequests.end();) {
    const auto Current = R++;
    if (Current->SessionIndex == L.SessionIndex)
      finishRequest(C, Current, "unknown", false, "local port changed");
  }
  coap_session_release(C.Sessions[L.SessionIndex]);
  C.Sessions[L.SessionIndex] = openSession(C);
  L.Rebound = true;
  recordLine(C, Index, "rebound", "");
  registerLine(C, L);
}

void runTimers(Caller &C) {
  const auto Now = steady_clock::now();
  for (auto R = C.PendingRequests.begin(); R != C.PendingRequests.end();) {
    const auto Current = R++;
    if (Now - Current->Started > C.Options.Deadline)
      finishRequest(C, Current, "unknown", false, "deadline");
    else if (Current->Token.empty() && Now >= Current->RetryAt)
      sendAttempt(C, *Current);
  }
  const bool SecondHalf = Now - C.Started > C.Options.Duration / 2;
  for (std::size_t I = 0; I < C.Lines.size(); ++I) {
    maintainLine(C, I);
    if (SecondHalf && I < C.Options.RebindLines)
      rebindLine(C, I);
  }
}

} // namespace

bool startCaller(Caller &C) {
  initCoap(C.Options.CoapLogLevel);
  C.Records = std::make_unique<RecordWriter>(C.Options.RecordFile);
  C.Random.seed(C.Options.Seed);
  C.Started = steady_clock::now();
  C.Context = coap_new_context(nullptr);
  if (!C.Context)
    return false;
  coap_set_app_data(C.Context, &C);
  coap_context_set_block_mode(C.Context,
                              COAP_BLOCK_USE_LIBCOAP | COAP_BLOCK_SINGLE_BODY);
  coap_register_response_handler(C.Context, onResponse);
  coap_register_nack_handler(C.Context, onNack);
  for (unsigned I = 0; I < C.Options.Sessions + C.Options.Lines; ++I)
    C.Sessions.push_back(openSession(C));
  C.Lines.resize(C.Options.Lines);
  return std::find(C.Sessions.begin(), C.Sessions.end(), nullptr) ==
         C.Sessions.end();
}

void runCaller(Caller &C) {
  constexpr unsigned PollMilliseconds = 5;
  constexpr milliseconds TimerInterval{20};
  jasminearch::TimePoint NextTimerRun{};
  unsigned RequestsStarted = 0;
  while (!C.Stopping) {
    coap_io_process(C.Context, PollMilliseconds);
    const auto Now = steady_clock::now();
    const auto Age =
        std::chrono::duration_cast<milliseconds>(Now - C.Started).count();
    const auto RequestsDue =
        static_cast<std::uint64_t>(Age) * C.Options.RequestsPerSecond / 1000;
    while (RequestsStarted < C.Options.Requests &&
           RequestsStarted < RequestsDue) {
      startRandomRequest(C);
      ++RequestsStarted;
    }
    if (Now >= NextTimerRun) {
      runTimers(C);
      NextTimerRun = Now + TimerInterval;
    }
    const bool DurationElapsed = Now - C.Started >= C.Options.Duration;
    const bool HasPendingRequests = std::any_of(
        C.PendingRequests.begin(), C.PendingRequests.end(),
        [](const Request &R) { return R.Kind != RequestKind::OpenLine; });
    if (DurationElapsed && RequestsStarted == C.Options.Requests &&
        !HasPendingRequests)
      break;
  }
  for (auto R = C.PendingRequests.begin(); R != C.PendingRequests.end();)
    finishRequest(C, R++, "unknown", false, "stopped");
  for (std::size_t I = 0; I < C.Lines.size(); ++I)
    recordLine(C, I, C.Lines[I].Phase == LinePhase::Open ? "whole" : "not_open",
               "end");
  for (coap_session_t *Session : C.Sessions)
    coap_session_release(Session);
  coap_free_context(C.Context);
  coap_cleanup();
}

} // namespace standins
