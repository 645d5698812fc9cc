#include "jasminearch/flow/link_budget.h"
#include <algorithm>
#include <cmath>
#include <tuple>

namespace jasminearch::flow {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

constexpr double BitsPerByte = 8;

/// Weight of a new sample in an average is one in this number.
constexpr int AverageWindow = 8;

/// Number of packets over which the share of copies is evaluated.
constexpr std::uint32_t CopyWindowPackets = 2 * SenderWindowPackets;

constexpr milliseconds CleanUpInterval{250};

/// Expected part of an upload that is left when another one starts to wait.
constexpr double WaitOffset = 0.5;

/// Part of an upload's time after which its share is free for the next one,
/// because less than a window is left to send.
constexpr double ShareTime = 0.6;

/// \returns whether a sequence number precedes another one; they wrap around.
bool isBefore(std::uint32_t L, std::uint32_t R) {
  return static_cast<std::int32_t>(L - R) < 0;
}

void addSample(microseconds &Average, microseconds Sample) {
  Average = Average.count() == 0 ? Sample
                                 : Average + (Sample - Average) / AverageWindow;
}

void decreaseLimit(UploadBudget &B, TimePoint Now) {
  UploadLimit &L = B.Limit;
  if (Now - L.DecreasedAt < DecreaseInterval || L.Value <= MinUploadLimit)
    return;
  L.DecreasedAt = Now;
  L.Value = std::max(MinUploadLimit, L.Value * LimitDecrease);
  ++B.Counters.LimitDecreases;
}

void increaseLimit(UploadBudget &B) {
  UploadLimit &L = B.Limit;
  const double Max = L.Initial * MaxLimitGrowth;
  if (!std::exchange(L.Wanted, false) || L.Value >= Max)
    return;
  L.Value = std::min(Max, L.Value + LimitIncrease);
  ++B.Counters.LimitIncreases;
}

/// \returns the part of LinkRate that both directions took since \p Start, when
/// they had carried \p BytesAtStart.
double linkUse(const UploadBudget &B, TimePoint Start,
               std::uint64_t BytesAtStart, TimePoint Now) {
  const std::chrono::duration<double> Elapsed = Now - Start;
  const auto Bytes = static_cast<double>(B.LinkBytes - BytesAtStart);
  return Bytes * BitsPerByte / (Elapsed.count() * B.LinkRate);
}

void decreaseRate(UploadBudget &B, double Use) {
  if (Use < MinUseForDecrease * B.RateFactor)
    return;
  const double Lower = std::max(Use, B.RateFactor * RateDecrease);
  B.RateFactor = std::max(MinRateFactor, std::min(B.RateFactor, Lower));
  ++B.Counters.RateDecreases;
}

/// Corrects the width of the link after an interval.
void correctRate(UploadBudget &B, TimePoint Now) {
  ProbeDelays &P = B.Probes;
  const microseconds Minimum = *std::exchange(P.Minimum, std::nullopt);
  P.Base = P.Base ? std::min(*P.Base + BaseDelayDrift, Minimum) : Minimum;
  P.Standing = Minimum - *P.Base;
  if (P.Standing > MaxStandingDelay)
    decreaseRate(B, linkUse(B, P.IntervalStart, P.BytesAtStart, Now));
  else if (P.Standing < MinStandingDelay)
    B.RateFactor = std::min(1.0, B.RateFactor + RateIncrease);
}

/// Measures the use of the link once in each interval.
void measureUse(UploadBudget &B, TimePoint Now) {
  RecentLinkUse &U = B.Use;
  if (Now - U.Since < UseForLimitInterval)
    return;
  U.Share = B.LinkRate > 0 ? linkUse(B, U.Since, U.BytesAtStart, Now) : 0;
  U.Since = Now;
  U.BytesAtStart = B.LinkBytes;
}

/// \returns whether delays and copies can come from this host's link.
bool isLinkUsed(const UploadBudget &B) {
  return B.Backlog.count() > 0 ||
         B.Use.Share >= MinUseForDecrease * B.RateFactor;
}

void onRoundTrip(UploadBudget &B, microseconds RoundTrip, TimePoint Now) {
  UploadLimit &L = B.Limit;
  L.LastRoundTrip = RoundTrip;
  addSample(L.RoundTrip, RoundTrip);
  if (RoundTrip > MaxRoundTrip && isLinkUsed(B))
    decreaseLimit(B, Now);
  else if (RoundTrip < TargetRoundTrip)
    increaseLimit(B);
}

/// Records whether a packet was seen before.
void countCopy(UploadBudget &B, bool Copy, TimePoint Now) {
  UploadLimit &L = B.Limit;
  ++B.Counters.DataPackets;
  ++L.Packets;
  if (Copy) {
    ++B.Counters.DataCopies;
    ++L.Copies;
  }
  if (L.Packets < CopyWindowPackets)
    return;
  const double Share = static_cast<double>(L.Copies) / L.Packets;
  L.Packets = 0;
  L.Copies = 0;
  if (Share > MaxCopyShare && isLinkUsed(B))
    decreaseLimit(B, Now);
}

void setSlow(UploadBudget &B, OpenUpload &U, bool Slow) {
  if (std::exchange(U.Slow, Slow) == Slow)
    return;
  if (Slow)
    ++B.SlowCount;
  else
    --B.SlowCount;
}

void setLoad(UploadBudget &B, OpenUpload &U, double Load) {
  if (U.Counts)
    B.Load += Load - U.Load;
  U.Load = Load;
}

/// Updates what the upload can still have in flight.
void updateLoad(UploadBudget &B, OpenUpload &U) {
  double Load = 1;
  if (U.ExpectedPackets != 0) {
    const double Left =
        U.ExpectedPackets - std::min(U.Packets, U.ExpectedPackets - 1);
    Load = std::min(1.0, Left / SenderWindowPackets);
  }
  setSlow(B, U, false);
  setLoad(B, U, Load);
}

void releaseShare(UploadBudget &B, OpenUpload &U) {
  setSlow(B, U, false);
  if (!std::exchange(U.Counts, false))
    return;
  // Without open uploads, rounding errors of the sum end.
  B.Load = --B.OpenCount == 0 ? 0 : B.Load - U.Load;
}

void addCounting(UploadBudget &B, OpenUpload &U) {
  if (std::exchange(U.Counts, true))
    return;
  ++B.OpenCount;
  B.Load += U.Load;
}

/// Measures the time from a packet to the one that the sender could only send
/// once the first was acknowledged, one window later.
void measureRound(UploadBudget &B, OpenUpload &U, TimePoint Now) {
  if (U.RoundPackets == 0)
    U.RoundStartedAt = Now;
  if (U.RoundPackets++ < SenderWindowPackets)
    return;
  onRoundTrip(B, duration_cast<microseconds>(Now - U.RoundStartedAt), Now);
  U.RoundStartedAt = Now;
  U.RoundPackets = 1;
}

/// Adds a packet's sequence to those that passed lately. \returns whether the
/// packet has passed before: it is one of them, or older than all of them, and
/// so behind the window of its sender.
bool isCopy(OpenUpload &U, std::uint32_t Sequence) {
  auto &Recent = U.RecentSequences;
  if (std::find(Recent.begin(), Recent.end(), Sequence) != Recent.end())
    return true;
  if (Recent.size() < SenderWindowPackets) {
    Recent.push_back(Sequence);
    return false;
  }
  const auto Oldest = std::min_element(Recent.begin(), Recent.end(), isBefore);
  if (isBefore(Sequence, *Oldest))
    return true;
  *Oldest = Sequence;
  return false;
}

/// Records a packet with data. \returns whether the body seems to end with it:
/// a sender fills its packets except the last one.
bool recordData(UploadBudget &B, OpenUpload &U, const Packet &P,
                TimePoint Now) {
  const bool Copy = isCopy(U, P.Sequence);
  countCopy(B, Copy, Now);
  if (Copy)
    return false;
  // A packet that fills a gap says nothing about the round trip or the end.
  if (U.NewestSequence && isBefore(P.Sequence, *U.NewestSequence)) {
    ++U.Packets;
    updateLoad(B, U);
    return false;
  }
  // The body goes on after a short packet.
  if (!U.Finished)
    addCounting(B, U);
  U.NewestSequence = P.Sequence;
  ++U.Packets;
  updateLoad(B, U);
  measureRound(B, U, Now);
  U.LargestData = std::max(U.LargestData, P.DataBytes);
  return P.DataBytes < U.LargestData;
}

void takeShare(UploadBudget &B, const FlowKey &Flow, TimePoint Now) {
  OpenUpload &U = B.Uploads[Flow];
  releaseShare(B, U);
  U = {};
  U.AdmittedAt = Now;
  U.LastSeen = Now;
  U.ExpectedPackets = static_cast<unsigned>(std::lround(B.BodyPackets));
  addCounting(B, U);
}

/// Ends an upload whose body has passed.
void finish(UploadBudget &B, OpenUpload &U, TimePoint Now) {
  if (!U.Counts)
    return;
  ++B.Counters.Finished;
  if (U.NewestSequence) {
    addSample(B.UploadTime, duration_cast<microseconds>(Now - U.AdmittedAt));
    B.BodyPackets =
        B.BodyPackets == 0
            ? U.Packets
            : B.BodyPackets + (U.Packets - B.BodyPackets) / AverageWindow;
  }
  releaseShare(B, U);
}

milliseconds uploadTime(const UploadBudget &B) {
  return duration_cast<milliseconds>(B.UploadTime);
}

/// \returns the latest time at which the upload can start and meet its
/// objective, or its timeout if it can't meet the objective on an idle link,
/// but no later than its caller waits.
TimePoint latestStart(const UploadBudget &B, const UploadOpening &O) {
  const milliseconds Needed = uploadTime(B);
  milliseconds Latest = OpeningGiveUpTime - OpeningGiveUpMargin;
  if (O.Objective > Needed)
    Latest = std::min(Latest, (O.Objective - Needed) / TriesPerRequest);
  else if (O.Timeout > Needed)
    Latest = std::min(Latest, O.Timeout - Needed);
  return O.ArrivedAt - O.Age + Latest;
}

/// \returns the expected time until an opening gets a share that must wait for
/// the openings with an earlier latest start.
milliseconds expectedWait(const UploadBudget &B, TimePoint LatestStart) {
  const auto Ahead =
      std::count_if(B.Waiting.begin(), B.Waiting.end(), [&](const auto &Item) {
        return Item.second.LatestStart <= LatestStart;
      });
  const double Turns =
      ShareTime * (static_cast<double>(Ahead) + WaitOffset) / B.Limit.Value;
  return duration_cast<milliseconds>(B.UploadTime * Turns);
}

void countRefused(UploadBudget &B, UploadRefusal Reason) {
  ++B.Counters.Refused[static_cast<std::size_t>(Reason)];
}

/// \returns the waiting opening whose latest start comes first; end() if none
/// waits. The flow decides between equal ones, so that the order doesn't depend
/// on the hash table.
auto firstWaiting(UploadBudget &B) {
  return std::min_element(B.Waiting.begin(), B.Waiting.end(),
                          [](const auto &L, const auto &R) {
                            return std::tie(L.second.LatestStart, L.first) <
                                   std::tie(R.second.LatestStart, R.first);
                          });
}

/// Lowers the loads of uploads whose data is late.
void discountSlowOpenings(UploadBudget &B, TimePoint Now) {
  for (auto &[Flow, U] : B.Uploads) {
    if (!U.Counts || U.Packets != 0 || Now - U.AdmittedAt < SlowOpeningTime)
      continue;
    setSlow(B, U, true);
    setLoad(B, U, SlowOpeningLoad);
  }
}

} // namespace

