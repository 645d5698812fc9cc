#ifndef JASMINEARCH_FLEET_MESSAGES_H
#define JASMINEARCH_FLEET_MESSAGES_H

#include "jasminearch/error.h"
#include "jasminearch/flow/routes.h"
#include "jasminearch/types.h"
#include <array>
#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// Control plane of a fleet whose hosts find each other through a few seeds.
/// Control hosts agree on one route configuration and keep track of the agents.
namespace jasminearch::fleet {

enum class Role : std::uint8_t { Control = 0, Entry = 1, Agent = 2 };

/// First message on a link, sent by the side that opened it.
struct Hello {
  Role Sender = Role::Entry;
  /// IPv4 address of the sender's host in text form; identifies the host.
  std::string Host;
  /// Where an agent receives tunnel datagrams.
  Endpoint Tunnel;
  /// Version of the routes that the sender has in force; from an agent, version
  /// of the routes whose cold limits it has in force.
  std::uint64_t RoutesVersion = 0;
  auto operator<=>(const Hello &) const = default;
};

/// Sent periodically by both sides of an open link.
struct Status {
  /// From a control host: time since a quorum last confirmed the leader.
  std::chrono::milliseconds QuorumAge{0};
  std::uint64_t RoutesVersion = 0;
  /// Evacuations::Number that the sender has in force.
  std::uint64_t EvacuationNumber = 0;
  auto operator<=>(const Status &) const = default;
};

/// Control hosts that the sender knows, so that hosts with only a few seeds
/// learn of the others.
struct ControlHosts {
  std::vector<std::string> Hosts;
  auto operator<=>(const ControlHosts &) const = default;
};

/// An agent's statement about itself. Only the agent makes new ones; the one
/// exception is the departure of an agent that has been silent for too long,
/// which a control host declares under the number of the agent's last record.
/// Records of one agent are ordered by incarnation, run, number and departure,
/// so that all hosts keep the same one in whatever order they receive them.
struct AgentRecord {
  /// Where the agent receives tunnel datagrams; identifies the agent.
  Endpoint Tunnel;
  /// An agent that learns of a record that supersedes its own, from an earlier
  /// process at its address, continues with a higher incarnation.
  std::uint64_t Incarnation = 0;
  /// Identifies the agent's process.
  std::uint64_t RunId = 0;
  /// Counts the records of this process; a new link to a control host begins
  /// with a new one.
  std::uint64_t Number = 0;
  /// The agent has left: its upstream is gone and holds no flows.
  bool Departed = false;
  /// flow::serviceTag() of its upstream's service; zero before the upstream's
  /// first announcement.
  std::uint32_t ServiceTag = 0;
  /// The control host that the agent made the record to, and that watches the
  /// agent's link.
  std::string ControlHost;
  /// Where the agent's host stands; empty if unknown.
  std::string DataCentre = {};
  std::string Region = {};
  auto operator<=>(const AgentRecord &) const = default;
};

/// Number of parts in which directories of agents are compared: one bit each in
/// the masks of Agents.
inline constexpr std::size_t DirectoryBucketCount = 64;

/// Records of agents: all that the sender holds, or only new and changed ones.
struct Agents {
  std::vector<AgentRecord> Records;
  /// To an entry host: Records contains all agents of the fleet, as far as the
  /// sender can tell. To a control host: the sender's directory is complete.
  bool Complete = false;
  /// Between control hosts: buckets of which Records contains everything that
  /// the sender holds. The receiver answers with what it holds beyond that.
  std::uint64_t Buckets = 0;
  auto operator<=>(const Agents &) const = default;
};

/// A count that a control host increases while it runs. Control hosts pass on
/// the highest count that they know of each other, so that they learn through
/// others that a host runs which they can't reach.
struct HostBeat {
  std::string Host;
  std::uint64_t Count = 0;
  auto operator<=>(const HostBeat &) const = default;
};

/// Sent periodically between control hosts, to find out whether their
/// directories of agents differ.
struct DirectoryDigest {
  std::uint64_t Hash = 0;
  bool Complete = false;
  std::vector<HostBeat> Beats;
  auto operator<=>(const DirectoryDigest &) const = default;
};

/// Answer to a digest with a different hash: the hash of each bucket.
struct DirectoryBuckets {
  std::array<std::uint64_t, DirectoryBucketCount> Hashes{};
  auto operator<=>(const DirectoryBuckets &) const = default;
};

/// A message of the replicated log.
struct Consensus {
  Bytes Body;
  auto operator<=>(const Consensus &) const = default;
};

/// The routes in force.
struct Routes {
  flow::RouteTable Table;
  bool operator==(const Routes &) const = default;
};

/// The data centres to whose upstreams no new flows are sent.
struct Evacuations {
  /// Revision of the log entry that last changed the state; zero before the
  /// first one. The state with the greatest number is in force.
  std::uint64_t Number = 0;
  /// Sorted, without duplicates.
  std::vector<std::string> DataCentres;
  auto operator<=>(const Evacuations &) const = default;
};

/// What the routes in force say of services, for agents, which get no routes.
struct ServiceLimits {
  std::uint64_t RoutesVersion = 0;
  std::vector<flow::ColdLimit> Limits;
  /// Names of all services; empty from a control host of an earlier version,
  /// which doesn't send them.
  std::vector<std::string> Services = {};
  auto operator<=>(const ServiceLimits &) const = default;
};

/// What a control host knows of the runs at an agent's address before the one
/// that is linked to it. Sent to an agent after its first statement on a link,
/// by a control host with a recent quorum.
struct EarlierRuns {
  /// Time since one of them was last heard of, by the sender's clock; empty if
  /// none was since the sender started.
  std::optional<std::chrono::milliseconds> HeardAge;
  auto operator<=>(const EarlierRuns &) const = default;
};

/// An entry host or agent that is linked to a control host.
struct LinkedDaemon {
  Role Kind = Role::Entry;
  std::string Host;
  /// Evacuations::Number that it has reported.
  std::uint64_t EvacuationNumber = 0;
  auto operator<=>(const LinkedDaemon &) const = default;
};

enum class EvacuationAction : std::uint8_t {
  Show = 0,
  Evacuate = 1,
  Withdraw = 2
};

/// An operator's request to a control host, on a link without a Hello.
struct EvacuationRequest {
  EvacuationAction Action = EvacuationAction::Show;
  /// Empty to show.
  std::string DataCentre;
  /// Random number of an order.
  std::uint64_t Id = 0;
  auto operator<=>(const EvacuationRequest &) const = default;
};

/// The answer to an EvacuationRequest.
struct EvacuationReply {
  /// Whether an order has been committed.
  bool Committed = false;
  /// Why it isn't known to be; the code is zero if there is no reason to tell.
  std::uint16_t FailureCode = 0;
  std::string Failure;
  /// The leader as far as the sender knows; empty if unknown.
  std::string Leader;
  /// The state at the sender, which needn't be in force any more unless an
  /// order has been committed.
  Evacuations State;
  /// Only to show: who is linked to the sender, and the control hosts that it
  /// knows including itself.
  std::vector<LinkedDaemon> Daemons;
  std::vector<std::string> ControlHosts;
  auto operator<=>(const EvacuationReply &) const = default;
};

/// The index of a type is its number in encoded messages. Routes messages are
/// stored in the log, so that their number must not change.
using Message =
    std::variant<Hello, Status, ControlHosts, Agents, Consensus, Routes,
                 DirectoryDigest, DirectoryBuckets, Evacuations, ServiceLimits,
                 EvacuationRequest, EvacuationReply, EarlierRuns>;

/// Encodes \p Value as a CBOR array of the message's type number and its
/// fields.
Bytes encode(const Message &Value);

/// \returns MessageMalformed or MessageUnknownType for input that encode()
/// can't produce.
Expected<Message> decode(const Bytes &Encoded);

/// A configuration as stored in the replicated log. The table stays encoded
/// because control hosts pass it on as it is: with a few percent of a core,
/// decoding 570 routes took 40 ms for each log entry.
struct AcceptedRoutes {
  std::uint64_t Version = 0;
  /// The Routes message, encoded.
  Bytes Message;
  /// The operator's document, compressed; kept so that it can be read back
  /// unchanged.
  Bytes Document;
  /// RouteTable::Services.
  std::vector<std::string> Services = {};

  bool operator==(const AcceptedRoutes &) const = default;
};

/// \returns the log's form of \p Table, which was submitted as \p Document.
AcceptedRoutes makeAcceptedRoutes(flow::RouteTable Table,
                                  const std::string &Document);

/// \returns the cold limits of the stored table. Decodes the table only if it
/// has any.
Expected<std::vector<flow::ColdLimit>>
decodeColdLimits(const AcceptedRoutes &Value);

/// \returns the operator's document, or an error if it can't be decompressed.
Expected<std::string> decodeDocument(const AcceptedRoutes &Value);

Bytes encodeAcceptedRoutes(const AcceptedRoutes &Value);

/// \returns the configuration in an entry. Decodes the table of an entry of an
/// earlier version, which doesn't list the services.
Expected<AcceptedRoutes> decodeAcceptedRoutes(const Bytes &Encoded);

} // namespace jasminearch::fleet

#endif // JASMINEARCH_FLEET_MESSAGES_H
