#include "loftrouter/core/jobs/job_table.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace loftrouter::core {

JobTable::JobTable(Runtime &runtime, Events &events, const Settings &settings) : runtime_(runtime), events_(events) {
  for (const auto &t : settings.teams)
    team_names_.get(t.name);
}

JobIndex JobTable::index(const std::string &id) const {
  auto it = index_.find(id);
  return it == index_.end() ? JobIndex() : it->second;
}

JobIndex JobTable::add(OpenRecord record, std::uint64_t mod_revision) {
  assert(!index_.contains(record.spec.id));
  JobIndex job_index;
  if (!free_.empty()) {
    job_index = free_.back();
    free_.pop_back();
  } else {
    job_index = JobIndex(jobs_.size());
    jobs_.emplace_back();
  }
  assert(!jobs_[job_index.position()]);
  jobs_[job_index.position()] = std::make_unique<Job>();
  Job &job = at(job_index);
  job.spec = std::move(record.spec);
  job.submit_wall = record.submit_wall;
  job.cancelled = record.cancelled;
  job.open_mod_revision = mod_revision;
  job.serial = ++serial_;
  job.tasks.resize(job.spec.tasks);
  if (record.delegated) {
    // Accounts and queues tell it apart from this cell's own work; the name is no team's (JobApiHandler refuses it).
    job.spec.team = "@" + record.delegated->origin;
    job.delegated_here = std::move(record.delegated);
    job.paused = true;
    std::vector<char> mine(job.spec.tasks, 0);
    for (auto [a, b] : job.delegated_here->tasks)
      for (auto i = a; i < b && i < job.spec.tasks; ++i)
        mine[i] = 1;
    for (std::uint32_t i = 0; i < job.spec.tasks; ++i)
      if (!mine[i]) set(job_index, i, TaskState::Done);
  }
  job.team = team_names_.find(job.spec.team);
  job.image = image_names_.get(job.spec.image);
  index_[job.spec.id] = job_index;
  ++arrivals_;
  return job_index;
}

void JobTable::restore(JobIndex job_index, const ProgressRecord &progress) {
  Job &job = at(job_index);
  assert(job.placed == 0);
  for (auto [a, b] : progress.started)
    for (auto i = a; i < b && i < job.spec.tasks; ++i)
      if (job.tasks[i].state == TaskState::Pending) set(job_index, i, TaskState::Unaccounted);
  for (auto [a, b] : progress.finished)
    for (auto i = a; i < b && i < job.spec.tasks; ++i)
      set(job_index, i, TaskState::Done);
  for (const auto &delegation : progress.delegations) {
    job.delegations.push_back(delegation);
    for (auto [a, b] : delegation.lapsed ? Ranges{} : delegation.tasks)
      for (auto i = a; i < b && i < job.spec.tasks; ++i)
        if (job.tasks[i].state != TaskState::Done) set(job_index, i, TaskState::DelegationSource);
  }
  assert(consistent(job_index));
}

// ---- lent to another cell ----

void JobTable::delegate(JobIndex job_index, DelegationRecord delegation) {
  for (auto [a, b] : delegation.tasks)
    for (auto i = a; i < b; ++i) {
      assert(at(job_index).tasks[i].state == TaskState::Pending);
      set(job_index, i, TaskState::DelegationSource);
    }
  at(job_index).delegations.push_back(std::move(delegation));
  changed(job_index, true);
}

void JobTable::charge_delegation(JobIndex job_index, std::uint64_t generation, const accounts::Usage &charged) {
  for (auto &l : at(job_index).delegations)
    if (l.generation == generation) l.charged = charged;
}

void JobTable::free_delegated(JobIndex job_index, const Ranges &tasks) {
  for (auto [a, b] : tasks)
    for (auto i = a; i < b; ++i)
      if (at(job_index).tasks[i].state == TaskState::DelegationSource) set(job_index, i, TaskState::Pending);
}

void JobTable::expire_delegation(JobIndex job_index, std::uint64_t generation) {
  for (auto &l : at(job_index).delegations)
    if (l.generation == generation && !std::exchange(l.lapsed, true)) free_delegated(job_index, l.tasks);
  changed(job_index, true);
}

void JobTable::remove_delegation(JobIndex job_index, std::uint64_t generation) {
  auto &delegations = at(job_index).delegations;
  const auto it =
      std::find_if(delegations.begin(), delegations.end(), [&](const auto &l) { return l.generation == generation; });
  if (it == delegations.end()) return;
  if (!it->lapsed) free_delegated(job_index, it->tasks);
  delegations.erase(it);
  changed(job_index, true);
}

void JobTable::pause(JobIndex job_index, bool paused) {
  if (std::exchange(at(job_index).paused, paused) && !paused) ++arrivals_;
}

void JobTable::readied(JobIndex job_index) {
  ++arrivals_;
  changed(job_index, true);
}

void JobTable::settle(JobIndex job_index) {
  at(job_index).settled = true;
  changed(job_index, true);
}

void JobTable::remove(JobIndex job_index) {
  events_.publish(JobFinalized{job_index, at(job_index).spec.id});
  index_.erase(at(job_index).spec.id);
  jobs_[job_index.position()].reset();
}

