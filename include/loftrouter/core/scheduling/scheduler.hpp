// The placement rounds: which tasks go where, and when.
//
// Owns the queue of the last round over all machines, and with its parts the nominations and reservations of machines;
// used by the core's thread alone. Tasks go only where their job allows, within their team's limit counting all that
// may be on a machine (quota, wrong_place). What it places is not started before it is recorded (ran_twice).
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
  // Its parts refer to one another.
  Scheduler(const Scheduler &) = delete;
  Scheduler &operator=(const Scheduler &) = delete;

  void tick();                       // a round if one is due
  void place_if_something_changed(); // a round if there is new work or room, at the end of each batch
  // A round for one machine alone, whose heartbeat has just been accepted: it lets the next start leave with the very
  // response, if the task is recorded ahead. Otherwise the machine would stay empty for a whole heartbeat interval.
  void place_on(MachineIndex machine_index);

  const PlacementQueue &queue() const { return queue_; }
  const FleetSnapshot &snapshot() const { return snapshot_; }
  const LargeTaskReservations &large_task_reservations() const { return large_task_reservations_; }

  void on(const JobAccepted &event) { large_task_reservations_.on(event); }
  void on(const TaskExited &) { room_freed_ = true; }
  void on(const MachineRemoved &event) { nominations_.on(event); }
  void on(const TermStarted &);
  void on(const TermEnded &);

private:
  struct QueuedJob {
    PlacementJob placement;
    std::uint64_t serial = 0; // of the job: its index may be another's by now
  };
  bool something_changed() const { return room_freed_ || context_.jobs.pending_work_version() != arrivals_seen_; }
  void mark_seen();
  void place_on_all();
  void fill_queue(const std::vector<JobIndex> &jobs);
  std::vector<JobIndex> unplaced(const std::vector<JobIndex> &jobs, const std::vector<std::uint32_t> &placed) const;
  bool refresh(QueuedJob &queued) const;
  void record_ahead();
  PlacementOptions options() const;

  const SchedulingContext context_;
  LargeTaskReservations large_task_reservations_;
  Nominations nominations_;
  PlacementQueue queue_;
  FleetSnapshot snapshot_;
  TaskPlacer placer_;
  Preemption preemption_;

  double next_round_ = 0;        // monotonic
  double next_record_ahead_ = 0; // monotonic
  bool room_freed_ = false;      // a task has exited since the last round
  std::uint64_t arrivals_seen_ = 0;
  std::vector<QueuedJob> last_round_; // jobs with tasks to place at the last round over all machines, oldest first
};

} // namespace loftrouter::core
