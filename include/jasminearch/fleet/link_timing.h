#ifndef JASMINEARCH_FLEET_LINK_TIMING_H
#define JASMINEARCH_FLEET_LINK_TIMING_H

#include <chrono>

/// Times of links between the hosts of a fleet, which both ends share.
namespace jasminearch::fleet {

/// Time between Status messages on a link.
inline constexpr std::chrono::milliseconds StatusInterval{500};

/// A link without messages for this long is replaced: three lost Status
/// messages.
inline constexpr std::chrono::milliseconds LinkSilent{1700};

/// Pause before a failed link is opened again; doubles with each failure up to
/// RedialPauseMax, so that thousands of daemons don't fall upon a control host
/// that is just starting.
inline constexpr std::chrono::milliseconds RedialPause{50};
inline constexpr std::chrono::milliseconds RedialPauseMax{400};

/// Time that opening a link may take. A host without power doesn't answer, and
/// TCP would repeat its first packet only after a second.
inline constexpr std::chrono::milliseconds DialLimit{250};

/// Routes are handed out only while a quorum has confirmed the leader within
/// this time, so that a process that starts never gets an outdated version
/// from a control host that was cut off.
inline constexpr std::chrono::milliseconds QuorumFresh{900};

} // namespace jasminearch::fleet

#endif // JASMINEARCH_FLEET_LINK_TIMING_H
