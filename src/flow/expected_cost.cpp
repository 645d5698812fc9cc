#include "jasminearch/flow/expected_cost.h"
#include <algorithm>
#include <cmath>
#include <numeric>
#include <xxhash.h>

namespace jasminearch::flow {

namespace {

using Micros = std::chrono::duration<double, std::micro>;

double median(std::vector<double> Values) {
  const auto Middle =
      Values.begin() + static_cast<std::ptrdiff_t>(Values.size() / 2);
  std::nth_element(Values.begin(), Middle, Values.end());
  return *Middle;
}

/// \returns the service time that \p R states for a route, or zero.
double timeOfRoute(const LoadReport &R, std::uint16_t Route) {
  for (const RouteServiceTime &T : R.RouteTimes)
    if (T.Route == Route)
      return Micros(T.Time).count();
  return 0;
}

/// \returns the routes that all candidates with an estimate report. The others
/// have no common reference.
std::vector<std::uint16_t>
commonRoutes(absl::Span<const Candidate> Candidates) {
  std::vector<std::uint16_t> Common;
  const auto First = std::find_if(
      Candidates.begin(), Candidates.end(),
      [](const Candidate &C) { return C.Report->ServiceTime.count() > 0; });
  if (First == Candidates.end())
    return Common;
  for (const RouteServiceTime &T : First->Report->RouteTimes)
    if (std::all_of(Candidates.begin(), Candidates.end(),
                    [&T](const Candidate &C) {
                      return C.Report->ServiceTime.count() == 0 ||
                             timeOfRoute(*C.Report, T.Route) > 0;
                    }))
      Common.push_back(T.Route);
  return Common;
}

/// \returns the geometric mean of the service times of \p Routes.
double meanOfRoutes(const LoadReport &R,
                    absl::Span<const std::uint16_t> Routes) {
  double LogSum = 0;
  for (const std::uint16_t Route : Routes)
    LogSum += std::log(timeOfRoute(R, Route));
  return std::exp(LogSum / static_cast<double>(Routes.size()));
}

/// \returns the reported service times; zero for candidates without an
/// estimate. If the candidates have routes in common, the times of these make
/// the differences between them, so that an upstream with more requests of a
/// route with much work doesn't count as slow.
std::vector<double>
reportedServiceTimes(absl::Span<const Candidate> Candidates) {
  const auto Routes = commonRoutes(Candidates);
  std::vector<double> Times;
  std::vector<double> Overall;
  std::vector<double> OfRoutes;
  for (const Candidate &C : Candidates) {
    const double Time = Micros(C.Report->ServiceTime).count();
    Times.push_back(Time);
    if (Time <= 0 || Routes.empty())
      continue;
    Times.back() = meanOfRoutes(*C.Report, Routes);
    Overall.push_back(Time);
    OfRoutes.push_back(Times.back());
  }
  if (Overall.empty())
    return Times;
  const double Scale = median(Overall) / median(OfRoutes);
  for (double &Time : Times)
    Time *= Scale;
  return Times;
}

/// \returns the estimates of all candidates but the one at \p Index.
std::vector<double> othersWithEstimate(absl::Span<const double> Times,
                                       std::size_t Index) {
  std::vector<double> Others;
  for (std::size_t I = 0; I < Times.size(); ++I)
    if (I != Index && Times[I] > 0)
      Others.push_back(Times[I]);
  return Others;
}

/// \returns how much of an estimate with samples of this age is replaced by
/// that of the others: 0 for a recent one, towards 1 for an old one.
double drift(std::chrono::milliseconds SampleAge) {
  if (SampleAge <= EstimateLifetime)
    return 0;
  return 1 - std::exp(-Micros(SampleAge - EstimateLifetime) /
                      Micros(EstimateDrift));
}

/// Fills in missing estimates and lets old ones drift.
std::vector<double>
completedServiceTimes(absl::Span<const Candidate> Candidates) {
  const std::vector<double> Reported = reportedServiceTimes(Candidates);
  std::vector<double> Times = Reported;
  for (std::size_t I = 0; I < Times.size(); ++I) {
    const auto Others = othersWithEstimate(Reported, I);
    if (Others.empty())
      continue;
    const double Usual = median(Others);
    const double Share =
        Reported[I] > 0 ? drift(Candidates[I].Report->SampleAge) : 1;
    Times[I] = Share >= 1
                   ? Usual
                   : std::pow(Reported[I], 1 - Share) * std::pow(Usual, Share);
  }
  return Times;
}

bool equallyFast(absl::Span<const double> Times) {
  return std::all_of(Times.begin(), Times.end(),
                     [&](double Time) { return Time == Times.front(); });
}

/// \returns the expected completion time of the next request of a new flow at
/// \p C, in microseconds.
double completionTime(const Candidate &C, double ServiceTime,
                      RequestKind Kind) {
  const LoadReport &R = *C.Report;
  const std::uint32_t Busy = std::min(R.Outstanding, R.ActiveFlows);
  const double Idle = R.ActiveFlows - Busy;
  const double Remaining = R.ServiceTime.count() > 0
                               ? Micros(R.RemainingWork).count()
                               : Busy * ServiceTime;
  const double Expected =
      IdleFlowLoad * Idle + flowLoad(Kind) * (C.PlacedSinceReport + 1.0);
  return (Remaining + ServiceTime * Expected) / capacity(C) +
         OwnServiceWeight * ServiceTime;
}

/// \returns the least Overdue of all candidates: a delay that all have in
/// common says nothing about one of them.
std::chrono::milliseconds
commonOverdue(absl::Span<const Candidate> Candidates) {
  std::chrono::milliseconds Least = std::chrono::milliseconds::max();
  for (const Candidate &C : Candidates)
    Least = std::min(Least, C.Report->Overdue);
  return Least;
}

} // namespace

std::vector<double>
comparableServiceTimes(absl::Span<const Candidate> Candidates) {
  std::vector<double> Times = completedServiceTimes(Candidates);
  std::vector<std::size_t> Order(Times.size());
  std::iota(Order.begin(), Order.end(), std::size_t{0});
  std::sort(Order.begin(), Order.end(),
            [&](std::size_t X, std::size_t Y) { return Times[X] < Times[Y]; });
  double Fastest = 0;
  for (const std::size_t I : Order) {
    if (Times[I] >= Fastest * NoiseMargin)
      Fastest = Times[I];
    Times[I] = Fastest;
  }
  return Times;
}

std::vector<ExpectedCost> expectedCosts(absl::Span<const Candidate> Candidates,
                                        RequestKind Kind) {
  const auto Times = comparableServiceTimes(Candidates);
  const bool Equal = equallyFast(Times);
  const auto Common = commonOverdue(Candidates);
  std::vector<ExpectedCost> Costs;
  for (std::size_t I = 0; I < Candidates.size(); ++I) {
    const Candidate &C = Candidates[I];
    const double Penalty = Micros(C.Report->Overdue - Common).count();
    const double Unit =
        Times[I] > 0 ? Times[I] : Micros(UnknownServiceTime).count();
    if (!Equal)
      Costs.push_back({Times[I], completionTime(C, Times[I], Kind) + Penalty});
    else
      Costs.push_back({Times[I], expectedLoad(C, Kind) + Penalty / Unit});
  }
  return Costs;
}

std::optional<std::size_t>
exploredCandidate(absl::Span<const Candidate> Candidates,
                  absl::Span<const ExpectedCost> Costs, std::uint64_t Hash) {
  constexpr std::uint64_t Seed = 1;
  const double Draw = std::ldexp(
      static_cast<double>(XXH3_64bits_withSeed(&Hash, sizeof(Hash), Seed)),
      -64);
  if (Draw >= ExplorationShare)
    return std::nullopt;
  std::vector<double> Speeds;
  double Sum = 0;
  bool Equal = true;
  for (std::size_t I = 0; I < Costs.size(); ++I) {
    Equal = Equal && Costs[I].ServiceTime == Costs[0].ServiceTime;
    if (Equal && I + 1 == Costs.size())
      return std::nullopt;
    Speeds.push_back(capacity(Candidates[I]) / Costs[I].ServiceTime);
    Sum += Speeds.back();
  }
  double Rest = Draw / ExplorationShare * Sum;
  for (std::size_t I = 0; I < Speeds.size(); ++I) {
    if (Rest < Speeds[I])
      return I;
    Rest -= Speeds[I];
  }
  return std::nullopt;
}

} // namespace jasminearch::flow
