#ifndef STANDINS_LIB_TALLY_H
#define STANDINS_LIB_TALLY_H

#include <cstdint>
#include <limits>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

namespace standins {

/// Time after the start of a drain during which an upstream may still get new
/// work.
inline constexpr std::int64_t DrainGraceMilliseconds = 3000;

/// A drain that an operator ordered: from the response to the drain command to
/// the undrain command.
struct Drain {
  std::string Upstream;
  std::int64_t StartMilliseconds = 0;
  std::int64_t EndMilliseconds = std::numeric_limits<std::int64_t>::max();
};

/// Totals over the records of callers and upstreams.
struct RecordTotals {
  std::uint64_t Requests = 0;
  std::uint64_t Answered = 0;
  std::uint64_t NotRun = 0;
  std::uint64_t Unknown = 0;
  std::uint64_t WrongAnswers = 0;
  std::uint64_t Misdelivered = 0;
  std::uint64_t BrokenLines = 0;
  std::set<std::string> OpenedLines;
  std::set<std::string> RefusedAttempts;
  /// Number of times that each attempt ran at upstreams, by attempt id.
  std::map<std::string, std::uint64_t> RunsByAttempt;
  /// Start times of new work in milliseconds, by upstream. Work on lines that
  /// were already open isn't new.
  std::map<std::string, std::vector<std::int64_t>> NewWorkTimes;
  std::vector<Drain> Drains;
  std::uint64_t MaxInForceMilliseconds = 0;
  std::uint64_t InForceSamples = 0;
};

/// Adds one record of a caller, an upstream or the demonstration script
/// (scripts/demo).
void addRecord(RecordTotals &Totals, const nlohmann::json &Record);

/// \returns the number of requests that ran more than once, over all their
/// attempts.
std::uint64_t requestsRunTwice(const RecordTotals &Totals);

/// \returns the number of attempts that ran although the caller was told "not
/// run".
std::uint64_t refusedAttemptsThatRan(const RecordTotals &Totals);

/// \returns how many times an upstream got new work later than
/// DrainGraceMilliseconds after the start of its drain.
std::uint64_t newWorkWhileDrained(const RecordTotals &Totals);

/// \returns the totals as one JSON object, with the keys that scripts/demo
/// prints.
nlohmann::ordered_json summary(const RecordTotals &Totals);

/// \returns whether every request has exactly one outcome, at least one was
/// answered and no promise was broken.
/// \param AllowBrokenLines for runs that lose agents or upstreams, which ends
/// the lines on them.
bool allPromisesHold(const RecordTotals &Totals, bool AllowBrokenLines = false);

} // namespace standins

#endif // STANDINS_LIB_TALLY_H
