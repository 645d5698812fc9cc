#ifndef JASMINEARCH_CONSENSUS_LOG_ENTRY_H
#define JASMINEARCH_CONSENSUS_LOG_ENTRY_H

#include "jasminearch/types.h"
#include <compare>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <vector>

/// Values that the decisions, the disk and the messages of the replicated log
/// share.
namespace jasminearch::consensus {

/// Position in the log. The first entry has index 1.
using LogIndex = std::uint64_t;

/// Number of a leader's period of office.
using Term = std::uint64_t;

/// Bound on indexes and terms from outside, so that sums stay in range. No log
/// that is written at any real rate reaches it.
constexpr std::uint64_t MaxIndexOrTerm = std::uint64_t{1} << 60U;

/// One control host as its peers know it.
struct Member {
  std::string Host;
  /// Identifies the data folder. Empty while it isn't known.
  std::string StorageId;
  bool Voter = false;

  bool operator==(const Member &) const = default;
};

/// What an entry is for. Numbers are part of the disk and message formats.
enum class EntryKind : std::uint8_t {
  /// Appended by each new leader, so that it can commit in its own term. The
  /// payload is the leader's storage id; it is empty in logs of older versions.
  NoOp = 0,
  /// Payload is a member list; in force from the moment it is appended.
  Membership = 1,
  /// Payload belongs to the user of the log.
  Data = 2,
};

/// One entry of the log.
struct LogEntry {
  LogIndex Index = 0;
  Term InTerm = 0;
  EntryKind Kind = EntryKind::NoOp;
  Bytes Payload;

  bool operator==(const LogEntry &) const = default;
};

/// A (host, storage id) pair.
struct StorageRef {
  std::string Host;
  std::string StorageId;

  auto operator<=>(const StorageRef &) const = default;
};

/// What a host must not forget before it answers: its term and its vote.
struct HardState {
  Term Current = 0;
  /// Candidate voted for in the current term. Empty names nobody.
  StorageRef VotedFor;

  auto operator<=>(const HardState &) const = default;
};

/// The user's state and the member list as of one entry.
struct Snapshot {
  LogIndex Index = 0;
  Term InTerm = 0;
  std::vector<Member> Members;
  Bytes State;

  bool operator==(const Snapshot &) const = default;
};

/// The entries that are kept, contiguous and after (BaseIndex, BaseTerm).
struct EntryLog {
  LogIndex BaseIndex = 0;
  Term BaseTerm = 0;
  std::deque<LogEntry> Entries;
};

/// \returns the index of the last entry, or the base.
LogIndex lastIndex(const EntryLog &Log);

/// \returns the term of the last entry, or the base's.
Term lastTerm(const EntryLog &Log);

/// \returns whether \p Index is the base or a kept entry.
bool holds(const EntryLog &Log, LogIndex Index);

/// \returns the term at \p Index, which the log must hold.
Term termAt(const EntryLog &Log, LogIndex Index);

/// \returns the entry at \p Index, which must be a kept entry.
const LogEntry &entryAt(const EntryLog &Log, LogIndex Index);

/// Removes all entries after \p Index.
void truncateAfter(EntryLog &Log, LogIndex Index);

/// Removes all entries up to \p Index, which the log must hold.
void discardThrough(EntryLog &Log, LogIndex Index);

/// Everything that a data folder holds.
struct StoredState {
  std::string StorageId;
  HardState Hard;
  EntryLog Log;
  /// Empty before the first snapshot.
  std::shared_ptr<const Snapshot> LatestSnapshot;
};

} // namespace jasminearch::consensus

#endif // JASMINEARCH_CONSENSUS_LOG_ENTRY_H
