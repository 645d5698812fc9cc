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

/// Moves batches of datagrams between sockets as entry_router.h decides.
namespace jasminearch::routing {

/// Hands the snapshot in force from the control thread to traffic threads,
/// which load it once for each batch. A mutex, because the thread sanitizer
/// reports a race inside std::atomic<std::shared_ptr> of g++ 12's library.
class RoutingSnapshotHolder {
public:
  std::shared_ptr<const RoutingSnapshot> load() const {
    const std::scoped_lock Lock(ValueMutex);
    return Value;
  }

  void store(std::shared_ptr<const RoutingSnapshot> Next) {
    const std::scoped_lock Lock(ValueMutex);
    // The former snapshot is freed with Next, after the lock is released.
    Value.swap(Next);
  }

private:
  mutable std::mutex ValueMutex;
  std::shared_ptr<const RoutingSnapshot> Value =
      std::make_shared<const RoutingSnapshot>();
};

/// What a relay logs. Both kinds are rate-limited.
struct RelayLogOptions {
  /// Whether datagrams that pass are logged, at debug level.
  bool Datagrams = false;
  LogRateLimiter Passed{20};
  /// Datagrams that the routing refuses are logged as warnings.
  LogRateLimiter Refused{1};
};

/// One direction of an entry host's traffic. One thread uses it, except for
/// counts().
class EntryRelay {
public:
  /// Receives on \p From and sends from \p To; both outlive the relay.
  /// \param Return where agents send answers.
  /// \param Fabric where datagrams for callers go.
  EntryRelay(const RoutingSnapshotHolder &Routing, const net::UdpSocket &From,
             const net::UdpSocket &To, Endpoint Return, Endpoint Fabric,
             TraceIdGenerator Traces, RelayLogOptions Log = {});

  /// Takes one batch of the fabric's datagrams and hands it to agents.
  /// \returns the number received; zero when none came in time.
  std::size_t forwardBatch();

  /// Takes one batch of frames of agents and hands it to the fabric.
  /// \returns the number received; zero when none came in time.
  std::size_t answerBatch();

  /// \returns a copy of the counts. Safe from any thread.
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
  TraceIdGenerator Traces;
  RelayLogOptions Log;
  net::ReceiveBatch In;
  net::SendBatch Out;
  /// Guards Counts; taken once for each batch.
  mutable std::mutex CountsMutex;
  EntryCounts Counts;
};

} // namespace jasminearch::routing

#endif // JASMINEARCH_ROUTING_ENTRY_RELAY_H
