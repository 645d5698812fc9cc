#include "deployment.h"
#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <netinet/in.h>
#include <poll.h>
#include <random>
#include <sstream>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

constexpr std::size_t HeaderBytes = 34;
constexpr std::size_t MaxPacketBytes = 2048;

// Offsets of the header's fields.
constexpr std::size_t ToPortAt = 0;
constexpr std::size_t ToAt = 2;
constexpr std::size_t FromAt = 6;
constexpr std::size_t FromPortAt = 10;
constexpr std::size_t FlagsAt = 12;
constexpr std::size_t PaddingAt = 13;
constexpr std::size_t LengthAt = 16;
constexpr std::size_t EchoAt = 18;
constexpr std::size_t SumAt = 22;
constexpr std::size_t SequenceAt = 26;
constexpr std::size_t AcknowledgedAt = 30;

/// Key of the sum, known to clients and upstreams only.
constexpr std::uint32_t SumKey = 0x5EED1234;

/// A reset within this distance of the last acknowledgement ends a flow.
constexpr std::int64_t ResetWindow = 76'800;

constexpr std::array<Milliseconds, 3> OpeningSendTimes = {
    Milliseconds{0}, Milliseconds{200}, Milliseconds{600}};
constexpr Milliseconds OpeningLimit{1400};
constexpr Milliseconds FirstRetransmission{200};
constexpr Milliseconds MaxRetransmission{1600};

/// Interval at which loops look for the end of the scenario.
constexpr Milliseconds LoopInterval{10};

void put(Bytes &Raw, std::size_t Offset, std::uint32_t Value,
         std::size_t Size) {
  for (std::size_t I = 0; I < Size; ++I)
    Raw[Offset + I] = static_cast<std::uint8_t>(Value >> (8 * (Size - 1 - I)));
}

std::uint32_t take(const Bytes &Raw, std::size_t Offset, std::size_t Size) {
  std::uint32_t Value = 0;
  for (std::size_t I = 0; I < Size; ++I)
    Value = Value << 8U | Raw[Offset + I];
  return Value;
}

/// \returns the keyed sum over all fields but the sum itself and those that
/// the load balancer may use.
std::uint32_t sumOf(const Bytes &Raw) {
  std::uint32_t Sum = 2'166'136'261U ^ SumKey;
  for (std::size_t I = 0; I < Raw.size(); ++I) {
    const bool Free =
        (I >= PaddingAt && I < LengthAt) || (I >= EchoAt && I < SequenceAt);
    std::uint8_t Byte = Free ? 0 : Raw[I];
    if (I == FlagsAt)
      Byte = static_cast<std::uint8_t>(Byte & ~Bounced);
    Sum = (Sum ^ Byte) * 16'777'619U;
  }
  return Sum;
}

sockaddr_in socketAddress(const Endpoint &E) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(E.Address);
  Address.sin_port = htons(E.Port);
  return Address;
}

bool bindTo(int Handle, const Endpoint &Local) {
  const sockaddr_in Address = socketAddress(Local);
  return bind(Handle, reinterpret_cast<const sockaddr *>(&Address),
              sizeof(Address)) == 0;
}

/// \returns whether nobody uses the port on any of the first addresses.
bool isFree(std::uint32_t Network, std::uint16_t Port) {
  constexpr std::uint32_t Checked = 20;
  for (const int Type : {SOCK_STREAM, SOCK_DGRAM})
    for (std::uint32_t I = 1; I <= Checked; ++I) {
      const int Handle = socket(AF_INET, Type | SOCK_CLOEXEC, 0);
      const bool Bound = bindTo(Handle, {Network + I, Port});
      close(Handle);
      if (!Bound)
        return false;
    }
  return true;
}

bool isReadable(int Handle, Milliseconds Limit) {
  pollfd Wait{Handle, POLLIN, 0};
  return poll(&Wait, 1, static_cast<int>(Limit.count())) > 0;
}

std::uint32_t randomNumber() {
  static std::mutex Mutex;
  static std::mt19937 Generator{std::random_device{}()};
  const std::lock_guard Lock(Mutex);
  return static_cast<std::uint32_t>(Generator());
}

