#include "standins/http_call.h"
#include "standins/lib/evacuation_operator.h"
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <cstring>
#include <getopt.h>
#include <iostream>
#include <jasminearch/net/datagram_batch.h>
#include <jasminearch/settings.h>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <random>
#include <set>
#include <thread>
#include <xxhash.h>

/// Simulates the users' platform on loopback: routers, callers and upstreams of
/// packet flows, and an operator. Checks the promises about flows from what its
/// callers and upstreams observe. scripts/soak starts the processes under test
/// and injects the faults. The last line of output is one JSON object.
namespace {

using namespace jasminearch;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// Network addresses and ports of the deployment that scripts/soak starts.
constexpr std::uint32_t BaseAddress = 0x7F4D0000; // 127.77.0.0
constexpr std::uint32_t ControlNetwork = BaseAddress + 0x100;
constexpr std::uint32_t EntryNetwork = BaseAddress + 0x200;
constexpr std::uint32_t AgentNetwork = BaseAddress + 0x300;
constexpr std::uint32_t CallerNetwork = BaseAddress + 0x400;
constexpr std::uint16_t PacketPort = 8172;
constexpr std::uint16_t OutboundPort = 8162;
constexpr std::uint16_t UpstreamPort = 8165;
constexpr std::uint16_t ApiPort = 8166;
constexpr std::uint16_t ReadyPort = 8167;

/// Service addresses, in the order of ServiceNames.
constexpr std::array<Endpoint, 2> Services = {Endpoint{0xC6120001, 443},
                                              Endpoint{0xC6120002, 443}};
const std::array<std::string, 2> ServiceNames = {"orders", "catalogue"};

/// Timeouts and intervals of the platform's callers, upstreams and operator.
constexpr milliseconds RetransmitInterval{200};
constexpr milliseconds RequestDeadline{2500};
constexpr milliseconds OpeningTimeout{1400};
constexpr milliseconds RequestPause{30};
constexpr milliseconds HeartbeatInterval{1000};
constexpr milliseconds ReadyInterval{500};
constexpr milliseconds ChangeInterval{700};
constexpr int RequestsPerFlow = 40;

/// A reset is taken for an open flow only if its sequence number is at most
/// this far from the caller's last acknowledgement.
constexpr std::int64_t ResetWindow = 76'800;

/// Shortest time for which an upstream runs, or is down after a crash; the
/// longest is three times as long.
constexpr milliseconds MinUpstreamUptime{4000};
constexpr milliseconds MinUpstreamDowntime{150};

/// The clocks of upstreams are off by less than this.
constexpr milliseconds MaxClockError{2000};

struct Options {
  std::uint32_t Controls = 3;
  std::uint32_t Entries = 2;
  std::uint32_t Upstreams = 4;
  std::uint32_t Callers = 20;
  /// Whether upstreams crash and start again.
  bool UpstreamsRestart = true;
  std::uint64_t Seed = 1;
  /// The signals that hosts were sent; empty if nothing is evacuated.
  std::string SignalsFile;
  std::chrono::seconds RunTime{20};
};

/// Counts of one run. A count under "must be zero" that isn't zero means a
/// broken promise.
struct FlowTotals {
  std::uint64_t RequestsSent = 0;
  std::uint64_t Answered = 0;
  std::uint64_t Unanswered = 0;
  std::uint64_t FlowsOpened = 0;
  std::uint64_t Resets = 0;
  std::uint64_t Changes = 0;
  std::uint64_t UpstreamRestarts = 0;
  // Must be zero.
  std::uint64_t RanTwice = 0;
  std::uint64_t Altered = 0;
  std::uint64_t Misdelivered = 0;
  std::uint64_t LiveFlowsReset = 0;
  /// Resets that callers ignored because of their sequence numbers.
  std::uint64_t ResetsOutOfWindow = 0;
  std::uint64_t WrongAnswers = 0;
  std::uint64_t OldConfigurations = 0;
  /// Nothing if the run has no evacuations.
  std::optional<standins::EvacuationTotals> Evacuations;
};

enum Flag : std::uint8_t { Syn = 1, Returned = 2, Ack = 4, Rst = 8 };

/// A packet in the platform's format. Its checksum covers everything but the
/// tag, the padding and the Returned flag, which may change on the way.
struct Packet {
  Endpoint From;
  Endpoint To;
  std::uint8_t Flags = 0;
  std::uint32_t SequenceNumber = 0;
  std::uint32_t AcknowledgementNumber = 0;
  std::string Data;
};

constexpr std::size_t HeaderBytes = 34;
constexpr std::size_t FlagsOffset = 12;
constexpr std::size_t PaddingOffset = 13;
constexpr std::size_t TagOffset = 18;
constexpr std::size_t ChecksumOffset = 22;

void writeBigEndian(Bytes &Raw, std::size_t Offset, std::uint64_t Value,
                    std::size_t Size) {
  for (std::size_t I = 0; I < Size; ++I)
    Raw[Offset + I] = static_cast<std::uint8_t>(Value >> (8 * (Size - 1 - I)));
}

std::uint32_t readBigEndian(absl::Span<const std::uint8_t> Raw,
                            std::size_t Offset, std::size_t Size) {
  std::uint32_t Value = 0;
  for (std::size_t I = 0; I < Size; ++I)
    Value = Value << 8 | Raw[Offset + I];
  return Value;
}

std::uint32_t checksum(Bytes Raw) {
  Raw[FlagsOffset] &= static_cast<std::uint8_t>(~Returned);
  std::fill_n(Raw.begin() + PaddingOffset, 3, 0);
  std::fill_n(Raw.begin() + TagOffset, 4, 0);
  std::fill_n(Raw.begin() + ChecksumOffset, 4, 0);
  return XXH32(Raw.data(), Raw.size(), 77);
}

Bytes encode(const Packet &P) {
  Bytes Raw(HeaderBytes + P.Data.size());
  writeBigEndian(Raw, 0, P.To.Port, 2);
  writeBigEndian(Raw, 2, P.To.Address, 4);
  writeBigEndian(Raw, 6, P.From.Address, 4);
  writeBigEndian(Raw, 10, P.From.Port, 2);
  Raw[FlagsOffset] = P.Flags;
  writeBigEndian(Raw, 16, P.Data.size(), 2);
  writeBigEndian(Raw, 26, P.SequenceNumber, 4);
  writeBigEndian(Raw, 30, P.AcknowledgementNumber, 4);
  std::copy(P.Data.begin(), P.Data.end(), Raw.begin() + HeaderBytes);
  writeBigEndian(Raw, ChecksumOffset, checksum(Raw), 4);
  return Raw;
}

std::optional<Packet> decode(absl::Span<const std::uint8_t> Raw) {
  if (Raw.size() < HeaderBytes)
    return std::nullopt;
  Packet P;
  P.To = {readBigEndian(Raw, 2, 4),
          static_cast<std::uint16_t>(readBigEndian(Raw, 0, 2))};
  P.From = {readBigEndian(Raw, 6, 4),
            static_cast<std::uint16_t>(readBigEndian(Raw, 10, 2))};
  P.Flags = Raw[FlagsOffset];
  P.SequenceNumber = readBigEndian(Raw, 26, 4);
  P.AcknowledgementNumber = readBigEndian(Raw, 30, 4);
  P.Data.assign(Raw.begin() + HeaderBytes, Raw.end());
  return P;
}

bool hasValidChecksum(absl::Span<const std::uint8_t> Raw) {
  return readBigEndian(Raw, ChecksumOffset, 4) ==
         checksum(Bytes(Raw.begin(), Raw.end()));
}

/// A simulated upstream with the flows that it holds, each with the sequence
/// number that it chose. Now and then it crashes and starts again.
struct Upstream {
  std::uint32_t Number = 0;
  std::size_t Service = 0;
  bool Running = true;
  /// When it crashes, or starts again.
  Clock::time_point ChangeDue{};
  /// Start time by the upstream's clock, which may be wrong, and the number of
  /// the last heartbeat. Guarded by UpstreamsMutex.
  std::int64_t StartedMilliseconds = 0;
  std::uint64_t HeartbeatNumber = 0;
  net::UdpSocket Socket;
  /// Listens at the address where the platform's upstreams answer health
  /// checks. Connections are accepted and closed at once.
  std::unique_ptr<boost::asio::ip::tcp::acceptor> HealthListener;
  std::map<Endpoint, std::uint32_t> Flows;
};

/// A simulated caller with at most one flow at a time.
struct Caller {
  net::UdpSocket Socket;
  std::uint32_t Address = 0;
  std::uint16_t Port = 1024;
  std::size_t Service = 0;
  std::uint32_t Entry = 0;
  enum { Closed, Opening, Open } FlowState = Closed;
  std::uint32_t UpstreamSequenceNumber = 0;
  int RequestsLeft = 0;
  std::string Request;
  Clock::time_point StartedAt{};
  Clock::time_point SentAt{};
  Clock::time_point NextAt{};
  std::uint32_t Transmissions = 0;
  /// Opening packets sent until the flow was open.
  std::uint32_t OpeningTransmissions = 0;
  /// The entry hosts that the packets of this flow were sent to.
  std::set<std::uint32_t> EntriesUsed;
};

class PlatformSimulation {
public:
  explicit PlatformSimulation(const Options &Settings)
      : Settings(Settings), Random(Settings.Seed) {
    for (std::uint32_t I = 1; I <= Settings.Upstreams; ++I) {
      Upstream U;
      U.Number = I;
      U.Service = I % 2;
      U.Socket = bindSocket({AgentNetwork + I, UpstreamPort});
      U.StartedMilliseconds = wallClockMilliseconds();
      U.ChangeDue = Clock::now() + randomTime(MinUpstreamUptime);
      U.HealthListener = listenTcp({AgentNetwork + I, UpstreamPort});
      Upstreams.push_back(std::move(U));
    }
    for (std::uint32_t I = 1; I <= Settings.Callers; ++I) {
      Caller C;
      C.Address = CallerNetwork + I;
      C.Service = I % 2;
      C.Socket = bindSocket({C.Address, PacketPort});
      Callers.push_back(std::move(C));
    }
    for (std::uint32_t I = 1; I <= Settings.Entries; ++I)
      ReadyEntries.insert(I);
  }

