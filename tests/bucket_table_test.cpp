#include "jasminearch/routing/bucket_table.h"
#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <numeric>
#include <string>
#include <vector>

using namespace jasminearch;
using namespace jasminearch::control;
using namespace jasminearch::routing;

namespace {

Upstream upstream(std::uint32_t Id,
                  UpstreamPhase Phase = UpstreamPhase::Active) {
  Upstream U;
  U.Id = UpstreamId{Id};
  U.Phase = Phase;
  U.WarmUp = Phase == UpstreamPhase::Cold ? 1 : WarmUpSteps;
  return U;
}

std::vector<Upstream> active(std::uint32_t Count) {
  std::vector<Upstream> All;
  for (std::uint32_t Id = 1; Id <= Count; ++Id)
    All.push_back(upstream(Id));
  return All;
}

Profile profile(double MaxImbalance) {
  Profile P;
  P.MaxImbalance = MaxImbalance;
  return P;
}

std::size_t moved(const BucketTable &Before, const BucketTable &After) {
  std::size_t Count = 0;
  for (std::size_t I = 0; I < BucketsPerService; ++I)
    Count += Before.Buckets[I].Owner != After.Buckets[I].Owner ? 1 : 0;
  return Count;
}

std::size_t held(const BucketTable &Table, std::uint32_t Id) {
  const auto Counts = bucketsByOwner(Table);
  const auto At = Counts.find(UpstreamId{Id});
  return At == Counts.end() ? 0 : At->second;
}

std::size_t busiest(const BucketTable &Table) {
  std::size_t Most = 0;
  for (const auto &[Id, Count] : bucketsByOwner(Table))
    Most = std::max(Most, Count);
  return Most;
}

class BucketTableTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BucketTableTest);
  CPPUNIT_TEST(spreadsEvenlyAtFirst);
  CPPUNIT_TEST(movesOnlyBucketsOfLeavingUpstream);
  CPPUNIT_TEST(movesNothingWithinTolerance);
  CPPUNIT_TEST(movesNoMoreThanTheExcess);
  CPPUNIT_TEST(profilesDifferInMovesAndImbalance);
  CPPUNIT_TEST(coldUpstreamGetsGrowingShare);
  CPPUNIT_TEST(remembersEarlierOwnersLatestFirst);
  CPPUNIT_TEST(forgetsEarlierOwnersThatAreGone);
  CPPUNIT_TEST(survivesSeveralLossesAtOnce);
  CPPUNIT_TEST(hasNoOwnerAfterTheLastLoss);
  CPPUNIT_TEST(keepsBucketsWithTheLastDrainingUpstream);
  CPPUNIT_TEST(returnsBucketsToTheirEarlierOwner);
  CPPUNIT_TEST(ignoresTheOrderOfUpstreams);
  CPPUNIT_TEST(servesMoreUpstreamsThanBuckets);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against an uneven first table.
  void spreadsEvenlyAtFirst() {
    for (std::uint32_t Count = 1; Count <= 40; ++Count) {
      const auto Table = rebalanceBuckets({}, active(Count), profile(1.05));
      CPPUNIT_ASSERT_EQUAL(BucketsPerService, Table.Buckets.size());
      CPPUNIT_ASSERT_EQUAL((BucketsPerService + Count - 1) / Count,
                           busiest(Table));
    }
  }

  /// Guards against moves of buckets whose owner stays.
  void movesOnlyBucketsOfLeavingUpstream() {
    for (const auto Phase : {UpstreamPhase::Draining, UpstreamPhase::Lost}) {
      auto All = active(7);
      const auto Before = rebalanceBuckets({}, All, profile(1.05));
      All[2].Phase = Phase;
      const auto After = rebalanceBuckets(Before, All, profile(1.05));
      CPPUNIT_ASSERT_EQUAL(held(Before, 3), moved(Before, After));
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, held(After, 3));
      CPPUNIT_ASSERT_EQUAL(std::size_t{86}, busiest(After));
    }
  }

  /// Guards against churn when nothing changed.
  void movesNothingWithinTolerance() {
    const auto Table = rebalanceBuckets({}, active(7), profile(1.05));
    CPPUNIT_ASSERT(Table == rebalanceBuckets(Table, active(7), profile(1.05)));
    // 512/6 = 86 at most; 86 / (512/7) = 1.18 is within 1.2.
    const auto Six = rebalanceBuckets({}, active(6), profile(1.2));
    const auto Seven = rebalanceBuckets(Six, active(7), profile(1.2));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, moved(Six, Seven));
  }

  /// Guards against a table that moves more than the bound on imbalance needs.
  void movesNoMoreThanTheExcess() {
    for (const double Bound : {1.0, 1.02, 1.05, 1.1, 1.25, 2.0}) {
      const auto Before = rebalanceBuckets({}, active(6), profile(Bound));
      const auto After = rebalanceBuckets(Before, active(9), profile(Bound));
      const std::size_t Limit = bucketLimit(1, 9, Bound);
      std::size_t Excess = 0;
      for (const auto &[Id, Count] : bucketsByOwner(Before))
        Excess += Count > Limit ? Count - Limit : 0;
      CPPUNIT_ASSERT_EQUAL(Excess, moved(Before, After));
      CPPUNIT_ASSERT(busiest(After) <= Limit);
    }
  }

  /// Guards against a profile whose weight has no effect.
  void profilesDifferInMovesAndImbalance() {
    const auto Before = rebalanceBuckets({}, active(6), profile(1.0));
    const auto Whole = rebalanceBuckets(Before, active(7), profile(1.15));
    const auto Even = rebalanceBuckets(Before, active(7), profile(1.02));
    CPPUNIT_ASSERT(moved(Before, Whole) < moved(Before, Even));
    CPPUNIT_ASSERT(busiest(Whole) > busiest(Even));
  }

  /// Guards against a cold upstream that gets a full share at once or never.
  void coldUpstreamGetsGrowingShare() {
    auto All = active(4);
    auto Table = rebalanceBuckets({}, active(3), profile(1.0));
    All[3] = upstream(4, UpstreamPhase::Cold);
    std::vector<std::size_t> Shares;
    for (std::uint8_t Step = 1; Step <= WarmUpSteps; ++Step) {
      All[3].WarmUp = Step;
      Table = rebalanceBuckets(Table, All, profile(1.0));
      Shares.push_back(held(Table, 4));
      CPPUNIT_ASSERT(Shares.back() <= bucketLimit(Step, 12U + Step, 1.0));
    }
    CPPUNIT_ASSERT(std::is_sorted(Shares.begin(), Shares.end()));
    CPPUNIT_ASSERT(Shares.front() > 0);
    CPPUNIT_ASSERT(Shares.front() < Shares.back() / 2);
    CPPUNIT_ASSERT_EQUAL(std::size_t{128}, Shares.back());
  }

  /// Guards against flows that can't be found after two drains.
  void remembersEarlierOwnersLatestFirst() {
    auto All = active(2);
    All[1].Phase = UpstreamPhase::Draining;
    const auto First = rebalanceBuckets({}, All, profile(1.05));
    All[1].Phase = UpstreamPhase::Active;
    All[0].Phase = UpstreamPhase::Draining;
    const auto Second = rebalanceBuckets(First, All, profile(1.05));
    All.push_back(upstream(3));
    All[1].Phase = UpstreamPhase::Draining;
    const auto Third = rebalanceBuckets(Second, All, profile(1.05));
    for (const Bucket &B : Third.Buckets) {
      CPPUNIT_ASSERT_EQUAL(std::uint32_t{3}, B.Owner.Number);
      CPPUNIT_ASSERT_EQUAL(std::uint32_t{2}, B.Earlier[0].Number);
      CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, B.Earlier[1].Number);
    }
  }

  /// Guards against frames sent to upstreams that no longer exist.
  void forgetsEarlierOwnersThatAreGone() {
    auto All = active(3);
    const auto Before = rebalanceBuckets({}, All, profile(1.05));
    All[0].Phase = UpstreamPhase::Draining;
    auto Table = rebalanceBuckets(Before, All, profile(1.05));
    All[0].Phase = UpstreamPhase::Lost;
    Table = rebalanceBuckets(Table, All, profile(1.05));
    for (const Bucket &B : Table.Buckets)
      CPPUNIT_ASSERT(B.Earlier == (Bucket{}.Earlier));
  }

  /// Guards against a second loss that leaves buckets without an owner.
  void survivesSeveralLossesAtOnce() {
    auto All = active(7);
    const auto Before = rebalanceBuckets({}, All, profile(1.05));
    for (const std::size_t Gone : {0, 3, 6})
      All[Gone].Phase = UpstreamPhase::Lost;
    const auto After = rebalanceBuckets(Before, All, profile(1.05));
    CPPUNIT_ASSERT_EQUAL(held(Before, 1) + held(Before, 4) + held(Before, 7),
                         moved(Before, After));
    CPPUNIT_ASSERT_EQUAL(std::size_t{128}, busiest(After));
  }

  /// Guards against a table that names a dead owner.
  void hasNoOwnerAfterTheLastLoss() {
    auto All = active(1);
    auto Table = rebalanceBuckets({}, All, profile(1.05));
    All[0].Phase = UpstreamPhase::Lost;
    Table = rebalanceBuckets(Table, All, profile(1.05));
    for (const Bucket &B : Table.Buckets)
      CPPUNIT_ASSERT(B == Bucket{});
    All[0].Phase = UpstreamPhase::Cold;
    Table = rebalanceBuckets(Table, All, profile(1.05));
    CPPUNIT_ASSERT_EQUAL(BucketsPerService, held(Table, 1));
  }

  /// Guards against lines cut off by a drain of the last upstream.
  void keepsBucketsWithTheLastDrainingUpstream() {
    auto All = active(2);
    All[1].Phase = UpstreamPhase::Lost;
    const auto Before = rebalanceBuckets({}, All, profile(1.05));
    All[0].Phase = UpstreamPhase::Draining;
    CPPUNIT_ASSERT(Before == rebalanceBuckets(Before, All, profile(1.05)));
    All[1].Phase = UpstreamPhase::Active;
    const auto After = rebalanceBuckets(Before, All, profile(1.05));
    CPPUNIT_ASSERT_EQUAL(BucketsPerService, held(After, 2));
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, After.Buckets[0].Earlier[0].Number);
  }

  /// Guards against a withdrawn drain that scatters flows further.
  void returnsBucketsToTheirEarlierOwner() {
    auto All = active(3);
    const auto Before = rebalanceBuckets({}, All, profile(1.0));
    All[0].Phase = UpstreamPhase::Draining;
    const auto Drained = rebalanceBuckets(Before, All, profile(1.0));
    All[0].Phase = UpstreamPhase::Active;
    const auto After = rebalanceBuckets(Drained, All, profile(1.0));
    for (std::size_t I = 0; I < BucketsPerService; ++I)
      if (After.Buckets[I].Owner == UpstreamId{1})
        CPPUNIT_ASSERT(Before.Buckets[I].Owner == UpstreamId{1});
    CPPUNIT_ASSERT_EQUAL(std::size_t{170}, held(After, 1));
  }

  /// Guards against replicas that differ because their containers do.
  void ignoresTheOrderOfUpstreams() {
    auto All = active(7);
    All[4].Phase = UpstreamPhase::Draining;
    const auto Before = rebalanceBuckets({}, active(7), profile(1.05));
    const auto Forward = rebalanceBuckets(Before, All, profile(1.05));
    std::reverse(All.begin(), All.end());
    CPPUNIT_ASSERT(Forward == rebalanceBuckets(Before, All, profile(1.05)));
  }

  /// Guards against a limit below one bucket.
  void servesMoreUpstreamsThanBuckets() {
    const auto Table = rebalanceBuckets({}, active(600), profile(1.05));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, busiest(Table));
    CPPUNIT_ASSERT_EQUAL(std::size_t{512}, bucketsByOwner(Table).size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BucketTableTest);

} // namespace
