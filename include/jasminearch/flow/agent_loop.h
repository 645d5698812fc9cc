#ifndef JASMINEARCH_FLOW_AGENT_LOOP_H
#define JASMINEARCH_FLOW_AGENT_LOOP_H

#include "jasminearch/clock.h"
#include "jasminearch/error.h"
#include "jasminearch/flow/agent_flows.h"
#include "jasminearch/flow/mailbox.h"
#include "jasminearch/net/listen_check.h"
#include "jasminearch/net/udp_socket.h"
#include "jasminearch/types.h"
#include <atomic>
#include <functional>
#include <memory>
#include <string>

namespace jasminearch::flow {

struct AgentLoopOptions {
  /// Takes datagrams from entry hosts.
  Endpoint Tunnel;
  /// Takes the upstream's packets.
  Endpoint Outbound;
  /// Where the upstream takes packets.
  Endpoint Upstream;
  /// Port of a caller's address to which packets for it go.
  std::uint16_t CallerPort = 0;
  AgentOptions Agent;
};

/// The traffic thread of an agent: sockets around agent_flows.h.
class AgentLoop {
public:
  /// \returns SocketFailed when an address can't be bound.
  static Expected<std::unique_ptr<AgentLoop>> open(AgentLoopOptions Options,
                                                   const Clock &Time);

  /// Serves until stop().
  void run();

  /// Safe from any thread, as the members below.
  void stop();

  /// Takes no new flows from now on.
  void stopAcceptingNewFlows();

  /// \returns whether the upstream is known to hold no flow.
  bool upstreamGone() const { return Gone; }

  /// Hands over an announcement; \p Done is called on the traffic thread.
  void announce(AnnouncedUpstream Value,
                std::function<void(AnnouncementResult)> Done);
  void withdraw(std::string Name, std::function<void(AnnouncementResult)> Done);

  /// Text of the counters in the Prometheus exposition format.
  std::string metrics();

private:
  AgentLoop(AgentLoopOptions Options, const Clock &Time);
  void drain(const net::UdpSocket &Socket, bool FromUpstream);
  void carryOut();
  void finishListenCheck();

  AgentLoopOptions Options;
  const Clock &Time;
  net::UdpSocket Tunnel;
  net::UdpSocket Outbound;
  net::ListenCheck Check;
  AgentFlows Flows;
  AgentEffects Effects;
  Mailbox Mail;
  std::atomic<bool> Stopping{false};
  std::atomic<bool> Gone{false};
};

} // namespace jasminearch::flow

#endif // JASMINEARCH_FLOW_AGENT_LOOP_H
