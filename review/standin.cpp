#include "standin.h"
#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <netinet/in.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

using Raw = std::vector<std::uint8_t>;

enum Flag : std::uint8_t { Syn = 1, Bounced = 2, Ack = 4, Rst = 8 };

constexpr std::size_t HeaderBytes = 34;
constexpr std::size_t MaxDatagramBytes = 2048;

/// When callers send the copies of an opening packet, and when they give up.
constexpr milliseconds CopyDelays[] = {milliseconds(0), milliseconds(200),
                                       milliseconds(600)};
constexpr milliseconds OpeningTimeout{1400};
constexpr milliseconds MaxRetryInterval{1600};

void put(Raw &Bytes, std::size_t Offset, std::uint64_t Value,
         std::size_t Size) {
  for (std::size_t I = 0; I < Size; ++I)
    Bytes[Offset + I] = static_cast<std::uint8_t>(Value >> 8 * (Size - 1 - I));
}

std::uint32_t take(const Raw &Bytes, std::size_t Offset, std::size_t Size) {
  std::uint32_t Value = 0;
  for (std::size_t I = 0; I < Size; ++I)
    Value = Value << 8U | Bytes[Offset + I];
  return Value;
}

/// Keyed sum over everything but echo, pad and the Bounced flag (FNV-1a).
std::uint32_t keyedSum(Raw Bytes) {
  Bytes[12] &= static_cast<std::uint8_t>(~Bounced);
  for (std::size_t I : {13U, 14U, 15U, 18U, 19U, 20U, 21U, 22U, 23U, 24U, 25U})
    Bytes[I] = 0;
  std::uint32_t Sum = 2166136261U ^ 0x5EEDU;
  for (const std::uint8_t Byte : Bytes)
    Sum = (Sum ^ Byte) * 16777619U;
  return Sum;
}

Raw encode(const Packet &P) {
  Raw Bytes(HeaderBytes + P.Data.size());
  put(Bytes, 0, P.DestinationPort, 2);
  put(Bytes, 2, P.Destination, 4);
  put(Bytes, 6, P.Source, 4);
  put(Bytes, 10, P.SourcePort, 2);
  Bytes[12] = P.Flags;
  put(Bytes, 16, P.Data.size(), 2);
  put(Bytes, 26, P.Sequence, 4);
  put(Bytes, 30, P.Acknowledged, 4);
  std::copy(P.Data.begin(), P.Data.end(), Bytes.begin() + HeaderBytes);
  put(Bytes, 22, keyedSum(Bytes), 4);
  return Bytes;
}

std::optional<Packet> decode(const Raw &Bytes) {
  if (Bytes.size() < HeaderBytes ||
      Bytes.size() != HeaderBytes + take(Bytes, 16, 2))
    return std::nullopt;
  Packet P;
  P.DestinationPort = static_cast<std::uint16_t>(take(Bytes, 0, 2));
  P.Destination = take(Bytes, 2, 4);
  P.Source = take(Bytes, 6, 4);
  P.SourcePort = static_cast<std::uint16_t>(take(Bytes, 10, 2));
  P.Flags = Bytes[12];
  P.Sequence = take(Bytes, 26, 4);
  P.Acknowledged = take(Bytes, 30, 4);
  P.Data.assign(Bytes.begin() + HeaderBytes, Bytes.end());
  return P;
}

sockaddr_in socketAddress(std::uint32_t Ip, std::uint16_t Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(Ip);
  Address.sin_port = htons(Port);
  return Address;
}

