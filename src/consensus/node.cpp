#include "jasminearch/consensus/node.h"
#include "jasminearch/consensus/detail/node_steps.h"
#include <algorithm>
#include <cassert>
#include <utility>

namespace jasminearch::consensus {

using namespace detail;

namespace {

/// \returns the next number of the splitmix64 generator.
std::uint64_t nextRandom(std::uint64_t &State) {
  State += 0x9E3779B97F4A7C15U;
  std::uint64_t Mixed = State;
  Mixed = (Mixed ^ (Mixed >> 30U)) * 0xBF58476D1CE4E5B9U;
  Mixed = (Mixed ^ (Mixed >> 27U)) * 0x94D049BB133111EBU;
  return Mixed ^ (Mixed >> 31U);
}

/// Replaces the persistent state by \p Stored.
void loadStoredState(NodeState &Node, StoredState Stored) {
  Node.Hard = std::move(Stored.Hard);
  Node.Log = std::move(Stored.Log);
  Node.LatestSnapshot = std::move(Stored.LatestSnapshot);
  Node.SyncedIndex = lastIndex(Node.Log);
  Node.Memberships.clear();
  const LogIndex From = Node.LatestSnapshot ? Node.LatestSnapshot->Index : 0;
  Node.Memberships.push_back({From, Node.LatestSnapshot
                                        ? Node.LatestSnapshot->Members
                                        : std::vector<Member>()});
  for (const LogEntry &Entry : Node.Log.Entries) {
    if (Entry.Index > From)
      recordMembership(Node, Entry);
  }
  Node.CommitIndex = std::max(Node.CommitIndex, From);
  Node.CommitIndexWhenSynced = Node.CommitIndex;
}

} // namespace

namespace detail {

void send(const NodeState &Node, Effects &Out, const std::string &Host,
          const std::string &ToStorageId, MessageBody Body) {
  Out.Messages.push_back({Host,
                          {Node.Options.StorageId, ToStorageId,
                           Node.Hard.Current, std::move(Body)}});
}

void resetElectionTimer(NodeState &Node, TimePoint Now, Duration Min,
                        Duration Max) {
  const auto Span = static_cast<std::uint64_t>((Max - Min).count());
  const std::uint64_t Part = nextRandom(Node.RandomState) % Span;
  Node.ElectionDeadline =
      Now + Min + Duration(static_cast<Duration::rep>(Part));
}

void becomeFollower(NodeState &Node, Term InTerm, Effects &Out, TimePoint Now) {
  assert(InTerm >= Node.Hard.Current);
  if (InTerm > Node.Hard.Current) {
    Node.Hard = HardState{InTerm, {}};
    Node.Leader.clear();
    Out.WriteHardState = true;
  }
  if (Node.CurrentRole == Role::Leader) {
    const Duration Age = quorumAge(Node, Now);
    Node.LatestKnownQuorumAt.reset();
    // Without a known quorum the difference would overflow.
    if (Age != Duration::max())
      Node.LatestKnownQuorumAt = Now - Age;
    Node.Leader.clear();
  }
  if (Node.CurrentRole != Role::Follower)
    resetElectionTimer(Node, Now, ElectionTimeoutMin, ElectionTimeoutMax);
  Node.CurrentRole = Role::Follower;
  Node.Votes.clear();
  Node.Incoming.reset();
  Node.Peers.clear();
  Node.PendingJoins.clear();
}

bool isVoter(const std::vector<Member> &Members, const MemberId &Id) {
  return std::any_of(Members.begin(), Members.end(), [&Id](const Member &M) {
    return M.Voter && M.Host == Id.Host && M.StorageId == Id.StorageId;
  });
}

MemberId ownMemberId(const NodeState &Node) {
  return {Node.Options.Host, Node.Options.StorageId};
}

void recordMembership(NodeState &Node, const LogEntry &Entry) {
  if (Entry.Kind != EntryKind::Membership)
    return;
  // The message and disk decoders have validated the payload.
  auto Members = decodeMembers(Entry.Payload);
  if (Members)
    Node.Memberships.push_back({Entry.Index, std::move(*Members)});
}

void dropTruncatedMemberships(NodeState &Node) {
  while (Node.Memberships.size() > 1 &&
         Node.Memberships.back().Index > lastIndex(Node.Log))
    Node.Memberships.pop_back();
}

std::int64_t toWireTimestamp(const NodeState &Node, TimePoint At) {
  const auto Time = static_cast<std::uint64_t>(At.time_since_epoch().count());
  const auto Offset = static_cast<std::uint64_t>(Node.Options.TimestampOffset);
  return static_cast<std::int64_t>(Time + Offset);
}

std::optional<TimePoint> fromWireTimestamp(const NodeState &Node,
                                           std::int64_t Timestamp,
                                           TimePoint From, TimePoint To) {
  const auto Offset = static_cast<std::uint64_t>(Node.Options.TimestampOffset);
  const std::uint64_t Time = static_cast<std::uint64_t>(Timestamp) - Offset;
  const TimePoint At{Duration(static_cast<Duration::rep>(Time))};
  if (At < From || At > To)
    return std::nullopt;
  return At;
}

} // namespace detail

Effects stepDown(NodeState &Node, TimePoint Now) {
  Effects Out;
  if (Node.CurrentRole != Role::Leader)
    return Out;
  becomeFollower(Node, Node.Hard.Current, Out, Now);
  resetElectionTimer(Node, Now, 4 * ElectionTimeoutMax, 8 * ElectionTimeoutMax);
  return Out;
}

NodeState makeNode(NodeOptions Options, StoredState Stored, TimePoint Now) {
  NodeState Node;
  Node.Options = std::move(Options);
  Node.RandomState = Node.Options.Seed;
  Node.StartedAt = Now;
  Node.LastLeaderContact = Now;
  Node.NextJoinRequestAt = Now;
  loadStoredState(Node, std::move(Stored));
  resetElectionTimer(Node, Now, ElectionTimeoutMin, ElectionTimeoutMax);
  if (ledCurrentTerm(Node, Node.Options.StorageId))
    Node.ElectionDeadline = Now;
  return Node;
}

void recover(NodeState &Node, StoredState Stored, TimePoint Now) {
  if (Node.CurrentRole != Role::Follower) {
    Effects Dropped;
    becomeFollower(Node, Node.Hard.Current, Dropped, Now);
  }
  if (Node.Hard.Current != Stored.Hard.Current)
    Node.Leader.clear();
  Node.Incoming.reset();
  // The step whose write failed may have committed entries that were to
  // replace conflicting entries still on disk.
  Node.CommitIndex = Node.CommitIndexWhenSynced;
  // The quorum was recorded for entries that may be lost now.
  Node.LatestKnownQuorumAt.reset();
  loadStoredState(Node, std::move(Stored));
}

Effects tick(NodeState &Node, TimePoint Now) {
  Effects Out;
  if (Node.CurrentRole == Role::Leader)
    runLeaderTimers(Node, Out, Now);
  else
    runElectionTimer(Node, Out, Now);
  runJoinTimer(Node, Out, Now);
  return Out;
}

Effects receive(NodeState &Node, const std::string &Host,
                const Message &Received, TimePoint Now) {
  Effects Out;
  if (Host == Node.Options.Host)
    return Out;
  const bool ForThisStorage = Received.ToStorageId.empty() ||
                              Received.ToStorageId == Node.Options.StorageId;
  if (!ForThisStorage) {
    // The sender knows another storage id for this host.
    if (std::holds_alternative<AppendRequest>(Received.Body))
      send(Node, Out, Host, Received.FromStorageId, JoinRequest{});
    return Out;
  }
  if (const auto *Vote = std::get_if<VoteRequest>(&Received.Body))
    onVoteRequest(Node, Host, Received, *Vote, Out, Now);
  else if (const auto *Reply = std::get_if<VoteReply>(&Received.Body))
    onVoteReply(Node, Host, Received, *Reply, Out, Now);
  else if (const auto *Append = std::get_if<AppendRequest>(&Received.Body))
    onAppendRequest(Node, Host, Received, *Append, Out, Now);
  else if (const auto *AppendResult = std::get_if<AppendReply>(&Received.Body))
    onAppendReply(Node, Host, Received, *AppendResult, Out, Now);
  else if (const auto *Chunk = std::get_if<SnapshotChunk>(&Received.Body))
    onSnapshotChunk(Node, Host, Received, *Chunk, Out, Now);
  else if (const auto *ChunkReply = std::get_if<SnapshotReply>(&Received.Body))
    onSnapshotReply(Node, Host, Received, *ChunkReply, Out, Now);
  else
    onJoinRequest(Node, Host, Received, Now);
  return Out;
}

Expected<LogEntry> prepareProposal(const NodeState &Node, Bytes Payload,
                                   TimePoint Now) {
  if (Node.CurrentRole != Role::Leader)
    return fail(ErrorCode::NotLeader,
                Node.Leader.empty()
                    ? "this host is not the leader; no leader is known"
                    : "this host is not the leader; the leader is " +
                          Node.Leader);
  if (!quorumConfirmed(Node, Now))
    return fail(ErrorCode::NoQuorum,
                "no quorum confirmed this leader within the lease duration");
  return LogEntry{lastIndex(Node.Log) + 1, Node.Hard.Current, EntryKind::Data,
                  std::move(Payload)};
}

void appendProposal(NodeState &Node, LogEntry Entry) {
  assert(Entry.Index == lastIndex(Node.Log) + 1);
  Node.Log.Entries.push_back(std::move(Entry));
}

void markSynced(NodeState &Node) {
  Node.SyncedIndex = lastIndex(Node.Log);
  if (Node.CurrentRole == Role::Leader)
    advanceCommitIndex(Node);
  Node.CommitIndexWhenSynced = Node.CommitIndex;
}

Effects replicate(NodeState &Node, TimePoint Now) {
  Effects Out;
  if (Node.CurrentRole != Role::Leader)
    return Out;
  for (const auto &[Host, Unused] : Node.Peers)
    sendToPeer(Node, Host, false, Out, Now);
  return Out;
}

void compact(NodeState &Node, std::shared_ptr<const Snapshot> Latest,
             LogIndex RetainedEntries) {
  assert(Latest->Index <= Node.CommitIndex);
  const LogIndex LastDiscarded =
      Latest->Index > RetainedEntries ? Latest->Index - RetainedEntries : 0;
  if (LastDiscarded > Node.Log.BaseIndex)
    discardThrough(Node.Log, LastDiscarded);
  auto &Lists = Node.Memberships;
  while (Lists.size() > 1 && Lists[1].Index <= Latest->Index)
    Lists.erase(Lists.begin());
  Node.LatestSnapshot = std::move(Latest);
}

const std::vector<Member> &currentMembers(const NodeState &Node) {
  return Node.Memberships.back().Members;
}

const std::vector<Member> &membersAt(const NodeState &Node, LogIndex Index) {
  auto Position = Node.Memberships.size() - 1;
  while (Position > 0 && Node.Memberships[Position].Index > Index)
    --Position;
  return Node.Memberships[Position].Members;
}

bool quorumConfirmed(const NodeState &Node, TimePoint Now) {
  return Node.CurrentRole == Role::Leader &&
         Now - quorumConfirmedAt(Node, Now) < LeaseDuration;
}

bool leaseHeld(const NodeState &Node, TimePoint Now) {
  return quorumConfirmed(Node, Now) && Node.CommitIndex >= Node.TermStartIndex;
}

Duration quorumAge(const NodeState &Node, TimePoint Now) {
  const Duration Shown = Node.LatestKnownQuorumAt
                             ? Now - *Node.LatestKnownQuorumAt
                             : Duration::max();
  // Before its first commit, a leader may lack commits of earlier leaders.
  if (Node.CurrentRole != Role::Leader ||
      Node.CommitIndex < Node.TermStartIndex)
    return Shown;
  return std::min(Shown, Now - quorumConfirmedAt(Node, Now));
}

} // namespace jasminearch::consensus
