#include "agent_world.h"
#include <cppunit/extensions/HelperMacros.h>
#include <malloc.h>

using namespace jasminearch;
using namespace jasminearch::agent;
using namespace jasminearch::agent::test;
using wire::FrameKind;

namespace {

/// Effects of one event on an agent.
struct HandlerResult {
  /// Datagrams sent to the caller and to the upstream.
  std::vector<Bytes> Answers, Delivered;
  std::vector<std::pair<wire::FrameHeader, Endpoint>> Frames;
  Effects AllEffects;

  std::uint8_t code() const {
    return Answers.empty() ? std::uint8_t{0}
                           : wire::parseCoap(Answers.back())->Code;
  }
  std::string payload() const {
    return Answers.empty() ? ""
                           : textOf(wire::parseCoap(Answers.back())->Payload);
  }
};

HandlerResult handleEvent(AgentSimulation &Sim, std::size_t Index,
                          const Event &Input) {
  HandlerResult Out;
  State &AgentState = *Sim.Agents[Index].AgentState;
  Out.AllEffects = handle(AgentState, Input, Sim.Now);
  for (const Effect &Each : Out.AllEffects) {
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

HandlerResult deliverFromCaller(AgentSimulation &Sim, std::size_t Index,
                                const Bytes &Datagram) {
  return handleEvent(
      Sim, Index,
      FrameReceived{entryEndpoint(0), Sim.forwardFrame(Index, Datagram)});
}

/// Same as deliverFromCaller(), with a frame header changed by \p Modify.
template <typename Modifier>
HandlerResult deliverWithHeader(AgentSimulation &Sim, std::size_t Index,
                                const Bytes &Datagram, Modifier Modify) {
  const Bytes Frame = Sim.forwardFrame(Index, Datagram);
  wire::FrameHeader Header = wire::decodeFrame(Frame)->Header;
  Modify(Header);
  Bytes Out(Datagram.size() + 256);
  Out.resize(wire::encodeFrame(Header, Datagram, absl::MakeSpan(Out)).value());
  return handleEvent(Sim, Index, FrameReceived{agentEndpoint(7), Out});
}

struct RequestSpec {
  std::uint8_t Code = wire::code::Post;
  std::string Path = "orders";
  std::string Payload = "x";
  Bytes Echo = Bytes();
  std::uint16_t MessageId = 1;
  std::uint8_t Token = 1;
  int Observe = -1, Block1 = -1, Block2 = -1;
  bool More = false;
};

Bytes buildRequest(const RequestSpec &Spec) {
  CoapMessage Out;
  Out.Code = Spec.Code;
  Out.MessageId = Spec.MessageId;
  Out.RequestToken = {1, {Spec.Token}};
  const auto Observe = wire::encodeUint(static_cast<unsigned>(Spec.Observe));
  if (Spec.Observe >= 0)
    addOption(Out, wire::option::Observe, Observe.span());
  const std::size_t Slash = Spec.Path.find('/');
  addOption(Out, wire::option::UriPath,
            bytesOf(std::string_view(Spec.Path).substr(0, Slash)));
  if (Slash != std::string::npos)
    addOption(Out, wire::option::UriPath,
              bytesOf(std::string_view(Spec.Path).substr(Slash + 1)));
  const auto Number =
      static_cast<std::uint32_t>(Spec.Block1 >= 0 ? Spec.Block1 : Spec.Block2);
  const auto Block = wire::encodeBlock({Number, Spec.More, 0});
  if (Spec.Block1 >= 0 || Spec.Block2 >= 0)
    addOption(Out,
              Spec.Block1 >= 0 ? wire::option::Block1 : wire::option::Block2,
              Block.span());
  if (!Spec.Echo.empty())
    addOption(Out, wire::option::Echo, Spec.Echo);
  Out.Payload = bytesOf(Spec.Payload);
  return buildCoap(Out).value();
}

RequestSpec getRequest(std::uint8_t Token, std::uint16_t MessageId) {
  return {.Code = wire::code::Get,
          .Path = "lists",
          .Payload = "",
          .MessageId = MessageId,
          .Token = Token};
}

/// \returns \p Spec with the permit that the agent issues for it.
RequestSpec withPermit(AgentSimulation &Sim, std::size_t Index,
                       RequestSpec Spec) {
  const HandlerResult First = deliverFromCaller(Sim, Index, buildRequest(Spec));
  CPPUNIT_ASSERT_EQUAL(wire::code::Unauthorized, First.code());
  CPPUNIT_ASSERT(First.Delivered.empty());
  const auto Answer = wire::parseCoap(First.Answers.back()).value();
  const auto Echo = findOption(Answer, wire::option::Echo).value();
  Spec.Echo.assign(Echo.begin(), Echo.end());
  Spec.MessageId += 1000;
  return Spec;
}

/// Sends the upstream's response to \p Request.
HandlerResult respondFromUpstream(AgentSimulation &Sim, std::size_t Index,
                                  const Bytes &Request, std::uint8_t Code,
                                  const std::string &Payload,
                                  const CoapMessage &Response = {}) {
  const auto Read = wire::parseCoap(Request).value();
  CoapMessage Out = makeResponse(Read, Code, 9);
  if (Response.Type != CoapType::Confirmable || Response.MessageId != 0)
    Out.Type = Response.Type, Out.MessageId = Response.MessageId;
  Out.Options = Response.Options;
  Out.Payload = bytesOf(Payload);
  const FlowId CallerFlowId =
      findFlow(Sim.Agents[Index].AgentState->Flows, CallerEndpoint)->Id;
  const Bytes Wire = buildCoap(Out).value();
  return handleEvent(Sim, Index, UpstreamReceived{CallerFlowId, Wire});
}

std::uint64_t dropCount(const AgentSimulation &Sim, std::size_t Index,
                        DropReason Reason) {
  return Sim.Agents[Index]
      .AgentState->Drops.ByReason[static_cast<std::size_t>(Reason)];
}

class AgentLogicTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AgentLogicTest);
  CPPUNIT_TEST(permittedRequestRunsOnce);
  CPPUNIT_TEST(recordComesBeforeDelivery);
  CPPUNIT_TEST(unusedPermitIsRefusedWhenItCannotRun);
  CPPUNIT_TEST(refusedStaysRefused);
  CPPUNIT_TEST(copyGetsStoredAnswer);
  CPPUNIT_TEST(lostRecordsGiveUnknownOutcome);
  CPPUNIT_TEST(expiredOrForgedPermitGivesUnknownOutcome);
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
  CPPUNIT_TEST(answersToOtherRequestsAreDropped);
  CPPUNIT_TEST(lateBlockIsNotAddedToTheNextUpload);
  CPPUNIT_TEST(drainingKeepsLinesAndMovesNewWork);
  CPPUNIT_TEST(deadEntryHostIsAvoided);
  CPPUNIT_TEST(closedUpstreamIsReported);
  CPPUNIT_TEST(stopWaitsForRequestsInFlight);
  CPPUNIT_TEST(recordsAndAnswersAreBounded);
  CPPUNIT_TEST(flowsAreBounded);
  CPPUNIT_TEST(incompleteHandoverIsRefused);
  CPPUNIT_TEST(retransmissionsGetNewMessageIds);
  CPPUNIT_TEST(retransmittedCreationKeepsOwnerSegment);
  CPPUNIT_TEST_SUITE_END();

  /// A copy of a request must never run again.
  void permittedRequestRunsOnce() {
    AgentSimulation Sim;
    const RequestSpec Permitted = withPermit(Sim, 0, {});
    const HandlerResult First =
        deliverFromCaller(Sim, 0, buildRequest(Permitted));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, First.Delivered.size());
    CPPUNIT_ASSERT(
        !findOption(*wire::parseCoap(First.Delivered[0]), wire::option::Echo));
    RequestSpec Copy = Permitted;
    CPPUNIT_ASSERT(
        deliverFromCaller(Sim, 0, buildRequest(Copy)).Delivered.empty());
    Copy.MessageId = 77;
    Copy.Token = 9;
    const HandlerResult Second = deliverFromCaller(Sim, 0, buildRequest(Copy));
    CPPUNIT_ASSERT(Second.Delivered.empty() && Second.Answers.empty());
  }