int openSocket(int Type, std::uint32_t Ip, std::uint16_t Port) {
  const int Handle = socket(AF_INET, Type | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (Handle < 0)
    return -1;
  const int One = 1;
  if (Type == SOCK_STREAM)
    setsockopt(Handle, SOL_SOCKET, SO_REUSEADDR, &One, sizeof(One));
  const sockaddr_in Address = socketAddress(Ip, Port);
  if (bind(Handle, reinterpret_cast<const sockaddr *>(&Address),
           sizeof(Address)) == 0 &&
      (Type != SOCK_STREAM || listen(Handle, 64) == 0))
    return Handle;
  close(Handle);
  return -1;
}

void sendTo(int Handle, std::uint32_t Ip, std::uint16_t Port,
            const Raw &Bytes) {
  const sockaddr_in Address = socketAddress(Ip, Port);
  (void)sendto(Handle, Bytes.data(), Bytes.size(), 0,
               reinterpret_cast<const sockaddr *>(&Address), sizeof(Address));
}

std::optional<Raw> receiveFrom(int Handle) {
  Raw Bytes(MaxDatagramBytes);
  const ssize_t Size = recv(Handle, Bytes.data(), Bytes.size(), 0);
  if (Size < 0)
    return std::nullopt;
  Bytes.resize(static_cast<std::size_t>(Size));
  return Bytes;
}

std::string number(std::uint64_t Value) { return std::to_string(Value); }

std::int64_t timeOfDayMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// Waits until \p Handle is ready or \p End has passed.
bool waitReady(int Handle, short Events, Clock::time_point End) {
  const auto Left =
      std::chrono::duration_cast<milliseconds>(End - Clock::now()).count();
  pollfd Entry{Handle, Events, 0};
  return Left > 0 && poll(&Entry, 1, static_cast<int>(Left)) == 1;
}

std::string header(const std::string &Head, const std::string &Name) {
  const std::size_t At = Head.find("\r\n" + Name + ": ");
  if (At == std::string::npos)
    return "";
  const std::size_t From = At + Name.size() + 4;
  return Head.substr(From, Head.find("\r\n", From) - From);
}

std::optional<HttpReply> parseReply(const std::string &Text) {
  const std::size_t End = Text.find("\r\n\r\n");
  if (End == std::string::npos || Text.size() < 12)
    return std::nullopt;
  const std::string Head = Text.substr(0, End + 2);
  HttpReply Reply;
  Reply.Status = std::atoi(Text.substr(9, 3).c_str());
  Reply.Location = header(Head, "Location");
  Reply.Body = Text.substr(End + 4);
  if (Reply.Body.size() < static_cast<std::size_t>(std::atoi(
                              header(Head, "Content-Length").c_str())))
    return std::nullopt;
  return Reply;
}

std::string addressText(std::uint32_t Ip) {
  in_addr Address{htonl(Ip)};
  return inet_ntoa(Address);
}

} // namespace

// Record ----------------------------------------------------------------------

Record::Record(const std::string &Path) : File(std::fopen(Path.c_str(), "w")) {}

Record::~Record() {
  if (File != nullptr)
    std::fclose(File);
}

void Record::line(const std::string &Text) {
  const std::lock_guard<std::mutex> Guard(Mutex);
  const auto Since =
      std::chrono::duration_cast<milliseconds>(Clock::now() - Start).count();
  if (File != nullptr) {
    std::fprintf(File, "%6lld %s\n", static_cast<long long>(Since),
                 Text.c_str());
    std::fflush(File);
  }
}

// HTTP ------------------------------------------------------------------------

