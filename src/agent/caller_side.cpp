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

/// Reads "~<upstream id>.<incarnation>".
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

/// Sends a request on when its path names another agent, and answers when the
/// named incarnation is gone. \returns whether the request stays here.
bool staysHere(Step &In, Arrival &What) {
  const auto Segment = readOwnerSegment(firstPathSegment(What.Message));
  if (!Segment)
    return true;
  const OwnerLookup Owner = lookUpOwner(In.S, Segment->Id, Segment->Instance);
  switch (Owner.Status) {
  case OwnerStatus::Self:
    What.Owned = true;
    return true;
  case OwnerStatus::Other:
    passOn(In, What, *Owner.Other, Segment->Instance, wire::FrameKind::Relay);
    return false;
  case OwnerStatus::Gone:
    count(In, Promise::LinesSurvive, Verdict::Broken,
          "path of a caller names incarnation " +
              std::to_string(Segment->Instance.Number) + " of upstream " +
              std::to_string(Segment->Id.Number) + ", which is gone");
    sendToCaller(In, What.Header,
                 buildNotFound(What.Message, nextMessageId(In)));
    return false;
  case OwnerStatus::NotYetKnown:
    break;
  }
  drop(In, DropReason::StaleConfiguration);
  return false;
}

/// Refuses a request without a permit. No agent owns it, so a copy may have run
/// elsewhere or may run later: the answer claims neither.
void refuseUnrecorded(Step &In, const Arrival &What) {
  sendToCaller(In, What.Header,
               buildServiceUnavailable(What.Message, RetryHint, UnknownPayload,
                                       nextMessageId(In)));
}

void deliverNew(Step &In, Arrival &What) {
  Flow *To = flowFor(In, What);
  if (To == nullptr || To->Exchanges.size() >= MaxExchangesPerFlow)
    return refuseUnrecorded(In, What);
  addExchange(In.S.Flows, *To, exchangeFor(In, What));
  const auto Block = blockOption(What.Message, wire::option::Block1);
  const std::uint64_t Key = operationKey(What.Message);
  forgetRoute(In, What.Header.Caller, Key);
  if (Block && Block->More)
    rememberTransfer(*To, Key);
  deliver(In, *To, What, false);
}

/// A request that may run more than once: GET, PUT, DELETE, FETCH, iPATCH.
void handleIdempotent(Step &In, Arrival &What) {
  Flow *Known = findFlow(In.S.Flows, What.Header.Caller);
  const Exchange *Same = Known == nullptr
                             ? nullptr
                             : findExchange(*Known, What.Message.RequestToken);
  if (Same != nullptr) {
    const bool Copy = Same->MessageId == What.Message.MessageId;
    if (Copy && !Same->Cancelled)
      return deliver(In, *flowFor(In, What), What, false);
    if (Copy)
      return sendToCaller(
          In, What.Header,
          buildGatewayTimeout(What.Message, UnknownPayload, nextMessageId(In)));
    // The token is still in use by another request, so the response to either
    // could be taken for the other's.
    return refuseUnrecorded(In, What);
  }
  const State &S = In.S;
  // A request on an owned path belongs to an established line, which continues
  // during a drain and a stop. It is let through without a free slot too,
  // because refusing a registration would break the line.
  const bool Leaving =
      (S.Stopping || S.UpstreamGone || S.Draining) && !What.Owned;
  if (What.Owned || (!Leaving && hasFreeSlot(S)))
    return deliverNew(In, What);
  if (Leaving)
    count(In, Promise::NoWorkWhenLeaving, Verdict::Held);
  if (offload(In, What))
    return;
  refuseUnrecorded(In, What);
}

} // namespace

