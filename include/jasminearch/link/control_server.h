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

/// State machine of a control host. It performs no I/O, starts no threads and
/// reads no clock.
namespace jasminearch::link {

/// Interval at which the caller must pass ServerTick. Changes that are
/// committed within one tick are distributed together.
inline constexpr std::chrono::milliseconds ServerTickInterval{20};

/// If ticks are further apart than this, the leader itself was paused and
/// heartbeats may be waiting in its sockets. It then grants every daemon a full
/// lease.
inline constexpr std::chrono::milliseconds MaxTickGap{500};

/// Time within which a new link must prove the link key.
inline constexpr std::chrono::milliseconds HandshakeTimeout{2000};

/// Time after which an operator's idle link is closed.
inline constexpr std::chrono::seconds OperatorIdleTimeout{60};

/// Time for which an encoded snapshot is reused for further subscribers. They
/// receive a delta after it.
inline constexpr std::chrono::seconds SnapshotReusePeriod{10};

/// Limits on incoming links.
struct ServerLimits {
  std::size_t MaxLinks = 5500;
  /// Maximum message size in bytes before and after Welcome.
  std::size_t MaxHandshakeMessageBytes = 4096;
  std::size_t MaxMessageBytes = 1U << 20U;
  /// Token bucket of a link: messages in a burst, and sustained messages per
  /// second. Daemons send about 2 messages a second and one for each change.
  /// Links from control hosts aren't limited.
  double MaxBurstMessages = 400;
  double MaxMessagesPerSecond = 200;
  /// Snapshots that are sent at the same time, and bytes queued on the link of
  /// each. Both bound memory use when many daemons start together.
  std::size_t MaxConcurrentSnapshots = 32;
  std::size_t MaxSnapshotQueueBytes = 2U << 20U;
};

/// Configuration of a control host.
struct ServerOptions {
  std::string Cluster;
  std::string Name;
  std::string LinkKey;
  /// All control hosts, including this one.
  std::vector<ControlHost> Hosts;
  ServerLimits Limits;
};

/// State of the clock, the replicated log and the links at the time of an
/// event.
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
/// The link that this host opened to another control host.
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
/// The log rejected a proposed command.
struct ProposalRefused {
  control::Command Value;
  Error Reason;
};

using ServerEvent =
    std::variant<LinkOpened, LinkEnded, LinkReceived, PeerOpened, PeerEnded,
                 PeerReceived, ServerTick, EntryCommitted, LeadershipChanged,
                 ProposalRefused>;

// Effects. The caller must carry them out in the given order.
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
struct DisconnectPeer {
  std::string Host;
};
struct Propose {
  control::Command Value;
};
/// Passes a consensus message to the log.
struct DeliverToLog {
  std::string Host;
  Bytes Body;
};
/// An event to be written to the daemon's log output.
struct ServerNotice {
  std::string Event;
  std::string Subject;
  std::optional<Error> Reason;
};

using ServerEffect =
    std::variant<SendToLink, CloseLink, DialPeer, SendToPeer, DisconnectPeer,
                 Propose, DeliverToLog, ServerNotice>;

/// A snapshot that is sent to several subscribers. Its parts are encoded when
/// the first subscriber needs them, a few per tick: encoding 36 MB at once took
/// 518 ms, which is longer than the election timeout.
struct SharedSnapshot {
  std::vector<control::SnapshotPart> Parts;
  /// Encoded parts. Null until a part is needed; Parts then drops its copy.
  std::vector<std::shared_ptr<const Bytes>> Encoded;
};

/// Parts (about 1 MB each) that are encoded per tick.
inline constexpr std::size_t MaxPartsPerTick = 2;

/// A link that another process opened to this host.
struct IncomingLink {
  bool Authenticated = false;
  Bytes Nonce;
  std::string Name;
  Role Sender = Role::Operator;
  std::uint64_t RunId = 0;
  TimePoint OpenedAt{};
  TimePoint LastHeard{};
  TimePoint NextHeartbeat{};
  /// Token bucket that limits incoming messages.
  double Tokens = 0;
  TimePoint TokensUpdatedAt{};
  /// Whether heartbeats renew the lease of Name.
  bool RenewsLease = false;
  /// Announcement that waits for this host to lead or for its commit.
  std::optional<Announce> PendingAnnouncement;
  bool AnnouncementProposed = false;
  /// Revision of the subscriber once it has applied everything sent so far.
  Revision SentRevision;
  /// Snapshot that is being sent to the subscriber; null if there is none.
  std::shared_ptr<SharedSnapshot> PendingSnapshot;
  std::size_t NextPart = 0;
  Revision PendingSnapshotRevision;
};

/// Link that this host opened to another control host.
struct PeerLink {
  enum class Phase : std::uint8_t {
    Idle,
    Connecting,
    AwaitingChallenge,
    AwaitingWelcome,
    Open
  };
  Phase CurrentPhase = Phase::Idle;
  Endpoint Address;
  Bytes Nonce;
  TimePoint NextDial{};
  TimePoint LastHeard{};
};

/// What the leader knows about a daemon.
struct DaemonStatus {
  Revision InForce;
  TimePoint LastHeard{};
};

/// State of a control host.
struct ServerState {
  ServerOptions Options;
  control::State Current;
  control::RetainedChanges Retained;
  std::map<LinkId, IncomingLink> Links;
  std::map<std::string, PeerLink> Peers;
  bool Leading = false;
  control::Leases Leases;
  control::OutcomeStore Reports;
  control::BurnHistory History;
  std::map<std::string, DaemonStatus> Daemons;
  /// Links that wait for the result of a command, by command id.
  std::map<std::string, std::set<LinkId>> CommandWaiters;
  /// Snapshot that is sent to new subscribers.
  std::shared_ptr<SharedSnapshot> Snapshot;
  /// Parts that may still be encoded in the current tick.
  std::size_t RemainingParts = 0;
  Revision SnapshotRevision;
  TimePoint SnapshotCreatedAt{};
  TimePoint LastTick{};
  TimePoint NextLeaseCheck{};
  TimePoint NextDepartedHostMerge{};
};

/// \returns a server with an empty state.
ServerState makeServerState(ServerOptions Options);

/// Processes one event. \returns the effects to carry out.
std::vector<ServerEffect> handle(ServerState &State, const ServerEvent &Event,
                                 const ServerView &View);

/// Replaces the replicated state with one encoded by encodeState(). \returns
/// MessageMalformed if \p Encoded can't be decoded.
Expected<void> restoreState(ServerState &State, const Bytes &Encoded);

/// \returns whether consensus messages can be sent to \p Host.
bool isPeerOpen(const ServerState &State, const std::string &Host);

} // namespace jasminearch::link

#endif // JASMINEARCH_LINK_CONTROL_SERVER_H
