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

/// Validity of a permit: EXCHANGE_LIFETIME of RFC 7252, after which no copy of
/// a datagram remains in the network.
inline constexpr std::chrono::seconds PermitLifetime{247};

/// Size of the MAC in bytes. The MAC is a truncated HMAC-SHA256.
inline constexpr std::size_t PermitMacBytes = 12;

/// Size of an encoded permit in bytes: upstream id 4, incarnation 8, nonce 8,
/// expiry 8, and the MAC. An Echo option holds at most 40 bytes (RFC 9175).
inline constexpr std::size_t PermitBytes = 28 + PermitMacBytes;

using PermitKey = std::array<std::uint8_t, 32>;
using EncodedPermit = std::array<std::uint8_t, PermitBytes>;

/// Authorizes one non-idempotent request to run at one agent and incarnation.
struct Permit {
  UpstreamId Owner;
  Incarnation Instance;
  std::uint64_t Nonce = 0;
  /// Expiry in milliseconds of the owner's agent time (see agentTimeMs()). Not
  /// wall-clock time: a jump of the wall clock could let a permit outlive its
  /// record, and only the owner evaluates the expiry.
  std::uint64_t ExpiryMs = 0;

  auto operator<=>(const Permit &) const = default;
};

/// \returns a random key from libcrypto's generator, or PermitMalformed if the
/// generator fails.
Expected<PermitKey> makePermitKey();

/// Encodes \p Value and appends its MAC under \p Key.
EncodedPermit encodePermit(const Permit &Value, const PermitKey &Key);

/// Decodes a permit without verifying its MAC, for which the owner's key is
/// needed. \returns PermitMalformed unless \p Encoded has PermitBytes bytes.
Expected<Permit> readPermit(absl::Span<const std::uint8_t> Encoded);

/// Verifies the MAC in constant time. \returns PermitMalformed for a wrong size
/// and PermitForged for a wrong MAC.
Expected<void> verifyPermit(absl::Span<const std::uint8_t> Encoded,
                            const PermitKey &Key);

} // namespace jasminearch::agent

#endif // JASMINEARCH_AGENT_PERMIT_H
