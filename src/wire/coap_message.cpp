#include "jasminearch/wire/coap_message.h"
#include <algorithm>
#include <coap3/coap.h>
#include <memory>

// Hash states live on the stack, which xxHash allows with this macro.
#define XXH_STATIC_LINKING_ONLY
#include <xxhash.h>

namespace jasminearch::wire {

namespace {

constexpr std::size_t HeaderBytes = 4;
constexpr unsigned ProtocolVersion = 1;
constexpr std::uint8_t ReservedSizeExponent = 7;
constexpr std::uint8_t PayloadMarker = 0xFF;
constexpr std::size_t MaxCoapBytes = 65507;

struct PduDeleter {
  void operator()(coap_pdu_t *Pdu) const { coap_delete_pdu(Pdu); }
};
using PduOwner = std::unique_ptr<coap_pdu_t, PduDeleter>;

absl::Span<const std::uint8_t> bytesOf(std::string_view Text) {
  return {reinterpret_cast<const std::uint8_t *>(Text.data()), Text.size()};
}

/// libcoap writes to its own log otherwise, one line for each bad datagram.
void silenceLibraryLog() {
  static const bool Done = [] {
    coap_set_log_level(LOG_EMERG);
    return true;
  }();
  (void)Done;
}

/// Moves what libcoap points at from its copy back to the caller's buffer.
class CopyMapper {
public:
  CopyMapper(const std::uint8_t *Copy, absl::Span<const std::uint8_t> Datagram)
      : Copy(Copy), Datagram(Datagram) {}

