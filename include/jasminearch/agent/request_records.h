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

/// Names one flow within one agent. Never reused.
using FlowId = jasminearch::detail::StrongId<struct FlowTag, std::uint64_t>;

/// What became of a request that came with a permit.
enum class RequestPhase : std::uint8_t {
  Running = 0, ///< Delivered, no final response yet.
  Refused = 1, ///< Never delivered, and never will be.
  Done = 2,    ///< Delivered and answered.
};

/// Progress of a block-wise upload (Block1) that runs under one permit.
struct UploadProgress {
  bool Active = false;
  /// Body bytes delivered so far; the next block starts here.
  std::uint64_t NextOffset = 0;
  /// Where the block whose response is in RequestRecord::Answer starts.
  std::uint64_t AnsweredOffset = 0;
};

using ListHook = boost::intrusive::list_base_hook<>;
using AnswerHook = boost::intrusive::list_member_hook<>;

/// Record of one permit that was used.
struct RequestRecord : ListHook {
  std::uint64_t Nonce = 0;
  RequestPhase Phase = RequestPhase::Running;
  /// The caller knows that a separate response follows.
  bool Acknowledged = false;
  /// Tells copies of the request from other requests with the same permit.
  std::uint64_t ContentHash = 0;
  Endpoint Caller;
  std::uint64_t OperationKey = 0;
  TimePoint Expires;
  UploadProgress Upload;
  /// Latest response, as sent to the caller; empty when it isn't known.
  Bytes Answer;
  AnswerHook ByAnswerAge;
};

using RecordsByAge =
    boost::intrusive::list<RequestRecord,
                           boost::intrusive::constant_time_size<true>>;
using RecordsByAnswer = boost::intrusive::list<
    RequestRecord, boost::intrusive::member_hook<RequestRecord, AnswerHook,
                                                 &RequestRecord::ByAnswerAge>>;

/// Bounds on what an agent keeps to hold at-most-once.
struct RecordLimits {
  /// Beyond this, work under new permits is not accepted.
  std::size_t MaxRecords = 200'000;
  /// Beyond this, the oldest stored answers are dropped; a copy of their
  /// request then gets "outcome unknown" instead of the answer.
  std::size_t MaxAnswerBytes = 32U << 20U;
};

/// Records of used permits, and the permits lately issued.
struct RequestRecords {
  RecordLimits Limits;
  absl::flat_hash_map<std::uint64_t, std::unique_ptr<RequestRecord>> ByNonce;
  /// Oldest first. All records are kept equally long, so this is also the
  /// order in which they expire.
  RecordsByAge ByAge;
  RecordsByAnswer ByAnswerAge;
  std::size_t AnswerBytes = 0;
  /// Nonce of the latest upload by caller and operation.
  absl::flat_hash_map<std::pair<Endpoint, std::uint64_t>, std::uint64_t>
      Uploads;

  RequestRecords() = default;
  RequestRecords(const RequestRecords &) = delete;
  RequestRecords &operator=(const RequestRecords &) = delete;
  ~RequestRecords();
};

/// \returns the record of \p Nonce, or null.
RequestRecord *findRecord(RequestRecords &In, std::uint64_t Nonce);

/// Makes a record that is kept until Now + PermitLifetime, which is not before
/// its permit expires. \returns null when MaxRecords is reached. Complexity:
/// constant.
RequestRecord *addRecord(RequestRecords &In, std::uint64_t Nonce,
                         RequestPhase Phase, TimePoint Now);

/// Stores the response of a record and drops the oldest stored ones beyond
/// MaxAnswerBytes.
void storeAnswer(RequestRecords &In, RequestRecord &Of,
                 absl::Span<const std::uint8_t> Answer);

/// Makes \p Of the upload that later blocks of the same operation belong to.
void startUpload(RequestRecords &In, RequestRecord &Of);

/// \returns the upload of this caller and operation, or null.
RequestRecord *findUpload(RequestRecords &In, Endpoint Caller,
                          std::uint64_t OperationKey);

/// Drops records whose permits have expired. Complexity: linear in the number
/// of dropped records.
void expireRecords(RequestRecords &In, TimePoint Now);

} // namespace jasminearch::agent

#endif // JASMINEARCH_AGENT_REQUEST_RECORDS_H
