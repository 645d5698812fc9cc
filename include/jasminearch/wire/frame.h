#ifndef JASMINEARCH_WIRE_FRAME_H
#define JASMINEARCH_WIRE_FRAME_H

#include "jasminearch/error.h"
#include "jasminearch/types.h"
#include <absl/types/span.h>
#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>

/// Codecs for tunnel frames, PROXY headers and CoAP messages.
namespace jasminearch::wire {

/// Version of the frame layout, the first element of every frame.
inline constexpr std::uint8_t FrameVersion = 1;

/// Maximum UDP payload over IPv4, in bytes.
inline constexpr std::size_t MaxDatagramBytes = 65507;

/// Maximum number of earlier owners in a frame.
inline constexpr std::size_t MaxCandidates = 8;

/// Type of a frame, with its value on the wire.
enum class FrameKind : std::uint8_t {
  Forward = 0, ///< Entry to agent: a caller's datagram.
  Relay = 1,   ///< Agent to agent: a caller's datagram for its flow's owner.
  Probe = 2,   ///< Agent to agent: a datagram whose flow's owner is unknown.
  Held = 3,    ///< Agent to agent: the sender holds this caller's flow.
  Answer = 4,  ///< Agent to entry: a datagram to the caller.
  Load = 5,    ///< Agent to agent: the sender's load; payload is a LoadReport.
};

/// Header of a datagram between entry hosts and agents.
struct FrameHeader {
  FrameKind Kind = FrameKind::Forward;
  ServiceId Service;
  /// Revision of the configuration in force at the sender.
  Revision InForce;
  /// Upstream and incarnation that the frame is addressed to; for Answer, Held
  /// and Load those of the sender.
  UpstreamId Upstream;
  Incarnation Instance;
  /// Number of agents that have forwarded the datagram.
  std::uint8_t Hops = 0;
  Endpoint Caller;
  Endpoint ServiceAddress;
  /// Tunnel endpoint of the entry host that received the caller's datagram;
  /// the answer is sent there.
  Endpoint Return;
  TraceId Trace;
  /// Number of elements of Candidates, the earlier owners that may still hold
  /// the flow, most recent first.
  std::uint8_t CandidateCount = 0;
  std::array<UpstreamId, MaxCandidates> Candidates{};

  bool operator==(const FrameHeader &) const = default;
};

/// A decoded frame. The payload points into the decoded buffer.
struct FrameView {
  FrameHeader Header;
  absl::Span<const std::uint8_t> Payload;
};

/// Encodes \p Header and \p Payload as a CBOR array in \p Out.
/// \returns the number of bytes written, or FrameTooLarge if the frame exceeds
/// \p Out, MaxDatagramBytes or MaxCandidates. Complexity: linear in the
/// payload; no allocation on success.
Expected<std::size_t> encodeFrame(const FrameHeader &Header,
                                  absl::Span<const std::uint8_t> Payload,
                                  absl::Span<std::uint8_t> Out);

/// Decodes a frame. Trailing bytes are an error.
/// \returns FrameTruncated, FrameMalformed or FrameUnknownVersion for invalid
/// input.
/// Complexity: constant; no allocation on success.
Expected<FrameView> decodeFrame(absl::Span<const std::uint8_t> Datagram);

} // namespace jasminearch::wire

#endif // JASMINEARCH_WIRE_FRAME_H
