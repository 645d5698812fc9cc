#include "link_cluster.h"

using namespace jasminearch;
using namespace jasminearch::link;
using namespace jasminearch::link::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

class ControlClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ControlClientTest);
  CPPUNIT_TEST(registersWithLeaderAndReceivesChanges);
  CPPUNIT_TEST(newDaemonIgnoresPartitionedHost);
  CPPUNIT_TEST(runningDaemonKeepsItsConfiguration);
  CPPUNIT_TEST(replacesSilentLinkWithinLease);
  CPPUNIT_TEST(lostDaemonIsRetiredAndRegistersAgain);
  CPPUNIT_TEST(newLeaderGrantsFullLease);
  CPPUNIT_TEST(newLeaderReceivesCountsSoon);
  CPPUNIT_TEST(resumedLeaderRetiresNoDaemon);
  CPPUNIT_TEST(renewalAfterLeaderChangeCommitsNothing);
  CPPUNIT_TEST(leavingRetiresAtOnce);
  CPPUNIT_TEST(rejectsHostWithoutLinkKey);
  CPPUNIT_TEST(backsOffWhenRefused);
  CPPUNIT_TEST(reconnectsAfterMalformedMessage);
  CPPUNIT_TEST(duplicateMessagesChangeNothing);
  CPPUNIT_TEST(coldUpstreamsWarmUp);
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

  /// Guards against a daemon that stays connected to a follower or misses
  /// changes.
  void registersWithLeaderAndReceivesChanges() {
    FakeCluster C;
    FakeDaemon &D = C.addEntry("e1", 3);
    C.run(milliseconds(200));
    CPPUNIT_ASSERT_EQUAL(0, D.Host);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), D.Registrations.size());
    FakeOperator Op;
    C.open(Op, 0);
    C.send(Op, FakeCluster::putProfile("1"));
    C.run(milliseconds(40));
    CPPUNIT_ASSERT_EQUAL(C.LastRevision, D.Revisions.back());
    CPPUNIT_ASSERT(*D.State.Config.InForce == C.host(0).Current.Config);
    CPPUNIT_ASSERT_EQUAL(C.LastRevision,
                         C.host(0).Daemons.at("e1").InForce.Number);
  }

  /// Guards against a restarted process that puts an outdated configuration in
  /// force because the host it reaches is partitioned.
  void newDaemonIgnoresPartitionedHost() {
    FakeCluster C;
    FakeOperator Op;
    C.open(Op, 0);
    C.send(Op, FakeCluster::putProfile("1"));
    C.Partitioned = {0, 1, 2};
    FakeDaemon &D = C.addEntry("e1");
    C.run(seconds(10));
    CPPUNIT_ASSERT(D.Revisions.empty());
    CPPUNIT_ASSERT(D.ConnectionAttempts > 3);
    C.Partitioned = {2};
    C.run(seconds(4));
    CPPUNIT_ASSERT(!D.Revisions.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), D.Registrations.size());
  }

  /// Guards against a daemon that drops its configuration, and thus its
  /// traffic, when no control host is reachable.
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

  /// Guards against a working daemon that is committed as lost because its
  /// connection went silent. The loop varies when the silence begins.
  void replacesSilentLinkWithinLease() {
    for (int Phase = 0; Phase < 26; ++Phase) {
      FakeCluster C;
      FakeDaemon &D = C.addEntry("e1", 1 + Phase);
      C.run(seconds(1) + Phase * ServerTickInterval);
      const unsigned AttemptsBefore = D.ConnectionAttempts;
      D.Silent = true;
      C.run(SilenceTimeout + milliseconds(200));
      CPPUNIT_ASSERT(D.ConnectionAttempts > AttemptsBefore);
      CPPUNIT_ASSERT(!D.Silent);
      C.run(seconds(3));
      CPPUNIT_ASSERT_EQUAL(std::size_t(0), retirements(C));
      CPPUNIT_ASSERT_EQUAL(std::size_t(2), D.Registrations.size());
    }
  }

  /// Guards against a dead daemon that stays in the configuration, and against
  /// a frozen daemon that isn't registered again when it resumes.
  void lostDaemonIsRetiredAndRegistersAgain() {
    FakeCluster C;
    FakeDaemon &D = C.addEntry("e1");
    C.run(seconds(1));
    const ClientState Frozen = D.State;
    D.Silent = true;
    D.State.CurrentPhase = ClientState::Phase::Stopped;
    C.run(control::LeaseLength + milliseconds(200));
    CPPUNIT_ASSERT(!alive(C, "e1"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), retirements(C));
    D.State = Frozen;
    C.run(seconds(1));
    CPPUNIT_ASSERT(alive(C, "e1"));
  }

  /// Guards against a new leader that retires all daemons, because it has seen
  /// no heartbeat yet.
  void newLeaderGrantsFullLease() {
    FakeCluster C;
    FakeDaemon &Gone = C.addEntry("gone");
    C.addEntry("e1");
    C.run(seconds(1));
    Gone.Silent = true;
    Gone.State.CurrentPhase = ClientState::Phase::Stopped;
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

  /// Guards against a new leader that reports "can't tell" until the next
  /// regular report, up to 10 s later.
  void newLeaderReceivesCountsSoon() {
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

  /// Guards against a leader that was paused and finds all leases expired.
  void resumedLeaderRetiresNoDaemon() {
    FakeCluster C;
    C.addEntry("e1");
    C.run(seconds(1));
    C.Time.advance(seconds(5));
    C.handleEvent(0, ServerTick{});
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), retirements(C));
    C.run(seconds(4));
    CPPUNIT_ASSERT(alive(C, "e1"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), retirements(C));
  }

  /// Guards against thousands of log entries when all daemons renew their
  /// announcement after a change of leader.
  void renewalAfterLeaderChangeCommitsNothing() {
    FakeCluster C;
    C.addEntry("e1");
    C.run(seconds(1));
    const std::size_t Entries = C.Committed.size();
    C.elect(2);
    C.run(seconds(3));
    CPPUNIT_ASSERT_EQUAL(2, C.Daemons.at("e1").Host);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2),
                         C.Daemons.at("e1").Registrations.size());
    CPPUNIT_ASSERT_EQUAL(Entries, C.Committed.size());
  }

  /// Guards against a planned shutdown that takes effect only when the lease
  /// expires.
  void leavingRetiresAtOnce() {
    FakeCluster C;
    FakeDaemon &D = C.addEntry("e1");
    C.run(seconds(1));
    C.handleEvent(D, ClientLeaving{});
    C.run(milliseconds(200));
    CPPUNIT_ASSERT(!alive(C, "e1"));
  }

  /// Guards against a process without the link key at a control host's address.
  void rejectsHostWithoutLinkKey() {
    FakeCluster C;
    FakeOperator Op;
    C.open(Op, 0);
    C.send(Op, FakeCluster::putProfile("1"));
    for (ServerState &S : C.Hosts)
      S.Options.LinkKey = "a guessed key";
    FakeDaemon &D = C.addEntry("e1");
    C.run(seconds(5));
    CPPUNIT_ASSERT(D.Revisions.empty());
    CPPUNIT_ASSERT(!D.Errors.empty());
  }

  /// Guards against a daemon with a wrong key that reconnects in a tight loop.
  void backsOffWhenRefused() {
    FakeCluster C;
    FakeDaemon &D = C.addEntry("e1", 1, "a wrong key");
    C.run(seconds(20));
    CPPUNIT_ASSERT(D.ConnectionAttempts >= 10);
    CPPUNIT_ASSERT(D.ConnectionAttempts <= 30);
    CPPUNIT_ASSERT(D.Errors.back().Code == ErrorCode::UnknownMember);
  }

  /// Guards against a daemon that keeps using a link after a malformed message.
  void reconnectsAfterMalformedMessage() {
    FakeCluster C;
    FakeDaemon &D = C.addEntry("e1");
    C.run(seconds(1));
    const unsigned AttemptsBefore = D.ConnectionAttempts;
    C.handleEvent(D, ClientReceived{D.State.Attempt, {0x82, 0x03}});
    C.run(seconds(1));
    CPPUNIT_ASSERT(D.ConnectionAttempts > AttemptsBefore);
    CPPUNIT_ASSERT(isConnected(D.State, C.Time.now()));
  }

  /// Guards against a late duplicate that reverts the configuration or
  /// registers the daemon twice.
  void duplicateMessagesChangeNothing() {
    FakeCluster C;
    FakeDaemon &D = C.addEntry("e1");
    FakeOperator Op;
    C.open(Op, 0);
    C.send(Op, FakeCluster::putProfile("1"));
    C.run(seconds(1));
    const control::Configuration Before = *D.State.Config.InForce;
    const std::size_t UpdateCount = D.Revisions.size();
    const Bytes DuplicateSnapshot =
        encodeMessage(Snapshot{control::splitSnapshot(Before)[0]});
    const Bytes LateAnnounced = encodeMessage(Announced{{7}, {7}});
    C.handleEvent(D, ClientReceived{D.State.Attempt, DuplicateSnapshot});
    C.handleEvent(D, ClientReceived{D.State.Attempt, DuplicateSnapshot});
    C.handleEvent(D, ClientReceived{D.State.Attempt - 1, LateAnnounced});
    CPPUNIT_ASSERT_EQUAL(UpdateCount, D.Revisions.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), D.Registrations.size());
    const std::size_t Entries = C.Committed.size();
    const Message Renewal = Announce{D.State.Options.Announcement};
    C.handleEvent(0, LinkReceived{D.Link, encodeMessage(Renewal)});
    C.handleEvent(0, LinkReceived{D.Link, encodeMessage(Renewal)});
    CPPUNIT_ASSERT_EQUAL(Entries, C.Committed.size());
  }

  /// Guards against upstreams that stay cold, or that receive a full share of
  /// the traffic at once.
  void coldUpstreamsWarmUp() {
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
    CPPUNIT_ASSERT_EQUAL(std::uint32_t(1), D.Registrations.at(0).Id.Number);
    const auto &U = C.host(1).Current.Config.Upstreams.at({1});
    CPPUNIT_ASSERT(U.Phase == control::UpstreamPhase::Cold);
    C.run(seconds(5));
    CPPUNIT_ASSERT(U.Phase == control::UpstreamPhase::Active);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ControlClientTest);

} // namespace
