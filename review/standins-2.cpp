#include "standins-2.h"
#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <iostream>
#include <netinet/in.h>
#include <poll.h>
#include <sstream>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace review {

namespace {

constexpr std::size_t HeaderBytes = 34;
constexpr std::size_t FlagsOffset = 12;
constexpr std::size_t PadOffset = 13;
constexpr std::size_t LengthOffset = 16;
constexpr std::size_t EchoOffset = 18;
constexpr std::size_t SumOffset = 22;
constexpr std::size_t SeqOffset = 26;
constexpr std::size_t AckOffset = 30;
constexpr std::uint32_t SumKey = 0x5A17C0DE;
constexpr const char *Program = "target/jasminearch-node";

void put(std::string &Raw, std::size_t Offset, std::uint64_t Value,
         std::size_t Size) {
  for (std::size_t I = 0; I < Size; ++I)
    Raw[Offset + I] = static_cast<char>(Value >> (8 * (Size - 1 - I)) & 0xFF);
}

std::uint32_t get(const std::string &Raw, std::size_t Offset,
                  std::size_t Size) {
  std::uint32_t Value = 0;
  for (std::size_t I = 0; I < Size; ++I)
    Value = Value << 8 | static_cast<std::uint8_t>(Raw[Offset + I]);
  return Value;
}

/// Keyed sum (FNV-1a) over all but echo, pad, the bounced flag and itself.
std::uint32_t sumOf(std::string Raw) {
  Raw[FlagsOffset] = static_cast<char>(
      static_cast<std::uint8_t>(Raw[FlagsOffset]) & ~unsigned{Bounced});
  put(Raw, PadOffset, 0, 3);
  put(Raw, EchoOffset, 0, 4);
  put(Raw, SumOffset, 0, 4);
  std::uint32_t Hash = 2166136261U ^ SumKey;
  for (const char C : Raw)
    Hash = (Hash ^ static_cast<std::uint8_t>(C)) * 16777619U;
  return Hash;
}

sockaddr_in socketAddress(const std::string &Address, std::uint16_t Port) {
  sockaddr_in A{};
  A.sin_family = AF_INET;
  A.sin_port = htons(Port);
  inet_pton(AF_INET, Address.c_str(), &A.sin_addr);
  return A;
}

std::string toText(const End &E) {
  in_addr A{htonl(E.Address)};
  std::array<char, INET_ADDRSTRLEN> Text{};
  inet_ntop(AF_INET, &A, Text.data(), Text.size());
  return std::string(Text.data()) + ":" + std::to_string(E.Port);
}

int openSocket(int Type) { return socket(AF_INET, Type | SOCK_CLOEXEC, 0); }

/// Waits until \p Socket is ready. \returns whether it is before \p Until.
bool waitFor(int Socket, short Events, Clock::time_point Until) {
  const auto Left =
      std::chrono::duration_cast<milliseconds>(Until - Clock::now()).count();
  pollfd P{Socket, Events, 0};
  return Left > 0 && poll(&P, 1, static_cast<int>(Left)) == 1;
}

std::optional<HttpAnswer> parseAnswer(const std::string &Text) {
  const auto HeadEnd = Text.find("\r\n\r\n");
  if (HeadEnd == std::string::npos || Text.size() < 12)
    return std::nullopt;
  HttpAnswer A;
  A.Status = static_cast<int>(std::strtol(Text.c_str() + 9, nullptr, 10));
  std::istringstream Head(Text.substr(0, HeadEnd));
  std::size_t Length = 0;
  for (std::string Line; std::getline(Head, Line);) {
    std::transform(Line.begin(), Line.end(), Line.begin(),
                   [](unsigned char C) { return std::tolower(C); });
    if (!Line.empty() && Line.back() == '\r')
      Line.pop_back();
    if (Line.rfind("content-length:", 0) == 0)
      Length = std::strtoul(Line.c_str() + 15, nullptr, 10);
    if (Line.rfind("location: ", 0) == 0)
      A.Location = Line.substr(10);
  }
  A.Body = Text.substr(HeadEnd + 4);
  if (A.Body.size() < Length)
    return std::nullopt;
  return A;
}

} // namespace

std::uint32_t toAddress(const std::string &Text) {
  in_addr A{};
  inet_pton(AF_INET, Text.c_str(), &A);
  return ntohl(A.s_addr);
}

