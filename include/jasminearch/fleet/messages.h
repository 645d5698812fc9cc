#ifndef JASMINEARCH_FLEET_MESSAGES_H
#define JASMINEARCH_FLEET_MESSAGES_H

#include "jasminearch/error.h"
#include "jasminearch/flow/routes.h"
#include "jasminearch/types.h"
#include <chrono>
#include <compare>
#include <cstdint>
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
  /// Version of the routes that the sender has in force.
  std::uint64_t RoutesVersion = 0;
  auto operator<=>(const Hello &) const = default;
};

/// Sent periodically by both sides of an open link.
struct Status {
  /// From a control host: time since a quorum last confirmed the leader.
  std::chrono::milliseconds QuorumAge{0};
  std::uint64_t RoutesVersion = 0;
  /// From an agent: flow::serviceTag() of its upstream's service; zero before
  /// the upstream's first announcement.
  std::uint32_t ServiceTag = 0;
  auto operator<=>(const Status &) const = default;
};

/// Control hosts that the sender knows, so that hosts with only a few seeds
/// learn of the others.
struct ControlHosts {
  std::vector<std::string> Hosts;
  auto operator<=>(const ControlHosts &) const = default;
};

/// An agent, and the time since a control host last heard from it.
struct AgentRecord {
  Endpoint Tunnel;
  std::chrono::milliseconds Age{0};
  /// Tag of the service of the agent's upstream; zero if unknown.
  std::uint32_t ServiceTag = 0;
  auto operator<=>(const AgentRecord &) const = default;
};

/// All agents that the sender knows, or only new and changed ones.
struct Agents {
  std::vector<AgentRecord> Known;
  /// Whether Known contains all agents of the fleet, as far as the sender can
  /// tell.
  bool Complete = false;
  auto operator<=>(const Agents &) const = default;
};

/// Sent by an agent: its upstream is gone and the agent ends. Passed on between
/// control hosts and to entry hosts: the agent has left.
struct AgentDeparted {
  Endpoint Tunnel;
  auto operator<=>(const AgentDeparted &) const = default;
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

using Message = std::variant<Hello, Status, ControlHosts, Agents, Consensus,
                             Routes, AgentDeparted>;

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

  bool operator==(const AcceptedRoutes &) const = default;
};

/// \returns the log's form of \p Table, which was submitted as \p Document.
AcceptedRoutes makeAcceptedRoutes(flow::RouteTable Table,
                                  const std::string &Document);

/// \returns the operator's document, or an error if it can't be decompressed.
Expected<std::string> decodeDocument(const AcceptedRoutes &Value);

Bytes encodeAcceptedRoutes(const AcceptedRoutes &Value);
Expected<AcceptedRoutes> decodeAcceptedRoutes(const Bytes &Encoded);

} // namespace jasminearch::fleet

#endif // JASMINEARCH_FLEET_MESSAGES_H
