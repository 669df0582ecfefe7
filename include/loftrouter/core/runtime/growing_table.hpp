// Access to tables that are kept by a dense index and grow with it.
#pragma once

#include <cstddef>
#include <vector>

#include "loftrouter/core/runtime/dense_index.hpp"

namespace loftrouter::core {

// The element at this index, after the table has been made long enough for it.
template <class T> [[nodiscard]] T &get_or_create(std::vector<T> &table, int index, const T &fill = {}) {
  const auto position = static_cast<std::size_t>(index);
  if (position >= table.size()) table.resize(position + 1, fill);
  return table[position];
}

// The same for a table that is kept by a typed index.
template <class T, class Tag>
[[nodiscard]] T &get_or_create(std::vector<T> &table, DenseIndex<Tag> index, const T &fill = {}) {
  const std::size_t position = index.position();
  if (position >= table.size()) table.resize(position + 1, fill);
  return table[position];
}

} // namespace loftrouter::core
