#include "jasminearch/link/link.h"
#include <chrono>
#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

using namespace jasminearch::link;
using Payload = std::vector<std::uint8_t>;

namespace {

constexpr auto Localhost = "127.0.0.1";

/// A hub that connects to itself and records the calls of its handlers.
struct LoopbackHub {
  explicit LoopbackHub(LinkLimits Limits = {}) {
    LinkHandlers H;
    H.Opened = [this](LinkId Id, bool Incoming) {
      (Incoming ? Accepted : Outgoing).push_back(Id);
    };
    H.Received = [this](LinkId Id, Payload Message) {
      Received[Id].push_back(std::move(Message));
    };
    H.Closed = [this](LinkId Id) { ++Closed[Id]; };
    Hub = makeWebsocketHub(std::move(H), Limits);
    CPPUNIT_ASSERT(Hub->listen(Localhost, 0));
  }

  LinkId connect() { return Hub->connect(Localhost, Hub->listeningPort()); }

  /// Runs the hub until \p Done is true, for at most 5 s. \returns whether \p
  /// Done became true.
  template <typename Condition> bool serveUntil(Condition Done) {
    const auto Limit =
        std::chrono::steady_clock::now() + std::chrono::seconds(5);
    bool Reached = false;
    Hub->every(5, [this, Done, Limit, &Reached] {
      Reached = Reached || Done();
      if (Reached || std::chrono::steady_clock::now() > Limit)
        Hub->stop();
    });
    Hub->run();
    return Reached;
  }

