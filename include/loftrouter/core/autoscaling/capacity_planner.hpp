// Decides which machines to request for pending jobs.
//
// Stateless: each plan is computed from the present state. Safety doesn't depend on it; a bad plan costs money or
// delays jobs.
#pragma once

#include <vector>

#include "loftrouter/core/autoscaling/autoscaling_context.hpp"
#include "loftrouter/core/autoscaling/scale_out.hpp"

namespace loftrouter::core {

struct CapacityPlan {
  std::vector<CapacityRequest> requests; // ordered by the first job that needs each
  double waiting_cpus = 0;               // CPUs of pending tasks, without deferrable ones
};

class CapacityPlanner {
public:
  CapacityPlanner(const AutoscalingContext &context, const ScaleOut &scale_out)
      : context_(context), scale_out_(scale_out) {}
  CapacityPlan plan() const;

private:
  const AutoscalingContext &context_;
  const ScaleOut &scale_out_;
};

} // namespace loftrouter::core
