#ifndef JASMINEARCH_FLOW_EXCLUSION_H
#define JASMINEARCH_FLOW_EXCLUSION_H

#include "jasminearch/flow/routes.h"
#include <absl/container/flat_hash_set.h>
#include <absl/types/span.h>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// Rules that keep new flows away from upstreams because of where they stand.
/// Entry hosts apply them to the agents that they know, and each agent applies
/// them to its own upstream.
namespace jasminearch::flow {

/// Why an upstream gets no new flow.
enum class ExclusionReason : std::uint8_t {
  /// Its data centre is evacuated.
  Evacuated = 1,
  /// The route names regions, and the upstream isn't known to be in one of
  /// them.
  OtherRegion = 2,
};

/// \returns the reason in the form in which it is logged.
std::string_view describe(ExclusionReason Reason);

/// Where an upstream stands; empty fields are unknown.
struct Site {
  std::string_view DataCentre;
  std::string_view Region;

  auto operator<=>(const Site &) const = default;
};

/// \returns why an upstream at \p S gets no new flow of \p R, or nothing if it
/// may get one. An upstream whose data centre is unknown doesn't count as
/// evacuated. One whose region is unknown gets no flow of a route that names
/// regions, because nothing shows that it is in one of them.
std::optional<ExclusionReason>
exclusionReason(const Site &S, const Route &R,
                const absl::flat_hash_set<std::string> &Evacuated);

/// The same as an agent decides it for its own upstream. \p AllowedTags are the
/// regionTag() of the regions that the route names.
std::optional<ExclusionReason>
regionExclusion(std::string_view OwnRegion,
                absl::Span<const std::uint32_t> AllowedTags);

/// Upstreams of a route's services, counted by whether the rules exclude them.
struct ExclusionCounts {
  std::size_t Candidates = 0;
  std::size_t Evacuated = 0;
  std::size_t OtherRegion = 0;

  auto operator<=>(const ExclusionCounts &) const = default;
};

/// Counts one upstream.
void add(ExclusionCounts &Counts, std::optional<ExclusionReason> Reason);

/// \returns why no upstream is left, or nothing if there is a candidate or no
/// upstream at all. Evacuated if both reasons occur: there is an upstream in an
/// allowed region, which gets flows again once the evacuation ends.
std::optional<ExclusionReason> commonReason(const ExclusionCounts &Counts);

} // namespace jasminearch::flow

#endif // JASMINEARCH_FLOW_EXCLUSION_H