  FlowTotals run() {
    std::thread PlatformThread([this] { runPlatformCalls(); });
    while (!Configured && !StopRequested)
      std::this_thread::sleep_for(milliseconds(50));
    if (!Settings.SignalsFile.empty())
      startEvacuations();
    const auto End = Clock::now() + Settings.RunTime;
    while (Clock::now() < End)
      step();
    StopRequested = true;
    PlatformThread.join();
    if (Evacuations)
      Totals.Evacuations = Evacuations->finish();
    return Totals;
  }

private:
  static net::UdpSocket bindSocket(const Endpoint &E) {
    auto Socket = net::bindUdp(E, {});
    if (!Socket) {
      std::cerr << toString(Socket.error()) << '\n';
      std::exit(1);
    }
    return std::move(*Socket);
  }

  void startEvacuations() {
    std::vector<Endpoint> Controls;
    for (std::uint32_t I = 1; I <= Settings.Controls; ++I)
      Controls.push_back({ControlNetwork + I, ApiPort});
    Evacuations.emplace(Controls, Settings.SignalsFile, Settings.Seed);
  }

  /// Checks a new flow at an upstream against the evacuations.
  void checkOpening(const Upstream &U, std::uint32_t CallerAddress) {
    if (Evacuations)
      Evacuations->checkOpening(
          U.Number, Callers[CallerAddress - CallerNetwork - 1].EntriesUsed);
  }

