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

/// epoll tags of the descriptors that don't belong to a flow. The tag of a
/// flow's socket is its id; ids count up from 1 and never get this high.
constexpr std::uint64_t TunnelTag = UINT64_MAX;
constexpr std::uint64_t WakeTag = UINT64_MAX - 1;

constexpr int MaxEventsPerPoll = 256;
/// Maximum number of datagrams read from one socket before the next one is
/// served.
constexpr int MaxDatagramsPerRead = 64;
constexpr int PollTimeoutMs = 10;
constexpr std::chrono::milliseconds TimerInterval{20};
constexpr std::chrono::seconds CountInterval{1};
/// Receive buffer of the tunnel socket. The kernel drops frames of a burst that
/// exceed it.
constexpr int TunnelBufferBytes = 4 << 20;

sockaddr_in toSocketAddress(Endpoint Address) {
  sockaddr_in Out{};
  Out.sin_family = AF_INET;
  Out.sin_addr.s_addr = htonl(Address.Address);
  Out.sin_port = htons(Address.Port);
  return Out;
}

Endpoint fromSocketAddress(const sockaddr_in &Address) {
  return {ntohl(Address.sin_addr.s_addr), ntohs(Address.sin_port)};
}

Error socketError(const std::string &Operation, Endpoint Address) {
  return {ErrorCode::SocketFailed,
          Operation + " " + toString(Address) + ": " + std::strerror(errno)};
}

/// \returns a non-blocking datagram socket bound to \p LocalAddress.
Expected<int> makeBoundSocket(Endpoint LocalAddress) {
  const int Socket =
      socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (Socket < 0)
    return tl::unexpected<Error>(
        socketError("failed to create a socket for", LocalAddress));
  const sockaddr_in Address = toSocketAddress(LocalAddress);
  if (bind(Socket, reinterpret_cast<const sockaddr *>(&Address),
           sizeof(Address)) == 0)
    return Socket;
  const Error Failure = socketError("failed to bind", LocalAddress);
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
                         const TrafficEndpoints &Endpoints, const Clock &Time)
    : AgentState(std::move(Initial)), Endpoints(Endpoints), Time(Time),
      Buffer(wire::MaxDatagramBytes) {}

TrafficLoop::~TrafficLoop() {
  closeSockets();
  for (const int Socket : {WakeFd, EpollFd})
    if (Socket >= 0)
      close(Socket);
}

Expected<void> TrafficLoop::open() {
  EpollFd = epoll_create1(EPOLL_CLOEXEC);
  WakeFd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
  const auto Bound = makeBoundSocket(Endpoints.Tunnel);
  if (!Bound)
    return tl::unexpected<Error>(Bound.error());
  TunnelSocket = *Bound;
  setsockopt(TunnelSocket, SOL_SOCKET, SO_RCVBUF, &TunnelBufferBytes,
             sizeof(TunnelBufferBytes));
  if (!watch(TunnelSocket, TunnelTag) || !watch(WakeFd, WakeTag))
    return tl::unexpected<Error>(
        socketError("epoll_ctl failed for", Endpoints.Tunnel));
  rebindFlows();
  return {};
}

void TrafficLoop::rebindFlows() {
  std::vector<FlowId> LostFlows;
  for (const auto &[Id, RestoredFlow] : AgentState->Flows.ById) {
    const auto Port = bindFlow(Id, RestoredFlow->LocalPort);
    if (Port) {
      RestoredFlow->LocalPort = *Port;
      continue;
    }
    logError("flow_port_lost", Port.error());
    LostFlows.push_back(Id);
  }
  // The upstream identifies these sessions by their ports, which are now used
  // by other sockets.
  for (const FlowId Id : LostFlows)
    dispatch(UpstreamRefused{Id});
}

