#ifndef JASMINEARCH_FLOW_EXPECTED_COST_H
#define JASMINEARCH_FLOW_EXPECTED_COST_H

#include "jasminearch/flow/load_report.h"
#include "jasminearch/flow/placement.h"
#include "jasminearch/flow/routes.h"
#include <absl/types/span.h>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

/// Comparison of the candidates for a new flow by what their agents have
/// learnt about the speed of their upstreams.
namespace jasminearch::flow {

/// Upstreams whose service times differ by less than this factor count as
/// equally fast. Estimates at constant speed are off by at most 3.3% in
/// ServiceTimeTest::staysStableAtConstantSpeed; the margin leaves room for work
/// that varies more. A smaller difference in speed costs less than placing by a
/// wrong one.
inline constexpr double NoiseMargin = 1.25;

/// An estimate without samples for this long approaches that of the other
/// candidates, with the time constant EstimateDrift, so that an upstream that
/// was slow gets openings by which it is judged again.
inline constexpr std::chrono::milliseconds EstimateLifetime{3000};
inline constexpr std::chrono::milliseconds EstimateDrift{3000};

/// Share of the new flows that are placed in proportion to speed alone, among
/// candidates that aren't equally fast. Without it, an upstream that became
/// slow gets no openings at low load and isn't judged again.
inline constexpr double ExplorationShare = 0.05;

/// Weight of a request's own service time against its wait. With the full
/// weight, the busiest upstream of a fleet at half load is 12% busier than the
/// mean; with a quarter 8%, at the same response times.
inline constexpr double OwnServiceWeight = 0.25;

/// Service time by which Overdue is compared with the number of requests if no
/// candidate has an estimate.
inline constexpr std::chrono::milliseconds UnknownServiceTime{50};

/// What placement expects of one candidate.
struct ExpectedCost {
  /// Service time as compared, in microseconds; zero if no candidate has an
  /// estimate.
  double ServiceTime = 0;
  /// Expected completion time in microseconds, or expectedLoad() if all
  /// candidates are equally fast. Comparable among the candidates of one call.
  double Cost = 0;
};

/// \returns the service times to compare \p Candidates by, in microseconds.
/// Those of routes that all candidates report count, if there are any. A
/// candidate without an estimate counts as the median of the others. Those
/// that differ by less than NoiseMargin from the fastest of their group are
/// equal. All zero if no candidate has an estimate.
std::vector<double>
comparableServiceTimes(absl::Span<const Candidate> Candidates);

/// \returns the cost of a new flow at each of \p Candidates. If all are equally
/// fast, it is expectedLoad(). Otherwise it is the expected completion time of
/// the next request: the remaining work, what this host has placed since the
/// report and what flows without a request will bring, divided by the slots,
/// and OwnServiceWeight of the service time. An overdue upstream costs more, by
/// the time by which it exceeds the least overdue candidate.
std::vector<ExpectedCost> expectedCosts(absl::Span<const Candidate> Candidates,
                                        RequestKind Kind);

/// \returns the candidate that gets the flow regardless of its load, to learn
/// its speed: for ExplorationShare of the hashes one selected in proportion to
/// speed, otherwise nothing. Nothing if all candidates are equally fast.
std::optional<std::size_t>
exploredCandidate(absl::Span<const Candidate> Candidates,
                  absl::Span<const ExpectedCost> Costs, std::uint64_t Hash);

} // namespace jasminearch::flow

#endif // JASMINEARCH_FLOW_EXPECTED_COST_H
