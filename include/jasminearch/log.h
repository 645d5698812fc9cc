#ifndef JASMINEARCH_LOG_H
#define JASMINEARCH_LOG_H

#include "jasminearch/error.h"
#include "jasminearch/types.h"
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

/// Structured logging in JSON lines through glog.
namespace jasminearch {

enum class LogLevel : std::uint8_t { Debug, Info, Warning, Error };

/// A key and its value in a log line.
struct LogField {
  std::string_view Key;
  std::variant<std::string, std::int64_t, std::uint64_t, double, bool> Value;
};

/// Destination of log lines. A line that would block on standard output is
/// dropped; the next line reports the number of dropped ones as "lines_lost".
enum class LogTarget : std::uint8_t { StandardError, StandardOutput };

/// Initializes logging for this process. Each line contains \p Program and
/// \p Host. \p Level is a value of CommonSettings::LogLevel.
void initializeLogging(const std::string &Program, const std::string &Host,
                       const std::string &Level,
                       LogTarget Target = LogTarget::StandardError);

/// Writes one line with time, level, program, host, event and \p Fields.
/// \param Event Stable name in snake case, for example "drain_started".
void logEvent(LogLevel Level, std::string_view Event,
              std::initializer_list<LogField> Fields = {});

/// Writes \p Failure with its code, name and detail at level Error.
void logError(std::string_view Event, const Error &Failure);

/// Limits the log lines of a hot path to a number per second. Use one object
/// per call site. Not synchronized.
class LogRateLimiter {
public:
  explicit LogRateLimiter(unsigned PerSecond) : Limit(PerSecond) {}

  /// \returns whether a line may be written at \p Now; if so, counts it.
  bool allow(TimePoint Now);

private:
  unsigned Limit;
  unsigned Used = 0;
  TimePoint WindowStart{};
};

} // namespace jasminearch

#endif // JASMINEARCH_LOG_H
