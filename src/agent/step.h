#ifndef JASMINEARCH_SRC_AGENT_STEP_H
#define JASMINEARCH_SRC_AGENT_STEP_H

#include "jasminearch/agent/agent_logic.h"
#include "jasminearch/agent/agent_state.h"
#include "jasminearch/wire/coap_message.h"
#include <optional>
#include <string>

/// Parts of handle() that its files share.
namespace jasminearch::agent {

/// One call of handle().
struct Step {
  State &S;
  TimePoint Now;
  Effects Out;
};

/// A caller's datagram on its way through the agent.
struct Arrival {
  wire::FrameHeader Header;
  /// Who sent the frame.
  Endpoint From;
  absl::Span<const std::uint8_t> Datagram;
  wire::CoapMessage Message;
  /// The path names this agent and incarnation.
  bool Owned = false;
};

/// Where an owner named in a path or permit stands.
enum class OwnerStatus { Self, Other, Gone, NotYetKnown };
struct OwnerLookup {
  OwnerStatus Status = OwnerStatus::Gone;
  const control::Upstream *Other = nullptr;
};

enum class Verdict { Held, Broken, Unknown };

// Shared helpers (agent_logic.cpp).
void drop(Step &In, DropReason Reason);
void count(Step &In, control::Promise Which, Verdict Seen,
           const std::string &Evidence = std::string());
std::uint16_t nextMessageId(Step &In);
OwnerLookup lookUpOwner(const State &Of, UpstreamId Id, Incarnation Instance);
const control::Upstream *liveUpstream(const State &Of, UpstreamId Id);
void sendFrame(Step &In, Endpoint To, const wire::FrameHeader &Header,
               absl::Span<const std::uint8_t> Payload);
void sendToCaller(Step &In, const wire::FrameHeader &Of,
                  absl::Span<const std::uint8_t> Datagram);
void sendToCaller(Step &In, const Flow &To,
                  absl::Span<const std::uint8_t> Datagram);
void passOn(Step &In, const Arrival &What, const control::Upstream &To,
            Incarnation Instance, wire::FrameKind Kind);
void rememberRoute(Step &In, Endpoint Caller, UpstreamId Holder,
                   std::optional<std::uint64_t> OperationKey);
void forgetRoute(Step &In, Endpoint Caller, std::uint64_t OperationKey);
bool hasFreeSlot(const State &Of);

// Datagrams from callers (caller_side.cpp, permits in permit_side.cpp).
void handleCaller(Step &In, Arrival &What);
void handleNonIdempotent(Step &In, Arrival &What);
Flow *flowFor(Step &In, const Arrival &What);
void deliver(Step &In, Flow &To, Arrival &What, bool StripEcho);
Exchange exchangeFor(const Step &In, const Arrival &What);
bool offload(Step &In, const Arrival &What);
bool isUploadBlock(const wire::CoapMessage &Message);

// Datagrams whose owner is looked up (probe_side.cpp).
void handleMidFlow(Step &In, Arrival &What);
void handleHeld(Step &In, const wire::FrameView &Frame);
void runProbeTimers(Step &In);
bool isMidFlow(const wire::CoapMessage &Message);
/// Opens an exchange for a datagram that continues what the upstream has begun,
/// whether or not a slot is free.
void deliverContinuing(Step &In, Arrival &What);
/// An upload block of this agent (permit_side.cpp).
void deliverUploadBlock(Step &In, Arrival &What, RequestRecord &Record);

// Datagrams from the upstream, deadlines (upstream_side.cpp).
void handleUpstream(Step &In, const UpstreamReceived &What);
void handleUpstreamRefused(Step &In, const UpstreamRefused &What);
void runDeadlines(Step &In);

} // namespace jasminearch::agent

#endif // JASMINEARCH_SRC_AGENT_STEP_H
