#ifndef JASMINEARCH_CLOCK_H
#define JASMINEARCH_CLOCK_H

#include "jasminearch/types.h"

namespace jasminearch {

/// Source of time. Daemons pass SystemClock, tests pass ManualClock.
class Clock {
public:
  virtual ~Clock() = default;

  /// \returns monotonic time.
  virtual TimePoint now() const = 0;

  /// \returns wall-clock time.
  virtual WallTime wallTime() const = 0;
};

/// The operating system's clocks.
class SystemClock final : public Clock {
public:
  TimePoint now() const override;
  WallTime wallTime() const override;
};

/// Clocks of the operating system that also count the time for which the host
/// was suspended, so that leases end on a host that slept.
class BootClock final : public Clock {
public:
  TimePoint now() const override;
  WallTime wallTime() const override;
};

/// A clock that moves only when told to, for tests and golden files.
class ManualClock final : public Clock {
public:
  TimePoint now() const override { return Monotonic; }
  WallTime wallTime() const override { return Wall; }

  /// Moves both clocks forward by \p Step.
  void advance(Duration Step);

private:
  TimePoint Monotonic{};
  WallTime Wall{};
};

} // namespace jasminearch

#endif // JASMINEARCH_CLOCK_H
