#include "flow_support.h"
#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <numeric>
#include <random>

using namespace jasminearch;
using namespace jasminearch::flow;
using namespace jasminearch::flow::test;
using namespace std::chrono_literals;

namespace {

/// An upstream with slots and a short queue, beside its agent. Like the
/// platform's upstreams, it sheds requests that don't fit into the queue.
struct SimulatedUpstream {
  AgentFlows Agent;
  std::vector<std::pair<TimePoint, FlowKey>> Running;
  std::deque<FlowKey> Queue;
  std::size_t Shed = 0;
  std::size_t Served = 0;
  std::size_t ServedOnTime = 0;
};

/// Simulates callers that all return at the same time after a power loss. Each
/// opens a flow and then sends one request.
class ReturningCallersSimulation {
public:
  static constexpr std::uint32_t Slots = 4;
  static constexpr std::size_t QueueLength = 16;
  static constexpr Duration ServiceTime = 48ms;
  static constexpr Duration RoundTrip = 6ms;

  explicit ReturningCallersSimulation(bool QueuesOpenings)
      : QueuesOpenings(QueuesOpenings) {
    U.Agent.Options.Codec = codec();
    U.Agent.Options.Lease = 1h;
    AnnouncedUpstream A;
    A.Name = "i-1";
    A.Service = "orders";
    A.State = UpstreamState::Ready;
    A.Slots = Slots;
    A.StartedAtMs = 1;
    announce(U.Agent, A, Now);
  }

  /// Lets \p Callers callers return at once, followed by one more every
  /// \p NewCallerInterval steps of 1 ms.
  void run(std::uint16_t Callers, int NewCallerInterval = 0) {
    std::uint16_t Port = 1;
    while (Port <= Callers)
      fromEntry(opening(Port++));
    Header.Age = 0ms;
    for (int Step = 0; Step < 3000; ++Step) {
      Now += 1ms;
      if (NewCallerInterval != 0 && Step % NewCallerInterval == 0) {
        NewCallers[Port] = Now;
        fromEntry(opening(Port++));
      }
      if (!QueuesOpenings)
        U.Agent.Waiting.clear();
      AgentEffects Out;
      tick(U.Agent, Now, Out);
      applyEffects(Out);
      sendRequests();
      runUpstream();
    }
  }

  SimulatedUpstream U;
  std::size_t Declined = 0;
  /// Header that the entry host sends with openings.
  TunnelHeader Header{TunnelKind::Forward, FlowPresence::No,
                      serviceTag("orders")};
  /// When the later callers opened their flows, by port.
  std::map<std::uint16_t, TimePoint> NewCallers;
  static constexpr Duration Objective = 300ms;

private:
  void fromEntry(const WirePacket &P) {
    // Without a waiting queue, every opening is delivered at once.
    if (!QueuesOpenings) {
      U.Agent.InFlight = 0;
      U.Agent.RecentOpenings.clear();
    }
    AgentEffects Out;
    onTunnel(U.Agent, {1, 1}, encodeTunnel(Header, encode(P)), Now, Out);
    applyEffects(Out);
  }

  void applyEffects(const AgentEffects &Out) {
    for (const SendToUpstream &D : effectsOfType<SendToUpstream>(Out)) {
      const WirePacket P = decodeWire(D.Raw);
      if (P.Opens)
        Opened.push_back({Now + RoundTrip, P.Caller.Port});
      else
        enqueueRequest({P.Caller, P.Service});
    }
    Declined +=
        tunnels<AgentEffects, SendToEntry>(Out, TunnelKind::Returned).size();
  }

  void sendRequests() {
    while (!Opened.empty() && Opened.front().first <= Now) {
      const std::uint16_t Port = Opened.front().second;
      Opened.pop_front();
      fromEntry(data(Port));
    }
  }

  void enqueueRequest(const FlowKey &Flow) {
    if (U.Running.size() < Slots)
      U.Running.emplace_back(Now + ServiceTime, Flow);
    else if (U.Queue.size() < QueueLength)
      U.Queue.push_back(Flow);
    else
      shed(Flow);
  }

  void shed(const FlowKey &Flow) {
    ++U.Shed;
    respond(Flow);
  }

  void respond(const FlowKey &Flow) {
    WirePacket P;
    P.Caller = Flow.Caller;
    P.Service = Flow.Service;
    P.DataBytes = 1;
    AgentEffects Out;
    onUpstreamPacket(U.Agent, encode(P), Now, Out);
    applyEffects(Out);
  }

