#include "loftrouter/core/fleet.hpp"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace loft::core {

namespace {
constexpr std::size_t kMostOrders = 400; // in one message; keeps it below the protocol's 64 KiB
constexpr double kAnswerPatience = 3.5;  // s; a worker whose answers are lost reports again after 4 s at the soonest
constexpr double kMissedShare = 0.6;     // of a lease: a session that ends sooner after an answer has not had it
constexpr int kUnheeded = 2;             // answers lost in a row, that are no chance any more
} // namespace

// ---- machines come and go ----

int Fleet::index(const std::string &name) const {
  auto it = index_.find(name);
  return it == index_.end() ? -1 : it->second;
}

std::size_t Fleet::live() const {
  return static_cast<std::size_t>(
      std::count_if(machines_.begin(), machines_.end(), [](const auto &m) { return m && m->heard && !m->lost; }));
}

std::size_t Fleet::kept_by(int sibling) const {
  return static_cast<std::size_t>(std::count_if(machines_.begin(), machines_.end(), [sibling](const auto &m) {
    return m && m->heard && !m->lost && m->via == sibling;
  }));
}

std::optional<double> Fleet::gone(const std::string &name) const {
  auto it = gone_.find(name);
  return it == gone_.end() ? std::nullopt : std::optional(it->second);
}

void Fleet::forget_gone(double older_s) {
  std::erase_if(gone_, [&](const auto &g) { return port_.now() - g.second > older_s; });
}

int Fleet::add(const std::string &name, const std::string &type, const std::string &zone, bool spot) {
  if (const int known = index(name); known >= 0) return known;
  int m = -1;
  for (std::size_t i = 0; i < machines_.size() && m < 0; ++i)
    if (!machines_[i]) m = static_cast<int>(i);
  if (m < 0) {
    m = static_cast<int>(machines_.size());
    machines_.emplace_back();
  }
  machines_[static_cast<std::size_t>(m)] = std::make_unique<Machine>();
  Machine &n = at(m);
  n.name = name;
  n.type = catalogue_.find_type(type);
  n.zone = catalogue_.zone(zone);
  n.spot = spot;
  n.known_since = n.rented_at = port_.now();
  n.order = operators_.order(name);
  if (n.type >= 0) n.size = catalogue_.type(n.type).size;
  index_[name] = m;
  return m;
}

void Fleet::set_rented_at(int m, double at_s) {
  at(m).rented_at = at_s;
}

void Fleet::give_back(int m) {
  at(m).returning = true;
}

void Fleet::set_proven(int m) {
  at(m).proven = true;
}

void Fleet::set_draining(int m, bool draining) {
  at(m).draining = draining;
}

void Fleet::listed_failed(int m) {
  if (std::exchange(at(m).listed_failed, true)) return;
  lose(m, "it stopped on its own");
  at(m).returning = true;
}

void Fleet::listed_running(int m) {
  at(m).listed_running = true;
}

void Fleet::lose(int m, std::string_view why) {
  Machine &n = at(m);
  if (n.lost) return;
  n.lost = true;
  events_.publish(MachineLost{m, n.name, std::string(why), n.slots.size()});
  std::vector<int> touched;
  while (!n.slots.empty()) {
    if (const int j = n.slots.back().job; j >= 0) {
      touched.push_back(j);
      events_.publish(TaskLost{j, n.name, std::string(why)});
    }
    drop(m, n.slots.size() - 1);
  }
  for (int j : touched)
    tend_gang(j);
}

void Fleet::remove(int m) {
  lose(m, "given back");
  const Machine &n = at(m);
  const double lived = port_.now() - n.rented_at;
  events_.publish(MachineReturned{m, n.name, n.type >= 0 ? catalogue_.type_name(n.type) : "",
                                  catalogue_.zone_name(n.zone), n.spot, lived,
                                  n.first_heard >= 0 ? port_.now() - n.first_heard : 0.0,
                                  lived > 0 && n.size.cpus > 0 ? n.busy_cpu_s / lived / n.size.cpus : 0.0});
  gone_[n.name] = port_.now();
  index_.erase(n.name);
  machines_[static_cast<std::size_t>(m)].reset();
}

void Fleet::on(const TermEnded &) {
  machines_.clear();
  index_.clear();
  stops_news_.clear();
}

