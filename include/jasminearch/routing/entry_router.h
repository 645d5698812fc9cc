#ifndef JASMINEARCH_ROUTING_ENTRY_ROUTER_H
#define JASMINEARCH_ROUTING_ENTRY_ROUTER_H

#include "jasminearch/control/config_model.h"
#include "jasminearch/error.h"
#include "jasminearch/types.h"
#include "jasminearch/wire/frame.h"
#include "jasminearch/wire/proxy_header.h"
#include <absl/container/flat_hash_map.h>
#include <absl/types/span.h>
#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

/// Decisions of an entry host: which agent takes a caller's datagram, and which
/// datagram a frame with an answer becomes. Pure functions over an immutable
/// snapshot; nothing depends on the number of flows.
///
/// \code
///   auto Routing = buildRoutingSnapshot(Current, Config);
///   auto Choice = decideForward(**Routing, Header, Tunnel,
///   nextTraceId(Traces)); if (Choice.Failure == ErrorCode{})
///     // encode Choice.Header and send it to Choice.Agent
/// \endcode
namespace jasminearch::routing {

/// Upstreams of one service that can be chosen. Further ones get no datagrams.
/// Keeps positions in 2 bytes.
inline constexpr std::size_t MaxUpstreamsPerService = 65'535;

/// Position that names no upstream.
inline constexpr std::uint16_t NoUpstreamIndex = 0xFFFF;

/// Earlier owners of a bucket at an entry host: those of the bucket table, and
/// a draining owner for which another upstream was chosen.
inline constexpr std::size_t CandidatesPerBucket =
    control::EarlierOwnersPerBucket + 1;

/// An upstream as an entry host sees it.
struct UpstreamRoute {
  UpstreamId Id;
  Incarnation Instance;
  Endpoint Agent;
  control::UpstreamPhase Phase = control::UpstreamPhase::Cold;

  bool operator==(const UpstreamRoute &) const = default;
};

/// Positions in ServiceRoute::Upstreams, or NoUpstreamIndex.
struct BucketRoute {
  std::uint16_t Chosen = NoUpstreamIndex;
  std::array<std::uint16_t, CandidatesPerBucket> Earlier{
      NoUpstreamIndex, NoUpstreamIndex, NoUpstreamIndex};

  bool operator==(const BucketRoute &) const = default;
};

/// Routing of one service.
struct ServiceRoute {
  ServiceId Id;
  Endpoint Address;
  /// Latest change of the service, its table and its upstreams.
  Revision Changed;
  /// Upstreams of every phase, by ascending id.
  std::vector<UpstreamRoute> Upstreams;
  /// Distinct routes of buckets. Most buckets share theirs with others, so
  /// that a bucket costs 2 bytes instead of 8.
  std::vector<BucketRoute> Rows;
  /// Position in Rows of each bucket.
  std::array<std::uint16_t, control::BucketsPerService> RowOf{};

  bool operator==(const ServiceRoute &) const = default;
};

/// Everything that traffic threads read. Never changed after it was built.
struct RoutingSnapshot {
  Revision InForce;
  absl::flat_hash_map<ServiceId, std::shared_ptr<const ServiceRoute>> ById;
  absl::flat_hash_map<Endpoint, std::shared_ptr<const ServiceRoute>> ByAddress;
};

/// Builds the snapshot of \p Next.
///
/// A bucket's owner is chosen while it is Cold or Active. Otherwise the service
/// chooses one of its serving upstreams by a hash of bucket and upstream, the
/// same on every entry host, and a draining owner becomes the first earlier
/// owner. Only a service without any serving upstream goes on to use a draining
/// owner, whose agent refuses new work and keeps its lines. A lost upstream and
/// one of another service are never chosen.
///
/// \param Current snapshot in force, or null. Services without a change since
/// then are shared with it.
/// \returns StaleRevision when \p Next is older than \p Current; \p Current
/// itself when both have the same revision.
/// Complexity: O(S + U) for S services and U upstreams, and O(B log u)
/// for each changed service with B buckets and u upstreams.
Expected<std::shared_ptr<const RoutingSnapshot>>
buildRoutingSnapshot(const std::shared_ptr<const RoutingSnapshot> &Current,
                     const control::Configuration &Next);

/// \returns the bucket of a caller, the same on every host.
std::size_t bucketOf(const Endpoint &Caller);

/// Numbers datagrams. One object per thread.
struct TraceIdGenerator {
  std::uint64_t Next = 0;
};

/// \param Host name of the entry host. \param Run differs between threads and
/// between runs of the process, so that they don't give the same numbers.
TraceIdGenerator makeTraceIdGenerator(const std::string &Host,
                                      std::uint64_t Run);

/// \returns a number for the next datagram.
inline TraceId nextTraceId(TraceIdGenerator &Source) { return {Source.Next++}; }

/// What becomes of a caller's datagram.
struct ForwardDecision {
  /// Zero when the datagram is forwarded, else UnknownServiceAddress or
  /// NoUpstream. Only a number, because nothing may allocate here.
  ErrorCode Failure{};
  /// Head of the frame. Service is set unless the address is unknown.
  wire::FrameHeader Header;
  /// Takes the frame.
  Endpoint Agent;
};

/// Decides where a datagram of the fabric goes.
/// \param Return where this entry host takes the answer.
/// Complexity: constant; no allocation.
ForwardDecision decideForward(const RoutingSnapshot &Routing,
                              const wire::ProxyHeader &From,
                              const Endpoint &Return, TraceId Trace);

/// What becomes of a frame with an answer.
struct AnswerDecision {
  /// Zero when the datagram goes to the fabric, else FrameMalformed (not an
  /// answer), UnknownService, UnknownServiceAddress (the service is reached at
  /// another address now) or WrongUpstream.
  ErrorCode Failure{};
  /// Zero when the service is unknown.
  ServiceId Service;
  wire::ProxyHeader Header;
};

/// Decides whether a frame's datagram goes to its caller. The source is the
/// service's address. An upstream that this snapshot doesn't have for the
/// service is accepted only from a sender with a newer configuration.
/// Complexity: O(log u) for u upstreams of the service; no allocation.
AnswerDecision decideAnswer(const RoutingSnapshot &Routing,
                            const wire::FrameHeader &Frame);

} // namespace jasminearch::routing

#endif // JASMINEARCH_ROUTING_ENTRY_ROUTER_H
