#ifndef STANDINS_LIB_CALLER_H
#define STANDINS_LIB_CALLER_H

#include "jasminearch/types.h"
#include "standins/lib/coap_support.h"
#include "standins/lib/records.h"
#include <atomic>
#include <chrono>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace standins {

/// What a caller process does.
struct CallerOptions {
  jasminearch::Endpoint Address;
  std::string Service = "service";
  std::string Name = "caller";
  std::string RecordFile = "/dev/null";
  unsigned Lines = 0;
  unsigned Requests = 0;
  unsigned RequestsPerSecond = 100;
  /// Share of requests that fetch a large answer; the rest are non-idempotent.
  unsigned LargeReadPercent = 50;
  /// Lines that change their port half-way, as when a middlebox loses them.
  unsigned RebindLines = 0;
  unsigned Sessions = 20;
  std::size_t LargeBodyBytes = 20'000;
  std::chrono::seconds Duration{10};
  std::chrono::milliseconds Deadline{20'000};
  /// A line without a notification for this long registers again.
  std::chrono::milliseconds LineTimeout{3'000};
  std::uint64_t Seed = 1;
  /// libcoap's log level, 0 to 7; 7 shows every message.
  unsigned CoapLogLevel = LOG_CRIT;
};

/// What a request asks for.
enum class RequestKind : std::uint8_t { LargeRead, Confirm, OpenLine };

/// One request of the caller, over all its attempts.
struct Request {
  RequestKind Kind = RequestKind::LargeRead;
  std::string Id;
  unsigned Attempt = 0;
  std::vector<std::string> Path;
  std::string Echo;
  std::size_t SessionIndex = 0;
  /// Line that the request opens; unused otherwise.
  std::size_t LineIndex = 0;
  jasminearch::TimePoint Started{};
  /// Token of the attempt that waits for its answer; empty between attempts.
  std::string Token;
  /// When the next attempt is due, if none is waiting.
  jasminearch::TimePoint RetryAt{};
};

enum class LinePhase : std::uint8_t { Idle, Opening, Registering, Open };

/// A long-lived line: a resource that the upstream created and that the caller
/// observes.
struct Line {
  LinePhase Phase = LinePhase::Idle;
  std::vector<std::string> Path;
  std::size_t SessionIndex = 0;
  std::string Token;
  jasminearch::TimePoint LastActivity{};
  unsigned UnansweredRegistrations = 0;
  bool Rebound = false;
};

/// State of one caller process.
struct Caller {
  CallerOptions Options;
  coap_context_t *Context = nullptr;
  std::unique_ptr<RecordWriter> Records;
  std::vector<coap_session_t *> Sessions;
  std::list<Request> PendingRequests;
  std::vector<Line> Lines;
  std::mt19937_64 Random;
  jasminearch::TimePoint Started{};
  unsigned RequestCount = 0;
  unsigned Retries = 0;
  std::atomic<bool> Stopping{false};
};

/// Makes the context, the sessions and the lines.
bool startCaller(Caller &C);

/// Runs until all requests have ended and the duration is over.
void runCaller(Caller &C);

} // namespace standins

#endif // STANDINS_LIB_CALLER_H
