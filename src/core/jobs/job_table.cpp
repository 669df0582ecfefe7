#include "loftrouter/core/jobs/job_table.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

#include "loftrouter/core/runtime/growing_table.hpp"

namespace loftrouter::core {

namespace {

// Visits the task indices of the ranges. Skips those beyond `task_count`, which records may contain.
template <class Visit> void each_task(const Ranges &ranges, std::uint32_t task_count, Visit &&visit) {
  for (const auto &[begin, end] : ranges)
    for (std::uint32_t task_index = begin; task_index < end && task_index < task_count; ++task_index)
      visit(task_index);
}

// Returns the job's count of tasks in this state; null for pending tasks, which are not counted.
std::uint32_t *count_of(Job &job, TaskState state) {
  switch (state) {
  case TaskState::Placed:
    return &job.placed;
  case TaskState::Unaccounted:
    return &job.unaccounted;
  case TaskState::Done:
    return &job.done;
  case TaskState::Delegated:
    return &job.delegated;
  case TaskState::Pending:
    break;
  }
  return nullptr;
}

} // namespace

bool Job::finishable() const {
  if (ending) return false;
  if (delegated_here) return origin_confirmed_end && placed == 0 && unaccounted == 0;
  if (cancelled) return placed == 0 && unaccounted == 0 && delegated == 0;
  return spec.shape != Shape::Service && done == spec.tasks;
}

JobTable::JobTable(Runtime &runtime, Events &events, const Settings &settings) : runtime_(runtime), events_(events) {
  for (const auto &team : settings.teams)
    team_names_.find_or_add(team.name);
}

JobIndex JobTable::index(const std::string &id) const {
  const auto it = index_by_id_.find(id);
  return it == index_by_id_.end() ? JobIndex() : it->second;
}

bool JobTable::consistent(JobIndex job_index) const {
  const Job &job = *find(job_index);
  Job counted;
  for (const auto &task : job.tasks) {
    if (std::uint32_t *count = count_of(counted, task.state)) ++*count;
    if ((task.state == TaskState::Placed) != task.machine.valid()) return false;
  }
  return counted.done == job.done && counted.placed == job.placed && counted.unaccounted == job.unaccounted &&
         counted.delegated == job.delegated;
}

JobIndex JobTable::free_index() {
  if (free_indices_.empty()) {
    jobs_.emplace_back();
    return JobIndex(jobs_.size() - 1);
  }
  const JobIndex job_index = free_indices_.back();
  free_indices_.pop_back();
  return job_index;
}

JobIndex JobTable::add(OpenRecord record, std::uint64_t mod_revision) {
  assert(!index_by_id_.contains(record.spec.id));
  const JobIndex job_index = free_index();
  assert(!find(job_index));
  jobs_[job_index.position()] = std::make_unique<Job>();
  Job &job = at(job_index);
  job.spec = std::move(record.spec);
  job.submit_wall = record.submit_wall;
  job.cancelled = record.cancelled;
  job.open_mod_revision = mod_revision;
  job.serial = ++last_serial_;
  job.tasks.resize(job.spec.tasks);
  if (record.delegated) accept_delegation(job_index, std::move(*record.delegated));
  job.team = team_names_.find(job.spec.team);
  job.image = image_names_.find_or_add(job.spec.image);
  index_by_id_[job.spec.id] = job_index;
  ++pending_work_version_;
  return job_index;
}

// Marks the job as work of an origin cell. It is paused until that cell confirms the delegation. The team name
// "@<cell>" separates it from local work; JobApiHandler refuses such names from users.
void JobTable::accept_delegation(JobIndex job_index, DelegationSource source) {
  Job &job = at(job_index);
  job.spec.team = "@" + source.origin;
  job.delegated_here = std::move(source);
  job.paused = true;
  std::vector<char> is_delegated(job.spec.tasks, 0);
  each_task(job.delegated_here->tasks, job.spec.tasks, [&](std::uint32_t task_index) { is_delegated[task_index] = 1; });
  for (std::uint32_t i = 0; i < job.spec.tasks; ++i)
    if (!is_delegated[i]) set_state(job_index, i, TaskState::Done);
}

void JobTable::restore(JobIndex job_index, const ProgressRecord &progress) {
  Job &job = at(job_index);
  assert(job.placed == 0);
  each_task(progress.started, job.spec.tasks, [&](std::uint32_t task_index) {
    if (job.tasks[task_index].state == TaskState::Pending) set_state(job_index, task_index, TaskState::Unaccounted);
  });
  each_task(progress.finished, job.spec.tasks,
            [&](std::uint32_t task_index) { set_state(job_index, task_index, TaskState::Done); });
  for (const auto &delegation : progress.delegations) {
    job.delegations.push_back(delegation);
    if (delegation.expired) continue;
    each_task(delegation.tasks, job.spec.tasks, [&](std::uint32_t task_index) {
      if (job.tasks[task_index].state != TaskState::Done) set_state(job_index, task_index, TaskState::Delegated);
    });
  }
  assert(consistent(job_index));
}

void JobTable::remove(JobIndex job_index) {
  events_.publish(JobFinalized{job_index, at(job_index).spec.id});
  index_by_id_.erase(at(job_index).spec.id);
  jobs_[job_index.position()].reset();
}

void JobTable::cancel(JobIndex job_index) {
  Job &job = at(job_index);
  if (job.cancelled) return;
  job.cancelled = true;
  events_.publish(JobCancelled{job_index});
  if (job.finishable()) publish_changed(job_index, true);
}

bool JobTable::update_mod_revision(JobIndex job_index, std::uint64_t mod_revision) {
  Job &job = at(job_index);
  if (mod_revision <= job.open_mod_revision) return false;
  job.open_mod_revision = mod_revision;
  return true;
}

void JobTable::set_ending(JobIndex job_index, bool ending) {
  at(job_index).ending = ending;
}

void JobTable::pause(JobIndex job_index, bool paused) {
  const bool was_paused = std::exchange(at(job_index).paused, paused);
  if (was_paused && !paused) ++pending_work_version_;
}

void JobTable::mark_ready(JobIndex job_index) {
  ++pending_work_version_;
  publish_changed(job_index, true);
}

void JobTable::confirm_end_by_origin(JobIndex job_index) {
  at(job_index).origin_confirmed_end = true;
  publish_changed(job_index, true);
}

void JobTable::publish_changed(JobIndex job_index, bool urgent) {
  events_.publish(JobChanged{job_index, at(job_index).finishable(), urgent});
}

void JobTable::on(const TermEnded &) {
  jobs_.clear();
  free_indices_.clear();
  index_by_id_.clear();
}

void JobTable::set_state(JobIndex job_index, std::uint32_t task_index, TaskState state, MachineIndex machine,
                         int zone) {
  Job &job = at(job_index);
  Task &task = job.tasks[task_index];
  if (task.state == TaskState::Placed) --get_or_create(job.placed_by_zone, task.zone);
  if (std::uint32_t *count = count_of(job, task.state)) --*count;
  task = {state, machine, zone};
  if (std::uint32_t *count = count_of(job, state)) ++*count;
  if (state == TaskState::Placed) ++get_or_create(job.placed_by_zone, zone);
  if (state == TaskState::Pending) ++pending_work_version_;
  assert(job.done + job.placed + job.unaccounted + job.delegated <= job.spec.tasks);
}

void JobTable::place(JobIndex job_index, std::uint32_t task_index, MachineIndex machine, int zone) {
  // Guards against a second start of a task that may still run.
  assert(at(job_index).tasks[task_index].state == TaskState::Pending ||
         at(job_index).tasks[task_index].state == TaskState::Unaccounted);
  set_state(job_index, task_index, TaskState::Placed, machine, zone);
}

void JobTable::finish(JobIndex job_index, std::uint32_t task_index) {
  set_state(job_index, task_index, TaskState::Done);
  publish_changed(job_index, at(job_index).finishable());
}

void JobTable::release(JobIndex job_index, std::uint32_t task_index, MachineIndex machine, bool unaccounted) {
  const Task &task = at(job_index).tasks[task_index];
  if (task.state == TaskState::Placed && task.machine == machine)
    set_state(job_index, task_index, unaccounted ? TaskState::Unaccounted : TaskState::Pending);
  if (at(job_index).finishable()) publish_changed(job_index, true);
}

std::vector<JobIndex> JobTable::expire_unaccounted() {
  std::vector<JobIndex> affected_jobs;
  if (unaccounted_until_ <= 0 || runtime_.now() < unaccounted_until_) return affected_jobs;
  unaccounted_until_ = 0;
  each([&](JobIndex job_index, const Job &job) {
    if (job.unaccounted == 0) return;
    events_.publish(TasksAbandoned{job_index, job.unaccounted});
    for (std::uint32_t i = 0; i < job.spec.tasks; ++i)
      if (job.tasks[i].state == TaskState::Unaccounted) set_state(job_index, i, TaskState::Pending);
    if (job.finishable()) publish_changed(job_index, true);
    affected_jobs.push_back(job_index);
  });
  return affected_jobs;
}

std::uint64_t JobTable::next_gang_attempt(JobIndex job_index, std::uint64_t min_attempt) {
  Job &job = at(job_index);
  assert(job.placed == 0);
  job.gang_attempt = std::max(job.gang_attempt + 1, min_attempt);
  job.gang_started = false;
  return job.gang_attempt;
}

void JobTable::adopt_gang_attempt(JobIndex job_index, std::uint64_t attempt) {
  Job &job = at(job_index);
  job.gang_attempt = std::max(job.gang_attempt, attempt);
}

void JobTable::set_gang_started(JobIndex job_index, bool started) {
  at(job_index).gang_started = started;
}

void JobTable::delegate(JobIndex job_index, DelegationRecord delegation) {
  Job &job = at(job_index);
  each_task(delegation.tasks, job.spec.tasks, [&](std::uint32_t task_index) {
    assert(job.tasks[task_index].state == TaskState::Pending);
    set_state(job_index, task_index, TaskState::Delegated);
  });
  job.delegations.push_back(std::move(delegation));
  publish_changed(job_index, true);
}

void JobTable::charge_delegation(JobIndex job_index, std::uint64_t generation, const accounts::Usage &charged) {
  for (auto &delegation : at(job_index).delegations)
    if (delegation.generation == generation) delegation.charged = charged;
}

void JobTable::free_delegated(JobIndex job_index, const Ranges &tasks) {
  const Job &job = at(job_index);
  each_task(tasks, job.spec.tasks, [&](std::uint32_t task_index) {
    if (job.tasks[task_index].state == TaskState::Delegated) set_state(job_index, task_index, TaskState::Pending);
  });
}

void JobTable::expire_delegation(JobIndex job_index, std::uint64_t generation) {
  for (auto &delegation : at(job_index).delegations) {
    if (delegation.generation != generation) continue;
    const bool already_expired = std::exchange(delegation.expired, true);
    if (!already_expired) free_delegated(job_index, delegation.tasks);
  }
  publish_changed(job_index, true);
}

void JobTable::remove_delegation(JobIndex job_index, std::uint64_t generation) {
  auto &delegations = at(job_index).delegations;
  const auto found = std::find_if(delegations.begin(), delegations.end(),
                                  [generation](const auto &delegation) { return delegation.generation == generation; });
  if (found == delegations.end()) return;
  if (!found->expired) free_delegated(job_index, found->tasks);
  delegations.erase(found);
  publish_changed(job_index, true);
}

} // namespace loftrouter::core
