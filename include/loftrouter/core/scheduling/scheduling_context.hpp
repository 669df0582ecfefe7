// The parts of the core that scheduling is made from. Owns nothing: all of them outlive the scheduler.
#pragma once

#include "loftrouter/core/catalog/instance_type_catalog.hpp"
#include "loftrouter/core/configuration/operator_settings.hpp"
#include "loftrouter/core/election/leadership.hpp"
#include "loftrouter/core/jobs/dependencies.hpp"
#include "loftrouter/core/jobs/failure_attribution.hpp"
#include "loftrouter/core/jobs/job_objectives.hpp"
#include "loftrouter/core/jobs/job_table.hpp"
#include "loftrouter/core/quotas/quotas.hpp"
#include "loftrouter/core/state/state_writer.hpp"
#include "loftrouter/core/state/usage_ledger.hpp"
#include "loftrouter/core/workers/worker_registry.hpp"

namespace loftrouter::core {

struct SchedulingContext {
  Runtime &runtime;
  Events &events;
  const Settings &settings;
  const InstanceTypeCatalog &catalog;
  const OperatorSettings &operators;
  const Leadership &leadership;
  JobTable &jobs;
  const Dependencies &dependencies;
  const FailureAttribution &failure_attribution;
  StateWriter &state_writer;
  WorkerRegistry &workers;
  const JobObjectives &objectives;
  const UsageLedger &ledger;
  const Quotas &quotas;
};

} // namespace loftrouter::core
