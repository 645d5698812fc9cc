#include "consensus_fakes.h"
#include "jasminearch/consensus/log_store.h"
#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

using namespace jasminearch;
using namespace jasminearch::consensus;
using namespace jasminearch::consensus::testing;
using namespace std::chrono_literals;

namespace {

/// \returns the log stored on a host's disk.
EntryLog logOnDisk(const TestCluster::Host &TestHost) {
  LogStoreOptions Options;
  Options.Cluster = "test";
  Options.Host = TestHost.Name;
  auto Store = LogStore::open(openFakeFolder(TestHost.Disk->copy()), Options);
  CPPUNIT_ASSERT(Store.has_value());
  auto Stored = (*Store)->load();
  CPPUNIT_ASSERT(Stored.has_value());
  return Stored->Log;
}

/// Raft's log matching property: if two logs have entries with the same index
/// and term, they are identical up to that index.
bool logsMatch(const EntryLog &A, const EntryLog &B) {
  const LogIndex First = std::max(A.BaseIndex, B.BaseIndex) + 1;
  bool Same = false;
  for (LogIndex Index = std::min(lastIndex(A), lastIndex(B)); Index >= First;
       --Index) {
    Same = Same || termAt(A, Index) == termAt(B, Index);
    if (Same && entryAt(A, Index) != entryAt(B, Index))
      return false;
  }
  return true;
}

/// Runs a cluster with random faults and proposals.
class RandomSchedule {
public:
  RandomSchedule(unsigned Count, std::uint64_t Seed)
      : Cluster(Count, Seed, 5 + Seed % 40), RandomEngine(Seed) {
    Cluster.DelayMin = 500us;
    Cluster.DelayMax =
        std::chrono::microseconds(1000 + RandomEngine() % 150000);
    Cluster.Loss = static_cast<double>(RandomEngine() % 20) / 100;
    Cluster.Duplication = static_cast<double>(RandomEngine() % 20) / 100;
    for (unsigned Index = 0; Index < Count; ++Index)
      Cluster.host(Index).Rate =
          0.9 + static_cast<double>(RandomEngine() % 21) / 100;
  }

  void run() {
    for (unsigned Action = 0; Action < 150; ++Action) {
      performRandomAction();
      Cluster.run(std::chrono::milliseconds(RandomEngine() % 200));
      if (Action % 10 == 0)
        checkLogs();
    }
    recoverAndCheck();
    checkLogs();
  }

  TestCluster Cluster;
  unsigned Committed = 0;

private:
  void performRandomAction() {
    const auto Index = static_cast<unsigned>(RandomEngine() % Cluster.count());
    switch (RandomEngine() % 12) {
    case 0:
      return Cluster.setIsolated(Index, true);
    case 1:
    case 2:
      for (unsigned Each = 0; Each < Cluster.count(); ++Each)
        Cluster.setIsolated(Each, false);
      return;
    case 3:
      return Cluster.host(Index).Log ? Cluster.kill(Index) : start(Index);
    case 4:
    case 5:
      return start(Index);
    case 6:
      if (allMembersAreVoters())
        Cluster.replaceDisk(Index);
      return;
    default:
      for (unsigned Each = 0; Each < Cluster.count(); ++Each)
        propose(Each);
    }
  }

  void start(unsigned Index) {
    if (!Cluster.host(Index).Log)
      CPPUNIT_ASSERT(Cluster.start(Index).has_value());
  }

  void propose(unsigned Index) {
    if (Cluster.host(Index).Log)
      (void)Cluster.host(Index).Log->propose(
          bytesOf(std::to_string(RandomEngine())));
  }

  /// \returns whether the leader lists the current storage ids of all hosts as
  /// voters. Losing a disk earlier may lose a majority.
  bool allMembersAreVoters() const {
    const unsigned Leader = Cluster.leader();
    if (Leader == Cluster.count())
      return false;
    const auto Members = Cluster.host(Leader).Log->members();
    for (unsigned Index = 0; Index < Cluster.count(); ++Index) {
      const Member Present{Cluster.host(Index).Name,
                           Cluster.host(Index).StorageId, true};
      if (std::find(Members.begin(), Members.end(), Present) == Members.end())
        return false;
    }
    return true;
  }

  void checkLogs() {
    std::vector<EntryLog> Logs;
    for (unsigned Index = 0; Index < Cluster.count(); ++Index) {
      if (!Cluster.host(Index).Disk->Files.empty())
        Logs.push_back(logOnDisk(Cluster.host(Index)));
    }
    for (const EntryLog &A : Logs) {
      for (const EntryLog &B : Logs)
        CPPUNIT_ASSERT(logsMatch(A, B));
    }
  }

  void recoverAndCheck() {
    Cluster.Loss = 0;
    Cluster.DelayMax = Cluster.DelayMin;
    for (unsigned Index = 0; Index < Cluster.count(); ++Index) {
      Cluster.setIsolated(Index, false);
      start(Index);
    }
    CPPUNIT_ASSERT(Cluster.runUntil([this] { return Cluster.converged(); }));
    CPPUNIT_ASSERT(Cluster.commit("last") > 0);
    CPPUNIT_ASSERT(Cluster.runUntil([this] { return Cluster.converged(); }));
    Committed = static_cast<unsigned>(Cluster.host(0).Entries.size());
  }

  std::mt19937_64 RandomEngine;
};

class ConsensusScheduleTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConsensusScheduleTest);
  CPPUNIT_TEST(threeHosts);
  CPPUNIT_TEST(fiveHosts);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against two leaders in one term, inconsistent logs, lost or changed
  /// committed entries, outdated reads, messages sent before a sync and a
  /// cluster that doesn't recover. Faults: delay, loss, duplication and
  /// reordering of messages, partitions, crashes, lost disks and clocks that
  /// differ by 20%.
  static void runSeeds(unsigned Hosts, std::uint64_t Seeds) {
    unsigned Committed = 0;
    for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
      RandomSchedule S(Hosts, Seed);
      try {
        S.run();
      } catch (const CppUnit::Exception &Failure) {
        CPPUNIT_FAIL("seed " + std::to_string(Seed) + ": " + Failure.what());
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(Seed),
                                   std::string(), S.Cluster.Violation);
      Committed += S.Committed;
    }
    // Runs without progress would check nothing.
    CPPUNIT_ASSERT_GREATER(10 * Seeds, std::uint64_t{Committed});
  }

  void threeHosts() { runSeeds(3, 300); }
  void fiveHosts() { runSeeds(5, 100); }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConsensusScheduleTest);

} // namespace
