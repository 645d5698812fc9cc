#ifndef JASMINEARCH_CONSENSUS_REPLICATED_LOG_H
#define JASMINEARCH_CONSENSUS_REPLICATED_LOG_H

#include "jasminearch/clock.h"
#include "jasminearch/consensus/log_entry.h"
#include "jasminearch/error.h"
#include "jasminearch/types.h"
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// The replicated log of the control hosts.
namespace jasminearch::consensus {

class DataFolder;

/// Configuration of one control host's replica of the log.
struct ReplicatedLogOptions {
  std::string Cluster;
  std::string Host;
  /// Names of all control hosts including this one. With open membership, only
  /// the hosts that this one asks to join.
  std::vector<std::string> Hosts;
  /// Path of the data folder.
  std::string DataFolder;
  /// Initialize the data folder as one of the first members of a new cluster.
  /// Only for the first start of the cluster: a folder that is already in use
  /// is refused with StorageAlreadyInitialized. Without it, a host whose folder
  /// is empty joins as a learner and becomes a voter once it has caught up.
  bool Bootstrap = false;
  /// Largest number of voters with open membership: any host may join as a
  /// learner and can replace a voter that no longer replies. Zero disables open
  /// membership: only Hosts may join, and each of them becomes a voter.
  std::size_t MaxVoters = 0;
  /// Voters of a new cluster, used with Bootstrap. Empty means all of Hosts.
  std::vector<std::string> InitialVoters;
  /// Seeds the election timeouts.
  std::uint64_t Seed = 0;
  /// Number of entries after which a new snapshot is taken.
  std::uint64_t EntriesPerSnapshot = 4096;
};

/// Callbacks of a ReplicatedLog, called from within its member functions. Of
/// the member functions that modify the log, a callback may call only
/// propose().
struct ReplicatedLogHandlers {
  /// Sends a consensus message to another control host. Messages may be lost.
  std::function<void(const std::string &Host, Bytes Message)> SendToPeer;
  /// Called once for each committed entry, in order. Revisions increase but
  /// have gaps, because the log also contains internal entries.
  std::function<void(Revision At, const Bytes &Entry)> Committed;
  /// Replaces the application state by the snapshot taken at \p At.
  std::function<Expected<void>(Revision At, const Bytes &State)> RestoreState;
  /// \returns the application state as of the last committed entry.
  std::function<Bytes()> CaptureState;
  /// Called when this host becomes leader (true) or stops being leader (false).
  /// The call with true follows after Committed has been called for all entries
  /// of earlier leaders.
  std::function<void(bool Leading)> LeadershipChanged;
  /// Called when a write outside of propose() failed; may be empty. After
  /// StorageFull the log continues and retries later. After any other error it
  /// is halted until the data folder is opened again.
  std::function<void(const Error &Failure)> StorageFailed;
};

/// One control host's replica of the replicated log. Not thread-safe: all
/// member functions must be called from the same thread.
class ReplicatedLog {
public:
  virtual ~ReplicatedLog() = default;

  /// Runs timers. Must be called at least every 20 ms.
  virtual void tick() = 0;

  /// Handles a message from \p Host.
  virtual void receive(const std::string &Host, const Bytes &Message) = 0;

  /// Syncs all entries proposed since the last call at once and sends them.
  /// tick() does the same; flush() avoids the wait for it.
  virtual void flush() { tick(); }

  /// Appends an entry. \returns the revision that the entry has if it gets
  /// committed, which the Committed callback reports; NotLeader; NoQuorum if
  /// this host leads but no quorum confirmed it within the lease; StorageFull,
  /// with the log unchanged; or StorageUnavailable.
  virtual Expected<Revision> propose(Bytes Entry) = 0;

  /// \returns whether this host leads and may answer reads: a quorum confirmed
  /// it within the lease, and Committed has been called for all entries of
  /// earlier leaders.
  virtual bool leaseHeld() const = 0;

  /// \returns the host name of the leader, if known.
  virtual std::optional<std::string> leader() const = 0;

  /// \returns an upper bound for the time since a quorum last confirmed the
  /// leader, as observed by this host as leader or reported by the leader;
  /// Duration::max() if no confirmation is known. Delayed messages don't make
  /// it appear more recent.
  virtual Duration quorumAge() const = 0;

  /// Gives up leadership, for example because this host's disk is full, so that
  /// another host can be elected.
  virtual void stepDown() = 0;

  /// Replaces ReplicatedLogOptions::Hosts.
  virtual void setHosts(std::vector<std::string> Hosts) = 0;

  /// \returns the revision of the last committed entry that was applied.
  virtual Revision committed() const = 0;

  /// \returns the members as of committed(). A host that lost its disk is
  /// repaired once it is listed as a voter with its new storage id. Until then
  /// the loss of another disk may lose committed entries.
  virtual std::vector<Member> members() const = 0;
};

/// Opens or creates the data folder and starts the log. Stored entries are
/// passed to the RestoreState and Committed callbacks as soon as they are known
/// to be committed. \returns an error of the 5xx group on failure.
Expected<std::unique_ptr<ReplicatedLog>>
openReplicatedLog(ReplicatedLogOptions Options, const Clock &Time,
                  ReplicatedLogHandlers Handlers);

/// As above, but uses \p Folder instead of opening Options.DataFolder.
Expected<std::unique_ptr<ReplicatedLog>>
openReplicatedLog(std::unique_ptr<DataFolder> Folder,
                  ReplicatedLogOptions Options, const Clock &Time,
                  ReplicatedLogHandlers Handlers);

/// \returns the storage id that \p Host of \p Cluster gets when bootstrapping.
std::string bootstrapStorageId(const std::string &Cluster,
                               const std::string &Host);

} // namespace jasminearch::consensus

#endif // JASMINEARCH_CONSENSUS_REPLICATED_LOG_H
