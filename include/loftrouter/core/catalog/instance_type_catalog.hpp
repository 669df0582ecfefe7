// Instance types and zones of the cloud, their names mapped to dense indices.
//
// Owns both; used by the core's thread alone. Invariant: a type once known is never forgotten and keeps its index, as
// machines and jobs refer to it by index; its size and prices may change.
#pragma once

#include <algorithm>
#include <string>
#include <vector>

#include "loftrouter/core/runtime/name_index.hpp"
#include "loftrouter/model/types.hpp"

namespace loftrouter::core {

// A machine whose CPUs cost more than this times the cheapest is rented and used only where time presses.
constexpr double kExpensiveRatio = 1.5;

class InstanceTypeCatalog {
public:
  explicit InstanceTypeCatalog(const std::vector<std::string> &zones);

  // Adds and replaces types, as the cloud or the state service has listed them. An empty list changes nothing.
  void update(std::vector<MachineType> types);
  bool known() const { return known_; } // a list has been seen
  const std::vector<MachineType> &types() const { return types_; }
  const MachineType &type(int type_index) const { return types_[static_cast<std::size_t>(type_index)]; }

  int find_type(const std::string &name) const { return type_names_.find(name); } // -1: not known
  const std::string &type_name(int type_index) const { return type_names_.name(type_index); }
  int find_or_add_zone(const std::string &name) { return zone_names_.find_or_add(name); }
  int find_zone(const std::string &name) const { return zone_names_.find(name); } // -1: not known
  const std::string &zone_name(int zone_index) const { return zone_names_.name(zone_index); }

  // Of a CPU for an hour.
  static double cpu_price(const MachineType &type, bool spot) {
    return (spot ? type.spot_price : type.price) / std::max(0.01, type.size.cpus);
  }
  double cheapest_cpu() const;

private:
  std::vector<MachineType> types_; // by index of their names
  bool known_ = false;
  NameIndex type_names_;
  NameIndex zone_names_;
};

} // namespace loftrouter::core
