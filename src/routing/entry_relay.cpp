#include "jasminearch/routing/entry_relay.h"
#include "jasminearch/wire/frame.h"
#include "jasminearch/wire/proxy_header.h"
#include <algorithm>

namespace jasminearch::routing {

namespace {

/// Writes a PROXY header and \p Payload to \p Buffer.
/// \returns the number of bytes written, or zero if \p Buffer is too small.
std::size_t encodeAnswer(const wire::ProxyHeader &Header,
                         absl::Span<const std::uint8_t> Payload,
                         absl::Span<std::uint8_t> Buffer) {
  const std::size_t Size = wire::ProxyHeaderBytes + Payload.size();
  if (Size > Buffer.size())
    return 0;
  std::uint8_t Head[wire::ProxyHeaderBytes];
  wire::encodeProxyHeader(Header, Head);
  const auto PayloadBegin =
      std::copy(std::begin(Head), std::end(Head), Buffer.begin());
  std::copy(Payload.begin(), Payload.end(), PayloadBegin);
  return Size;
}

/// \returns whether to log a datagram. Called for every datagram, so it reads
/// the clock only if the event may be logged.
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
                       TraceIdGenerator TraceIds, RelayLogOptions Log)
    : Routing(Routing), From(From), To(To), Return(Return), Fabric(Fabric),
      TraceIds(TraceIds), Log(Log) {}

std::size_t EntryRelay::forwardBatch() {
  const std::size_t Count = Received.receive(From);
  if (Count == 0)
    return 0;
  const auto InForce = Routing.load();
  const std::scoped_lock Lock(CountsMutex);
  for (std::size_t I = 0; I < Count; ++I)
    forward(*InForce, Received.datagram(I));
  send();
  return Count;
}

std::size_t EntryRelay::answerBatch() {
  const std::size_t Count = Received.receive(From);
  if (Count == 0)
    return 0;
  const auto InForce = Routing.load();
  const std::scoped_lock Lock(CountsMutex);
  for (std::size_t I = 0; I < Count; ++I)
    answer(*InForce, Received.datagram(I));
  send();
  return Count;
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
      decideForward(InForce, View->Header, Return, nextTraceId(TraceIds));
  count(Counts, Decision);
  logForward(Decision);
  if (Decision.Failure != ErrorCode{})
    return;
  const auto Size =
      wire::encodeFrame(Decision.Header, View->Payload, ToSend.next());
  if (Size)
    ToSend.add(*Size, Decision.Agent);
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
      encodeAnswer(Decision.Header, View->Payload, ToSend.next());
  if (Size > 0)
    ToSend.add(Size, Fabric);
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
  const std::size_t QueuedCount = ToSend.size();
  Counts.SendFailed += QueuedCount - ToSend.flush(To);
}

} // namespace jasminearch::routing
