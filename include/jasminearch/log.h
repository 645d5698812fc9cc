#ifndef JASMINEARCH_LOG_H
#define JASMINEARCH_LOG_H

#include "jasminearch/error.h"
#include "jasminearch/types.h"
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

/// Structured logs: JSON lines, written through glog.
namespace jasminearch {

enum class LogLevel : std::uint8_t { Debug, Info, Warning, Error };

/// One field of a log line. Values are text, numbers or truth values.
struct LogField {
  std::string_view Key;
  std::variant<std::string, std::int64_t, std::uint64_t, double, bool> Value;
};

/// Where lines go. A line for standard output that would block is left out and
/// counted in the next one, as "lines_lost".
enum class LogTarget : std::uint8_t { StandardError, StandardOutput };

/// Sets up logging for this process. \p Program and \p Host are written on each
/// line. \p Level is one of the names of CommonSettings::LogLevel.
void startLog(const std::string &Program, const std::string &Host,
              const std::string &Level,
              LogTarget Target = LogTarget::StandardError);

/// Writes one line: time, level, program, host, event and \p Fields.
/// \p Event is a stable name in snake case, for example "drain_started".
void logEvent(LogLevel Level, std::string_view Event,
              std::initializer_list<LogField> Fields = {});

/// Writes a failure with its number, name and detail.
void logError(std::string_view Event, const Error &Failure);

/// Lets at most \p PerSecond lines a second through; for hot paths. One object
/// per place, used by one thread.
class LogRateLimiter {
public:
  explicit LogRateLimiter(unsigned PerSecond) : Limit(PerSecond) {}

  /// \returns whether a line may be written at \p Now.
  bool allow(TimePoint Now);

private:
  unsigned Limit;
  unsigned Used = 0;
  TimePoint WindowStart{};
};

} // namespace jasminearch

#endif // JASMINEARCH_LOG_H