  /// A request must be recorded before it is delivered. Otherwise a copy would
  /// run again if the agent stopped in between.
  void recordComesBeforeDelivery() {
    AgentSimulation Sim;
    const RequestSpec Permitted = withPermit(Sim, 0, {});
    Sim.Agents[0].AgentState->Records.Limits.MaxRecords = 0;
    const HandlerResult Full =
        deliverFromCaller(Sim, 0, buildRequest(Permitted));
    CPPUNIT_ASSERT(Full.Delivered.empty());
    CPPUNIT_ASSERT_EQUAL(std::string(UnknownPayload), Full.payload());
  }

  /// A request must not start on a draining or full upstream or after its
  /// deadline, and its refusal must say "not run".
  void unusedPermitIsRefusedWhenItCannotRun() {
    for (int Reason = 0; Reason < 3; ++Reason) {
      AgentSimulation Sim(1, Reason == 1 ? 1 : 4);
      const RequestSpec Permitted = withPermit(Sim, 0, {});
      if (Reason == 0)
        Sim.Agents[0].AgentState->Draining = true;
      if (Reason == 1)
        deliverFromCaller(Sim, 0, buildRequest(getRequest(5, 5)));
      if (Reason == 2)
        Sim.Now += 11s;
      const HandlerResult Reply =
          deliverFromCaller(Sim, 0, buildRequest(Permitted));
      CPPUNIT_ASSERT(Reply.Delivered.empty());
      CPPUNIT_ASSERT_EQUAL(wire::code::ServiceUnavailable, Reply.code());
      CPPUNIT_ASSERT_EQUAL(std::string(NotRunPayload), Reply.payload());
      CPPUNIT_ASSERT(
          uintOption(*wire::parseCoap(Reply.Answers[0]), wire::option::MaxAge));
    }
  }

