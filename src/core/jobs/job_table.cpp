#include "loftrouter/core/jobs/job_table.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace loftrouter::core {

JobTable::JobTable(Runtime &runtime, Events &events, const Settings &settings) : runtime_(runtime), events_(events) {
  for (const auto &t : settings.teams)
    team_names_.get(t.name);
}

int JobTable::index(const std::string &id) const {
  auto it = index_.find(id);
  return it == index_.end() ? -1 : it->second;
}

int JobTable::add(OpenRecord record, std::uint64_t mod_revision) {
  assert(!index_.contains(record.spec.id));
  int j;
  if (!free_.empty()) {
    j = free_.back();
    free_.pop_back();
  } else {
    j = static_cast<int>(jobs_.size());
    jobs_.emplace_back();
  }
  assert(!jobs_[static_cast<std::size_t>(j)]);
  jobs_[static_cast<std::size_t>(j)] = std::make_unique<Job>();
  Job &n = at(j);
  n.spec = std::move(record.spec);
  n.submit_wall = record.submit_wall;
  n.cancelled = record.cancelled;
  n.open_mod_revision = mod_revision;
  n.serial = ++serial_;
  n.tasks.resize(n.spec.tasks);
  if (record.delegated) {
    // Accounts and queues tell it apart from this cell's own work; the name is no team's (JobApiHandler refuses it).
    n.spec.team = "@" + record.delegated->origin;
    n.delegated_here = std::move(record.delegated);
    n.paused = true;
    std::vector<char> mine(n.spec.tasks, 0);
    for (auto [a, b] : n.delegated_here->tasks)
      for (auto i = a; i < b && i < n.spec.tasks; ++i)
        mine[i] = 1;
    for (std::uint32_t i = 0; i < n.spec.tasks; ++i)
      if (!mine[i]) set(j, i, TaskState::Done);
  }
  n.team = team_names_.find(n.spec.team);
  n.image = image_names_.get(n.spec.image);
  index_[n.spec.id] = j;
  ++arrivals_;
  return j;
}

void JobTable::restore(int j, const ProgressRecord &progress) {
  Job &n = at(j);
  assert(n.placed == 0);
  for (auto [a, b] : progress.started)
    for (auto i = a; i < b && i < n.spec.tasks; ++i)
      if (n.tasks[i].state == TaskState::Pending) set(j, i, TaskState::Unaccounted);
  for (auto [a, b] : progress.finished)
    for (auto i = a; i < b && i < n.spec.tasks; ++i)
      set(j, i, TaskState::Done);
  for (const auto &delegation : progress.delegations) {
    n.delegations.push_back(delegation);
    for (auto [a, b] : delegation.lapsed ? Ranges{} : delegation.tasks)
      for (auto i = a; i < b && i < n.spec.tasks; ++i)
        if (n.tasks[i].state != TaskState::Done) set(j, i, TaskState::DelegationSource);
  }
  assert(consistent(j));
}

// ---- lent to another cell ----

void JobTable::delegate(int j, DelegationRecord delegation) {
  for (auto [a, b] : delegation.tasks)
    for (auto i = a; i < b; ++i) {
      assert(at(j).tasks[i].state == TaskState::Pending);
      set(j, i, TaskState::DelegationSource);
    }
  at(j).delegations.push_back(std::move(delegation));
  changed(j, true);
}

void JobTable::charge_delegation(int j, std::uint64_t generation, const accounts::Usage &charged) {
  for (auto &l : at(j).delegations)
    if (l.generation == generation) l.charged = charged;
}

void JobTable::free_delegated(int j, const Ranges &tasks) {
  for (auto [a, b] : tasks)
    for (auto i = a; i < b; ++i)
      if (at(j).tasks[i].state == TaskState::DelegationSource) set(j, i, TaskState::Pending);
}

void JobTable::expire_delegation(int j, std::uint64_t generation) {
  for (auto &l : at(j).delegations)
    if (l.generation == generation && !std::exchange(l.lapsed, true)) free_delegated(j, l.tasks);
  changed(j, true);
}

void JobTable::remove_delegation(int j, std::uint64_t generation) {
  auto &delegations = at(j).delegations;
  const auto it =
      std::find_if(delegations.begin(), delegations.end(), [&](const auto &l) { return l.generation == generation; });
  if (it == delegations.end()) return;
  if (!it->lapsed) free_delegated(j, it->tasks);
  delegations.erase(it);
  changed(j, true);
}

void JobTable::pause(int j, bool paused) {
  if (std::exchange(at(j).paused, paused) && !paused) ++arrivals_;
}

void JobTable::readied(int j) {
  ++arrivals_;
  changed(j, true);
}

void JobTable::settle(int j) {
  at(j).settled = true;
  changed(j, true);
}

