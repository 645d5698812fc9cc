#include "step.h"
#include <algorithm>
#include <array>
#include <set>

namespace jasminearch::agent {

namespace {

using control::Promise;
using wire::CoapType;
using wire::FrameKind;

constexpr unsigned OctetBits = 8;
using HashBytes = std::array<std::uint8_t, sizeof(std::uint64_t)>;

HashBytes encodeHash(std::uint64_t Hash) {
  HashBytes Out{};
  for (std::size_t At = 0; At < Out.size(); ++At)
    Out[At] = static_cast<std::uint8_t>(Hash >> (At * OctetBits));
  return Out;
}

std::optional<std::uint64_t> decodeHash(absl::Span<const std::uint8_t> Read) {
  if (Read.size() != sizeof(std::uint64_t))
    return std::nullopt;
  std::uint64_t Out = 0;
  for (std::size_t At = 0; At < Read.size(); ++At)
    Out |= std::uint64_t{Read[At]} << (At * OctetBits);
  return Out;
}

bool isBlock(const wire::CoapMessage &Message) {
  const auto Block2 = blockOption(Message, wire::option::Block2);
  return isUploadBlock(Message) || (Block2 && Block2->Number > 0);
}

RequestRecord *uploadOf(Step &In, const Arrival &What) {
  const bool Permitted = What.Message.Code == wire::code::Post ||
                         What.Message.Code == wire::code::Patch;
  if (!Permitted || !isUploadBlock(What.Message))
    return nullptr;
  return findUpload(In.S.Records, What.Header.Caller,
                    operationKey(What.Message));
}

bool isPermittedUpload(const wire::CoapMessage &Message) {
  return isUploadBlock(Message) && (Message.Code == wire::code::Post ||
                                    Message.Code == wire::code::Patch);
}

/// Whether the upstream behind this agent began what \p What continues.
bool holds(Step &In, const Arrival &What) {
  if (uploadOf(In, What) != nullptr)
    return true;
  Flow *Known = findFlow(In.S.Flows, What.Header.Caller);
  if (isPermittedUpload(What.Message))
    return false;
  if (What.Owned)
    return true;
  if (Known == nullptr)
    return false;
  if (What.Message.isEmpty())
    return upstreamMessageId(*Known, What.Message.MessageId).has_value();
  if (isBlock(What.Message))
    return knowsTransfer(*Known, operationKey(What.Message));
  return findLine(*Known, What.Message.RequestToken) != nullptr;
}

void endLineByReset(Step &In, Flow &Of, std::uint16_t MessageId) {
  const auto Ended =
      std::find_if(Of.Lines.begin(), Of.Lines.end(),
                   [&](const Line &L) { return L.LastMessageId == MessageId; });
  if (Ended != Of.Lines.end())
    removeLine(In.S.Flows, Of, wire::Token(Ended->RequestToken));
}

void deliverHeld(Step &In, Arrival &What) {
  if (RequestRecord *Upload = uploadOf(In, What))
    return deliverUploadBlock(In, What, *Upload);
  if (!What.Message.isEmpty())
    return deliverContinuing(In, What);
  Flow *To = flowFor(In, What);
  const std::uint16_t MessageId = upstreamMessageId(*To, What.Message.MessageId)
                                      .value_or(What.Message.MessageId);
  In.Out.push_back(
      SendUpstream{To->Id, buildEmptyMessage(What.Message.Type, MessageId)});
  if (What.Message.Type == CoapType::Reset)
    endLineByReset(In, *To, MessageId);
}

void sendHeld(Step &In, const Arrival &What) {
  wire::FrameHeader Header;
  Header.Kind = FrameKind::Held;
  Header.Service = In.S.Service;
  Header.InForce = In.S.Config->InForce;
  Header.Upstream = In.S.Self;
  Header.Instance = In.S.Instance;
  Header.Caller = What.Header.Caller;
  Header.Trace = What.Header.Trace;
  sendFrame(In, What.From, Header,
            encodeHash(wire::datagramHash(What.Header.Caller, What.Datagram)));
}

/// Nobody claimed the flow.
void answerNotHeld(Step &In, Arrival &What) {
  const bool HaveFlow = findFlow(In.S.Flows, What.Header.Caller) != nullptr;
  const bool UploadBlock = isUploadBlock(What.Message);
  if (HaveFlow && !What.Message.isEmpty() && !UploadBlock)
    // A random access to a block, or a cancellation of a line that the upstream
    // has ended: the upstream answers for itself.
    return deliverContinuing(In, What);
  if (isBlock(What.Message)) {
    count(In, Promise::WholeAnswers, Verdict::Broken,
          "block of a transfer that no agent holds, from " +
              toString(What.Header.Caller));
    return sendToCaller(In, What.Header,
                        buildEntityIncomplete(What.Message, nextMessageId(In)));
  }
  drop(In, DropReason::UnknownFlow);
  if (!What.Message.isEmpty())
    return count(In, Promise::LinesSurvive, Verdict::Broken,
                 "cancellation of a line that no agent holds, from " +
                     toString(What.Header.Caller));
  if (!HaveFlow)
    // May be a line that ended with its agent, or a late copy.
    count(In, Promise::LinesSurvive, Verdict::Unknown,
          "acknowledgement or reset of a flow that no agent holds, from " +
              toString(What.Header.Caller));
}

void addCandidate(Step &In, UpstreamId Id,
                  std::vector<const control::Upstream *> &Out) {
  const control::Upstream *Live = liveUpstream(In.S, Id);
  if (Live != nullptr && std::find(Out.begin(), Out.end(), Live) == Out.end())
    Out.push_back(Live);
}

/// Remembered holders first, then the earlier owners that the frame names.
std::vector<const control::Upstream *>
candidatesFor(Step &In, const wire::FrameHeader &Of) {
  std::vector<const control::Upstream *> Out;
  if (const Route *Known = In.S.Routes.find(Of.Caller, In.Now))
    for (const UpstreamId Id : Known->Holders)
      addCandidate(In, Id, Out);
  for (std::size_t At = 0; At < Of.CandidateCount; ++At)
    addCandidate(In, Of.Candidates[At], Out);
  return Out;
}

/// Upstreams of the service that are neither lost nor in \p Asked. Draining
/// ones may hold flows and are asked too.
std::vector<const control::Upstream *>
othersThan(Step &In, const std::vector<const control::Upstream *> &Asked) {
  std::vector<const control::Upstream *> Out;
  for (const auto &[Id, Other] : In.S.Config->Upstreams)
    if (Out.size() < MaxProbedSiblings && liveUpstream(In.S, Id) != nullptr &&
        std::find(Asked.begin(), Asked.end(), &Other) == Asked.end())
      Out.push_back(&Other);
  return Out;
}

void probe(Step &In, const Arrival &What,
           const std::vector<const control::Upstream *> &Asked) {
  for (const control::Upstream *To : Asked)
    passOn(In, What, *To, To->Instance, FrameKind::Probe);
}

bool takeAllowance(Step &In) {
  State &S = In.S;
  const std::chrono::duration<double> Since = In.Now - S.ProbeRefilledAt;
  S.ProbeRefilledAt = In.Now;
  S.ProbeAllowance = std::min<double>(
      ProbesPerSecond, S.ProbeAllowance + Since.count() * ProbesPerSecond);
  if (S.ProbeAllowance < 1.0)
    return false;
  S.ProbeAllowance -= 1.0;
  return true;
}

void startProbe(Step &In, Arrival &What,
                std::vector<const control::Upstream *> Asked) {
  const std::uint64_t Hash =
      wire::datagramHash(What.Header.Caller, What.Datagram);
  if (In.S.Probes.contains(Hash))
    return drop(In, DropReason::Duplicate);
  const bool NoCandidates = Asked.empty();
  if (NoCandidates)
    Asked = othersThan(In, {});
  if (Asked.empty())
    return answerNotHeld(In, What);
  if (In.S.Probes.size() >= MaxPendingProbes || !takeAllowance(In))
    return drop(In, DropReason::RateLimited);
  PendingProbe Pending;
  Pending.Header = What.Header;
  Pending.Datagram.assign(What.Datagram.begin(), What.Datagram.end());
  Pending.Due = In.Now + ProbeWait;
  Pending.AskedSiblings = NoCandidates;
  In.S.Probes.emplace(Hash, std::move(Pending));
  probe(In, What, Asked);
}

/// \returns the holder of the operation that \p What continues, if this agent
/// relayed its beginning.
const control::Upstream *operationHolder(Step &In, const Arrival &What) {
  const Route *Known = In.S.Routes.find(What.Header.Caller, In.Now);
  if (Known == nullptr || What.Message.isEmpty())
    return nullptr;
  const std::uint64_t Key = operationKey(What.Message);
  for (const auto &[Operation, Holder] : Known->Operations)
    if (Operation == Key)
      return liveUpstream(In.S, Holder);
  return nullptr;
}

/// A probe for a flow that this agent doesn't hold: it knows another holder, or
/// stays silent.
void forwardProbe(Step &In, const Arrival &What) {
  const Route *Known = In.S.Routes.find(What.Header.Caller, In.Now);
  if (Known == nullptr || Known->Holders.empty())
    return drop(In, DropReason::UnknownFlow);
  if (const control::Upstream *To = liveUpstream(In.S, Known->Holders.front()))
    passOn(In, What, *To, To->Instance, FrameKind::Probe);
}

void lookUpHolder(Step &In, Arrival &What) {
  if (const control::Upstream *Holder = operationHolder(In, What))
    return passOn(In, What, *Holder, Holder->Instance, FrameKind::Relay);
  auto Candidates = candidatesFor(In, What.Header);
  const bool HaveFlow = findFlow(In.S.Flows, What.Header.Caller) != nullptr;
  if (HaveFlow && Candidates.empty())
    return answerNotHeld(In, What);
  startProbe(In, What, std::move(Candidates));
}

/// Asks the siblings, or gives up. \returns whether the probe is over.
bool continueProbe(Step &In, PendingProbe &Pending) {
  auto Message = wire::parseCoap(Pending.Datagram);
  if (!Message)
    return true;
  Arrival What{Pending.Header, {}, Pending.Datagram, std::move(*Message)};
  if (!Pending.AskedSiblings) {
    const auto Others = othersThan(In, candidatesFor(In, Pending.Header));
    Pending.AskedSiblings = true;
    Pending.Due = In.Now + ProbeWait;
    if (!Others.empty()) {
      probe(In, What, Others);
      return false;
    }
  }
  answerNotHeld(In, What);
  return true;
}

} // namespace

void deliverContinuing(Step &In, Arrival &What) {
  Flow *To = flowFor(In, What);
  if (To == nullptr)
    return drop(In, DropReason::RateLimited);
  const Exchange *Same = findExchange(*To, What.Message.RequestToken);
  if (Same == nullptr && To->Exchanges.size() < MaxExchangesPerFlow)
    addExchange(In.S.Flows, *To, exchangeFor(In, What));
  else if (Same == nullptr || Same->Cancelled ||
           Same->MessageId != What.Message.MessageId)
    return drop(In, DropReason::Duplicate);
  deliver(In, *To, What, false);
}

void handleMidFlow(Step &In, Arrival &What) {
  if (holds(In, What)) {
    if (What.Header.Kind == FrameKind::Probe)
      sendHeld(In, What);
    return deliverHeld(In, What);
  }
  switch (What.Header.Kind) {
  case FrameKind::Probe:
    return forwardProbe(In, What);
  case FrameKind::Relay:
    return answerNotHeld(In, What);
  default:
    return lookUpHolder(In, What);
  }
}

void handleHeld(Step &In, const wire::FrameView &Frame) {
  const auto Hash = decodeHash(Frame.Payload);
  if (!Hash)
    return drop(In, DropReason::MalformedFrame);
  const auto Found = In.S.Probes.find(*Hash);
  if (Found == In.S.Probes.end() ||
      Found->second.Header.Caller != Frame.Header.Caller)
    return drop(In, DropReason::Duplicate);
  const auto Message = wire::parseCoap(Found->second.Datagram);
  std::optional<std::uint64_t> Key;
  if (Message && Message->isRequest())
    Key = operationKey(*Message);
  rememberRoute(In, Frame.Header.Caller, Frame.Header.Upstream, Key);
  count(In, Promise::LinesSurvive, Verdict::Held);
  In.S.Probes.erase(Found);
}

void runProbeTimers(Step &In) {
  auto &Probes = In.S.Probes;
  for (auto At = Probes.begin(); At != Probes.end();) {
    const bool Over = At->second.Due <= In.Now && continueProbe(In, At->second);
    At = Over ? Probes.erase(At) : std::next(At);
  }
}

} // namespace jasminearch::agent
