#ifndef JASMINEARCH_CONTROL_DISTRIBUTION_H
#define JASMINEARCH_CONTROL_DISTRIBUTION_H

#include "jasminearch/control/config_model.h"
#include "jasminearch/error.h"
#include "jasminearch/types.h"
#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

/// Distribution of the configuration to subscribers, as deltas or snapshots.
/// The first half is used by control hosts, the second by daemons.
namespace jasminearch::control {

/// Number of revisions whose changes are retained to build deltas.
inline constexpr std::size_t MaxRetainedChanges = 1024;

/// Maximum quorum age of a control host from which a newly started process
/// accepts a configuration.
inline constexpr std::chrono::milliseconds MaxStartupQuorumAge{2000};

/// Estimated size of a snapshot part, in bytes. Snapshots are split so that one
/// of any size stays below the message size limit and can be paced.
inline constexpr std::size_t TargetSnapshotPartBytes = 1U << 20U;

/// Identifies one object of a Configuration.
struct ObjectKey {
  enum class Kind : std::uint8_t { Profile, Service, Upstream, Entry, Table };
  Kind Of{};
  /// Set for profiles and entry hosts.
  std::string Name;
  /// Set for services, upstreams and tables.
  std::uint32_t Number = 0;

  auto operator<=>(const ObjectKey &) const = default;
};

/// Changes between two revisions.
struct Delta {
  /// Revision that the receiver must have in force, or a later one.
  Revision From;
  /// Added and changed objects; InForce is the new revision.
  Configuration Changed;
  /// Keys of the objects that no longer exist.
  std::vector<ObjectKey> Removed;

  bool operator==(const Delta &) const = default;
};

/// A subset of the objects of a snapshot. Part.InForce is the revision of the
/// whole snapshot in every part.
struct SnapshotPart {
  Configuration Part;
  std::uint32_t Index = 0;
  bool Last = false;

  bool operator==(const SnapshotPart &) const = default;
};

// Control hosts ---------------------------------------------------------------

/// Keys of the objects of a configuration with the revision of their last
/// change, in the order of the configuration's maps.
struct ObjectIndex {
  std::vector<std::pair<std::string, Revision>> Profiles;
  std::vector<std::pair<ServiceId, Revision>> Services;
  std::vector<std::pair<UpstreamId, Revision>> Upstreams;
  std::vector<std::pair<std::string, Revision>> Entries;
  std::vector<std::pair<ServiceId, Revision>> Tables;
};

/// Keys of the objects that were added, changed or removed at one revision.
struct Change {
  Revision At;
  std::vector<ObjectKey> ChangedKeys;
};

/// Recent changes that a control host retains to build deltas.
struct RetainedChanges {
  /// All changes after this revision are retained.
  Revision Base;
  /// Oldest first.
  std::deque<Change> Changes;
  /// Objects as of the latest retained change.
  ObjectIndex Index;
};

/// \returns an empty history that starts at \p Current. Used after a snapshot
/// of the log is restored: earlier removals are unknown then, so subscribers
/// behind \p Current need a snapshot. Complexity: linear in the number of
/// objects.
RetainedChanges startRetainedChanges(const Configuration &Current);

/// Adds the changes in \p Current since the previous call to \p Retained. Must
/// be called after every revision, because an object that is added and removed
/// between two calls is missed. Compares revisions only. Complexity: linear in
/// the number of objects.
void retainChanges(RetainedChanges &Retained, const Configuration &Current);

/// Nothing to send: the subscriber has this revision or a later one.
struct UpToDate {};

/// The subscriber needs the parts from splitSnapshot(), because the changes
/// since its revision are not retained or a delta would exceed MaxDeltaBytes.
struct NeedsSnapshot {};

/// Maximum estimated size of a delta, in bytes. Larger updates are sent as a
/// snapshot, which is split into parts.
inline constexpr std::size_t MaxDeltaBytes = 4U << 20U;

/// Selects the update for a subscriber at revision \p Last, which is zero for a
/// subscriber without a configuration. Complexity: linear in the number of
/// changes since \p Last.
std::variant<UpToDate, Delta, NeedsSnapshot>
selectUpdate(Revision Last, const RetainedChanges &Retained,
             const Configuration &Current);

/// Splits a configuration into parts of about TargetSnapshotPartBytes each.
/// \returns at least one part.
std::vector<SnapshotPart> splitSnapshot(const Configuration &Current);

// Daemons ---------------------------------------------------------------------

/// A daemon's configuration in force and the parts of a snapshot that is still
/// being received.
struct ConfigReceiver {
  /// Null until the first configuration is applied.
  std::shared_ptr<const Configuration> InForce;
  /// Objects of the parts received so far.
  Configuration ReceivedObjects;
  /// Index of the next expected part.
  std::uint32_t NextPart = 0;
};

/// \returns the revision in force, or zero if there is none.
Revision inForce(const ConfigReceiver &R);

/// Applies a delta.
/// \param QuorumAge time since the sender confirmed a quorum.
/// \returns whether the configuration changed. Fails with NoQuorum if no
/// configuration is in force yet and the quorum is too old, with StaleRevision
/// if the update is older than the revision in force, and with
/// RevisionFromFuture if changes between the two are missing.
Expected<bool> applyDelta(ConfigReceiver &R, const Delta &Update,
                          std::chrono::milliseconds QuorumAge);

/// Adds one part of a snapshot; the last part puts the snapshot in force.
/// \returns as applyDelta(). Also fails with MessageMalformed for a part out of
/// order, after which the snapshot has to start again with its first part.
Expected<bool> applySnapshotPart(ConfigReceiver &R, SnapshotPart Update,
                                 std::chrono::milliseconds QuorumAge);

/// Discards the parts of an incomplete snapshot, for example when its link
/// closes.
void discardPartialSnapshot(ConfigReceiver &R);

} // namespace jasminearch::control

#endif // JASMINEARCH_CONTROL_DISTRIBUTION_H
