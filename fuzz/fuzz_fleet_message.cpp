#include "jasminearch/fleet/evacuation.h"
#include <cstdlib>

using namespace jasminearch;
using namespace jasminearch::fleet;

/// Decodes arbitrary bytes as a message between the hosts of a fleet and as an
/// entry of its log. What decodes must decode again after encoding.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  const Bytes Input(Data, Data + Size);
  if (const auto Read = decode(Input)) {
    const auto Back = decode(encode(*Read));
    // Compares only the type, because a NaN weight isn't equal to itself.
    if (!Back || Back->index() != Read->index())
      std::abort();
  }
  if (const auto Accepted = decodeAcceptedRoutes(Input)) {
    if (!decodeAcceptedRoutes(encodeAcceptedRoutes(*Accepted)))
      std::abort();
    static_cast<void>(decodeDocument(*Accepted));
  }
  if (const auto Order = decodeEvacuationOrder(Input)) {
    const auto Back = decodeEvacuationOrder(encodeEvacuationOrder(*Order));
    if (!Back || *Back != *Order)
      std::abort();
  }
  if (const auto State = decodeControlState(Input)) {
    const auto Back = decodeControlState(encodeControlState(*State));
    if (!Back || *Back != *State)
      std::abort();
  }
  return 0;
}
