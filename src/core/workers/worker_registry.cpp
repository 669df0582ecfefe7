#include "loftrouter/core/workers/worker_registry.hpp"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace loftrouter::core {

namespace {
constexpr std::size_t kMaxOrders = 400; // in one message; keeps it below the protocol's 64 KiB
constexpr double kAnswerPatience = 3.5; // s; a worker whose answers are lost reports again after 4 s at the soonest
constexpr double kMissedShare = 0.6;    // of a lease: a session that ends sooner after an answer has not had it
constexpr int kMaxUnacknowledgedResponses = 2; // answers lost in a row, that are no chance any more
} // namespace

// ---- machines come and go ----

int WorkerRegistry::index(const std::string &name) const {
  auto it = index_.find(name);
  return it == index_.end() ? -1 : it->second;
}

std::size_t WorkerRegistry::live() const {
  return static_cast<std::size_t>(
      std::count_if(machines_.begin(), machines_.end(), [](const auto &m) { return m && m->heard && !m->lost; }));
}

std::size_t WorkerRegistry::kept_by(int replica) const {
  return static_cast<std::size_t>(std::count_if(machines_.begin(), machines_.end(), [replica](const auto &m) {
    return m && m->heard && !m->lost && m->forwarding_replica == replica;
  }));
}

std::optional<double> WorkerRegistry::gone(const std::string &name) const {
  auto it = gone_.find(name);
  return it == gone_.end() ? std::nullopt : std::optional(it->second);
}

void WorkerRegistry::forget_gone(double older_s) {
  std::erase_if(gone_, [&](const auto &g) { return runtime_.now() - g.second > older_s; });
}

int WorkerRegistry::add(const std::string &name, const std::string &type, const std::string &zone, bool spot) {
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
  n.type = catalog_.find_type(type);
  n.zone = catalog_.zone(zone);
  n.spot = spot;
  n.known_since = n.rented_at = runtime_.now();
  n.order = operators_.order(name);
  if (n.type >= 0) n.size = catalog_.type(n.type).size;
  index_[name] = m;
  return m;
}

void WorkerRegistry::set_rented_at(int m, double at_s) {
  at(m).rented_at = at_s;
}

void WorkerRegistry::give_back(int m) {
  at(m).returning = true;
}

void WorkerRegistry::set_verified(int m) {
  at(m).verified = true;
}

void WorkerRegistry::set_draining(int m, bool draining) {
  at(m).draining = draining;
}

void WorkerRegistry::listed_failed(int m) {
  if (std::exchange(at(m).listed_failed, true)) return;
  lose(m, "it stopped on its own");
  at(m).returning = true;
}

void WorkerRegistry::listed_running(int m) {
  at(m).listed_running = true;
}

void WorkerRegistry::lose(int m, std::string_view why) {
  Machine &n = at(m);
  if (n.lost) return;
  n.lost = true;
  events_.publish(MachineLost{m, n.name, std::string(why), n.allocations.size()});
  std::vector<int> touched;
  while (!n.allocations.empty()) {
    if (const int j = n.allocations.back().job; j >= 0) {
      touched.push_back(j);
      events_.publish(TaskLost{j, n.name, std::string(why)});
    }
    drop(m, n.allocations.size() - 1);
  }
  for (int j : touched)
    tend_gang(j);
}

void WorkerRegistry::remove(int m) {
  lose(m, "given back");
  const Machine &n = at(m);
  const double lived = runtime_.now() - n.rented_at;
  events_.publish(MachineRemoved{m, n.name, n.type >= 0 ? catalog_.type_name(n.type) : "", catalog_.zone_name(n.zone),
                                 n.spot, lived, n.first_heard >= 0 ? runtime_.now() - n.first_heard : 0.0,
                                 lived > 0 && n.size.cpus > 0 ? n.busy_cpu_s / lived / n.size.cpus : 0.0});
  gone_[n.name] = runtime_.now();
  index_.erase(n.name);
  machines_[static_cast<std::size_t>(m)].reset();
}

void WorkerRegistry::on(const TermEnded &) {
  machines_.clear();
  index_.clear();
  stops_news_.clear();
}

void WorkerRegistry::on(const MachineAdminStatesChanged &e) {
  if (!e.machine.empty()) {
    if (const auto it = index_.find(e.machine); it != index_.end()) at(it->second).order = operators_.order(e.machine);
    return;
  }
  for (auto &m : machines_)
    if (m) m->order = operators_.order(m->name);
}

// ---- reports ----

