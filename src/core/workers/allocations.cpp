// Implements how the WorkerRegistry allocates, releases and stops tasks.
#include <algorithm>
#include <utility>

#include "loftrouter/core/workers/worker_registry.hpp"

namespace loftrouter::core {

namespace {
constexpr std::size_t kMaxStopsPerCall = 400; // keeps the message below the protocol's 64 KiB
} // namespace

void WorkerRegistry::allocate(MachineIndex machine_index, JobIndex job_index, std::uint32_t task_index,
                              std::uint64_t attempt) {
  Machine &machine = at(machine_index);
  const Job &job = jobs_[job_index];
  Allocation allocation;
  allocation.job = job_index;
  allocation.job_id = job.spec.id;
  allocation.index = task_index;
  allocation.attempt = attempt;
  allocation.need = job.spec.need;
  allocation.placed_at = runtime_.now();
  machine.used.add(allocation.need);
  machine.idle_since = -1;
  touch_cached_image(machine, job.image, job.spec.image_gb);
  machine.allocations.push_back(std::move(allocation));
}

void WorkerRegistry::release(MachineIndex machine_index, std::size_t position) {
  Machine &machine = at(machine_index);
  const Allocation allocation = std::move(machine.allocations[position]);
  machine.allocations.erase(machine.allocations.begin() + static_cast<std::ptrdiff_t>(position));
  if (allocation.completed()) return; // handled when it exited
  publish_released(machine_index, allocation, false);
  machine.used.add(allocation.need, -1);
  if (!allocation.job.valid()) return;
  // The released attempt may be an old one that a delayed heartbeat listed, while a newer one of an earlier leader runs
  // elsewhere. So the task becomes pending only after `unaccounted_until`.
  const bool unaccounted = allocation.was_unaccounted && jobs_.unaccounted_until() > 0;
  jobs_.release(allocation.job, allocation.index, machine_index, unaccounted);
}

void WorkerRegistry::publish_released(MachineIndex machine_index, const Allocation &allocation, bool completed) {
  if (!allocation.job.valid() || allocation.start_sent_at < 0)
    return; // belongs to no job, or its allocation was never published
  const Machine &machine = at(machine_index);
  events_.publish(TaskReleased{allocation.job, allocation.index, machine_index, completed, allocation.start_sent_at,
                               allocation.waiting_since, allocation.running_since, machine.type, machine.zone,
                               machine.spot});
}

// Models the worker's image cache with LRU eviction. The image just used is never evicted.
void WorkerRegistry::touch_cached_image(Machine &machine, int image, double image_gb) {
  if (image < 0) return;
  machine.images.remove_if([image](const auto &cached) { return cached.first == image; });
  machine.images.emplace_front(image, image_gb);
  const double cache_gb = machine.type >= 0 ? catalog_.type(machine.type).cache_gb : 0;
  double total_gb = image_gb;
  for (auto cached = std::next(machine.images.begin()); cached != machine.images.end(); ++cached) {
    total_gb += cached->second;
    if (total_gb <= cache_gb) continue;
    machine.images.erase(cached, machine.images.end());
    return;
  }
}

void WorkerRegistry::stop(MachineIndex machine_index, std::size_t position, double grace_s) {
  Allocation &allocation = at(machine_index).allocations[position];
  if (allocation.sent())
    request_stop(machine_index, allocation, grace_s);
  else
    release(machine_index, position);
}

bool WorkerRegistry::stop_job(JobIndex job_index, double grace_s) {
  bool any_stop_new = false;
  for (std::size_t i = 0; i < machines_.size(); ++i) {
    if (!machines_[i]) continue;
    const MachineIndex machine_index(i);
    for (std::size_t position = at(machine_index).allocations.size(); position-- > 0;) {
      const Allocation &allocation = at(machine_index).allocations[position];
      if (allocation.job != job_index || allocation.completed()) continue;
      any_stop_new |= !allocation.stop_requested();
      stop(machine_index, position, grace_s);
    }
  }
  return any_stop_new;
}

void WorkerRegistry::release_unsent(JobIndex job_index) {
  for (std::size_t i = 0; i < machines_.size(); ++i) {
    if (!machines_[i]) continue;
    const MachineIndex machine_index(i);
    for (std::size_t position = at(machine_index).allocations.size(); position-- > 0;) {
      const Allocation &allocation = at(machine_index).allocations[position];
      if (allocation.job == job_index && !allocation.sent()) release(machine_index, position);
    }
  }
}

// Requests a stop. If it was requested before, the shorter grace period applies.
void WorkerRegistry::request_stop(MachineIndex machine_index, Allocation &allocation, double grace_s) {
  if (allocation.completed()) return;
  if (allocation.stop_requested()) {
    allocation.stop_grace_s = std::min(*allocation.stop_grace_s, grace_s);
    return;
  }
  allocation.stop_grace_s = grace_s;
  if (!std::exchange(at(machine_index).stop_commands_pending, true)) stop_commands_pending_.push_back(machine_index);
}

// Sends stops without waiting for the next heartbeat, so that other tasks can start sooner. Includes tasks whose start
// may not have arrived: as attempt numbers are not reused, such a stop cannot affect a later attempt.
void WorkerRegistry::send_stop_commands() {
  for (MachineIndex machine_index : std::exchange(stop_commands_pending_, {})) {
    Machine *machine = machines_[machine_index.position()].get();
    if (!machine || !std::exchange(machine->stop_commands_pending, false)) continue;
    const HeartbeatState &worker = machine->heartbeat;
    if (!leadership_.active() || machine->lost() || worker.worker_address.empty()) continue;
    WorkerCall call{worker.worker_address, leadership_.term(), worker.incarnation, machine->name, {}};
    for (const auto &allocation : machine->allocations) {
      if (call.commands.size() >= kMaxStopsPerCall) break;
      if (!allocation.stop_requested() || !allocation.sent() || allocation.phase == TaskPhase::Exited) continue;
      call.commands.push_back(
          {TaskCommand::Verb::Stop, allocation.job_id, allocation.index, allocation.attempt, *allocation.stop_grace_s});
    }
    if (!call.commands.empty()) runtime_.call(std::move(call));
  }
}

void WorkerRegistry::reconcile_gang(JobIndex job_index) {
  const Job &job = jobs_[job_index];
  if (job.spec.shape != Shape::Gang || job.placed == 0) return;
  const bool complete = job.placed + job.done + job.unaccounted >= job.spec.tasks;
  const bool started = job.gang_started || gang_has_started(job_index);
  jobs_.set_gang_started(job_index, started);
  if (started && !complete) stop_job(job_index, job.spec.save_s + 1);
}

bool WorkerRegistry::gang_has_started(JobIndex job_index) const {
  const auto has_started = [job_index](const Allocation &allocation) {
    if (allocation.job != job_index) return false;
    return allocation.phase == TaskPhase::Running || allocation.phase == TaskPhase::Saving ||
           allocation.stop_requested();
  };
  return std::any_of(machines_.begin(), machines_.end(), [&](const auto &machine) {
    return machine && std::any_of(machine->allocations.begin(), machine->allocations.end(), has_started);
  });
}

} // namespace loftrouter::core
