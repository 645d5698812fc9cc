#ifndef JASMINEARCH_FLOW_ENTRY_LOOP_H
#define JASMINEARCH_FLOW_ENTRY_LOOP_H

#include "jasminearch/clock.h"
#include "jasminearch/error.h"
#include "jasminearch/flow/entry_flows.h"
#include "jasminearch/flow/mailbox.h"
#include "jasminearch/net/udp_socket.h"
#include "jasminearch/types.h"
#include <atomic>
#include <memory>
#include <string>
#include <vector>

namespace jasminearch::flow {

struct EntryLoopOptions {
  /// Takes callers' packets.
  Endpoint Callers;
  /// Takes datagrams from agents.
  Endpoint Tunnel;
  /// Port of a caller's address to which packets for it go.
  std::uint16_t CallerPort = 0;
  PacketCodec Codec;
};

/// The traffic thread of an entry host: sockets around entry_flows.h.
class EntryLoop {
public:
  /// \returns SocketFailed when an address can't be bound.
  static Expected<std::unique_ptr<EntryLoop>> open(EntryLoopOptions Options,
                                                   const Clock &Time);

  /// Serves until stop().
  void run();

  /// Safe from any thread, as the members below.
  void stop();
  void setRoutes(std::shared_ptr<const RouteIndex> Routes);
  void addListedAgents(std::vector<Endpoint> Agents, bool Complete);

  void agentLeft(const Endpoint &Agent);

  /// \returns whether new flows can be placed.
  bool ready() const { return Ready; }

  /// Text of the counters in the Prometheus exposition format.
  std::string metrics();

private:
  EntryLoop(EntryLoopOptions Options, const Clock &Time);
  void drain(const net::UdpSocket &Socket, bool FromCallers);
  void carryOut();

  EntryLoopOptions Options;
  const Clock &Time;
  net::UdpSocket Callers;
  net::UdpSocket Tunnel;
  EntryFlows Flows;
  EntryEffects Effects;
  Mailbox Mail;
  std::atomic<bool> Stopping{false};
  std::atomic<bool> Ready{false};
};

} // namespace jasminearch::flow

#endif // JASMINEARCH_FLOW_ENTRY_LOOP_H