std::string encode(const Packet &P) {
  std::string Raw(HeaderBytes, '\0');
  put(Raw, 0, P.To.Port, 2);
  put(Raw, 2, P.To.Address, 4);
  put(Raw, 6, P.From.Address, 4);
  put(Raw, 10, P.From.Port, 2);
  put(Raw, FlagsOffset, P.Flags, 1);
  put(Raw, LengthOffset, P.Data.size(), 2);
  put(Raw, SeqOffset, P.Seq, 4);
  put(Raw, AckOffset, P.AckNumber, 4);
  Raw += P.Data;
  put(Raw, SumOffset, sumOf(Raw), 4);
  return Raw;
}

std::optional<Packet> decode(const std::string &Raw) {
  if (Raw.size() < HeaderBytes ||
      Raw.size() != HeaderBytes + get(Raw, LengthOffset, 2))
    return std::nullopt;
  Packet P;
  P.To = {get(Raw, 2, 4), static_cast<std::uint16_t>(get(Raw, 0, 2))};
  P.From = {get(Raw, 6, 4), static_cast<std::uint16_t>(get(Raw, 10, 2))};
  P.Flags = static_cast<std::uint8_t>(Raw[FlagsOffset]);
  P.Seq = get(Raw, SeqOffset, 4);
  P.AckNumber = get(Raw, AckOffset, 4);
  P.Data = Raw.substr(HeaderBytes);
  P.Genuine = get(Raw, SumOffset, 4) == sumOf(Raw);
  return P;
}

int bindUdp(const std::string &Address, std::uint16_t Port) {
  const int Socket = openSocket(SOCK_DGRAM | SOCK_NONBLOCK);
  const sockaddr_in A = socketAddress(Address, Port);
  if (bind(Socket, reinterpret_cast<const sockaddr *>(&A), sizeof(A)) == 0)
    return Socket;
  close(Socket);
  return -1;
}

int listenTcp(const std::string &Address, std::uint16_t Port) {
  const int Socket = openSocket(SOCK_STREAM | SOCK_NONBLOCK);
  const int One = 1;
  setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &One, sizeof(One));
  const sockaddr_in A = socketAddress(Address, Port);
  if (bind(Socket, reinterpret_cast<const sockaddr *>(&A), sizeof(A)) == 0 &&
      listen(Socket, 64) == 0)
    return Socket;
  close(Socket);
  return -1;
}

void sendTo(int Socket, const std::string &Address, std::uint16_t Port,
            const std::string &Raw) {
  const sockaddr_in A = socketAddress(Address, Port);
  // A datagram that is lost here is sent again, like any other.
  (void)sendto(Socket, Raw.data(), Raw.size(), 0,
               reinterpret_cast<const sockaddr *>(&A), sizeof(A));
}

std::optional<std::string> receive(int Socket) {
  std::array<char, 2048> Buffer{};
  const ssize_t Count = recv(Socket, Buffer.data(), Buffer.size(), 0);
  if (Count < 0)
    return std::nullopt;
  return std::string(Buffer.data(), static_cast<std::size_t>(Count));
}

std::optional<HttpAnswer>
httpCall(const std::string &Address, std::uint16_t Port,
         const std::string &Method, const std::string &Path,
         const std::string &Body, milliseconds Limit) {
  const auto Until = Clock::now() + Limit;
  const int Socket = openSocket(SOCK_STREAM | SOCK_NONBLOCK);
  const sockaddr_in A = socketAddress(Address, Port);
  std::optional<HttpAnswer> Answer;
  const int Status =
      connect(Socket, reinterpret_cast<const sockaddr *>(&A), sizeof(A));
  int Error = 0;
  socklen_t Size = sizeof(Error);
  const bool Connected =
      (Status == 0 || errno == EINPROGRESS) &&
      waitFor(Socket, POLLOUT, Until) &&
      getsockopt(Socket, SOL_SOCKET, SO_ERROR, &Error, &Size) == 0 &&
      Error == 0;
  std::string Out = Method + " " + Path + " HTTP/1.1\r\nHost: " + Address +
                    "\r\nConnection: close\r\n";
  if (!Body.empty())
    Out += "Content-Type: application/json\r\nContent-Length: " +
           std::to_string(Body.size()) + "\r\n";
  Out += "\r\n" + Body;
  bool Alive = Connected;
  for (std::size_t Sent = 0; Alive && Sent < Out.size();) {
    Alive = waitFor(Socket, POLLOUT, Until);
    const ssize_t Count =
        Alive ? send(Socket, Out.data() + Sent, Out.size() - Sent, MSG_NOSIGNAL)
              : -1;
    Alive = Count > 0;
    Sent += Alive ? static_cast<std::size_t>(Count) : 0;
  }
  std::string In;
  while (Alive && !Answer && waitFor(Socket, POLLIN, Until)) {
    std::array<char, 16384> Buffer{};
    const ssize_t Count = recv(Socket, Buffer.data(), Buffer.size(), 0);
    Alive = Count > 0;
    if (Alive)
      In.append(Buffer.data(), static_cast<std::size_t>(Count));
    Answer = parseAnswer(In);
  }
  close(Socket);
  return Answer;
}

