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

/// What every step needs.
struct Context {
  ServerState &S;
  const ServerView &View;
  Effects &Out;
};

std::shared_ptr<const Bytes> encoded(const Message &Value) {
  return std::make_shared<const Bytes>(encodeMessage(Value));
}

void send(Context &C, LinkId Id, const Message &Value) {
  C.Out.emplace_back(SendToLink{Id, encoded(Value)});
}

milliseconds quorumAge(const ServerView &View) {
  return std::chrono::duration_cast<milliseconds>(View.QuorumAge);
}

std::optional<ControlHost> leaderHost(const Context &C) {
  for (const ControlHost &H : C.S.Options.Hosts)
    if (C.View.Leader && H.Name == *C.View.Leader)
      return H;
  return std::nullopt;
}

bool leadsElsewhere(const Context &C) {
  return C.View.Leader && *C.View.Leader != C.S.Options.Name;
}

/// Why this host can't serve something that needs the leader.
Error notLeading(const Context &C) {
  if (leadsElsewhere(C))
    return {ErrorCode::NotLeader,
            *C.View.Leader + " leads, not " + C.S.Options.Name};
  return {ErrorCode::NoQuorum,
          C.S.Options.Name + " knows no leader that a quorum confirmed"};
}

/// Forgets a link and closes it.
void drop(Context &C, LinkId Id) {
  if (C.S.Links.erase(Id) != 0)
    C.Out.emplace_back(CloseLink{Id});
}

void refuse(Context &C, LinkId Id, Error Reason) {
  const auto Found = C.S.Links.find(Id);
  if (Found == C.S.Links.end())
    return;
  C.Out.emplace_back(ServerNotice{"link_refused", Found->second.Name, Reason});
  const bool Redirects = Reason.Code == ErrorCode::NotLeader;
  send(C, Id,
       Refused{std::move(Reason), Redirects ? leaderHost(C) : std::nullopt});
  drop(C, Id);
}

void propose(Context &C, control::CommandBody Body) {
  C.Out.emplace_back(Propose{{std::string{}, std::move(Body)}});
}

bool isDaemon(const ServedLink &L) {
  return L.Sender == Role::Entry || L.Sender == Role::Agent;
}

// Handshake -------------------------------------------------------------------

bool knowsPeer(const Context &C, const std::string &Name) {
  const auto &Hosts = C.S.Options.Hosts;
  return Name != C.S.Options.Name &&
         std::any_of(Hosts.begin(), Hosts.end(),
                     [&](const ControlHost &H) { return H.Name == Name; });
}

Expected<void> checkMember(const Context &C, const ServedLink &L,
                           const Hello &M) {
  const ServerOptions &O = C.S.Options;
  if (auto Proven = checkHello(M, O.LinkKey, L.Nonce, O.Cluster); !Proven)
    return Proven;
  if (M.Sender == Role::Control && !knowsPeer(C, M.Name))
    return fail(ErrorCode::UnknownMember,
                M.Name + " is not among the control hosts of this cluster");
  if (M.Name.empty() || M.Name.size() > control::MaxNameLength)
    return fail(ErrorCode::UnknownMember,
                "a name has 1 to " + std::to_string(control::MaxNameLength) +
                    " characters");
  const bool Fresh = M.InForce.Number == 0 && M.Sender != Role::Operator &&
                     M.Sender != Role::Control;
  // A recent quorum isn't enough: between two leaders, a host may show one
  // and still lack entries that the former leader committed.
  if (Fresh && !C.View.LeaseHeld && !leadsElsewhere(C))
    return fail(ErrorCode::NoQuorum,
                "this host doesn't hold the lease, so that it can't serve a "
                "newly started process");
  return {};
}

