#include "jasminearch/consensus/detail/cbor.h"
#include "jasminearch/cbor_input.h"
#include <limits>
#include <utility>

namespace jasminearch::consensus::detail {

namespace {

/// Largest accepted nesting depth. The formats need three levels (message,
/// entries, entry); the others are spare.
constexpr unsigned MaxNestingDepth = 5;

} // namespace

Expected<Json> decodeCbor(const Bytes &Encoded) {
  return parseCborArrays(Encoded, MaxNestingDepth);
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
