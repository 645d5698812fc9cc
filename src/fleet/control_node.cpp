#include "jasminearch/fleet/control_node.h"
#include "jasminearch/log.h"
#include <algorithm>
#include <utility>

namespace jasminearch::fleet {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

/// Age as told when no quorum was ever shown.
constexpr milliseconds NoQuorumAge{3'600'000};

/// \returns whether the sender of a Hello is sent the routes.
bool takesRoutes(const Hello &From) { return From.Sender == Role::Entry; }

} // namespace

ControlNode::ControlNode(ControlNodeOptions Given, const Clock &Time,
                         LogOpener Open, AgentStore Store)
    : Options(std::move(Given)), Time(Time), Open(std::move(Open)),
      Seeds(Options.Seeds.begin(), Options.Seeds.end()),
      Store(std::move(Store)) {
  for (const std::string &Host : Seeds)
    learnControlHost(Host);
  openLog();
  loadAgents();
}

std::uint64_t ControlNode::version() const {
  return Current ? Current->Version : 0;
}

std::vector<std::string> ControlNode::voters() const {
  std::vector<std::string> Hosts;
  if (Log)
    for (const consensus::Member &M : Log->members())
      if (M.Voter)
        Hosts.push_back(M.Host);
  return Hosts;
}

link::LinkHandlers ControlNode::linkHandlers() {
  link::LinkHandlers H;
  H.Opened = [this](link::LinkId Id, bool IsIncoming) {
    opened(Id, IsIncoming);
  };
  H.Received = [this](link::LinkId Id, const Bytes &Message) {
    received(Id, Message);
  };
  H.Closed = [this](link::LinkId Id) { closed(Id); };
  return H;
}

// Log -------------------------------------------------------------------------

void ControlNode::openLog() {
  consensus::ReplicatedLogOptions O;
  O.Cluster = Options.Cluster;
  O.Host = Options.Host;
  O.Hosts = knownHosts();
  O.DataFolder = Options.DataFolder;
  O.MaxVoters = 2 * Options.ToleratedLosses + 1;
  O.Seed = Options.Seed;
  O.EntriesPerSnapshot = SnapshotEntries;
  O.InitialVoters = Options.Seeds;
  O.Bootstrap = Options.Bootstrap && Seeds.contains(Options.Host);
  LogFailed = false;
  const TimePoint Began = Time.now();
  auto Opened = Open(O, logHandlers());
  if (!Opened && O.Bootstrap &&
      Opened.error().Code == ErrorCode::StorageAlreadyInitialized) {
    O.Bootstrap = false;
    Opened = Open(O, logHandlers());
  }
  if (!Opened)
    return storageFailed(Opened.error());
  Log = std::move(*Opened);
  logEvent(LogLevel::Info, "storage_opened",
           {{"version", version()},
            {"bootstrap", O.Bootstrap},
            {"took_ms",
             std::int64_t{
                 duration_cast<milliseconds>(Time.now() - Began).count()}}});
}

consensus::ReplicatedLogHandlers ControlNode::logHandlers() {
  consensus::ReplicatedLogHandlers H;
  H.SendToPeer = [this](const std::string &Host, Bytes Body) {
    const auto At = Peers.find(Host);
    if (At == Peers.end())
      return learnControlHost(Host);
    const Peer &P = At->second;
    if (P.Open && Hub->queuedBytes(*P.Link) < PeerQueueLimit)
      send(*P.Link, Consensus{std::move(Body)});
  };
  H.Committed = [this](Revision, const Bytes &Entry) {
    if (auto Adopted = adopt(Entry); !Adopted)
      logError("entry_unreadable", Adopted.error());
  };
  H.RestoreState = [this](Revision, const Bytes &State) -> Expected<void> {
    return State.empty() ? Expected<void>{} : adopt(State);
  };
  H.CaptureState = [this] { return CurrentEntry; };
  H.LeadershipChanged = [this](bool Leading) {
    logEvent(LogLevel::Info, Leading ? "leadership_won" : "leadership_lost",
             {{"version", version()}});
  };
  H.StorageFailed = [this](const Error &Failure) {
    logError("storage_failed", Failure);
    LogFailed = LogFailed || Failure.Code != ErrorCode::StorageFull;
  };
  return H;
}

