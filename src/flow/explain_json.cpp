#include "jasminearch/flow/explain.h"
#include <nlohmann/json.hpp>

namespace jasminearch::flow {

namespace {

using nlohmann::json;

std::string_view name(Admission Outcome) {
  switch (Outcome) {
  case Admission::Admitted:
    return "admitted";
  case Admission::Waits:
    return "waits";
  case Admission::Refused:
    return "refused";
  }
  return "unknown";
}

json toJson(const ExplainedCandidate &C) {
  json Item = {{"agent", toString(C.Agent)},
               {"data_centre", C.DataCentre},
               {"region", C.Region},
               {"state", name(C.State)},
               {"placed_since_report", C.PlacedSinceReport},
               {"chosen", C.Chosen}};
  if (C.ReportAge) {
    Item["report_age_ms"] = C.ReportAge->count();
    Item["outstanding"] = C.Outstanding;
    Item["active_flows"] = C.ActiveFlows;
    Item["service_time_us"] = C.ServiceTime.count();
    Item["remaining_work_us"] = C.RemainingWork.count();
    Item["overdue_ms"] = C.Overdue.count();
  }
  if (C.Cost)
    Item["cost"] = *C.Cost;
  return Item;
}

json toJson(const ExplainedAdmission &A) {
  json Item = {{"decision", name(A.Decision.Outcome)},
               {"share_free", A.ShareFree},
               {"limit", A.Limit},
               {"open", A.Open},
               {"load", A.Load},
               {"waiting", A.Waiting},
               {"expected_wait_ms", A.Decision.ExpectedWait.count()}};
  if (A.Decision.Outcome == Admission::Refused)
    Item["reason"] = describe(A.Decision.Reason);
  return Item;
}

} // namespace

std::string_view name(ExplainedOutcome Outcome) {
  switch (Outcome) {
  case ExplainedOutcome::Placed:
    return "placed";
  case ExplainedOutcome::ProbesFirst:
    return "probes_first";
  case ExplainedOutcome::Known:
    return "known";
  case ExplainedOutcome::Held:
    return "held";
  case ExplainedOutcome::NoRoute:
    return "no_route";
  case ExplainedOutcome::NoAgents:
    return "no_agents";
  case ExplainedOutcome::Evacuated:
    return "evacuated";
  case ExplainedOutcome::OtherRegion:
    return "other_region";
  case ExplainedOutcome::NotReady:
    return "not_ready";
  case ExplainedOutcome::HostFull:
    return "host_full";
  case ExplainedOutcome::UploadWaits:
    return "upload_waits";
  case ExplainedOutcome::UploadRefused:
    return "upload_refused";
  }
  return "unknown";
}

std::string_view name(CandidateState State) {
  switch (State) {
  case CandidateState::Compared:
    return "compared";
  case CandidateState::Evacuated:
    return "evacuated";
  case CandidateState::OtherRegion:
    return "other_region";
  case CandidateState::Draining:
    return "draining";
  case CandidateState::NotReady:
    return "not_ready";
  case CandidateState::OtherService:
    return "other_service";
  case CandidateState::Silent:
    return "silent";
  case CandidateState::ColdLimitReached:
    return "cold_limit_reached";
  case CandidateState::NoRecentReport:
    return "no_recent_report";
  case CandidateState::ProbesUnanswered:
    return "probes_unanswered";
  case CandidateState::OtherDataCentre:
    return "other_data_centre";
  case CandidateState::LowerRank:
    return "lower_rank";
  }
  return "unknown";
}

json toJson(const FlowExplanation &X) {
  json Candidates = json::array();
  for (const ExplainedCandidate &C : X.Candidates)
    Candidates.push_back(toJson(C));
  json Document = {{"caller", toString(X.Flow.Caller)},
                   {"service_address", toString(X.Flow.Service)},
                   {"outcome", name(X.Outcome)},
                   {"reason", X.Reason},
                   {"routes_version", X.RoutesVersion},
                   {"route", X.Route},
                   {"service", X.Service},
                   {"explored", X.Explored},
                   {"cost_unit", X.CostIsTime ? "us" : "load"},
                   {"not_asked", X.NotAsked},
                   {"candidates", std::move(Candidates)}};
  if (X.Agent)
    Document["agent"] = toString(*X.Agent);
  if (X.Admission)
    Document["admission"] = toJson(*X.Admission);
  return Document;
}

} // namespace jasminearch::flow
