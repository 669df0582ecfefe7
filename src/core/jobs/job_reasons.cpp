#include "loftrouter/core/jobs/job_reasons.hpp"

#include <fmt/format.h>

#include "loftrouter/core/runtime/growing_table.hpp"

namespace loftrouter::core {

std::string dependency_cancelled_reason(std::string_view dependency_id) {
  return fmt::format("stopped: job {}, which it waits for, was cancelled", dependency_id);
}

const std::string &JobReasons::last_event(JobIndex job_index) const {
  static const std::string kEmpty;
  return job_index.position() < last_events_.size() ? last_events_[job_index.position()] : kEmpty;
}

void JobReasons::set_last_event(JobIndex job_index, std::string_view text) {
  get_or_create(last_events_, job_index) = fmt::format("{} ({})", text, wire::clock_time(runtime_.wall()));
}

void JobReasons::on(const TaskRetried &event) {
  set_last_event(event.job, fmt::format("a task failed on machine {} and is started again elsewhere", event.machine));
}

void JobReasons::on(const TaskLost &event) {
  set_last_event(event.job,
                 fmt::format("machine {} was lost, {}: its tasks are started again", event.machine, event.why));
}

void JobReasons::on(const TaskPreempted &event) {
  set_last_event(event.job,
                 fmt::format("a task was stopped to make room for job {} of higher priority", event.preempting_job));
}

void JobReasons::on(const TasksStoppedByBudget &event) {
  set_last_event(event.job,
                 fmt::format("its tasks were stopped because team {} had used its budget", jobs_[event.job].spec.team));
}

EndRecord JobReasons::end_record(JobIndex job_index) const {
  const Job &job = jobs_[job_index];
  EndRecord end;
  end.cancelled = job.cancelled;
  end.tasks = job.spec.tasks;
  end.job_class = job.spec.job_class;
  end.team = job.spec.team;
  end.submit_wall = job.submit_wall;
  end.end_wall = runtime_.wall();
  if (job.cancelled) {
    end.reason = cancellation_reason(job_index);
    return end;
  }
  const double duration_s = end.end_wall - dependencies_.ready_wall(job_index);
  const auto target_s = objectives_.completion_target(job.spec, dependencies_.own_deadline(job_index));
  end.late = target_s && duration_s > *target_s;
  if (!end.late) return end;
  const std::string &event_text = last_event(job_index);
  end.reason =
      fmt::format("finished {:.0f} s late{}{}", duration_s - *target_s, event_text.empty() ? "" : "; ", event_text);
  return end;
}

std::string JobReasons::cancellation_reason(JobIndex job_index) const {
  const std::string &dependency_id = dependencies_.cancelled_dependency(job_index);
  if (!dependency_id.empty()) return dependency_cancelled_reason(dependency_id);
  const std::uint32_t machine_count = failure_attribution_.failed_machine_count(job_index);
  if (machine_count == 0) return "stopped: cancelled by its user";
  return fmt::format("stopped: cancelled by its user; it had failed on {} machines", machine_count);
}

} // namespace loftrouter::core
