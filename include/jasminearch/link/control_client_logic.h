#ifndef JASMINEARCH_LINK_CONTROL_CLIENT_LOGIC_H
#define JASMINEARCH_LINK_CONTROL_CLIENT_LOGIC_H

#include "jasminearch/control/distribution.h"
#include "jasminearch/link/control_client.h"
#include "jasminearch/link/messages.h"
#include "jasminearch/types.h"
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

/// State machine of a daemon's control client. It performs no I/O, starts no
/// threads and reads no clock.
namespace jasminearch::link {

inline constexpr std::chrono::milliseconds HeartbeatInterval{500};

/// Both ends close a link on which they received nothing for this long.
inline constexpr std::chrono::milliseconds SilenceTimeout{1500};

/// Interval at which an unanswered announcement is sent again.
inline constexpr std::chrono::milliseconds AnnouncementRetryInterval{1000};

/// Time that a daemon waits for its announcement to be committed before it
/// tries the next control host: an election (about 1 s) plus a margin.
inline constexpr std::chrono::milliseconds AnnouncementTimeout{4000};

/// Interval between a daemon's outcome reports.
inline constexpr std::chrono::seconds ReportInterval{10};

/// Time within which a daemon sends its first report after it has registered
/// with a control host.
inline constexpr std::chrono::seconds MaxFirstReportDelay{1};

/// Delay before a reconnect attempt. It doubles with each failure, from
/// InitialBackOff to MaxBackOff; the actual delay is chosen at random between
/// half of this value and the whole.
inline constexpr std::chrono::milliseconds InitialBackOff{100};
inline constexpr std::chrono::milliseconds MaxBackOff{1600};

/// Interval at which the caller must pass ClientTick.
inline constexpr std::chrono::milliseconds ClientTickInterval{50};

// Events. Attempt identifies the Dial effect that opened the link, so that late
// events of a closed link are ignored.
struct ClientOpened {
  std::uint64_t Attempt = 0;
};
struct ClientClosed {
  std::uint64_t Attempt = 0;
};
struct ClientReceived {
  std::uint64_t Attempt = 0;
  Bytes Encoded;
};
struct ClientTick {};
/// The daemon is shutting down.
struct ClientLeaving {};

using ClientEvent = std::variant<ClientOpened, ClientClosed, ClientReceived,
                                 ClientTick, ClientLeaving>;

// Effects. The caller must carry them out in the given order.
struct Dial {
  std::uint64_t Attempt = 0;
  Endpoint To;
};
/// Sends a message on the link of the latest Dial.
struct SendMessage {
  Message Value;
};
/// Closes the link of the latest Dial, which may still be connecting.
struct Disconnect {};
struct ConfigurationChanged {
  std::shared_ptr<const control::Configuration> Value;
};
struct AnnouncementCommitted {
  UpstreamId Id;
  Incarnation Instance;
};
/// An error to be logged.
struct ClientError {
  Error Reason;
};

using ClientEffect =
    std::variant<Dial, SendMessage, Disconnect, ConfigurationChanged,
                 AnnouncementCommitted, ClientError>;

/// State of a daemon's control client.
struct ClientState {
  enum class Phase : std::uint8_t {
    Idle,              ///< No link; the next attempt is due at NextDial.
    Connecting,        ///< A link is being opened.
    AwaitingChallenge, ///< Waiting for Challenge.
    AwaitingWelcome,   ///< Hello was sent; waiting for Welcome.
    Subscribed,        ///< Welcome was received.
    Stopped,           ///< The daemon is shutting down.
  };

  ControlClientOptions Options;
  std::uint64_t RunId = 0;
  Phase CurrentPhase = Phase::Idle;
  std::uint64_t Attempt = 0;
  /// Index into Options.ControlHosts.
  std::size_t HostIndex = 0;
  /// Address of the leader as named by a control host. Cleared when the client
  /// connects to it.
  std::optional<Endpoint> Leader;
  /// Consecutive redirects without a committed announcement.
  unsigned Redirects = 0;
  unsigned Failures = 0;
  std::uint64_t RandomState = 0;
  TimePoint NextDial{};
  TimePoint LastHeard{};
  TimePoint LastSent{};
  TimePoint AnnouncedAt{};
  TimePoint SubscribedAt{};
  TimePoint NextReport{};
  /// Age of the control host's quorum as of QuorumAgeAt.
  std::chrono::milliseconds QuorumAge{0};
  TimePoint QuorumAgeAt{};
  bool Committed = false;
  Bytes Nonce;
  control::ConfigReceiver Config;
  /// Whether Config is in force. A newly started process collects updates in
  /// Config, but puts it in force only once it has reached HostRevision.
  bool ConfigIsInForce = false;
  /// Newest revision that the current control host reported in a heartbeat;
  /// null before the first one.
  std::optional<Revision> HostRevision;
  std::vector<control::PromiseCount> Counts;
};

/// \returns a client that connects on its first tick.
/// \param Seed seeds the jitter and the choice of the first control host.
ClientState makeClientState(ControlClientOptions Options, std::uint64_t Seed,
                            TimePoint Now);

/// Processes one event. \returns the effects to carry out.
std::vector<ClientEffect> handle(ClientState &State, const ClientEvent &Event,
                                 TimePoint Now);

/// \returns whether the client is subscribed and has received a message within
/// SilenceTimeout.
bool isConnected(const ClientState &State, TimePoint Now);

} // namespace jasminearch::link

#endif // JASMINEARCH_LINK_CONTROL_CLIENT_LOGIC_H
