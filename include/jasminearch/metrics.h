#ifndef JASMINEARCH_METRICS_H
#define JASMINEARCH_METRICS_H

#include <compare>
#include <cstdint>
#include <memory>

namespace jasminearch {

/// What a Distribution has seen. Quantiles are estimates.
struct DistributionSummary {
  std::uint64_t Count = 0;
  double Mean = 0;
  double Maximum = 0;
  double Median = 0;
  double Quantile99 = 0;

  auto operator<=>(const DistributionSummary &) const = default;
};

/// Running statistics of a stream of values in constant memory, over
/// Boost.Accumulators (the P-square estimator for quantiles). Not
/// synchronized: one thread uses an object.
class Distribution {
public:
  Distribution();
  ~Distribution();
  Distribution(Distribution &&) noexcept;
  Distribution &operator=(Distribution &&) noexcept;

  /// Adds one value. Complexity: constant.
  void add(double Value);

  /// \returns the statistics of all values since construction or reset(); all
  /// zero without values.
  DistributionSummary summary() const;

  /// Forgets all values.
  void reset();

private:
  struct Accumulators;
  std::unique_ptr<Accumulators> Values;
};

} // namespace jasminearch

#endif // JASMINEARCH_METRICS_H
