#ifndef JASMINEARCH_FLOW_ENTRY_FLOWS_H
#define JASMINEARCH_FLOW_ENTRY_FLOWS_H

#include "jasminearch/flow/flow_digest.h"
#include "jasminearch/flow/link_budget.h"
#include "jasminearch/flow/load_report.h"
#include "jasminearch/flow/packet.h"
#include "jasminearch/flow/placement.h"
#include "jasminearch/flow/routes.h"
#include "jasminearch/flow/tunnel.h"
#include "jasminearch/types.h"
#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/types/span.h>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// Flow logic of an entry host, free of sockets and clocks: it takes packets
/// and times and returns effects to carry out.
///
/// Only the upstream that holds a flow knows for certain where the flow is. An
/// entry host merely caches flow locations; if a location is missing or turns
/// out to be wrong, the entry host queries the agents.
namespace jasminearch::flow {

/// Maximum age of a load report that is used to place a flow. Older reports are
/// renewed by a probe when a flow opens, so that the messages of an entry host
/// depend on the flows it opens and not on the number of agents.
inline constexpr std::chrono::milliseconds MaxReportReuse{150};

/// The same for reports that the upstream is not ready. Longer, because after a
/// loss of power each opening meets many of them.
inline constexpr std::chrono::milliseconds MaxNotReadyReportReuse{400};

/// Time that an opening waits for the answers to its probes. Longer than a
/// round trip between data centres and the scheduling delay of a busy agent. An
/// agent that takes longer gets no new flows until it answers.
inline constexpr std::chrono::milliseconds ProbeTimeout{60};

/// Minimum time between two probes of an agent that doesn't answer.
inline constexpr std::chrono::milliseconds ProbeRetryInterval{200};

/// Number of agents whose reports are compared for an opening: first
/// CandidatesPerFlow; if none of these can take the flow, the next
/// highest-ranked ones up to this sum. With 84, probes and answers of callers
/// that return after a loss of power take more than half of a link of
/// 2.1 Mbit/s.
inline constexpr std::size_t MaxProbedPerOpening = 20;

/// Maximum number of openings that wait for answers to probes.
inline constexpr std::size_t MaxPendingOpenings = 4096;

/// Delay before a search queries an agent again that hasn't answered; doubles
/// with each retry up to MaxLocateRetryInterval. Longer than a round trip
/// between regions.
inline constexpr std::chrono::milliseconds LocateRetryInterval{150};
inline constexpr std::chrono::milliseconds MaxLocateRetryInterval{600};

/// Share of the link that queries take on average, and at most at once: a
/// quarter of a second of a link of 2.1 Mbit/s. After a loss of power each
/// entry host searches for dozens of flows at all agents; without a limit the
/// queries fill the link for seconds, and no search ends. Queries that wait are
/// sent together, one datagram for each agent.
inline constexpr std::size_t QueryBytesPerSecond = 65'536;
inline constexpr std::size_t MaxQueryBurstBytes = 65'536;

/// Maximum share of the link that queries take on a host with admission control
/// of uploads, so that they leave room for the flows of a narrow link.
inline constexpr double MaxQueryShare = 0.125;

/// Number of agents that a search queries first: those with the highest rank
/// for the flow, because its upstream was one of the CandidatesPerFlow
/// highest-ranked ready ones when it was placed. Each further wave is larger by
/// WaveGrowthFactor. Agents that are unsure get copies of the caller's packet
/// in groups of the same sizes: after a restart of all agents none of them is
/// sure.
inline constexpr std::size_t FirstWaveSize = CandidatesPerFlow;
inline constexpr std::size_t WaveGrowthFactor = 4;

/// Queries go out at twice QueryBytesPerSecond, with their expected answers
/// counted, one agent after the other; this much of it may go out at once, so
/// that the first wave of a search isn't delayed. In a burst to 180 agents, the
/// queue of a link of 2.1 Mbit/s dropped one answer in ten, so that searches
/// took four rounds.
inline constexpr std::chrono::milliseconds QueryBurst{50};

/// If the last MinSearchesForFlowList flows that no upstream held were lost
/// within this time, searches query all agents at once: most flows that are
/// searched for then are lost as well, and one round serves all of them.
inline constexpr std::chrono::milliseconds MassLossWindow{3000};

/// A search fails after this time. Callers retransmit after up to 1.6 s, so an
/// agent that is just restarting still ends the search in time.
inline constexpr std::chrono::milliseconds SearchTimeout{2000};

/// An agent that has neither answered nor been listed for this long before a
/// complete list without it is removed. Silence alone removes no agent: its
/// upstream may still hold flows.
inline constexpr std::chrono::milliseconds AgentExpiry{10'000};

/// Maximum number of upstreams that an opening packet is offered to before the
/// flow is refused.
inline constexpr std::size_t MaxOffers = 4;

/// Maximum number of packets of one flow that are held during a search.
inline constexpr std::size_t MaxHeldPackets = 4;

/// Maximum number of concurrent searches. Further packets of unknown flows are
/// dropped; their retransmissions start a new attempt.
inline constexpr std::size_t MaxSearches = 4096;

/// Limits for packets that arrive before a starting entry host can place flows:
/// number of flows, with one packet each, and waiting time. Callers give up an
/// opening after 1.4 s, so older packets needn't be kept.
inline constexpr std::size_t MaxWaitingFlows = 4096;
inline constexpr std::chrono::milliseconds MaxWaitingTime{1300};

/// Maximum number of cached flows.
inline constexpr std::size_t MaxFlows = 400'000;

/// A cached flow without packets is removed after this time. Longer than the
/// idle timeout of upstreams, so that the upstream ends a flow first.
inline constexpr std::chrono::milliseconds FlowExpiry{60'000};

/// An agent's full flow list is requested only if at least this many searches
/// wait for the agent; queries for fewer flows fit into one small datagram.
/// After as many recent losses, the first wave queries all agents.
inline constexpr std::size_t MinSearchesForFlowList = 8;

/// Number of hashes that the next digest of an agent is expected to have if an
/// earlier one was complete within RecentDigestAge.
inline constexpr std::size_t ExpectedNewHashes = 4;
inline constexpr std::chrono::milliseconds RecentDigestAge{5000};

/// After a mass loss, digests of up to this many bytes are requested also for a
/// single flow: the next searches need them, too.
inline constexpr std::size_t MaxDigestBytesForOneFlow = 400;

/// An agent's flow list is kept for this long; no search takes longer.
inline constexpr std::chrono::milliseconds FlowListLifetime = SearchTimeout;

/// All flows that an agent held when the list was requested.
struct FlowList {
  std::uint32_t RequestId = 0;
  TimePoint RequestedAt{};
  /// Which parts have been received, by part number; empty before the first
  /// part.
  std::vector<bool> ReceivedParts;
  std::size_t MissingParts = 1;
  /// Presence of all flows that aren't in Flows.
  FlowPresence UnlistedPresence = FlowPresence::No;
  absl::flat_hash_map<FlowKey, FlowPresence> Flows;
};

/// An agent that a control host listed.
struct ListedAgent {
  Endpoint Tunnel;
  /// serviceTag() of its upstream's service; zero if unknown.
  std::uint32_t ServiceTag = 0;
  /// Where the agent's host stands; empty if unknown.
  std::string DataCentre = {};
  std::string Region = {};

  auto operator<=>(const ListedAgent &) const = default;
};

/// What an entry host knows about an agent.
struct AgentView {
  /// Service of its upstream, as listed or reported; zero if unknown.
  std::uint32_t ServiceTag = 0;
  /// As listed; empty if unknown.
  std::string DataCentre;
  std::string Region;
  std::optional<LoadReport> Report;
  TimePoint ReportedAt{};
  /// When the agent was last listed by the control hosts or sent a report.
  TimePoint KnownAt{};
  /// When the first unanswered probe and the last probe were sent.
  std::optional<TimePoint> UnansweredSince;
  TimePoint ProbedAt{};
  /// Openings that wait for the agent's report.
  std::vector<FlowKey> WaitingOpenings;
  /// Number of flows that this host placed on the agent since its last report.
  std::uint32_t PlacedSinceReport = 0;
  /// The newest complete flow list, and the one being received.
  std::optional<FlowList> CompleteList;
  std::optional<FlowList> PartialList;
  FlowDigest Digest;
};

/// Cached location of a flow.
struct CachedFlow {
  Endpoint Agent;
  TimePoint LastSeen{};
  /// The caller has sent a packet after its opening packet.
  bool Established = false;
  /// Tag of the service that the flow was placed for; zero if a search found
  /// the flow.
  std::uint32_t ServiceTag = 0;
  /// Agents that have declined the flow.
  std::vector<Endpoint> Excluded;
  /// When the flow was placed or found.
  TimePoint OpenedAt{};
  /// Sequence number of its opening; empty if a search found the flow.
  std::optional<std::uint32_t> OpeningSequence;
};

/// An opening that waits for load reports.
struct PendingOpening {
  Bytes Raw;
  TimePoint ArrivedAt{};
  /// Version of the routes to which ProbedAt, ServiceIndex and WaveSize belong.
  std::uint64_t RoutesVersion = 0;
  /// When the probes of the current wave were sent; empty before that.
  std::optional<TimePoint> ProbedAt;
  /// Index of the service that is tried, in the order of preference.
  std::size_t ServiceIndex = 0;
  /// Number of agents whose reports are compared.
  std::size_t WaveSize = CandidatesPerFlow;
  /// Of an upload: agents in other data centres are compared, too.
  bool AsksElsewhere = false;
  /// The agent that was sent an earlier copy of this opening. It gets this copy
  /// too, unless its upstream is silent or the routes in force send no flows to
  /// its service.
  std::optional<Endpoint> Earlier;
  /// Agents that have declined the flow.
  std::vector<Endpoint> Excluded;
};

/// A running search for the agent that holds a flow.
struct Search {
  TimePoint StartedAt{};
  /// digestHash() of the flow.
  std::uint32_t Hash = 0;
  TimePoint RetryDue{};
  std::chrono::milliseconds RetryInterval = LocateRetryInterval;
  /// Queries wait for their turn. The retry time counts from when the first of
  /// them is sent.
  bool QueriesQueued = false;
  /// Agents not queried yet, the most likely last.
  std::vector<Endpoint> NotQueried;
  std::size_t WaveSize = FirstWaveSize;
  /// Agents that were queried and haven't answered.
  std::vector<Endpoint> NotAnswered;
  /// Agents that answered Unsure and were then sent one packet of the flow.
  std::vector<Endpoint> Tried;
  /// Index in HeldPackets of the packet that the agents in Tried were sent.
  std::size_t TriedPacketIndex = 0;
  /// Agents that answered Unsure and will be sent a packet.
  std::vector<Endpoint> Unsure;
  std::size_t TryGroupSize = FirstWaveSize;
  std::vector<Bytes> HeldPackets;
  std::uint32_t Acknowledged = 0;
  bool ResetSeen = false;
};

/// A packet that arrived before this host could place flows.
struct WaitingPacket {
  Bytes Raw;
  TimePoint ArrivedAt{};
};

/// Counters of an entry host since its start.
struct EntryCounters {
  std::uint64_t PacketsFromCallers = 0;
  std::uint64_t Malformed = 0;
  std::uint64_t Held = 0;
  std::uint64_t Opened = 0;
  std::uint64_t OpenedAgain = 0;
  std::uint64_t Refused = 0;
  /// Those of Refused for which every upstream was excluded.
  std::uint64_t RefusedEvacuated = 0;
  std::uint64_t RefusedOtherRegion = 0;
  /// Those of Opened and Refused that belong to uploads.
  std::uint64_t UploadsOpened = 0;
  std::uint64_t UploadsRefused = 0;
  /// Openings of uploads that were sent to another data centre.
  std::uint64_t UploadsPlacedElsewhere = 0;
  std::uint64_t UnknownRoute = 0;
  std::uint64_t Searches = 0;
  std::uint64_t Found = 0;
  std::uint64_t FoundNowhere = 0;
  std::uint64_t SearchExpired = 0;
  std::uint64_t SearchOverflow = 0;
  /// Requests for digests of agents' flows.
  std::uint64_t Digests = 0;
  std::uint64_t Returned = 0;
  std::uint64_t Probes = 0;
  std::uint64_t ProbesUnanswered = 0;
  /// Datagrams that a socket refused to send.
  std::uint64_t SendsRefused = 0;
};

struct EntryFlows {
  PacketCodec Codec;
  std::shared_ptr<const RouteIndex> Routes;
  absl::flat_hash_map<Endpoint, AgentView> Agents;
  /// The agents of each service, by service tag.
  absl::flat_hash_map<std::uint32_t, std::vector<Endpoint>> AgentsByService;
  /// When a control host last sent a complete list of agents.
  TimePoint CompleteListAt{};
  absl::flat_hash_map<FlowKey, PendingOpening> PendingOpenings;
  absl::flat_hash_map<FlowKey, CachedFlow> Flows;
  absl::flat_hash_map<FlowKey, Search> Searches;
  /// Packets that wait until flows can be placed, the newest of each flow.
  absl::flat_hash_map<FlowKey, WaitingPacket> Waiting;
  /// Routes and the agent list are complete. Once set, it is never cleared:
  /// even outdated information is better than what is available right after a
  /// start.
  bool CanPlace = false;
  /// A control host has sent a list of all agents.
  bool AgentListComplete = false;
  /// Flows to query each agent for, and the agents in the order in which their
  /// first query was queued.
  absl::flat_hash_map<Endpoint, absl::flat_hash_set<FlowKey>> QueuedQueries;
  std::deque<Endpoint> QueryOrder;
  /// Bytes that queries may take now; negative after a large datagram.
  double QueryBudget = MaxQueryBurstBytes;
  TimePoint QueryBudgetAt{};
  /// When the next query may be sent.
  TimePoint NextQueryDue{};
  /// When the last flows were lost that no upstream held, the latest last; at
  /// most MinSearchesForFlowList.
  std::deque<TimePoint> RecentLosses;
  std::uint32_t LastFlowListRequestId = 0;
  std::uint32_t LastDigestRequestId = 0;
  /// The host's own data centre; empty if unknown.
  std::string DataCentre;
  /// Data centres to whose upstreams no new flows are sent.
  absl::flat_hash_set<std::string> Evacuated;
  TimePoint CleanUpDue{};
  EntryCounters Counters;
  /// Admission control of uploads.
  UploadBudget Budget;
};

// Effects that the caller of these functions carries out.
struct SendTunnel {
  Endpoint To;
  Bytes Datagram;
};
struct SendReset {
  Reset Value;
};
/// A decision to be logged.
struct FlowDecision {
  std::string_view Event;
  FlowKey Flow;
  std::string Reason;
  Endpoint Agent;
  /// Inputs of the decision: version of the routes, age and load of the agent's
  /// report.
  std::uint64_t RoutesVersion = 0;
  std::chrono::milliseconds ReportAge{0};
  std::uint32_t Outstanding = 0;
  std::uint32_t ActiveFlows = 0;
  std::chrono::microseconds ServiceTime{0};
  std::chrono::microseconds RemainingWork{0};
  std::chrono::milliseconds Overdue{0};
  /// The flow belongs to an upload.
  bool Upload = false;
};

/// A decision of the admission control of uploads, to be logged.
struct UploadDecision {
  std::string_view Event;
  FlowKey Flow;
  std::string_view Reason;
  // Inputs of the decision.
  std::size_t Open = 0;
  std::size_t Waiting = 0;
  double Limit = 0;
  std::chrono::milliseconds ExpectedWait{0};
  std::chrono::milliseconds UploadTime{0};
  std::chrono::milliseconds RoundTrip{0};
};

using EntryEffect =
    std::variant<SendTunnel, SendReset, FlowDecision, UploadDecision>;
using EntryEffects = std::vector<EntryEffect>;

/// Replaces the routes unless \p Routes is older than those in force.
void setRoutes(EntryFlows &E, std::shared_ptr<const RouteIndex> Routes);

/// Adds agents that a control host listed. \p Complete tells whether the list
/// contains all known agents.
void addListedAgents(EntryFlows &E, const std::vector<ListedAgent> &Listed,
                     bool Complete, TimePoint Now);

/// Replaces the data centres to whose upstreams no new flows are sent.
void setEvacuations(EntryFlows &E, const std::vector<std::string> &DataCentres);

/// Removes an agent that has left, as a control host reported: its upstream is
/// gone and holds no flows.
void removeAgent(EntryFlows &E, const Endpoint &Agent);

/// Handles a packet from a caller.
void onCallerPacket(EntryFlows &E, absl::Span<const std::uint8_t> Raw,
                    TimePoint Now, EntryEffects &Out);

/// Handles a datagram from an agent.
void onTunnel(EntryFlows &E, const Endpoint &From,
              absl::Span<const std::uint8_t> Datagram, TimePoint Now,
              EntryEffects &Out);

/// Sends queued queries as far as QueryBytesPerSecond allows, and
/// places uploads that waited for a share of the link; must be called after
/// each batch of datagrams and each tick. Queries for several flows share one
/// datagram per agent. If an agent holds fewer flows than are searched for, its
/// full flow list is requested instead: after a power loss, separate queries
/// for thousands of lost flows would saturate the links.
void flush(EntryFlows &E, TimePoint Now, EntryEffects &Out);

/// Runs timers; must be called at least every 50 ms.
void tick(EntryFlows &E, TimePoint Now, EntryEffects &Out);

/// \returns whether this host has the information to place new flows.
inline bool canPlaceFlows(const EntryFlows &E) { return E.CanPlace; }

} // namespace jasminearch::flow

#endif // JASMINEARCH_FLOW_ENTRY_FLOWS_H
