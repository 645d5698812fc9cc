#ifndef JASMINEARCH_CONTROL_OUTCOMES_H
#define JASMINEARCH_CONTROL_OUTCOMES_H

#include "jasminearch/control/config_model.h"
#include "jasminearch/control/promise_counts.h"
#include "jasminearch/types.h"
#include <array>
#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

/// Promise outcomes: aggregation of the daemons' reports at the control leader,
/// and the summary for operators.
namespace jasminearch::control {

/// Age of the latest report beyond which a host counts as silent. Three report
/// intervals of 10 s.
inline constexpr std::chrono::seconds MaxReportAge{30};

/// Number of runs of one host whose counts are stored separately, so that a
/// late report of an earlier run updates its counts instead of adding to them.
inline constexpr std::size_t MaxSeparateRuns = 8;

/// All promises in numerical order.
inline constexpr std::array<Promise, 8> AllPromises{
    Promise::LinesSurvive, Promise::NoMisdelivery,
    Promise::WholeAnswers, Promise::NotRunIsTrue,
    Promise::AtMostOnce,   Promise::NoWorkWhenLeaving,
    Promise::GracefulStop, Promise::ConfigurationHolds,
};

/// \returns the display name of a promise, for example "lines survive".
const char *name(Promise Which);

/// Service and promise that an event concerns. Service zero stands for events
/// that belong to no service.
struct OutcomeKey {
  ServiceId Service;
  Promise Which{};

  auto operator<=>(const OutcomeKey &) const = default;
};

/// Number of events by outcome.
struct EventTotals {
  std::uint64_t Held = 0;
  std::uint64_t Broken = 0;
  std::uint64_t Unknown = 0;

  auto operator<=>(const EventTotals &) const = default;
};

/// Events by which a report increases the known totals.
struct OutcomeIncrement {
  OutcomeKey Key;
  EventTotals Added;

  auto operator<=>(const OutcomeIncrement &) const = default;
};

/// Latest counts of one run of a host.
struct RunCounts {
  std::uint64_t RunId = 0;
  std::map<OutcomeKey, EventTotals> Counts;
  /// Part of Counts that the sum over departed hosts already includes.
  std::map<OutcomeKey, EventTotals> AlreadyMerged;
};

/// Reported outcomes of one host.
struct HostOutcomes {
  TimePoint LastReport{};
  /// Most recent run last.
  std::deque<RunCounts> Runs;
  /// Sum over earlier runs that are no longer stored separately.
  std::map<OutcomeKey, EventTotals> EarlierTotals;
  /// Ids of those runs, whose late reports are ignored.
  std::deque<std::uint64_t> EarlierRuns;
  /// Latest evidence for each promise with broken or unknown events.
  std::map<OutcomeKey, std::string> Evidence;
};

/// Time after a leader change during which a daemon's first report is only a
/// baseline: it covers an unknown time before the change, so it adds to the
/// totals but not to the history by minute.
inline constexpr std::chrono::seconds BaselinePeriod{60};

/// Time without reports after which a host that has left the configuration is
/// merged into the sum over departed hosts.
inline constexpr std::chrono::hours DepartedHostTimeout{24};

/// Maximum length of stored evidence, in bytes; longer texts are truncated.
inline constexpr std::size_t MaxEvidenceBytes = 200;

/// All outcomes reported to a control leader. Held in memory: a new leader
/// starts empty and is filled by the daemons' cumulative reports.
struct OutcomeStore {
  /// When this control host became the leader.
  TimePoint Since{};
  /// Outcomes by host name.
  std::map<std::string, HostOutcomes> Hosts;
  /// Sum over departed hosts.
  std::map<OutcomeKey, EventTotals> Departed;
  /// Names and run ids of departed hosts, those departed the longest first.
  std::deque<std::pair<std::string, std::uint64_t>> DepartedRuns;
};

/// Records a report that arrived at \p Now. Counters that restart at zero with
/// a new RunId are added to those of earlier runs; duplicate and reordered
/// reports are not counted twice. Complexity: O(C log C) for C counts.
/// \returns the increases since the previous report, for addToBurnHistory();
/// none for a baseline, see BaselinePeriod.
std::vector<OutcomeIncrement> recordOutcomeReport(OutcomeStore &Reports,
                                                  const OutcomeReport &Report,
                                                  TimePoint Now);

/// Merges hosts that have left \p Config into the sum over departed hosts, see
/// DepartedHostTimeout. To be called periodically.
void mergeDepartedHosts(OutcomeStore &Reports, const Configuration &Config,
                        TimePoint Now);

/// Verdict on a promise.
enum class Verdict : std::uint8_t {
  Held = 0,
  Broken = 1,
  Unknown = 2,
  /// At least one host that could have seen events is silent.
  CantTell = 3,
  /// All hosts report, and none has seen an event of this promise.
  NoEvents = 4,
};

/// \returns the display name of a verdict, for example "can't tell".
const char *name(Verdict Which);

/// A host of the configuration without a recent report.
struct SilentHost {
  std::string Host;
  /// Zero for entry hosts, which serve all services.
  ServiceId Service;
  /// Why the host counts as silent, for example "never reported".
  std::string Reason;

  auto operator<=>(const SilentHost &) const = default;
};

/// Outcome of one promise of one service.
struct PromiseOutcome {
  ServiceId Service;
  std::string ServiceName;
  Promise Which{};
  Verdict Result{};
  EventTotals Totals;
  /// Number of silent hosts that could have seen events of this promise.
  std::size_t SilentHosts = 0;
  /// Evidence of broken and unknown events as "host: evidence", at most
  /// MaxEvidencePerPromise lines.
  std::vector<std::string> Evidence;

  auto operator<=>(const PromiseOutcome &) const = default;
};

/// Maximum number of evidence lines for one promise in a summary.
inline constexpr std::size_t MaxEvidencePerPromise = 3;

/// Outcomes of all promises, as shown by `jasminectl outcomes`.
struct OutcomeSummary {
  Revision At;
  std::vector<PromiseOutcome> Promises;
  std::vector<SilentHost> Silent;

  auto operator<=>(const OutcomeSummary &) const = default;
};

/// Summarizes the reported outcomes for every service of \p Config. A promise
/// is Held only if at least one event held it, no event is broken or unknown,
/// and no host that could have seen an event is silent. Lost hosts that are
/// still listed count as silent once their last report is older than
/// MaxReportAge.
OutcomeSummary summarizeOutcomes(const OutcomeStore &Reports,
                                 const Configuration &Config, TimePoint Now);

/// \returns one line that says whether an operator has to act, and on what.
std::string headline(const OutcomeSummary &Summary);

/// Formats a summary for a terminal; the first line is headline().
std::string formatTable(const OutcomeSummary &Summary);

/// JSON conversions, found by nlohmann::json through argument-dependent lookup.
void to_json(nlohmann::json &Out, const SilentHost &Value);
void from_json(const nlohmann::json &In, SilentHost &Value);
void to_json(nlohmann::json &Out, const OutcomeSummary &Value);
void from_json(const nlohmann::json &In, OutcomeSummary &Value);

} // namespace jasminearch::control

#endif // JASMINEARCH_CONTROL_OUTCOMES_H
