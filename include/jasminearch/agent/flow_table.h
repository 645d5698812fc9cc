#ifndef JASMINEARCH_AGENT_FLOW_TABLE_H
#define JASMINEARCH_AGENT_FLOW_TABLE_H

#include "jasminearch/agent/request_records.h"
#include "jasminearch/types.h"
#include "jasminearch/wire/coap_message.h"
#include <absl/container/flat_hash_map.h>
#include <array>
#include <boost/intrusive/list.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace jasminearch::agent {

/// Time after which a flow without lines is dropped: no copy of its last
/// datagram is left in the network by then (EXCHANGE_LIFETIME, RFC 7252).
inline constexpr std::chrono::seconds PlainFlowIdleLimit{247};

/// Message ids of the upstream that a flow remembers, to recognize the caller's
/// acknowledgements and resets. A caller has at most NSTART (1) of them open by
/// RFC 7252; more leave room for lines with frequent notifications.
inline constexpr std::size_t RememberedMessageIds = 8;

/// Block-wise transfers of one caller that a flow remembers.
inline constexpr std::size_t RememberedTransfers = 8;

/// Exchanges, and lines, that one caller may have open, so that one caller
/// cannot use up the agent's memory. Further requests are refused; a further
/// line replaces the oldest one.
inline constexpr std::size_t MaxExchangesPerFlow = 64;
inline constexpr std::size_t MaxLinesPerFlow = 64;

/// A request that was delivered and waits for its final response.
struct Exchange {
  wire::Token RequestToken;
  std::uint16_t MessageId = 0;
  bool Confirmable = false;
  /// The upstream sent an empty Acknowledgement: a separate response follows.
  bool Acknowledged = false;
  /// Cancelled at its deadline. Kept, so that a late response is recognized and
  /// not taken for the response to a newer request with the same token.
  bool Cancelled = false;
  /// Belongs to an upload, which is counted as one request.
  bool UploadBlock = false;
  /// Nonce of the request's permit, zero without one.
  std::uint64_t Nonce = 0;
  std::uint64_t OperationKey = 0;
  std::uint64_t BlockOffset = 0;
  TimePoint Deadline;
};

/// An observe relation at the upstream.
struct Line {
  wire::Token RequestToken;
  /// Message id of the latest notification; a Reset of it ends the line.
  std::uint16_t LastMessageId = 0;
};

/// Message id under which a retransmission of the upstream went to the caller.
struct ReissuedMessageId {
  std::uint16_t FromUpstream = 0;
  std::uint16_t ToCaller = 0;
};

using BusyHook = boost::intrusive::list_member_hook<>;

/// One caller's session with the upstream.
struct Flow : ListHook {
  FlowId Id;
  Endpoint Caller;
  Endpoint ServiceAddress;
  /// Entry host through which the caller was last heard.
  Endpoint Return;
  TraceId Trace;
  TimePoint LastUsed;
  /// Port towards the upstream, zero until the daemon has bound it.
  std::uint16_t LocalPort = 0;
  std::uint8_t NextMessageIdPlace = 0;
  std::uint8_t MessageIdCount = 0;
  std::array<std::uint16_t, RememberedMessageIds> MessageIds{};
  /// Latest last, at most RememberedMessageIds. Not handed over to a successor:
  /// the upstream's next retransmission is reissued again.
  std::vector<ReissuedMessageId> Reissued;
  std::vector<Exchange> Exchanges;
  std::vector<Line> Lines;
  /// Operations whose further blocks belong to this upstream.
  std::vector<std::uint64_t> Transfers;
  BusyHook ByBusy;
};

using FlowsByUse = boost::intrusive::list<Flow>;
using BusyFlows = boost::intrusive::list<
    Flow, boost::intrusive::member_hook<Flow, BusyHook, &Flow::ByBusy>>;

/// The flows of one agent.
struct FlowTable {
  std::size_t MaxFlows = 131'072;
  absl::flat_hash_map<Endpoint, std::unique_ptr<Flow>> ByCaller;
  absl::flat_hash_map<FlowId, Flow *> ById;
  /// Least recently used first, apart from each other because their idle
  /// limits differ.
  FlowsByUse PlainFlows;
  FlowsByUse LineFlows;
  /// Flows with exchanges.
  BusyFlows Busy;
  std::uint64_t LastId = 0;
  /// Exchanges that count against the upstream's slots.
  std::size_t InFlight = 0;
  std::size_t Lines = 0;

  FlowTable() = default;
  FlowTable(const FlowTable &) = delete;
  FlowTable &operator=(const FlowTable &) = delete;
  ~FlowTable();
};

Flow *findFlow(FlowTable &In, Endpoint Caller);
Flow *findFlow(FlowTable &In, FlowId Id);

/// Makes a flow. \returns null when the table is full. See evictableFlow().
Flow *addFlow(FlowTable &In, Endpoint Caller, TimePoint Now);

/// \returns the least recently used flow without lines or exchanges, or null.
Flow *evictableFlow(FlowTable &In);

/// Marks a flow as used.
void touchFlow(FlowTable &In, Flow &Used, TimePoint Now);

/// Removes a flow and everything it counts for.
void removeFlow(FlowTable &In, Flow &Old);

/// Opens an exchange.
void addExchange(FlowTable &In, Flow &Of, const Exchange &New);

/// Closes the exchange at \p Index.
void removeExchange(FlowTable &In, Flow &Of, std::size_t Index);

/// Marks the exchange at \p Index as cancelled until \p Until.
void cancelExchange(FlowTable &In, Flow &Of, std::size_t Index,
                    TimePoint Until);

/// \returns the exchange with this token, or null.
Exchange *findExchange(Flow &Of, const wire::Token &Token);

/// \returns the line with this token, or null.
Line *findLine(Flow &Of, const wire::Token &Token);

void addLine(FlowTable &In, Flow &Of, const Line &New);
void removeLine(FlowTable &In, Flow &Of, const wire::Token &Token);

/// Remembers a message id that the upstream used towards the caller.
void rememberMessageId(Flow &Of, std::uint16_t MessageId);
bool knowsMessageId(const Flow &Of, std::uint16_t MessageId);

/// Remembers that the upstream's message went to the caller under another id.
void rememberReissued(Flow &Of, const ReissuedMessageId &New);

/// \returns the upstream's id of a message that the caller knows as \p
/// ToCaller, or nothing if the upstream never used it in this flow.
std::optional<std::uint16_t> upstreamMessageId(const Flow &Of,
                                               std::uint16_t ToCaller);

/// Remembers a block-wise transfer.
void rememberTransfer(Flow &Of, std::uint64_t OperationKey);
bool knowsTransfer(const Flow &Of, std::uint64_t OperationKey);
void forgetTransfer(Flow &Of, std::uint64_t OperationKey);

} // namespace jasminearch::agent

#endif // JASMINEARCH_AGENT_FLOW_TABLE_H
