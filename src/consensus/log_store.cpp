#include "jasminearch/consensus/log_store.h"
#include "jasminearch/consensus/detail/cbor.h"
#include "jasminearch/consensus/detail/record.h"
#include "jasminearch/consensus/messages.h"
#include <algorithm>
#include <utility>

namespace jasminearch::consensus {

using detail::ArrayReader;
using detail::Json;

namespace {

const std::string IdentityFileName = "identity";
const std::string LogFileName = "log";
const std::string SnapshotFileName = "snapshot";
const std::string TemporarySuffix = ".new";

/// Must be increased when the disk format changes.
constexpr unsigned FormatVersion = 1;

/// Term of the entry with the initial members, the same on every host.
constexpr Term BootstrapTerm = 1;

tl::unexpected<Error> corrupt(const std::string &Name, const char *What) {
  return fail(ErrorCode::StorageCorrupt, Name + ": " + What);
}

/// \returns the content of a file with the single record \p Body.
Bytes singleRecordFile(const Json &Body) {
  Bytes File;
  detail::appendRecord(File, 0, 0, Json::to_cbor(Body));
  return File;
}

/// Reads a file with a single record. Such files are synced before they are
/// renamed to \p Name, so a torn tail is impossible and any damage is
/// corruption.
Expected<Json> readSingleRecord(DataFolder &Folder, const std::string &Name) {
  const auto File = Folder.read(Name);
  if (!File)
    return tl::unexpected(File.error());
  const auto Scan = detail::scanRecords(*File, Name);
  if (!Scan)
    return tl::unexpected(Scan.error());
  if (Scan->Bodies.size() != 1 || Scan->IntactBytes != File->size())
    return corrupt(Name, "expected exactly one intact record");
  auto Body = detail::decodeCbor(Scan->Bodies.front());
  if (!Body)
    return corrupt(Name, "record is not valid CBOR");
  return Body;
}

struct Identity {
  std::string Cluster;
  std::string Host;
  std::string StorageId;
};

Json toJson(const Identity &Id) {
  return Json::array({FormatVersion, Id.Cluster, Id.Host, Id.StorageId});
}

Expected<Identity> readIdentity(DataFolder &Folder) {
  const auto Body = readSingleRecord(Folder, IdentityFileName);
  if (!Body)
    return tl::unexpected(Body.error());
  ArrayReader Reader(*Body);
  const std::uint64_t Version = Reader.readUnsigned();
  Identity Id;
  Id.Cluster = Reader.readString();
  Id.Host = Reader.readString();
  Id.StorageId = Reader.readString();
  if (!Reader.complete() || Version != FormatVersion || Id.StorageId.empty())
    return corrupt(IdentityFileName,
                   "unsupported format version or malformed fields");
  return Id;
}

Json baseRecord(const EntryLog &Log) {
  return Json::array({Log.BaseIndex, Log.BaseTerm});
}

template <typename Range>
Json stateRecord(const HardState &Hard, const Range &Entries) {
  Json Array = Json::array();
  for (const LogEntry &Entry : Entries)
    Array.push_back(detail::toJson(Entry));
  return Json::array({Hard.Current, Hard.VotedFor.Host, Hard.VotedFor.StorageId,
                      std::move(Array)});
}

/// \returns the content of a new log file with the given state.
Bytes logFile(const HardState &Hard, const EntryLog &Log) {
  Bytes File;
  detail::appendRecord(File, 0, 0, Json::to_cbor(baseRecord(Log)));
  detail::appendRecord(File, 0, 0,
                       Json::to_cbor(stateRecord(Hard, Log.Entries)));
  return File;
}

/// Appends \p Entry to \p Log. It replaces any entry with the same index and
/// all entries after that. \returns false if \p Entry is invalid.
bool replayEntry(EntryLog &Log, LogEntry Entry) {
  if (Entry.Index <= Log.BaseIndex || Entry.Index > lastIndex(Log) + 1)
    return false;
  truncateAfter(Log, Entry.Index - 1);
  if (Entry.InTerm < lastTerm(Log))
    return false;
  if (Entry.Kind == EntryKind::Membership && !decodeMembers(Entry.Payload))
    return false;
  Log.Entries.push_back(std::move(Entry));
  return true;
}

bool replayState(StoredState &State, const Bytes &Body) {
  const auto Record = detail::decodeCbor(Body);
  if (!Record)
    return false;
  ArrayReader Reader(*Record);
  HardState Hard;
  Hard.Current = Reader.readUnsigned();
  Hard.VotedFor.Host = Reader.readString();
  Hard.VotedFor.StorageId = Reader.readString();
  for (const Json &Element : Reader.readArray()) {
    auto Entry = detail::parseEntry(Element);
    if (!Entry || !replayEntry(State.Log, std::move(*Entry)))
      return false;
  }
  const bool Valid = Reader.complete() && Hard.Current <= MaxIndexOrTerm &&
                     Hard.Current >= State.Hard.Current &&
                     lastTerm(State.Log) <= Hard.Current;
  State.Hard = Hard;
  return Valid;
}

bool replayBase(EntryLog &Log, const Bytes &Body) {
  const auto Record = detail::decodeCbor(Body);
  if (!Record)
    return false;
  ArrayReader Reader(*Record);
  Log.BaseIndex = Reader.readUnsigned();
  Log.BaseTerm = Reader.readUnsigned();
  return Reader.complete() && Log.BaseIndex < MaxIndexOrTerm &&
         Log.BaseTerm <= MaxIndexOrTerm;
}

Expected<StoredState> replayLog(const std::vector<Bytes> &Bodies) {
  StoredState State;
  if (Bodies.size() < 2 || !replayBase(State.Log, Bodies.front()))
    return corrupt(LogFileName,
                   "expected a base record and at least one state record");
  for (std::size_t I = 1; I < Bodies.size(); ++I) {
    if (!replayState(State, Bodies[I]))
      return corrupt(
          LogFileName,
          "record is malformed or inconsistent with the records before it");
  }
  return State;
}

Json toJson(const Snapshot &Latest) {
  return Json::array({Latest.Index, Latest.InTerm,
                      detail::toJson(Latest.Members),
                      Json::binary(Latest.State)});
}

Expected<std::shared_ptr<const Snapshot>> readSnapshot(DataFolder &Folder) {
  const auto Body = readSingleRecord(Folder, SnapshotFileName);
  if (!Body)
    return tl::unexpected(Body.error());
  ArrayReader Reader(*Body);
  auto Latest = std::make_shared<Snapshot>();
  Latest->Index = Reader.readUnsigned();
  Latest->InTerm = Reader.readUnsigned();
  auto Members = detail::parseMembers(Reader.readArray());
  Latest->State = Reader.readBytes();
  const bool InRange = Latest->Index > 0 && Latest->Index < MaxIndexOrTerm &&
                       Latest->InTerm <= MaxIndexOrTerm;
  if (!Reader.complete() || !Members || !InRange)
    return corrupt(SnapshotFileName, "malformed fields");
  Latest->Members = std::move(*Members);
  return Latest;
}

bool contains(const std::vector<std::string> &Names, const std::string &Name) {
  return std::find(Names.begin(), Names.end(), Name) != Names.end();
}

/// \returns whether \p Log contains the last entry covered by \p Latest, so
/// that its later entries continue from the snapshot.
bool logContinues(const EntryLog &Log, const Snapshot &Latest) {
  return containsIndex(Log, Latest.Index) &&
         termAt(Log, Latest.Index) == Latest.InTerm;
}

} // namespace

Expected<std::unique_ptr<LogStore>>
LogStore::open(std::unique_ptr<DataFolder> Folder,
               const LogStoreOptions &Options) {
  std::unique_ptr<LogStore> Store(new LogStore(std::move(Folder)));
  const auto Names = Store->Folder->list();
  if (!Names)
    return tl::unexpected(Names.error());
  if (!contains(*Names, IdentityFileName)) {
    if (contains(*Names, SnapshotFileName))
      return corrupt(IdentityFileName,
                     "file is missing although a snapshot exists");
    const auto Created = Store->createContent(Options);
    if (!Created)
      return tl::unexpected(Created.error());
    return Store;
  }
  const auto Id = readIdentity(*Store->Folder);
  if (!Id)
    return tl::unexpected(Id.error());
  if (Id->Cluster != Options.Cluster || Id->Host != Options.Host)
    return fail(ErrorCode::StorageWrongCluster,
                "the data folder belongs to host " + Id->Host + " of cluster " +
                    Id->Cluster + ", not to host " + Options.Host +
                    " of cluster " + Options.Cluster);
  if (!Options.InitialMembers.empty())
    return fail(
        ErrorCode::StorageAlreadyInitialized,
        "the data folder is already initialized; bootstrap requires a new one");
  if (!contains(*Names, LogFileName))
    return corrupt(LogFileName, "file is missing");
  Store->StorageId = Id->StorageId;
  return Store;
}

Expected<void> LogStore::createContent(const LogStoreOptions &Options) {
  HardState Hard;
  EntryLog Log;
  if (!Options.InitialMembers.empty()) {
    Hard.Current = BootstrapTerm;
    Log.Entries.push_back({1, BootstrapTerm, EntryKind::Membership,
                           encodeMembers(Options.InitialMembers)});
  }
  StorageId = Options.StorageId;
  auto Written = rewriteLog(Hard, Log);
  if (!Written)
    return Written;
  return replaceFile(IdentityFileName,
                     singleRecordFile(toJson(
                         Identity{Options.Cluster, Options.Host, StorageId})));
}

Expected<StoredState> LogStore::load() {
  const auto Names = Folder->list();
  if (!Names)
    return tl::unexpected(Names.error());
  const auto File = Folder->read(LogFileName);
  if (!File)
    return tl::unexpected(File.error());
  const auto Scan = detail::scanRecords(*File, LogFileName);
  if (!Scan)
    return tl::unexpected(Scan.error());
  auto State = replayLog(Scan->Bodies);
  if (!State)
    return State;
  State->StorageId = StorageId;
  if (Scan->IntactBytes < File->size()) {
    const auto Truncated = Folder->truncate(LogFileName, Scan->IntactBytes);
    if (!Truncated)
      return tl::unexpected(Truncated.error());
  }
  Size = Scan->IntactBytes;
  // After a crash of the process, the data just read may only be in the page
  // cache. It must be durable before this host sends replies based on it.
  const auto Synced = Folder->sync(LogFileName);
  if (!Synced)
    return tl::unexpected(Synced.error());
  SyncedSize = Size;
  if (!contains(*Names, SnapshotFileName)) {
    if (State->Log.BaseIndex > 0)
      return corrupt(
          SnapshotFileName,
          "file is missing although the log doesn't start at index 1");
    return State;
  }
  const auto Latest = readSnapshot(*Folder);
  if (!Latest)
    return tl::unexpected(Latest.error());
  State->LatestSnapshot = *Latest;
  SnapshotIndex = (*Latest)->Index;
  SnapshotTerm = (*Latest)->InTerm;
  if (State->Log.BaseIndex > SnapshotIndex)
    return corrupt(SnapshotFileName,
                   "snapshot is older than the start of the log");
  // A crash between the two steps of saveSnapshot() leaves a log that is
  // superseded by the snapshot.
  LogSuperseded = !logContinues(State->Log, **Latest);
  if (LogSuperseded)
    State->Log = EntryLog{SnapshotIndex, SnapshotTerm, {}};
  // After such a crash, the term of the snapshot may not have been written to
  // the log yet. This host hasn't voted in that term.
  if (State->Hard.Current < SnapshotTerm)
    State->Hard = HardState{SnapshotTerm, {}};
  return State;
}

Expected<void> LogStore::append(const HardState &Hard,
                                const std::vector<LogEntry> &Entries) {
  if (Unusable)
    return fail(ErrorCode::StorageUnavailable,
                "writes are disabled because an earlier write failed");
  if (LogSuperseded) {
    auto Written = rewriteLog(Hard, EntryLog{SnapshotIndex, SnapshotTerm, {}});
    if (!Written)
      return Written;
    LogSuperseded = false;
  }
  Bytes Record;
  detail::appendRecord(Record, Size, SyncedSize,
                       Json::to_cbor(stateRecord(Hard, Entries)));
  auto Written = Folder->append(LogFileName, Record);
  if (!Written)
    return rollBackTo(Size, Written.error());
  Size += Record.size();
  return {};
}

Expected<void> LogStore::sync() {
  if (Unusable)
    return fail(ErrorCode::StorageUnavailable,
                "writes are disabled because an earlier write failed");
  if (SyncedSize == Size)
    return {};
  const auto Synced = Folder->sync(LogFileName);
  if (!Synced)
    return rollBackTo(SyncedSize, Synced.error());
  SyncedSize = Size;
  return {};
}

Expected<void> LogStore::saveSnapshot(const Snapshot &Latest,
                                      const HardState &Hard,
                                      const EntryLog &RetainedLog) {
  if (Unusable)
    return fail(ErrorCode::StorageUnavailable,
                "writes are disabled because an earlier write failed");
  auto Saved = replaceFile(SnapshotFileName, singleRecordFile(toJson(Latest)));
  if (!Saved)
    return Saved;
  SnapshotIndex = Latest.Index;
  SnapshotTerm = Latest.InTerm;
  auto Written = rewriteLog(Hard, RetainedLog);
  if (Written)
    LogSuperseded = false;
  return Written;
}

/// Writes a temporary file, syncs it, renames it to \p Name and syncs the
/// folder. If a step before the rename fails, the old file is unchanged.
Expected<void> LogStore::replaceFile(const std::string &Name,
                                     const Bytes &Content) {
  const std::string Temporary = Name + TemporarySuffix;
  auto Written = Folder->create(Temporary, Content);
  if (Written)
    Written = Folder->sync(Temporary);
  if (!Written) {
    // A remaining temporary file is harmless: the next attempt overwrites it.
    (void)Folder->remove(Temporary);
    return Written;
  }
  auto Renamed = Folder->rename(Temporary, Name);
  if (!Renamed)
    return Renamed.error().Code == ErrorCode::StorageFull
               ? Renamed
               : markUnusable(Renamed.error());
  const auto Synced = Folder->syncFolder();
  if (!Synced)
    return markUnusable(Synced.error());
  return {};
}

Expected<void> LogStore::rewriteLog(const HardState &Hard,
                                    const EntryLog &Log) {
  const Bytes File = logFile(Hard, Log);
  auto Written = replaceFile(LogFileName, File);
  if (!Written)
    return Written;
  Size = File.size();
  SyncedSize = Size;
  return {};
}

/// Truncates the log file to \p Target bytes after a failed write. \returns
/// \p Cause, or StorageUnavailable if that isn't possible.
Expected<void> LogStore::rollBackTo(std::uint64_t Target, const Error &Cause) {
  if (Cause.Code != ErrorCode::StorageFull)
    return markUnusable(Cause);
  const auto Truncated = Folder->truncate(LogFileName, Target);
  if (!Truncated)
    return markUnusable(Truncated.error());
  Size = Target;
  return tl::unexpected(Cause);
}

/// Rejects all further writes. After a failed sync the kernel may have dropped
/// the data, so that a later sync would succeed without it.
Expected<void> LogStore::markUnusable(const Error &Cause) {
  Unusable = true;
  return fail(ErrorCode::StorageUnavailable, Cause.Detail);
}

} // namespace jasminearch::consensus
