// Jobs in the leader's memory and their records: what is written when, and what a write allows.
#include "loftrouter/core/core.hpp"

#include <cmath>

#include <fmt/format.h>

namespace loft::core {

namespace {
constexpr std::size_t kMaxRanges = 220; // two lists of them stay below the smallest value limit we plan for
constexpr double kLazyWrite = 0.8;      // progress that nothing waits for
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
  n.tasks.resize(n.spec.tasks);
  n.team = team_names_.find(n.spec.team);
  n.image = image_names_.get(n.spec.image);
  n.class_ix = class_names_.get(n.spec.job_class);
  job_index_[n.spec.id] = j;
  if (auto it = loaded_progress_.find(n.spec.id); it != loaded_progress_.end()) {
    n.progress_stamp = loaded_stamps_[n.spec.id];
    for (auto [a, b] : it->second.started)
      for (auto i = a; i < b && i < n.spec.tasks; ++i) {
        n.tasks[i].started = n.tasks[i].recorded = true;
        n.tasks[i].state = TaskState::Unaccounted;
        ++n.unaccounted;
      }
    for (auto [a, b] : it->second.finished)
      for (auto i = a; i < b && i < n.spec.tasks; ++i)
        set_task(j, i, TaskState::Done);
  }
  if (n.cancelled) cancel_job(j);
  if (finishable(n)) mark_dirty(j, true);
  mark_dirty(j, false);
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
  std::erase(dirty_, j);
  jobs_[static_cast<std::size_t>(j)].reset();
  free_jobs_.push_back(j);
}

void Core::update_open(const std::string &key, const wire::Json &value, std::uint64_t stamp) {
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
  n.reason = "stopped: cancelled by its user";
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
  if (!n.dirty) {
    n.dirty = true;
    n.dirty_since = now();
    dirty_.push_back(j);
  }
  n.urgent |= urgent;
}

// The next tasks in line count as started before they are placed, so that their starts need no write
// of their own. Too many "started" are safe: after a takeover they wait until leases have run out.
void Core::record_ahead(Job &n) {
  if (n.cancelled) return;
  std::uint32_t ahead =
      n.spec.shape == Shape::Gang ? (n.spec.tasks <= 64 ? n.spec.tasks : 0) : std::max(4u, n.placed / 4);
  for (std::uint32_t i = 0; i < n.spec.tasks && ahead > 0; ++i)
    if (n.tasks[i].state == TaskState::Pending) {
      n.tasks[i].started = true;
      --ahead;
    }
}

// One transaction at a time. Each is guarded by the leader key's revision and by every record's own.
void Core::flush() {
  if (flushing_ || dirty_.empty() || !active() || now() < flush_after_) return;
  std::stable_sort(dirty_.begin(), dirty_.end(), [this](int a, int b) { return job(a).urgent > job(b).urgent; });
  std::vector<wire::Guard> guards{{"leader", term_}};
  std::vector<wire::Write> writes;
  std::vector<int> jobs, ended;
  std::size_t bytes = 0;
  const auto max_ops = static_cast<std::size_t>(std::max(3, settings_.state_txn_ops));
  double level = leader_writes_.level(now());
  for (int j : dirty_) {
    Job &n = job(j);
    if (n.needs_resync) {
      resync(j);
      continue;
    }
    bool ending = finishable(n);
    if (!ending && !n.urgent && now() - n.dirty_since < kLazyWrite) continue;
    std::size_t ops = ending ? (n.progress_stamp ? 3 : 2) : 1;
    if (writes.size() + ops > max_ops || static_cast<double>(writes.size() + ops) > level) break;
    if (bytes > 40'000) break;
    const auto &name = n.spec.id;
    if (ending) {
      EndRecord e;
      e.cancelled = n.cancelled;
      e.tasks = n.spec.tasks;
      e.job_class = n.spec.job_class;
      e.team = n.spec.team;
      e.submit_wall = n.submit_wall;
      e.end_wall = now_.wall;
      e.late = n.spec.deadline_s && now_.wall - n.submit_wall > *n.spec.deadline_s;
      e.reason = n.cancelled ? "stopped: cancelled by its user" : e.late ? "finished after its deadline" : "";
      guards.push_back({"open/" + name, n.open_stamp});
      guards.push_back({"end/" + name, 0});
      writes.push_back({"open/" + name, std::nullopt, 0});
      writes.push_back({"end/" + name, wire::to_json(e), 0});
      if (n.progress_stamp) {
        guards.push_back({"progress/" + name, n.progress_stamp});
        writes.push_back({"progress/" + name, std::nullopt, 0});
      }
      n.ending = true;
      ended.push_back(j);
      bytes += 600;
    } else {
      record_ahead(n);
      ProgressRecord p;
      p.started = widen(make_ranges(n.spec.tasks, [&](std::uint32_t i) { return n.tasks[i].started; }), kMaxRanges);
      p.finished = narrow(
          make_ranges(n.spec.tasks, [&](std::uint32_t i) { return n.tasks[i].state == TaskState::Done; }), kMaxRanges);
      bytes += 64 + 16 * (p.started.size() + p.finished.size());
      // The open record is guarded too, so progress never outlives its job.
      guards.push_back({"open/" + name, n.open_stamp});
      guards.push_back({"progress/" + name, n.progress_stamp});
      writes.push_back({"progress/" + name, wire::to_json(p), 0});
    }
    jobs.push_back(j);
  }
  if (writes.empty()) return;
  leader_writes_.take(now(), static_cast<double>(writes.size()));
  // What the transaction covers: slots placed from here on wait for the next one.
  for (int j : jobs) {
    for (auto &t : job(j).tasks)
      t.covered = t.started;
    job(j).dirty = job(j).urgent = false;
    std::erase(dirty_, j);
  }
  const std::uint64_t id = ++flush_counter_;
  for (auto &m : machines_)
    if (m)
      for (auto &slot : m->slots) {
        if (slot.job < 0 || std::find(jobs.begin(), jobs.end(), slot.job) == jobs.end()) continue;
        if (slot.finished && !slot.recorded) slot.done_flush = id;
      }
  std::vector<std::string> ids;
  for (int j : jobs)
    ids.push_back(job(j).spec.id);
  std::vector<std::string> end_ids;
  for (int j : ended)
    end_ids.push_back(job(j).spec.id);
  flushing_ = true;
  store(StoreCommit{std::move(guards), std::move(writes)}, 1.5,
        [this, ids, end_ids, id, guard = epoch_guard_](const wire::StoreReply &r) {
          if (guard != epoch_guard_) return;
          flushing_ = false;
          auto each = [&](const std::vector<std::string> &names, auto fn) {
            for (const auto &name : names)
              if (auto it = job_index_.find(name); it != job_index_.end()) fn(it->second);
          };
          if (r.status == 200) {
            each(ids, [&](int j) {
              job(j).progress_stamp = r.revision;
              for (auto &t : job(j).tasks)
                t.recorded |= t.covered;
            });
            for (auto &m : machines_)
              if (m)
                for (auto &slot : m->slots) {
                  if (slot.job < 0) continue;
                  if (job(slot.job).tasks[slot.index].recorded) slot.durable = true;
                  if (slot.done_flush == id) slot.recorded = true;
                }
            each(end_ids, [&](int j) {
              Job &n = job(j);
              EndRecord e;
              e.cancelled = n.cancelled;
              e.tasks = n.spec.tasks;
              e.reason = n.cancelled ? "stopped: cancelled by its user" : "";
              remember_end(n.spec.id, e);
              remove_job(j);
            });
            return;
          }
          each(end_ids, [&](int j) { job(j).ending = false; });
          if (r.status == 409) {
            for (const auto &k : r.failed)
              if (k == "leader") return step_down("the leader key has changed");
            for (const auto &k : r.failed) {
              each({k.substr(k.find('/') + 1)}, [&](int j) { job(j).needs_resync = true; });
            }
          } else if (r.status == 0) {
            // May have been applied, or may be yet: the stamps are read again, and whichever of the
            // two writes comes second fails on them.
            each(ids, [&](int j) { job(j).needs_resync = true; });
            flush_after_ = now() + 0.2;
          } else {
            flush_after_ = now() + 0.3;
          }
          each(ids, [&](int j) { mark_dirty(j, true); });
        });
}

void Core::resync(int j) {
  Job &n = job(j);
  if (n.resyncing) return;
  n.resyncing = true;
  std::string id = n.spec.id;
  auto find = [this, id, guard = epoch_guard_]() -> int {
    if (guard != epoch_guard_) return -1;
    auto it = job_index_.find(id);
    return it == job_index_.end() ? -1 : it->second;
  };
  store(StoreGet{"open/" + id}, 1.0, [this, id, find](const wire::StoreReply &r) {
    int k = find();
    if (k < 0) return;
    if (r.status == 200 && r.entries.size() == 1) {
      update_open("open/" + id, r.entries[0].value, r.entries[0].stamp);
      store(StoreGet{"progress/" + id}, 1.0, [this, find](const wire::StoreReply &p) {
        int jj = find();
        if (jj < 0) return;
        Job &n2 = job(jj);
        n2.resyncing = false;
        if (p.status == 200 && p.entries.size() == 1)
          n2.progress_stamp = p.entries[0].stamp;
        else if (p.status == 404)
          n2.progress_stamp = 0;
        else {
          flush_after_ = now() + 0.2;
          return;
        }
        n2.needs_resync = false;
        mark_dirty(jj, true);
      });
      return;
    }
    if (r.status != 404) {
      job(k).resyncing = false;
      flush_after_ = now() + 0.2;
      return;
    }
    store(StoreGet{"end/" + id}, 1.0, [this, id, find](const wire::StoreReply &e) {
      int jj = find();
      if (jj < 0) return;
      job(jj).resyncing = false;
      auto end = e.status == 200 && e.entries.size() == 1 ? wire::end_from_json(e.entries[0].value) : std::nullopt;
      if (!end) return;
      remember_end(id, *end); // our own write, applied without an answer
      remove_job(jj);
    });
  });
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
