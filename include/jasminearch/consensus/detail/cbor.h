#ifndef JASMINEARCH_CONSENSUS_DETAIL_CBOR_H
#define JASMINEARCH_CONSENSUS_DETAIL_CBOR_H

#include "jasminearch/consensus/log_entry.h"
#include "jasminearch/error.h"
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

/// CBOR helpers of the messages and of the disk format.
namespace jasminearch::consensus::detail {

using Json = nlohmann::json;

/// Decodes one CBOR value. \returns MessageMalformed for anything else, and for
/// nesting deeper than the formats here use: the library's decoder recurses
/// once per level and would exhaust the stack.
Expected<Json> decodeCbor(const Bytes &Encoded);

/// Reads the elements of an array in order and remembers the first failure.
class ArrayReader {
public:
  explicit ArrayReader(const Json &From);

  std::uint64_t number();
  std::int64_t signedNumber();
  bool truth();
  std::string text();
  Bytes bytes();
  /// \returns the next element if it is an array, else an empty array.
  const Json &array();

  /// \returns whether all elements were read and had the right types.
  bool complete() const { return Good && Next == Size; }

  /// \returns whether nothing has failed so far.
  bool good() const { return Good; }

  /// Marks the array as malformed.
  void reject() { Good = false; }

private:
  const Json &take(Json::value_t Kind);

  const Json &Array;
  std::size_t Size;
  std::size_t Next = 0;
  bool Good;
};

Json toJson(const Member &M);
Json toJson(const std::vector<Member> &Members);
Json toJson(const LogEntry &Entry);

/// Each reads the inverse of toJson(). Empty for anything else.
std::optional<std::vector<Member>> membersFrom(const Json &From);
std::optional<LogEntry> entryFrom(const Json &From);

} // namespace jasminearch::consensus::detail

#endif // JASMINEARCH_CONSENSUS_DETAIL_CBOR_H
