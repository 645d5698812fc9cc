#ifndef JASMINEARCH_FLOW_AGENT_FLOWS_H
#define JASMINEARCH_FLOW_AGENT_FLOWS_H

#include "jasminearch/flow/cold_limit.h"
#include "jasminearch/flow/flow_digest.h"
#include "jasminearch/flow/histogram.h"
#include "jasminearch/flow/input_age.h"
#include "jasminearch/flow/load_report.h"
#include "jasminearch/flow/packet.h"
#include "jasminearch/flow/routes.h"
#include "jasminearch/flow/service_time.h"
#include "jasminearch/flow/tunnel.h"
#include "jasminearch/types.h"
#include <absl/container/flat_hash_map.h>
#include <absl/types/span.h>
#include <chrono>
#include <compare>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// Flow logic of the agent beside one upstream, free of sockets and clocks: it
/// takes packets and times and returns effects to carry out.
namespace jasminearch::flow {

/// A flow counts as active if it had a packet within this time.
inline constexpr std::chrono::milliseconds ActiveFlowWindow{12'000};

/// A flow without packets is removed after this time: the longest lifetime of a
/// flow plus a margin.
inline constexpr std::chrono::milliseconds AgentFlowExpiry{75'000};

/// Number of the first announcement after an upstream's start.
inline constexpr std::uint64_t FirstAnnouncementNumber = 1;

/// An unanswered request no longer counts as in flight after this time, which
/// is about what the full queue of an upstream at a fifth of its usual speed
/// takes. Callers that give up leave such requests behind; without this limit,
/// six of them would block all openings to an upstream with two slots.
inline constexpr std::chrono::milliseconds RequestExpiry{1000};

/// After packets have been unanswered for this long, the agent checks whether
/// any process listens at the upstream's address. Longer than a request usually
/// takes.
inline constexpr std::chrono::milliseconds ListenCheckDelay{300};

/// An agent that has just started counts its upstream as running if no listen
/// check has had a result within this time.
inline constexpr std::chrono::milliseconds FirstListenCheckTimeout{500};

/// An agent that has found no upstream since its start reports so after this
/// time. After a loss of power most upstreams start a little later than their
/// agents.
inline constexpr std::chrono::milliseconds MissingUpstreamDelay{1000};

/// An upstream that starts after its agent has reported it as missing gets no
/// openings for this time: entry hosts must have received the agent's new
/// listing after the departure, or they would reset its flows.
inline constexpr std::chrono::milliseconds RelistingDelay{500};

/// Minimum time between two listen checks.
inline constexpr std::chrono::milliseconds ListenCheckInterval{200};

/// A flow that was opened within this time before the first announcement of a
/// new upstream process may belong to that process, which accepts flows before
/// it announces itself. Longer than the delay of a first announcement.
inline constexpr std::chrono::milliseconds UnannouncedFlowWindow{3000};

/// A start takes the place of the current one if it goes on announcing itself
/// for this long while the current one doesn't. Longer than it takes to read
/// announcements that waited while the agent was paused, and shorter than the
/// time between two announcements.
inline constexpr std::chrono::milliseconds ContestSettleTime{500};

/// An upstream that starts less than this time before its agent can have
/// started together with it, as after a loss of power. A run that is stopped in
/// order delivers no openings for as long before it ends, so that an upstream
/// that got flows from it is further from the start of the next run.
inline constexpr std::chrono::milliseconds MaxStartDistance{300};

/// Control hosts hear of a run until at most this long before its end, as long
/// as it is linked to one: after this time a silent link is replaced.
inline constexpr std::chrono::milliseconds MaxRunSilence{1700};

/// Number of earlier starts that an agent remembers.
inline constexpr std::size_t MaxEarlierStarts = 8;

/// Maximum number of entry hosts that an agent can distinguish by tag.
inline constexpr std::size_t MaxEntryTags = 0xFFFF;

/// An upstream gets new flows without delay while it has fewer requests in
/// flight per slot than this. Requests beyond its slots wait in the upstream's
/// own short queue; when that is full, the upstream sheds them.
inline constexpr double MaxInFlightPerSlot = 2;

/// Maximum age of an opening that is delivered. The caller gives up after 1.4 s
/// and needs a round trip to answer. An opening that would have to wait longer
/// is declined at once, so that the entry host can try another upstream.
inline constexpr std::chrono::milliseconds MaxOpeningAge{1300};

/// Response time assumed until the first response has been seen.
inline constexpr std::chrono::milliseconds InitialResponseTime{50};

/// A newly opened flow counts as in flight for this long while its first
/// request is expected: one round trip to the caller, which sends the request
/// immediately.
inline constexpr std::chrono::milliseconds FirstRequestWindow{60};

/// Weight of the newest sample in the moving average ResponseTime.
inline constexpr double ResponseTimeGain = 0.1;

/// An upstream's announcement of its own state.
struct AnnouncedUpstream {
  std::string Name;
  std::string Service;
  UpstreamState State = UpstreamState::Unknown;
  std::uint32_t Slots = 1;
  /// Remaining time of its cold start.
  std::chrono::milliseconds ColdRemaining{0};
  /// Sequence number of the announcement since the upstream's start.
  std::uint64_t Number = 0;
  /// Start time of the upstream's process by its wall clock; identifies the
  /// start.
  std::int64_t StartedAtMs = 0;

  auto operator<=>(const AnnouncedUpstream &) const = default;
};

/// Identifies one start of an upstream's process. Starts have no order: the
/// time of a start comes from a clock that may have been set back since the
/// earlier one.
struct UpstreamStart {
  std::string Name;
  std::int64_t StartedAtMs = 0;

  auto operator<=>(const UpstreamStart &) const = default;
};

/// Announcements that contradict the current upstream's: they are left over
/// from an earlier start, or the current one has ended without a sign. Only the
/// process that runs goes on announcing itself, so its next announcement
/// decides.
struct ContestedAnnouncements {
  UpstreamStart Start;
  /// Highest number among them.
  std::uint64_t Number = 0;
  /// When the first of them arrived.
  TimePoint Since{};
};

/// Whether an announcement or withdrawal is in force, or why it was ignored.
enum class AnnouncementResult : std::uint8_t {
  Accepted,
  Outdated,
  /// The announcement names a service that this agent doesn't know, so that its
  /// writer isn't the upstream.
  UnknownService,
};

struct AgentOptions {
  /// Identifies this run of the agent.
  std::uint64_t RunId = 0;
  /// The upstream gets no new flows once it has been silent for this long. Must
  /// be shorter than the time after which its address may be reused by another
  /// service.
  std::chrono::milliseconds Lease{1800};
  /// The upstream accepts TCP connections at its address for as long as its
  /// process runs, so a refused connection proves that it holds no flows.
  /// Without this, an upstream that ends without a withdrawal is never known to
  /// be gone.
  bool ListensWhileRunning = false;
  PacketCodec Codec;
  /// Where the agent's host stands; empty if unknown.
  std::string DataCentre = {};
  std::string Region = {};
  /// Bounds on the new flows of a cold upstream.
  ColdBounds Cold = {};
  /// Service of the upstream according to the host's settings; empty if
  /// unknown.
  std::string Service = {};
  /// Start time of this run by the same wall clock as the upstream's; zero if
  /// unknown.
  std::int64_t StartedAtMs = 0;
};

/// What the agent knows about one flow.
struct AgentFlow {
  TimePoint LastSeen{};
  /// When the opening packet was last delivered.
  TimePoint OpenedAt{};
  /// When the currently unanswered request was first delivered.
  std::optional<TimePoint> RequestDeliveredAt;
  /// Highest sequence number of data from the caller. Data at or below it is a
  /// retransmission, which may even arrive after the response.
  std::optional<std::uint32_t> NewestSequence;
  /// The unanswered request counts in AgentFlows::InFlight.
  bool InFlight = false;
  /// Entry host that sent the flow's last packet.
  Endpoint Entry;
  /// The upstream has sent a packet on this flow.
  bool Confirmed = false;
  bool Ended = false;
  /// The flow counts in RecentOpenings.
  bool FirstRequestPending = false;
  /// TunnelHeader::Upload of the flow's opening.
  bool Upload = false;
  /// Sequence number after the newest packet of the upstream; empty before the
  /// first one.
  std::optional<std::uint32_t> UpstreamNextSequence;
};

/// An opening packet that waits until the upstream has capacity.
struct WaitingOpening {
  FlowKey Flow;
  Endpoint Entry;
  Bytes Raw;
  /// When the caller sent the first copy of this packet.
  TimePoint SentAt{};
  /// Latest time for a response within the route's latency objective.
  TimePoint ResponseDeadline{};
  /// 0 is the most urgent.
  std::uint8_t Priority = 0;
  /// serviceTag() of the service for which the entry host placed the flow.
  std::uint32_t ServiceTag = 0;
  /// TunnelHeader::Upload.
  bool Upload = false;
};

struct AgentCounters {
  std::uint64_t Delivered = 0;
  std::uint64_t ToCallers = 0;
  std::uint64_t OpeningsDelivered = 0;
  std::uint64_t OpeningsDeclined = 0;
  /// Those of OpeningsDeclined that arrived or waited during an evacuation.
  std::uint64_t DeclinedEvacuated = 0;
  /// Those of OpeningsDeclined whose route doesn't allow the agent's region.
  std::uint64_t DeclinedOtherRegion = 0;
  /// Openings of uploads that arrived.
  std::uint64_t UploadsOffered = 0;
  std::uint64_t OpeningsWaited = 0;
  std::uint64_t OpeningsExpired = 0;
  /// Openings that waited or were declined while the cold limit was reached.
  std::uint64_t OpeningsOverColdLimit = 0;
  std::uint64_t ReturnedByUpstream = 0;
  std::uint64_t NotHeld = 0;
  std::uint64_t Malformed = 0;
  std::uint64_t Announcements = 0;
  std::uint64_t AnnouncementsOutdated = 0;
  /// Announcements of a service that the agent doesn't know.
  std::uint64_t AnnouncementsOfUnknownServices = 0;
  /// Datagrams that a socket refused to send.
  std::uint64_t SendsRefused = 0;
};

/// What a control host knows of the runs before this one.
struct EarlierRunsReport {
  /// When one of them was last heard of; empty if none was since the control
  /// host started.
  std::optional<TimePoint> HeardAt;
};

struct AgentFlows {
  AgentOptions Options;
  TimePoint StartedAt{};
  std::optional<AnnouncedUpstream> Upstream;
  TimePoint AnnouncedAt{};
  std::optional<ContestedAnnouncements> Contested;
  /// Starts that were current, the latest last.
  std::deque<UpstreamStart> EarlierStarts;
  /// This run of the agent heard the first announcement of the upstream's
  /// current start.
  bool HeardFirstAnnouncement = false;
  /// A check of this run found no process listening at the upstream's address,
  /// so every process there since has started during this run.
  bool FoundNoneListening = false;
  /// What a control host has said of earlier runs; empty before that.
  std::optional<EarlierRunsReport> EarlierRuns;
  /// This run and the first upstream that it heard of started together, and no
  /// earlier run was there. All later starts happened during this run.
  bool StartedTogether = false;
  /// The upstream has withdrawn its announcement.
  bool Withdrawn = false;
  /// The last check found no process listening at the upstream's address.
  bool NotListening = false;
  /// A listen check is running, and the upstream has shown no sign of life
  /// since it began.
  bool ListenCheckPending = false;
  /// A check found that a process listens at the upstream's address.
  bool FoundListening = false;
  /// upstreamMissing() has been true.
  bool ReportedMissing = false;
  TimePoint ListenCheckDue{};
  /// The agent is about to stop and accepts no new flows.
  bool Stopping = false;
  /// The agent's data centre is evacuated: no new flows go to its upstream.
  bool Evacuated = false;
  /// Limits for upstreams in their cold start, by service.
  std::vector<ColdLimit> ColdLimits;
  /// The limits have arrived in this run of the agent.
  bool ColdLimitsKnown = false;
  /// Services of the routes in force; empty before they have arrived in this
  /// run of the agent.
  std::vector<std::string> RoutedServices;
  /// Openings of new flows that the upstream got.
  ColdWindow Delivered;
  /// When the first announcement of the current start arrived.
  TimePoint CurrentStartAt{};
  /// Last announcement or other sign of life, as of the earliest time at which
  /// it can have been sent.
  TimePoint UpstreamHeardAt{};
  /// Age of the input that is handled.
  InputAge Input;
  /// Flows are added by addFlow() only.
  absl::flat_hash_map<FlowKey, AgentFlow> Flows;
  /// The flows in Flows, and some that it had before.
  FlowLog Log;
  /// Entry hosts; the index is the low half of the tag in packets to the
  /// upstream.
  std::vector<Endpoint> Entries;
  absl::flat_hash_map<Endpoint, std::uint16_t> EntryTags;
  std::uint64_t ReportNumber = 0;
  TimePoint CleanUpDue{};
  /// When the first packet was delivered since the upstream last sent anything.
  std::optional<TimePoint> UnansweredSince;
  /// Waiting openings in no particular order; nextToDeliver() selects the next
  /// one.
  std::vector<WaitingOpening> Waiting;
  /// Number of flows in Flows with a request in flight, and the opening times
  /// of recent flows whose first request is still expected.
  std::uint32_t InFlight = 0;
  std::deque<TimePoint> RecentOpenings;
  std::chrono::duration<double, std::micro> ResponseTime{0};
  Histogram ResponseTimes;
  /// What is known about the speed of the upstream.
  ServiceTimes Service;
  AgentCounters Counters;
};

// Effects that the caller of these functions carries out.
struct SendToEntry {
  Endpoint To;
  Bytes Datagram;
};
struct SendToUpstream {
  Bytes Raw;
};
struct SendToCaller {
  Endpoint Caller;
  Bytes Raw;
};
/// Request to check whether any process listens at the upstream's address; the
/// result goes to onListenCheckDone().
struct StartListenCheck {};
/// A decision to be logged.
struct AgentDecision {
  std::string_view Event;
  FlowKey Flow;
  std::string_view Reason;
  /// Announcement on which the decision was based, and its age.
  std::uint64_t AnnouncementNumber = 0;
  std::chrono::milliseconds AnnouncementAge{0};
};

using AgentEffect = std::variant<SendToEntry, SendToUpstream, SendToCaller,
                                 StartListenCheck, AgentDecision>;
using AgentEffects = std::vector<AgentEffect>;

/// Stores an upstream's announcement. One that names neither the service in the
/// settings nor one of the routes changes nothing: the writer isn't the
/// upstream. Within one start, the number decides which announcement is newer.
/// An announcement of another start is accepted at once if it can only come
/// from a successor, and otherwise once ContestSettleTime has shown that its
/// process runs. \returns Accepted if the announcement is in force.
AnnouncementResult announce(AgentFlows &A, const AnnouncedUpstream &Value,
                            TimePoint Now);

/// Handles the upstream's own statement that it is gone. \returns Outdated if
/// the current upstream isn't \p Name.
AnnouncementResult withdraw(AgentFlows &A, const std::string &Name);

/// \returns the entry of \p Flow in Flows, which is added if it is missing.
AgentFlow &addFlow(AgentFlows &A, const FlowKey &Flow);

/// Stops accepting new flows.
void stopAcceptingNewFlows(AgentFlows &A);

/// Sets whether the agent's data centre is evacuated.
void setEvacuated(AgentFlows &A, bool Evacuated);

/// Replaces the limits for upstreams in their cold start.
void setColdLimits(AgentFlows &A, std::vector<ColdLimit> Limits);

/// Replaces the services of the routes in force.
void setRoutedServices(AgentFlows &A, std::vector<std::string> Services);

/// Handles a control host's report on earlier runs of this agent: the time
/// since one was last heard of, if any was. Only the first report counts.
void reportEarlierRuns(AgentFlows &A,
                       std::optional<std::chrono::milliseconds> HeardAge,
                       TimePoint Now);

/// \returns whether this run knows every flow that its upstream holds, so that
/// it may deny all others. An upstream takes flows before its first
/// announcement, and an earlier run may have delivered them. So this run must
/// have heard that announcement, and there must be evidence that no earlier run
/// was there since the upstream's start: a check found that nothing listened at
/// the upstream's address, or the two started together and no control host had
/// heard of an earlier run shortly before.
bool knowsAllFlows(const AgentFlows &A);

/// \returns whether an upstream at this agent's address may be of \p Service:
/// the settings or the routes in force name it. Before the routes have arrived
/// any service may be, but only if the settings name none.
bool knowsService(const AgentFlows &A, const std::string &Service);

/// \returns whether the upstream accepts new flows of the service with this
/// tag.
bool acceptsNewFlows(const AgentFlows &A, std::uint32_t ServiceTag,
                     TimePoint Now);

/// Handles a datagram from an entry host.
void onTunnel(AgentFlows &A, const Endpoint &From,
              absl::Span<const std::uint8_t> Datagram, TimePoint Now,
              AgentEffects &Out);

/// Handles a packet from the upstream.
void onUpstreamPacket(AgentFlows &A, absl::Span<const std::uint8_t> Raw,
                      TimePoint Now, AgentEffects &Out);

/// Handles the result of a listen check. \p Refused means that no process
/// listens, so that the upstream holds no flows. The result is ignored if the
/// upstream has shown a sign of life since the check began. \returns whether
/// the upstream counts as gone as a result.
bool onListenCheckDone(AgentFlows &A, bool Refused);

/// Runs timers; must be called at least every 50 ms.
void tick(AgentFlows &A, TimePoint Now, AgentEffects &Out);

/// \returns whether the upstream is known to hold no flows: no process listens
/// at its address, or it has withdrawn. Silence is no evidence: an upstream
/// that is slow, or whose announcements are late, still holds its flows.
bool upstreamGone(const AgentFlows &A);

/// \returns whether this agent has found no upstream since its start. Control
/// hosts that know the agent from before must be told, so that no entry host
/// waits for its answers once it has stopped.
bool upstreamMissing(const AgentFlows &A, TimePoint Now);

/// \returns whether control hosts must list this agent, so that entry hosts ask
/// it for flows: not while its upstream is known to hold none, nor before the
/// first listen check of this run has a result.
bool mustBeListed(const AgentFlows &A, TimePoint Now);

/// \returns whether the upstream can take another flow immediately.
bool hasCapacity(const AgentFlows &A, TimePoint Now);

/// \returns the index in Waiting of the opening to deliver next. Openings that
/// can still be answered within the latency objective come first, newest first:
/// under overload this keeps some callers on time, where any other order makes
/// all of them late. Openings that are already late follow, oldest first.
/// Within both groups a more urgent priority goes first. Complexity: linear.
std::size_t nextToDeliver(const AgentFlows &A, TimePoint Now);

/// \returns the index in Waiting of the opening to decline when too many wait:
/// among the late ones (all, if none is late) of the least urgent priority the
/// newest, whose caller has the most time left to try elsewhere.
std::size_t nextToDecline(const AgentFlows &A, TimePoint Now);

/// \returns the expected wait of another opening. By Little's law, the upstream
/// finishes as many requests in one response time as it has in flight.
std::chrono::milliseconds expectedWait(const AgentFlows &A);

/// \returns the work that remains for requests in flight, waiting openings and
/// the first requests of recent openings, as the sum over all slots; zero
/// before there is an estimate. Complexity: linear in their number.
std::chrono::microseconds remainingWork(const AgentFlows &A, TimePoint Now);

/// \returns the load report as of \p Now.
LoadReport buildReport(const AgentFlows &A, TimePoint Now);

} // namespace jasminearch::flow

#endif // JASMINEARCH_FLOW_AGENT_FLOWS_H
