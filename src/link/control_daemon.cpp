#include "jasminearch/link/control_daemon.h"
#include "jasminearch/consensus/replicated_log.h"
#include "jasminearch/control/codec.h"
#include "jasminearch/link/control_server.h"
#include "jasminearch/link/link.h"
#include "jasminearch/log.h"
#include <algorithm>
#include <map>
#include <optional>
#include <random>
#include <utility>

namespace jasminearch::link {
namespace {

/// Bytes queued for a control host beyond which consensus messages to it are
/// dropped. The log repeats what got lost, and a stopped host must not fill
/// this one's memory.
constexpr std::size_t PeerQueueBytes = 8U << 20U;

/// Time that closing links get to send their last messages.
constexpr unsigned StopMilliseconds = 100;

std::string addressOf(const Endpoint &E) {
  const std::string Text = toString(E);
  return Text.substr(0, Text.find(':'));
}

class LinkedControlDaemon final : public ControlDaemon {
public:
  LinkedControlDaemon(ServerOptions Options, const Clock &Time)
      : Time(Time), Server(makeServerState(std::move(Options))) {
    LinkHandlers H;
    H.Opened = [this](LinkId Id, bool Incoming) { opened(Id, Incoming); };
    H.Received = [this](LinkId Id, Bytes Message) {
      received(Id, std::move(Message));
    };
    H.Closed = [this](LinkId Id) { closed(Id); };
    Hub = makeWebsocketHub(std::move(H), {});
  }

  Expected<void> open(consensus::ReplicatedLogOptions Options,
                      const Endpoint &Address) {
    auto Opened =
        consensus::openReplicatedLog(std::move(Options), Time, logHandlers());
    if (!Opened)
      return tl::make_unexpected(Opened.error());
    Log = std::move(*Opened);
    if (!Hub->listen(addressOf(Address), Address.Port))
      return fail(ErrorCode::SocketFailed,
                  "can't listen on " + toString(Address));
    Hub->every(ServerTickInterval.count(), [this] {
      Log->tick();
      step(ServerTick{});
    });
    return {};
  }

  Expected<void> run() override {
    Hub->run();
    if (Failure)
      return tl::make_unexpected(*Failure);
    return {};
  }

  void stop() override {
    Hub->post([this] {
      for (const auto &[Id, L] : Server.Links)
        Hub->close(Id);
      Hub->every(StopMilliseconds, [this] { Hub->stop(); });
    });
  }

private:
  consensus::ReplicatedLogHandlers logHandlers() {
    consensus::ReplicatedLogHandlers H;
    H.SendToPeer = [this](const std::string &Host, Bytes Message) {
      sendToPeer(Host, std::move(Message));
    };
    H.Committed = [this](Revision At, const Bytes &Entry) {
      step(EntryCommitted{At, Entry});
    };
    H.RestoreState = [this](Revision, const Bytes &State) {
      return restoreState(Server, State);
    };
    H.CaptureState = [this] { return control::encodeState(Server.Current); };
    H.LeadershipChanged = [this](bool Leading) {
      step(LeadershipChanged{Leading});
    };
    H.StorageFailed = [this](const Error &Reason) { storageFailed(Reason); };
    return H;
  }

  void storageFailed(const Error &Reason) {
    logError("storage_failed", Reason);
    if (Reason.Code == ErrorCode::StorageFull)
      return;
    Failure = Reason;
    Hub->stop();
  }

  ServerView view() const {
    ServerView View;
    View.Now = Time.now();
    View.Wall = Time.wallTime();
    View.QuorumAge = Duration::max();
    View.QueuedBytes = [this](LinkId Id) { return Hub->queuedBytes(Id); };
    if (!Log)
      return View;
    View.LeaseHeld = Log->leaseHeld();
    View.Leader = Log->leader();
    View.QuorumAge = Log->quorumAge();
    View.Members = Log->members();
    return View;
  }

  void step(const ServerEvent &Event) {
    for (ServerEffect &Effect : handle(Server, Event, view()))
      std::visit([this](auto &E) { perform(E); }, Effect);
  }

