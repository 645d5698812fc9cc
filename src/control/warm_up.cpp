#include "jasminearch/control/warm_up.h"
#include <algorithm>

namespace jasminearch::control {

std::optional<CommandBody> nextWarmUp(const Upstream &U, const Profile &Rules,
                                      Duration Since) {
  if (U.Phase != UpstreamPhase::Cold)
    return std::nullopt;
  const Duration ColdStart = Rules.ColdStart;
  if (Since >= ColdStart)
    return ActivateUpstream{U.Id, U.Instance};
  const auto Passed = Since * WarmUpSteps / ColdStart;
  const auto Step = static_cast<std::uint8_t>(1 + Passed);
  if (Step <= U.WarmUp)
    return std::nullopt;
  return AdvanceWarmUp{U.Id, U.Instance, Step};
}

} // namespace jasminearch::control
