#include "step.h"
#include <algorithm>

namespace jasminearch::agent {

namespace {

using control::Promise;
using wire::CoapMessage;
using wire::CoapType;

void resetUpstream(Step &In, FlowId To, std::uint16_t MessageId) {
  In.Out.push_back(
      SendUpstream{To, buildEmptyMessage(CoapType::Reset, MessageId)});
}

void dropLate(Step &In, const Flow &Of, const CoapMessage &Message) {
  drop(In, DropReason::LateAnswer);
  count(In, Promise::WholeAnswers, Verdict::Held);
  if (Message.Type == CoapType::Confirmable)
    resetUpstream(In, Of.Id, Message.MessageId);
}

Exchange *exchangeByMessageId(Flow &Of, std::uint16_t MessageId) {
  const auto Found =
      std::find_if(Of.Exchanges.begin(), Of.Exchanges.end(),
                   [&](const Exchange &E) { return E.MessageId == MessageId; });
  return Found == Of.Exchanges.end() ? nullptr : &*Found;
}

void closeExchange(Step &In, Flow &Of, const Exchange *Ended) {
  removeExchange(In.S.Flows, Of,
                 static_cast<std::size_t>(Ended - Of.Exchanges.data()));
}

/// Puts the owner's segment in front of a created resource's path.
Bytes withOwner(const State &S, CoapMessage Message,
                absl::Span<const std::uint8_t> Datagram) {
  const bool Created = Message.Code == wire::code::Created &&
                       findOption(Message, wire::option::LocationPath);
  if (!Created)
    return Bytes(Datagram.begin(), Datagram.end());
  const std::string Segment = "~" + std::to_string(S.Self.Number) + "." +
                              std::to_string(S.Instance.Number);
  prependLocationSegment(Message, Segment);
  return buildCoap(Message).value_or(Bytes());
}

/// Stores the response of a request that ran under a permit.
void recordAnswer(Step &In, const Exchange &Of, const CoapMessage &Message,
                  absl::Span<const std::uint8_t> Answer) {
  RequestRecord *Record =
      Of.Nonce == 0 ? nullptr : findRecord(In.S.Records, Of.Nonce);
  if (Record == nullptr)
    return;
  storeAnswer(In.S.Records, *Record, Answer);
  Record->Upload.AnsweredOffset = Of.BlockOffset;
  const bool MoreToCome =
      Of.UploadBlock && Message.Code == wire::code::Continue;
  if (MoreToCome)
    return;
  Record->Phase = RequestPhase::Done;
  In.S.OpenUploads.erase(Of.Nonce);
}

void updateLine(Step &In, Flow &Of, const CoapMessage &Message) {
  constexpr unsigned SuccessClass = 2;
  const bool Observed = Message.codeClass() == SuccessClass &&
                        findOption(Message, wire::option::Observe);
  if (!Observed)
    return removeLine(In.S.Flows, Of, Message.RequestToken);
  addLine(In.S.Flows, Of, {Message.RequestToken, Message.MessageId});
  if (Line *Open = findLine(Of, Message.RequestToken))
    Open->LastMessageId = Message.MessageId;
}

void handleAnswer(Step &In, Flow &Of, const Exchange Ended,
                  const CoapMessage &Message,
                  absl::Span<const std::uint8_t> Datagram) {
  const Bytes Answer = withOwner(In.S, Message, Datagram);
  recordAnswer(In, Ended, Message, Answer);
  const auto Block2 = blockOption(Message, wire::option::Block2);
  if (Block2 && Block2->More)
    rememberTransfer(Of, Ended.OperationKey);
  closeExchange(In, Of, findExchange(Of, Ended.RequestToken));
  updateLine(In, Of, Message);
  count(In, Promise::WholeAnswers, Verdict::Held);
  sendToCaller(In, Of, Answer);
}

/// Sends a retransmission of the upstream under a message id of its own.
/// libcoap 4.3.1 doesn't acknowledge a confirmable response that has the id of
/// the one before. If that acknowledgement was lost, the upstream would hold
/// back all further responses and notifications until it gives up, up to 93 s.
void reissue(Step &In, Flow &Of, CoapMessage Message) {
  const std::uint16_t FromUpstream = Message.MessageId;
  Message.MessageId = nextMessageId(In);
  const auto Built = buildCoap(Message);
  if (!Built)
    return drop(In, DropReason::MalformedCoap);
  rememberReissued(Of, {FromUpstream, Message.MessageId});
  sendToCaller(In, Of, withOwner(In.S, Message, *Built));
}

void handleResponse(Step &In, Flow &Of, const CoapMessage &Message,
                    absl::Span<const std::uint8_t> Datagram) {
  const Exchange *Open = findExchange(Of, Message.RequestToken);
  const bool Piggybacked = Message.Type == CoapType::Acknowledgement;
  if (Open != nullptr && Open->Cancelled)
    return dropLate(In, Of, Message);
  if (Open != nullptr &&
      !(Piggybacked && Open->MessageId != Message.MessageId)) {
    if (!Piggybacked)
      rememberMessageId(Of, Message.MessageId);
    return handleAnswer(In, Of, Exchange(*Open), Message, Datagram);
  }
  const bool Retransmitted = knowsMessageId(Of, Message.MessageId);
  if (Piggybacked ||
      (!Retransmitted && findLine(Of, Message.RequestToken) == nullptr))
    return dropLate(In, Of, Message);
  rememberMessageId(Of, Message.MessageId);
  if (findLine(Of, Message.RequestToken) != nullptr) {
    count(In, Promise::LinesSurvive, Verdict::Held);
    updateLine(In, Of, Message);
  }
  if (Retransmitted && Message.Type == CoapType::Confirmable)
    return reissue(In, Of, Message);
  sendToCaller(In, Of, withOwner(In.S, Message, Datagram));
}

void handleEmpty(Step &In, Flow &Of, const CoapMessage &Message,
                 absl::Span<const std::uint8_t> Datagram) {
  if (Message.Type == CoapType::Confirmable)
    return resetUpstream(In, Of.Id, Message.MessageId);
  Exchange *Open = exchangeByMessageId(Of, Message.MessageId);
  if (Open == nullptr || Open->Cancelled)
    return drop(In, DropReason::LateAnswer);
  if (Message.Type == CoapType::Acknowledgement) {
    Open->Acknowledged = true;
    if (RequestRecord *Record = findRecord(In.S.Records, Open->Nonce))
      Record->Acknowledged = true;
  } else {
    recordAnswer(In, *Open, Message, Datagram);
    closeExchange(In, Of, Open);
  }
  sendToCaller(In, Of, Datagram);
}

/// Tells the caller that the outcome of an open request is unknown.
void answerOutcomeUnknown(Step &In, const Flow &Of, const Exchange &Ended,
                          const std::string &Evidence) {
  CoapMessage Request;
  Request.Type = Ended.Confirmable && !Ended.Acknowledged
                     ? CoapType::Confirmable
                     : CoapType::NonConfirmable;
  Request.MessageId = Ended.MessageId;
  Request.RequestToken = Ended.RequestToken;
  const Bytes Answer =
      buildGatewayTimeout(Request, UnknownPayload, nextMessageId(In));
  CoapMessage Final;
  Final.Code = wire::code::GatewayTimeout;
  recordAnswer(In, Ended, Final, Answer);
  if (Ended.Nonce != 0)
    count(In, Promise::AtMostOnce, Verdict::Unknown, Evidence);
  sendToCaller(In, Of, Answer);
}

void endOverdue(Step &In, Flow &Of) {
  for (std::size_t At = Of.Exchanges.size(); At > 0; --At) {
    const Exchange Ended = Of.Exchanges[At - 1];
    if (Ended.Deadline > In.Now)
      continue;
    if (Ended.Cancelled) {
      removeExchange(In.S.Flows, Of, At - 1);
      continue;
    }
    cancelExchange(In.S.Flows, Of, At - 1, In.Now + PermitLifetime);
    resetUpstream(In, Of.Id, Ended.MessageId);
    answerOutcomeUnknown(In, Of, Ended,
                         "deadline passed while the upstream was working");
  }
}

/// Ends uploads whose caller stopped sending. Their last block was never
/// delivered, so the request did not run; the caller isn't waiting for an
/// answer, and a later block gets 4.08.
void endOverdueUploads(Step &In) {
  auto &Open = In.S.OpenUploads;
  for (auto At = Open.begin(); At != Open.end();) {
    if (At->second > In.Now) {
      ++At;
      continue;
    }
    if (RequestRecord *Record = findRecord(In.S.Records, At->first))
      Record->Phase = RequestPhase::Done;
    At = Open.erase(At);
  }
}

} // namespace

void handleUpstream(Step &In, const UpstreamReceived &What) {
  Flow *Of = findFlow(In.S.Flows, What.Flow);
  if (Of == nullptr || In.S.Config == nullptr)
    return drop(In, DropReason::UnknownFlow);
  const auto Message = wire::parseCoap(What.Datagram);
  if (!Message)
    return drop(In, DropReason::MalformedCoap);
  In.S.RefusalsInARow = 0;
  touchFlow(In.S.Flows, *Of, In.Now);
  if (Message->isEmpty())
    return handleEmpty(In, *Of, *Message, What.Datagram);
  if (!Message->isResponse())
    return drop(In, DropReason::MalformedCoap);
  handleResponse(In, *Of, *Message, What.Datagram);
}

void handleUpstreamRefused(Step &In, const UpstreamRefused &What) {
  State &S = In.S;
  Flow *Of = findFlow(S.Flows, What.Flow);
  if (Of == nullptr)
    return;
  for (std::size_t At = Of->Exchanges.size(); At > 0; --At) {
    const Exchange Ended = Of->Exchanges[At - 1];
    if (Ended.Cancelled)
      continue;
    answerOutcomeUnknown(In, *Of, Ended, "the upstream's port is closed");
    removeExchange(S.Flows, *Of, At - 1);
  }
  while (!Of->Lines.empty()) {
    count(In, Promise::LinesSurvive, Verdict::Broken,
          "the upstream's port closed under a line of " + toString(Of->Caller));
    removeLine(S.Flows, *Of, wire::Token(Of->Lines.back().RequestToken));
  }
  if (++S.RefusalsInARow < RefusalsUntilGone || S.UpstreamGone)
    return;
  S.UpstreamGone = true;
  In.Out.push_back(ReportUpstreamGone{});
}

void runDeadlines(Step &In) {
  BusyFlows &Busy = In.S.Flows.Busy;
  for (auto At = Busy.begin(); At != Busy.end();) {
    // Closing the last exchange takes the flow out of the list.
    Flow &Of = *At;
    ++At;
    endOverdue(In, Of);
  }
  endOverdueUploads(In);
}

} // namespace jasminearch::agent
