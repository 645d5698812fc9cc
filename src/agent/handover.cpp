#include "jasminearch/agent/handover.h"
#include "jasminearch/agent/agent_logic.h"
#include "jasminearch/control/codec.h"
#include <algorithm>
#include <nlohmann/json.hpp>

namespace jasminearch::agent {

namespace {

using nlohmann::json;

enum class PartKind : std::uint8_t {
  Head = 0,
  Flows = 1,
  Records = 2,
  Issued = 3,
  Blocks = 4,
  Routes = 5,
  End = 6,
  Configuration = 7,
};

/// Exact, because a permit must never outlive its record by rounding.
std::int64_t leftNs(TimePoint Until, TimePoint Now) {
  return std::chrono::nanoseconds(Until - Now).count();
}

TimePoint timeFrom(const json &LeftNs, TimePoint Now) {
  return Now + std::chrono::nanoseconds(LeftNs.get<std::int64_t>());
}

json endpointJson(Endpoint Of) { return json::array({Of.Address, Of.Port}); }

Endpoint endpointFrom(const json &In) {
  return {In.at(0).get<std::uint32_t>(), In.at(1).get<std::uint16_t>()};
}

json tokenJson(const wire::Token &Of) {
  return json::binary(Bytes(Of.Octets.begin(), Of.Octets.begin() + Of.Size));
}

wire::Token tokenFrom(const json &In) {
  const Bytes &Octets = In.get_binary();
  wire::Token Out;
  if (Octets.size() > Out.Octets.size())
    throw std::out_of_range("token longer than 8 bytes");
  Out.Size = static_cast<std::uint8_t>(Octets.size());
  std::copy(Octets.begin(), Octets.end(), Out.Octets.begin());
  return Out;
}

json exchangeJson(const Exchange &Of, TimePoint Now) {
  return json::array({tokenJson(Of.RequestToken), Of.MessageId, Of.Confirmable,
                      Of.Acknowledged, Of.Cancelled, Of.UploadBlock, Of.Nonce,
                      Of.OperationKey, Of.BlockOffset,
                      leftNs(Of.Deadline, Now)});
}

Exchange exchangeFrom(const json &In, TimePoint Now) {
  Exchange Out;
  Out.RequestToken = tokenFrom(In.at(0));
  Out.MessageId = In.at(1);
  Out.Confirmable = In.at(2);
  Out.Acknowledged = In.at(3);
  Out.Cancelled = In.at(4);
  Out.UploadBlock = In.at(5);
  Out.Nonce = In.at(6);
  Out.OperationKey = In.at(7);
  Out.BlockOffset = In.at(8);
  Out.Deadline = timeFrom(In.at(9), Now);
  return Out;
}

json flowJson(const Flow &Of, TimePoint Now) {
  json Exchanges = json::array();
  for (const Exchange &Open : Of.Exchanges)
    Exchanges.push_back(exchangeJson(Open, Now));
  json Lines = json::array();
  for (const Line &Open : Of.Lines)
    Lines.push_back(
        json::array({tokenJson(Open.RequestToken), Open.LastMessageId}));
  // Oldest first, so that the successor forgets them in the same order.
  json MessageIds = json::array();
  for (std::size_t At = 0; At < Of.MessageIdCount; ++At)
    MessageIds.push_back(
        Of.MessageIds[(Of.NextMessageIdPlace + RememberedMessageIds -
                       Of.MessageIdCount + At) %
                      RememberedMessageIds]);
  return json::array({endpointJson(Of.Caller), endpointJson(Of.ServiceAddress),
                      endpointJson(Of.Return), leftNs(Of.LastUsed, Now),
                      Of.LocalPort, MessageIds, Exchanges, Lines,
                      Of.Transfers});
}

void readFlow(State &Into, const json &In, TimePoint Now) {
  Flow *Made = addFlow(Into.Flows, endpointFrom(In.at(0)), Now);
  if (Made == nullptr)
    throw std::out_of_range("flow given twice, or more flows than allowed");
  Made->ServiceAddress = endpointFrom(In.at(1));
  Made->Return = endpointFrom(In.at(2));
  Made->LastUsed = timeFrom(In.at(3), Now);
  Made->LocalPort = In.at(4);
  for (const json &Id : In.at(5))
    rememberMessageId(*Made, Id.get<std::uint16_t>());
  for (const json &Open : In.at(6))
    addExchange(Into.Flows, *Made, exchangeFrom(Open, Now));
  for (const json &Open : In.at(7))
    addLine(Into.Flows, *Made,
            {tokenFrom(Open.at(0)), Open.at(1).get<std::uint16_t>()});
  for (const json &Key : In.at(8))
    rememberTransfer(*Made, Key.get<std::uint64_t>());
}

json recordJson(const State &From, const RequestRecord &Of, TimePoint Now) {
  const auto Open = From.OpenUploads.find(Of.Nonce);
  const json UploadLeft =
      Open == From.OpenUploads.end() ? json() : json(leftNs(Open->second, Now));
  const auto Latest = From.Records.Uploads.find({Of.Caller, Of.OperationKey});
  const bool IsLatest =
      Latest != From.Records.Uploads.end() && Latest->second == Of.Nonce;
  return json::array({Of.Nonce, static_cast<unsigned>(Of.Phase),
                      Of.Acknowledged, Of.ContentHash, endpointJson(Of.Caller),
                      Of.OperationKey, leftNs(Of.Expires, Now),
                      Of.Upload.Active, IsLatest, Of.Upload.NextOffset,
                      Of.Upload.AnsweredOffset, json::binary(Of.Answer),
                      UploadLeft});
}

RequestPhase phaseFrom(const json &In) {
  const auto Number = In.get<unsigned>();
  if (Number > static_cast<unsigned>(RequestPhase::Done))
    throw std::out_of_range("unknown request phase");
  return static_cast<RequestPhase>(Number);
}

void readRecord(State &Into, const json &In, TimePoint Now) {
  RequestRecord *Made = addRecord(Into.Records, In.at(0).get<std::uint64_t>(),
                                  phaseFrom(In.at(1)), Now);
  if (Made == nullptr)
    throw std::out_of_range("record given twice, or more records than allowed");
  Made->Acknowledged = In.at(2);
  Made->ContentHash = In.at(3);
  Made->Caller = endpointFrom(In.at(4));
  Made->OperationKey = In.at(5);
  Made->Expires = timeFrom(In.at(6), Now);
  Made->Upload.Active = In.at(7);
  if (In.at(8).get<bool>())
    startUpload(Into.Records, *Made);
  Made->Upload.NextOffset = In.at(9);
  Made->Upload.AnsweredOffset = In.at(10);
  storeAnswer(Into.Records, *Made, In.at(11).get_binary());
  if (!In.at(12).is_null())
    Into.OpenUploads[Made->Nonce] = timeFrom(In.at(12), Now);
}

json headJson(const State &Of, TimePoint Now) {
  json Promises = json::array();
  for (const auto &[Which, Counted] : Of.Promises)
    Promises.push_back(
        json::array({static_cast<unsigned>(Which), Counted.Held, Counted.Broken,
                     Counted.Unknown, Counted.Evidence}));
  return json::array({static_cast<unsigned>(PartKind::Head), HandoverVersion,
                      Of.Self.Number, Of.Instance.Number, Of.RunId,
                      json::binary(Bytes(Of.Key.begin(), Of.Key.end())),
                      leftNs(Now, Of.Epoch), Of.LastNonce, Of.LastMessageId,
                      Promises, Of.Drops.ByReason});
}

void readHead(State &Into, const json &In, TimePoint Now) {
  Into.Self.Number = In.at(2);
  Into.Instance.Number = In.at(3);
  Into.RunId = In.at(4);
  const Bytes &Key = In.at(5).get_binary();
  if (Key.size() != Into.Key.size())
    throw std::out_of_range("permit key of the wrong size");
  std::copy(Key.begin(), Key.end(), Into.Key.begin());
  Into.Epoch = Now - std::chrono::nanoseconds(In.at(6).get<std::int64_t>());
  Into.LastNonce = In.at(7);
  Into.LastMessageId = In.at(8);
  for (const json &Read : In.at(9)) {
    const auto Which =
        static_cast<control::Promise>(Read.at(0).get<unsigned>());
    control::PromiseCount &Counted = Into.Promises[Which];
    Counted.Which = Which;
    Counted.Held = Read.at(1);
    Counted.Broken = Read.at(2);
    Counted.Unknown = Read.at(3);
    Counted.Evidence = Read.at(4);
  }
  In.at(10).get_to(Into.Drops.ByReason);
}

json routeJson(Endpoint Caller, const Route &Of, TimePoint Expires,
               TimePoint Now) {
  json Holders = json::array();
  for (const UpstreamId Holder : Of.Holders)
    Holders.push_back(Holder.Number);
  json Operations = json::array();
  for (const auto &[Key, Holder] : Of.Operations)
    Operations.push_back(json::array({Key, Holder.Number}));
  return json::array(
      {endpointJson(Caller), Holders, Operations, leftNs(Expires, Now)});
}

void readRoute(State &Into, const json &In, TimePoint Now) {
  Route Read;
  for (const json &Holder : In.at(1))
    Read.Holders.push_back(UpstreamId{Holder.get<std::uint32_t>()});
  for (const json &Entry : In.at(2))
    Read.Operations.emplace_back(Entry.at(0).get<std::uint64_t>(),
                                 UpstreamId{Entry.at(1).get<std::uint32_t>()});
  Into.Routes.putUntil(endpointFrom(In.at(0)), std::move(Read),
                       timeFrom(In.at(3), Now), Now);
}

void readIssued(State &Into, const json &In, TimePoint Now) {
  const Permit Value{Into.Self, Into.Instance, In.at(1).get<std::uint64_t>(),
                     In.at(2).get<std::uint64_t>()};
  Into.Issued.putUntil(In.at(0).get<std::uint64_t>(), {Value},
                       timeFrom(In.at(3), Now), Now);
}

/// Collects items and cuts them into parts.
class PartWriter {
public:
  PartWriter(PartKind Kind, std::vector<Bytes> &Out) : Kind(Kind), Out(Out) {}

