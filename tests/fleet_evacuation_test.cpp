#include "evacuation_call.h"
#include "fleet_world.h"
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <random>

using namespace jasminearch;
using namespace jasminearch::fleet;
using namespace jasminearch::fleet::test;
using namespace std::chrono_literals;

namespace {

const std::vector<std::string> ThreeHosts = {"10.0.0.1", "10.0.0.2",
                                             "10.0.0.3"};

using Names = std::vector<std::string>;
using PendingResult = std::shared_ptr<std::optional<EvacuationResult>>;

/// \returns the evacuations with which an order was acknowledged, if it was.
const Evacuations *acknowledged(const PendingResult &Result) {
  return *Result ? std::get_if<Evacuations>(&**Result) : nullptr;
}

/// Decisions and encodings.
class EvacuationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EvacuationTest);
  CPPUNIT_TEST(appliesOrdersInTheirOrder);
  CPPUNIT_TEST(tellsEntriesApart);
  CPPUNIT_TEST(keepsSnapshotsOfEarlierVersions);
  CPPUNIT_TEST(refusesDamagedEntries);
  CPPUNIT_TEST(readsMessagesOfEarlierVersions);
  CPPUNIT_TEST(refusesWrongCalls);
  CPPUNIT_TEST(acceptsCallsForEvacuatedDataCentres);
  CPPUNIT_TEST(answersCalls);
  CPPUNIT_TEST_SUITE_END();

  static tl::expected<EvacuationOrder, platform::HttpResponse>
  call(const std::string &Method, const std::string &Target,
       const std::string &Body, const std::map<std::string, std::string> &Known,
       const Evacuations &InForce = {}) {
    return platform::readEvacuationCall({Method, Target, Body}, Known, InForce);
  }