  absl::Span<const std::uint8_t> map(const std::uint8_t *At,
                                     std::size_t Size) const {
    return Datagram.subspan(HeaderBytes + static_cast<std::size_t>(At - Copy),
                            Size);
  }

private:
  const std::uint8_t *Copy;
  absl::Span<const std::uint8_t> Datagram;
};

void readOptions(const coap_pdu_t *Pdu, const CopyMapper &Mapper,
                 CoapMessage &Out) {
  coap_opt_iterator_t Iterator;
  if (coap_option_iterator_init(Pdu, &Iterator, COAP_OPT_ALL) == nullptr)
    return;
  while (const coap_opt_t *Option = coap_option_next(&Iterator)) {
    const std::size_t Size = coap_opt_length(Option);
    // libcoap gives no value pointer for an empty option.
    const std::uint8_t *Value = coap_opt_value(Option);
    Out.Options.push_back(
        {Iterator.number, Size == 0 ? absl::Span<const std::uint8_t>()
                                    : Mapper.map(Value, Size)});
  }
}

void hashOption(XXH3_state_t &Hash, const OptionView &Option) {
  const std::uint32_t Head[] = {
      Option.Number, static_cast<std::uint32_t>(Option.Value.size())};
  XXH3_64bits_update(&Hash, Head, sizeof(Head));
  XXH3_64bits_update(&Hash, Option.Value.data(), Option.Value.size());
}

void writeHeader(const CoapMessage &Of, Bytes &Out) {
  Out[0] = static_cast<std::uint8_t>((ProtocolVersion << 6U) |
                                     (static_cast<unsigned>(Of.Type) << 4U) |
                                     Of.RequestToken.Size);
  Out[1] = Of.Code;
  Out[2] = static_cast<std::uint8_t>(Of.MessageId >> 8U);
  Out[3] = static_cast<std::uint8_t>(Of.MessageId & 0xFFU);
}

Bytes buildOrEmpty(const CoapMessage &Message) {
  return buildCoap(Message).value_or(Bytes());
}

} // namespace

Expected<CoapMessage> parseCoap(absl::Span<const std::uint8_t> Datagram) {
  silenceLibraryLog();
  if (Datagram.size() < HeaderBytes || Datagram.size() > MaxCoapBytes)
    return fail(ErrorCode::CoapMalformed, "CoAP datagram of " +
                                              std::to_string(Datagram.size()) +
                                              " bytes; 4 to 65507 are allowed");
  const PduOwner Pdu(
      coap_pdu_init(COAP_MESSAGE_CON, COAP_EMPTY_CODE, 0, Datagram.size()));
  if (Pdu == nullptr || coap_pdu_parse(COAP_PROTO_UDP, Datagram.data(),
                                       Datagram.size(), Pdu.get()) == 0)
    return fail(ErrorCode::CoapMalformed, "libcoap refused the CoAP datagram");
  CoapMessage Out;
  Out.Type = static_cast<CoapType>(coap_pdu_get_type(Pdu.get()));
  Out.Code = static_cast<std::uint8_t>(coap_pdu_get_code(Pdu.get()));
  Out.MessageId = static_cast<std::uint16_t>(coap_pdu_get_mid(Pdu.get()));
  const coap_bin_const_t Tok = coap_pdu_get_token(Pdu.get());
  if (Tok.length > MaxTokenBytes)
    return fail(ErrorCode::CoapMalformed, "token longer than 8 bytes");
  Out.RequestToken.Size = static_cast<std::uint8_t>(Tok.length);
  std::copy_n(Tok.s, Tok.length, Out.RequestToken.Octets.begin());
  const CopyMapper Mapper(Tok.s, Datagram);
  readOptions(Pdu.get(), Mapper, Out);
  std::size_t Size = 0;
  const std::uint8_t *Data = nullptr;
  if (coap_get_data(Pdu.get(), &Size, &Data) != 0 && Size > 0)
    Out.Payload = Mapper.map(Data, Size);
  return Out;
}

Expected<Bytes> buildCoap(const CoapMessage &Message) {
  const std::size_t TokenSize = Message.RequestToken.Size;
  if (TokenSize > MaxTokenBytes)
    return fail(ErrorCode::CoapMalformed, "token longer than 8 bytes");
  std::size_t Size = HeaderBytes + TokenSize;
  std::uint16_t Last = 0;
  for (const OptionView &Option : Message.Options) {
    if (Option.Number < Last)
      return fail(ErrorCode::CoapMalformed, "options are not in order");
    Size += coap_opt_encode_size(Option.Number - Last, Option.Value.size());
    Last = Option.Number;
  }
  Size += Message.Payload.empty() ? 0 : 1 + Message.Payload.size();
  if (Size > MaxCoapBytes)
    return fail(ErrorCode::CoapMalformed,
                "message of " + std::to_string(Size) +
                    " bytes; at most 65507 are allowed");
  Bytes Out(Size);
  writeHeader(Message, Out);
  std::uint8_t *At = std::copy_n(Message.RequestToken.Octets.begin(), TokenSize,
                                 Out.data() + HeaderBytes);
  Last = 0;
  for (const OptionView &Option : Message.Options) {
    const std::size_t Room = Out.data() + Size - At;
    const std::size_t Written =
        coap_opt_encode(At, Room, Option.Number - Last, Option.Value.data(),
                        Option.Value.size());
    if (Written == 0)
      return fail(ErrorCode::CoapMalformed,
                  "libcoap refused option " + std::to_string(Option.Number));
    At += Written;
    Last = Option.Number;
  }
  if (Message.Payload.empty())
    return Out;
  *At++ = PayloadMarker;
  std::copy(Message.Payload.begin(), Message.Payload.end(), At);
  return Out;
}

std::optional<absl::Span<const std::uint8_t>> findOption(const CoapMessage &In,
                                                         std::uint16_t Number) {
  for (const OptionView &Option : In.Options)
    if (Option.Number == Number)
      return Option.Value;
  return std::nullopt;
}

std::optional<std::uint32_t> uintOption(const CoapMessage &In,
                                        std::uint16_t Number) {
  const auto Value = findOption(In, Number);
  if (!Value || Value->size() > sizeof(std::uint32_t))
    return std::nullopt;
  return coap_decode_var_bytes(Value->data(), Value->size());
}

std::optional<BlockValue> blockOption(const CoapMessage &In,
                                      std::uint16_t Number) {
  const auto Raw = uintOption(In, Number);
  if (!Raw)
    return std::nullopt;
  BlockValue Out;
  Out.Number = *Raw >> 4U;
  Out.More = (*Raw & 8U) != 0;
  Out.SizeExponent = static_cast<std::uint8_t>(*Raw & 7U);
  if (Out.SizeExponent == ReservedSizeExponent)
    return std::nullopt;
  return Out;
}

UintValue encodeUint(std::uint32_t Value) {
  UintValue Out;
  Out.Size = coap_encode_var_safe(Out.Octets.data(), Out.Octets.size(), Value);
  return Out;
}

UintValue encodeBlock(BlockValue Value) {
  return encodeUint((Value.Number << 4U) | (Value.More ? 8U : 0U) |
                    Value.SizeExponent);
}

void addOption(CoapMessage &To, std::uint16_t Number,
               absl::Span<const std::uint8_t> Value) {
  const auto At = std::find_if(
      To.Options.begin(), To.Options.end(),
      [&](const OptionView &Option) { return Option.Number > Number; });
  To.Options.insert(At, OptionView{Number, Value});
}

void removeOptions(CoapMessage &From, std::uint16_t Number) {
  From.Options.erase(std::remove_if(From.Options.begin(), From.Options.end(),
                                    [&](const OptionView &Option) {
                                      return Option.Number == Number;
                                    }),
                     From.Options.end());
}

std::string_view firstPathSegment(const CoapMessage &In) {
  const auto Value = findOption(In, option::UriPath);
  if (!Value)
    return {};
  return {reinterpret_cast<const char *>(Value->data()), Value->size()};
}

void prependLocationSegment(CoapMessage &To, std::string_view Segment) {
  const auto At = std::find_if(To.Options.begin(), To.Options.end(),
                               [](const OptionView &Option) {
                                 return Option.Number >= option::LocationPath;
                               });
  To.Options.insert(At, OptionView{option::LocationPath, bytesOf(Segment)});
}

void removeFirstPathSegment(CoapMessage &From) {
  const auto At = std::find_if(From.Options.begin(), From.Options.end(),
                               [](const OptionView &Option) {
                                 return Option.Number == option::UriPath;
                               });
  if (At != From.Options.end())
    From.Options.erase(At);
}

CoapMessage makeResponse(const CoapMessage &Request, std::uint8_t Code,
                         std::uint16_t OwnMessageId) {
  const bool Confirmable = Request.Type == CoapType::Confirmable;
  CoapMessage Out;
  Out.Type = Confirmable ? CoapType::Acknowledgement : CoapType::NonConfirmable;
  Out.Code = Code;
  Out.MessageId = Confirmable ? Request.MessageId : OwnMessageId;
  Out.RequestToken = Request.RequestToken;
  return Out;
}

Bytes buildEmptyMessage(CoapType Type, std::uint16_t MessageId) {
  CoapMessage Message;
  Message.Type = Type;
  Message.MessageId = MessageId;
  return buildOrEmpty(Message);
}

Bytes buildPermitRequired(const CoapMessage &Request,
                          absl::Span<const std::uint8_t> Echo,
                          std::uint16_t OwnMessageId) {
  CoapMessage Out = makeResponse(Request, code::Unauthorized, OwnMessageId);
  addOption(Out, option::Echo, Echo);
  return buildOrEmpty(Out);
}

Bytes buildServiceUnavailable(const CoapMessage &Request,
                              std::chrono::seconds MaxAge,
                              std::string_view Payload,
                              std::uint16_t OwnMessageId) {
  CoapMessage Out =
      makeResponse(Request, code::ServiceUnavailable, OwnMessageId);
  const UintValue Age = encodeUint(static_cast<std::uint32_t>(MaxAge.count()));
  addOption(Out, option::MaxAge, Age.span());
  Out.Payload = bytesOf(Payload);
  return buildOrEmpty(Out);
}

Bytes buildGatewayTimeout(const CoapMessage &Request, std::string_view Payload,
                          std::uint16_t OwnMessageId) {
  CoapMessage Out = makeResponse(Request, code::GatewayTimeout, OwnMessageId);
  Out.Payload = bytesOf(Payload);
  return buildOrEmpty(Out);
}

Bytes buildNotFound(const CoapMessage &Request, std::uint16_t OwnMessageId) {
  return buildOrEmpty(makeResponse(Request, code::NotFound, OwnMessageId));
}

Bytes buildEntityIncomplete(const CoapMessage &Request,
                            std::uint16_t OwnMessageId) {
  return buildOrEmpty(
      makeResponse(Request, code::EntityIncomplete, OwnMessageId));
}

std::uint64_t operationKey(const CoapMessage &Request) {
  XXH3_state_t Hash;
  XXH3_64bits_reset(&Hash);
  XXH3_64bits_update(&Hash, &Request.Code, sizeof(Request.Code));
  for (const OptionView &Option : Request.Options)
    if (Option.Number == option::UriPath || Option.Number == option::UriQuery ||
        Option.Number == option::RequestTag)
      hashOption(Hash, Option);
  return XXH3_64bits_digest(&Hash);
}

std::uint64_t contentHash(const CoapMessage &Request) {
  XXH3_state_t Hash;
  XXH3_64bits_reset(&Hash);
  XXH3_64bits_update(&Hash, &Request.Code, sizeof(Request.Code));
  for (const OptionView &Option : Request.Options)
    if (Option.Number != option::Echo)
      hashOption(Hash, Option);
  XXH3_64bits_update(&Hash, Request.Payload.data(), Request.Payload.size());
  return XXH3_64bits_digest(&Hash);
}

std::uint64_t datagramHash(Endpoint Caller,
                           absl::Span<const std::uint8_t> Datagram) {
  const std::uint64_t Seed =
      (std::uint64_t{Caller.Address} << 16U) | Caller.Port;
  return XXH3_64bits_withSeed(Datagram.data(), Datagram.size(), Seed);
}

} // namespace jasminearch::wire
