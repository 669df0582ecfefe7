// Composes the texts that tell users what happened to their jobs: the last notable event of each open job, and the
// reason in its end record. Does not affect scheduling.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "loftrouter/core/jobs/dependencies.hpp"
#include "loftrouter/core/jobs/failure_attribution.hpp"
#include "loftrouter/core/jobs/job_objectives.hpp"
#include "loftrouter/core/runtime/dense_index.hpp"
#include "loftrouter/core/runtime/events.hpp"
#include "loftrouter/core/runtime/growing_table.hpp"

namespace loftrouter::core {

// Returns the reason shown to users for a job that was cancelled because its dependency was.
std::string dependency_cancelled_reason(std::string_view dependency_id);

class JobReasons {
public:
  JobReasons(Runtime &runtime, const JobTable &jobs, const Dependencies &dependencies,
             const FailureAttribution &failure_attribution, const JobObjectives &objectives)
      : runtime_(runtime), jobs_(jobs), dependencies_(dependencies), failure_attribution_(failure_attribution),
        objectives_(objectives) {}

  // Returns the last event with its time of day; empty: none.
  const std::string &last_event(JobIndex job_index) const;
  // Returns the end record of a job that ends now.
  EndRecord end_record(JobIndex job_index) const;

  void on(const JobAccepted &event) { get_or_create(last_events_, event.job).clear(); }
  void on(const TaskRetried &event);
  void on(const TaskLost &event);
  void on(const TaskPreempted &event);
  void on(const TasksStoppedByBudget &event);

private:
  void set_last_event(JobIndex job_index, std::string_view text);
  std::string cancellation_reason(JobIndex job_index) const;

  Runtime &runtime_;
  const JobTable &jobs_;
  const Dependencies &dependencies_;
  const FailureAttribution &failure_attribution_;
  const JobObjectives &objectives_;
  std::vector<std::string> last_events_; // by job index
};

} // namespace loftrouter::core
