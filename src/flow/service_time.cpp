#include "jasminearch/flow/service_time.h"
#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace jasminearch::flow {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

using Micros = std::chrono::duration<double, std::micro>;

/// Ratio of the mean absolute deviation to the standard deviation of a normal
/// distribution.
constexpr double DeviationPerSpread = 0.8;

/// Samples over which LogCentre and LogDeviation are averaged.
constexpr double LogAverageSamples = 128;

/// Samples of a route before its deviations count for the detector.
constexpr double MinDetectorSamples = 12;

std::size_t bucketOf(double Us) {
  const double Octaves = std::log2(Us / Micros(LowestWork).count());
  const double Index = std::ceil(Octaves * WorkBucketsPerOctave);
  return static_cast<std::size_t>(
      std::clamp(Index, 0.0, static_cast<double>(WorkBuckets - 1)));
}

double decayFactor(TimePoint From, TimePoint To, milliseconds TimeConstant) {
  if (To <= From)
    return 1;
  return std::exp(-Micros(To - From) / Micros(TimeConstant));
}

double totalWeight(const WorkHistogram &H) {
  return std::accumulate(H.Weights.begin(), H.Weights.end(), 0.0);
}

void multiply(WorkHistogram &H, double Factor) {
  for (std::size_t I = 0; I < WorkBuckets; ++I) {
    H.Weights[I] *= Factor;
    H.Sums[I] *= Factor;
  }
}

microseconds rounded(double Us) {
  return microseconds(static_cast<std::int64_t>(std::llround(Us)));
}

auto findRequest(ServiceTimes &S, const FlowKey &Flow) {
  return std::find_if(S.Requests.begin(), S.Requests.end(),
                      [&](const TrackedRequest &R) { return R.Flow == Flow; });
}

bool holdsSlot(const TrackedRequest &R, TimePoint Now) {
  return R.StartedAt && Now - *R.StartedAt < ServiceExpiry;
}

/// \returns whether the upstream may still serve a request whose slot counts as
/// free.
bool slotsInDoubt(const ServiceTimes &S, TimePoint Now) {
  return Now < S.DoubtUntil ||
         std::any_of(S.Requests.begin(), S.Requests.end(),
                     [Now](const TrackedRequest &R) {
                       return R.StartedAt && !R.Upload && !holdsSlot(R, Now);
                     });
}

/// Gives free slots to the requests that have waited longest. \p Certain tells
/// whether the slots are known to be free.
void fillSlots(ServiceTimes &S, bool Certain, TimePoint Now) {
  Certain = Certain && !slotsInDoubt(S, Now);
  auto Busy = static_cast<std::size_t>(std::count_if(
      S.Requests.begin(), S.Requests.end(),
      [Now](const TrackedRequest &R) { return holdsSlot(R, Now); }));
  for (TrackedRequest &R : S.Requests) {
    if (Busy >= S.Slots)
      return;
    if (R.StartedAt)
      continue;
    R.StartedAt = Now;
    R.Certain = Certain;
    ++Busy;
  }
}

/// Removes a request that turns out not to be complete yet. The upstream begins
/// only once it has the whole request, so the slot that the model gave to it
/// was free for the one that has waited longest. A slot that it no longer holds
/// has been given to another one already.
void withdrawStart(ServiceTimes &S, std::vector<TrackedRequest>::iterator It,
                   TimePoint Now) {
  const auto FreeSince = holdsSlot(*It, Now) ? It->StartedAt : std::nullopt;
  const bool Certain = It->Certain;
  S.Requests.erase(It);
  const auto Next =
      std::find_if(S.Requests.begin(), S.Requests.end(),
                   [](const TrackedRequest &R) { return !R.StartedAt; });
  if (!FreeSince || Next == S.Requests.end())
    return;
  Next->StartedAt = std::max(*FreeSince, Next->DeliveredAt);
  Next->Certain = Certain;
}

/// \returns the route's work; evicts another route if too many are tracked.
RouteWork &trackRoute(ServiceTimes &S, const Endpoint &Route) {
  if (!S.Routes.contains(Route) && S.Routes.size() >= MaxTrackedRoutes) {
    const auto Oldest = std::min_element(
        S.Routes.begin(), S.Routes.end(), [](const auto &X, const auto &Y) {
          return X.second.SampledAt < Y.second.SampledAt;
        });
    S.Routes.erase(Oldest);
  }
  return S.Routes[Route];
}

double logSpread(const RouteWork &R) {
  return std::max(MinLogSpread, R.LogDeviation / DeviationPerSpread);
}

