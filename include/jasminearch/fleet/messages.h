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

/// Control of a fleet whose hosts find each other through a few seeds: control
/// hosts that agree on one route configuration and know the agents.
namespace jasminearch::fleet {

enum class Role : std::uint8_t { Control = 0, Entry = 1, Agent = 2 };

/// First message on a link, from the side that opened it.
struct Hello {
  Role Sender = Role::Entry;
  /// IPv4 address of the sender's host in text form; names the host.
  std::string Host;
  /// Where an agent takes tunnel datagrams.
  Endpoint Tunnel;
  /// Version of the routes that the sender has in force.
  std::uint64_t RoutesVersion = 0;
  auto operator<=>(const Hello &) const = default;
};

/// Sent both ways while a link is open.
struct Status {
  /// From a control host: time since a quorum confirmed the leader.
  std::chrono::milliseconds QuorumAge{0};
  std::uint64_t RoutesVersion = 0;
  auto operator<=>(const Status &) const = default;
};

/// Control hosts that the sender knows, for those that only know seeds.
struct ControlHosts {
  std::vector<std::string> Hosts;
  auto operator<=>(const ControlHosts &) const = default;
};

/// An agent, and when a control host last heard it.
struct AgentRecord {
  Endpoint Tunnel;
  std::chrono::milliseconds Age{0};
  auto operator<=>(const AgentRecord &) const = default;
};

/// Agents that the sender knows, or those that are new to it.
struct Agents {
  std::vector<AgentRecord> Known;
  /// Known is everything that the sender knows.
  bool Complete = false;
  auto operator<=>(const Agents &) const = default;
};

/// From an agent: its upstream is gone and it ends. Between control hosts and
/// to entry hosts: the agent has left.
struct Left {
  Endpoint Tunnel;
  auto operator<=>(const Left &) const = default;
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

using Message =
    std::variant<Hello, Status, ControlHosts, Agents, Consensus, Routes, Left>;

/// Encodes as a CBOR array: the message's number, then its fields.
Bytes encode(const Message &Value);

/// \returns MessageMalformed or MessageUnknownType for anything that encode()
/// can't write.
Expected<Message> decode(const Bytes &Encoded);

/// A configuration as the replicated log keeps it. Control hosts pass the table
/// on without decoding it: at a few percent of a core, decoding 570 routes took
/// 40 ms for each entry of the log.
struct AcceptedRoutes {
  std::uint64_t Version = 0;
  /// The Routes message, encoded.
  Bytes Message;
  /// The operator's document, compressed, kept to be read back as it was sent.
  Bytes Document;

  bool operator==(const AcceptedRoutes &) const = default;
};

/// \returns \p Table, sent as \p Document, in the form for the log.
AcceptedRoutes makeAcceptedRoutes(flow::RouteTable Table,
                                  const std::string &Document);

/// \returns the operator's document.
Expected<std::string> decodeDocument(const AcceptedRoutes &Value);

Bytes encodeAcceptedRoutes(const AcceptedRoutes &Value);
Expected<AcceptedRoutes> decodeAcceptedRoutes(const Bytes &Encoded);

} // namespace jasminearch::fleet

#endif // JASMINEARCH_FLEET_MESSAGES_H
