#include "jasminearch/control/distribution.h"
#include <cppunit/extensions/HelperMacros.h>
#include <random>

using namespace jasminearch;
using namespace jasminearch::control;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds FreshQuorum{0};

/// Adds, changes or removes one object, as the state machine would.
void mutate(Configuration &C, std::uint64_t At, std::mt19937 &Random) {
  const Revision Now{At};
  const std::uint32_t Id = 1 + Random() % 40;
  const std::string Name = "host" + std::to_string(Id);
  C.InForce = Now;
  switch (Random() % 7) {
  case 0:
    C.Profiles[Name] = Profile{};
    C.Profiles[Name].Name = Name;
    C.Profiles[Name].Changed = Now;
    break;
  case 1:
    C.Profiles.erase(Name);
    break;
  case 2:
    C.Upstreams[{Id}].Name = Name;
    C.Upstreams[{Id}].Slots = 1 + Random() % 9;
    C.Upstreams[{Id}].Changed = Now;
    break;
  case 3:
    C.Upstreams.erase({Id});
    break;
  case 4:
    C.Entries[Name].Name = Name;
    C.Entries[Name].Changed = Now;
    break;
  case 5:
    C.Services[{Id}].Name = Name;
    C.Services[{Id}].Changed = Now;
    C.Tables[{Id}] = {{Id}, std::vector<Bucket>(8), Now};
    break;
  default:
    C.Entries.erase(Name);
  }
}

/// A control host that makes random changes to its configuration.
struct FakeControlHost {
  Configuration Config;
  RetainedChanges Retained = startRetainedChanges(Config);
  std::uint64_t At = 0;
  std::mt19937 Random;

  explicit FakeControlHost(unsigned Seed) : Random(Seed) {}

  void change(std::size_t Count) {
    for (std::size_t I = 0; I < Count; ++I) {
      mutate(Config, ++At, Random);
      retainChanges(Retained, Config);
    }
  }
};

/// Applies all parts of a snapshot.
void applySnapshot(ConfigReceiver &R, const Configuration &C) {
  for (SnapshotPart &Part : splitSnapshot(C))
    CPPUNIT_ASSERT(applySnapshotPart(R, std::move(Part), FreshQuorum));
}

class DeltaTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DeltaTest);
  CPPUNIT_TEST(deltaAfterMissedChangesEqualsSnapshot);
  CPPUNIT_TEST(deltaContainsEachObjectOnce);
  CPPUNIT_TEST(needsSnapshotWhenChangesAreNotRetained);
  CPPUNIT_TEST(needsSnapshotAfterRestore);
  CPPUNIT_TEST(needsSnapshotWhenDeltaIsLarge);
  CPPUNIT_TEST(sendsNothingToNewerSubscriber);
  CPPUNIT_TEST(refusesOlderRevisions);
  CPPUNIT_TEST(refusesDeltaWithGap);
  CPPUNIT_TEST(newProcessNeedsRecentQuorum);
  CPPUNIT_TEST(runningProcessAcceptsChangesWithoutQuorum);
  CPPUNIT_TEST(refusesPartsOutOfOrder);
  CPPUNIT_TEST(repeatedMessagesChangeNothing);
  CPPUNIT_TEST(splitsLargeSnapshots);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against a delta that omits a change or a removal, for different
  /// numbers of missed revisions up to the retained maximum.
  void deltaAfterMissedChangesEqualsSnapshot() {
    for (unsigned Seed = 1; Seed <= 20; ++Seed) {
      FakeControlHost H(Seed);
      H.change(300);
      for (const std::size_t Missed : {1, 7, 500, 1024}) {
        ConfigReceiver R;
        applySnapshot(R, H.Config);
        H.change(Missed);
        const auto Update = selectUpdate(inForce(R), H.Retained, H.Config);
        CPPUNIT_ASSERT(std::holds_alternative<Delta>(Update));
        const auto Taken = applyDelta(R, std::get<Delta>(Update), FreshQuorum);
        CPPUNIT_ASSERT(Taken && *Taken);
        CPPUNIT_ASSERT(*R.InForce == H.Config);
      }
    }
  }

  /// Guards against deltas that contain an object once per change.
  void deltaContainsEachObjectOnce() {
    FakeControlHost H(1);
    H.change(10);
    const Revision Last = H.Config.InForce;
    for (int I = 0; I < 500; ++I) {
      H.Config.InForce = {++H.At};
      H.Config.Upstreams[{7}].Changed = H.Config.InForce;
      retainChanges(H.Retained, H.Config);
    }
    const auto Update = selectUpdate(Last, H.Retained, H.Config);
    const Delta &D = std::get<Delta>(Update);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), D.Changed.Upstreams.size());
    CPPUNIT_ASSERT(D.Changed.Tables.empty() && D.Removed.empty());
  }

  /// Guards against a delta that lacks changes because they are no longer
  /// retained.
  void needsSnapshotWhenChangesAreNotRetained() {
    FakeControlHost H(2);
    H.change(100);
    const Revision Last = H.Config.InForce;
    H.change(MaxRetainedChanges);
    CPPUNIT_ASSERT(std::holds_alternative<Delta>(
        selectUpdate(Last, H.Retained, H.Config)));
    H.change(1);
    CPPUNIT_ASSERT(std::holds_alternative<NeedsSnapshot>(
        selectUpdate(Last, H.Retained, H.Config)));
    CPPUNIT_ASSERT(std::holds_alternative<NeedsSnapshot>(
        selectUpdate(Revision{}, H.Retained, H.Config)));
  }

  /// Guards against a delta that lacks removals, which are unknown to a control
  /// host that restored a snapshot.
  void needsSnapshotAfterRestore() {
    FakeControlHost H(3);
    H.change(100);
    const Revision Last = H.Config.InForce;
    H.change(5);
    H.Retained = startRetainedChanges(H.Config);
    CPPUNIT_ASSERT(std::holds_alternative<NeedsSnapshot>(
        selectUpdate(Last, H.Retained, H.Config)));
    CPPUNIT_ASSERT(std::holds_alternative<UpToDate>(
        selectUpdate(H.Config.InForce, H.Retained, H.Config)));
  }

  /// Guards against a delta that exceeds the message size limit when one
  /// profile change moves buckets of thousands of services.
  void needsSnapshotWhenDeltaIsLarge() {
    Configuration C;
    C.InForce = {1};
    RetainedChanges Retained = startRetainedChanges(C);
    C.InForce = {2};
    for (std::uint32_t Id = 1; Id <= 4400; ++Id)
      C.Tables[{Id}] = {{Id}, std::vector<Bucket>(BucketsPerService), {2}};
    retainChanges(Retained, C);
    CPPUNIT_ASSERT(std::holds_alternative<NeedsSnapshot>(
        selectUpdate(Revision{1}, Retained, C)));
  }

  /// Guards against a lagging control host that reverts a daemon to an older
  /// revision.
  void sendsNothingToNewerSubscriber() {
    FakeControlHost H(4);
    H.change(10);
    CPPUNIT_ASSERT(std::holds_alternative<UpToDate>(
        selectUpdate(Revision{11}, H.Retained, H.Config)));
  }

  /// Guards against an accepted configuration that is reverted (promise 8).
  void refusesOlderRevisions() {
    FakeControlHost H(5);
    H.change(50);
    const Configuration Old = H.Config;
    H.change(50);
    ConfigReceiver R;
    applySnapshot(R, H.Config);
    const auto Part = applySnapshotPart(R, splitSnapshot(Old)[0], FreshQuorum);
    CPPUNIT_ASSERT(!Part && Part.error().Code == ErrorCode::StaleRevision);
    Delta Late;
    Late.From = {10};
    Late.Changed = Old;
    const auto Taken = applyDelta(R, Late, FreshQuorum);
    CPPUNIT_ASSERT(!Taken && Taken.error().Code == ErrorCode::StaleRevision);
    CPPUNIT_ASSERT(*R.InForce == H.Config);
  }

  /// Guards against a configuration that lacks the changes of a lost delta.
  void refusesDeltaWithGap() {
    ConfigReceiver R;
    Configuration C;
    C.InForce = {5};
    applySnapshot(R, C);
    Delta D;
    D.From = {6};
    D.Changed.InForce = {7};
    const auto Taken = applyDelta(R, D, FreshQuorum);
    CPPUNIT_ASSERT(!Taken &&
                   Taken.error().Code == ErrorCode::RevisionFromFuture);
  }

  /// Guards against a restarted daemon that accepts an outdated configuration
  /// from a partitioned control host.
  void newProcessNeedsRecentQuorum() {
    FakeControlHost H(6);
    H.change(20);
    ConfigReceiver R;
    const milliseconds TooOld = MaxStartupQuorumAge + milliseconds(1);
    const auto Refused =
        applySnapshotPart(R, splitSnapshot(H.Config)[0], TooOld);
    CPPUNIT_ASSERT(!Refused && Refused.error().Code == ErrorCode::NoQuorum);
    Delta D;
    D.Changed = H.Config;
    const auto NoDelta = applyDelta(R, D, TooOld);
    CPPUNIT_ASSERT(!NoDelta && NoDelta.error().Code == ErrorCode::NoQuorum);
    CPPUNIT_ASSERT(R.InForce == nullptr);
    const auto Taken =
        applySnapshotPart(R, splitSnapshot(H.Config)[0], MaxStartupQuorumAge);
    CPPUNIT_ASSERT(Taken && *Taken);
  }

  /// Guards against a running daemon that refuses a newer revision because the
  /// control host has lost its quorum; the revision is committed nevertheless.
  void runningProcessAcceptsChangesWithoutQuorum() {
    FakeControlHost H(7);
    H.change(20);
    ConfigReceiver R;
    applySnapshot(R, H.Config);
    H.change(1);
    const auto Update = selectUpdate(inForce(R), H.Retained, H.Config);
    const auto Taken =
        applyDelta(R, std::get<Delta>(Update), std::chrono::hours(1));
    CPPUNIT_ASSERT(Taken && *Taken);
  }

  static Configuration largeConfiguration() {
    Configuration C;
    C.InForce = {9};
    for (std::uint32_t Id = 1; Id <= 600; ++Id)
      C.Tables[{Id}] = {{Id}, std::vector<Bucket>(BucketsPerService), {9}};
    return C;
  }

  /// Guards against a configuration that lacks a part of its snapshot.
  void refusesPartsOutOfOrder() {
    const auto Parts = splitSnapshot(largeConfiguration());
    CPPUNIT_ASSERT(Parts.size() > 2);
    ConfigReceiver R;
    CPPUNIT_ASSERT(applySnapshotPart(R, Parts[0], FreshQuorum));
    const auto Skipped = applySnapshotPart(R, Parts.back(), FreshQuorum);
    CPPUNIT_ASSERT(!Skipped &&
                   Skipped.error().Code == ErrorCode::MessageMalformed);
    CPPUNIT_ASSERT(R.InForce == nullptr);
    CPPUNIT_ASSERT(applySnapshotPart(R, Parts[0], FreshQuorum));
    SnapshotPart Other = Parts[1];
    Other.Part.InForce = {10};
    CPPUNIT_ASSERT(!applySnapshotPart(R, Other, FreshQuorum));
    applySnapshot(R, largeConfiguration());
    CPPUNIT_ASSERT(*R.InForce == largeConfiguration());
  }

  /// Guards against repeated messages that are reported as changes.
  void repeatedMessagesChangeNothing() {
    FakeControlHost H(8);
    H.change(20);
    ConfigReceiver R;
    applySnapshot(R, H.Config);
    H.change(3);
    const Delta D = std::get<Delta>(selectUpdate({20}, H.Retained, H.Config));
    CPPUNIT_ASSERT(*applyDelta(R, D, FreshQuorum));
    const auto Again = applyDelta(R, D, FreshQuorum);
    CPPUNIT_ASSERT(Again && !*Again);
    const auto Same =
        applySnapshotPart(R, splitSnapshot(H.Config)[0], FreshQuorum);
    CPPUNIT_ASSERT(Same && !*Same);
    CPPUNIT_ASSERT(*R.InForce == H.Config);
  }

  /// Guards against objects that are lost where a snapshot is split.
  void splitsLargeSnapshots() {
    ConfigReceiver R;
    applySnapshot(R, largeConfiguration());
    CPPUNIT_ASSERT(*R.InForce == largeConfiguration());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), splitSnapshot(Configuration{}).size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DeltaTest);

} // namespace
