#include "jasminearch/flow/placement.h"
#include <absl/hash/hash.h>
#include <algorithm>
#include <tuple>

namespace jasminearch::flow {

namespace {

bool contains(absl::Span<const Endpoint> All, const Endpoint &One) {
  return std::find(All.begin(), All.end(), One) != All.end();
}

bool silent(const Candidate &C) {
  return C.Report->Silent >= SilentLimit || C.Age >= ReportFresh / 2;
}

double capacity(const Candidate &C) {
  const double Slots = std::max<std::uint32_t>(C.Report->Slots, 1);
  return C.Report->ColdRemaining > C.Age ? Slots * ColdSpeed : Slots;
}

} // namespace

bool eligible(const Candidate &C, const std::string &Service) {
  return C.Report->State == UpstreamState::Ready &&
         C.Report->Service == Service && C.Age < ReportFresh;
}

double loadWith(const Candidate &C, RequestKind Kind) {
  const std::uint32_t Busy =
      std::min(C.Report->Outstanding, C.Report->ActiveFlows);
  const std::uint32_t Idle = C.Report->ActiveFlows - Busy;
  // A download's flow is one request; other flows bring requests for long.
  const double New =
      Kind == RequestKind::Download ? 1.0 : (1.0 + IdleFlowLoad) / 2;
  return (Busy + IdleFlowLoad * Idle + New * (C.PlacedSince + 1.0)) /
         capacity(C);
}

std::optional<std::size_t> place(absl::Span<const Candidate> Candidates,
                                 const std::string &Service, RequestKind Kind,
                                 std::uint64_t Hash,
                                 absl::Span<const Endpoint> Excluded) {
  std::optional<std::size_t> Best;
  std::tuple<bool, double, std::size_t> BestRank;
  for (std::size_t I = 0; I < Candidates.size(); ++I) {
    const Candidate &C = Candidates[I];
    if (!eligible(C, Service) || contains(Excluded, C.Agent))
      continue;
    const std::tuple Rank(silent(C), loadWith(C, Kind),
                          absl::HashOf(C.Agent, Hash));
    if (Best && !(Rank < BestRank))
      continue;
    Best = I;
    BestRank = Rank;
  }
  return Best;
}

} // namespace jasminearch::flow
