#ifndef JASMINEARCH_AGENT_TAKE_OVER_H
#define JASMINEARCH_AGENT_TAKE_OVER_H

#include "jasminearch/agent/agent_state.h"
#include "jasminearch/clock.h"
#include "jasminearch/error.h"
#include "jasminearch/settings.h"
#include <functional>
#include <memory>
#include <vector>

/// The link over which an agent hands over to its successor. The predecessor
/// sends Challenge, the successor replies with Hello, authenticated with the
/// cluster's link key, and the predecessor then sends the parts of handover.h,
/// one per message.
namespace jasminearch::agent {

/// The predecessor's side. Listens on a background thread until destroyed.
class TakeOverServer {
public:
  virtual ~TakeOverServer() = default;

  /// \returns whether the link to a successor has been closed after the
  /// hand-over started, whether or not all parts were received. The process
  /// must exit then. Thread-safe.
  virtual bool finished() const = 0;
};

/// Listens on Settings.TakeOver. \p HandOver is called at most once, on the
/// server's thread, after a successor has been authenticated; it must stop the
/// agent and return the parts. \returns SocketFailed if the port is in use.
Expected<std::unique_ptr<TakeOverServer>>
startTakeOverServer(const AgentSettings &Settings,
                    std::function<std::vector<Bytes>()> HandOver);

/// The successor's side. Requests the state from the predecessor at \p From and
/// reads it into \p Target. Blocks until all parts have arrived. \returns
/// LinkFailed on a timeout, LinkClosed if the predecessor closes the link,
/// TakeOverRefused, or MessageMalformed. After an error \p Target must not be
/// used.
Expected<void> takeOver(const AgentSettings &Settings, Endpoint From,
                        State &Target, const Clock &Time);

} // namespace jasminearch::agent

#endif // JASMINEARCH_AGENT_TAKE_OVER_H
