#include "jasminearch/consensus/replicated_log.h"
#include "jasminearch/consensus/log_store.h"
#include "jasminearch/consensus/messages.h"
#include "jasminearch/consensus/node.h"
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <random>
#include <utility>
#include <xxhash.h>

namespace jasminearch::consensus {

namespace {

/// Largest number of entries retained before a snapshot, so that a peer that is
/// slightly behind doesn't need the snapshot.
constexpr LogIndex MaxRetainedEntries = 1024;

std::uint64_t randomNumber() {
  constexpr unsigned HalfBits = 32;
  std::random_device Source;
  return (std::uint64_t{Source()} << HalfBits) | Source();
}

std::string storageIdFrom(std::uint64_t Number) {
  return absl::StrCat(absl::Hex(Number, absl::kZeroPad16));
}

std::uint64_t hashOf(const std::string &Text) {
  return XXH3_64bits(Text.data(), Text.size());
}

/// \returns the initial members, sorted so that the list is the same on every
/// host regardless of the order in its settings.
std::vector<Member> initialMembers(const ReplicatedLogOptions &Options) {
  std::vector<Member> Members;
  const auto &Voters =
      Options.InitialVoters.empty() ? Options.Hosts : Options.InitialVoters;
  Members.reserve(Voters.size());
  for (const std::string &Host : Voters)
    Members.push_back({Host, bootstrapStorageId(Options.Cluster, Host), true});
  std::sort(Members.begin(), Members.end(),
            [](const Member &A, const Member &B) { return A.Host < B.Host; });
  return Members;
}

LogStoreOptions storeOptions(const ReplicatedLogOptions &Options) {
  LogStoreOptions Store;
  Store.Cluster = Options.Cluster;
  Store.Host = Options.Host;
  Store.StorageId = Options.Bootstrap
                        ? bootstrapStorageId(Options.Cluster, Options.Host)
                        : storageIdFrom(randomNumber());
  if (Options.Bootstrap)
    Store.InitialMembers = initialMembers(Options);
  return Store;
}

NodeOptions nodeOptions(const ReplicatedLogOptions &Options,
                        const std::string &StorageId) {
  constexpr std::int64_t MaxOffset = std::int64_t{1} << 60U;
  NodeOptions Node;
  Node.Host = Options.Host;
  Node.StorageId = StorageId;
  Node.Hosts = Options.Hosts;
  Node.MaxVoters = Options.MaxVoters;
  // Hosts with the same seed must have different election timeouts.
  Node.Seed = Options.Seed ^ hashOf(Options.Host);
  Node.TimestampOffset = static_cast<std::int64_t>(randomNumber() % MaxOffset);
  return Node;
}

/// Connects the consensus algorithm, the log store and the user's callbacks.
class DurableReplicatedLog final : public ReplicatedLog {
public:
  DurableReplicatedLog(ReplicatedLogOptions Options, const Clock &Time,
                       ReplicatedLogHandlers Handlers,
                       std::unique_ptr<LogStore> Store, NodeState Node)
      : Options(std::move(Options)), Time(Time), Handlers(std::move(Handlers)),
        Store(std::move(Store)), Node(std::move(Node)) {}

  /// Restores the application state from the latest snapshot, if any.
  Expected<void> restore() {
    if (!Node.LatestSnapshot)
      return {};
    LastApplied = Node.LatestSnapshot->Index;
    return Handlers.RestoreState(Revision{LastApplied},
                                 Node.LatestSnapshot->State);
  }

  void tick() override {
    flush();
    if (!Halted)
      execute(consensus::tick(Node, Time.now()));
  }

  void flush() override {
    if (!Halted && ProposalsPending)
      execute(replicate(Node, Time.now()));
  }

  void receive(const std::string &Host, const Bytes &Encoded) override {
    const auto Received = decodeMessage(Encoded);
    if (!Halted && Received)
      execute(consensus::receive(Node, Host, *Received, Time.now()));
  }

