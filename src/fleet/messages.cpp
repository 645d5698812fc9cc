#include "jasminearch/fleet/messages.h"
#include "jasminearch/cbor_input.h"
#include "jasminearch/compress.h"
#include <nlohmann/json.hpp>
#include <utility>

namespace jasminearch::fleet {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

/// Nested arrays of the deepest message: an agent's endpoint in a list of
/// agents, and a target in a table of routes.
constexpr unsigned MaxNestingDepth = 5;

/// Maximum size of a decompressed table: about 100,000 routes.
constexpr std::size_t MaxTableBytes = 16U << 20U;

/// Maximum size of an operator's document.
constexpr std::size_t MaxDocumentBytes = 64U << 20U;

/// Reads the elements of a JSON array in order.
class ArrayReader {
public:
  explicit ArrayReader(const json &Source) : Source(Source) {
    if (!Source.is_array())
      throw json::type_error::create(302, "expected an array", &Source);
  }

  template <typename T> T next() { return Source.at(Index++).get<T>(); }
  const json &element() { return Source.at(Index++); }
  /// \returns whether elements are left. Earlier versions sent fewer.
  bool more() const { return Index < Source.size(); }
  milliseconds time() { return milliseconds(next<std::int64_t>()); }

private:
  const json &Source;
  std::size_t Index = 0;
};

json toJson(const Endpoint &E) { return json::array({E.Address, E.Port}); }

Endpoint toEndpoint(const json &J) {
  ArrayReader R(J);
  Endpoint E;
  E.Address = R.next<std::uint32_t>();
  E.Port = R.next<std::uint16_t>();
  return E;
}

json toJson(const flow::Route &Value) {
  json Targets = json::array();
  for (const flow::RouteTarget &T : Value.Targets)
    Targets.push_back(json::array({T.Service, T.Weight}));
  json Encoded = json::array({Value.Name, toJson(Value.Address),
                              static_cast<unsigned>(Value.Kind),
                              std::move(Targets), Value.Timeout.count(),
                              Value.LatencyObjective.count(), Value.Priority});
  if (!Value.AllowedRegions.empty())
    Encoded.push_back(Value.AllowedRegions);
  return Encoded;
}

flow::Route toRoute(const json &J) {
  ArrayReader R(J);
  flow::Route Value;
  Value.Name = R.next<std::string>();
  Value.Address = toEndpoint(R.element());
  const auto Kind = R.next<unsigned>();
  if (Kind > static_cast<unsigned>(flow::LastRequestKind))
    throw json::other_error::create(501, "unknown kind of request in a route",
                                    &J);
  Value.Kind = static_cast<flow::RequestKind>(Kind);
  for (const json &T : R.element()) {
    ArrayReader Target(T);
    auto Service = Target.next<std::string>();
    Value.Targets.push_back({std::move(Service), Target.next<double>()});
  }
  Value.Timeout = R.time();
  Value.LatencyObjective = R.time();
  Value.Priority = R.next<int>();
  if (R.more())
    Value.AllowedRegions = R.next<std::vector<std::string>>();
  return Value;
}

json toJson(const std::vector<flow::ColdLimit> &Limits) {
  json All = json::array();
  for (const flow::ColdLimit &L : Limits)
    All.push_back(
        json::array({L.Service, L.ColdStart.count(), L.RequestsPerSecond}));
  return All;
}

std::vector<flow::ColdLimit> toColdLimits(const json &J) {
  std::vector<flow::ColdLimit> Limits;
  for (const json &Item : J) {
    ArrayReader R(Item);
    flow::ColdLimit L;
    L.Service = R.next<std::string>();
    L.ColdStart = R.time();
    L.RequestsPerSecond = R.next<double>();
    Limits.push_back(std::move(L));
  }
  return Limits;
}

json toJson(const flow::RouteTable &Table) {
  json Routes = json::array();
  for (const flow::Route &Value : Table.Routes)
    Routes.push_back(toJson(Value));
  json Encoded = json::array({Table.Version, std::move(Routes), Table.Services,
                              Table.IdleTimeout.count()});
  if (!Table.ColdLimits.empty())
    Encoded.push_back(toJson(Table.ColdLimits));
  return Encoded;
}

flow::RouteTable toTable(const json &J) {
  ArrayReader R(J);
  flow::RouteTable Table;
  Table.Version = R.next<std::uint64_t>();
  for (const json &Value : R.element())
    Table.Routes.push_back(toRoute(Value));
  Table.Services = R.next<std::vector<std::string>>();
  Table.IdleTimeout = R.time();
  if (R.more())
    Table.ColdLimits = toColdLimits(R.element());
  return Table;
}

json fields(const Hello &M) {
  return {static_cast<unsigned>(M.Sender), M.Host, toJson(M.Tunnel),
          M.RoutesVersion};
}
json fields(const Status &M) {
  return json::array(
      {M.QuorumAge.count(), M.RoutesVersion, M.EvacuationNumber});
}
json fields(const ControlHosts &M) { return json::array({M.Hosts}); }
json toJson(const AgentRecord &R) {
  return json::array({toJson(R.Tunnel), R.Incarnation, R.RunId, R.Number,
                      R.Departed, R.ServiceTag, R.ControlHost, R.DataCentre,
                      R.Region});
}

AgentRecord toAgentRecord(const json &J) {
  ArrayReader R(J);
  AgentRecord Record;
  Record.Tunnel = toEndpoint(R.element());
  Record.Incarnation = R.next<std::uint64_t>();
  Record.RunId = R.next<std::uint64_t>();
  Record.Number = R.next<std::uint64_t>();
  Record.Departed = R.next<bool>();
  Record.ServiceTag = R.next<std::uint32_t>();
  Record.ControlHost = R.next<std::string>();
  if (R.more()) {
    Record.DataCentre = R.next<std::string>();
    Record.Region = R.next<std::string>();
  }
  return Record;
}

json fields(const Agents &M) {
  json Records = json::array();
  for (const AgentRecord &R : M.Records)
    Records.push_back(toJson(R));
  return json::array({std::move(Records), M.Complete, M.Buckets});
}
json fields(const DirectoryDigest &M) {
  json Beats = json::array();
  for (const HostBeat &B : M.Beats)
    Beats.push_back(json::array({B.Host, B.Count}));
  return json::array({M.Hash, M.Complete, std::move(Beats)});
}
json fields(const DirectoryBuckets &M) { return json::array({M.Hashes}); }
json fields(const Consensus &M) { return json::array({json::binary(M.Body)}); }
json fields(const Routes &M) {
  const Bytes Table = json::to_cbor(toJson(M.Table));
  return json::array({json::binary(compress(Table.data(), Table.size()))});
}
json fields(const Evacuations &M) {
  return json::array({M.Number, M.DataCentres});
}
json fields(const ServiceLimits &M) {
  return json::array({M.RoutesVersion, toJson(M.Limits), M.Services});
}

json fields(const EarlierRuns &M) {
  json Fields = json::array();
  if (M.HeardAge)
    Fields.push_back(M.HeardAge->count());
  return Fields;
}

json fields(const EvacuationRequest &M) {
  return json::array({static_cast<unsigned>(M.Action), M.DataCentre, M.Id});
}
json fields(const EvacuationReply &M) {
  json Daemons = json::array();
  for (const LinkedDaemon &D : M.Daemons)
    Daemons.push_back(json::array(
        {static_cast<unsigned>(D.Kind), D.Host, D.EvacuationNumber}));
  return json::array({M.Committed, M.FailureCode, M.Failure, M.Leader,
                      fields(M.State), std::move(Daemons), M.ControlHosts});
}

Role toRole(unsigned Number) {
  if (Number > static_cast<unsigned>(Role::Agent))
    throw json::other_error::create(501, "unknown role of a host", nullptr);
  return static_cast<Role>(Number);
}

Hello readHello(ArrayReader &R) {
  Hello M;
  M.Sender = toRole(R.next<unsigned>());
  M.Host = R.next<std::string>();
  M.Tunnel = toEndpoint(R.element());
  M.RoutesVersion = R.next<std::uint64_t>();
  return M;
}

Status readStatus(ArrayReader &R) {
  Status M;
  M.QuorumAge = R.time();
  M.RoutesVersion = R.next<std::uint64_t>();
  if (R.more())
    M.EvacuationNumber = R.next<std::uint64_t>();
  return M;
}

Agents readAgents(ArrayReader &R) {
  Agents M;
  for (const json &J : R.element())
    M.Records.push_back(toAgentRecord(J));
  M.Complete = R.next<bool>();
  M.Buckets = R.next<std::uint64_t>();
  return M;
}

DirectoryDigest readDigest(ArrayReader &R) {
  DirectoryDigest M;
  M.Hash = R.next<std::uint64_t>();
  M.Complete = R.next<bool>();
  for (const json &J : R.element()) {
    ArrayReader Beat(J);
    auto Host = Beat.next<std::string>();
    M.Beats.push_back({std::move(Host), Beat.next<std::uint64_t>()});
  }
  return M;
}

DirectoryBuckets readBuckets(ArrayReader &R) {
  DirectoryBuckets M;
  const json &Hashes = R.element();
  if (!Hashes.is_array() || Hashes.size() != M.Hashes.size())
    throw json::other_error::create(501, "wrong number of buckets", &Hashes);
  for (std::size_t I = 0; I < M.Hashes.size(); ++I)
    M.Hashes[I] = Hashes[I].get<std::uint64_t>();
  return M;
}

Evacuations readEvacuations(ArrayReader &R) {
  Evacuations M;
  M.Number = R.next<std::uint64_t>();
  M.DataCentres = R.next<std::vector<std::string>>();
  return M;
}

ServiceLimits readServiceLimits(ArrayReader &R) {
  ServiceLimits M;
  M.RoutesVersion = R.next<std::uint64_t>();
  M.Limits = toColdLimits(R.element());
  if (R.more())
    M.Services = R.next<std::vector<std::string>>();
  return M;
}

EarlierRuns readEarlierRuns(ArrayReader &R) {
  EarlierRuns M;
  if (R.more())
    M.HeardAge = R.time();
  return M;
}

EvacuationRequest readEvacuationRequest(ArrayReader &R) {
  EvacuationRequest M;
  const auto Action = R.next<unsigned>();
  if (Action > static_cast<unsigned>(EvacuationAction::Withdraw))
    throw json::other_error::create(501, "unknown request about evacuations",
                                    nullptr);
  M.Action = static_cast<EvacuationAction>(Action);
  M.DataCentre = R.next<std::string>();
  M.Id = R.next<std::uint64_t>();
  return M;
}

EvacuationReply readEvacuationReply(ArrayReader &R) {
  EvacuationReply M;
  M.Committed = R.next<bool>();
  M.FailureCode = R.next<std::uint16_t>();
  M.Failure = R.next<std::string>();
  M.Leader = R.next<std::string>();
  ArrayReader State(R.element());
  M.State = readEvacuations(State);
  for (const json &J : R.element()) {
    ArrayReader Item(J);
    LinkedDaemon D;
    D.Kind = toRole(Item.next<unsigned>());
    D.Host = Item.next<std::string>();
    D.EvacuationNumber = Item.next<std::uint64_t>();
    M.Daemons.push_back(std::move(D));
  }
  M.ControlHosts = R.next<std::vector<std::string>>();
  return M;
}

Consensus readConsensus(ArrayReader &R) { return {R.element().get_binary()}; }

Expected<Message> decodeTable(const Bytes &Table) {
  const auto Decoded = parseCborArrays(Table, MaxNestingDepth);
  if (!Decoded)
    return tl::unexpected(Decoded.error());
  return Routes{toTable(*Decoded)};
}

Expected<Message> readRoutes(ArrayReader &R) {
  const auto Table = decompress(R.element().get_binary(), MaxTableBytes);
  if (!Table)
    return tl::unexpected(Table.error());
  return decodeTable(*Table);
}

/// \returns whether an encoded table may have cold limits, from its first byte:
/// a CBOR array of this length has none.
bool mayHaveColdLimits(const Bytes &Table) {
  constexpr std::uint8_t FieldsWithoutLimits = 4;
  constexpr std::uint8_t ArrayMajorType = 0x80;
  return Table.empty() ||
         Table.front() != (ArrayMajorType | FieldsWithoutLimits);
}

Expected<Message> read(unsigned Type, const json &Body) {
  ArrayReader R(Body);
  switch (Type) {
  case 0:
    return readHello(R);
  case 1:
    return readStatus(R);
  case 2:
    return ControlHosts{R.next<std::vector<std::string>>()};
  case 3:
    return readAgents(R);
  case 4:
    return readConsensus(R);
  case 5:
    return readRoutes(R);
  case 6:
    return readDigest(R);
  case 7:
    return readBuckets(R);
  case 8:
    return readEvacuations(R);
  case 9:
    return readServiceLimits(R);
  case 10:
    return readEvacuationRequest(R);
  case 11:
    return readEvacuationReply(R);
  case 12:
    return readEarlierRuns(R);
  default:
    return fail(ErrorCode::MessageUnknownType,
                "unknown fleet message type " + std::to_string(Type));
  }
}

/// \returns the services of the table in an encoded Routes message, none if it
/// can't be read.
std::vector<std::string> decodeServices(const Bytes &Encoded) {
  auto Message = decode(Encoded);
  auto *Decoded = Message ? std::get_if<Routes>(&*Message) : nullptr;
  return Decoded ? std::move(Decoded->Table.Services)
                 : std::vector<std::string>();
}

} // namespace

