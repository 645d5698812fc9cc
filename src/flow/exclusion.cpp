#include "jasminearch/flow/exclusion.h"
#include "jasminearch/flow/tunnel.h"
#include <absl/strings/string_view.h>
#include <algorithm>

namespace jasminearch::flow {

std::string_view describe(ExclusionReason Reason) {
  switch (Reason) {
  case ExclusionReason::Evacuated:
    return "data centre is evacuated";
  case ExclusionReason::OtherRegion:
    return "region is not allowed";
  }
  return "unknown reason";
}

std::optional<ExclusionReason>
exclusionReason(const Site &S, const Route &R,
                const absl::flat_hash_set<std::string> &Evacuated) {
  const std::vector<std::string> &Regions = R.AllowedRegions;
  if (!Regions.empty() &&
      (S.Region.empty() ||
       std::find(Regions.begin(), Regions.end(), S.Region) == Regions.end()))
    return ExclusionReason::OtherRegion;
  const absl::string_view DataCentre(S.DataCentre.data(), S.DataCentre.size());
  if (!DataCentre.empty() && Evacuated.contains(DataCentre))
    return ExclusionReason::Evacuated;
  return std::nullopt;
}

std::optional<ExclusionReason>
regionExclusion(std::string_view OwnRegion,
                absl::Span<const std::uint32_t> AllowedTags) {
  if (AllowedTags.empty())
    return std::nullopt;
  const auto Own =
      std::find(AllowedTags.begin(), AllowedTags.end(), regionTag(OwnRegion));
  if (OwnRegion.empty() || Own == AllowedTags.end())
    return ExclusionReason::OtherRegion;
  return std::nullopt;
}

void add(ExclusionCounts &Counts, std::optional<ExclusionReason> Reason) {
  if (!Reason)
    ++Counts.Candidates;
  else if (*Reason == ExclusionReason::Evacuated)
    ++Counts.Evacuated;
  else
    ++Counts.OtherRegion;
}

std::optional<ExclusionReason> commonReason(const ExclusionCounts &Counts) {
  if (Counts.Candidates != 0 || Counts.Evacuated + Counts.OtherRegion == 0)
    return std::nullopt;
  return Counts.Evacuated == 0 ? ExclusionReason::OtherRegion
                               : ExclusionReason::Evacuated;
}

} // namespace jasminearch::flow
