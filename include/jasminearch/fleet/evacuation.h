#ifndef JASMINEARCH_FLEET_EVACUATION_H
#define JASMINEARCH_FLEET_EVACUATION_H

#include "jasminearch/error.h"
#include "jasminearch/fleet/messages.h"
#include "jasminearch/types.h"
#include <algorithm>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>

/// Evacuations of data centres as part of the replicated state of the control
/// hosts. The functions here are pure.
namespace jasminearch::fleet {

/// Maximum length of the name of a data centre in an order.
inline constexpr std::size_t MaxDataCentreNameBytes = 255;

/// An operator's order about one data centre, as proposed to the log.
struct EvacuationOrder {
  std::string DataCentre;
  /// Whether to evacuate the data centre or to return it to service.
  bool Evacuate = true;
  /// Random number by which the host that proposed the order recognizes the
  /// committed entry.
  std::uint64_t Id = 0;
  auto operator<=>(const EvacuationOrder &) const = default;
};

/// \returns whether an entry of the log is an EvacuationOrder. All other
/// entries are AcceptedRoutes.
bool isEvacuationOrder(const Bytes &Entry);

/// \returns \p Order as an entry of the log.
Bytes encodeEvacuationOrder(const EvacuationOrder &Order);

/// \returns MessageMalformed for input that encodeEvacuationOrder() can't
/// produce.
Expected<EvacuationOrder> decodeEvacuationOrder(const Bytes &Entry);

/// \returns the state after the order that was committed at \p At. An order
/// that changes nothing, and one that \p Before already contains, leaves the
/// state as it is.
Evacuations apply(const Evacuations &Before, const EvacuationOrder &Order,
                  Revision At);

/// \returns whether \p Candidate is a later state than \p Held.
inline bool supersedes(const Evacuations &Candidate, const Evacuations &Held) {
  return Candidate.Number > Held.Number;
}

/// \returns whether \p DataCentre is evacuated in \p State.
inline bool isEvacuated(const Evacuations &State,
                        const std::string &DataCentre) {
  return std::binary_search(State.DataCentres.begin(), State.DataCentres.end(),
                            DataCentre);
}

/// The content of a snapshot of the log.
struct ControlState {
  /// The AcceptedRoutes in force, encoded; empty if there are none.
  Bytes RoutesEntry;
  Evacuations Evacuated;
  auto operator<=>(const ControlState &) const = default;
};

/// \returns \p State as the content of a snapshot. Without any evacuation so
/// far it is the routes entry alone, which earlier versions read, too.
Bytes encodeControlState(const ControlState &State);

/// Reads the content of a snapshot of this or an earlier version. \returns
/// MessageMalformed if it is neither.
Expected<ControlState> decodeControlState(const Bytes &Encoded);

} // namespace jasminearch::fleet

#endif // JASMINEARCH_FLEET_EVACUATION_H
