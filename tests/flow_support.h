#ifndef JASMINEARCH_TESTS_FLOW_SUPPORT_H
#define JASMINEARCH_TESTS_FLOW_SUPPORT_H

#include "jasminearch/flow/agent_flows.h"
#include "jasminearch/flow/entry_flows.h"
#include "jasminearch/flow/flow_digest.h"
#include <cstring>
#include <optional>
#include <string>
#include <vector>

/// Packets, reports and effect filters for the flow tests.
namespace jasminearch::flow::test {

/// The tests' wire format: the header fields in memory order.
struct WirePacket {
  Endpoint Caller;
  Endpoint Service;
  std::uint32_t Sequence = 0;
  std::uint32_t Acknowledged = 0;
  std::uint32_t Tag = 0;
  std::uint32_t DataBytes = 0;
  bool Opens = false;
  bool Finishes = false;
  bool Resets = false;
  bool Returned = false;
};

inline Bytes encode(const WirePacket &P) {
  Bytes Raw(sizeof(P));
  std::memcpy(Raw.data(), &P, sizeof(P));
  return Raw;
}

inline WirePacket decodeWire(absl::Span<const std::uint8_t> Raw) {
  WirePacket P;
  std::memcpy(static_cast<void *>(&P), Raw.data(), sizeof(P));
  return P;
}

inline Expected<Packet> decode(absl::Span<const std::uint8_t> Raw, Direction) {
  if (Raw.size() != sizeof(WirePacket))
    return fail(ErrorCode::PacketMalformed, "wrong size");
  const WirePacket W = decodeWire(Raw);
  Packet P;
  P.Flow = {W.Caller, W.Service};
  P.Opens = W.Opens;
  P.Finishes = W.Finishes;
  P.Resets = W.Resets;
  P.Returned = W.Returned;
  P.Sequence = W.Sequence;
  P.Acknowledged = W.Acknowledged;
  if (P.Opens)
    P.OpeningAge = std::chrono::milliseconds(200) * P.Acknowledged;
  P.Tag = W.Tag;
  P.DataBytes = W.DataBytes;
  return P;
}

inline void setTag(absl::Span<std::uint8_t> Raw, std::uint32_t Tag) {
  WirePacket W = decodeWire(Raw);
  W.Tag = Tag;
  std::memcpy(Raw.data(), &W, sizeof(W));
}

inline void clearMarks(absl::Span<std::uint8_t> Raw) {
  WirePacket W = decodeWire(Raw);
  W.Tag = 0;
  W.Returned = false;
  std::memcpy(Raw.data(), &W, sizeof(W));
}

inline Bytes encodeReset(const Reset &R) {
  WirePacket W;
  W.Caller = R.Flow.Caller;
  W.Service = R.Flow.Service;
  W.Resets = true;
  W.Sequence = R.Sequence;
  return encode(W);
}

inline PacketCodec codec() { return {decode, setTag, clearMarks, encodeReset}; }

inline Endpoint caller(std::uint16_t Port) { return {0x64400001, Port}; }

constexpr Endpoint ServiceAddress{0xC6120001, 443};

inline WirePacket opening(std::uint16_t Port, std::uint32_t Copy = 0) {
  WirePacket P;
  P.Caller = caller(Port);
  P.Service = ServiceAddress;
  P.Opens = true;
  P.Acknowledged = Copy;
  return P;
}

inline WirePacket data(std::uint16_t Port, std::uint32_t Acknowledged = 7) {
  WirePacket P;
  P.Caller = caller(Port);
  P.Service = ServiceAddress;
  P.Acknowledged = Acknowledged;
  P.DataBytes = 10;
  return P;
}

/// \returns the tunnel address of the agent with this number.
inline Endpoint agentAt(std::uint32_t Number) {
  return {0x0A010000 + Number, 7720};
}

inline RouteTable routesTo(const std::string &Service,
                           std::uint64_t Version = 1) {
  RouteTable Table;
  Table.Version = Version;
  Route R;
  R.Name = "r";
  R.Address = ServiceAddress;
  R.Targets = {{Service, 1.0}};
  R.Timeout = std::chrono::milliseconds(1000);
  Table.Routes = {R};
  Table.Services = {Service};
  return Table;
}

inline Bytes loadFrom(LoadReport R) {
  static std::uint64_t Number = 0;
  R.Number = ++Number;
  return encodeTunnel({TunnelKind::Load, FlowPresence::No, 0},
                      encodeLoadReport(R));
}

/// \returns the listing of the agents 1 to \p Count, all of one service.
inline std::vector<ListedAgent> listed(std::uint32_t Count,
                                       const std::string &Service) {
  std::vector<ListedAgent> All;
  for (std::uint32_t I = 1; I <= Count; ++I)
    All.push_back({agentAt(I), serviceTag(Service)});
  return All;
}

inline LoadReport readyReport(const std::string &Service,
                              std::uint32_t Outstanding = 0,
                              std::uint32_t Slots = 4) {
  LoadReport R;
  R.RunId = 1;
  R.ServiceTag = Service.empty() ? 0 : serviceTag(Service);
  R.State = UpstreamState::Ready;
  R.Slots = Slots;
  R.Outstanding = Outstanding;
  R.ActiveFlows = Outstanding;
  return R;
}

/// A decoded tunnel datagram and its destination.
struct SentTunnel {
  Endpoint To;
  TunnelHeader Header;
  Bytes Payload;
};

template <typename Effects, typename Sent>
std::vector<SentTunnel> tunnels(const Effects &All, TunnelKind Kind) {
  std::vector<SentTunnel> Found;
  for (const auto &Effect : All) {
    const auto *S = std::get_if<Sent>(&Effect);
    if (!S)
      continue;
    const auto Decoded = decodeTunnel(S->Datagram);
    if (Decoded && Decoded->Header.Kind == Kind)
      Found.push_back(
          {S->To, Decoded->Header,
           Bytes(Decoded->Payload.begin(), Decoded->Payload.end())});
  }
  return Found;
}

/// The answer of an agent without flows to a request for its digest.
inline Bytes digestWithoutFlows(const SentTunnel &Request,
                                FlowPresence Presence) {
  return encodeTunnel(
      {TunnelKind::RecentFlows, FlowPresence::No, 0},
      encodeDigestAnswer(answerDigest(
          {}, 1, *decodeDigestRequest(Request.Payload), Presence)));
}

inline std::vector<SentTunnel> forwards(const EntryEffects &All) {
  return tunnels<EntryEffects, SendTunnel>(All, TunnelKind::Forward);
}

template <typename Wanted, typename Effects>
std::vector<Wanted> effectsOfType(const Effects &All) {
  std::vector<Wanted> Found;
  for (const auto &Effect : All)
    if (const auto *W = std::get_if<Wanted>(&Effect))
      Found.push_back(*W);
  return Found;
}

} // namespace jasminearch::flow::test

#endif // JASMINEARCH_TESTS_FLOW_SUPPORT_H
