#include "agent_world.h"
#include <cppunit/extensions/HelperMacros.h>
#include <malloc.h>

using namespace jasminearch;
using namespace jasminearch::agent;
using namespace jasminearch::agent::test;
using wire::FrameKind;

namespace {

/// What one datagram made an agent do.
struct Reaction {
  /// Responses to the caller, and datagrams to the upstream.
  std::vector<Bytes> Answers, Delivered;
  std::vector<std::pair<wire::FrameHeader, Endpoint>> Frames;
  Effects All;

  std::uint8_t code() const {
    return Answers.empty() ? std::uint8_t{0}
                           : wire::parseCoap(Answers.back())->Code;
  }
  std::string payload() const {
    return Answers.empty() ? ""
                           : textOf(wire::parseCoap(Answers.back())->Payload);
  }
};

Reaction react(World &In, std::size_t At, const Event &What) {
  Reaction Out;
  State &S = *In.Agents[At].S;
  Out.All = handle(S, What, In.Now);
  for (const Effect &Each : Out.All) {
    if (const auto *Up = std::get_if<SendUpstream>(&Each))
      Out.Delivered.push_back(Up->Datagram);
    const auto *Sent = std::get_if<SendFrame>(&Each);
    if (Sent == nullptr)
      continue;
    const auto View = wire::decodeFrame(Sent->Datagram).value();
    if (View.Header.Kind == FrameKind::Answer)
      Out.Answers.emplace_back(View.Payload.begin(), View.Payload.end());
    else if (View.Header.Kind != FrameKind::Load)
      Out.Frames.emplace_back(View.Header, Sent->To);
  }
  return Out;
}

Reaction give(World &In, std::size_t At, const Bytes &Datagram) {
  return react(In, At,
               FrameReceived{entryAt(0), In.forwardFrame(At, Datagram)});
}

/// As give(), in a frame that \p Change has altered.
template <typename Changer>
Reaction giveChanged(World &In, std::size_t At, const Bytes &Datagram,
                     Changer Change) {
  const Bytes Frame = In.forwardFrame(At, Datagram);
  wire::FrameHeader Header = wire::decodeFrame(Frame)->Header;
  Change(Header);
  Bytes Out(Datagram.size() + 256);
  Out.resize(wire::encodeFrame(Header, Datagram, absl::MakeSpan(Out)).value());
  return react(In, At, FrameReceived{agentAt(7), Out});
}

struct Ask {
  std::uint8_t Code = wire::code::Post;
  std::string Path = "orders";
  std::string Payload = "x";
  Bytes Echo = Bytes();
  std::uint16_t Mid = 1;
  std::uint8_t Token = 1;
  int Observe = -1, Block1 = -1, Block2 = -1;
  bool More = false;
};

Bytes build(const Ask &From) {
  CoapMessage Out;
  Out.Code = From.Code;
  Out.MessageId = From.Mid;
  Out.RequestToken = {1, {From.Token}};
  const auto Observe = wire::encodeUint(static_cast<unsigned>(From.Observe));
  if (From.Observe >= 0)
    addOption(Out, wire::option::Observe, Observe.span());
  const std::size_t Slash = From.Path.find('/');
  addOption(Out, wire::option::UriPath,
            bytesOf(std::string_view(From.Path).substr(0, Slash)));
  if (Slash != std::string::npos)
    addOption(Out, wire::option::UriPath,
              bytesOf(std::string_view(From.Path).substr(Slash + 1)));
  const auto Number =
      static_cast<std::uint32_t>(From.Block1 >= 0 ? From.Block1 : From.Block2);
  const auto Block = wire::encodeBlock({Number, From.More, 0});
  if (From.Block1 >= 0 || From.Block2 >= 0)
    addOption(Out,
              From.Block1 >= 0 ? wire::option::Block1 : wire::option::Block2,
              Block.span());
  if (!From.Echo.empty())
    addOption(Out, wire::option::Echo, From.Echo);
  Out.Payload = bytesOf(From.Payload);
  return buildCoap(Out).value();
}

Ask getFor(std::uint8_t Token, std::uint16_t Mid) {
  return {.Code = wire::code::Get,
          .Path = "lists",
          .Payload = "",
          .Mid = Mid,
          .Token = Token};
}

/// \returns \p From with the permit that the agent issues for it.
Ask permitted(World &In, std::size_t At, Ask From) {
  const Reaction First = give(In, At, build(From));
  CPPUNIT_ASSERT_EQUAL(wire::code::Unauthorized, First.code());
  CPPUNIT_ASSERT(First.Delivered.empty());
  const auto Answer = wire::parseCoap(First.Answers.back()).value();
  const auto Echo = findOption(Answer, wire::option::Echo).value();
  From.Echo.assign(Echo.begin(), Echo.end());
  From.Mid += 1000;
  return From;
}

/// Lets the upstream answer what it was sent last.
Reaction upstreamSays(World &In, std::size_t At, const Bytes &Request,
                      std::uint8_t Code, const std::string &Payload,
                      const CoapMessage &Extra = {}) {
  const auto Read = wire::parseCoap(Request).value();
  CoapMessage Out = makeResponse(Read, Code, 9);
  if (Extra.Type != CoapType::Confirmable || Extra.MessageId != 0)
    Out.Type = Extra.Type, Out.MessageId = Extra.MessageId;
  Out.Options = Extra.Options;
  Out.Payload = bytesOf(Payload);
  const FlowId Of = findFlow(In.Agents[At].S->Flows, CallerAt)->Id;
  const Bytes Wire = buildCoap(Out).value();
  return react(In, At, UpstreamReceived{Of, Wire});
}

std::uint64_t drops(const World &In, std::size_t At, DropReason Reason) {
  return In.Agents[At].S->Drops.ByReason[static_cast<std::size_t>(Reason)];
}

class AgentLogicTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AgentLogicTest);
  CPPUNIT_TEST(freshPermitRunsOnce);
  CPPUNIT_TEST(recordComesBeforeDelivery);
  CPPUNIT_TEST(freshPermitIsRefusedWhenItCannotRun);
  CPPUNIT_TEST(refusedStaysRefused);
  CPPUNIT_TEST(doneIsAnsweredAgain);
  CPPUNIT_TEST(goneOwnerIsUnknown);
  CPPUNIT_TEST(expiredPermitIsUnknown);
  CPPUNIT_TEST(permitOfAnotherAgentIsRelayed);
  CPPUNIT_TEST(usedEchoOnAnotherRequestGetsItsOwnPermit);
  CPPUNIT_TEST(duplicatesShareAPermit);
  CPPUNIT_TEST(ownedPathIsRelayedOrStripped);
  CPPUNIT_TEST(wrongTargetsAreDropped);
  CPPUNIT_TEST(staleConfigurationDoesNotDeclareOwnersGone);
  CPPUNIT_TEST(offloadsToTheLessLoadedSibling);
  CPPUNIT_TEST(hopLimitEndsRelays);
  CPPUNIT_TEST(probesFindTheHolder);
  CPPUNIT_TEST(probesAreLimitedAndEnd);
  CPPUNIT_TEST(deadlineCancelsAndDropsLateAnswers);
  CPPUNIT_TEST(crossedAnswersAreDropped);
  CPPUNIT_TEST(lateBlockIsNotSplicedIntoTheNextUpload);
  CPPUNIT_TEST(drainingKeepsLinesAndMovesNewWork);
  CPPUNIT_TEST(deadEntryHostIsAvoided);
  CPPUNIT_TEST(closedUpstreamIsReported);
  CPPUNIT_TEST(stopWaitsForRequestsInFlight);
  CPPUNIT_TEST(recordsAndAnswersAreBounded);
  CPPUNIT_TEST(flowsAreBounded);
  CPPUNIT_TEST(damagedHandoverIsRefused);
  CPPUNIT_TEST(retransmissionsGetMessageIdsOfTheirOwn);
  CPPUNIT_TEST(retransmittedCreationKeepsItsOwner);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against a second run of a request, by a copy in whatever state.
  void freshPermitRunsOnce() {
    World W;
    const Ask Permitted = permitted(W, 0, {});
    const Reaction First = give(W, 0, build(Permitted));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, First.Delivered.size());
    CPPUNIT_ASSERT(
        !findOption(*wire::parseCoap(First.Delivered[0]), wire::option::Echo));
    Ask Copy = Permitted;
    CPPUNIT_ASSERT(give(W, 0, build(Copy)).Delivered.empty());
    Copy.Mid = 77;
    Copy.Token = 9;
    const Reaction Second = give(W, 0, build(Copy));
    CPPUNIT_ASSERT(Second.Delivered.empty() && Second.Answers.empty());
  }

  /// Guards against a delivery whose record does not exist yet: if the agent
  /// stops between the two, a copy would run again.
  void recordComesBeforeDelivery() {
    World W;
    const Ask Permitted = permitted(W, 0, {});
    W.Agents[0].S->Records.Limits.MaxRecords = 0;
    const Reaction Full = give(W, 0, build(Permitted));
    CPPUNIT_ASSERT(Full.Delivered.empty());
    CPPUNIT_ASSERT_EQUAL(std::string(UnknownPayload), Full.payload());
  }

  /// Guards against work that starts on a draining or full upstream or past
  /// its deadline, and against refusals without "not run".
  void freshPermitIsRefusedWhenItCannotRun() {
    for (int Reason = 0; Reason < 3; ++Reason) {
      World W(1, Reason == 1 ? 1 : 4);
      const Ask Permitted = permitted(W, 0, {});
      if (Reason == 0)
        W.Agents[0].S->Draining = true;
      if (Reason == 1)
        give(W, 0, build(getFor(5, 5)));
      if (Reason == 2)
        W.Now += 11s;
      const Reaction Told = give(W, 0, build(Permitted));
      CPPUNIT_ASSERT(Told.Delivered.empty());
      CPPUNIT_ASSERT_EQUAL(wire::code::ServiceUnavailable, Told.code());
      CPPUNIT_ASSERT_EQUAL(std::string(NotRunPayload), Told.payload());
      CPPUNIT_ASSERT(
          uintOption(*wire::parseCoap(Told.Answers[0]), wire::option::MaxAge));
    }
  }

  /// Guards against a late copy that runs after its caller was told "not run".
  void refusedStaysRefused() {
    World W;
    const Ask Permitted = permitted(W, 0, {});
    W.Agents[0].S->Draining = true;
    give(W, 0, build(Permitted));
    W.Agents[0].S->Draining = false;
    W.restart(0, true);
    const Reaction Late = give(W, 0, build(Permitted));
    CPPUNIT_ASSERT(Late.Delivered.empty());
    CPPUNIT_ASSERT_EQUAL(std::string(NotRunPayload), Late.payload());
    W.Now += PermitLifetime;
    react(W, 0, TimerFired{});
    const Reaction Expired = give(W, 0, build(Permitted));
    CPPUNIT_ASSERT(Expired.Delivered.empty());
  }

  /// Guards against a lost answer that the caller can't get again.
  void doneIsAnsweredAgain() {
    World W;
    const Ask Permitted = permitted(W, 0, {});
    const Reaction Ran = give(W, 0, build(Permitted));
    upstreamSays(W, 0, Ran.Delivered[0], wire::code::Changed, "ok");
    Ask Copy = Permitted;
    Copy.Mid = 4321;
    Copy.Token = 42;
    const Reaction Again = give(W, 0, build(Copy));
    CPPUNIT_ASSERT(Again.Delivered.empty());
    CPPUNIT_ASSERT_EQUAL(std::string("ok"), Again.payload());
    const auto Read = wire::parseCoap(Again.Answers[0]).value();
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{4321}, Read.MessageId);
    CPPUNIT_ASSERT_EQUAL(std::uint8_t{42}, Read.RequestToken.Octets[0]);
  }

  /// Guards against "not run" or a second run after an agent lost its records.
  void goneOwnerIsUnknown() {
    World W;
    const Ask Permitted = permitted(W, 0, {});
    give(W, 0, build(Permitted));
    W.restart(0, false);
    for (const std::size_t At : {0, 1}) {
      const Reaction Told = give(W, At, build(Permitted));
      CPPUNIT_ASSERT(Told.Delivered.empty() && Told.Frames.empty());
      CPPUNIT_ASSERT_EQUAL(wire::code::GatewayTimeout, Told.code());
      CPPUNIT_ASSERT_EQUAL(std::string(UnknownPayload), Told.payload());
    }
  }

  /// Guards against a permit that outlives its record, and against forgery.
  void expiredPermitIsUnknown() {
    World W;
    Ask Permitted = permitted(W, 0, {});
    Ask Forged = Permitted;
    Forged.Echo[20] ^= 1U;
    CPPUNIT_ASSERT_EQUAL(std::string(UnknownPayload),
                         give(W, 0, build(Forged)).payload());
    W.Now += PermitLifetime;
    const Reaction Told = give(W, 0, build(Permitted));
    CPPUNIT_ASSERT(Told.Delivered.empty());
    CPPUNIT_ASSERT_EQUAL(std::string(UnknownPayload), Told.payload());
  }

  /// Guards against a run at an agent that the permit doesn't name.
  void permitOfAnotherAgentIsRelayed() {
    World W;
    const Ask Permitted = permitted(W, 1, {});
    const Reaction Passed = give(W, 0, build(Permitted));
    CPPUNIT_ASSERT(Passed.Delivered.empty() && Passed.Answers.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Passed.Frames.size());
    CPPUNIT_ASSERT(Passed.Frames[0].second == agentAt(1));
    CPPUNIT_ASSERT(Passed.Frames[0].first.Kind == FrameKind::Relay);
    CPPUNIT_ASSERT(Passed.Frames[0].first.Instance == (Incarnation{11}));
    const auto Frame = std::get<SendFrame>(Passed.All[0]);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         react(W, 1, FrameReceived{agentAt(0), Frame.Datagram})
                             .Delivered.size());
  }

  /// Guards against the response to one request being sent for another, when a
  /// client attaches a used Echo to its next request.
  void usedEchoOnAnotherRequestGetsItsOwnPermit() {
    World W;
    Ask Permitted = permitted(W, 0, {});
    const Reaction Ran = give(W, 0, build(Permitted));
    upstreamSays(W, 0, Ran.Delivered[0], wire::code::Changed, "ok");
    Permitted.Payload = "another";
    Permitted.Mid = 8;
    const Reaction Other = give(W, 0, build(Permitted));
    CPPUNIT_ASSERT_EQUAL(wire::code::Unauthorized, Other.code());
    CPPUNIT_ASSERT(Other.Delivered.empty());
  }

  /// Guards against two permits for one request that the network duplicated.
  void duplicatesShareAPermit() {
    World W;
    const Reaction First = give(W, 0, build({}));
    W.Now += 100s;
    CPPUNIT_ASSERT(First.Answers == give(W, 0, build({})).Answers);
    W.Now += 200s;
    CPPUNIT_ASSERT(First.Answers != give(W, 0, build({})).Answers);
  }

  /// Guards against a line that breaks when its bucket moves, and against a
  /// caller that waits for an owner that is gone.
  void ownedPathIsRelayedOrStripped() {
    World W;
    Ask Line = getFor(3, 3);
    Line.Path = "~1.10/lists";
    const Reaction Own = give(W, 0, build(Line));
    CPPUNIT_ASSERT(firstPathSegment(*wire::parseCoap(Own.Delivered.at(0))) ==
                   "lists");
    const Reaction Relayed = give(W, 1, build(Line));
    CPPUNIT_ASSERT(Relayed.Frames.at(0).second == agentAt(0));
    CPPUNIT_ASSERT(Relayed.Delivered.empty());
    W.restart(0, false);
    CPPUNIT_ASSERT_EQUAL(wire::code::NotFound, give(W, 1, build(Line)).code());
    CPPUNIT_ASSERT_EQUAL(wire::code::NotFound, give(W, 0, build(Line)).code());
    const auto &Lines = W.Agents[0].S->Promises[control::Promise::LinesSurvive];
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, Lines.Broken);
    CPPUNIT_ASSERT(!Lines.Evidence.empty());
  }

  /// Guards against delivery to an upstream that took over an address.
  void wrongTargetsAreDropped() {
    World W;
    const Bytes Request = build(getFor(1, 1));
    const auto Dropped = [&](auto Change) {
      const Reaction Seen = giveChanged(W, 0, Request, Change);
      return Seen.All.empty();
    };
    using Header = wire::FrameHeader;
    CPPUNIT_ASSERT(Dropped([](Header &H) { H.Service = {2}; }));
    CPPUNIT_ASSERT(Dropped([](Header &H) { H.Upstream = {2}; }));
    CPPUNIT_ASSERT(Dropped([](Header &H) { H.Instance = {9}; }));
    CPPUNIT_ASSERT(Dropped([](Header &H) { H.Instance = {11}; }));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4},
                         drops(W, 0, DropReason::WrongTarget));
    CPPUNIT_ASSERT(!Dropped([](Header &) {}));
  }

  /// Guards against "gone" said of an agent that is newer than the
  /// configuration in force here.
  void staleConfigurationDoesNotDeclareOwnersGone() {
    World W;
    Ask Line = getFor(3, 3);
    Line.Path = "~9.5000/lists";
    CPPUNIT_ASSERT(give(W, 0, build(Line)).All.empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                         drops(W, 0, DropReason::StaleConfiguration));
    Line.Path = "~9.50/lists";
    CPPUNIT_ASSERT_EQUAL(wire::code::NotFound, give(W, 0, build(Line)).code());
  }

  /// Guards against work for a full upstream while a sibling is idle, and
  /// against offloading in circles.
  void offloadsToTheLessLoadedSibling() {
    World W(3, 2);
    const auto Load = [&](std::size_t From, std::uint32_t InFlight) {
      wire::FrameHeader Header;
      Header.Kind = FrameKind::Load;
      Header.Service = {1};
      Header.Upstream = upstreamId(From);
      Header.Instance = {From + 10};
      Bytes Out(300);
      const Bytes Report = encodeLoad({InFlight, 0, 2, false});
      Out.resize(
          wire::encodeFrame(Header, Report, absl::MakeSpan(Out)).value());
      react(W, 0, FrameReceived{agentAt(From), Out});
    };
    Load(1, 1);
    Load(2, 0);
    give(W, 0, build(getFor(1, 1)));
    give(W, 0, build(getFor(2, 2)));
    for (std::uint8_t At = 3; At < 13; ++At) {
      const Reaction Moved = give(W, 0, build(getFor(At, At)));
      CPPUNIT_ASSERT(Moved.Delivered.empty());
      CPPUNIT_ASSERT(Moved.Frames.at(0).second == agentAt(2));
    }
    const Reaction Hopped = giveChanged(
        W, 0, build(getFor(20, 20)), [](wire::FrameHeader &H) { H.Hops = 1; });
    CPPUNIT_ASSERT(Hopped.Frames.empty());
    CPPUNIT_ASSERT_EQUAL(wire::code::ServiceUnavailable, Hopped.code());
    Load(1, 2);
    Load(2, 2);
    CPPUNIT_ASSERT_EQUAL(wire::code::ServiceUnavailable,
                         give(W, 0, build(getFor(21, 21))).code());
  }

  /// Guards against datagrams that circle between agents.
  void hopLimitEndsRelays() {
    World W;
    Ask Line = getFor(3, 3);
    Line.Path = "~2.11/lists";
    const Reaction Ended = giveChanged(
        W, 0, build(Line), [](wire::FrameHeader &H) { H.Hops = MaxHops; });
    CPPUNIT_ASSERT(Ended.All.empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, drops(W, 0, DropReason::HopLimit));
  }

  /// Guards against an acknowledgement or a block that doesn't reach the agent
  /// whose upstream waits for it.
  void probesFindTheHolder() {
    World W;
    W.Earlier = {upstreamId(1)};
    const Ask Feed{
        .Code = wire::code::Get, .Path = "feed", .Payload = "", .Observe = 0};
    const Reaction Opened = give(W, 1, build(Feed));
    CoapMessage Extra;
    Extra.Type = CoapType::Confirmable;
    Extra.MessageId = 600;
    addOption(Extra, wire::option::Observe, {});
    upstreamSays(W, 1, Opened.Delivered[0], wire::code::Content, "f", Extra);
    const Bytes Ack = wire::buildEmptyMessage(CoapType::Acknowledgement, 600);
    const Reaction Asked = give(W, 0, Ack);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Asked.Frames.size());
    CPPUNIT_ASSERT(Asked.Frames[0].first.Kind == FrameKind::Probe);
    CPPUNIT_ASSERT(Asked.Frames[0].second == agentAt(1));
    const auto Probe = std::get<SendFrame>(Asked.All[0]);
    const Reaction Found =
        react(W, 1, FrameReceived{agentAt(0), Probe.Datagram});
    CPPUNIT_ASSERT(Found.Delivered.at(0) == Ack);
    CPPUNIT_ASSERT(Found.Frames.at(0).first.Kind == FrameKind::Held);
    const auto Held = std::get<SendFrame>(Found.All[0]);
    react(W, 0, FrameReceived{agentAt(1), Held.Datagram});
    CPPUNIT_ASSERT(W.Agents[0].S->Probes.empty());
    W.Earlier.clear();
    const Bytes Second = wire::buildEmptyMessage(CoapType::Reset, 600);
    CPPUNIT_ASSERT(give(W, 0, Second).Frames.at(0).second == agentAt(1));
  }

  /// Guards against a flood of probes, and against a block that is never
  /// answered because no agent holds its transfer.
  void probesAreLimitedAndEnd() {
    World W;
    const Ask Block{
        .Code = wire::code::Get, .Path = "sheet", .Payload = "", .Block2 = 2};
    W.Earlier = {upstreamId(1)};
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         give(W, 0, build(Block)).Frames.size());
    W.Now += ProbeWait;
    const Reaction Wider = react(W, 0, TimerFired{});
    CPPUNIT_ASSERT(Wider.Frames.at(0).second == agentAt(2));
    W.Now += ProbeWait;
    const Reaction Ended = react(W, 0, TimerFired{});
    CPPUNIT_ASSERT_EQUAL(wire::code::EntityIncomplete, Ended.code());
    const auto Whole = W.Agents[0].S->Promises[control::Promise::WholeAnswers];
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, Whole.Broken);
    for (std::uint16_t At = 0; At < 2 * ProbesPerSecond; ++At)
      give(W, 0, wire::buildEmptyMessage(CoapType::Reset, At));
    CPPUNIT_ASSERT(drops(W, 0, DropReason::RateLimited) >= ProbesPerSecond);
    CPPUNIT_ASSERT(W.Agents[0].S->Probes.size() <= MaxPendingProbes);
  }

  /// Guards against a caller that waits for ever, and against a late response
  /// that is taken for the response to a newer request.
  void deadlineCancelsAndDropsLateAnswers() {
    World W;
    const Ask Permitted = permitted(W, 0, {});
    const Reaction Ran = give(W, 0, build(Permitted));
    W.Now += 10s;
    const Reaction Ended = react(W, 0, TimerFired{});
    CPPUNIT_ASSERT_EQUAL(std::string(UnknownPayload), Ended.payload());
    CPPUNIT_ASSERT(wire::parseCoap(Ended.Delivered.at(0))->Type ==
                   CoapType::Reset);
    const Reaction Late =
        upstreamSays(W, 0, Ran.Delivered[0], wire::code::Changed, "late");
    CPPUNIT_ASSERT(Late.Answers.empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, drops(W, 0, DropReason::LateAnswer));
    CPPUNIT_ASSERT_EQUAL(std::string(UnknownPayload),
                         give(W, 0, build(Permitted)).payload());
  }

  /// Guards against the answer to another request under a reused token.
  void crossedAnswersAreDropped() {
    World W;
    const Reaction First = give(W, 0, build(getFor(1, 1)));
    CPPUNIT_ASSERT_EQUAL(wire::code::ServiceUnavailable,
                         give(W, 0, build(getFor(1, 2))).code());
    const Bytes Crossed = build(getFor(1, 2));
    CPPUNIT_ASSERT(
        upstreamSays(W, 0, Crossed, wire::code::Content, "b").Answers.empty());
    CPPUNIT_ASSERT_EQUAL(
        std::string("a"),
        upstreamSays(W, 0, First.Delivered[0], wire::code::Content, "a")
            .payload());
  }

  /// Guards against a body that is put together from two uploads.
  void lateBlockIsNotSplicedIntoTheNextUpload() {
    World W;
    Ask Block{.Payload = std::string(16, 'a'), .Block1 = 0, .More = true};
    const Ask Next{.Payload = std::string(16, 'b'),
                   .Mid = 50,
                   .Token = 5,
                   .Block1 = 1,
                   .More = true};
    const Ask First = permitted(W, 0, Block);
    const Reaction Ran = give(W, 0, build(First));
    upstreamSays(W, 0, Ran.Delivered[0], wire::code::Continue, "");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         give(W, 0, build(Next)).Delivered.size());
    Block.Payload = std::string(16, 'c');
    Block.Token = 6;
    const Ask Second = permitted(W, 0, Block);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         give(W, 0, build(Second)).Delivered.size());
    const Reaction Late = give(W, 0, build(Next));
    CPPUNIT_ASSERT(Late.Delivered.empty());
    Ask Skipped = Next;
    Skipped.Block1 = 3;
    CPPUNIT_ASSERT_EQUAL(wire::code::EntityIncomplete,
                         give(W, 0, build(Skipped)).code());
  }

  /// Guards against new work for a leaving upstream from an entry host that
  /// missed the update, and against lines that a drain breaks.
  void drainingKeepsLinesAndMovesNewWork() {
    World W;
    W.Config.Upstreams[upstreamId(0)].Phase = control::UpstreamPhase::Draining;
    W.configure();
    const Reaction New = give(W, 0, build(getFor(1, 1)));
    CPPUNIT_ASSERT(New.Delivered.empty());
    CPPUNIT_ASSERT(New.Frames.at(0).first.Kind == FrameKind::Relay);
    const Reaction Post = give(W, 0, build({}));
    CPPUNIT_ASSERT(Post.Delivered.empty() && Post.Answers.empty());
    Ask Line = getFor(2, 2);
    Line.Path = "~1.10/lists";
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         give(W, 0, build(Line)).Delivered.size());
    Ask Work{.Path = "~1.10/orders", .Token = 8};
    Work = permitted(W, 0, Work);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         give(W, 0, build(Work)).Delivered.size());
  }

  /// Guards against answers that are sent to a dead entry host.
  void deadEntryHostIsAvoided() {
    World W;
    const Reaction Sent = give(W, 0, build(getFor(1, 1)));
    W.Config.Entries["entry0"].Alive = false;
    W.configure();
    const Reaction Answer =
        upstreamSays(W, 0, Sent.Delivered[0], wire::code::Content, "a");
    CPPUNIT_ASSERT(std::get<SendFrame>(Answer.All.at(0)).To == entryAt(1));
  }

  /// Guards against an agent that keeps taking work for a dead upstream.
  void closedUpstreamIsReported() {
    World W;
    give(W, 0, build(getFor(1, 1)));
    const FlowId Of = findFlow(W.Agents[0].S->Flows, CallerAt)->Id;
    const Reaction First = react(W, 0, UpstreamRefused{Of});
    CPPUNIT_ASSERT_EQUAL(std::string(UnknownPayload), First.payload());
    react(W, 0, UpstreamRefused{Of});
    const Reaction Third = react(W, 0, UpstreamRefused{Of});
    CPPUNIT_ASSERT(std::holds_alternative<ReportUpstreamGone>(Third.All.at(0)));
    CPPUNIT_ASSERT(give(W, 0, build(getFor(2, 2))).Delivered.empty());
  }

  /// Guards against a stop that cuts off a request.
  void stopWaitsForRequestsInFlight() {
    World W;
    const Reaction Ran = give(W, 0, build(getFor(1, 1)));
    CPPUNIT_ASSERT(react(W, 0, StopRequested{}).All.empty());
    CPPUNIT_ASSERT(give(W, 0, build(getFor(2, 2))).Delivered.empty());
    upstreamSays(W, 0, Ran.Delivered[0], wire::code::Content, "a");
    const Reaction Over = react(W, 0, TimerFired{});
    const bool Reported =
        std::any_of(Over.All.begin(), Over.All.end(), [](const Effect &E) {
          return E == Effect(ReportStopped{0});
        });
    CPPUNIT_ASSERT(Reported);
  }

  /// Guards against memory that grows with the number of requests.
  void recordsAndAnswersAreBounded() {
    World W;
    State &S = *W.Agents[0].S;
    S.Records.Limits = {100, 1000};
    Ask Oldest;
    for (std::uint16_t At = 0; At < 100; ++At) {
      const Ask Each = permitted(W, 0, {.Mid = At, .Token = 1});
      const Reaction Ran = give(W, 0, build(Each));
      upstreamSays(W, 0, Ran.Delivered.at(0), wire::code::Changed,
                   std::string(100, 'a'));
      CPPUNIT_ASSERT(S.Records.AnswerBytes <= 1000);
      if (At == 0)
        Oldest = Each;
    }
    CPPUNIT_ASSERT_EQUAL(std::string(UnknownPayload),
                         give(W, 0, build(Oldest)).payload());
    const Ask Beyond = permitted(W, 0, {.Mid = 500});
    CPPUNIT_ASSERT(give(W, 0, build(Beyond)).Delivered.empty());
    W.Now += PermitLifetime;
    react(W, 0, TimerFired{});
    CPPUNIT_ASSERT(S.Records.ByNonce.empty() && S.Records.Uploads.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, S.Records.AnswerBytes);
  }

  /// Guards against memory that grows with the number of callers: at most 1 KB
  /// for each of 100,000 flows, and none beyond.
  void flowsAreBounded() {
    constexpr std::size_t Most = 100'000;
    constexpr std::size_t TargetBytesPerFlow = 1024;
    World W;
    State &S = *W.Agents[0].S;
    S.Flows.MaxFlows = Most;
    const std::size_t Before = mallinfo2().uordblks;
    const Bytes Request = build(getFor(1, 1));
    std::size_t Closed = 0;
    for (std::uint32_t At = 0; At < Most + 1000; ++At) {
      const Reaction Ran =
          giveChanged(W, 0, Request, [&](wire::FrameHeader &H) {
            H.Caller = {0x0B000000U + At, 4000};
          });
      Closed += std::holds_alternative<CloseFlow>(Ran.All.at(0)) ? 1 : 0;
      const CoapMessage Asked = wire::parseCoap(Request).value();
      const Bytes Answer = buildCoap(makeResponse(Asked, 0x45, 0)).value();
      react(W, 0, UpstreamReceived{FlowId{S.Flows.LastId}, Answer});
    }
    CPPUNIT_ASSERT_EQUAL(Most, S.Flows.ByCaller.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1000}, Closed);
    const std::size_t After = mallinfo2().uordblks;
    CPPUNIT_ASSERT(After - Before <= Most * TargetBytesPerFlow);
    W.Now += PlainFlowIdleLimit;
    react(W, 0, TimerFired{});
    CPPUNIT_ASSERT(S.Flows.ByCaller.empty());
  }

  /// Guards against a successor that serves with part of the records.
  void damagedHandoverIsRefused() {
    World W;
    give(W, 0, build(permitted(W, 0, {})));
    const std::vector<Bytes> Parts = encodeHandover(*W.Agents[0].S, W.Now);
    CPPUNIT_ASSERT(give(W, 0, build(getFor(1, 1))).All.empty());
    CPPUNIT_ASSERT(Parts.size() > 3);
    for (std::size_t Missing = 0; Missing < Parts.size(); ++Missing) {
      State Next({}, {}, W.Now);
      HandoverProgress Progress;
      bool Refused = false;
      for (std::size_t At = 0; At < Parts.size(); ++At)
        if (At != Missing)
          Refused =
              Refused ||
              !applyHandoverPart(Next, Progress, Parts[At], W.Now).has_value();
      CPPUNIT_ASSERT(Refused || !Progress.Complete);
    }
    Bytes Cut = Parts[0];
    Cut.pop_back();
    State Next({}, {}, W.Now);
    HandoverProgress Progress;
    CPPUNIT_ASSERT(!applyHandoverPart(Next, Progress, Cut, W.Now));
  }

  /// \returns a confirmable response of the upstream to \p Request.
  static Bytes separate(const Bytes &Request, std::uint16_t MessageId,
                        bool Created) {
    const CoapMessage Asked = wire::parseCoap(Request).value();
    CoapMessage Out = makeResponse(
        Asked, Created ? wire::code::Created : wire::code::Changed, MessageId);
    Out.Type = CoapType::Confirmable;
    Out.MessageId = MessageId;
    if (Created)
      addOption(Out, wire::option::LocationPath, bytesOf("line"));
    return buildCoap(Out).value();
  }

  /// Guards against a session that stalls when the acknowledgement of a
  /// response is lost: libcoap 4.3.1 acknowledges a second copy only under
  /// another message id.
  void retransmissionsGetMessageIdsOfTheirOwn() {
    constexpr std::uint16_t UpstreamId = 321;
    World W;
    const Reaction Ran = give(W, 0, build(permitted(W, 0, {})));
    const FlowId Of = findFlow(W.Agents[0].S->Flows, CallerAt)->Id;
    const Bytes Response = separate(Ran.Delivered.at(0), UpstreamId, false);
    const Reaction First = react(W, 0, UpstreamReceived{Of, Response});
    CPPUNIT_ASSERT_EQUAL(UpstreamId,
                         wire::parseCoap(First.Answers.at(0))->MessageId);
    const Reaction Second = react(W, 0, UpstreamReceived{Of, Response});
    const auto Again = wire::parseCoap(Second.Answers.at(0)).value();
    CPPUNIT_ASSERT(UpstreamId != Again.MessageId);
    for (CoapType Type : {CoapType::Acknowledgement, CoapType::Reset}) {
      const Reaction Told =
          give(W, 0, wire::buildEmptyMessage(Type, Again.MessageId));
      const auto Sent = wire::parseCoap(Told.Delivered.at(0)).value();
      CPPUNIT_ASSERT(Type == Sent.Type);
      CPPUNIT_ASSERT_EQUAL(UpstreamId, Sent.MessageId);
    }
  }

  /// Guards against a caller that learns a line's path without its owner, from
  /// the second copy of the response that created it.
  void retransmittedCreationKeepsItsOwner() {
    World W;
    const Reaction Ran = give(W, 0, build(permitted(W, 0, {})));
    const FlowId Of = findFlow(W.Agents[0].S->Flows, CallerAt)->Id;
    const Bytes Response = separate(Ran.Delivered.at(0), 321, true);
    for (int Copy = 0; Copy < 2; ++Copy) {
      const Reaction Told = react(W, 0, UpstreamReceived{Of, Response});
      const auto Answer = wire::parseCoap(Told.Answers.at(0)).value();
      const auto Path = findOption(Answer, wire::option::LocationPath).value();
      CPPUNIT_ASSERT_EQUAL('~', textOf(Path).front());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AgentLogicTest);

} // namespace
