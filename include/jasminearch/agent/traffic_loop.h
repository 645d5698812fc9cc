#ifndef JASMINEARCH_AGENT_TRAFFIC_LOOP_H
#define JASMINEARCH_AGENT_TRAFFIC_LOOP_H

#include "jasminearch/agent/agent_logic.h"
#include "jasminearch/agent/agent_state.h"
#include "jasminearch/clock.h"
#include "jasminearch/error.h"
#include "jasminearch/log.h"
#include "jasminearch/types.h"
#include <absl/container/flat_hash_map.h>
#include <atomic>
#include <future>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

namespace jasminearch::agent {

/// Socket addresses of a traffic loop.
struct TrafficEndpoints {
  /// Receives frames from entry hosts and agents. The sockets of flows are
  /// bound to other ports of the same address.
  Endpoint Tunnel;
  Endpoint Upstream;
};

/// Turns socket input and timers into events for one agent and carries out the
/// resulting effects. run() is called on the traffic thread; only members
/// marked as thread-safe may be called from other threads.
class TrafficLoop {
public:
  TrafficLoop(std::unique_ptr<State> Initial, const TrafficEndpoints &Endpoints,
              const Clock &Time);
  ~TrafficLoop();
  TrafficLoop(const TrafficLoop &) = delete;
  TrafficLoop &operator=(const TrafficLoop &) = delete;

  /// Binds the tunnel socket and, after a take-over, the ports of all flows.
  /// \returns SocketFailed if the tunnel socket can't be bound.
  Expected<void> open();

  /// Handles traffic until quit() or handOver() is called.
  void run();

  /// Queues an event for the traffic thread. Thread-safe. The event must not
  /// refer to memory that it doesn't own.
  void post(Event Input);

  /// Ends run(). Thread-safe.
  void quit();

  /// Stops handling traffic, closes all sockets and ends run(). Thread-safe.
  /// \returns the hand-over parts for the successor.
  std::future<std::vector<Bytes>> handOver();

  /// \returns the promise counts, at most about one second old. Thread-safe.
  std::vector<control::PromiseCount> counts() const;

  /// \returns whether a requested stop is complete. Thread-safe.
  bool stopped() const { return Stopped; }

  /// \returns whether the upstream's port is closed. Thread-safe.
  bool upstreamGone() const { return UpstreamIsGone; }

private:
  using HandOverPromise = std::promise<std::vector<Bytes>>;

  void pollOnce();
  void readTunnel();
  void readFlow(int Socket, FlowId Id);
  void processPostedEvents();
  void runTimers();
  void dispatch(const Event &Input);
  void carryOut(const SendFrame &Action);
  void carryOut(const SendUpstream &Action);
  void carryOut(const OpenFlow &Action);
  void carryOut(const CloseFlow &Action);
  void carryOut(const ReportUpstreamGone &Action);
  void carryOut(const ReportStopped &Action);
  Expected<std::uint16_t> bindFlow(FlowId Id, std::uint16_t Port);
  void rebindFlows();
  bool watch(int Socket, std::uint64_t Tag);
  void closeSockets();
  void wake();

  std::unique_ptr<State> AgentState;
  TrafficEndpoints Endpoints;
  const Clock &Time;
  int EpollFd = -1;
  int WakeFd = -1;
  int TunnelSocket = -1;
  absl::flat_hash_map<FlowId, int> Sockets;
  Bytes Buffer;
  TimePoint NextTimer{};
  TimePoint NextCounts{};
  LogRateLimiter ErrorLogLimiter{5};

  mutable std::mutex Mutex;
  std::vector<Event> PostedEvents;
  std::optional<HandOverPromise> HandoverResult;
  std::vector<control::PromiseCount> LatestCounts;
  std::atomic<bool> QuitRequested = false;
  std::atomic<bool> Stopped = false;
  std::atomic<bool> UpstreamIsGone = false;
};

} // namespace jasminearch::agent

#endif // JASMINEARCH_AGENT_TRAFFIC_LOOP_H
