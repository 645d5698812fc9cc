#include "jasminearch/flow/detail/entry_candidates.h"
#include "jasminearch/flow/locality.h"
#include <algorithm>
#include <utility>

namespace jasminearch::flow::detail {

namespace {

/// Which agents of a service are ranked.
enum class Scope : std::uint8_t { All, OwnDataCentre, Elsewhere };

bool isInScope(const EntryFlows &E, const Endpoint &Agent, Scope Ranked) {
  return Ranked == Scope::All ||
         isInOwnDataCentre(E, Agent) == (Ranked == Scope::OwnDataCentre);
}

/// \returns the \p Count agents of a service that rank highest for \p Hash,
/// without those that declined \p O and those that the rules exclude from flows
/// of \p R; the highest-ranked one comes first.
std::vector<Endpoint> highestRanked(const EntryFlows &E, const Route &R,
                                    const PendingOpening &O,
                                    std::uint32_t ServiceTag,
                                    std::uint64_t Hash, std::size_t Count,
                                    Scope Wanted) {
  const auto It = E.AgentsByService.find(ServiceTag);
  if (It == E.AgentsByService.end())
    return {};
  std::vector<std::pair<std::uint64_t, Endpoint>> Ranked;
  Ranked.reserve(It->second.size());
  for (const Endpoint &Agent : It->second)
    if (!contains(O.Excluded, Agent) && isInScope(E, Agent, Wanted) &&
        !exclusionOf(E, Agent, R))
      Ranked.emplace_back(rendezvousRank(Agent, Hash), Agent);
  const std::size_t Kept = std::min(Count, Ranked.size());
  std::partial_sort(Ranked.begin(),
                    Ranked.begin() + static_cast<std::ptrdiff_t>(Kept),
                    Ranked.end(), std::greater<>());
  std::vector<Endpoint> Highest;
  for (std::size_t I = 0; I < Kept; ++I)
    Highest.push_back(Ranked[I].second);
  return Highest;
}

bool isUpload(const Route *R) { return R && R->Kind == RequestKind::Upload; }

/// \returns the agent that gets an opening of \p R if it is one of \p All.
std::optional<Endpoint> chooseAmong(const EntryFlows &E, const Route &R,
                                    const PendingOpening &O,
                                    const std::vector<Candidate> &All,
                                    std::uint32_t ServiceTag,
                                    std::uint64_t Hash) {
  const auto Choose = [&](const std::vector<Candidate> &Among) {
    const auto Index = place(Among, ServiceTag, R.Kind, Hash, {});
    return Index ? std::optional(Among[*Index].Agent) : std::nullopt;
  };
  if (!prefersOwnDataCentre(E, R))
    return Choose(All);
  return Choose(preferredCandidates(E, R, O, All, ServiceTag));
}

} // namespace

std::optional<ExclusionReason> commonExclusion(const EntryFlows &E,
                                               const Route &R) {
  if (E.Evacuated.empty() && R.AllowedRegions.empty())
    return std::nullopt;
  ExclusionCounts Counts;
  for (const RouteTarget &T : R.Targets) {
    const auto Agents = E.AgentsByService.find(serviceTag(T.Service));
    if (T.Weight <= 0 || Agents == E.AgentsByService.end())
      continue;
    for (const Endpoint &Agent : Agents->second)
      add(Counts, exclusionOf(E, Agent, R));
  }
  return commonReason(Counts);
}

std::optional<ExclusionReason>
exclusionOf(const EntryFlows &E, const Endpoint &Agent, const Route &R) {
  if (E.Evacuated.empty() && R.AllowedRegions.empty())
    return std::nullopt;
  const auto It = E.Agents.find(Agent);
  if (It == E.Agents.end())
    return std::nullopt;
  const AgentView &View = It->second;
  return exclusionReason({View.DataCentre, View.Region}, R, E.Evacuated);
}

bool prefersOwnDataCentre(const EntryFlows &E, const Route &R) {
  return isUpload(&R) && !E.DataCentre.empty();
}

bool isInOwnDataCentre(const EntryFlows &E, const Endpoint &Agent) {
  const auto It = E.Agents.find(Agent);
  return It != E.Agents.end() && !E.DataCentre.empty() &&
         It->second.DataCentre == E.DataCentre;
}

std::vector<Endpoint> agentsToCompare(const EntryFlows &E, const Route &R,
                                      PendingOpening &O,
                                      std::uint32_t ServiceTag,
                                      std::uint64_t Hash) {
  if (!prefersOwnDataCentre(E, R) || O.WaveSize > CandidatesPerFlow)
    return highestRanked(E, R, O, ServiceTag, Hash, O.WaveSize, Scope::All);
  auto Agents = highestRanked(E, R, O, ServiceTag, Hash, CandidatesPerFlow,
                              Scope::OwnDataCentre);
  O.AsksElsewhere = O.AsksElsewhere || Agents.empty();
  if (!O.AsksElsewhere)
    return Agents;
  const auto Elsewhere = highestRanked(E, R, O, ServiceTag, Hash,
                                       CandidatesPerFlow, Scope::Elsewhere);
  Agents.insert(Agents.end(), Elsewhere.begin(), Elsewhere.end());
  return Agents;
}

std::vector<Candidate> preferredCandidates(const EntryFlows &E, const Route &R,
                                           const PendingOpening &O,
                                           const std::vector<Candidate> &All,
                                           std::uint32_t ServiceTag) {
  if (!prefersOwnDataCentre(E, R))
    return All;
  CandidatesBySite BySite;
  BySite.ElsewhereAsked = O.AsksElsewhere;
  for (const Candidate &C : All)
    (isInOwnDataCentre(E, C.Agent) ? BySite.Own : BySite.Elsewhere)
        .push_back(C);
  return preferOwn(BySite, ServiceTag);
}

std::optional<Endpoint> chooseAgent(const EntryFlows &E, const Route &R,
                                    const PendingOpening &O,
                                    const std::vector<Candidate> &All,
                                    std::uint32_t ServiceTag,
                                    std::uint64_t Hash) {
  std::vector<Candidate> Open = All;
  std::erase_if(Open, [](const Candidate &C) { return !hasColdOpenings(C); });
  if (const auto Agent = chooseAmong(E, R, O, Open, ServiceTag, Hash))
    return Agent;
  if (O.WaveSize < MaxProbedPerOpening || Open.size() == All.size())
    return std::nullopt;
  return chooseAmong(E, R, O, All, ServiceTag, Hash);
}

bool compareMore(const EntryFlows &E, const Route &R, PendingOpening &O) {
  if (prefersOwnDataCentre(E, R) && !std::exchange(O.AsksElsewhere, true))
    return true;
  if (O.WaveSize >= MaxProbedPerOpening)
    return false;
  O.WaveSize = MaxProbedPerOpening;
  return true;
}

void resetComparison(PendingOpening &O) {
  O.WaveSize = CandidatesPerFlow;
  O.AsksElsewhere = false;
}

void countPlaced(EntryFlows &E, const Route &R, const Endpoint &Agent) {
  if (prefersOwnDataCentre(E, R) && !isInOwnDataCentre(E, Agent))
    ++E.Counters.UploadsPlacedElsewhere;
}

std::vector<std::uint32_t> regionTags(const Route &R) {
  std::vector<std::uint32_t> Tags;
  Tags.reserve(R.AllowedRegions.size());
  for (const std::string &Region : R.AllowedRegions)
    Tags.push_back(regionTag(Region));
  return Tags;
}

void countOpened(EntryFlows &E, const FlowKey &Flow) {
  ++E.Counters.Opened;
  if (isUpload(E.Routes->find(Flow.Service)))
    ++E.Counters.UploadsOpened;
}

std::string_view countRefusal(EntryFlows &E, const FlowKey &Flow,
                              bool AnyDeclined) {
  ++E.Counters.Refused;
  const Route *R = E.Routes ? E.Routes->find(Flow.Service) : nullptr;
  if (isUpload(R))
    ++E.Counters.UploadsRefused;
  const auto Excluded = R ? commonExclusion(E, *R) : std::nullopt;
  if (Excluded == ExclusionReason::Evacuated)
    ++E.Counters.RefusedEvacuated;
  if (Excluded == ExclusionReason::OtherRegion)
    ++E.Counters.RefusedOtherRegion;
  return describeRefusal(Excluded, AnyDeclined);
}

std::string_view describeRefusal(std::optional<ExclusionReason> Excluded,
                                 bool AnyDeclined) {
  if (Excluded == ExclusionReason::Evacuated)
    return "every upstream is in an evacuated data centre";
  if (Excluded == ExclusionReason::OtherRegion)
    return "no upstream is in an allowed region";
  return AnyDeclined ? "every upstream declined" : "no upstream is ready";
}

} // namespace jasminearch::flow::detail
