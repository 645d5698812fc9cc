#include "jasminearch/link/control_client.h"
#include "jasminearch/link/control_client_logic.h"
#include "jasminearch/log.h"
#include <atomic>
#include <future>
#include <random>
#include <thread>
#include <utility>

namespace jasminearch::link {
namespace {

std::string addressOf(const Endpoint &E) {
  const std::string Text = toString(E);
  return Text.substr(0, Text.find(':'));
}

/// Carries out the effects of a ClientState over a hub.
class LinkedControlClient final : public ControlClient {
public:
  LinkedControlClient(ControlClientOptions Options, const Clock &Time,
                      ControlClientHandlers Handlers)
      : Time(Time), Handlers(std::move(Handlers)),
        State(makeClientState(std::move(Options), std::random_device{}(),
                              Time.now())) {
    LinkHandlers Links;
    Links.Opened = [this](LinkId Id, bool) {
      if (Id == Link)
        step(ClientOpened{State.Attempt});
    };
    Links.Closed = [this](LinkId Id) {
      if (Id == Link)
        step(ClientClosed{State.Attempt});
    };
    Links.Received = [this](LinkId Id, Bytes Encoded) {
      if (Id == Link)
        step(ClientReceived{State.Attempt, std::move(Encoded)});
    };
    Hub = makeWebsocketHub(std::move(Links), {});
    Hub->every(ClientTickInterval.count(), [this] { step(ClientTick{}); });
    Server = std::thread([this] { Hub->run(); });
  }

  ~LinkedControlClient() override {
    Hub->stop();
    Server.join();
  }

  void setOutcomeCounts(std::vector<control::PromiseCount> Counts) override {
    Hub->post([this, Counts = std::move(Counts)]() mutable {
      State.Counts = std::move(Counts);
    });
  }

  /// Returns once the message is handed to the link or 500 ms have passed, so
  /// that a daemon that exits next still tells the control hosts.
  void leave() override {
    constexpr std::chrono::milliseconds Patience{500};
    constexpr std::chrono::milliseconds Flush{50};
    auto Left = std::make_shared<std::promise<void>>();
    std::future<void> Sent = Left->get_future();
    Hub->post([this, Left] {
      step(ClientLeaving{});
      Left->set_value();
    });
    if (std::this_thread::get_id() == Server.get_id())
      return;
    if (Sent.wait_for(Patience) == std::future_status::ready)
      std::this_thread::sleep_for(Flush);
  }

  bool connected() const override { return Connected; }

private:
  void step(const ClientEvent &Event) {
    for (ClientEffect &Effect : handle(State, Event, Time.now()))
      std::visit([this](auto &E) { perform(E); }, Effect);
    Connected = isConnected(State, Time.now());
  }

  void perform(const Dial &E) {
    Link = Hub->connect(addressOf(E.To), E.To.Port);
  }
  void perform(const SendMessage &E) {
    Hub->send(Link, encodeMessage(E.Value));
  }
  void perform(const Disconnect &) { Hub->close(std::exchange(Link, 0)); }
  void perform(const ConfigurationChanged &E) {
    if (Handlers.Configured)
      Handlers.Configured(E.Value);
  }
  void perform(const AnnouncementCommitted &E) {
    if (Handlers.Announced)
      Handlers.Announced(E.Id, E.Instance);
  }
  void perform(const ClientTrouble &E) {
    if (Troubles.allow(Time.now()))
      logError("control_link_trouble", E.Reason);
  }

  const Clock &Time;
  ControlClientHandlers Handlers;
  ClientState State;
  LinkId Link = 0;
  LogRateLimiter Troubles{5};
  std::atomic<bool> Connected = false;
  std::unique_ptr<LinkHub> Hub;
  std::thread Server;
};

} // namespace

std::unique_ptr<ControlClient>
startControlClient(ControlClientOptions Options, const Clock &Time,
                   ControlClientHandlers Handlers) {
  return std::make_unique<LinkedControlClient>(std::move(Options), Time,
                                               std::move(Handlers));
}

} // namespace jasminearch::link
