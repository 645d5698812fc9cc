#ifndef JASMINEARCH_FLOW_LINK_BUDGET_H
#define JASMINEARCH_FLOW_LINK_BUDGET_H

#include "jasminearch/flow/packet.h"
#include "jasminearch/types.h"
#include <absl/container/flat_hash_map.h>
#include <absl/container/inlined_vector.h>
#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

/// Admission control of uploads at an entry host.
///
/// Answers this load: hosts with narrow and wide links get equal shares of the
/// flows, and uploads alone ask for about the width of a narrow link. Each
/// sender keeps a window of packets in flight and sends copies after 200 ms.
/// Without a limit, the windows of all open uploads queue for longer than that,
/// the copies fill the link, and no flow makes progress (congestion collapse).
/// The host therefore bounds the number of uploads that send at the same time,
/// lets further openings wait while they can still be on time, and resets the
/// others, so that the caller's next try may reach a wider host.
///
/// The limit follows AIMD (Chiu and Jain, "Analysis of the increase and
/// decrease algorithms", 1989), with the delay bounds of TCP Vegas (Brakmo and
/// Peterson, 1995) as its signal: the round trip of a sender's window, as this
/// host sees it, and the share of packets that it sees twice.
namespace jasminearch::flow {

/// Number of packets that a sender keeps in flight.
inline constexpr unsigned SenderWindowPackets = 16;

/// Bytes that a full packet takes on the link: 1,200 bytes of data and its
/// headers on arrival, the same with a tunnel header when it leaves.
inline constexpr double FullPacketLinkBytes = 2 * (1200 + 34 + 28) + 12;

/// Time after which a sender repeats a packet.
inline constexpr std::chrono::milliseconds SenderRetransmitTime{200};

/// Window round trips below TargetRoundTrip let the limit rise, those above
/// MaxRoundTrip let it fall. Both stay below SenderRetransmitTime.
inline constexpr std::chrono::milliseconds TargetRoundTrip{120};
inline constexpr std::chrono::milliseconds MaxRoundTrip{160};

/// Share of repeated packets above which the limit falls.
inline constexpr double MaxCopyShare = 0.03;

/// Step of the limit after a fast round trip, and its factor after congestion.
inline constexpr double LimitIncrease = 0.1;
inline constexpr double LimitDecrease = 0.75;

/// Minimum time between two decreases. An upload that was admitted under the
/// old limit takes about this long to finish.
inline constexpr std::chrono::milliseconds DecreaseInterval{400};

/// Round trips and copies lower the limit only if datagrams wait or the link
/// carried MinUseForDecrease of its width in the last complete interval: a
/// caller with a slow uplink has long round trips on an idle link, too.
inline constexpr std::chrono::milliseconds UseForLimitInterval{250};

inline constexpr double MinUploadLimit = 1;

/// Upper bound of the limit relative to its initial value. An upload sends
/// during only a part of the time for which it is open.
inline constexpr double MaxLimitGrowth = 4;

/// The link may have less bandwidth than its setting; then packets queue in the
/// network, ahead of this host and behind it. As in CoDel (Nichols and
/// Jacobson, "Controlling queue delay", 2012), the minimum delay within
/// StandingInterval, here of the answers to probes, tells a standing queue from
/// a burst. RateFactor falls by RateDecrease above MaxStandingDelay and rises
/// by RateIncrease below MinStandingDelay. Busy agents delay answers as well,
/// so it never falls below what the link carried meanwhile, and doesn't fall if
/// that was less than MinUseForDecrease of the width.
inline constexpr std::chrono::milliseconds StandingInterval{250};
inline constexpr std::chrono::milliseconds MaxStandingDelay{30};
inline constexpr std::chrono::milliseconds MinStandingDelay{10};
inline constexpr double RateDecrease = 0.8;
inline constexpr double RateIncrease = 0.002;
inline constexpr double MinRateFactor = 0.25;
inline constexpr double MinUseForDecrease = 0.3;

/// Rise of the base delay in each StandingInterval, so that it follows when the
/// distance to the agents grows.
inline constexpr std::chrono::microseconds BaseDelayDrift{100};

/// An upload without packets for this long no longer counts. Longer than the
/// longest interval between two copies (1.6 s).
inline constexpr std::chrono::milliseconds UploadSilence{2000};

/// Time after which a caller gives up an opening that wasn't answered, less the
/// time that an admitted opening needs to reach its upstream.
inline constexpr std::chrono::milliseconds OpeningGiveUpTime{1400};
inline constexpr std::chrono::milliseconds OpeningGiveUpMargin{200};

/// Number of times that a caller tries a request. A try waits for a share for
/// at most this part of the time that the objective leaves: this host doesn't
/// know which try it sees, and another host may have a share.
inline constexpr int TriesPerRequest = 3;

/// Expected time from the admission of an upload to its last packet until one
/// has been measured.
inline constexpr std::chrono::milliseconds InitialUploadTime{250};

/// No upload starts while datagrams that already wait in the queue to the
/// agents take longer than this to leave.
inline constexpr std::chrono::milliseconds MaxBacklog{20};

/// An admitted upload that hasn't sent data after SlowOpeningTime waits at its
/// agent or upstream. Until its data comes, it counts only as SlowOpeningLoad,
/// so that a busy service doesn't leave the link idle.
inline constexpr std::chrono::milliseconds SlowOpeningTime{150};
inline constexpr double SlowOpeningLoad = 0.25;

/// Number of slow openings beside which an upload starts for any limit while no
/// other one sends. The lowest limit has no room for even one.
inline constexpr std::size_t MaxIdleSlowOpenings = 2;

/// Bounds of the state, for any load.
inline constexpr std::size_t MaxWaitingUploads = 256;
inline constexpr std::size_t MaxTrackedUploads = 8192;

/// An upload that was admitted or that was open before this host saw it.
struct OpenUpload {
  TimePoint AdmittedAt{};
  TimePoint LastSeen{};
  /// The upload takes a share. Cleared at its end; the entry is kept until the
  /// flow is silent, because late copies must not take a share again.
  bool Counts = false;
  /// The caller's last packet has passed.
  bool Finished = false;
  /// Newest data packet; empty before the first one.
  std::optional<std::uint32_t> NewestSequence;
  /// The newest SenderWindowPackets sequences that passed, in any order.
  absl::InlinedVector<std::uint32_t, SenderWindowPackets> RecentSequences;
  std::size_t LargestData = 0;
  /// New packets so far, and how many the body is expected to have.
  unsigned Packets = 0;
  unsigned ExpectedPackets = 0;
  /// Part of a window that the upload can still have in flight.
  double Load = 1;
  /// It counts and has sent nothing for SlowOpeningTime.
  bool Slow = false;
  /// Start of the window that is measured, and the new packets since.
  TimePoint RoundStartedAt{};
  unsigned RoundPackets = 0;
};

/// An opening that waits for a share.
struct WaitingUpload {
  Bytes Raw;
  TimePoint ArrivedAt{};
  /// Latest admission that still meets the objective.
  TimePoint LatestStart{};
};

/// What admission control needs to know of an opening.
struct UploadOpening {
  FlowKey Flow;
  /// When the packet arrived, and the age of the opening at that time.
  TimePoint ArrivedAt{};
  std::chrono::milliseconds Age{0};
  /// Latency objective and timeout of the route.
  std::chrono::milliseconds Objective{0};
  std::chrono::milliseconds Timeout{0};
};

/// Why an upload was refused. The numbers are those of the counters.
enum class UploadRefusal : std::uint8_t {
  /// The uploads that are open and those that wait leave it no share in time.
  NoShareInTime = 0,
  /// It waited for a share and can no longer be on time.
  WaitedTooLong = 1,
  /// Too many openings wait.
  QueueFull = 2,
};
inline constexpr std::size_t UploadRefusalCount = 3;

/// \returns a text for logs.
const char *describe(UploadRefusal Reason);

enum class Admission : std::uint8_t { Admitted, Waits, Refused };

struct AdmissionResult {
  Admission Outcome = Admission::Admitted;
  /// Only if refused.
  UploadRefusal Reason = UploadRefusal::NoShareInTime;
  /// Expected time until the opening would get a share.
  std::chrono::milliseconds ExpectedWait{0};

