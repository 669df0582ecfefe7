// Which machines to rent for the jobs that wait: sizes the fleet.
//
// Owns nothing; each plan is made from what is known at the time. No rule rests on it: at worst too much is paid, or
// jobs wait longer.
#pragma once

#include <vector>

#include "loftrouter/core/autoscaling/autoscaling_context.hpp"
#include "loftrouter/core/autoscaling/scale_out.hpp"

namespace loftrouter::core {

struct CapacityPlan {
  std::vector<CapacityRequest> requests; // in the order of the jobs that want them first
  double waiting_cpus = 0;               // of tasks without a place, deferrable ones left out
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
