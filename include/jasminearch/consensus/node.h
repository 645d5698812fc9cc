#ifndef JASMINEARCH_CONSENSUS_NODE_H
#define JASMINEARCH_CONSENSUS_NODE_H

#include "jasminearch/consensus/log_entry.h"
#include "jasminearch/consensus/messages.h"
#include "jasminearch/error.h"
#include "jasminearch/types.h"
#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// Decisions of one control host's copy of the replicated log: Raft with
/// pre-vote, leader lease, check quorum, learners and single-server membership
/// changes. Free functions over NodeState; no I/O, no clock, no threads.
///
/// Each function that changes the state returns Effects. The caller carries
/// them out in the order of their fields; if one of the writes fails, it drops
/// the rest and calls recover() with what the disk holds.
namespace jasminearch::consensus {

/// Time between a leader's messages to each peer.
constexpr Duration HeartbeatInterval = std::chrono::milliseconds(50);

/// A follower waits at least this long for its leader before it campaigns, and
/// for as long refuses votes to others.
constexpr Duration ElectionTimeoutMin = std::chrono::milliseconds(250);
constexpr Duration ElectionTimeoutMax = std::chrono::milliseconds(500);

/// How long a quorum's confirmation lets the leader answer reads. Less than
/// ElectionTimeoutMin by a margin for clocks that run at different rates, so
/// that it ends before a quorum can elect another leader.
constexpr Duration LeaseDuration = std::chrono::milliseconds(190);

/// A candidate that did not win tries again after a random part of this, with a
/// new pre-vote. It is short because two hosts whose votes were split have both
/// outwaited the old leader already, and a full timeout would exceed the bound
/// of 1 s on choosing a leader.
/// It doubles with each failure, up to the election timeout, so that replies
/// slower than it still arrive in time.
constexpr Duration CampaignRetryMin = std::chrono::milliseconds(30);
constexpr Duration CampaignRetryMax = std::chrono::milliseconds(150);

/// Time between JoinRequests of a host that is not a member.
constexpr Duration JoinInterval = std::chrono::milliseconds(400);

/// With open membership: silence after which a member may be replaced. Longer
/// than an election and a restart, shorter than the time after which the users
/// count a replaced host's successor as repaired (4 s).
constexpr Duration ReplaceAfter = std::chrono::milliseconds(2000);

/// With open membership: silence after which a surplus learner is removed.
constexpr Duration ForgetLearnerAfter = std::chrono::seconds(10);

/// A member without news of a leader for this long asks to join again: it may
/// have been removed while it was cut off.
constexpr Duration RejoinAfter = std::chrono::milliseconds(1500);

/// Largest sum of entry payloads in one AppendRequest, unless one entry alone
/// is larger; and most entries.
constexpr std::size_t MaxBatchBytes = 256U << 10U;
constexpr std::size_t MaxBatchEntries = 512;

/// Most entries sent to a peer beyond the last that it confirmed.
constexpr LogIndex MaxEntriesInFlight = 4096;

constexpr std::size_t SnapshotChunkBytes = 64U << 10U;

/// Largest snapshot that a follower assembles. It bounds the memory that a
/// faulty leader's TotalBytes can claim.
constexpr std::uint64_t MaxSnapshotBytes = 256U << 20U;

/// Settings of one node.
struct NodeOptions {
  std::string Host;
  std::string StorageId;
  /// Names of all control hosts, this one included. With open membership only
  /// those that are asked to admit this one.
  std::vector<std::string> Hosts;
  /// Voters that open membership keeps. Zero: only Hosts may join, and each
  /// becomes a voter.
  std::size_t MaxVoters = 0;
  /// Seeds the election timeouts.
  std::uint64_t Seed = 0;
  /// Added to this node's own times on the wire. Differs at each start, so that
  /// a reply to an earlier start is not taken for a recent one.
  std::int64_t StampOffset = 0;
};

enum class Role : std::uint8_t { Follower, PreCandidate, Candidate, Leader };

/// A snapshot on its way to a peer.
struct OutgoingSnapshot {
  std::shared_ptr<const Snapshot> Source;
  /// Bytes that the peer has confirmed.
  std::uint64_t Offset = 0;
  /// The last data sent: where and when.
  std::uint64_t SentOffset = 0;
  TimePoint SentAt{};
};

/// What a leader knows of one peer. Kept per (host, storage id) pair.
struct Peer {
  std::string StorageId;
  /// Last index known to match.
  LogIndex Match = 0;
  /// First index to send next.
  LogIndex Next = 1;
  /// Sending time of the newest message that the peer answered in this term.
  std::optional<TimePoint> ConfirmedAt;
  /// Newest FollowerStamp::RepliedAt.
  std::int64_t LastReplyAt = 0;
  std::optional<OutgoingSnapshot> Transfer;
};

/// A snapshot on its way from the leader.
struct IncomingSnapshot {
  LogIndex Index = 0;
  Term InTerm = 0;
  std::uint64_t TotalBytes = 0;
  Bytes State;
};

/// A member list and the entry that set it.
struct MembershipAt {
  LogIndex Index = 0;
  std::vector<Member> Members;
};

/// One node. Only this module's functions change it.
struct NodeState {
  NodeOptions Options;
  std::uint64_t RandomState = 0;

