#ifndef JASMINEARCH_CLOCK_H
#define JASMINEARCH_CLOCK_H

#include "jasminearch/types.h"

namespace jasminearch {

/// Source of monotonic and wall-clock time. Implemented by SystemClock and
/// BootClock for programs and by ManualClock for tests.
class Clock {
public:
  virtual ~Clock() = default;

  /// \returns the monotonic time.
  virtual TimePoint now() const = 0;

  /// \returns the wall-clock time.
  virtual WallTime wallTime() const = 0;
};

/// The operating system's clocks; the monotonic one stops while the host is
/// suspended.
class SystemClock final : public Clock {
public:
  TimePoint now() const override;
  WallTime wallTime() const override;
};

/// Like SystemClock, but the monotonic clock also counts the time for which the
/// host was suspended, so that leases expire during suspension.
class BootClock final : public Clock {
public:
  TimePoint now() const override;
  WallTime wallTime() const override;
};

/// A clock that advances only by calls of advance(), for deterministic tests
/// and golden files.
class ManualClock final : public Clock {
public:
  TimePoint now() const override { return Monotonic; }
  WallTime wallTime() const override { return Wall; }

  /// Advances the monotonic and the wall clock by \p Step.
  void advance(Duration Step);

private:
  TimePoint Monotonic{};
  WallTime Wall{};
};

} // namespace jasminearch

#endif // JASMINEARCH_CLOCK_H
