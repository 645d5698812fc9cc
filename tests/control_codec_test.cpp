#include "jasminearch/control/codec.h"
#include "jasminearch/control/state_machine.h"
#include <cppunit/extensions/HelperMacros.h>
#include <string>
#include <vector>

using namespace jasminearch;
using namespace jasminearch::control;

namespace {

/// One command of each kind.
std::vector<Command> allCommands() {
  Profile P;
  P.Name = "tablets";
  Service S;
  S.Name = "order";
  S.ProfileName = "tablets";
  S.Address = {0x7F000A01, 5683};
  const UpstreamAnnouncement U{"order-1",          "order", "north",
                               {0x7F000B01, 7000}, 7,       42};
  const EntryAnnouncement E{"entry-1", "north", {0x7F000C01, 7100}, 43};
  return {{"a", PutProfile{P, {}}},
          {"b", PutService{S, {}}},
          {"c", AnnounceUpstream{U}},
          {"d", AnnounceEntry{E}},
          {"e", AdvanceWarmUp{{1}, {3}, 2}},
          {"f", ActivateUpstream{{1}, {3}}},
          {"g", SetDrain{"order-1", true, {6}}},
          {"h", RemoveProfile{"tablets", {1}}},
          {"i", RetireUpstream{{1}, {3}}},
          {"", RetireEntry{"entry-1"}},
          {"j", ForgetUpstream{"order-1", {7}}}};
}

State populated() {
  State S;
  std::uint64_t At = 0;
  auto Commands = allCommands();
  Commands.pop_back();
  Commands.push_back(
      {"k", AnnounceUpstream{
                {"order-2", "order", "south", {0x7F000B02, 7000}, 7, 44}}});
  for (const Command &C : Commands)
    apply(S, C, Revision{++At});
  return S;
}

class ControlCodecTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ControlCodecTest);
  CPPUNIT_TEST(commandsSurviveEncoding);
  CPPUNIT_TEST(stateSurvivesEncoding);
  CPPUNIT_TEST(refusesEveryTruncation);
  CPPUNIT_TEST(refusesOrKeepsEveryFlippedByte);
  CPPUNIT_TEST(refusesDeepNesting);
  CPPUNIT_TEST(refusesBrokenReferences);
  CPPUNIT_TEST(refusesNumbersThatDoNotFit);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against a field that the log loses.
  void commandsSurviveEncoding() {
    for (const Command &C : allCommands()) {
      const auto Decoded = decodeCommand(encodeCommand(C));
      CPPUNIT_ASSERT(Decoded.has_value());
      CPPUNIT_ASSERT(C == *Decoded);
    }
  }

  /// Guards against a replica that differs after it started from a snapshot.
  void stateSurvivesEncoding() {
    const State S = populated();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, S.Config.Upstreams.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, S.Config.Entries.size());
    const auto Decoded = decodeState(encodeState(S));
    CPPUNIT_ASSERT(Decoded.has_value());
    CPPUNIT_ASSERT(S == *Decoded);
  }

  /// Guards against a torn record that is taken for a shorter one.
  void refusesEveryTruncation() {
    const Bytes Whole = encodeState(populated());
    for (std::size_t Size = 0; Size < Whole.size(); ++Size) {
      const auto Decoded =
          decodeState(Bytes(Whole.data(), Whole.data() + Size));
      CPPUNIT_ASSERT(!Decoded.has_value());
      CPPUNIT_ASSERT(Decoded.error().Code == ErrorCode::MessageMalformed);
    }
  }

  /// Guards against a decoder that crashes or alters what it can't represent.
  void refusesOrKeepsEveryFlippedByte() {
    const Bytes Whole = encodeState(populated());
    for (std::size_t I = 0; I < Whole.size(); ++I) {
      for (const std::uint8_t Mask : {0x01, 0x20, 0x80, 0xFF}) {
        Bytes Flipped = Whole;
        Flipped[I] ^= Mask;
        const auto Decoded = decodeState(Flipped);
        CPPUNIT_ASSERT(!Decoded.has_value() ||
                       encodeState(*Decoded) == Flipped);
      }
    }
  }

  /// Guards against a message that exhausts the stack of the parser.
  void refusesDeepNesting() {
    const auto Decoded = decodeCommand(Bytes(4'000'000, 0x81));
    CPPUNIT_ASSERT(!Decoded.has_value());
    CPPUNIT_ASSERT(Decoded.error().Code == ErrorCode::MessageMalformed);
  }

  /// Guards against a snapshot that makes apply follow a dangling id.
  void refusesBrokenReferences() {
    State NoProfile = populated();
    NoProfile.Config.Profiles.clear();
    CPPUNIT_ASSERT(!decodeState(encodeState(NoProfile)).has_value());
    State NoTable = populated();
    NoTable.Config.Tables.clear();
    CPPUNIT_ASSERT(!decodeState(encodeState(NoTable)).has_value());
    State NoService = populated();
    NoService.Config.Upstreams.begin()->second.Service = ServiceId{9};
    CPPUNIT_ASSERT(!decodeState(encodeState(NoService)).has_value());
  }

  /// Guards against a port or id that is cut off without a sign.
  void refusesNumbersThatDoNotFit() {
    nlohmann::json Text = allCommands()[1];
    Text["body"]["value"]["address"][1] = 65'536;
    CPPUNIT_ASSERT(!decodeCommand(nlohmann::json::to_cbor(Text)).has_value());
    Text = allCommands()[9];
    Text["kind"] = "retire_everything";
    CPPUNIT_ASSERT(!decodeCommand(nlohmann::json::to_cbor(Text)).has_value());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ControlCodecTest);

} // namespace
