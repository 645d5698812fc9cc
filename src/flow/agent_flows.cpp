#include "jasminearch/flow/agent_flows.h"
#include "jasminearch/flow/detail/agent_cold.h"
#include "jasminearch/flow/exclusion.h"
#include <algorithm>
#include <tuple>
#include <utility>

namespace jasminearch::flow {

namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

using detail::coldLimitReached;
using detail::coldOpeningsLeft;
using detail::coldWaitOfLast;

/// State, current time and output of one call.
struct Context {
  AgentFlows &A;
  TimePoint Now;
  AgentEffects &Out;
};

void recordDecision(Context &C, std::string_view Event, const FlowKey &Flow,
                    std::string_view Reason) {
  AgentDecision D{Event, Flow, Reason, 0, {}};
  if (C.A.Upstream) {
    D.AnnouncementNumber = C.A.Upstream->Number;
    D.AnnouncementAge =
        duration_cast<milliseconds>(C.Now - C.A.UpstreamHeardAt);
  }
  C.Out.emplace_back(D);
}

void sendToEntry(Context &C, const Endpoint &To, TunnelKind Kind,
                 FlowPresence Detail, absl::Span<const std::uint8_t> Payload) {
  C.Out.emplace_back(SendToEntry{To, encodeTunnel({Kind, Detail, 0}, Payload)});
}

void returnPacket(Context &C, const Endpoint &To, FlowPresence Reason,
                  absl::Span<const std::uint8_t> Raw) {
  sendToEntry(C, To, TunnelKind::Returned, Reason, Raw);
}

constexpr unsigned RunIdShift = 16;

/// \returns the high half of all tags of this run, which distinguishes them
/// from the tags of earlier runs.
std::uint32_t runTag(const AgentFlows &A) {
  return static_cast<std::uint32_t>(A.Options.RunId & 0xFFFF) << RunIdShift;
}

/// \returns the tag for packets from \p Entry to the upstream. It tells to
/// which entry host a packet goes back that the upstream returns.
std::uint32_t tagForEntry(AgentFlows &A, const Endpoint &Entry) {
  const auto [It, New] = A.EntryTags.try_emplace(
      Entry, static_cast<std::uint16_t>(A.Entries.size()));
  if (New) {
    if (A.Entries.size() >= MaxEntryTags) {
      A.Entries.clear();
      A.EntryTags.clear();
      return tagForEntry(A, Entry);
    }
    A.Entries.push_back(Entry);
  }
  return runTag(A) | It->second;
}

/// \returns the entry host of a tag, or nothing if another run of the agent
/// wrote the tag.
std::optional<Endpoint> entryForTag(const AgentFlows &A, std::uint32_t Tag) {
  const std::size_t Index = Tag & 0xFFFF;
  if ((Tag & 0xFFFF0000U) != runTag(A) || Index >= A.Entries.size())
    return std::nullopt;
  return A.Entries[Index];
}

/// \returns whether the upstream has shown a sign of life within the lease, and
/// no listen check has failed since.
bool hasLease(const AgentFlows &A, TimePoint Now) {
  return A.Upstream && !A.NotListening &&
         Now - A.UpstreamHeardAt < A.Options.Lease;
}

/// \returns whether another start than the current one has announced itself, so
/// that the service at the upstream's address is uncertain.
bool isContested(const AgentFlows &A) {
  return A.Contested && A.Upstream &&
         A.Contested->Start !=
             UpstreamStart{A.Upstream->Name, A.Upstream->StartedAtMs};
}

/// \returns whether the upstream is certain to be the one that was announced,
/// and this agent accepts openings for it.
bool canServe(const AgentFlows &A, TimePoint Now) {
  const bool BeingRelisted =
      A.ReportedMissing && Now - A.CurrentStartAt < RelistingDelay;
  return !A.Stopping && hasLease(A, Now) && !isContested(A) && !BeingRelisted;
}

/// \returns whether the upstream gets new flows of its service.
bool takesOpenings(const AgentFlows &A, TimePoint Now) {
  return canServe(A, Now) && !A.Evacuated &&
         A.Upstream->State == UpstreamState::Ready;
}

/// \returns whether no earlier run can have been there when an upstream started
/// that is MaxStartDistance older than this run, as far as control hosts know.
bool earlierRunsHaveEnded(const AgentFlows &A) {
  return A.EarlierRuns && (!A.EarlierRuns->HeardAt ||
                           *A.EarlierRuns->HeardAt <
                               A.StartedAt - MaxStartDistance - MaxRunSilence);
}

/// Finds out whether this run and the first upstream that it heard of started
/// together.
void updateStartedTogether(AgentFlows &A) {
  if (!A.Upstream || !A.HeardFirstAnnouncement || !A.EarlierStarts.empty() ||
      A.Options.StartedAtMs == 0)
    return;
  // An upstream that started after this run would have been found missing; a
  // later start time shows that the clock was set.
  const milliseconds Distance(A.Options.StartedAtMs - A.Upstream->StartedAtMs);
  A.StartedTogether = A.StartedTogether ||
                      (Distance >= milliseconds(0) &&
                       Distance < MaxStartDistance && earlierRunsHaveEnded(A));
}

void deliver(Context &C, const Endpoint &Entry, const Packet &P,
             absl::Span<const std::uint8_t> Raw) {
  ++C.A.Counters.Delivered;
  const bool ExpectsAnswer = P.Opens || P.Finishes || P.DataBytes != 0;
  if (ExpectsAnswer && !C.A.UnansweredSince)
    C.A.UnansweredSince = C.Now;
  Bytes Copy(Raw.begin(), Raw.end());
  C.A.Options.Codec.SetTag(absl::MakeSpan(Copy), tagForEntry(C.A, Entry));
  C.Out.emplace_back(SendToUpstream{std::move(Copy)});
}

/// Ends the request in flight on \p F.
void endRequest(AgentFlows &A, AgentFlow &F) {
  F.RequestDeliveredAt.reset();
  if (std::exchange(F.InFlight, false))
    --A.InFlight;
}

/// Stops counting requests as in flight that have been unanswered for too long.
void expireRequests(AgentFlows &A, TimePoint Now) {
  if (A.InFlight == 0)
    return;
  for (auto &[Key, F] : A.Flows)
    if (F.InFlight && Now - *F.RequestDeliveredAt >= RequestExpiry) {
      F.InFlight = false;
      --A.InFlight;
    }
}

void endFlow(AgentFlows &A, AgentFlow &F) {
  F.Ended = true;
  endRequest(A, F);
}

void removeFlow(AgentFlows &A, const FlowKey &Flow) {
  const auto It = A.Flows.find(Flow);
  if (It == A.Flows.end())
    return;
  endRequest(A, It->second);
  A.Flows.erase(It);
}

/// Updates the newest sequence number. \returns whether \p P has data that
/// isn't a retransmission. Sequence numbers wrap around.
bool recordNewData(AgentFlow &F, const Packet &P) {
  if (P.DataBytes == 0)
    return false;
  const bool Copy =
      F.NewestSequence &&
      static_cast<std::int32_t>(P.Sequence - *F.NewestSequence) <= 0;
  if (!Copy)
    F.NewestSequence = P.Sequence;
  return !Copy;
}

void trackFlow(Context &C, const Packet &P, const Endpoint &Entry) {
  AgentFlow &F = addFlow(C.A, P.Flow);
  F.LastSeen = C.Now;
  F.Entry = Entry;
  if (P.Opens) {
    F.Ended = false;
    F.OpenedAt = C.Now;
    F.NewestSequence.reset();
  }
  const bool HasNewData = recordNewData(F, P);
  if (HasNewData)
    beginRequest(C.A.Service, P.Flow, C.Now, F.Upload);
  if (HasNewData && !F.RequestDeliveredAt) {
    F.RequestDeliveredAt = C.Now;
    F.InFlight = true;
    ++C.A.InFlight;
    // This is the request for which the opening counted as in flight.
    if (std::exchange(F.FirstRequestPending, false) &&
        !C.A.RecentOpenings.empty())
      C.A.RecentOpenings.pop_front();
  }
  if (P.Resets) {
    endFlow(C.A, F);
    abandonRequest(C.A.Service, P.Flow, false, C.Now);
  }
}

/// \returns whether an opening that arrives now is a copy of one that was
/// delivered to the upstream's current process.
bool isCopy(const Context &C, const FlowKey &Flow) {
  const auto Known = C.A.Flows.find(Flow);
  return Known != C.A.Flows.end() && !Known->second.Ended &&
         Known->second.OpenedAt > C.A.CurrentStartAt &&
         C.Now - Known->second.OpenedAt < OpeningCopyWindow;
}

void deliverOpening(Context &C, const Endpoint &Entry, const Packet &P,
                    absl::Span<const std::uint8_t> Raw, bool Upload) {
  ++C.A.Counters.OpeningsDelivered;
  if (!isCopy(C, P.Flow))
    recordOpening(C.A.Delivered, C.Now);
  C.A.RecentOpenings.push_back(C.Now);
  addFlow(C.A, P.Flow).Upload = Upload;
  trackFlow(C, P, Entry);
  C.A.Flows.at(P.Flow).FirstRequestPending = true;
  deliver(C, Entry, P, Raw);
}

/// \returns the number of recent openings whose first request is expected.
std::int64_t firstRequestsExpected(const AgentFlows &A, TimePoint Now) {
  return std::count_if(A.RecentOpenings.begin(), A.RecentOpenings.end(),
                       [Now](TimePoint OpenedAt) {
                         return Now - OpenedAt < FirstRequestWindow;
                       });
}

/// \returns the average response time, or InitialResponseTime before the first
/// response.
std::chrono::duration<double, std::milli>
averageResponseTime(const AgentFlows &A) {
  if (A.ResponseTime.count() <= 0)
    return InitialResponseTime;
  return A.ResponseTime;
}

/// \returns the response time that a request of \p Route can expect.
milliseconds expectedResponseTime(const AgentFlows &A, const Endpoint &Route,
                                  TimePoint Now) {
  return duration_cast<milliseconds>(
      responseTimeOfRoute(A.Service, averageResponseTime(A), Route, Now));
}

/// \returns whether a response to \p W can still meet its deadline.
bool canBeOnTime(const AgentFlows &A, const WaitingOpening &W, TimePoint Now) {
  return Now + expectedResponseTime(A, W.Flow.Service, Now) <
         W.ResponseDeadline;
}

/// Removes the opening at \p Index from Waiting and returns it.
WaitingOpening removeWaiting(AgentFlows &A, std::size_t Index) {
  WaitingOpening W = std::exchange(A.Waiting[Index], {});
  A.Waiting[Index] = std::move(A.Waiting.back());
  A.Waiting.pop_back();
  return W;
}

/// Queues an opening until the upstream has capacity. If the expected wait
/// exceeds what callers accept, the opening that nextToDecline() selects is
/// declined.
void enqueueOpening(Context &C, const Endpoint &Entry,
                    const TunnelHeader &Header, const Packet &P,
                    absl::Span<const std::uint8_t> Raw) {
  const auto IsCopy = [&P](const WaitingOpening &W) {
    return W.Flow == P.Flow;
  };
  if (std::any_of(C.A.Waiting.begin(), C.A.Waiting.end(), IsCopy))
    return;
  ++C.A.Counters.OpeningsWaited;
  const bool OverColdLimit = coldLimitReached(C.A, C.Now);
  C.A.Counters.OpeningsOverColdLimit += OverColdLimit ? 1 : 0;
  recordDecision(C, "opening_waits", P.Flow,
                 OverColdLimit
                     ? "the limit for cold upstreams is reached"
                     : "requests in flight use the upstream's full capacity");
  const TimePoint SentAt = C.Now - Header.Age;
  C.A.Waiting.push_back({P.Flow, Entry, Bytes(Raw.begin(), Raw.end()), SentAt,
                         SentAt + Header.Objective, Header.Priority,
                         Header.ServiceTag, Header.Upload});
  if (std::max(expectedWait(C.A), coldWaitOfLast(C.A, C.Now)) < MaxOpeningAge)
    return;
  const WaitingOpening W = removeWaiting(C.A, nextToDecline(C.A, C.Now));
  ++C.A.Counters.OpeningsDeclined;
  recordDecision(C, "opening_declined", W.Flow, "too many waiting openings");
  returnPacket(C, W.Entry, FlowPresence::NotReady, W.Raw);
}

/// Drops the openings whose callers have given up.
void expireWaiting(Context &C) {
  for (std::size_t I = 0; I < C.A.Waiting.size();) {
    if (C.Now - C.A.Waiting[I].SentAt < MaxOpeningAge) {
      ++I;
      continue;
    }
    const WaitingOpening W = removeWaiting(C.A, I);
    ++C.A.Counters.OpeningsExpired;
    recordDecision(C, "opening_expired", W.Flow, "the caller has given up");
  }
}

/// Counts and logs an opening that is returned because of where the upstream
/// stands.
void countExcluded(Context &C, const FlowKey &Flow, ExclusionReason Reason) {
  ++C.A.Counters.OpeningsDeclined;
  ++(Reason == ExclusionReason::Evacuated ? C.A.Counters.DeclinedEvacuated
                                          : C.A.Counters.DeclinedOtherRegion);
  recordDecision(C, "opening_declined", Flow, describe(Reason));
}

/// Returns the waiting openings that the upstream can't take, so that they go
/// to another one: all of them unless it is ready, and those that were placed
/// for the service of its predecessor.
void returnUnservable(Context &C) {
  const bool Serves = takesOpenings(C.A, C.Now);
  const std::uint32_t Tag = Serves ? serviceTag(C.A.Upstream->Service) : 0;
  const auto Returned = std::partition(C.A.Waiting.begin(), C.A.Waiting.end(),
                                       [Serves, Tag](const WaitingOpening &W) {
                                         return Serves && W.ServiceTag == Tag;
                                       });
  for (auto It = Returned; It != C.A.Waiting.end(); ++It) {
    if (C.A.Evacuated)
      countExcluded(C, It->Flow, ExclusionReason::Evacuated);
    returnPacket(C, It->Entry, FlowPresence::NotReady, It->Raw);
  }
  C.A.Waiting.erase(Returned, C.A.Waiting.end());
}

/// Delivers waiting openings while the upstream has capacity.
void admitWaiting(Context &C) {
  if (C.A.Waiting.empty())
    return;
  expireWaiting(C);
  returnUnservable(C);
  while (!C.A.Waiting.empty() && hasCapacity(C.A, C.Now)) {
    const WaitingOpening W = removeWaiting(C.A, nextToDeliver(C.A, C.Now));
    if (const auto P = C.A.Options.Codec.Decode(W.Raw, Direction::FromCaller))
      deliverOpening(C, W.Entry, *P, W.Raw, W.Upload);
  }
}

/// Drops the copy of an opening whose flow the upstream holds, where an opening
/// would be returned: a second upstream must not get it, and the upstream
/// itself repeats its answer. \returns whether it was dropped.
bool dropHeldCopy(Context &C, const FlowKey &Flow) {
  if (upstreamGone(C.A) || !isCopy(C, Flow) || !C.A.Flows.at(Flow).Confirmed)
    return false;
  recordDecision(C, "copy_dropped", Flow,
                 "the upstream holds the flow of this opening's copy");
  return true;
}

/// Returns an opening that the upstream must not get because of where it
/// stands.
void refuseExcluded(Context &C, const Endpoint &Entry, const Packet &P,
                    absl::Span<const std::uint8_t> Raw,
                    ExclusionReason Reason) {
  if (dropHeldCopy(C, P.Flow))
    return;
  countExcluded(C, P.Flow, Reason);
  returnPacket(C, Entry, FlowPresence::NotReady, Raw);
}

void onOpening(Context &C, const Endpoint &Entry, const TunnelHeader &Header,
               const Packet &P, absl::Span<const std::uint8_t> Raw) {
  C.A.Counters.UploadsOffered += Header.Upload ? 1 : 0;
  const auto Excluded =
      C.A.Evacuated
          ? std::optional(ExclusionReason::Evacuated)
          : regionExclusion(C.A.Options.Region, Header.AllowedRegions);
  if (Excluded)
    return refuseExcluded(C, Entry, P, Raw, *Excluded);
  if (!acceptsNewFlows(C.A, Header.ServiceTag, C.Now)) {
    if (dropHeldCopy(C, P.Flow))
      return;
    ++C.A.Counters.OpeningsDeclined;
    recordDecision(C, "opening_declined", P.Flow,
                   hasLease(C.A, C.Now)
                       ? "upstream is draining or belongs to another service"
                       : "no recent sign of life from the upstream");
    return returnPacket(C, Entry, FlowPresence::NotReady, Raw);
  }
  const bool Known = C.A.Flows.contains(P.Flow) &&
                     (isCopy(C, P.Flow) || !coldLimitReached(C.A, C.Now));
  if (Known || (C.A.Waiting.empty() && hasCapacity(C.A, C.Now)))
    return deliverOpening(C, Entry, P, Raw, Header.Upload);
  enqueueOpening(C, Entry, Header, P, Raw);
}

void onForward(Context &C, const Endpoint &Entry, const TunnelHeader &Header,
               absl::Span<const std::uint8_t> Raw) {
  const auto Decoded = C.A.Options.Codec.Decode(Raw, Direction::FromCaller);
  if (!Decoded) {
    ++C.A.Counters.Malformed;
    return;
  }
  const Packet &P = *Decoded;
  if (P.Opens)
    return onOpening(C, Entry, Header, P, Raw);
  const bool Unknown = !C.A.Flows.contains(P.Flow);
  if (upstreamGone(C.A) || (Unknown && knowsAllFlows(C.A))) {
    ++C.A.Counters.NotHeld;
    return returnPacket(C, Entry, FlowPresence::No, Raw);
  }
  trackFlow(C, P, Entry);
  deliver(C, Entry, P, Raw);
}

FlowPresence flowPresence(const Context &C, const FlowKey &Flow) {
  if (upstreamGone(C.A))
    return FlowPresence::No;
  const auto It = C.A.Flows.find(Flow);
  if (It == C.A.Flows.end())
    return knowsAllFlows(C.A) ? FlowPresence::No : FlowPresence::Unsure;
  return It->second.Confirmed ? FlowPresence::Yes : FlowPresence::Unsure;
}

void onLocate(Context &C, const Endpoint &Entry,
              const std::vector<FlowKey> &Flows) {
  std::vector<FlowLocation> Answers;
  Answers.reserve(Flows.size());
  for (const FlowKey &Flow : Flows)
    Answers.push_back({Flow, flowPresence(C, Flow)});
  sendToEntry(C, Entry, TunnelKind::Located, FlowPresence::No,
              encodeLocations(Answers));
}

/// \returns the presence of all flows that aren't in Flows.
FlowPresence unlistedPresence(const AgentFlows &A) {
  return knowsAllFlows(A) || upstreamGone(A) ? FlowPresence::No
                                             : FlowPresence::Unsure;
}

void onListRecentFlows(Context &C, const Endpoint &Entry,
                       const DigestRequest &Request) {
  const DigestAnswer Answer =
      answerDigest(C.A.Log, C.A.Options.RunId, Request, unlistedPresence(C.A));
  sendToEntry(C, Entry, TunnelKind::RecentFlows, FlowPresence::No,
              encodeDigestAnswer(Answer));
}

/// Sends a list of all flows that the upstream may hold.
void onListFlows(Context &C, const Endpoint &Entry, std::uint32_t RequestId) {
  FlowListPart Part;
  Part.RequestId = RequestId;
  Part.UnlistedPresence = unlistedPresence(C.A);
  std::vector<FlowLocation> All;
  All.reserve(C.A.Flows.size());
  for (const auto &[Flow, F] : C.A.Flows)
    if (const FlowPresence Presence = flowPresence(C, Flow);
        Presence != Part.UnlistedPresence)
      All.push_back({Flow, Presence});
  const std::size_t PerPart = MaxFlowsPerDatagram;
  Part.Parts = static_cast<std::uint16_t>(
      std::max<std::size_t>(1, (All.size() + PerPart - 1) / PerPart));
  for (; Part.Part < Part.Parts; ++Part.Part) {
    const auto From =
        All.begin() + static_cast<std::ptrdiff_t>(Part.Part * PerPart);
    const auto Remaining = static_cast<std::size_t>(All.end() - From);
    Part.Flows.assign(
        From, From + static_cast<std::ptrdiff_t>(std::min(PerPart, Remaining)));
    sendToEntry(C, Entry, TunnelKind::FlowList, FlowPresence::No,
                encodeFlowList(Part));
  }
}

void onReturned(Context &C, absl::Span<const std::uint8_t> Raw) {
  ++C.A.Counters.ReturnedByUpstream;
  const auto Decoded = C.A.Options.Codec.Decode(Raw, Direction::FromCaller);
  if (!Decoded) {
    ++C.A.Counters.Malformed;
    return;
  }
  // An upstream may return a copy of an opening packet whose flow it holds. The
  // flow stays here: a second upstream must not get it.
  const auto Known = C.A.Flows.find(Decoded->Flow);
  if (Decoded->Opens && Known != C.A.Flows.end() && Known->second.Confirmed) {
    recordDecision(C, "returned_dropped", Decoded->Flow,
                   "the upstream holds the flow of this opening's copy");
    return;
  }
  removeFlow(C.A, Decoded->Flow);
  abandonRequest(C.A.Service, Decoded->Flow, false, C.Now);
  const auto Entry = entryForTag(C.A, Decoded->Tag);
  if (!Entry) {
    recordDecision(C, "returned_dropped", Decoded->Flow,
                   "sent by an earlier run of the agent");
    return;
  }
  Bytes Copy(Raw.begin(), Raw.end());
  C.A.Options.Codec.ClearMarks(absl::MakeSpan(Copy));
  returnPacket(C, *Entry, FlowPresence::No, Copy);
}

void recordResponse(AgentFlows &A, AgentFlow &F, TimePoint Now) {
  if (!F.RequestDeliveredAt)
    return;
  const std::chrono::duration<double, std::micro> Elapsed =
      Now - *F.RequestDeliveredAt;
  A.ResponseTime += ResponseTimeGain * (Elapsed - A.ResponseTime);
  add(A.ResponseTimes, Elapsed);
  endRequest(A, F);
}

/// Updates the sequence number after the newest packet of the upstream. The
/// first and the last packet of a flow take one number each.
void recordUpstreamSequence(AgentFlow &F, const Packet &P) {
  const std::uint32_t Next = P.Sequence +
                             static_cast<std::uint32_t>(P.DataBytes) +
                             (P.Opens ? 1 : 0) + (P.Finishes ? 1 : 0);
  if (P.Opens || !F.UpstreamNextSequence ||
      static_cast<std::int32_t>(Next - *F.UpstreamNextSequence) > 0)
    F.UpstreamNextSequence = Next;
}

/// \returns whether the upstream's last packet has arrived before data that the
/// upstream sent ahead of it. Such an upstream has answered.
bool endsAfterMissingData(const AgentFlow &F, const Packet &P) {
  return P.Finishes && F.UpstreamNextSequence &&
         static_cast<std::int32_t>(P.Sequence - *F.UpstreamNextSequence) > 0;
}

/// Starts a listen check if the upstream hasn't announced itself in this run,
/// has let its lease expire, or leaves packets unanswered, and when the agent
/// stops, so that it can tell whether its upstream ended before it.
void checkListening(Context &C) {
  AgentFlows &A = C.A;
  const bool Unanswered =
      A.UnansweredSince && C.Now - *A.UnansweredSince >= ListenCheckDelay;
  if (!A.Options.ListensWhileRunning || A.NotListening || A.Withdrawn ||
      (hasLease(A, C.Now) && !Unanswered && !A.Stopping) ||
      C.Now < A.ListenCheckDue)
    return;
  A.ListenCheckDue = C.Now + ListenCheckInterval;
  A.ListenCheckPending = true;
  C.Out.emplace_back(StartListenCheck{});
}

/// Forgets the flows of the upstream's former process. Flows that were opened
/// recently may belong to the new process already; they stay, unconfirmed,
/// until the upstream answers on them or returns their packets.
void forgetEarlierFlows(AgentFlows &A, TimePoint AnnouncedAt) {
  absl::erase_if(A.Flows, [AnnouncedAt](auto &Item) {
    AgentFlow &F = Item.second;
    F.Confirmed = F.InFlight = F.FirstRequestPending = false;
    F.RequestDeliveredAt.reset();
    return AnnouncedAt - F.OpenedAt >= UnannouncedFlowWindow;
  });
}

void removeExpired(AgentFlows &A, TimePoint Now) {
  absl::erase_if(A.Flows, [&A, Now](auto &Item) {
    if (Now - Item.second.LastSeen < AgentFlowExpiry)
      return false;
    endRequest(A, Item.second);
    return true;
  });
  if (!isTooLong(A.Log, A.Flows.size()))
    return;
  ++A.Log.Generation;
  A.Log.Hashes.clear();
  for (const auto &[Flow, F] : A.Flows)
    A.Log.Hashes.push_back(digestHash(Flow));
}

/// \returns whether an announcement of \p Start, which isn't the current one,
/// can only come from a successor of the current start: it has a later start
/// time, or the current upstream is known to be gone.
bool isSuccessor(const AgentFlows &A, const UpstreamStart &Start) {
  const bool Earlier = std::find(A.EarlierStarts.begin(), A.EarlierStarts.end(),
                                 Start) != A.EarlierStarts.end();
  return !Earlier &&
         (upstreamGone(A) || Start.StartedAtMs >= A.Upstream->StartedAtMs);
}

/// Records an announcement that contradicts the current upstream. \returns
/// whether its process is known to run: it has announced itself again after
/// ContestSettleTime, and the current one hasn't.
bool winsContest(AgentFlows &A, const AnnouncedUpstream &Value, TimePoint Now) {
  const UpstreamStart Start{Value.Name, Value.StartedAtMs};
  if (!A.Contested || A.Contested->Start != Start) {
    A.Contested = ContestedAnnouncements{Start, Value.Number, Now};
    return false;
  }
  const bool GoesOn = Value.Number > A.Contested->Number;
  A.Contested->Number = std::max(A.Contested->Number, Value.Number);
  return GoesOn && Now - A.Contested->Since >= ContestSettleTime;
}

/// Forgets what belongs to the current start: its successor holds none of its
/// flows.
void forgetCurrentStart(AgentFlows &A, TimePoint Now) {
  A.EarlierStarts.push_back({A.Upstream->Name, A.Upstream->StartedAtMs});
  if (A.EarlierStarts.size() > MaxEarlierStarts)
    A.EarlierStarts.pop_front();
  // Input that is read after a pause of the agent may be from before it.
  forgetEarlierFlows(A, earliestSendTime(A.Input, Now));
  A.HeardFirstAnnouncement = false;
  A.InFlight = 0;
  A.RecentOpenings.clear();
  A.UnansweredSince.reset();
  restartUpstream(A.Service);
}

AnnouncementResult acceptAnnouncement(AgentFlows &A,
                                      const AnnouncedUpstream &Value,
                                      TimePoint Now) {
  const bool SameStart = A.Upstream && A.Upstream->Name == Value.Name &&
                         A.Upstream->StartedAtMs == Value.StartedAtMs;
  // An announcement that was read in the same moment as one of another start
  // doesn't show which of the two processes still runs.
  if (!SameStart || !isContested(A) ||
      Now - A.Contested->Since >= ContestSettleTime)
    A.Contested.reset();
  A.Upstream = Value;
  setUpstream(A.Service, Value.Slots, Value.ColdRemaining, Now);
  if (!SameStart)
    A.CurrentStartAt = Now;
  std::erase(A.EarlierStarts, UpstreamStart{Value.Name, Value.StartedAtMs});
  A.HeardFirstAnnouncement =
      A.HeardFirstAnnouncement || Value.Number <= FirstAnnouncementNumber;
  updateStartedTogether(A);
  A.Withdrawn = A.NotListening = A.ListenCheckPending = false;
  A.AnnouncedAt = Now;
  const TimePoint SentAt = earliestSendTime(A.Input, Now);
  A.UpstreamHeardAt = SameStart ? std::max(A.UpstreamHeardAt, SentAt) : SentAt;
  return AnnouncementResult::Accepted;
}

} // namespace

