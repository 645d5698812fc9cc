#include "jasminearch/control/distribution.h"
#include <cppunit/extensions/HelperMacros.h>
#include <random>

using namespace jasminearch;
using namespace jasminearch::control;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds FreshQuorum{0};

/// Changes, adds or removes one object, as the state machine would.
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

/// A control host with a history of \p Count changes after \p First.
struct Host {
  Configuration Config;
  RetainedChanges Retained = startRetainedChanges(Config);
  std::uint64_t At = 0;
  std::mt19937 Random;

  explicit Host(unsigned Seed) : Random(Seed) {}

  void change(std::size_t Count) {
    for (std::size_t I = 0; I < Count; ++I) {
      mutate(Config, ++At, Random);
      retainChanges(Retained, Config);
    }
  }
};

/// Takes a whole snapshot.
void takeAll(ConfigReceiver &R, const Configuration &C) {
  for (SnapshotPart &Part : splitSnapshot(C))
    CPPUNIT_ASSERT(applySnapshotPart(R, std::move(Part), FreshQuorum));
}

class DeltaTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DeltaTest);
  CPPUNIT_TEST(deltaAfterMissedChangesEqualsSnapshot);
  CPPUNIT_TEST(deltaHoldsEachObjectOnce);
  CPPUNIT_TEST(needsSnapshotWhenChangesAreNotRetained);
  CPPUNIT_TEST(needsSnapshotAfterARestore);
  CPPUNIT_TEST(needsSnapshotWhenTheDeltaIsLarge);
  CPPUNIT_TEST(sendsNothingToASubscriberAhead);
  CPPUNIT_TEST(refusesOlderRevisions);
  CPPUNIT_TEST(refusesADeltaWithAGap);
  CPPUNIT_TEST(newlyStartedNeedsARecentQuorum);
  CPPUNIT_TEST(keepsTakingChangesWithoutAQuorum);
  CPPUNIT_TEST(refusesPartsOutOfOrder);
  CPPUNIT_TEST(repeatedMessagesChangeNothing);
  CPPUNIT_TEST(splitsLargeSnapshots);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against an object that a delta forgets or fails to remove, at each
  /// distance up to the limit of what is retained.
  void deltaAfterMissedChangesEqualsSnapshot() {
    for (unsigned Seed = 1; Seed <= 20; ++Seed) {
      Host H(Seed);
      H.change(300);
      for (const std::size_t Missed : {1, 7, 500, 1024}) {
        ConfigReceiver R;
        takeAll(R, H.Config);
        H.change(Missed);
        const auto Update = selectUpdate(inForce(R), H.Retained, H.Config);
        CPPUNIT_ASSERT(std::holds_alternative<Delta>(Update));
        const auto Taken = applyDelta(R, std::get<Delta>(Update), FreshQuorum);
        CPPUNIT_ASSERT(Taken && *Taken);
        CPPUNIT_ASSERT(*R.InForce == H.Config);
      }
    }
  }

  /// Guards against deltas that grow with the number of changes.
  void deltaHoldsEachObjectOnce() {
    Host H(1);
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

  /// Guards against a delta that lacks changes older than those retained.
  void needsSnapshotWhenChangesAreNotRetained() {
    Host H(2);
    H.change(100);
    const Revision Last = H.Config.InForce;
    H.change(ChangesRetained);
    CPPUNIT_ASSERT(std::holds_alternative<Delta>(
        selectUpdate(Last, H.Retained, H.Config)));
    H.change(1);
    CPPUNIT_ASSERT(std::holds_alternative<NeedsSnapshot>(
        selectUpdate(Last, H.Retained, H.Config)));
    CPPUNIT_ASSERT(std::holds_alternative<NeedsSnapshot>(
        selectUpdate(Revision{}, H.Retained, H.Config)));
  }

  /// Guards against removals that a restored control host can't know of.
  void needsSnapshotAfterARestore() {
    Host H(3);
    H.change(100);
    const Revision Last = H.Config.InForce;
    H.change(5);
    H.Retained = startRetainedChanges(H.Config);
    CPPUNIT_ASSERT(std::holds_alternative<NeedsSnapshot>(
        selectUpdate(Last, H.Retained, H.Config)));
    CPPUNIT_ASSERT(std::holds_alternative<UpToDate>(
        selectUpdate(H.Config.InForce, H.Retained, H.Config)));
  }

  /// Guards against a delta over the limit on message size, when one profile
  /// change moves buckets of thousands of services.
  void needsSnapshotWhenTheDeltaIsLarge() {
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

  /// Guards against a lagging control host that takes a daemon back.
  void sendsNothingToASubscriberAhead() {
    Host H(4);
    H.change(10);
    CPPUNIT_ASSERT(std::holds_alternative<UpToDate>(
        selectUpdate(Revision{11}, H.Retained, H.Config)));
  }

  /// Guards against accepted configuration that reverts (promise 8).
  void refusesOlderRevisions() {
    Host H(5);
    H.change(50);
    const Configuration Old = H.Config;
    H.change(50);
    ConfigReceiver R;
    takeAll(R, H.Config);
    const auto Part = applySnapshotPart(R, splitSnapshot(Old)[0], FreshQuorum);
    CPPUNIT_ASSERT(!Part && Part.error().Code == ErrorCode::StaleRevision);
    Delta Late;
    Late.From = {10};
    Late.Changed = Old;
    const auto Taken = applyDelta(R, Late, FreshQuorum);
    CPPUNIT_ASSERT(!Taken && Taken.error().Code == ErrorCode::StaleRevision);
    CPPUNIT_ASSERT(*R.InForce == H.Config);
  }

  /// Guards against a configuration with holes after a lost delta.
  void refusesADeltaWithAGap() {
    ConfigReceiver R;
    Configuration C;
    C.InForce = {5};
    takeAll(R, C);
    Delta D;
    D.From = {6};
    D.Changed.InForce = {7};
    const auto Taken = applyDelta(R, D, FreshQuorum);
    CPPUNIT_ASSERT(!Taken &&
                   Taken.error().Code == ErrorCode::RevisionFromFuture);
  }

  /// Guards against a restarted daemon that a partitioned control host serves
  /// with an old configuration.
  void newlyStartedNeedsARecentQuorum() {
    Host H(6);
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

  /// Guards against a running daemon that drops a newer revision because the
  /// control host has just lost its quorum: what is committed stays so.
  void keepsTakingChangesWithoutAQuorum() {
    Host H(7);
    H.change(20);
    ConfigReceiver R;
    takeAll(R, H.Config);
    H.change(1);
    const auto Update = selectUpdate(inForce(R), H.Retained, H.Config);
    const auto Taken =
        applyDelta(R, std::get<Delta>(Update), std::chrono::hours(1));
    CPPUNIT_ASSERT(Taken && *Taken);
  }

  static Configuration large() {
    Configuration C;
    C.InForce = {9};
    for (std::uint32_t Id = 1; Id <= 600; ++Id)
      C.Tables[{Id}] = {{Id}, std::vector<Bucket>(BucketsPerService), {9}};
    return C;
  }

  /// Guards against a configuration that lacks a part.
  void refusesPartsOutOfOrder() {
    const auto Parts = splitSnapshot(large());
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
    takeAll(R, large());
    CPPUNIT_ASSERT(*R.InForce == large());
  }

  /// Guards against a change that is reported twice.
  void repeatedMessagesChangeNothing() {
    Host H(8);
    H.change(20);
    ConfigReceiver R;
    takeAll(R, H.Config);
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

  /// Guards against objects lost where a snapshot is split.
  void splitsLargeSnapshots() {
    ConfigReceiver R;
    takeAll(R, large());
    CPPUNIT_ASSERT(*R.InForce == large());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), splitSnapshot(Configuration{}).size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DeltaTest);

} // namespace
