// The only file that includes websocketpp. Compiled as C++17 (see
// CMakeLists.txt), so it includes no header of the project that needs C++20.
#define BOOST_ERROR_CODE_HEADER_ONLY
// The name is websocketpp's own.
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

/// Milliseconds until a connection attempt or a handshake is given up.
constexpr long HandshakeTimeoutMs = 2000;

/// Milliseconds that a closing link may take to send what is queued.
constexpr long CloseTimeoutMs = 1000;

/// Bytes that each link holds for reading. The library's 16 KiB would cost a
/// control host 75 MB for 4,700 links, and control messages are small.
constexpr std::size_t ReadBufferBytes = 2048;

/// Accepted connections that may be in their handshake beyond MaxLinks.
constexpr std::size_t MaxPending = 256;

/// \p Base with this project's timeouts and buffer sizes. Names are those of
/// the library.
// NOLINTBEGIN(readability-identifier-naming)
template <typename Base> struct Tuned : public Base {
  using type = Tuned;
  static const std::size_t connection_read_buffer_size = ReadBufferBytes;
  static const long timeout_open_handshake = HandshakeTimeoutMs;
  static const long timeout_close_handshake = CloseTimeoutMs;
};
// NOLINTEND(readability-identifier-naming)

using Server = ws::server<Tuned<ws::config::asio>>;
using Client = ws::client<Tuned<ws::config::asio_client>>;

class WebsocketHub final : public LinkHub {
public:
  WebsocketHub(LinkHandlers Handlers, LinkLimits Limits)
      : Handlers(withDefaults(std::move(Handlers))), Limits(Limits) {
    prepare(Acceptor);
    prepare(Connector);
    Connector.set_open_handshake_timeout(HandshakeTimeoutMs);
    Acceptor.set_reuse_addr(true);
    Acceptor.set_tcp_pre_init_handler(
        [this](const ws::connection_hdl &H) { limitPending(H); });
    Acceptor.set_validate_handler(
        [this](const ws::connection_hdl &H) { return admit(H); });
    Acceptor.set_open_handler([this](const ws::connection_hdl &H) {
      Pending.erase(H);
      opened(++LastId, Acceptor.get_con_from_hdl(H), /*IsIncoming=*/true);
    });
    Acceptor.set_fail_handler(
        [this](const ws::connection_hdl &H) { Pending.erase(H); });
  }

  bool listen(const std::string &Address, std::uint16_t Port) override {
    ws::lib::error_code Failed;
    boost::system::error_code BadAddress;
    const auto Ip = boost::asio::ip::address::from_string(Address, BadAddress);
    if (BadAddress)
      return false;
    Acceptor.listen({Ip, Port}, Failed);
    if (Failed)
      return false;
    Acceptor.start_accept(Failed);
    return !Failed;
  }

  std::uint16_t listeningPort() const override {
    boost::system::error_code Failed;
    const auto Local =
        const_cast<Server &>(Acceptor).get_local_endpoint(Failed);
    return Failed ? 0 : Local.port();
  }

  LinkId connect(const std::string &Address, std::uint16_t Port) override {
    const LinkId Id = ++LastId;
    ws::lib::error_code Failed;
    const std::string Uri =
        "ws://" + Address + ":" + std::to_string(Port) + "/";
    const Client::connection_ptr Con = Connector.get_connection(Uri, Failed);
    if (Failed) {
      post([this, Id] { Handlers.Closed(Id); });
      return Id;
    }
    Connecting.emplace(Id);
    Con->set_open_handler(
        [this, Id, Weak = std::weak_ptr(Con)](const ws::connection_hdl &) {
          connected(Id, Weak);
        });
    Con->set_fail_handler(
        [this, Id](const ws::connection_hdl &) { closedSoon(Id); });
    Connector.connect(Con);
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
      endSoon(Found).Close();
    } else if (Connecting.erase(Id) != 0) {
      Ending.insert(Id);
      post([this, Id] { closed(Id); });
    }
  }

  std::size_t queuedBytes(LinkId Id) const override {
    const auto Found = Links.find(Id);
    return Found == Links.end() ? 0 : Found->second.Queued();
  }

  void every(unsigned Milliseconds, std::function<void()> Action) override {
    auto T = std::make_shared<Timer>(
        Timer{boost::asio::steady_timer(Service),
              std::chrono::milliseconds(Milliseconds), std::move(Action)});
    T->Alarm.expires_from_now(T->Period);
    arm(std::move(T));
  }

  void post(std::function<void()> Action) override {
    Service.post(std::move(Action));
  }

  void run() override {
    const boost::asio::io_service::work KeepRunning(Service);
    Service.run();
    Service.restart();
  }

  void stop() override { Service.stop(); }

