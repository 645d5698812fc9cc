#include "jasminearch/agent/handover.h"
#include "jasminearch/agent/agent_logic.h"
#include "jasminearch/control/codec.h"
#include <algorithm>
#include <nlohmann/json.hpp>

namespace jasminearch::agent {

namespace {

using nlohmann::json;

enum class PartKind : std::uint8_t {
  Header = 0,
  Flows = 1,
  Records = 2,
  IssuedPermits = 3,
  DeliveredBlocks = 4,
  Routes = 5,
  End = 6,
  Configuration = 7,
};

/// In nanoseconds, because rounding could let a permit outlive its record.
std::int64_t remainingNs(TimePoint End, TimePoint Now) {
  return std::chrono::nanoseconds(End - Now).count();
}

TimePoint decodeTime(const json &Remaining, TimePoint Now) {
  return Now + std::chrono::nanoseconds(Remaining.get<std::int64_t>());
}

json encodeEndpoint(Endpoint Source) {
  return json::array({Source.Address, Source.Port});
}

Endpoint decodeEndpoint(const json &Encoded) {
  return {Encoded.at(0).get<std::uint32_t>(),
          Encoded.at(1).get<std::uint16_t>()};
}

json encodeToken(const wire::Token &Source) {
  return json::binary(
      Bytes(Source.Octets.begin(), Source.Octets.begin() + Source.Size));
}

wire::Token decodeToken(const json &Encoded) {
  const Bytes &Octets = Encoded.get_binary();
  wire::Token Out;
  if (Octets.size() > Out.Octets.size())
    throw std::out_of_range("token is longer than 8 bytes");
  Out.Size = static_cast<std::uint8_t>(Octets.size());
  std::copy(Octets.begin(), Octets.end(), Out.Octets.begin());
  return Out;
}

json encodeExchange(const Exchange &Source, TimePoint Now) {
  return json::array({encodeToken(Source.RequestToken), Source.MessageId,
                      Source.Confirmable, Source.Acknowledged, Source.Cancelled,
                      Source.UploadBlock, Source.Nonce, Source.OperationKey,
                      Source.BlockOffset, remainingNs(Source.Deadline, Now)});
}

Exchange decodeExchange(const json &Encoded, TimePoint Now) {
  Exchange Out;
  Out.RequestToken = decodeToken(Encoded.at(0));
  Out.MessageId = Encoded.at(1);
  Out.Confirmable = Encoded.at(2);
  Out.Acknowledged = Encoded.at(3);
  Out.Cancelled = Encoded.at(4);
  Out.UploadBlock = Encoded.at(5);
  Out.Nonce = Encoded.at(6);
  Out.OperationKey = Encoded.at(7);
  Out.BlockOffset = Encoded.at(8);
  Out.Deadline = decodeTime(Encoded.at(9), Now);
  return Out;
}

json encodeFlow(const Flow &Source, TimePoint Now) {
  json Exchanges = json::array();
  for (const Exchange &Open : Source.Exchanges)
    Exchanges.push_back(encodeExchange(Open, Now));
  json Lines = json::array();
  for (const Line &Open : Source.Lines)
    Lines.push_back(
        json::array({encodeToken(Open.RequestToken), Open.LastMessageId}));
  // Oldest first, so that the successor replaces them in the same order.
  json MessageIds = json::array();
  for (std::size_t Index = 0; Index < Source.MessageIdCount; ++Index)
    MessageIds.push_back(
        Source.MessageIds[(Source.NextMessageIdIndex + MaxMessageIdsPerFlow -
                           Source.MessageIdCount + Index) %
                          MaxMessageIdsPerFlow]);
  return json::array(
      {encodeEndpoint(Source.Caller), encodeEndpoint(Source.ServiceAddress),
       encodeEndpoint(Source.Return), remainingNs(Source.LastUsed, Now),
       Source.LocalPort, MessageIds, Exchanges, Lines, Source.Transfers});
}

void decodeFlow(State &Target, const json &Encoded, TimePoint Now) {
  Flow *Added = addFlow(Target.Flows, decodeEndpoint(Encoded.at(0)), Now);
  if (Added == nullptr)
    throw std::out_of_range(
        "duplicate flow, or more flows than the flow table can hold");
  Added->ServiceAddress = decodeEndpoint(Encoded.at(1));
  Added->Return = decodeEndpoint(Encoded.at(2));
  Added->LastUsed = decodeTime(Encoded.at(3), Now);
  Added->LocalPort = Encoded.at(4);
  for (const json &Id : Encoded.at(5))
    addMessageId(*Added, Id.get<std::uint16_t>());
  for (const json &Open : Encoded.at(6))
    addExchange(Target.Flows, *Added, decodeExchange(Open, Now));
  for (const json &Open : Encoded.at(7))
    addLine(Target.Flows, *Added,
            {decodeToken(Open.at(0)), Open.at(1).get<std::uint16_t>()});
  for (const json &Key : Encoded.at(8))
    addTransfer(*Added, Key.get<std::uint64_t>());
}

json encodeRecord(const State &AgentState, const RequestRecord &Value,
                  TimePoint Now) {
  const auto Open = AgentState.OpenUploads.find(Value.Nonce);
  const json UploadLeft = Open == AgentState.OpenUploads.end()
                              ? json()
                              : json(remainingNs(Open->second, Now));
  const auto Latest =
      AgentState.Records.Uploads.find({Value.Caller, Value.OperationKey});
  const bool IsLatest = Latest != AgentState.Records.Uploads.end() &&
                        Latest->second == Value.Nonce;
  return json::array(
      {Value.Nonce, static_cast<unsigned>(Value.Phase), Value.Acknowledged,
       Value.ContentHash, encodeEndpoint(Value.Caller), Value.OperationKey,
       remainingNs(Value.Expires, Now), Value.Upload.Active, IsLatest,
       Value.Upload.NextOffset, Value.Upload.AnsweredOffset,
       json::binary(Value.Answer), UploadLeft});
}

RequestPhase decodePhase(const json &Encoded) {
  const auto Number = Encoded.get<unsigned>();
  if (Number > static_cast<unsigned>(RequestPhase::Done))
    throw std::out_of_range("unknown request phase; expected 0 to 2");
  return static_cast<RequestPhase>(Number);
}

void decodeRecord(State &Target, const json &Encoded, TimePoint Now) {
  RequestRecord *Added =
      addRecord(Target.Records, Encoded.at(0).get<std::uint64_t>(),
                decodePhase(Encoded.at(1)), Now);
  if (Added == nullptr)
    throw std::out_of_range(
        "duplicate request record, or more records than allowed");
  Added->Acknowledged = Encoded.at(2);
  Added->ContentHash = Encoded.at(3);
  Added->Caller = decodeEndpoint(Encoded.at(4));
  Added->OperationKey = Encoded.at(5);
  Added->Expires = decodeTime(Encoded.at(6), Now);
  Added->Upload.Active = Encoded.at(7);
  if (Encoded.at(8).get<bool>())
    startUpload(Target.Records, *Added);
  Added->Upload.NextOffset = Encoded.at(9);
  Added->Upload.AnsweredOffset = Encoded.at(10);
  storeAnswer(Target.Records, *Added, Encoded.at(11).get_binary());
  if (!Encoded.at(12).is_null())
    Target.OpenUploads[Added->Nonce] = decodeTime(Encoded.at(12), Now);
}

json encodeHeader(const State &Source, TimePoint Now) {
  json Promises = json::array();
  for (const auto &[Which, Counted] : Source.Promises)
    Promises.push_back(
        json::array({static_cast<unsigned>(Which), Counted.Held, Counted.Broken,
                     Counted.Unknown, Counted.Evidence}));
  return json::array({static_cast<unsigned>(PartKind::Header), HandoverVersion,
                      Source.Self.Number, Source.Instance.Number, Source.RunId,
                      json::binary(Bytes(Source.Key.begin(), Source.Key.end())),
                      remainingNs(Now, Source.Epoch), Source.LastNonce,
                      Source.LastMessageId, Promises, Source.Drops.ByReason});
}

void decodeHeader(State &Target, const json &Encoded, TimePoint Now) {
  Target.Self.Number = Encoded.at(2);
  Target.Instance.Number = Encoded.at(3);
  Target.RunId = Encoded.at(4);
  const Bytes &Key = Encoded.at(5).get_binary();
  if (Key.size() != Target.Key.size())
    throw std::out_of_range("wrong size of the permit key; expected 32 bytes");
  std::copy(Key.begin(), Key.end(), Target.Key.begin());
  Target.Epoch =
      Now - std::chrono::nanoseconds(Encoded.at(6).get<std::int64_t>());
  Target.LastNonce = Encoded.at(7);
  Target.LastMessageId = Encoded.at(8);
  for (const json &Read : Encoded.at(9)) {
    const auto Which =
        static_cast<control::Promise>(Read.at(0).get<unsigned>());
    control::PromiseCount &Counted = Target.Promises[Which];
    Counted.Which = Which;
    Counted.Held = Read.at(1);
    Counted.Broken = Read.at(2);
    Counted.Unknown = Read.at(3);
    Counted.Evidence = Read.at(4);
  }
  Encoded.at(10).get_to(Target.Drops.ByReason);
}

json encodeRoute(Endpoint Caller, const Route &Source, TimePoint Expires,
                 TimePoint Now) {
  json Holders = json::array();
  for (const UpstreamId Holder : Source.Holders)
    Holders.push_back(Holder.Number);
  json Operations = json::array();
  for (const auto &[Key, Holder] : Source.Operations)
    Operations.push_back(json::array({Key, Holder.Number}));
  return json::array(
      {encodeEndpoint(Caller), Holders, Operations, remainingNs(Expires, Now)});
}

void decodeRoute(State &Target, const json &Encoded, TimePoint Now) {
  Route Read;
  for (const json &Holder : Encoded.at(1))
    Read.Holders.push_back(UpstreamId{Holder.get<std::uint32_t>()});
  for (const json &Entry : Encoded.at(2))
    Read.Operations.emplace_back(Entry.at(0).get<std::uint64_t>(),
                                 UpstreamId{Entry.at(1).get<std::uint32_t>()});
  Target.Routes.putUntil(decodeEndpoint(Encoded.at(0)), std::move(Read),
                         decodeTime(Encoded.at(3), Now), Now);
}

void decodeIssuedPermit(State &Target, const json &Encoded, TimePoint Now) {
  const Permit Value{Target.Self, Target.Instance,
                     Encoded.at(1).get<std::uint64_t>(),
                     Encoded.at(2).get<std::uint64_t>()};
  Target.IssuedPermits.putUntil(Encoded.at(0).get<std::uint64_t>(), {Value},
                                decodeTime(Encoded.at(3), Now), Now);
}

/// Splits a sequence of items into parts of at most ItemsPerPart items.
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

void writeFlows(const State &AgentState, TimePoint Now,
                std::vector<Bytes> &Out) {
  PartWriter Parts(PartKind::Flows, Out);
  for (const FlowList *List :
       {&AgentState.Flows.PlainFlows, &AgentState.Flows.LineFlows})
    for (const Flow &Source : *List)
      Parts.add(encodeFlow(Source, Now));
  Parts.flush();
}

void writeRecords(const State &AgentState, TimePoint Now,
                  std::vector<Bytes> &Out) {
  PartWriter Parts(PartKind::Records, Out);
  for (const RequestRecord &Source : AgentState.Records.ByAge)
    Parts.add(encodeRecord(AgentState, Source, Now));
  Parts.flush();
}

void writeExpiringMaps(const State &AgentState, TimePoint Now,
                       std::vector<Bytes> &Out) {
  PartWriter IssuedPermits(PartKind::IssuedPermits, Out);
  AgentState.IssuedPermits.forEach(
      [&](std::uint64_t Hash, const IssuedPermit &Source, TimePoint Expires) {
        IssuedPermits.add(
            json::array({Hash, Source.Value.Nonce, Source.Value.ExpiryMs,
                         remainingNs(Expires, Now)}));
      });
  IssuedPermits.flush();
  PartWriter DeliveredBlocks(PartKind::DeliveredBlocks, Out);
  AgentState.DeliveredBlocks.forEach(
      [&](std::uint64_t Hash, bool, TimePoint Expires) {
        DeliveredBlocks.add(json::array({Hash, remainingNs(Expires, Now)}));
      });
  DeliveredBlocks.flush();
  PartWriter Routes(PartKind::Routes, Out);
  AgentState.Routes.forEach(
      [&](Endpoint Caller, const Route &Source, TimePoint Expires) {
        Routes.add(encodeRoute(Caller, Source, Expires, Now));
      });
  Routes.flush();
}

void decodeItem(State &Target, PartKind Kind, const json &Item, TimePoint Now) {
  switch (Kind) {
  case PartKind::Flows:
    return decodeFlow(Target, Item, Now);
  case PartKind::Records:
    return decodeRecord(Target, Item, Now);
  case PartKind::IssuedPermits:
    return decodeIssuedPermit(Target, Item, Now);
  case PartKind::DeliveredBlocks:
    Target.DeliveredBlocks.putUntil(Item.at(0).get<std::uint64_t>(), true,
                                    decodeTime(Item.at(1), Now), Now);
    return;
  case PartKind::Routes:
    return decodeRoute(Target, Item, Now);
  case PartKind::Header:
  case PartKind::Configuration:
  case PartKind::End:
    break;
  }
  throw std::out_of_range("unknown kind of part");
}

void decodePart(State &Target, HandoverProgress &Progress, const json &Encoded,
                TimePoint Now) {
  const auto Kind = static_cast<PartKind>(Encoded.at(0).get<unsigned>());
  if ((Kind == PartKind::Header) != (Progress.PartsSeen == 0))
    throw std::out_of_range(
        "the header must be the first part and occur only once");
  if (Kind == PartKind::Header)
    return decodeHeader(Target, Encoded, Now);
  if (Kind == PartKind::Configuration) {
    const auto Read = std::make_shared<const control::Configuration>(
        Encoded.at(1).get<control::Configuration>());
    handle(Target, ConfigurationChanged{Read}, Now);
    handle(Target, Announced{Target.Self, Target.Instance}, Now);
    return;
  }
  if (Kind == PartKind::End) {
    if (Encoded.at(1).get<std::size_t>() != Progress.PartsSeen)
      throw std::out_of_range(
          "number of parts differs from the number in the last part");
    Progress.Complete = true;
    return;
  }
  for (const json &Item : Encoded.at(1))
    decodeItem(Target, Kind, Item, Now);
}

} // namespace

std::vector<Bytes> encodeHandover(State &AgentState, TimePoint Now) {
  AgentState.LatestTime = std::max(AgentState.LatestTime, Now);
  AgentState.HandedOver = true;
  std::vector<Bytes> Out;
  Out.push_back(json::to_cbor(encodeHeader(AgentState, AgentState.LatestTime)));
  if (AgentState.Config != nullptr)
    Out.push_back(json::to_cbor(
        json::array({static_cast<unsigned>(PartKind::Configuration),
                     json(*AgentState.Config)})));
  writeFlows(AgentState, AgentState.LatestTime, Out);
  writeRecords(AgentState, AgentState.LatestTime, Out);
  writeExpiringMaps(AgentState, AgentState.LatestTime, Out);
  Out.push_back(json::to_cbor(
      json::array({static_cast<unsigned>(PartKind::End), Out.size()})));
  return Out;
}

Expected<void> applyHandoverPart(State &Target, HandoverProgress &Progress,
                                 const Bytes &Part, TimePoint Now) {
  const auto Decoded = control::parseCbor(Part);
  if (!Decoded)
    return tl::unexpected(Decoded.error());
  const json &Encoded = *Decoded;
  try {
    if (Progress.PartsSeen == 0 &&
        Encoded.at(1).get<unsigned>() != HandoverVersion)
      return fail(ErrorCode::TakeOverRefused,
                  "the predecessor uses an unsupported version of the "
                  "hand-over encoding");
    decodePart(Target, Progress, Encoded, Now);
    ++Progress.PartsSeen;
    return {};
  } catch (const std::exception &Failure) {
    return fail(ErrorCode::MessageMalformed,
                std::string("hand-over part: ") + Failure.what());
  }
}

} // namespace jasminearch::agent
