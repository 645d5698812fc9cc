#ifndef JASMINEARCH_CONTROL_CONFIG_MODEL_H
#define JASMINEARCH_CONTROL_CONFIG_MODEL_H

#include "jasminearch/types.h"
#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// Configuration model: objects that operators define and hosts that announce
/// themselves.
namespace jasminearch::control {

/// Number of buckets in the table of each service.
inline constexpr std::size_t BucketsPerService = 512;

/// Number of previous owners that are stored for each bucket.
inline constexpr std::size_t EarlierOwnersPerBucket = 2;

/// Service-level objectives: required shares of good events, from 0 to 1.
struct Objectives {
  /// For Promise::WholeAnswers and Promise::GracefulStop.
  double Answered = 0.999;
  /// For Promise::LinesSurvive.
  double LinesWhole = 0.999;
  /// For Promise::NoWorkWhenLeaving and Promise::ConfigurationHolds.
  double WithinDeadline = 0.99;

  auto operator<=>(const Objectives &) const = default;
};

/// Traffic policy and objectives that services share.
struct Profile {
  std::string Name;
  /// Highest tolerated ratio of the busiest upstream's bucket share to the mean
  /// share; beyond it, buckets of healthy upstreams move. Higher values keep
  /// flows in place, lower values balance the load more evenly.
  double MaxImbalance = 1.05;
  /// Time after which an unfinished request is refused or cancelled.
  std::chrono::milliseconds Deadline{10'000};
  /// Duration of the warm-up after an announcement, during which the
  /// upstream's share grows.
  std::chrono::milliseconds ColdStart{5'000};
  /// Time without datagrams after which a line is dropped.
  std::chrono::milliseconds LineIdleLimit{3'600'000};
  /// Highest ratio of retries to first attempts.
  double RetryBudget = 0.1;
  /// Whether an agent without a free slot may pass new requests to another
  /// agent of the service.
  bool Offload = true;
  Objectives Targets;
  /// Revision of the last change.
  Revision Changed;

  auto operator<=>(const Profile &) const = default;
};

/// A service that callers reach at one address.
struct Service {
  ServiceId Id;
  std::string Name;
  Endpoint Address;
  std::string ProfileName;
  Revision Changed;

  auto operator<=>(const Service &) const = default;
};

/// Lifecycle phase of an upstream, as committed by the control hosts.
enum class UpstreamPhase : std::uint8_t {
  Cold = 0,
  Active = 1,
  Draining = 2,
  Lost = 3,
};

/// Number of equal steps in which a cold upstream reaches its full share.
inline constexpr std::uint8_t WarmUpSteps = 4;

/// An upstream and the agent beside it.
struct Upstream {
  UpstreamId Id;
  /// Name from the agent's settings; unique in the cluster.
  std::string Name;
  ServiceId Service;
  std::string DataCentre;
  /// Address at which the agent receives frames.
  Endpoint Agent;
  /// Number of requests that the upstream handles concurrently.
  std::uint32_t Slots = 1;
  Incarnation Instance;
  UpstreamPhase Phase = UpstreamPhase::Cold;
  Revision Changed;
  /// Share of buckets in units of 1 / WarmUpSteps: 1 after an announcement,
  /// WarmUpSteps once active.
  std::uint8_t WarmUp = 1;
  /// Whether an operator has ordered a drain. Kept when the agent restarts.
  bool DrainOrdered = false;
  /// Revision of the latest operator's order, or of the first announcement if
  /// there was none.
  Revision Ordered;

  auto operator<=>(const Upstream &) const = default;
};

/// An entry host that has announced itself.
struct EntryHost {
  std::string Name;
  std::string DataCentre;
  /// Address at which the entry host receives Answer frames.
  Endpoint Tunnel;
  bool Alive = true;
  Revision Changed;

  auto operator<=>(const EntryHost &) const = default;
};

/// Owner of a bucket and the previous owners that may still hold its flows,
/// most recent first. An id of zero means none.
struct Bucket {
  UpstreamId Owner;
  std::array<UpstreamId, EarlierOwnersPerBucket> Earlier{};

  auto operator<=>(const Bucket &) const = default;
};

/// Bucket table of one service.
struct BucketTable {
  ServiceId Service;
  std::vector<Bucket> Buckets;
  Revision Changed;

  auto operator<=>(const BucketTable &) const = default;
};

/// The configuration that is distributed to daemons, at one revision.
struct Configuration {
  Revision InForce;
  std::map<std::string, Profile> Profiles;
  std::map<ServiceId, Service> Services;
  std::map<UpstreamId, Upstream> Upstreams;
  std::map<std::string, EntryHost> Entries;
  std::map<ServiceId, BucketTable> Tables;

  bool operator==(const Configuration &) const = default;
};

} // namespace jasminearch::control

#endif // JASMINEARCH_CONTROL_CONFIG_MODEL_H
