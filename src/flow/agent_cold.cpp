#include "jasminearch/flow/detail/agent_cold.h"

namespace jasminearch::flow::detail {

std::optional<ColdState> coldState(const AgentFlows &A, TimePoint Now) {
  if (!A.Upstream)
    return std::nullopt;
  const TimePoint ColdUntil = A.AnnouncedAt + A.Upstream->ColdRemaining;
  if (Now >= ColdUntil)
    return std::nullopt;
  if (!A.ColdLimitsKnown) {
    const TimePoint HeldUntil = A.StartedAt + ColdHoldWithoutLimits;
    if (!A.Options.Cold.Configured || Now > HeldUntil)
      return std::nullopt;
    return ColdState{MaxColdOpenings, HeldUntil, ColdUntil};
  }
  const auto Limit =
      coldOpeningsPerSecond(A.ColdLimits, A.Upstream->Service, A.Options.Cold);
  if (!Limit)
    return std::nullopt;
  return ColdState{*Limit, A.StartedAt + ColdHoldAfterStart, ColdUntil};
}

std::optional<std::uint32_t> coldOpeningsLeft(const AgentFlows &A,
                                              TimePoint Now) {
  const auto State = coldState(A, Now);
  if (!State)
    return std::nullopt;
  return openingsLeft(*State, A.Delivered, Now);
}

bool coldLimitReached(const AgentFlows &A, TimePoint Now) {
  return coldOpeningsLeft(A, Now) == 0U;
}

std::chrono::milliseconds coldWaitOfLast(const AgentFlows &A, TimePoint Now) {
  const auto State = coldState(A, Now);
  if (!State)
    return std::chrono::milliseconds{0};
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      coldWait(*State, A.Delivered, A.Waiting.size(), Now));
}

} // namespace jasminearch::flow::detail
