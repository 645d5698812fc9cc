#include "standins/lib/tally.h"
#include <cppunit/extensions/HelperMacros.h>

using nlohmann::json;
using namespace standins;

namespace {

json request(const char *Id, const char *Outcome, bool Wrong = false) {
  return {
      {"kind", "request"}, {"id", Id}, {"outcome", Outcome}, {"wrong", Wrong}};
}

json run(const char *Attempt, std::int64_t AtMilliseconds = 0,
         bool OnLine = false) {
  return {{"kind", "run"},
          {"id", Attempt},
          {"upstream", "u"},
          {"at_ms", AtMilliseconds},
          {"on_line", OnLine}};
}

class RecordTotalsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RecordTotalsTest);
  CPPUNIT_TEST(acceptsARetryOfARefusedAttempt);
  CPPUNIT_TEST(countsASecondRunUnderAnotherAttempt);
  CPPUNIT_TEST(countsARunOfARefusedAttempt);
  CPPUNIT_TEST(reportsWrongAnswersMisdeliveryAndBrokenLines);
  CPPUNIT_TEST(countsNewWorkAtADrainedUpstream);
  CPPUNIT_TEST_SUITE_END();

  RecordTotals Totals;

public:
  /// Guards against counting a retry of a refused attempt as a second run.
  void acceptsARetryOfARefusedAttempt() {
    addRecord(Totals, {{"kind", "refused"}, {"id", "c-1.0"}});
    addRecord(Totals, run("c-1.1"));
    addRecord(Totals, request("c-1", "answered"));
    CPPUNIT_ASSERT(allPromisesHold(Totals));
  }

  /// Guards against missing a second run because it has another attempt number.
  void countsASecondRunUnderAnotherAttempt() {
    addRecord(Totals, run("c-1.0"));
    addRecord(Totals, run("c-1.1"));
    addRecord(Totals, request("c-1", "answered"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, requestsRunTwice(Totals));
    CPPUNIT_ASSERT(!allPromisesHold(Totals));
  }

  /// Guards against accepting "not run" outcomes without comparing them with
  /// the upstreams' records.
  void countsARunOfARefusedAttempt() {
    addRecord(Totals, {{"kind", "refused"}, {"id", "c-1.0"}});
    addRecord(Totals, run("c-1.0"));
    addRecord(Totals, request("c-1", "not_run"));
    addRecord(Totals, request("c-2", "answered"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, refusedAttemptsThatRan(Totals));
    CPPUNIT_ASSERT(!allPromisesHold(Totals));
  }

  /// Guards against a drain without effect. New work counts from 3 s after the
  /// start of the drain; earlier work, work on open lines and work after the
  /// undrain command doesn't.
  void countsNewWorkAtADrainedUpstream() {
    addRecord(Totals,
              {{"kind", "leaving"}, {"upstream", "u"}, {"at_ms", 1000}});
    addRecord(Totals,
              {{"kind", "returning"}, {"upstream", "u"}, {"at_ms", 9000}});
    addRecord(Totals, run("c-1.0", 3900));
    addRecord(Totals, run("c-2.0", 5000, true));
    addRecord(Totals, run("c-3.0", 9001));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, newWorkWhileDrained(Totals));
    addRecord(Totals, run("c-4.0", 4001));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, newWorkWhileDrained(Totals));
  }

  /// Guards against a demonstration that passes although a promise was broken.
  void reportsWrongAnswersMisdeliveryAndBrokenLines() {
    const json Faults[] = {request("c-1", "answered", true),
                           {{"kind", "misdelivered"}},
                           {{"kind", "line"}, {"id", "l"}, {"event", "broken"}},
                           {{"kind", "wrong_notification"}}};
    for (const json &Fault : Faults) {
      RecordTotals Single;
      addRecord(Single, request("c-0", "answered"));
      CPPUNIT_ASSERT(allPromisesHold(Single));
      addRecord(Single, Fault);
      CPPUNIT_ASSERT(!allPromisesHold(Single));
      CPPUNIT_ASSERT_EQUAL(Fault["kind"] == "line",
                           allPromisesHold(Single, true));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RecordTotalsTest);

} // namespace
