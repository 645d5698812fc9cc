#include "jasminearch/consensus/detail/node_steps.h"
#include "jasminearch/consensus/node.h"
#include <algorithm>
#include <utility>

namespace jasminearch::consensus::detail {

namespace {

/// Longest quorum age that is worth telling; it keeps the sums in range.
constexpr Duration MaxQuorumAge = std::chrono::hours(1);

FollowerStamp answer(const NodeState &Node, const LeaderStamp &Stamp,
                     TimePoint Now) {
  return {Stamp.SentAt, toStamp(Node, Now)};
}

/// The leader sent the message after it received our reply of LastReplyAt, so
/// however long the message took, the quorum is at most this old.
void noteQuorum(NodeState &Node, const LeaderStamp &Stamp, TimePoint Now) {
  const Duration Age(Stamp.QuorumAge);
  const auto RepliedAt =
      fromStamp(Node, Stamp.LastReplyAt, Node.StartedAt, Now);
  if (!RepliedAt || Age < Duration::zero() || Age > MaxQuorumAge)
    return;
  const TimePoint ShownAt = *RepliedAt - Age;
  if (!Node.QuorumShownAt || *Node.QuorumShownAt < ShownAt)
    Node.QuorumShownAt = ShownAt;
}

/// Takes the sender as leader. \returns false if its term is over, or if it is
/// this node's own.
bool followLeader(NodeState &Node, const std::string &Host, Term InTerm,
                  const LeaderStamp &Stamp, Effects &Out, TimePoint Now) {
  if (InTerm < Node.Hard.Current)
    return false;
  if (InTerm == Node.Hard.Current && Node.Is == Role::Leader)
    return false;
  if (InTerm > Node.Hard.Current || Node.Is != Role::Follower)
    becomeFollower(Node, InTerm, Out, Now);
  Node.Leader = Host;
  Node.LeaderHeardAt = Now;
  Node.Campaigns = 0;
  armElection(Node, Now, ElectionTimeoutMin, ElectionTimeoutMax);
  noteQuorum(Node, Stamp, Now);
  return true;
}

/// \returns the index from which the leader should try again.
LogIndex retryAfter(const NodeState &Node, const AppendRequest &Body) {
  const LogIndex Last = lastIndex(Node.Log);
  if (Body.PreviousIndex > Last)
    return Last;
  const Term Conflict = termAt(Node.Log, Body.PreviousIndex);
  LogIndex Index = Body.PreviousIndex - 1;
  while (Index > Node.Committed && termAt(Node.Log, Index) == Conflict)
    --Index;
  return Index;
}

/// \returns whether the log contains the entry before the request's. What is
/// before the base is committed and therefore the same everywhere.
bool previousMatches(const NodeState &Node, const AppendRequest &Body) {
  if (Body.PreviousIndex < Node.Log.BaseIndex)
    return true;
  return holds(Node.Log, Body.PreviousIndex) &&
         termAt(Node.Log, Body.PreviousIndex) == Body.PreviousTerm;
}

/// Appends what is new, and removes what conflicts with it. \returns false if
/// a committed entry would have to go, which no correct leader asks for.
bool takeEntries(NodeState &Node, const std::vector<LogEntry> &Entries,
                 Effects &Out) {
  for (const LogEntry &Entry : Entries) {
    if (Entry.Index <= Node.Log.BaseIndex)
      continue;
    if (Entry.Index <= lastIndex(Node.Log)) {
      if (termAt(Node.Log, Entry.Index) == Entry.InTerm)
        continue;
      if (Entry.Index <= Node.Committed)
        return false;
      truncateAfter(Node.Log, Entry.Index - 1);
      trackTruncated(Node);
    }
    if (Entry.InTerm < lastTerm(Node.Log) || Entry.InTerm > Node.Hard.Current)
      return false;
    Node.Log.Entries.push_back(Entry);
    trackAppended(Node, Entry);
    if (!Out.WriteFrom)
      Out.WriteFrom = Entry.Index;
  }
  return true;
}

/// Puts the assembled snapshot in force.
void install(NodeState &Node, const SnapshotChunk &Body, Effects &Out) {
  auto Latest = std::make_shared<Snapshot>();
  Latest->Index = Body.Index;
  Latest->InTerm = Body.InTerm;
  Latest->Members = Body.Members;
  Latest->State = std::move(Node.Incoming->State);
  Node.Incoming.reset();
  const bool Continues = holds(Node.Log, Body.Index) &&
                         termAt(Node.Log, Body.Index) == Body.InTerm;
  if (Continues)
    discardThrough(Node.Log, Body.Index);
  else
    Node.Log = EntryLog{Body.Index, Body.InTerm, {}};
  Node.Memberships = {{Body.Index, Body.Members}};
  for (const LogEntry &Entry : Node.Log.Entries)
    trackAppended(Node, Entry);
  Node.Committed = Body.Index;
  Node.LatestSnapshot = Latest;
  Out.Install = std::move(Latest);
}

/// Adds a chunk that follows what has arrived so far.
void assemble(NodeState &Node, const SnapshotChunk &Body) {
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
  AppendReply Reply{answer(Node, Body.Stamp, Now), false, Body.PreviousIndex,
                    0};
  if (!followLeader(Node, Host, Received.InTerm, Body.Stamp, Out, Now)) {
    if (Received.InTerm < Node.Hard.Current)
      send(Node, Out, Host, Received.FromStorageId, Reply);
    return;
  }
  if (!previousMatches(Node, Body)) {
    // No correct leader disagrees about a committed entry.
    if (Body.PreviousIndex <= Node.Committed)
      return;
    Reply.Match = retryAfter(Node, Body);
    return send(Node, Out, Host, Received.FromStorageId, Reply);
  }
  if (!takeEntries(Node, Body.Entries, Out))
    return;
  Reply.Accepted = true;
  Reply.Match = Body.PreviousIndex + Body.Entries.size();
  Node.Committed =
      std::max(Node.Committed, std::min(Body.Committed, Reply.Match));
  send(Node, Out, Host, Received.FromStorageId, Reply);
}

void onSnapshotChunk(NodeState &Node, const std::string &Host,
                     const Message &Received, const SnapshotChunk &Body,
                     Effects &Out, TimePoint Now) {
  SnapshotReply Reply{answer(Node, Body.Stamp, Now), Body.Index, 0, false, 0};
  if (!followLeader(Node, Host, Received.InTerm, Body.Stamp, Out, Now)) {
    if (Received.InTerm < Node.Hard.Current)
      send(Node, Out, Host, Received.FromStorageId, Reply);
    return;
  }
  if (Body.TotalBytes > MaxSnapshotBytes || Body.InTerm > Node.Hard.Current)
    return;
  if (Body.Index > Node.Committed) {
    assemble(Node, Body);
    Reply.NextOffset = Node.Incoming->State.size();
    if (Reply.NextOffset == Body.TotalBytes)
      install(Node, Body, Out);
  }
  Reply.Installed = Body.Index <= Node.Committed;
  Reply.Match = Reply.Installed ? Node.Committed : 0;
  send(Node, Out, Host, Received.FromStorageId, Reply);
}

} // namespace jasminearch::consensus::detail
