#include "jasminearch/flow/routes.h"
#include <absl/container/flat_hash_set.h>
#include <absl/strings/str_cat.h>
#include <utility>

namespace jasminearch::flow {

namespace {

double totalWeight(const Route &Of) {
  double Total = 0;
  for (const RouteTarget &T : Of.Targets)
    Total += T.Weight;
  return Total;
}

tl::unexpected<Error> invalid(const Route &Of, const std::string &Problem) {
  return fail(ErrorCode::InvalidRoutes,
              absl::StrCat("route \"", Of.Name, "\" ", Problem));
}

Expected<void> checkRoute(const Route &Of,
                          const absl::flat_hash_set<std::string> &Services) {
  if (Of.Targets.empty())
    return invalid(Of, "names no service");
  for (const RouteTarget &T : Of.Targets) {
    if (!Services.contains(T.Service))
      return invalid(
          Of, absl::StrCat("names the unknown service \"", T.Service, "\""));
    if (T.Weight < 0)
      return invalid(Of, absl::StrCat("has the weight ", T.Weight));
  }
  if (totalWeight(Of) <= 0)
    return invalid(Of, "has weights whose sum isn't positive");
  if (Of.Timeout.count() <= 0)
    return invalid(Of, "has a timeout that isn't positive");
  return {};
}

} // namespace

Expected<void> checkRoutes(const RouteTable &Table) {
  const absl::flat_hash_set<std::string> Services(Table.Services.begin(),
                                                  Table.Services.end());
  absl::flat_hash_set<Endpoint> Seen;
  for (const Route &R : Table.Routes) {
    if (auto Checked = checkRoute(R, Services); !Checked)
      return Checked;
    if (!Seen.insert(R.Address).second)
      return invalid(R, absl::StrCat("has the address ", toString(R.Address),
                                     " of an earlier route"));
  }
  return {};
}

RouteIndex::RouteIndex(RouteTable Given) : Table(std::move(Given)) {
  for (std::size_t I = 0; I < Table.Routes.size(); ++I)
    ByAddress.emplace(Table.Routes[I].Address, I);
}

const Route *RouteIndex::find(const Endpoint &Address) const {
  const auto At = ByAddress.find(Address);
  return At == ByAddress.end() ? nullptr : &Table.Routes[At->second];
}

const std::string *serviceFor(const Route &Of, std::uint64_t Hash) {
  const double Total = totalWeight(Of);
  if (Total <= 0)
    return nullptr;
  constexpr std::uint64_t Steps = std::uint64_t{1} << 32U;
  double Left =
      static_cast<double>(Hash % Steps) / static_cast<double>(Steps) * Total;
  const std::string *Last = nullptr;
  for (const RouteTarget &T : Of.Targets) {
    if (T.Weight <= 0)
      continue;
    Last = &T.Service;
    if (Left < T.Weight)
      return Last;
    Left -= T.Weight;
  }
  return Last;
}

} // namespace jasminearch::flow
