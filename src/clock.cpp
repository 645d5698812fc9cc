#include "jasminearch/clock.h"
#include <ctime>

namespace jasminearch {

TimePoint SystemClock::now() const { return std::chrono::steady_clock::now(); }

WallTime SystemClock::wallTime() const {
  return std::chrono::system_clock::now();
}

void ManualClock::advance(Duration Step) {
  Monotonic += Step;
  Wall += std::chrono::duration_cast<WallTime::duration>(Step);
}

TimePoint BootClock::now() const {
  timespec Now{};
  clock_gettime(CLOCK_BOOTTIME, &Now);
  return TimePoint(std::chrono::seconds(Now.tv_sec) +
                   std::chrono::nanoseconds(Now.tv_nsec));
}

WallTime BootClock::wallTime() const {
  return std::chrono::system_clock::now();
}

} // namespace jasminearch
