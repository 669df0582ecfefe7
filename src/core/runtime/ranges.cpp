#include "loftrouter/core/runtime/ranges.hpp"

#include <algorithm>
#include <vector>

namespace loftrouter::core {

Ranges widen(Ranges ranges, std::size_t max_ranges) {
  if (ranges.size() <= max_ranges || max_ranges == 0) return ranges;
  std::vector<std::uint32_t> gaps;
  for (std::size_t next = 1; next < ranges.size(); ++next)
    gaps.push_back(ranges[next].first - ranges[next - 1].second);
  const std::size_t to_close = ranges.size() - max_ranges;
  const auto widest_closed = gaps.begin() + static_cast<std::ptrdiff_t>(to_close - 1);
  std::nth_element(gaps.begin(), widest_closed, gaps.end());
  const std::uint32_t max_gap = *widest_closed;
  Ranges widened{ranges[0]};
  for (std::size_t next = 1; next < ranges.size(); ++next) {
    if (ranges[next].first - widened.back().second <= max_gap)
      widened.back().second = ranges[next].second;
    else
      widened.push_back(ranges[next]);
  }
  return widened;
}

Ranges narrow(Ranges ranges, std::size_t max_ranges) {
  if (ranges.size() <= max_ranges) return ranges;
  // Stable: among ranges of equal length the first are kept.
  std::stable_sort(ranges.begin(), ranges.end(), [](const auto &left, const auto &right) {
    return left.second - left.first > right.second - right.first;
  });
  ranges.resize(max_ranges);
  std::sort(ranges.begin(), ranges.end());
  return ranges;
}

} // namespace loftrouter::core
