#ifndef JASMINEARCH_LINK_CONTROL_DAEMON_H
#define JASMINEARCH_LINK_CONTROL_DAEMON_H

#include "jasminearch/clock.h"
#include "jasminearch/error.h"
#include "jasminearch/settings.h"
#include <memory>

namespace jasminearch::link {

/// A control host: the replicated log, the links and the decisions of
/// control_server.h, served by one thread.
class ControlDaemon {
public:
  virtual ~ControlDaemon() = default;

  /// Serves until stop() is called. \returns the reason if it ended for another
  /// one, an error of the 5xx group.
  virtual Expected<void> run() = 0;

  /// Closes all links, so that daemons go to another control host at once, and
  /// ends run(). Safe from any thread.
  virtual void stop() = 0;
};

/// Opens the data folder and listens on this host's address.
/// \param Bootstrap creates the data folder as one of the first members.
/// \returns an error of the 5xx group, UnknownHost when Settings.ControlHosts
/// doesn't have this host, or SocketFailed when its address can't be bound.
Expected<std::unique_ptr<ControlDaemon>>
openControlDaemon(const ControlSettings &Settings, bool Bootstrap,
                  const Clock &Time);

} // namespace jasminearch::link

#endif // JASMINEARCH_LINK_CONTROL_DAEMON_H
