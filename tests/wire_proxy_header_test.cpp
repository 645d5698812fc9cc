#include "jasminearch/wire/proxy_header.h"
#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

using namespace jasminearch;
using namespace jasminearch::wire;

namespace {

/// Offset of the low byte of the length field.
constexpr std::size_t LengthLowByte = 15;

ProxyHeader sampleHeader() {
  return {{0x0A010203, 40'001}, {0xC0A80A0B, 5683}};
}

Bytes encoded(const Bytes &Payload) {
  std::uint8_t Header[ProxyHeaderBytes];
  encodeProxyHeader(sampleHeader(), Header);
  Bytes Datagram(ProxyHeaderBytes + Payload.size());
  const auto PayloadStart =
      std::copy_n(Header, ProxyHeaderBytes, Datagram.begin());
  std::copy(Payload.begin(), Payload.end(), PayloadStart);
  return Datagram;
}

ErrorCode decodeFailure(const Bytes &Datagram) {
  const auto View = decodeProxyHeader(Datagram);
  return View ? ErrorCode{} : View.error().Code;
}

class ProxyHeaderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ProxyHeaderTest);
  CPPUNIT_TEST(followsThePublishedLayout);
  CPPUNIT_TEST(roundTripsHeaderAndPayload);
  CPPUNIT_TEST(skipsExtensions);
  CPPUNIT_TEST(refusesEveryTruncation);
  CPPUNIT_TEST(refusesOtherProtocols);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against a layout that other implementations of PROXY protocol
  /// version 2 can't read.
  void followsThePublishedLayout() {
    const Bytes ExpectedBytes{0x0D, 0x0A, 0x0D, 0x0A, 0x00, 0x0D, 0x0A,
                              0x51, 0x55, 0x49, 0x54, 0x0A, 0x21, 0x12,
                              0x00, 0x0C, 0x0A, 0x01, 0x02, 0x03, 0xC0,
                              0xA8, 0x0A, 0x0B, 0x9C, 0x41, 0x16, 0x33};
    CPPUNIT_ASSERT(ExpectedBytes == encoded({}));
  }

  /// Guards against swapped addresses and a truncated payload.
  void roundTripsHeaderAndPayload() {
    const Bytes Payload{9, 8, 7};
    const Bytes Datagram = encoded(Payload);
    const auto View = decodeProxyHeader(Datagram);
    CPPUNIT_ASSERT(View.has_value());
    CPPUNIT_ASSERT(sampleHeader() == View->Header);
    CPPUNIT_ASSERT(Payload ==
                   Bytes(View->Payload.begin(), View->Payload.end()));
  }

  /// Guards against treating type-length-value extensions as payload.
  void skipsExtensions() {
    Bytes Datagram = encoded({0x04, 0x00, 0x01, 0x00, 0x55});
    Datagram[LengthLowByte] += 4;
    const auto View = decodeProxyHeader(Datagram);
    CPPUNIT_ASSERT(View.has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, View->Payload.size());
    CPPUNIT_ASSERT_EQUAL(0x55, static_cast<int>(View->Payload[0]));
  }

  /// Guards against reads past the end of a short datagram.
  void refusesEveryTruncation() {
    Bytes Datagram = encoded({0x04, 0x00, 0x01, 0x00});
    Datagram[LengthLowByte] += 4;
    for (std::size_t Size = 0; Size < Datagram.size(); ++Size) {
      const Bytes Short(Datagram.begin(),
                        Datagram.begin() + static_cast<std::ptrdiff_t>(Size));
      CPPUNIT_ASSERT(decodeFailure(Short) == ErrorCode::ProxyHeaderTruncated);
    }
    CPPUNIT_ASSERT(decodeFailure(Datagram) == ErrorCode{});
  }

  /// Guards against accepting a datagram without a header, another version, the
  /// LOCAL command, TCP, IPv6 or a length too short for the addresses.
  void refusesOtherProtocols() {
    const auto DecodeWithByte = [](std::size_t Offset, std::uint8_t Byte) {
      Bytes Datagram = encoded({1, 2, 3});
      Datagram[Offset] = Byte;
      return decodeFailure(Datagram);
    };
    constexpr auto Malformed = ErrorCode::ProxyHeaderMalformed;
    for (std::size_t Offset = 0; Offset < 12; ++Offset)
      CPPUNIT_ASSERT(DecodeWithByte(Offset, 0xEE) == Malformed);
    CPPUNIT_ASSERT(DecodeWithByte(12, 0x11) == Malformed);
    CPPUNIT_ASSERT(DecodeWithByte(12, 0x20) == Malformed);
    CPPUNIT_ASSERT(DecodeWithByte(13, 0x11) == Malformed);
    CPPUNIT_ASSERT(DecodeWithByte(13, 0x22) == Malformed);
    CPPUNIT_ASSERT(DecodeWithByte(LengthLowByte, 0x0B) == Malformed);
    CPPUNIT_ASSERT(DecodeWithByte(LengthLowByte, 0x10) ==
                   ErrorCode::ProxyHeaderTruncated);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProxyHeaderTest);

} // namespace
