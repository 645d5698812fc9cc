#include "link_cluster.h"

using namespace jasminearch;
using namespace jasminearch::link;
using namespace jasminearch::link::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

class ControlClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ControlClientTest);
  CPPUNIT_TEST(registersAtTheLeaderAndFollowsChanges);
  CPPUNIT_TEST(newlyStartedTakesNothingFromAPartitionedHost);
  CPPUNIT_TEST(runningDaemonKeepsItsConfiguration);
  CPPUNIT_TEST(replacesASilentLinkWithinItsLease);
  CPPUNIT_TEST(lostDaemonIsRetiredAndComesBack);
  CPPUNIT_TEST(newLeaderGrantsAFullLease);
  CPPUNIT_TEST(newLeaderLearnsCountsSoon);
  CPPUNIT_TEST(stoppedLeaderRetiresNobodyOnResumption);
  CPPUNIT_TEST(renewalAfterANewLeaderCommitsNothing);
  CPPUNIT_TEST(leavingRetiresAtOnce);
  CPPUNIT_TEST(refusesAHostThatDoesNotKnowTheKey);
  CPPUNIT_TEST(backsOffWhenRefused);
  CPPUNIT_TEST(reconnectsOnMalformedMessages);
  CPPUNIT_TEST(duplicatedMessagesChangeNothing);
  CPPUNIT_TEST(coldUpstreamsWarmUpAtTheLeader);
  CPPUNIT_TEST_SUITE_END();

  static bool alive(const FakeCluster &C, const std::string &Name) {
    const auto &Entries = C.Hosts[1].Current.Config.Entries;
    const auto Found = Entries.find(Name);
    return Found != Entries.end() && Found->second.Alive;
  }

  static std::size_t retirements(const FakeCluster &C) {
    std::size_t Count = 0;
    for (const control::Command &Each : C.Committed)
      Count += std::holds_alternative<control::RetireEntry>(Each.Body) ? 1 : 0;
    return Count;
  }

  /// Guards against daemons that stay with a follower or miss changes.
  void registersAtTheLeaderAndFollowsChanges() {
    FakeCluster C;
    FakeDaemon &D = C.addEntry("e1", 3);
    C.run(milliseconds(200));
    CPPUNIT_ASSERT_EQUAL(0, D.Host);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), D.Confirmed.size());
    FakeOperator Op;
    C.open(Op, 0);
    C.send(Op, FakeCluster::putProfile("1"));
    C.run(milliseconds(40));
    CPPUNIT_ASSERT_EQUAL(C.At, D.Revisions.back());
    CPPUNIT_ASSERT(*D.State.Config.InForce == C.host(0).Current.Config);
    CPPUNIT_ASSERT_EQUAL(C.At, C.host(0).Daemons.at("e1").InForce.Number);
  }

  /// Guards against a restarted process that runs on an old configuration.
  void newlyStartedTakesNothingFromAPartitionedHost() {
    FakeCluster C;
    FakeOperator Op;
    C.open(Op, 0);
    C.send(Op, FakeCluster::putProfile("1"));
    C.Partitioned = {0, 1, 2};
    FakeDaemon &D = C.addEntry("e1");
    C.run(seconds(10));
    CPPUNIT_ASSERT(D.Revisions.empty());
    CPPUNIT_ASSERT(D.Dials > 3);
    C.Partitioned = {2};
    C.run(seconds(4));
    CPPUNIT_ASSERT(!D.Revisions.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), D.Confirmed.size());
  }

  /// Guards against traffic that stops when all control hosts are gone.
  void runningDaemonKeepsItsConfiguration() {
    FakeCluster C;
    FakeDaemon &D = C.addEntry("e1");
    C.run(seconds(1));
    const auto Before = D.State.Config.InForce;
    CPPUNIT_ASSERT(Before != nullptr);
    C.Partitioned = {0, 1, 2};
    C.run(seconds(30));
    CPPUNIT_ASSERT(D.State.Config.InForce == Before);
    CPPUNIT_ASSERT(retirements(C) == 0);
  }

  /// Guards against a connection that goes silent for ever: a daemon that
  /// works must not be committed as lost because of it.
  void replacesASilentLinkWithinItsLease() {
    for (int Phase = 0; Phase < 26; ++Phase) {
      FakeCluster C;
      FakeDaemon &D = C.addEntry("e1", 1 + Phase);
      C.run(seconds(1) + Phase * ServerTickInterval);
      const unsigned Dials = D.Dials;
      D.Silent = true;
      C.run(SilenceLimit + milliseconds(200));
      CPPUNIT_ASSERT(D.Dials > Dials);
      CPPUNIT_ASSERT(!D.Silent);
      C.run(seconds(3));
      CPPUNIT_ASSERT_EQUAL(std::size_t(0), retirements(C));
      CPPUNIT_ASSERT_EQUAL(std::size_t(2), D.Confirmed.size());
    }
  }

  /// Guards against a dead daemon that stays in the configuration, and against
  /// one that stays out after it was frozen for a while.
  void lostDaemonIsRetiredAndComesBack() {
    FakeCluster C;
    FakeDaemon &D = C.addEntry("e1");
    C.run(seconds(1));
    const ClientState Frozen = D.State;
    D.Silent = true;
    D.State.Now = ClientState::Phase::Stopped;
    C.run(control::LeaseLength + milliseconds(200));
    CPPUNIT_ASSERT(!alive(C, "e1"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), retirements(C));
    D.State = Frozen;
    C.run(seconds(1));
    CPPUNIT_ASSERT(alive(C, "e1"));
  }

  /// Guards against a change of leader that retires everybody.
  void newLeaderGrantsAFullLease() {
    FakeCluster C;
    FakeDaemon &Gone = C.addEntry("gone");
    C.addEntry("e1");
    C.run(seconds(1));
    Gone.Silent = true;
    Gone.State.Now = ClientState::Phase::Stopped;
    C.elect(-1);
    C.run(seconds(5));
    C.elect(1);
    C.run(control::LeaseLength - milliseconds(100));
    CPPUNIT_ASSERT(alive(C, "gone"));
    C.run(milliseconds(300));
    CPPUNIT_ASSERT(!alive(C, "gone"));
    CPPUNIT_ASSERT(alive(C, "e1"));
    CPPUNIT_ASSERT_EQUAL(1, C.Daemons.at("e1").Host);
  }

  /// Guards against a new leader that says "can't tell" until the next regular
  /// report, 10 s later.
  void newLeaderLearnsCountsSoon() {
    FakeCluster C;
    C.addEntry("e1");
    for (int Step = 0; Step < 200 && !C.host(0).Reports.Hosts.contains("e1");
         ++Step)
      C.run(milliseconds(100));
    CPPUNIT_ASSERT(C.host(0).Reports.Hosts.contains("e1"));
    C.elect(1);
    C.run(seconds(3));
    CPPUNIT_ASSERT(C.host(1).Reports.Hosts.contains("e1"));
  }

  /// Guards against a leader that was paused and finds all leases ended.
  void stoppedLeaderRetiresNobodyOnResumption() {
    FakeCluster C;
    C.addEntry("e1");
    C.run(seconds(1));
    C.Time.advance(seconds(5));
    C.event(0, ServerTick{});
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), retirements(C));
    C.run(seconds(4));
    CPPUNIT_ASSERT(alive(C, "e1"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), retirements(C));
  }

  /// Guards against thousands of log entries after each change of leader.
  void renewalAfterANewLeaderCommitsNothing() {
    FakeCluster C;
    C.addEntry("e1");
    C.run(seconds(1));
    const std::size_t Entries = C.Committed.size();
    C.elect(2);
    C.run(seconds(3));
    CPPUNIT_ASSERT_EQUAL(2, C.Daemons.at("e1").Host);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), C.Daemons.at("e1").Confirmed.size());
    CPPUNIT_ASSERT_EQUAL(Entries, C.Committed.size());
  }

  /// Guards against a planned stop that waits for the lease to end.
  void leavingRetiresAtOnce() {
    FakeCluster C;
    FakeDaemon &D = C.addEntry("e1");
    C.run(seconds(1));
    C.event(D, ClientLeaving{});
    C.run(milliseconds(200));
    CPPUNIT_ASSERT(!alive(C, "e1"));
  }

  /// Guards against a stranger at a control host's address.
  void refusesAHostThatDoesNotKnowTheKey() {
    FakeCluster C;
    FakeOperator Op;
    C.open(Op, 0);
    C.send(Op, FakeCluster::putProfile("1"));
    for (ServerState &S : C.Hosts)
      S.Options.LinkKey = "a guessed key";
    FakeDaemon &D = C.addEntry("e1");
    C.run(seconds(5));
    CPPUNIT_ASSERT(D.Revisions.empty());
    CPPUNIT_ASSERT(!D.Troubles.empty());
  }

  /// Guards against a daemon with a wrong key that dials in a tight loop.
  void backsOffWhenRefused() {
    FakeCluster C;
    FakeDaemon &D = C.addEntry("e1", 1, "a wrong key");
    C.run(seconds(20));
    CPPUNIT_ASSERT(D.Dials >= 10);
    CPPUNIT_ASSERT(D.Dials <= 30);
    CPPUNIT_ASSERT(D.Troubles.back().Code == ErrorCode::UnknownMember);
  }

  /// Guards against a daemon that trusts a link after garbage.
  void reconnectsOnMalformedMessages() {
    FakeCluster C;
    FakeDaemon &D = C.addEntry("e1");
    C.run(seconds(1));
    const unsigned Dials = D.Dials;
    C.event(D, ClientReceived{D.State.Attempt, {0x82, 0x03}});
    C.run(seconds(1));
    CPPUNIT_ASSERT(D.Dials > Dials);
    CPPUNIT_ASSERT(isConnected(D.State, C.Time.now()));
  }

  /// Guards against a late copy that takes a daemon back or registers it twice.
  void duplicatedMessagesChangeNothing() {
    FakeCluster C;
    FakeDaemon &D = C.addEntry("e1");
    FakeOperator Op;
    C.open(Op, 0);
    C.send(Op, FakeCluster::putProfile("1"));
    C.run(seconds(1));
    const control::Configuration Before = *D.State.Config.InForce;
    const std::size_t Reports = D.Revisions.size();
    const Bytes Copy =
        encodeMessage(Snapshot{control::splitSnapshot(Before)[0]});
    const Bytes Late = encodeMessage(Announced{{7}, {7}});
    C.event(D, ClientReceived{D.State.Attempt, Copy});
    C.event(D, ClientReceived{D.State.Attempt, Copy});
    C.event(D, ClientReceived{D.State.Attempt - 1, Late});
    CPPUNIT_ASSERT_EQUAL(Reports, D.Revisions.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), D.Confirmed.size());
    const std::size_t Entries = C.Committed.size();
    const Message Again = Announce{D.State.Options.Announcement};
    C.event(0, LinkReceived{D.Link, encodeMessage(Again)});
    C.event(0, LinkReceived{D.Link, encodeMessage(Again)});
    CPPUNIT_ASSERT_EQUAL(Entries, C.Committed.size());
  }

  /// Guards against upstreams that stay cold, or get a full share at once.
  void coldUpstreamsWarmUpAtTheLeader() {
    FakeCluster C;
    FakeOperator Op;
    C.open(Op, 0);
    C.send(Op, FakeCluster::putProfile("1"));
    control::Service S;
    S.Name = "order";
    S.Address = {0x0A000001, 5683};
    S.ProfileName = "tablets";
    C.send(Op, CommandRequest{{"2", control::PutService{S, {}}}});
    CPPUNIT_ASSERT(Op.last<CommandResult>()->Decided->Accepted);
    FakeDaemon &D = C.addEntry("u1");
    D.State.Options.Announcement =
        control::UpstreamAnnouncement{"u1", "order", "dc", {1, 1}, 7, 1};
    C.run(seconds(1));
    CPPUNIT_ASSERT_EQUAL(std::uint32_t(1), D.Confirmed.at(0).Id.Number);
    const auto &U = C.host(1).Current.Config.Upstreams.at({1});
    CPPUNIT_ASSERT(U.Phase == control::UpstreamPhase::Cold);
    C.run(seconds(5));
    CPPUNIT_ASSERT(U.Phase == control::UpstreamPhase::Active);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ControlClientTest);

} // namespace
