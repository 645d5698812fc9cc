#ifndef JASMINEARCH_LINK_LINK_H
#define JASMINEARCH_LINK_LINK_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

/// Message-oriented links between the system's processes, over websocketpp.
/// This header must remain valid C++17, because the one file that includes
/// websocketpp is compiled as C++17.
namespace jasminearch::link {

/// Identifies a link within its LinkHub. Never reused.
using LinkId = std::uint64_t;

/// Limits that a hub enforces on its peers.
struct LinkLimits {
  std::size_t MaxMessageBytes = 16U << 20U;
  /// Incoming links; further ones are refused during the handshake.
  std::size_t MaxLinks = 6000;
  /// A link is closed when more than this is queued for its peer.
  std::size_t MaxQueuedBytes = 64U << 20U;
};

/// Callbacks of a hub. They are called on the hub's thread, never concurrently,
/// and from no member function of the hub other than run(). Any of them may be
/// empty.
struct LinkHandlers {
  /// A link is open. \p Incoming is true if the peer opened it.
  std::function<void(LinkId, bool Incoming)> Opened;
  std::function<void(LinkId, std::vector<std::uint8_t>)> Received;
  /// A link was closed or a connection attempt failed. Called exactly once for
  /// each link that was opened or attempted, unless the hub is stopped.
  std::function<void(LinkId)> Closed;
};

/// Owns the links of one process and its event loop. All members except post(),
/// run() and stop() must be called on the thread that runs run(), or before
/// run() is called.
class LinkHub {
public:
  virtual ~LinkHub() = default;

  /// Accepts links on \p Address and \p Port; port 0 lets the system choose
  /// one. \returns false if the port can't be bound.
  virtual bool listen(const std::string &Address, std::uint16_t Port) = 0;

  /// \returns the port that listen() has bound, or 0 if it hasn't been called.
  virtual std::uint16_t listeningPort() const = 0;

  /// Starts to open a link. Calls Opened or Closed later.
  virtual LinkId connect(const std::string &Address, std::uint16_t Port) = 0;

  /// Queues a message. Does nothing if the link is unknown or closed.
  virtual void send(LinkId Id, const std::vector<std::uint8_t> &Message) = 0;

  /// Closes a link after its queued messages have been sent, or after one
  /// second. Nothing more is received from it; Closed is called later.
  virtual void close(LinkId Id) = 0;

  /// \returns the bytes queued on a link that haven't been written yet.
  virtual std::size_t queuedBytes(LinkId Id) const = 0;

  /// Calls \p Action on the hub's thread every \p Milliseconds.
  virtual void every(unsigned Milliseconds, std::function<void()> Action) = 0;

  /// Schedules \p Action on the hub's thread. Safe to call from any thread.
  virtual void post(std::function<void()> Action) = 0;

  /// Serves links until stop() is called. May then be called again.
  virtual void run() = 0;

  /// Ends run(). Safe to call from any thread, including one that handles
  /// signals.
  virtual void stop() = 0;
};

/// Creates a hub that uses websocketpp. Links carry binary messages only; any
/// other message, or one that exceeds the limit, closes the link.
std::unique_ptr<LinkHub> makeWebsocketHub(LinkHandlers Handlers,
                                          LinkLimits Limits);

} // namespace jasminearch::link

#endif // JASMINEARCH_LINK_LINK_H
