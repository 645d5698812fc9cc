#include "jasminearch/link/messages.h"
#include "jasminearch/routing/entry_relay.h"
#include "jasminearch/wire/frame.h"
#include "jasminearch/wire/proxy_header.h"
#include <algorithm>
#include <atomic>
#include <cppunit/extensions/HelperMacros.h>
#include <thread>

using namespace jasminearch;
using namespace jasminearch::control;
using namespace jasminearch::routing;

namespace {

constexpr std::uint32_t Loopback = 0x7F000001;
constexpr Endpoint ServiceAddress{0x7F000A01, 5683};
constexpr Endpoint Caller{0x0A000001, 40'000};
constexpr ServiceId Order{1};

net::UdpSocket openSocket() {
  net::UdpOptions Options;
  Options.ReceiveTimeout = std::chrono::milliseconds{2'000};
  auto Socket = net::bindUdp({Loopback, 0}, Options);
  CPPUNIT_ASSERT(Socket.has_value());
  return std::move(*Socket);
}

void sendTo(const net::UdpSocket &From, const Endpoint &To,
            const Bytes &Datagram) {
  net::SendBatch Out;
  std::copy(Datagram.begin(), Datagram.end(), Out.next().begin());
  Out.add(Datagram.size(), To);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Out.flush(From));
}

Bytes proxied(const Endpoint &Destination, const Bytes &Payload) {
  std::uint8_t Head[wire::ProxyHeaderBytes];
  wire::encodeProxyHeader({Caller, Destination}, Head);
  Bytes Datagram(sizeof(Head) + Payload.size());
  std::copy(std::begin(Head), std::end(Head), Datagram.begin());
  std::copy(Payload.begin(), Payload.end(),
            Datagram.begin() + wire::ProxyHeaderBytes);
  return Datagram;
}

/// An entry host with one agent and the fabric, all on loopback sockets.
struct Host {
  net::UdpSocket FromFabric = openSocket();
  net::UdpSocket Tunnel = openSocket();
  net::UdpSocket Fabric = openSocket();
  net::UdpSocket Agent = openSocket();
  RoutingSnapshotHolder Routing;
  EntryRelay Forwards{Routing,
                      FromFabric,
                      Tunnel,
                      net::localEndpoint(Tunnel),
                      net::localEndpoint(Fabric),
                      makeTraceIdGenerator("entry-1", 1)};
  EntryRelay Answers{Routing,
                     Tunnel,
                     FromFabric,
                     net::localEndpoint(Tunnel),
                     net::localEndpoint(Fabric),
                     makeTraceIdGenerator("entry-1", 2)};

  Host() {
    Configuration Config;
    Config.InForce = {5};
    Config.Services[Order] = {Order, "order", ServiceAddress, "lines", {5}};
    Upstream U;
    U.Id = {3};
    U.Service = Order;
    U.Agent = net::localEndpoint(Agent);
    U.Instance = {4};
    U.Phase = UpstreamPhase::Active;
    Config.Upstreams[U.Id] = U;
    Routing.store(*buildRoutingSnapshot(nullptr, Config));
  }
};

class EntryRelayTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EntryRelayTest);
  CPPUNIT_TEST(carriesADatagramThereAndBack);
  CPPUNIT_TEST(countsWhatItDrops);
  CPPUNIT_TEST(survivesLargestDatagrams);
  CPPUNIT_TEST(takesSnapshotsWhileTrafficRuns);
  CPPUNIT_TEST(reportsOutcomes);
  CPPUNIT_TEST(boundsTheReport);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against a path that loses or changes a caller's datagram.
  void carriesADatagramThereAndBack() {
    Host H;
    const Bytes Request{0x40, 0x01, 0x12, 0x34};
    sendTo(H.Fabric, net::localEndpoint(H.FromFabric),
           proxied(ServiceAddress, Request));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, H.Forwards.forwardBatch());
    net::ReceiveBatch AtAgent;
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, AtAgent.receive(H.Agent));
    const auto Frame = wire::decodeFrame(AtAgent.datagram(0));
    CPPUNIT_ASSERT(Frame.has_value());
    CPPUNIT_ASSERT(std::equal(Request.begin(), Request.end(),
                              Frame->Payload.begin(), Frame->Payload.end()));
    CPPUNIT_ASSERT(Frame->Header.Caller == Caller);
    CPPUNIT_ASSERT(Frame->Header.Return == net::localEndpoint(H.Tunnel));

    wire::FrameHeader Header = Frame->Header;
    Header.Kind = wire::FrameKind::Answer;
    const Bytes Response{0x60, 0x45, 0x12, 0x34};
    Bytes Datagram(200);
    Datagram.resize(
        *wire::encodeFrame(Header, Response, absl::MakeSpan(Datagram)));
    sendTo(H.Agent, Header.Return, Datagram);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, H.Answers.answerBatch());
    net::ReceiveBatch AtFabric;
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, AtFabric.receive(H.Fabric));
    const auto Back = wire::decodeProxyHeader(AtFabric.datagram(0));
    CPPUNIT_ASSERT(Back.has_value());
    CPPUNIT_ASSERT(Back->Header.Source == ServiceAddress);
    CPPUNIT_ASSERT(Back->Header.Destination == Caller);
    CPPUNIT_ASSERT(std::equal(Response.begin(), Response.end(),
                              Back->Payload.begin(), Back->Payload.end()));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                         H.Forwards.counts().Services.at(Order).Forwarded);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                         H.Answers.counts().Services.at(Order).Answered);
  }

  /// Guards against drops that nobody can see afterwards.
  void countsWhatItDrops() {
    Host H;
    const Endpoint Entry = net::localEndpoint(H.FromFabric);
    sendTo(H.Fabric, Entry, {1, 2, 3});
    sendTo(H.Fabric, Entry, proxied({0x7F000AFF, 1}, {1}));
    for (int Taken = 0; Taken < 2;)
      Taken += static_cast<int>(H.Forwards.forwardBatch());
    const EntryCounts Forwards = H.Forwards.counts();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, Forwards.BadHeader);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, Forwards.UnknownAddress);
    CPPUNIT_ASSERT(Forwards.Services.empty());

    const Endpoint Tunnel = net::localEndpoint(H.Tunnel);
    const auto Frame = [&](ServiceId Service, UpstreamId From) {
      wire::FrameHeader Header;
      Header.Kind = wire::FrameKind::Answer;
      Header.Service = Service;
      Header.Upstream = From;
      Header.ServiceAddress = ServiceAddress;
      Bytes Datagram(200);
      Datagram.resize(*wire::encodeFrame(Header, {}, absl::MakeSpan(Datagram)));
      return Datagram;
    };
    sendTo(H.Agent, Tunnel, {0xFF});
    sendTo(H.Agent, Tunnel, Frame({9}, {3}));
    sendTo(H.Agent, Tunnel, Frame(Order, {8}));
    for (int Taken = 0; Taken < 3;)
      Taken += static_cast<int>(H.Answers.answerBatch());
    const EntryCounts Answers = H.Answers.counts();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, Answers.BadFrame);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, Answers.UnknownService);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                         Answers.Services.at(Order).RefusedAnswers);
  }

  /// Guards against a write behind a buffer when a frame around a caller's
  /// largest datagram doesn't fit into a datagram.
  void survivesLargestDatagrams() {
    Host H;
    const Endpoint Entry = net::localEndpoint(H.FromFabric);
    const Bytes Largest(wire::MaxDatagramBytes - wire::ProxyHeaderBytes, 7);
    sendTo(H.Fabric, Entry, proxied(ServiceAddress, Largest));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, H.Forwards.forwardBatch());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, H.Forwards.counts().Oversize);
    const Bytes Large(Largest.size() - 100, 7);
    sendTo(H.Fabric, Entry, proxied(ServiceAddress, Large));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, H.Forwards.forwardBatch());
    net::ReceiveBatch AtAgent;
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, AtAgent.receive(H.Agent));
    const auto Frame = wire::decodeFrame(AtAgent.datagram(0));
    CPPUNIT_ASSERT(Frame && Frame->Payload.size() == Large.size());
  }

  /// Guards against a traffic thread that reads a snapshot while the control
  /// thread replaces it: each frame must name the revision and the incarnation
  /// of one snapshot.
  void takesSnapshotsWhileTrafficRuns() {
    constexpr std::uint64_t Datagrams = 2'000;
    Host H;
    std::atomic<bool> Stop{false};
    std::thread Control([&] {
      for (std::uint64_t Number = 10; !Stop; ++Number) {
        Configuration Config;
        Config.InForce = {Number};
        Config.Services[Order] = {Order, "", ServiceAddress, "", {5}};
        Upstream U;
        U.Id = {3};
        U.Service = Order;
        U.Agent = net::localEndpoint(H.Agent);
        U.Instance = {Number};
        U.Changed = {Number};
        Config.Upstreams[U.Id] = U;
        H.Routing.store(*buildRoutingSnapshot(H.Routing.load(), Config));
      }
    });
    std::uint64_t Torn = 0;
    net::ReceiveBatch AtAgent;
    for (std::uint64_t I = 0; I < Datagrams; ++I) {
      sendTo(H.Fabric, net::localEndpoint(H.FromFabric),
             proxied(ServiceAddress, {1}));
      H.Forwards.forwardBatch();
      AtAgent.receive(H.Agent);
      const auto Frame = wire::decodeFrame(AtAgent.datagram(0));
      const bool First = Frame && Frame->Header.InForce == Revision{5};
      Torn += !Frame || (!First && Frame->Header.InForce.Number !=
                                       Frame->Header.Instance.Number);
    }
    Stop = true;
    Control.join();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, Torn);
  }

  /// Guards against outcomes that differ from what the host saw.
  void reportsOutcomes() {
    EntryCounts First;
    First.Services[Order] = {10, 7, 2, 1};
    First.UnknownService = 4;
    EntryCounts Second;
    Second.Services[Order] = {1, 1, 1, 1};
    Second.Services[{2}] = {5, 0, 0, 0};
    add(First, Second);
    const std::vector<PromiseCount> Wanted{
        {{}, Promise::NoMisdelivery, 4, 0, 0, ""},
        {{}, Promise::ConfigurationHolds, 5, 0, 0, ""},
        {Order, Promise::NoMisdelivery, 10, 0, 0, ""},
        {Order, Promise::WholeAnswers, 0, 0, 3,
         "entry host had no upstream for 3 datagrams"}};
    CPPUNIT_ASSERT(Wanted == promiseCounts(First, {3, 2}));
  }

  /// Guards against reports whose size grows with thousands of services, and
  /// against events that a bounded report leaves out.
  void boundsTheReport() {
    constexpr std::uint32_t Services = 4'400;
    EntryCounts Counts;
    for (std::uint32_t Id = 1; Id <= Services; ++Id)
      Counts.Services[{Id}] = {0, Id, Id, 0};
    const std::vector<PromiseCount> Report = promiseCounts(Counts, {});
    CPPUNIT_ASSERT_EQUAL(std::size_t{2} * (LastServiceReported + 1),
                         Report.size());
    std::uint64_t Held = 0;
    std::uint64_t Unknown = 0;
    for (const PromiseCount &C : Report) {
      Held += C.Held;
      Unknown += C.Unknown;
      CPPUNIT_ASSERT(C.Service.Number <= LastServiceReported);
    }
    constexpr std::uint64_t Sum = std::uint64_t{Services} * (Services + 1) / 2;
    CPPUNIT_ASSERT_EQUAL(Sum, Held);
    CPPUNIT_ASSERT_EQUAL(Sum, Unknown);
    const link::Message Message = link::OutcomeReport{{"entry-1", 1, Report}};
    // 20 KB/s for 10 s.
    CPPUNIT_ASSERT(link::encodeMessage(Message).size() < 200'000);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryRelayTest);

} // namespace
