#include "standins/lib/tally.h"
#include <cppunit/extensions/HelperMacros.h>

using nlohmann::json;
using namespace standins;

namespace {

json request(const char *Id, const char *Outcome, bool Wrong = false) {
  return {
      {"kind", "request"}, {"id", Id}, {"outcome", Outcome}, {"wrong", Wrong}};
}

json run(const char *Attempt, std::int64_t AtMillis = 0, bool OnLine = false) {
  return {{"kind", "run"},
          {"id", Attempt},
          {"upstream", "u"},
          {"at_ms", AtMillis},
          {"on_line", OnLine}};
}

class TallyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TallyTest);
  CPPUNIT_TEST(holdsForARefusedAttemptThatRanOnRetry);
  CPPUNIT_TEST(seesASecondRunOnAnotherAttempt);
  CPPUNIT_TEST(seesARunOfARefusedAttempt);
  CPPUNIT_TEST(seesWrongAnswersMisdeliveryAndBrokenLines);
  CPPUNIT_TEST(seesNewWorkAtALeavingUpstream);
  CPPUNIT_TEST_SUITE_END();

  Tally Sum;

public:
  /// Guards against a tally that counts an honest retry as a second run.
  void holdsForARefusedAttemptThatRanOnRetry() {
    addRecord(Sum, {{"kind", "refused"}, {"id", "c-1.0"}});
    addRecord(Sum, run("c-1.1"));
    addRecord(Sum, request("c-1", "answered"));
    CPPUNIT_ASSERT(holds(Sum));
  }

  /// Guards against second runs that hide behind a new attempt number.
  void seesASecondRunOnAnotherAttempt() {
    addRecord(Sum, run("c-1.0"));
    addRecord(Sum, run("c-1.1"));
    addRecord(Sum, request("c-1", "answered"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, ranTwice(Sum));
    CPPUNIT_ASSERT(!holds(Sum));
  }

  /// Guards against a "not run" that isn't compared with the upstreams.
  void seesARunOfARefusedAttempt() {
    addRecord(Sum, {{"kind", "refused"}, {"id", "c-1.0"}});
    addRecord(Sum, run("c-1.0"));
    addRecord(Sum, request("c-1", "not_run"));
    addRecord(Sum, request("c-2", "answered"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, notRunButRan(Sum));
    CPPUNIT_ASSERT(!holds(Sum));
  }

  /// Guards against a drain that nobody checks: new work after 3 s counts, work
  /// before that, on open lines or after the return does not.
  void seesNewWorkAtALeavingUpstream() {
    addRecord(Sum, {{"kind", "leaving"}, {"upstream", "u"}, {"at_ms", 1000}});
    addRecord(Sum, {{"kind", "returning"}, {"upstream", "u"}, {"at_ms", 9000}});
    addRecord(Sum, run("c-1.0", 3900));
    addRecord(Sum, run("c-2.0", 5000, true));
    addRecord(Sum, run("c-3.0", 9001));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, workAfterLeaving(Sum));
    addRecord(Sum, run("c-4.0", 4001));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, workAfterLeaving(Sum));
  }

  /// Guards against a demonstration that passes with a broken promise.
  void seesWrongAnswersMisdeliveryAndBrokenLines() {
    const json Faults[] = {request("c-1", "answered", true),
                           {{"kind", "misdelivered"}},
                           {{"kind", "line"}, {"id", "l"}, {"event", "broken"}},
                           {{"kind", "wrong_notification"}}};
    for (const json &Fault : Faults) {
      Tally One;
      addRecord(One, request("c-0", "answered"));
      CPPUNIT_ASSERT(holds(One));
      addRecord(One, Fault);
      CPPUNIT_ASSERT(!holds(One));
      CPPUNIT_ASSERT_EQUAL(Fault["kind"] == "line", holds(One, true));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TallyTest);

} // namespace
