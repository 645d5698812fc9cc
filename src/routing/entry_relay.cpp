#include "jasminearch/routing/entry_relay.h"
#include "jasminearch/wire/frame.h"
#include "jasminearch/wire/proxy_header.h"
#include <algorithm>

namespace jasminearch::routing {

namespace {

/// Writes a PROXY header and \p Payload to \p Out.
/// \returns the bytes written, or zero if a datagram can't hold them.
std::size_t encodeAnswer(const wire::ProxyHeader &Header,
                         absl::Span<const std::uint8_t> Payload,
                         absl::Span<std::uint8_t> Out) {
  const std::size_t Size = wire::ProxyHeaderBytes + Payload.size();
  if (Size > Out.size())
    return 0;
  std::uint8_t Head[wire::ProxyHeaderBytes];
  wire::encodeProxyHeader(Header, Head);
  const auto Behind = std::copy(std::begin(Head), std::end(Head), Out.begin());
  std::copy(Payload.begin(), Payload.end(), Behind);
  return Size;
}

} // namespace

EntryRelay::EntryRelay(const RoutingSlot &Routing, const net::UdpSocket &From,
                       const net::UdpSocket &To, Endpoint Return,
                       Endpoint Fabric, TraceSource Traces)
    : Routing(Routing), From(From), To(To), Return(Return), Fabric(Fabric),
      Traces(Traces) {}

std::size_t EntryRelay::forwardBatch() {
  const std::size_t Received = In.receive(From);
  if (Received == 0)
    return 0;
  const auto InForce = Routing.load();
  const std::scoped_lock Lock(CountsMutex);
  for (std::size_t I = 0; I < Received; ++I)
    forward(*InForce, In.datagram(I));
  send();
  return Received;
}

std::size_t EntryRelay::answerBatch() {
  const std::size_t Received = In.receive(From);
  if (Received == 0)
    return 0;
  const auto InForce = Routing.load();
  const std::scoped_lock Lock(CountsMutex);
  for (std::size_t I = 0; I < Received; ++I)
    answer(*InForce, In.datagram(I));
  send();
  return Received;
}

EntryCounts EntryRelay::counts() const {
  const std::scoped_lock Lock(CountsMutex);
  return Counts;
}

void EntryRelay::forward(const RoutingSnapshot &InForce,
                         absl::Span<const std::uint8_t> Datagram) {
  const auto View = wire::decodeProxyHeader(Datagram);
  if (!View) {
    ++Counts.BadHeader;
    return;
  }
  const ForwardDecision Decision =
      decideForward(InForce, View->Header, Return, nextTrace(Traces));
  count(Counts, Decision);
  if (Decision.Failure != ErrorCode{})
    return;
  const auto Size =
      wire::encodeFrame(Decision.Header, View->Payload, Out.next());
  if (Size)
    Out.add(*Size, Decision.Agent);
  else
    ++Counts.Oversize;
}

void EntryRelay::answer(const RoutingSnapshot &InForce,
                        absl::Span<const std::uint8_t> Datagram) {
  const auto View = wire::decodeFrame(Datagram);
  if (!View) {
    ++Counts.BadFrame;
    return;
  }
  const AnswerDecision Decision = decideAnswer(InForce, View->Header);
  count(Counts, Decision);
  if (Decision.Failure != ErrorCode{})
    return;
  const std::size_t Size =
      encodeAnswer(Decision.Header, View->Payload, Out.next());
  if (Size > 0)
    Out.add(Size, Fabric);
  else
    ++Counts.Oversize;
}

void EntryRelay::send() {
  const std::size_t Wanted = Out.size();
  Counts.SendFailed += Wanted - Out.flush(To);
}

} // namespace jasminearch::routing