AnnouncementResult announce(AgentFlows &A, const AnnouncedUpstream &Value,
                            TimePoint Now) {
  ++A.Counters.Announcements;
  if (!knowsService(A, Value.Service)) {
    ++A.Counters.AnnouncementsOfUnknownServices;
    return AnnouncementResult::UnknownService;
  }
  if (!A.Upstream)
    return acceptAnnouncement(A, Value, Now);
  const UpstreamStart Start{Value.Name, Value.StartedAtMs};
  const UpstreamStart Current{A.Upstream->Name, A.Upstream->StartedAtMs};
  // A copy of the announcement in force changes nothing.
  if (Value == *A.Upstream && !upstreamGone(A))
    return AnnouncementResult::Accepted;
  const bool IsNewer = Start == Current ? Value.Number > A.Upstream->Number
                                        : isSuccessor(A, Start);
  if (!IsNewer && !winsContest(A, Value, Now)) {
    ++A.Counters.AnnouncementsOutdated;
    return AnnouncementResult::Outdated;
  }
  if (Start != Current || Value.Number < A.Upstream->Number)
    forgetCurrentStart(A, Now);
  return acceptAnnouncement(A, Value, Now);
}

AnnouncementResult withdraw(AgentFlows &A, const std::string &Name) {
  if (A.Contested && A.Contested->Start.Name == Name)
    A.Contested.reset();
  if (!A.Upstream || A.Upstream->Name != Name)
    return AnnouncementResult::Outdated;
  A.Upstream->State = UpstreamState::Unknown;
  A.Withdrawn = true;
  return AnnouncementResult::Accepted;
}

