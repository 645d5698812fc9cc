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
#include <variant>
#include <vector>

/// Distribution of configuration: what a subscriber is sent, and what it takes.
namespace jasminearch::control {

/// Revisions whose changed objects are retained for deltas.
inline constexpr std::size_t ChangesRetained = 1024;

/// A newly started process takes a configuration only from a control host that
/// confirmed a quorum within this time.
inline constexpr std::chrono::milliseconds FreshQuorumLimit{2000};

/// Objects that one snapshot part holds at most, weighted as in
/// splitSnapshot(). Keeps a part near 1 MB, so that a snapshot of any size
/// passes the limit on message size and can be paced.
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

} // namespace jasminearch::control

#endif // JASMINEARCH_CONTROL_DISTRIBUTION_H
