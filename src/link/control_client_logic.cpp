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

/// \returns a random duration between half of \p MaxDelay and \p MaxDelay.
Duration jitteredDelay(ClientState &State, std::chrono::milliseconds MaxDelay) {
  const auto Half = MaxDelay.count() / 2;
  const auto Spread =
      nextRandom(State.RandomState) % static_cast<std::uint64_t>(Half + 1);
  return std::chrono::milliseconds(Half + static_cast<std::int64_t>(Spread));
}

Duration backOffDelay(ClientState &State) {
  constexpr unsigned MaxDoublings = 4;
  const unsigned Doublings = std::min(State.Failures, MaxDoublings);
  return jitteredDelay(
      State, std::min(InitialBackOff * (1U << Doublings), MaxBackOff));
}

std::uint64_t runId(const ControlClientOptions &Options) {
  return std::visit([](const auto &A) { return A.RunId; },
                    Options.Announcement);
}

/// \returns the revision in force, or zero if there is none.
Revision inForce(const ClientState &State) {
  return State.ConfigIsInForce ? control::inForce(State.Config) : Revision{};
}

void send(ClientState &State, Effects &Out, Message Value, TimePoint Now) {
  State.LastSent = Now;
  Out.emplace_back(SendMessage{std::move(Value)});
}

void connect(ClientState &State, Effects &Out, TimePoint Now) {
  const Endpoint To =
      State.Leader.value_or(State.Options.ControlHosts[State.HostIndex]);
  State.Leader.reset();
  State.CurrentPhase = Phase::Connecting;
  State.LastHeard = Now;
  Out.emplace_back(Dial{++State.Attempt, To});
}

/// Closes the current link. The next attempt follows after \p Delay.
void disconnect(ClientState &State, Effects &Out, TimePoint Now,
                Duration Delay) {
  if (State.CurrentPhase != Phase::Idle)
    Out.emplace_back(Disconnect{});
  control::discardPartialSnapshot(State.Config);
  if (!State.ConfigIsInForce)
    State.Config = {};
  State.HostRevision.reset();
  State.CurrentPhase = Phase::Idle;
  State.Committed = false;
  State.NextDial = Now + Delay;
}

/// Closes the current link and selects the next control host in the list.
void switchToNextHost(ClientState &State, Effects &Out, TimePoint Now,
                      Duration Delay) {
  disconnect(State, Out, Now, Delay);
  State.HostIndex = (State.HostIndex + 1) % State.Options.ControlHosts.size();
  State.Redirects = 0;
}

void handleFailure(ClientState &State, Effects &Out, TimePoint Now) {
  const Duration Delay = backOffDelay(State);
  ++State.Failures;
  switchToNextHost(State, Out, Now, Delay);
}

/// Switches to the host that was named as the leader. The limit prevents an
/// endless loop when control hosts name each other.
void redirect(ClientState &State, Effects &Out, Endpoint Leader,
              TimePoint Now) {
  if (++State.Redirects > State.Options.ControlHosts.size())
    return handleFailure(State, Out, Now);
  disconnect(State, Out, Now, Duration{});
  State.Leader = Leader;
  const auto &Hosts = State.Options.ControlHosts;
  const auto Known = std::find(Hosts.begin(), Hosts.end(), Leader);
  if (Known != Hosts.end())
    State.HostIndex = static_cast<std::size_t>(Known - Hosts.begin());
}

void sendAnnouncement(ClientState &State, Effects &Out, TimePoint Now) {
  State.AnnouncedAt = Now;
  send(State, Out, Announce{State.Options.Announcement}, Now);
}

// Messages --------------------------------------------------------------------

void receive(ClientState &State, Effects &Out, const Challenge &M,
             TimePoint Now) {
  if (State.CurrentPhase != Phase::AwaitingChallenge)
    return handleFailure(State, Out, Now);
  Hello HelloMessage;
  HelloMessage.Cluster = State.Options.Cluster;
  HelloMessage.Name = State.Options.Name;
  HelloMessage.Sender = std::holds_alternative<control::EntryAnnouncement>(
                            State.Options.Announcement)
                            ? Role::Entry
                            : Role::Agent;
  HelloMessage.RunId = State.RunId;
  HelloMessage.InForce = inForce(State);
  HelloMessage.Nonce = State.Nonce = generateNonce();
  HelloMessage.Proof = helloProof(State.Options.LinkKey, M.Nonce, HelloMessage);
  State.CurrentPhase = Phase::AwaitingWelcome;
  State.QuorumAgeAt = Now;
  send(State, Out, std::move(HelloMessage), Now);
}

