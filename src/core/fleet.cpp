// Machines, their reports, and what runs on them.
#include "loftrouter/core/core.hpp"

#include <cmath>

#include <fmt/format.h>

namespace loft::core {

namespace {
constexpr double kDrift = 0.002;
constexpr double kSummaryEvery = 10.0;
constexpr std::size_t kMaxStartsPerReply = 400; // keeps a response below the protocol's 64 KiB
constexpr std::size_t kMostBarred = 8;          // machines that a job keeps off after it has failed there
constexpr double kMostProbePause = 80.0;        // between tries of a job that fails everywhere
} // namespace

int Core::machine_index(const std::string &name, const std::string &type, const std::string &zone, bool spot) {
  if (auto it = machine_index_.find(name); it != machine_index_.end()) return it->second;
  int m = -1;
  for (std::size_t i = 0; i < machines_.size() && m < 0; ++i)
    if (!machines_[i]) m = static_cast<int>(i);
  if (m < 0) {
    m = static_cast<int>(machines_.size());
    machines_.emplace_back();
  }
  auto owned = std::make_unique<Machine>();
  Machine &n = *owned;
  n.name = name;
  n.type = type_names_.find(type);
  n.zone = zone_names_.get(zone);
  n.spot = spot;
  n.known_since = n.rented_at = now();
  if (auto it = machine_orders_.find(name); it != machine_orders_.end()) n.order = it->second;
  if (n.type >= 0) n.size = types_[static_cast<std::size_t>(n.type)].size;
  machines_[static_cast<std::size_t>(m)] = std::move(owned);
  machine_index_[name] = m;
  return m;
}

void Core::hear(const Asker &from, const WorkerReport &r) {
  last_report_at_ = now();
  highest_term_ = std::max(highest_term_, r.token);
  if (role_ != Role::Follower && r.token > term_ && term_ > 0 && role_ != Role::Acquiring)
    step_down("a worker has seen a higher term");
  if (role_ != Role::Leading) return tell_worker(from, 421);
  if (!answering()) return tell_worker(from, 503, {}, "leadership is being renewed");
  // A machine that was given back can only speak through packets held up on the way.
  if (gone_.contains(r.machine)) return tell_worker(from, 503, {}, "this machine was given back");
  spread_.heard(from.direct());
  if (from.direct())
    if (int s = keeper_for(r); s >= 0)
      return reply(from.req, 421, wire::encode_redirect(settings_.siblings[static_cast<std::size_t>(s)].node));
  int m = machine_index(r.machine, r.type, r.zone, r.spot);
  Machine &n = machine(m);
  if (std::pair(r.session, r.seq) <= std::pair(n.session, n.seq))
    return tell_worker(from, 503, {}, "a newer report is known"); // late: as old as its task list
  if (n.listed_failed) return tell_worker(from, 503, {}, "this machine has failed");
  if (!n.heard) n.first_heard = now();
  n.address = r.address;
  n.heard = true;
  n.lost = false;
  n.via = from.sibling;
  n.session = r.session;
  n.seq = r.seq;
  n.taken_at = r.notice_s ? std::optional(now() + *r.notice_s) : std::nullopt;
  n.last_answer = now();
  std::vector<TaskOrder> orders;
  take_report(m, r, orders);
  if (n.slots.empty()) {
    if (n.idle_since < 0) n.idle_since = now();
  } else {
    n.idle_since = -1;
  }
  tell_worker(from, 200, orders);
}

void Core::take_report(int m, const WorkerReport &r, std::vector<TaskOrder> &orders) {
  Machine &n = machine(m);
  std::vector<char> in_report(n.slots.size(), 0);
  std::vector<const TaskReport *> unknown;
  std::vector<std::pair<std::size_t, const TaskReport *>> exits;
  for (const auto &t : r.tasks) {
    bool found = false;
    for (std::size_t s = 0; s < in_report.size() && !found; ++s) {
      Slot &slot = n.slots[s];
      if (slot.index != t.index || slot.attempt != t.attempt || slot.job_id != t.job) continue;
      found = true;
      in_report[s] = 1;
      slot.seen = slot.sent = true;
      slot.phase = t.phase;
      if (t.phase == TaskPhase::Running && slot.running_since < 0) {
        slot.running_since = now();
        log(LogLevel::Debug, fmt::format("task {}/{} runs on {}, {:.1f} s after it was placed", slot.job_id, slot.index,
                                         n.name, now() - slot.placed_at));
      }
      if (t.phase == TaskPhase::Exited) exits.emplace_back(s, &t);
    }
    if (!found) unknown.push_back(&t);
  }
  for (auto [s, t] : exits) {
    Slot &slot = n.slots[s];
    if (slot.finished) {
      if (slot.recorded || slot.job < 0)
        orders.push_back({TaskOrder::Verb::Forget, slot.job_id, slot.index, slot.attempt, 0});
      continue;
    }
    task_exited(m, slot, *t);
    if (!slot.finished) {
      orders.push_back({TaskOrder::Verb::Forget, slot.job_id, slot.index, slot.attempt, 0});
      in_report[s] = 2; // gone
    }
  }
  // Proof of absence: the report is newer than every response that could have carried the start.
  for (std::size_t s = in_report.size(); s-- > 0;) {
    Slot &slot = n.slots[s];
    if (in_report[s] == 1) continue;
    if (in_report[s] == 2) {
      int j = slot.job;
      drop_slot(m, s, true);
      if (j >= 0) tend_gang(j);
    } else if (slot.seen || slot.stop) {
      int j = slot.job;
      drop_slot(m, s, true);
      if (j >= 0) tend_gang(j);
    }
    // else: not there yet; the start is (re)sent below
  }
  for (const auto *t : unknown) {
    auto it = job_index_.find(t->job);
    Job *j = it != job_index_.end() ? &job(it->second) : nullptr;
    bool adopt = false;
    if (j && t->index < j->spec.tasks) {
      TaskState state = j->tasks[t->index].state;
      adopt = state == TaskState::Unaccounted || state == TaskState::Pending;
      if (adopt && j->spec.shape == Shape::Gang) {
        if (j->gang_attempt < t->attempt)
          j->gang_attempt = t->attempt;
        else if (j->gang_attempt > t->attempt)
          adopt = t->phase == TaskPhase::Exited;
      }
    }
    if (!adopt) { // ended, or a duplicate: it has to go
      if (t->phase == TaskPhase::Exited) {
        orders.push_back({TaskOrder::Verb::Forget, t->job, t->index, t->attempt, 0});
      } else {
        orders.push_back({TaskOrder::Verb::Stop, t->job, t->index, t->attempt, 0});
        Slot slot;
        slot.job_id = t->job;
        slot.index = t->index;
        slot.attempt = t->attempt;
        slot.phase = t->phase;
        slot.durable = slot.sent = slot.seen = slot.stop = true;
        slot.placed_at = now();
        if (j) slot.need = j->spec.need;
        n.used.add(slot.need);
        n.slots.push_back(std::move(slot));
      }
      continue;
    }
    Slot slot;
    slot.job = it->second;
    slot.job_id = t->job;
    slot.index = t->index;
    slot.attempt = t->attempt;
    slot.phase = t->phase;
    slot.durable = slot.sent = slot.seen = true;
    slot.adopted = j->tasks[t->index].state == TaskState::Unaccounted;
    slot.need = j->spec.need;
    slot.placed_at = now();
    if (t->phase == TaskPhase::Running) slot.running_since = now();
    j->tasks[t->index].started = true;
    set_task(it->second, t->index, TaskState::Placed, m);
    n.used.add(slot.need);
    touch_image(n, j->image, j->spec.image_gb);
    n.slots.push_back(std::move(slot));
    std::size_t s = n.slots.size() - 1;
    if (t->phase == TaskPhase::Exited) {
      task_exited(m, n.slots[s], *t);
      if (!n.slots[s].finished) {
        orders.push_back({TaskOrder::Verb::Forget, t->job, t->index, t->attempt, 0});
        drop_slot(m, s, true);
      }
    } else if (j->cancelled) {
      stop_slot(m, n.slots[s], 0);
    }
  }
  // Room has appeared: a round right now, for this machine alone, lets the next start leave with this very
  // answer, if the task is recorded ahead. Otherwise the machine would stay empty for a whole report interval.
  if (round_wanted_ && !n.returning) round_on(m);
  n.stops_news = false;
  std::size_t starts = 0;
  for (auto &slot : n.slots) {
    if (slot.finished) continue;
    if (slot.stop) {
      if (slot.seen && slot.phase != TaskPhase::Exited)
        orders.push_back({TaskOrder::Verb::Stop, slot.job_id, slot.index, slot.attempt, slot.grace_s});
    } else if (active() && informed() && !slot.seen && slot.durable && slot.job >= 0 && !n.returning &&
               starts < kMaxStartsPerReply) {
      slot.sent = true;
      ++starts;
      orders.push_back({TaskOrder::Verb::Start, slot.job_id, slot.index, slot.attempt, 0});
    }
  }
}

void Core::task_exited(int m, Slot &slot, const TaskReport &t) {
  Machine &n = machine(m);
  if (slot.job < 0) return;
  int j = slot.job;
  Job &k = job(j);
  log(LogLevel::Debug, fmt::format("task {}/{} ended on {}: cause {}, {:.1f} s after it was placed", slot.job_id,
                                   slot.index, n.name, static_cast<int>(t.cause), now() - slot.placed_at));
  if (t.cause == ExitCause::Done && k.spec.shape != Shape::Service) {
    slot.finished = true;
    n.used.add(slot.need, -1);
    set_task(j, slot.index, TaskState::Done);
    if (slot.running_since >= 0) n.busy_cpu_s += (now() - slot.running_since) * slot.need.cpus;
    // What had begun before the failures says nothing about what begins now.
    n.last_good_start = std::max(n.last_good_start, slot.placed_at);
    if (slot.placed_at >= n.failing_since) {
      n.blames.clear();
      n.errors = 0;
    }
    k.failed_on = 0;
    std::erase_if(k.failures, [this](const Failure &f) { return now() - f.at >= kBarredFor; });
    for (const auto &f : k.failures)
      blame(f.machine, k, f.at); // so it was the machines
    mark_dirty(j, finishable(k));
    round_wanted_ = true;
    return;
  }
  if (t.cause == ExitCause::Error) task_failed(m, j);
  round_wanted_ = true;
}

// A sick machine fails the tasks of every job, a job with a mistake fails on every machine. Jobs that succeed
// elsewhere speak against the machine, and machines on which nothing else fails against the job.
void Core::task_failed(int m, int j) {
  Machine &n = machine(m);
  Job &k = job(j);
  const bool was_suspect = suspect(k);
  auto here = std::find_if(k.failures.begin(), k.failures.end(), [m](const Failure &f) { return f.machine == m; });
  if (here != k.failures.end()) {
    here->at = now();
  } else {
    ++k.failed_on;
    if (k.failures.size() >= kMostBarred) k.failures.erase(k.failures.begin());
    k.failures.push_back({m, now()});
  }
  if (!suspect(k)) {
    happened(k, fmt::format("a task failed on machine {} and is started again elsewhere", n.name));
    ++n.errors;
    blame(m, k, now());
    return;
  }
  if (!was_suspect) {
    k.probes = 0;
    absolve(k);
    log(LogLevel::Info, fmt::format("job {} has failed on {} machines and succeeded on none; tried seldom from now on",
                                    k.spec.id, k.failed_on));
    mark_dirty(j, false);
  }
  if (now() >= k.retry_at) {
    k.retry_at = now() + std::min(std::max(kMostProbePause, tunables_.probe_pause_s),
                                  tunables_.probe_pause_s * std::pow(2.0, k.probes));
    if (k.probes < 10) ++k.probes;
  }
}

void Core::blame(int m, const Job &k, double at) {
  Machine &n = machine(m);
  if (n.last_good_start > at) return;
  if (n.blames.empty()) n.failing_since = at;
  const bool proven = k.done > 0;
  auto it = std::find_if(n.blames.begin(), n.blames.end(), [&](const auto &b) { return b.job == k.spec.id; });
  if (it == n.blames.end())
    n.blames.push_back({k.spec.id, proven});
  else
    it->proven |= proven;
  const auto sure = std::count_if(n.blames.begin(), n.blames.end(), [](const auto &b) { return b.proven; });
  if (n.returning || (sure < 2 && n.blames.size() < 3 && !(sure && n.errors >= 3))) return;
  log(LogLevel::Info, fmt::format("machine {} fails tasks of {} jobs; given back", n.name, n.blames.size()));
  n.returning = true;
}

void Core::absolve(const Job &k) {
  for (const auto &f : k.failures) {
    auto &n = machines_[static_cast<std::size_t>(f.machine)];
    if (!n) continue;
    std::erase_if(n->blames, [&](const auto &b) { return b.job == k.spec.id; });
    if (n->blames.empty()) n->errors = 0;
  }
}

void Core::drop_slot(int m, std::size_t s, bool to_pending) {
  Machine &n = machine(m);
  Slot slot = std::move(n.slots[s]);
  n.slots.erase(n.slots.begin() + static_cast<long>(s));
  if (slot.finished) return;
  n.used.add(slot.need, -1);
  if (slot.job < 0 || !to_pending) return;
  Job &k = job(slot.job);
  // An attempt that an earlier leader started may be an old one, shown by a report that was held up: its end
  // says nothing about a later attempt elsewhere, which may not be heard of yet.
  if (k.tasks[slot.index].state == TaskState::Placed && k.tasks[slot.index].machine == m)
    set_task(slot.job, slot.index,
             slot.adopted && unaccounted_until_ > 0 ? TaskState::Unaccounted : TaskState::Pending);
  if (finishable(k)) mark_dirty(slot.job, true);
}

void Core::stop_slot(int m, Slot &slot, double grace) {
  if (slot.finished) return;
  if (!slot.stop && !std::exchange(machine(m).stops_news, true)) stops_news_.push_back(m);
  if (!slot.stop || grace < slot.grace_s) slot.grace_s = grace;
  slot.stop = true;
}

// The worker learns at once what the answer to its next report would tell it. When its tasks have stopped it reports
// by itself, and the answer to that can start their successors: a report interval is won.
void Core::send_stops() {
  for (int m : std::exchange(stops_news_, {})) {
    const auto &p = machines_[static_cast<std::size_t>(m)];
    if (!p || !p->stops_news) continue; // gone, or told with an answer since
    p->stops_news = false;
    if (!active() || p->lost || p->address.empty()) continue;
    WorkerCall call{p->address, term_, p->session, p->name, {}};
    for (const auto &slot : p->slots)
      if (slot.stop && slot.seen && slot.phase != TaskPhase::Exited && call.orders.size() < kMaxStartsPerReply)
        call.orders.push_back({TaskOrder::Verb::Stop, slot.job_id, slot.index, slot.attempt, slot.grace_s});
    if (!call.orders.empty()) effects_.workers.push_back(std::move(call));
  }
}

void Core::lose_machine(int m, std::string_view why) {
  Machine &n = machine(m);
  if (n.lost) return;
  n.lost = true;
  if (!n.slots.empty())
    log(LogLevel::Info, fmt::format("machine {} lost ({}), {} tasks on it", n.name, why, n.slots.size()));
  std::vector<int> touched;
  while (!n.slots.empty()) {
    if (n.slots.back().job >= 0) {
      touched.push_back(n.slots.back().job);
      happened(job(touched.back()), fmt::format("machine {} was lost, {}: its tasks are started again", n.name, why));
    }
    drop_slot(m, n.slots.size() - 1, true);
  }
  for (int j : touched)
    if (jobs_[static_cast<std::size_t>(j)]) tend_gang(j);
}

void Core::remove_machine(int m) {
  lose_machine(m, "given back");
  const Machine &n = machine(m);
  if (n.type >= 0) {
    double lived = now() - n.rented_at;
    log(LogLevel::Info,
        fmt::format("gave back {} ({}{}, {}) after {:.0f} s, up for {:.0f} s, {:.0f}% of its CPU time used", n.name,
                    type_names_.name(n.type), n.spot ? ", spot" : "", zone_names_.name(n.zone), lived,
                    n.first_heard >= 0 ? now() - n.first_heard : 0.0,
                    lived > 0 && n.size.cpus > 0 ? 100 * n.busy_cpu_s / lived / n.size.cpus : 0.0));
  }
  gone_[machine(m).name] = now();
  machine_index_.erase(machine(m).name);
  for (auto &j : jobs_)
    if (j) std::erase_if(j->failures, [m](const Failure &f) { return f.machine == m; });
  machines_[static_cast<std::size_t>(m)].reset();
}

void Core::log_summary() {
  next_summary_ = now() + kSummaryEvery;
  struct Kind {
    int up = 0, booting = 0;
    double cpus = 0, used = 0;
  } kinds[2]; // ordinary, spot
  for (const auto &m : machines_) {
    if (!m || m->lost) continue;
    Kind &k = kinds[m->spot];
    ++(m->heard ? k.up : k.booting);
    if (!m->heard) continue;
    k.cpus += m->size.cpus;
    k.used += m->used.cpus;
  }
  std::uint64_t waiting = 0;
  int open = 0;
  for (const auto &j : jobs_)
    if (j && !j->cancelled) {
      ++open;
      waiting += j->spec.tasks - j->done - j->placed - j->unaccounted;
    }
  log(LogLevel::Info, fmt::format("{} jobs open, {} tasks waiting; ordinary machines: {} up, {} booting, {:.0f} of "
                                  "{:.0f} CPUs placed; spot: {} up, {} booting, {:.0f} of {:.0f}",
                                  open, waiting, kinds[0].up, kinds[0].booting, kinds[0].used, kinds[0].cpus,
                                  kinds[1].up, kinds[1].booting, kinds[1].used, kinds[1].cpus));
}

void Core::tick_fleet() {
  if (now() >= next_summary_) log_summary();
  for (int m = 0; m < static_cast<int>(machines_.size()); ++m) {
    if (!machines_[static_cast<std::size_t>(m)]) continue;
    Machine &n = machine(m);
    // The last 200 that could reach it is ours: earlier leaders' were over before our term began.
    if (active() && n.heard && !n.lost && now() > n.last_answer + settings_.lease_s * (1 + kDrift) + 0.5)
      lose_machine(m, "silent for longer than its lease");
    if (n.taken_at && n.heard && !n.lost) { // drained: tasks that can save do so in time
      double left = *n.taken_at - now();
      for (auto &s : n.slots)
        if (s.job >= 0 && !s.stop && !s.finished && job(s.job).spec.checkpoint_s > 0 &&
            left < job(s.job).spec.save_s + 2 * settings_.report_s + 1)
          stop_slot(m, s, job(s.job).spec.save_s + 1);
    }
  }
}

void Core::touch_image(Machine &m, int image, double gb) {
  if (image < 0) return;
  m.images.remove_if([&](const auto &x) { return x.first == image; });
  m.images.emplace_front(image, gb);
  double sum = 0, cache = m.type >= 0 ? types_[static_cast<std::size_t>(m.type)].cache_gb : 0;
  for (auto it = m.images.begin(); it != m.images.end(); ++it)
    if ((sum += it->second) > cache && it != m.images.begin()) {
      m.images.erase(it, m.images.end());
      break;
    }
}

} // namespace loft::core
