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
#include <vector>

/// Datagrams between entry hosts and agents: a fixed header, then the packet,
/// flow key or report that it is about.
namespace jasminearch::flow {

enum class TunnelKind : std::uint8_t {
  /// Entry to agent: a caller's packet. Opening packets carry the service that
  /// they are meant for.
  Forward = 1,
  /// Agent to entry: a packet that the agent's upstream doesn't take.
  Returned = 2,
  /// Entry to agent: asks whether the upstream holds some flows.
  Locate = 3,
  /// Agent to entry: answers Locate, or tells unasked that it holds a flow.
  Located = 4,
  /// Entry to agent: asks for load reports for a while.
  Subscribe = 5,
  /// Agent to entry: a LoadReport.
  Load = 6,
  /// Entry to agent: asks for all flows that the upstream holds.
  ListFlows = 7,
  /// Agent to entry: a FlowListPart.
  FlowList = 8,
};

/// Answers to Locate, and the reason of Returned.
enum class Holding : std::uint8_t {
  /// The flow isn't here.
  No = 0,
  Yes = 1,
  /// The agent started after its upstream and has not seen the flow; only
  /// the upstream itself can tell.
  Unsure = 2,
  /// Returned: the upstream is not ready for new flows, or is of another
  /// service.
  NotReady = 3,
};

struct TunnelHeader {
  TunnelKind Kind = TunnelKind::Forward;
  Holding Detail = Holding::No;
  // The others are for Forward of an opening packet.
  /// serviceTag() of the service.
  std::uint32_t ServiceTag = 0;
  /// Priority of its route; 0 is the most urgent.
  std::uint8_t Priority = 0;
  /// Time since the caller sent its first copy.
  std::chrono::milliseconds Age{0};
  /// Latency objective of its route.
  std::chrono::milliseconds Objective{0};

  auto operator<=>(const TunnelHeader &) const = default;
};

/// Bytes of an encoded header.
inline constexpr std::size_t TunnelHeaderBytes = 12;

/// A decoded datagram; Payload points into it.
struct TunnelDatagram {
  TunnelHeader Header;
  absl::Span<const std::uint8_t> Payload;
};

/// \returns the tag under which both ends know a service name.
std::uint32_t serviceTag(const std::string &Service);

/// Writes header and payload into one datagram.
Bytes encodeTunnel(const TunnelHeader &Header,
                   absl::Span<const std::uint8_t> Payload);

/// \returns PacketMalformed for a datagram that is too short, of another
/// version or of an unknown kind.
Expected<TunnelDatagram> decodeTunnel(absl::Span<const std::uint8_t> Datagram);

/// Bytes of an encoded flow key.
inline constexpr std::size_t FlowKeyBytes = 12;

/// Flows in one Locate or Located at most, so that it fits into a packet of the
/// usual size.
inline constexpr std::size_t MaxFlowsPerDatagram = 100;

/// Where a flow is, as an agent answers.
struct FlowLocation {
  FlowKey Flow;
  Holding Where = Holding::No;

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

/// One datagram of the answer to ListFlows.
struct FlowListPart {
  /// Number of the question that it answers.
  std::uint32_t Question = 0;
  std::uint16_t Part = 0;
  /// Parts of the whole list, at least one.
  std::uint16_t Parts = 1;
  /// Where flows are that no part lists: No, or Unsure.
  Holding Others = Holding::No;
  /// At most MaxFlowsPerDatagram.
  std::vector<FlowLocation> Flows;

  bool operator==(const FlowListPart &) const = default;
};

Bytes encodeFlowList(const FlowListPart &Part);
Expected<FlowListPart> decodeFlowList(absl::Span<const std::uint8_t> Payload);

/// Payload of ListFlows: the number of the question.
Bytes encodeFlowListRequest(std::uint32_t Question);
Expected<std::uint32_t>
decodeFlowListRequest(absl::Span<const std::uint8_t> Payload);

} // namespace jasminearch::flow

#endif // JASMINEARCH_FLOW_TUNNEL_H
