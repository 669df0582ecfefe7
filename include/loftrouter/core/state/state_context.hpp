// Dependencies of the classes of the state module; all of them outlive these classes.
#pragma once

#include "loftrouter/core/election/leadership.hpp"
#include "loftrouter/core/jobs/dependencies.hpp"
#include "loftrouter/core/jobs/failure_attribution.hpp"
#include "loftrouter/core/jobs/job_reasons.hpp"
#include "loftrouter/core/runtime/events.hpp"
#include "loftrouter/core/runtime/state_service_limits.hpp"
#include "loftrouter/core/state/usage_ledger.hpp"

namespace loftrouter::core {

struct StateContext {
  Runtime &runtime;
  Events &events;
  const Settings &settings;
  Leadership &leadership;
  StateServiceLimits &state_limits;
  JobTable &jobs;
  EndedJobs &ended_jobs;
  const Dependencies &dependencies;
  FailureAttribution &failure_attribution;
  const JobReasons &job_reasons;
  const JobObjectives &objectives;
  UsageLedger &ledger;
};

} // namespace loftrouter::core