void greet(Context &C, LinkId Id, ServedLink &L, const Hello &M) {
  L.Name = M.Name;
  if (auto Member = checkMember(C, L, M); !Member)
    return refuse(C, Id, Member.error());
  L.Welcomed = true;
  L.Sender = M.Sender;
  L.RunId = M.RunId;
  L.Sent = M.InForce;
  L.NextHeartbeat = C.View.Now + HeartbeatInterval;
  Welcome Answer;
  Answer.Host = C.S.Options.Name;
  Answer.Proof = welcomeProof(C.S.Options.LinkKey, M.Nonce, C.S.Options.Cluster,
                              C.S.Options.Name);
  Answer.Leading = C.View.LeaseHeld;
  Answer.Leader = leaderHost(C);
  Answer.QuorumAge = quorumAge(C.View);
  send(C, Id, Answer);
  // Tells a newly started process which revision it must reach.
  if (isDaemon(L))
    send(C, Id, Heartbeat{C.S.Current.Config.InForce, quorumAge(C.View)});
}

// Daemons ---------------------------------------------------------------------

void noteDaemon(Context &C, const ServedLink &L, Revision InForce) {
  DaemonSeen &Seen = C.S.Daemons[L.Name];
  Seen.InForce = std::max(Seen.InForce, InForce);
  Seen.LastHeard = C.View.Now;
}

const control::Upstream *upstreamNamed(const control::State &S,
                                       const std::string &Name) {
  const auto Id = S.Index.UpstreamsByName.find(Name);
  return Id == S.Index.UpstreamsByName.end()
             ? nullptr
             : &S.Config.Upstreams.at(Id->second);
}

bool sameRun(const control::State &S, const std::string &Name,
             std::uint64_t RunId) {
  const auto Run = S.RunIds.find(Name);
  return Run != S.RunIds.end() && Run->second == RunId;
}

bool holds(const control::State &S, const control::UpstreamAnnouncement &A) {
  const control::Upstream *U = upstreamNamed(S, A.Name);
  if (U == nullptr || U->Phase == control::UpstreamPhase::Lost)
    return false;
  const auto Service = S.Config.Services.find(U->Service);
  return sameRun(S, A.Name, A.RunId) && U->DataCentre == A.DataCentre &&
         U->Agent == A.Agent && U->Slots == A.Slots &&
         Service != S.Config.Services.end() &&
         Service->second.Name == A.ServiceName;
}

bool holds(const control::State &S, const control::EntryAnnouncement &A) {
  const auto E = S.Config.Entries.find(A.Name);
  return E != S.Config.Entries.end() && E->second.Alive &&
         sameRun(S, A.Name, A.RunId) && E->second.DataCentre == A.DataCentre &&
         E->second.Tunnel == A.Tunnel;
}

/// Whether a retirement of \p Name may be on its way through the log, so that
/// the present state doesn't tell whether it stays registered.
bool mayRetire(const Context &C, const std::string &Name) {
  const auto &Proposed = C.S.Leases.Proposed;
  const auto Begins = [&](const std::string &Object) {
    const auto It = Proposed.lower_bound(Object);
    return It != Proposed.end() &&
           It->first.compare(0, Object.size(), Object) == 0;
  };
  return Begins("upstream " + Name + " ") || Begins("entry " + Name + " ");
}

void confirmAnnouncement(Context &C, LinkId Id, ServedLink &L) {
  L.Awaiting.reset();
  L.AwaitingProposed = false;
  L.Leased = true;
  control::renewLease(C.S.Leases, L.Name, C.View.Now);
  Announced Answer;
  if (const control::Upstream *U = upstreamNamed(C.S.Current, L.Name);
      U != nullptr && L.Sender == Role::Agent)
    Answer = {U->Id, U->Instance};
  send(C, Id, Answer);
}

/// Proposes the announcement that a link waits with, once this host leads. A
/// renewal that changes nothing is answered without an entry in the log, since
/// all daemons renew at once after a change of leader.
void registerDaemon(Context &C, LinkId Id, ServedLink &L) {
  if (!L.Awaiting || L.AwaitingProposed)
    return;
  if (!C.View.LeaseHeld || !C.S.Leading) {
    if (leadsElsewhere(C))
      refuse(C, Id, notLeading(C));
    return;
  }
  control::renewLease(C.S.Leases, L.Name, C.View.Now);
  const auto Known = [&](const auto &A) { return holds(C.S.Current, A); };
  if (std::visit(Known, L.Awaiting->Value) && !mayRetire(C, L.Name))
    return confirmAnnouncement(C, Id, L);
  L.AwaitingProposed = true;
  if (const auto *A =
          std::get_if<control::UpstreamAnnouncement>(&L.Awaiting->Value))
    return propose(C, control::AnnounceUpstream{*A});
  propose(C, control::AnnounceEntry{
                 std::get<control::EntryAnnouncement>(L.Awaiting->Value)});
}