void Fleet::on(const OrdersChanged &e) {
  if (!e.machine.empty()) {
    if (const auto it = index_.find(e.machine); it != index_.end()) at(it->second).order = operators_.order(e.machine);
    return;
  }
  for (auto &m : machines_)
    if (m) m->order = operators_.order(m->name);
}

// ---- reports ----

Fleet::Heard Fleet::hear(int m, const WorkerReport &r, int via) {
  Machine &n = at(m);
  if (std::pair(r.session, r.seq) <= std::pair(n.session, n.seq)) return Heard::Late; // as old as its task list
  if (n.listed_failed) return Heard::Failed;
  if (!n.heard) {
    n.first_heard = port_.now();
    events_.publish(MachineUp{m});
  }
  // A worker has one report in flight and gives an answer 4 s. Each sign by itself may be chance: an answer was lost,
  // a machine was started anew.
  const double since = port_.now() - n.last_answer;
  heeded_ = r.token >= lead_.term() && !n.proven;
  missed_ = false;
  if (n.heard) {
    heeded_ |= since < kAnswerPatience && settings_.report_s < kAnswerPatience && r.token >= lead_.term();
    missed_ = r.token < lead_.term() || (r.session > n.session && since < kMissedShare * settings_.lease_s);
  }
  n.proven |= r.token >= lead_.term();
  if (r.session != n.session) n.session_since = port_.now();
  n.address = r.address;
  n.heard = true;
  n.lost = false;
  n.via = via;
  n.session = r.session;
  n.seq = r.seq;
  n.taken_at = r.notice_s ? std::optional(port_.now() + *r.notice_s) : std::nullopt;
  n.last_answer = port_.now();
  return Heard::Taken;
}

void Fleet::take_tasks(int m, const WorkerReport &r, std::vector<TaskOrder> &orders) {
  Machine &n = at(m);
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
      heeded_ |= slot.sent && !slot.seen; // the answer that held its start has arrived
      slot.seen = slot.sent = true;
      slot.phase = t.phase;
      if (t.phase == TaskPhase::Waiting && slot.waiting_since < 0) slot.waiting_since = port_.now();
      if (t.phase == TaskPhase::Running && slot.running_since < 0) {
        slot.running_since = port_.now();
        if (slot.job >= 0) events_.publish(TaskRuns{slot.job, slot.index, m, port_.now() - slot.placed_at});
      }
      if (t.phase == TaskPhase::Exited) exits.emplace_back(s, &t);
    }
    if (!found) unknown.push_back(&t);
  }
  for (auto [s, t] : exits) {
    Slot &slot = n.slots[s];
    if (slot.finished) {
      if (slot.job < 0 || recorder_.done_recorded(slot.job, slot.index))
        orders.push_back({TaskOrder::Verb::Forget, slot.job_id, slot.index, slot.attempt, 0});
      continue;
    }
    exited(m, slot, *t);
    if (!slot.finished) {
      orders.push_back({TaskOrder::Verb::Forget, slot.job_id, slot.index, slot.attempt, 0});
      in_report[s] = 2; // gone
    }
  }
  for (std::size_t s = 0; s < in_report.size(); ++s)
    missed_ |= in_report[s] == 0 && n.slots[s].sent && !n.slots[s].seen && !n.slots[s].stop;
  judge_hearing(n, heeded_, missed_);
  // Proof of absence: the report is newer than every response that could have carried the start. What is neither
  // there nor was ever seen there is not there yet; its start is sent (again) with the answer, if answers arrive.
  for (std::size_t s = in_report.size(); s-- > 0;) {
    const Slot &slot = n.slots[s];
    if (in_report[s] == 1 || (in_report[s] == 0 && !slot.seen && !slot.stop && !n.deaf())) continue;
    const int j = slot.job;
    drop(m, s);
    if (j >= 0) tend_gang(j);
  }
  for (const auto *t : unknown) {
    const int j = jobs_.index(t->job);
    bool wanted = false;
    if (j >= 0 && t->index < jobs_[j].spec.tasks) {
      const Job &k = jobs_[j];
      const TaskState state = k.tasks[t->index].state;
      wanted = state == TaskState::Unaccounted || state == TaskState::Pending;
      if (wanted && k.spec.shape == Shape::Gang) {
        if (k.gang_attempt > t->attempt)
          wanted = t->phase == TaskPhase::Exited;
        else
          jobs_.adopt_gang_attempt(j, t->attempt);
      }
    }
    if (wanted) {
      adopt(m, j, *t, orders);
    } else if (t->phase == TaskPhase::Exited) { // ended, or a duplicate
      orders.push_back({TaskOrder::Verb::Forget, t->job, t->index, t->attempt, 0});
    } else { // it has to go
      orders.push_back({TaskOrder::Verb::Stop, t->job, t->index, t->attempt, 0});
      Slot slot;
      slot.job_id = t->job;
      slot.index = t->index;
      slot.attempt = t->attempt;
      slot.phase = t->phase;
      slot.sent = slot.seen = slot.stop = true;
      slot.placed_at = port_.now();
      if (j >= 0) slot.need = jobs_[j].spec.need;
      n.used.add(slot.need);
      n.slots.push_back(std::move(slot));
    }
  }
}

