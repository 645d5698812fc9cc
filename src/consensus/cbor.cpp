#include "jasminearch/consensus/detail/cbor.h"
#include <limits>
#include <utility>

namespace jasminearch::consensus::detail {

namespace {

/// Largest accepted nesting depth. The formats need three levels (message,
/// entries, entry); the others are spare.
constexpr unsigned MaxNestingDepth = 5;

/// Rejects maps, invalid CBOR and arrays nested deeper than MaxNestingDepth,
/// without building a value.
class DepthChecker : public nlohmann::json_sax<Json> {
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
    return ++Depth <= MaxNestingDepth;
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
  DepthChecker Check;
  if (!Json::sax_parse(Encoded, &Check, Json::input_format_t::cbor))
    return fail(ErrorCode::MessageMalformed,
                "invalid CBOR, or contains a map or more than 5 nested arrays");
  Json Decoded = Json::from_cbor(Encoded, true, false);
  if (Decoded.is_discarded())
    return fail(ErrorCode::MessageMalformed, "invalid CBOR");
  return Decoded;
}

ArrayReader::ArrayReader(const Json &From)
    : Array(From), Size(From.is_array() ? From.size() : 0),
      Valid(From.is_array()) {}

const Json &ArrayReader::takeElement(Json::value_t Type) {
  static const Json Null;
  if (!Valid || Next >= Size || Array[Next].type() != Type) {
    Valid = false;
    return Null;
  }
  return Array[Next++];
}

std::uint64_t ArrayReader::readUnsigned() {
  const Json &Value = takeElement(Json::value_t::number_unsigned);
  return Valid ? Value.get<std::uint64_t>() : 0;
}

std::int64_t ArrayReader::readSigned() {
  const bool Negative = Valid && Next < Size &&
                        Array[Next].type() == Json::value_t::number_integer;
  if (Negative)
    return takeElement(Json::value_t::number_integer).get<std::int64_t>();
  const std::uint64_t Value = readUnsigned();
  if (Value > std::uint64_t{std::numeric_limits<std::int64_t>::max()})
    Valid = false;
  return Valid ? static_cast<std::int64_t>(Value) : 0;
}

bool ArrayReader::readBool() {
  const Json &Value = takeElement(Json::value_t::boolean);
  return Valid && Value.get<bool>();
}

std::string ArrayReader::readString() {
  const Json &Value = takeElement(Json::value_t::string);
  return Valid ? Value.get<std::string>() : std::string();
}

Bytes ArrayReader::readBytes() {
  const Json &Value = takeElement(Json::value_t::binary);
  return Valid ? Bytes(Value.get_binary()) : Bytes();
}

const Json &ArrayReader::readArray() {
  static const Json Empty = Json::array();
  const Json &Value = takeElement(Json::value_t::array);
  return Valid ? Value : Empty;
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

std::optional<std::vector<Member>> parseMembers(const Json &From) {
  if (!From.is_array())
    return std::nullopt;
  std::vector<Member> Members;
  for (const Json &Element : From) {
    ArrayReader Reader(Element);
    Member M;
    M.Host = Reader.readString();
    M.StorageId = Reader.readString();
    M.Voter = Reader.readBool();
    if (!Reader.complete() || M.Host.empty())
      return std::nullopt;
    Members.push_back(std::move(M));
  }
  return Members;
}

std::optional<LogEntry> parseEntry(const Json &From) {
  ArrayReader Reader(From);
  LogEntry Entry;
  Entry.Index = Reader.readUnsigned();
  Entry.InTerm = Reader.readUnsigned();
  const std::uint64_t Kind = Reader.readUnsigned();
  Entry.Payload = Reader.readBytes();
  if (!Reader.complete() || Entry.Index == 0 || Entry.InTerm == 0 ||
      Entry.Index > MaxIndexOrTerm || Entry.InTerm > MaxIndexOrTerm ||
      Kind > static_cast<unsigned>(EntryKind::Data))
    return std::nullopt;
  Entry.Kind = static_cast<EntryKind>(Kind);
  return Entry;
}

} // namespace jasminearch::consensus::detail
