#include "loftrouter/core/runtime/util.hpp"

namespace loftrouter::core {

Ranges widen(Ranges ranges, std::size_t max) {
  if (ranges.size() <= max || max == 0) return ranges;
  std::vector<std::uint32_t> gaps;
  for (std::size_t i = 1; i < ranges.size(); ++i)
    gaps.push_back(ranges[i].first - ranges[i - 1].second);
  std::size_t close = ranges.size() - max;
  std::nth_element(gaps.begin(), gaps.begin() + static_cast<long>(close - 1), gaps.end());
  std::uint32_t limit = gaps[close - 1];
  Ranges out{ranges[0]};
  for (std::size_t i = 1; i < ranges.size(); ++i) {
    if (ranges[i].first - out.back().second <= limit)
      out.back().second = ranges[i].second;
    else
      out.push_back(ranges[i]);
  }
  return out;
}

Ranges narrow(Ranges ranges, std::size_t max) {
  if (ranges.size() <= max) return ranges;
  Ranges by_size = ranges;
  std::stable_sort(by_size.begin(), by_size.end(),
                   [](auto a, auto b) { return a.second - a.first > b.second - b.first; });
  by_size.resize(max);
  std::sort(by_size.begin(), by_size.end());
  return by_size;
}

} // namespace loftrouter::core
