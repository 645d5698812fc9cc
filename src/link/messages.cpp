#include "jasminearch/link/messages.h"
#include "jasminearch/control/codec.h"
#include <array>
#include <cbor.h>
#include <limits>
#include <type_traits>
#include <utility>

namespace jasminearch::link {
namespace {

using nlohmann::json;

/// Thrown for a field with an unexpected type or value.
struct FieldError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// SAX parser that builds a JSON value and rejects nesting deeper than
/// MaxMessageDepth.
class DepthLimitedParser : public nlohmann::detail::json_sax_dom_parser<json> {
  using Base = nlohmann::detail::json_sax_dom_parser<json>;

public:
  explicit DepthLimitedParser(json &Root) : Base(Root, false) {}

  // These names are required by the library's SAX interface.
  // NOLINTBEGIN(readability-identifier-naming)
  bool start_object(std::size_t Elements) {
    return ++Depth <= MaxMessageDepth && Base::start_object(Elements);
  }
  bool start_array(std::size_t Elements) {
    return ++Depth <= MaxMessageDepth && Base::start_array(Elements);
  }
  bool end_object() {
    --Depth;
    return Base::end_object();
  }
  bool end_array() {
    --Depth;
    return Base::end_array();
  }
  // NOLINTEND(readability-identifier-naming)

private:
  std::size_t Depth = 0;
};

/// Callback of the CBOR decoder: sets the bool at \p Found when a string of
/// indefinite length starts.
void setIndefinite(void *Found) { *static_cast<bool *>(Found) = true; }

/// \returns whether \p Encoded is a sequence of CBOR items without strings of
/// indefinite length. encodeMessage() produces none. The JSON library parses
/// them recursively before DepthLimitedParser is called, so a message of 0x5F
/// bytes would exhaust the stack. Complexity: linear in the number of items,
/// without recursion.
bool hasOnlyDefiniteStrings(const Bytes &Encoded) {
  cbor_callbacks Callbacks = cbor_empty_callbacks;
  Callbacks.byte_string_start = setIndefinite;
  Callbacks.string_start = setIndefinite;
  bool Indefinite = false;
  for (std::size_t Offset = 0; Offset < Encoded.size() && !Indefinite;) {
    const cbor_decoder_result Item =
        cbor_stream_decode(Encoded.data() + Offset, Encoded.size() - Offset,
                           &Callbacks, &Indefinite);
    if (Item.status != CBOR_DECODER_FINISHED)
      return false;
    Offset += Item.read;
  }
  return !Indefinite;
}

/// Reads an unsigned number and checks its range; the library would truncate it
/// silently.
template <typename T> T number(const json &In) {
  if (!In.is_number_unsigned())
    throw FieldError("expected an unsigned number");
  const auto Value = In.get<std::uint64_t>();
  if (Value > std::numeric_limits<T>::max())
    throw FieldError("number " + std::to_string(Value) +
                     " is out of range for its field");
  return static_cast<T>(Value);
}

template <typename Id> Id strongId(const json &In) {
  return Id{number<decltype(Id::Number)>(In)};
}

template <typename E> E enumerator(const json &In, E Last) {
  const auto Value = number<std::underlying_type_t<E>>(In);
  if (Value > static_cast<std::underlying_type_t<E>>(Last))
    throw FieldError("enumeration value " + std::to_string(Value) +
                     " is unknown");
  return static_cast<E>(Value);
}

template <typename E> unsigned enumeratorNumber(E Value) {
  return static_cast<unsigned>(Value);
}

json bytes(const Bytes &Value) { return json::binary(Value); }

Bytes bytes(const json &In) {
  if (!In.is_binary())
    throw FieldError("expected a byte string");
  return In.get_binary();
}

json milliseconds(std::chrono::milliseconds Value) {
  return static_cast<std::uint64_t>(std::max<std::int64_t>(Value.count(), 0));
}

std::chrono::milliseconds milliseconds(const json &In) {
  constexpr std::uint64_t MaxMilliseconds = 1'000'000'000'000;
  return std::chrono::milliseconds(
      std::min<std::uint64_t>(number<std::uint64_t>(In), MaxMilliseconds));
}

json endpoint(Endpoint Value) {
  return json::array({Value.Address, Value.Port});
}

/// Checks that \p In is an array of \p Size elements. \returns \p In.
const json &expectArray(const json &In, std::size_t Size) {
  if (!In.is_array() || In.size() != Size)
    throw FieldError("expected an array of size " + std::to_string(Size));
  return In;
}

Endpoint endpoint(const json &In) {
  expectArray(In, 2);
  return {number<std::uint32_t>(In[0]), number<std::uint16_t>(In[1])};
}

json error(const Error &Value) {
  return json::array({enumeratorNumber(Value.Code), Value.Detail});
}

Error error(const json &In) {
  expectArray(In, 2);
  return {static_cast<ErrorCode>(number<std::uint16_t>(In[0])),
          In[1].get<std::string>()};
}

json controlHost(const ControlHost &Value) {
  return json::array({Value.Name, endpoint(Value.Address)});
}

ControlHost controlHost(const json &In) {
  expectArray(In, 2);
  return {In[0].get<std::string>(), endpoint(In[1])};
}

template <typename T, typename Writer>
json optional(const std::optional<T> &Value, Writer Write) {
  return Value ? json::array({Write(*Value)}) : json::array();
}

template <typename T, typename Reader>
std::optional<T> optional(const json &In, Reader Read) {
  if (In.is_array() && In.empty())
    return std::nullopt;
  return Read(expectArray(In, 1)[0]);
}

json optionalHost(const std::optional<ControlHost> &Value) {
  return optional(Value, [](const ControlHost &H) { return controlHost(H); });
}

std::optional<ControlHost> optionalHost(const json &In) {
  return optional<ControlHost>(In,
                               [](const json &J) { return controlHost(J); });
}

json optionalError(const std::optional<Error> &Value) {
  return optional(Value, [](const Error &E) { return error(E); });
}

std::optional<Error> optionalError(const json &In) {
  return optional<Error>(In, [](const json &J) { return error(J); });
}

json objectKey(const control::ObjectKey &Value) {
  return json::array({enumeratorNumber(Value.Of), Value.Name, Value.Number});
}

control::ObjectKey objectKey(const json &In) {
  expectArray(In, 3);
  return {enumerator(In[0], control::ObjectKey::Kind::Table),
          In[1].get<std::string>(), number<std::uint32_t>(In[2])};
}

json write(const Challenge &M) { return json::array({bytes(M.Nonce)}); }

void read(const json &In, Challenge &M) {
  M.Nonce = bytes(expectArray(In, 1)[0]);
}

json write(const Hello &M) {
  return json::array({M.Cluster, M.Name, enumeratorNumber(M.Sender), M.RunId,
                      M.InForce.Number, bytes(M.Nonce), bytes(M.Proof)});
}

void read(const json &In, Hello &M) {
  expectArray(In, 7);
  M.Cluster = In[0].get<std::string>();
  M.Name = In[1].get<std::string>();
  M.Sender = enumerator(In[2], Role::Operator);
  M.RunId = number<std::uint64_t>(In[3]);
  M.InForce = strongId<Revision>(In[4]);
  M.Nonce = bytes(In[5]);
  M.Proof = bytes(In[6]);
}

json write(const Welcome &M) {
  return json::array({M.Host, bytes(M.Proof), M.Leading, optionalHost(M.Leader),
                      milliseconds(M.QuorumAge)});
}

void read(const json &In, Welcome &M) {
  expectArray(In, 5);
  M.Host = In[0].get<std::string>();
  M.Proof = bytes(In[1]);
  M.Leading = In[2].get<bool>();
  M.Leader = optionalHost(In[3]);
  M.QuorumAge = milliseconds(In[4]);
}

json write(const Heartbeat &M) {
  return json::array({M.InForce.Number, milliseconds(M.QuorumAge)});
}

void read(const json &In, Heartbeat &M) {
  expectArray(In, 2);
  M.InForce = strongId<Revision>(In[0]);
  M.QuorumAge = milliseconds(In[1]);
}

json write(const Snapshot &M) {
  return json::array({json(M.Value.Part), M.Value.Index, M.Value.Last});
}

void read(const json &In, Snapshot &M) {
  expectArray(In, 3);
  M.Value.Part = In[0].get<control::Configuration>();
  M.Value.Index = number<std::uint32_t>(In[1]);
  M.Value.Last = In[2].get<bool>();
}

json write(const Delta &M) {
  json Removed = json::array();
  for (const control::ObjectKey &Key : M.Value.Removed)
    Removed.push_back(objectKey(Key));
  return json::array(
      {M.Value.From.Number, json(M.Value.Changed), std::move(Removed)});
}

void read(const json &In, Delta &M) {
  expectArray(In, 3);
  M.Value.From = strongId<Revision>(In[0]);
  M.Value.Changed = In[1].get<control::Configuration>();
  if (!In[2].is_array())
    throw FieldError("expected an array of removed objects");
  for (const json &Key : In[2])
    M.Value.Removed.push_back(objectKey(Key));
}

json write(const Applied &M) { return json::array({M.InForce.Number}); }

void read(const json &In, Applied &M) {
  M.InForce = strongId<Revision>(expectArray(In, 1)[0]);
}

json write(const Announce &M) {
  if (const auto *Agent = std::get_if<control::UpstreamAnnouncement>(&M.Value))
    return json::array({Agent->Name, Agent->ServiceName, Agent->DataCentre,
                        endpoint(Agent->Agent), Agent->Slots, Agent->RunId});
  const auto &Entry = std::get<control::EntryAnnouncement>(M.Value);
  return json::array(
      {Entry.Name, Entry.DataCentre, endpoint(Entry.Tunnel), Entry.RunId});
}

void read(const json &In, Announce &M) {
  constexpr std::size_t AgentFields = 6;
  if (In.size() == AgentFields) {
    M.Value = control::UpstreamAnnouncement{
        In[0].get<std::string>(),     In[1].get<std::string>(),
        In[2].get<std::string>(),     endpoint(In[3]),
        number<std::uint32_t>(In[4]), number<std::uint64_t>(In[5])};
    return;
  }
  expectArray(In, 4);
  M.Value = control::EntryAnnouncement{
      In[0].get<std::string>(), In[1].get<std::string>(), endpoint(In[2]),
      number<std::uint64_t>(In[3])};
}

json write(const Announced &M) {
  return json::array({M.Id.Number, M.Instance.Number});
}

void read(const json &In, Announced &M) {
  expectArray(In, 2);
  M.Id = strongId<UpstreamId>(In[0]);
  M.Instance = strongId<Incarnation>(In[1]);
}

json write(const Leave &) { return json::array(); }

void read(const json &In, Leave &) { expectArray(In, 0); }

json write(const CommandRequest &M) { return json::array({json(M.Value)}); }

void read(const json &In, CommandRequest &M) {
  M.Value = expectArray(In, 1)[0].get<control::Command>();
}

json write(const CommandResult &M) {
  const auto Decided = [](const control::CommandResult &R) { return json(R); };
  return json::array({M.Id, optional(M.Decided, Decided),
                      optionalError(M.Failure), optionalHost(M.Leader)});
}

void read(const json &In, CommandResult &M) {
  expectArray(In, 4);
  M.Id = In[0].get<std::string>();
  M.Decided = optional<control::CommandResult>(
      In[1], [](const json &J) { return J.get<control::CommandResult>(); });
  M.Failure = optionalError(In[2]);
  M.Leader = optionalHost(In[3]);
}

json write(const Query &M) {
  return json::array({M.Id, enumeratorNumber(M.Kind), M.At.Number});
}

void read(const json &In, Query &M) {
  expectArray(In, 3);
  M.Id = number<std::uint64_t>(In[0]);
  M.Kind = enumerator(In[1], QueryKind::Burn);
  M.At = strongId<Revision>(In[2]);
}

json write(const QueryResult &M) {
  const auto Identity = [](const json &Document) { return Document; };
  return json::array({M.Id, optional(M.Document, Identity),
                      optionalError(M.Failure), optionalHost(M.Leader)});
}

void read(const json &In, QueryResult &M) {
  expectArray(In, 4);
  M.Id = number<std::uint64_t>(In[0]);
  M.Document = optional<json>(In[1], [](const json &J) { return J; });
  M.Failure = optionalError(In[2]);
  M.Leader = optionalHost(In[3]);
}

json write(const OutcomeReport &M) { return json::array({json(M.Value)}); }

void read(const json &In, OutcomeReport &M) {
  M.Value = expectArray(In, 1)[0].get<control::OutcomeReport>();
}

json write(const Refused &M) {
  return json::array({error(M.Reason), optionalHost(M.Leader)});
}

void read(const json &In, Refused &M) {
  expectArray(In, 2);
  M.Reason = error(In[0]);
  M.Leader = optionalHost(In[1]);
}

json write(const PeerMessage &M) { return json::array({bytes(M.Body)}); }

void read(const json &In, PeerMessage &M) {
  M.Body = bytes(expectArray(In, 1)[0]);
}

template <typename T> Message readAs(const json &Fields) {
  T Value;
  read(Fields, Value);
  return Value;
}

using ReadFunction = Message (*)(const json &);

/// One decoder for each alternative of Message, in the same order.
template <std::size_t... Index>
constexpr std::array<ReadFunction, sizeof...(Index)>
makeReaders(std::index_sequence<Index...> /*Types*/) {
  return {&readAs<std::variant_alternative_t<Index, Message>>...};
}

constexpr auto Readers =
    makeReaders(std::make_index_sequence<std::variant_size_v<Message>>{});

Expected<Message> readMessage(const json &In) {
  expectArray(In, 2);
  const auto Type = number<std::uint64_t>(In[0]);
  if (Type >= Readers.size())
    return fail(ErrorCode::MessageUnknownType,
                "message type " + std::to_string(Type) + " is unknown");
  return Readers[Type](In[1]);
}

} // namespace

Bytes encodeMessage(const Message &Value) {
  json Fields = std::visit([](const auto &M) { return write(M); }, Value);
  return json::to_cbor(json::array({Value.index(), std::move(Fields)}));
}

Expected<Message> decodeMessage(const Bytes &Encoded) {
  try {
    json Tree;
    DepthLimitedParser Reader(Tree);
    if (!hasOnlyDefiniteStrings(Encoded) ||
        !json::sax_parse(Encoded, &Reader, json::input_format_t::cbor))
      return fail(ErrorCode::MessageMalformed,
                  "expected one CBOR item without indefinite-length strings "
                  "and with at most " +
                      std::to_string(MaxMessageDepth) + " nesting levels");
    return readMessage(Tree);
  } catch (const std::exception &E) {
    return fail(ErrorCode::MessageMalformed, E.what());
  }
}

} // namespace jasminearch::link