  auto operator<=>(const AdmissionResult &) const = default;
};

/// Use of the link, in both directions.
struct RecentLinkUse {
  /// Start of the current interval, and the bytes that the link had carried.
  TimePoint Since{};
  std::uint64_t BytesAtStart = 0;
  /// Part of LinkRate that the link carried in the last complete interval.
  double Share = 0;
};

/// The adaptive limit and its evidence.
struct UploadLimit {
  double Initial = MinUploadLimit;
  double Value = MinUploadLimit;
  /// An opening found no share since the last increase.
  bool Wanted = false;
  TimePoint DecreasedAt{};
  /// Packets since the last evaluation, and how many of them were copies.
  std::uint32_t Packets = 0;
  std::uint32_t Copies = 0;
  /// Latest and average window round trip.
  std::chrono::microseconds LastRoundTrip{0};
  std::chrono::microseconds RoundTrip{0};
};

/// Evidence on the width of the link: times from probes to their answers.
struct ProbeDelays {
  /// Start of the current interval and its minimum; empty without an answer.
  TimePoint IntervalStart{};
  std::uint64_t BytesAtStart = 0;
  std::optional<std::chrono::microseconds> Minimum;
  /// Least delay seen, without a queue.
  std::optional<std::chrono::microseconds> Base;
  /// Minimum of the last interval, less Base.
  std::chrono::microseconds Standing{0};
};

struct UploadCounters {
  std::uint64_t Admitted = 0;
  std::uint64_t AdmittedAfterWait = 0;
  std::uint64_t Refused[UploadRefusalCount] = {};
  std::uint64_t Finished = 0;
  std::uint64_t Reset = 0;
  std::uint64_t Silent = 0;
  std::uint64_t DataPackets = 0;
  std::uint64_t DataCopies = 0;
  std::uint64_t LimitIncreases = 0;
  std::uint64_t LimitDecreases = 0;
  std::uint64_t RateDecreases = 0;
};

/// State of the admission control.
struct UploadBudget {
  /// Width of the link in bits per second; zero if unknown.
  double LinkRate = 0;
  /// Part of LinkRate that the link has, according to the evidence.
  double RateFactor = 1;
  ProbeDelays Probes;
  RecentLinkUse Use;
  /// LinkRate is known and the routes in force have uploads.
  bool Enabled = false;
  UploadLimit Limit;
  absl::flat_hash_map<FlowKey, OpenUpload> Uploads;
  /// Number of entries of Uploads that count, how many of them are slow, and
  /// the sum of their loads.
  std::size_t OpenCount = 0;
  std::size_t SlowCount = 0;
  double Load = 0;
  /// Average number of packets of a body; zero until one has been seen.
  double BodyPackets = 0;
  absl::flat_hash_map<FlowKey, WaitingUpload> Waiting;
  /// Average time for which an upload keeps its share.
  std::chrono::microseconds UploadTime = InitialUploadTime;
  /// Bytes that the link has carried in both directions since the start.
  std::uint64_t LinkBytes = 0;
  /// Time that the datagrams in the queue to the agents take to leave.
  std::chrono::microseconds Backlog{0};
  /// Refused sends of the host at the last tick.
  std::uint64_t SendsRefused = 0;
  TimePoint CleanUpDue{};
  UploadCounters Counters;
};

/// \returns the limit for a link with this width: as many windows as the link
/// carries in and out within TargetRoundTrip, at least MinUploadLimit.
double initialUploadLimit(double LinkRate);

/// Sets the width of the link in bits per second, and the limit that follows.
void setLinkRate(UploadBudget &B, double LinkRate);

/// \returns whether another upload may start.
bool hasShare(const UploadBudget &B);

/// \returns what decideOpening() would decide, without a change of state.
AdmissionResult previewOpening(const UploadBudget &B,
                               const UploadOpening &Opening, TimePoint Now);

/// Decides on the opening of an upload that isn't known yet. An admitted one
/// takes a share; one that waits must be passed to addWaiting() by the caller.
AdmissionResult decideOpening(UploadBudget &B, const UploadOpening &Opening,
                              TimePoint Now);

/// Stores an opening for which decideOpening() returned Waits.
void addWaiting(UploadBudget &B, const UploadOpening &Opening, Bytes Raw);

/// Removes the waiting opening whose latest start comes first if it can no
/// longer be on time. \returns nothing if there is none. Complexity: linear in
/// the number of waiting openings.
std::optional<FlowKey> takeExpired(UploadBudget &B, TimePoint Now);

/// Removes the waiting opening whose latest start comes first and gives it a
/// share, or any if admission control has been disabled meanwhile. \returns
/// nothing if no share is free or no opening waits. Complexity: linear in the
/// number of waiting openings.
std::optional<std::pair<FlowKey, WaitingUpload>> takeWaiting(UploadBudget &B,
                                                             TimePoint Now);

/// Records the time from a probe to its answer, and corrects RateFactor.
void onProbeAnswer(UploadBudget &B, std::chrono::microseconds Delay,
                   TimePoint Now);

/// Records a packet of an upload flow, other than an opening. A flow that isn't
/// known takes a share when it sends data: its opening passed through another
/// host, or before this one restarted.
void onUploadPacket(UploadBudget &B, const Packet &P, TimePoint Now);

/// Releases the share of an upload whose opening was refused or whose flow was
/// reset. Data that is still in flight takes none again; tick() removes the
/// entry once the flow is silent.
void onUploadReset(UploadBudget &B, const FlowKey &Flow);

/// Releases the shares of silent uploads, evaluates refused sends and measures
/// the use of the link.
/// \p SendsRefused is the number since the start.
void tick(UploadBudget &B, std::uint64_t SendsRefused, TimePoint Now);

} // namespace jasminearch::flow

#endif // JASMINEARCH_FLOW_LINK_BUDGET_H
