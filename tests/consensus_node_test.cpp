#include "consensus_fakes.h"
#include "jasminearch/consensus/node.h"
#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

using namespace jasminearch;
using namespace jasminearch::consensus;
using namespace jasminearch::consensus::testing;
using namespace std::chrono_literals;

namespace {

/// \returns a node of a cluster with the voters "a", "b" and "c" and their
/// storage ids "sa", "sb" and "sc".
NodeState makeTestNode(const std::string &Host, TimePoint Now) {
  StoredState Stored;
  Stored.Hard.Current = 1;
  Stored.Log.Entries.push_back(
      {1, 1, EntryKind::Membership,
       encodeMembers(
           {{"a", "sa", true}, {"b", "sb", true}, {"c", "sc", true}})});
  return makeNode({Host, "s" + Host, {"a", "b", "c", "d", "e"}, 1, 0},
                  std::move(Stored), Now);
}

/// \returns the node of \p Host after a restart in a term led by \p Leader.
NodeState makeNodeAfterLeader(const std::string &Leader,
                              const std::string &Host, TimePoint Now) {
  StoredState Stored;
  Stored.Hard.Current = 1;
  Stored.Log.Entries.push_back(
      {1, 1, EntryKind::Membership,
       encodeMembers(
           {{"a", "sa", true}, {"b", "sb", true}, {"c", "sc", true}})});
  Stored.Log.Entries.push_back({2, 1, EntryKind::NoOp, bytesOf("s" + Leader)});
  return makeNode({Host, "s" + Host, {"a", "b", "c"}, 1, 0}, std::move(Stored),
                  Now);
}

/// \returns the bodies of all messages of type \p Body to \p Host.
template <typename Body>
std::vector<Body> bodiesOf(const Effects &Step, const std::string &Host) {
  std::vector<Body> Bodies;
  for (const OutgoingMessage &SentMessage : Step.Messages) {
    const auto *Content = std::get_if<Body>(&SentMessage.Content.Body);
    if (Content != nullptr && SentMessage.Host == Host)
      Bodies.push_back(*Content);
  }
  return Bodies;
}

/// \returns whether \p Voter grants the request of \p Candidate for the next
/// term.
bool grantsVote(NodeState &Voter, const std::string &Candidate,
                const VoteRequest &Asked, TimePoint Now) {
  const Effects Step = receive(
      Voter, Candidate,
      {"s" + Candidate, Voter.Options.StorageId, Voter.Hard.Current + 1, Asked},
      Now);
  const auto Replies = bodiesOf<VoteReply>(Step, Candidate);
  return !Replies.empty() && Replies[0].Granted;
}

/// Makes \p Node a candidate by letting it win a pre-vote.
void becomeCandidate(NodeState &Node, TimePoint &Now) {
  Now = Node.ElectionDeadline;
  tick(Node, Now);
  receive(Node, "b", {"sb", "sa", 2, VoteReply{true, true}}, Now);
  CPPUNIT_ASSERT(Node.CurrentRole == Role::Candidate);
}

class ConsensusNodeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConsensusNodeTest);
  CPPUNIT_TEST(preVoteDoesNotIncreaseTerm);
  CPPUNIT_TEST(countsOnlyVotesOfMemberStorageIds);
  CPPUNIT_TEST(countsOnlyReplicasOfMemberStorageIds);
  CPPUNIT_TEST(commitsOldTermsOnlyWithOwnTerm);
  CPPUNIT_TEST(restartedHostRefusesVotesUntilLeaseEnds);
  CPPUNIT_TEST(restartedLeaderIsElectedWithoutWait);
  CPPUNIT_TEST(otherCandidatesWaitForLease);
  CPPUNIT_TEST(votesOncePerTerm);
  CPPUNIT_TEST(membershipChangeWaitsForOwnTerm);
  CPPUNIT_TEST(leaderWithoutQuorumStepsDown);
  CPPUNIT_TEST(messagesRoundTrip);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against a term that increases while a host is isolated.
  void preVoteDoesNotIncreaseTerm() {
    TimePoint Now{};
    NodeState Node = makeTestNode("a", Now);
    for (unsigned Step = 0; Step < 1000; ++Step)
      tick(Node, Now += 20ms);
    CPPUNIT_ASSERT(Node.CurrentRole == Role::PreCandidate);
    CPPUNIT_ASSERT_EQUAL(Term{1}, Node.Hard.Current);
  }

  /// Guards against counting the vote of a host that lost acknowledged entries
  /// because its disk was replaced.
  void countsOnlyVotesOfMemberStorageIds() {
    TimePoint Now{};
    NodeState Node = makeTestNode("a", Now);
    becomeCandidate(Node, Now);
    receive(Node, "b", {"empty", "sa", 2, VoteReply{false, true}}, Now);
    receive(Node, "d", {"sd", "sa", 2, VoteReply{false, true}}, Now);
    receive(Node, "b", {"sb", "lost", 2, VoteReply{false, true}}, Now);
    CPPUNIT_ASSERT(Node.CurrentRole == Role::Candidate);
    receive(Node, "b", {"sb", "sa", 2, VoteReply{false, true}}, Now);
    CPPUNIT_ASSERT(Node.CurrentRole == Role::Leader);
  }

  /// Guards against an entry that is committed, or a lease that is confirmed,
  /// by a reply from a storage id that isn't a member.
  void countsOnlyReplicasOfMemberStorageIds() {
    TimePoint Now{};
    NodeState Node = makeTestNode("a", Now);
    becomeCandidate(Node, Now);
    receive(Node, "b", {"sb", "sa", 2, VoteReply{false, true}}, Now);
    markSynced(Node);
    const AppendReply Reply{{Now.time_since_epoch().count(), 1}, true, 1, 2};
    receive(Node, "b", {"empty", "sa", 2, Reply}, Now);
    CPPUNIT_ASSERT_EQUAL(LogIndex{0}, Node.CommitIndex);
    CPPUNIT_ASSERT(!quorumConfirmed(Node, Now));
    receive(Node, "b", {"sb", "sa", 2, Reply}, Now);
    CPPUNIT_ASSERT_EQUAL(LogIndex{2}, Node.CommitIndex);
    CPPUNIT_ASSERT(quorumConfirmed(Node, Now));
  }

  /// Guards against an entry of an earlier term that is committed by counting
  /// its replicas while a host without it can still win an election.
  void commitsOldTermsOnlyWithOwnTerm() {
    TimePoint Now{};
    NodeState Node = makeTestNode("a", Now);
    becomeCandidate(Node, Now);
    receive(Node, "b", {"sb", "sa", 2, VoteReply{false, true}}, Now);
    markSynced(Node);
    receive(Node, "b", {"sb", "sa", 2, AppendReply{{}, true, 1, 1}}, Now);
    CPPUNIT_ASSERT_EQUAL(LogIndex{0}, Node.CommitIndex);
  }

  /// Guards against a host that votes right after a restart, although it may
  /// have confirmed a lease before.
  void restartedHostRefusesVotesUntilLeaseEnds() {
    const TimePoint Start{};
    NodeState Node = makeTestNode("a", Start);
    const Message Request{"sb", "sa", 2, VoteRequest{false, 1, 1}};
    CPPUNIT_ASSERT(
        receive(Node, "b", Request, Start + LeaseDuration).Messages.empty());
    CPPUNIT_ASSERT(receive(Node, "b", Request, Start + ElectionTimeoutMin - 1ms)
                       .Messages.empty());
    const Effects Later =
        receive(Node, "b", Request, Start + ElectionTimeoutMin);
    CPPUNIT_ASSERT(bodiesOf<VoteReply>(Later, "b").at(0).Granted);
  }

  /// Guards against two leaders in one term because a host votes twice, and
  /// against a vote for one storage id of a host that is repeated for another.
  void votesOncePerTerm() {
    TimePoint Now{};
    NodeState Node = makeTestNode("a", Now);
    Now += 500ms;
    const VoteRequest Request{false, 1, 1};
    const auto VoteFor = [&](const std::string &Host, const std::string &Disk) {
      const Effects Step = receive(Node, Host, {Disk, "sa", 2, Request}, Now);
      return bodiesOf<VoteReply>(Step, Host).at(0).Granted;
    };
    CPPUNIT_ASSERT(VoteFor("b", "sb"));
    CPPUNIT_ASSERT(VoteFor("b", "sb"));
    CPPUNIT_ASSERT(!VoteFor("c", "sc"));
    CPPUNIT_ASSERT(!VoteFor("b", "other"));
  }

  /// Guards against 250 ms without a leader after a restart of all hosts: the
  /// former leader lost its lease in the restart, so nobody has to wait for the
  /// lease to end.
  void restartedLeaderIsElectedWithoutWait() {
    TimePoint Now = TimePoint(1h);
    NodeState Leader = makeNodeAfterLeader("a", "a", Now);
    const auto Asked = bodiesOf<VoteRequest>(tick(Leader, Now), "b");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Asked.size());
    NodeState Voter = makeNodeAfterLeader("a", "b", Now);
    CPPUNIT_ASSERT(grantsVote(Voter, "a", Asked[0], Now));
    VoteRequest Real = Asked[0];
    Real.PreVote = false;
    CPPUNIT_ASSERT(grantsVote(Voter, "a", Real, Now));
  }

  /// Guards against a vote that violates the lease of a running leader: the
  /// candidate didn't lead the voter's term, or the voter knows a newer term
  /// than the one that the candidate led.
  void otherCandidatesWaitForLease() {
    TimePoint Now = TimePoint(1h);
    const VoteRequest Asked{true, 2, 1};
    NodeState Voter = makeNodeAfterLeader("c", "b", Now);
    CPPUNIT_ASSERT(!grantsVote(Voter, "a", Asked, Now));
    CPPUNIT_ASSERT(grantsVote(Voter, "c", Asked, Now));
    NodeState Newer = makeNodeAfterLeader("a", "b", Now);
    Newer.Hard.Current = 2;
    Message Request{"sa", "sb", 3, Asked};
    const Effects Step = receive(Newer, "a", Request, Now);
    CPPUNIT_ASSERT(!bodiesOf<VoteReply>(Step, "a").at(0).Granted);
  }

  /// Guards against two majorities without a common host, caused by a leader
  /// that changes the membership without knowing of an earlier leader's change.
  void membershipChangeWaitsForOwnTerm() {
    TimePoint Now{};
    NodeState Node = makeTestNode("a", Now);
    // The member list in force is known to be committed, so that only the rule
    // under test prevents the change.
    receive(Node, "c", {"sc", "sa", 1, AppendRequest{{}, 1, 1, 1, {}}}, Now);
    becomeCandidate(Node, Now);
    Effects Step =
        receive(Node, "b", {"sb", "sa", 2, VoteReply{false, true}}, Now);
    const auto SentMessage =
        bodiesOf<AppendRequest>(Step, "b").at(0).Timestamps.SentAt;
    // This reply confirms the leader, but the peer lacks its first entry.
    receive(Node, "b",
            {"sb", "sa", 2, AppendReply{{SentMessage, 1}, false, 1, 0}}, Now);
    receive(Node, "d", {"sd", "", 0, JoinRequest{}}, Now);
    CPPUNIT_ASSERT(quorumConfirmed(Node, Now));
    tick(Node, Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, currentMembers(Node).size());
    CPPUNIT_ASSERT(!leaseHeld(Node, Now));
    receive(Node, "b",
            {"sb", "sa", 2, AppendReply{{SentMessage, 1}, true, 1, 2}}, Now);
    markSynced(Node);
    tick(Node, Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, currentMembers(Node).size());
    CPPUNIT_ASSERT(!currentMembers(Node).back().Voter);
    // Only one change may be pending.
    receive(Node, "e", {"se", "", 0, JoinRequest{}}, Now);
    tick(Node, Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, currentMembers(Node).size());
  }

  /// Guards against a leader that doesn't step down when it loses its quorum.
  void leaderWithoutQuorumStepsDown() {
    TimePoint Now{};
    NodeState Node = makeTestNode("a", Now);
    becomeCandidate(Node, Now);
    receive(Node, "b", {"sb", "sa", 2, VoteReply{false, true}}, Now);
    tick(Node, Now + ElectionTimeoutMax - 1ms);
    CPPUNIT_ASSERT(Node.CurrentRole == Role::Leader);
    tick(Node, Now + ElectionTimeoutMax);
    CPPUNIT_ASSERT(Node.CurrentRole == Role::Follower);
  }

  /// Guards against fields lost by the codec, and against truncated or deeply
  /// nested input that crashes it or is accepted.
  void messagesRoundTrip() {
    const std::vector<Member> Members{{"a", "sa", true}, {"b", "", false}};
    const std::vector<MessageBody> Bodies{
        VoteRequest{true, 7, 3},
        VoteReply{false, true},
        AppendRequest{{1, 2, -3},
                      4,
                      2,
                      4,
                      {{5, 2, EntryKind::Data, {0, 255}},
                       {6, 3, EntryKind::Membership, encodeMembers(Members)}}},
        AppendReply{{-1, 1}, true, 4, 6},
        SnapshotChunk{{1, 2, 3}, 9, 2, Members, 1, 4, {1, 2, 3}},
        SnapshotReply{{1, 2}, 9, 4, true, 9},
        JoinRequest{}};
    for (const MessageBody &Body : Bodies) {
      const Message SentMessage{"sa", "sb", 3, Body};
      const Bytes Encoded = encode(SentMessage);
      CPPUNIT_ASSERT(decodeMessage(Encoded).value() == SentMessage);
      for (std::size_t Size = 0; Size < Encoded.size(); ++Size)
        CPPUNIT_ASSERT(!decodeMessage({Encoded.begin(),
                                       Encoded.begin() +
                                           static_cast<std::ptrdiff_t>(Size)})
                            .has_value());
    }
    CPPUNIT_ASSERT(!decodeMessage(Bytes(1000000, 0x81)).has_value());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConsensusNodeTest);

} // namespace
