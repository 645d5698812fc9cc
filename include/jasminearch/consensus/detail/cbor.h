#ifndef JASMINEARCH_CONSENSUS_DETAIL_CBOR_H
#define JASMINEARCH_CONSENSUS_DETAIL_CBOR_H

#include "jasminearch/consensus/log_entry.h"
#include "jasminearch/error.h"
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

/// CBOR helpers shared by the message and disk formats.
namespace jasminearch::consensus::detail {

using Json = nlohmann::json;

/// Decodes one CBOR value. \returns MessageMalformed for invalid CBOR, and for
/// deeper nesting than the message and disk formats use: the library's decoder
/// recurses once per level and would exhaust the stack.
Expected<Json> decodeCbor(const Bytes &Encoded);

/// Reads the elements of an array in order. After a missing element or one of
/// the wrong type, all reads return empty values and valid() is false.
class ArrayReader {
public:
  explicit ArrayReader(const Json &From);

  std::uint64_t readUnsigned();
  std::int64_t readSigned();
  bool readBool();
  std::string readString();
  Bytes readBytes();
  /// \returns the next element if it is an array, otherwise an empty array.
  const Json &readArray();

  /// \returns whether all elements were read and had the expected types.
  bool complete() const { return Valid && Next == Size; }

  /// \returns whether all reads so far succeeded.
  bool valid() const { return Valid; }

  /// Marks the array as malformed.
  void markMalformed() { Valid = false; }

private:
  const Json &takeElement(Json::value_t Type);

  const Json &Array;
  std::size_t Size;
  std::size_t Next = 0;
  bool Valid;
};

Json toJson(const Member &M);
Json toJson(const std::vector<Member> &Members);
Json toJson(const LogEntry &Entry);

/// Inverse functions of toJson(). \returns std::nullopt for malformed values.
std::optional<std::vector<Member>> parseMembers(const Json &From);
std::optional<LogEntry> parseEntry(const Json &From);

} // namespace jasminearch::consensus::detail

#endif // JASMINEARCH_CONSENSUS_DETAIL_CBOR_H
