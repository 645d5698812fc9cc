#ifndef JASMINEARCH_FLOW_LINK_QUEUE_H
#define JASMINEARCH_FLOW_LINK_QUEUE_H

#include "jasminearch/flow/packet.h"
#include "jasminearch/types.h"
#include <absl/container/flat_hash_map.h>
#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

/// The queue of datagrams that an entry host sends to agents.
///
/// Answers this load: windows of upload packets and small requests share a
/// narrow link. If the host forwarded each packet at once, the network would
/// queue them in order of arrival, and small requests would wait behind
/// uploads. Paced to the width of the link, the packets wait here instead,
/// where small ones go first. While the link isn't scarce, nothing waits.
///
/// Pacing is a token bucket. Classes have priorities, each with a guaranteed
/// share, and the flows of the bulk class share it by deficit round robin
/// (Shreedhar and Varghese, "Efficient fair queuing using deficit round robin",
/// 1995).
namespace jasminearch::flow {

/// Classes of datagrams, the most urgent first.
enum class SendClass : std::uint8_t {
  /// Openings, searches, probes.
  Control = 0,
  /// Packets of flows other than uploads, and packets without data.
  Small = 1,
  /// Packets of uploads.
  Bulk = 2,
};
inline constexpr std::size_t SendClassCount = 3;

/// Bytes of the IP and UDP headers of a datagram.
inline constexpr std::size_t DatagramOverheadBytes = 28;

/// Part of the link's width that paced traffic takes; the rest is left to
/// control links, metrics and headers below IP.
inline constexpr double PacedShare = 0.95;

/// Bytes that may leave at once, as time at the paced rate. Bounds the queue
/// that this host causes in the network.
inline constexpr std::chrono::milliseconds MaxBurstTime{20};

/// Arriving bytes count against the link up to this share, so that they never
/// stop what leaves: both directions carry about the same bytes.
inline constexpr double ArrivalShare = 0.6;
inline constexpr std::chrono::milliseconds ArrivalBurstTime{100};

/// Share of the bytes that a class is guaranteed while more urgent classes
/// wait as well.
inline constexpr std::array<double, SendClassCount> GuaranteedShare = {1, 0.4,
                                                                       0.25};

/// Time after which a waiting datagram is dropped, by class: openings are
/// useless once their caller gives up, and copies of other packets follow.
inline constexpr std::array<std::chrono::milliseconds, SendClassCount>
    MaxQueueTime = {std::chrono::milliseconds{600},
                    std::chrono::milliseconds{1000},
                    std::chrono::milliseconds{800}};

/// Maximum number of bytes that wait, by class. Small datagrams are compared
/// with all that wait, so that fewer of them may.
inline constexpr std::array<std::size_t, SendClassCount> MaxQueueBytes = {
    65'536, 65'536, 524'288};

/// Minimum time between two wake-ups of the loop for a paced datagram, so that
/// pacing costs little processor time. Shorter than MaxBurstTime.
inline constexpr std::chrono::milliseconds MinPaceInterval{2};

/// Quantum of the deficit round robin: the largest datagram.
inline constexpr std::size_t RoundRobinQuantum = 1300;

/// Interval over which the use of the link is measured, and what is left of the
/// peak after each: 2% of it after 10 s.
inline constexpr std::chrono::milliseconds UseInterval{250};
inline constexpr double PeakUseDecay = 0.905;

/// A datagram to an agent. The fields below Class are set for packets of flows.
struct QueuedDatagram {
  Endpoint To;
  Bytes Datagram;
  SendClass Class = SendClass::Control;
  FlowKey Flow;
  std::uint32_t Sequence = 0;
  std::size_t DataBytes = 0;
  /// It carries a packet that its sender repeats if it isn't acknowledged.
  bool Repeats = false;
  TimePoint QueuedAt{};
};

/// Why a datagram was dropped. The numbers are those of the counters.
enum class QueueDrop : std::uint8_t {
  /// A copy of it still waits.
  Copy = 0,
  /// It waited longer than MaxQueueTime.
  TooOld = 1,
  /// Its class has MaxQueueBytes waiting.
  QueueFull = 2,
};
inline constexpr std::size_t QueueDropCount = 3;

/// Datagrams of one class or flow, in the order of arrival.
using DatagramFifo = std::deque<QueuedDatagram>;

/// The bulk datagrams of one flow.
struct BulkFlow {
  DatagramFifo Waiting;
  std::size_t Deficit = 0;
};

/// State and counters of one class.
struct SendClassState {
  std::size_t Bytes = 0;
  std::size_t Datagrams = 0;
  /// Bytes that the class may send ahead of more urgent ones.
  double Credit = 0;
  /// Average delay of the latest datagrams that waited.
  std::chrono::microseconds Delay{0};
  std::uint64_t Queued = 0;
  std::uint64_t Sent = 0;
  std::array<std::uint64_t, QueueDropCount> Dropped{};
};

struct LinkQueue {
  /// Width of the link in bits per second, and paced rate in bytes per second;
  /// zero if datagrams aren't paced.
  double PacedFor = 0;
  double Rate = 0;
  /// Bytes that may leave now; negative after a large datagram.
  double Tokens = 0;
  TimePoint TokensAt{};
  /// Arriving bytes that count against the link.
  double ArrivalTokens = 0;
  std::array<SendClassState, SendClassCount> Classes;
  DatagramFifo Control;
  DatagramFifo Small;
  absl::flat_hash_map<FlowKey, BulkFlow> Bulk;
  /// The flows in Bulk, in the order of service.
  std::deque<FlowKey> Round;
  /// Bytes on the link since the start, with IP and UDP headers.
  std::uint64_t BytesArrived = 0;
  std::uint64_t BytesLeft = 0;
  /// Arriving bytes beyond ArrivalShare.
  std::uint64_t BytesNotCounted = 0;
  /// Start and bytes of the current interval of UseInterval, and the greatest
  /// use of the link lately, in bytes per second.
  TimePoint UseSince{};
  std::uint64_t UseBytes = 0;
  double PeakUse = 0;
};

/// Sets the width of the link in bits per second; zero ends pacing. What may
/// leave now stays the same unless pacing starts.
void setLinkRate(LinkQueue &Q, double LinkRate);

/// Records a datagram of \p Bytes that has arrived.
void recordArrival(LinkQueue &Q, std::size_t Bytes, TimePoint Now);

/// \returns whether nothing waits.
bool isEmpty(const LinkQueue &Q);

/// Sends a datagram of \p Bytes past the queue if nothing waits and the link
/// has room. \returns whether it may leave now.
bool takeTokens(LinkQueue &Q, std::size_t Bytes, TimePoint Now);

/// Adds a datagram. It is dropped if a copy of it still waits, or if its class
/// is full.
void enqueue(LinkQueue &Q, QueuedDatagram D, TimePoint Now);

/// \returns the next datagram that may leave now. Drops those that are too old.
std::optional<QueuedDatagram> dequeue(LinkQueue &Q, TimePoint Now);

/// \returns the time that the waiting datagrams take to leave.
std::chrono::microseconds backlog(const LinkQueue &Q);

/// \returns the time until dequeue() has to be called again; nothing if the
/// queue is empty.
std::optional<std::chrono::milliseconds> timeToNext(const LinkQueue &Q,
                                                    TimePoint Now);

} // namespace jasminearch::flow

#endif // JASMINEARCH_FLOW_LINK_QUEUE_H
