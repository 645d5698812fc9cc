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
    throw std::out_of_range("an id is out of range");
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

/// Converts a JSON integer and refuses one that doesn't fit, which
/// nlohmann::json would cut off without a sign.
template <typename Integer> Integer integer(const json &In) {
  if (!In.is_number_integer())
    throw std::invalid_argument("a field must be an integer");
  if constexpr (std::is_signed_v<Integer>) {
    if (In.is_number_unsigned() &&
        In.get<std::uint64_t>() >
            static_cast<std::uint64_t>(std::numeric_limits<Integer>::max()))
      throw std::out_of_range("an integer is out of range");
    return In.get<Integer>();
  } else {
    if (!In.is_number_unsigned() ||
        In.get<std::uint64_t>() > std::numeric_limits<Integer>::max())
      throw std::out_of_range("an integer is out of range");
    return In.get<Integer>();
  }
}

template <typename Field> void read(const json &In, const char *Key, Field &F) {
  const json &Value = In.at(Key);
  if constexpr (std::is_integral_v<Field> && !std::is_same_v<Field, bool>)
    F = integer<Field>(Value);
  else
    Value.get_to(F);
}

void read(const json &In, const char *Key, std::chrono::milliseconds &F) {
  F = std::chrono::milliseconds(integer<std::int64_t>(In.at(Key)));
}

/// Refuses objects with other members, which a decoder would lose.
void expectMembers(const json &In, std::size_t Count) {
  if (!In.is_object() || In.size() != Count)
    throw std::invalid_argument("an object has missing or unknown members");
}

template <typename Enum>
Enum enumerator(const json &In, int Lowest, int Highest) {
  const int Number = integer<int>(In);
  if (Number < Lowest || Number > Highest)
    throw std::out_of_range("an enumerator is out of range");
  return static_cast<Enum>(Number);
}

// Bucket bytes ----------------------------------------------------------------
//
// Most buckets of a table share their owner and earlier owners with others.
// The byte string therefore lists the distinct buckets in order of appearance
// and then one index per bucket: in one byte if there are at most 256 distinct
// buckets, in two otherwise. Integers are big-endian.

constexpr std::size_t OneByteIndexes = 256;

void append(Bytes &Out, std::uint32_t Value, int Octets) {
  for (int Shift = 8 * (Octets - 1); Shift >= 0; Shift -= 8)
    Out.push_back(static_cast<std::uint8_t>(Value >> Shift));
}

Bytes packBuckets(const std::vector<Bucket> &Buckets) {
  std::map<Bucket, std::uint32_t> Indexes;
  Bytes Distinct;
  std::vector<std::uint32_t> Order;
  for (const Bucket &B : Buckets) {
    const auto [At, Added] =
        Indexes.emplace(B, static_cast<std::uint32_t>(Indexes.size()));
    Order.push_back(At->second);
    if (!Added)
      continue;
    append(Distinct, B.Owner.Number, 4);
    for (const UpstreamId Id : B.Earlier)
      append(Distinct, Id.Number, 4);
  }
  Bytes Out;
  append(Out, static_cast<std::uint32_t>(Indexes.size()), 2);
  Out.insert(Out.end(), Distinct.begin(), Distinct.end());
  const int Octets = Indexes.size() <= OneByteIndexes ? 1 : 2;
  for (const std::uint32_t Index : Order)
    append(Out, Index, Octets);
  return Out;
}

/// Reads big-endian integers and refuses to read past the end.
class ByteReader {
public:
  explicit ByteReader(const Bytes &Source) : Source(Source) {}

  std::uint32_t next(int Octets) {
    if (Source.size() - At < static_cast<std::size_t>(Octets))
      throw std::out_of_range("a bucket table is too short");
    std::uint32_t Value = 0;
    for (int I = 0; I < Octets; ++I)
      Value = Value << 8U | Source[At++];
    return Value;
  }

