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
  for (std::size_t Index = 0; Index < Out.size(); ++Index)
    Out[Index] = static_cast<std::uint8_t>(Hash >> (Index * OctetBits));
  return Out;
}

std::optional<std::uint64_t> decodeHash(absl::Span<const std::uint8_t> Read) {
  if (Read.size() != sizeof(std::uint64_t))
    return std::nullopt;
  std::uint64_t Out = 0;
  for (std::size_t Index = 0; Index < Read.size(); ++Index)
    Out |= std::uint64_t{Read[Index]} << (Index * OctetBits);
  return Out;
}

bool isLaterBlock(const wire::CoapMessage &Message) {
  const auto Block2 = blockOption(Message, wire::option::Block2);
  return isUploadBlock(Message) || (Block2 && Block2->Number > 0);
}

RequestRecord *findPermittedUpload(HandlerContext &Context,
                                   const CallerDatagram &Incoming) {
  const bool Permitted = Incoming.Message.Code == wire::code::Post ||
                         Incoming.Message.Code == wire::code::Patch;
  if (!Permitted || !isUploadBlock(Incoming.Message))
    return nullptr;
  return findUpload(Context.AgentState.Records, Incoming.Header.Caller,
                    operationKey(Incoming.Message));
}

bool isPermittedUpload(const wire::CoapMessage &Message) {
  return isUploadBlock(Message) && (Message.Code == wire::code::Post ||
                                    Message.Code == wire::code::Patch);
}

/// \returns whether \p Incoming continues a flow, transfer or upload of this
/// agent's upstream.
bool isHolder(HandlerContext &Context, const CallerDatagram &Incoming) {
  if (findPermittedUpload(Context, Incoming) != nullptr)
    return true;
  Flow *Known = findFlow(Context.AgentState.Flows, Incoming.Header.Caller);
  if (isPermittedUpload(Incoming.Message))
    return false;
  if (Incoming.HasOwnPath)
    return true;
  if (Known == nullptr)
    return false;
  if (Incoming.Message.isEmpty())
    return upstreamMessageId(*Known, Incoming.Message.MessageId).has_value();
  if (isLaterBlock(Incoming.Message))
    return hasTransfer(*Known, operationKey(Incoming.Message));
  return findLine(*Known, Incoming.Message.RequestToken) != nullptr;
}

void endLineByReset(HandlerContext &Context, Flow &CallerFlow,
                    std::uint16_t MessageId) {
  const auto Ended =
      std::find_if(CallerFlow.Lines.begin(), CallerFlow.Lines.end(),
                   [&](const Line &L) { return L.LastMessageId == MessageId; });
  if (Ended != CallerFlow.Lines.end())
    removeLine(Context.AgentState.Flows, CallerFlow,
               wire::Token(Ended->RequestToken));
}

void deliverContinuation(HandlerContext &Context, CallerDatagram &Incoming) {
  if (RequestRecord *Upload = findPermittedUpload(Context, Incoming))
    return deliverUploadBlock(Context, Incoming, *Upload);
  if (!Incoming.Message.isEmpty())
    return deliverContinuingRequest(Context, Incoming);
  Flow *To = findOrOpenFlow(Context, Incoming);
  const std::uint16_t MessageId =
      upstreamMessageId(*To, Incoming.Message.MessageId)
          .value_or(Incoming.Message.MessageId);
  Context.PendingEffects.push_back(SendUpstream{
      To->Id, buildEmptyMessage(Incoming.Message.Type, MessageId)});
  if (Incoming.Message.Type == CoapType::Reset)
    endLineByReset(Context, *To, MessageId);
}

void sendHeldFrame(HandlerContext &Context, const CallerDatagram &Incoming) {
  wire::FrameHeader Header;
  Header.Kind = FrameKind::Held;
  Header.Service = Context.AgentState.Service;
  Header.InForce = Context.AgentState.Config->InForce;
  Header.Upstream = Context.AgentState.Self;
  Header.Instance = Context.AgentState.Instance;
  Header.Caller = Incoming.Header.Caller;
  Header.Trace = Incoming.Header.Trace;
  sendFrame(Context, Incoming.From, Header,
            encodeHash(
                wire::datagramHash(Incoming.Header.Caller, Incoming.Datagram)));
}