bool fitsSender(const ServedLink &L, const Announce &M) {
  const bool Entry =
      std::holds_alternative<control::EntryAnnouncement>(M.Value);
  const auto Name = [](const auto &A) { return A.Name; };
  return Entry == (L.Sender == Role::Entry) &&
         std::visit(Name, M.Value) == L.Name;
}

// Messages --------------------------------------------------------------------

void receive(Context &C, LinkId Id, ServedLink &L, const Heartbeat &M) {
  (void)Id;
  if (!isDaemon(L))
    return;
  noteDaemon(C, L, M.InForce);
  if (L.Leased)
    control::renewLease(C.S.Leases, L.Name, C.View.Now);
}

void receive(Context &C, LinkId, ServedLink &L, const Applied &M) {
  if (isDaemon(L))
    noteDaemon(C, L, M.InForce);
}

void receive(Context &C, LinkId Id, ServedLink &L, const Announce &M) {
  if (!isDaemon(L) || !fitsSender(L, M))
    return refuse(C, Id,
                  {ErrorCode::UnknownMember,
                   L.Name + " announced something other than itself"});
  noteDaemon(C, L, Revision{});
  if (L.AwaitingProposed)
    return;
  L.Awaiting = M;
  registerDaemon(C, Id, L);
}

void receive(Context &C, LinkId, ServedLink &L, const Leave &) {
  if (!isDaemon(L))
    return;
  L.Leased = false;
  L.Awaiting.reset();
  if (C.S.Leading)
    control::endLease(C.S.Leases, L.Name);
}

void receive(Context &C, LinkId, ServedLink &L, const OutcomeReport &M) {
  if (!C.S.Leading || !isDaemon(L) || M.Value.Host != L.Name)
    return;
  control::addToBurnHistory(
      C.S.History,
      control::recordOutcomeReport(C.S.Reports, M.Value, C.View.Now),
      C.View.Now);
}

bool isOperators(const control::CommandBody &Body) {
  return std::holds_alternative<control::PutProfile>(Body) ||
         std::holds_alternative<control::RemoveProfile>(Body) ||
         std::holds_alternative<control::PutService>(Body) ||
         std::holds_alternative<control::SetDrain>(Body) ||
         std::holds_alternative<control::ForgetUpstream>(Body);
}

/// \returns why a command isn't even proposed, if there is a reason.
std::optional<Error> commandRefused(const Context &C, const ServedLink &L,
                                    const control::Command &Value) {
  if (L.Sender != Role::Operator || !isOperators(Value.Body))
    return Error{ErrorCode::InvalidArgument,
                 "this command isn't one that an operator may send"};
  if (Value.Id.empty() || Value.Id.size() > control::MaxCommandIdLength)
    return Error{ErrorCode::InvalidArgument,
                 "a command id has 1 to " +
                     std::to_string(control::MaxCommandIdLength) +
                     " characters"};
  if (!C.View.LeaseHeld || !C.S.Leading)
    return notLeading(C);
  return std::nullopt;
}

void receive(Context &C, LinkId Id, ServedLink &L, const CommandRequest &M) {
  const std::string &Name = M.Value.Id;
  if (auto Reason = commandRefused(C, L, M.Value))
    return send(
        C, Id,
        CommandResult{Name, std::nullopt, std::move(Reason), leaderHost(C)});
  const auto Known = C.S.Current.Results.find(Name);
  if (Known != C.S.Current.Results.end())
    return send(C, Id, CommandResult{Name, Known->second, {}, {}});
  std::set<LinkId> &Waiting = C.S.Waiting[Name];
  const bool Proposed = !Waiting.empty();
  Waiting.insert(Id);
  if (!Proposed)
    C.Out.emplace_back(Propose{M.Value});
}

