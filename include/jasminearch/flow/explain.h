#ifndef JASMINEARCH_FLOW_EXPLAIN_H
#define JASMINEARCH_FLOW_EXPLAIN_H

#include "jasminearch/flow/entry_flows.h"
#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Explanation of where an entry host would send the next opening of a flow.
/// Built from the functions that place flows, so that it can't disagree with
/// them.
namespace jasminearch::flow {

/// What the entry host would do with the opening.
enum class ExplainedOutcome : std::uint8_t {
  /// It goes to an agent at once.
  Placed,
  /// Probes are sent first, because reports are missing or too old.
  ProbesFirst,
  /// An earlier opening of the flow was sent to an agent, or waits for reports.
  Known,
  /// The host can't place flows yet and holds the opening.
  Held,
  /// No route has the service address.
  NoRoute,
  /// The services of the route have no upstreams.
  NoAgents,
  /// Every upstream is in an evacuated data centre.
  Evacuated,
  /// No upstream is in an allowed region.
  OtherRegion,
  /// No upstream can take it.
  NotReady,
  /// The host has too many flows or pending openings.
  HostFull,
  /// Admission control lets the upload wait or refuses it.
  UploadWaits,
  UploadRefused,
};

/// \returns the stable name of \p Outcome in JSON, for example "probes_first".
std::string_view name(ExplainedOutcome Outcome);

/// How an agent takes part in the comparison.
enum class CandidateState : std::uint8_t {
  /// It is compared by cost.
  Compared,
  Evacuated,
  OtherRegion,
  Draining,
  /// The upstream is unknown or its lease has ended.
  NotReady,
  /// It reports another service.
  OtherService,
  /// The upstream leaves packets unanswered.
  Silent,
  ColdLimitReached,
  /// The report is missing or too old; an opening probes the agent.
  NoRecentReport,
  /// Probes have not been answered in time.
  ProbesUnanswered,
  /// An upload goes to the other data centres' candidates or to the own ones.
  OtherDataCentre,
  /// CandidatesPerFlow others rank higher for the flow.
  LowerRank,
};

/// \returns the stable name of \p State in JSON, for example "draining".
std::string_view name(CandidateState State);

/// An agent of the service that is tried.
struct ExplainedCandidate {
  Endpoint Agent;
  /// Empty if unknown.
  std::string DataCentre;
  std::string Region;
  CandidateState State = CandidateState::Compared;
  /// Empty if the agent has sent no report. The values below are zero then.
  std::optional<std::chrono::milliseconds> ReportAge;
  std::uint32_t Outstanding = 0;
  std::uint32_t ActiveFlows = 0;
  std::uint32_t PlacedSinceReport = 0;
  std::chrono::microseconds ServiceTime{0};
  std::chrono::microseconds RemainingWork{0};
  std::chrono::milliseconds Overdue{0};
  /// As expectedCosts() returns it, in microseconds or as a load; empty unless
  /// the agent is compared.
  std::optional<double> Cost;
  bool Chosen = false;

  auto operator<=>(const ExplainedCandidate &) const = default;
};

/// What admission control would decide on an upload.
struct ExplainedAdmission {
  AdmissionResult Decision;
  bool ShareFree = false;
  double Limit = 0;
  /// Open uploads, the sum of their loads, and waiting ones.
  std::size_t Open = 0;
  double Load = 0;
  std::size_t Waiting = 0;

  auto operator<=>(const ExplainedAdmission &) const = default;
};

struct FlowExplanation {
  FlowKey Flow;
  ExplainedOutcome Outcome = ExplainedOutcome::NoRoute;
  /// For operators.
  std::string Reason;
  std::uint64_t RoutesVersion = 0;
  /// Names of the route and of the service that gets the flow, or that is tried
  /// first if none does; empty without a route.
  std::string Route;
  std::string Service;
  /// Where the opening goes. With ProbesFirst, where it would go if the old
  /// reports still held. With an upload that waits, where it would go now.
  std::optional<Endpoint> Agent;
  /// The agent is chosen in proportion to speed, whatever its load.
  bool Explored = false;
  /// Cost is an expected completion time in microseconds, otherwise a load.
  bool CostIsTime = false;
  /// In the order in which they are compared, then the excluded ones.
  std::vector<ExplainedCandidate> Candidates;
  /// Agents of the service that are neither compared nor excluded.
  std::size_t NotAsked = 0;
  std::optional<ExplainedAdmission> Admission;

  bool operator==(const FlowExplanation &) const = default;
};

/// Maximum number of excluded agents in an explanation.
inline constexpr std::size_t MaxExplainedExclusions = 100;

/// \returns where the first copy of the opening of \p Flow would go if it
/// arrived at \p Now. Changes nothing and sends nothing.
FlowExplanation explainOpening(const EntryFlows &E, const FlowKey &Flow,
                               TimePoint Now);

/// \returns the explanation as a JSON object.
nlohmann::json toJson(const FlowExplanation &X);

} // namespace jasminearch::flow

#endif // JASMINEARCH_FLOW_EXPLAIN_H
