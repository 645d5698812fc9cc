#ifndef REVIEW_STANDINS_DEPLOYMENT_H
#define REVIEW_STANDINS_DEPLOYMENT_H

#include <atomic>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

/// Stand-ins for clients, upstreams, operator and platform, and a small
/// deployment of the project's programs on loopback addresses. A scenario of
/// the review is one program that uses them.
namespace review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;
using Bytes = std::vector<std::uint8_t>;

/// Exit statuses of a scenario.
constexpr int RuleHeld = 0;
constexpr int RuleBroken = 1;
constexpr int NotRun = 2;

/// The bounds of the pages that the settings of the deployment hold.
constexpr Milliseconds HeartbeatInterval{1200};
constexpr Milliseconds AddressReuseDelay{2000};
constexpr Milliseconds ContactTime{4000};
constexpr Milliseconds ApplyTime{3000};

struct Endpoint {
  std::uint32_t Address = 0;
  std::uint16_t Port = 0;
  auto operator<=>(const Endpoint &) const = default;
};

std::string addressText(std::uint32_t Address);
std::string toString(const Endpoint &E);

/// \returns whether the disruption of the scenario is wanted: TROUBLE isn't 0.
bool wantsTrouble();

/// Waits until \p Condition holds. \returns false after \p Limit.
bool waitFor(Milliseconds Limit, const std::function<bool()> &Condition);

/// Writes what was sent, answered and run to a file, with the time since the
/// start of the scenario.
class Record {
public:
  explicit Record(const std::string &Path) : File(Path) {}
  void write(const std::string &Line);
  Milliseconds elapsed() const;

private:
  Clock::time_point StartedAt = Clock::now();
  std::mutex Mutex;
  std::ofstream File;
};

/// Header fields of a packet, and its data.
struct Packet {
  Endpoint From;
  Endpoint To;
  std::uint8_t Flags = 0;
  std::uint32_t Sequence = 0;
  std::uint32_t Acknowledged = 0;
  std::string Data;
};

enum Flag : std::uint8_t { Syn = 1, Bounced = 2, Ack = 4, Rst = 8, Fin = 128 };

/// \returns the packet with the keyed sum of its sender.
Bytes encode(const Packet &P);
/// \returns the packet, or nothing if it can't be read.
std::optional<Packet> decode(const Bytes &Raw);
/// \returns whether the sum is the one that a client or upstream wrote.
bool hasValidSum(const Bytes &Raw);

struct HttpResponse {
  /// Zero if there was no response.
  int Status = 0;
  std::string Location;
  std::string Body;
};

/// Sends one request and waits for the response for \p Limit.
HttpResponse call(const Endpoint &To, const std::string &Method,
                  const std::string &Path, const std::string &Body,
                  Milliseconds Limit = Milliseconds{1000});

/// A UDP socket.
class Socket {
public:
  explicit Socket(const Endpoint &Local);
  ~Socket();
  Socket(const Socket &) = delete;
  Socket &operator=(const Socket &) = delete;
  bool isOpen() const { return Handle >= 0; }
  void send(const Bytes &Raw, const Endpoint &To) const;
  /// \returns the next datagram, or nothing after \p Limit.
  std::optional<Bytes> receive(Milliseconds Limit) const;

private:
  int Handle = -1;
};

/// The ports of the deployment, the same on each host.
struct Ports {
  std::uint16_t Internal = 0;
  std::uint16_t Packets = 0;
  std::uint16_t Readiness = 0;
  std::uint16_t Outbound = 0;
  std::uint16_t Control = 0;
  std::uint16_t Upstream = 0;
};

enum class Role { Control, Entry, Agent };

/// One process of the deploy file.
struct Host {
  std::string Name;
  Role Runs = Role::Control;
  std::uint32_t Address = 0;
  /// Service in the settings of an agent.
  std::string Service;
  pid_t Pid = -1;
};

/// The project's programs as processes on loopback.
class Deployment {
public:
  explicit Deployment(Record &Log);
  ~Deployment();
  Deployment(const Deployment &) = delete;
  Deployment &operator=(const Deployment &) = delete;

  /// \returns an unused loopback address of this run.
  std::uint32_t newAddress();
  /// Adds a host and writes its settings; start() starts its process.
  Host &add(Role Runs, const std::string &Service = "");
  /// Writes the settings file of \p H again, as the platform does after the
  /// first start or if the service at its address changes.
  void writeSettings(const Host &H, bool Bootstrap) const;
  void start(Host &H);
  void startAll();
  void signal(const Host &H, int Number) const;
  /// Waits for the end of a process that got a signal. \returns false if it
  /// still runs after \p Limit.
  bool waitForEnd(Host &H, Milliseconds Limit);
  /// Stops a process with SIGTERM and starts it again 200 ms after its end.
  bool restart(Host &H, Milliseconds Limit);
  /// \returns whether all processes run.
  bool allRun();

  Endpoint on(const Host &H, std::uint16_t Port) const {
    return {H.Address, Port};
  }
  std::vector<Host *> hosts(Role Runs);
  bool isReady(const Host &Entry) const;

  /// Sends an order of the operator to the control hosts until it is
  /// acknowledged. \returns false after \p Limit.
  bool order(const std::string &Configuration, Milliseconds Limit);

  Ports At;

private:
  std::string folderOf(const Host &H) const;

  Record &Log;
  std::string Program;
  std::string Folder;
  std::uint32_t Network = 0;
  std::uint32_t Used = 0;
  std::vector<std::unique_ptr<Host>> Hosts;
};

