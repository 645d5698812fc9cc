#ifndef JASMINEARCH_CONSENSUS_LOG_ENTRY_H
#define JASMINEARCH_CONSENSUS_LOG_ENTRY_H

#include "jasminearch/types.h"
#include <compare>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <vector>

/// Data types shared by the consensus algorithm, its storage and its messages.
namespace jasminearch::consensus {

/// Position in the log. The first entry has index 1.
using LogIndex = std::uint64_t;

/// Raft term. Each term has at most one leader.
using Term = std::uint64_t;

/// Largest index or term accepted from disk or from a peer, so that sums can't
/// overflow. No log reaches it at a realistic write rate.
constexpr std::uint64_t MaxIndexOrTerm = std::uint64_t{1} << 60U;

/// A control host that is a member of the cluster.
struct Member {
  std::string Host;
  /// Storage id of the host's data folder. Empty if not known yet.
  std::string StorageId;
  /// False for learners, which receive entries but don't vote.
  bool Voter = false;

  bool operator==(const Member &) const = default;
};

/// Type of a log entry. The numbers are part of the disk and message formats.
enum class EntryKind : std::uint8_t {
  /// Appended by each new leader, so that it can commit an entry of its own
  /// term. The payload is the leader's storage id, or empty in logs written by
  /// older versions.
  NoOp = 0,
  /// The payload is a member list. It takes effect as soon as it is appended.
  Membership = 1,
  /// The payload is opaque to the log.
  Data = 2,
};

/// An entry of the replicated log.
struct LogEntry {
  LogIndex Index = 0;
  Term InTerm = 0;
  EntryKind Kind = EntryKind::NoOp;
  Bytes Payload;

  bool operator==(const LogEntry &) const = default;
};

/// Identifies a member by host name and storage id. A host with a new data
/// folder is a different member.
struct MemberId {
  std::string Host;
  std::string StorageId;

  auto operator<=>(const MemberId &) const = default;
};

/// Term and vote, which must be durable before the host replies to a message.
struct HardState {
  Term Current = 0;
  /// Candidate voted for in the current term. Empty if no vote was given.
  MemberId VotedFor;

  auto operator<=>(const HardState &) const = default;
};

/// Application state and member list as of the entry at Index.
struct Snapshot {
  LogIndex Index = 0;
  Term InTerm = 0;
  std::vector<Member> Members;
  Bytes State;

  bool operator==(const Snapshot &) const = default;
};

/// The retained part of the log: contiguous entries that start after BaseIndex,
/// the index of the last discarded entry.
struct EntryLog {
  LogIndex BaseIndex = 0;
  Term BaseTerm = 0;
  std::deque<LogEntry> Entries;
};

/// \returns the index of the last entry, or BaseIndex if there is none.
LogIndex lastIndex(const EntryLog &Log);

/// \returns the term of the last entry, or BaseTerm if there is none.
Term lastTerm(const EntryLog &Log);

/// \returns whether \p Index is BaseIndex or the index of a retained entry.
bool containsIndex(const EntryLog &Log, LogIndex Index);

/// \returns the term at \p Index, for which containsIndex() must be true.
Term termAt(const EntryLog &Log, LogIndex Index);

/// \returns the entry at \p Index, which must be retained.
const LogEntry &entryAt(const EntryLog &Log, LogIndex Index);

/// Removes all entries after \p Index.
void truncateAfter(EntryLog &Log, LogIndex Index);

/// Removes all entries up to and including \p Index, for which containsIndex()
/// must be true.
void discardThrough(EntryLog &Log, LogIndex Index);

/// The complete content of a data folder.
struct StoredState {
  std::string StorageId;
  HardState Hard;
  EntryLog Log;
  /// Null before the first snapshot.
  std::shared_ptr<const Snapshot> LatestSnapshot;
};

} // namespace jasminearch::consensus

#endif // JASMINEARCH_CONSENSUS_LOG_ENTRY_H
