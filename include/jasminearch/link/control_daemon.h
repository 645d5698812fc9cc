#ifndef JASMINEARCH_LINK_CONTROL_DAEMON_H
#define JASMINEARCH_LINK_CONTROL_DAEMON_H

#include "jasminearch/clock.h"
#include "jasminearch/error.h"
#include "jasminearch/settings.h"
#include <memory>

namespace jasminearch::link {

/// A control host: runs the replicated log, the links and the logic of
/// control_server.h on one thread.
class ControlDaemon {
public:
  virtual ~ControlDaemon() = default;

  /// Serves until stop() is called. \returns an error of the 5xx group if it
  /// ended because storage failed.
  virtual Expected<void> run() = 0;

  /// Closes all links, so that daemons reconnect to another control host at
  /// once, and ends run(). Safe to call from any thread.
  virtual void stop() = 0;
};

/// Opens the data folder and listens on this host's address.
/// \param Bootstrap whether to create the data folder as one of the cluster's
/// first members.
/// \returns an error of the 5xx group, UnknownHost if Settings.ControlHosts
/// doesn't contain this host, or SocketFailed if its address can't be bound.
Expected<std::unique_ptr<ControlDaemon>>
openControlDaemon(const ControlSettings &Settings, bool Bootstrap,
                  const Clock &Time);

} // namespace jasminearch::link

#endif // JASMINEARCH_LINK_CONTROL_DAEMON_H
