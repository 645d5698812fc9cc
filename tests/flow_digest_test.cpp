#include "flow_support.h"
#include "jasminearch/flow/flow_digest.h"
#include <cppunit/extensions/HelperMacros.h>

using namespace jasminearch;
using namespace jasminearch::flow;
using namespace jasminearch::flow::test;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t RunId = 7;

FlowKey flow(std::uint16_t Port) { return {caller(Port), ServiceAddress}; }

class FlowDigestTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FlowDigestTest);
  CPPUNIT_TEST(asksOnlyForNewFlows);
  CPPUNIT_TEST(isCompleteOnlyWithAllHashes);
  CPPUNIT_TEST(beginsAnewWithAnotherEpoch);
  CPPUNIT_TEST(ignoresAnswersToEarlierRequests);
  CPPUNIT_TEST(keepsTheDefaultAnswerUntilComplete);
  CPPUNIT_TEST(asksSilentAgentsRarely);
  CPPUNIT_TEST(refusesAnswersThatDoNotFitTogether);
  CPPUNIT_TEST(compactsTheLogOfAnAgent);
  CPPUNIT_TEST_SUITE_END();

  static void addFlows(FlowLog &Log, std::uint16_t First, std::uint16_t Last) {
    for (std::uint16_t Port = First; Port <= Last; ++Port)
      Log.Hashes.push_back(digestHash(flow(Port)));
  }

  /// Exchanges one request and its answer, over the wire formats.
  DigestProgress exchange(const FlowLog &Log, std::uint64_t Run = RunId) {
    const auto Request = decodeDigestRequest(
        encodeDigestRequest(requestDigest(D, ++LastId, Now)));
    const Bytes Encoded =
        encodeDigestAnswer(answerDigest(Log, Run, *Request, FlowPresence::No));
    LastAnswerBytes = Encoded.size();
    return mergeDigest(D, *decodeDigestAnswer(Encoded));
  }

  DigestMatch match(std::uint16_t Port, TimePoint Since) const {
    return matchDigest(D, digestHash(flow(Port)), Since);
  }

  FlowDigest D;
  TimePoint Now = TimePoint(1h);
  std::uint32_t LastId = 0;
  std::size_t LastAnswerBytes = 0;

