#ifndef JASMINEARCH_METRICS_TEXT_H
#define JASMINEARCH_METRICS_TEXT_H

#include "jasminearch/flow/histogram.h"
#include <cstdint>
#include <string>
#include <utility>

namespace jasminearch {

/// Builds metrics in the Prometheus text exposition format.
class MetricsText {
public:
  /// \param Prefix Prepended to the name of each metric.
  explicit MetricsText(std::string Prefix) : Prefix(std::move(Prefix)) {}

  /// Appends a metric of the respective type named prefix + \p Name.
  void counter(const std::string &Name, std::uint64_t Value);
  void gauge(const std::string &Name, std::uint64_t Value);
  void histogram(const std::string &Name, const flow::Histogram &Values);

  /// \returns the text built so far and clears it.
  std::string take() { return std::exchange(Text, {}); }

private:
  void add(const std::string &Name, const char *Type, std::uint64_t Value);

  std::string Prefix;
  std::string Text;
};

} // namespace jasminearch

#endif // JASMINEARCH_METRICS_TEXT_H
