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

/// Error-budget burn rates. The error budget is the share of bad events that an
/// objective allows; a burn rate of 1 spends exactly this budget.
namespace jasminearch::control {

/// Length of the stored history, in minutes; equals the longest window.
inline constexpr std::size_t HistoryMinutes = 360;

/// Alerting rule with two windows whose burn rates must both reach the
/// threshold. The long window shows that the problem is significant, the short
/// one that it is still ongoing.
struct BurnRule {
  std::chrono::minutes Short;
  std::chrono::minutes Long;
  /// Burn rate from which an operator has to act.
  double Threshold;
};

/// 14.4 spends 2% of a 30-day budget within 1 h, 6 spends 5% within 6 h.
inline constexpr std::array<BurnRule, 2> BurnRules{{
    {std::chrono::minutes{5}, std::chrono::minutes{60}, 14.4},
    {std::chrono::minutes{30}, std::chrono::minutes{360}, 6.0},
}};

/// Upper limit of burn rates, and the rate of any bad event if there is no
/// error budget. Stands in for infinity, which JSON cannot represent.
inline constexpr double MaxBurnRate = 1e9;

/// Events of one promise by minute.
struct MinuteSeries {
  /// Ring buffer of good events by minute.
  std::vector<std::uint32_t> Good;
  /// Bad events by minute; sparse, because few minutes have any.
  std::map<std::int64_t, std::uint64_t> Bad;
  /// Latest minute with recorded events.
  std::int64_t Latest = 0;
};

/// Events of all services and promises, held in memory by the control leader.
struct BurnHistory {
  /// First minute of the history; windows are cut off at it.
  std::int64_t Since = 0;
  bool Started = false;
  std::map<OutcomeKey, MinuteSeries> Series;
};

/// Clears the history and starts it at \p Now, when a host becomes the leader.
void startBurnHistory(BurnHistory &History, TimePoint Now);

/// Adds events that were reported at \p Now. Both broken and unknown events
/// count as bad, because a caller with an uncertain answer was not served.
void addToBurnHistory(BurnHistory &History,
                      const std::vector<OutcomeIncrement> &Increments,
                      TimePoint Now);

/// \returns the required share of good events: taken from the profile for
/// promises about service quality, and 1 for promises that must never break (no
/// misdelivery, "not run" is true, at most once).
double objective(Promise Which, const Objectives &Targets);

/// Burn rate over one window.
struct WindowBurn {
  std::chrono::minutes Length{};
  std::uint64_t Good = 0;
  std::uint64_t Bad = 0;
  /// Share of bad events divided by the share that the objective allows.
  double Rate = 0;
  /// Part of the window that the history covers.
  std::chrono::minutes Covered{};

  auto operator<=>(const WindowBurn &) const = default;
};

/// Burn rates of one promise of one service.
struct BurnRow {
  ServiceId Service;
  std::string ServiceName;
  Promise Which{};
  double Objective = 0;
  /// Short and long window of each rule, in the order of BurnRules.
  std::vector<WindowBurn> Windows;
  /// Whether both windows of at least one rule reach its threshold.
  bool NeedsPerson = false;
  /// Burn rate of each of the last HistoryMinutes minutes, oldest first. Set
  /// only for the first MaxPlottedRows rows, and only if they had bad events.
  std::vector<double> Minutes;

  auto operator<=>(const BurnRow &) const = default;
};

/// Number of rows whose burn rate is reported by minute and plotted.
inline constexpr std::size_t MaxPlottedRows = 6;

/// Burn rates of all services and promises, as shown by `jasminectl report
/// burn`.
struct BurnReport {
  Revision At;
  /// Wall-clock time of the report, in seconds since 1970 (UTC).
  std::int64_t Seconds = 0;
  /// Rows with events: those that need an operator first, then by burn rate.
  std::vector<BurnRow> Rows;
  std::vector<SilentHost> Silent;

  auto operator<=>(const BurnReport &) const = default;
};

/// Computes the report for every service and promise with events in the
/// history.
BurnReport makeBurnReport(const BurnHistory &History,
                          const OutcomeStore &Reports,
                          const Configuration &Config, TimePoint Now,
                          WallTime Wall);

/// \returns one line that says whether an operator has to act, and on what.
std::string headline(const BurnReport &Report);

/// Formats a report for a terminal; the first line is headline().
std::string formatTable(const BurnReport &Report);

/// Formats a report as a self-contained HTML page with an inline SVG plot; the
/// first line of its text is headline().
std::string formatHtml(const BurnReport &Report);

void to_json(nlohmann::json &Out, const BurnReport &Value);
void from_json(const nlohmann::json &In, BurnReport &Value);

} // namespace jasminearch::control

#endif // JASMINEARCH_CONTROL_BURN_REPORT_H