// Record ----------------------------------------------------------------------

Record::Record(const std::string &File) : Out(File) {}

milliseconds Record::now() const {
  return std::chrono::duration_cast<milliseconds>(Clock::now() - Start);
}

void Record::line(const std::string &Text) {
  const std::lock_guard<std::mutex> Guard(Mutex);
  Out << now().count() << " ms  " << Text << "\n" << std::flush;
}

// Net and deployment ----------------------------------------------------------

std::string Net::control(int Number) const {
  return Prefix + "1." + std::to_string(Number);
}
std::string Net::entry(int Number) const {
  return Prefix + "2." + std::to_string(Number);
}
std::string Net::side(int Number) const {
  return Prefix + "3." + std::to_string(Number);
}
std::string Net::caller(int Number) const {
  return Prefix + "4." + std::to_string(Number);
}
std::string Net::route(int Number) const {
  return Prefix + "5." + std::to_string(Number);
}

Net chooseNet() {
  std::random_device Random;
  for (;;) {
    Net N;
    N.Prefix = "127." + std::to_string(100 + Random() % 100) + ".";
    // The second number separates runs; the third one the kinds of hosts.
    const auto Base = static_cast<std::uint16_t>(10000 + Random() % 1900 * 10);
    N.Packets = Base;
    N.Outbound = Base + 1;
    N.Ready = Base + 2;
    N.Control = Base + 3;
    N.App = Base + 4;
    N.Internal = Base + 5;
    const int Probe = listenTcp(N.control(1), N.Control);
    const int Other = bindUdp(N.caller(1), N.Packets);
    const bool Free = Probe >= 0 && Other >= 0;
    if (Probe >= 0)
      close(Probe);
    if (Other >= 0)
      close(Other);
    if (Free)
      return N;
  }
}

Deployment::Deployment(Net InitialAddresses, int Controls, int Entries,
                       int Sides, int HeartbeatMs, Record &Log)
    : Addresses(std::move(InitialAddresses)), Controls(Controls),
      Entries(Entries), Sides(Sides), HeartbeatMs(HeartbeatMs), Log(Log) {
  std::string Template = "/tmp/review-2-XXXXXX";
  if (const char *Made = mkdtemp(Template.data()))
    Folder = Made;
}

Deployment::~Deployment() {
  for (const auto &[Host, Pid] : Pids) {
    kill(Pid, SIGCONT);
    kill(Pid, SIGKILL);
    waitpid(Pid, nullptr, 0);
  }
  std::error_code Ignored;
  if (std::getenv("KEEP") == nullptr)
    std::filesystem::remove_all(Folder, Ignored);
}

std::string Deployment::ip(const std::string &Host) const {
  const int Number =
      static_cast<int>(std::strtol(Host.c_str() + 1, nullptr, 10));
  if (Host[0] == 'c')
    return Addresses.control(Number);
  return Host[0] == 'e' ? Addresses.entry(Number) : Addresses.side(Number);
}

