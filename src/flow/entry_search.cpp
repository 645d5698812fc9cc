#include "jasminearch/flow/detail/entry_steps.h"
#include <algorithm>
#include <tuple>
#include <utility>

namespace jasminearch::flow::detail {

using std::chrono::milliseconds;

namespace {

/// Gives up a search whose flow no upstream holds.
void foundNowhere(EntryContext &C, const FlowKey &Flow, const Search &S) {
  ++C.E.Counters.FoundNowhere;
  note(C, "flow_lost", Flow, "no upstream holds it");
  if (!S.ResetSeen)
    reset(C, Flow, S.Acknowledged);
  C.E.Searches.erase(Flow);
}

void askAll(EntryContext &C, const FlowKey &Flow, const Search &S) {
  for (const Endpoint &Agent : S.Waiting)
    C.E.Asks[Agent].push_back(Flow);
}

/// \returns what the list of \p Agent tells of \p Flow, or nothing if there is
/// no list or it was asked for before \p Since.
std::optional<Holding> listed(const EntryContext &C, const Endpoint &Agent,
                              const FlowKey &Flow, TimePoint Since) {
  const auto At = C.E.Agents.find(Agent);
  if (At == C.E.Agents.end() || !At->second.Listed ||
      At->second.Listed->AskedAt < Since)
    return std::nullopt;
  const FlowList &List = *At->second.Listed;
  const auto Known = List.Flows.find(Flow);
  return Known == List.Flows.end() ? List.Others : Known->second;
}

void found(EntryContext &C, const FlowKey &Flow, const Endpoint &Agent);

/// Asks the agents of the next wave, but for those whose list is known.
void nextWave(EntryContext &C, const FlowKey &Flow, Search &S) {
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

bool serves(const Route &Of, const std::string &Service) {
  return std::any_of(
      Of.Targets.begin(), Of.Targets.end(),
      [&Service](const RouteTarget &T) { return T.Service == Service; });
}

/// \returns the agents to ask for a flow, the most likely last: by their rank
/// for the flow, but those that are known to be of another service than the
/// route's first. An agent that has just restarted doesn't know its service.
std::vector<Endpoint> searchOrder(const EntryContext &C, const FlowKey &Flow,
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

void found(EntryContext &C, const FlowKey &Flow, const Endpoint &Agent) {
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

void noteExpired(EntryContext &C, const FlowKey &Flow, const Search &S) {
  if (!S.Tried.empty())
    return note(C, "search_expired", Flow, "its upstream gave no answer",
                S.Tried.front());
  note(C, "search_expired", Flow, "an agent gave no answer",
       S.Waiting.empty() ? Endpoint{} : S.Waiting.front());
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
void askForList(EntryContext &C, const Endpoint &Agent) {
  AgentView &View = C.E.Agents[Agent];
  if (View.Arriving && C.Now - View.Arriving->AskedAt < AskInterval)
    return;
  FlowList Arriving;
  Arriving.Question = ++C.E.ListQuestions;
  Arriving.AskedAt = C.Now;
  ask(C, Agent, TunnelKind::ListFlows,
      encodeFlowListRequest(Arriving.Question));
  View.Arriving = std::move(Arriving);
}

} // namespace

void advance(EntryContext &C, const FlowKey &Flow) {
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

void startSearch(EntryContext &C, const Packet &P,
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

void onLocated(EntryContext &C, const Endpoint &Agent, Holding Answer,
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

void onFlowList(EntryContext &C, const Endpoint &Agent,
                const FlowListPart &Part) {
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

void tickSearches(EntryContext &C) {
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

void flushQuestions(EntryContext &C) {
  for (auto &[Agent, Flows] : std::exchange(C.E.Asks, {})) {
    if (listIsSmaller(C.E, Agent, Flows.size())) {
      askForList(C, Agent);
      continue;
    }
    for (std::size_t From = 0; From < Flows.size();
         From += MaxFlowsPerDatagram) {
      const std::size_t To = std::min(Flows.size(), From + MaxFlowsPerDatagram);
      const std::vector<FlowKey> Part(
          Flows.begin() + static_cast<std::ptrdiff_t>(From),
          Flows.begin() + static_cast<std::ptrdiff_t>(To));
      ask(C, Agent, TunnelKind::Locate, encodeFlowKeys(Part));
    }
  }
}

} // namespace jasminearch::flow::detail
