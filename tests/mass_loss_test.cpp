#include "flow_support.h"
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>

using namespace jasminearch;
using namespace jasminearch::flow;
using namespace jasminearch::flow::test;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t AgentCount = 200;
constexpr double LinkBytesPerSecond = 2.1e6 / 8;
constexpr std::size_t HeaderBytes = 28;
constexpr Duration OneWayDelay = 1400us;

/// What the network does to datagrams besides the link's width.
struct Faults {
  double LossShare = 0;
  Duration MaxExtraDelay{};
};

/// An agent and its upstream, which answers on the flows that it holds and
/// returns the packets of others.
struct SimulatedHost {
  AgentFlows Agent;
  std::set<std::uint16_t> HeldPorts;
  /// The agent takes no input before this time.
  TimePoint StartsAt{};
  /// The agent takes no input from this time on.
  TimePoint StopsAt = TimePoint::max();
};

/// One entry host that has lost its state, behind a narrow link that both
/// directions share, and the agents of a large fleet.
class MassLossSimulation {
public:
  explicit MassLossSimulation(std::uint64_t Seed, Faults Network = {},
                              std::uint32_t Agents = AgentCount)
      : Random(Seed), Network(Network), Hosts(Agents) {
    E.Codec = codec();
    setRoutes(E, std::make_shared<const RouteIndex>(routesTo("orders")));
    addListedAgents(E, listed(Agents, "orders"), true, Now);
    for (SimulatedHost &H : Hosts)
      startAgent(H, true);
  }

  /// Starts a run of an agent beside its upstream. \p WithUpstream tells that
  /// the upstream has started with it, so that the agent knows all its flows.
  void startAgent(SimulatedHost &H, bool WithUpstream) {
    H.Agent = {};
    H.Agent.StartedAt = Now;
    H.Agent.Options.RunId = ++LastRunId;
    H.Agent.Options.Codec = codec();
    H.Agent.Options.Lease = 1h;
    AnnouncedUpstream A;
    A.Name = "i-1";
    A.Service = "orders";
    A.State = UpstreamState::Ready;
    A.Slots = 2;
    A.StartedAtMs = 1;
    A.Number = WithUpstream ? FirstAnnouncementNumber : 9;
    if (WithUpstream)
      onListenCheckDone(H.Agent, true);
    announce(H.Agent, A, Now);
  }

  /// Starts a run of an agent \p Distance after its upstream, as after a loss
  /// of power. \p Reported tells that a control host heard of no earlier run.
  void startTogether(SimulatedHost &H, std::chrono::milliseconds Distance,
                     bool Reported) {
    constexpr std::int64_t AgentStartedAtMs = 1'000'000;
    H.Agent = {};
    H.Agent.StartedAt = Now;
    H.Agent.Options.RunId = ++LastRunId;
    H.Agent.Options.Codec = codec();
    H.Agent.Options.Lease = 1h;
    H.Agent.Options.ListensWhileRunning = true;
    H.Agent.Options.StartedAtMs = AgentStartedAtMs;
    onListenCheckDone(H.Agent, false);
    AnnouncedUpstream A;
    A.Name = "i-1";
    A.Service = "orders";
    A.State = UpstreamState::Ready;
    A.Slots = 2;
    A.StartedAtMs = AgentStartedAtMs - Distance.count();
    A.Number = FirstAnnouncementNumber;
    announce(H.Agent, A, Now);
    if (Reported)
      reportEarlierRuns(H.Agent, {}, Now);
  }

  /// The agent has restarted and hasn't seen its upstream's flows. Must come
  /// before its first answer, as its run id stays the same.
  static void forgetFlows(AgentFlows &A) {
    A.Flows.clear();
    A.Log = {};
  }

  /// Lets the upstream of \p H hold a flow that its agent has seen opening.
  void hold(SimulatedHost &H, std::uint16_t Port) {
    H.HeldPorts.insert(Port);
    AgentFlow &F = addFlow(H.Agent, {caller(Port), ServiceAddress});
    F.Confirmed = true;
    F.LastSeen = Now;
  }

