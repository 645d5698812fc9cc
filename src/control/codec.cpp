#include "jasminearch/control/codec.h"
#include <algorithm>
#include <array>
#include <cstddef>
#include <exception>
#include <initializer_list>
#include <limits>
#include <set>
#include <stdexcept>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

namespace jasminearch::detail {

template <typename Tag, typename Value>
void to_json(nlohmann::json &Out, const StrongId<Tag, Value> &Id) {
  Out = Id.Number;
}

template <typename Tag, typename Value>
void from_json(const nlohmann::json &In, StrongId<Tag, Value> &Id) {
  if (!In.is_number_unsigned() ||
      In.get<std::uint64_t>() > std::numeric_limits<Value>::max())
    throw std::out_of_range("id is out of range");
  Id.Number = In.get<Value>();
}

} // namespace jasminearch::detail

namespace jasminearch {

static void to_json(nlohmann::json &Out, const Endpoint &E) {
  Out = nlohmann::json::array({E.Address, E.Port});
}

static void from_json(const nlohmann::json &In, Endpoint &E);

} // namespace jasminearch

namespace jasminearch::control {

using nlohmann::json;

namespace {

/// Converts a JSON integer. Throws if it is out of range, where nlohmann::json
/// would silently truncate it.
template <typename Integer> Integer readInteger(const json &In) {
  if (!In.is_number_integer())
    throw std::invalid_argument("field must be an integer");
  if constexpr (std::is_signed_v<Integer>) {
    if (In.is_number_unsigned() &&
        In.get<std::uint64_t>() >
            static_cast<std::uint64_t>(std::numeric_limits<Integer>::max()))
      throw std::out_of_range("integer is out of range");
    return In.get<Integer>();
  } else {
    if (!In.is_number_unsigned() ||
        In.get<std::uint64_t>() > std::numeric_limits<Integer>::max())
      throw std::out_of_range("integer is out of range");
    return In.get<Integer>();
  }
}

template <typename Field>
void readField(const json &In, const char *Key, Field &F) {
  const json &Value = In.at(Key);
  if constexpr (std::is_integral_v<Field> && !std::is_same_v<Field, bool>)
    F = readInteger<Field>(Value);
  else
    Value.get_to(F);
}

void readField(const json &In, const char *Key, std::chrono::milliseconds &F) {
  F = std::chrono::milliseconds(readInteger<std::int64_t>(In.at(Key)));
}

/// Throws unless \p In has exactly \p Count members, because decoding would
/// silently drop unknown ones.
void requireMembers(const json &In, std::size_t Count) {
  if (!In.is_object() || In.size() != Count)
    throw std::invalid_argument("object has missing or unknown members");
}

template <typename Enum>
Enum readEnumerator(const json &In, int Lowest, int Highest) {
  const int Number = readInteger<int>(In);
  if (Number < Lowest || Number > Highest)
    throw std::out_of_range("enum value is out of range");
  return static_cast<Enum>(Number);
}

// Bucket bytes ----------------------------------------------------------------
//
// Most buckets of a table have the same owner and earlier owners as others. The
// byte string therefore consists of the number of distinct buckets, the
// distinct buckets in order of appearance, and one index per bucket. An index
// takes one byte if there are at most 256 distinct buckets, and two bytes
// otherwise. Integers are big-endian.

constexpr std::size_t MaxOneByteIndexes = 256;

void appendInteger(Bytes &Out, std::uint32_t Value, int Octets) {
  for (int Shift = 8 * (Octets - 1); Shift >= 0; Shift -= 8)
    Out.push_back(static_cast<std::uint8_t>(Value >> Shift));
}

Bytes packBuckets(const std::vector<Bucket> &Buckets) {
  std::map<Bucket, std::uint32_t> Indexes;
  Bytes Distinct;
  std::vector<std::uint32_t> Order;
  for (const Bucket &B : Buckets) {
    const auto [It, Added] =
        Indexes.emplace(B, static_cast<std::uint32_t>(Indexes.size()));
    Order.push_back(It->second);
    if (!Added)
      continue;
    appendInteger(Distinct, B.Owner.Number, 4);
    for (const UpstreamId Id : B.Earlier)
      appendInteger(Distinct, Id.Number, 4);
  }
  Bytes Out;
  appendInteger(Out, static_cast<std::uint32_t>(Indexes.size()), 2);
  Out.insert(Out.end(), Distinct.begin(), Distinct.end());
  const int Octets = Indexes.size() <= MaxOneByteIndexes ? 1 : 2;
  for (const std::uint32_t Index : Order)
    appendInteger(Out, Index, Octets);
  return Out;
}

/// Reads big-endian integers; throws instead of reading past the end.
class ByteReader {
public:
  explicit ByteReader(const Bytes &Source) : Source(Source) {}

