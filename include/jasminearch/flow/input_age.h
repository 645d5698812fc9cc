#ifndef JASMINEARCH_FLOW_INPUT_AGE_H
#define JASMINEARCH_FLOW_INPUT_AGE_H

#include "jasminearch/types.h"
#include <chrono>

namespace jasminearch::flow {

/// A process whose loop stood still for this long was paused. Longer than the
/// loop waits for events and than a busy host delays it.
inline constexpr std::chrono::milliseconds MinPause{100};

/// After a pause, everything that waited in buffers is read within this time.
inline constexpr std::chrono::milliseconds BufferReadTime{200};

/// When the input that a loop reads can have been sent. After a pause, the
/// buffers hold input from before and from the whole pause, so that having been
/// read now says nothing about now.
struct InputAge {
  /// Start of the latest round of the loop.
  TimePoint RoundAt{};
  /// Last round before the latest pause, and first round after it.
  TimePoint PausedAt{};
  TimePoint ResumedAt{};
};

/// Must be called in each round of the loop, before input is read. \p Now must
/// come from a clock that counts the time for which the host is suspended.
void beginRound(InputAge &I, TimePoint Now);

/// \returns the earliest time at which input that is read at \p Now can have
/// been sent.
TimePoint earliestSendTime(const InputAge &I, TimePoint Now);

} // namespace jasminearch::flow

#endif // JASMINEARCH_FLOW_INPUT_AGE_H
