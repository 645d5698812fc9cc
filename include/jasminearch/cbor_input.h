#ifndef JASMINEARCH_CBOR_INPUT_H
#define JASMINEARCH_CBOR_INPUT_H

#include "jasminearch/error.h"
#include <absl/types/span.h>
#include <cstdint>
#include <nlohmann/json.hpp>

namespace jasminearch {

/// Decodes one CBOR value from outside the process. \returns MessageMalformed
/// for invalid CBOR, for maps, and for arrays nested deeper than \p MaxDepth:
/// the library's decoder recurses once per level, so that a few kilobytes could
/// exhaust the stack.
Expected<nlohmann::json> parseCborArrays(absl::Span<const std::uint8_t> Encoded,
                                         unsigned MaxDepth);

} // namespace jasminearch

#endif // JASMINEARCH_CBOR_INPUT_H
