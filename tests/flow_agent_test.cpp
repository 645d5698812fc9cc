#include "flow_support.h"
#include <cppunit/extensions/HelperMacros.h>

using namespace jasminearch;
using namespace jasminearch::flow;
using namespace jasminearch::flow::test;
using namespace std::chrono_literals;

namespace {

constexpr Endpoint EntryHost{0x0A010064, 7720};

class AgentFlowsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AgentFlowsTest);
  CPPUNIT_TEST(deliversOnlyForItsService);
  CPPUNIT_TEST(declinesOpeningsOnceDraining);
  CPPUNIT_TEST(keepsFlowsOfADrainingUpstream);
  CPPUNIT_TEST(declinesWhenTheUpstreamIsNotHeard);
  CPPUNIT_TEST(ignoresOutdatedAnnouncements);
  CPPUNIT_TEST(forgetsFlowsOfAnEarlierStart);
  CPPUNIT_TEST(sendsReturnedPacketsBackUnmarked);
  CPPUNIT_TEST(dropsPacketsThatAnEarlierRunTagged);
  CPPUNIT_TEST(answersLocateTruthfully);
  CPPUNIT_TEST(knowsAllFlowsOfAnUpstreamThatItSawStart);
  CPPUNIT_TEST(tellsWhoAskedOnceTheUpstreamAnswers);
  CPPUNIT_TEST(returnsPacketsOfALostUpstream);
  CPPUNIT_TEST(answersForAnUpstreamThatNeverCame);
  CPPUNIT_TEST(knowsThatNothingListensBeforeTheFirstAnnouncement);
  CPPUNIT_TEST(returnsPacketsOnceNothingListens);
  CPPUNIT_TEST(signsOfLifeOutweighARefusedCheck);
  CPPUNIT_TEST(checksOnlyUpstreamsThatListen);
  CPPUNIT_TEST(listsAllFlowsInParts);
  CPPUNIT_TEST(listsWithoutCertaintyAfterARestart);
  CPPUNIT_TEST(servesWhatCanBeOnTimeFirst);
  CPPUNIT_TEST(givesUpWhatComesLast);
  CPPUNIT_TEST(silenceCountsOnlyUnansweredPackets);
  CPPUNIT_TEST(letsOpeningsWaitForRoom);
  CPPUNIT_TEST(returnsWaitingOpeningsWhenTheUpstreamDrains);
  CPPUNIT_TEST(declinesWhatWouldWaitTooLong);
  CPPUNIT_TEST(dropsOpeningsThatCallersGaveUp);
  CPPUNIT_TEST(freesRoomOfRequestsThatWereGivenUp);
  CPPUNIT_TEST(servesAgainAfterCallersGaveUp);
  CPPUNIT_TEST(copiesBehindTheResponseTakeNoRoom);
  CPPUNIT_TEST(countsTheNextRequestAcrossTheWrapOfSequences);
  CPPUNIT_TEST(takesNothingNewWhileStopping);
  CPPUNIT_TEST(countsWhatItCannotRead);
  CPPUNIT_TEST_SUITE_END();

  AgentFlows A;
  AgentEffects Out;
  TimePoint Now = TimePoint(1h);
  std::uint64_t Number = 0;

  AnnouncedUpstream announced(UpstreamState State = UpstreamState::Ready) {
    AnnouncedUpstream U;
    U.Name = "i-1";
    U.Service = "orders";
    U.State = State;
    U.Slots = 2;
    U.Number = ++Number;
    U.StartedAtMs = 1000;
    return U;
  }

  /// Begins with an agent that restarted beside a running upstream, or with one
  /// that has heard its first announcement.
  void begin(bool SawStart = false) {
    A = {};
    A.Options.RunId = 0xBEEF;
    A.Options.Codec = codec();
    A.Options.ListensWhileRunning = true;
    A.StartedAt = Now;
    Number = SawStart ? 0 : 5;
    announce(A, announced(), Now);
    Out.clear();
  }

  void forward(const WirePacket &P, const std::string &Service = "orders") {
    Out.clear();
    onTunnel(
        A, EntryHost,
        encodeTunnel({TunnelKind::Forward, Holding::No, serviceTag(Service)},
                     encode(P)),
        Now, Out);
  }

  void upstreamSends(const WirePacket &P) {
    Out.clear();
    onUpstreamPacket(A, encode(P), Now, Out);
  }

  /// Opens a flow and leaves a request in flight on it.
  void busyFlow(std::uint16_t Port) {
    forward(opening(Port));
    upstreamSends(opening(Port));
    forward(data(Port));
  }

  std::vector<SentTunnel> sent(TunnelKind Kind) const {
    return tunnels<AgentEffects, ToEntry>(Out, Kind);
  }
  std::size_t delivered() const { return only<ToUpstream>(Out).size(); }

  std::vector<FlowListPart> listed(std::uint32_t Question) {
    Out.clear();
    onTunnel(A, EntryHost,
             encodeTunnel({TunnelKind::ListFlows, Holding::No, 0},
                          encodeFlowListRequest(Question)),
             Now, Out);
    std::vector<FlowListPart> Parts;
    for (const SentTunnel &Sent : sent(TunnelKind::FlowList))
      Parts.push_back(*decodeFlowList(Sent.Payload));
    return Parts;
  }

  /// Adds a waiting opening of a route with an objective of 300 ms.
  void wait(std::uint16_t Port, std::chrono::milliseconds Age,
            std::uint8_t Priority) {
    A.Waiting.push_back({{caller(Port), ServiceAddress},
                         EntryHost,
                         encode(opening(Port)),
                         Now - Age,
                         Now - Age + 300ms,
                         Priority});
  }

  Holding located(std::uint16_t Port) {
    Out.clear();
    onTunnel(A, EntryHost,
             encodeTunnel({TunnelKind::Locate, Holding::No, 0},
                          encodeFlowKeys({{caller(Port), ServiceAddress}})),
             Now, Out);
    return decodeLocations(sent(TunnelKind::Located).at(0).Payload)
        ->at(0)
        .Where;
  }

