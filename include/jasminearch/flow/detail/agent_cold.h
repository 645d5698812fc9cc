#ifndef JASMINEARCH_FLOW_DETAIL_AGENT_COLD_H
#define JASMINEARCH_FLOW_DETAIL_AGENT_COLD_H

#include "jasminearch/flow/agent_flows.h"
#include <cstdint>
#include <optional>

/// The cold limit as an agent applies it to its upstream.
namespace jasminearch::flow::detail {

/// \returns the limit of the agent's upstream at \p Now, or nothing if the
/// upstream is warm or has no limit.
std::optional<ColdState> coldState(const AgentFlows &A, TimePoint Now);

/// \returns how many openings the limit allows at \p Now, or nothing without a
/// limit.
std::optional<std::uint32_t> coldOpeningsLeft(const AgentFlows &A,
                                              TimePoint Now);

/// \returns whether the limit allows no opening at \p Now.
bool coldLimitReached(const AgentFlows &A, TimePoint Now);

/// \returns the time until the limit allows the last of the waiting openings.
std::chrono::milliseconds coldWaitOfLast(const AgentFlows &A, TimePoint Now);

} // namespace jasminearch::flow::detail

#endif // JASMINEARCH_FLOW_DETAIL_AGENT_COLD_H
