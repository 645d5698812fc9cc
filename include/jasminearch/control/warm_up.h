#ifndef JASMINEARCH_CONTROL_WARM_UP_H
#define JASMINEARCH_CONTROL_WARM_UP_H

#include "jasminearch/control/command.h"
#include "jasminearch/control/config_model.h"
#include "jasminearch/types.h"
#include <optional>

/// Warm-up: gradual growth of a cold upstream's traffic share.
namespace jasminearch::control {

/// \returns the next warm-up command that the control leader should propose for
/// \p U, or nothing if no step is due. The share grows in WarmUpSteps equal
/// steps over the profile's ColdStart. Each step is a committed command, so
/// replicas do not need synchronized clocks.
/// \param U an upstream of the configuration.
/// \param ServiceProfile profile of the upstream's service.
/// \param Since time since the leader saw the announcement committed. A new
/// leader starts at zero, which delays the warm-up but never skips a step.
std::optional<CommandBody>
nextWarmUp(const Upstream &U, const Profile &ServiceProfile, Duration Since);

} // namespace jasminearch::control

#endif // JASMINEARCH_CONTROL_WARM_UP_H
