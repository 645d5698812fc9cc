#ifndef JASMINEARCH_FLOW_SERVICE_TIME_H
#define JASMINEARCH_FLOW_SERVICE_TIME_H

#include "jasminearch/flow/load_report.h"
#include "jasminearch/flow/packet.h"
#include "jasminearch/types.h"
#include <absl/container/flat_hash_map.h>
#include <array>
#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

/// What an agent learns about the speed of its upstream from the requests that
/// it sees begin and the answers to them: the service time of a request once it
/// has a slot, apart from its wait for one. Decisions over plain structs; times
/// are passed in.
namespace jasminearch::flow {

/// Upper limit of the lowest bucket of a WorkHistogram, and the number of
/// buckets. With four buckets per octave, a bucket's values differ by at most
/// 19%; 64 buckets reach to 8.4 s.
inline constexpr std::chrono::microseconds LowestWork{128};
inline constexpr std::size_t WorkBucketsPerOctave = 4;
inline constexpr std::size_t WorkBuckets = 64;

/// Time constant by which samples lose weight. At 30 samples per second, about
/// 240 samples have weight at a time, which keeps an estimate of evenly
/// distributed work within a few percent. Changes of speed don't have to wait
/// for this: see SpeedDetector.
inline constexpr std::chrono::milliseconds WorkDecay{8000};

/// Share of the largest samples that the typical service time ignores: well
/// above the 3 in 100 requests that need several times the mean.
inline constexpr double TrimmedShare = 0.10;

/// Weight of the samples, and their number since the agent's start, from which
/// on an estimate is reported.
inline constexpr double MinEstimateWeight = 8;
inline constexpr std::uint64_t MinEstimateSamples = 24;

/// Time without samples from which on it is reported.
inline constexpr std::chrono::milliseconds MinSampleAge{1000};

/// Weight of a route's samples from which on its service time is reported. At
/// lower weights the mean over all routes is more reliable.
inline constexpr double MinRouteWeight = 30;

/// Response times that differ by less than this factor from the average count
/// as the average, as NoiseMargin for the speeds of upstreams.
inline constexpr double RouteWorkMargin = 1.25;

/// Maximum number of routes whose work is tracked. The one without samples for
/// the longest time is evicted.
inline constexpr std::size_t MaxTrackedRoutes = 16;

/// Maximum number of unanswered requests that are tracked; more than any
/// upstream's slots and queue hold. Further requests give no samples.
inline constexpr std::size_t MaxTrackedRequests = 512;

/// A request in service no longer takes a slot of the model after this time,
/// as RequestExpiry for requests in flight. An answer that comes later is still
/// a sample.
inline constexpr std::chrono::milliseconds ServiceExpiry{1000};

/// An unanswered request is forgotten after this time.
inline constexpr std::chrono::milliseconds ForgetRequest{10'000};

/// Limits of the change detector, in spreads of the logarithm of the service
/// time: a sample counts up to MaxDeviation, and DetectorSlack is subtracted
/// from each. With DetectorLimit, a change by five is detected after four
/// samples at the earliest. False changes are rare (one in ten minutes for
/// exponential work) and cost accuracy for a second.
inline constexpr double MaxDeviation = 3;
inline constexpr double DetectorSlack = 0.5;
inline constexpr double DetectorLimit = 10;

/// Lower limit of the spread of the logarithm of the service time. Upstreams
/// with constant work have no spread; without a limit, the jitter of a busy
/// machine would count as a change.
inline constexpr double MinLogSpread = 0.15;

/// Number of recent samples from which the ratio of a change is estimated.
inline constexpr std::size_t DetectorSamples = 16;

/// Weight of the samples before a detected change, rescaled by its ratio. They
/// keep the shape of the distribution, in particular its tail, until new
/// samples outweigh them.
inline constexpr double WeightAfterChange = 8;

/// An upstream that answers nothing for this many times its usual tail, while
/// it has requests in service, is overdue; nor before this many times its
/// typical service time, as the tail may be missing among few samples.
inline constexpr double OverdueTails = 2.5;
inline constexpr double OverdueTypicals = 12;

/// Bounds of the time without an answer after which an upstream is overdue. The
/// lower one exceeds the pauses of a busy host; the upper one keeps detection
/// within a second.
inline constexpr std::chrono::milliseconds MinOverdueAfter{200};
inline constexpr std::chrono::milliseconds MaxOverdueAfter{800};

/// Quantile of the service time that counts as the usual tail.
inline constexpr double TailQuantile = 0.99;

/// Suspicion that an answer leaves, and the time constant by which the rest
/// decays, so that an upstream that gets no openings is tried again.
inline constexpr double SuspicionPerAnswer = 0.8;
inline constexpr std::chrono::milliseconds SuspicionDecay{2000};

/// Suspicion that each request adds whose flow the upstream resets, and the
/// maximum.
inline constexpr std::chrono::milliseconds SuspicionPerFailure{100};
inline constexpr std::chrono::milliseconds MaxSuspicion{3000};

/// Distribution of service times with decaying weights.
struct WorkHistogram {
  std::array<double, WorkBuckets> Weights{};
  /// Weighted sums of the values in each bucket, in microseconds.
  std::array<double, WorkBuckets> Sums{};
  TimePoint DecayedAt{};
};

/// Service times of one route.
struct RouteWork {
  WorkHistogram Times;
  TimePoint SampledAt{};
  /// Moving averages of the logarithm of the service time and of its absolute
  /// deviation, and the number of samples in them.
  double LogCentre = 0;
  double LogDeviation = 0;
  double Samples = 0;
};

/// Detects changes of the upstream's speed: two one-sided cumulative sums of
/// the deviations of the samples from their route's centre (CUSUM; Page, 1954).
struct SpeedDetector {
  double Slower = 0;
  double Faster = 0;
  /// Number of samples since Slower or Faster was zero.
  std::size_t SlowerRun = 0;
  std::size_t FasterRun = 0;
  /// Deviations of recent samples; the index of the next one is Count modulo
  /// the size.
  std::array<double, DetectorSamples> Recent{};
  std::size_t Count = 0;
};

/// An unanswered request.
struct TrackedRequest {
  FlowKey Flow;
  /// When its last part so far was delivered.
  TimePoint DeliveredAt{};
  /// When it got a slot according to the model; empty while it waits for one.
  std::optional<TimePoint> StartedAt;
  /// Whether StartedAt is known from an answer or an idle slot. It is a guess
  /// if the slot became free because a request was abandoned.
  bool Certain = true;
  /// The request belongs to an upload. Its end isn't visible here: if it stays
  /// unanswered, the caller may be slow instead of the upstream.
  bool Upload = false;
};

/// Model of an upstream that serves as many requests as it has slots, in the
/// order of their delivery.
struct ServiceTimes {
  std::uint32_t Slots = 1;
  /// Requests that start before this time give no samples.
  TimePoint ColdUntil{};
  /// Until this time, the upstream may still serve a request that its caller
  /// has abandoned. Requests that start before give no samples.
  TimePoint DoubtUntil{};
  /// In the order of delivery.
  std::vector<TrackedRequest> Requests;
  absl::flat_hash_map<Endpoint, RouteWork> Routes;
  WorkHistogram All;
  SpeedDetector Detector;
  std::optional<TimePoint> SampledAt;
  TimePoint AnsweredAt{};
  std::chrono::duration<double, std::milli> Suspicion{0};
  TimePoint SuspicionAt{};
  std::uint64_t Samples = 0;
  std::uint64_t SpeedChanges = 0;
  std::uint64_t Failures = 0;
};

/// Estimates for a load report.
struct ServiceEstimate {
  /// Mean of the service times without the largest TrimmedShare; zero if there
  /// are too few samples.
  std::chrono::microseconds Typical{0};
  /// Time since the newest sample; zero if it is less than MinSampleAge.
  std::chrono::milliseconds SampleAge{0};
  /// How long the upstream has been overdue, or what is left of that.
  std::chrono::milliseconds Overdue{0};

  /// Typical service times of the routes with the most weight.
  std::vector<RouteServiceTime> Routes = {};

  auto operator<=>(const ServiceEstimate &) const = default;
};

/// Adds one value. Complexity: linear in the number of buckets, as for the
/// other functions of a histogram.
void add(WorkHistogram &H, std::chrono::microseconds Value, TimePoint Now);

/// Multiplies all values by \p Ratio and limits the weight to \p MaxWeight.
void rescale(WorkHistogram &H, double Ratio, double MaxWeight);

/// \returns the weight of the samples, decayed until \p Now.
double weight(const WorkHistogram &H, TimePoint Now);

/// \returns the mean of all values in microseconds; zero if there are none.
double mean(const WorkHistogram &H);

/// \returns the mean of the values without the largest TrimmedShare.
double trimmedMean(const WorkHistogram &H);

/// \returns the \p Share quantile in microseconds, to the accuracy of a bucket.
double quantile(const WorkHistogram &H, double Share);

/// \returns the mean time in microseconds until a request that has been in
/// service for \p AgeUs ends: the mean of the values beyond that age, less the
/// age. Beyond all values it is the age itself, as for a distribution without
/// a mean.
double meanResidual(const WorkHistogram &H, double AgeUs);

/// Sets what the upstream announces: its slots and the remaining time of its
/// cold start.
void setUpstream(ServiceTimes &S, std::uint32_t Slots,
                 std::chrono::milliseconds ColdRemaining, TimePoint Now);

/// Forgets the requests, but not the estimates, when another process takes the
/// upstream's place. Its speed is likely the same; if not, the detector finds
/// out.
void restartUpstream(ServiceTimes &S);

/// Records that data of a request was delivered to the upstream. A further part
/// of a request that is already tracked shows that it had not begun; it is as
/// if the whole request had been delivered now. \p Upload tells that the flow's
/// requests are uploads; while they are unanswered, they neither make the slots
/// of others uncertain nor the upstream overdue.
void beginRequest(ServiceTimes &S, const FlowKey &Flow, TimePoint Now,
                  bool Upload = false);

/// Records the first data of the answer. Complexity: linear in the number of
/// requests.
void finishRequest(ServiceTimes &S, const FlowKey &Flow, TimePoint Now);

/// Records that a request won't be answered. \p Failed tells that the upstream
/// ended the flow.
void abandonRequest(ServiceTimes &S, const FlowKey &Flow, bool Failed,
                    TimePoint Now);

/// Frees the slots of requests that are in service for too long.
void expireService(ServiceTimes &S, TimePoint Now);

/// \returns the mean work of a request of \p Route; that of all routes if the
/// route has too few samples; zero if there is no estimate.
std::chrono::microseconds meanWork(const ServiceTimes &S, const Endpoint &Route,
                                   TimePoint Now);

/// \returns the mean work of a request of any route, or zero.
std::chrono::microseconds meanWork(const ServiceTimes &S, TimePoint Now);

/// \returns the response time that a request of \p Route can expect, given the
/// average of all routes: the average wait and the work of its route. It is the
/// average itself unless the difference exceeds RouteWorkMargin.
std::chrono::duration<double, std::milli>
responseTimeOfRoute(const ServiceTimes &S,
                    std::chrono::duration<double, std::milli> Average,
                    const Endpoint &Route, TimePoint Now);

/// \returns the work that remains for the unanswered requests, as the sum over
/// all slots.
std::chrono::microseconds remainingWork(const ServiceTimes &S, TimePoint Now);

ServiceEstimate estimate(const ServiceTimes &S, TimePoint Now);

} // namespace jasminearch::flow

#endif // JASMINEARCH_FLOW_SERVICE_TIME_H
