#include "jasminearch/routing/entry_router.h"
#include <cppunit/extensions/HelperMacros.h>
#include <set>

using namespace jasminearch;
using namespace jasminearch::control;
using namespace jasminearch::routing;

namespace {

constexpr Endpoint OrderAddress{0x7F000A01, 5683};
constexpr Endpoint CatalogueAddress{0x7F000A02, 5683};
constexpr Endpoint Tunnel{0x7F001401, 7000};
constexpr ServiceId Order{1};
constexpr ServiceId Catalogue{2};

Endpoint caller(std::uint32_t Number) {
  return {0x0A000000 + Number / 1'000,
          static_cast<std::uint16_t>(20'000 + Number % 1'000)};
}

void addUpstream(Configuration &Config, std::uint32_t Id, ServiceId Service) {
  Upstream U;
  U.Id = {Id};
  U.Service = Service;
  U.Agent = {0x7F001E00 + Id, 7100};
  U.Instance = {std::uint64_t{10} * Id};
  U.Phase = UpstreamPhase::Active;
  U.Changed = Config.InForce;
  Config.Upstreams[U.Id] = U;
}

/// Gives the buckets of a service to \p Owners in turn.
void fillTable(Configuration &Config, ServiceId Service,
               const std::vector<std::uint32_t> &Owners) {
  BucketTable &Table = Config.Tables[Service];
  Table.Service = Service;
  Table.Changed = Config.InForce;
  Table.Buckets.resize(BucketsPerService);
  for (std::size_t I = 0; I < BucketsPerService; ++I)
    Table.Buckets[I].Owner = {Owners[I % Owners.size()]};
}

/// Order has upstreams 1 to 3, catalogue 4 and 5.
Configuration sampleConfig() {
  Configuration Config;
  Config.InForce = {100};
  Config.Services[Order] = {Order, "order", OrderAddress, "lines", {100}};
  Config.Services[Catalogue] = {
      Catalogue, "catalogue", CatalogueAddress, "sheets", {100}};
  for (std::uint32_t Id = 1; Id <= 5; ++Id)
    addUpstream(Config, Id, Id <= 3 ? Order : Catalogue);
  fillTable(Config, Order, {1, 2, 3});
  fillTable(Config, Catalogue, {4, 5});
  return Config;
}

using Shared = std::shared_ptr<const RoutingSnapshot>;

Shared routingOf(const Configuration &Config, const Shared &Before = nullptr) {
  const auto Result = buildRoutingSnapshot(Before, Config);
  CPPUNIT_ASSERT(Result.has_value());
  return *Result;
}

ForwardDecision forwardFrom(const Shared &Routing, std::uint32_t Caller,
                            Endpoint To = OrderAddress) {
  return decideForward(*Routing, {caller(Caller), To}, Tunnel, {7});
}

/// Changes a phase as the control hosts do, at the next revision.
void setPhase(Configuration &Config, std::uint32_t Id, UpstreamPhase Phase) {
  ++Config.InForce.Number;
  Config.Upstreams[{Id}].Phase = Phase;
  Config.Upstreams[{Id}].Changed = Config.InForce;
}

wire::FrameHeader answerFrame() {
  wire::FrameHeader Frame;
  Frame.Kind = wire::FrameKind::Answer;
  Frame.Service = Order;
  Frame.InForce = {100};
  Frame.Upstream = {2};
  Frame.Instance = {20};
  Frame.Caller = caller(5);
  Frame.ServiceAddress = OrderAddress;
  return Frame;
}

class EntryRouterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EntryRouterTest);
  CPPUNIT_TEST(forwardsToTheOwnerOfTheBucket);
  CPPUNIT_TEST(spreadsCallersOverBuckets);
  CPPUNIT_TEST(keepsTheHashOfCallers);
  CPPUNIT_TEST(agreesBetweenHostsHoweverTheyGotThere);
  CPPUNIT_TEST(dropsUnknownAddresses);
  CPPUNIT_TEST(dropsWithoutAnUpstream);
  CPPUNIT_TEST(neverChoosesALeavingUpstream);
  CPPUNIT_TEST(keepsLinesOfAServiceThatDrainsAsAWhole);
  CPPUNIT_TEST(namesEarlierOwnersInOrder);
  CPPUNIT_TEST(dropsAnUpstreamThatChangedService);
  CPPUNIT_TEST(followsAReusedAddress);
  CPPUNIT_TEST(servesOneOfTwoServicesWithOneAddress);
  CPPUNIT_TEST(refusesOlderConfigurations);
  CPPUNIT_TEST(rebuildsOnlyWhatChanged);
  CPPUNIT_TEST(answersFromTheAddressOfTheService);
  CPPUNIT_TEST(refusesAnswersOfOthers);
  CPPUNIT_TEST(numbersDatagramsApart);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against frames that an agent can't check or answer.
  void forwardsToTheOwnerOfTheBucket() {
    const Configuration Config = sampleConfig();
    const Shared Routing = routingOf(Config);
    for (std::uint32_t I = 0; I < 2'000; ++I) {
      const ForwardDecision Choice = forwardFrom(Routing, I);
      const UpstreamId Owner =
          Config.Tables.at(Order).Buckets[bucketOf(caller(I))].Owner;
      CPPUNIT_ASSERT(Choice.Failure == ErrorCode{});
      CPPUNIT_ASSERT(Choice.Header.Upstream == Owner);
      CPPUNIT_ASSERT(Choice.Agent == Config.Upstreams.at(Owner).Agent);
      CPPUNIT_ASSERT(Choice.Header.Instance ==
                     Config.Upstreams.at(Owner).Instance);
      CPPUNIT_ASSERT(Choice.Header.Kind == wire::FrameKind::Forward);
      CPPUNIT_ASSERT(Choice.Header.Service == Order);
      CPPUNIT_ASSERT(Choice.Header.InForce == Config.InForce);
      CPPUNIT_ASSERT(Choice.Header.Caller == caller(I));
      CPPUNIT_ASSERT(Choice.Header.ServiceAddress == OrderAddress);
      CPPUNIT_ASSERT(Choice.Header.Return == Tunnel);
      CPPUNIT_ASSERT(Choice.Header.Trace == TraceId{7});
      CPPUNIT_ASSERT(Choice.Header.CandidateCount == 0);
    }
  }

  /// Guards against a hash that favours some buckets: neighbouring ports and
  /// addresses are the usual callers. A bucket gets 200 callers on average and
  /// deviates by 14 (standard deviation), so 100 is seven deviations.
  void spreadsCallersOverBuckets() {
    std::vector<int> Load(BucketsPerService);
    for (std::uint32_t I = 0; I < 200 * BucketsPerService; ++I)
      ++Load[bucketOf(caller(I))];
    for (const int Callers : Load)
      CPPUNIT_ASSERT(Callers > 100 && Callers < 300);
  }

  /// Guards against a change of the hash between versions: during an upgrade,
  /// entry hosts of both versions would send a caller to different agents. The
  /// numbers were recorded from the first version.
  void keepsTheHashOfCallers() {
    CPPUNIT_ASSERT_EQUAL(std::size_t{41}, bucketOf({0x0A000001, 40'000}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{408}, bucketOf({0xC0A80102, 5'683}));
  }

  /// Guards against hosts that choose differently at one revision, one fresh
  /// and one that went through all changes.
  void agreesBetweenHostsHoweverTheyGotThere() {
    Configuration Config = sampleConfig();
    Shared Old = routingOf(Config);
    const auto Step = [&](std::uint32_t Id, UpstreamPhase Phase) {
      setPhase(Config, Id, Phase);
      Old = routingOf(Config, Old);
      const Shared Fresh = routingOf(Config);
      for (std::uint32_t I = 0; I < 2'000; ++I) {
        const ForwardDecision One = forwardFrom(Old, I);
        const ForwardDecision Other = forwardFrom(Fresh, I);
        CPPUNIT_ASSERT(One.Header == Other.Header);
        CPPUNIT_ASSERT(One.Agent == Other.Agent);
      }
    };
    Step(2, UpstreamPhase::Draining);
    Step(1, UpstreamPhase::Lost);
    Step(2, UpstreamPhase::Lost);
    Step(2, UpstreamPhase::Cold);
  }

  /// Guards against a datagram that reaches an upstream nobody addressed.
  void dropsUnknownAddresses() {
    const Shared Routing = routingOf(sampleConfig());
    const Endpoint OtherPort{OrderAddress.Address, 5684};
    for (const Endpoint To : {Endpoint{0x7F000AFF, 5683}, OtherPort}) {
      const ForwardDecision Choice = forwardFrom(Routing, 1, To);
      CPPUNIT_ASSERT(Choice.Failure == ErrorCode::UnknownServiceAddress);
    }
    const ForwardDecision Empty =
        decideForward(RoutingSnapshot{}, {caller(1), OrderAddress}, Tunnel, {});
    CPPUNIT_ASSERT(Empty.Failure == ErrorCode::UnknownServiceAddress);
  }

  /// Guards against a choice made from a table without living upstreams.
  void dropsWithoutAnUpstream() {
    Configuration Config = sampleConfig();
    for (std::uint32_t Id = 1; Id <= 3; ++Id)
      setPhase(Config, Id, UpstreamPhase::Lost);
    const ForwardDecision Choice = forwardFrom(routingOf(Config), 1);
    CPPUNIT_ASSERT(Choice.Failure == ErrorCode::NoUpstream);
    CPPUNIT_ASSERT(Choice.Header.Service == Order);
    CPPUNIT_ASSERT(
        forwardFrom(routingOf(Config), 1, CatalogueAddress).Failure ==
        ErrorCode{});
    Config.Upstreams.clear();
    CPPUNIT_ASSERT(forwardFrom(routingOf(Config), 1).Failure ==
                   ErrorCode::NoUpstream);
  }

  /// Guards against new work for a draining or lost upstream while the table
  /// still names it (promise 6). Its buckets must spread over the others.
  void neverChoosesALeavingUpstream() {
    for (const auto Phase : {UpstreamPhase::Draining, UpstreamPhase::Lost}) {
      Configuration Config = sampleConfig();
      setPhase(Config, 2, Phase);
      const Shared Routing = routingOf(Config);
      std::set<std::uint32_t> Substitutes;
      for (std::uint32_t I = 0; I < 2'000; ++I) {
        const ForwardDecision Choice = forwardFrom(Routing, I);
        const std::uint32_t Owner =
            Config.Tables.at(Order).Buckets[bucketOf(caller(I))].Owner.Number;
        const std::uint32_t Chosen = Choice.Header.Upstream.Number;
        CPPUNIT_ASSERT(Choice.Failure == ErrorCode{});
        CPPUNIT_ASSERT(Chosen != 2);
        CPPUNIT_ASSERT(Owner == 2 || Chosen == Owner);
        if (Owner != 2)
          continue;
        Substitutes.insert(Chosen);
        // The agent of the substitute must find lines at a draining owner;
        // those of a lost one are gone.
        const bool Draining = Phase == UpstreamPhase::Draining;
        CPPUNIT_ASSERT_EQUAL(Draining ? 1 : 0,
                             static_cast<int>(Choice.Header.CandidateCount));
        CPPUNIT_ASSERT(!Draining ||
                       Choice.Header.Candidates[0] == UpstreamId{2});
      }
      CPPUNIT_ASSERT((Substitutes == std::set<std::uint32_t>{1, 3}));
    }
  }

  /// Guards against lines cut off by a planned drain of all upstreams of a
  /// service (promise 1): only then does a draining owner get datagrams, and
  /// its agent refuses new work.
  void keepsLinesOfAServiceThatDrainsAsAWhole() {
    Configuration Config = sampleConfig();
    for (std::uint32_t Id = 1; Id <= 3; ++Id)
      setPhase(Config, Id, UpstreamPhase::Draining);
    setPhase(Config, 3, UpstreamPhase::Lost);
    const Shared Routing = routingOf(Config);
    for (std::uint32_t I = 0; I < 2'000; ++I) {
      const UpstreamId Owner =
          Config.Tables.at(Order).Buckets[bucketOf(caller(I))].Owner;
      const ForwardDecision Choice = forwardFrom(Routing, I);
      if (Owner == UpstreamId{3})
        CPPUNIT_ASSERT(Choice.Failure == ErrorCode::NoUpstream);
      else
        CPPUNIT_ASSERT(Choice.Header.Upstream == Owner);
    }
  }

  /// Guards against a successor that doesn't know whom to ask for a flow.
  void namesEarlierOwnersInOrder() {
    Configuration Config = sampleConfig();
    addUpstream(Config, 6, Order);
    for (Bucket &B : Config.Tables[Order].Buckets)
      B = {{1}, {UpstreamId{2}, UpstreamId{3}}};
    const auto Candidates = [&] {
      const ForwardDecision Choice = forwardFrom(routingOf(Config), 1);
      std::vector<std::uint32_t> Ids;
      for (std::size_t I = 0; I < Choice.Header.CandidateCount; ++I)
        Ids.push_back(Choice.Header.Candidates[I].Number);
      return Ids;
    };
    using Ids = std::vector<std::uint32_t>;
    CPPUNIT_ASSERT((Candidates() == Ids{2, 3}));
    setPhase(Config, 3, UpstreamPhase::Draining);
    CPPUNIT_ASSERT((Candidates() == Ids{2, 3}));
    setPhase(Config, 2, UpstreamPhase::Draining);
    setPhase(Config, 1, UpstreamPhase::Draining);
    CPPUNIT_ASSERT((Candidates() == Ids{1, 2, 3}));
    setPhase(Config, 2, UpstreamPhase::Lost);
    CPPUNIT_ASSERT((Candidates() == Ids{1, 3}));
    Config.Upstreams[{3}].Service = Catalogue;
    CPPUNIT_ASSERT((Candidates() == Ids{1}));
  }

  /// Guards against delivery to another service (promise 2): a table that is
  /// older than the move of its upstream must not be followed.
  void dropsAnUpstreamThatChangedService() {
    Configuration Config = sampleConfig();
    const Shared Before = routingOf(Config);
    ++Config.InForce.Number;
    Config.Upstreams[{2}].Service = Catalogue;
    Config.Upstreams[{2}].Changed = Config.InForce;
    const Shared Routing = routingOf(Config, Before);
    for (std::uint32_t I = 0; I < 2'000; ++I) {
      const ForwardDecision Choice = forwardFrom(Routing, I);
      CPPUNIT_ASSERT(Choice.Failure == ErrorCode{});
      CPPUNIT_ASSERT(Choice.Header.Upstream != UpstreamId{2});
      CPPUNIT_ASSERT(Choice.Header.CandidateCount == 0);
    }
    wire::FrameHeader Late = answerFrame();
    CPPUNIT_ASSERT(decideAnswer(*Before, Late).Failure == ErrorCode{});
    CPPUNIT_ASSERT(decideAnswer(*Routing, Late).Failure ==
                   ErrorCode::WrongUpstream);
  }

  /// Guards against traffic and late answers of a service whose address
  /// another service has taken over.
  void followsAReusedAddress() {
    Configuration Config = sampleConfig();
    const Shared Before = routingOf(Config);
    ++Config.InForce.Number;
    Config.Services[Order].Address = {0x7F000A03, 5683};
    Config.Services[Order].Changed = Config.InForce;
    Config.Services[Catalogue].Address = OrderAddress;
    Config.Services[Catalogue].Changed = Config.InForce;
    const Shared Routing = routingOf(Config, Before);
    CPPUNIT_ASSERT(forwardFrom(Routing, 1).Header.Service == Catalogue);
    CPPUNIT_ASSERT(forwardFrom(Routing, 1, CatalogueAddress).Failure ==
                   ErrorCode::UnknownServiceAddress);
    CPPUNIT_ASSERT(decideAnswer(*Routing, answerFrame()).Failure ==
                   ErrorCode::UnknownServiceAddress);
  }

  /// Guards against answers of a second service under an address whose
  /// datagrams go to the first.
  void servesOneOfTwoServicesWithOneAddress() {
    Configuration Config = sampleConfig();
    Config.Services[Catalogue].Address = OrderAddress;
    const Shared Routing = routingOf(Config);
    CPPUNIT_ASSERT(forwardFrom(Routing, 1).Header.Service == Order);
    wire::FrameHeader Frame = answerFrame();
    Frame.Service = Catalogue;
    Frame.Upstream = {4};
    CPPUNIT_ASSERT(decideAnswer(*Routing, Frame).Failure ==
                   ErrorCode::UnknownService);
  }

  /// Guards against a configuration that reverts (promise 8).
  void refusesOlderConfigurations() {
    Configuration Config = sampleConfig();
    const Shared Current = routingOf(Config);
    Config.InForce = {99};
    const auto Older = buildRoutingSnapshot(Current, Config);
    CPPUNIT_ASSERT(!Older && Older.error().Code == ErrorCode::StaleRevision);
    Config.InForce = {100};
    Config.Services.clear();
    CPPUNIT_ASSERT(*buildRoutingSnapshot(Current, Config) == Current);
  }

  /// Guards against both a stale route and a rebuild of thousands of services
  /// for one change.
  void rebuildsOnlyWhatChanged() {
    Configuration Config = sampleConfig();
    const Shared Before = routingOf(Config);
    setPhase(Config, 2, UpstreamPhase::Draining);
    const Shared After = routingOf(Config, Before);
    CPPUNIT_ASSERT(After->InForce == Config.InForce);
    CPPUNIT_ASSERT(After->ById.at(Order) != Before->ById.at(Order));
    CPPUNIT_ASSERT(After->ById.at(Catalogue) == Before->ById.at(Catalogue));
    // An upstream that left while another joined keeps the number.
    ++Config.InForce.Number;
    Config.Upstreams.erase({4});
    addUpstream(Config, 9, Catalogue);
    const Shared Last = routingOf(Config, After);
    CPPUNIT_ASSERT(*Last->ById.at(Catalogue) ==
                   *routingOf(Config)->ById.at(Catalogue));
    CPPUNIT_ASSERT(Last->ById.at(Order) == After->ById.at(Order));
  }

  /// Guards against answers that a caller's socket wouldn't match.
  void answersFromTheAddressOfTheService() {
    const Shared Routing = routingOf(sampleConfig());
    const AnswerDecision Answer = decideAnswer(*Routing, answerFrame());
    CPPUNIT_ASSERT(Answer.Failure == ErrorCode{});
    CPPUNIT_ASSERT(Answer.Header.Source == OrderAddress);
    CPPUNIT_ASSERT(Answer.Header.Destination == caller(5));
    CPPUNIT_ASSERT(Answer.Service == Order);
  }

  /// Guards against answers of the wrong service, upstream or kind.
  void refusesAnswersOfOthers() {
    const Shared Routing = routingOf(sampleConfig());
    const auto Failure = [&](auto &&Change) {
      wire::FrameHeader Frame = answerFrame();
      Change(Frame);
      return decideAnswer(*Routing, Frame).Failure;
    };
    CPPUNIT_ASSERT(Failure([](auto &F) { F.Service = {9}; }) ==
                   ErrorCode::UnknownService);
    CPPUNIT_ASSERT(Failure([](auto &F) { F.Upstream = {4}; }) ==
                   ErrorCode::WrongUpstream);
    CPPUNIT_ASSERT(Failure([](auto &F) { F.Upstream = {77}; }) ==
                   ErrorCode::WrongUpstream);
    CPPUNIT_ASSERT(Failure([](auto &F) { F.ServiceAddress.Port = 1; }) ==
                   ErrorCode::UnknownServiceAddress);
    CPPUNIT_ASSERT(Failure([](auto &F) {
                     F.Kind = wire::FrameKind::Forward;
                   }) == ErrorCode::FrameMalformed);
    // A new upstream answers before this host has its configuration.
    CPPUNIT_ASSERT(Failure([](auto &F) {
                     F.Upstream = {77};
                     F.InForce = {101};
                   }) == ErrorCode{});
  }

  /// Guards against one number for two datagrams of two hosts, or of one host
  /// before and after a restart.
  void numbersDatagramsApart() {
    std::set<std::uint64_t> Seen;
    for (const char *Host : {"entry-1", "entry-2"})
      for (const std::uint64_t Run : {1, 2}) {
        TraceIdGenerator Source = makeTraceIdGenerator(Host, Run);
        for (int I = 0; I < 1'000; ++I)
          Seen.insert(nextTraceId(Source).Number);
      }
    CPPUNIT_ASSERT_EQUAL(std::size_t{4'000}, Seen.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryRouterTest);

} // namespace
