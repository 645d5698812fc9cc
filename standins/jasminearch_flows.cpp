#include "standins/http_call.h"
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

/// Stand-in for the users' platform on loopback: routers, callers and upstreams
/// of packet flows, and an operator. It checks the promises about flows from
/// what its callers and upstreams see; the processes under test and the faults
/// come from outside (scripts/soak). The last line is one JSON object.
namespace {

using namespace jasminearch;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// Addresses of the deployment that scripts/soak starts.
constexpr std::uint32_t Base = 0x7F4D0000; // 127.77.0.0
constexpr std::uint32_t ControlNet = Base + 0x100;
constexpr std::uint32_t EntryNet = Base + 0x200;
constexpr std::uint32_t AgentNet = Base + 0x300;
constexpr std::uint32_t CallerNet = Base + 0x400;
constexpr std::uint16_t PacketPort = 8172;
constexpr std::uint16_t OutboundPort = 8162;
constexpr std::uint16_t UpstreamPort = 8165;
constexpr std::uint16_t ApiPort = 8166;
constexpr std::uint16_t ReadyPort = 8167;

/// Service addresses: one a service.
constexpr std::array<Endpoint, 2> Services = {Endpoint{0xC6120001, 443},
                                              Endpoint{0xC6120002, 443}};
const std::array<std::string, 2> ServiceNames = {"orders", "catalogue"};

/// Times of the platform's callers and upstreams.
constexpr milliseconds Retransmit{200};
constexpr milliseconds Deadline{2500};
constexpr milliseconds OpeningLimit{1400};
constexpr milliseconds Pause{30};
constexpr milliseconds HeartbeatInterval{1000};
constexpr milliseconds ReadyInterval{500};
constexpr milliseconds ChangeInterval{700};
constexpr int RequestsPerFlow = 40;

struct Options {
  std::uint32_t Controls = 3;
  std::uint32_t Entries = 2;
  std::uint32_t Upstreams = 4;
  std::uint32_t Callers = 20;
  std::uint64_t Seed = 1;
  std::chrono::seconds For{20};
};

/// What the run has seen. Those under "must be zero" break a promise.
struct Tally {
  std::uint64_t Asked = 0;
  std::uint64_t Answered = 0;
  std::uint64_t Unanswered = 0;
  std::uint64_t FlowsOpened = 0;
  std::uint64_t Resets = 0;
  std::uint64_t Changes = 0;
  // Must be zero.
  std::uint64_t RanTwice = 0;
  std::uint64_t Altered = 0;
  std::uint64_t Misdelivered = 0;
  std::uint64_t LiveFlowsReset = 0;
  std::uint64_t WrongAnswers = 0;
  std::uint64_t OldConfigurations = 0;
};

enum Flag : std::uint8_t { Syn = 1, Bounced = 2, Ack = 4, Rst = 8 };

/// A packet in the platform's format; Sum covers what must not change.
struct Wire {
  Endpoint From;
  Endpoint To;
  std::uint8_t Flags = 0;
  std::uint32_t Sequence = 0;
  std::uint32_t Acknowledged = 0;
  std::string Data;
};

constexpr std::size_t HeadBytes = 34;
constexpr std::size_t FlagsAt = 12;
constexpr std::size_t PaddingAt = 13;
constexpr std::size_t EchoAt = 18;
constexpr std::size_t SumAt = 22;

void put(Bytes &Raw, std::size_t At, std::uint64_t Value, std::size_t Size) {
  for (std::size_t I = 0; I < Size; ++I)
    Raw[At + I] = static_cast<std::uint8_t>(Value >> (8 * (Size - 1 - I)));
}

std::uint32_t take(absl::Span<const std::uint8_t> Raw, std::size_t At,
                   std::size_t Size) {
  std::uint32_t Value = 0;
  for (std::size_t I = 0; I < Size; ++I)
    Value = Value << 8 | Raw[At + I];
  return Value;
}

std::uint32_t sumOf(Bytes Raw) {
  Raw[FlagsAt] &= static_cast<std::uint8_t>(~Bounced);
  std::fill_n(Raw.begin() + PaddingAt, 3, 0);
  std::fill_n(Raw.begin() + EchoAt, 4, 0);
  std::fill_n(Raw.begin() + SumAt, 4, 0);
  return XXH32(Raw.data(), Raw.size(), 77);
}

Bytes encode(const Wire &W) {
  Bytes Raw(HeadBytes + W.Data.size());
  put(Raw, 0, W.To.Port, 2);
  put(Raw, 2, W.To.Address, 4);
  put(Raw, 6, W.From.Address, 4);
  put(Raw, 10, W.From.Port, 2);
  Raw[FlagsAt] = W.Flags;
  put(Raw, 16, W.Data.size(), 2);
  put(Raw, 26, W.Sequence, 4);
  put(Raw, 30, W.Acknowledged, 4);
  std::copy(W.Data.begin(), W.Data.end(), Raw.begin() + HeadBytes);
  put(Raw, SumAt, sumOf(Raw), 4);
  return Raw;
}

std::optional<Wire> decode(absl::Span<const std::uint8_t> Raw) {
  if (Raw.size() < HeadBytes)
    return std::nullopt;
  Wire W;
  W.To = {take(Raw, 2, 4), static_cast<std::uint16_t>(take(Raw, 0, 2))};
  W.From = {take(Raw, 6, 4), static_cast<std::uint16_t>(take(Raw, 10, 2))};
  W.Flags = Raw[FlagsAt];
  W.Sequence = take(Raw, 26, 4);
  W.Acknowledged = take(Raw, 30, 4);
  W.Data.assign(Raw.begin() + HeadBytes, Raw.end());
  return W;
}

bool whole(absl::Span<const std::uint8_t> Raw) {
  return take(Raw, SumAt, 4) == sumOf(Bytes(Raw.begin(), Raw.end()));
}

/// One upstream and what it holds.
struct Upstream {
  std::uint32_t Number = 0;
  std::size_t Service = 0;
  net::UdpSocket Socket;
  /// Where the platform's upstreams answer health checks; here connections are
  /// accepted and closed.
  std::unique_ptr<boost::asio::ip::tcp::acceptor> Health;
  std::map<Endpoint, std::uint32_t> Flows;
};

/// One caller with one flow at a time.
struct Caller {
  net::UdpSocket Socket;
  std::uint32_t Address = 0;
  std::uint16_t Port = 1024;
  std::size_t Service = 0;
  std::uint32_t Entry = 0;
  enum { Closed, Opening, Open } State = Closed;
  std::uint32_t UpstreamSequence = 0;
  int RequestsLeft = 0;
  std::string Request;
  Clock::time_point Began{};
  Clock::time_point SentAt{};
  Clock::time_point NextAt{};
  std::uint32_t Copies = 0;
};

class World {
public:
  explicit World(const Options &O) : O(O), Random(O.Seed) {
    for (std::uint32_t I = 1; I <= O.Upstreams; ++I) {
      Upstream U;
      U.Number = I;
      U.Service = I % 2;
      U.Socket = bound({AgentNet + I, UpstreamPort});
      U.Health = listening({AgentNet + I, UpstreamPort});
      Upstreams.push_back(std::move(U));
    }
    for (std::uint32_t I = 1; I <= O.Callers; ++I) {
      Caller C;
      C.Address = CallerNet + I;
      C.Service = I % 2;
      C.Socket = bound({C.Address, PacketPort});
      Callers.push_back(std::move(C));
    }
    for (std::uint32_t I = 1; I <= O.Entries; ++I)
      Ready.insert(I);
  }

