#ifndef JASMINEARCH_ROUTING_ENTRY_RELAY_H
#define JASMINEARCH_ROUTING_ENTRY_RELAY_H

#include "jasminearch/log.h"
#include "jasminearch/net/datagram_batch.h"
#include "jasminearch/routing/entry_counts.h"
#include "jasminearch/routing/entry_router.h"
#include "jasminearch/types.h"
#include <cstddef>
#include <memory>
#include <mutex>

/// Relays batches of datagrams between sockets according to the decisions of
/// entry_router.h.
namespace jasminearch::routing {

/// Passes the current snapshot from the control thread to the traffic threads,
/// which load it once for each batch. Uses a mutex because the thread sanitizer
/// reports a data race inside libstdc++ 12's std::atomic<std::shared_ptr>.
class RoutingSnapshotHolder {
public:
  std::shared_ptr<const RoutingSnapshot> load() const {
    const std::scoped_lock Lock(ValueMutex);
    return Value;
  }

  void store(std::shared_ptr<const RoutingSnapshot> Next) {
    const std::scoped_lock Lock(ValueMutex);
    // The previous snapshot is freed when Next is destroyed, after the lock has
    // been released.
    Value.swap(Next);
  }

private:
  mutable std::mutex ValueMutex;
  std::shared_ptr<const RoutingSnapshot> Value =
      std::make_shared<const RoutingSnapshot>();
};

/// Log settings of a relay. Both kinds of events are rate-limited.
struct RelayLogOptions {
  /// Whether relayed datagrams are logged, at debug level.
  bool Datagrams = false;
  LogRateLimiter Passed{20};
  /// Refused datagrams are logged as warnings.
  LogRateLimiter Refused{1};
};

/// Relays one direction of an entry host's traffic. Must be used by a single
/// thread, except for counts().
class EntryRelay {
public:
  /// Creates a relay that receives on \p From and sends on \p To. Both sockets
  /// and \p Routing must outlive it.
  /// \param Return address to which agents send answers.
  /// \param Fabric address to which datagrams for callers are sent.
  EntryRelay(const RoutingSnapshotHolder &Routing, const net::UdpSocket &From,
             const net::UdpSocket &To, Endpoint Return, Endpoint Fabric,
             TraceIdGenerator TraceIds, RelayLogOptions Log = {});

  /// Receives one batch of datagrams from the fabric and forwards it to agents.
  /// \returns the number of datagrams received, or zero on timeout.
  std::size_t forwardBatch();

  /// Receives one batch of frames from agents and sends the answers to the
  /// fabric.
  /// \returns the number of datagrams received, or zero on timeout.
  std::size_t answerBatch();

  /// \returns a copy of the counters. Thread-safe.
  EntryCounts counts() const;

private:
  void forward(const RoutingSnapshot &InForce,
               absl::Span<const std::uint8_t> Datagram);
  void answer(const RoutingSnapshot &InForce,
              absl::Span<const std::uint8_t> Datagram);
  void logForward(const ForwardDecision &Decision);
  void logAnswer(const wire::FrameHeader &Frame,
                 const AnswerDecision &Decision);
  void send();

  const RoutingSnapshotHolder &Routing;
  const net::UdpSocket &From;
  const net::UdpSocket &To;
  Endpoint Return;
  Endpoint Fabric;
  TraceIdGenerator TraceIds;
  RelayLogOptions Log;
  net::ReceiveBatch Received;
  net::SendBatch ToSend;
  /// Guards Counts. Locked once per batch.
  mutable std::mutex CountsMutex;
  EntryCounts Counts;
};

} // namespace jasminearch::routing

#endif // JASMINEARCH_ROUTING_ENTRY_RELAY_H
