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

/// An upstream that buckets may be given to.
struct Candidate {
  UpstreamId Id;
  std::size_t Weight = 1;
  std::size_t Limit = 0;
  std::size_t Held = 0;
};

using Candidates = std::vector<Candidate>;

/// Orders by how full the upstream would be with one more bucket. Products of
/// integers, so that every host orders alike.
bool emptier(const Candidate &A, const Candidate &B) {
  const std::size_t Left = (A.Held + 1) * B.Weight;
  const std::size_t Right = (B.Held + 1) * A.Weight;
  return Left != Right ? Left < Right : A.Id < B.Id;
}

std::size_t weightOf(const Upstream &U) {
  return std::clamp<std::size_t>(U.WarmUp, 1, control::WarmUpSteps);
}

/// \returns the upstreams that may own buckets, by id: those that serve, or
/// the draining ones while none serves.
Candidates candidates(const std::vector<Upstream> &Upstreams,
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
  // While none serves, a bucket of a draining upstream has no better place.
  for (Candidate &C : Found)
    C.Limit = AnyServes ? bucketLimit(C.Weight, Total, MaxImbalance)
                        : BucketsPerService;
  std::sort(Found.begin(), Found.end(),
            [](const auto &A, const auto &B) { return A.Id < B.Id; });
  return Found;
}

/// \returns ids of upstreams that may still hold flows, sorted.
std::vector<UpstreamId> holders(const std::vector<Upstream> &Upstreams) {
  std::vector<UpstreamId> Ids;
  for (const Upstream &U : Upstreams)
    if (U.Phase != UpstreamPhase::Lost)
      Ids.push_back(U.Id);
  std::sort(Ids.begin(), Ids.end());
  return Ids;
}

Candidate *find(Candidates &All, UpstreamId Id) {
  const auto At =
      std::lower_bound(All.begin(), All.end(), Id,
                       [](const auto &C, UpstreamId I) { return C.Id < I; });
  return At != All.end() && At->Id == Id ? &*At : nullptr;
}

bool remembers(const Bucket &B, UpstreamId Id) {
  return std::find(B.Earlier.begin(), B.Earlier.end(), Id) != B.Earlier.end();
}

/// Keeps the earlier owners that \p Keep accepts, in their order. Most buckets
/// have none.
template <typename Predicate> void keepEarlier(Bucket &B, Predicate Keep) {
  if (B.Earlier.front().Number == 0)
    return;
  const auto End =
      std::remove_if(B.Earlier.begin(), B.Earlier.end(), [&](UpstreamId Id) {
        return Id.Number == 0 || !Keep(Id);
      });
  std::fill(End, B.Earlier.end(), UpstreamId{});
}

/// Gives \p B to \p Next and remembers the former owner if it is a holder.
void give(Bucket &B, UpstreamId Next, const std::vector<UpstreamId> &Holders) {
  const UpstreamId Former = B.Owner;
  B.Owner = Next;
  keepEarlier(B, [&](UpstreamId Id) { return Id != Next; });
  if (!std::binary_search(Holders.begin(), Holders.end(), Former))
    return;
  std::rotate(B.Earlier.begin(), B.Earlier.end() - 1, B.Earlier.end());
  B.Earlier.front() = Former;
}

/// \returns the upstream that the next bucket goes to. One below its limit
/// exists, because the limits add up to at least the number of buckets.
Candidate &receiver(Candidates &All) {
  Candidate *Best = nullptr;
  for (Candidate &C : All)
    if (C.Held < C.Limit && (Best == nullptr || emptier(C, *Best)))
      Best = &C;
  return *Best;
}

/// Rates how well a bucket suits a move to \p Next, lower first: an earlier
/// owner still has flows of the bucket, and a bucket with free places for
/// earlier owners loses none of them.
int moveCost(const Bucket &B, UpstreamId Next) {
  if (B.Earlier.front().Number == 0)
    return 1;
  if (remembers(B, Next))
    return 0;
  return 1 + static_cast<int>(
                 std::count_if(B.Earlier.begin(), B.Earlier.end(),
                               [](UpstreamId Id) { return Id.Number != 0; }));
}

/// \returns the bucket of \p Donor that is cheapest to move to \p Next.
Bucket &cheapestOf(BucketTable &Table, UpstreamId Donor, UpstreamId Next) {
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

/// Moves the buckets whose owner is no candidate.
void placeOrphans(BucketTable &Table, Candidates &All,
                  const std::vector<UpstreamId> &Holders) {
  for (Bucket &B : Table.Buckets) {
    if (find(All, B.Owner) != nullptr)
      continue;
    if (All.empty()) {
      give(B, UpstreamId{}, Holders);
      continue;
    }
    Candidate &Next = receiver(All);
    give(B, Next.Id, Holders);
    ++Next.Held;
  }
}

/// Moves buckets of upstreams above their limit until none is.
void trimOverfull(BucketTable &Table, Candidates &All,
                  const std::vector<UpstreamId> &Holders) {
  for (Candidate &Donor : All) {
    while (Donor.Held > Donor.Limit) {
      Candidate &Next = receiver(All);
      give(cheapestOf(Table, Donor.Id, Next.Id), Next.Id, Holders);
      --Donor.Held;
      ++Next.Held;
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

void removeEarlierOwner(BucketTable &Table, UpstreamId Gone) {
  for (Bucket &B : Table.Buckets)
    keepEarlier(B, [&](UpstreamId Id) { return Id != Gone; });
}

BucketTable rebalanceBuckets(const BucketTable &Previous,
                             const std::vector<Upstream> &Upstreams,
                             const control::Profile &Profile) {
  BucketTable Next = Previous;
  Next.Buckets.resize(BucketsPerService);
  Candidates All = candidates(Upstreams, Profile.MaxImbalance);
  const std::vector<UpstreamId> Holders = holders(Upstreams);
  for (Bucket &B : Next.Buckets) {
    keepEarlier(B, [&](UpstreamId Id) {
      return std::binary_search(Holders.begin(), Holders.end(), Id);
    });
    if (Candidate *Owner = find(All, B.Owner))
      ++Owner->Held;
  }
  placeOrphans(Next, All, Holders);
  trimOverfull(Next, All, Holders);
  return Next;
}

} // namespace jasminearch::routing
