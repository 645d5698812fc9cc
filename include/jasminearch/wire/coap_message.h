#ifndef JASMINEARCH_WIRE_COAP_MESSAGE_H
#define JASMINEARCH_WIRE_COAP_MESSAGE_H

#include "jasminearch/error.h"
#include "jasminearch/types.h"
#include <absl/container/inlined_vector.h>
#include <absl/types/span.h>
#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// A typed view of CoAP messages (RFC 7252) over libcoap's codec.
namespace jasminearch::wire {

/// Longest token, in bytes (RFC 7252, section 3).
inline constexpr std::size_t MaxTokenBytes = 8;

/// Message types, with their values on the wire.
enum class CoapType : std::uint8_t {
  Confirmable = 0,
  NonConfirmable = 1,
  Acknowledgement = 2,
  Reset = 3,
};

/// Codes that the agent reads or writes, with their values on the wire.
namespace code {
inline constexpr std::uint8_t Empty = 0x00;
inline constexpr std::uint8_t Get = 0x01;
inline constexpr std::uint8_t Post = 0x02;
inline constexpr std::uint8_t Put = 0x03;
inline constexpr std::uint8_t Delete = 0x04;
inline constexpr std::uint8_t Fetch = 0x05;
inline constexpr std::uint8_t Patch = 0x06;
inline constexpr std::uint8_t IPatch = 0x07;
inline constexpr std::uint8_t Created = 0x41;
inline constexpr std::uint8_t Changed = 0x44;
inline constexpr std::uint8_t Content = 0x45;
inline constexpr std::uint8_t Continue = 0x5F;
inline constexpr std::uint8_t BadRequest = 0x80;
inline constexpr std::uint8_t Unauthorized = 0x81;
inline constexpr std::uint8_t NotFound = 0x84;
inline constexpr std::uint8_t EntityIncomplete = 0x88;
inline constexpr std::uint8_t ServiceUnavailable = 0xA3;
inline constexpr std::uint8_t GatewayTimeout = 0xA4;
} // namespace code

/// Option numbers that the agent reads or writes.
namespace option {
inline constexpr std::uint16_t Observe = 6;
inline constexpr std::uint16_t LocationPath = 8;
inline constexpr std::uint16_t UriPath = 11;
inline constexpr std::uint16_t ContentFormat = 12;
inline constexpr std::uint16_t MaxAge = 14;
inline constexpr std::uint16_t UriQuery = 15;
inline constexpr std::uint16_t Accept = 17;
inline constexpr std::uint16_t Block2 = 23;
inline constexpr std::uint16_t Block1 = 27;
inline constexpr std::uint16_t Size2 = 28;
inline constexpr std::uint16_t Size1 = 60;
inline constexpr std::uint16_t Echo = 252;
inline constexpr std::uint16_t RequestTag = 292;
} // namespace option

/// Token of a request and its responses.
struct Token {
  std::uint8_t Size = 0;
  std::array<std::uint8_t, MaxTokenBytes> Octets{};

  auto operator<=>(const Token &) const = default;

  template <typename H> friend H AbslHashValue(H Hash, const Token &T) {
    return H::combine(std::move(Hash), T.Size, T.Octets);
  }
};

/// Value of a Block1 or Block2 option (RFC 7959).
struct BlockValue {
  std::uint32_t Number = 0;
  bool More = false;
  /// The block size is 2 to the power of this plus 4.
  std::uint8_t SizeExponent = 0;

  /// \returns the position of the block's first byte in the body.
  std::uint64_t offset() const {
    constexpr unsigned SmallestBlockBits = 4;
    return std::uint64_t{Number} << (SizeExponent + SmallestBlockBits);
  }

  auto operator<=>(const BlockValue &) const = default;
};

/// One option. The value points into the buffer it was read from.
struct OptionView {
  std::uint16_t Number = 0;
  absl::Span<const std::uint8_t> Value;
};

/// Options in ascending order of their numbers.
using OptionList = absl::InlinedVector<OptionView, 12>;

/// A CoAP message. Options and payload point into the buffer it was read from
/// or built over.
struct CoapMessage {
  CoapType Type = CoapType::Confirmable;
  std::uint8_t Code = code::Empty;
  std::uint16_t MessageId = 0;
  Token RequestToken;
  OptionList Options;
  absl::Span<const std::uint8_t> Payload;