  void runUpstream() {
    for (std::size_t I = 0; I < U.Running.size();) {
      if (U.Running[I].first > Now) {
        ++I;
        continue;
      }
      const FlowKey Done = U.Running[I].second;
      U.Running.erase(U.Running.begin() + static_cast<std::ptrdiff_t>(I));
      ++U.Served;
      const auto Opened = NewCallers.find(Done.Caller.Port);
      if (Opened != NewCallers.end() && Now - Opened->second <= Objective)
        ++U.ServedOnTime;
      if (!U.Queue.empty()) {
        U.Running.emplace_back(Now + ServiceTime, U.Queue.front());
        U.Queue.pop_front();
      }
      respond(Done);
    }
  }

  bool QueuesOpenings;
  TimePoint Now = TimePoint(1h);
  std::deque<std::pair<TimePoint, std::uint16_t>> Opened;
};

class FlowLoadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FlowLoadTest);
  CPPUNIT_TEST(returningCallersAreServedInsteadOfShed);
  CPPUNIT_TEST(declinesOnlyOpeningsThatComeTooLate);
  CPPUNIT_TEST(keepsFreshCallersOnTimeBehindABacklog);
  CPPUNIT_TEST(spreadsLongFlowsEvenly);
  CPPUNIT_TEST(weighsSlotsAndColdStarts);
  CPPUNIT_TEST(avoidsSilentUpstreamsUnlessAlone);
  CPPUNIT_TEST(spreadsServicesByWeight);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Load: 80 callers return to one upstream with 4 slots at the same time, as
  /// after a power loss. If all openings are delivered at once, most requests
  /// are shed and use up the callers' retries.
  void returningCallersAreServedInsteadOfShed() {
    ReturningCallersSimulation AtOnce(false);
    AtOnce.run(80);
    CPPUNIT_ASSERT(AtOnce.U.Shed >= 50);
    ReturningCallersSimulation InTurn(true);
    InTurn.run(80);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, InTurn.U.Shed);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, InTurn.Declined);
    CPPUNIT_ASSERT_EQUAL(std::size_t{80}, InTurn.U.Served);
  }

  /// Load: more callers than the upstream can serve before they give up. The
  /// excess is declined immediately; nothing that was admitted is shed.
  void declinesOnlyOpeningsThatComeTooLate() {
    ReturningCallersSimulation R(true);
    R.run(600);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, R.U.Shed);
    CPPUNIT_ASSERT(R.Declined > 0);
    const std::size_t Admitted =
        R.U.Served + R.U.Agent.Counters.OpeningsExpired;
    CPPUNIT_ASSERT_EQUAL(std::size_t{600}, Admitted + R.Declined);
  }

  /// Load: 80 callers that have waited for 700 ms return at once, followed by
  /// new callers at three quarters of the upstream's speed. In order of
  /// arrival, the new callers wait behind callers that are already late.
  void keepsFreshCallersOnTimeBehindABacklog() {
    constexpr int NewCallerInterval = 16;
    ReturningCallersSimulation InOrder(true);
    InOrder.run(80, NewCallerInterval);
    ReturningCallersSimulation OnTimeFirst(true);
    OnTimeFirst.Header.Age = 700ms;
    OnTimeFirst.Header.Objective = 300ms;
    OnTimeFirst.run(80, NewCallerInterval);
    const auto NewCallers = static_cast<double>(OnTimeFirst.NewCallers.size());
    // The backlog takes 1.25 s, so that in order of arrival at most half of the
    // callers within 3 s are on time.
    CPPUNIT_ASSERT(static_cast<double>(InOrder.U.ServedOnTime) <
                   0.6 * NewCallers);
    CPPUNIT_ASSERT(static_cast<double>(OnTimeFirst.U.ServedOnTime) >=
                   0.95 * NewCallers);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, OnTimeFirst.U.Shed);
  }

  /// Load: 300 long flows over 7 upstreams, opened through 6 entry hosts whose
  /// reports are up to 200 ms old. Compared with placement by a hash of the
  /// flow, as entry hosts without reports do it.
  void spreadsLongFlowsEvenly() {
    constexpr std::size_t Upstreams = 7;
    constexpr std::size_t EntryHosts = 6;
    constexpr std::size_t Flows = 300;
    std::mt19937_64 Random(1);
    std::vector<std::uint32_t> Placed(Upstreams);
    std::vector<std::uint32_t> Hashed(Upstreams);
    std::vector<LoadReport> Reports(Upstreams, readyReport("orders", 0, 7));
    std::vector<std::vector<std::uint32_t>> Since(
        EntryHosts, std::vector<std::uint32_t>(Upstreams));
    for (std::size_t I = 0; I < Flows; ++I) {
      // 100 flows per second: a new report after every 20 flows.
      if (I % 20 == 0) {
        for (std::size_t U = 0; U < Upstreams; ++U)
          Reports[U].ActiveFlows = Placed[U];
        for (auto &Counts : Since)
          std::fill(Counts.begin(), Counts.end(), 0);
      }
      const std::size_t Host = Random() % EntryHosts;
      std::vector<Candidate> All;
      for (std::uint32_t U = 0; U < Upstreams; ++U)
        All.push_back({agentAt(U), &Reports[U], 0ms, Since[Host][U]});
      const std::uint64_t Hash = Random();
      const auto Chosen =
          place(All, serviceTag("orders"), RequestKind::Idempotent, Hash, {});
      ++Placed[*Chosen];
      ++Since[Host][*Chosen];
      ++Hashed[Hash % Upstreams];
    }
    // The target of docs/design.md, section 1.1.
    constexpr double MaxImbalance = 1.10;
    CPPUNIT_ASSERT(imbalance(Placed) <= MaxImbalance);
    CPPUNIT_ASSERT(imbalance(Hashed) > MaxImbalance);
  }

  void weighsSlotsAndColdStarts() {
    LoadReport Big = readyReport("orders", 4, 8);
    LoadReport Small = readyReport("orders", 4, 4);
    std::vector<Candidate> All = {{agentAt(1), &Small, 0ms, 0},
                                  {agentAt(2), &Big, 0ms, 0}};
    CPPUNIT_ASSERT_EQUAL(
        std::size_t{1},
        *place(All, serviceTag("orders"), RequestKind::Idempotent, 1, {}));
    LoadReport Cold = readyReport("orders", 4, 8);
    Cold.ColdRemaining = 2s;
    LoadReport Warm = readyReport("orders", 5, 8);
    All = {{agentAt(1), &Cold, 0ms, 0}, {agentAt(2), &Warm, 0ms, 0}};
    CPPUNIT_ASSERT_EQUAL(
        std::size_t{1},
        *place(All, serviceTag("orders"), RequestKind::Idempotent, 1, {}));
  }

  void avoidsSilentUpstreamsUnlessAlone() {
    LoadReport Silent = readyReport("orders");
    Silent.Silent = SilenceThreshold;
    LoadReport Busy = readyReport("orders", 12);
    std::vector<Candidate> All = {{agentAt(1), &Silent, 0ms, 0},
                                  {agentAt(2), &Busy, 0ms, 0}};
    CPPUNIT_ASSERT_EQUAL(
        std::size_t{1},
        *place(All, serviceTag("orders"), RequestKind::Idempotent, 1, {}));
    All.pop_back();
    CPPUNIT_ASSERT(
        place(All, serviceTag("orders"), RequestKind::Idempotent, 1, {}));
    Silent.State = UpstreamState::Unknown;
    CPPUNIT_ASSERT(
        !place(All, serviceTag("orders"), RequestKind::Idempotent, 1, {}));
  }

  void spreadsServicesByWeight() {
    Route R;
    R.Targets = {{"a", 90}, {"none", 0}, {"b", 10}};
    std::mt19937_64 Random(1);
    int ToB = 0;
    constexpr int Draws = 20'000;
    for (int I = 0; I < Draws; ++I) {
      const std::string *Service = selectService(R, Random());
      CPPUNIT_ASSERT(Service && *Service != "none");
      ToB += *Service == "b" ? 1 : 0;
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.1, static_cast<double>(ToB) / Draws, 0.01);
  }

private:
  static double imbalance(const std::vector<std::uint32_t> &Counts) {
    const double Sum = std::accumulate(Counts.begin(), Counts.end(), 0.0);
    return *std::max_element(Counts.begin(), Counts.end()) /
           (Sum / static_cast<double>(Counts.size()));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FlowLoadTest);

} // namespace