void Deployment::writeSettings(const std::string &Host) const {
  const std::string Ip = ip(Host);
  const auto At = [&Ip](std::uint16_t Port) {
    return "\"" + Ip + ":" + std::to_string(Port) + "\"";
  };
  const std::string Data = Folder + "/" + Host + "-data";
  std::filesystem::create_directories(Data);
  std::ofstream Out(Folder + "/" + Host + ".toml");
  Out << "node_name = \"" << Host << "\"\nip = \"" << Ip
      << "\"\nzone = \"zone-a\"\nregion = \"region\"\ninternal_port_range = ["
      << Addresses.Internal << ", " << Addresses.Internal + 4
      << "]\nseed_nodes = [";
  for (int I = 1; I <= Controls; ++I)
    Out << (I > 1 ? ", " : "") << "\"" << Addresses.control(I) << ":"
        << Addresses.Control << "\"";
  Out << "]\nbootstrap = " << (FirstStart ? "true" : "false")
      << "\ndiscovery = \"local\"\nentry = \"announce\"\nheartbeat_ms = "
      << HeartbeatMs
      << "\nconfig_mode = \"highest\"\nhash_algorithm = \"steady\"\n"
         "forwarding_mode = \"agent\"\n";
  if (Host[0] == 'c')
    Out << "in_tolerance = true\ndata_dir = \"" << Data << "\"\n";
  if (Host[0] == 's') {
    const int Number =
        static_cast<int>(std::strtol(Host.c_str() + 1, nullptr, 10));
    const auto Known = Services.find(Number);
    Out << "app = " << At(Addresses.App) << "\nservice = \""
        << (Known == Services.end() ? "" : Known->second) << "\"\n";
  }
  Out << "[zones]\nzone-a = \"region\"\n[bind_addresses]\n";
  if (Host[0] == 'e')
    Out << "packet_address = " << At(Addresses.Packets)
        << "\nreadiness_address = " << At(Addresses.Ready) << "\n";
  if (Host[0] == 's')
    Out << "packet_address = " << At(Addresses.Packets)
        << "\noutbound = " << At(Addresses.Outbound)
        << "\nreadiness_address = " << At(Addresses.Ready) << "\n";
  if (Host[0] != 'e')
    Out << "control_plane = " << At(Addresses.Control) << "\n";
  Out << "[limits]\nlink_mbps = 1000.0\n[fault_tolerance]\nmachines = 1\n"
         "zones = 0\nregions = 0\n[bounds]\nseed_lag_s = 3\nreuse_after_s = 2\n"
         "contact_ms = 4000\nack_ms = 5000\ncatch_up_s = 4\ndrain_ms = 3000\n"
         "grace_s = 6\nconfig_apply_ms = 3000\nrollback_slack_ms = 250\n"
         "recovery_s = 12\nflow_reorder_ms = 2000\nmax_flow_s = 60\n";
}

void Deployment::start(const std::string &Host) {
  writeSettings(Host);
  const std::string Variable =
      "JASMINEARCH_NODE_FILE=" + Folder + "/" + Host + ".toml";
  const std::string LogFile = Folder + "/" + Host + ".log";
  const char *Role = "agent";
  if (Host[0] == 'c')
    Role = "control";
  else if (Host[0] == 'e')
    Role = "entry";
  const pid_t Pid = fork();
  if (Pid == 0) {
    // The processes end with this program, however it ends.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int Out = open(LogFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(Out, STDOUT_FILENO);
    dup2(Out, STDERR_FILENO);
    std::string Environment = Variable;
    std::array<char *, 2> Variables = {Environment.data(), nullptr};
    std::string Path = Program;
    std::string RoleText = Role;
    std::array<char *, 3> Arguments = {Path.data(), RoleText.data(), nullptr};
    execve(Program, Arguments.data(), Variables.data());
    _exit(127);
  }
  Pids[Host] = Pid;
  Log.line("process " + Host + " started, role " + Role + ", pid " +
           std::to_string(Pid));
}

void Deployment::startAll() {
  for (int I = 1; I <= Controls; ++I)
    start("c" + std::to_string(I));
  for (int I = 1; I <= Entries; ++I)
    start("e" + std::to_string(I));
  for (int I = 1; I <= Sides; ++I)
    start("s" + std::to_string(I));
  FirstStart = false;
}

void Deployment::signal(const std::string &Host, int Number) {
  Log.line("signal " + std::to_string(Number) + " to " + Host);
  kill(Pids.at(Host), Number);
}

void Deployment::end(const std::string &Host, int Number) {
  signal(Host, Number);
  waitpid(Pids.at(Host), nullptr, 0);
  Pids.erase(Host);
  Log.line("process " + Host + " has ended");
}

bool Deployment::running(const std::string &Host) {
  const auto Found = Pids.find(Host);
  return Found != Pids.end() && waitpid(Found->second, nullptr, WNOHANG) == 0;
}

// Operator --------------------------------------------------------------------

