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

MachineIndex WorkerRegistry::index(const std::string &name) const {
  auto it = index_.find(name);
  return it == index_.end() ? MachineIndex() : it->second;
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

MachineIndex WorkerRegistry::add(const std::string &name, const std::string &type, const std::string &zone, bool spot) {
  if (const MachineIndex known = index(name); known.valid()) return known;
  MachineIndex machine_index;
  for (std::size_t i = 0; i < machines_.size() && !machine_index.valid(); ++i)
    if (!machines_[i]) machine_index = MachineIndex(i);
  if (!machine_index.valid()) {
    machine_index = MachineIndex(machines_.size());
    machines_.emplace_back();
  }
  machines_[machine_index.position()] = std::make_unique<Machine>();
  Machine &machine = at(machine_index);
  machine.name = name;
  machine.type = catalog_.find_type(type);
  machine.zone = catalog_.zone(zone);
  machine.spot = spot;
  machine.known_since = machine.rented_at = runtime_.now();
  machine.order = operators_.order(name);
  if (machine.type >= 0) machine.size = catalog_.type(machine.type).size;
  index_[name] = machine_index;
  return machine_index;
}

void WorkerRegistry::set_rented_at(MachineIndex machine_index, double at_s) {
  at(machine_index).rented_at = at_s;
}

void WorkerRegistry::give_back(MachineIndex machine_index) {
  at(machine_index).returning = true;
}

void WorkerRegistry::set_verified(MachineIndex machine_index) {
  at(machine_index).verified = true;
}

void WorkerRegistry::set_draining(MachineIndex machine_index, bool draining) {
  at(machine_index).draining = draining;
}

void WorkerRegistry::listed_failed(MachineIndex machine_index) {
  if (std::exchange(at(machine_index).listed_failed, true)) return;
  lose(machine_index, "it stopped on its own");
  at(machine_index).returning = true;
}

void WorkerRegistry::listed_running(MachineIndex machine_index) {
  at(machine_index).listed_running = true;
}

void WorkerRegistry::lose(MachineIndex machine_index, std::string_view why) {
  Machine &machine = at(machine_index);
  if (machine.lost) return;
  machine.lost = true;
  events_.publish(MachineLost{machine_index, machine.name, std::string(why), machine.allocations.size()});
  std::vector<JobIndex> touched;
  while (!machine.allocations.empty()) {
    if (const JobIndex job_index = machine.allocations.back().job; job_index.valid()) {
      touched.push_back(job_index);
      events_.publish(TaskLost{job_index, machine.name, std::string(why)});
    }
    drop(machine_index, machine.allocations.size() - 1);
  }
  for (JobIndex job_index : touched)
    tend_gang(job_index);
}

void WorkerRegistry::remove(MachineIndex machine_index) {
  lose(machine_index, "given back");
  const Machine &machine = at(machine_index);
  const double lived = runtime_.now() - machine.rented_at;
  events_.publish(
      MachineRemoved{machine_index, machine.name, machine.type >= 0 ? catalog_.type_name(machine.type) : "",
                     catalog_.zone_name(machine.zone), machine.spot, lived,
                     machine.first_heard >= 0 ? runtime_.now() - machine.first_heard : 0.0,
                     lived > 0 && machine.size.cpus > 0 ? machine.busy_cpu_s / lived / machine.size.cpus : 0.0});
  gone_[machine.name] = runtime_.now();
  index_.erase(machine.name);
  machines_[machine_index.position()].reset();
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

WorkerRegistry::Heard WorkerRegistry::hear(MachineIndex machine_index, const Heartbeat &heartbeat,
                                           int forwarding_replica) {
  Machine &machine = at(machine_index);
  if (std::pair(heartbeat.incarnation, heartbeat.sequence) <= std::pair(machine.incarnation, machine.sequence))
    return Heard::Late; // as old as its task list
  if (machine.listed_failed) return Heard::Failed;
  if (!machine.heard) {
    machine.first_heard = runtime_.now();
    events_.publish(MachineJoined{machine_index});
  }
  // A worker has one report in flight and gives an answer 4 s. Each sign by itself may be chance: an answer was lost,
  // a machine was started anew.
  const double since = runtime_.now() - machine.last_answer;
  heeded_ = heartbeat.fencing_token >= leadership_.term() && !machine.verified;
  missed_ = false;
  if (machine.heard) {
    heeded_ |= since < kAnswerPatience && settings_.heartbeat_interval_s < kAnswerPatience &&
               heartbeat.fencing_token >= leadership_.term();
    missed_ = heartbeat.fencing_token < leadership_.term() ||
              (heartbeat.incarnation > machine.incarnation && since < kMissedShare * settings_.lease_s);
  }
  machine.verified |= heartbeat.fencing_token >= leadership_.term();
  if (heartbeat.incarnation != machine.incarnation) machine.incarnation_since = runtime_.now();
  machine.address = heartbeat.address;
  machine.heard = true;
  machine.lost = false;
  machine.forwarding_replica = forwarding_replica;
  machine.incarnation = heartbeat.incarnation;
  machine.sequence = heartbeat.sequence;
  machine.taken_at = heartbeat.notice_s ? std::optional(runtime_.now() + *heartbeat.notice_s) : std::nullopt;
  machine.last_answer = runtime_.now();
  return Heard::Taken;
}

void WorkerRegistry::take_tasks(MachineIndex machine_index, const Heartbeat &heartbeat,
                                std::vector<TaskCommand> &orders) {
  Machine &machine = at(machine_index);
  std::vector<char> in_report(machine.allocations.size(), 0);
  std::vector<const TaskStatus *> unknown;
  std::vector<std::pair<std::size_t, const TaskStatus *>> exits;
  for (const auto &t : heartbeat.tasks) {
    bool found = false;
    for (std::size_t s = 0; s < in_report.size() && !found; ++s) {
      Allocation &allocation = machine.allocations[s];
      if (allocation.index != t.index || allocation.attempt != t.attempt || allocation.job_id != t.job) continue;
      found = true;
      in_report[s] = 1;
      heeded_ |= allocation.sent && !allocation.seen; // the answer that held its start has arrived
      allocation.seen = allocation.sent = true;
      allocation.phase = t.phase;
      if (t.phase == TaskPhase::Waiting && allocation.waiting_since < 0) allocation.waiting_since = runtime_.now();
      if (t.phase == TaskPhase::Running && allocation.running_since < 0) {
        allocation.running_since = runtime_.now();
        if (allocation.job.valid())
          events_.publish(
              TaskRunning{allocation.job, allocation.index, machine_index, runtime_.now() - allocation.placed_at});
      }
      if (t.phase == TaskPhase::Exited) exits.emplace_back(s, &t);
    }
    if (!found) unknown.push_back(&t);
  }
  for (auto [s, t] : exits) {
    Allocation &allocation = machine.allocations[s];
    if (allocation.finished) {
      if (!allocation.job.valid() || state_writer_.done_recorded(allocation.job, allocation.index))
        orders.push_back({TaskCommand::Verb::Forget, allocation.job_id, allocation.index, allocation.attempt, 0});
      continue;
    }
    exited(machine_index, allocation, *t);
    if (!allocation.finished) {
      orders.push_back({TaskCommand::Verb::Forget, allocation.job_id, allocation.index, allocation.attempt, 0});
      in_report[s] = 2; // gone
    }
  }
  for (std::size_t s = 0; s < in_report.size(); ++s)
    missed_ |= in_report[s] == 0 && machine.allocations[s].sent && !machine.allocations[s].seen &&
               !machine.allocations[s].stop;
  update_downlink_state(machine, heeded_, missed_);
  // Proof of absence: the report is newer than every response that could have carried the start. What is neither
  // there nor was ever seen there is not there yet; its start is sent (again) with the answer, if answers arrive.
  for (std::size_t s = in_report.size(); s-- > 0;) {
    const Allocation &allocation = machine.allocations[s];
    if (in_report[s] == 1 || (in_report[s] == 0 && !allocation.seen && !allocation.stop && !machine.downlink_lost()))
      continue;
    const JobIndex job_index = allocation.job;
    drop(machine_index, s);
    if (job_index.valid()) tend_gang(job_index);
  }
  for (const auto *t : unknown) {
    const JobIndex job_index = jobs_.index(t->job);
    bool wanted = false;
    if (job_index.valid() && t->index < jobs_[job_index].spec.tasks) {
      const Job &job = jobs_[job_index];
      const TaskState state = job.tasks[t->index].state;
      wanted = state == TaskState::Unaccounted || state == TaskState::Pending;
      if (wanted && job.spec.shape == Shape::Gang) {
        if (job.gang_attempt > t->attempt)
          wanted = t->phase == TaskPhase::Exited;
        else
          jobs_.adopt_gang_attempt(job_index, t->attempt);
      }
    }
    if (wanted) {
      adopt(machine_index, job_index, *t, orders);
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
      if (job_index.valid()) allocation.need = jobs_[job_index].spec.need;
      machine.used.add(allocation.need);
      machine.allocations.push_back(std::move(allocation));
    }
  }
}

// Guards against a machine whose reports arrive while nothing reaches it: it looks alive, and tasks given to it wait
// for ever. Its lease runs out again and again; one whose session has lasted longer hears answers once more.
void WorkerRegistry::update_downlink_state(Machine &machine, bool heeded, bool missed) {
  if (missed) {
    if (++machine.unacknowledged_responses >= kMaxUnacknowledgedResponses && !machine.downlink_lost()) {
      machine.downlink_lost_since = runtime_.now();
      runtime_.log(LogLevel::Info, "worker_downlink_lost",
                   {{"machine", machine.name},
                    {"session", machine.incarnation},
                    {"then", "its reports arrive; it gets no tasks"}});
    }
    return;
  }
  if (machine.downlink_lost())
    heeded |= runtime_.now() - std::max(machine.incarnation_since, machine.downlink_lost_since) >
              1.3 * settings_.lease_s + settings_.heartbeat_interval_s;
  if (!heeded) return;
  if (machine.downlink_lost()) runtime_.log(LogLevel::Info, "worker_downlink_restored", {{"machine", machine.name}});
  machine.unacknowledged_responses = 0;
  machine.downlink_lost_since = -1;
}

// A task that an earlier leader started.
void WorkerRegistry::adopt(MachineIndex machine_index, JobIndex job_index, const TaskStatus &task,
                           std::vector<TaskCommand> &orders) {
  Machine &machine = at(machine_index);
  const Job &job = jobs_[job_index];
  Allocation allocation;
  allocation.job = job_index;
  allocation.job_id = task.job;
  allocation.index = task.index;
  allocation.attempt = task.attempt;
  allocation.phase = task.phase;
  allocation.sent = allocation.seen = true;
  allocation.adopted = job.tasks[task.index].state == TaskState::Unaccounted;
  allocation.need = job.spec.need;
  allocation.placed_at = allocation.held_since = runtime_.now();
  if (task.phase == TaskPhase::Waiting) allocation.waiting_since = runtime_.now();
  if (task.phase == TaskPhase::Running) allocation.running_since = runtime_.now();
  state_writer_.start(job_index, task.index);
  events_.publish(TaskAllocated{job_index, task.index, machine_index, true, allocation.adopted});
  jobs_.place(job_index, task.index, machine_index, machine.zone);
  machine.used.add(allocation.need);
  touch_image(machine, job.image, job.spec.image_gb);
  machine.allocations.push_back(std::move(allocation));
  const std::size_t s = machine.allocations.size() - 1;
  if (task.phase == TaskPhase::Exited) {
    exited(machine_index, machine.allocations[s], task);
    if (machine.allocations[s].finished) return;
    orders.push_back({TaskCommand::Verb::Forget, task.job, task.index, task.attempt, 0});
    drop(machine_index, s);
  } else if (job.cancelled) {
    order_stop(machine_index, machine.allocations[s], 0);
  }
}

void WorkerRegistry::exited(MachineIndex machine_index, Allocation &allocation, const TaskStatus &task) {
  Machine &machine = at(machine_index);
  if (!allocation.job.valid()) return;
  events_.publish(TaskExited{allocation.job, allocation.index, machine_index, machine.name, task.cause,
                             allocation.placed_at, allocation.running_since});
  if (task.cause != ExitCause::Done || jobs_[allocation.job].spec.shape == Shape::Service) return;
  allocation.finished = true;
  freed(machine_index, allocation, true);
  machine.used.add(allocation.need, -1);
  jobs_.finish(allocation.job, allocation.index);
  if (allocation.running_since >= 0)
    machine.busy_cpu_s += (runtime_.now() - allocation.running_since) * allocation.need.cpus;
}

void WorkerRegistry::answer(MachineIndex machine_index, bool may_start, std::vector<TaskCommand> &orders) {
  Machine &machine = at(machine_index);
  machine.stops_news = false;
  std::size_t starts = 0;
  for (auto &allocation : machine.allocations) {
    if (allocation.finished) continue;
    if (allocation.stop) {
      if (allocation.seen && allocation.phase != TaskPhase::Exited)
        orders.push_back(
            {TaskCommand::Verb::Stop, allocation.job_id, allocation.index, allocation.attempt, allocation.grace_s});
    } else if (may_start && !machine.downlink_lost() && !allocation.seen && allocation.job.valid() &&
               !jobs_[allocation.job].paused && state_writer_.recorded(allocation.job, allocation.index) &&
               !machine.returning && starts < kMaxOrders) {
      if (!std::exchange(allocation.sent, true)) {
        allocation.held_since = runtime_.now();
        events_.publish(TaskAllocated{allocation.job, allocation.index, machine_index, false, false});
      }
      ++starts;
      orders.push_back({TaskCommand::Verb::Start, allocation.job_id, allocation.index, allocation.attempt, 0});
    }
  }
  if (!machine.allocations.empty())
    machine.idle_since = -1;
  else if (machine.idle_since < 0)
    machine.idle_since = runtime_.now();
  assert(consistent(machine_index));
}

// ---- slots ----

void WorkerRegistry::put(MachineIndex machine_index, JobIndex job_index, std::uint32_t i, std::uint64_t attempt) {
  Machine &machine = at(machine_index);
  const Job &job = jobs_[job_index];
  Allocation allocation;
  allocation.job = job_index;
  allocation.job_id = job.spec.id;
  allocation.index = i;
  allocation.attempt = attempt;
  allocation.need = job.spec.need;
  allocation.placed_at = runtime_.now();
  machine.used.add(allocation.need);
  machine.idle_since = -1;
  touch_image(machine, job.image, job.spec.image_gb);
  machine.allocations.push_back(std::move(allocation));
}

void WorkerRegistry::drop(MachineIndex machine_index, std::size_t s) {
  Machine &machine = at(machine_index);
  const Allocation allocation = std::move(machine.allocations[s]);
  machine.allocations.erase(machine.allocations.begin() + static_cast<long>(s));
  if (allocation.finished) return;
  freed(machine_index, allocation, false);
  machine.used.add(allocation.need, -1);
  // An attempt that an earlier leader started may be an old one, shown by a report that was held up: its end
  // says nothing about a later attempt elsewhere, which may not be heard of yet.
  if (allocation.job.valid())
    jobs_.release(allocation.job, allocation.index, machine_index, allocation.adopted && jobs_.unaccounted_until() > 0);
}

void WorkerRegistry::freed(MachineIndex machine_index, const Allocation &allocation, bool done) {
  if (!allocation.job.valid() || allocation.held_since < 0) return; // nobody's, or never sent
  const Machine &machine = at(machine_index);
  events_.publish(TaskReleased{allocation.job, allocation.index, machine_index, done, allocation.held_since,
                               allocation.waiting_since, allocation.running_since, machine.type, machine.zone,
                               machine.spot});
}

void WorkerRegistry::stop(MachineIndex machine_index, std::size_t s, double grace_s) {
  Allocation &allocation = at(machine_index).allocations[s];
  if (!allocation.sent && !allocation.seen)
    drop(machine_index, s);
  else
    order_stop(machine_index, allocation, grace_s);
}

bool WorkerRegistry::stop_all(JobIndex job_index, double grace_s) {
  bool news = false;
  for (std::size_t position = 0; position < machines_.size(); ++position) {
    const MachineIndex machine_index(position);
    if (!machines_[position]) continue;
    for (std::size_t s = at(machine_index).allocations.size(); s-- > 0;) {
      const Allocation &allocation = at(machine_index).allocations[s];
      if (allocation.job != job_index || allocation.finished) continue;
      news |= !allocation.stop;
      stop(machine_index, s, grace_s);
    }
  }
  return news;
}

void WorkerRegistry::withdraw(JobIndex job_index) {
  for (std::size_t position = 0; position < machines_.size(); ++position) {
    const MachineIndex machine_index(position);
    if (!machines_[position]) continue;
    for (std::size_t s = at(machine_index).allocations.size(); s-- > 0;)
      if (const Allocation &allocation = at(machine_index).allocations[s];
          allocation.job == job_index && !allocation.sent && !allocation.seen)
        drop(machine_index, s);
  }
}

void WorkerRegistry::order_stop(MachineIndex machine_index, Allocation &allocation, double grace_s) {
  if (allocation.finished) return;
  if (!allocation.stop && !std::exchange(at(machine_index).stops_news, true)) stops_news_.push_back(machine_index);
  if (!allocation.stop || grace_s < allocation.grace_s) allocation.grace_s = grace_s;
  allocation.stop = true;
}

void WorkerRegistry::tend_gang(JobIndex job_index) {
  const Job &job = jobs_[job_index];
  if (job.spec.shape != Shape::Gang || job.placed == 0) return;
  bool started = job.gang_closed;
  const bool missing = job.placed + job.done + job.unaccounted < job.spec.tasks;
  for (const auto &m : machines_)
    if (m)
      for (const auto &s : m->allocations)
        if (s.job == job_index && (s.phase == TaskPhase::Running || s.phase == TaskPhase::Saving || s.stop))
          started = true;
  if (!started || !missing) return jobs_.close_gang(job_index, started);
  jobs_.close_gang(job_index, true);
  stop_all(job_index, job.spec.save_s + 1);
}

void WorkerRegistry::on(const JobFinalized &event) {
  for (auto &m : machines_)
    if (m)
      for (auto &s : m->allocations)
        if (s.job == event.job) {
          s.job = {}; // stopped at the next report, as any task of an unknown job
          s.stop = true;
          s.grace_s = 0;
        }
}

// ---- time ----

void WorkerRegistry::tick() {
  for (std::size_t position = 0; position < machines_.size(); ++position) {
    const MachineIndex machine_index(position);
    if (!machines_[machine_index.position()]) continue;
    Machine &machine = at(machine_index);
    // The last 200 that could reach it is ours: earlier leaders' were over before our term began.
    if (leadership_.active() && machine.heard && !machine.lost &&
        runtime_.now() > machine.last_answer + settings_.lease_s * (1 + kDrift) + 0.5)
      lose(machine_index, "silent for longer than its lease");
    if (machine.taken_at && machine.heard && !machine.lost) { // drained: tasks that can save do so in time
      const double left = *machine.taken_at - runtime_.now();
      for (auto &s : machine.allocations)
        if (s.job.valid() && !s.stop && !s.finished && jobs_[s.job].spec.checkpoint_s > 0 &&
            left < jobs_[s.job].spec.save_s + 2 * settings_.heartbeat_interval_s + 1)
          order_stop(machine_index, s, jobs_[s.job].spec.save_s + 1);
    }
  }
}

// The worker learns at once what the answer to its next report would tell it. When its tasks have stopped it reports
// by itself, and the answer to that can start their successors: a report interval is won. Also of tasks whose start has
// been sent and not been seen: what fetches its image when its job is cancelled never starts, and where the start has
// not arrived the order says nothing (its attempt's number is not used again).
void WorkerRegistry::send_stops() {
  for (MachineIndex machine_index : std::exchange(stops_news_, {})) {
    const auto &p = machines_[machine_index.position()];
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
  jobs_.each(
      [&](JobIndex job_index, const Job &job) { out[job_index.position()] = job.unaccounted + job.delegated_running; });
  for (const auto &m : machines_)
    if (m)
      for (const auto &s : m->allocations)
        if (s.job.valid() && !s.finished && s.phase == TaskPhase::Running) ++out[s.job.position()];
  return out;
}

std::uint32_t WorkerRegistry::running(JobIndex job_index) const {
  std::uint32_t out = jobs_[job_index].unaccounted + jobs_[job_index].delegated_running;
  for (const auto &m : machines_)
    if (m)
      for (const auto &s : m->allocations)
        out += s.job == job_index && !s.finished && s.phase == TaskPhase::Running;
  return out;
}

bool WorkerRegistry::consistent(MachineIndex machine_index) const {
  const Machine &machine = *find(machine_index);
  Resources used;
  for (const auto &s : machine.allocations) {
    if (!s.finished) used.add(s.need);
    // A task that was placed here is bound to this machine until its slot goes.
    if (!s.job.valid() || s.finished) continue;
    const Task &t = jobs_[s.job].tasks[s.index];
    if (t.state != TaskState::Placed || t.machine != machine_index) return false;
  }
  return std::abs(used.cpus - machine.used.cpus) < 1e-3 && std::abs(used.memory - machine.used.memory) < 1e-3;
}

void WorkerRegistry::touch_image(Machine &machine, int image, double gb) {
  if (image < 0) return;
  machine.images.remove_if([&](const auto &x) { return x.first == image; });
  machine.images.emplace_front(image, gb);
  double sum = 0;
  const double cache = machine.type >= 0 ? catalog_.type(machine.type).cache_gb : 0;
  for (auto it = machine.images.begin(); it != machine.images.end(); ++it)
    if ((sum += it->second) > cache && it != machine.images.begin()) {
      machine.images.erase(it, machine.images.end());
      break;
    }
}

} // namespace loftrouter::core
