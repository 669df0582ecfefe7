// Implements how the WorkerRegistry reconciles allocations with heartbeats (docs/safety.md "ran_twice").
#include <algorithm>
#include <cassert>
#include <utility>

#include "loftrouter/core/workers/worker_registry.hpp"

namespace loftrouter::core {

namespace {
constexpr std::size_t kMaxStartsPerResponse = 400; // keeps the message below the protocol's 64 KiB
constexpr double kResponseTimeoutS = 3.5;          // less than the 4 s after which a worker resends
// A worker begins a new incarnation when its lease expires. If that happens within this share of the lease after a
// response, the response did not arrive.
constexpr double kUnacknowledgedLeaseShare = 0.6;

TaskCommand make_command(TaskCommand::Verb verb, const Allocation &allocation, double grace_s = 0) {
  return {verb, allocation.job_id, allocation.index, allocation.attempt, grace_s};
}

TaskCommand make_command(TaskCommand::Verb verb, const TaskStatus &task) {
  return {verb, task.job, task.index, task.attempt, 0};
}

bool same_attempt(const Allocation &allocation, const TaskStatus &task) {
  return allocation.index == task.index && allocation.attempt == task.attempt && allocation.job_id == task.job;
}
} // namespace

struct WorkerRegistry::TaskListing {
  std::vector<std::pair<std::size_t, const TaskStatus *>> exits; // with the position of the allocation
  std::vector<const TaskStatus *> unknown;                       // without an allocation
};

WorkerRegistry::HeartbeatResult WorkerRegistry::accept_heartbeat(MachineIndex machine_index, const Heartbeat &heartbeat,
                                                                 ReplicaIndex forwarding_replica,
                                                                 std::vector<TaskCommand> &commands) {
  Machine &machine = at(machine_index);
  const HeartbeatState &last = machine.heartbeat;
  if (std::pair(heartbeat.incarnation, heartbeat.sequence) <= std::pair(last.incarnation, last.sequence))
    return HeartbeatResult::Stale;
  if (machine.listing.failed) return HeartbeatResult::MachineFailed;
  if (!last.received()) events_.publish(MachineJoined{machine_index});
  const DownlinkEvidence evidence = downlink_evidence(machine, heartbeat);
  renew_lease(machine, heartbeat, forwarding_replica);
  reconcile_tasks(machine_index, heartbeat, evidence, commands);
  return HeartbeatResult::Accepted;
}

// Infers whether the last response arrived. Without a response, a worker waits 4 s before it sends the next heartbeat.
// So a heartbeat that comes sooner and carries our fencing token acknowledges the response.
DownlinkEvidence WorkerRegistry::downlink_evidence(const Machine &machine, const Heartbeat &heartbeat) const {
  const bool has_our_token = heartbeat.fencing_token >= leadership_.term();
  DownlinkEvidence evidence;
  evidence.acknowledged = has_our_token && !machine.downlink.verified();
  if (!machine.heartbeat.received()) return evidence;
  const double since_response_s = runtime_.now() - machine.heartbeat.last_accepted_at;
  const bool in_time = since_response_s < kResponseTimeoutS && settings_.heartbeat_interval_s < kResponseTimeoutS;
  const bool new_incarnation = heartbeat.incarnation > machine.heartbeat.incarnation;
  evidence.acknowledged |= in_time && has_our_token;
  evidence.unacknowledged =
      !has_our_token || (new_incarnation && since_response_s < kUnacknowledgedLeaseShare * settings_.lease_s);
  return evidence;
}

void WorkerRegistry::renew_lease(Machine &machine, const Heartbeat &heartbeat, ReplicaIndex forwarding_replica) {
  const double now = runtime_.now();
  if (heartbeat.fencing_token >= leadership_.term()) machine.downlink.set_verified();
  machine.availability = MachineAvailability::Available;
  machine.reclaim_at = heartbeat.notice_s ? std::optional(now + *heartbeat.notice_s) : std::nullopt;
  HeartbeatState &state = machine.heartbeat;
  if (!state.received()) state.first_accepted_at = now;
  if (heartbeat.incarnation != state.incarnation) state.incarnation_since = now;
  state.worker_address = heartbeat.address;
  state.forwarding_replica = forwarding_replica;
  state.incarnation = heartbeat.incarnation;
  state.sequence = heartbeat.sequence;
  state.last_accepted_at = now;
}

void WorkerRegistry::reconcile_tasks(MachineIndex machine_index, const Heartbeat &heartbeat, DownlinkEvidence evidence,
                                     std::vector<TaskCommand> &commands) {
  const TaskListing listing = match_listed_tasks(machine_index, heartbeat, evidence);
  handle_listed_exits(machine_index, listing, commands);
  update_downlink(at(machine_index), evidence);
  release_absent(machine_index);
  for (const auto *task : listing.unknown)
    reconcile_unknown_task(machine_index, *task, commands);
}

WorkerRegistry::TaskListing WorkerRegistry::match_listed_tasks(MachineIndex machine_index, const Heartbeat &heartbeat,
                                                               DownlinkEvidence &evidence) {
  auto &allocations = at(machine_index).allocations;
  TaskListing listing;
  for (auto &allocation : allocations)
    allocation.presence = Presence::Absent;
  for (const auto &task : heartbeat.tasks) {
    const auto found = std::find_if(allocations.begin(), allocations.end(),
                                    [&task](const Allocation &allocation) { return same_attempt(allocation, task); });
    if (found == allocations.end()) {
      listing.unknown.push_back(&task);
      continue;
    }
    const auto position = static_cast<std::size_t>(found - allocations.begin());
    found->presence = Presence::Listed;
    // The task is listed, so the response with its start has arrived.
    evidence.acknowledged |= found->state == AllocationState::Sent;
    observe(machine_index, *found, task);
    if (task.phase == TaskPhase::Exited) listing.exits.emplace_back(position, &task);
  }
  for (const auto &allocation : allocations)
    evidence.unacknowledged |= allocation.presence == Presence::Absent && allocation.state == AllocationState::Sent &&
                               !allocation.stop_requested();
  return listing;
}

void WorkerRegistry::observe(MachineIndex machine_index, Allocation &allocation, const TaskStatus &task) {
  const double now = runtime_.now();
  allocation.state = std::max(allocation.state, AllocationState::Observed);
  allocation.phase = task.phase;
  if (task.phase == TaskPhase::Waiting && allocation.waiting_since < 0) allocation.waiting_since = now;
  if (task.phase != TaskPhase::Running || allocation.running_since >= 0) return;
  allocation.running_since = now;
  if (allocation.job.valid())
    events_.publish(TaskRunning{allocation.job, allocation.index, machine_index, now - allocation.placed_at});
}

void WorkerRegistry::handle_listed_exits(MachineIndex machine_index, const TaskListing &listing,
                                         std::vector<TaskCommand> &commands) {
  for (const auto &[position, task] : listing.exits) {
    Allocation &allocation = at(machine_index).allocations[position];
    // The worker has to keep the result until its completion is recorded.
    if (allocation.completed()) {
      if (!allocation.job.valid() || state_writer_.completion_recorded(allocation.job, allocation.index))
        commands.push_back(make_command(TaskCommand::Verb::Forget, allocation));
      continue;
    }
    handle_exit(machine_index, allocation, *task);
    if (allocation.completed()) continue;
    commands.push_back(make_command(TaskCommand::Verb::Forget, allocation));
    allocation.presence = Presence::Failed;
  }
}

void WorkerRegistry::handle_exit(MachineIndex machine_index, Allocation &allocation, const TaskStatus &task) {
  if (!allocation.job.valid()) return;
  Machine &machine = at(machine_index);
  events_.publish(TaskExited{allocation.job, allocation.index, machine_index, machine.name, task.cause,
                             allocation.placed_at, allocation.running_since});
  if (task.cause != ExitCause::Done || jobs_[allocation.job].spec.shape == Shape::Service) return;
  allocation.state = AllocationState::Completed;
  publish_released(machine_index, allocation, true);
  machine.used.add(allocation.need, -1);
  jobs_.finish(allocation.job, allocation.index);
  if (allocation.running_since >= 0)
    machine.busy_cpu_s += (runtime_.now() - allocation.running_since) * allocation.need.cpus;
}

void WorkerRegistry::update_downlink(Machine &machine, const DownlinkEvidence &evidence) {
  const double now = runtime_.now();
  const double alive_since = std::max(machine.heartbeat.incarnation_since, machine.downlink.lost_since());
  const bool survived_lease = now - alive_since > 1.3 * settings_.lease_s + settings_.heartbeat_interval_s;
  switch (machine.downlink.update(evidence, survived_lease, now)) {
  case DownlinkState::Change::None:
    break;
  case DownlinkState::Change::Lost:
    runtime_.log(LogLevel::Info, "worker_downlink_lost",
                 {{"machine", machine.name},
                  {"session", machine.heartbeat.incarnation},
                  {"then", "heartbeats still arrive; no tasks are started there"}});
    break;
  case DownlinkState::Change::Restored:
    runtime_.log(LogLevel::Info, "worker_downlink_restored", {{"machine", machine.name}});
    break;
  }
}

// Releases the allocations that the heartbeat does not list. Their attempts are over, because the heartbeat is newer
// than every response that could have carried the start. An allocation that was never listed is kept while its start
// can still be sent or resent.
//
// `reconcile_gang` may release other allocations and shift positions. `presence` is therefore kept in the allocation
// and not by position, so that a running task is never taken for an absent one.
void WorkerRegistry::release_absent(MachineIndex machine_index) {
  Machine &machine = at(machine_index);
  for (std::size_t position = machine.allocations.size(); position-- > 0;) {
    if (position >= machine.allocations.size()) continue;
    const Allocation &allocation = machine.allocations[position];
    const bool start_pending = !allocation.observed() && !allocation.stop_requested() && !machine.downlink.lost();
    if (allocation.presence == Presence::Listed) continue;
    if (allocation.presence == Presence::Absent && start_pending) continue;
    const JobIndex job_index = allocation.job;
    release(machine_index, position);
    if (job_index.valid()) reconcile_gang(job_index);
  }
}

void WorkerRegistry::reconcile_unknown_task(MachineIndex machine_index, const TaskStatus &task,
                                            std::vector<TaskCommand> &commands) {
  const JobIndex job_index = jobs_.index(task.job);
  if (may_adopt(job_index, task)) {
    adopt(machine_index, job_index, task, commands);
  } else if (task.phase == TaskPhase::Exited) { // its job has ended, or it is a duplicate attempt
    commands.push_back(make_command(TaskCommand::Verb::Forget, task));
  } else {
    commands.push_back(make_command(TaskCommand::Verb::Stop, task));
    add_unwanted(machine_index, job_index, task);
  }
}

// Returns true if an earlier leader may have started the task and no newer attempt is known.
bool WorkerRegistry::may_adopt(JobIndex job_index, const TaskStatus &task) {
  if (!job_index.valid() || task.index >= jobs_[job_index].spec.tasks) return false;
  const Job &job = jobs_[job_index];
  const TaskState state = job.tasks[task.index].state;
  if (state != TaskState::Unaccounted && state != TaskState::Pending) return false;
  if (job.spec.shape != Shape::Gang) return true;
  if (job.gang_attempt > task.attempt) return task.phase == TaskPhase::Exited;
  jobs_.adopt_gang_attempt(job_index, task.attempt);
  return true;
}

void WorkerRegistry::adopt(MachineIndex machine_index, JobIndex job_index, const TaskStatus &task,
                           std::vector<TaskCommand> &commands) {
  Machine &machine = at(machine_index);
  const Job &job = jobs_[job_index];
  const double now = runtime_.now();
  Allocation adopted;
  adopted.job = job_index;
  adopted.job_id = task.job;
  adopted.index = task.index;
  adopted.attempt = task.attempt;
  adopted.state = AllocationState::Observed;
  adopted.phase = task.phase;
  adopted.was_unaccounted = job.tasks[task.index].state == TaskState::Unaccounted;
  adopted.need = job.spec.need;
  adopted.placed_at = now;
  adopted.start_sent_at = now;
  if (task.phase == TaskPhase::Waiting) adopted.waiting_since = now;
  if (task.phase == TaskPhase::Running) adopted.running_since = now;
  state_writer_.mark_started(job_index, task.index);
  events_.publish(TaskAllocated{job_index, task.index, machine_index, true, adopted.was_unaccounted});
  jobs_.place(job_index, task.index, machine_index, machine.zone);
  machine.used.add(adopted.need);
  touch_cached_image(machine, job.image, job.spec.image_gb);
  machine.allocations.push_back(std::move(adopted));
  const std::size_t position = machine.allocations.size() - 1;
  Allocation &allocation = machine.allocations[position];
  if (task.phase == TaskPhase::Exited) {
    handle_exit(machine_index, allocation, task);
    if (allocation.completed()) return;
    commands.push_back(make_command(TaskCommand::Verb::Forget, task));
    release(machine_index, position);
  } else if (job.cancelled) {
    request_stop(machine_index, allocation, 0);
  }
}

// Adds an allocation without a job for a task that is being stopped, as it uses capacity until a heartbeat no longer
// lists it.
void WorkerRegistry::add_unwanted(MachineIndex machine_index, JobIndex job_index, const TaskStatus &task) {
  Machine &machine = at(machine_index);
  Allocation unwanted;
  unwanted.job_id = task.job;
  unwanted.index = task.index;
  unwanted.attempt = task.attempt;
  unwanted.state = AllocationState::Observed;
  unwanted.phase = task.phase;
  unwanted.stop_grace_s = 0;
  unwanted.placed_at = runtime_.now();
  if (job_index.valid()) unwanted.need = jobs_[job_index].spec.need;
  machine.used.add(unwanted.need);
  machine.allocations.push_back(std::move(unwanted));
}

void WorkerRegistry::build_response(MachineIndex machine_index, bool may_start, std::vector<TaskCommand> &commands) {
  Machine &machine = at(machine_index);
  machine.stop_commands_pending = false;
  std::size_t start_count = 0;
  for (auto &allocation : machine.allocations) {
    if (allocation.completed()) continue;
    if (allocation.stop_requested()) {
      if (allocation.observed() && allocation.phase != TaskPhase::Exited)
        commands.push_back(make_command(TaskCommand::Verb::Stop, allocation, *allocation.stop_grace_s));
    } else if (may_start && start_count < kMaxStartsPerResponse && may_send_start(machine, allocation)) {
      mark_start_sent(machine_index, allocation);
      ++start_count;
      commands.push_back(make_command(TaskCommand::Verb::Start, allocation));
    }
  }
  if (!machine.allocations.empty())
    machine.idle_since = -1;
  else if (machine.idle_since < 0)
    machine.idle_since = runtime_.now();
  assert(consistent(machine_index));
}

// Returns true once the start is recorded, so that the next leader knows of every task that may run.
bool WorkerRegistry::may_send_start(const Machine &machine, const Allocation &allocation) const {
  if (machine.downlink.lost() || machine.returning()) return false;
  if (allocation.observed() || !allocation.job.valid() || jobs_[allocation.job].paused) return false;
  return state_writer_.start_recorded(allocation.job, allocation.index);
}

void WorkerRegistry::mark_start_sent(MachineIndex machine_index, Allocation &allocation) {
  if (allocation.sent()) return;
  allocation.state = AllocationState::Sent;
  allocation.start_sent_at = runtime_.now();
  events_.publish(TaskAllocated{allocation.job, allocation.index, machine_index, false, false});
}

} // namespace loftrouter::core
