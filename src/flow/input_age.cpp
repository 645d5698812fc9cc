#include "jasminearch/flow/input_age.h"
#include <algorithm>

namespace jasminearch::flow {

void beginRound(InputAge &I, TimePoint Now) {
  const bool FirstRound = I.RoundAt == TimePoint{};
  if (!FirstRound && Now - I.RoundAt >= MinPause) {
    // What waited during the pause before may not have been read yet.
    if (Now - I.ResumedAt < BufferReadTime) {
      I.PausedAt = std::min(I.PausedAt, I.RoundAt);
    } else {
      I.PausedAt = I.RoundAt;
      I.ResumedAt = Now;
    }
  }
  I.RoundAt = Now;
}

TimePoint earliestSendTime(const InputAge &I, TimePoint Now) {
  const bool Resumed = I.ResumedAt != TimePoint{};
  return Resumed && Now - I.ResumedAt < BufferReadTime ? I.PausedAt : Now;
}

} // namespace jasminearch::flow
