#ifndef JASMINEARCH_TESTS_CONSENSUS_FAKES_H
#define JASMINEARCH_TESTS_CONSENSUS_FAKES_H

#include "jasminearch/consensus/data_folder.h"
#include "jasminearch/consensus/messages.h"
#include "jasminearch/consensus/replicated_log.h"
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

/// In-memory disk and simulated cluster for tests of the replicated log.
namespace jasminearch::consensus::testing {

/// A disk that loses unsynced data in a crash.
struct FakeDisk {
  struct File {
    Bytes Current;
    Bytes Durable;
  };
  /// Files by name, as seen by the running process and as durable on disk.
  std::map<std::string, std::shared_ptr<File>> Files;
  std::map<std::string, std::shared_ptr<File>> DurableFiles;
  /// Number of write, sync and rename operations so far.
  std::uint64_t Operations = 0;
  /// The operation with this number fails with StorageFull. Zero for none.
  std::uint64_t FailAt = 0;
  /// Whether every operation that needs disk space fails.
  bool Full = false;
  /// Whether a full disk also refuses to shorten a file, and to sync it.
  bool RefusesAll = false;

  /// Discards unsynced data, except for a random part of what was appended.
  void crash(std::mt19937_64 &Random);
  /// \returns whether the whole log file is durable.
  bool logSynced() const;
  /// \returns a disk with the same content.
  std::shared_ptr<FakeDisk> copy() const;
};

/// \returns a data folder on \p Disk.
std::unique_ptr<DataFolder> openFakeFolder(std::shared_ptr<FakeDisk> Disk);

/// Simulates a cluster of control hosts and the messages between them, and
/// checks safety properties after each step.
class TestCluster {
public:
  struct Host {
    std::string Name;
    /// Storage id in the latest message from this host. Empty after the disk
    /// was replaced.
    std::string StorageId;
    std::shared_ptr<FakeDisk> Disk = std::make_shared<FakeDisk>();
    ManualClock Time;
    /// Speed of this host's clock relative to simulated time.
    double Rate = 1.0;
    /// Null while the host is down.
    std::unique_ptr<ReplicatedLog> Log;
    /// Entries received by the Committed and RestoreState callbacks, by
    /// revision.
    std::map<std::uint64_t, Bytes> Entries;
    bool Leading = false;
    unsigned StorageFailures = 0;
  };

  explicit TestCluster(unsigned Count, std::uint64_t Seed = 1,
                       std::uint64_t EntriesPerSnapshot = 4096);

  Host &host(unsigned Index) { return *Hosts.at(Index); }
  const Host &host(unsigned Index) const { return *Hosts.at(Index); }
  unsigned count() const { return static_cast<unsigned>(Hosts.size()); }
  void addHost();
  Expected<void> start(unsigned Index, bool Bootstrap = false);
  /// Crashes a host. Its disk loses unsynced data.
  void kill(unsigned Index);
  /// Stops a host and replaces its disk by an empty one.
  void replaceDisk(unsigned Index);
  /// Isolates a host from all others, or reconnects it.
  void setIsolated(unsigned Index, bool Isolated);
  /// Runs all hosts for the simulated duration \p Time in steps of \p Step.
  void run(std::chrono::milliseconds Time,
           std::chrono::milliseconds Step = std::chrono::milliseconds(5));
  /// Runs until \p Done returns true, for at most ten simulated seconds.
  /// \returns the last result of \p Done.
  bool runUntil(const std::function<bool()> &Done);
  /// \returns the index of the host that holds the lease, or count().
  unsigned leader() const;
  /// Proposes an entry at the leader and runs until it is committed there.
  /// \returns its revision, or 0 if it couldn't be proposed.
  std::uint64_t commit(const std::string &Text);
  /// \returns whether all hosts are running, are voters and have all committed
  /// entries.
  bool converged() const;

  /// Range of the one-way delay, and probabilities of loss and duplication.
  std::chrono::microseconds DelayMin{1500};
  std::chrono::microseconds DelayMax{1500};
  double Loss = 0;
  double Duplication = 0;
  std::mt19937_64 Random;
  /// Called after each step.
  std::function<void()> AfterStep;
  std::uint64_t MessagesSent = 0;
  std::uint64_t BytesSent = 0;
  /// Latest violated safety property. Empty if there was no violation.
  std::string Violation;

private:
  struct Packet {
    unsigned From;
    unsigned To;
    Bytes Content;
  };
  void onMessageSent(unsigned From, const std::string &To,
                     const Bytes &Content);
  void checkMessage(unsigned From, const Bytes &Content);
  void onCommitted(Host &Target, std::uint64_t Revision, const Bytes &Entry);
  void checkReads();
  ReplicatedLogHandlers handlersFor(unsigned Index);

  std::vector<std::unique_ptr<Host>> Hosts;
  std::set<unsigned> IsolatedHosts;
  std::multimap<TimePoint, Packet> InFlight;
  TimePoint Now{};
  std::uint64_t EntriesPerSnapshot;
  /// Host and storage id that sent AppendRequests, by term.
  std::map<Term, std::string> Leaders;
  /// Entries committed on any host, by revision.
  std::map<std::uint64_t, Bytes> CommittedEntries;
};

inline Bytes bytesOf(const std::string &Text) {
  return Bytes(Text.begin(), Text.end());
}

} // namespace jasminearch::consensus::testing

#endif // JASMINEARCH_TESTS_CONSENSUS_FAKES_H