const char *roleName(Role Runs) {
  if (Runs == Role::Control)
    return "control";
  return Runs == Role::Entry ? "entry" : "agent";
}

} // namespace

std::string addressText(std::uint32_t Address) {
  return std::to_string(Address >> 24U) + "." +
         std::to_string(Address >> 16U & 0xFFU) + "." +
         std::to_string(Address >> 8U & 0xFFU) + "." +
         std::to_string(Address & 0xFFU);
}

std::string toString(const Endpoint &E) {
  return addressText(E.Address) + ":" + std::to_string(E.Port);
}

bool wantsTrouble() {
  const char *Value = std::getenv("TROUBLE");
  return Value == nullptr || std::string(Value) != "0";
}

bool waitFor(Milliseconds Limit, const std::function<bool()> &Condition) {
  const auto End = Clock::now() + Limit;
  while (!Condition()) {
    if (Clock::now() >= End)
      return false;
    std::this_thread::sleep_for(LoopInterval);
  }
  return true;
}

void Record::write(const std::string &Line) {
  const std::lock_guard Lock(Mutex);
  File << elapsed().count() << " ms  " << Line << "\n" << std::flush;
}

Milliseconds Record::elapsed() const {
  return std::chrono::duration_cast<Milliseconds>(Clock::now() - StartedAt);
}

// Packets ---------------------------------------------------------------------

Bytes encode(const Packet &P) {
  Bytes Raw(HeaderBytes);
  put(Raw, ToPortAt, P.To.Port, 2);
  put(Raw, ToAt, P.To.Address, 4);
  put(Raw, FromAt, P.From.Address, 4);
  put(Raw, FromPortAt, P.From.Port, 2);
  Raw[FlagsAt] = P.Flags;
  put(Raw, LengthAt, static_cast<std::uint32_t>(P.Data.size()), 2);
  put(Raw, SequenceAt, P.Sequence, 4);
  put(Raw, AcknowledgedAt, P.Acknowledged, 4);
  Raw.insert(Raw.end(), P.Data.begin(), P.Data.end());
  put(Raw, SumAt, sumOf(Raw), 4);
  return Raw;
}

std::optional<Packet> decode(const Bytes &Raw) {
  if (Raw.size() < HeaderBytes ||
      Raw.size() != HeaderBytes + take(Raw, LengthAt, 2))
    return std::nullopt;
  Packet P;
  P.To = {take(Raw, ToAt, 4),
          static_cast<std::uint16_t>(take(Raw, ToPortAt, 2))};
  P.From = {take(Raw, FromAt, 4),
            static_cast<std::uint16_t>(take(Raw, FromPortAt, 2))};
  P.Flags = Raw[FlagsAt];
  P.Sequence = take(Raw, SequenceAt, 4);
  P.Acknowledged = take(Raw, AcknowledgedAt, 4);
  P.Data.assign(Raw.begin() + HeaderBytes, Raw.end());
  return P;
}

bool hasValidSum(const Bytes &Raw) {
  return Raw.size() >= HeaderBytes && take(Raw, SumAt, 4) == sumOf(Raw);
}

Socket::Socket(const Endpoint &Local) {
  Handle = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  if (Handle >= 0 && bindTo(Handle, Local))
    return;
  close(Handle);
  Handle = -1;
}

Socket::~Socket() {
  if (Handle >= 0)
    close(Handle);
}

void Socket::send(const Bytes &Raw, const Endpoint &To) const {
  const sockaddr_in Address = socketAddress(To);
  sendto(Handle, Raw.data(), Raw.size(), 0,
         reinterpret_cast<const sockaddr *>(&Address), sizeof(Address));
}

std::optional<Bytes> Socket::receive(Milliseconds Limit) const {
  if (!isReadable(Handle, Limit))
    return std::nullopt;
  Bytes Raw(MaxPacketBytes);
  const ssize_t Size = recv(Handle, Raw.data(), Raw.size(), MSG_DONTWAIT);
  if (Size < 0)
    return std::nullopt;
  Raw.resize(static_cast<std::size_t>(Size));
  return Raw;
}

// HTTP ------------------------------------------------------------------------