  std::uint32_t next(int Octets) {
    if (Source.size() - Position < static_cast<std::size_t>(Octets))
      throw std::out_of_range("bucket table is too short");
    std::uint32_t Value = 0;
    for (int I = 0; I < Octets; ++I)
      Value = Value << 8U | Source[Position++];
    return Value;
  }

  bool atEnd() const { return Position == Source.size(); }

private:
  const Bytes &Source;
  std::size_t Position = 0;
};

std::vector<Bucket> unpackBuckets(const Bytes &Packed) {
  ByteReader In(Packed);
  const std::size_t Count = In.next(2);
  if (Count == 0 || Count > BucketsPerService)
    throw std::out_of_range(
        "number of distinct buckets in a bucket table is out of range");
  std::vector<Bucket> Distinct(Count);
  for (Bucket &B : Distinct) {
    B.Owner.Number = In.next(4);
    for (UpstreamId &Id : B.Earlier)
      Id.Number = In.next(4);
  }
  const int Octets = Count <= MaxOneByteIndexes ? 1 : 2;
  std::vector<Bucket> Buckets;
  Buckets.reserve(BucketsPerService);
  for (std::size_t I = 0; I < BucketsPerService; ++I)
    Buckets.push_back(Distinct.at(In.next(Octets)));
  if (!In.atEnd())
    throw std::out_of_range("bucket table is too long");
  return Buckets;
}

} // namespace

// Objects of the configuration ------------------------------------------------

static void to_json(json &Out, const Objectives &V) {
  Out = {{"answered", V.Answered},
         {"lines_whole", V.LinesWhole},
         {"within_deadline", V.WithinDeadline}};
}

static void from_json(const json &In, Objectives &V) {
  requireMembers(In, 3);
  readField(In, "answered", V.Answered);
  readField(In, "lines_whole", V.LinesWhole);
  readField(In, "within_deadline", V.WithinDeadline);
}

void to_json(json &Out, const Profile &V) {
  Out = {{"name", V.Name},
         {"max_imbalance", V.MaxImbalance},
         {"deadline_ms", V.Deadline.count()},
         {"cold_start_ms", V.ColdStart.count()},
         {"line_idle_limit_ms", V.LineIdleLimit.count()},
         {"retry_budget", V.RetryBudget},
         {"offload", V.Offload},
         {"objectives", V.Targets},
         {"changed", V.Changed}};
}

void from_json(const json &In, Profile &V) {
  requireMembers(In, 9);
  readField(In, "name", V.Name);
  readField(In, "max_imbalance", V.MaxImbalance);
  readField(In, "deadline_ms", V.Deadline);
  readField(In, "cold_start_ms", V.ColdStart);
  readField(In, "line_idle_limit_ms", V.LineIdleLimit);
  readField(In, "retry_budget", V.RetryBudget);
  readField(In, "offload", V.Offload);
  readField(In, "objectives", V.Targets);
  readField(In, "changed", V.Changed);
}

void to_json(json &Out, const Service &V) {
  Out = {{"id", V.Id},
         {"name", V.Name},
         {"address", V.Address},
         {"profile", V.ProfileName},
         {"changed", V.Changed}};
}

void from_json(const json &In, Service &V) {
  requireMembers(In, 5);
  readField(In, "id", V.Id);
  readField(In, "name", V.Name);
  readField(In, "address", V.Address);
  readField(In, "profile", V.ProfileName);
  readField(In, "changed", V.Changed);
}

void to_json(json &Out, const Upstream &V) {
  Out = {{"id", V.Id},
         {"name", V.Name},
         {"service", V.Service},
         {"data_centre", V.DataCentre},
         {"agent", V.Agent},
         {"slots", V.Slots},
         {"incarnation", V.Instance},
         {"phase", static_cast<unsigned>(V.Phase)},
         {"changed", V.Changed},
         {"warm_up", V.WarmUp},
         {"drain_ordered", V.DrainOrdered},
         {"ordered", V.Ordered}};
}

void from_json(const json &In, Upstream &V) {
  requireMembers(In, 12);
  readField(In, "id", V.Id);
  readField(In, "name", V.Name);
  readField(In, "service", V.Service);
  readField(In, "data_centre", V.DataCentre);
  readField(In, "agent", V.Agent);
  readField(In, "slots", V.Slots);
  readField(In, "incarnation", V.Instance);
  V.Phase = readEnumerator<UpstreamPhase>(
      In.at("phase"), 0, static_cast<int>(UpstreamPhase::Lost));
  readField(In, "changed", V.Changed);
  readField(In, "warm_up", V.WarmUp);
  readField(In, "drain_ordered", V.DrainOrdered);
  readField(In, "ordered", V.Ordered);
  if (V.WarmUp == 0 || V.WarmUp > WarmUpSteps)
    throw std::out_of_range("warm_up is out of range");
}

void to_json(json &Out, const EntryHost &V) {
  Out = {{"name", V.Name},
         {"data_centre", V.DataCentre},
         {"tunnel", V.Tunnel},
         {"alive", V.Alive},
         {"changed", V.Changed}};
}

void from_json(const json &In, EntryHost &V) {
  requireMembers(In, 5);
  readField(In, "name", V.Name);
  readField(In, "data_centre", V.DataCentre);
  readField(In, "tunnel", V.Tunnel);
  readField(In, "alive", V.Alive);
  readField(In, "changed", V.Changed);
}

void to_json(json &Out, const BucketTable &V) {
  Out = {{"service", V.Service},
         {"buckets", json::binary(packBuckets(V.Buckets))},
         {"changed", V.Changed}};
}

void from_json(const json &In, BucketTable &V) {
  requireMembers(In, 3);
  readField(In, "service", V.Service);
  const json::binary_t &Packed = In.at("buckets").get_binary();
  V.Buckets = unpackBuckets(Packed);
  readField(In, "changed", V.Changed);
}

namespace {

/// Converts the values of a map to a list. Keys are omitted because they can be
/// derived from the values.
template <typename Map> json valuesToJson(const Map &Objects) {
  json Out = json::array();
  for (const auto &[Key, Value] : Objects)
    Out.push_back(Value);
  return Out;
}

template <typename Map, typename KeyOf>
void readValues(const json &In, const char *Name, Map &Objects, KeyOf Key) {
  const json &List = In.at(Name);
  if (!List.is_array())
    throw std::invalid_argument("object list must be an array");
  Objects.clear();
  for (const json &Element : List) {
    auto Value = Element.get<typename Map::mapped_type>();
    auto Name = Key(Value);
    if (!Objects.emplace(std::move(Name), std::move(Value)).second)
      throw std::invalid_argument("duplicate object key");
  }
}

} // namespace

void to_json(json &Out, const Configuration &V) {
  Out = {{"in_force", V.InForce},
         {"profiles", valuesToJson(V.Profiles)},
         {"services", valuesToJson(V.Services)},
         {"upstreams", valuesToJson(V.Upstreams)},
         {"entries", valuesToJson(V.Entries)},
         {"tables", valuesToJson(V.Tables)}};
}

void from_json(const json &In, Configuration &V) {
  const auto ByName = [](const auto &Value) { return Value.Name; };
  const auto ById = [](const auto &Value) { return Value.Id; };
  requireMembers(In, 6);
  readField(In, "in_force", V.InForce);
  readValues(In, "profiles", V.Profiles, ByName);
  readValues(In, "services", V.Services, ById);
  readValues(In, "upstreams", V.Upstreams, ById);
  readValues(In, "entries", V.Entries, ByName);
  readValues(In, "tables", V.Tables,
             [](const BucketTable &Table) { return Table.Service; });
}

// Commands --------------------------------------------------------------------

static void to_json(json &Out, const UpstreamAnnouncement &V) {
  Out = {{"name", V.Name},   {"service", V.ServiceName},
         {"agent", V.Agent}, {"data_centre", V.DataCentre},
         {"slots", V.Slots}, {"run", V.RunId}};
}

static void from_json(const json &In, UpstreamAnnouncement &V) {
  requireMembers(In, 6);
  readField(In, "name", V.Name);
  readField(In, "service", V.ServiceName);
  readField(In, "data_centre", V.DataCentre);
  readField(In, "agent", V.Agent);
  readField(In, "slots", V.Slots);
  readField(In, "run", V.RunId);
}

static void to_json(json &Out, const EntryAnnouncement &V) {
  Out = {{"name", V.Name},
         {"data_centre", V.DataCentre},
         {"tunnel", V.Tunnel},
         {"run", V.RunId}};
}

static void from_json(const json &In, EntryAnnouncement &V) {
  requireMembers(In, 4);
  readField(In, "name", V.Name);
  readField(In, "data_centre", V.DataCentre);
  readField(In, "tunnel", V.Tunnel);
  readField(In, "run", V.RunId);
}

static void to_json(json &Out, const PutProfile &V) {
  Out = {{"value", V.Value}, {"expected", V.Expected}};
}

static void from_json(const json &In, PutProfile &V) {
  requireMembers(In, 2);
  readField(In, "value", V.Value);
  readField(In, "expected", V.Expected);
}

static void to_json(json &Out, const RemoveProfile &V) {
  Out = {{"name", V.Name}, {"expected", V.Expected}};
}

static void from_json(const json &In, RemoveProfile &V) {
  requireMembers(In, 2);
  readField(In, "name", V.Name);
  readField(In, "expected", V.Expected);
}

static void to_json(json &Out, const PutService &V) {
  Out = {{"value", V.Value}, {"expected", V.Expected}};
}

static void from_json(const json &In, PutService &V) {
  requireMembers(In, 2);
  readField(In, "value", V.Value);
  readField(In, "expected", V.Expected);
}

static void to_json(json &Out, const SetDrain &V) {
  Out = {{"upstream", V.UpstreamName},
         {"draining", V.Draining},
         {"expected", V.Expected}};
}

static void from_json(const json &In, SetDrain &V) {
  requireMembers(In, 3);
  readField(In, "upstream", V.UpstreamName);
  readField(In, "draining", V.Draining);
  readField(In, "expected", V.Expected);
}

static void to_json(json &Out, const AnnounceUpstream &V) {
  Out = {{"value", V.Value}};
}

static void from_json(const json &In, AnnounceUpstream &V) {
  requireMembers(In, 1);
  readField(In, "value", V.Value);
}

static void to_json(json &Out, const AnnounceEntry &V) {
  Out = {{"value", V.Value}};
}

static void from_json(const json &In, AnnounceEntry &V) {
  requireMembers(In, 1);
  readField(In, "value", V.Value);
}

static void to_json(json &Out, const ActivateUpstream &V) {
  Out = {{"id", V.Id}, {"incarnation", V.Instance}};
}

static void from_json(const json &In, ActivateUpstream &V) {
  requireMembers(In, 2);
  readField(In, "id", V.Id);
  readField(In, "incarnation", V.Instance);
}

static void to_json(json &Out, const RetireUpstream &V) {
  Out = {{"id", V.Id}, {"incarnation", V.Instance}};
}

static void from_json(const json &In, RetireUpstream &V) {
  requireMembers(In, 2);
  readField(In, "id", V.Id);
  readField(In, "incarnation", V.Instance);
}

static void to_json(json &Out, const RetireEntry &V) {
  Out = {{"name", V.Name}};
}

static void from_json(const json &In, RetireEntry &V) {
  requireMembers(In, 1);
  readField(In, "name", V.Name);
}

static void to_json(json &Out, const AdvanceWarmUp &V) {
  Out = {{"id", V.Id}, {"incarnation", V.Instance}, {"step", V.Step}};
}

static void from_json(const json &In, AdvanceWarmUp &V) {
  requireMembers(In, 3);
  readField(In, "id", V.Id);
  readField(In, "incarnation", V.Instance);
  readField(In, "step", V.Step);
}

static void to_json(json &Out, const ForgetUpstream &V) {
  Out = {{"upstream", V.UpstreamName}, {"expected", V.Expected}};
}

static void from_json(const json &In, ForgetUpstream &V) {
  requireMembers(In, 2);
  readField(In, "upstream", V.UpstreamName);
  readField(In, "expected", V.Expected);
}

namespace {

/// Names of the alternatives of CommandBody, in their order. They are stored in
/// logs and must never change.
constexpr std::array<const char *, std::variant_size_v<CommandBody>>
    CommandNames{"put_profile",       "remove_profile",    "put_service",
                 "set_drain",         "announce_upstream", "announce_entry",
                 "activate_upstream", "retire_upstream",   "retire_entry",
                 "warm_upstream",     "forget_upstream"};

template <std::size_t Alternative = 0>
CommandBody readBody(const std::string &Kind, const json &In) {
  if constexpr (Alternative < std::variant_size_v<CommandBody>) {
    if (Kind == CommandNames[Alternative])
      return In.get<std::variant_alternative_t<Alternative, CommandBody>>();
    return readBody<Alternative + 1>(Kind, In);
  } else {
    throw std::invalid_argument("unknown command kind");
  }
}

} // namespace

void to_json(json &Out, const Command &V) {
  Out = {{"id", V.Id}, {"kind", CommandNames[V.Body.index()]}};
  std::visit([&](const auto &Body) { Out["body"] = Body; }, V.Body);
}

void from_json(const json &In, Command &V) {
  requireMembers(In, 3);
  readField(In, "id", V.Id);
  V.Body = readBody(In.at("kind").get<std::string>(), In.at("body"));
}

void to_json(json &Out, const CommandResult &V) {
  Out = {{"at", V.At},
         {"accepted", V.Accepted},
         {"code", static_cast<unsigned>(V.Reason.Code)},
         {"detail", V.Reason.Detail}};
}

void from_json(const json &In, CommandResult &V) {
  requireMembers(In, 4);
  readField(In, "at", V.At);
  readField(In, "accepted", V.Accepted);
  V.Reason.Code =
      static_cast<ErrorCode>(readInteger<std::uint16_t>(In.at("code")));
  readField(In, "detail", V.Reason.Detail);
}

// Outcome reports -------------------------------------------------------------

static void to_json(json &Out, const PromiseCount &V) {
  Out = {{"service", V.Service}, {"promise", static_cast<unsigned>(V.Which)},
         {"held", V.Held},       {"broken", V.Broken},
         {"unknown", V.Unknown}, {"evidence", V.Evidence}};
}

static void from_json(const json &In, PromiseCount &V) {
  requireMembers(In, 6);
  readField(In, "service", V.Service);
  V.Which = readEnumerator<Promise>(
      In.at("promise"), static_cast<int>(Promise::LinesSurvive),
      static_cast<int>(Promise::ConfigurationHolds));
  readField(In, "held", V.Held);
  readField(In, "broken", V.Broken);
  readField(In, "unknown", V.Unknown);
  readField(In, "evidence", V.Evidence);
}

void to_json(json &Out, const OutcomeReport &V) {
  Out = {{"host", V.Host}, {"run", V.RunId}, {"counts", V.Counts}};
}

void from_json(const json &In, OutcomeReport &V) {
  requireMembers(In, 3);
  readField(In, "host", V.Host);
  readField(In, "run", V.RunId);
  if (!In.at("counts").is_array())
    throw std::invalid_argument("counts must be an array");
  readField(In, "counts", V.Counts);
}

// CBOR ------------------------------------------------------------------------

namespace {

/// SAX handler that aborts parsing at the first container nested too deeply.
class DepthChecker final : public nlohmann::json_sax<json> {
public:
  bool null() override { return true; }
  bool boolean(bool /*Value*/) override { return true; }
  bool number_integer(number_integer_t /*Value*/) override { return true; }
  bool number_unsigned(number_unsigned_t /*Value*/) override { return true; }
  bool number_float(number_float_t /*Value*/,
                    const string_t & /*Text*/) override {
    return true;
  }
  bool string(string_t & /*Value*/) override { return true; }
  bool binary(binary_t & /*Value*/) override { return true; }
  bool key(string_t & /*Value*/) override { return true; }
  bool start_object(std::size_t /*Size*/) override { return enterContainer(); }
  bool end_object() override { return leaveContainer(); }
  bool start_array(std::size_t /*Size*/) override { return enterContainer(); }
  bool end_array() override { return leaveContainer(); }
  bool parse_error(std::size_t /*Position*/, const std::string & /*Token*/,
                   const json::exception &Reason) override {
    Message = Reason.what();
    return false;
  }

