#ifndef JASMINEARCH_FLEET_CONTROL_NODE_H
#define JASMINEARCH_FLEET_CONTROL_NODE_H

#include "jasminearch/clock.h"
#include "jasminearch/consensus/replicated_log.h"
#include "jasminearch/error.h"
#include "jasminearch/fleet/link_timing.h"
#include "jasminearch/fleet/messages.h"
#include "jasminearch/link/link.h"
#include "jasminearch/types.h"
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace jasminearch::fleet {

/// How often tick() must be called.
inline constexpr std::chrono::milliseconds ControlTickInterval{20};

/// Agents that no control host has heard for this long are forgotten. Longer
/// than an agent needs to find another control host.
inline constexpr std::chrono::milliseconds AgentRecordLife{10'000};

/// A control host that can't be reached and is no member is forgotten.
inline constexpr std::chrono::milliseconds ControlHostLife{20'000};

/// A submission waits this long for a leader or its commit. Callers wait for a
/// second.
inline constexpr std::chrono::milliseconds SubmitPatience{800};

/// Time between two versions of the routes on one link. Changes that come
/// faster are left out; only the newest one counts.
inline constexpr std::chrono::milliseconds RoutesPause{100};

/// Entries between snapshots of the log. An entry holds a whole configuration
/// of up to some 200 KB, and the disk has 128 MB.
inline constexpr std::uint64_t SnapshotEntries = 24;

/// Bytes queued for a control host beyond which consensus messages to it are
/// dropped; the log repeats them.
inline constexpr std::size_t PeerQueueLimit = 4U << 20U;

/// Pause before a data folder that failed is opened again.
inline constexpr std::chrono::milliseconds ReopenPause{500};

struct ControlNodeOptions {
  std::string Cluster;
  /// IPv4 address of this host in text form; names it.
  std::string Host;
  /// Port on which all control hosts take links.
  std::uint16_t LinkPort = 0;
  /// Control hosts that were known when the settings were written.
  std::vector<std::string> Seeds;
  /// The seeds form the log's first members.
  bool Bootstrap = false;
  /// Disks that may be lost at the same time.
  unsigned ToleratedLosses = 1;
  std::string DataFolder;
  std::uint64_t Seed = 0;
};

// Results of submit() and current().
struct Accepted {
  std::uint64_t Version = 0;
  auto operator<=>(const Accepted &) const = default;
};
struct RedirectToLeader {
  std::string Host;
  auto operator<=>(const RedirectToLeader &) const = default;
};
/// Nothing is known about the outcome; the caller may send it again.
struct Unavailable {
  Error Reason;
  auto operator<=>(const Unavailable &) const = default;
};
struct CurrentRoutes {
  std::uint64_t Version = 0;
  std::string Document;
  auto operator<=>(const CurrentRoutes &) const = default;
};
/// No configuration has been accepted yet.
struct NoRoutes {
  auto operator<=>(const NoRoutes &) const = default;
};

using SubmitResult = std::variant<Accepted, RedirectToLeader, Unavailable>;
using ReadResult =
    std::variant<CurrentRoutes, NoRoutes, RedirectToLeader, Unavailable>;

/// Keeps the list of agents over a restart of this host, so that entry hosts
/// that start at the same time learn all agents at once.
struct AgentStore {
  std::function<Expected<Bytes>()> Load;
  std::function<Expected<void>(const Bytes &)> Save;
};

/// \returns a store in a file of \p Folder, synced. A list that is lost or old
/// only delays what agents announce anyway.
AgentStore makeAgentStore(const std::string &Folder);

/// Opens the replicated log; replaced in tests.
using LogOpener =
    std::function<Expected<std::unique_ptr<consensus::ReplicatedLog>>(
        consensus::ReplicatedLogOptions, consensus::ReplicatedLogHandlers)>;

/// A control host. All members are called on the hub's thread.
class ControlNode {
public:
  ControlNode(ControlNodeOptions Options, const Clock &Time, LogOpener Open,
              AgentStore Store);

  /// The hub that carries the links; set before anything else is called.
  void setHub(link::LinkHub *Hub) { this->Hub = Hub; }

  /// Handlers to make the hub with.
  link::LinkHandlers linkHandlers();

  /// Runs timers.
  void tick();

  /// Takes a checked configuration. \p Done is called once, at the latest after
  /// SubmitPatience. A version that isn't higher than the one in force is
  /// accepted and changes nothing.
  void submit(AcceptedRoutes Value, std::function<void(SubmitResult)> Done);

  /// Reads the newest configuration; only the leader answers.
  void read(std::function<void(ReadResult)> Done);

  /// Replaces the seeds after the settings changed.
  void setSeeds(std::vector<std::string> Seeds);

  bool leading() const { return Log && Log->leaseHeld(); }
  std::uint64_t version() const;
  /// \returns the hosts whose votes count, as of the last committed change.
  std::vector<std::string> voters() const;
  std::size_t agents() const { return Directory.size(); }
  std::size_t subscribers() const { return Incoming.size(); }

private:
  /// A link that this host opened to another control host, to send on.
  struct Peer {
    std::optional<link::LinkId> Link;
    bool Open = false;
    TimePoint DialDue{};
    TimePoint HeardAt{};
    TimePoint KnownAt{};
    TimePoint StatusDue{};
  };
  /// A link that another host opened.
  struct Served {
    bool Greeted = false;
    Hello From;
    TimePoint HeardAt{};
    TimePoint StatusDue{};
    TimePoint RoutesDue{};
    std::uint64_t SentVersion = 0;
  };
  struct Waiting {
    AcceptedRoutes Value;
    std::uint64_t Version = 0;
    TimePoint Deadline{};
    bool Proposed = false;
    std::function<void(SubmitResult)> Done;
  };
  struct WaitingRead {
    TimePoint Deadline{};
    std::function<void(ReadResult)> Done;
  };

  void openLog();
  consensus::ReplicatedLogHandlers logHandlers();
  Expected<void> adopt(const Bytes &Entry);
  void storageFailed(const Error &Failure);

  void opened(link::LinkId Id, bool IsIncoming);
  void received(link::LinkId Id, const Bytes &Encoded);
  void closed(link::LinkId Id);
  void handle(link::LinkId Id, Served &L, const Message &Value);
  void greet(link::LinkId Id, Served &L, const Hello &Value);
  void learnControlHost(const std::string &Host);
  void learnAgent(const Endpoint &Tunnel, TimePoint HeardAt);
  void forgetAgent(const Endpoint &Tunnel);
  void broadcast(const Message &Value);
  void loadAgents();
  void saveAgents();

  void tickPeers(TimePoint Now);
  void dial(const std::string &Host, Peer &P, TimePoint Now);
  void tickServed(TimePoint Now);
  void tickDirectory(TimePoint Now);
  void tickWaiting(TimePoint Now);
  /// \returns whether \p W is done.
  bool advance(Waiting &W, TimePoint Now);
  bool advance(WaitingRead &W, TimePoint Now);
  void send(link::LinkId Id, const Message &Value);
  Status status() const;
  std::vector<std::string> knownHosts() const;
  Agents allAgents(TimePoint Now) const;
  bool quorumFresh() const;

  ControlNodeOptions Options;
  const Clock &Time;
  LogOpener Open;
  link::LinkHub *Hub = nullptr;
  std::unique_ptr<consensus::ReplicatedLog> Log;
  TimePoint ReopenDue{};
  bool LogFailed = false;
  std::set<std::string> Seeds;
  std::map<std::string, Peer> Peers;
  std::map<link::LinkId, std::string> PeerOfLink;
  std::map<link::LinkId, Served> Incoming;
  std::map<Endpoint, TimePoint> Directory;
  /// When agents left, so that older news of them doesn't bring them back.
  std::map<Endpoint, TimePoint> Departed;
  AgentStore Store;
  bool DirectoryChanged = false;
  std::optional<AcceptedRoutes> Current;
  Bytes CurrentEntry;
  std::vector<Waiting> Submissions;
  std::vector<WaitingRead> Reads;
  TimePoint GossipDue{};
};

} // namespace jasminearch::fleet

#endif // JASMINEARCH_FLEET_CONTROL_NODE_H