/// Puts a committed configuration in force, unless a higher one is.
Expected<void> ControlNode::adopt(const Bytes &Entry) {
  auto Decoded = decodeAcceptedRoutes(Entry);
  if (!Decoded)
    return tl::unexpected(Decoded.error());
  if (Current && Decoded->Version <= Current->Version) {
    logEvent(LogLevel::Info, "routes_overtaken",
             {{"version", Decoded->Version}, {"in_force", version()}});
    return {};
  }
  Current = std::move(*Decoded);
  CurrentEntry = Entry;
  logEvent(LogLevel::Info, "routes_committed",
           {{"version", version()},
            {"bytes", std::uint64_t{Current->Message.size()}}});
  return {};
}

/// Closes the log; tick() opens it again.
void ControlNode::storageFailed(const Error &Failure) {
  logError("storage_closed", Failure);
  Log.reset();
  ReopenDue = Time.now() + ReopenPause;
}

// Links -----------------------------------------------------------------------

void ControlNode::send(link::LinkId Id, const Message &Value) {
  Hub->send(Id, encode(Value));
}

Status ControlNode::status() const {
  const Duration Age = Log ? Log->quorumAge() : Duration::max();
  const milliseconds Told =
      Age > NoQuorumAge ? NoQuorumAge : duration_cast<milliseconds>(Age);
  return {Told, version()};
}

bool ControlNode::quorumFresh() const {
  return Log && Log->quorumAge() < QuorumFresh;
}

std::vector<std::string> ControlNode::knownHosts() const {
  std::vector<std::string> Hosts;
  for (const auto &[Host, Unused] : Peers)
    Hosts.push_back(Host);
  Hosts.push_back(Options.Host);
  return Hosts;
}

void ControlNode::learnControlHost(const std::string &Host) {
  if (Host == Options.Host)
    return;
  const auto [At, New] = Peers.try_emplace(Host);
  if (!New)
    return;
  At->second.KnownAt = Time.now();
  if (Log)
    Log->setHosts(knownHosts());
}

void ControlNode::setSeeds(std::vector<std::string> Given) {
  Seeds = {Given.begin(), Given.end()};
  for (const std::string &Host : Seeds)
    learnControlHost(Host);
}

void ControlNode::opened(link::LinkId Id, bool IsIncoming) {
  const TimePoint Now = Time.now();
  if (IsIncoming) {
    Served &L = Incoming[Id];
    L.HeardAt = Now;
    return;
  }
  const auto Host = PeerOfLink.find(Id);
  if (Host == PeerOfLink.end())
    return Hub->close(Id);
  Peer &P = Peers[Host->second];
  P.Open = true;
  P.HeardAt = P.KnownAt = Now;
  P.StatusDue = Now + StatusInterval;
  send(Id, Hello{Role::Control, Options.Host, {}, version()});
  send(Id, allAgents(Now));
  logEvent(LogLevel::Info, "control_host_linked", {{"peer", Host->second}});
}

void ControlNode::closed(link::LinkId Id) {
  Incoming.erase(Id);
  const auto Host = PeerOfLink.find(Id);
  if (Host == PeerOfLink.end())
    return;
  const auto At = Peers.find(Host->second);
  if (At != Peers.end() && At->second.Link == Id) {
    if (At->second.Open)
      logEvent(LogLevel::Warning, "control_host_lost", {{"peer", At->first}});
    At->second.Link.reset();
    At->second.Open = false;
    At->second.DialDue = Time.now() + RedialPauseMax / 4;
  }
  PeerOfLink.erase(Host);
}

