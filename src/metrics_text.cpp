#include "jasminearch/metrics_text.h"
#include <absl/strings/str_cat.h>

namespace jasminearch {

namespace {

constexpr double MillisecondsPerSecond = 1000.0;

std::string limitOf(std::size_t Bucket) {
  if (Bucket >= flow::HistogramBucketLimits.size())
    return "+Inf";
  return absl::StrCat(
      static_cast<double>(flow::HistogramBucketLimits[Bucket].count()) /
      MillisecondsPerSecond);
}

} // namespace

void MetricsText::counter(const std::string &Name, std::uint64_t Value) {
  add(Name, "counter", Value);
}

void MetricsText::gauge(const std::string &Name, std::uint64_t Value) {
  add(Name, "gauge", Value);
}

void MetricsText::histogram(const std::string &Name,
                            const flow::Histogram &Of) {
  const std::string Full = Prefix + Name;
  absl::StrAppend(&Text, "# TYPE ", Full, " histogram\n");
  std::uint64_t Total = 0;
  for (std::size_t I = 0; I < Of.Counts.size(); ++I) {
    Total += Of.Counts[I];
    absl::StrAppend(&Text, Full, "_bucket{le=\"", limitOf(I), "\"} ", Total,
                    "\n");
  }
  absl::StrAppend(&Text, Full, "_sum ", Of.Sum.count(), "\n", Full, "_count ",
                  Total, "\n");
}

void MetricsText::add(const std::string &Name, const char *Type,
                      std::uint64_t Value) {
  const std::string Full = Prefix + Name;
  absl::StrAppend(&Text, "# TYPE ", Full, " ", Type, "\n", Full, " ", Value,
                  "\n");
}

} // namespace jasminearch
