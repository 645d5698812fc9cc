// The only file that includes websocketpp. It is compiled as C++17 (see
// CMakeLists.txt), so it includes no project header that requires C++20.
#define BOOST_ERROR_CODE_HEADER_ONLY
// The name is defined by websocketpp.
// NOLINTNEXTLINE(bugprone-reserved-identifier)
#define _WEBSOCKETPP_CPP11_STL_
#include "jasminearch/link/link.h"
#include <boost/asio/io_service.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <set>
#include <unordered_map>
#include <utility>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

namespace jasminearch::link {
namespace {

namespace ws = websocketpp;

/// Timeout of a connection attempt and of a websocket handshake.
constexpr long HandshakeTimeoutMs = 2000;

/// Time that a closing link has to send its queued messages.
constexpr long CloseTimeoutMs = 1000;

/// Read buffer of each link. The library's default of 16 KiB would cost a
/// control host 75 MB for 4,700 links, and control messages are small.
constexpr std::size_t ReadBufferBytes = 2048;

/// Maximum number of connections with an incomplete handshake, in addition to
/// MaxLinks.
constexpr std::size_t MaxPendingHandshakes = 256;

/// \p Base with this project's timeouts and buffer sizes. The library defines
/// the names.
// NOLINTBEGIN(readability-identifier-naming)
template <typename Base> struct LinkConfig : public Base {
  using type = LinkConfig;
  static const std::size_t connection_read_buffer_size = ReadBufferBytes;
  static const long timeout_open_handshake = HandshakeTimeoutMs;
  static const long timeout_close_handshake = CloseTimeoutMs;
};
// NOLINTEND(readability-identifier-naming)

using Server = ws::server<LinkConfig<ws::config::asio>>;
using Client = ws::client<LinkConfig<ws::config::asio_client>>;

class WebsocketHub final : public LinkHub {
public:
  WebsocketHub(LinkHandlers Handlers, LinkLimits Limits)
      : Handlers(withDefaults(std::move(Handlers))), Limits(Limits) {
    configure(Acceptor);
    configure(Connector);
    Connector.set_open_handshake_timeout(HandshakeTimeoutMs);
    Acceptor.set_reuse_addr(true);
    Acceptor.set_tcp_pre_init_handler(
        [this](const ws::connection_hdl &H) { limitPendingHandshakes(H); });
    Acceptor.set_validate_handler(
        [this](const ws::connection_hdl &H) { return admitLink(H); });
    Acceptor.set_open_handler([this](const ws::connection_hdl &H) {
      PendingHandshakes.erase(H);
      handleOpened(++LastId, Acceptor.get_con_from_hdl(H), /*IsIncoming=*/true);
    });
    Acceptor.set_fail_handler(
        [this](const ws::connection_hdl &H) { PendingHandshakes.erase(H); });
  }

  bool listen(const std::string &Address, std::uint16_t Port) override {
    ws::lib::error_code Error;
    boost::system::error_code AddressError;
    const auto Ip =
        boost::asio::ip::address::from_string(Address, AddressError);
    if (AddressError)
      return false;
    Acceptor.listen({Ip, Port}, Error);
    if (Error)
      return false;
    Acceptor.start_accept(Error);
    return !Error;
  }

  std::uint16_t listeningPort() const override {
    boost::system::error_code Error;
    const auto Local = const_cast<Server &>(Acceptor).get_local_endpoint(Error);
    return Error ? 0 : Local.port();
  }

  LinkId connect(const std::string &Address, std::uint16_t Port) override {
    const LinkId Id = ++LastId;
    ws::lib::error_code Error;
    const std::string Uri =
        "ws://" + Address + ":" + std::to_string(Port) + "/";
    const Client::connection_ptr Connection =
        Connector.get_connection(Uri, Error);
    if (Error) {
      post([this, Id] { Handlers.Closed(Id); });
      return Id;
    }
    Connecting.emplace(Id);
    Connection->set_open_handler(
        [this, Id, WeakConnection = std::weak_ptr(Connection)](
            const ws::connection_hdl &) {
          handleConnected(Id, WeakConnection);
        });
    Connection->set_fail_handler(
        [this, Id](const ws::connection_hdl &) { postClosed(Id); });
    Connector.connect(Connection);
    return Id;
  }

