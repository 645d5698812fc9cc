#ifndef STANDINS_LIB_RECORDS_H
#define STANDINS_LIB_RECORDS_H

#include <chrono>
#include <cstdint>
#include <fstream>
#include <nlohmann/json.hpp>
#include <string>

/// Callers and upstreams for tests and demonstrations. Never linked into the
/// daemons.
namespace standins {

/// \returns milliseconds of the wall clock, which all processes on a machine
/// share.
inline std::int64_t wallClockMilliseconds() {
  using namespace std::chrono;
  return duration_cast<milliseconds>(system_clock::now().time_since_epoch())
      .count();
}

/// Appends what a stand-in saw to a file, one JSON object a line. The tally
/// program compares the records of callers and upstreams.
class RecordWriter {
public:
  explicit RecordWriter(const std::string &File) : Out(File, std::ios::app) {}

  /// Writes one record and hands it to the operating system, so that records
  /// survive a kill of this process.
  void write(const nlohmann::json &Record) {
    Out << Record.dump() << '\n' << std::flush;
  }

private:
  std::ofstream Out;
};

} // namespace standins

#endif // STANDINS_LIB_RECORDS_H
