#include "jasminearch/flow/entry_flows.h"
#include "jasminearch/flow/detail/entry_steps.h"
#include <algorithm>
#include <utility>

namespace jasminearch::flow {

using namespace detail;

namespace {

void onEstablished(EntryContext &C, const Packet &P,
                   absl::Span<const std::uint8_t> Raw) {
  const auto Cached = C.E.Flows.find(P.Flow);
  // An agent that control hosts reported as gone can't answer any more. All
  // others are asked: an agent that is silent may still hold the flow.
  if (Cached != C.E.Flows.end() && !C.E.Agents.contains(Cached->second.Agent))
    C.E.Flows.erase(Cached);
  C.E.PendingOpenings.erase(P.Flow);
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
  const Packet &P = *Decoded;
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
    recordDecision(C, "offer_declined", P.Flow,
                   Reason == FlowPresence::NotReady ? "not ready" : "full",
                   Agent);
    const TimePoint ArrivedAt = It->second.LastSeen;
    return offerAgain(C, P.Flow, Raw, ArrivedAt, std::move(Excluded));
  }
  C.E.Flows.erase(It);
  if (!P.Opens)
    startSearch(C, P, Raw, {Agent});
}

/// Sets CanPlace once routes and agent list are complete. \returns CanPlace.
bool updateCanPlace(EntryContext &C) {
  C.E.CanPlace = C.E.CanPlace || (C.E.Routes && C.E.AgentListComplete);
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
  std::vector<Endpoint> Unlisted;
  for (const auto &[Agent, View] : C.E.Agents)
    if (C.E.CompleteListAt - View.KnownAt >= AgentExpiry)
      Unlisted.push_back(Agent);
  for (const Endpoint &Agent : Unlisted)
    removeAgent(C.E, Agent);
  for (auto &[Agent, View] : C.E.Agents)
    if (View.CompleteList &&
        C.Now - View.CompleteList->RequestedAt >= FlowListLifetime)
      View.CompleteList.reset();
}

/// Handles a caller's packet, which arrived at \p ArrivedAt, once flows can be
/// placed.
void handleCallerPacket(EntryContext &C, const Packet &P,
                        absl::Span<const std::uint8_t> Raw,
                        TimePoint ArrivedAt) {
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
  if (P.Opens) {
    if (admitOpening(C, P, *R, Raw, ArrivedAt))
      onOpening(C, P, Raw, ArrivedAt);
    return;
  }
  recordUpload(C, P, *R);
  onEstablished(C, P, Raw);
}

/// Handles the waiting packets once flows can be placed.
void handleWaiting(EntryContext &C) {
  if (!updateCanPlace(C) || C.E.Waiting.empty())
    return;
  for (const auto &[Flow, W] : std::exchange(C.E.Waiting, {})) {
    const auto P = C.E.Codec.Decode(W.Raw, Direction::FromCaller);
    if (!P || C.Now - W.ArrivedAt >= MaxWaitingTime)
      continue;
    handleCallerPacket(C, *P, W.Raw, W.ArrivedAt);
  }
}

} // namespace

void setRoutes(EntryFlows &E, std::shared_ptr<const RouteIndex> Routes) {
  if (!E.Routes || Routes->table().Version > E.Routes->table().Version)
    E.Routes = std::move(Routes);
  updateBudget(E);
}

void addListedAgents(EntryFlows &E, const std::vector<ListedAgent> &Listed,
                     bool Complete, TimePoint Now) {
  if (Complete) {
    E.AgentListComplete = true;
    E.CompleteListAt = Now;
  }
  for (const ListedAgent &Agent : Listed) {
    const auto [It, New] = E.Agents.try_emplace(Agent.Tunnel);
    It->second.KnownAt = Now;
    if (!Agent.DataCentre.empty()) {
      It->second.DataCentre = Agent.DataCentre;
      It->second.Region = Agent.Region;
    }
    setService(E, Agent.Tunnel, Agent.ServiceTag);
    if (New)
      extendSearches(E, Agent.Tunnel);
  }
}

void setEvacuations(EntryFlows &E,
                    const std::vector<std::string> &DataCentres) {
  E.Evacuated = {DataCentres.begin(), DataCentres.end()};
}

void removeAgent(EntryFlows &E, const Endpoint &Agent) {
  const auto It = E.Agents.find(Agent);
  if (It == E.Agents.end())
    return;
  std::erase(E.AgentsByService[It->second.ServiceTag], Agent);
  E.Agents.erase(It);
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
  handleCallerPacket(C, P, Raw, Now);
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
    recordProbeAnswer(C, From);
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
  if (Header.Kind == TunnelKind::RecentFlows) {
    if (const auto Answer = decodeDigestAnswer(Decoded->Payload))
      return onDigest(C, From, *Answer);
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
  settleBudget(C);
  flushQueries(C);
}

void tick(EntryFlows &E, TimePoint Now, EntryEffects &Out) {
  EntryContext C{E, Now, Out};
  handleWaiting(C);
  tickOpenings(C);
  tickSearches(C);
  tickBudget(C);
  if (Now >= E.CleanUpDue) {
    E.CleanUpDue = Now + std::chrono::seconds(1);
    removeExpired(C);
  }
}

} // namespace jasminearch::flow
