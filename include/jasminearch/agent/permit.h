#ifndef JASMINEARCH_AGENT_PERMIT_H
#define JASMINEARCH_AGENT_PERMIT_H

#include "jasminearch/error.h"
#include "jasminearch/types.h"
#include <absl/types/span.h>
#include <array>
#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>

namespace jasminearch::agent {

/// Time for which a permit is valid: EXCHANGE_LIFETIME of RFC 7252, after
/// which no copy of a datagram is left in the network.
inline constexpr std::chrono::seconds PermitLifetime{247};

/// Bytes of the MAC, a truncated HMAC-SHA256.
inline constexpr std::size_t PermitMacBytes = 12;

/// Bytes of an encoded permit: upstream id 4, incarnation 8, nonce 8, expiry 8
/// and the MAC. An Echo option holds at most 40 bytes (RFC 9175).
inline constexpr std::size_t PermitBytes = 28 + PermitMacBytes;

using PermitKey = std::array<std::uint8_t, 32>;
using EncodedPermit = std::array<std::uint8_t, PermitBytes>;

/// Lets one non-idempotent request run at one agent and incarnation.
struct Permit {
  UpstreamId Owner;
  Incarnation Instance;
  std::uint64_t Nonce = 0;
  /// Milliseconds on the owner's agent time (see agentTimeMs()), not
  /// wall-clock time: only the owner reads it, and a jump of the wall clock
  /// would otherwise let a permit outlive its record.
  std::uint64_t ExpiryMs = 0;

  auto operator<=>(const Permit &) const = default;
};

/// \returns a key from the operating system's random source (libcrypto), or
/// PermitMalformed if it has none.
Expected<PermitKey> makePermitKey();

/// Encodes \p Value and appends its MAC under \p Key.
EncodedPermit encodePermit(const Permit &Value, const PermitKey &Key);

/// Reads a permit without checking its MAC, which only the owner can do.
/// \returns PermitMalformed unless \p Encoded has PermitBytes bytes.
Expected<Permit> readPermit(absl::Span<const std::uint8_t> Encoded);

/// Checks the MAC in constant time. \returns PermitForged on a mismatch.
Expected<void> verifyPermit(absl::Span<const std::uint8_t> Encoded,
                            const PermitKey &Key);

} // namespace jasminearch::agent

#endif // JASMINEARCH_AGENT_PERMIT_H
