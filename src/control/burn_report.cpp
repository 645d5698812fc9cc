#include "jasminearch/control/burn_report.h"
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_replace.h>
#include <absl/time/time.h>
#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>
#include <utility>

namespace jasminearch::control {

using nlohmann::json;

// History ---------------------------------------------------------------------

namespace {

/// One place more than the longest window, because the current minute is
/// partial.
constexpr std::size_t Places = HistoryMinutes + 1;

std::int64_t minuteOf(TimePoint T) {
  return std::chrono::floor<std::chrono::minutes>(T.time_since_epoch()).count();
}

std::size_t placeOf(std::int64_t Minute) {
  const auto Size = static_cast<std::int64_t>(Places);
  return static_cast<std::size_t>(((Minute % Size) + Size) % Size);
}

/// Makes \p Minute the latest one and clears the places in between.
void advance(MinuteSeries &Series, std::int64_t Minute) {
  if (Series.Good.empty()) {
    Series.Good.assign(Places, 0);
    Series.Latest = Minute;
    return;
  }
  const std::int64_t Oldest = Minute - static_cast<std::int64_t>(Places) + 1;
  for (std::int64_t M = std::max(Series.Latest + 1, Oldest); M <= Minute; ++M)
    Series.Good[placeOf(M)] = 0;
  Series.Latest = std::max(Series.Latest, Minute);
  Series.Bad.erase(Series.Bad.begin(), Series.Bad.lower_bound(Oldest));
}

std::uint64_t goodAt(const MinuteSeries &Series, std::int64_t Minute) {
  const std::int64_t Oldest =
      Series.Latest - static_cast<std::int64_t>(Places) + 1;
  if (Minute > Series.Latest || Minute < Oldest)
    return 0;
  return Series.Good[placeOf(Minute)];
}

std::uint64_t badAt(const MinuteSeries &Series, std::int64_t Minute) {
  const auto At = Series.Bad.find(Minute);
  return At == Series.Bad.end() ? 0 : At->second;
}

} // namespace

void startBurnHistory(BurnHistory &History, TimePoint Now) {
  History = BurnHistory{};
  History.Since = minuteOf(Now);
  History.Started = true;
}

void addToBurnHistory(BurnHistory &History,
                      const std::vector<OutcomeIncrement> &Increments,
                      TimePoint Now) {
  if (!History.Started)
    startBurnHistory(History, Now);
  const std::int64_t Minute = minuteOf(Now);
  constexpr std::uint64_t Most = std::numeric_limits<std::uint32_t>::max();
  for (const OutcomeIncrement &I : Increments) {
    MinuteSeries &Series = History.Series[I.Key];
    advance(Series, Minute);
    std::uint32_t &Good = Series.Good[placeOf(Minute)];
    Good = static_cast<std::uint32_t>(std::min(Most, Good + I.Added.Held));
    if (const std::uint64_t Bad = I.Added.Broken + I.Added.Unknown; Bad > 0)
      Series.Bad[Minute] += Bad;
  }
}

// Burn rates ------------------------------------------------------------------

double objective(Promise Which, const Objectives &Targets) {
  switch (Which) {
  case Promise::LinesSurvive:
    return Targets.LinesWhole;
  case Promise::WholeAnswers:
  case Promise::GracefulStop:
    return Targets.Answered;
  case Promise::NoWorkWhenLeaving:
  case Promise::ConfigurationHolds:
    return Targets.WithinDeadline;
  case Promise::NoMisdelivery:
  case Promise::NotRunIsTrue:
  case Promise::AtMostOnce:
    return 1;
  }
  return 1;
}

namespace {

double burnRate(std::uint64_t Good, std::uint64_t Bad, double Objective) {
  if (Bad == 0)
    return 0;
  const double Share =
      static_cast<double>(Bad) / static_cast<double>(Good + Bad);
  const double Budget = 1 - Objective;
  return Budget <= 0 ? BurnWithoutBudget
                     : std::min(BurnWithoutBudget, Share / Budget);
}

WindowBurn burnOver(const MinuteSeries &Series, std::chrono::minutes Length,
                    double Objective, std::int64_t Since, std::int64_t Now) {
  WindowBurn Window;
  Window.Length = Length;
  const std::int64_t First = std::max(Since, Now - Length.count());
  for (std::int64_t M = First; M <= Now; ++M) {
    Window.Good += goodAt(Series, M);
    Window.Bad += badAt(Series, M);
  }
  Window.Covered = std::chrono::minutes(Now - First);
  Window.Rate = burnRate(Window.Good, Window.Bad, Objective);
  return Window;
}

std::vector<double> minuteRates(const MinuteSeries &Series, double Objective,
                                std::int64_t Now) {
  std::vector<double> Rates;
  if (Series.Bad.empty())
    return Rates;
  const auto Count = static_cast<std::int64_t>(HistoryMinutes);
  for (std::int64_t M = Now - Count + 1; M <= Now; ++M)
    Rates.push_back(burnRate(goodAt(Series, M), badAt(Series, M), Objective));
  return Rates;
}

BurnRow makeRow(const OutcomeKey &Key, const MinuteSeries &Series,
                const Configuration &Config, std::int64_t Since,
                std::int64_t Now) {
  BurnRow Row;
  Row.Service = Key.Service;
  Row.Which = Key.Which;
  Row.ServiceName =
      Key.Service.Number == 0 ? "-" : absl::StrCat("#", Key.Service.Number);
  Objectives Targets;
  if (const auto S = Config.Services.find(Key.Service);
      S != Config.Services.end()) {
    Row.ServiceName = S->second.Name;
    Targets = Config.Profiles.at(S->second.ProfileName).Targets;
  }
  Row.Objective = objective(Key.Which, Targets);
  for (const BurnRule &Rule : BurnRules) {
    const auto Over = [&](std::chrono::minutes Length) {
      return burnOver(Series, Length, Row.Objective, Since, Now);
    };
    Row.Windows.push_back(Over(Rule.Short));
    Row.Windows.push_back(Over(Rule.Long));
    const double Lower = std::min(Row.Windows.back().Rate,
                                  std::prev(Row.Windows.end(), 2)->Rate);
    Row.NeedsPerson = Row.NeedsPerson || Lower >= Rule.Threshold;
  }
  return Row;
}

double highestRate(const BurnRow &Row) {
  double Highest = 0;
  for (const WindowBurn &Window : Row.Windows)
    Highest = std::max(Highest, Window.Rate);
  return Highest;
}

bool moreUrgent(const BurnRow &A, const BurnRow &B) {
  return std::tuple(!A.NeedsPerson, -highestRate(A), A.ServiceName, A.Which) <
         std::tuple(!B.NeedsPerson, -highestRate(B), B.ServiceName, B.Which);
}

} // namespace

BurnReport makeBurnReport(const BurnHistory &History,
                          const OutcomeStore &Reports,
                          const Configuration &Config, TimePoint Now,
                          WallTime Wall) {
  BurnReport Report;
  Report.At = Config.InForce;
  Report.Seconds =
      std::chrono::duration_cast<std::chrono::seconds>(Wall.time_since_epoch())
          .count();
  const std::int64_t Minute = minuteOf(Now);
  for (const auto &[Key, Series] : History.Series) {
    BurnRow Row = makeRow(Key, Series, Config, History.Since, Minute);
    if (Row.Windows.back().Good + Row.Windows.back().Bad > 0)
      Report.Rows.push_back(std::move(Row));
  }
  std::sort(Report.Rows.begin(), Report.Rows.end(), moreUrgent);
  for (std::size_t I = 0; I < std::min(PlottedRows, Report.Rows.size()); ++I) {
    BurnRow &Row = Report.Rows[I];
    Row.Minutes = minuteRates(History.Series.at({Row.Service, Row.Which}),
                              Row.Objective, Minute);
  }
  Report.Silent = summarizeOutcomes(Reports, Config, Now).Silent;
  return Report;
}

// Text ------------------------------------------------------------------------

namespace {

std::string rateText(double Rate) {
  if (Rate >= BurnWithoutBudget)
    return "no budget";
  return absl::StrFormat("%.1f", Rate);
}

std::string objectiveText(double Objective) {
  return absl::StrFormat("%.3f%%", Objective * 100);
}

std::string timeText(std::int64_t Seconds) {
  return absl::FormatTime("%Y-%m-%d %H:%M UTC", absl::FromUnixSeconds(Seconds),
                          absl::UTCTimeZone());
}

/// \returns a note if the history is shorter than the longest window.
std::string coverage(const BurnReport &Report) {
  for (const BurnRow &Row : Report.Rows)
    for (const WindowBurn &Window : Row.Windows)
      if (Window.Length.count() == HistoryMinutes &&
          Window.Covered < Window.Length)
        return absl::StrCat("The history covers the last ",
                            Window.Covered.count(),
                            " min, since the control leader took over.\n");
  return "";
}

} // namespace

std::string headline(const BurnReport &Report) {
  const auto Urgent =
      std::count_if(Report.Rows.begin(), Report.Rows.end(),
                    [](const auto &R) { return R.NeedsPerson; });
  std::string Line;
  if (Urgent > 0)
    absl::StrAppend(
        &Line, Report.Rows.front().ServiceName, ", ",
        name(Report.Rows.front().Which), " burns its error budget too fast",
        Urgent > 1 ? absl::StrCat(" (and ", Urgent - 1, " more)") : "");
  if (!Report.Silent.empty())
    absl::StrAppend(&Line, Line.empty() ? "" : "; ", "can't tell for ",
                    Report.Silent.size(),
                    " hosts, first: ", Report.Silent.front().Host);
  if (!Line.empty())
    return "Needs a person: " + Line + ".";
  if (Report.Rows.empty())
    return "Nothing needs a person: all hosts report, and there were no "
           "events.";
  return "Nothing needs a person: no error budget burns too fast and all hosts "
         "report.";
}

std::string formatTable(const BurnReport &Report) {
  std::string Text = headline(Report) + "\n" + coverage(Report) + "\n";
  absl::StrAppendFormat(&Text, "%-20s %-21s %10s", "SERVICE", "PROMISE",
                        "OBJECTIVE");
  for (const BurnRule &Rule : BurnRules)
    absl::StrAppendFormat(&Text, " %9s %9s",
                          absl::StrCat(Rule.Short.count(), " MIN"),
                          absl::StrCat(Rule.Long.count(), " MIN"));
  Text += "  PERSON\n";
  for (const BurnRow &Row : Report.Rows) {
    absl::StrAppendFormat(&Text, "%-20s %-21s %10s", Row.ServiceName,
                          name(Row.Which), objectiveText(Row.Objective));
    for (const WindowBurn &Window : Row.Windows)
      absl::StrAppendFormat(&Text, " %9s", rateText(Window.Rate));
    Text += Row.NeedsPerson ? "  needed\n" : "  -\n";
  }
  for (const SilentHost &Host : Report.Silent)
    absl::StrAppend(&Text, "can't tell: ", Host.Host, ": ", Host.Reason, "\n");
  return Text;
}

// HTML ------------------------------------------------------------------------

namespace {

// Size of the plot, in SVG units.
constexpr double PlotWidth = 720;
constexpr double PlotHeight = 240;
constexpr double PlotLeft = 60;
constexpr double PlotTop = 10;

/// Burn rates from 0.1 to 1000 are shown, on a logarithmic scale.
constexpr double LowestDecade = -1;
constexpr double HighestDecade = 3;

constexpr std::array<const char *, PlottedRows> Colours{
    "#c0392b", "#2471a3", "#1e8449", "#b9770e", "#6c3483", "#566573"};

std::string escape(const std::string &Text) {
  return absl::StrReplaceAll(
      Text, {{"&", "&amp;"}, {"<", "&lt;"}, {">", "&gt;"}, {"\"", "&quot;"}});
}

double plotX(std::size_t Minute) {
  return PlotLeft + PlotWidth * static_cast<double>(Minute) /
                        static_cast<double>(HistoryMinutes - 1);
}

double plotY(double Rate) {
  const double Decade =
      std::clamp(std::log10(std::max(Rate, 1e-9)), LowestDecade, HighestDecade);
  return PlotTop +
         PlotHeight * (HighestDecade - Decade) / (HighestDecade - LowestDecade);
}

void appendLine(std::string &Svg, double Rate, const char *Style,
                const std::string &Label) {
  absl::StrAppendFormat(
      &Svg,
      "<line x1=\"%.0f\" y1=\"%.1f\" x2=\"%.0f\" y2=\"%.1f\" %s/>"
      "<text x=\"%.0f\" y=\"%.1f\" text-anchor=\"end\">%s</text>\n",
      PlotLeft, plotY(Rate), PlotLeft + PlotWidth, plotY(Rate), Style,
      PlotLeft - 5, plotY(Rate) + 4, Label);
}

void appendAxes(std::string &Svg) {
  for (const double Rate : {0.1, 1.0, 10.0, 100.0, 1000.0})
    appendLine(Svg, Rate, "stroke=\"#ddd\"", absl::StrFormat("%g", Rate));
  for (const BurnRule &Rule : BurnRules)
    appendLine(
        Svg, Rule.Threshold, "stroke=\"#c0392b\" stroke-dasharray=\"4 3\"",
        Rule.Threshold < 10 ? absl::StrFormat("%g", Rule.Threshold) : "");
  constexpr std::size_t MinutesPerHour = 60;
  for (std::size_t M = 0; M <= HistoryMinutes; M += MinutesPerHour)
    absl::StrAppendFormat(
        &Svg, "<text x=\"%.0f\" y=\"%.0f\" text-anchor=\"middle\">%s</text>\n",
        plotX(std::min(M, HistoryMinutes - 1)), PlotTop + PlotHeight + 18,
        M == HistoryMinutes
            ? "now"
            : absl::StrCat("-", (HistoryMinutes - M) / MinutesPerHour, " h"));
}

std::string plot(const BurnReport &Report) {
  std::string Svg = absl::StrFormat(
      "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%.0f\" "
      "height=\"%.0f\" font-family=\"sans-serif\" font-size=\"11\" "
      "role=\"img\" aria-label=\"Burn rate by minute\">\n",
      PlotLeft + PlotWidth + 20, PlotTop + PlotHeight + 30);
  appendAxes(Svg);
  std::size_t Plotted = 0;
  for (const BurnRow &Row : Report.Rows) {
    if (Plotted == PlottedRows)
      break;
    if (Row.Minutes.empty())
      continue;
    absl::StrAppendFormat(&Svg,
                          "<polyline fill=\"none\" stroke=\"%s\" points=\"",
                          Colours[Plotted++]);
    for (std::size_t M = 0; M < Row.Minutes.size(); ++M)
      absl::StrAppendFormat(&Svg, "%.1f,%.1f ", plotX(M),
                            plotY(Row.Minutes[M]));
    absl::StrAppend(&Svg, "\"><title>", escape(Row.ServiceName), ", ",
                    name(Row.Which), "</title></polyline>\n");
  }
  return Svg + "</svg>\n";
}

void appendLegend(std::string &Html, const BurnReport &Report) {
  std::size_t Plotted = 0;
  for (const BurnRow &Row : Report.Rows) {
    if (Row.Minutes.empty() || Plotted == PlottedRows)
      continue;
    absl::StrAppendFormat(
        &Html, "<span style=\"color:%s\">&#9632; %s, %s</span> ",
        Colours[Plotted++], escape(Row.ServiceName), name(Row.Which));
  }
}

void appendTable(std::string &Html, const BurnReport &Report) {
  Html += "<table><tr><th>Service</th><th>Promise</th><th>Objective</th>";
  for (const BurnRule &Rule : BurnRules)
    absl::StrAppendFormat(&Html, "<th>%d min</th><th>%d min</th>",
                          Rule.Short.count(), Rule.Long.count());
  Html += "<th>Person</th></tr>\n";
  for (const BurnRow &Row : Report.Rows) {
    absl::StrAppend(&Html, Row.NeedsPerson ? "<tr class=\"p\">" : "<tr>",
                    "<td>", escape(Row.ServiceName), "</td><td>",
                    name(Row.Which), "</td><td>", objectiveText(Row.Objective),
                    "</td>");
    for (const WindowBurn &Window : Row.Windows)
      absl::StrAppend(&Html, "<td>", rateText(Window.Rate), "</td>");
    absl::StrAppend(&Html, "<td>", Row.NeedsPerson ? "needed" : "-",
                    "</td></tr>\n");
  }
  Html += "</table>\n";
}

} // namespace

std::string formatHtml(const BurnReport &Report) {
  std::string Html = absl::StrCat(
      "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">"
      "<title>Error-budget burn</title>\n<style>body{font-family:sans-serif}"
      "td,th{padding:2px 10px;text-align:right}td:first-child,"
      "td:nth-child(2){text-align:left}.p{background:#fadbd8}</style></head>"
      "<body>\n<p><strong>",
      escape(headline(Report)), "</strong></p>\n<p>", coverage(Report),
      "Revision ", Report.At.Number, ", ", timeText(Report.Seconds),
      "</p>\n<p>Burn rate by minute; dashed lines show the rates from which a "
      "person is needed.</p>\n",
      plot(Report), "<p>");
  appendLegend(Html, Report);
  Html += "</p>\n";
  appendTable(Html, Report);
  for (const SilentHost &Host : Report.Silent)
    absl::StrAppend(&Html, "<p>Can't tell: ", escape(Host.Host), ": ",
                    escape(Host.Reason), "</p>\n");
  return Html + "</body></html>\n";
}

// JSON ------------------------------------------------------------------------

static void to_json(json &Out, const WindowBurn &V) {
  Out = {{"minutes", V.Length.count()},
         {"good", V.Good},
         {"bad", V.Bad},
         {"rate", V.Rate},
         {"covered_minutes", V.Covered.count()}};
}

static void from_json(const json &In, WindowBurn &V) {
  V.Length = std::chrono::minutes(In.at("minutes").get<std::int64_t>());
  In.at("good").get_to(V.Good);
  In.at("bad").get_to(V.Bad);
  In.at("rate").get_to(V.Rate);
  V.Covered =
      std::chrono::minutes(In.at("covered_minutes").get<std::int64_t>());
}

static void to_json(json &Out, const BurnRow &V) {
  Out = {{"service", V.Service.Number},
         {"service_name", V.ServiceName},
         {"promise", static_cast<unsigned>(V.Which)},
         {"promise_name", name(V.Which)},
         {"objective", V.Objective},
         {"windows", V.Windows},
         {"needs_person", V.NeedsPerson},
         {"rate_by_minute", V.Minutes}};
}

static void from_json(const json &In, BurnRow &V) {
  In.at("service").get_to(V.Service.Number);
  In.at("service_name").get_to(V.ServiceName);
  V.Which = static_cast<Promise>(In.at("promise").get<std::uint8_t>());
  In.at("objective").get_to(V.Objective);
  In.at("windows").get_to(V.Windows);
  In.at("needs_person").get_to(V.NeedsPerson);
  In.at("rate_by_minute").get_to(V.Minutes);
}

void to_json(json &Out, const BurnReport &V) {
  Out = {{"headline", headline(V)},
         {"revision", V.At.Number},
         {"seconds", V.Seconds},
         {"rows", V.Rows},
         {"silent", V.Silent}};
}

void from_json(const json &In, BurnReport &V) {
  In.at("revision").get_to(V.At.Number);
  In.at("seconds").get_to(V.Seconds);
  In.at("rows").get_to(V.Rows);
  In.at("silent").get_to(V.Silent);
}

} // namespace jasminearch::control
