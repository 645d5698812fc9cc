#ifndef JASMINEARCH_FLOW_PLACEMENT_H
#define JASMINEARCH_FLOW_PLACEMENT_H

#include "jasminearch/flow/load_report.h"
#include "jasminearch/flow/routes.h"
#include "jasminearch/types.h"
#include <absl/types/span.h>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

/// Selection of the upstream for a new flow.
namespace jasminearch::flow {

/// An upstream that has left packets unanswered for this long gets new flows
/// only if no other upstream answers.
inline constexpr std::chrono::milliseconds SilenceThreshold{400};

/// Load of an open flow without a request in flight, relative to a flow with
/// one. A flow lasts for up to a minute and carries many requests.
inline constexpr double IdleFlowLoad = 0.35;

/// Number of upstreams, selected by the flow's hash, among which a new flow is
/// placed. If each entry host chose among all upstreams, they would all send
/// their next flows to the least loaded one. The limit also bounds the probes
/// for one opening, and the agents that a search must query first.
inline constexpr std::size_t CandidatesPerFlow = 4;

/// Speed of an upstream during its cold start, relative to its full speed.
inline constexpr double ColdStartSpeed = 0.6;

/// An agent that may get a new flow.
struct Candidate {
  Endpoint Agent;
  /// Never null.
  const LoadReport *Report = nullptr;
  /// Age of the report; bounded by MaxReportReuse.
  std::chrono::milliseconds Age{0};
  /// Number of flows that this entry host placed on the agent since the report
  /// arrived.
  std::uint32_t PlacedSinceReport = 0;

  auto operator<=>(const Candidate &) const = default;
};

/// \returns whether \p C can take new flows of the service with this tag.
bool isEligible(const Candidate &C, std::uint32_t ServiceTag);

/// \returns the number of requests that the upstream serves concurrently, less
/// during its cold start.
double capacity(const Candidate &C);

/// \returns the load of a new flow of this kind, in requests.
double flowLoad(RequestKind Kind);

/// \returns whether the cold limit of \p C allows another opening, as far as
/// its report and what this entry host placed since tell. True without a limit.
bool hasColdOpenings(const Candidate &C);

/// \returns the expected load after one more flow, relative to the upstream's
/// capacity.
double expectedLoad(const Candidate &C, RequestKind Kind);

/// \returns the rank of \p Agent for a flow with \p Hash; the highest rank
/// comes first. The order is the same on every entry host and changes little
/// when agents come or go (rendezvous hashing).
std::uint64_t rendezvousRank(const Endpoint &Agent, std::uint64_t Hash);

/// \returns the indices of the candidates that place() compares, the
/// highest-ranked first: at most CandidatesPerFlow, and silent ones only if
/// there are no others.
std::vector<std::size_t>
comparedCandidates(absl::Span<const Candidate> Candidates,
                   std::uint32_t ServiceTag, std::uint64_t Hash,
                   absl::Span<const Endpoint> Excluded);

/// Selects the candidate with the least cost (expectedCosts()) among the
/// CandidatesPerFlow eligible candidates that rank highest for \p Hash.
/// Candidates in \p Excluded are skipped; silent ones are used only if there is
/// no other. \returns the index of the candidate, or nothing if none is
/// eligible. Complexity: N log N in the number of candidates.
std::optional<std::size_t> place(absl::Span<const Candidate> Candidates,
                                 std::uint32_t ServiceTag, RequestKind Kind,
                                 std::uint64_t Hash,
                                 absl::Span<const Endpoint> Excluded);

} // namespace jasminearch::flow

#endif // JASMINEARCH_FLOW_PLACEMENT_H
