#ifndef STANDINS_LIB_RECORDS_H
#define STANDINS_LIB_RECORDS_H

#include <chrono>
#include <cstdint>
#include <fstream>
#include <nlohmann/json.hpp>
#include <string>

/// Callers, upstreams and a fabric for tests and demonstrations. Never linked
/// into the daemons.
namespace standins {

/// \returns the wall-clock time in milliseconds since the epoch. All processes
/// on a machine share it, so records can be compared.
inline std::int64_t wallClockMilliseconds() {
  using namespace std::chrono;
  return duration_cast<milliseconds>(system_clock::now().time_since_epoch())
      .count();
}

/// Appends records of what a caller or an upstream observed to a file, one JSON
/// object a line. jasminearch-tally compares the records of callers and
/// upstreams.
class RecordWriter {
public:
  explicit RecordWriter(const std::string &File) : Out(File, std::ios::app) {}

  /// Writes one record and flushes it to the operating system, so that it
  /// survives if this process is killed.
  void write(const nlohmann::json &Record) {
    Out << Record.dump() << '\n' << std::flush;
  }

private:
  std::ofstream Out;
};

} // namespace standins

#endif // STANDINS_LIB_RECORDS_H