void JobTable::on(const TermEnded &) {
  jobs_.clear();
  free_.clear();
  index_.clear();
}

void JobTable::cancel(JobIndex job_index) {
  Job &job = at(job_index);
  if (job.cancelled) return;
  job.cancelled = true;
  events_.publish(JobCancelled{job_index});
  if (job.finishable()) changed(job_index, true);
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

void JobTable::changed(JobIndex job_index, bool urgent) {
  events_.publish(JobChanged{job_index, at(job_index).finishable(), urgent});
}

void JobTable::set(JobIndex job_index, std::uint32_t i, TaskState state, MachineIndex machine, int zone) {
  Job &job = at(job_index);
  Task &t = job.tasks[i];
  switch (t.state) {
  case TaskState::Placed:
    --job.placed;
    --grown(job.zone_used, t.zone);
    break;
  case TaskState::Unaccounted:
    --job.unaccounted;
    break;
  case TaskState::Done:
    --job.done;
    break;
  case TaskState::DelegationSource:
    --job.delegated;
    break;
  case TaskState::Pending:
    break;
  }
  t = {state, machine, zone};
  switch (state) {
  case TaskState::Placed:
    ++job.placed;
    ++grown(job.zone_used, zone);
    break;
  case TaskState::Unaccounted:
    ++job.unaccounted;
    break;
  case TaskState::Done:
    ++job.done;
    break;
  case TaskState::DelegationSource:
    ++job.delegated;
    break;
  case TaskState::Pending:
    ++arrivals_;
    break;
  }
  assert(job.done + job.placed + job.unaccounted + job.delegated <= job.spec.tasks);
}

void JobTable::place(JobIndex job_index, std::uint32_t i, MachineIndex machine, int zone) {
  // Guards against a second start of a task that may still run: only a waiting one is placed, and one of an earlier
  // leader's when its worker shows it.
  assert(at(job_index).tasks[i].state == TaskState::Pending || at(job_index).tasks[i].state == TaskState::Unaccounted);
  set(job_index, i, TaskState::Placed, machine, zone);
}

void JobTable::finish(JobIndex job_index, std::uint32_t i) {
  set(job_index, i, TaskState::Done);
  changed(job_index, at(job_index).finishable());
}

void JobTable::release(JobIndex job_index, std::uint32_t i, MachineIndex machine, bool unaccounted) {
  const Task &t = at(job_index).tasks[i];
  if (t.state == TaskState::Placed && t.machine == machine)
    set(job_index, i, unaccounted ? TaskState::Unaccounted : TaskState::Pending);
  if (at(job_index).finishable()) changed(job_index, true);
}

std::uint64_t JobTable::next_gang_attempt(JobIndex job_index, std::uint64_t fresh) {
  Job &job = at(job_index);
  assert(job.placed == 0);
  job.gang_attempt = std::max(job.gang_attempt + 1, fresh);
  job.gang_closed = false;
  return job.gang_attempt;
}

void JobTable::adopt_gang_attempt(JobIndex job_index, std::uint64_t attempt) {
  at(job_index).gang_attempt = std::max(at(job_index).gang_attempt, attempt);
}

void JobTable::close_gang(JobIndex job_index, bool closed) {
  at(job_index).gang_closed = closed;
}

std::vector<JobIndex> JobTable::age() {
  std::vector<JobIndex> concerned;
  if (unaccounted_until_ <= 0 || runtime_.now() < unaccounted_until_) return concerned;
  unaccounted_until_ = 0;
  for (std::size_t position = 0; position < jobs_.size(); ++position) {
    const JobIndex job_index(position);
    if (!find(job_index) || at(job_index).unaccounted == 0) continue;
    events_.publish(TasksAbandoned{job_index, at(job_index).unaccounted});
    for (std::uint32_t i = 0; i < at(job_index).spec.tasks; ++i)
      if (at(job_index).tasks[i].state == TaskState::Unaccounted) set(job_index, i, TaskState::Pending);
    if (at(job_index).finishable()) changed(job_index, true);
    concerned.push_back(job_index);
  }
  return concerned;
}

bool JobTable::consistent(JobIndex job_index) const {
  const Job &job = *find(job_index);
  std::uint32_t done = 0, placed = 0, unaccounted = 0, delegated = 0;
  for (const auto &t : job.tasks) {
    delegated += t.state == TaskState::DelegationSource;
    done += t.state == TaskState::Done;
    placed += t.state == TaskState::Placed;
    unaccounted += t.state == TaskState::Unaccounted;
    if ((t.state == TaskState::Placed) != t.machine.valid()) return false;
  }
  return done == job.done && placed == job.placed && unaccounted == job.unaccounted && delegated == job.delegated;
}

const EndRecord *EndedJobs::find(const std::string &id) const {
  auto it = ends_.find(id);
  return it == ends_.end() ? nullptr : &it->second;
}

void EndedJobs::remember(const std::string &id, EndRecord end) {
  events_.publish(JobEndLearned{id});
  if (!ends_.emplace(id, std::move(end)).second) return;
  order_.push_back(id);
  if (order_.size() > kMax) {
    ends_.erase(order_.front());
    order_.pop_front();
  }
}

} // namespace loftrouter::core
