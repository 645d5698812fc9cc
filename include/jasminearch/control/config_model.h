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

/// Control state: what operators define and what hosts announce.
namespace jasminearch::control {

/// Buckets of a service's table.
inline constexpr std::size_t BucketsPerService = 512;

/// Earlier owners that a bucket remembers.
inline constexpr std::size_t EarlierOwnersPerBucket = 2;

/// Service-level objectives: shares of events that must go well, 0 to 1.
struct Objectives {
  double Answered = 0.999;
  double LinesWhole = 0.999;
  double WithinDeadline = 0.99;

  auto operator<=>(const Objectives &) const = default;
};

/// How the traffic of a service is treated.
struct Profile {
  std::string Name;
  /// Busiest over mean share of buckets that is tolerated before buckets of a
  /// healthy upstream move. High values favour whole flows, low ones balance.
  double MaxImbalance = 1.05;
  /// Time a request may take before it is refused or cancelled.
  std::chrono::milliseconds Deadline{10'000};
  /// Time after an announcement during which an upstream gets a growing share.
  std::chrono::milliseconds ColdStart{5'000};
  /// A line without datagrams for this long is dropped.
  std::chrono::milliseconds LineIdleLimit{3'600'000};
  /// Retries as a share of first attempts.
  double RetryBudget = 0.1;
  /// Whether a full agent may pass new requests to a sibling.
  bool Offload = true;
  Objectives Targets;
  /// Revision of the last change.
  Revision Changed;

  auto operator<=>(const Profile &) const = default;
};

/// A service callers reach at one address.
struct Service {
  ServiceId Id;
  std::string Name;
  Endpoint Address;
  std::string ProfileName;
  Revision Changed;

  auto operator<=>(const Service &) const = default;
};

/// State of an upstream as the control hosts have committed it.
enum class UpstreamPhase : std::uint8_t {
  Cold = 0,
  Active = 1,
  Draining = 2,
  Lost = 3,
};

/// Steps in which the share of a cold upstream grows to a full one.
inline constexpr std::uint8_t WarmUpSteps = 4;

/// An upstream with its agent.
struct Upstream {
  UpstreamId Id;
  /// Name from the agent's settings, unique in the cluster.
  std::string Name;
  ServiceId Service;
  std::string DataCentre;
  /// Where the agent takes frames.
  Endpoint Agent;
  /// Requests that the upstream handles at a time.
  std::uint32_t Slots = 1;
  Incarnation Instance;
  UpstreamPhase Phase = UpstreamPhase::Cold;
  Revision Changed;
  /// Share of buckets in parts of WarmUpSteps: 1 after an announcement,
  /// WarmUpSteps once active.
  std::uint8_t WarmUp = 1;
  /// An operator has ordered a drain. Outlives restarts of the agent.
  bool DrainOrdered = false;
  /// Revision of the last operator's order, or of the first announcement.
  Revision Ordered;

  auto operator<=>(const Upstream &) const = default;
};

/// An entry host.
struct EntryHost {
  std::string Name;
  std::string DataCentre;
  /// Where the entry takes Answer frames.
  Endpoint Tunnel;
  bool Alive = true;
  Revision Changed;

  auto operator<=>(const EntryHost &) const = default;
};

/// Owner of a bucket and the earlier owners that may still hold its flows,
/// latest first. Zero ids mean none.
struct Bucket {
  UpstreamId Owner;
  std::array<UpstreamId, EarlierOwnersPerBucket> Earlier{};

  auto operator<=>(const Bucket &) const = default;
};

/// Buckets of one service.
struct BucketTable {
  ServiceId Service;
  std::vector<Bucket> Buckets;
  Revision Changed;

  auto operator<=>(const BucketTable &) const = default;
};

/// Everything that daemons need to have in force, as of one revision.
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