const char *describe(UploadRefusal Reason) {
  switch (Reason) {
  case UploadRefusal::NoShareInTime:
    return "the link has no share for this upload in time";
  case UploadRefusal::WaitedTooLong:
    return "no share of the link became free in time";
  case UploadRefusal::QueueFull:
    return "too many uploads wait for a share of the link";
  }
  return "unknown";
}

double initialUploadLimit(double LinkRate) {
  const std::chrono::duration<double> Target = TargetRoundTrip;
  const double WindowBits =
      SenderWindowPackets * FullPacketLinkBytes * BitsPerByte;
  return std::max(MinUploadLimit, LinkRate * Target.count() / WindowBits);
}

void setLinkRate(UploadBudget &B, double LinkRate) {
  B.LinkRate = LinkRate;
  B.RateFactor = 1;
  B.Limit.Initial = initialUploadLimit(LinkRate);
  B.Limit.Value = B.Limit.Initial;
}

bool hasShare(const UploadBudget &B) {
  if (B.Backlog > MaxBacklog)
    return false;
  const bool NoneSends = B.SlowCount == B.OpenCount;
  return B.Load + 1 <= B.Limit.Value ||
         (NoneSends && B.SlowCount <= MaxIdleSlowOpenings);
}

AdmissionResult previewOpening(const UploadBudget &B,
                               const UploadOpening &Opening, TimePoint Now) {
  if (B.Waiting.empty() && hasShare(B))
    return {};
  const TimePoint Latest = latestStart(B, Opening);
  const milliseconds Wait = expectedWait(B, Latest);
  if (Now + Wait > Latest)
    return {Admission::Refused, UploadRefusal::NoShareInTime, Wait};
  if (B.Waiting.size() >= MaxWaitingUploads)
    return {Admission::Refused, UploadRefusal::QueueFull, Wait};
  return {Admission::Waits, UploadRefusal::NoShareInTime, Wait};
}

