#include "../standin.h"
#include <algorithm>

/// A backend crashes and is back after a quarter of a second. In this time
/// callers open flows on a route, and the operator moves the route to another
/// service. Does the old service still get openings that callers send long
/// after the new service got the first one?
namespace {

using namespace review;

constexpr milliseconds RollbackSlack{250};
constexpr milliseconds DownTime{300};
constexpr const char *MovedAddress = "127.18.0.1";
constexpr const char *OrdersAddress = "127.18.0.2";
constexpr const char *CatalogueAddress = "127.18.0.3";

std::string configuration(std::uint64_t Version, const std::string &Target) {
  return configurationBody(Version,
                           {{MovedAddress, "safe", Target},
                            {OrdersAddress, "safe", "orders"},
                            {CatalogueAddress, "safe", "catalogue"}},
                           {"orders", "catalogue"});
}

std::string since(Clock::time_point From, Clock::time_point To) {
  return std::to_string(
      std::chrono::duration_cast<milliseconds>(To - From).count());
}

Verdict run(Record &Log) {
  World W(Log, freePrefix());
  Deployment D(Log, W.prefix(), 2);
  const BackendOptions Orders{"i-orders", "orders", W.prefix() + "3.1"};
  Backend First(W, Orders);
  Backend Second(W, Orders);
  Backend Catalogue(W, {"i-catalogue", "catalogue", W.prefix() + "3.2"});
  if (!W.start() || !D.start() || !First.start() || !Catalogue.start())
    return Verdict::CouldNotRun;
  if (!D.configure(configuration(1, "orders")) || !D.waitUntilReady())
    return Verdict::CouldNotRun;
  pause(milliseconds(3000));
  const std::string &Entry = D.entry().ip();
  const RouteAddress Moved{parseIp(MovedAddress)};
  const auto Warm = W.openFlow("warm", Moved, Entry, {"w-1"});
  const auto Photo =
      W.openFlow("photo", {parseIp(CatalogueAddress)}, Entry, {"p-1"});
  if (!waitFor(milliseconds(3000), [&] {
        return !W.flow(Warm).Answers.empty() && !W.flow(Photo).Answers.empty();
      }))
    return Verdict::CouldNotRun;

  const auto CrashedAt = Clock::now();
  if (withTrouble())
    First.crash();
  std::vector<std::size_t> Tested;
  for (int I = 1; I <= 5; ++I) {
    Tested.push_back(W.openFlow("tested-" + std::to_string(I), Moved, Entry,
                                {"t-" + std::to_string(I)}));
    pause(milliseconds(5));
  }
  std::optional<Clock::time_point> AcknowledgedAt;
  std::thread Operator(
      [&] { AcknowledgedAt = D.configure(configuration(2, "catalogue")); });
  std::vector<std::size_t> Probes;
  while (Clock::now() < CrashedAt + DownTime) {
    Probes.push_back(
        W.openFlow("probe-" + std::to_string(Probes.size()), Moved, Entry, {}));
    pause(milliseconds(20));
  }
  if (withTrouble() && !Second.start())
    Log.line("the backend can't start again");
  Operator.join();
  pause(milliseconds(2500));
  if (!AcknowledgedAt)
    return Verdict::CouldNotRun;

  const auto All = W.arrivals();
  std::optional<Clock::time_point> EffectAt;
  const auto IsTested = [&](std::uint16_t Port) {
    return std::any_of(Tested.begin(), Tested.end(), [&](std::size_t Number) {
      return W.flow(Number).Port == Port;
    });
  };
  const auto IsProbe = [&](std::uint16_t Port) {
    return std::any_of(Probes.begin(), Probes.end(), [&](std::size_t Number) {
      return W.flow(Number).Port == Port;
    });
  };
  for (const Arrival &A : All)
    if (!EffectAt && A.Service == "catalogue" && A.What == "opening" &&
        (IsTested(A.CallerPort) || IsProbe(A.CallerPort)))
      EffectAt = A.At;
  if (!EffectAt)
    return Verdict::CouldNotRun;
  Log.line("catalogue got the first opening of the moved route " +
           since(CrashedAt, *EffectAt) + " ms after the start of the trial");
  unsigned Broken = 0;
  for (const std::size_t Number : Tested) {
    const Flow F = W.flow(Number);
    std::optional<Arrival> Taken;
    for (const Arrival &A : All)
      if (A.CallerPort == F.Port && A.What == "opening" && !Taken)
        Taken = A;
    if (!Taken) {
      Log.line(F.Name + ": no backend took its opening");
      continue;
    }
    const auto SentAt = F.CopyTimes.at(Taken->Copy);
    const bool Old =
        Taken->Service == "orders" && SentAt > *EffectAt + RollbackSlack;
    Log.line(F.Name + ": " + Taken->Service + " took copy " +
             std::to_string(Taken->Copy) + ", sent " +
             since(*EffectAt, SentAt) + " ms after the effect" +
             (Old ? ": as only version 1 allows" : ""));
    Broken += Old ? 1 : 0;
  }
  Log.line(Broken != 0 ? "CONFIG is broken: the machine went back to an older "
                         "version"
                       : "CONFIG held");
  return Broken != 0 ? Verdict::Broken : Verdict::Held;
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  if (ArgumentCount != 2)
    return static_cast<int>(Verdict::CouldNotRun);
  Record Log(Arguments[1]);
  return static_cast<int>(run(Log));
}
