#include "jasminearch/consensus/messages.h"
#include "jasminearch/consensus/detail/cbor.h"
#include <utility>

namespace jasminearch::consensus {

using detail::ArrayReader;
using detail::Json;

namespace {

/// Changes when the message format does.
constexpr unsigned FormatVersion = 1;

void append(Json &To, const LeaderStamp &Stamp) {
  To.push_back(Stamp.SentAt);
  To.push_back(Stamp.QuorumAge);
  To.push_back(Stamp.LastReplyAt);
}

void append(Json &To, const FollowerStamp &Stamp) {
  To.push_back(Stamp.AnswersSentAt);
  To.push_back(Stamp.RepliedAt);
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
  append(To, Body.Stamp);
  To.push_back(Body.PreviousIndex);
  To.push_back(Body.PreviousTerm);
  To.push_back(Body.Committed);
  Json Entries = Json::array();
  for (const LogEntry &Entry : Body.Entries)
    Entries.push_back(detail::toJson(Entry));
  To.push_back(std::move(Entries));
}

void append(Json &To, const AppendReply &Body) {
  append(To, Body.Stamp);
  To.push_back(Body.Accepted);
  To.push_back(Body.PreviousIndex);
  To.push_back(Body.Match);
}

void append(Json &To, const SnapshotChunk &Body) {
  append(To, Body.Stamp);
  To.push_back(Body.Index);
  To.push_back(Body.InTerm);
  To.push_back(detail::toJson(Body.Members));
  To.push_back(Body.Offset);
  To.push_back(Body.TotalBytes);
  To.push_back(Json::binary(Body.Data));
}

void append(Json &To, const SnapshotReply &Body) {
  append(To, Body.Stamp);
  To.push_back(Body.Index);
  To.push_back(Body.NextOffset);
  To.push_back(Body.Installed);
  To.push_back(Body.Match);
}

void append(Json & /*To*/, const JoinRequest & /*Body*/) {}

void read(ArrayReader &From, LeaderStamp &Stamp) {
  Stamp.SentAt = From.signedNumber();
  Stamp.QuorumAge = From.signedNumber();
  Stamp.LastReplyAt = From.signedNumber();
}

void read(ArrayReader &From, FollowerStamp &Stamp) {
  Stamp.AnswersSentAt = From.signedNumber();
  Stamp.RepliedAt = From.signedNumber();
}

void read(ArrayReader &From, VoteRequest &Body) {
  Body.PreVote = From.truth();
  Body.LastIndex = From.number();
  Body.LastTerm = From.number();
}

void read(ArrayReader &From, VoteReply &Body) {
  Body.PreVote = From.truth();
  Body.Granted = From.truth();
}

/// Entries must follow PreviousIndex without gaps.
void read(ArrayReader &From, AppendRequest &Body) {
  read(From, Body.Stamp);
  Body.PreviousIndex = From.number();
  Body.PreviousTerm = From.number();
  Body.Committed = From.number();
  if (Body.PreviousIndex > MaxIndexOrTerm)
    return From.reject();
  LogIndex Expected = Body.PreviousIndex;
  for (const Json &Element : From.array()) {
    auto Entry = detail::entryFrom(Element);
    if (!Entry || Entry->Index != ++Expected)
      return From.reject();
    if (Entry->Kind == EntryKind::Membership && !decodeMembers(Entry->Payload))
      return From.reject();
    Body.Entries.push_back(std::move(*Entry));
  }
}

void read(ArrayReader &From, AppendReply &Body) {
  read(From, Body.Stamp);
  Body.Accepted = From.truth();
  Body.PreviousIndex = From.number();
  Body.Match = From.number();
}

void read(ArrayReader &From, SnapshotChunk &Body) {
  read(From, Body.Stamp);
  Body.Index = From.number();
  Body.InTerm = From.number();
  auto Members = detail::membersFrom(From.array());
  Body.Offset = From.number();
  Body.TotalBytes = From.number();
  Body.Data = From.bytes();
  if (!Members || Body.Index == 0 || Body.InTerm == 0 ||
      Body.Index > MaxIndexOrTerm || Body.InTerm > MaxIndexOrTerm ||
      Body.Offset > Body.TotalBytes ||
      Body.Data.size() > Body.TotalBytes - Body.Offset)
    return From.reject();
  Body.Members = std::move(*Members);
}

void read(ArrayReader &From, SnapshotReply &Body) {
  read(From, Body.Stamp);
  Body.Index = From.number();
  Body.NextOffset = From.number();
  Body.Installed = From.truth();
  Body.Match = From.number();
}

void read(ArrayReader & /*From*/, JoinRequest & /*Body*/) {}

/// Makes the alternative of MessageBody that has number \p Type.
template <std::size_t Type = 0> bool select(MessageBody &Body, std::size_t At) {
  if constexpr (Type < std::variant_size_v<MessageBody>) {
    if (At != Type)
      return select<Type + 1>(Body, At);
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
  const std::uint64_t Version = Reader.number();
  const std::uint64_t Type = Reader.number();
  if (!Reader.good() || Version != FormatVersion)
    return fail(ErrorCode::MessageMalformed,
                "not a consensus message of format 1");
  Message M;
  if (!select(M.Body, Type))
    return fail(ErrorCode::MessageUnknownType,
                "consensus message type " + std::to_string(Type));
  M.FromStorageId = Reader.text();
  M.ToStorageId = Reader.text();
  M.InTerm = Reader.number();
  std::visit([&Reader](auto &Body) { read(Reader, Body); }, M.Body);
  if (!Reader.complete() || M.FromStorageId.empty() ||
      M.InTerm > MaxIndexOrTerm)
    return fail(ErrorCode::MessageMalformed,
                "fields of consensus message type " + std::to_string(Type));
  return M;
}

Bytes encodeMembers(const std::vector<Member> &Members) {
  return Json::to_cbor(detail::toJson(Members));
}

Expected<std::vector<Member>> decodeMembers(const Bytes &Encoded) {
  const auto Decoded = detail::decodeCbor(Encoded);
  if (!Decoded)
    return tl::unexpected(Decoded.error());
  auto Members = detail::membersFrom(*Decoded);
  if (!Members)
    return fail(ErrorCode::MessageMalformed, "not a member list");
  return *Members;
}

} // namespace jasminearch::consensus
