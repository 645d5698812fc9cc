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

/// Interval between Load frames to each sibling.
inline constexpr std::chrono::milliseconds LoadInterval{500};

/// Age from which a report no longer counts: four missed reports.
inline constexpr std::chrono::milliseconds LoadReportLifetime{2000};

/// What an agent tells its siblings.
struct LoadReport {
  std::uint32_t InFlight = 0;
  std::uint32_t Lines = 0;
  std::uint32_t Slots = 1;
  bool Draining = false;

  auto operator<=>(const LoadReport &) const = default;
};

/// CBOR form: [in flight, lines, slots, draining].
Bytes encodeLoad(const LoadReport &Report);
Expected<LoadReport> decodeLoad(absl::Span<const std::uint8_t> Payload);

/// Latest report of a sibling.
struct SiblingLoad {
  LoadReport Report;
  Incarnation Instance;
  TimePoint ReceivedAt;
};

using SiblingLoads = absl::flat_hash_map<UpstreamId, SiblingLoad>;

/// \returns the upstreams of the service of \p Own but itself that are neither
/// draining nor lost, in the order of their ids.
std::vector<const control::Upstream *>
siblingsOf(const control::Configuration &In, UpstreamId Own);

/// Picks two siblings by \p Draw and returns the one with the smaller share of
/// its slots in use. Siblings that lately reported to be full or draining are
/// not picked; those without a fresh report count as empty, because they decide
/// for themselves. \returns null if none is left.
const control::Upstream *
chooseSibling(const std::vector<const control::Upstream *> &Siblings,
              const SiblingLoads &Loads, std::uint64_t Draw, TimePoint Now);

} // namespace jasminearch::agent

#endif // JASMINEARCH_AGENT_LOAD_H
