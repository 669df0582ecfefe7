// Sets of task indices as sorted, half-open ranges that neither overlap nor touch, and their approximation by fewer
// ranges for records of bounded size.
#pragma once

#include <cstddef>
#include <cstdint>

#include "loftrouter/model/types.hpp"

namespace loftrouter::core {

// Returns the indices below `count` for which `contains(index)` is true.
template <class Contains> [[nodiscard]] Ranges make_ranges(std::uint32_t count, Contains contains) {
  Ranges ranges;
  for (std::uint32_t index = 0; index < count; ++index) {
    if (!contains(index)) continue;
    if (!ranges.empty() && ranges.back().second == index)
      ranges.back().second = index + 1;
    else
      ranges.emplace_back(index, index + 1);
  }
  return ranges;
}

// Returns a superset of at most `max_ranges` ranges by closing the smallest gaps. 0: no bound.
[[nodiscard]] Ranges widen(Ranges ranges, std::size_t max_ranges);

// Returns a subset of at most `max_ranges` ranges by keeping the longest.
[[nodiscard]] Ranges narrow(Ranges ranges, std::size_t max_ranges);

} // namespace loftrouter::core
