#include "jasminearch/link/control_client_logic.h"
#include "jasminearch/link/handshake.h"
#include <algorithm>
#include <type_traits>
#include <utility>

namespace jasminearch::link {
namespace {

using Effects = std::vector<ClientEffect>;
using Phase = ClientState::Phase;

/// One step of the SplitMix64 generator.
std::uint64_t nextRandom(std::uint64_t &State) {
  State += 0x9E3779B97F4A7C15ULL;
  std::uint64_t Mixed = State;
  Mixed = (Mixed ^ (Mixed >> 30U)) * 0xBF58476D1CE4E5B9ULL;
  Mixed = (Mixed ^ (Mixed >> 27U)) * 0x94D049BB133111EBULL;
  return Mixed ^ (Mixed >> 31U);
}

/// \returns a random time between half of \p Longest and \p Longest.
Duration jittered(ClientState &S, std::chrono::milliseconds Longest) {
  const auto Half = Longest.count() / 2;
  const auto Spread =
      nextRandom(S.Random) % static_cast<std::uint64_t>(Half + 1);
  return std::chrono::milliseconds(Half + static_cast<std::int64_t>(Spread));
}

Duration backOff(ClientState &S) {
  constexpr unsigned MostDoublings = 4;
  const unsigned Doublings = std::min(S.Failures, MostDoublings);
  return jittered(S,
                  std::min(FirstBackOff * (1U << Doublings), LongestBackOff));
}

std::uint64_t runId(const ControlClientOptions &Options) {
  return std::visit([](const auto &A) { return A.RunId; },
                    Options.Announcement);
}

/// \returns the revision in force, zero if there is none.
Revision inForce(const ClientState &S) {
  return S.Running ? control::inForce(S.Config) : Revision{};
}

void send(ClientState &S, Effects &Out, Message Value, TimePoint Now) {
  S.LastSent = Now;
  Out.emplace_back(SendMessage{std::move(Value)});
}

void dial(ClientState &S, Effects &Out, TimePoint Now) {
  const Endpoint To = S.Leader.value_or(S.Options.ControlHosts[S.Host]);
  S.Leader.reset();
  S.Now = Phase::Dialling;
  S.LastHeard = Now;
  Out.emplace_back(Dial{++S.Attempt, To});
}

/// Gives the present link up; the next attempt follows after \p Wait.
void giveUp(ClientState &S, Effects &Out, TimePoint Now, Duration Wait) {
  if (S.Now != Phase::Idle)
    Out.emplace_back(Disconnect{});
  control::discardPartialSnapshot(S.Config);
  if (!S.Running)
    S.Config = {};
  S.ToldRevision.reset();
  S.Now = Phase::Idle;
  S.Committed = false;
  S.NextDial = Now + Wait;
}

/// Gives the present link up in favour of the next control host in turn.
void moveOn(ClientState &S, Effects &Out, TimePoint Now, Duration Wait) {
  giveUp(S, Out, Now, Wait);
  S.Host = (S.Host + 1) % S.Options.ControlHosts.size();
  S.Redirects = 0;
}

void failed(ClientState &S, Effects &Out, TimePoint Now) {
  const Duration Wait = backOff(S);
  ++S.Failures;
  moveOn(S, Out, Now, Wait);
}

/// Goes to the host that was named as the leader. Control hosts that name each
/// other would be an endless loop without the limit.
void redirect(ClientState &S, Effects &Out, Endpoint Leader, TimePoint Now) {
  if (++S.Redirects > S.Options.ControlHosts.size())
    return failed(S, Out, Now);
  giveUp(S, Out, Now, Duration{});
  S.Leader = Leader;
  const auto &Hosts = S.Options.ControlHosts;
  const auto Known = std::find(Hosts.begin(), Hosts.end(), Leader);
  if (Known != Hosts.end())
    S.Host = static_cast<std::size_t>(Known - Hosts.begin());
}

void sendAnnouncement(ClientState &S, Effects &Out, TimePoint Now) {
  S.AnnouncedAt = Now;
  send(S, Out, Announce{S.Options.Announcement}, Now);
}

// Messages --------------------------------------------------------------------

void receive(ClientState &S, Effects &Out, const Challenge &M, TimePoint Now) {
  if (S.Now != Phase::Greeting)
    return failed(S, Out, Now);
  Hello Claim;
  Claim.Cluster = S.Options.Cluster;
  Claim.Name = S.Options.Name;
  Claim.Sender =
      std::holds_alternative<control::EntryAnnouncement>(S.Options.Announcement)
          ? Role::Entry
          : Role::Agent;
  Claim.RunId = S.RunId;
  Claim.InForce = inForce(S);
  Claim.Nonce = S.Nonce = generateNonce();
  Claim.Proof = helloProof(S.Options.LinkKey, M.Nonce, Claim);
  S.Now = Phase::Proving;
  S.QuorumToldAt = Now;
  send(S, Out, std::move(Claim), Now);
}

void receive(ClientState &S, Effects &Out, const Welcome &M, TimePoint Now) {
  const Bytes Proof =
      welcomeProof(S.Options.LinkKey, S.Nonce, S.Options.Cluster, M.Host);
  if (S.Now != Phase::Proving || !proofsEqual(M.Proof, Proof)) {
    Out.emplace_back(ClientTrouble{
        {ErrorCode::UnknownMember, M.Host + " does not know the link key"}});
    return failed(S, Out, Now);
  }
  if (!M.Leading && M.Leader)
    return redirect(S, Out, M.Leader->Address, Now);
  // Without the lease, the host may lack entries that a former leader
  // committed, even if its quorum is recent.
  if (!M.Leading && !S.Running) {
    Out.emplace_back(ClientTrouble{
        {ErrorCode::NoQuorum,
         M.Host + " doesn't hold the lease, which a newly started process "
                  "requires"}});
    return failed(S, Out, Now);
  }
  S.Now = Phase::Subscribed;
  S.SubscribedAt = Now;
  // The age holds from when Hello was sent: Welcome may have been on its way
  // for long.
  S.QuorumAge = M.QuorumAge;
  sendAnnouncement(S, Out, Now);
}

std::chrono::milliseconds quorumAge(const ClientState &S, TimePoint Now) {
  return S.QuorumAge + std::chrono::duration_cast<std::chrono::milliseconds>(
                           Now - S.QuorumToldAt);
}

/// Puts the first configuration in force once it is as recent as what the host
/// told: a snapshot is shared between subscribers and may be older than what
/// all others have accepted by now. The delta that follows it closes the gap.
void putInForce(ClientState &S, Effects &Out, TimePoint Now) {
  if (S.Running || !S.Config.InForce || !S.ToldRevision ||
      control::inForce(S.Config) < *S.ToldRevision ||
      quorumAge(S, Now) > control::MaxStartupQuorumAge)
    return;
  S.Running = true;
  Out.emplace_back(ConfigurationChanged{S.Config.InForce});
  send(S, Out, Applied{inForce(S)}, Now);
}

/// Each heartbeat answers one of the control host, so that both sides see
/// silence begin at the same time, and the daemon's new link is there before
/// its lease ends.
void receive(ClientState &S, Effects &Out, const Heartbeat &M, TimePoint Now) {
  if (M.QuorumAge > control::MaxStartupQuorumAge)
    return failed(S, Out, Now);
  S.QuorumAge = M.QuorumAge;
  S.QuorumToldAt = Now;
  S.ToldRevision = std::max(S.ToldRevision, std::optional(M.InForce));
  putInForce(S, Out, Now);
  send(S, Out, Heartbeat{inForce(S), {}}, Now);
}

/// Acts on what the receiver made of a snapshot part or a delta.
void taken(ClientState &S, Effects &Out, const Expected<bool> &Changed,
           TimePoint Now) {
  if (!Changed) {
    Out.emplace_back(ClientTrouble{Changed.error()});
    return failed(S, Out, Now);
  }
  if (!*Changed)
    return;
  if (!S.Running)
    return putInForce(S, Out, Now);
  Out.emplace_back(ConfigurationChanged{S.Config.InForce});
  send(S, Out, Applied{inForce(S)}, Now);
}

void receive(ClientState &S, Effects &Out, Snapshot &M, TimePoint Now) {
  taken(S, Out,
        control::applySnapshotPart(S.Config, std::move(M.Value),
                                   quorumAge(S, Now)),
        Now);
}

void receive(ClientState &S, Effects &Out, const Delta &M, TimePoint Now) {
  taken(S, Out, control::applyDelta(S.Config, M.Value, quorumAge(S, Now)), Now);
}

void receive(ClientState &S, Effects &Out, const Announced &M, TimePoint Now) {
  // A new leader knows no counts, and until it does it says "can't tell".
  if (!S.Committed)
    S.NextReport = std::min(S.NextReport, Now + jittered(S, FirstReportLimit));
  S.Committed = true;
  S.Failures = 0;
  S.Redirects = 0;
  Out.emplace_back(AnnouncementCommitted{M.Id, M.Instance});
}

void receive(ClientState &S, Effects &Out, const Refused &M, TimePoint Now) {
  if (M.Reason.Code == ErrorCode::NotLeader && M.Leader)
    return redirect(S, Out, M.Leader->Address, Now);
  Out.emplace_back(ClientTrouble{M.Reason});
  failed(S, Out, Now);
}

/// Messages that a control host never sends to a daemon.
template <typename Other>
void receive(ClientState &S, Effects &Out, const Other &, TimePoint Now) {
  Out.emplace_back(ClientTrouble{
      {ErrorCode::MessageMalformed, "a control host sent a daemon's message"}});
  failed(S, Out, Now);
}

/// Whether \p M may arrive before Welcome.
bool isGreeting(const Message &M) {
  return std::holds_alternative<Challenge>(M) ||
         std::holds_alternative<Welcome>(M) ||
         std::holds_alternative<Refused>(M);
}

// Events ----------------------------------------------------------------------

void on(ClientState &S, Effects &, const ClientOpened &E, TimePoint Now) {
  if (E.Attempt != S.Attempt || S.Now != Phase::Dialling)
    return;
  S.Now = Phase::Greeting;
  S.LastHeard = Now;
}

void on(ClientState &S, Effects &Out, const ClientClosed &E, TimePoint Now) {
  if (E.Attempt != S.Attempt || S.Now == Phase::Idle || S.Now == Phase::Stopped)
    return;
  failed(S, Out, Now);
}

void on(ClientState &S, Effects &Out, const ClientReceived &E, TimePoint Now) {
  const bool Listening = S.Now == Phase::Greeting || S.Now == Phase::Proving ||
                         S.Now == Phase::Subscribed;
  if (E.Attempt != S.Attempt || !Listening)
    return;
  S.LastHeard = Now;
  Expected<Message> M = decodeMessage(E.Encoded);
  if (!M) {
    Out.emplace_back(ClientTrouble{M.error()});
    return failed(S, Out, Now);
  }
  if (S.Now != Phase::Subscribed && !isGreeting(*M))
    return failed(S, Out, Now);
  std::visit([&](auto &Value) { receive(S, Out, Value, Now); }, *M);
}

/// Sends what is due on a subscribed link.
void keepUp(ClientState &S, Effects &Out, TimePoint Now) {
  if (!S.Committed && Now - S.SubscribedAt > AnnounceLimit)
    return failed(S, Out, Now);
  if (!S.Committed && Now - S.AnnouncedAt >= AnnounceRetry)
    sendAnnouncement(S, Out, Now);
  if (Now - S.LastSent >= 2 * HeartbeatInterval)
    send(S, Out, Heartbeat{inForce(S), {}}, Now);
  if (!S.Committed || Now < S.NextReport)
    return;
  S.NextReport = Now + ReportInterval;
  send(S, Out, OutcomeReport{{S.Options.Name, S.RunId, S.Counts}}, Now);
}

void on(ClientState &S, Effects &Out, const ClientTick &, TimePoint Now) {
  if (S.Now == Phase::Stopped)
    return;
  if (S.Now == Phase::Idle) {
    if (Now >= S.NextDial)
      dial(S, Out, Now);
    return;
  }
  // A silent link is replaced without back-off: the lease runs out meanwhile.
  if (Now - S.LastHeard >= SilenceLimit) {
    Out.emplace_back(
        ClientTrouble{{ErrorCode::LinkClosed, "the link was silent"}});
    const bool WasServed = S.Now == Phase::Subscribed;
    return WasServed ? moveOn(S, Out, Now, Duration{}) : failed(S, Out, Now);
  }
  if (S.Now == Phase::Subscribed)
    keepUp(S, Out, Now);
}

void on(ClientState &S, Effects &Out, const ClientLeaving &, TimePoint Now) {
  if (S.Now == Phase::Subscribed)
    send(S, Out, Leave{}, Now);
  if (S.Now != Phase::Idle && S.Now != Phase::Stopped)
    Out.emplace_back(Disconnect{});
  S.Now = Phase::Stopped;
}

} // namespace

ClientState makeClientState(ControlClientOptions Options, std::uint64_t Seed,
                            TimePoint Now) {
  ClientState S;
  S.Random = Seed;
  S.RunId = runId(Options);
  S.Host = nextRandom(S.Random) % Options.ControlHosts.size();
  S.NextDial = Now;
  S.NextReport = Now + jittered(S, ReportInterval);
  S.Options = std::move(Options);
  return S;
}

std::vector<ClientEffect> handle(ClientState &State, const ClientEvent &Event,
                                 TimePoint Now) {
  Effects Out;
  std::visit([&](const auto &E) { on(State, Out, E, Now); }, Event);
  return Out;
}

bool isConnected(const ClientState &State, TimePoint Now) {
  return State.Now == Phase::Subscribed && Now - State.LastHeard < SilenceLimit;
}

} // namespace jasminearch::link
