#ifndef JASMINEARCH_FLEET_FLEET_CLIENT_H
#define JASMINEARCH_FLEET_FLEET_CLIENT_H

#include "jasminearch/clock.h"
#include "jasminearch/fleet/agent_directory.h"
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
#include <string>
#include <vector>

namespace jasminearch::fleet {

/// Maximum number of control hosts that a client remembers, including its
/// seeds.
inline constexpr std::size_t MaxKnownControlHosts = 64;

struct FleetClientOptions {
  Role Own = Role::Entry;
  /// IPv4 address of this host in text form.
  std::string Host;
  /// Where an agent receives tunnel datagrams.
  Endpoint Tunnel;
  std::uint16_t LinkPort = 0;
  std::vector<std::string> Seeds;
  /// Selects the first control host to try, so that daemons spread over all of
  /// them.
  std::uint64_t Seed = 0;
  /// Identifies this run of an agent among all runs at its address.
  std::uint64_t RunId = 0;
  /// Where this host stands; empty if unknown.
  std::string DataCentre;
  std::string Region;
};

/// Handlers, called on the hub's thread. Any of them may be empty.
struct FleetClientHandlers {
  /// Called with the routes when a newer version arrives.
  std::function<void(std::shared_ptr<const flow::RouteIndex>)> RoutesChanged;
  /// Called with agents that a control host lists, without departures;
  /// Agents::Complete tells whether the list contains all of them.
  std::function<void(const Agents &)> AgentListReceived;
  /// Called when a listed agent has left, after its upstream.
  std::function<void(const Endpoint &)> AgentLeft;
  /// Called when evacuations with a greater number arrive.
  std::function<void(const Evacuations &)> EvacuationsChanged;
  /// Called at agents when the limits of newer routes arrive.
  std::function<void(const ServiceLimits &)> ServiceLimitsChanged;
  /// Called at agents when a control host says what it knows of earlier runs.
  std::function<void(const EarlierRuns &)> EarlierRunsReported;
};

/// A daemon's connection to the control hosts, one link at a time. All
/// functions must be called on the hub's thread.
class FleetClient {
public:
  FleetClient(FleetClientOptions Options, const Clock &Time,
              FleetClientHandlers Handlers);

  link::LinkHandlers linkHandlers();
  void setHub(link::LinkHub *Hub) { this->Hub = Hub; }

  /// Runs timers; must be called at least every 50 ms.
  void tick();

  void setSeeds(std::vector<std::string> Seeds);

  /// Sets the service of this agent's upstream and reports a change at once,
  /// because entry hosts place flows only on agents of a known service.
  void setServiceTag(std::uint32_t Tag);

  /// Sets whether control hosts list this agent. An agent that isn't listed, as
  /// its upstream holds no flows, says so until a control host acknowledges it,
  /// and then keeps no link.
  void setListed(bool Listed);

  /// Says that this agent's upstream is gone, unless this process has made a
  /// statement already. Control hosts may know the agent from an earlier
  /// process, and entry hosts would wait for its answers.
  void reportMissingUpstream();

  /// \returns whether the routes, the agent list and the evacuations have been
  /// received since this process started, from a control host with a recent
  /// quorum.
  bool current() const { return Current; }

  /// \returns the evacuations in force here.
  const Evacuations &evacuations() const { return Evacuated; }

  std::uint64_t version() const { return Routes ? Routes->table().Version : 0; }
  bool linked() const { return Open; }

private:
  void opened(link::LinkId Id);
  void received(link::LinkId Id, const Bytes &Encoded);
  void closed(link::LinkId Id);
  void disconnect(std::string_view Reason);
  void connectToNextHost(TimePoint Now);
  void sendStatus(TimePoint Now);
  void updateHosts(const std::vector<std::string> &Hosts);
  void handleMessage(Message &Value, TimePoint Now);
  void handleStatus(const Status &Value, TimePoint Now);
  void handleAgents(const Agents &Received, TimePoint Now);
  void handleEvacuations(const Evacuations &Received, TimePoint Now);
  void handleServiceLimits(const ServiceLimits &Received);
  /// Makes the agent's next record and sends it if a link is open.
  void makeStatement();
  /// Handles a record about this agent that a control host holds. A record that
  /// supersedes the agent's last statement is superseded by a new one; the same
  /// record acknowledges a departure.
  void compareWithOwn(const AgentRecord &Record);

  FleetClientOptions Options;
  const Clock &Time;
  FleetClientHandlers Handlers;
  link::LinkHub *Hub = nullptr;
  /// Control hosts in the order in which they are tried.
  std::vector<std::string> Hosts;
  std::size_t NextHost = 0;
  std::optional<link::LinkId> Link;
  std::string LinkedHost;
  bool Open = false;
  TimePoint ConnectDue{};
  std::chrono::milliseconds ReconnectDelay = MinReconnectDelay;
  TimePoint HeardAt{};
  TimePoint StatusDue{};
  /// When the control host last reported a recent quorum.
  TimePoint QuorumAt{};
  std::shared_ptr<const flow::RouteIndex> Routes;
  /// An agent's last statement about itself; its number is zero before the
  /// first one.
  AgentRecord Own;
  /// An agent has left, and no control host has acknowledged it.
  bool DeparturePending = false;
  /// At an entry host: the records received from control hosts, so that a
  /// control host with older news changes nothing.
  AgentDirectory Directory;
  bool AgentListComplete = false;
  bool QuorumSeen = false;
  Evacuations Evacuated;
  /// Greatest Evacuations::Number that a control host has named.
  std::uint64_t NamedEvacuations = 0;
  /// ServiceLimits::RoutesVersion in force at this agent.
  std::uint64_t LimitsVersion = 0;
  /// See current(); never becomes false again.
  bool Current = false;
  bool Listed = true;
};

} // namespace jasminearch::fleet

#endif // JASMINEARCH_FLEET_FLEET_CLIENT_H