AgentFlow &addFlow(AgentFlows &A, const FlowKey &Flow) {
  const auto [It, New] = A.Flows.try_emplace(Flow);
  if (New)
    A.Log.Hashes.push_back(digestHash(Flow));
  return It->second;
}

void stopAcceptingNewFlows(AgentFlows &A) { A.Stopping = true; }

void setEvacuated(AgentFlows &A, bool Evacuated) { A.Evacuated = Evacuated; }

void setColdLimits(AgentFlows &A, std::vector<ColdLimit> Limits) {
  A.ColdLimits = std::move(Limits);
  A.ColdLimitsKnown = true;
}

void setRoutedServices(AgentFlows &A, std::vector<std::string> Services) {
  A.RoutedServices = std::move(Services);
}

void reportEarlierRuns(AgentFlows &A, std::optional<milliseconds> HeardAge,
                       TimePoint Now) {
  if (A.EarlierRuns)
    return;
  A.EarlierRuns.emplace();
  if (HeardAge)
    A.EarlierRuns->HeardAt = Now - *HeardAge;
  updateStartedTogether(A);
}

bool knowsAllFlows(const AgentFlows &A) {
  return A.Upstream && A.HeardFirstAnnouncement &&
         (A.FoundNoneListening || A.StartedTogether);
}

