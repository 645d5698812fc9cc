#include "flow_support.h"
#include <cppunit/extensions/HelperMacros.h>
#include <set>

using namespace jasminearch;
using namespace jasminearch::flow;
using namespace jasminearch::flow::test;
using namespace std::chrono_literals;

namespace {

/// Searches of an entry host that has just started, after a loss of power.
class FlowSearchTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FlowSearchTest);
  CPPUNIT_TEST(silentAgentHoldsUpNoWave);
  CPPUNIT_TEST(triesUnsureAgentsDespiteASilentOne);
  CPPUNIT_TEST(waitsForASilentAgent);
  CPPUNIT_TEST(sendsPacketsToFewUnsureAgentsAtOnce);
  CPPUNIT_TEST(asksAllAgentsOnceForManyLostFlows);
  CPPUNIT_TEST(bytesOfSearchesDependOnTimeNotOnFlows);
  CPPUNIT_TEST_SUITE_END();

  EntryFlows E;
  EntryEffects Out;
  TimePoint Now = TimePoint(1h);
  /// A query for a few flows and its answer, headers included.
  static constexpr std::size_t BytesOfAQuery = 170;
  std::size_t QueryBytes = 0;
  std::size_t PacketsForwarded = 0;
  std::set<std::uint16_t> ResetPorts;

  void begin(std::uint32_t Count) {
    E = {};
    E.Codec = codec();
    QueryBytes = PacketsForwarded = 0;
    ResetPorts.clear();
    setRoutes(E, std::make_shared<const RouteIndex>(routesTo("orders")));
    addListedAgents(E, listed(Count, "orders"), true, Now);
    step(0ms);
  }

  void packet(std::uint16_t Port) {
    Out.clear();
    onCallerPacket(E, encode(data(Port)), Now, Out);
    flush(E, Now, Out);
    recordResets(Out);
  }

  void recordResets(const EntryEffects &Effects) {
    for (const SendReset &R : effectsOfType<SendReset>(Effects))
      ResetPorts.insert(R.Value.Flow.Caller.Port);
  }

  void step(Duration Elapsed) {
    Out.clear();
    Now += Elapsed;
    tick(E, Now, Out);
    flush(E, Now, Out);
  }

  std::uint32_t numberOf(const Endpoint &Agent) const {
    return Agent.Address - agentAt(0).Address;
  }

  void located(std::uint32_t Agent, const std::vector<FlowKey> &Flows,
               FlowPresence Presence) {
    std::vector<FlowLocation> Answers;
    Answers.reserve(Flows.size());
    for (const FlowKey &Flow : Flows)
      Answers.push_back({Flow, Presence});
    onTunnel(E, agentAt(Agent),
             encodeTunnel({TunnelKind::Located, FlowPresence::No, 0},
                          encodeLocations(Answers)),
             Now, Out);
  }

  /// Lets all agents with numbers up to \p Last answer the queries in Out, and
  /// those that follow from the answers at once.
  void answerQueries(std::uint32_t Last, FlowPresence Presence) {
    while (!Out.empty()) {
      const EntryEffects Sent = std::exchange(Out, {});
      for (const SendTunnel &Datagram : effectsOfType<SendTunnel>(Sent))
        QueryBytes += Datagram.Datagram.size() + 28;
      recordResets(Sent);
      PacketsForwarded += forwards(Sent).size();
      for (const SentTunnel &Query :
           tunnels<EntryEffects, SendTunnel>(Sent, TunnelKind::Locate))
        if (numberOf(Query.To) <= Last)
          located(numberOf(Query.To), *decodeFlowKeys(Query.Payload), Presence);
      for (const SentTunnel &Query :
           tunnels<EntryEffects, SendTunnel>(Sent, TunnelKind::ListRecentFlows))
        if (numberOf(Query.To) <= Last)
          onTunnel(E, Query.To, digestWithoutFlows(Query, Presence), Now, Out);
      for (const SentTunnel &Query :
           tunnels<EntryEffects, SendTunnel>(Sent, TunnelKind::ListFlows))
        if (numberOf(Query.To) <= Last)
          onTunnel(E, Query.To,
                   encodeTunnel(
                       {TunnelKind::FlowList, FlowPresence::No, 0},
                       encodeFlowList({*decodeFlowListRequest(Query.Payload),
                                       0,
                                       1,
                                       Presence,
                                       {}})),
                   Now, Out);
      flush(E, Now, Out);
    }
  }

  /// Runs for \p Time in steps of 10 ms with answers of agents up to \p Last.
  void run(Duration Time, std::uint32_t Last, FlowPresence Presence) {
    for (Duration Elapsed{}; Elapsed < Time; Elapsed += 10ms) {
      step(10ms);
      answerQueries(Last, Presence);
    }
  }

  std::set<std::uint32_t> queried() const {
    std::set<std::uint32_t> Agents;
    for (const SentTunnel &Query :
         tunnels<EntryEffects, SendTunnel>(Out, TunnelKind::Locate))
      Agents.insert(numberOf(Query.To));
    return Agents;
  }

