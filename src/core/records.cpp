// The records of jobs: what is written when, and what a write allows.
#include "loftrouter/core/core.hpp"

#include <cmath>

#include <fmt/format.h>

namespace loft::core {

namespace {
constexpr double kLazyWrite = 0.8;     // progress that nothing waits for
constexpr double kLazyWriteBusy = 2.5; // while many jobs end
constexpr std::size_t kManyEnds = 4, kMostMoves = 1000;
constexpr double kAheadEvery = 0.25;
constexpr double kAheadShare = 0.15; // of the fleet's CPUs: tasks recorded ahead of their placement
constexpr std::uint32_t kAheadLeast = 4;
} // namespace

void Core::mark_shard(std::size_t s, bool urgent) {
  Shard &shard = shards_[s];
  if (!shard.dirty) shard.dirty_since = now();
  shard.dirty = true;
  shard.urgent |= urgent;
}

// What one set of a job's tasks may take of a value, in characters.
std::size_t Core::set_chars() const {
  return static_cast<std::size_t>(settings_.state_value_kb * 1024 / 5);
}

// A job stays in its shard for as long as this node leads; room for its largest form is reserved.
void Core::assign_shard(int j) {
  Job &n = job(j);
  const std::size_t chars = kEntryChars + 2 * std::min<std::size_t>(n.spec.tasks / 4 + 3, set_chars());
  const auto limit = static_cast<std::size_t>(settings_.state_value_kb * 1024 * 0.95);
  std::size_t s = shards_.size();
  if (auto it = loaded_shard_.find(n.spec.id); it != loaded_shard_.end()) s = it->second;
  for (std::size_t k = 0; k < shards_.size() && s == shards_.size(); ++k)
    if (shards_[k].reserved + chars <= limit) s = k;
  if (s == shards_.size()) {
    Shard fresh;
    for (std::size_t name = 0; fresh.key.empty(); ++name) {
      auto key = fmt::format("progress/s{}", name);
      if (std::none_of(shards_.begin(), shards_.end(), [&](const Shard &x) { return x.key == key; })) fresh.key = key;
    }
    shards_.push_back(std::move(fresh));
  }
  n.shard = static_cast<int>(s);
  shards_[s].jobs.push_back(j);
  shards_[s].reserved += chars;
}

// The next tasks in line count as started before they are placed, so that their starts need no write
// of their own. Too many "started" are safe: after a takeover they wait until leases have run out.
void Core::record_ahead(Job &n) {
  if (n.cancelled) return;
  std::uint32_t ahead = n.spec.shape == Shape::Gang ? (n.spec.tasks <= 64 ? n.spec.tasks : 0) : n.ahead;
  for (std::uint32_t i = 0; i < n.spec.tasks && ahead > 0; ++i)
    if (n.tasks[i].state == TaskState::Pending) {
      n.tasks[i].started = true;
      --ahead;
    }
}

// How many tasks of each job are to be recorded ahead: as many as the fleet may start within the next seconds,
// counted along the order in which jobs will have their turn.
void Core::plan_ahead() {
  next_ahead_ = now() + kAheadEvery;
  std::vector<std::tuple<int, bool, double, int>> line;
  for (int j = 0; j < static_cast<int>(jobs_.size()); ++j) {
    const auto &n = jobs_[static_cast<std::size_t>(j)];
    if (!n || n->cancelled || n->spec.shape == Shape::Gang) continue;
    if (n->done + n->placed + n->unaccounted == n->spec.tasks) continue;
    line.emplace_back(-static_cast<int>(n->spec.urgency), !place_job(j).in_time, n->submit_wall, j);
  }
  std::sort(line.begin(), line.end());
  double left = kAheadShare * up_cpus_;
  for (auto [urgency, late, submitted, j] : line) {
    Job &n = job(j);
    std::uint32_t pending = n.spec.tasks - n.done - n.placed - n.unaccounted;
    double fits = std::max(0.0, left / std::max(0.01, n.spec.need.cpus));
    n.ahead = std::min(pending, std::max(kAheadLeast, static_cast<std::uint32_t>(std::min(1e6, fits))));
    left -= n.ahead * n.spec.need.cpus;
    std::uint32_t recorded = 0;
    for (const auto &t : n.tasks)
      recorded += t.state == TaskState::Pending && t.started;
    if (recorded < (n.ahead + 1) / 2) mark_dirty(j, true);
  }
}

// One transaction at a time. Each is guarded by the leader key's revision and by every record's own.
struct Core::Transaction {
  std::uint64_t id = 0;
  std::vector<wire::Guard> guards;
  std::vector<wire::Write> writes;
  std::vector<std::string> jobs, ends; // ids: of jobs whose progress is in it, and of those that end
  std::vector<Move> moves;
  std::vector<std::size_t> shards, emptied;
  std::size_t bytes = 0;
};

void Core::flush() {
  if (flushing_ || !active() || now() < flush_after_) return;
  std::vector<std::size_t> due;
  const double lazy = ending_.size() > kManyEnds ? kLazyWriteBusy : kLazyWrite;
  for (std::size_t s = 0; s < shards_.size(); ++s)
    if (shards_[s].dirty && (shards_[s].urgent || now() - shards_[s].dirty_since >= lazy)) due.push_back(s);
  if (due.empty() && ending_.empty() && moves_.empty()) return;
  std::sort(due.begin(), due.end(), [this](std::size_t a, std::size_t b) {
    return std::pair(!shards_[a].urgent, shards_[a].dirty_since) <
           std::pair(!shards_[b].urgent, shards_[b].dirty_since);
  });
  const double level = leader_writes_.level(now());
  const auto max_ops = static_cast<std::size_t>(std::max(3, settings_.state_txn_ops));
  Transaction t;
  t.id = ++flush_counter_;
  t.guards = {{"leader", term_}};
  bool full = false;
  auto room = [&](std::size_t ops) {
    full |= t.writes.size() + ops > max_ops || static_cast<double>(t.writes.size() + ops) > level || t.bytes > 48'000;
    return !full;
  };
  // Where many jobs end at once, one write says so for each and the record is moved later: three writes
  // instead of two, but people wait for the first alone.
  const bool in_place = ending_.size() > kManyEnds && moves_.size() < kMostMoves;
  auto put_ends = [&] {
    for (std::size_t k = ending_.size(); k-- > 0 && !full;) {
      int j = ending_.front();
      if (!finishable(job(j))) { // a task of a cancelled job has turned up
        ending_.pop_front();
        job(j).to_end = false;
        mark_dirty(j, false);
      } else if (job(j).needs_resync) {
        resync(j);
        ending_.pop_front();
        ending_.push_back(j);
      } else if (room(in_place ? 1 : 2)) {
        ending_.pop_front();
        job(j).to_end = false;
        add_end(j, t, in_place);
      }
    }
  };
  auto put_shards = [&] {
    for (std::size_t s : due) {
      if (shards_[s].needs_resync)
        resync_shard(s);
      else if (room(1))
        add_shard(s, t);
    }
  };
  // They take turns at the front, as either alone may use up the budget.
  ends_first_ = !ends_first_;
  if (ends_first_) put_ends();
  put_shards();
  if (!ends_first_) put_ends();
  if (t.writes.empty()) add_moves(t, level, max_ops);
  if (t.writes.empty()) return;
  leader_writes_.take(now(), static_cast<double>(t.writes.size()));
  // Tasks that are done by now may be forgotten by their workers once this is written.
  for (auto &m : machines_)
    if (m)
      for (auto &slot : m->slots)
        if (slot.job >= 0 && slot.finished && !slot.recorded && job(slot.job).flush == t.id) slot.done_flush = t.id;
  flushing_ = true;
  StoreCommit commit{t.guards, std::move(t.writes)};
  store(std::move(commit), 1.5, [this, t = std::move(t), guard = epoch_guard_](const wire::StoreReply &r) {
    if (guard == epoch_guard_) flushed(t, r);
  });
}

// Only with most of the budget at hand, so that nothing else waits for it.
void Core::add_moves(Transaction &t, double budget, std::size_t most) {
  if (budget < 0.4 * settings_.state_write_rps) return;
  while (!moves_.empty() && t.writes.size() + 2 <= std::min<std::size_t>(most, static_cast<std::size_t>(budget))) {
    Move m = std::move(moves_.front());
    moves_.pop_front();
    t.guards.push_back({"open/" + m.id, m.stamp});
    t.guards.push_back({"end/" + m.id, 0});
    t.writes.push_back({"open/" + m.id, std::nullopt, 0});
    t.writes.push_back({"end/" + m.id, m.value, 0});
    t.moves.push_back(std::move(m));
  }
}

EndRecord Core::end_record(const Job &n) const {
  EndRecord e;
  e.cancelled = n.cancelled;
  e.tasks = n.spec.tasks;
  e.job_class = n.spec.job_class;
  e.team = n.spec.team;
  e.submit_wall = n.submit_wall;
  e.end_wall = now_.wall;
  const double took = now_.wall - n.submit_wall;
  const auto wanted = wanted_after(n);
  e.late = !n.cancelled && wanted && took > *wanted;
  if (n.cancelled)
    e.reason = n.failed_on ? fmt::format("stopped: cancelled by its user; it had failed on {} machines", n.failed_on)
                           : "stopped: cancelled by its user";
  else if (e.late)
    e.reason = fmt::format("finished {:.0f} s late{}{}", took - *wanted, n.reason.empty() ? "" : "; ", n.reason);
  return e;
}

void Core::add_end(int j, Transaction &t, bool in_place) {
  Job &n = job(j);
  const EndRecord e = end_record(n);
  log(e.late && !n.cancelled ? LogLevel::Info : LogLevel::Debug,
      fmt::format("job {} ({}, {} tasks of about {:.0f} s) {} {:.0f} s after its submission, wanted after {:.0f} s",
                  n.spec.id, n.spec.job_class, n.spec.tasks, n.spec.estimate_s,
                  n.cancelled ? "was cancelled and is gone" : "is done", e.end_wall - e.submit_wall, due_after(n)));
  t.guards.push_back({"open/" + n.spec.id, n.open_stamp});
  t.guards.push_back({"end/" + n.spec.id, 0});
  if (in_place) {
    t.writes.push_back({"open/" + n.spec.id, wire::final_json(e), 0});
  } else {
    t.writes.push_back({"open/" + n.spec.id, std::nullopt, 0});
    t.writes.push_back({"end/" + n.spec.id, wire::to_json(e), 0});
  }
  n.ended_in_place = in_place;
  t.bytes += 600;
  t.ends.push_back(n.spec.id);
  n.end = e;
  n.ending = true;
  n.flush = t.id;
}

void Core::add_shard(std::size_t s, Transaction &t) {
  Shard &shard = shards_[s];
  std::vector<std::pair<std::string, wire::Json>> entries;
  for (int j : shard.jobs) {
    Job &n = job(j);
    if (n.dirty) {
      record_ahead(n);
      ProgressRecord p;
      p.started = make_ranges(n.spec.tasks, [&](std::uint32_t i) { return n.tasks[i].started; });
      p.finished = make_ranges(n.spec.tasks, [&](std::uint32_t i) { return n.tasks[i].state == TaskState::Done; });
      if (n.spec.tasks / 4 + 3 > set_chars()) { // a range takes 14 characters at most
        p.started = widen(std::move(p.started), set_chars() / 14);
        p.finished = narrow(std::move(p.finished), set_chars() / 14);
      }
      p.failed_on = suspect(n) ? n.failed_on : 0;
      n.progress = wire::to_json(p);
      // What the transaction covers: tasks placed from here on wait for the next one.
      for (auto &task : n.tasks)
        task.covered = task.started;
      n.dirty = false;
      n.flush = t.id;
      t.jobs.push_back(n.spec.id);
    }
    entries.emplace_back(n.spec.id, n.progress);
    t.bytes += n.spec.tasks / 2 + kEntryChars;
  }
  t.guards.push_back({shard.key, shard.stamp});
  if (!shard.jobs.empty())
    t.writes.push_back({shard.key, wire::progress_shard(std::move(entries)), 0});
  else
    t.writes.push_back({shard.key, std::nullopt, 0});
  shard.dirty = shard.urgent = false;
  (shard.jobs.empty() ? t.emptied : t.shards).push_back(s);
}

void Core::flushed(const Transaction &t, const wire::StoreReply &r) {
  flushing_ = false;
  auto each = [&](const std::vector<std::string> &names, auto fn) {
    for (const auto &name : names)
      if (auto it = job_index_.find(name); it != job_index_.end()) fn(it->second);
  };
  if (r.status == 200) {
    for (std::size_t s : t.shards)
      shards_[s].stamp = r.revision;
    for (std::size_t s : t.emptied)
      shards_[s].stamp = 0;
    each(t.jobs, [&](int j) {
      for (auto &task : job(j).tasks)
        task.recorded |= task.covered;
    });
    for (auto &m : machines_)
      if (m)
        for (auto &slot : m->slots) {
          if (slot.job < 0) continue;
          if (job(slot.job).tasks[slot.index].recorded) slot.durable = true;
          if (slot.done_flush == t.id) slot.recorded = true;
        }
    each(t.ends, [&](int j) {
      Job &n = job(j);
      if (n.ended_in_place) moves_.push_back({n.spec.id, r.revision, wire::to_json(n.end)});
      remember_end(n.spec.id, n.end);
      remove_job(j);
    });
    return;
  }
  if (r.status == 409)
    for (const auto &k : r.failed)
      if (k == "leader") return step_down("the leader key has changed");
  for (const auto &m : t.moves) // a record that is not there as it was has been moved already, without an answer
    if (std::none_of(r.failed.begin(), r.failed.end(),
                     [&](const auto &k) { return k == "open/" + m.id || k == "end/" + m.id; }))
      moves_.push_back(m);
  if (r.status == 409) {
    for (const auto &k : r.failed) {
      for (auto &shard : shards_)
        if (shard.key == k) shard.needs_resync = true;
      each({k.substr(k.find('/') + 1)}, [&](int j) { job(j).needs_resync = true; });
    }
  } else if (r.status == 0) {
    // May have been applied, or may be yet: the stamps are read again, and whichever of the
    // two writes comes second fails on them.
    each(t.ends, [&](int j) { job(j).needs_resync = true; });
    for (const auto *list : {&t.shards, &t.emptied})
      for (std::size_t s : *list)
        shards_[s].needs_resync = true;
    flush_after_ = now() + 0.2;
  } else {
    flush_after_ = now() + 0.3;
  }
  each(t.ends, [&](int j) { job(j).ending = false; });
  each(t.ends, [&](int j) { mark_dirty(j, true); });
  each(t.jobs, [&](int j) { mark_dirty(j, true); });
  for (const auto *list : {&t.shards, &t.emptied})
    for (std::size_t s : *list)
      mark_shard(s, list == &t.shards);
}

void Core::resync_shard(std::size_t s) {
  if (shards_[s].resyncing) return;
  shards_[s].resyncing = true;
  store(StoreGet{shards_[s].key}, 1.0, [this, s, guard = epoch_guard_](const wire::StoreReply &r) {
    if (guard != epoch_guard_) return;
    shards_[s].resyncing = false;
    if (r.status == 200 && r.entries.size() == 1) {
      shards_[s].stamp = r.entries[0].stamp;
    } else if (r.status == 404) {
      shards_[s].stamp = 0;
    } else {
      flush_after_ = now() + 0.2;
      return;
    }
    shards_[s].needs_resync = false;
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
    if (r.status != 404) {
      job(k).resyncing = false;
      if (auto end =
              r.status == 200 && r.entries.size() == 1 ? wire::final_from_json(r.entries[0].value) : std::nullopt) {
        moves_.push_back({id, r.entries[0].stamp, wire::to_json(*end)}); // our own write, applied without an answer
        remember_end(id, std::move(*end));
        remove_job(k);
      } else if (r.status == 200 && r.entries.size() == 1) {
        job(k).needs_resync = false;
        update_open("open/" + id, r.entries[0].value, r.entries[0].stamp);
      } else {
        flush_after_ = now() + 0.2;
      }
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

} // namespace loft::core
