#ifndef JASMINEARCH_CONSENSUS_MESSAGES_H
#define JASMINEARCH_CONSENSUS_MESSAGES_H

#include "jasminearch/consensus/log_entry.h"
#include "jasminearch/error.h"
#include <cstddef>
#include <variant>

/// Consensus messages between control hosts. Each is encoded as one CBOR array.
namespace jasminearch::consensus {

/// Requests a vote. With PreVote, only asks whether a vote would be granted.
/// Message::InTerm is the term that the sender wants to lead.
struct VoteRequest {
  bool PreVote = false;
  LogIndex LastIndex = 0;
  Term LastTerm = 0;

  bool operator==(const VoteRequest &) const = default;
};

/// Reply to a VoteRequest. Message::InTerm is the requested term for a granted
/// pre-vote, otherwise the sender's current term.
struct VoteReply {
  bool PreVote = false;
  bool Granted = false;

  bool operator==(const VoteReply &) const = default;
};

/// Timestamps that a leader sends with each message, in nanoseconds.
struct LeaderTimestamps {
  /// The leader's clock when it sent the message. The reply echoes it.
  std::int64_t SentAt = 0;
  /// Time between the last confirmation of the leader by a quorum and SentAt.
  std::int64_t QuorumAge = 0;
  /// Latest FollowerTimestamps::RepliedAt that the leader received from this
  /// peer, or 0. The peer uses it as an upper bound for the transit time of
  /// this message.
  std::int64_t LastReplyAt = 0;

  bool operator==(const LeaderTimestamps &) const = default;
};

/// Timestamps that a follower sends with each reply, in nanoseconds.
struct FollowerTimestamps {
  /// LeaderTimestamps::SentAt of the message that this is a reply to.
  std::int64_t EchoedSentAt = 0;
  /// The follower's clock when it sent the reply. Opaque to the leader.
  std::int64_t RepliedAt = 0;

  bool operator==(const FollowerTimestamps &) const = default;
};

/// Replicates log entries (Raft's AppendEntries). Without entries it is a
/// heartbeat.
struct AppendRequest {
  LeaderTimestamps Timestamps;
  LogIndex PreviousIndex = 0;
  Term PreviousTerm = 0;
  LogIndex CommitIndex = 0;
  std::vector<LogEntry> Entries;

  bool operator==(const AppendRequest &) const = default;
};

/// Reply to an AppendRequest.
struct AppendReply {
  FollowerTimestamps Timestamps;
  bool Accepted = false;
  /// Copied from the request.
  LogIndex PreviousIndex = 0;
  /// If Accepted, the last index known to match the leader's log. Otherwise the
  /// index after which the leader should retry.
  LogIndex MatchIndex = 0;

  bool operator==(const AppendReply &) const = default;
};

/// Part of a snapshot. A chunk without data is a heartbeat that asks how many
/// bytes of the snapshot have arrived.
struct SnapshotChunk {
  LeaderTimestamps Timestamps;
  LogIndex Index = 0;
  Term InTerm = 0;
  std::vector<Member> Members;
  std::uint64_t Offset = 0;
  std::uint64_t TotalBytes = 0;
  Bytes Data;

  bool operator==(const SnapshotChunk &) const = default;
};

/// Reply to a SnapshotChunk.
struct SnapshotReply {
  FollowerTimestamps Timestamps;
  LogIndex Index = 0;
  /// Number of bytes received so far.
  std::uint64_t NextOffset = 0;
  /// Whether the sender has installed this snapshot or has newer state.
  bool Installed = false;
  /// If Installed, the last index known to match the leader's log.
  LogIndex MatchIndex = 0;

  bool operator==(const SnapshotReply &) const = default;
};

/// Asks the leader to add the sender's data folder as a member. Hosts that
/// don't lead ignore it.
struct JoinRequest {
  bool operator==(const JoinRequest &) const = default;
};

using MessageBody =
    std::variant<VoteRequest, VoteReply, AppendRequest, AppendReply,
                 SnapshotChunk, SnapshotReply, JoinRequest>;

/// A message with the storage ids of its sender and receiver.
struct Message {
  std::string FromStorageId;
  /// A receiver with another storage id ignores the body. Empty matches any
  /// receiver.
  std::string ToStorageId;
  Term InTerm = 0;
  MessageBody Body;

  bool operator==(const Message &) const = default;
};

/// \returns \p M encoded as CBOR. Complexity: linear in its size.
Bytes encode(const Message &M);

/// Inverse of encode(). \returns MessageMalformed or MessageUnknownType if
/// \p Encoded isn't a valid message.
Expected<Message> decodeMessage(const Bytes &Encoded);

/// \returns \p Members encoded as the payload of a membership entry.
Bytes encodeMembers(const std::vector<Member> &Members);

/// Inverse of encodeMembers(). \returns MessageMalformed if \p Encoded isn't a
/// valid member list.
Expected<std::vector<Member>> decodeMembers(const Bytes &Encoded);

} // namespace jasminearch::consensus

#endif // JASMINEARCH_CONSENSUS_MESSAGES_H
