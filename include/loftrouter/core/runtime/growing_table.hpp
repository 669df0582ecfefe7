// Tables that are indexed by small integers and grow on access.
#pragma once

#include <cstddef>
#include <vector>

#include "loftrouter/core/runtime/dense_index.hpp"

namespace loftrouter::core {

// Returns the element at this index. If the table is too short, extends it with copies of `fill` first.
template <class T> [[nodiscard]] T &get_or_create(std::vector<T> &table, int index, const T &fill = {}) {
  const auto position = static_cast<std::size_t>(index);
  if (position >= table.size()) table.resize(position + 1, fill);
  return table[position];
}

template <class T, class Tag>
[[nodiscard]] T &get_or_create(std::vector<T> &table, DenseIndex<Tag> index, const T &fill = {}) {
  const std::size_t position = index.position();
  if (position >= table.size()) table.resize(position + 1, fill);
  return table[position];
}

} // namespace loftrouter::core