  bool atEnd() const { return At == Source.size(); }

private:
  const Bytes &Source;
  std::size_t At = 0;
};

std::vector<Bucket> unpackBuckets(const Bytes &Packed) {
  ByteReader In(Packed);
  const std::size_t Count = In.next(2);
  if (Count == 0 || Count > BucketsPerService)
    throw std::out_of_range("a bucket table has too many distinct buckets");
  std::vector<Bucket> Distinct(Count);
  for (Bucket &B : Distinct) {
    B.Owner.Number = In.next(4);
    for (UpstreamId &Id : B.Earlier)
      Id.Number = In.next(4);
  }
  const int Octets = Count <= OneByteIndexes ? 1 : 2;
  std::vector<Bucket> Buckets;
  Buckets.reserve(BucketsPerService);
  for (std::size_t I = 0; I < BucketsPerService; ++I)
    Buckets.push_back(Distinct.at(In.next(Octets)));
  if (!In.atEnd())
    throw std::out_of_range("a bucket table is too long");
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
  expectMembers(In, 3);
  read(In, "answered", V.Answered);
  read(In, "lines_whole", V.LinesWhole);
  read(In, "within_deadline", V.WithinDeadline);
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
  expectMembers(In, 9);
  read(In, "name", V.Name);
  read(In, "max_imbalance", V.MaxImbalance);
  read(In, "deadline_ms", V.Deadline);
  read(In, "cold_start_ms", V.ColdStart);
  read(In, "line_idle_limit_ms", V.LineIdleLimit);
  read(In, "retry_budget", V.RetryBudget);
  read(In, "offload", V.Offload);
  read(In, "objectives", V.Targets);
  read(In, "changed", V.Changed);
}

void to_json(json &Out, const Service &V) {
  Out = {{"id", V.Id},
         {"name", V.Name},
         {"address", V.Address},
         {"profile", V.ProfileName},
         {"changed", V.Changed}};
}

void from_json(const json &In, Service &V) {
  expectMembers(In, 5);
  read(In, "id", V.Id);
  read(In, "name", V.Name);
  read(In, "address", V.Address);
  read(In, "profile", V.ProfileName);
  read(In, "changed", V.Changed);
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
  expectMembers(In, 12);
  read(In, "id", V.Id);
  read(In, "name", V.Name);
  read(In, "service", V.Service);
  read(In, "data_centre", V.DataCentre);
  read(In, "agent", V.Agent);
  read(In, "slots", V.Slots);
  read(In, "incarnation", V.Instance);
  V.Phase = enumerator<UpstreamPhase>(In.at("phase"), 0,
                                      static_cast<int>(UpstreamPhase::Lost));
  read(In, "changed", V.Changed);
  read(In, "warm_up", V.WarmUp);
  read(In, "drain_ordered", V.DrainOrdered);
  read(In, "ordered", V.Ordered);
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
  expectMembers(In, 5);
  read(In, "name", V.Name);
  read(In, "data_centre", V.DataCentre);
  read(In, "tunnel", V.Tunnel);
  read(In, "alive", V.Alive);
  read(In, "changed", V.Changed);
}

void to_json(json &Out, const BucketTable &V) {
  Out = {{"service", V.Service},
         {"buckets", json::binary(packBuckets(V.Buckets))},
         {"changed", V.Changed}};
}

void from_json(const json &In, BucketTable &V) {
  expectMembers(In, 3);
  read(In, "service", V.Service);
  const json::binary_t &Packed = In.at("buckets").get_binary();
  V.Buckets = unpackBuckets(Packed);
  read(In, "changed", V.Changed);
}

