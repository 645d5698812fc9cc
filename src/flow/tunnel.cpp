#include "jasminearch/flow/tunnel.h"
#include <algorithm>
#include <boost/endian/buffers.hpp>
#include <cstring>
#include <utility>
#include <xxhash.h>

namespace jasminearch::flow {

namespace {

constexpr std::uint8_t TunnelVersion = 2;

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

/// \returns \p Time in milliseconds, or the nearest value that fits.
std::uint16_t clampedMs(std::chrono::milliseconds Time) {
  return static_cast<std::uint16_t>(
      std::clamp<std::int64_t>(Time.count(), 0, 0xFFFF));
}

struct QuestionLayout {
  boost::endian::big_uint32_buf_t Question;
};

struct FlowListLayout {
  boost::endian::big_uint32_buf_t Question;
  boost::endian::big_uint16_buf_t Part;
  boost::endian::big_uint16_buf_t Parts;
  boost::endian::big_uint8_buf_t Others;
};

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
  Layout.Priority = Header.Priority;
  Layout.AgeMs = clampedMs(Header.Age);
  Layout.ObjectiveMs = clampedMs(Header.Objective);
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
      Kind > static_cast<std::uint8_t>(TunnelKind::FlowList) ||
      Detail > static_cast<std::uint8_t>(Holding::NotReady))
    return malformed("a tunnel datagram has an unknown kind or detail");
  TunnelDatagram Decoded;
  Decoded.Header = {static_cast<TunnelKind>(Kind),
                    static_cast<Holding>(Detail),
                    Layout.ServiceTag.value(),
                    Layout.Priority.value(),
                    std::chrono::milliseconds(Layout.AgeMs.value()),
                    std::chrono::milliseconds(Layout.ObjectiveMs.value())};
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

Bytes encodeFlowList(const FlowListPart &Part) {
  FlowListLayout Layout{};
  Layout.Question = Part.Question;
  Layout.Part = Part.Part;
  Layout.Parts = Part.Parts;
  Layout.Others = static_cast<std::uint8_t>(Part.Others);
  Bytes Encoded(sizeof(Layout));
  std::memcpy(Encoded.data(), &Layout, sizeof(Layout));
  const Bytes Flows = encodeLocations(Part.Flows);
  Encoded.insert(Encoded.end(), Flows.begin(), Flows.end());
  return Encoded;
}

Expected<FlowListPart> decodeFlowList(absl::Span<const std::uint8_t> Payload) {
  FlowListLayout Layout{};
  if (Payload.size() < sizeof(Layout))
    return malformed("a part of a flow list is shorter than its header");
  std::memcpy(&Layout, Payload.data(), sizeof(Layout));
  const std::uint8_t Others = Layout.Others.value();
  if (Layout.Part.value() >= Layout.Parts.value() ||
      (Others != static_cast<std::uint8_t>(Holding::No) &&
       Others != static_cast<std::uint8_t>(Holding::Unsure)))
    return malformed("a part of a flow list has a number or an answer that "
                     "is out of range");
  FlowListPart Part{Layout.Question.value(),
                    Layout.Part.value(),
                    Layout.Parts.value(),
                    static_cast<Holding>(Others),
                    {}};
  if (Payload.size() == sizeof(Layout))
    return Part;
  auto Flows = decodeLocations(Payload.subspan(sizeof(Layout)));
  if (!Flows)
    return tl::unexpected(Flows.error());
  Part.Flows = std::move(*Flows);
  return Part;
}

Bytes encodeFlowListRequest(std::uint32_t Question) {
  QuestionLayout Layout{};
  Layout.Question = Question;
  Bytes Encoded(sizeof(Layout));
  std::memcpy(Encoded.data(), &Layout, sizeof(Layout));
  return Encoded;
}

Expected<std::uint32_t>
decodeFlowListRequest(absl::Span<const std::uint8_t> Payload) {
  QuestionLayout Layout{};
  if (Payload.size() != sizeof(Layout))
    return malformed("a question for a flow list has 4 bytes");
  std::memcpy(&Layout, Payload.data(), sizeof(Layout));
  return Layout.Question.value();
}

} // namespace jasminearch::flow
