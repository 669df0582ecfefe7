#include "loftrouter/core/catalog/instance_type_catalog.hpp"

#include <limits>

namespace loftrouter::core {

InstanceTypeCatalog::InstanceTypeCatalog(const std::vector<std::string> &zones) {
  for (const auto &z : zones)
    zone_names_.get(z);
}

void InstanceTypeCatalog::take(std::vector<MachineType> types) {
  if (types.empty()) return;
  for (auto &t : types) {
    const auto i = static_cast<std::size_t>(type_names_.get(t.name));
    if (i >= types_.size()) types_.resize(i + 1);
    types_[i] = std::move(t);
  }
  known_ = true;
}

double InstanceTypeCatalog::cheapest_cpu() const {
  double cheapest = std::numeric_limits<double>::infinity();
  for (const auto &t : types_)
    cheapest = std::min({cheapest, cpu_price(t, true), cpu_price(t, false)});
  return std::max(1e-9, cheapest);
}

} // namespace loftrouter::core
