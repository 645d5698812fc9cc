#ifndef JASMINEARCH_FLOW_DETAIL_ENTRY_CANDIDATES_H
#define JASMINEARCH_FLOW_DETAIL_ENTRY_CANDIDATES_H

#include "jasminearch/flow/detail/entry_steps.h"
#include "jasminearch/flow/exclusion.h"
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

/// Selection of the agents that an entry host considers for an opening.
namespace jasminearch::flow::detail {

/// \returns why \p Agent gets no new flow of \p R, or nothing if it may get
/// one.
std::optional<ExclusionReason>
exclusionOf(const EntryFlows &E, const Endpoint &Agent, const Route &R);

/// \returns why no agent of the services of \p R may get a flow of it, or
/// nothing if one may, or if there are none.
std::optional<ExclusionReason> commonExclusion(const EntryFlows &E,
                                               const Route &R);

/// \returns whether flows of \p R go to the own data centre if possible.
bool prefersOwnDataCentre(const EntryFlows &E, const Route &R);

/// \returns whether \p Agent is known to be in the own data centre.
bool isInOwnDataCentre(const EntryFlows &E, const Endpoint &Agent);

/// \returns the agents of a service whose reports decide on an opening of
/// \p R. Without agents in the own data centre, \p O is set to ask elsewhere.
std::vector<Endpoint> agentsToCompare(const EntryFlows &E, const Route &R,
                                      PendingOpening &O,
                                      std::uint32_t ServiceTag,
                                      std::uint64_t Hash);

/// \returns those of \p All that place() chooses from: for uploads the ones in
/// the preferred data centres.
std::vector<Candidate> preferredCandidates(const EntryFlows &E, const Route &R,
                                           const PendingOpening &O,
                                           const std::vector<Candidate> &All,
                                           std::uint32_t ServiceTag);

/// \returns the agent that gets an opening of \p R, or nothing if none of
/// \p All can take it, or if more agents must be compared first.
std::optional<Endpoint> chooseAgent(const EntryFlows &E, const Route &R,
                                    const PendingOpening &O,
                                    const std::vector<Candidate> &All,
                                    std::uint32_t ServiceTag,
                                    std::uint64_t Hash);

/// Lets more agents be compared for an opening. \returns false if there are
/// enough.
bool compareMore(const EntryFlows &E, const Route &R, PendingOpening &O);

/// Lets the comparison begin again.
void resetComparison(PendingOpening &O);

/// Counts an opening of \p R that is sent to \p Agent.
void countPlaced(EntryFlows &E, const Route &R, const Endpoint &Agent);

/// \returns the tags of the regions that \p R names, for tunnel headers.
std::vector<std::uint32_t> regionTags(const Route &R);

/// Counts a new flow.
void countOpened(EntryFlows &E, const FlowKey &Flow);

/// Counts a refused opening of \p Flow by reason. \p AnyDeclined tells whether
/// an agent declined it. \returns the reason to log.
std::string_view countRefusal(EntryFlows &E, const FlowKey &Flow,
                              bool AnyDeclined);

/// \returns the reason to log for a refused opening. \p Excluded is the
/// commonExclusion() of its route.
std::string_view describeRefusal(std::optional<ExclusionReason> Excluded,
                                 bool AnyDeclined);

} // namespace jasminearch::flow::detail

#endif // JASMINEARCH_FLOW_DETAIL_ENTRY_CANDIDATES_H
