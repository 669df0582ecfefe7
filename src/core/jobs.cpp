// Jobs in the leader's memory.
#include "loftrouter/core/core.hpp"

#include <cmath>

#include <fmt/format.h>

namespace loft::core {

namespace {
constexpr double kPauseAfterTakeover = 20.0; // of a job that failed everywhere under the last leader
} // namespace

int Core::add_job(OpenRecord record, std::uint64_t stamp) {
  int j;
  if (!free_jobs_.empty()) {
    j = free_jobs_.back();
    free_jobs_.pop_back();
  } else {
    j = static_cast<int>(jobs_.size());
    jobs_.emplace_back();
  }
  auto owned = std::make_unique<Job>();
  Job &n = *owned;
  jobs_[static_cast<std::size_t>(j)] = std::move(owned);
  n.spec = std::move(record.spec);
  n.submit_wall = record.submit_wall;
  n.cancelled = record.cancelled;
  n.open_stamp = stamp;
  n.serial = ++job_counter_;
  n.tasks.resize(n.spec.tasks);
  n.team = team_names_.find(n.spec.team);
  n.image = image_names_.get(n.spec.image);
  n.class_ix = class_names_.get(n.spec.job_class);
  job_index_[n.spec.id] = j;
  if (auto it = loaded_progress_.find(n.spec.id); it != loaded_progress_.end()) {
    for (auto [a, b] : it->second.started)
      for (auto i = a; i < b && i < n.spec.tasks; ++i) {
        n.tasks[i].started = n.tasks[i].recorded = true;
        if (n.tasks[i].state == TaskState::Pending) set_task(j, i, TaskState::Unaccounted);
      }
    for (auto [a, b] : it->second.finished)
      for (auto i = a; i < b && i < n.spec.tasks; ++i)
        set_task(j, i, TaskState::Done);
    n.failed_on = it->second.failed_on;
    if (suspect(n)) n.retry_at = now() + kPauseAfterTakeover;
  }
  assign_shard(j);
  if (n.cancelled) cancel_job(j);
  mark_dirty(j, n.spec.urgency != Urgency::Low);
  note_whole_machine_job(n);
  round_wanted_ = true;
  return j;
}

void Core::remove_job(int j) {
  Job &n = job(j);
  for (auto &m : machines_)
    if (m)
      for (auto &s : m->slots)
        if (s.job == j) {
          s.job = -1; // stopped at the next report, as any task of an unknown job
          s.stop = true;
          s.grace_s = 0;
        }
  job_index_.erase(n.spec.id);
  Shard &shard = shards_[static_cast<std::size_t>(n.shard)];
  std::erase(shard.jobs, j);
  shard.reserved -= kEntryChars + 2 * std::min<std::size_t>(n.spec.tasks / 4 + 3, set_chars());
  mark_shard(static_cast<std::size_t>(n.shard), false);
  std::erase(ending_, j);
  jobs_[static_cast<std::size_t>(j)].reset();
  free_jobs_.push_back(j);
}

void Core::update_open(const std::string &key, const wire::Json &value, std::uint64_t stamp) {
  if (wire::final_from_json(value)) return; // this leader's own doing
  auto record = wire::open_from_json(value);
  if (!record || key != "open/" + record->spec.id) {
    log(LogLevel::Error, fmt::format("record {} cannot be read; left alone", key.substr(0, 60)));
    return;
  }
  // Guards against news that is older than what this leader itself has ended since.
  if (ends_.contains(record->spec.id)) return;
  auto it = job_index_.find(record->spec.id);
  if (it == job_index_.end()) {
    add_job(std::move(*record), stamp);
    return;
  }
  Job &n = job(it->second);
  if (stamp <= n.open_stamp) return;
  n.open_stamp = stamp;
  if (record->cancelled && !n.cancelled) {
    n.cancelled = true;
    cancel_job(it->second);
  }
}

void Core::cancel_job(int j) {
  Job &n = job(j);
  if (n.done == 0) absolve(n); // its failures were more likely its own
  for (int m = 0; m < static_cast<int>(machines_.size()); ++m) {
    if (!machines_[static_cast<std::size_t>(m)]) continue;
    for (std::size_t s = machine(m).slots.size(); s-- > 0;) {
      Slot &slot = machine(m).slots[s];
      if (slot.job != j) continue;
      if (!slot.sent && !slot.seen)
        drop_slot(m, s, true);
      else
        stop_slot(m, slot, 0);
    }
  }
  if (finishable(n)) mark_dirty(j, true);
}

void Core::set_task(int j, std::uint32_t i, TaskState state, int m) {
  Job &n = job(j);
  Task &t = n.tasks[i];
  auto zone = [&](int mm) -> int & {
    auto z = static_cast<std::size_t>(machine(mm).zone);
    if (z >= n.zone_used.size()) n.zone_used.resize(z + 1);
    return n.zone_used[z];
  };
  switch (t.state) {
  case TaskState::Placed:
    --n.placed;
    --zone(t.machine);
    break;
  case TaskState::Unaccounted:
    --n.unaccounted;
    break;
  case TaskState::Done:
    --n.done;
    break;
  case TaskState::Pending:
    break;
  }
  t.state = state;
  t.machine = m;
  switch (state) {
  case TaskState::Placed:
    ++n.placed;
    ++zone(m);
    break;
  case TaskState::Unaccounted:
    ++n.unaccounted;
    break;
  case TaskState::Done:
    ++n.done;
    break;
  case TaskState::Pending:
    round_wanted_ = true;
    break;
  }
}

bool Core::finishable(const Job &n) const {
  if (n.ending) return false;
  if (n.cancelled) return n.placed == 0 && n.unaccounted == 0;
  return n.spec.shape != Shape::Service && n.done == n.spec.tasks;
}

void Core::mark_dirty(int j, bool urgent) {
  Job &n = job(j);
  n.dirty = true;
  if (finishable(n)) {
    if (!n.to_end) ending_.push_back(j);
    n.to_end = true;
  } else {
    mark_shard(static_cast<std::size_t>(n.shard), urgent);
  }
}

// When every lease that an earlier leader may have kept alive has run out, what was not seen is gone.
void Core::age_unaccounted() {
  if (unaccounted_until_ <= 0 || now() < unaccounted_until_) return;
  unaccounted_until_ = 0;
  std::uint32_t count = 0;
  for (int j = 0; j < static_cast<int>(jobs_.size()); ++j) {
    if (!jobs_[static_cast<std::size_t>(j)] || job(j).unaccounted == 0) continue;
    for (std::uint32_t i = 0; i < job(j).spec.tasks; ++i)
      if (job(j).tasks[i].state == TaskState::Unaccounted) {
        set_task(j, i, TaskState::Pending);
        ++count;
      }
    if (finishable(job(j))) mark_dirty(j, true);
    if (job(j).spec.shape == Shape::Gang) tend_gang(j);
  }
  if (count) log(LogLevel::Info, fmt::format("{} tasks were not seen in time and count as lost", count));
}

// A gang that can no longer complete its attempt is stopped whole; the next attempt starts when
// every task of this one is gone.
void Core::tend_gang(int j) {
  Job &n = job(j);
  if (n.spec.shape != Shape::Gang || n.placed == 0) return;
  bool started = n.gang_closed;
  bool missing = n.placed + n.done + n.unaccounted < n.spec.tasks;
  for (const auto &m : machines_)
    if (m)
      for (const auto &s : m->slots)
        if (s.job == j && (s.phase == TaskPhase::Running || s.phase == TaskPhase::Saving || s.stop)) started = true;
  if (!started || !missing) {
    n.gang_closed = started;
    return;
  }
  n.gang_closed = true;
  for (int m = 0; m < static_cast<int>(machines_.size()); ++m)
    if (machines_[static_cast<std::size_t>(m)])
      for (std::size_t s = machine(m).slots.size(); s-- > 0;) {
        Slot &slot = machine(m).slots[s];
        if (slot.job != j || slot.finished) continue;
        if (!slot.sent && !slot.seen)
          drop_slot(m, s, true);
        else
          stop_slot(m, slot, n.spec.save_s + 1);
      }
}

} // namespace loft::core
