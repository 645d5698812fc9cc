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

/// An upstream with slots and a short queue, beside its agent. What the queue
/// has no room for is shed, as the platform's upstreams do.
struct SimulatedUpstream {
  AgentFlows Agent;
  std::vector<std::pair<TimePoint, FlowKey>> Running;
  std::deque<FlowKey> Queue;
  std::size_t Shed = 0;
  std::size_t Served = 0;
  std::size_t ServedOnTime = 0;
};

/// Replays callers that all return in one moment after a loss of power, each
/// with a request right after its opening.
class ReturnReplay {
public:
  static constexpr std::uint32_t Slots = 4;
  static constexpr std::size_t QueueLength = 16;
  static constexpr Duration Work = 48ms;
  static constexpr Duration RoundTrip = 6ms;

  explicit ReturnReplay(bool Waiting) : Waiting(Waiting) {
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

  /// \p Callers return at once, then one more every \p FreshEvery steps of 1
  /// ms.
  void run(std::uint16_t Callers, int FreshEvery = 0) {
    std::uint16_t Port = 1;
    while (Port <= Callers)
      fromEntry(opening(Port++));
    Header.Age = 0ms;
    for (int Step = 0; Step < 3000; ++Step) {
      Now += 1ms;
      if (FreshEvery != 0 && Step % FreshEvery == 0) {
        Fresh[Port] = Now;
        fromEntry(opening(Port++));
      }
      if (!Waiting)
        U.Agent.Waiting.clear();
      AgentEffects Out;
      tick(U.Agent, Now, Out);
      carryOut(Out);
      callersSend();
      upstreamWorks();
    }
  }

  SimulatedUpstream U;
  std::size_t Declined = 0;
  /// What the entry host tells of openings.
  TunnelHeader Header{TunnelKind::Forward, Holding::No, serviceTag("orders")};
  /// When callers of the second kind opened, by port.
  std::map<std::uint16_t, TimePoint> Fresh;
  static constexpr Duration Objective = 300ms;

private:
  void fromEntry(const WirePacket &P) {
    // Without waiting, every opening is delivered at once.
    if (!Waiting) {
      U.Agent.InFlight = 0;
      U.Agent.RecentOpenings.clear();
    }
    AgentEffects Out;
    onTunnel(U.Agent, {1, 1}, encodeTunnel(Header, encode(P)), Now, Out);
    carryOut(Out);
  }

  void carryOut(const AgentEffects &Out) {
    for (const ToUpstream &D : only<ToUpstream>(Out)) {
      const WirePacket P = wire(D.Raw);
      if (P.Opens)
        Opened.push_back({Now + RoundTrip, P.Caller.Port});
      else
        arrive({P.Caller, P.Service});
    }
    Declined +=
        tunnels<AgentEffects, ToEntry>(Out, TunnelKind::Returned).size();
  }

  void callersSend() {
    while (!Opened.empty() && Opened.front().first <= Now) {
      const std::uint16_t Port = Opened.front().second;
      Opened.pop_front();
      fromEntry(data(Port));
    }
  }

  void arrive(const FlowKey &Flow) {
    if (U.Running.size() < Slots)
      U.Running.emplace_back(Now + Work, Flow);
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
    carryOut(Out);
  }

  void upstreamWorks() {
    for (std::size_t I = 0; I < U.Running.size();) {
      if (U.Running[I].first > Now) {
        ++I;
        continue;
      }
      const FlowKey Done = U.Running[I].second;
      U.Running.erase(U.Running.begin() + static_cast<std::ptrdiff_t>(I));
      ++U.Served;
      const auto Opened = Fresh.find(Done.Caller.Port);
      if (Opened != Fresh.end() && Now - Opened->second <= Objective)
        ++U.ServedOnTime;
      if (!U.Queue.empty()) {
        U.Running.emplace_back(Now + Work, U.Queue.front());
        U.Queue.pop_front();
      }
      respond(Done);
    }
  }

  bool Waiting;
  TimePoint Now = TimePoint(1h);
  std::deque<std::pair<TimePoint, std::uint16_t>> Opened;
};

class FlowLoadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FlowLoadTest);
  CPPUNIT_TEST(returningCallersAreServedInsteadOfShed);
  CPPUNIT_TEST(declinesOnlyWhatComesTooLate);
  CPPUNIT_TEST(keepsFreshCallersOnTimeBehindABacklog);
  CPPUNIT_TEST(spreadsLongFlowsEvenly);
  CPPUNIT_TEST(weighsSlotsAndColdStarts);
  CPPUNIT_TEST(avoidsSilentUpstreamsUnlessAlone);
  CPPUNIT_TEST(spreadsServicesByWeight);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Load: 80 callers return to one upstream of 4 slots in one moment, as after
  /// a loss of power. Delivered at once, most requests are shed and burn the
  /// callers' retries.
  void returningCallersAreServedInsteadOfShed() {
    ReturnReplay AtOnce(false);
    AtOnce.run(80);
    CPPUNIT_ASSERT(AtOnce.U.Shed >= 50);
    ReturnReplay InTurn(true);
    InTurn.run(80);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, InTurn.U.Shed);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, InTurn.Declined);
    CPPUNIT_ASSERT_EQUAL(std::size_t{80}, InTurn.U.Served);
  }

  /// Load: more callers than the upstream can serve before they give up. The
  /// surplus is told at once; nothing that was let in is shed.
  void declinesOnlyWhatComesTooLate() {
    ReturnReplay R(true);
    R.run(600);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, R.U.Shed);
    CPPUNIT_ASSERT(R.Declined > 0);
    const std::size_t LetIn = R.U.Served + R.U.Agent.Counters.OpeningsExpired;
    CPPUNIT_ASSERT_EQUAL(std::size_t{600}, LetIn + R.Declined);
  }

  /// Load: 80 callers that have waited for 700 ms return at once, and fresh
  /// ones follow at three quarters of the upstream's speed. In order of arrival
  /// the fresh ones wait behind callers that are late anyway.
  void keepsFreshCallersOnTimeBehindABacklog() {
    constexpr int FreshEvery = 16;
    ReturnReplay InOrder(true);
    InOrder.run(80, FreshEvery);
    ReturnReplay OnTimeFirst(true);
    OnTimeFirst.Header.Age = 700ms;
    OnTimeFirst.Header.Objective = 300ms;
    OnTimeFirst.run(80, FreshEvery);
    const auto Fresh = static_cast<double>(OnTimeFirst.Fresh.size());
    // 1.25 s of work for the backlog leave at most half of 3 s on time in
    // order.
    CPPUNIT_ASSERT(static_cast<double>(InOrder.U.ServedOnTime) < 0.6 * Fresh);
    CPPUNIT_ASSERT(static_cast<double>(OnTimeFirst.U.ServedOnTime) >=
                   0.95 * Fresh);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, OnTimeFirst.U.Shed);
  }

  /// Load: 300 long flows over 7 upstreams, opened through 6 entry hosts whose
  /// reports are 200 ms old. Compared with a hash of the flow, which is what
  /// entry hosts without reports do.
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
      // 100 flows a second: a new report after each 20 flows.
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
      const auto At = place(All, "orders", RequestKind::Idempotent, Hash, {});
      ++Placed[*At];
      ++Since[Host][*At];
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
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         *place(All, "orders", RequestKind::Idempotent, 1, {}));
    LoadReport Cold = readyReport("orders", 4, 8);
    Cold.ColdRemaining = 2s;
    LoadReport Warm = readyReport("orders", 5, 8);
    All = {{agentAt(1), &Cold, 0ms, 0}, {agentAt(2), &Warm, 0ms, 0}};
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         *place(All, "orders", RequestKind::Idempotent, 1, {}));
  }

  void avoidsSilentUpstreamsUnlessAlone() {
    LoadReport Silent = readyReport("orders");
    Silent.Silent = SilentLimit;
    LoadReport Busy = readyReport("orders", 12);
    std::vector<Candidate> All = {{agentAt(1), &Silent, 0ms, 0},
                                  {agentAt(2), &Busy, 0ms, 0}};
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         *place(All, "orders", RequestKind::Idempotent, 1, {}));
    All.pop_back();
    CPPUNIT_ASSERT(place(All, "orders", RequestKind::Idempotent, 1, {}));
    All.front().Age = ReportFresh;
    CPPUNIT_ASSERT(!place(All, "orders", RequestKind::Idempotent, 1, {}));
  }

  void spreadsServicesByWeight() {
    Route R;
    R.Targets = {{"a", 90}, {"none", 0}, {"b", 10}};
    std::mt19937_64 Random(1);
    int ToB = 0;
    constexpr int Draws = 20'000;
    for (int I = 0; I < Draws; ++I) {
      const std::string *Service = serviceFor(R, Random());
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