// Guards against a machine whose reports arrive while nothing reaches it: it looks alive, and tasks given to it wait
// for ever. Its lease runs out again and again; one whose session has lasted longer hears answers once more.
void Fleet::judge_hearing(Machine &n, bool heeded, bool missed) {
  if (missed) {
    if (++n.unheeded >= kUnheeded && !n.deaf()) {
      n.deaf_since = port_.now();
      port_.log(LogLevel::Info, "machine_hears_nothing",
                {{"machine", n.name}, {"session", n.session}, {"then", "its reports arrive; it gets no tasks"}});
    }
    return;
  }
  if (n.deaf())
    heeded |= port_.now() - std::max(n.session_since, n.deaf_since) > 1.3 * settings_.lease_s + settings_.report_s;
  if (!heeded) return;
  if (n.deaf()) port_.log(LogLevel::Info, "machine_hears_again", {{"machine", n.name}});
  n.unheeded = 0;
  n.deaf_since = -1;
}

// A task that an earlier leader started.
void Fleet::adopt(int m, int j, const TaskReport &t, std::vector<TaskOrder> &orders) {
  Machine &n = at(m);
  const Job &k = jobs_[j];
  Slot slot;
  slot.job = j;
  slot.job_id = t.job;
  slot.index = t.index;
  slot.attempt = t.attempt;
  slot.phase = t.phase;
  slot.sent = slot.seen = true;
  slot.adopted = k.tasks[t.index].state == TaskState::Unaccounted;
  slot.need = k.spec.need;
  slot.placed_at = slot.held_since = port_.now();
  if (t.phase == TaskPhase::Waiting) slot.waiting_since = port_.now();
  if (t.phase == TaskPhase::Running) slot.running_since = port_.now();
  recorder_.start(j, t.index);
  events_.publish(TaskHeld{j, t.index, m, true, slot.adopted});
  jobs_.place(j, t.index, m, n.zone);
  n.used.add(slot.need);
  touch_image(n, k.image, k.spec.image_gb);
  n.slots.push_back(std::move(slot));
  const std::size_t s = n.slots.size() - 1;
  if (t.phase == TaskPhase::Exited) {
    exited(m, n.slots[s], t);
    if (n.slots[s].finished) return;
    orders.push_back({TaskOrder::Verb::Forget, t.job, t.index, t.attempt, 0});
    drop(m, s);
  } else if (k.cancelled) {
    order_stop(m, n.slots[s], 0);
  }
}

void Fleet::exited(int m, Slot &slot, const TaskReport &t) {
  Machine &n = at(m);
  if (slot.job < 0) return;
  events_.publish(TaskExited{slot.job, slot.index, m, n.name, t.cause, slot.placed_at, slot.running_since});
  if (t.cause != ExitCause::Done || jobs_[slot.job].spec.shape == Shape::Service) return;
  slot.finished = true;
  freed(m, slot, true);
  n.used.add(slot.need, -1);
  jobs_.finish(slot.job, slot.index);
  if (slot.running_since >= 0) n.busy_cpu_s += (port_.now() - slot.running_since) * slot.need.cpus;
}

