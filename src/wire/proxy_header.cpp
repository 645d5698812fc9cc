#include "jasminearch/wire/proxy_header.h"
#include <cstring>
#include <string>

namespace jasminearch::wire {

namespace {

constexpr std::uint8_t Signature[] = {0x0D, 0x0A, 0x0D, 0x0A, 0x00, 0x0D,
                                      0x0A, 0x51, 0x55, 0x49, 0x54, 0x0A};

/// Version 2 in the upper four bits, the PROXY command in the lower four.
constexpr std::uint8_t VersionAndCommand = 0x21;

/// AF_INET in the upper four bits, DGRAM in the lower four.
constexpr std::uint8_t UdpOverIpv4 = 0x12;

constexpr std::size_t CommandOffset = sizeof(Signature);
constexpr std::size_t FamilyOffset = CommandOffset + 1;
constexpr std::size_t LengthOffset = FamilyOffset + 1;

/// Bytes up to and including the length field. The length field counts only the
/// bytes that follow it.
constexpr std::size_t FixedPartBytes = LengthOffset + 2;

/// Two addresses of four bytes and two ports of two bytes.
constexpr std::size_t AddressBytes = ProxyHeaderBytes - FixedPartBytes;

constexpr std::size_t SourceAddressOffset = FixedPartBytes;
constexpr std::size_t DestinationAddressOffset = FixedPartBytes + 4;
constexpr std::size_t SourcePortOffset = FixedPartBytes + 8;
constexpr std::size_t DestinationPortOffset = FixedPartBytes + 10;

void writeBigEndian16(std::uint8_t *Out, std::uint16_t Value) {
  Out[0] = static_cast<std::uint8_t>(Value >> 8U);
  Out[1] = static_cast<std::uint8_t>(Value);
}

void writeBigEndian32(std::uint8_t *Out, std::uint32_t Value) {
  writeBigEndian16(Out, static_cast<std::uint16_t>(Value >> 16U));
  writeBigEndian16(Out + 2, static_cast<std::uint16_t>(Value));
}

std::uint16_t readBigEndian16(const std::uint8_t *In) {
  return static_cast<std::uint16_t>(In[0] << 8U | In[1]);
}

std::uint32_t readBigEndian32(const std::uint8_t *In) {
  return std::uint32_t{readBigEndian16(In)} << 16U | readBigEndian16(In + 2);
}

Expected<ProxyView> truncatedError(std::size_t AvailableBytes,
                                   std::size_t RequiredBytes) {
  return fail(ErrorCode::ProxyHeaderTruncated,
              std::to_string(AvailableBytes) +
                  " bytes available, the header needs " +
                  std::to_string(RequiredBytes));
}

} // namespace

void encodeProxyHeader(const ProxyHeader &Header,
                       std::uint8_t (&Out)[ProxyHeaderBytes]) {
  std::memcpy(Out, Signature, sizeof(Signature));
  Out[CommandOffset] = VersionAndCommand;
  Out[FamilyOffset] = UdpOverIpv4;
  writeBigEndian16(Out + LengthOffset, AddressBytes);
  writeBigEndian32(Out + SourceAddressOffset, Header.Source.Address);
  writeBigEndian32(Out + DestinationAddressOffset, Header.Destination.Address);
  writeBigEndian16(Out + SourcePortOffset, Header.Source.Port);
  writeBigEndian16(Out + DestinationPortOffset, Header.Destination.Port);
}

Expected<ProxyView> decodeProxyHeader(absl::Span<const std::uint8_t> Datagram) {
  if (Datagram.size() < FixedPartBytes)
    return truncatedError(Datagram.size(), FixedPartBytes);
  const std::uint8_t *In = Datagram.data();
  if (std::memcmp(In, Signature, sizeof(Signature)) != 0)
    return fail(ErrorCode::ProxyHeaderMalformed,
                "wrong signature: not a PROXY protocol version 2 header");
  if (In[CommandOffset] != VersionAndCommand)
    return fail(ErrorCode::ProxyHeaderMalformed,
                "unsupported version or command: expected version 2 and PROXY");
  if (In[FamilyOffset] != UdpOverIpv4)
    return fail(
        ErrorCode::ProxyHeaderMalformed,
        "unsupported address family or protocol: expected UDP over IPv4");
  const std::size_t Length = readBigEndian16(In + LengthOffset);
  if (Length < AddressBytes)
    return fail(ErrorCode::ProxyHeaderMalformed,
                "address length is too small for UDP over IPv4");
  if (Datagram.size() < FixedPartBytes + Length)
    return truncatedError(Datagram.size(), FixedPartBytes + Length);
  ProxyView View;
  View.Header.Source = {readBigEndian32(In + SourceAddressOffset),
                        readBigEndian16(In + SourcePortOffset)};
  View.Header.Destination = {readBigEndian32(In + DestinationAddressOffset),
                             readBigEndian16(In + DestinationPortOffset)};
  View.Payload = Datagram.subspan(FixedPartBytes + Length);
  return View;
}

} // namespace jasminearch::wire
