#include "jasminearch/agent/load.h"
#include "jasminearch/cbor_input.h"
#include "jasminearch/consensus/messages.h"
#include "jasminearch/control/codec.h"
#include "jasminearch/fleet/messages.h"
#include "jasminearch/flow/load_report.h"
#include <cppunit/extensions/HelperMacros.h>

using namespace jasminearch;

namespace {

/// Input from outside a process must not exhaust its stack.
class CborInputTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CborInputTest);
  CPPUNIT_TEST(limitsTheDepth);
  CPPUNIT_TEST(refusesDeeplyNestedMessages);
  CPPUNIT_TEST_SUITE_END();

  /// \returns arrays of one element, nested to \p Depth around a zero.
  static Bytes nested(std::size_t Depth) {
    constexpr std::uint8_t ArrayOfOne = 0x81;
    Bytes Encoded(Depth, ArrayOfOne);
    Encoded.push_back(0);
    return Encoded;
  }

public:
  void limitsTheDepth() {
    CPPUNIT_ASSERT(parseCborArrays(nested(3), 3));
    CPPUNIT_ASSERT(!parseCborArrays(nested(4), 3));
    CPPUNIT_ASSERT(!parseCborArrays(Bytes{}, 3));
    CPPUNIT_ASSERT(!parseCborArrays(Bytes{0xA0}, 3));
  }

  /// Guards against processes that end again and again because of one message,
  /// datagram or stored file.
  void refusesDeeplyNestedMessages() {
    const Bytes Deep = nested(5'000'000);
    CPPUNIT_ASSERT(!fleet::decode(Deep));
    CPPUNIT_ASSERT(!fleet::decodeAcceptedRoutes(Deep));
    CPPUNIT_ASSERT(!flow::decodeLoadReport(Deep.data(), Deep.size()));
    CPPUNIT_ASSERT(!agent::decodeLoad(Deep));
    CPPUNIT_ASSERT(!consensus::decodeMessage(Deep));
    CPPUNIT_ASSERT(!control::decodeState(Deep));
    CPPUNIT_ASSERT(!control::parseCbor(Deep));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CborInputTest);

} // namespace
