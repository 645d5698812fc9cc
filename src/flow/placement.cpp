#include "jasminearch/flow/placement.h"
#include "jasminearch/flow/expected_cost.h"
#include <algorithm>
#include <tuple>
#include <utility>
#include <vector>
#include <xxhash.h>

namespace jasminearch::flow {

namespace {

bool contains(absl::Span<const Endpoint> All, const Endpoint &One) {
  return std::find(All.begin(), All.end(), One) != All.end();
}

bool isSilent(const Candidate &C) {
  return C.Report->Silent >= SilenceThreshold;
}

} // namespace

double capacity(const Candidate &C) {
  const double Slots = std::max<std::uint32_t>(C.Report->Slots, 1);
  return C.Report->ColdRemaining > C.Age ? Slots * ColdStartSpeed : Slots;
}

double flowLoad(RequestKind Kind) {
  // The flow of a download or upload carries one request, others carry many.
  const bool SingleRequest =
      Kind == RequestKind::Download || Kind == RequestKind::Upload;
  return SingleRequest ? 1.0 : (1.0 + IdleFlowLoad) / 2;
}

bool isEligible(const Candidate &C, std::uint32_t ServiceTag) {
  return C.Report->State == UpstreamState::Ready &&
         C.Report->ServiceTag == ServiceTag;
}

bool hasColdOpenings(const Candidate &C) {
  return !C.Report->ColdOpeningsLeft ||
         *C.Report->ColdOpeningsLeft > C.PlacedSinceReport;
}

double expectedLoad(const Candidate &C, RequestKind Kind) {
  const std::uint32_t Busy =
      std::min(C.Report->Outstanding, C.Report->ActiveFlows);
  const std::uint32_t Idle = C.Report->ActiveFlows - Busy;
  return (Busy + IdleFlowLoad * Idle +
          flowLoad(Kind) * (C.PlacedSinceReport + 1.0)) /
         capacity(C);
}

std::uint64_t rendezvousRank(const Endpoint &Agent, std::uint64_t Hash) {
  const std::uint64_t Parts[] = {Agent.Address, Agent.Port, Hash};
  return XXH3_64bits(Parts, sizeof(Parts));
}

std::vector<std::size_t>
comparedCandidates(absl::Span<const Candidate> Candidates,
                   std::uint32_t ServiceTag, std::uint64_t Hash,
                   absl::Span<const Endpoint> Excluded) {
  // Silent candidates come last, so that they are used only if there are no
  // others.
  std::vector<std::tuple<bool, std::uint64_t, std::size_t>> Ranked;
  for (std::size_t I = 0; I < Candidates.size(); ++I) {
    const Candidate &C = Candidates[I];
    if (isEligible(C, ServiceTag) && !contains(Excluded, C.Agent))
      Ranked.emplace_back(!isSilent(C), rendezvousRank(C.Agent, Hash), I);
  }
  std::sort(Ranked.rbegin(), Ranked.rend());
  if (Ranked.size() > CandidatesPerFlow)
    Ranked.resize(CandidatesPerFlow);
  // Silent ones are compared among themselves, if there is nothing else.
  const bool AnyResponsive = !Ranked.empty() && std::get<0>(Ranked.front());
  std::vector<std::size_t> Compared;
  for (const auto &[IsResponsive, Rank, I] : Ranked)
    if (IsResponsive == AnyResponsive)
      Compared.push_back(I);
  return Compared;
}

std::optional<std::size_t> place(absl::Span<const Candidate> Candidates,
                                 std::uint32_t ServiceTag, RequestKind Kind,
                                 std::uint64_t Hash,
                                 absl::Span<const Endpoint> Excluded) {
  const auto Ranked =
      comparedCandidates(Candidates, ServiceTag, Hash, Excluded);
  std::vector<Candidate> Compared;
  Compared.reserve(Ranked.size());
  for (const std::size_t I : Ranked)
    Compared.push_back(Candidates[I]);
  if (Compared.empty())
    return std::nullopt;
  const auto Costs = expectedCosts(Compared, Kind);
  auto Best = exploredCandidate(Compared, Costs, Hash);
  if (!Best)
    Best = static_cast<std::size_t>(
        std::min_element(Costs.begin(), Costs.end(),
                         [](const ExpectedCost &X, const ExpectedCost &Y) {
                           return X.Cost < Y.Cost;
                         }) -
        Costs.begin());
  return Ranked[*Best];
}

} // namespace jasminearch::flow
