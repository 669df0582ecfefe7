// Binds tasks to machines and assigns attempt numbers. Invariants: attempt numbers are unique, also across leaders, as
// they contain the term; and a placement is recorded before the task starts (docs/safety.md "ran_twice").
#pragma once

#include <cstdint>
#include <vector>

#include "loftrouter/core/scheduling/placement_queue.hpp"
#include "loftrouter/core/scheduling/scheduling_context.hpp"

namespace loftrouter::core {

class TaskPlacer {
public:
  TaskPlacer(const SchedulingContext &context, PlacementQueue &queue) : context_(context), queue_(queue) {}

  // The task must be pending.
  void place(JobIndex job_index, std::uint32_t task_index, MachineIndex machine_index);
  // `jobs` and `machines` map the plan's positions to indices. Returns how many tasks were placed, by job position.
  std::vector<std::uint32_t> place_all(const std::vector<Assignment> &plan, const std::vector<JobIndex> &jobs,
                                       const std::vector<MachineIndex> &machines);

private:
  std::uint64_t new_attempt();
  std::uint64_t attempt_for(JobIndex job_index);

  const SchedulingContext &context_;
  PlacementQueue &queue_;
  std::uint64_t attempt_counter_ = 0;
};

// Returns the first pending task from `task_index` on, or the number of tasks if there is none.
std::uint32_t next_pending_task(const Job &job, std::uint32_t task_index);

} // namespace loftrouter::core
