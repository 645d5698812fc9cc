#include "documents.h"
#include <cmath>
#include <cstdlib>
#include <string>

using namespace jasminearch;

namespace {

void require(bool Holds) {
  if (!Holds)
    std::abort();
}

/// What is accepted has sane values.
void checkConfiguration(const std::string &Body) {
  const auto Table = platform::readConfiguration(Body);
  if (!Table || !flow::checkRoutes(*Table))
    return;
  for (const flow::Route &R : Table->Routes) {
    require(R.Timeout.count() > 0 && R.Priority >= 0 && R.Address.Port != 0);
    require(flow::selectService(R, 0) != nullptr);
    for (const flow::RouteTarget &T : R.Targets)
      require(std::isfinite(T.Weight) && T.Weight >= 0);
  }
}

/// Whatever one heartbeat says, the agent follows the sound ones after it.
void checkHeartbeat(const std::string &Body) {
  const auto Odd = platform::readHeartbeat("i-1", Body);
  if (!Odd)
    return;
  require(Odd->Upstream.Slots > 0 && Odd->Address.Port != 0);
  flow::AgentFlows Agent;
  TimePoint Now(std::chrono::hours(1));
  flow::AnnouncedUpstream Sound;
  Sound.Name = "i-1";
  Sound.Service = "orders";
  Sound.State = flow::UpstreamState::Ready;
  Sound.Number = 7;
  Sound.StartedAtMs = 1'790'000'000'000;
  static_cast<void>(flow::announce(Agent, Sound, Now));
  static_cast<void>(flow::announce(Agent, Odd->Upstream, Now));
  flow::AnnouncementResult Last = flow::AnnouncementResult::Outdated;
  for (int I = 0; I < 3; ++I) {
    Now += std::chrono::milliseconds(1200);
    ++Sound.Number;
    Last = flow::announce(Agent, Sound, Now);
  }
  require(Last == flow::AnnouncementResult::Accepted);
  require(Agent.Upstream == Sound);
}

} // namespace

/// Parses arbitrary bytes as a configuration of an operator and as a heartbeat
/// of an upstream.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  const std::string Body(Data, Data + Size);
  checkConfiguration(Body);
  checkHeartbeat(Body);
  return 0;
}