public:
  /// Guards against a packet for one service at the upstream of another.
  void deliversOnlyForItsService() {
    begin();
    forward(opening(1), "catalogue");
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, delivered());
    CPPUNIT_ASSERT(sent(TunnelKind::Returned).at(0).Header.Detail ==
                   Holding::NotReady);
    forward(opening(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, delivered());
  }

  /// Guards against new work at an upstream that leaves.
  void declinesOpeningsOnceDraining() {
    begin();
    announce(A, announced(UpstreamState::Draining), Now);
    forward(opening(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, delivered());
  }

  void keepsFlowsOfADrainingUpstream() {
    begin();
    busyFlow(1);
    announce(A, announced(UpstreamState::Draining), Now);
    forward(data(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, delivered());
  }

  /// Guards against an opening for an address that another service took over
  /// while the former upstream's announcements were still believed.
  void declinesWhenTheUpstreamIsNotHeard() {
    begin();
    Now += A.Options.Lease;
    forward(opening(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, delivered());
    announce(A, announced(), Now);
    forward(opening(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, delivered());
  }

  /// Guards against a late announcement that ends a drain or brings back an
  /// upstream that has crashed.
  void ignoresOutdatedAnnouncements() {
    begin();
    const AnnouncedUpstream Late = announced();
    announce(A, announced(UpstreamState::Draining), Now);
    CPPUNIT_ASSERT(announce(A, Late, Now) == AnnouncementResult::Outdated);
    AnnouncedUpstream Reborn = announced();
    Reborn.Name = "i-2";
    Reborn.Number = 0;
    Reborn.StartedAtMs = 2000;
    CPPUNIT_ASSERT(announce(A, Reborn, Now) == AnnouncementResult::Taken);
    AnnouncedUpstream Dead = announced();
    CPPUNIT_ASSERT(announce(A, Dead, Now) == AnnouncementResult::Outdated);
    CPPUNIT_ASSERT_EQUAL(std::string("i-2"), A.Upstream->Name);
  }

  void forgetsFlowsOfAnEarlierStart() {
    begin();
    busyFlow(1);
    CPPUNIT_ASSERT(located(1) == Holding::Yes);
    AnnouncedUpstream Again = announced();
    Again.StartedAtMs = 2000;
    announce(A, Again, Now);
    CPPUNIT_ASSERT(located(1) != Holding::Yes);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, A.InFlight);
  }

  /// Guards against a packet that reaches its next upstream changed.
  void sendsReturnedPacketsBackUnmarked() {
    begin();
    forward(data(1));
    WirePacket Returned = wire(only<ToUpstream>(Out).at(0).Raw);
    Returned.Returned = true;
    upstreamSends(Returned);
    const auto Back = sent(TunnelKind::Returned);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Back.size());
    CPPUNIT_ASSERT(Back.at(0).To == EntryHost);
    CPPUNIT_ASSERT(Back.at(0).Payload == encode(data(1)));
  }

  void dropsPacketsThatAnEarlierRunTagged() {
    begin();
    forward(data(1));
    WirePacket Returned = wire(only<ToUpstream>(Out).at(0).Raw);
    Returned.Returned = true;
    A.Options.RunId = 0xABCD;
    upstreamSends(Returned);
    CPPUNIT_ASSERT(sent(TunnelKind::Returned).empty());
  }

  void answersLocateTruthfully() {
    begin();
    CPPUNIT_ASSERT(located(1) == Holding::Unsure);
    busyFlow(1);
    CPPUNIT_ASSERT(located(1) == Holding::Yes);
    withdraw(A, "i-1");
    CPPUNIT_ASSERT(located(1) == Holding::No);
  }

  /// Guards against trying every flow of a lost upstream at all others.
  void knowsAllFlowsOfAnUpstreamThatItSawStart() {
    begin(true);
    CPPUNIT_ASSERT(located(1) == Holding::No);
    forward(data(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, delivered());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sent(TunnelKind::Returned).size());
    // The same after a restart of the upstream, but not after one that this
    // run only hears of later.
    AnnouncedUpstream Later = announced();
    Later.StartedAtMs = 2000;
    announce(A, Later, Now);
    CPPUNIT_ASSERT(located(1) == Holding::Unsure);
  }

  /// Guards against an entry host that keeps searching for a flow whose agent
  /// has restarted.
  void tellsWhoAskedOnceTheUpstreamAnswers() {
    begin();
    forward(data(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, delivered());
    WirePacket Answer = data(1);
    upstreamSends(Answer);
    CPPUNIT_ASSERT(
        decodeLocations(sent(TunnelKind::Located).at(0).Payload)->at(0).Where ==
        Holding::Yes);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, only<ToCaller>(Out).size());
    upstreamSends(Answer);
    CPPUNIT_ASSERT(sent(TunnelKind::Located).empty());
  }

  /// Guards against callers that wait for an upstream that has crashed.
  void returnsPacketsOfALostUpstream() {
    begin();
    busyFlow(1);
    Now += UpstreamGone;
    forward(data(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, delivered());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sent(TunnelKind::Returned).size());
  }

  /// Guards against searches that an agent without an upstream holds up.
  void answersForAnUpstreamThatNeverCame() {
    begin();
    A.Upstream.reset();
    CPPUNIT_ASSERT(located(1) == Holding::Unsure);
    Now += UpstreamAbsent;
    CPPUNIT_ASSERT(located(1) == Holding::No);
    forward(data(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sent(TunnelKind::Returned).size());
  }

  /// Guards against searches that wait 2 s for an agent whose upstream's
  /// process doesn't run.
  void knowsThatNothingListensBeforeTheFirstAnnouncement() {
    begin();
    A.Upstream.reset();
    tick(A, Now, Out);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, only<CheckListening>(Out).size());
    CPPUNIT_ASSERT(!report(A, Now).HoldsNothing);
    CPPUNIT_ASSERT(onListenChecked(A, true));
    CPPUNIT_ASSERT(located(1) == Holding::No);
    CPPUNIT_ASSERT(report(A, Now).HoldsNothing);
    announce(A, announced(), Now);
    CPPUNIT_ASSERT(located(1) == Holding::Unsure);
    CPPUNIT_ASSERT(!report(A, Now).HoldsNothing);
  }

  /// Guards against callers that wait 3 s for an upstream that has crashed, and
  /// against checks of one that answers.
  void returnsPacketsOnceNothingListens() {
    begin();
    busyFlow(1);
    Now += UnansweredChecked - 1ms;
    Out.clear();
    tick(A, Now, Out);
    CPPUNIT_ASSERT(only<CheckListening>(Out).empty());
    Now += 1ms;
    tick(A, Now, Out);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, only<CheckListening>(Out).size());
    CPPUNIT_ASSERT(onListenChecked(A, true));
    forward(data(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, delivered());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sent(TunnelKind::Returned).size());
    forward(opening(2));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, delivered());
    CPPUNIT_ASSERT(report(A, Now).State == UpstreamState::Unknown);
  }

  /// Guards against giving up an upstream that answers or starts while a check
  /// is under way.
  void signsOfLifeOutweighARefusedCheck() {
    for (const bool Announces : {false, true}) {
      begin();
      busyFlow(1);
      Now += UnansweredChecked;
      tick(A, Now, Out);
      if (Announces)
        announce(A, announced(), Now);
      else
        upstreamSends(data(1));
      CPPUNIT_ASSERT(!onListenChecked(A, true));
      forward(data(1));
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, delivered());
    }
  }

  /// Guards against resets of live flows because an upstream has no TCP port,
  /// as in the soak's seed 1.
  void checksOnlyUpstreamsThatListen() {
    begin();
    A.Options.ListensWhileRunning = false;
    A.Upstream.reset();
    tick(A, Now, Out);
    CPPUNIT_ASSERT(only<CheckListening>(Out).empty());
  }

  /// Guards against lists that are cut off at the size of a datagram.
  void listsAllFlowsInParts() {
    begin(true);
    const auto Count = static_cast<std::uint16_t>(MaxFlowsPerDatagram + 1);
    for (std::uint16_t Port = 1; Port <= Count; ++Port) {
      A.ResponseTime = 1ms;
      forward(opening(Port));
      upstreamSends(opening(Port));
      A.RecentOpenings.clear();
    }
    const auto Parts = listed(77);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Parts.size());
    std::size_t Flows = 0;
    for (const FlowListPart &Part : Parts) {
      CPPUNIT_ASSERT_EQUAL(std::uint32_t{77}, Part.Question);
      CPPUNIT_ASSERT_EQUAL(std::uint16_t{2}, Part.Parts);
      CPPUNIT_ASSERT(Part.Others == Holding::No);
      Flows += Part.Flows.size();
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{Count}, Flows);
  }

  /// Guards against a list that denies flows which a restarted agent hasn't
  /// seen.
  void listsWithoutCertaintyAfterARestart() {
    begin();
    busyFlow(1);
    forward(data(2));
    const auto Parts = listed(1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Parts.size());
    CPPUNIT_ASSERT(Parts[0].Others == Holding::Unsure);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Parts[0].Flows.size());
    CPPUNIT_ASSERT(Parts[0].Flows[0].Flow.Caller == caller(1));
    CPPUNIT_ASSERT(Parts[0].Flows[0].Where == Holding::Yes);
  }

  /// Guards against an order in which openings that are late anyway delay those
  /// that could be on time.
  void servesWhatCanBeOnTimeFirst() {
    begin();
    A.ResponseTime = 50ms;
    wait(1, 1100ms, 2);
    wait(2, 700ms, 2);
    wait(3, 100ms, 2);
    wait(4, 0ms, 2);
    wait(5, 150ms, 1);
    std::vector<std::uint16_t> Order;
    while (!A.Waiting.empty()) {
      const std::size_t Next = nextWaiting(A, Now);
      Order.push_back(A.Waiting[Next].Flow.Caller.Port);
      A.Waiting.erase(A.Waiting.begin() + static_cast<std::ptrdiff_t>(Next));
    }
    const std::vector<std::uint16_t> Expected = {5, 4, 3, 1, 2};
    CPPUNIT_ASSERT(Order == Expected);
  }

  /// Guards against declining an urgent or fresh opening while late ones wait.
  void givesUpWhatComesLast() {
    begin();
    A.ResponseTime = 50ms;
    wait(1, 1100ms, 2);
    wait(2, 700ms, 2);
    wait(3, 600ms, 1);
    wait(4, 0ms, 2);
    CPPUNIT_ASSERT(A.Waiting[lastWaiting(A, Now)].Flow.Caller == caller(2));
  }

  /// Guards against calling an idle upstream silent, which keeps new flows away
  /// from it for good.
  void silenceCountsOnlyUnansweredPackets() {
    begin();
    WirePacket Acknowledgement = data(1);
    Acknowledgement.DataBytes = 0;
    forward(Acknowledgement);
    Now += 1s;
    CPPUNIT_ASSERT(report(A, Now).Silent == 0ms);
    forward(data(1));
    Now += 1s;
    CPPUNIT_ASSERT(report(A, Now).Silent == 1s);
    upstreamSends(data(1));
    CPPUNIT_ASSERT(report(A, Now).Silent == 0ms);
  }

  void letsOpeningsWaitForRoom() {
    begin();
    const auto Limit =
        static_cast<std::uint16_t>(A.Upstream->Slots * InFlightPerSlot);
    for (std::uint16_t Port = 1; Port <= Limit; ++Port)
      busyFlow(Port);
    Now += FirstRequestWait;
    Out.clear();
    tick(A, Now, Out);
    forward(opening(100));
    forward(opening(101));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, delivered());
    CPPUNIT_ASSERT(sent(TunnelKind::Returned).empty());
    forward(opening(100, 1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, A.Waiting.size());
    upstreamSends(data(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, delivered());
    CPPUNIT_ASSERT(wire(only<ToUpstream>(Out).at(0).Raw).Caller == caller(100));
  }

  /// Guards against openings that reach an upstream after its drain.
  void returnsWaitingOpeningsWhenTheUpstreamDrains() {
    letsOpeningsWaitForRoom();
    announce(A, announced(UpstreamState::Draining), Now);
    Out.clear();
    tick(A, Now, Out);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, delivered());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sent(TunnelKind::Returned).size());
    CPPUNIT_ASSERT(A.Waiting.empty());
  }

  void declinesWhatWouldWaitTooLong() {
    begin();
    A.ResponseTime = 300ms;
    std::uint16_t Port = 1;
    for (; Port < 200; ++Port) {
      forward(opening(Port));
      if (!sent(TunnelKind::Returned).empty())
        break;
    }
    // Rounds of 300 ms with four openings each: an eighteenth one would be
    // served after 1.35 s, when its caller has given it up.
    CPPUNIT_ASSERT_EQUAL(std::size_t{17}, A.Waiting.size());
    CPPUNIT_ASSERT(expectedWait(A) < OpeningPatience);
  }

  void dropsOpeningsThatCallersGaveUp() {
    letsOpeningsWaitForRoom();
    Now += OpeningPatience;
    announce(A, announced(), Now);
    Out.clear();
    tick(A, Now, Out);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, delivered());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, A.Counters.OpeningsExpired);
  }

  /// Guards against room that callers who gave up keep for ever.
  void freesRoomOfRequestsThatWereGivenUp() {
    begin();
    busyFlow(1);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, A.InFlight);
    Now += RequestForgotten;
    tick(A, Now, Out);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, A.InFlight);
  }

  /// Load: all callers of an upstream give up in one moment, as after a loss of
  /// all hosts, and leave requests behind that are never answered.
  void servesAgainAfterCallersGaveUp() {
    begin();
    const auto Limit =
        static_cast<std::uint16_t>(A.Upstream->Slots * InFlightPerSlot);
    for (std::uint16_t Port = 1; Port <= Limit; ++Port)
      busyFlow(Port);
    Now += RequestForgotten;
    announce(A, announced(), Now);
    Out.clear();
    tick(A, Now, Out);
    forward(opening(100));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, delivered());
    // The caller of an opening gives it up after 1.4 s.
    CPPUNIT_ASSERT(RequestForgotten < 1400ms);
  }

  /// Load: after a restart of all processes entry hosts send the packets that
  /// they held once more, so that copies of requests arrive behind the
  /// responses. They counted as in flight for a second and kept openings from
  /// upstreams that were idle.
  void copiesBehindTheResponseTakeNoRoom() {
    begin();
    const auto Limit =
        static_cast<std::uint16_t>(A.Upstream->Slots * InFlightPerSlot);
    for (std::uint16_t Port = 1; Port <= Limit; ++Port) {
      forward(data(Port));
      upstreamSends(data(Port));
      forward(data(Port));
    }
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, A.InFlight);
    forward(opening(100));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, delivered());
  }

  /// Guards against requests that aren't counted because an earlier one had a
  /// larger sequence.
  void countsTheNextRequestAcrossTheWrapOfSequences() {
    begin();
    WirePacket P = data(1);
    P.Sequence = 0xFFFFFFFA;
    forward(P);
    upstreamSends(data(1));
    P.Sequence = 4;
    forward(P);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, A.InFlight);
  }

  void takesNothingNewWhileStopping() {
    begin();
    busyFlow(1);
    stopAcceptingNewFlows(A);
    CPPUNIT_ASSERT(report(A, Now).State == UpstreamState::Unknown);
    forward(opening(2));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, delivered());
    forward(data(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, delivered());
  }

  void countsWhatItCannotRead() {
    begin();
    onTunnel(A, EntryHost, Bytes{9, 9}, Now, Out);
    onUpstreamPacket(A, Bytes{1}, Now, Out);
    onTunnel(A, EntryHost,
             encodeTunnel({TunnelKind::Locate, Holding::No, 0}, Bytes{1}), Now,
             Out);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, A.Counters.Malformed);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AgentFlowsTest);

} // namespace