void handleCaller(Step &In, Arrival &What) {
  const CoapMessage &Message = What.Message;
  if (Message.isEmpty()) {
    if (Message.Type == CoapType::Confirmable)
      // A CoAP ping is answered with a Reset.
      return sendToCaller(
          In, What.Header,
          buildEmptyMessage(CoapType::Reset, Message.MessageId));
    if (Message.Type == CoapType::NonConfirmable)
      return drop(In, DropReason::MalformedCoap);
    return handleMidFlow(In, What);
  }
  if (!Message.isRequest() || Message.Type == CoapType::Acknowledgement ||
      Message.Type == CoapType::Reset)
    return drop(In, DropReason::MalformedCoap);
  if (!staysHere(In, What))
    return;
  if (isNonIdempotent(Message.Code))
    return handleNonIdempotent(In, What);
  if (isMidFlow(Message))
    return handleMidFlow(In, What);
  handleIdempotent(In, What);
}

Flow *flowFor(Step &In, const Arrival &What) {
  FlowTable &Flows = In.S.Flows;
  Flow *Out = findFlow(Flows, What.Header.Caller);
  if (Out == nullptr) {
    Flow *Oldest = Flows.ByCaller.size() >= Flows.MaxFlows
                       ? evictableFlow(Flows)
                       : nullptr;
    if (Oldest != nullptr) {
      In.Out.push_back(CloseFlow{Oldest->Id});
      removeFlow(Flows, *Oldest);
    }
    Out = addFlow(Flows, What.Header.Caller, In.Now);
    if (Out == nullptr)
      return nullptr;
    In.Out.push_back(OpenFlow{Out->Id});
  }
  Out->ServiceAddress = What.Header.ServiceAddress;
  Out->Return = What.Header.Return;
  Out->Trace = What.Header.Trace;
  touchFlow(Flows, *Out, In.Now);
  return Out;
}

void deliver(Step &In, Flow &To, Arrival &What, bool StripEcho) {
  if (!What.Owned && !StripEcho) {
    In.Out.push_back(
        SendUpstream{To.Id, Bytes(What.Datagram.begin(), What.Datagram.end())});
    return;
  }
  if (What.Owned)
    removeFirstPathSegment(What.Message);
  if (StripEcho)
    removeOptions(What.Message, wire::option::Echo);
  auto Rebuilt = buildCoap(What.Message);
  if (!Rebuilt)
    return drop(In, DropReason::MalformedCoap);
  In.Out.push_back(SendUpstream{To.Id, std::move(*Rebuilt)});
}

Exchange exchangeFor(const Step &In, const Arrival &What) {
  Exchange Out;
  Out.RequestToken = What.Message.RequestToken;
  Out.MessageId = What.Message.MessageId;
  Out.Confirmable = What.Message.Type == CoapType::Confirmable;
  Out.OperationKey = operationKey(What.Message);
  Out.Deadline = In.Now + In.S.Treatment.Deadline;
  return Out;
}

bool offload(Step &In, const Arrival &What) {
  State &S = In.S;
  if (!S.Treatment.Offload || What.Header.Hops > 0)
    return false;
  ++S.Draws;
  const std::uint64_t Draw = wire::datagramHash(
      What.Header.Caller,
      {reinterpret_cast<const std::uint8_t *>(&S.Draws), sizeof(S.Draws)});
  const control::Upstream *To =
      chooseSibling(S.Siblings, S.Loads, Draw, In.Now);
  if (To == nullptr)
    return false;
  rememberRoute(In, What.Header.Caller, To->Id, operationKey(What.Message));
  passOn(In, What, *To, To->Instance, wire::FrameKind::Relay);
  return true;
}

bool isUploadBlock(const CoapMessage &Message) {
  const auto Block = blockOption(Message, wire::option::Block1);
  return Block && Block->Number > 0;
}

bool isMidFlow(const CoapMessage &Message) {
  constexpr std::uint32_t CancelObservation = 1;
  const auto Block2 = blockOption(Message, wire::option::Block2);
  return isUploadBlock(Message) || (Block2 && Block2->Number > 0) ||
         uintOption(Message, wire::option::Observe) == CancelObservation;
}

} // namespace jasminearch::agent
