#ifndef JASMINEARCH_CONTROL_BURN_REPORT_H
#define JASMINEARCH_CONTROL_BURN_REPORT_H

#include "jasminearch/control/config_model.h"
#include "jasminearch/control/outcomes.h"
#include "jasminearch/types.h"
#include <array>
#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

/// Error-budget burn: how much faster than the objective allows a service
/// spends its share of events that may go wrong.
namespace jasminearch::control {

/// Minutes of history that are kept: the longest window.
inline constexpr std::size_t HistoryMinutes = 360;

/// A pair of windows that must both burn too fast. The long one shows that the
/// problem matters, the short one that it still goes on.
struct BurnRule {
  std::chrono::minutes Short;
  std::chrono::minutes Long;
  /// Burn rate from which a person is needed.
  double Threshold;
};

/// 14.4 spends 2% of a 30-day budget within 1 h, 6 spends 5% within 6 h.
inline constexpr std::array<BurnRule, 2> BurnRules{{
    {std::chrono::minutes{5}, std::chrono::minutes{60}, 14.4},
    {std::chrono::minutes{30}, std::chrono::minutes{360}, 6.0},
}};

/// Burn rate of a promise without a budget that had a bad event, in place of
/// infinity, which JSON can't express.
inline constexpr double BurnWithoutBudget = 1e9;

/// Events of one promise, one place a minute.
struct MinuteSeries {
  /// Good events by minute, modulo the number of places.
  std::vector<std::uint32_t> Good;
  /// Bad events by minute; few minutes have any.
  std::map<std::int64_t, std::uint64_t> Bad;
  /// Latest minute with events.
  std::int64_t Latest = 0;
};

/// History of all services and promises at the control leader, in memory.
struct BurnHistory {
  /// Minute of the first increment; windows can't reach further back.
  std::int64_t Since = 0;
  bool Started = false;
  std::map<OutcomeKey, MinuteSeries> Series;
};

/// Starts the history at \p Now, when a control host becomes the leader.
void startBurnHistory(BurnHistory &History, TimePoint Now);

/// Adds events that were reported at \p Now. Broken and unknown events are
/// bad: a caller without a certain answer was not served.
void addToBurnHistory(BurnHistory &History,
                      const std::vector<OutcomeIncrement> &Increments,
                      TimePoint Now);

/// \returns the share of events that must go well: from the profile for
/// promises about service quality, 1 for those that must never break (no
/// misdelivery, "not run" is true, at most once).
double objective(Promise Which, const Objectives &Targets);

/// Burn over one window.
struct WindowBurn {
  std::chrono::minutes Length{};
  std::uint64_t Good = 0;
  std::uint64_t Bad = 0;
  /// Share of bad events over the share that the objective allows.
  double Rate = 0;
  /// Minutes of the window that the history covers.
  std::chrono::minutes Covered{};

  auto operator<=>(const WindowBurn &) const = default;
};

/// Burn of one promise of one service.
struct BurnRow {
  ServiceId Service;
  std::string ServiceName;
  Promise Which{};
  double Objective = 0;
  /// Windows of BurnRules: short and long of each rule, in their order.
  std::vector<WindowBurn> Windows;
  /// Whether both windows of at least one rule burn too fast.
  bool NeedsPerson = false;
  /// Burn rate of each of the last HistoryMinutes minutes, oldest first. Only
  /// for the PlottedRows most urgent rows, and only if something went wrong.
  std::vector<double> Minutes;

  auto operator<=>(const BurnRow &) const = default;
};

/// Rows whose burn rate is reported by minute and plotted.
inline constexpr std::size_t PlottedRows = 6;

struct BurnReport {
  Revision At;
  /// Wall-clock time of the report, in seconds since 1970 (UTC).
  std::int64_t Seconds = 0;
  /// Rows with events, those that need a person first, then by burn rate.
  std::vector<BurnRow> Rows;
  std::vector<SilentHost> Silent;

  auto operator<=>(const BurnReport &) const = default;
};

/// Reports on every service and promise with events in the history.
BurnReport makeBurnReport(const BurnHistory &History,
                          const OutcomeStore &Reports,
                          const Configuration &Config, TimePoint Now,
                          WallTime Wall);

/// \returns what needs a person, in one line.
std::string headline(const BurnReport &Report);

/// Formats a report for a terminal; the first line is headline().
std::string formatTable(const BurnReport &Report);

/// Formats a report as one HTML page with an inline SVG plot and without
/// references to other files; the first line of its text is headline().
std::string formatHtml(const BurnReport &Report);

void to_json(nlohmann::json &Out, const BurnReport &Value);
void from_json(const nlohmann::json &In, BurnReport &Value);

} // namespace jasminearch::control

#endif // JASMINEARCH_CONTROL_BURN_REPORT_H
