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

Upstream makeUpstream(std::uint32_t Id,
                      UpstreamPhase Phase = UpstreamPhase::Active) {
  Upstream U;
  U.Id = UpstreamId{Id};
  U.Phase = Phase;
  U.WarmUp = Phase == UpstreamPhase::Cold ? 1 : WarmUpSteps;
  return U;
}

std::vector<Upstream> makeActiveUpstreams(std::uint32_t Count) {
  std::vector<Upstream> All;
  for (std::uint32_t Id = 1; Id <= Count; ++Id)
    All.push_back(makeUpstream(Id));
  return All;
}

Profile makeProfile(double MaxImbalance) {
  Profile P;
  P.MaxImbalance = MaxImbalance;
  return P;
}

/// \returns the number of buckets whose owner changed.
std::size_t countMoved(const BucketTable &Before, const BucketTable &After) {
  std::size_t Count = 0;
  for (std::size_t I = 0; I < BucketsPerService; ++I)
    Count += Before.Buckets[I].Owner != After.Buckets[I].Owner ? 1 : 0;
  return Count;
}

std::size_t bucketCountOf(const BucketTable &Table, std::uint32_t Id) {
  const auto Counts = bucketsByOwner(Table);
  const auto Found = Counts.find(UpstreamId{Id});
  return Found == Counts.end() ? 0 : Found->second;
}

