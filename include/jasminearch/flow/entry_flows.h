#ifndef JASMINEARCH_FLOW_ENTRY_FLOWS_H
#define JASMINEARCH_FLOW_ENTRY_FLOWS_H

#include "jasminearch/flow/load_report.h"
#include "jasminearch/flow/packet.h"
#include "jasminearch/flow/placement.h"
#include "jasminearch/flow/routes.h"
#include "jasminearch/flow/tunnel.h"
#include "jasminearch/types.h"
#include <absl/container/flat_hash_map.h>
#include <absl/types/span.h>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// Decisions of an entry host about packet flows, without sockets or clock.
///
/// The upstream that holds a flow is the only authority on it. What an entry
/// host remembers is a cache: when it doesn't know a flow, or is wrong about
/// it, it asks the agents.
namespace jasminearch::flow {

/// Time between two Subscribe messages to an agent.
inline constexpr std::chrono::milliseconds SubscribeInterval{400};

/// Time between two Locate messages of one search to an agent that doesn't
/// answer; doubles with each up to MaxAskPause. Longer than a round trip
/// between regions.
inline constexpr std::chrono::milliseconds AskInterval{150};
inline constexpr std::chrono::milliseconds MaxAskPause{600};

/// Agents that a search asks first: those that rank first for the flow. Its
/// upstream was chosen among the ChoicesPerFlow first that were ready then.
/// Further waves are this many times larger. After a restart of all agents none
/// can tell, and each one that is asked gets a copy of the caller's packet.
inline constexpr std::size_t FirstWave = ChoicesPerFlow;
inline constexpr std::size_t WaveGrowth = 4;

/// Time after which a search is given up. Callers retransmit after up to 1.6 s,
/// so that an agent that is just restarting still ends the search in time.
inline constexpr std::chrono::milliseconds SearchLimit{2000};

/// An agent that has been silent for this long counts as gone: a search doesn't
/// wait for its answer.
inline constexpr std::chrono::milliseconds AgentGone{3000};

/// The same for an agent that has never reported to this host, or whose last
/// report told of no upstream. Lists name
/// agents that were taken away with their hosts for a while; one that only
/// restarts reports again within a second.
inline constexpr std::chrono::milliseconds AgentAbsent{1500};

/// An agent that neither the control hosts list nor itself reports for this
/// long is forgotten.
inline constexpr std::chrono::milliseconds AgentForgotten{10'000};

/// Upstreams that an opening packet is offered to before the flow is refused.
inline constexpr std::size_t MaxOffers = 4;

/// Packets of one flow that wait for the end of a search.
inline constexpr std::size_t MaxHeldPackets = 4;

/// Searches at a time; further packets of unknown flows are dropped and found
/// again by their retransmission.
inline constexpr std::size_t MaxSearches = 4096;

/// Time that a listed agent gets for its first report before an entry host
/// places flows without it.
inline constexpr std::chrono::milliseconds ReportPatience{250};

/// Flows whose packets wait until an entry host that is starting knows enough.
/// One packet a flow is kept. Callers give an opening up after 1.4 s; packets
/// that are older wait in vain.
inline constexpr std::size_t MaxWaitingFlows = 4096;
inline constexpr std::chrono::milliseconds WaitingPatience{1300};

/// Flows that are remembered at most.
inline constexpr std::size_t MaxFlows = 400'000;

/// Time after which a flow without packets is forgotten. Longer than the idle
/// timeout of upstreams, so that they end a flow first.
inline constexpr std::chrono::milliseconds FlowForgotten{60'000};

/// Searches from which on a list of an agent's flows is asked for: questions
/// for fewer flows fit into one small datagram.
inline constexpr std::size_t ListFromSearches = 8;

/// Time for which an agent's list of flows is kept: no search lasts longer.
inline constexpr std::chrono::milliseconds FlowListKept = SearchLimit;

/// All flows that an agent held when it was asked.
struct FlowList {
  std::uint32_t Question = 0;
  TimePoint AskedAt{};
  /// Parts that have arrived, by number; empty until the first one.
  std::vector<bool> Arrived;
  std::size_t PartsMissing = 1;
  /// Where flows are that aren't listed.
  Holding Others = Holding::No;
  absl::flat_hash_map<FlowKey, Holding> Flows;
};

/// What an entry host knows of an agent.
struct AgentView {
  std::optional<LoadReport> Report;
  TimePoint ReportedAt{};
  /// Last time that the control hosts listed it or it reported.
  TimePoint KnownAt{};
  /// When it became known.
  TimePoint Since{};
  /// Flows placed there since its last report.
  std::uint32_t PlacedSince = 0;
  /// The newest complete list, and the one that is arriving.
  std::optional<FlowList> Listed;
  std::optional<FlowList> Arriving;
};

/// Where an entry host believes a flow to be.
struct OwnedFlow {
  Endpoint Agent;
  TimePoint LastSeen{};
  /// The caller has sent something after its opening packet.
  bool Established = false;
  /// Service that the flow was placed for; zero if it was found by a search.
  std::uint32_t ServiceTag = 0;
  /// Agents whose upstream doesn't take the flow.
  std::vector<Endpoint> Excluded;
};

/// A flow whose upstream is being looked for.
struct Search {
  TimePoint Started{};
  TimePoint AskDue{};
  std::chrono::milliseconds AskPause = AskInterval;
  /// Agents that haven't been asked, the best last.
  std::vector<Endpoint> Later;
  std::size_t WaveSize = FirstWave;
  /// Agents that haven't answered.
  std::vector<Endpoint> Waiting;
  /// Agents that can't tell, and were sent one packet.
  std::vector<Endpoint> Tried;
  /// Index in Held of the packet that Tried got.
  std::size_t TriedPacket = 0;
  /// Agents that can't tell, and will be tried.
  std::vector<Endpoint> Unsure;
  std::vector<Bytes> Held;
  std::uint32_t Acknowledged = 0;
  bool ResetSeen = false;
};

/// A packet that came before enough was known to handle it.
struct WaitingPacket {
  Bytes Raw;
  TimePoint Since{};
};

/// Counters of an entry host since its start.
struct EntryCounters {
  std::uint64_t PacketsFromCallers = 0;
  std::uint64_t Malformed = 0;
  std::uint64_t Held = 0;
  std::uint64_t Opened = 0;
  std::uint64_t OpenedAgain = 0;
  std::uint64_t Refused = 0;
  std::uint64_t UnknownRoute = 0;
  std::uint64_t Searches = 0;
  std::uint64_t Found = 0;
  std::uint64_t FoundNowhere = 0;
  std::uint64_t SearchExpired = 0;
  std::uint64_t SearchOverflow = 0;
  std::uint64_t Returned = 0;
};

struct EntryFlows {
  PacketCodec Codec;
  std::shared_ptr<const RouteIndex> Routes;
  absl::flat_hash_map<Endpoint, AgentView> Agents;
  absl::flat_hash_map<FlowKey, OwnedFlow> Flows;
  absl::flat_hash_map<FlowKey, Search> Searches;
  /// Empty once flows can be placed.
  absl::flat_hash_map<FlowKey, WaitingPacket> Waiting;
  /// Routes and the list of agents are complete, and the agents have had time
  /// to report. Never ends: what is known later is better than what a start
  /// begins with.
  bool Placing = false;
  bool Listed = false;
  /// Flows to ask agents for with the next flush().
  absl::flat_hash_map<Endpoint, std::vector<FlowKey>> Asks;
  std::uint32_t ListQuestions = 0;
  TimePoint SubscribeDue{};
  TimePoint CleanUpDue{};
  EntryCounters Counters;
};

// Effects.
struct SendTunnel {
  Endpoint To;
  Bytes Datagram;
};
struct SendReset {
  Reset Value;
};
/// A decision that a log line tells.
struct FlowDecision {
  std::string_view Event;
  FlowKey Flow;
  std::string Reason;
  Endpoint Agent;
  /// Inputs: version of the routes, age of the report, load that it told.
  std::uint64_t RoutesVersion = 0;
  std::chrono::milliseconds ReportAge{0};
  std::uint32_t Outstanding = 0;
  std::uint32_t ActiveFlows = 0;
};

using EntryEffect = std::variant<SendTunnel, SendReset, FlowDecision>;
using EntryEffects = std::vector<EntryEffect>;

/// Replaces the routes by newer ones. Older ones are ignored: what is in force
/// never reverts.
void setRoutes(EntryFlows &E, std::shared_ptr<const RouteIndex> Routes);

/// Adds the agents that the control hosts list; \p Complete tells whether these
/// are all.
void addListedAgents(EntryFlows &E, const std::vector<Endpoint> &Listed,
                     bool Complete, TimePoint Now, EntryEffects &Out);

/// Handles a caller's packet.
void onCallerPacket(EntryFlows &E, absl::Span<const std::uint8_t> Raw,
                    TimePoint Now, EntryEffects &Out);

/// Handles a datagram from an agent.
void onTunnel(EntryFlows &E, const Endpoint &From,
              absl::Span<const std::uint8_t> Datagram, TimePoint Now,
              EntryEffects &Out);

/// Sends what is best sent together; call it after each batch of datagrams.
/// When many flows are looked for at once, each agent gets one datagram, and an
/// agent that holds fewer flows than are looked for is asked for all of them:
/// after a loss of power thousands of lost flows would fill the links with
/// questions.
void flush(EntryFlows &E, TimePoint Now, EntryEffects &Out);

/// Runs timers; call it at least every 50 ms.
void tick(EntryFlows &E, TimePoint Now, EntryEffects &Out);

/// \returns whether new flows can be placed.
inline bool placing(const EntryFlows &E) { return E.Placing; }

} // namespace jasminearch::flow

#endif // JASMINEARCH_FLOW_ENTRY_FLOWS_H
