#include "jasminearch/consensus/detail/cbor.h"
#include <limits>
#include <utility>

namespace jasminearch::consensus::detail {

namespace {

/// Deepest value of the formats: message, entries, entry, with one to spare.
constexpr unsigned MaxDepth = 5;

/// Accepts events up to MaxDepth and builds nothing.
class DepthCheck : public nlohmann::json_sax<Json> {
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
  bool start_object(std::size_t /*Elements*/) override { return false; }
  bool key(string_t & /*Value*/) override { return false; }
  bool end_object() override { return false; }
  bool start_array(std::size_t /*Elements*/) override {
    return ++Depth <= MaxDepth;
  }
  bool end_array() override {
    --Depth;
    return true;
  }
  bool parse_error(std::size_t /*Position*/, const std::string & /*Token*/,
                   const nlohmann::detail::exception & /*E*/) override {
    return false;
  }

private:
  unsigned Depth = 0;
};

} // namespace

Expected<Json> decodeCbor(const Bytes &Encoded) {
  DepthCheck Check;
  if (!Json::sax_parse(Encoded, &Check, Json::input_format_t::cbor))
    return fail(ErrorCode::MessageMalformed, "not an array in CBOR");
  Json Decoded = Json::from_cbor(Encoded, true, false);
  if (Decoded.is_discarded())
    return fail(ErrorCode::MessageMalformed, "not CBOR");
  return Decoded;
}

ArrayReader::ArrayReader(const Json &From)
    : Array(From), Size(From.is_array() ? From.size() : 0),
      Good(From.is_array()) {}

const Json &ArrayReader::take(Json::value_t Kind) {
  static const Json Nothing;
  if (!Good || Next >= Size || Array[Next].type() != Kind) {
    Good = false;
    return Nothing;
  }
  return Array[Next++];
}

std::uint64_t ArrayReader::number() {
  const Json &Value = take(Json::value_t::number_unsigned);
  return Good ? Value.get<std::uint64_t>() : 0;
}

std::int64_t ArrayReader::signedNumber() {
  const bool Negative = Good && Next < Size &&
                        Array[Next].type() == Json::value_t::number_integer;
  if (Negative)
    return take(Json::value_t::number_integer).get<std::int64_t>();
  const std::uint64_t Value = number();
  if (Value > std::uint64_t{std::numeric_limits<std::int64_t>::max()})
    Good = false;
  return Good ? static_cast<std::int64_t>(Value) : 0;
}

bool ArrayReader::truth() {
  const Json &Value = take(Json::value_t::boolean);
  return Good && Value.get<bool>();
}

std::string ArrayReader::text() {
  const Json &Value = take(Json::value_t::string);
  return Good ? Value.get<std::string>() : std::string();
}

Bytes ArrayReader::bytes() {
  const Json &Value = take(Json::value_t::binary);
  return Good ? Bytes(Value.get_binary()) : Bytes();
}

const Json &ArrayReader::array() {
  static const Json Empty = Json::array();
  const Json &Value = take(Json::value_t::array);
  return Good ? Value : Empty;
}

Json toJson(const Member &M) {
  return Json::array({M.Host, M.StorageId, M.Voter});
}

Json toJson(const std::vector<Member> &Members) {
  Json Array = Json::array();
  for (const Member &M : Members)
    Array.push_back(toJson(M));
  return Array;
}

Json toJson(const LogEntry &Entry) {
  return Json::array({Entry.Index, Entry.InTerm,
                      static_cast<unsigned>(Entry.Kind),
                      Json::binary(Entry.Payload)});
}

std::optional<std::vector<Member>> membersFrom(const Json &From) {
  if (!From.is_array())
    return std::nullopt;
  std::vector<Member> Members;
  for (const Json &Element : From) {
    ArrayReader Reader(Element);
    Member M;
    M.Host = Reader.text();
    M.StorageId = Reader.text();
    M.Voter = Reader.truth();
    if (!Reader.complete() || M.Host.empty())
      return std::nullopt;
    Members.push_back(std::move(M));
  }
  return Members;
}

std::optional<LogEntry> entryFrom(const Json &From) {
  ArrayReader Reader(From);
  LogEntry Entry;
  Entry.Index = Reader.number();
  Entry.InTerm = Reader.number();
  const std::uint64_t Kind = Reader.number();
  Entry.Payload = Reader.bytes();
  if (!Reader.complete() || Entry.Index == 0 || Entry.InTerm == 0 ||
      Entry.Index > MaxIndexOrTerm || Entry.InTerm > MaxIndexOrTerm ||
      Kind > static_cast<unsigned>(EntryKind::Data))
    return std::nullopt;
  Entry.Kind = static_cast<EntryKind>(Kind);
  return Entry;
}

} // namespace jasminearch::consensus::detail