  void perform(const SendToLink &E) { Hub->send(E.Id, *E.Encoded); }
  void perform(const CloseLink &E) { Hub->close(E.Id); }
  void perform(const DialPeer &E) {
    const LinkId Id = Hub->connect(addressOf(E.To), E.To.Port);
    PeerLinks[E.Host] = Id;
    PeerHosts[Id] = E.Host;
  }
  void perform(const SendToPeer &E) {
    if (const auto Id = PeerLinks.find(E.Host); Id != PeerLinks.end())
      Hub->send(Id->second, *E.Encoded);
  }
  void perform(const HangUpPeer &E) {
    const auto Found = PeerLinks.find(E.Host);
    if (Found == PeerLinks.end())
      return;
    const LinkId Id = Found->second;
    PeerLinks.erase(Found);
    PeerHosts.erase(Id);
    Hub->close(Id);
  }
  void perform(const Propose &E) {
    const Expected<Revision> At = Log->propose(control::encodeCommand(E.Value));
    if (!At)
      return step(ProposalRefused{E.Value, At.error()});
    flushSoon();
  }
  void perform(const DeliverToLog &E) { Log->receive(E.Host, E.Body); }
  void perform(const ServerNotice &E) {
    if (!Notices.allow(Time.now()))
      return;
    if (!E.Reason)
      return logEvent(LogLevel::Info, E.Event, {{"subject", E.Subject}});
    logEvent(LogLevel::Warning, E.Event,
             {{"subject", E.Subject}, {"error", toString(*E.Reason)}});
  }

  /// Entries that are proposed together are written with one sync.
  void flushSoon() {
    if (std::exchange(FlushPosted, true))
      return;
    Hub->post([this] {
      FlushPosted = false;
      Log->flush();
    });
  }

  void sendToPeer(const std::string &Host, Bytes Message) {
    const auto Id = PeerLinks.find(Host);
    if (Id == PeerLinks.end() || !peerOpen(Server, Host) ||
        Hub->queuedBytes(Id->second) > PeerQueueBytes)
      return;
    Hub->send(Id->second, encodeMessage(PeerMessage{std::move(Message)}));
  }

  void opened(LinkId Id, bool Incoming) {
    if (Incoming)
      return step(LinkOpened{Id});
    if (const auto Host = PeerHosts.find(Id); Host != PeerHosts.end())
      step(PeerOpened{Host->second});
  }

  void received(LinkId Id, Bytes Message) {
    const auto Host = PeerHosts.find(Id);
    if (Host == PeerHosts.end())
      return step(LinkReceived{Id, std::move(Message)});
    step(PeerReceived{std::string(Host->second), std::move(Message)});
  }

  void closed(LinkId Id) {
    const auto Found = PeerHosts.find(Id);
    if (Found == PeerHosts.end())
      return step(LinkEnded{Id});
    const std::string Host = Found->second;
    PeerHosts.erase(Found);
    PeerLinks.erase(Host);
    step(PeerEnded{Host});
  }

  const Clock &Time;
  ServerState Server;
  std::unique_ptr<LinkHub> Hub;
  std::unique_ptr<consensus::ReplicatedLog> Log;
  /// Links that this host dialled, both ways.
  std::map<std::string, LinkId> PeerLinks;
  std::map<LinkId, std::string> PeerHosts;
  LogRateLimiter Notices{20};
  bool FlushPosted = false;
  std::optional<Error> Failure;
};

consensus::ReplicatedLogOptions logOptions(const ControlSettings &Settings,
                                           bool Bootstrap) {
  consensus::ReplicatedLogOptions O;
  O.Cluster = Settings.Common.Cluster;
  O.Host = Settings.Common.Name;
  for (const ControlHost &H : Settings.ControlHosts)
    O.Hosts.push_back(H.Name);
  O.DataFolder = Settings.DataFolder;
  O.Bootstrap = Bootstrap;
  O.Seed = std::random_device{}();
  return O;
}

} // namespace

Expected<std::unique_ptr<ControlDaemon>>
openControlDaemon(const ControlSettings &Settings, bool Bootstrap,
                  const Clock &Time) {
  const auto Own = std::find_if(
      Settings.ControlHosts.begin(), Settings.ControlHosts.end(),
      [&](const ControlHost &H) { return H.Name == Settings.Common.Name; });
  if (Own == Settings.ControlHosts.end())
    return fail(ErrorCode::UnknownHost,
                Settings.Common.Name + " is not among the control hosts");
  ServerOptions Options;
  Options.Cluster = Settings.Common.Cluster;
  Options.Name = Settings.Common.Name;
  Options.LinkKey = Settings.Common.LinkKey;
  Options.Hosts = Settings.ControlHosts;
  auto Daemon = std::make_unique<LinkedControlDaemon>(std::move(Options), Time);
  if (auto Opened = Daemon->open(logOptions(Settings, Bootstrap), Own->Address);
      !Opened)
    return tl::make_unexpected(Opened.error());
  return Daemon;
}

} // namespace jasminearch::link
