#include "consensus_fakes.h"
#include <cppunit/extensions/HelperMacros.h>

using namespace jasminearch;
using namespace jasminearch::consensus;
using namespace jasminearch::consensus::testing;
using namespace std::chrono_literals;

namespace {

class ConsensusReplicationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConsensusReplicationTest);
  CPPUNIT_TEST(commitsOnEveryHost);
  CPPUNIT_TEST(survivesLossOfLeader);
  CPPUNIT_TEST(partitionedLeaderRefuses);
  CPPUNIT_TEST(returningFollowerDoesNotDisrupt);
  CPPUNIT_TEST(survivesLostDiskThenSecondLoss);
  CPPUNIT_TEST(emptyDiskDoesNotVote);
  CPPUNIT_TEST(survivesRestartOfTwoHosts);
  CPPUNIT_TEST(survivesCrashOfAllAfterCommit);
  CPPUNIT_TEST(newHostJoinsFromSnapshot);
  CPPUNIT_TEST(tellsQuorumAge);
  CPPUNIT_TEST(batchesProposalsIntoOneSync);
  CPPUNIT_TEST_SUITE_END();

  static void assertSound(const Exchange &E) {
    CPPUNIT_ASSERT_EQUAL(std::string(), E.Violation);
  }

  /// Guards against entries that reach only some hosts.
  void commitsOnEveryHost() {
    Exchange E(3);
    CPPUNIT_ASSERT(E.commit("one") > 0);
    CPPUNIT_ASSERT(E.commit("two") > 0);
    CPPUNIT_ASSERT(E.runUntil([&] { return E.settled(); }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, E.host(2).Entries.size());
    assertSound(E);
  }

  /// Guards against accepted entries that die with the leader.
  void survivesLossOfLeader() {
    Exchange E(3);
    const auto First = E.commit("one");
    const unsigned Old = E.leader();
    E.kill(Old);
    const auto Second = E.commit("two");
    CPPUNIT_ASSERT(Second > First);
    CPPUNIT_ASSERT(E.leader() != Old);
    CPPUNIT_ASSERT(E.start(Old).has_value());
    CPPUNIT_ASSERT(E.runUntil([&] { return E.settled(); }));
    CPPUNIT_ASSERT(E.host(Old).Entries.contains(Second));
    assertSound(E);
  }

  /// Guards against a leader that goes on answering its clients after the
  /// others have chosen another.
  void partitionedLeaderRefuses() {
    Exchange E(3);
    E.commit("one");
    const unsigned Old = E.leader();
    E.cut(Old, true);
    E.run(300ms);
    ReplicatedLog &Log = *E.host(Old).Log;
    CPPUNIT_ASSERT(!Log.leaseHeld());
    CPPUNIT_ASSERT(!Log.propose(bytesOf("lost")).has_value());
    E.run(700ms);
    CPPUNIT_ASSERT(!E.host(Old).Leading);
    CPPUNIT_ASSERT(Log.leader() != E.host(Old).Name);
    CPPUNIT_ASSERT(E.commit("two") > 0);
    E.run(60s);
    CPPUNIT_ASSERT(Log.propose(bytesOf("lost")).error().Code ==
                   ErrorCode::NotLeader);
    CPPUNIT_ASSERT(Log.quorumAge() > 60s);
    E.cut(Old, false);
    CPPUNIT_ASSERT(E.runUntil([&] { return E.settled(); }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, E.host(Old).Entries.size());
    assertSound(E);
  }

  /// Guards against a host that raises its term while it is cut off and forces
  /// an election when it comes back.
  void returningFollowerDoesNotDisrupt() {
    Exchange E(3);
    E.commit("one");
    const unsigned Leader = E.leader();
    const unsigned Other = (Leader + 1) % 3;
    E.cut(Other, true);
    E.run(30s);
    E.cut(Other, false);
    E.AfterStep = [&] {
      if (!E.host(Leader).Log->leaseHeld())
        E.Violation = "the leader lost its lease";
    };
    E.run(5s);
    CPPUNIT_ASSERT_EQUAL(Leader, E.leader());
    CPPUNIT_ASSERT(E.settled());
    assertSound(E);
  }

  /// Guards against accepted entries that are lost when a host comes back with
  /// an empty disk and another fails right after the repair.
  void survivesLostDiskThenSecondLoss() {
    for (unsigned Lost = 0; Lost < 3; ++Lost) {
      Exchange E(3, Lost + 1);
      E.commit("one");
      E.loseDisk(Lost);
      CPPUNIT_ASSERT(E.commit("two") > 0);
      CPPUNIT_ASSERT(E.start(Lost).has_value());
      CPPUNIT_ASSERT(E.runUntil([&] { return E.settled(); }));
      const unsigned Second = E.leader();
      E.loseDisk(Second);
      CPPUNIT_ASSERT(E.commit("three") > 0);
      CPPUNIT_ASSERT(E.start(Second).has_value());
      CPPUNIT_ASSERT(E.runUntil([&] { return E.settled(); }));
      CPPUNIT_ASSERT_EQUAL(std::size_t{3}, E.host(Second).Entries.size());
      assertSound(E);
    }
  }

  /// Guards against a majority made up of a host that missed an accepted entry
  /// and a host that forgot it.
  void emptyDiskDoesNotVote() {
    Exchange E(3);
    E.commit("one");
    const unsigned Leader = E.leader();
    const unsigned Forgets = (Leader + 1) % 3;
    const unsigned Misses = (Leader + 2) % 3;
    E.cut(Misses, true);
    const auto Accepted = E.commit("two");
    E.cut(Leader, true);
    E.loseDisk(Forgets);
    E.cut(Misses, false);
    CPPUNIT_ASSERT(E.start(Forgets).has_value());
    E.run(10s);
    CPPUNIT_ASSERT_EQUAL(E.count(), E.leader());
    E.cut(Leader, false);
    CPPUNIT_ASSERT(E.runUntil([&] { return E.settled(); }));
    CPPUNIT_ASSERT(E.host(Misses).Entries.contains(Accepted));
    assertSound(E);
  }

  /// Guards against votes and entries that a restart forgets.
  void survivesRestartOfTwoHosts() {
    Exchange E(3);
    const auto Accepted = E.commit("one");
    const unsigned Leader = E.leader();
    for (const unsigned At : {Leader, (Leader + 1) % 3})
      E.kill(At);
    E.run(2s);
    CPPUNIT_ASSERT_EQUAL(E.count(), E.leader());
    for (const unsigned At : {Leader, (Leader + 1) % 3})
      CPPUNIT_ASSERT(E.start(At).has_value());
    CPPUNIT_ASSERT(E.runUntil([&] { return E.settled(); }));
    CPPUNIT_ASSERT(E.host(Leader).Entries.contains(Accepted));
    assertSound(E);
  }

  /// Guards against an entry that is accepted before it is on a majority of
  /// disks.
  void survivesCrashOfAllAfterCommit() {
    for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
      Exchange E(3, Seed);
      const auto Accepted = E.commit("one");
      for (unsigned At = 0; At < 3; ++At)
        E.kill(At);
      for (unsigned At = 0; At < 3; ++At)
        CPPUNIT_ASSERT(E.start(At).has_value());
      CPPUNIT_ASSERT(E.runUntil([&] { return E.settled(); }));
      CPPUNIT_ASSERT(E.host(0).Entries.contains(Accepted));
      assertSound(E);
    }
  }

  /// Guards against a host that can't join once the log has been compacted.
  void newHostJoinsFromSnapshot() {
    Exchange E(3, 1, 10);
    for (unsigned Number = 0; Number < 50; ++Number)
      E.commit(std::string(10000, 'x') + std::to_string(Number));
    E.addHost();
    for (unsigned At = 0; At < 3; ++At) {
      E.kill(At);
      CPPUNIT_ASSERT(E.start(At).has_value());
    }
    CPPUNIT_ASSERT(E.start(3).has_value());
    CPPUNIT_ASSERT(E.runUntil([&] { return E.settled(); }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{50}, E.host(3).Entries.size());
    assertSound(E);
  }

  /// Guards against a follower that can't tell whether its leader still leads,
  /// or that takes a message under way for long as a sign that it does.
  void tellsQuorumAge() {
    Exchange E(3);
    E.commit("one");
    E.run(1s);
    for (unsigned At = 0; At < 3; ++At)
      CPPUNIT_ASSERT(E.host(At).Log->quorumAge() < 400ms);
    const unsigned Other = (E.leader() + 1) % 3;
    E.DelayMin = E.DelayMax = 5s;
    E.run(100ms);
    E.cut(E.leader(), true);
    E.run(5s);
    CPPUNIT_ASSERT(E.host(Other).Log->quorumAge() > 4500ms);
  }

  /// Guards against one sync for each of many proposals.
  void batchesProposalsIntoOneSync() {
    Exchange E(3);
    E.commit("one");
    auto &Leader = E.host(E.leader());
    const auto Before = Leader.Disk->Operations;
    for (unsigned Number = 0; Number < 100; ++Number)
      CPPUNIT_ASSERT(Leader.Log->propose(bytesOf("x")).has_value());
    Leader.Log->flush();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{101}, Leader.Disk->Operations - Before);
    CPPUNIT_ASSERT(E.runUntil([&] { return Leader.Entries.size() == 101; }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConsensusReplicationTest);

} // namespace
