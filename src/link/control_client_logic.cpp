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
Duration jitteredDelay(ClientState &S, std::chrono::milliseconds MaxDelay) {
  const auto Half = MaxDelay.count() / 2;
  const auto Spread =
      nextRandom(S.RandomState) % static_cast<std::uint64_t>(Half + 1);
  return std::chrono::milliseconds(Half + static_cast<std::int64_t>(Spread));
}

Duration backOffDelay(ClientState &S) {
  constexpr unsigned MaxDoublings = 4;
  const unsigned Doublings = std::min(S.Failures, MaxDoublings);
  return jitteredDelay(
      S, std::min(InitialBackOff * (1U << Doublings), MaxBackOff));
}

std::uint64_t runId(const ControlClientOptions &Options) {
  return std::visit([](const auto &A) { return A.RunId; },
                    Options.Announcement);
}

/// \returns the revision in force, zero if there is none.
Revision inForce(const ClientState &S) {
  return S.ConfigIsInForce ? control::inForce(S.Config) : Revision{};
}

void send(ClientState &S, Effects &Out, Message Value, TimePoint Now) {
  S.LastSent = Now;
  Out.emplace_back(SendMessage{std::move(Value)});
}

void connect(ClientState &S, Effects &Out, TimePoint Now) {
  const Endpoint To = S.Leader.value_or(S.Options.ControlHosts[S.HostIndex]);
  S.Leader.reset();
  S.CurrentPhase = Phase::Connecting;
  S.LastHeard = Now;
  Out.emplace_back(Dial{++S.Attempt, To});
}

/// Gives the present link up; the next attempt follows after \p Wait.
void disconnect(ClientState &S, Effects &Out, TimePoint Now, Duration Delay) {
  if (S.CurrentPhase != Phase::Idle)
    Out.emplace_back(HangUp{});
  control::dropUnfinished(S.Config);
  if (!S.ConfigIsInForce)
    S.Config = {};
  S.HostRevision.reset();
  S.CurrentPhase = Phase::Idle;
  S.Committed = false;
  S.NextDial = Now + Delay;
}

/// Gives the present link up in favour of the next control host in turn.
void switchToNextHost(ClientState &S, Effects &Out, TimePoint Now,
                      Duration Delay) {
  disconnect(S, Out, Now, Delay);
  S.HostIndex = (S.HostIndex + 1) % S.Options.ControlHosts.size();
  S.Redirects = 0;
}

void handleFailure(ClientState &S, Effects &Out, TimePoint Now) {
  const Duration Delay = backOffDelay(S);
  ++S.Failures;
  switchToNextHost(S, Out, Now, Delay);
}

/// Goes to the host that was named as the leader. Control hosts that name each
/// other would be an endless loop without the limit.
void redirect(ClientState &S, Effects &Out, Endpoint Leader, TimePoint Now) {
  if (++S.Redirects > S.Options.ControlHosts.size())
    return handleFailure(S, Out, Now);
  disconnect(S, Out, Now, Duration{});
  S.Leader = Leader;
  const auto &Hosts = S.Options.ControlHosts;
  const auto Known = std::find(Hosts.begin(), Hosts.end(), Leader);
  if (Known != Hosts.end())
    S.HostIndex = static_cast<std::size_t>(Known - Hosts.begin());
}

void sendAnnouncement(ClientState &S, Effects &Out, TimePoint Now) {
  S.AnnouncedAt = Now;
  send(S, Out, Announce{S.Options.Announcement}, Now);
}

// Messages --------------------------------------------------------------------

void receive(ClientState &S, Effects &Out, const Challenge &M, TimePoint Now) {
  if (S.CurrentPhase != Phase::AwaitingChallenge)
    return handleFailure(S, Out, Now);
  Hello HelloMessage;
  HelloMessage.Cluster = S.Options.Cluster;
  HelloMessage.Name = S.Options.Name;
  HelloMessage.Sender =
      std::holds_alternative<control::EntryAnnouncement>(S.Options.Announcement)
          ? Role::Entry
          : Role::Agent;
  HelloMessage.RunId = S.RunId;
  HelloMessage.InForce = inForce(S);
  HelloMessage.Nonce = S.Nonce = freshNonce();
  HelloMessage.Proof = helloProof(S.Options.LinkKey, M.Nonce, HelloMessage);
  S.CurrentPhase = Phase::AwaitingWelcome;
  S.QuorumAgeAt = Now;
  send(S, Out, std::move(HelloMessage), Now);
}