std::optional<HttpReply> callHttp(const std::string &Method,
                                  const std::string &Ip, std::uint16_t Port,
                                  const std::string &Target,
                                  const std::string &Body) {
  const auto End = Clock::now() + std::chrono::seconds(1);
  const int Handle =
      socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (Handle < 0)
    return std::nullopt;
  const std::unique_ptr<const int, void (*)(const int *)> Closer(
      &Handle, [](const int *Open) { close(*Open); });
  const sockaddr_in Address = socketAddress(parseIp(Ip), Port);
  if (connect(Handle, reinterpret_cast<const sockaddr *>(&Address),
              sizeof(Address)) != 0 &&
      errno != EINPROGRESS)
    return std::nullopt;
  std::string Out = Method + " " + Target + " HTTP/1.1\r\nHost: " + Ip +
                    "\r\nContent-Type: application/json\r\nContent-Length: " +
                    number(Body.size()) + "\r\nConnection: close\r\n\r\n" +
                    Body;
  while (!Out.empty()) {
    if (!waitReady(Handle, POLLOUT, End))
      return std::nullopt;
    const ssize_t Sent = ::send(Handle, Out.data(), Out.size(), MSG_NOSIGNAL);
    if (Sent <= 0)
      return std::nullopt;
    Out.erase(0, static_cast<std::size_t>(Sent));
  }
  std::string Text;
  for (;;) {
    if (!waitReady(Handle, POLLIN, End))
      return std::nullopt;
    char Buffer[4096];
    const ssize_t Size = recv(Handle, Buffer, sizeof(Buffer), 0);
    if (Size > 0)
      Text.append(Buffer, static_cast<std::size_t>(Size));
    if (auto Reply = parseReply(Text))
      return Reply;
    if (Size <= 0)
      return std::nullopt;
  }
}

// Processes -------------------------------------------------------------------

Process::Process(std::string Folder, std::string Name, std::string Role,
                 std::string Ip, std::string ControlPrefix)
    : Folder(std::move(Folder)), Name(std::move(Name)), Role(std::move(Role)),
      Ip(std::move(Ip)), ControlPrefix(std::move(ControlPrefix)) {}

Process::~Process() {
  if (Pid <= 0)
    return;
  sendSignal(SIGCONT);
  sendSignal(SIGKILL);
  reap();
}

void Process::writeSettings(bool FirstStart) const {
  const std::string Home = Folder + "/" + Name;
  std::filesystem::create_directories(Home + "/data");
  const std::string Path = Home + "/node.toml";
  std::FILE *File = std::fopen((Path + ".new").c_str(), "w");
  if (File == nullptr)
    return;
  std::string Text = "node_name = \"" + Name + "\"\nip = \"" + Ip +
                     "\"\nzone = \"z\"\nregion = \"r\"\n"
                     "internal_port_range = [7720, 7735]\nseed_nodes = [";
  for (int I = 1; I <= 3; ++I)
    Text += std::string(I > 1 ? ", " : "") + "\"" + ControlPrefix +
            std::to_string(I) + ":" + number(ApiPort) + "\"";
  Text += std::string("]\nbootstrap = ") + (FirstStart ? "true" : "false") +
          "\ndata_dir = \"" + Home + "/data\"\napp = \"" + Ip + ":" +
          number(BackendPort) +
          "\"\n[fault_tolerance]\nmachines = 1\nzones = 0\nregions = 0\n"
          "[bounds]\nreuse_after_s = 2\ncontact_ms = 4000\ndrain_ms = 3000\n"
          "config_apply_ms = 3000\nrollback_slack_ms = 250\nmax_flow_s = 60\n"
          "[bind_addresses]\npacket_address = \"" +
          Ip + ":" + number(PacketPort) + "\"\noutbound = \"" + Ip + ":" +
          number(OutboundPort) + "\"\nreadiness_address = \"" + Ip + ":" +
          number(ReadyPort) + "\"\ncontrol_plane = \"" + Ip + ":" +
          number(ApiPort) + "\"\n";
  std::fputs(Text.c_str(), File);
  std::fclose(File);
  std::filesystem::rename(Path + ".new", Path);
}

bool Process::start() {
  const std::string Settings = Folder + "/" + Name + "/node.toml";
  // A process may write gigabytes while it misbehaves.
  const std::string Log = std::getenv("KEEP_LOGS") == nullptr
                              ? "/dev/null"
                              : Folder + "/" + Name + "/log";
  Pid = fork();
  if (Pid != 0)
    return Pid > 0;
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int Output =
      open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  if (Output >= 0) {
    dup2(Output, STDOUT_FILENO);
    dup2(Output, STDERR_FILENO);
  }
  setenv("JASMINEARCH_NODE_FILE", Settings.c_str(), 1);
  execl("target/jasminearch-node", "target/jasminearch-node", Role.c_str(),
        static_cast<char *>(nullptr));
  _exit(127);
}