/// Handles a datagram whose flow no agent has claimed.
void handleMissingHolder(HandlerContext &Context, CallerDatagram &Incoming) {
  const bool HaveFlow =
      findFlow(Context.AgentState.Flows, Incoming.Header.Caller) != nullptr;
  const bool UploadBlock = isUploadBlock(Incoming.Message);
  if (HaveFlow && !Incoming.Message.isEmpty() && !UploadBlock)
    // Random access to a block, or cancellation of a line that the upstream has
    // already ended. The upstream decides on the response.
    return deliverContinuingRequest(Context, Incoming);
  if (isLaterBlock(Incoming.Message)) {
    countPromise(
        Context, Promise::WholeAnswers, Verdict::Broken,
        "received a block of a transfer that no agent holds, from caller " +
            toString(Incoming.Header.Caller));
    return sendToCaller(
        Context, Incoming.Header,
        buildEntityIncomplete(Incoming.Message, nextMessageId(Context)));
  }
  countDrop(Context, DropReason::UnknownFlow);
  if (!Incoming.Message.isEmpty())
    return countPromise(
        Context, Promise::LinesSurvive, Verdict::Broken,
        "received a cancellation of a line that no agent holds, from caller " +
            toString(Incoming.Header.Caller));
  if (!HaveFlow)
    // Either a line that was lost with its agent, or a late copy.
    countPromise(Context, Promise::LinesSurvive, Verdict::Unknown,
                 "received an acknowledgement or reset for a flow that no "
                 "agent holds, from caller " +
                     toString(Incoming.Header.Caller));
}

void addCandidate(HandlerContext &Context, UpstreamId Id,
                  std::vector<const control::Upstream *> &Out) {
  const control::Upstream *Live = liveUpstream(Context.AgentState, Id);
  if (Live != nullptr && std::find(Out.begin(), Out.end(), Live) == Out.end())
    Out.push_back(Live);
}

/// \returns the upstreams to probe first: the holders in the caller's route,
/// then the earlier owners listed in the frame.
std::vector<const control::Upstream *>
listCandidates(HandlerContext &Context, const wire::FrameHeader &Header) {
  std::vector<const control::Upstream *> Out;
  if (const Route *Known =
          Context.AgentState.Routes.find(Header.Caller, Context.Now))
    for (const UpstreamId Id : Known->Holders)
      addCandidate(Context, Id, Out);
  for (std::size_t Index = 0; Index < Header.CandidateCount; ++Index)
    addCandidate(Context, Header.Candidates[Index], Out);
  return Out;
}

/// \returns upstreams of the service that are neither lost nor in \p Asked, at
/// most MaxProbedSiblings. Draining upstreams are included because they may
/// hold flows.
std::vector<const control::Upstream *>
listOtherUpstreams(HandlerContext &Context,
                   const std::vector<const control::Upstream *> &Asked) {
  std::vector<const control::Upstream *> Out;
  for (const auto &[Id, Other] : Context.AgentState.Config->Upstreams)
    if (Out.size() < MaxProbedSiblings &&
        liveUpstream(Context.AgentState, Id) != nullptr &&
        std::find(Asked.begin(), Asked.end(), &Other) == Asked.end())
      Out.push_back(&Other);
  return Out;
}

void sendProbes(HandlerContext &Context, const CallerDatagram &Incoming,
                const std::vector<const control::Upstream *> &Asked) {
  for (const control::Upstream *To : Asked)
    forwardToAgent(Context, Incoming, *To, To->Instance, FrameKind::Probe);
}

bool takeProbeToken(HandlerContext &Context) {
  State &AgentState = Context.AgentState;
  const std::chrono::duration<double> Since =
      Context.Now - AgentState.ProbeTokensUpdatedAt;
  AgentState.ProbeTokensUpdatedAt = Context.Now;
  AgentState.ProbeTokens =
      std::min<double>(ProbesPerSecond, AgentState.ProbeTokens +
                                            Since.count() * ProbesPerSecond);
  if (AgentState.ProbeTokens < 1.0)
    return false;
  AgentState.ProbeTokens -= 1.0;
  return true;
}

void startProbe(HandlerContext &Context, CallerDatagram &Incoming,
                std::vector<const control::Upstream *> Asked) {
  const std::uint64_t Hash =
      wire::datagramHash(Incoming.Header.Caller, Incoming.Datagram);
  if (Context.AgentState.Probes.contains(Hash))
    return countDrop(Context, DropReason::Duplicate);
  const bool NoCandidates = Asked.empty();
  if (NoCandidates)
    Asked = listOtherUpstreams(Context, {});
  if (Asked.empty())
    return handleMissingHolder(Context, Incoming);
  if (Context.AgentState.Probes.size() >= MaxPendingProbes ||
      !takeProbeToken(Context))
    return countDrop(Context, DropReason::RateLimited);
  PendingProbe Pending;
  Pending.Header = Incoming.Header;
  Pending.Datagram.assign(Incoming.Datagram.begin(), Incoming.Datagram.end());
  Pending.Timeout = Context.Now + ProbeTimeout;
  Pending.SiblingsAsked = NoCandidates;
  Context.AgentState.Probes.emplace(Hash, std::move(Pending));
  sendProbes(Context, Incoming, Asked);
}

/// \returns the holder of the operation that \p Incoming continues, if its
/// route is known; otherwise null.
const control::Upstream *operationHolder(HandlerContext &Context,
                                         const CallerDatagram &Incoming) {
  const Route *Known =
      Context.AgentState.Routes.find(Incoming.Header.Caller, Context.Now);
  if (Known == nullptr || Incoming.Message.isEmpty())
    return nullptr;
  const std::uint64_t Key = operationKey(Incoming.Message);
  for (const auto &[Operation, Holder] : Known->Operations)
    if (Operation == Key)
      return liveUpstream(Context.AgentState, Holder);
  return nullptr;
}