public:
  /// Guards against a number that changes without the state, and against an
  /// entry that is applied again when the log is read again.
  void appliesOrdersInTheirOrder() {
    Evacuations E;
    E = apply(E, {"b", false, 1}, Revision{3});
    CPPUNIT_ASSERT(E == Evacuations{});
    E = apply(E, {"b", true, 2}, Revision{4});
    E = apply(E, {"a", true, 3}, Revision{6});
    CPPUNIT_ASSERT((E == Evacuations{6, {"a", "b"}}));
    CPPUNIT_ASSERT(apply(E, {"a", true, 4}, Revision{7}) == E);
    CPPUNIT_ASSERT(apply(E, {"b", false, 5}, Revision{6}) == E);
    E = apply(E, {"b", false, 6}, Revision{8});
    CPPUNIT_ASSERT((E == Evacuations{8, {"a"}}));
  }

  /// Guards against a configuration that is taken for an order, or the reverse.
  void tellsEntriesApart() {
    const EvacuationOrder Order{"a", true, ~std::uint64_t{0}};
    const Bytes Entry = encodeEvacuationOrder(Order);
    CPPUNIT_ASSERT(isEvacuationOrder(Entry));
    CPPUNIT_ASSERT(decodeEvacuationOrder(Entry) == Order);
    CPPUNIT_ASSERT(!decodeAcceptedRoutes(Entry));
    for (const std::uint64_t Version : {0ULL, 23ULL, 24ULL, 1ULL << 40U}) {
      flow::RouteTable Table;
      Table.Version = Version;
      const Bytes Routes = encodeAcceptedRoutes(makeAcceptedRoutes(Table, "d"));
      CPPUNIT_ASSERT(!isEvacuationOrder(Routes));
      CPPUNIT_ASSERT(!decodeEvacuationOrder(Routes));
    }
  }

  /// Guards against state that is lost with an update: earlier versions stored
  /// the routes entry alone, and still must be able to read it.
  void keepsSnapshotsOfEarlierVersions() {
    const Bytes Routes = encodeAcceptedRoutes(makeAcceptedRoutes({}, "d"));
    for (const Bytes &Old : {Routes, Bytes{}}) {
      CPPUNIT_ASSERT((decodeControlState(Old) == ControlState{Old, {}}));
      CPPUNIT_ASSERT(encodeControlState({Old, {}}) == Old);
      const ControlState New{Old, {5, {"a", "b"}}};
      CPPUNIT_ASSERT(decodeControlState(encodeControlState(New)) == New);
    }
    const ControlState Withdrawn{Routes, {9, {}}};
    CPPUNIT_ASSERT(decodeControlState(encodeControlState(Withdrawn)) ==
                   Withdrawn);
  }

  /// Guards against a damaged entry or snapshot that is taken for a state.
  void refusesDamagedEntries() {
    const Bytes Order = encodeEvacuationOrder({"a", true, 7});
    const Bytes State = encodeControlState({{1, 2}, {5, {"a"}}});
    const auto Head = [](const Bytes &Whole, std::size_t Size) {
      return Bytes(Whole.begin(),
                   Whole.begin() + static_cast<std::ptrdiff_t>(Size));
    };
    for (std::size_t Size = 0; Size < Order.size(); ++Size)
      CPPUNIT_ASSERT(!decodeEvacuationOrder(Head(Order, Size)));
    for (std::size_t Size = 2; Size < State.size(); ++Size)
      CPPUNIT_ASSERT(!decodeControlState(Head(State, Size)));
    CPPUNIT_ASSERT(!decodeEvacuationOrder(State));
    CPPUNIT_ASSERT(!decodeControlState(Order));
  }

  /// Guards against hosts of an earlier version that are cut off by an update.
  void readsMessagesOfEarlierVersions() {
    const auto Old = decode({0x82, 0x01, 0x82, 0x18, 0x46, 0x06});
    CPPUNIT_ASSERT((Old && *Old == Message{Status{70ms, 6, 0}}));
    for (const Message &M :
         {Message{Status{70ms, 6, 9}}, Message{Evacuations{9, {"a", "b"}}},
          Message{ServiceLimits{4, {{"s", 4s, 2.5}}}},
          Message{ServiceLimits{4, {}, {"s", "t"}}}})
      CPPUNIT_ASSERT(decode(encode(M)) == M);
  }

  /// Guards against an order for a data centre that doesn't exist, which would
  /// be acknowledged and have no effect.
  void refusesWrongCalls() {
    const std::map<std::string, std::string> Known = {{"a", "r"}};
    CPPUNIT_ASSERT(platform::isEvacuationCall("/evacuate/a"));
    CPPUNIT_ASSERT(!platform::isEvacuationCall("/config"));
    CPPUNIT_ASSERT((call("POST", "/evacuate/a", "", Known) ==
                    EvacuationOrder{"a", true, 0}));
    CPPUNIT_ASSERT((call("DELETE", "/evacuate/a", "", Known) ==
                    EvacuationOrder{"a", false, 0}));
    CPPUNIT_ASSERT(call("POST", "/evacuate/b", "", {}).has_value());
    const auto Status = [&](const std::string &Method, const std::string &Name,
                            const std::string &Body, const auto &Table) {
      const auto Refused = call(Method, "/evacuate/" + Name, Body, Table);
      CPPUNIT_ASSERT(!Refused);
      CPPUNIT_ASSERT(Refused.error().Body.find("error") != std::string::npos);
      return Refused.error().Status;
    };
    CPPUNIT_ASSERT_EQUAL(405U, Status("PUT", "a", "", Known));
    CPPUNIT_ASSERT_EQUAL(404U, Status("POST", "b", "", Known));
    CPPUNIT_ASSERT_EQUAL(404U, Status("DELETE", "\xff", "", Known));
    CPPUNIT_ASSERT_EQUAL(
        404U, Status("POST", "", "", std::map<std::string, std::string>{}));
    CPPUNIT_ASSERT_EQUAL(400U, Status("POST", "a", "{}", Known));
  }

  /// Guards against an evacuation that can't be withdrawn because its data
  /// centre has left the settings.
  void acceptsCallsForEvacuatedDataCentres() {
    const std::map<std::string, std::string> Known = {{"a", "r"}};
    const Evacuations InForce{5, {"b"}};
    CPPUNIT_ASSERT((call("DELETE", "/evacuate/b", "", Known, InForce) ==
                    EvacuationOrder{"b", false, 0}));
    CPPUNIT_ASSERT(call("POST", "/evacuate/b", "", Known, InForce).has_value());
    CPPUNIT_ASSERT(!call("POST", "/evacuate/c", "", Known, InForce));
  }

  /// Guards against callers that take a refused or redirected order for an
  /// acknowledged one, and against a name that ends the process.
  void answersCalls() {
    const std::string Target = "/evacuate/a";
    const auto Done =
        platform::evacuationResponse(Evacuations{9, {"a\xff"}}, Target, 8443);
    CPPUNIT_ASSERT_EQUAL(200U, Done.Status);
    CPPUNIT_ASSERT(Done.Body.find("\"number\":9") != std::string::npos);
    const auto Moved = platform::evacuationResponse(
        RedirectToLeader{"10.0.0.2"}, Target, 8443);
    CPPUNIT_ASSERT_EQUAL(307U, Moved.Status);
    CPPUNIT_ASSERT_EQUAL(std::string("http://10.0.0.2:8443/evacuate/a"),
                         Moved.Location);
    const auto Failed = platform::evacuationResponse(
        Unavailable{{ErrorCode::NoQuorum, "none"}}, Target, 8443);
    CPPUNIT_ASSERT_EQUAL(503U, Failed.Status);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EvacuationTest);

/// A log that commits what the test says.
class FakeLog final : public consensus::ReplicatedLog {
public:
  struct Shared {
    consensus::ReplicatedLogHandlers Handlers;
    Expected<Revision> ProposalResult = Revision{7};
    std::vector<Bytes> Proposed;
    bool Leads = true;
    unsigned StepDowns = 0;
  };
  explicit FakeLog(std::shared_ptr<Shared> State) : State(std::move(State)) {}
  void tick() override {}
  void receive(const std::string &, const Bytes &) override {}
  Expected<Revision> propose(Bytes Entry) override {
    State->Proposed.push_back(std::move(Entry));
    return State->ProposalResult;
  }
  bool leaseHeld() const override { return State->Leads; }
  std::optional<std::string> leader() const override { return std::nullopt; }
  Duration quorumAge() const override { return Duration{}; }
  void stepDown() override { ++State->StepDowns; }
  void setHosts(std::vector<std::string>) override {}
  Revision committed() const override { return {}; }
  std::vector<consensus::Member> members() const override { return {}; }

private:
  std::shared_ptr<Shared> State;
};