void receive(ClientState &S, Effects &Out, const Welcome &M, TimePoint Now) {
  const Bytes Proof =
      welcomeProof(S.Options.LinkKey, S.Nonce, S.Options.Cluster, M.Host);
  if (S.CurrentPhase != Phase::AwaitingWelcome ||
      !proofsEqual(M.Proof, Proof)) {
    Out.emplace_back(ClientError{
        {ErrorCode::UnknownMember, M.Host + " does not know the link key"}});
    return handleFailure(S, Out, Now);
  }
  if (!M.Leading && M.Leader)
    return redirect(S, Out, M.Leader->Address, Now);
  // Without the lease, the host may lack entries that a former leader
  // committed, even if its quorum is recent.
  if (!M.Leading && !S.ConfigIsInForce) {
    Out.emplace_back(ClientError{
        {ErrorCode::NoQuorum,
         M.Host + " doesn't hold the lease, which a newly started process "
                  "requires"}});
    return handleFailure(S, Out, Now);
  }
  S.CurrentPhase = Phase::Subscribed;
  S.SubscribedAt = Now;
  // The age holds from when Hello was sent: Welcome may have been on its way
  // for long.
  S.QuorumAge = M.QuorumAge;
  sendAnnouncement(S, Out, Now);
}

std::chrono::milliseconds quorumAge(const ClientState &S, TimePoint Now) {
  return S.QuorumAge + std::chrono::duration_cast<std::chrono::milliseconds>(
                           Now - S.QuorumAgeAt);
}

/// Puts the first configuration in force once it is as recent as what the host
/// told: a snapshot is shared between subscribers and may be older than what
/// all others have accepted by now. The delta that follows it closes the gap.
void putFirstConfigInForce(ClientState &S, Effects &Out, TimePoint Now) {
  if (S.ConfigIsInForce || !S.Config.InForce || !S.HostRevision ||
      control::inForce(S.Config) < *S.HostRevision ||
      quorumAge(S, Now) > control::FreshQuorumLimit)
    return;
  S.ConfigIsInForce = true;
  Out.emplace_back(ConfigurationChanged{S.Config.InForce});
  send(S, Out, Applied{inForce(S)}, Now);
}

/// Each heartbeat answers one of the control host, so that both sides see
/// silence begin at the same time, and the daemon's new link is there before
/// its lease ends.
void receive(ClientState &S, Effects &Out, const Heartbeat &M, TimePoint Now) {
  if (M.QuorumAge > control::FreshQuorumLimit)
    return handleFailure(S, Out, Now);
  S.QuorumAge = M.QuorumAge;
  S.QuorumAgeAt = Now;
  S.HostRevision = std::max(S.HostRevision, std::optional(M.InForce));
  putFirstConfigInForce(S, Out, Now);
  send(S, Out, Heartbeat{inForce(S), {}}, Now);
}

/// Acts on what the receiver made of a snapshot part or a delta.
void handleUpdateResult(ClientState &S, Effects &Out,
                        const Expected<bool> &Changed, TimePoint Now) {
  if (!Changed) {
    Out.emplace_back(ClientError{Changed.error()});
    return handleFailure(S, Out, Now);
  }
  if (!*Changed)
    return;
  if (!S.ConfigIsInForce)
    return putFirstConfigInForce(S, Out, Now);
  Out.emplace_back(ConfigurationChanged{S.Config.InForce});
  send(S, Out, Applied{inForce(S)}, Now);
}

void receive(ClientState &S, Effects &Out, Snapshot &M, TimePoint Now) {
  handleUpdateResult(S, Out,
                     control::takeSnapshotPart(S.Config, std::move(M.Value),
                                               quorumAge(S, Now)),
                     Now);
}

void receive(ClientState &S, Effects &Out, const Delta &M, TimePoint Now) {
  handleUpdateResult(
      S, Out, control::takeDelta(S.Config, M.Value, quorumAge(S, Now)), Now);
}

void receive(ClientState &S, Effects &Out, const Announced &M, TimePoint Now) {
  // A new leader knows no counts, and until it does it says "can't tell".
  if (!S.Committed)
    S.NextReport =
        std::min(S.NextReport, Now + jitteredDelay(S, MaxFirstReportDelay));
  S.Committed = true;
  S.Failures = 0;
  S.Redirects = 0;
  Out.emplace_back(AnnouncementCommitted{M.Id, M.Instance});
}

void receive(ClientState &S, Effects &Out, const Refused &M, TimePoint Now) {
  if (M.Reason.Code == ErrorCode::NotLeader && M.Leader)
    return redirect(S, Out, M.Leader->Address, Now);
  Out.emplace_back(ClientError{M.Reason});
  handleFailure(S, Out, Now);
}

/// Messages that a control host never sends to a daemon.
template <typename Other>
void receive(ClientState &S, Effects &Out, const Other &, TimePoint Now) {
  Out.emplace_back(ClientError{
      {ErrorCode::MessageMalformed, "a control host sent a daemon's message"}});
  handleFailure(S, Out, Now);
}