/// \returns the latest revision that an operator can have been told.
Revision latestDecided(const control::State &Current) {
  if (Current.ResultOrder.empty())
    return Current.Config.InForce;
  const auto Last = Current.Results.find(Current.ResultOrder.back());
  return std::max(Current.Config.InForce, Last->second.At);
}

void answerQuery(const Context &C, const Query &M, QueryResult &Answer) {
  const Revision Latest = latestDecided(C.S.Current);
  if (M.Kind == QueryKind::InForce && M.At > Latest)
    Answer.Failure = Error{ErrorCode::RevisionFromFuture,
                           "revision " + std::to_string(M.At.Number) +
                               " doesn't exist yet; the latest is " +
                               std::to_string(Latest.Number)};
  else
    Answer.Document = answer(C.S, M, C.View);
}

void receive(Context &C, LinkId Id, ServedLink &L, const Query &M) {
  if (L.Sender != Role::Operator)
    return refuse(C, Id,
                  {ErrorCode::UnknownMember, "only operators send queries"});
  QueryResult Answer;
  Answer.Id = M.Id;
  if (C.View.LeaseHeld && C.S.Leading) {
    answerQuery(C, M, Answer);
  } else {
    Answer.Failure = notLeading(C);
    Answer.Leader = leaderHost(C);
  }
  send(C, Id, Answer);
}

void receive(Context &C, LinkId Id, ServedLink &L, const PeerMessage &M) {
  if (L.Sender != Role::Control)
    return refuse(
        C, Id, {ErrorCode::UnknownMember, L.Name + " is not a control host"});
  C.Out.emplace_back(DeliverToLog{L.Name, M.Body});
}

/// Messages that nobody sends to a control host.
template <typename Other>
void receive(Context &C, LinkId Id, ServedLink &L, const Other &) {
  refuse(C, Id,
         {ErrorCode::MessageMalformed,
          L.Name + " sent a message that control hosts send"});
}

/// Takes a token for one message. \returns false if there is none left.
bool mayReceive(const Context &C, ServedLink &L) {
  if (L.Welcomed && L.Sender == Role::Control)
    return true;
  const ServerLimits &Limits = C.S.Options.Limits;
  const std::chrono::duration<double> Passed = C.View.Now - L.TokensAt;
  L.TokensAt = C.View.Now;
  L.Tokens = std::min(Limits.BurstMessages,
                      L.Tokens + Passed.count() * Limits.MessagesPerSecond);
  if (L.Tokens < 1)
    return false;
  L.Tokens -= 1;
  return true;
}

bool fits(const Context &C, const ServedLink &L, std::size_t Size) {
  const ServerLimits &Limits = C.S.Options.Limits;
  if (!L.Welcomed)
    return Size <= Limits.GreetingBytes;
  return L.Sender == Role::Control || Size <= Limits.MessageBytes;
}

// Events ----------------------------------------------------------------------

void on(Context &C, const LinkOpened &E) {
  ServedLink L;
  L.Nonce = generateNonce();
  L.OpenedAt = L.LastHeard = L.TokensAt = C.View.Now;
  L.Tokens = C.S.Options.Limits.BurstMessages;
  const bool Full = C.S.Links.size() >= C.S.Options.Limits.MaxLinks;
  const Bytes Nonce = L.Nonce;
  C.S.Links.emplace(E.Id, std::move(L));
  if (Full)
    return refuse(C, E.Id,
                  {ErrorCode::LinkLimitReached,
                   "this host serves " +
                       std::to_string(C.S.Options.Limits.MaxLinks) +
                       " links already"});
  send(C, E.Id, Challenge{Nonce});
}

void on(Context &C, const LinkEnded &E) { C.S.Links.erase(E.Id); }

