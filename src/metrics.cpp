#include "jasminearch/metrics.h"
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

namespace jasminearch {

namespace acc = boost::accumulators;

namespace {

constexpr double MedianProbability = 0.5;
constexpr double TailProbability = 0.99;

using BasicAccumulators = acc::accumulator_set<
    double, acc::stats<acc::tag::count, acc::tag::mean, acc::tag::max>>;
using QuantileAccumulator =
    acc::accumulator_set<double, acc::stats<acc::tag::p_square_quantile>>;

} // namespace

struct Distribution::Accumulators {
  BasicAccumulators Basic;
  QuantileAccumulator Median{acc::quantile_probability = MedianProbability};
  QuantileAccumulator Tail{acc::quantile_probability = TailProbability};
};

Distribution::Distribution() : Values(std::make_unique<Accumulators>()) {}
Distribution::~Distribution() = default;
Distribution::Distribution(Distribution &&) noexcept = default;
Distribution &Distribution::operator=(Distribution &&) noexcept = default;

void Distribution::add(double Value) {
  Values->Basic(Value);
  Values->Median(Value);
  Values->Tail(Value);
}

DistributionSummary Distribution::summary() const {
  DistributionSummary Out;
  Out.Count = acc::count(Values->Basic);
  if (Out.Count == 0)
    return Out;
  Out.Mean = acc::mean(Values->Basic);
  Out.Maximum = acc::max(Values->Basic);
  Out.Median = acc::p_square_quantile(Values->Median);
  Out.Quantile99 = acc::p_square_quantile(Values->Tail);
  return Out;
}

void Distribution::reset() { Values = std::make_unique<Accumulators>(); }

} // namespace jasminearch