bool knowsService(const AgentFlows &A, const std::string &Service) {
  if (Service == A.Options.Service)
    return true;
  const auto &Routed = A.RoutedServices;
  if (Routed.empty())
    return A.Options.Service.empty();
  return std::find(Routed.begin(), Routed.end(), Service) != Routed.end();
}

bool acceptsNewFlows(const AgentFlows &A, std::uint32_t ServiceTag,
                     TimePoint Now) {
  return takesOpenings(A, Now) && serviceTag(A.Upstream->Service) == ServiceTag;
}

void onTunnel(AgentFlows &A, const Endpoint &From,
              absl::Span<const std::uint8_t> Datagram, TimePoint Now,
              AgentEffects &Out) {
  Context C{A, Now, Out};
  const auto Decoded = decodeTunnel(Datagram);
  if (!Decoded) {
    ++A.Counters.Malformed;
    return;
  }
  switch (Decoded->Header.Kind) {
  case TunnelKind::Forward:
    return onForward(C, From, Decoded->Header, Decoded->Payload);
  case TunnelKind::Locate:
    if (const auto Flows = decodeFlowKeys(Decoded->Payload))
      return onLocate(C, From, *Flows);
    break;
  case TunnelKind::ListFlows:
    if (const auto RequestId = decodeFlowListRequest(Decoded->Payload))
      return onListFlows(C, From, *RequestId);
    break;
  case TunnelKind::ListRecentFlows:
    if (const auto Request = decodeDigestRequest(Decoded->Payload))
      return onListRecentFlows(C, From, *Request);
    break;
  case TunnelKind::Probe: {
    LoadReport R = buildReport(A, Now);
    R.Number = ++A.ReportNumber;
    if (!asksForEstimates(Decoded->Payload))
      clearEstimates(R);
    return sendToEntry(C, From, TunnelKind::Load, FlowPresence::No,
                       encodeLoadReport(R));
  }
  default:
    break;
  }
  ++A.Counters.Malformed;
}

