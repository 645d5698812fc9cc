#ifndef JASMINEARCH_AGENT_AGENT_LOGIC_H
#define JASMINEARCH_AGENT_AGENT_LOGIC_H

#include "jasminearch/agent/agent_state.h"
#include "jasminearch/control/promise_counts.h"
#include <vector>

namespace jasminearch::agent {

/// Applies one event to an agent's state.
/// \param AgentState updated in place.
/// \param Input the event to handle.
/// \param Now monotonic time; if it lies before the time of an earlier call,
/// that time is used instead.
/// \returns the effects, which must be carried out in order. Complexity:
/// constant for datagrams; for TimerFired, linear in the number of open
/// requests and expired entries.
///
/// Example:
/// \code
///   for (const Effect &Action : handle(Agent, FrameReceived{From, Data}, Now))
///     carryOut(Action);
/// \endcode
Effects handle(State &AgentState, const Event &Input, TimePoint Now);

/// \returns the promise counts since the agent started, as sent in
/// OutcomeReport.
std::vector<control::PromiseCount> promiseCounts(const State &AgentState);

} // namespace jasminearch::agent

#endif // JASMINEARCH_AGENT_AGENT_LOGIC_H
