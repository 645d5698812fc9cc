#include "jasminearch/consensus/detail/node_steps.h"
#include "jasminearch/consensus/node.h"
#include <algorithm>
#include <utility>

namespace jasminearch::consensus::detail {

namespace {

/// A JoinRequest older than this is forgotten.
constexpr Duration JoinMemory = 3 * JoinInterval;

bool answeredWithin(const NodeState &Node, const Member &M, Duration Limit,
                    TimePoint Now) {
  const auto At = Node.Peers.find(M.Host);
  return At != Node.Peers.end() && At->second.StorageId == M.StorageId &&
         At->second.ConfirmedAt && Now - *At->second.ConfirmedAt < Limit;
}

bool caughtUp(const NodeState &Node, const Member &M, TimePoint Now) {
  return answeredWithin(Node, M, LeaseDuration, Now) &&
         Node.Peers.at(M.Host).Match >= Node.CommittedAtHeartbeat;
}

/// \returns whether \p M has been silent for \p Limit. A leader judges only
/// once it has led that long.
bool silentFor(const NodeState &Node, const Member &M, Duration Limit,
               TimePoint Now) {
  return M.Host != Node.Options.Host && Now - Node.LeadingSince >= Limit &&
         !answeredWithin(Node, M, Limit, Now);
}

std::size_t voterCount(const std::vector<Member> &Members) {
  return static_cast<std::size_t>(std::count_if(
      Members.begin(), Members.end(), [](const Member &M) { return M.Voter; }));
}

/// \returns whether open membership has room for another voter: below the
/// limit, or at the limit with a silent voter that it replaces.
bool voterWanted(const NodeState &Node, const std::vector<Member> &Members,
                 TimePoint Now) {
  const std::size_t Limit = Node.Options.MaxVoters;
  const std::size_t Voters = voterCount(Members);
  if (Limit == 0 || Voters < Limit)
    return true;
  return Voters == Limit &&
         std::any_of(Members.begin(), Members.end(), [&](const Member &M) {
           return M.Voter && silentFor(Node, M, ReplaceAfter, Now);
         });
}

/// Makes the first learner that has caught up a voter.
bool promote(const NodeState &Node, std::vector<Member> &Members,
             TimePoint Now) {
  if (!voterWanted(Node, Members, Now))
    return false;
  for (Member &M : Members) {
    if (M.Voter || !caughtUp(Node, M, Now))
      continue;
    M.Voter = true;
    return true;
  }
  return false;
}

/// With open membership: removes a silent voter beyond the limit, or a learner
/// that has been silent for long.
bool removeSilent(const NodeState &Node, std::vector<Member> &Members,
                  TimePoint Now) {
  if (Node.Options.MaxVoters == 0)
    return false;
  const bool Surplus = voterCount(Members) > Node.Options.MaxVoters;
  const auto At =
      std::find_if(Members.begin(), Members.end(), [&](const Member &M) {
        if (M.Voter)
          return Surplus && silentFor(Node, M, ReplaceAfter, Now);
        return silentFor(Node, M, ForgetLearnerAfter, Now);
      });
  if (At == Members.end())
    return false;
  Members.erase(At);
  return true;
}

/// Adds a data folder as a learner, in place of any other of the same host. A
/// folder that still answers is not replaced: the request is an old one, or
/// two processes use one host name.
bool admit(const NodeState &Node, std::vector<Member> &Members,
           const StorageRef &Joiner, TimePoint Now) {
  const auto At =
      std::find_if(Members.begin(), Members.end(), [&Joiner](const Member &M) {
        return M.Host == Joiner.Host;
      });
  if (At == Members.end()) {
    Members.push_back({Joiner.Host, Joiner.StorageId, false});
    return true;
  }
  if (At->StorageId == Joiner.StorageId ||
      answeredWithin(Node, *At, ElectionTimeoutMax, Now))
    return false;
  *At = Member{Joiner.Host, Joiner.StorageId, false};
  return true;
}

/// \returns whether a change may start: an entry of this leader's own term is
/// committed, which also commits any change of an earlier leader, and no change
/// is under way.
bool mayChange(const NodeState &Node, TimePoint Now) {
  return Node.Committed >= Node.TermStart &&
         Node.Memberships.back().Index <= Node.Committed &&
         quorumConfirmed(Node, Now);
}

} // namespace

void trackPeers(NodeState &Node) {
  std::map<std::string, Peer> Tracked;
  for (const Member &M : membersOf(Node)) {
    if (M.Host == Node.Options.Host)
      continue;
    const auto At = Node.Peers.find(M.Host);
    if (At != Node.Peers.end() && At->second.StorageId == M.StorageId) {
      Tracked.emplace(M.Host, std::move(At->second));
      continue;
    }
    Peer New;
    New.StorageId = M.StorageId;
    New.Next = lastIndex(Node.Log) + 1;
    Tracked.emplace(M.Host, std::move(New));
  }
  Node.Peers = std::move(Tracked);
}

void appendOwn(NodeState &Node, EntryKind Kind, Bytes Payload, Effects &Out) {
  const LogIndex Index = lastIndex(Node.Log) + 1;
  Node.Log.Entries.push_back(
      {Index, Node.Hard.Current, Kind, std::move(Payload)});
  trackAppended(Node, Node.Log.Entries.back());
  if (Kind == EntryKind::Membership)
    trackPeers(Node);
  if (!Out.WriteFrom)
    Out.WriteFrom = Index;
}

void onJoinRequest(NodeState &Node, const std::string &Host,
                   const Message &Received, TimePoint Now) {
  const auto &Known = Node.Options.Hosts;
  const bool MayJoin =
      Node.Options.MaxVoters != 0 ||
      std::find(Known.begin(), Known.end(), Host) != Known.end();
  if (Node.Is != Role::Leader || !MayJoin)
    return;
  Node.Joining[Host] = {Received.FromStorageId, Now};
}

void changeMembership(NodeState &Node, Effects &Out, TimePoint Now) {
  std::erase_if(Node.Joining, [Now](const auto &Request) {
    return Now - Request.second.second > JoinMemory;
  });
  if (!mayChange(Node, Now))
    return;
  std::vector<Member> Members = membersOf(Node);
  bool Changed =
      removeSilent(Node, Members, Now) || promote(Node, Members, Now);
  for (const auto &[Host, Request] : Node.Joining) {
    if (!Changed)
      Changed = admit(Node, Members, {Host, Request.first}, Now);
  }
  if (!Changed)
    return;
  appendOwn(Node, EntryKind::Membership, encodeMembers(Members), Out);
  for (const auto &[Host, Unused] : Node.Peers)
    sendToPeer(Node, Host, false, Out, Now);
}

void runJoinTimer(NodeState &Node, Effects &Out, TimePoint Now) {
  if (Now < Node.JoinDue)
    return;
  Node.JoinDue = Now + JoinInterval;
  const auto &Members = membersOf(Node);
  const bool Known =
      std::any_of(Members.begin(), Members.end(), [&Node](const Member &M) {
        return StorageRef{M.Host, M.StorageId} == self(Node);
      });
  const bool LeaderHeard = Now - Node.LeaderHeardAt < RejoinAfter;
  if (Known &&
      (Node.Options.MaxVoters == 0 || Node.Is == Role::Leader || LeaderHeard))
    return;
  for (const std::string &Host : Node.Options.Hosts) {
    if (Host != Node.Options.Host)
      send(Node, Out, Host, "", JoinRequest{});
  }
}

} // namespace jasminearch::consensus::detail
