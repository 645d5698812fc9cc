#include "jasminearch/fleet/evacuation.h"
#include "jasminearch/cbor_input.h"
#include <algorithm>
#include <functional>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

namespace jasminearch::fleet {

namespace {

using nlohmann::json;

/// First element of an encoded order and of an encoded snapshot. Earlier
/// versions find no version number there and skip the entry.
constexpr std::string_view OrderTag = "evacuation";
constexpr std::string_view StateTag = "control-state";

/// Arrays within a snapshot: the snapshot and its list of data centres.
constexpr unsigned MaxNestingDepth = 2;

/// \returns whether \p Encoded is a CBOR array that begins with a text.
/// AcceptedRoutes begin with a number. Looks only at the first bytes, because
/// an entry with routes can have several hundred KB.
bool beginsWithText(const Bytes &Encoded) {
  constexpr unsigned MajorTypeShift = 5;
  constexpr unsigned TextMajorType = 3;
  return Encoded.size() > 1 && Encoded[1] >> MajorTypeShift == TextMajorType;
}

Expected<json> readTagged(const Bytes &Encoded, std::string_view Tag,
                          std::size_t Fields) {
  auto Decoded = parseCborArrays(Encoded, MaxNestingDepth);
  if (!Decoded)
    return Decoded;
  if (!Decoded->is_array() || Decoded->size() != Fields + 1 ||
      Decoded->front() != Tag)
    return fail(ErrorCode::MessageMalformed,
                "expected an array of \"" + std::string(Tag) + "\" and " +
                    std::to_string(Fields) + " fields");
  return Decoded;
}

} // namespace

bool isEvacuationOrder(const Bytes &Entry) { return beginsWithText(Entry); }

Bytes encodeEvacuationOrder(const EvacuationOrder &Order) {
  return json::to_cbor(
      json::array({OrderTag, Order.DataCentre, Order.Evacuate, Order.Id}));
}

Expected<EvacuationOrder> decodeEvacuationOrder(const Bytes &Entry) {
  const auto Decoded = readTagged(Entry, OrderTag, 3);
  if (!Decoded)
    return tl::unexpected(Decoded.error());
  try {
    EvacuationOrder Order;
    Order.DataCentre = Decoded->at(1).get<std::string>();
    Order.Evacuate = Decoded->at(2).get<bool>();
    Order.Id = Decoded->at(3).get<std::uint64_t>();
    return Order;
  } catch (const json::exception &E) {
    return fail(ErrorCode::MessageMalformed, E.what());
  }
}

Evacuations apply(const Evacuations &Before, const EvacuationOrder &Order,
                  Revision At) {
  Evacuations After = Before;
  auto &Names = After.DataCentres;
  const auto Place =
      std::lower_bound(Names.begin(), Names.end(), Order.DataCentre);
  const bool IsEvacuated = Place != Names.end() && *Place == Order.DataCentre;
  if (At.Number <= Before.Number || IsEvacuated == Order.Evacuate)
    return After;
  After.Number = At.Number;
  if (Order.Evacuate)
    Names.insert(Place, Order.DataCentre);
  else
    Names.erase(Place);
  return After;
}

Bytes encodeControlState(const ControlState &State) {
  if (State.Evacuated.Number == 0)
    return State.RoutesEntry;
  return json::to_cbor(
      json::array({StateTag, json::binary(State.RoutesEntry),
                   State.Evacuated.Number, State.Evacuated.DataCentres}));
}

Expected<ControlState> decodeControlState(const Bytes &Encoded) {
  if (!beginsWithText(Encoded))
    return ControlState{Encoded, {}};
  const auto Decoded = readTagged(Encoded, StateTag, 3);
  if (!Decoded)
    return tl::unexpected(Decoded.error());
  try {
    ControlState State;
    State.RoutesEntry = Decoded->at(1).get_binary();
    State.Evacuated.Number = Decoded->at(2).get<std::uint64_t>();
    State.Evacuated.DataCentres =
        Decoded->at(3).get<std::vector<std::string>>();
    const auto &Names = State.Evacuated.DataCentres;
    const bool Ascending =
        std::adjacent_find(Names.begin(), Names.end(),
                           std::greater_equal<>()) == Names.end();
    if (State.Evacuated.Number == 0 || !Ascending)
      return fail(ErrorCode::MessageMalformed,
                  "evacuations without a number, or not in ascending order");
    return State;
  } catch (const json::exception &E) {
    return fail(ErrorCode::MessageMalformed, E.what());
  }
}

} // namespace jasminearch::fleet
