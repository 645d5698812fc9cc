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

const std::string IdentityName = "identity";
const std::string LogName = "log";
const std::string SnapshotName = "snapshot";
const std::string TemporarySuffix = ".new";

/// Changes when the disk format does.
constexpr unsigned FormatVersion = 1;

/// Term in which bootstrap writes the first members, on every host alike.
constexpr Term BootstrapTerm = 1;

tl::unexpected<Error> corrupt(const std::string &Name, const char *What) {
  return fail(ErrorCode::StorageCorrupt, Name + ": " + What);
}

/// \returns a file of one record.
Bytes singleRecord(const Json &Body) {
  Bytes File;
  detail::appendRecord(File, 0, 0, Json::to_cbor(Body));
  return File;
}

/// Reads a file of one record; such files are synced before they get their
/// name, so any damage is corruption.
Expected<Json> readSingleRecord(DataFolder &Folder, const std::string &Name) {
  const auto File = Folder.read(Name);
  if (!File)
    return tl::unexpected(File.error());
  const auto Scan = detail::scanRecords(*File, Name);
  if (!Scan)
    return tl::unexpected(Scan.error());
  if (Scan->Bodies.size() != 1 || Scan->GoodBytes != File->size())
    return corrupt(Name, "not one whole record");
  auto Body = detail::decodeCbor(Scan->Bodies.front());
  if (!Body)
    return corrupt(Name, "record is not CBOR");
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
  const auto Body = readSingleRecord(Folder, IdentityName);
  if (!Body)
    return tl::unexpected(Body.error());
  ArrayReader Reader(*Body);
  const std::uint64_t Version = Reader.number();
  Identity Id;
  Id.Cluster = Reader.text();
  Id.Host = Reader.text();
  Id.StorageId = Reader.text();
  if (!Reader.complete() || Version != FormatVersion || Id.StorageId.empty())
    return corrupt(IdentityName, "unknown content");
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

/// \returns the content of a log file without damage.
Bytes logFile(const HardState &Hard, const EntryLog &Log) {
  Bytes File;
  detail::appendRecord(File, 0, 0, Json::to_cbor(baseRecord(Log)));
  detail::appendRecord(File, 0, 0,
                       Json::to_cbor(stateRecord(Hard, Log.Entries)));
  return File;
}

/// Adds \p Entry, in place of any with its index and all after.
bool replay(EntryLog &Log, LogEntry Entry) {
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
  Hard.Current = Reader.number();
  Hard.VotedFor.Host = Reader.text();
  Hard.VotedFor.StorageId = Reader.text();
  for (const Json &Element : Reader.array()) {
    auto Entry = detail::entryFrom(Element);
    if (!Entry || !replay(State.Log, std::move(*Entry)))
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
  Log.BaseIndex = Reader.number();
  Log.BaseTerm = Reader.number();
  return Reader.complete() && Log.BaseIndex < MaxIndexOrTerm &&
         Log.BaseTerm <= MaxIndexOrTerm;
}

Expected<StoredState> replayLog(const std::vector<Bytes> &Bodies) {
  StoredState State;
  if (Bodies.size() < 2 || !replayBase(State.Log, Bodies.front()))
    return corrupt(LogName, "no base");
  for (std::size_t At = 1; At < Bodies.size(); ++At) {
    if (!replayState(State, Bodies[At]))
      return corrupt(LogName, "record doesn't follow from those before it");
  }
  return State;
}

Json toJson(const Snapshot &Latest) {
  return Json::array({Latest.Index, Latest.InTerm,
                      detail::toJson(Latest.Members),
                      Json::binary(Latest.State)});
}

Expected<std::shared_ptr<const Snapshot>> readSnapshot(DataFolder &Folder) {
  const auto Body = readSingleRecord(Folder, SnapshotName);
  if (!Body)
    return tl::unexpected(Body.error());
  ArrayReader Reader(*Body);
  auto Latest = std::make_shared<Snapshot>();
  Latest->Index = Reader.number();
  Latest->InTerm = Reader.number();
  auto Members = detail::membersFrom(Reader.array());
  Latest->State = Reader.bytes();
  const bool InRange = Latest->Index > 0 && Latest->Index < MaxIndexOrTerm &&
                       Latest->InTerm <= MaxIndexOrTerm;
  if (!Reader.complete() || !Members || !InRange)
    return corrupt(SnapshotName, "unknown content");
  Latest->Members = std::move(*Members);
  return Latest;
}

bool contains(const std::vector<std::string> &Names, const std::string &Name) {
  return std::find(Names.begin(), Names.end(), Name) != Names.end();
}

/// \returns whether the log has entries that belong after \p Latest.
bool continues(const EntryLog &Log, const Snapshot &Latest) {
  return holds(Log, Latest.Index) && termAt(Log, Latest.Index) == Latest.InTerm;
}

} // namespace

Expected<std::unique_ptr<LogStore>>
LogStore::open(std::unique_ptr<DataFolder> Folder,
               const LogStoreOptions &Options) {
  std::unique_ptr<LogStore> Store(new LogStore(std::move(Folder)));
  const auto Names = Store->Folder->list();
  if (!Names)
    return tl::unexpected(Names.error());
  if (!contains(*Names, IdentityName)) {
    if (contains(*Names, SnapshotName))
      return corrupt(IdentityName, "missing although there is a snapshot");
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
                "the folder belongs to host " + Id->Host + " of cluster " +
                    Id->Cluster + ", not to host " + Options.Host +
                    " of cluster " + Options.Cluster);
  if (!Options.InitialMembers.empty())
    return fail(ErrorCode::StorageAlreadyInitialized,
                "the folder is in use; bootstrap only creates new ones");
  if (!contains(*Names, LogName))
    return corrupt(LogName, "missing");
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
  return replaceFile(
      IdentityName,
      singleRecord(toJson(Identity{Options.Cluster, Options.Host, StorageId})));
}

Expected<StoredState> LogStore::load() {
  const auto Names = Folder->list();
  if (!Names)
    return tl::unexpected(Names.error());
  const auto File = Folder->read(LogName);
  if (!File)
    return tl::unexpected(File.error());
  const auto Scan = detail::scanRecords(*File, LogName);
  if (!Scan)
    return tl::unexpected(Scan.error());
  auto State = replayLog(Scan->Bodies);
  if (!State)
    return State;
  State->StorageId = StorageId;
  if (Scan->GoodBytes < File->size()) {
    const auto Cut = Folder->truncate(LogName, Scan->GoodBytes);
    if (!Cut)
      return tl::unexpected(Cut.error());
  }
  Size = Scan->GoodBytes;
  // What was read may still be only in the cache after a crash of the process;
  // it must be durable before anything is answered on its strength.
  const auto Durable = Folder->sync(LogName);
  if (!Durable)
    return tl::unexpected(Durable.error());
  SyncedSize = Size;
  if (!contains(*Names, SnapshotName)) {
    if (State->Log.BaseIndex > 0)
      return corrupt(SnapshotName, "missing although the log starts after it");
    return State;
  }
  const auto Latest = readSnapshot(*Folder);
  if (!Latest)
    return tl::unexpected(Latest.error());
  State->LatestSnapshot = *Latest;
  SnapshotIndex = (*Latest)->Index;
  SnapshotTerm = (*Latest)->InTerm;
  if (State->Log.BaseIndex > SnapshotIndex)
    return corrupt(SnapshotName, "older than the start of the log");
  // A crash between the two steps of saveSnapshot() leaves a log that the
  // snapshot replaces.
  LogSuperseded = !continues(State->Log, **Latest);
  if (LogSuperseded)
    State->Log = EntryLog{SnapshotIndex, SnapshotTerm, {}};
  // The snapshot may be from a term that was to be written with the log. No
  // vote was given in it.
  if (State->Hard.Current < SnapshotTerm)
    State->Hard = HardState{SnapshotTerm, {}};
  return State;
}

Expected<void> LogStore::append(const HardState &Hard,
                                const std::vector<LogEntry> &Entries) {
  if (Broken)
    return fail(ErrorCode::StorageUnavailable, "an earlier write failed");
  if (LogSuperseded) {
    auto Written = rewriteLog(Hard, EntryLog{SnapshotIndex, SnapshotTerm, {}});
    if (!Written)
      return Written;
    LogSuperseded = false;
  }
  Bytes Record;
  detail::appendRecord(Record, Size, SyncedSize,
                       Json::to_cbor(stateRecord(Hard, Entries)));
  auto Written = Folder->append(LogName, Record);
  if (!Written)
    return undoTo(Size, Written.error());
  Size += Record.size();
  return {};
}

Expected<void> LogStore::sync() {
  if (Broken)
    return fail(ErrorCode::StorageUnavailable, "an earlier write failed");
  if (SyncedSize == Size)
    return {};
  const auto Done = Folder->sync(LogName);
  if (!Done)
    return undoTo(SyncedSize, Done.error());
  SyncedSize = Size;
  return {};
}

Expected<void> LogStore::saveSnapshot(const Snapshot &Latest,
                                      const HardState &Hard,
                                      const EntryLog &Rest) {
  if (Broken)
    return fail(ErrorCode::StorageUnavailable, "an earlier write failed");
  auto Saved = replaceFile(SnapshotName, singleRecord(toJson(Latest)));
  if (!Saved)
    return Saved;
  SnapshotIndex = Latest.Index;
  SnapshotTerm = Latest.InTerm;
  auto Written = rewriteLog(Hard, Rest);
  if (Written)
    LogSuperseded = false;
  return Written;
}

/// Writes a file under another name, syncs it, renames it and syncs the folder.
/// Until the rename a failure leaves everything as it was.
Expected<void> LogStore::replaceFile(const std::string &Name,
                                     const Bytes &Content) {
  const std::string Temporary = Name + TemporarySuffix;
  auto Written = Folder->create(Temporary, Content);
  if (Written)
    Written = Folder->sync(Temporary);
  if (!Written) {
    // The leftover does no harm: the next attempt replaces it.
    (void)Folder->remove(Temporary);
    return Written;
  }
  auto Renamed = Folder->rename(Temporary, Name);
  if (!Renamed)
    return Renamed.error().Code == ErrorCode::StorageFull
               ? Renamed
               : markBroken(Renamed.error());
  const auto Synced = Folder->syncFolder();
  if (!Synced)
    return markBroken(Synced.error());
  return {};
}

Expected<void> LogStore::rewriteLog(const HardState &Hard,
                                    const EntryLog &Log) {
  const Bytes File = logFile(Hard, Log);
  auto Written = replaceFile(LogName, File);
  if (!Written)
    return Written;
  Size = File.size();
  SyncedSize = Size;
  return {};
}

/// Removes what a failed write left after \p Target and passes the cause on.
Expected<void> LogStore::undoTo(std::uint64_t Target, const Error &Cause) {
  if (Cause.Code != ErrorCode::StorageFull)
    return markBroken(Cause);
  const auto Cut = Folder->truncate(LogName, Target);
  if (!Cut)
    return markBroken(Cut.error());
  Size = Target;
  return tl::unexpected(Cause);
}

/// After a failed sync the kernel may have dropped the data, so that a later
/// sync succeeds without it. Nothing is written from here on.
Expected<void> LogStore::markBroken(const Error &Cause) {
  Broken = true;
  return fail(ErrorCode::StorageUnavailable, Cause.Detail);
}

} // namespace jasminearch::consensus
