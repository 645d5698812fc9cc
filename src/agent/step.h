#ifndef JASMINEARCH_SRC_AGENT_STEP_H
#define JASMINEARCH_SRC_AGENT_STEP_H

#include "jasminearch/agent/agent_logic.h"
#include "jasminearch/agent/agent_state.h"
#include "jasminearch/wire/coap_message.h"
#include <optional>
#include <string>

/// Internal declarations shared by the source files that implement handle().
namespace jasminearch::agent {

/// State, time and collected effects of one call of handle().
struct HandlerContext {
  State &AgentState;
  TimePoint Now;
  Effects PendingEffects;
};

/// A caller's datagram and the frame header that it arrived with.
struct CallerDatagram {
  wire::FrameHeader Header;
  /// Sender of the frame.
  Endpoint From;
  absl::Span<const std::uint8_t> Datagram;
  wire::CoapMessage Message;
  /// The first path segment names this agent and its incarnation.
  bool HasOwnPath = false;
};

/// Status of the owner that a path or a permit names.
enum class OwnerStatus { Self, Other, Gone, NotYetKnown };
/// Result of lookUpOwner(). \p Other is set for OwnerStatus::Other only.
struct OwnerLookup {
  OwnerStatus Status = OwnerStatus::Gone;
  const control::Upstream *Other = nullptr;
};

/// Whether a promise was kept in one case.
enum class Verdict { Held, Broken, Unknown };

// Shared helpers (agent_logic.cpp).
void countDrop(HandlerContext &Context, DropReason Reason);
void countPromise(HandlerContext &Context, control::Promise Which,
                  Verdict Observed,
                  const std::string &Evidence = std::string());
std::uint16_t nextMessageId(HandlerContext &Context);
OwnerLookup lookUpOwner(const State &AgentState, UpstreamId Id,
                        Incarnation Instance);
const control::Upstream *liveUpstream(const State &AgentState, UpstreamId Id);
void sendFrame(HandlerContext &Context, Endpoint To,
               const wire::FrameHeader &Header,
               absl::Span<const std::uint8_t> Payload);
void sendToCaller(HandlerContext &Context,
                  const wire::FrameHeader &RequestHeader,
                  absl::Span<const std::uint8_t> Datagram);
void sendToCaller(HandlerContext &Context, const Flow &To,
                  absl::Span<const std::uint8_t> Datagram);
void forwardToAgent(HandlerContext &Context, const CallerDatagram &Incoming,
                    const control::Upstream &To, Incarnation Instance,
                    wire::FrameKind Kind);
void updateRoute(HandlerContext &Context, Endpoint Caller, UpstreamId Holder,
                 std::optional<std::uint64_t> OperationKey);
void removeRoutedOperation(HandlerContext &Context, Endpoint Caller,
                           std::uint64_t OperationKey);
bool hasFreeSlot(const State &AgentState);

// Datagrams from callers (caller_side.cpp, permits in permit_side.cpp).
void handleCallerDatagram(HandlerContext &Context, CallerDatagram &Incoming);
void handleNonIdempotent(HandlerContext &Context, CallerDatagram &Incoming);
Flow *findOrOpenFlow(HandlerContext &Context, const CallerDatagram &Incoming);
void deliver(HandlerContext &Context, Flow &To, CallerDatagram &Incoming,
             bool StripEcho);
Exchange makeExchange(const HandlerContext &Context,
                      const CallerDatagram &Incoming);
bool offloadToSibling(HandlerContext &Context, const CallerDatagram &Incoming);
bool isUploadBlock(const wire::CoapMessage &Message);

// Datagrams that continue a flow, and the search for the agent that holds it
// (probe_side.cpp).
void handleContinuation(HandlerContext &Context, CallerDatagram &Incoming);
void handleHeldFrame(HandlerContext &Context, const wire::FrameView &Frame);
void processProbeTimeouts(HandlerContext &Context);
bool isContinuation(const wire::CoapMessage &Message);
/// Opens an exchange for a request that continues a transfer or a line of the
/// upstream, even if no slot is free.
void deliverContinuingRequest(HandlerContext &Context,
                              CallerDatagram &Incoming);
/// Delivers a block of an upload that this agent holds (permit_side.cpp).
void deliverUploadBlock(HandlerContext &Context, CallerDatagram &Incoming,
                        RequestRecord &Record);

// Datagrams from the upstream, and deadlines (upstream_side.cpp).
void handleUpstreamDatagram(HandlerContext &Context,
                            const UpstreamReceived &Input);
void handleUpstreamRefused(HandlerContext &Context,
                           const UpstreamRefused &Input);
void enforceDeadlines(HandlerContext &Context);

} // namespace jasminearch::agent

#endif // JASMINEARCH_SRC_AGENT_STEP_H
