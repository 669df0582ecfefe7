// References to components that autoscaling uses; all outlive the autoscaler.
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

constexpr double kMinimumChargeS = 60.0; // shortest time that the cloud bills for a machine

} // namespace loftrouter::core
