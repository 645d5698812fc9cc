#include "jasminearch/metrics_text.h"
#include <absl/strings/str_cat.h>

namespace jasminearch {

namespace {

constexpr double MillisecondsPerSecond = 1000.0;

std::string bucketUpperBound(std::size_t Bucket) {
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
                            const flow::Histogram &Values) {
  const std::string FullName = Prefix + Name;
  absl::StrAppend(&Text, "# TYPE ", FullName, " histogram\n");
  std::uint64_t Total = 0;
  for (std::size_t I = 0; I < Values.Counts.size(); ++I) {
    Total += Values.Counts[I];
    absl::StrAppend(&Text, FullName, "_bucket{le=\"", bucketUpperBound(I),
                    "\"} ", Total, "\n");
  }
  absl::StrAppend(&Text, FullName, "_sum ", Values.Sum.count(), "\n", FullName,
                  "_count ", Total, "\n");
}

void MetricsText::add(const std::string &Name, const char *Type,
                      std::uint64_t Value) {
  const std::string FullName = Prefix + Name;
  absl::StrAppend(&Text, "# TYPE ", FullName, " ", Type, "\n", FullName, " ",
                  Value, "\n");
}

} // namespace jasminearch
