// Test fixture with the dependencies of the state module, but without a state service.
#pragma once

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "loftrouter/core/state/state_context.hpp"

namespace loftrouter::test {

inline Settings state_settings() {
  Settings settings;
  settings.zones = {"a"};
  settings.teams = {{"red", 0, 0, 0, 0}, {"blue", 0, 0, 0, 0}};
  settings.accounts = true;
  return settings;
}

class StateFixture : public ::testing::Test {
protected:
  explicit StateFixture(const Settings &initial_settings = state_settings()) : settings(initial_settings) {
    advance_time(0);
  }

  void advance_time(double duration_s) { runtime.begin_batch({now += duration_s, 1.7e9 + now}); }

  core::JobIndex add_job(const std::string &id, std::uint32_t tasks = 1) {
    OpenRecord record;
    record.spec.id = id;
    record.spec.team = "red";
    record.spec.tasks = tasks;
    record.spec.need = {1, 0, 1};
    return jobs.add(std::move(record), ++revision);
  }

  double now = 100;
  std::uint64_t revision = 100;
  const Settings settings;
  core::Runtime runtime{1};
  core::Events events;
  core::JobObjectives objectives{settings};
  core::InstanceTypeCatalog catalog{settings.zones};
  core::Configuration configuration{runtime, events, settings};
  core::OperatorSettings operators{runtime, events, configuration};
  core::StateServiceLimits state_limits{settings};
  core::Leadership leadership{runtime, events, settings, catalog};
  core::JobTable jobs{runtime, events, settings};
  core::EndedJobs ended_jobs{events};
  core::Dependencies dependencies{runtime, settings, state_limits, leadership, jobs, ended_jobs};
  core::FailureAttribution failure_attribution{runtime, events, jobs, operators};
  core::JobReasons job_reasons{runtime, jobs, dependencies, failure_attribution, objectives};
  core::UsageLedger ledger{runtime, settings, catalog, jobs, operators};
  const core::StateContext context{.runtime = runtime,
                                   .events = events,
                                   .settings = settings,
                                   .leadership = leadership,
                                   .state_limits = state_limits,
                                   .jobs = jobs,
                                   .ended_jobs = ended_jobs,
                                   .dependencies = dependencies,
                                   .failure_attribution = failure_attribution,
                                   .job_reasons = job_reasons,
                                   .objectives = objectives,
                                   .ledger = ledger};
};

} // namespace loftrouter::test