void onUpstreamPacket(AgentFlows &A, absl::Span<const std::uint8_t> Raw,
                      TimePoint Now, AgentEffects &Out) {
  Context C{A, Now, Out};
  const auto Decoded = A.Options.Codec.Decode(Raw, Direction::FromUpstream);
  if (!Decoded) {
    ++A.Counters.Malformed;
    return;
  }
  A.UnansweredSince.reset();
  A.NotListening = A.ListenCheckPending = false;
  if (Decoded->Returned)
    return onReturned(C, Raw);
  const Packet &P = *Decoded;
  ++A.Counters.ToCallers;
  C.Out.emplace_back(
      SendToCaller{P.Flow.Caller, Bytes(Raw.begin(), Raw.end())});
  AgentFlow &F = addFlow(A, P.Flow);
  F.LastSeen = Now;
  if (P.DataBytes != 0)
    recordResponse(A, F, Now);
  if (P.DataBytes != 0 || endsAfterMissingData(F, P))
    finishRequest(A.Service, P.Flow, Now);
  if (P.Finishes || P.Resets) {
    endFlow(A, F);
    abandonRequest(A.Service, P.Flow, true, Now);
  }
  recordUpstreamSequence(F, P);
  const bool Established = F.Confirmed;
  if (!Established && !P.Opens && F.Entry != Endpoint{})
    sendToEntry(C, F.Entry, TunnelKind::Located, FlowPresence::No,
                encodeLocations({{P.Flow, FlowPresence::Yes}}));
  F.Confirmed = true;
  // Only the upstream that holds the flow can answer on it, so this proves that
  // it is alive.
  if (Established && A.Upstream && P.DataBytes != 0)
    A.UpstreamHeardAt =
        std::max(A.UpstreamHeardAt, earliestSendTime(A.Input, Now));
  admitWaiting(C);
}