  Tally run() {
    std::thread Helper([this] { callPlatform(); });
    while (!Configured && !Stop)
      std::this_thread::sleep_for(milliseconds(50));
    const auto End = Clock::now() + O.For;
    while (Clock::now() < End)
      step();
    Stop = true;
    Helper.join();
    return T;
  }

private:
  static net::UdpSocket bound(const Endpoint &E) {
    auto Socket = net::bindUdp(E, {});
    if (!Socket) {
      std::cerr << toString(Socket.error()) << '\n';
      std::exit(1);
    }
    return std::move(*Socket);
  }

  std::unique_ptr<boost::asio::ip::tcp::acceptor> listening(const Endpoint &E) {
    using Tcp = boost::asio::ip::tcp;
    auto Acceptor = std::make_unique<Tcp::acceptor>(
        Context, Tcp::endpoint(boost::asio::ip::address_v4(E.Address), E.Port));
    Acceptor->non_blocking(true);
    return Acceptor;
  }

  /// Accepts and closes the connections that wait.
  static void answerHealthChecks(Upstream &U) {
    boost::system::error_code Failed;
    while (!Failed)
      U.Health->accept(Failed);
  }

  void send(const net::UdpSocket &From, const Endpoint &To, const Bytes &Raw) {
    const auto Room = Out.next();
    std::memcpy(Room.data(), Raw.data(), Raw.size());
    Out.add(Raw.size(), To);
    Out.flush(From);
  }

