#include "../standin.h"
#include <algorithm>

/// The time of day on a backend's machine is two seconds ahead when the backend
/// starts, and jumps back. The backend crashes a second after its start and
/// starts again under its id. Seconds later it leaves in good order. Do
/// openings still reach it long after its notice was acknowledged?
namespace {

using namespace review;

constexpr milliseconds DrainBound{3000};
constexpr milliseconds ClockStep{2000};
constexpr const char *OrdersAddress = "127.18.0.1";

Verdict run(Record &Log) {
  World W(Log, freePrefix());
  Deployment D(Log, W.prefix(), 2);
  BackendOptions Leaving{"i-1", "orders", W.prefix() + "3.1"};
  BackendOptions Staying{"i-2", "orders", W.prefix() + "3.2"};
  BackendOptions FirstStart = Leaving;
  if (withTrouble())
    FirstStart.ClockOffset = ClockStep;
  Backend Other(W, Staying);
  Backend Before(W, FirstStart);
  Backend After(W, Leaving);
  if (!W.start() || !D.start() || !Other.start())
    return Verdict::CouldNotRun;
  const RouteAddress Route{parseIp(OrdersAddress)};
  const std::string &Entry = D.entry().ip();
  const auto Body =
      configurationBody(1, {{OrdersAddress, "unsafe", "orders"}}, {"orders"});
  if (!D.configure(Body) || !D.waitUntilReady())
    return Verdict::CouldNotRun;
  pause(milliseconds(2000));

  // Callers open a flow every 100 ms and send five requests on each.
  std::vector<std::size_t> Flows;
  const auto Serve = [&](milliseconds Time) {
    const auto End = Clock::now() + Time;
    while (Clock::now() < End) {
      const std::string Name = "f" + std::to_string(Flows.size());
      std::vector<std::string> Requests;
      for (int I = 1; I <= 5; ++I)
        Requests.push_back(Name + "-" + std::to_string(I));
      Flows.push_back(W.openFlow(Name, Route, Entry, Requests));
      pause(milliseconds(100));
    }
  };
  if (!Before.start())
    return Verdict::CouldNotRun;
  Serve(milliseconds(1000));
  Before.crash();
  if (withTrouble())
    Log.line("the time of day on the machine of i-1 jumps back");
  pause(milliseconds(100));
  if (!After.start())
    return Verdict::CouldNotRun;
  Serve(milliseconds(8000));
  const auto DrainedAt = After.drain();
  if (!DrainedAt)
    return Verdict::CouldNotRun;
  Log.line("the notice of i-1 that it leaves is acknowledged");
  Serve(DrainBound + milliseconds(4000));

  unsigned Late = 0;
  unsigned BeforeNotice = 0;
  for (const Arrival &A : W.arrivals()) {
    if (A.Backend != "i-1" || A.What != "opening")
      continue;
    Late += A.At > *DrainedAt + DrainBound ? 1 : 0;
    BeforeNotice += A.At < *DrainedAt ? 1 : 0;
  }
  std::size_t Served = 0;
  for (const std::size_t Number : Flows)
    Served += W.flow(Number).Answers.size() == 5 ? 1 : 0;
  Log.line("openings that reached i-1 before its notice: " +
           std::to_string(BeforeNotice));
  Log.line("flows: " + std::to_string(Flows.size()) +
           ", served whole: " + std::to_string(Served));
  Log.line((Late != 0 ? "DRAIN is broken: " : "DRAIN held: ") +
           std::to_string(Late) +
           " openings reached i-1 more than 3 s after the acknowledgement");
  if (BeforeNotice == 0 || Served == 0)
    return Verdict::CouldNotRun;
  return Late != 0 ? Verdict::Broken : Verdict::Held;
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  if (ArgumentCount != 2)
    return static_cast<int>(Verdict::CouldNotRun);
  Record Log(Arguments[1]);
  return static_cast<int>(run(Log));
}
