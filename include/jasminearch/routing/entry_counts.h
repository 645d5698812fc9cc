#ifndef JASMINEARCH_ROUTING_ENTRY_COUNTS_H
#define JASMINEARCH_ROUTING_ENTRY_COUNTS_H

#include "jasminearch/control/promise_counts.h"
#include "jasminearch/routing/entry_router.h"
#include "jasminearch/types.h"
#include <absl/container/flat_hash_map.h>
#include <cstddef>
#include <cstdint>
#include <vector>

/// What an entry host counts, and the outcome report made from it.
namespace jasminearch::routing {

/// Datagrams of one service since the start of the process.
struct ServiceCounts {
  /// Handed to an agent.
  std::uint64_t Forwarded = 0;
  /// Handed to the fabric.
  std::uint64_t Answered = 0;
  /// Dropped, because no upstream could be chosen.
  std::uint64_t NoUpstream = 0;
  /// Answers dropped, because they may belong to another service.
  std::uint64_t RefusedAnswers = 0;

  bool operator==(const ServiceCounts &) const = default;
};

/// Counts of one thread, or the sum over threads. The size depends on the
/// number of services only.
struct EntryCounts {
  absl::flat_hash_map<ServiceId, ServiceCounts> Services;
  /// Datagrams for an address of no service.
  std::uint64_t UnknownAddress = 0;
  /// Answers that name a service this host doesn't know.
  std::uint64_t UnknownService = 0;
  /// Datagrams of the fabric without a valid PROXY header.
  std::uint64_t BadHeader = 0;
  /// Datagrams of agents that are no valid Answer frame.
  std::uint64_t BadFrame = 0;
  /// Datagrams too large for a frame or a header around them.
  std::uint64_t Oversize = 0;
  /// Datagrams that the system refused to send.
  std::uint64_t SendFailed = 0;

  bool operator==(const EntryCounts &) const = default;
};

/// Counts one decision.
void count(EntryCounts &Counts, const ForwardDecision &Decision);
void count(EntryCounts &Counts, const AnswerDecision &Decision);

/// Adds \p Other to \p Sum. Complexity: linear in the number of services.
void add(EntryCounts &Sum, const EntryCounts &Other);

/// Configurations that this process was offered.
struct ConfigurationCounts {
  std::uint64_t Accepted = 0;
  /// Older than the one in force, hence refused.
  std::uint64_t Refused = 0;
};

/// Services with ids up to this one are named in a report. A count takes 58 to
/// 98 bytes in a message, so that 4,400 services every 10 s would take over
/// 25 KB/s, more than a daemon's whole control traffic may (20 KB/s).
inline constexpr std::uint32_t LastServiceReported = 512;

/// Makes the outcome report of an entry host. Counts of zero are left out.
/// Services behind LastServiceReported are summed under service zero. The limit
/// is an id, not a number of services, so that no sum ever decreases because a
/// service is named from now on.
///
/// - NoMisdelivery holds for each answer that passed the checks or was dropped
///   by them.
/// - WholeAnswers is unknown for each datagram without an upstream: the caller
///   may retry elsewhere.
/// - ConfigurationHolds holds for each configuration that was accepted and for
///   each older one that was refused.
std::vector<control::PromiseCount>
promiseCounts(const EntryCounts &Counts,
              const ConfigurationCounts &Configurations);

} // namespace jasminearch::routing

#endif // JASMINEARCH_ROUTING_ENTRY_COUNTS_H