  void step() {
    std::vector<pollfd> Waits;
    for (const Upstream &U : Upstreams)
      Waits.push_back({U.Socket.descriptor(), POLLIN, 0});
    for (const Caller &C : Callers)
      Waits.push_back({C.Socket.descriptor(), POLLIN, 0});
    poll(Waits.data(), Waits.size(), 5);
    for (std::size_t I = 0; I < Waits.size(); ++I) {
      if (Waits[I].revents == 0)
        continue;
      const bool AtUpstream = I < Upstreams.size();
      const net::UdpSocket &Socket = AtUpstream
                                         ? Upstreams[I].Socket
                                         : Callers[I - Upstreams.size()].Socket;
      const std::size_t Count = In.receive(Socket);
      for (std::size_t K = 0; K < Count; ++K) {
        if (AtUpstream)
          atUpstream(Upstreams[I], In.datagram(K));
        else
          atCaller(Callers[I - Upstreams.size()], In.datagram(K));
      }
    }
    for (Upstream &U : Upstreams)
      answerHealthChecks(U);
    for (Caller &C : Callers)
      act(C);
  }

  void atUpstream(Upstream &U, absl::Span<const std::uint8_t> Raw) {
    const auto W = decode(Raw);
    if (!W || !whole(Raw)) {
      ++T.Altered;
      return;
    }
    const auto Held = U.Flows.find(W->From);
    if ((W->Flags & Syn) != 0) {
      if (W->To != Services[U.Service])
        ++T.Misdelivered;
      if (Held == U.Flows.end())
        U.Flows[W->From] = static_cast<std::uint32_t>(Random());
      reply(U, *W, Syn | Ack, "");
      return;
    }
    const bool Holds = Held != U.Flows.end() && Held->second == W->Acknowledged;
    if (!Holds) {
      Bytes Back(Raw.begin(), Raw.end());
      Back[FlagsAt] |= Bounced;
      std::fill_n(Back.begin() + PaddingAt, 3, 0);
      send(U.Socket, {AgentNet + U.Number, OutboundPort}, Back);
      return;
    }
    if (W->Data.empty())
      return;
    // A copy of a request on its own flow is the same request.
    if (!Ran.insert(W->Data).second && RanAt[W->Data] != W->From)
      ++T.RanTwice;
    RanAt[W->Data] = W->From;
    reply(U, *W, Ack, "done " + W->Data);
  }

  void reply(Upstream &U, const Wire &To, int Flags, const std::string &Data) {
    Wire W;
    W.From = To.To;
    W.To = To.From;
    W.Flags = static_cast<std::uint8_t>(Flags);
    W.Sequence = U.Flows[To.From];
    W.Data = Data;
    send(U.Socket, {AgentNet + U.Number, OutboundPort}, encode(W));
  }

  bool heldAnywhere(const Caller &C) const {
    return std::any_of(
        Upstreams.begin(), Upstreams.end(), [&C](const Upstream &U) {
          const auto At = U.Flows.find({C.Address, C.Port});
          return At != U.Flows.end() && At->second == C.UpstreamSequence;
        });
  }

  void atCaller(Caller &C, absl::Span<const std::uint8_t> Raw) {
    const auto W = decode(Raw);
    if (!W || W->To != Endpoint{C.Address, C.Port})
      return;
    if ((W->Flags & Rst) != 0) {
      ++T.Resets;
      if (C.State == Caller::Open && heldAnywhere(C))
        ++T.LiveFlowsReset;
      return close(C);
    }
    if (!whole(Raw)) {
      ++T.Altered;
      return;
    }
    if (C.State == Caller::Opening && (W->Flags & Syn) != 0) {
      C.State = Caller::Open;
      C.UpstreamSequence = W->Sequence;
      ++T.FlowsOpened;
      C.NextAt = Clock::now();
    } else if (C.State == Caller::Open && !W->Data.empty()) {
      if (W->Data != "done " + C.Request) {
        // A copy of an earlier answer is no new one.
        T.WrongAnswers += W->Data.starts_with("done ") ? 0 : 1;
        return;
      }
      if (C.Request.empty())
        return;
      ++T.Answered;
      C.Request.clear();
      C.NextAt = Clock::now() + Pause;
      if (--C.RequestsLeft == 0)
        close(C);
    }
  }