void Process::sendSignal(int Signal) const {
  if (Pid > 0)
    kill(Pid, Signal);
}

void Process::reap() {
  if (Pid > 0)
    waitpid(Pid, nullptr, 0);
  Pid = -1;
}

// Backends --------------------------------------------------------------------

Backend::Backend(World &Owner, BackendOptions InitialOptions)
    : Owner(Owner), Options(std::move(InitialOptions)),
      Label(Options.Id + " (" + Options.Service + ")") {}

Backend::~Backend() {
  crash();
  if (HeartbeatThread.joinable())
    HeartbeatThread.join();
}

bool Backend::start() {
  const std::uint32_t Ip = parseIp(Options.Ip);
  Udp = openSocket(SOCK_DGRAM, Ip, BackendPort);
  Listener = openSocket(SOCK_STREAM, Ip, BackendPort);
  if (Udp < 0 || Listener < 0)
    return false;
  BornMs = timeOfDayMs() + Options.ClockOffset.count();
  Running = true;
  Owner.record().line("backend " + Label + " starts at " + Options.Ip +
                      ", born " + std::to_string(BornMs));
  Owner.add(*this);
  HeartbeatThread = std::thread([this] { runHeartbeats(); });
  return true;
}

void Backend::crash() {
  {
    const std::lock_guard<std::mutex> Guard(HeartbeatMutex);
    if (!Running)
      return;
    Running = false;
  }
  Owner.remove(*this);
  close(Udp);
  close(Listener);
  Owner.record().line("backend " + Label + " is gone");
}

bool Backend::announce() {
  std::string Body;
  {
    const std::lock_guard<std::mutex> Guard(HeartbeatMutex);
    ++HeartbeatNumber;
    Body =
        "{\"service\":\"" + Options.Service + "\",\"address\":\"" + Options.Ip +
        ":" + number(BackendPort) +
        "\",\"zone\":\"z\",\"version\":\"v1\",\"concurrency_limit\":4,"
        "\"state\":\"" +
        (Draining ? "draining" : "ready") +
        "\",\"cold_remaining_ms\":0,\"sequence\":" + number(HeartbeatNumber) +
        ",\"born\":" + std::to_string(BornMs) + "}";
  }
  const auto Reply =
      callHttp("PUT", Options.Ip, ApiPort, "/instances/" + Options.Id, Body);
  Owner.record().line(
      "heartbeat of " + Label + " " + Body + " -> " +
      (Reply ? std::to_string(Reply->Status) : std::string("no answer")));
  return Reply && Reply->Status == 200;
}

void Backend::runHeartbeats() {
  for (;;) {
    bool Due = false;
    {
      const std::lock_guard<std::mutex> Guard(HeartbeatMutex);
      if (!Running)
        return;
      const auto Now = Clock::now();
      Due = Now >= HeartbeatDue;
      if (Due)
        HeartbeatDue = Now + Options.HeartbeatInterval;
    }
    if (Due)
      announce();
    pause(milliseconds(5));
  }
}

Clock::time_point Backend::nextHeartbeat() {
  const std::lock_guard<std::mutex> Guard(HeartbeatMutex);
  return HeartbeatDue;
}

std::optional<Clock::time_point> Backend::drain() {
  {
    const std::lock_guard<std::mutex> Guard(HeartbeatMutex);
    Draining = true;
  }
  for (int Tries = 0; Tries < 3; ++Tries)
    if (announce())
      return Clock::now();
  return std::nullopt;
}

void Backend::send(const std::vector<std::uint8_t> &Bytes) const {
  sendTo(Udp, parseIp(Options.Ip), OutboundPort, Bytes);
}

