#include "jasminearch/flow/detail/entry_candidates.h"
#include "jasminearch/flow/detail/entry_reports.h"
#include "jasminearch/flow/detail/entry_steps.h"
#include <algorithm>
#include <utility>

namespace jasminearch::flow::detail {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

/// Sends a probe unless one is on its way.
void probe(EntryContext &C, const Endpoint &Agent, AgentView &View) {
  const auto Interval =
      isUnresponsive(View, C.Now) ? ProbeRetryInterval : ProbeTimeout;
  if (View.UnansweredSince && C.Now - View.ProbedAt < Interval)
    return;
  if (!View.UnansweredSince)
    View.UnansweredSince = C.Now;
  else
    ++C.E.Counters.ProbesUnanswered;
  View.ProbedAt = C.Now;
  ++C.E.Counters.Probes;
  sendMessage(C, Agent, TunnelKind::Probe, {ProbeForEstimates});
}

/// Probes those of \p Agents whose report is too old. \returns whether the
/// opening has to wait for a report.
bool awaitReports(EntryContext &C, const FlowKey &Flow, PendingOpening &O,
                  const std::vector<Endpoint> &Agents) {
  bool Waits = false;
  for (const Endpoint &Agent : Agents) {
    const auto It = C.E.Agents.find(Agent);
    if (It == C.E.Agents.end() || hasFreshReport(It->second, C.Now))
      continue;
    const bool Needed = needsReport(It->second, C.Now);
    if (!O.ProbedAt) {
      probe(C, Agent, It->second);
      if (Needed)
        It->second.WaitingOpenings.push_back(Flow);
    }
    Waits = Waits || Needed;
  }
  if (!Waits)
    return false;
  if (!O.ProbedAt)
    O.ProbedAt = C.Now;
  return C.Now - *O.ProbedAt < ProbeTimeout;
}

/// \returns the header of an opening, with what the agent needs to accept and
/// prioritise it.
TunnelHeader openingHeader(const EntryContext &C, const Packet &P,
                           TimePoint ArrivedAt, const Route &R,
                           std::uint32_t ServiceTag) {
  TunnelHeader Header{TunnelKind::Forward, FlowPresence::No, ServiceTag};
  Header.Priority = static_cast<std::uint8_t>(std::clamp(R.Priority, 0, 0xFF));
  Header.Age = P.OpeningAge + duration_cast<milliseconds>(C.Now - ArrivedAt);
  Header.Objective = R.LatencyObjective;
  Header.Upload = R.Kind == RequestKind::Upload;
  Header.AllowedRegions = regionTags(R);
  return Header;
}

void forwardOpening(EntryContext &C, const PendingOpening &O, const Packet &P,
                    const Route &R, const Endpoint &Agent,
                    std::uint32_t ServiceTag) {
  const TunnelHeader Header = openingHeader(C, P, O.ArrivedAt, R, ServiceTag);
  C.Out.emplace_back(SendTunnel{Agent, encodeTunnel(Header, O.Raw)});
}

void refuse(EntryContext &C, const FlowKey &Flow, const PendingOpening &O) {
  recordDecision(C, "flow_refused", Flow,
                 countRefusal(C.E, Flow, !O.Excluded.empty()));
  C.E.PendingOpenings.erase(Flow);
  C.E.Flows.erase(Flow);
  sendReset(C, Flow, 0);
}

/// Sends the opening to \p Agent and caches the flow's location.
void placeAt(EntryContext &C, const Packet &P, const Route &R,
             const PendingOpening &O, const Endpoint &Agent,
             const std::string &Service) {
  recordDecision(C, "flow_placed", P.Flow, Service, Agent);
  ++C.E.Agents[Agent].PlacedSinceReport;
  countPlaced(C.E, R, Agent);
  const std::uint32_t Tag = serviceTag(Service);
  C.E.Flows[P.Flow] = CachedFlow{Agent,      O.ArrivedAt, false,     Tag,
                                 O.Excluded, O.ArrivedAt, P.Sequence};
  forwardOpening(C, O, P, R, Agent, Tag);
}

enum class Progress : std::uint8_t { Waits, Placed, NotPlaced };

/// Sends a copy of an opening to the agent that got the earlier copy. Most
/// copies replace a lost packet, or the flow waits at its agent; only a silent
/// upstream, or one of a service that the routes no longer name, is replaced by
/// another one.
Progress offerToEarlier(EntryContext &C, const Packet &P, const Route &R,
                        PendingOpening &O) {
  const Endpoint Agent = *O.Earlier;
  const auto Placed = C.E.Flows.find(P.Flow);
  if (Placed != C.E.Flows.end() &&
      !allowsService(R, Placed->second.ServiceTag)) {
    recordDecision(C, "opening_moved", P.Flow,
                   "the routes in force name other services", Agent);
    O.Earlier.reset();
    return Progress::NotPlaced;
  }
  if (const auto Excluded = exclusionOf(C.E, Agent, R)) {
    recordDecision(C, "opening_moved", P.Flow, describe(*Excluded), Agent);
    O.ProbedAt.reset();
    O.Earlier.reset();
    return Progress::NotPlaced;
  }
  if (awaitReports(C, P.Flow, O, {Agent}))
    return Progress::Waits;
  O.ProbedAt.reset();
  O.Earlier.reset();
  const auto View = C.E.Agents.find(Agent);
  const auto Cached = C.E.Flows.find(P.Flow);
  const bool Answers = View != C.E.Agents.end() &&
                       hasFreshReport(View->second, C.Now) &&
                       View->second.Report->Silent < SilenceThreshold;
  if (!Answers || Cached == C.E.Flows.end()) {
    O.Excluded.push_back(Agent);
    return Progress::NotPlaced;
  }
  recordDecision(C, "opening_repeated", P.Flow, "copy of an earlier opening",
                 Agent);
  forwardOpening(C, O, P, R, Agent, Cached->second.ServiceTag);
  return Progress::Placed;
}

/// Starts again if the progress of an opening was made under other routes.
void checkRoutesVersion(const EntryContext &C, PendingOpening &O) {
  const std::uint64_t InForce = C.E.Routes->table().Version;
  if (std::exchange(O.RoutesVersion, InForce) == InForce)
    return;
  O.ProbedAt.reset();
  O.ServiceIndex = 0;
  resetComparison(O);
}

/// Compares the reports of the highest-ranked agents of one service, more of
/// them as long as none can take the flow.
Progress offerToService(EntryContext &C, const Packet &P, const Route &R,
                        PendingOpening &O, const std::string &Service) {
  const std::uint64_t Hash = hashFlow(P.Flow);
  const std::uint32_t Tag = serviceTag(Service);
  for (;;) {
    const auto Agents = agentsToCompare(C.E, R, O, Tag, Hash);
    if (Agents.empty())
      return Progress::NotPlaced;
    if (awaitReports(C, P.Flow, O, Agents))
      return Progress::Waits;
    O.ProbedAt.reset();
    const auto All = candidates(C.E, Agents, C.Now);
    if (const auto Agent = chooseAgent(C.E, R, O, All, Tag, Hash)) {
      placeAt(C, P, R, O, *Agent, Service);
      return Progress::Placed;
    }
    if (compareMore(C.E, R, O))
      continue;
    // Silence doesn't tell that an agent can't serve the flow: its answer may
    // be late. The agent itself decides.
    const auto Silent = firstWithoutReport(C.E, Agents, C.Now);
    if (!Silent)
      return Progress::NotPlaced;
    placeAt(C, P, R, O, *Silent, Service);
    return Progress::Placed;
  }
}

/// Continues with an opening as far as the known reports allow.
void advanceOpening(EntryContext &C, const FlowKey &Flow) {
  const auto It = C.E.PendingOpenings.find(Flow);
  if (It == C.E.PendingOpenings.end())
    return;
  PendingOpening &O = It->second;
  const auto P = C.E.Codec.Decode(O.Raw, Direction::FromCaller);
  const Route *R = C.E.Routes->find(Flow.Service);
  if (!P || !R)
    return refuse(C, Flow, O);
  checkRoutesVersion(C, O);
  if (O.Earlier) {
    const Progress Result = offerToEarlier(C, *P, *R, O);
    if (Result == Progress::Placed)
      C.E.PendingOpenings.erase(Flow);
    if (Result != Progress::NotPlaced)
      return;
  }
  const auto Services = servicesInOrder(*R, hashFlow(Flow));
  while (O.ServiceIndex < Services.size() && O.Excluded.size() < MaxOffers) {
    switch (offerToService(C, *P, *R, O, Services[O.ServiceIndex])) {
    case Progress::Waits:
      return;
    case Progress::Placed:
      C.E.PendingOpenings.erase(Flow);
      return;
    case Progress::NotPlaced:
      ++O.ServiceIndex;
      resetComparison(O);
    }
  }
  refuse(C, Flow, O);
}

void startOpening(EntryContext &C, const FlowKey &Flow, PendingOpening O) {
  if (C.E.PendingOpenings.size() >= MaxPendingOpenings)
    return refuse(C, Flow, O);
  C.E.PendingOpenings[Flow] = std::move(O);
  advanceOpening(C, Flow);
}

/// \returns whether \p P is a copy of the opening of the open flow \p F, and
/// not the opening of a new flow from the same port. A flow that a search found
/// has no known sequence number, so that only its age tells.
bool isCopyOfOpening(const EntryContext &C, const CachedFlow &F,
                     const Packet &P) {
  if (F.OpeningSequence)
    return *F.OpeningSequence == P.Sequence;
  return C.Now - F.OpenedAt < OpeningCopyWindow;
}

/// Forwards a late copy of an open flow's opening with the service of its
/// upstream: without it the agent returns the copy, and it reaches a second
/// upstream. An excluded agent would return it, too, so that it is dropped.
void forwardCopy(EntryContext &C, const CachedFlow &F, const Packet &P,
                 absl::Span<const std::uint8_t> Raw, TimePoint ArrivedAt) {
  const Route &R = *C.E.Routes->find(P.Flow.Service);
  if (exclusionOf(C.E, F.Agent, R))
    return;
  const auto View = C.E.Agents.find(F.Agent);
  const bool Placed = F.ServiceTag != 0 || View == C.E.Agents.end();
  const std::uint32_t Tag = Placed ? F.ServiceTag : View->second.ServiceTag;
  const TunnelHeader Header = openingHeader(C, P, ArrivedAt, R, Tag);
  C.Out.emplace_back(SendTunnel{F.Agent, encodeTunnel(Header, Raw)});
}

} // namespace

