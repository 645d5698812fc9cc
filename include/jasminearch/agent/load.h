#ifndef JASMINEARCH_AGENT_LOAD_H
#define JASMINEARCH_AGENT_LOAD_H

#include "jasminearch/control/config_model.h"
#include "jasminearch/error.h"
#include "jasminearch/types.h"
#include <absl/container/flat_hash_map.h>
#include <absl/types/span.h>
#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <vector>

namespace jasminearch::agent {

/// Interval at which Load frames are sent to each sibling.
inline constexpr std::chrono::milliseconds LoadInterval{500};

/// Age after which a report is ignored, equal to four reporting intervals.
inline constexpr std::chrono::milliseconds LoadReportLifetime{2000};

/// Load that an agent reports to its siblings.
struct LoadReport {
  std::uint32_t InFlight = 0;
  std::uint32_t Lines = 0;
  std::uint32_t Slots = 1;
  bool Draining = false;

  auto operator<=>(const LoadReport &) const = default;
};

/// Encodes a report as the CBOR array [in flight, lines, slots, draining].
Bytes encodeLoad(const LoadReport &Report);
/// \returns FrameMalformed unless \p Payload is such an array.
Expected<LoadReport> decodeLoad(absl::Span<const std::uint8_t> Payload);

/// Latest load report of a sibling.
struct SiblingLoad {
  LoadReport Report;
  Incarnation Instance;
  TimePoint ReceivedAt;
};

using SiblingLoads = absl::flat_hash_map<UpstreamId, SiblingLoad>;

/// \returns the other upstreams of the service of \p SelfId that are neither
/// draining nor lost, ordered by id.
std::vector<const control::Upstream *>
siblingsOf(const control::Configuration &Config, UpstreamId SelfId);

/// Picks two siblings by \p SelectionHash and chooses the one with the lower
/// slot utilization. Siblings whose current report says that they are full or
/// draining are excluded. Siblings without a current report count as idle: they
/// can still refuse the request themselves. \returns null if all siblings are
/// excluded.
const control::Upstream *
chooseSibling(const std::vector<const control::Upstream *> &Siblings,
              const SiblingLoads &Loads, std::uint64_t SelectionHash,
              TimePoint Now);

} // namespace jasminearch::agent

#endif // JASMINEARCH_AGENT_LOAD_H