bool onListenCheckDone(AgentFlows &A, bool Refused) {
  // Evidence also if the upstream has shown a sign of life since.
  A.FoundNoneListening = A.FoundNoneListening || Refused;
  if (!std::exchange(A.ListenCheckPending, false))
    return false;
  A.FoundListening = !Refused;
  if (!Refused)
    return false;
  A.NotListening = true;
  return true;
}

void tick(AgentFlows &A, TimePoint Now, AgentEffects &Out) {
  Context C{A, Now, Out};
  checkListening(C);
  A.ReportedMissing = A.ReportedMissing || upstreamMissing(A, Now);
  while (!A.RecentOpenings.empty() &&
         Now - A.RecentOpenings.front() >= FirstRequestWindow)
    A.RecentOpenings.pop_front();
  expireRequests(A, Now);
  expireService(A.Service, Now);
  admitWaiting(C);
  if (Now >= A.CleanUpDue) {
    A.CleanUpDue = Now + std::chrono::seconds(1);
    removeExpired(A, Now);
  }
}

bool upstreamGone(const AgentFlows &A) { return A.NotListening || A.Withdrawn; }

bool upstreamMissing(const AgentFlows &A, TimePoint Now) {
  return A.NotListening && !A.Upstream &&
         Now - A.StartedAt >= MissingUpstreamDelay;
}