void receive(ClientState &State, Effects &Out, const Welcome &M,
             TimePoint Now) {
  const Bytes Proof = welcomeProof(State.Options.LinkKey, State.Nonce,
                                   State.Options.Cluster, M.Host);
  if (State.CurrentPhase != Phase::AwaitingWelcome ||
      !proofsEqual(M.Proof, Proof)) {
    Out.emplace_back(
        ClientError{{ErrorCode::UnknownMember,
                     M.Host + " sent no valid proof of the link key"}});
    return handleFailure(State, Out, Now);
  }
  if (!M.Leading && M.Leader)
    return redirect(State, Out, M.Leader->Address, Now);
  // Without the lease, the host may lack entries that a previous leader
  // committed, even if its quorum is recent.
  if (!M.Leading && !State.ConfigIsInForce) {
    Out.emplace_back(ClientError{
        {ErrorCode::NoQuorum, M.Host + " doesn't hold the leader lease, which "
                                       "a newly started process requires"}});
    return handleFailure(State, Out, Now);
  }
  State.CurrentPhase = Phase::Subscribed;
  State.SubscribedAt = Now;
  // QuorumAge is relative to the time Hello was sent, since Welcome may have
  // been delayed on its way.
  State.QuorumAge = M.QuorumAge;
  sendAnnouncement(State, Out, Now);
}

std::chrono::milliseconds quorumAge(const ClientState &State, TimePoint Now) {
  return State.QuorumAge +
         std::chrono::duration_cast<std::chrono::milliseconds>(
             Now - State.QuorumAgeAt);
}

/// Puts the first configuration in force once it has reached the revision that
/// the host reported. A snapshot is shared between subscribers and may be older
/// than what other daemons already have in force; the delta that follows it
/// closes the gap.
void putFirstConfigInForce(ClientState &State, Effects &Out, TimePoint Now) {
  if (State.ConfigIsInForce || !State.Config.InForce || !State.HostRevision ||
      control::inForce(State.Config) < *State.HostRevision ||
      quorumAge(State, Now) > control::MaxStartupQuorumAge)
    return;
  State.ConfigIsInForce = true;
  Out.emplace_back(ConfigurationChanged{State.Config.InForce});
  send(State, Out, Applied{inForce(State)}, Now);
}

/// Each daemon heartbeat answers one of the control host. Thus both sides
/// detect silence at the same time, and the daemon's new link is open before
/// its lease expires.
void receive(ClientState &State, Effects &Out, const Heartbeat &M,
             TimePoint Now) {
  if (M.QuorumAge > control::MaxStartupQuorumAge)
    return handleFailure(State, Out, Now);
  State.QuorumAge = M.QuorumAge;
  State.QuorumAgeAt = Now;
  State.HostRevision = std::max(State.HostRevision, std::optional(M.InForce));
  putFirstConfigInForce(State, Out, Now);
  send(State, Out, Heartbeat{inForce(State), {}}, Now);
}

/// Handles the result of applying a snapshot part or a delta.
void handleUpdateResult(ClientState &State, Effects &Out,
                        const Expected<bool> &Changed, TimePoint Now) {
  if (!Changed) {
    Out.emplace_back(ClientError{Changed.error()});
    return handleFailure(State, Out, Now);
  }
  if (!*Changed)
    return;
  if (!State.ConfigIsInForce)
    return putFirstConfigInForce(State, Out, Now);
  Out.emplace_back(ConfigurationChanged{State.Config.InForce});
  send(State, Out, Applied{inForce(State)}, Now);
}

void receive(ClientState &State, Effects &Out, Snapshot &M, TimePoint Now) {
  handleUpdateResult(State, Out,
                     control::applySnapshotPart(State.Config,
                                                std::move(M.Value),
                                                quorumAge(State, Now)),
                     Now);
}

void receive(ClientState &State, Effects &Out, const Delta &M, TimePoint Now) {
  handleUpdateResult(
      State, Out,
      control::applyDelta(State.Config, M.Value, quorumAge(State, Now)), Now);
}

void receive(ClientState &State, Effects &Out, const Announced &M,
             TimePoint Now) {
  // A new leader has no outcome counts and reports "can't tell" until it
  // receives some.
  if (!State.Committed)
    State.NextReport = std::min(
        State.NextReport, Now + jitteredDelay(State, MaxFirstReportDelay));
  State.Committed = true;
  State.Failures = 0;
  State.Redirects = 0;
  Out.emplace_back(AnnouncementCommitted{M.Id, M.Instance});
}

void receive(ClientState &State, Effects &Out, const Refused &M,
             TimePoint Now) {
  if (M.Reason.Code == ErrorCode::NotLeader && M.Leader)
    return redirect(State, Out, M.Leader->Address, Now);
  Out.emplace_back(ClientError{M.Reason});
  handleFailure(State, Out, Now);
}

