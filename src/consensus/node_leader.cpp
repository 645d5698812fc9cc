#include "jasminearch/consensus/detail/node_steps.h"
#include "jasminearch/consensus/node.h"
#include <algorithm>
#include <functional>
#include <utility>

namespace jasminearch::consensus::detail {

namespace {

/// Age that stands for "never confirmed".
constexpr Duration NeverConfirmed = std::chrono::hours(1);

/// \returns the largest value that a majority of the voters reaches.
template <typename T, typename Value>
T quorumValue(const NodeState &Node, T Own, T None, Value OfPeer) {
  std::vector<T> Values;
  for (const Member &M : membersOf(Node)) {
    if (!M.Voter)
      continue;
    const auto At = Node.Peers.find(M.Host);
    if (M.Host == Node.Options.Host)
      Values.push_back(Own);
    else if (At != Node.Peers.end() && At->second.StorageId == M.StorageId)
      Values.push_back(OfPeer(At->second));
    else
      Values.push_back(None);
  }
  if (Values.empty())
    return None;
  std::sort(Values.begin(), Values.end(), std::greater<>());
  return Values[Values.size() / 2];
}

LeaderStamp stampFor(const NodeState &Node, const Peer &To, TimePoint Now) {
  return {toStamp(Node, Now), quorumAge(Node, Now).count(), To.LastReplyAt};
}

/// Sends part of the peer's snapshot, or without data only asks how much it
/// has.
void sendChunk(const NodeState &Node, const std::string &Host, Peer &To,
               bool WithData, Effects &Out, TimePoint Now) {
  OutgoingSnapshot &Transfer = *To.Transfer;
  const Snapshot &Source = *Transfer.Source;
  SnapshotChunk Chunk;
  Chunk.Stamp = stampFor(Node, To, Now);
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
    sendChunk(Node, Host, To, Start, Out, Now);
}

/// Adds the next entries to \p Body, within the limits of one message.
void addEntries(const NodeState &Node, Peer &To, AppendRequest &Body) {
  std::size_t Size = 0;
  while (To.Next <= lastIndex(Node.Log) &&
         Body.Entries.size() < MaxBatchEntries &&
         To.Next - To.Match <= MaxEntriesInFlight) {
    const LogEntry &Entry = entryAt(Node.Log, To.Next);
    Size += Entry.Payload.size();
    if (!Body.Entries.empty() && Size > MaxBatchBytes)
      return;
    Body.Entries.push_back(Entry);
    ++To.Next;
  }
}

/// Records an answer in the current term: the peer follows this leader.
void confirm(const NodeState &Node, Peer &From, const FollowerStamp &Stamp,
             TimePoint Now) {
  From.LastReplyAt = Stamp.RepliedAt;
  const auto SentAt =
      fromStamp(Node, Stamp.AnswersSentAt, Node.LeadingSince, Now);
  if (SentAt && (!From.ConfirmedAt || *From.ConfirmedAt < *SentAt))
    From.ConfirmedAt = SentAt;
}

/// \returns the peer that answered, or nothing if the answer doesn't count: it
/// is from another term or from a data folder that isn't a member.
Peer *answeringPeer(NodeState &Node, const std::string &Host,
                    const Message &Received, Effects &Out, TimePoint Now) {
  const auto At = Node.Peers.find(Host);
  if (At == Node.Peers.end() || At->second.StorageId != Received.FromStorageId)
    return nullptr;
  if (Received.InTerm > Node.Hard.Current) {
    becomeFollower(Node, Received.InTerm, Out, Now);
    return nullptr;
  }
  const bool Counts =
      Node.Is == Role::Leader && Received.InTerm == Node.Hard.Current;
  return Counts ? &At->second : nullptr;
}

/// The peer's log matches the leader's up to \p Match.
void matched(NodeState &Node, Peer &From, LogIndex Match) {
  From.Match = std::max(From.Match, std::min(Match, lastIndex(Node.Log)));
  From.Next = std::max(From.Next, From.Match + 1);
  if (From.Next > Node.Log.BaseIndex)
    From.Transfer.reset();
  advanceCommit(Node);
}

} // namespace

TimePoint quorumConfirmedAt(const NodeState &Node, TimePoint Now) {
  const TimePoint Never = Now - NeverConfirmed;
  return quorumValue(Node, Now, Never, [Never](const Peer &P) {
    return P.ConfirmedAt.value_or(Never);
  });
}

/// Only entries of the leader's own term commit by counting; older ones commit
/// with them.
void advanceCommit(NodeState &Node) {
  const LogIndex Reached = quorumValue(Node, Node.Synced, LogIndex{0},
                                       [](const Peer &P) { return P.Match; });
  if (Reached > Node.Committed &&
      termAt(Node.Log, Reached) == Node.Hard.Current)
    Node.Committed = Reached;
}

void sendToPeer(NodeState &Node, const std::string &Host, bool Heartbeat,
                Effects &Out, TimePoint Now) {
  Peer &To = Node.Peers.at(Host);
  if (To.Next <= Node.Log.BaseIndex)
    return sendSnapshot(Node, Host, To, Heartbeat, Out, Now);
  AppendRequest Body;
  Body.Stamp = stampFor(Node, To, Now);
  Body.PreviousIndex = To.Next - 1;
  Body.PreviousTerm = termAt(Node.Log, To.Next - 1);
  Body.Committed = Node.Committed;
  addEntries(Node, To, Body);
  if (Heartbeat || !Body.Entries.empty())
    send(Node, Out, Host, To.StorageId, std::move(Body));
}

void becomeLeader(NodeState &Node, Effects &Out, TimePoint Now) {
  Node.Is = Role::Leader;
  Node.Leader = Node.Options.Host;
  Node.Campaigns = 0;
  Node.Votes.clear();
  Node.LeadingSince = Now;
  Node.HeartbeatDue = Now + HeartbeatInterval;
  Node.CommittedAtHeartbeat = lastIndex(Node.Log);
  Node.Peers.clear();
  Node.Joining.clear();
  trackPeers(Node);
  const std::string &Own = Node.Options.StorageId;
  appendOwn(Node, EntryKind::NoOp, Bytes(Own.begin(), Own.end()), Out);
  Node.TermStart = lastIndex(Node.Log);
  for (const auto &[Host, Unused] : Node.Peers)
    sendToPeer(Node, Host, true, Out, Now);
}

void runLeaderTimers(NodeState &Node, Effects &Out, TimePoint Now) {
  const TimePoint ConfirmedAt =
      std::max(quorumConfirmedAt(Node, Now), Node.LeadingSince);
  if (Now - ConfirmedAt >= ElectionTimeoutMax)
    return becomeFollower(Node, Node.Hard.Current, Out, Now);
  changeMembership(Node, Out, Now);
  if (Now < Node.HeartbeatDue)
    return;
  Node.HeartbeatDue = Now + HeartbeatInterval;
  Node.CommittedAtHeartbeat = Node.Committed;
  for (const auto &[Host, Unused] : Node.Peers)
    sendToPeer(Node, Host, true, Out, Now);
}

void onAppendReply(NodeState &Node, const std::string &Host,
                   const Message &Received, const AppendReply &Body,
                   Effects &Out, TimePoint Now) {
  Peer *From = answeringPeer(Node, Host, Received, Out, Now);
  if (From == nullptr)
    return;
  confirm(Node, *From, Body.Stamp, Now);
  if (Body.Accepted) {
    matched(Node, *From, Body.Match);
  } else {
    // A refusal of what is known to match by now is an old one.
    if (Body.PreviousIndex <= From->Match)
      return;
    const LogIndex RetryAfter = std::min(Body.Match, Body.PreviousIndex - 1);
    From->Next = std::min(From->Next, std::max(RetryAfter, From->Match) + 1);
  }
  sendToPeer(Node, Host, false, Out, Now);
}

void onSnapshotReply(NodeState &Node, const std::string &Host,
                     const Message &Received, const SnapshotReply &Body,
                     Effects &Out, TimePoint Now) {
  Peer *From = answeringPeer(Node, Host, Received, Out, Now);
  if (From == nullptr)
    return;
  confirm(Node, *From, Body.Stamp, Now);
  if (Body.Installed) {
    From->Transfer.reset();
    matched(Node, *From, Body.Match);
    return sendToPeer(Node, Host, false, Out, Now);
  }
  if (!From->Transfer || From->Transfer->Source->Index != Body.Index ||
      Body.NextOffset > From->Transfer->Source->State.size())
    return;
  OutgoingSnapshot &Transfer = *From->Transfer;
  Transfer.Offset = Body.NextOffset;
  if (Transfer.Offset != Transfer.SentOffset ||
      Now - Transfer.SentAt >= HeartbeatInterval)
    sendChunk(Node, Host, *From, true, Out, Now);
}

} // namespace jasminearch::consensus::detail
