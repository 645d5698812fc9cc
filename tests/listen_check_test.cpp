#include "jasminearch/net/listen_check.h"
#include "jasminearch/net/udp_socket.h"
#include <cppunit/extensions/HelperMacros.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace jasminearch;
using namespace jasminearch::net;

namespace {

constexpr std::uint32_t Loopback = 0x7F000001;

/// A TCP socket bound to a free port of the loopback address.
class TcpSocket {
public:
  TcpSocket() : Handle(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in Address = toSocketAddress({Loopback, 0});
    socklen_t Size = sizeof(Address);
    CPPUNIT_ASSERT(Handle >= 0);
    CPPUNIT_ASSERT_EQUAL(
        0, bind(Handle, reinterpret_cast<sockaddr *>(&Address), Size));
    CPPUNIT_ASSERT_EQUAL(
        0, getsockname(Handle, reinterpret_cast<sockaddr *>(&Address), &Size));
    Local = toEndpoint(Address);
  }
  TcpSocket(const TcpSocket &) = delete;
  TcpSocket &operator=(const TcpSocket &) = delete;
  ~TcpSocket() { close(Handle); }

  void listen() const { CPPUNIT_ASSERT_EQUAL(0, ::listen(Handle, 4)); }
  const Endpoint &endpoint() const { return Local; }

private:
  int Handle;
  Endpoint Local;
};

ListenState check(const Endpoint &Target) {
  constexpr int TimeoutMs = 5000;
  ListenCheck Check;
  Check.start(Target);
  pollfd Wait{Check.descriptor(), POLLOUT, 0};
  CPPUNIT_ASSERT_EQUAL(1, poll(&Wait, 1, TimeoutMs));
  const ListenState Found = Check.finish();
  CPPUNIT_ASSERT_EQUAL(-1, Check.descriptor());
  return Found;
}

class ListenCheckTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ListenCheckTest);
  CPPUNIT_TEST(detectsListener);
  CPPUNIT_TEST(returnsUnknownWithoutCheck);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against treating a slow upstream as one that has stopped: only a
  /// refused connection may yield No.
  void detectsListener() {
    const TcpSocket Port;
    CPPUNIT_ASSERT(check(Port.endpoint()) == ListenState::No);
    Port.listen();
    CPPUNIT_ASSERT(check(Port.endpoint()) == ListenState::Yes);
  }

  void returnsUnknownWithoutCheck() {
    ListenCheck Check;
    CPPUNIT_ASSERT(Check.finish() == ListenState::Unknown);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ListenCheckTest);

} // namespace
