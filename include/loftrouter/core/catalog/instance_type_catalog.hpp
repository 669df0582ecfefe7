// Holds the cloud's instance types and zones and maps their names to dense indices.
// Core thread only. Invariant: types are never removed and keep their index; their size and prices may change.
#pragma once

#include <algorithm>
#include <string>
#include <vector>

#include "loftrouter/core/runtime/name_index.hpp"
#include "loftrouter/model/types.hpp"

namespace loftrouter::core {

// A machine counts as expensive if its CPU price exceeds this multiple of the cheapest; deferrable jobs avoid it.
constexpr double kExpensiveRatio = 1.5;

class InstanceTypeCatalog {
public:
  explicit InstanceTypeCatalog(const std::vector<std::string> &zones);

  // Adds or replaces the listed types. An empty list changes nothing.
  void update(std::vector<MachineType> types);
  // Returns whether types have been loaded at least once.
  bool known() const { return known_; }
  const std::vector<MachineType> &types() const { return types_; }
  const MachineType &type(int type_index) const { return types_[static_cast<std::size_t>(type_index)]; }

  int find_type(const std::string &name) const { return type_names_.find(name); } // -1: unknown
  const std::string &type_name(int type_index) const { return type_names_.name(type_index); }
  int find_or_add_zone(const std::string &name) { return zone_names_.find_or_add(name); }
  int find_zone(const std::string &name) const { return zone_names_.find(name); } // -1: unknown
  const std::string &zone_name(int zone_index) const { return zone_names_.name(zone_index); }

  // Returns the price of a CPU for an hour.
  static double cpu_price(const MachineType &type, bool spot) {
    return (spot ? type.spot_price : type.price) / std::max(0.01, type.size.cpus);
  }
  double cheapest_cpu_price() const;

private:
  std::vector<MachineType> types_; // by type index
  bool known_ = false;
  NameIndex type_names_;
  NameIndex zone_names_;
};

} // namespace loftrouter::core