  /// Sends a packet of an established flow to the entry host. The caller
  /// repeats it after 200 ms, 400 ms and so on until it hears something.
  void callerSends(std::uint16_t Port) {
    SentAt.try_emplace(Port, Now);
    repeat(Port, 200ms);
  }

  void run(Duration Time) {
    const TimePoint End = Now + Time;
    while (Now < End) {
      const TimePoint Next = std::min(End, nextTick());
      while (!Events.empty() && Events.top().At <= Next) {
        Now = std::max(Now, Events.top().At);
        const auto Action = Events.top().Action;
        Events.pop();
        Action();
      }
      Now = Next;
      atEntry([this](EntryEffects &Out) { tick(E, Now, Out); });
      for (std::uint32_t I = 0; I < Hosts.size(); ++I)
        atAgent(I, [&](AgentEffects &Out) { tick(Hosts[I].Agent, Now, Out); });
    }
  }

  TimePoint Now = TimePoint(1h);
  std::mt19937_64 Random;
  Faults Network;
  std::vector<SimulatedHost> Hosts;
  EntryFlows E;
  /// Bytes of queries, answers and forwarded packets on the link.
  std::size_t SearchBytes = 0;
  /// Datagrams from the entry host to agents: queries, and callers' packets.
  std::size_t Queries = 0;
  std::size_t Tries = 0;
  std::map<std::uint16_t, TimePoint> SentAt;
  /// Time between a caller's first packet and the reset or the upstream's
  /// answer.
  std::map<std::uint16_t, Duration> ResetAfter;
  std::map<std::uint16_t, Duration> AnsweredAfter;

private:
  struct Event {
    TimePoint At;
    std::uint64_t Number;
    std::function<void()> Action;
    bool operator<(const Event &Other) const {
      return std::tie(Other.At, Other.Number) < std::tie(At, Number);
    }
  };

  void at(TimePoint Time, std::function<void()> Action) {
    Events.push({Time, ++LastEvent, std::move(Action)});
  }

  TimePoint nextTick() const {
    constexpr Duration TickInterval = 10ms;
    return Now + TickInterval;
  }

  void repeat(std::uint16_t Port, Duration Interval) {
    constexpr Duration Deadline = 2500ms;
    if (ResetAfter.contains(Port) || AnsweredAfter.contains(Port) ||
        Now - SentAt.at(Port) >= Deadline)
      return;
    const Bytes Raw = encode(data(Port));
    SearchBytes -= Raw.size() + HeaderBytes;
    overLink(Raw.size(), [this, Raw] {
      atEntry([&](EntryEffects &Out) { onCallerPacket(E, Raw, Now, Out); });
    });
    at(Now + Interval, [this, Port, Interval] {
      repeat(Port, std::min<Duration>(2 * Interval, 1600ms));
    });
  }

  /// Carries a datagram over the entry host's link.
  void overLink(std::size_t Size, std::function<void()> Deliver) {
    SearchBytes += Size + HeaderBytes;
    const std::chrono::duration<double> Time(
        static_cast<double>(Size + HeaderBytes) / LinkBytesPerSecond);
    LinkFreeAt =
        std::max(LinkFreeAt, Now) + std::chrono::duration_cast<Duration>(Time);
    const double Draw = std::uniform_real_distribution<double>(0, 1)(Random);
    if (Draw < Network.LossShare)
      return;
    const double Extra = std::uniform_real_distribution<double>(0, 1)(Random);
    at(LinkFreeAt + OneWayDelay +
           std::chrono::duration_cast<Duration>(Network.MaxExtraDelay * Extra),
       std::move(Deliver));
  }

