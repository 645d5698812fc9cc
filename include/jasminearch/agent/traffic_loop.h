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
  /// Takes frames from entry hosts and agents. Flows are bound to ports of the
  /// same address.
  Endpoint Tunnel;
  Endpoint Upstream;
};

/// Translates sockets and timers into events of one agent and carries out the
/// effects. run() belongs to the traffic thread; members that say so may be
/// called from other threads.
class TrafficLoop {
public:
  TrafficLoop(std::unique_ptr<State> Initial, const TrafficEndpoints &Where,
              const Clock &Time);
  ~TrafficLoop();
  TrafficLoop(const TrafficLoop &) = delete;
  TrafficLoop &operator=(const TrafficLoop &) = delete;

  /// Binds the tunnel socket and, after a take-over, the ports of all flows.
  /// \returns SocketFailed if the tunnel can't be bound.
  Expected<void> open();

  /// Serves until quit() or handOver().
  void run();

  /// Queues an event for the traffic thread. From any thread. Events must not
  /// point into foreign memory.
  void post(Event What);

  /// Ends run(). From any thread.
  void quit();

  /// Stops serving, closes all sockets and ends run(). From any thread.
  /// \returns the parts for the successor.
  std::future<std::vector<Bytes>> handOver();

  /// \returns promise counts as of about a second ago. From any thread.
  std::vector<control::PromiseCount> counts() const;

  /// Whether a requested stop is complete. From any thread.
  bool stopped() const { return Stopped; }

  /// Whether the upstream's port is closed. From any thread.
  bool upstreamGone() const { return Gone; }

private:
  using HandOverPromise = std::promise<std::vector<Bytes>>;

  void turn();
  void readTunnel();
  void readFlow(int Socket, FlowId Id);
  void takePosted();
  void timers();
  void deliver(const Event &What);
  void carryOut(const SendFrame &What);
  void carryOut(const SendUpstream &What);
  void carryOut(const OpenFlow &What);
  void carryOut(const CloseFlow &What);
  void carryOut(const ReportUpstreamGone &What);
  void carryOut(const ReportStopped &What);
  Expected<std::uint16_t> bindFlow(FlowId Id, std::uint16_t Port);
  void rebindFlows();
  bool watch(int Socket, std::uint64_t Mark);
  void closeSockets();
  void wake();

  std::unique_ptr<State> S;
  TrafficEndpoints Where;
  const Clock &Time;
  int Poll = -1;
  int Waker = -1;
  int Tunnel = -1;
  absl::flat_hash_map<FlowId, int> Sockets;
  Bytes Buffer;
  TimePoint NextTimer{};
  TimePoint NextCounts{};
  LogRateLimiter Failures{5};

  mutable std::mutex Lock;
  std::vector<Event> Posted;
  std::optional<HandOverPromise> Successor;
  std::vector<control::PromiseCount> Counted;
  std::atomic<bool> Quit = false;
  std::atomic<bool> Stopped = false;
  std::atomic<bool> Gone = false;
};

} // namespace jasminearch::agent

#endif // JASMINEARCH_AGENT_TRAFFIC_LOOP_H
