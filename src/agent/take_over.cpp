#include "jasminearch/agent/take_over.h"
#include "jasminearch/agent/handover.h"
#include "jasminearch/link/handshake.h"
#include "jasminearch/link/link.h"
#include "jasminearch/link/messages.h"
#include "jasminearch/log.h"
#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <thread>

namespace jasminearch::agent {

namespace {

using link::LinkId;

/// Time limit of a take-over. A predecessor with 100,000 flows needs about one
/// second to encode them.
constexpr std::chrono::seconds TakeOverTimeout{30};
constexpr unsigned TimeoutPollMs = 20;

std::string addressText(Endpoint Address) {
  const std::string Text = toString(Address);
  return Text.substr(0, Text.find(':'));
}

class WebsocketTakeOverServer final : public TakeOverServer {
public:
  WebsocketTakeOverServer(const AgentSettings &Chosen,
                          std::function<std::vector<Bytes>()> Stop)
      : Settings(Chosen), HandOver(std::move(Stop)) {
    link::LinkHandlers Handlers;
    Handlers.Opened = [this](LinkId Id, bool) { challenge(Id); };
    Handlers.Received = [this](LinkId Id,
                               const std::vector<std::uint8_t> &Message) {
      receive(Id, Message);
    };
    Handlers.Closed = [this](LinkId Id) {
      Nonces.erase(Id);
      if (Successor == Id)
        Finished = true;
    };
    Hub = link::makeWebsocketHub(std::move(Handlers), {});
  }

  ~WebsocketTakeOverServer() override {
    Hub->stop();
    if (Server.joinable())
      Server.join();
  }

  bool start() {
    const Endpoint Address = Settings.TakeOver;
    if (!Hub->listen(addressText(Address), Address.Port))
      return false;
    Server = std::thread([this] { Hub->run(); });
    return true;
  }

  bool finished() const override { return Finished; }

private:
  void challenge(LinkId Id) {
    Nonces[Id] = link::generateNonce();
    Hub->send(Id, link::encodeMessage(link::Challenge{Nonces[Id]}));
  }

  Expected<void> checkSuccessor(LinkId Id, const Bytes &Message) {
    const auto Read = link::decodeMessage(Message);
    if (!Read)
      return tl::unexpected<Error>(Read.error());
    const auto *HelloMessage = std::get_if<link::Hello>(&*Read);
    if (HelloMessage == nullptr || HelloMessage->Sender != link::Role::Agent ||
        HelloMessage->Name != Settings.Common.Name)
      return fail(ErrorCode::TakeOverRefused,
                  "expected a Hello message from an agent named " +
                      Settings.Common.Name);
    return link::checkHello(*HelloMessage, Settings.Common.LinkKey, Nonces[Id],
                            Settings.Common.Cluster);
  }

  void receive(LinkId Id, const Bytes &Message) {
    if (Successor)
      return;
    if (const auto Checked = checkSuccessor(Id, Message); !Checked) {
      logError("take_over_refused", Checked.error());
      return Hub->close(Id);
    }
    Successor = Id;
    const std::vector<Bytes> Parts = HandOver();
    logEvent(LogLevel::Info, "handing_over",
             {{"parts", static_cast<std::uint64_t>(Parts.size())}});
    for (const Bytes &Part : Parts)
      Hub->send(Id, Part);
  }

  AgentSettings Settings;
  std::function<std::vector<Bytes>()> HandOver;
  std::map<LinkId, Bytes> Nonces;
  std::optional<LinkId> Successor;
  std::atomic<bool> Finished = false;
  std::unique_ptr<link::LinkHub> Hub;
  std::thread Server;
};

/// Runs one take-over on the calling thread.
class TakeOverClient {
public:
  TakeOverClient(const AgentSettings &Chosen, State &Target, const Clock &Clock)
      : Settings(Chosen), Target(Target), Time(Clock) {
    link::LinkHandlers Handlers;
    Handlers.Opened = [](LinkId, bool) {};
    Handlers.Received = [this](LinkId Id,
                               const std::vector<std::uint8_t> &Message) {
      HelloSent ? receivePart(Message) : sendHello(Id, Message);
    };
    Handlers.Closed = [this](LinkId) {
      finish(fail(ErrorCode::LinkClosed,
                  HelloSent
                      ? "the predecessor closed the link during the take-over"
                      : "the predecessor did not send a challenge"));
    };
    Hub = link::makeWebsocketHub(std::move(Handlers), {});
  }

  Expected<void> run(Endpoint From) {
    const TimePoint Deadline = Time.now() + TakeOverTimeout;
    Hub->connect(addressText(From), From.Port);
    Hub->every(TimeoutPollMs, [this, Deadline] {
      if (Time.now() >= Deadline)
        finish(fail(ErrorCode::LinkFailed,
                    "the take-over did not finish within 30 s"));
    });
    Hub->run();
    return Result;
  }

private:
  void finish(Expected<void> NewResult) {
    if (Finished)
      return;
    Finished = true;
    Result = std::move(NewResult);
    Hub->stop();
  }

  void sendHello(LinkId Id, const Bytes &Message) {
    const auto Read = link::decodeMessage(Message);
    const auto *ReceivedChallenge =
        Read ? std::get_if<link::Challenge>(&*Read) : nullptr;
    if (ReceivedChallenge == nullptr)
      return finish(fail(ErrorCode::TakeOverRefused,
                         "expected a Challenge message from the predecessor"));
    link::Hello HelloMessage;
    HelloMessage.Cluster = Settings.Common.Cluster;
    HelloMessage.Name = Settings.Common.Name;
    HelloMessage.Sender = link::Role::Agent;
    HelloMessage.Nonce = link::generateNonce();
    HelloMessage.Proof = link::helloProof(
        Settings.Common.LinkKey, ReceivedChallenge->Nonce, HelloMessage);
    Hub->send(Id, link::encodeMessage(HelloMessage));
    HelloSent = true;
  }

  void receivePart(const Bytes &Part) {
    if (Finished)
      return;
    const auto Read = applyHandoverPart(Target, Progress, Part, Time.now());
    if (!Read)
      return finish(Read);
    if (Progress.Complete)
      finish({});
  }

  AgentSettings Settings;
  State &Target;
  const Clock &Time;
  HandoverProgress Progress;
  bool HelloSent = false;
  bool Finished = false;
  Expected<void> Result;
  std::unique_ptr<link::LinkHub> Hub;
};

} // namespace

Expected<std::unique_ptr<TakeOverServer>>
startTakeOverServer(const AgentSettings &Settings,
                    std::function<std::vector<Bytes>()> HandOver) {
  auto Out =
      std::make_unique<WebsocketTakeOverServer>(Settings, std::move(HandOver));
  if (!Out->start())
    return fail(ErrorCode::SocketFailed, "failed to listen on " +
                                             toString(Settings.TakeOver) +
                                             " for a successor");
  return Out;
}

Expected<void> takeOver(const AgentSettings &Settings, Endpoint From,
                        State &Target, const Clock &Time) {
  TakeOverClient Client(Settings, Target, Time);
  return Client.run(From);
}

} // namespace jasminearch::agent
