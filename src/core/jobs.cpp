#include "loftrouter/core/jobs.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace loft::core {

JobTable::JobTable(Port &port, Events &events, const Settings &settings) : port_(port), events_(events) {
  for (const auto &t : settings.teams)
    team_names_.get(t.name);
}

int JobTable::index(const std::string &id) const {
  auto it = index_.find(id);
  return it == index_.end() ? -1 : it->second;
}

int JobTable::add(OpenRecord record, std::uint64_t stamp) {
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
  n.open_stamp = stamp;
  n.serial = ++serial_;
  n.tasks.resize(n.spec.tasks);
  if (record.lent) {
    // Accounts and queues tell it apart from this cell's own work; the name is no team's (UserDesk refuses it).
    n.spec.team = "@" + record.lent->home;
    n.borrowed = std::move(record.lent);
    n.paused = true;
    std::vector<char> mine(n.spec.tasks, 0);
    for (auto [a, b] : n.borrowed->tasks)
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
  for (const auto &loan : progress.loans) {
    n.loans.push_back(loan);
    for (auto [a, b] : loan.lapsed ? Ranges{} : loan.tasks)
      for (auto i = a; i < b && i < n.spec.tasks; ++i)
        if (n.tasks[i].state != TaskState::Done) set(j, i, TaskState::Lent);
  }
  assert(consistent(j));
}

// ---- lent to another cell ----

void JobTable::lend(int j, LoanRecord loan) {
  for (auto [a, b] : loan.tasks)
    for (auto i = a; i < b; ++i) {
      assert(at(j).tasks[i].state == TaskState::Pending);
      set(j, i, TaskState::Lent);
    }
  at(j).loans.push_back(std::move(loan));
  changed(j, true);
}

void JobTable::charge_loan(int j, std::uint64_t generation, const accounts::Usage &charged) {
  for (auto &l : at(j).loans)
    if (l.generation == generation) l.charged = charged;
}

void JobTable::free_lent(int j, const Ranges &tasks) {
  for (auto [a, b] : tasks)
    for (auto i = a; i < b; ++i)
      if (at(j).tasks[i].state == TaskState::Lent) set(j, i, TaskState::Pending);
}

void JobTable::lapse_loan(int j, std::uint64_t generation) {
  for (auto &l : at(j).loans)
    if (l.generation == generation && !std::exchange(l.lapsed, true)) free_lent(j, l.tasks);
  changed(j, true);
}

void JobTable::drop_loan(int j, std::uint64_t generation) {
  auto &loans = at(j).loans;
  const auto it = std::find_if(loans.begin(), loans.end(), [&](const auto &l) { return l.generation == generation; });
  if (it == loans.end()) return;
  if (!it->lapsed) free_lent(j, it->tasks);
  loans.erase(it);
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
  events_.publish(JobOver{j, at(j).spec.id});
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

bool JobTable::restamp(int j, std::uint64_t stamp) {
  Job &n = at(j);
  if (stamp <= n.open_stamp) return false;
  n.open_stamp = stamp;
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
  case TaskState::Lent:
    --n.lent;
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
  case TaskState::Lent:
    ++n.lent;
    break;
  case TaskState::Pending:
    ++arrivals_;
    break;
  }
  assert(n.done + n.placed + n.unaccounted + n.lent <= n.spec.tasks);
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
  if (unaccounted_until_ <= 0 || port_.now() < unaccounted_until_) return concerned;
  unaccounted_until_ = 0;
  for (int j = 0; j < static_cast<int>(jobs_.size()); ++j) {
    if (!find(j) || at(j).unaccounted == 0) continue;
    events_.publish(TasksGivenUp{j, at(j).unaccounted});
    for (std::uint32_t i = 0; i < at(j).spec.tasks; ++i)
      if (at(j).tasks[i].state == TaskState::Unaccounted) set(j, i, TaskState::Pending);
    if (at(j).finishable()) changed(j, true);
    concerned.push_back(j);
  }
  return concerned;
}

bool JobTable::consistent(int j) const {
  const Job &n = *find(j);
  std::uint32_t done = 0, placed = 0, unaccounted = 0, lent = 0;
  for (const auto &t : n.tasks) {
    lent += t.state == TaskState::Lent;
    done += t.state == TaskState::Done;
    placed += t.state == TaskState::Placed;
    unaccounted += t.state == TaskState::Unaccounted;
    if ((t.state == TaskState::Placed) != (t.machine >= 0)) return false;
  }
  return done == n.done && placed == n.placed && unaccounted == n.unaccounted && lent == n.lent;
}

const EndRecord *EndedJobs::find(const std::string &id) const {
  auto it = ends_.find(id);
  return it == ends_.end() ? nullptr : &it->second;
}

void EndedJobs::remember(const std::string &id, EndRecord end) {
  events_.publish(EndLearnt{id});
  if (!ends_.emplace(id, std::move(end)).second) return;
  order_.push_back(id);
  if (order_.size() > kMost) {
    ends_.erase(order_.front());
    order_.pop_front();
  }
}

} // namespace loft::core
