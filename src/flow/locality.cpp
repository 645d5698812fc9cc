#include "jasminearch/flow/locality.h"
#include <algorithm>
#include <limits>

namespace jasminearch::flow {

namespace {

bool isUsable(const Candidate &C, std::uint32_t ServiceTag) {
  return isEligible(C, ServiceTag) && C.Report->Silent < SilenceThreshold;
}

} // namespace

double requestsPerSlot(const Candidate &C) {
  double Slots = std::max<std::uint32_t>(C.Report->Slots, 1);
  if (C.Report->ColdRemaining > C.Age)
    Slots *= ColdStartSpeed;
  return (static_cast<double>(C.Report->Outstanding) + C.PlacedSinceReport) /
         Slots;
}

std::optional<double> leastBusy(absl::Span<const Candidate> Candidates,
                                std::uint32_t ServiceTag) {
  std::optional<double> Least;
  for (const Candidate &C : Candidates)
    if (isUsable(C, ServiceTag))
      Least = std::min(Least.value_or(std::numeric_limits<double>::infinity()),
                       requestsPerSlot(C));
  return Least;
}

std::vector<Candidate> preferOwn(const CandidatesBySite &Candidates,
                                 std::uint32_t ServiceTag) {
  const auto Elsewhere = leastBusy(Candidates.Elsewhere, ServiceTag);
  double Allowed = LocalLoadSlack;
  if (Candidates.ElsewhereAsked)
    Allowed += Elsewhere.value_or(std::numeric_limits<double>::infinity());
  std::vector<Candidate> Preferred;
  for (const Candidate &C : Candidates.Own)
    if (isUsable(C, ServiceTag) && requestsPerSlot(C) <= Allowed)
      Preferred.push_back(C);
  if (!Preferred.empty() || !Candidates.ElsewhereAsked)
    return Preferred;
  Preferred = Candidates.Elsewhere;
  if (!Elsewhere)
    Preferred.insert(Preferred.end(), Candidates.Own.begin(),
                     Candidates.Own.end());
  return Preferred;
}

std::vector<Endpoint>
orderByPlacement(const std::vector<Endpoint> &Ranked,
                 absl::FunctionRef<bool(const Endpoint &)> IsOwn) {
  std::vector<Endpoint> Own;
  std::vector<Endpoint> Elsewhere;
  std::vector<Endpoint> Others;
  for (auto It = Ranked.rbegin(); It != Ranked.rend(); ++It) {
    std::vector<Endpoint> &Likely = IsOwn(*It) ? Own : Elsewhere;
    (Likely.size() < CandidatesPerFlow ? Likely : Others).push_back(*It);
  }
  std::vector<Endpoint> Order(Others.rbegin(), Others.rend());
  Order.insert(Order.end(), Elsewhere.rbegin(), Elsewhere.rend());
  Order.insert(Order.end(), Own.rbegin(), Own.rend());
  return Order;
}

} // namespace jasminearch::flow
