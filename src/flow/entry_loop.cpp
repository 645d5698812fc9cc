#include "jasminearch/flow/entry_loop.h"
#include "jasminearch/flow/detail/traffic_support.h"
#include "jasminearch/flow/explain.h"
#include "jasminearch/log.h"
#include "jasminearch/metrics_text.h"
#include "jasminearch/net/datagram_batch.h"
#include <algorithm>
#include <array>
#include <future>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <utility>

namespace jasminearch::flow {

namespace {

using detail::DecisionLogLimiter;
using detail::send;

struct Batches {
  net::ReceiveBatch In;
  net::SendBatch ToAgents;
  net::SendBatch ToCallers;
};

Batches &batches() {
  thread_local Batches Own;
  return Own;
}

void logDecision(DecisionLogLimiter &Log, const FlowDecision &D,
                 TimePoint Now) {
  if (!Log.allow(D.Event == "flow_placed", Now))
    return;
  const LogField Flow{"flow", toString(D.Flow)};
  const LogField Reason{"reason", D.Reason};
  const LogField Agent{"agent", toString(D.Agent)};
  const LogField Version{"routes_version", D.RoutesVersion};
  const LogField Age{"report_age_ms", std::int64_t{D.ReportAge.count()}};
  const LogField Outstanding{"outstanding", std::uint64_t{D.Outstanding}};
  const LogField Active{"active_flows", std::uint64_t{D.ActiveFlows}};
  const LogField Service{"service_time_us",
                         std::int64_t{D.ServiceTime.count()}};
  const LogField Work{"remaining_work_us",
                      std::int64_t{D.RemainingWork.count()}};
  const LogField Overdue{"overdue_ms", std::int64_t{D.Overdue.count()}};
  if (D.Upload)
    logEvent(LogLevel::Info, D.Event,
             {Flow, Reason, Agent, Version, Age, Outstanding, Active, Service,
              Work, Overdue, LogField{"kind", std::string("upload")}});
  else
    logEvent(LogLevel::Info, D.Event,
             {Flow, Reason, Agent, Version, Age, Outstanding, Active, Service,
              Work, Overdue});
}

void logDecision(DecisionLogLimiter &Log, const UploadDecision &D,
                 TimePoint Now) {
  if (!Log.allow(false, Now))
    return;
  logEvent(LogLevel::Info, D.Event,
           {{"flow", toString(D.Flow)},
            {"reason", std::string(D.Reason)},
            {"uploads_open", std::uint64_t{D.Open}},
            {"uploads_waiting", std::uint64_t{D.Waiting}},
            {"upload_limit", D.Limit},
            {"expected_wait_ms", std::int64_t{D.ExpectedWait.count()}},
            {"upload_ms", std::int64_t{D.UploadTime.count()}},
            {"round_trip_ms", std::int64_t{D.RoundTrip.count()}}});
}

void addBudgetMetrics(MetricsText &Text, const UploadBudget &B) {
  const UploadCounters &C = B.Counters;
  Text.counter("uploads_admitted_total", C.Admitted);
  Text.counter("uploads_admitted_after_wait_total", C.AdmittedAfterWait);
  Text.counter("uploads_refused_no_share_total",
               C.Refused[static_cast<int>(UploadRefusal::NoShareInTime)]);
  Text.counter("uploads_refused_waited_total",
               C.Refused[static_cast<int>(UploadRefusal::WaitedTooLong)]);
  Text.counter("uploads_refused_queue_full_total",
               C.Refused[static_cast<int>(UploadRefusal::QueueFull)]);
  Text.counter("uploads_finished_total", C.Finished);
  Text.counter("uploads_reset_total", C.Reset);
  Text.counter("uploads_silent_total", C.Silent);
  Text.counter("upload_data_packets_total", C.DataPackets);
  Text.counter("upload_data_copies_total", C.DataCopies);
  Text.counter("upload_limit_increases_total", C.LimitIncreases);
  Text.counter("upload_limit_decreases_total", C.LimitDecreases);
  Text.counter("link_rate_decreases_total", C.RateDecreases);
  Text.gauge("link_rate_percent",
             static_cast<std::uint64_t>(B.RateFactor * 100));
  Text.gauge("probe_standing_delay_us",
             static_cast<std::uint64_t>(B.Probes.Standing.count()));
  Text.gauge("uploads_open", B.OpenCount);
  Text.gauge("uploads_waiting", B.Waiting.size());
  Text.gauge("upload_limit_hundredths",
             static_cast<std::uint64_t>(B.Limit.Value * 100));
  Text.gauge("upload_round_trip_us",
             static_cast<std::uint64_t>(B.Limit.RoundTrip.count()));
  Text.gauge("upload_time_us",
             static_cast<std::uint64_t>(B.UploadTime.count()));
}

void addQueueMetrics(MetricsText &Text, const LinkQueue &Q) {
  static constexpr std::array<const char *, SendClassCount> Names = {
      "control", "small", "bulk"};
  for (std::size_t I = 0; I < SendClassCount; ++I) {
    const SendClassState &S = Q.Classes[I];
    const std::string Prefix = std::string("queue_") + Names[I];
    Text.counter(Prefix + "_queued_total", S.Queued);
    Text.counter(Prefix + "_sent_total", S.Sent);
    Text.counter(Prefix + "_dropped_copies_total",
                 S.Dropped[static_cast<std::size_t>(QueueDrop::Copy)]);
    Text.counter(Prefix + "_dropped_old_total",
                 S.Dropped[static_cast<std::size_t>(QueueDrop::TooOld)]);
    Text.counter(Prefix + "_dropped_full_total",
                 S.Dropped[static_cast<std::size_t>(QueueDrop::QueueFull)]);
    Text.gauge(Prefix + "_bytes", S.Bytes);
    Text.gauge(Prefix + "_delay_us",
               static_cast<std::uint64_t>(S.Delay.count()));
  }
  Text.counter("link_bytes_in_total", Q.BytesArrived);
  Text.counter("link_bytes_out_total", Q.BytesLeft);
  Text.counter("link_bytes_not_counted_total", Q.BytesNotCounted);
  Text.gauge("link_peak_bytes_per_second",
             static_cast<std::uint64_t>(Q.PeakUse));
  Text.gauge("link_paced_bytes_per_second", static_cast<std::uint64_t>(Q.Rate));
}

std::string metricsText(const EntryFlows &E, const LinkQueue &Q) {
  const EntryCounters &C = E.Counters;
  MetricsText Text("jasminearch_entry_");
  Text.counter("caller_packets_total", C.PacketsFromCallers);
  Text.counter("malformed_total", C.Malformed);
  Text.counter("packets_held_total", C.Held);
  Text.counter("flows_opened_total", C.Opened);
  Text.counter("flows_opened_again_total", C.OpenedAgain);
  Text.counter("flows_refused_total", C.Refused);
  Text.counter("flows_refused_evacuated_total", C.RefusedEvacuated);
  Text.counter("flows_refused_other_region_total", C.RefusedOtherRegion);
  Text.counter("uploads_opened_total", C.UploadsOpened);
  Text.counter("uploads_refused_total", C.UploadsRefused);
  Text.counter("uploads_placed_elsewhere_total", C.UploadsPlacedElsewhere);
  Text.counter("unknown_route_total", C.UnknownRoute);
  Text.counter("searches_total", C.Searches);
  Text.counter("searches_found_total", C.Found);
  Text.counter("searches_found_nowhere_total", C.FoundNowhere);
  Text.counter("searches_expired_total", C.SearchExpired);
  Text.counter("searches_overflow_total", C.SearchOverflow);
  Text.counter("flow_digests_requested_total", C.Digests);
  Text.counter("packets_returned_total", C.Returned);
  Text.counter("probes_total", C.Probes);
  Text.counter("probes_unanswered_total", C.ProbesUnanswered);
  Text.counter("sends_refused_total", C.SendsRefused);
  Text.gauge("openings_pending", E.PendingOpenings.size());
  Text.gauge("flows", E.Flows.size());
  Text.gauge("agents", E.Agents.size());
  Text.gauge("routes_version", E.Routes ? E.Routes->table().Version : 0);
  if (E.Budget.Enabled) {
    addBudgetMetrics(Text, E.Budget);
    addQueueMetrics(Text, Q);
  }
  return Text.take();
}

} // namespace

EntryLoop::EntryLoop(EntryLoopOptions InitialOptions, const Clock &Time)
    : Options(std::move(InitialOptions)), Time(Time) {
  Flows.Codec = Options.Codec;
  setLinkRate(Flows.Budget, Options.LinkRate);
  Flows.DataCentre = Options.DataCentre;
}

Expected<std::unique_ptr<EntryLoop>> EntryLoop::open(EntryLoopOptions Options,
                                                     const Clock &Time) {
  std::unique_ptr<EntryLoop> Loop(new EntryLoop(std::move(Options), Time));
  auto Callers = net::bindUdp(Loop->Options.Callers, {});
  if (!Callers)
    return tl::unexpected(Callers.error());
  auto Tunnel = net::bindUdp(Loop->Options.Tunnel, {});
  if (!Tunnel)
    return tl::unexpected(Tunnel.error());
  Loop->Callers = std::move(*Callers);
  Loop->Tunnel = std::move(*Tunnel);
  return Loop;
}

void EntryLoop::receiveBatch(const net::UdpSocket &Socket, bool FromCallers) {
  net::ReceiveBatch &In = batches().In;
  const std::size_t Count = In.receive(Socket);
  const TimePoint Now = Time.now();
  for (std::size_t I = 0; I < Count; ++I) {
    recordArrival(Queue, In.datagram(I).size(), Now);
    if (FromCallers)
      onCallerPacket(Flows, In.datagram(I), Now, Effects);
    else
      onTunnel(Flows, In.from(I), In.datagram(I), Now, Effects);
  }
}

void EntryLoop::applyEffects() {
  static DecisionLogLimiter Log;
  Batches &B = batches();
  const TimePoint Now = Time.now();
  for (EntryEffect &Effect : Effects) {
    if (auto *S = std::get_if<SendTunnel>(&Effect)) {
      if (leavesAtOnce(Queue, Flows, *S, Now))
        send(B.ToAgents, Tunnel, S->Datagram, S->To);
    } else if (const auto *R = std::get_if<SendReset>(&Effect)) {
      const Endpoint Caller{R->Value.Flow.Caller.Address, Options.CallerPort};
      send(B.ToCallers, Callers, Options.Codec.EncodeReset(R->Value), Caller);
    } else if (const auto *D = std::get_if<FlowDecision>(&Effect)) {
      logDecision(Log, *D, Now);
    } else if (const auto *U = std::get_if<UploadDecision>(&Effect)) {
      logDecision(Log, *U, Now);
    }
  }
  Effects.clear();
  while (const auto D = dequeue(Queue, Now))
    send(B.ToAgents, Tunnel, D->Datagram, D->To);
  B.ToAgents.flush(Tunnel);
  B.ToCallers.flush(Callers);
  Flows.Counters.SendsRefused = B.ToAgents.refused() + B.ToCallers.refused();
}

int EntryLoop::pollTimeoutMs() const {
  const auto Next = timeToNext(Queue, Time.now());
  const std::chrono::milliseconds Tick(detail::TickIntervalMs);
  return static_cast<int>(std::min(Next.value_or(Tick), Tick).count());
}

void EntryLoop::run() {
  TimePoint TickDue{};
  while (!Stopping) {
    pollfd Descriptors[] = {{Callers.descriptor(), POLLIN, 0},
                            {Tunnel.descriptor(), POLLIN, 0},
                            {Mail.descriptor(), POLLIN, 0}};
    poll(Descriptors, std::size(Descriptors), pollTimeoutMs());
    if (Descriptors[2].revents != 0)
      Mail.run();
    if (Descriptors[1].revents != 0)
      receiveBatch(Tunnel, false);
    if (Descriptors[0].revents != 0)
      receiveBatch(Callers, true);
    const TimePoint Now = Time.now();
    if (Now >= TickDue) {
      TickDue = Now + std::chrono::milliseconds(detail::TickIntervalMs);
      tick(Flows, Now, Effects);
      Ready = canPlaceFlows(Flows);
    }
    updatePacing(Queue, Flows.Budget);
    flush(Flows, Time.now(), Effects);
    applyEffects();
  }
}

void EntryLoop::stop() {
  Mail.post([this] { Stopping = true; });
}

void EntryLoop::setRoutes(std::shared_ptr<const RouteIndex> Routes) {
  Mail.post(
      [this, Routes = std::move(Routes)] { flow::setRoutes(Flows, Routes); });
}

void EntryLoop::addListedAgents(std::vector<ListedAgent> Agents,
                                bool Complete) {
  Mail.post([this, Agents = std::move(Agents), Complete] {
    flow::addListedAgents(Flows, Agents, Complete, Time.now());
  });
}

void EntryLoop::agentLeft(const Endpoint &Agent) {
  Mail.post([this, Agent] { removeAgent(Flows, Agent); });
}

void EntryLoop::setEvacuations(std::vector<std::string> DataCentres) {
  Mail.post([this, DataCentres = std::move(DataCentres)] {
    flow::setEvacuations(Flows, DataCentres);
  });
}

std::string EntryLoop::metrics() {
  return detail::callAndWait(Mail,
                             [this] { return metricsText(Flows, Queue); });
}

std::string EntryLoop::explain(const FlowKey &Flow) {
  return detail::callAndWait(Mail, [this, Flow] {
    // A name that isn't UTF-8 must not make dump() throw.
    return toJson(explainOpening(Flows, Flow, Time.now()))
        .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  });
}

} // namespace jasminearch::flow