  static std::int64_t wallClockMilliseconds() {
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
  }

  /// \returns a random time from \p Min to three times \p Min.
  milliseconds randomTime(milliseconds Min) {
    return Min + milliseconds(Random() % (2 * Min.count()));
  }

  /// Lets an upstream crash, or start again with a clock that is off by up to
  /// MaxClockError.
  void changeUpstream(Upstream &U) {
    U.Running = !U.Running;
    U.Flows.clear();
    if (!U.Running) {
      U.HealthListener.reset();
      U.ChangeDue = Clock::now() + randomTime(MinUpstreamDowntime);
    } else {
      U.HealthListener = listenTcp({AgentNetwork + U.Number, UpstreamPort});
      U.ChangeDue = Clock::now() + randomTime(MinUpstreamUptime);
      ++Totals.UpstreamRestarts;
    }
    const std::lock_guard<std::mutex> LockGuard(UpstreamsMutex);
    U.HeartbeatNumber = 0;
    U.StartedMilliseconds =
        U.Running ? wallClockMilliseconds() - MaxClockError.count() +
                        static_cast<std::int64_t>(Random() %
                                                  (2 * MaxClockError.count()))
                  : 0;
  }

  std::unique_ptr<boost::asio::ip::tcp::acceptor> listenTcp(const Endpoint &E) {
    using Tcp = boost::asio::ip::tcp;
    auto Acceptor = std::make_unique<Tcp::acceptor>(
        Context, Tcp::endpoint(boost::asio::ip::address_v4(E.Address), E.Port));
    Acceptor->non_blocking(true);
    return Acceptor;
  }

