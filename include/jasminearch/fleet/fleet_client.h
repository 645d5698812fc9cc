#ifndef JASMINEARCH_FLEET_FLEET_CLIENT_H
#define JASMINEARCH_FLEET_FLEET_CLIENT_H

#include "jasminearch/clock.h"
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

/// Most control hosts that a client remembers beside its seeds.
inline constexpr std::size_t MaxKnownControlHosts = 64;

struct FleetClientOptions {
  Role Own = Role::Entry;
  /// IPv4 address of this host in text form.
  std::string Host;
  /// Where an agent takes tunnel datagrams.
  Endpoint Tunnel;
  std::uint16_t LinkPort = 0;
  std::vector<std::string> Seeds;
  /// Where in the list of control hosts to begin, so that daemons spread.
  std::uint64_t Seed = 0;
};

/// Called on the hub's thread. Any of them may be empty.
struct FleetClientHandlers {
  /// Newer routes. Older ones never arrive.
  std::function<void(std::shared_ptr<const flow::RouteIndex>)> RoutesChanged;
  /// Agents that a control host knows; the flag tells whether these are all.
  std::function<void(const std::vector<Endpoint> &, bool)> AgentListReceived;
  /// An agent ended for good, after its upstream.
  std::function<void(const Endpoint &)> AgentLeft;
};

/// A daemon's link to one control host at a time. All members are called on the
/// hub's thread, except where they say otherwise.
class FleetClient {
public:
  FleetClient(FleetClientOptions Options, const Clock &Time,
              FleetClientHandlers Handlers);

  link::LinkHandlers linkHandlers();
  void setHub(link::LinkHub *Hub) { this->Hub = Hub; }

  /// Runs timers; call it at least every 50 ms.
  void tick();

  void setSeeds(std::vector<std::string> Seeds);

  /// Tells the control hosts that this agent ends for good.
  void leave();

  /// \returns whether a control host with a recent quorum has sent everything
  /// since this process started.
  bool current() const { return Routes && Listed && QuorumSeen; }

  std::uint64_t version() const { return Routes ? Routes->table().Version : 0; }
  bool linked() const { return Open; }

private:
  void opened(link::LinkId Id);
  void received(link::LinkId Id, const Bytes &Encoded);
  void closed(link::LinkId Id);
  void hangUp(std::string_view Reason);
  void dial(TimePoint Now);
  void learn(const std::vector<std::string> &Hosts);

  FleetClientOptions Options;
  const Clock &Time;
  FleetClientHandlers Handlers;
  link::LinkHub *Hub = nullptr;
  /// Control hosts in the order in which they are tried.
  std::vector<std::string> Hosts;
  std::size_t NextHost = 0;
  std::optional<link::LinkId> Link;
  std::string LinkedTo;
  bool Open = false;
  TimePoint DialDue{};
  std::chrono::milliseconds Pause = RedialPause;
  TimePoint HeardAt{};
  TimePoint StatusDue{};
  /// Last time that the control host showed a recent quorum.
  TimePoint QuorumAt{};
  std::shared_ptr<const flow::RouteIndex> Routes;
  bool Listed = false;
  bool QuorumSeen = false;
  bool Leaving = false;
};

} // namespace jasminearch::fleet

#endif // JASMINEARCH_FLEET_FLEET_CLIENT_H