std::size_t largestBucketCount(const BucketTable &Table) {
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
  CPPUNIT_TEST(movesOnlyExcessBuckets);
  CPPUNIT_TEST(profilesDifferInMovesAndImbalance);
  CPPUNIT_TEST(coldUpstreamGetsGrowingShare);
  CPPUNIT_TEST(listsEarlierOwnersLatestFirst);
  CPPUNIT_TEST(removesLostEarlierOwners);
  CPPUNIT_TEST(handlesSeveralLossesAtOnce);
  CPPUNIT_TEST(hasNoOwnerAfterLastLoss);
  CPPUNIT_TEST(keepsBucketsAtLastDrainingUpstream);
  CPPUNIT_TEST(returnsBucketsToEarlierOwner);
  CPPUNIT_TEST(ignoresOrderOfUpstreams);
  CPPUNIT_TEST(handlesMoreUpstreamsThanBuckets);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against an uneven initial table.
  void spreadsEvenlyAtFirst() {
    for (std::uint32_t Count = 1; Count <= 40; ++Count) {
      const auto Table =
          rebalanceBuckets({}, makeActiveUpstreams(Count), makeProfile(1.05));
      CPPUNIT_ASSERT_EQUAL(BucketsPerService, Table.Buckets.size());
      CPPUNIT_ASSERT_EQUAL((BucketsPerService + Count - 1) / Count,
                           largestBucketCount(Table));
    }
  }

  /// Guards against moving buckets whose owner remains active.
  void movesOnlyBucketsOfLeavingUpstream() {
    for (const auto Phase : {UpstreamPhase::Draining, UpstreamPhase::Lost}) {
      auto All = makeActiveUpstreams(7);
      const auto Before = rebalanceBuckets({}, All, makeProfile(1.05));
      All[2].Phase = Phase;
      const auto After = rebalanceBuckets(Before, All, makeProfile(1.05));
      CPPUNIT_ASSERT_EQUAL(bucketCountOf(Before, 3), countMoved(Before, After));
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, bucketCountOf(After, 3));
      CPPUNIT_ASSERT_EQUAL(std::size_t{86}, largestBucketCount(After));
    }
  }

  /// Guards against moving buckets while all upstreams are within their limits.
  void movesNothingWithinTolerance() {
    const auto Table =
        rebalanceBuckets({}, makeActiveUpstreams(7), makeProfile(1.05));
    CPPUNIT_ASSERT(Table == rebalanceBuckets(Table, makeActiveUpstreams(7),
                                             makeProfile(1.05)));
    // 512/6 = 86 at most; 86 / (512/7) = 1.18 is within 1.2.
    const auto Six =
        rebalanceBuckets({}, makeActiveUpstreams(6), makeProfile(1.2));
    const auto Seven =
        rebalanceBuckets(Six, makeActiveUpstreams(7), makeProfile(1.2));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, countMoved(Six, Seven));
  }

  /// Guards against moving more buckets than MaxImbalance requires.
  void movesOnlyExcessBuckets() {
    for (const double Bound : {1.0, 1.02, 1.05, 1.1, 1.25, 2.0}) {
      const auto Before =
          rebalanceBuckets({}, makeActiveUpstreams(6), makeProfile(Bound));
      const auto After =
          rebalanceBuckets(Before, makeActiveUpstreams(9), makeProfile(Bound));
      const std::size_t Limit = bucketLimit(1, 9, Bound);
      std::size_t ExpectedMoves = 0;
      for (const auto &[Id, Count] : bucketsByOwner(Before))
        ExpectedMoves += Count > Limit ? Count - Limit : 0;
      CPPUNIT_ASSERT_EQUAL(ExpectedMoves, countMoved(Before, After));
      CPPUNIT_ASSERT(largestBucketCount(After) <= Limit);
    }
  }

  /// Guards against a profile whose MaxImbalance has no effect.
  void profilesDifferInMovesAndImbalance() {
    const auto Before =
        rebalanceBuckets({}, makeActiveUpstreams(6), makeProfile(1.0));
    const auto Tolerant =
        rebalanceBuckets(Before, makeActiveUpstreams(7), makeProfile(1.15));
    const auto Even =
        rebalanceBuckets(Before, makeActiveUpstreams(7), makeProfile(1.02));
    CPPUNIT_ASSERT(countMoved(Before, Tolerant) < countMoved(Before, Even));
    CPPUNIT_ASSERT(largestBucketCount(Tolerant) > largestBucketCount(Even));
  }

  /// Guards against a cold upstream that gets its full share immediately or
  /// never.
  void coldUpstreamGetsGrowingShare() {
    auto All = makeActiveUpstreams(4);
    auto Table = rebalanceBuckets({}, makeActiveUpstreams(3), makeProfile(1.0));
    All[3] = makeUpstream(4, UpstreamPhase::Cold);
    std::vector<std::size_t> Shares;
    for (std::uint8_t Step = 1; Step <= WarmUpSteps; ++Step) {
      All[3].WarmUp = Step;
      Table = rebalanceBuckets(Table, All, makeProfile(1.0));
      Shares.push_back(bucketCountOf(Table, 4));
      CPPUNIT_ASSERT(Shares.back() <= bucketLimit(Step, 12U + Step, 1.0));
    }
    CPPUNIT_ASSERT(std::is_sorted(Shares.begin(), Shares.end()));
    CPPUNIT_ASSERT(Shares.front() > 0);
    CPPUNIT_ASSERT(Shares.front() < Shares.back() / 2);
    CPPUNIT_ASSERT_EQUAL(std::size_t{128}, Shares.back());
  }

  /// Guards against flows that can't be found after two drains.
  void listsEarlierOwnersLatestFirst() {
    auto All = makeActiveUpstreams(2);
    All[1].Phase = UpstreamPhase::Draining;
    const auto First = rebalanceBuckets({}, All, makeProfile(1.05));
    All[1].Phase = UpstreamPhase::Active;
    All[0].Phase = UpstreamPhase::Draining;
    const auto Second = rebalanceBuckets(First, All, makeProfile(1.05));
    All.push_back(makeUpstream(3));
    All[1].Phase = UpstreamPhase::Draining;
    const auto Third = rebalanceBuckets(Second, All, makeProfile(1.05));
    for (const Bucket &B : Third.Buckets) {
      CPPUNIT_ASSERT_EQUAL(std::uint32_t{3}, B.Owner.Number);
      CPPUNIT_ASSERT_EQUAL(std::uint32_t{2}, B.Earlier[0].Number);
      CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, B.Earlier[1].Number);
    }
  }

  /// Guards against frames sent to lost upstreams.
  void removesLostEarlierOwners() {
    auto All = makeActiveUpstreams(3);
    const auto Before = rebalanceBuckets({}, All, makeProfile(1.05));
    All[0].Phase = UpstreamPhase::Draining;
    auto Table = rebalanceBuckets(Before, All, makeProfile(1.05));
    All[0].Phase = UpstreamPhase::Lost;
    Table = rebalanceBuckets(Table, All, makeProfile(1.05));
    for (const Bucket &B : Table.Buckets)
      CPPUNIT_ASSERT(B.Earlier == (Bucket{}.Earlier));
  }

  /// Guards against buckets without an owner after several simultaneous losses.
  void handlesSeveralLossesAtOnce() {
    auto All = makeActiveUpstreams(7);
    const auto Before = rebalanceBuckets({}, All, makeProfile(1.05));
    for (const std::size_t Gone : {0, 3, 6})
      All[Gone].Phase = UpstreamPhase::Lost;
    const auto After = rebalanceBuckets(Before, All, makeProfile(1.05));
    CPPUNIT_ASSERT_EQUAL(bucketCountOf(Before, 1) + bucketCountOf(Before, 4) +
                             bucketCountOf(Before, 7),
                         countMoved(Before, After));
    CPPUNIT_ASSERT_EQUAL(std::size_t{128}, largestBucketCount(After));
  }

  /// Guards against a table that still lists a lost owner.
  void hasNoOwnerAfterLastLoss() {
    auto All = makeActiveUpstreams(1);
    auto Table = rebalanceBuckets({}, All, makeProfile(1.05));
    All[0].Phase = UpstreamPhase::Lost;
    Table = rebalanceBuckets(Table, All, makeProfile(1.05));
    for (const Bucket &B : Table.Buckets)
      CPPUNIT_ASSERT(B == Bucket{});
    All[0].Phase = UpstreamPhase::Cold;
    Table = rebalanceBuckets(Table, All, makeProfile(1.05));
    CPPUNIT_ASSERT_EQUAL(BucketsPerService, bucketCountOf(Table, 1));
  }

  /// Guards against lines that are lost when the last upstream is drained.
  void keepsBucketsAtLastDrainingUpstream() {
    auto All = makeActiveUpstreams(2);
    All[1].Phase = UpstreamPhase::Lost;
    const auto Before = rebalanceBuckets({}, All, makeProfile(1.05));
    All[0].Phase = UpstreamPhase::Draining;
    CPPUNIT_ASSERT(Before == rebalanceBuckets(Before, All, makeProfile(1.05)));
    All[1].Phase = UpstreamPhase::Active;
    const auto After = rebalanceBuckets(Before, All, makeProfile(1.05));
    CPPUNIT_ASSERT_EQUAL(BucketsPerService, bucketCountOf(After, 2));
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, After.Buckets[0].Earlier[0].Number);
  }

  /// Guards against a cancelled drain that moves buckets to upstreams which
  /// don't have their flows.
  void returnsBucketsToEarlierOwner() {
    auto All = makeActiveUpstreams(3);
    const auto Before = rebalanceBuckets({}, All, makeProfile(1.0));
    All[0].Phase = UpstreamPhase::Draining;
    const auto Drained = rebalanceBuckets(Before, All, makeProfile(1.0));
    All[0].Phase = UpstreamPhase::Active;
    const auto After = rebalanceBuckets(Drained, All, makeProfile(1.0));
    for (std::size_t I = 0; I < BucketsPerService; ++I)
      if (After.Buckets[I].Owner == UpstreamId{1})
        CPPUNIT_ASSERT(Before.Buckets[I].Owner == UpstreamId{1});
    CPPUNIT_ASSERT_EQUAL(std::size_t{170}, bucketCountOf(After, 1));
  }

  /// Guards against control hosts that compute different tables because they
  /// iterate over the upstreams in different orders.
  void ignoresOrderOfUpstreams() {
    auto All = makeActiveUpstreams(7);
    All[4].Phase = UpstreamPhase::Draining;
    const auto Before =
        rebalanceBuckets({}, makeActiveUpstreams(7), makeProfile(1.05));
    const auto Forward = rebalanceBuckets(Before, All, makeProfile(1.05));
    std::reverse(All.begin(), All.end());
    CPPUNIT_ASSERT(Forward == rebalanceBuckets(Before, All, makeProfile(1.05)));
  }

  /// Guards against a limit below one bucket.
  void handlesMoreUpstreamsThanBuckets() {
    const auto Table =
        rebalanceBuckets({}, makeActiveUpstreams(600), makeProfile(1.05));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, largestBucketCount(Table));
    CPPUNIT_ASSERT_EQUAL(std::size_t{512}, bucketsByOwner(Table).size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BucketTableTest);

} // namespace
