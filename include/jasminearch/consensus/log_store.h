#ifndef JASMINEARCH_CONSENSUS_LOG_STORE_H
#define JASMINEARCH_CONSENSUS_LOG_STORE_H

#include "jasminearch/consensus/data_folder.h"
#include "jasminearch/consensus/log_entry.h"
#include "jasminearch/error.h"
#include <memory>
#include <string>
#include <vector>

/// Persistent storage of the replicated log. A data folder contains three
/// files, each made of checksummed records:
///
/// - `identity`: cluster, host and storage id. It is written last when a folder
///   is created, so a folder without it was never used.
/// - `log`: a record with the base index and term, then records with term, vote
///   and entries in the order of writing. An entry replaces any earlier entry
///   with the same index and all entries after it.
/// - `snapshot`: the latest snapshot.
///
/// Each record header states how many bytes of the file were synced when the
/// record was written. A damaged record is treated as the torn tail of an
/// unfinished write only if no later header shows that it was synced. All other
/// damage is reported as StorageCorrupt.
namespace jasminearch::consensus {

/// Identity of a data folder, and the initial content of a new one.
struct LogStoreOptions {
  std::string Cluster;
  std::string Host;
  /// Storage id of a new folder. An existing folder keeps its own.
  std::string StorageId;
  /// When bootstrapping, the members that are written as entry 1 of term 1.
  /// Empty if not bootstrapping; a new folder then has no members.
  std::vector<Member> InitialMembers;
};

/// Reads and writes one data folder. After StorageUnavailable the content of
/// the disk is unknown, so all further writes fail with the same error until
/// the folder is opened again.
class LogStore {
public:
  /// Opens an existing folder or initializes a new one. \returns
  /// StorageCorrupt, StorageWrongCluster (the folder belongs to another cluster
  /// or host), StorageFull, StorageUnavailable, or StorageAlreadyInitialized
  /// when bootstrapping a folder that was initialized before.
  static Expected<std::unique_ptr<LogStore>>
  open(std::unique_ptr<DataFolder> Folder, const LogStoreOptions &Options);

  /// Loads everything that append() and saveSnapshot() have written.
  /// Complexity: linear in the size of the folder.
  Expected<StoredState> load();

  /// Appends term, vote and \p Entries. They are durable after sync(). On
  /// StorageFull the stored state is unchanged.
  Expected<void> append(const HardState &Hard,
                        const std::vector<LogEntry> &Entries);

  /// Makes everything appended so far durable. On StorageFull all appended data
  /// that was not yet durable is removed.
  Expected<void> sync();

  /// Replaces the snapshot by \p Latest, then the log by \p Hard and \p
  /// RetainedLog. Both are durable on return. On failure either the old or the
  /// new snapshot is stored, and no term, vote or later entry is lost.
  Expected<void> saveSnapshot(const Snapshot &Latest, const HardState &Hard,
                              const EntryLog &RetainedLog);

private:
  explicit LogStore(std::unique_ptr<DataFolder> Folder)
      : Folder(std::move(Folder)) {}

  Expected<void> createContent(const LogStoreOptions &Options);
  Expected<void> replaceFile(const std::string &Name, const Bytes &Content);
  Expected<void> rewriteLog(const HardState &Hard, const EntryLog &Log);
  Expected<void> rollBackTo(std::uint64_t Size, const Error &Cause);
  Expected<void> markUnusable(const Error &Cause);

  std::unique_ptr<DataFolder> Folder;
  std::string StorageId;
  /// Size of the file `log` in bytes, and how many of them are durable.
  std::uint64_t Size = 0;
  std::uint64_t SyncedSize = 0;
  /// The entries in `log` don't reach the snapshot. The next append rewrites
  /// the file with SnapshotIndex and SnapshotTerm as its base.
  bool LogSuperseded = false;
  LogIndex SnapshotIndex = 0;
  Term SnapshotTerm = 0;
  /// A write failed with an unknown result; no further writes are accepted.
  bool Unusable = false;
};

} // namespace jasminearch::consensus

#endif // JASMINEARCH_CONSENSUS_LOG_STORE_H