public:
  /// Guards against digests whose bytes grow with the flows of an agent, and
  /// against a digest that answers for flows that were opened after it.
  void asksOnlyForNewFlows() {
    FlowLog Log;
    addFlows(Log, 1, 100);
    CPPUNIT_ASSERT(exchange(Log) == DigestProgress::Complete);
    CPPUNIT_ASSERT(match(1, Now) == DigestMatch::Listed);
    CPPUNIT_ASSERT(match(101, Now) == DigestMatch::NotListed);
    CPPUNIT_ASSERT(match(101, Now + 1us) == DigestMatch::Unknown);
    addFlows(Log, 101, 102);
    Now += 1s;
    CPPUNIT_ASSERT(exchange(Log) == DigestProgress::Complete);
    CPPUNIT_ASSERT_EQUAL(DigestHeaderBytes + 2 * DigestHashBytes,
                         LastAnswerBytes);
    CPPUNIT_ASSERT(match(100, Now) == DigestMatch::Listed);
    CPPUNIT_ASSERT(match(101, Now) == DigestMatch::Listed);
  }

  /// Guards against a reset of a flow whose hash is in a later datagram.
  void isCompleteOnlyWithAllHashes() {
    constexpr auto Count = static_cast<std::uint16_t>(2 * MaxDigestHashes + 1);
    FlowLog Log;
    addFlows(Log, 1, Count);
    CPPUNIT_ASSERT(exchange(Log) == DigestProgress::Partial);
    CPPUNIT_ASSERT(exchange(Log) == DigestProgress::Partial);
    CPPUNIT_ASSERT(match(Count, Now) == DigestMatch::Unknown);
    CPPUNIT_ASSERT(exchange(Log) == DigestProgress::Complete);
    for (std::uint16_t Port = 1; Port <= Count; ++Port)
      CPPUNIT_ASSERT(match(Port, Now) == DigestMatch::Listed);
  }

  /// Guards against numbers of an earlier run of the agent, which would leave
  /// out the flows of the current one.
  void beginsAnewWithAnotherEpoch() {
    FlowLog Log;
    addFlows(Log, 1, 10);
    CPPUNIT_ASSERT(exchange(Log) == DigestProgress::Complete);
    FlowLog Restarted;
    addFlows(Restarted, 11, 12);
    CPPUNIT_ASSERT(exchange(Restarted, RunId + 100) ==
                   DigestProgress::Complete);
    CPPUNIT_ASSERT(match(11, Now) == DigestMatch::Listed);
    CPPUNIT_ASSERT(match(1, Now) == DigestMatch::NotListed);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{2}, D.Known);
  }

  /// Guards against a late answer, or a copy, that counts as the answer to a
  /// newer request: it lacks the flows of the time in between.
  void ignoresAnswersToEarlierRequests() {
    FlowLog Log;
    const DigestRequest First = requestDigest(D, 1, Now);
    const DigestAnswer Late = answerDigest(Log, RunId, First, FlowPresence::No);
    Now += 1s;
    const DigestRequest Second = requestDigest(D, 2, Now);
    CPPUNIT_ASSERT(mergeDigest(D, Late) == DigestProgress::Outdated);
    CPPUNIT_ASSERT(!D.CompleteAt);
    addFlows(Log, 1, 1);
    const DigestAnswer Answer =
        answerDigest(Log, RunId, Second, FlowPresence::Unsure);
    CPPUNIT_ASSERT(mergeDigest(D, Answer) == DigestProgress::Complete);
    CPPUNIT_ASSERT(mergeDigest(D, Answer) == DigestProgress::Outdated);
    CPPUNIT_ASSERT(D.UnlistedPresence == FlowPresence::Unsure);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, D.Known);
  }

  /// Guards against a default answer that is newer than the digest: the two
  /// belong to one moment.
  void keepsTheDefaultAnswerUntilComplete() {
    FlowLog Log;
    CPPUNIT_ASSERT(exchange(Log) == DigestProgress::Complete);
    addFlows(Log, 1, static_cast<std::uint16_t>(MaxDigestHashes + 1));
    const DigestRequest Request = requestDigest(D, ++LastId, Now + 1ms);
    CPPUNIT_ASSERT(mergeDigest(D, answerDigest(Log, RunId, Request,
                                               FlowPresence::Unsure)) ==
                   DigestProgress::Partial);
    CPPUNIT_ASSERT(D.UnlistedPresence == FlowPresence::No);
  }

  /// Guards against searches that wait for digests that never come, and against
  /// agents that are never asked again because they started late.
  void asksSilentAgentsRarely() {
    for (std::uint32_t I = 0; I < MaxUnansweredDigests; ++I) {
      CPPUNIT_ASSERT(mayRequestDigest(D, Now));
      requestDigest(D, ++LastId, Now);
      CPPUNIT_ASSERT(!mayRequestDigest(D, Now));
      Now += 100ms;
      CPPUNIT_ASSERT(expireDigestRequest(D, Now, 100ms));
      CPPUNIT_ASSERT(!expireDigestRequest(D, Now, 100ms));
    }
    CPPUNIT_ASSERT(!mayRequestDigest(D, Now));
    Now += DigestRetryInterval;
    CPPUNIT_ASSERT(mayRequestDigest(D, Now));
    CPPUNIT_ASSERT(exchange({}) == DigestProgress::Complete);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, D.Unanswered);
  }

  /// Guards against datagrams of a faulty host that end the process or make it
  /// ask without end.
  void refusesAnswersThatDoNotFitTogether() {
    DigestAnswer Answer{1, RunId, 0, 1, FlowPresence::No, {5, 6}};
    CPPUNIT_ASSERT(!decodeDigestAnswer(encodeDigestAnswer(Answer)));
    Answer.Total = 2;
    Bytes Encoded = encodeDigestAnswer(Answer);
    CPPUNIT_ASSERT(*decodeDigestAnswer(Encoded) == Answer);
    Encoded.pop_back();
    CPPUNIT_ASSERT(!decodeDigestAnswer(Encoded));
    CPPUNIT_ASSERT(!decodeDigestRequest(Encoded));
    Answer.UnlistedPresence = FlowPresence::Yes;
    CPPUNIT_ASSERT(!decodeDigestAnswer(encodeDigestAnswer(Answer)));
    // Hashes are missing, but none is sent.
    const DigestRequest Request = requestDigest(D, 1, Now);
    CPPUNIT_ASSERT(
        mergeDigest(D, {Request.RequestId, 0, 0, 1, FlowPresence::No, {}}) ==
        DigestProgress::Outdated);
  }

  /// Guards against a log that grows for as long as the agent runs.
  void compactsTheLogOfAnAgent() {
    AgentFlows A;
    A.Options.Codec = codec();
    for (std::uint16_t Port = 1; Port <= MinCompactedHashes + 1; ++Port)
      addFlow(A, flow(Port)).LastSeen = Now;
    A.Flows.at(flow(1)).LastSeen += 1h;
    Now += 1h;
    AgentEffects Out;
    tick(A, Now, Out);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, A.Log.Hashes.size());
    CPPUNIT_ASSERT_EQUAL(digestHash(flow(1)), A.Log.Hashes[0]);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, A.Log.Generation);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FlowDigestTest);

} // namespace