  template <typename Function> void atEntry(Function Handle) {
    EntryEffects Out;
    Handle(Out);
    flush(E, Now, Out);
    for (const EntryEffect &Effect : Out) {
      if (const auto *S = std::get_if<SendTunnel>(&Effect)) {
        const auto Decoded = decodeTunnel(S->Datagram);
        ++(Decoded->Header.Kind == TunnelKind::Forward ? Tries : Queries);
        overLink(S->Datagram.size(), [this, S = *S] { toAgent(S); });
      }
      if (const auto *R = std::get_if<SendReset>(&Effect)) {
        const std::uint16_t Port = R->Value.Flow.Caller.Port;
        ResetAfter.try_emplace(Port, Now - SentAt.at(Port));
      }
    }
  }

  void toAgent(const SendTunnel &S) {
    const std::uint32_t Index = S.To.Address - agentAt(1).Address;
    atAgent(Index, [&](AgentEffects &Out) {
      onTunnel(Hosts[Index].Agent, {1, 1}, S.Datagram, Now, Out);
    });
  }

  template <typename Function>
  void atAgent(std::uint32_t Index, Function Handle) {
    SimulatedHost &H = Hosts[Index];
    if (Now < H.StartsAt || Now >= H.StopsAt)
      return;
    AgentEffects Out;
    Handle(Out);
    for (const AgentEffect &Effect : Out) {
      if (const auto *S = std::get_if<SendToUpstream>(&Effect))
        at(Now + 1ms, [this, Index, Raw = S->Raw] { toUpstream(Index, Raw); });
      if (const auto *S = std::get_if<SendToEntry>(&Effect))
        overLink(S->Datagram.size(), [this, Index, S = *S] {
          atEntry([&](EntryEffects &Sent) {
            onTunnel(E, agentAt(Index + 1), S.Datagram, Now, Sent);
          });
        });
      if (const auto *S = std::get_if<SendToCaller>(&Effect))
        AnsweredAfter.try_emplace(S->Caller.Port,
                                  Now - SentAt.at(S->Caller.Port));
    }
  }

  void toUpstream(std::uint32_t Index, const Bytes &Raw) {
    WirePacket P = decodeWire(Raw);
    P.Returned = !Hosts[Index].HeldPorts.contains(P.Caller.Port);
    atAgent(Index, [&](AgentEffects &Out) {
      onUpstreamPacket(Hosts[Index].Agent, encode(P), Now, Out);
    });
  }

  std::priority_queue<Event> Events;
  std::uint64_t LastEvent = 0;
  std::uint64_t LastRunId = 0;
  TimePoint LinkFreeAt{};
};

/// Load: after a loss of power, callers send their next requests on thousands
/// of flows that no upstream holds, through entry hosts with narrow links.
class MassLossTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MassLossTest);
  CPPUNIT_TEST(resetsLostFlowsInTime);
  CPPUNIT_TEST(bytesDoNotGrowWithTheNumberOfFlows);
  CPPUNIT_TEST(resetsLostFlowsBesideManyOpenOnes);
  CPPUNIT_TEST(resetsLostFlowsDespiteSlowAgents);
  CPPUNIT_TEST(findsOpenFlowsAmongLostOnes);
  CPPUNIT_TEST(neverResetsAnOpenFlow);
  CPPUNIT_TEST(triesNoLostFlowAfterALossOfPower);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::uint16_t FlowsAtOnce = 60;

  /// Lets \p AtOnce callers send at once and then \p PerSecond a second for
  /// three seconds.
  static std::uint16_t sendOnLostFlows(MassLossSimulation &S,
                                       std::uint16_t AtOnce, int PerSecond) {
    std::uint16_t Port = 0;
    while (Port < AtOnce)
      S.callerSends(++Port);
    for (int I = 0; I < 3 * PerSecond; ++I) {
      S.run(1s / PerSecond);
      S.callerSends(++Port);
    }
    S.run(3s);
    return Port;
  }

