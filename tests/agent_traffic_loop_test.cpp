#include "agent_world.h"
#include "jasminearch/agent/take_over.h"
#include "jasminearch/agent/traffic_loop.h"
#include <arpa/inet.h>
#include <cppunit/extensions/HelperMacros.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace jasminearch;
using namespace jasminearch::agent;
using namespace jasminearch::agent::test;

namespace {

constexpr std::uint32_t Loopback = 0x7F000001;

/// Datagram socket on the loopback interface with a receive timeout of two
/// seconds.
class TestSocket {
public:
  TestSocket() : Socket(socket(AF_INET, SOCK_DGRAM, 0)) {
    sockaddr_in Any{};
    Any.sin_family = AF_INET;
    Any.sin_addr.s_addr = htonl(Loopback);
    CPPUNIT_ASSERT_EQUAL(
        0, bind(Socket, reinterpret_cast<const sockaddr *>(&Any), sizeof(Any)));
    const timeval Wait{2, 0};
    setsockopt(Socket, SOL_SOCKET, SO_RCVTIMEO, &Wait, sizeof(Wait));
  }
  ~TestSocket() { close(Socket); }
  TestSocket(const TestSocket &) = delete;
  TestSocket &operator=(const TestSocket &) = delete;

  Endpoint address() const {
    sockaddr_in Own{};
    socklen_t Size = sizeof(Own);
    getsockname(Socket, reinterpret_cast<sockaddr *>(&Own), &Size);
    return {Loopback, ntohs(Own.sin_port)};
  }

  void send(Endpoint To, const Bytes &Datagram) const {
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_addr.s_addr = htonl(To.Address);
    Address.sin_port = htons(To.Port);
    sendto(Socket, Datagram.data(), Datagram.size(), 0,
           reinterpret_cast<const sockaddr *>(&Address), sizeof(Address));
  }

  /// \returns the next datagram, or an empty one on a timeout.
  Bytes receive(Endpoint *From = nullptr) const {
    Bytes Out(wire::MaxDatagramBytes);
    sockaddr_in Address{};
    socklen_t Size = sizeof(Address);
    const ssize_t Read =
        recvfrom(Socket, Out.data(), Out.size(), 0,
                 reinterpret_cast<sockaddr *>(&Address), &Size);
    Out.resize(Read < 0 ? 0 : static_cast<std::size_t>(Read));
    if (From != nullptr)
      *From = {ntohl(Address.sin_addr.s_addr), ntohs(Address.sin_port)};
    return Out;
  }

private:
  int Socket;
};

/// \returns an endpoint whose port is currently free.
Endpoint freeEndpoint() { return TestSocket().address(); }

/// A traffic loop running on its own thread.
struct RunningLoop {
  RunningLoop(std::unique_ptr<State> Initial, Endpoint Tunnel,
              Endpoint Upstream)
      : Loop(std::move(Initial), {Tunnel, Upstream}, Time) {
    CPPUNIT_ASSERT(Loop.open());
    Thread = std::thread([this] { Loop.run(); });
  }
  ~RunningLoop() { stop(); }
  RunningLoop(const RunningLoop &) = delete;
  RunningLoop &operator=(const RunningLoop &) = delete;
  void stop() {
    Loop.quit();
    if (Thread.joinable())
      Thread.join();
  }

