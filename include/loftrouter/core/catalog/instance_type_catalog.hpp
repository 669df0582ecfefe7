// Machine types and zones, their names mapped to dense indices. Owns both. A type once known is never forgotten, as
// machines and jobs refer to it by index; its size and prices may change.
#pragma once

#include <string>
#include <vector>

#include "loftrouter/core/runtime/util.hpp"

namespace loftrouter::core {

// A place dearer than the cheapest by more than this is rented and used only where time presses.
constexpr double kExpensiveRatio = 1.5;

class InstanceTypeCatalog {
public:
  explicit InstanceTypeCatalog(const std::vector<std::string> &zones);

  void take(std::vector<MachineType> types);
  bool known() const { return known_; }
  const std::vector<MachineType> &types() const { return types_; }
  const MachineType &type(int t) const { return types_[static_cast<std::size_t>(t)]; }

  int find_type(const std::string &name) const { return type_names_.find(name); }
  const std::string &type_name(int t) const { return type_names_.name(t); }
  int zone(const std::string &name) { return zone_names_.get(name); }
  int find_zone(const std::string &name) const { return zone_names_.find(name); }
  const std::string &zone_name(int zone_index) const { return zone_names_.name(zone_index); }

  // Of a CPU, an hour.
  static double cpu_price(const MachineType &type, bool spot) {
    return (spot ? type.spot_price : type.price) / std::max(0.01, type.size.cpus);
  }
  double cheapest_cpu() const;

private:
  std::vector<MachineType> types_; // by index of their names
  bool known_ = false;
  NameIndex type_names_, zone_names_;
};

} // namespace loftrouter::core