  void close(Caller &C) {
    if (!C.Request.empty())
      ++T.Unanswered;
    C.Request.clear();
    C.State = Caller::Closed;
    C.NextAt = Clock::now() + Pause;
  }

  /// The routers' choice: mostly the same entry host, sometimes another one.
  Endpoint entryFor(Caller &C) {
    const std::lock_guard<std::mutex> Guard(Lock);
    constexpr std::uint64_t MoveOneIn = 20;
    const bool Move = Random() % MoveOneIn == 0;
    if ((Move || !Ready.contains(C.Entry)) && !Ready.empty())
      C.Entry = *std::next(
          Ready.begin(), static_cast<std::ptrdiff_t>(Random() % Ready.size()));
    return {EntryNet + std::max<std::uint32_t>(C.Entry, 1), PacketPort};
  }

  void transmit(Caller &C) {
    Wire W;
    W.From = {C.Address, C.Port};
    W.To = Services[C.Service];
    W.Flags = C.State == Caller::Opening ? Syn : Ack;
    W.Acknowledged = C.State == Caller::Opening ? C.Copies : C.UpstreamSequence;
    if (C.State == Caller::Open)
      W.Data = C.Request;
    C.SentAt = Clock::now();
    ++C.Copies;
    send(C.Socket, entryFor(C), encode(W));
  }

  void act(Caller &C) {
    const auto Now = Clock::now();
    if (C.State == Caller::Closed && Now >= C.NextAt) {
      C.Port = C.Port == 0xFFFF ? 1024 : C.Port + 1;
      C.State = Caller::Opening;
      C.RequestsLeft = RequestsPerFlow;
      C.Began = Now;
      C.Copies = 0;
      return transmit(C);
    }
    const bool Waits = C.State == Caller::Opening || !C.Request.empty();
    const auto Limit = C.State == Caller::Opening ? OpeningLimit : Deadline;
    if (Waits && Now - C.Began >= Limit)
      return close(C);
    if (Waits && Now - C.SentAt >= Retransmit * (1 + C.Copies / 2))
      return transmit(C);
    if (C.State != Caller::Open || Waits || Now < C.NextAt)
      return;
    C.Request = absl::StrCat("r", ++LastRequest);
    C.Began = Now;
    C.Copies = 0;
    ++T.Asked;
    transmit(C);
  }

  // Calls of the platform, on a thread of their own ---------------------------

