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

/// Time after which an idle flow without lines is removed. No copy of its last
/// datagram remains in the network by then (EXCHANGE_LIFETIME, RFC 7252).
inline constexpr std::chrono::seconds PlainFlowIdleLimit{247};

/// Number of recent message ids of the upstream that a flow stores to recognize
/// the caller's acknowledgements and resets. RFC 7252 allows NSTART (1) of them
/// to be open per caller; the others are for lines with frequent notifications.
inline constexpr std::size_t MaxMessageIdsPerFlow = 8;

/// Number of recent block-wise transfers that a flow stores.
inline constexpr std::size_t MaxTransfersPerFlow = 8;

/// Maximum number of open exchanges and of lines of one caller, which keeps a
/// single caller from exhausting the agent's memory. Further requests are
/// refused; a further line replaces the oldest one.
inline constexpr std::size_t MaxExchangesPerFlow = 64;
inline constexpr std::size_t MaxLinesPerFlow = 64;

/// A request that was delivered to the upstream and awaits its final response.
struct Exchange {
  wire::Token RequestToken;
  std::uint16_t MessageId = 0;
  bool Confirmable = false;
  /// The upstream sent an empty Acknowledgement: a separate response follows.
  bool Acknowledged = false;
  /// Cancelled at its deadline, but kept so that a late response isn't mistaken
  /// for the response to a newer request with the same token.
  bool Cancelled = false;
  /// Part of an upload, whose blocks count as one request together.
  bool UploadBlock = false;
  /// Nonce of the request's permit, or zero if it has none.
  std::uint64_t Nonce = 0;
  std::uint64_t OperationKey = 0;
  std::uint64_t BlockOffset = 0;
  TimePoint Deadline;
};

/// An observation (RFC 7641) at the upstream.
struct Line {
  wire::Token RequestToken;
  /// Message id of the latest notification. A Reset with this id ends the line.
  std::uint16_t LastMessageId = 0;
};

/// Maps the message id of an upstream's retransmission to the message id under
/// which it was sent to the caller.
struct ReissuedMessageId {
  std::uint16_t FromUpstream = 0;
  std::uint16_t ToCaller = 0;
};

using BusyHook = boost::intrusive::list_member_hook<>;

/// Session of one caller with the upstream.
struct Flow : ListHook {
  FlowId Id;
  Endpoint Caller;
  Endpoint ServiceAddress;
  /// Entry host that forwarded the caller's most recent datagram.
  Endpoint Return;
  TraceId Trace;
  TimePoint LastUsed;
  /// Local port of the socket to the upstream; zero until FlowBound.
  std::uint16_t LocalPort = 0;
  std::uint8_t NextMessageIdIndex = 0;
  std::uint8_t MessageIdCount = 0;
  std::array<std::uint16_t, MaxMessageIdsPerFlow> MessageIds{};
  /// Oldest first, at most MaxMessageIdsPerFlow. Not passed to a successor,
  /// which assigns a new id to the upstream's next retransmission.
  std::vector<ReissuedMessageId> ReissuedMessageIds;
  std::vector<Exchange> Exchanges;
  std::vector<Line> Lines;
  /// Keys of operations whose further blocks must go to this upstream.
  std::vector<std::uint64_t> Transfers;
  BusyHook BusyLink;
};

using FlowList = boost::intrusive::list<Flow>;
using BusyFlows = boost::intrusive::list<
    Flow, boost::intrusive::member_hook<Flow, BusyHook, &Flow::BusyLink>>;

/// All flows of an agent.
struct FlowTable {
  std::size_t MaxFlows = 131'072;
  absl::flat_hash_map<Endpoint, std::unique_ptr<Flow>> ByCaller;
  absl::flat_hash_map<FlowId, Flow *> ById;
  /// Flows without and with lines, least recently used first. Kept in separate
  /// lists because their idle limits differ.
  FlowList PlainFlows;
  FlowList LineFlows;
  /// Flows with open or cancelled exchanges.
  BusyFlows Busy;
  std::uint64_t LastId = 0;
  /// Number of exchanges that occupy a slot of the upstream.
  std::size_t InFlight = 0;
  std::size_t Lines = 0;

  FlowTable() = default;
  FlowTable(const FlowTable &) = delete;
  FlowTable &operator=(const FlowTable &) = delete;
  ~FlowTable();
};

/// \returns the flow, or null.
Flow *findFlow(FlowTable &Table, Endpoint Caller);
Flow *findFlow(FlowTable &Table, FlowId Id);

/// Adds a flow. \returns null if the table is full (see evictableFlow()) or the
/// caller already has a flow.
Flow *addFlow(FlowTable &Table, Endpoint Caller, TimePoint Now);

/// \returns the least recently used flow without lines or exchanges, or null.
Flow *evictableFlow(FlowTable &Table);

/// Marks a flow as the most recently used one.
void touchFlow(FlowTable &Table, Flow &CallerFlow, TimePoint Now);

/// Removes a flow with its exchanges and lines.
void removeFlow(FlowTable &Table, Flow &Old);

/// Adds an open exchange to a flow.
void addExchange(FlowTable &Table, Flow &CallerFlow, const Exchange &New);

/// Removes the exchange at \p Index.
void removeExchange(FlowTable &Table, Flow &CallerFlow, std::size_t Index);

/// Marks the exchange at \p Index as cancelled. It is kept until \p Until.
void cancelExchange(FlowTable &Table, Flow &CallerFlow, std::size_t Index,
                    TimePoint Until);

/// \returns the exchange with \p Token, or null.
Exchange *findExchange(Flow &CallerFlow, const wire::Token &Token);

/// \returns the line with \p Token, or null.
Line *findLine(Flow &CallerFlow, const wire::Token &Token);

/// Adds a line unless the flow already has one with this token. Removes the
/// oldest line beyond MaxLinesPerFlow.
void addLine(FlowTable &Table, Flow &CallerFlow, const Line &New);
void removeLine(FlowTable &Table, Flow &CallerFlow, const wire::Token &Token);

/// Stores a message id that the upstream used towards the caller.
void addMessageId(Flow &CallerFlow, std::uint16_t MessageId);
bool hasMessageId(const Flow &CallerFlow, std::uint16_t MessageId);

/// Stores that a message of the upstream was sent to the caller under another
/// message id.
void addReissuedMessageId(Flow &CallerFlow, const ReissuedMessageId &New);

/// \returns the upstream's message id of the message that was sent to the
/// caller as \p ToCaller, or nothing if none is stored.
std::optional<std::uint16_t> upstreamMessageId(const Flow &CallerFlow,
                                               std::uint16_t ToCaller);

/// Stores a block-wise transfer.
void addTransfer(Flow &CallerFlow, std::uint64_t OperationKey);
bool hasTransfer(const Flow &CallerFlow, std::uint64_t OperationKey);
void removeTransfer(Flow &CallerFlow, std::uint64_t OperationKey);

} // namespace jasminearch::agent

#endif // JASMINEARCH_AGENT_FLOW_TABLE_H