void on(Context &C, const LinkReceived &E) {
  const auto Found = C.S.Links.find(E.Id);
  if (Found == C.S.Links.end())
    return;
  ServedLink &L = Found->second;
  L.LastHeard = C.View.Now;
  if (!mayReceive(C, L))
    return refuse(C, E.Id,
                  {ErrorCode::RateLimited, "too many messages a second"});
  if (!fits(C, L, E.Encoded.size()))
    return refuse(
        C, E.Id,
        {ErrorCode::MessageTooLarge,
         "a message of " + std::to_string(E.Encoded.size()) + " bytes"});
  const Expected<Message> M = decodeMessage(E.Encoded);
  if (!M)
    return refuse(C, E.Id, M.error());
  const auto *Claim = std::get_if<Hello>(&*M);
  if (L.Welcomed != (Claim == nullptr))
    return refuse(C, E.Id,
                  {ErrorCode::MessageMalformed,
                   "Hello must be the first message and only that"});
  if (Claim != nullptr)
    return greet(C, E.Id, L, *Claim);
  std::visit([&](const auto &Value) { receive(C, E.Id, L, Value); }, *M);
}

// Links to other control hosts ------------------------------------------------

constexpr milliseconds PeerBackOff{200};

void peerFailed(Context &C, const std::string &Host, PeerLink &P) {
  if (P.Now != PeerLink::Phase::Idle)
    C.Out.emplace_back(HangUpPeer{Host});
  P.Now = PeerLink::Phase::Idle;
  P.NextDial = C.View.Now + PeerBackOff;
}

void sendPeer(Context &C, const std::string &Host, const Message &Value) {
  C.Out.emplace_back(SendToPeer{Host, encoded(Value)});
}

void on(Context &C, const PeerOpened &E) {
  PeerLink &P = C.S.Peers.at(E.Host);
  if (P.Now != PeerLink::Phase::Dialling)
    return;
  P.Now = PeerLink::Phase::Greeting;
  P.LastHeard = C.View.Now;
}

void on(Context &C, const PeerEnded &E) {
  PeerLink &P = C.S.Peers.at(E.Host);
  if (P.Now != PeerLink::Phase::Idle)
    peerFailed(C, E.Host, P);
}

void proveToPeer(Context &C, const std::string &Host, PeerLink &P,
                 const Challenge &M) {
  Hello Claim;
  Claim.Cluster = C.S.Options.Cluster;
  Claim.Name = C.S.Options.Name;
  Claim.Sender = Role::Control;
  Claim.Nonce = P.Nonce = generateNonce();
  Claim.Proof = helloProof(C.S.Options.LinkKey, M.Nonce, Claim);
  P.Now = PeerLink::Phase::Proving;
  sendPeer(C, Host, Claim);
}

void on(Context &C, const PeerReceived &E) {
  PeerLink &P = C.S.Peers.at(E.Host);
  P.LastHeard = C.View.Now;
  const Expected<Message> M = decodeMessage(E.Encoded);
  if (!M)
    return peerFailed(C, E.Host, P);
  if (const auto *Ask = std::get_if<Challenge>(&*M);
      Ask != nullptr && P.Now == PeerLink::Phase::Greeting)
    return proveToPeer(C, E.Host, P, *Ask);
  if (const auto *Answer = std::get_if<Welcome>(&*M);
      Answer != nullptr && P.Now == PeerLink::Phase::Proving) {
    const ServerOptions &O = C.S.Options;
    const Bytes Proof =
        welcomeProof(O.LinkKey, P.Nonce, O.Cluster, Answer->Host);
    if (Answer->Host != E.Host || !proofsEqual(Proof, Answer->Proof))
      return peerFailed(C, E.Host, P);
    P.Now = PeerLink::Phase::Open;
    return;
  }
  if (std::holds_alternative<Heartbeat>(*M))
    return sendPeer(C, E.Host, Heartbeat{});
  if (const auto *No = std::get_if<Refused>(&*M))
    C.Out.emplace_back(ServerNotice{"peer_refused_link", E.Host, No->Reason});
  peerFailed(C, E.Host, P);
}

void tendPeers(Context &C) {
  for (auto &[Host, P] : C.S.Peers) {
    if (P.Now != PeerLink::Phase::Idle &&
        C.View.Now - P.LastHeard > SilenceLimit)
      peerFailed(C, Host, P);
    if (P.Now != PeerLink::Phase::Idle || C.View.Now < P.NextDial)
      continue;
    P.Now = PeerLink::Phase::Dialling;
    P.LastHeard = C.View.Now;
    C.Out.emplace_back(DialPeer{Host, P.Address});
  }
}

