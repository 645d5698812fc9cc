#include "standins/lib/fabric_loop.h"
#include "jasminearch/wire/proxy_header.h"
#include <algorithm>
#include <sys/prctl.h>
#include <utility>

namespace standins {

namespace {

using jasminearch::Duration;
using jasminearch::Endpoint;
using jasminearch::Expected;
using jasminearch::TimePoint;
using jasminearch::net::UdpSocket;
namespace wire = jasminearch::wire;

using Clock = std::chrono::steady_clock;

/// Longest wait for a datagram, so that a stop is noticed.
constexpr Duration LongestWait = std::chrono::milliseconds{50};

/// Datagrams that are later than this count as late.
constexpr Duration LateLimit = std::chrono::microseconds{100};

/// Sockets behind those of the services.
constexpr std::size_t ReturnOffset = 0;
constexpr std::size_t ControlOffset = 1;

/// Sockets are read only when they are ready; the timeout covers datagrams that
/// the system drops between the two.
constexpr std::chrono::milliseconds ReadTimeout{1};

Expected<UdpSocket> openSocket(const Endpoint &Local) {
  jasminearch::net::UdpOptions Options;
  Options.ReceiveTimeout = ReadTimeout;
  return jasminearch::net::bindUdp(Local, Options);
}

} // namespace

Expected<FabricLoop> FabricLoop::open(const FabricAddresses &Places,
                                      FabricState Start) {
  std::vector<Endpoint> Locals = Places.Services;
  Locals.push_back(Places.Return);
  Locals.push_back(Places.Control);
  FabricLoop Loop;
  Loop.State = std::move(Start);
  for (const Endpoint &Local : Locals) {
    auto Socket = openSocket(Local);
    if (!Socket)
      return tl::unexpected(Socket.error());
    Loop.Sockets.push_back(std::move(*Socket));
  }
  for (std::size_t I = 0; I < Places.Services.size(); ++I)
    Loop.Services.push_back(jasminearch::net::localEndpoint(Loop.Sockets[I]));
  return Loop;
}

FabricAddresses FabricLoop::addresses() const {
  FabricAddresses Result;
  Result.Services = Services;
  Result.Return =
      jasminearch::net::localEndpoint(Sockets[Services.size() + ReturnOffset]);
  Result.Control =
      jasminearch::net::localEndpoint(Sockets[Services.size() + ControlOffset]);
  return Result;
}

void FabricLoop::run(const std::atomic<bool> &Stop) {
  // The default slack of 50 us would be half of the precision asked for.
  prctl(PR_SET_TIMERSLACK, 1UL, 0UL, 0UL, 0UL);
  std::vector<pollfd> Polled;
  for (const UdpSocket &Socket : Sockets)
    Polled.push_back({Socket.descriptor(), POLLIN, 0});
  while (!Stop) {
    wait(Polled);
    receiveReady(Polled);
    sendDue();
  }
}

bool FabricLoop::isLater(const Waiting &Left, const Waiting &Right) {
  return std::tie(Left.Due, Left.Number) > std::tie(Right.Due, Right.Number);
}

void FabricLoop::wait(std::vector<pollfd> &Polled) const {
  Duration Span = LongestWait;
  if (!Queue.empty())
    Span = std::clamp(Queue.front().Due - Clock::now(), Duration::zero(), Span);
  const auto Seconds = std::chrono::duration_cast<std::chrono::seconds>(Span);
  const timespec Timeout{
      static_cast<time_t>(Seconds.count()),
      static_cast<long>(std::chrono::nanoseconds(Span - Seconds).count())};
  if (ppoll(Polled.data(), Polled.size(), &Timeout, nullptr) >= 0)
    return;
  for (pollfd &Entry : Polled)
    Entry.revents = 0;
}

void FabricLoop::receiveReady(const std::vector<pollfd> &Polled) {
  for (std::size_t I = 0; I < Polled.size(); ++I) {
    if ((Polled[I].revents & POLLIN) == 0)
      continue;
    if (I < Services.size())
      receiveFromCallers(I);
    else if (I == Services.size() + ReturnOffset)
      receiveFromEntries();
    else
      receiveCommand();
  }
}

void FabricLoop::receiveFromCallers(std::size_t Service) {
  const std::size_t Count = In.receive(Sockets[Service]);
  const TimePoint Now = Clock::now();
  for (std::size_t I = 0; I < Count; ++I) {
    std::uint8_t Head[wire::ProxyHeaderBytes];
    wire::encodeProxyHeader({In.from(I), Services[Service]}, Head);
    enqueue(planToEntries(State, Now), Services.size() + ReturnOffset, Head,
            In.datagram(I));
  }
}

void FabricLoop::receiveFromEntries() {
  const std::size_t Count = In.receive(Sockets[Services.size() + ReturnOffset]);
  const TimePoint Now = Clock::now();
  for (std::size_t I = 0; I < Count; ++I) {
    const auto View = wire::decodeProxyHeader(In.datagram(I));
    if (!View) {
      ++State.Counts.BadHeader;
      continue;
    }
    const auto Source =
        std::find(Services.begin(), Services.end(), View->Header.Source);
    if (Source == Services.end()) {
      ++State.Counts.UnknownSource;
      continue;
    }
    enqueue(planToCaller(State, In.from(I), View->Header.Destination, Now),
            static_cast<std::size_t>(Source - Services.begin()), {},
            View->Payload);
  }
}

void FabricLoop::receiveCommand() {
  const UdpSocket &Control = Sockets[Services.size() + ControlOffset];
  const std::size_t Count = In.receive(Control);
  for (std::size_t I = 0; I < Count; ++I) {
    const auto Command = In.datagram(I);
    const std::string Reply =
        runFabricCommand(State, {reinterpret_cast<const char *>(Command.data()),
                                 Command.size()});
    std::copy(Reply.begin(), Reply.end(), Out.next().begin());
    Out.add(Reply.size(), In.from(I));
    Out.flush(Control);
  }
}

void FabricLoop::enqueue(const PlannedCopies &Plan, std::size_t Socket,
                         absl::Span<const std::uint8_t> Head,
                         absl::Span<const std::uint8_t> Payload) {
  for (std::size_t I = 0; I < Plan.Count; ++I) {
    if (Queue.size() >= MaxWaiting ||
        Head.size() + Payload.size() > wire::MaxDatagramBytes) {
      ++State.Counts.Overflow;
      continue;
    }
    Waiting Copy{
        Plan.Copies[I].Due, NextNumber++, Socket, Plan.Copies[I].To, {}};
    if (!FreeBuffers.empty()) {
      Copy.Datagram = std::move(FreeBuffers.back());
      FreeBuffers.pop_back();
    }
    Copy.Datagram.assign(Head.begin(), Head.end());
    Copy.Datagram.insert(Copy.Datagram.end(), Payload.begin(), Payload.end());
    Queue.push_back(std::move(Copy));
    std::push_heap(Queue.begin(), Queue.end(), isLater);
  }
}

void FabricLoop::sendDue() {
  std::size_t Socket = 0;
  const TimePoint Now = Clock::now();
  while (!Queue.empty() && Queue.front().Due <= Now) {
    std::pop_heap(Queue.begin(), Queue.end(), isLater);
    Waiting Copy = std::move(Queue.back());
    Queue.pop_back();
    if (Out.full() || Copy.Socket != Socket)
      flush(Socket);
    Socket = Copy.Socket;
    noteLateness(Now - Copy.Due);
    std::copy(Copy.Datagram.begin(), Copy.Datagram.end(), Out.next().begin());
    Out.add(Copy.Datagram.size(), Copy.To);
    FreeBuffers.push_back(std::move(Copy.Datagram));
  }
  flush(Socket);
}

void FabricLoop::noteLateness(Duration Late) {
  const auto Whole =
      std::chrono::duration_cast<std::chrono::microseconds>(Late).count();
  State.Counts.Late += Late > LateLimit ? 1 : 0;
  State.Counts.LatestMicroseconds = std::max(State.Counts.LatestMicroseconds,
                                             static_cast<std::uint64_t>(Whole));
}

void FabricLoop::flush(std::size_t Socket) {
  const std::size_t Wanted = Out.size();
  if (Wanted == 0)
    return;
  const std::size_t Sent = Out.flush(Sockets[Socket]);
  State.Counts.SendFailed += Wanted - Sent;
  const bool FromService = Socket < Services.size();
  (FromService ? State.Counts.ToCallers : State.Counts.ToEntries) += Sent;
}

} // namespace standins
