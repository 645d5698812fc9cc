#include "step.h"

namespace jasminearch::agent {

namespace {

using control::Promise;
using wire::CoapMessage;
using wire::CoapType;

void answerUnknown(HandlerContext &Context, const CallerDatagram &Incoming,
                   const std::string &Evidence) {
  countPromise(Context, Promise::AtMostOnce, Verdict::Unknown, Evidence);
  sendToCaller(Context, Incoming.Header,
               buildGatewayTimeout(Incoming.Message, UnknownPayload,
                                   nextMessageId(Context)));
}

/// Answers "not run". Only for requests that are recorded as refused.
void answerNotRun(HandlerContext &Context, const CallerDatagram &Incoming) {
  countPromise(Context, Promise::NotRunIsTrue, Verdict::Held);
  sendToCaller(Context, Incoming.Header,
               buildServiceUnavailable(Incoming.Message, RefusalMaxAge,
                                       NotRunPayload, nextMessageId(Context)));
}

void answerIncomplete(HandlerContext &Context, const CallerDatagram &Incoming) {
  sendToCaller(Context, Incoming.Header,
               buildEntityIncomplete(Incoming.Message, nextMessageId(Context)));
}

void issuePermit(HandlerContext &Context, const CallerDatagram &Incoming) {
  State &AgentState = Context.AgentState;
  const std::uint64_t Hash =
      wire::datagramHash(Incoming.Header.Caller, Incoming.Datagram);
  const IssuedPermit *Existing =
      AgentState.IssuedPermits.find(Hash, Context.Now);
  if (Existing == nullptr) {
    const Permit New{AgentState.Self, AgentState.Instance,
                     ++AgentState.LastNonce,
                     agentTimeMs(AgentState, Context.Now + PermitLifetime)};
    Existing = &AgentState.IssuedPermits.put(Hash, {New}, Context.Now);
  }
  const EncodedPermit Encoded = encodePermit(Existing->Value, AgentState.Key);
  sendToCaller(
      Context, Incoming.Header,
      buildPermitRequired(Incoming.Message, Encoded, nextMessageId(Context)));
}

bool isLeaving(const State &AgentState, bool HasOwnPath) {
  return AgentState.Stopping || AgentState.UpstreamGone ||
         (AgentState.Draining && !HasOwnPath);
}

/// Answers a copy of a request with the stored response, using the copy's
/// message id and token.
void resendAnswer(HandlerContext &Context, const CallerDatagram &Copy,
                  const RequestRecord &Record) {
  const auto Stored = wire::parseCoap(Record.Answer);
  if (!Stored)
    return answerUnknown(
        Context, Copy,
        "the response of the recorded request is no longer stored");
  if (Stored->isEmpty())
    return sendToCaller(
        Context, Copy.Header,
        buildEmptyMessage(Stored->Type, Copy.Message.MessageId));
  CoapMessage Again =
      makeResponse(Copy.Message, Stored->Code, nextMessageId(Context));
  Again.Options = Stored->Options;
  Again.Payload = Stored->Payload;
  if (const auto Built = buildCoap(Again))
    sendToCaller(Context, Copy.Header, *Built);
}

void handleCopyWhileRunning(HandlerContext &Context,
                            const CallerDatagram &Incoming,
                            const RequestRecord &Record) {
  const UploadProgress &Upload = Record.Upload;
  const bool OnlyFirstBlock =
      Upload.NextOffset == Incoming.Message.Payload.size();
  if (Upload.Active && OnlyFirstBlock && !Record.Answer.empty())
    return resendAnswer(Context, Incoming, Record);
  countDrop(Context, DropReason::Duplicate);
  if (Record.Acknowledged && Incoming.Message.Type == CoapType::Confirmable)
    sendToCaller(Context, Incoming.Header,
                 buildEmptyMessage(CoapType::Acknowledgement,
                                   Incoming.Message.MessageId));
}

/// Handles a request whose permit already has a record.
void handleUsedPermit(HandlerContext &Context, const CallerDatagram &Incoming,
                      const RequestRecord &Record) {
  if (Record.ContentHash != contentHash(Incoming.Message))
    // A different request with the same Echo value: libcoap clients reuse it
    // for the request after one that was answered 4.01. This request was never
    // delivered, so it can be given its own permit.
    return issuePermit(Context, Incoming);
  if (Record.Phase == RequestPhase::Refused)
    return answerNotRun(Context, Incoming);
  countPromise(Context, Promise::AtMostOnce, Verdict::Held);
  if (Record.Phase == RequestPhase::Running)
    return handleCopyWhileRunning(Context, Incoming, Record);
  if (Record.Upload.Active)
    return countDrop(Context, DropReason::Duplicate);
  resendAnswer(Context, Incoming, Record);
}

bool isPastDeadline(const State &AgentState, const Permit &RequestPermit,
                    TimePoint Now) {
  const std::uint64_t LifetimeMs =
      std::chrono::milliseconds(PermitLifetime).count();
  const std::uint64_t IssuedMs = RequestPermit.ExpiryMs - LifetimeMs;
  const auto DeadlineMs =
      static_cast<std::uint64_t>(AgentState.ServiceProfile.Deadline.count());
  return agentTimeMs(AgentState, Now) > IssuedMs + DeadlineMs;
}

/// \returns whether the upstream may start a request with an unused permit.
bool canStart(HandlerContext &Context, const CallerDatagram &Incoming,
              const Permit &RequestPermit) {
  const State &AgentState = Context.AgentState;
  if (isLeaving(AgentState, Incoming.HasOwnPath)) {
    countPromise(Context, Promise::NoWorkWhenLeaving, Verdict::Held);
    return false;
  }
  Flow *Existing = findFlow(Context.AgentState.Flows, Incoming.Header.Caller);
  const bool TokenInUse =
      Existing != nullptr &&
      (findExchange(*Existing, Incoming.Message.RequestToken) != nullptr ||
       Existing->Exchanges.size() >= MaxExchangesPerFlow);
  return hasFreeSlot(AgentState) && !TokenInUse &&
         !isPastDeadline(AgentState, RequestPermit, Context.Now);
}

void recordRequest(RequestRecord &Record, const CallerDatagram &Incoming) {
  Record.ContentHash = contentHash(Incoming.Message);
  Record.Caller = Incoming.Header.Caller;
  Record.OperationKey = operationKey(Incoming.Message);
}

void refuseAsNotRun(HandlerContext &Context, const CallerDatagram &Incoming,
                    const Permit &RequestPermit) {
  RequestRecord *Record =
      addRecord(Context.AgentState.Records, RequestPermit.Nonce,
                RequestPhase::Refused, Context.Now);
  if (Record == nullptr)
    // Without a record a later copy could still run, so the answer must not be
    // "not run".
    return sendToCaller(Context, Incoming.Header,
                        buildServiceUnavailable(Incoming.Message, RefusalMaxAge,
                                                UnknownPayload,
                                                nextMessageId(Context)));
  recordRequest(*Record, Incoming);
  answerNotRun(Context, Incoming);
}

/// Records the request first and then delivers it, so that a copy can't run
/// again.
void deliverOnce(HandlerContext &Context, CallerDatagram &Incoming,
                 const Permit &RequestPermit) {
  State &AgentState = Context.AgentState;
  Flow *To = findOrOpenFlow(Context, Incoming);
  if (To == nullptr)
    return refuseAsNotRun(Context, Incoming, RequestPermit);
  RequestRecord *Record = addRecord(AgentState.Records, RequestPermit.Nonce,
                                    RequestPhase::Running, Context.Now);
  if (Record == nullptr)
    return refuseAsNotRun(Context, Incoming, RequestPermit);
  recordRequest(*Record, Incoming);
  Exchange Opened = makeExchange(Context, Incoming);
  Opened.Nonce = RequestPermit.Nonce;
  const auto Block = blockOption(Incoming.Message, wire::option::Block1);
  if (Block && Block->More) {
    startUpload(AgentState.Records, *Record);
    Record->Upload.NextOffset = Incoming.Message.Payload.size();
    AgentState.OpenUploads[RequestPermit.Nonce] = Opened.Deadline;
    AgentState.DeliveredBlocks.put(
        wire::datagramHash(Incoming.Header.Caller, Incoming.Datagram), true,
        Context.Now);
    Opened.UploadBlock = true;
  }
  removeRoutedOperation(Context, Incoming.Header.Caller, Record->OperationKey);
  addExchange(AgentState.Flows, *To, Opened);
  countPromise(Context, Promise::AtMostOnce, Verdict::Held);
  deliver(Context, *To, Incoming, true);
}

void handleOwnPermit(HandlerContext &Context, CallerDatagram &Incoming,
                     const Permit &RequestPermit) {
  if (const RequestRecord *Record =
          findRecord(Context.AgentState.Records, RequestPermit.Nonce))
    return handleUsedPermit(Context, Incoming, *Record);
  if (agentTimeMs(Context.AgentState, Context.Now) >= RequestPermit.ExpiryMs)
    return answerUnknown(Context, Incoming,
                         "the permit has expired and has no record");
  if (!canStart(Context, Incoming, RequestPermit))
    return refuseAsNotRun(Context, Incoming, RequestPermit);
  deliverOnce(Context, Incoming, RequestPermit);
}

/// Relays requests whose permit names another agent, and answers "unknown" if
/// that agent is gone. \returns whether the permit was issued by this agent.
bool checkPermitOwner(HandlerContext &Context, const CallerDatagram &Incoming,
                      const Permit &RequestPermit,
                      absl::Span<const std::uint8_t> Encoded) {
  const OwnerLookup Owner = lookUpOwner(Context.AgentState, RequestPermit.Owner,
                                        RequestPermit.Instance);
  switch (Owner.Status) {
  case OwnerStatus::Self:
    if (verifyPermit(Encoded, Context.AgentState.Key))
      return true;
    answerUnknown(Context, Incoming, "the MAC of the permit does not match");
    return false;
  case OwnerStatus::Other:
    updateRoute(Context, Incoming.Header.Caller, RequestPermit.Owner,
                operationKey(Incoming.Message));
    forwardToAgent(Context, Incoming, *Owner.Other, RequestPermit.Instance,
                   wire::FrameKind::Relay);
    return false;
  case OwnerStatus::Gone:
    answerUnknown(
        Context, Incoming,
        "permit names incarnation " +
            std::to_string(RequestPermit.Instance.Number) + " of upstream " +
            std::to_string(RequestPermit.Owner.Number) + ", which is gone");
    return false;
  case OwnerStatus::NotYetKnown:
    break;
  }
  countDrop(Context, DropReason::StaleConfiguration);
  return false;
}

/// Handles a block after the first one of a non-idempotent upload. libcoap
/// clients send the Echo option only with the first block, so the upload is
/// also looked up by caller and operation.
void handleUploadBlock(HandlerContext &Context, CallerDatagram &Incoming,
                       const std::optional<Permit> &RequestPermit,
                       absl::Span<const std::uint8_t> Encoded) {
  RequestRecord *Record = nullptr;
  const std::uint64_t Key = operationKey(Incoming.Message);
  if (RequestPermit) {
    if (!checkPermitOwner(Context, Incoming, *RequestPermit, Encoded))
      return;
    Record = findRecord(Context.AgentState.Records, RequestPermit->Nonce);
    if (Record == nullptr &&
        agentTimeMs(Context.AgentState, Context.Now) >= RequestPermit->ExpiryMs)
      return answerUnknown(Context, Incoming,
                           "the permit has expired and has no record");
    if (Record != nullptr && Record->OperationKey != Key)
      Record = nullptr;
  }
  if (Record == nullptr)
    Record =
        findUpload(Context.AgentState.Records, Incoming.Header.Caller, Key);
  // A probing agent that gets no Held frame would answer 4.08 although the
  // block was delivered. handleContinuation() sends that frame, so it handles
  // blocks that arrive in a probe.
  const bool Probed =
      !RequestPermit && Incoming.Header.Kind == wire::FrameKind::Probe;
  if (Record != nullptr && !Probed)
    return deliverUploadBlock(Context, Incoming, *Record);
  if (Record == nullptr && (RequestPermit || Incoming.HasOwnPath))
    return answerIncomplete(Context, Incoming);
  handleContinuation(Context, Incoming);
}

} // namespace

void handleNonIdempotent(HandlerContext &Context, CallerDatagram &Incoming) {
  const auto Echo = findOption(Incoming.Message, wire::option::Echo);
  const auto Encoded = Echo.value_or(absl::Span<const std::uint8_t>());
  const auto Read = readPermit(Encoded);
  const std::optional<Permit> RequestPermit =
      Read ? std::optional<Permit>(*Read) : std::nullopt;
  if (isUploadBlock(Incoming.Message))
    return handleUploadBlock(Context, Incoming, RequestPermit, Encoded);
  if (RequestPermit) {
    if (checkPermitOwner(Context, Incoming, *RequestPermit, Encoded))
      handleOwnPermit(Context, Incoming, *RequestPermit);
    return;
  }
  const std::uint64_t Hash =
      wire::datagramHash(Incoming.Header.Caller, Incoming.Datagram);
  const bool KnownCopy =
      Context.AgentState.IssuedPermits.find(Hash, Context.Now) != nullptr;
  const bool CannotRun = isLeaving(Context.AgentState, Incoming.HasOwnPath) ||
                         !hasFreeSlot(Context.AgentState);
  if (CannotRun && !Incoming.HasOwnPath && !KnownCopy &&
      offloadToSibling(Context, Incoming))
    return;
  // A permit is issued even if the request can't run now. The request can then
  // be refused with "not run", which requires a record and hence a permit.
  issuePermit(Context, Incoming);
}

void deliverUploadBlock(HandlerContext &Context, CallerDatagram &Incoming,
                        RequestRecord &Record) {
  State &AgentState = Context.AgentState;
  if (Record.Phase == RequestPhase::Refused)
    return answerNotRun(Context, Incoming);
  UploadProgress &Upload = Record.Upload;
  const auto Block = blockOption(Incoming.Message, wire::option::Block1);
  if (!Upload.Active || !Block)
    return answerIncomplete(Context, Incoming);
  const std::uint64_t Offset = Block->offset();
  if (Offset < Upload.NextOffset) {
    countPromise(Context, Promise::AtMostOnce, Verdict::Held);
    if (Upload.AnsweredOffset == Offset && !Record.Answer.empty())
      return resendAnswer(Context, Incoming, Record);
    return countDrop(Context, DropReason::Duplicate);
  }
  const auto Open = AgentState.OpenUploads.find(Record.Nonce);
  if (Offset > Upload.NextOffset || Open == AgentState.OpenUploads.end())
    return answerIncomplete(Context, Incoming);
  const std::uint64_t Hash =
      wire::datagramHash(Incoming.Header.Caller, Incoming.Datagram);
  if (AgentState.DeliveredBlocks.find(Hash, Context.Now) != nullptr)
    return countDrop(Context, DropReason::Duplicate);
  Flow *To = findOrOpenFlow(Context, Incoming);
  if (To == nullptr || To->Exchanges.size() >= MaxExchangesPerFlow ||
      findExchange(*To, Incoming.Message.RequestToken) != nullptr)
    return countDrop(Context, DropReason::RateLimited);
  Exchange Opened = makeExchange(Context, Incoming);
  Opened.Nonce = Record.Nonce;
  Opened.UploadBlock = true;
  Opened.BlockOffset = Offset;
  Opened.Deadline = Open->second;
  AgentState.DeliveredBlocks.put(Hash, true, Context.Now);
  Upload.NextOffset += Incoming.Message.Payload.size();
  addExchange(AgentState.Flows, *To, Opened);
  const bool HasPermit =
      readPermit(findOption(Incoming.Message, wire::option::Echo)
                     .value_or(absl::Span<const std::uint8_t>()))
          .has_value();
  deliver(Context, *To, Incoming, HasPermit);
}

} // namespace jasminearch::agent
