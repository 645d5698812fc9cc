#include "jasminearch/fleet/messages.h"
#include <cstdlib>

using namespace jasminearch;
using namespace jasminearch::fleet;

/// Messages on links between the hosts of a fleet, and entries of its log.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  const Bytes Input(Data, Data + Size);
  if (const auto Read = decode(Input)) {
    const auto Back = decode(encode(*Read));
    // A weight that isn't a number differs from itself.
    if (!Back || Back->index() != Read->index())
      std::abort();
  }
  if (const auto Accepted = decodeAcceptedRoutes(Input)) {
    if (!decodeAcceptedRoutes(encodeAcceptedRoutes(*Accepted)))
      std::abort();
    static_cast<void>(decodeDocument(*Accepted));
  }
  return 0;
}
