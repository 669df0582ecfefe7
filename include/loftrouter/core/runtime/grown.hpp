// Access to tables that grow with a dense index.
#pragma once

#include <cstddef>
#include <vector>

#include "loftrouter/core/runtime/dense_index.hpp"

namespace loftrouter::core {

// Returns the element at this index, after growing the table if necessary.
template <class T> [[nodiscard]] T &grown(std::vector<T> &table, int index, const T &fill = {}) {
  const auto position = static_cast<std::size_t>(index);
  if (position >= table.size()) table.resize(position + 1, fill);
  return table[position];
}

template <class T, class Tag> [[nodiscard]] T &grown(std::vector<T> &table, DenseIndex<Tag> index, const T &fill = {}) {
  const std::size_t position = index.position();
  if (position >= table.size()) table.resize(position + 1, fill);
  return table[position];
}

} // namespace loftrouter::core
