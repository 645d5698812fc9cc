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

/// \returns a configuration with two agents of one service and an entry host.
Configuration configuration() {
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

/// The records of a control leader, seven hours after it became the leader.
struct Leader {
  OutcomeStore Reports;
  BurnHistory History;
  TimePoint Now = TimePoint{} + 24h;

  Leader() {
    Reports.Since = Now;
    startBurnHistory(History, Now);
    Now += 7h;
  }
  void record(const OutcomeReport &Report) {
    addToBurnHistory(History, recordOutcomeReport(Reports, Report, Now), Now);
  }
  void reportFromAllHosts(std::uint64_t Held) {
    for (const char *Host : {"order-1", "order-2", "entry-1"})
      record(report(Host, 1, Held));
  }
  PromiseOutcome outcome(const Configuration &C,
                         Promise Which = Promise::LinesSurvive) const {
    for (const PromiseOutcome &P : summarizeOutcomes(Reports, C, Now).Promises)
      if (P.Service == Order && P.Which == Which)
        return P;
    return {};
  }
  BurnReport burn() const {
    return makeBurnReport(History, Reports, configuration(), Now, WallTime{});
  }
  /// Advances the time by \p Minutes. Each minute all hosts report, order-1
  /// with \p Good and \p Bad further events.
  void passMinutes(int Minutes, std::uint64_t &Held, std::uint64_t &Broken,
                   unsigned Good, unsigned Bad) {
    for (int I = 0; I < Minutes; ++I) {
      Now += 1min;
      Held += Good;
      Broken += Bad;
      record(report("order-1", 1, Held, Broken));
      record(report("order-2", 1, 0));
      record(report("entry-1", 1, 0));
    }
  }
};

class ControlOutcomesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ControlOutcomesTest);
  CPPUNIT_TEST(notHeldWhileAHostIsSilent);
  CPPUNIT_TEST(brokenTakesPrecedence);
  CPPUNIT_TEST(restartedCountersAddUp);
  CPPUNIT_TEST(lateAndRepeatedReportsAreNotCountedTwice);
  CPPUNIT_TEST(manyRestartsAddUp);
  CPPUNIT_TEST(departedHostsKeepTheirCounts);
  CPPUNIT_TEST(firstReportsAfterLeaderChangeBurnNothing);
  CPPUNIT_TEST(summaryRoundTrips);
  CPPUNIT_TEST(alarmNeedsBothWindows);
  CPPUNIT_TEST(slowBurnRaisesAlarm);
  CPPUNIT_TEST(burnRateMatchesTheObjective);
  CPPUNIT_TEST(misdeliveryHasNoBudget);
  CPPUNIT_TEST(oldMinutesLeaveTheWindow);
  CPPUNIT_TEST(htmlIsSelfContainedAndEscaped);
  CPPUNIT_TEST(reportRoundTrips);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against a Held verdict while a host that may have seen events is
  /// silent.
  void notHeldWhileAHostIsSilent() {
    Leader L;
    Configuration C = configuration();
    L.reportFromAllHosts(5);
    CPPUNIT_ASSERT(L.outcome(C).Result == Verdict::Held);
    CPPUNIT_ASSERT(L.outcome(C, Promise::AtMostOnce).Result ==
                   Verdict::NoEvents);
    L.Now += 30s;
    CPPUNIT_ASSERT(L.outcome(C).Result == Verdict::Held);
    L.Now += 1s;
    CPPUNIT_ASSERT(L.outcome(C).Result == Verdict::CantTell);
    L.record(report("order-1", 1, 6));
    L.record(report("entry-1", 1, 6));
    const OutcomeSummary S = summarizeOutcomes(L.Reports, C, L.Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, S.Silent.size());
    CPPUNIT_ASSERT_EQUAL(std::string("order-2"), S.Silent[0].Host);
    CPPUNIT_ASSERT_EQUAL(std::string("last report 31 s ago"),
                         S.Silent[0].Reason);
    CPPUNIT_ASSERT(L.outcome(C).Result == Verdict::CantTell);
    CPPUNIT_ASSERT(formatTable(S).find("Needs a person") == 0);
    L.record(report("order-2", 1, 6));
    C.Entries["entry-2"] = {"entry-2", "south", {1, 4}, true, {}};
    CPPUNIT_ASSERT(L.outcome(C).Result == Verdict::CantTell);
  }

  /// Guards against a broken promise that is masked by a silent host.
  void brokenTakesPrecedence() {
    Leader L;
    const Configuration C = configuration();
    L.record(report("order-1", 1, 5, 0, 1));
    CPPUNIT_ASSERT(L.outcome(C).Result == Verdict::Unknown);
    L.record(report("order-1", 1, 5, 1, 1));
    const PromiseOutcome P = L.outcome(C);
    CPPUNIT_ASSERT(P.Result == Verdict::Broken);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, P.SilentHosts);
    CPPUNIT_ASSERT_EQUAL(std::string("order-1: line 7 cut"), P.Evidence.at(0));
  }

  /// Guards against counts that are lost when a daemon restarts.
  void restartedCountersAddUp() {
    Leader L;
    L.record(report("order-1", 1, 100, 2));
    L.record(report("order-1", 2, 0, 0));
    L.record(report("order-1", 2, 7, 1));
    const PromiseOutcome P = L.outcome(configuration());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{107}, P.Totals.Held);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, P.Totals.Broken);
  }

  /// Guards against events of late or repeated reports that are counted twice.
  void lateAndRepeatedReportsAreNotCountedTwice() {
    Leader L;
    L.record(report("order-1", 1, 100));
    L.record(report("order-1", 1, 100));
    L.record(report("order-1", 1, 90));
    L.record(report("order-1", 2, 5));
    L.record(report("order-1", 1, 100));
    L.record(report("order-1", 2, 5));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{105},
                         L.outcome(configuration()).Totals.Held);
  }

  /// Guards against counts that are lost when earlier runs are merged.
  void manyRestartsAddUp() {
    Leader L;
    for (std::uint64_t Run = 1; Run <= 50; ++Run)
      L.record(report("order-1", Run, 2));
    L.record(report("order-1", 1, 2));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{100},
                         L.outcome(configuration()).Totals.Held);
  }

  /// Guards against totals that decrease, or include events twice, when hosts
  /// are replaced.
  void departedHostsKeepTheirCounts() {
    Leader L;
    Configuration C = configuration();
    L.record(report("order-1", 1, 40));
    C.Upstreams.erase(UpstreamId{1});
    mergeDepartedHosts(L.Reports, C, L.Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, L.Reports.Hosts.size());
    L.Now += DepartedHostTimeout;
    mergeDepartedHosts(L.Reports, C, L.Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, L.Reports.Hosts.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{40}, L.outcome(C).Totals.Held);
    L.record(report("order-1", 1, 41));
    L.record(report("order-1", 1, 45));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{44}, L.outcome(C).Totals.Held);
  }

  /// Guards against a false alarm from events that happened before the leader
  /// change.
  void firstReportsAfterLeaderChangeBurnNothing() {
    Leader L;
    L.Reports.Since = L.Now;
    L.record(report("order-1", 1, 10, 500));
    CPPUNIT_ASSERT(L.burn().Rows.empty());
    CPPUNIT_ASSERT(L.outcome(configuration()).Result == Verdict::Broken);
    L.record(report("order-1", 1, 10, 501));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, L.burn().Rows.at(0).Windows[0].Bad);
  }

  /// Guards against fields that are lost in a query result.
  void summaryRoundTrips() {
    Leader L;
    L.record(report("order-1", 1, 5, 1));
    const OutcomeSummary S =
        summarizeOutcomes(L.Reports, configuration(), L.Now);
    CPPUNIT_ASSERT(S == nlohmann::json(S).get<OutcomeSummary>());
  }

  /// Guards against an alarm for a problem that is over, or too short to
  /// matter.
  void alarmNeedsBothWindows() {
    Leader L;
    std::uint64_t Held = 0;
    std::uint64_t Broken = 0;
    L.passMinutes(60, Held, Broken, 1000, 0);
    CPPUNIT_ASSERT(!L.burn().Rows.at(0).NeedsPerson);
    // With an objective of 99.9%, 10% of bad events burn at a rate of 100, but
    // one such minute is averaged out over the hour.
    L.passMinutes(1, Held, Broken, 900, 100);
    CPPUNIT_ASSERT(L.burn().Rows.at(0).Windows[0].Rate > 14.4);
    CPPUNIT_ASSERT(!L.burn().Rows.at(0).NeedsPerson);
    L.passMinutes(10, Held, Broken, 900, 100);
    CPPUNIT_ASSERT(L.burn().Rows.at(0).NeedsPerson);
    CPPUNIT_ASSERT(headline(L.burn()).find("order, lines survive") !=
                   std::string::npos);
    L.passMinutes(6, Held, Broken, 1000, 0);
    CPPUNIT_ASSERT(L.burn().Rows.at(0).Windows[1].Rate > 14.4);
    CPPUNIT_ASSERT_EQUAL(0.0, L.burn().Rows.at(0).Windows[0].Rate);
  }

  /// Guards against a slow steady burn that stays below the threshold of the
  /// short windows.
  void slowBurnRaisesAlarm() {
    Leader L;
    std::uint64_t Held = 0;
    std::uint64_t Broken = 0;
    L.passMinutes(360, Held, Broken, 992, 8);
    const BurnRow Row = L.burn().Rows.at(0);
    CPPUNIT_ASSERT(Row.Windows[0].Rate < BurnRules[0].Threshold);
    CPPUNIT_ASSERT(Row.NeedsPerson);
  }

  /// Guards against a burn rate that ignores the profile's objective.
  void burnRateMatchesTheObjective() {
    Leader L;
    std::uint64_t Held = 0;
    std::uint64_t Broken = 0;
    L.passMinutes(30, Held, Broken, 998, 2);
    Configuration C = configuration();
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

  /// Guards against a single misdelivery that is averaged out.
  void misdeliveryHasNoBudget() {
    Leader L;
    L.record(report("order-1", 1, 1'000'000, 1, 0, Promise::NoMisdelivery));
    const BurnRow Row = L.burn().Rows.at(0);
    CPPUNIT_ASSERT(Row.NeedsPerson);
    CPPUNIT_ASSERT_EQUAL(MaxBurnRate, Row.Windows[3].Rate);
  }

  /// Guards against events that are counted after they have left the window.
  void oldMinutesLeaveTheWindow() {
    Leader L;
    std::uint64_t Held = 0;
    std::uint64_t Broken = 0;
    L.passMinutes(5, Held, Broken, 50, 50);
    L.passMinutes(361, Held, Broken, 0, 0);
    CPPUNIT_ASSERT(L.burn().Rows.empty());
    L.passMinutes(1, Held, Broken, 10, 0);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{10},
                         L.burn().Rows.at(0).Windows[3].Good);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, L.burn().Rows.at(0).Windows[3].Bad);
  }

  /// Guards against a page that loads other files, and against markup injected
  /// through names.
  void htmlIsSelfContainedAndEscaped() {
    Leader L;
    L.reportFromAllHosts(1);
    L.record(report("order-1", 1, 1, 500));
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

  /// Guards against fields that are lost in a query result.
  void reportRoundTrips() {
    Leader L;
    L.record(report("order-1", 1, 5, 1));
    const BurnReport R = L.burn();
    CPPUNIT_ASSERT(R == nlohmann::json(R).get<BurnReport>());
    CPPUNIT_ASSERT(formatTable(R).find(headline(R)) == 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ControlOutcomesTest);

} // namespace
