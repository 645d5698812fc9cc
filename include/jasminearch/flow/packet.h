#ifndef JASMINEARCH_FLOW_PACKET_H
#define JASMINEARCH_FLOW_PACKET_H

#include "jasminearch/error.h"
#include "jasminearch/types.h"
#include <absl/types/span.h>
#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>

/// Forwarding of packet flows: connections between callers and upstreams whose
/// packets are passed on unchanged.
namespace jasminearch::flow {

/// Identifies a flow: the caller's endpoint and the service address it called.
struct FlowKey {
  Endpoint Caller;
  Endpoint Service;

  constexpr auto operator<=>(const FlowKey &) const = default;

  template <typename H> friend H AbslHashValue(H Hash, const FlowKey &Key) {
    return H::combine(std::move(Hash), Key.Caller, Key.Service);
  }
};

/// \returns \p Key as "caller>service", the flow id in all log lines.
std::string toString(const FlowKey &Key);

/// A further opening of an open flow is a copy of the first one within this
/// time, and otherwise opens a new flow: callers give up an opening after it.
inline constexpr std::chrono::milliseconds OpeningCopyWindow{1400};

/// Which end of the flow sent a packet.
enum class Direction : std::uint8_t { FromCaller, FromUpstream };

/// Decoded header of a packet.
struct Packet {
  FlowKey Flow;
  /// The packet opens a flow (SYN).
  bool Opens = false;
  bool Acknowledges = false;
  /// This is the sender's last packet (FIN).
  bool Finishes = false;
  bool Resets = false;
  /// An upstream returned the packet because it doesn't hold the flow or can't
  /// accept it.
  bool Returned = false;
  std::uint32_t Sequence = 0;
  /// Next byte expected from the other end; in an opening packet, the number of
  /// earlier copies.
  std::uint32_t Acknowledged = 0;
  /// In an opening packet, the time since the caller sent the first copy.
  std::chrono::milliseconds OpeningAge{0};
  /// Value written by PacketCodec::SetTag; an upstream returns it unchanged.
  std::uint32_t Tag = 0;
  std::size_t DataBytes = 0;

  auto operator<=>(const Packet &) const = default;
};

/// A reset that the load balancer sends to a caller.
struct Reset {
  FlowKey Flow;
  /// The caller accepts the reset only if this is close to its last
  /// Acknowledged.
  std::uint32_t Sequence = 0;

  auto operator<=>(const Reset &) const = default;
};

/// Functions for the wire format of packets, supplied by the embedding program.
struct PacketCodec {
  /// \returns the header, or PacketMalformed.
  Expected<Packet> (*Decode)(absl::Span<const std::uint8_t> Bytes,
                             Direction From) = nullptr;
  /// Writes the tag into an encoded packet.
  void (*SetTag)(absl::Span<std::uint8_t> Bytes, std::uint32_t Tag) = nullptr;
  /// Clears the fields that SetTag or an upstream wrote, so that the packet can
  /// go to another upstream.
  void (*ClearMarks)(absl::Span<std::uint8_t> Bytes) = nullptr;
  Bytes (*EncodeReset)(const Reset &Value) = nullptr;
};

} // namespace jasminearch::flow

#endif // JASMINEARCH_FLOW_PACKET_H
