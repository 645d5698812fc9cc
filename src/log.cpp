#include "jasminearch/log.h"
#include <ctime>
#include <glog/logging.h>
#include <nlohmann/json.hpp>

namespace jasminearch {

namespace {

struct LogContext {
  std::string Program = "unknown";
  std::string Host;
  LogLevel Least = LogLevel::Info;
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

} // namespace

void startLog(const std::string &Program, const std::string &Host,
              const std::string &Level) {
  context() = LogContext{Program, Host, levelFromName(Level)};
  FLAGS_logtostderr = true;
  FLAGS_log_prefix = false;
  if (!google::IsGoogleLoggingInitialized())
    google::InitGoogleLogging(context().Program.c_str());
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
  // Bytes from outside may not be UTF-8; replacing them keeps the line valid.
  google::LogMessage(__FILE__, __LINE__, severity(Level)).stream()
      << Line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void logError(std::string_view Event, const Error &Failure) {
  logEvent(LogLevel::Error, Event,
           {{"code", static_cast<std::int64_t>(Failure.Code)},
            {"error", std::string(name(Failure.Code))},
            {"detail", Failure.Detail}});
}

bool LogLimiter::allow(TimePoint Now) {
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
