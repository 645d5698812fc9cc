#ifndef JASMINEARCH_FLOW_ROUTES_H
#define JASMINEARCH_FLOW_ROUTES_H

#include "jasminearch/error.h"
#include "jasminearch/types.h"
#include <absl/container/flat_hash_map.h>
#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace jasminearch::flow {

/// Kind of the requests in a route's flows.
enum class RequestKind : std::uint8_t {
  Idempotent = 0,
  NonIdempotent = 1,
  /// Idempotent, with a large response; each request has its own flow.
  Download = 2,
  /// Not idempotent, with a large body and a small response; each request has
  /// its own flow.
  Upload = 3,
};

/// Greatest value of RequestKind, for decoders.
inline constexpr RequestKind LastRequestKind = RequestKind::Upload;

/// Maximum number of regions that a route may name. The header of an opening
/// contains four bytes for each.
inline constexpr std::size_t MaxAllowedRegions = 64;

/// A service of a route; gets new flows in proportion to its weight.
struct RouteTarget {
  std::string Service;
  double Weight = 1;

  auto operator<=>(const RouteTarget &) const = default;
};

/// Assigns the flows that callers open to one address to services.
struct Route {
  std::string Name;
  Endpoint Address;
  RequestKind Kind = RequestKind::Idempotent;
  std::vector<RouteTarget> Targets;
  std::chrono::milliseconds Timeout{0};
  std::chrono::milliseconds LatencyObjective{0};
  /// 0 is the most urgent.
  int Priority = 0;
  /// Regions whose upstreams may serve the route; empty if all may.
  std::vector<std::string> AllowedRegions = {};

  auto operator<=>(const Route &) const = default;
};

/// Limit on the new flows of a service's upstreams during their cold start.
struct ColdLimit {
  std::string Service;
  /// Duration of the cold start.
  std::chrono::milliseconds ColdStart{0};
  /// Number of requests that a cold upstream can take per second; zero if there
  /// is no limit.
  double RequestsPerSecond = 0;

  auto operator<=>(const ColdLimit &) const = default;
};

/// A complete route configuration, as an operator submitted it.
struct RouteTable {
  /// Version assigned by the operator; the highest accepted one is in force.
  std::uint64_t Version = 0;
  std::vector<Route> Routes;
  std::vector<std::string> Services;
  /// A flow may be dropped after this long without packets.
  std::chrono::milliseconds IdleTimeout{0};
  /// Services with a limit; a service without an entry has none.
  std::vector<ColdLimit> ColdLimits = {};

  bool operator==(const RouteTable &) const = default;
};

/// Validates a table. \returns InvalidRoutes with the first route that breaks a
/// rule: two routes with one address, an unknown service, no service, a
/// negative weight, a sum of weights that isn't positive, a timeout that isn't
/// positive, too many regions, or a region that isn't one of \p Regions.
/// \param Regions All regions of the fleet; empty if they are unknown, and then
/// no region is refused.
Expected<void> checkRoutes(const RouteTable &Table,
                           const std::set<std::string> &Regions = {});

/// A route table with an index by address.
class RouteIndex {
public:
  explicit RouteIndex(RouteTable Table);

  /// \returns the route of \p Address, or null.
  const Route *find(const Endpoint &Address) const;

  const RouteTable &table() const { return Table; }

private:
  RouteTable Table;
  absl::flat_hash_map<Endpoint, std::size_t> IndexByAddress;
};

/// \returns the service for a new flow with \p Hash; hashes are distributed
/// over the targets in proportion to their weights. Null if no target has a
/// positive weight.
const std::string *selectService(const Route &R, std::uint64_t Hash);

/// \returns whether new flows of \p R may go to the service with this tag.
bool allowsService(const Route &R, std::uint32_t ServiceTag);

} // namespace jasminearch::flow

#endif // JASMINEARCH_FLOW_ROUTES_H
