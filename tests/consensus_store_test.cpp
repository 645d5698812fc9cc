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

LogStoreOptions optionsOf(const std::string &Cluster = "test") {
  LogStoreOptions Options;
  Options.Cluster = Cluster;
  Options.Host = "control-1";
  Options.StorageId = "0123456789abcdef";
  return Options;
}

LogEntry entryOf(LogIndex Index, Term InTerm = 1) {
  return {Index, InTerm, EntryKind::Data, Bytes(40, 'e')};
}

Expected<StoredState> loadFrom(const std::shared_ptr<FakeDisk> &Disk) {
  auto Store = LogStore::open(openFakeFolder(Disk), optionsOf());
  if (!Store)
    return tl::unexpected(Store.error());
  return (*Store)->load();
}

/// A disk with five synced entries, each in a record of its own.
std::shared_ptr<FakeDisk> diskWithEntries() {
  auto Disk = std::make_shared<FakeDisk>();
  auto Store = LogStore::open(openFakeFolder(Disk), optionsOf());
  for (LogIndex Index = 1; Index <= 5; ++Index) {
    CPPUNIT_ASSERT((*Store)->append({1, {}}, {entryOf(Index)}).has_value());
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
  CPPUNIT_TEST(startsBetweenSnapshotAndLog);
  CPPUNIT_TEST(fullDiskChangesNothing);
  CPPUNIT_TEST(clusterSurvivesFullDiskAtEveryWrite);
  CPPUNIT_TEST(bootstrapSurvivesFailureAtEveryWrite);
  CPPUNIT_TEST(refusesForeignFolder);
  CPPUNIT_TEST(refusesSecondBootstrap);
  CPPUNIT_TEST(keepsStateInRealFolder);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against a host that can't start after a crash in mid-write, or that
  /// loses what was synced before.
  void truncatesTornTail() {
    const auto Whole = diskWithEntries();
    const auto Synced = Whole->Names["log"]->Durable.size();
    auto Store = LogStore::open(openFakeFolder(Whole), optionsOf());
    CPPUNIT_ASSERT((*Store)->load().has_value());
    const std::vector<LogEntry> More{entryOf(6), entryOf(7)};
    CPPUNIT_ASSERT((*Store)->append({1, {}}, More).has_value());
    const auto End = Whole->Names["log"]->Current.size();
    for (auto Size = Synced; Size < End; ++Size) {
      for (const bool Zeros : {false, true}) {
        const auto Torn = Whole->copy();
        Torn->Names["log"]->Current.resize(Size);
        if (Zeros)
          Torn->Names["log"]->Current.resize(End + 700);
        const auto Stored = loadFrom(Torn);
        CPPUNIT_ASSERT(Zeros || Stored.has_value());
        // With a few zeros only, a crash can't be told from damage.
        if (!Stored)
          continue;
        CPPUNIT_ASSERT_EQUAL(LogIndex{5}, lastIndex(Stored->Log));
        CPPUNIT_ASSERT_EQUAL(Synced, Torn->Names["log"]->Current.size());
      }
    }
  }

  /// Guards against damage that is taken for a torn tail, which would drop
  /// entries that this host has acknowledged.
  void refusesFlippedByte() {
    const auto Whole = diskWithEntries();
    auto Store = LogStore::open(openFakeFolder(Whole), optionsOf());
    const auto Stored = (*Store)->load();
    const Snapshot Latest{3, 1, {{"control-1", "0123", true}}, Bytes(20, 's')};
    CPPUNIT_ASSERT(
        (*Store)->saveSnapshot(Latest, Stored->Hard, Stored->Log).has_value());
    for (const auto &[Name, Content] : Whole->Names) {
      for (std::size_t At = 0; At < Content->Current.size(); ++At) {
        const auto Damaged = Whole->copy();
        Damaged->Names[Name]->Current[At] ^= 0x10;
        const auto Loaded = loadFrom(Damaged);
        CPPUNIT_ASSERT_MESSAGE(Name + " at " + std::to_string(At),
                               !Loaded.has_value());
        CPPUNIT_ASSERT(Loaded.error().Code == ErrorCode::StorageCorrupt);
      }
    }
  }

  /// Guards against a zeroed sector in synced records that is taken for the
  /// start of a torn tail.
  void refusesDamageBeforeSyncedRecord() {
    const auto Whole = diskWithEntries();
    const auto Size = Whole->Names["log"]->Current.size();
    for (std::size_t At = 0; At + 100 < Size; ++At) {
      const auto Damaged = Whole->copy();
      auto &Log = Damaged->Names["log"]->Current;
      std::fill_n(Log.begin() + static_cast<std::ptrdiff_t>(At), 50, 0);
      const auto Loaded = loadFrom(Damaged);
      CPPUNIT_ASSERT(!Loaded.has_value() ||
                     lastIndex(Loaded->Log) == LogIndex{5});
    }
  }

  /// Guards against entries of a deposed leader that come back after a restart.
  void replacesConflictingEntries() {
    const auto Disk = diskWithEntries();
    auto Store = LogStore::open(openFakeFolder(Disk), optionsOf());
    CPPUNIT_ASSERT((*Store)->load().has_value());
    CPPUNIT_ASSERT(
        (*Store)->append({2, {"control-2", "x"}}, {entryOf(3, 2)}).has_value());
    CPPUNIT_ASSERT((*Store)->sync().has_value());
    const auto Stored = loadFrom(Disk);
    CPPUNIT_ASSERT_EQUAL(LogIndex{3}, lastIndex(Stored->Log));
    CPPUNIT_ASSERT_EQUAL(Term{2}, lastTerm(Stored->Log));
    CPPUNIT_ASSERT(Stored->Hard == (HardState{2, {"control-2", "x"}}));
  }

  /// Guards against a host that can't start after a crash between the two files
  /// of a snapshot from a newer term than its log.
  void startsBetweenSnapshotAndLog() {
    const auto Disk = diskWithEntries();
    auto Store = LogStore::open(openFakeFolder(Disk), optionsOf());
    CPPUNIT_ASSERT((*Store)->load().has_value());
    // Writing, syncing and renaming the snapshot are three operations.
    Disk->FailAt = Disk->Operations + 4;
    const Snapshot Latest{9, 4, {}, Bytes(10, 's')};
    CPPUNIT_ASSERT(
        !(*Store)->saveSnapshot(Latest, {5, {}}, {9, 4, {}}).has_value());
    for (LogIndex Next = 10; Next <= 11; ++Next) {
      Store = LogStore::open(openFakeFolder(Disk), optionsOf());
      const auto Stored = (*Store)->load();
      CPPUNIT_ASSERT(Stored.has_value());
      CPPUNIT_ASSERT_EQUAL(Term{4}, Stored->Hard.Current);
      CPPUNIT_ASSERT_EQUAL(Next - 1, lastIndex(Stored->Log));
      CPPUNIT_ASSERT(
          (*Store)->append(Stored->Hard, {entryOf(Next, 4)}).has_value());
      CPPUNIT_ASSERT((*Store)->sync().has_value());
    }
  }

  /// Guards against a proposal that is refused but stays in the log.
  void fullDiskChangesNothing() {
    Exchange E(3);
    E.commit("one");
    const unsigned Leader = E.leader();
    E.host(Leader).Disk->Full = true;
    for (unsigned Try = 0; Try < 3; ++Try) {
      const auto Refused = E.host(Leader).Log->propose(bytesOf("lost"));
      CPPUNIT_ASSERT(Refused.error().Code == ErrorCode::StorageFull);
    }
    E.run(2s);
    CPPUNIT_ASSERT_EQUAL(Leader, E.leader());
    E.host(Leader).Disk->Full = false;
    CPPUNIT_ASSERT(E.commit("two") > 0);
    CPPUNIT_ASSERT(E.runUntil([&] { return E.settled(); }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, E.host(Leader).Entries.size());
    CPPUNIT_ASSERT_EQUAL(std::string(), E.Violation);
  }

  /// Guards against state that a failed write leaves half changed, on a leader,
  /// a follower and a learner, with snapshots and a restart.
  void clusterSurvivesFullDiskAtEveryWrite() {
    std::uint64_t Failures = 0;
    for (unsigned Faulty = 0; Faulty < 3; ++Faulty) {
      for (std::uint64_t FailAt = 1; FailAt <= 150; ++FailAt) {
        Exchange E(3, 1, 5);
        auto &Host = E.host(Faulty);
        Host.Disk->FailAt = Host.Disk->Operations + FailAt;
        for (unsigned Number = 0; Number < 12; ++Number)
          E.commit(std::to_string(Number));
        E.loseDisk((Faulty + 1) % 3);
        E.commit("without");
        CPPUNIT_ASSERT(E.start((Faulty + 1) % 3).has_value());
        E.runUntil([&] { return E.settled(); });
        Failures += Host.Disk->Operations >= Host.Disk->FailAt ? 1 : 0;
        Host.Disk->FailAt = 0;
        E.kill(Faulty);
        CPPUNIT_ASSERT(E.start(Faulty).has_value());
        CPPUNIT_ASSERT(E.runUntil([&] { return E.settled(); }));
        CPPUNIT_ASSERT_EQUAL(std::string(), E.Violation);
      }
    }
    CPPUNIT_ASSERT(Failures > 100);
  }

  /// Guards against a folder that is half created and can't be used.
  void bootstrapSurvivesFailureAtEveryWrite() {
    std::uint64_t FailAt = 0;
    Expected<std::unique_ptr<LogStore>> Store;
    do {
      auto Disk = std::make_shared<FakeDisk>();
      Disk->FailAt = ++FailAt;
      auto Options = optionsOf();
      Options.InitialMembers = {{"control-1", Options.StorageId, true}};
      Store = LogStore::open(openFakeFolder(Disk), Options);
      if (Store)
        break;
      CPPUNIT_ASSERT(Store.error().Code == ErrorCode::StorageFull);
      std::mt19937_64 Random(FailAt);
      Disk->crash(Random);
      CPPUNIT_ASSERT(LogStore::open(openFakeFolder(Disk), Options).has_value());
      CPPUNIT_ASSERT_EQUAL(LogIndex{1}, lastIndex(loadFrom(Disk)->Log));
    } while (FailAt < 100);
    CPPUNIT_ASSERT(FailAt > 4 && FailAt < 100);
  }

  /// Guards against a host that joins one cluster with the disk of another.
  void refusesForeignFolder() {
    const auto Disk = diskWithEntries();
    const auto Store = LogStore::open(openFakeFolder(Disk), optionsOf("other"));
    CPPUNIT_ASSERT(Store.error().Code == ErrorCode::StorageWrongCluster);
  }

  /// Guards against a bootstrap flag that is left in place: after a lost disk
  /// it would bring the old storage id back with an empty log.
  void refusesSecondBootstrap() {
    Exchange E(3);
    E.kill(0);
    CPPUNIT_ASSERT(E.start(0, true).error().Code ==
                   ErrorCode::StorageAlreadyInitialized);
    CPPUNIT_ASSERT(E.start(0).has_value());
  }

  /// Guards against differences between the fake folder and a real one, and two
  /// processes on one folder.
  void keepsStateInRealFolder() {
    const auto Path = std::filesystem::temp_directory_path() /
                      ("jasminearch-store-test-" + std::to_string(::getpid()));
    std::filesystem::remove_all(Path);
    for (unsigned Round = 0; Round < 3; ++Round) {
      auto Store = LogStore::open(std::move(*openDataFolder(Path.string())),
                                  optionsOf());
      CPPUNIT_ASSERT(Store.has_value());
      CPPUNIT_ASSERT(!openDataFolder(Path.string()).has_value());
      const auto Stored = (*Store)->load();
      CPPUNIT_ASSERT_EQUAL(LogIndex{Round} * 2, lastIndex(Stored->Log));
      const LogIndex Next = lastIndex(Stored->Log) + 1;
      CPPUNIT_ASSERT((*Store)->append({1, {}}, {entryOf(Next)}).has_value());
      CPPUNIT_ASSERT((*Store)->sync().has_value());
      const Snapshot Latest{Next, 1, {}, Bytes(10, 's')};
      const EntryLog Rest{Next, 1, {}};
      CPPUNIT_ASSERT((*Store)->saveSnapshot(Latest, {1, {}}, Rest).has_value());
      CPPUNIT_ASSERT(
          (*Store)->append({1, {}}, {entryOf(Next + 1)}).has_value());
      CPPUNIT_ASSERT((*Store)->sync().has_value());
    }
    std::filesystem::remove_all(Path);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConsensusStoreTest);

} // namespace
