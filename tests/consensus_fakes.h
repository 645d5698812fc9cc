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

/// In-memory disk and message exchange for the tests of the replicated log.
namespace jasminearch::consensus::testing {

/// A disk that forgets what was not synced when it crashes.
struct FakeDisk {
  struct File {
    Bytes Current;
    Bytes Durable;
  };
  std::map<std::string, std::shared_ptr<File>> Names;
  std::map<std::string, std::shared_ptr<File>> DurableNames;
  /// Counts changing operations; the one with this number fails.
  std::uint64_t Operations = 0;
  std::uint64_t FailAt = 0;
  /// Every operation that needs room fails.
  bool Full = false;

  /// Loses what was not synced, but for a random part of the last append.
  void crash(std::mt19937_64 &Random);
  /// \returns whether a crash would lose anything of the log.
  bool logSynced() const;
  /// \returns a disk with the same content.
  std::shared_ptr<FakeDisk> copy() const;
};

std::unique_ptr<DataFolder> openFakeFolder(std::shared_ptr<FakeDisk> Disk);

/// A few hosts and what travels between them.
class Exchange {
public:
  struct Host {
    std::string Name;
    /// Storage id that its latest message told. Empty after a lost disk.
    std::string StorageId;
    std::shared_ptr<FakeDisk> Disk = std::make_shared<FakeDisk>();
    ManualClock Time;
    /// Speed of this host's clock.
    double Rate = 1.0;
    std::unique_ptr<ReplicatedLog> Log;
    /// What Committed and RestoreState gave: by revision.
    std::map<std::uint64_t, Bytes> Entries;
    bool Leading = false;
    unsigned StorageFailures = 0;
  };

  explicit Exchange(unsigned Count, std::uint64_t Seed = 1,
                    std::uint64_t EntriesPerSnapshot = 4096);

  Host &host(unsigned At) { return *Hosts.at(At); }
  const Host &host(unsigned At) const { return *Hosts.at(At); }
  unsigned count() const { return static_cast<unsigned>(Hosts.size()); }
  void addHost();
  Expected<void> start(unsigned At, bool Bootstrap = false);
  /// Ends a host; its disk loses what was not synced.
  void kill(unsigned At);
  /// Ends a host and gives it an empty disk.
  void loseDisk(unsigned At);
  /// Cuts a host off from the others, or ends that.
  void cut(unsigned At, bool Cut);
  /// Runs all hosts for \p Time in steps of \p Step.
  void run(std::chrono::milliseconds Time,
           std::chrono::milliseconds Step = std::chrono::milliseconds(5));
  /// Runs until \p Done, for at most ten seconds. \returns whether it is.
  bool runUntil(const std::function<bool()> &Done);
  /// \returns the host that holds the lease, or count().
  unsigned leader() const;
  /// Proposes at the leader and runs until it is committed there.
  std::uint64_t commit(const std::string &Text);
  /// \returns whether all live hosts are voters and have the same entries.
  bool settled() const;

  /// One-way delay, and chances of loss and duplication.
  std::chrono::microseconds DelayMin{1500};
  std::chrono::microseconds DelayMax{1500};
  double Loss = 0;
  double Duplication = 0;
  std::mt19937_64 Random;
  /// Called after each step.
  std::function<void()> AfterStep;
  std::uint64_t MessagesSent = 0;
  std::uint64_t BytesSent = 0;
  /// The first broken rule; empty if there is none.
  std::string Violation;

private:
  struct Packet {
    unsigned From;
    unsigned To;
    Bytes Content;
  };
  void sent(unsigned From, const std::string &To, const Bytes &Content);
  void checkContent(unsigned From, const Bytes &Content);
  void committed(Host &At, std::uint64_t Revision, const Bytes &Entry);
  void checkReads();
  ReplicatedLogHandlers handlersFor(unsigned At);

  std::vector<std::unique_ptr<Host>> Hosts;
  std::set<unsigned> CutOff;
  std::multimap<TimePoint, Packet> UnderWay;
  TimePoint Now{};
  std::uint64_t EntriesPerSnapshot;
  /// Who sent entries as a leader, by term.
  std::map<Term, std::string> Leaders;
  /// What was committed anywhere, by revision.
  std::map<std::uint64_t, Bytes> Accepted;
};

inline Bytes bytesOf(const std::string &Text) {
  return Bytes(Text.begin(), Text.end());
}

} // namespace jasminearch::consensus::testing

#endif // JASMINEARCH_TESTS_CONSENSUS_FAKES_H