int putConfig(const Deployment &D, const std::string &Body, Record &Log,
              milliseconds Limit) {
  const auto Until = Clock::now() + Limit;
  const Net &N = D.net();
  std::string Target = N.control(1);
  int Next = 1;
  while (Clock::now() < Until) {
    const auto Answer =
        httpCall(Target, N.Control, "PUT", "/config", Body, milliseconds(1000));
    if (Answer && Answer->Status == 307) {
      const auto From = Answer->Location.find("//");
      const auto To = Answer->Location.rfind(':');
      Target = Answer->Location.substr(From + 2, To - From - 2);
      continue;
    }
    if (Answer && Answer->Status < 500) {
      Log.line("PUT /config at " + Target + ": " +
               std::to_string(Answer->Status));
      return Answer->Status;
    }
    std::this_thread::sleep_for(milliseconds(100));
    Target = N.control(Next++ % D.controls() + 1);
  }
  Log.line("PUT /config: no clear answer");
  return 0;
}

std::string configBody(const Net &Addresses, std::uint64_t Version,
                       const std::vector<RouteSpec> &Routes,
                       const std::vector<std::string> &Services) {
  std::ostringstream Out;
  Out << "{\"version\":" << Version << ",\"routes\":[";
  const char *Comma = "";
  for (const RouteSpec &R : Routes) {
    Out << Comma << "{\"name\":\"r-" << R.Number << "\",\"hostname\":\""
        << Addresses.route(R.Number)
        << "\",\"path_prefix\":\"/443/\",\"type\":\"unsafe\",\"timeout_ms\":"
           "2500,\"target_latency_ms\":200,\"priority\":1,\"service\":\""
        << R.Service << "\",\"max_attempts\":2}";
    Comma = ",";
  }
  Out << "],\"services\":[";
  Comma = "";
  for (const std::string &Name : Services) {
    Out << Comma << "{\"name\":\"" << Name
        << "\",\"health_check_path\":\"/health\",\"max_connections\":2000,"
           "\"protocol\":\"h1\",\"tls\":false}";
    Comma = ",";
  }
  Out << "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
         "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
  return Out.str();
}

// Servers ---------------------------------------------------------------------

Server::Server(World &W, int Side, std::string InitialId,
               std::string InitialService)
    : W(W), Side(Side), Id(std::move(InitialId)),
      Service(std::move(InitialService)),
      Born(std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
               .count()) {
  const Net &N = W.net();
  Udp = bindUdp(N.side(Side), N.App);
  Tcp = listenTcp(N.side(Side), N.App);
  W.log().line("server " + Id + " of " + Service + " starts on s" +
               std::to_string(Side) + ", born " + std::to_string(Born));
}

Server::~Server() {
  stopHeartbeats();
  close(Udp);
  close(Tcp);
  W.log().line("server " + Id + " on s" + std::to_string(Side) + " has ended");
}

std::string Server::nextHeartbeat() {
  const Net &N = W.net();
  std::ostringstream Out;
  Out << "{\"service\":\"" << Service << "\",\"address\":\"" << N.side(Side)
      << ":" << N.App
      << "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"concurrency_limit\":4,"
         "\"state\":\""
      << (Draining ? "draining" : "ready")
      << "\",\"cold_remaining_ms\":0,\"sequence\":" << ++Sequence
      << ",\"born\":" << Born << "}";
  return Out.str();
}

void Server::startHeartbeats(int IntervalMs) {
  Beating = true;
  Beats = std::thread([this, IntervalMs] {
    const Net &N = W.net();
    auto Due = Clock::now();
    while (Beating) {
      const bool Leaving = Draining;
      const std::string Body = nextHeartbeat();
      const auto Answer =
          httpCall(N.side(Side), N.Control, "PUT", "/instances/" + Id, Body,
                   HeartbeatAnswerLimit);
      W.log().line("heartbeat of " + Id + " sequence " +
                   std::to_string(Sequence) + ": " +
                   (Answer ? std::to_string(Answer->Status) : "no answer"));
      if (Leaving && Answer && Answer->Status == 200 && DrainAcknowledgedAt < 0)
        DrainAcknowledgedAt = W.log().now().count();
      Due += milliseconds(IntervalMs);
      while (Beating && Clock::now() < Due)
        std::this_thread::sleep_for(milliseconds(5));
    }
  });
}

void Server::stopHeartbeats() {
  Beating = false;
  if (Beats.joinable())
    Beats.join();
}

std::optional<milliseconds> Server::drainAcknowledged() const {
  const std::int64_t At = DrainAcknowledgedAt;
  return At < 0 ? std::nullopt : std::optional(milliseconds(At));
}

bool Server::holds(const End &Caller, const End &Route) const {
  const auto Found = Flows.find({Caller, Route});
  return Found != Flows.end() && Found->second.Open && !Found->second.Finished;
}

