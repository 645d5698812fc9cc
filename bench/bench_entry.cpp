#include "jasminearch/control/config_model.h"
#include "jasminearch/net/datagram_batch.h"
#include "jasminearch/routing/entry_relay.h"
#include "jasminearch/wire/frame.h"
#include "jasminearch/wire/proxy_header.h"
#include <algorithm>
#include <chrono>
#include <ctime>
#include <fstream>
#include <iostream>
#include <malloc.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <string>
#include <unistd.h>

using namespace jasminearch;
using namespace jasminearch::control;
using namespace jasminearch::routing;

/// Measures the entry host's relay on loopback sockets, and its routing
/// snapshots. Prints one JSON object a line.
namespace {

using Json = nlohmann::ordered_json;
using SteadyClock = std::chrono::steady_clock;

constexpr std::uint32_t Loopback = 0x7F000001;
constexpr Endpoint ServiceAddress{0x7F000A01, 5683};
constexpr std::size_t PayloadBytes = 100;
constexpr int Repetitions = 9;
/// The relay comparison has RelayRounds rounds. Each one fills the receive
/// buffer FillsPerRound times; one fill fits into the system's default buffer
/// size, so that no datagram is dropped.
constexpr int RelayRounds = 41;
constexpr int FillsPerRound = 40;
constexpr std::size_t BatchesPerFill = 4;
constexpr double TargetRatio = 0.7;
constexpr double TargetMemoryRatio = 1.05;

double seconds(SteadyClock::duration Span) {
  return std::chrono::duration<double>(Span).count();
}

/// \returns the processor time of the calling thread in seconds.
double threadSeconds() {
  timespec CpuTime{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &CpuTime);
  return static_cast<double>(CpuTime.tv_sec) +
         static_cast<double>(CpuTime.tv_nsec) * 1e-9;
}

double median(std::vector<double> Values) {
  std::sort(Values.begin(), Values.end());
  return Values[Values.size() / 2];
}

/// \returns the heap bytes in use.
std::size_t heapBytes() {
  const auto Info = mallinfo2();
  return Info.uordblks + Info.hblkhd;
}

/// \returns the resident memory of this process in bytes.
std::size_t residentBytes() {
  std::ifstream File("/proc/self/statm");
  std::size_t Total = 0;
  std::size_t Resident = 0;
  File >> Total >> Resident;
  return Resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

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

Endpoint callerAddress(std::uint32_t Number) {
  constexpr std::uint32_t PortsPerAddress = 50'000;
  constexpr std::uint16_t FirstPort = 10'000;
  return {0x0A000000 + Number / PortsPerAddress,
          static_cast<std::uint16_t>(FirstPort + Number % PortsPerAddress)};
}

Configuration makeConfig(std::uint32_t Services, std::uint32_t Upstreams) {
  Configuration Config;
  Config.InForce = {1};
  for (std::uint32_t I = 1; I <= Services; ++I) {
    const Endpoint Address{ServiceAddress.Address + I - 1, ServiceAddress.Port};
    Config.Services[{I}] = {
        {I}, "service-" + std::to_string(I), Address, "default", {1}};
  }
  std::map<ServiceId, std::vector<UpstreamId>> Owners;
  for (std::uint32_t I = 1; I <= Upstreams; ++I) {
    Upstream U;
    U.Id = {I};
    U.Name = "upstream-" + std::to_string(I);
    U.Service = {1 + I % Services};
    U.DataCentre = "centre-" + std::to_string(I % 4);
    U.Agent = {Loopback, static_cast<std::uint16_t>(I)};
    U.Instance = {I};
    U.Phase = UpstreamPhase::Active;
    U.Changed = {1};
    Owners[U.Service].push_back(U.Id);
    Config.Upstreams[U.Id] = std::move(U);
  }
  for (const auto &[Id, Ids] : Owners) {
    BucketTable &Table = Config.Tables[Id];
    Table = {Id, std::vector<Bucket>(BucketsPerService), {1}};
    for (std::size_t I = 0; I < BucketsPerService; ++I)
      Table.Buckets[I] = {
          Ids[I % Ids.size()],
          {Ids[(I + 1) % Ids.size()], Ids[(I + 2) % Ids.size()]}};
  }
  return Config;
}

/// Sends datagrams of many callers, in the format of either the fabric or the
/// agents.
class DatagramSender {
public:
  DatagramSender(bool AsFabric, std::uint32_t Callers)
      : AsFabric(AsFabric), Callers(Callers) {}

  /// Sends one full batch to \p To.
  void send(const Endpoint &To) {
    while (!Out.full())
      Out.add(write(Out.next(), callerAddress(Next++ % Callers)), To);
    Out.flush(Socket);
  }

private:
  std::size_t write(absl::Span<std::uint8_t> To, const Endpoint &Caller) {
    if (!AsFabric) {
      wire::FrameHeader Header;
      Header.Kind = wire::FrameKind::Answer;
      Header.Service = {1};
      Header.InForce = {1};
      Header.Upstream = {3};
      Header.Caller = Caller;
      Header.ServiceAddress = ServiceAddress;
      return *wire::encodeFrame(Header, Payload, To);
    }
    std::uint8_t HeaderBuffer[wire::ProxyHeaderBytes];
    wire::encodeProxyHeader({Caller, ServiceAddress}, HeaderBuffer);
    std::copy(std::begin(HeaderBuffer), std::end(HeaderBuffer), To.begin());
    std::copy(Payload.begin(), Payload.end(),
              To.begin() + sizeof(HeaderBuffer));
    return sizeof(HeaderBuffer) + Payload.size();
  }

  bool AsFabric;
  std::uint32_t Callers;
  std::uint32_t Next = 0;
  Bytes Payload = Bytes(PayloadBytes, 0x55);
  net::UdpSocket Socket = openSocket();
  net::SendBatch Out;
};

/// Sockets and relay of one entry host, and a socket that receives what it
/// sends.
struct Bench {
  net::UdpSocket From = openSocket();
  net::UdpSocket To = openSocket();
  net::UdpSocket Sink = openSocket();
  Endpoint SinkAddress = net::localEndpoint(Sink);
  RoutingSnapshotHolder Routing;
  EntryRelay Relay{Routing,     From,
                   To,          {Loopback, 1},
                   SinkAddress, makeTraceIdGenerator("bench", 1)};
  net::ReceiveBatch BareIn;
  net::SendBatch BareOut;

  Bench() {
    Configuration Config = makeConfig(1, 7);
    for (auto &[Id, U] : Config.Upstreams)
      U.Agent = SinkAddress;
    Routing.store(*buildRoutingSnapshot(nullptr, Config));
  }

  /// Baseline: receives a batch and sends it on unchanged.
  /// \returns the number of datagrams.
  std::size_t bareBatch() {
    const std::size_t Count = BareIn.receive(From);
    for (std::size_t I = 0; I < Count; ++I) {
      const auto Datagram = BareIn.datagram(I);
      std::copy(Datagram.begin(), Datagram.end(), BareOut.next().begin());
      BareOut.add(Datagram.size(), SinkAddress);
    }
    BareOut.flush(To);
    return Count;
  }
};

enum class Path : std::uint8_t { Bare, Forward, Answer };

struct RoundMeasurement {
  double PerSecond = 0;
  double ProcessorNanoseconds = 0;
};

/// Receives and discards all datagrams that are queued at a socket.
void drainSocket(const net::UdpSocket &Socket, net::ReceiveBatch &In) {
  pollfd PollEntry{Socket.descriptor(), POLLIN, 0};
  while (poll(&PollEntry, 1, 0) > 0)
    In.receive(Socket);
}

/// Relays FillsPerRound fills of a receive buffer. Only the relay's own work is
/// timed, not filling and draining the buffers, so that neither a slow sender
/// nor another process can make the relay wait.
RoundMeasurement runRelayRound(Bench &B, Path SelectedPath,
                               DatagramSender &Source) {
  const auto Step = [&] {
    if (SelectedPath == Path::Bare)
      return B.bareBatch();
    return SelectedPath == Path::Forward ? B.Relay.forwardBatch()
                                         : B.Relay.answerBatch();
  };
  std::uint64_t Relayed = 0;
  double WallSeconds = 0;
  double ProcessorSeconds = 0;
  for (int FillIndex = 0; FillIndex < FillsPerRound; ++FillIndex) {
    for (std::size_t I = 0; I < BatchesPerFill; ++I)
      Source.send(net::localEndpoint(B.From));
    const double ProcessorSecondsBefore = threadSeconds();
    const auto Start = SteadyClock::now();
    for (std::size_t Remaining = BatchesPerFill * net::BatchSize;
         Remaining > 0;) {
      const std::size_t RelayedNow = Step();
      Remaining -= RelayedNow;
      Relayed += RelayedNow;
    }
    WallSeconds += seconds(SteadyClock::now() - Start);
    ProcessorSeconds += threadSeconds() - ProcessorSecondsBefore;
    drainSocket(B.Sink, B.BareIn);
  }
  const auto Count = static_cast<double>(Relayed);
  return {Count / WallSeconds, ProcessorSeconds / Count * 1e9};
}

/// Compares the relay in one direction with the baseline on the same datagrams.
void benchRelay(Path SelectedPath, const char *Name) {
  Bench B;
  DatagramSender Source(SelectedPath == Path::Forward, 100'000);
  std::vector<double> Bare;
  std::vector<double> Entry;
  std::vector<double> Ratios;
  std::vector<double> BareProcessor;
  std::vector<double> EntryProcessor;
  for (int I = 0; I < RelayRounds; ++I) {
    const RoundMeasurement BareResult = runRelayRound(B, Path::Bare, Source);
    const RoundMeasurement EntryResult = runRelayRound(B, SelectedPath, Source);
    Bare.push_back(BareResult.PerSecond);
    Entry.push_back(EntryResult.PerSecond);
    Ratios.push_back(EntryResult.PerSecond / BareResult.PerSecond);
    BareProcessor.push_back(BareResult.ProcessorNanoseconds);
    EntryProcessor.push_back(EntryResult.ProcessorNanoseconds);
  }
  const double Ratio = median(Ratios);
  const EntryCounts Counts = B.Relay.counts();
  const ServiceCounts Service = Counts.Services.at({1});
  const auto [MinRatio, MaxRatio] =
      std::minmax_element(Ratios.begin(), Ratios.end());
  std::cout << Json{{"bench", "relay"},
                    {"direction", Name},
                    {"repetitions", RelayRounds},
                    {"payload_bytes", PayloadBytes},
                    {"bare_per_s", std::llround(median(Bare))},
                    {"entry_per_s", std::llround(median(Entry))},
                    {"ratio", Ratio},
                    {"ratio_min", *MinRatio},
                    {"ratio_max", *MaxRatio},
                    {"target_ratio", TargetRatio},
                    {"met", Ratio >= TargetRatio},
                    {"bare_processor_ns", median(BareProcessor)},
                    {"entry_processor_ns", median(EntryProcessor)},
                    {"relayed", Service.Forwarded + Service.Answered},
                    {"send_failed", Counts.SendFailed}}
                   .dump()
            << std::endl;
}

/// Relays \p Total datagrams of \p Callers different callers, batch by batch so
/// that none is dropped.
/// \returns the resident memory afterwards in bytes.
std::size_t residentBytesAfterRelaying(Bench &B, std::uint32_t Callers,
                                       std::uint32_t Total) {
  DatagramSender Source(true, Callers);
  for (std::uint32_t Sent = 0; Sent < Total; Sent += net::BatchSize) {
    Source.send(net::localEndpoint(B.From));
    for (std::size_t ForwardedCount = 0; ForwardedCount < net::BatchSize;)
      ForwardedCount += B.Relay.forwardBatch();
  }
  return residentBytes();
}

void benchCallers() {
  constexpr std::uint32_t FewCallers = 1'000;
  constexpr std::uint32_t ManyCallers = 500'000;
  Bench B;
  const std::size_t ResidentWithFew =
      residentBytesAfterRelaying(B, FewCallers, ManyCallers);
  const std::size_t HeapFew = heapBytes();
  const std::size_t ResidentWithMany =
      residentBytesAfterRelaying(B, ManyCallers, ManyCallers);
  const std::size_t HeapMany = heapBytes();
  const double Ratio = static_cast<double>(ResidentWithMany) /
                       static_cast<double>(ResidentWithFew);
  std::cout << Json{{"bench", "memory_by_callers"},
                    {"few", FewCallers},
                    {"many", ManyCallers},
                    {"resident_few", ResidentWithFew},
                    {"resident_many", ResidentWithMany},
                    {"heap_few", HeapFew},
                    {"heap_many", HeapMany},
                    {"ratio", Ratio},
                    {"target_ratio", TargetMemoryRatio},
                    {"met", Ratio <= TargetMemoryRatio},
                    {"forwarded", B.Relay.counts().Services.at({1}).Forwarded}}
                   .dump()
            << std::endl;
}

/// \returns the processor time in nanoseconds to decode, route and encode one
/// datagram without sockets.
double decisionNanoseconds(const RoutingSnapshot &Routing,
                           std::uint32_t Services) {
  constexpr std::uint32_t Datagrams = 200'000;
  Bytes In(wire::ProxyHeaderBytes + PayloadBytes);
  Bytes Out(wire::MaxDatagramBytes);
  TraceIdGenerator TraceIds = makeTraceIdGenerator("bench", 2);
  std::uint64_t Written = 0;
  const double Before = threadSeconds();
  for (std::uint32_t I = 0; I < Datagrams; ++I) {
    // Multiplying by a large constant visits the services in scattered order,
    // so that processor caches don't help.
    const Endpoint To{ServiceAddress.Address + I * 2'654'435'761U % Services,
                      ServiceAddress.Port};
    std::uint8_t HeaderBuffer[wire::ProxyHeaderBytes];
    wire::encodeProxyHeader({callerAddress(I), To}, HeaderBuffer);
    std::copy(std::begin(HeaderBuffer), std::end(HeaderBuffer), In.begin());
    const auto View = wire::decodeProxyHeader(In);
    const ForwardDecision Decision = decideForward(
        Routing, View->Header, {Loopback, 1}, nextTraceId(TraceIds));
    Written +=
        *wire::encodeFrame(Decision.Header, View->Payload, absl::MakeSpan(Out));
  }
  const double ProcessorSeconds = threadSeconds() - Before;
  return Written > 0 ? ProcessorSeconds / Datagrams * 1e9 : 0;
}

void benchSnapshot(std::uint32_t Services, std::uint32_t Upstreams) {
  const std::size_t HeapBefore = heapBytes();
  Configuration Config = makeConfig(Services, Upstreams);
  const std::size_t HeapConfig = heapBytes();
  std::vector<double> Full;
  std::vector<double> Change;
  std::shared_ptr<const RoutingSnapshot> FullSnapshot;
  std::size_t SnapshotBytes = 0;
  std::size_t ChangeBytes = 0;
  for (int I = 0; I < Repetitions; ++I) {
    FullSnapshot.reset();
    const std::size_t HeapBeforeBuild = heapBytes();
    const auto Start = SteadyClock::now();
    FullSnapshot = *buildRoutingSnapshot(nullptr, Config);
    Full.push_back(seconds(SteadyClock::now() - Start) * 1e3);
    SnapshotBytes = heapBytes() - HeapBeforeBuild;
    // The next build follows the drain of one upstream.
    ++Config.InForce.Number;
    Upstream &U = Config.Upstreams.at({1 + static_cast<std::uint32_t>(I)});
    U.Phase = UpstreamPhase::Draining;
    U.Changed = Config.InForce;
    const std::size_t HeapBeforeChange = heapBytes();
    const auto ChangeStart = SteadyClock::now();
    const auto ChangedSnapshot = *buildRoutingSnapshot(FullSnapshot, Config);
    Change.push_back(seconds(SteadyClock::now() - ChangeStart) * 1e3);
    ChangeBytes = heapBytes() - HeapBeforeChange;
  }
  std::cout << Json{{"bench", "routing_snapshot"},
                    {"services", Services},
                    {"upstreams", Upstreams},
                    {"configuration_bytes", HeapConfig - HeapBefore},
                    {"snapshot_bytes", SnapshotBytes},
                    {"bytes_of_next_snapshot", ChangeBytes},
                    {"full_build_ms", median(Full)},
                    {"build_after_one_change_ms", median(Change)},
                    {"decision_ns",
                     decisionNanoseconds(*FullSnapshot, Services)}}
                   .dump()
            << std::endl;
}

} // namespace

int main() {
  constexpr std::pair<std::uint32_t, std::uint32_t> Sizes[] = {
      {2, 14}, {44, 300}, {440, 3'000}, {2'200, 15'000}, {4'400, 30'000}};
  benchCallers();
  benchRelay(Path::Forward, "forward");
  benchRelay(Path::Answer, "answer");
  for (const auto &[Services, Upstreams] : Sizes)
    benchSnapshot(Services, Upstreams);
  return 0;
}
