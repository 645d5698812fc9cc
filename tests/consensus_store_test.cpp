#include "consensus_fakes.h"
#include "jasminearch/consensus/log_store.h"
#include <cppunit/extensions/HelperMacros.h>
#include <filesystem>
#include <unistd.h>

using namespace jasminearch;
using namespace jasminearch::consensus;
using namespace jasminearch::consensus::testing;
using namespace std::chrono_literals;

namespace {

LogStoreOptions makeStoreOptions(const std::string &Cluster = "test") {
  LogStoreOptions Options;
  Options.Cluster = Cluster;
  Options.Host = "control-1";
  Options.StorageId = "0123456789abcdef";
  return Options;
}

LogEntry makeEntry(LogIndex Index, Term InTerm = 1) {
  return {Index, InTerm, EntryKind::Data, Bytes(40, 'e')};
}

Expected<StoredState> loadDisk(const std::shared_ptr<FakeDisk> &Disk) {
  auto Store = LogStore::open(openFakeFolder(Disk), makeStoreOptions());
  if (!Store)
    return tl::unexpected(Store.error());
  return (*Store)->load();
}

/// \returns a disk with five synced entries, each in a separate record.
std::shared_ptr<FakeDisk> makeDiskWithEntries() {
  auto Disk = std::make_shared<FakeDisk>();
  auto Store = LogStore::open(openFakeFolder(Disk), makeStoreOptions());
  for (LogIndex Index = 1; Index <= 5; ++Index) {
    CPPUNIT_ASSERT((*Store)->append({1, {}}, {makeEntry(Index)}).has_value());
    CPPUNIT_ASSERT((*Store)->sync().has_value());
  }
  return Disk;
}

class ConsensusStoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConsensusStoreTest);
  CPPUNIT_TEST(truncatesTornTail);
  CPPUNIT_TEST(refusesFlippedByte);
  CPPUNIT_TEST(refusesDamageBeforeSyncedRecord);
  CPPUNIT_TEST(replacesConflictingEntries);
  CPPUNIT_TEST(recoversFromCrashBetweenSnapshotAndLog);
  CPPUNIT_TEST(fullDiskLeavesLogUnchanged);
  CPPUNIT_TEST(clusterToleratesFullDiskAtEveryWrite);
  CPPUNIT_TEST(bootstrapToleratesFailureAtEveryWrite);
  CPPUNIT_TEST(refusesFolderOfAnotherCluster);
  CPPUNIT_TEST(refusesSecondBootstrap);
  CPPUNIT_TEST(persistsStateInRealFolder);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against a host that can't start after a crash during a write, or
  /// that loses entries synced before.
  void truncatesTornTail() {
    const auto Intact = makeDiskWithEntries();
    const auto Synced = Intact->Files["log"]->Durable.size();
    auto Store = LogStore::open(openFakeFolder(Intact), makeStoreOptions());
    CPPUNIT_ASSERT((*Store)->load().has_value());
    const std::vector<LogEntry> More{makeEntry(6), makeEntry(7)};
    CPPUNIT_ASSERT((*Store)->append({1, {}}, More).has_value());
    const auto End = Intact->Files["log"]->Current.size();
    for (auto Size = Synced; Size < End; ++Size) {
      for (const bool Zeros : {false, true}) {
        const auto Torn = Intact->copy();
        Torn->Files["log"]->Current.resize(Size);
        if (Zeros)
          Torn->Files["log"]->Current.resize(End + 700);
        const auto Stored = loadDisk(Torn);
        CPPUNIT_ASSERT(Zeros || Stored.has_value());
        // If there are only a few zeros, a torn write can't be distinguished
        // from corruption.
        if (!Stored)
          continue;
        CPPUNIT_ASSERT_EQUAL(LogIndex{5}, lastIndex(Stored->Log));
        CPPUNIT_ASSERT_EQUAL(Synced, Torn->Files["log"]->Current.size());
      }
    }
  }

  /// Guards against corruption that is treated as a torn tail, which would drop
  /// entries that this host has acknowledged.
  void refusesFlippedByte() {
    const auto Intact = makeDiskWithEntries();
    auto Store = LogStore::open(openFakeFolder(Intact), makeStoreOptions());
    const auto Stored = (*Store)->load();
    const Snapshot Latest{3, 1, {{"control-1", "0123", true}}, Bytes(20, 's')};
    CPPUNIT_ASSERT(
        (*Store)->saveSnapshot(Latest, Stored->Hard, Stored->Log).has_value());
    for (const auto &[Name, Content] : Intact->Files) {
      for (std::size_t Offset = 0; Offset < Content->Current.size(); ++Offset) {
        const auto Damaged = Intact->copy();
        Damaged->Files[Name]->Current[Offset] ^= 0x10;
        const auto Loaded = loadDisk(Damaged);
        CPPUNIT_ASSERT_MESSAGE(Name + " at " + std::to_string(Offset),
                               !Loaded.has_value());
        CPPUNIT_ASSERT(Loaded.error().Code == ErrorCode::StorageCorrupt);
      }
    }
  }

  /// Guards against zeroed bytes in synced records that are treated as the
  /// start of a torn tail.
  void refusesDamageBeforeSyncedRecord() {
    const auto Intact = makeDiskWithEntries();
    const auto Size = Intact->Files["log"]->Current.size();
    for (std::size_t Offset = 0; Offset + 100 < Size; ++Offset) {
      const auto Damaged = Intact->copy();
      auto &Log = Damaged->Files["log"]->Current;
      std::fill_n(Log.begin() + static_cast<std::ptrdiff_t>(Offset), 50, 0);
      const auto Loaded = loadDisk(Damaged);
      CPPUNIT_ASSERT(!Loaded.has_value() ||
                     lastIndex(Loaded->Log) == LogIndex{5});
    }
  }

  /// Guards against replaced entries of a former leader that reappear after a
  /// restart.
  void replacesConflictingEntries() {
    const auto Disk = makeDiskWithEntries();
    auto Store = LogStore::open(openFakeFolder(Disk), makeStoreOptions());
    CPPUNIT_ASSERT((*Store)->load().has_value());
    CPPUNIT_ASSERT((*Store)
                       ->append({2, {"control-2", "x"}}, {makeEntry(3, 2)})
                       .has_value());
    CPPUNIT_ASSERT((*Store)->sync().has_value());
    const auto Stored = loadDisk(Disk);
    CPPUNIT_ASSERT_EQUAL(LogIndex{3}, lastIndex(Stored->Log));
    CPPUNIT_ASSERT_EQUAL(Term{2}, lastTerm(Stored->Log));
    CPPUNIT_ASSERT(Stored->Hard == (HardState{2, {"control-2", "x"}}));
  }

  /// Guards against a host that can't start after a crash between writing a
  /// snapshot and writing the log, if the snapshot is from a newer term.
  void recoversFromCrashBetweenSnapshotAndLog() {
    const auto Disk = makeDiskWithEntries();
    auto Store = LogStore::open(openFakeFolder(Disk), makeStoreOptions());
    CPPUNIT_ASSERT((*Store)->load().has_value());
    // Writing, syncing and renaming the snapshot are three operations.
    Disk->FailAt = Disk->Operations + 4;
    const Snapshot Latest{9, 4, {}, Bytes(10, 's')};
    CPPUNIT_ASSERT(
        !(*Store)->saveSnapshot(Latest, {5, {}}, {9, 4, {}}).has_value());
    for (LogIndex Next = 10; Next <= 11; ++Next) {
      Store = LogStore::open(openFakeFolder(Disk), makeStoreOptions());
      const auto Stored = (*Store)->load();
      CPPUNIT_ASSERT(Stored.has_value());
      CPPUNIT_ASSERT_EQUAL(Term{4}, Stored->Hard.Current);
      CPPUNIT_ASSERT_EQUAL(Next - 1, lastIndex(Stored->Log));
      CPPUNIT_ASSERT(
          (*Store)->append(Stored->Hard, {makeEntry(Next, 4)}).has_value());
      CPPUNIT_ASSERT((*Store)->sync().has_value());
    }
  }

  /// Guards against a refused proposal that remains in the log.
  void fullDiskLeavesLogUnchanged() {
    TestCluster Cluster(3);
    Cluster.commit("one");
    const unsigned Leader = Cluster.leader();
    Cluster.host(Leader).Disk->Full = true;
    for (unsigned Try = 0; Try < 3; ++Try) {
      const auto Refused = Cluster.host(Leader).Log->propose(bytesOf("lost"));
      CPPUNIT_ASSERT(Refused.error().Code == ErrorCode::StorageFull);
    }
    Cluster.run(2s);
    CPPUNIT_ASSERT_EQUAL(Leader, Cluster.leader());
    Cluster.host(Leader).Disk->Full = false;
    CPPUNIT_ASSERT(Cluster.commit("two") > 0);
    CPPUNIT_ASSERT(Cluster.runUntil([&] { return Cluster.converged(); }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Cluster.host(Leader).Entries.size());
    CPPUNIT_ASSERT_EQUAL(std::string(), Cluster.Violation);
  }

  /// Guards against partially changed state after a failed write on a leader, a
  /// follower or a learner, with snapshots and a restart.
  void clusterToleratesFullDiskAtEveryWrite() {
    std::uint64_t Failures = 0;
    for (unsigned Faulty = 0; Faulty < 3; ++Faulty) {
      for (std::uint64_t FailAt = 1; FailAt <= 150; ++FailAt) {
        TestCluster Cluster(3, 1, 5);
        auto &Host = Cluster.host(Faulty);
        Host.Disk->FailAt = Host.Disk->Operations + FailAt;
        for (unsigned Number = 0; Number < 12; ++Number)
          Cluster.commit(std::to_string(Number));
        Cluster.replaceDisk((Faulty + 1) % 3);
        Cluster.commit("without");
        CPPUNIT_ASSERT(Cluster.start((Faulty + 1) % 3).has_value());
        Cluster.runUntil([&] { return Cluster.converged(); });
        Failures += Host.Disk->Operations >= Host.Disk->FailAt ? 1 : 0;
        Host.Disk->FailAt = 0;
        Cluster.kill(Faulty);
        CPPUNIT_ASSERT(Cluster.start(Faulty).has_value());
        CPPUNIT_ASSERT(Cluster.runUntil([&] { return Cluster.converged(); }));
        CPPUNIT_ASSERT_EQUAL(std::string(), Cluster.Violation);
      }
    }
    CPPUNIT_ASSERT(Failures > 100);
  }

  /// Guards against a partially created data folder that can't be used.
  void bootstrapToleratesFailureAtEveryWrite() {
    std::uint64_t FailAt = 0;
    Expected<std::unique_ptr<LogStore>> Store;
    do {
      auto Disk = std::make_shared<FakeDisk>();
      Disk->FailAt = ++FailAt;
      auto Options = makeStoreOptions();
      Options.InitialMembers = {{"control-1", Options.StorageId, true}};
      Store = LogStore::open(openFakeFolder(Disk), Options);
      if (Store)
        break;
      CPPUNIT_ASSERT(Store.error().Code == ErrorCode::StorageFull);
      std::mt19937_64 Random(FailAt);
      Disk->crash(Random);
      CPPUNIT_ASSERT(LogStore::open(openFakeFolder(Disk), Options).has_value());
      CPPUNIT_ASSERT_EQUAL(LogIndex{1}, lastIndex(loadDisk(Disk)->Log));
    } while (FailAt < 100);
    CPPUNIT_ASSERT(FailAt > 4 && FailAt < 100);
  }

  /// Guards against a host that joins a cluster with the data folder of another
  /// cluster.
  void refusesFolderOfAnotherCluster() {
    const auto Disk = makeDiskWithEntries();
    const auto Store =
        LogStore::open(openFakeFolder(Disk), makeStoreOptions("other"));
    CPPUNIT_ASSERT(Store.error().Code == ErrorCode::StorageWrongCluster);
  }

  /// Guards against a bootstrap option that remains set: after the loss of a
  /// disk, the host would rejoin with its old storage id and an empty log.
  void refusesSecondBootstrap() {
    TestCluster Cluster(3);
    Cluster.kill(0);
    CPPUNIT_ASSERT(Cluster.start(0, true).error().Code ==
                   ErrorCode::StorageAlreadyInitialized);
    CPPUNIT_ASSERT(Cluster.start(0).has_value());
  }

  /// Guards against differences between FakeDisk and a real folder, and against
  /// two processes that use the same folder.
  void persistsStateInRealFolder() {
    const auto Path = std::filesystem::temp_directory_path() /
                      ("jasminearch-store-test-" + std::to_string(::getpid()));
    std::filesystem::remove_all(Path);
    for (unsigned Round = 0; Round < 3; ++Round) {
      auto Store = LogStore::open(std::move(*openDataFolder(Path.string())),
                                  makeStoreOptions());
      CPPUNIT_ASSERT(Store.has_value());
      CPPUNIT_ASSERT(!openDataFolder(Path.string()).has_value());
      const auto Stored = (*Store)->load();
      CPPUNIT_ASSERT_EQUAL(LogIndex{Round} * 2, lastIndex(Stored->Log));
      const LogIndex Next = lastIndex(Stored->Log) + 1;
      CPPUNIT_ASSERT((*Store)->append({1, {}}, {makeEntry(Next)}).has_value());
      CPPUNIT_ASSERT((*Store)->sync().has_value());
      const Snapshot Latest{Next, 1, {}, Bytes(10, 's')};
      const EntryLog Rest{Next, 1, {}};
      CPPUNIT_ASSERT((*Store)->saveSnapshot(Latest, {1, {}}, Rest).has_value());
      CPPUNIT_ASSERT(
          (*Store)->append({1, {}}, {makeEntry(Next + 1)}).has_value());
      CPPUNIT_ASSERT((*Store)->sync().has_value());
    }
    std::filesystem::remove_all(Path);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConsensusStoreTest);

} // namespace
