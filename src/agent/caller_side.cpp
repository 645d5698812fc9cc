#include "step.h"
#include <charconv>
#include <system_error>

namespace jasminearch::agent {

namespace {

using control::Promise;
using wire::CoapMessage;
using wire::CoapType;

struct OwnerSegment {
  UpstreamId Id;
  Incarnation Instance;
};

/// Parses the owner segment "~<upstream id>.<incarnation>" of a path.
std::optional<OwnerSegment> readOwnerSegment(std::string_view Segment) {
  if (Segment.empty() || Segment.front() != '~')
    return std::nullopt;
  const char *const End = Segment.data() + Segment.size();
  OwnerSegment Out;
  const auto Id = std::from_chars(Segment.data() + 1, End, Out.Id.Number);
  if (Id.ec != std::errc() || Id.ptr == End || *Id.ptr != '.')
    return std::nullopt;
  const auto Instance = std::from_chars(Id.ptr + 1, End, Out.Instance.Number);
  if (Instance.ec != std::errc() || Instance.ptr != End)
    return std::nullopt;
  return Out;
}

bool isNonIdempotent(std::uint8_t Code) {
  return Code == wire::code::Post || Code == wire::code::Patch;
}

/// Relays a request whose path names another agent, and answers 4.04 if the
/// named incarnation is gone. \returns whether this agent must handle the
/// request.
bool isHandledLocally(HandlerContext &Context, CallerDatagram &Incoming) {
  const auto Segment = readOwnerSegment(firstPathSegment(Incoming.Message));
  if (!Segment)
    return true;
  const OwnerLookup Owner =
      lookUpOwner(Context.AgentState, Segment->Id, Segment->Instance);
  switch (Owner.Status) {
  case OwnerStatus::Self:
    Incoming.HasOwnPath = true;
    return true;
  case OwnerStatus::Other:
    forwardToAgent(Context, Incoming, *Owner.Other, Segment->Instance,
                   wire::FrameKind::Relay);
    return false;
  case OwnerStatus::Gone:
    countPromise(Context, Promise::LinesSurvive, Verdict::Broken,
                 "request path names incarnation " +
                     std::to_string(Segment->Instance.Number) +
                     " of upstream " + std::to_string(Segment->Id.Number) +
                     ", which is gone");
    sendToCaller(Context, Incoming.Header,
                 buildNotFound(Incoming.Message, nextMessageId(Context)));
    return false;
  case OwnerStatus::NotYetKnown:
    break;
  }
  countDrop(Context, DropReason::StaleConfiguration);
  return false;
}

/// Refuses a request that has no permit. No agent owns such a request, so a
/// copy may have run elsewhere or may still run. The answer therefore doesn't
/// say whether it ran.
void refuseWithoutPermit(HandlerContext &Context,
                         const CallerDatagram &Incoming) {
  sendToCaller(Context, Incoming.Header,
               buildServiceUnavailable(Incoming.Message, RefusalMaxAge,
                                       UnknownPayload, nextMessageId(Context)));
}

void deliverNewRequest(HandlerContext &Context, CallerDatagram &Incoming) {
  Flow *To = findOrOpenFlow(Context, Incoming);
  if (To == nullptr || To->Exchanges.size() >= MaxExchangesPerFlow)
    return refuseWithoutPermit(Context, Incoming);
  addExchange(Context.AgentState.Flows, *To, makeExchange(Context, Incoming));
  const auto Block = blockOption(Incoming.Message, wire::option::Block1);
  const std::uint64_t Key = operationKey(Incoming.Message);
  removeRoutedOperation(Context, Incoming.Header.Caller, Key);
  if (Block && Block->More)
    addTransfer(*To, Key);
  deliver(Context, *To, Incoming, false);
}

/// Handles idempotent requests, which may run more than once: GET, PUT, DELETE,
/// FETCH and iPATCH.
void handleIdempotent(HandlerContext &Context, CallerDatagram &Incoming) {
  Flow *Known = findFlow(Context.AgentState.Flows, Incoming.Header.Caller);
  const Exchange *Same =
      Known == nullptr ? nullptr
                       : findExchange(*Known, Incoming.Message.RequestToken);
  if (Same != nullptr) {
    const bool Copy = Same->MessageId == Incoming.Message.MessageId;
    if (Copy && !Same->Cancelled)
      return deliver(Context, *findOrOpenFlow(Context, Incoming), Incoming,
                     false);
    if (Copy)
      return sendToCaller(Context, Incoming.Header,
                          buildGatewayTimeout(Incoming.Message, UnknownPayload,
                                              nextMessageId(Context)));
    // Another open request uses the same token, so their responses could be
    // confused.
    return refuseWithoutPermit(Context, Incoming);
  }
  const State &AgentState = Context.AgentState;
  // A request on a path of this agent belongs to an established line, which
  // continues during a drain and a stop. It is also delivered without a free
  // slot, because refusing a registration would break the line.
  const bool Leaving =
      (AgentState.Stopping || AgentState.UpstreamGone || AgentState.Draining) &&
      !Incoming.HasOwnPath;
  if (Incoming.HasOwnPath || (!Leaving && hasFreeSlot(AgentState)))
    return deliverNewRequest(Context, Incoming);
  if (Leaving)
    countPromise(Context, Promise::NoWorkWhenLeaving, Verdict::Held);
  if (offloadToSibling(Context, Incoming))
    return;
  refuseWithoutPermit(Context, Incoming);
}

} // namespace

void handleCallerDatagram(HandlerContext &Context, CallerDatagram &Incoming) {
  const CoapMessage &Message = Incoming.Message;
  if (Message.isEmpty()) {
    if (Message.Type == CoapType::Confirmable)
      // CoAP ping (RFC 7252, section 4.3).
      return sendToCaller(
          Context, Incoming.Header,
          buildEmptyMessage(CoapType::Reset, Message.MessageId));
    if (Message.Type == CoapType::NonConfirmable)
      return countDrop(Context, DropReason::MalformedCoap);
    return handleContinuation(Context, Incoming);
  }
  if (!Message.isRequest() || Message.Type == CoapType::Acknowledgement ||
      Message.Type == CoapType::Reset)
    return countDrop(Context, DropReason::MalformedCoap);
  if (!isHandledLocally(Context, Incoming))
    return;
  if (isNonIdempotent(Message.Code))
    return handleNonIdempotent(Context, Incoming);
  if (isContinuation(Message))
    return handleContinuation(Context, Incoming);
  handleIdempotent(Context, Incoming);
}

Flow *findOrOpenFlow(HandlerContext &Context, const CallerDatagram &Incoming) {
  FlowTable &Flows = Context.AgentState.Flows;
  Flow *Out = findFlow(Flows, Incoming.Header.Caller);
  if (Out == nullptr) {
    Flow *Oldest = Flows.ByCaller.size() >= Flows.MaxFlows
                       ? evictableFlow(Flows)
                       : nullptr;
    if (Oldest != nullptr) {
      Context.PendingEffects.push_back(CloseFlow{Oldest->Id});
      removeFlow(Flows, *Oldest);
    }
    Out = addFlow(Flows, Incoming.Header.Caller, Context.Now);
    if (Out == nullptr)
      return nullptr;
    Context.PendingEffects.push_back(OpenFlow{Out->Id});
  }
  Out->ServiceAddress = Incoming.Header.ServiceAddress;
  Out->Return = Incoming.Header.Return;
  Out->Trace = Incoming.Header.Trace;
  touchFlow(Flows, *Out, Context.Now);
  return Out;
}

void deliver(HandlerContext &Context, Flow &To, CallerDatagram &Incoming,
             bool StripEcho) {
  if (!Incoming.HasOwnPath && !StripEcho) {
    Context.PendingEffects.push_back(SendUpstream{
        To.Id, Bytes(Incoming.Datagram.begin(), Incoming.Datagram.end())});
    return;
  }
  if (Incoming.HasOwnPath)
    removeFirstPathSegment(Incoming.Message);
  if (StripEcho)
    removeOptions(Incoming.Message, wire::option::Echo);
  auto Rebuilt = buildCoap(Incoming.Message);
  if (!Rebuilt)
    return countDrop(Context, DropReason::MalformedCoap);
  Context.PendingEffects.push_back(SendUpstream{To.Id, std::move(*Rebuilt)});
}

Exchange makeExchange(const HandlerContext &Context,
                      const CallerDatagram &Incoming) {
  Exchange Out;
  Out.RequestToken = Incoming.Message.RequestToken;
  Out.MessageId = Incoming.Message.MessageId;
  Out.Confirmable = Incoming.Message.Type == CoapType::Confirmable;
  Out.OperationKey = operationKey(Incoming.Message);
  Out.Deadline = Context.Now + Context.AgentState.ServiceProfile.Deadline;
  return Out;
}

bool offloadToSibling(HandlerContext &Context, const CallerDatagram &Incoming) {
  State &AgentState = Context.AgentState;
  if (!AgentState.ServiceProfile.Offload || Incoming.Header.Hops > 0)
    return false;
  ++AgentState.OffloadCount;
  const std::uint64_t SelectionHash = wire::datagramHash(
      Incoming.Header.Caller,
      {reinterpret_cast<const std::uint8_t *>(&AgentState.OffloadCount),
       sizeof(AgentState.OffloadCount)});
  const control::Upstream *To = chooseSibling(
      AgentState.Siblings, AgentState.Loads, SelectionHash, Context.Now);
  if (To == nullptr)
    return false;
  updateRoute(Context, Incoming.Header.Caller, To->Id,
              operationKey(Incoming.Message));
  forwardToAgent(Context, Incoming, *To, To->Instance, wire::FrameKind::Relay);
  return true;
}

bool isUploadBlock(const CoapMessage &Message) {
  const auto Block = blockOption(Message, wire::option::Block1);
  return Block && Block->Number > 0;
}

bool isContinuation(const CoapMessage &Message) {
  constexpr std::uint32_t CancelObservation = 1;
  const auto Block2 = blockOption(Message, wire::option::Block2);
  return isUploadBlock(Message) || (Block2 && Block2->Number > 0) ||
         uintOption(Message, wire::option::Observe) == CancelObservation;
}

} // namespace jasminearch::agent
