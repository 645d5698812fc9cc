#include "flow_support.h"
#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

using namespace jasminearch;
using namespace jasminearch::flow;
using namespace jasminearch::flow::test;
using namespace std::chrono_literals;

namespace {

class EntryFlowsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EntryFlowsTest);
  CPPUNIT_TEST(placesOnTheLeastLoaded);
  CPPUNIT_TEST(sendsCopiesToTheSameAgent);
  CPPUNIT_TEST(movesACopyWhenTheUpstreamIsSilent);
  CPPUNIT_TEST(offersADeclinedOpeningElsewhere);
  CPPUNIT_TEST(refusesOnceEveryUpstreamDeclined);
  CPPUNIT_TEST(refusesAtOnceWithoutUpstreams);
  CPPUNIT_TEST(findsAFlowThatAnotherHostPlaced);
  CPPUNIT_TEST(resetsAFlowThatNoUpstreamHolds);
  CPPUNIT_TEST(doesNotResetBeforeEveryAgentAnswered);
  CPPUNIT_TEST(asksASilentAgentAgain);
  CPPUNIT_TEST(endsASearchWhenAnAgentLeaves);
  CPPUNIT_TEST(doesNotWaitForAnAgentThatNeverReported);
  CPPUNIT_TEST(triesAgentsThatCannotTell);
  CPPUNIT_TEST(asksAgainWhenATriedUpstreamIsSilent);
  CPPUNIT_TEST(asksTheNextWaveAfterAReturn);
  CPPUNIT_TEST(searchesAgainAfterAReturn);
  CPPUNIT_TEST(looksForFlowsOfAnAgentThatIsGone);
  CPPUNIT_TEST(keepsFlowsWhereTheyAreWhenRoutesChange);
  CPPUNIT_TEST(resetsFlowsOfARemovedRoute);
  CPPUNIT_TEST(neverRevertsRoutes);
  CPPUNIT_TEST(holdsPacketsUntilAgentsHaveReported);
  CPPUNIT_TEST(placesWithoutAnAgentThatNeverReports);
  CPPUNIT_TEST(placesOneFlowForCopiesThatWaited);
  CPPUNIT_TEST(tellsAgentsAgeObjectiveAndPriority);
  CPPUNIT_TEST(resetsThousandsOfLostFlowsWithFewBytes);
  CPPUNIT_TEST(usesOnlyWholeAndRecentLists);
  CPPUNIT_TEST(asksAgentsOfAnUnknownServiceInTheirRank);
  CPPUNIT_TEST(sendsATriedPacketOnlyOnce);
  CPPUNIT_TEST(doesNotAskAnAgentThatHoldsNothing);
  CPPUNIT_TEST(countsWhatItCannotRead);
  CPPUNIT_TEST_SUITE_END();

  EntryFlows E;
  EntryEffects Out;
  TimePoint Now = TimePoint(1h);

  void begin(std::uint32_t Agents) {
    E = {};
    E.Codec = codec();
    setRoutes(E, std::make_shared<const RouteIndex>(routesTo("orders")));
    std::vector<Endpoint> Listed;
    for (std::uint32_t I = 1; I <= Agents; ++I)
      Listed.push_back(agentAt(I));
    addListedAgents(E, Listed, true, Now, Out);
    for (std::uint32_t I = 1; I <= Agents; ++I)
      load(I, readyReport("orders"));
    tick(E, Now, Out);
    flush(E, Now, Out);
    Out.clear();
  }

  void load(std::uint32_t Agent, const LoadReport &R) {
    onTunnel(E, agentAt(Agent), loadFrom(R), Now, Out);
  }

  void packet(const WirePacket &P) {
    Out.clear();
    onCallerPacket(E, encode(P), Now, Out);
    flush(E, Now, Out);
  }

  void answer(std::uint32_t Agent, std::uint16_t Port, Holding What) {
    Out.clear();
    onTunnel(
        E, agentAt(Agent),
        encodeTunnel({TunnelKind::Located, Holding::No, 0},
                     encodeLocations({{{caller(Port), ServiceAddress}, What}})),
        Now, Out);
    flush(E, Now, Out);
  }

  void giveBack(std::uint32_t Agent, const WirePacket &P,
                Holding Why = Holding::No) {
    Out.clear();
    onTunnel(E, agentAt(Agent),
             encodeTunnel({TunnelKind::Returned, Why, 0}, encode(P)), Now, Out);
    flush(E, Now, Out);
  }

  std::vector<SentTunnel> asked() const {
    return tunnels<EntryEffects, SendTunnel>(Out, TunnelKind::Locate);
  }

  std::vector<SentTunnel> listsAsked() const {
    return tunnels<EntryEffects, SendTunnel>(Out, TunnelKind::ListFlows);
  }

  void list(std::uint32_t Agent, const FlowListPart &Part) {
    onTunnel(E, agentAt(Agent),
             encodeTunnel({TunnelKind::FlowList, Holding::No, 0},
                          encodeFlowList(Part)),
             Now, Out);
  }

  /// Data of flows that this host doesn't know arrives in one batch.
  void lostFlows(std::uint16_t Count) {
    Out.clear();
    for (std::uint16_t Port = 1; Port <= Count; ++Port)
      onCallerPacket(E, encode(data(Port)), Now, Out);
    flush(E, Now, Out);
  }

  bool wasReset() const { return !only<SendReset>(Out).empty(); }

