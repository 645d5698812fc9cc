#include "link_cluster.h"

using namespace jasminearch;
using namespace jasminearch::link;
using namespace jasminearch::link::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

class FreshnessTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FreshnessTest);
  CPPUNIT_TEST(cachedSnapshotIsNotPutInForceAlone);
  CPPUNIT_TEST(laggingHostServesNoNewDaemon);
  CPPUNIT_TEST(hostWithoutLeaseServesRunningDaemons);
  CPPUNIT_TEST(heartbeatsRaiseFirstRevision);
  CPPUNIT_TEST_SUITE_END();

  /// Commits \p Count changes through host 0.
  static void change(FakeCluster &C, int Count) {
    FakeOperator Op;
    C.open(Op, 0);
    for (int I = 0; I < Count; ++I) {
      control::Profile P;
      P.Name = "p" + std::to_string(C.LastRevision);
      C.send(Op, CommandRequest{{P.Name, control::PutProfile{P, {}}}});
    }
    C.handleEvent(0, LinkEnded{Op.Link});
  }

  /// Guards against a newly started process that puts a snapshot in force which
  /// was encoded for an earlier subscriber, before the delta that follows it.
  void cachedSnapshotIsNotPutInForceAlone() {
    FakeCluster C;
    change(C, 2);
    C.addEntry("e1");
    C.run(seconds(1));
    change(C, 9);
    const std::uint64_t Accepted = C.LastRevision;
    C.run(seconds(1));
    CPPUNIT_ASSERT_EQUAL(Accepted, C.Daemons.at("e1").Revisions.back());
    FakeDaemon &D = C.addEntry("e2", 2);
    C.run(seconds(1));
    CPPUNIT_ASSERT(!D.Revisions.empty());
    CPPUNIT_ASSERT(D.Revisions.front() >= Accepted);
    CPPUNIT_ASSERT_EQUAL(C.LastRevision, D.Revisions.back());
    CPPUNIT_ASSERT(D.Errors.empty());
  }

  /// Guards against a lagging host that serves a newly started process between
  /// two leaders. Its quorum is recent, but it lacks entries that the previous
  /// leader committed.
  void laggingHostServesNoNewDaemon() {
    FakeCluster C;
    change(C, 3);
    C.Partitioned = {1};
    change(C, 9);
    const std::uint64_t Accepted = C.LastRevision;
    C.Partitioned.clear();
    C.elect(-1);
    FakeDaemon &D = C.addEntry("e1");
    D.State.Options.ControlHosts = {FakeCluster::address(1)};
    D.State.HostIndex = 0;
    C.run(seconds(3));
    CPPUNIT_ASSERT(D.Revisions.empty());
    CPPUNIT_ASSERT(D.ConnectionAttempts > 1);
    C.elect(0);
    C.run(seconds(3));
    CPPUNIT_ASSERT(!D.Revisions.empty());
    CPPUNIT_ASSERT(D.Revisions.front() >= Accepted);
  }

  /// Guards against a freshness check that disconnects daemons which already
  /// have a configuration.
  void hostWithoutLeaseServesRunningDaemons() {
    FakeCluster C;
    change(C, 3);
    FakeDaemon &D = C.addEntry("e1");
    C.run(seconds(1));
    const auto Before = D.Revisions;
    CPPUNIT_ASSERT(!Before.empty());
    C.elect(-1);
    D.Silent = true;
    C.run(seconds(3));
    CPPUNIT_ASSERT(!D.Silent);
    CPPUNIT_ASSERT(D.State.CurrentPhase == ClientState::Phase::Subscribed);
    CPPUNIT_ASSERT(D.Revisions == Before);
    CPPUNIT_ASSERT(D.State.Config.InForce != nullptr);
  }

  /// Guards against a snapshot that arrives late and is older than the revision
  /// that the host has reported since.
  void heartbeatsRaiseFirstRevision() {
    FakeCluster C;
    C.DelayCommits = true;
    FakeDaemon &D = C.addEntry("e1");
    C.run(milliseconds(100));
    CPPUNIT_ASSERT(D.State.CurrentPhase == ClientState::Phase::Subscribed);
    const auto Deliver = [&](const Message &M) {
      C.handleEvent(D, ClientReceived{D.State.Attempt, encodeMessage(M)});
    };
    Deliver(Heartbeat{{12}, {}});
    Snapshot Old;
    Old.Value.Part.InForce = {3};
    Old.Value.Last = true;
    Deliver(Old);
    CPPUNIT_ASSERT(D.Revisions.empty());
    Delta Rest;
    Rest.Value.From = {3};
    Rest.Value.Changed.InForce = {12};
    Deliver(Rest);
    CPPUNIT_ASSERT(D.Revisions == std::vector<std::uint64_t>{12});
    Rest.Value.From = {12};
    Rest.Value.Changed.InForce = {13};
    Deliver(Rest);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(13), D.Revisions.back());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FreshnessTest);

} // namespace
