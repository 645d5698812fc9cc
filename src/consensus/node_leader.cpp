#include "jasminearch/consensus/detail/node_steps.h"
#include "jasminearch/consensus/node.h"
#include <algorithm>
#include <functional>
#include <utility>

namespace jasminearch::consensus::detail {

namespace {

/// Age used for the confirmation by a peer that has never replied.
constexpr Duration NeverConfirmedAge = std::chrono::hours(1);

/// \returns the largest value that a majority of the voters has reached.
/// \param Own value of this node.
/// \param None value of voters without a known peer state.
template <typename T, typename Value>
T majorityValue(const NodeState &Node, T Own, T None, Value ValueOfPeer) {
  std::vector<T> Values;
  for (const Member &M : currentMembers(Node)) {
    if (!M.Voter)
      continue;
    const auto Found = Node.Peers.find(M.Host);
    if (M.Host == Node.Options.Host)
      Values.push_back(Own);
    else if (Found != Node.Peers.end() &&
             Found->second.StorageId == M.StorageId)
      Values.push_back(ValueOfPeer(Found->second));
    else
      Values.push_back(None);
  }
  if (Values.empty())
    return None;
  std::sort(Values.begin(), Values.end(), std::greater<>());
  return Values[Values.size() / 2];
}

LeaderTimestamps leaderTimestamps(const NodeState &Node, const Peer &To,
                                  TimePoint Now) {
  return {toWireTimestamp(Node, Now), quorumAge(Node, Now).count(),
          To.LastReplyAt};
}

/// Sends the next chunk of the peer's snapshot. Without data, the chunk only
/// asks how much of the snapshot the peer has received.
void sendSnapshotChunk(const NodeState &Node, const std::string &Host, Peer &To,
                       bool WithData, Effects &Out, TimePoint Now) {
  OutgoingSnapshot &Transfer = *To.Transfer;
  const Snapshot &Source = *Transfer.Source;
  SnapshotChunk Chunk;
  Chunk.Timestamps = leaderTimestamps(Node, To, Now);
  Chunk.Index = Source.Index;
  Chunk.InTerm = Source.InTerm;
  Chunk.Members = Source.Members;
  Chunk.Offset = Transfer.Offset;
  Chunk.TotalBytes = Source.State.size();
  if (WithData) {
    const auto Begin =
        Source.State.begin() + static_cast<std::ptrdiff_t>(Transfer.Offset);
    const std::size_t Length = std::min<std::size_t>(
        SnapshotChunkBytes, Source.State.size() - Transfer.Offset);
    Chunk.Data.assign(Begin, Begin + static_cast<std::ptrdiff_t>(Length));
    Transfer.SentOffset = Transfer.Offset;
    Transfer.SentAt = Now;
  }
  send(Node, Out, Host, To.StorageId, std::move(Chunk));
}

void sendSnapshot(const NodeState &Node, const std::string &Host, Peer &To,
                  bool Heartbeat, Effects &Out, TimePoint Now) {
  const bool Start = !To.Transfer;
  if (Start)
    To.Transfer = OutgoingSnapshot{Node.LatestSnapshot, 0, 0, Now};
  if (Start || Heartbeat)
    sendSnapshotChunk(Node, Host, To, Start, Out, Now);
}

/// Adds the next entries for the peer to \p Body, within the size limits of one
/// message.
void addEntries(const NodeState &Node, Peer &To, AppendRequest &Body) {
  std::size_t Size = 0;
  while (To.NextIndex <= lastIndex(Node.Log) &&
         Body.Entries.size() < MaxAppendEntries &&
         To.NextIndex - To.MatchIndex <= MaxEntriesInFlight) {
    const LogEntry &Entry = entryAt(Node.Log, To.NextIndex);
    Size += Entry.Payload.size();
    if (!Body.Entries.empty() && Size > MaxAppendBytes)
      return;
    Body.Entries.push_back(Entry);
    ++To.NextIndex;
  }
}

/// Records a reply in the current term, which confirms this node as leader.
void recordPeerReply(const NodeState &Node, Peer &From,
                     const FollowerTimestamps &Timestamps, TimePoint Now) {
  From.LastReplyAt = Timestamps.RepliedAt;
  const auto SentAt =
      fromWireTimestamp(Node, Timestamps.EchoedSentAt, Node.LeaderSince, Now);
  if (SentAt && (!From.ConfirmedAt || *From.ConfirmedAt < *SentAt))
    From.ConfirmedAt = SentAt;
}

/// \returns the peer that replied, or nullptr if the reply must be ignored
/// because it is from another term or from a storage id that isn't a member.
/// A newer term makes this node a follower.
Peer *acceptReply(NodeState &Node, const std::string &Host,
                  const Message &Received, Effects &Out, TimePoint Now) {
  const auto Found = Node.Peers.find(Host);
  if (Found == Node.Peers.end() ||
      Found->second.StorageId != Received.FromStorageId)
    return nullptr;
  if (Received.InTerm > Node.Hard.Current) {
    becomeFollower(Node, Received.InTerm, Out, Now);
    return nullptr;
  }
  const bool IsCurrent =
      Node.CurrentRole == Role::Leader && Received.InTerm == Node.Hard.Current;
  return IsCurrent ? &Found->second : nullptr;
}

/// Records that the peer's log matches the leader's up to \p MatchIndex.
void advanceMatchIndex(NodeState &Node, Peer &From, LogIndex MatchIndex) {
  From.MatchIndex =
      std::max(From.MatchIndex, std::min(MatchIndex, lastIndex(Node.Log)));
  From.NextIndex = std::max(From.NextIndex, From.MatchIndex + 1);
  if (From.NextIndex > Node.Log.BaseIndex)
    From.Transfer.reset();
  advanceCommitIndex(Node);
}

} // namespace

TimePoint quorumConfirmedAt(const NodeState &Node, TimePoint Now) {
  const TimePoint Never = Now - NeverConfirmedAge;
  return majorityValue(Node, Now, Never, [Never](const Peer &P) {
    return P.ConfirmedAt.value_or(Never);
  });
}

/// As in Raft, only entries of the leader's own term are committed by counting
/// replicas. Older entries are committed along with them.
void advanceCommitIndex(NodeState &Node) {
  const LogIndex MajorityIndex =
      majorityValue(Node, Node.SyncedIndex, LogIndex{0},
                    [](const Peer &P) { return P.MatchIndex; });
  if (MajorityIndex > Node.CommitIndex &&
      termAt(Node.Log, MajorityIndex) == Node.Hard.Current)
    Node.CommitIndex = MajorityIndex;
}

void sendToPeer(NodeState &Node, const std::string &Host, bool Heartbeat,
                Effects &Out, TimePoint Now) {
  Peer &To = Node.Peers.at(Host);
  if (To.NextIndex <= Node.Log.BaseIndex)
    return sendSnapshot(Node, Host, To, Heartbeat, Out, Now);
  AppendRequest Body;
  Body.Timestamps = leaderTimestamps(Node, To, Now);
  Body.PreviousIndex = To.NextIndex - 1;
  Body.PreviousTerm = termAt(Node.Log, To.NextIndex - 1);
  Body.CommitIndex = Node.CommitIndex;
  addEntries(Node, To, Body);
  if (Heartbeat || !Body.Entries.empty())
    send(Node, Out, Host, To.StorageId, std::move(Body));
}

void becomeLeader(NodeState &Node, Effects &Out, TimePoint Now) {
  Node.CurrentRole = Role::Leader;
  Node.Leader = Node.Options.Host;
  Node.CampaignCount = 0;
  Node.Votes.clear();
  Node.LeaderSince = Now;
  Node.NextHeartbeatAt = Now + HeartbeatInterval;
  Node.CommitIndexAtHeartbeat = lastIndex(Node.Log);
  Node.Peers.clear();
  Node.PendingJoins.clear();
  updatePeers(Node);
  const std::string &Own = Node.Options.StorageId;
  appendAsLeader(Node, EntryKind::NoOp, Bytes(Own.begin(), Own.end()), Out);
  Node.TermStartIndex = lastIndex(Node.Log);
  for (const auto &[Host, Unused] : Node.Peers)
    sendToPeer(Node, Host, true, Out, Now);
}

void runLeaderTimers(NodeState &Node, Effects &Out, TimePoint Now) {
  const TimePoint ConfirmedAt =
      std::max(quorumConfirmedAt(Node, Now), Node.LeaderSince);
  if (Now - ConfirmedAt >= ElectionTimeoutMax)
    return becomeFollower(Node, Node.Hard.Current, Out, Now);
  changeMembership(Node, Out, Now);
  if (Now < Node.NextHeartbeatAt)
    return;
  Node.NextHeartbeatAt = Now + HeartbeatInterval;
  Node.CommitIndexAtHeartbeat = Node.CommitIndex;
  for (const auto &[Host, Unused] : Node.Peers)
    sendToPeer(Node, Host, true, Out, Now);
}

void onAppendReply(NodeState &Node, const std::string &Host,
                   const Message &Received, const AppendReply &Body,
                   Effects &Out, TimePoint Now) {
  Peer *From = acceptReply(Node, Host, Received, Out, Now);
  if (From == nullptr)
    return;
  recordPeerReply(Node, *From, Body.Timestamps, Now);
  if (Body.Accepted) {
    advanceMatchIndex(Node, *From, Body.MatchIndex);
  } else {
    // A refusal at an index that is known to match is outdated.
    if (Body.PreviousIndex <= From->MatchIndex)
      return;
    const LogIndex RetryIndex =
        std::min(Body.MatchIndex, Body.PreviousIndex - 1);
    From->NextIndex =
        std::min(From->NextIndex, std::max(RetryIndex, From->MatchIndex) + 1);
  }
  sendToPeer(Node, Host, false, Out, Now);
}

void onSnapshotReply(NodeState &Node, const std::string &Host,
                     const Message &Received, const SnapshotReply &Body,
                     Effects &Out, TimePoint Now) {
  Peer *From = acceptReply(Node, Host, Received, Out, Now);
  if (From == nullptr)
    return;
  recordPeerReply(Node, *From, Body.Timestamps, Now);
  if (Body.Installed) {
    From->Transfer.reset();
    advanceMatchIndex(Node, *From, Body.MatchIndex);
    return sendToPeer(Node, Host, false, Out, Now);
  }
  if (!From->Transfer || From->Transfer->Source->Index != Body.Index ||
      Body.NextOffset > From->Transfer->Source->State.size())
    return;
  OutgoingSnapshot &Transfer = *From->Transfer;
  Transfer.Offset = Body.NextOffset;
  if (Transfer.Offset != Transfer.SentOffset ||
      Now - Transfer.SentAt >= HeartbeatInterval)
    sendSnapshotChunk(Node, Host, *From, true, Out, Now);
}

} // namespace jasminearch::consensus::detail