namespace {

/// \returns what arrives on \p Handle until the response is complete, the
/// other end closes, or \p End.
std::string readResponse(int Handle, Clock::time_point End) {
  std::string Text;
  std::array<char, MaxPacketBytes> Buffer{};
  for (;;) {
    const auto Rest =
        std::chrono::duration_cast<Milliseconds>(End - Clock::now());
    if (Rest.count() <= 0 || !isReadable(Handle, Rest))
      return "";
    const ssize_t Size = recv(Handle, Buffer.data(), Buffer.size(), 0);
    if (Size <= 0)
      return Text;
    Text.append(Buffer.data(), static_cast<std::size_t>(Size));
    const auto Head = Text.find("\r\n\r\n");
    const auto Length = Text.find("Content-Length: ");
    if (Head == std::string::npos)
      continue;
    const std::size_t BodyBytes =
        Length < Head ? std::strtoul(Text.c_str() + Length + 16, nullptr, 10)
                      : 0;
    if (Text.size() >= Head + 4 + BodyBytes)
      return Text;
  }
}

bool connectWithin(int Handle, const Endpoint &To, Milliseconds Limit) {
  const sockaddr_in Address = socketAddress(To);
  fcntl(Handle, F_SETFL, O_NONBLOCK);
  if (connect(Handle, reinterpret_cast<const sockaddr *>(&Address),
              sizeof(Address)) != 0 &&
      errno != EINPROGRESS)
    return false;
  pollfd Wait{Handle, POLLOUT, 0};
  int Error = 0;
  socklen_t Size = sizeof(Error);
  const bool Done =
      poll(&Wait, 1, static_cast<int>(Limit.count())) > 0 &&
      getsockopt(Handle, SOL_SOCKET, SO_ERROR, &Error, &Size) == 0 &&
      Error == 0;
  fcntl(Handle, F_SETFL, 0);
  return Done;
}

} // namespace

HttpResponse call(const Endpoint &To, const std::string &Method,
                  const std::string &Path, const std::string &Body,
                  Milliseconds Limit) {
  HttpResponse Response;
  const auto End = Clock::now() + Limit;
  const int Handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  std::string Text;
  if (connectWithin(Handle, To, Limit)) {
    const std::string Request =
        Method + " " + Path + " HTTP/1.1\r\nHost: " + toString(To) +
        "\r\nContent-Type: application/json\r\nConnection: close\r\n"
        "Content-Length: " +
        std::to_string(Body.size()) + "\r\n\r\n" + Body;
    if (::send(Handle, Request.data(), Request.size(), MSG_NOSIGNAL) > 0)
      Text = readResponse(Handle, End);
  }
  close(Handle);
  if (Text.size() < 12)
    return Response;
  Response.Status = std::atoi(Text.c_str() + 9);
  const auto Location = Text.find("Location: ");
  if (Location != std::string::npos)
    Response.Location =
        Text.substr(Location + 10, Text.find("\r\n", Location) - Location - 10);
  Response.Body = Text.substr(Text.find("\r\n\r\n") + 4);
  return Response;
}

// Deployment ------------------------------------------------------------------

Deployment::Deployment(Record &Log) : Log(Log) {
  const char *Path = std::getenv("JASMINEARCH_PROGRAM");
  Program = Path != nullptr ? Path : "target/jasminearch-node";
  std::string Template =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  Folder = mkdtemp(Template.data());
  constexpr std::uint32_t Loopback = 127U << 24U;
  constexpr unsigned Tries = 50;
  for (unsigned Try = 0; Try < Tries; ++Try) {
    Network = Loopback | (100 + randomNumber() % 100) << 16U |
              (randomNumber() % 250 + 1) << 8U;
    const auto Base =
        static_cast<std::uint16_t>(11'000 + randomNumber() % 15'000);
    bool Free = true;
    for (std::uint16_t I = 0; I < 6; ++I)
      Free = Free && isFree(Network, static_cast<std::uint16_t>(Base + I));
    if (!Free)
      continue;
    const auto Port = [Base](int I) {
      return static_cast<std::uint16_t>(Base + I);
    };
    At = {Port(0), Port(1), Port(2), Port(3), Port(4), Port(5)};
    return;
  }
}

