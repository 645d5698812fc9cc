#include "jasminearch/wire/frame.h"
#include <algorithm>
#include <cbor.h>
#include <cstring>
#include <limits>
#include <string>

namespace jasminearch::wire {

namespace {

/// Number of elements of the outermost array.
constexpr std::size_t FrameElements = 13;

/// Size of an encoded endpoint: address and port in network byte order.
constexpr std::size_t EndpointBytes = 6;

/// Highest value of FrameKind.
constexpr auto MaxFrameKind = static_cast<std::uint8_t>(FrameKind::Load);

/// Appends CBOR items to a fixed buffer. The first item that doesn't fit clears
/// Complete; later items are discarded.
struct Writer {
  absl::Span<std::uint8_t> Out;
  std::size_t Used = 0;
  bool Complete = true;

  unsigned char *next() { return Out.data() + Used; }
  std::size_t remainingBytes() const {
    return Complete ? Out.size() - Used : 0;
  }

  void advance(std::size_t Count) {
    Complete = Complete && Count > 0;
    Used += Complete ? Count : 0;
  }
};

void writeNumber(Writer &W, std::uint64_t Value) {
  W.advance(cbor_encode_uint(Value, W.next(), W.remainingBytes()));
}

void writeBytes(Writer &W, absl::Span<const std::uint8_t> Value) {
  W.advance(
      cbor_encode_bytestring_start(Value.size(), W.next(), W.remainingBytes()));
  W.Complete = W.Complete && Value.size() <= W.remainingBytes();
  if (!W.Complete || Value.empty())
    return;
  std::memcpy(W.next(), Value.data(), Value.size());
  W.Used += Value.size();
}

void writeEndpoint(Writer &W, const Endpoint &E) {
  const std::uint8_t Encoded[EndpointBytes] = {
      static_cast<std::uint8_t>(E.Address >> 24U),
      static_cast<std::uint8_t>(E.Address >> 16U),
      static_cast<std::uint8_t>(E.Address >> 8U),
      static_cast<std::uint8_t>(E.Address),
      static_cast<std::uint8_t>(E.Port >> 8U),
      static_cast<std::uint8_t>(E.Port)};
  writeBytes(W, Encoded);
}

/// The CBOR item types used in frames.
enum class CborItemType : std::uint8_t { Unused, Number, ByteString, Array };

/// One decoded CBOR item.
struct CborItem {
  CborItemType Type = CborItemType::Unused;
  /// Value of an integer, or number of elements of an array.
  std::uint64_t Number = 0;
  absl::Span<const std::uint8_t> Content;
};

void setItem(void *Context, CborItemType Type, std::uint64_t Number) {
  auto &Target = *static_cast<CborItem *>(Context);
  Target.Type = Type;
  Target.Number = Number;
}

cbor_callbacks makeCallbacks() {
  cbor_callbacks Table = cbor_empty_callbacks;
  Table.uint8 = [](void *Context, std::uint8_t Value) {
    setItem(Context, CborItemType::Number, Value);
  };
  Table.uint16 = [](void *Context, std::uint16_t Value) {
    setItem(Context, CborItemType::Number, Value);
  };
  Table.uint32 = [](void *Context, std::uint32_t Value) {
    setItem(Context, CborItemType::Number, Value);
  };
  Table.uint64 = [](void *Context, std::uint64_t Value) {
    setItem(Context, CborItemType::Number, Value);
  };
  Table.array_start = [](void *Context, std::size_t Count) {
    setItem(Context, CborItemType::Array, Count);
  };
  Table.byte_string = [](void *Context, cbor_data Data, std::size_t Size) {
    setItem(Context, CborItemType::ByteString, 0);
    static_cast<CborItem *>(Context)->Content = {Data, Size};
  };
  return Table;
}

/// Reads consecutive items. Failure and Element describe the first failure;
/// values read after it are meaningless.
struct Reader {
  absl::Span<const std::uint8_t> Remaining;
  ErrorCode Failure{};
  const char *Element = "";

  bool failed() const { return Failure != ErrorCode{}; }

