// Latencies in milliseconds, from 10 us to 100 s on a logarithmic axis, since the program started.
#pragma once

#include <boost/histogram.hpp>

namespace loftrouter::app {

class LatencyHistogram {
public:
  void add(double ms) { counts_(ms); }
  // The upper edge of the bin in which the share `q` of all values is reached; 0 without values.
  double quantile(double q) const {
    double all = 0, sum = 0;
    for (auto &&x : boost::histogram::indexed(counts_, boost::histogram::coverage::all))
      all += *x;
    for (auto &&x : boost::histogram::indexed(counts_, boost::histogram::coverage::all))
      if ((sum += *x) >= q * all && all > 0) return x.index() < 0 ? kMin : x.bin().upper();
    return 0;
  }

private:
  static constexpr double kMin = 0.01, kMax = 1e5;
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  decltype(boost::histogram::make_histogram(Axis(70, kMin, kMax))) counts_ =
      boost::histogram::make_histogram(Axis(70, kMin, kMax));
};

} // namespace loftrouter::app