WorkerRegistry::Heard WorkerRegistry::hear(int m, const Heartbeat &r, int forwarding_replica) {
  Machine &n = at(m);
  if (std::pair(r.incarnation, r.sequence) <= std::pair(n.incarnation, n.sequence))
    return Heard::Late; // as old as its task list
  if (n.listed_failed) return Heard::Failed;
  if (!n.heard) {
    n.first_heard = runtime_.now();
    events_.publish(MachineJoined{m});
  }
  // A worker has one report in flight and gives an answer 4 s. Each sign by itself may be chance: an answer was lost,
  // a machine was started anew.
  const double since = runtime_.now() - n.last_answer;
  heeded_ = r.fencing_token >= leadership_.term() && !n.verified;
  missed_ = false;
  if (n.heard) {
    heeded_ |= since < kAnswerPatience && settings_.heartbeat_interval_s < kAnswerPatience &&
               r.fencing_token >= leadership_.term();
    missed_ = r.fencing_token < leadership_.term() ||
              (r.incarnation > n.incarnation && since < kMissedShare * settings_.lease_s);
  }
  n.verified |= r.fencing_token >= leadership_.term();
  if (r.incarnation != n.incarnation) n.incarnation_since = runtime_.now();
  n.address = r.address;
  n.heard = true;
  n.lost = false;
  n.forwarding_replica = forwarding_replica;
  n.incarnation = r.incarnation;
  n.sequence = r.sequence;
  n.taken_at = r.notice_s ? std::optional(runtime_.now() + *r.notice_s) : std::nullopt;
  n.last_answer = runtime_.now();
  return Heard::Taken;
}

void WorkerRegistry::take_tasks(int m, const Heartbeat &r, std::vector<TaskCommand> &orders) {
  Machine &n = at(m);
  std::vector<char> in_report(n.allocations.size(), 0);
  std::vector<const TaskStatus *> unknown;
  std::vector<std::pair<std::size_t, const TaskStatus *>> exits;
  for (const auto &t : r.tasks) {
    bool found = false;
    for (std::size_t s = 0; s < in_report.size() && !found; ++s) {
      Allocation &allocation = n.allocations[s];
      if (allocation.index != t.index || allocation.attempt != t.attempt || allocation.job_id != t.job) continue;
      found = true;
      in_report[s] = 1;
      heeded_ |= allocation.sent && !allocation.seen; // the answer that held its start has arrived
      allocation.seen = allocation.sent = true;
      allocation.phase = t.phase;
      if (t.phase == TaskPhase::Waiting && allocation.waiting_since < 0) allocation.waiting_since = runtime_.now();
      if (t.phase == TaskPhase::Running && allocation.running_since < 0) {
        allocation.running_since = runtime_.now();
        if (allocation.job >= 0)
          events_.publish(TaskRunning{allocation.job, allocation.index, m, runtime_.now() - allocation.placed_at});
      }
      if (t.phase == TaskPhase::Exited) exits.emplace_back(s, &t);
    }
    if (!found) unknown.push_back(&t);
  }
  for (auto [s, t] : exits) {
    Allocation &allocation = n.allocations[s];
    if (allocation.finished) {
      if (allocation.job < 0 || state_writer_.done_recorded(allocation.job, allocation.index))
        orders.push_back({TaskCommand::Verb::Forget, allocation.job_id, allocation.index, allocation.attempt, 0});
      continue;
    }
    exited(m, allocation, *t);
    if (!allocation.finished) {
      orders.push_back({TaskCommand::Verb::Forget, allocation.job_id, allocation.index, allocation.attempt, 0});
      in_report[s] = 2; // gone
    }
  }
  for (std::size_t s = 0; s < in_report.size(); ++s)
    missed_ |= in_report[s] == 0 && n.allocations[s].sent && !n.allocations[s].seen && !n.allocations[s].stop;
  update_downlink_state(n, heeded_, missed_);
  // Proof of absence: the report is newer than every response that could have carried the start. What is neither
  // there nor was ever seen there is not there yet; its start is sent (again) with the answer, if answers arrive.
  for (std::size_t s = in_report.size(); s-- > 0;) {
    const Allocation &allocation = n.allocations[s];
    if (in_report[s] == 1 || (in_report[s] == 0 && !allocation.seen && !allocation.stop && !n.downlink_lost()))
      continue;
    const int j = allocation.job;
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
      orders.push_back({TaskCommand::Verb::Forget, t->job, t->index, t->attempt, 0});
    } else { // it has to go
      orders.push_back({TaskCommand::Verb::Stop, t->job, t->index, t->attempt, 0});
      Allocation allocation;
      allocation.job_id = t->job;
      allocation.index = t->index;
      allocation.attempt = t->attempt;
      allocation.phase = t->phase;
      allocation.sent = allocation.seen = allocation.stop = true;
      allocation.placed_at = runtime_.now();
      if (j >= 0) allocation.need = jobs_[j].spec.need;
      n.used.add(allocation.need);
      n.allocations.push_back(std::move(allocation));
    }
  }
}