// Distribution ----------------------------------------------------------------

/// Splits a snapshot, or uses the last one if a delta leads on from it and it
/// is newer than what the subscriber has.
void prepareSnapshot(Context &C, Revision Sent) {
  ServerState &S = C.S;
  const bool Usable = S.Snapshot && S.SnapshotAt >= S.Retained.Base &&
                      S.SnapshotAt > Sent &&
                      S.SnapshotAt <= S.Current.Config.InForce &&
                      C.View.Now - S.SnapshotMadeAt < SnapshotReuse;
  if (Usable)
    return;
  S.Snapshot = std::make_shared<SharedSnapshot>();
  S.Snapshot->Parts = control::splitSnapshot(S.Current.Config);
  S.Snapshot->Encoded.resize(S.Snapshot->Parts.size());
  S.SnapshotAt = S.Current.Config.InForce;
  S.SnapshotMadeAt = C.View.Now;
}

/// \returns the encoding of a part, or null when this tick's share is used up.
std::shared_ptr<const Bytes> encodedPart(Context &C, SharedSnapshot &Of,
                                         std::size_t Index) {
  std::shared_ptr<const Bytes> &Part = Of.Encoded[Index];
  if (!Part && C.S.PartsLeft > 0) {
    --C.S.PartsLeft;
    Part = encoded(Snapshot{std::exchange(Of.Parts[Index], {})});
  }
  return Part;
}

void sendParts(Context &C, LinkId Id, ServedLink &L) {
  std::size_t Queued = C.View.QueuedBytes(Id);
  const std::size_t Most = C.S.Options.Limits.SnapshotQueueBytes;
  while (L.NextPart < L.Parts->Encoded.size() && Queued < Most) {
    const auto Part = encodedPart(C, *L.Parts, L.NextPart);
    if (!Part)
      return;
    ++L.NextPart;
    Queued += Part->size();
    C.Out.emplace_back(SendToLink{Id, Part});
  }
  if (L.NextPart < L.Parts->Encoded.size())
    return;
  L.Parts.reset();
  L.Sent = L.PartsAt;
}

/// Deltas of one tick by the revision they start from.
using DeltaCache = std::map<Revision, std::shared_ptr<const Bytes>>;

void updateSubscriber(Context &C, LinkId Id, ServedLink &L, DeltaCache &Cache,
                      std::size_t &Snapshots) {
  const control::Configuration &Config = C.S.Current.Config;
  if (L.Sent >= Config.InForce)
    return;
  std::shared_ptr<const Bytes> &Cached = Cache[L.Sent];
  if (!Cached) {
    auto Update = control::selectUpdate(L.Sent, C.S.Retained, Config);
    if (auto *D = std::get_if<control::Delta>(&Update))
      Cached = encoded(Delta{std::move(*D)});
  }
  if (Cached) {
    C.Out.emplace_back(SendToLink{Id, Cached});
    L.Sent = Config.InForce;
    return;
  }
  if (Snapshots >= C.S.Options.Limits.Snapshots)
    return;
  prepareSnapshot(C, L.Sent);
  ++Snapshots;
  L.Parts = C.S.Snapshot;
  L.PartsAt = C.S.SnapshotAt;
  L.NextPart = 0;
  sendParts(C, Id, L);
}

void updateSubscribers(Context &C) {
  C.S.PartsLeft = PartsPerTick;
  std::size_t Snapshots = 0;
  for (const auto &[Id, L] : C.S.Links)
    Snapshots += L.Parts ? 1 : 0;
  DeltaCache Cache;
  for (auto &[Id, L] : C.S.Links) {
    if (!L.Welcomed || !isDaemon(L))
      continue;
    if (L.Parts)
      sendParts(C, Id, L);
    else
      updateSubscriber(C, Id, L, Cache, Snapshots);
  }
}

// Timers ----------------------------------------------------------------------