  std::vector<LinkId> Accepted;
  std::vector<LinkId> Outgoing;
  std::map<LinkId, std::vector<Payload>> Received;
  std::map<LinkId, int> Closed;
  std::unique_ptr<LinkHub> Hub;
};

class WebsocketLinkTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WebsocketLinkTest);
  CPPUNIT_TEST(carriesMessagesBothWays);
  CPPUNIT_TEST(reportsFailedAttempts);
  CPPUNIT_TEST(refusesPortInUse);
  CPPUNIT_TEST(closesOnOversizedMessages);
  CPPUNIT_TEST(refusesLinksOverTheLimit);
  CPPUNIT_TEST(closesLinkWithFullQueue);
  CPPUNIT_TEST(survivesNonWebsocketBytes);
  CPPUNIT_TEST(sendsQueuedMessagesBeforeClosing);
  CPPUNIT_TEST(doesNotReportCloseInsideSend);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against messages that are merged, reordered or truncated.
  void carriesMessagesBothWays() {
    LoopbackHub L;
    L.connect();
    CPPUNIT_ASSERT(L.serveUntil([&] {
      if (L.Outgoing.empty() || L.Accepted.empty())
        return false;
      if (L.Received.empty()) {
        L.Hub->send(L.Outgoing[0], {1, 2, 3});
        L.Hub->send(L.Outgoing[0], {});
        L.Hub->send(L.Accepted[0], Payload(100'000, 7));
      }
      return L.Received[L.Accepted[0]].size() >= 2 &&
             !L.Received[L.Outgoing[0]].empty();
    }));
    const std::vector<Payload> &FromOutgoing = L.Received[L.Accepted[0]];
    CPPUNIT_ASSERT(FromOutgoing[0] == Payload({1, 2, 3}));
    CPPUNIT_ASSERT(FromOutgoing[1].empty());
    CPPUNIT_ASSERT(L.Received[L.Outgoing[0]][0] == Payload(100'000, 7));
  }

  /// Guards against a client that waits forever for an unreachable control
  /// host.
  void reportsFailedAttempts() {
    LoopbackHub L;
    constexpr std::uint16_t ClosedPort = 1;
    const LinkId Id = L.Hub->connect(Localhost, ClosedPort);
    CPPUNIT_ASSERT(L.serveUntil([&] { return L.Closed[Id] > 0; }));
    CPPUNIT_ASSERT_EQUAL(1, L.Closed[Id]);
  }

  /// Guards against two daemons that both seem to listen on the same port.
  void refusesPortInUse() {
    LoopbackHub First;
    LoopbackHub Second;
    CPPUNIT_ASSERT(!makeWebsocketHub({}, {})->listen(
        Localhost, First.Hub->listeningPort()));
    CPPUNIT_ASSERT(!makeWebsocketHub({}, {})->listen("no address", 0));
  }

  /// Guards against a sender that exhausts the receiver's memory.
  void closesOnOversizedMessages() {
    LinkLimits SmallMessages;
    SmallMessages.MaxMessageBytes = 1000;
    LoopbackHub L(SmallMessages);
    const LinkId Id = L.connect();
    CPPUNIT_ASSERT(L.serveUntil([&] {
      if (!L.Outgoing.empty())
        L.Hub->send(Id, Payload(1001, 1));
      return L.Closed[Id] > 0;
    }));
    CPPUNIT_ASSERT(L.Received.empty());
  }

  /// Guards against links that exhaust the process's file descriptors.
  void refusesLinksOverTheLimit() {
    LinkLimits FewLinks;
    FewLinks.MaxLinks = 3;
    LoopbackHub L(FewLinks);
    for (int I = 0; I < 5; ++I)
      L.connect();
    CPPUNIT_ASSERT(L.serveUntil([&] { return L.Closed.size() == 2; }));
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), L.Accepted.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), L.Outgoing.size());
  }

  /// Guards against a sender that buffers without limit for a frozen receiver.
  void closesLinkWithFullQueue() {
    LinkLimits SmallQueue;
    SmallQueue.MaxQueuedBytes = 10'000;
    LoopbackHub L(SmallQueue);
    const LinkId Id = L.connect();
    std::size_t MostQueued = 0;
    CPPUNIT_ASSERT(L.serveUntil([&] {
      for (int I = 0; I < 10 && !L.Outgoing.empty(); ++I) {
        L.Hub->send(Id, Payload(4000, 1));
        MostQueued = std::max(MostQueued, L.Hub->queuedBytes(Id));
      }
      return L.Closed[Id] > 0;
    }));
    CPPUNIT_ASSERT(MostQueued > 0);
    CPPUNIT_ASSERT(MostQueued <= SmallQueue.MaxQueuedBytes);
  }

  /// Guards against a crash or a leaked link when a client doesn't speak the
  /// websocket protocol.
  void survivesNonWebsocketBytes() {
    LoopbackHub L;
    const int Socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in To{};
    To.sin_family = AF_INET;
    To.sin_port = htons(L.Hub->listeningPort());
    To.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    CPPUNIT_ASSERT_EQUAL(
        0, ::connect(Socket, reinterpret_cast<sockaddr *>(&To), sizeof To));
    const std::string Garbage(3000, '\x81');
    CPPUNIT_ASSERT(::write(Socket, Garbage.data(), Garbage.size()) > 0);
    L.connect();
    CPPUNIT_ASSERT(L.serveUntil([&] { return !L.Accepted.empty(); }));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), L.Accepted.size());
    ::close(Socket);
  }

  /// Guards against a Closed call from inside send(), which would change the
  /// caller's links while it iterates over them.
  void doesNotReportCloseInsideSend() {
    LinkLimits SmallQueue;
    SmallQueue.MaxQueuedBytes = 10'000;
    LoopbackHub L(SmallQueue);
    const LinkId Id = L.connect();
    CPPUNIT_ASSERT(L.serveUntil([&] {
      for (int I = 0; I < 10 && !L.Outgoing.empty(); ++I) {
        const int Before = L.Closed[Id];
        L.Hub->send(Id, Payload(4000, 1));
        CPPUNIT_ASSERT_EQUAL(Before, L.Closed[Id]);
      }
      return L.Closed[Id] > 0;
    }));
  }

  /// Guards against a refusal that is lost because the link is closed right
  /// after it.
  void sendsQueuedMessagesBeforeClosing() {
    LoopbackHub L;
    const LinkId Id = L.connect();
    bool Sent = false;
    CPPUNIT_ASSERT(L.serveUntil([&] {
      if (!Sent && !L.Accepted.empty() && !L.Outgoing.empty()) {
        L.Hub->send(L.Accepted[0], Payload(50'000, 9));
        L.Hub->close(L.Accepted[0]);
        Sent = true;
      }
      return L.Closed[Id] > 0 && L.Closed[L.Accepted[0]] > 0;
    }));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), L.Received[Id].size());
    CPPUNIT_ASSERT_EQUAL(1, L.Closed[L.Accepted[0]]);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WebsocketLinkTest);

} // namespace