void ControlNode::received(link::LinkId Id, const Bytes &Encoded) {
  const TimePoint Now = Time.now();
  auto Decoded = decode(Encoded);
  if (!Decoded) {
    logError("message_unreadable", Decoded.error());
    return;
  }
  if (const auto Host = PeerOfLink.find(Id); Host != PeerOfLink.end()) {
    Peer &P = Peers[Host->second];
    P.HeardAt = P.KnownAt = Now;
    if (const auto *Known = std::get_if<ControlHosts>(&*Decoded))
      for (const std::string &Other : Known->Hosts)
        learnControlHost(Other);
    return;
  }
  const auto At = Incoming.find(Id);
  if (At == Incoming.end())
    return;
  At->second.HeardAt = Now;
  handle(Id, At->second, *Decoded);
}

void ControlNode::greet(link::LinkId Id, Served &L, const Hello &Value) {
  L.Greeted = true;
  L.From = Value;
  L.SentVersion = Value.RoutesVersion;
  if (Value.Sender == Role::Control)
    learnControlHost(Value.Host);
  if (Value.Sender == Role::Agent)
    learnAgent(Value.Tunnel, Time.now());
  send(Id, ControlHosts{knownHosts()});
  if (Value.Sender == Role::Entry)
    send(Id, allAgents(Time.now()));
}

void ControlNode::handle(link::LinkId Id, Served &L, const Message &Value) {
  const TimePoint Now = Time.now();
  if (const auto *M = std::get_if<Hello>(&Value))
    return greet(Id, L, *M);
  if (!L.Greeted)
    return Hub->close(Id);
  if (const auto *M = std::get_if<Consensus>(&Value)) {
    if (Log && L.From.Sender == Role::Control)
      Log->receive(L.From.Host, M->Body);
  } else if (const auto *M = std::get_if<Agents>(&Value)) {
    for (const AgentRecord &R : M->Known)
      learnAgent(R.Tunnel, Now - R.Age);
  } else if (const auto *M = std::get_if<Left>(&Value)) {
    forgetAgent(M->Tunnel);
  } else if (std::get_if<Status>(&Value) && L.From.Sender == Role::Agent) {
    learnAgent(L.From.Tunnel, Now);
  }
}

// Agents ----------------------------------------------------------------------

Agents ControlNode::allAgents(TimePoint Now) const {
  Agents All;
  All.Complete = true;
  for (const auto &[Tunnel, HeardAt] : Directory)
    All.Known.push_back({Tunnel, duration_cast<milliseconds>(Now - HeardAt)});
  return All;
}

void ControlNode::learnAgent(const Endpoint &Tunnel, TimePoint HeardAt) {
  const TimePoint Now = Time.now();
  const auto Departure = Departed.find(Tunnel);
  const bool Stale =
      Departure != Departed.end() && HeardAt <= Departure->second;
  if (Stale || Now - HeardAt >= AgentRecordLife)
    return;
  const auto [At, New] = Directory.try_emplace(Tunnel, HeardAt);
  At->second = std::max(At->second, HeardAt);
  if (!New)
    return;
  DirectoryChanged = true;
  logEvent(LogLevel::Info, "agent_known", {{"agent", toString(Tunnel)}});
  broadcast(
      Agents{{{Tunnel, duration_cast<milliseconds>(Now - HeardAt)}}, false});
}

/// Tells entry hosts and control hosts.
void ControlNode::broadcast(const Message &Value) {
  if (!Hub)
    return;
  const Bytes Encoded = encode(Value);
  for (const auto &[Id, L] : Incoming)
    if (L.Greeted && L.From.Sender == Role::Entry)
      Hub->send(Id, Encoded);
  for (const auto &[Host, P] : Peers)
    if (P.Open)
      Hub->send(*P.Link, Encoded);
}

void ControlNode::forgetAgent(const Endpoint &Tunnel) {
  Departed[Tunnel] = Time.now();
  if (Directory.erase(Tunnel) == 0)
    return;
  DirectoryChanged = true;
  logEvent(LogLevel::Info, "agent_left", {{"agent", toString(Tunnel)}});
  broadcast(Left{Tunnel});
}

