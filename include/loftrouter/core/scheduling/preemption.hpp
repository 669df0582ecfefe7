// Makes room for jobs that fit nowhere, by stopping tasks of lower urgency where the least work is lost.
//
// Owns nothing but uses the nominations: a machine that is being emptied is kept for the job. Tasks stopped count
// against their team until a heartbeat shows them gone (quota).
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

  // For jobs none of whose tasks found room in a round.
  void make_room(std::vector<JobIndex> unplaced);
  // Where an operator wants it so, the running tasks of a team whose budget is spent are stopped, with time to save.
  void stop_teams_over_budget();

private:
  struct Offer;
  using Offers = std::vector<Offer>;
  Offer offer_of(const PlacementJob &job, const PlacementMachine &machine, std::size_t position) const;
  Offers cheapest_offers(const PlacementJob &job, const std::vector<PlacementMachine> &machines, int zone) const;
  Offers best_offers(const PlacementJob &job, const std::vector<PlacementMachine> &machines) const;
  bool may_start_at_once(const PlacementJob &job, const Offers &offers) const;
  void make_room_for(JobIndex job_index, std::vector<PlacementMachine> &machines);
  void stop_victims(const Offer &offer, MachineIndex machine_index, const std::string &preemptor_id);

  const SchedulingContext &context_;
  const FleetSnapshot &snapshot_;
  const PlacementQueue &queue_;
  Nominations &nominations_;
  TaskPlacer &placer_;
};

} // namespace loftrouter::core
