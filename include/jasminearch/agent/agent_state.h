#ifndef JASMINEARCH_AGENT_AGENT_STATE_H
#define JASMINEARCH_AGENT_AGENT_STATE_H

#include "jasminearch/agent/detail/expiring_map.h"
#include "jasminearch/agent/flow_table.h"
#include "jasminearch/agent/load.h"
#include "jasminearch/agent/permit.h"
#include "jasminearch/agent/request_records.h"
#include "jasminearch/control/config_model.h"
#include "jasminearch/control/promise_counts.h"
#include "jasminearch/types.h"
#include "jasminearch/wire/frame.h"
#include <absl/container/flat_hash_set.h>
#include <absl/types/span.h>
#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// The agent beside an upstream: state, events and effects.
namespace jasminearch::agent {

/// Maximum number of hops of a datagram: agents that may forward it, including
/// the first one.
inline constexpr std::uint8_t MaxHops = 3;

/// Time within which a probed agent must claim a flow. Well above two one-way
/// delays between data centres (3 ms) and well below a caller's first
/// retransmission (2 s).
inline constexpr std::chrono::milliseconds ProbeTimeout{100};

/// Rate limit for probes over all callers, in probes per second, and the
/// largest burst. A probe costs one frame for each sibling.
inline constexpr std::uint32_t ProbesPerSecond = 500;

/// Maximum number of datagrams held while the agent that owns their flow is
/// looked up.
inline constexpr std::size_t MaxPendingProbes = 1024;

/// Maximum number of siblings that one probe is sent to.
inline constexpr std::size_t MaxProbedSiblings = 16;

/// Max-Age of a refusal, which tells the caller when to retry.
inline constexpr std::chrono::seconds RefusalMaxAge{1};

/// Number of consecutive refused datagrams, without one from the upstream in
/// between, after which the upstream is considered gone.
inline constexpr unsigned MaxConsecutiveRefusals = 3;

/// Diagnostic payloads of refused requests, which did not run, and of requests
/// whose outcome is unknown.
inline constexpr const char *NotRunPayload = R"({"outcome":"not-run"})";
inline constexpr const char *UnknownPayload = R"({"outcome":"unknown"})";

/// Settings that stay the same while the agent runs.
struct AgentOptions {
  /// Number of requests that the upstream handles concurrently.
  std::uint32_t Slots = 1;
  RecordLimits Records;
  std::size_t MaxFlows = 131'072;
};

/// A permit that was issued for a datagram and is given to its duplicates too.
struct IssuedPermit {
  Permit Value;
};

/// Other upstreams that hold flows or operations of a caller.
struct Route {
  /// Upstreams that hold flows of the caller, most recent first.
  std::vector<UpstreamId> Holders;
  /// Operation key and holder of each operation that was relayed.
  std::vector<std::pair<std::uint64_t, UpstreamId>> Operations;
};

/// A datagram held while the agent that owns its flow is looked up.
struct PendingProbe {
  wire::FrameHeader Header;
  Bytes Datagram;
  TimePoint Timeout;
  /// All siblings have been probed; the next timeout ends the search.
  bool SiblingsAsked = false;
};

/// Reason for dropping a datagram.
enum class DropReason : std::uint8_t {
  MalformedFrame = 0,
  WrongTarget = 1,
  NotAnnounced = 2,
  MalformedCoap = 3,
  UnknownFlow = 4,
  HopLimit = 5,
  RateLimited = 6,
  StaleConfiguration = 7,
  LateAnswer = 8,
  Duplicate = 9,
  HandedOver = 10,
  UnexpectedKind = 11,
  Count = 12,
};

/// \returns the name of \p Reason in snake case, for logs and reports.
const char *name(DropReason Reason);

/// Number of dropped datagrams by reason.
struct DropCounts {
  std::array<std::uint64_t, static_cast<std::size_t>(DropReason::Count)>
      ByReason{};
};

/// State of an agent. Time points are those passed to handle().
struct State {
  explicit State(const AgentOptions &InitialOptions, PermitKey NewKey,
                 TimePoint Now);

  AgentOptions Options;
  PermitKey Key{};
  UpstreamId Self;
  Incarnation Instance;
  /// Sent with the announcement; a successor keeps the value.
  std::uint64_t RunId = 0;
  std::shared_ptr<const control::Configuration> Config;
  /// Derived from Config: the agent's service and its profile, the tunnel
  /// endpoints of all alive entry hosts, those in the agent's data centre (or
  /// all, if there are none), and the siblings that can take work.
  ServiceId Service;
  control::Profile ServiceProfile;
  absl::flat_hash_set<Endpoint> AliveEntries;
  std::vector<Endpoint> PreferredEntries;
  std::vector<const control::Upstream *> Siblings;

