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

/// Measures the entry host's relay on loopback sockets and its routing
/// snapshots. Prints one JSON object a line.
namespace {

using Json = nlohmann::ordered_json;
using Steady = std::chrono::steady_clock;

constexpr std::uint32_t Loopback = 0x7F000001;
constexpr Endpoint ServiceAddress{0x7F000A01, 5683};
constexpr std::size_t PayloadBytes = 100;
constexpr int Repetitions = 9;
/// Rounds of the relay comparison, and what one round relays: fills of a
/// receive buffer, each small enough for the system's default limit.
constexpr int RelayRounds = 41;
constexpr int FillsPerRound = 40;
constexpr std::size_t BatchesPerFill = 4;
constexpr double TargetRatio = 0.7;
constexpr double TargetMemoryRatio = 1.05;

double seconds(Steady::duration Span) {
  return std::chrono::duration<double>(Span).count();
}

/// \returns processor time of the calling thread in seconds.
double threadSeconds() {
  timespec Used{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &Used);
  return static_cast<double>(Used.tv_sec) +
         static_cast<double>(Used.tv_nsec) * 1e-9;
}

double median(std::vector<double> Values) {
  std::sort(Values.begin(), Values.end());
  return Values[Values.size() / 2];
}

/// \returns heap bytes in use.
std::size_t heapBytes() {
  const auto Info = mallinfo2();
  return Info.uordblks + Info.hblkhd;
}

/// \returns resident bytes of this process.
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

Endpoint callerAt(std::uint32_t Number) {
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

/// Sends datagrams of changing callers, either as the fabric does or as agents
/// do.
class Blaster {
public:
  Blaster(bool AsFabric, std::uint32_t Callers)
      : AsFabric(AsFabric), Callers(Callers) {}

  /// Sends one full batch to \p To.
  void send(const Endpoint &To) {
    while (!Out.full())
      Out.add(write(Out.next(), callerAt(Next++ % Callers)), To);
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
    std::uint8_t Head[wire::ProxyHeaderBytes];
    wire::encodeProxyHeader({Caller, ServiceAddress}, Head);
    std::copy(std::begin(Head), std::end(Head), To.begin());
    std::copy(Payload.begin(), Payload.end(), To.begin() + sizeof(Head));
    return sizeof(Head) + Payload.size();
  }

  bool AsFabric;
  std::uint32_t Callers;
  std::uint32_t Next = 0;
  Bytes Payload = Bytes(PayloadBytes, 0x55);
  net::UdpSocket Socket = openSocket();
  net::SendBatch Out;
};

/// Sockets and relays of one entry host, and a sink for what it sends.
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

  /// Receives a batch and sends it unchanged.
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

struct RoundResult {
  double PerSecond = 0;
  double ProcessorNanoseconds = 0;
};

/// Takes everything that waits at a socket.
void drain(const net::UdpSocket &Socket, net::ReceiveBatch &In) {
  pollfd Waiting{Socket.descriptor(), POLLIN, 0};
  while (poll(&Waiting, 1, 0) > 0)
    In.receive(Socket);
}

/// Relays FillsPerRound times what a receive buffer holds. Only the relay's own
/// work is timed, not the filling and the draining: so neither a slow sender
/// nor another process can make the relay wait.
RoundResult relayRound(Bench &B, Path Which, Blaster &Source) {
  const auto Step = [&] {
    if (Which == Path::Bare)
      return B.bareBatch();
    return Which == Path::Forward ? B.Relay.forwardBatch()
                                  : B.Relay.answerBatch();
  };
  std::uint64_t Relayed = 0;
  double Wall = 0;
  double Used = 0;
  for (int Fill = 0; Fill < FillsPerRound; ++Fill) {
    for (std::size_t I = 0; I < BatchesPerFill; ++I)
      Source.send(net::localEndpoint(B.From));
    const double UsedBefore = threadSeconds();
    const auto Start = Steady::now();
    for (std::size_t Left = BatchesPerFill * net::BatchSize; Left > 0;) {
      const std::size_t Done = Step();
      Left -= Done;
      Relayed += Done;
    }
    Wall += seconds(Steady::now() - Start);
    Used += threadSeconds() - UsedBefore;
    drain(B.Sink, B.BareIn);
  }
  const auto Count = static_cast<double>(Relayed);
  return {Count / Wall, Used / Count * 1e9};
}

/// Compares one direction with a bare relay of the same datagrams.
void benchRelay(Path Which, const char *Name) {
  Bench B;
  Blaster Source(Which == Path::Forward, 100'000);
  std::vector<double> Bare;
  std::vector<double> Entry;
  std::vector<double> Ratios;
  std::vector<double> BareProcessor;
  std::vector<double> EntryProcessor;
  for (int I = 0; I < RelayRounds; ++I) {
    const RoundResult First = relayRound(B, Path::Bare, Source);
    const RoundResult Second = relayRound(B, Which, Source);
    Bare.push_back(First.PerSecond);
    Entry.push_back(Second.PerSecond);
    Ratios.push_back(Second.PerSecond / First.PerSecond);
    BareProcessor.push_back(First.ProcessorNanoseconds);
    EntryProcessor.push_back(Second.ProcessorNanoseconds);
  }
  const double Ratio = median(Ratios);
  const EntryCounts Counts = B.Relay.counts();
  const ServiceCounts Service = Counts.Services.at({1});
  const auto [Least, Most] = std::minmax_element(Ratios.begin(), Ratios.end());
  std::cout << Json{{"bench", "relay"},
                    {"direction", Name},
                    {"repetitions", RelayRounds},
                    {"payload_bytes", PayloadBytes},
                    {"bare_per_s", std::llround(median(Bare))},
                    {"entry_per_s", std::llround(median(Entry))},
                    {"ratio", Ratio},
                    {"ratio_min", *Least},
                    {"ratio_max", *Most},
                    {"target_ratio", TargetRatio},
                    {"met", Ratio >= TargetRatio},
                    {"bare_processor_ns", median(BareProcessor)},
                    {"entry_processor_ns", median(EntryProcessor)},
                    {"relayed", Service.Forwarded + Service.Answered},
                    {"send_failed", Counts.SendFailed}}
                   .dump()
            << std::endl;
}

/// Relays one datagram of each of \p Callers callers, batch by batch, so that
/// none is dropped. \returns resident bytes afterwards.
std::size_t residentAfter(Bench &B, std::uint32_t Callers,
                          std::uint32_t Total) {
  Blaster Source(true, Callers);
  for (std::uint32_t Sent = 0; Sent < Total; Sent += net::BatchSize) {
    Source.send(net::localEndpoint(B.From));
    for (std::size_t Taken = 0; Taken < net::BatchSize;)
      Taken += B.Relay.forwardBatch();
  }
  return residentBytes();
}

void benchCallers() {
  constexpr std::uint32_t Few = 1'000;
  constexpr std::uint32_t Many = 500'000;
  Bench B;
  const std::size_t WithFew = residentAfter(B, Few, Many);
  const std::size_t HeapFew = heapBytes();
  const std::size_t WithMany = residentAfter(B, Many, Many);
  const std::size_t HeapMany = heapBytes();
  const double Ratio =
      static_cast<double>(WithMany) / static_cast<double>(WithFew);
  std::cout << Json{{"bench", "memory_by_callers"},
                    {"few", Few},
                    {"many", Many},
                    {"resident_few", WithFew},
                    {"resident_many", WithMany},
                    {"heap_few", HeapFew},
                    {"heap_many", HeapMany},
                    {"ratio", Ratio},
                    {"target_ratio", TargetMemoryRatio},
                    {"met", Ratio <= TargetMemoryRatio},
                    {"forwarded", B.Relay.counts().Services.at({1}).Forwarded}}
                   .dump()
            << std::endl;
}

/// \returns nanoseconds of processor time to decode, decide and encode one
/// datagram without sockets.
double decisionNanoseconds(const RoutingSnapshot &Routing,
                           std::uint32_t Services) {
  constexpr std::uint32_t Datagrams = 200'000;
  Bytes In(wire::ProxyHeaderBytes + PayloadBytes);
  Bytes Out(wire::MaxDatagramBytes);
  TraceIdGenerator Traces = makeTraceIdGenerator("bench", 2);
  std::uint64_t Written = 0;
  const double Before = threadSeconds();
  for (std::uint32_t I = 0; I < Datagrams; ++I) {
    // A multiplier spreads services, so that caches don't help.
    const Endpoint To{ServiceAddress.Address + I * 2'654'435'761U % Services,
                      ServiceAddress.Port};
    std::uint8_t Head[wire::ProxyHeaderBytes];
    wire::encodeProxyHeader({callerAt(I), To}, Head);
    std::copy(std::begin(Head), std::end(Head), In.begin());
    const auto View = wire::decodeProxyHeader(In);
    const ForwardDecision Choice = decideForward(
        Routing, View->Header, {Loopback, 1}, nextTraceId(Traces));
    Written +=
        *wire::encodeFrame(Choice.Header, View->Payload, absl::MakeSpan(Out));
  }
  const double Used = threadSeconds() - Before;
  return Written > 0 ? Used / Datagrams * 1e9 : 0;
}

void benchSnapshot(std::uint32_t Services, std::uint32_t Upstreams) {
  const std::size_t HeapBefore = heapBytes();
  Configuration Config = makeConfig(Services, Upstreams);
  const std::size_t HeapConfig = heapBytes();
  std::vector<double> Full;
  std::vector<double> Change;
  std::shared_ptr<const RoutingSnapshot> First;
  std::size_t SnapshotBytes = 0;
  std::size_t ChangeBytes = 0;
  for (int I = 0; I < Repetitions; ++I) {
    First.reset();
    const std::size_t Before = heapBytes();
    const auto Start = Steady::now();
    First = *buildRoutingSnapshot(nullptr, Config);
    Full.push_back(seconds(Steady::now() - Start) * 1e3);
    SnapshotBytes = heapBytes() - Before;
    // One upstream starts to drain.
    ++Config.InForce.Number;
    Upstream &U = Config.Upstreams.at({1 + static_cast<std::uint32_t>(I)});
    U.Phase = UpstreamPhase::Draining;
    U.Changed = Config.InForce;
    const std::size_t Between = heapBytes();
    const auto Middle = Steady::now();
    const auto Second = *buildRoutingSnapshot(First, Config);
    Change.push_back(seconds(Steady::now() - Middle) * 1e3);
    ChangeBytes = heapBytes() - Between;
  }
  std::cout << Json{{"bench", "routing_snapshot"},
                    {"services", Services},
                    {"upstreams", Upstreams},
                    {"configuration_bytes", HeapConfig - HeapBefore},
                    {"snapshot_bytes", SnapshotBytes},
                    {"bytes_of_next_snapshot", ChangeBytes},
                    {"full_build_ms", median(Full)},
                    {"build_after_one_change_ms", median(Change)},
                    {"decision_ns", decisionNanoseconds(*First, Services)}}
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
