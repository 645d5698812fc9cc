#ifndef JASMINEARCH_FLOW_COLD_LIMIT_H
#define JASMINEARCH_FLOW_COLD_LIMIT_H

#include "jasminearch/flow/routes.h"
#include "jasminearch/types.h"
#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

/// Limit on the new flows that an upstream gets per second during its cold
/// start. The agent enforces it, because all openings of its upstream pass
/// through it.
namespace jasminearch::flow {

/// Length of the sliding window in which openings are counted.
inline constexpr std::chrono::seconds ColdWindowLength{1};

/// An agent doesn't know what its predecessor delivered within the last window,
/// so that it delivers nothing to a cold upstream for this long after its own
/// start.
inline constexpr std::chrono::milliseconds ColdHoldAfterStart{1000};

/// The same for an agent that doesn't know yet whether there is a limit: the
/// limits come from a control host, and a silent one is replaced after 1.7 s.
/// Without a control host for longer than this, an upstream without flows does
/// more harm than one that gets too many.
inline constexpr std::chrono::milliseconds ColdHoldWithoutLimits{3000};

/// Greatest limit that can be enforced; an agent remembers the time of as many
/// openings.
inline constexpr std::uint32_t MaxColdOpenings = 100'000;

/// How the settings turn the requests per second that a cold upstream can take
/// into a number of openings.
struct ColdBounds {
  double Overage = 1;
  double Tolerance = 0;
  /// The settings contain a bound. Without one, an agent that knows no limits
  /// yet assumes that there are none.
  bool Configured = false;

  auto operator<=>(const ColdBounds &) const = default;
};

/// \returns the greatest number of openings in any second, at most
/// MaxColdOpenings.
std::uint32_t coldOpeningsPerSecond(double RequestsPerSecond,
                                    const ColdBounds &Bounds);

/// \returns the openings per second for cold upstreams of \p Service, or
/// nothing if the service has no limit.
std::optional<std::uint32_t>
coldOpeningsPerSecond(const std::vector<ColdLimit> &Limits,
                      const std::string &Service, const ColdBounds &Bounds);

/// Delivery times of the latest openings, the oldest first. Entries that are
/// older than the window are removed when an opening is recorded.
struct ColdWindow {
  std::deque<TimePoint> Delivered;
  /// Number of the last entries that haven't left the process yet.
  std::size_t Unsent = 0;
};

/// Records an opening whose delivery is decided at \p Now. Amortized constant
/// time.
void recordOpening(ColdWindow &Window, TimePoint Now);

/// Sets the time of the openings recorded since the last call to \p Now, which
/// must be after they were sent. An agent that is paused between decision and
/// sending would otherwise count them too early.
void recordSent(ColdWindow &Window, TimePoint Now);

/// The limit of an upstream during its cold start.
struct ColdState {
  /// Openings in any second.
  std::uint32_t Limit = 0;
  /// No openings until after this time.
  TimePoint HeldUntil{};
  /// The cold start ends at this time, and the limit with it.
  TimePoint ColdUntil{};

  auto operator<=>(const ColdState &) const = default;
};

/// \returns how many openings may be delivered at \p Now without a second,
/// wherever it begins, that contains more than the limit.
std::uint32_t openingsLeft(const ColdState &State, const ColdWindow &Window,
                           TimePoint Now);

/// \returns the time until the last of \p Waiting openings may be delivered,
/// which is at most the rest of the cold start.
Duration coldWait(const ColdState &State, const ColdWindow &Window,
                  std::size_t Waiting, TimePoint Now);

} // namespace jasminearch::flow

#endif // JASMINEARCH_FLOW_COLD_LIMIT_H