public:
  /// Guards against agents that can't tell fresh openings from late ones.
  void tellsAgentsAgeObjectiveAndPriority() {
    begin(1);
    RouteTable Table = routesTo("orders", 2);
    Table.Routes[0].LatencyObjective = 250ms;
    Table.Routes[0].Priority = 1;
    setRoutes(E, std::make_shared<const RouteIndex>(Table));
    packet(opening(1, 1));
    const TunnelHeader Sent = forwards(Out).at(0).Header;
    CPPUNIT_ASSERT(Sent.Age == 200ms);
    CPPUNIT_ASSERT(Sent.Objective == 250ms);
    CPPUNIT_ASSERT_EQUAL(1, int{Sent.Priority});
    // What an agent declines has waited there.
    load(2, readyReport("orders"));
    Now += 100ms;
    giveBack(1, opening(1, 1), Holding::NotReady);
    CPPUNIT_ASSERT(forwards(Out).at(0).Header.Age == 300ms);
  }

  /// Load: 1,000 flows whose upstreams lost power send data through one entry
  /// host at once, with 52 agents. Asked one by one, the questions alone take
  /// 0.7 s on a link of 7.3 Mbit/s.
  void resetsThousandsOfLostFlowsWithFewBytes() {
    constexpr std::uint32_t Agents = 52;
    constexpr std::uint16_t Flows = 1000;
    begin(Agents);
    lostFlows(Flows);
    std::size_t Bytes = 0;
    std::size_t Resets = 0;
    for (int Round = 0; Round < 10 && !Out.empty(); ++Round) {
      EntryEffects Sent;
      std::swap(Sent, Out);
      Resets += only<SendReset>(Sent).size();
      for (const SendTunnel &T : only<SendTunnel>(Sent))
        Bytes += T.Datagram.size();
      for (const SentTunnel &Ask :
           tunnels<EntryEffects, SendTunnel>(Sent, TunnelKind::ListFlows))
        list(Ask.To.Address - agentAt(0).Address,
             {*decodeFlowListRequest(Ask.Payload), 0, 1, Holding::No, {}});
      for (const SentTunnel &Ask :
           tunnels<EntryEffects, SendTunnel>(Sent, TunnelKind::Locate)) {
        std::vector<FlowLocation> Answers;
        const auto Asked = decodeFlowKeys(Ask.Payload);
        for (const FlowKey &Flow : *Asked)
          Answers.push_back({Flow, Holding::No});
        onTunnel(E, Ask.To,
                 encodeTunnel({TunnelKind::Located, Holding::No, 0},
                              encodeLocations(Answers)),
                 Now, Out);
      }
      flush(E, Now, Out);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{Flows}, Resets);
    // A tenth of a second on the link of an entry host of the grown sites.
    constexpr std::size_t LinkBytes = 7'300'000 / 8 / 10;
    CPPUNIT_ASSERT(Bytes <= LinkBytes);
  }

  /// Guards against resets of live flows by a list that is incomplete, that
  /// answers an earlier question, or that was asked for before the flow's
  /// search began.
  void usesOnlyWholeAndRecentLists() {
    constexpr std::uint16_t Flows = ListFromSearches;
    begin(1);
    lostFlows(Flows);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, listsAsked().size());
    const std::uint32_t Question =
        *decodeFlowListRequest(listsAsked().at(0).Payload);
    Out.clear();
    list(1, {Question, 0, 2, Holding::No, {}});
    list(1, {Question, 0, 2, Holding::No, {}});
    list(1, {Question + 1, 1, 2, Holding::No, {}});
    CPPUNIT_ASSERT(!wasReset());
    Now += 1ms;
    packet(data(Flows + 1));
    const FlowKey Held{caller(1), ServiceAddress};
    list(1, {Question, 1, 2, Holding::No, {{Held, Holding::Yes}}});
    CPPUNIT_ASSERT_EQUAL(std::size_t{Flows - 1}, only<SendReset>(Out).size());
    CPPUNIT_ASSERT(E.Flows.contains(Held));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, E.Searches.size());
  }

  /// Guards against searches that ask agents which have just restarted last:
  /// they don't know their upstream's service yet, and hold the flow as likely
  /// as before.
  void asksAgentsOfAnUnknownServiceInTheirRank() {
    constexpr std::uint32_t Agents = 3 * FirstWave;
    begin(Agents);
    packet(data(1));
    std::vector<Endpoint> Before;
    for (const SentTunnel &Ask : asked())
      Before.push_back(Ask.To);
    begin(Agents);
    for (const Endpoint &Agent : Before) {
      LoadReport R = readyReport("");
      R.State = UpstreamState::Unknown;
      load(Agent.Address - agentAt(0).Address, R);
    }
    packet(data(1));
    CPPUNIT_ASSERT_EQUAL(Before.size(), asked().size());
    for (const SentTunnel &Ask : asked())
      CPPUNIT_ASSERT(std::find(Before.begin(), Before.end(), Ask.To) !=
                     Before.end());
  }

  /// Guards against a second copy of a request for an upstream that has it.
  void sendsATriedPacketOnlyOnce() {
    begin(1);
    packet(data(1));
    answer(1, 1, Holding::Unsure);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, forwards(Out).size());
    packet(data(1, 8));
    answer(1, 1, Holding::Yes);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, forwards(Out).size());
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{8},
                         wire(forwards(Out).at(0).Payload).Acknowledged);
  }

  /// Guards against waiting for an agent that said that there is nothing to
  /// find, and ended.
  void doesNotAskAnAgentThatHoldsNothing() {
    begin(2);
    LoadReport R = readyReport("orders");
    R.State = UpstreamState::Unknown;
    R.HoldsNothing = true;
    load(2, R);
    packet(data(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, asked().size());
    answer(1, 1, Holding::No);
    CPPUNIT_ASSERT(wasReset());
  }

  /// Guards against placing by chance while upstreams differ in load.
  void placesOnTheLeastLoaded() {
    begin(3);
    load(1, readyReport("orders", 5));
    load(3, readyReport("orders", 3));
    packet(opening(1));
    CPPUNIT_ASSERT(forwards(Out).at(0).To == agentAt(2));
    CPPUNIT_ASSERT_EQUAL(serviceTag("orders"),
                         forwards(Out).at(0).Header.ServiceTag);
  }

  /// Guards against two half-open flows for every lost packet.
  void sendsCopiesToTheSameAgent() {
    begin(3);
    packet(opening(1));
    const Endpoint First = forwards(Out).at(0).To;
    for (std::uint32_t Copy = 1; Copy <= 2; ++Copy) {
      packet(opening(1, Copy));
      CPPUNIT_ASSERT(forwards(Out).at(0).To == First);
    }
  }

  /// Guards against openings that are lost with an upstream that hangs.
  void movesACopyWhenTheUpstreamIsSilent() {
    begin(2);
    packet(opening(1));
    const Endpoint First = forwards(Out).at(0).To;
    LoadReport Hangs = readyReport("orders");
    Hangs.Silent = SilentLimit;
    load(First == agentAt(1) ? 1 : 2, Hangs);
    packet(opening(1, 1));
    CPPUNIT_ASSERT(forwards(Out).at(0).To != First);
  }

  /// Guards against refusing a flow that another upstream could serve.
  void offersADeclinedOpeningElsewhere() {
    begin(2);
    packet(opening(1));
    const Endpoint First = forwards(Out).at(0).To;
    giveBack(First == agentAt(1) ? 1 : 2, opening(1), Holding::NotReady);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, forwards(Out).size());
    CPPUNIT_ASSERT(forwards(Out).at(0).To != First);
    CPPUNIT_ASSERT(!wasReset());
  }

  /// Guards against callers that wait for an answer that can't come.
  void refusesOnceEveryUpstreamDeclined() {
    begin(2);
    packet(opening(1));
    const Endpoint First = forwards(Out).at(0).To;
    giveBack(First == agentAt(1) ? 1 : 2, opening(1));
    giveBack(First == agentAt(1) ? 2 : 1, opening(1));
    CPPUNIT_ASSERT(wasReset());
    CPPUNIT_ASSERT(forwards(Out).empty());
  }

  void refusesAtOnceWithoutUpstreams() {
    begin(2);
    LoadReport Leaving = readyReport("orders");
    Leaving.State = UpstreamState::Draining;
    load(1, Leaving);
    load(2, readyReport("catalogue"));
    packet(opening(1));
    CPPUNIT_ASSERT(wasReset());
  }

  /// Guards against flows that break when another entry host gets their
  /// packets.
  void findsAFlowThatAnotherHostPlaced() {
    begin(3);
    packet(data(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, asked().size());
    CPPUNIT_ASSERT(!wasReset());
    answer(1, 1, Holding::Unsure);
    answer(2, 1, Holding::Yes);
    CPPUNIT_ASSERT(forwards(Out).at(0).To == agentAt(2));
    packet(data(1));
    CPPUNIT_ASSERT(forwards(Out).at(0).To == agentAt(2));
  }

  /// Guards against callers that wait until their deadline on a dead flow.
  void resetsAFlowThatNoUpstreamHolds() {
    begin(2);
    packet(data(1, 1234));
    answer(1, 1, Holding::No);
    CPPUNIT_ASSERT(!wasReset());
    answer(2, 1, Holding::No);
    CPPUNIT_ASSERT(wasReset());
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{1234},
                         only<SendReset>(Out).at(0).Value.Sequence);
  }

  /// Guards against resetting a live flow while its agent restarts.
  void doesNotResetBeforeEveryAgentAnswered() {
    begin(2);
    packet(data(1));
    answer(1, 1, Holding::No);
    Now += SearchLimit + 1ms;
    Out.clear();
    tick(E, Now, Out);
    flush(E, Now, Out);
    CPPUNIT_ASSERT(!wasReset());
    CPPUNIT_ASSERT(E.Searches.empty());
  }

  void asksASilentAgentAgain() {
    begin(2);
    packet(data(1));
    answer(1, 1, Holding::No);
    Now += AskInterval;
    Out.clear();
    tick(E, Now, Out);
    flush(E, Now, Out);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, asked().size());
    CPPUNIT_ASSERT(asked().at(0).To == agentAt(2));
    answer(2, 1, Holding::Yes);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, forwards(Out).size());
  }

  /// Guards against searches that wait for hosts that were taken away.
  void endsASearchWhenAnAgentLeaves() {
    begin(2);
    packet(data(1));
    answer(1, 1, Holding::No);
    E.Agents.erase(agentAt(2));
    Now += AskInterval;
    Out.clear();
    tick(E, Now, Out);
    flush(E, Now, Out);
    CPPUNIT_ASSERT(wasReset());
  }

  /// Guards against callers that wait while a list still names hosts that were
  /// taken away.
  void doesNotWaitForAnAgentThatNeverReported() {
    begin(1);
    addListedAgents(E, {agentAt(1), agentAt(2)}, true, Now, Out);
    packet(data(1));
    answer(1, 1, Holding::No);
    CPPUNIT_ASSERT(!wasReset());
    bool Ended = false;
    for (Duration Waited{}; Waited <= SearchLimit && !Ended; Waited += 50ms) {
      Now += 50ms;
      load(1, readyReport("orders"));
      Out.clear();
      tick(E, Now, Out);
      flush(E, Now, Out);
      Ended = wasReset();
    }
    CPPUNIT_ASSERT(Ended);
  }

  /// Guards against losing flows whose agent has restarted.
  void triesAgentsThatCannotTell() {
    begin(3);
    packet(data(1));
    answer(1, 1, Holding::Unsure);
    answer(2, 1, Holding::No);
    answer(3, 1, Holding::Unsure);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, forwards(Out).size());
    CPPUNIT_ASSERT(!wasReset());
    giveBack(1, data(1));
    CPPUNIT_ASSERT(!wasReset());
    answer(3, 1, Holding::Yes);
    packet(data(1));
    CPPUNIT_ASSERT(forwards(Out).at(0).To == agentAt(3));
  }

  /// Guards against a search that hangs on an agent whose upstream is gone.
  void asksAgainWhenATriedUpstreamIsSilent() {
    begin(1);
    packet(data(1));
    answer(1, 1, Holding::Unsure);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, forwards(Out).size());
    Now += MaxAskPause;
    load(1, readyReport("orders"));
    Out.clear();
    tick(E, Now, Out);
    flush(E, Now, Out);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, asked().size());
    answer(1, 1, Holding::No);
    CPPUNIT_ASSERT(wasReset());
  }

  /// Guards against a reset before all agents were asked.
  void asksTheNextWaveAfterAReturn() {
    constexpr std::uint32_t Agents = FirstWave + 1;
    begin(Agents);
    packet(data(1));
    const auto First = asked();
    CPPUNIT_ASSERT_EQUAL(FirstWave, First.size());
    for (const SentTunnel &Ask : First) {
      const std::uint32_t Agent = Ask.To.Address - agentAt(0).Address;
      answer(Agent, 1,
             Ask.To == First.front().To ? Holding::Unsure : Holding::No);
    }
    giveBack(First.front().To.Address - agentAt(0).Address, data(1));
    CPPUNIT_ASSERT(!wasReset());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, asked().size());
  }

  /// Guards against a remembered owner that is wrong.
  void searchesAgainAfterAReturn() {
    begin(2);
    packet(opening(1));
    const bool FirstOnOne = forwards(Out).at(0).To == agentAt(1);
    packet(data(1));
    giveBack(FirstOnOne ? 1 : 2, data(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, asked().size());
    answer(FirstOnOne ? 2 : 1, 1, Holding::Yes);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, forwards(Out).size());
  }

  void looksForFlowsOfAnAgentThatIsGone() {
    begin(2);
    packet(opening(1));
    const std::uint32_t Owner = forwards(Out).at(0).To == agentAt(1) ? 1 : 2;
    const std::uint32_t Other = 3 - Owner;
    packet(data(1));
    Now += AgentGone + 1ms;
    load(Other, readyReport("orders"));
    packet(data(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, asked().size());
    answer(Other, 1, Holding::No);
    CPPUNIT_ASSERT(wasReset());
  }

  /// Guards against flows that break when a route's weights change.
  void keepsFlowsWhereTheyAreWhenRoutesChange() {
    begin(2);
    load(2, readyReport("catalogue"));
    packet(opening(1));
    packet(data(1));
    RouteTable Changed = routesTo("catalogue", 2);
    setRoutes(E, std::make_shared<const RouteIndex>(Changed));
    packet(data(1));
    CPPUNIT_ASSERT(forwards(Out).at(0).To == agentAt(1));
    packet(opening(2));
    CPPUNIT_ASSERT(forwards(Out).at(0).To == agentAt(2));
  }

  void resetsFlowsOfARemovedRoute() {
    begin(1);
    packet(opening(1));
    packet(data(1));
    RouteTable Empty;
    Empty.Version = 2;
    setRoutes(E, std::make_shared<const RouteIndex>(Empty));
    packet(data(1));
    CPPUNIT_ASSERT(wasReset());
    CPPUNIT_ASSERT(forwards(Out).empty());
  }

  void neverRevertsRoutes() {
    begin(1);
    setRoutes(E, std::make_shared<const RouteIndex>(routesTo("orders", 9)));
    setRoutes(E, std::make_shared<const RouteIndex>(routesTo("orders", 8)));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, E.Routes->table().Version);
  }

  /// Guards against placing everything on the first agent that reports, and
  /// against refusing callers because this host has just started.
  void holdsPacketsUntilAgentsHaveReported() {
    E = {};
    E.Codec = codec();
    packet(opening(1));
    packet(data(2));
    CPPUNIT_ASSERT(Out.empty());
    setRoutes(E, std::make_shared<const RouteIndex>(routesTo("orders")));
    addListedAgents(E, {agentAt(1), agentAt(2)}, true, Now, Out);
    load(1, readyReport("orders"));
    Out.clear();
    tick(E, Now, Out);
    flush(E, Now, Out);
    CPPUNIT_ASSERT(forwards(Out).empty());
    load(2, readyReport("orders"));
    Out.clear();
    tick(E, Now, Out);
    flush(E, Now, Out);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, forwards(Out).size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, asked().size());
  }

  void placesWithoutAnAgentThatNeverReports() {
    E = {};
    E.Codec = codec();
    setRoutes(E, std::make_shared<const RouteIndex>(routesTo("orders")));
    addListedAgents(E, {agentAt(1), agentAt(2)}, true, Now, Out);
    load(1, readyReport("orders"));
    packet(opening(1));
    CPPUNIT_ASSERT(forwards(Out).empty());
    Now += ReportPatience;
    Out.clear();
    tick(E, Now, Out);
    flush(E, Now, Out);
    CPPUNIT_ASSERT(forwards(Out).at(0).To == agentAt(1));
    CPPUNIT_ASSERT(placing(E));
  }

  /// Guards against several half-open flows for one caller after a start.
  void placesOneFlowForCopiesThatWaited() {
    E = {};
    E.Codec = codec();
    for (std::uint32_t Copy = 0; Copy <= 2; ++Copy)
      packet(opening(1, Copy));
    setRoutes(E, std::make_shared<const RouteIndex>(routesTo("orders")));
    addListedAgents(E, {agentAt(1)}, true, Now, Out);
    load(1, readyReport("orders"));
    Out.clear();
    tick(E, Now, Out);
    flush(E, Now, Out);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, forwards(Out).size());
  }

  void countsWhatItCannotRead() {
    begin(1);
    onCallerPacket(E, Bytes{1, 2, 3}, Now, Out);
    onTunnel(E, agentAt(1), Bytes{1}, Now, Out);
    onTunnel(E, agentAt(1),
             encodeTunnel({TunnelKind::Load, Holding::No, 0}, Bytes{0x61}), Now,
             Out);
    onTunnel(E, agentAt(1),
             encodeTunnel({TunnelKind::Returned, Holding::No, 0}, Bytes{0x61}),
             Now, Out);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, E.Counters.Malformed);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryFlowsTest);

} // namespace