void setService(EntryFlows &E, const Endpoint &Agent,
                std::uint32_t ServiceTag) {
  AgentView &View = E.Agents[Agent];
  if (ServiceTag == 0 || View.ServiceTag == ServiceTag)
    return;
  std::erase(E.AgentsByService[View.ServiceTag], Agent);
  View.ServiceTag = ServiceTag;
  E.AgentsByService[ServiceTag].push_back(Agent);
}

void onOpening(EntryContext &C, const Packet &P,
               absl::Span<const std::uint8_t> Raw, TimePoint ArrivedAt) {
  // The caller has reused the address of an earlier flow. The end of that
  // flow's search must not reset the new flow.
  C.E.Searches.erase(P.Flow);
  // A copy adds nothing while the first one waits for reports.
  if (C.E.PendingOpenings.contains(P.Flow))
    return;
  PendingOpening O;
  O.Raw.assign(Raw.begin(), Raw.end());
  O.ArrivedAt = ArrivedAt;
  auto It = C.E.Flows.find(P.Flow);
  if (It != C.E.Flows.end() && It->second.Established) {
    if (isCopyOfOpening(C, It->second, P))
      return forwardCopy(C, It->second, P, Raw, ArrivedAt);
    C.E.Flows.erase(It);
    It = C.E.Flows.end();
  }
  if (It == C.E.Flows.end()) {
    if (C.E.Flows.size() >= MaxFlows)
      return sendReset(C, P.Flow, 0);
    countOpened(C.E, P.Flow);
    return startOpening(C, P.Flow, std::move(O));
  }
  CachedFlow &F = It->second;
  F.LastSeen = C.Now;
  ++C.E.Counters.OpenedAgain;
  O.Earlier = F.Agent;
  O.Excluded = F.Excluded;
  startOpening(C, P.Flow, std::move(O));
}

