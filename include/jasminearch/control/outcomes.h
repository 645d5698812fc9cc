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

/// Whether the promises held: what the control leader keeps of the daemons'
/// reports and what it tells operators.
namespace jasminearch::control {

/// A host whose latest report is older counts as silent. Three report
/// intervals of 10 s.
inline constexpr std::chrono::seconds ReportAgeLimit{30};

/// Runs of one host whose counts are kept apart, so that a late report of a
/// former run replaces its counts instead of adding to them.
inline constexpr std::size_t RunsKeptApart = 8;

/// All promises, in the order of their numbers.
inline constexpr std::array<Promise, 8> AllPromises{
    Promise::LinesSurvive, Promise::NoMisdelivery,
    Promise::WholeAnswers, Promise::NotRunIsTrue,
    Promise::AtMostOnce,   Promise::NoWorkWhenLeaving,
    Promise::GracefulStop, Promise::ConfigurationHolds,
};

/// \returns the name of a promise for reports, for example "lines survive".
const char *name(Promise Which);

/// What an event concerns. Service zero stands for events of no service.
struct OutcomeKey {
  ServiceId Service;
  Promise Which{};

  auto operator<=>(const OutcomeKey &) const = default;
};

/// Numbers of events.
struct EventTotals {
  std::uint64_t Held = 0;
  std::uint64_t Broken = 0;
  std::uint64_t Unknown = 0;

  auto operator<=>(const EventTotals &) const = default;
};

/// Events that a report adds to what was known before.
struct OutcomeIncrement {
  OutcomeKey Key;
  EventTotals Added;

  auto operator<=>(const OutcomeIncrement &) const = default;
};

/// Counts of one run of a host.
struct RunCounts {
  std::uint64_t RunId = 0;
  std::map<OutcomeKey, EventTotals> Counts;
  /// Part of Counts that the sum of departed hosts has already.
  std::map<OutcomeKey, EventTotals> Excluded;
};

/// What one host has reported.
struct HostOutcomes {
  TimePoint LastReport{};
  /// Latest run last.
  std::deque<RunCounts> Runs;
  /// Sum over runs that are no longer kept apart.
  std::map<OutcomeKey, EventTotals> Former;
  /// Ids of those runs; their late reports are ignored.
  std::deque<std::uint64_t> FormerRuns;
  /// Latest evidence for each broken or unknown promise.
  std::map<OutcomeKey, std::string> Evidence;
};

/// A daemon's first report within this time after the book was started covers
/// an unknown time before it, so that it adds to the totals but to no minute.
inline constexpr std::chrono::seconds BaselinePeriod{60};

/// A host that left the configuration and is silent for this long is folded
/// into the sum of departed hosts.
inline constexpr std::chrono::hours DepartedAfter{24};

/// Longest evidence that is kept, in bytes.
inline constexpr std::size_t MaxEvidenceLength = 200;

/// All reports that a control leader has taken. In memory; a new leader starts
/// with an empty book, which the daemons' cumulative reports fill.
struct OutcomeStore {
  /// When this control host became the leader.
  TimePoint Since{};
  std::map<std::string, HostOutcomes> Hosts;
  /// Sum over departed hosts.
  std::map<OutcomeKey, EventTotals> Departed;
  /// Departed hosts and their last runs, longest departed first.
  std::deque<std::pair<std::string, std::uint64_t>> DepartedRuns;
};

/// Takes a report that arrived at \p Now. Counters that start again at zero
/// with a new RunId add to the former run's; a report that arrives twice or
/// out of order adds nothing twice.
/// \returns what the report adds to the totals within the last report interval,
/// for addToBurnHistory(). Complexity: O(C log C) for C
/// counts.
std::vector<OutcomeIncrement> recordOutcomeReport(OutcomeStore &Reports,
                                                  const OutcomeReport &Report,
                                                  TimePoint Now);

/// Folds hosts that left \p Config, see DepartedAfter. Call it now and then.
void mergeDepartedHosts(OutcomeStore &Reports, const Configuration &Config,
                        TimePoint Now);

/// What can be said about a promise.
enum class Verdict : std::uint8_t {
  Held = 0,
  Broken = 1,
  Unknown = 2,
  /// At least one host that could know is silent.
  CantTell = 3,
  /// All hosts report, and nothing happened that could hold or break it.
  NoEvents = 4,
};

/// \returns the name of a verdict for reports, for example "can't tell".
const char *name(Verdict Which);

/// A host of the configuration without a recent report.
struct SilentHost {
  std::string Host;
  /// Zero for entry hosts, which serve all services.
  ServiceId Service;
  /// Why nothing is known, for example "never reported".
  std::string Reason;

  auto operator<=>(const SilentHost &) const = default;
};

/// One promise of one service.
struct PromiseOutcome {
  ServiceId Service;
  std::string ServiceName;
  Promise Which{};
  Verdict Result{};
  EventTotals Totals;
  /// Hosts that could know about this promise but are silent.
  std::size_t SilentHosts = 0;
  /// "host: evidence" of the reports with broken or unknown events, at most
  /// EvidencePerPromise.
  std::vector<std::string> Evidence;

  auto operator<=>(const PromiseOutcome &) const = default;
};

/// Evidence lines that a summary gives for one promise.
inline constexpr std::size_t EvidencePerPromise = 3;

/// What jasminectl outcomes shows.
struct OutcomeSummary {
  Revision At;
  std::vector<PromiseOutcome> Promises;
  std::vector<SilentHost> Silent;

  auto operator<=>(const OutcomeSummary &) const = default;
};

/// Sums the book up for every service and promise of \p Config. A promise is
/// Held only if at least one event held, none broke or is unknown, and no host
/// that could know is silent. Hosts that are lost but still listed count as
/// silent once their last report is too old.
OutcomeSummary summarizeOutcomes(const OutcomeStore &Reports,
                                 const Configuration &Config, TimePoint Now);

/// \returns what needs a person, in one line.
std::string headline(const OutcomeSummary &Summary);

/// Formats a summary for a terminal; the first line is headline().
std::string formatTable(const OutcomeSummary &Summary);

/// JSON forms, found through argument-dependent lookup.
void to_json(nlohmann::json &Out, const SilentHost &Value);
void from_json(const nlohmann::json &In, SilentHost &Value);
void to_json(nlohmann::json &Out, const OutcomeSummary &Value);
void from_json(const nlohmann::json &In, OutcomeSummary &Value);

} // namespace jasminearch::control

#endif // JASMINEARCH_CONTROL_OUTCOMES_H
