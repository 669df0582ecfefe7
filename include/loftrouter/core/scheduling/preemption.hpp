// Preempts tasks of lower priority for jobs that found no free resources, choosing the victims that lose the least
// work. Victims count against their team's quota until a heartbeat shows that they are gone (docs/safety.md "quota").
#pragma once

#include <cstddef>
#include <vector>

#include "loftrouter/core/scheduling/fleet_snapshot.hpp"
#include "loftrouter/core/scheduling/nominations.hpp"
#include "loftrouter/core/scheduling/placement_queue.hpp"
#include "loftrouter/core/scheduling/scheduling_context.hpp"
#include "loftrouter/core/scheduling/task_placer.hpp"

namespace loftrouter::core {

class Preemption {
public:
  Preemption(const SchedulingContext &context, const FleetSnapshot &snapshot, const PlacementQueue &queue,
             Nominations &nominations, TaskPlacer &placer)
      : context_(context), snapshot_(snapshot), queue_(queue), nominations_(nominations), placer_(placer) {}

  // Preempts for jobs of which the last round placed no task.
  void preempt_for(std::vector<JobIndex> unplaced);
  // Stops the tasks of teams whose exhausted budget demands it; tasks get time to save a checkpoint.
  void stop_teams_over_budget();

private:
  struct Candidate;
  using Candidates = std::vector<Candidate>;
  Candidate candidate_for(const PlacementJob &job, const PlacementMachine &machine, std::size_t position) const;
  Candidates cheapest_candidates(const PlacementJob &job, const std::vector<PlacementMachine> &machines,
                                 int zone) const;
  Candidates best_candidates(const PlacementJob &job, const std::vector<PlacementMachine> &machines) const;
  bool can_start_immediately(const PlacementJob &job, const Candidates &candidates) const;
  void preempt_for_job(JobIndex job_index, std::vector<PlacementMachine> &machines);
  void stop_victims(const Candidate &candidate, MachineIndex machine_index, const std::string &preemptor_id);

  const SchedulingContext &context_;
  const FleetSnapshot &snapshot_;
  const PlacementQueue &queue_;
  Nominations &nominations_;
  TaskPlacer &placer_;
};

} // namespace loftrouter::core