  /// Class of the code: 0 for requests and empty messages, 2, 4 or 5 for
  /// responses.
  unsigned codeClass() const { return Code >> 5U; }
  bool isEmpty() const { return Code == code::Empty; }
  bool isRequest() const { return codeClass() == 0 && !isEmpty(); }
  bool isResponse() const { return codeClass() >= 2 && codeClass() <= 5; }
};

/// Reads a message with coap_pdu_parse. \returns CoapMalformed for anything
/// that libcoap refuses. Complexity: linear in the datagram; two allocations,
/// which libcoap makes and frees.
Expected<CoapMessage> parseCoap(absl::Span<const std::uint8_t> Datagram);

/// Writes a message with libcoap's option codec (coap_opt_encode). libcoap's
/// coap_add_option isn't used, because it adds a Hop-Limit to requests with a
/// Proxy-Uri or Proxy-Scheme, and a rebuilt message must not change elsewhere.
/// Options must be in ascending order. \returns CoapMalformed when they aren't,
/// or when a part is too long.
Expected<Bytes> buildCoap(const CoapMessage &Message);

/// \returns the first option with this number.
std::optional<absl::Span<const std::uint8_t>> findOption(const CoapMessage &In,
                                                         std::uint16_t Number);

/// \returns the value of the first option with this number as an unsigned
/// integer, or nothing when it is missing or longer than 4 bytes.
std::optional<std::uint32_t> uintOption(const CoapMessage &In,
                                        std::uint16_t Number);

/// \returns the value of Block1 or Block2, or nothing when it is missing or
/// its size exponent is the reserved 7.
std::optional<BlockValue> blockOption(const CoapMessage &In,
                                      std::uint16_t Number);

/// Bytes that hold the minimal encoding of an unsigned integer option.
struct UintValue {
  std::array<std::uint8_t, 4> Octets{};
  std::size_t Size = 0;

  absl::Span<const std::uint8_t> span() const { return {Octets.data(), Size}; }
};
UintValue encodeUint(std::uint32_t Value);

/// \returns the value bytes of a block option.
UintValue encodeBlock(BlockValue Value);

/// Inserts an option behind those with the same or a lower number.
void addOption(CoapMessage &To, std::uint16_t Number,
               absl::Span<const std::uint8_t> Value);

/// Removes all options with this number.
void removeOptions(CoapMessage &From, std::uint16_t Number);

/// First Uri-Path segment, or an empty one.
std::string_view firstPathSegment(const CoapMessage &In);

/// Inserts \p Segment before the first Location-Path segment. It must outlive
/// \p To.
void prependLocationSegment(CoapMessage &To, std::string_view Segment);

/// Removes the first Uri-Path segment.
void removeFirstPathSegment(CoapMessage &From);

/// A response to \p Request: an Acknowledgement to a Confirmable one,
/// Non-confirmable with \p OwnMessageId otherwise.
CoapMessage makeResponse(const CoapMessage &Request, std::uint8_t Code,
                         std::uint16_t OwnMessageId);

/// An empty Acknowledgement or Reset for \p MessageId.
Bytes buildEmptyMessage(CoapType Type, std::uint16_t MessageId);

/// Short answers of the agent. Each is an makeResponse() with the option or
/// payload that its name tells.
Bytes buildPermitRequired(const CoapMessage &Request,
                          absl::Span<const std::uint8_t> Echo,
                          std::uint16_t OwnMessageId);
Bytes buildServiceUnavailable(const CoapMessage &Request,
                              std::chrono::seconds MaxAge,
                              std::string_view Payload,
                              std::uint16_t OwnMessageId);
Bytes buildGatewayTimeout(const CoapMessage &Request, std::string_view Payload,
                          std::uint16_t OwnMessageId);
Bytes buildNotFound(const CoapMessage &Request, std::uint16_t OwnMessageId);
Bytes buildEntityIncomplete(const CoapMessage &Request,
                            std::uint16_t OwnMessageId);

/// Identifies a block-wise operation: hash of code, path, query and
/// Request-Tag, which all its messages share.
std::uint64_t operationKey(const CoapMessage &Request);

/// Hash of everything in a request but message id, token and Echo: equal for
/// every copy of one request, also for copies sent under a new message id.
std::uint64_t contentHash(const CoapMessage &Request);

/// Hash of a whole datagram from \p Caller: equal for its network duplicates.
std::uint64_t datagramHash(Endpoint Caller,
                           absl::Span<const std::uint8_t> Datagram);

} // namespace jasminearch::wire

#endif // JASMINEARCH_WIRE_COAP_MESSAGE_H