  /// A late copy must not run after its caller was told "not run".
  void refusedStaysRefused() {
    AgentSimulation Sim;
    const RequestSpec Permitted = withPermit(Sim, 0, {});
    Sim.Agents[0].AgentState->Draining = true;
    deliverFromCaller(Sim, 0, buildRequest(Permitted));
    Sim.Agents[0].AgentState->Draining = false;
    Sim.restart(0, true);
    const HandlerResult Late =
        deliverFromCaller(Sim, 0, buildRequest(Permitted));
    CPPUNIT_ASSERT(Late.Delivered.empty());
    CPPUNIT_ASSERT_EQUAL(std::string(NotRunPayload), Late.payload());
    Sim.Now += PermitLifetime;
    handleEvent(Sim, 0, TimerFired{});
    const HandlerResult Expired =
        deliverFromCaller(Sim, 0, buildRequest(Permitted));
    CPPUNIT_ASSERT(Expired.Delivered.empty());
  }

  /// If an answer is lost, the caller must get it again with a copy of its
  /// request.
  void copyGetsStoredAnswer() {
    AgentSimulation Sim;
    const RequestSpec Permitted = withPermit(Sim, 0, {});
    const HandlerResult Ran =
        deliverFromCaller(Sim, 0, buildRequest(Permitted));
    respondFromUpstream(Sim, 0, Ran.Delivered[0], wire::code::Changed, "ok");
    RequestSpec Copy = Permitted;
    Copy.MessageId = 4321;
    Copy.Token = 42;
    const HandlerResult Again = deliverFromCaller(Sim, 0, buildRequest(Copy));
    CPPUNIT_ASSERT(Again.Delivered.empty());
    CPPUNIT_ASSERT_EQUAL(std::string("ok"), Again.payload());
    const auto Read = wire::parseCoap(Again.Answers[0]).value();
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{4321}, Read.MessageId);
    CPPUNIT_ASSERT_EQUAL(std::uint8_t{42}, Read.RequestToken.Octets[0]);
  }

  /// After an agent has lost its records, a copy must neither run again nor be
  /// answered "not run".
  void lostRecordsGiveUnknownOutcome() {
    AgentSimulation Sim;
    const RequestSpec Permitted = withPermit(Sim, 0, {});
    deliverFromCaller(Sim, 0, buildRequest(Permitted));
    Sim.restart(0, false);
    for (const std::size_t Index : {0, 1}) {
      const HandlerResult Reply =
          deliverFromCaller(Sim, Index, buildRequest(Permitted));
      CPPUNIT_ASSERT(Reply.Delivered.empty() && Reply.Frames.empty());
      CPPUNIT_ASSERT_EQUAL(wire::code::GatewayTimeout, Reply.code());
      CPPUNIT_ASSERT_EQUAL(std::string(UnknownPayload), Reply.payload());
    }
  }

  /// A permit must not outlive its record, and a forged permit must be
  /// rejected.
  void expiredOrForgedPermitGivesUnknownOutcome() {
    AgentSimulation Sim;
    RequestSpec Permitted = withPermit(Sim, 0, {});
    RequestSpec Forged = Permitted;
    Forged.Echo[20] ^= 1U;
    CPPUNIT_ASSERT_EQUAL(
        std::string(UnknownPayload),
        deliverFromCaller(Sim, 0, buildRequest(Forged)).payload());
    Sim.Now += PermitLifetime;
    const HandlerResult Reply =
        deliverFromCaller(Sim, 0, buildRequest(Permitted));
    CPPUNIT_ASSERT(Reply.Delivered.empty());
    CPPUNIT_ASSERT_EQUAL(std::string(UnknownPayload), Reply.payload());
  }

  /// A request must only run at the agent that its permit names.
  void permitOfAnotherAgentIsRelayed() {
    AgentSimulation Sim;
    const RequestSpec Permitted = withPermit(Sim, 1, {});
    const HandlerResult Passed =
        deliverFromCaller(Sim, 0, buildRequest(Permitted));
    CPPUNIT_ASSERT(Passed.Delivered.empty() && Passed.Answers.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Passed.Frames.size());
    CPPUNIT_ASSERT(Passed.Frames[0].second == agentEndpoint(1));
    CPPUNIT_ASSERT(Passed.Frames[0].first.Kind == FrameKind::Relay);
    CPPUNIT_ASSERT(Passed.Frames[0].first.Instance == (Incarnation{11}));
    const auto Frame = std::get<SendFrame>(Passed.AllEffects[0]);
    CPPUNIT_ASSERT_EQUAL(
        std::size_t{1},
        handleEvent(Sim, 1, FrameReceived{agentEndpoint(0), Frame.Datagram})
            .Delivered.size());
  }

  /// A client may attach a used Echo value to its next request. It must not get
  /// the response to the earlier request.
  void usedEchoOnAnotherRequestGetsItsOwnPermit() {
    AgentSimulation Sim;
    RequestSpec Permitted = withPermit(Sim, 0, {});
    const HandlerResult Ran =
        deliverFromCaller(Sim, 0, buildRequest(Permitted));
    respondFromUpstream(Sim, 0, Ran.Delivered[0], wire::code::Changed, "ok");
    Permitted.Payload = "another";
    Permitted.MessageId = 8;
    const HandlerResult Other =
        deliverFromCaller(Sim, 0, buildRequest(Permitted));
    CPPUNIT_ASSERT_EQUAL(wire::code::Unauthorized, Other.code());
    CPPUNIT_ASSERT(Other.Delivered.empty());
  }

  /// A request that the network duplicated must not get two permits.
  void duplicatesShareAPermit() {
    AgentSimulation Sim;
    const HandlerResult First = deliverFromCaller(Sim, 0, buildRequest({}));
    Sim.Now += 100s;
    CPPUNIT_ASSERT(First.Answers ==
                   deliverFromCaller(Sim, 0, buildRequest({})).Answers);
    Sim.Now += 200s;
    CPPUNIT_ASSERT(First.Answers !=
                   deliverFromCaller(Sim, 0, buildRequest({})).Answers);
  }

  /// A line must survive a move of its bucket, and a caller must be told if the
  /// owner of its line is gone.
  void ownedPathIsRelayedOrStripped() {
    AgentSimulation Sim;
    RequestSpec Line = getRequest(3, 3);
    Line.Path = "~1.10/lists";
    const HandlerResult Local = deliverFromCaller(Sim, 0, buildRequest(Line));
    CPPUNIT_ASSERT(firstPathSegment(*wire::parseCoap(Local.Delivered.at(0))) ==
                   "lists");
    const HandlerResult Relayed = deliverFromCaller(Sim, 1, buildRequest(Line));
    CPPUNIT_ASSERT(Relayed.Frames.at(0).second == agentEndpoint(0));
    CPPUNIT_ASSERT(Relayed.Delivered.empty());
    Sim.restart(0, false);
    CPPUNIT_ASSERT_EQUAL(wire::code::NotFound,
                         deliverFromCaller(Sim, 1, buildRequest(Line)).code());
    CPPUNIT_ASSERT_EQUAL(wire::code::NotFound,
                         deliverFromCaller(Sim, 0, buildRequest(Line)).code());
    const auto &Lines =
        Sim.Agents[0].AgentState->Promises[control::Promise::LinesSurvive];
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, Lines.Broken);
    CPPUNIT_ASSERT(!Lines.Evidence.empty());
  }

  /// A frame for another upstream or incarnation must not be delivered to the
  /// upstream that now uses its address.
  void wrongTargetsAreDropped() {
    AgentSimulation Sim;
    const Bytes Request = buildRequest(getRequest(1, 1));
    const auto Dropped = [&](auto Modify) {
      const HandlerResult Reply = deliverWithHeader(Sim, 0, Request, Modify);
      return Reply.AllEffects.empty();
    };
    using Header = wire::FrameHeader;
    CPPUNIT_ASSERT(Dropped([](Header &H) { H.Service = {2}; }));
    CPPUNIT_ASSERT(Dropped([](Header &H) { H.Upstream = {2}; }));
    CPPUNIT_ASSERT(Dropped([](Header &H) { H.Instance = {9}; }));
    CPPUNIT_ASSERT(Dropped([](Header &H) { H.Instance = {11}; }));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4},
                         dropCount(Sim, 0, DropReason::WrongTarget));
    CPPUNIT_ASSERT(!Dropped([](Header &) {}));
  }

  /// An agent that is newer than the configuration in force must not be
  /// reported as gone.
  void staleConfigurationDoesNotDeclareOwnersGone() {
    AgentSimulation Sim;
    RequestSpec Line = getRequest(3, 3);
    Line.Path = "~9.5000/lists";
    CPPUNIT_ASSERT(
        deliverFromCaller(Sim, 0, buildRequest(Line)).AllEffects.empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                         dropCount(Sim, 0, DropReason::StaleConfiguration));
    Line.Path = "~9.50/lists";
    CPPUNIT_ASSERT_EQUAL(wire::code::NotFound,
                         deliverFromCaller(Sim, 0, buildRequest(Line)).code());
  }

  /// A full upstream must not get work while a sibling is idle, and an
  /// offloaded request must not be offloaded again.
  void offloadsToTheLessLoadedSibling() {
    AgentSimulation Sim(3, 2);
    const auto ReportLoad = [&](std::size_t Sibling, std::uint32_t InFlight) {
      wire::FrameHeader Header;
      Header.Kind = FrameKind::Load;
      Header.Service = {1};
      Header.Upstream = upstreamId(Sibling);
      Header.Instance = {Sibling + 10};
      Bytes Out(300);
      const Bytes Report = encodeLoad({InFlight, 0, 2, false});
      Out.resize(
          wire::encodeFrame(Header, Report, absl::MakeSpan(Out)).value());
      handleEvent(Sim, 0, FrameReceived{agentEndpoint(Sibling), Out});
    };
    ReportLoad(1, 1);
    ReportLoad(2, 0);
    deliverFromCaller(Sim, 0, buildRequest(getRequest(1, 1)));
    deliverFromCaller(Sim, 0, buildRequest(getRequest(2, 2)));
    for (std::uint8_t Index = 3; Index < 13; ++Index) {
      const HandlerResult Moved =
          deliverFromCaller(Sim, 0, buildRequest(getRequest(Index, Index)));
      CPPUNIT_ASSERT(Moved.Delivered.empty());
      CPPUNIT_ASSERT(Moved.Frames.at(0).second == agentEndpoint(2));
    }
    const HandlerResult Hopped =
        deliverWithHeader(Sim, 0, buildRequest(getRequest(20, 20)),
                          [](wire::FrameHeader &H) { H.Hops = 1; });
    CPPUNIT_ASSERT(Hopped.Frames.empty());
    CPPUNIT_ASSERT_EQUAL(wire::code::ServiceUnavailable, Hopped.code());
    ReportLoad(1, 2);
    ReportLoad(2, 2);
    CPPUNIT_ASSERT_EQUAL(
        wire::code::ServiceUnavailable,
        deliverFromCaller(Sim, 0, buildRequest(getRequest(21, 21))).code());
  }

  /// Datagrams must not circulate between agents.
  void hopLimitEndsRelays() {
    AgentSimulation Sim;
    RequestSpec Line = getRequest(3, 3);
    Line.Path = "~2.11/lists";
    const HandlerResult Ended =
        deliverWithHeader(Sim, 0, buildRequest(Line),
                          [](wire::FrameHeader &H) { H.Hops = MaxHops; });
    CPPUNIT_ASSERT(Ended.AllEffects.empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                         dropCount(Sim, 0, DropReason::HopLimit));
  }

  /// An acknowledgement or a Reset must reach the agent whose upstream awaits
  /// it.
  void probesFindTheHolder() {
    AgentSimulation Sim;
    Sim.EarlierOwners = {upstreamId(1)};
    const RequestSpec Feed{
        .Code = wire::code::Get, .Path = "feed", .Payload = "", .Observe = 0};
    const HandlerResult Opened = deliverFromCaller(Sim, 1, buildRequest(Feed));
    CoapMessage Response;
    Response.Type = CoapType::Confirmable;
    Response.MessageId = 600;
    addOption(Response, wire::option::Observe, {});
    respondFromUpstream(Sim, 1, Opened.Delivered[0], wire::code::Content, "f",
                        Response);
    const Bytes Ack = wire::buildEmptyMessage(CoapType::Acknowledgement, 600);
    const HandlerResult Asked = deliverFromCaller(Sim, 0, Ack);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Asked.Frames.size());
    CPPUNIT_ASSERT(Asked.Frames[0].first.Kind == FrameKind::Probe);
    CPPUNIT_ASSERT(Asked.Frames[0].second == agentEndpoint(1));
    const auto Probe = std::get<SendFrame>(Asked.AllEffects[0]);
    const HandlerResult Found =
        handleEvent(Sim, 1, FrameReceived{agentEndpoint(0), Probe.Datagram});
    CPPUNIT_ASSERT(Found.Delivered.at(0) == Ack);
    CPPUNIT_ASSERT(Found.Frames.at(0).first.Kind == FrameKind::Held);
    const auto Held = std::get<SendFrame>(Found.AllEffects[0]);
    handleEvent(Sim, 0, FrameReceived{agentEndpoint(1), Held.Datagram});
    CPPUNIT_ASSERT(Sim.Agents[0].AgentState->Probes.empty());
    Sim.EarlierOwners.clear();
    const Bytes Second = wire::buildEmptyMessage(CoapType::Reset, 600);
    CPPUNIT_ASSERT(deliverFromCaller(Sim, 0, Second).Frames.at(0).second ==
                   agentEndpoint(1));
  }

  /// The rate of probes must be limited, and a block must be answered even if
  /// no agent holds its transfer.
  void probesAreLimitedAndEnd() {
    AgentSimulation Sim;
    const RequestSpec Block{
        .Code = wire::code::Get, .Path = "sheet", .Payload = "", .Block2 = 2};
    Sim.EarlierOwners = {upstreamId(1)};
    CPPUNIT_ASSERT_EQUAL(
        std::size_t{1},
        deliverFromCaller(Sim, 0, buildRequest(Block)).Frames.size());
    Sim.Now += ProbeTimeout;
    const HandlerResult Wider = handleEvent(Sim, 0, TimerFired{});
    CPPUNIT_ASSERT(Wider.Frames.at(0).second == agentEndpoint(2));
    Sim.Now += ProbeTimeout;
    const HandlerResult Ended = handleEvent(Sim, 0, TimerFired{});
    CPPUNIT_ASSERT_EQUAL(wire::code::EntityIncomplete, Ended.code());
    const auto Whole =
        Sim.Agents[0].AgentState->Promises[control::Promise::WholeAnswers];
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, Whole.Broken);
    for (std::uint16_t Index = 0; Index < 2 * ProbesPerSecond; ++Index)
      deliverFromCaller(Sim, 0,
                        wire::buildEmptyMessage(CoapType::Reset, Index));
    CPPUNIT_ASSERT(dropCount(Sim, 0, DropReason::RateLimited) >=
                   ProbesPerSecond);
    CPPUNIT_ASSERT(Sim.Agents[0].AgentState->Probes.size() <= MaxPendingProbes);
  }

  /// A caller must get an outcome at the deadline, and a late response must not
  /// be taken for the response to a newer request.
  void deadlineCancelsAndDropsLateAnswers() {
    AgentSimulation Sim;
    const RequestSpec Permitted = withPermit(Sim, 0, {});
    const HandlerResult Ran =
        deliverFromCaller(Sim, 0, buildRequest(Permitted));
    Sim.Now += 10s;
    const HandlerResult Ended = handleEvent(Sim, 0, TimerFired{});
    CPPUNIT_ASSERT_EQUAL(std::string(UnknownPayload), Ended.payload());
    CPPUNIT_ASSERT(wire::parseCoap(Ended.Delivered.at(0))->Type ==
                   CoapType::Reset);
    const HandlerResult Late = respondFromUpstream(Sim, 0, Ran.Delivered[0],
                                                   wire::code::Changed, "late");
    CPPUNIT_ASSERT(Late.Answers.empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                         dropCount(Sim, 0, DropReason::LateAnswer));
    CPPUNIT_ASSERT_EQUAL(
        std::string(UnknownPayload),
        deliverFromCaller(Sim, 0, buildRequest(Permitted)).payload());
  }

  /// A caller must not get the answer to another request with the same token.
  void answersToOtherRequestsAreDropped() {
    AgentSimulation Sim;
    const HandlerResult First =
        deliverFromCaller(Sim, 0, buildRequest(getRequest(1, 1)));
    CPPUNIT_ASSERT_EQUAL(
        wire::code::ServiceUnavailable,
        deliverFromCaller(Sim, 0, buildRequest(getRequest(1, 2))).code());
    const Bytes Crossed = buildRequest(getRequest(1, 2));
    CPPUNIT_ASSERT(
        respondFromUpstream(Sim, 0, Crossed, wire::code::Content, "b")
            .Answers.empty());
    CPPUNIT_ASSERT_EQUAL(std::string("a"),
                         respondFromUpstream(Sim, 0, First.Delivered[0],
                                             wire::code::Content, "a")
                             .payload());
  }

  /// A body must not contain blocks of two uploads.
  void lateBlockIsNotAddedToTheNextUpload() {
    AgentSimulation Sim;
    RequestSpec Block{
        .Payload = std::string(16, 'a'), .Block1 = 0, .More = true};
    const RequestSpec Next{.Payload = std::string(16, 'b'),
                           .MessageId = 50,
                           .Token = 5,
                           .Block1 = 1,
                           .More = true};
    const RequestSpec First = withPermit(Sim, 0, Block);
    const HandlerResult Ran = deliverFromCaller(Sim, 0, buildRequest(First));
    respondFromUpstream(Sim, 0, Ran.Delivered[0], wire::code::Continue, "");
    CPPUNIT_ASSERT_EQUAL(
        std::size_t{1},
        deliverFromCaller(Sim, 0, buildRequest(Next)).Delivered.size());
    Block.Payload = std::string(16, 'c');
    Block.Token = 6;
    const RequestSpec Second = withPermit(Sim, 0, Block);
    CPPUNIT_ASSERT_EQUAL(
        std::size_t{1},
        deliverFromCaller(Sim, 0, buildRequest(Second)).Delivered.size());
    const HandlerResult Late = deliverFromCaller(Sim, 0, buildRequest(Next));
    CPPUNIT_ASSERT(Late.Delivered.empty());
    RequestSpec Skipped = Next;
    Skipped.Block1 = 3;
    CPPUNIT_ASSERT_EQUAL(
        wire::code::EntityIncomplete,
        deliverFromCaller(Sim, 0, buildRequest(Skipped)).code());
  }

  /// A draining upstream must not get new work from an entry host with an
  /// outdated configuration, and a drain must not break lines.
  void drainingKeepsLinesAndMovesNewWork() {
    AgentSimulation Sim;
    Sim.Config.Upstreams[upstreamId(0)].Phase =
        control::UpstreamPhase::Draining;
    Sim.publishConfiguration();
    const HandlerResult New =
        deliverFromCaller(Sim, 0, buildRequest(getRequest(1, 1)));
    CPPUNIT_ASSERT(New.Delivered.empty());
    CPPUNIT_ASSERT(New.Frames.at(0).first.Kind == FrameKind::Relay);
    const HandlerResult Post = deliverFromCaller(Sim, 0, buildRequest({}));
    CPPUNIT_ASSERT(Post.Delivered.empty() && Post.Answers.empty());
    RequestSpec Line = getRequest(2, 2);
    Line.Path = "~1.10/lists";
    CPPUNIT_ASSERT_EQUAL(
        std::size_t{1},
        deliverFromCaller(Sim, 0, buildRequest(Line)).Delivered.size());
    RequestSpec Work{.Path = "~1.10/orders", .Token = 8};
    Work = withPermit(Sim, 0, Work);
    CPPUNIT_ASSERT_EQUAL(
        std::size_t{1},
        deliverFromCaller(Sim, 0, buildRequest(Work)).Delivered.size());
  }

  /// Answers must not be sent to an entry host that isn't alive.
  void deadEntryHostIsAvoided() {
    AgentSimulation Sim;
    const HandlerResult Sent =
        deliverFromCaller(Sim, 0, buildRequest(getRequest(1, 1)));
    Sim.Config.Entries["entry0"].Alive = false;
    Sim.publishConfiguration();
    const HandlerResult Answer = respondFromUpstream(Sim, 0, Sent.Delivered[0],
                                                     wire::code::Content, "a");
    CPPUNIT_ASSERT(std::get<SendFrame>(Answer.AllEffects.at(0)).To ==
                   entryEndpoint(1));
  }

  /// An agent must report a closed upstream and stop accepting work for it.
  void closedUpstreamIsReported() {
    AgentSimulation Sim;
    deliverFromCaller(Sim, 0, buildRequest(getRequest(1, 1)));
    const FlowId CallerFlowId =
        findFlow(Sim.Agents[0].AgentState->Flows, CallerEndpoint)->Id;
    const HandlerResult First =
        handleEvent(Sim, 0, UpstreamRefused{CallerFlowId});
    CPPUNIT_ASSERT_EQUAL(std::string(UnknownPayload), First.payload());
    handleEvent(Sim, 0, UpstreamRefused{CallerFlowId});
    const HandlerResult Third =
        handleEvent(Sim, 0, UpstreamRefused{CallerFlowId});
    CPPUNIT_ASSERT(
        std::holds_alternative<ReportUpstreamGone>(Third.AllEffects.at(0)));
    CPPUNIT_ASSERT(deliverFromCaller(Sim, 0, buildRequest(getRequest(2, 2)))
                       .Delivered.empty());
  }

  /// A stop must wait for requests in flight.
  void stopWaitsForRequestsInFlight() {
    AgentSimulation Sim;
    const HandlerResult Ran =
        deliverFromCaller(Sim, 0, buildRequest(getRequest(1, 1)));
    CPPUNIT_ASSERT(handleEvent(Sim, 0, StopRequested{}).AllEffects.empty());
    CPPUNIT_ASSERT(deliverFromCaller(Sim, 0, buildRequest(getRequest(2, 2)))
                       .Delivered.empty());
    respondFromUpstream(Sim, 0, Ran.Delivered[0], wire::code::Content, "a");
    const HandlerResult Over = handleEvent(Sim, 0, TimerFired{});
    const bool Reported = std::any_of(
        Over.AllEffects.begin(), Over.AllEffects.end(),
        [](const Effect &E) { return E == Effect(ReportStopped{0}); });
    CPPUNIT_ASSERT(Reported);
  }

  /// Memory must not grow without bound with the number of requests.
  void recordsAndAnswersAreBounded() {
    AgentSimulation Sim;
    State &AgentState = *Sim.Agents[0].AgentState;
    AgentState.Records.Limits = {100, 1000};
    RequestSpec Oldest;
    for (std::uint16_t Index = 0; Index < 100; ++Index) {
      const RequestSpec Each =
          withPermit(Sim, 0, {.MessageId = Index, .Token = 1});
      const HandlerResult Ran = deliverFromCaller(Sim, 0, buildRequest(Each));
      respondFromUpstream(Sim, 0, Ran.Delivered.at(0), wire::code::Changed,
                          std::string(100, 'a'));
      CPPUNIT_ASSERT(AgentState.Records.AnswerBytes <= 1000);
      if (Index == 0)
        Oldest = Each;
    }
    CPPUNIT_ASSERT_EQUAL(
        std::string(UnknownPayload),
        deliverFromCaller(Sim, 0, buildRequest(Oldest)).payload());
    const RequestSpec Beyond = withPermit(Sim, 0, {.MessageId = 500});
    CPPUNIT_ASSERT(
        deliverFromCaller(Sim, 0, buildRequest(Beyond)).Delivered.empty());
    Sim.Now += PermitLifetime;
    handleEvent(Sim, 0, TimerFired{});
    CPPUNIT_ASSERT(AgentState.Records.ByNonce.empty() &&
                   AgentState.Records.Uploads.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, AgentState.Records.AnswerBytes);
  }

  /// Memory must not grow without bound with the number of callers: at most 1
  /// KB for each of 100,000 flows, and no further flows.
  void flowsAreBounded() {
    constexpr std::size_t MaxFlows = 100'000;
    constexpr std::size_t TargetBytesPerFlow = 1024;
    AgentSimulation Sim;
    State &AgentState = *Sim.Agents[0].AgentState;
    AgentState.Flows.MaxFlows = MaxFlows;
    const std::size_t Before = mallinfo2().uordblks;
    const Bytes Request = buildRequest(getRequest(1, 1));
    std::size_t Closed = 0;
    for (std::uint32_t Index = 0; Index < MaxFlows + 1000; ++Index) {
      const HandlerResult Ran =
          deliverWithHeader(Sim, 0, Request, [&](wire::FrameHeader &H) {
            H.Caller = {0x0B000000U + Index, 4000};
          });
      Closed += std::holds_alternative<CloseFlow>(Ran.AllEffects.at(0)) ? 1 : 0;
      const CoapMessage Asked = wire::parseCoap(Request).value();
      const Bytes Answer = buildCoap(makeResponse(Asked, 0x45, 0)).value();
      handleEvent(Sim, 0,
                  UpstreamReceived{FlowId{AgentState.Flows.LastId}, Answer});
    }
    CPPUNIT_ASSERT_EQUAL(MaxFlows, AgentState.Flows.ByCaller.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1000}, Closed);
    const std::size_t After = mallinfo2().uordblks;
    CPPUNIT_ASSERT(After - Before <= MaxFlows * TargetBytesPerFlow);
    Sim.Now += PlainFlowIdleLimit;
    handleEvent(Sim, 0, TimerFired{});
    CPPUNIT_ASSERT(AgentState.Flows.ByCaller.empty());
  }

  /// A successor must not use an incomplete set of records.
  void incompleteHandoverIsRefused() {
    AgentSimulation Sim;
    deliverFromCaller(Sim, 0, buildRequest(withPermit(Sim, 0, {})));
    const std::vector<Bytes> Parts =
        encodeHandover(*Sim.Agents[0].AgentState, Sim.Now);
    CPPUNIT_ASSERT(deliverFromCaller(Sim, 0, buildRequest(getRequest(1, 1)))
                       .AllEffects.empty());
    CPPUNIT_ASSERT(Parts.size() > 3);
    for (std::size_t Missing = 0; Missing < Parts.size(); ++Missing) {
      State Next({}, {}, Sim.Now);
      HandoverProgress Progress;
      bool Refused = false;
      for (std::size_t Index = 0; Index < Parts.size(); ++Index)
        if (Index != Missing)
          Refused = Refused ||
                    !applyHandoverPart(Next, Progress, Parts[Index], Sim.Now)
                         .has_value();
      CPPUNIT_ASSERT(Refused || !Progress.Complete);
    }
    Bytes Cut = Parts[0];
    Cut.pop_back();
    State Next({}, {}, Sim.Now);
    HandoverProgress Progress;
    CPPUNIT_ASSERT(!applyHandoverPart(Next, Progress, Cut, Sim.Now));
  }

  /// \returns a separate, confirmable response of the upstream to \p Request.
  static Bytes makeSeparateResponse(const Bytes &Request,
                                    std::uint16_t MessageId, bool Created) {
    const CoapMessage Asked = wire::parseCoap(Request).value();
    CoapMessage Out = makeResponse(
        Asked, Created ? wire::code::Created : wire::code::Changed, MessageId);
    Out.Type = CoapType::Confirmable;
    Out.MessageId = MessageId;
    if (Created)
      addOption(Out, wire::option::LocationPath, bytesOf("line"));
    return buildCoap(Out).value();
  }

  /// A session must not stall if the acknowledgement of a response is lost:
  /// libcoap 4.3.1 acknowledges a second copy only with a new message id.
  void retransmissionsGetNewMessageIds() {
    constexpr std::uint16_t UpstreamId = 321;
    AgentSimulation Sim;
    const HandlerResult Ran =
        deliverFromCaller(Sim, 0, buildRequest(withPermit(Sim, 0, {})));
    const FlowId CallerFlowId =
        findFlow(Sim.Agents[0].AgentState->Flows, CallerEndpoint)->Id;
    const Bytes Response =
        makeSeparateResponse(Ran.Delivered.at(0), UpstreamId, false);
    const HandlerResult First =
        handleEvent(Sim, 0, UpstreamReceived{CallerFlowId, Response});
    CPPUNIT_ASSERT_EQUAL(UpstreamId,
                         wire::parseCoap(First.Answers.at(0))->MessageId);
    const HandlerResult Second =
        handleEvent(Sim, 0, UpstreamReceived{CallerFlowId, Response});
    const auto Again = wire::parseCoap(Second.Answers.at(0)).value();
    CPPUNIT_ASSERT(UpstreamId != Again.MessageId);
    for (CoapType Type : {CoapType::Acknowledgement, CoapType::Reset}) {
      const HandlerResult Reply = deliverFromCaller(
          Sim, 0, wire::buildEmptyMessage(Type, Again.MessageId));
      const auto Sent = wire::parseCoap(Reply.Delivered.at(0)).value();
      CPPUNIT_ASSERT(Type == Sent.Type);
      CPPUNIT_ASSERT_EQUAL(UpstreamId, Sent.MessageId);
    }
  }

  /// The second copy of the response that created a line must contain the owner
  /// segment too.
  void retransmittedCreationKeepsOwnerSegment() {
    AgentSimulation Sim;
    const HandlerResult Ran =
        deliverFromCaller(Sim, 0, buildRequest(withPermit(Sim, 0, {})));
    const FlowId CallerFlowId =
        findFlow(Sim.Agents[0].AgentState->Flows, CallerEndpoint)->Id;
    const Bytes Response = makeSeparateResponse(Ran.Delivered.at(0), 321, true);
    for (int Copy = 0; Copy < 2; ++Copy) {
      const HandlerResult Reply =
          handleEvent(Sim, 0, UpstreamReceived{CallerFlowId, Response});
      const auto Answer = wire::parseCoap(Reply.Answers.at(0)).value();
      const auto Path = findOption(Answer, wire::option::LocationPath).value();
      CPPUNIT_ASSERT_EQUAL('~', textOf(Path).front());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AgentLogicTest);

} // namespace
