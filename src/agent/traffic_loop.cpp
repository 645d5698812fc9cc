#include "jasminearch/agent/traffic_loop.h"
#include "jasminearch/agent/handover.h"
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

namespace jasminearch::agent {

namespace {

/// Marks of the two sockets that are no flow's; flow ids start at 1 and never
/// get this high.
constexpr std::uint64_t TunnelMark = UINT64_MAX;
constexpr std::uint64_t WakerMark = UINT64_MAX - 1;

constexpr int EventsPerTurn = 256;
/// Datagrams read from one socket before others get their turn.
constexpr int DatagramsPerTurn = 64;
constexpr int TurnMillis = 10;
constexpr std::chrono::milliseconds TimerInterval{20};
constexpr std::chrono::seconds CountInterval{1};
/// The kernel drops frames that arrive in a burst beyond its buffer.
constexpr int TunnelBufferBytes = 4 << 20;

sockaddr_in toSocketAddress(Endpoint Of) {
  sockaddr_in Out{};
  Out.sin_family = AF_INET;
  Out.sin_addr.s_addr = htonl(Of.Address);
  Out.sin_port = htons(Of.Port);
  return Out;
}

Endpoint fromSocketAddress(const sockaddr_in &Of) {
  return {ntohl(Of.sin_addr.s_addr), ntohs(Of.sin_port)};
}

Error socketError(const std::string &What, Endpoint At) {
  return {ErrorCode::SocketFailed,
          What + " " + toString(At) + ": " + std::strerror(errno)};
}

/// \returns a datagram socket bound to \p At.
Expected<int> boundSocket(Endpoint At) {
  const int Socket =
      socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (Socket < 0)
    return tl::unexpected<Error>(socketError("can't make a socket for", At));
  const sockaddr_in Address = toSocketAddress(At);
  if (bind(Socket, reinterpret_cast<const sockaddr *>(&Address),
           sizeof(Address)) == 0)
    return Socket;
  const Error Failure = socketError("can't bind", At);
  close(Socket);
  return tl::unexpected<Error>(Failure);
}

std::uint16_t localPort(int Socket) {
  sockaddr_in Address{};
  socklen_t Size = sizeof(Address);
  getsockname(Socket, reinterpret_cast<sockaddr *>(&Address), &Size);
  return ntohs(Address.sin_port);
}

} // namespace

TrafficLoop::TrafficLoop(std::unique_ptr<State> Initial,
                         const TrafficEndpoints &Where, const Clock &Time)
    : S(std::move(Initial)), Where(Where), Time(Time),
      Buffer(wire::MaxDatagramBytes) {}

TrafficLoop::~TrafficLoop() {
  closeSockets();
  for (const int Socket : {Waker, Poll})
    if (Socket >= 0)
      close(Socket);
}

Expected<void> TrafficLoop::open() {
  Poll = epoll_create1(EPOLL_CLOEXEC);
  Waker = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
  const auto Bound = boundSocket(Where.Tunnel);
  if (!Bound)
    return tl::unexpected<Error>(Bound.error());
  Tunnel = *Bound;
  setsockopt(Tunnel, SOL_SOCKET, SO_RCVBUF, &TunnelBufferBytes,
             sizeof(TunnelBufferBytes));
  if (!watch(Tunnel, TunnelMark) || !watch(Waker, WakerMark))
    return tl::unexpected<Error>(socketError("can't watch", Where.Tunnel));
  rebindFlows();
  return {};
}

void TrafficLoop::rebindFlows() {
  std::vector<FlowId> Lost;
  for (const auto &[Id, Of] : S->Flows.ById) {
    const auto Port = bindFlow(Id, Of->LocalPort);
    if (Port) {
      Of->LocalPort = *Port;
      continue;
    }
    logError("flow_port_lost", Port.error());
    Lost.push_back(Id);
  }
  // The upstream knows these sessions by ports that now belong to others.
  for (const FlowId Id : Lost)
    deliver(UpstreamRefused{Id});
}

Expected<std::uint16_t> TrafficLoop::bindFlow(FlowId Id, std::uint16_t Port) {
  const auto Socket = boundSocket({Where.Tunnel.Address, Port});
  if (!Socket)
    return tl::unexpected<Error>(Socket.error());
  const sockaddr_in Address = toSocketAddress(Where.Upstream);
  if (connect(*Socket, reinterpret_cast<const sockaddr *>(&Address),
              sizeof(Address)) != 0 ||
      !watch(*Socket, Id.Number)) {
    const Error Failure = socketError("can't connect to", Where.Upstream);
    close(*Socket);
    return tl::unexpected<Error>(Failure);
  }
  Sockets[Id] = *Socket;
  return localPort(*Socket);
}

bool TrafficLoop::watch(int Socket, std::uint64_t Mark) {
  epoll_event Wanted{};
  Wanted.events = EPOLLIN;
  Wanted.data.u64 = Mark;
  return epoll_ctl(Poll, EPOLL_CTL_ADD, Socket, &Wanted) == 0;
}

void TrafficLoop::closeSockets() {
  for (const auto &[Id, Socket] : Sockets)
    close(Socket);
  Sockets.clear();
  if (Tunnel >= 0)
    close(Tunnel);
  Tunnel = -1;
}

void TrafficLoop::run() {
  while (!Quit)
    turn();
}

void TrafficLoop::turn() {
  std::array<epoll_event, EventsPerTurn> Ready{};
  const int Count = epoll_wait(Poll, Ready.data(), EventsPerTurn, TurnMillis);
  for (int At = 0; At < Count; ++At) {
    const std::uint64_t Mark = Ready[static_cast<std::size_t>(At)].data.u64;
    if (Mark == TunnelMark) {
      readTunnel();
      continue;
    }
    if (Mark == WakerMark)
      continue;
    // An earlier event of this turn may have closed the flow.
    const auto Found = Sockets.find(FlowId{Mark});
    if (Found != Sockets.end())
      readFlow(Found->second, FlowId{Mark});
  }
  takePosted();
  timers();
}

void TrafficLoop::readTunnel() {
  for (int Left = DatagramsPerTurn; Left > 0; --Left) {
    sockaddr_in From{};
    socklen_t FromSize = sizeof(From);
    const ssize_t Size =
        recvfrom(Tunnel, Buffer.data(), Buffer.size(), 0,
                 reinterpret_cast<sockaddr *>(&From), &FromSize);
    if (Size < 0 && errno == ECONNREFUSED)
      continue;
    if (Size < 0)
      return;
    deliver(FrameReceived{fromSocketAddress(From),
                          {Buffer.data(), static_cast<std::size_t>(Size)}});
  }
}

void TrafficLoop::readFlow(int Socket, FlowId Id) {
  for (int Left = DatagramsPerTurn; Left > 0; --Left) {
    const ssize_t Size = recv(Socket, Buffer.data(), Buffer.size(), 0);
    if (Size < 0 && errno == ECONNREFUSED)
      deliver(UpstreamRefused{Id});
    if (Size < 0)
      return;
    deliver(
        UpstreamReceived{Id, {Buffer.data(), static_cast<std::size_t>(Size)}});
    if (!Sockets.contains(Id))
      return;
  }
}

void TrafficLoop::takePosted() {
  std::uint64_t Ignored = 0;
  while (read(Waker, &Ignored, sizeof(Ignored)) > 0) {
  }
  std::vector<Event> Taken;
  std::optional<HandOverPromise> To;
  {
    const std::lock_guard<std::mutex> Held(Lock);
    Taken.swap(Posted);
    To.swap(Successor);
  }
  for (const Event &What : Taken)
    deliver(What);
  if (!To)
    return;
  std::vector<Bytes> Parts = encodeHandover(*S, Time.now());
  // The successor binds the same ports, so they must be free before it hears.
  closeSockets();
  Quit = true;
  To->set_value(std::move(Parts));
}

void TrafficLoop::timers() {
  const TimePoint Now = Time.now();
  if (Now < NextTimer || Quit)
    return;
  NextTimer = Now + TimerInterval;
  deliver(TimerFired{});
  if (Now < NextCounts)
    return;
  NextCounts = Now + CountInterval;
  std::vector<control::PromiseCount> Latest = promiseCounts(*S);
  const std::lock_guard<std::mutex> Held(Lock);
  Counted = std::move(Latest);
}

void TrafficLoop::deliver(const Event &What) {
  for (const Effect &Todo : handle(*S, What, Time.now()))
    std::visit([this](const auto &Each) { carryOut(Each); }, Todo);
}

void TrafficLoop::carryOut(const SendFrame &What) {
  const sockaddr_in To = toSocketAddress(What.To);
  const ssize_t Sent =
      sendto(Tunnel, What.Datagram.data(), What.Datagram.size(), 0,
             reinterpret_cast<const sockaddr *>(&To), sizeof(To));
  if (Sent < 0 && Failures.allow(Time.now()))
    logError("frame_not_sent", socketError("can't send to", What.To));
}

void TrafficLoop::carryOut(const SendUpstream &What) {
  const auto Found = Sockets.find(What.Flow);
  if (Found == Sockets.end())
    return;
  const ssize_t Sent =
      send(Found->second, What.Datagram.data(), What.Datagram.size(), 0);
  if (Sent >= 0)
    return;
  // A refusal tells about an earlier datagram, and this one was not sent.
  const bool Refused = errno == ECONNREFUSED;
  if (Failures.allow(Time.now()))
    logError("upstream_not_reached",
             socketError("can't send to", Where.Upstream));
  if (Refused)
    deliver(UpstreamRefused{What.Flow});
}

void TrafficLoop::carryOut(const OpenFlow &What) {
  const auto Port = bindFlow(What.Flow, 0);
  if (Port)
    return deliver(FlowBound{What.Flow, *Port});
  if (Failures.allow(Time.now()))
    logError("flow_not_opened", Port.error());
}

void TrafficLoop::carryOut(const CloseFlow &What) {
  const auto Found = Sockets.find(What.Flow);
  if (Found == Sockets.end())
    return;
  close(Found->second);
  Sockets.erase(Found);
}

void TrafficLoop::carryOut(const ReportUpstreamGone &) {
  logEvent(LogLevel::Error, "upstream_gone",
           {{"upstream", toString(Where.Upstream)}});
  Gone = true;
}

void TrafficLoop::carryOut(const ReportStopped &What) {
  logEvent(What.CutOff == 0 ? LogLevel::Info : LogLevel::Warning,
           "stop_complete",
           {{"cut_off", static_cast<std::uint64_t>(What.CutOff)}});
  std::vector<control::PromiseCount> Latest = promiseCounts(*S);
  {
    const std::lock_guard<std::mutex> Held(Lock);
    Counted = std::move(Latest);
  }
  Stopped = true;
}

void TrafficLoop::post(Event What) {
  {
    const std::lock_guard<std::mutex> Held(Lock);
    Posted.push_back(std::move(What));
  }
  wake();
}

void TrafficLoop::quit() {
  Quit = true;
  wake();
}

std::future<std::vector<Bytes>> TrafficLoop::handOver() {
  HandOverPromise Made;
  std::future<std::vector<Bytes>> Out = Made.get_future();
  {
    const std::lock_guard<std::mutex> Held(Lock);
    Successor = std::move(Made);
  }
  wake();
  return Out;
}

std::vector<control::PromiseCount> TrafficLoop::counts() const {
  const std::lock_guard<std::mutex> Held(Lock);
  return Counted;
}

void TrafficLoop::wake() {
  const std::uint64_t One = 1;
  // A full counter already wakes the loop.
  [[maybe_unused]] const ssize_t Written = write(Waker, &One, sizeof(One));
}

} // namespace jasminearch::agent
