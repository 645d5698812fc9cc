#include "jasminearch/routing/entry_relay.h"
#include "jasminearch/wire/frame.h"
#include "standins/lib/fabric_loop.h"
#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <functional>
#include <list>
#include <set>
#include <thread>

using namespace jasminearch;
using namespace jasminearch::control;
using namespace jasminearch::routing;
using namespace standins;

namespace {

constexpr std::uint32_t Loopback = 0x7F000001;
constexpr Endpoint AnyPort{Loopback, 0};
constexpr std::uint8_t Services = 2;
constexpr int RequestsPerPhase = 400;
constexpr int RequestsPerNumber = 100;

net::UdpSocket
openSocket(std::chrono::milliseconds Timeout = std::chrono::milliseconds{20}) {
  net::UdpOptions Options;
  Options.ReceiveTimeout = Timeout;
  auto Socket = net::bindUdp(AnyPort, Options);
  CPPUNIT_ASSERT(Socket.has_value());
  return std::move(*Socket);
}

void sendTo(const net::UdpSocket &From, const Endpoint &To,
            absl::Span<const std::uint8_t> Datagram) {
  net::SendBatch Out;
  std::copy(Datagram.begin(), Datagram.end(), Out.next().begin());
  Out.add(Datagram.size(), To);
  Out.flush(From);
}

/// Threads that repeat a step until the object goes.
class Workers {
public:
  ~Workers() {
    Stop = true;
    for (std::thread &Worker : Running)
      Worker.join();
  }

  void repeat(std::function<void()> Step) {
    Running.emplace_back([this, Step = std::move(Step)] {
      while (!Stop)
        Step();
    });
  }

  std::atomic<bool> Stop{false};

private:
  std::list<std::thread> Running;
};

/// Checks frames as an agent does and answers with the request itself.
struct Agent {
  net::UdpSocket Socket = openSocket();
  std::atomic<ServiceId> Service;
  std::atomic<std::uint64_t> Misdelivered{0};
  std::atomic<std::uint64_t> Refused{0};
  std::atomic<std::uint64_t> Taken{0};
  net::ReceiveBatch In;

  void step() {
    const std::size_t Count = In.receive(Socket);
    for (std::size_t I = 0; I < Count; ++I)
      answer(*wire::decodeFrame(In.datagram(I)));
  }

  void answer(const wire::FrameView &Frame) {
    if (Frame.Header.Service != Service.load()) {
      ++Refused;
      return;
    }
    ++Taken;
    Misdelivered += Frame.Payload[0] != Frame.Header.Service.Number ? 1 : 0;
    wire::FrameHeader Header = Frame.Header;
    Header.Kind = wire::FrameKind::Answer;
    Bytes Datagram(300);
    const auto Size =
        wire::encodeFrame(Header, Frame.Payload, absl::MakeSpan(Datagram));
    sendTo(Socket, Header.Return, {Datagram.data(), *Size});
  }
};

struct Host {
  net::UdpSocket FromFabric = openSocket();
  net::UdpSocket Tunnel = openSocket();
  RoutingSnapshotHolder Routing;
  std::unique_ptr<EntryRelay> Forwards;
  std::unique_ptr<EntryRelay> Answers;

  explicit Host(const Endpoint &Fabric) {
    const Endpoint Return = net::localEndpoint(Tunnel);
    Forwards = std::make_unique<EntryRelay>(Routing, FromFabric, Tunnel, Return,
                                            Fabric, TraceIdGenerator{});
    Answers = std::make_unique<EntryRelay>(Routing, Tunnel, FromFabric, Return,
                                           Fabric, TraceIdGenerator{});
  }
};

/// A caller that numbers its requests and remembers the answers.
struct Caller {
  net::UdpSocket Socket = openSocket(std::chrono::milliseconds{1});
  Endpoint To;
  std::uint8_t Service = 0;
  std::set<std::uint8_t> Answered;
  std::uint64_t Foreign = 0;
  net::ReceiveBatch In;

  void ask(std::uint8_t Number) {
    const std::uint8_t Request[] = {Service, Number};
    sendTo(Socket, To, Request);
  }

