#include "jasminearch/wire/coap_message.h"
#include <cppunit/extensions/HelperMacros.h>

using namespace jasminearch;
using namespace jasminearch::wire;

namespace {

absl::Span<const std::uint8_t> bytesOf(std::string_view Text) {
  return {reinterpret_cast<const std::uint8_t *>(Text.data()), Text.size()};
}

CoapMessage post() {
  CoapMessage Out;
  Out.Code = code::Post;
  Out.MessageId = 0x1234;
  Out.RequestToken = {3, {7, 8, 9}};
  addOption(Out, option::UriPath, bytesOf("~7.31"));
  addOption(Out, option::UriPath, bytesOf("orders"));
  addOption(Out, option::Echo,
            bytesOf("0123456789012345678901234567890123456789"));
  Out.Payload = bytesOf("stitch");
  return Out;
}

class CoapMessageTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CoapMessageTest);
  CPPUNIT_TEST(roundTripsMessages);
  CPPUNIT_TEST(addsNoOptions);
  CPPUNIT_TEST(stripsAndPrependsSegments);
  CPPUNIT_TEST(refusesMalformedDatagrams);
  CPPUNIT_TEST(answersMatchTheRequest);
  CPPUNIT_TEST(hashesIgnoreMessageIdTokenAndEcho);
  CPPUNIT_TEST(decodesBlockOptions);
  CPPUNIT_TEST_SUITE_END();

  /// Options must not be lost or reordered when a parsed message is built
  /// again.
  void roundTripsMessages() {
    const Bytes Encoded = buildCoap(post()).value();
    const CoapMessage Parsed = parseCoap(Encoded).value();
    CPPUNIT_ASSERT(Parsed.Type == CoapType::Confirmable);
    CPPUNIT_ASSERT_EQUAL(code::Post, Parsed.Code);
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{0x1234}, Parsed.MessageId);
    CPPUNIT_ASSERT(post().RequestToken == Parsed.RequestToken);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, Parsed.Options.size());
    CPPUNIT_ASSERT(bytesOf("orders") == Parsed.Options[1].Value);
    CPPUNIT_ASSERT(bytesOf("stitch") == Parsed.Payload);
    CPPUNIT_ASSERT(Encoded == buildCoap(Parsed).value());
  }

  /// libcoap adds options of its own to some messages. The fuzzer found this
  /// with Proxy-Scheme (39), where the message lost its last two bytes.
  void addsNoOptions() {
    CoapMessage Message = post();
    removeOptions(Message, option::Echo);
    addOption(Message, 39, bytesOf("coap"));
    const Bytes Encoded = buildCoap(Message).value();
    const CoapMessage Parsed = parseCoap(Encoded).value();
    CPPUNIT_ASSERT_EQUAL(Message.Options.size(), Parsed.Options.size());
    CPPUNIT_ASSERT(bytesOf("stitch") == Parsed.Payload);
  }

  /// The owner segment must never reach the upstream, and the caller must get
  /// it in front of a Location-Path.
  void stripsAndPrependsSegments() {
    CoapMessage Message = post();
    CPPUNIT_ASSERT(firstPathSegment(Message) == "~7.31");
    removeFirstPathSegment(Message);
    CPPUNIT_ASSERT(firstPathSegment(Message) == "orders");
    CoapMessage Created = makeResponse(Message, code::Created, 0);
    addOption(Created, option::LocationPath, bytesOf("lines"));
    addOption(Created, option::Observe, {});
    prependLocationSegment(Created, "~7.31");
    const Bytes Encoded = buildCoap(Created).value();
    const CoapMessage Parsed = parseCoap(Encoded).value();
    CPPUNIT_ASSERT(bytesOf("~7.31") ==
                   *findOption(Parsed, option::LocationPath));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, Parsed.Options.size());
    CPPUNIT_ASSERT(bytesOf("lines") == Parsed.Options[2].Value);
    CPPUNIT_ASSERT_EQUAL(0U, *uintOption(Parsed, option::Observe));
  }

  /// Malformed datagrams must be rejected without a crash.
  void refusesMalformedDatagrams() {
    const Bytes Encoded = buildCoap(post()).value();
    const Bytes NoVersion = {0x00, 0x01, 0, 1};
    const Bytes LongToken = {0x4F, 0x01, 0, 1, 1, 2, 3, 4, 5, 6, 7, 8, 9};
    const Bytes MarkerOnly = {0x40, 0x01, 0, 1, 0xFF};
    for (const Bytes &Malformed :
         {Bytes(), Bytes{0x40}, NoVersion, LongToken, MarkerOnly,
          Bytes(Encoded.begin(), Encoded.begin() + 9)})
      CPPUNIT_ASSERT(parseCoap(Malformed).error().Code ==
                     ErrorCode::CoapMalformed);
  }

  /// A caller must be able to match an answer to its request.
  void answersMatchTheRequest() {
    const CoapMessage Request = post();
    const Bytes Encoded =
        buildServiceUnavailable(Request, std::chrono::seconds(2), "x", 9);
    const CoapMessage Parsed = parseCoap(Encoded).value();
    CPPUNIT_ASSERT(Parsed.Type == CoapType::Acknowledgement);
    CPPUNIT_ASSERT_EQUAL(Request.MessageId, Parsed.MessageId);
    CPPUNIT_ASSERT(Request.RequestToken == Parsed.RequestToken);
    CPPUNIT_ASSERT_EQUAL(2U, *uintOption(Parsed, option::MaxAge));
    CoapMessage NonConfirmable = Request;
    NonConfirmable.Type = CoapType::NonConfirmable;
    const Bytes Second = buildNotFound(NonConfirmable, 9);
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{9}, parseCoap(Second)->MessageId);
    const Bytes Reset = buildEmptyMessage(CoapType::Reset, 77);
    CPPUNIT_ASSERT(Reset == (Bytes{0x70, 0x00, 0x00, 77}));
  }

  /// A copy with a new message id must not count as a new request, and a
  /// different request with a used Echo value must not count as a copy.
  void hashesIgnoreMessageIdTokenAndEcho() {
    CoapMessage Copy = post();
    Copy.MessageId = 1;
    Copy.RequestToken = {1, {1}};
    removeOptions(Copy, option::Echo);
    CPPUNIT_ASSERT_EQUAL(contentHash(post()), contentHash(Copy));
    Copy.Payload = bytesOf("other");
    CPPUNIT_ASSERT(contentHash(post()) != contentHash(Copy));
    CPPUNIT_ASSERT_EQUAL(operationKey(post()), operationKey(Copy));
  }

  /// A block offset depends on the block size.
  void decodesBlockOptions() {
    CoapMessage Message = post();
    const UintValue Value = encodeBlock({3, true, 6});
    addOption(Message, option::Block1, Value.span());
    const Bytes Encoded = buildCoap(Message).value();
    const BlockValue Parsed = *blockOption(*parseCoap(Encoded), option::Block1);
    CPPUNIT_ASSERT(Parsed == (BlockValue{3, true, 6}));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3072}, Parsed.offset());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CoapMessageTest);

} // namespace