void Backend::receive(Clock::time_point Now) {
  while (const auto Bytes = receiveFrom(Udp))
    if (const auto P = decode(*Bytes))
      handle(*P, *Bytes, Now);
  for (;;) {
    const int Accepted = accept(Listener, nullptr, nullptr);
    if (Accepted < 0)
      break;
    close(Accepted);
  }
}

void Backend::handle(const Packet &P, const std::vector<std::uint8_t> &Bytes,
                     Clock::time_point Now) {
  if (IsLost && IsLost(P)) {
    Owner.record().line("a packet of flow " + number(P.SourcePort) +
                        " to backend " + Label + " is lost on its way");
    return;
  }
  const auto Key = std::pair(P.Source, P.SourcePort);
  Packet Reply;
  Reply.Source = P.Destination;
  Reply.SourcePort = P.DestinationPort;
  Reply.Destination = P.Source;
  Reply.DestinationPort = P.SourcePort;
  if ((P.Flags & Syn) != 0) {
    const auto [It, New] = Flows.try_emplace(Key);
    if (New)
      It->second.Sequence = static_cast<std::uint32_t>(std::rand());
    Owner.Arrivals.push_back({Options.Id, Options.Service, "opening",
                              P.SourcePort, P.Acknowledged, Now});
    Owner.record().line("backend " + Label + " gets copy " +
                        number(P.Acknowledged) + " of the opening of flow " +
                        number(P.SourcePort) + " to " +
                        addressText(P.Destination));
    Reply.Flags = Syn | Ack;
    Reply.Sequence = It->second.Sequence;
    Reply.Acknowledged = P.Sequence + 1;
    return send(encode(Reply));
  }
  const auto Found = Flows.find(Key);
  const bool Holds = Found != Flows.end() &&
                     P.Acknowledged - Found->second.Sequence - 1 < (1U << 20U);
  if (!Holds) {
    std::vector<std::uint8_t> Returned = Bytes;
    Returned[12] |= Bounced;
    Returned[13] = Returned[14] = Returned[15] = 0;
    return send(Returned);
  }
  Held &F = Found->second;
  if (P.Data.empty())
    return;
  // A retransmission is the same request.
  if (F.RunUpTo && static_cast<std::int32_t>(P.Sequence - *F.RunUpTo) < 0) {
    if (F.LastAnswer)
      send(encode(*F.LastAnswer));
    return;
  }
  F.RunUpTo = P.Sequence + static_cast<std::uint32_t>(P.Data.size());
  F.LastAnswer.reset();
  Owner.Arrivals.push_back(
      {Options.Id, Options.Service, P.Data, P.SourcePort, 0, Now});
  Owner.record().line("backend " + Label + " runs " + P.Data + " of flow " +
                      number(P.SourcePort));
  Reply.Flags = Ack;
  Reply.Sequence = P.Acknowledged;
  Reply.Acknowledged = P.Sequence + static_cast<std::uint32_t>(P.Data.size());
  Reply.Data = P.Data + " by " + Options.Id;
  Answers.push_back({Now + Options.WorkTime, std::move(Reply)});
}

void Backend::sendDue(Clock::time_point Now) {
  std::erase_if(Answers, [&](const Answer &A) {
    if (A.Due > Now)
      return false;
    Owner.record().line("backend " + Label + " answers \"" + A.Value.Data +
                        "\"");
    const auto Key = std::pair(A.Value.Destination, A.Value.DestinationPort);
    Flows[Key].LastAnswer = A.Value;
    send(encode(A.Value));
    return true;
  });
}

// Callers ---------------------------------------------------------------------

World::World(Record &Log, std::string InitialPrefix)
    : Log(Log), Prefix(std::move(InitialPrefix)), CallerIp(Prefix + "4.1") {}

World::~World() { stop(); }

