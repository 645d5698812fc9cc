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

/// The consensus algorithm of one control host: Raft with pre-vote, leader
/// lease, check quorum, learners and single-server membership changes. It is
/// implemented as free functions over NodeState that use no I/O, no clock and
/// no threads.
///
/// Functions that need I/O return it as Effects. The caller executes them in
/// the order of their fields. If a write fails, the caller discards the
/// remaining effects and calls recover() with the state found on disk.
namespace jasminearch::consensus {

/// Time between a leader's heartbeats to each peer.
constexpr Duration HeartbeatInterval = std::chrono::milliseconds(50);

/// A follower that hears nothing from its leader campaigns after a random time
/// between these two. It refuses votes to others until ElectionTimeoutMin has
/// passed.
constexpr Duration ElectionTimeoutMin = std::chrono::milliseconds(250);
constexpr Duration ElectionTimeoutMax = std::chrono::milliseconds(500);

/// How long a leader may answer reads after a quorum confirmed it. Shorter than
/// ElectionTimeoutMin, with a margin for clocks that run at different rates, so
/// that the lease ends before a quorum can elect another leader.
constexpr Duration LeaseDuration = std::chrono::milliseconds(190);

/// A candidate that didn't win starts a new pre-vote after a random time
/// between these two. The time is short because after a split vote both
/// candidates have already waited for the old leader, and another full election
/// timeout would exceed the limit of 1 s for electing a leader. It doubles with
/// each failure, up to the election timeout, so that slow replies still arrive
/// in time.
constexpr Duration CampaignRetryMin = std::chrono::milliseconds(30);
constexpr Duration CampaignRetryMax = std::chrono::milliseconds(150);

/// Time between JoinRequests from a host that isn't a member.
constexpr Duration JoinRequestInterval = std::chrono::milliseconds(400);

/// With open membership, a voter that hasn't replied for this long may be
/// replaced. Longer than an election and a restart, and shorter than the 4 s
/// after which the users of the log treat the host's successor as repaired.
constexpr Duration VoterReplacementTimeout = std::chrono::milliseconds(2000);

/// With open membership, a learner that hasn't replied for this long is
/// removed.
constexpr Duration LearnerRemovalTimeout = std::chrono::seconds(10);

/// With open membership, a member that has had no contact with a leader for
/// this long sends JoinRequests: it may have been removed while it was
/// unreachable.
constexpr Duration RejoinTimeout = std::chrono::milliseconds(1500);

/// Limits for one AppendRequest: total payload size, unless a single entry is
/// larger, and number of entries.
constexpr std::size_t MaxAppendBytes = 256U << 10U;
constexpr std::size_t MaxAppendEntries = 512;

/// Largest number of entries sent to a peer but not yet confirmed by it.
constexpr LogIndex MaxEntriesInFlight = 4096;

/// Largest amount of snapshot data in one SnapshotChunk.
constexpr std::size_t SnapshotChunkBytes = 64U << 10U;

/// Largest snapshot that a follower accepts. It limits the memory that a faulty
/// leader can make a follower allocate.
constexpr std::uint64_t MaxSnapshotBytes = 256U << 20U;

/// Configuration of one node.
struct NodeOptions {
  std::string Host;
  std::string StorageId;
  /// Names of all control hosts including this one. With open membership, only
  /// the hosts to which this one sends JoinRequests.
  std::vector<std::string> Hosts;
  /// Largest number of voters with open membership, which lets any host join.
  /// Zero disables open membership: only Hosts may join, and each of them
  /// becomes a voter.
  std::size_t MaxVoters = 0;
  /// Seeds the election timeouts.
  std::uint64_t Seed = 0;
  /// Added to this node's timestamps on the wire, in nanoseconds. Differs at
  /// each start, so that a reply to a message sent before a restart isn't taken
  /// for a recent one.
  std::int64_t TimestampOffset = 0;
};

enum class Role : std::uint8_t { Follower, PreCandidate, Candidate, Leader };

/// A snapshot that is being sent to a peer.
struct OutgoingSnapshot {
  std::shared_ptr<const Snapshot> Source;
  /// Number of bytes that the peer has confirmed.
  std::uint64_t Offset = 0;
  /// Offset and time of the last chunk with data.
  std::uint64_t SentOffset = 0;
  TimePoint SentAt{};
};

/// A leader's replication state for one peer. It is discarded when the peer's
/// storage id changes.
struct Peer {
  std::string StorageId;
  /// Last index known to match the leader's log.
  LogIndex MatchIndex = 0;
  /// Index of the next entry to send.
  LogIndex NextIndex = 1;
  /// When this node sent the latest message that the peer replied to in this
  /// term.
  std::optional<TimePoint> ConfirmedAt;
  /// Latest FollowerTimestamps::RepliedAt received from the peer.
  std::int64_t LastReplyAt = 0;
  /// Set while the peer needs a snapshot.
  std::optional<OutgoingSnapshot> Transfer;
};

/// A snapshot that is being received from the leader.
struct IncomingSnapshot {
  LogIndex Index = 0;
  Term InTerm = 0;
  std::uint64_t TotalBytes = 0;
  Bytes State;
};

/// A member list and the index of the entry that contains it.
struct IndexedMembership {
  LogIndex Index = 0;
  std::vector<Member> Members;
};

/// State of one node. Only the functions of this module modify it.
struct NodeState {
  NodeOptions Options;
  std::uint64_t RandomState = 0;

