#include "jasminearch/net/datagram_batch.h"
#include "standins/lib/fabric_loop.h"
#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstring>
#include <iostream>
#include <nlohmann/json.hpp>
#include <thread>
#include <vector>

using namespace jasminearch;
using namespace standins;

/// Measures the fabric stand-in: the precision of its delays and its
/// throughput. Prints one JSON object a line.
namespace {

using Json = nlohmann::ordered_json;
using SteadyClock = std::chrono::steady_clock;

constexpr std::uint32_t Loopback = 0x7F000001;
constexpr std::uint64_t DatagramsPerSecond = 20'000;
constexpr std::chrono::seconds PacedDuration{3};
constexpr std::chrono::milliseconds FloodDuration{1'000};
constexpr std::chrono::milliseconds Delay{2};
constexpr double TargetMicroseconds = 100;

net::UdpSocket openSocket() {
  net::UdpOptions Options;
  Options.ReceiveTimeout = std::chrono::milliseconds{50};
  auto Socket = net::bindUdp({Loopback, 0}, Options);
  if (!Socket) {
    std::cerr << toString(Socket.error()) << '\n';
    std::exit(1);
  }
  return std::move(*Socket);
}

std::int64_t nanoseconds() {
  return std::chrono::nanoseconds(SteadyClock::now().time_since_epoch())
      .count();
}

/// Sends \p Batch datagrams to \p To in one call, each with its send time.
void sendTimestamps(net::SendBatch &Outgoing,
                    const net::UdpSocket &SendingSocket, const Endpoint &To,
                    std::size_t Batch) {
  for (std::size_t I = 0; I < Batch; ++I) {
    const std::int64_t Timestamp = nanoseconds();
    std::memcpy(Outgoing.next().data(), &Timestamp, sizeof(Timestamp));
    Outgoing.add(sizeof(Timestamp), To);
  }
  Outgoing.flush(SendingSocket);
}

/// Receives datagrams until \p StopRequested is set. The send time is at the
/// end of each datagram, after the PROXY header.
/// \returns the transit times in nanoseconds, sorted.
std::vector<std::int64_t>
receiveTimestamps(const net::UdpSocket &ReceivingSocket,
                  const std::atomic<bool> &StopRequested) {
  std::vector<std::int64_t> TransitTimes;
  TransitTimes.reserve(1U << 20U);
  net::ReceiveBatch Incoming;
  while (!StopRequested) {
    const std::size_t Count = Incoming.receive(ReceivingSocket);
    const std::int64_t Now = nanoseconds();
    for (std::size_t I = 0; I < Count; ++I) {
      const auto Datagram = Incoming.datagram(I);
      std::int64_t Timestamp = 0;
      std::memcpy(&Timestamp,
                  Datagram.data() + Datagram.size() - sizeof(Timestamp),
                  sizeof(Timestamp));
      TransitTimes.push_back(Now - Timestamp);
    }
  }
  std::sort(TransitTimes.begin(), TransitTimes.end());
  return TransitTimes;
}

/// Sends DatagramsPerSecond to \p To at an even pace for PacedDuration.
void sendPaced(const Endpoint &To) {
  const net::UdpSocket SendingSocket = openSocket();
  net::SendBatch Outgoing;
  const auto Interval =
      std::chrono::nanoseconds(1'000'000'000 / DatagramsPerSecond);
  auto Next = SteadyClock::now();
  const auto End = Next + PacedDuration;
  while (Next < End) {
    while (SteadyClock::now() < Next) {
    }
    sendTimestamps(Outgoing, SendingSocket, To, 1);
    Next += Interval;
  }
}

void sendFlood(const Endpoint &To) {
  const net::UdpSocket SendingSocket = openSocket();
  net::SendBatch Outgoing;
  const auto End = SteadyClock::now() + FloodDuration;
  while (SteadyClock::now() < End)
    sendTimestamps(Outgoing, SendingSocket, To, net::BatchSize);
}

/// Runs \p Send while \p ReceivingSocket receives, and for 100 ms longer.
/// \returns the transit times in nanoseconds, sorted.
template <typename Sender>
std::vector<std::int64_t>
measureTransitTimes(const net::UdpSocket &ReceivingSocket, Sender Send) {
  std::atomic<bool> StopRequested{false};
  std::vector<std::int64_t> Result;
  std::thread ReceiverThread(
      [&] { Result = receiveTimestamps(ReceivingSocket, StopRequested); });
  Send();
  std::this_thread::sleep_for(std::chrono::milliseconds{100});
  StopRequested = true;
  ReceiverThread.join();
  return Result;
}

double excessMicroseconds(const std::vector<std::int64_t> &Sorted, double Share,
                          SteadyClock::duration Expected) {
  if (Sorted.empty())
    return -1;
  const auto Index =
      static_cast<std::size_t>(Share * static_cast<double>(Sorted.size() - 1));
  return static_cast<double>(Sorted[Index] - Expected.count()) / 1e3;
}

void report(const char *Name, const std::vector<std::int64_t> &Sorted,
            SteadyClock::duration Expected, const std::string &Counts) {
  const auto Sent = PacedDuration.count() * DatagramsPerSecond;
  const double Median = excessMicroseconds(Sorted, 0.5, Expected);
  std::cout << Json{{"bench", Name},
                    {"per_s", DatagramsPerSecond},
                    {"sent", Sent},
                    {"received", Sorted.size()},
                    {"off_us_p01", excessMicroseconds(Sorted, 0.01, Expected)},
                    {"off_us_p50", Median},
                    {"off_us_p90", excessMicroseconds(Sorted, 0.9, Expected)},
                    {"off_us_p99", excessMicroseconds(Sorted, 0.99, Expected)},
                    {"off_us_max", excessMicroseconds(Sorted, 1, Expected)},
                    {"target_us", TargetMicroseconds},
                    {"median_met", Median >= 0 && Median <= TargetMicroseconds},
                    {"counts", Counts.empty() ? Json() : Json::parse(Counts)}}
                   .dump()
            << std::endl;
}

/// A fabric with one entry host, on its own thread.
struct FabricFixture {
  net::UdpSocket Entry = openSocket();
  Expected<FabricLoop> Loop;
  std::atomic<bool> StopRequested{false};
  std::thread FabricThread;

  explicit FabricFixture(Duration OneWayDelay) : Loop(open(OneWayDelay)) {
    FabricThread = std::thread([this] { Loop->run(StopRequested); });
  }

  Expected<FabricLoop> open(Duration OneWayDelay) {
    FabricState InitialState;
    InitialState.Faults.Delay = OneWayDelay;
    InitialState.Entries = {{net::localEndpoint(Entry)}};
    return FabricLoop::open({{{Loopback, 0}}, {Loopback, 0}, {Loopback, 0}},
                            InitialState);
  }

  std::string finish() {
    StopRequested = true;
    FabricThread.join();
    return toJson(Loop->counts());
  }
};

void benchPrecision() {
  const net::UdpSocket DirectSocket = openSocket();
  const auto DirectTransitTimes = measureTransitTimes(
      DirectSocket, [&] { sendPaced(net::localEndpoint(DirectSocket)); });
  report("loopback_without_fabric", DirectTransitTimes, {}, "");
  FabricFixture Fabric(Delay);
  const auto DelayedTransitTimes = measureTransitTimes(
      Fabric.Entry, [&] { sendPaced(Fabric.Loop->addresses().Services[0]); });
  report("fabric_delay", DelayedTransitTimes, Delay, Fabric.finish());
}

void benchCapacity() {
  FabricFixture Fabric(Delay);
  const auto TransitTimes = measureTransitTimes(
      Fabric.Entry, [&] { sendFlood(Fabric.Loop->addresses().Services[0]); });
  const auto PerSecond = static_cast<double>(TransitTimes.size()) /
                         std::chrono::duration<double>(FloodDuration).count();
  std::cout << Json{{"bench", "fabric_capacity"},
                    {"received_per_s", PerSecond},
                    {"target_per_s", DatagramsPerSecond},
                    {"met", PerSecond >= DatagramsPerSecond},
                    {"counts", Json::parse(Fabric.finish())}}
                   .dump()
            << std::endl;
}

} // namespace

int main() {
  benchPrecision();
  benchCapacity();
  return 0;
}