  void collect() {
    while (In.receive(Socket) > 0)
      for (std::size_t I = 0; I < In.size(); ++I) {
        const auto Answer = In.datagram(I);
        if (In.from(I) != To || Answer[0] != Service)
          ++Foreign;
        Answered.insert(Answer[1]);
      }
  }
};

class EntryFabricTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EntryFabricTest);
  CPPUNIT_TEST(deliversOnlyToTheServiceUnderFaults);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against misdelivery (promise 2) and lost answers while the fabric
  /// loses, repeats and reorders datagrams, an entry host is cut, and one
  /// entry host learns later than the other that the first service's upstream
  /// moved and the second service's upstream took over its address.
  void deliversOnlyToTheServiceUnderFaults() {
    FabricState Start;
    Start.Random.seed(11);
    Start.Faults.Jitter = std::chrono::milliseconds{2};
    Start.Faults.Loss = 0.02;
    Start.Faults.Duplicate = 0.1;
    Start.Faults.Reorder = 0.1;
    auto Loop = FabricLoop::open({{AnyPort, AnyPort}, AnyPort, AnyPort}, Start);
    CPPUNIT_ASSERT(Loop.has_value());
    const FabricAddresses Places = Loop->addresses();
    std::list<Host> Hosts;
    std::list<Agent> Agents(3);
    std::list<Caller> Callers(8);
    Agent &First = Agents.front();
    Agent &Second = *std::next(Agents.begin());
    Agent &Third = Agents.back();
    First.Service = ServiceId{1};
    Second.Service = ServiceId{2};
    Third.Service = ServiceId{1};

    Configuration Config;
    Config.InForce = {1};
    for (std::uint32_t Id = 1; Id <= Services; ++Id) {
      Config.Services[{Id}] = {{Id}, "", Places.Services[Id - 1], "", {1}};
      Upstream U;
      U.Id = {Id};
      U.Service = {Id};
      U.Agent = net::localEndpoint((Id == 1 ? First : Second).Socket);
      U.Instance = {Id};
      U.Phase = UpstreamPhase::Active;
      Config.Upstreams[U.Id] = U;
    }
    for (int I = 0; I < 2; ++I)
      Hosts.emplace_back(Places.Return)
          .Routing.store(*buildRoutingSnapshot(nullptr, Config));

    const net::UdpSocket Operator = openSocket();
    const auto Command = [&](const std::string &Text) {
      const Bytes Datagram(Text.begin(), Text.end());
      sendTo(Operator, Places.Control, Datagram);
    };
    const auto Address = [](const Host &H) {
      return toString(net::localEndpoint(H.FromFabric));
    };
    std::uint8_t Service = 0;
    for (Caller &C : Callers) {
      C.Service = Service % Services + 1;
      C.To = Places.Services[Service % Services];
      ++Service;
    }
    {
      Workers Running;
      for (Agent &A : Agents)
        Running.repeat([&A] { A.step(); });
      for (Host &H : Hosts) {
        Running.repeat([&H] { H.Forwards->forwardBatch(); });
        Running.repeat([&H] { H.Answers->answerBatch(); });
        Command("add " + Address(H));
      }
      std::thread Serving([&] { Loop->run(Running.Stop); });
      std::uint8_t Number = 0;
      const auto Phase = [&] {
        for (int I = 0; I < RequestsPerPhase; ++I) {
          for (Caller &C : Callers)
            C.ask(Number);
          if (I % 4 == 3)
            std::this_thread::sleep_for(std::chrono::milliseconds{1});
          if (I % RequestsPerNumber != RequestsPerNumber - 1)
            continue;
          ++Number;
          for (Caller &C : Callers)
            C.collect();
        }
      };
      Phase();
      Command("cut " + Address(Hosts.front()));
      Phase();
      Command("remove " + Address(Hosts.front()));
      Command("add " + Address(Hosts.front()));
      Config.InForce = {2};
      Upstream &Moved = Config.Upstreams[{1}];
      Moved.Agent = net::localEndpoint(Third.Socket);
      Upstream &Successor = Config.Upstreams[{2}];
      Successor.Agent = net::localEndpoint(First.Socket);
      for (Upstream *U : {&Moved, &Successor})
        U->Changed = {2};
      Moved.Instance = {2};
      Successor.Instance = {2};
      First.Service = ServiceId{2};
      Host &Late = Hosts.back();
      Hosts.front().Routing.store(
          *buildRoutingSnapshot(Hosts.front().Routing.load(), Config));
      Phase();
      Late.Routing.store(*buildRoutingSnapshot(Late.Routing.load(), Config));
      Phase();
      std::this_thread::sleep_for(std::chrono::milliseconds{50});
      for (Caller &C : Callers)
        C.collect();
      Running.Stop = true;
      Serving.join();
    }
    for (const Agent &A : Agents) {
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, A.Misdelivered.load());
      CPPUNIT_ASSERT(A.Taken > 0);
    }
    // The late host still sent to the former address.
    CPPUNIT_ASSERT(First.Refused > 0);
    // Each number is asked 100 times, so that loss alone can't hide one.
    for (const Caller &C : Callers) {
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, C.Foreign);
      CPPUNIT_ASSERT_EQUAL(std::size_t{16}, C.Answered.size());
    }
    CPPUNIT_ASSERT(Loop->counts().LostAtCut > 0);
    CPPUNIT_ASSERT(Loop->counts().Duplicated > 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryFabricTest);

} // namespace
