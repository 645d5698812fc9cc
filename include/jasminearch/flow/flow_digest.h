#ifndef JASMINEARCH_FLOW_FLOW_DIGEST_H
#define JASMINEARCH_FLOW_FLOW_DIGEST_H

#include "jasminearch/error.h"
#include "jasminearch/flow/packet.h"
#include "jasminearch/flow/tunnel.h"
#include "jasminearch/types.h"
#include <absl/container/flat_hash_set.h>
#include <absl/types/span.h>
#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

/// Digests of the flows that an agent's upstream may hold, by which an entry
/// host answers any number of searches with one exchange per agent.
///
/// Load: after a loss of power, callers send their next requests on flows that
/// no upstream holds any more, for many seconds. Each of these flows may be
/// reset only after every agent has answered, so that queries by flow take
/// bytes for flows times agents. An agent numbers the hashes of its flows in
/// the order in which it saw them; an entry host asks only for those after the
/// last one that it knows.
namespace jasminearch::flow {

/// Maximum number of hashes in one answer, so that the datagram fits into a
/// packet of the usual size.
inline constexpr std::size_t MaxDigestHashes = 280;

/// A log of this many hashes, and of this many times the flows that exist,
/// begins a new epoch with the existing flows alone.
inline constexpr std::size_t MinCompactedHashes = 128;
inline constexpr std::size_t MaxHashesPerFlow = 4;

/// Maximum number of hashes in a log that an entry host accepts.
inline constexpr std::uint32_t MaxDigestTotal = 1U << 20U;

/// An agent that has never sent a digest is asked only each DigestRetryInterval
/// after this many unanswered requests: it may be of an earlier version, which
/// ignores them, or still be starting.
inline constexpr std::uint32_t MaxUnansweredDigests = 3;
inline constexpr std::chrono::milliseconds DigestRetryInterval{5000};

/// Bytes of a request and of an answer without hashes, and of a hash, on the
/// wire.
inline constexpr std::size_t DigestRequestBytes = 16;
inline constexpr std::size_t DigestHeaderBytes = 21;
inline constexpr std::size_t DigestHashBytes = 4;

/// \returns the hash that stands for \p Flow in digests.
std::uint32_t digestHash(const FlowKey &Flow);

/// Payload of ListRecentFlows.
struct DigestRequest {
  std::uint32_t RequestId = 0;
  /// Epoch of the digest that the entry host has, and its number of hashes.
  std::uint64_t Epoch = 0;
  std::uint32_t Known = 0;

  auto operator<=>(const DigestRequest &) const = default;
};

Bytes encodeDigestRequest(const DigestRequest &Request);
Expected<DigestRequest>
decodeDigestRequest(absl::Span<const std::uint8_t> Payload);

/// Payload of RecentFlows.
struct DigestAnswer {
  /// Id of the request that it answers.
  std::uint32_t RequestId = 0;
  /// Identifies the log; the numbers of two epochs are unrelated.
  std::uint64_t Epoch = 0;
  /// Number of the first hash, and the number of hashes in the log. The entry
  /// host asks again for those that didn't fit.
  std::uint32_t First = 0;
  std::uint32_t Total = 0;
  /// Presence of all flows whose hash isn't in the log: No or Unsure.
  FlowPresence UnlistedPresence = FlowPresence::No;
  /// At most MaxDigestHashes.
  std::vector<std::uint32_t> Hashes;

  bool operator==(const DigestAnswer &) const = default;
};

Bytes encodeDigestAnswer(const DigestAnswer &Answer);

/// \returns PacketMalformed if the sizes or numbers don't fit together.
Expected<DigestAnswer>
decodeDigestAnswer(absl::Span<const std::uint8_t> Payload);

/// At an agent: the hashes of its flows in the order in which it saw them.
/// Flows that have ended stay until the next epoch.
struct FlowLog {
  /// Number of times that the log began anew.
  std::uint64_t Generation = 0;
  std::vector<std::uint32_t> Hashes;
};

/// \returns whether the log should begin anew with the \p Existing flows.
bool isTooLong(const FlowLog &Log, std::size_t Existing);

/// \returns the answer to \p Request: the hashes after those that the entry
/// host knows, or all if it knows those of another epoch.
/// \param RunId Identifies the run of the agent; together with the log's
/// generation it gives the epoch.
DigestAnswer answerDigest(const FlowLog &Log, std::uint64_t RunId,
                          const DigestRequest &Request,
                          FlowPresence UnlistedPresence);

/// At an entry host: what it knows of an agent's log.
struct FlowDigest {
  std::uint64_t Epoch = 0;
  /// Number of hashes received, copies included.
  std::uint32_t Known = 0;
  absl::flat_hash_set<std::uint32_t> Hashes;
  /// As of CompleteAt.
  FlowPresence UnlistedPresence = FlowPresence::No;
  /// The digest has all flows that the agent knew at this time. Empty until the
  /// first complete one.
  std::optional<TimePoint> CompleteAt;
  /// The last request, and whether it may still be answered in time.
  std::uint32_t RequestId = 0;
  TimePoint RequestedAt{};
  bool IsAwaited = false;
  /// Requests in a row that weren't answered in time.
  std::uint32_t Unanswered = 0;
  /// The agent has sent a digest.
  bool IsSupported = false;
};

/// \param Id Unique among all requests of the entry host, so that no answer of
/// an agent that was removed and listed again is taken for a newer one.
/// \returns the next request to the agent.
DigestRequest requestDigest(FlowDigest &D, std::uint32_t Id, TimePoint Now);

/// Stops waiting for an answer that takes longer than \p Timeout. \returns
/// whether it did so now: the flows are then queried by key once.
bool expireDigestRequest(FlowDigest &D, TimePoint Now,
                         std::chrono::milliseconds Timeout);

/// \returns whether the agent may be asked for its digest: no request is on its
/// way, and the agent isn't likely to be of an earlier version.
bool mayRequestDigest(const FlowDigest &D, TimePoint Now);

enum class DigestProgress : std::uint8_t {
  /// The answer belongs to another request, came too late or adds nothing.
  Outdated,
  /// Further hashes have to be requested.
  Partial,
  Complete,
};

/// Adds an answer to the digest.
DigestProgress mergeDigest(FlowDigest &D, const DigestAnswer &Answer);

/// What a digest tells about a flow.
enum class DigestMatch : std::uint8_t {
  /// The digest may lack flows of the time in question.
  Unknown,
  /// The agent doesn't know the flow; UnlistedPresence is its answer.
  NotListed,
  /// The flow, or another one with the same hash, is in the log.
  Listed,
};

/// \param Hash digestHash() of the flow.
/// \param Since When the search for the flow began: the agent has known the
/// flow since before, if its upstream holds it.
DigestMatch matchDigest(const FlowDigest &D, std::uint32_t Hash,
                        TimePoint Since);

} // namespace jasminearch::flow

#endif // JASMINEARCH_FLOW_FLOW_DIGEST_H
