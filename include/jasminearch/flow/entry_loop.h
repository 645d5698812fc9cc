#ifndef JASMINEARCH_FLOW_ENTRY_LOOP_H
#define JASMINEARCH_FLOW_ENTRY_LOOP_H

#include "jasminearch/clock.h"
#include "jasminearch/error.h"
#include "jasminearch/flow/entry_flows.h"
#include "jasminearch/flow/entry_queue.h"
#include "jasminearch/flow/mailbox.h"
#include "jasminearch/net/udp_socket.h"
#include "jasminearch/types.h"
#include <atomic>
#include <memory>
#include <string>
#include <vector>

namespace jasminearch::flow {

struct EntryLoopOptions {
  /// Receives callers' packets.
  Endpoint Callers;
  /// Receives datagrams from agents.
  Endpoint Tunnel;
  /// Port at a caller's address to which packets for it are sent.
  std::uint16_t CallerPort = 0;
  PacketCodec Codec;
  /// Width of the host's link in bits per second; zero if unknown.
  double LinkRate = 0;
  /// The host's own data centre; empty if unknown.
  std::string DataCentre = {};
};

/// The traffic thread of an entry host: runs the logic of entry_flows.h on real
/// sockets.
class EntryLoop {
public:
  /// \returns SocketFailed if an address can't be bound.
  static Expected<std::unique_ptr<EntryLoop>> open(EntryLoopOptions Options,
                                                   const Clock &Time);

  /// Runs the loop until stop() is called.
  void run();

  /// Ends run(). This function and those below are thread-safe.
  void stop();
  void setRoutes(std::shared_ptr<const RouteIndex> Routes);
  void addListedAgents(std::vector<ListedAgent> Agents, bool Complete);

  void agentLeft(const Endpoint &Agent);

  /// Sets the data centres to whose upstreams no new flows are sent.
  void setEvacuations(std::vector<std::string> DataCentres);

  /// \returns whether new flows can be placed.
  bool ready() const { return Ready; }

  /// \returns the counters in the Prometheus text format.
  std::string metrics();

  /// \returns explainOpening() of \p Flow now, as JSON text; empty if the
  /// traffic thread doesn't answer in time.
  std::string explain(const FlowKey &Flow);

private:
  EntryLoop(EntryLoopOptions Options, const Clock &Time);
  void receiveBatch(const net::UdpSocket &Socket, bool FromCallers);
  void applyEffects();
  /// \returns the longest time to wait for events: until the next tick or the
  /// next paced datagram.
  int pollTimeoutMs() const;

  EntryLoopOptions Options;
  const Clock &Time;
  net::UdpSocket Callers;
  net::UdpSocket Tunnel;
  EntryFlows Flows;
  LinkQueue Queue;
  EntryEffects Effects;
  Mailbox Mail;
  std::atomic<bool> Stopping{false};
  std::atomic<bool> Ready{false};
};

} // namespace jasminearch::flow

#endif // JASMINEARCH_FLOW_ENTRY_LOOP_H
