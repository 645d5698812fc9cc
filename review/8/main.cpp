#include "../standins-2.h"
#include <string>
#include <vector>

/// A heartbeat of another writer, which names a service that isn't configured,
/// reaches the daemon beside a server that holds open flows.
namespace {

using namespace review;

constexpr int HeartbeatMs = 1200;
constexpr int OrdersRoute = 1;
constexpr int MetSide = 1;
constexpr int ControlCount = 3;
constexpr int EntryCount = 2;
constexpr int SideCount = 2;
constexpr int FlowCount = 20;
constexpr milliseconds ConfigLimit{20000};
constexpr milliseconds ReadyLimit{20000};
constexpr milliseconds RequestInterval{500};

/// Sends a request on each open flow every RequestInterval.
void useFlows(World &W, const std::vector<std::uint16_t> &Ports,
              milliseconds Time, int &Number) {
  const auto Until = Clock::now() + Time;
  while (Clock::now() < Until) {
    for (const std::uint16_t Port : Ports)
      W.request(Port, "q" + std::to_string(++Number));
    W.run(RequestInterval);
  }
}

std::string foreignHeartbeat(const Net &N) {
  const auto Born = std::chrono::duration_cast<milliseconds>(
                        std::chrono::system_clock::now().time_since_epoch())
                        .count();
  return "{\"service\":\"not-configured\",\"address\":\"" + N.side(MetSide) +
         ":" + std::to_string(N.App) +
         "\",\"zone\":\"zone-a\",\"version\":\"v9\",\"concurrency_limit\":4,"
         "\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1,"
         "\"born\":" +
         std::to_string(Born) + "}";
}

int runCase(bool Trouble, const std::string &RecordFile) {
  Record Log(RecordFile);
  Deployment D(chooseNet(), ControlCount, EntryCount, SideCount, HeartbeatMs,
               Log);
  for (int I = 1; I <= SideCount; ++I)
    D.setService(I, "orders");
  D.startAll();
  World W(D, Log);
  const Net &N = D.net();
  if (putConfig(D, configBody(N, 1, {{OrdersRoute, "orders"}}, {"orders"}), Log,
                ConfigLimit) != 200)
    return 2;
  for (int I = 1; I <= SideCount; ++I)
    W.startServer(I, "i-" + std::to_string(I), "orders")
        .startHeartbeats(HeartbeatMs);
  if (!W.waitReady(ReadyLimit))
    return 2;
  W.run(milliseconds(2000));
  std::vector<std::uint16_t> Ports;
  Ports.reserve(FlowCount);
  for (int I = 0; I < FlowCount; ++I)
    Ports.push_back(W.openFlow(OrdersRoute, 0, false, "o" + std::to_string(I)));
  int Number = 0;
  useFlows(W, Ports, milliseconds(6000), Number);
  const int AnsweredBefore = W.answered();
  if (Trouble) {
    const std::string Body = foreignHeartbeat(N);
    Log.line("heartbeat of another writer to s1: " + Body);
    const auto Answer =
        httpCall(N.side(MetSide), N.Control, "PUT", "/instances/i-other", Body,
                 HeartbeatAnswerLimit);
    Log.line("answer: " + (Answer ? std::to_string(Answer->Status) : "none"));
  }
  useFlows(W, Ports, milliseconds(6000), Number);
  Log.line("requests answered before " + std::to_string(AnsweredBefore) +
           ", after " + std::to_string(W.answered() - AnsweredBefore) +
           "; open flows that were reset though their server holds them: " +
           std::to_string(W.wrongResets().size()));
  if (AnsweredBefore == 0)
    return 2;
  return W.wrongResets().empty() ? 0 : 1;
}

} // namespace

int main(int Argc, char **Argv) { return review::runMain(Argc, Argv, runCase); }
