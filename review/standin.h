#ifndef JASMINEARCH_REVIEW_STANDIN_H
#define JASMINEARCH_REVIEW_STANDIN_H

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

/// Stand-ins for the platform around the load balancer: callers, backends, the
/// operator and the supervisor that starts processes. They follow the users'
/// pages and judge only what they send and receive themselves.
namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline constexpr std::uint16_t PacketPort = 8172;
inline constexpr std::uint16_t OutboundPort = 8162;
inline constexpr std::uint16_t BackendPort = 8165;
inline constexpr std::uint16_t ApiPort = 8166;
inline constexpr std::uint16_t ReadyPort = 8167;

/// Exit status of a case.
enum class Verdict : std::uint8_t { Held = 0, Broken = 1, CouldNotRun = 2 };

/// The record of a run: one line for each event, with the milliseconds since
/// the start of the case.
class Record {
public:
  explicit Record(const std::string &Path);
  ~Record();
  Record(const Record &) = delete;
  Record &operator=(const Record &) = delete;
  void line(const std::string &Text);

private:
  std::mutex Mutex;
  std::FILE *File;
  Clock::time_point Start = Clock::now();
};

struct HttpReply {
  int Status = 0;
  std::string Location;
  std::string Body;
};

/// Sends an HTTP request. \returns nothing without a response within a second.
std::optional<HttpReply> callHttp(const std::string &Method,
                                  const std::string &Ip, std::uint16_t Port,
                                  const std::string &Target,
                                  const std::string &Body);

/// One program of the deploy file, as a process of its own.
class Process {
public:
  Process(std::string Folder, std::string Name, std::string Role,
          std::string Ip, std::string ControlPrefix);
  ~Process();
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;
  void writeSettings(bool FirstStart) const;
  bool start();
  void sendSignal(int Signal) const;
  /// Waits until the process has ended.
  void reap();
  const std::string &ip() const { return Ip; }

private:
  std::string Folder;
  std::string Name;
  std::string Role;
  std::string Ip;
  std::string ControlPrefix;
  pid_t Pid = -1;
};

/// The platform's packet. Sequence numbers count as the pages say: the flow
/// opens at the backend whose number the caller acknowledges.
struct Packet {
  std::uint32_t Source = 0;
  std::uint16_t SourcePort = 0;
  std::uint32_t Destination = 0;
  std::uint16_t DestinationPort = 0;
  std::uint8_t Flags = 0;
  std::uint32_t Sequence = 0;
  std::uint32_t Acknowledged = 0;
  std::string Data;
};

struct RouteAddress {
  std::uint32_t Address = 0;
  std::uint16_t Port = 443;
};

/// A flow as its caller sees it.
struct Flow {
  enum class State : std::uint8_t { Opening, Open, Reset, GivenUp };
  std::string Name;
  RouteAddress Route;
  std::uint16_t Port = 0;
  State Current = State::Opening;
  std::uint32_t Sequence = 0;
  std::uint32_t PeerSequence = 0;
  std::uint32_t CopiesSent = 0;
  Clock::time_point OpenedAt{};
  /// When each copy of the opening packet was sent.
  std::vector<Clock::time_point> CopyTimes;
  /// The request that waits for its answer, and its last transmission.
  std::string Request;
  Clock::time_point SentAt{};
  milliseconds RetryAfter{200};
  /// Requests to send as soon as the flow is open and idle.
  std::vector<std::string> Queue;
  /// Answers received, as "REQUEST by BACKEND".
  std::vector<std::string> Answers;
};

/// An opening packet or a request that reached a backend.
struct Arrival {
  std::string Backend;
  std::string Service;
  std::string What;
  /// Port of the caller, which identifies the flow.
  std::uint16_t CallerPort = 0;
  std::uint32_t Copy = 0;
  Clock::time_point At{};
};

/// One start of a backend.
struct BackendOptions {
  std::string Id;
  std::string Service;
  std::string Ip;
  /// What the clock of its machine differs from the true time of day.
  milliseconds ClockOffset{0};
  milliseconds WorkTime{5};
  milliseconds HeartbeatInterval{1200};
};

class World;