void offerAgain(EntryContext &C, const FlowKey &Flow,
                absl::Span<const std::uint8_t> Raw, TimePoint ArrivedAt,
                std::vector<Endpoint> Excluded) {
  PendingOpening O;
  O.Raw.assign(Raw.begin(), Raw.end());
  O.ArrivedAt = ArrivedAt;
  O.Excluded = std::move(Excluded);
  startOpening(C, Flow, std::move(O));
}

void onLoad(EntryContext &C, const Endpoint &From,
            absl::Span<const std::uint8_t> Payload) {
  auto Report = decodeLoadReport(Payload.data(), Payload.size());
  if (!Report) {
    ++C.E.Counters.Malformed;
    return;
  }
  const auto It = C.E.Agents.find(From);
  // A late report must not bring back an agent that has left.
  if (It == C.E.Agents.end())
    return;
  setService(C.E, From, Report->ServiceTag);
  AgentView &View = It->second;
  if (View.Report && View.Report->RunId == Report->RunId &&
      View.Report->Number >= Report->Number)
    return;
  View.Report = *Report;
  View.ReportedAt = View.KnownAt = C.Now;
  View.PlacedSinceReport = 0;
  View.UnansweredSince.reset();
  for (const FlowKey &Flow : std::exchange(View.WaitingOpenings, {}))
    advanceOpening(C, Flow);
}

void tickOpenings(EntryContext &C) {
  std::vector<FlowKey> Due;
  for (const auto &[Flow, O] : C.E.PendingOpenings)
    if (O.ProbedAt && C.Now - *O.ProbedAt >= ProbeTimeout)
      Due.push_back(Flow);
  for (const FlowKey &Flow : Due)
    advanceOpening(C, Flow);
}

} // namespace jasminearch::flow::detail