Deployment::~Deployment() {
  for (const auto &H : Hosts) {
    if (H->Pid <= 0)
      continue;
    kill(H->Pid, SIGCONT);
    kill(H->Pid, SIGKILL);
    waitpid(H->Pid, nullptr, 0);
  }
  std::error_code Ignored;
  if (std::getenv("KEEP_LOGS") == nullptr)
    std::filesystem::remove_all(Folder, Ignored);
  else
    Log.write("logs are in " + Folder);
}

std::uint32_t Deployment::newAddress() { return Network + ++Used; }

std::string Deployment::folderOf(const Host &H) const {
  return Folder + "/" + H.Name;
}

Host &Deployment::add(Role Runs, const std::string &Service) {
  auto H = std::make_unique<Host>();
  H->Runs = Runs;
  H->Address = newAddress();
  H->Name = std::string(roleName(Runs)) + "-" + std::to_string(Used);
  H->Service = Service;
  std::filesystem::create_directories(folderOf(*H) + "/data");
  Hosts.push_back(std::move(H));
  return *Hosts.back();
}

std::vector<Host *> Deployment::hosts(Role Runs) {
  std::vector<Host *> Found;
  for (const auto &H : Hosts)
    if (H->Runs == Runs)
      Found.push_back(H.get());
  return Found;
}

void Deployment::writeSettings(const Host &H, bool Bootstrap) const {
  std::ofstream Out(folderOf(H) + "/node.toml.new");
  const auto Own = [&H](std::uint16_t Port) {
    return "\"" + toString({H.Address, Port}) + "\"\n";
  };
  Out << "node_name = \"" << H.Name << "\"\nrole = \"" << roleName(H.Runs)
      << "\"\nip = \"" << addressText(H.Address)
      << "\"\nzone = \"z1\"\nregion = \"r1\"\ninternal_port_range = ["
      << At.Internal << ", " << At.Internal << "]\nseed_nodes = [";
  std::size_t Seeds = 0;
  for (const auto &Other : Hosts)
    if (Other->Runs == Role::Control && Seeds++ < 3)
      Out << "\"" << toString({Other->Address, At.Control}) << "\", ";
  Out << "]\nbootstrap = " << (Bootstrap ? "true" : "false")
      << "\nheartbeat_ms = " << HeartbeatInterval.count()
      << "\ncontracts = [\"base\", \"drain\", \"config\", \"cost\", "
         "\"recover\", \"flows\"]\nhash_algorithm = \"steady\"\n"
         "forwarding_mode = \"agent\"\nconfig_mode = \"highest\"\n";
  if (H.Runs == Role::Control)
    Out << "in_tolerance = true\ndata_dir = \"" << folderOf(H) << "/data\"\n";
  if (H.Runs == Role::Agent)
    Out << "service = \"" << H.Service << "\"\napp = " << Own(At.Upstream);
  Out << "[zones]\nz1 = \"r1\"\n[bind_addresses]\n";
  if (H.Runs == Role::Control) {
    Out << "control_plane = " << Own(At.Control);
  } else {
    Out << "packet_address = " << Own(At.Packets)
        << "readiness_address = " << Own(At.Readiness);
  }
  if (H.Runs == Role::Agent)
    Out << "outbound = " << Own(At.Outbound)
        << "control_plane = " << Own(At.Control);
  Out << "[limits]\nlink_mbps = 1000.0\n[fault_tolerance]\nmachines = 1\n"
         "zones = 0\nregions = 0\n[bounds]\nseed_lag_s = 3\nreuse_after_s = 2\n"
         "contact_ms = 4000\nack_ms = 5000\ncatch_up_s = 4\ndrain_ms = 3000\n"
         "grace_s = 6\nloss_slack_ms = 200\nconfig_apply_ms = 3000\n"
         "rollback_slack_ms = 250\nmax_stretch_ms = 12000\nrecovery_s = 12\n"
         "flow_reorder_ms = 2000\nmax_flow_s = 60\n";
  Out.close();
  std::filesystem::rename(folderOf(H) + "/node.toml.new",
                          folderOf(H) + "/node.toml");
}

