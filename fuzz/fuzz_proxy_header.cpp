#include "jasminearch/wire/proxy_header.h"
#include <algorithm>
#include <cstdlib>

using namespace jasminearch;

/// Decodes arbitrary bytes as a PROXY header. A decoded header must survive a
/// round trip.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  const absl::Span<const std::uint8_t> Datagram(Data, Size);
  const auto View = wire::decodeProxyHeader(Datagram);
  if (!View)
    return 0;
  const std::size_t HeaderBytes = Size - View->Payload.size();
  if (HeaderBytes < wire::ProxyHeaderBytes)
    std::abort();
  std::uint8_t Encoded[wire::ProxyHeaderBytes];
  wire::encodeProxyHeader(View->Header, Encoded);
  const auto Again = wire::decodeProxyHeader(Encoded);
  if (!Again || Again->Header != View->Header || !Again->Payload.empty())
    std::abort();
  // A header without extensions must encode to the same bytes.
  if (HeaderBytes == wire::ProxyHeaderBytes &&
      !std::equal(std::begin(Encoded), std::end(Encoded), Data))
    std::abort();
  return 0;
}