void ControlNode::loadAgents() {
  const auto Stored = Store.Load();
  if (!Stored)
    return logError("agents_unreadable", Stored.error());
  if (Stored->empty())
    return;
  const auto Decoded = decode(*Stored);
  const auto *Known = Decoded ? std::get_if<Agents>(&*Decoded) : nullptr;
  if (!Known) {
    logError("agents_unreadable",
             Decoded ? Error{ErrorCode::MessageUnknownType, "not a list"}
                     : Decoded.error());
    return;
  }
  // Their age is unknown; they get the usual time to be heard again.
  for (const AgentRecord &R : Known->Known)
    Directory.emplace(R.Tunnel, Time.now());
  logEvent(LogLevel::Info, "agents_loaded",
           {{"agents", std::uint64_t{Directory.size()}}});
}

void ControlNode::saveAgents() {
  if (!std::exchange(DirectoryChanged, false))
    return;
  const auto Saved = Store.Save(encode(allAgents(Time.now())));
  if (!Saved)
    logError("agents_unsaved", Saved.error());
}

// Timers ----------------------------------------------------------------------

void ControlNode::dial(const std::string &Host, Peer &P, TimePoint Now) {
  if (P.Link || Now < P.DialDue)
    return;
  P.Link = Hub->connect(Host, Options.LinkPort);
  P.Open = false;
  P.HeardAt = Now;
  PeerOfLink[*P.Link] = Host;
}

void ControlNode::tickPeers(TimePoint Now) {
  std::vector<std::string> Forgotten;
  const auto Members = Log ? Log->members() : std::vector<consensus::Member>();
  for (const consensus::Member &M : Members)
    learnControlHost(M.Host);
  for (auto &[Host, P] : Peers) {
    if (P.Link && Now - P.HeardAt >= (P.Open ? LinkSilent : DialLimit)) {
      if (P.Open)
        logEvent(LogLevel::Warning, "control_host_silent", {{"peer", Host}});
      const link::LinkId Id = *P.Link;
      P.Link.reset();
      P.Open = false;
      PeerOfLink.erase(Id);
      Hub->close(Id);
    }
    if (P.Open && Now >= P.StatusDue) {
      P.StatusDue = Now + StatusInterval;
      send(*P.Link, status());
    }
    dial(Host, P, Now);
    const bool Needed =
        Seeds.contains(Host) ||
        std::any_of(Members.begin(), Members.end(),
                    [&Name = Host](const auto &M) { return M.Host == Name; });
    if (!P.Open && !Needed && Now - P.KnownAt >= ControlHostLife)
      Forgotten.push_back(Host);
  }
  for (const std::string &Host : Forgotten) {
    if (const auto Id = Peers[Host].Link) {
      PeerOfLink.erase(*Id);
      Hub->close(*Id);
    }
    Peers.erase(Host);
  }
}

void ControlNode::tickServed(TimePoint Now) {
  std::vector<link::LinkId> Silent;
  for (auto &[Id, L] : Incoming) {
    if (Now - L.HeardAt >= 2 * LinkSilent) {
      Silent.push_back(Id);
      continue;
    }
    if (!L.Greeted)
      continue;
    if (Now >= L.StatusDue) {
      L.StatusDue = Now + StatusInterval;
      send(Id, status());
    }
    const bool Newer = Current && L.SentVersion < Current->Version;
    if (!Newer || !takesRoutes(L.From) || Now < L.RoutesDue || !quorumFresh())
      continue;
    L.RoutesDue = Now + RoutesPause;
    L.SentVersion = Current->Version;
    Hub->send(Id, Current->Message);
  }
  for (const link::LinkId Id : Silent) {
    Incoming.erase(Id);
    Hub->close(Id);
  }
}

