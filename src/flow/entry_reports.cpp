#include "jasminearch/flow/detail/entry_reports.h"

namespace jasminearch::flow::detail {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

bool isUnresponsive(const AgentView &View, TimePoint Now) {
  return View.UnansweredSince && Now - *View.UnansweredSince >= ProbeTimeout;
}

bool hasFreshReport(const AgentView &View, TimePoint Now) {
  if (!View.Report)
    return false;
  const auto Reuse = View.Report->State == UpstreamState::Ready
                         ? MaxReportReuse
                         : MaxNotReadyReportReuse;
  return Now - View.ReportedAt <= Reuse;
}

bool needsReport(const AgentView &View, TimePoint Now) {
  return !hasFreshReport(View, Now) && !isUnresponsive(View, Now);
}

std::vector<std::string> servicesInOrder(const Route &R, std::uint64_t Hash) {
  const std::string *First = selectService(R, Hash);
  if (!First)
    return {};
  std::vector<std::string> Services = {*First};
  for (const RouteTarget &T : R.Targets)
    if (T.Weight > 0 && T.Service != *First)
      Services.push_back(T.Service);
  return Services;
}

Candidate candidateOf(const Endpoint &Agent, const AgentView &View,
                      TimePoint Now) {
  return {Agent, &*View.Report,
          duration_cast<milliseconds>(Now - View.ReportedAt),
          View.PlacedSinceReport};
}

std::vector<Candidate> candidates(const EntryFlows &E,
                                  const std::vector<Endpoint> &Agents,
                                  TimePoint Now) {
  std::vector<Candidate> All;
  for (const Endpoint &Agent : Agents) {
    const auto It = E.Agents.find(Agent);
    if (It != E.Agents.end() && hasFreshReport(It->second, Now))
      All.push_back(candidateOf(Agent, It->second, Now));
  }
  return All;
}

std::optional<Endpoint> firstWithoutReport(const EntryFlows &E,
                                           const std::vector<Endpoint> &Agents,
                                           TimePoint Now) {
  for (const Endpoint &Agent : Agents) {
    const auto It = E.Agents.find(Agent);
    if (It != E.Agents.end() && !hasFreshReport(It->second, Now))
      return Agent;
  }
  return std::nullopt;
}

} // namespace jasminearch::flow::detail
