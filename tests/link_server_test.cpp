#include "link_cluster.h"

using namespace jasminearch;
using namespace jasminearch::link;
using namespace jasminearch::link::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

class ControlServerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ControlServerTest);
  CPPUNIT_TEST(refusesWrongCluster);
  CPPUNIT_TEST(refusesWrongKey);
  CPPUNIT_TEST(refusesReplayedProof);
  CPPUNIT_TEST(refusesUnknownControlHost);
  CPPUNIT_TEST(refusesTooManyLinks);
  CPPUNIT_TEST(refusesMessagesOverRateLimit);
  CPPUNIT_TEST(refusesTruncatedAndUnknownMessages);
  CPPUNIT_TEST(refusesMessagesBeforeHello);
  CPPUNIT_TEST(closesUnauthenticatedLinks);
  CPPUNIT_TEST(refusesOthersAnnouncementsAndPeerMessages);
  CPPUNIT_TEST(answersCommandsOnceCommitted);
  CPPUNIT_TEST(resentCommandGetsFirstResult);
  CPPUNIT_TEST(commandResentBeforeCommitIsProposedOnce);
  CPPUNIT_TEST(concurrentChangesGetOneConflict);
  CPPUNIT_TEST(followersNameLeader);
  CPPUNIT_TEST(commandsInFlightAreUnknownAfterLossOfLeadership);
  CPPUNIT_TEST(queriesRequireLease);
  CPPUNIT_TEST(refusesInternalCommandsFromOperators);
  CPPUNIT_TEST(reportsWhereRevisionIsInForce);
  CPPUNIT_TEST(refusesRevisionFromFuture);
  CPPUNIT_TEST_SUITE_END();

  static void assertRefused(const FakeOperator &Op, ErrorCode Code) {
    const auto *Refusal = Op.last<Refused>();
    CPPUNIT_ASSERT(Refusal != nullptr);
    CPPUNIT_ASSERT_EQUAL(
        std::string(name(Code)),
        std::string(
            name(Refusal == nullptr ? ErrorCode{} : Refusal->Reason.Code)));
    CPPUNIT_ASSERT(Op.Closed);
  }

  /// Guards against daemons that join the wrong cluster.
  void refusesWrongCluster() {
    FakeCluster C;
    FakeOperator Op;
    Hello HelloMessage = FakeCluster::operatorHello();
    HelloMessage.Cluster = "other";
    C.open(Op, 0, HelloMessage);
    assertRefused(Op, ErrorCode::WrongCluster);
  }

  /// Guards against commands from a process without the link key.
  void refusesWrongKey() {
    FakeCluster C;
    FakeOperator Op;
    C.open(Op, 0, FakeCluster::operatorHello(), "a guessed key");
    assertRefused(Op, ErrorCode::UnknownMember);
    C.send(Op, FakeCluster::putProfile("x"));
    CPPUNIT_ASSERT(C.Committed.empty());
  }

  /// Guards against a recorded Hello that is replayed on a second link.
  void refusesReplayedProof() {
    FakeCluster C;
    FakeOperator First;
    C.open(First, 0);
    Hello HelloMessage = FakeCluster::operatorHello();
    HelloMessage.Proof =
        helloProof(Key, First.last<Challenge>()->Nonce, HelloMessage);
    FakeOperator Second;
    Second.Link = ++C.LastLink;
    C.OperatorLinks[Second.Link] = &Second;
    C.handleEvent(0, LinkOpened{Second.Link});
    C.send(Second, HelloMessage);
    assertRefused(Second, ErrorCode::UnknownMember);
  }

  /// Guards against a removed control host that still votes.
  void refusesUnknownControlHost() {
    FakeCluster C;
    FakeOperator Op;
    Hello HelloMessage = FakeCluster::operatorHello();
    HelloMessage.Sender = Role::Control;
    HelloMessage.Name = "c9";
    C.open(Op, 0, HelloMessage);
    assertRefused(Op, ErrorCode::UnknownMember);
  }

  /// Guards against a control host that runs out of memory.
  void refusesTooManyLinks() {
    ServerLimits Few;
    Few.MaxLinks = 2;
    FakeCluster C(Few);
    FakeOperator Ops[3];
    for (FakeOperator &Op : Ops)
      C.open(Op, 0);
    CPPUNIT_ASSERT(Ops[1].last<Welcome>() != nullptr);
    assertRefused(Ops[2], ErrorCode::LinkLimitReached);
    C.handleEvent(0, LinkEnded{Ops[0].Link});
    C.open(Ops[2], 0);
    CPPUNIT_ASSERT(Ops[2].last<Welcome>() != nullptr);
  }

  /// Guards against a daemon that floods the control host and starves the
  /// others.
  void refusesMessagesOverRateLimit() {
    ServerLimits Slow;
    Slow.MaxBurstMessages = 5;
    Slow.MaxMessagesPerSecond = 10;
    FakeCluster C(Slow);
    FakeOperator Op;
    C.open(Op, 0);
    for (int I = 0; I < 20; ++I) {
      C.run(milliseconds(100));
      C.send(Op, Query{1, QueryKind::Status, {}});
    }
    CPPUNIT_ASSERT(!Op.Closed);
    for (int I = 0; I < 6; ++I)
      C.send(Op, Query{1, QueryKind::Status, {}});
    assertRefused(Op, ErrorCode::RateLimited);
  }

  /// Guards against an exception or a partly decoded message.
  void refusesTruncatedAndUnknownMessages() {
    FakeCluster C;
    const Bytes Whole = encodeMessage(FakeCluster::putProfile("x"));
    for (std::size_t Size = 0; Size < Whole.size(); Size += 7) {
      FakeOperator Op;
      C.open(Op, 0);
      Bytes Truncated = Whole;
      Truncated.resize(Size);
      C.handleEvent(0, LinkReceived{Op.Link, Truncated});
      assertRefused(Op, ErrorCode::MessageMalformed);
    }
    FakeOperator Op;
    C.open(Op, 0);
    C.handleEvent(0, LinkReceived{Op.Link, {0x82, 0x18, 0x63, 0x80}});
    assertRefused(Op, ErrorCode::MessageUnknownType);
    CPPUNIT_ASSERT(C.Committed.empty());
  }

  /// Guards against commands on unauthenticated links.
  void refusesMessagesBeforeHello() {
    FakeCluster C;
    FakeOperator Op;
    Op.Link = ++C.LastLink;
    C.OperatorLinks[Op.Link] = &Op;
    C.handleEvent(0, LinkOpened{Op.Link});
    C.send(Op, FakeCluster::putProfile("x"));
    assertRefused(Op, ErrorCode::MessageMalformed);
    C.PendingProposals.clear();
    CPPUNIT_ASSERT(C.Committed.empty());
  }

  /// Guards against idle unauthenticated links that use up the link limit.
  void closesUnauthenticatedLinks() {
    FakeCluster C;
    FakeOperator Op;
    Op.Link = ++C.LastLink;
    C.OperatorLinks[Op.Link] = &Op;
    C.handleEvent(0, LinkOpened{Op.Link});
    C.run(HandshakeTimeout);
    CPPUNIT_ASSERT(!Op.Closed);
    C.run(milliseconds(100));
    CPPUNIT_ASSERT(Op.Closed);
  }

  /// Guards against a member that impersonates another one.
  void refusesOthersAnnouncementsAndPeerMessages() {
    FakeCluster C;
    Hello HelloMessage = FakeCluster::operatorHello();
    HelloMessage.Sender = Role::Entry;
    HelloMessage.Name = "e1";
    FakeOperator Op;
    C.open(Op, 0, HelloMessage);
    C.send(Op, Announce{control::EntryAnnouncement{"e2", "dc", {1, 1}, 1}});
    assertRefused(Op, ErrorCode::UnknownMember);
    C.open(Op, 0, HelloMessage);
    C.send(Op, PeerMessage{{1, 2, 3}});
    assertRefused(Op, ErrorCode::UnknownMember);
    CPPUNIT_ASSERT(C.Committed.empty());
  }

  /// Guards against reporting a command as accepted before it is committed,
  /// since a crash could still undo it.
  void answersCommandsOnceCommitted() {
    FakeCluster C;
    C.DelayCommits = true;
    FakeOperator Op;
    C.open(Op, 0);
    C.send(Op, FakeCluster::putProfile("1"));
    C.run(seconds(1));
    CPPUNIT_ASSERT(Op.last<CommandResult>() == nullptr);
    C.commitPending();
    CPPUNIT_ASSERT(Op.last<CommandResult>()->Decided->Accepted);
  }

  /// Guards against a command that runs twice because its result was lost, also
  /// when it is sent again to another leader.
  void resentCommandGetsFirstResult() {
    FakeCluster C;
    FakeOperator Op;
    C.open(Op, 0);
    C.send(Op, FakeCluster::putProfile("1"));
    const CommandResult First = *Op.last<CommandResult>();
    C.open(Op, 0);
    C.send(Op, FakeCluster::putProfile("1"));
    CPPUNIT_ASSERT(*Op.last<CommandResult>() == First);
    C.elect(2);
    C.open(Op, 2);
    C.send(Op, FakeCluster::putProfile("1"));
    CPPUNIT_ASSERT(*Op.last<CommandResult>() == First);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), C.Committed.size());
  }

  /// Guards against a repeated command that is proposed twice, or answered
  /// before the first one is decided.
  void commandResentBeforeCommitIsProposedOnce() {
    FakeCluster C;
    C.DelayCommits = true;
    FakeOperator Lost;
    C.open(Lost, 0);
    C.send(Lost, FakeCluster::putProfile("1"));
    C.handleEvent(0, LinkEnded{Lost.Link});
    FakeOperator Op;
    C.open(Op, 0);
    C.send(Op, FakeCluster::putProfile("1"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), C.PendingProposals.size());
    C.commitPending();
    CPPUNIT_ASSERT(Op.last<CommandResult>()->Decided->Accepted);
  }

  /// Guards against two operators who are both told that their change was
  /// accepted.
  void concurrentChangesGetOneConflict() {
    FakeCluster C;
    FakeOperator A;
    FakeOperator B;
    C.open(A, 0);
    C.send(A, FakeCluster::putProfile("1"));
    const std::uint64_t Seen = C.LastRevision;
    // Both use the same revision; B first connects to a follower.
    C.open(B, 1);
    C.send(B, FakeCluster::putProfile("b", Seen, 1.2));
    CPPUNIT_ASSERT(B.last<CommandResult>()->Failure->Code ==
                   ErrorCode::NotLeader);
    C.DelayCommits = true;
    C.open(B, B.last<CommandResult>()->Leader->Address.Port - 1000);
    C.send(A, FakeCluster::putProfile("a", Seen, 1.3));
    C.send(B, FakeCluster::putProfile("b", Seen, 1.2));
    C.commitPending();
    CPPUNIT_ASSERT(A.last<CommandResult>()->Decided->Accepted);
    const CommandResult &Second = *B.last<CommandResult>();
    CPPUNIT_ASSERT(!Second.Decided->Accepted);
    CPPUNIT_ASSERT(Second.Decided->Reason.Code == ErrorCode::RevisionConflict);
  }

  /// Guards against an operator who isn't told which host leads.
  void followersNameLeader() {
    FakeCluster C;
    FakeOperator Op;
    C.open(Op, 2);
    C.send(Op, FakeCluster::putProfile("1"));
    const CommandResult &Refusal = *Op.last<CommandResult>();
    CPPUNIT_ASSERT(Refusal.Failure->Code == ErrorCode::NotLeader);
    CPPUNIT_ASSERT(Refusal.Leader &&
                   Refusal.Leader->Address == FakeCluster::address(0));
    C.send(Op, Query{5, QueryKind::Status, {}});
    const QueryResult &Result = *Op.last<QueryResult>();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), Result.Id);
    CPPUNIT_ASSERT(Result.Failure->Code == ErrorCode::NotLeader);
    CPPUNIT_ASSERT(!Op.Closed);
  }

  /// Guards against reporting a command as not run although the next leader may
  /// commit it.
  void commandsInFlightAreUnknownAfterLossOfLeadership() {
    FakeCluster C;
    C.DelayCommits = true;
    FakeOperator Op;
    C.open(Op, 0);
    C.send(Op, FakeCluster::putProfile("1"));
    C.elect(1);
    CPPUNIT_ASSERT(Op.last<CommandResult>()->Failure->Code ==
                   ErrorCode::OutcomeUnknown);
  }

  /// Guards against an outdated answer from a partitioned leader.
  void queriesRequireLease() {
    FakeCluster C;
    FakeOperator Op;
    C.open(Op, 0);
    C.send(Op, Query{1, QueryKind::Status, {}});
    CPPUNIT_ASSERT(Op.last<QueryResult>()->Document.has_value());
    C.Partitioned = {0};
    C.send(Op, Query{2, QueryKind::Status, {}});
    CPPUNIT_ASSERT(Op.last<QueryResult>()->Failure->Code ==
                   ErrorCode::NoQuorum);
  }

  /// Guards against an operator's link that sends internal commands, such as
  /// the retirement of a healthy entry host.
  void refusesInternalCommandsFromOperators() {
    FakeCluster C;
    FakeOperator Op;
    C.open(Op, 0);
    C.send(Op, CommandRequest{{"1", control::RetireEntry{"e1"}}});
    CPPUNIT_ASSERT(Op.last<CommandResult>()->Failure->Code ==
                   ErrorCode::InvalidArgument);
    C.send(Op, FakeCluster::putProfile(""));
    CPPUNIT_ASSERT(Op.last<CommandResult>()->Failure->Code ==
                   ErrorCode::InvalidArgument);
    CPPUNIT_ASSERT(C.Committed.empty());
  }

  /// Guards against reporting a revision as in force everywhere while a host is
  /// silent.
  void reportsWhereRevisionIsInForce() {
    FakeCluster C;
    C.addEntry("e1", 1);
    C.addEntry("e2", 2);
    C.run(milliseconds(300));
    FakeOperator Op;
    C.open(Op, 0);
    C.send(Op, Query{1, QueryKind::InForce, {}});
    const nlohmann::json All = *Op.last<QueryResult>()->Document;
    CPPUNIT_ASSERT(All["everywhere"].get<bool>());
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), All["hosts"].size());
    C.Daemons.at("e2").Silent = true;
    C.Daemons.at("e2").State.CurrentPhase = ClientState::Phase::Stopped;
    C.run(SilenceTimeout + milliseconds(100));
    C.open(Op, 0);
    C.send(Op, Query{2, QueryKind::InForce, {}});
    const nlohmann::json Some = *Op.last<QueryResult>()->Document;
    CPPUNIT_ASSERT(!Some["everywhere"].get<bool>());
    CPPUNIT_ASSERT(Some["silent"] == nlohmann::json::array({"e2"}));
  }

  /// Guards against reporting a revision that was never accepted as in force
  /// everywhere, for example when no daemon is registered.
  void refusesRevisionFromFuture() {
    FakeCluster C;
    C.run(milliseconds(100));
    FakeOperator Op;
    C.open(Op, 0);
    C.send(Op, Query{1, QueryKind::InForce, Revision{999}});
    const QueryResult Result = *Op.last<QueryResult>();
    CPPUNIT_ASSERT(!Result.Document && Result.Failure);
    CPPUNIT_ASSERT(ErrorCode::RevisionFromFuture == Result.Failure->Code);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ControlServerTest);

} // namespace
