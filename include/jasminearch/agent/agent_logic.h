#ifndef JASMINEARCH_AGENT_AGENT_LOGIC_H
#define JASMINEARCH_AGENT_AGENT_LOGIC_H

#include "jasminearch/agent/agent_state.h"
#include "jasminearch/control/promise_counts.h"
#include <vector>

namespace jasminearch::agent {

/// Decides what an agent does about one event.
/// \param Current changed in place.
/// \param Now monotonic; an earlier time than before counts as the latest one.
/// \returns effects, to be carried out in order. Complexity: constant for
/// datagrams; linear in open requests and in what has expired for TimerFired.
///
/// Example:
/// \code
///   for (const Effect &Todo : handle(Agent, FrameReceived{From, Data}, Now))
///     carryOut(Todo);
/// \endcode
Effects handle(State &Current, const Event &What, TimePoint Now);

/// \returns the promise counts since the agent started, for OutcomeReport.
std::vector<control::PromiseCount> promiseCounts(const State &Of);

} // namespace jasminearch::agent

#endif // JASMINEARCH_AGENT_AGENT_LOGIC_H