void Fleet::answer(int m, bool may_start, std::vector<TaskOrder> &orders) {
  Machine &n = at(m);
  n.stops_news = false;
  std::size_t starts = 0;
  for (auto &slot : n.slots) {
    if (slot.finished) continue;
    if (slot.stop) {
      if (slot.seen && slot.phase != TaskPhase::Exited)
        orders.push_back({TaskOrder::Verb::Stop, slot.job_id, slot.index, slot.attempt, slot.grace_s});
    } else if (may_start && !n.deaf() && !slot.seen && slot.job >= 0 && !jobs_[slot.job].paused &&
               recorder_.recorded(slot.job, slot.index) && !n.returning && starts < kMostOrders) {
      if (!std::exchange(slot.sent, true)) {
        slot.held_since = port_.now();
        events_.publish(TaskHeld{slot.job, slot.index, m, false, false});
      }
      ++starts;
      orders.push_back({TaskOrder::Verb::Start, slot.job_id, slot.index, slot.attempt, 0});
    }
  }
  if (!n.slots.empty())
    n.idle_since = -1;
  else if (n.idle_since < 0)
    n.idle_since = port_.now();
  assert(consistent(m));
}

// ---- slots ----

void Fleet::put(int m, int j, std::uint32_t i, std::uint64_t attempt) {
  Machine &n = at(m);
  const Job &k = jobs_[j];
  Slot slot;
  slot.job = j;
  slot.job_id = k.spec.id;
  slot.index = i;
  slot.attempt = attempt;
  slot.need = k.spec.need;
  slot.placed_at = port_.now();
  n.used.add(slot.need);
  n.idle_since = -1;
  touch_image(n, k.image, k.spec.image_gb);
  n.slots.push_back(std::move(slot));
}

void Fleet::drop(int m, std::size_t s) {
  Machine &n = at(m);
  const Slot slot = std::move(n.slots[s]);
  n.slots.erase(n.slots.begin() + static_cast<long>(s));
  if (slot.finished) return;
  freed(m, slot, false);
  n.used.add(slot.need, -1);
  // An attempt that an earlier leader started may be an old one, shown by a report that was held up: its end
  // says nothing about a later attempt elsewhere, which may not be heard of yet.
  if (slot.job >= 0) jobs_.release(slot.job, slot.index, m, slot.adopted && jobs_.unaccounted_until() > 0);
}

void Fleet::freed(int m, const Slot &s, bool done) {
  if (s.job < 0 || s.held_since < 0) return; // nobody's, or never sent
  const Machine &n = at(m);
  events_.publish(
      TaskFreed{s.job, s.index, m, done, s.held_since, s.waiting_since, s.running_since, n.type, n.zone, n.spot});
}

void Fleet::stop(int m, std::size_t s, double grace_s) {
  Slot &slot = at(m).slots[s];
  if (!slot.sent && !slot.seen)
    drop(m, s);
  else
    order_stop(m, slot, grace_s);
}

bool Fleet::stop_all(int j, double grace_s) {
  bool news = false;
  for (int m = 0; m < static_cast<int>(machines_.size()); ++m)
    if (machines_[static_cast<std::size_t>(m)])
      for (std::size_t s = at(m).slots.size(); s-- > 0;) {
        const Slot &slot = at(m).slots[s];
        if (slot.job != j || slot.finished) continue;
        news |= !slot.stop;
        stop(m, s, grace_s);
      }
  return news;
}

void Fleet::withdraw(int j) {
  for (int m = 0; m < static_cast<int>(machines_.size()); ++m)
    if (machines_[static_cast<std::size_t>(m)])
      for (std::size_t s = at(m).slots.size(); s-- > 0;)
        if (const Slot &slot = at(m).slots[s]; slot.job == j && !slot.sent && !slot.seen) drop(m, s);
}

void Fleet::order_stop(int m, Slot &slot, double grace_s) {
  if (slot.finished) return;
  if (!slot.stop && !std::exchange(at(m).stops_news, true)) stops_news_.push_back(m);
  if (!slot.stop || grace_s < slot.grace_s) slot.grace_s = grace_s;
  slot.stop = true;
}

void Fleet::tend_gang(int j) {
  const Job &n = jobs_[j];
  if (n.spec.shape != Shape::Gang || n.placed == 0) return;
  bool started = n.gang_closed;
  const bool missing = n.placed + n.done + n.unaccounted < n.spec.tasks;
  for (const auto &m : machines_)
    if (m)
      for (const auto &s : m->slots)
        if (s.job == j && (s.phase == TaskPhase::Running || s.phase == TaskPhase::Saving || s.stop)) started = true;
  if (!started || !missing) return jobs_.close_gang(j, started);
  jobs_.close_gang(j, true);
  stop_all(j, n.spec.save_s + 1);
}

