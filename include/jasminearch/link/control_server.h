#ifndef JASMINEARCH_LINK_CONTROL_SERVER_H
#define JASMINEARCH_LINK_CONTROL_SERVER_H

#include "jasminearch/consensus/replicated_log.h"
#include "jasminearch/control/burn_report.h"
#include "jasminearch/control/distribution.h"
#include "jasminearch/control/leases.h"
#include "jasminearch/control/outcomes.h"
#include "jasminearch/control/state_machine.h"
#include "jasminearch/link/link.h"
#include "jasminearch/link/messages.h"
#include "jasminearch/settings.h"
#include "jasminearch/types.h"
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

/// Decisions of a control host, without sockets, disk, threads or clock.
namespace jasminearch::link {

/// How often ServerTick must come. Changes committed within one tick are sent
/// together.
inline constexpr std::chrono::milliseconds ServerTickInterval{20};

/// A gap between ticks after which a leader grants everyone a full lease: it
/// was itself stopped, and heartbeats may wait in its sockets.
inline constexpr std::chrono::milliseconds TickGapLimit{500};

/// Time that a link may take to prove the key.
inline constexpr std::chrono::milliseconds GreetingLimit{2000};

/// Time after which an operator's idle link is closed.
inline constexpr std::chrono::seconds OperatorIdleLimit{60};

/// Time for which a snapshot's encoding is used for further subscribers, which
/// then get a delta on top.
inline constexpr std::chrono::seconds SnapshotReuse{10};

/// What a control host allows those who link to it.
struct ServerLimits {
  std::size_t MaxLinks = 5500;
  /// Bytes of a message before Welcome, and after it.
  std::size_t GreetingBytes = 4096;
  std::size_t MessageBytes = 1U << 20U;
  /// Messages that a link may send in a burst, and lastingly per second.
  /// Daemons send about 2 a second and one for each change. Control hosts
  /// aren't limited.
  double BurstMessages = 400;
  double MessagesPerSecond = 200;
  /// Snapshots that are being sent at a time, and bytes queued for each. They
  /// bound memory when many daemons start together.
  std::size_t Snapshots = 32;
  std::size_t SnapshotQueueBytes = 2U << 20U;
};

struct ServerOptions {
  std::string Cluster;
  std::string Name;
  std::string LinkKey;
  /// All control hosts, this one included.
  std::vector<ControlHost> Hosts;
  ServerLimits Limits;
};

/// The replicated log and the links as of one event.
struct ServerView {
  TimePoint Now{};
  WallTime Wall{};
  bool LeaseHeld = false;
  std::optional<std::string> Leader;
  Duration QuorumAge{};
  std::vector<consensus::Member> Members;
  std::function<std::size_t(LinkId)> QueuedBytes;
};

// Events.
struct LinkOpened {
  LinkId Id = 0;
};
struct LinkEnded {
  LinkId Id = 0;
};
struct LinkReceived {
  LinkId Id = 0;
  Bytes Encoded;
};
/// The link that this host dials to another control host.
struct PeerOpened {
  std::string Host;
};
struct PeerEnded {
  std::string Host;
};
struct PeerReceived {
  std::string Host;
  Bytes Encoded;
};
struct ServerTick {};
struct EntryCommitted {
  Revision At;
  Bytes Entry;
};
struct LeadershipChanged {
  bool Leading = false;
};
/// The log didn't take a proposed command.
struct ProposalRefused {
  control::Command Value;
  Error Reason;
};

using ServerEvent =
    std::variant<LinkOpened, LinkEnded, LinkReceived, PeerOpened, PeerEnded,
                 PeerReceived, ServerTick, EntryCommitted, LeadershipChanged,
                 ProposalRefused>;

// Effects, in the order in which they must be carried out.
struct SendToLink {
  LinkId Id = 0;
  std::shared_ptr<const Bytes> Encoded;
};
struct CloseLink {
  LinkId Id = 0;
};
struct DialPeer {
  std::string Host;
  Endpoint To;
};
struct SendToPeer {
  std::string Host;
  std::shared_ptr<const Bytes> Encoded;
};
struct HangUpPeer {
  std::string Host;
};
struct Propose {
  control::Command Value;
};
/// A consensus message for the log.
struct DeliverToLog {
  std::string Host;
  Bytes Body;
};
/// Something that a log line should tell.
struct ServerNotice {
  std::string Event;
  std::string Subject;
  std::optional<Error> Reason;
};

using ServerEffect =
    std::variant<SendToLink, CloseLink, DialPeer, SendToPeer, HangUpPeer,
                 Propose, DeliverToLog, ServerNotice>;

/// A snapshot that subscribers are sent. Parts are encoded when the first
/// subscriber needs them, a few in each tick: 36 MB at once took 518 ms, longer
/// than the election timeout.
struct SharedSnapshot {
  std::vector<control::SnapshotPart> Parts;
  /// Null until needed; the part is then emptied.
  std::vector<std::shared_ptr<const Bytes>> Encoded;
};

/// Parts of about 1 MB that are encoded in one tick.
inline constexpr std::size_t PartsPerTick = 2;

/// A link that another process opened.
struct ServedLink {
  bool Welcomed = false;
  Bytes Nonce;
  std::string Name;
  Role Sender = Role::Operator;
  std::uint64_t RunId = 0;
  TimePoint OpenedAt{};
  TimePoint LastHeard{};
  TimePoint NextHeartbeat{};
  /// Token bucket of the limit on messages.
  double Tokens = 0;
  TimePoint TokensAt{};
  /// Heartbeats renew the lease of Name.
  bool Leased = false;
  /// An announcement that waits for a leader or for its commit.
  std::optional<Announce> Awaiting;
  bool AwaitingProposed = false;
  /// Revision that the subscriber has once it has taken everything sent.
  Revision Sent;
  /// Snapshot that is being sent, and its next part.
  std::shared_ptr<SharedSnapshot> Parts;
  std::size_t NextPart = 0;
  Revision PartsAt;
};

/// This host's link to another control host.
struct PeerLink {
  enum class Phase : std::uint8_t { Idle, Dialling, Greeting, Proving, Open };
  Phase Now = Phase::Idle;
  Endpoint Address;
  Bytes Nonce;
  TimePoint NextDial{};
  TimePoint LastHeard{};
};

/// What the leader knows of a daemon.
struct DaemonSeen {
  Revision InForce;
  TimePoint LastHeard{};
};

struct ServerState {
  ServerOptions Options;
  control::State Current;
  control::RetainedChanges Retained;
  std::map<LinkId, ServedLink> Links;
  std::map<std::string, PeerLink> Peers;
  bool Leading = false;
  control::Leases Leases;
  control::OutcomeStore Reports;
  control::BurnHistory History;
  std::map<std::string, DaemonSeen> Daemons;
  /// Links that wait for the result of a command, by command id.
  std::map<std::string, std::set<LinkId>> Waiting;
  /// Snapshot that is sent to new subscribers.
  std::shared_ptr<SharedSnapshot> Snapshot;
  /// Parts that may still be encoded in this tick.
  std::size_t PartsLeft = 0;
  Revision SnapshotAt;
  TimePoint SnapshotMadeAt{};
  TimePoint LastTick{};
  TimePoint NextDuties{};
  TimePoint NextFold{};
};

/// \returns a server with an empty state.
ServerState makeServerState(ServerOptions Options);

/// Handles one event.
std::vector<ServerEffect> handle(ServerState &S, const ServerEvent &Event,
                                 const ServerView &View);

/// Replaces the replicated state by one that encodeState() wrote. \returns
/// MessageMalformed otherwise.
Expected<void> restoreState(ServerState &S, const Bytes &Encoded);

/// Whether the link to \p Host can take a consensus message.
bool peerOpen(const ServerState &S, const std::string &Host);

} // namespace jasminearch::link

#endif // JASMINEARCH_LINK_CONTROL_SERVER_H
