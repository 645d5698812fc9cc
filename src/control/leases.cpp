#include "jasminearch/control/leases.h"
#include "jasminearch/control/warm_up.h"
#include <optional>

namespace jasminearch::control {
namespace {

bool leaseExpired(const Leases &L, const std::string &Name, TimePoint Now) {
  const auto Found = L.Renewed.find(Name);
  const TimePoint LeaseStart =
      Found == L.Renewed.end() ? L.Since : std::max(Found->second, L.Since);
  const bool Deregistered =
      Found != L.Renewed.end() && Found->second == TimePoint::min();
  return Deregistered || Now - LeaseStart > LeaseLength;
}

/// \returns whether a command for \p Object may be proposed now, and if so
/// records the time of the proposal.
bool startProposal(Leases &L, const std::string &Object, TimePoint Now) {
  const auto [Proposal, Added] = L.Proposed.emplace(Object, Now);
  if (!Added && Now - Proposal->second < ProposalRetryDelay)
    return false;
  Proposal->second = Now;
  return true;
}

/// \returns the warm-up command that is due for \p U, if any.
std::optional<CommandBody> nextWarmUpCommand(Leases &L,
                                             const Configuration &Config,
                                             const Upstream &U, TimePoint Now) {
  const auto Service = Config.Services.find(U.Service);
  if (Service == Config.Services.end())
    return std::nullopt;
  const auto ServiceProfile = Config.Profiles.find(Service->second.ProfileName);
  if (ServiceProfile == Config.Profiles.end())
    return std::nullopt;
  auto &[Instance, Since] =
      L.WarmUpStarts.try_emplace(U.Id, U.Instance, Now).first->second;
  if (Instance != U.Instance) {
    Instance = U.Instance;
    Since = Now;
  }
  return nextWarmUp(U, ServiceProfile->second, Now - Since);
}

} // namespace

Leases startLeases(TimePoint Now) {
  Leases L;
  L.Since = Now;
  return L;
}

void renewLease(Leases &L, const std::string &Name, TimePoint Now) {
  L.Renewed[Name] = Now;
}

void endLease(Leases &L, const std::string &Name) {
  L.Renewed[Name] = TimePoint::min();
}

std::vector<CommandBody> dueCommands(Leases &L, const Configuration &Config,
                                     TimePoint Now) {
  std::vector<CommandBody> Due;
  for (const auto &[Id, U] : Config.Upstreams) {
    if (U.Phase == UpstreamPhase::Lost) {
      L.WarmUpStarts.erase(Id);
      continue;
    }
    const std::string Object =
        "upstream " + U.Name + " " + std::to_string(U.Changed.Number);
    if (leaseExpired(L, U.Name, Now)) {
      if (startProposal(L, Object, Now))
        Due.emplace_back(RetireUpstream{Id, U.Instance});
      continue;
    }
    if (auto Step = nextWarmUpCommand(L, Config, U, Now))
      if (startProposal(L, Object, Now))
        Due.push_back(std::move(*Step));
  }
  for (const auto &[Name, E] : Config.Entries)
    if (E.Alive && leaseExpired(L, Name, Now) &&
        startProposal(
            L, "entry " + Name + " " + std::to_string(E.Changed.Number), Now))
      Due.emplace_back(RetireEntry{Name});
  for (auto It = L.Proposed.begin(); It != L.Proposed.end();)
    It = Now - It->second > ProposalRetryDelay ? L.Proposed.erase(It)
                                               : std::next(It);
  return Due;
}

} // namespace jasminearch::control
