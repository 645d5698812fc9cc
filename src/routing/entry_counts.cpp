#include "jasminearch/routing/entry_counts.h"
#include <algorithm>
#include <string>

namespace jasminearch::routing {

namespace {

using control::Promise;
using control::PromiseCount;

void reportService(std::vector<PromiseCount> &Report, ServiceId Id,
                   const ServiceCounts &Counts) {
  const std::uint64_t Checked = Counts.Answered + Counts.RefusedAnswers;
  if (Checked > 0)
    Report.push_back({Id, Promise::NoMisdelivery, Checked, 0, 0, ""});
  if (Counts.NoUpstream > 0)
    Report.push_back({Id, Promise::WholeAnswers, 0, 0, Counts.NoUpstream,
                      "entry host had no upstream for " +
                          std::to_string(Counts.NoUpstream) + " datagrams"});
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
  for (const auto &[Id, Service] : Counts.Services)
    reportService(Report, Id, Service);
  const std::uint64_t Kept = Configurations.Accepted + Configurations.Refused;
  if (Kept > 0)
    Report.push_back({{}, Promise::ConfigurationHolds, Kept, 0, 0, ""});
  if (Counts.UnknownService > 0)
    Report.push_back(
        {{}, Promise::NoMisdelivery, Counts.UnknownService, 0, 0, ""});
  // The map's order differs between runs.
  std::sort(Report.begin(), Report.end());
  return Report;
}

} // namespace jasminearch::routing