void Server::send(const Packet &P) {
  const Net &N = W.net();
  sendTo(Udp, N.side(Side), N.Outbound, encode(P));
}

void Server::acceptHealthChecks() {
  for (;;) {
    const int Peer = accept4(Tcp, nullptr, nullptr, SOCK_CLOEXEC);
    if (Peer < 0)
      return;
    close(Peer);
  }
}

void Server::poll() {
  acceptHealthChecks();
  while (const auto Raw = receive(Udp)) {
    const auto P = decode(*Raw);
    if (!P || !P->Genuine) {
      W.noteForged();
      W.log().line("FORGED packet at server " + Id);
      continue;
    }
    handle(*P, *Raw);
  }
}

void Server::handle(const Packet &P, const std::string &Raw) {
  const std::pair<End, End> Key{P.From, P.To};
  auto Found = Flows.find(Key);
  if ((P.Flags & Syn) != 0) {
    if (Found == Flows.end()) {
      Flow F;
      F.PeerSeq = P.Seq;
      F.Expected = P.Seq + 1;
      F.OwnSeq = W.random();
      F.Next = F.OwnSeq + 1;
      F.OpenedAt = W.log().now();
      Found = Flows.emplace(Key, F).first;
    }
    const Flow &F = Found->second;
    return send({P.To, P.From, Syn | Ack, F.OwnSeq, F.Expected, {}});
  }
  const bool Held = Found != Flows.end() &&
                    (Found->second.Open || P.AckNumber == Found->second.Next);
  if (!Held) {
    std::string Back = Raw;
    Back[FlagsOffset] = static_cast<char>(
        static_cast<std::uint8_t>(Back[FlagsOffset]) | unsigned{Bounced});
    put(Back, PadOffset, 0, 3);
    const Net &N = W.net();
    return sendTo(Udp, N.side(Side), N.Outbound, Back);
  }
  answer(P, Found->second);
}

void Server::answer(const Packet &P, Flow &F) {
  F.Open = true;
  if ((P.Flags & Rst) != 0) {
    F.Finished = true;
    return;
  }
  if (!P.Data.empty()) {
    if (P.Seq == F.Expected) {
      F.Expected += static_cast<std::uint32_t>(P.Data.size());
      const auto From = P.Data.find("X-Request-Id: ");
      const std::string RequestId =
          P.Data.substr(From + 14, P.Data.find("\r\n", From) - From - 14);
      W.noteRun({W.log().now(), F.OpenedAt, Service, Side, RequestId, P.To});
      const std::string Body = "done " + RequestId + " by " + Id;
      F.LastAnswer = "HTTP/1.1 200 OK\r\nX-Server-Signature: " + Id +
                     "\r\nContent-Length: " + std::to_string(Body.size()) +
                     "\r\n\r\n" + Body;
      F.LastAnswerSeq = F.Next;
      F.Next += static_cast<std::uint32_t>(F.LastAnswer.size());
    }
    return send({P.To, P.From, Ack, F.LastAnswerSeq, F.Expected, F.LastAnswer});
  }
  if ((P.Flags & Fin) != 0) {
    if (!F.Finished)
      ++F.Expected;
    F.Finished = true;
    return send({P.To,
                 P.From,
                 static_cast<std::uint8_t>(Fin | Ack),
                 F.Next,
                 F.Expected,
                 {}});
  }
}

// World -----------------------------------------------------------------------

World::World(Deployment &D, Record &Log) : D(D), Log(Log) {
  CallerSocket = bindUdp(net().caller(1), net().Packets);
  Readiness = std::thread([this] { watchReadiness(); });
}

World::~World() {
  Stopping = true;
  Readiness.join();
  Servers.clear();
  close(CallerSocket);
}

void World::watchReadiness() {
  std::array<int, 16> Misses{};
  while (!Stopping) {
    const auto Due = Clock::now() + ReadinessInterval;
    for (int I = 1; I <= D.entries(); ++I) {
      const auto Answer = httpCall(net().entry(I), net().Ready, "GET", "/ready",
                                   "", milliseconds(200));
      const bool Good = Answer && Answer->Status == 200;
      Misses[I] = Good ? 0 : Misses[I] + 1;
      const bool InRotation = Good || (ReadyEntries[I] && Misses[I] < 2);
      if (ReadyEntries[I] != InRotation)
        Log.line("entry e" + std::to_string(I) +
                 (InRotation ? " is in rotation" : " is out of rotation"));
      ReadyEntries[I] = InRotation;
    }
    while (!Stopping && Clock::now() < Due)
      std::this_thread::sleep_for(milliseconds(10));
  }
}