// Guards against a machine whose reports arrive while nothing reaches it: it looks alive, and tasks given to it wait
// for ever. Its lease runs out again and again; one whose session has lasted longer hears answers once more.
void WorkerRegistry::update_downlink_state(Machine &n, bool heeded, bool missed) {
  if (missed) {
    if (++n.unacknowledged_responses >= kMaxUnacknowledgedResponses && !n.downlink_lost()) {
      n.downlink_lost_since = runtime_.now();
      runtime_.log(LogLevel::Info, "worker_downlink_lost",
                   {{"machine", n.name}, {"session", n.incarnation}, {"then", "its reports arrive; it gets no tasks"}});
    }
    return;
  }
  if (n.downlink_lost())
    heeded |= runtime_.now() - std::max(n.incarnation_since, n.downlink_lost_since) >
              1.3 * settings_.lease_s + settings_.heartbeat_interval_s;
  if (!heeded) return;
  if (n.downlink_lost()) runtime_.log(LogLevel::Info, "worker_downlink_restored", {{"machine", n.name}});
  n.unacknowledged_responses = 0;
  n.downlink_lost_since = -1;
}

// A task that an earlier leader started.
void WorkerRegistry::adopt(int m, int j, const TaskStatus &t, std::vector<TaskCommand> &orders) {
  Machine &n = at(m);
  const Job &k = jobs_[j];
  Allocation allocation;
  allocation.job = j;
  allocation.job_id = t.job;
  allocation.index = t.index;
  allocation.attempt = t.attempt;
  allocation.phase = t.phase;
  allocation.sent = allocation.seen = true;
  allocation.adopted = k.tasks[t.index].state == TaskState::Unaccounted;
  allocation.need = k.spec.need;
  allocation.placed_at = allocation.held_since = runtime_.now();
  if (t.phase == TaskPhase::Waiting) allocation.waiting_since = runtime_.now();
  if (t.phase == TaskPhase::Running) allocation.running_since = runtime_.now();
  state_writer_.start(j, t.index);
  events_.publish(TaskAllocated{j, t.index, m, true, allocation.adopted});
  jobs_.place(j, t.index, m, n.zone);
  n.used.add(allocation.need);
  touch_image(n, k.image, k.spec.image_gb);
  n.allocations.push_back(std::move(allocation));
  const std::size_t s = n.allocations.size() - 1;
  if (t.phase == TaskPhase::Exited) {
    exited(m, n.allocations[s], t);
    if (n.allocations[s].finished) return;
    orders.push_back({TaskCommand::Verb::Forget, t.job, t.index, t.attempt, 0});
    drop(m, s);
  } else if (k.cancelled) {
    order_stop(m, n.allocations[s], 0);
  }
}

void WorkerRegistry::exited(int m, Allocation &allocation, const TaskStatus &t) {
  Machine &n = at(m);
  if (allocation.job < 0) return;
  events_.publish(
      TaskExited{allocation.job, allocation.index, m, n.name, t.cause, allocation.placed_at, allocation.running_since});
  if (t.cause != ExitCause::Done || jobs_[allocation.job].spec.shape == Shape::Service) return;
  allocation.finished = true;
  freed(m, allocation, true);
  n.used.add(allocation.need, -1);
  jobs_.finish(allocation.job, allocation.index);
  if (allocation.running_since >= 0) n.busy_cpu_s += (runtime_.now() - allocation.running_since) * allocation.need.cpus;
}

