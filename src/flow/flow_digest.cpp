#include "jasminearch/flow/flow_digest.h"
#include <algorithm>
#include <boost/endian/buffers.hpp>
#include <cstring>
#include <xxhash.h>

namespace jasminearch::flow {

namespace {

struct RequestLayout {
  boost::endian::big_uint32_buf_t RequestId;
  boost::endian::big_uint64_buf_t Epoch;
  boost::endian::big_uint32_buf_t Known;
};
static_assert(sizeof(RequestLayout) == DigestRequestBytes);

struct AnswerLayout {
  boost::endian::big_uint32_buf_t RequestId;
  boost::endian::big_uint64_buf_t Epoch;
  boost::endian::big_uint32_buf_t First;
  boost::endian::big_uint32_buf_t Total;
  boost::endian::big_uint8_buf_t UnlistedPresence;
};
static_assert(sizeof(AnswerLayout) == DigestHeaderBytes);

using HashLayout = boost::endian::big_uint32_buf_t;
static_assert(sizeof(HashLayout) == DigestHashBytes);

} // namespace

std::uint32_t digestHash(const FlowKey &Flow) {
  const Bytes Key = encodeFlowKey(Flow);
  return XXH32(Key.data(), Key.size(), 0);
}

Bytes encodeDigestRequest(const DigestRequest &Request) {
  RequestLayout Layout{};
  Layout.RequestId = Request.RequestId;
  Layout.Epoch = Request.Epoch;
  Layout.Known = Request.Known;
  Bytes Encoded(sizeof(Layout));
  std::memcpy(Encoded.data(), &Layout, sizeof(Layout));
  return Encoded;
}

Expected<DigestRequest>
decodeDigestRequest(absl::Span<const std::uint8_t> Payload) {
  RequestLayout Layout{};
  if (Payload.size() != sizeof(Layout))
    return fail(ErrorCode::PacketMalformed,
                "request for a flow digest: expected 16 bytes");
  std::memcpy(&Layout, Payload.data(), sizeof(Layout));
  return DigestRequest{Layout.RequestId.value(), Layout.Epoch.value(),
                       Layout.Known.value()};
}

Bytes encodeDigestAnswer(const DigestAnswer &Answer) {
  AnswerLayout Layout{};
  Layout.RequestId = Answer.RequestId;
  Layout.Epoch = Answer.Epoch;
  Layout.First = Answer.First;
  Layout.Total = Answer.Total;
  Layout.UnlistedPresence = static_cast<std::uint8_t>(Answer.UnlistedPresence);
  Bytes Encoded(sizeof(Layout));
  std::memcpy(Encoded.data(), &Layout, sizeof(Layout));
  for (const std::uint32_t Hash : Answer.Hashes) {
    const HashLayout One(Hash);
    Encoded.insert(Encoded.end(), One.data(), One.data() + sizeof(One));
  }
  return Encoded;
}

Expected<DigestAnswer>
decodeDigestAnswer(absl::Span<const std::uint8_t> Payload) {
  AnswerLayout Layout{};
  if (Payload.size() < sizeof(Layout))
    return fail(ErrorCode::PacketMalformed,
                "flow digest is shorter than its 21-byte header");
  std::memcpy(&Layout, Payload.data(), sizeof(Layout));
  Payload.remove_prefix(sizeof(Layout));
  const std::size_t Count = Payload.size() / DigestHashBytes;
  if (Payload.size() % DigestHashBytes != 0 || Count > MaxDigestHashes)
    return fail(ErrorCode::PacketMalformed,
                "flow digest has the wrong size: expected at most 280 hashes "
                "of 4 bytes");
  const std::uint8_t Presence = Layout.UnlistedPresence.value();
  if (std::uint64_t{Layout.First.value()} + Count > Layout.Total.value() ||
      Layout.Total.value() > MaxDigestTotal ||
      (Presence != static_cast<std::uint8_t>(FlowPresence::No) &&
       Presence != static_cast<std::uint8_t>(FlowPresence::Unsure)))
    return fail(ErrorCode::PacketMalformed,
                "flow digest has a number of hashes or a default answer that "
                "is out of range");
  DigestAnswer Answer{Layout.RequestId.value(),
                      Layout.Epoch.value(),
                      Layout.First.value(),
                      Layout.Total.value(),
                      static_cast<FlowPresence>(Presence),
                      {}};
  Answer.Hashes.reserve(Count);
  for (std::size_t I = 0; I < Count; ++I) {
    HashLayout One;
    std::memcpy(&One, Payload.data() + I * sizeof(One), sizeof(One));
    Answer.Hashes.push_back(One.value());
  }
  return Answer;
}

bool isTooLong(const FlowLog &Log, std::size_t Existing) {
  return Log.Hashes.size() >
         std::max(MinCompactedHashes, MaxHashesPerFlow * Existing);
}

DigestAnswer answerDigest(const FlowLog &Log, std::uint64_t RunId,
                          const DigestRequest &Request,
                          FlowPresence UnlistedPresence) {
  DigestAnswer Answer;
  Answer.RequestId = Request.RequestId;
  Answer.Epoch = RunId + Log.Generation;
  Answer.Total = static_cast<std::uint32_t>(Log.Hashes.size());
  if (Request.Epoch == Answer.Epoch)
    Answer.First = std::min(Request.Known, Answer.Total);
  Answer.UnlistedPresence = UnlistedPresence;
  const auto From = Log.Hashes.begin() + Answer.First;
  const auto Left = static_cast<std::size_t>(Log.Hashes.end() - From);
  Answer.Hashes.assign(From, From + static_cast<std::ptrdiff_t>(
                                        std::min(MaxDigestHashes, Left)));
  return Answer;
}

DigestRequest requestDigest(FlowDigest &D, std::uint32_t Id, TimePoint Now) {
  D.RequestId = Id;
  D.RequestedAt = Now;
  D.IsAwaited = true;
  return {Id, D.Epoch, D.Known};
}

bool expireDigestRequest(FlowDigest &D, TimePoint Now,
                         std::chrono::milliseconds Timeout) {
  if (!D.IsAwaited || Now - D.RequestedAt < Timeout)
    return false;
  D.IsAwaited = false;
  ++D.Unanswered;
  return true;
}

bool mayRequestDigest(const FlowDigest &D, TimePoint Now) {
  if (D.IsAwaited)
    return false;
  return D.IsSupported || D.Unanswered < MaxUnansweredDigests ||
         Now - D.RequestedAt >= DigestRetryInterval;
}

DigestProgress mergeDigest(FlowDigest &D, const DigestAnswer &Answer) {
  if (!D.IsAwaited || Answer.RequestId != D.RequestId)
    return DigestProgress::Outdated;
  const bool SameEpoch = Answer.Epoch == D.Epoch;
  const std::uint32_t Known = SameEpoch ? D.Known : 0;
  const auto End = Known + static_cast<std::uint32_t>(Answer.Hashes.size());
  const bool HasAll = End == Answer.Total;
  if (Answer.First != Known || (Answer.Hashes.empty() && !HasAll))
    return DigestProgress::Outdated;
  if (!SameEpoch) {
    D.Hashes.clear();
    D.CompleteAt.reset();
  }
  D.Epoch = Answer.Epoch;
  D.Known = End;
  D.Hashes.insert(Answer.Hashes.begin(), Answer.Hashes.end());
  D.IsAwaited = false;
  D.IsSupported = true;
  D.Unanswered = 0;
  if (!HasAll)
    return DigestProgress::Partial;
  D.CompleteAt = D.RequestedAt;
  D.UnlistedPresence = Answer.UnlistedPresence;
  return DigestProgress::Complete;
}

DigestMatch matchDigest(const FlowDigest &D, std::uint32_t Hash,
                        TimePoint Since) {
  if (!D.CompleteAt || *D.CompleteAt < Since)
    return DigestMatch::Unknown;
  return D.Hashes.contains(Hash) ? DigestMatch::Listed : DigestMatch::NotListed;
}

} // namespace jasminearch::flow
