#ifndef JASMINEARCH_FLEET_CONTROL_NODE_H
#define JASMINEARCH_FLEET_CONTROL_NODE_H

#include "jasminearch/clock.h"
#include "jasminearch/consensus/replicated_log.h"
#include "jasminearch/error.h"
#include "jasminearch/fleet/agent_directory.h"
#include "jasminearch/fleet/evacuation.h"
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

/// Maximum time between two calls of tick().
inline constexpr std::chrono::milliseconds ControlTickInterval{20};

/// An agent counts as departed once the control host that it is linked to has
/// not heard from it for this time, or is itself not heard of for this time. In
/// this time the host that decides must have had a quorum throughout. Longer
/// than an agent needs to find another control host.
inline constexpr std::chrono::milliseconds AgentRecordLifetime{10'000};

/// The same for an agent that is only known from the store: it may have left
/// while this host was down, and until it is removed, entry hosts wait for its
/// answer before they give up a flow.
inline constexpr std::chrono::milliseconds StoredAgentLifetime{5000};

/// Time between two checks for changes of the agent directory to be stored.
/// Departures are stored at the next tick: after a loss of power, searches
/// would wait for an agent that left just before it.
inline constexpr std::chrono::milliseconds AgentStoreInterval{250};

/// Time between two complete lists of agents on one link to an entry host.
/// Changes are sent at once; the list only repairs what an entry host missed,
/// and its size grows with the fleet.
inline constexpr std::chrono::milliseconds AgentListInterval{20'000};

/// After this uptime a control host counts its list of agents as complete even
/// if it has neither loaded one nor received one from another control host.
/// Longer than running agents need to link up again.
inline constexpr std::chrono::milliseconds AgentListGracePeriod{3000};

/// A control host that can't be reached and isn't a member is removed after
/// this time.
inline constexpr std::chrono::milliseconds ControlHostLifetime{20'000};

/// Time between two digests of the agent directory to each control host.
inline constexpr std::chrono::milliseconds DigestInterval{2000};

/// The beat of a control host that hasn't increased for this time is forgotten.
inline constexpr std::chrono::milliseconds HostBeatLifetime{60'000};

/// Longest time that a submission or read waits for a leader or a commit.
/// Clients wait for one second.
inline constexpr std::chrono::milliseconds SubmitTimeout{800};

/// Minimum time between two versions of the routes on one link. If versions
/// change faster, only the newest one is sent.
inline constexpr std::chrono::milliseconds MinRoutesInterval{100};

/// Log entries between two snapshots. An entry holds a complete configuration
/// of up to about 200 KB, and the disk has 128 MB.
inline constexpr std::uint64_t LogEntriesPerSnapshot = 24;

/// Consensus messages to a control host are dropped while more bytes than this
/// are queued for it; the replicated log resends them.
inline constexpr std::size_t MaxPeerQueueBytes = 4U << 20U;

/// Delay before a data folder that failed is opened again.
inline constexpr std::chrono::milliseconds StorageReopenDelay{500};

struct ControlNodeOptions {
  std::string Cluster;
  /// IPv4 address of this host in text form; identifies the host.
  std::string Host;
  /// Port on which all control hosts accept links.
  std::uint16_t LinkPort = 0;
  /// Control hosts from the settings.
  std::vector<std::string> Seeds;
  /// If this host is a seed, it creates a new log with the seeds as the first
  /// members.
  bool Bootstrap = false;
  /// Number of disks that may be lost at the same time.
  unsigned ToleratedLosses = 1;
  std::string DataFolder;
  std::uint64_t Seed = 0;
};

// Results of submit() and read().
/// The configuration has been committed, or a higher version is in force.
struct Accepted {
  std::uint64_t Version = 0;
  auto operator<=>(const Accepted &) const = default;
};
/// Another host leads; the request must be sent there.
struct RedirectToLeader {
  std::string Host;
  auto operator<=>(const RedirectToLeader &) const = default;
};
/// The outcome is unknown; the request may be repeated.
struct Unavailable {
  Error Reason;
  auto operator<=>(const Unavailable &) const = default;
};
/// The configuration in force.
struct CurrentRoutes {
  std::uint64_t Version = 0;
  std::string Document;
  auto operator<=>(const CurrentRoutes &) const = default;
};
/// No configuration has been accepted yet.
struct NoRoutes {
  auto operator<=>(const NoRoutes &) const = default;
};

/// Counts of messages about agents, since the start of a control host.
struct DirectoryCounters {
  /// Messages to and from other control hosts.
  std::uint64_t Sent = 0;
  std::uint64_t Received = 0;
  /// Records that changed the directory.
  std::uint64_t Changes = 0;
  /// Records that were superseded by the one held.
  std::uint64_t Superseded = 0;
  auto operator<=>(const DirectoryCounters &) const = default;
};

/// What a control host knows of the runs at an agent's address before the one
/// that is linked to it.
struct EarlierRunsView {
  /// When one was last heard of; empty if none was since the host started.
  std::optional<TimePoint> HeardAt;
  /// The agent has been told.
  bool Sent = false;
};

using SubmitResult = std::variant<Accepted, RedirectToLeader, Unavailable>;
using ReadResult =
    std::variant<CurrentRoutes, NoRoutes, RedirectToLeader, Unavailable>;
/// Result of an evacuation order: the evacuations in force after it.
using EvacuationResult =
    std::variant<Evacuations, RedirectToLeader, Unavailable>;

/// Persists the list of agents across restarts of this host, so that entry
/// hosts that start at the same time get all agents at once.
struct AgentStore {
  std::function<Expected<Bytes>()> Load;
  std::function<Expected<void>(const Bytes &)> Save;
};

/// \returns a store that writes a file in \p Folder and syncs it. A lost or
/// outdated list does no harm: agents announce themselves anyway, only later.
AgentStore makeAgentStore(const std::string &Folder);

/// Function that opens the replicated log; tests substitute their own.
using LogOpener =
    std::function<Expected<std::unique_ptr<consensus::ReplicatedLog>>(
        consensus::ReplicatedLogOptions, consensus::ReplicatedLogHandlers)>;

/// A control host. All functions must be called on the hub's thread.
class ControlNode {
public:
  ControlNode(ControlNodeOptions Options, const Clock &Time, LogOpener Open,
              AgentStore Store);

  /// Sets the hub that carries the links; must be called before anything else.
  void setHub(link::LinkHub *Hub) { this->Hub = Hub; }

  /// \returns the handlers to create the hub with.
  link::LinkHandlers linkHandlers();

  /// Runs timers; must be called at least every ControlTickInterval.
  void tick();

  /// Submits a validated configuration. \p Done is called once, at the latest
  /// after SubmitTimeout. A version that isn't higher than the one in force is
  /// accepted without effect.
  void submit(AcceptedRoutes Value, std::function<void(SubmitResult)> Done);

  /// Reads the configuration in force; only the leader returns it.
  void read(std::function<void(ReadResult)> Done);

  // control_evacuations.cpp
  /// Submits an order to evacuate a data centre or to withdraw that. \p Done is
  /// called once, at the latest after SubmitTimeout, with the evacuations in
  /// force once the order has been committed. An order that changes nothing is
  /// committed, too: an earlier one that is still on its way may yet change it.
  void submit(EvacuationOrder Order,
              std::function<void(EvacuationResult)> Done);
  /// \returns the evacuations as of the last entry that this host has applied.
  const Evacuations &evacuations() const { return Evacuated; }
  /// \returns the entry hosts and agents that are linked to this host.
  std::vector<LinkedDaemon> linkedDaemons() const;
  /// \returns the number of those that have reported earlier evacuations than
  /// this host has, or none.
  std::size_t daemonsBehind() const;

  /// Sets the data centres that an operator's link may name in an order; any if
  /// empty.
  void setDataCentres(std::set<std::string> Names);

  /// Replaces the seeds after a change of the settings.
  void setSeeds(std::vector<std::string> Seeds);

  /// \returns whether this host is the leader and holds the leader's lease.
  bool leading() const { return Log && Log->leaseHeld(); }
  /// \returns the version in force, or zero if there is none.
  std::uint64_t version() const;
  /// \returns the voting members as of the last committed membership change.
  std::vector<std::string> voters() const;
  /// \returns the number of known agents.
  std::size_t agents() const { return presentAgents(Directory); }
  const DirectoryCounters &directoryCounters() const { return Counters; }
  /// \returns the number of links that other hosts opened.
  std::size_t subscribers() const { return IncomingLinks.size(); }

private:
  /// Another control host, and the link that this host opened to send to it.
  struct Peer {
    std::optional<link::LinkId> Link;
    bool Open = false;
    TimePoint ConnectDue{};
    TimePoint HeardAt{};
    TimePoint KnownAt{};
    TimePoint StatusDue{};
  };
  /// A link that another host opened.
  struct IncomingLink {
    bool HelloReceived = false;
    Hello From;
    TimePoint HeardAt{};
    TimePoint StatusDue{};
    TimePoint RoutesDue{};
    TimePoint AgentListDue{};
    std::uint64_t SentVersion = 0;
    /// Evacuations::Number that was sent on this link, and the number that the
    /// other end last reported.
    std::uint64_t SentEvacuations = 0;
    std::uint64_t ReportedEvacuations = 0;
    /// To an agent: the limits that were sent last on this link.
    std::shared_ptr<const ServiceLimits> SentLimits;
    /// From an agent: its last statement on this link.
    std::optional<AgentRecord> Statement;
    /// From an agent: the runs before it as of its first statement, unless this
    /// host no longer knew of them.
    std::optional<EarlierRunsView> Earlier;
  };
  struct PendingSubmission {
    AcceptedRoutes Value;
    std::uint64_t Version = 0;
    TimePoint Deadline{};
    bool Proposed = false;
    std::function<void(SubmitResult)> Done;
  };
  struct PendingRead {
    TimePoint Deadline{};
    std::function<void(ReadResult)> Done;
  };

  struct PendingOrder {
    EvacuationOrder Order;
    TimePoint Deadline{};
    /// Revision of the proposed entry if that gets committed.
    std::optional<Revision> ProposedAt;
    bool Committed = false;
    std::function<void(EvacuationResult)> Done;
  };

  void openLog();
  consensus::ReplicatedLogHandlers logHandlers();
  Expected<void> applyEntry(Revision At, const Bytes &Entry);
  Expected<void> applyRoutes(const Bytes &Entry);
  Expected<void> restoreState(const Bytes &State);
  void storageFailed(const Error &Failure);

  void opened(link::LinkId Id, bool IsIncoming);
  void received(link::LinkId Id, const Bytes &Encoded);
  void closed(link::LinkId Id);
  void forgetIncomingLink(link::LinkId Id);
  void handleMessage(link::LinkId Id, IncomingLink &L, const Message &Value);
  void handleHello(link::LinkId Id, IncomingLink &L, const Hello &Value);
  void addControlHost(const std::string &Host);

  // control_agents.cpp
  void handleAgentStatement(link::LinkId Id, IncomingLink &L,
                            const Agents &Value);
  /// Repeats the merge of the agent's last statement on a sign of life.
  void confirmStatement(link::LinkId Id, const IncomingLink &L);
  /// Handles a message from the control host at the other end of \p Id if it is
  /// about agents.
  void handleDirectoryMessage(link::LinkId Id, const Message &Value);
  void handleRecords(link::LinkId Id, const Agents &Value);
  void handleDigest(link::LinkId Id, const DirectoryDigest &Value);
  void handleBuckets(link::LinkId Id, const DirectoryBuckets &Value);
  /// Who made a record known to this host.
  enum class RecordSource : std::uint8_t {
    /// An agent that is linked here, or this host itself.
    ThisHost,
    ControlHost,
  };
  /// Stores a record. If it changes what is listed, tells the entry hosts, and
  /// the other control hosts if they don't know it from elsewhere: if everyone
  /// passed it on, the messages for one change would grow with the square of
  /// the number of control hosts. Other changes spread with the digests.
  MergeResult mergeRecord(const AgentRecord &Record, RecordSource Source);
  void publish(const AgentRecord &Record);
  void sendDirectoryMessage(link::LinkId Id, const Message &Value);
  void sendToEntryHosts(const Bytes &Encoded);
  DirectoryDigest digest(const std::string &Receiver, TimePoint Now) const;
  void sendDigests(TimePoint Now);
  void recordBeats(const std::vector<HostBeat> &Beats, TimePoint Now);
  TimePoint lastHeard(const DirectoryEntry &Entry) const;
  void removeSilentAgents(TimePoint Now);
  void loadAgents();
  void saveAgents();
  bool directoryComplete() const;
  /// \returns all records, departures too, for entry hosts and the store.
  Agents allAgents() const;
  void sendAgentList(link::LinkId Id, IncomingLink &L, TimePoint Now);
  void sendAgentLists(TimePoint Now);

  // control_evacuations.cpp
  Expected<void> applyOrder(Revision At, const Bytes &Entry);
  /// Puts \p Later in force if it supersedes the state held.
  void changeEvacuations(Evacuations Later);
  void sendEvacuations(link::LinkId Id, IncomingLink &L);
  void sendServiceLimits(link::LinkId Id, IncomingLink &L, TimePoint Now);
  /// Looks up the runs before the one that makes its first statement on \p L.
  void recordEarlierRuns(IncomingLink &L, const AgentRecord &Stated) const;
  void sendEarlierRuns(link::LinkId Id, IncomingLink &L, TimePoint Now);
  /// Derives Limits from the routes in force if it is older.
  void updateServiceLimits();
  void handleEvacuationRequest(link::LinkId Id, const EvacuationRequest &Value);
  EvacuationReply evacuationReply() const;
  void tickPendingOrders(TimePoint Now);
  /// Proceeds with an order. \returns the result if it is known now.
  std::optional<EvacuationResult> proceed(PendingOrder &W, TimePoint Now);
  /// Proposes an order. \returns the result if that fails.
  std::optional<EvacuationResult> propose(PendingOrder &W);

  void tickPeers(TimePoint Now);
  void connectToPeer(const std::string &Host, Peer &P, TimePoint Now);
  void tickIncomingLinks(TimePoint Now);
  void sendRoutes(link::LinkId Id, IncomingLink &L, TimePoint Now);
  void tickAgentDirectory(TimePoint Now);
  void tickPendingRequests(TimePoint Now);
  /// Proceeds with a request. \returns whether it has been answered.
  bool tryComplete(PendingSubmission &W, TimePoint Now);
  bool tryComplete(PendingRead &W, TimePoint Now);
  void send(link::LinkId Id, const Message &Value);
  Status status() const;
  std::vector<std::string> knownHosts() const;
  bool hasRecentQuorum() const;

  ControlNodeOptions Options;
  const Clock &Time;
  LogOpener Open;
  link::LinkHub *Hub = nullptr;
  std::unique_ptr<consensus::ReplicatedLog> Log;
  TimePoint ReopenDue{};
  bool LogFailed = false;
  std::set<std::string> Seeds;
  std::map<std::string, Peer> Peers;
  std::map<link::LinkId, std::string> PeerByLink;
  std::map<link::LinkId, IncomingLink> IncomingLinks;
  AgentDirectory Directory;
  DirectoryCounters Counters;
  /// The newest link of each agent that is linked to this host.
  std::map<Endpoint, link::LinkId> AgentLinks;
  struct KnownBeat {
    std::uint64_t Count = 0;
    TimePoint KnownAt{};
    /// When Count was last seen to increase; empty before that.
    std::optional<TimePoint> IncreasedAt;
  };
  std::map<std::string, KnownBeat> Beats;
  std::uint64_t OwnBeat = 0;
  TimePoint StartedAt{};
  /// The directory was loaded or received whole since the start.
  bool DirectoryReceived = false;
  AgentStore Store;
  bool DirectoryChanged = false;
  /// The configuration in force, decoded and as the entry of the log.
  std::optional<AcceptedRoutes> Current;
  Bytes CurrentEntry;
  Evacuations Evacuated;
  /// The cold limits of the routes in force as of RoutesVersion; null before
  /// the first agent needs them.
  std::shared_ptr<const ServiceLimits> Limits;
  std::set<std::string> DataCentres;
  std::vector<PendingOrder> PendingOrders;
  std::vector<PendingSubmission> PendingSubmissions;
  std::vector<PendingRead> PendingReads;
  TimePoint DigestDue{};
  TimePoint AgentStoreDue{};
  /// Since when this host has had a recent quorum without interruption.
  std::optional<TimePoint> QuorumSince;
};

} // namespace jasminearch::fleet

#endif // JASMINEARCH_FLEET_CONTROL_NODE_H