void WorkerRegistry::answer(int m, bool may_start, std::vector<TaskCommand> &orders) {
  Machine &n = at(m);
  n.stops_news = false;
  std::size_t starts = 0;
  for (auto &allocation : n.allocations) {
    if (allocation.finished) continue;
    if (allocation.stop) {
      if (allocation.seen && allocation.phase != TaskPhase::Exited)
        orders.push_back(
            {TaskCommand::Verb::Stop, allocation.job_id, allocation.index, allocation.attempt, allocation.grace_s});
    } else if (may_start && !n.downlink_lost() && !allocation.seen && allocation.job >= 0 &&
               !jobs_[allocation.job].paused && state_writer_.recorded(allocation.job, allocation.index) &&
               !n.returning && starts < kMaxOrders) {
      if (!std::exchange(allocation.sent, true)) {
        allocation.held_since = runtime_.now();
        events_.publish(TaskAllocated{allocation.job, allocation.index, m, false, false});
      }
      ++starts;
      orders.push_back({TaskCommand::Verb::Start, allocation.job_id, allocation.index, allocation.attempt, 0});
    }
  }
  if (!n.allocations.empty())
    n.idle_since = -1;
  else if (n.idle_since < 0)
    n.idle_since = runtime_.now();
  assert(consistent(m));
}

// ---- slots ----

void WorkerRegistry::put(int m, int j, std::uint32_t i, std::uint64_t attempt) {
  Machine &n = at(m);
  const Job &k = jobs_[j];
  Allocation allocation;
  allocation.job = j;
  allocation.job_id = k.spec.id;
  allocation.index = i;
  allocation.attempt = attempt;
  allocation.need = k.spec.need;
  allocation.placed_at = runtime_.now();
  n.used.add(allocation.need);
  n.idle_since = -1;
  touch_image(n, k.image, k.spec.image_gb);
  n.allocations.push_back(std::move(allocation));
}

void WorkerRegistry::drop(int m, std::size_t s) {
  Machine &n = at(m);
  const Allocation allocation = std::move(n.allocations[s]);
  n.allocations.erase(n.allocations.begin() + static_cast<long>(s));
  if (allocation.finished) return;
  freed(m, allocation, false);
  n.used.add(allocation.need, -1);
  // An attempt that an earlier leader started may be an old one, shown by a report that was held up: its end
  // says nothing about a later attempt elsewhere, which may not be heard of yet.
  if (allocation.job >= 0)
    jobs_.release(allocation.job, allocation.index, m, allocation.adopted && jobs_.unaccounted_until() > 0);
}

void WorkerRegistry::freed(int m, const Allocation &s, bool done) {
  if (s.job < 0 || s.held_since < 0) return; // nobody's, or never sent
  const Machine &n = at(m);
  events_.publish(
      TaskReleased{s.job, s.index, m, done, s.held_since, s.waiting_since, s.running_since, n.type, n.zone, n.spot});
}

void WorkerRegistry::stop(int m, std::size_t s, double grace_s) {
  Allocation &allocation = at(m).allocations[s];
  if (!allocation.sent && !allocation.seen)
    drop(m, s);
  else
    order_stop(m, allocation, grace_s);
}

bool WorkerRegistry::stop_all(int j, double grace_s) {
  bool news = false;
  for (int m = 0; m < static_cast<int>(machines_.size()); ++m)
    if (machines_[static_cast<std::size_t>(m)])
      for (std::size_t s = at(m).allocations.size(); s-- > 0;) {
        const Allocation &allocation = at(m).allocations[s];
        if (allocation.job != j || allocation.finished) continue;
        news |= !allocation.stop;
        stop(m, s, grace_s);
      }
  return news;
}

void WorkerRegistry::withdraw(int j) {
  for (int m = 0; m < static_cast<int>(machines_.size()); ++m)
    if (machines_[static_cast<std::size_t>(m)])
      for (std::size_t s = at(m).allocations.size(); s-- > 0;)
        if (const Allocation &allocation = at(m).allocations[s];
            allocation.job == j && !allocation.sent && !allocation.seen)
          drop(m, s);
}

void WorkerRegistry::order_stop(int m, Allocation &allocation, double grace_s) {
  if (allocation.finished) return;
  if (!allocation.stop && !std::exchange(at(m).stops_news, true)) stops_news_.push_back(m);
  if (!allocation.stop || grace_s < allocation.grace_s) allocation.grace_s = grace_s;
  allocation.stop = true;
}

void WorkerRegistry::tend_gang(int j) {
  const Job &n = jobs_[j];
  if (n.spec.shape != Shape::Gang || n.placed == 0) return;
  bool started = n.gang_closed;
  const bool missing = n.placed + n.done + n.unaccounted < n.spec.tasks;
  for (const auto &m : machines_)
    if (m)
      for (const auto &s : m->allocations)
        if (s.job == j && (s.phase == TaskPhase::Running || s.phase == TaskPhase::Saving || s.stop)) started = true;
  if (!started || !missing) return jobs_.close_gang(j, started);
  jobs_.close_gang(j, true);
  stop_all(j, n.spec.save_s + 1);
}