void Deployment::start(Host &H) {
  const std::string Settings = folderOf(H) + "/node.toml";
  const std::string Output = folderOf(H) + "/log";
  const pid_t Parent = getpid();
  H.Pid = fork();
  if (H.Pid != 0)
    return;
  // The processes end with the scenario, however it ends.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != Parent)
    _exit(1);
  const int File =
      open(Output.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  dup2(File, STDOUT_FILENO);
  dup2(File, STDERR_FILENO);
  setenv("JASMINEARCH_NODE_FILE", Settings.c_str(), 1);
  execl(Program.c_str(), Program.c_str(), roleName(H.Runs), nullptr);
  _exit(1);
}

void Deployment::startAll() {
  for (const auto &H : Hosts)
    writeSettings(*H, true);
  for (const auto &H : Hosts)
    start(*H);
  std::this_thread::sleep_for(Milliseconds{1000});
  for (const auto &H : Hosts)
    writeSettings(*H, false);
}

void Deployment::signal(const Host &H, int Number) const {
  if (H.Pid > 0)
    kill(H.Pid, Number);
}

bool Deployment::waitForEnd(Host &H, Milliseconds Limit) {
  const bool Ended = waitFor(
      Limit, [&H] { return waitpid(H.Pid, nullptr, WNOHANG) == H.Pid; });
  if (Ended)
    H.Pid = -1;
  return Ended;
}

bool Deployment::restart(Host &H, Milliseconds Limit) {
  Log.write("SIGTERM to " + H.Name);
  signal(H, SIGTERM);
  if (!waitForEnd(H, Limit))
    return false;
  std::this_thread::sleep_for(Milliseconds{200});
  Log.write(H.Name + " is started again");
  start(H);
  return true;
}

bool Deployment::allRun() {
  return std::all_of(Hosts.begin(), Hosts.end(), [](const auto &H) {
    if (H->Pid <= 0 || waitpid(H->Pid, nullptr, WNOHANG) != 0)
      H->Pid = -1;
    return H->Pid > 0;
  });
}

bool Deployment::isReady(const Host &Entry) const {
  return call(on(Entry, At.Readiness), "GET", "/ready", "").Status == 200;
}

bool Deployment::order(const std::string &Configuration, Milliseconds Limit) {
  const auto Controls = hosts(Role::Control);
  std::size_t Next = 0;
  return waitFor(Limit, [&] {
    const Host &H = *Controls[Next++ % Controls.size()];
    return call(on(H, At.Control), "PUT", "/config", Configuration).Status ==
           200;
  });
}

std::string configuration(std::uint64_t Version,
                          const std::vector<Route> &Routes,
                          const std::vector<std::string> &Services) {
  std::ostringstream Out;
  Out << "{\"version\":" << Version << ",\"routes\":[";
  for (std::size_t I = 0; I < Routes.size(); ++I)
    Out << (I == 0 ? "" : ",") << "{\"name\":\"r-" << I << "\",\"hostname\":\""
        << addressText(Routes[I].Address.Address) << "\",\"path_prefix\":\"/"
        << Routes[I].Address.Port
        << "/\",\"type\":\"unsafe\",\"timeout_ms\":3000,"
           "\"target_latency_ms\":200,\"priority\":1,\"service\":\""
        << Routes[I].Service << "\",\"max_attempts\":2}";
  Out << "],\"services\":[";
  for (std::size_t I = 0; I < Services.size(); ++I)
    Out << (I == 0 ? "" : ",") << "{\"name\":\"" << Services[I]
        << "\",\"health_check_path\":\"/health\",\"max_connections\":2000,"
           "\"protocol\":\"h1\",\"tls\":false}";
  Out << "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
         "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
  return Out.str();
}

// Upstreams -------------------------------------------------------------------

void Runs::add(Run R) {
  const std::lock_guard Lock(Mutex);
  Done.push_back(std::move(R));
}

std::vector<Run> Runs::all() const {
  const std::lock_guard Lock(Mutex);
  return Done;
}

Upstream::Upstream(UpstreamOptions InitialOptions, Record &Log, Runs &Ran)
    : Options(std::move(InitialOptions)), Log(Log), Ran(Ran),
      Packets(Options.Address),
      BornMs(std::chrono::duration_cast<Milliseconds>(
                 std::chrono::system_clock::now().time_since_epoch())
                 .count()) {
  Listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int One = 1;
  setsockopt(Listener, SOL_SOCKET, SO_REUSEADDR, &One, sizeof(One));
  if (!bindTo(Listener, Options.Address) || listen(Listener, SOMAXCONN) != 0) {
    close(Listener);
    Listener = -1;
    return;
  }
  Log.write("upstream " + Options.Name + " of service " + Options.Service +
            " starts at " + toString(Options.Address));
  Threads.emplace_back([this] { servePackets(); });
  Threads.emplace_back([this] { serveChecks(); });
  Threads.emplace_back([this] { beat(); });
}

Upstream::~Upstream() {
  Log.write("upstream " + Options.Name + " ends");
  Stopping = true;
  for (std::thread &T : Threads)
    T.join();
  if (Listener >= 0)
    close(Listener);
}

void Upstream::startHeartbeats() { schedule(Clock::now()); }

void Upstream::stopHeartbeats() {
  const std::lock_guard Lock(Mutex);
  Beating = false;
}

void Upstream::schedule(Clock::time_point At) {
  const std::lock_guard Lock(Mutex);
  Beating = true;
  NextBeat = At;
}

void Upstream::setState(const std::string &NewState) {
  const std::lock_guard Lock(Mutex);
  State = NewState;
}

std::string Upstream::nextHeartbeat() {
  const std::lock_guard Lock(Mutex);
  return "{\"service\":\"" + Options.Service + "\",\"address\":\"" +
         toString(Options.Address) +
         "\",\"zone\":\"z1\",\"version\":\"v1\",\"concurrency_limit\":8,"
         "\"state\":\"" +
         State + "\",\"cold_remaining_ms\":0,\"sequence\":" +
         std::to_string(++Sequence) + ",\"born\":" + std::to_string(BornMs) +
         "}";
}

Clock::time_point Upstream::acknowledgedAt() const {
  const std::lock_guard Lock(Mutex);
  return AcknowledgedAt;
}

bool Upstream::holds(const Endpoint &Client) const {
  const std::lock_guard Lock(Mutex);
  const auto Found = Flows.find(Client);
  return Found != Flows.end() && Found->second.Open && !Found->second.Ended;
}

void Upstream::beat() {
  while (!Stopping) {
    std::this_thread::sleep_for(Milliseconds{1});
    const auto Now = Clock::now();
    {
      const std::lock_guard Lock(Mutex);
      if (!Beating || Now < NextBeat)
        continue;
      NextBeat += HeartbeatInterval;
    }
    const std::string Body = nextHeartbeat();
    const int Status = call(Options.Heartbeats, "PUT", path(), Body).Status;
    Log.write("heartbeat " + path() + " " + Body + " -> " +
              std::to_string(Status));
    const std::lock_guard Lock(Mutex);
    if (Status / 100 == 2)
      AcknowledgedAt = Now;
  }
}

void Upstream::serveChecks() {
  const std::string Response =
      "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
  while (!Stopping) {
    if (!isReadable(Listener, LoopInterval))
      continue;
    const int Handle = accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (Handle < 0)
      continue;
    std::array<char, MaxPacketBytes> Buffer{};
    if (isReadable(Handle, LoopInterval) &&
        recv(Handle, Buffer.data(), Buffer.size(), 0) > 0)
      ::send(Handle, Response.data(), Response.size(), MSG_NOSIGNAL);
    close(Handle);
  }
}

void Upstream::servePackets() {
  while (!Stopping)
    if (const auto Raw = Packets.receive(LoopInterval))
      handle(*Raw);
}

void Upstream::answer(const Packet &P, std::uint8_t Flags,
                      std::uint32_t FirstByte, std::uint32_t Acknowledged,
                      const std::string &Data) const {
  Packets.send(encode({P.To, P.From, Flags, FirstByte, Acknowledged, Data}),
               Options.Outbound);
}

void Upstream::handle(const Bytes &Raw) {
  const auto P = decode(Raw);
  if (!P || !hasValidSum(Raw)) {
    ++Invalid;
    Log.write(Options.Name + " gets a packet that no client wrote");
    return;
  }
  std::unique_lock Lock(Mutex);
  const auto Found = Flows.find(P->From);
  if ((P->Flags & Syn) != 0) {
    Flow &F = Flows[P->From];
    if (Found == Flows.end() || F.Ended || F.Received != P->Sequence + 1)
      F = Flow{randomNumber(), false, false, P->Sequence + 1, ""};
    return answer(*P, Syn | Ack, F.Sequence, F.Received, "");
  }
  const bool Held =
      Found != Flows.end() &&
      (Found->second.Open || P->Acknowledged == Found->second.Sequence + 1);
  if (!Held) {
    // Returned as it came, with the mark and without the padding.
    Bytes Copy = Raw;
    Copy[FlagsAt] = static_cast<std::uint8_t>(Copy[FlagsAt] | Bounced);
    put(Copy, PaddingAt, 0, 3);
    return Packets.send(Copy, Options.Outbound);
  }
  Flow &F = Found->second;
  F.Open = true;
  if ((P->Flags & Rst) != 0) {
    F.Ended = true;
    return;
  }
  if ((P->Flags & Fin) != 0) {
    F.Ended = true;
    return answer(*P, Fin | Ack, F.Sequence + 1, P->Sequence + 1, "");
  }
  if (P->Data.empty())
    return;
  if (F.Ended)
    return answer(*P, Rst, P->Acknowledged, 0, "");
  const auto Size = static_cast<std::uint32_t>(P->Data.size());
  if (P->Sequence == F.Received) {
    F.Received += Size;
    F.Sequence += static_cast<std::uint32_t>(F.Answer.size());
    F.Answer = "HTTP/1.1 200 OK " + P->Data + " by " + Options.Name + " of " +
               Options.Service;
    Ran.add({P->Data, Options.Name, Options.Service, P->To, Clock::now()});
    Log.write(Options.Name + " of service " + Options.Service + " runs " +
              P->Data + " of route " + toString(P->To));
    Lock.unlock();
    std::this_thread::sleep_for(Options.Work);
    Lock.lock();
  }
  answer(*P, Ack, F.Sequence + 1, F.Received, F.Answer);
}

// Clients ---------------------------------------------------------------------

Client::Client(std::uint32_t Address, std::uint16_t Port, Record &Log)
    : Address(Address), Log(Log), Packets({Address, Port}),
      Thread([this] { run(); }) {}

Client::~Client() {
  Stopping = true;
  Thread.join();
}

void Client::sendOn(std::uint16_t Port, const ClientFlow &F, std::uint8_t Flags,
                    std::uint32_t Acknowledged, const std::string &Data) const {
  Packets.send(
      encode({{Address, Port}, F.Route, Flags, F.Sequence, Acknowledged, Data}),
      F.Entry);
}

std::uint16_t Client::open(const Endpoint &Route, const Endpoint &Entry,
                           bool OneRequest) {
  const std::lock_guard Lock(Mutex);
  const std::uint16_t Port = NextPort++;
  ClientFlow &F = Flows[Port];
  F.Route = Route;
  F.Entry = Entry;
  F.Sequence = randomNumber();
  F.OpenedAt = F.SentAt = Clock::now();
  F.Transmissions = 1;
  F.OneRequest = OneRequest;
  F.Request = "q" + std::to_string(++NextRequest) + "-" + addressText(Address);
  Log.write("client sends " + F.Request + " to route " + toString(Route) +
            " by entry host " + addressText(Entry.Address) + ", port " +
            std::to_string(Port));
  sendOn(Port, F, Syn, 0, "");
  return Port;
}

void Client::sendRequest(std::uint16_t Port, ClientFlow &F) {
  F.SentAt = Clock::now();
  F.Transmissions = 1;
  sendOn(Port, F, Ack, F.PeerSequence, F.Request);
}

void Client::request(std::uint16_t Port) {
  const std::lock_guard Lock(Mutex);
  ClientFlow &F = Flows.at(Port);
  if (F.State != FlowState::Open || !F.Request.empty())
    return;
  F.Request = "q" + std::to_string(++NextRequest) + "-" + addressText(Address);
  Log.write("client sends " + F.Request + " on its flow from port " +
            std::to_string(Port) + " by entry host " +
            addressText(F.Entry.Address));
  sendRequest(Port, F);
}

void Client::move(std::uint16_t Port, const Endpoint &Entry) {
  const std::lock_guard Lock(Mutex);
  Flows.at(Port).Entry = Entry;
}

ClientFlow Client::flow(std::uint16_t Port) const {
  const std::lock_guard Lock(Mutex);
  return Flows.at(Port);
}

std::uint64_t Client::count(FlowState State) const {
  const std::lock_guard Lock(Mutex);
  return static_cast<std::uint64_t>(
      std::count_if(Flows.begin(), Flows.end(), [State](const auto &Item) {
        return Item.second.State == State;
      }));
}

void Client::run() {
  while (!Stopping) {
    if (const auto Raw = Packets.receive(LoopInterval))
      handle(*Raw);
    retransmit();
  }
}

void Client::handle(const Bytes &Raw) {
  const auto P = decode(Raw);
  if (!P) {
    ++Invalid;
    return;
  }
  const std::lock_guard Lock(Mutex);
  const auto Found = Flows.find(P->To.Port);
  if (Found == Flows.end() || P->To.Address != Address)
    return;
  const std::uint16_t Port = Found->first;
  ClientFlow &F = Found->second;
  const bool IsOpen = F.State == FlowState::Open;
  if ((P->Flags & Rst) != 0) {
    const std::int64_t Distance =
        static_cast<std::int32_t>(P->Sequence - F.PeerSequence);
    const bool InWindow = std::abs(Distance) <= ResetWindow;
    if (F.State != FlowState::Opening && !(IsOpen && InWindow))
      return;
    F.State = IsOpen ? FlowState::Reset : FlowState::Refused;
    Log.write("client's flow from port " + std::to_string(Port) + " is " +
              (IsOpen ? "reset while it is open" : "refused") + ", by " +
              (hasValidSum(Raw) ? "its upstream" : "the load balancer"));
    return;
  }
  if (!hasValidSum(Raw)) {
    ++Invalid;
    Log.write("client gets a packet that no upstream wrote");
    return;
  }
  if ((P->Flags & Syn) != 0) {
    if (F.State != FlowState::Opening)
      return;
    F.State = FlowState::Open;
    F.PeerSequence = P->Sequence + 1;
    ++F.Sequence;
    return sendRequest(Port, F);
  }
  if (!IsOpen || P->Data.empty() || F.Request.empty() ||
      P->Sequence != F.PeerSequence)
    return;
  F.PeerSequence += static_cast<std::uint32_t>(P->Data.size());
  F.Sequence += static_cast<std::uint32_t>(F.Request.size());
  F.LastAnswer = P->Data;
  ++F.Answers;
  ++Answered;
  Log.write("client gets \"" + P->Data + "\"");
  F.Request.clear();
  if (F.OneRequest) {
    F.State = FlowState::Closed;
    sendOn(Port, F, Fin | Ack, F.PeerSequence, "");
  }
}

void Client::retransmit() {
  const auto Now = Clock::now();
  const std::lock_guard Lock(Mutex);
  for (auto &[Port, F] : Flows) {
    if (F.State == FlowState::Opening) {
      if (Now - F.OpenedAt >= OpeningLimit) {
        F.State = FlowState::TimedOut;
        Log.write("client's flow from port " + std::to_string(Port) +
                  " doesn't open");
      } else if (F.Transmissions < OpeningSendTimes.size() &&
                 Now - F.OpenedAt >= OpeningSendTimes.at(F.Transmissions)) {
        sendOn(Port, F, Syn, F.Transmissions++, "");
      }
    } else if (F.State == FlowState::Open && !F.Request.empty()) {
      const auto Delay =
          std::min(FirstRetransmission * (1U << (F.Transmissions - 1)),
                   MaxRetransmission);
      if (Now - F.SentAt < Delay)
        continue;
      F.SentAt = Now;
      F.Transmissions = std::min(F.Transmissions + 1, 4U);
      sendOn(Port, F, Ack, F.PeerSequence, F.Request);
    }
  }
}

} // namespace review
