#include "flow_support.h"
#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <random>

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
  CPPUNIT_TEST(movesACopyWhenTheRouteNamesAnotherService);
  CPPUNIT_TEST(startsAnOpeningAgainUnderNewRoutes);
  CPPUNIT_TEST(placesOpeningsOnlyAsTheRoutesInForceAllow);
  CPPUNIT_TEST(keepsOpenFlowsWhenTheirOpeningsAreRepeated);
  CPPUNIT_TEST(distinguishesCopiesFromNewFlows);
  CPPUNIT_TEST(offersADeclinedOpeningElsewhere);
  CPPUNIT_TEST(refusesOnceEveryUpstreamDeclined);
  CPPUNIT_TEST(refusesAtOnceWithoutUpstreams);
  CPPUNIT_TEST(findsAFlowThatAnotherHostPlaced);
  CPPUNIT_TEST(resetsAFlowThatNoUpstreamHolds);
  CPPUNIT_TEST(doesNotResetBeforeEveryAgentAnswered);
  CPPUNIT_TEST(asksAgentsThatBecomeKnownDuringASearch);
  CPPUNIT_TEST(queriesASilentAgentAgain);
  CPPUNIT_TEST(endsASearchWhenAnAgentLeaves);
  CPPUNIT_TEST(waitsForAnAgentThatNeverReported);
  CPPUNIT_TEST(sendsAPacketToUnsureAgents);
  CPPUNIT_TEST(queriesAgainWhenATriedUpstreamIsSilent);
  CPPUNIT_TEST(queriesTheNextWaveAfterAReturn);
  CPPUNIT_TEST(searchesAgainAfterAReturn);
  CPPUNIT_TEST(searchesForFlowsOfAnAgentThatIsGone);
  CPPUNIT_TEST(keepsFlowsWhereTheyAreWhenRoutesChange);
  CPPUNIT_TEST(resetsFlowsOfARemovedRoute);
  CPPUNIT_TEST(neverRevertsRoutes);
  CPPUNIT_TEST(holdsPacketsUntilAgentsHaveReported);
  CPPUNIT_TEST(placesWithoutAnAgentThatNeverReports);
  CPPUNIT_TEST(probesOnlyTheCandidatesOfAnOpening);
  CPPUNIT_TEST(renewsReportsThatAreTooOld);
  CPPUNIT_TEST(comparesMoreUpstreamsIfTheFirstCannotServe);
  CPPUNIT_TEST(offersToASilentAgentInsteadOfRefusing);
  CPPUNIT_TEST(boundsTheProbesOfReturningCallers);
  CPPUNIT_TEST(endOfASearchDoesNotResetANewFlow);
  CPPUNIT_TEST(ignoresReportsOfAnAgentThatHasLeft);
  CPPUNIT_TEST(keepsAgentsWithoutControlHosts);
  CPPUNIT_TEST(placesOneFlowForCopiesThatWaited);
  CPPUNIT_TEST(sendsAgentsAgeObjectiveAndPriority);
  CPPUNIT_TEST(resetsThousandsOfLostFlowsWithFewBytes);
  CPPUNIT_TEST(searchesForDozensOfLostFlowsOnASlowLink);
  CPPUNIT_TEST(usesOnlyCompleteAndRecentLists);
  CPPUNIT_TEST(queriesAgentsOfAnUnknownServiceByRank);
  CPPUNIT_TEST(sendsATriedPacketOnlyOnce);
  CPPUNIT_TEST(doesNotQueryAnAgentWithoutFlows);
  CPPUNIT_TEST(countsMalformedInput);
  CPPUNIT_TEST_SUITE_END();

  EntryFlows E;
  EntryEffects Out;
  TimePoint Now = TimePoint(1h);

  void begin(std::uint32_t Agents) {
    E = {};
    E.Codec = codec();
    setRoutes(E, std::make_shared<const RouteIndex>(routesTo("orders")));
    addListedAgents(E, listed(Agents, "orders"), true, Now);
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

  void answer(std::uint32_t Agent, std::uint16_t Port, FlowPresence Answer) {
    Out.clear();
    onTunnel(E, agentAt(Agent),
             encodeTunnel(
                 {TunnelKind::Located, FlowPresence::No, 0},
                 encodeLocations({{{caller(Port), ServiceAddress}, Answer}})),
             Now, Out);
    flush(E, Now, Out);
  }

  void returnPacket(std::uint32_t Agent, const WirePacket &P,
                    FlowPresence Reason = FlowPresence::No) {
    Out.clear();
    onTunnel(E, agentAt(Agent),
             encodeTunnel({TunnelKind::Returned, Reason, 0}, encode(P)), Now,
             Out);
    flush(E, Now, Out);
  }

  std::vector<SentTunnel> queries() const {
    return tunnels<EntryEffects, SendTunnel>(Out, TunnelKind::Locate);
  }

  std::vector<SentTunnel> probes() const {
    return tunnels<EntryEffects, SendTunnel>(Out, TunnelKind::Probe);
  }

  std::vector<SentTunnel> listRequests() const {
    return tunnels<EntryEffects, SendTunnel>(Out, TunnelKind::ListFlows);
  }

  void list(std::uint32_t Agent, const FlowListPart &Part) {
    onTunnel(E, agentAt(Agent),
             encodeTunnel({TunnelKind::FlowList, FlowPresence::No, 0},
                          encodeFlowList(Part)),
             Now, Out);
  }

  /// Receives one batch with a data packet of each of \p Count unknown flows.
  void sendDataOfUnknownFlows(std::uint16_t Count) {
    Out.clear();
    for (std::uint16_t Port = 1; Port <= Count; ++Port)
      onCallerPacket(E, encode(data(Port)), Now, Out);
    flush(E, Now, Out);
  }

  /// Lets the agents answer all queries in \p Sent with "not held".
  void answerThatNothingIsHeld(const EntryEffects &Sent) {
    for (const SentTunnel &Query :
         tunnels<EntryEffects, SendTunnel>(Sent, TunnelKind::ListRecentFlows))
      onTunnel(E, Query.To, digestWithoutFlows(Query, FlowPresence::No), Now,
               Out);
    for (const SentTunnel &Query :
         tunnels<EntryEffects, SendTunnel>(Sent, TunnelKind::ListFlows))
      list(Query.To.Address - agentAt(0).Address,
           {*decodeFlowListRequest(Query.Payload), 0, 1, FlowPresence::No, {}});
    for (const SentTunnel &Query :
         tunnels<EntryEffects, SendTunnel>(Sent, TunnelKind::Locate)) {
      std::vector<FlowLocation> Answers;
      const auto Asked = decodeFlowKeys(Query.Payload);
      for (const FlowKey &Flow : *Asked)
        Answers.push_back({Flow, FlowPresence::No});
      onTunnel(E, Query.To,
               encodeTunnel({TunnelKind::Located, FlowPresence::No, 0},
                            encodeLocations(Answers)),
               Now, Out);
    }
  }

  bool wasReset() const { return !effectsOfType<SendReset>(Out).empty(); }

public:
  /// Guards against agents that can't distinguish recent openings from late
  /// ones.
  void sendsAgentsAgeObjectiveAndPriority() {
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
    // A declined opening has aged while it waited at the agent.
    addListedAgents(E, listed(2, "orders"), true, Now);
    load(2, readyReport("orders"));
    Now += 100ms;
    returnPacket(1, opening(1, 1), FlowPresence::NotReady);
    CPPUNIT_ASSERT(forwards(Out).at(0).Header.Age == 300ms);
  }

  /// Load: after their upstreams lost power, 1,000 flows send data through one
  /// entry host at once, with 52 agents. Separate queries for all flows alone
  /// would take 0.7 s on a link of 7.3 Mbit/s.
  void resetsThousandsOfLostFlowsWithFewBytes() {
    constexpr std::uint32_t Agents = 52;
    constexpr std::uint16_t Flows = 1000;
    begin(Agents);
    sendDataOfUnknownFlows(Flows);
    std::size_t Bytes = 0;
    std::size_t Resets = 0;
    for (int Round = 0; Round < 10 && !Out.empty(); ++Round) {
      EntryEffects Sent;
      std::swap(Sent, Out);
      Resets += effectsOfType<SendReset>(Sent).size();
      for (const SendTunnel &T : effectsOfType<SendTunnel>(Sent))
        Bytes += T.Datagram.size();
      answerThatNothingIsHeld(Sent);
      Now += 50ms;
      flush(E, Now, Out);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{Flows}, Resets);
    // What the link of an entry host in the large sites carries in a tenth of a
    // second.
    constexpr std::size_t LinkBytes = 7'300'000 / 8 / 10;
    CPPUNIT_ASSERT(Bytes <= LinkBytes);
  }

  /// Load: after a loss of power, the callers of 70 flows speak one after the
  /// other through one entry host with 204 agents and a link of 2.1 Mbit/s. All
  /// are told within SearchTimeout, and the queries leave half of the link
  /// free.
  void searchesForDozensOfLostFlowsOnASlowLink() {
    constexpr std::uint16_t Flows = 70;
    constexpr std::size_t UdpOverheadBytes = 28;
    constexpr auto Interval = 20ms;
    begin(204);
    const TimePoint Start = Now;
    TimePoint LastReset = Now;
    std::map<FlowKey, TimePoint> Waiting;
    std::size_t Bytes = 0;
    std::uint16_t Port = 0;
    while (Now - Start < Flows * Interval + SearchTimeout) {
      Out.clear();
      if (Port < Flows && Now - Start >= Port * Interval) {
        Waiting[{caller(++Port), ServiceAddress}] = Now;
        onCallerPacket(E, encode(data(Port)), Now, Out);
      }
      tick(E, Now, Out);
      flush(E, Now, Out);
      EntryEffects Sent;
      std::swap(Sent, Out);
      answerThatNothingIsHeld(Sent);
      for (const SendTunnel &T : effectsOfType<SendTunnel>(Sent))
        Bytes += T.Datagram.size() + UdpOverheadBytes;
      for (const SendReset &R : effectsOfType<SendReset>(Out)) {
        CPPUNIT_ASSERT(Now - Waiting.at(R.Value.Flow) < SearchTimeout);
        Waiting.erase(R.Value.Flow);
        LastReset = Now;
      }
      Now += 5ms;
    }
    CPPUNIT_ASSERT(Waiting.empty());
    const double Seconds =
        std::chrono::duration<double>(LastReset - Start).count();
    CPPUNIT_ASSERT(static_cast<double>(Bytes) <= Seconds * 2'100'000 / 8 / 2);
  }

  /// Guards against resets of live flows because of a list that is incomplete,
  /// that answers an earlier request, or that was requested before the flow's
  /// search began.
  void usesOnlyCompleteAndRecentLists() {
    constexpr std::uint16_t Flows = MinSearchesForFlowList;
    begin(1);
    sendDataOfUnknownFlows(Flows);
    CPPUNIT_ASSERT(listRequests().empty());
    // An agent of an earlier version doesn't answer the request for a digest.
    Now += LocateRetryInterval;
    tick(E, Now, Out);
    flush(E, Now, Out);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, listRequests().size());
    const std::uint32_t RequestId =
        *decodeFlowListRequest(listRequests().at(0).Payload);
    Out.clear();
    list(1, {RequestId, 0, 2, FlowPresence::No, {}});
    list(1, {RequestId, 0, 2, FlowPresence::No, {}});
    list(1, {RequestId + 1, 1, 2, FlowPresence::No, {}});
    CPPUNIT_ASSERT(!wasReset());
    Now += 1ms;
    packet(data(Flows + 1));
    const FlowKey Held{caller(1), ServiceAddress};
    list(1, {RequestId, 1, 2, FlowPresence::No, {{Held, FlowPresence::Yes}}});
    CPPUNIT_ASSERT_EQUAL(std::size_t{Flows - 1},
                         effectsOfType<SendReset>(Out).size());
    CPPUNIT_ASSERT(E.Flows.contains(Held));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, E.Searches.size());
  }

  /// Guards against searches that query just restarted agents last: such agents
  /// don't know their upstream's service yet, but are as likely to hold the
  /// flow as before.
  void queriesAgentsOfAnUnknownServiceByRank() {
    constexpr std::uint32_t Agents = 3 * FirstWaveSize;
    begin(Agents);
    packet(data(1));
    std::vector<Endpoint> Before;
    for (const SentTunnel &Query : queries())
      Before.push_back(Query.To);
    begin(Agents);
    for (const Endpoint &Agent : Before) {
      LoadReport R = readyReport("");
      R.State = UpstreamState::Unknown;
      load(Agent.Address - agentAt(0).Address, R);
    }
    packet(data(1));
    CPPUNIT_ASSERT_EQUAL(Before.size(), queries().size());
    for (const SentTunnel &Query : queries())
      CPPUNIT_ASSERT(std::find(Before.begin(), Before.end(), Query.To) !=
                     Before.end());
  }

  /// Guards against sending an upstream a second copy of a request.
  void sendsATriedPacketOnlyOnce() {
    begin(1);
    packet(data(1));
    answer(1, 1, FlowPresence::Unsure);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, forwards(Out).size());
    packet(data(1, 8));
    answer(1, 1, FlowPresence::Yes);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, forwards(Out).size());
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{8},
                         decodeWire(forwards(Out).at(0).Payload).Acknowledged);
  }

  /// Guards against waiting for an agent that reported that it holds no flows
  /// and then ended.
  void doesNotQueryAnAgentWithoutFlows() {
    begin(2);
    LoadReport R = readyReport("orders");
    R.State = UpstreamState::Unknown;
    R.HoldsNoFlows = true;
    load(2, R);
    packet(data(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, queries().size());
    answer(1, 1, FlowPresence::No);
    CPPUNIT_ASSERT(wasReset());
  }

  /// Guards against placement that ignores the load of the upstreams.
  void placesOnTheLeastLoaded() {
    begin(3);
    load(1, readyReport("orders", 5));
    load(3, readyReport("orders", 3));
    packet(opening(1));
    CPPUNIT_ASSERT(forwards(Out).at(0).To == agentAt(2));
    CPPUNIT_ASSERT_EQUAL(serviceTag("orders"),
                         forwards(Out).at(0).Header.ServiceTag);
  }

  /// Guards against a second half-open flow after each lost packet.
  void sendsCopiesToTheSameAgent() {
    begin(3);
    packet(opening(1));
    const Endpoint First = forwards(Out).at(0).To;
    for (std::uint32_t Copy = 1; Copy <= 2; ++Copy) {
      packet(opening(1, Copy));
      CPPUNIT_ASSERT(forwards(Out).at(0).To == First);
    }
  }

  /// Guards against openings that go to the service of an older version: copies
  /// followed the first one to its agent after the route had moved.
  void movesACopyWhenTheRouteNamesAnotherService() {
    begin(2);
    packet(opening(1));
    CPPUNIT_ASSERT_EQUAL(serviceTag("orders"),
                         forwards(Out).at(0).Header.ServiceTag);
    addListedAgents(E, {{agentAt(9), serviceTag("catalogue")}}, false, Now);
    load(9, readyReport("catalogue"));
    setRoutes(E, std::make_shared<const RouteIndex>(routesTo("catalogue", 2)));
    for (std::uint32_t Copy = 1; Copy <= 2; ++Copy) {
      packet(opening(1, Copy));
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, forwards(Out).size());
      CPPUNIT_ASSERT(forwards(Out).at(0).To == agentAt(9));
      CPPUNIT_ASSERT_EQUAL(serviceTag("catalogue"),
                           forwards(Out).at(0).Header.ServiceTag);
    }
  }

  /// Guards against a refusal of an opening that can be served: its first
  /// service had been passed over under older routes.
  void startsAnOpeningAgainUnderNewRoutes() {
    begin(0);
    RouteTable Table = routesTo("orders", 2);
    Table.Services = {"orders", "catalogue"};
    Table.Routes[0].Targets = {{"orders", 1e9}, {"catalogue", 1.0}};
    setRoutes(E, std::make_shared<const RouteIndex>(Table));
    addListedAgents(E, {{agentAt(9), serviceTag("catalogue")}}, true, Now);
    tick(E, Now, Out);
    packet(opening(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, probes().size());
    // Now the opening waits for the second service's agent.
    addListedAgents(E, {{agentAt(1), serviceTag("orders")}}, true, Now);
    load(1, readyReport("orders"));
    Table = routesTo("orders", 3);
    setRoutes(E, std::make_shared<const RouteIndex>(Table));
    Now += ProbeTimeout;
    Out.clear();
    tick(E, Now, Out);
    CPPUNIT_ASSERT(!wasReset());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, forwards(Out).size());
    CPPUNIT_ASSERT(forwards(Out).at(0).To == agentAt(1));
  }

  /// Guards against openings of an older version in any order of copies, new
  /// routes, reports and returned openings.
  void placesOpeningsOnlyAsTheRoutesInForceAllow() {
    const std::vector<std::string> Services = {"orders", "catalogue", "sheets"};
    for (std::uint64_t Seed = 1; Seed <= 200; ++Seed) {
      std::mt19937_64 Random(Seed);
      const auto Number = [&Random](std::size_t Limit) {
        return std::uniform_int_distribution<std::size_t>(0, Limit - 1)(Random);
      };
      begin(2);
      for (std::uint32_t Agent = 3; Agent <= 6; ++Agent)
        addListedAgents(E, {{agentAt(Agent), serviceTag(Services[Agent % 3])}},
                        true, Now);
      std::uint64_t Version = 1;
      for (int Step = 0; Step < 100; ++Step) {
        const auto Port = static_cast<std::uint16_t>(1 + Number(4));
        const auto Agent = static_cast<std::uint32_t>(1 + Number(6));
        Out.clear();
        switch (Number(5)) {
        case 0:
          setRoutes(E, std::make_shared<const RouteIndex>(
                           routesTo(Services[Number(3)], ++Version)));
          break;
        case 1:
          load(Agent, readyReport(Agent <= 2 ? "orders" : Services[Agent % 3]));
          break;
        case 2:
          returnPacket(Agent, opening(Port), FlowPresence::NotReady);
          break;
        case 3:
          Now += 70ms;
          tick(E, Now, Out);
          break;
        default:
          packet(opening(Port, static_cast<std::uint32_t>(Number(3))));
        }
        const std::uint32_t Allowed =
            serviceTag(E.Routes->table().Routes[0].Targets[0].Service);
        for (const SentTunnel &Sent : forwards(Out))
          CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(Seed), Allowed,
                                       Sent.Header.ServiceTag);
      }
    }
  }

  /// Guards against openings that are lost because their upstream hangs.
  void movesACopyWhenTheUpstreamIsSilent() {
    begin(2);
    packet(opening(1));
    const Endpoint First = forwards(Out).at(0).To;
    LoadReport Hanging = readyReport("orders");
    Hanging.Silent = SilenceThreshold;
    load(First == agentAt(1) ? 1 : 2, Hanging);
    packet(opening(1, 1));
    CPPUNIT_ASSERT(forwards(Out).at(0).To != First);
  }

  /// Guards against an open flow that moves to a second upstream: on a slow
  /// link a copy of its opening arrived after its first data, and was forwarded
  /// without the service, so that the agent returned it.
  void keepsOpenFlowsWhenTheirOpeningsAreRepeated() {
    begin(4);
    packet(opening(1));
    const Endpoint Agent = forwards(Out).at(0).To;
    packet(data(1));
    Now += 300ms;
    packet(opening(1, 1));
    const auto Copies = forwards(Out);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Copies.size());
    CPPUNIT_ASSERT(Copies[0].To == Agent);
    CPPUNIT_ASSERT_EQUAL(serviceTag("orders"), Copies[0].Header.ServiceTag);
  }

  /// Guards against a new flow from the port of an earlier one that is taken
  /// for a copy of its opening, and against copies that move a flow which a
  /// search has found.
  void distinguishesCopiesFromNewFlows() {
    begin(4);
    packet(opening(1));
    const Endpoint Agent = forwards(Out).at(0).To;
    packet(data(1));
    for (std::uint32_t I = 1; I <= 4; ++I)
      load(I, readyReport("orders", agentAt(I) == Agent ? 8 : 0));
    Now += 100ms;
    packet(opening(1, 2));
    CPPUNIT_ASSERT(forwards(Out).at(0).To == Agent);
    WirePacket Again = opening(1);
    Again.Sequence = 77;
    packet(Again);
    CPPUNIT_ASSERT(forwards(Out).at(0).To != Agent);
    packet(data(2));
    answer(3, 2, FlowPresence::Yes);
    packet(opening(2, 2));
    CPPUNIT_ASSERT(forwards(Out).at(0).To == agentAt(3));
    CPPUNIT_ASSERT_EQUAL(serviceTag("orders"),
                         forwards(Out).at(0).Header.ServiceTag);
  }

  /// Guards against refusing a flow that another upstream could serve.
  void offersADeclinedOpeningElsewhere() {
    begin(2);
    packet(opening(1));
    const Endpoint First = forwards(Out).at(0).To;
    returnPacket(First == agentAt(1) ? 1 : 2, opening(1),
                 FlowPresence::NotReady);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, forwards(Out).size());
    CPPUNIT_ASSERT(forwards(Out).at(0).To != First);
    CPPUNIT_ASSERT(!wasReset());
  }

  /// Guards against callers that wait for an answer that can't arrive.
  void refusesOnceEveryUpstreamDeclined() {
    begin(2);
    packet(opening(1));
    const Endpoint First = forwards(Out).at(0).To;
    returnPacket(First == agentAt(1) ? 1 : 2, opening(1));
    returnPacket(First == agentAt(1) ? 2 : 1, opening(1));
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

  /// Guards against flows that break when their packets reach another entry
  /// host.
  void findsAFlowThatAnotherHostPlaced() {
    begin(3);
    packet(data(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, queries().size());
    CPPUNIT_ASSERT(!wasReset());
    answer(1, 1, FlowPresence::Unsure);
    answer(2, 1, FlowPresence::Yes);
    CPPUNIT_ASSERT(forwards(Out).at(0).To == agentAt(2));
    packet(data(1));
    CPPUNIT_ASSERT(forwards(Out).at(0).To == agentAt(2));
  }

  /// Guards against callers that wait until their deadline on a flow that no
  /// upstream holds.
  void resetsAFlowThatNoUpstreamHolds() {
    begin(2);
    packet(data(1, 1234));
    answer(1, 1, FlowPresence::No);
    CPPUNIT_ASSERT(!wasReset());
    answer(2, 1, FlowPresence::No);
    CPPUNIT_ASSERT(wasReset());
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{1234},
                         effectsOfType<SendReset>(Out).at(0).Value.Sequence);
  }

  /// Guards against a reset of an open flow whose agent became known while the
  /// flow was searched for.
  void asksAgentsThatBecomeKnownDuringASearch() {
    begin(1);
    packet(data(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, queries().size());
    addListedAgents(E, {{agentAt(2), serviceTag("orders")}}, false, Now);
    answer(1, 1, FlowPresence::No);
    CPPUNIT_ASSERT(!wasReset());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, queries().size());
    CPPUNIT_ASSERT(queries().at(0).To == agentAt(2));
    answer(2, 1, FlowPresence::Yes);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, forwards(Out).size());
  }

  /// Guards against resetting a live flow while its agent restarts.
  void doesNotResetBeforeEveryAgentAnswered() {
    begin(2);
    packet(data(1));
    answer(1, 1, FlowPresence::No);
    Now += SearchTimeout + 1ms;
    Out.clear();
    tick(E, Now, Out);
    flush(E, Now, Out);
    CPPUNIT_ASSERT(!wasReset());
    CPPUNIT_ASSERT(E.Searches.empty());
  }

  void queriesASilentAgentAgain() {
    begin(2);
    packet(data(1));
    answer(1, 1, FlowPresence::No);
    Now += LocateRetryInterval;
    Out.clear();
    tick(E, Now, Out);
    flush(E, Now, Out);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, queries().size());
    CPPUNIT_ASSERT(queries().at(0).To == agentAt(2));
    answer(2, 1, FlowPresence::Yes);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, forwards(Out).size());
  }

  /// Guards against searches that wait for hosts that have been removed.
  void endsASearchWhenAnAgentLeaves() {
    begin(2);
    packet(data(1));
    answer(1, 1, FlowPresence::No);
    removeAgent(E, agentAt(2));
    Now += LocateRetryInterval;
    Out.clear();
    tick(E, Now, Out);
    flush(E, Now, Out);
    CPPUNIT_ASSERT(wasReset());
  }

  /// Guards against resetting a live flow because the agent that holds it has
  /// never answered this host: its answers may be late or lost.
  void waitsForAnAgentThatNeverReported() {
    begin(1);
    addListedAgents(E, listed(2, "orders"), true, Now);
    packet(data(1));
    answer(1, 1, FlowPresence::No);
    for (Duration Waited{}; Waited <= 2 * AgentExpiry; Waited += 50ms) {
      Now += 50ms;
      if (Waited % 400ms == Duration{}) {
        packet(data(1));
        CPPUNIT_ASSERT(!wasReset());
        answer(1, 1, FlowPresence::No);
      }
      Out.clear();
      tick(E, Now, Out);
      flush(E, Now, Out);
      CPPUNIT_ASSERT(!wasReset());
    }
    // Once a control host reports that the agent has left, the caller is told.
    packet(data(1));
    answer(1, 1, FlowPresence::No);
    removeAgent(E, agentAt(2));
    Now += MaxLocateRetryInterval;
    Out.clear();
    tick(E, Now, Out);
    CPPUNIT_ASSERT(wasReset());
  }

  /// Guards against losing flows whose agent has restarted.
  void sendsAPacketToUnsureAgents() {
    begin(3);
    packet(data(1));
    answer(1, 1, FlowPresence::Unsure);
    answer(2, 1, FlowPresence::No);
    answer(3, 1, FlowPresence::Unsure);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, forwards(Out).size());
    CPPUNIT_ASSERT(!wasReset());
    returnPacket(1, data(1));
    CPPUNIT_ASSERT(!wasReset());
    answer(3, 1, FlowPresence::Yes);
    packet(data(1));
    CPPUNIT_ASSERT(forwards(Out).at(0).To == agentAt(3));
  }

  /// Guards against a search that waits for an agent whose upstream is gone.
  void queriesAgainWhenATriedUpstreamIsSilent() {
    begin(1);
    packet(data(1));
    answer(1, 1, FlowPresence::Unsure);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, forwards(Out).size());
    Now += MaxLocateRetryInterval;
    load(1, readyReport("orders"));
    Out.clear();
    tick(E, Now, Out);
    flush(E, Now, Out);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, queries().size());
    answer(1, 1, FlowPresence::No);
    CPPUNIT_ASSERT(wasReset());
  }

  /// Guards against a reset before all agents were queried.
  void queriesTheNextWaveAfterAReturn() {
    constexpr std::uint32_t Agents = FirstWaveSize + 1;
    begin(Agents);
    packet(data(1));
    const auto First = queries();
    CPPUNIT_ASSERT_EQUAL(FirstWaveSize, First.size());
    for (const SentTunnel &Query : First) {
      const std::uint32_t Agent = Query.To.Address - agentAt(0).Address;
      answer(Agent, 1,
             Query.To == First.front().To ? FlowPresence::Unsure
                                          : FlowPresence::No);
    }
    returnPacket(First.front().To.Address - agentAt(0).Address, data(1));
    CPPUNIT_ASSERT(!wasReset());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, queries().size());
  }

  /// Guards against a flow that is lost because its cached location is wrong.
  void searchesAgainAfterAReturn() {
    begin(2);
    packet(opening(1));
    const bool FirstOnOne = forwards(Out).at(0).To == agentAt(1);
    packet(data(1));
    returnPacket(FirstOnOne ? 1 : 2, data(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, queries().size());
    answer(FirstOnOne ? 2 : 1, 1, FlowPresence::Yes);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, forwards(Out).size());
  }

  /// Guards against giving up a flow whose agent is only silent, and against
  /// callers that wait once a control host reported that the agent has left.
  void searchesForFlowsOfAnAgentThatIsGone() {
    begin(2);
    packet(opening(1));
    const std::uint32_t Owner = forwards(Out).at(0).To == agentAt(1) ? 1 : 2;
    const std::uint32_t Other = 3 - Owner;
    packet(data(1));
    for (Duration Silence{}; Silence <= 10s; Silence += 1s) {
      Now += 1s;
      load(Other, readyReport("orders"));
      tick(E, Now, Out);
      packet(data(1));
      CPPUNIT_ASSERT(!wasReset());
      CPPUNIT_ASSERT(queries().empty());
      CPPUNIT_ASSERT(forwards(Out).at(0).To == agentAt(Owner));
    }
    removeAgent(E, agentAt(Owner));
    packet(data(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, queries().size());
    answer(Other, 1, FlowPresence::No);
    CPPUNIT_ASSERT(wasReset());
  }

  /// Guards against flows that break when their route's targets change.
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
    addListedAgents(E, listed(2, "orders"), true, Now);
    Out.clear();
    tick(E, Now, Out);
    flush(E, Now, Out);
    CPPUNIT_ASSERT(canPlaceFlows(E));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, queries().size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, probes().size());
    CPPUNIT_ASSERT(forwards(Out).empty());
    Out.clear();
    load(1, readyReport("orders"));
    CPPUNIT_ASSERT(forwards(Out).empty());
    load(2, readyReport("orders"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, forwards(Out).size());
  }

  void placesWithoutAnAgentThatNeverReports() {
    E = {};
    E.Codec = codec();
    setRoutes(E, std::make_shared<const RouteIndex>(routesTo("orders")));
    addListedAgents(E, listed(2, "orders"), true, Now);
    packet(opening(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, probes().size());
    load(1, readyReport("orders"));
    CPPUNIT_ASSERT(forwards(Out).empty());
    Now += ProbeTimeout;
    Out.clear();
    tick(E, Now, Out);
    CPPUNIT_ASSERT(forwards(Out).at(0).To == agentAt(1));
    // Later openings don't wait for it again.
    packet(opening(2));
    CPPUNIT_ASSERT(forwards(Out).at(0).To == agentAt(1));
    CPPUNIT_ASSERT(canPlaceFlows(E));
  }

  /// Guards against messages that grow with the number of agents: 300 agents
  /// that all reported to every entry host took more than half of its link.
  void probesOnlyTheCandidatesOfAnOpening() {
    for (const std::uint32_t Agents : {30U, 300U}) {
      E = {};
      E.Codec = codec();
      setRoutes(E, std::make_shared<const RouteIndex>(routesTo("orders")));
      addListedAgents(E, listed(Agents, "orders"), true, Now);
      Out.clear();
      for (int I = 0; I < 100; ++I) {
        Now += 50ms;
        tick(E, Now, Out);
        flush(E, Now, Out);
      }
      CPPUNIT_ASSERT(Out.empty());
      packet(opening(1));
      CPPUNIT_ASSERT_EQUAL(CandidatesPerFlow, probes().size());
    }
  }

  /// Guards against placement on outdated reports, and against a probe for each
  /// opening while the reports are recent.
  void renewsReportsThatAreTooOld() {
    begin(2);
    packet(opening(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, forwards(Out).size());
    CPPUNIT_ASSERT(probes().empty());
    Now += MaxReportReuse + 1ms;
    packet(opening(2));
    CPPUNIT_ASSERT(forwards(Out).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, probes().size());
    // The second opening shares the probes of the first one.
    packet(opening(3));
    CPPUNIT_ASSERT(probes().empty());
    load(1, readyReport("orders", 9));
    load(2, readyReport("orders"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, forwards(Out).size());
    for (const SentTunnel &Sent : forwards(Out))
      CPPUNIT_ASSERT(Sent.To == agentAt(2));
  }

  /// Guards against refusing an opening because the few upstreams compared
  /// first can't take it while others can.
  void comparesMoreUpstreamsIfTheFirstCannotServe() {
    constexpr std::uint32_t Agents = 20;
    begin(Agents);
    packet(opening(1));
    const Endpoint Ready = forwards(Out).at(0).To;
    LoadReport Leaving = readyReport("orders");
    Leaving.State = UpstreamState::Draining;
    for (std::uint32_t I = 1; I <= Agents; ++I)
      if (agentAt(I) != Ready)
        load(I, Leaving);
    for (std::uint16_t Port = 2; Port < 12; ++Port) {
      packet(opening(Port));
      CPPUNIT_ASSERT(!wasReset());
      CPPUNIT_ASSERT(forwards(Out).at(0).To == Ready);
    }
  }

  /// Guards against refusing callers because the answers of agents that could
  /// serve them are late, and against refusing them without a reason at all:
  /// the opening goes to an agent, and its copy to another one.
  void offersToASilentAgentInsteadOfRefusing() {
    begin(3);
    Now += 1s;
    packet(opening(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, probes().size());
    for (int I = 0; I < 4; ++I) {
      Now += 40ms;
      tick(E, Now, Out);
    }
    CPPUNIT_ASSERT(!wasReset());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, forwards(Out).size());
    const Endpoint First = forwards(Out).at(0).To;
    Now += 40ms;
    packet(opening(1, 1));
    CPPUNIT_ASSERT(!wasReset());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, forwards(Out).size());
    CPPUNIT_ASSERT(forwards(Out).at(0).To != First);
  }

  /// Load: 200 callers return to one entry host within a second after a loss of
  /// power, while the upstreams of 204 agents aren't ready yet. Probes and
  /// answers take less than a quarter of a link of 2.1 Mbit/s.
  void boundsTheProbesOfReturningCallers() {
    constexpr std::size_t UdpOverheadBytes = 28;
    begin(204);
    Now += 1s;
    LoadReport NotReady = readyReport("orders");
    NotReady.State = UpstreamState::Unknown;
    std::size_t Bytes = 0;
    for (std::uint16_t Port = 1; Port <= 200; ++Port) {
      Now += 5ms;
      Out.clear();
      onCallerPacket(E, encode(opening(Port)), Now, Out);
      tick(E, Now, Out);
      for (auto Sent = probes(); !Sent.empty(); Sent = probes()) {
        Out.clear();
        for (const SentTunnel &Probe : Sent) {
          Bytes += TunnelHeaderBytes + UdpOverheadBytes;
          Bytes += loadFrom(NotReady).size() + UdpOverheadBytes;
          load(Probe.To.Address - agentAt(0).Address, NotReady);
        }
      }
    }
    CPPUNIT_ASSERT(Bytes <= 2'100'000 / 8 / 4);
  }

  /// Guards against a reset that is late: its caller has given up the flow that
  /// was searched for and uses the same address and port for a new one.
  void endOfASearchDoesNotResetANewFlow() {
    begin(2);
    packet(data(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, queries().size());
    packet(opening(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, forwards(Out).size());
    for (const std::uint32_t Agent : {1U, 2U}) {
      answer(Agent, 1, FlowPresence::No);
      CPPUNIT_ASSERT(!wasReset());
    }
    packet(data(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, forwards(Out).size());
  }

  /// Guards against an agent that has left and is added again by a report that
  /// was late.
  void ignoresReportsOfAnAgentThatHasLeft() {
    begin(2);
    removeAgent(E, agentAt(2));
    load(2, readyReport("orders"));
    CPPUNIT_ASSERT(!E.Agents.contains(agentAt(2)));
    for (std::uint16_t Port = 1; Port <= 8; ++Port) {
      packet(opening(Port));
      CPPUNIT_ASSERT(forwards(Out).at(0).To == agentAt(1));
    }
  }

  /// Guards against removing all agents while no control host can be reached.
  void keepsAgentsWithoutControlHosts() {
    begin(2);
    Now += 3 * AgentExpiry;
    tick(E, Now, Out);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, E.Agents.size());
    addListedAgents(E, listed(1, "orders"), true, Now);
    Now += 1s;
    tick(E, Now, Out);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, E.Agents.size());
  }

  /// Guards against several half-open flows of one caller after a start.
  void placesOneFlowForCopiesThatWaited() {
    E = {};
    E.Codec = codec();
    for (std::uint32_t Copy = 0; Copy <= 2; ++Copy)
      packet(opening(1, Copy));
    setRoutes(E, std::make_shared<const RouteIndex>(routesTo("orders")));
    addListedAgents(E, listed(1, "orders"), true, Now);
    Out.clear();
    tick(E, Now, Out);
    flush(E, Now, Out);
    load(1, readyReport("orders"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, forwards(Out).size());
  }

  void countsMalformedInput() {
    begin(1);
    onCallerPacket(E, Bytes{1, 2, 3}, Now, Out);
    onTunnel(E, agentAt(1), Bytes{1}, Now, Out);
    onTunnel(E, agentAt(1),
             encodeTunnel({TunnelKind::Load, FlowPresence::No, 0}, Bytes{0x61}),
             Now, Out);
    onTunnel(
        E, agentAt(1),
        encodeTunnel({TunnelKind::Returned, FlowPresence::No, 0}, Bytes{0x61}),
        Now, Out);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, E.Counters.Malformed);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryFlowsTest);

} // namespace