/// \returns whether a link has been silent or unproven for too long.
bool overdue(const Context &C, const ServedLink &L) {
  const Duration Silent = C.View.Now - L.LastHeard;
  if (!L.Welcomed)
    return C.View.Now - L.OpenedAt > GreetingLimit;
  return Silent > (L.Sender == Role::Operator ? Duration(OperatorIdleLimit)
                                              : Duration(SilenceLimit));
}

void tendLink(Context &C, LinkId Id, ServedLink &L) {
  if (overdue(C, L))
    return drop(C, Id);
  if (!L.Welcomed)
    return;
  if (C.View.Now >= L.NextHeartbeat) {
    L.NextHeartbeat = C.View.Now + HeartbeatInterval;
    send(C, Id, Heartbeat{C.S.Current.Config.InForce, quorumAge(C.View)});
  }
  if (isDaemon(L) && leadsElsewhere(C))
    return refuse(C, Id, notLeading(C));
  registerDaemon(C, Id, L);
}

void tendLinks(Context &C) {
  std::vector<LinkId> Ids;
  for (const auto &[Id, L] : C.S.Links)
    Ids.push_back(Id);
  for (const LinkId Id : Ids)
    tendLink(C, Id, C.S.Links.at(Id));
}

/// The leader's duties that depend on time.
void tendLeases(Context &C) {
  constexpr milliseconds DutyInterval{100};
  constexpr std::chrono::minutes FoldInterval{1};
  const TimePoint Now = C.View.Now;
  if (!C.S.Leading || !C.View.LeaseHeld || Now < C.S.NextDuties)
    return;
  C.S.NextDuties = Now + DutyInterval;
  for (control::CommandBody &Body :
       control::dueCommands(C.S.Leases, C.S.Current.Config, Now))
    propose(C, std::move(Body));
  if (Now < C.S.NextFold)
    return;
  C.S.NextFold = Now + FoldInterval;
  control::mergeDepartedHosts(C.S.Reports, C.S.Current.Config, Now);
}

void on(Context &C, const ServerTick &) {
  const Duration Gap = C.View.Now - C.S.LastTick;
  if (C.S.Leading && Gap > TickGapLimit)
    C.S.Leases.Since = C.View.Now;
  C.S.LastTick = C.View.Now;
  tendPeers(C);
  tendLinks(C);
  tendLeases(C);
  updateSubscribers(C);
}

// The log ---------------------------------------------------------------------

/// Tells the links that wait for \p Name what became of it.
void answerWaiting(Context &C, const std::string &Name,
                   const CommandResult &Result) {
  const auto Found = C.S.Waiting.find(Name);
  if (Found == C.S.Waiting.end())
    return;
  for (const LinkId Id : Found->second)
    if (C.S.Links.count(Id) != 0)
      send(C, Id, Result);
  C.S.Waiting.erase(Found);
}

/// Tells the links that announced \p Name what became of it.
void answerAnnouncement(Context &C, const std::string &Name,
                        std::uint64_t RunId,
                        const control::CommandResult &Result) {
  std::vector<LinkId> Ids;
  for (const auto &[Id, L] : C.S.Links)
    if (L.AwaitingProposed && L.Name == Name && L.RunId == RunId)
      Ids.push_back(Id);
  for (const LinkId Id : Ids) {
    if (Result.Accepted)
      confirmAnnouncement(C, Id, C.S.Links.at(Id));
    else
      refuse(C, Id, Result.Reason);
  }
}

/// Closes the links of a daemon that was committed as lost, so that it
/// announces itself again if it is still there.
void retired(Context &C, const std::string &Name) {
  std::vector<LinkId> Ids;
  for (const auto &[Id, L] : C.S.Links)
    if (L.Leased && L.Name == Name)
      Ids.push_back(Id);
  for (const LinkId Id : Ids)
    drop(C, Id);
}

