#include "jasminearch/consensus/detail/node_steps.h"
#include "jasminearch/consensus/node.h"
#include <algorithm>
#include <utility>

namespace jasminearch::consensus::detail {

namespace {

/// \returns whether the last contact with a leader is so recent that its lease
/// may still be held.
bool heardFromLeaderRecently(const NodeState &Node, TimePoint Now) {
  const TimePoint LastContact =
      Node.CurrentRole == Role::Leader
          ? std::max(quorumConfirmedAt(Node, Now), Node.LeaderSince)
          : Node.LastLeaderContact;
  return Now - LastContact < ElectionTimeoutMin;
}

/// \returns whether the candidate's log is at least as up to date as this
/// node's.
bool isLogUpToDate(const NodeState &Node, const VoteRequest &Candidate) {
  const Term OwnTerm = lastTerm(Node.Log);
  if (Candidate.LastTerm != OwnTerm)
    return Candidate.LastTerm > OwnTerm;
  return Candidate.LastIndex >= lastIndex(Node.Log);
}

/// \returns whether the received votes are a majority of the current voters.
bool hasVoteMajority(const NodeState &Node) {
  const auto &Members = currentMembers(Node);
  const auto Voters = std::count_if(Members.begin(), Members.end(),
                                    [](const Member &M) { return M.Voter; });
  const auto Granted = std::count_if(
      Node.Votes.begin(), Node.Votes.end(),
      [&Members](const MemberId &Id) { return isVoter(Members, Id); });
  return Granted > Voters / 2;
}

/// \returns whether another host may hold a lease that a vote for
/// \p Candidate would violate.
bool leaderLeaseMayBeValid(const NodeState &Node, const std::string &Candidate,
                           TimePoint Now) {
  return heardFromLeaderRecently(Node, Now) && !ledCurrentTerm(Node, Candidate);
}

void scheduleCampaignRetry(NodeState &Node, TimePoint Now) {
  constexpr unsigned MaxDoublings = 4;
  // A restarted leader is the only host that others vote for without waiting
  // for a lease to end, so it retries quickly while they start.
  constexpr unsigned MaxDoublingsAsFormerLeader = 1;
  const bool WasLeader = ledCurrentTerm(Node, Node.Options.StorageId);
  const unsigned Doublings =
      std::min(Node.CampaignCount,
               WasLeader ? MaxDoublingsAsFormerLeader : MaxDoublings);
  ++Node.CampaignCount;
  const auto Factor = Duration::rep{1} << Doublings;
  resetElectionTimer(Node, Now,
                     std::min(CampaignRetryMin * Factor, ElectionTimeoutMin),
                     std::min(CampaignRetryMax * Factor, ElectionTimeoutMax));
}

void requestVotes(const NodeState &Node, bool PreVote, Effects &Out) {
  const VoteRequest Body{PreVote, lastIndex(Node.Log), lastTerm(Node.Log)};
  for (const Member &M : currentMembers(Node)) {
    if (!M.Voter || M.Host == Node.Options.Host)
      continue;
    send(Node, Out, M.Host, M.StorageId, Body);
    if (PreVote)
      Out.Messages.back().Content.InTerm = Node.Hard.Current + 1;
  }
}

void startElection(NodeState &Node, Effects &Out, TimePoint Now) {
  Node.CurrentRole = Role::Candidate;
  Node.Hard = HardState{Node.Hard.Current + 1, ownMemberId(Node)};
  Node.Votes = {ownMemberId(Node)};
  Out.WriteHardState = true;
  scheduleCampaignRetry(Node, Now);
  if (hasVoteMajority(Node))
    return becomeLeader(Node, Out, Now);
  requestVotes(Node, false, Out);
}

/// Asks whether an election would succeed, without starting a new term, so that
/// a host returning from a partition doesn't force an election.
void startPreVote(NodeState &Node, Effects &Out, TimePoint Now) {
  Node.CurrentRole = Role::PreCandidate;
  Node.Leader.clear();
  Node.Votes = {ownMemberId(Node)};
  if (hasVoteMajority(Node))
    return startElection(Node, Out, Now);
  scheduleCampaignRetry(Node, Now);
  requestVotes(Node, true, Out);
}

void answerPreVote(const NodeState &Node, const std::string &Host,
                   const Message &Received, const VoteRequest &Body,
                   Effects &Out, TimePoint Now) {
  const bool Granted =
      Received.InTerm > Node.Hard.Current && isLogUpToDate(Node, Body) &&
      !leaderLeaseMayBeValid(Node, Received.FromStorageId, Now);
  send(Node, Out, Host, Received.FromStorageId, VoteReply{true, Granted});
  if (Granted)
    Out.Messages.back().Content.InTerm = Received.InTerm;
}

} // namespace

bool ledCurrentTerm(const NodeState &Node, const std::string &StorageId) {
  const auto &Entries = Node.Log.Entries;
  for (auto Entry = Entries.rbegin();
       Entry != Entries.rend() && Entry->InTerm == Node.Hard.Current; ++Entry)
    if (Entry->Kind == EntryKind::NoOp)
      return !StorageId.empty() &&
             std::equal(Entry->Payload.begin(), Entry->Payload.end(),
                        StorageId.begin(), StorageId.end());
  return false;
}

void runElectionTimer(NodeState &Node, Effects &Out, TimePoint Now) {
  if (Now < Node.ElectionDeadline)
    return;
  if (!isVoter(currentMembers(Node), ownMemberId(Node)))
    return resetElectionTimer(Node, Now, ElectionTimeoutMin,
                              ElectionTimeoutMax);
  startPreVote(Node, Out, Now);
}

void onVoteRequest(NodeState &Node, const std::string &Host,
                   const Message &Received, const VoteRequest &Body,
                   Effects &Out, TimePoint Now) {
  if (Body.PreVote)
    return answerPreVote(Node, Host, Received, Body, Out, Now);
  if (leaderLeaseMayBeValid(Node, Received.FromStorageId, Now))
    return;
  if (Received.InTerm > Node.Hard.Current)
    becomeFollower(Node, Received.InTerm, Out, Now);
  const MemberId Candidate{Host, Received.FromStorageId};
  const bool CanVote =
      Node.Hard.VotedFor == MemberId{} || Node.Hard.VotedFor == Candidate;
  const bool Granted = Received.InTerm == Node.Hard.Current && CanVote &&
                       isLogUpToDate(Node, Body);
  if (Granted) {
    Node.Hard.VotedFor = Candidate;
    Out.WriteHardState = true;
    resetElectionTimer(Node, Now, ElectionTimeoutMin, ElectionTimeoutMax);
  }
  send(Node, Out, Host, Received.FromStorageId, VoteReply{false, Granted});
}

void onVoteReply(NodeState &Node, const std::string &Host,
                 const Message &Received, const VoteReply &Body, Effects &Out,
                 TimePoint Now) {
  const MemberId Voter{Host, Received.FromStorageId};
  if (!isVoter(currentMembers(Node), Voter))
    return;
  const bool PreVoteGranted = Body.PreVote && Body.Granted;
  if (!PreVoteGranted && Received.InTerm > Node.Hard.Current)
    return becomeFollower(Node, Received.InTerm, Out, Now);
  const Role ExpectedRole = Body.PreVote ? Role::PreCandidate : Role::Candidate;
  const Term ExpectedTerm = Node.Hard.Current + (Body.PreVote ? 1 : 0);
  if (!Body.Granted || Node.CurrentRole != ExpectedRole ||
      Received.InTerm != ExpectedTerm)
    return;
  if (std::find(Node.Votes.begin(), Node.Votes.end(), Voter) ==
      Node.Votes.end())
    Node.Votes.push_back(Voter);
  if (!hasVoteMajority(Node))
    return;
  if (Body.PreVote)
    startElection(Node, Out, Now);
  else
    becomeLeader(Node, Out, Now);
}

} // namespace jasminearch::consensus::detail
