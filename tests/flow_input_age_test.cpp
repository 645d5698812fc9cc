#include "jasminearch/flow/input_age.h"
#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

using namespace jasminearch;
using namespace jasminearch::flow;
using namespace std::chrono_literals;

namespace {

class InputAgeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(InputAgeTest);
  CPPUNIT_TEST(inputIsNewWithoutAPause);
  CPPUNIT_TEST(inputMayBeAsOldAsAPause);
  CPPUNIT_TEST(pausesInSeriesDoNotHideEachOther);
  CPPUNIT_TEST_SUITE_END();

  InputAge I;
  TimePoint Now = TimePoint(1h);

  void round(Duration After) {
    Now += After;
    beginRound(I, Now);
  }

public:
  void inputIsNewWithoutAPause() {
    for (int Round = 0; Round < 100; ++Round) {
      round(MinPause - 1ms);
      CPPUNIT_ASSERT(earliestSendTime(I, Now) == Now);
    }
  }

  /// Guards against a lease that packets from before a pause renew.
  void inputMayBeAsOldAsAPause() {
    round(1ms);
    const TimePoint PausedAt = Now;
    round(3s);
    CPPUNIT_ASSERT(earliestSendTime(I, Now) == PausedAt);
    for (Duration Read{}; Read + 40ms < BufferReadTime; Read += 40ms) {
      round(40ms);
      CPPUNIT_ASSERT(earliestSendTime(I, Now) == PausedAt);
    }
    round(40ms);
    CPPUNIT_ASSERT(earliestSendTime(I, Now) == Now);
  }

  /// Guards against input from a long pause that counts as new because a short
  /// pause came before it was read, and against a host with many short pauses
  /// on which no input ever counts as new.
  void pausesInSeriesDoNotHideEachOther() {
    round(1ms);
    const TimePoint PausedAt = Now;
    round(3s);
    round(40ms);
    round(MinPause);
    CPPUNIT_ASSERT(earliestSendTime(I, Now) == PausedAt);
    TimePoint Newest{};
    for (int Round = 0; Round < 100; ++Round) {
      round(MinPause + 10ms);
      Newest = std::max(Newest, earliestSendTime(I, Now));
      CPPUNIT_ASSERT(Now - Newest <= 2 * MinPause + BufferReadTime);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(InputAgeTest);

} // namespace
