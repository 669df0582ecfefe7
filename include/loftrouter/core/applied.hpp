// Tells other nodes up to which revision this one has applied all records of configuration: `config-applied/<node>`.
//
// Owns that record. It is written after what it says is so, seldom, and only when something was configured.
#pragma once

#include "loftrouter/core/budget.hpp"
#include "loftrouter/core/configuration.hpp"

namespace loft::core {

class AppliedConfiguration {
public:
  AppliedConfiguration(Port &port, const Settings &settings, Configuration &configuration, StoreBudget &budget)
      : port_(port), settings_(settings), configuration_(configuration), budget_(budget) {}

  void tick();

private:
  Port &port_;
  const Settings &settings_;
  Configuration &configuration_;
  StoreBudget &budget_;
  std::uint64_t seen_ = 0, told_ = 0; // revisions
  double seen_wall_ = 0, next_ = 0;
  bool writing_ = false;
};

} // namespace loft::core
