#include "step.h"

namespace jasminearch::agent {

namespace {

using control::Promise;
using wire::CoapMessage;
using wire::CoapType;

void answerUnknown(Step &In, const Arrival &What, const std::string &Evidence) {
  count(In, Promise::AtMostOnce, Verdict::Unknown, Evidence);
  sendToCaller(
      In, What.Header,
      buildGatewayTimeout(What.Message, UnknownPayload, nextMessageId(In)));
}

/// Says "not run". Only for requests that are recorded as refused.
void answerNotRun(Step &In, const Arrival &What) {
  count(In, Promise::NotRunIsTrue, Verdict::Held);
  sendToCaller(In, What.Header,
               buildServiceUnavailable(What.Message, RetryHint, NotRunPayload,
                                       nextMessageId(In)));
}

void answerIncomplete(Step &In, const Arrival &What) {
  sendToCaller(In, What.Header,
               buildEntityIncomplete(What.Message, nextMessageId(In)));
}

void issuePermit(Step &In, const Arrival &What) {
  State &S = In.S;
  const std::uint64_t Hash =
      wire::datagramHash(What.Header.Caller, What.Datagram);
  const IssuedPermit *Known = S.Issued.find(Hash, In.Now);
  if (Known == nullptr) {
    const Permit New{S.Self, S.Instance, ++S.LastNonce,
                     agentTimeMs(S, In.Now + PermitLifetime)};
    Known = &S.Issued.put(Hash, {New}, In.Now);
  }
  const EncodedPermit Encoded = encodePermit(Known->Value, S.Key);
  sendToCaller(In, What.Header,
               buildPermitRequired(What.Message, Encoded, nextMessageId(In)));
}

bool isLeaving(const State &S, bool Owned) {
  return S.Stopping || S.UpstreamGone || (S.Draining && !Owned);
}

/// Sends the stored response to a copy, under the copy's message id and token.
void resendAnswer(Step &In, const Arrival &Copy, const RequestRecord &Of) {
  const auto Stored = wire::parseCoap(Of.Answer);
  if (!Stored)
    return answerUnknown(In, Copy, "the recorded response is no longer held");
  if (Stored->isEmpty())
    return sendToCaller(
        In, Copy.Header,
        buildEmptyMessage(Stored->Type, Copy.Message.MessageId));
  CoapMessage Again =
      makeResponse(Copy.Message, Stored->Code, nextMessageId(In));
  Again.Options = Stored->Options;
  Again.Payload = Stored->Payload;
  if (const auto Built = buildCoap(Again))
    sendToCaller(In, Copy.Header, *Built);
}

void handleRunningCopy(Step &In, const Arrival &What,
                       const RequestRecord &Record) {
  const UploadProgress &Upload = Record.Upload;
  const bool OnlyFirstBlock = Upload.NextOffset == What.Message.Payload.size();
  if (Upload.Active && OnlyFirstBlock && !Record.Answer.empty())
    return resendAnswer(In, What, Record);
  drop(In, DropReason::Duplicate);
  if (Record.Acknowledged && What.Message.Type == CoapType::Confirmable)
    sendToCaller(
        In, What.Header,
        buildEmptyMessage(CoapType::Acknowledgement, What.Message.MessageId));
}

/// A request under a permit that was used before.
void handleCopy(Step &In, const Arrival &What, const RequestRecord &Record) {
  if (Record.ContentHash != contentHash(What.Message))
    // Another request that carries the same Echo, as libcoap's clients send
    // when a request follows one that was answered 4.01. It was never
    // delivered, so it may have a permit of its own.
    return issuePermit(In, What);
  if (Record.Phase == RequestPhase::Refused)
    return answerNotRun(In, What);
  count(In, Promise::AtMostOnce, Verdict::Held);
  if (Record.Phase == RequestPhase::Running)
    return handleRunningCopy(In, What, Record);
  if (Record.Upload.Active)
    return drop(In, DropReason::Duplicate);
  resendAnswer(In, What, Record);
}

bool deadlinePassed(const State &S, const Permit &Of, TimePoint Now) {
  const std::uint64_t LifetimeMs =
      std::chrono::milliseconds(PermitLifetime).count();
  const std::uint64_t IssuedMs = Of.ExpiryMs - LifetimeMs;
  const auto DeadlineMs =
      static_cast<std::uint64_t>(S.Treatment.Deadline.count());
  return agentTimeMs(S, Now) > IssuedMs + DeadlineMs;
}

/// Whether the upstream may start work on a request with a fresh permit.
bool mayRun(Step &In, const Arrival &What, const Permit &Under) {
  const State &S = In.S;
  if (isLeaving(S, What.Owned)) {
    count(In, Promise::NoWorkWhenLeaving, Verdict::Held);
    return false;
  }
  Flow *Known = findFlow(In.S.Flows, What.Header.Caller);
  const bool TokenInUse =
      Known != nullptr &&
      (findExchange(*Known, What.Message.RequestToken) != nullptr ||
       Known->Exchanges.size() >= MaxExchangesPerFlow);
  return hasFreeSlot(S) && !TokenInUse && !deadlinePassed(S, Under, In.Now);
}

void recordRequest(RequestRecord &Record, const Arrival &What) {
  Record.ContentHash = contentHash(What.Message);
  Record.Caller = What.Header.Caller;
  Record.OperationKey = operationKey(What.Message);
}

void refuse(Step &In, const Arrival &What, const Permit &Under) {
  RequestRecord *Record =
      addRecord(In.S.Records, Under.Nonce, RequestPhase::Refused, In.Now);
  if (Record == nullptr)
    // Without a record a later copy could still run.
    return sendToCaller(In, What.Header,
                        buildServiceUnavailable(What.Message, RetryHint,
                                                UnknownPayload,
                                                nextMessageId(In)));
  recordRequest(*Record, What);
  answerNotRun(In, What);
}

/// Records the request and delivers it, in this order.
void runOnce(Step &In, Arrival &What, const Permit &Under) {
  State &S = In.S;
  Flow *To = flowFor(In, What);
  if (To == nullptr)
    return refuse(In, What, Under);
  RequestRecord *Record =
      addRecord(S.Records, Under.Nonce, RequestPhase::Running, In.Now);
  if (Record == nullptr)
    return refuse(In, What, Under);
  recordRequest(*Record, What);
  Exchange Opened = exchangeFor(In, What);
  Opened.Nonce = Under.Nonce;
  const auto Block = blockOption(What.Message, wire::option::Block1);
  if (Block && Block->More) {
    startUpload(S.Records, *Record);
    Record->Upload.NextOffset = What.Message.Payload.size();
    S.OpenUploads[Under.Nonce] = Opened.Deadline;
    S.DeliveredBlocks.put(wire::datagramHash(What.Header.Caller, What.Datagram),
                          true, In.Now);
    Opened.UploadBlock = true;
  }
  forgetRoute(In, What.Header.Caller, Record->OperationKey);
  addExchange(S.Flows, *To, Opened);
  count(In, Promise::AtMostOnce, Verdict::Held);
  deliver(In, *To, What, true);
}

void handleOwnPermit(Step &In, Arrival &What, const Permit &Under) {
  if (const RequestRecord *Record = findRecord(In.S.Records, Under.Nonce))
    return handleCopy(In, What, *Record);
  if (agentTimeMs(In.S, In.Now) >= Under.ExpiryMs)
    return answerUnknown(In, What, "permit expired and has no record");
  if (!mayRun(In, What, Under))
    return refuse(In, What, Under);
  runOnce(In, What, Under);
}

/// Handles requests whose permit names another agent or a lost one. \returns
/// whether the permit is this agent's own, and genuine.
bool permitIsOwn(Step &In, const Arrival &What, const Permit &Under,
                 absl::Span<const std::uint8_t> Encoded) {
  const OwnerLookup Owner = lookUpOwner(In.S, Under.Owner, Under.Instance);
  switch (Owner.Status) {
  case OwnerStatus::Self:
    if (verifyPermit(Encoded, In.S.Key))
      return true;
    answerUnknown(In, What, "permit with a wrong MAC");
    return false;
  case OwnerStatus::Other:
    rememberRoute(In, What.Header.Caller, Under.Owner,
                  operationKey(What.Message));
    passOn(In, What, *Owner.Other, Under.Instance, wire::FrameKind::Relay);
    return false;
  case OwnerStatus::Gone:
    answerUnknown(In, What,
                  "permit names incarnation " +
                      std::to_string(Under.Instance.Number) + " of upstream " +
                      std::to_string(Under.Owner.Number) + ", which is gone");
    return false;
  case OwnerStatus::NotYetKnown:
    break;
  }
  drop(In, DropReason::StaleConfiguration);
  return false;
}

/// A block above 0 of a non-idempotent upload. libcoap's clients send the Echo
/// only with the first block, so that the upload is also found by caller and
/// operation.
void handleUploadBlock(Step &In, Arrival &What,
                       const std::optional<Permit> &Under,
                       absl::Span<const std::uint8_t> Encoded) {
  RequestRecord *Record = nullptr;
  const std::uint64_t Key = operationKey(What.Message);
  if (Under) {
    if (!permitIsOwn(In, What, *Under, Encoded))
      return;
    Record = findRecord(In.S.Records, Under->Nonce);
    if (Record == nullptr && agentTimeMs(In.S, In.Now) >= Under->ExpiryMs)
      return answerUnknown(In, What, "permit expired and has no record");
    if (Record != nullptr && Record->OperationKey != Key)
      Record = nullptr;
  }
  if (Record == nullptr)
    Record = findUpload(In.S.Records, What.Header.Caller, Key);
  // A prober that gets no Held frame answers 4.08 although the block has been
  // delivered, so handleMidFlow takes the blocks that arrive in a probe.
  const bool Probed = !Under && What.Header.Kind == wire::FrameKind::Probe;
  if (Record != nullptr && !Probed)
    return deliverUploadBlock(In, What, *Record);
  if (Record == nullptr && (Under || What.Owned))
    return answerIncomplete(In, What);
  handleMidFlow(In, What);
}

} // namespace

void handleNonIdempotent(Step &In, Arrival &What) {
  const auto Echo = findOption(What.Message, wire::option::Echo);
  const auto Encoded = Echo.value_or(absl::Span<const std::uint8_t>());
  const auto Read = readPermit(Encoded);
  const std::optional<Permit> Under =
      Read ? std::optional<Permit>(*Read) : std::nullopt;
  if (isUploadBlock(What.Message))
    return handleUploadBlock(In, What, Under, Encoded);
  if (Under) {
    if (permitIsOwn(In, What, *Under, Encoded))
      handleOwnPermit(In, What, *Under);
    return;
  }
  const std::uint64_t Hash =
      wire::datagramHash(What.Header.Caller, What.Datagram);
  const bool KnownCopy = In.S.Issued.find(Hash, In.Now) != nullptr;
  const bool CannotRun = isLeaving(In.S, What.Owned) || !hasFreeSlot(In.S);
  if (CannotRun && !What.Owned && !KnownCopy && offload(In, What))
    return;
  // Even a full agent issues a permit and refuses under it: "not run" needs a
  // record, and a record needs a permit.
  issuePermit(In, What);
}

void deliverUploadBlock(Step &In, Arrival &What, RequestRecord &Record) {
  State &S = In.S;
  if (Record.Phase == RequestPhase::Refused)
    return answerNotRun(In, What);
  UploadProgress &Upload = Record.Upload;
  const auto Block = blockOption(What.Message, wire::option::Block1);
  if (!Upload.Active || !Block)
    return answerIncomplete(In, What);
  const std::uint64_t Offset = Block->offset();
  if (Offset < Upload.NextOffset) {
    count(In, Promise::AtMostOnce, Verdict::Held);
    if (Upload.AnsweredOffset == Offset && !Record.Answer.empty())
      return resendAnswer(In, What, Record);
    return drop(In, DropReason::Duplicate);
  }
  const auto Open = S.OpenUploads.find(Record.Nonce);
  if (Offset > Upload.NextOffset || Open == S.OpenUploads.end())
    return answerIncomplete(In, What);
  const std::uint64_t Hash =
      wire::datagramHash(What.Header.Caller, What.Datagram);
  if (S.DeliveredBlocks.find(Hash, In.Now) != nullptr)
    return drop(In, DropReason::Duplicate);
  Flow *To = flowFor(In, What);
  if (To == nullptr || To->Exchanges.size() >= MaxExchangesPerFlow ||
      findExchange(*To, What.Message.RequestToken) != nullptr)
    return drop(In, DropReason::RateLimited);
  Exchange Opened = exchangeFor(In, What);
  Opened.Nonce = Record.Nonce;
  Opened.UploadBlock = true;
  Opened.BlockOffset = Offset;
  Opened.Deadline = Open->second;
  S.DeliveredBlocks.put(Hash, true, In.Now);
  Upload.NextOffset += What.Message.Payload.size();
  addExchange(S.Flows, *To, Opened);
  const bool HasPermit =
      readPermit(findOption(What.Message, wire::option::Echo)
                     .value_or(absl::Span<const std::uint8_t>()))
          .has_value();
  deliver(In, *To, What, HasPermit);
}

} // namespace jasminearch::agent
