// What happened last to each open job that is worth telling its owner, with the time of day; and what its final record
// says. Owns the former. A listener: it changes nothing.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "loftrouter/core/jobs/dependencies.hpp"
#include "loftrouter/core/jobs/failure_attribution.hpp"
#include "loftrouter/core/jobs/job_objectives.hpp"
#include "loftrouter/core/runtime/events.hpp"

namespace loftrouter::core {

std::string stopped_with(std::string_view id); // in words: why a job is cancelled that needs this one

class PendingReasons {
public:
  PendingReasons(Runtime &runtime, const JobTable &jobs, const Dependencies &dependencies,
                 const FailureAttribution &failure_attribution, const JobObjectives &objectives)
      : runtime_(runtime), jobs_(jobs), dependencies_(dependencies), failure_attribution_(failure_attribution),
        objectives_(objectives) {}

  const std::string &of(int j) const; // empty: nothing
  EndRecord end_record(int j) const;

  void on(const JobAccepted &e) { grown(last_, e.job).clear(); }
  void on(const TaskRetried &e);
  void on(const TaskLost &e);
  void on(const TaskPreempted &e);
  void on(const TasksStoppedByBudget &e);

private:
  void set(int j, std::string_view what);

  Runtime &runtime_;
  const JobTable &jobs_;
  const Dependencies &dependencies_;
  const FailureAttribution &failure_attribution_;
  const JobObjectives &objectives_;
  std::vector<std::string> last_;
};

} // namespace loftrouter::core
