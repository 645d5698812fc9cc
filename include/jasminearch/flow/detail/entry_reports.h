#ifndef JASMINEARCH_FLOW_DETAIL_ENTRY_REPORTS_H
#define JASMINEARCH_FLOW_DETAIL_ENTRY_REPORTS_H

#include "jasminearch/flow/entry_flows.h"
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Which load reports an opening may be placed by. Pure, so that placement and
/// its explanation share them.
namespace jasminearch::flow::detail {

/// \returns whether probes to the agent have been unanswered for too long.
bool isUnresponsive(const AgentView &View, TimePoint Now);

/// \returns whether the agent's report is recent enough to place flows by.
bool hasFreshReport(const AgentView &View, TimePoint Now);

/// \returns whether the decision on an opening must wait for the report of this
/// agent.
bool needsReport(const AgentView &View, TimePoint Now);

/// \returns the services of route \p R in the order in which they are tried
/// for a flow: the one that the weights select, then the others. An empty list
/// if no service has a positive weight.
std::vector<std::string> servicesInOrder(const Route &R, std::uint64_t Hash);

/// \returns the candidate for an agent with a report, whatever its age.
Candidate candidateOf(const Endpoint &Agent, const AgentView &View,
                      TimePoint Now);

/// \returns those of \p Agents with a recent report, in the same order.
std::vector<Candidate> candidates(const EntryFlows &E,
                                  const std::vector<Endpoint> &Agents,
                                  TimePoint Now);

/// \returns the first of \p Agents that hasn't reported recently.
std::optional<Endpoint> firstWithoutReport(const EntryFlows &E,
                                           const std::vector<Endpoint> &Agents,
                                           TimePoint Now);

} // namespace jasminearch::flow::detail

#endif // JASMINEARCH_FLOW_DETAIL_ENTRY_REPORTS_H