  /// Accepts and closes all pending connections.
  static void answerHealthChecks(Upstream &U) {
    boost::system::error_code AcceptError;
    while (!AcceptError)
      U.HealthListener->accept(AcceptError);
  }

  void send(const net::UdpSocket &From, const Endpoint &To, const Bytes &Raw) {
    const auto Buffer = Outgoing.next();
    std::memcpy(Buffer.data(), Raw.data(), Raw.size());
    Outgoing.add(Raw.size(), To);
    Outgoing.flush(From);
  }

  void step() {
    std::vector<pollfd> PollEntries;
    for (const Upstream &U : Upstreams)
      PollEntries.push_back({U.Socket.descriptor(), POLLIN, 0});
    for (const Caller &C : Callers)
      PollEntries.push_back({C.Socket.descriptor(), POLLIN, 0});
    poll(PollEntries.data(), PollEntries.size(), 5);
    for (std::size_t I = 0; I < PollEntries.size(); ++I) {
      if (PollEntries[I].revents == 0)
        continue;
      const bool IsUpstream = I < Upstreams.size();
      const net::UdpSocket &Socket = IsUpstream
                                         ? Upstreams[I].Socket
                                         : Callers[I - Upstreams.size()].Socket;
      const std::size_t Count = Incoming.receive(Socket);
      for (std::size_t K = 0; K < Count; ++K) {
        if (IsUpstream)
          handleUpstreamPacket(Upstreams[I], Incoming.datagram(K));
        else
          handleCallerPacket(Callers[I - Upstreams.size()],
                             Incoming.datagram(K));
      }
    }
    for (Upstream &U : Upstreams) {
      if (Settings.UpstreamsRestart && Clock::now() >= U.ChangeDue)
        changeUpstream(U);
      if (U.Running)
        answerHealthChecks(U);
    }
    for (Caller &C : Callers)
      advanceFlow(C);
  }

  void handleUpstreamPacket(Upstream &U, absl::Span<const std::uint8_t> Raw) {
    if (!U.Running)
      return;
    const auto P = decode(Raw);
    if (!P || !hasValidChecksum(Raw)) {
      ++Totals.Altered;
      return;
    }
    const auto Found = U.Flows.find(P->From);
    if ((P->Flags & Syn) != 0) {
      if (P->To != Services[U.Service])
        ++Totals.Misdelivered;
      if (Found == U.Flows.end()) {
        U.Flows[P->From] = static_cast<std::uint32_t>(Random());
        checkOpening(U, P->From.Address);
      }
      sendReply(U, *P, Syn | Ack, "");
      return;
    }
    const bool HoldsFlow =
        Found != U.Flows.end() && Found->second == P->AcknowledgementNumber;
    if (!HoldsFlow) {
      Bytes ReturnedPacket(Raw.begin(), Raw.end());
      ReturnedPacket[FlagsOffset] |= Returned;
      std::fill_n(ReturnedPacket.begin() + PaddingOffset, 3, 0);
      send(U.Socket, {AgentNetwork + U.Number, OutboundPort}, ReturnedPacket);
      return;
    }
    if (P->Data.empty())
      return;
    // A retransmission of a request on its own flow is the same request. The
    // same request on another flow ran twice.
    if (!ExecutedRequests.insert(P->Data).second &&
        FlowByRequest[P->Data] != P->From)
      ++Totals.RanTwice;
    FlowByRequest[P->Data] = P->From;
    sendReply(U, *P, Ack, "done " + P->Data);
  }