/// A control host with a FakeLog.
class EvacuationLogTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EvacuationLogTest);
  CPPUNIT_TEST(entryOfAnotherLeaderIsNoAcknowledgement);
  CPPUNIT_TEST(acknowledgesOnlyWhileLeading);
  CPPUNIT_TEST(proposesOrdersThatChangeNothing);
  CPPUNIT_TEST(stepsDownWithAFullDisk);
  CPPUNIT_TEST(keepsLaterStateWhenTheLogIsReadAgain);
  CPPUNIT_TEST(writesTheOldSnapshotUntilTheFirstEvacuation);
  CPPUNIT_TEST_SUITE_END();

  ManualClock Time;
  std::shared_ptr<FakeLog::Shared> Log;
  std::unique_ptr<ControlNode> Node;
  PendingResult Result;

  void begin() {
    Log = std::make_shared<FakeLog::Shared>();
    AgentStore Store;
    Store.Load = []() -> Expected<Bytes> { return Bytes{}; };
    Store.Save = [](const Bytes &) -> Expected<void> { return {}; };
    ControlNodeOptions O;
    O.Host = "10.0.0.1";
    Node = std::make_unique<ControlNode>(
        O, Time,
        [this](const consensus::ReplicatedLogOptions &,
               consensus::ReplicatedLogHandlers Handlers)
            -> Expected<std::unique_ptr<consensus::ReplicatedLog>> {
          Log->Handlers = std::move(Handlers);
          return std::make_unique<FakeLog>(Log);
        },
        Store);
  }

  void submit(const EvacuationOrder &Order) {
    Result = std::make_shared<std::optional<EvacuationResult>>();
    Node->submit(Order,
                 [Into = Result](EvacuationResult R) { *Into = std::move(R); });
  }

  void commit(std::uint64_t At, const EvacuationOrder &Order) {
    Log->Handlers.Committed(Revision{At}, encodeEvacuationOrder(Order));
    Node->tick();
  }

  bool unavailable() const {
    return *Result && std::holds_alternative<Unavailable>(**Result);
  }

public:
  void setUp() override { begin(); }

  /// Guards against an acknowledgement for an order that was lost with its
  /// leader: the next one put the same order of another caller at its revision.
  void entryOfAnotherLeaderIsNoAcknowledgement() {
    submit({"a", true, 1});
    commit(7, {"a", true, 2});
    CPPUNIT_ASSERT(!*Result);
    commit(8, {"a", true, 1});
    CPPUNIT_ASSERT(!*Result);
    Time.advance(SubmitTimeout);
    Node->tick();
    CPPUNIT_ASSERT(unavailable());
  }

  /// Guards against an acknowledgement by a host that may have been replaced.
  void acknowledgesOnlyWhileLeading() {
    submit({"a", true, 1});
    Log->Leads = false;
    commit(7, {"a", true, 1});
    CPPUNIT_ASSERT(!*Result);
    Log->Leads = true;
    Node->tick();
    CPPUNIT_ASSERT(acknowledged(Result));
    CPPUNIT_ASSERT((*acknowledged(Result) == Evacuations{7, {"a"}}));
  }

  /// Guards against an order that is acknowledged although one that is still on
  /// its way reverts it.
  void proposesOrdersThatChangeNothing() {
    submit({"a", false, 1});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Log->Proposed.size());
    CPPUNIT_ASSERT(!*Result);
    commit(7, {"a", false, 1});
    CPPUNIT_ASSERT(acknowledged(Result));
    CPPUNIT_ASSERT(*acknowledged(Result) == Evacuations{});
  }

  /// Guards against a leader that refuses all orders because it can't write,
  /// while others could.
  void stepsDownWithAFullDisk() {
    Log->ProposalResult = fail(ErrorCode::StorageFull, "full");
    submit({"a", true, 1});
    CPPUNIT_ASSERT(unavailable());
    CPPUNIT_ASSERT_EQUAL(1U, Log->StepDowns);
  }

  /// Guards against a state that goes back while the log is read again after a
  /// failure of the disk.
  void keepsLaterStateWhenTheLogIsReadAgain() {
    commit(3, {"a", true, 1});
    const Bytes Early = Log->Handlers.CaptureState();
    commit(4, {"a", false, 2});
    commit(5, {"b", true, 3});
    const Evacuations Latest = Node->evacuations();
    CPPUNIT_ASSERT(Log->Handlers.RestoreState(Revision{3}, Early));
    CPPUNIT_ASSERT(Node->evacuations() == Latest);
    commit(4, {"a", false, 2});
    CPPUNIT_ASSERT(Node->evacuations() == Latest);
    commit(5, {"b", true, 3});
    CPPUNIT_ASSERT(Node->evacuations() == Latest);
  }

  /// Guards against a host of an earlier version that can't read a snapshot,
  /// although there has never been an evacuation.
  void writesTheOldSnapshotUntilTheFirstEvacuation() {
    flow::RouteTable Table;
    Table.Version = 4;
    const Bytes Old = encodeAcceptedRoutes(makeAcceptedRoutes(Table, "d"));
    CPPUNIT_ASSERT(Log->Handlers.RestoreState(Revision{3}, Old));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, Node->version());
    commit(4, {"a", false, 1});
    CPPUNIT_ASSERT(Log->Handlers.CaptureState() == Old);
    commit(5, {"a", true, 1});
    const Bytes New = Log->Handlers.CaptureState();
    begin();
    CPPUNIT_ASSERT(Log->Handlers.RestoreState(Revision{5}, New));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, Node->version());
    CPPUNIT_ASSERT((Node->evacuations() == Evacuations{5, {"a"}}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EvacuationLogTest);

/// An entry host or agent that is linked to the test.
class EvacuationClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EvacuationClientTest);
  CPPUNIT_TEST(neverFallsBack);
  CPPUNIT_TEST(notReadyWithoutTheEvacuationsInForce);
  CPPUNIT_TEST(readyWithoutEvacuationsFromAnEarlierVersion);
  CPPUNIT_TEST(keepsTheNewestLimits);
  CPPUNIT_TEST_SUITE_END();

  std::unique_ptr<FleetWorld> W;
  Daemon *D = nullptr;
  /// What the daemon has sent last.
  std::optional<Message> Told;

  void begin(Role Own) {
    W = std::make_unique<FleetWorld>(Names{ThreeHosts[0]});
    link::LinkHandlers H;
    H.Opened = [](link::LinkId, bool) {};
    H.Received = [this](link::LinkId, const Bytes &M) { Told = *decode(M); };
    H.Closed = [](link::LinkId) {};
    W->Hubs[ThreeHosts[0]] =
        std::make_unique<FakeHub>(*W, ThreeHosts[0], std::move(H));
    D = &W->startDaemon("10.0.1.1", Own);
    W->run(100ms);
  }

  void receive(const Message &Value) {
    FakeHub &Control = *W->Hubs.at(ThreeHosts[0]);
    Control.send(Control.Links.begin()->first, encode(Value));
    W->run(10ms);
  }

  static Routes routes(std::uint64_t Version) {
    Routes R;
    R.Table.Version = Version;
    return R;
  }

