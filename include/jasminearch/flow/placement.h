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
#include <string>

/// Decides which upstream takes a new flow.
namespace jasminearch::flow {

/// A report older than this no longer shows that the agent lives. Three report
/// intervals and the usual delay of a busy agent.
inline constexpr std::chrono::milliseconds ReportFresh{900};

/// An upstream that left packets unanswered for this long gets no new flows
/// while another one answers.
inline constexpr std::chrono::milliseconds SilentLimit{400};

/// Work that an open flow without a request in flight brings, as a share of
/// that of a request in flight. A flow stays for up to a minute, its requests
/// come and go.
inline constexpr double IdleFlowLoad = 0.35;

/// Upstreams among which a flow's opening chooses, picked by the flow's hash.
/// Entry hosts see the same reports; if each chose among all upstreams, all of
/// them would send their next flows to the same one. It also bounds where a
/// flow has to be looked for.
inline constexpr std::size_t ChoicesPerFlow = 4;

/// Share of its speed that an upstream has after a cold start.
inline constexpr double ColdSpeed = 0.6;

/// What an entry host knows of one agent when it places a flow.
struct Candidate {
  Endpoint Agent;
  /// Never null.
  const LoadReport *Report = nullptr;
  /// Age of the report.
  std::chrono::milliseconds Age{0};
  /// Flows that this entry host placed there since the report arrived.
  std::uint32_t PlacedSince = 0;

  auto operator<=>(const Candidate &) const = default;
};

/// \returns whether \p C may take new flows of \p Service at all.
bool eligible(const Candidate &C, const std::string &Service);

/// \returns the expected load after one more flow, relative to the upstream's
/// capacity.
double loadWith(const Candidate &C, RequestKind Kind);

/// \returns the rank of \p Agent for a flow with \p Hash; the highest come
/// first. The same on every entry host, and hardly changed by agents that come
/// or go (rendezvous hashing).
std::uint64_t rendezvousRank(const Endpoint &Agent, std::uint64_t Hash);

/// Picks, among the ChoicesPerFlow eligible candidates that rank first for
/// \p Hash, the one with the least load. Candidates in \p Excluded aren't
/// taken, and silent ones only when there is no other. \returns its index, or
/// nothing if none is eligible. Complexity: N log N in the number of
/// candidates.
std::optional<std::size_t> place(absl::Span<const Candidate> Candidates,
                                 const std::string &Service, RequestKind Kind,
                                 std::uint64_t Hash,
                                 absl::Span<const Endpoint> Excluded);

} // namespace jasminearch::flow

#endif // JASMINEARCH_FLOW_PLACEMENT_H