namespace {

/// Writes the values of a map; their keys follow from the values.
template <typename Map> json valuesOf(const Map &Objects) {
  json Out = json::array();
  for (const auto &[Key, Value] : Objects)
    Out.push_back(Value);
  return Out;
}

template <typename Map, typename KeyOf>
void readValues(const json &In, const char *Name, Map &Objects, KeyOf Key) {
  const json &List = In.at(Name);
  if (!List.is_array())
    throw std::invalid_argument("a list of objects is missing");
  Objects.clear();
  for (const json &Element : List) {
    auto Value = Element.get<typename Map::mapped_type>();
    auto Name = Key(Value);
    if (!Objects.emplace(std::move(Name), std::move(Value)).second)
      throw std::invalid_argument("two objects have the same key");
  }
}

} // namespace

void to_json(json &Out, const Configuration &V) {
  Out = {{"in_force", V.InForce},
         {"profiles", valuesOf(V.Profiles)},
         {"services", valuesOf(V.Services)},
         {"upstreams", valuesOf(V.Upstreams)},
         {"entries", valuesOf(V.Entries)},
         {"tables", valuesOf(V.Tables)}};
}

void from_json(const json &In, Configuration &V) {
  const auto ByName = [](const auto &Value) { return Value.Name; };
  const auto ById = [](const auto &Value) { return Value.Id; };
  expectMembers(In, 6);
  read(In, "in_force", V.InForce);
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
  expectMembers(In, 6);
  read(In, "name", V.Name);
  read(In, "service", V.ServiceName);
  read(In, "data_centre", V.DataCentre);
  read(In, "agent", V.Agent);
  read(In, "slots", V.Slots);
  read(In, "run", V.RunId);
}

static void to_json(json &Out, const EntryAnnouncement &V) {
  Out = {{"name", V.Name},
         {"data_centre", V.DataCentre},
         {"tunnel", V.Tunnel},
         {"run", V.RunId}};
}

static void from_json(const json &In, EntryAnnouncement &V) {
  expectMembers(In, 4);
  read(In, "name", V.Name);
  read(In, "data_centre", V.DataCentre);
  read(In, "tunnel", V.Tunnel);
  read(In, "run", V.RunId);
}

static void to_json(json &Out, const PutProfile &V) {
  Out = {{"value", V.Value}, {"expected", V.Expected}};
}

static void from_json(const json &In, PutProfile &V) {
  expectMembers(In, 2);
  read(In, "value", V.Value);
  read(In, "expected", V.Expected);
}

static void to_json(json &Out, const RemoveProfile &V) {
  Out = {{"name", V.Name}, {"expected", V.Expected}};
}

static void from_json(const json &In, RemoveProfile &V) {
  expectMembers(In, 2);
  read(In, "name", V.Name);
  read(In, "expected", V.Expected);
}

static void to_json(json &Out, const PutService &V) {
  Out = {{"value", V.Value}, {"expected", V.Expected}};
}

static void from_json(const json &In, PutService &V) {
  expectMembers(In, 2);
  read(In, "value", V.Value);
  read(In, "expected", V.Expected);
}

static void to_json(json &Out, const SetDrain &V) {
  Out = {{"upstream", V.UpstreamName},
         {"draining", V.Draining},
         {"expected", V.Expected}};
}

static void from_json(const json &In, SetDrain &V) {
  expectMembers(In, 3);
  read(In, "upstream", V.UpstreamName);
  read(In, "draining", V.Draining);
  read(In, "expected", V.Expected);
}

static void to_json(json &Out, const AnnounceUpstream &V) {
  Out = {{"value", V.Value}};
}

static void from_json(const json &In, AnnounceUpstream &V) {
  expectMembers(In, 1);
  read(In, "value", V.Value);
}

static void to_json(json &Out, const AnnounceEntry &V) {
  Out = {{"value", V.Value}};
}

static void from_json(const json &In, AnnounceEntry &V) {
  expectMembers(In, 1);
  read(In, "value", V.Value);
}

static void to_json(json &Out, const ActivateUpstream &V) {
  Out = {{"id", V.Id}, {"incarnation", V.Instance}};
}

static void from_json(const json &In, ActivateUpstream &V) {
  expectMembers(In, 2);
  read(In, "id", V.Id);
  read(In, "incarnation", V.Instance);
}