bool World::start() {
  Udp = openSocket(SOCK_DGRAM, parseIp(CallerIp), PacketPort);
  if (Udp < 0)
    return false;
  Running = true;
  Thread = std::thread([this] { run(); });
  return true;
}

void World::stop() {
  {
    const std::lock_guard<std::mutex> Guard(Mutex);
    if (!Running)
      return;
    Running = false;
  }
  Thread.join();
  close(Udp);
}

void World::add(Backend &B) {
  const std::lock_guard<std::mutex> Guard(Mutex);
  Backends.push_back(&B);
}

void World::remove(Backend &B) {
  const std::lock_guard<std::mutex> Guard(Mutex);
  std::erase(Backends, &B);
}

void World::run() {
  for (;;) {
    {
      const std::lock_guard<std::mutex> Guard(Mutex);
      if (!Running)
        return;
      const auto Now = Clock::now();
      for (Backend *B : Backends) {
        B->receive(Now);
        B->sendDue(Now);
      }
      receiveForCallers(Now);
      for (const auto &C : Callers)
        advance(*C, Now);
    }
    pause(milliseconds(1));
  }
}

void World::receiveForCallers(Clock::time_point Now) {
  while (const auto Bytes = receiveFrom(Udp)) {
    const auto P = decode(*Bytes);
    if (!P)
      continue;
    const auto Found =
        std::find_if(Callers.begin(), Callers.end(), [&P](const auto &C) {
          return C->Value.Port == P->DestinationPort;
        });
    if (Found == Callers.end())
      continue;
    Caller &C = **Found;
    Flow &F = C.Value;
    const bool Ended =
        F.Current == Flow::State::Reset || F.Current == Flow::State::GivenUp;
    if (Ended)
      continue;
    if ((P->Flags & Rst) != 0) {
      F.Current = Flow::State::Reset;
      Log.line("caller: flow " + F.Name + " is reset");
    } else if (F.Current == Flow::State::Opening && (P->Flags & Syn) != 0) {
      F.Current = Flow::State::Open;
      F.OpenedAt = Now;
      F.PeerSequence = P->Sequence + 1;
      F.Sequence += 1;
      Log.line("caller: flow " + F.Name + " is open");
      transmit(C, Ack, "");
    } else if (F.Current == Flow::State::Open && !P->Data.empty()) {
      const bool Awaited =
          !F.Request.empty() && P->Data.rfind(F.Request + " by ", 0) == 0;
      if (!Awaited)
        continue;
      Log.line("caller: flow " + F.Name + " gets \"" + P->Data + "\"");
      F.Answers.push_back(P->Data);
      F.PeerSequence = P->Sequence + static_cast<std::uint32_t>(P->Data.size());
      F.Sequence += static_cast<std::uint32_t>(F.Request.size());
      F.Request.clear();
      transmit(C, Ack, "");
    }
  }
}

void World::transmit(Caller &C, std::uint8_t Flags, const std::string &Data) {
  Packet P;
  P.Source = parseIp(CallerIp);
  P.SourcePort = C.Value.Port;
  P.Destination = C.Value.Route.Address;
  P.DestinationPort = C.Value.Route.Port;
  P.Flags = Flags;
  P.Sequence = C.Value.Sequence;
  P.Acknowledged =
      (Flags & Syn) != 0 ? C.Value.CopiesSent : C.Value.PeerSequence;
  P.Data = Data;
  sendTo(Udp, parseIp(C.EntryIp), PacketPort, encode(P));
}

