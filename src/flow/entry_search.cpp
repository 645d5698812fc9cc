#include "jasminearch/flow/detail/entry_candidates.h"
#include "jasminearch/flow/detail/entry_steps.h"
#include "jasminearch/flow/locality.h"
#include <algorithm>
#include <tuple>
#include <utility>

namespace jasminearch::flow::detail {

using std::chrono::milliseconds;

namespace {

/// Bytes of a query besides the flow keys: tunnel, UDP and IP headers.
constexpr std::size_t QueryOverheadBytes = TunnelHeaderBytes + 28;

/// Bytes of one flow in an answer.
constexpr std::size_t FlowAnswerBytes = FlowKeyBytes + 1;

/// Number of flows that the list of an agent without a report counts for.
constexpr std::size_t UnknownListSize = 5;

/// Bound of the growth of waves and groups, so that no size overflows.
constexpr std::size_t MaxWaveSize = 65'536;

/// Ends a search after all agents answered that they don't hold the flow.
void failSearch(EntryContext &C, const FlowKey &Flow, const Search &S) {
  ++C.E.Counters.FoundNowhere;
  C.E.RecentLosses.push_back(C.Now);
  if (C.E.RecentLosses.size() > MinSearchesForFlowList)
    C.E.RecentLosses.pop_front();
  recordDecision(C, "flow_lost", Flow, "no upstream holds the flow");
  if (!S.ResetSeen)
    sendReset(C, Flow, S.Acknowledged);
  C.E.Searches.erase(Flow);
}

void queueQuery(EntryFlows &E, const Endpoint &Agent, const FlowKey &Flow) {
  auto &Flows = E.QueuedQueries[Agent];
  if (Flows.empty())
    E.QueryOrder.push_back(Agent);
  Flows.insert(Flow);
}

void queueQueries(EntryContext &C, const FlowKey &Flow, Search &S) {
  S.QueriesQueued = S.QueriesQueued || !S.NotAnswered.empty();
  for (const Endpoint &Agent : S.NotAnswered)
    queueQuery(C.E, Agent, Flow);
}

/// \returns the presence of \p Flow according to the flow list or the digest of
/// \p Agent, or nothing if none was requested since \p S began, or if only the
/// agent can tell.
std::optional<FlowPresence> listedPresence(const EntryContext &C,
                                           const Endpoint &Agent,
                                           const FlowKey &Flow,
                                           const Search &S) {
  const auto It = C.E.Agents.find(Agent);
  if (It == C.E.Agents.end())
    return std::nullopt;
  const AgentView &View = It->second;
  if (View.CompleteList && View.CompleteList->RequestedAt >= S.StartedAt) {
    const FlowList &List = *View.CompleteList;
    const auto Known = List.Flows.find(Flow);
    return Known == List.Flows.end() ? List.UnlistedPresence : Known->second;
  }
  if (matchDigest(View.Digest, S.Hash, S.StartedAt) == DigestMatch::NotListed)
    return View.Digest.UnlistedPresence;
  return std::nullopt;
}

void completeSearch(EntryContext &C, const FlowKey &Flow,
                    const Endpoint &Agent);

/// \returns whether so many flows were lost recently that a search is expected
/// to find nothing.
bool afterMassLoss(const EntryContext &C) {
  const auto &Losses = C.E.RecentLosses;
  return Losses.size() >= MinSearchesForFlowList &&
         C.Now - Losses.front() < MassLossWindow;
}

/// \returns the number of agents that the next wave of \p S queries.
std::size_t nextWaveSize(const EntryContext &C, const Search &S) {
  // Where the likely agents are sure that they don't hold the flow, it is most
  // likely lost, and further waves would only delay the reset. Unsure agents
  // may hold it: all processes but the upstreams have restarted, and larger
  // waves would only load the agents.
  const bool FirstSaidNo = S.WaveSize > FirstWaveSize &&
                           S.NotAnswered.empty() && S.Unsure.empty() &&
                           S.TryGroupSize == FirstWaveSize;
  return FirstSaidNo || afterMassLoss(C)
             ? S.NotQueried.size()
             : std::min(S.WaveSize, S.NotQueried.size());
}

/// Queries the next wave of agents, except those whose flow list or digest
/// already has the answer.
void queryNextWave(EntryContext &C, const FlowKey &Flow, Search &S) {
  const std::size_t Count = nextWaveSize(C, S);
  const std::vector<Endpoint> Wave(S.NotQueried.rbegin(),
                                   S.NotQueried.rbegin() +
                                       static_cast<std::ptrdiff_t>(Count));
  S.NotQueried.resize(S.NotQueried.size() - Count);
  S.WaveSize = std::min(S.WaveSize * WaveGrowthFactor, MaxWaveSize);
  S.RetryInterval = LocateRetryInterval;
  S.RetryDue = C.Now + S.RetryInterval;
  for (const Endpoint &Agent : Wave) {
    const auto Answer = listedPresence(C, Agent, Flow, S);
    if (Answer == FlowPresence::Yes)
      return completeSearch(C, Flow, Agent);
    if (!Answer)
      S.NotAnswered.push_back(Agent);
    else if (*Answer == FlowPresence::Unsure)
      S.Unsure.push_back(Agent);
  }
  queueQueries(C, Flow, S);
  if (S.NotAnswered.empty())
    advanceSearch(C, Flow);
}

/// Sends the caller's packet to the agents that answered Unsure, those that
/// rank first first. Groups limit the copies: after a restart of all agents,
/// each of them is unsure.
void tryNextGroup(EntryContext &C, const FlowKey &Flow, Search &S) {
  const std::uint64_t Hash = hashFlow(Flow);
  std::sort(S.Unsure.begin(), S.Unsure.end(),
            [Hash](const Endpoint &X, const Endpoint &Y) {
              return rendezvousRank(X, Hash) > rendezvousRank(Y, Hash);
            });
  const auto Count =
      static_cast<std::ptrdiff_t>(std::min(S.TryGroupSize, S.Unsure.size()));
  S.TryGroupSize = std::min(S.TryGroupSize * WaveGrowthFactor, MaxWaveSize);
  S.RetryDue = C.Now + S.RetryInterval;
  S.Tried.insert(S.Tried.end(), S.Unsure.begin(), S.Unsure.begin() + Count);
  S.Unsure.erase(S.Unsure.begin(), S.Unsure.begin() + Count);
  S.TriedPacketIndex = S.HeldPackets.size() - 1;
  for (const Endpoint &Agent : S.Tried)
    forward(C, Agent, S.HeldPackets.back());
}

bool hasTarget(const Route &R, std::uint32_t ServiceTag) {
  return std::any_of(R.Targets.begin(), R.Targets.end(),
                     [ServiceTag](const RouteTarget &T) {
                       return serviceTag(T.Service) == ServiceTag;
                     });
}

/// \returns the agents to query for a flow, in ascending order of likelihood:
/// first those known to serve none of the route's services, then the others,
/// each by their rank for the flow, or as uploads are placed. An agent that has
/// just restarted doesn't know its service yet and counts among the others.
std::vector<Endpoint> searchOrder(const EntryContext &C, const FlowKey &Flow,
                                  const std::vector<Endpoint> &Excluded) {
  const Route *R = C.E.Routes ? C.E.Routes->find(Flow.Service) : nullptr;
  const std::uint64_t Hash = hashFlow(Flow);
  std::vector<std::tuple<bool, std::uint64_t, Endpoint>> Ranked;
  for (const auto &[Agent, View] : C.E.Agents) {
    if (contains(Excluded, Agent) || holdsNoFlows(C, Agent, C.Now))
      continue;
    const bool OtherService =
        R && View.ServiceTag != 0 && !hasTarget(*R, View.ServiceTag);
    Ranked.emplace_back(!OtherService, rendezvousRank(Agent, Hash), Agent);
  }
  std::sort(Ranked.begin(), Ranked.end());
  std::vector<Endpoint> Order;
  std::vector<Endpoint> Serving;
  Order.reserve(Ranked.size());
  for (const auto &[MayServe, Rank, Agent] : Ranked)
    (MayServe ? Serving : Order).push_back(Agent);
  if (R && prefersOwnDataCentre(C.E, *R))
    Serving = orderByPlacement(Serving, [&C](const Endpoint &Agent) {
      return isInOwnDataCentre(C.E, Agent);
    });
  Order.insert(Order.end(), Serving.begin(), Serving.end());
  return Order;
}

void completeSearch(EntryContext &C, const FlowKey &Flow,
                    const Endpoint &Agent) {
  const auto It = C.E.Searches.find(Flow);
  if (It == C.E.Searches.end())
    return;
  ++C.E.Counters.Found;
  // Losses count only as far as they outnumber the flows that are found.
  if (!C.E.RecentLosses.empty())
    C.E.RecentLosses.pop_front();
  recordDecision(C, "flow_found", Flow,
                 "an agent reports that its upstream holds the flow", Agent);
  C.E.Flows[Flow] = CachedFlow{Agent, C.Now, true, 0, {}, C.Now, {}};
  const Search &S = It->second;
  const bool Tried = contains(S.Tried, Agent);
  for (std::size_t I = 0; I < S.HeldPackets.size(); ++I)
    if (!Tried || I != S.TriedPacketIndex)
      forward(C, Agent, S.HeldPackets[I]);
  C.E.Searches.erase(It);
}

/// Adds a part to a flow list. \returns whether the list is complete.
bool addPart(FlowList &List, const FlowListPart &Part) {
  if (List.ReceivedParts.empty()) {
    List.ReceivedParts.resize(Part.Parts);
    List.MissingParts = Part.Parts;
    List.UnlistedPresence = Part.UnlistedPresence;
  }
  if (Part.Part >= List.ReceivedParts.size() || List.ReceivedParts[Part.Part])
    return false;
  List.ReceivedParts[Part.Part] = true;
  for (const FlowLocation &L : Part.Flows)
    List.Flows[L.Flow] = L.Presence;
  return --List.MissingParts == 0;
}

void recordExpired(EntryContext &C, const FlowKey &Flow, const Search &S) {
  if (S.NotAnswered.empty() && !S.Tried.empty())
    return recordDecision(C, "search_expired", Flow,
                          "no answer from the upstream", S.Tried.front());
  recordDecision(C, "search_expired", Flow, "no answer from an agent",
                 S.NotAnswered.empty() ? Endpoint{} : S.NotAnswered.front());
}

/// \returns whether the full flow list of \p Agent takes fewer bytes than
/// \p QueryCount queries with their answers, which take about twice the bytes
/// of a list entry each. The number of flows is taken from the last report; of
/// an agent that has not reported, the list is requested.
bool isListSmaller(const EntryFlows &E, const Endpoint &Agent,
                   std::size_t QueryCount) {
  const auto It = E.Agents.find(Agent);
  return QueryCount >= MinSearchesForFlowList && It != E.Agents.end() &&
         (!It->second.Report ||
          It->second.Report->ActiveFlows < 2 * QueryCount);
}

/// Requests a flow list unless one has been requested recently; for searches
/// that began later, answerSearches() queues the query again.
void requestFlowList(EntryContext &C, const Endpoint &Agent) {
  AgentView &View = C.E.Agents[Agent];
  if (View.PartialList &&
      C.Now - View.PartialList->RequestedAt < LocateRetryInterval)
    return;
  FlowList PartialList;
  PartialList.RequestId = ++C.E.LastFlowListRequestId;
  PartialList.RequestedAt = C.Now;
  sendMessage(C, Agent, TunnelKind::ListFlows,
              encodeFlowListRequest(PartialList.RequestId));
  View.PartialList = std::move(PartialList);
}

void refillQueryBudget(EntryContext &C) {
  const std::chrono::duration<double> Elapsed = C.Now - C.E.QueryBudgetAt;
  C.E.QueryBudgetAt = C.Now;
  const double Rate = queryBytesPerSecond(C.E.Budget);
  const double Burst = MaxQueryBurstBytes * Rate / QueryBytesPerSecond;
  C.E.QueryBudget = std::min(C.E.QueryBudget + Elapsed.count() * Rate, Burst);
}

/// \returns the number of flows that the list of \p Agent is expected to have.
std::size_t expectedListSize(const EntryFlows &E, const Endpoint &Agent) {
  const auto It = E.Agents.find(Agent);
  return It != E.Agents.end() && It->second.Report
             ? It->second.Report->ActiveFlows
             : UnknownListSize;
}

/// \returns the bytes that the hashes of a digest of \p Agent and what comes
/// with them are expected to take, besides the overhead of the datagrams.
std::size_t expectedDigestSize(const EntryContext &C, const Endpoint &Agent,
                               const FlowDigest &D) {
  const bool IsRecent = D.CompleteAt && C.Now - *D.CompleteAt < RecentDigestAge;
  const std::size_t Hashes =
      IsRecent ? ExpectedNewHashes
               : std::max<std::size_t>(D.Known, expectedListSize(C.E, Agent));
  return DigestRequestBytes + DigestHeaderBytes + Hashes * DigestHashBytes;
}

/// Delays the next query by the time that \p Bytes take.
void delayNextQuery(EntryContext &C, std::size_t Bytes) {
  const double Rate = 2 * queryBytesPerSecond(C.E.Budget);
  const std::chrono::duration<double> Pause(static_cast<double>(Bytes) / Rate);
  C.E.NextQueryDue =
      std::max(C.E.NextQueryDue, C.Now) +
      std::chrono::duration_cast<std::chrono::microseconds>(Pause);
}

void sendDigestRequest(EntryContext &C, const Endpoint &Agent, FlowDigest &D) {
  ++C.E.Counters.Digests;
  C.E.QueryBudget -= QueryOverheadBytes + DigestRequestBytes;
  const DigestRequest Request =
      requestDigest(D, ++C.E.LastDigestRequestId, C.Now);
  sendMessage(C, Agent, TunnelKind::ListRecentFlows,
              encodeDigestRequest(Request));
}

/// \returns the flows of \p Queued that are still searched for.
std::vector<FlowKey> takeSearched(EntryContext &C,
                                  const absl::flat_hash_set<FlowKey> &Queued) {
  std::vector<FlowKey> Flows;
  for (const FlowKey &Flow : Queued) {
    const auto It = C.E.Searches.find(Flow);
    if (It == C.E.Searches.end())
      continue;
    Flows.push_back(Flow);
    if (std::exchange(It->second.QueriesQueued, false))
      It->second.RetryDue = C.Now + It->second.RetryInterval;
  }
  return Flows;
}

/// Requests a digest for the flows of \p Flows that it can answer, if that
/// takes fewer bytes than queries, and removes them. Flows whose hash is listed
/// have to be queried, and all of them once at an agent that is late with its
/// digest. \returns the expected bytes.
std::size_t queryByDigest(EntryContext &C, const Endpoint &Agent,
                          std::vector<FlowKey> &Flows) {
  const auto View = C.E.Agents.find(Agent);
  if (View == C.E.Agents.end())
    return 0;
  FlowDigest &D = View->second.Digest;
  if (expireDigestRequest(D, C.Now, LocateRetryInterval))
    return 0;
  const auto Rest =
      std::partition(Flows.begin(), Flows.end(), [&](const FlowKey &Flow) {
        const Search &S = C.E.Searches.at(Flow);
        return matchDigest(D, S.Hash, S.StartedAt) == DigestMatch::Listed;
      });
  const auto Count = static_cast<std::size_t>(Flows.end() - Rest);
  const std::size_t Size = expectedDigestSize(C, Agent, D);
  const bool IsWorthwhile =
      Count * (FlowKeyBytes + FlowAnswerBytes) > Size ||
      (afterMassLoss(C) && Size <= MaxDigestBytesForOneFlow);
  const bool IsRequested = mayRequestDigest(D, C.Now);
  if (Count == 0 || !IsWorthwhile || (!IsRequested && !D.IsAwaited))
    return 0;
  Flows.erase(Rest, Flows.end());
  if (!IsRequested)
    return 0;
  sendDigestRequest(C, Agent, D);
  return 2 * QueryOverheadBytes + Size;
}

/// Queries \p Agent for those of \p Queued that are still searched for.
/// \returns the bytes that the queries and their answers are expected to take.
std::size_t sendQueries(EntryContext &C, const Endpoint &Agent,
                        const absl::flat_hash_set<FlowKey> &Queued) {
  std::vector<FlowKey> Flows = takeSearched(C, Queued);
  const std::size_t DigestBytes = queryByDigest(C, Agent, Flows);
  if (Flows.empty())
    return DigestBytes;
  if (isListSmaller(C.E, Agent, Flows.size())) {
    C.E.QueryBudget -= QueryOverheadBytes;
    requestFlowList(C, Agent);
    return DigestBytes + 2 * QueryOverheadBytes +
           expectedListSize(C.E, Agent) * FlowAnswerBytes;
  }
  for (std::size_t From = 0; From < Flows.size(); From += MaxFlowsPerDatagram) {
    const std::size_t To = std::min(Flows.size(), From + MaxFlowsPerDatagram);
    const std::vector<FlowKey> Part(
        Flows.begin() + static_cast<std::ptrdiff_t>(From),
        Flows.begin() + static_cast<std::ptrdiff_t>(To));
    C.E.QueryBudget -=
        static_cast<double>(QueryOverheadBytes + Part.size() * FlowKeyBytes);
    sendMessage(C, Agent, TunnelKind::Locate, encodeFlowKeys(Part));
  }
  return DigestBytes + 2 * QueryOverheadBytes +
         Flows.size() * (FlowKeyBytes + FlowAnswerBytes);
}

/// Answers the searches that wait for \p Agent by its flow list or digest, and
/// queues queries for the others.
void answerSearches(EntryContext &C, const Endpoint &Agent) {
  std::vector<FlowLocation> Answers;
  for (const auto &[Flow, S] : C.E.Searches) {
    if (!contains(S.NotAnswered, Agent))
      continue;
    if (const auto Presence = listedPresence(C, Agent, Flow, S))
      Answers.push_back({Flow, *Presence});
    else
      queueQuery(C.E, Agent, Flow);
  }
  for (const FlowLocation &Answer : Answers)
    onLocated(C, Agent, Answer.Presence, Answer.Flow);
}

/// Continues a search whose retry is due, also without the answers of agents
/// that are silent: another one may hold the flow.
void continueAtRetry(EntryContext &C, const FlowKey &Flow) {
  const auto It = C.E.Searches.find(Flow);
  if (It == C.E.Searches.end())
    return;
  Search &S = It->second;
  if (S.NotAnswered.empty())
    return advanceSearch(C, Flow);
  if (!S.Unsure.empty())
    tryNextGroup(C, Flow, S);
  // Agents that are only slow answer within the first retries.
  if (!S.NotQueried.empty() && S.RetryInterval >= MaxLocateRetryInterval)
    queryNextWave(C, Flow, S);
}

} // namespace

void advanceSearch(EntryContext &C, const FlowKey &Flow) {
  const auto It = C.E.Searches.find(Flow);
  if (It == C.E.Searches.end() || !It->second.Tried.empty())
    return;
  Search &S = It->second;
  // A full group doesn't wait for the answers of the other agents.
  const bool IsDue = S.NotAnswered.empty() || S.TryGroupSize > FirstWaveSize ||
                     S.Unsure.size() >= S.TryGroupSize;
  if (!S.Unsure.empty() && IsDue)
    return tryNextGroup(C, Flow, S);
  if (!S.NotAnswered.empty())
    return;
  if (S.NotQueried.empty())
    return failSearch(C, Flow, S);
  queryNextWave(C, Flow, S);
}

void holdPacket(Search &S, const Packet &P,
                absl::Span<const std::uint8_t> Raw) {
  S.Acknowledged = P.Acknowledged;
  S.ResetSeen = S.ResetSeen || P.Resets;
  if (S.HeldPackets.size() < MaxHeldPackets)
    S.HeldPackets.emplace_back(Raw.begin(), Raw.end());
}

void extendSearches(EntryFlows &E, const Endpoint &Agent) {
  for (auto &[Flow, S] : E.Searches)
    if (!contains(S.NotQueried, Agent) && !contains(S.NotAnswered, Agent) &&
        !contains(S.Tried, Agent) && !contains(S.Unsure, Agent))
      S.NotQueried.push_back(Agent);
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
  S.StartedAt = C.Now;
  S.Hash = digestHash(P.Flow);
  holdPacket(S, P, Raw);
  S.NotQueried = searchOrder(C, P.Flow, Excluded);
  advanceSearch(C, P.Flow);
}

void onLocated(EntryContext &C, const Endpoint &Agent, FlowPresence Answer,
               const FlowKey &Flow) {
  const auto It = C.E.Searches.find(Flow);
  if (It == C.E.Searches.end())
    return;
  if (Answer == FlowPresence::Yes)
    return completeSearch(C, Flow, Agent);
  Search &S = It->second;
  if (std::erase(S.NotAnswered, Agent) != 0 && Answer == FlowPresence::Unsure)
    S.Unsure.push_back(Agent);
  advanceSearch(C, Flow);
}

void onFlowList(EntryContext &C, const Endpoint &Agent,
                const FlowListPart &Part) {
  const auto It = C.E.Agents.find(Agent);
  if (It == C.E.Agents.end())
    return;
  AgentView &View = It->second;
  if (!View.PartialList || View.PartialList->RequestId != Part.RequestId ||
      !addPart(*View.PartialList, Part))
    return;
  View.CompleteList = std::exchange(View.PartialList, std::nullopt);
  answerSearches(C, Agent);
}

void onDigest(EntryContext &C, const Endpoint &Agent,
              const DigestAnswer &Answer) {
  const auto It = C.E.Agents.find(Agent);
  if (It == C.E.Agents.end())
    return;
  FlowDigest &D = It->second.Digest;
  switch (mergeDigest(D, Answer)) {
  case DigestProgress::Outdated:
    return;
  case DigestProgress::Partial:
    delayNextQuery(C, 2 * QueryOverheadBytes + DigestRequestBytes +
                          DigestHeaderBytes +
                          MaxDigestHashes * DigestHashBytes);
    return sendDigestRequest(C, Agent, D);
  case DigestProgress::Complete:
    return answerSearches(C, Agent);
  }
}

void tickSearches(EntryContext &C) {
  std::vector<FlowKey> Expired;
  std::vector<FlowKey> Due;
  for (auto &[Flow, S] : C.E.Searches) {
    if (C.Now - S.StartedAt >= SearchTimeout) {
      Expired.push_back(Flow);
      continue;
    }
    if (C.Now < S.RetryDue || S.QueriesQueued)
      continue;
    S.RetryInterval =
        std::min<milliseconds>(2 * S.RetryInterval, MaxLocateRetryInterval);
    S.RetryDue = C.Now + S.RetryInterval;
    // Query the agents again whose upstream didn't react to the packet: by now
    // the agent may know that the upstream is gone.
    S.NotAnswered.insert(S.NotAnswered.end(), S.Tried.begin(), S.Tried.end());
    S.Tried.clear();
    std::erase_if(S.NotAnswered, [&C, &S = S](const auto &A) {
      return holdsNoFlows(C, A, S.StartedAt);
    });
    queueQueries(C, Flow, S);
    Due.push_back(Flow);
  }
  for (const FlowKey &Flow : Due)
    continueAtRetry(C, Flow);
  for (const FlowKey &Flow : Expired) {
    ++C.E.Counters.SearchExpired;
    recordExpired(C, Flow, C.E.Searches.at(Flow));
    C.E.Searches.erase(Flow);
  }
}

void flushQueries(EntryContext &C) {
  refillQueryBudget(C);
  EntryFlows &E = C.E;
  while (!E.QueryOrder.empty() && E.QueryBudget > 0 &&
         C.Now + QueryBurst >= E.NextQueryDue) {
    const Endpoint Agent = E.QueryOrder.front();
    E.QueryOrder.pop_front();
    const auto Queued = E.QueuedQueries.extract(Agent);
    if (!Queued.empty())
      delayNextQuery(C, sendQueries(C, Agent, Queued.mapped()));
  }
}

} // namespace jasminearch::flow::detail
