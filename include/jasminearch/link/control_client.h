#ifndef JASMINEARCH_LINK_CONTROL_CLIENT_H
#define JASMINEARCH_LINK_CONTROL_CLIENT_H

#include "jasminearch/clock.h"
#include "jasminearch/control/command.h"
#include "jasminearch/control/config_model.h"
#include "jasminearch/control/promise_counts.h"
#include "jasminearch/link/link.h"
#include "jasminearch/types.h"
#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace jasminearch::link {

/// How a daemon reaches the control hosts.
struct ControlClientOptions {
  std::string Cluster;
  /// The daemon's own name.
  std::string Name;
  /// Shared secret that the control hosts ask for.
  std::string LinkKey;
  std::vector<Endpoint> ControlHosts;
  /// What the daemon announces about itself.
  std::variant<control::UpstreamAnnouncement, control::EntryAnnouncement>
      Announcement;
};

/// Called on the hub's thread.
struct ControlClientHandlers {
  /// A newer configuration is in force. Older ones never arrive.
  std::function<void(std::shared_ptr<const control::Configuration>)> Configured;
  /// The control hosts have committed the announcement.
  std::function<void(UpstreamId, Incarnation)> Announced;
};

/// A daemon's side of the link to the control hosts: keeps a live link, takes
/// snapshots and deltas, renews the announcement and reports outcomes. The
/// daemon keeps its last configuration while no control host can be reached.
class ControlClient {
public:
  virtual ~ControlClient() = default;

  /// Hands over the outcome counts that the next report carries.
  virtual void setOutcomeCounts(std::vector<control::PromiseCount> Counts) = 0;

  /// Tells the control hosts that this daemon leaves on purpose.
  virtual void leave() = 0;

  /// Whether a control host answered within the lease.
  virtual bool connected() const = 0;
};

/// Starts a client on a hub of its own, whose thread the client owns.
std::unique_ptr<ControlClient>
startControlClient(ControlClientOptions Options, const Clock &Time,
                   ControlClientHandlers Handlers);

} // namespace jasminearch::link

#endif // JASMINEARCH_LINK_CONTROL_CLIENT_H
