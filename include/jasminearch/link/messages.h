#ifndef JASMINEARCH_LINK_MESSAGES_H
#define JASMINEARCH_LINK_MESSAGES_H

#include "jasminearch/control/command.h"
#include "jasminearch/control/distribution.h"
#include "jasminearch/control/promise_counts.h"
#include "jasminearch/error.h"
#include "jasminearch/settings.h"
#include "jasminearch/types.h"
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <variant>

/// Messages between the system's processes. Each one is encoded as a CBOR array
/// of its type number and its fields.
namespace jasminearch::link {

/// Size of a handshake nonce and of an HMAC-SHA256.
inline constexpr std::size_t NonceBytes = 16;
inline constexpr std::size_t ProofBytes = 32;

/// Maximum nesting of arrays and maps in a message. The JSON library's parser
/// is recursive, so unlimited nesting would exhaust the stack.
inline constexpr std::size_t MaxMessageDepth = 32;

/// Kind of process that opened a link.
enum class Role : std::uint8_t {
  Entry = 0,
  Agent = 1,
  Control = 2,
  Operator = 3
};

/// First message on a link, sent by the side that accepted it.
struct Challenge {
  Bytes Nonce;

  bool operator==(const Challenge &) const = default;
};

/// Answer to Challenge, sent by the side that opened the link.
struct Hello {
  std::string Cluster;
  std::string Name;
  Role Sender = Role::Operator;
  std::uint64_t RunId = 0;
  /// Revision in force at the sender; zero if it has none yet.
  Revision InForce;
  /// Nonce that Welcome::Proof must cover.
  Bytes Nonce;
  /// helloProof() over the nonce of the Challenge; see handshake.h.
  Bytes Proof;

  bool operator==(const Hello &) const = default;
};

/// Accepts a Hello.
struct Welcome {
  /// Name of the accepting host.
  std::string Host;
  /// welcomeProof() over Hello::Nonce.
  Bytes Proof;
  bool Leading = false;
  std::optional<ControlHost> Leader;
  /// Time since the sender last confirmed a quorum.
  std::chrono::milliseconds QuorumAge{0};

  bool operator==(const Welcome &) const = default;
};

/// Sent by both sides every 500 ms.
struct Heartbeat {
  Revision InForce;
  /// As in Welcome; zero if a daemon sends it.
  std::chrono::milliseconds QuorumAge{0};

  bool operator==(const Heartbeat &) const = default;
};

/// A part of a snapshot. Like Delta, it doesn't contain the quorum age, because
/// its encoding is shared between subscribers; Welcome and Heartbeat do.
struct Snapshot {
  control::SnapshotPart Value;

  bool operator==(const Snapshot &) const = default;
};

struct Delta {
  control::Delta Value;

  bool operator==(const Delta &) const = default;
};

/// \p InForce is now in force at the sender.
struct Applied {
  Revision InForce;

  bool operator==(const Applied &) const = default;
};

/// Registers a daemon, or renews its registration after a reconnect.
struct Announce {
  std::variant<control::UpstreamAnnouncement, control::EntryAnnouncement> Value;

  bool operator==(const Announce &) const = default;
};

/// The announcement is committed. Both ids are zero for entry hosts.
struct Announced {
  UpstreamId Id;
  Incarnation Instance;

  bool operator==(const Announced &) const = default;
};

/// The sender is shutting down.
struct Leave {
  bool operator==(const Leave &) const = default;
};

/// A command from an operator. The sender chooses its id, which must not be
/// empty.
struct CommandRequest {
  control::Command Value;

  bool operator==(const CommandRequest &) const = default;
};

/// Answer to CommandRequest, sent once the command is committed or has failed.
struct CommandResult {
  std::string Id;
  /// Set if the command was decided.
  std::optional<control::CommandResult> Decided;
  /// Set if this host didn't decide the command: NotLeader, NoQuorum or
  /// InvalidArgument (nothing was recorded), or OutcomeUnknown (send it again
  /// with the same id).
  std::optional<Error> Failure;
  /// The leader, if known.
  std::optional<ControlHost> Leader;

  bool operator==(const CommandResult &) const = default;
};

/// Kind of an operator's query. The results are JSON documents; see
/// control_queries.h.
enum class QueryKind : std::uint8_t {
  Status = 0,
  Profiles = 1,
  Services = 2,
  Upstreams = 3,
  Entries = 4,
  Members = 5,
  InForce = 6, ///< Hosts that have Query::At or a later revision in force.
  Outcomes = 7,
  Burn = 8,
};

struct Query {
  /// Chosen by the sender and repeated in the result.
  std::uint64_t Id = 0;
  QueryKind Kind{};
  /// For InForce; zero means the latest revision.
  Revision At;

  bool operator==(const Query &) const = default;
};

struct QueryResult {
  std::uint64_t Id = 0;
  /// Set on success.
  std::optional<nlohmann::json> Document;
  /// Set on failure: NotLeader, NoQuorum, or RevisionFromFuture (InForce only).
  std::optional<Error> Failure;
  std::optional<ControlHost> Leader;

  bool operator==(const QueryResult &) const = default;
};

struct OutcomeReport {
  control::OutcomeReport Value;

  bool operator==(const OutcomeReport &) const = default;
};

/// The sender refuses the link or a message on it, and then closes the link.
struct Refused {
  Error Reason;
  /// The leader, if it is known and Reason is NotLeader.
  std::optional<ControlHost> Leader;

  bool operator==(const Refused &) const = default;
};

/// A consensus message between control hosts (vote, append, snapshot chunk and
/// their replies). The consensus layer defines its encoding.
struct PeerMessage {
  Bytes Body;

  bool operator==(const PeerMessage &) const = default;
};

/// The index of an alternative is its type number on the wire and must never be
/// reused.
using Message =
    std::variant<Challenge, Hello, Welcome, Heartbeat, Snapshot, Delta, Applied,
                 Announce, Announced, Leave, CommandRequest, CommandResult,
                 Query, QueryResult, OutcomeReport, Refused, PeerMessage>;

/// Encodes \p Value as CBOR. Complexity: linear in its size.
Bytes encodeMessage(const Message &Value);

/// Decodes one message; never throws. Complexity: linear in its size. \returns
/// MessageUnknownType for a type number unknown to this version,
/// MessageMalformed for anything else that encodeMessage() doesn't produce.
Expected<Message> decodeMessage(const Bytes &Encoded);

} // namespace jasminearch::link

#endif // JASMINEARCH_LINK_MESSAGES_H
