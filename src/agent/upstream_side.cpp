#include "step.h"
#include <algorithm>

namespace jasminearch::agent {

namespace {

using control::Promise;
using wire::CoapMessage;
using wire::CoapType;

void resetUpstream(HandlerContext &Context, FlowId To,
                   std::uint16_t MessageId) {
  Context.PendingEffects.push_back(
      SendUpstream{To, buildEmptyMessage(CoapType::Reset, MessageId)});
}

void dropLateResponse(HandlerContext &Context, const Flow &CallerFlow,
                      const CoapMessage &Message) {
  countDrop(Context, DropReason::LateAnswer);
  countPromise(Context, Promise::WholeAnswers, Verdict::Held);
  if (Message.Type == CoapType::Confirmable)
    resetUpstream(Context, CallerFlow.Id, Message.MessageId);
}

Exchange *findExchangeByMessageId(Flow &CallerFlow, std::uint16_t MessageId) {
  const auto Found =
      std::find_if(CallerFlow.Exchanges.begin(), CallerFlow.Exchanges.end(),
                   [&](const Exchange &E) { return E.MessageId == MessageId; });
  return Found == CallerFlow.Exchanges.end() ? nullptr : &*Found;
}

void closeExchange(HandlerContext &Context, Flow &CallerFlow,
                   const Exchange *Ended) {
  removeExchange(Context.AgentState.Flows, CallerFlow,
                 static_cast<std::size_t>(Ended - CallerFlow.Exchanges.data()));
}

/// Prepends the owner segment to the Location-Path of a created resource.
Bytes addOwnerSegment(const State &AgentState, CoapMessage Message,
                      absl::Span<const std::uint8_t> Datagram) {
  const bool Created = Message.Code == wire::code::Created &&
                       findOption(Message, wire::option::LocationPath);
  if (!Created)
    return Bytes(Datagram.begin(), Datagram.end());
  const std::string Segment = "~" + std::to_string(AgentState.Self.Number) +
                              "." + std::to_string(AgentState.Instance.Number);
  prependLocationSegment(Message, Segment);
  return buildCoap(Message).value_or(Bytes());
}

/// Stores the response to a request that ran under a permit.
void recordAnswer(HandlerContext &Context, const Exchange &Completed,
                  const CoapMessage &Message,
                  absl::Span<const std::uint8_t> Answer) {
  RequestRecord *Record =
      Completed.Nonce == 0
          ? nullptr
          : findRecord(Context.AgentState.Records, Completed.Nonce);
  if (Record == nullptr)
    return;
  storeAnswer(Context.AgentState.Records, *Record, Answer);
  Record->Upload.AnsweredOffset = Completed.BlockOffset;
  const bool MoreToCome =
      Completed.UploadBlock && Message.Code == wire::code::Continue;
  if (MoreToCome)
    return;
  Record->Phase = RequestPhase::Done;
  Context.AgentState.OpenUploads.erase(Completed.Nonce);
}

void updateLine(HandlerContext &Context, Flow &CallerFlow,
                const CoapMessage &Message) {
  constexpr unsigned SuccessClass = 2;
  const bool Observed = Message.codeClass() == SuccessClass &&
                        findOption(Message, wire::option::Observe);
  if (!Observed)
    return removeLine(Context.AgentState.Flows, CallerFlow,
                      Message.RequestToken);
  addLine(Context.AgentState.Flows, CallerFlow,
          {Message.RequestToken, Message.MessageId});
  if (Line *Open = findLine(CallerFlow, Message.RequestToken))
    Open->LastMessageId = Message.MessageId;
}

void completeExchange(HandlerContext &Context, Flow &CallerFlow,
                      const Exchange Ended, const CoapMessage &Message,
                      absl::Span<const std::uint8_t> Datagram) {
  const Bytes Answer = addOwnerSegment(Context.AgentState, Message, Datagram);
  recordAnswer(Context, Ended, Message, Answer);
  const auto Block2 = blockOption(Message, wire::option::Block2);
  if (Block2 && Block2->More)
    addTransfer(CallerFlow, Ended.OperationKey);
  closeExchange(Context, CallerFlow,
                findExchange(CallerFlow, Ended.RequestToken));
  updateLine(Context, CallerFlow, Message);
  countPromise(Context, Promise::WholeAnswers, Verdict::Held);
  sendToCaller(Context, CallerFlow, Answer);
}

/// Sends a retransmission of the upstream to the caller under a new message id.
/// libcoap 4.3.1 doesn't acknowledge a confirmable response with the same id as
/// the previous one. If the first acknowledgement was lost, the upstream would
/// delay all further responses and notifications until it gives up, for up to
/// 93 s.
void resendUnderNewMessageId(HandlerContext &Context, Flow &CallerFlow,
                             CoapMessage Message) {
  const std::uint16_t FromUpstream = Message.MessageId;
  Message.MessageId = nextMessageId(Context);
  const auto Built = buildCoap(Message);
  if (!Built)
    return countDrop(Context, DropReason::MalformedCoap);
  addReissuedMessageId(CallerFlow, {FromUpstream, Message.MessageId});
  sendToCaller(Context, CallerFlow,
               addOwnerSegment(Context.AgentState, Message, *Built));
}

void handleResponse(HandlerContext &Context, Flow &CallerFlow,
                    const CoapMessage &Message,
                    absl::Span<const std::uint8_t> Datagram) {
  const Exchange *Open = findExchange(CallerFlow, Message.RequestToken);
  const bool Piggybacked = Message.Type == CoapType::Acknowledgement;
  if (Open != nullptr && Open->Cancelled)
    return dropLateResponse(Context, CallerFlow, Message);
  if (Open != nullptr &&
      !(Piggybacked && Open->MessageId != Message.MessageId)) {
    if (!Piggybacked)
      addMessageId(CallerFlow, Message.MessageId);
    return completeExchange(Context, CallerFlow, Exchange(*Open), Message,
                            Datagram);
  }
  const bool Retransmitted = hasMessageId(CallerFlow, Message.MessageId);
  if (Piggybacked ||
      (!Retransmitted && findLine(CallerFlow, Message.RequestToken) == nullptr))
    return dropLateResponse(Context, CallerFlow, Message);
  addMessageId(CallerFlow, Message.MessageId);
  if (findLine(CallerFlow, Message.RequestToken) != nullptr) {
    countPromise(Context, Promise::LinesSurvive, Verdict::Held);
    updateLine(Context, CallerFlow, Message);
  }
  if (Retransmitted && Message.Type == CoapType::Confirmable)
    return resendUnderNewMessageId(Context, CallerFlow, Message);
  sendToCaller(Context, CallerFlow,
               addOwnerSegment(Context.AgentState, Message, Datagram));
}

void handleEmptyMessage(HandlerContext &Context, Flow &CallerFlow,
                        const CoapMessage &Message,
                        absl::Span<const std::uint8_t> Datagram) {
  if (Message.Type == CoapType::Confirmable)
    return resetUpstream(Context, CallerFlow.Id, Message.MessageId);
  Exchange *Open = findExchangeByMessageId(CallerFlow, Message.MessageId);
  if (Open == nullptr || Open->Cancelled)
    return countDrop(Context, DropReason::LateAnswer);
  if (Message.Type == CoapType::Acknowledgement) {
    Open->Acknowledged = true;
    if (RequestRecord *Record =
            findRecord(Context.AgentState.Records, Open->Nonce))
      Record->Acknowledged = true;
  } else {
    recordAnswer(Context, *Open, Message, Datagram);
    closeExchange(Context, CallerFlow, Open);
  }
  sendToCaller(Context, CallerFlow, Datagram);
}

/// Answers an open request with the outcome "unknown".
void answerOutcomeUnknown(HandlerContext &Context, const Flow &CallerFlow,
                          const Exchange &Ended, const std::string &Evidence) {
  CoapMessage Request;
  Request.Type = Ended.Confirmable && !Ended.Acknowledged
                     ? CoapType::Confirmable
                     : CoapType::NonConfirmable;
  Request.MessageId = Ended.MessageId;
  Request.RequestToken = Ended.RequestToken;
  const Bytes Answer =
      buildGatewayTimeout(Request, UnknownPayload, nextMessageId(Context));
  CoapMessage Final;
  Final.Code = wire::code::GatewayTimeout;
  recordAnswer(Context, Ended, Final, Answer);
  if (Ended.Nonce != 0)
    countPromise(Context, Promise::AtMostOnce, Verdict::Unknown, Evidence);
  sendToCaller(Context, CallerFlow, Answer);
}

void expireExchanges(HandlerContext &Context, Flow &CallerFlow) {
  for (std::size_t Index = CallerFlow.Exchanges.size(); Index > 0; --Index) {
    const Exchange Ended = CallerFlow.Exchanges[Index - 1];
    if (Ended.Deadline > Context.Now)
      continue;
    if (Ended.Cancelled) {
      removeExchange(Context.AgentState.Flows, CallerFlow, Index - 1);
      continue;
    }
    cancelExchange(Context.AgentState.Flows, CallerFlow, Index - 1,
                   Context.Now + PermitLifetime);
    resetUpstream(Context, CallerFlow.Id, Ended.MessageId);
    answerOutcomeUnknown(Context, CallerFlow, Ended,
                         "the deadline passed before the upstream responded");
  }
}

/// Ends uploads whose caller stopped sending blocks before the deadline. The
/// last block was never delivered, so the request didn't run, and the caller
/// isn't waiting for an answer. A later block is answered with 4.08.
void expireUploads(HandlerContext &Context) {
  auto &Open = Context.AgentState.OpenUploads;
  for (auto Position = Open.begin(); Position != Open.end();) {
    if (Position->second > Context.Now) {
      ++Position;
      continue;
    }
    if (RequestRecord *Record =
            findRecord(Context.AgentState.Records, Position->first))
      Record->Phase = RequestPhase::Done;
    Position = Open.erase(Position);
  }
}

} // namespace

void handleUpstreamDatagram(HandlerContext &Context,
                            const UpstreamReceived &Input) {
  Flow *CallerFlow = findFlow(Context.AgentState.Flows, Input.Flow);
  if (CallerFlow == nullptr || Context.AgentState.Config == nullptr)
    return countDrop(Context, DropReason::UnknownFlow);
  const auto Message = wire::parseCoap(Input.Datagram);
  if (!Message)
    return countDrop(Context, DropReason::MalformedCoap);
  Context.AgentState.ConsecutiveRefusals = 0;
  touchFlow(Context.AgentState.Flows, *CallerFlow, Context.Now);
  if (Message->isEmpty())
    return handleEmptyMessage(Context, *CallerFlow, *Message, Input.Datagram);
  if (!Message->isResponse())
    return countDrop(Context, DropReason::MalformedCoap);
  handleResponse(Context, *CallerFlow, *Message, Input.Datagram);
}

void handleUpstreamRefused(HandlerContext &Context,
                           const UpstreamRefused &Input) {
  State &AgentState = Context.AgentState;
  Flow *CallerFlow = findFlow(AgentState.Flows, Input.Flow);
  if (CallerFlow == nullptr)
    return;
  for (std::size_t Index = CallerFlow->Exchanges.size(); Index > 0; --Index) {
    const Exchange Ended = CallerFlow->Exchanges[Index - 1];
    if (Ended.Cancelled)
      continue;
    answerOutcomeUnknown(Context, *CallerFlow, Ended,
                         "the port of the upstream is closed");
    removeExchange(AgentState.Flows, *CallerFlow, Index - 1);
  }
  while (!CallerFlow->Lines.empty()) {
    countPromise(
        Context, Promise::LinesSurvive, Verdict::Broken,
        "the port of the upstream was closed while it had a line of caller " +
            toString(CallerFlow->Caller));
    removeLine(AgentState.Flows, *CallerFlow,
               wire::Token(CallerFlow->Lines.back().RequestToken));
  }
  if (++AgentState.ConsecutiveRefusals < MaxConsecutiveRefusals ||
      AgentState.UpstreamGone)
    return;
  AgentState.UpstreamGone = true;
  Context.PendingEffects.push_back(ReportUpstreamGone{});
}

void enforceDeadlines(HandlerContext &Context) {
  BusyFlows &Busy = Context.AgentState.Flows.Busy;
  for (auto Position = Busy.begin(); Position != Busy.end();) {
    // Removing the last exchange removes the flow from this list.
    Flow &CallerFlow = *Position;
    ++Position;
    expireExchanges(Context, CallerFlow);
  }
  expireUploads(Context);
}

} // namespace jasminearch::agent
