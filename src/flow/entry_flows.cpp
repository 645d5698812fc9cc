#include "jasminearch/flow/entry_flows.h"
#include "jasminearch/flow/detail/entry_steps.h"
#include <algorithm>
#include <utility>

namespace jasminearch::flow {

using namespace detail;

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

/// Forwards an opening packet, with what the agent needs to prioritise it.
void forwardOpening(EntryContext &C, const Endpoint &Agent, const Packet &P,
                    absl::Span<const std::uint8_t> Raw, const Route &R,
                    std::uint32_t ServiceTag) {
  TunnelHeader Header{TunnelKind::Forward, FlowPresence::No, ServiceTag};
  Header.Priority = static_cast<std::uint8_t>(std::clamp(R.Priority, 0, 0xFF));
  Header.Age = P.OpeningAge;
  Header.Objective = R.LatencyObjective;
  C.Out.emplace_back(SendTunnel{Agent, encodeTunnel(Header, Raw)});
}

std::vector<Candidate> candidates(const EntryContext &C) {
  std::vector<Candidate> All;
  All.reserve(C.E.Agents.size());
  for (const auto &[Agent, View] : C.E.Agents)
    if (View.Report)
      All.push_back({Agent, &*View.Report,
                     duration_cast<milliseconds>(C.Now - View.ReportedAt),
                     View.PlacedSinceReport});
  return All;
}

/// \returns the agent for a new flow of route \p R and the service it is placed
/// for. The weights select the service; the route's other services are used
/// only if that one has no eligible upstream.
std::optional<std::pair<Endpoint, std::string>>
chooseUpstream(const EntryContext &C, const Route &R, const FlowKey &Flow,
               const std::vector<Endpoint> &Excluded) {
  const std::uint64_t Hash = hashFlow(Flow);
  const std::vector<Candidate> All = candidates(C);
  std::vector<const std::string *> Services = {selectService(R, Hash)};
  for (const RouteTarget &T : R.Targets)
    if (T.Weight > 0 && Services.front() && T.Service != *Services.front())
      Services.push_back(&T.Service);
  for (const std::string *Service : Services) {
    if (!Service)
      continue;
    const auto Index = place(All, *Service, R.Kind, Hash, Excluded);
    if (Index)
      return std::pair(All[*Index].Agent, *Service);
  }
  return std::nullopt;
}

/// Sends an opening packet to the best upstream that hasn't declined it.
/// Refuses the flow if there is none, or after MaxOffers attempts.
void offerOpening(EntryContext &C, const Packet &P,
                  absl::Span<const std::uint8_t> Raw, const Route &R,
                  std::vector<Endpoint> Excluded) {
  const auto Chosen = Excluded.size() >= MaxOffers
                          ? std::nullopt
                          : chooseUpstream(C, R, P.Flow, Excluded);
  if (!Chosen) {
    ++C.E.Counters.Refused;
    recordDecision(C, "flow_refused", P.Flow,
                   Excluded.empty() ? "no upstream is ready"
                                    : "every upstream declined");
    C.E.Flows.erase(P.Flow);
    return sendReset(C, P.Flow, 0);
  }
  const auto &[Agent, Service] = *Chosen;
  recordDecision(C, "flow_placed", P.Flow, Service, Agent);
  ++C.E.Agents[Agent].PlacedSinceReport;
  CachedFlow &F = C.E.Flows[P.Flow];
  F = CachedFlow{Agent, C.Now, false, serviceTag(Service), std::move(Excluded)};
  forwardOpening(C, Agent, P, Raw, R, F.ServiceTag);
}

/// \returns whether \p Agent has reported recently and its upstream isn't
/// silent.
bool isResponsive(const EntryContext &C, const Endpoint &Agent) {
  const auto It = C.E.Agents.find(Agent);
  return It != C.E.Agents.end() && It->second.Report &&
         C.Now - It->second.ReportedAt < MaxReportAge / 2 &&
         It->second.Report->Silent < SilenceThreshold;
}

void onOpening(EntryContext &C, const Packet &P,
               absl::Span<const std::uint8_t> Raw, const Route &R) {
  const auto It = C.E.Flows.find(P.Flow);
  if (It == C.E.Flows.end()) {
    if (C.E.Flows.size() >= MaxFlows)
      return sendReset(C, P.Flow, 0);
    ++C.E.Counters.Opened;
    return offerOpening(C, P, Raw, R, {});
  }
  CachedFlow &F = It->second;
  F.LastSeen = C.Now;
  if (F.Established)
    return forward(C, F.Agent, Raw);
  ++C.E.Counters.OpenedAgain;
  // Most retransmissions replace a lost packet, or the flow waits at its agent.
  // Only a silent upstream is replaced by another one.
  if (isResponsive(C, F.Agent))
    return forwardOpening(C, F.Agent, P, Raw, R, F.ServiceTag);
  std::vector<Endpoint> Excluded = F.Excluded;
  Excluded.push_back(F.Agent);
  offerOpening(C, P, Raw, R, std::move(Excluded));
}

void onEstablished(EntryContext &C, const Packet &P,
                   absl::Span<const std::uint8_t> Raw) {
  const auto Cached = C.E.Flows.find(P.Flow);
  if (Cached != C.E.Flows.end() && holdsNoFlows(C, Cached->second.Agent))
    C.E.Flows.erase(Cached);
  if (const auto It = C.E.Flows.find(P.Flow); It != C.E.Flows.end()) {
    It->second.LastSeen = C.Now;
    It->second.Established = true;
    return forward(C, It->second.Agent, Raw);
  }
  if (const auto It = C.E.Searches.find(P.Flow); It != C.E.Searches.end())
    return holdPacket(It->second, P, Raw);
  startSearch(C, P, Raw, {});
}

/// Handles a packet that an upstream returned: a new flow is offered to another
/// upstream, and an established one is searched for.
void onReturned(EntryContext &C, const Endpoint &Agent, FlowPresence Reason,
                absl::Span<const std::uint8_t> Raw) {
  const auto Decoded = C.E.Codec.Decode(Raw, Direction::FromCaller);
  if (!Decoded) {
    ++C.E.Counters.Malformed;
    return;
  }
  ++C.E.Counters.Returned;
  Packet P = *Decoded;
  if (const auto It = C.E.Searches.find(P.Flow); It != C.E.Searches.end()) {
    Search &S = It->second;
    std::erase(S.NotAnswered, Agent);
    std::erase(S.Unsure, Agent);
    std::erase(S.Tried, Agent);
    return advanceSearch(C, P.Flow);
  }
  const auto It = C.E.Flows.find(P.Flow);
  if (It == C.E.Flows.end() || It->second.Agent != Agent)
    return;
  std::vector<Endpoint> Excluded = It->second.Excluded;
  Excluded.push_back(Agent);
  const Route *R = C.E.Routes ? C.E.Routes->find(P.Flow.Service) : nullptr;
  if (P.Opens && R) {
    P.OpeningAge += duration_cast<milliseconds>(C.Now - It->second.LastSeen);
    recordDecision(C, "offer_declined", P.Flow,
                   Reason == FlowPresence::NotReady ? "not ready" : "full",
                   Agent);
    return offerOpening(C, P, Raw, *R, std::move(Excluded));
  }
  C.E.Flows.erase(It);
  if (!P.Opens)
    startSearch(C, P, Raw, {Agent});
}

void onLoad(EntryContext &C, const Endpoint &From,
            absl::Span<const std::uint8_t> Payload) {
  auto Report = decodeLoadReport(Payload.data(), Payload.size());
  if (!Report) {
    ++C.E.Counters.Malformed;
    return;
  }
  AgentView &View = C.E.Agents[From];
  if (View.Report && View.Report->RunId == Report->RunId &&
      View.Report->Number >= Report->Number)
    return;
  if (View.FirstKnownAt == TimePoint{})
    View.FirstKnownAt = C.Now;
  View.Report = std::move(*Report);
  View.ReportedAt = View.KnownAt = C.Now;
  View.PlacedSinceReport = 0;
}

/// Sets CanPlace once routes and agent list are complete and every listed agent
/// has reported or had time to. \returns CanPlace.
bool updateCanPlace(EntryContext &C) {
  if (C.E.CanPlace || !C.E.Routes || !C.E.AgentListComplete)
    return C.E.CanPlace;
  const auto Known = [&C](const auto &Item) {
    return Item.second.Report ||
           C.Now - Item.second.FirstKnownAt >= FirstReportTimeout;
  };
  C.E.CanPlace = std::all_of(C.E.Agents.begin(), C.E.Agents.end(), Known);
  return C.E.CanPlace;
}

/// Keeps the flow's packet until flows can be placed. A newer packet replaces
/// it: it says the most about an established flow, and all copies of an opening
/// packet are equivalent.
void holdUntilReady(EntryContext &C, const FlowKey &Flow,
                    absl::Span<const std::uint8_t> Raw) {
  ++C.E.Counters.Held;
  if (C.E.Waiting.size() >= MaxWaitingFlows && !C.E.Waiting.contains(Flow))
    return;
  C.E.Waiting[Flow] = {Bytes(Raw.begin(), Raw.end()), C.Now};
}

void removeExpired(EntryContext &C) {
  absl::erase_if(C.E.Flows, [&](const auto &Item) {
    return C.Now - Item.second.LastSeen >= FlowExpiry;
  });
  absl::erase_if(C.E.Agents, [&](const auto &Item) {
    return C.Now - Item.second.KnownAt >= AgentExpiry;
  });
  for (auto &[Agent, View] : C.E.Agents)
    if (View.CompleteList &&
        C.Now - View.CompleteList->RequestedAt >= FlowListLifetime)
      View.CompleteList.reset();
}

/// Handles a caller's packet once flows can be placed.
void handleCallerPacket(EntryContext &C, const Packet &P,
                        absl::Span<const std::uint8_t> Raw) {
  const Route *R = C.E.Routes->find(P.Flow.Service);
  if (!R) {
    ++C.E.Counters.UnknownRoute;
    recordDecision(C, "flow_refused", P.Flow,
                   "no route for this service address");
    C.E.Flows.erase(P.Flow);
    if (!P.Resets)
      sendReset(C, P.Flow, P.Opens ? 0 : P.Acknowledged);
    return;
  }
  if (P.Opens)
    return onOpening(C, P, Raw, *R);
  onEstablished(C, P, Raw);
}

/// Handles the waiting packets once flows can be placed.
void handleWaiting(EntryContext &C) {
  if (!updateCanPlace(C) || C.E.Waiting.empty())
    return;
  for (const auto &[Flow, W] : std::exchange(C.E.Waiting, {})) {
    auto P = C.E.Codec.Decode(W.Raw, Direction::FromCaller);
    if (!P || C.Now - W.ArrivedAt >= MaxWaitingTime)
      continue;
    P->OpeningAge += duration_cast<milliseconds>(C.Now - W.ArrivedAt);
    handleCallerPacket(C, *P, W.Raw);
  }
}

} // namespace

