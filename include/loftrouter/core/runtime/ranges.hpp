// Sets of task numbers as half-open ranges, sorted, neither overlapping nor adjacent, and their approximation by fewer
// ranges for records of bounded size.
#pragma once

#include <cstddef>
#include <cstdint>

#include "loftrouter/model/types.hpp"

namespace loftrouter::core {

// Returns the numbers below `count` for which `contains(number)` is true.
template <class Contains> [[nodiscard]] Ranges make_ranges(std::uint32_t count, Contains contains) {
  Ranges ranges;
  for (std::uint32_t number = 0; number < count; ++number) {
    if (!contains(number)) continue;
    if (!ranges.empty() && ranges.back().second == number)
      ranges.back().second = number + 1;
    else
      ranges.emplace_back(number, number + 1);
  }
  return ranges;
}

// Returns a superset of at most `max_ranges` ranges by closing the smallest gaps. 0: no bound.
[[nodiscard]] Ranges widen(Ranges ranges, std::size_t max_ranges);

// Returns a subset of at most `max_ranges` ranges by keeping the longest.
[[nodiscard]] Ranges narrow(Ranges ranges, std::size_t max_ranges);

} // namespace loftrouter::core
