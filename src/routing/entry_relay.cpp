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

/// Asks for the time only when a line may follow, because this is called for
/// every datagram.
bool shouldLog(RelayLogOptions &Log, bool Passed) {
  if (Passed && !Log.Datagrams)
    return false;
  LogRateLimiter &Limiter = Passed ? Log.Passed : Log.Refused;
  return Limiter.allow(std::chrono::steady_clock::now());
}

} // namespace

EntryRelay::EntryRelay(const RoutingSnapshotHolder &Routing,
                       const net::UdpSocket &From, const net::UdpSocket &To,
                       Endpoint Return, Endpoint Fabric,
                       TraceIdGenerator Traces, RelayLogOptions Log)
    : Routing(Routing), From(From), To(To), Return(Return), Fabric(Fabric),
      Traces(Traces), Log(Log) {}

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
      decideForward(InForce, View->Header, Return, nextTraceId(Traces));
  count(Counts, Decision);
  logForward(Decision);
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
  logAnswer(View->Header, Decision);
  if (Decision.Failure != ErrorCode{})
    return;
  const std::size_t Size =
      encodeAnswer(Decision.Header, View->Payload, Out.next());
  if (Size > 0)
    Out.add(Size, Fabric);
  else
    ++Counts.Oversize;
}

void EntryRelay::logForward(const ForwardDecision &Decision) {
  const bool Passed = Decision.Failure == ErrorCode{};
  if (!shouldLog(Log, Passed))
    return;
  const wire::FrameHeader &Header = Decision.Header;
  logEvent(Passed ? LogLevel::Debug : LogLevel::Warning,
           Passed ? "datagram_forwarded" : "datagram_refused",
           {{"reason", std::string(Passed ? "" : name(Decision.Failure))},
            {"trace", Header.Trace.Number},
            {"service", std::uint64_t{Header.Service.Number}},
            {"upstream", std::uint64_t{Header.Upstream.Number}},
            {"caller", toString(Header.Caller)}});
}

void EntryRelay::logAnswer(const wire::FrameHeader &Frame,
                           const AnswerDecision &Decision) {
  const bool Passed = Decision.Failure == ErrorCode{};
  if (!shouldLog(Log, Passed))
    return;
  logEvent(Passed ? LogLevel::Debug : LogLevel::Warning,
           Passed ? "answer_returned" : "answer_refused",
           {{"reason", std::string(Passed ? "" : name(Decision.Failure))},
            {"trace", Frame.Trace.Number},
            {"service", std::uint64_t{Frame.Service.Number}},
            {"upstream", std::uint64_t{Frame.Upstream.Number}},
            {"caller", toString(Frame.Caller)}});
}

void EntryRelay::send() {
  const std::size_t Wanted = Out.size();
  Counts.SendFailed += Wanted - Out.flush(To);
}

} // namespace jasminearch::routing
