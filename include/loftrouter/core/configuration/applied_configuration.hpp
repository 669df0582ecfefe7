// Tells other nodes up to which revision this one has applied all records of configuration: `config-applied/<node>`.
//
// Owns that record. It is written after what it says is so, seldom, and only when something was configured.
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
  std::uint64_t seen_ = 0, told_ = 0; // revisions
  double seen_wall_ = 0, next_ = 0;
  bool writing_ = false;
};

} // namespace loftrouter::core