/// Whether \p M may arrive before Welcome.
bool isHandshakeMessage(const Message &M) {
  return std::holds_alternative<Challenge>(M) ||
         std::holds_alternative<Welcome>(M) ||
         std::holds_alternative<Refused>(M);
}

// Events ----------------------------------------------------------------------

void onEvent(ClientState &S, Effects &, const ClientOpened &E, TimePoint Now) {
  if (E.Attempt != S.Attempt || S.CurrentPhase != Phase::Connecting)
    return;
  S.CurrentPhase = Phase::AwaitingChallenge;
  S.LastHeard = Now;
}

void onEvent(ClientState &S, Effects &Out, const ClientClosed &E,
             TimePoint Now) {
  if (E.Attempt != S.Attempt || S.CurrentPhase == Phase::Idle ||
      S.CurrentPhase == Phase::Stopped)
    return;
  handleFailure(S, Out, Now);
}

void onEvent(ClientState &S, Effects &Out, const ClientReceived &E,
             TimePoint Now) {
  const bool ExpectsMessages = S.CurrentPhase == Phase::AwaitingChallenge ||
                               S.CurrentPhase == Phase::AwaitingWelcome ||
                               S.CurrentPhase == Phase::Subscribed;
  if (E.Attempt != S.Attempt || !ExpectsMessages)
    return;
  S.LastHeard = Now;
  Expected<Message> M = decodeMessage(E.Encoded);
  if (!M) {
    Out.emplace_back(ClientError{M.error()});
    return handleFailure(S, Out, Now);
  }
  if (S.CurrentPhase != Phase::Subscribed && !isHandshakeMessage(*M))
    return handleFailure(S, Out, Now);
  std::visit([&](auto &Value) { receive(S, Out, Value, Now); }, *M);
}

/// Sends what is due on a subscribed link.
void sendDueMessages(ClientState &S, Effects &Out, TimePoint Now) {
  if (!S.Committed && Now - S.SubscribedAt > AnnouncementTimeout)
    return handleFailure(S, Out, Now);
  if (!S.Committed && Now - S.AnnouncedAt >= AnnouncementRetryInterval)
    sendAnnouncement(S, Out, Now);
  if (Now - S.LastSent >= 2 * HeartbeatInterval)
    send(S, Out, Heartbeat{inForce(S), {}}, Now);
  if (!S.Committed || Now < S.NextReport)
    return;
  S.NextReport = Now + ReportInterval;
  send(S, Out, OutcomeReport{{S.Options.Name, S.RunId, S.Counts}}, Now);
}

void onEvent(ClientState &S, Effects &Out, const ClientTick &, TimePoint Now) {
  if (S.CurrentPhase == Phase::Stopped)
    return;
  if (S.CurrentPhase == Phase::Idle) {
    if (Now >= S.NextDial)
      connect(S, Out, Now);
    return;
  }
  // A silent link is replaced without back-off: the lease runs out meanwhile.
  if (Now - S.LastHeard >= SilenceTimeout) {
    Out.emplace_back(
        ClientError{{ErrorCode::LinkClosed, "the link was silent"}});
    const bool WasSubscribed = S.CurrentPhase == Phase::Subscribed;
    return WasSubscribed ? switchToNextHost(S, Out, Now, Duration{})
                         : handleFailure(S, Out, Now);
  }
  if (S.CurrentPhase == Phase::Subscribed)
    sendDueMessages(S, Out, Now);
}

void onEvent(ClientState &S, Effects &Out, const ClientLeaving &,
             TimePoint Now) {
  if (S.CurrentPhase == Phase::Subscribed)
    send(S, Out, Leave{}, Now);
  if (S.CurrentPhase != Phase::Idle && S.CurrentPhase != Phase::Stopped)
    Out.emplace_back(HangUp{});
  S.CurrentPhase = Phase::Stopped;
}

} // namespace

ClientState startClient(ControlClientOptions Options, std::uint64_t Seed,
                        TimePoint Now) {
  ClientState S;
  S.RandomState = Seed;
  S.RunId = runId(Options);
  S.HostIndex = nextRandom(S.RandomState) % Options.ControlHosts.size();
  S.NextDial = Now;
  S.NextReport = Now + jitteredDelay(S, ReportInterval);
  S.Options = std::move(Options);
  return S;
}

std::vector<ClientEffect> handle(ClientState &State, const ClientEvent &Event,
                                 TimePoint Now) {
  Effects Out;
  std::visit([&](const auto &E) { onEvent(State, Out, E, Now); }, Event);
  return Out;
}

bool isConnected(const ClientState &State, TimePoint Now) {
  return State.CurrentPhase == Phase::Subscribed &&
         Now - State.LastHeard < SilenceTimeout;
}

} // namespace jasminearch::link
