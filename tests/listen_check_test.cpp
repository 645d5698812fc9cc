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

/// A TCP socket on a free port of the loopback address.
class TcpPort {
public:
  TcpPort() : Handle(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in Address = toSocketAddress({Loopback, 0});
    socklen_t Size = sizeof(Address);
    CPPUNIT_ASSERT(Handle >= 0);
    CPPUNIT_ASSERT_EQUAL(
        0, bind(Handle, reinterpret_cast<sockaddr *>(&Address), Size));
    CPPUNIT_ASSERT_EQUAL(
        0, getsockname(Handle, reinterpret_cast<sockaddr *>(&Address), &Size));
    At = toEndpoint(Address);
  }
  TcpPort(const TcpPort &) = delete;
  TcpPort &operator=(const TcpPort &) = delete;
  ~TcpPort() { close(Handle); }

  void listen() const { CPPUNIT_ASSERT_EQUAL(0, ::listen(Handle, 4)); }
  const Endpoint &endpoint() const { return At; }

private:
  int Handle;
  Endpoint At;
};

ListenState check(const Endpoint &At) {
  constexpr int PatienceMs = 5000;
  ListenCheck Check;
  Check.start(At);
  pollfd Wait{Check.descriptor(), POLLOUT, 0};
  CPPUNIT_ASSERT_EQUAL(1, poll(&Wait, 1, PatienceMs));
  const ListenState Found = Check.finish();
  CPPUNIT_ASSERT_EQUAL(-1, Check.descriptor());
  return Found;
}

class ListenCheckTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ListenCheckTest);
  CPPUNIT_TEST(tellsWhetherAnythingListens);
  CPPUNIT_TEST(knowsNothingWithoutACheck);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against calling an upstream dead that is only slow to answer.
  void tellsWhetherAnythingListens() {
    const TcpPort Port;
    CPPUNIT_ASSERT(check(Port.endpoint()) == ListenState::No);
    Port.listen();
    CPPUNIT_ASSERT(check(Port.endpoint()) == ListenState::Yes);
  }

  void knowsNothingWithoutACheck() {
    ListenCheck Check;
    CPPUNIT_ASSERT(Check.finish() == ListenState::Unknown);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ListenCheckTest);

} // namespace
