#ifndef JASMINEARCH_ROUTING_BUCKET_TABLE_H
#define JASMINEARCH_ROUTING_BUCKET_TABLE_H

#include "jasminearch/control/config_model.h"
#include "jasminearch/types.h"
#include <cstddef>
#include <map>
#include <vector>

/// Which upstream a caller's datagrams go to.
namespace jasminearch::routing {

/// Computes the next bucket table of one service. Deterministic: equal
/// arguments give equal tables on every control host.
///
/// - Buckets whose owner doesn't serve (absent, lost or draining) always move,
///   each to the upstream that is furthest below its share.
/// - Other buckets move only until no upstream holds more than bucketLimit.
///   No table that keeps the limit needs fewer moves.
/// - A moved bucket remembers its former owner first among the earlier owners.
///   Absent and lost upstreams are never remembered.
/// - While no upstream serves, buckets stay with draining upstreams, whose
///   agents refuse new work and continue open lines; without one, the owner is
///   zero.
///
/// \param Previous table in force; one without buckets counts as all unowned.
/// \param Upstreams the service's upstreams in any order. Ids are unique.
/// \param Profile the service's profile; only MaxImbalance matters.
/// \returns the table with the same service and Changed as \p Previous.
/// Complexity: O(B * (U + M)) for B buckets, U upstreams and M moves.
control::BucketTable
rebalanceBuckets(const control::BucketTable &Previous,
                 const std::vector<control::Upstream> &Upstreams,
                 const control::Profile &Profile);

/// Removes an upstream from all earlier owners, because its flows are gone.
void removeEarlierOwner(control::BucketTable &Table, UpstreamId Gone);

/// Largest number of buckets that an upstream may keep: its share times
/// \p MaxImbalance, but at least the share rounded up, because buckets are
/// whole. The share of an upstream is its WarmUp over the sum of WarmUp.
/// \param Weight WarmUp of the upstream, above zero.
/// \param TotalWeight sum over all serving upstreams.
std::size_t bucketLimit(std::size_t Weight, std::size_t TotalWeight,
                        double MaxImbalance);

/// \returns the number of buckets that each owner holds.
std::map<UpstreamId, std::size_t>
bucketsByOwner(const control::BucketTable &Table);

/// \returns whether new work may go to \p U.
constexpr bool serves(const control::Upstream &U) {
  return U.Phase == control::UpstreamPhase::Cold ||
         U.Phase == control::UpstreamPhase::Active;
}

} // namespace jasminearch::routing

#endif // JASMINEARCH_ROUTING_BUCKET_TABLE_H