/// Updates the route's averages. \returns the deviation of the logarithm of the
/// sample from the centre before.
double recordLog(RouteWork &R, double Log) {
  const double Deviation = R.Samples > 0 ? Log - R.LogCentre : 0;
  const double Limit = R.Samples < MinDetectorSamples
                           ? std::abs(Deviation)
                           : MaxDeviation * logSpread(R);
  const double Clamped = std::clamp(Deviation, -Limit, Limit);
  R.Samples = std::min(R.Samples + 1, LogAverageSamples);
  if (R.Samples <= 1)
    R.LogCentre = Log;
  R.LogCentre += Clamped / R.Samples;
  R.LogDeviation += (std::abs(Clamped) - R.LogDeviation) / R.Samples;
  return Deviation;
}

/// Adds a sample to one of the sums.
void accumulate(double &Sum, std::size_t &Run, double Step) {
  Sum = std::max(0.0, Sum + Step - DetectorSlack);
  Run = Sum > 0 ? Run + 1 : 0;
}

/// \returns the median deviation of the newest \p Run samples.
double medianDeviation(const SpeedDetector &D, std::size_t Run) {
  const std::size_t Kept = std::min({Run, D.Count, DetectorSamples});
  std::vector<double> Values;
  for (std::size_t I = 1; I <= Kept; ++I)
    Values.push_back(D.Recent[(D.Count - I) % DetectorSamples]);
  const auto Middle = Values.begin() + static_cast<std::ptrdiff_t>(Kept / 2);
  std::nth_element(Values.begin(), Middle, Values.end());
  return *Middle;
}

/// Adds a deviation. \returns the logarithm of the ratio by which service times
/// have changed, if the sums show a change.
std::optional<double> detectChange(SpeedDetector &D, double Deviation,
                                   double Spread) {
  D.Recent[D.Count++ % DetectorSamples] = Deviation;
  const double Step =
      std::clamp(Deviation / Spread, -MaxDeviation, MaxDeviation);
  accumulate(D.Slower, D.SlowerRun, Step);
  accumulate(D.Faster, D.FasterRun, -Step);
  if (std::max(D.Slower, D.Faster) < DetectorLimit)
    return std::nullopt;
  const double Ratio =
      medianDeviation(D, D.Slower >= DetectorLimit ? D.SlowerRun : D.FasterRun);
  D = {};
  return Ratio;
}

/// Applies a change of the upstream's speed to the work of all routes.
void changeSpeed(ServiceTimes &S, double LogRatio) {
  ++S.SpeedChanges;
  const double Ratio = std::exp(LogRatio);
  rescale(S.All, Ratio, WeightAfterChange);
  for (auto &[Route, R] : S.Routes) {
    rescale(R.Times, Ratio, WeightAfterChange);
    R.LogCentre += LogRatio;
    R.Samples = std::min(R.Samples, MinDetectorSamples);
  }
}

void learn(ServiceTimes &S, const Endpoint &Route, microseconds Time,
           TimePoint Now) {
  RouteWork &R = trackRoute(S, Route);
  R.SampledAt = Now;
  S.SampledAt = Now;
  ++S.Samples;
  const bool Usual = R.Samples >= MinDetectorSamples;
  const double Spread = logSpread(R);
  const double Log = std::log(std::max(1.0, Micros(Time).count()));
  const double Deviation = recordLog(R, Log);
  if (const auto Ratio =
          Usual ? detectChange(S.Detector, Deviation, Spread) : std::nullopt)
    changeSpeed(S, *Ratio);
  add(R.Times, Time, Now);
  add(S.All, Time, Now);
}

bool hasEstimate(const ServiceTimes &S, TimePoint Now) {
  return S.Samples >= MinEstimateSamples &&
         weight(S.All, Now) >= MinEstimateWeight;
}

/// \returns when the upstream last answered, or when its oldest request in
/// service began, if that is later; nothing if it serves none.
std::optional<TimePoint> unansweredSince(const ServiceTimes &S) {
  std::optional<TimePoint> Oldest;
  for (const TrackedRequest &R : S.Requests)
    if (R.StartedAt && !R.Upload && (!Oldest || *R.StartedAt < *Oldest))
      Oldest = R.StartedAt;
  if (Oldest)
    Oldest = std::max(*Oldest, S.AnsweredAt);
  return Oldest;
}

milliseconds overdueNow(const ServiceTimes &S, TimePoint Now) {
  const auto Since = unansweredSince(S);
  if (!Since || !hasEstimate(S, Now))
    return milliseconds{0};
  const Micros Usual(std::max(OverdueTails * quantile(S.All, TailQuantile),
                              OverdueTypicals * trimmedMean(S.All)));
  const Micros Limit =
      std::clamp<Micros>(Usual, MinOverdueAfter, MaxOverdueAfter);
  const auto Over = duration_cast<milliseconds>(Micros(Now - *Since) - Limit);
  return std::clamp(Over, milliseconds{0}, MaxSuspicion);
}