public:
  /// Guards against callers that are told nothing until their deadline. The
  /// objective of their requests is 500 ms.
  void resetsLostFlowsInTime() {
    MassLossSimulation S(1);
    const std::uint16_t Flows = sendOnLostFlows(S, FlowsAtOnce, 8);
    CPPUNIT_ASSERT_EQUAL(std::size_t{Flows}, S.ResetAfter.size());
    for (const auto &[Port, After] : S.ResetAfter)
      CPPUNIT_ASSERT(After <= 500ms);
  }

  /// Load: seconds after the return, most callers have new flows, and the
  /// others find out one after the other that theirs are lost. Guards against
  /// queries for all of them to agents that have too many flows to list: no
  /// search ended before SearchTimeout, and the next packet of its caller began
  /// another one.
  void resetsLostFlowsBesideManyOpenOnes() {
    constexpr std::uint16_t OpenPerAgent = 33;
    constexpr std::uint16_t FirstOpen = 10'000;
    MassLossSimulation S(4);
    std::uint16_t Port = FirstOpen;
    for (SimulatedHost &H : S.Hosts)
      for (std::uint16_t I = 0; I < OpenPerAgent; ++I)
        S.hold(H, ++Port);
    const std::uint16_t Flows = sendOnLostFlows(S, FlowsAtOnce, 25);
    CPPUNIT_ASSERT_EQUAL(std::size_t{Flows}, S.ResetAfter.size());
    for (const auto &[Lost, After] : S.ResetAfter)
      CPPUNIT_ASSERT(After <= 500ms);
  }

  /// Guards against searches that never end because the answers of busy agents
  /// come after the next request: the agents have a fraction of a core, and
  /// some datagrams are lost.
  void resetsLostFlowsDespiteSlowAgents() {
    MassLossSimulation S(5, Faults{0.02, 200ms});
    const std::uint16_t Flows = sendOnLostFlows(S, FlowsAtOnce, 25);
    CPPUNIT_ASSERT_EQUAL(std::size_t{Flows}, S.ResetAfter.size());
    for (const auto &[Lost, After] : S.ResetAfter)
      CPPUNIT_ASSERT(After < SearchTimeout);
  }

  /// Guards against searches that fill the link: their bytes grow with time and
  /// agents, not with flows times agents. A narrow link takes 0.3 s for the
  /// packets of a thousand callers, so that a hundred return in the same time.
  void bytesDoNotGrowWithTheNumberOfFlows() {
    // 170 bytes are a query for a few flows and its answer.
    constexpr std::size_t RoundBytes = std::size_t{AgentCount} * 170;
    std::vector<std::size_t> Bytes;
    for (const std::uint16_t Flows : {100, 1000}) {
      MassLossSimulation S(2);
      for (std::uint16_t Port = 1; Port <= Flows; ++Port) {
        S.callerSends(Port);
        if (Port % (Flows / 100) == 0)
          S.run(3ms);
      }
      S.run(4s);
      CPPUNIT_ASSERT_EQUAL(std::size_t{Flows}, S.ResetAfter.size());
      Bytes.push_back(S.SearchBytes);
      CPPUNIT_ASSERT(S.SearchBytes < 2 * QueryBytesPerSecond + RoundBytes);
    }
    CPPUNIT_ASSERT(Bytes[1] < 2 * Bytes[0]);
  }

  /// Guards against an open flow whose caller waits behind the searches for
  /// lost ones. Its agent has restarted meanwhile and doesn't know the flow.
  void findsOpenFlowsAmongLostOnes() {
    MassLossSimulation S(3);
    constexpr std::uint16_t FirstOpen = 1000;
    for (std::uint16_t I = 0; I < 20; ++I) {
      SimulatedHost &H = S.Hosts[std::size_t{I} * 10];
      if (I % 2 == 0)
        S.startAgent(H, false);
      S.hold(H, FirstOpen + I);
      if (I % 2 == 0)
        MassLossSimulation::forgetFlows(H.Agent);
      S.callerSends(FirstOpen + I);
    }
    sendOnLostFlows(S, FlowsAtOnce, 8);
    CPPUNIT_ASSERT_EQUAL(std::size_t{20}, S.AnsweredAfter.size());
    for (const auto &[Port, After] : S.AnsweredAfter)
      CPPUNIT_ASSERT(After <= 1s);
  }

  /// Guards against a reset of an open flow, whatever agents start late, stop
  /// or don't know their flows, and whatever datagrams are lost or overtake
  /// each other.
  void neverResetsAnOpenFlow() {
    constexpr std::uint16_t FirstOpen = 1000;
    constexpr std::uint16_t OpenFlows = 40;
    for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
      // In odd runs every agent answers in the end, few datagrams are lost and
      // few agents have restarted, so that lost flows are reset beside open
      // ones. Each agent that has restarted gets a packet of each lost flow.
      const bool Calm = Seed % 2 == 1;
      MassLossSimulation S(Seed,
                           Calm ? Faults{0.005, 20ms} : Faults{0.05, 80ms});
      const auto Number = [&S](std::size_t Limit) {
        return std::uniform_int_distribution<std::size_t>(0,
                                                          Limit - 1)(S.Random);
      };
      for (std::uint16_t I = 0; I < OpenFlows; ++I) {
        SimulatedHost &H = S.Hosts[Number(AgentCount)];
        const bool Restarted = Number(Calm ? 8 : 2) == 0;
        if (Restarted)
          S.startAgent(H, false);
        S.hold(H, FirstOpen + I);
        if (Restarted)
          MassLossSimulation::forgetFlows(H.Agent);
        H.StartsAt = S.Now + std::chrono::milliseconds(Number(3) * 350);
        if (!Calm && Number(10) == 0)
          H.StopsAt = S.Now + std::chrono::milliseconds(Number(1000));
        S.callerSends(FirstOpen + I);
      }
      const std::uint16_t Lost = sendOnLostFlows(S, FlowsAtOnce, 8);
      if (Calm)
        CPPUNIT_ASSERT(S.ResetAfter.size() >= Lost / 2U);
      for (std::uint16_t I = 0; I < OpenFlows; ++I)
        CPPUNIT_ASSERT(!S.ResetAfter.contains(FirstOpen + I));
    }
  }

  /// Load: all hosts lose power, and 60 agents start a little after their
  /// upstreams, which got no flows from earlier runs. Guards against agents
  /// that aren't sure of that, so that each lost flow's packet goes to each of
  /// them and back over the entry host's link.
  void triesNoLostFlowAfterALossOfPower() {
    constexpr std::uint32_t Agents = 60;
    std::map<bool, std::size_t> Queries;
    std::map<bool, std::size_t> Tries;
    std::map<bool, std::size_t> InTime;
    std::uint16_t Flows = 0;
    for (const bool Reported : {false, true}) {
      MassLossSimulation S(6, {}, Agents);
      std::uint32_t Index = 0;
      for (SimulatedHost &H : S.Hosts)
        S.startTogether(H, std::chrono::milliseconds(30 + Index++), Reported);
      Flows = sendOnLostFlows(S, FlowsAtOnce, 60);
      Queries[Reported] = S.Queries;
      Tries[Reported] = S.Tries;
      for (const auto &[Port, After] : S.ResetAfter)
        InTime[Reported] += After <= 500ms ? 1 : 0;
    }
    const std::string Counts =
        absl::StrCat(Flows, " lost flows; unsure: ", Queries[false],
                     " queries, ", Tries[false], " tries, ", InTime[false],
                     " reset in time; sure: ", Queries[true], " queries, ",
                     Tries[true], " tries, ", InTime[true], " reset in time");
    CPPUNIT_ASSERT_EQUAL_MESSAGE(Counts, std::size_t{0}, Tries[true]);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(Counts, std::size_t{Flows}, InTime[true]);
    // Searches share queries, so that there are far fewer than flows times
    // agents.
    CPPUNIT_ASSERT_MESSAGE(Counts, Queries[true] < Flows * Agents / 4);
    CPPUNIT_ASSERT_MESSAGE(Counts, Tries[false] > 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MassLossTest);

} // namespace
