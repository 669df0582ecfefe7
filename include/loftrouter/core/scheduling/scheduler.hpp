// Decides when to run placement rounds and applies their results.
//
// A full round covers all machines. Core thread only. Invariants (docs/safety.md): tasks are placed only where their
// constraints allow ("wrong_place") and within their team's limit, counting every task that may still be on a machine
// ("quota"). A placed task starts only after the placement is recorded ("ran_twice").
#pragma once

#include <cstdint>
#include <vector>

#include "loftrouter/core/scheduling/fleet_snapshot.hpp"
#include "loftrouter/core/scheduling/large_task_reservations.hpp"
#include "loftrouter/core/scheduling/nominations.hpp"
#include "loftrouter/core/scheduling/placement_queue.hpp"
#include "loftrouter/core/scheduling/preemption.hpp"
#include "loftrouter/core/scheduling/scheduling_context.hpp"
#include "loftrouter/core/scheduling/task_placer.hpp"

namespace loftrouter::core {

class Scheduler {
public:
  explicit Scheduler(const SchedulingContext &context);
  Scheduler(const Scheduler &) = delete;
  Scheduler &operator=(const Scheduler &) = delete;

  void tick(); // runs a full round if one is due
  // Runs a full round if jobs have arrived or tasks have exited; called at the end of each batch.
  void place_if_something_changed();
  // Runs a round for a machine whose heartbeat has just been accepted, so that the response can start a task already
  // recorded as started (see `prerecord_tasks`) instead of leaving the machine idle for a heartbeat interval.
  void place_on_machine(MachineIndex machine_index);

  const PlacementQueue &queue() const { return queue_; }
  const FleetSnapshot &snapshot() const { return snapshot_; }
  const LargeTaskReservations &large_task_reservations() const { return large_task_reservations_; }

  void on(const JobAccepted &event) { large_task_reservations_.on(event); }
  void on(const TaskExited &) { task_exited_ = true; }
  void on(const MachineRemoved &event) { nominations_.on(event); }
  void on(const TermStarted &);
  void on(const TermEnded &);

private:
  struct QueuedJob {
    PlacementJob placement_job;
    std::uint64_t serial = 0; // detects that the job index has been reused
  };
  bool something_changed() const { return task_exited_ || context_.jobs.pending_work_version() != arrivals_seen_; }
  void mark_changes_seen();
  void run_full_round();
  void fill_queue(const std::vector<JobIndex> &jobs);
  std::vector<JobIndex> unplaced_jobs(const std::vector<JobIndex> &jobs,
                                      const std::vector<std::uint32_t> &placed) const;
  bool refresh(QueuedJob &queued) const;
  void prerecord_tasks();
  PlacementOptions options() const;

  const SchedulingContext context_;
  LargeTaskReservations large_task_reservations_;
  Nominations nominations_;
  PlacementQueue queue_;
  FleetSnapshot snapshot_;
  TaskPlacer placer_;
  Preemption preemption_;

  double next_round_ = 0;     // monotonic
  double next_prerecord_ = 0; // monotonic
  bool task_exited_ = false;  // since the last full round
  std::uint64_t arrivals_seen_ = 0;
  std::vector<QueuedJob> last_round_queue_; // oldest first
};

} // namespace loftrouter::core
