// Decides which machines to request for pending jobs.
// Stateless. Safety doesn't depend on it: a bad plan costs money or delays jobs.
#pragma once

#include <vector>

#include "loftrouter/core/autoscaling/autoscaling_context.hpp"
#include "loftrouter/core/autoscaling/scale_out.hpp"

namespace loftrouter::core {

struct CapacityPlan {
  std::vector<CapacityRequest> requests; // by descending priority of their first jobs
  double waiting_cpus = 0;               // needed by pending tasks that aren't deferrable
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
