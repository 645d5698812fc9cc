#include "jasminearch/fleet/messages.h"
#include "jasminearch/compress.h"
#include <nlohmann/json.hpp>
#include <utility>

namespace jasminearch::fleet {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

/// Largest encoded table: some 100,000 routes.
constexpr std::size_t MaxTableBytes = 16U << 20U;

/// Largest document of an operator.
constexpr std::size_t MaxDocumentBytes = 64U << 20U;

/// Reads the elements of an array in order.
class Reader {
public:
  explicit Reader(const json &Source) : Source(Source) {
    if (!Source.is_array())
      throw json::type_error::create(302, "an array is expected", &Source);
  }

  template <typename T> T next() { return Source.at(At++).get<T>(); }
  const json &element() { return Source.at(At++); }
  milliseconds time() { return milliseconds(next<std::int64_t>()); }

private:
  const json &Source;
  std::size_t At = 0;
};

json toJson(const Endpoint &E) { return json::array({E.Address, E.Port}); }

Endpoint toEndpoint(const json &J) {
  Reader R(J);
  Endpoint E;
  E.Address = R.next<std::uint32_t>();
  E.Port = R.next<std::uint16_t>();
  return E;
}

json toJson(const flow::Route &Of) {
  json Targets = json::array();
  for (const flow::RouteTarget &T : Of.Targets)
    Targets.push_back(json::array({T.Service, T.Weight}));
  return json::array({Of.Name, toJson(Of.Address),
                      static_cast<unsigned>(Of.Kind), std::move(Targets),
                      Of.Timeout.count(), Of.LatencyObjective.count(),
                      Of.Priority});
}

flow::Route toRoute(const json &J) {
  Reader R(J);
  flow::Route Of;
  Of.Name = R.next<std::string>();
  Of.Address = toEndpoint(R.element());
  const auto Kind = R.next<unsigned>();
  if (Kind > static_cast<unsigned>(flow::RequestKind::Download))
    throw json::other_error::create(501, "unknown kind of request", &J);
  Of.Kind = static_cast<flow::RequestKind>(Kind);
  for (const json &T : R.element()) {
    Reader Target(T);
    auto Service = Target.next<std::string>();
    Of.Targets.push_back({std::move(Service), Target.next<double>()});
  }
  Of.Timeout = R.time();
  Of.LatencyObjective = R.time();
  Of.Priority = R.next<int>();
  return Of;
}

json toJson(const flow::RouteTable &Table) {
  json Routes = json::array();
  for (const flow::Route &Of : Table.Routes)
    Routes.push_back(toJson(Of));
  return json::array({Table.Version, std::move(Routes), Table.Services,
                      Table.IdleTimeout.count()});
}

flow::RouteTable toTable(const json &J) {
  Reader R(J);
  flow::RouteTable Table;
  Table.Version = R.next<std::uint64_t>();
  for (const json &Of : R.element())
    Table.Routes.push_back(toRoute(Of));
  Table.Services = R.next<std::vector<std::string>>();
  Table.IdleTimeout = R.time();
  return Table;
}

json fields(const Hello &M) {
  return {static_cast<unsigned>(M.Sender), M.Host, toJson(M.Tunnel),
          M.RoutesVersion};
}
json fields(const Status &M) { return {M.QuorumAge.count(), M.RoutesVersion}; }
json fields(const ControlHosts &M) { return json::array({M.Hosts}); }
json fields(const Agents &M) {
  json Known = json::array();
  for (const AgentRecord &R : M.Known)
    Known.push_back(json::array({toJson(R.Tunnel), R.Age.count()}));
  return json::array({std::move(Known), M.Complete});
}
json fields(const Consensus &M) { return json::array({json::binary(M.Body)}); }
json fields(const Routes &M) {
  const Bytes Table = json::to_cbor(toJson(M.Table));
  return json::array({json::binary(compress(Table.data(), Table.size()))});
}

json fields(const Left &M) { return json::array({toJson(M.Tunnel)}); }

Hello readHello(Reader &R) {
  Hello M;
  const auto Sender = R.next<unsigned>();
  if (Sender > static_cast<unsigned>(Role::Agent))
    throw json::other_error::create(501, "unknown role", nullptr);
  M.Sender = static_cast<Role>(Sender);
  M.Host = R.next<std::string>();
  M.Tunnel = toEndpoint(R.element());
  M.RoutesVersion = R.next<std::uint64_t>();
  return M;
}

Status readStatus(Reader &R) {
  const milliseconds Age = R.time();
  return {Age, R.next<std::uint64_t>()};
}

Agents readAgents(Reader &R) {
  Agents M;
  for (const json &J : R.element()) {
    Reader Record(J);
    const Endpoint Tunnel = toEndpoint(Record.element());
    M.Known.push_back({Tunnel, Record.time()});
  }
  M.Complete = R.next<bool>();
  return M;
}

Consensus readConsensus(Reader &R) { return {R.element().get_binary()}; }

Expected<Message> readRoutes(Reader &R) {
  const auto Table = decompress(R.element().get_binary(), MaxTableBytes);
  if (!Table)
    return tl::unexpected(Table.error());
  return Routes{toTable(json::from_cbor(*Table))};
}

Expected<Message> read(unsigned Type, const json &Body) {
  Reader R(Body);
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
    return Left{toEndpoint(R.element())};
  default:
    return fail(ErrorCode::MessageUnknownType,
                "unknown fleet message " + std::to_string(Type));
  }
}

} // namespace

Bytes encode(const Message &Value) {
  json Body = std::visit([](const auto &M) { return fields(M); }, Value);
  return json::to_cbor(json::array({Value.index(), std::move(Body)}));
}

Expected<Message> decode(const Bytes &Encoded) {
  try {
    const json J = json::from_cbor(Encoded);
    Reader R(J);
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
  Value.Message = encode(Routes{std::move(Table)});
  Value.Document = compress(Document.data(), Document.size());
  return Value;
}

Expected<std::string> decodeDocument(const AcceptedRoutes &Value) {
  const auto Text = decompress(Value.Document, MaxDocumentBytes);
  if (!Text)
    return tl::unexpected(Text.error());
  return std::string(Text->begin(), Text->end());
}

Bytes encodeAcceptedRoutes(const AcceptedRoutes &Value) {
  return json::to_cbor(json::array({Value.Version, json::binary(Value.Message),
                                    json::binary(Value.Document)}));
}

Expected<AcceptedRoutes> decodeAcceptedRoutes(const Bytes &Encoded) {
  try {
    const json J = json::from_cbor(Encoded);
    Reader R(J);
    AcceptedRoutes Value;
    Value.Version = R.next<std::uint64_t>();
    Value.Message = R.element().get_binary();
    Value.Document = R.element().get_binary();
    return Value;
  } catch (const json::exception &E) {
    return fail(ErrorCode::MessageMalformed, E.what());
  }
}

} // namespace jasminearch::fleet
