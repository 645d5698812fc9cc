#ifndef JASMINEARCH_CONSENSUS_REPLICATED_LOG_H
#define JASMINEARCH_CONSENSUS_REPLICATED_LOG_H

#include "jasminearch/clock.h"
#include "jasminearch/error.h"
#include "jasminearch/types.h"
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// The replicated log of the control hosts.
namespace jasminearch::consensus {

/// One control host as its peers know it.
struct Member {
  std::string Host;
  /// Identifies the data folder. Empty while it isn't known.
  std::string StorageId;
  bool Voter = false;

  auto operator<=>(const Member &) const = default;
};

/// Settings of one control host's copy of the log.
struct ReplicatedLogOptions {
  std::string Cluster;
  std::string Host;
  /// Names of all control hosts, this one included.
  std::vector<std::string> Hosts;
  std::string DataFolder;
  /// Create the data folder as one of the first members.
  bool Bootstrap = false;
  /// Seeds the election timeouts.
  std::uint64_t Seed = 0;
  /// Entries after which a snapshot is taken.
  std::uint64_t SnapshotEvery = 4096;
};

/// How the log acts on its surroundings. All are called from inside the log's
/// own member functions.
struct ReplicatedLogHandlers {
  /// Sends a consensus message to another control host; may drop it.
  std::function<void(const std::string &Host, Bytes Message)> SendToPeer;
  /// An entry is committed. Called once for each, in order.
  std::function<void(Revision At, const Bytes &Entry)> Committed;
  /// Replaces the state by a snapshot as of \p At.
  std::function<Expected<void>(Revision At, const Bytes &State)> Restore;
  /// \returns the state as of the last committed entry.
  std::function<Bytes()> Capture;
  /// This host became leader (true) or ceased to be (false).
  std::function<void(bool Leading)> LeadershipChanged;
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

  /// Appends an entry. \returns the revision it gets if it is committed;
  /// whether it is shows in Committed. NotLeader or StorageFull otherwise.
  virtual Expected<Revision> propose(Bytes Entry) = 0;

  /// Whether this host leads and may answer reads: a quorum confirmed it within
  /// the lease.
  virtual bool leaseHeld() const = 0;

  /// \returns the leader's host name if one is known.
  virtual std::optional<std::string> leader() const = 0;

  /// \returns the time since a quorum was last confirmed, here as the leader or
  /// as told by the leader.
  virtual Duration quorumAge() const = 0;

  virtual Revision committed() const = 0;
  virtual std::vector<Member> members() const = 0;
};

/// Opens or creates the data folder and starts the log; entries that are known
/// to be committed are replayed through Restore and Committed as they become
/// known. \returns an error of the 5xx group on failure.
Expected<std::unique_ptr<ReplicatedLog>>
openReplicatedLog(ReplicatedLogOptions Options, const Clock &Time,
                  ReplicatedLogHandlers Handlers);

} // namespace jasminearch::consensus

#endif // JASMINEARCH_CONSENSUS_REPLICATED_LOG_H
