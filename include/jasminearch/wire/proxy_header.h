#ifndef JASMINEARCH_WIRE_PROXY_HEADER_H
#define JASMINEARCH_WIRE_PROXY_HEADER_H

#include "jasminearch/error.h"
#include "jasminearch/types.h"
#include <absl/types/span.h>
#include <cstddef>
#include <cstdint>

namespace jasminearch::wire {

/// Size of a PROXY protocol version 2 header for UDP over IPv4, without
/// extensions.
inline constexpr std::size_t ProxyHeaderBytes = 28;

/// Source and destination of a datagram between the fabric and an entry host.
struct ProxyHeader {
  Endpoint Source;
  Endpoint Destination;

  bool operator==(const ProxyHeader &) const = default;
};

/// A decoded header and the payload that follows it. The payload points into
/// the decoded buffer.
struct ProxyView {
  ProxyHeader Header;
  absl::Span<const std::uint8_t> Payload;
};

/// Encodes a header for UDP over IPv4 into \p Out.
void encodeProxyHeader(const ProxyHeader &Header,
                       std::uint8_t (&Out)[ProxyHeaderBytes]);

/// Decodes a header and skips the type-length-value extensions that follow the
/// addresses. \returns ProxyHeaderTruncated or ProxyHeaderMalformed for invalid
/// input.
Expected<ProxyView> decodeProxyHeader(absl::Span<const std::uint8_t> Datagram);

} // namespace jasminearch::wire

#endif // JASMINEARCH_WIRE_PROXY_HEADER_H
