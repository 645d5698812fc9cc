#ifndef JASMINEARCH_WIRE_FRAME_H
#define JASMINEARCH_WIRE_FRAME_H

#include "jasminearch/error.h"
#include "jasminearch/types.h"
#include <absl/types/span.h>
#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>

/// Codecs for datagrams: tunnel frames, PROXY headers and CoAP messages.
namespace jasminearch::wire {

/// Version of the frame layout, first element of every frame.
inline constexpr std::uint8_t FrameVersion = 1;

/// Largest UDP payload over IPv4, in bytes.
inline constexpr std::size_t MaxDatagramBytes = 65507;

/// Most earlier owners that a frame names.
inline constexpr std::size_t MaxCandidates = 8;

/// What a frame asks of its receiver.
enum class FrameKind : std::uint8_t {
  Forward = 0, ///< Entry to agent: a caller's datagram.
  Relay = 1,   ///< Agent to agent: a caller's datagram for its owner.
  Probe = 2,   ///< Agent to agent: a datagram whose owner is being looked for.
  Held = 3,    ///< Agent to agent: the sender holds this caller's flow.
  Answer = 4,  ///< Agent to entry: a datagram to the caller.
  Load = 5,    ///< Agent to agent: the sender's load; payload is a LoadReport.
};

/// Head of a datagram between entry hosts and agents.
struct FrameHeader {
  FrameKind Kind = FrameKind::Forward;
  ServiceId Service;
  /// Configuration in force at the sender.
  Revision InForce;
  /// Upstream and incarnation that the frame is meant for; for Answer, Held and
  /// Load those of the sender.
  UpstreamId Upstream;
  Incarnation Instance;
  /// Agents passed so far.
  std::uint8_t Hops = 0;
  Endpoint Caller;
  Endpoint ServiceAddress;
  /// Entry host that received the caller's datagram and takes the answer.
  Endpoint Return;
  TraceId Trace;
  /// Earlier owners that may still hold the flow, latest first.
  std::uint8_t CandidateCount = 0;
  std::array<UpstreamId, MaxCandidates> Candidates{};

  bool operator==(const FrameHeader &) const = default;
};

/// A decoded frame. The payload points into the buffer that was decoded.
struct FrameView {
  FrameHeader Header;
  absl::Span<const std::uint8_t> Payload;
};

/// Writes \p Header and \p Payload to \p Out as a CBOR array.
/// \returns the number of bytes written, or FrameTooLarge if \p Out or a
/// datagram can't hold them. Complexity: linear in the payload; no allocation
/// on success.
Expected<std::size_t> encodeFrame(const FrameHeader &Header,
                                  absl::Span<const std::uint8_t> Payload,
                                  absl::Span<std::uint8_t> Out);

/// Reads a frame. Trailing bytes are refused.
/// \returns FrameTruncated, FrameMalformed or FrameUnknownVersion on bad input.
/// Complexity: constant; no allocation on success.
Expected<FrameView> decodeFrame(absl::Span<const std::uint8_t> Datagram);

} // namespace jasminearch::wire

#endif // JASMINEARCH_WIRE_FRAME_H
