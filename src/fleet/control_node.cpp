#include "jasminearch/fleet/control_node.h"
#include "jasminearch/log.h"
#include <algorithm>
#include <utility>

namespace jasminearch::fleet {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

/// Quorum age that is reported if there has been no quorum yet, and the maximum
/// that is reported.
constexpr milliseconds MaxReportedQuorumAge{3'600'000};

/// \returns whether the routes are sent to the host that sent \p From.
bool receivesRoutes(const Hello &From) { return From.Sender == Role::Entry; }

} // namespace

ControlNode::ControlNode(ControlNodeOptions InitialOptions, const Clock &Time,
                         LogOpener Open, AgentStore Store)
    : Options(std::move(InitialOptions)), Time(Time), Open(std::move(Open)),
      Seeds(Options.Seeds.begin(), Options.Seeds.end()), StartedAt(Time.now()),
      Store(std::move(Store)) {
  for (const std::string &Host : Seeds)
    addControlHost(Host);
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
  O.EntriesPerSnapshot = LogEntriesPerSnapshot;
  O.InitialVoters = Options.Seeds;
  O.Bootstrap = Options.Bootstrap && Seeds.contains(Options.Host);
  LogFailed = false;
  const TimePoint OpenStartedAt = Time.now();
  auto Opened = Open(O, logHandlers());
  if (!Opened && O.Bootstrap &&
      Opened.error().Code == ErrorCode::StorageAlreadyInitialized) {
    O.Bootstrap = false;
    Opened = Open(O, logHandlers());
  }
  if (!Opened)
    return storageFailed(Opened.error());
  Log = std::move(*Opened);
  logEvent(
      LogLevel::Info, "storage_opened",
      {{"version", version()},
       {"bootstrap", O.Bootstrap},
       {"took_ms",
        std::int64_t{
            duration_cast<milliseconds>(Time.now() - OpenStartedAt).count()}}});
}

