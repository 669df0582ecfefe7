#include "loftrouter/core/jobs/pending_reasons.hpp"

#include <fmt/format.h>

namespace loftrouter::core {

std::string stopped_with(std::string_view id) {
  return fmt::format("stopped: job {}, which it waits for, was cancelled", id);
}

const std::string &PendingReasons::of(int j) const {
  static const std::string none;
  return static_cast<std::size_t>(j) < last_.size() ? last_[static_cast<std::size_t>(j)] : none;
}

// It stays until the next such thing.
void PendingReasons::set(int j, std::string_view what) {
  grown(last_, j) = fmt::format("{} ({})", what, wire::clock_time(runtime_.wall()));
}

void PendingReasons::on(const TaskRetried &e) {
  set(e.job, fmt::format("a task failed on machine {} and is started again elsewhere", e.machine));
}

void PendingReasons::on(const TaskLost &e) {
  set(e.job, fmt::format("machine {} was lost, {}: its tasks are started again", e.machine, e.why));
}

void PendingReasons::on(const TaskPreempted &e) {
  set(e.job, fmt::format("a task was stopped to make room for job {} of higher priority", e.by));
}

void PendingReasons::on(const TasksStoppedByBudget &e) {
  set(e.job, fmt::format("its tasks were stopped because team {} had used its budget", jobs_[e.job].spec.team));
}

EndRecord PendingReasons::end_record(int j) const {
  const Job &n = jobs_[j];
  EndRecord e;
  e.cancelled = n.cancelled;
  e.tasks = n.spec.tasks;
  e.job_class = n.spec.job_class;
  e.team = n.spec.team;
  e.submit_wall = n.submit_wall;
  e.end_wall = runtime_.wall();
  const double took = runtime_.wall() - dependencies_.ready_wall(j);
  const auto wanted = objectives_.wanted_after(n.spec, dependencies_.own_deadline(j));
  e.late = !n.cancelled && wanted && took > *wanted;
  if (const auto &with = dependencies_.stopped_with(j); n.cancelled && !with.empty())
    e.reason = stopped_with(with);
  else if (n.cancelled)
    e.reason = failure_attribution_.failed_on(j)
                   ? fmt::format("stopped: cancelled by its user; it had failed on {} machines",
                                 failure_attribution_.failed_on(j))
                   : "stopped: cancelled by its user";
  else if (e.late)
    e.reason = fmt::format("finished {:.0f} s late{}{}", took - *wanted, of(j).empty() ? "" : "; ", of(j));
  return e;
}

} // namespace loftrouter::core
