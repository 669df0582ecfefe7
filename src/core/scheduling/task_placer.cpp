#include "loftrouter/core/scheduling/task_placer.hpp"

namespace loftrouter::core {

namespace {
constexpr int kAttemptCounterBits = 20; // lowest bits of an attempt number; the term is in the bits above
} // namespace

std::uint32_t next_pending_task(const Job &job, std::uint32_t task_index) {
  while (task_index < job.spec.tasks && job.tasks[task_index].state != TaskState::Pending)
    ++task_index;
  return task_index;
}

std::vector<std::uint32_t> TaskPlacer::place_all(const std::vector<Assignment> &plan, const std::vector<JobIndex> &jobs,
                                                 const std::vector<MachineIndex> &machines) {
  std::vector<std::uint32_t> next_task(jobs.size(), 0);
  std::vector<std::uint32_t> placed(jobs.size(), 0);
  for (const auto &assignment : plan) {
    const auto position = static_cast<std::size_t>(assignment.job);
    const Job &job = context_.jobs[jobs[position]];
    next_task[position] = next_pending_task(job, next_task[position]);
    if (next_task[position] >= job.spec.tasks) continue;
    place(jobs[position], next_task[position], machines[static_cast<std::size_t>(assignment.machine)]);
    ++placed[position];
  }
  return placed;
}

void TaskPlacer::place(JobIndex job_index, std::uint32_t task_index, MachineIndex machine_index) {
  const Job &job = context_.jobs[job_index];
  const Machine &machine = context_.workers[machine_index];
  const std::uint64_t attempt = attempt_for(job_index);
  context_.state_writer.mark_started(job_index, task_index);
  context_.jobs.place(job_index, task_index, machine_index, machine.zone);
  context_.workers.allocate(machine_index, job_index, task_index, attempt);
  queue_.note_placed(job_index);
  if (!context_.state_writer.start_recorded(job_index, task_index)) context_.jobs.publish_changed(job_index, true);
  if (job.placed == 1 && context_.runtime.log_enabled(LogLevel::Debug))
    context_.runtime.log(LogLevel::Debug, "job_started",
                         {{"job", job.spec.id},
                          {"class", job.spec.job_class},
                          {"machine", machine.name},
                          {"type", context_.catalog.type_name(machine.type)},
                          {"after_s", queue_.age_s(job_index)}});
}

std::uint64_t TaskPlacer::new_attempt() {
  ++attempt_counter_;
  return (context_.leadership.term() << kAttemptCounterBits) + attempt_counter_;
}

// All tasks of a gang share one attempt number.
std::uint64_t TaskPlacer::attempt_for(JobIndex job_index) {
  const Job &job = context_.jobs[job_index];
  if (job.spec.shape != Shape::Gang) return new_attempt();
  return job.placed == 0 ? context_.jobs.next_gang_attempt(job_index, new_attempt()) : job.gang_attempt;
}

} // namespace loftrouter::core