void ControlNode::tickDirectory(TimePoint Now) {
  if (Now < GossipDue)
    return;
  constexpr milliseconds GossipInterval{2000};
  GossipDue = Now + GossipInterval;
  DirectoryChanged |= std::erase_if(Directory, [Now](const auto &Item) {
                        return Now - Item.second >= AgentRecordLife;
                      }) != 0;
  std::erase_if(Departed, [Now](const auto &Item) {
    return Now - Item.second >= AgentRecordLife;
  });
  saveAgents();
  const Bytes All = encode(allAgents(Now));
  const Bytes Hosts = encode(ControlHosts{knownHosts()});
  for (const auto &[Id, L] : Incoming) {
    if (!L.Greeted)
      continue;
    Hub->send(Id, Hosts);
    if (L.From.Sender == Role::Entry)
      Hub->send(Id, All);
  }
  for (const auto &[Host, P] : Peers)
    if (P.Open)
      Hub->send(*P.Link, All);
}

void ControlNode::tick() {
  const TimePoint Now = Time.now();
  if (LogFailed)
    storageFailed({ErrorCode::StorageUnavailable, "an earlier write failed"});
  LogFailed = false;
  if (!Log && Now >= ReopenDue)
    openLog();
  if (Log)
    Log->tick();
  tickPeers(Now);
  tickServed(Now);
  tickDirectory(Now);
  tickWaiting(Now);
}

// Operators -------------------------------------------------------------------

void ControlNode::submit(AcceptedRoutes Value,
                         std::function<void(SubmitResult)> Done) {
  Waiting W;
  W.Version = Value.Version;
  W.Value = std::move(Value);
  W.Deadline = Time.now() + SubmitPatience;
  W.Done = std::move(Done);
  if (advance(W, Time.now()))
    return;
  Submissions.push_back(std::move(W));
  if (Log)
    Log->flush();
  tickWaiting(Time.now());
}

void ControlNode::read(std::function<void(ReadResult)> Done) {
  WaitingRead W{Time.now() + SubmitPatience, std::move(Done)};
  if (!advance(W, Time.now()))
    Reads.push_back(std::move(W));
}

void ControlNode::tickWaiting(TimePoint Now) {
  std::erase_if(Submissions, [&](Waiting &W) { return advance(W, Now); });
  std::erase_if(Reads, [&](WaitingRead &W) { return advance(W, Now); });
}

bool ControlNode::advance(Waiting &W, TimePoint Now) {
  const auto Answer = [&](std::string_view Outcome, SubmitResult Result) {
    logEvent(LogLevel::Info, "submission_answered",
             {{"version", W.Version},
              {"in_force", version()},
              {"outcome", std::string(Outcome)}});
    W.Done(std::move(Result));
    return true;
  };
  const bool Leads = leading();
  if (Leads && Current && Current->Version >= W.Version)
    return Answer("accepted", Accepted{W.Version});
  if (Now >= W.Deadline)
    return Answer("unavailable",
                  Unavailable{{ErrorCode::NoQuorum, "no leader committed it"}});
  const auto Leader = Log ? Log->leader() : std::nullopt;
  if (!Leads && Leader && *Leader != Options.Host && quorumFresh())
    return Answer("led_elsewhere", RedirectToLeader{*Leader});
  if (!Leads || W.Proposed)
    return false;
  const auto Proposed = Log->propose(encodeAcceptedRoutes(W.Value));
  if (!Proposed) {
    // Others can still write; while this host leads, they can't accept.
    if (Proposed.error().Code == ErrorCode::StorageFull)
      Log->stepDown();
    return Answer("refused_by_log", Unavailable{Proposed.error()});
  }
  W.Proposed = true;
  return false;
}

bool ControlNode::advance(WaitingRead &W, TimePoint Now) {
  if (leading()) {
    if (!Current) {
      W.Done(NoRoutes{});
      return true;
    }
    auto Document = decodeDocument(*Current);
    if (Document)
      W.Done(CurrentRoutes{version(), std::move(*Document)});
    else
      W.Done(Unavailable{Document.error()});
    return true;
  }
  const auto Leader = Log ? Log->leader() : std::nullopt;
  if (Leader && *Leader != Options.Host && quorumFresh()) {
    W.Done(RedirectToLeader{*Leader});
    return true;
  }
  if (Now < W.Deadline)
    return false;
  W.Done(
      Unavailable{{ErrorCode::NoQuorum, "no leader is confirmed by a quorum"}});
  return true;
}

} // namespace jasminearch::fleet