Expected<std::uint16_t> TrafficLoop::bindFlow(FlowId Id, std::uint16_t Port) {
  const auto Socket = makeBoundSocket({Endpoints.Tunnel.Address, Port});
  if (!Socket)
    return tl::unexpected<Error>(Socket.error());
  const sockaddr_in Address = toSocketAddress(Endpoints.Upstream);
  if (connect(*Socket, reinterpret_cast<const sockaddr *>(&Address),
              sizeof(Address)) != 0 ||
      !watch(*Socket, Id.Number)) {
    const Error Failure =
        socketError("failed to connect to", Endpoints.Upstream);
    close(*Socket);
    return tl::unexpected<Error>(Failure);
  }
  Sockets[Id] = *Socket;
  return localPort(*Socket);
}

bool TrafficLoop::watch(int Socket, std::uint64_t Tag) {
  epoll_event Wanted{};
  Wanted.events = EPOLLIN;
  Wanted.data.u64 = Tag;
  return epoll_ctl(EpollFd, EPOLL_CTL_ADD, Socket, &Wanted) == 0;
}

void TrafficLoop::closeSockets() {
  for (const auto &[Id, Socket] : Sockets)
    close(Socket);
  Sockets.clear();
  if (TunnelSocket >= 0)
    close(TunnelSocket);
  TunnelSocket = -1;
}

void TrafficLoop::run() {
  while (!QuitRequested)
    pollOnce();
}

void TrafficLoop::pollOnce() {
  std::array<epoll_event, MaxEventsPerPoll> Ready{};
  const int Count =
      epoll_wait(EpollFd, Ready.data(), MaxEventsPerPoll, PollTimeoutMs);
  for (int Index = 0; Index < Count; ++Index) {
    const std::uint64_t Tag = Ready[static_cast<std::size_t>(Index)].data.u64;
    if (Tag == TunnelTag) {
      readTunnel();
      continue;
    }
    if (Tag == WakeTag)
      continue;
    // An earlier event of this iteration may have closed the flow.
    const auto Found = Sockets.find(FlowId{Tag});
    if (Found != Sockets.end())
      readFlow(Found->second, FlowId{Tag});
  }
  processPostedEvents();
  runTimers();
}

void TrafficLoop::readTunnel() {
  for (int DatagramsLeft = MaxDatagramsPerRead; DatagramsLeft > 0;
       --DatagramsLeft) {
    sockaddr_in From{};
    socklen_t FromSize = sizeof(From);
    const ssize_t Size =
        recvfrom(TunnelSocket, Buffer.data(), Buffer.size(), 0,
                 reinterpret_cast<sockaddr *>(&From), &FromSize);
    if (Size < 0 && errno == ECONNREFUSED)
      continue;
    if (Size < 0)
      return;
    dispatch(FrameReceived{fromSocketAddress(From),
                           {Buffer.data(), static_cast<std::size_t>(Size)}});
  }
}

void TrafficLoop::readFlow(int Socket, FlowId Id) {
  for (int DatagramsLeft = MaxDatagramsPerRead; DatagramsLeft > 0;
       --DatagramsLeft) {
    const ssize_t Size = recv(Socket, Buffer.data(), Buffer.size(), 0);
    if (Size < 0 && errno == ECONNREFUSED)
      dispatch(UpstreamRefused{Id});
    if (Size < 0)
      return;
    dispatch(
        UpstreamReceived{Id, {Buffer.data(), static_cast<std::size_t>(Size)}});
    if (!Sockets.contains(Id))
      return;
  }
}

void TrafficLoop::processPostedEvents() {
  std::uint64_t Ignored = 0;
  while (read(WakeFd, &Ignored, sizeof(Ignored)) > 0) {
  }
  std::vector<Event> PendingEvents;
  std::optional<HandOverPromise> Result;
  {
    const std::lock_guard<std::mutex> Guard(Mutex);
    PendingEvents.swap(PostedEvents);
    Result.swap(HandoverResult);
  }
  for (const Event &Input : PendingEvents)
    dispatch(Input);
  if (!Result)
    return;
  std::vector<Bytes> Parts = encodeHandover(*AgentState, Time.now());
  // The successor binds the same ports, so the sockets must be closed before it
  // receives the parts.
  closeSockets();
  QuitRequested = true;
  Result->set_value(std::move(Parts));
}

