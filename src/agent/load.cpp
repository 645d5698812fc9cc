#include "jasminearch/agent/load.h"
#include <nlohmann/json.hpp>

namespace jasminearch::agent {

namespace {

using nlohmann::json;

constexpr std::size_t LoadFields = 4;

bool isCount(const json &Value) {
  return Value.is_number_unsigned() && Value.get<std::uint64_t>() <= UINT32_MAX;
}

/// \returns the share of slots in use, or nothing for a sibling that must not
/// get work.
std::optional<double> shareInUse(const control::Upstream &Of,
                                 const SiblingLoads &Loads, TimePoint Now) {
  const auto Found = Loads.find(Of.Id);
  if (Found == Loads.end() || Found->second.Instance != Of.Instance ||
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
  const json Read =
      json::from_cbor(Payload.begin(), Payload.end(), true, false);
  if (!Read.is_array() || Read.size() != LoadFields || !isCount(Read[0]) ||
      !isCount(Read[1]) || !isCount(Read[2]) || !Read[3].is_boolean())
    return fail(ErrorCode::FrameMalformed,
                "load report is not [in flight, lines, slots, draining]");
  return LoadReport{Read[0], Read[1], Read[2], Read[3]};
}

std::vector<const control::Upstream *>
siblingsOf(const control::Configuration &In, UpstreamId Own) {
  std::vector<const control::Upstream *> Out;
  const auto Self = In.Upstreams.find(Own);
  if (Self == In.Upstreams.end())
    return Out;
  for (const auto &[Id, Other] : In.Upstreams)
    if (Id != Own && Other.Service == Self->second.Service &&
        Other.Phase != control::UpstreamPhase::Lost &&
        Other.Phase != control::UpstreamPhase::Draining)
      Out.push_back(&Other);
  return Out;
}

const control::Upstream *
chooseSibling(const std::vector<const control::Upstream *> &Siblings,
              const SiblingLoads &Loads, std::uint64_t Draw, TimePoint Now) {
  std::vector<std::pair<const control::Upstream *, double>> Open;
  for (const control::Upstream *Sibling : Siblings)
    if (const auto Share = shareInUse(*Sibling, Loads, Now))
      Open.emplace_back(Sibling, *Share);
  if (Open.empty())
    return nullptr;
  const std::size_t First = Draw % Open.size();
  if (Open.size() == 1)
    return Open[First].first;
  const std::size_t Step = 1 + (Draw / Open.size()) % (Open.size() - 1);
  const std::size_t Second = (First + Step) % Open.size();
  return Open[Second].second < Open[First].second ? Open[Second].first
                                                  : Open[First].first;
}

} // namespace jasminearch::agent