void follow(Context &C, const control::CommandBody &Body,
            const control::CommandResult &Result) {
  if (const auto *A = std::get_if<control::AnnounceUpstream>(&Body))
    return answerAnnouncement(C, A->Value.Name, A->Value.RunId, Result);
  if (const auto *A = std::get_if<control::AnnounceEntry>(&Body))
    return answerAnnouncement(C, A->Value.Name, A->Value.RunId, Result);
  if (!Result.Accepted)
    return;
  if (const auto *R = std::get_if<control::RetireEntry>(&Body))
    return retired(C, R->Name);
  const auto *R = std::get_if<control::RetireUpstream>(&Body);
  if (R == nullptr)
    return;
  const auto U = C.S.Current.Config.Upstreams.find(R->Id);
  if (U != C.S.Current.Config.Upstreams.end())
    retired(C, U->second.Name);
}

void on(Context &C, const EntryCommitted &E) {
  const Expected<control::Command> Entry = control::decodeCommand(E.Entry);
  if (!Entry) {
    C.Out.emplace_back(ServerNotice{
        "log_entry_malformed", std::to_string(E.At.Number), Entry.error()});
    return;
  }
  const control::CommandResult Result =
      control::apply(C.S.Current, *Entry, E.At);
  control::retainChanges(C.S.Retained, C.S.Current.Config);
  answerWaiting(C, Entry->Id, CommandResult{Entry->Id, Result, {}, {}});
  follow(C, Entry->Body, Result);
}

/// Commands that wait may still be committed by the next leader.
void failWaiting(Context &C) {
  const Error Reason{ErrorCode::OutcomeUnknown,
                     C.S.Options.Name + " ceased to lead before the command "
                                        "was decided; send it again with the "
                                        "same id"};
  while (!C.S.Waiting.empty()) {
    const std::string Name = C.S.Waiting.begin()->first;
    answerWaiting(C, Name, CommandResult{Name, {}, Reason, leaderHost(C)});
  }
}

void on(Context &C, const LeadershipChanged &E) {
  C.S.Leading = E.Leading;
  C.Out.emplace_back(
      ServerNotice{E.Leading ? "leadership_gained" : "leadership_lost",
                   C.S.Options.Name, std::nullopt});
  for (auto &[Id, L] : C.S.Links) {
    L.Leased = false;
    L.AwaitingProposed = false;
  }
  failWaiting(C);
  C.S.Leases = control::startLeases(C.View.Now);
  C.S.LastTick = C.View.Now;
  if (!E.Leading)
    return;
  C.S.Reports = control::OutcomeStore{};
  C.S.Reports.Since = C.View.Now;
  C.S.History = control::BurnHistory{};
  control::startBurnHistory(C.S.History, C.View.Now);
}

void on(Context &C, const ProposalRefused &E) {
  const Error &Reason = E.Reason;
  answerWaiting(C, E.Value.Id,
                CommandResult{E.Value.Id, {}, Reason, leaderHost(C)});
  for (auto &[Id, L] : C.S.Links)
    if (std::holds_alternative<control::AnnounceUpstream>(E.Value.Body) ||
        std::holds_alternative<control::AnnounceEntry>(E.Value.Body))
      L.AwaitingProposed = false;
}

} // namespace

ServerState makeServerState(ServerOptions Options) {
  ServerState S;
  for (const ControlHost &H : Options.Hosts)
    if (H.Name != Options.Name)
      S.Peers[H.Name].Address = H.Address;
  S.Options = std::move(Options);
  return S;
}

std::vector<ServerEffect> handle(ServerState &S, const ServerEvent &Event,
                                 const ServerView &View) {
  Effects Out;
  Context C{S, View, Out};
  std::visit([&](const auto &E) { on(C, E); }, Event);
  return Out;
}

Expected<void> restoreState(ServerState &S, const Bytes &Encoded) {
  Expected<control::State> Restored = control::decodeState(Encoded);
  if (!Restored)
    return tl::make_unexpected(Restored.error());
  S.Current = std::move(*Restored);
  S.Retained = control::startRetainedChanges(S.Current.Config);
  S.Snapshot.reset();
  return {};
}

bool peerOpen(const ServerState &S, const std::string &Host) {
  const auto Found = S.Peers.find(Host);
  return Found != S.Peers.end() && Found->second.Now == PeerLink::Phase::Open;
}

} // namespace jasminearch::link
