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

/// Agents that a datagram may pass, its first one included.
inline constexpr std::uint8_t MaxHops = 3;

/// Time that a probed agent has to claim a flow: well above two one-way delays
/// between data centres (3 ms), well below a caller's first retransmission (2
/// s).
inline constexpr std::chrono::milliseconds ProbeWait{100};

/// Probes sent per second, all callers together, and how many may be sent at
/// once. A probe costs one frame for each sibling.
inline constexpr std::uint32_t ProbesPerSecond = 500;

/// Datagrams kept while their owner is looked up.
inline constexpr std::size_t MaxPendingProbes = 1024;

/// Siblings that one probe asks at most.
inline constexpr std::size_t MaxProbedSiblings = 16;

/// Retry hint of a refusal.
inline constexpr std::chrono::seconds RetryHint{1};

/// Refused datagrams in a row, without any from the upstream in between, after
/// which the upstream counts as gone.
inline constexpr unsigned RefusalsUntilGone = 3;

/// Diagnostic payloads of refusals and cancellations.
inline constexpr const char *NotRunPayload = R"({"outcome":"not-run"})";
inline constexpr const char *UnknownPayload = R"({"outcome":"unknown"})";

/// Fixed properties of an agent.
struct AgentOptions {
  /// Requests that the upstream handles at a time.
  std::uint32_t Slots = 1;
  RecordLimits Records;
  std::size_t MaxFlows = 131'072;
};

/// A permit lately issued for a datagram.
struct IssuedPermit {
  Permit Value;
};

/// Where else datagrams of a caller belong.
struct Route {
  /// Upstreams that hold flows of the caller, latest first.
  std::vector<UpstreamId> Holders;
  /// Holder of each operation that was relayed.
  std::vector<std::pair<std::uint64_t, UpstreamId>> Operations;
};

/// A datagram whose owner is being looked up.
struct PendingProbe {
  wire::FrameHeader Header;
  Bytes Datagram;
  TimePoint Due;
  /// The siblings were asked too; the next timeout is final.
  bool AskedSiblings = false;
};

/// Why a datagram was dropped.
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

struct DropCounts {
  std::array<std::uint64_t, static_cast<std::size_t>(DropReason::Count)>
      ByReason{};
};

/// Everything an agent knows. Time points are those of the caller's clock.
struct State {
  explicit State(const AgentOptions &Chosen, PermitKey NewKey, TimePoint Now);

  AgentOptions Options;
  PermitKey Key{};
  UpstreamId Self;
  Incarnation Instance;
  /// Sent with the announcement; kept over a take-over.
  std::uint64_t RunId = 0;
  std::shared_ptr<const control::Configuration> Config;
  /// Derived from Config: the agent's service and its profile, tunnel endpoints
  /// of living entry hosts, those in the agent's data centre (or all, if it has
  /// none), and upstreams that can take work.
  ServiceId Service;
  control::Profile Treatment;
  absl::flat_hash_set<Endpoint> LivingEntries;
  std::vector<Endpoint> NearEntries;
  std::vector<const control::Upstream *> Siblings;

  /// Zero of the agent time, on which permits expire.
  TimePoint Epoch;
  /// Latest time seen; the agent's time never goes back.
  TimePoint Latest;

  bool Draining = false;
  bool Stopping = false;
  bool HandedOver = false;
  bool UpstreamGone = false;
  bool StopReported = false;
  TimePoint StopDeadline;
  unsigned RefusalsInARow = 0;

  FlowTable Flows;
  RequestRecords Records;
  /// Uploads under permits that have neither finished nor failed.
  std::map<std::uint64_t, TimePoint> OpenUploads;
  /// By datagramHash(): duplicates of a request without a permit get the permit
  /// that its first copy got.
  detail::ExpiringMap<std::uint64_t, IssuedPermit> Issued;
  /// Hashes of delivered upload blocks, so that a late copy of one is not taken
  /// for a block of the next upload to the same path.
  detail::ExpiringMap<std::uint64_t, bool> DeliveredBlocks;
  detail::ExpiringMap<Endpoint, Route> Routes;
  std::map<std::uint64_t, PendingProbe> Probes;
  SiblingLoads Loads;
  TimePoint NextLoadAt;
  double ProbeAllowance = ProbesPerSecond;
  TimePoint ProbeRefilledAt;

  std::uint64_t LastNonce = 0;
  std::uint64_t Draws = 0;
  std::uint16_t LastMessageId = 0;

  DropCounts Drops;
  std::map<control::Promise, control::PromiseCount> Promises;
};

/// A frame from an entry host or another agent.
struct FrameReceived {
  /// Source of the datagram: the tunnel endpoint of the sender.
  Endpoint From;
  absl::Span<const std::uint8_t> Datagram;
};

/// A datagram from the upstream to one of the flows.
struct UpstreamReceived {
  FlowId Flow;
  absl::Span<const std::uint8_t> Datagram;
};

/// The operating system reported that nobody takes datagrams at the upstream's
/// port.
struct UpstreamRefused {
  FlowId Flow;
};

/// The daemon has bound the port of a flow.
struct FlowBound {
  FlowId Flow;
  std::uint16_t LocalPort = 0;
};

struct ConfigurationChanged {
  std::shared_ptr<const control::Configuration> Config;
};

/// The control hosts have committed the announcement.
struct Announced {
  UpstreamId Self;
  Incarnation Instance;
};

/// Time has passed; expected at least every 50 ms.
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

/// Opens a socket for a flow; FlowBound follows.
struct OpenFlow {
  FlowId Flow;
  bool operator==(const OpenFlow &) const = default;
};

struct CloseFlow {
  FlowId Flow;
  bool operator==(const CloseFlow &) const = default;
};

/// The upstream no longer takes datagrams; announce Leave.
struct ReportUpstreamGone {
  bool operator==(const ReportUpstreamGone &) const = default;
};

/// A requested stop is complete; \p CutOff requests were still in flight.
struct ReportStopped {
  std::size_t CutOff = 0;
  bool operator==(const ReportStopped &) const = default;
};

using Effect = std::variant<SendFrame, SendUpstream, OpenFlow, CloseFlow,
                            ReportUpstreamGone, ReportStopped>;
using Effects = std::vector<Effect>;

/// \returns requests that the upstream is working on, an upload counted once.
std::size_t inFlight(const State &Of);

/// \returns milliseconds of agent time at \p At: time since the first agent of
/// this incarnation started, take-overs included. Permits expire on it.
std::uint64_t agentTimeMs(const State &Of, TimePoint At);

} // namespace jasminearch::agent

#endif // JASMINEARCH_AGENT_AGENT_STATE_H