/// Messages that a control host never sends to a daemon.
template <typename Other>
void receive(ClientState &State, Effects &Out, const Other &, TimePoint Now) {
  Out.emplace_back(
      ClientError{{ErrorCode::MessageMalformed,
                   "a control host sent an unexpected message type"}});
  handleFailure(State, Out, Now);
}

/// \returns whether \p M may arrive before the link is subscribed.
bool isHandshakeMessage(const Message &M) {
  return std::holds_alternative<Challenge>(M) ||
         std::holds_alternative<Welcome>(M) ||
         std::holds_alternative<Refused>(M);
}

// Events ----------------------------------------------------------------------

void onEvent(ClientState &State, Effects &, const ClientOpened &E,
             TimePoint Now) {
  if (E.Attempt != State.Attempt || State.CurrentPhase != Phase::Connecting)
    return;
  State.CurrentPhase = Phase::AwaitingChallenge;
  State.LastHeard = Now;
}

void onEvent(ClientState &State, Effects &Out, const ClientClosed &E,
             TimePoint Now) {
  if (E.Attempt != State.Attempt || State.CurrentPhase == Phase::Idle ||
      State.CurrentPhase == Phase::Stopped)
    return;
  handleFailure(State, Out, Now);
}

void onEvent(ClientState &State, Effects &Out, const ClientReceived &E,
             TimePoint Now) {
  const bool ExpectsMessages = State.CurrentPhase == Phase::AwaitingChallenge ||
                               State.CurrentPhase == Phase::AwaitingWelcome ||
                               State.CurrentPhase == Phase::Subscribed;
  if (E.Attempt != State.Attempt || !ExpectsMessages)
    return;
  State.LastHeard = Now;
  Expected<Message> M = decodeMessage(E.Encoded);
  if (!M) {
    Out.emplace_back(ClientError{M.error()});
    return handleFailure(State, Out, Now);
  }
  if (State.CurrentPhase != Phase::Subscribed && !isHandshakeMessage(*M))
    return handleFailure(State, Out, Now);
  std::visit([&](auto &Value) { receive(State, Out, Value, Now); }, *M);
}

/// Sends the messages that are due on a subscribed link.
void sendDueMessages(ClientState &State, Effects &Out, TimePoint Now) {
  if (!State.Committed && Now - State.SubscribedAt > AnnouncementTimeout)
    return handleFailure(State, Out, Now);
  if (!State.Committed && Now - State.AnnouncedAt >= AnnouncementRetryInterval)
    sendAnnouncement(State, Out, Now);
  if (Now - State.LastSent >= 2 * HeartbeatInterval)
    send(State, Out, Heartbeat{inForce(State), {}}, Now);
  if (!State.Committed || Now < State.NextReport)
    return;
  State.NextReport = Now + ReportInterval;
  send(State, Out,
       OutcomeReport{{State.Options.Name, State.RunId, State.Counts}}, Now);
}

void onEvent(ClientState &State, Effects &Out, const ClientTick &,
             TimePoint Now) {
  if (State.CurrentPhase == Phase::Stopped)
    return;
  if (State.CurrentPhase == Phase::Idle) {
    if (Now >= State.NextDial)
      connect(State, Out, Now);
    return;
  }
  // A subscribed link that went silent is replaced without back-off, since the
  // lease is running out.
  if (Now - State.LastHeard >= SilenceTimeout) {
    Out.emplace_back(
        ClientError{{ErrorCode::LinkClosed,
                     "nothing was received within the silence timeout"}});
    const bool WasSubscribed = State.CurrentPhase == Phase::Subscribed;
    return WasSubscribed ? switchToNextHost(State, Out, Now, Duration{})
                         : handleFailure(State, Out, Now);
  }
  if (State.CurrentPhase == Phase::Subscribed)
    sendDueMessages(State, Out, Now);
}

void onEvent(ClientState &State, Effects &Out, const ClientLeaving &,
             TimePoint Now) {
  if (State.CurrentPhase == Phase::Subscribed)
    send(State, Out, Leave{}, Now);
  if (State.CurrentPhase != Phase::Idle && State.CurrentPhase != Phase::Stopped)
    Out.emplace_back(Disconnect{});
  State.CurrentPhase = Phase::Stopped;
}

} // namespace

ClientState makeClientState(ControlClientOptions Options, std::uint64_t Seed,
                            TimePoint Now) {
  ClientState State;
  State.RandomState = Seed;
  State.RunId = runId(Options);
  State.HostIndex = nextRandom(State.RandomState) % Options.ControlHosts.size();
  State.NextDial = Now;
  State.NextReport = Now + jitteredDelay(State, ReportInterval);
  State.Options = std::move(Options);
  return State;
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
