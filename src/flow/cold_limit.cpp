#include "jasminearch/flow/cold_limit.h"
#include <algorithm>
#include <cmath>

namespace jasminearch::flow {

namespace {

/// \returns whether an opening that was delivered at \p Delivered counts at
/// \p Now. The window is closed: two openings that are exactly one second apart
/// count in the same second.
bool isInWindow(TimePoint Delivered, TimePoint Now) {
  return Now - Delivered <= ColdWindowLength;
}

/// \returns the number of openings in the window that ends at \p Now.
std::size_t countInWindow(const ColdWindow &Window, TimePoint Now) {
  const auto First = std::partition_point(
      Window.Delivered.begin(), Window.Delivered.end(),
      [Now](TimePoint Delivered) { return !isInWindow(Delivered, Now); });
  return static_cast<std::size_t>(Window.Delivered.end() - First);
}

} // namespace

std::uint32_t coldOpeningsPerSecond(double RequestsPerSecond,
                                    const ColdBounds &Bounds) {
  const double Limit =
      std::floor(RequestsPerSecond * Bounds.Overage + Bounds.Tolerance);
  if (!(Limit >= 0))
    return 0;
  return static_cast<std::uint32_t>(std::min<double>(Limit, MaxColdOpenings));
}

std::optional<std::uint32_t>
coldOpeningsPerSecond(const std::vector<ColdLimit> &Limits,
                      const std::string &Service, const ColdBounds &Bounds) {
  const auto It =
      std::find_if(Limits.begin(), Limits.end(), [&](const ColdLimit &L) {
        return L.Service == Service && L.RequestsPerSecond > 0;
      });
  if (It == Limits.end())
    return std::nullopt;
  return coldOpeningsPerSecond(It->RequestsPerSecond, Bounds);
}

void recordOpening(ColdWindow &Window, TimePoint Now) {
  std::deque<TimePoint> &Delivered = Window.Delivered;
  while (!Delivered.empty() && (Delivered.size() >= MaxColdOpenings ||
                                !isInWindow(Delivered.front(), Now)))
    Delivered.pop_front();
  Delivered.push_back(Now);
  Window.Unsent = std::min(Window.Unsent + 1, Delivered.size());
}

void recordSent(ColdWindow &Window, TimePoint Now) {
  const auto Count = static_cast<std::ptrdiff_t>(Window.Unsent);
  std::fill(Window.Delivered.end() - Count, Window.Delivered.end(), Now);
  Window.Unsent = 0;
}

std::uint32_t openingsLeft(const ColdState &State, const ColdWindow &Window,
                           TimePoint Now) {
  if (Now <= State.HeldUntil)
    return 0;
  const std::size_t Used = countInWindow(Window, Now);
  return Used >= State.Limit ? 0
                             : State.Limit - static_cast<std::uint32_t>(Used);
}

Duration coldWait(const ColdState &State, const ColdWindow &Window,
                  std::size_t Waiting, TimePoint Now) {
  const Duration UntilWarm = std::max(Duration{0}, State.ColdUntil - Now);
  if (Waiting == 0)
    return Duration{0};
  if (State.Limit == 0)
    return UntilWarm;
  const TimePoint From = std::max(Now, State.HeldUntil + Duration{1});
  const std::uint32_t Left = openingsLeft(State, Window, From);
  if (Waiting <= Left)
    return std::min(UntilWarm, From - Now);
  // Every opening makes room for another one after the length of the window:
  // first those that count now, then those that are delivered at From.
  const std::size_t Used =
      std::min<std::size_t>(countInWindow(Window, From), State.Limit);
  const std::size_t Later = Waiting - Left - 1;
  const std::size_t Place = Later % State.Limit;
  const auto Newer = static_cast<std::ptrdiff_t>(Used - std::min(Place, Used));
  const TimePoint Earlier =
      Newer == 0 ? From : *(Window.Delivered.end() - Newer);
  const auto Rounds = static_cast<Duration::rep>(1 + Later / State.Limit);
  return std::min(UntilWarm,
                  Earlier + Rounds * Duration(ColdWindowLength) - Now);
}

} // namespace jasminearch::flow
