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

Bytes withProxyHeader(const Endpoint &Destination, const Bytes &Payload) {
  std::uint8_t Head[wire::ProxyHeaderBytes];
  wire::encodeProxyHeader({Caller, Destination}, Head);
  Bytes Datagram(sizeof(Head) + Payload.size());
  std::copy(std::begin(Head), std::end(Head), Datagram.begin());
  std::copy(Payload.begin(), Payload.end(),
            Datagram.begin() + wire::ProxyHeaderBytes);
  return Datagram;
}

/// An entry host, one agent and the fabric, connected by loopback sockets.
struct Host {
  net::UdpSocket FromFabric = openSocket();
  net::UdpSocket Tunnel = openSocket();
  net::UdpSocket Fabric = openSocket();
  net::UdpSocket Agent = openSocket();
  RoutingSnapshotHolder Routing;
  EntryRelay ForwardRelay{Routing,
                          FromFabric,
                          Tunnel,
                          net::localEndpoint(Tunnel),
                          net::localEndpoint(Fabric),
                          makeTraceIdGenerator("entry-1", 1)};
  EntryRelay AnswerRelay{Routing,
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
  CPPUNIT_TEST(relaysDatagramInBothDirections);
  CPPUNIT_TEST(countsDroppedDatagrams);
  CPPUNIT_TEST(handlesLargestDatagrams);
  CPPUNIT_TEST(switchesSnapshotsDuringTraffic);
  CPPUNIT_TEST(reportsOutcomes);
  CPPUNIT_TEST(limitsReportSize);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against datagrams that are lost or changed in either direction.
  void relaysDatagramInBothDirections() {
    Host H;
    const Bytes Request{0x40, 0x01, 0x12, 0x34};
    sendTo(H.Fabric, net::localEndpoint(H.FromFabric),
           withProxyHeader(ServiceAddress, Request));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, H.ForwardRelay.forwardBatch());
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
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, H.AnswerRelay.answerBatch());
    net::ReceiveBatch AtFabric;
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, AtFabric.receive(H.Fabric));
    const auto Answer = wire::decodeProxyHeader(AtFabric.datagram(0));
    CPPUNIT_ASSERT(Answer.has_value());
    CPPUNIT_ASSERT(Answer->Header.Source == ServiceAddress);
    CPPUNIT_ASSERT(Answer->Header.Destination == Caller);
    CPPUNIT_ASSERT(std::equal(Response.begin(), Response.end(),
                              Answer->Payload.begin(), Answer->Payload.end()));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                         H.ForwardRelay.counts().Services.at(Order).Forwarded);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                         H.AnswerRelay.counts().Services.at(Order).Answered);
  }

  /// Guards against dropped datagrams that aren't counted.
  void countsDroppedDatagrams() {
    Host H;
    const Endpoint Entry = net::localEndpoint(H.FromFabric);
    sendTo(H.Fabric, Entry, {1, 2, 3});
    sendTo(H.Fabric, Entry, withProxyHeader({0x7F000AFF, 1}, {1}));
    for (int Count = 0; Count < 2;)
      Count += static_cast<int>(H.ForwardRelay.forwardBatch());
    const EntryCounts ForwardCounts = H.ForwardRelay.counts();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, ForwardCounts.BadHeader);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, ForwardCounts.UnknownAddress);
    CPPUNIT_ASSERT(ForwardCounts.Services.empty());

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
    for (int Count = 0; Count < 3;)
      Count += static_cast<int>(H.AnswerRelay.answerBatch());
    const EntryCounts AnswerCounts = H.AnswerRelay.counts();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, AnswerCounts.BadFrame);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, AnswerCounts.UnknownService);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                         AnswerCounts.Services.at(Order).RefusedAnswers);
  }

  /// Guards against a buffer overflow when a caller's datagram is too large to
  /// be sent in a frame.
  void handlesLargestDatagrams() {
    Host H;
    const Endpoint Entry = net::localEndpoint(H.FromFabric);
    const Bytes Largest(wire::MaxDatagramBytes - wire::ProxyHeaderBytes, 7);
    sendTo(H.Fabric, Entry, withProxyHeader(ServiceAddress, Largest));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, H.ForwardRelay.forwardBatch());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, H.ForwardRelay.counts().Oversize);
    const Bytes Large(Largest.size() - 100, 7);
    sendTo(H.Fabric, Entry, withProxyHeader(ServiceAddress, Large));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, H.ForwardRelay.forwardBatch());
    net::ReceiveBatch AtAgent;
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, AtAgent.receive(H.Agent));
    const auto Frame = wire::decodeFrame(AtAgent.datagram(0));
    CPPUNIT_ASSERT(Frame && Frame->Payload.size() == Large.size());
  }

  /// Guards against a data race between a traffic thread that reads the
  /// snapshot and the control thread that replaces it: revision and incarnation
  /// in each frame must be from the same snapshot.
  void switchesSnapshotsDuringTraffic() {
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
    std::uint64_t Inconsistent = 0;
    net::ReceiveBatch AtAgent;
    for (std::uint64_t I = 0; I < Datagrams; ++I) {
      sendTo(H.Fabric, net::localEndpoint(H.FromFabric),
             withProxyHeader(ServiceAddress, {1}));
      H.ForwardRelay.forwardBatch();
      AtAgent.receive(H.Agent);
      const auto Frame = wire::decodeFrame(AtAgent.datagram(0));
      const bool First = Frame && Frame->Header.InForce == Revision{5};
      Inconsistent += !Frame || (!First && Frame->Header.InForce.Number !=
                                               Frame->Header.Instance.Number);
    }
    Stop = true;
    Control.join();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, Inconsistent);
  }

  /// Guards against an outcome report that doesn't match the counters.
  void reportsOutcomes() {
    EntryCounts First;
    First.Services[Order] = {10, 7, 2, 1};
    First.UnknownService = 4;
    EntryCounts Second;
    Second.Services[Order] = {1, 1, 1, 1};
    Second.Services[{2}] = {5, 0, 0, 0};
    add(First, Second);
    const std::vector<PromiseCount> ExpectedCounts{
        {{}, Promise::NoMisdelivery, 4, 0, 0, ""},
        {{}, Promise::ConfigurationHolds, 5, 0, 0, ""},
        {Order, Promise::NoMisdelivery, 10, 0, 0, ""},
        {Order, Promise::WholeAnswers, 0, 0, 3,
         "entry host had no upstream for 3 datagrams"}};
    CPPUNIT_ASSERT(ExpectedCounts == promiseCounts(First, {3, 2}));
  }

  /// Guards against reports that become too large with thousands of services,
  /// and against events that are missing from a limited report.
  void limitsReportSize() {
    constexpr std::uint32_t Services = 4'400;
    EntryCounts Counts;
    for (std::uint32_t Id = 1; Id <= Services; ++Id)
      Counts.Services[{Id}] = {0, Id, Id, 0};
    const std::vector<PromiseCount> Report = promiseCounts(Counts, {});
    CPPUNIT_ASSERT_EQUAL(std::size_t{2} * (MaxReportedServiceId + 1),
                         Report.size());
    std::uint64_t Held = 0;
    std::uint64_t Unknown = 0;
    for (const PromiseCount &C : Report) {
      Held += C.Held;
      Unknown += C.Unknown;
      CPPUNIT_ASSERT(C.Service.Number <= MaxReportedServiceId);
    }
    constexpr std::uint64_t Sum = std::uint64_t{Services} * (Services + 1) / 2;
    CPPUNIT_ASSERT_EQUAL(Sum, Held);
    CPPUNIT_ASSERT_EQUAL(Sum, Unknown);
    const link::Message Message = link::OutcomeReport{{"entry-1", 1, Report}};
    // The limit is 20 KB/s, and a report is sent every 10 s.
    CPPUNIT_ASSERT(link::encodeMessage(Message).size() < 200'000);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryRelayTest);

} // namespace