void World::advance(Caller &C, Clock::time_point Now) {
  Flow &F = C.Value;
  if (F.Current == Flow::State::Opening) {
    const auto Since =
        F.CopyTimes.empty() ? Clock::duration{} : Now - F.CopyTimes.front();
    if (F.CopiesSent < 3 && Since >= CopyDelays[F.CopiesSent]) {
      Log.line("caller: flow " + F.Name + " (" + number(F.Port) +
               ") sends copy " + number(F.CopiesSent) + " of its opening to " +
               addressText(F.Route.Address) + " through " + C.EntryIp);
      transmit(C, Syn, "");
      F.CopyTimes.push_back(Now);
      ++F.CopiesSent;
    } else if (Since >= OpeningTimeout) {
      F.Current = Flow::State::GivenUp;
      Log.line("caller: flow " + F.Name + " gives up");
    }
    return;
  }
  if (F.Current != Flow::State::Open)
    return;
  if (F.Request.empty() && !F.Queue.empty()) {
    F.Request = F.Queue.front();
    F.Queue.erase(F.Queue.begin());
    F.SentAt = Now;
    F.RetryAfter = milliseconds(200);
    Log.line("caller: flow " + F.Name + " sends " + F.Request);
    return transmit(C, Ack, F.Request);
  }
  if (!F.Request.empty() && Now - F.SentAt >= F.RetryAfter) {
    F.SentAt = Now;
    F.RetryAfter = std::min(2 * F.RetryAfter, MaxRetryInterval);
    transmit(C, Ack, F.Request);
  }
}

std::size_t World::openFlow(const std::string &Name, RouteAddress Route,
                            const std::string &EntryIp,
                            std::vector<std::string> Requests) {
  const std::lock_guard<std::mutex> Guard(Mutex);
  auto C = std::make_unique<Caller>();
  C->EntryIp = EntryIp;
  C->Value.Name = Name;
  C->Value.Route = Route;
  C->Value.Port = NextPort++;
  C->Value.Sequence = static_cast<std::uint32_t>(std::rand());
  C->Value.Queue = std::move(Requests);
  Callers.push_back(std::move(C));
  return Callers.size() - 1;
}

void World::request(std::size_t Number, const std::string &Id) {
  const std::lock_guard<std::mutex> Guard(Mutex);
  Callers.at(Number)->Value.Queue.push_back(Id);
}

Flow World::flow(std::size_t Number) {
  const std::lock_guard<std::mutex> Guard(Mutex);
  return Callers.at(Number)->Value;
}

std::vector<Arrival> World::arrivals() {
  const std::lock_guard<std::mutex> Guard(Mutex);
  return Arrivals;
}

// Deployment ------------------------------------------------------------------

Deployment::Deployment(Record &Log, const std::string &Prefix,
                       unsigned AgentCount)
    : Log(Log) {
  std::string Template = std::filesystem::temp_directory_path() / "caseXXXXXX";
  if (mkdtemp(Template.data()) != nullptr)
    Folder = Template;
  const std::string ControlPrefix = Prefix + "1.";
  const auto Make = [&](const std::string &Name, const std::string &Role,
                        const std::string &Ip) {
    return std::make_unique<Process>(Folder, Name, Role, Ip, ControlPrefix);
  };
  for (unsigned I = 1; I <= 3; ++I)
    Controls.push_back(Make("c" + std::to_string(I), "control",
                            ControlPrefix + std::to_string(I)));
  Entry = Make("e1", "entry", Prefix + "2.1");
  for (unsigned I = 1; I <= AgentCount; ++I)
    Agents.push_back(Make("a" + std::to_string(I), "agent",
                          Prefix + "3." + std::to_string(I)));
}

Deployment::~Deployment() {
  Controls.clear();
  Agents.clear();
  Entry.reset();
  if (!Folder.empty() && std::getenv("KEEP_LOGS") == nullptr) {
    std::error_code Ignored;
    std::filesystem::remove_all(Folder, Ignored);
  } else {
    Log.line("logs are in " + Folder);
  }
}

bool Deployment::start() {
  if (Folder.empty())
    return false;
  std::vector<Process *> All;
  for (const auto &P : Controls)
    All.push_back(P.get());
  for (const auto &P : Agents)
    All.push_back(P.get());
  All.push_back(Entry.get());
  for (Process *P : All) {
    P->writeSettings(true);
    if (!P->start())
      return false;
  }
  const bool Up = waitFor(milliseconds(15000), [this] {
    return callHttp("GET", Controls[0]->ip(), ApiPort, "/config", "")
        .has_value();
  });
  for (const Process *P : All)
    P->writeSettings(false);
  return Up;
}

