#include "jasminearch/log.h"
#include "jasminearch/metrics.h"
#include <cppunit/extensions/HelperMacros.h>

using namespace jasminearch;

namespace {

class MetricsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MetricsTest);
  CPPUNIT_TEST(summarizesValues);
  CPPUNIT_TEST(emptyAndResetAreZero);
  CPPUNIT_TEST(limitsLogLines);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against quantiles that are mixed up or far off.
  void summarizesValues() {
    Distribution Values;
    constexpr int Count = 1000;
    for (int I = 1; I <= Count; ++I)
      Values.add((I * 7919) % Count + 1);
    const DistributionSummary Out = Values.summary();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{Count}, Out.Count);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(500.5, Out.Mean, 1e-6);
    CPPUNIT_ASSERT_EQUAL(1000.0, Out.Most);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(500, Out.Median, 25);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(990, Out.Quantile99, 25);
  }

  /// Guards against undefined numbers in reports of idle daemons.
  void emptyAndResetAreZero() {
    Distribution Values;
    CPPUNIT_ASSERT(DistributionSummary{} == Values.summary());
    Values.add(1);
    Values.reset();
    CPPUNIT_ASSERT(DistributionSummary{} == Values.summary());
  }

  /// Guards against a fault on the hot path that fills the disk with logs.
  void limitsLogLines() {
    LogRateLimiter Limiter(2);
    const TimePoint Start{std::chrono::hours(1)};
    CPPUNIT_ASSERT(Limiter.allow(Start));
    CPPUNIT_ASSERT(Limiter.allow(Start));
    CPPUNIT_ASSERT(!Limiter.allow(Start + std::chrono::milliseconds(999)));
    CPPUNIT_ASSERT(Limiter.allow(Start + std::chrono::seconds(1)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MetricsTest);

} // namespace
