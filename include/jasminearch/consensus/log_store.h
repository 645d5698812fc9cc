#ifndef JASMINEARCH_CONSENSUS_LOG_STORE_H
#define JASMINEARCH_CONSENSUS_LOG_STORE_H

#include "jasminearch/consensus/data_folder.h"
#include "jasminearch/consensus/log_entry.h"
#include "jasminearch/error.h"
#include <memory>
#include <string>
#include <vector>

/// The disk of the replicated log. A folder holds three files, each made of
/// checksummed records:
///
/// - `identity`: cluster, host and storage id; written last at creation, so a
///   folder without it was never used;
/// - `log`: a base, then records of term, vote and entries in the order of
///   writing. An entry replaces any earlier one with its index and all after;
/// - `snapshot`: the latest snapshot.
///
/// A record's header tells how much of the file was synced when the record was
/// written. A damaged record is a torn tail only if nothing shows that it was
/// synced; everything else is StorageCorrupt.
namespace jasminearch::consensus {

/// Whose folder it is, and how to make it.
struct LogStoreOptions {
  std::string Cluster;
  std::string Host;
  /// Storage id for a new folder.
  std::string StorageId;
  /// Create the folder with these members as entry 1 of term 1. Empty: not
  /// bootstrapping; a new folder starts without members.
  std::vector<Member> InitialMembers;
};

/// Writes and reads one data folder. After StorageUnavailable the state of the
/// disk is unknown: all further writes fail with it until the folder is opened
/// again.
class LogStore {
public:
  /// Opens the folder, or creates its content. \returns StorageCorrupt,
  /// StorageWrongCluster (another cluster's or host's folder), StorageFull,
  /// StorageUnavailable, or StorageAlreadyInitialized when bootstrapping a
  /// folder that is in use.
  static Expected<std::unique_ptr<LogStore>>
  open(std::unique_ptr<DataFolder> Folder, const LogStoreOptions &Options);

  /// Reads everything that append() and saveSnapshot() accepted. Linear in the
  /// size of the folder.
  Expected<StoredState> load();

  /// Writes term, vote and \p Entries. They are durable after sync(). On
  /// StorageFull nothing has changed.
  Expected<void> append(const HardState &Hard,
                        const std::vector<LogEntry> &Entries);

  /// Makes everything appended so far durable. On StorageFull everything that
  /// was not yet durable is gone.
  Expected<void> sync();

  /// Replaces the snapshot, then the log by \p Hard and \p Rest. Durable on
  /// return. On failure the snapshot is the old or the new one, and no term,
  /// vote or entry after it is lost.
  Expected<void> saveSnapshot(const Snapshot &Latest, const HardState &Hard,
                              const EntryLog &Rest);

private:
  explicit LogStore(std::unique_ptr<DataFolder> Folder)
      : Folder(std::move(Folder)) {}

  Expected<void> createContent(const LogStoreOptions &Options);
  Expected<void> replaceFile(const std::string &Name, const Bytes &Content);
  Expected<void> rewriteLog(const HardState &Hard, const EntryLog &Log);
  Expected<void> undoTo(std::uint64_t Size, const Error &Cause);
  Expected<void> markBroken(const Error &Cause);

  std::unique_ptr<DataFolder> Folder;
  std::string StorageId;
  /// Size of `log` in bytes, and how much of it is durable.
  std::uint64_t Size = 0;
  std::uint64_t SyncedSize = 0;
  /// The entries in `log` end before the snapshot; the next append starts it
  /// anew from this base.
  bool LogSuperseded = false;
  LogIndex SnapshotIndex = 0;
  Term SnapshotTerm = 0;
  bool Broken = false;
};

} // namespace jasminearch::consensus

#endif // JASMINEARCH_CONSENSUS_LOG_STORE_H