  // On disk.
  HardState Hard;
  EntryLog Log;
  std::shared_ptr<const Snapshot> LatestSnapshot;

  // In memory only.
  Role Is = Role::Follower;
  std::string Leader;
  LogIndex Committed = 0;
  /// Last index that is durable here, and Committed when it became so.
  LogIndex Synced = 0;
  LogIndex CommittedWhenSynced = 0;
  /// Member lists of the log, oldest first; the last one is in force.
  std::vector<MembershipAt> Memberships;
  /// A vote may be given to others from ElectionTimeoutMin after this: when the
  /// leader was last heard, or the start, since it is unknown what was
  /// promised before it.
  TimePoint LeaderHeardAt{};
  TimePoint ElectionDeadline{};
  TimePoint JoinDue{};
  TimePoint StartedAt{};
  /// When a quorum last confirmed the leader, as far as this node can show.
  std::optional<TimePoint> QuorumShownAt;
  std::optional<IncomingSnapshot> Incoming;

  // Candidates and pre-candidates.
  /// Campaigns since a leader was last heard.
  unsigned Campaigns = 0;
  std::vector<StorageRef> Votes;

  // Leaders.
  /// Index of the NoOp that started this leader's term.
  LogIndex TermStart = 0;
  TimePoint LeadingSince{};
  TimePoint HeartbeatDue{};
  /// Committed at the last heartbeat. A learner that has it has caught up.
  LogIndex CommittedAtHeartbeat = 0;
  std::map<std::string, Peer> Peers;
  /// Data folders that asked to join, by host, and when.
  std::map<std::string, std::pair<std::string, TimePoint>> Joining;
};

/// A message for another host.
struct Outgoing {
  std::string Host;
  Message Content;
};

/// What the caller does after a step, in this order.
struct Effects {
  /// Replace the snapshot on disk and the log by the node's, then the user's
  /// state by the snapshot's.
  std::shared_ptr<const Snapshot> Install;
  /// Write term and vote.
  bool WriteHardState = false;
  /// Write the entries from this index on.
  std::optional<LogIndex> WriteFrom;
  /// Sync all that was written, then send these.
  std::vector<Outgoing> Messages;
};

/// \returns a node as it starts with \p Stored.
NodeState makeNode(NodeOptions Options, StoredState Stored, TimePoint Now);

/// Replaces what \p Node believes to be on disk after a failed write by what is
/// there. A leader or candidate becomes a follower.
void recover(NodeState &Node, StoredState Stored, TimePoint Now);

/// Runs timers.
Effects tick(NodeState &Node, TimePoint Now);

/// Gives up leading and lets the others campaign first.
Effects stepDown(NodeState &Node, TimePoint Now);

/// Handles \p Received, which the link says is from \p Host.
Effects receive(NodeState &Node, const std::string &Host,
                const Message &Received, TimePoint Now);

/// \returns the entry that propose() would append; NotLeader, or NoQuorum for a
/// leader without a confirmed lease.
Expected<LogEntry> prepareProposal(const NodeState &Node, Bytes Payload,
                                   TimePoint Now);

/// Appends an entry from prepareProposal() that has been written to disk. It is
/// sent by replicate().
void acceptProposal(NodeState &Node, LogEntry Entry);

/// Tells \p Node that all of its state is durable; called after each step whose
/// writes succeeded. A leader without other voters commits.
void markSynced(NodeState &Node);

/// Sends new entries to all peers.
Effects replicate(NodeState &Node, TimePoint Now);

/// Replaces the snapshot by \p Latest, taken at or before Committed, and drops
/// the entries more than \p KeepEntries before it.
void compact(NodeState &Node, std::shared_ptr<const Snapshot> Latest,
             LogIndex KeepEntries);

/// \returns the member list in force.
const std::vector<Member> &membersOf(const NodeState &Node);

/// \returns the member list as of \p Index, which is at or after the snapshot.
const std::vector<Member> &membersAt(const NodeState &Node, LogIndex Index);

/// \returns whether this leader may accept proposals: a quorum confirmed it
/// within the lease.
bool quorumConfirmed(const NodeState &Node, TimePoint Now);

/// \returns whether this leader may answer reads: as quorumConfirmed(), and an
/// entry of its own term is committed.
bool leaseHeld(const NodeState &Node, TimePoint Now);

/// \returns the time since a quorum last confirmed the leader, at most.
Duration quorumAge(const NodeState &Node, TimePoint Now);

} // namespace jasminearch::consensus

#endif // JASMINEARCH_CONSENSUS_NODE_H