AdmissionResult decideOpening(UploadBudget &B, const UploadOpening &Opening,
                              TimePoint Now) {
  const AdmissionResult Result = previewOpening(B, Opening, Now);
  if (Result.Outcome == Admission::Admitted) {
    ++B.Counters.Admitted;
    takeShare(B, Opening.Flow, Now);
    return Result;
  }
  B.Limit.Wanted = true;
  if (Result.Outcome == Admission::Refused)
    countRefused(B, Result.Reason);
  return Result;
}

void addWaiting(UploadBudget &B, const UploadOpening &Opening, Bytes Raw) {
  B.Waiting[Opening.Flow] = {std::move(Raw), Opening.ArrivedAt,
                             latestStart(B, Opening)};
}

std::optional<FlowKey> takeExpired(UploadBudget &B, TimePoint Now) {
  const auto First = firstWaiting(B);
  if (First == B.Waiting.end() || Now <= First->second.LatestStart)
    return std::nullopt;
  const FlowKey Expired = First->first;
  B.Waiting.erase(First);
  countRefused(B, UploadRefusal::WaitedTooLong);
  return Expired;
}

std::optional<std::pair<FlowKey, WaitingUpload>> takeWaiting(UploadBudget &B,
                                                             TimePoint Now) {
  if (B.Waiting.empty() || (B.Enabled && !hasShare(B)))
    return std::nullopt;
  const auto First = firstWaiting(B);
  std::pair<FlowKey, WaitingUpload> Taken(First->first,
                                          std::move(First->second));
  B.Waiting.erase(First);
  ++B.Counters.Admitted;
  ++B.Counters.AdmittedAfterWait;
  takeShare(B, Taken.first, Now);
  return Taken;
}

