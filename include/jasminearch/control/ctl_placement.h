#ifndef JASMINEARCH_CONTROL_CTL_PLACEMENT_H
#define JASMINEARCH_CONTROL_CTL_PLACEMENT_H

#include "jasminearch/control/ctl_options.h"
#include "jasminearch/control/ctl_output.h"
#include "jasminearch/error.h"
#include "jasminearch/types.h"
#include <chrono>
#include <cstddef>
#include <string>

/// `jasminectl explain-placement`: asks an entry host where the next opening of
/// a flow would go.
namespace jasminearch::control {

/// Maximum size of an entry host's answer.
inline constexpr std::size_t MaxExplanationBytes = 1U << 20U;

/// Sends `GET Target` to \p Host and waits for the response. \returns its body;
/// LinkFailed if the connection fails or no response arrives in time;
/// InvalidArgument if the host refuses the query; MessageMalformed for any
/// other status.
Expected<std::string> httpGet(const Endpoint &Host, const std::string &Target,
                              std::chrono::milliseconds Timeout);

/// Formats an entry host's answer: as it is with --json, otherwise one line for
/// the decision and one for each candidate. A body that isn't an explanation is
/// MessageMalformed.
CtlOutput formatPlacement(const CtlRequest &Request, const std::string &Body);

/// Runs a request with the action ExplainPlacement.
CtlOutput runExplainPlacement(const CtlRequest &Request);

} // namespace jasminearch::control

#endif // JASMINEARCH_CONTROL_CTL_PLACEMENT_H
