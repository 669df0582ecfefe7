// Typed indices into tables. External names are mapped to dense indices once, on entry. Each table has its own index
// type, so that a job index cannot be passed for a machine index.
#pragma once

#include <cassert>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>

namespace loftrouter::core {

// Index of a slot in the table that `Tag` names. A default-constructed index is invalid and sorts first.
template <class Tag> class DenseIndex {
public:
  DenseIndex() = default;
  explicit DenseIndex(std::size_t position) : value_(static_cast<std::int32_t>(position)) {}

  bool valid() const { return value_ >= 0; }
  // Requires a valid index.
  std::size_t position() const {
    assert(valid());
    return static_cast<std::size_t>(value_);
  }

  auto operator<=>(const DenseIndex &) const = default;
  bool operator==(const DenseIndex &) const = default;

private:
  static constexpr std::int32_t kNone = -1;
  std::int32_t value_ = kNone;
};

using JobIndex = DenseIndex<struct JobIndexTag>;         // into JobTable
using MachineIndex = DenseIndex<struct MachineIndexTag>; // into WorkerRegistry
using ReplicaIndex = DenseIndex<struct ReplicaIndexTag>; // into Settings::replicas

} // namespace loftrouter::core

template <class Tag> struct std::hash<loftrouter::core::DenseIndex<Tag>> {
  std::size_t operator()(const loftrouter::core::DenseIndex<Tag> &index) const noexcept {
    return index.valid() ? index.position() : static_cast<std::size_t>(-1);
  }
};
