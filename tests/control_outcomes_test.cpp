#include "jasminearch/control/burn_report.h"
#include "jasminearch/control/outcomes.h"
#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <string>
#include <vector>

using namespace jasminearch;
using namespace jasminearch::control;
using namespace std::chrono_literals;

namespace {

constexpr ServiceId Order{1};

/// Two agents of one service and an entry host.
Configuration deployment() {
  Configuration C;
  C.InForce = Revision{9};
  Profile P;
  P.Name = "tablets";
  C.Profiles["tablets"] = P;
  C.Services[Order] = {Order, "order", {1, 2}, "tablets", {}};
  for (std::uint32_t Id : {1, 2}) {
    Upstream U;
    U.Id = UpstreamId{Id};
    U.Name = "order-" + std::to_string(Id);
    U.Service = Order;
    U.Phase = UpstreamPhase::Active;
    C.Upstreams[U.Id] = U;
  }
  C.Entries["entry-1"] = {"entry-1", "north", {1, 3}, true, {}};
  return C;
}

OutcomeReport report(const std::string &Host, std::uint64_t Run,
                     std::uint64_t Held, std::uint64_t Broken = 0,
                     std::uint64_t Unknown = 0,
                     Promise Which = Promise::LinesSurvive) {
  return {Host, Run, {{Order, Which, Held, Broken, Unknown, "line 7 cut"}}};
}

/// A control leader's records, an hour after it took over.
struct Leader {
  OutcomeStore Reports;
  BurnHistory History;
  TimePoint Now = TimePoint{} + 24h;

