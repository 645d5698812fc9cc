#ifndef JASMINEARCH_FLEET_LINK_TIMING_H
#define JASMINEARCH_FLEET_LINK_TIMING_H

#include <chrono>

/// Timing of links between the hosts of a fleet, shared by both ends.
namespace jasminearch::fleet {

/// Time between Status messages on a link.
inline constexpr std::chrono::milliseconds StatusInterval{500};

/// A link without messages for this long is replaced; it corresponds to three
/// lost Status messages.
inline constexpr std::chrono::milliseconds LinkSilenceTimeout{1700};

/// Delay before a failed link is opened again. It doubles with each failure up
/// to MaxReconnectDelay, so that thousands of daemons don't overload a control
/// host that is just starting.
inline constexpr std::chrono::milliseconds MinReconnectDelay{50};
inline constexpr std::chrono::milliseconds MaxReconnectDelay{400};

/// Timeout for opening a link. A host without power doesn't respond, and TCP
/// would repeat its first packet only after a second.
inline constexpr std::chrono::milliseconds ConnectTimeout{250};

/// Routes are sent only while a quorum has confirmed the leader within this
/// time. Otherwise a process that starts could get an outdated version from a
/// control host that is cut off.
inline constexpr std::chrono::milliseconds MaxRecentQuorumAge{900};

} // namespace jasminearch::fleet

#endif // JASMINEARCH_FLEET_LINK_TIMING_H
