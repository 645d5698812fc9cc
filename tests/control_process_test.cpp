#include "jasminearch/clock.h"
#include "node.h"
#include <absl/strings/str_cat.h>
#include <arpa/inet.h>
#include <cppunit/extensions/HelperMacros.h>
#include <filesystem>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <thread>
#include <unistd.h>

using namespace jasminearch;
using namespace jasminearch::platform;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t Loopback = 0x7F000001;

/// A TCP socket that is closed at the end of its scope.
class Socket {
public:
  ~Socket() { close(Descriptor); }
  Socket(const Socket &) = delete;
  Socket &operator=(const Socket &) = delete;
  Socket() = default;

  const int Descriptor = socket(AF_INET, SOCK_STREAM, 0);
};

sockaddr_in addressOf(const Endpoint &E) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(E.Address);
  Address.sin_port = htons(E.Port);
  return Address;
}

/// \returns a port that was free a moment ago.
std::uint16_t freePort() {
  const Socket S;
  sockaddr_in Address = addressOf({Loopback, 0});
  socklen_t Size = sizeof(Address);
  auto *Generic = reinterpret_cast<sockaddr *>(&Address);
  CPPUNIT_ASSERT_EQUAL(0, bind(S.Descriptor, Generic, Size));
  CPPUNIT_ASSERT_EQUAL(0, getsockname(S.Descriptor, Generic, &Size));
  return ntohs(Address.sin_port);
}

/// \returns the status of the answer, or zero if there was none.
int put(const Endpoint &To, const std::string &Target,
        const std::string &Body) {
  const Socket S;
  const timeval Timeout{5, 0};
  setsockopt(S.Descriptor, SOL_SOCKET, SO_RCVTIMEO, &Timeout, sizeof(Timeout));
  const sockaddr_in Address = addressOf(To);
  if (connect(S.Descriptor, reinterpret_cast<const sockaddr *>(&Address),
              sizeof(Address)) != 0)
    return 0;
  const std::string Request = absl::StrCat(
      "PUT ", Target,
      " HTTP/1.1\r\nHost: localhost\r\nContent-Length: ", Body.size(),
      "\r\nConnection: close\r\n\r\n", Body);
  if (send(S.Descriptor, Request.data(), Request.size(), MSG_NOSIGNAL) < 0)
    return 0;
  std::string Answer(12, '\0');
  const auto Size =
      recv(S.Descriptor, Answer.data(), Answer.size(), MSG_WAITALL);
  return Size == 12 ? std::stoi(Answer.substr(9)) : 0;
}

/// \returns a configuration whose only route is limited to \p Region.
std::string configuration(const std::string &Region) {
  return absl::StrCat(
      R"({"version":7,"routes":[{"name":"r","hostname":"198.18.0.1",)",
      R"("path_prefix":"/8443/","type":"safe","timeout_ms":2500,)",
      R"("target_latency_ms":150,"priority":2,"service":"orders",)",
      R"("allowed_regions":[")", Region,
      R"("]}],"services":[{"name":"orders"}],)",
      R"("limits":{"idle_timeout_ms":15000}})");
}

/// A control host as a process of the platform, on the loopback interface.
class ControlProcessTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ControlProcessTest);
  CPPUNIT_TEST(takesOverRegionsWithoutARestart);
  CPPUNIT_TEST_SUITE_END();

  std::string Folder;

  /// Submits a configuration to each host in turn until one accepts or refuses
  /// it: there is no leader at first. \returns the last status.
  static int submitToLeader(const std::vector<NodeSettings> &Hosts,
                            const std::string &Region) {
    int Status = 0;
    for (int Try = 0; Try < 100; ++Try) {
      for (const NodeSettings &S : Hosts) {
        Status = put(*S.ControlApi, "/config", configuration(Region));
        if (Status == 200 || Status == 400)
          return Status;
      }
      std::this_thread::sleep_for(50ms);
    }
    return Status;
  }

public:
  void setUp() override {
    std::string Pattern =
        (std::filesystem::temp_directory_path() / "control-XXXXXX").string();
    CPPUNIT_ASSERT(mkdtemp(Pattern.data()));
    Folder = Pattern;
  }

  void tearDown() override { std::filesystem::remove_all(Folder); }

  /// Guards against configurations that are refused after a region was added to
  /// the settings, until the process restarts.
  void takesOverRegionsWithoutARestart() {
    const SystemClock Time;
    const std::uint16_t ApiPort = freePort();
    const std::uint16_t InternalPort = freePort();
    std::vector<NodeSettings> Settings(2);
    std::vector<std::unique_ptr<Node>> Hosts;
    for (std::uint32_t I = 0; I < Settings.size(); ++I) {
      NodeSettings &S = Settings[I];
      S.Host = absl::StrCat("127.0.0.", I + 1);
      S.InternalPort = InternalPort;
      S.ControlApi = Endpoint{Loopback + I, ApiPort};
      S.Seeds = {{Loopback, ApiPort}, {Loopback + 1, ApiPort}};
      S.FirstStart = true;
      S.DataFolder = Folder + "/" + S.Host;
      std::filesystem::create_directory(S.DataFolder);
      S.DataCentres = {{"a", "east"}};
      auto Started = startControl(S, Time);
      CPPUNIT_ASSERT(Started);
      Hosts.push_back(std::move(*Started));
    }
    CPPUNIT_ASSERT_EQUAL(400, submitToLeader(Settings, "west"));
    for (std::size_t I = 0; I < Hosts.size(); ++I) {
      Settings[I].DataCentres["b"] = "west";
      Hosts[I]->reload(Settings[I]);
    }
    const int Status = submitToLeader(Settings, "west");
    for (const auto &Host : Hosts)
      Host->stop();
    CPPUNIT_ASSERT_EQUAL(200, Status);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ControlProcessTest);

} // namespace