bool mustBeListed(const AgentFlows &A, TimePoint Now) {
  if (upstreamGone(A))
    return false;
  return A.Upstream || A.FoundListening || !A.Flows.empty() ||
         !A.Options.ListensWhileRunning ||
         Now - A.StartedAt >= FirstListenCheckTimeout;
}

bool hasCapacity(const AgentFlows &A, TimePoint Now) {
  const std::int64_t Expected = firstRequestsExpected(A, Now);
  const std::uint32_t Slots = A.Upstream ? A.Upstream->Slots : 1;
  return static_cast<double>(A.InFlight + Expected) <
             Slots * MaxInFlightPerSlot &&
         !coldLimitReached(A, Now);
}

std::size_t nextToDeliver(const AgentFlows &A, TimePoint Now) {
  const auto Rank = [&](const WaitingOpening &W) {
    const bool OnTime = canBeOnTime(A, W, Now);
    const Duration Age = Now - W.SentAt;
    return std::tuple(!OnTime, W.Priority, OnTime ? Age : -Age);
  };
  const auto Best = std::min_element(
      A.Waiting.begin(), A.Waiting.end(),
      [&](const auto &X, const auto &Y) { return Rank(X) < Rank(Y); });
  return static_cast<std::size_t>(Best - A.Waiting.begin());
}

