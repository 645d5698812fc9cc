#ifndef JASMINEARCH_ROUTING_BUCKET_TABLE_H
#define JASMINEARCH_ROUTING_BUCKET_TABLE_H

#include "jasminearch/control/config_model.h"
#include "jasminearch/types.h"
#include <cstddef>
#include <map>
#include <vector>

/// Assignment of buckets to upstreams, which decides where a caller's datagrams
/// go.
namespace jasminearch::routing {

/// Computes the next bucket table of one service. The result is deterministic:
/// equal arguments give equal tables on every control host.
///
/// - Buckets whose owner doesn't accept new work (absent, lost or draining)
///   always move, each to the upstream with the lowest load relative to its
///   weight.
/// - Other buckets move only until no upstream owns more than bucketLimit(). No
///   table within that limit needs fewer moves.
/// - The former owner of a moved bucket becomes the first of its earlier
///   owners. Absent and lost upstreams are never listed there.
/// - If no upstream accepts new work, buckets stay with draining upstreams,
///   whose agents refuse new work and continue open lines. If there are none,
///   the owner is zero.
///
/// \param Previous table in force. A table without buckets is treated as one
///   whose buckets have no owner.
/// \param Upstreams the service's upstreams in any order, with unique ids.
/// \param Profile the service's profile; only MaxImbalance is used.
/// \returns the table with the same service and Changed as \p Previous.
/// Complexity: O(B * (U + M)) for B buckets, U upstreams and M moves.
control::BucketTable
rebalanceBuckets(const control::BucketTable &Previous,
                 const std::vector<control::Upstream> &Upstreams,
                 const control::Profile &Profile);

/// Removes an upstream whose flows are gone from the earlier owners of all
/// buckets.
void removeEarlierOwner(control::BucketTable &Table, UpstreamId Removed);

/// \returns the largest number of buckets that an upstream may own: its share
/// times \p MaxImbalance, but at least the share rounded up to whole buckets.
/// The share is \p Weight / \p TotalWeight of all buckets.
/// \param Weight WarmUp of the upstream, above zero.
/// \param TotalWeight sum of WarmUp of all upstreams that accept new work.
std::size_t bucketLimit(std::size_t Weight, std::size_t TotalWeight,
                        double MaxImbalance);

/// \returns the number of buckets of each owner.
std::map<UpstreamId, std::size_t>
bucketsByOwner(const control::BucketTable &Table);

/// \returns whether \p U accepts new work.
constexpr bool serves(const control::Upstream &U) {
  return U.Phase == control::UpstreamPhase::Cold ||
         U.Phase == control::UpstreamPhase::Active;
}

} // namespace jasminearch::routing

#endif // JASMINEARCH_ROUTING_BUCKET_TABLE_H
