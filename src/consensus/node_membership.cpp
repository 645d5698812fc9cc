#include "jasminearch/consensus/detail/node_steps.h"
#include "jasminearch/consensus/node.h"
#include <algorithm>
#include <utility>

namespace jasminearch::consensus::detail {

namespace {

/// JoinRequests older than this are discarded.
constexpr Duration JoinRequestLifetime = 3 * JoinRequestInterval;

/// \returns whether \p M replied to a message sent within the last \p Limit.
bool repliedWithin(const NodeState &Node, const Member &M, Duration Limit,
                   TimePoint Now) {
  const auto Found = Node.Peers.find(M.Host);
  return Found != Node.Peers.end() && Found->second.StorageId == M.StorageId &&
         Found->second.ConfirmedAt && Now - *Found->second.ConfirmedAt < Limit;
}

bool hasCaughtUp(const NodeState &Node, const Member &M, TimePoint Now) {
  return repliedWithin(Node, M, LeaseDuration, Now) &&
         Node.Peers.at(M.Host).MatchIndex >= Node.CommitIndexAtHeartbeat;
}

/// \returns whether \p M hasn't replied for \p Limit. Always false while this
/// node has led for less than \p Limit.
bool hasBeenSilent(const NodeState &Node, const Member &M, Duration Limit,
                   TimePoint Now) {
  return M.Host != Node.Options.Host && Now - Node.LeaderSince >= Limit &&
         !repliedWithin(Node, M, Limit, Now);
}

std::size_t voterCount(const std::vector<Member> &Members) {
  return static_cast<std::size_t>(std::count_if(
      Members.begin(), Members.end(), [](const Member &M) { return M.Voter; }));
}

/// \returns whether another voter may be added: the number of voters is below
/// MaxVoters, or equal to it and one of them is silent and can be replaced.
/// Without open membership there is no limit.
bool hasRoomForVoter(const NodeState &Node, const std::vector<Member> &Members,
                     TimePoint Now) {
  const std::size_t Limit = Node.Options.MaxVoters;
  const std::size_t Voters = voterCount(Members);
  if (Limit == 0 || Voters < Limit)
    return true;
  return Voters == Limit &&
         std::any_of(Members.begin(), Members.end(), [&](const Member &M) {
           return M.Voter &&
                  hasBeenSilent(Node, M, VoterReplacementTimeout, Now);
         });
}

/// Promotes the first learner that has caught up to a voter. \returns whether
/// \p Members changed.
bool promoteLearner(const NodeState &Node, std::vector<Member> &Members,
                    TimePoint Now) {
  if (!hasRoomForVoter(Node, Members, Now))
    return false;
  for (Member &M : Members) {
    if (M.Voter || !hasCaughtUp(Node, M, Now))
      continue;
    M.Voter = true;
    return true;
  }
  return false;
}

/// With open membership, removes a silent voter if there are more than
/// MaxVoters, or a silent learner. \returns whether \p Members changed.
bool removeSilentMember(const NodeState &Node, std::vector<Member> &Members,
                        TimePoint Now) {
  if (Node.Options.MaxVoters == 0)
    return false;
  const bool Surplus = voterCount(Members) > Node.Options.MaxVoters;
  const auto Found =
      std::find_if(Members.begin(), Members.end(), [&](const Member &M) {
        if (M.Voter)
          return Surplus &&
                 hasBeenSilent(Node, M, VoterReplacementTimeout, Now);
        return hasBeenSilent(Node, M, LearnerRemovalTimeout, Now);
      });
  if (Found == Members.end())
    return false;
  Members.erase(Found);
  return true;
}

/// Adds \p Applicant as a learner, replacing any member with the same host name
/// and another storage id. A member that still replies isn't replaced: the
/// request is outdated, or two processes use the same host name. \returns
/// whether \p Members changed.
bool admitLearner(const NodeState &Node, std::vector<Member> &Members,
                  const MemberId &Applicant, TimePoint Now) {
  const auto Found = std::find_if(
      Members.begin(), Members.end(),
      [&Applicant](const Member &M) { return M.Host == Applicant.Host; });
  if (Found == Members.end()) {
    Members.push_back({Applicant.Host, Applicant.StorageId, false});
    return true;
  }
  if (Found->StorageId == Applicant.StorageId ||
      repliedWithin(Node, *Found, ElectionTimeoutMax, Now))
    return false;
  *Found = Member{Applicant.Host, Applicant.StorageId, false};
  return true;
}

/// \returns whether a membership change may start: an entry of this leader's
/// own term is committed, which also commits any change of an earlier leader,
/// no change is pending, and a quorum confirmed this leader within the lease.
bool mayStartChange(const NodeState &Node, TimePoint Now) {
  return Node.CommitIndex >= Node.TermStartIndex &&
         Node.Memberships.back().Index <= Node.CommitIndex &&
         quorumConfirmed(Node, Now);
}

} // namespace

void updatePeers(NodeState &Node) {
  std::map<std::string, Peer> UpdatedPeers;
  for (const Member &M : currentMembers(Node)) {
    if (M.Host == Node.Options.Host)
      continue;
    const auto Found = Node.Peers.find(M.Host);
    if (Found != Node.Peers.end() && Found->second.StorageId == M.StorageId) {
      UpdatedPeers.emplace(M.Host, std::move(Found->second));
      continue;
    }
    Peer New;
    New.StorageId = M.StorageId;
    New.NextIndex = lastIndex(Node.Log) + 1;
    UpdatedPeers.emplace(M.Host, std::move(New));
  }
  Node.Peers = std::move(UpdatedPeers);
}

void appendAsLeader(NodeState &Node, EntryKind Kind, Bytes Payload,
                    Effects &Out) {
  const LogIndex Index = lastIndex(Node.Log) + 1;
  Node.Log.Entries.push_back(
      {Index, Node.Hard.Current, Kind, std::move(Payload)});
  recordMembership(Node, Node.Log.Entries.back());
  if (Kind == EntryKind::Membership)
    updatePeers(Node);
  if (!Out.WriteEntriesFrom)
    Out.WriteEntriesFrom = Index;
}

void onJoinRequest(NodeState &Node, const std::string &Host,
                   const Message &Received, TimePoint Now) {
  const auto &Known = Node.Options.Hosts;
  const bool MayJoin =
      Node.Options.MaxVoters != 0 ||
      std::find(Known.begin(), Known.end(), Host) != Known.end();
  if (Node.CurrentRole != Role::Leader || !MayJoin)
    return;
  Node.PendingJoins[Host] = {Received.FromStorageId, Now};
}

void changeMembership(NodeState &Node, Effects &Out, TimePoint Now) {
  std::erase_if(Node.PendingJoins, [Now](const auto &Request) {
    return Now - Request.second.second > JoinRequestLifetime;
  });
  if (!mayStartChange(Node, Now))
    return;
  std::vector<Member> Members = currentMembers(Node);
  bool Changed = removeSilentMember(Node, Members, Now) ||
                 promoteLearner(Node, Members, Now);
  for (const auto &[Host, Request] : Node.PendingJoins) {
    if (!Changed)
      Changed = admitLearner(Node, Members, {Host, Request.first}, Now);
  }
  if (!Changed)
    return;
  appendAsLeader(Node, EntryKind::Membership, encodeMembers(Members), Out);
  for (const auto &[Host, Unused] : Node.Peers)
    sendToPeer(Node, Host, false, Out, Now);
}

void runJoinTimer(NodeState &Node, Effects &Out, TimePoint Now) {
  if (Now < Node.NextJoinRequestAt)
    return;
  Node.NextJoinRequestAt = Now + JoinRequestInterval;
  const auto &Members = currentMembers(Node);
  const bool IsMember =
      std::any_of(Members.begin(), Members.end(), [&Node](const Member &M) {
        return MemberId{M.Host, M.StorageId} == ownMemberId(Node);
      });
  const bool LeaderContactRecent = Now - Node.LastLeaderContact < RejoinTimeout;
  if (IsMember && (Node.Options.MaxVoters == 0 ||
                   Node.CurrentRole == Role::Leader || LeaderContactRecent))
    return;
  for (const std::string &Host : Node.Options.Hosts) {
    if (Host != Node.Options.Host)
      send(Node, Out, Host, "", JoinRequest{});
  }
}

} // namespace jasminearch::consensus::detail
