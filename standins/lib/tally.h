#ifndef STANDINS_LIB_TALLY_H
#define STANDINS_LIB_TALLY_H

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

namespace standins {

/// Sums over the records of callers and upstreams.
struct Tally {
  std::uint64_t Requests = 0;
  std::uint64_t Answered = 0;
  std::uint64_t NotRun = 0;
  std::uint64_t Unknown = 0;
  std::uint64_t WrongAnswers = 0;
  std::uint64_t Misdelivered = 0;
  std::uint64_t BrokenLines = 0;
  std::set<std::string> Lines;
  std::set<std::string> RefusedAttempts;
  /// Runs at upstreams by attempt id.
  std::map<std::string, std::uint64_t> RunsByAttempt;
  std::uint64_t InForceMillisMax = 0;
  std::uint64_t InForceMeasured = 0;
};

/// Adds one record of a caller, an upstream or the demonstration script.
void addRecord(Tally &Sum, const nlohmann::json &Record);

/// \returns requests (all attempts together) that ran more than once.
std::uint64_t ranTwice(const Tally &Sum);

/// \returns attempts that ran although the caller was told "not run".
std::uint64_t notRunButRan(const Tally &Sum);

/// \returns the sums as one object with the keys that scripts/demo promises.
nlohmann::ordered_json summary(const Tally &Sum);

/// \returns whether every request has one outcome and no promise is broken.
bool holds(const Tally &Sum);

} // namespace standins

#endif // STANDINS_LIB_TALLY_H
