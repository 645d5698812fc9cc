#include "jasminearch/wire/coap_message.h"
#include <cstdlib>

using namespace jasminearch;

/// Parses arbitrary bytes as a CoAP message. A message that parses must have
/// the same content after it is built and parsed again.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  const auto Read = wire::parseCoap({Data, Size});
  if (!Read)
    return 0;
  wire::operationKey(*Read);
  wire::firstPathSegment(*Read);
  wire::blockOption(*Read, wire::option::Block1);
  const auto Built = wire::buildCoap(*Read);
  if (!Built)
    return 0;
  const auto Again = wire::parseCoap(*Built);
  if (!Again || wire::contentHash(*Again) != wire::contentHash(*Read) ||
      Again->MessageId != Read->MessageId ||
      Again->RequestToken != Read->RequestToken || Again->Type != Read->Type)
    std::abort();
  return 0;
}
