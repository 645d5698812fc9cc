#ifndef JASMINEARCH_FLOW_AGENT_FLOWS_H
#define JASMINEARCH_FLOW_AGENT_FLOWS_H

#include "jasminearch/flow/histogram.h"
#include "jasminearch/flow/load_report.h"
#include "jasminearch/flow/packet.h"
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

/// Decisions of the agent beside one upstream about packet flows, without
/// sockets or clock.
namespace jasminearch::flow {

/// Time between load reports to an entry host that asked for them.
inline constexpr std::chrono::milliseconds ReportInterval{200};

/// Time for which one Subscribe asks for reports: two are lost at most before
/// the reports stop.
inline constexpr std::chrono::milliseconds SubscriptionTime{1300};

/// Flows with a packet within this time count as active.
inline constexpr std::chrono::milliseconds FlowActiveWindow{12'000};

/// Time after which a flow without packets is forgotten: the longest life of a
/// flow and a margin.
inline constexpr std::chrono::milliseconds AgentFlowForgotten{75'000};

/// Number of the first announcement of an upstream's start.
inline constexpr std::uint64_t FirstAnnouncement = 1;

/// An upstream that has given no sign of life for this long, and has left
/// packets unanswered for UnansweredGone, has crashed: its flows are lost.
inline constexpr std::chrono::milliseconds UpstreamGone{3000};
inline constexpr std::chrono::milliseconds UnansweredGone{1000};

/// Time after which a request without an answer no longer counts as in flight.
/// A full queue of an upstream that is five times slower than usual takes about
/// as long. Callers that gave up leave such requests behind, and six of them
/// would keep all openings from an upstream with two slots.
inline constexpr std::chrono::milliseconds RequestForgotten{1000};

/// An upstream that has left packets unanswered for this long is checked: does
/// any process listen where it should be? Longer than a request usually takes.
inline constexpr std::chrono::milliseconds UnansweredChecked{300};

/// Time between two checks.
inline constexpr std::chrono::milliseconds ListenCheckInterval{200};

/// An agent that has run for this long without hearing an upstream has none.
/// Upstreams announce themselves every 1.2 s.
inline constexpr std::chrono::milliseconds UpstreamAbsent{2000};

/// Entry hosts that an agent tells apart at most.
inline constexpr std::size_t MaxEntryTags = 0xFFFF;

/// Requests in flight per slot up to which an upstream gets new flows at once.
/// Beyond the slots requests wait in the upstream's own short queue, and beyond
/// that it sheds them.
inline constexpr double InFlightPerSlot = 2;

/// Age up to which an opening is delivered. The caller gives it up after 1.4 s
/// and needs a round trip to answer. One that would have to wait longer is
/// declined at once, so that the entry host can try another upstream.
inline constexpr std::chrono::milliseconds OpeningPatience{1300};

/// Response time that is assumed before the first response.
inline constexpr std::chrono::milliseconds ResponseTimeGuess{50};

/// Time for which a flow that has opened counts as in flight before its first
/// request is seen: a round trip to the caller, who sends it at once.
inline constexpr std::chrono::milliseconds FirstRequestWait{60};

/// Weight of the newest response in ResponseTime.
inline constexpr double ResponseTimeGain = 0.1;

/// What an upstream announces about itself.
struct AnnouncedUpstream {
  std::string Name;
  std::string Service;
  UpstreamState State = UpstreamState::Unknown;
  std::uint32_t Slots = 1;
  /// Time for which it is still slow.
  std::chrono::milliseconds ColdRemaining{0};
  /// Increases with each announcement of one start.
  std::uint64_t Number = 0;
  /// Start of the upstream's process by its wall clock; names the start.
  std::int64_t StartedAtMs = 0;

  auto operator<=>(const AnnouncedUpstream &) const = default;
};

/// What became of an announcement.
enum class AnnouncementResult : std::uint8_t { Taken, Outdated };

struct AgentOptions {
  std::string DataCentre;
  /// Differs between runs of the agent.
  std::uint64_t RunId = 0;
  /// Time after the last sign of life for which the upstream may get new flows.
  /// Shorter than the time after which its address may belong to another
  /// service.
  std::chrono::milliseconds Lease{1800};
  /// The upstream accepts TCP connections at its address for as long as its
  /// process runs, so that a refused one shows that it holds nothing.
  bool ListensWhileRunning = false;
  PacketCodec Codec;
};

/// A flow that this agent has seen.
struct AgentFlow {
  TimePoint LastSeen{};
  /// When the request without an answer was first delivered.
  std::optional<TimePoint> RequestAt;
  /// Sequence of the newest data from the caller. Data that isn't newer is a
  /// copy: it may arrive after the response.
  std::optional<std::uint32_t> NewestData;
  /// That request counts in InFlight.
  bool InFlight = false;
  /// Entry host that sent its last packet.
  Endpoint Entry;
  /// The upstream has answered on it.
  bool Confirmed = false;
  bool Ended = false;
  /// Counts in RecentOpenings.
  bool FirstRequestDue = false;
};

/// An opening packet that waits for the upstream.
struct WaitingOpening {
  FlowKey Flow;
  Endpoint Entry;
  Bytes Raw;
  /// When the caller sent its first copy.
  TimePoint SentAt{};
  /// Until when a response is within the route's latency objective.
  TimePoint OnTimeUntil{};
  /// 0 is the most urgent.
  std::uint8_t Priority = 0;
};

struct AgentCounters {
  std::uint64_t Delivered = 0;
  std::uint64_t ToCallers = 0;
  std::uint64_t OpeningsDelivered = 0;
  std::uint64_t OpeningsDeclined = 0;
  std::uint64_t OpeningsWaited = 0;
  std::uint64_t OpeningsExpired = 0;
  std::uint64_t ReturnedByUpstream = 0;
  std::uint64_t NotHeld = 0;
  std::uint64_t Malformed = 0;
  std::uint64_t Announcements = 0;
  std::uint64_t AnnouncementsOutdated = 0;
};

struct AgentFlows {
  AgentOptions Options;
  TimePoint StartedAt{};
  std::optional<AnnouncedUpstream> Upstream;
  TimePoint AnnouncedAt{};
  /// This run of the agent heard the upstream's first announcement, so that no
  /// opening was delivered without it.
  bool SawStart = false;
  /// The upstream has said that it is gone.
  bool Withdrawn = false;
  /// No process listens where the upstream should be.
  bool NotListening = false;
  /// A CheckListening is under way, and nothing has been heard of the upstream
  /// since.
  bool ListenCheckOpen = false;
  TimePoint ListenCheckDue{};
  /// The agent is about to stop and takes no new flows.
  bool Stopping = false;
  /// Last announcement or other sign of life.
  TimePoint UpstreamHeardAt{};
  absl::flat_hash_map<FlowKey, AgentFlow> Flows;
  /// Entry hosts by tag.
  std::vector<Endpoint> Entries;
  absl::flat_hash_map<Endpoint, std::uint16_t> EntryTags;
  /// Until when each entry host wants reports.
  absl::flat_hash_map<Endpoint, TimePoint> Subscribers;
  std::uint64_t ReportNumber = 0;
  TimePoint ReportDue{};
  TimePoint CleanUpDue{};
  /// Delivery of the first packet since the upstream last sent something.
  std::optional<TimePoint> UnansweredSince;
  /// Opening packets in no order; nextWaiting() tells which one is next.
  std::vector<WaitingOpening> Waiting;
  /// Flows with a request in flight, and recent openings whose first request is
  /// expected; kept with Flows.
  std::uint32_t InFlight = 0;
  std::deque<TimePoint> RecentOpenings;
  std::chrono::duration<double, std::micro> ResponseTime{0};
  Histogram ResponseTimes;
  AgentCounters Counters;
};

// Effects.
struct ToEntry {
  Endpoint To;
  Bytes Datagram;
};
struct ToUpstream {
  Bytes Raw;
};
struct ToCaller {
  Endpoint Caller;
  Bytes Raw;
};
/// Asks whether any process listens where the upstream should be;
/// onListenChecked() takes the answer.
struct CheckListening {};
/// A decision that a log line tells.
struct AgentDecision {
  std::string_view Event;
  FlowKey Flow;
  std::string_view Reason;
  /// Inputs: the announcement that decided, and its age.
  std::uint64_t AnnouncementNumber = 0;
  std::chrono::milliseconds AnnouncementAge{0};
};

using AgentEffect =
    std::variant<ToEntry, ToUpstream, ToCaller, CheckListening, AgentDecision>;
using AgentEffects = std::vector<AgentEffect>;

/// Takes what the upstream says of itself, unless something newer is known.
AnnouncementResult announce(AgentFlows &A, const AnnouncedUpstream &Value,
                            TimePoint Now);

/// The upstream \p Name says that it is gone.
AnnouncementResult withdraw(AgentFlows &A, const std::string &Name);

/// Takes no new flows from now on.
void stopAcceptingNewFlows(AgentFlows &A);

/// \returns whether the upstream takes new flows of the service with the tag.
bool takesNewFlows(const AgentFlows &A, std::uint32_t ServiceTag,
                   TimePoint Now);

/// Handles a datagram from an entry host.
void onTunnel(AgentFlows &A, const Endpoint &From,
              absl::Span<const std::uint8_t> Datagram, TimePoint Now,
              AgentEffects &Out);

/// Handles a packet from the upstream.
void onUpstreamPacket(AgentFlows &A, absl::Span<const std::uint8_t> Raw,
                      TimePoint Now, AgentEffects &Out);

/// Takes the answer to CheckListening. \p Refused means that no process listens
/// there, so that no flow is held; what the upstream sends later outweighs it.
/// \returns whether the upstream counts as gone since this answer.
bool onListenChecked(AgentFlows &A, bool Refused);

/// Runs timers; call it at least every 50 ms.
void tick(AgentFlows &A, TimePoint Now, AgentEffects &Out);

/// \returns whether the upstream is known to hold no flow: there is none, its
/// process doesn't run, it has said that it is gone, or it has neither
/// announced itself nor answered for long.
bool upstreamGone(const AgentFlows &A, TimePoint Now);

/// \returns whether the upstream has room for another flow right away.
bool hasRoom(const AgentFlows &A, TimePoint Now);

/// \returns the index in Waiting of the opening to deliver next. Those whose
/// response can still be within the latency objective come first, the newest of
/// them before older ones: under overload that keeps a part of the callers on
/// time where any other order makes all of them late. Then come late ones,
/// oldest first. Within each group priority goes first. Complexity: linear.
std::size_t nextWaiting(const AgentFlows &A, TimePoint Now);

/// \returns the index in Waiting of the opening to give up when too many wait:
/// the late one of the least priority that the caller gives up last, so that it
/// has time to try elsewhere.
std::size_t lastWaiting(const AgentFlows &A, TimePoint Now);

/// \returns how long another opening would wait: by Little's law the upstream
/// takes as many requests in one response time as it has in flight.
std::chrono::milliseconds expectedWait(const AgentFlows &A);

/// \returns the report as of \p Now.
LoadReport report(const AgentFlows &A, TimePoint Now);

} // namespace jasminearch::flow

#endif // JASMINEARCH_FLOW_AGENT_FLOWS_H
