#include "jasminearch/wire/frame.h"
#include <cppunit/extensions/HelperMacros.h>
#include <limits>
#include <random>

using namespace jasminearch;
using namespace jasminearch::wire;

namespace {

constexpr std::size_t CandidateLimit = MaxCandidates;

FrameHeader sampleHeader() {
  FrameHeader Header;
  Header.Kind = FrameKind::Relay;
  Header.Service = {70'000};
  Header.InForce = {5'000'000'000};
  Header.Upstream = {3};
  Header.Instance = {300};
  Header.Hops = 2;
  Header.Caller = {0x7F000A01, 40'000};
  Header.ServiceAddress = {0x7F001401, 5683};
  Header.Return = {0x7F001E01, 7000};
  Header.Trace = {0x1234567890ABCDEF};
  Header.CandidateCount = 2;
  Header.Candidates[0] = {11};
  Header.Candidates[1] = {70'001};
  return Header;
}

Bytes encoded(const FrameHeader &Header, const Bytes &Payload) {
  Bytes Out(MaxDatagramBytes);
  const auto Size = encodeFrame(Header, Payload, absl::MakeSpan(Out));
  CPPUNIT_ASSERT(Size.has_value());
  Out.resize(*Size);
  return Out;
}

ErrorCode decodeFailure(const Bytes &Datagram) {
  const auto View = decodeFrame(Datagram);
  return View ? ErrorCode{} : View.error().Code;
}

class FrameTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FrameTest);
  CPPUNIT_TEST(roundTripsHeaderAndPayload);
  CPPUNIT_TEST(roundTripsLimitsAndRandomHeaders);
  CPPUNIT_TEST(keepsEncodedLayout);
  CPPUNIT_TEST(refusesEveryTruncation);
  CPPUNIT_TEST(refusesTrailingBytes);
  CPPUNIT_TEST(refusesUnknownVersions);
  CPPUNIT_TEST(refusesMalformedItems);
  CPPUNIT_TEST(refusesOversizedFrames);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against fields that are lost or changed by encoding and decoding.
  void roundTripsHeaderAndPayload() {
    const Bytes Payload{0x40, 0x01, 0x00, 0x07};
    const Bytes Datagram = encoded(sampleHeader(), Payload);
    const auto View = decodeFrame(Datagram);
    CPPUNIT_ASSERT(View.has_value());
    CPPUNIT_ASSERT(sampleHeader() == View->Header);
    CPPUNIT_ASSERT(Payload ==
                   Bytes(View->Payload.begin(), View->Payload.end()));
  }

  /// Guards against errors at the width limits of CBOR integers.
  void roundTripsLimitsAndRandomHeaders() {
    std::mt19937_64 Random(7);
    for (int Round = 0; Round < 2'000; ++Round) {
      const auto Random64 = [&] { return Random() >> (Random() % 64); };
      const auto Random32 = [&] {
        return static_cast<std::uint32_t>(Random64());
      };
      const auto RandomEndpoint = [&] {
        return Endpoint{Random32(), static_cast<std::uint16_t>(Random64())};
      };
      FrameHeader Header;
      Header.Kind = static_cast<FrameKind>(Random() % 6);
      Header.Service = {Random32()};
      Header.InForce = {Random64()};
      Header.Upstream = {Random32()};
      Header.Instance = {Round == 0 ? std::numeric_limits<std::uint64_t>::max()
                                    : Random64()};
      Header.Hops = static_cast<std::uint8_t>(Random64());
      Header.Caller = RandomEndpoint();
      Header.ServiceAddress = RandomEndpoint();
      Header.Return = RandomEndpoint();
      Header.Trace = {Random64()};
      Header.CandidateCount =
          static_cast<std::uint8_t>(Random() % (CandidateLimit + 1));
      for (std::size_t I = 0; I < Header.CandidateCount; ++I)
        Header.Candidates[I] = {Random32()};
      const Bytes Payload(Random() % 1'500, 0xA5);
      const Bytes Datagram = encoded(Header, Payload);
      const auto View = decodeFrame(Datagram);
      CPPUNIT_ASSERT(View.has_value());
      CPPUNIT_ASSERT(Header == View->Header);
      CPPUNIT_ASSERT_EQUAL(Payload.size(), View->Payload.size());
    }
  }

  /// Guards against a changed layout without a new version number.
  void keepsEncodedLayout() {
    const Bytes ExpectedBytes{
        0x8D, 0x01, 0x01, 0x1A, 0x00, 0x01, 0x11, 0x70, 0x1B, 0x00, 0x00,
        0x00, 0x01, 0x2A, 0x05, 0xF2, 0x00, 0x03, 0x19, 0x01, 0x2C, 0x02,
        0x46, 0x7F, 0x00, 0x0A, 0x01, 0x9C, 0x40, 0x46, 0x7F, 0x00, 0x14,
        0x01, 0x16, 0x33, 0x46, 0x7F, 0x00, 0x1E, 0x01, 0x1B, 0x58, 0x1B,
        0x12, 0x34, 0x56, 0x78, 0x90, 0xAB, 0xCD, 0xEF, 0x82, 0x0B, 0x1A,
        0x00, 0x01, 0x11, 0x71, 0x41, 0x40};
    CPPUNIT_ASSERT(ExpectedBytes == encoded(sampleHeader(), {0x40}));
  }

  /// Guards against reads past the end of a short datagram.
  void refusesEveryTruncation() {
    const Bytes Datagram = encoded(sampleHeader(), {1, 2, 3, 4, 5});
    for (std::size_t Size = 0; Size < Datagram.size(); ++Size) {
      // A separate allocation lets the address sanitizer detect such reads.
      const Bytes Short(Datagram.begin(),
                        Datagram.begin() + static_cast<std::ptrdiff_t>(Size));
      CPPUNIT_ASSERT(decodeFailure(Short) == ErrorCode::FrameTruncated);
    }
  }

  /// Guards against accepting two frames in one datagram as one.
  void refusesTrailingBytes() {
    Bytes Datagram = encoded(sampleHeader(), {1, 2, 3});
    Datagram.push_back(0);
    CPPUNIT_ASSERT(decodeFailure(Datagram) == ErrorCode::FrameMalformed);
  }

  /// Guards against decoding a newer layout as this one, including one with a
  /// different number of elements.
  void refusesUnknownVersions() {
    Bytes Datagram = encoded(sampleHeader(), {1});
    Datagram[1] = FrameVersion + 1;
    CPPUNIT_ASSERT(decodeFailure(Datagram) == ErrorCode::FrameUnknownVersion);
    Datagram[0] = 0x8E;
    CPPUNIT_ASSERT(decodeFailure(Datagram) == ErrorCode::FrameUnknownVersion);
  }

  /// Guards against items of the wrong type or out of range.
  void refusesMalformedItems() {
    const Bytes Good = encoded(sampleHeader(), {1});
    const auto DecodeWithByte = [&](std::size_t Offset, std::uint8_t Byte) {
      Bytes Datagram = Good;
      Datagram[Offset] = Byte;
      return decodeFailure(Datagram);
    };
    constexpr auto Malformed = ErrorCode::FrameMalformed;
    CPPUNIT_ASSERT(DecodeWithByte(0, 0x8C) == Malformed); // twelve elements
    CPPUNIT_ASSERT(DecodeWithByte(0, 0x80) == Malformed); // no elements
    CPPUNIT_ASSERT(DecodeWithByte(0, 0x9F) == Malformed); // indefinite array
    CPPUNIT_ASSERT(DecodeWithByte(0, 0xAD) == Malformed); // map
    CPPUNIT_ASSERT(DecodeWithByte(1, 0x20) == Malformed); // negative version
    CPPUNIT_ASSERT(DecodeWithByte(2, 0x06) == Malformed); // unknown kind
    CPPUNIT_ASSERT(DecodeWithByte(3, 0x1B) ==
                   Malformed); // service over 32 bits
    CPPUNIT_ASSERT(DecodeWithByte(22, 0x45) == Malformed); // short endpoint
    CPPUNIT_ASSERT(DecodeWithByte(22, 0x66) == Malformed); // endpoint as text
    CPPUNIT_ASSERT(DecodeWithByte(52, 0x89) == Malformed); // nine candidates
    CPPUNIT_ASSERT(DecodeWithByte(59, 0x5F) == Malformed); // payload in chunks
  }

  /// Guards against writes past the end of the buffer and against frames that
  /// exceed a datagram.
  void refusesOversizedFrames() {
    const Bytes Payload(100, 1);
    const std::size_t RequiredBytes = encoded(sampleHeader(), Payload).size();
    for (std::size_t BufferBytes = 0; BufferBytes <= RequiredBytes;
         ++BufferBytes) {
      Bytes Out(BufferBytes);
      const auto Size =
          encodeFrame(sampleHeader(), Payload, absl::MakeSpan(Out));
      CPPUNIT_ASSERT_EQUAL(BufferBytes == RequiredBytes, Size.has_value());
      CPPUNIT_ASSERT(Size || Size.error().Code == ErrorCode::FrameTooLarge);
    }
    Bytes LargeBuffer(MaxDatagramBytes + 1'000);
    const Bytes Oversize(MaxDatagramBytes, 1);
    const auto Size =
        encodeFrame(sampleHeader(), Oversize, absl::MakeSpan(LargeBuffer));
    CPPUNIT_ASSERT(!Size && Size.error().Code == ErrorCode::FrameTooLarge);
    FrameHeader Header = sampleHeader();
    Header.CandidateCount = CandidateLimit + 1;
    const auto Many = encodeFrame(Header, Payload, absl::MakeSpan(LargeBuffer));
    CPPUNIT_ASSERT(!Many && Many.error().Code == ErrorCode::FrameTooLarge);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FrameTest);

} // namespace