  std::string Message = "arrays and objects are nested too deeply";

private:
  bool enterContainer() { return ++Depth <= MaxCborDepth; }
  bool leaveContainer() {
    --Depth;
    return true;
  }

  int Depth = 0;
};

json stateToJson(const State &V) {
  json Results = json::array();
  for (const std::string &Id : V.ResultOrder)
    Results.push_back(json::array({Id, V.Results.at(Id)}));
  return {{"config", V.Config},
          {"results", std::move(Results)},
          {"runs", V.RunIds},
          {"next_service", V.NextService},
          {"next_upstream", V.NextUpstream}};
}

void require(bool Condition, const char *Problem) {
  if (!Condition)
    throw std::invalid_argument(Problem);
}

/// Throws if an object refers to a missing one, because apply() follows these
/// references unchecked.
void checkReferences(const State &S) {
  const Configuration &C = S.Config;
  std::set<std::string> Names;
  std::set<Endpoint> Addresses;
  for (const auto &[Id, Value] : C.Services) {
    require(Id.Number != 0, "service has id zero");
    require(C.Profiles.count(Value.ProfileName) != 0,
            "service refers to an unknown profile");
    require(C.Tables.count(Id) != 0, "service has no bucket table");
    require(Names.insert(Value.Name).second, "two services have the same name");
    require(Addresses.insert(Value.Address).second,
            "two services have the same address");
  }
  require(C.Tables.size() == C.Services.size(),
          "bucket table belongs to no service");
  Names.clear();
  for (const auto &[Id, Value] : C.Upstreams) {
    require(Id.Number != 0, "upstream has id zero");
    require(C.Services.count(Value.Service) != 0,
            "upstream refers to an unknown service");
    require(Names.insert(Value.Name).second,
            "two upstreams have the same name");
  }
}

State stateFromJson(const json &In) {
  State S;
  requireMembers(In, 5);
  readField(In, "config", S.Config);
  for (const json &Pair : In.at("results")) {
    require(Pair.is_array() && Pair.size() == 2,
            "result must be a pair of a command id and a result");
    auto Id = Pair[0].get<std::string>();
    require(S.Results.emplace(Id, Pair[1].get<CommandResult>()).second,
            "two results have the same command id");
    S.ResultOrder.push_back(std::move(Id));
  }
  readField(In, "runs", S.RunIds);
  readField(In, "next_service", S.NextService);
  readField(In, "next_upstream", S.NextUpstream);
  checkReferences(S);
  S.Index = buildIndex(S.Config);
  return S;
}

/// Decodes with \p From and accepts only bytes that \p To would produce, so
/// that every value has exactly one encoding.
template <typename Value, typename Convert, typename Encode>
Expected<Value> decode(const Bytes &Encoded, const char *What, Convert From,
                       Encode To) {
  try {
    const Expected<json> Parsed = parseCbor(Encoded);
    if (!Parsed)
      return tl::make_unexpected(Parsed.error());
    Value Decoded = From(*Parsed);
    if (To(Decoded) == Encoded)
      return Decoded;
    return fail(ErrorCode::MessageMalformed,
                std::string(What) + ": not in canonical encoding");
  } catch (const std::exception &Reason) {
    return fail(ErrorCode::MessageMalformed,
                std::string(What) + ": " + Reason.what());
  }
}

} // namespace

Expected<json> parseCbor(const Bytes &Encoded) {
  DepthChecker Check;
  if (!json::sax_parse(Encoded, &Check, json::input_format_t::cbor))
    return fail(ErrorCode::MessageMalformed, "CBOR: " + Check.Message);
  try {
    return json::from_cbor(Encoded);
  } catch (const json::exception &Reason) {
    return fail(ErrorCode::MessageMalformed,
                std::string("CBOR: ") + Reason.what());
  }
}

Bytes encodeCommand(const Command &Value) { return json::to_cbor(json(Value)); }

Expected<Command> decodeCommand(const Bytes &Encoded) {
  return decode<Command>(
      Encoded, "command", [](const json &In) { return In.get<Command>(); },
      encodeCommand);
}

Bytes encodeState(const State &Value) {
  return json::to_cbor(stateToJson(Value));
}

Expected<State> decodeState(const Bytes &Encoded) {
  return decode<State>(Encoded, "state", stateFromJson, encodeState);
}

} // namespace jasminearch::control

namespace jasminearch {

static void from_json(const nlohmann::json &In, Endpoint &E) {
  if (!In.is_array() || In.size() != 2)
    throw std::invalid_argument(
        "endpoint must be a pair of an address and a port");
  E.Address = control::readInteger<std::uint32_t>(In[0]);
  E.Port = control::readInteger<std::uint16_t>(In[1]);
}

} // namespace jasminearch