  /// Start of the agent time, in which the expiry of permits is given.
  TimePoint Epoch;
  /// Latest time passed to handle(). The agent's time never goes backwards.
  TimePoint LatestTime;

  bool Draining = false;
  bool Stopping = false;
  bool HandedOver = false;
  bool UpstreamGone = false;
  bool StopReported = false;
  TimePoint StopDeadline;
  unsigned ConsecutiveRefusals = 0;

  FlowTable Flows;
  RequestRecords Records;
  /// Deadlines of unfinished uploads that run under a permit, by nonce.
  std::map<std::uint64_t, TimePoint> OpenUploads;
  /// Permits by datagramHash(). Duplicates of a request without a permit get
  /// the permit that was issued for the first copy.
  detail::ExpiringMap<std::uint64_t, IssuedPermit> IssuedPermits;
  /// Hashes of delivered upload blocks. Prevents a late copy of a block from
  /// becoming part of the next upload to the same path.
  detail::ExpiringMap<std::uint64_t, bool> DeliveredBlocks;
  detail::ExpiringMap<Endpoint, Route> Routes;
  std::map<std::uint64_t, PendingProbe> Probes;
  SiblingLoads Loads;
  TimePoint NextLoadAt;
  double ProbeTokens = ProbesPerSecond;
  TimePoint ProbeTokensUpdatedAt;

  std::uint64_t LastNonce = 0;
  std::uint64_t OffloadCount = 0;
  std::uint16_t LastMessageId = 0;

  DropCounts Drops;
  std::map<control::Promise, control::PromiseCount> Promises;
};

/// A frame arrived from an entry host or another agent.
struct FrameReceived {
  /// Tunnel endpoint of the sender.
  Endpoint From;
  absl::Span<const std::uint8_t> Datagram;
};

/// A datagram arrived from the upstream on the socket of a flow.
struct UpstreamReceived {
  FlowId Flow;
  absl::Span<const std::uint8_t> Datagram;
};

/// The operating system reported that the upstream's port is closed
/// (ECONNREFUSED).
struct UpstreamRefused {
  FlowId Flow;
};

/// The socket of a flow was bound to a local port.
struct FlowBound {
  FlowId Flow;
  std::uint16_t LocalPort = 0;
};

/// A new configuration is in force.
struct ConfigurationChanged {
  std::shared_ptr<const control::Configuration> Config;
};

/// The control hosts have committed the agent's announcement.
struct Announced {
  UpstreamId Self;
  Incarnation Instance;
};

/// Periodic timer; expected at least every 50 ms.
struct TimerFired {};

/// The process was asked to stop.
struct StopRequested {};

using Event =
    std::variant<FrameReceived, UpstreamReceived, UpstreamRefused, FlowBound,
                 ConfigurationChanged, Announced, TimerFired, StopRequested>;

/// Sends a frame from the tunnel socket.
struct SendFrame {
  Endpoint To;
  Bytes Datagram;
  bool operator==(const SendFrame &) const = default;
};

/// Sends a datagram to the upstream from the flow's socket.
struct SendUpstream {
  FlowId Flow;
  Bytes Datagram;
  bool operator==(const SendUpstream &) const = default;
};

/// Opens a socket for a flow. The result is reported with FlowBound.
struct OpenFlow {
  FlowId Flow;
  bool operator==(const OpenFlow &) const = default;
};

/// Closes the socket of a flow.
struct CloseFlow {
  FlowId Flow;
  bool operator==(const CloseFlow &) const = default;
};

/// The upstream no longer accepts datagrams; the process must announce that it
/// leaves.
struct ReportUpstreamGone {
  bool operator==(const ReportUpstreamGone &) const = default;
};

/// A requested stop is complete. \p CutOff requests were still in flight.
struct ReportStopped {
  std::size_t CutOff = 0;
  bool operator==(const ReportStopped &) const = default;
};

using Effect = std::variant<SendFrame, SendUpstream, OpenFlow, CloseFlow,
                            ReportUpstreamGone, ReportStopped>;
using Effects = std::vector<Effect>;

/// \returns the number of requests that the upstream is working on; an upload
/// counts as one.
std::size_t inFlight(const State &AgentState);

/// \returns the agent time at \p Time in milliseconds, counted from the start
/// of the first agent process of this incarnation and continued by its
/// successors. The expiry of permits is given in agent time.
std::uint64_t agentTimeMs(const State &AgentState, TimePoint Time);

} // namespace jasminearch::agent

#endif // JASMINEARCH_AGENT_AGENT_STATE_H