  Expected<Revision> propose(Bytes Payload) override {
    if (Halted)
      return fail(ErrorCode::StorageUnavailable,
                  "the log is halted because an earlier write failed");
    auto Entry = prepareProposal(Node, std::move(Payload), Time.now());
    if (!Entry)
      return tl::unexpected(Entry.error());
    auto Written = Store->append(Node.Hard, {*Entry});
    if (!Written) {
      if (Written.error().Code != ErrorCode::StorageFull)
        halt(Written.error());
      return tl::unexpected(Written.error());
    }
    const Revision Proposed{Entry->Index};
    appendProposal(Node, std::move(*Entry));
    ProposalsPending = true;
    return Proposed;
  }

  bool leaseHeld() const override {
    return !Halted && Leading && consensus::leaseHeld(Node, Time.now());
  }

  std::optional<std::string> leader() const override {
    if (Halted || Node.Leader.empty())
      return std::nullopt;
    return Node.Leader;
  }

  Duration quorumAge() const override {
    return consensus::quorumAge(Node, Time.now());
  }

  void stepDown() override {
    if (!Halted)
      execute(consensus::stepDown(Node, Time.now()));
  }

  void setHosts(std::vector<std::string> Hosts) override {
    Node.Options.Hosts = std::move(Hosts);
  }

  Revision committed() const override { return Revision{LastApplied}; }

  std::vector<Member> members() const override {
    return membersAt(Node, LastApplied);
  }

private:
  void execute(const Effects &Step) {
    const bool Writes = Step.SnapshotToInstall || Step.WriteHardState ||
                        Step.WriteEntriesFrom.has_value();
    // A message must not be sent before all entries that it may refer to are
    // durable.
    if (Writes || !Step.Messages.empty() || !ProposalsPending) {
      auto Written = write(Step);
      if (!Written)
        return handleWriteFailure(Written.error());
      ProposalsPending = false;
      markSynced(Node);
    }
    for (const OutgoingMessage &Message : Step.Messages)
      Handlers.SendToPeer(Message.Host, encode(Message.Content));
    applyAndNotify();
  }

  Expected<void> write(const Effects &Step) {
    if (Step.SnapshotToInstall)
      return Store->saveSnapshot(*Step.SnapshotToInstall, Node.Hard, Node.Log);
    if (Step.WriteHardState || Step.WriteEntriesFrom) {
      std::vector<LogEntry> Entries;
      const LogIndex Last = lastIndex(Node.Log);
      for (LogIndex Index = Step.WriteEntriesFrom.value_or(Last + 1);
           Index <= Last; ++Index)
        Entries.push_back(entryAt(Node.Log, Index));
      auto Written = Store->append(Node.Hard, Entries);
      if (!Written)
        return Written;
    }
    return Store->sync();
  }

  /// Reverts to the state on disk after a failed write, as if the step hadn't
  /// happened.
  void handleWriteFailure(const Error &Failure) {
    if (Failure.Code != ErrorCode::StorageFull)
      return halt(Failure);
    auto Stored = Store->load();
    if (!Stored)
      return halt(Stored.error());
    recover(Node, std::move(*Stored), Time.now());
    ProposalsPending = false;
    if (Handlers.StorageFailed)
      Handlers.StorageFailed(Failure);
    applyAndNotify();
  }

  void halt(const Error &Failure) {
    Halted = true;
    setLeading(false);
    if (Handlers.StorageFailed)
      Handlers.StorageFailed(Failure);
  }

  void setLeading(bool Value) {
    if (std::exchange(Leading, Value) != Value)
      Handlers.LeadershipChanged(Value);
  }

  /// Reports changes to the user: first loss of leadership, then committed
  /// entries, then leadership once all entries of earlier leaders are applied.
  /// Finally takes a snapshot if one is due.
  void applyAndNotify() {
    if (Node.CurrentRole != Role::Leader || LeadingTerm != Node.Hard.Current)
      setLeading(false);
    applyCommitted();
    if (Halted)
      return;
    if (Node.CurrentRole == Role::Leader &&
        Node.CommitIndex >= Node.TermStartIndex) {
      LeadingTerm = Node.Hard.Current;
      setLeading(true);
    }
    takeSnapshot();
  }