void setRoutes(EntryFlows &E, std::shared_ptr<const RouteIndex> Routes) {
  if (!E.Routes || Routes->table().Version > E.Routes->table().Version)
    E.Routes = std::move(Routes);
}

void addListedAgents(EntryFlows &E, const std::vector<Endpoint> &Listed,
                     bool Complete, TimePoint Now, EntryEffects &Out) {
  EntryContext C{E, Now, Out};
  E.AgentListComplete = E.AgentListComplete || Complete;
  for (const Endpoint &Agent : Listed) {
    AgentView &View = E.Agents[Agent];
    View.KnownAt = Now;
    if (View.FirstKnownAt != TimePoint{})
      continue;
    View.FirstKnownAt = Now;
    sendMessage(C, Agent, TunnelKind::Subscribe, {});
  }
}

void onCallerPacket(EntryFlows &E, absl::Span<const std::uint8_t> Raw,
                    TimePoint Now, EntryEffects &Out) {
  EntryContext C{E, Now, Out};
  ++E.Counters.PacketsFromCallers;
  const auto Decoded = E.Codec.Decode(Raw, Direction::FromCaller);
  if (!Decoded) {
    ++E.Counters.Malformed;
    return;
  }
  const Packet &P = *Decoded;
  if (!updateCanPlace(C))
    return holdUntilReady(C, P.Flow, Raw);
  handleCallerPacket(C, P, Raw);
}