Server &World::startServer(int Side, const std::string &Id,
                           const std::string &Service) {
  Servers[Side] = std::make_unique<Server>(*this, Side, Id, Service);
  return *Servers[Side];
}

void World::stopServer(int Side) { Servers.erase(Side); }

Server *World::server(int Side) {
  const auto Found = Servers.find(Side);
  return Found == Servers.end() ? nullptr : Found->second.get();
}

void World::noteRun(const Ran &R) {
  Runs.push_back(R);
  Log.line("run of request " + R.RequestId + " for route " + toText(R.Route) +
           " by service " + R.Service + " on s" + std::to_string(R.Side));
}

std::uint16_t World::openFlow(int Route, int Entry, bool CloseAfterAnswer,
                              const std::string &FirstRequestId) {
  CallerFlow F;
  F.Port = NextPort++;
  F.Route = Route;
  F.Entry = Entry;
  F.Seq = random();
  F.CloseAfterAnswer = CloseAfterAnswer;
  F.StartedAt = Log.now();
  F.Delay = RetransmitDelay;
  F.PendingId = FirstRequestId;
  const auto Port = F.Port;
  transmit(CallerFlows.emplace(Port, F).first->second);
  return Port;
}

CallerFlow *World::flow(std::uint16_t Port) {
  const auto Found = CallerFlows.find(Port);
  return Found == CallerFlows.end() ? nullptr : &Found->second;
}

void World::request(std::uint16_t Port, const std::string &Id) {
  CallerFlow *F = flow(Port);
  if (F == nullptr || F->State != CallerFlow::Phase::Open ||
      !F->Pending.empty())
    return;
  F->PendingId = Id;
  F->Pending = "POST /work HTTP/1.1\r\nHost: r\r\nX-Request-Id: " + Id +
               "\r\nContent-Length: 0\r\n\r\n";
  F->PendingSeq = F->Seq;
  F->Seq += static_cast<std::uint32_t>(F->Pending.size());
  F->Copies = 0;
  F->Delay = RetransmitDelay;
  Log.line("request " + Id + " sent on flow " + std::to_string(Port) +
           " of route " + std::to_string(F->Route));
  transmit(*F);
}

int World::chooseEntry(const CallerFlow &F) const {
  if (F.Entry != 0)
    return F.Entry;
  const int Count = D.entries();
  for (int I = 0; I < Count; ++I) {
    const int Candidate = (F.Port + I) % Count + 1;
    if (ReadyEntries[Candidate])
      return Candidate;
  }
  return F.Port % Count + 1;
}

void World::sendFromCaller(const CallerFlow &F, std::uint8_t Flags,
                           std::uint32_t Seq, std::uint32_t AckNumber,
                           const std::string &Data) {
  Packet P;
  P.From = {toAddress(net().caller(1)), F.Port};
  P.To = {toAddress(net().route(F.Route)), 443};
  P.Flags = Flags;
  P.Seq = Seq;
  P.AckNumber = AckNumber;
  P.Data = Data;
  sendTo(CallerSocket, net().entry(chooseEntry(F)), net().Packets, encode(P));
}

void World::transmit(CallerFlow &F) {
  F.SentAt = Log.now();
  if (F.State == CallerFlow::Phase::Opening)
    sendFromCaller(F, Syn, F.Seq, static_cast<std::uint32_t>(F.Copies), "");
  else
    sendFromCaller(F, Ack, F.PendingSeq, F.PeerNext, F.Pending);
  ++F.Copies;
}

void World::advance(CallerFlow &F) {
  const auto Now = Log.now();
  if (F.State == CallerFlow::Phase::Opening) {
    if (Now - F.StartedAt >= OpeningLimit) {
      F.State = CallerFlow::Phase::Closed;
      return;
    }
    const bool SecondDue =
        F.Copies == 1 && Now - F.StartedAt >= milliseconds(200);
    const bool ThirdDue =
        F.Copies == 2 && Now - F.StartedAt >= milliseconds(600);
    if (SecondDue || ThirdDue)
      transmit(F);
    return;
  }
  if (F.State == CallerFlow::Phase::Open && !F.Pending.empty() &&
      Now - F.SentAt >= F.Delay) {
    F.Delay = std::min(2 * F.Delay, MaxRetransmitDelay);
    transmit(F);
  }
}

