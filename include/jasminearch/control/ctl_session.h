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

/// How jasminectl gets one command or query to the control leader: a plain
/// state and functions that return effects, without sockets or a clock.
namespace jasminearch::control {

/// Time for one control host to answer before the next one is asked.
inline constexpr std::chrono::milliseconds AttemptLimit{2'000};

/// Pause before the next attempt.
inline constexpr std::chrono::milliseconds RetryPause{200};

/// Interval of heartbeats while an answer is awaited.
inline constexpr std::chrono::milliseconds CtlHeartbeatInterval{500};

/// What is sent: a command with an id, or a query.
using CtlOperation = std::variant<link::CommandRequest, link::Query>;

/// What came of it.
using CtlResponse = std::variant<CommandResult, nlohmann::json>;

/// Effects that the caller carries out in their order.
struct ConnectTo {
  Endpoint Address;
};
struct SendMessage {
  link::Message Value;
};
struct DropLink {};
struct Finish {
  /// The answer; OutcomeUnknown if a command was sent but not answered;
  /// otherwise why there is none, and then nothing was changed.
  Expected<CtlResponse> Result;
};
using CtlEffect = std::variant<ConnectTo, SendMessage, DropLink, Finish>;
using CtlEffects = std::vector<CtlEffect>;

/// State of one command or query on its way.
struct CtlSession {
  CommonSettings Common;
  std::vector<ControlHost> Hosts;
  CtlOperation Question;
  TimePoint Deadline{};

  /// Connecting lasts until the attempt ends, with or without an answer.
  enum class Phase : std::uint8_t { Pausing, Connecting, Ended };
  Phase Step = Phase::Pausing;
  /// Where the next or current attempt goes.
  ControlHost Target;
  /// Place of the host that follows if the target doesn't help.
  std::size_t NextHost = 0;
  TimePoint PauseEnd{};
  TimePoint AttemptEnd{};
  TimePoint NextHeartbeat{};
  /// Nonce that the control host must prove the key over.
  Bytes Nonce;
  bool Welcomed = false;
  /// The command left this process at least once.
  bool Sent = false;
  /// Why the latest attempt failed, for the final error.
  std::string LastFailure = "no attempt was made";
};

/// Starts a session. \p Hosts must not be empty.
CtlSession startCtlSession(CommonSettings Common,
                           std::vector<ControlHost> Hosts,
                           CtlOperation Question, TimePoint Now,
                           std::chrono::milliseconds Timeout);

/// A message arrived on the session's link.
CtlEffects onCtlMessage(CtlSession &Session, const link::Message &Message,
                        TimePoint Now);

/// The link closed, or could not be opened.
CtlEffects onCtlLinkClosed(CtlSession &Session, TimePoint Now);

/// Bytes arrived that are no message.
CtlEffects onCtlMalformed(CtlSession &Session, const Error &Reason,
                          TimePoint Now);

/// Time passed; call it at least every 100 ms, and once at the start.
CtlEffects onCtlTick(CtlSession &Session, TimePoint Now);

} // namespace jasminearch::control

#endif // JASMINEARCH_CONTROL_CTL_SESSION_H
