#ifndef JASMINEARCH_FLOW_DETAIL_ENTRY_STEPS_H
#define JASMINEARCH_FLOW_DETAIL_ENTRY_STEPS_H

#include "jasminearch/flow/entry_flows.h"
#include <cstdint>
#include <string_view>
#include <vector>

/// Steps of the entry host's decisions that its source files share.
namespace jasminearch::flow::detail {

/// What every step needs.
struct EntryContext {
  EntryFlows &E;
  TimePoint Now;
  EntryEffects &Out;
};

// entry_steps.cpp
/// The same on every entry host, so that copies of an opening packet that take
/// different ways choose the same service.
std::uint64_t stableHash(const FlowKey &Flow);
bool contains(const std::vector<Endpoint> &All, const Endpoint &One);
/// Adds a FlowDecision with what is known of \p Agent.
void note(EntryContext &C, std::string_view Event, const FlowKey &Flow,
          std::string_view Reason, const Endpoint &Agent = {});
void reset(EntryContext &C, const FlowKey &Flow, std::uint32_t Sequence);
/// Forwards a packet of an open flow.
void forward(EntryContext &C, const Endpoint &Agent,
             absl::Span<const std::uint8_t> Raw);
/// Sends a message without a packet.
void ask(EntryContext &C, const Endpoint &Agent, TunnelKind Kind,
         const Bytes &Payload);
/// \returns whether the upstream beside \p Agent is known to hold no flow: the
/// agent says so, has been silent for so long that it counts as gone, or isn't
/// known any more.
bool gone(const EntryContext &C, const Endpoint &Agent);

// entry_search.cpp
/// Looks for the flow of \p P at all agents but \p Excluded, and keeps the
/// packet until it is found.
void startSearch(EntryContext &C, const Packet &P,
                 absl::Span<const std::uint8_t> Raw,
                 const std::vector<Endpoint> &Excluded);
/// Keeps another packet of a flow that is being looked for.
void hold(Search &S, const Packet &P, absl::Span<const std::uint8_t> Raw);
/// Takes the next step of a search once all agents that were asked have
/// answered: tries those that can't tell, then asks the next ones.
void advance(EntryContext &C, const FlowKey &Flow);
/// Takes an agent's answer about one flow.
void onLocated(EntryContext &C, const Endpoint &Agent, Holding Answer,
               const FlowKey &Flow);
/// Takes a part of an agent's list; a complete one answers all searches that
/// wait for this agent and began before it was asked for.
void onFlowList(EntryContext &C, const Endpoint &Agent,
                const FlowListPart &Part);
/// Asks agents again that haven't answered, and ends searches that took too
/// long.
void tickSearches(EntryContext &C);
/// Sends the questions that have been collected.
void flushQuestions(EntryContext &C);

} // namespace jasminearch::flow::detail

#endif // JASMINEARCH_FLOW_DETAIL_ENTRY_STEPS_H
