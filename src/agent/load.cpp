#include "jasminearch/agent/load.h"
#include "jasminearch/cbor_input.h"
#include <nlohmann/json.hpp>

namespace jasminearch::agent {

namespace {

using nlohmann::json;

constexpr std::size_t LoadFieldCount = 4;

bool isUint32(const json &Value) {
  return Value.is_number_unsigned() && Value.get<std::uint64_t>() <= UINT32_MAX;
}

/// \returns the share of slots in use, or nothing for a sibling that is full or
/// draining.
std::optional<double> slotUtilization(const control::Upstream &Upstream,
                                      const SiblingLoads &Loads,
                                      TimePoint Now) {
  const auto Found = Loads.find(Upstream.Id);
  if (Found == Loads.end() || Found->second.Instance != Upstream.Instance ||
      Found->second.ReceivedAt + LoadReportLifetime < Now)
    return 0.0;
  const LoadReport &Report = Found->second.Report;
  if (Report.Draining || Report.InFlight >= Report.Slots)
    return std::nullopt;
  return static_cast<double>(Report.InFlight) / Report.Slots;
}

} // namespace

Bytes encodeLoad(const LoadReport &Report) {
  return json::to_cbor(json::array(
      {Report.InFlight, Report.Lines, Report.Slots, Report.Draining}));
}

Expected<LoadReport> decodeLoad(absl::Span<const std::uint8_t> Payload) {
  const auto Decoded = parseCborArrays(Payload, 1);
  const json Read = Decoded ? *Decoded : json();
  if (!Read.is_array() || Read.size() != LoadFieldCount || !isUint32(Read[0]) ||
      !isUint32(Read[1]) || !isUint32(Read[2]) || !Read[3].is_boolean())
    return fail(
        ErrorCode::FrameMalformed,
        "load report is not a CBOR array [in flight, lines, slots, draining]");
  return LoadReport{Read[0], Read[1], Read[2], Read[3]};
}

std::vector<const control::Upstream *>
siblingsOf(const control::Configuration &Config, UpstreamId SelfId) {
  std::vector<const control::Upstream *> Out;
  const auto Self = Config.Upstreams.find(SelfId);
  if (Self == Config.Upstreams.end())
    return Out;
  for (const auto &[Id, Other] : Config.Upstreams)
    if (Id != SelfId && Other.Service == Self->second.Service &&
        Other.Phase != control::UpstreamPhase::Lost &&
        Other.Phase != control::UpstreamPhase::Draining)
      Out.push_back(&Other);
  return Out;
}

const control::Upstream *
chooseSibling(const std::vector<const control::Upstream *> &Siblings,
              const SiblingLoads &Loads, std::uint64_t SelectionHash,
              TimePoint Now) {
  std::vector<std::pair<const control::Upstream *, double>> Available;
  for (const control::Upstream *Sibling : Siblings)
    if (const auto Utilization = slotUtilization(*Sibling, Loads, Now))
      Available.emplace_back(Sibling, *Utilization);
  if (Available.empty())
    return nullptr;
  const std::size_t First = SelectionHash % Available.size();
  if (Available.size() == 1)
    return Available[First].first;
  const std::size_t Distance =
      1 + (SelectionHash / Available.size()) % (Available.size() - 1);
  const std::size_t Second = (First + Distance) % Available.size();
  return Available[Second].second < Available[First].second
             ? Available[Second].first
             : Available[First].first;
}

} // namespace jasminearch::agent
