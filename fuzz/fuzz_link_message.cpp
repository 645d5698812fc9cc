#include "jasminearch/link/messages.h"
#include <cstddef>
#include <cstdint>
#include <cstdlib>

using namespace jasminearch;

/// Decodes arbitrary bytes as a link message. A decoded message must survive a
/// round trip.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  const auto First = link::decodeMessage({Data, Data + Size});
  if (!First)
    return 0;
  const Bytes Encoded = link::encodeMessage(*First);
  const auto Second = link::decodeMessage(Encoded);
  // Compares the encoded bytes, because NaN in a document isn't equal to
  // itself.
  if (!Second || link::encodeMessage(*Second) != Encoded)
    std::abort();
  return 0;
}
