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

std::string addressText(const Endpoint &E) {
  const std::string Text = toString(E);
  return Text.substr(0, Text.find(':'));
}

/// Runs a ClientState over a websocket hub.
class WebsocketControlClient final : public ControlClient {
public:
  WebsocketControlClient(ControlClientOptions Options, const Clock &Time,
                         ControlClientHandlers Handlers)
      : Time(Time), Handlers(std::move(Handlers)),
        State(makeClientState(std::move(Options), std::random_device{}(),
                              Time.now())) {
    LinkHandlers Callbacks;
    Callbacks.Opened = [this](LinkId Id, bool) {
      if (Id == CurrentLink)
        handleEvent(ClientOpened{State.Attempt});
    };
    Callbacks.Closed = [this](LinkId Id) {
      if (Id == CurrentLink)
        handleEvent(ClientClosed{State.Attempt});
    };
    Callbacks.Received = [this](LinkId Id, Bytes Encoded) {
      if (Id == CurrentLink)
        handleEvent(ClientReceived{State.Attempt, std::move(Encoded)});
    };
    Hub = makeWebsocketHub(std::move(Callbacks), {});
    Hub->every(ClientTickInterval.count(),
               [this] { handleEvent(ClientTick{}); });
    HubThread = std::thread([this] { Hub->run(); });
  }

  ~WebsocketControlClient() override {
    Hub->stop();
    HubThread.join();
  }

  void setOutcomeCounts(std::vector<control::PromiseCount> Counts) override {
    Hub->post([this, Counts = std::move(Counts)]() mutable {
      State.Counts = std::move(Counts);
    });
  }

  /// Blocks until the message is passed to the link, at most for 500 ms, so
  /// that it is sent even if the daemon exits right after the call.
  void leave() override {
    constexpr std::chrono::milliseconds SendTimeout{500};
    constexpr std::chrono::milliseconds FlushDelay{50};
    auto LeavePromise = std::make_shared<std::promise<void>>();
    std::future<void> LeaveSent = LeavePromise->get_future();
    Hub->post([this, LeavePromise] {
      handleEvent(ClientLeaving{});
      LeavePromise->set_value();
    });
    if (std::this_thread::get_id() == HubThread.get_id())
      return;
    if (LeaveSent.wait_for(SendTimeout) == std::future_status::ready)
      std::this_thread::sleep_for(FlushDelay);
  }

  bool connected() const override { return Connected; }

private:
  void handleEvent(const ClientEvent &Event) {
    for (ClientEffect &Effect : handle(State, Event, Time.now()))
      std::visit([this](auto &E) { perform(E); }, Effect);
    Connected = isConnected(State, Time.now());
  }

  void perform(const Dial &E) {
    CurrentLink = Hub->connect(addressText(E.To), E.To.Port);
  }
  void perform(const SendMessage &E) {
    Hub->send(CurrentLink, encodeMessage(E.Value));
  }
  void perform(const Disconnect &) {
    Hub->close(std::exchange(CurrentLink, 0));
  }
  void perform(const ConfigurationChanged &E) {
    if (Handlers.Configured)
      Handlers.Configured(E.Value);
  }
  void perform(const AnnouncementCommitted &E) {
    if (Handlers.Announced)
      Handlers.Announced(E.Id, E.Instance);
  }
  void perform(const ClientError &E) {
    if (ErrorLogLimiter.allow(Time.now()))
      logError("control_link_trouble", E.Reason);
  }

  const Clock &Time;
  ControlClientHandlers Handlers;
  ClientState State;
  LinkId CurrentLink = 0;
  LogRateLimiter ErrorLogLimiter{5};
  std::atomic<bool> Connected = false;
  std::unique_ptr<LinkHub> Hub;
  std::thread HubThread;
};

} // namespace

std::unique_ptr<ControlClient>
startControlClient(ControlClientOptions Options, const Clock &Time,
                   ControlClientHandlers Handlers) {
  return std::make_unique<WebsocketControlClient>(std::move(Options), Time,
                                                  std::move(Handlers));
}

} // namespace jasminearch::link
