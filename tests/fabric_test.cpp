#include "jasminearch/wire/proxy_header.h"
#include "standins/lib/fabric.h"
#include "standins/lib/fabric_loop.h"
#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <thread>

using namespace jasminearch;
using namespace standins;

namespace {

constexpr std::uint32_t Loopback = 0x7F000001;
constexpr Endpoint First{Loopback, 7'001};
constexpr Endpoint Second{Loopback, 7'002};
constexpr Endpoint Caller{Loopback, 40'000};
constexpr int Rounds = 20'000;

FabricState sampleState(std::uint64_t Seed) {
  FabricState State;
  State.Entries = {{First}, {Second}};
  State.Random.seed(Seed);
  return State;
}

net::UdpSocket openSocket() {
  net::UdpOptions Options;
  Options.ReceiveTimeout = std::chrono::milliseconds{2'000};
  auto Socket = net::bindUdp({Loopback, 0}, Options);
  CPPUNIT_ASSERT(Socket.has_value());
  return std::move(*Socket);
}

void sendTo(const net::UdpSocket &From, const Endpoint &To,
            absl::Span<const std::uint8_t> Datagram) {
  net::SendBatch Outgoing;
  std::copy(Datagram.begin(), Datagram.end(), Outgoing.next().begin());
  Outgoing.add(Datagram.size(), To);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Outgoing.flush(From));
}

class FabricTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FabricTest);
  CPPUNIT_TEST(equalSeedsGiveEqualPlans);
  CPPUNIT_TEST(distributesEvenlyAndDelays);
  CPPUNIT_TEST(appliesTheConfiguredFaultShares);
  CPPUNIT_TEST(losesDatagramsAtCutsUntilHealedOrRemoved);
  CPPUNIT_TEST(answersCommands);
  CPPUNIT_TEST(carriesADatagramInBothDirections);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against failures that can't be reproduced with their seed, and
  /// against faults that change which entry host later datagrams go to.
  void equalSeedsGiveEqualPlans() {
    FabricState FirstState = sampleState(5);
    FirstState.Faults = {std::chrono::milliseconds{1},
                         std::chrono::milliseconds{1}, 0.1, 0.1, 0.1};
    FabricState SecondState = FirstState;
    FabricState WithoutFaults = sampleState(5);
    for (int I = 0; I < Rounds; ++I) {
      const PlannedCopies A = planToEntries(FirstState, {});
      const PlannedCopies B = planToEntries(SecondState, {});
      const PlannedCopies C = planToEntries(WithoutFaults, {});
      CPPUNIT_ASSERT_EQUAL(A.Count, B.Count);
      for (std::size_t Copy = 0; Copy < A.Count; ++Copy) {
        CPPUNIT_ASSERT(A.Copies[Copy].To == B.Copies[Copy].To);
        CPPUNIT_ASSERT(A.Copies[Copy].Due == B.Copies[Copy].Due);
      }
      // If neither copy was lost, the first one is the original datagram.
      CPPUNIT_ASSERT(A.Count != 2 || A.Copies[0].To == C.Copies[0].To);
    }
    CPPUNIT_ASSERT(FirstState.Counts.Duplicated > 0);
  }

  /// Guards against a preferred entry host (the standard deviation over 20,000
  /// draws is 71) and against delays outside of the configured range.
  void distributesEvenlyAndDelays() {
    FabricState State = sampleState(1);
    State.Faults.Delay = std::chrono::milliseconds{3};
    State.Faults.Jitter = std::chrono::milliseconds{2};
    std::map<Endpoint, int> DatagramsByEntry;
    Duration Longest{};
    for (int I = 0; I < Rounds; ++I) {
      const PlannedCopies Plan = planToEntries(State, {});
      const Duration Delay = Plan.Copies[0].Due - TimePoint{};
      CPPUNIT_ASSERT(Delay >= std::chrono::milliseconds{3});
      CPPUNIT_ASSERT(Delay <= std::chrono::milliseconds{5});
      Longest = std::max(Longest, Delay);
      ++DatagramsByEntry[Plan.Copies[0].To];
    }
    CPPUNIT_ASSERT(std::abs(DatagramsByEntry[First] - Rounds / 2) < 500);
    CPPUNIT_ASSERT_EQUAL(Rounds,
                         DatagramsByEntry[First] + DatagramsByEntry[Second]);
    CPPUNIT_ASSERT(Longest > std::chrono::microseconds{4'900});
  }

  /// Guards against faults that occur more or less often than configured.
  void appliesTheConfiguredFaultShares() {
    FabricState State = sampleState(2);
    State.Faults = {{}, {}, 0.05, 0.1, 0.2, std::chrono::milliseconds{5}};
    int Copies = 0;
    int Delayed = 0;
    for (int I = 0; I < Rounds; ++I) {
      const PlannedCopies Plan = planToCaller(State, First, Caller, {});
      Copies += static_cast<int>(Plan.Count);
      for (std::size_t Copy = 0; Copy < Plan.Count; ++Copy)
        Delayed += Plan.Copies[Copy].Due > TimePoint{} ? 1 : 0;
    }
    const auto Near = [](double ExpectedCount, std::uint64_t Found) {
      return std::abs(ExpectedCount - static_cast<double>(Found)) <
             ExpectedCount * 0.15;
    };
    CPPUNIT_ASSERT(Near(0.1 * Rounds, State.Counts.Duplicated));
    CPPUNIT_ASSERT(Near(0.05 * 1.1 * Rounds, State.Counts.Lost));
    CPPUNIT_ASSERT(Near(0.2 * Copies, State.Counts.Reordered));
    CPPUNIT_ASSERT_EQUAL(static_cast<std::uint64_t>(Delayed),
                         State.Counts.Reordered);
    CPPUNIT_ASSERT_EQUAL(Rounds + State.Counts.Duplicated - State.Counts.Lost,
                         static_cast<std::uint64_t>(Copies));
  }

  /// Guards against a dead entry host without any effect: its share of the
  /// datagrams must be lost in both directions until it is removed.
  void losesDatagramsAtCutsUntilHealedOrRemoved() {
    FabricState State = sampleState(3);
    const auto DeliveredCopies = [&] {
      int Count = 0;
      for (int I = 0; I < Rounds; ++I)
        Count += static_cast<int>(planToEntries(State, {}).Count);
      return Count;
    };
    CPPUNIT_ASSERT_EQUAL(Rounds, DeliveredCopies());
    CPPUNIT_ASSERT_EQUAL(std::string("ok"),
                         runFabricCommand(State, "cut 127.0.0.1:7001"));
    CPPUNIT_ASSERT(std::abs(DeliveredCopies() - Rounds / 2) < 500);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                         planToCaller(State, First, Caller, {}).Count);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         planToCaller(State, Second, Caller, {}).Count);
    CPPUNIT_ASSERT_EQUAL(std::string("ok"),
                         runFabricCommand(State, "heal 127.0.0.1:7001"));
    CPPUNIT_ASSERT_EQUAL(Rounds, DeliveredCopies());
    runFabricCommand(State, "cut 127.0.0.1:7001");
    runFabricCommand(State, "remove 127.0.0.1:7001");
    CPPUNIT_ASSERT_EQUAL(Rounds, DeliveredCopies());
    runFabricCommand(State, "remove 127.0.0.1:7002");
    CPPUNIT_ASSERT_EQUAL(0, DeliveredCopies());
    CPPUNIT_ASSERT_EQUAL(static_cast<std::uint64_t>(Rounds),
                         State.Counts.NoEntry);
  }

  /// Guards against commands that are misread or silently ignored.
  void answersCommands() {
    FabricState State = sampleState(4);
    const auto Refused = [&](const char *Command) {
      return runFabricCommand(State, Command).rfind("error", 0) == 0;
    };
    CPPUNIT_ASSERT_EQUAL(std::string("ok"),
                         runFabricCommand(State, " add  127.0.0.1:7003\n"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, State.Entries.size());
    CPPUNIT_ASSERT(Refused("add 127.0.0.1:7003"));
    CPPUNIT_ASSERT(Refused("cut 127.0.0.1:7009"));
    CPPUNIT_ASSERT(Refused("add somewhere"));
    CPPUNIT_ASSERT(Refused("stop 127.0.0.1:7003"));
    CPPUNIT_ASSERT(Refused(""));
    CPPUNIT_ASSERT(Refused("loss 1.5"));
    CPPUNIT_ASSERT(Refused("loss nan"));
    CPPUNIT_ASSERT_EQUAL(std::string("ok"),
                         runFabricCommand(State, "loss 0.25"));
    CPPUNIT_ASSERT_EQUAL(0.25, State.Faults.Loss);
    CPPUNIT_ASSERT(runFabricCommand(State, "counts").front() == '{');
  }

  /// Guards against a fabric that changes a datagram, its addresses or its
  /// delay. An answer must leave from the service's address.
  void carriesADatagramInBothDirections() {
    const net::UdpSocket Entry = openSocket();
    const net::UdpSocket CallerSocket = openSocket();
    FabricState InitialState;
    InitialState.Entries = {{net::localEndpoint(Entry)}};
    InitialState.Faults.Delay = std::chrono::milliseconds{5};
    auto Loop = FabricLoop::open(
        {{{Loopback, 0}, {Loopback, 0}}, {Loopback, 0}, {Loopback, 0}},
        InitialState);
    CPPUNIT_ASSERT(Loop.has_value());
    const FabricAddresses Addresses = Loop->addresses();
    std::atomic<bool> StopRequested{false};
    std::thread LoopThread([&] { Loop->run(StopRequested); });

    const auto SentAt = std::chrono::steady_clock::now();
    sendTo(CallerSocket, Addresses.Services[1], Bytes{1, 2, 3});
    net::ReceiveBatch Incoming;
    const std::size_t AtEntry = Incoming.receive(Entry);
    const auto ReceivedAt = std::chrono::steady_clock::now();
    const auto View = wire::decodeProxyHeader(Incoming.datagram(0));
    const bool Intact =
        View && View->Header.Source == net::localEndpoint(CallerSocket) &&
        View->Header.Destination == Addresses.Services[1] &&
        Bytes(View->Payload.begin(), View->Payload.end()) == Bytes{1, 2, 3};
    std::uint8_t HeaderBytes[wire::ProxyHeaderBytes];
    wire::encodeProxyHeader(
        {Addresses.Services[1], net::localEndpoint(CallerSocket)}, HeaderBytes);
    sendTo(Entry, Addresses.Return, HeaderBytes);
    const std::size_t AtCaller = Incoming.receive(CallerSocket);
    const Endpoint Source = Incoming.from(0);
    sendTo(CallerSocket, Addresses.Control,
           Bytes{'c', 'o', 'u', 'n', 't', 's'});
    const std::size_t Replies = Incoming.receive(CallerSocket);
    StopRequested = true;
    LoopThread.join();

    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, AtEntry);
    CPPUNIT_ASSERT(Intact);
    CPPUNIT_ASSERT(ReceivedAt - SentAt >= std::chrono::milliseconds{5});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, AtCaller);
    CPPUNIT_ASSERT(Source == Addresses.Services[1]);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Replies);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, Loop->counts().ToEntries);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, Loop->counts().ToCallers);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FabricTest);

} // namespace