void World::handleCaller(const Packet &P) {
  CallerFlow *F = flow(P.To.Port);
  if (F == nullptr || F->State == CallerFlow::Phase::Closed)
    return;
  if ((P.Flags & Rst) != 0) {
    const auto Distance = static_cast<std::int32_t>(P.Seq - F->PeerNext);
    const bool Open = F->State == CallerFlow::Phase::Open;
    if (Open && std::abs(std::int64_t{Distance}) > ResetWindow)
      return;
    F->State = CallerFlow::Phase::Closed;
    if (!Open) {
      Log.line("flow " + std::to_string(F->Port) + " refused");
      return;
    }
    for (const auto &[Side, S] : Servers)
      if (S->holds(P.To, P.From)) {
        WrongResets.push_back({Log.now(), F->Port, Side});
        Log.line("RESET of open flow " + std::to_string(F->Port) +
                 ", which server " + S->id() + " on s" + std::to_string(Side) +
                 " holds and didn't reset");
        return;
      }
    Log.line("flow " + std::to_string(F->Port) +
             " reset; no running server holds it");
    return;
  }
  if (!P.Genuine) {
    noteForged();
    return;
  }
  if (F->State == CallerFlow::Phase::Opening && (P.Flags & Syn) != 0) {
    F->State = CallerFlow::Phase::Open;
    F->PeerNext = P.Seq + 1;
    ++F->Seq;
    const std::string First = std::exchange(F->PendingId, "");
    if (First.empty())
      sendFromCaller(*F, Ack, F->Seq, F->PeerNext, "");
    else
      request(F->Port, First);
    return;
  }
  if ((P.Flags & Fin) != 0 && F->Pending.empty()) {
    sendFromCaller(*F, Fin | Ack, F->Seq, P.Seq + 1, "");
    F->State = CallerFlow::Phase::Closed;
    return;
  }
  if (P.Data.empty() || P.Seq != F->PeerNext || F->Pending.empty())
    return;
  F->PeerNext += static_cast<std::uint32_t>(P.Data.size());
  if (P.Data.find("done " + F->PendingId + " by") == std::string::npos)
    Log.line("WRONG answer on flow " + std::to_string(F->Port));
  F->Pending.clear();
  ++F->Answered;
  ++Answered;
  Log.line("request " + F->PendingId + " answered");
  if (F->CloseAfterAnswer) {
    sendFromCaller(*F, Fin | Ack, F->Seq, F->PeerNext, "");
    F->State = CallerFlow::Phase::Closed;
  } else {
    sendFromCaller(*F, Ack, F->Seq, F->PeerNext, "");
  }
}

void World::step() {
  std::vector<pollfd> All = {{CallerSocket, POLLIN, 0}};
  for (const auto &[Side, S] : Servers)
    for (const int Descriptor : S->descriptors())
      All.push_back({Descriptor, POLLIN, 0});
  ::poll(All.data(), All.size(), 5);
  while (const auto Raw = receive(CallerSocket))
    if (const auto P = decode(*Raw))
      handleCaller(*P);
  for (const auto &[Side, S] : Servers)
    S->poll();
  for (auto &[Port, F] : CallerFlows)
    advance(F);
}

void World::run(milliseconds Time) {
  const auto Until = Clock::now() + Time;
  while (Clock::now() < Until)
    step();
}

bool World::waitReady(milliseconds Limit) {
  const auto Until = Clock::now() + Limit;
  while (Clock::now() < Until) {
    step();
    bool All = true;
    for (int I = 1; I <= D.entries(); ++I)
      All = All && ReadyEntries[I];
    if (All)
      return true;
  }
  return false;
}

void openFlowsUntil(World &W, Clock::time_point Until,
                    const std::vector<int> &Routes, int &Number) {
  while (Clock::now() < Until) {
    for (const int Route : Routes)
      W.openFlow(Route, 0, true, "q" + std::to_string(++Number));
    W.run(milliseconds(25));
  }
}

int runMain(int Argc, char **Argv,
            int (*Case)(bool Trouble, const std::string &RecordFile)) {
  if (Argc != 2) {
    std::cerr << "usage: " << Argv[0] << " RECORD\n";
    return 2;
  }
  const char *Trouble = std::getenv("TROUBLE");
  return Case(Trouble == nullptr || std::strcmp(Trouble, "0") != 0, Argv[1]);
}

} // namespace review
