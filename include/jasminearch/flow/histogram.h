#ifndef JASMINEARCH_FLOW_HISTOGRAM_H
#define JASMINEARCH_FLOW_HISTOGRAM_H

#include <array>
#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>

namespace jasminearch::flow {

/// Upper limits of the buckets; a last bucket takes what is above.
inline constexpr std::array<std::chrono::milliseconds, 11>
    HistogramBucketLimits{{
        std::chrono::milliseconds{5},
        std::chrono::milliseconds{10},
        std::chrono::milliseconds{25},
        std::chrono::milliseconds{50},
        std::chrono::milliseconds{100},
        std::chrono::milliseconds{200},
        std::chrono::milliseconds{300},
        std::chrono::milliseconds{500},
        std::chrono::milliseconds{1000},
        std::chrono::milliseconds{2000},
        std::chrono::milliseconds{5000},
    }};

/// Counts of durations by size. Fixed buckets rather than the quantile
/// estimates of Distribution, because a metrics server adds them up over hosts.
struct Histogram {
  std::array<std::uint64_t, HistogramBucketLimits.size() + 1> Counts{};
  std::chrono::duration<double> Sum{0};

  auto operator<=>(const Histogram &) const = default;
};

/// Adds one duration. Complexity: linear in the number of buckets.
inline void add(Histogram &To, std::chrono::duration<double> Value) {
  std::size_t I = 0;
  while (I < HistogramBucketLimits.size() && Value > HistogramBucketLimits[I])
    ++I;
  ++To.Counts[I];
  To.Sum += Value;
}

} // namespace jasminearch::flow

#endif // JASMINEARCH_FLOW_HISTOGRAM_H