void onTunnel(EntryFlows &E, const Endpoint &From,
              absl::Span<const std::uint8_t> Datagram, TimePoint Now,
              EntryEffects &Out) {
  EntryContext C{E, Now, Out};
  const auto Decoded = decodeTunnel(Datagram);
  if (!Decoded) {
    ++E.Counters.Malformed;
    return;
  }
  const TunnelHeader &Header = Decoded->Header;
  if (Header.Kind == TunnelKind::Load)
    return onLoad(C, From, Decoded->Payload);
  if (Header.Kind == TunnelKind::Returned)
    return onReturned(C, From, Header.Detail, Decoded->Payload);
  if (Header.Kind == TunnelKind::FlowList) {
    if (const auto Part = decodeFlowList(Decoded->Payload))
      return onFlowList(C, From, *Part);
    ++E.Counters.Malformed;
    return;
  }
  const auto Locations = decodeLocations(Decoded->Payload);
  if (Header.Kind != TunnelKind::Located || !Locations) {
    ++E.Counters.Malformed;
    return;
  }
  for (const FlowLocation &L : *Locations)
    onLocated(C, From, L.Presence, L.Flow);
}

void flush(EntryFlows &E, TimePoint Now, EntryEffects &Out) {
  EntryContext C{E, Now, Out};
  flushQueries(C);
}

void tick(EntryFlows &E, TimePoint Now, EntryEffects &Out) {
  EntryContext C{E, Now, Out};
  handleWaiting(C);
  tickSearches(C);
  if (Now >= E.SubscribeDue) {
    E.SubscribeDue = Now + SubscribeInterval;
    for (const auto &[Agent, View] : E.Agents)
      sendMessage(C, Agent, TunnelKind::Subscribe, {});
  }
  if (Now >= E.CleanUpDue) {
    E.CleanUpDue = Now + std::chrono::seconds(1);
    removeExpired(C);
  }
}

} // namespace jasminearch::flow
