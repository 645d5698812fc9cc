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

/// Measures the fabric stand-in: how precise its delays are and how many
/// datagrams it carries. Prints one JSON object a line.
namespace {

using Json = nlohmann::ordered_json;
using Steady = std::chrono::steady_clock;

constexpr std::uint32_t Loopback = 0x7F000001;
constexpr std::uint64_t DatagramsPerSecond = 20'000;
constexpr std::chrono::seconds PacedTime{3};
constexpr std::chrono::milliseconds FloodTime{1'000};
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
  return std::chrono::nanoseconds(Steady::now().time_since_epoch()).count();
}

/// Sends the time of sending to \p To, \p Batch datagrams a call.
void sendStamps(net::SendBatch &Out, const net::UdpSocket &From,
                const Endpoint &To, std::size_t Batch) {
  for (std::size_t I = 0; I < Batch; ++I) {
    const std::int64_t Stamp = nanoseconds();
    std::memcpy(Out.next().data(), &Stamp, sizeof(Stamp));
    Out.add(sizeof(Stamp), To);
  }
  Out.flush(From);
}

/// Receives until told to stop and keeps the time each datagram was on its way.
/// The stamp is the last part of the datagram.
std::vector<std::int64_t> takeStamps(const net::UdpSocket &At,
                                     const std::atomic<bool> &Stop) {
  std::vector<std::int64_t> Taken;
  Taken.reserve(1U << 20U);
  net::ReceiveBatch In;
  while (!Stop) {
    const std::size_t Count = In.receive(At);
    const std::int64_t Now = nanoseconds();
    for (std::size_t I = 0; I < Count; ++I) {
      const auto Datagram = In.datagram(I);
      std::int64_t Stamp = 0;
      std::memcpy(&Stamp, Datagram.data() + Datagram.size() - sizeof(Stamp),
                  sizeof(Stamp));
      Taken.push_back(Now - Stamp);
    }
  }
  std::sort(Taken.begin(), Taken.end());
  return Taken;
}

/// Sends at an even pace to \p To for PacedTime.
void sendPaced(const Endpoint &To) {
  const net::UdpSocket From = openSocket();
  net::SendBatch Out;
  const auto Gap = std::chrono::nanoseconds(1'000'000'000 / DatagramsPerSecond);
  auto Next = Steady::now();
  const auto End = Next + PacedTime;
  while (Next < End) {
    while (Steady::now() < Next) {
    }
    sendStamps(Out, From, To, 1);
    Next += Gap;
  }
}

void sendFlood(const Endpoint &To) {
  const net::UdpSocket From = openSocket();
  net::SendBatch Out;
  const auto End = Steady::now() + FloodTime;
  while (Steady::now() < End)
    sendStamps(Out, From, To, net::BatchSize);
}

/// Runs \p Send against \p To while datagrams are taken at \p At.
template <typename Sender>
std::vector<std::int64_t> measure(const net::UdpSocket &At, Sender Send) {
  std::atomic<bool> Stop{false};
  std::vector<std::int64_t> Result;
  std::thread Taker([&] { Result = takeStamps(At, Stop); });
  Send();
  std::this_thread::sleep_for(std::chrono::milliseconds{100});
  Stop = true;
  Taker.join();
  return Result;
}

double microsecondsAt(const std::vector<std::int64_t> &Sorted, double Share,
                      Steady::duration Expected) {
  if (Sorted.empty())
    return -1;
  const auto Index =
      static_cast<std::size_t>(Share * static_cast<double>(Sorted.size() - 1));
  return static_cast<double>(Sorted[Index] - Expected.count()) / 1e3;
}

void report(const char *Name, const std::vector<std::int64_t> &Sorted,
            Steady::duration Expected, const std::string &Counts) {
  const auto Sent = PacedTime.count() * DatagramsPerSecond;
  const double Median = microsecondsAt(Sorted, 0.5, Expected);
  std::cout << Json{{"bench", Name},
                    {"per_s", DatagramsPerSecond},
                    {"sent", Sent},
                    {"received", Sorted.size()},
                    {"off_us_p01", microsecondsAt(Sorted, 0.01, Expected)},
                    {"off_us_p50", Median},
                    {"off_us_p90", microsecondsAt(Sorted, 0.9, Expected)},
                    {"off_us_p99", microsecondsAt(Sorted, 0.99, Expected)},
                    {"off_us_max", microsecondsAt(Sorted, 1, Expected)},
                    {"target_us", TargetMicroseconds},
                    {"median_met", Median >= 0 && Median <= TargetMicroseconds},
                    {"counts", Counts.empty() ? Json() : Json::parse(Counts)}}
                   .dump()
            << std::endl;
}

/// A fabric in front of one entry host, served by a thread of its own.
struct Served {
  net::UdpSocket Entry = openSocket();
  Expected<FabricLoop> Loop;
  std::atomic<bool> Stop{false};
  std::thread Serving;

  explicit Served(Duration OneWay) : Loop(open(OneWay)) {
    Serving = std::thread([this] { Loop->run(Stop); });
  }

  Expected<FabricLoop> open(Duration OneWay) {
    FabricState Start;
    Start.Faults.Delay = OneWay;
    Start.Entries = {{net::localEndpoint(Entry)}};
    return FabricLoop::open({{{Loopback, 0}}, {Loopback, 0}, {Loopback, 0}},
                            Start);
  }

  std::string finish() {
    Stop = true;
    Serving.join();
    return toJson(Loop->counts());
  }
};

void benchPrecision() {
  const net::UdpSocket Plain = openSocket();
  const auto Direct =
      measure(Plain, [&] { sendPaced(net::localEndpoint(Plain)); });
  report("loopback_without_fabric", Direct, {}, "");
  Served Fabric(Delay);
  const auto Delayed = measure(
      Fabric.Entry, [&] { sendPaced(Fabric.Loop->addresses().Services[0]); });
  report("fabric_delay", Delayed, Delay, Fabric.finish());
}

void benchCapacity() {
  Served Fabric(Delay);
  const auto Taken = measure(
      Fabric.Entry, [&] { sendFlood(Fabric.Loop->addresses().Services[0]); });
  const auto PerSecond = static_cast<double>(Taken.size()) /
                         std::chrono::duration<double>(FloodTime).count();
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