  void sendReply(Upstream &U, const Packet &Request, int Flags,
                 const std::string &Data) {
    Packet P;
    P.From = Request.To;
    P.To = Request.From;
    P.Flags = static_cast<std::uint8_t>(Flags);
    P.SequenceNumber = U.Flows[Request.From];
    P.Data = Data;
    send(U.Socket, {AgentNetwork + U.Number, OutboundPort}, encode(P));
  }

  bool isHeldByAnUpstream(const Caller &C) const {
    return std::any_of(Upstreams.begin(), Upstreams.end(),
                       [&C](const Upstream &U) {
                         const auto Found = U.Flows.find({C.Address, C.Port});
                         return Found != U.Flows.end() &&
                                Found->second == C.UpstreamSequenceNumber;
                       });
  }

  /// \returns whether a caller takes \p Reset for a reset of its open flow. An
  /// entry host that was paused with a copy of the opening refuses the copy
  /// when it continues; by then, another copy may have opened the flow.
  static bool isResetInWindow(const Caller &C, const Packet &Reset) {
    const auto Distance = static_cast<std::int32_t>(Reset.SequenceNumber -
                                                    C.UpstreamSequenceNumber);
    return std::abs(std::int64_t{Distance}) <= ResetWindow;
  }

  void handleCallerPacket(Caller &C, absl::Span<const std::uint8_t> Raw) {
    const auto P = decode(Raw);
    if (!P || P->To != Endpoint{C.Address, C.Port})
      return;
    if ((P->Flags & Rst) != 0) {
      ++Totals.Resets;
      if (C.FlowState == Caller::Open && !isResetInWindow(C, *P)) {
        ++Totals.ResetsOutOfWindow;
        return;
      }
      if (C.FlowState == Caller::Open && isHeldByAnUpstream(C)) {
        ++Totals.LiveFlowsReset;
        std::cerr << "live flow reset: "
                  << toString(Endpoint{C.Address, C.Port}) << " to "
                  << toString(Services[C.Service]) << " at "
                  << wallClockMilliseconds() << " ms, sequence number "
                  << P->SequenceNumber << " after acknowledgement "
                  << C.UpstreamSequenceNumber << ", opened after "
                  << C.OpeningTransmissions << " copies\n";
      }
      return close(C);
    }
    if (!hasValidChecksum(Raw)) {
      ++Totals.Altered;
      return;
    }
    if (C.FlowState == Caller::Opening && (P->Flags & Syn) != 0) {
      C.FlowState = Caller::Open;
      C.UpstreamSequenceNumber = P->SequenceNumber;
      C.OpeningTransmissions = C.Transmissions;
      ++Totals.FlowsOpened;
      C.NextAt = Clock::now();
    } else if (C.FlowState == Caller::Open && !P->Data.empty()) {
      if (P->Data != "done " + C.Request) {
        // A duplicate of an earlier answer isn't counted as wrong.
        Totals.WrongAnswers += P->Data.starts_with("done ") ? 0 : 1;
        return;
      }
      if (C.Request.empty())
        return;
      ++Totals.Answered;
      C.Request.clear();
      C.NextAt = Clock::now() + RequestPause;
      if (--C.RequestsLeft == 0)
        close(C);
    }
  }

  void close(Caller &C) {
    if (!C.Request.empty())
      ++Totals.Unanswered;
    C.Request.clear();
    C.FlowState = Caller::Closed;
    C.NextAt = Clock::now() + RequestPause;
  }

