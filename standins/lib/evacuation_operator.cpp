#include "standins/lib/evacuation_operator.h"
#include "standins/http_call.h"
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

namespace jasminearch::standins {

namespace {

using std::chrono::milliseconds;

/// From the acknowledgement until no opening reaches an upstream (evacuation_ms
/// of the specification); also how long a signal excuses an opening.
constexpr milliseconds EvacuationBound{5000};

/// An order is acknowledged within this time if there is a quorum (ack_ms).
constexpr milliseconds AcknowledgementBound{6000};

/// Between the calls of an order.
constexpr milliseconds RetryPause{100};

/// Shortest times without and with an evacuation; the longest are twice as
/// long. The time without is longer than a host is paused, because a paused
/// leader may read an earlier order afterwards (docs/design/evacuation.md).
constexpr milliseconds MinPause{2500};
constexpr milliseconds MinEvacuation{7000};

/// A data centre without agents that is never evacuated. Its withdrawal changes
/// nothing and is answered with the state.
constexpr const char *OtherDataCentre = "z3";

milliseconds randomTime(std::mt19937_64 &Random, milliseconds Min) {
  return Min + milliseconds(Random() % Min.count());
}

std::int64_t wallClockMilliseconds() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

} // namespace

EvacuationOperator::EvacuationOperator(std::vector<Endpoint> Controls,
                                       std::string SignalsFile,
                                       std::uint64_t Seed)
    : Controls(std::move(Controls)), SignalsFile(std::move(SignalsFile)),
      Random(Seed), OrdersThread([this] { run(); }) {}

EvacuationOperator::~EvacuationOperator() {
  StopRequested = true;
  if (OrdersThread.joinable())
    OrdersThread.join();
}

std::string EvacuationOperator::dataCentreOf(std::uint32_t Agent) {
  // Both services have upstreams in both data centres; see Upstream::Service.
  return absl::StrCat("z", Agent / 2 % 2 + 1);
}

void EvacuationOperator::checkOpening(std::uint32_t Agent,
                                      const std::set<std::uint32_t> &Entries) {
  const std::lock_guard<std::mutex> LockGuard(Mutex);
  if (!Evacuated || Clock::now() - AcknowledgedAt < EvacuationBound)
    return;
  std::set<std::string> Hosts = {absl::StrCat("a", Agent)};
  for (std::size_t I = 1; I <= Controls.size(); ++I)
    Hosts.insert(absl::StrCat("c", I));
  for (const std::uint32_t Entry : Entries)
    Hosts.insert(absl::StrCat("e", Entry));
  const bool Signalled = wasSignalled(Hosts);
  if (dataCentreOf(Agent) != *Evacuated) {
    Totals.OpenedElsewhere += Signalled ? 0 : 1;
    return;
  }
  ++(Signalled ? Totals.LateAfterSignals : Totals.Late);
  std::cerr << (Signalled ? "late opening after signals: a" : "late opening: a")
            << Agent << " in " << *Evacuated << " at "
            << wallClockMilliseconds() << " ms, "
            << (Clock::now() - AcknowledgedAt) / milliseconds(1)
            << " ms after the acknowledgement\n";
}

bool EvacuationOperator::wasSignalled(
    const std::set<std::string> &Hosts) const {
  const std::int64_t Since = wallClockMilliseconds() - EvacuationBound.count();
  std::ifstream Signals(SignalsFile);
  std::int64_t Time = 0;
  std::string Host;
  while (Signals >> Time >> Host)
    if (Time >= Since && Hosts.contains(Host))
      return true;
  return false;
}

bool EvacuationOperator::wait(milliseconds Duration) {
  const auto End = Clock::now() + Duration;
  while (!StopRequested && Clock::now() < End)
    std::this_thread::sleep_for(milliseconds(20));
  return !StopRequested;
}

std::optional<std::set<std::string>>
EvacuationOperator::order(const std::string &Method,
                          const std::string &DataCentre) {
  const auto SentAt = Clock::now();
  std::size_t Control = Random() % Controls.size();
  bool IsLate = false;
  for (;;) {
    const auto Response = sendHttpRequest(Method, Controls[Control],
                                          "/evacuate/" + DataCentre, "");
    IsLate = Clock::now() - SentAt > AcknowledgementBound;
    if (Response && Response->Status == 200) {
      ++(IsLate ? Totals.Unacknowledged : Totals.Acknowledged);
      const auto State = nlohmann::json::parse(Response->Body);
      return State.at("data_centres").get<std::set<std::string>>();
    }
    // An order that the end of the run interrupts is sent until it is late.
    if (IsLate && StopRequested)
      break;
    Control = (Control + 1) % Controls.size();
    std::this_thread::sleep_for(RetryPause);
  }
  ++Totals.Unacknowledged;
  return std::nullopt;
}

void EvacuationOperator::run() {
  while (wait(randomTime(Random, MinPause))) {
    const std::string DataCentre =
        dataCentreOf(static_cast<std::uint32_t>(Random() % 4));
    Expected.reset();
    if (!order("POST", DataCentre))
      return;
    Expected = {DataCentre};
    {
      const std::lock_guard<std::mutex> LockGuard(Mutex);
      Evacuated = DataCentre;
      AcknowledgedAt = Clock::now();
    }
    if (!wait(randomTime(Random, MinEvacuation)))
      return;
    {
      const std::lock_guard<std::mutex> LockGuard(Mutex);
      Evacuated.reset();
    }
    Expected.reset();
    if (!order("DELETE", DataCentre))
      return;
    Expected = std::set<std::string>{};
  }
}

EvacuationTotals EvacuationOperator::finish() {
  StopRequested = true;
  OrdersThread.join();
  const auto State = order("DELETE", OtherDataCentre);
  if (Expected && State && *State != *Expected) {
    Totals.Lost = 1;
    std::cerr << "evacuated at the end: " << nlohmann::json(*State)
              << ", acknowledged: " << nlohmann::json(*Expected) << '\n';
  }
  return Totals;
}

} // namespace jasminearch::standins
