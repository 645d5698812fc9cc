#ifndef JASMINEARCH_CONTROL_WARM_UP_H
#define JASMINEARCH_CONTROL_WARM_UP_H

#include "jasminearch/control/command.h"
#include "jasminearch/control/config_model.h"
#include "jasminearch/types.h"
#include <optional>

/// Growth of a cold upstream's share.
namespace jasminearch::control {

/// \returns the command that the control leader proposes next for \p U, or
/// nothing while its share must not grow yet. The share grows in WarmUpSteps
/// equal steps over Rules.ColdStart and is full at its end. Because each step
/// is a committed command, replicas don't need equal clocks.
/// \param U an upstream of the configuration.
/// \param Rules profile of its service.
/// \param Since time since the leader saw its announcement committed; a new
/// leader starts at zero, which delays the warm-up but never skips a step.
std::optional<CommandBody> nextWarmUp(const Upstream &U, const Profile &Rules,
                                      Duration Since);

} // namespace jasminearch::control

#endif // JASMINEARCH_CONTROL_WARM_UP_H
