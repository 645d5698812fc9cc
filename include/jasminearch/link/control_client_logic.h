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

/// Decisions of a daemon's control client, without sockets, threads or clock.
namespace jasminearch::link {

inline constexpr std::chrono::milliseconds HeartbeatInterval{500};

/// Both sides replace a link on which nothing arrived for this long.
inline constexpr std::chrono::milliseconds SilenceLimit{1500};

/// Time after which an announcement that wasn't answered is sent again.
inline constexpr std::chrono::milliseconds AnnounceRetry{1000};

/// Time that a daemon waits for its announcement to be committed before it
/// tries the next control host: an election (about 1 s) and some more.
inline constexpr std::chrono::milliseconds AnnounceLimit{4000};

inline constexpr std::chrono::seconds ReportInterval{10};

/// Time within which a daemon reports to a control host that is new to it.
inline constexpr std::chrono::seconds FirstReportLimit{1};

/// Delay before an attempt after a failure: doubles from the first to the
/// longest, of which a random half to whole is waited.
inline constexpr std::chrono::milliseconds FirstBackOff{100};
inline constexpr std::chrono::milliseconds LongestBackOff{1600};

/// How often ClientTick must come.
inline constexpr std::chrono::milliseconds ClientTickInterval{50};

// Events. Attempt tells to which Dial effect an event belongs, so that an
// event of a link that was given up meanwhile is ignored.
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
/// The daemon leaves on purpose.
struct ClientLeaving {};

using ClientEvent = std::variant<ClientOpened, ClientClosed, ClientReceived,
                                 ClientTick, ClientLeaving>;

// Effects, in the order in which they must be carried out.
struct Dial {
  std::uint64_t Attempt = 0;
  Endpoint To;
};
/// Sends on the link of the latest Dial.
struct SendMessage {
  Message Value;
};
/// Closes the link of the latest Dial, which may still be opening.
struct Disconnect {};
struct ConfigurationChanged {
  std::shared_ptr<const control::Configuration> Value;
};
struct AnnouncementCommitted {
  UpstreamId Id;
  Incarnation Instance;
};
/// Something that a log line should tell.
struct ClientTrouble {
  Error Reason;
};

using ClientEffect =
    std::variant<Dial, SendMessage, Disconnect, ConfigurationChanged,
                 AnnouncementCommitted, ClientTrouble>;

/// State of a daemon's control client.
struct ClientState {
  enum class Phase : std::uint8_t {
    Idle,       ///< No link; the next attempt is due at NextDial.
    Dialling,   ///< A link is opening.
    Greeting,   ///< Waiting for Challenge.
    Proving,    ///< Hello is sent; waiting for Welcome.
    Subscribed, ///< Welcome was received.
    Stopped,    ///< The daemon left.
  };

  ControlClientOptions Options;
  std::uint64_t RunId = 0;
  Phase Now = Phase::Idle;
  std::uint64_t Attempt = 0;
  /// Index into Options.ControlHosts.
  std::size_t Host = 0;
  /// Where a control host said that the leader is; used once.
  std::optional<Endpoint> Leader;
  /// Redirects in a row without a committed announcement.
  unsigned Redirects = 0;
  unsigned Failures = 0;
  std::uint64_t Random = 0;
  TimePoint NextDial{};
  TimePoint LastHeard{};
  TimePoint LastSent{};
  TimePoint AnnouncedAt{};
  TimePoint SubscribedAt{};
  TimePoint NextReport{};
  /// Age of the control host's quorum as told at QuorumToldAt.
  std::chrono::milliseconds QuorumAge{0};
  TimePoint QuorumToldAt{};
  bool Committed = false;
  Bytes Nonce;
  control::ConfigReceiver Config;
  /// Whether Config is in force. A newly started process collects it first
  /// until it has reached ToldRevision.
  bool Running = false;
  /// Newest revision that the present control host told; null before its first
  /// heartbeat.
  std::optional<Revision> ToldRevision;
  std::vector<control::PromiseCount> Counts;
};

/// \returns a client that dials at once. \p Seed varies jitter and the control
/// host that is tried first.
ClientState makeClientState(ControlClientOptions Options, std::uint64_t Seed,
                            TimePoint Now);

/// Handles one event.
std::vector<ClientEffect> handle(ClientState &State, const ClientEvent &Event,
                                 TimePoint Now);

/// Whether a control host was heard on a subscribed link within SilenceLimit.
bool isConnected(const ClientState &State, TimePoint Now);

} // namespace jasminearch::link

#endif // JASMINEARCH_LINK_CONTROL_CLIENT_LOGIC_H