  void send(LinkId Id, const std::vector<std::uint8_t> &Message) override {
    const auto Found = Links.find(Id);
    if (Found == Links.end())
      return;
    if (Found->second.Queued() + Message.size() > Limits.MaxQueuedBytes)
      return abort(Id);
    if (!Found->second.Send(Message))
      abort(Id);
  }

  void close(LinkId Id) override {
    const auto Found = Links.find(Id);
    if (Found != Links.end()) {
      removeLink(Found).Close();
    } else if (Connecting.erase(Id) != 0) {
      Closing.insert(Id);
      post([this, Id] { reportClosed(Id); });
    }
  }

  std::size_t queuedBytes(LinkId Id) const override {
    const auto Found = Links.find(Id);
    return Found == Links.end() ? 0 : Found->second.Queued();
  }

  void every(unsigned Milliseconds, std::function<void()> Action) override {
    auto T = std::make_shared<Timer>(
        Timer{boost::asio::steady_timer(IoService),
              std::chrono::milliseconds(Milliseconds), std::move(Action)});
    T->AsioTimer.expires_from_now(T->Period);
    startTimer(std::move(T));
  }

  void post(std::function<void()> Action) override {
    IoService.post(std::move(Action));
  }

  void run() override {
    const boost::asio::io_service::work KeepRunning(IoService);
    IoService.run();
    IoService.restart();
  }

  void stop() override { IoService.stop(); }

private:
  /// An open link. Hides whether it is a client or a server connection.
  struct Link {
    std::function<bool(const std::vector<std::uint8_t> &)> Send;
    std::function<void()> Close;
    std::function<void()> Abort;
    std::function<std::size_t()> Queued;
  };

  struct Timer {
    boost::asio::steady_timer AsioTimer;
    std::chrono::milliseconds Period;
    std::function<void()> Action;
  };

  /// Replaces empty handlers with ones that do nothing.
  static LinkHandlers withDefaults(LinkHandlers UserHandlers) {
    if (!UserHandlers.Opened)
      UserHandlers.Opened = [](LinkId, bool) {};
    if (!UserHandlers.Received)
      UserHandlers.Received = [](LinkId, const std::vector<std::uint8_t> &) {};
    if (!UserHandlers.Closed)
      UserHandlers.Closed = [](LinkId) {};
    return UserHandlers;
  }

  template <typename EndpointType> void configure(EndpointType &Endpoint) {
    Endpoint.clear_access_channels(ws::log::alevel::all);
    Endpoint.clear_error_channels(ws::log::elevel::all);
    Endpoint.init_asio(&IoService);
    Endpoint.set_max_message_size(Limits.MaxMessageBytes);
  }

  /// Closes a new connection if too many handshakes are pending.
  void limitPendingHandshakes(const ws::connection_hdl &H) {
    if (PendingHandshakes.size() >= MaxPendingHandshakes)
      removeExpiredHandshakes();
    PendingHandshakes.insert(H);
    if (PendingHandshakes.size() <= MaxPendingHandshakes)
      return;
    boost::system::error_code Ignored;
    Acceptor.get_con_from_hdl(H)->get_raw_socket().close(Ignored);
    PendingHandshakes.erase(H);
  }

  void removeExpiredHandshakes() {
    for (auto It = PendingHandshakes.begin(); It != PendingHandshakes.end();)
      It = It->expired() ? PendingHandshakes.erase(It) : std::next(It);
  }

  bool admitLink(const ws::connection_hdl &H) {
    if (IncomingCount < Limits.MaxLinks)
      return true;
    Acceptor.get_con_from_hdl(H)->set_status(
        ws::http::status_code::service_unavailable);
    return false;
  }

  void handleConnected(
      LinkId Id, const std::weak_ptr<Client::connection_type> &WeakConnection) {
    const Client::connection_ptr Connection = WeakConnection.lock();
    if (!Connection)
      return;
    if (Connecting.erase(Id) == 0) {
      // close() was called during the connection attempt.
      ws::lib::error_code Ignored;
      Connection->close(ws::close::status::going_away, "", Ignored);
      return;
    }
    handleOpened(Id, Connection, /*IsIncoming=*/false);
  }

