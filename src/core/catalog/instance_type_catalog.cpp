#include "loftrouter/core/catalog/instance_type_catalog.hpp"

#include <limits>
#include <utility>

namespace loftrouter::core {

InstanceTypeCatalog::InstanceTypeCatalog(const std::vector<std::string> &zones) {
  for (const auto &zone : zones)
    zone_names_.find_or_add(zone);
}

void InstanceTypeCatalog::update(std::vector<MachineType> types) {
  if (types.empty()) return;
  for (auto &type : types) {
    const auto position = static_cast<std::size_t>(type_names_.find_or_add(type.name));
    if (position >= types_.size()) types_.resize(position + 1);
    types_[position] = std::move(type);
  }
  known_ = true;
}

double InstanceTypeCatalog::cheapest_cpu() const {
  double cheapest = std::numeric_limits<double>::infinity();
  for (const auto &type : types_)
    cheapest = std::min({cheapest, cpu_price(type, true), cpu_price(type, false)});
  return std::max(1e-9, cheapest);
}

} // namespace loftrouter::core
