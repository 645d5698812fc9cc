#include "jasminearch/flow/tunnel.h"
#include <boost/endian/buffers.hpp>
#include <cstring>
#include <xxhash.h>

namespace jasminearch::flow {

namespace {

constexpr std::uint8_t TunnelVersion = 1;

struct HeaderLayout {
  boost::endian::big_uint8_buf_t Version;
  boost::endian::big_uint8_buf_t Kind;
  boost::endian::big_uint8_buf_t Detail;
  boost::endian::big_uint8_buf_t Reserved;
  boost::endian::big_uint32_buf_t ServiceTag;
};
static_assert(sizeof(HeaderLayout) == TunnelHeaderBytes);

struct KeyLayout {
  boost::endian::big_uint32_buf_t CallerAddress;
  boost::endian::big_uint32_buf_t ServiceAddress;
  boost::endian::big_uint16_buf_t CallerPort;
  boost::endian::big_uint16_buf_t ServicePort;
};
static_assert(sizeof(KeyLayout) == FlowKeyBytes);

tl::unexpected<Error> malformed(const std::string &Detail) {
  return fail(ErrorCode::PacketMalformed, Detail);
}

} // namespace

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
  Bytes Datagram(sizeof(Layout) + Payload.size());
  std::memcpy(Datagram.data(), &Layout, sizeof(Layout));
  if (!Payload.empty())
    std::memcpy(Datagram.data() + sizeof(Layout), Payload.data(),
                Payload.size());
  return Datagram;
}

Expected<TunnelDatagram> decodeTunnel(absl::Span<const std::uint8_t> Datagram) {
  HeaderLayout Layout{};
  if (Datagram.size() < sizeof(Layout))
    return malformed("a tunnel datagram is shorter than its header");
  std::memcpy(&Layout, Datagram.data(), sizeof(Layout));
  if (Layout.Version.value() != TunnelVersion)
    return malformed("a tunnel datagram has an unknown version");
  const std::uint8_t Kind = Layout.Kind.value();
  const std::uint8_t Detail = Layout.Detail.value();
  if (Kind < static_cast<std::uint8_t>(TunnelKind::Forward) ||
      Kind > static_cast<std::uint8_t>(TunnelKind::Load) ||
      Detail > static_cast<std::uint8_t>(Holding::NotReady))
    return malformed("a tunnel datagram has an unknown kind or detail");
  TunnelDatagram Decoded;
  Decoded.Header = {static_cast<TunnelKind>(Kind), static_cast<Holding>(Detail),
                    Layout.ServiceTag.value()};
  Decoded.Payload = Datagram.subspan(sizeof(Layout));
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
    return malformed("a flow key has 12 bytes");
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
    return malformed("a list of flow keys has a wrong size");
  std::vector<FlowKey> Keys;
  for (std::size_t At = 0; At < Payload.size(); At += FlowKeyBytes)
    Keys.push_back(*decodeFlowKey(Payload.subspan(At, FlowKeyBytes)));
  return Keys;
}

Bytes encodeLocations(const std::vector<FlowLocation> &Locations) {
  Bytes Encoded;
  Encoded.reserve(Locations.size() * (FlowKeyBytes + 1));
  for (const FlowLocation &L : Locations) {
    const Bytes One = encodeFlowKey(L.Flow);
    Encoded.insert(Encoded.end(), One.begin(), One.end());
    Encoded.push_back(static_cast<std::uint8_t>(L.Where));
  }
  return Encoded;
}

Expected<std::vector<FlowLocation>>
decodeLocations(absl::Span<const std::uint8_t> Payload) {
  constexpr std::size_t Each = FlowKeyBytes + 1;
  if (Payload.empty() || Payload.size() % Each != 0 ||
      Payload.size() > MaxFlowsPerDatagram * Each)
    return malformed("a list of flow locations has a wrong size");
  std::vector<FlowLocation> All;
  for (std::size_t At = 0; At < Payload.size(); At += Each) {
    const std::uint8_t Where = Payload[At + FlowKeyBytes];
    if (Where > static_cast<std::uint8_t>(Holding::Unsure))
      return malformed("a flow location has an unknown value");
    All.push_back({*decodeFlowKey(Payload.subspan(At, FlowKeyBytes)),
                   static_cast<Holding>(Where)});
  }
  return All;
}

} // namespace jasminearch::flow
