#include "jasminearch/flow/routes.h"
#include "jasminearch/flow/tunnel.h"
#include <absl/container/flat_hash_set.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <utility>

namespace jasminearch::flow {

namespace {

double totalWeight(const Route &R) {
  double Total = 0;
  for (const RouteTarget &T : R.Targets)
    Total += T.Weight;
  return Total;
}

tl::unexpected<Error> invalid(const Route &R, const std::string &Problem) {
  return fail(ErrorCode::InvalidRoutes,
              absl::StrCat("route \"", R.Name, "\" ", Problem));
}

Expected<void> checkRoute(const Route &R,
                          const absl::flat_hash_set<std::string> &Services) {
  if (R.Targets.empty())
    return invalid(R, "has no target service");
  for (const RouteTarget &T : R.Targets) {
    if (!Services.contains(T.Service))
      return invalid(
          R, absl::StrCat("refers to the unknown service \"", T.Service, "\""));
    if (T.Weight < 0)
      return invalid(R, absl::StrCat("has a negative weight: ", T.Weight));
  }
  if (totalWeight(R) <= 0)
    return invalid(R, "has weights whose sum isn't positive");
  if (R.Timeout.count() <= 0)
    return invalid(R, "has a timeout that isn't positive");
  return {};
}

Expected<void> checkRegions(const Route &R,
                            const std::set<std::string> &Regions) {
  if (R.AllowedRegions.size() > MaxAllowedRegions)
    return invalid(R, absl::StrCat("names ", R.AllowedRegions.size(),
                                   " regions, at most ", MaxAllowedRegions,
                                   " are possible"));
  for (const std::string &Region : R.AllowedRegions)
    if (!Regions.empty() && !Regions.contains(Region))
      return invalid(
          R, absl::StrCat("refers to the unknown region \"", Region, "\""));
  return {};
}

} // namespace

Expected<void> checkRoutes(const RouteTable &Table,
                           const std::set<std::string> &Regions) {
  const absl::flat_hash_set<std::string> Services(Table.Services.begin(),
                                                  Table.Services.end());
  absl::flat_hash_set<Endpoint> Seen;
  for (const Route &R : Table.Routes) {
    if (auto Checked = checkRoute(R, Services); !Checked)
      return Checked;
    if (auto Checked = checkRegions(R, Regions); !Checked)
      return Checked;
    if (!Seen.insert(R.Address).second)
      return invalid(R,
                     absl::StrCat("has the same address ", toString(R.Address),
                                  " as an earlier route"));
  }
  return {};
}

RouteIndex::RouteIndex(RouteTable InitialTable)
    : Table(std::move(InitialTable)) {
  for (std::size_t I = 0; I < Table.Routes.size(); ++I)
    IndexByAddress.emplace(Table.Routes[I].Address, I);
}

const Route *RouteIndex::find(const Endpoint &Address) const {
  const auto It = IndexByAddress.find(Address);
  return It == IndexByAddress.end() ? nullptr : &Table.Routes[It->second];
}

const std::string *selectService(const Route &R, std::uint64_t Hash) {
  const double Total = totalWeight(R);
  if (Total <= 0)
    return nullptr;
  constexpr std::uint64_t HashRange = std::uint64_t{1} << 32U;
  double Remaining = static_cast<double>(Hash % HashRange) /
                     static_cast<double>(HashRange) * Total;
  const std::string *Last = nullptr;
  for (const RouteTarget &T : R.Targets) {
    if (T.Weight <= 0)
      continue;
    Last = &T.Service;
    if (Remaining < T.Weight)
      return Last;
    Remaining -= T.Weight;
  }
  return Last;
}

bool allowsService(const Route &R, std::uint32_t ServiceTag) {
  return std::any_of(
      R.Targets.begin(), R.Targets.end(), [ServiceTag](const RouteTarget &T) {
        return T.Weight > 0 && serviceTag(T.Service) == ServiceTag;
      });
}

} // namespace jasminearch::flow