  Leader() {
    Reports.Since = Now;
    startBurnHistory(History, Now);
    Now += 7h;
  }
  void take(const OutcomeReport &Report) {
    addToBurnHistory(History, recordOutcomeReport(Reports, Report, Now), Now);
  }
  void allReport(std::uint64_t Held) {
    for (const char *Host : {"order-1", "order-2", "entry-1"})
      take(report(Host, 1, Held));
  }
  PromiseOutcome outcome(const Configuration &C,
                         Promise Which = Promise::LinesSurvive) const {
    for (const PromiseOutcome &P : summarizeOutcomes(Reports, C, Now).Promises)
      if (P.Service == Order && P.Which == Which)
        return P;
    return {};
  }
  BurnReport burn() const {
    return makeBurnReport(History, Reports, deployment(), Now, WallTime{});
  }
  /// Lets \p Minutes pass with a report each minute.
  void pass(int Minutes, std::uint64_t &Held, std::uint64_t &Broken,
            unsigned Good, unsigned Bad) {
    for (int I = 0; I < Minutes; ++I) {
      Now += 1min;
      Held += Good;
      Broken += Bad;
      take(report("order-1", 1, Held, Broken));
      take(report("order-2", 1, 0));
      take(report("entry-1", 1, 0));
    }
  }
};

class ControlOutcomesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ControlOutcomesTest);
  CPPUNIT_TEST(neverHeldWhileAHostIsSilent);
  CPPUNIT_TEST(brokenOutweighsUnknownAndSilence);
  CPPUNIT_TEST(restartedCountersAddUp);
  CPPUNIT_TEST(lateAndRepeatedReportsAddNothing);
  CPPUNIT_TEST(manyRestartsAddUp);
  CPPUNIT_TEST(departedHostsKeepTheirCounts);
  CPPUNIT_TEST(firstReportsAfterTakeOverBurnNothing);
  CPPUNIT_TEST(summarySurvivesJson);
  CPPUNIT_TEST(burnNeedsBothWindows);
  CPPUNIT_TEST(slowBurnNeedsAPerson);
  CPPUNIT_TEST(burnRateMatchesTheObjective);
  CPPUNIT_TEST(misdeliveryHasNoBudget);
  CPPUNIT_TEST(oldMinutesLeaveTheWindow);
  CPPUNIT_TEST(htmlIsSelfContainedAndEscaped);
  CPPUNIT_TEST(reportSurvivesJson);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against "held" from hosts that can't know.
  void neverHeldWhileAHostIsSilent() {
    Leader L;
    Configuration C = deployment();
    L.allReport(5);
    CPPUNIT_ASSERT(L.outcome(C).Result == Verdict::Held);
    CPPUNIT_ASSERT(L.outcome(C, Promise::AtMostOnce).Result ==
                   Verdict::NoEvents);
    L.Now += 30s;
    CPPUNIT_ASSERT(L.outcome(C).Result == Verdict::Held);
    L.Now += 1s;
    CPPUNIT_ASSERT(L.outcome(C).Result == Verdict::CantTell);
    L.take(report("order-1", 1, 6));
    L.take(report("entry-1", 1, 6));
    const OutcomeSummary S = summarizeOutcomes(L.Reports, C, L.Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, S.Silent.size());
    CPPUNIT_ASSERT_EQUAL(std::string("order-2"), S.Silent[0].Host);
    CPPUNIT_ASSERT_EQUAL(std::string("last report 31 s ago"),
                         S.Silent[0].Reason);
    CPPUNIT_ASSERT(L.outcome(C).Result == Verdict::CantTell);
    CPPUNIT_ASSERT(formatTable(S).find("Needs a person") == 0);
    L.take(report("order-2", 1, 6));
    C.Entries["entry-2"] = {"entry-2", "south", {1, 4}, true, {}};
    CPPUNIT_ASSERT(L.outcome(C).Result == Verdict::CantTell);
  }

  /// Guards against a broken promise that a silent host hides.
  void brokenOutweighsUnknownAndSilence() {
    Leader L;
    const Configuration C = deployment();
    L.take(report("order-1", 1, 5, 0, 1));
    CPPUNIT_ASSERT(L.outcome(C).Result == Verdict::Unknown);
    L.take(report("order-1", 1, 5, 1, 1));
    const PromiseOutcome P = L.outcome(C);
    CPPUNIT_ASSERT(P.Result == Verdict::Broken);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, P.SilentHosts);
    CPPUNIT_ASSERT_EQUAL(std::string("order-1: line 7 cut"), P.Evidence.at(0));
  }

  /// Guards against counts lost when a daemon restarts.
  void restartedCountersAddUp() {
    Leader L;
    L.take(report("order-1", 1, 100, 2));
    L.take(report("order-1", 2, 0, 0));
    L.take(report("order-1", 2, 7, 1));
    const PromiseOutcome P = L.outcome(deployment());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{107}, P.Totals.Held);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, P.Totals.Broken);
  }

  /// Guards against counts taken twice.
  void lateAndRepeatedReportsAddNothing() {
    Leader L;
    L.take(report("order-1", 1, 100));
    L.take(report("order-1", 1, 100));
    L.take(report("order-1", 1, 90));
    L.take(report("order-1", 2, 5));
    L.take(report("order-1", 1, 100));
    L.take(report("order-1", 2, 5));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{105},
                         L.outcome(deployment()).Totals.Held);
  }

  /// Guards against counts lost when runs are folded into their sum.
  void manyRestartsAddUp() {
    Leader L;
    for (std::uint64_t Run = 1; Run <= 50; ++Run)
      L.take(report("order-1", Run, 2));
    L.take(report("order-1", 1, 2));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{100},
                         L.outcome(deployment()).Totals.Held);
  }

  /// Guards against totals that shrink, or count twice, as hosts are replaced.
  void departedHostsKeepTheirCounts() {
    Leader L;
    Configuration C = deployment();
    L.take(report("order-1", 1, 40));
    C.Upstreams.erase(UpstreamId{1});
    mergeDepartedHosts(L.Reports, C, L.Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, L.Reports.Hosts.size());
    L.Now += DepartedAfter;
    mergeDepartedHosts(L.Reports, C, L.Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, L.Reports.Hosts.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{40}, L.outcome(C).Totals.Held);
    L.take(report("order-1", 1, 41));
    L.take(report("order-1", 1, 45));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{44}, L.outcome(C).Totals.Held);
  }

  /// Guards against a false alarm from counts of the time before the leader.
  void firstReportsAfterTakeOverBurnNothing() {
    Leader L;
    L.Reports.Since = L.Now;
    L.take(report("order-1", 1, 10, 500));
    CPPUNIT_ASSERT(L.burn().Rows.empty());
    CPPUNIT_ASSERT(L.outcome(deployment()).Result == Verdict::Broken);
    L.take(report("order-1", 1, 10, 501));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, L.burn().Rows.at(0).Windows[0].Bad);
  }

  /// Guards against a query result that loses fields on its way.
  void summarySurvivesJson() {
    Leader L;
    L.take(report("order-1", 1, 5, 1));
    const OutcomeSummary S = summarizeOutcomes(L.Reports, deployment(), L.Now);
    CPPUNIT_ASSERT(S == nlohmann::json(S).get<OutcomeSummary>());
  }

  /// Guards against an alarm for a problem that is over, or too short.
  void burnNeedsBothWindows() {
    Leader L;
    std::uint64_t Held = 0;
    std::uint64_t Broken = 0;
    L.pass(60, Held, Broken, 1000, 0);
    CPPUNIT_ASSERT(!L.burn().Rows.at(0).NeedsPerson);
    // Objective 99.9%: 10% bad burns at 100, but an hour dilutes one minute.
    L.pass(1, Held, Broken, 900, 100);
    CPPUNIT_ASSERT(L.burn().Rows.at(0).Windows[0].Rate > 14.4);
    CPPUNIT_ASSERT(!L.burn().Rows.at(0).NeedsPerson);
    L.pass(10, Held, Broken, 900, 100);
    CPPUNIT_ASSERT(L.burn().Rows.at(0).NeedsPerson);
    CPPUNIT_ASSERT(headline(L.burn()).find("order, lines survive") !=
                   std::string::npos);
    L.pass(6, Held, Broken, 1000, 0);
    CPPUNIT_ASSERT(L.burn().Rows.at(0).Windows[1].Rate > 14.4);
    CPPUNIT_ASSERT_EQUAL(0.0, L.burn().Rows.at(0).Windows[0].Rate);
  }

  /// Guards against a steady leak that the fast windows don't show.
  void slowBurnNeedsAPerson() {
    Leader L;
    std::uint64_t Held = 0;
    std::uint64_t Broken = 0;
    L.pass(360, Held, Broken, 992, 8);
    const BurnRow Row = L.burn().Rows.at(0);
    CPPUNIT_ASSERT(Row.Windows[0].Rate < BurnRules[0].Threshold);
    CPPUNIT_ASSERT(Row.NeedsPerson);
  }

  /// Guards against a rate that ignores the profile's objective.
  void burnRateMatchesTheObjective() {
    Leader L;
    std::uint64_t Held = 0;
    std::uint64_t Broken = 0;
    L.pass(30, Held, Broken, 998, 2);
    Configuration C = deployment();
    const auto Rate = [&] {
      return makeBurnReport(L.History, L.Reports, C, L.Now, WallTime{})
          .Rows.at(0)
          .Windows[0]
          .Rate;
    };
    CPPUNIT_ASSERT_DOUBLES_EQUAL(2.0, Rate(), 1e-9);
    C.Profiles["tablets"].Targets.LinesWhole = 0.99;
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.2, Rate(), 1e-9);
  }

  /// Guards against a single misdelivery that an average hides.
  void misdeliveryHasNoBudget() {
    Leader L;
    L.take(report("order-1", 1, 1'000'000, 1, 0, Promise::NoMisdelivery));
    const BurnRow Row = L.burn().Rows.at(0);
    CPPUNIT_ASSERT(Row.NeedsPerson);
    CPPUNIT_ASSERT_EQUAL(BurnWithoutBudget, Row.Windows[3].Rate);
  }

  /// Guards against events that are counted after they left the window.
  void oldMinutesLeaveTheWindow() {
    Leader L;
    std::uint64_t Held = 0;
    std::uint64_t Broken = 0;
    L.pass(5, Held, Broken, 50, 50);
    L.pass(361, Held, Broken, 0, 0);
    CPPUNIT_ASSERT(L.burn().Rows.empty());
    L.pass(1, Held, Broken, 10, 0);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{10},
                         L.burn().Rows.at(0).Windows[3].Good);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, L.burn().Rows.at(0).Windows[3].Bad);
  }

  /// Guards against a page that needs the network or runs foreign markup.
  void htmlIsSelfContainedAndEscaped() {
    Leader L;
    L.allReport(1);
    L.take(report("order-1", 1, 1, 500));
    BurnReport R = L.burn();
    R.Rows.at(0).ServiceName = "<script>&";
    const std::string Html = formatHtml(R);
    CPPUNIT_ASSERT(Html.find("<script") == std::string::npos);
    CPPUNIT_ASSERT(Html.find("&lt;script&gt;&amp;") != std::string::npos);
    CPPUNIT_ASSERT(Html.find("<svg") != std::string::npos);
    CPPUNIT_ASSERT(Html.find("<polyline") != std::string::npos);
    CPPUNIT_ASSERT(Html.find("src=") == std::string::npos);
    CPPUNIT_ASSERT(Html.find("href=") == std::string::npos);
  }

  /// Guards against a query result that loses fields on its way.
  void reportSurvivesJson() {
    Leader L;
    L.take(report("order-1", 1, 5, 1));
    const BurnReport R = L.burn();
    CPPUNIT_ASSERT(R == nlohmann::json(R).get<BurnReport>());
    CPPUNIT_ASSERT(formatTable(R).find(headline(R)) == 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ControlOutcomesTest);

} // namespace
