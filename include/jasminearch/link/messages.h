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

/// Messages between the system's processes. On the wire each one is a CBOR
/// array of its type number and its fields.
namespace jasminearch::link {

/// Bytes of a handshake nonce and of an HMAC-SHA256.
inline constexpr std::size_t NonceBytes = 16;
inline constexpr std::size_t ProofBytes = 32;

/// Nesting of arrays and maps that a message may have. The library's reader is
/// recursive, so unlimited nesting would exhaust the stack.
inline constexpr std::size_t MaxMessageDepth = 32;

/// What kind of process opened a link.
enum class Role : std::uint8_t {
  Entry = 0,
  Agent = 1,
  Control = 2,
  Operator = 3
};

/// First message on a link, from the side that accepted it.
struct Challenge {
  Bytes Nonce;

  bool operator==(const Challenge &) const = default;
};

/// Answer to Challenge, from the side that opened the link.
struct Hello {
  std::string Cluster;
  std::string Name;
  Role Sender = Role::Operator;
  std::uint64_t RunId = 0;
  /// Revision in force at the sender; zero when it has none yet.
  Revision InForce;
  /// Answered by Welcome::Proof.
  Bytes Nonce;
  /// helloProof() over the challenge; see handshake.h.
  Bytes Proof;

  bool operator==(const Hello &) const = default;
};

/// The Hello was accepted.
struct Welcome {
  /// Name of the accepting host.
  std::string Host;
  /// welcomeProof() over Hello::Nonce.
  Bytes Proof;
  bool Leading = false;
  std::optional<ControlHost> Leader;
  /// Time since the sender confirmed a quorum.
  std::chrono::milliseconds QuorumAge{0};

  bool operator==(const Welcome &) const = default;
};

/// Sent by both sides every 500 ms.
struct Heartbeat {
  Revision InForce;
  /// As in Welcome; zero from daemons.
  std::chrono::milliseconds QuorumAge{0};

  bool operator==(const Heartbeat &) const = default;
};

/// A part of a snapshot. Like Delta it doesn't tell the age of the quorum,
/// because its encoding is shared between subscribers; Welcome and Heartbeat
/// do.
struct Snapshot {
  control::SnapshotPart Value;

  bool operator==(const Snapshot &) const = default;
};

struct Delta {
  control::Delta Value;

  bool operator==(const Delta &) const = default;
};

/// \p InForce is in force at the sender.
struct Applied {
  Revision InForce;

  bool operator==(const Applied &) const = default;
};

/// A daemon registers, or renews its registration after a reconnect.
struct Announce {
  std::variant<control::UpstreamAnnouncement, control::EntryAnnouncement> Value;

  bool operator==(const Announce &) const = default;
};

/// The announcement is committed. The ids are zero for entry hosts.
struct Announced {
  UpstreamId Id;
  Incarnation Instance;

  bool operator==(const Announced &) const = default;
};

/// The sender leaves on purpose.
struct Leave {
  bool operator==(const Leave &) const = default;
};

/// An operator's command. Its id is chosen by the sender and must not be empty.
struct CommandRequest {
  control::Command Value;

  bool operator==(const CommandRequest &) const = default;
};

/// Answer to CommandRequest, sent once the command is committed or can't be.
struct CommandResult {
  std::string Id;
  /// Set when the command was decided.
  std::optional<control::CommandResult> Decided;
  /// Set when it was not decided here: NotLeader or InvalidArgument (nothing
  /// was recorded), or OutcomeUnknown (resend with the same id).
  std::optional<Error> Failure;
  /// The leader if it is known, with NotLeader.
  std::optional<ControlHost> Leader;

  bool operator==(const CommandResult &) const = default;
};

/// What an operator asks. The documents are JSON; see
/// control_queries.h.
enum class QueryKind : std::uint8_t {
  Status = 0,
  Profiles = 1,
  Services = 2,
  Upstreams = 3,
  Entries = 4,
  Members = 5,
  InForce = 6, ///< Where Query::At or a later revision is in force.
  Outcomes = 7,
  Burn = 8,
};

struct Query {
  /// Chosen by the sender, repeated in the result.
  std::uint64_t Id = 0;
  QueryKind Kind{};
  /// For InForce; zero means the latest.
  Revision At;

  bool operator==(const Query &) const = default;
};

struct QueryResult {
  std::uint64_t Id = 0;
  /// Set on success.
  std::optional<nlohmann::json> Document;
  /// Set otherwise: NotLeader, NoQuorum, or RevisionFromFuture for InForce.
  std::optional<Error> Failure;
  std::optional<ControlHost> Leader;

  bool operator==(const QueryResult &) const = default;
};

struct OutcomeReport {
  control::OutcomeReport Value;

  bool operator==(const OutcomeReport &) const = default;
};

/// The link or a message on it is refused; the sender then closes the link.
struct Refused {
  Error Reason;
  /// The leader if it is known, with NotLeader.
  std::optional<ControlHost> Leader;

  bool operator==(const Refused &) const = default;
};

/// A consensus message (vote, append, snapshot chunk and their replies) between
/// control hosts; its encoding belongs to the consensus layer.
struct PeerMessage {
  Bytes Body;

  bool operator==(const PeerMessage &) const = default;
};

/// Positions are the type numbers on the wire and are never reused.
using Message =
    std::variant<Challenge, Hello, Welcome, Heartbeat, Snapshot, Delta, Applied,
                 Announce, Announced, Leave, CommandRequest, CommandResult,
                 Query, QueryResult, OutcomeReport, Refused, PeerMessage>;

/// Encodes \p Value as CBOR. Complexity: linear in its size.
Bytes encodeMessage(const Message &Value);

/// Decodes one message. \returns MessageUnknownType for a type number that this
/// version doesn't have, MessageMalformed for anything else that
/// encodeMessage() doesn't write; never throws. Complexity: linear in its size.
Expected<Message> decodeMessage(const Bytes &Encoded);

} // namespace jasminearch::link

#endif // JASMINEARCH_LINK_MESSAGES_H
