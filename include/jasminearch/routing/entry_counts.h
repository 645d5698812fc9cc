#ifndef JASMINEARCH_ROUTING_ENTRY_COUNTS_H
#define JASMINEARCH_ROUTING_ENTRY_COUNTS_H

#include "jasminearch/control/promise_counts.h"
#include "jasminearch/routing/entry_router.h"
#include "jasminearch/types.h"
#include <absl/container/flat_hash_map.h>
#include <cstddef>
#include <cstdint>
#include <vector>

/// Traffic counters of an entry host and the outcome report computed from them.
namespace jasminearch::routing {

/// Counts datagrams of one service since the start of the process.
struct ServiceCounts {
  /// Sent to an agent.
  std::uint64_t Forwarded = 0;
  /// Answers sent to the fabric.
  std::uint64_t Answered = 0;
  /// Dropped because no upstream was available.
  std::uint64_t NoUpstream = 0;
  /// Answers dropped because they may belong to another service.
  std::uint64_t RefusedAnswers = 0;

  bool operator==(const ServiceCounts &) const = default;
};

/// Counters of one thread, or their sum over several threads. The size depends
/// only on the number of services.
struct EntryCounts {
  absl::flat_hash_map<ServiceId, ServiceCounts> Services;
  /// Datagrams for an address that no service has.
  std::uint64_t UnknownAddress = 0;
  /// Answers with the id of an unknown service.
  std::uint64_t UnknownService = 0;
  /// Datagrams from the fabric without a valid PROXY header.
  std::uint64_t BadHeader = 0;
  /// Datagrams from agents that aren't valid Answer frames.
  std::uint64_t BadFrame = 0;
  /// Datagrams too large to add a frame or PROXY header.
  std::uint64_t Oversize = 0;
  /// Datagrams that the operating system failed to send.
  std::uint64_t SendFailed = 0;

  bool operator==(const EntryCounts &) const = default;
};

/// Increments the counter that corresponds to \p Decision.
void count(EntryCounts &Counts, const ForwardDecision &Decision);
void count(EntryCounts &Counts, const AnswerDecision &Decision);

/// Adds the counters of \p Other to \p Sum. Complexity: linear in the number of
/// services.
void add(EntryCounts &Sum, const EntryCounts &Other);

/// Counts configurations that this process received.
struct ConfigurationCounts {
  std::uint64_t Accepted = 0;
  /// Refused because they were older than the one in force.
  std::uint64_t Refused = 0;
};

/// Largest service id that is reported individually. A count takes 58 to 98
/// bytes in a message, so reporting 4,400 services every 10 s would exceed
/// 25 KB/s, while the limit for all control traffic of a daemon is 20 KB/s.
inline constexpr std::uint32_t MaxReportedServiceId = 512;

/// Computes the outcome report of an entry host. Zero counts are omitted.
/// Services with ids above MaxReportedServiceId are summed under service zero.
/// The limit is an id and not a number of services: otherwise the sum could
/// decrease when a service starts to be reported individually.
///
/// - NoMisdelivery: held for each answer that was returned or refused.
/// - WholeAnswers: unknown for each datagram without an upstream, because the
///   caller may retry elsewhere.
/// - ConfigurationHolds: held for each accepted configuration and for each
///   refused older one.
std::vector<control::PromiseCount>
promiseCounts(const EntryCounts &Counts,
              const ConfigurationCounts &Configurations);

} // namespace jasminearch::routing

#endif // JASMINEARCH_ROUTING_ENTRY_COUNTS_H
