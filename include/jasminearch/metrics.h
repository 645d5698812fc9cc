#ifndef JASMINEARCH_METRICS_H
#define JASMINEARCH_METRICS_H

#include <compare>
#include <cstdint>
#include <memory>

namespace jasminearch {

/// Statistics of the values in a Distribution. Quantiles are estimates.
struct DistributionSummary {
  std::uint64_t Count = 0;
  double Mean = 0;
  double Maximum = 0;
  double Median = 0;
  double Quantile99 = 0;

  auto operator<=>(const DistributionSummary &) const = default;
};

/// Running statistics of a stream of values in constant memory, based on
/// Boost.Accumulators with the P-square estimator for quantiles. Not
/// synchronized.
class Distribution {
public:
  Distribution();
  ~Distribution();
  Distribution(Distribution &&) noexcept;
  Distribution &operator=(Distribution &&) noexcept;

  /// Adds one value. Complexity: constant.
  void add(double Value);

  /// \returns the statistics of the values added since construction or reset();
  /// all members are zero if there are none.
  DistributionSummary summary() const;

  /// Discards all values.
  void reset();

private:
  struct Accumulators;
  std::unique_ptr<Accumulators> Values;
};

} // namespace jasminearch

#endif // JASMINEARCH_METRICS_H