void Fleet::on(const JobOver &e) {
  for (auto &m : machines_)
    if (m)
      for (auto &s : m->slots)
        if (s.job == e.job) {
          s.job = -1; // stopped at the next report, as any task of an unknown job
          s.stop = true;
          s.grace_s = 0;
        }
}

// ---- time ----

void Fleet::tick() {
  for (int m = 0; m < static_cast<int>(machines_.size()); ++m) {
    if (!machines_[static_cast<std::size_t>(m)]) continue;
    Machine &n = at(m);
    // The last 200 that could reach it is ours: earlier leaders' were over before our term began.
    if (lead_.active() && n.heard && !n.lost && port_.now() > n.last_answer + settings_.lease_s * (1 + kDrift) + 0.5)
      lose(m, "silent for longer than its lease");
    if (n.taken_at && n.heard && !n.lost) { // drained: tasks that can save do so in time
      const double left = *n.taken_at - port_.now();
      for (auto &s : n.slots)
        if (s.job >= 0 && !s.stop && !s.finished && jobs_[s.job].spec.checkpoint_s > 0 &&
            left < jobs_[s.job].spec.save_s + 2 * settings_.report_s + 1)
          order_stop(m, s, jobs_[s.job].spec.save_s + 1);
    }
  }
}

// The worker learns at once what the answer to its next report would tell it. When its tasks have stopped it reports
// by itself, and the answer to that can start their successors: a report interval is won. Also of tasks whose start has
// been sent and not been seen: what fetches its image when its job is cancelled never starts, and where the start has
// not arrived the order says nothing (its attempt's number is not used again).
void Fleet::send_stops() {
  for (int m : std::exchange(stops_news_, {})) {
    const auto &p = machines_[static_cast<std::size_t>(m)];
    if (!p || !p->stops_news) continue; // gone, or told with an answer since
    p->stops_news = false;
    if (!lead_.active() || p->lost || p->address.empty()) continue;
    WorkerCall call{p->address, lead_.term(), p->session, p->name, {}};
    for (const auto &slot : p->slots)
      if (slot.stop && slot.sent && slot.phase != TaskPhase::Exited && call.orders.size() < kMostOrders)
        call.orders.push_back({TaskOrder::Verb::Stop, slot.job_id, slot.index, slot.attempt, slot.grace_s});
    if (!call.orders.empty()) port_.call(std::move(call));
  }
}

// ---- looking on ----

std::vector<std::uint32_t> Fleet::running_counts() const {
  std::vector<std::uint32_t> out(jobs_.slots(), 0);
  jobs_.each([&](int j, const Job &n) { out[static_cast<std::size_t>(j)] = n.unaccounted + n.lent_running; });
  for (const auto &m : machines_)
    if (m)
      for (const auto &s : m->slots)
        if (s.job >= 0 && !s.finished && s.phase == TaskPhase::Running) ++out[static_cast<std::size_t>(s.job)];
  return out;
}

std::uint32_t Fleet::running(int j) const {
  std::uint32_t out = jobs_[j].unaccounted + jobs_[j].lent_running;
  for (const auto &m : machines_)
    if (m)
      for (const auto &s : m->slots)
        out += s.job == j && !s.finished && s.phase == TaskPhase::Running;
  return out;
}

bool Fleet::consistent(int m) const {
  const Machine &n = *find(m);
  Resources used;
  for (const auto &s : n.slots) {
    if (!s.finished) used.add(s.need);
    // A task that was placed here is bound to this machine until its slot goes.
    if (s.job < 0 || s.finished) continue;
    const Task &t = jobs_[s.job].tasks[s.index];
    if (t.state != TaskState::Placed || t.machine != m) return false;
  }
  return std::abs(used.cpus - n.used.cpus) < 1e-3 && std::abs(used.memory - n.used.memory) < 1e-3;
}

void Fleet::touch_image(Machine &m, int image, double gb) {
  if (image < 0) return;
  m.images.remove_if([&](const auto &x) { return x.first == image; });
  m.images.emplace_front(image, gb);
  double sum = 0;
  const double cache = m.type >= 0 ? catalogue_.type(m.type).cache_gb : 0;
  for (auto it = m.images.begin(); it != m.images.end(); ++it)
    if ((sum += it->second) > cache && it != m.images.begin()) {
      m.images.erase(it, m.images.end());
      break;
    }
}

} // namespace loft::core