/// A backend: answers health checks, flows and requests, and announces itself.
class Backend {
public:
  Backend(World &Owner, BackendOptions Options);
  ~Backend();
  Backend(const Backend &) = delete;
  Backend &operator=(const Backend &) = delete;
  bool start();
  /// Ends at once, without a word to anybody.
  void crash();
  /// Reports "draining" at once and in all later heartbeats. \returns when the
  /// report was acknowledged.
  std::optional<Clock::time_point> drain();
  const BackendOptions &options() const { return Options; }
  const std::string &label() const { return Label; }
  /// When the next regular heartbeat is due.
  Clock::time_point nextHeartbeat();
  /// Decides whether an arriving packet is lost on its way; empty: never.
  std::function<bool(const Packet &)> IsLost;

private:
  friend class World;
  struct Held {
    std::uint32_t Sequence = 0;
    /// End of the data that the backend has begun to work on.
    std::optional<std::uint32_t> RunUpTo;
    /// The last answer, which is sent again if its request is.
    std::optional<Packet> LastAnswer;
  };
  struct Answer {
    Clock::time_point Due{};
    Packet Value;
  };
  bool announce();
  void runHeartbeats();
  void receive(Clock::time_point Now);
  void handle(const Packet &P, const std::vector<std::uint8_t> &Raw,
              Clock::time_point Now);
  void sendDue(Clock::time_point Now);
  void send(const std::vector<std::uint8_t> &Raw) const;

  World &Owner;
  BackendOptions Options;
  std::string Label;
  std::int64_t BornMs = 0;
  std::uint64_t HeartbeatNumber = 0;
  bool Draining = false;
  bool Running = false;
  int Udp = -1;
  int Listener = -1;
  std::map<std::pair<std::uint32_t, std::uint16_t>, Held> Flows;
  std::vector<Answer> Answers;
  std::mutex HeartbeatMutex;
  Clock::time_point HeartbeatDue{};
  std::thread HeartbeatThread;
};

/// Callers and backends of a case, and the thread that moves their packets.
class World {
public:
  World(Record &Log, std::string Prefix);
  ~World();
  World(const World &) = delete;
  World &operator=(const World &) = delete;
  bool start();
  void stop();
  void add(Backend &B);
  void remove(Backend &B);
  /// Opens a flow through the entry host \p EntryIp and sends \p Requests on
  /// it, one after the other. \returns the flow's number.
  std::size_t openFlow(const std::string &Name, RouteAddress Route,
                       const std::string &EntryIp,
                       std::vector<std::string> Requests);
  void request(std::size_t Number, const std::string &Id);
  /// \returns a copy of the flow as it is now.
  Flow flow(std::size_t Number);
  std::vector<Arrival> arrivals();
  Record &record() { return Log; }
  const std::string &prefix() const { return Prefix; }

private:
  friend class Backend;
  struct Caller {
    Flow Value;
    std::string EntryIp;
  };
  void run();
  void receiveForCallers(Clock::time_point Now);
  void advance(Caller &C, Clock::time_point Now);
  void transmit(Caller &C, std::uint8_t Flags, const std::string &Data);

  Record &Log;
  std::string Prefix;
  std::string CallerIp;
  int Udp = -1;
  std::mutex Mutex;
  bool Running = false;
  std::thread Thread;
  std::vector<std::unique_ptr<Caller>> Callers;
  std::vector<Backend *> Backends;
  std::vector<Arrival> Arrivals;
  std::uint16_t NextPort = 20000;
};

/// A small deployment: three control hosts, one entry host and agents.
class Deployment {
public:
  Deployment(Record &Log, const std::string &Prefix, unsigned AgentCount);
  ~Deployment();
  Deployment(const Deployment &) = delete;
  Deployment &operator=(const Deployment &) = delete;
  /// Starts all processes and waits until the control hosts answer.
  bool start();
  /// Sends a configuration until it is acknowledged; \returns when it was.
  std::optional<Clock::time_point> configure(const std::string &Body);
  /// Waits until the entry host reports that it is ready.
  bool waitUntilReady();
  Process &agent(std::size_t Index) { return *Agents.at(Index); }
  Process &control(std::size_t Index) { return *Controls.at(Index); }
  Process &entry() { return *Entry; }

private:
  Record &Log;
  std::string Folder;
  std::vector<std::unique_ptr<Process>> Controls;
  std::vector<std::unique_ptr<Process>> Agents;
  std::unique_ptr<Process> Entry;
};

/// A route for configurationBody().
struct RouteText {
  std::string Hostname;
  std::string Type;
  std::string Service;
};

std::string configurationBody(std::uint64_t Version,
                              const std::vector<RouteText> &Routes,
                              const std::vector<std::string> &Services);

/// \returns a prefix of loopback addresses, such as "127.80.", that is free.
std::string freePrefix();
std::uint32_t parseIp(const std::string &Text);
/// \returns whether the disruption is to happen (environment TROUBLE).
bool withTrouble();
void pause(milliseconds Time);
/// Waits until \p Condition holds. \returns false after \p Limit.
bool waitFor(milliseconds Limit, const std::function<bool()> &Condition);

} // namespace review

#endif // JASMINEARCH_REVIEW_STANDIN_H
