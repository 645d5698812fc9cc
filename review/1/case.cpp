#include "../standin.h"
#include <algorithm>
#include <csignal>

/// A backend crashes and starts again. While it is away, one of three control
/// hosts stands still for less than two seconds. Half a minute after both are
/// over: does the operator get an acknowledgement and read its configuration
/// back, and do open flows stay?
namespace {

using namespace review;

constexpr unsigned BackendCount = 4;
constexpr unsigned Rounds = 18;
constexpr milliseconds ContactTime{4000};
constexpr const char *OrdersAddress = "127.18.0.1";

struct Scene {
  World &W;
  Deployment &D;
  Record &Log;
  std::vector<std::unique_ptr<Backend>> Backends;
  std::vector<std::size_t> Flows;
};

bool startBackend(Scene &S, unsigned Machine) {
  BackendOptions Options;
  Options.Id = "i-" + std::to_string(Machine);
  Options.Service = "orders";
  Options.Ip = S.W.prefix() + "3." + std::to_string(Machine);
  S.Backends.push_back(std::make_unique<Backend>(S.W, Options));
  return S.Backends.back()->start();
}

Backend &runningOn(Scene &S, unsigned Machine) {
  const std::string Id = "i-" + std::to_string(Machine);
  const auto Found =
      std::find_if(S.Backends.rbegin(), S.Backends.rend(),
                   [&Id](const auto &B) { return B->options().Id == Id; });
  return **Found;
}

/// Keeps a few flows in use: opens one every 100 ms, with one request each.
void serve(Scene &S, milliseconds Time) {
  const auto End = Clock::now() + Time;
  while (Clock::now() < End) {
    const std::string Name = "f" + std::to_string(S.Flows.size());
    S.Flows.push_back(S.W.openFlow(Name, {parseIp(OrdersAddress)},
                                   S.D.entry().ip(), {Name + "-1"}));
    pause(milliseconds(100));
  }
}

void playRound(Scene &S, unsigned Round) {
  const unsigned Machine = 1 + Round % BackendCount;
  if (withTrouble()) {
    runningOn(S, Machine).crash();
    serve(S, milliseconds(300));
    S.Log.line("a control host is paused");
    S.D.control(Round % 3).sendSignal(SIGSTOP);
  }
  serve(S, milliseconds(550));
  if (withTrouble() && !startBackend(S, Machine))
    S.Log.line("the backend can't start again");
  serve(S, milliseconds(600));
  if (withTrouble()) {
    S.Log.line("the control host continues");
    S.D.control(Round % 3).sendSignal(SIGCONT);
  }
  serve(S, milliseconds(2000));
}

std::string body(std::uint64_t Version) {
  return configurationBody(Version, {{OrdersAddress, "unsafe", "orders"}},
                           {"orders"});
}

Verdict run(Record &Log) {
  World W(Log, freePrefix());
  Deployment D(Log, W.prefix(), BackendCount);
  Scene S{W, D, Log, {}, {}};
  if (!W.start() || !D.start())
    return Verdict::CouldNotRun;
  for (unsigned Machine = 1; Machine <= BackendCount; ++Machine)
    if (!startBackend(S, Machine))
      return Verdict::CouldNotRun;
  if (!D.configure(body(1)) || !D.waitUntilReady())
    return Verdict::CouldNotRun;
  pause(milliseconds(2000));
  for (unsigned Round = 0; Round < Rounds; ++Round)
    playRound(S, Round);
  Log.line("the disruptions are over");
  serve(S, ContactTime + milliseconds(6000));

  // From here on all machines have been in touch for seconds.
  const auto From = Clock::now();
  Log.line("the rules are judged from here on");
  const auto Acknowledged = D.configure(body(2));
  serve(S, milliseconds(3000));
  std::string ReadBack;
  const auto End = Clock::now() + ContactTime;
  for (unsigned Tries = 0; ReadBack.empty() && Clock::now() < End; ++Tries) {
    const std::string &Ip = D.control(Tries % 3).ip();
    const auto Reply = callHttp("GET", Ip, ApiPort, "/config", "");
    Log.line("operator: GET /config at " + Ip + " -> " +
             (Reply ? std::to_string(Reply->Status) + " " + Reply->Body
                    : std::string("no answer")));
    if (Reply && Reply->Status == 200)
      ReadBack = Reply->Body;
    pause(milliseconds(100));
  }
  unsigned Served = 0;
  unsigned Sent = 0;
  unsigned Reset = 0;
  for (const std::size_t Number : S.Flows) {
    const Flow F = W.flow(Number);
    if (F.CopyTimes.empty() || F.CopyTimes.front() < From)
      continue;
    ++Sent;
    Served += F.Answers.empty() ? 0 : 1;
    Reset += F.Current == Flow::State::Reset ? 1 : 0;
  }
  Log.line("requests: " + std::to_string(Sent) + ", answered: " +
           std::to_string(Served) + ", flows reset: " + std::to_string(Reset));
  Log.line(Acknowledged ? "version 2 was acknowledged"
                        : "version 2 wasn't acknowledged in 15 s");
  const bool Broken = ReadBack.empty();
  Log.line(Broken ? "CONFIG is broken: read back for 4 s, the configuration "
                    "doesn't come"
                  : "CONFIG held: the configuration was read back");
  return Broken ? Verdict::Broken : Verdict::Held;
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  if (ArgumentCount != 2)
    return static_cast<int>(Verdict::CouldNotRun);
  Record Log(Arguments[1]);
  return static_cast<int>(run(Log));
}
