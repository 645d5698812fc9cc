#include "jasminearch/link/control_server.h"
#include "jasminearch/control/codec.h"
#include "jasminearch/link/control_client_logic.h"
#include "jasminearch/link/control_queries.h"
#include "jasminearch/link/handshake.h"
#include <algorithm>
#include <type_traits>
#include <utility>

namespace jasminearch::link {
namespace {

using Effects = std::vector<ServerEffect>;
using std::chrono::milliseconds;

/// Arguments that are passed to every event handler.
struct Context {
  ServerState &State;
  const ServerView &View;
  Effects &Out;
};

std::shared_ptr<const Bytes> encodeShared(const Message &Value) {
  return std::make_shared<const Bytes>(encodeMessage(Value));
}

void send(Context &C, LinkId Id, const Message &Value) {
  C.Out.emplace_back(SendToLink{Id, encodeShared(Value)});
}

milliseconds quorumAge(const ServerView &View) {
  return std::chrono::duration_cast<milliseconds>(View.QuorumAge);
}

std::optional<ControlHost> leaderHost(const Context &C) {
  for (const ControlHost &H : C.State.Options.Hosts)
    if (C.View.Leader && H.Name == *C.View.Leader)
      return H;
  return std::nullopt;
}

bool anotherHostLeads(const Context &C) {
  return C.View.Leader && *C.View.Leader != C.State.Options.Name;
}

/// \returns why this host can't handle a request that requires the leader.
Error notLeadingError(const Context &C) {
  if (anotherHostLeads(C))
    return {ErrorCode::NotLeader,
            *C.View.Leader + " is the leader, not " + C.State.Options.Name};
  return {ErrorCode::NoQuorum,
          C.State.Options.Name + " has no leader confirmed by a quorum"};
}

/// Removes a link from the state and closes it.
void closeLink(Context &C, LinkId Id) {
  if (C.State.Links.erase(Id) != 0)
    C.Out.emplace_back(CloseLink{Id});
}

void refuse(Context &C, LinkId Id, Error Reason) {
  const auto Found = C.State.Links.find(Id);
  if (Found == C.State.Links.end())
    return;
  C.Out.emplace_back(ServerNotice{"link_refused", Found->second.Name, Reason});
  const bool Redirects = Reason.Code == ErrorCode::NotLeader;
  send(C, Id,
       Refused{std::move(Reason), Redirects ? leaderHost(C) : std::nullopt});
  closeLink(C, Id);
}

void propose(Context &C, control::CommandBody Body) {
  C.Out.emplace_back(Propose{{std::string{}, std::move(Body)}});
}

bool isDaemon(const IncomingLink &L) {
  return L.Sender == Role::Entry || L.Sender == Role::Agent;
}

// Handshake -------------------------------------------------------------------

bool isKnownPeer(const Context &C, const std::string &Name) {
  const auto &Hosts = C.State.Options.Hosts;
  return Name != C.State.Options.Name &&
         std::any_of(Hosts.begin(), Hosts.end(),
                     [&](const ControlHost &H) { return H.Name == Name; });
}

Expected<void> checkMember(const Context &C, const IncomingLink &L,
                           const Hello &M) {
  const ServerOptions &O = C.State.Options;
  if (auto Proven = checkHello(M, O.LinkKey, L.Nonce, O.Cluster); !Proven)
    return Proven;
  if (M.Sender == Role::Control && !isKnownPeer(C, M.Name))
    return fail(ErrorCode::UnknownMember,
                M.Name + " is not among the control hosts of this cluster");
  if (M.Name.empty() || M.Name.size() > control::MaxNameLength)
    return fail(ErrorCode::UnknownMember,
                "a name must have 1 to " +
                    std::to_string(control::MaxNameLength) + " characters");
  const bool NewlyStarted = M.InForce.Number == 0 &&
                            M.Sender != Role::Operator &&
                            M.Sender != Role::Control;
  // A recent quorum isn't enough: between two leaders, a host may have one and
  // still lack entries that the previous leader committed.
  if (NewlyStarted && !C.View.LeaseHeld && !anotherHostLeads(C))
    return fail(ErrorCode::NoQuorum,
                "this host doesn't hold the leader lease, which is required to "
                "serve a newly started process");
  return {};
}

void acceptHello(Context &C, LinkId Id, IncomingLink &L, const Hello &M) {
  L.Name = M.Name;
  if (auto Member = checkMember(C, L, M); !Member)
    return refuse(C, Id, Member.error());
  L.Authenticated = true;
  L.Sender = M.Sender;
  L.RunId = M.RunId;
  L.SentRevision = M.InForce;
  L.NextHeartbeat = C.View.Now + HeartbeatInterval;
  Welcome Answer;
  Answer.Host = C.State.Options.Name;
  Answer.Proof = welcomeProof(C.State.Options.LinkKey, M.Nonce,
                              C.State.Options.Cluster, C.State.Options.Name);
  Answer.Leading = C.View.LeaseHeld;
  Answer.Leader = leaderHost(C);
  Answer.QuorumAge = quorumAge(C.View);
  send(C, Id, Answer);
  // Tells a newly started process which revision it must reach.
  if (isDaemon(L))
    send(C, Id, Heartbeat{C.State.Current.Config.InForce, quorumAge(C.View)});
}

// Daemons ---------------------------------------------------------------------

void updateDaemonStatus(Context &C, const IncomingLink &L, Revision InForce) {
  DaemonStatus &Status = C.State.Daemons[L.Name];
  Status.InForce = std::max(Status.InForce, InForce);
  Status.LastHeard = C.View.Now;
}

const control::Upstream *findUpstream(const control::State &State,
                                      const std::string &Name) {
  const auto Id = State.Index.UpstreamsByName.find(Name);
  return Id == State.Index.UpstreamsByName.end()
             ? nullptr
             : &State.Config.Upstreams.at(Id->second);
}

bool hasRunId(const control::State &State, const std::string &Name,
              std::uint64_t RunId) {
  const auto Run = State.RunIds.find(Name);
  return Run != State.RunIds.end() && Run->second == RunId;
}

bool isRegistered(const control::State &State,
                  const control::UpstreamAnnouncement &A) {
  const control::Upstream *U = findUpstream(State, A.Name);
  if (U == nullptr || U->Phase == control::UpstreamPhase::Lost)
    return false;
  const auto Service = State.Config.Services.find(U->Service);
  return hasRunId(State, A.Name, A.RunId) && U->DataCentre == A.DataCentre &&
         U->Agent == A.Agent && U->Slots == A.Slots &&
         Service != State.Config.Services.end() &&
         Service->second.Name == A.ServiceName;
}

bool isRegistered(const control::State &State,
                  const control::EntryAnnouncement &A) {
  const auto E = State.Config.Entries.find(A.Name);
  return E != State.Config.Entries.end() && E->second.Alive &&
         hasRunId(State, A.Name, A.RunId) &&
         E->second.DataCentre == A.DataCentre && E->second.Tunnel == A.Tunnel;
}

/// \returns whether the log may contain an uncommitted retirement of \p Name.
/// If so, the current state doesn't show whether it stays registered.
bool isRetirementPending(const Context &C, const std::string &Name) {
  const auto &Proposed = C.State.Leases.Proposed;
  const auto HasPrefix = [&](const std::string &Object) {
    const auto It = Proposed.lower_bound(Object);
    return It != Proposed.end() &&
           It->first.compare(0, Object.size(), Object) == 0;
  };
  return HasPrefix("upstream " + Name + " ") ||
         HasPrefix("entry " + Name + " ");
}

void confirmAnnouncement(Context &C, LinkId Id, IncomingLink &L) {
  L.PendingAnnouncement.reset();
  L.AnnouncementProposed = false;
  L.RenewsLease = true;
  control::renewLease(C.State.Leases, L.Name, C.View.Now);
  Announced Answer;
  if (const control::Upstream *U = findUpstream(C.State.Current, L.Name);
      U != nullptr && L.Sender == Role::Agent)
    Answer = {U->Id, U->Instance};
  send(C, Id, Answer);
}

/// Proposes the pending announcement of a link once this host leads. A renewal
/// that changes nothing is confirmed without a log entry, because all daemons
/// renew at once after a change of leader.
void registerDaemon(Context &C, LinkId Id, IncomingLink &L) {
  if (!L.PendingAnnouncement || L.AnnouncementProposed)
    return;
  if (!C.View.LeaseHeld || !C.State.Leading) {
    if (anotherHostLeads(C))
      refuse(C, Id, notLeadingError(C));
    return;
  }
  control::renewLease(C.State.Leases, L.Name, C.View.Now);
  const auto Known = [&](const auto &A) {
    return isRegistered(C.State.Current, A);
  };
  if (std::visit(Known, L.PendingAnnouncement->Value) &&
      !isRetirementPending(C, L.Name))
    return confirmAnnouncement(C, Id, L);
  L.AnnouncementProposed = true;
  if (const auto *A = std::get_if<control::UpstreamAnnouncement>(
          &L.PendingAnnouncement->Value))
    return propose(C, control::AnnounceUpstream{*A});
  propose(C, control::AnnounceEntry{std::get<control::EntryAnnouncement>(
                 L.PendingAnnouncement->Value)});
}

bool matchesSender(const IncomingLink &L, const Announce &M) {
  const bool Entry =
      std::holds_alternative<control::EntryAnnouncement>(M.Value);
  const auto Name = [](const auto &A) { return A.Name; };
  return Entry == (L.Sender == Role::Entry) &&
         std::visit(Name, M.Value) == L.Name;
}

// Messages --------------------------------------------------------------------

void receive(Context &C, LinkId Id, IncomingLink &L, const Heartbeat &M) {
  (void)Id;
  if (!isDaemon(L))
    return;
  updateDaemonStatus(C, L, M.InForce);
  if (L.RenewsLease)
    control::renewLease(C.State.Leases, L.Name, C.View.Now);
}

void receive(Context &C, LinkId, IncomingLink &L, const Applied &M) {
  if (isDaemon(L))
    updateDaemonStatus(C, L, M.InForce);
}

void receive(Context &C, LinkId Id, IncomingLink &L, const Announce &M) {
  if (!isDaemon(L) || !matchesSender(L, M))
    return refuse(C, Id,
                  {ErrorCode::UnknownMember,
                   L.Name + " announced a name or role other than its own"});
  updateDaemonStatus(C, L, Revision{});
  if (L.AnnouncementProposed)
    return;
  L.PendingAnnouncement = M;
  registerDaemon(C, Id, L);
}

void receive(Context &C, LinkId, IncomingLink &L, const Leave &) {
  if (!isDaemon(L))
    return;
  L.RenewsLease = false;
  L.PendingAnnouncement.reset();
  if (C.State.Leading)
    control::endLease(C.State.Leases, L.Name);
}

void receive(Context &C, LinkId, IncomingLink &L, const OutcomeReport &M) {
  if (!C.State.Leading || !isDaemon(L) || M.Value.Host != L.Name)
    return;
  control::addToBurnHistory(
      C.State.History,
      control::recordOutcomeReport(C.State.Reports, M.Value, C.View.Now),
      C.View.Now);
}

bool isOperatorCommand(const control::CommandBody &Body) {
  return std::holds_alternative<control::PutProfile>(Body) ||
         std::holds_alternative<control::RemoveProfile>(Body) ||
         std::holds_alternative<control::PutService>(Body) ||
         std::holds_alternative<control::SetDrain>(Body) ||
         std::holds_alternative<control::ForgetUpstream>(Body);
}

/// \returns the error if the command must not be proposed.
std::optional<Error> validateCommand(const Context &C, const IncomingLink &L,
                                     const control::Command &Value) {
  if (L.Sender != Role::Operator || !isOperatorCommand(Value.Body))
    return Error{ErrorCode::InvalidArgument,
                 "expected an operator command from an operator"};
  if (Value.Id.empty() || Value.Id.size() > control::MaxCommandIdLength)
    return Error{ErrorCode::InvalidArgument,
                 "a command id must have 1 to " +
                     std::to_string(control::MaxCommandIdLength) +
                     " characters"};
  if (!C.View.LeaseHeld || !C.State.Leading)
    return notLeadingError(C);
  return std::nullopt;
}

void receive(Context &C, LinkId Id, IncomingLink &L, const CommandRequest &M) {
  const std::string &CommandId = M.Value.Id;
  if (auto Reason = validateCommand(C, L, M.Value))
    return send(C, Id,
                CommandResult{CommandId, std::nullopt, std::move(Reason),
                              leaderHost(C)});
  const auto Known = C.State.Current.Results.find(CommandId);
  if (Known != C.State.Current.Results.end())
    return send(C, Id, CommandResult{CommandId, Known->second, {}, {}});
  std::set<LinkId> &Waiters = C.State.CommandWaiters[CommandId];
  const bool Proposed = !Waiters.empty();
  Waiters.insert(Id);
  if (!Proposed)
    C.Out.emplace_back(Propose{M.Value});
}

/// \returns the latest revision that an operator may know of.
Revision latestDecidedRevision(const control::State &Current) {
  if (Current.ResultOrder.empty())
    return Current.Config.InForce;
  const auto Last = Current.Results.find(Current.ResultOrder.back());
  return std::max(Current.Config.InForce, Last->second.At);
}

void fillQueryResult(const Context &C, const Query &M, QueryResult &Answer) {
  const Revision Latest = latestDecidedRevision(C.State.Current);
  if (M.Kind == QueryKind::InForce && M.At > Latest)
    Answer.Failure = Error{ErrorCode::RevisionFromFuture,
                           "revision " + std::to_string(M.At.Number) +
                               " doesn't exist yet; the latest is " +
                               std::to_string(Latest.Number)};
  else
    Answer.Document = answerQuery(C.State, M, C.View);
}

void receive(Context &C, LinkId Id, IncomingLink &L, const Query &M) {
  if (L.Sender != Role::Operator)
    return refuse(
        C, Id, {ErrorCode::UnknownMember, "only operators may send queries"});
  QueryResult Answer;
  Answer.Id = M.Id;
  if (C.View.LeaseHeld && C.State.Leading) {
    fillQueryResult(C, M, Answer);
  } else {
    Answer.Failure = notLeadingError(C);
    Answer.Leader = leaderHost(C);
  }
  send(C, Id, Answer);
}

void receive(Context &C, LinkId Id, IncomingLink &L, const PeerMessage &M) {
  if (L.Sender != Role::Control)
    return refuse(
        C, Id, {ErrorCode::UnknownMember, L.Name + " is not a control host"});
  C.Out.emplace_back(DeliverToLog{L.Name, M.Body});
}

/// Messages that no process sends to a control host.
template <typename Other>
void receive(Context &C, LinkId Id, IncomingLink &L, const Other &) {
  refuse(C, Id,
         {ErrorCode::MessageMalformed,
          L.Name + " sent a message type that only control hosts send"});
}

/// Takes one token from the link's bucket. \returns false if it is empty.
bool takeToken(const Context &C, IncomingLink &L) {
  if (L.Authenticated && L.Sender == Role::Control)
    return true;
  const ServerLimits &Limits = C.State.Options.Limits;
  const std::chrono::duration<double> Passed = C.View.Now - L.TokensUpdatedAt;
  L.TokensUpdatedAt = C.View.Now;
  L.Tokens = std::min(Limits.MaxBurstMessages,
                      L.Tokens + Passed.count() * Limits.MaxMessagesPerSecond);
  if (L.Tokens < 1)
    return false;
  L.Tokens -= 1;
  return true;
}

bool isWithinSizeLimit(const Context &C, const IncomingLink &L,
                       std::size_t Size) {
  const ServerLimits &Limits = C.State.Options.Limits;
  if (!L.Authenticated)
    return Size <= Limits.MaxHandshakeMessageBytes;
  return L.Sender == Role::Control || Size <= Limits.MaxMessageBytes;
}

// Events ----------------------------------------------------------------------

void onEvent(Context &C, const LinkOpened &E) {
  IncomingLink L;
  L.Nonce = generateNonce();
  L.OpenedAt = L.LastHeard = L.TokensUpdatedAt = C.View.Now;
  L.Tokens = C.State.Options.Limits.MaxBurstMessages;
  const bool Full = C.State.Links.size() >= C.State.Options.Limits.MaxLinks;
  const Bytes Nonce = L.Nonce;
  C.State.Links.emplace(E.Id, std::move(L));
  if (Full)
    return refuse(C, E.Id,
                  {ErrorCode::LinkLimitReached,
                   "this host has reached its limit of " +
                       std::to_string(C.State.Options.Limits.MaxLinks) +
                       " links"});
  send(C, E.Id, Challenge{Nonce});
}

void onEvent(Context &C, const LinkEnded &E) { C.State.Links.erase(E.Id); }

void onEvent(Context &C, const LinkReceived &E) {
  const auto Found = C.State.Links.find(E.Id);
  if (Found == C.State.Links.end())
    return;
  IncomingLink &L = Found->second;
  L.LastHeard = C.View.Now;
  if (!takeToken(C, L))
    return refuse(
        C, E.Id,
        {ErrorCode::RateLimited, "the link exceeds its message rate limit"});
  if (!isWithinSizeLimit(C, L, E.Encoded.size()))
    return refuse(C, E.Id,
                  {ErrorCode::MessageTooLarge,
                   "the message of " + std::to_string(E.Encoded.size()) +
                       " bytes exceeds the size limit"});
  const Expected<Message> M = decodeMessage(E.Encoded);
  if (!M)
    return refuse(C, E.Id, M.error());
  const auto *HelloMessage = std::get_if<Hello>(&*M);
  if (L.Authenticated != (HelloMessage == nullptr))
    return refuse(C, E.Id,
                  {ErrorCode::MessageMalformed,
                   "Hello must be the first message and must not be repeated"});
  if (HelloMessage != nullptr)
    return acceptHello(C, E.Id, L, *HelloMessage);
  std::visit([&](const auto &Value) { receive(C, E.Id, L, Value); }, *M);
}

// Links to other control hosts ------------------------------------------------

constexpr milliseconds PeerRetryDelay{200};

void handlePeerFailure(Context &C, const std::string &Host, PeerLink &P) {
  if (P.CurrentPhase != PeerLink::Phase::Idle)
    C.Out.emplace_back(DisconnectPeer{Host});
  P.CurrentPhase = PeerLink::Phase::Idle;
  P.NextDial = C.View.Now + PeerRetryDelay;
}

void sendToPeer(Context &C, const std::string &Host, const Message &Value) {
  C.Out.emplace_back(SendToPeer{Host, encodeShared(Value)});
}

void onEvent(Context &C, const PeerOpened &E) {
  PeerLink &P = C.State.Peers.at(E.Host);
  if (P.CurrentPhase != PeerLink::Phase::Connecting)
    return;
  P.CurrentPhase = PeerLink::Phase::AwaitingChallenge;
  P.LastHeard = C.View.Now;
}

void onEvent(Context &C, const PeerEnded &E) {
  PeerLink &P = C.State.Peers.at(E.Host);
  if (P.CurrentPhase != PeerLink::Phase::Idle)
    handlePeerFailure(C, E.Host, P);
}

void answerChallenge(Context &C, const std::string &Host, PeerLink &P,
                     const Challenge &M) {
  Hello HelloMessage;
  HelloMessage.Cluster = C.State.Options.Cluster;
  HelloMessage.Name = C.State.Options.Name;
  HelloMessage.Sender = Role::Control;
  HelloMessage.Nonce = P.Nonce = generateNonce();
  HelloMessage.Proof =
      helloProof(C.State.Options.LinkKey, M.Nonce, HelloMessage);
  P.CurrentPhase = PeerLink::Phase::AwaitingWelcome;
  sendToPeer(C, Host, HelloMessage);
}

void onEvent(Context &C, const PeerReceived &E) {
  PeerLink &P = C.State.Peers.at(E.Host);
  P.LastHeard = C.View.Now;
  const Expected<Message> M = decodeMessage(E.Encoded);
  if (!M)
    return handlePeerFailure(C, E.Host, P);
  if (const auto *ChallengeMessage = std::get_if<Challenge>(&*M);
      ChallengeMessage != nullptr &&
      P.CurrentPhase == PeerLink::Phase::AwaitingChallenge)
    return answerChallenge(C, E.Host, P, *ChallengeMessage);
  if (const auto *Answer = std::get_if<Welcome>(&*M);
      Answer != nullptr && P.CurrentPhase == PeerLink::Phase::AwaitingWelcome) {
    const ServerOptions &O = C.State.Options;
    const Bytes Proof =
        welcomeProof(O.LinkKey, P.Nonce, O.Cluster, Answer->Host);
    if (Answer->Host != E.Host || !proofsEqual(Proof, Answer->Proof))
      return handlePeerFailure(C, E.Host, P);
    P.CurrentPhase = PeerLink::Phase::Open;
    return;
  }
  if (std::holds_alternative<Heartbeat>(*M))
    return sendToPeer(C, E.Host, Heartbeat{});
  if (const auto *Refusal = std::get_if<Refused>(&*M))
    C.Out.emplace_back(
        ServerNotice{"peer_refused_link", E.Host, Refusal->Reason});
  handlePeerFailure(C, E.Host, P);
}

void maintainPeers(Context &C) {
  for (auto &[Host, P] : C.State.Peers) {
    if (P.CurrentPhase != PeerLink::Phase::Idle &&
        C.View.Now - P.LastHeard > SilenceTimeout)
      handlePeerFailure(C, Host, P);
    if (P.CurrentPhase != PeerLink::Phase::Idle || C.View.Now < P.NextDial)
      continue;
    P.CurrentPhase = PeerLink::Phase::Connecting;
    P.LastHeard = C.View.Now;
    C.Out.emplace_back(DialPeer{Host, P.Address});
  }
}

// Distribution ----------------------------------------------------------------

/// Creates a shared snapshot unless the existing one is recent, is newer than
/// \p Sent and can be followed by a delta.
void prepareSnapshot(Context &C, Revision Sent) {
  ServerState &State = C.State;
  const bool Reusable =
      State.Snapshot && State.SnapshotRevision >= State.Retained.Base &&
      State.SnapshotRevision > Sent &&
      State.SnapshotRevision <= State.Current.Config.InForce &&
      C.View.Now - State.SnapshotCreatedAt < SnapshotReusePeriod;
  if (Reusable)
    return;
  State.Snapshot = std::make_shared<SharedSnapshot>();
  State.Snapshot->Parts = control::splitSnapshot(State.Current.Config);
  State.Snapshot->Encoded.resize(State.Snapshot->Parts.size());
  State.SnapshotRevision = State.Current.Config.InForce;
  State.SnapshotCreatedAt = C.View.Now;
}

/// \returns the encoded part, or null if this tick's encoding budget is used
/// up.
std::shared_ptr<const Bytes> encodePart(Context &C, SharedSnapshot &Source,
                                        std::size_t Index) {
  std::shared_ptr<const Bytes> &Part = Source.Encoded[Index];
  if (!Part && C.State.RemainingParts > 0) {
    --C.State.RemainingParts;
    Part = encodeShared(Snapshot{std::exchange(Source.Parts[Index], {})});
  }
  return Part;
}

void sendSnapshotParts(Context &C, LinkId Id, IncomingLink &L) {
  std::size_t Queued = C.View.QueuedBytes(Id);
  const std::size_t MaxQueued = C.State.Options.Limits.MaxSnapshotQueueBytes;
  while (L.NextPart < L.PendingSnapshot->Encoded.size() && Queued < MaxQueued) {
    const auto Part = encodePart(C, *L.PendingSnapshot, L.NextPart);
    if (!Part)
      return;
    ++L.NextPart;
    Queued += Part->size();
    C.Out.emplace_back(SendToLink{Id, Part});
  }
  if (L.NextPart < L.PendingSnapshot->Encoded.size())
    return;
  L.PendingSnapshot.reset();
  L.SentRevision = L.PendingSnapshotRevision;
}

/// Encoded deltas of one tick, by the revision that they apply to.
using DeltaCache = std::map<Revision, std::shared_ptr<const Bytes>>;

void updateSubscriber(Context &C, LinkId Id, IncomingLink &L, DeltaCache &Cache,
                      std::size_t &Snapshots) {
  const control::Configuration &Config = C.State.Current.Config;
  if (L.SentRevision >= Config.InForce)
    return;
  std::shared_ptr<const Bytes> &Cached = Cache[L.SentRevision];
  if (!Cached) {
    auto Update =
        control::selectUpdate(L.SentRevision, C.State.Retained, Config);
    if (auto *D = std::get_if<control::Delta>(&Update))
      Cached = encodeShared(Delta{std::move(*D)});
  }
  if (Cached) {
    C.Out.emplace_back(SendToLink{Id, Cached});
    L.SentRevision = Config.InForce;
    return;
  }
  if (Snapshots >= C.State.Options.Limits.MaxConcurrentSnapshots)
    return;
  prepareSnapshot(C, L.SentRevision);
  ++Snapshots;
  L.PendingSnapshot = C.State.Snapshot;
  L.PendingSnapshotRevision = C.State.SnapshotRevision;
  L.NextPart = 0;
  sendSnapshotParts(C, Id, L);
}

void updateSubscribers(Context &C) {
  C.State.RemainingParts = MaxPartsPerTick;
  std::size_t Snapshots = 0;
  for (const auto &[Id, L] : C.State.Links)
    Snapshots += L.PendingSnapshot ? 1 : 0;
  DeltaCache Cache;
  for (auto &[Id, L] : C.State.Links) {
    if (!L.Authenticated || !isDaemon(L))
      continue;
    if (L.PendingSnapshot)
      sendSnapshotParts(C, Id, L);
    else
      updateSubscriber(C, Id, L, Cache, Snapshots);
  }
}

// Timers ----------------------------------------------------------------------

/// \returns whether a link has been silent or unauthenticated for too long.
bool isTimedOut(const Context &C, const IncomingLink &L) {
  const Duration SilenceDuration = C.View.Now - L.LastHeard;
  if (!L.Authenticated)
    return C.View.Now - L.OpenedAt > HandshakeTimeout;
  return SilenceDuration > (L.Sender == Role::Operator
                                ? Duration(OperatorIdleTimeout)
                                : Duration(SilenceTimeout));
}

void maintainLink(Context &C, LinkId Id, IncomingLink &L) {
  if (isTimedOut(C, L))
    return closeLink(C, Id);
  if (!L.Authenticated)
    return;
  if (C.View.Now >= L.NextHeartbeat) {
    L.NextHeartbeat = C.View.Now + HeartbeatInterval;
    send(C, Id, Heartbeat{C.State.Current.Config.InForce, quorumAge(C.View)});
  }
  if (isDaemon(L) && anotherHostLeads(C))
    return refuse(C, Id, notLeadingError(C));
  registerDaemon(C, Id, L);
}

void maintainLinks(Context &C) {
  std::vector<LinkId> Ids;
  for (const auto &[Id, L] : C.State.Links)
    Ids.push_back(Id);
  for (const LinkId Id : Ids)
    maintainLink(C, Id, C.State.Links.at(Id));
}

/// Runs the leader's periodic work: proposes the commands that are due and
/// merges the reports of departed hosts.
void maintainLeases(Context &C) {
  constexpr milliseconds LeaseCheckInterval{100};
  constexpr std::chrono::minutes DepartedHostMergeInterval{1};
  const TimePoint Now = C.View.Now;
  if (!C.State.Leading || !C.View.LeaseHeld || Now < C.State.NextLeaseCheck)
    return;
  C.State.NextLeaseCheck = Now + LeaseCheckInterval;
  for (control::CommandBody &Body :
       control::dueCommands(C.State.Leases, C.State.Current.Config, Now))
    propose(C, std::move(Body));
  if (Now < C.State.NextDepartedHostMerge)
    return;
  C.State.NextDepartedHostMerge = Now + DepartedHostMergeInterval;
  control::mergeDepartedHosts(C.State.Reports, C.State.Current.Config, Now);
}

void onEvent(Context &C, const ServerTick &) {
  const Duration Gap = C.View.Now - C.State.LastTick;
  if (C.State.Leading && Gap > MaxTickGap)
    C.State.Leases.Since = C.View.Now;
  C.State.LastTick = C.View.Now;
  maintainPeers(C);
  maintainLinks(C);
  maintainLeases(C);
  updateSubscribers(C);
}

// The log ---------------------------------------------------------------------

/// Sends the result of command \p CommandId to all links that wait for it.
void answerCommandWaiters(Context &C, const std::string &CommandId,
                          const CommandResult &Result) {
  const auto Found = C.State.CommandWaiters.find(CommandId);
  if (Found == C.State.CommandWaiters.end())
    return;
  for (const LinkId Id : Found->second)
    if (C.State.Links.count(Id) != 0)
      send(C, Id, Result);
  C.State.CommandWaiters.erase(Found);
}

/// Sends the result of an announcement to the links that sent it.
void answerAnnouncement(Context &C, const std::string &Name,
                        std::uint64_t RunId,
                        const control::CommandResult &Result) {
  std::vector<LinkId> Ids;
  for (const auto &[Id, L] : C.State.Links)
    if (L.AnnouncementProposed && L.Name == Name && L.RunId == RunId)
      Ids.push_back(Id);
  for (const LinkId Id : Ids) {
    if (Result.Accepted)
      confirmAnnouncement(C, Id, C.State.Links.at(Id));
    else
      refuse(C, Id, Result.Reason);
  }
}

/// Closes the links of a daemon that was committed as lost. If it is still
/// running, it reconnects and announces itself again.
void closeRetiredLinks(Context &C, const std::string &Name) {
  std::vector<LinkId> Ids;
  for (const auto &[Id, L] : C.State.Links)
    if (L.RenewsLease && L.Name == Name)
      Ids.push_back(Id);
  for (const LinkId Id : Ids)
    closeLink(C, Id);
}

void handleCommitted(Context &C, const control::CommandBody &Body,
                     const control::CommandResult &Result) {
  if (const auto *A = std::get_if<control::AnnounceUpstream>(&Body))
    return answerAnnouncement(C, A->Value.Name, A->Value.RunId, Result);
  if (const auto *A = std::get_if<control::AnnounceEntry>(&Body))
    return answerAnnouncement(C, A->Value.Name, A->Value.RunId, Result);
  if (!Result.Accepted)
    return;
  if (const auto *R = std::get_if<control::RetireEntry>(&Body))
    return closeRetiredLinks(C, R->Name);
  const auto *R = std::get_if<control::RetireUpstream>(&Body);
  if (R == nullptr)
    return;
  const auto U = C.State.Current.Config.Upstreams.find(R->Id);
  if (U != C.State.Current.Config.Upstreams.end())
    closeRetiredLinks(C, U->second.Name);
}

void onEvent(Context &C, const EntryCommitted &E) {
  const Expected<control::Command> Entry = control::decodeCommand(E.Entry);
  if (!Entry) {
    C.Out.emplace_back(ServerNotice{
        "log_entry_malformed", std::to_string(E.At.Number), Entry.error()});
    return;
  }
  const control::CommandResult Result =
      control::apply(C.State.Current, *Entry, E.At);
  control::retainChanges(C.State.Retained, C.State.Current.Config);
  answerCommandWaiters(C, Entry->Id, CommandResult{Entry->Id, Result, {}, {}});
  handleCommitted(C, Entry->Body, Result);
}

/// The next leader may still commit these commands, so their outcome is
/// unknown.
void failPendingCommands(Context &C) {
  const Error Reason{ErrorCode::OutcomeUnknown,
                     C.State.Options.Name +
                         " lost leadership before the command was decided; "
                         "send it again with the same id"};
  while (!C.State.CommandWaiters.empty()) {
    const std::string CommandId = C.State.CommandWaiters.begin()->first;
    answerCommandWaiters(C, CommandId,
                         CommandResult{CommandId, {}, Reason, leaderHost(C)});
  }
}

void onEvent(Context &C, const LeadershipChanged &E) {
  C.State.Leading = E.Leading;
  C.Out.emplace_back(
      ServerNotice{E.Leading ? "leadership_gained" : "leadership_lost",
                   C.State.Options.Name, std::nullopt});
  for (auto &[Id, L] : C.State.Links) {
    L.RenewsLease = false;
    L.AnnouncementProposed = false;
  }
  failPendingCommands(C);
  C.State.Leases = control::startLeases(C.View.Now);
  C.State.LastTick = C.View.Now;
  if (!E.Leading)
    return;
  C.State.Reports = control::OutcomeStore{};
  C.State.Reports.Since = C.View.Now;
  C.State.History = control::BurnHistory{};
  control::startBurnHistory(C.State.History, C.View.Now);
}

void onEvent(Context &C, const ProposalRefused &E) {
  const Error &Reason = E.Reason;
  answerCommandWaiters(C, E.Value.Id,
                       CommandResult{E.Value.Id, {}, Reason, leaderHost(C)});
  for (auto &[Id, L] : C.State.Links)
    if (std::holds_alternative<control::AnnounceUpstream>(E.Value.Body) ||
        std::holds_alternative<control::AnnounceEntry>(E.Value.Body))
      L.AnnouncementProposed = false;
}

} // namespace

ServerState makeServerState(ServerOptions Options) {
  ServerState State;
  for (const ControlHost &H : Options.Hosts)
    if (H.Name != Options.Name)
      State.Peers[H.Name].Address = H.Address;
  State.Options = std::move(Options);
  return State;
}

std::vector<ServerEffect> handle(ServerState &State, const ServerEvent &Event,
                                 const ServerView &View) {
  Effects Out;
  Context C{State, View, Out};
  std::visit([&](const auto &E) { onEvent(C, E); }, Event);
  return Out;
}

Expected<void> restoreState(ServerState &State, const Bytes &Encoded) {
  Expected<control::State> Restored = control::decodeState(Encoded);
  if (!Restored)
    return tl::make_unexpected(Restored.error());
  State.Current = std::move(*Restored);
  State.Retained = control::startRetainedChanges(State.Current.Config);
  State.Snapshot.reset();
  return {};
}

bool isPeerOpen(const ServerState &State, const std::string &Host) {
  const auto Found = State.Peers.find(Host);
  return Found != State.Peers.end() &&
         Found->second.CurrentPhase == PeerLink::Phase::Open;
}

} // namespace jasminearch::link
