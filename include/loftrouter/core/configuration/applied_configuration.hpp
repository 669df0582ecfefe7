// Publishes the configuration revision up to which this node has applied all records, as `config-applied/<node>`.
//
// Owns that record. Writes it only after the revision has been applied, at a limited rate.
#pragma once

#include "loftrouter/core/configuration/configuration.hpp"
#include "loftrouter/core/runtime/state_service_limits.hpp"

namespace loftrouter::core {

class AppliedConfiguration {
public:
  AppliedConfiguration(Runtime &runtime, const Settings &settings, Configuration &configuration,
                       StateServiceLimits &state_limits)
      : runtime_(runtime), settings_(settings), configuration_(configuration), state_limits_(state_limits) {}

  void tick();

private:
  Runtime &runtime_;
  const Settings &settings_;
  Configuration &configuration_;
  StateServiceLimits &state_limits_;
  std::uint64_t applied_revision_ = 0, published_revision_ = 0;
  double applied_at_wall_ = 0; // s
  double next_write_at_ = 0;   // s, monotonic
  bool write_pending_ = false;
};

} // namespace loftrouter::core
