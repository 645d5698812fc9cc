#ifndef JASMINEARCH_FLOW_DETAIL_ENTRY_STEPS_H
#define JASMINEARCH_FLOW_DETAIL_ENTRY_STEPS_H

#include "jasminearch/flow/entry_flows.h"
#include <cstdint>
#include <string_view>
#include <vector>

/// Parts of the entry host's flow logic that its source files share.
namespace jasminearch::flow::detail {

/// State, current time and output of one call.
struct EntryContext {
  EntryFlows &E;
  TimePoint Now;
  EntryEffects &Out;
};

// entry_steps.cpp
/// \returns a hash of \p Flow that is the same on every entry host, so that
/// copies of an opening packet that arrive at different hosts get the same
/// service.
std::uint64_t hashFlow(const FlowKey &Flow);
bool contains(const std::vector<Endpoint> &All, const Endpoint &One);
/// Adds a FlowDecision, with the latest report of \p Agent if there is one.
void recordDecision(EntryContext &C, std::string_view Event,
                    const FlowKey &Flow, std::string_view Reason,
                    const Endpoint &Agent = {});
void sendReset(EntryContext &C, const FlowKey &Flow, std::uint32_t Sequence);
/// Forwards a packet of an open flow to \p Agent.
void forward(EntryContext &C, const Endpoint &Agent,
             absl::Span<const std::uint8_t> Raw);
/// Sends a tunnel message that carries no packet.
void sendMessage(EntryContext &C, const Endpoint &Agent, TunnelKind Kind,
                 const Bytes &Payload);
/// \returns whether there is evidence from \p Since or later that the upstream
/// beside \p Agent holds no flows: the agent reported so, or a control host
/// reported that the agent has left. The age of a report is no evidence.
bool holdsNoFlows(const EntryContext &C, const Endpoint &Agent,
                  TimePoint Since);

// entry_openings.cpp
/// Handles an opening packet of a route that exists, which arrived from the
/// caller at \p ArrivedAt.
void onOpening(EntryContext &C, const Packet &P,
               absl::Span<const std::uint8_t> Raw, TimePoint ArrivedAt);
/// Offers an opening that \p Excluded have declined to another upstream.
/// \p ArrivedAt is when the packet arrived from the caller.
void offerAgain(EntryContext &C, const FlowKey &Flow,
                absl::Span<const std::uint8_t> Raw, TimePoint ArrivedAt,
                std::vector<Endpoint> Excluded);
/// Stores an agent's load report and continues the openings that wait for it.
void onLoad(EntryContext &C, const Endpoint &From,
            absl::Span<const std::uint8_t> Payload);
/// Continues openings whose probes have not been answered in time.
void tickOpenings(EntryContext &C);
/// Sets the service of an agent's upstream unless \p ServiceTag is zero.
void setService(EntryFlows &E, const Endpoint &Agent, std::uint32_t ServiceTag);

// entry_search.cpp
/// Starts a search for the flow of \p P at all agents except \p Excluded, and
/// holds the packet until the search ends.
void startSearch(EntryContext &C, const Packet &P,
                 absl::Span<const std::uint8_t> Raw,
                 const std::vector<Endpoint> &Excluded);
/// Adds an agent that has just become known to all running searches: it may
/// hold one of the flows.
void extendSearches(EntryFlows &E, const Endpoint &Agent);
/// Holds another packet of a flow that is being searched for.
void holdPacket(Search &S, const Packet &P, absl::Span<const std::uint8_t> Raw);
/// Continues a search once all queried agents have answered: first sends a
/// packet to those that answered Unsure, then queries the next wave.
void advanceSearch(EntryContext &C, const FlowKey &Flow);
/// Handles an agent's answer about one flow.
void onLocated(EntryContext &C, const Endpoint &Agent, FlowPresence Answer,
               const FlowKey &Flow);
/// Handles one part of an agent's flow list. A complete list answers all
/// searches that wait for this agent and began before the list was requested.
void onFlowList(EntryContext &C, const Endpoint &Agent,
                const FlowListPart &Part);
/// Handles an agent's answer to a request for its digest. A complete digest
/// answers all searches that wait for this agent and began before it was
/// requested, except for flows whose hash is listed.
void onDigest(EntryContext &C, const Endpoint &Agent,
              const DigestAnswer &Answer);
/// Repeats queries that haven't been answered, and ends searches that took too
/// long.
void tickSearches(EntryContext &C);
/// Sends the queued queries that are due.
void flushQueries(EntryContext &C);

// entry_budget.cpp
/// Enables admission control if the routes in force call for it.
void updateBudget(EntryFlows &E);
/// \returns whether the opening may be placed now. Otherwise it waits for a
/// share of the link, or was refused.
bool admitOpening(EntryContext &C, const Packet &P, const Route &R,
                  absl::Span<const std::uint8_t> Raw, TimePoint ArrivedAt);
/// Tells the admission control of a packet other than an opening.
void recordUpload(EntryContext &C, const Packet &P, const Route &R);
/// Tells the admission control of an agent's answer; must be called before the
/// answer is handled.
void recordProbeAnswer(EntryContext &C, const Endpoint &Agent);
/// Releases the shares of flows that this round's effects reset, and places
/// openings that waited for a share.
void settleBudget(EntryContext &C);
/// \returns the rate of queries: QueryBytesPerSecond, or less on a narrow link.
double queryBytesPerSecond(const UploadBudget &B);
/// Refuses openings that have waited too long and expires silent uploads.
void tickBudget(EntryContext &C);

} // namespace jasminearch::flow::detail

#endif // JASMINEARCH_FLOW_DETAIL_ENTRY_STEPS_H
