// Typed indices. Names that arrive from outside are mapped to dense indices once, on entry; from there on an index
// refers to a slot of a table. The type says which table, so that the index of a job cannot stand for a machine's.
#pragma once

#include <cassert>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>

namespace loftrouter::core {

// Index of a slot of the table that `Tag` names. A default-constructed one refers to nothing, and sorts before all
// others.
template <class Tag> class DenseIndex {
public:
  DenseIndex() = default;
  explicit DenseIndex(std::size_t position) : value_(static_cast<std::int32_t>(position)) {}

  bool valid() const { return value_ >= 0; }
  // The slot. Only of a valid index.
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

using JobIndex = DenseIndex<struct JobIndexTag>;         // of the job table
using MachineIndex = DenseIndex<struct MachineIndexTag>; // of the worker registry
using ReplicaIndex = DenseIndex<struct ReplicaIndexTag>; // of Settings::replicas, the other replicas of the cell

} // namespace loftrouter::core

template <class Tag> struct std::hash<loftrouter::core::DenseIndex<Tag>> {
  std::size_t operator()(const loftrouter::core::DenseIndex<Tag> &index) const noexcept {
    return index.valid() ? index.position() : static_cast<std::size_t>(-1);
  }
};
