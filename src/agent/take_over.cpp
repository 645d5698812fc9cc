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

/// A predecessor that has a hundred thousand flows encodes them in about a
/// second; the link check leaves room above that.
constexpr std::chrono::seconds TakeOverPatience{30};
constexpr unsigned PollMillis = 20;

std::string addressOf(Endpoint Of) {
  const std::string Text = toString(Of);
  return Text.substr(0, Text.find(':'));
}

class LinkedTakeOverServer final : public TakeOverServer {
public:
  LinkedTakeOverServer(const AgentSettings &Chosen,
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

  ~LinkedTakeOverServer() override {
    Hub->stop();
    if (Server.joinable())
      Server.join();
  }

  bool start() {
    const Endpoint At = Settings.TakeOver;
    if (!Hub->listen(addressOf(At), At.Port))
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

  Expected<void> check(LinkId Id, const Bytes &Message) {
    const auto Read = link::decodeMessage(Message);
    if (!Read)
      return tl::unexpected<Error>(Read.error());
    const auto *Claim = std::get_if<link::Hello>(&*Read);
    if (Claim == nullptr || Claim->Sender != link::Role::Agent ||
        Claim->Name != Settings.Common.Name)
      return fail(ErrorCode::TakeOverRefused,
                  "the link is not from an agent named " +
                      Settings.Common.Name);
    return link::checkHello(*Claim, Settings.Common.LinkKey, Nonces[Id],
                            Settings.Common.Cluster);
  }

  void receive(LinkId Id, const Bytes &Message) {
    if (Successor)
      return;
    if (const auto Genuine = check(Id, Message); !Genuine) {
      logError("take_over_refused", Genuine.error());
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

/// One take-over, run on the calling thread.
class TakeOverClient {
public:
  TakeOverClient(const AgentSettings &Chosen, State &Target, const Clock &Clock)
      : Settings(Chosen), Into(Target), Time(Clock) {
    link::LinkHandlers Handlers;
    Handlers.Opened = [](LinkId, bool) {};
    Handlers.Received = [this](LinkId Id,
                               const std::vector<std::uint8_t> &Message) {
      Hello ? readPart(Message) : sendHello(Id, Message);
    };
    Handlers.Closed = [this](LinkId) {
      end(fail(ErrorCode::LinkClosed,
               Hello ? "the predecessor hung up during the take-over"
                     : "the predecessor does not answer"));
    };
    Hub = link::makeWebsocketHub(std::move(Handlers), {});
  }

  Expected<void> run(Endpoint From) {
    const TimePoint GiveUpAt = Time.now() + TakeOverPatience;
    Hub->connect(addressOf(From), From.Port);
    Hub->every(PollMillis, [this, GiveUpAt] {
      if (Time.now() >= GiveUpAt)
        end(fail(ErrorCode::LinkFailed, "the take-over took too long"));
    });
    Hub->run();
    return Outcome;
  }

private:
  void end(Expected<void> As) {
    if (Over)
      return;
    Over = true;
    Outcome = std::move(As);
    Hub->stop();
  }

  void sendHello(LinkId Id, const Bytes &Message) {
    const auto Read = link::decodeMessage(Message);
    const auto *Asked = Read ? std::get_if<link::Challenge>(&*Read) : nullptr;
    if (Asked == nullptr)
      return end(fail(ErrorCode::TakeOverRefused,
                      "the other side is not a predecessor"));
    link::Hello Claim;
    Claim.Cluster = Settings.Common.Cluster;
    Claim.Name = Settings.Common.Name;
    Claim.Sender = link::Role::Agent;
    Claim.Nonce = link::generateNonce();
    Claim.Proof =
        link::helloProof(Settings.Common.LinkKey, Asked->Nonce, Claim);
    Hub->send(Id, link::encodeMessage(Claim));
    Hello = true;
  }

  void readPart(const Bytes &Part) {
    if (Over)
      return;
    const auto Read = applyHandoverPart(Into, Progress, Part, Time.now());
    if (!Read)
      return end(Read);
    if (Progress.Complete)
      end({});
  }

  AgentSettings Settings;
  State &Into;
  const Clock &Time;
  HandoverProgress Progress;
  bool Hello = false;
  bool Over = false;
  Expected<void> Outcome;
  std::unique_ptr<link::LinkHub> Hub;
};

} // namespace

Expected<std::unique_ptr<TakeOverServer>>
startTakeOverServer(const AgentSettings &Settings,
                    std::function<std::vector<Bytes>()> HandOver) {
  auto Out =
      std::make_unique<LinkedTakeOverServer>(Settings, std::move(HandOver));
  if (!Out->start())
    return fail(ErrorCode::SocketFailed, "can't listen on " +
                                             toString(Settings.TakeOver) +
                                             " for a successor");
  return Out;
}

Expected<void> takeOver(const AgentSettings &Settings, Endpoint From,
                        State &Into, const Clock &Time) {
  TakeOverClient Client(Settings, Into, Time);
  return Client.run(From);
}

} // namespace jasminearch::agent
