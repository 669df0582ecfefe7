// The part of the worker registry that allocates, releases and stops tasks, one by one, by job and by gang.
#include <algorithm>
#include <utility>

#include "loftrouter/core/workers/worker_registry.hpp"

namespace loftrouter::core {

namespace {
constexpr std::size_t kMaxStops = 400; // in one call; keeps it below the protocol's 64 KiB
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
  if (allocation.completed()) return; // published and accounted for when it exited
  publish_released(machine_index, allocation, false);
  machine.used.add(allocation.need, -1);
  if (!allocation.job.valid()) return;
  // An attempt that an earlier leader started may be an old one, listed by a heartbeat that was held up: its end says
  // nothing about a later attempt elsewhere, which may not be known yet.
  const bool unaccounted = allocation.was_unaccounted && jobs_.unaccounted_until() > 0;
  jobs_.release(allocation.job, allocation.index, machine_index, unaccounted);
}

void WorkerRegistry::publish_released(MachineIndex machine_index, const Allocation &allocation, bool done) {
  if (!allocation.job.valid() || allocation.start_sent_at < 0)
    return; // no job's, or nobody was told that it was allocated
  const Machine &machine = at(machine_index);
  events_.publish(TaskReleased{allocation.job, allocation.index, machine_index, done, allocation.start_sent_at,
                               allocation.waiting_since, allocation.running_since, machine.type, machine.zone,
                               machine.spot});
}

// The machine's cache drops the images that were used longest ago; the one just used stays even if it is larger.
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

// ---- stops ----

void WorkerRegistry::stop(MachineIndex machine_index, std::size_t position, double grace_s) {
  Allocation &allocation = at(machine_index).allocations[position];
  if (allocation.sent())
    request_stop(machine_index, allocation, grace_s);
  else
    release(machine_index, position);
}

bool WorkerRegistry::stop_job(JobIndex job_index, double grace_s) {
  bool any_new = false;
  for (std::size_t i = 0; i < machines_.size(); ++i) {
    if (!machines_[i]) continue;
    const MachineIndex machine_index(i);
    for (std::size_t position = at(machine_index).allocations.size(); position-- > 0;) {
      const Allocation &allocation = at(machine_index).allocations[position];
      if (allocation.job != job_index || allocation.completed()) continue;
      any_new |= !allocation.stop_requested();
      stop(machine_index, position, grace_s);
    }
  }
  return any_new;
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

// Of several requests the shortest grace counts.
void WorkerRegistry::request_stop(MachineIndex machine_index, Allocation &allocation, double grace_s) {
  if (allocation.completed()) return;
  if (allocation.stop_requested()) {
    allocation.stop_grace_s = std::min(*allocation.stop_grace_s, grace_s);
    return;
  }
  allocation.stop_grace_s = grace_s;
  if (!std::exchange(at(machine_index).stop_commands_pending, true)) stop_commands_pending_.push_back(machine_index);
}

// The worker learns at once what the response to its next heartbeat would tell it. When its tasks have stopped it
// sends a heartbeat by itself, and the response to that can start their successors: a heartbeat interval is saved. Also
// of tasks whose start has been sent and not been observed: what fetches its image when its job is cancelled never
// starts, and where the start has not arrived the command has no effect (its attempt's number is not used again).
void WorkerRegistry::send_stop_commands() {
  for (MachineIndex machine_index : std::exchange(stop_commands_pending_, {})) {
    Machine *machine = machines_[machine_index.position()].get();
    // Removed, or a response has carried the stops since.
    if (!machine || !std::exchange(machine->stop_commands_pending, false)) continue;
    const HeartbeatState &worker = machine->heartbeat;
    if (!leadership_.active() || machine->lost() || worker.worker_address.empty()) continue;
    WorkerCall call{worker.worker_address, leadership_.term(), worker.incarnation, machine->name, {}};
    for (const auto &allocation : machine->allocations) {
      if (call.commands.size() >= kMaxStops) break;
      if (!allocation.stop_requested() || !allocation.sent() || allocation.phase == TaskPhase::Exited) continue;
      call.commands.push_back(
          {TaskCommand::Verb::Stop, allocation.job_id, allocation.index, allocation.attempt, *allocation.stop_grace_s});
    }
    if (!call.commands.empty()) runtime_.call(std::move(call));
  }
}

// ---- gangs ----

void WorkerRegistry::reconcile_gang(JobIndex job_index) {
  const Job &job = jobs_[job_index];
  if (job.spec.shape != Shape::Gang || job.placed == 0) return;
  const bool complete = job.placed + job.done + job.unaccounted >= job.spec.tasks;
  const bool started = job.gang_closed || gang_has_started(job_index);
  jobs_.close_gang(job_index, started);
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
