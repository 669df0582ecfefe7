// What happened last to each open job that its owner should know, with the time of day; and what its final record says.
//
// Owns the former, as text for users. A listener: it changes nothing, and no rule rests on it.
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

// Why a job is cancelled that waits for the job of this id, for users.
std::string dependency_cancelled_reason(std::string_view dependency_id);

class PendingReasons {
public:
  PendingReasons(Runtime &runtime, const JobTable &jobs, const Dependencies &dependencies,
                 const FailureAttribution &failure_attribution, const JobObjectives &objectives)
      : runtime_(runtime), jobs_(jobs), dependencies_(dependencies), failure_attribution_(failure_attribution),
        objectives_(objectives) {}

  // Empty: nothing has happened to it.
  const std::string &last_event(JobIndex job_index) const;
  // Of a job that ends now.
  EndRecord end_record(JobIndex job_index) const;

  void on(const JobAccepted &event) { get_or_create(last_events_, event.job).clear(); }
  void on(const TaskRetried &event);
  void on(const TaskLost &event);
  void on(const TaskPreempted &event);
  void on(const TasksStoppedByBudget &event);

private:
  void set(JobIndex job_index, std::string_view what);
  std::string cancellation_reason(JobIndex job_index) const;

  Runtime &runtime_;
  const JobTable &jobs_;
  const Dependencies &dependencies_;
  const FailureAttribution &failure_attribution_;
  const JobObjectives &objectives_;
  std::vector<std::string> last_events_; // by job
};

} // namespace loftrouter::core
