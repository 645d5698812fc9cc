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

/// Settings of one control host's copy of the log.
struct ReplicatedLogOptions {
  std::string Cluster;
  std::string Host;
  /// Names of all control hosts, this one included.
  std::vector<std::string> Hosts;
  std::string DataFolder;
  /// Create the data folder as one of the first members; all of Hosts become
  /// voters. Only for the very first boot: a folder that is in use is refused
  /// with StorageAlreadyInitialized. Without it, a host whose folder is empty
  /// joins as a learner and becomes a voter once it has caught up.
  bool Bootstrap = false;
  /// Voters that open membership keeps: any host may join as a learner, takes
  /// the place of a voter that has gone silent, and Hosts are only those that
  /// are asked. Zero: only Hosts may join, and each becomes a voter.
  std::size_t MaxVoters = 0;
  /// With Bootstrap, the first voters; empty means Hosts.
  std::vector<std::string> InitialVoters;
  /// Seeds the election timeouts.
  std::uint64_t Seed = 0;
  /// Entries after which a snapshot is taken.
  std::uint64_t EntriesPerSnapshot = 4096;
};

/// How the log acts on its surroundings. All are called from inside the log's
/// own member functions, and may call propose() but no other of them that
/// changes the log.
struct ReplicatedLogHandlers {
  /// Sends a consensus message to another control host; may drop it.
  std::function<void(const std::string &Host, Bytes Message)> SendToPeer;
  /// An entry is committed. Called once for each, in order. Revisions increase
  /// but have gaps: the log keeps entries of its own.
  std::function<void(Revision At, const Bytes &Entry)> Committed;
  /// Replaces the state by a snapshot as of \p At.
  std::function<Expected<void>(Revision At, const Bytes &State)> RestoreState;
  /// \returns the state as of the last committed entry.
  std::function<Bytes()> CaptureState;
  /// This host became leader (true) or ceased to be (false). It is told that it
  /// leads once all entries of earlier leaders have been through Committed.
  std::function<void(bool Leading)> LeadershipChanged;
  /// A write failed outside propose(); may be empty. After StorageFull the log
  /// goes on, and what could not be written is tried again. After any other
  /// error it does nothing more until the folder is opened again.
  std::function<void(const Error &Failure)> StorageFailed;
};

/// One control host's copy of the replicated log. Single-threaded: all members
/// are called from one thread.
class ReplicatedLog {
public:
  virtual ~ReplicatedLog() = default;

  /// Runs timers; call it at least every 20 ms.
  virtual void tick() = 0;

  /// Handles a message from \p Host.
  virtual void receive(const std::string &Host, const Bytes &Message) = 0;

  /// Writes all entries proposed since the last call with one sync and sends
  /// them. tick() does the same; call this to not wait for it.
  virtual void flush() { tick(); }

  /// Appends an entry. \returns the revision it gets if it is committed;
  /// whether it is shows in Committed. Otherwise NotLeader; NoQuorum if this
  /// host leads but no quorum confirmed it within the lease; StorageFull, with
  /// the log unchanged; or StorageUnavailable.
  virtual Expected<Revision> propose(Bytes Entry) = 0;

  /// Whether this host leads and may answer reads: a quorum confirmed it within
  /// the lease, and all entries of earlier leaders have been through Committed.
  virtual bool leaseHeld() const = 0;

  /// \returns the leader's host name if one is known.
  virtual std::optional<std::string> leader() const = 0;

  /// \returns the time since a quorum was last confirmed, here as the leader or
  /// as told by the leader; Duration::max() if that was never shown. Messages
  /// that arrive late do not make it look more recent.
  virtual Duration quorumAge() const = 0;

  /// Gives up leading, for example because this host's disk is full. Another
  /// host leads after an election.
  virtual void stepDown() = 0;

  /// Replaces the hosts that are asked to admit this one.
  virtual void setHosts(std::vector<std::string> Hosts) = 0;

  virtual Revision committed() const = 0;

  /// \returns the members as of committed(). A host that is listed as a voter
  /// with its present storage id is fully repaired; until then the loss of
  /// another disk may be one too many.
  virtual std::vector<Member> members() const = 0;
};

/// Opens or creates the data folder and starts the log; entries that are known
/// to be committed are replayed through RestoreState and Committed as they
/// become known. \returns an error of the 5xx group on failure.
Expected<std::unique_ptr<ReplicatedLog>>
openReplicatedLog(ReplicatedLogOptions Options, const Clock &Time,
                  ReplicatedLogHandlers Handlers);

/// As above, over \p Folder instead of Options.DataFolder.
Expected<std::unique_ptr<ReplicatedLog>>
openReplicatedLog(std::unique_ptr<DataFolder> Folder,
                  ReplicatedLogOptions Options, const Clock &Time,
                  ReplicatedLogHandlers Handlers);

/// \returns the storage id that bootstrap gives \p Host of \p Cluster.
std::string bootstrapStorageId(const std::string &Cluster,
                               const std::string &Host);

} // namespace jasminearch::consensus

#endif // JASMINEARCH_CONSENSUS_REPLICATED_LOG_H
