#ifndef JASMINEARCH_REVIEW_STANDINS_2_H
#define JASMINEARCH_REVIEW_STANDINS_2_H

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

/// Stand-ins for the platform on loopback addresses: routers, callers, servers,
/// an operator, and the processes of a small deployment.
namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// Times of the platform's pages.
constexpr milliseconds RetransmitDelay{200};
constexpr milliseconds MaxRetransmitDelay{1600};
constexpr milliseconds OpeningLimit{1400};
constexpr milliseconds ReadinessInterval{500};
constexpr milliseconds HeartbeatAnswerLimit{1000};

/// A reset counts on an open flow if its number is this close to the caller's
/// last acknowledgement.
constexpr std::int64_t ResetWindow = 76800;

struct HttpAnswer {
  int Status = 0;
  std::string Body;
  std::string Location;
};

/// Sends one HTTP/1.1 request. \returns nothing if no answer came in time.
std::optional<HttpAnswer> httpCall(const std::string &Address,
                                   std::uint16_t Port,
                                   const std::string &Method,
                                   const std::string &Path,
                                   const std::string &Body, milliseconds Limit);

/// Lines of events with their time in milliseconds since the start.
class Record {
public:
  explicit Record(const std::string &File);
  void line(const std::string &Text);
  milliseconds now() const;

private:
  std::ofstream Out;
  std::mutex Mutex;
  Clock::time_point Start = Clock::now();
};

/// Addresses and ports of one run.
struct Net {
  std::string Prefix; ///< First two numbers and a dot after each.
  std::uint16_t Packets = 0;
  std::uint16_t Outbound = 0;
  std::uint16_t Ready = 0;
  std::uint16_t Control = 0;
  std::uint16_t App = 0;
  std::uint16_t Internal = 0;

  std::string control(int Number) const;
  std::string entry(int Number) const;
  std::string side(int Number) const;
  std::string caller(int Number) const;
  /// Address of a route; no process listens there.
  std::string route(int Number) const;
};

/// Chooses a loopback network and ports that are free.
Net chooseNet();

/// The processes under test, with their settings in a temporary folder.
class Deployment {
public:
  Deployment(Net Addresses, int Controls, int Entries, int Sides,
             int HeartbeatMs, Record &Log);
  ~Deployment();
  Deployment(const Deployment &) = delete;
  Deployment &operator=(const Deployment &) = delete;

  /// Starts the process of a host such as "c1", "e2" or "s3".
  void start(const std::string &Host);
  void startAll();
  void signal(const std::string &Host, int Number);
  /// Sends SIGTERM or SIGKILL and waits for the end.
  void end(const std::string &Host, int Number);
  bool running(const std::string &Host);
  void setService(int Side, const std::string &Name) { Services[Side] = Name; }
  const Net &net() const { return Addresses; }
  int controls() const { return Controls; }
  int entries() const { return Entries; }

private:
  void writeSettings(const std::string &Host) const;
  std::string ip(const std::string &Host) const;

  Net Addresses;
  int Controls;
  int Entries;
  int Sides;
  int HeartbeatMs;
  Record &Log;
  std::string Folder;
  bool FirstStart = true;
  std::map<int, std::string> Services;
  std::map<std::string, pid_t> Pids;
};

/// The operator: sends a configuration until it gets a clear answer, for at
/// most \p Limit. \returns the status, or 0.
int putConfig(const Deployment &D, const std::string &Body, Record &Log,
              milliseconds Limit);

struct RouteSpec {
  int Number = 0;
  std::string Service;
};
std::string configBody(const Net &Addresses, std::uint64_t Version,
                       const std::vector<RouteSpec> &Routes,
                       const std::vector<std::string> &Services);

enum PacketFlag : std::uint8_t {
  Syn = 1,
  Bounced = 2,
  Ack = 4,
  Rst = 8,
  Fin = 128
};

struct End {
  std::uint32_t Address = 0;
  std::uint16_t Port = 0;
  auto operator<=>(const End &) const = default;
};

struct Packet {
  End From;
  End To;
  std::uint8_t Flags = 0;
  std::uint32_t Seq = 0;
  std::uint32_t AckNumber = 0;
  std::string Data;
  /// The sum was that of the writer.
  bool Genuine = false;
};

/// What happened, for the verdicts.
struct Ran {
  milliseconds At{0};
  /// When the server took the opening packet of the flow.
  milliseconds OpenedAt{0};
  std::string Service;
  int Side = 0;
  std::string RequestId;
  End Route;
};

struct ResetSeen {
  milliseconds At{0};
  std::uint16_t Port = 0;
  int Side = 0;
};

class World;

/// One server process beside a side daemon.
class Server {
public:
  Server(World &W, int Side, std::string Id, std::string Service);
  ~Server();
  Server(const Server &) = delete;
  Server &operator=(const Server &) = delete;

