#include "jasminearch/flow/load_report.h"
#include "jasminearch/cbor_input.h"
#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace jasminearch::flow {

using nlohmann::json;

namespace {

/// Number of fields without a tag.
constexpr std::size_t Fields = 11;

/// Tags of the values after the fields. The number of a removed tag must not be
/// used again.
enum class ValueTag : std::uint64_t {
  ServiceTime = 1,
  RemainingWork = 2,
  SampleAge = 3,
  Overdue = 4,
  ColdOpeningsLeft = 5,
  /// The first of 65,536 tags, one for each routeTag().
  FirstRoute = 0x1'0000,
};

void append(json &To, ValueTag Tag, std::int64_t Value) {
  if (Value <= 0)
    return;
  To.push_back(static_cast<std::uint64_t>(Tag));
  To.push_back(Value);
}

ValueTag tagOf(std::uint16_t Route) {
  return static_cast<ValueTag>(
      static_cast<std::uint64_t>(ValueTag::FirstRoute) + Route);
}

/// Longest duration that a value can state, so that sums of several of them
/// don't overflow.
constexpr std::chrono::hours MaxValue{1};

template <typename Time> Time durationFrom(const json &J) {
  const auto Limit = std::chrono::duration_cast<Time>(MaxValue).count();
  return Time(std::min<std::uint64_t>(J.get<std::uint64_t>(),
                                      static_cast<std::uint64_t>(Limit)));
}

void setRouteTime(LoadReport &R, std::uint64_t Tag, const json &Value) {
  const auto First = static_cast<std::uint64_t>(ValueTag::FirstRoute);
  const auto Time = durationFrom<std::chrono::microseconds>(Value);
  if (Tag >= First && Tag - First <= 0xFFFF && Time.count() > 0 &&
      R.RouteTimes.size() < MaxReportedRoutes)
    R.RouteTimes.push_back({static_cast<std::uint16_t>(Tag - First), Time});
}

void setValue(LoadReport &R, std::uint64_t Tag, const json &Value) {
  switch (static_cast<ValueTag>(Tag)) {
  case ValueTag::ServiceTime:
    R.ServiceTime = durationFrom<std::chrono::microseconds>(Value);
    return;
  case ValueTag::RemainingWork:
    R.RemainingWork = durationFrom<std::chrono::microseconds>(Value);
    return;
  case ValueTag::SampleAge:
    R.SampleAge = durationFrom<std::chrono::milliseconds>(Value);
    return;
  case ValueTag::Overdue:
    R.Overdue = durationFrom<std::chrono::milliseconds>(Value);
    return;
  case ValueTag::ColdOpeningsLeft:
    if (Value.get<std::uint64_t>() > std::numeric_limits<std::uint32_t>::max())
      throw json::other_error::create(
          501,
          "load report: the openings left must be a whole number from 0 to "
          "4294967295",
          &Value);
    R.ColdOpeningsLeft = Value.get<std::uint32_t>();
    return;
  default:
    return setRouteTime(R, Tag, Value);
  }
}

/// \returns whether the elements after the fields are pairs of unsigned
/// integers.
bool hasTaggedValues(const json &J) {
  return (J.size() - Fields) % 2 == 0 &&
         std::all_of(J.begin() + Fields, J.end(), [](const json &Element) {
           return Element.is_number_unsigned();
         });
}

} // namespace

bool asksForEstimates(absl::Span<const std::uint8_t> ProbePayload) {
  return !ProbePayload.empty() && ProbePayload[0] >= ProbeForEstimates;
}

void clearEstimates(LoadReport &R) {
  R.ServiceTime = R.RemainingWork = std::chrono::microseconds{0};
  R.SampleAge = R.Overdue = std::chrono::milliseconds{0};
  R.RouteTimes.clear();
  R.ColdOpeningsLeft.reset();
}

std::uint16_t routeTag(const Endpoint &Address) {
  const std::uint32_t Parts[] = {Address.Address, Address.Port};
  return static_cast<std::uint16_t>(XXH3_64bits(Parts, sizeof(Parts)));
}

Bytes encodeLoadReport(const LoadReport &R) {
  json J = json::array(
      {R.RunId, R.Number, R.ServiceTag, static_cast<unsigned>(R.State), R.Slots,
       R.ColdRemaining.count(), R.ActiveFlows, R.Outstanding, R.Silent.count(),
       R.ResponseTime.count(), R.HoldsNoFlows});
  append(J, ValueTag::ServiceTime, R.ServiceTime.count());
  append(J, ValueTag::RemainingWork, R.RemainingWork.count());
  append(J, ValueTag::SampleAge, R.SampleAge.count());
  append(J, ValueTag::Overdue, R.Overdue.count());
  if (R.ColdOpeningsLeft) {
    J.push_back(static_cast<std::uint64_t>(ValueTag::ColdOpeningsLeft));
    J.push_back(*R.ColdOpeningsLeft);
  }
  for (const RouteServiceTime &T : R.RouteTimes)
    append(J, tagOf(T.Route), T.Time.count());
  return json::to_cbor(J);
}

Expected<LoadReport> decodeLoadReport(const std::uint8_t *Data,
                                      std::size_t Size) {
  const auto Decoded = parseCborArrays({Data, Size}, 1);
  if (!Decoded)
    return tl::unexpected(Decoded.error());
  const json &J = *Decoded;
  try {
    if (!J.is_array() || J.size() < Fields)
      return fail(ErrorCode::MessageMalformed,
                  "load report: expected an array of 11 fields or more");
    if (!hasTaggedValues(J))
      return fail(ErrorCode::MessageMalformed,
                  "load report: expected pairs of tag and value after 11 "
                  "fields");
    LoadReport R;
    std::size_t I = 0;
    R.RunId = J.at(I++).get<std::uint64_t>();
    R.Number = J.at(I++).get<std::uint64_t>();
    R.ServiceTag = J.at(I++).get<std::uint32_t>();
    const auto State = J.at(I++).get<unsigned>();
    if (State > static_cast<unsigned>(UpstreamState::Draining))
      return fail(ErrorCode::MessageMalformed,
                  "load report: unknown upstream state");
    R.State = static_cast<UpstreamState>(State);
    R.Slots = J.at(I++).get<std::uint32_t>();
    R.ColdRemaining = std::chrono::milliseconds(J.at(I++).get<std::int64_t>());
    R.ActiveFlows = J.at(I++).get<std::uint32_t>();
    R.Outstanding = J.at(I++).get<std::uint32_t>();
    R.Silent = std::chrono::milliseconds(J.at(I++).get<std::int64_t>());
    R.ResponseTime = std::chrono::microseconds(J.at(I++).get<std::int64_t>());
    R.HoldsNoFlows = J.at(I++).get<bool>();
    for (; I < J.size(); I += 2)
      setValue(R, J.at(I).get<std::uint64_t>(), J.at(I + 1));
    return R;
  } catch (const json::exception &E) {
    return fail(ErrorCode::MessageMalformed, E.what());
  }
}

} // namespace jasminearch::flow