public:
  /// Guards against entry hosts and agents that take up an earlier state from a
  /// control host that lags behind, or from messages in another order.
  void neverFallsBack() {
    for (const Role Own : {Role::Entry, Role::Agent}) {
      begin(Own);
      for (const std::uint64_t Number : {5, 3, 5, 9, 8})
        receive(Evacuations{Number, {"a" + std::to_string(Number)}});
      CPPUNIT_ASSERT_EQUAL(std::size_t{2}, D->Evacuated.size());
      CPPUNIT_ASSERT((D->Client->evacuations() == Evacuations{9, {"a9"}}));
      CPPUNIT_ASSERT((Told == Message{Status{0ms, 0, 9}}));
    }
  }

  /// Guards against a restarted entry host that sends openings to an evacuated
  /// data centre, because it learns of the evacuation after its first packets.
  void notReadyWithoutTheEvacuationsInForce() {
    begin(Role::Entry);
    receive(Status{2s, 0, 9});
    receive(Agents{{}, true});
    receive(routes(4));
    receive(Status{0ms, 4, 9});
    CPPUNIT_ASSERT(!D->Client->current());
    receive(Evacuations{8, {}});
    CPPUNIT_ASSERT(!D->Client->current());
    receive(Evacuations{9, {"a"}});
    CPPUNIT_ASSERT(D->Client->current());
    // A newer number doesn't make a running host unready.
    receive(Status{0ms, 4, 10});
    CPPUNIT_ASSERT(D->Client->current());
  }

  /// Guards against entry hosts that never become ready while control hosts of
  /// an earlier version send no evacuations.
  void readyWithoutEvacuationsFromAnEarlierVersion() {
    begin(Role::Entry);
    receive(Agents{{}, true});
    receive(routes(4));
    CPPUNIT_ASSERT(D->Client->current());
  }

  /// Guards against limits of earlier routes that come back.
  void keepsTheNewestLimits() {
    begin(Role::Agent);
    receive(ServiceLimits{4, {{"s", 4s, 2.5}}});
    receive(ServiceLimits{3, {}});
    receive(ServiceLimits{6, {}});
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, D->Limits.size());
    CPPUNIT_ASSERT((D->Limits.back() == ServiceLimits{6, {}}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EvacuationClientTest);

/// Gives one order after the other, and sends each to one control host after
/// the other until it is acknowledged, as operators do.
class EvacuationOperator {
public:
  EvacuationOperator(FleetWorld &World, std::mt19937_64 &Random)
      : World(World), Random(Random) {}

  void start(const std::string &DataCentre, bool Evacuate) {
    Order = EvacuationOrder{DataCentre, Evacuate, 0};
    send(randomHost());
  }

  bool busy() const { return Order.has_value(); }

  /// Gives up an order after a call without an answer. It may still take
  /// effect, until another one for the data centre is acknowledged.
  void giveUp() {
    if (!Order || *Result || World.Time.now() - SentAt < AnswerTimeout)
      return;
    State[Order->DataCentre].reset();
    Order.reset();
  }

  /// Asserts that \p InForce has the effect of all acknowledged orders.
  void assertAgrees(const Evacuations &InForce, const std::string &Name) const {
    for (const auto &[DataCentre, Evacuated] : State) {
      const bool IsListed =
          std::count(InForce.DataCentres.begin(), InForce.DataCentres.end(),
                     DataCentre) != 0;
      CPPUNIT_ASSERT_MESSAGE(absl::StrCat(Name, " ", DataCentre),
                             Evacuated.value_or(IsListed) == IsListed);
    }
  }

  /// Reads the result of the last call and sends the order again if necessary.
  /// \param Lost Whether an answer that has arrived is lost.
  void proceed(bool Lost) {
    if (!Order)
      return;
    if (!*Result || Lost) {
      if (World.Time.now() - SentAt >= AnswerTimeout)
        send(randomHost());
      return;
    }
    if (const auto *Next = std::get_if<RedirectToLeader>(&**Result))
      return send(std::string(Next->Host)); // send() replaces Result.
    const Evacuations *Done = acknowledged(Result);
    if (!Done)
      return send(randomHost());
    State[Order->DataCentre] = Order->Evacuate;
    assertAgrees(*Done, "acknowledgement");
    Order.reset();
  }

private:
  /// Operators go on to another host after this time without an answer.
  static constexpr Duration AnswerTimeout = 1s;

  std::string randomHost() {
    return ThreeHosts[std::uniform_int_distribution<std::size_t>(
        0, ThreeHosts.size() - 1)(Random)];
  }

  void send(const std::string &Host) {
    SentAt = World.Time.now();
    Result = std::make_shared<std::optional<EvacuationResult>>();
    if (!World.Controls.at(Host).Node)
      return;
    // Each call has an id of its own.
    Order->Id = Random();
    Result = World.order(Host, *Order);
  }

  FleetWorld &World;
  std::mt19937_64 &Random;
  std::optional<EvacuationOrder> Order;
  PendingResult Result;
  TimePoint SentAt{};
  /// Whether each data centre is evacuated, after all acknowledged orders;
  /// empty if that is open.
  std::map<std::string, std::optional<bool>> State;
};

/// Control hosts, entry hosts and agents.
class FleetEvacuationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetEvacuationTest);
  CPPUNIT_TEST(reachesEveryDaemon);
  CPPUNIT_TEST(acknowledgesAnOrderAgain);
  CPPUNIT_TEST(redirectsToTheLeader);
  CPPUNIT_TEST(survivesARestartOfAllHosts);
  CPPUNIT_TEST(survivesALostDisk);
  CPPUNIT_TEST(acknowledgesAfterAFullDisk);
  CPPUNIT_TEST(reachesDaemonsOfAFollowerWithAFullDisk);
  CPPUNIT_TEST(leaderWithoutAQuorumAcknowledgesNothing);
  CPPUNIT_TEST(hostWithoutAQuorumSendsNothing);
  CPPUNIT_TEST(reachesDaemonsOfALostControlHost);
  CPPUNIT_TEST(tellsARestartedDaemonBeforeItIsReady);
  CPPUNIT_TEST(sendsLimitsToAgents);
  CPPUNIT_TEST(sendsServicesToAgents);
  CPPUNIT_TEST(withdrawsLimitsThatAnAgentMissed);
  CPPUNIT_TEST(endsInOneStateAfterRandomInterleavings);
  CPPUNIT_TEST_SUITE_END();

  /// Time from the acknowledgement until an evacuation is in force at every
  /// connected host.
  static constexpr Duration EvacuationBound = 5s;

  std::unique_ptr<FleetWorld> W;
  std::uint64_t LastId = 0;

  void begin() {
    W = std::make_unique<FleetWorld>(ThreeHosts);
    for (const std::string &Host : ThreeHosts)
      W->startControl(Host, true);
    W->run(2s);
    CPPUNIT_ASSERT(W->leader());
  }

  void startDaemons() {
    for (int I = 1; I <= 4; ++I) {
      W->startDaemon("10.0.1." + std::to_string(I), Role::Entry);
      W->startDaemon("10.0.2." + std::to_string(I), Role::Agent);
    }
    W->run(1s);
  }

  PendingResult order(const std::string &Host, const std::string &DataCentre,
                      bool Evacuate) {
    return W->order(Host, {DataCentre, Evacuate, ++LastId});
  }

  /// Gives an order to the leader, which acknowledges it.
  Evacuations accepted(const std::string &DataCentre, bool Evacuate) {
    const PendingResult Result = order(W->leaderName(), DataCentre, Evacuate);
    W->run(500ms);
    CPPUNIT_ASSERT(acknowledged(Result));
    return *acknowledged(Result);
  }

  std::string follower() {
    const std::string Leader = W->leaderName();
    for (const std::string &Host : ThreeHosts)
      if (Host != Leader && W->Controls.at(Host).Node)
        return Host;
    return {};
  }

  void restartControls() {
    for (const std::string &Host : ThreeHosts)
      W->kill(Host);
    for (const std::string &Host : ThreeHosts)
      W->startControl(Host, false);
  }

  void assertEverywhere(const Evacuations &Expected, const std::string &Name) {
    for (const auto &[Host, H] : W->Controls)
      if (H.Node)
        CPPUNIT_ASSERT_MESSAGE(absl::StrCat(Name, " ", Host),
                               H.Node->evacuations() == Expected);
    for (const auto &[Host, D] : W->Daemons)
      CPPUNIT_ASSERT_MESSAGE(absl::StrCat(Name, " ", Host),
                             D.Client->evacuations() == Expected);
  }

  static bool holds(const Daemon &D, const std::string &DataCentre) {
    const Names &All = D.Client->evacuations().DataCentres;
    return std::find(All.begin(), All.end(), DataCentre) != All.end();
  }

  bool heldByAll(const std::string &DataCentre) {
    CPPUNIT_ASSERT(!W->Daemons.empty());
    return std::all_of(
        W->Daemons.begin(), W->Daemons.end(),
        [&](const auto &Item) { return holds(Item.second, DataCentre); });
  }

  /// Sends an order to a host until it is acknowledged. Asserts that it is in
  /// force at all daemons within EvacuationBound.
  void assertInForceInTime(const std::string &Host) {
    PendingResult Result = order(Host, "a", true);
    for (Duration Done{}; !acknowledged(Result); Done += 50ms) {
      CPPUNIT_ASSERT(Done < 6s);
      W->run(50ms);
      if (*Result && !acknowledged(Result)) {
        const auto *Next = std::get_if<RedirectToLeader>(&**Result);
        // The host that is named may have died since.
        const bool Follows = Next && W->Controls.at(Next->Host).Node;
        Result = order(Follows ? Next->Host : Host, "a", true);
      }
    }
    W->run(EvacuationBound);
    CPPUNIT_ASSERT(heldByAll("a"));
  }

  /// \returns whether a daemon is linked to a control host.
  bool isLinked(const std::string &Control) {
    return std::any_of(
        W->Daemons.begin(), W->Daemons.end(), [&](const auto &Item) {
          const auto &Links = W->Hubs.at(Item.first)->Links;
          return std::any_of(Links.begin(), Links.end(), [&](const auto &L) {
            return L.second.first == Control;
          });
        });
  }

  void submitRoutes(std::uint64_t Version, std::vector<flow::ColdLimit> Limits,
                    Names Services = {}) {
    flow::RouteTable Table;
    Table.Version = Version;
    Table.Services = std::move(Services);
    Table.ColdLimits = std::move(Limits);
    W->leader()->submit(makeAcceptedRoutes(Table, "d"),
                        [](const SubmitResult &) {});
    W->run(500ms);
    CPPUNIT_ASSERT_EQUAL(Version, W->leader()->version());
  }

