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

/// Routing decisions of an entry host: which agent receives a caller's
/// datagram, and how a frame with an answer is returned to the caller. Pure
/// functions over an immutable snapshot whose cost doesn't depend on the number
/// of flows.
///
/// \code
///   auto Routing = buildRoutingSnapshot(Current, Config);
///   auto Choice = decideForward(**Routing, Header, Tunnel,
///   nextTraceId(Traces)); if (Choice.Failure == ErrorCode{})
///     // encode Choice.Header and send it to Choice.Agent
/// \endcode
namespace jasminearch::routing {

/// Largest number of upstreams of one service that are used, so that an index
/// fits into 2 bytes. Further upstreams get no datagrams.
inline constexpr std::size_t MaxUpstreamsPerService = 65'535;

/// Index value for "no upstream".
inline constexpr std::uint16_t NoUpstreamIndex = 0xFFFF;

/// Largest number of upstreams besides the chosen one that may hold flows of a
/// bucket: the earlier owners in the bucket table, and a draining owner for
/// which another upstream was chosen.
inline constexpr std::size_t CandidatesPerBucket =
    control::EarlierOwnersPerBucket + 1;

/// Routing data of one upstream.
struct UpstreamRoute {
  UpstreamId Id;
  Incarnation Instance;
  /// Address of the agent beside the upstream.
  Endpoint Agent;
  control::UpstreamPhase Phase = control::UpstreamPhase::Cold;

  bool operator==(const UpstreamRoute &) const = default;
};

/// Routing of one bucket: indexes into ServiceRoute::Upstreams, or
/// NoUpstreamIndex.
struct BucketRoute {
  std::uint16_t Chosen = NoUpstreamIndex;
  std::array<std::uint16_t, CandidatesPerBucket> Earlier{
      NoUpstreamIndex, NoUpstreamIndex, NoUpstreamIndex};

  bool operator==(const BucketRoute &) const = default;
};

/// Routing data of one service.
struct ServiceRoute {
  ServiceId Id;
  Endpoint Address;
  /// Revision of the latest change of the service, its bucket table or its
  /// upstreams.
  Revision Changed;
  /// Upstreams in all phases, sorted by id.
  std::vector<UpstreamRoute> Upstreams;
  /// The distinct bucket routes. Most buckets share a route with others, so
  /// storing an index takes 2 bytes per bucket instead of 8.
  std::vector<BucketRoute> DistinctRoutes;
  /// Index into DistinctRoutes for each bucket.
  std::array<std::uint16_t, control::BucketsPerService> RouteIndexByBucket{};

  bool operator==(const ServiceRoute &) const = default;
};

/// The routing data that traffic threads read. Immutable after construction.
struct RoutingSnapshot {
  /// Revision of the configuration that the snapshot was built from.
  Revision InForce;
  absl::flat_hash_map<ServiceId, std::shared_ptr<const ServiceRoute>> ById;
  absl::flat_hash_map<Endpoint, std::shared_ptr<const ServiceRoute>> ByAddress;
};

/// Builds the routing snapshot of the configuration \p Next.
///
/// A bucket's owner is chosen while it is Cold or Active. Otherwise one of the
/// service's Cold or Active upstreams is chosen by rendezvous hashing of bucket
/// and upstream, with the same result on every entry host, and a draining owner
/// becomes the first earlier owner. If the service has no Cold or Active
/// upstream, a draining owner remains chosen: its agent refuses new work and
/// keeps its lines. Lost upstreams and upstreams of other services are never
/// chosen.
///
/// \param Current snapshot in force, or null. Routes of services that haven't
///   changed since are shared with it.
/// \returns StaleRevision if \p Next is older than \p Current, and \p Current
/// itself if both have the same revision.
/// Complexity: O(S + U) for S services and U upstreams, and O(B log u)
/// for each changed service with B buckets and u upstreams.
Expected<std::shared_ptr<const RoutingSnapshot>>
buildRoutingSnapshot(const std::shared_ptr<const RoutingSnapshot> &Current,
                     const control::Configuration &Next);

/// \returns the bucket of a caller. The result is the same on every host.
std::size_t bucketOf(const Endpoint &Caller);

/// Generates trace ids for datagrams. Each thread needs its own generator.
struct TraceIdGenerator {
  std::uint64_t Next = 0;
};

/// Creates a generator.
/// \param Host name of the entry host.
/// \param Run number that differs between threads and between runs of the
///   process, so that they generate different ids.
TraceIdGenerator makeTraceIdGenerator(const std::string &Host,
                                      std::uint64_t Run);

/// \returns the trace id for the next datagram.
inline TraceId nextTraceId(TraceIdGenerator &Source) { return {Source.Next++}; }

/// Routing decision for a caller's datagram.
struct ForwardDecision {
  /// Zero if the datagram is to be forwarded, otherwise UnknownServiceAddress
  /// or NoUpstream. Only a code and no Error, to avoid allocations.
  ErrorCode Failure{};
  /// Header of the frame to send. Service is set unless the address is unknown.
  wire::FrameHeader Header;
  /// Address of the agent that the frame is sent to.
  Endpoint Agent;
};

/// Decides to which agent a datagram from the fabric is forwarded.
/// \param From caller and service address of the datagram.
/// \param Return address at which this entry host receives the answer.
/// Complexity: constant; no allocation.
ForwardDecision decideForward(const RoutingSnapshot &Routing,
                              const wire::ProxyHeader &From,
                              const Endpoint &Return, TraceId Trace);

/// Routing decision for a frame with an answer.
struct AnswerDecision {
  /// Zero if the datagram is to be sent to the fabric, otherwise FrameMalformed
  /// (not an answer), UnknownService, UnknownServiceAddress (the service has
  /// another address now) or WrongUpstream.
  ErrorCode Failure{};
  /// Zero if the service is unknown.
  ServiceId Service;
  /// PROXY header of the datagram to send.
  wire::ProxyHeader Header;
};

/// Decides whether the datagram in a frame is returned to its caller, with the
/// service's address as its source. A frame from an upstream that this snapshot
/// doesn't list for the service is accepted only if the sender had a newer
/// configuration.
/// Complexity: O(log u) for u upstreams of the service; no allocation.
AnswerDecision decideAnswer(const RoutingSnapshot &Routing,
                            const wire::FrameHeader &Frame);

} // namespace jasminearch::routing

#endif // JASMINEARCH_ROUTING_ENTRY_ROUTER_H
