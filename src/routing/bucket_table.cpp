#include "jasminearch/routing/bucket_table.h"
#include <algorithm>
#include <cmath>

namespace jasminearch::routing {

using control::Bucket;
using control::BucketsPerService;
using control::BucketTable;
using control::Upstream;
using control::UpstreamPhase;

namespace {

/// An upstream that buckets may be assigned to.
struct Candidate {
  UpstreamId Id;
  std::size_t Weight = 1;
  std::size_t MaxBuckets = 0;
  std::size_t BucketCount = 0;
};

using Candidates = std::vector<Candidate>;

/// Orders upstreams by their load, relative to their weight, after one more
/// bucket. Compares integer products instead of quotients so that all hosts
/// agree.
bool hasLowerLoad(const Candidate &A, const Candidate &B) {
  const std::size_t LoadOfA = (A.BucketCount + 1) * B.Weight;
  const std::size_t LoadOfB = (B.BucketCount + 1) * A.Weight;
  return LoadOfA != LoadOfB ? LoadOfA < LoadOfB : A.Id < B.Id;
}

std::size_t weightOf(const Upstream &U) {
  return std::clamp<std::size_t>(U.WarmUp, 1, control::WarmUpSteps);
}

/// \returns the upstreams that may own buckets, sorted by id: those that accept
/// new work, or the draining ones if there are none.
Candidates eligibleOwners(const std::vector<Upstream> &Upstreams,
                          double MaxImbalance) {
  const bool AnyServes = std::any_of(Upstreams.begin(), Upstreams.end(),
                                     [](const auto &U) { return serves(U); });
  Candidates Found;
  std::size_t Total = 0;
  for (const Upstream &U : Upstreams) {
    if (AnyServes ? !serves(U) : U.Phase != UpstreamPhase::Draining)
      continue;
    Found.push_back({U.Id, AnyServes ? weightOf(U) : 1, 0, 0});
    Total += Found.back().Weight;
  }
  // If no upstream accepts new work, buckets of draining upstreams must not be
  // moved.
  for (Candidate &C : Found)
    C.MaxBuckets = AnyServes ? bucketLimit(C.Weight, Total, MaxImbalance)
                             : BucketsPerService;
  std::sort(Found.begin(), Found.end(),
            [](const auto &A, const auto &B) { return A.Id < B.Id; });
  return Found;
}

/// \returns the sorted ids of the upstreams that may still hold flows.
std::vector<UpstreamId> flowHolders(const std::vector<Upstream> &Upstreams) {
  std::vector<UpstreamId> Ids;
  for (const Upstream &U : Upstreams)
    if (U.Phase != UpstreamPhase::Lost)
      Ids.push_back(U.Id);
  std::sort(Ids.begin(), Ids.end());
  return Ids;
}

Candidate *findCandidate(Candidates &All, UpstreamId Id) {
  const auto Found =
      std::lower_bound(All.begin(), All.end(), Id,
                       [](const auto &C, UpstreamId I) { return C.Id < I; });
  return Found != All.end() && Found->Id == Id ? &*Found : nullptr;
}

bool isEarlierOwner(const Bucket &B, UpstreamId Id) {
  return std::find(B.Earlier.begin(), B.Earlier.end(), Id) != B.Earlier.end();
}

/// Removes the earlier owners for which \p Keep returns false, preserving the
/// order of the others.
template <typename Predicate>
void filterEarlierOwners(Bucket &B, Predicate Keep) {
  // Most buckets have no earlier owners.
  if (B.Earlier.front().Number == 0)
    return;
  const auto End =
      std::remove_if(B.Earlier.begin(), B.Earlier.end(), [&](UpstreamId Id) {
        return Id.Number == 0 || !Keep(Id);
      });
  std::fill(End, B.Earlier.end(), UpstreamId{});
}

/// Assigns \p B to \p Next. The former owner becomes the first earlier owner if
/// it is one of \p FlowHolders.
void assignBucket(Bucket &B, UpstreamId Next,
                  const std::vector<UpstreamId> &FlowHolders) {
  const UpstreamId FormerOwner = B.Owner;
  B.Owner = Next;
  filterEarlierOwners(B, [&](UpstreamId Id) { return Id != Next; });
  if (!std::binary_search(FlowHolders.begin(), FlowHolders.end(), FormerOwner))
    return;
  std::rotate(B.Earlier.begin(), B.Earlier.end() - 1, B.Earlier.end());
  B.Earlier.front() = FormerOwner;
}

/// \returns the upstream that gets the next bucket: the least loaded one below
/// its limit. There always is one, because the limits add up to at least the
/// number of buckets.
Candidate &leastLoadedCandidate(Candidates &All) {
  Candidate *Best = nullptr;
  for (Candidate &C : All)
    if (C.BucketCount < C.MaxBuckets &&
        (Best == nullptr || hasLowerLoad(C, *Best)))
      Best = &C;
  return *Best;
}

/// \returns the cost of moving a bucket to \p Next. Lowest if \p Next is an
/// earlier owner, because it still has flows of the bucket; then increasing
/// with the number of earlier owners, because a bucket with a full list would
/// lose one.
int moveCost(const Bucket &B, UpstreamId Next) {
  if (B.Earlier.front().Number == 0)
    return 1;
  if (isEarlierOwner(B, Next))
    return 0;
  return 1 + static_cast<int>(
                 std::count_if(B.Earlier.begin(), B.Earlier.end(),
                               [](UpstreamId Id) { return Id.Number != 0; }));
}

/// \returns the bucket of \p Donor that is cheapest to move to \p Next.
Bucket &cheapestBucket(BucketTable &Table, UpstreamId Donor, UpstreamId Next) {
  Bucket *Best = nullptr;
  int Lowest = 0;
  for (Bucket &B : Table.Buckets) {
    if (B.Owner != Donor)
      continue;
    const int Cost = moveCost(B, Next);
    if (Best == nullptr || Cost < Lowest) {
      Best = &B;
      Lowest = Cost;
    }
    if (Lowest == 0)
      break;
  }
  return *Best;
}

/// Moves the buckets whose owner isn't a candidate.
void reassignUnownedBuckets(BucketTable &Table, Candidates &All,
                            const std::vector<UpstreamId> &FlowHolders) {
  for (Bucket &B : Table.Buckets) {
    if (findCandidate(All, B.Owner) != nullptr)
      continue;
    if (All.empty()) {
      assignBucket(B, UpstreamId{}, FlowHolders);
      continue;
    }
    Candidate &Next = leastLoadedCandidate(All);
    assignBucket(B, Next.Id, FlowHolders);
    ++Next.BucketCount;
  }
}

/// Moves buckets away from upstreams above their limit until there are none.
void moveExcessBuckets(BucketTable &Table, Candidates &All,
                       const std::vector<UpstreamId> &FlowHolders) {
  for (Candidate &Donor : All) {
    while (Donor.BucketCount > Donor.MaxBuckets) {
      Candidate &Next = leastLoadedCandidate(All);
      assignBucket(cheapestBucket(Table, Donor.Id, Next.Id), Next.Id,
                   FlowHolders);
      --Donor.BucketCount;
      ++Next.BucketCount;
    }
  }
}

} // namespace

std::size_t bucketLimit(std::size_t Weight, std::size_t TotalWeight,
                        double MaxImbalance) {
  const std::size_t Scaled = BucketsPerService * Weight;
  const std::size_t RoundedUp = (Scaled + TotalWeight - 1) / TotalWeight;
  const double Share =
      static_cast<double>(Scaled) / static_cast<double>(TotalWeight);
  const double Tolerated = std::min(std::floor(Share * MaxImbalance),
                                    static_cast<double>(BucketsPerService));
  return std::max(RoundedUp, static_cast<std::size_t>(Tolerated));
}

std::map<UpstreamId, std::size_t> bucketsByOwner(const BucketTable &Table) {
  std::map<UpstreamId, std::size_t> Counts;
  for (const Bucket &B : Table.Buckets)
    ++Counts[B.Owner];
  return Counts;
}

void removeEarlierOwner(BucketTable &Table, UpstreamId Removed) {
  for (Bucket &B : Table.Buckets)
    filterEarlierOwners(B, [&](UpstreamId Id) { return Id != Removed; });
}

BucketTable rebalanceBuckets(const BucketTable &Previous,
                             const std::vector<Upstream> &Upstreams,
                             const control::Profile &Profile) {
  BucketTable Next = Previous;
  Next.Buckets.resize(BucketsPerService);
  Candidates All = eligibleOwners(Upstreams, Profile.MaxImbalance);
  const std::vector<UpstreamId> FlowHolders = flowHolders(Upstreams);
  for (Bucket &B : Next.Buckets) {
    filterEarlierOwners(B, [&](UpstreamId Id) {
      return std::binary_search(FlowHolders.begin(), FlowHolders.end(), Id);
    });
    if (Candidate *Owner = findCandidate(All, B.Owner))
      ++Owner->BucketCount;
  }
  reassignUnownedBuckets(Next, All, FlowHolders);
  moveExcessBuckets(Next, All, FlowHolders);
  return Next;
}

} // namespace jasminearch::routing