  template <typename ConnectionPtr>
  void handleOpened(LinkId Id, const ConnectionPtr &Connection,
                    bool IsIncoming) {
    boost::system::error_code Ignored;
    Connection->get_raw_socket().set_option(
        boost::asio::ip::tcp::no_delay(true), Ignored);
    Connection->set_message_handler(
        [this, Id](const ws::connection_hdl &,
                   const typename Server::message_ptr &Message) {
          handleMessage(Id, Message->get_opcode(), Message->get_payload());
        });
    Connection->set_close_handler(
        [this, Id](const ws::connection_hdl &) { postClosed(Id); });
    Links.emplace(Id, makeLink(Connection));
    if (IsIncoming) {
      ++IncomingCount;
      IncomingLinks.insert(Id);
    }
    Handlers.Opened(Id, IsIncoming);
  }

  template <typename ConnectionPtr>
  static Link makeLink(const ConnectionPtr &Connection) {
    return {[Connection](const std::vector<std::uint8_t> &Message) {
              return !Connection->send(Message.data(), Message.size(),
                                       ws::frame::opcode::binary);
            },
            [Connection] {
              ws::lib::error_code Ignored;
              Connection->close(ws::close::status::going_away, "", Ignored);
            },
            [Connection] {
              Connection->terminate(
                  ws::error::make_error_code(ws::error::general));
            },
            [Connection] { return Connection->get_buffered_amount(); }};
  }

  void handleMessage(LinkId Id, ws::frame::opcode::value Opcode,
                     const std::string &Payload) {
    if (Links.count(Id) == 0)
      return;
    if (Opcode != ws::frame::opcode::binary)
      return close(Id);
    Handlers.Received(Id, {Payload.begin(), Payload.end()});
  }

  /// Closes a link without sending what is queued on it.
  void abort(LinkId Id) {
    const auto Found = Links.find(Id);
    if (Found == Links.end())
      return;
    removeLink(Found).Abort();
  }

  using LinkMap = std::unordered_map<LinkId, Link>;

  /// Removes a link at once, so that nothing more is received from it, and
  /// posts the call of Closed. The link is removed before the caller closes it,
  /// because the library calls its close handler from inside terminate().
  Link removeLink(LinkMap::iterator Found) {
    const LinkId Id = Found->first;
    Link Removed = std::move(Found->second);
    Links.erase(Found);
    Closing.insert(Id);
    post([this, Id] { reportClosed(Id); });
    return Removed;
  }

  /// Posts the call of Closed instead of making it directly: the library calls
  /// its handlers from inside send() if a write fails, and the hub's users
  /// iterate over their links while they send.
  void postClosed(LinkId Id) {
    post([this, Id] { reportClosed(Id); });
  }

  /// Calls Closed once for each link.
  void reportClosed(LinkId Id) {
    if (Links.erase(Id) + Connecting.erase(Id) + Closing.erase(Id) == 0)
      return;
    IncomingCount -= IncomingLinks.erase(Id);
    Handlers.Closed(Id);
  }

  void startTimer(std::shared_ptr<Timer> T) {
    boost::asio::steady_timer &AsioTimer = T->AsioTimer;
    AsioTimer.async_wait(
        [this, T = std::move(T)](boost::system::error_code Error) {
          if (Error)
            return;
          T->Action();
          // The timer has a fixed rate, but must not fire in a burst after the
          // process was paused.
          const auto Now = std::chrono::steady_clock::now();
          T->AsioTimer.expires_at(
              std::max(T->AsioTimer.expires_at() + T->Period, Now));
          startTimer(T);
        });
  }

  boost::asio::io_service IoService{1};
  LinkHandlers Handlers;
  LinkLimits Limits;
  Server Acceptor;
  Client Connector;
  LinkId LastId = 0;
  LinkMap Links;
  std::set<LinkId> Connecting;
  std::set<LinkId> Closing;
  std::set<LinkId> IncomingLinks;
  std::size_t IncomingCount = 0;
  std::set<ws::connection_hdl, std::owner_less<ws::connection_hdl>>
      PendingHandshakes;
};

} // namespace

std::unique_ptr<LinkHub> makeWebsocketHub(LinkHandlers Handlers,
                                          LinkLimits Limits) {
  return std::make_unique<WebsocketHub>(std::move(Handlers), Limits);
}

} // namespace jasminearch::link