  SystemClock Time;
  TrafficLoop Loop;
  std::thread Thread;
};

std::unique_ptr<State> makeState() {
  return std::make_unique<State>(AgentOptions{4, {}, 1000}, PermitKey{1},
                                 SystemClock().now());
}

class AgentTrafficLoopTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AgentTrafficLoopTest);
  CPPUNIT_TEST(resumesAfterHandOver);
  CPPUNIT_TEST(refusesUnauthenticatedSuccessor);
  CPPUNIT_TEST_SUITE_END();

  static AgentSettings settings(Endpoint TakeOver) {
    AgentSettings Out;
    Out.Common.Cluster = "test";
    Out.Common.Name = "u0";
    Out.Common.LinkKey = "key";
    Out.TakeOver = TakeOver;
    return Out;
  }

  /// A planned restart must not lose an open request, change the port that the
  /// upstream sees, or run a copy of a request again.
  void resumesAfterHandOver() {
    AgentSimulation Sim(1);
    const TestSocket Entry;
    const TestSocket Upstream;
    const Endpoint Tunnel = freeEndpoint();
    // The return address in the frames belongs to no entry host, so responses
    // go to the only entry host of the configuration.
    Sim.Config.Entries = {
        {"entry0", {"entry0", "dc1", Entry.address(), true, {}}}};
    const auto Config =
        std::make_shared<const control::Configuration>(Sim.Config);
    RunningLoop First(makeState(), Tunnel, Upstream.address());
    First.Loop.post(ConfigurationChanged{Config});
    First.Loop.post(Announced{upstreamId(0), {10}});
    std::this_thread::sleep_for(100ms);

    CoapMessage Post;
    Post.Code = wire::code::Post;
    Post.MessageId = 1;
    Post.RequestToken = {1, {1}};
    addOption(Post, wire::option::UriPath, bytesOf("orders"));
    Entry.send(Tunnel, Sim.forwardFrame(0, buildCoap(Post).value()));
    const Bytes Reply = Entry.receive();
    const auto Frame = wire::decodeFrame(Reply).value();
    const auto Permit = wire::parseCoap(Frame.Payload).value();
    CPPUNIT_ASSERT_EQUAL(wire::code::Unauthorized, Permit.Code);
    addOption(Post, wire::option::Echo,
              findOption(Permit, wire::option::Echo).value());
    Post.MessageId = 2;
    const Bytes Permitted = Sim.forwardFrame(0, buildCoap(Post).value());
    Entry.send(Tunnel, Permitted);
    Endpoint FlowAddress;
    const Bytes Ran = Upstream.receive(&FlowAddress);
    CPPUNIT_ASSERT(!Ran.empty());

    const Endpoint TakeOverAddress = freeEndpoint();
    auto Server = startTakeOverServer(
        settings(TakeOverAddress), [&] { return First.Loop.handOver().get(); });
    CPPUNIT_ASSERT(Server.has_value());
    auto Next = makeState();
    const SystemClock Time;
    const auto Taken =
        takeOver(settings(TakeOverAddress), TakeOverAddress, *Next, Time);
    CPPUNIT_ASSERT_MESSAGE(Taken ? "" : toString(Taken.error()),
                           Taken.has_value());
    for (int RetriesLeft = 100; RetriesLeft > 0 && !(*Server)->finished();
         --RetriesLeft)
      std::this_thread::sleep_for(20ms);
    CPPUNIT_ASSERT((*Server)->finished());
    CPPUNIT_ASSERT(Next->Instance == (Incarnation{10}));

    RunningLoop Second(std::move(Next), Tunnel, Upstream.address());
    Entry.send(Tunnel, Permitted);
    const auto Asked = wire::parseCoap(Ran).value();
    CoapMessage Answer = makeResponse(Asked, wire::code::Changed, 0);
    Answer.Payload = bytesOf("done");
    Upstream.send(FlowAddress, buildCoap(Answer).value());
    const Bytes Last = Entry.receive();
    CPPUNIT_ASSERT(!Last.empty());
    CPPUNIT_ASSERT_EQUAL(
        std::string("done"),
        textOf(wire::parseCoap(wire::decodeFrame(Last)->Payload)->Payload));
    CPPUNIT_ASSERT(Upstream.receive().empty());
  }

  /// Permit keys and records must only be sent to an authenticated successor.
  void refusesUnauthenticatedSuccessor() {
    const Endpoint TakeOverAddress = freeEndpoint();
    bool Asked = false;
    auto Server = startTakeOverServer(settings(TakeOverAddress), [&] {
      Asked = true;
      return std::vector<Bytes>();
    });
    CPPUNIT_ASSERT(Server.has_value());
    AgentSettings Foreign = settings(TakeOverAddress);
    Foreign.Common.LinkKey = "other";
    auto Next = makeState();
    const SystemClock Time;
    const auto Taken = takeOver(Foreign, TakeOverAddress, *Next, Time);
    CPPUNIT_ASSERT(!Taken.has_value());
    CPPUNIT_ASSERT(!Asked);
    CPPUNIT_ASSERT(!(*Server)->finished());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AgentTrafficLoopTest);

} // namespace