public:
  void reachesEveryDaemon() {
    begin();
    startDaemons();
    const Evacuations First = accepted("b", true);
    CPPUNIT_ASSERT(First.DataCentres == Names{"b"});
    W->run(200ms);
    assertEverywhere(First, "first");
    const Evacuations Second = accepted("a", true);
    CPPUNIT_ASSERT(Second.Number > First.Number);
    CPPUNIT_ASSERT((Second.DataCentres == Names{"a", "b"}));
    accepted("b", false);
    const Evacuations Last = accepted("a", false);
    CPPUNIT_ASSERT(Last.DataCentres.empty());
    W->run(200ms);
    assertEverywhere(Last, "withdrawn");
    std::size_t Linked = 0;
    for (const std::string &Host : ThreeHosts) {
      const ControlNode &Node = *W->Controls.at(Host).Node;
      Linked += Node.linkedDaemons().size();
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Node.daemonsBehind());
    }
    CPPUNIT_ASSERT_EQUAL(W->Daemons.size(), Linked);
  }

  /// Guards against a refusal of an order that was committed, but whose answer
  /// was lost.
  void acknowledgesAnOrderAgain() {
    begin();
    const Evacuations First = accepted("a", true);
    CPPUNIT_ASSERT(accepted("a", true) == First);
    const EvacuationOrder Same{"a", true, LastId};
    const PendingResult Again = W->order(W->leaderName(), Same);
    W->run(500ms);
    CPPUNIT_ASSERT(acknowledged(Again) && *acknowledged(Again) == First);
  }

  void redirectsToTheLeader() {
    begin();
    const PendingResult Result = order(follower(), "a", true);
    W->run(100ms);
    CPPUNIT_ASSERT(*Result && **Result == EvacuationResult{RedirectToLeader{
                                              W->leaderName()}});
    W->run(1s);
    assertEverywhere({}, "redirected");
  }

  /// Guards against openings to an evacuated data centre after a loss of power,
  /// and against snapshots without the evacuations or without the routes.
  void survivesARestartOfAllHosts() {
    for (const std::uint64_t Versions :
         {std::uint64_t{0}, 2 * LogEntriesPerSnapshot}) {
      begin();
      accepted("b", true);
      const Evacuations InForce = accepted("a", true);
      for (std::uint64_t V = 1; V <= Versions; ++V) {
        W->submit(W->leaderName(), V, "d");
        W->run(50ms);
      }
      restartControls();
      startDaemons();
      W->run(3s);
      assertEverywhere(InForce, std::to_string(Versions));
      CPPUNIT_ASSERT_EQUAL(Versions, W->leader()->version());
      for (const auto &[Host, D] : W->Daemons)
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, D.Evacuated.size());
    }
  }

  /// Guards against evacuations that a host with an empty disk doesn't learn,
  /// or makes the others forget.
  void survivesALostDisk() {
    begin();
    const Evacuations InForce = accepted("a", true);
    const Names Victims = {follower(), W->leaderName()};
    for (const std::string &Lost : Victims) {
      W->kill(Lost);
      W->Controls.at(Lost).Disk = std::make_shared<FakeDisk>();
      W->Controls.at(Lost).Agents.clear();
      W->startControl(Lost, false);
      W->run(10s);
      assertEverywhere(InForce, Lost);
    }
  }

  /// Guards against a leader that leads on although it can't write.
  void acknowledgesAfterAFullDisk() {
    begin();
    startDaemons();
    const std::string Full = W->leaderName();
    W->Controls.at(Full).Disk->Full = true;
    const PendingResult Result = order(Full, "a", true);
    W->run(1s);
    CPPUNIT_ASSERT(*Result && !acknowledged(Result));
    W->run(2s);
    CPPUNIT_ASSERT(W->leaderName() != Full);
    assertInForceInTime(W->leaderName());
  }

  /// Guards against daemons that stay with a follower which can't write, and so
  /// applies nothing, but still hears from the leader.
  void reachesDaemonsOfAFollowerWithAFullDisk() {
    for (const bool RefusesAll : {false, true}) {
      begin();
      startDaemons();
      submitRoutes(1, {});
      const std::string Full = follower();
      CPPUNIT_ASSERT(isLinked(Full));
      W->Controls.at(Full).Disk->Full = true;
      W->Controls.at(Full).Disk->RefusesAll = RefusesAll;
      assertInForceInTime(W->leaderName());
      CPPUNIT_ASSERT(W->Controls.at(Full).Node->evacuations() == Evacuations{});
    }
  }

  /// Guards against an acknowledgement of an order that the others don't have.
  void leaderWithoutAQuorumAcknowledgesNothing() {
    begin();
    const std::string CutOff = W->leaderName();
    W->CutOffHosts.insert(CutOff);
    const PendingResult Result = order(CutOff, "a", true);
    W->run(3s);
    CPPUNIT_ASSERT(*Result && !acknowledged(Result));
    const PendingResult Later = order(CutOff, "a", true);
    W->run(1s);
    CPPUNIT_ASSERT(*Later && std::holds_alternative<Unavailable>(**Later));
    W->CutOffHosts.clear();
    W->run(3s);
    assertEverywhere({}, "healed");
  }

  /// Guards against a starting daemon that gets an outdated state from a
  /// control host that is cut off.
  void hostWithoutAQuorumSendsNothing() {
    begin();
    submitRoutes(1, {});
    accepted("a", true);
    const std::string CutOff = follower();
    W->CutOffHosts.insert(CutOff);
    W->run(2s);
    accepted("a", false);
    W->CutOffHosts.insert("10.0.1.1");
    Daemon &D = W->startDaemon("10.0.1.1", Role::Entry);
    W->run(5s);
    CPPUNIT_ASSERT(D.Evacuated.empty());
    CPPUNIT_ASSERT(!D.Client->current());
  }

  /// Guards against daemons that stay for too long with a control host that is
  /// dead, silent, or cut off from the other control hosts only.
  void reachesDaemonsOfALostControlHost() {
    for (const bool LosesLeader : {false, true})
      for (const int Fault : {0, 1, 2}) {
        begin();
        startDaemons();
        const std::string Lost = LosesLeader ? W->leaderName() : follower();
        const std::string Other = LosesLeader ? follower() : W->leaderName();
        CPPUNIT_ASSERT(isLinked(Lost));
        if (Fault == 0)
          W->kill(Lost);
        else if (Fault == 1)
          W->CutOffHosts.insert(Lost);
        else
          for (const std::string &Host : ThreeHosts)
            W->CutPairs.insert({Lost, Host});
        assertInForceInTime(Other);
        CPPUNIT_ASSERT(!isLinked(Lost));
      }
  }

  /// Guards against a restarted entry host that is ready before it knows of an
  /// evacuation.
  void tellsARestartedDaemonBeforeItIsReady() {
    begin();
    submitRoutes(1, {});
    accepted("a", true);
    W->run(4s);
    for (int I = 0; I < 6; ++I) {
      const std::string Host = "10.0.1." + std::to_string(I);
      Daemon &D = W->startDaemon(Host, Role::Entry);
      for (int Step = 0; Step < 200 && !D.Client->current(); ++Step) {
        W->run(10ms);
        CPPUNIT_ASSERT(!D.Client->current() || holds(D, "a"));
      }
      CPPUNIT_ASSERT(D.Client->current());
    }
  }

  /// Guards against cold upstreams that agents don't limit, against agents that
  /// hold back openings because nobody told them that there is no limit, and
  /// against further messages in deployments without any.
  void sendsLimitsToAgents() {
    begin();
    startDaemons();
    submitRoutes(1, {});
    submitRoutes(2, {});
    const std::vector<flow::ColdLimit> Limits = {{"s", 4s, 2.5}};
    submitRoutes(3, Limits);
    submitRoutes(4, Limits);
    submitRoutes(5, {});
    submitRoutes(6, {});
    for (const auto &[Host, D] : W->Daemons) {
      const bool IsAgent = Host.starts_with("10.0.2.");
      CPPUNIT_ASSERT_EQUAL(std::size_t{IsAgent ? 3U : 0U}, D.Limits.size());
      if (!IsAgent)
        continue;
      CPPUNIT_ASSERT((D.Limits[0] == ServiceLimits{1, {}}));
      CPPUNIT_ASSERT((D.Limits[1] == ServiceLimits{3, Limits}));
      CPPUNIT_ASSERT((D.Limits[2] == ServiceLimits{5, {}}));
    }
  }

  /// Guards against agents that take the announcements of services that nobody
  /// configured, or refuse those of a service that has just been added, also
  /// after a restart of the control hosts.
  void sendsServicesToAgents() {
    begin();
    startDaemons();
    submitRoutes(1, {}, {"s"});
    submitRoutes(2, {}, {"s"});
    submitRoutes(3, {}, {"s", "t"});
    restartControls();
    W->run(5s);
    submitRoutes(4, {}, {"s", "t"});
    submitRoutes(5, {}, {"t"});
    for (const auto &[Host, D] : W->Daemons) {
      const bool IsAgent = Host.starts_with("10.0.2.");
      CPPUNIT_ASSERT_EQUAL(std::size_t{IsAgent ? 3U : 0U}, D.Limits.size());
      if (!IsAgent)
        continue;
      CPPUNIT_ASSERT((D.Limits[0] == ServiceLimits{1, {}, {"s"}}));
      CPPUNIT_ASSERT((D.Limits[1] == ServiceLimits{3, {}, {"s", "t"}}));
      CPPUNIT_ASSERT((D.Limits[2] == ServiceLimits{5, {}, {"t"}}));
    }
  }

  /// Guards against an agent that keeps limits which were removed while it had
  /// no link: after a restart, control hosts don't know that there were any.
  void withdrawsLimitsThatAnAgentMissed() {
    begin();
    submitRoutes(1, {{"s", 4s, 2.5}});
    Daemon &D = W->startDaemon("10.0.2.1", Role::Agent);
    W->run(1s);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, D.Limits.size());
    W->CutOffHosts.insert("10.0.2.1");
    submitRoutes(2, {});
    restartControls();
    W->run(3s);
    W->CutOffHosts.clear();
    W->run(3s);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, D.Limits.size());
    CPPUNIT_ASSERT((D.Limits.back() == ServiceLimits{2, {}}));
  }

  /// Guards against states that differ between hosts, and against acknowledged
  /// orders without effect, after faults in an order that nobody thought of.
  void endsInOneStateAfterRandomInterleavings() {
    for (std::uint64_t Seed = 1; Seed <= 50; ++Seed)
      runInterleaving(Seed);
  }

