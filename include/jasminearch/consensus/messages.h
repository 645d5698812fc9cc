#ifndef JASMINEARCH_CONSENSUS_MESSAGES_H
#define JASMINEARCH_CONSENSUS_MESSAGES_H

#include "jasminearch/consensus/log_entry.h"
#include "jasminearch/error.h"
#include <cstddef>
#include <variant>

/// Messages between control hosts. On the wire each is one CBOR array.
namespace jasminearch::consensus {

/// Asks for a vote, or with PreVote whether a vote would be granted. The
/// message's term is the term that the sender wants to lead.
struct VoteRequest {
  bool PreVote = false;
  LogIndex LastIndex = 0;
  Term LastTerm = 0;

  bool operator==(const VoteRequest &) const = default;
};

/// Answers a VoteRequest. A granted pre-vote carries the requested term, every
/// other reply the sender's own term.
struct VoteReply {
  bool PreVote = false;
  bool Granted = false;

  bool operator==(const VoteReply &) const = default;
};

/// Times that a leader sends with each message. All are nanoseconds.
struct LeaderStamp {
  /// The leader's clock at sending; the reply returns it.
  std::int64_t SentAt = 0;
  /// Time since a quorum last confirmed the leader, as of SentAt.
  std::int64_t QuorumAge = 0;
  /// Newest FollowerStamp::RepliedAt that the leader received; 0 for none.
  /// It bounds how long this message was under way.
  std::int64_t LastReplyAt = 0;

  bool operator==(const LeaderStamp &) const = default;
};

/// Times that a follower sends with each reply. All are nanoseconds.
struct FollowerStamp {
  /// LeaderStamp::SentAt of the message that this answers.
  std::int64_t AnswersSentAt = 0;
  /// The follower's own time at sending; opaque to the leader.
  std::int64_t RepliedAt = 0;

  bool operator==(const FollowerStamp &) const = default;
};

/// Replicates entries; without entries it is a heartbeat.
struct AppendRequest {
  LeaderStamp Stamp;
  LogIndex PreviousIndex = 0;
  Term PreviousTerm = 0;
  LogIndex Committed = 0;
  std::vector<LogEntry> Entries;

  bool operator==(const AppendRequest &) const = default;
};

/// Answers an AppendRequest.
struct AppendReply {
  FollowerStamp Stamp;
  bool Accepted = false;
  /// PreviousIndex of the request.
  LogIndex PreviousIndex = 0;
  /// Accepted: last index known to match the leader's log. Refused: index from
  /// which the leader should try again.
  LogIndex Match = 0;

  bool operator==(const AppendReply &) const = default;
};

/// Part of a snapshot. A chunk without data asks how much has arrived and
/// serves as a heartbeat.
struct SnapshotChunk {
  LeaderStamp Stamp;
  LogIndex Index = 0;
  Term InTerm = 0;
  std::vector<Member> Members;
  std::uint64_t Offset = 0;
  std::uint64_t TotalBytes = 0;
  Bytes Data;

  bool operator==(const SnapshotChunk &) const = default;
};

/// Answers a SnapshotChunk.
struct SnapshotReply {
  FollowerStamp Stamp;
  LogIndex Index = 0;
  /// Bytes received so far.
  std::uint64_t NextOffset = 0;
  /// The snapshot, or newer state, is in force at the sender.
  bool Installed = false;
  /// With Installed: last index known to match the leader's log.
  LogIndex Match = 0;

  bool operator==(const SnapshotReply &) const = default;
};

/// Tells that the sender's data folder is not a member. Only a leader acts on
/// it.
struct JoinRequest {
  bool operator==(const JoinRequest &) const = default;
};

using MessageBody =
    std::variant<VoteRequest, VoteReply, AppendRequest, AppendReply,
                 SnapshotChunk, SnapshotReply, JoinRequest>;

/// A message and the data folders that it travels between.
struct Message {
  std::string FromStorageId;
  /// Receivers with another storage id ignore the content. Empty means any.
  std::string ToStorageId;
  Term InTerm = 0;
  MessageBody Body;

  bool operator==(const Message &) const = default;
};

/// \returns \p M as CBOR. Linear in its size.
Bytes encode(const Message &M);

/// Inverse of encode(). \returns MessageMalformed or MessageUnknownType for
/// bytes that encode() doesn't produce.
Expected<Message> decodeMessage(const Bytes &Encoded);

/// \returns \p Members as the payload of a membership entry.
Bytes encodeMembers(const std::vector<Member> &Members);

/// Inverse of encodeMembers(). \returns MessageMalformed for other bytes.
Expected<std::vector<Member>> decodeMembers(const Bytes &Encoded);

} // namespace jasminearch::consensus

#endif // JASMINEARCH_CONSENSUS_MESSAGES_H
