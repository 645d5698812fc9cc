#include "jasminearch/flow/explain.h"
#include "jasminearch/flow/detail/entry_candidates.h"
#include "jasminearch/flow/detail/entry_reports.h"
#include "jasminearch/flow/expected_cost.h"
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <functional>
#include <utility>

namespace jasminearch::flow {

using namespace detail;

namespace {

/// The opening of one flow, and the service that is tried.
struct Attempt {
  const EntryFlows &E;
  const Route &R;
  TimePoint Now;
  std::uint64_t Hash = 0;
  std::string Service;
  std::uint32_t Tag = 0;
  PendingOpening Opening = {};
  std::vector<Endpoint> Agents = {};
};

const AgentView *viewOf(const Attempt &A, const Endpoint &Agent) {
  const auto It = A.E.Agents.find(Agent);
  return It == A.E.Agents.end() ? nullptr : &It->second;
}

/// \returns the candidates that have reported, however long ago.
std::vector<Candidate> candidatesOfAnyAge(const Attempt &A) {
  std::vector<Candidate> All;
  for (const Endpoint &Agent : A.Agents) {
    const AgentView *View = viewOf(A, Agent);
    if (View && View->Report)
      All.push_back(candidateOf(Agent, *View, A.Now));
  }
  return All;
}

bool needsProbes(const Attempt &A) {
  return std::any_of(A.Agents.begin(), A.Agents.end(),
                     [&](const Endpoint &Agent) {
                       const AgentView *View = viewOf(A, Agent);
                       return View && needsReport(*View, A.Now);
                     });
}

struct Choice {
  ExplainedOutcome Outcome = ExplainedOutcome::NotReady;
  std::optional<Endpoint> Agent;
};

/// Follows the comparison of one service to where an opening is placed, waits
/// for reports or goes to the next service.
Choice tryService(Attempt &A) {
  for (;;) {
    A.Agents = agentsToCompare(A.E, A.R, A.Opening, A.Tag, A.Hash);
    if (A.Agents.empty())
      return {};
    if (needsProbes(A))
      return {ExplainedOutcome::ProbesFirst,
              chooseAgent(A.E, A.R, A.Opening, candidatesOfAnyAge(A), A.Tag,
                          A.Hash)};
    const auto All = candidates(A.E, A.Agents, A.Now);
    if (const auto Agent = chooseAgent(A.E, A.R, A.Opening, All, A.Tag, A.Hash))
      return {ExplainedOutcome::Placed, Agent};
    if (compareMore(A.E, A.R, A.Opening))
      continue;
    const auto Silent = firstWithoutReport(A.E, A.Agents, A.Now);
    return {Silent ? ExplainedOutcome::Placed : ExplainedOutcome::NotReady,
            Silent};
  }
}

/// \returns the state that the agent itself is in, or Compared.
CandidateState ownState(const Attempt &A, const Endpoint &Agent,
                        const AgentView &View) {
  if (const auto Excluded = exclusionOf(A.E, Agent, A.R))
    return *Excluded == ExclusionReason::Evacuated
               ? CandidateState::Evacuated
               : CandidateState::OtherRegion;
  if (!hasFreshReport(View, A.Now))
    return isUnresponsive(View, A.Now) ? CandidateState::ProbesUnanswered
                                       : CandidateState::NoRecentReport;
  const Candidate C = candidateOf(Agent, View, A.Now);
  if (C.Report->State == UpstreamState::Draining)
    return CandidateState::Draining;
  if (C.Report->State != UpstreamState::Ready)
    return CandidateState::NotReady;
  if (!isEligible(C, A.Tag))
    return CandidateState::OtherService;
  if (C.Report->Silent >= SilenceThreshold)
    return CandidateState::Silent;
  return hasColdOpenings(C) ? CandidateState::Compared
                            : CandidateState::ColdLimitReached;
}

ExplainedCandidate describeCandidate(const Attempt &A, const Endpoint &Agent) {
  ExplainedCandidate X;
  X.Agent = Agent;
  const AgentView *View = viewOf(A, Agent);
  if (!View) {
    X.State = CandidateState::NoRecentReport;
    return X;
  }
  X.DataCentre = View->DataCentre;
  X.Region = View->Region;
  X.State = ownState(A, Agent, *View);
  X.PlacedSinceReport = View->PlacedSinceReport;
  if (!View->Report)
    return X;
  X.ReportAge = std::chrono::duration_cast<std::chrono::milliseconds>(
      A.Now - View->ReportedAt);
  X.Outstanding = View->Report->Outstanding;
  X.ActiveFlows = View->Report->ActiveFlows;
  X.ServiceTime = View->Report->ServiceTime;
  X.RemainingWork = View->Report->RemainingWork;
  X.Overdue = View->Report->Overdue;
  return X;
}

/// The candidates whose costs decide, in order of rank.
struct Comparison {
  /// Those that place() was given.
  std::vector<Candidate> Preferred;
  std::vector<Candidate> Compared;
};

Comparison compare(const Attempt &A, const std::vector<Candidate> &All) {
  Comparison Result;
  Result.Preferred = preferredCandidates(A.E, A.R, A.Opening, All, A.Tag);
  for (const std::size_t I :
       comparedCandidates(Result.Preferred, A.Tag, A.Hash, {}))
    Result.Compared.push_back(Result.Preferred[I]);
  return Result;
}

/// Those with openings left under the cold limit come first, as in
/// chooseAgent().
Comparison decidingComparison(const Attempt &A, ExplainedOutcome Outcome) {
  const auto All = Outcome == ExplainedOutcome::ProbesFirst
                       ? candidatesOfAnyAge(A)
                       : candidates(A.E, A.Agents, A.Now);
  std::vector<Candidate> Open = All;
  std::erase_if(Open, [](const Candidate &C) { return !hasColdOpenings(C); });
  Comparison Result = compare(A, Open);
  return Result.Compared.empty() ? compare(A, All) : Result;
}

template <typename List> auto findAgent(List &All, const Endpoint &Agent) {
  return std::find_if(All.begin(), All.end(),
                      [&](const auto &C) { return C.Agent == Agent; });
}

/// Adds the costs, and says why eligible candidates aren't compared.
void addCosts(const Attempt &A, FlowExplanation &X) {
  const Comparison Deciding = decidingComparison(A, X.Outcome);
  const auto Costs = expectedCosts(Deciding.Compared, A.R.Kind);
  X.CostIsTime = std::any_of(Costs.begin(), Costs.end(), [&](const auto &C) {
    return C.ServiceTime != Costs.front().ServiceTime;
  });
  X.Explored =
      !Costs.empty() && X.Agent &&
      findAgent(Deciding.Compared, *X.Agent) != Deciding.Compared.end() &&
      exploredCandidate(Deciding.Compared, Costs, A.Hash);
  for (ExplainedCandidate &C : X.Candidates) {
    const auto Compared = findAgent(Deciding.Compared, C.Agent);
    if (Compared != Deciding.Compared.end())
      C.Cost =
          Costs[static_cast<std::size_t>(Compared - Deciding.Compared.begin())]
              .Cost;
    else if (C.State == CandidateState::Compared)
      C.State =
          findAgent(Deciding.Preferred, C.Agent) == Deciding.Preferred.end()
              ? CandidateState::OtherDataCentre
              : CandidateState::LowerRank;
  }
}

/// Adds the agents of the service that evacuations and regions exclude, in the
/// order of their rank.
void addExcluded(const Attempt &A, FlowExplanation &X) {
  const auto OfService = A.E.AgentsByService.find(A.Tag);
  if (OfService == A.E.AgentsByService.end())
    return;
  std::vector<std::pair<std::uint64_t, Endpoint>> Excluded;
  for (const Endpoint &Agent : OfService->second) {
    if (exclusionOf(A.E, Agent, A.R))
      Excluded.emplace_back(rendezvousRank(Agent, A.Hash), Agent);
    else if (!contains(A.Agents, Agent))
      ++X.NotAsked;
  }
  std::sort(Excluded.begin(), Excluded.end(), std::greater<>());
  if (Excluded.size() > MaxExplainedExclusions)
    Excluded.resize(MaxExplainedExclusions);
  for (const auto &[Rank, Agent] : Excluded)
    X.Candidates.push_back(describeCandidate(A, Agent));
}

void addCandidates(const Attempt &A, FlowExplanation &X) {
  X.Service = A.Service;
  for (const Endpoint &Agent : A.Agents)
    X.Candidates.push_back(describeCandidate(A, Agent));
  addCosts(A, X);
  addExcluded(A, X);
  for (ExplainedCandidate &C : X.Candidates)
    C.Chosen = C.Agent == X.Agent;
}

/// \returns whether a service of \p R has an agent.
bool hasAgents(const EntryFlows &E, const std::vector<std::string> &Services) {
  return std::any_of(
      Services.begin(), Services.end(), [&](const std::string &Service) {
        const auto It = E.AgentsByService.find(serviceTag(Service));
        return It != E.AgentsByService.end() && !It->second.empty();
      });
}

/// Says why no service can take the opening.
void explainRefusal(const Attempt &First,
                    const std::vector<std::string> &Services,
                    FlowExplanation &X) {
  const auto Excluded = commonExclusion(First.E, First.R);
  X.Reason = describeRefusal(Excluded, false);
  X.Outcome = ExplainedOutcome::NotReady;
  if (Excluded)
    X.Outcome = *Excluded == ExclusionReason::Evacuated
                    ? ExplainedOutcome::Evacuated
                    : ExplainedOutcome::OtherRegion;
  else if (!hasAgents(First.E, Services)) {
    X.Outcome = ExplainedOutcome::NoAgents;
    X.Reason = "no upstream of the route's services is known";
  }
  addCandidates(First, X);
}

std::string reasonOf(const FlowExplanation &X) {
  if (X.Outcome == ExplainedOutcome::ProbesFirst)
    return "reports are missing or too old; probes are sent first";
  if (X.Explored)
    return "chosen in proportion to speed, to learn it";
  const auto Chosen = findAgent(X.Candidates, *X.Agent);
  return Chosen != X.Candidates.end() && Chosen->Cost
             ? "least cost of the compared candidates"
             : "no agent has a recent report; the agent itself decides";
}

void explainPlacement(const EntryFlows &E, const Route &R, TimePoint Now,
                      FlowExplanation &X) {
  const std::uint64_t Hash = hashFlow(X.Flow);
  const auto Services = servicesInOrder(R, Hash);
  std::optional<Attempt> First;
  for (const std::string &Service : Services) {
    Attempt A{E, R, Now, Hash, Service, serviceTag(Service)};
    const Choice Found = tryService(A);
    if (Found.Outcome != ExplainedOutcome::NotReady) {
      X.Outcome = Found.Outcome;
      X.Agent = Found.Agent;
      addCandidates(A, X);
      X.Reason = reasonOf(X);
      return;
    }
    if (!First)
      First.emplace(std::move(A));
  }
  explainRefusal(First ? *First : Attempt{E, R, Now, Hash, "", 0}, Services, X);
}

/// Adds what admission control would decide on an upload.
void explainAdmission(const EntryFlows &E, const Route &R, TimePoint Now,
                      FlowExplanation &X) {
  const UploadBudget &B = E.Budget;
  if (!B.Enabled || R.Kind != RequestKind::Upload)
    return;
  ExplainedAdmission A;
  A.ShareFree = hasShare(B);
  A.Limit = B.Limit.Value;
  A.Open = B.OpenCount;
  A.Load = B.Load;
  A.Waiting = B.Waiting.size();
  const auto Admitted = B.Uploads.find(X.Flow);
  if (Admitted == B.Uploads.end() || !Admitted->second.Counts)
    A.Decision = previewOpening(B,
                                {X.Flow, Now, std::chrono::milliseconds(0),
                                 R.LatencyObjective, R.Timeout},
                                Now);
  X.Admission = A;
  if (A.Decision.Outcome == Admission::Waits) {
    X.Outcome = ExplainedOutcome::UploadWaits;
    X.Reason = "the upload waits for a share of the link";
  } else if (A.Decision.Outcome == Admission::Refused) {
    X.Outcome = ExplainedOutcome::UploadRefused;
    X.Reason = describe(A.Decision.Reason);
    X.Agent.reset();
    for (ExplainedCandidate &C : X.Candidates)
      C.Chosen = false;
  }
}

/// Explains a flow that the host knows. \returns whether it does.
bool explainKnown(const EntryFlows &E, FlowExplanation &X) {
  const auto Cached = E.Flows.find(X.Flow);
  if (Cached != E.Flows.end()) {
    X.Agent = Cached->second.Agent;
    X.Reason = Cached->second.Established
                   ? "the flow is open at this agent"
                   : "an earlier opening of the flow was sent to this agent";
  } else if (E.PendingOpenings.contains(X.Flow)) {
    X.Reason = "an earlier opening of the flow waits for load reports";
  } else if (E.Budget.Waiting.contains(X.Flow)) {
    X.Reason = "an earlier opening of the upload waits for a share of the link";
  } else {
    return false;
  }
  X.Outcome = ExplainedOutcome::Known;
  return true;
}

} // namespace

FlowExplanation explainOpening(const EntryFlows &E, const FlowKey &Flow,
                               TimePoint Now) {
  FlowExplanation X;
  X.Flow = Flow;
  if (!E.CanPlace && (!E.Routes || !E.AgentListComplete)) {
    X.Outcome = ExplainedOutcome::Held;
    X.Reason = "the host waits for routes or the list of agents";
    return X;
  }
  X.RoutesVersion = E.Routes->table().Version;
  const Route *R = E.Routes->find(Flow.Service);
  if (!R) {
    X.Reason = "no route for this service address";
    return X;
  }
  X.Route = R->Name;
  if (explainKnown(E, X))
    return X;
  explainPlacement(E, *R, Now, X);
  explainAdmission(E, *R, Now, X);
  if (E.Flows.size() >= MaxFlows ||
      E.PendingOpenings.size() >= MaxPendingOpenings) {
    X.Outcome = ExplainedOutcome::HostFull;
    X.Reason = absl::StrCat("the host has ", E.Flows.size(), " flows and ",
                            E.PendingOpenings.size(), " pending openings");
    X.Agent.reset();
  }
  return X;
}

} // namespace jasminearch::flow
