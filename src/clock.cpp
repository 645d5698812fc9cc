#include "jasminearch/clock.h"

namespace jasminearch {

TimePoint SystemClock::now() const { return std::chrono::steady_clock::now(); }

WallTime SystemClock::wallTime() const {
  return std::chrono::system_clock::now();
}

void ManualClock::advance(Duration Step) {
  Monotonic += Step;
  Wall += std::chrono::duration_cast<WallTime::duration>(Step);
}

} // namespace jasminearch
