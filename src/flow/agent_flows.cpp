#include "jasminearch/flow/agent_flows.h"
#include <algorithm>
#include <tuple>
#include <utility>

namespace jasminearch::flow {

namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

/// What every step needs.
struct Context {
  AgentFlows &A;
  TimePoint Now;
  AgentEffects &Out;
};

void note(Context &C, std::string_view Event, const FlowKey &Flow,
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
                 Holding Detail, absl::Span<const std::uint8_t> Payload) {
  C.Out.emplace_back(ToEntry{To, encodeTunnel({Kind, Detail, 0}, Payload)});
}

void sendBack(Context &C, const Endpoint &To, Holding Reason,
              absl::Span<const std::uint8_t> Raw) {
  sendToEntry(C, To, TunnelKind::Returned, Reason, Raw);
}

constexpr unsigned RunShift = 16;

/// Part of a tag that tells this run of the agent from earlier ones.
std::uint32_t runMark(const AgentFlows &A) {
  return static_cast<std::uint32_t>(A.Options.RunId & 0xFFFF) << RunShift;
}

/// \returns the tag under which packets of \p Entry go to the upstream, so that
/// a returned packet finds its way back.
std::uint32_t tagOf(AgentFlows &A, const Endpoint &Entry) {
  const auto [At, New] = A.EntryTags.try_emplace(
      Entry, static_cast<std::uint16_t>(A.Entries.size()));
  if (New) {
    if (A.Entries.size() >= MaxEntryTags) {
      A.Entries.clear();
      A.EntryTags.clear();
      return tagOf(A, Entry);
    }
    A.Entries.push_back(Entry);
  }
  return runMark(A) | At->second;
}

/// \returns the entry host behind a tag, unless another run of the agent wrote
/// it.
std::optional<Endpoint> entryOf(const AgentFlows &A, std::uint32_t Tag) {
  const std::size_t Index = Tag & 0xFFFF;
  if ((Tag & 0xFFFF0000U) != runMark(A) || Index >= A.Entries.size())
    return std::nullopt;
  return A.Entries[Index];
}

/// \returns whether the last sign of life of the upstream is recent.
bool leased(const AgentFlows &A, TimePoint Now) {
  return A.Upstream && !A.NotListening &&
         Now - A.UpstreamHeardAt < A.Options.Lease;
}

/// \returns whether this agent knows every flow that its upstream holds.
bool sawAllFlows(const AgentFlows &A) { return A.Upstream && A.SawStart; }

void deliver(Context &C, const Endpoint &Entry, const Packet &P,
             absl::Span<const std::uint8_t> Raw) {
  ++C.A.Counters.Delivered;
  const bool WantsAnswer = P.Opens || P.Finishes || P.DataBytes != 0;
  if (WantsAnswer && !C.A.UnansweredSince)
    C.A.UnansweredSince = C.Now;
  Bytes Copy(Raw.begin(), Raw.end());
  C.A.Options.Codec.SetTag(absl::MakeSpan(Copy), tagOf(C.A, Entry));
  C.Out.emplace_back(ToUpstream{std::move(Copy)});
}

/// The request in flight on \p F is over.
void endRequest(AgentFlows &A, AgentFlow &F) {
  F.RequestAt.reset();
  if (std::exchange(F.InFlight, false))
    --A.InFlight;
}

/// Stops counting requests that have been without an answer for too long.
void forgetRequests(AgentFlows &A, TimePoint Now) {
  if (A.InFlight == 0)
    return;
  for (auto &[Key, F] : A.Flows)
    if (F.InFlight && Now - *F.RequestAt >= RequestForgotten) {
      F.InFlight = false;
      --A.InFlight;
    }
}

void end(AgentFlows &A, AgentFlow &F) {
  F.Ended = true;
  endRequest(A, F);
}

void forget(AgentFlows &A, const FlowKey &Flow) {
  const auto At = A.Flows.find(Flow);
  if (At == A.Flows.end())
    return;
  endRequest(A, At->second);
  A.Flows.erase(At);
}

/// \returns whether \p P has data that \p F hasn't seen, and remembers it.
/// Sequences wrap around.
bool bringsNewData(AgentFlow &F, const Packet &P) {
  if (P.DataBytes == 0)
    return false;
  const bool Copy = F.NewestData &&
                    static_cast<std::int32_t>(P.Sequence - *F.NewestData) <= 0;
  if (!Copy)
    F.NewestData = P.Sequence;
  return !Copy;
}

void track(Context &C, const Packet &P, const Endpoint &Entry) {
  AgentFlow &F = C.A.Flows[P.Flow];
  F.LastSeen = C.Now;
  F.Entry = Entry;
  if (P.Opens) {
    F.Ended = false;
    F.NewestData.reset();
  }
  if (bringsNewData(F, P) && !F.RequestAt) {
    F.RequestAt = C.Now;
    F.InFlight = true;
    ++C.A.InFlight;
    // The request that the opening stood for is here.
    if (std::exchange(F.FirstRequestDue, false) && !C.A.RecentOpenings.empty())
      C.A.RecentOpenings.pop_front();
  }
  if (P.Resets)
    end(C.A, F);
}

void deliverOpening(Context &C, const Endpoint &Entry, const Packet &P,
                    absl::Span<const std::uint8_t> Raw) {
  ++C.A.Counters.OpeningsDelivered;
  C.A.RecentOpenings.push_back(C.Now);
  track(C, P, Entry);
  C.A.Flows[P.Flow].FirstRequestDue = true;
  deliver(C, Entry, P, Raw);
}

/// \returns the recent response time, or a guess before the first response.
std::chrono::duration<double, std::milli> responseTime(const AgentFlows &A) {
  if (A.ResponseTime.count() <= 0)
    return ResponseTimeGuess;
  return A.ResponseTime;
}

/// \returns whether a response to \p W can still be on time.
bool onTime(const AgentFlows &A, const WaitingOpening &W, TimePoint Now) {
  return Now + duration_cast<milliseconds>(responseTime(A)) < W.OnTimeUntil;
}

/// Takes an opening out of Waiting.
WaitingOpening takeWaiting(AgentFlows &A, std::size_t Index) {
  WaitingOpening W = std::exchange(A.Waiting[Index], {});
  A.Waiting[Index] = std::move(A.Waiting.back());
  A.Waiting.pop_back();
  return W;
}

/// Lets an opening wait until the upstream has room. When more wait than can be
/// served before their callers give up, the last one is declined.
void waitForRoom(Context &C, const Endpoint &Entry, const TunnelHeader &Header,
                 const Packet &P, absl::Span<const std::uint8_t> Raw) {
  const auto IsCopy = [&P](const WaitingOpening &W) {
    return W.Flow == P.Flow;
  };
  if (std::any_of(C.A.Waiting.begin(), C.A.Waiting.end(), IsCopy))
    return;
  ++C.A.Counters.OpeningsWaited;
  note(C, "opening_waits", P.Flow, "requests in flight fill the upstream");
  const TimePoint SentAt = C.Now - Header.Age;
  C.A.Waiting.push_back({P.Flow, Entry, Bytes(Raw.begin(), Raw.end()), SentAt,
                         SentAt + Header.Objective, Header.Priority});
  if (expectedWait(C.A) < OpeningPatience)
    return;
  const WaitingOpening W = takeWaiting(C.A, lastWaiting(C.A, C.Now));
  ++C.A.Counters.OpeningsDeclined;
  note(C, "opening_declined", W.Flow, "too many openings wait");
  sendBack(C, W.Entry, Holding::NotReady, W.Raw);
}

/// Drops the openings that their callers have given up.
void expireWaiting(Context &C) {
  for (std::size_t I = 0; I < C.A.Waiting.size();) {
    if (C.Now - C.A.Waiting[I].SentAt < OpeningPatience) {
      ++I;
      continue;
    }
    const WaitingOpening W = takeWaiting(C.A, I);
    ++C.A.Counters.OpeningsExpired;
    note(C, "opening_expired", W.Flow, "the caller has given it up");
  }
}

/// Sends all waiting openings back, so that they go to another upstream.
void returnWaiting(Context &C) {
  for (const WaitingOpening &W : std::exchange(C.A.Waiting, {}))
    sendBack(C, W.Entry, Holding::NotReady, W.Raw);
}

/// Delivers openings while there is room.
void admitWaiting(Context &C) {
  if (C.A.Waiting.empty())
    return;
  expireWaiting(C);
  const bool Serves = leased(C.A, C.Now) && !C.A.Stopping &&
                      C.A.Upstream->State == UpstreamState::Ready;
  if (!Serves)
    return returnWaiting(C);
  while (!C.A.Waiting.empty() && hasRoom(C.A, C.Now)) {
    const WaitingOpening W = takeWaiting(C.A, nextWaiting(C.A, C.Now));
    if (const auto P = C.A.Options.Codec.Decode(W.Raw, Direction::FromCaller))
      deliverOpening(C, W.Entry, *P, W.Raw);
  }
}

void onOpening(Context &C, const Endpoint &Entry, const TunnelHeader &Header,
               const Packet &P, absl::Span<const std::uint8_t> Raw) {
  if (!takesNewFlows(C.A, Header.ServiceTag, C.Now)) {
    ++C.A.Counters.OpeningsDeclined;
    note(C, "opening_declined", P.Flow,
         leased(C.A, C.Now) ? "draining or of another service"
                            : "upstream not heard");
    return sendBack(C, Entry, Holding::NotReady, Raw);
  }
  const bool Known = C.A.Flows.contains(P.Flow);
  if (Known || (C.A.Waiting.empty() && hasRoom(C.A, C.Now)))
    return deliverOpening(C, Entry, P, Raw);
  waitForRoom(C, Entry, Header, P, Raw);
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
  if (upstreamGone(C.A, C.Now) || (Unknown && sawAllFlows(C.A))) {
    ++C.A.Counters.NotHeld;
    return sendBack(C, Entry, Holding::No, Raw);
  }
  track(C, P, Entry);
  deliver(C, Entry, P, Raw);
}

Holding holding(const Context &C, const FlowKey &Flow) {
  if (upstreamGone(C.A, C.Now))
    return Holding::No;
  const auto At = C.A.Flows.find(Flow);
  if (At == C.A.Flows.end())
    return sawAllFlows(C.A) ? Holding::No : Holding::Unsure;
  return At->second.Confirmed ? Holding::Yes : Holding::Unsure;
}

void onLocate(Context &C, const Endpoint &Entry,
              const std::vector<FlowKey> &Flows) {
  std::vector<FlowLocation> Answers;
  Answers.reserve(Flows.size());
  for (const FlowKey &Flow : Flows)
    Answers.push_back({Flow, holding(C, Flow)});
  sendToEntry(C, Entry, TunnelKind::Located, Holding::No,
              encodeLocations(Answers));
}

/// Lists all flows that the upstream may hold.
void onListFlows(Context &C, const Endpoint &Entry, std::uint32_t Question) {
  FlowListPart Part;
  Part.Question = Question;
  Part.Others = sawAllFlows(C.A) || upstreamGone(C.A, C.Now) ? Holding::No
                                                             : Holding::Unsure;
  std::vector<FlowLocation> All;
  All.reserve(C.A.Flows.size());
  for (const auto &[Flow, F] : C.A.Flows)
    if (const Holding Where = holding(C, Flow); Where != Part.Others)
      All.push_back({Flow, Where});
  const std::size_t Most = MaxFlowsPerDatagram;
  Part.Parts = static_cast<std::uint16_t>(
      std::max<std::size_t>(1, (All.size() + Most - 1) / Most));
  for (; Part.Part < Part.Parts; ++Part.Part) {
    const auto From =
        All.begin() + static_cast<std::ptrdiff_t>(Part.Part * Most);
    const auto Left = static_cast<std::size_t>(All.end() - From);
    Part.Flows.assign(From,
                      From + static_cast<std::ptrdiff_t>(std::min(Most, Left)));
    sendToEntry(C, Entry, TunnelKind::FlowList, Holding::No,
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
  forget(C.A, Decoded->Flow);
  const auto Entry = entryOf(C.A, Decoded->Tag);
  if (!Entry) {
    note(C, "returned_dropped", Decoded->Flow, "sent by an earlier run");
    return;
  }
  Bytes Copy(Raw.begin(), Raw.end());
  C.A.Options.Codec.ClearMarks(absl::MakeSpan(Copy));
  sendBack(C, *Entry, Holding::No, Copy);
}

void observeResponse(AgentFlows &A, AgentFlow &F, TimePoint Now) {
  if (!F.RequestAt)
    return;
  const std::chrono::duration<double, std::micro> Took = Now - *F.RequestAt;
  A.ResponseTime += ResponseTimeGain * (Took - A.ResponseTime);
  add(A.ResponseTimes, Took);
  endRequest(A, F);
}

/// Checks an upstream that hasn't been heard in this run, or leaves packets
/// unanswered.
void checkListening(Context &C) {
  AgentFlows &A = C.A;
  const bool Unanswered =
      A.UnansweredSince && C.Now - *A.UnansweredSince >= UnansweredChecked;
  if (!A.Options.ListensWhileRunning || A.NotListening || A.Withdrawn ||
      (A.Upstream && !Unanswered) || C.Now < A.ListenCheckDue)
    return;
  A.ListenCheckDue = C.Now + ListenCheckInterval;
  A.ListenCheckOpen = true;
  C.Out.emplace_back(CheckListening{});
}

void cleanUp(AgentFlows &A, TimePoint Now) {
  absl::erase_if(A.Flows, [&A, Now](auto &Item) {
    if (Now - Item.second.LastSeen < AgentFlowForgotten)
      return false;
    endRequest(A, Item.second);
    return true;
  });
  absl::erase_if(A.Subscribers,
                 [Now](const auto &Item) { return Now >= Item.second; });
}

} // namespace

AnnouncementResult announce(AgentFlows &A, const AnnouncedUpstream &Value,
                            TimePoint Now) {
  ++A.Counters.Announcements;
  if (A.Upstream) {
    const AnnouncedUpstream &Held = *A.Upstream;
    const bool Older = Value.StartedAtMs < Held.StartedAtMs ||
                       (Value.StartedAtMs == Held.StartedAtMs &&
                        Value.Name == Held.Name && Value.Number < Held.Number);
    if (Older) {
      ++A.Counters.AnnouncementsOutdated;
      return AnnouncementResult::Outdated;
    }
    // A new start holds no flow of the one before.
    if (Value.StartedAtMs != Held.StartedAtMs || Value.Name != Held.Name) {
      A.Flows.clear();
      A.SawStart = false;
      A.InFlight = 0;
      A.RecentOpenings.clear();
      A.UnansweredSince.reset();
    }
  }
  A.Upstream = Value;
  A.SawStart = A.SawStart || Value.Number <= FirstAnnouncement;
  A.Withdrawn = A.NotListening = A.ListenCheckOpen = false;
  A.AnnouncedAt = A.UpstreamHeardAt = Now;
  A.ReportDue = TimePoint{};
  return AnnouncementResult::Taken;
}

AnnouncementResult withdraw(AgentFlows &A, const std::string &Name) {
  if (!A.Upstream || A.Upstream->Name != Name)
    return AnnouncementResult::Outdated;
  A.Upstream->State = UpstreamState::Unknown;
  A.Withdrawn = true;
  A.ReportDue = TimePoint{};
  return AnnouncementResult::Taken;
}

void stopAcceptingNewFlows(AgentFlows &A) {
  A.Stopping = true;
  A.ReportDue = TimePoint{};
}

bool takesNewFlows(const AgentFlows &A, std::uint32_t ServiceTag,
                   TimePoint Now) {
  return !A.Stopping && leased(A, Now) &&
         A.Upstream->State == UpstreamState::Ready &&
         serviceTag(A.Upstream->Service) == ServiceTag;
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
    if (const auto Question = decodeFlowListRequest(Decoded->Payload))
      return onListFlows(C, From, *Question);
    break;
  case TunnelKind::Subscribe: {
    const auto [At, New] = A.Subscribers.try_emplace(From);
    At->second = Now + SubscriptionTime;
    if (New)
      A.ReportDue = TimePoint{};
    return;
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
  A.NotListening = A.ListenCheckOpen = false;
  if (Decoded->Returned)
    return onReturned(C, Raw);
  const Packet &P = *Decoded;
  ++A.Counters.ToCallers;
  C.Out.emplace_back(ToCaller{P.Flow.Caller, Bytes(Raw.begin(), Raw.end())});
  const auto [At, New] = A.Flows.try_emplace(P.Flow);
  AgentFlow &F = At->second;
  F.LastSeen = Now;
  if (P.DataBytes != 0)
    observeResponse(A, F, Now);
  if (P.Finishes || P.Resets)
    end(A, F);
  const bool Established = F.Confirmed;
  if (!Established && !P.Opens && F.Entry != Endpoint{})
    sendToEntry(C, F.Entry, TunnelKind::Located, Holding::No,
                encodeLocations({{P.Flow, Holding::Yes}}));
  F.Confirmed = true;
  // Only the upstream that holds a flow answers on it: a sign of life.
  if (Established && A.Upstream && P.DataBytes != 0)
    A.UpstreamHeardAt = Now;
  admitWaiting(C);
}

bool onListenChecked(AgentFlows &A, bool Refused) {
  if (!std::exchange(A.ListenCheckOpen, false) || !Refused)
    return false;
  A.NotListening = true;
  A.ReportDue = TimePoint{};
  return true;
}

void tick(AgentFlows &A, TimePoint Now, AgentEffects &Out) {
  Context C{A, Now, Out};
  checkListening(C);
  while (!A.RecentOpenings.empty() &&
         Now - A.RecentOpenings.front() >= FirstRequestWait)
    A.RecentOpenings.pop_front();
  forgetRequests(A, Now);
  admitWaiting(C);
  if (Now >= A.CleanUpDue) {
    A.CleanUpDue = Now + std::chrono::seconds(1);
    cleanUp(A, Now);
  }
  if (Now < A.ReportDue || A.Subscribers.empty())
    return;
  A.ReportDue = Now + ReportInterval;
  LoadReport R = report(A, Now);
  R.Number = ++A.ReportNumber;
  const Bytes Payload = encodeLoadReport(R);
  for (const auto &[Entry, Until] : A.Subscribers)
    if (Now < Until)
      sendToEntry(C, Entry, TunnelKind::Load, Holding::No, Payload);
}

bool upstreamGone(const AgentFlows &A, TimePoint Now) {
  if (A.NotListening)
    return true;
  if (!A.Upstream)
    return Now - A.StartedAt >= UpstreamAbsent;
  if (A.Withdrawn)
    return true;
  return Now - A.UpstreamHeardAt >= UpstreamGone && A.UnansweredSince &&
         Now - *A.UnansweredSince >= UnansweredGone;
}

bool hasRoom(const AgentFlows &A, TimePoint Now) {
  const std::uint64_t Expected = std::count_if(
      A.RecentOpenings.begin(), A.RecentOpenings.end(),
      [Now](TimePoint At) { return Now - At < FirstRequestWait; });
  const std::uint32_t Slots = A.Upstream ? A.Upstream->Slots : 1;
  return static_cast<double>(A.InFlight + Expected) < Slots * InFlightPerSlot;
}

std::size_t nextWaiting(const AgentFlows &A, TimePoint Now) {
  const auto Rank = [&](const WaitingOpening &W) {
    const bool OnTime = onTime(A, W, Now);
    const Duration Age = Now - W.SentAt;
    return std::tuple(!OnTime, W.Priority, OnTime ? Age : -Age);
  };
  const auto Best = std::min_element(
      A.Waiting.begin(), A.Waiting.end(),
      [&](const auto &X, const auto &Y) { return Rank(X) < Rank(Y); });
  return static_cast<std::size_t>(Best - A.Waiting.begin());
}

std::size_t lastWaiting(const AgentFlows &A, TimePoint Now) {
  const auto Rank = [&](const WaitingOpening &W) {
    return std::tuple(!onTime(A, W, Now), W.Priority, W.SentAt);
  };
  const auto Last = std::max_element(
      A.Waiting.begin(), A.Waiting.end(),
      [&](const auto &X, const auto &Y) { return Rank(X) < Rank(Y); });
  return static_cast<std::size_t>(Last - A.Waiting.begin());
}

milliseconds expectedWait(const AgentFlows &A) {
  const std::uint32_t Slots = A.Upstream ? A.Upstream->Slots : 1;
  const double Rounds =
      static_cast<double>(A.Waiting.size()) / (Slots * InFlightPerSlot);
  return duration_cast<milliseconds>(Rounds * responseTime(A));
}

LoadReport report(const AgentFlows &A, TimePoint Now) {
  LoadReport R;
  R.RunId = A.Options.RunId;
  R.Number = A.ReportNumber;
  R.DataCentre = A.Options.DataCentre;
  R.HoldsNothing = upstreamGone(A, Now);
  if (A.Upstream) {
    const AnnouncedUpstream &U = *A.Upstream;
    R.Service = U.Service;
    R.UpstreamName = U.Name;
    const bool Serves = leased(A, Now) && !A.Stopping;
    R.State = Serves ? U.State : UpstreamState::Unknown;
    R.Slots = U.Slots;
    const auto Since = duration_cast<milliseconds>(Now - A.AnnouncedAt);
    R.ColdRemaining = std::max(milliseconds{0}, U.ColdRemaining - Since);
  }
  for (const auto &[Key, F] : A.Flows) {
    if (F.Ended || Now - F.LastSeen >= FlowActiveWindow)
      continue;
    ++R.ActiveFlows;
    R.Outstanding += F.InFlight ? 1 : 0;
  }
  const auto Waiting = static_cast<std::uint32_t>(A.Waiting.size());
  R.ActiveFlows += Waiting;
  R.Outstanding += Waiting;
  if (A.UnansweredSince)
    R.Silent = duration_cast<milliseconds>(Now - *A.UnansweredSince);
  R.ResponseTime = duration_cast<microseconds>(A.ResponseTime);
  return R;
}

} // namespace jasminearch::flow
