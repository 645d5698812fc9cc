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

/// Configuration of a daemon's link to the control hosts.
struct ControlClientOptions {
  std::string Cluster;
  /// Name of this daemon.
  std::string Name;
  /// Shared secret that both ends of a link must prove to know.
  std::string LinkKey;
  std::vector<Endpoint> ControlHosts;
  /// What this daemon registers with the control hosts.
  std::variant<control::UpstreamAnnouncement, control::EntryAnnouncement>
      Announcement;
};

/// Callbacks of a ControlClient. They run on the hub's thread.
struct ControlClientHandlers {
  /// Called when a newer configuration is in force, never with an older one.
  std::function<void(std::shared_ptr<const control::Configuration>)> Configured;
  /// Called when the control hosts have committed the announcement.
  std::function<void(UpstreamId, Incarnation)> Announced;
};

/// A daemon's end of its link to the control hosts. Reconnects when the link
/// fails, applies snapshots and deltas, renews the announcement and reports
/// outcomes. While no control host is reachable, the daemon keeps its last
/// configuration.
class ControlClient {
public:
  virtual ~ControlClient() = default;

  /// Sets the outcome counts that the next report sends.
  virtual void setOutcomeCounts(std::vector<control::PromiseCount> Counts) = 0;

  /// Tells the control hosts that this daemon is shutting down.
  virtual void leave() = 0;

  /// \returns whether the daemon is subscribed to a control host that it has
  /// heard from within SilenceTimeout.
  virtual bool connected() const = 0;
};

/// Starts a client with its own hub and its own thread.
std::unique_ptr<ControlClient>
startControlClient(ControlClientOptions Options, const Clock &Time,
                   ControlClientHandlers Handlers);

} // namespace jasminearch::link

#endif // JASMINEARCH_LINK_CONTROL_CLIENT_H
