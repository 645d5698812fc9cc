#ifndef JASMINEARCH_CONTROL_PROMISE_COUNTS_H
#define JASMINEARCH_CONTROL_PROMISE_COUNTS_H

#include "jasminearch/types.h"
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace jasminearch::control {

/// The promises of docs/design.md, section 1.1, with the same numbers.
enum class Promise : std::uint8_t {
  LinesSurvive = 1,
  NoMisdelivery = 2,
  WholeAnswers = 3,
  NotRunIsTrue = 4,
  AtMostOnce = 5,
  NoWorkWhenLeaving = 6,
  GracefulStop = 7,
  ConfigurationHolds = 8,
};

/// Events that one daemon has counted for one promise since it started.
struct PromiseCount {
  ServiceId Service;
  Promise Which{};
  std::uint64_t Held = 0;
  std::uint64_t Broken = 0;
  std::uint64_t Unknown = 0;
  /// Description of the latest broken or unknown event; empty if there is none.
  std::string Evidence;

  auto operator<=>(const PromiseCount &) const = default;
};

/// Cumulative counts of one daemon since its start, sent every 10 s.
struct OutcomeReport {
  std::string Host;
  /// Identifies one run of the daemon, so that counters that restart at zero
  /// are not mistaken for a decrease.
  std::uint64_t RunId = 0;
  std::vector<PromiseCount> Counts;

  auto operator<=>(const OutcomeReport &) const = default;
};

} // namespace jasminearch::control

#endif // JASMINEARCH_CONTROL_PROMISE_COUNTS_H
