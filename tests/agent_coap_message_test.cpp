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
  CPPUNIT_TEST(readsWhatItWrites);
  CPPUNIT_TEST(addsNothingOfItsOwn);
  CPPUNIT_TEST(stripsAndPrependsSegments);
  CPPUNIT_TEST(refusesMalformedDatagrams);
  CPPUNIT_TEST(answersMatchTheRequest);
  CPPUNIT_TEST(hashesSeeCopiesAsOneRequest);
  CPPUNIT_TEST(readsBlocks);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against lost or shifted options when a message is rebuilt.
  void readsWhatItWrites() {
    const Bytes Wire = buildCoap(post()).value();
    const CoapMessage Back = parseCoap(Wire).value();
    CPPUNIT_ASSERT(Back.Type == CoapType::Confirmable);
    CPPUNIT_ASSERT_EQUAL(code::Post, Back.Code);
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{0x1234}, Back.MessageId);
    CPPUNIT_ASSERT(post().RequestToken == Back.RequestToken);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, Back.Options.size());
    CPPUNIT_ASSERT(bytesOf("orders") == Back.Options[1].Value);
    CPPUNIT_ASSERT(bytesOf("stitch") == Back.Payload);
    CPPUNIT_ASSERT(Wire == buildCoap(Back).value());
  }

  /// Guards against options that libcoap adds by itself; found by the fuzzer
  /// with a Proxy-Scheme (39), whose message lost its last two bytes.
  void addsNothingOfItsOwn() {
    CoapMessage Message = post();
    removeOptions(Message, option::Echo);
    addOption(Message, 39, bytesOf("coap"));
    const Bytes Wire = buildCoap(Message).value();
    const CoapMessage Back = parseCoap(Wire).value();
    CPPUNIT_ASSERT_EQUAL(Message.Options.size(), Back.Options.size());
    CPPUNIT_ASSERT(bytesOf("stitch") == Back.Payload);
  }

  /// Guards against an upstream that sees the owner's segment in a path.
  void stripsAndPrependsSegments() {
    CoapMessage Message = post();
    CPPUNIT_ASSERT(firstPathSegment(Message) == "~7.31");
    removeFirstPathSegment(Message);
    CPPUNIT_ASSERT(firstPathSegment(Message) == "orders");
    CoapMessage Created = makeResponse(Message, code::Created, 0);
    addOption(Created, option::LocationPath, bytesOf("lines"));
    addOption(Created, option::Observe, {});
    prependLocationSegment(Created, "~7.31");
    const Bytes Wire = buildCoap(Created).value();
    const CoapMessage Back = parseCoap(Wire).value();
    CPPUNIT_ASSERT(bytesOf("~7.31") == *findOption(Back, option::LocationPath));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, Back.Options.size());
    CPPUNIT_ASSERT(bytesOf("lines") == Back.Options[2].Value);
    CPPUNIT_ASSERT_EQUAL(0U, *uintOption(Back, option::Observe));
  }

  /// Guards against a crash or a guess on bytes that are not CoAP.
  void refusesMalformedDatagrams() {
    const Bytes Wire = buildCoap(post()).value();
    const Bytes NoVersion = {0x00, 0x01, 0, 1};
    const Bytes LongToken = {0x4F, 0x01, 0, 1, 1, 2, 3, 4, 5, 6, 7, 8, 9};
    const Bytes MarkerOnly = {0x40, 0x01, 0, 1, 0xFF};
    for (const Bytes &Bad : {Bytes(), Bytes{0x40}, NoVersion, LongToken,
                             MarkerOnly, Bytes(Wire.begin(), Wire.begin() + 9)})
      CPPUNIT_ASSERT(parseCoap(Bad).error().Code == ErrorCode::CoapMalformed);
  }

  /// Guards against answers that a caller can't match to its request.
  void answersMatchTheRequest() {
    const CoapMessage Request = post();
    const Bytes Wire =
        buildServiceUnavailable(Request, std::chrono::seconds(2), "x", 9);
    const CoapMessage Back = parseCoap(Wire).value();
    CPPUNIT_ASSERT(Back.Type == CoapType::Acknowledgement);
    CPPUNIT_ASSERT_EQUAL(Request.MessageId, Back.MessageId);
    CPPUNIT_ASSERT(Request.RequestToken == Back.RequestToken);
    CPPUNIT_ASSERT_EQUAL(2U, *uintOption(Back, option::MaxAge));
    CoapMessage Non = Request;
    Non.Type = CoapType::NonConfirmable;
    const Bytes Second = buildNotFound(Non, 9);
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{9}, parseCoap(Second)->MessageId);
    const Bytes Reset = buildEmptyMessage(CoapType::Reset, 77);
    CPPUNIT_ASSERT(Reset == (Bytes{0x70, 0x00, 0x00, 77}));
  }

  /// Guards against a copy under a new message id that counts as new work, and
  /// against another request under a used Echo that counts as a copy.
  void hashesSeeCopiesAsOneRequest() {
    CoapMessage Copy = post();
    Copy.MessageId = 1;
    Copy.RequestToken = {1, {1}};
    removeOptions(Copy, option::Echo);
    CPPUNIT_ASSERT_EQUAL(contentHash(post()), contentHash(Copy));
    Copy.Payload = bytesOf("other");
    CPPUNIT_ASSERT(contentHash(post()) != contentHash(Copy));
    CPPUNIT_ASSERT_EQUAL(operationKey(post()), operationKey(Copy));
  }

  /// Guards against block offsets that ignore the block size.
  void readsBlocks() {
    CoapMessage Message = post();
    const UintValue Value = encodeBlock({3, true, 6});
    addOption(Message, option::Block1, Value.span());
    const Bytes Wire = buildCoap(Message).value();
    const BlockValue Back = *blockOption(*parseCoap(Wire), option::Block1);
    CPPUNIT_ASSERT(Back == (BlockValue{3, true, 6}));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3072}, Back.offset());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CoapMessageTest);

} // namespace
