// Binds single tasks to machines, with attempt numbers.
//
// Owns the counter of attempts. Promises that no two attempts of a task have the same number, also across leaders, as
// numbers hold the term; and that what is placed is to be recorded, which it has to be before it is started
// (ran_twice).
#pragma once

#include <cstdint>
#include <vector>

#include "loftrouter/core/scheduling/placement_queue.hpp"
#include "loftrouter/core/scheduling/scheduling_context.hpp"

namespace loftrouter::core {

class TaskPlacer {
public:
  TaskPlacer(const SchedulingContext &context, PlacementQueue &queue) : context_(context), queue_(queue) {}

  // `task_index` has to be pending.
  void place(JobIndex job_index, std::uint32_t task_index, MachineIndex machine_index);
  // The plan of a round. `jobs` and `machines`: what its positions stand for. Returns by position how many tasks of
  // each job were placed.
  std::vector<std::uint32_t> place_all(const std::vector<Assignment> &plan, const std::vector<JobIndex> &jobs,
                                       const std::vector<MachineIndex> &machines);

private:
  std::uint64_t fresh_attempt();
  std::uint64_t attempt_for(JobIndex job_index);

  const SchedulingContext &context_;
  PlacementQueue &queue_;
  std::uint64_t attempts_ = 0;
};

// The first pending task of the job from `task_index` on, or the number of its tasks.
std::uint32_t next_pending_task(const Job &job, std::uint32_t task_index);

} // namespace loftrouter::core
