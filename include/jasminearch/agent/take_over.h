#ifndef JASMINEARCH_AGENT_TAKE_OVER_H
#define JASMINEARCH_AGENT_TAKE_OVER_H

#include "jasminearch/agent/agent_state.h"
#include "jasminearch/clock.h"
#include "jasminearch/error.h"
#include "jasminearch/settings.h"
#include <functional>
#include <memory>
#include <vector>

/// The link over which an agent hands over to its successor: the predecessor
/// sends Challenge, the successor answers with Hello under the cluster's link
/// key, and then the parts of handover.h follow, one a message.
namespace jasminearch::agent {

/// The predecessor's side. Serves in the background while it exists.
class TakeOverServer {
public:
  virtual ~TakeOverServer() = default;

  /// Whether a successor has received all parts, or hung up during that. The
  /// process must exit then. From any thread.
  virtual bool finished() const = 0;
};

/// Listens at Settings.TakeOver. \p HandOver is called at most once, on the
/// server's thread, when a successor has proved the link key; it stops the
/// agent and returns the parts. \returns SocketFailed if the port is in use.
Expected<std::unique_ptr<TakeOverServer>>
startTakeOverServer(const AgentSettings &Settings,
                    std::function<std::vector<Bytes>()> HandOver);

/// The successor's side: asks the predecessor at \p From and reads everything
/// into \p Into. Blocks until all parts are there. \returns LinkFailed,
/// LinkClosed or TakeOverRefused; \p Into must not serve then.
Expected<void> takeOver(const AgentSettings &Settings, Endpoint From,
                        State &Into, const Clock &Time);

} // namespace jasminearch::agent

#endif // JASMINEARCH_AGENT_TAKE_OVER_H
