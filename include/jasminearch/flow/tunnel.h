#ifndef JASMINEARCH_FLOW_TUNNEL_H
#define JASMINEARCH_FLOW_TUNNEL_H

#include "jasminearch/error.h"
#include "jasminearch/flow/packet.h"
#include "jasminearch/types.h"
#include <absl/types/span.h>
#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// Datagrams between entry hosts and agents: a fixed header followed by a
/// payload, such as a packet, flow keys or a load report.
namespace jasminearch::flow {

enum class TunnelKind : std::uint8_t {
  /// Entry to agent: a caller's packet. For opening packets the header names
  /// the service.
  Forward = 1,
  /// Agent to entry: a packet that the agent's upstream doesn't accept.
  Returned = 2,
  /// Entry to agent: queries whether the upstream holds certain flows.
  Locate = 3,
  /// Agent to entry: the answer to Locate, or an unsolicited message that the
  /// upstream holds a flow.
  Located = 4,
  /// Entry to agent: requests one load report.
  Probe = 5,
  /// Agent to entry: a LoadReport, the answer to Probe.
  Load = 6,
  /// Entry to agent: requests a list of all flows that the upstream holds.
  ListFlows = 7,
  /// Agent to entry: a FlowListPart.
  FlowList = 8,
  /// Entry to agent: a DigestRequest. Agents of earlier versions ignore it.
  ListRecentFlows = 9,
  /// Agent to entry: a DigestAnswer.
  RecentFlows = 10,
};

/// Whether an agent's upstream holds a flow. Answers Locate, and gives the
/// reason for Returned.
enum class FlowPresence : std::uint8_t {
  /// The upstream doesn't hold the flow.
  No = 0,
  Yes = 1,
  /// The agent started after its upstream and hasn't seen the flow; only the
  /// upstream itself knows.
  Unsure = 2,
  /// Only with Returned: the upstream isn't ready for new flows, or belongs to
  /// another service.
  NotReady = 3,
};

struct TunnelHeader {
  TunnelKind Kind = TunnelKind::Forward;
  FlowPresence Detail = FlowPresence::No;
  // The fields below are used only when forwarding an opening packet.
  /// serviceTag() of the service.
  std::uint32_t ServiceTag = 0;
  /// Priority of the flow's route; 0 is the most urgent.
  std::uint8_t Priority = 0;
  /// Time since the caller sent the first copy of the packet.
  std::chrono::milliseconds Age{0};
  /// Latency objective of the flow's route.
  std::chrono::milliseconds Objective{0};
  /// The route's requests are of the kind RequestKind::Upload. All other kinds
  /// look alike in a header.
  bool Upload = false;
  /// regionTag() of the regions whose upstreams may serve the route; empty if
  /// all may. At most MaxAllowedRegions.
  std::vector<std::uint32_t> AllowedRegions = {};

  auto operator<=>(const TunnelHeader &) const = default;
};

/// Size of an encoded header without regions in bytes.
inline constexpr std::size_t TunnelHeaderBytes = 12;

/// A decoded datagram; Payload refers to the datagram's bytes.
struct TunnelDatagram {
  TunnelHeader Header;
  absl::Span<const std::uint8_t> Payload;
};

/// \returns a hash of the service name that stands for it in tunnel headers.
std::uint32_t serviceTag(const std::string &Service);

/// \returns a hash of the region's name that stands for it in tunnel headers.
std::uint32_t regionTag(std::string_view Region);

/// \returns a datagram with header and payload.
Bytes encodeTunnel(const TunnelHeader &Header,
                   absl::Span<const std::uint8_t> Payload);

/// \returns PacketMalformed if the datagram is too short or has an unknown
/// version, kind or detail.
Expected<TunnelDatagram> decodeTunnel(absl::Span<const std::uint8_t> Datagram);

/// Size of an encoded flow key in bytes.
inline constexpr std::size_t FlowKeyBytes = 12;

/// Maximum number of flows in one Locate, Located or FlowList, so that the
/// datagram fits into a packet of the usual size.
inline constexpr std::size_t MaxFlowsPerDatagram = 100;

/// An agent's answer about one flow.
struct FlowLocation {
  FlowKey Flow;
  FlowPresence Presence = FlowPresence::No;

  auto operator<=>(const FlowLocation &) const = default;
};

Bytes encodeFlowKey(const FlowKey &Key);
Expected<FlowKey> decodeFlowKey(absl::Span<const std::uint8_t> Payload);

/// Payload of Locate: at most MaxFlowsPerDatagram keys.
Bytes encodeFlowKeys(const std::vector<FlowKey> &Keys);
Expected<std::vector<FlowKey>>
decodeFlowKeys(absl::Span<const std::uint8_t> Payload);

/// Payload of Located: at most MaxFlowsPerDatagram locations.
Bytes encodeLocations(const std::vector<FlowLocation> &Locations);
Expected<std::vector<FlowLocation>>
decodeLocations(absl::Span<const std::uint8_t> Payload);

/// One part of the answer to ListFlows.
struct FlowListPart {
  /// Id of the request that it answers.
  std::uint32_t RequestId = 0;
  std::uint16_t Part = 0;
  /// Total number of parts, at least one.
  std::uint16_t Parts = 1;
  /// Presence of all flows that no part lists: No or Unsure.
  FlowPresence UnlistedPresence = FlowPresence::No;
  /// At most MaxFlowsPerDatagram entries.
  std::vector<FlowLocation> Flows;

  bool operator==(const FlowListPart &) const = default;
};

Bytes encodeFlowList(const FlowListPart &Part);
Expected<FlowListPart> decodeFlowList(absl::Span<const std::uint8_t> Payload);

/// Payload of ListFlows: the id of the request.
Bytes encodeFlowListRequest(std::uint32_t RequestId);
Expected<std::uint32_t>
decodeFlowListRequest(absl::Span<const std::uint8_t> Payload);

} // namespace jasminearch::flow

#endif // JASMINEARCH_FLOW_TUNNEL_H