public:
  /// Guards against callers that wait for a flow that an agent of a later wave
  /// holds, because an agent of the first wave is silent.
  void silentAgentHoldsUpNoWave() {
    begin(FirstWaveSize + 1);
    packet(1);
    const auto First = queried();
    CPPUNIT_ASSERT_EQUAL(FirstWaveSize, First.size());
    // Agents that are only slow get two retries.
    step(LocateRetryInterval);
    CPPUNIT_ASSERT_EQUAL(FirstWaveSize, queried().size());
    step(2 * LocateRetryInterval);
    CPPUNIT_ASSERT_EQUAL(FirstWaveSize + 1, queried().size());
    for (const std::uint32_t Agent : queried())
      if (!First.contains(Agent))
        located(Agent, {{caller(1), ServiceAddress}}, FlowPresence::Yes);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, forwards(Out).size());
  }

  /// Guards against an open flow that isn't found, because its agent has
  /// restarted and another one is silent.
  void triesUnsureAgentsDespiteASilentOne() {
    begin(2);
    packet(1);
    located(1, {{caller(1), ServiceAddress}}, FlowPresence::Unsure);
    CPPUNIT_ASSERT(forwards(Out).empty());
    step(LocateRetryInterval);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, forwards(Out).size());
    CPPUNIT_ASSERT(forwards(Out).at(0).To == agentAt(1));
  }

  /// Guards against a reset of a flow whose agent is slow or cut off.
  void waitsForASilentAgent() {
    begin(3);
    packet(1);
    answerQueries(2, FlowPresence::No);
    run(SearchTimeout + 1s, 2, FlowPresence::No);
    CPPUNIT_ASSERT(ResetPorts.empty());
  }

  /// Guards against a copy of each caller's packet for each agent after a
  /// restart of all agents, when none of them is sure.
  void sendsPacketsToFewUnsureAgentsAtOnce() {
    constexpr std::uint32_t Agents = 100;
    constexpr std::uint16_t Flows = 2 * MinSearchesForFlowList;
    begin(Agents);
    for (std::uint16_t Port = 1; Port <= Flows; ++Port) {
      packet(Port);
      answerQueries(Agents, FlowPresence::Unsure);
    }
    run(LocateRetryInterval - 20ms, Agents, FlowPresence::Unsure);
    CPPUNIT_ASSERT(PacketsForwarded > 0);
    CPPUNIT_ASSERT(PacketsForwarded <= Flows * FirstWaveSize);
  }

  /// Guards against searches of four waves each, which fill the link.
  void asksAllAgentsOnceForManyLostFlows() {
    constexpr std::uint32_t Agents = 200;
    begin(Agents);
    for (std::uint16_t Port = 1; Port <= 60; ++Port) {
      packet(Port);
      answerQueries(Agents, FlowPresence::No);
    }
    run(500ms, Agents, FlowPresence::No);
    CPPUNIT_ASSERT_EQUAL(std::size_t{60}, ResetPorts.size());
    // One query to each agent for the first wave and one for the others.
    CPPUNIT_ASSERT(QueryBytes < 3 * BytesOfAQuery * Agents);
  }

  /// Guards against queries that fill a narrow link while callers find out one
  /// after the other that their flows are lost.
  void bytesOfSearchesDependOnTimeNotOnFlows() {
    constexpr std::uint32_t Agents = 200;
    std::vector<std::size_t> Bytes;
    for (const int PerStep : {1, 4}) {
      begin(Agents);
      std::uint16_t Port = 0;
      for (int Step = 0; Step < 40; ++Step) {
        for (int I = 0; I < PerStep; ++I) {
          packet(++Port);
          answerQueries(Agents, FlowPresence::No);
        }
        run(50ms, Agents, FlowPresence::No);
      }
      run(1s, Agents, FlowPresence::No);
      CPPUNIT_ASSERT_EQUAL(std::size_t{Port}, ResetPorts.size());
      Bytes.push_back(QueryBytes);
    }
    CPPUNIT_ASSERT(Bytes[1] < 2 * Bytes[0]);
    constexpr auto Seconds = 3;
    CPPUNIT_ASSERT(Bytes[1] <
                   Seconds * QueryBytesPerSecond + MaxQueryBurstBytes);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FlowSearchTest);

} // namespace
