#ifndef STANDINS_LIB_FABRIC_LOOP_H
#define STANDINS_LIB_FABRIC_LOOP_H

#include "jasminearch/error.h"
#include "jasminearch/net/datagram_batch.h"
#include "jasminearch/net/udp_socket.h"
#include "jasminearch/types.h"
#include "standins/lib/fabric.h"
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <poll.h>
#include <vector>

namespace standins {

/// Maximum number of queued datagrams: 13 s of traffic at 20,000 datagrams a
/// second.
inline constexpr std::size_t MaxQueuedDatagrams = 1U << 18U;

/// Addresses that the fabric listens on.
struct FabricAddresses {
  /// Service addresses, where callers send datagrams.
  std::vector<jasminearch::Endpoint> Services;
  /// Where entry hosts send answers to callers.
  jasminearch::Endpoint Return;
  /// Where text commands are received.
  jasminearch::Endpoint Control;
};

/// Forwards datagrams between callers and entry hosts as planned by fabric.h.
/// Not thread-safe.
class FabricLoop {
public:
  /// Opens the sockets. \returns SocketFailed if a socket can't be bound.
  static jasminearch::Expected<FabricLoop>
  open(const FabricAddresses &Addresses, FabricState InitialState);

  /// Forwards datagrams until \p Stop is set, which is noticed within 50 ms.
  void run(const std::atomic<bool> &Stop);

  const FabricCounts &counts() const { return State.Counts; }

  /// \returns the addresses that the sockets are bound to, with the ports that
  /// the system chose.
  FabricAddresses addresses() const;

private:
  /// A copy of a datagram that isn't due yet.
  struct QueuedDatagram {
    jasminearch::TimePoint Due;
    /// Orders datagrams that are due at the same time.
    std::uint64_t SequenceNumber = 0;
    std::size_t Socket = 0;
    jasminearch::Endpoint To;
    jasminearch::Bytes Datagram;
  };

  static bool isLater(const QueuedDatagram &Left, const QueuedDatagram &Right);

  void receiveFromCallers(std::size_t Service);
  void receiveFromEntries();
  void receiveCommand();
  void enqueue(const PlannedCopies &Plan, std::size_t Socket,
               absl::Span<const std::uint8_t> HeaderBytes,
               absl::Span<const std::uint8_t> Payload);
  void sendDue();
  void recordLateness(jasminearch::Duration Lateness);
  void flush(std::size_t Socket);
  void wait(std::vector<pollfd> &PollEntries) const;
  void receiveReady(const std::vector<pollfd> &PollEntries);

  FabricState State;
  /// The service sockets in the order of Services, then the return and the
  /// control socket.
  std::vector<jasminearch::net::UdpSocket> Sockets;
  std::vector<jasminearch::Endpoint> Services;
  jasminearch::net::ReceiveBatch Incoming;
  jasminearch::net::SendBatch Outgoing;
  /// Binary heap with the earliest due datagram first.
  std::vector<QueuedDatagram> Queue;
  std::vector<jasminearch::Bytes> FreeBuffers;
  std::uint64_t NextSequenceNumber = 0;
};

} // namespace standins

#endif // STANDINS_LIB_FABRIC_LOOP_H