  void add(json Item) {
    Items.push_back(std::move(Item));
    if (Items.size() >= ItemsPerPart)
      flush();
  }

  void flush() {
    if (Items.empty())
      return;
    Out.push_back(json::to_cbor(
        json::array({static_cast<unsigned>(Kind), std::move(Items)})));
    Items = json::array();
  }

private:
  PartKind Kind;
  std::vector<Bytes> &Out;
  json Items = json::array();
};

void writeFlows(const State &From, TimePoint Now, std::vector<Bytes> &Out) {
  PartWriter Parts(PartKind::Flows, Out);
  for (const FlowsByUse *List : {&From.Flows.PlainFlows, &From.Flows.LineFlows})
    for (const Flow &Of : *List)
      Parts.add(flowJson(Of, Now));
  Parts.flush();
}

void writeRecords(const State &From, TimePoint Now, std::vector<Bytes> &Out) {
  PartWriter Parts(PartKind::Records, Out);
  for (const RequestRecord &Of : From.Records.ByAge)
    Parts.add(recordJson(From, Of, Now));
  Parts.flush();
}

void writeMemories(const State &From, TimePoint Now, std::vector<Bytes> &Out) {
  PartWriter Issued(PartKind::Issued, Out);
  From.Issued.forEach(
      [&](std::uint64_t Hash, const IssuedPermit &Of, TimePoint Expires) {
        Issued.add(json::array(
            {Hash, Of.Value.Nonce, Of.Value.ExpiryMs, leftNs(Expires, Now)}));
      });
  Issued.flush();
  PartWriter Blocks(PartKind::Blocks, Out);
  From.DeliveredBlocks.forEach(
      [&](std::uint64_t Hash, bool, TimePoint Expires) {
        Blocks.add(json::array({Hash, leftNs(Expires, Now)}));
      });
  Blocks.flush();
  PartWriter Routes(PartKind::Routes, Out);
  From.Routes.forEach([&](Endpoint Caller, const Route &Of, TimePoint Expires) {
    Routes.add(routeJson(Caller, Of, Expires, Now));
  });
  Routes.flush();
}

void readItem(State &Into, PartKind Kind, const json &Item, TimePoint Now) {
  switch (Kind) {
  case PartKind::Flows:
    return readFlow(Into, Item, Now);
  case PartKind::Records:
    return readRecord(Into, Item, Now);
  case PartKind::Issued:
    return readIssued(Into, Item, Now);
  case PartKind::Blocks:
    Into.DeliveredBlocks.putUntil(Item.at(0).get<std::uint64_t>(), true,
                                  timeFrom(Item.at(1), Now), Now);
    return;
  case PartKind::Routes:
    return readRoute(Into, Item, Now);
  case PartKind::Head:
  case PartKind::Configuration:
  case PartKind::End:
    break;
  }
  throw std::out_of_range("unknown part");
}

void readPart(State &Into, HandoverProgress &Progress, const json &In,
              TimePoint Now) {
  const auto Kind = static_cast<PartKind>(In.at(0).get<unsigned>());
  if ((Kind == PartKind::Head) != (Progress.PartsSeen == 0))
    throw std::out_of_range("part out of order");
  if (Kind == PartKind::Head)
    return readHead(Into, In, Now);
  if (Kind == PartKind::Configuration) {
    const auto Read = std::make_shared<const control::Configuration>(
        In.at(1).get<control::Configuration>());
    handle(Into, ConfigurationChanged{Read}, Now);
    handle(Into, Announced{Into.Self, Into.Instance}, Now);
    return;
  }
  if (Kind == PartKind::End) {
    if (In.at(1).get<std::size_t>() != Progress.PartsSeen)
      throw std::out_of_range("parts are missing");
    Progress.Complete = true;
    return;
  }
  for (const json &Item : In.at(1))
    readItem(Into, Kind, Item, Now);
}

} // namespace

std::vector<Bytes> encodeHandover(State &Current, TimePoint Now) {
  Current.Latest = std::max(Current.Latest, Now);
  Current.HandedOver = true;
  std::vector<Bytes> Out;
  Out.push_back(json::to_cbor(headJson(Current, Current.Latest)));
  if (Current.Config != nullptr)
    Out.push_back(json::to_cbor(
        json::array({static_cast<unsigned>(PartKind::Configuration),
                     json(*Current.Config)})));
  writeFlows(Current, Current.Latest, Out);
  writeRecords(Current, Current.Latest, Out);
  writeMemories(Current, Current.Latest, Out);
  Out.push_back(json::to_cbor(
      json::array({static_cast<unsigned>(PartKind::End), Out.size()})));
  return Out;
}

Expected<void> applyHandoverPart(State &Into, HandoverProgress &Progress,
                                 const Bytes &Part, TimePoint Now) {
  try {
    const json In = json::from_cbor(Part);
    if (Progress.PartsSeen == 0 && In.at(1).get<unsigned>() != HandoverVersion)
      return fail(ErrorCode::TakeOverRefused,
                  "the predecessor hands over in another version");
    readPart(Into, Progress, In, Now);
    ++Progress.PartsSeen;
    return {};
  } catch (const std::exception &Failure) {
    return fail(ErrorCode::MessageMalformed,
                std::string("hand-over part: ") + Failure.what());
  }
}

} // namespace jasminearch::agent