private:
  void endFaults() {
    W->CutOffHosts.clear();
    W->CutPairs.clear();
    for (const std::string &Host : ThreeHosts) {
      W->Controls.at(Host).Disk->Full = false;
      W->resume(Host);
      if (!W->Controls.at(Host).Node)
        W->startControl(Host, false);
    }
  }

  /// Ends earlier faults and causes one at random.
  void disturb(std::mt19937_64 &Random) {
    const auto Number = [&Random](std::size_t Limit) {
      return std::uniform_int_distribution<std::size_t>(0, Limit - 1)(Random);
    };
    endFaults();
    const std::string &Host = ThreeHosts[Number(3)];
    const std::string &Other = ThreeHosts[Number(3)];
    const std::string Leader = W->leaderName();
    switch (Number(8)) {
    case 0:
      W->kill(Host);
      W->Controls.at(Host).Disk->crash(Random);
      break;
    case 1:
      restartControls();
      break;
    case 2:
      W->CutOffHosts.insert(Leader.empty() ? Host : Leader);
      break;
    case 3:
      W->CutPairs.insert({Host, Other});
      break;
    case 4:
      W->PausedHosts.insert(Host);
      break;
    case 5:
      W->breakLink(Host, Number(8));
      break;
    case 6:
      W->Controls.at(Host).Disk->Full = true;
      break;
    default:
      break;
    }
  }

  void runInterleaving(std::uint64_t Seed) {
    const std::string Name = "seed " + std::to_string(Seed);
    std::mt19937_64 Random(Seed);
    const auto Number = [&Random](std::size_t Limit) {
      return std::uniform_int_distribution<std::size_t>(0, Limit - 1)(Random);
    };
    begin();
    startDaemons();
    EvacuationOperator Operator(*W, Random);
    const Names DataCentres = {"a", "b", "c"};
    for (int Step = 0; Step < 300; ++Step) {
      if (Step % 25 == 0)
        disturb(Random);
      if (!Operator.busy()) {
        const std::size_t Place = Number(DataCentres.size());
        const bool Evacuate = Number(2) == 0;
        Operator.start(DataCentres[Place], Evacuate);
      }
      W->run(std::chrono::milliseconds(10 * (1 + Number(6))));
      const bool Lost = Number(4) == 0;
      if (Number(4) == 0)
        Operator.giveUp();
      Operator.proceed(Lost);
    }
    endFaults();
    for (int I = 0; I < 120 && Operator.busy(); ++I) {
      W->run(50ms);
      Operator.proceed(false);
    }
    CPPUNIT_ASSERT_MESSAGE(Name, !Operator.busy());
    W->run(EvacuationBound);
    CPPUNIT_ASSERT_MESSAGE(Name, W->leader());
    const Evacuations InForce = W->leader()->evacuations();
    Operator.assertAgrees(InForce, Name);
    assertEverywhere(InForce, Name);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetEvacuationTest);

} // namespace
