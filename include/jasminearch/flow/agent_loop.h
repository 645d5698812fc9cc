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
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace jasminearch::flow {

struct AgentLoopOptions {
  /// Receives datagrams from entry hosts.
  Endpoint Tunnel;
  /// Receives the upstream's packets.
  Endpoint Outbound;
  /// Address at which the upstream receives packets.
  Endpoint Upstream;
  /// Port at a caller's address to which packets for it are sent.
  std::uint16_t CallerPort = 0;
  AgentOptions Agent;
};

/// The traffic thread of an agent: runs the logic of agent_flows.h on real
/// sockets.
class AgentLoop {
public:
  /// \returns SocketFailed if an address can't be bound.
  static Expected<std::unique_ptr<AgentLoop>> open(AgentLoopOptions Options,
                                                   const Clock &Time);

  /// Runs the loop until stop() is called.
  void run();

  /// Ends run(). This function and those below are thread-safe.
  void stop();

  /// Stops accepting new flows.
  void stopAcceptingNewFlows();

  /// \returns mustBeListed() as of the last tick.
  bool listed() const { return Listed; }

  /// \returns upstreamMissing() as of the last tick.
  bool missesUpstream() const { return MissesUpstream; }

  /// Passes an announcement to the traffic thread, which calls \p Done with the
  /// result.
  void announce(AnnouncedUpstream Value,
                std::function<void(AnnouncementResult)> Done);
  void withdraw(std::string Name, std::function<void(AnnouncementResult)> Done);

  /// Sets whether the agent's data centre is evacuated.
  void setEvacuated(bool Evacuated);

  /// Replaces the cold limits of the services.
  void setColdLimits(std::vector<ColdLimit> Limits);

  /// Replaces the services of the routes in force.
  void setRoutedServices(std::vector<std::string> Services);

  /// Handles what a control host knows of earlier runs of this agent: the time
  /// since one was last heard of, if any was.
  void reportEarlierRuns(std::optional<std::chrono::milliseconds> HeardAge);

  /// Sets the upstream's service according to the host's settings.
  void setOwnService(std::string Service);

  /// \returns the counters in the Prometheus text format.
  std::string metrics();

private:
  AgentLoop(AgentLoopOptions Options, const Clock &Time);
  void receiveBatch(const net::UdpSocket &Socket, bool FromUpstream);
  void applyEffects();
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
  std::atomic<bool> Listed{false};
  std::atomic<bool> MissesUpstream{false};
};

} // namespace jasminearch::flow

#endif // JASMINEARCH_FLOW_AGENT_LOOP_H