  /// Chooses an entry host as the platform's routers do: the same one as before
  /// in most cases, and another one if it isn't ready or with a chance of one
  /// in PacketsPerEntryChange. Every second caller keeps its entry host until
  /// that doesn't react any more, whether it is ready or not.
  Endpoint chooseEntry(Caller &C) {
    const std::lock_guard<std::mutex> LockGuard(ReadyEntriesMutex);
    constexpr std::uint64_t PacketsPerEntryChange = 20;
    constexpr std::uint32_t MaxTransmissionsToOneEntry = 2;
    const bool Stays = C.Address % 2 == 0 && C.Entry != 0;
    const bool Chance = Random() % PacketsPerEntryChange == 0;
    const bool ChangeEntry = Stays
                                 ? C.Transmissions >= MaxTransmissionsToOneEntry
                                 : Chance || !ReadyEntries.contains(C.Entry);
    if (ChangeEntry && !ReadyEntries.empty())
      C.Entry = *std::next(
          ReadyEntries.begin(),
          static_cast<std::ptrdiff_t>(Random() % ReadyEntries.size()));
    return {EntryNetwork + std::max<std::uint32_t>(C.Entry, 1), PacketPort};
  }

  void transmit(Caller &C) {
    Packet P;
    P.From = {C.Address, C.Port};
    P.To = Services[C.Service];
    P.Flags = C.FlowState == Caller::Opening ? Syn : Ack;
    P.AcknowledgementNumber = C.FlowState == Caller::Opening
                                  ? C.Transmissions
                                  : C.UpstreamSequenceNumber;
    if (C.FlowState == Caller::Open)
      P.Data = C.Request;
    C.SentAt = Clock::now();
    ++C.Transmissions;
    const Endpoint Entry = chooseEntry(C);
    C.EntriesUsed.insert(Entry.Address - EntryNetwork);
    send(C.Socket, Entry, encode(P));
  }

  void advanceFlow(Caller &C) {
    const auto Now = Clock::now();
    if (C.FlowState == Caller::Closed && Now >= C.NextAt) {
      C.Port = C.Port == 0xFFFF ? 1024 : C.Port + 1;
      C.FlowState = Caller::Opening;
      C.RequestsLeft = RequestsPerFlow;
      C.StartedAt = Now;
      C.Transmissions = 0;
      C.EntriesUsed.clear();
      return transmit(C);
    }
    const bool IsWaiting = C.FlowState == Caller::Opening || !C.Request.empty();
    const auto TimeLimit =
        C.FlowState == Caller::Opening ? OpeningTimeout : RequestDeadline;
    if (IsWaiting && Now - C.StartedAt >= TimeLimit)
      return close(C);
    if (IsWaiting &&
        Now - C.SentAt >= RetransmitInterval * (1 + C.Transmissions / 2))
      return transmit(C);
    if (C.FlowState != Caller::Open || IsWaiting || Now < C.NextAt)
      return;
    C.Request = absl::StrCat("r", ++LastRequest);
    C.StartedAt = Now;
    C.Transmissions = 0;
    ++Totals.RequestsSent;
    transmit(C);
  }

  // Calls of the platform, made by PlatformThread -----------------------------

  std::string makeConfiguration(std::uint64_t Version) const {
    nlohmann::json Routes = nlohmann::json::array();
    for (std::size_t I = 0; I < Services.size(); ++I)
      Routes.push_back({{"name", "r" + std::to_string(I)},
                        {"hostname", "198.18.0." + std::to_string(I + 1)},
                        {"path_prefix", "/443/"},
                        {"type", "unsafe"},
                        {"timeout_ms", 1000 + Version},
                        {"service", ServiceNames[I]}});
    return nlohmann::json{
        {"version", Version},
        {"routes", Routes},
        {"services",
         {{{"name", ServiceNames[0]}}, {{"name", ServiceNames[1]}}}},
        {"limits", {{"idle_timeout_ms", 15000}}}}
        .dump();
  }

  /// \returns the response to a call on a connection that stays open.
  std::optional<standins::HttpResponse> call(const std::string &Method,
                                             const Endpoint &Server,
                                             const std::string &Target,
                                             const std::string &Body) {
    return Connections.try_emplace(Server, Server)
        .first->second.call(Method, Target, Body);
  }

