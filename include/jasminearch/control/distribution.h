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

/// Distribution of configuration: what a subscriber is sent, and what it takes.
namespace jasminearch::control {

/// Revisions whose changed objects are retained for deltas.
inline constexpr std::size_t ChangesRetained = 1024;

/// A newly started process takes a configuration only from a control host that
/// confirmed a quorum within this time.
inline constexpr std::chrono::milliseconds MaxStartupQuorumAge{2000};

/// Estimated size of a snapshot part, so that a snapshot of any size passes the
/// limit on message size and can be paced.
inline constexpr std::size_t SnapshotPartBytes = 1U << 20U;

/// Names one object of a Configuration.
struct ObjectKey {
  enum class Kind : std::uint8_t { Profile, Service, Upstream, Entry, Table };
  Kind Of{};
  /// Set for profiles and entry hosts.
  std::string Name;
  /// Set for services, upstreams and tables.
  std::uint32_t Number = 0;

  auto operator<=>(const ObjectKey &) const = default;
};

/// Changes from one revision to a later one.
struct Delta {
  /// The receiver must hold this revision or a later one.
  Revision From;
  /// Objects that were added or changed; InForce is the new revision.
  Configuration Changed;
  std::vector<ObjectKey> Removed;

  bool operator==(const Delta &) const = default;
};

/// Some objects of a snapshot. Part.InForce is the snapshot's revision in every
/// part.
struct SnapshotPart {
  Configuration Part;
  std::uint32_t Index = 0;
  bool Last = false;

  bool operator==(const SnapshotPart &) const = default;
};

// Sender ----------------------------------------------------------------------

/// Objects of a configuration with the revision of their last change, sorted
/// as in the configuration's maps.
struct ObjectIndex {
  std::vector<std::pair<std::string, Revision>> Profiles;
  std::vector<std::pair<ServiceId, Revision>> Services;
  std::vector<std::pair<UpstreamId, Revision>> Upstreams;
  std::vector<std::pair<std::string, Revision>> Entries;
  std::vector<std::pair<ServiceId, Revision>> Tables;
};

/// Objects that were added, changed or removed at one revision.
struct Change {
  Revision At;
  std::vector<ObjectKey> Touched;
};

/// Changes that a control host retains for deltas.
struct RetainedChanges {
  /// Every change after this revision is retained.
  Revision Base;
  /// Oldest first.
  std::deque<Change> Changes;
  /// Objects as of the last change.
  ObjectIndex Index;
};

/// Starts over from \p Current, for example after a snapshot of the log was
/// restored: what was removed before isn't known, so that nobody behind
/// \p Current can get a delta. Complexity: linear in the objects.
RetainedChanges startRetainedChanges(const Configuration &Current);

/// Retains the changes of \p Current since the last call. Call it after each
/// revision: an object that is added and removed between two calls goes
/// unnoticed. Complexity: linear in the objects (it compares revisions only).
void retainChanges(RetainedChanges &Retained, const Configuration &Current);

/// Nothing to send: the subscriber has this configuration or a later one.
struct UpToDate {};

/// The changes since the subscriber's revision aren't retained, or a delta
/// would be larger than MaxDeltaBytes: send splitSnapshot().
struct NeedsSnapshot {};

/// Estimated size from which a delta is sent as a snapshot, which is split.
inline constexpr std::size_t MaxDeltaBytes = 4U << 20U;

/// Decides what a subscriber at \p Last is sent. A subscriber without a
/// configuration has revision zero. Complexity: linear in the changes since
/// \p Last.
std::variant<UpToDate, Delta, NeedsSnapshot>
selectUpdate(Revision Last, const RetainedChanges &Retained,
             const Configuration &Current);

/// Splits a configuration into parts of about SnapshotPartBytes each. There is
/// always at least one part.
std::vector<SnapshotPart> splitSnapshot(const Configuration &Current);

// ConfigReceiver
// --------------------------------------------------------------------

/// A daemon's configuration and the snapshot that is being received.
struct ConfigReceiver {
  /// Null until the first one is taken.
  std::shared_ptr<const Configuration> InForce;
  /// Parts received so far.
  Configuration Collected;
  std::uint32_t NextPart = 0;
};

/// \returns the revision in force, zero if there is none.
Revision inForce(const ConfigReceiver &R);

/// Takes a delta. \returns whether the configuration changed, or NoQuorum (a
/// newly started process and no recent quorum), StaleRevision (older than what
/// is in force) or RevisionFromFuture (changes between are missing).
/// \param QuorumAge time since the sender confirmed a quorum.
Expected<bool> applyDelta(ConfigReceiver &R, const Delta &Update,
                          std::chrono::milliseconds QuorumAge);

/// Takes one part of a snapshot; the configuration changes with the last one.
/// \returns as applyDelta(), and MessageMalformed for a part out of order,
/// after which the snapshot starts again with its first part.
Expected<bool> applySnapshotPart(ConfigReceiver &R, SnapshotPart Update,
                                 std::chrono::milliseconds QuorumAge);

/// Forgets the parts of an unfinished snapshot, when its link has closed.
void discardPartialSnapshot(ConfigReceiver &R);

} // namespace jasminearch::control

#endif // JASMINEARCH_CONTROL_DISTRIBUTION_H