  void applyCommitted() {
    if (LastApplied < Node.Log.BaseIndex) {
      const auto Restored = restore();
      if (!Restored)
        return halt(Restored.error());
    }
    while (LastApplied < Node.CommitIndex) {
      const LogEntry &Entry = entryAt(Node.Log, ++LastApplied);
      if (Entry.Kind == EntryKind::Data)
        Handlers.Committed(Revision{Entry.Index}, Entry.Payload);
    }
  }

  void takeSnapshot() {
    const LogIndex LastSnapshotIndex =
        Node.LatestSnapshot ? Node.LatestSnapshot->Index : 0;
    if (LastApplied < std::max(LastSnapshotIndex + Options.EntriesPerSnapshot,
                               SnapshotRetryIndex))
      return;
    auto Latest = std::make_shared<Snapshot>();
    Latest->Index = LastApplied;
    Latest->InTerm = termAt(Node.Log, LastApplied);
    Latest->Members = membersAt(Node, LastApplied);
    Latest->State = Handlers.CaptureState();
    const LogIndex RetainedCount =
        std::min(MaxRetainedEntries, Options.EntriesPerSnapshot);
    EntryLog RetainedLog = Node.Log;
    const LogIndex LastDiscarded =
        LastApplied > RetainedCount ? LastApplied - RetainedCount : 0;
    discardThrough(RetainedLog, std::max(LastDiscarded, RetainedLog.BaseIndex));
    auto Saved = Store->saveSnapshot(*Latest, Node.Hard, RetainedLog);
    if (Saved)
      return compact(Node, std::move(Latest), RetainedCount);
    if (Saved.error().Code != ErrorCode::StorageFull)
      return halt(Saved.error());
    // Continue without a new snapshot and retry after more entries.
    SnapshotRetryIndex = LastApplied + std::max<LogIndex>(RetainedCount, 1);
    if (Handlers.StorageFailed)
      Handlers.StorageFailed(Saved.error());
  }

  ReplicatedLogOptions Options;
  const Clock &Time;
  ReplicatedLogHandlers Handlers;
  std::unique_ptr<LogStore> Store;
  NodeState Node;
  LogIndex LastApplied = 0;
  LogIndex SnapshotRetryIndex = 0;
  /// Whether proposals have been written but not yet synced.
  bool ProposalsPending = false;
  /// Leadership as last reported to the user, and the term of the last
  /// leadership.
  bool Leading = false;
  Term LeadingTerm = 0;
  bool Halted = false;
};

} // namespace

std::string bootstrapStorageId(const std::string &Cluster,
                               const std::string &Host) {
  return storageIdFrom(hashOf(Cluster + '\0' + Host));
}

Expected<std::unique_ptr<ReplicatedLog>>
openReplicatedLog(std::unique_ptr<DataFolder> Folder,
                  ReplicatedLogOptions Options, const Clock &Time,
                  ReplicatedLogHandlers Handlers) {
  const auto &Hosts = Options.Hosts;
  if (std::find(Hosts.begin(), Hosts.end(), Options.Host) == Hosts.end())
    return fail(ErrorCode::InvalidArgument,
                "host " + Options.Host +
                    " is not in the list of control hosts");
  auto Store = LogStore::open(std::move(Folder), storeOptions(Options));
  if (!Store)
    return tl::unexpected(Store.error());
  auto Stored = (*Store)->load();
  if (!Stored)
    return tl::unexpected(Stored.error());
  NodeOptions ForNode = nodeOptions(Options, Stored->StorageId);
  auto Log = std::make_unique<DurableReplicatedLog>(
      std::move(Options), Time, std::move(Handlers), std::move(*Store),
      makeNode(std::move(ForNode), std::move(*Stored), Time.now()));
  const auto Restored = Log->restore();
  if (!Restored)
    return tl::unexpected(Restored.error());
  return Log;
}

Expected<std::unique_ptr<ReplicatedLog>>
openReplicatedLog(ReplicatedLogOptions Options, const Clock &Time,
                  ReplicatedLogHandlers Handlers) {
  auto Folder = openDataFolder(Options.DataFolder);
  if (!Folder)
    return tl::unexpected(Folder.error());
  return openReplicatedLog(std::move(*Folder), std::move(Options), Time,
                           std::move(Handlers));
}

} // namespace jasminearch::consensus
