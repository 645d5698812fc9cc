#include "documents.h"
#include <string>

using namespace jasminearch;

/// Parses arbitrary bytes as a configuration of an operator and as a heartbeat
/// of an upstream.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  const std::string Body(Data, Data + Size);
  if (const auto Table = platform::readConfiguration(Body))
    static_cast<void>(flow::checkRoutes(*Table));
  static_cast<void>(platform::readHeartbeat("i-1", Body));
  return 0;
}
