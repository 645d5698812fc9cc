#include "../standins-2.h"
#include <csignal>
#include <string>
#include <vector>

/// A server crashes and is back within its lease. The daemon beside it is
/// stopped and started, as planned work, after the server has taken flows and
/// before its first heartbeat.
namespace {

using namespace review;

constexpr int HeartbeatMs = 770;
constexpr int OrdersRoute = 1;
constexpr int MetSide = 2;
constexpr int ControlCount = 3;
constexpr int EntryCount = 2;
constexpr int SideCount = 8;
constexpr int FlowCount = 70;
constexpr int FlowsAtOnce = 7;
constexpr milliseconds ConfigLimit{20000};
constexpr milliseconds ReadyLimit{20000};
/// How long the server is away.
constexpr milliseconds AwayTime{300};
/// For how long it takes flows before the daemon is stopped.
constexpr milliseconds OpenTime{150};
/// When its first heartbeat is due, after its start.
constexpr milliseconds FirstBeat{760};
/// Pause of the flows, longer than contact_ms.
constexpr milliseconds IdleTime{6000};

int runCase(bool Trouble, const std::string &RecordFile) {
  Record Log(RecordFile);
  Deployment D(chooseNet(), ControlCount, EntryCount, SideCount, HeartbeatMs,
               Log);
  for (int I = 1; I <= SideCount; ++I)
    D.setService(I, "orders");
  D.startAll();
  World W(D, Log);
  if (putConfig(D,
                configBody(D.net(), 1, {{OrdersRoute, "orders"}}, {"orders"}),
                Log, ConfigLimit) != 200)
    return 2;
  for (int I = 1; I <= SideCount; ++I)
    W.startServer(I, "i-" + std::to_string(I), "orders")
        .startHeartbeats(HeartbeatMs);
  if (!W.waitReady(ReadyLimit))
    return 2;
  W.run(milliseconds(4000));
  if (Trouble) {
    W.stopServer(MetSide);
    W.run(AwayTime);
    W.startServer(MetSide, "i-" + std::to_string(MetSide), "orders");
  }
  const auto StartedAt = Clock::now();
  std::vector<std::uint16_t> Ports;
  for (int I = 0; I < FlowCount; ++I) {
    Ports.push_back(W.openFlow(OrdersRoute, 0, false, "o" + std::to_string(I)));
    if (I % FlowsAtOnce == 0)
      W.run(OpenTime * FlowsAtOnce / FlowCount);
  }
  const std::string Daemon = "s" + std::to_string(MetSide);
  if (Trouble) {
    W.run(milliseconds(30));
    D.signal(Daemon, SIGTERM);
    while (D.running(Daemon))
      W.run(milliseconds(5));
    D.start(Daemon);
    while (Clock::now() < StartedAt + FirstBeat)
      W.run(milliseconds(5));
    W.server(MetSide)->startHeartbeats(HeartbeatMs);
  }
  W.run(IdleTime);
  for (const std::uint16_t Port : Ports)
    W.request(Port, "p" + std::to_string(Port));
  W.run(milliseconds(3000));
  int Held = 0;
  for (const Ran &R : W.runs())
    Held += R.Side == MetSide ? 1 : 0;
  Log.line("requests run " + std::to_string(W.runs().size()) + ", of these " +
           std::to_string(Held) + " on " + Daemon +
           "; open flows that were reset though their server holds them: " +
           std::to_string(W.wrongResets().size()));
  if (Held == 0)
    return 2;
  return W.wrongResets().empty() ? 0 : 1;
}

} // namespace

int main(int Argc, char **Argv) { return review::runMain(Argc, Argv, runCase); }
