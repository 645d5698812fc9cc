#include "jasminearch/log.h"
#include <algorithm>
#include <atomic>
#include <ctime>
#include <glog/logging.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <unistd.h>

namespace jasminearch {

namespace {

struct LogContext {
  std::string Program = "unknown";
  std::string Host;
  LogLevel Least = LogLevel::Info;
  LogTarget Target = LogTarget::StandardError;
};

LogContext &context() {
  static LogContext Context;
  return Context;
}

const char *levelName(LogLevel Level) {
  switch (Level) {
  case LogLevel::Debug:
    return "debug";
  case LogLevel::Info:
    return "info";
  case LogLevel::Warning:
    return "warning";
  case LogLevel::Error:
    return "error";
  }
  return "info";
}

LogLevel levelFromName(const std::string &Name) {
  for (LogLevel Level : {LogLevel::Debug, LogLevel::Warning, LogLevel::Error})
    if (Name == levelName(Level))
      return Level;
  return LogLevel::Info;
}

google::LogSeverity severity(LogLevel Level) {
  if (Level == LogLevel::Error)
    return google::GLOG_ERROR;
  if (Level == LogLevel::Warning)
    return google::GLOG_WARNING;
  return google::GLOG_INFO;
}

/// \returns the time in RFC 3339 form with microseconds, in UTC.
std::string timestamp() {
  timespec Now{};
  clock_gettime(CLOCK_REALTIME, &Now);
  tm Parts{};
  gmtime_r(&Now.tv_sec, &Parts);
  constexpr long NanosPerMicro = 1000;
  constexpr std::size_t Room = 40;
  char Text[Room];
  const std::size_t Length =
      std::strftime(Text, sizeof(Text), "%Y-%m-%dT%H:%M:%S", &Parts);
  std::snprintf(Text + Length, sizeof(Text) - Length, ".%06ldZ",
                Now.tv_nsec / NanosPerMicro);
  return Text;
}

/// Longest line. A pipe that polls as writable takes this much at once.
constexpr std::size_t MaxLineBytes = 4096;

/// Lines that standard output had no room for since the last one written.
std::atomic<std::uint64_t> LinesLost{0};

/// Writes lines to standard output without ever waiting for it.
class StandardOutputSink final : public google::LogSink {
public:
  void send(google::LogSeverity, const char *, const char *, int,
            const google::LogMessageTime &, const char *Message,
            std::size_t Length) override {
    pollfd Wait{STDOUT_FILENO, POLLOUT, 0};
    if (poll(&Wait, 1, 0) != 1 || (Wait.revents & POLLOUT) == 0) {
      ++LinesLost;
      return;
    }
    std::string Line(Message, std::min(Length, MaxLineBytes - 1));
    Line.push_back('\n');
    if (write(STDOUT_FILENO, Line.data(), Line.size()) < 0)
      ++LinesLost;
  }
};

StandardOutputSink &standardOutput() {
  static StandardOutputSink Sink;
  return Sink;
}

} // namespace

void startLog(const std::string &Program, const std::string &Host,
              const std::string &Level, LogTarget Target) {
  context() = LogContext{Program, Host, levelFromName(Level), Target};
  FLAGS_logtostderr = true;
  FLAGS_log_prefix = false;
  if (google::IsGoogleLoggingInitialized())
    return;
  google::InitGoogleLogging(context().Program.c_str());
  // Writes a stack trace before the process ends by a signal.
  google::InstallFailureSignalHandler();
}

void logEvent(LogLevel Level, std::string_view Event,
              std::initializer_list<LogField> Fields) {
  if (Level < context().Least)
    return;
  nlohmann::ordered_json Line;
  Line["time"] = timestamp();
  Line["level"] = levelName(Level);
  Line["program"] = context().Program;
  Line["host"] = context().Host;
  Line["event"] = Event;
  for (const LogField &Field : Fields)
    std::visit([&](const auto &Value) { Line[std::string(Field.Key)] = Value; },
               Field.Value);
  if (const std::uint64_t Lost = LinesLost.exchange(0); Lost != 0)
    Line["lines_lost"] = Lost;
  // Bytes from outside may not be UTF-8; replacing them keeps the line valid.
  const std::string Text =
      Line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  if (context().Target == LogTarget::StandardOutput)
    google::LogMessage(__FILE__, __LINE__, severity(Level), &standardOutput(),
                       /*also_send_to_log=*/false)
            .stream()
        << Text;
  else
    google::LogMessage(__FILE__, __LINE__, severity(Level)).stream() << Text;
}

void logError(std::string_view Event, const Error &Failure) {
  logEvent(LogLevel::Error, Event,
           {{"code", static_cast<std::int64_t>(Failure.Code)},
            {"error", std::string(name(Failure.Code))},
            {"detail", Failure.Detail}});
}

bool LogRateLimiter::allow(TimePoint Now) {
  if (Now - WindowStart >= std::chrono::seconds(1)) {
    WindowStart = Now;
    Used = 0;
  }
  if (Used >= Limit)
    return false;
  ++Used;
  return true;
}

} // namespace jasminearch