  void recordFailure(ErrorCode Code, const char *Name) {
    if (failed())
      return;
    Failure = Code;
    Element = Name;
  }
};

CborItem readItem(Reader &R, CborItemType ExpectedType, const char *Name) {
  static const cbor_callbacks Callbacks = makeCallbacks();
  CborItem Result;
  if (R.failed())
    return Result;
  if (R.Remaining.empty()) {
    R.recordFailure(ErrorCode::FrameTruncated, Name);
    return Result;
  }
  const cbor_decoder_result Decoded = cbor_stream_decode(
      R.Remaining.data(), R.Remaining.size(), &Callbacks, &Result);
  if (Decoded.status == CBOR_DECODER_NEDATA)
    R.recordFailure(ErrorCode::FrameTruncated, Name);
  else if (Decoded.status != CBOR_DECODER_FINISHED ||
           Result.Type != ExpectedType)
    R.recordFailure(ErrorCode::FrameMalformed, Name);
  else
    R.Remaining.remove_prefix(Decoded.read);
  return Result;
}

template <typename Value> Value readNumber(Reader &R, const char *Name) {
  const CborItem Decoded = readItem(R, CborItemType::Number, Name);
  if (Decoded.Number > std::numeric_limits<Value>::max())
    R.recordFailure(ErrorCode::FrameMalformed, Name);
  return static_cast<Value>(Decoded.Number);
}

Endpoint readEndpoint(Reader &R, const char *Name) {
  const CborItem Decoded = readItem(R, CborItemType::ByteString, Name);
  if (Decoded.Content.size() != EndpointBytes) {
    R.recordFailure(ErrorCode::FrameMalformed, Name);
    return {};
  }
  const auto *Byte = Decoded.Content.data();
  return {std::uint32_t{Byte[0]} << 24U | std::uint32_t{Byte[1]} << 16U |
              std::uint32_t{Byte[2]} << 8U | std::uint32_t{Byte[3]},
          static_cast<std::uint16_t>(Byte[4] << 8U | Byte[5])};
}

FrameKind readKind(Reader &R) {
  const auto Number = readNumber<std::uint8_t>(R, "kind");
  if (Number > MaxFrameKind)
    R.recordFailure(ErrorCode::FrameMalformed, "kind");
  return static_cast<FrameKind>(Number);
}

void readCandidates(Reader &R, FrameHeader &Header) {
  const CborItem ArrayStart = readItem(R, CborItemType::Array, "candidates");
  if (ArrayStart.Number > MaxCandidates)
    R.recordFailure(ErrorCode::FrameMalformed, "candidates");
  if (R.failed())
    return;
  Header.CandidateCount = static_cast<std::uint8_t>(ArrayStart.Number);
  for (std::size_t I = 0; I < Header.CandidateCount; ++I)
    Header.Candidates[I].Number = readNumber<std::uint32_t>(R, "candidate");
}

/// Reads the array header and the version. The version is checked before the
/// number of elements, which may differ in other versions.
void readPreamble(Reader &R) {
  const CborItem ArrayStart = readItem(R, CborItemType::Array, "frame");
  if (ArrayStart.Number == 0)
    R.recordFailure(ErrorCode::FrameMalformed, "frame");
  const auto Version = readItem(R, CborItemType::Number, "version").Number;
  if (!R.failed() && Version != FrameVersion)
    R.recordFailure(ErrorCode::FrameUnknownVersion, "version");
  if (ArrayStart.Number != FrameElements)
    R.recordFailure(ErrorCode::FrameMalformed, "frame");
}

} // namespace

Expected<std::size_t> encodeFrame(const FrameHeader &Header,
                                  absl::Span<const std::uint8_t> Payload,
                                  absl::Span<std::uint8_t> Out) {
  if (Header.CandidateCount > MaxCandidates)
    return fail(ErrorCode::FrameTooLarge,
                std::to_string(Header.CandidateCount) +
                    " candidates exceed the maximum of " +
                    std::to_string(MaxCandidates));
  Writer W{Out.subspan(0, std::min(Out.size(), MaxDatagramBytes))};
  W.advance(
      cbor_encode_array_start(FrameElements, W.next(), W.remainingBytes()));
  writeNumber(W, FrameVersion);
  writeNumber(W, static_cast<std::uint8_t>(Header.Kind));
  writeNumber(W, Header.Service.Number);
  writeNumber(W, Header.InForce.Number);
  writeNumber(W, Header.Upstream.Number);
  writeNumber(W, Header.Instance.Number);
  writeNumber(W, Header.Hops);
  writeEndpoint(W, Header.Caller);
  writeEndpoint(W, Header.ServiceAddress);
  writeEndpoint(W, Header.Return);
  writeNumber(W, Header.Trace.Number);
  W.advance(cbor_encode_array_start(Header.CandidateCount, W.next(),
                                    W.remainingBytes()));
  for (std::size_t I = 0; I < Header.CandidateCount; ++I)
    writeNumber(W, Header.Candidates[I].Number);
  writeBytes(W, Payload);
  if (!W.Complete)
    return fail(ErrorCode::FrameTooLarge,
                "payload of " + std::to_string(Payload.size()) +
                    " bytes doesn't fit; buffer size in bytes: " +
                    std::to_string(W.Out.size()));
  return W.Used;
}

Expected<FrameView> decodeFrame(absl::Span<const std::uint8_t> Datagram) {
  Reader R{Datagram};
  FrameView View;
  FrameHeader &Header = View.Header;
  readPreamble(R);
  Header.Kind = readKind(R);
  Header.Service.Number = readNumber<std::uint32_t>(R, "service");
  Header.InForce.Number = readNumber<std::uint64_t>(R, "revision");
  Header.Upstream.Number = readNumber<std::uint32_t>(R, "upstream");
  Header.Instance.Number = readNumber<std::uint64_t>(R, "incarnation");
  Header.Hops = readNumber<std::uint8_t>(R, "hops");
  Header.Caller = readEndpoint(R, "caller");
  Header.ServiceAddress = readEndpoint(R, "service endpoint");
  Header.Return = readEndpoint(R, "return endpoint");
  Header.Trace.Number = readNumber<std::uint64_t>(R, "trace id");
  readCandidates(R, Header);
  View.Payload = readItem(R, CborItemType::ByteString, "payload").Content;
  if (!R.Remaining.empty())
    R.recordFailure(ErrorCode::FrameMalformed,
                    "trailing bytes after the frame");
  if (R.failed())
    return fail(R.Failure, R.Element);
  return View;
}

} // namespace jasminearch::wire
