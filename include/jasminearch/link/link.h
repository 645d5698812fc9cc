#ifndef JASMINEARCH_LINK_LINK_H
#define JASMINEARCH_LINK_LINK_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

/// Links between the system's own processes: whole byte messages over
/// websocketpp. This header stays valid C++17, because the one file that
/// includes websocketpp is compiled so.
namespace jasminearch::link {

/// Names one link within one LinkHub. Never reused.
using LinkId = std::uint64_t;

/// Limits that a hub enforces on what others send it.
struct LinkLimits {
  std::size_t MaxMessageBytes = 16U << 20U;
  /// Links that others opened; further ones are refused during the handshake.
  std::size_t MaxLinks = 6000;
  /// A link whose other side lets more than this pile up is closed.
  std::size_t MaxQueuedBytes = 64U << 20U;
};

/// Called on the hub's thread, never concurrently and never from inside a
/// member function of the hub other than run(). Any of them may be empty.
struct LinkHandlers {
  /// A link is open; \p Incoming tells whether the other side opened it.
  std::function<void(LinkId, bool Incoming)> Opened;
  std::function<void(LinkId, std::vector<std::uint8_t>)> Received;
  /// A link closed, or a connection attempt failed. Follows exactly once for
  /// each link that was opened or attempted, unless the hub is stopped.
  std::function<void(LinkId)> Closed;
};

/// Owns the links of one process and the thread that serves them. All members
/// except run() and stop() must be called on that thread, or before run().
class LinkHub {
public:
  virtual ~LinkHub() = default;

  /// Accepts links at \p Address, \p Port. \returns false when the port can't
  /// be bound.
  virtual bool listen(const std::string &Address, std::uint16_t Port) = 0;

  /// \returns the port that listen() bound, zero before; tells the port that
  /// the system chose when listen() was called with zero.
  virtual std::uint16_t listeningPort() const = 0;

  /// Starts to open a link; Opened or Closed follows.
  virtual LinkId connect(const std::string &Address, std::uint16_t Port) = 0;

  /// Queues a message. Unknown and closed links ignore it.
  virtual void send(LinkId Id, const std::vector<std::uint8_t> &Message) = 0;

  /// Closes a link once its queued messages are sent, at the latest after one
  /// second. Nothing is received from it any more; Closed follows soon.
  virtual void close(LinkId Id) = 0;

  /// Bytes queued on a link that the other side hasn't taken yet.
  virtual std::size_t queuedBytes(LinkId Id) const = 0;

  /// Calls \p Action on the hub's thread every \p Milliseconds.
  virtual void every(unsigned Milliseconds, std::function<void()> Action) = 0;

  /// Calls \p Action on the hub's thread soon. Safe from any thread.
  virtual void post(std::function<void()> Action) = 0;

  /// Serves links until stop() is called. May be called again then.
  virtual void run() = 0;

  /// Ends run(). Safe from any thread and from a signal-handling thread.
  virtual void stop() = 0;
};

/// Makes a hub over websocketpp. Each link carries binary messages only;
/// others, and messages over the limit, close it.
std::unique_ptr<LinkHub> makeWebsocketHub(LinkHandlers Handlers,
                                          LinkLimits Limits);

} // namespace jasminearch::link

#endif // JASMINEARCH_LINK_LINK_H