/// One route of a configuration.
struct Route {
  Endpoint Address;
  std::string Service;
};

/// \returns the document of a configuration.
std::string configuration(std::uint64_t Version,
                          const std::vector<Route> &Routes,
                          const std::vector<std::string> &Services);

/// A request that an upstream has run.
struct Run {
  std::string Request;
  std::string Upstream;
  std::string Service;
  Endpoint Route;
  Clock::time_point At;
};

/// What all upstreams have run.
class Runs {
public:
  void add(Run R);
  std::vector<Run> all() const;

private:
  mutable std::mutex Mutex;
  std::vector<Run> Done;
};

struct UpstreamOptions {
  std::string Name;
  std::string Service;
  Endpoint Address;
  /// Where its agent takes its packets and its heartbeats.
  Endpoint Outbound;
  Endpoint Heartbeats;
  /// Time that a request takes.
  Milliseconds Work{5};
};

/// A backend of the platform.
class Upstream {
public:
  Upstream(UpstreamOptions Options, Record &Log, Runs &Ran);
  /// Ends it like a crash: it sends nothing more.
  ~Upstream();
  Upstream(const Upstream &) = delete;
  Upstream &operator=(const Upstream &) = delete;

  bool isOpen() const { return Packets.isOpen() && Listener >= 0; }
  /// Sends heartbeats from now on.
  void startHeartbeats();
  /// Sends no heartbeats from now on.
  void stopHeartbeats();
  void setState(const std::string &NewState);
  /// \returns the body of the next heartbeat, and counts it as sent.
  std::string nextHeartbeat();
  /// When the last acknowledged heartbeat was sent.
  Clock::time_point acknowledgedAt() const;
  /// Starts the next heartbeat at \p At and the others each interval after it.
  void schedule(Clock::time_point At);
  std::string path() const { return "/instances/" + Options.Name; }
  const UpstreamOptions &options() const { return Options; }
  /// \returns whether the open flow of \p Client is held here.
  bool holds(const Endpoint &Client) const;
  std::uint64_t invalidPackets() const { return Invalid; }

private:
  struct Flow {
    std::uint32_t Sequence = 0;
    bool Open = false;
    bool Ended = false;
    std::uint32_t Received = 0;
    std::string Answer;
  };

  void servePackets();
  void serveChecks();
  void beat();
  void handle(const Bytes &Raw);
  void answer(const Packet &P, std::uint8_t Flags, std::uint32_t Sequence,
              std::uint32_t Acknowledged, const std::string &Data) const;

  UpstreamOptions Options;
  Record &Log;
  Runs &Ran;
  Socket Packets;
  int Listener = -1;
  std::int64_t BornMs = 0;
  mutable std::mutex Mutex;
  std::string State = "ready";
  std::uint64_t Sequence = 0;
  Clock::time_point NextBeat{};
  Clock::time_point AcknowledgedAt{};
  bool Beating = false;
  std::map<Endpoint, Flow> Flows;
  std::atomic<std::uint64_t> Invalid{0};
  std::atomic<bool> Stopping{false};
  std::vector<std::thread> Threads;
};

/// How a flow of a client stands.
enum class FlowState { Opening, Open, Closed, Refused, Reset, TimedOut };

/// One flow of a client.
struct ClientFlow {
  FlowState State = FlowState::Opening;
  Endpoint Route;
  /// The entry host that the routers hand its packets to.
  Endpoint Entry;
  std::uint32_t Sequence = 0;
  std::uint32_t PeerSequence = 0;
  Clock::time_point OpenedAt;
  Clock::time_point SentAt;
  unsigned Transmissions = 0;
  /// Requests that wait for their answer, and answers that arrived.
  std::string Request;
  std::string LastAnswer;
  std::uint64_t Answers = 0;
  /// The flow is closed after its first answer.
  bool OneRequest = true;
};

/// A client host with any number of flows.
class Client {
public:
  Client(std::uint32_t Address, std::uint16_t Port, Record &Log);
  ~Client();
  Client(const Client &) = delete;
  Client &operator=(const Client &) = delete;

  bool isOpen() const { return Packets.isOpen(); }
  /// Opens a flow from a new port and sends a request on it. \returns its port.
  std::uint16_t open(const Endpoint &Route, const Endpoint &Entry,
                     bool OneRequest);
  /// Sends a further request on an open flow.
  void request(std::uint16_t Port);
  /// The routers hand the packets of the flow to another entry host.
  void move(std::uint16_t Port, const Endpoint &Entry);
  ClientFlow flow(std::uint16_t Port) const;
  std::uint32_t address() const { return Address; }
  std::uint64_t count(FlowState State) const;
  std::uint64_t answers() const { return Answered; }
  std::uint64_t invalidPackets() const { return Invalid; }

private:
  void run();
  void handle(const Bytes &Raw);
  void retransmit();
  void sendOn(std::uint16_t Port, const ClientFlow &F, std::uint8_t Flags,
              std::uint32_t Acknowledged, const std::string &Data) const;
  void sendRequest(std::uint16_t Port, ClientFlow &F);

  std::uint32_t Address = 0;
  Record &Log;
  Socket Packets;
  mutable std::mutex Mutex;
  std::map<std::uint16_t, ClientFlow> Flows;
  std::uint16_t NextPort = 20'000;
  std::uint64_t NextRequest = 0;
  std::atomic<std::uint64_t> Answered{0};
  std::atomic<std::uint64_t> Invalid{0};
  std::atomic<bool> Stopping{false};
  std::thread Thread;
};

} // namespace review

#endif // REVIEW_STANDINS_DEPLOYMENT_H
