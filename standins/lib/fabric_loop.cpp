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

/// Maximum time to wait for a datagram, so that a stop request is noticed.
constexpr Duration MaxPollTime = std::chrono::milliseconds{50};

/// Datagrams that are sent later than this count as late.
constexpr Duration LateThreshold = std::chrono::microseconds{100};

/// Indexes of the other sockets, counted from the end of the service sockets.
constexpr std::size_t ReturnOffset = 0;
constexpr std::size_t ControlOffset = 1;

/// Sockets are read only when poll reports them as ready. The timeout covers
/// datagrams that the kernel drops between the poll and the read.
constexpr std::chrono::milliseconds ReadTimeout{1};

Expected<UdpSocket> openSocket(const Endpoint &LocalAddress) {
  jasminearch::net::UdpOptions Options;
  Options.ReceiveTimeout = ReadTimeout;
  return jasminearch::net::bindUdp(LocalAddress, Options);
}

} // namespace

Expected<FabricLoop> FabricLoop::open(const FabricAddresses &Addresses,
                                      FabricState InitialState) {
  std::vector<Endpoint> LocalAddresses = Addresses.Services;
  LocalAddresses.push_back(Addresses.Return);
  LocalAddresses.push_back(Addresses.Control);
  FabricLoop Loop;
  Loop.State = std::move(InitialState);
  for (const Endpoint &LocalAddress : LocalAddresses) {
    auto Socket = openSocket(LocalAddress);
    if (!Socket)
      return tl::unexpected(Socket.error());
    Loop.Sockets.push_back(std::move(*Socket));
  }
  for (std::size_t I = 0; I < Addresses.Services.size(); ++I)
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
  // Delays must be precise to 100 us; the default timer slack of 50 us would
  // use up half of that.
  prctl(PR_SET_TIMERSLACK, 1UL, 0UL, 0UL, 0UL);
  std::vector<pollfd> PollEntries;
  for (const UdpSocket &Socket : Sockets)
    PollEntries.push_back({Socket.descriptor(), POLLIN, 0});
  while (!Stop) {
    wait(PollEntries);
    receiveReady(PollEntries);
    sendDue();
  }
}

bool FabricLoop::isLater(const QueuedDatagram &Left,
                         const QueuedDatagram &Right) {
  return std::tie(Left.Due, Left.SequenceNumber) >
         std::tie(Right.Due, Right.SequenceNumber);
}

void FabricLoop::wait(std::vector<pollfd> &PollEntries) const {
  Duration PollTime = MaxPollTime;
  if (!Queue.empty())
    PollTime = std::clamp(Queue.front().Due - Clock::now(), Duration::zero(),
                          PollTime);
  const auto WholeSeconds =
      std::chrono::duration_cast<std::chrono::seconds>(PollTime);
  const timespec Timeout{
      static_cast<time_t>(WholeSeconds.count()),
      static_cast<long>(
          std::chrono::nanoseconds(PollTime - WholeSeconds).count())};
  if (ppoll(PollEntries.data(), PollEntries.size(), &Timeout, nullptr) >= 0)
    return;
  for (pollfd &PollEntry : PollEntries)
    PollEntry.revents = 0;
}

void FabricLoop::receiveReady(const std::vector<pollfd> &PollEntries) {
  for (std::size_t I = 0; I < PollEntries.size(); ++I) {
    if ((PollEntries[I].revents & POLLIN) == 0)
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
  const std::size_t Count = Incoming.receive(Sockets[Service]);
  const TimePoint Now = Clock::now();
  for (std::size_t I = 0; I < Count; ++I) {
    std::uint8_t HeaderBytes[wire::ProxyHeaderBytes];
    wire::encodeProxyHeader({Incoming.from(I), Services[Service]}, HeaderBytes);
    enqueue(planToEntries(State, Now), Services.size() + ReturnOffset,
            HeaderBytes, Incoming.datagram(I));
  }
}

void FabricLoop::receiveFromEntries() {
  const std::size_t Count =
      Incoming.receive(Sockets[Services.size() + ReturnOffset]);
  const TimePoint Now = Clock::now();
  for (std::size_t I = 0; I < Count; ++I) {
    const auto View = wire::decodeProxyHeader(Incoming.datagram(I));
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
    enqueue(
        planToCaller(State, Incoming.from(I), View->Header.Destination, Now),
        static_cast<std::size_t>(Source - Services.begin()), {}, View->Payload);
  }
}

void FabricLoop::receiveCommand() {
  const UdpSocket &Control = Sockets[Services.size() + ControlOffset];
  const std::size_t Count = Incoming.receive(Control);
  for (std::size_t I = 0; I < Count; ++I) {
    const auto Command = Incoming.datagram(I);
    const std::string Reply =
        runFabricCommand(State, {reinterpret_cast<const char *>(Command.data()),
                                 Command.size()});
    std::copy(Reply.begin(), Reply.end(), Outgoing.next().begin());
    Outgoing.add(Reply.size(), Incoming.from(I));
    Outgoing.flush(Control);
  }
}

void FabricLoop::enqueue(const PlannedCopies &Plan, std::size_t Socket,
                         absl::Span<const std::uint8_t> HeaderBytes,
                         absl::Span<const std::uint8_t> Payload) {
  for (std::size_t I = 0; I < Plan.Count; ++I) {
    if (Queue.size() >= MaxQueuedDatagrams ||
        HeaderBytes.size() + Payload.size() > wire::MaxDatagramBytes) {
      ++State.Counts.Overflow;
      continue;
    }
    QueuedDatagram Copy{Plan.Copies[I].Due,
                        NextSequenceNumber++,
                        Socket,
                        Plan.Copies[I].To,
                        {}};
    if (!FreeBuffers.empty()) {
      Copy.Datagram = std::move(FreeBuffers.back());
      FreeBuffers.pop_back();
    }
    Copy.Datagram.assign(HeaderBytes.begin(), HeaderBytes.end());
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
    QueuedDatagram Copy = std::move(Queue.back());
    Queue.pop_back();
    if (Outgoing.full() || Copy.Socket != Socket)
      flush(Socket);
    Socket = Copy.Socket;
    recordLateness(Now - Copy.Due);
    std::copy(Copy.Datagram.begin(), Copy.Datagram.end(),
              Outgoing.next().begin());
    Outgoing.add(Copy.Datagram.size(), Copy.To);
    FreeBuffers.push_back(std::move(Copy.Datagram));
  }
  flush(Socket);
}

void FabricLoop::recordLateness(Duration Lateness) {
  const auto Microseconds =
      std::chrono::duration_cast<std::chrono::microseconds>(Lateness).count();
  State.Counts.SentLate += Lateness > LateThreshold ? 1 : 0;
  State.Counts.MaxLatenessMicroseconds =
      std::max(State.Counts.MaxLatenessMicroseconds,
               static_cast<std::uint64_t>(Microseconds));
}

void FabricLoop::flush(std::size_t Socket) {
  const std::size_t QueuedCount = Outgoing.size();
  if (QueuedCount == 0)
    return;
  const std::size_t SentCount = Outgoing.flush(Sockets[Socket]);
  State.Counts.SendFailed += QueuedCount - SentCount;
  const bool FromService = Socket < Services.size();
  (FromService ? State.Counts.ToCallers : State.Counts.ToEntries) += SentCount;
}

} // namespace standins
