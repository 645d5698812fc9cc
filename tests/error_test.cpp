#include "jasminearch/error.h"
#include "jasminearch/types.h"
#include <cppunit/extensions/HelperMacros.h>

using namespace jasminearch;

namespace {

class ErrorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ErrorTest);
  CPPUNIT_TEST(formatsNumberNameAndDetail);
  CPPUNIT_TEST(namesUnknownNumbers);
  CPPUNIT_TEST(formatsEndpoints);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against error messages without the error code.
  void formatsNumberNameAndDetail() {
    const Error E{ErrorCode::RevisionConflict, "profile tablets is at 7"};
    CPPUNIT_ASSERT_EQUAL(
        std::string("[403 RevisionConflict] profile tablets is at 7"),
        toString(E));
  }

  /// Guards against a crash on an error code of a newer version.
  void namesUnknownNumbers() {
    CPPUNIT_ASSERT_EQUAL(std::string("Unknown"),
                         std::string(name(static_cast<ErrorCode>(9999))));
  }

  /// Guards against formatting addresses in the wrong byte order.
  void formatsEndpoints() {
    CPPUNIT_ASSERT_EQUAL(std::string("127.0.10.1:5683"),
                         toString(Endpoint{0x7F000A01, 5683}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ErrorTest);

} // namespace
