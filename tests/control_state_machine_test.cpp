#include "jasminearch/control/codec.h"
#include "jasminearch/control/state_machine.h"
#include "jasminearch/control/warm_up.h"
#include "jasminearch/routing/bucket_table.h"
#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <limits>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace jasminearch;
using namespace jasminearch::control;
using namespace std::chrono_literals;

namespace {

UpstreamAnnouncement upstream(const std::string &Name, std::uint64_t Run,
                              const std::string &Service = "order") {
  return {Name, Service, "north", {0x7F000B01, 7000}, 7, Run};
}

/// A state with its next revision.
struct Replica {
  State S;
  std::uint64_t At = 0;

  CommandResult run(const CommandBody &Body, const std::string &Id = "") {
    return apply(S, {Id, Body}, Revision{++At});
  }
  Revision now() const { return Revision{At}; }
  Upstream &named(const std::string &Name) {
    return S.Config.Upstreams.at(S.Index.UpstreamsByName.at(Name));
  }
};

Profile profile(const std::string &Name, double MaxImbalance = 1.05) {
  Profile P;
  P.Name = Name;
  P.MaxImbalance = MaxImbalance;
  return P;
}

Service service(const std::string &Name, std::uint16_t Port,
                const std::string &ProfileName = "tablets") {
  return {{}, Name, {0x7F000A01, Port}, ProfileName, {}};
}

/// One service with three active upstreams.
Replica populated() {
  Replica R;
  R.run(PutProfile{profile("tablets"), {}});
  R.run(PutService{service("order", 5683), {}});
  for (const char *Name : {"order-1", "order-2", "order-3"}) {
    R.run(AnnounceUpstream{upstream(Name, 1)});
    R.run(ActivateUpstream{R.named(Name).Id, R.named(Name).Instance});
  }
  R.run(AnnounceEntry{{"entry-1", "north", {0x7F000C01, 7100}, 1}});
  return R;
}

class ControlStateMachineTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ControlStateMachineTest);
  CPPUNIT_TEST(resendGetsFirstResult);
  CPPUNIT_TEST(resendAfterSnapshotGetsFirstResult);
  CPPUNIT_TEST(keepsBoundedCommandRecords);
  CPPUNIT_TEST(oneOfTwoRacingOperatorsWins);
  CPPUNIT_TEST(warmUpDoesNotConflictWithDrain);
  CPPUNIT_TEST(refusalsLeaveStateUnchanged);
  CPPUNIT_TEST(refusesProfileFieldsOutOfRange);
  CPPUNIT_TEST(resentAnnouncementChangesNothing);
  CPPUNIT_TEST(restartGetsNewIncarnation);
  CPPUNIT_TEST(drainOutlivesAgentRestart);
  CPPUNIT_TEST(resumedAgentKeepsIncarnation);
  CPPUNIT_TEST(staleCommandsMissRestartedAgent);
  CPPUNIT_TEST(idsAreNeverReused);
  CPPUNIT_TEST(changedServiceGetsNewUpstreamId);
  CPPUNIT_TEST(profileChangeRebalances);
  CPPUNIT_TEST(longLostUpstreamsAreForgotten);
  CPPUNIT_TEST(warmUpGrowsInSteps);
  CPPUNIT_TEST(randomSequencesKeepInvariants);
  CPPUNIT_TEST_SUITE_END();

  static void assertRefused(ErrorCode Code, const CommandResult &Result) {
    CPPUNIT_ASSERT(!Result.Accepted);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(Result.Reason.Detail, std::string(name(Code)),
                                 std::string(name(Result.Reason.Code)));
    CPPUNIT_ASSERT(!Result.Reason.Detail.empty());
  }

  /// Guards against a command that runs twice after its answer was lost.
  void resendGetsFirstResult() {
    Replica R = populated();
    const SetDrain Drain{"order-1", true, R.now()};
    const CommandResult First = R.run(Drain, "op-1");
    const State After = R.S;
    const CommandResult Again = R.run(Drain, "op-1");
    CPPUNIT_ASSERT(First.Accepted);
    CPPUNIT_ASSERT(First == Again);
    CPPUNIT_ASSERT(After == R.S);
    const CommandResult Refused = R.run(Drain, "op-2");
    assertRefused(ErrorCode::RevisionConflict, Refused);
    CPPUNIT_ASSERT(Refused == R.run(Drain, "op-2"));
  }

  /// Guards against records that a restarted control host has lost.
  void resendAfterSnapshotGetsFirstResult() {
    Replica R = populated();
    const PutProfile Put{profile("feeds"), {}};
    const CommandResult First = R.run(Put, "op-1");
    R.S = decodeState(encodeState(R.S)).value();
    CPPUNIT_ASSERT(First == R.run(Put, "op-1"));
  }

  /// Guards against command records that grow without bound, and against one
  /// that is dropped too early.
  void keepsBoundedCommandRecords() {
    Replica R;
    for (std::size_t I = 0; I <= CommandRecordsKept; ++I)
      R.run(RemoveProfile{"none", {}}, "op-" + std::to_string(I));
    CPPUNIT_ASSERT_EQUAL(CommandRecordsKept, R.S.Results.size());
    CPPUNIT_ASSERT_EQUAL(CommandRecordsKept, R.S.ResultOrder.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, R.S.Results.count("op-0"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, R.S.Results.count("op-1"));
  }

  /// Guards against a lost update.
  void oneOfTwoRacingOperatorsWins() {
    Replica R = populated();
    const Revision Seen = R.S.Config.Profiles.at("tablets").Changed;
    CPPUNIT_ASSERT(
        R.run(PutProfile{profile("tablets", 1.1), Seen}, "a").Accepted);
    assertRefused(ErrorCode::RevisionConflict,
                  R.run(PutProfile{profile("tablets", 1.2), Seen}, "b"));
    CPPUNIT_ASSERT_EQUAL(1.1, R.S.Config.Profiles.at("tablets").MaxImbalance);

    const Revision Upstream = R.named("order-1").Changed;
    CPPUNIT_ASSERT(R.run(SetDrain{"order-1", true, Upstream}, "c").Accepted);
    assertRefused(ErrorCode::RevisionConflict,
                  R.run(SetDrain{"order-1", false, Upstream}, "d"));
    CPPUNIT_ASSERT(R.named("order-1").DrainOrdered);
  }

  /// Guards against an operator who loses a race with a warm-up step.
  void warmUpDoesNotConflictWithDrain() {
    Replica R = populated();
    R.run(AnnounceUpstream{upstream("order-4", 1)});
    const Upstream Seen = R.named("order-4");
    R.run(AdvanceWarmUp{Seen.Id, Seen.Instance, 2});
    CPPUNIT_ASSERT(
        R.run(SetDrain{"order-4", true, Seen.Changed}, "a").Accepted);
  }

  /// Guards against a refused command that changes something on the way.
  void refusalsLeaveStateUnchanged() {
    Replica R = populated();
    const Upstream U = R.named("order-1");
    const Service S = R.S.Config.Services.begin()->second;
    const Revision P = R.S.Config.Profiles.at("tablets").Changed;
    Service Numbered = service("new", 1);
    Numbered.Id = ServiceId{9};
    UpstreamAnnouncement NoSlots = upstream("order-9", 1);
    NoSlots.Slots = 0;
    UpstreamAnnouncement NoPort = upstream("order-9", 1);
    NoPort.Agent.Port = 0;
    const std::vector<std::pair<ErrorCode, CommandBody>> Cases{
        {ErrorCode::AlreadyExists, PutProfile{profile("tablets"), {}}},
        {ErrorCode::UnknownProfile, PutProfile{profile("new"), {3}}},
        {ErrorCode::RevisionConflict, PutProfile{profile("tablets"), {2}}},
        {ErrorCode::RevisionFromFuture, PutProfile{profile("tablets"), {999}}},
        {ErrorCode::InvalidArgument, PutProfile{profile(""), {}}},
        {ErrorCode::InvalidArgument, PutProfile{profile("a b"), {}}},
        {ErrorCode::UnknownProfile, RemoveProfile{"new", {}}},
        {ErrorCode::RevisionConflict, RemoveProfile{"tablets", {2}}},
        {ErrorCode::InUse, RemoveProfile{"tablets", P}},
        {ErrorCode::AlreadyExists, PutService{service("order", 1), {}}},
        {ErrorCode::AlreadyExists, PutService{service("new", 5683), {}}},
        {ErrorCode::UnknownService, PutService{service("new", 1), {3}}},
        {ErrorCode::UnknownProfile, PutService{service("new", 1, "x"), {}}},
        {ErrorCode::RevisionConflict, PutService{service("order", 1), {1}}},
        {ErrorCode::InvalidArgument, PutService{service("new", 0), {}}},
        {ErrorCode::InvalidArgument, PutService{Numbered, {}}},
        {ErrorCode::UnknownUpstream, SetDrain{"none", true, {}}},
        {ErrorCode::RevisionConflict, SetDrain{"order-1", true, {}}},
        {ErrorCode::RevisionFromFuture, SetDrain{"order-1", true, {999}}},
        {ErrorCode::UnknownService, AnnounceUpstream{upstream("u", 1, "x")}},
        {ErrorCode::InvalidArgument, AnnounceUpstream{NoSlots}},
        {ErrorCode::InvalidArgument, AnnounceUpstream{NoPort}},
        {ErrorCode::AlreadyExists, AnnounceUpstream{upstream("entry-1", 1)}},
        {ErrorCode::AlreadyExists,
         AnnounceEntry{{"order-1", "north", {1, 1}, 1}}},
        {ErrorCode::InvalidArgument, AnnounceEntry{{"e", "", {1, 1}, 1}}},
        {ErrorCode::UnknownUpstream, ActivateUpstream{{99}, U.Instance}},
        {ErrorCode::StaleRevision, ActivateUpstream{U.Id, {1}}},
        {ErrorCode::StaleRevision, RetireUpstream{U.Id, {1}}},
        {ErrorCode::InvalidArgument, AdvanceWarmUp{U.Id, U.Instance, 0}},
        {ErrorCode::InvalidArgument, AdvanceWarmUp{U.Id, U.Instance, 5}},
        {ErrorCode::InUse, ForgetUpstream{"order-1", U.Changed}},
        {ErrorCode::UnknownUpstream, ForgetUpstream{"none", {}}},
        {ErrorCode::UnknownHost, RetireEntry{"none"}},
    };
    const State Before = R.S;
    for (const auto &[Code, Body] : Cases) {
      assertRefused(Code, R.run(Body));
      CPPUNIT_ASSERT(Before == R.S);
    }
    assertRefused(ErrorCode::InvalidArgument,
                  R.run(RemoveProfile{"x", {}}, std::string(129, 'i')));
    CPPUNIT_ASSERT(Before == R.S);
  }

  /// Guards against a profile that daemons can't act on.
  void refusesProfileFieldsOutOfRange() {
    const double NaN = std::numeric_limits<double>::quiet_NaN();
    std::vector<Profile> Bad(14, profile("p"));
    Bad[0].MaxImbalance = 0.99;
    Bad[1].MaxImbalance = NaN;
    Bad[2].MaxImbalance = std::numeric_limits<double>::infinity();
    Bad[3].Deadline = 0ms;
    Bad[4].Deadline = 247'000ms;
    Bad[5].ColdStart = -1ms;
    Bad[6].ColdStart = 3'600'000ms;
    Bad[7].LineIdleLimit = 0ms;
    Bad[8].LineIdleLimit = 1'000'000'000ms;
    Bad[9].RetryBudget = -0.1;
    Bad[10].RetryBudget = 1.1;
    Bad[11].Targets.Answered = 1.001;
    Bad[12].Targets.LinesWhole = -1;
    Bad[13].Targets.WithinDeadline = NaN;
    for (const Profile &P : Bad) {
      Replica R;
      assertRefused(ErrorCode::InvalidArgument, R.run(PutProfile{P, {}}));
      CPPUNIT_ASSERT(R.S == State{});
    }
  }

  /// Guards against agents whose reconnects change the configuration.
  void resentAnnouncementChangesNothing() {
    Replica R = populated();
    const State Before = R.S;
    CPPUNIT_ASSERT(R.run(AnnounceUpstream{upstream("order-1", 1)}).Accepted);
    CPPUNIT_ASSERT(
        R.run(AnnounceEntry{{"entry-1", "north", {0x7F000C01, 7100}, 1}})
            .Accepted);
    CPPUNIT_ASSERT(Before == R.S);
  }

  /// Guards against frames for a former run that the new one takes.
  void restartGetsNewIncarnation() {
    Replica R = populated();
    const Upstream Before = R.named("order-1");
    R.run(AnnounceUpstream{upstream("order-1", 2)});
    const Upstream After = R.named("order-1");
    CPPUNIT_ASSERT(Before.Id == After.Id);
    CPPUNIT_ASSERT(Before.Instance < After.Instance);
    CPPUNIT_ASSERT_EQUAL(R.At, After.Instance.Number);
    CPPUNIT_ASSERT(After.Phase == UpstreamPhase::Cold);
  }

  /// Guards against new work on an upstream that an operator has drained.
  void drainOutlivesAgentRestart() {
    Replica R = populated();
    R.run(SetDrain{"order-1", true, R.now()}, "a");
    R.run(AnnounceUpstream{upstream("order-1", 2)});
    CPPUNIT_ASSERT(R.named("order-1").Phase == UpstreamPhase::Draining);
    const Upstream U = R.named("order-1");
    R.run(RetireUpstream{U.Id, U.Instance});
    CPPUNIT_ASSERT(R.named("order-1").Phase == UpstreamPhase::Lost);
    R.run(AnnounceUpstream{upstream("order-1", 3)});
    const Upstream Back = R.named("order-1");
    CPPUNIT_ASSERT(Back.Phase == UpstreamPhase::Draining);
    R.run(ActivateUpstream{Back.Id, Back.Instance});
    CPPUNIT_ASSERT(R.named("order-1").Phase == UpstreamPhase::Draining);
    R.run(SetDrain{"order-1", false, R.now()}, "b");
    CPPUNIT_ASSERT(R.named("order-1").Phase == UpstreamPhase::Active);
  }

  /// Guards against lines of a frozen agent that break after it resumed.
  void resumedAgentKeepsIncarnation() {
    Replica R = populated();
    const Upstream U = R.named("order-1");
    R.run(RetireUpstream{U.Id, U.Instance});
    R.run(AnnounceUpstream{upstream("order-1", 1)});
    CPPUNIT_ASSERT(R.named("order-1").Instance == U.Instance);
    CPPUNIT_ASSERT(R.named("order-1").Phase == UpstreamPhase::Cold);
  }

  /// Guards against a late retirement that hits the next run.
  void staleCommandsMissRestartedAgent() {
    Replica R = populated();
    const Upstream Old = R.named("order-1");
    R.run(AnnounceUpstream{upstream("order-1", 2)});
    assertRefused(ErrorCode::StaleRevision,
                  R.run(RetireUpstream{Old.Id, Old.Instance}));
    CPPUNIT_ASSERT(R.named("order-1").Phase == UpstreamPhase::Cold);
  }

  /// Guards against an id that names two upstreams over time.
  void idsAreNeverReused() {
    Replica R = populated();
    std::set<UpstreamId> Seen;
    for (int I = 0; I < 20; ++I) {
      const std::string Name = "temp-" + std::to_string(I);
      R.run(AnnounceUpstream{upstream(Name, 1)});
      const Upstream U = R.named(Name);
      CPPUNIT_ASSERT(Seen.insert(U.Id).second);
      R.run(RetireUpstream{U.Id, U.Instance});
      CPPUNIT_ASSERT(R.run(ForgetUpstream{Name, R.now()}, Name).Accepted);
      R.S = decodeState(encodeState(R.S)).value();
    }
  }

  /// Guards against misdelivery after an agent was moved to another service.
  void changedServiceGetsNewUpstreamId() {
    Replica R = populated();
    R.run(PutService{service("catalogue", 5684), {}});
    R.run(SetDrain{"order-1", true, R.now()}, "a");
    const UpstreamId Old = R.named("order-1").Id;
    R.run(AnnounceUpstream{upstream("order-1", 2, "catalogue")});
    CPPUNIT_ASSERT(Old < R.named("order-1").Id);
    CPPUNIT_ASSERT(R.named("order-1").DrainOrdered);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, R.S.Config.Upstreams.count(Old));
    for (const Bucket &B : R.S.Config.Tables.at(ServiceId{1}).Buckets)
      CPPUNIT_ASSERT(B.Owner != Old && B.Earlier[0] != Old);
    CPPUNIT_ASSERT(R.S.Index == buildIndex(R.S.Config));
  }

  /// Guards against a changed weight that has no effect until the next change.
  void profileChangeRebalances() {
    Replica R = populated();
    R.run(PutProfile{profile("tablets", 2.0),
                     R.S.Config.Profiles.at("tablets").Changed});
    R.run(AnnounceUpstream{upstream("order-4", 1)});
    const UpstreamId Fourth = R.named("order-4").Id;
    R.run(ActivateUpstream{Fourth, R.named("order-4").Instance});
    const auto &Table = R.S.Config.Tables.at(ServiceId{1});
    CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                         routing::bucketsByOwner(Table).count(Fourth));
    R.run(PutProfile{profile("tablets", 1.0),
                     R.S.Config.Profiles.at("tablets").Changed});
    CPPUNIT_ASSERT_EQUAL(std::size_t{128},
                         routing::bucketsByOwner(Table).at(Fourth));
    CPPUNIT_ASSERT(Table.Changed == R.now());
  }

  /// Guards against a configuration that grows with every replaced host.
  void longLostUpstreamsAreForgotten() {
    Replica R = populated();
    for (std::size_t I = 0; I < LostUpstreamsKept + 10; ++I) {
      const std::string Name = "temp-" + std::to_string(I);
      R.run(AnnounceUpstream{upstream(Name, 1)});
      R.run(RetireUpstream{R.named(Name).Id, R.named(Name).Instance});
    }
    CPPUNIT_ASSERT_EQUAL(LostUpstreamsKept + 3, R.S.Config.Upstreams.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                         R.S.Index.UpstreamsByName.count("temp-0"));
    CPPUNIT_ASSERT(R.S.Index == buildIndex(R.S.Config));
  }

  /// Guards against a warm-up that skips steps or never ends.
  void warmUpGrowsInSteps() {
    Replica R = populated();
    R.run(AnnounceUpstream{upstream("order-4", 1)});
    const Profile Rules = R.S.Config.Profiles.at("tablets");
    std::vector<int> Seen;
    for (auto Since = 0ms; Since <= Rules.ColdStart; Since += 100ms) {
      if (const auto Next = nextWarmUp(R.named("order-4"), Rules, Since)) {
        CPPUNIT_ASSERT(R.run(*Next).Accepted);
        Seen.push_back(R.named("order-4").WarmUp);
      }
    }
    CPPUNIT_ASSERT(Seen == (std::vector<int>{2, 3, 4}));
    CPPUNIT_ASSERT(R.named("order-4").Phase == UpstreamPhase::Active);
  }

  // Random sequences ----------------------------------------------------------

  static CommandBody randomCommand(std::mt19937 &Random, Replica &R) {
    const auto Pick = [&](std::uint32_t Bound) {
      return static_cast<std::uint32_t>(Random() % Bound);
    };
    const std::string Service = Pick(2) == 0 ? "order" : "catalogue";
    const std::string Name = "u-" + std::to_string(Pick(12));
    const auto Known = R.S.Index.UpstreamsByName.find(Name);
    const bool Exists = Known != R.S.Index.UpstreamsByName.end();
    const Upstream U =
        Exists ? R.S.Config.Upstreams.at(Known->second) : Upstream{};
    switch (Pick(9)) {
    case 0:
    case 1:
      return AnnounceUpstream{upstream(Name, Pick(3), Service)};
    case 2:
      return RetireUpstream{U.Id, U.Instance};
    case 3:
      return ActivateUpstream{U.Id, U.Instance};
    case 4:
      return AdvanceWarmUp{U.Id, U.Instance,
                           static_cast<std::uint8_t>(1 + Pick(WarmUpSteps))};
    case 5:
      return SetDrain{Name, Pick(2) == 0, U.Changed};
    case 6:
      return PutProfile{profile("tablets", 1 + Pick(40) / 100.0),
                        R.S.Config.Profiles.at("tablets").Changed};
    case 7:
      return ForgetUpstream{Name, U.Changed};
    default:
      return AnnounceUpstream{upstream(Name, 7, Service)};
    }
  }

  static void checkTable(const State &S, const BucketTable &Table) {
    std::size_t Total = 0;
    bool Draining = false;
    for (const auto &[Id, U] : S.Config.Upstreams) {
      if (U.Service != Table.Service)
        continue;
      Total += routing::serves(U) ? U.WarmUp : 0;
      Draining = Draining || U.Phase == UpstreamPhase::Draining;
    }
    const double Bound = S.Config.Profiles.at("tablets").MaxImbalance;
    for (const auto &[Owner, Count] : routing::bucketsByOwner(Table)) {
      if (Owner.Number == 0) {
        CPPUNIT_ASSERT(Total == 0 && !Draining);
        continue;
      }
      const Upstream &U = S.Config.Upstreams.at(Owner);
      CPPUNIT_ASSERT(U.Service == Table.Service);
      if (Total > 0) {
        CPPUNIT_ASSERT(routing::serves(U));
        CPPUNIT_ASSERT(Count <= routing::bucketLimit(U.WarmUp, Total, Bound));
      }
    }
    for (const Bucket &B : Table.Buckets)
      checkEarlier(S, Table.Service, B);
  }

  static void checkEarlier(const State &S, ServiceId Service, const Bucket &B) {
    std::set<UpstreamId> Named{B.Owner};
    bool Ended = false;
    for (const UpstreamId Id : B.Earlier) {
      Ended = Ended || Id.Number == 0;
      CPPUNIT_ASSERT_EQUAL(Ended, Id.Number == 0);
      if (Ended)
        continue;
      CPPUNIT_ASSERT(Named.insert(Id).second);
      CPPUNIT_ASSERT(S.Config.Upstreams.at(Id).Phase != UpstreamPhase::Lost);
      CPPUNIT_ASSERT(S.Config.Upstreams.at(Id).Service == Service);
    }
  }

  /// Guards against tables that break their rules after many joins, losses and
  /// drains, and against replicas that differ after a snapshot.
  void randomSequencesKeepInvariants() {
    for (const unsigned Seed : {1U, 2U, 3U, 4U, 5U, 6U, 7U, 8U}) {
      std::mt19937 Random(Seed);
      Replica R = populated();
      R.run(PutService{service("catalogue", 5684), {}});
      std::vector<State> Others;
      for (int Step = 0; Step < 600; ++Step) {
        // Further replicas start from snapshots at different points.
        if (Step % 200 == 50)
          Others.push_back(decodeState(encodeState(R.S)).value());
        const Command C{Step % 3 == 0 ? "op-" + std::to_string(Step / 6) : "",
                        randomCommand(Random, R)};
        const CommandResult Result = apply(R.S, C, Revision{++R.At});
        for (State &Other : Others)
          CPPUNIT_ASSERT(Result == apply(Other, C, Revision{R.At}));
        for (const auto &[Id, Table] : R.S.Config.Tables)
          checkTable(R.S, Table);
      }
      CPPUNIT_ASSERT(R.S.Index == buildIndex(R.S.Config));
      for (const State &Other : Others)
        CPPUNIT_ASSERT(R.S == Other);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ControlStateMachineTest);

} // namespace
