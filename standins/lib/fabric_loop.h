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

/// Datagrams that may wait at a time. At 20,000 a second this covers 13 s.
inline constexpr std::size_t MaxQueuedDatagrams = 1U << 18U;

/// Addresses of the fabric.
struct FabricAddresses {
  /// Where callers reach services.
  std::vector<jasminearch::Endpoint> Services;
  /// Where entry hosts return answers.
  jasminearch::Endpoint Return;
  /// Takes text commands.
  jasminearch::Endpoint Control;
};

/// Moves datagrams between callers and entry hosts as fabric.h plans.
/// One thread uses it.
class FabricLoop {
public:
  /// Opens the sockets. \returns SocketFailed if one can't be bound.
  static jasminearch::Expected<FabricLoop>
  open(const FabricAddresses &Addresses, FabricState InitialState);

  /// Serves until \p Stop is set; notices it within 50 ms.
  void run(const std::atomic<bool> &Stop);

  const FabricCounts &counts() const { return State.Counts; }

  /// Addresses that the sockets are bound to, for ports chosen by the system.
  FabricAddresses addresses() const;

private:
  /// A copy that waits for its time.
  struct QueuedDatagram {
    jasminearch::TimePoint Due;
    /// Keeps the order of datagrams that are due at the same time.
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
  /// Service sockets in the order of the services, then return and control.
  std::vector<jasminearch::net::UdpSocket> Sockets;
  std::vector<jasminearch::Endpoint> Services;
  jasminearch::net::ReceiveBatch Incoming;
  jasminearch::net::SendBatch Outgoing;
  /// A heap, earliest first.
  std::vector<QueuedDatagram> Queue;
  std::vector<jasminearch::Bytes> FreeBuffers;
  std::uint64_t NextSequenceNumber = 0;
};

} // namespace standins

#endif // STANDINS_LIB_FABRIC_LOOP_H