  // Persistent state.
  HardState Hard;
  EntryLog Log;
  std::shared_ptr<const Snapshot> LatestSnapshot;

  // Volatile state.
  Role CurrentRole = Role::Follower;
  /// Host name of the current leader. Empty if not known.
  std::string Leader;
  LogIndex CommitIndex = 0;
  /// Last index that is durable on this host, and the value of CommitIndex when
  /// it became durable.
  LogIndex SyncedIndex = 0;
  LogIndex CommitIndexWhenSynced = 0;
  /// Member lists in the log, oldest first. The last one is in force.
  std::vector<IndexedMembership> Memberships;
  /// When this node last received a message from the leader. Initially the
  /// start time, because the node may have confirmed a lease before a restart.
  /// It votes for others only once ElectionTimeoutMin has passed since then.
  TimePoint LastLeaderContact{};
  TimePoint ElectionDeadline{};
  TimePoint NextJoinRequestAt{};
  TimePoint StartedAt{};
  /// Latest time at which a quorum is known to have confirmed the leader. This
  /// node has all entries that were committed until then.
  std::optional<TimePoint> LatestKnownQuorumAt;
  std::optional<IncomingSnapshot> Incoming;

  // State of candidates and pre-candidates.
  /// Number of campaigns since the last contact with a leader.
  unsigned CampaignCount = 0;
  std::vector<MemberId> Votes;

  // State of leaders.
  /// Index of the NoOp entry that this leader appended when it was elected.
  LogIndex TermStartIndex = 0;
  TimePoint LeaderSince{};
  TimePoint NextHeartbeatAt{};
  /// CommitIndex at the last heartbeat. A learner that has replicated up to
  /// this index has caught up.
  LogIndex CommitIndexAtHeartbeat = 0;
  std::map<std::string, Peer> Peers;
  /// Received JoinRequests by host: storage id and time of the latest request.
  std::map<std::string, std::pair<std::string, TimePoint>> PendingJoins;
};

/// A message to be sent to another host.
struct OutgoingMessage {
  std::string Host;
  Message Content;
};

/// I/O that the caller must execute after a step, in the order of the fields.
struct Effects {
  /// If set, replace snapshot and log on disk by those of the node, then
  /// restore the application state from the snapshot.
  std::shared_ptr<const Snapshot> SnapshotToInstall;
  /// Whether to write term and vote.
  bool WriteHardState = false;
  /// If set, write all entries from this index on.
  std::optional<LogIndex> WriteEntriesFrom;
  /// Messages to send after everything written has been synced.
  std::vector<OutgoingMessage> Messages;
};

/// \returns a follower that starts with the state \p Stored.
NodeState makeNode(NodeOptions Options, StoredState Stored, TimePoint Now);

/// Resets \p Node to the state \p Stored that was loaded from disk after a
/// failed write. A leader or candidate becomes a follower.
void recover(NodeState &Node, StoredState Stored, TimePoint Now);

/// Runs all timers that have expired.
Effects tick(NodeState &Node, TimePoint Now);

/// Makes a leader a follower. Its next campaign is delayed so that another host
/// can win the election.
Effects stepDown(NodeState &Node, TimePoint Now);

/// Handles the message \p Received from \p Host.
Effects receive(NodeState &Node, const std::string &Host,
                const Message &Received, TimePoint Now);

/// \returns the entry to append for \p Payload; NotLeader; or NoQuorum if this
/// node leads but no quorum confirmed it within the lease.
Expected<LogEntry> prepareProposal(const NodeState &Node, Bytes Payload,
                                   TimePoint Now);

/// Appends an entry from prepareProposal() that has been written to disk.
/// replicate() sends it to the peers.
void appendProposal(NodeState &Node, LogEntry Entry);

/// Records that the whole state of \p Node is durable. Must be called after
/// each step whose writes succeeded. A leader without other voters commits
/// here.
void markSynced(NodeState &Node);

/// Sends new entries to all peers. Does nothing unless \p Node leads.
Effects replicate(NodeState &Node, TimePoint Now);

/// Replaces the snapshot by \p Latest, which must not be newer than
/// CommitIndex, and discards all log entries up to it except for the last
/// \p RetainedEntries.
void compact(NodeState &Node, std::shared_ptr<const Snapshot> Latest,
             LogIndex RetainedEntries);

/// \returns the member list in force.
const std::vector<Member> &currentMembers(const NodeState &Node);

/// \returns the member list in effect at \p Index, which must not precede the
/// snapshot.
const std::vector<Member> &membersAt(const NodeState &Node, LogIndex Index);

/// \returns whether this node leads and may accept proposals, that is, whether
/// a quorum confirmed it within LeaseDuration.
bool quorumConfirmed(const NodeState &Node, TimePoint Now);

/// \returns whether this node leads and may answer reads: quorumConfirmed() is
/// true and an entry of its own term is committed.
bool leaseHeld(const NodeState &Node, TimePoint Now);

/// \returns an upper bound for the time since a quorum last confirmed the
/// leader, or Duration::max() if no confirmation is known.
Duration quorumAge(const NodeState &Node, TimePoint Now);

} // namespace jasminearch::consensus

#endif // JASMINEARCH_CONSENSUS_NODE_H
