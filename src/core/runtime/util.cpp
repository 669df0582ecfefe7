#include "loftrouter/core/runtime/util.hpp"

namespace loftrouter::core {

Ranges widen(Ranges r, std::size_t max) {
  if (r.size() <= max || max == 0) return r;
  std::vector<std::uint32_t> gaps;
  for (std::size_t i = 1; i < r.size(); ++i)
    gaps.push_back(r[i].first - r[i - 1].second);
  std::size_t close = r.size() - max;
  std::nth_element(gaps.begin(), gaps.begin() + static_cast<long>(close - 1), gaps.end());
  std::uint32_t limit = gaps[close - 1];
  Ranges out{r[0]};
  for (std::size_t i = 1; i < r.size(); ++i) {
    if (r[i].first - out.back().second <= limit)
      out.back().second = r[i].second;
    else
      out.push_back(r[i]);
  }
  return out;
}

Ranges narrow(Ranges r, std::size_t max) {
  if (r.size() <= max) return r;
  Ranges by_size = r;
  std::stable_sort(by_size.begin(), by_size.end(),
                   [](auto a, auto b) { return a.second - a.first > b.second - b.first; });
  by_size.resize(max);
  std::sort(by_size.begin(), by_size.end());
  return by_size;
}

} // namespace loftrouter::core