  std::string configuration(std::uint64_t Version) const {
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

  void heartbeats(std::uint64_t Number, std::int64_t Started) {
    for (const Upstream &U : Upstreams) {
      const Endpoint Agent{AgentNet + U.Number, ApiPort};
      const nlohmann::json Body = {
          {"service", ServiceNames[U.Service]},
          {"address", toString(Endpoint{AgentNet + U.Number, UpstreamPort})},
          {"concurrency_limit", 8},
          {"state", "ready"},
          {"cold_remaining_ms", 0},
          {"sequence", Number},
          {"born", Started}};
      standins::httpCall("PUT", Agent,
                         "/instances/i-" + std::to_string(U.Number),
                         Body.dump());
    }
  }

  void readiness() {
    for (std::uint32_t I = 1; I <= O.Entries; ++I) {
      const auto Answer =
          standins::httpCall("GET", {EntryNet + I, ReadyPort}, "/ready", "");
      const std::lock_guard<std::mutex> Guard(Lock);
      if (Answer && Answer->Status == 200)
        Ready.insert(I);
      else if (Ready.size() > 1)
        Ready.erase(I);
    }
  }

  void changeAndRead(std::uint64_t Version) {
    const Endpoint Control{ControlNet + 1 +
                               static_cast<std::uint32_t>(Version % O.Controls),
                           ApiPort};
    const auto Put =
        standins::httpCall("PUT", Control, "/config", configuration(Version));
    if (Put && Put->Status == 200) {
      Acknowledged = std::max(Acknowledged, Version);
      Configured = true;
      ++T.Changes;
    }
    const auto Read = standins::httpCall("GET", Control, "/config", "");
    if (!Read || Read->Status != 200)
      return;
    const auto Document = nlohmann::json::parse(Read->Body, nullptr, false);
    if (!Document.is_object() ||
        Document.value("version", std::uint64_t{0}) < Acknowledged)
      ++T.OldConfigurations;
  }

  void callPlatform() {
    const std::int64_t Started =
        std::chrono::duration_cast<milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count();
    std::uint64_t Number = 0;
    std::uint64_t Version = 0;
    Clock::time_point HeartbeatDue{};
    Clock::time_point ReadyDue{};
    Clock::time_point ChangeDue{};
    while (!Stop) {
      const auto Now = Clock::now();
      if (Now >= HeartbeatDue) {
        HeartbeatDue = Now + HeartbeatInterval;
        heartbeats(++Number, Started);
      }
      if (Now >= ReadyDue) {
        ReadyDue = Now + ReadyInterval;
        readiness();
      }
      if (Now >= ChangeDue) {
        ChangeDue = Now + ChangeInterval;
        changeAndRead(++Version);
      }
      std::this_thread::sleep_for(milliseconds(20));
    }
  }

  Options O;
  boost::asio::io_context Context;
  std::mt19937_64 Random;
  Tally T;
  std::vector<Upstream> Upstreams;
  std::vector<Caller> Callers;
  std::set<std::string> Ran;
  std::map<std::string, Endpoint> RanAt;
  std::uint64_t LastRequest = 0;
  std::uint64_t Acknowledged = 0;
  net::ReceiveBatch In;
  net::SendBatch Out;
  std::mutex Lock;
  /// Entry hosts that the routers use.
  std::set<std::uint32_t> Ready;
  std::atomic<bool> Stop{false};
  std::atomic<bool> Configured{false};
};

int report(const Tally &T) {
  const std::uint64_t Broken = T.RanTwice + T.Altered + T.Misdelivered +
                               T.LiveFlowsReset + T.WrongAnswers +
                               T.OldConfigurations;
  const nlohmann::ordered_json Line = {
      {"asked", T.Asked},
      {"answered", T.Answered},
      {"unanswered", T.Unanswered},
      {"flows_opened", T.FlowsOpened},
      {"resets", T.Resets},
      {"changes", T.Changes},
      {"ran_twice", T.RanTwice},
      {"altered", T.Altered},
      {"misdelivered", T.Misdelivered},
      {"live_flows_reset", T.LiveFlowsReset},
      {"wrong_answers", T.WrongAnswers},
      {"old_configurations", T.OldConfigurations},
      {"broken", Broken}};
  std::cout << Line.dump() << std::endl;
  return Broken == 0 && T.Answered > 0 ? 0 : 1;
}

} // namespace

int main(int Argc, char **Argv) {
  const option Known[] = {{"controls", required_argument, nullptr, 'c'},
                          {"entries", required_argument, nullptr, 'e'},
                          {"upstreams", required_argument, nullptr, 'u'},
                          {"callers", required_argument, nullptr, 'n'},
                          {"seed", required_argument, nullptr, 's'},
                          {"seconds", required_argument, nullptr, 't'},
                          {nullptr, 0, nullptr, 0}};
  Options O;
  std::uint32_t Seconds = 20;
  int Option = 0;
  while ((Option = getopt_long(Argc, Argv, "", Known, nullptr)) != -1) {
    bool Read = false;
    if (Option == 'c')
      Read = absl::SimpleAtoi(optarg, &O.Controls);
    else if (Option == 'e')
      Read = absl::SimpleAtoi(optarg, &O.Entries);
    else if (Option == 'u')
      Read = absl::SimpleAtoi(optarg, &O.Upstreams);
    else if (Option == 'n')
      Read = absl::SimpleAtoi(optarg, &O.Callers);
    else if (Option == 's')
      Read = absl::SimpleAtoi(optarg, &O.Seed);
    else if (Option == 't')
      Read = absl::SimpleAtoi(optarg, &Seconds);
    if (!Read) {
      std::cerr << "usage: jasminearch-flows [--controls N] [--entries N] "
                   "[--upstreams N] [--callers N] [--seed N] [--seconds N]\n";
      return 2;
    }
  }
  O.For = std::chrono::seconds(Seconds);
  return report(World(O).run());
}
