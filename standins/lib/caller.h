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

/// Settings of a caller process.
struct CallerOptions {
  jasminearch::Endpoint Address;
  std::string Service = "service";
  std::string Name = "caller";
  std::string RecordFile = "/dev/null";
  unsigned Lines = 0;
  unsigned Requests = 0;
  unsigned RequestsPerSecond = 100;
  /// Percentage of requests that fetch a large body; the others are
  /// non-idempotent.
  unsigned LargeReadPercent = 50;
  /// Number of lines that change their local port half-way through the run, as
  /// happens when a middlebox drops its mapping.
  unsigned RebindLines = 0;
  unsigned Sessions = 20;
  std::size_t LargeBodyBytes = 20'000;
  std::chrono::seconds Duration{10};
  std::chrono::milliseconds Deadline{20'000};
  /// Time without a notification after which a line registers again.
  std::chrono::milliseconds LineTimeout{3'000};
  std::uint64_t Seed = 1;
  /// libcoap's log level, 0 to 7; 7 logs every message.
  unsigned CoapLogLevel = LOG_CRIT;
};

/// Kinds of requests: an idempotent read of a large body, non-idempotent work,
/// and the creation of a line.
enum class RequestKind : std::uint8_t { LargeRead, Confirm, OpenLine };

/// A request with the state of its current attempt.
struct Request {
  RequestKind Kind = RequestKind::LargeRead;
  std::string Id;
  unsigned Attempt = 0;
  std::vector<std::string> Path;
  std::string Echo;
  std::size_t SessionIndex = 0;
  /// Line that an OpenLine request creates; unused for other kinds.
  std::size_t LineIndex = 0;
  jasminearch::TimePoint Started{};
  /// Token of the attempt that is waiting for an answer; empty between
  /// attempts.
  std::string Token;
  /// When to send the next attempt, if none is waiting for an answer.
  jasminearch::TimePoint RetryAt{};
};

enum class LinePhase : std::uint8_t { Idle, Opening, Registering, Open };

/// A line: a resource that the upstream created for this caller and that the
/// caller observes.
struct Line {
  LinePhase Phase = LinePhase::Idle;
  std::vector<std::string> Path;
  std::size_t SessionIndex = 0;
  std::string Token;
  /// Time of the last registration or notification.
  jasminearch::TimePoint LastActivity{};
  unsigned UnansweredRegistrations = 0;
  /// Whether the line has changed its local port.
  bool Rebound = false;
};

/// State of a caller process.
struct Caller {
  CallerOptions Options;
  coap_context_t *Context = nullptr;
  std::unique_ptr<RecordWriter> Records;
  std::vector<coap_session_t *> Sessions;
  /// Requests that have no outcome yet.
  std::list<Request> PendingRequests;
  std::vector<Line> Lines;
  std::mt19937_64 Random;
  jasminearch::TimePoint Started{};
  unsigned RequestCount = 0;
  unsigned Retries = 0;
  std::atomic<bool> Stopping{false};
};

/// Creates the CoAP context, the sessions and the lines.
/// \returns false if the context or a session can't be created.
bool startCaller(Caller &C);

/// Sends requests until the duration is over and every request has an outcome,
/// or until Stopping is set. Then records the final state of each line and
/// frees the sessions.
void runCaller(Caller &C);

} // namespace standins

#endif // STANDINS_LIB_CALLER_H
