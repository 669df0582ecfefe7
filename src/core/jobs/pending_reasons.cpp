#include "loftrouter/core/jobs/pending_reasons.hpp"

#include <fmt/format.h>

namespace loftrouter::core {

std::string stopped_with(std::string_view id) {
  return fmt::format("stopped: job {}, which it waits for, was cancelled", id);
}

const std::string &PendingReasons::of(JobIndex job_index) const {
  static const std::string none;
  return job_index.position() < last_.size() ? last_[job_index.position()] : none;
}

// It stays until the next such thing.
void PendingReasons::set(JobIndex job_index, std::string_view what) {
  grown(last_, job_index) = fmt::format("{} ({})", what, wire::clock_time(runtime_.wall()));
}

void PendingReasons::on(const TaskRetried &event) {
  set(event.job, fmt::format("a task failed on machine {} and is started again elsewhere", event.machine));
}

void PendingReasons::on(const TaskLost &event) {
  set(event.job, fmt::format("machine {} was lost, {}: its tasks are started again", event.machine, event.why));
}

void PendingReasons::on(const TaskPreempted &event) {
  set(event.job, fmt::format("a task was stopped to make room for job {} of higher priority", event.by));
}

void PendingReasons::on(const TasksStoppedByBudget &event) {
  set(event.job, fmt::format("its tasks were stopped because team {} had used its budget", jobs_[event.job].spec.team));
}

EndRecord PendingReasons::end_record(JobIndex job_index) const {
  const Job &job = jobs_[job_index];
  EndRecord end;
  end.cancelled = job.cancelled;
  end.tasks = job.spec.tasks;
  end.job_class = job.spec.job_class;
  end.team = job.spec.team;
  end.submit_wall = job.submit_wall;
  end.end_wall = runtime_.wall();
  const double took = runtime_.wall() - dependencies_.ready_wall(job_index);
  const auto wanted = objectives_.wanted_after(job.spec, dependencies_.own_deadline(job_index));
  end.late = !job.cancelled && wanted && took > *wanted;
  if (const auto &with = dependencies_.stopped_with(job_index); job.cancelled && !with.empty())
    end.reason = stopped_with(with);
  else if (job.cancelled)
    end.reason = failure_attribution_.failed_on(job_index)
                     ? fmt::format("stopped: cancelled by its user; it had failed on {} machines",
                                   failure_attribution_.failed_on(job_index))
                     : "stopped: cancelled by its user";
  else if (end.late)
    end.reason =
        fmt::format("finished {:.0f} s late{}{}", took - *wanted, of(job_index).empty() ? "" : "; ", of(job_index));
  return end;
}

} // namespace loftrouter::core
