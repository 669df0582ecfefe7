#include "loftrouter/core/workers/worker_registry.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace loftrouter::core {

namespace {
constexpr double kLeaseExpiryMarginS = 0.5;
} // namespace

MachineIndex WorkerRegistry::index(const std::string &name) const {
  const auto it = index_by_name_.find(name);
  return it == index_by_name_.end() ? MachineIndex() : it->second;
}

std::size_t WorkerRegistry::available_count() const {
  return static_cast<std::size_t>(std::count_if(machines_.begin(), machines_.end(),
                                                [](const auto &machine) { return machine && machine->available(); }));
}

std::size_t WorkerRegistry::available_count(ReplicaIndex forwarding_replica) const {
  const auto forwarded = [forwarding_replica](const auto &machine) {
    return machine && machine->available() && machine->heartbeat.forwarding_replica == forwarding_replica;
  };
  return static_cast<std::size_t>(std::count_if(machines_.begin(), machines_.end(), forwarded));
}

std::optional<double> WorkerRegistry::removed_at(const std::string &name) const {
  const auto it = removed_at_.find(name);
  return it == removed_at_.end() ? std::nullopt : std::optional(it->second);
}

std::vector<std::uint32_t> WorkerRegistry::running_tasks_by_job() const {
  std::vector<std::uint32_t> counts(jobs_.index_limit(), 0);
  jobs_.each([&](JobIndex job_index, const Job &job) {
    counts[job_index.position()] = job.unaccounted + job.delegated_running;
  });
  each([&](MachineIndex, const Machine &machine) {
    for (const auto &allocation : machine.allocations)
      if (allocation.job.valid() && !allocation.completed() && allocation.phase == TaskPhase::Running)
        ++counts[allocation.job.position()];
  });
  return counts;
}

std::uint32_t WorkerRegistry::running_tasks(JobIndex job_index) const {
  std::uint32_t count = jobs_[job_index].unaccounted + jobs_[job_index].delegated_running;
  each([&](MachineIndex, const Machine &machine) {
    for (const auto &allocation : machine.allocations)
      if (allocation.job == job_index && !allocation.completed() && allocation.phase == TaskPhase::Running) ++count;
  });
  return count;
}

bool WorkerRegistry::consistent(MachineIndex machine_index) const {
  const Machine &machine = *find(machine_index);
  Resources used;
  for (const auto &allocation : machine.allocations) {
    if (allocation.completed()) continue;
    used.add(allocation.need);
    if (!allocation.job.valid()) continue;
    const Task &task = jobs_[allocation.job].tasks[allocation.index];
    if (task.state != TaskState::Placed || task.machine != machine_index) return false;
  }
  return std::abs(used.cpus - machine.used.cpus) < 1e-3 && std::abs(used.memory - machine.used.memory) < 1e-3;
}

MachineIndex WorkerRegistry::free_index() {
  const auto free_slot = std::find(machines_.begin(), machines_.end(), nullptr);
  const auto position = free_slot - machines_.begin();
  if (free_slot == machines_.end()) machines_.emplace_back();
  return MachineIndex(static_cast<std::size_t>(position));
}

MachineIndex WorkerRegistry::find_or_add(const std::string &name, const std::string &type, const std::string &zone,
                                         bool spot) {
  if (const MachineIndex known = index(name); known.valid()) return known;
  const MachineIndex machine_index = free_index();
  machines_[machine_index.position()] = std::make_unique<Machine>();
  Machine &machine = at(machine_index);
  machine.name = name;
  machine.type = catalog_.find_type(type);
  machine.zone = catalog_.find_or_add_zone(zone);
  machine.spot = spot;
  machine.known_since = runtime_.now();
  machine.launched_at = runtime_.now();
  machine.admin_state = operators_.machine_admin_state(name);
  if (machine.type >= 0) machine.size = catalog_.type(machine.type).size;
  index_by_name_[name] = machine_index;
  return machine_index;
}

void WorkerRegistry::set_launched_at(MachineIndex machine_index, double launched_at) {
  at(machine_index).launched_at = launched_at;
}

void WorkerRegistry::mark_verified(MachineIndex machine_index) {
  at(machine_index).downlink.set_verified();
}

void WorkerRegistry::mark_returning(MachineIndex machine_index) {
  at(machine_index).scale_in = ScaleInState::Returning;
}

void WorkerRegistry::set_draining(MachineIndex machine_index, bool draining) {
  Machine &machine = at(machine_index);
  if (machine.returning()) return;
  machine.scale_in = draining ? ScaleInState::Draining : ScaleInState::Retained;
}

void WorkerRegistry::mark_listed_running(MachineIndex machine_index) {
  at(machine_index).listing.running = true;
}

