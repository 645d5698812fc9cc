#include "jasminearch/flow/agent_loop.h"
#include "jasminearch/flow/detail/traffic_support.h"
#include "jasminearch/log.h"
#include "jasminearch/metrics_text.h"
#include "jasminearch/net/datagram_batch.h"
#include <poll.h>
#include <utility>

namespace jasminearch::flow {

namespace {

using detail::DecisionLogLimiter;
using detail::send;

struct Batches {
  net::ReceiveBatch In;
  net::SendBatch FromTunnel;
  net::SendBatch ToUpstream;
};

Batches &batches() {
  thread_local Batches Own;
  return Own;
}

void logDecision(DecisionLogLimiter &Log, const AgentDecision &D,
                 TimePoint Now) {
  if (!Log.allow(false, Now))
    return;
  logEvent(LogLevel::Info, D.Event,
           {{"flow", toString(D.Flow)},
            {"reason", std::string(D.Reason)},
            {"announcement", D.AnnouncementNumber},
            {"announcement_age_ms", std::int64_t{D.AnnouncementAge.count()}}});
}

std::string metricsText(const AgentFlows &A, TimePoint Now) {
  const AgentCounters &C = A.Counters;
  const LoadReport R = buildReport(A, Now);
  MetricsText Text("jasminearch_agent_");
  Text.counter("delivered_total", C.Delivered);
  Text.counter("to_callers_total", C.ToCallers);
  Text.counter("openings_delivered_total", C.OpeningsDelivered);
  Text.counter("openings_declined_total", C.OpeningsDeclined);
  Text.counter("openings_declined_evacuated_total", C.DeclinedEvacuated);
  Text.counter("openings_declined_other_region_total", C.DeclinedOtherRegion);
  Text.counter("uploads_offered_total", C.UploadsOffered);
  Text.counter("openings_waited_total", C.OpeningsWaited);
  Text.counter("openings_expired_total", C.OpeningsExpired);
  Text.counter("openings_over_cold_limit_total", C.OpeningsOverColdLimit);
  Text.counter("returned_by_upstream_total", C.ReturnedByUpstream);
  Text.counter("not_held_total", C.NotHeld);
  Text.counter("malformed_total", C.Malformed);
  Text.counter("announcements_total", C.Announcements);
  Text.counter("announcements_outdated_total", C.AnnouncementsOutdated);
  Text.counter("announcements_unknown_service_total",
               C.AnnouncementsOfUnknownServices);
  Text.counter("sends_refused_total", C.SendsRefused);
  Text.gauge("active_flows", R.ActiveFlows);
  Text.gauge("outstanding", R.Outstanding);
  Text.gauge("upstream_state", static_cast<std::uint64_t>(R.State));
  Text.gauge("service_time_us",
             static_cast<std::uint64_t>(R.ServiceTime.count()));
  Text.gauge("remaining_work_us",
             static_cast<std::uint64_t>(R.RemainingWork.count()));
  Text.gauge("overdue_ms", static_cast<std::uint64_t>(R.Overdue.count()));
  Text.gauge("routes_tracked", A.Service.Routes.size());
  Text.counter("service_samples_total", A.Service.Samples);
  Text.counter("speed_changes_total", A.Service.SpeedChanges);
  Text.counter("requests_failed_total", A.Service.Failures);
  Text.gauge("evacuated", A.Evacuated ? 1 : 0);
  Text.gauge("knows_all_flows", knowsAllFlows(A) ? 1 : 0);
  Text.histogram("response_seconds", A.ResponseTimes);
  return Text.take();
}

} // namespace

AgentLoop::AgentLoop(AgentLoopOptions InitialOptions, const Clock &Time)
    : Options(std::move(InitialOptions)), Time(Time) {
  Flows.Options = Options.Agent;
  Flows.StartedAt = Time.now();
}

Expected<std::unique_ptr<AgentLoop>> AgentLoop::open(AgentLoopOptions Options,
                                                     const Clock &Time) {
  std::unique_ptr<AgentLoop> Loop(new AgentLoop(std::move(Options), Time));
  auto Tunnel = net::bindUdp(Loop->Options.Tunnel, {});
  if (!Tunnel)
    return tl::unexpected(Tunnel.error());
  auto Outbound = net::bindUdp(Loop->Options.Outbound, {});
  if (!Outbound)
    return tl::unexpected(Outbound.error());
  Loop->Tunnel = std::move(*Tunnel);
  Loop->Outbound = std::move(*Outbound);
  return Loop;
}

void AgentLoop::receiveBatch(const net::UdpSocket &Socket, bool FromUpstream) {
  net::ReceiveBatch &In = batches().In;
  const std::size_t Count = In.receive(Socket);
  const TimePoint Now = Time.now();
  for (std::size_t I = 0; I < Count; ++I) {
    if (FromUpstream)
      onUpstreamPacket(Flows, In.datagram(I), Now, Effects);
    else
      onTunnel(Flows, In.from(I), In.datagram(I), Now, Effects);
  }
}

void AgentLoop::applyEffects() {
  static DecisionLogLimiter Log;
  Batches &B = batches();
  const TimePoint Now = Time.now();
  for (AgentEffect &Effect : Effects) {
    if (const auto *U = std::get_if<SendToUpstream>(&Effect))
      send(B.ToUpstream, Outbound, U->Raw, Options.Upstream);
    else if (const auto *P = std::get_if<SendToCaller>(&Effect))
      send(B.FromTunnel, Tunnel, P->Raw,
           {P->Caller.Address, Options.CallerPort});
    else if (const auto *E = std::get_if<SendToEntry>(&Effect))
      send(B.FromTunnel, Tunnel, E->Datagram, E->To);
    else if (std::holds_alternative<StartListenCheck>(Effect))
      Check.start(Options.Upstream);
    else if (const auto *D = std::get_if<AgentDecision>(&Effect))
      logDecision(Log, *D, Now);
  }
  Effects.clear();
  B.ToUpstream.flush(Outbound);
  B.FromTunnel.flush(Tunnel);
  recordSent(Flows.Delivered, Time.now());
  Flows.Counters.SendsRefused = B.ToUpstream.refused() + B.FromTunnel.refused();
}

void AgentLoop::finishListenCheck() {
  const bool Refused = Check.finish() == net::ListenState::No;
  if (onListenCheckDone(Flows, Refused))
    logEvent(LogLevel::Warning, "upstream_not_listening",
             {{"upstream", toString(Options.Upstream)},
              {"announced", Flows.Upstream.has_value()}});
}

void AgentLoop::run() {
  TimePoint TickDue{};
  while (!Stopping) {
    pollfd Descriptors[] = {{Tunnel.descriptor(), POLLIN, 0},
                            {Outbound.descriptor(), POLLIN, 0},
                            {Mail.descriptor(), POLLIN, 0},
                            {Check.descriptor(), POLLOUT, 0}};
    poll(Descriptors, std::size(Descriptors), detail::TickIntervalMs);
    beginRound(Flows.Input, Time.now());
    if (Descriptors[2].revents != 0)
      Mail.run();
    if (Descriptors[1].revents != 0)
      receiveBatch(Outbound, true);
    if (Descriptors[0].revents != 0)
      receiveBatch(Tunnel, false);
    if (Descriptors[3].revents != 0)
      finishListenCheck();
    const TimePoint Now = Time.now();
    if (Now >= TickDue) {
      TickDue = Now + std::chrono::milliseconds(detail::TickIntervalMs);
      tick(Flows, Now, Effects);
      Listed = mustBeListed(Flows, Now);
      MissesUpstream = Flows.ReportedMissing;
    }
    applyEffects();
  }
}

void AgentLoop::stop() {
  Mail.post([this] { Stopping = true; });
}

void AgentLoop::stopAcceptingNewFlows() {
  Mail.post([this] { flow::stopAcceptingNewFlows(Flows); });
}

void AgentLoop::announce(AnnouncedUpstream Value,
                         std::function<void(AnnouncementResult)> Done) {
  Mail.post([this, Value = std::move(Value), Done = std::move(Done)] {
    const auto Before = Flows.Upstream;
    const AnnouncementResult Result = flow::announce(Flows, Value, Time.now());
    const bool Changed = !Before || Before->Name != Value.Name ||
                         Before->State != Value.State ||
                         Before->StartedAtMs != Value.StartedAtMs;
    if (Changed || Result != AnnouncementResult::Accepted)
      logEvent(LogLevel::Info, "upstream_announced",
               {{"upstream", Value.Name},
                {"service", Value.Service},
                {"state", static_cast<std::uint64_t>(Value.State)},
                {"number", Value.Number},
                {"started_at_ms", Value.StartedAtMs},
                {"agent_started_at_ms", Options.Agent.StartedAtMs},
                {"found_none_listening", Flows.FoundNoneListening},
                {"knows_all_flows", knowsAllFlows(Flows)},
                {"taken", Result == AnnouncementResult::Accepted}});
    Done(Result);
  });
}

void AgentLoop::withdraw(std::string Name,
                         std::function<void(AnnouncementResult)> Done) {
  Mail.post([this, Name = std::move(Name), Done = std::move(Done)] {
    const AnnouncementResult Result = flow::withdraw(Flows, Name);
    logEvent(LogLevel::Info, "upstream_withdrawn",
             {{"upstream", Name},
              {"taken", Result == AnnouncementResult::Accepted}});
    Done(Result);
  });
}

void AgentLoop::setEvacuated(bool Evacuated) {
  Mail.post([this, Evacuated] { flow::setEvacuated(Flows, Evacuated); });
}

void AgentLoop::setColdLimits(std::vector<ColdLimit> Limits) {
  Mail.post([this, Limits = std::move(Limits)]() mutable {
    flow::setColdLimits(Flows, std::move(Limits));
  });
}

void AgentLoop::setRoutedServices(std::vector<std::string> Services) {
  Mail.post([this, Services = std::move(Services)]() mutable {
    flow::setRoutedServices(Flows, std::move(Services));
  });
}

void AgentLoop::reportEarlierRuns(
    std::optional<std::chrono::milliseconds> HeardAge) {
  Mail.post([this, HeardAge] {
    flow::reportEarlierRuns(Flows, HeardAge, Time.now());
    logEvent(LogLevel::Info, "earlier_runs_reported",
             {{"heard", HeardAge.has_value()},
              {"heard_age_ms",
               std::int64_t{
                   HeardAge.value_or(std::chrono::milliseconds(0)).count()}},
              {"knows_all_flows", knowsAllFlows(Flows)}});
  });
}

void AgentLoop::setOwnService(std::string Service) {
  Mail.post([this, Service = std::move(Service)]() mutable {
    Flows.Options.Service = std::move(Service);
  });
}

std::string AgentLoop::metrics() {
  return detail::callAndWait(Mail,
                             [this] { return metricsText(Flows, Time.now()); });
}

} // namespace jasminearch::flow
