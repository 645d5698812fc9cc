#ifndef JASMINEARCH_CONTROL_CTL_SESSION_H
#define JASMINEARCH_CONTROL_CTL_SESSION_H

#include "jasminearch/error.h"
#include "jasminearch/link/messages.h"
#include "jasminearch/settings.h"
#include "jasminearch/types.h"
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// Session of jasminectl with the control leader for one command or query. Pure
/// logic: functions update the state and return effects, without sockets or a
/// clock.
namespace jasminearch::control {

/// Time limit for one control host to answer before the next one is tried.
inline constexpr std::chrono::milliseconds AttemptTimeout{2'000};

/// Delay before the next attempt.
inline constexpr std::chrono::milliseconds RetryDelay{200};

/// Interval of heartbeats while waiting for an answer.
inline constexpr std::chrono::milliseconds CtlHeartbeatInterval{500};

/// The command or query that a session sends.
using CtlOperation = std::variant<link::CommandRequest, link::Query>;

/// The answer to a command or query.
using CtlResponse = std::variant<CommandResult, nlohmann::json>;

/// Effects, to be performed in order by the owner of the session.
struct ConnectTo {
  Endpoint Address;
};
struct SendMessage {
  link::Message Value;
};
struct DropLink {};
struct Finish {
  /// The answer, or an error: OutcomeUnknown if a command was sent but not
  /// answered; for any other error nothing was changed.
  Expected<CtlResponse> Result;
};
using CtlEffect = std::variant<ConnectTo, SendMessage, DropLink, Finish>;
using CtlEffects = std::vector<CtlEffect>;

/// State of one command or query.
struct CtlSession {
  CommonSettings Common;
  std::vector<ControlHost> Hosts;
  CtlOperation Operation;
  TimePoint Deadline{};

  /// Connecting covers the whole attempt until it ends with or without an
  /// answer.
  enum class Phase : std::uint8_t { Pausing, Connecting, Ended };
  Phase CurrentPhase = Phase::Pausing;
  /// Control host of the current or next attempt.
  ControlHost Target;
  /// Index in Hosts of the host to try after Target.
  std::size_t NextHostIndex = 0;
  TimePoint PauseEnd{};
  TimePoint AttemptEnd{};
  TimePoint NextHeartbeat{};
  /// Nonce over which the control host must prove that it has the link key.
  Bytes Nonce;
  bool Welcomed = false;
  /// Whether the command was sent at least once.
  bool CommandSent = false;
  /// Why the latest attempt failed; part of the final error.
  std::string LastFailure = "no attempt was made";
};

/// Creates a session. \p Hosts must not be empty.
CtlSession startCtlSession(CommonSettings Common,
                           std::vector<ControlHost> Hosts,
                           CtlOperation Operation, TimePoint Now,
                           std::chrono::milliseconds Timeout);

/// Handles a message that arrived on the session's link.
CtlEffects onCtlMessage(CtlSession &Session, const link::Message &Message,
                        TimePoint Now);

/// Handles a link that closed or could not be opened.
CtlEffects onCtlLinkClosed(CtlSession &Session, TimePoint Now);

/// Handles received bytes that are not a valid message.
CtlEffects onCtlMalformed(CtlSession &Session, const Error &Reason,
                          TimePoint Now);

/// Advances the session's timers. Must be called once at the start and then at
/// least every 100 ms.
CtlEffects onCtlTick(CtlSession &Session, TimePoint Now);

} // namespace jasminearch::control

#endif // JASMINEARCH_CONTROL_CTL_SESSION_H
