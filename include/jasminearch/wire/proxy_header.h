#ifndef JASMINEARCH_WIRE_PROXY_HEADER_H
#define JASMINEARCH_WIRE_PROXY_HEADER_H

#include "jasminearch/error.h"
#include "jasminearch/types.h"
#include <absl/types/span.h>
#include <cstddef>
#include <cstdint>

namespace jasminearch::wire {

/// Bytes of a PROXY protocol version 2 header for UDP over IPv4.
inline constexpr std::size_t ProxyHeaderBytes = 28;

/// Source and destination of a datagram between the fabric and an entry host.
struct ProxyHeader {
  Endpoint Source;
  Endpoint Destination;

  bool operator==(const ProxyHeader &) const = default;
};

/// A decoded header and the datagram behind it.
struct ProxyView {
  ProxyHeader Header;
  absl::Span<const std::uint8_t> Payload;
};

/// Writes the header for UDP over IPv4 to the first ProxyHeaderBytes of \p Out.
void encodeProxyHeader(const ProxyHeader &Header,
                       std::uint8_t (&Out)[ProxyHeaderBytes]);

/// Reads a header; type-length-value extensions behind the addresses are
/// skipped. \returns ProxyHeaderTruncated or ProxyHeaderMalformed on bad input.
Expected<ProxyView> decodeProxyHeader(absl::Span<const std::uint8_t> Datagram);

} // namespace jasminearch::wire

#endif // JASMINEARCH_WIRE_PROXY_HEADER_H