consensus::ReplicatedLogHandlers ControlNode::logHandlers() {
  consensus::ReplicatedLogHandlers H;
  H.SendToPeer = [this](const std::string &Host, Bytes Body) {
    const auto It = Peers.find(Host);
    if (It == Peers.end())
      return addControlHost(Host);
    const Peer &P = It->second;
    if (P.Open && Hub->queuedBytes(*P.Link) < MaxPeerQueueBytes)
      send(*P.Link, Consensus{std::move(Body)});
  };
  H.Committed = [this](Revision At, const Bytes &Entry) {
    if (auto Applied = applyEntry(At, Entry); !Applied)
      logError("entry_unreadable", Applied.error());
  };
  H.RestoreState = [this](Revision, const Bytes &State) -> Expected<void> {
    return restoreState(State);
  };
  H.CaptureState = [this] {
    return encodeControlState({CurrentEntry, Evacuated});
  };
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

Expected<void> ControlNode::applyEntry(Revision At, const Bytes &Entry) {
  return isEvacuationOrder(Entry) ? applyOrder(At, Entry) : applyRoutes(Entry);
}

/// Takes over the state of a snapshot as far as it is newer: if the log was
/// opened again, this host may have applied later entries before.
Expected<void> ControlNode::restoreState(const Bytes &State) {
  auto Decoded = decodeControlState(State);
  if (!Decoded)
    return tl::unexpected(Decoded.error());
  if (!Decoded->RoutesEntry.empty())
    if (auto Applied = applyRoutes(Decoded->RoutesEntry); !Applied)
      return Applied;
  changeEvacuations(std::move(Decoded->Evacuated));
  return {};
}

/// Puts a committed configuration in force unless a higher version is.
Expected<void> ControlNode::applyRoutes(const Bytes &Entry) {
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

/// Closes the log; tick() opens it again after StorageReopenDelay.
void ControlNode::storageFailed(const Error &Failure) {
  logError("storage_closed", Failure);
  Log.reset();
  ReopenDue = Time.now() + StorageReopenDelay;
}

// Links -----------------------------------------------------------------------

void ControlNode::send(link::LinkId Id, const Message &Value) {
  Hub->send(Id, encode(Value));
}

Status ControlNode::status() const {
  const Duration Age = Log ? Log->quorumAge() : Duration::max();
  const milliseconds Reported = Age > MaxReportedQuorumAge
                                    ? MaxReportedQuorumAge
                                    : duration_cast<milliseconds>(Age);
  return {Reported, version(), Evacuated.Number};
}

bool ControlNode::hasRecentQuorum() const {
  return Log && Log->quorumAge() < MaxRecentQuorumAge;
}

std::vector<std::string> ControlNode::knownHosts() const {
  std::vector<std::string> Hosts;
  for (const auto &[Host, Unused] : Peers)
    Hosts.push_back(Host);
  Hosts.push_back(Options.Host);
  return Hosts;
}

void ControlNode::addControlHost(const std::string &Host) {
  if (Host == Options.Host)
    return;
  const auto [It, New] = Peers.try_emplace(Host);
  if (!New)
    return;
  It->second.KnownAt = Time.now();
  if (Log)
    Log->setHosts(knownHosts());
}

void ControlNode::setSeeds(std::vector<std::string> NewSeeds) {
  Seeds = {NewSeeds.begin(), NewSeeds.end()};
  for (const std::string &Host : Seeds)
    addControlHost(Host);
}

void ControlNode::opened(link::LinkId Id, bool IsIncoming) {
  const TimePoint Now = Time.now();
  if (IsIncoming) {
    IncomingLink &L = IncomingLinks[Id];
    L.HeardAt = Now;
    return;
  }
  const auto Host = PeerByLink.find(Id);
  if (Host == PeerByLink.end())
    return Hub->close(Id);
  Peer &P = Peers[Host->second];
  P.Open = true;
  P.HeardAt = P.KnownAt = Now;
  P.StatusDue = Now + StatusInterval;
  send(Id, Hello{Role::Control, Options.Host, {}, version()});
  sendDirectoryMessage(Id, digest(Host->second, Now));
  logEvent(LogLevel::Info, "control_host_linked", {{"peer", Host->second}});
}

void ControlNode::closed(link::LinkId Id) {
  forgetIncomingLink(Id);
  const auto Host = PeerByLink.find(Id);
  if (Host == PeerByLink.end())
    return;
  const auto It = Peers.find(Host->second);
  if (It != Peers.end() && It->second.Link == Id) {
    if (It->second.Open)
      logEvent(LogLevel::Warning, "control_host_lost", {{"peer", It->first}});
    It->second.Link.reset();
    It->second.Open = false;
    It->second.ConnectDue = Time.now() + MaxReconnectDelay / 4;
  }
  PeerByLink.erase(Host);
}

void ControlNode::forgetIncomingLink(link::LinkId Id) {
  const auto It = IncomingLinks.find(Id);
  if (It == IncomingLinks.end())
    return;
  const auto Agent = AgentLinks.find(It->second.From.Tunnel);
  if (Agent != AgentLinks.end() && Agent->second == Id)
    AgentLinks.erase(Agent);
  IncomingLinks.erase(It);
}

void ControlNode::received(link::LinkId Id, const Bytes &Encoded) {
  const TimePoint Now = Time.now();
  auto Decoded = decode(Encoded);
  if (!Decoded) {
    logError("message_unreadable", Decoded.error());
    return;
  }
  if (const auto Host = PeerByLink.find(Id); Host != PeerByLink.end()) {
    Peer &P = Peers[Host->second];
    P.HeardAt = P.KnownAt = Now;
    if (const auto *Known = std::get_if<ControlHosts>(&*Decoded))
      for (const std::string &Other : Known->Hosts)
        addControlHost(Other);
    handleDirectoryMessage(Id, *Decoded);
    return;
  }
  const auto It = IncomingLinks.find(Id);
  if (It == IncomingLinks.end())
    return;
  It->second.HeardAt = Now;
  handleMessage(Id, It->second, *Decoded);
}

void ControlNode::handleHello(link::LinkId Id, IncomingLink &L,
                              const Hello &Value) {
  L.HelloReceived = true;
  L.From = Value;
  L.SentVersion = Value.RoutesVersion;
  if (Value.Sender == Role::Control)
    addControlHost(Value.Host);
  if (Value.Sender == Role::Agent)
    AgentLinks[Value.Tunnel] = Id;
  send(Id, ControlHosts{knownHosts()});
  if (Value.Sender == Role::Entry)
    sendAgentList(Id, L, Time.now());
}

void ControlNode::handleMessage(link::LinkId Id, IncomingLink &L,
                                const Message &Value) {
  if (const auto *Request = std::get_if<EvacuationRequest>(&Value))
    return handleEvacuationRequest(Id, *Request);
  const auto *First = std::get_if<Hello>(&Value);
  if ((First != nullptr) == L.HelloReceived)
    return Hub->close(Id);
  if (First)
    return handleHello(Id, L, *First);
  if (const auto *M = std::get_if<Consensus>(&Value)) {
    if (Log && L.From.Sender == Role::Control)
      Log->receive(L.From.Host, M->Body);
  } else if (L.From.Sender == Role::Control) {
    handleDirectoryMessage(Id, Value);
  } else if (const auto *Reported = std::get_if<Status>(&Value)) {
    L.ReportedEvacuations = Reported->EvacuationNumber;
    if (L.From.Sender == Role::Agent)
      confirmStatement(Id, L);
  } else if (L.From.Sender == Role::Agent) {
    if (const auto *Statement = std::get_if<Agents>(&Value))
      handleAgentStatement(Id, L, *Statement);
  }
}

// Timers ----------------------------------------------------------------------

void ControlNode::connectToPeer(const std::string &Host, Peer &P,
                                TimePoint Now) {
  if (P.Link || Now < P.ConnectDue)
    return;
  P.Link = Hub->connect(Host, Options.LinkPort);
  P.Open = false;
  P.HeardAt = Now;
  PeerByLink[*P.Link] = Host;
}

void ControlNode::tickPeers(TimePoint Now) {
  std::vector<std::string> Forgotten;
  const auto Members = Log ? Log->members() : std::vector<consensus::Member>();
  for (const consensus::Member &M : Members)
    addControlHost(M.Host);
  for (auto &[Host, P] : Peers) {
    if (P.Link &&
        Now - P.HeardAt >= (P.Open ? LinkSilenceTimeout : ConnectTimeout)) {
      if (P.Open)
        logEvent(LogLevel::Warning, "control_host_silent", {{"peer", Host}});
      const link::LinkId Id = *P.Link;
      P.Link.reset();
      P.Open = false;
      PeerByLink.erase(Id);
      Hub->close(Id);
    }
    if (P.Open && Now >= P.StatusDue) {
      P.StatusDue = Now + StatusInterval;
      send(*P.Link, status());
    }
    connectToPeer(Host, P, Now);
    const bool Needed =
        Seeds.contains(Host) ||
        std::any_of(Members.begin(), Members.end(),
                    [&Name = Host](const auto &M) { return M.Host == Name; });
    if (!P.Open && !Needed && Now - P.KnownAt >= ControlHostLifetime)
      Forgotten.push_back(Host);
  }
  for (const std::string &Host : Forgotten) {
    if (const auto Id = Peers[Host].Link) {
      PeerByLink.erase(*Id);
      Hub->close(*Id);
    }
    Peers.erase(Host);
  }
}

void ControlNode::tickIncomingLinks(TimePoint Now) {
  std::vector<link::LinkId> Silent;
  for (auto &[Id, L] : IncomingLinks) {
    if (Now - L.HeardAt >= 2 * LinkSilenceTimeout) {
      Silent.push_back(Id);
      continue;
    }
    if (!L.HelloReceived)
      continue;
    if (Now >= L.StatusDue) {
      L.StatusDue = Now + StatusInterval;
      send(Id, status());
    }
    if (L.From.Sender == Role::Entry && Now >= L.AgentListDue)
      sendAgentList(Id, L, Now);
    if (!hasRecentQuorum())
      continue;
    // Before the routes, with which a starting entry host becomes ready.
    sendEvacuations(Id, L);
    sendRoutes(Id, L, Now);
    sendServiceLimits(Id, L, Now);
    sendEarlierRuns(Id, L, Now);
  }
  for (const link::LinkId Id : Silent) {
    forgetIncomingLink(Id);
    Hub->close(Id);
  }
}

void ControlNode::sendRoutes(link::LinkId Id, IncomingLink &L, TimePoint Now) {
  const bool Newer = Current && L.SentVersion < Current->Version;
  if (!Newer || !receivesRoutes(L.From) || Now < L.RoutesDue)
    return;
  L.RoutesDue = Now + MinRoutesInterval;
  L.SentVersion = Current->Version;
  Hub->send(Id, Current->Message);
}

void ControlNode::tickAgentDirectory(TimePoint Now) {
  if (Now >= AgentStoreDue) {
    AgentStoreDue = Now + AgentStoreInterval;
    removeSilentAgents(Now);
    saveAgents();
  }
  if (Now < DigestDue)
    return;
  DigestDue = Now + DigestInterval;
  forgetDepartures(Directory, Now);
  const Bytes Hosts = encode(ControlHosts{knownHosts()});
  for (const auto &[Id, L] : IncomingLinks)
    if (L.HelloReceived)
      Hub->send(Id, Hosts);
  sendDigests(Now);
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
  tickIncomingLinks(Now);
  tickAgentDirectory(Now);
  tickPendingRequests(Now);
}

// Operators -------------------------------------------------------------------

void ControlNode::submit(AcceptedRoutes Value,
                         std::function<void(SubmitResult)> Done) {
  PendingSubmission W;
  W.Version = Value.Version;
  W.Value = std::move(Value);
  W.Deadline = Time.now() + SubmitTimeout;
  W.Done = std::move(Done);
  if (tryComplete(W, Time.now()))
    return;
  PendingSubmissions.push_back(std::move(W));
  if (Log)
    Log->flush();
  tickPendingRequests(Time.now());
}

void ControlNode::read(std::function<void(ReadResult)> Done) {
  PendingRead W{Time.now() + SubmitTimeout, std::move(Done)};
  if (!tryComplete(W, Time.now()))
    PendingReads.push_back(std::move(W));
}

void ControlNode::tickPendingRequests(TimePoint Now) {
  std::erase_if(PendingSubmissions,
                [&](PendingSubmission &W) { return tryComplete(W, Now); });
  std::erase_if(PendingReads,
                [&](PendingRead &W) { return tryComplete(W, Now); });
  tickPendingOrders(Now);
}

bool ControlNode::tryComplete(PendingSubmission &W, TimePoint Now) {
  const auto Answer = [&](std::string_view Outcome, SubmitResult Result) {
    logEvent(LogLevel::Info, "submission_answered",
             {{"version", W.Version},
              {"in_force", version()},
              {"outcome", std::string(Outcome)}});
    W.Done(std::move(Result));
    return true;
  };
  const bool IsLeader = leading();
  if (IsLeader && Current && Current->Version >= W.Version)
    return Answer("accepted", Accepted{W.Version});
  if (Now >= W.Deadline)
    return Answer(
        "unavailable",
        Unavailable{{ErrorCode::NoQuorum,
                     "no leader committed the configuration in time"}});
  const auto Leader = Log ? Log->leader() : std::nullopt;
  if (!IsLeader && Leader && *Leader != Options.Host && hasRecentQuorum())
    return Answer("led_elsewhere", RedirectToLeader{*Leader});
  if (!IsLeader || W.Proposed)
    return false;
  const auto Proposed = Log->propose(encodeAcceptedRoutes(W.Value));
  if (!Proposed) {
    // Other hosts may still be able to write, but can't accept anything while
    // this one leads.
    if (Proposed.error().Code == ErrorCode::StorageFull)
      Log->stepDown();
    return Answer("refused_by_log", Unavailable{Proposed.error()});
  }
  W.Proposed = true;
  return false;
}

bool ControlNode::tryComplete(PendingRead &W, TimePoint Now) {
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
  if (Leader && *Leader != Options.Host && hasRecentQuorum()) {
    W.Done(RedirectToLeader{*Leader});
    return true;
  }
  if (Now < W.Deadline)
    return false;
  W.Done(Unavailable{
      {ErrorCode::NoQuorum, "no leader has been confirmed by a quorum"}});
  return true;
}

} // namespace jasminearch::fleet