/// Handles a probe for a flow that this agent doesn't hold: forwards it to the
/// most recent holder known, or drops it.
void forwardProbe(HandlerContext &Context, const CallerDatagram &Incoming) {
  const Route *Known =
      Context.AgentState.Routes.find(Incoming.Header.Caller, Context.Now);
  if (Known == nullptr || Known->Holders.empty())
    return countDrop(Context, DropReason::UnknownFlow);
  if (const control::Upstream *To =
          liveUpstream(Context.AgentState, Known->Holders.front()))
    forwardToAgent(Context, Incoming, *To, To->Instance, FrameKind::Probe);
}

void lookUpHolder(HandlerContext &Context, CallerDatagram &Incoming) {
  if (const control::Upstream *Holder = operationHolder(Context, Incoming))
    return forwardToAgent(Context, Incoming, *Holder, Holder->Instance,
                          FrameKind::Relay);
  auto Candidates = listCandidates(Context, Incoming.Header);
  const bool HaveFlow =
      findFlow(Context.AgentState.Flows, Incoming.Header.Caller) != nullptr;
  if (HaveFlow && Candidates.empty())
    return handleMissingHolder(Context, Incoming);
  startProbe(Context, Incoming, std::move(Candidates));
}

/// Probes the remaining siblings, or ends the search if that was done before.
/// \returns whether the search has ended.
bool handleProbeTimeout(HandlerContext &Context, PendingProbe &Pending) {
  auto Message = wire::parseCoap(Pending.Datagram);
  if (!Message)
    return true;
  CallerDatagram Incoming{
      Pending.Header, {}, Pending.Datagram, std::move(*Message)};
  if (!Pending.SiblingsAsked) {
    const auto Others =
        listOtherUpstreams(Context, listCandidates(Context, Pending.Header));
    Pending.SiblingsAsked = true;
    Pending.Timeout = Context.Now + ProbeTimeout;
    if (!Others.empty()) {
      sendProbes(Context, Incoming, Others);
      return false;
    }
  }
  handleMissingHolder(Context, Incoming);
  return true;
}

} // namespace

void deliverContinuingRequest(HandlerContext &Context,
                              CallerDatagram &Incoming) {
  Flow *To = findOrOpenFlow(Context, Incoming);
  if (To == nullptr)
    return countDrop(Context, DropReason::RateLimited);
  const Exchange *Same = findExchange(*To, Incoming.Message.RequestToken);
  if (Same == nullptr && To->Exchanges.size() < MaxExchangesPerFlow)
    addExchange(Context.AgentState.Flows, *To, makeExchange(Context, Incoming));
  else if (Same == nullptr || Same->Cancelled ||
           Same->MessageId != Incoming.Message.MessageId)
    return countDrop(Context, DropReason::Duplicate);
  deliver(Context, *To, Incoming, false);
}

void handleContinuation(HandlerContext &Context, CallerDatagram &Incoming) {
  if (isHolder(Context, Incoming)) {
    if (Incoming.Header.Kind == FrameKind::Probe)
      sendHeldFrame(Context, Incoming);
    return deliverContinuation(Context, Incoming);
  }
  switch (Incoming.Header.Kind) {
  case FrameKind::Probe:
    return forwardProbe(Context, Incoming);
  case FrameKind::Relay:
    return handleMissingHolder(Context, Incoming);
  default:
    return lookUpHolder(Context, Incoming);
  }
}

void handleHeldFrame(HandlerContext &Context, const wire::FrameView &Frame) {
  const auto Hash = decodeHash(Frame.Payload);
  if (!Hash)
    return countDrop(Context, DropReason::MalformedFrame);
  const auto Found = Context.AgentState.Probes.find(*Hash);
  if (Found == Context.AgentState.Probes.end() ||
      Found->second.Header.Caller != Frame.Header.Caller)
    return countDrop(Context, DropReason::Duplicate);
  const auto Message = wire::parseCoap(Found->second.Datagram);
  std::optional<std::uint64_t> Key;
  if (Message && Message->isRequest())
    Key = operationKey(*Message);
  updateRoute(Context, Frame.Header.Caller, Frame.Header.Upstream, Key);
  countPromise(Context, Promise::LinesSurvive, Verdict::Held);
  Context.AgentState.Probes.erase(Found);
}

void processProbeTimeouts(HandlerContext &Context) {
  auto &Probes = Context.AgentState.Probes;
  for (auto Position = Probes.begin(); Position != Probes.end();) {
    const bool Done = Position->second.Timeout <= Context.Now &&
                      handleProbeTimeout(Context, Position->second);
    Position = Done ? Probes.erase(Position) : std::next(Position);
  }
}

} // namespace jasminearch::agent
