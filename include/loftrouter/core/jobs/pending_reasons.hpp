// What happened last to each open job that is worth telling its owner, with the time of day; and what its final record
// says. Owns the former. A listener: it changes nothing.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "loftrouter/core/jobs/dependencies.hpp"
#include "loftrouter/core/jobs/failure_attribution.hpp"
#include "loftrouter/core/jobs/job_objectives.hpp"
#include "loftrouter/core/runtime/dense_index.hpp"
#include "loftrouter/core/runtime/events.hpp"

namespace loftrouter::core {

std::string stopped_with(std::string_view id); // in words: why a job is cancelled that needs this one

class PendingReasons {
public:
  PendingReasons(Runtime &runtime, const JobTable &jobs, const Dependencies &dependencies,
                 const FailureAttribution &failure_attribution, const JobObjectives &objectives)
      : runtime_(runtime), jobs_(jobs), dependencies_(dependencies), failure_attribution_(failure_attribution),
        objectives_(objectives) {}

  const std::string &of(JobIndex job_index) const; // empty: nothing
  EndRecord end_record(JobIndex job_index) const;

  void on(const JobAccepted &event) { grown(last_, event.job).clear(); }
  void on(const TaskRetried &event);
  void on(const TaskLost &event);
  void on(const TaskPreempted &event);
  void on(const TasksStoppedByBudget &event);

private:
  void set(JobIndex job_index, std::string_view what);

  Runtime &runtime_;
  const JobTable &jobs_;
  const Dependencies &dependencies_;
  const FailureAttribution &failure_attribution_;
  const JobObjectives &objectives_;
  std::vector<std::string> last_;
};

} // namespace loftrouter::core