void onProbeAnswer(UploadBudget &B, microseconds Delay, TimePoint Now) {
  ProbeDelays &P = B.Probes;
  if (P.Minimum && Now - P.IntervalStart >= StandingInterval)
    correctRate(B, Now);
  if (!P.Minimum) {
    P.IntervalStart = Now;
    P.BytesAtStart = B.LinkBytes;
  }
  P.Minimum = P.Minimum ? std::min(*P.Minimum, Delay) : Delay;
}

void onUploadPacket(UploadBudget &B, const Packet &P, TimePoint Now) {
  auto It = B.Uploads.find(P.Flow);
  if (It == B.Uploads.end()) {
    if (P.DataBytes == 0 || P.Finishes || P.Resets ||
        B.Uploads.size() >= MaxTrackedUploads)
      return;
    takeShare(B, P.Flow, Now);
    It = B.Uploads.find(P.Flow);
  }
  OpenUpload &U = It->second;
  U.LastSeen = Now;
  const bool BodyEnds = P.DataBytes != 0 && recordData(B, U, P, Now);
  if (P.Resets)
    return onUploadReset(B, P.Flow);
  U.Finished = U.Finished || P.Finishes;
  if (U.Finished || BodyEnds)
    finish(B, U, Now);
}

void onUploadReset(UploadBudget &B, const FlowKey &Flow) {
  const auto It = B.Uploads.find(Flow);
  if (It == B.Uploads.end())
    return;
  if (It->second.Counts)
    ++B.Counters.Reset;
  releaseShare(B, It->second);
  It->second.Finished = true;
}

void tick(UploadBudget &B, std::uint64_t SendsRefused, TimePoint Now) {
  if (std::exchange(B.SendsRefused, SendsRefused) < SendsRefused)
    decreaseLimit(B, Now);
  measureUse(B, Now);
  discountSlowOpenings(B, Now);
  if (Now < B.CleanUpDue)
    return;
  B.CleanUpDue = Now + CleanUpInterval;
  absl::erase_if(B.Uploads, [&](auto &Item) {
    OpenUpload &U = Item.second;
    if (Now - U.LastSeen < UploadSilence)
      return false;
    if (U.Counts)
      ++B.Counters.Silent;
    releaseShare(B, U);
    return true;
  });
}

} // namespace jasminearch::flow
