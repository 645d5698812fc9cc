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

/// Time within which a leaving upstream may still get new work.
inline constexpr std::int64_t DrainGraceMilliseconds = 3000;

/// A drain that an operator ordered, from the answer to the drain command to
/// the undrain command.
struct Drain {
  std::string Upstream;
  std::int64_t StartMilliseconds = 0;
  std::int64_t EndMilliseconds = std::numeric_limits<std::int64_t>::max();
};

/// Sums over the records of callers and upstreams.
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
  /// Runs at upstreams by attempt id.
  std::map<std::string, std::uint64_t> RunsByAttempt;
  /// New work at each upstream, by time; work on open lines isn't new.
  std::map<std::string, std::vector<std::int64_t>> NewWorkTimes;
  std::vector<Drain> Drains;
  std::uint64_t MaxInForceMilliseconds = 0;
  std::uint64_t InForceSamples = 0;
};

/// Adds one record of a caller, an upstream or the demonstration script.
void addRecord(RecordTotals &Totals, const nlohmann::json &Record);

/// \returns requests (all attempts together) that ran more than once.
std::uint64_t requestsRunTwice(const RecordTotals &Totals);

/// \returns attempts that ran although the caller was told "not run".
std::uint64_t refusedAttemptsThatRan(const RecordTotals &Totals);

/// \returns new work at upstreams that had been leaving for
/// DrainGraceMilliseconds.
std::uint64_t newWorkWhileDrained(const RecordTotals &Totals);

/// \returns the sums as one object with the keys that scripts/demo promises.
nlohmann::ordered_json summary(const RecordTotals &Totals);

/// \returns whether every request has one outcome and no promise is broken.
/// \param AllowBrokenLines after the loss of agents or upstreams, which ends
/// the lines on them.
bool allPromisesHold(const RecordTotals &Totals, bool AllowBrokenLines = false);

} // namespace standins

#endif // STANDINS_LIB_TALLY_H
