#include "jasminearch/routing/entry_counts.h"
#include <algorithm>
#include <string>

namespace jasminearch::routing {

namespace {

using control::Promise;
using control::PromiseCount;

std::string noUpstreamEvidence(std::uint64_t Datagrams) {
  return "entry host had no upstream for " + std::to_string(Datagrams) +
         " datagrams";
}

PromiseCount heldCount(ServiceId Id, std::uint64_t Answers) {
  return {Id, Promise::NoMisdelivery, Answers, 0, 0, ""};
}

PromiseCount unknownCount(ServiceId Id, std::uint64_t Datagrams) {
  return {Id,        Promise::WholeAnswers,        0, 0,
          Datagrams, noUpstreamEvidence(Datagrams)};
}

/// Sums for one service, or for all services that aren't reported individually.
struct ReportedSums {
  std::uint64_t Checked = 0;
  std::uint64_t Dropped = 0;
};

void reportSums(std::vector<PromiseCount> &Report, ServiceId Id,
                const ReportedSums &Sums) {
  if (Sums.Checked > 0)
    Report.push_back(heldCount(Id, Sums.Checked));
  if (Sums.Dropped > 0)
    Report.push_back(unknownCount(Id, Sums.Dropped));
}

} // namespace

void count(EntryCounts &Counts, const ForwardDecision &Decision) {
  if (Decision.Failure == ErrorCode::UnknownServiceAddress) {
    ++Counts.UnknownAddress;
    return;
  }
  ServiceCounts &Service = Counts.Services[Decision.Header.Service];
  if (Decision.Failure == ErrorCode{})
    ++Service.Forwarded;
  else
    ++Service.NoUpstream;
}

void count(EntryCounts &Counts, const AnswerDecision &Decision) {
  if (Decision.Failure == ErrorCode::UnknownService) {
    ++Counts.UnknownService;
    return;
  }
  if (Decision.Failure == ErrorCode::FrameMalformed) {
    ++Counts.BadFrame;
    return;
  }
  ServiceCounts &Service = Counts.Services[Decision.Service];
  if (Decision.Failure == ErrorCode{})
    ++Service.Answered;
  else
    ++Service.RefusedAnswers;
}

void add(EntryCounts &Sum, const EntryCounts &Other) {
  for (const auto &[Id, Counts] : Other.Services) {
    ServiceCounts &Service = Sum.Services[Id];
    Service.Forwarded += Counts.Forwarded;
    Service.Answered += Counts.Answered;
    Service.NoUpstream += Counts.NoUpstream;
    Service.RefusedAnswers += Counts.RefusedAnswers;
  }
  Sum.UnknownAddress += Other.UnknownAddress;
  Sum.UnknownService += Other.UnknownService;
  Sum.BadHeader += Other.BadHeader;
  Sum.BadFrame += Other.BadFrame;
  Sum.Oversize += Other.Oversize;
  Sum.SendFailed += Other.SendFailed;
}

std::vector<PromiseCount>
promiseCounts(const EntryCounts &Counts,
              const ConfigurationCounts &Configurations) {
  std::vector<PromiseCount> Report;
  ReportedSums Rest{Counts.UnknownService, 0};
  for (const auto &[Id, Service] : Counts.Services) {
    const ReportedSums Sums{Service.Answered + Service.RefusedAnswers,
                            Service.NoUpstream};
    if (Id.Number <= MaxReportedServiceId) {
      reportSums(Report, Id, Sums);
      continue;
    }
    Rest.Checked += Sums.Checked;
    Rest.Dropped += Sums.Dropped;
  }
  reportSums(Report, {}, Rest);
  const std::uint64_t Total = Configurations.Accepted + Configurations.Refused;
  if (Total > 0)
    Report.push_back({{}, Promise::ConfigurationHolds, Total, 0, 0, ""});
  // The iteration order of the hash map differs between runs.
  std::sort(Report.begin(), Report.end());
  return Report;
}

} // namespace jasminearch::routing