static void to_json(json &Out, const RetireUpstream &V) {
  Out = {{"id", V.Id}, {"incarnation", V.Instance}};
}

static void from_json(const json &In, RetireUpstream &V) {
  expectMembers(In, 2);
  read(In, "id", V.Id);
  read(In, "incarnation", V.Instance);
}

static void to_json(json &Out, const RetireEntry &V) {
  Out = {{"name", V.Name}};
}

static void from_json(const json &In, RetireEntry &V) {
  expectMembers(In, 1);
  read(In, "name", V.Name);
}

static void to_json(json &Out, const AdvanceWarmUp &V) {
  Out = {{"id", V.Id}, {"incarnation", V.Instance}, {"step", V.Step}};
}

static void from_json(const json &In, AdvanceWarmUp &V) {
  expectMembers(In, 3);
  read(In, "id", V.Id);
  read(In, "incarnation", V.Instance);
  read(In, "step", V.Step);
}

static void to_json(json &Out, const ForgetUpstream &V) {
  Out = {{"upstream", V.UpstreamName}, {"expected", V.Expected}};
}

static void from_json(const json &In, ForgetUpstream &V) {
  expectMembers(In, 2);
  read(In, "upstream", V.UpstreamName);
  read(In, "expected", V.Expected);
}

namespace {

/// Names of the alternatives of CommandBody, in their order. Stored in logs,
/// so a name never changes.
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
    throw std::invalid_argument("unknown kind of command");
  }
}

} // namespace

void to_json(json &Out, const Command &V) {
  Out = {{"id", V.Id}, {"kind", CommandNames[V.Body.index()]}};
  std::visit([&](const auto &Body) { Out["body"] = Body; }, V.Body);
}

void from_json(const json &In, Command &V) {
  expectMembers(In, 3);
  read(In, "id", V.Id);
  V.Body = readBody(In.at("kind").get<std::string>(), In.at("body"));
}

void to_json(json &Out, const CommandResult &V) {
  Out = {{"at", V.At},
         {"accepted", V.Accepted},
         {"code", static_cast<unsigned>(V.Reason.Code)},
         {"detail", V.Reason.Detail}};
}

void from_json(const json &In, CommandResult &V) {
  expectMembers(In, 4);
  read(In, "at", V.At);
  read(In, "accepted", V.Accepted);
  V.Reason.Code = static_cast<ErrorCode>(integer<std::uint16_t>(In.at("code")));
  read(In, "detail", V.Reason.Detail);
}

// Outcome reports -------------------------------------------------------------

static void to_json(json &Out, const PromiseCount &V) {
  Out = {{"service", V.Service}, {"promise", static_cast<unsigned>(V.Which)},
         {"held", V.Held},       {"broken", V.Broken},
         {"unknown", V.Unknown}, {"evidence", V.Evidence}};
}

static void from_json(const json &In, PromiseCount &V) {
  expectMembers(In, 6);
  read(In, "service", V.Service);
  V.Which = enumerator<Promise>(In.at("promise"),
                                static_cast<int>(Promise::LinesSurvive),
                                static_cast<int>(Promise::ConfigurationHolds));
  read(In, "held", V.Held);
  read(In, "broken", V.Broken);
  read(In, "unknown", V.Unknown);
  read(In, "evidence", V.Evidence);
}

void to_json(json &Out, const OutcomeReport &V) {
  Out = {{"host", V.Host}, {"run", V.RunId}, {"counts", V.Counts}};
}

void from_json(const json &In, OutcomeReport &V) {
  expectMembers(In, 3);
  read(In, "host", V.Host);
  read(In, "run", V.RunId);
  if (!In.at("counts").is_array())
    throw std::invalid_argument("counts must be a list");
  read(In, "counts", V.Counts);
}

// CBOR ------------------------------------------------------------------------