std::size_t nextToDecline(const AgentFlows &A, TimePoint Now) {
  const auto Rank = [&](const WaitingOpening &W) {
    return std::tuple(!canBeOnTime(A, W, Now), W.Priority, W.SentAt);
  };
  const auto Last = std::max_element(
      A.Waiting.begin(), A.Waiting.end(),
      [&](const auto &X, const auto &Y) { return Rank(X) < Rank(Y); });
  return static_cast<std::size_t>(Last - A.Waiting.begin());
}

milliseconds expectedWait(const AgentFlows &A) {
  const std::uint32_t Slots = A.Upstream ? A.Upstream->Slots : 1;
  const double Rounds =
      static_cast<double>(A.Waiting.size()) / (Slots * MaxInFlightPerSlot);
  return duration_cast<milliseconds>(Rounds * averageResponseTime(A));
}

microseconds remainingWork(const AgentFlows &A, TimePoint Now) {
  microseconds Sum = remainingWork(A.Service, Now);
  for (const WaitingOpening &W : A.Waiting)
    Sum += meanWork(A.Service, W.Flow.Service, Now);
  return Sum + firstRequestsExpected(A, Now) * meanWork(A.Service, Now);
}

LoadReport buildReport(const AgentFlows &A, TimePoint Now) {
  LoadReport R;
  R.RunId = A.Options.RunId;
  R.Number = A.ReportNumber;
  R.HoldsNoFlows = upstreamGone(A);
  if (A.Upstream) {
    const AnnouncedUpstream &U = *A.Upstream;
    R.ServiceTag = serviceTag(U.Service);
    R.State = canServe(A, Now) ? U.State : UpstreamState::Unknown;
    if (A.Evacuated && R.State == UpstreamState::Ready)
      R.State = UpstreamState::Draining;
    R.Slots = U.Slots;
    const auto Since = duration_cast<milliseconds>(Now - A.AnnouncedAt);
    R.ColdRemaining = std::max(milliseconds{0}, U.ColdRemaining - Since);
  }
  for (const auto &[Key, F] : A.Flows) {
    if (F.Ended || Now - F.LastSeen >= ActiveFlowWindow)
      continue;
    ++R.ActiveFlows;
    R.Outstanding += F.InFlight ? 1 : 0;
  }
  const auto Waiting = static_cast<std::uint32_t>(A.Waiting.size());
  if (const auto Left = coldOpeningsLeft(A, Now))
    R.ColdOpeningsLeft = *Left - std::min(*Left, Waiting);
  R.ActiveFlows += Waiting;
  R.Outstanding += Waiting;
  if (A.UnansweredSince)
    R.Silent = duration_cast<milliseconds>(Now - *A.UnansweredSince);
  R.ResponseTime = duration_cast<microseconds>(A.ResponseTime);
  const ServiceEstimate Estimate = estimate(A.Service, Now);
  R.ServiceTime = Estimate.Typical;
  R.SampleAge = Estimate.SampleAge;
  R.Overdue = Estimate.Overdue;
  R.RouteTimes = Estimate.Routes;
  if (R.ServiceTime.count() > 0)
    R.RemainingWork = remainingWork(A, Now);
  return R;
}

} // namespace jasminearch::flow
