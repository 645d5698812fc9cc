#ifndef JASMINEARCH_AGENT_REQUEST_RECORDS_H
#define JASMINEARCH_AGENT_REQUEST_RECORDS_H

#include "jasminearch/agent/permit.h"
#include "jasminearch/types.h"
#include <absl/container/flat_hash_map.h>
#include <absl/types/span.h>
#include <boost/intrusive/list.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <utility>

namespace jasminearch::agent {

/// Identifies a flow within one agent. Ids are never reused.
using FlowId = jasminearch::detail::StrongId<struct FlowTag, std::uint64_t>;

/// Phase of a request that was received with a permit.
enum class RequestPhase : std::uint8_t {
  Running = 0, ///< Delivered; no final response yet.
  Refused = 1, ///< Never delivered, and never will be.
  Done = 2,    ///< Delivered and answered.
};

/// Progress of a block-wise upload (Block1) that runs under one permit.
struct UploadProgress {
  bool Active = false;
  /// Number of body bytes delivered so far, which is the offset of the next
  /// block.
  std::uint64_t NextOffset = 0;
  /// Offset of the block whose response is stored in RequestRecord::Answer.
  std::uint64_t AnsweredOffset = 0;
};

using ListHook = boost::intrusive::list_base_hook<>;
using AnswerHook = boost::intrusive::list_member_hook<>;

/// Record of a request that used a permit.
struct RequestRecord : ListHook {
  std::uint64_t Nonce = 0;
  RequestPhase Phase = RequestPhase::Running;
  /// The upstream acknowledged the request; a separate response follows.
  bool Acknowledged = false;
  /// Distinguishes copies of the request from other requests that carry the
  /// same permit.
  std::uint64_t ContentHash = 0;
  Endpoint Caller;
  std::uint64_t OperationKey = 0;
  TimePoint Expires;
  UploadProgress Upload;
  /// Latest response as sent to the caller; empty if none is stored.
  Bytes Answer;
  AnswerHook ByAnswerAge;
};

using RecordsByAge =
    boost::intrusive::list<RequestRecord,
                           boost::intrusive::constant_time_size<true>>;
using RecordsByAnswer = boost::intrusive::list<
    RequestRecord, boost::intrusive::member_hook<RequestRecord, AnswerHook,
                                                 &RequestRecord::ByAnswerAge>>;

/// Limits of the records that guarantee at-most-once execution.
struct RecordLimits {
  /// Maximum number of records. Requests under new permits are refused beyond
  /// it.
  std::size_t MaxRecords = 200'000;
  /// Maximum total size of the stored answers in bytes. The oldest answers are
  /// dropped beyond it; a copy of their request then gets "outcome unknown"
  /// instead of the answer.
  std::size_t MaxAnswerBytes = 32U << 20U;
};

/// Records of the requests that used a permit.
struct RequestRecords {
  RecordLimits Limits;
  absl::flat_hash_map<std::uint64_t, std::unique_ptr<RequestRecord>> ByNonce;
  /// Oldest first. All records have the same lifetime, so this is also the
  /// order in which they expire.
  RecordsByAge ByAge;
  RecordsByAnswer ByAnswerAge;
  std::size_t AnswerBytes = 0;
  /// Nonce of the latest upload of each caller and operation key.
  absl::flat_hash_map<std::pair<Endpoint, std::uint64_t>, std::uint64_t>
      Uploads;

  RequestRecords() = default;
  RequestRecords(const RequestRecords &) = delete;
  RequestRecords &operator=(const RequestRecords &) = delete;
  ~RequestRecords();
};

/// \returns the record with \p Nonce, or null.
RequestRecord *findRecord(RequestRecords &Records, std::uint64_t Nonce);

/// Adds a record with the lifetime PermitLifetime, so that it expires no
/// earlier than its permit. \returns null if MaxRecords is reached or the nonce
/// already has a record. Complexity: constant.
RequestRecord *addRecord(RequestRecords &Records, std::uint64_t Nonce,
                         RequestPhase Phase, TimePoint Now);

/// Stores the response of a request, and drops the oldest stored responses
/// beyond MaxAnswerBytes.
void storeAnswer(RequestRecords &Records, RequestRecord &Record,
                 absl::Span<const std::uint8_t> Answer);

/// Marks \p Record as the upload that later blocks of the same caller and
/// operation belong to.
void startUpload(RequestRecords &Records, RequestRecord &Record);

/// \returns the latest upload of this caller and operation, or null.
RequestRecord *findUpload(RequestRecords &Records, Endpoint Caller,
                          std::uint64_t OperationKey);

/// Removes records whose lifetime has ended. Complexity: linear in the number
/// of removed records.
void expireRecords(RequestRecords &Records, TimePoint Now);

} // namespace jasminearch::agent

#endif // JASMINEARCH_AGENT_REQUEST_RECORDS_H
