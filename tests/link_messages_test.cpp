#include "jasminearch/link/messages.h"
#include <cppunit/extensions/HelperMacros.h>
#include <vector>

using namespace jasminearch;
using namespace jasminearch::link;

namespace {

/// Messages of each type with non-default field values.
std::vector<Message> samples() {
  control::Configuration C;
  C.InForce = {9};
  C.Entries["e"] = {"e", "dc", {1, 2}, false, {8}};
  C.Tables[{3}] = {{3}, std::vector<control::Bucket>(512), {7}};
  control::Delta D{{4}, C, {{control::ObjectKey::Kind::Upstream, "", 5}}};
  const ControlHost H{"c1", {0x7F000001, 80}};
  control::Command Command{"id", control::RemoveProfile{"p", {3}}};
  const Error E{ErrorCode::NotLeader, "c2 leads"};
  return {
      Challenge{{1, 2}},
      Hello{"t", "n", Role::Agent, 7, {8}, {1}, {2}},
      Welcome{"c", {1}, true, H, std::chrono::milliseconds(5)},
      Heartbeat{{1}, std::chrono::milliseconds(2)},
      Snapshot{{C, 2, true}},
      Delta{D},
      Applied{{6}},
      Announce{control::UpstreamAnnouncement{"u", "s", "dc", {1, 2}, 3, 4}},
      Announce{control::EntryAnnouncement{"e", "dc", {1, 2}, 4}},
      Announced{{1}, {2}},
      Leave{},
      CommandRequest{Command},
      CommandResult{"id", control::CommandResult{{1}, false, E}, {}, {}},
      CommandResult{"id", {}, E, H},
      Query{1, QueryKind::Burn, {3}},
      QueryResult{1, nlohmann::json{{"a", {1, 2.5, "x"}}}, {}, {}},
      QueryResult{1, {}, E, H},
      OutcomeReport{
          {"h", 1, {{{1}, control::Promise::AtMostOnce, 1, 2, 3, "x"}}}},
      Refused{E, H},
      PeerMessage{{0, 255}},
  };
}

class LinkMessagesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LinkMessagesTest);
  CPPUNIT_TEST(decodesWhatItEncodes);
  CPPUNIT_TEST(refusesEveryTruncation);
  CPPUNIT_TEST(refusesTrailingBytes);
  CPPUNIT_TEST(refusesDeepNesting);
  CPPUNIT_TEST(refusesFieldsOutOfRange);
  CPPUNIT_TEST(distinguishesUnknownTypes);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against a field that is lost or swapped with another one.
  void decodesWhatItEncodes() {
    for (const Message &M : samples()) {
      const auto Decoded = decodeMessage(encodeMessage(M));
      CPPUNIT_ASSERT_MESSAGE(
          "type " + std::to_string(M.index()) +
              (Decoded ? "" : ": " + toString(Decoded.error())),
          Decoded && *Decoded == M);
    }
  }

  /// Guards against a truncated message that is accepted.
  void refusesEveryTruncation() {
    for (const Message &M : samples()) {
      Bytes Complete = encodeMessage(M);
      const std::size_t Step = 1 + Complete.size() / 200;
      for (std::size_t Size = 0; Size < Complete.size(); Size += Step) {
        Bytes Truncated = Complete;
        Truncated.resize(Size);
        const auto Decoded = decodeMessage(Truncated);
        CPPUNIT_ASSERT(!Decoded);
        CPPUNIT_ASSERT(Decoded.error().Code == ErrorCode::MessageMalformed);
      }
    }
  }

  /// Guards against two concatenated messages that are read as one.
  void refusesTrailingBytes() {
    Bytes Twice = encodeMessage(Leave{});
    Twice.push_back(0);
    CPPUNIT_ASSERT(!decodeMessage(Twice));
  }

  /// Guards against a stack overflow in the recursive parser.
  void refusesDeepNesting() {
    CPPUNIT_ASSERT(!decodeMessage(Bytes(1'000'000, 0x81)));
    CPPUNIT_ASSERT(!decodeMessage(Bytes(1'000'000, 0xBF)));
    CPPUNIT_ASSERT(!decodeMessage(Bytes(1'000'000, 0xC1)));
    CPPUNIT_ASSERT(!decodeMessage(Bytes(1'000'000, 0x5F)));
  }

  static void refuses(const nlohmann::json &In) {
    const auto Decoded = decodeMessage(nlohmann::json::to_cbor(In));
    CPPUNIT_ASSERT_MESSAGE(In.dump(), !Decoded);
    CPPUNIT_ASSERT(Decoded.error().Code == ErrorCode::MessageMalformed);
  }

  /// Guards against numbers that are truncated to a valid value.
  void refusesFieldsOutOfRange() {
    using nlohmann::json;
    const auto TypeOf = [](const Message &M) { return M.index(); };
    refuses({TypeOf(Applied{}), {-1}});
    refuses({TypeOf(Applied{}), {1.5}});
    refuses({TypeOf(Applied{}), {"1"}});
    refuses({TypeOf(Announced{}), {0x100000000ULL, 1}});
    refuses({TypeOf(Announced{}), {1}});
    refuses({TypeOf(Query{}), {1, 9, 1}});
    refuses({TypeOf(Refused{}), {{70'000, "x"}, json::array()}});
    refuses({TypeOf(Leave{}), nullptr});
    refuses(7);
    refuses({1, 2, 3});
  }

  /// Guards against reporting a newer version's message as malformed.
  void distinguishesUnknownTypes() {
    const auto Decoded =
        decodeMessage(nlohmann::json::to_cbor({17, nlohmann::json::array()}));
    CPPUNIT_ASSERT(!Decoded);
    CPPUNIT_ASSERT(Decoded.error().Code == ErrorCode::MessageUnknownType);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LinkMessagesTest);

} // namespace