  void sendHeartbeats() {
    for (Upstream &U : Upstreams) {
      nlohmann::json Body = {
          {"service", ServiceNames[U.Service]},
          {"address",
           toString(Endpoint{AgentNetwork + U.Number, UpstreamPort})},
          {"zone", "z"},
          {"version", "v1"},
          {"concurrency_limit", 8},
          {"state", "ready"},
          {"cold_remaining_ms", 0}};
      {
        const std::lock_guard<std::mutex> LockGuard(UpstreamsMutex);
        if (U.StartedMilliseconds == 0)
          continue;
        Body["sequence"] = ++U.HeartbeatNumber;
        Body["born"] = U.StartedMilliseconds;
      }
      call("PUT", {AgentNetwork + U.Number, ApiPort},
           "/instances/i-" + std::to_string(U.Number), Body.dump());
    }
  }

  void updateReadyEntries() {
    for (std::uint32_t I = 1; I <= Settings.Entries; ++I) {
      const auto Response =
          call("GET", {EntryNetwork + I, ReadyPort}, "/ready", "");
      const std::lock_guard<std::mutex> LockGuard(ReadyEntriesMutex);
      if (Response && Response->Status == 200)
        ReadyEntries.insert(I);
      else if (ReadyEntries.size() > 1)
        ReadyEntries.erase(I);
    }
  }

  void changeAndReadConfiguration(std::uint64_t Version) {
    const Endpoint Control{
        ControlNetwork + 1 +
            static_cast<std::uint32_t>(Version % Settings.Controls),
        ApiPort};
    const auto PutResponse = standins::sendHttpRequest(
        "PUT", Control, "/config", makeConfiguration(Version));
    if (PutResponse && PutResponse->Status == 200) {
      AcknowledgedVersion = std::max(AcknowledgedVersion, Version);
      Configured = true;
      ++Totals.Changes;
    }
    const auto GetResponse =
        standins::sendHttpRequest("GET", Control, "/config", "");
    if (!GetResponse || GetResponse->Status != 200)
      return;
    const auto Document =
        nlohmann::json::parse(GetResponse->Body, nullptr, false);
    if (!Document.is_object() ||
        Document.value("version", std::uint64_t{0}) < AcknowledgedVersion)
      ++Totals.OldConfigurations;
  }

  void runPlatformCalls() {
    std::uint64_t Version = 0;
    Clock::time_point HeartbeatDue{};
    Clock::time_point ReadyDue{};
    Clock::time_point ChangeDue{};
    while (!StopRequested) {
      const auto Now = Clock::now();
      if (Now >= HeartbeatDue) {
        HeartbeatDue = Now + HeartbeatInterval;
        sendHeartbeats();
      }
      if (Now >= ReadyDue) {
        ReadyDue = Now + ReadyInterval;
        updateReadyEntries();
      }
      if (Now >= ChangeDue) {
        ChangeDue = Now + ChangeInterval;
        changeAndReadConfiguration(++Version);
      }
      std::this_thread::sleep_for(milliseconds(20));
    }
  }