void JobTable::remove(int j) {
  events_.publish(JobFinalized{j, at(j).spec.id});
  index_.erase(at(j).spec.id);
  jobs_[static_cast<std::size_t>(j)].reset();
}

void JobTable::on(const TermEnded &) {
  jobs_.clear();
  free_.clear();
  index_.clear();
}

void JobTable::cancel(int j) {
  Job &n = at(j);
  if (n.cancelled) return;
  n.cancelled = true;
  events_.publish(JobCancelled{j});
  if (n.finishable()) changed(j, true);
}

bool JobTable::update_mod_revision(int j, std::uint64_t mod_revision) {
  Job &n = at(j);
  if (mod_revision <= n.open_mod_revision) return false;
  n.open_mod_revision = mod_revision;
  return true;
}

void JobTable::set_ending(int j, bool ending) {
  at(j).ending = ending;
}

void JobTable::changed(int j, bool urgent) {
  events_.publish(JobChanged{j, at(j).finishable(), urgent});
}

void JobTable::set(int j, std::uint32_t i, TaskState state, int machine, int zone) {
  Job &n = at(j);
  Task &t = n.tasks[i];
  switch (t.state) {
  case TaskState::Placed:
    --n.placed;
    --grown(n.zone_used, t.zone);
    break;
  case TaskState::Unaccounted:
    --n.unaccounted;
    break;
  case TaskState::Done:
    --n.done;
    break;
  case TaskState::DelegationSource:
    --n.delegated;
    break;
  case TaskState::Pending:
    break;
  }
  t = {state, machine, zone};
  switch (state) {
  case TaskState::Placed:
    ++n.placed;
    ++grown(n.zone_used, zone);
    break;
  case TaskState::Unaccounted:
    ++n.unaccounted;
    break;
  case TaskState::Done:
    ++n.done;
    break;
  case TaskState::DelegationSource:
    ++n.delegated;
    break;
  case TaskState::Pending:
    ++arrivals_;
    break;
  }
  assert(n.done + n.placed + n.unaccounted + n.delegated <= n.spec.tasks);
}

void JobTable::place(int j, std::uint32_t i, int machine, int zone) {
  // Guards against a second start of a task that may still run: only a waiting one is placed, and one of an earlier
  // leader's when its worker shows it.
  assert(at(j).tasks[i].state == TaskState::Pending || at(j).tasks[i].state == TaskState::Unaccounted);
  set(j, i, TaskState::Placed, machine, zone);
}

void JobTable::finish(int j, std::uint32_t i) {
  set(j, i, TaskState::Done);
  changed(j, at(j).finishable());
}

void JobTable::release(int j, std::uint32_t i, int machine, bool unaccounted) {
  const Task &t = at(j).tasks[i];
  if (t.state == TaskState::Placed && t.machine == machine)
    set(j, i, unaccounted ? TaskState::Unaccounted : TaskState::Pending);
  if (at(j).finishable()) changed(j, true);
}

std::uint64_t JobTable::next_gang_attempt(int j, std::uint64_t fresh) {
  Job &n = at(j);
  assert(n.placed == 0);
  n.gang_attempt = std::max(n.gang_attempt + 1, fresh);
  n.gang_closed = false;
  return n.gang_attempt;
}

void JobTable::adopt_gang_attempt(int j, std::uint64_t attempt) {
  at(j).gang_attempt = std::max(at(j).gang_attempt, attempt);
}

void JobTable::close_gang(int j, bool closed) {
  at(j).gang_closed = closed;
}

std::vector<int> JobTable::age() {
  std::vector<int> concerned;
  if (unaccounted_until_ <= 0 || runtime_.now() < unaccounted_until_) return concerned;
  unaccounted_until_ = 0;
  for (int j = 0; j < static_cast<int>(jobs_.size()); ++j) {
    if (!find(j) || at(j).unaccounted == 0) continue;
    events_.publish(TasksAbandoned{j, at(j).unaccounted});
    for (std::uint32_t i = 0; i < at(j).spec.tasks; ++i)
      if (at(j).tasks[i].state == TaskState::Unaccounted) set(j, i, TaskState::Pending);
    if (at(j).finishable()) changed(j, true);
    concerned.push_back(j);
  }
  return concerned;
}

bool JobTable::consistent(int j) const {
  const Job &n = *find(j);
  std::uint32_t done = 0, placed = 0, unaccounted = 0, delegated = 0;
  for (const auto &t : n.tasks) {
    delegated += t.state == TaskState::DelegationSource;
    done += t.state == TaskState::Done;
    placed += t.state == TaskState::Placed;
    unaccounted += t.state == TaskState::Unaccounted;
    if ((t.state == TaskState::Placed) != (t.machine >= 0)) return false;
  }
  return done == n.done && placed == n.placed && unaccounted == n.unaccounted && delegated == n.delegated;
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