void TrafficLoop::runTimers() {
  const TimePoint Now = Time.now();
  if (Now < NextTimer || QuitRequested)
    return;
  NextTimer = Now + TimerInterval;
  dispatch(TimerFired{});
  if (Now < NextCounts)
    return;
  NextCounts = Now + CountInterval;
  std::vector<control::PromiseCount> Latest = promiseCounts(*AgentState);
  const std::lock_guard<std::mutex> Guard(Mutex);
  LatestCounts = std::move(Latest);
}

void TrafficLoop::dispatch(const Event &Input) {
  for (const Effect &NextEffect : handle(*AgentState, Input, Time.now()))
    std::visit([this](const auto &Action) { carryOut(Action); }, NextEffect);
}

void TrafficLoop::carryOut(const SendFrame &Action) {
  const sockaddr_in To = toSocketAddress(Action.To);
  const ssize_t Sent =
      sendto(TunnelSocket, Action.Datagram.data(), Action.Datagram.size(), 0,
             reinterpret_cast<const sockaddr *>(&To), sizeof(To));
  if (Sent < 0 && ErrorLogLimiter.allow(Time.now()))
    logError("frame_not_sent",
             socketError("failed to send a datagram to", Action.To));
}

void TrafficLoop::carryOut(const SendUpstream &Action) {
  const auto Found = Sockets.find(Action.Flow);
  if (Found == Sockets.end())
    return;
  const ssize_t Sent =
      send(Found->second, Action.Datagram.data(), Action.Datagram.size(), 0);
  if (Sent >= 0)
    return;
  // ECONNREFUSED reports that an earlier datagram was refused; this one wasn't
  // sent.
  const bool Refused = errno == ECONNREFUSED;
  if (ErrorLogLimiter.allow(Time.now()))
    logError("upstream_not_reached",
             socketError("failed to send a datagram to", Endpoints.Upstream));
  if (Refused)
    dispatch(UpstreamRefused{Action.Flow});
}

void TrafficLoop::carryOut(const OpenFlow &Action) {
  const auto Port = bindFlow(Action.Flow, 0);
  if (Port)
    return dispatch(FlowBound{Action.Flow, *Port});
  if (ErrorLogLimiter.allow(Time.now()))
    logError("flow_not_opened", Port.error());
}

void TrafficLoop::carryOut(const CloseFlow &Action) {
  const auto Found = Sockets.find(Action.Flow);
  if (Found == Sockets.end())
    return;
  close(Found->second);
  Sockets.erase(Found);
}

void TrafficLoop::carryOut(const ReportUpstreamGone &) {
  logEvent(LogLevel::Error, "upstream_gone",
           {{"upstream", toString(Endpoints.Upstream)}});
  UpstreamIsGone = true;
}

void TrafficLoop::carryOut(const ReportStopped &Action) {
  logEvent(Action.CutOff == 0 ? LogLevel::Info : LogLevel::Warning,
           "stop_complete",
           {{"cut_off", static_cast<std::uint64_t>(Action.CutOff)}});
  std::vector<control::PromiseCount> Latest = promiseCounts(*AgentState);
  {
    const std::lock_guard<std::mutex> Guard(Mutex);
    LatestCounts = std::move(Latest);
  }
  Stopped = true;
}

void TrafficLoop::post(Event Input) {
  {
    const std::lock_guard<std::mutex> Guard(Mutex);
    PostedEvents.push_back(std::move(Input));
  }
  wake();
}

void TrafficLoop::quit() {
  QuitRequested = true;
  wake();
}

std::future<std::vector<Bytes>> TrafficLoop::handOver() {
  HandOverPromise Promise;
  std::future<std::vector<Bytes>> Out = Promise.get_future();
  {
    const std::lock_guard<std::mutex> Guard(Mutex);
    HandoverResult = std::move(Promise);
  }
  wake();
  return Out;
}

std::vector<control::PromiseCount> TrafficLoop::counts() const {
  const std::lock_guard<std::mutex> Guard(Mutex);
  return LatestCounts;
}

void TrafficLoop::wake() {
  const std::uint64_t One = 1;
  // The write fails only if the counter is full, and then the loop wakes up
  // anyway.
  [[maybe_unused]] const ssize_t Written = write(WakeFd, &One, sizeof(One));
}

} // namespace jasminearch::agent
