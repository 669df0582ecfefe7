// Sets of task numbers as ranges, and how to make them fit a bounded record. Ranges are half-open, in ascending order,
// and neither overlap nor touch.
#pragma once

#include <cstddef>
#include <cstdint>

#include "loftrouter/model/types.hpp"

namespace loftrouter::core {

// The numbers below `count` for which `contains(number)` is true.
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

// At most `max_ranges` ranges (if that is not 0) that cover at least as much: the smallest gaps are closed.
[[nodiscard]] Ranges widen(Ranges ranges, std::size_t max_ranges);

// At most `max_ranges` ranges that cover at most as much: the longest are kept.
[[nodiscard]] Ranges narrow(Ranges ranges, std::size_t max_ranges);

} // namespace loftrouter::core
