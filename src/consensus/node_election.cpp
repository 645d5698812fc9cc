#include "jasminearch/consensus/detail/node_steps.h"
#include "jasminearch/consensus/node.h"
#include <algorithm>
#include <utility>

namespace jasminearch::consensus::detail {

namespace {

/// \returns whether a leader was heard so recently that its lease may last.
bool mayHaveLeader(const NodeState &Node, TimePoint Now) {
  const TimePoint HeardAt =
      Node.Is == Role::Leader
          ? std::max(quorumConfirmedAt(Node, Now), Node.LeadingSince)
          : Node.LeaderHeardAt;
  return Now - HeardAt < ElectionTimeoutMin;
}

bool upToDate(const NodeState &Node, const VoteRequest &Candidate) {
  const Term OwnTerm = lastTerm(Node.Log);
  if (Candidate.LastTerm != OwnTerm)
    return Candidate.LastTerm > OwnTerm;
  return Candidate.LastIndex >= lastIndex(Node.Log);
}

/// \returns whether the votes are a majority of the voters in force.
bool wonVote(const NodeState &Node) {
  const auto &Members = membersOf(Node);
  const auto Voters = std::count_if(Members.begin(), Members.end(),
                                    [](const Member &M) { return M.Voter; });
  const auto Granted = std::count_if(
      Node.Votes.begin(), Node.Votes.end(),
      [&Members](const StorageRef &Who) { return isVoter(Members, Who); });
  return Granted > Voters / 2;
}

/// \returns whether a lease may last that a vote for \p Candidate would break.
bool leaseMayLast(const NodeState &Node, const std::string &Candidate,
                  TimePoint Now) {
  return mayHaveLeader(Node, Now) && !ledCurrentTerm(Node, Candidate);
}

void armCampaignRetry(NodeState &Node, TimePoint Now) {
  constexpr unsigned MaxDoublings = 4;
  // A leader that has restarted is the only one that needs no waiting time, so
  // it keeps asking while the others start.
  constexpr unsigned MaxDoublingsOfLeader = 1;
  const bool Led = ledCurrentTerm(Node, Node.Options.StorageId);
  const unsigned Doublings =
      std::min(Node.Campaigns, Led ? MaxDoublingsOfLeader : MaxDoublings);
  ++Node.Campaigns;
  const auto Factor = Duration::rep{1} << Doublings;
  armElection(Node, Now,
              std::min(CampaignRetryMin * Factor, ElectionTimeoutMin),
              std::min(CampaignRetryMax * Factor, ElectionTimeoutMax));
}

void requestVotes(const NodeState &Node, bool PreVote, Effects &Out) {
  const VoteRequest Body{PreVote, lastIndex(Node.Log), lastTerm(Node.Log)};
  for (const Member &M : membersOf(Node)) {
    if (!M.Voter || M.Host == Node.Options.Host)
      continue;
    send(Node, Out, M.Host, M.StorageId, Body);
    if (PreVote)
      Out.Messages.back().Content.InTerm = Node.Hard.Current + 1;
  }
}

void startElection(NodeState &Node, Effects &Out, TimePoint Now) {
  Node.Is = Role::Candidate;
  Node.Hard = HardState{Node.Hard.Current + 1, self(Node)};
  Node.Votes = {self(Node)};
  Out.WriteHardState = true;
  armCampaignRetry(Node, Now);
  if (wonVote(Node))
    return becomeLeader(Node, Out, Now);
  requestVotes(Node, false, Out);
}

/// Asks whether an election would succeed, without a new term: a host that was
/// cut off doesn't disturb the others when it comes back.
void startPreVote(NodeState &Node, Effects &Out, TimePoint Now) {
  Node.Is = Role::PreCandidate;
  Node.Leader.clear();
  Node.Votes = {self(Node)};
  if (wonVote(Node))
    return startElection(Node, Out, Now);
  armCampaignRetry(Node, Now);
  requestVotes(Node, true, Out);
}

void answerPreVote(const NodeState &Node, const std::string &Host,
                   const Message &Received, const VoteRequest &Body,
                   Effects &Out, TimePoint Now) {
  const bool Granted = Received.InTerm > Node.Hard.Current &&
                       upToDate(Node, Body) &&
                       !leaseMayLast(Node, Received.FromStorageId, Now);
  send(Node, Out, Host, Received.FromStorageId, VoteReply{true, Granted});
  if (Granted)
    Out.Messages.back().Content.InTerm = Received.InTerm;
}

} // namespace

bool ledCurrentTerm(const NodeState &Node, const std::string &StorageId) {
  const auto &Entries = Node.Log.Entries;
  for (auto At = Entries.rbegin();
       At != Entries.rend() && At->InTerm == Node.Hard.Current; ++At)
    if (At->Kind == EntryKind::NoOp)
      return !StorageId.empty() &&
             std::equal(At->Payload.begin(), At->Payload.end(),
                        StorageId.begin(), StorageId.end());
  return false;
}

void runElectionTimer(NodeState &Node, Effects &Out, TimePoint Now) {
  if (Now < Node.ElectionDeadline)
    return;
  if (!isVoter(membersOf(Node), self(Node)))
    return armElection(Node, Now, ElectionTimeoutMin, ElectionTimeoutMax);
  startPreVote(Node, Out, Now);
}

void onVoteRequest(NodeState &Node, const std::string &Host,
                   const Message &Received, const VoteRequest &Body,
                   Effects &Out, TimePoint Now) {
  if (Body.PreVote)
    return answerPreVote(Node, Host, Received, Body, Out, Now);
  if (leaseMayLast(Node, Received.FromStorageId, Now))
    return;
  if (Received.InTerm > Node.Hard.Current)
    becomeFollower(Node, Received.InTerm, Out, Now);
  const StorageRef Candidate{Host, Received.FromStorageId};
  const bool Free =
      Node.Hard.VotedFor == StorageRef{} || Node.Hard.VotedFor == Candidate;
  const bool Granted =
      Received.InTerm == Node.Hard.Current && Free && upToDate(Node, Body);
  if (Granted) {
    Node.Hard.VotedFor = Candidate;
    Out.WriteHardState = true;
    armElection(Node, Now, ElectionTimeoutMin, ElectionTimeoutMax);
  }
  send(Node, Out, Host, Received.FromStorageId, VoteReply{false, Granted});
}

void onVoteReply(NodeState &Node, const std::string &Host,
                 const Message &Received, const VoteReply &Body, Effects &Out,
                 TimePoint Now) {
  const StorageRef Voter{Host, Received.FromStorageId};
  if (!isVoter(membersOf(Node), Voter))
    return;
  const bool WouldVote = Body.PreVote && Body.Granted;
  if (!WouldVote && Received.InTerm > Node.Hard.Current)
    return becomeFollower(Node, Received.InTerm, Out, Now);
  const Role Asking = Body.PreVote ? Role::PreCandidate : Role::Candidate;
  const Term Asked = Node.Hard.Current + (Body.PreVote ? 1 : 0);
  if (!Body.Granted || Node.Is != Asking || Received.InTerm != Asked)
    return;
  if (std::find(Node.Votes.begin(), Node.Votes.end(), Voter) ==
      Node.Votes.end())
    Node.Votes.push_back(Voter);
  if (!wonVote(Node))
    return;
  if (Body.PreVote)
    startElection(Node, Out, Now);
  else
    becomeLeader(Node, Out, Now);
}

} // namespace jasminearch::consensus::detail
