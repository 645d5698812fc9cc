#ifndef JASMINEARCH_FLOW_ROUTES_H
#define JASMINEARCH_FLOW_ROUTES_H

#include "jasminearch/error.h"
#include "jasminearch/types.h"
#include <absl/container/flat_hash_map.h>
#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace jasminearch::flow {

/// Whether requests inside a route's flows may be repeated.
enum class RequestKind : std::uint8_t {
  Idempotent = 0,
  NonIdempotent = 1,
  /// Idempotent, with a large response and a flow of its own.
  Download = 2,
};

/// Share of a route's new flows that goes to one service.
struct RouteTarget {
  std::string Service;
  double Weight = 1;

  auto operator<=>(const RouteTarget &) const = default;
};

/// Where the flows that callers open to one address go.
struct Route {
  std::string Name;
  Endpoint Address;
  RequestKind Kind = RequestKind::Idempotent;
  std::vector<RouteTarget> Targets;
  std::chrono::milliseconds Timeout{0};
  std::chrono::milliseconds LatencyObjective{0};
  /// 0 is the most urgent.
  int Priority = 0;

  auto operator<=>(const Route &) const = default;
};

/// One whole configuration of routes, as an operator sent it.
struct RouteTable {
  /// The operator's number; the highest accepted one is in force.
  std::uint64_t Version = 0;
  std::vector<Route> Routes;
  std::vector<std::string> Services;
  /// A flow without packets for this long may be forgotten.
  std::chrono::milliseconds IdleTimeout{0};

  bool operator==(const RouteTable &) const = default;
};

/// Checks what a table must fulfil to be accepted. \returns InvalidRoutes and
/// names the first route that breaks a rule: two routes with one address, an
/// unknown service, no service at all, a weight that isn't positive in sum, or
/// a timeout of zero.
Expected<void> checkRoutes(const RouteTable &Table);

/// A table with an index by address.
class RouteIndex {
public:
  explicit RouteIndex(RouteTable Table);

  /// \returns the route of \p Address, or null.
  const Route *find(const Endpoint &Address) const;

  const RouteTable &table() const { return Table; }

private:
  RouteTable Table;
  absl::flat_hash_map<Endpoint, std::size_t> ByAddress;
};

/// \returns the service that takes a new flow with \p Hash: hashes are spread
/// over the targets by weight. Null if no target has a positive weight.
const std::string *serviceFor(const Route &Of, std::uint64_t Hash);

} // namespace jasminearch::flow

#endif // JASMINEARCH_FLOW_ROUTES_H