Micros suspicion(const ServiceTimes &S, TimePoint Now) {
  return std::max<Micros>(S.Suspicion *
                              decayFactor(S.SuspicionAt, Now, SuspicionDecay),
                          overdueNow(S, Now));
}

/// \returns the typical service times of the MaxReportedRoutes routes with the
/// most samples.
std::vector<RouteServiceTime> routeTimes(const ServiceTimes &S, TimePoint Now) {
  std::vector<std::pair<double, RouteServiceTime>> Weighted;
  for (const auto &[Route, R] : S.Routes)
    if (const double Weight = weight(R.Times, Now); Weight >= MinRouteWeight)
      Weighted.push_back(
          {Weight, {routeTag(Route), rounded(trimmedMean(R.Times))}});
  std::sort(Weighted.rbegin(), Weighted.rend());
  std::vector<RouteServiceTime> Times;
  for (const auto &[Weight, Time] : Weighted)
    if (Times.size() < MaxReportedRoutes)
      Times.push_back(Time);
  return Times;
}

void setSuspicion(ServiceTimes &S, Micros Value, TimePoint Now) {
  S.Suspicion = std::min<Micros>(Value, MaxSuspicion);
  S.SuspicionAt = Now;
}

} // namespace

void add(WorkHistogram &H, microseconds Value, TimePoint Now) {
  multiply(H, decayFactor(H.DecayedAt, Now, WorkDecay));
  H.DecayedAt = std::max(H.DecayedAt, Now);
  const double Us = std::max(1.0, Micros(Value).count());
  const std::size_t Bucket = bucketOf(Us);
  H.Weights[Bucket] += 1;
  H.Sums[Bucket] += Us;
}

void rescale(WorkHistogram &H, double Ratio, double MaxWeight) {
  const double Total = totalWeight(H);
  if (Total <= 0)
    return;
  const double Kept = std::min(1.0, MaxWeight / Total);
  WorkHistogram Scaled;
  Scaled.DecayedAt = H.DecayedAt;
  for (std::size_t I = 0; I < WorkBuckets; ++I) {
    if (H.Weights[I] <= 0)
      continue;
    const std::size_t To = bucketOf(H.Sums[I] / H.Weights[I] * Ratio);
    Scaled.Weights[To] += H.Weights[I] * Kept;
    Scaled.Sums[To] += H.Sums[I] * Ratio * Kept;
  }
  H = Scaled;
}

double weight(const WorkHistogram &H, TimePoint Now) {
  return totalWeight(H) * decayFactor(H.DecayedAt, Now, WorkDecay);
}

double mean(const WorkHistogram &H) {
  const double Total = totalWeight(H);
  return Total > 0 ? std::accumulate(H.Sums.begin(), H.Sums.end(), 0.0) / Total
                   : 0;
}

double trimmedMean(const WorkHistogram &H) {
  const double Kept = totalWeight(H) * (1 - TrimmedShare);
  double Weight = 0;
  double Sum = 0;
  for (std::size_t I = 0; I < WorkBuckets && Weight < Kept; ++I) {
    if (H.Weights[I] <= 0)
      continue;
    const double Part = std::min(1.0, (Kept - Weight) / H.Weights[I]);
    Weight += H.Weights[I] * Part;
    Sum += H.Sums[I] * Part;
  }
  return Weight > 0 ? Sum / Weight : 0;
}

double quantile(const WorkHistogram &H, double Share) {
  const double Wanted = totalWeight(H) * Share;
  double Weight = 0;
  double Value = 0;
  for (std::size_t I = 0; I < WorkBuckets && Weight < Wanted; ++I) {
    if (H.Weights[I] <= 0)
      continue;
    Weight += H.Weights[I];
    Value = H.Sums[I] / H.Weights[I];
  }
  return Value;
}

double meanResidual(const WorkHistogram &H, double AgeUs) {
  double Weight = 0;
  double Sum = 0;
  for (std::size_t I = 0; I < WorkBuckets; ++I) {
    if (H.Weights[I] <= 0 || H.Sums[I] <= AgeUs * H.Weights[I])
      continue;
    Weight += H.Weights[I];
    Sum += H.Sums[I];
  }
  return Weight > 0 ? Sum / Weight - AgeUs : AgeUs;
}

void setUpstream(ServiceTimes &S, std::uint32_t Slots,
                 milliseconds ColdRemaining, TimePoint Now) {
  S.Slots = std::max<std::uint32_t>(Slots, 1);
  S.ColdUntil = ColdRemaining.count() > 0 ? Now + ColdRemaining
                                          : std::min(S.ColdUntil, Now);
}

void restartUpstream(ServiceTimes &S) {
  S.Requests.clear();
  S.Detector = {};
  S.Suspicion = {};
}