private:
  /// An open link, without the type of its end.
  struct Link {
    std::function<bool(const std::vector<std::uint8_t> &)> Send;
    std::function<void()> Close;
    std::function<void()> Abort;
    std::function<std::size_t()> Queued;
  };

  struct Timer {
    boost::asio::steady_timer Alarm;
    std::chrono::milliseconds Period;
    std::function<void()> Action;
  };

  /// Handlers that aren't set do nothing.
  static LinkHandlers withDefaults(LinkHandlers Given) {
    if (!Given.Opened)
      Given.Opened = [](LinkId, bool) {};
    if (!Given.Received)
      Given.Received = [](LinkId, const std::vector<std::uint8_t> &) {};
    if (!Given.Closed)
      Given.Closed = [](LinkId) {};
    return Given;
  }

  template <typename End> void prepare(End &Of) {
    Of.clear_access_channels(ws::log::alevel::all);
    Of.clear_error_channels(ws::log::elevel::all);
    Of.init_asio(&Service);
    Of.set_max_message_size(Limits.MaxMessageBytes);
  }

  /// Closes a new connection when too many are in their handshake.
  void limitPending(const ws::connection_hdl &H) {
    if (Pending.size() >= MaxPending)
      dropExpired();
    Pending.insert(H);
    if (Pending.size() <= MaxPending)
      return;
    boost::system::error_code Ignored;
    Acceptor.get_con_from_hdl(H)->get_raw_socket().close(Ignored);
    Pending.erase(H);
  }

  void dropExpired() {
    for (auto It = Pending.begin(); It != Pending.end();)
      It = It->expired() ? Pending.erase(It) : std::next(It);
  }

  bool admit(const ws::connection_hdl &H) {
    if (Incoming < Limits.MaxLinks)
      return true;
    Acceptor.get_con_from_hdl(H)->set_status(
        ws::http::status_code::service_unavailable);
    return false;
  }

  void connected(LinkId Id, const std::weak_ptr<Client::connection_type> &To) {
    const Client::connection_ptr Con = To.lock();
    if (!Con)
      return;
    if (Connecting.erase(Id) == 0) {
      // close() was called during the attempt.
      ws::lib::error_code Ignored;
      Con->close(ws::close::status::going_away, "", Ignored);
      return;
    }
    opened(Id, Con, /*IsIncoming=*/false);
  }

  template <typename ConnectionPtr>
  void opened(LinkId Id, const ConnectionPtr &Con, bool IsIncoming) {
    boost::system::error_code Ignored;
    Con->get_raw_socket().set_option(boost::asio::ip::tcp::no_delay(true),
                                     Ignored);
    Con->set_message_handler(
        [this, Id](const ws::connection_hdl &,
                   const typename Server::message_ptr &Message) {
          received(Id, Message->get_opcode(), Message->get_payload());
        });
    Con->set_close_handler(
        [this, Id](const ws::connection_hdl &) { closedSoon(Id); });
    Links.emplace(Id, linkTo(Con));
    if (IsIncoming) {
      ++Incoming;
      IncomingLinks.insert(Id);
    }
    Handlers.Opened(Id, IsIncoming);
  }

  template <typename ConnectionPtr>
  static Link linkTo(const ConnectionPtr &Con) {
    return {[Con](const std::vector<std::uint8_t> &Message) {
              return !Con->send(Message.data(), Message.size(),
                                ws::frame::opcode::binary);
            },
            [Con] {
              ws::lib::error_code Ignored;
              Con->close(ws::close::status::going_away, "", Ignored);
            },
            [Con] {
              Con->terminate(ws::error::make_error_code(ws::error::general));
            },
            [Con] { return Con->get_buffered_amount(); }};
  }

  void received(LinkId Id, ws::frame::opcode::value Kind,
                const std::string &Payload) {
    if (Links.count(Id) == 0)
      return;
    if (Kind != ws::frame::opcode::binary)
      return close(Id);
    Handlers.Received(Id, {Payload.begin(), Payload.end()});
  }

  /// Drops a link without waiting for what is queued on it.
  void abort(LinkId Id) {
    const auto Found = Links.find(Id);
    if (Found == Links.end())
      return;
    endSoon(Found).Abort();
  }

  using LinkMap = std::unordered_map<LinkId, Link>;

  /// Forgets a link at once, so that nothing more is received from it, and
  /// reports its end from outside the current call. The library calls its
  /// close handler from inside terminate(), so the link is forgotten first.
  Link endSoon(LinkMap::iterator Found) {
    const LinkId Id = Found->first;
    Link Ended = std::move(Found->second);
    Links.erase(Found);
    Ending.insert(Id);
    post([this, Id] { closed(Id); });
    return Ended;
  }

  /// The library calls its handlers from inside send() when a write fails, and
  /// users of the hub go through their links while they send.
  void closedSoon(LinkId Id) {
    post([this, Id] { closed(Id); });
  }

  /// Reports the end of a link once.
  void closed(LinkId Id) {
    if (Links.erase(Id) + Connecting.erase(Id) + Ending.erase(Id) == 0)
      return;
    Incoming -= IncomingLinks.erase(Id);
    Handlers.Closed(Id);
  }

  void arm(std::shared_ptr<Timer> T) {
    boost::asio::steady_timer &Alarm = T->Alarm;
    Alarm.async_wait([this, T = std::move(T)](boost::system::error_code Ec) {
      if (Ec)
        return;
      T->Action();
      // Fixed rate, but no burst after the process was stopped for a while.
      const auto Now = std::chrono::steady_clock::now();
      T->Alarm.expires_at(std::max(T->Alarm.expires_at() + T->Period, Now));
      arm(T);
    });
  }

  boost::asio::io_service Service{1};
  LinkHandlers Handlers;
  LinkLimits Limits;
  Server Acceptor;
  Client Connector;
  LinkId LastId = 0;
  LinkMap Links;
  std::set<LinkId> Connecting;
  std::set<LinkId> Ending;
  std::set<LinkId> IncomingLinks;
  std::size_t Incoming = 0;
  std::set<ws::connection_hdl, std::owner_less<ws::connection_hdl>> Pending;
};

} // namespace

std::unique_ptr<LinkHub> makeWebsocketHub(LinkHandlers Handlers,
                                          LinkLimits Limits) {
  return std::make_unique<WebsocketHub>(std::move(Handlers), Limits);
}

} // namespace jasminearch::link
