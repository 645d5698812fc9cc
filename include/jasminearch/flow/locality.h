#ifndef JASMINEARCH_FLOW_LOCALITY_H
#define JASMINEARCH_FLOW_LOCALITY_H

#include "jasminearch/flow/placement.h"
#include <absl/functional/function_ref.h>
#include <absl/types/span.h>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

/// Preference for upstreams in the entry host's own data centre. An upload
/// carries 40 kB from the entry host to the upstream, and bytes between data
/// centres are expensive.
namespace jasminearch::flow {

/// An upstream in the own data centre gets an upload as long as it has at most
/// this many more requests in flight per slot than the least busy one
/// elsewhere. One more request per slot delays an upload by tens of
/// milliseconds, of an objective of 800 ms.
inline constexpr double LocalLoadSlack = 1;

/// \returns the requests in flight per slot of a candidate, including the flows
/// that this entry host has placed on it since its report.
double requestsPerSlot(const Candidate &C);

/// \returns requestsPerSlot() of the least busy candidate that can take new
/// flows of the service and isn't silent, or nothing if there is none.
std::optional<double> leastBusy(absl::Span<const Candidate> Candidates,
                                std::uint32_t ServiceTag);

/// Candidates in the own data centre and elsewhere.
struct CandidatesBySite {
  std::vector<Candidate> Own;
  std::vector<Candidate> Elsewhere;
  /// The candidates elsewhere were asked; otherwise Elsewhere is empty.
  bool ElsewhereAsked = false;
};

/// \returns the candidates among which the flow is placed. Those in the own
/// data centre that aren't busier than the least busy one elsewhere by more
/// than LocalLoadSlack; otherwise those elsewhere if one of them can take the
/// flow, and all if none can. An upstream elsewhere has at least no requests in
/// flight, so that candidates with at most LocalLoadSlack are chosen before the
/// others are asked. Empty if the others must be asked.
std::vector<Candidate> preferOwn(const CandidatesBySite &Candidates,
                                 std::uint32_t ServiceTag);

/// Orders the agents that a search asks, the most likely last. \p Ranked are
/// agents by ascending likelihood without regard to their site. An opening is
/// placed among the CandidatesPerFlow highest-ranked agents of the own data
/// centre, then among as many elsewhere; so these come last, in this order.
/// \p IsOwn tells which agents are in the own data centre. Complexity: linear.
std::vector<Endpoint>
orderByPlacement(const std::vector<Endpoint> &Ranked,
                 absl::FunctionRef<bool(const Endpoint &)> IsOwn);

} // namespace jasminearch::flow

#endif // JASMINEARCH_FLOW_LOCALITY_H