void beginRequest(ServiceTimes &S, const FlowKey &Flow, TimePoint Now,
                  bool Upload) {
  if (const auto It = findRequest(S, Flow); It != S.Requests.end())
    withdrawStart(S, It, Now);
  else if (S.Requests.size() >= MaxTrackedRequests)
    return;
  S.Requests.push_back({Flow, Now, std::nullopt, true, Upload});
  fillSlots(S, true, Now);
}

void finishRequest(ServiceTimes &S, const FlowKey &Flow, TimePoint Now) {
  const auto It = findRequest(S, Flow);
  if (It == S.Requests.end())
    return;
  setSuspicion(S, suspicion(S, Now) * SuspicionPerAnswer, Now);
  S.AnsweredAt = Now;
  const TrackedRequest Done = *It;
  S.Requests.erase(It);
  // A request that should still wait was served out of order or shed; the slots
  // of the model are no longer those of the upstream.
  const bool Sample =
      Done.StartedAt && Done.Certain && *Done.StartedAt >= S.ColdUntil;
  if (Sample)
    learn(S, Done.Flow.Service,
          duration_cast<microseconds>(
              Now - std::max(*Done.StartedAt, Done.DeliveredAt)),
          Now);
  fillSlots(S, Done.StartedAt.has_value(), Now);
}

void abandonRequest(ServiceTimes &S, const FlowKey &Flow, bool Failed,
                    TimePoint Now) {
  const auto It = findRequest(S, Flow);
  if (It == S.Requests.end())
    return;
  // A caller that gives up on an overdue upstream leaves the suspicion behind.
  const milliseconds Added = Failed ? SuspicionPerFailure : milliseconds{0};
  setSuspicion(S, suspicion(S, Now) + Added, Now);
  S.Failures += Failed ? 1 : 0;
  if (!Failed && It->StartedAt) {
    const double Left =
        meanResidual(S.All, Micros(Now - *It->StartedAt).count());
    S.DoubtUntil =
        std::max(S.DoubtUntil,
                 Now + std::min<microseconds>(rounded(Left), ServiceExpiry));
  }
  S.Requests.erase(It);
  fillSlots(S, false, Now);
}

void expireService(ServiceTimes &S, TimePoint Now) {
  setSuspicion(S, suspicion(S, Now), Now);
  std::erase_if(S.Requests, [Now](const TrackedRequest &R) {
    return Now - R.DeliveredAt >= ForgetRequest;
  });
  fillSlots(S, false, Now);
}

microseconds meanWork(const ServiceTimes &S, TimePoint Now) {
  return hasEstimate(S, Now) ? rounded(mean(S.All)) : microseconds{0};
}

microseconds meanWork(const ServiceTimes &S, const Endpoint &Route,
                      TimePoint Now) {
  const auto It = S.Routes.find(Route);
  if (It != S.Routes.end() &&
      weight(It->second.Times, Now) >= MinEstimateWeight)
    return rounded(mean(It->second.Times));
  return meanWork(S, Now);
}

std::chrono::duration<double, std::milli>
responseTimeOfRoute(const ServiceTimes &S,
                    std::chrono::duration<double, std::milli> Average,
                    const Endpoint &Route, TimePoint Now) {
  using Millis = std::chrono::duration<double, std::milli>;
  const Millis All = meanWork(S, Now);
  const Millis Own = meanWork(S, Route, Now);
  const Millis Expected = std::max(Average - All, Millis{0}) + Own;
  const bool Differs = Expected > Average * RouteWorkMargin ||
                       Expected * RouteWorkMargin < Average;
  return All.count() > 0 && Differs ? Expected : Average;
}

microseconds remainingWork(const ServiceTimes &S, TimePoint Now) {
  double Sum = 0;
  for (const TrackedRequest &R : S.Requests) {
    const auto It = S.Routes.find(R.Flow.Service);
    const bool Known = It != S.Routes.end() &&
                       weight(It->second.Times, Now) >= MinEstimateWeight;
    const WorkHistogram &H = Known ? It->second.Times : S.All;
    if (!R.StartedAt)
      Sum += mean(H);
    else if (holdsSlot(R, Now))
      Sum += meanResidual(H, Micros(Now - *R.StartedAt).count());
  }
  return rounded(Sum);
}

ServiceEstimate estimate(const ServiceTimes &S, TimePoint Now) {
  ServiceEstimate E;
  if (S.SampledAt && hasEstimate(S, Now)) {
    E.Typical = rounded(trimmedMean(S.All));
    E.Routes = routeTimes(S, Now);
    const auto Age = duration_cast<milliseconds>(Now - *S.SampledAt);
    E.SampleAge = Age >= MinSampleAge ? Age : milliseconds{0};
  }
  E.Overdue = duration_cast<milliseconds>(suspicion(S, Now));
  return E;
}

} // namespace jasminearch::flow