void WorkerRegistry::mark_listed_failed(MachineIndex machine_index) {
  if (std::exchange(at(machine_index).listing.failed, true)) return;
  mark_lost(machine_index, "it stopped on its own");
  mark_returning(machine_index);
}

void WorkerRegistry::mark_lost(MachineIndex machine_index, std::string_view reason) {
  Machine &machine = at(machine_index);
  if (machine.lost()) return;
  machine.availability = MachineAvailability::Lost;
  events_.publish(MachineLost{machine_index, machine.name, std::string(reason), machine.allocations.size()});
  std::vector<JobIndex> affected_jobs;
  while (!machine.allocations.empty()) {
    if (const JobIndex job_index = machine.allocations.back().job; job_index.valid()) {
      affected_jobs.push_back(job_index);
      events_.publish(TaskLost{job_index, machine.name, std::string(reason)});
    }
    release(machine_index, machine.allocations.size() - 1);
  }
  for (JobIndex job_index : affected_jobs)
    reconcile_gang(job_index);
}

void WorkerRegistry::remove(MachineIndex machine_index) {
  mark_lost(machine_index, "given back");
  const Machine &machine = at(machine_index);
  const double rented_s = runtime_.now() - machine.launched_at;
  const double up_s = machine.heartbeat.received() ? runtime_.now() - machine.heartbeat.first_accepted_at : 0.0;
  const double used_share =
      rented_s > 0 && machine.size.cpus > 0 ? machine.busy_cpu_s / rented_s / machine.size.cpus : 0.0;
  const std::string type = machine.type >= 0 ? catalog_.type_name(machine.type) : "";
  events_.publish(MachineRemoved{machine_index, machine.name, type, catalog_.zone_name(machine.zone), machine.spot,
                                 rented_s, up_s, used_share});
  removed_at_[machine.name] = runtime_.now();
  index_by_name_.erase(machine.name);
  machines_[machine_index.position()].reset();
}

void WorkerRegistry::forget_removals(double older_than_s) {
  std::erase_if(removed_at_, [&](const auto &removal) { return runtime_.now() - removal.second > older_than_s; });
}

void WorkerRegistry::tick() {
  for (std::size_t i = 0; i < machines_.size(); ++i) {
    if (!machines_[i]) continue;
    const MachineIndex machine_index(i);
    if (lease_expired(at(machine_index))) mark_lost(machine_index, "silent for longer than its lease");
    stop_checkpointable_before_reclaim(machine_index);
  }
}

// Returns true if the worker's lease has expired. Only this leader's responses renew it, as earlier leaders stopped
// responding before this term began.
bool WorkerRegistry::lease_expired(const Machine &machine) const {
  return leadership_.active() && machine.available() &&
         runtime_.now() >
             machine.heartbeat.last_accepted_at + settings_.lease_s * (1 + kMaxClockDrift) + kLeaseExpiryMarginS;
}

// Stops tasks that have checkpoints just early enough for them to save before a spot reclaim.
void WorkerRegistry::stop_checkpointable_before_reclaim(MachineIndex machine_index) {
  Machine &machine = at(machine_index);
  if (!machine.reclaim_at || !machine.available()) return;
  const double remaining_s = *machine.reclaim_at - runtime_.now();
  for (auto &allocation : machine.allocations) {
    if (!allocation.job.valid() || allocation.stop_requested() || allocation.completed()) continue;
    const JobSpec &spec = jobs_[allocation.job].spec;
    if (spec.checkpoint_s > 0 && remaining_s < spec.save_s + 2 * settings_.heartbeat_interval_s + 1)
      request_stop(machine_index, allocation, spec.save_s + 1);
  }
}

void WorkerRegistry::on(const JobFinalized &event) {
  for (auto &machine : machines_) {
    if (!machine) continue;
    for (auto &allocation : machine->allocations) {
      if (allocation.job != event.job) continue;
      allocation.job = {}; // from now on a task of an unknown job, which is stopped
      allocation.stop_grace_s = 0;
    }
  }
}

void WorkerRegistry::on(const MachineAdminStatesChanged &event) {
  if (!event.machine.empty()) {
    const auto it = index_by_name_.find(event.machine);
    if (it != index_by_name_.end()) at(it->second).admin_state = operators_.machine_admin_state(event.machine);
    return;
  }
  for (auto &machine : machines_)
    if (machine) machine->admin_state = operators_.machine_admin_state(machine->name);
}

void WorkerRegistry::on(const TermEnded &) {
  machines_.clear();
  index_by_name_.clear();
  stop_commands_pending_.clear();
}

} // namespace loftrouter::core