std::optional<Clock::time_point>
Deployment::configure(const std::string &Body) {
  const auto End = Clock::now() + std::chrono::seconds(15);
  std::string Ip = Controls[0]->ip();
  for (std::size_t Tries = 1; Clock::now() < End; ++Tries) {
    const auto Reply = callHttp("PUT", Ip, ApiPort, "/config", Body);
    std::string Line = "operator: PUT /config at " + Ip + " ";
    Line += Body;
    Line += " -> ";
    Line += Reply ? std::to_string(Reply->Status) : "no answer";
    Log.line(Line);
    if (Reply && Reply->Status == 200)
      return Clock::now();
    if (Reply && Reply->Status == 307) {
      const std::string Host = Reply->Location.substr(7);
      Ip = Host.substr(0, Host.find(':'));
      continue;
    }
    if (Reply && Reply->Status >= 400 && Reply->Status < 500)
      return std::nullopt;
    Ip = Controls[Tries % Controls.size()]->ip();
    pause(milliseconds(100));
  }
  return std::nullopt;
}

bool Deployment::waitUntilReady() {
  return waitFor(milliseconds(15000), [this] {
    const auto Reply = callHttp("GET", Entry->ip(), ReadyPort, "/ready", "");
    return Reply && Reply->Status == 200;
  });
}

// Helpers ---------------------------------------------------------------------

std::string configurationBody(std::uint64_t Version,
                              const std::vector<RouteText> &Routes,
                              const std::vector<std::string> &Services) {
  std::string Body = "{\"version\":" + number(Version) + ",\"routes\":[";
  for (std::size_t I = 0; I < Routes.size(); ++I)
    Body += std::string(I > 0 ? "," : "") + "{\"name\":\"r-" + number(I) +
            "\",\"hostname\":\"" + Routes[I].Hostname +
            "\",\"path_prefix\":\"/443/\",\"type\":\"" + Routes[I].Type +
            "\",\"timeout_ms\":2500,\"target_latency_ms\":250,"
            "\"priority\":1,\"service\":\"" +
            Routes[I].Service + "\",\"max_attempts\":2}";
  Body += "],\"services\":[";
  for (std::size_t I = 0; I < Services.size(); ++I)
    Body += std::string(I > 0 ? "," : "") + "{\"name\":\"" + Services[I] +
            "\",\"health_check_path\":\"/health\",\"max_connections\":2000,"
            "\"protocol\":\"h1\",\"tls\":false}";
  return Body +
         "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
         "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
}

std::string freePrefix() {
  const int First = static_cast<int>(getpid()) % 150;
  for (int I = 0; I < 150; ++I) {
    std::string Prefix = "127." + std::to_string(80 + (First + I) % 150) + ".";
    const int Handle =
        openSocket(SOCK_STREAM, parseIp(Prefix + "1.1"), ApiPort);
    if (Handle < 0)
      continue;
    close(Handle);
    return Prefix;
  }
  return "";
}

std::uint32_t parseIp(const std::string &Text) {
  in_addr Address{};
  return inet_aton(Text.c_str(), &Address) != 0 ? ntohl(Address.s_addr) : 0;
}

bool withTrouble() {
  const char *Value = std::getenv("TROUBLE");
  return Value == nullptr || std::string(Value) != "0";
}

void pause(milliseconds Time) { std::this_thread::sleep_for(Time); }

bool waitFor(milliseconds Limit, const std::function<bool()> &Condition) {
  const auto End = Clock::now() + Limit;
  while (!Condition()) {
    if (Clock::now() >= End)
      return false;
    pause(milliseconds(20));
  }
  return true;
}

} // namespace review
