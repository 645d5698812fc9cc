#ifndef JASMINEARCH_STANDINS_LIB_EVACUATION_OPERATOR_H
#define JASMINEARCH_STANDINS_LIB_EVACUATION_OPERATOR_H

#include "jasminearch/types.h"
#include <atomic>
#include <chrono>
#include <cstdint>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace jasminearch::standins {

/// Counts of the evacuations of one run.
struct EvacuationTotals {
  /// Orders and withdrawals that were acknowledged.
  std::uint64_t Acknowledged = 0;
  /// Those without an acknowledgement within 6 s, or by the end of the run.
  std::uint64_t Unacknowledged = 0;
  /// New flows that reached an upstream of a data centre while the evacuation
  /// bound held.
  std::uint64_t Late = 0;
  /// The same, but a host that took part had been signalled shortly before.
  std::uint64_t LateAfterSignals = 0;
  /// New flows that reached other upstreams while the bound held and no host
  /// that took part in them had been signalled.
  std::uint64_t OpenedElsewhere = 0;
  /// 1 if the state at the end isn't that of the last acknowledged order.
  std::uint64_t Lost = 0;
};

/// Evacuates data centres, one at a time, at random times, and checks that
/// their upstreams get no new flows.
class EvacuationOperator {
public:
  /// \param Controls the API endpoints of the control hosts.
  /// \param SignalsFile has a line "MILLISECONDS HOST" for each signal that a
  ///   host was sent and each of its starts, by the wall clock.
  EvacuationOperator(std::vector<Endpoint> Controls, std::string SignalsFile,
                     std::uint64_t Seed);
  ~EvacuationOperator();
  EvacuationOperator(const EvacuationOperator &) = delete;
  EvacuationOperator &operator=(const EvacuationOperator &) = delete;

  /// \returns the name of the data centre in which scripts/soak places the
  /// agent with number \p Agent.
  static std::string dataCentreOf(std::uint32_t Agent);

  /// Checks a new flow that the upstream of agent \p Agent got, whose caller
  /// sent the opening to the entry hosts \p Entries.
  void checkOpening(std::uint32_t Agent,
                    const std::set<std::uint32_t> &Entries);

  /// Ends the orders and checks the state at the control hosts.
  EvacuationTotals finish();

private:
  using Clock = std::chrono::steady_clock;

  void run();
  /// Sends an order until it is acknowledged. \returns the names of the
  /// evacuated data centres from the acknowledgement, or nothing without one.
  std::optional<std::set<std::string>> order(const std::string &Method,
                                             const std::string &DataCentre);
  /// Waits, unless the run ends. \returns whether it goes on.
  bool wait(std::chrono::milliseconds Duration);
  bool wasSignalled(const std::set<std::string> &Hosts) const;

  std::vector<Endpoint> Controls;
  std::string SignalsFile;
  std::mt19937_64 Random;
  /// Guards Evacuated and AcknowledgedAt.
  std::mutex Mutex;
  /// The data centre whose evacuation is acknowledged and not being withdrawn.
  std::optional<std::string> Evacuated;
  Clock::time_point AcknowledgedAt{};
  /// The state after the last order; nothing while that isn't acknowledged.
  std::optional<std::set<std::string>> Expected = std::set<std::string>{};
  EvacuationTotals Totals;
  std::atomic<bool> StopRequested{false};
  std::thread OrdersThread;
};

} // namespace jasminearch::standins

#endif // JASMINEARCH_STANDINS_LIB_EVACUATION_OPERATOR_H