namespace {

/// Follows a parse and stops it at the first container that is too deep.
class DepthCheck final : public nlohmann::json_sax<json> {
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
  bool start_object(std::size_t /*Size*/) override { return enter(); }
  bool end_object() override { return leave(); }
  bool start_array(std::size_t /*Size*/) override { return enter(); }
  bool end_array() override { return leave(); }
  bool parse_error(std::size_t /*Position*/, const std::string & /*Token*/,
                   const json::exception &Reason) override {
    Message = Reason.what();
    return false;
  }

  std::string Message = "nested too deeply";

private:
  bool enter() { return ++Depth <= MaxCborDepth; }
  bool leave() {
    --Depth;
    return true;
  }

  int Depth = 0;
};

json stateJson(const State &V) {
  json Results = json::array();
  for (const std::string &Id : V.ResultOrder)
    Results.push_back(json::array({Id, V.Results.at(Id)}));
  return {{"config", V.Config},
          {"results", std::move(Results)},
          {"runs", V.RunIds},
          {"next_service", V.NextService},
          {"next_upstream", V.NextUpstream}};
}

void require(bool Holds, const char *Otherwise) {
  if (!Holds)
    throw std::invalid_argument(Otherwise);
}

/// Checks the references that apply follows without a further check.
void checkReferences(const State &S) {
  const Configuration &C = S.Config;
  std::set<std::string> Names;
  std::set<Endpoint> Addresses;
  for (const auto &[Id, Value] : C.Services) {
    require(Id.Number != 0, "a service has id zero");
    require(C.Profiles.count(Value.ProfileName) != 0,
            "a service names an unknown profile");
    require(C.Tables.count(Id) != 0, "a service has no bucket table");
    require(Names.insert(Value.Name).second, "two services share a name");
    require(Addresses.insert(Value.Address).second,
            "two services share an address");
  }
  require(C.Tables.size() == C.Services.size(),
          "a bucket table belongs to no service");
  Names.clear();
  for (const auto &[Id, Value] : C.Upstreams) {
    require(Id.Number != 0, "an upstream has id zero");
    require(C.Services.count(Value.Service) != 0,
            "an upstream names an unknown service");
    require(Names.insert(Value.Name).second, "two upstreams share a name");
  }
}

State stateOf(const json &In) {
  State S;
  expectMembers(In, 5);
  read(In, "config", S.Config);
  for (const json &Pair : In.at("results")) {
    require(Pair.is_array() && Pair.size() == 2, "a result is no pair");
    auto Id = Pair[0].get<std::string>();
    require(S.Results.emplace(Id, Pair[1].get<CommandResult>()).second,
            "two results have the same command id");
    S.ResultOrder.push_back(std::move(Id));
  }
  read(In, "runs", S.RunIds);
  read(In, "next_service", S.NextService);
  read(In, "next_upstream", S.NextUpstream);
  checkReferences(S);
  S.Index = buildIndex(S.Config);
  return S;
}

/// Decodes with \p Convert and accepts only what \p Encode writes.
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
                std::string(What) + ": not in the form that is written");
  } catch (const std::exception &Reason) {
    return fail(ErrorCode::MessageMalformed,
                std::string(What) + ": " + Reason.what());
  }
}

} // namespace

Expected<json> parseCbor(const Bytes &Encoded) {
  DepthCheck Check;
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
  return json::to_cbor(stateJson(Value));
}

Expected<State> decodeState(const Bytes &Encoded) {
  return decode<State>(Encoded, "state", stateOf, encodeState);
}

} // namespace jasminearch::control

namespace jasminearch {

static void from_json(const nlohmann::json &In, Endpoint &E) {
  if (!In.is_array() || In.size() != 2)
    throw std::invalid_argument("an endpoint must be an address and a port");
  E.Address = control::integer<std::uint32_t>(In[0]);
  E.Port = control::integer<std::uint16_t>(In[1]);
}

} // namespace jasminearch