Bytes encode(const Message &Value) {
  json Body = std::visit([](const auto &M) { return fields(M); }, Value);
  return json::to_cbor(json::array({Value.index(), std::move(Body)}));
}

Expected<Message> decode(const Bytes &Encoded) {
  const auto Decoded = parseCborArrays(Encoded, MaxNestingDepth);
  if (!Decoded)
    return tl::unexpected(Decoded.error());
  try {
    ArrayReader R(*Decoded);
    const auto Type = R.next<unsigned>();
    return read(Type, R.element());
  } catch (const json::exception &E) {
    return fail(ErrorCode::MessageMalformed, E.what());
  }
}

AcceptedRoutes makeAcceptedRoutes(flow::RouteTable Table,
                                  const std::string &Document) {
  AcceptedRoutes Value;
  Value.Version = Table.Version;
  Value.Services = Table.Services;
  Value.Message = encode(Routes{std::move(Table)});
  Value.Document = compress(Document.data(), Document.size());
  return Value;
}

Expected<std::vector<flow::ColdLimit>>
decodeColdLimits(const AcceptedRoutes &Value) {
  const auto Decoded = parseCborArrays(Value.Message, MaxNestingDepth);
  if (!Decoded)
    return tl::unexpected(Decoded.error());
  try {
    const json &Compressed = Decoded->at(1).at(0);
    const auto Table = decompress(Compressed.get_binary(), MaxTableBytes);
    if (!Table)
      return tl::unexpected(Table.error());
    if (!mayHaveColdLimits(*Table))
      return std::vector<flow::ColdLimit>{};
    auto Whole = decodeTable(*Table);
    if (!Whole)
      return tl::unexpected(Whole.error());
    return std::move(std::get<Routes>(*Whole).Table.ColdLimits);
  } catch (const json::exception &E) {
    return fail(ErrorCode::MessageMalformed, E.what());
  }
}

Expected<std::string> decodeDocument(const AcceptedRoutes &Value) {
  const auto Text = decompress(Value.Document, MaxDocumentBytes);
  if (!Text)
    return tl::unexpected(Text.error());
  return std::string(Text->begin(), Text->end());
}

Bytes encodeAcceptedRoutes(const AcceptedRoutes &Value) {
  return json::to_cbor(
      json::array({Value.Version, json::binary(Value.Message),
                   json::binary(Value.Document), Value.Services}));
}

Expected<AcceptedRoutes> decodeAcceptedRoutes(const Bytes &Encoded) {
  const auto Decoded = parseCborArrays(Encoded, MaxNestingDepth);
  if (!Decoded)
    return tl::unexpected(Decoded.error());
  try {
    ArrayReader R(*Decoded);
    AcceptedRoutes Value;
    Value.Version = R.next<std::uint64_t>();
    Value.Message = R.element().get_binary();
    Value.Document = R.element().get_binary();
    Value.Services = R.more() ? R.next<std::vector<std::string>>()
                              : decodeServices(Value.Message);
    return Value;
  } catch (const json::exception &E) {
    return fail(ErrorCode::MessageMalformed, E.what());
  }
}

} // namespace jasminearch::fleet
