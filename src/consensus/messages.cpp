#include "jasminearch/consensus/messages.h"
#include "jasminearch/consensus/detail/cbor.h"
#include <utility>

namespace jasminearch::consensus {

using detail::ArrayReader;
using detail::Json;

namespace {

/// Must be increased when the message format changes.
constexpr unsigned FormatVersion = 1;

void append(Json &To, const LeaderTimestamps &Timestamps) {
  To.push_back(Timestamps.SentAt);
  To.push_back(Timestamps.QuorumAge);
  To.push_back(Timestamps.LastReplyAt);
}

void append(Json &To, const FollowerTimestamps &Timestamps) {
  To.push_back(Timestamps.EchoedSentAt);
  To.push_back(Timestamps.RepliedAt);
}

void append(Json &To, const VoteRequest &Body) {
  To.push_back(Body.PreVote);
  To.push_back(Body.LastIndex);
  To.push_back(Body.LastTerm);
}

void append(Json &To, const VoteReply &Body) {
  To.push_back(Body.PreVote);
  To.push_back(Body.Granted);
}

void append(Json &To, const AppendRequest &Body) {
  append(To, Body.Timestamps);
  To.push_back(Body.PreviousIndex);
  To.push_back(Body.PreviousTerm);
  To.push_back(Body.CommitIndex);
  Json Entries = Json::array();
  for (const LogEntry &Entry : Body.Entries)
    Entries.push_back(detail::toJson(Entry));
  To.push_back(std::move(Entries));
}

void append(Json &To, const AppendReply &Body) {
  append(To, Body.Timestamps);
  To.push_back(Body.Accepted);
  To.push_back(Body.PreviousIndex);
  To.push_back(Body.MatchIndex);
}

void append(Json &To, const SnapshotChunk &Body) {
  append(To, Body.Timestamps);
  To.push_back(Body.Index);
  To.push_back(Body.InTerm);
  To.push_back(detail::toJson(Body.Members));
  To.push_back(Body.Offset);
  To.push_back(Body.TotalBytes);
  To.push_back(Json::binary(Body.Data));
}

void append(Json &To, const SnapshotReply &Body) {
  append(To, Body.Timestamps);
  To.push_back(Body.Index);
  To.push_back(Body.NextOffset);
  To.push_back(Body.Installed);
  To.push_back(Body.MatchIndex);
}

void append(Json & /*To*/, const JoinRequest & /*Body*/) {}

void read(ArrayReader &From, LeaderTimestamps &Timestamps) {
  Timestamps.SentAt = From.readSigned();
  Timestamps.QuorumAge = From.readSigned();
  Timestamps.LastReplyAt = From.readSigned();
}

void read(ArrayReader &From, FollowerTimestamps &Timestamps) {
  Timestamps.EchoedSentAt = From.readSigned();
  Timestamps.RepliedAt = From.readSigned();
}

void read(ArrayReader &From, VoteRequest &Body) {
  Body.PreVote = From.readBool();
  Body.LastIndex = From.readUnsigned();
  Body.LastTerm = From.readUnsigned();
}

void read(ArrayReader &From, VoteReply &Body) {
  Body.PreVote = From.readBool();
  Body.Granted = From.readBool();
}

/// Entries must be contiguous and start after PreviousIndex.
void read(ArrayReader &From, AppendRequest &Body) {
  read(From, Body.Timestamps);
  Body.PreviousIndex = From.readUnsigned();
  Body.PreviousTerm = From.readUnsigned();
  Body.CommitIndex = From.readUnsigned();
  if (Body.PreviousIndex > MaxIndexOrTerm)
    return From.markMalformed();
  LogIndex Expected = Body.PreviousIndex;
  for (const Json &Element : From.readArray()) {
    auto Entry = detail::parseEntry(Element);
    if (!Entry || Entry->Index != ++Expected)
      return From.markMalformed();
    if (Entry->Kind == EntryKind::Membership && !decodeMembers(Entry->Payload))
      return From.markMalformed();
    Body.Entries.push_back(std::move(*Entry));
  }
}

void read(ArrayReader &From, AppendReply &Body) {
  read(From, Body.Timestamps);
  Body.Accepted = From.readBool();
  Body.PreviousIndex = From.readUnsigned();
  Body.MatchIndex = From.readUnsigned();
}

void read(ArrayReader &From, SnapshotChunk &Body) {
  read(From, Body.Timestamps);
  Body.Index = From.readUnsigned();
  Body.InTerm = From.readUnsigned();
  auto Members = detail::parseMembers(From.readArray());
  Body.Offset = From.readUnsigned();
  Body.TotalBytes = From.readUnsigned();
  Body.Data = From.readBytes();
  if (!Members || Body.Index == 0 || Body.InTerm == 0 ||
      Body.Index > MaxIndexOrTerm || Body.InTerm > MaxIndexOrTerm ||
      Body.Offset > Body.TotalBytes ||
      Body.Data.size() > Body.TotalBytes - Body.Offset)
    return From.markMalformed();
  Body.Members = std::move(*Members);
}

void read(ArrayReader &From, SnapshotReply &Body) {
  read(From, Body.Timestamps);
  Body.Index = From.readUnsigned();
  Body.NextOffset = From.readUnsigned();
  Body.Installed = From.readBool();
  Body.MatchIndex = From.readUnsigned();
}

void read(ArrayReader & /*From*/, JoinRequest & /*Body*/) {}

/// Sets \p Body to the default value of the alternative with index \p Wanted.
/// \returns false if there is none.
template <std::size_t Type = 0>
bool selectAlternative(MessageBody &Body, std::size_t Wanted) {
  if constexpr (Type < std::variant_size_v<MessageBody>) {
    if (Wanted != Type)
      return selectAlternative<Type + 1>(Body, Wanted);
    Body.emplace<Type>();
    return true;
  }
  return false;
}

} // namespace

Bytes encode(const Message &M) {
  Json Array = Json::array({FormatVersion, M.Body.index(), M.FromStorageId,
                            M.ToStorageId, M.InTerm});
  std::visit([&Array](const auto &Body) { append(Array, Body); }, M.Body);
  return Json::to_cbor(Array);
}

Expected<Message> decodeMessage(const Bytes &Encoded) {
  const auto Decoded = detail::decodeCbor(Encoded);
  if (!Decoded)
    return tl::unexpected(Decoded.error());
  ArrayReader Reader(*Decoded);
  const std::uint64_t Version = Reader.readUnsigned();
  const std::uint64_t Type = Reader.readUnsigned();
  if (!Reader.valid() || Version != FormatVersion)
    return fail(ErrorCode::MessageMalformed,
                "not a consensus message of format version 1");
  Message M;
  if (!selectAlternative(M.Body, Type))
    return fail(ErrorCode::MessageUnknownType,
                "unknown consensus message type " + std::to_string(Type));
  M.FromStorageId = Reader.readString();
  M.ToStorageId = Reader.readString();
  M.InTerm = Reader.readUnsigned();
  std::visit([&Reader](auto &Body) { read(Reader, Body); }, M.Body);
  if (!Reader.complete() || M.FromStorageId.empty() ||
      M.InTerm > MaxIndexOrTerm)
    return fail(ErrorCode::MessageMalformed,
                "malformed fields in consensus message of type " +
                    std::to_string(Type));
  return M;
}

Bytes encodeMembers(const std::vector<Member> &Members) {
  return Json::to_cbor(detail::toJson(Members));
}

Expected<std::vector<Member>> decodeMembers(const Bytes &Encoded) {
  const auto Decoded = detail::decodeCbor(Encoded);
  if (!Decoded)
    return tl::unexpected(Decoded.error());
  auto Members = detail::parseMembers(*Decoded);
  if (!Members)
    return fail(ErrorCode::MessageMalformed, "malformed member list");
  return *Members;
}

} // namespace jasminearch::consensus
