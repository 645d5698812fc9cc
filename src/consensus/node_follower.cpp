#include "jasminearch/consensus/detail/node_steps.h"
#include "jasminearch/consensus/node.h"
#include <algorithm>
#include <utility>

namespace jasminearch::consensus::detail {

namespace {

/// Larger quorum ages are ignored, so that time arithmetic can't overflow.
constexpr Duration MaxQuorumAge = std::chrono::hours(1);

FollowerTimestamps replyTimestamps(const NodeState &Node,
                                   const LeaderTimestamps &Timestamps,
                                   TimePoint Now) {
  return {Timestamps.SentAt, toWireTimestamp(Node, Now)};
}

/// Updates LatestKnownQuorumAt. The leader sent the message after it received
/// this node's reply from LastReplyAt, so the quorum confirmed the leader no
/// earlier than QuorumAge before that reply, however long the message took.
/// Must be called only once this node has all entries that the leader had
/// committed, because hosts with a recent quorum pass for current.
void recordQuorumAge(NodeState &Node, const LeaderTimestamps &Timestamps,
                     TimePoint Now) {
  const Duration Age(Timestamps.QuorumAge);
  const auto RepliedAt =
      fromWireTimestamp(Node, Timestamps.LastReplyAt, Node.StartedAt, Now);
  if (!RepliedAt || Age < Duration::zero() || Age > MaxQuorumAge)
    return;
  const TimePoint QuorumAt = *RepliedAt - Age;
  if (!Node.LatestKnownQuorumAt || *Node.LatestKnownQuorumAt < QuorumAt)
    Node.LatestKnownQuorumAt = QuorumAt;
}

/// Accepts \p Host as leader of \p InTerm. \returns false if the term is
/// outdated or if this node leads it.
bool followLeader(NodeState &Node, const std::string &Host, Term InTerm,
                  Effects &Out, TimePoint Now) {
  if (InTerm < Node.Hard.Current)
    return false;
  if (InTerm == Node.Hard.Current && Node.CurrentRole == Role::Leader)
    return false;
  if (InTerm > Node.Hard.Current || Node.CurrentRole != Role::Follower)
    becomeFollower(Node, InTerm, Out, Now);
  Node.Leader = Host;
  Node.LastLeaderContact = Now;
  Node.CampaignCount = 0;
  resetElectionTimer(Node, Now, ElectionTimeoutMin, ElectionTimeoutMax);
  return true;
}

/// \returns the index after which the leader should retry: the last index that
/// may match, skipping all entries of the conflicting term.
LogIndex retryIndex(const NodeState &Node, const AppendRequest &Body) {
  const LogIndex Last = lastIndex(Node.Log);
  if (Body.PreviousIndex > Last)
    return Last;
  const Term Conflict = termAt(Node.Log, Body.PreviousIndex);
  LogIndex Index = Body.PreviousIndex - 1;
  while (Index > Node.CommitIndex && termAt(Node.Log, Index) == Conflict)
    --Index;
  return Index;
}

/// \returns whether the log contains the entry that precedes the request's
/// entries. Entries before BaseIndex are committed and therefore always match.
bool previousEntryMatches(const NodeState &Node, const AppendRequest &Body) {
  if (Body.PreviousIndex < Node.Log.BaseIndex)
    return true;
  return containsIndex(Node.Log, Body.PreviousIndex) &&
         termAt(Node.Log, Body.PreviousIndex) == Body.PreviousTerm;
}

/// Appends new entries and removes conflicting ones. \returns false if the
/// entries are inconsistent or conflict with a committed entry, which a correct
/// leader never sends.
bool appendEntries(NodeState &Node, const std::vector<LogEntry> &Entries,
                   Effects &Out) {
  for (const LogEntry &Entry : Entries) {
    if (Entry.Index <= Node.Log.BaseIndex)
      continue;
    if (Entry.Index <= lastIndex(Node.Log)) {
      if (termAt(Node.Log, Entry.Index) == Entry.InTerm)
        continue;
      if (Entry.Index <= Node.CommitIndex)
        return false;
      truncateAfter(Node.Log, Entry.Index - 1);
      dropTruncatedMemberships(Node);
    }
    if (Entry.InTerm < lastTerm(Node.Log) || Entry.InTerm > Node.Hard.Current)
      return false;
    Node.Log.Entries.push_back(Entry);
    recordMembership(Node, Entry);
    if (!Out.WriteEntriesFrom)
      Out.WriteEntriesFrom = Entry.Index;
  }
  return true;
}

/// Installs the completely received snapshot.
void installSnapshot(NodeState &Node, const SnapshotChunk &Body, Effects &Out) {
  auto Latest = std::make_shared<Snapshot>();
  Latest->Index = Body.Index;
  Latest->InTerm = Body.InTerm;
  Latest->Members = Body.Members;
  Latest->State = std::move(Node.Incoming->State);
  Node.Incoming.reset();
  const bool Continues = containsIndex(Node.Log, Body.Index) &&
                         termAt(Node.Log, Body.Index) == Body.InTerm;
  if (Continues)
    discardThrough(Node.Log, Body.Index);
  else
    Node.Log = EntryLog{Body.Index, Body.InTerm, {}};
  Node.Memberships = {{Body.Index, Body.Members}};
  for (const LogEntry &Entry : Node.Log.Entries)
    recordMembership(Node, Entry);
  Node.CommitIndex = Body.Index;
  Node.LatestSnapshot = Latest;
  Out.SnapshotToInstall = std::move(Latest);
}

/// Appends the data of a chunk to the incoming snapshot if it is the next part.
/// A chunk of another snapshot starts a new transfer.
void appendSnapshotChunk(NodeState &Node, const SnapshotChunk &Body) {
  auto &Incoming = Node.Incoming;
  const bool Same = Incoming && Incoming->Index == Body.Index &&
                    Incoming->InTerm == Body.InTerm &&
                    Incoming->TotalBytes == Body.TotalBytes;
  if (!Same)
    Incoming = IncomingSnapshot{Body.Index, Body.InTerm, Body.TotalBytes, {}};
  if (Body.Offset == Incoming->State.size())
    Incoming->State.insert(Incoming->State.end(), Body.Data.begin(),
                           Body.Data.end());
}

} // namespace

void onAppendRequest(NodeState &Node, const std::string &Host,
                     const Message &Received, const AppendRequest &Body,
                     Effects &Out, TimePoint Now) {
  AppendReply Reply{replyTimestamps(Node, Body.Timestamps, Now), false,
                    Body.PreviousIndex, 0};
  if (!followLeader(Node, Host, Received.InTerm, Out, Now)) {
    if (Received.InTerm < Node.Hard.Current)
      send(Node, Out, Host, Received.FromStorageId, Reply);
    return;
  }
  if (!previousEntryMatches(Node, Body)) {
    // A correct leader never conflicts with a committed entry.
    if (Body.PreviousIndex <= Node.CommitIndex)
      return;
    Reply.MatchIndex = retryIndex(Node, Body);
    return send(Node, Out, Host, Received.FromStorageId, Reply);
  }
  if (!appendEntries(Node, Body.Entries, Out))
    return;
  Reply.Accepted = true;
  Reply.MatchIndex = Body.PreviousIndex + Body.Entries.size();
  Node.CommitIndex =
      std::max(Node.CommitIndex, std::min(Body.CommitIndex, Reply.MatchIndex));
  if (Body.CommitIndex <= Reply.MatchIndex)
    recordQuorumAge(Node, Body.Timestamps, Now);
  send(Node, Out, Host, Received.FromStorageId, Reply);
}

void onSnapshotChunk(NodeState &Node, const std::string &Host,
                     const Message &Received, const SnapshotChunk &Body,
                     Effects &Out, TimePoint Now) {
  SnapshotReply Reply{replyTimestamps(Node, Body.Timestamps, Now), Body.Index,
                      0, false, 0};
  if (!followLeader(Node, Host, Received.InTerm, Out, Now)) {
    if (Received.InTerm < Node.Hard.Current)
      send(Node, Out, Host, Received.FromStorageId, Reply);
    return;
  }
  if (Body.TotalBytes > MaxSnapshotBytes || Body.InTerm > Node.Hard.Current)
    return;
  if (Body.Index > Node.CommitIndex) {
    appendSnapshotChunk(Node, Body);
    Reply.NextOffset = Node.Incoming->State.size();
    if (Reply.NextOffset == Body.TotalBytes)
      installSnapshot(Node, Body, Out);
  }
  Reply.Installed = Body.Index <= Node.CommitIndex;
  Reply.MatchIndex = Reply.Installed ? Node.CommitIndex : 0;
  send(Node, Out, Host, Received.FromStorageId, Reply);
}

} // namespace jasminearch::consensus::detail
