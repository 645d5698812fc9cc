#include "jasminearch/flow/tunnel.h"
#include "jasminearch/flow/routes.h"
#include <algorithm>
#include <boost/endian/buffers.hpp>
#include <cstring>
#include <utility>
#include <xxhash.h>

namespace jasminearch::flow {

namespace {

constexpr std::uint8_t TunnelVersion = 2;

/// Version of the header of an opening that only some regions may serve: the
/// number of regions and their tags follow the fixed part. Agents of an earlier
/// version drop such openings; they would deliver them in any region.
constexpr std::uint8_t RegionsVersion = 3;

/// Detail of an opening for an upload. Agents of an earlier version ignore the
/// detail of forwarded packets, so that they serve uploads like other openings.
constexpr std::uint8_t UploadDetail = 3;

struct HeaderLayout {
  boost::endian::big_uint8_buf_t Version;
  boost::endian::big_uint8_buf_t Kind;
  boost::endian::big_uint8_buf_t Detail;
  boost::endian::big_uint8_buf_t Priority;
  boost::endian::big_uint32_buf_t ServiceTag;
  boost::endian::big_uint16_buf_t AgeMs;
  boost::endian::big_uint16_buf_t ObjectiveMs;
};
static_assert(sizeof(HeaderLayout) == TunnelHeaderBytes);

struct KeyLayout {
  boost::endian::big_uint32_buf_t CallerAddress;
  boost::endian::big_uint32_buf_t ServiceAddress;
  boost::endian::big_uint16_buf_t CallerPort;
  boost::endian::big_uint16_buf_t ServicePort;
};
static_assert(sizeof(KeyLayout) == FlowKeyBytes);

/// \returns \p Time in milliseconds, clamped to the range of the field.
std::uint16_t clampedMs(std::chrono::milliseconds Time) {
  return static_cast<std::uint16_t>(
      std::clamp<std::int64_t>(Time.count(), 0, 0xFFFF));
}

struct FlowListRequestLayout {
  boost::endian::big_uint32_buf_t RequestId;
};

struct FlowListLayout {
  boost::endian::big_uint32_buf_t RequestId;
  boost::endian::big_uint16_buf_t Part;
  boost::endian::big_uint16_buf_t Parts;
  boost::endian::big_uint8_buf_t UnlistedPresence;
};

tl::unexpected<Error> malformed(const std::string &Detail) {
  return fail(ErrorCode::PacketMalformed, Detail);
}

/// \returns the number of regions and their tags, or nothing without regions.
Bytes encodeRegions(const std::vector<std::uint32_t> &Regions) {
  Bytes Encoded;
  if (Regions.empty())
    return Encoded;
  const std::size_t Count = std::min(Regions.size(), MaxAllowedRegions);
  Encoded.push_back(static_cast<std::uint8_t>(Count));
  for (std::size_t I = 0; I < Count; ++I) {
    const boost::endian::big_uint32_buf_t Tag(Regions[I]);
    Encoded.insert(Encoded.end(), Tag.data(), Tag.data() + sizeof(Tag));
  }
  return Encoded;
}

/// Moves the regions from the start of the payload into the header.
Expected<TunnelDatagram> withRegions(TunnelDatagram Decoded) {
  absl::Span<const std::uint8_t> &Payload = Decoded.Payload;
  if (Decoded.Header.Kind != TunnelKind::Forward || Payload.empty())
    return malformed("tunnel datagram has no regions, expected a packet with "
                     "1 to 64 regions");
  const std::size_t Count = Payload.front();
  boost::endian::big_uint32_buf_t Tag;
  if (Count == 0 || Count > MaxAllowedRegions ||
      Payload.size() < 1 + Count * sizeof(Tag))
    return malformed("tunnel datagram has an invalid list of regions, expected "
                     "1 to 64 regions of 4 bytes");
  for (std::size_t I = 0; I < Count; ++I) {
    std::memcpy(&Tag, Payload.data() + 1 + I * sizeof(Tag), sizeof(Tag));
    Decoded.Header.AllowedRegions.push_back(Tag.value());
  }
  Payload.remove_prefix(1 + Count * sizeof(Tag));
  return Decoded;
}

} // namespace

std::uint32_t regionTag(std::string_view Region) {
  return XXH32(Region.data(), Region.size(), 0);
}

std::uint32_t serviceTag(const std::string &Service) {
  return XXH32(Service.data(), Service.size(), 0);
}

Bytes encodeTunnel(const TunnelHeader &Header,
                   absl::Span<const std::uint8_t> Payload) {
  HeaderLayout Layout{};
  Layout.Version = TunnelVersion;
  Layout.Kind = static_cast<std::uint8_t>(Header.Kind);
  Layout.Detail = static_cast<std::uint8_t>(Header.Detail);
  Layout.ServiceTag = Header.ServiceTag;
  Layout.Priority = Header.Priority;
  Layout.AgeMs = clampedMs(Header.Age);
  Layout.ObjectiveMs = clampedMs(Header.Objective);
  if (Header.Kind == TunnelKind::Forward && Header.Upload)
    Layout.Detail = UploadDetail;
  const Bytes Regions = Header.Kind == TunnelKind::Forward
                            ? encodeRegions(Header.AllowedRegions)
                            : Bytes();
  if (!Regions.empty())
    Layout.Version = RegionsVersion;
  Bytes Datagram(sizeof(Layout) + Regions.size() + Payload.size());
  std::memcpy(Datagram.data(), &Layout, sizeof(Layout));
  const auto AfterRegions =
      std::copy(Regions.begin(), Regions.end(),
                Datagram.begin() + static_cast<std::ptrdiff_t>(sizeof(Layout)));
  std::copy(Payload.begin(), Payload.end(), AfterRegions);
  return Datagram;
}

Expected<TunnelDatagram> decodeTunnel(absl::Span<const std::uint8_t> Datagram) {
  HeaderLayout Layout{};
  if (Datagram.size() < sizeof(Layout))
    return malformed("tunnel datagram is shorter than its 12-byte header");
  std::memcpy(&Layout, Datagram.data(), sizeof(Layout));
  const std::uint8_t Version = Layout.Version.value();
  if (Version != TunnelVersion && Version != RegionsVersion)
    return malformed("tunnel datagram has an unknown version, expected 2 or 3");
  const std::uint8_t Kind = Layout.Kind.value();
  const std::uint8_t Detail = Layout.Detail.value();
  if (Kind < static_cast<std::uint8_t>(TunnelKind::Forward) ||
      Kind > static_cast<std::uint8_t>(TunnelKind::RecentFlows) ||
      Detail > static_cast<std::uint8_t>(FlowPresence::NotReady))
    return malformed("tunnel datagram has an unknown kind or detail");
  TunnelDatagram Decoded;
  Decoded.Header = {static_cast<TunnelKind>(Kind),
                    static_cast<FlowPresence>(Detail),
                    Layout.ServiceTag.value(),
                    Layout.Priority.value(),
                    std::chrono::milliseconds(Layout.AgeMs.value()),
                    std::chrono::milliseconds(Layout.ObjectiveMs.value()),
                    false,
                    {}};
  Decoded.Payload = Datagram.subspan(sizeof(Layout));
  if (Decoded.Header.Kind == TunnelKind::Forward && Detail == UploadDetail) {
    Decoded.Header.Detail = FlowPresence::No;
    Decoded.Header.Upload = true;
  }
  if (Version == RegionsVersion)
    return withRegions(std::move(Decoded));
  return Decoded;
}

Bytes encodeFlowKey(const FlowKey &Key) {
  KeyLayout Layout{};
  Layout.CallerAddress = Key.Caller.Address;
  Layout.ServiceAddress = Key.Service.Address;
  Layout.CallerPort = Key.Caller.Port;
  Layout.ServicePort = Key.Service.Port;
  Bytes Encoded(sizeof(Layout));
  std::memcpy(Encoded.data(), &Layout, sizeof(Layout));
  return Encoded;
}

Expected<FlowKey> decodeFlowKey(absl::Span<const std::uint8_t> Payload) {
  KeyLayout Layout{};
  if (Payload.size() != sizeof(Layout))
    return malformed("flow key: expected 12 bytes");
  std::memcpy(&Layout, Payload.data(), sizeof(Layout));
  return FlowKey{{Layout.CallerAddress.value(), Layout.CallerPort.value()},
                 {Layout.ServiceAddress.value(), Layout.ServicePort.value()}};
}

Bytes encodeFlowKeys(const std::vector<FlowKey> &Keys) {
  Bytes Encoded;
  Encoded.reserve(Keys.size() * FlowKeyBytes);
  for (const FlowKey &Key : Keys) {
    const Bytes One = encodeFlowKey(Key);
    Encoded.insert(Encoded.end(), One.begin(), One.end());
  }
  return Encoded;
}

Expected<std::vector<FlowKey>>
decodeFlowKeys(absl::Span<const std::uint8_t> Payload) {
  if (Payload.empty() || Payload.size() % FlowKeyBytes != 0 ||
      Payload.size() > MaxFlowsPerDatagram * FlowKeyBytes)
    return malformed(
        "list of flow keys has the wrong size: expected 1 to 100 keys of 12 "
        "bytes");
  std::vector<FlowKey> Keys;
  for (std::size_t Offset = 0; Offset < Payload.size(); Offset += FlowKeyBytes)
    Keys.push_back(*decodeFlowKey(Payload.subspan(Offset, FlowKeyBytes)));
  return Keys;
}

Bytes encodeLocations(const std::vector<FlowLocation> &Locations) {
  Bytes Encoded;
  Encoded.reserve(Locations.size() * (FlowKeyBytes + 1));
  for (const FlowLocation &L : Locations) {
    const Bytes One = encodeFlowKey(L.Flow);
    Encoded.insert(Encoded.end(), One.begin(), One.end());
    Encoded.push_back(static_cast<std::uint8_t>(L.Presence));
  }
  return Encoded;
}

Expected<std::vector<FlowLocation>>
decodeLocations(absl::Span<const std::uint8_t> Payload) {
  constexpr std::size_t Each = FlowKeyBytes + 1;
  if (Payload.empty() || Payload.size() % Each != 0 ||
      Payload.size() > MaxFlowsPerDatagram * Each)
    return malformed(
        "list of flow locations has the wrong size: expected 1 to 100 "
        "entries of 13 bytes");
  std::vector<FlowLocation> All;
  for (std::size_t Offset = 0; Offset < Payload.size(); Offset += Each) {
    const std::uint8_t Presence = Payload[Offset + FlowKeyBytes];
    if (Presence > static_cast<std::uint8_t>(FlowPresence::Unsure))
      return malformed("flow location has an unknown presence value");
    All.push_back({*decodeFlowKey(Payload.subspan(Offset, FlowKeyBytes)),
                   static_cast<FlowPresence>(Presence)});
  }
  return All;
}

Bytes encodeFlowList(const FlowListPart &Part) {
  FlowListLayout Layout{};
  Layout.RequestId = Part.RequestId;
  Layout.Part = Part.Part;
  Layout.Parts = Part.Parts;
  Layout.UnlistedPresence = static_cast<std::uint8_t>(Part.UnlistedPresence);
  Bytes Encoded(sizeof(Layout));
  std::memcpy(Encoded.data(), &Layout, sizeof(Layout));
  const Bytes Flows = encodeLocations(Part.Flows);
  Encoded.insert(Encoded.end(), Flows.begin(), Flows.end());
  return Encoded;
}

Expected<FlowListPart> decodeFlowList(absl::Span<const std::uint8_t> Payload) {
  FlowListLayout Layout{};
  if (Payload.size() < sizeof(Layout))
    return malformed("flow list part is shorter than its 9-byte header");
  std::memcpy(&Layout, Payload.data(), sizeof(Layout));
  const std::uint8_t UnlistedPresence = Layout.UnlistedPresence.value();
  if (Layout.Part.value() >= Layout.Parts.value() ||
      (UnlistedPresence != static_cast<std::uint8_t>(FlowPresence::No) &&
       UnlistedPresence != static_cast<std::uint8_t>(FlowPresence::Unsure)))
    return malformed("flow list part has a part number or a default answer "
                     "that is out of range");
  FlowListPart Part{Layout.RequestId.value(),
                    Layout.Part.value(),
                    Layout.Parts.value(),
                    static_cast<FlowPresence>(UnlistedPresence),
                    {}};
  if (Payload.size() == sizeof(Layout))
    return Part;
  auto Flows = decodeLocations(Payload.subspan(sizeof(Layout)));
  if (!Flows)
    return tl::unexpected(Flows.error());
  Part.Flows = std::move(*Flows);
  return Part;
}

Bytes encodeFlowListRequest(std::uint32_t RequestId) {
  FlowListRequestLayout Layout{};
  Layout.RequestId = RequestId;
  Bytes Encoded(sizeof(Layout));
  std::memcpy(Encoded.data(), &Layout, sizeof(Layout));
  return Encoded;
}

Expected<std::uint32_t>
decodeFlowListRequest(absl::Span<const std::uint8_t> Payload) {
  FlowListRequestLayout Layout{};
  if (Payload.size() != sizeof(Layout))
    return malformed("flow list request: expected 4 bytes");
  std::memcpy(&Layout, Payload.data(), sizeof(Layout));
  return Layout.RequestId.value();
}

} // namespace jasminearch::flow
