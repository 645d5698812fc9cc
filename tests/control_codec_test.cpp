#include "jasminearch/control/codec.h"
#include "jasminearch/control/state_machine.h"
#include <cppunit/extensions/HelperMacros.h>
#include <string>
#include <vector>

using namespace jasminearch;
using namespace jasminearch::control;

namespace {

/// \returns one command of each kind.
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

/// \returns a state with every kind of object.
State populatedState() {
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
  CPPUNIT_TEST(commandsRoundTrip);
  CPPUNIT_TEST(stateRoundTrips);
  CPPUNIT_TEST(refusesTruncatedStates);
  CPPUNIT_TEST(refusesOrPreservesFlippedBytes);
  CPPUNIT_TEST(refusesDeepNesting);
  CPPUNIT_TEST(refusesDanglingReferences);
  CPPUNIT_TEST(refusesOutOfRangeNumbers);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against a command field that is lost when it is stored in the log.
  void commandsRoundTrip() {
    for (const Command &C : allCommands()) {
      const auto Decoded = decodeCommand(encodeCommand(C));
      CPPUNIT_ASSERT(Decoded.has_value());
      CPPUNIT_ASSERT(C == *Decoded);
    }
  }

  /// Guards against a replica that diverges after restoring a snapshot.
  void stateRoundTrips() {
    const State S = populatedState();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, S.Config.Upstreams.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, S.Config.Entries.size());
    const auto Decoded = decodeState(encodeState(S));
    CPPUNIT_ASSERT(Decoded.has_value());
    CPPUNIT_ASSERT(S == *Decoded);
  }

  /// Guards against a truncated record that decodes as a valid one.
  void refusesTruncatedStates() {
    const Bytes Whole = encodeState(populatedState());
    for (std::size_t Size = 0; Size < Whole.size(); ++Size) {
      const auto Decoded =
          decodeState(Bytes(Whole.data(), Whole.data() + Size));
      CPPUNIT_ASSERT(!Decoded.has_value());
      CPPUNIT_ASSERT(Decoded.error().Code == ErrorCode::MessageMalformed);
    }
  }

  /// Guards against a decoder that crashes on corrupt input, or accepts it with
  /// a different meaning.
  void refusesOrPreservesFlippedBytes() {
    const Bytes Whole = encodeState(populatedState());
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

  /// Guards against nesting that exhausts the stack of the recursive parser.
  void refusesDeepNesting() {
    const auto Decoded = decodeCommand(Bytes(4'000'000, 0x81));
    CPPUNIT_ASSERT(!Decoded.has_value());
    CPPUNIT_ASSERT(Decoded.error().Code == ErrorCode::MessageMalformed);
  }

  /// Guards against a snapshot with dangling references, which apply() follows
  /// unchecked.
  void refusesDanglingReferences() {
    State NoProfile = populatedState();
    NoProfile.Config.Profiles.clear();
    CPPUNIT_ASSERT(!decodeState(encodeState(NoProfile)).has_value());
    State NoTable = populatedState();
    NoTable.Config.Tables.clear();
    CPPUNIT_ASSERT(!decodeState(encodeState(NoTable)).has_value());
    State NoService = populatedState();
    NoService.Config.Upstreams.begin()->second.Service = ServiceId{9};
    CPPUNIT_ASSERT(!decodeState(encodeState(NoService)).has_value());
  }

  /// Guards against numbers that are silently truncated, and against unknown
  /// kinds of commands.
  void refusesOutOfRangeNumbers() {
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
