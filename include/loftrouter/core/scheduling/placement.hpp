// One placement round (bin packing) as a pure function of a snapshot. See docs/design.md for what comes from the paper
// and what is ours.
//
// Owns nothing and has no side effects. Positions in the vectors passed to `place_round` name jobs and machines within
// a round; what they stand for outside of it is `PlacementJob::index` and `PlacementMachine::id`.
#pragma once

#include <cstdint>
#include <vector>

#include "loftrouter/core/runtime/dense_index.hpp"
#include "loftrouter/model/types.hpp"

namespace loftrouter::core {

struct PlacementMachine {
  MachineIndex id; // what `PlacementJob::avoided_machines` names
  Resources size;
  Resources free;
  int type = 0;
  int zone = 0;
  bool spot = false;
  bool reserved_for_large = false; // wanted whole by a job class that fits nowhere else
  Resources small_work_room;       // of a reserved one: what small work may still take without being in the way
  JobIndex nominated_for;          // being emptied for this job (`PlacementJob::index`): takes nothing else
  double price_premium = 0;        // 0: a CPU is as cheap here as anywhere; towards 1: much more expensive
  std::vector<int> images;         // cached or being fetched
  double fetch_gb_per_s = 1;
};

struct PlacementJob {
  JobIndex index; // compared with `PlacementMachine::nominated_for`
  Resources need; // of each task
  int team = 0;

  // Where its tasks may go.
  std::vector<char> types; // by type index: allowed
  int zone = -1;           // only this zone, or -1
  bool spot = false;       // may use spot machines
  bool gang = false;       // all of `pending` or nothing
  bool one_zone = false;
  int max_per_zone = -1;      // most tasks in a zone (spread), or -1
  std::vector<int> zone_used; // tasks of the job on machines, by zone
  std::vector<MachineIndex> avoided_machines;
  bool small = false;           // low urgency and spot-tolerant: keeps off reserved machines
  double max_price_premium = 1; // keeps off on-demand machines that are more expensive

  // How many.
  std::uint32_t pending = 0; // tasks to place
  std::uint32_t limit = 0;   // most of them that may be placed now

  // How it ranks.
  Priority priority = Priority::Normal;
  bool guaranteed = false;     // within its team's guarantee
  bool delegated_here = false; // another cell's: after all of this cell's own work
  double wait_s = 0;
  bool started = false; // some of its tasks have been placed
  bool in_time = false; // placed now, its tasks would end in time

  int image = -1;
  double image_gb = 0;
};

struct PlacementOptions {
  double full_plan_bonus = 10; // the plan fits whole
  double age_weight = 0.05;    // per second waited
  double image_weight = 0.3;   // beside F: the machine holds the image
  double price_weight = 1.0;   // beside F: more expensive than the cheapest
  double reserve_after_s = 120;
  double in_time_bonus = 30; // the plan's tasks would end in time: late jobs do not make others late
};

struct Assignment { // of a task, by positions
  int job = 0;
  int machine = 0;
};
struct Reservation { // of a machine for a job that has waited too long
  JobIndex job;
  MachineIndex machine;
};

// By rules alone: type, zone, spot, price, nomination, failures. Room is not looked at.
bool allowed(const PlacementJob &job, const PlacementMachine &machine);
// For one more task.
bool has_room(const PlacementJob &job, const PlacementMachine &machine);
double fit_score(const PlacementJob &job, const PlacementMachine &machine); // F of the paper
double placement_score(const PlacementJob &job, const PlacementMachine &machine, const PlacementOptions &options);

// Places until nothing more fits. `team_room`: CPUs and GPUs left under each team's limit, or negative for none; it is
// used up along the way. `reserved`: which machines a job that has waited too long keeps for itself; until the next
// round over all machines nothing else may be placed there.
std::vector<Assignment> place_round(std::vector<PlacementMachine> machines,
                                    const std::vector<const PlacementJob *> &jobs, std::vector<Resources> team_room,
                                    const PlacementOptions &options, std::vector<Reservation> *reserved = nullptr);
std::vector<Assignment> place_round(std::vector<PlacementMachine> machines, const std::vector<PlacementJob> &jobs,
                                    std::vector<Resources> team_room, const PlacementOptions &options,
                                    std::vector<Reservation> *reserved = nullptr);

} // namespace loftrouter::core