  /// Body of the next heartbeat; increases the sequence.
  std::string nextHeartbeat();
  /// Starts the thread that sends heartbeats, the first at once.
  void startHeartbeats(int IntervalMs);
  void stopHeartbeats();
  /// Reports from now on that it leaves, and closes each flow after its next
  /// response. It goes on taking flows.
  void drain() { Draining = true; }
  /// When the first heartbeat was acknowledged that said so.
  std::optional<milliseconds> drainAcknowledged() const;
  void poll();
  int side() const { return Side; }
  const std::string &service() const { return Service; }
  const std::string &id() const { return Id; }
  std::int64_t born() const { return Born; }
  bool holds(const End &Caller, const End &Route) const;
  /// Descriptors to wait on.
  std::array<int, 2> descriptors() const { return {Udp, Tcp}; }

private:
  struct Flow {
    std::uint32_t PeerSeq = 0;
    std::uint32_t OwnSeq = 0;
    std::uint32_t Expected = 0;
    std::uint32_t Next = 0;
    bool Open = false;
    bool Finished = false;
    milliseconds OpenedAt{0};
    std::string LastAnswer;
    std::uint32_t LastAnswerSeq = 0;
  };
  void handle(const Packet &P, const std::string &Raw);
  void answer(const Packet &P, Flow &F);
  void send(const Packet &P);
  void acceptHealthChecks();

  World &W;
  int Side;
  std::string Id;
  std::string Service;
  std::int64_t Born;
  std::uint64_t Sequence = 0;
  int Udp = -1;
  int Tcp = -1;
  std::map<std::pair<End, End>, Flow> Flows;
  std::thread Beats;
  std::atomic<bool> Beating{false};
  std::atomic<bool> Draining{false};
  /// In milliseconds; negative before it.
  std::atomic<std::int64_t> DrainAcknowledgedAt{-1};
};

/// One flow of a caller.
struct CallerFlow {
  enum class Phase { Opening, Open, Closed };
  std::uint16_t Port = 0;
  int Route = 0;
  Phase State = Phase::Opening;
  std::uint32_t Seq = 0;
  std::uint32_t PeerNext = 0;
  int Entry = 0; ///< Fixed entry host; 0 means the router chooses.
  std::string Pending;
  std::string PendingId;
  std::uint32_t PendingSeq = 0;
  int Copies = 0;
  milliseconds StartedAt{0};
  milliseconds SentAt{0};
  milliseconds Delay{0};
  int Answered = 0;
  bool CloseAfterAnswer = false;
};

/// Routers, callers and servers, run by one thread.
class World {
public:
  World(Deployment &D, Record &Log);
  ~World();
  World(const World &) = delete;
  World &operator=(const World &) = delete;

  Deployment &deployment() { return D; }
  Record &log() { return Log; }
  const Net &net() const { return D.net(); }

  Server &startServer(int Side, const std::string &Id,
                      const std::string &Service);
  void stopServer(int Side);
  Server *server(int Side);

  /// Opens a flow; a request can follow once it is open.
  std::uint16_t openFlow(int Route, int Entry, bool CloseAfterAnswer,
                         const std::string &FirstRequestId);
  void request(std::uint16_t Port, const std::string &Id);
  CallerFlow *flow(std::uint16_t Port);
  std::map<std::uint16_t, CallerFlow> &flows() { return CallerFlows; }

  /// Handles packets and timers for \p Time.
  void run(milliseconds Time);
  /// Waits until all entry hosts are ready. \returns whether they are.
  bool waitReady(milliseconds Limit);
  bool ready(int Entry) const { return ReadyEntries[Entry]; }

  void noteRun(const Ran &R);
  const std::vector<Ran> &runs() const { return Runs; }
  const std::vector<ResetSeen> &wrongResets() const { return WrongResets; }
  int answered() const { return Answered; }
  int forged() const { return Forged; }
  void noteForged() { ++Forged; }
  std::uint32_t random() { return static_cast<std::uint32_t>(Random()); }

private:
  void step();
  void handleCaller(const Packet &P);
  void advance(CallerFlow &F);
  void transmit(CallerFlow &F);
  void sendFromCaller(const CallerFlow &F, std::uint8_t Flags,
                      std::uint32_t Seq, std::uint32_t AckNumber,
                      const std::string &Data);
  int chooseEntry(const CallerFlow &F) const;
  void watchReadiness();

  Deployment &D;
  Record &Log;
  int CallerSocket = -1;
  std::map<int, std::unique_ptr<Server>> Servers;
  std::map<std::uint16_t, CallerFlow> CallerFlows;
  std::uint16_t NextPort = 20000;
  std::vector<Ran> Runs;
  std::vector<ResetSeen> WrongResets;
  int Answered = 0;
  int Forged = 0;
  std::mt19937 Random{std::random_device{}()};
  std::array<std::atomic<bool>, 16> ReadyEntries{};
  std::atomic<bool> Stopping{false};
  std::thread Readiness;
};

/// Opens one short flow on each of \p Routes every 25 ms until \p Until.
/// \param Number Number of the last request; increases.
void openFlowsUntil(World &W, Clock::time_point Until,
                    const std::vector<int> &Routes, int &Number);

/// Runs a case with the record's file as its argument, and without the
/// disruption if TROUBLE is 0. \returns the exit status.
int runMain(int Argc, char **Argv,
            int (*Case)(bool Trouble, const std::string &RecordFile));

std::uint32_t toAddress(const std::string &Text);
std::string encode(const Packet &P);
std::optional<Packet> decode(const std::string &Raw);
int bindUdp(const std::string &Address, std::uint16_t Port);
int listenTcp(const std::string &Address, std::uint16_t Port);
void sendTo(int Socket, const std::string &Address, std::uint16_t Port,
            const std::string &Raw);
std::optional<std::string> receive(int Socket);

} // namespace review

#endif // JASMINEARCH_REVIEW_STANDINS_2_H
