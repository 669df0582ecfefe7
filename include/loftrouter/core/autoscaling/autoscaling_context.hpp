// The parts of the core that autoscaling is made from. Owns nothing: all of them outlive the autoscaler.
#pragma once

#include "loftrouter/core/liveness/failure_detector.hpp"
#include "loftrouter/core/scheduling/scheduler.hpp"

namespace loftrouter::core {

struct AutoscalingContext {
  Runtime &runtime;
  const Settings &settings;
  InstanceTypeCatalog &catalog;
  const OperatorSettings &operators;
  const Leadership &leadership;
  const JobTable &jobs;
  const Dependencies &dependencies;
  const FailureAttribution &failure_attribution;
  WorkerRegistry &workers;
  const FailureDetector &failure_detector;
  const Scheduler &scheduler;
  const JobObjectives &objectives;
};

// What a machine costs at least, however soon it is returned, by the cloud's protocol: seconds.
constexpr double kMinimumCharge = 60.0;

} // namespace loftrouter::core
