#include "jasminearch/flow/entry_flows.h"
#include <absl/hash/hash.h>
#include <algorithm>
#include <tuple>
#include <utility>
#include <xxhash.h>

namespace jasminearch::flow {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

/// What every step needs.
struct Context {
  EntryFlows &E;
  TimePoint Now;
  EntryEffects &Out;
};

/// The same on every entry host, so that copies of an opening packet that take
/// different ways choose the same service.
std::uint64_t stableHash(const FlowKey &Flow) {
  const Bytes Key = encodeFlowKey(Flow);
  return XXH3_64bits(Key.data(), Key.size());
}

bool contains(const std::vector<Endpoint> &All, const Endpoint &One) {
  return std::find(All.begin(), All.end(), One) != All.end();
}

std::uint64_t versionOf(const EntryFlows &E) {
  return E.Routes ? E.Routes->table().Version : 0;
}

void note(Context &C, std::string_view Event, const FlowKey &Flow,
          std::string_view Reason, const Endpoint &Agent = {}) {
  FlowDecision D{Event, Flow, std::string(Reason), Agent, versionOf(C.E), {},
                 0,     0};
  const auto At = C.E.Agents.find(Agent);
  if (At != C.E.Agents.end() && At->second.Report) {
    D.ReportAge = duration_cast<milliseconds>(C.Now - At->second.ReportedAt);
    D.Outstanding = At->second.Report->Outstanding;
    D.ActiveFlows = At->second.Report->ActiveFlows;
  }
  C.Out.emplace_back(D);
}

void reset(Context &C, const FlowKey &Flow, std::uint32_t Sequence) {
  C.Out.emplace_back(SendReset{{Flow, Sequence}});
}

void forward(Context &C, const Endpoint &Agent,
             absl::Span<const std::uint8_t> Raw) {
  C.Out.emplace_back(SendTunnel{
      Agent, encodeTunnel({TunnelKind::Forward, Holding::No, 0}, Raw)});
}

/// Forwards an opening packet with what the agent needs to order it.
void forwardOpening(Context &C, const Endpoint &Agent, const Packet &P,
                    absl::Span<const std::uint8_t> Raw, const Route &Of,
                    std::uint32_t ServiceTag) {
  TunnelHeader Header{TunnelKind::Forward, Holding::No, ServiceTag};
  Header.Priority = static_cast<std::uint8_t>(std::clamp(Of.Priority, 0, 0xFF));
  Header.Age = P.OpeningAge;
  Header.Objective = Of.LatencyObjective;
  C.Out.emplace_back(SendTunnel{Agent, encodeTunnel(Header, Raw)});
}

void ask(Context &C, const Endpoint &Agent, TunnelKind Kind,
         const Bytes &Payload) {
  C.Out.emplace_back(
      SendTunnel{Agent, encodeTunnel({Kind, Holding::No, 0}, Payload)});
}

/// \returns whether the upstream beside \p Agent is known to hold no flow: the
/// agent says so, has been silent for so long that it counts as gone, or isn't
/// known any more.
bool gone(const Context &C, const Endpoint &Agent) {
  const auto At = C.E.Agents.find(Agent);
  if (At == C.E.Agents.end())
    return true;
  const AgentView &View = At->second;
  if (!View.Report)
    return C.Now - View.Since > AgentAbsent;
  if (View.Report->HoldsNothing)
    return true;
  const bool HadUpstream = View.Report->State != UpstreamState::Unknown;
  return C.Now - View.ReportedAt > (HadUpstream ? AgentGone : AgentAbsent);
}

std::vector<Candidate> candidates(const Context &C) {
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
choose(const Context &C, const Route &Of, const FlowKey &Flow,
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
void offer(Context &C, const Packet &P, absl::Span<const std::uint8_t> Raw,
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
bool answering(const Context &C, const Endpoint &Agent) {
  const auto At = C.E.Agents.find(Agent);
  return At != C.E.Agents.end() && At->second.Report &&
         C.Now - At->second.ReportedAt < ReportFresh / 2 &&
         At->second.Report->Silent < SilentLimit;
}

void onOpening(Context &C, const Packet &P, absl::Span<const std::uint8_t> Raw,
               const Route &Of) {
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

/// Gives up a search whose flow no upstream holds.
void foundNowhere(Context &C, const FlowKey &Flow, const Search &S) {
  ++C.E.Counters.FoundNowhere;
  note(C, "flow_lost", Flow, "no upstream holds it");
  if (!S.ResetSeen)
    reset(C, Flow, S.Acknowledged);
  C.E.Searches.erase(Flow);
}

void askAll(Context &C, const FlowKey &Flow, const Search &S) {
  for (const Endpoint &Agent : S.Waiting)
    C.E.Asks[Agent].push_back(Flow);
}

/// \returns what the list of \p Agent tells of \p Flow, or nothing if there is
/// no list or it was asked for before \p Since.
std::optional<Holding> listed(const Context &C, const Endpoint &Agent,
                              const FlowKey &Flow, TimePoint Since) {
  const auto At = C.E.Agents.find(Agent);
  if (At == C.E.Agents.end() || !At->second.Listed ||
      At->second.Listed->AskedAt < Since)
    return std::nullopt;
  const FlowList &List = *At->second.Listed;
  const auto Known = List.Flows.find(Flow);
  return Known == List.Flows.end() ? List.Others : Known->second;
}

void advance(Context &C, const FlowKey &Flow);
void found(Context &C, const FlowKey &Flow, const Endpoint &Agent);

/// Asks the agents of the next wave, but for those whose list is known.
void nextWave(Context &C, const FlowKey &Flow, Search &S) {
  const std::size_t Count = std::min(S.WaveSize, S.Later.size());
  const std::vector<Endpoint> Wave(
      S.Later.rbegin(), S.Later.rbegin() + static_cast<std::ptrdiff_t>(Count));
  S.Later.resize(S.Later.size() - Count);
  S.WaveSize *= WaveGrowth;
  S.AskPause = AskInterval;
  S.AskDue = C.Now + S.AskPause;
  for (const Endpoint &Agent : Wave) {
    const auto Answer = listed(C, Agent, Flow, S.Started);
    if (Answer == Holding::Yes)
      return found(C, Flow, Agent);
    if (!Answer)
      S.Waiting.push_back(Agent);
    else if (*Answer == Holding::Unsure)
      S.Unsure.push_back(Agent);
  }
  askAll(C, Flow, S);
  if (S.Waiting.empty())
    advance(C, Flow);
}

/// Takes the next step of a search once all agents that were asked have
/// answered: tries those that can't tell, then asks the next ones.
void advance(Context &C, const FlowKey &Flow) {
  const auto At = C.E.Searches.find(Flow);
  if (At == C.E.Searches.end() || !At->second.Waiting.empty())
    return;
  Search &S = At->second;
  if (!S.Unsure.empty()) {
    S.Tried = std::exchange(S.Unsure, {});
    S.TriedPacket = S.Held.size() - 1;
    for (const Endpoint &Agent : S.Tried)
      forward(C, Agent, S.Held.back());
    return;
  }
  if (!S.Tried.empty())
    return;
  if (S.Later.empty())
    return foundNowhere(C, Flow, S);
  nextWave(C, Flow, S);
}

void hold(Search &S, const Packet &P, absl::Span<const std::uint8_t> Raw) {
  S.Acknowledged = P.Acknowledged;
  S.ResetSeen = S.ResetSeen || P.Resets;
  if (S.Held.size() < MaxHeldPackets)
    S.Held.emplace_back(Raw.begin(), Raw.end());
}

bool serves(const Route &Of, const std::string &Service) {
  return std::any_of(
      Of.Targets.begin(), Of.Targets.end(),
      [&Service](const RouteTarget &T) { return T.Service == Service; });
}

/// \returns the agents to ask for a flow, the most likely last: by their rank
/// for the flow, but those that are known to be of another service than the
/// route's first. An agent that has just restarted doesn't know its service.
std::vector<Endpoint> searchOrder(const Context &C, const FlowKey &Flow,
                                  const std::vector<Endpoint> &Excluded) {
  const Route *Of = C.E.Routes ? C.E.Routes->find(Flow.Service) : nullptr;
  const std::uint64_t Hash = stableHash(Flow);
  std::vector<std::tuple<bool, std::uint64_t, Endpoint>> Ranked;
  for (const auto &[Agent, View] : C.E.Agents) {
    if (contains(Excluded, Agent) || gone(C, Agent))
      continue;
    const bool Other = Of && View.Report && !View.Report->Service.empty() &&
                       !serves(*Of, View.Report->Service);
    Ranked.emplace_back(!Other, rendezvousRank(Agent, Hash), Agent);
  }
  std::sort(Ranked.begin(), Ranked.end());
  std::vector<Endpoint> Order;
  Order.reserve(Ranked.size());
  for (const auto &[MayServe, Rank, Agent] : Ranked)
    Order.push_back(Agent);
  return Order;
}

void startSearch(Context &C, const Packet &P,
                 absl::Span<const std::uint8_t> Raw,
                 const std::vector<Endpoint> &Excluded) {
  if (C.E.Searches.size() >= MaxSearches) {
    ++C.E.Counters.SearchOverflow;
    return;
  }
  ++C.E.Counters.Searches;
  Search &S = C.E.Searches[P.Flow];
  S.Started = C.Now;
  hold(S, P, Raw);
  S.Later = searchOrder(C, P.Flow, Excluded);
  advance(C, P.Flow);
}

void onEstablished(Context &C, const Packet &P,
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

void found(Context &C, const FlowKey &Flow, const Endpoint &Agent) {
  const auto At = C.E.Searches.find(Flow);
  if (At == C.E.Searches.end())
    return;
  ++C.E.Counters.Found;
  note(C, "flow_found", Flow, "an agent holds it", Agent);
  C.E.Flows[Flow] = OwnedFlow{Agent, C.Now, true, 0, {}};
  const Search &S = At->second;
  const bool Tried = contains(S.Tried, Agent);
  for (std::size_t I = 0; I < S.Held.size(); ++I)
    if (!Tried || I != S.TriedPacket)
      forward(C, Agent, S.Held[I]);
  C.E.Searches.erase(At);
}

void onLocated(Context &C, const Endpoint &Agent, Holding Answer,
               const FlowKey &Flow) {
  const auto At = C.E.Searches.find(Flow);
  if (At == C.E.Searches.end())
    return;
  if (Answer == Holding::Yes)
    return found(C, Flow, Agent);
  Search &S = At->second;
  if (std::erase(S.Waiting, Agent) != 0 && Answer == Holding::Unsure)
    S.Unsure.push_back(Agent);
  advance(C, Flow);
}

/// An upstream returned a packet: a new flow goes to another upstream, and an
/// established one is looked for.
void onReturned(Context &C, const Endpoint &Agent, Holding Reason,
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

/// Adds a part to the list that is arriving. \returns whether it is complete.
bool addPart(FlowList &List, const FlowListPart &Part) {
  if (List.Arrived.empty()) {
    List.Arrived.resize(Part.Parts);
    List.PartsMissing = Part.Parts;
    List.Others = Part.Others;
  }
  if (Part.Part >= List.Arrived.size() || List.Arrived[Part.Part])
    return false;
  List.Arrived[Part.Part] = true;
  for (const FlowLocation &L : Part.Flows)
    List.Flows[L.Flow] = L.Where;
  return --List.PartsMissing == 0;
}

/// Takes a part of an agent's list; a complete one answers all searches that
/// wait for this agent and began before it was asked for.
void onFlowList(Context &C, const Endpoint &Agent, const FlowListPart &Part) {
  const auto At = C.E.Agents.find(Agent);
  if (At == C.E.Agents.end())
    return;
  AgentView &View = At->second;
  if (!View.Arriving || View.Arriving->Question != Part.Question ||
      !addPart(*View.Arriving, Part))
    return;
  View.Listed = std::exchange(View.Arriving, std::nullopt);
  std::vector<FlowLocation> Answers;
  for (const auto &[Flow, S] : C.E.Searches) {
    if (!contains(S.Waiting, Agent))
      continue;
    if (const auto Where = listed(C, Agent, Flow, S.Started))
      Answers.push_back({Flow, *Where});
    else
      C.E.Asks[Agent].push_back(Flow);
  }
  for (const FlowLocation &Answer : Answers)
    onLocated(C, Agent, Answer.Where, Answer.Flow);
}

void onLoad(Context &C, const Endpoint &From,
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
bool startPlacing(Context &C) {
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
void keepWaiting(Context &C, const FlowKey &Flow,
                 absl::Span<const std::uint8_t> Raw) {
  ++C.E.Counters.Held;
  if (C.E.Waiting.size() >= MaxWaitingFlows && !C.E.Waiting.contains(Flow))
    return;
  C.E.Waiting[Flow] = {Bytes(Raw.begin(), Raw.end()), C.Now};
}

void noteExpired(Context &C, const FlowKey &Flow, const Search &S) {
  if (!S.Tried.empty())
    return note(C, "search_expired", Flow, "its upstream gave no answer",
                S.Tried.front());
  note(C, "search_expired", Flow, "an agent gave no answer",
       S.Waiting.empty() ? Endpoint{} : S.Waiting.front());
}

/// Asks agents again that haven't answered, and ends searches that took too
/// long.
void tickSearches(Context &C) {
  std::vector<FlowKey> Expired;
  std::vector<FlowKey> Answered;
  for (auto &[Flow, S] : C.E.Searches) {
    if (C.Now - S.Started >= SearchLimit) {
      Expired.push_back(Flow);
      continue;
    }
    if (C.Now < S.AskDue)
      continue;
    S.AskPause = std::min<milliseconds>(2 * S.AskPause, MaxAskPause);
    S.AskDue = C.Now + S.AskPause;
    // An upstream that gave no answer may be known to be gone by now.
    if (S.Waiting.empty())
      S.Waiting = std::exchange(S.Tried, {});
    std::erase_if(S.Waiting, [&C](const auto &A) { return gone(C, A); });
    askAll(C, Flow, S);
    if (S.Waiting.empty())
      Answered.push_back(Flow);
  }
  for (const FlowKey &Flow : Answered)
    advance(C, Flow);
  for (const FlowKey &Flow : Expired) {
    ++C.E.Counters.SearchExpired;
    noteExpired(C, Flow, C.E.Searches.at(Flow));
    C.E.Searches.erase(Flow);
  }
}

void cleanUp(Context &C) {
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

/// \returns whether the list of all flows of \p Agent takes fewer bytes than
/// \p Asked questions and their answers, about twice a listed flow each.
bool listIsSmaller(const EntryFlows &E, const Endpoint &Agent,
                   std::size_t Asked) {
  const auto At = E.Agents.find(Agent);
  return Asked >= ListFromSearches && At != E.Agents.end() &&
         At->second.Report && At->second.Report->ActiveFlows < 2 * Asked;
}

/// Asks for a list, unless one is on its way: onFlowList() asks again for what
/// that one doesn't answer.
void askForList(Context &C, const Endpoint &Agent) {
  AgentView &View = C.E.Agents[Agent];
  if (View.Arriving && C.Now - View.Arriving->AskedAt < AskInterval)
    return;
  FlowList Arriving;
  Arriving.Question = ++C.E.ListQuestions;
  Arriving.AskedAt = C.Now;
  ask(C, Agent, TunnelKind::ListFlows, encodeListQuestion(Arriving.Question));
  View.Arriving = std::move(Arriving);
}

/// Handles a caller's packet once enough is known to place flows.
void handle(Context &C, const Packet &P, absl::Span<const std::uint8_t> Raw) {
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
void releaseWaiting(Context &C) {
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

void listAgents(EntryFlows &E, const std::vector<Endpoint> &Listed,
                bool Complete, TimePoint Now, EntryEffects &Out) {
  Context C{E, Now, Out};
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
  Context C{E, Now, Out};
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
  Context C{E, Now, Out};
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
  Context C{E, Now, Out};
  for (auto &[Agent, Flows] : std::exchange(E.Asks, {})) {
    if (listIsSmaller(E, Agent, Flows.size())) {
      askForList(C, Agent);
      continue;
    }
    for (std::size_t From = 0; From < Flows.size();
         From += MaxFlowsPerDatagram) {
      const std::size_t To = std::min(Flows.size(), From + MaxFlowsPerDatagram);
      const std::vector<FlowKey> Part(
          Flows.begin() + static_cast<std::ptrdiff_t>(From),
          Flows.begin() + static_cast<std::ptrdiff_t>(To));
      Out.emplace_back(
          SendTunnel{Agent, encodeTunnel({TunnelKind::Locate, Holding::No, 0},
                                         encodeFlowKeys(Part))});
    }
  }
}

void tick(EntryFlows &E, TimePoint Now, EntryEffects &Out) {
  Context C{E, Now, Out};
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
