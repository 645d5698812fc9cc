#include "jasminearch/flow/entry_flows.h"
#include "jasminearch/flow/detail/entry_steps.h"
#include <algorithm>
#include <utility>

namespace jasminearch::flow {

using namespace detail;

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

/// Forwards an opening packet with what the agent needs to order it.
void forwardOpening(EntryContext &C, const Endpoint &Agent, const Packet &P,
                    absl::Span<const std::uint8_t> Raw, const Route &Of,
                    std::uint32_t ServiceTag) {
  TunnelHeader Header{TunnelKind::Forward, Holding::No, ServiceTag};
  Header.Priority = static_cast<std::uint8_t>(std::clamp(Of.Priority, 0, 0xFF));
  Header.Age = P.OpeningAge;
  Header.Objective = Of.LatencyObjective;
  C.Out.emplace_back(SendTunnel{Agent, encodeTunnel(Header, Raw)});
}

std::vector<Candidate> candidates(const EntryContext &C) {
  std::vector<Candidate> All;
  All.reserve(C.E.Agents.size());
  for (const auto &[At, View] : C.E.Agents)
    if (View.Report)
      All.push_back({At, &*View.Report,
                     duration_cast<milliseconds>(C.Now - View.ReportedAt),
                     View.PlacedSince});
  return All;
}

/// \returns the agent for a new flow of \p Of and the service that it is for.
/// Another service of the route is used only if the one that the weights name
/// has no upstream.
std::optional<std::pair<Endpoint, std::string>>
choose(const EntryContext &C, const Route &Of, const FlowKey &Flow,
       const std::vector<Endpoint> &Excluded) {
  const std::uint64_t Hash = stableHash(Flow);
  const std::vector<Candidate> All = candidates(C);
  std::vector<const std::string *> Services = {serviceFor(Of, Hash)};
  for (const RouteTarget &T : Of.Targets)
    if (T.Weight > 0 && Services.front() && T.Service != *Services.front())
      Services.push_back(&T.Service);
  for (const std::string *Service : Services) {
    if (!Service)
      continue;
    const auto At = place(All, *Service, Of.Kind, Hash, Excluded);
    if (At)
      return std::pair(All[*At].Agent, *Service);
  }
  return std::nullopt;
}

/// Offers an opening packet to the best upstream that hasn't declined it, or
/// refuses the flow.
void offer(EntryContext &C, const Packet &P, absl::Span<const std::uint8_t> Raw,
           const Route &Of, std::vector<Endpoint> Excluded) {
  const auto Chosen = Excluded.size() >= MaxOffers
                          ? std::nullopt
                          : choose(C, Of, P.Flow, Excluded);
  if (!Chosen) {
    ++C.E.Counters.Refused;
    note(C, "flow_refused", P.Flow,
         Excluded.empty() ? "no upstream is ready" : "every upstream declined");
    C.E.Flows.erase(P.Flow);
    return reset(C, P.Flow, 0);
  }
  const auto &[Agent, Service] = *Chosen;
  note(C, "flow_placed", P.Flow, Service, Agent);
  ++C.E.Agents[Agent].PlacedSince;
  OwnedFlow &F = C.E.Flows[P.Flow];
  F = OwnedFlow{Agent, C.Now, false, serviceTag(Service), std::move(Excluded)};
  forwardOpening(C, Agent, P, Raw, Of, F.ServiceTag);
}

/// \returns whether \p Agent and the upstream beside it have shown life lately.
bool answering(const EntryContext &C, const Endpoint &Agent) {
  const auto At = C.E.Agents.find(Agent);
  return At != C.E.Agents.end() && At->second.Report &&
         C.Now - At->second.ReportedAt < ReportFresh / 2 &&
         At->second.Report->Silent < SilentLimit;
}

void onOpening(EntryContext &C, const Packet &P,
               absl::Span<const std::uint8_t> Raw, const Route &Of) {
  const auto At = C.E.Flows.find(P.Flow);
  if (At == C.E.Flows.end()) {
    if (C.E.Flows.size() >= MaxFlows)
      return reset(C, P.Flow, 0);
    ++C.E.Counters.Opened;
    return offer(C, P, Raw, Of, {});
  }
  OwnedFlow &F = At->second;
  F.LastSeen = C.Now;
  if (F.Established)
    return forward(C, F.Agent, Raw);
  ++C.E.Counters.OpenedAgain;
  // A copy most likely makes up for a lost packet, or the flow waits at its
  // agent. Only an upstream that doesn't answer is given up.
  if (answering(C, F.Agent))
    return forwardOpening(C, F.Agent, P, Raw, Of, F.ServiceTag);
  std::vector<Endpoint> Excluded = F.Excluded;
  Excluded.push_back(F.Agent);
  offer(C, P, Raw, Of, std::move(Excluded));
}

void onEstablished(EntryContext &C, const Packet &P,
                   absl::Span<const std::uint8_t> Raw) {
  const auto Owned = C.E.Flows.find(P.Flow);
  if (Owned != C.E.Flows.end() && gone(C, Owned->second.Agent))
    C.E.Flows.erase(Owned);
  if (const auto At = C.E.Flows.find(P.Flow); At != C.E.Flows.end()) {
    At->second.LastSeen = C.Now;
    At->second.Established = true;
    return forward(C, At->second.Agent, Raw);
  }
  if (const auto At = C.E.Searches.find(P.Flow); At != C.E.Searches.end())
    return hold(At->second, P, Raw);
  startSearch(C, P, Raw, {});
}

/// An upstream returned a packet: a new flow goes to another upstream, and an
/// established one is looked for.
void onReturned(EntryContext &C, const Endpoint &Agent, Holding Reason,
                absl::Span<const std::uint8_t> Raw) {
  const auto Decoded = C.E.Codec.Decode(Raw, Direction::FromCaller);
  if (!Decoded) {
    ++C.E.Counters.Malformed;
    return;
  }
  ++C.E.Counters.Returned;
  Packet P = *Decoded;
  if (const auto At = C.E.Searches.find(P.Flow); At != C.E.Searches.end()) {
    Search &S = At->second;
    std::erase(S.Waiting, Agent);
    std::erase(S.Unsure, Agent);
    std::erase(S.Tried, Agent);
    return advance(C, P.Flow);
  }
  const auto At = C.E.Flows.find(P.Flow);
  if (At == C.E.Flows.end() || At->second.Agent != Agent)
    return;
  std::vector<Endpoint> Excluded = At->second.Excluded;
  Excluded.push_back(Agent);
  const Route *Of = C.E.Routes ? C.E.Routes->find(P.Flow.Service) : nullptr;
  if (P.Opens && Of) {
    P.OpeningAge += duration_cast<milliseconds>(C.Now - At->second.LastSeen);
    note(C, "offer_declined", P.Flow,
         Reason == Holding::NotReady ? "not ready" : "full", Agent);
    return offer(C, P, Raw, *Of, std::move(Excluded));
  }
  C.E.Flows.erase(At);
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
  if (View.Since == TimePoint{})
    View.Since = C.Now;
  View.Report = std::move(*Report);
  View.ReportedAt = View.KnownAt = C.Now;
  View.PlacedSince = 0;
}

/// Begins to place flows once enough is known. \returns whether flows are
/// placed.
bool startPlacing(EntryContext &C) {
  if (C.E.Placing || !C.E.Routes || !C.E.Listed)
    return C.E.Placing;
  const auto Known = [&C](const auto &Item) {
    return Item.second.Report || C.Now - Item.second.Since >= ReportPatience;
  };
  C.E.Placing = std::all_of(C.E.Agents.begin(), C.E.Agents.end(), Known);
  return C.E.Placing;
}

/// Keeps a packet until enough is known. The newest one tells most about an
/// established flow, and any copy of an opening packet is as good as another.
void keepWaiting(EntryContext &C, const FlowKey &Flow,
                 absl::Span<const std::uint8_t> Raw) {
  ++C.E.Counters.Held;
  if (C.E.Waiting.size() >= MaxWaitingFlows && !C.E.Waiting.contains(Flow))
    return;
  C.E.Waiting[Flow] = {Bytes(Raw.begin(), Raw.end()), C.Now};
}

void cleanUp(EntryContext &C) {
  absl::erase_if(C.E.Flows, [&](const auto &Item) {
    return C.Now - Item.second.LastSeen >= FlowForgotten;
  });
  absl::erase_if(C.E.Agents, [&](const auto &Item) {
    return C.Now - Item.second.KnownAt >= AgentForgotten;
  });
  for (auto &[Agent, View] : C.E.Agents)
    if (View.Listed && C.Now - View.Listed->AskedAt >= FlowListKept)
      View.Listed.reset();
}

/// Handles a caller's packet once enough is known to place flows.
void handle(EntryContext &C, const Packet &P,
            absl::Span<const std::uint8_t> Raw) {
  const Route *Of = C.E.Routes->find(P.Flow.Service);
  if (!Of) {
    ++C.E.Counters.UnknownRoute;
    note(C, "flow_refused", P.Flow, "no route has this address");
    C.E.Flows.erase(P.Flow);
    if (!P.Resets)
      reset(C, P.Flow, P.Opens ? 0 : P.Acknowledged);
    return;
  }
  if (P.Opens)
    return onOpening(C, P, Raw, *Of);
  onEstablished(C, P, Raw);
}

/// Handles the packets that waited.
void releaseWaiting(EntryContext &C) {
  if (!startPlacing(C) || C.E.Waiting.empty())
    return;
  for (const auto &[Flow, W] : std::exchange(C.E.Waiting, {})) {
    auto P = C.E.Codec.Decode(W.Raw, Direction::FromCaller);
    if (!P || C.Now - W.Since >= WaitingPatience)
      continue;
    P->OpeningAge += duration_cast<milliseconds>(C.Now - W.Since);
    handle(C, *P, W.Raw);
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
  E.Listed = E.Listed || Complete;
  for (const Endpoint &Agent : Listed) {
    AgentView &View = E.Agents[Agent];
    View.KnownAt = Now;
    if (View.Since != TimePoint{})
      continue;
    View.Since = Now;
    ask(C, Agent, TunnelKind::Subscribe, {});
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
  if (!startPlacing(C))
    return keepWaiting(C, P.Flow, Raw);
  handle(C, P, Raw);
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
    onLocated(C, From, L.Where, L.Flow);
}

void flush(EntryFlows &E, TimePoint Now, EntryEffects &Out) {
  EntryContext C{E, Now, Out};
  flushQuestions(C);
}

void tick(EntryFlows &E, TimePoint Now, EntryEffects &Out) {
  EntryContext C{E, Now, Out};
  releaseWaiting(C);
  tickSearches(C);
  if (Now >= E.SubscribeDue) {
    E.SubscribeDue = Now + SubscribeInterval;
    for (const auto &[Agent, View] : E.Agents)
      ask(C, Agent, TunnelKind::Subscribe, {});
  }
  if (Now >= E.CleanUpDue) {
    E.CleanUpDue = Now + std::chrono::seconds(1);
    cleanUp(C);
  }
}

} // namespace jasminearch::flow