  Options Settings;
  boost::asio::io_context Context;
  std::mt19937_64 Random;
  FlowTotals Totals;
  std::vector<Upstream> Upstreams;
  std::vector<Caller> Callers;
  std::set<std::string> ExecutedRequests;
  std::map<std::string, Endpoint> FlowByRequest;
  std::uint64_t LastRequest = 0;
  std::uint64_t AcknowledgedVersion = 0;
  std::optional<standins::EvacuationOperator> Evacuations;
  net::ReceiveBatch Incoming;
  net::SendBatch Outgoing;
  /// Used by PlatformThread.
  std::map<Endpoint, standins::HttpConnection> Connections;
  std::mutex UpstreamsMutex;
  std::mutex ReadyEntriesMutex;
  /// Numbers of the entry hosts that the routers send packets to. Guarded by
  /// ReadyEntriesMutex.
  std::set<std::uint32_t> ReadyEntries;
  std::atomic<bool> StopRequested{false};
  std::atomic<bool> Configured{false};
};

int printSummary(const FlowTotals &Totals) {
  std::uint64_t BrokenPromises = Totals.RanTwice + Totals.Altered +
                                 Totals.Misdelivered + Totals.LiveFlowsReset +
                                 Totals.WrongAnswers + Totals.OldConfigurations;
  nlohmann::ordered_json Summary = {
      {"asked", Totals.RequestsSent},
      {"answered", Totals.Answered},
      {"unanswered", Totals.Unanswered},
      {"flows_opened", Totals.FlowsOpened},
      {"resets", Totals.Resets},
      {"changes", Totals.Changes},
      {"upstream_restarts", Totals.UpstreamRestarts},
      {"ran_twice", Totals.RanTwice},
      {"altered", Totals.Altered},
      {"misdelivered", Totals.Misdelivered},
      {"live_flows_reset", Totals.LiveFlowsReset},
      {"resets_out_of_window", Totals.ResetsOutOfWindow},
      {"wrong_answers", Totals.WrongAnswers},
      {"old_configurations", Totals.OldConfigurations}};
  if (const auto &Evacuations = Totals.Evacuations) {
    Summary["evacuations_acknowledged"] = Evacuations->Acknowledged;
    Summary["evacuations_unacknowledged"] = Evacuations->Unacknowledged;
    Summary["evacuations_late"] = Evacuations->Late;
    Summary["evacuations_late_after_signals"] = Evacuations->LateAfterSignals;
    Summary["evacuations_opened_elsewhere"] = Evacuations->OpenedElsewhere;
    Summary["evacuations_lost"] = Evacuations->Lost;
    BrokenPromises += Evacuations->Late + Evacuations->Lost;
  }
  Summary["broken"] = BrokenPromises;
  std::cout << Summary.dump() << std::endl;
  return BrokenPromises == 0 && Totals.Answered > 0 ? 0 : 1;
}

} // namespace

int main(int Argc, char **Argv) {
  const option LongOptions[] = {
      {"controls", required_argument, nullptr, 'c'},
      {"entries", required_argument, nullptr, 'e'},
      {"upstreams", required_argument, nullptr, 'u'},
      {"callers", required_argument, nullptr, 'n'},
      {"seed", required_argument, nullptr, 's'},
      {"seconds", required_argument, nullptr, 't'},
      {"evacuations", required_argument, nullptr, 'v'},
      {"steady-upstreams", no_argument, nullptr, 'k'},
      {nullptr, 0, nullptr, 0}};
  Options Settings;
  std::uint32_t Seconds = 20;
  int Option = 0;
  while ((Option = getopt_long(Argc, Argv, "", LongOptions, nullptr)) != -1) {
    bool Parsed = false;
    if (Option == 'c')
      Parsed = absl::SimpleAtoi(optarg, &Settings.Controls);
    else if (Option == 'e')
      Parsed = absl::SimpleAtoi(optarg, &Settings.Entries);
    else if (Option == 'u')
      Parsed = absl::SimpleAtoi(optarg, &Settings.Upstreams);
    else if (Option == 'n')
      Parsed = absl::SimpleAtoi(optarg, &Settings.Callers);
    else if (Option == 's')
      Parsed = absl::SimpleAtoi(optarg, &Settings.Seed);
    else if (Option == 't')
      Parsed = absl::SimpleAtoi(optarg, &Seconds);
    else if (Option == 'v')
      Parsed = !(Settings.SignalsFile = optarg).empty();
    else if (Option == 'k')
      Parsed = !(Settings.UpstreamsRestart = false);
    if (!Parsed) {
      std::cerr << "usage: jasminearch-flows [--controls N] [--entries N] "
                   "[--upstreams N] [--callers N] [--seed N] [--seconds N] "
                   "[--steady-upstreams] [--evacuations SIGNALS_FILE]\n";
      return 2;
    }
  }
  Settings.RunTime = std::chrono::seconds(Seconds);
  return printSummary(PlatformSimulation(Settings).run());
}
