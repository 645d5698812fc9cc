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

/// Most entries kept before a snapshot, so that a peer that is a little behind
/// doesn't need the snapshot.
constexpr LogIndex MaxKeptEntries = 1024;

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

/// The same on every host, whatever the order of its settings.
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
  // Hosts with one seed must not have the same election timeouts.
  Node.Seed = Options.Seed ^ hashOf(Options.Host);
  Node.StampOffset = static_cast<std::int64_t>(randomNumber() % MaxOffset);
  return Node;
}

/// Joins the decisions, the disk and the user.
class ReplicatedLogOverStore final : public ReplicatedLog {
public:
  ReplicatedLogOverStore(ReplicatedLogOptions Options, const Clock &Time,
                         ReplicatedLogHandlers Handlers,
                         std::unique_ptr<LogStore> Store, NodeState Node)
      : Options(std::move(Options)), Time(Time), Handlers(std::move(Handlers)),
        Store(std::move(Store)), Node(std::move(Node)) {}

  /// Hands the snapshot on disk to the user.
  Expected<void> restore() {
    if (!Node.LatestSnapshot)
      return {};
    Applied = Node.LatestSnapshot->Index;
    return Handlers.RestoreState(Revision{Applied}, Node.LatestSnapshot->State);
  }

  void tick() override {
    flush();
    if (!Halted)
      carryOut(consensus::tick(Node, Time.now()));
  }

  void flush() override {
    if (!Halted && ProposalsPending)
      carryOut(replicate(Node, Time.now()));
  }

  void receive(const std::string &Host, const Bytes &Encoded) override {
    const auto Received = decodeMessage(Encoded);
    if (!Halted && Received)
      carryOut(consensus::receive(Node, Host, *Received, Time.now()));
  }

  Expected<Revision> propose(Bytes Payload) override {
    if (Halted)
      return fail(ErrorCode::StorageUnavailable, "an earlier write failed");
    auto Entry = prepareProposal(Node, std::move(Payload), Time.now());
    if (!Entry)
      return tl::unexpected(Entry.error());
    auto Written = Store->append(Node.Hard, {*Entry});
    if (!Written) {
      if (Written.error().Code != ErrorCode::StorageFull)
        halt(Written.error());
      return tl::unexpected(Written.error());
    }
    const Revision At{Entry->Index};
    acceptProposal(Node, std::move(*Entry));
    ProposalsPending = true;
    return At;
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
      carryOut(consensus::stepDown(Node, Time.now()));
  }

  void setHosts(std::vector<std::string> Hosts) override {
    Node.Options.Hosts = std::move(Hosts);
  }

  Revision committed() const override { return Revision{Applied}; }

  std::vector<Member> members() const override {
    return membersAt(Node, Applied);
  }

private:
  void carryOut(const Effects &Step) {
    const bool Writes =
        Step.Install || Step.WriteHardState || Step.WriteFrom.has_value();
    // Nothing leaves this host that could tell of an entry that isn't durable.
    if (Writes || !Step.Messages.empty() || !ProposalsPending) {
      auto Written = write(Step);
      if (!Written)
        return writeFailed(Written.error());
      ProposalsPending = false;
      markSynced(Node);
    }
    for (const Outgoing &Message : Step.Messages)
      Handlers.SendToPeer(Message.Host, encode(Message.Content));
    settle();
  }

  Expected<void> write(const Effects &Step) {
    if (Step.Install)
      return Store->saveSnapshot(*Step.Install, Node.Hard, Node.Log);
    if (Step.WriteHardState || Step.WriteFrom) {
      std::vector<LogEntry> Entries;
      const LogIndex Last = lastIndex(Node.Log);
      for (LogIndex At = Step.WriteFrom.value_or(Last + 1); At <= Last; ++At)
        Entries.push_back(entryAt(Node.Log, At));
      auto Written = Store->append(Node.Hard, Entries);
      if (!Written)
        return Written;
    }
    return Store->sync();
  }

  /// Goes back to what the disk holds, as if the step had not happened.
  void writeFailed(const Error &Failure) {
    if (Failure.Code != ErrorCode::StorageFull)
      return halt(Failure);
    auto Stored = Store->load();
    if (!Stored)
      return halt(Stored.error());
    recover(Node, std::move(*Stored), Time.now());
    ProposalsPending = false;
    if (Handlers.StorageFailed)
      Handlers.StorageFailed(Failure);
    settle();
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

  /// Tells the user what has changed: loss of leadership first, then entries,
  /// then that it leads and its state is complete.
  void settle() {
    if (Node.Is != Role::Leader || LeadingTerm != Node.Hard.Current)
      setLeading(false);
    applyCommitted();
    if (Halted)
      return;
    if (Node.Is == Role::Leader && Node.Committed >= Node.TermStart) {
      LeadingTerm = Node.Hard.Current;
      setLeading(true);
    }
    takeSnapshot();
  }

  void applyCommitted() {
    if (Applied < Node.Log.BaseIndex) {
      const auto Restored = restore();
      if (!Restored)
        return halt(Restored.error());
    }
    while (Applied < Node.Committed) {
      const LogEntry &Entry = entryAt(Node.Log, ++Applied);
      if (Entry.Kind == EntryKind::Data)
        Handlers.Committed(Revision{Entry.Index}, Entry.Payload);
    }
  }

  void takeSnapshot() {
    const LogIndex Last = Node.LatestSnapshot ? Node.LatestSnapshot->Index : 0;
    if (Applied <
        std::max(Last + Options.EntriesPerSnapshot, SnapshotNotBefore))
      return;
    auto Latest = std::make_shared<Snapshot>();
    Latest->Index = Applied;
    Latest->InTerm = termAt(Node.Log, Applied);
    Latest->Members = membersAt(Node, Applied);
    Latest->State = Handlers.CaptureState();
    const LogIndex Keep = std::min(MaxKeptEntries, Options.EntriesPerSnapshot);
    EntryLog Rest = Node.Log;
    const LogIndex DropThrough = Applied > Keep ? Applied - Keep : 0;
    discardThrough(Rest, std::max(DropThrough, Rest.BaseIndex));
    auto Saved = Store->saveSnapshot(*Latest, Node.Hard, Rest);
    if (Saved)
      return compact(Node, std::move(Latest), Keep);
    if (Saved.error().Code != ErrorCode::StorageFull)
      return halt(Saved.error());
    // The log goes on without the snapshot and tries again later.
    SnapshotNotBefore = Applied + std::max<LogIndex>(Keep, 1);
    if (Handlers.StorageFailed)
      Handlers.StorageFailed(Saved.error());
  }

  ReplicatedLogOptions Options;
  const Clock &Time;
  ReplicatedLogHandlers Handlers;
  std::unique_ptr<LogStore> Store;
  NodeState Node;
  LogIndex Applied = 0;
  LogIndex SnapshotNotBefore = 0;
  /// Proposals were written but not yet synced.
  bool ProposalsPending = false;
  /// What the user was last told, and for which term.
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
                "host " + Options.Host + " is not among the control hosts");
  auto Store = LogStore::open(std::move(Folder), storeOptions(Options));
  if (!Store)
    return tl::unexpected(Store.error());
  auto Stored = (*Store)->load();
  if (!Stored)
    return tl::unexpected(Stored.error());
  NodeOptions ForNode = nodeOptions(Options, Stored->StorageId);
  auto Log = std::make_unique<ReplicatedLogOverStore>(
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