void WorkerRegistry::on(const JobFinalized &e) {
  for (auto &m : machines_)
    if (m)
      for (auto &s : m->allocations)
        if (s.job == e.job) {
          s.job = -1; // stopped at the next report, as any task of an unknown job
          s.stop = true;
          s.grace_s = 0;
        }
}

// ---- time ----

void WorkerRegistry::tick() {
  for (int m = 0; m < static_cast<int>(machines_.size()); ++m) {
    if (!machines_[static_cast<std::size_t>(m)]) continue;
    Machine &n = at(m);
    // The last 200 that could reach it is ours: earlier leaders' were over before our term began.
    if (leadership_.active() && n.heard && !n.lost &&
        runtime_.now() > n.last_answer + settings_.lease_s * (1 + kDrift) + 0.5)
      lose(m, "silent for longer than its lease");
    if (n.taken_at && n.heard && !n.lost) { // drained: tasks that can save do so in time
      const double left = *n.taken_at - runtime_.now();
      for (auto &s : n.allocations)
        if (s.job >= 0 && !s.stop && !s.finished && jobs_[s.job].spec.checkpoint_s > 0 &&
            left < jobs_[s.job].spec.save_s + 2 * settings_.heartbeat_interval_s + 1)
          order_stop(m, s, jobs_[s.job].spec.save_s + 1);
    }
  }
}

// The worker learns at once what the answer to its next report would tell it. When its tasks have stopped it reports
// by itself, and the answer to that can start their successors: a report interval is won. Also of tasks whose start has
// been sent and not been seen: what fetches its image when its job is cancelled never starts, and where the start has
// not arrived the order says nothing (its attempt's number is not used again).
void WorkerRegistry::send_stops() {
  for (int m : std::exchange(stops_news_, {})) {
    const auto &p = machines_[static_cast<std::size_t>(m)];
    if (!p || !p->stops_news) continue; // gone, or told with an answer since
    p->stops_news = false;
    if (!leadership_.active() || p->lost || p->address.empty()) continue;
    WorkerCall call{p->address, leadership_.term(), p->incarnation, p->name, {}};
    for (const auto &allocation : p->allocations)
      if (allocation.stop && allocation.sent && allocation.phase != TaskPhase::Exited &&
          call.orders.size() < kMaxOrders)
        call.orders.push_back(
            {TaskCommand::Verb::Stop, allocation.job_id, allocation.index, allocation.attempt, allocation.grace_s});
    if (!call.orders.empty()) runtime_.call(std::move(call));
  }
}

// ---- looking on ----

std::vector<std::uint32_t> WorkerRegistry::running_counts() const {
  std::vector<std::uint32_t> out(jobs_.index_limit(), 0);
  jobs_.each([&](int j, const Job &n) { out[static_cast<std::size_t>(j)] = n.unaccounted + n.delegated_running; });
  for (const auto &m : machines_)
    if (m)
      for (const auto &s : m->allocations)
        if (s.job >= 0 && !s.finished && s.phase == TaskPhase::Running) ++out[static_cast<std::size_t>(s.job)];
  return out;
}

std::uint32_t WorkerRegistry::running(int j) const {
  std::uint32_t out = jobs_[j].unaccounted + jobs_[j].delegated_running;
  for (const auto &m : machines_)
    if (m)
      for (const auto &s : m->allocations)
        out += s.job == j && !s.finished && s.phase == TaskPhase::Running;
  return out;
}

bool WorkerRegistry::consistent(int m) const {
  const Machine &n = *find(m);
  Resources used;
  for (const auto &s : n.allocations) {
    if (!s.finished) used.add(s.need);
    // A task that was placed here is bound to this machine until its slot goes.
    if (s.job < 0 || s.finished) continue;
    const Task &t = jobs_[s.job].tasks[s.index];
    if (t.state != TaskState::Placed || t.machine != m) return false;
  }
  return std::abs(used.cpus - n.used.cpus) < 1e-3 && std::abs(used.memory - n.used.memory) < 1e-3;
}

void WorkerRegistry::touch_image(Machine &m, int image, double gb) {
  if (image < 0) return;
  m.images.remove_if([&](const auto &x) { return x.first == image; });
  m.images.emplace_front(image, gb);
  double sum = 0;
  const double cache = m.type >= 0 ? catalog_.type(m.type).cache_gb : 0;
  for (auto it = m.images.begin(); it != m.images.end(); ++it)
    if ((sum += it->second) > cache && it != m.images.begin()) {
      m.images.erase(it, m.images.end());
      break;
    }
}

} // namespace loftrouter::core
