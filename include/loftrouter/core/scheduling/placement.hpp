// One placement round as a pure function of a snapshot. See docs/design.md for what comes from the
// paper and what is ours.
#pragma once

#include <cstdint>
#include <vector>

#include "loftrouter/core/runtime/dense_index.hpp"
#include "loftrouter/model/types.hpp"

namespace loftrouter::core {

struct PlaceMachine {
  MachineIndex id; // what `PlaceJob::barred` names
  Resources size, free;
  int type = 0, zone = 0;
  bool spot = false;
  bool kept = false;        // wanted whole by a job class that fits nowhere else
  Resources spare;          // kept: what small work may still take without being in the way
  JobIndex held_for;        // being emptied for this job (`PlaceJob::self`): takes nothing else
  double price_premium = 0; // 0: a CPU is as cheap here as anywhere; towards 1: much dearer
  std::vector<int> images;  // held or being fetched
  double speed_gb_s = 1;
};

struct PlaceJob {
  JobIndex self; // compared with `PlaceMachine::held_for`
  Resources need;
  std::vector<char> types; // by type index: allowed
  int zone = -1;           // only this zone, or -1
  bool spot = false;       // may use spot machines
  bool gang = false;       // all of `ready` or nothing
  bool one_zone = false;
  int zone_cap = -1;                // most tasks in a zone (spread), or -1
  std::vector<int> zone_used;       // tasks of the job on machines, by zone
  std::vector<MachineIndex> barred; // machines not to be used
  std::uint32_t ready = 0;          // tasks to place
  std::uint32_t limit = 0;          // most of them allowed by the team's limit
  Urgency urgency = Urgency::Normal;
  bool guaranteed = false;     // within its team's guarantee
  bool delegated_here = false; // another cell's: after all of this cell's own work
  double wait_s = 0;
  bool started = false; // some of its tasks have been placed
  bool in_time = false; // placed now, its tasks would end in time
  int image = -1;
  double image_gb = 0;
  bool small = false; // low, short and spot-tolerant: leaves kept machines alone
  int team = 0;
  double max_price_premium = 1; // keeps off ordinary machines that are dearer than this (`PlaceMachine::price_premium`)
};

struct PlaceOptions {
  double full_plan_bonus = 10; // the plan fits whole
  double age_weight = 0.05;    // per second waited
  double image_weight = 0.3;   // beside F: the machine holds the image
  double price_weight = 1.0;   // beside F: dearer than the cheapest
  double reserve_after_s = 120;
  double in_time_bonus = 30; // the plan's tasks would end in time: late jobs do not make others late
};

struct Assignment {
  int job = 0, machine = 0;
};
struct Reservation { // of a machine for a job that has waited too long: `PlaceJob::self`, `PlaceMachine::id`
  JobIndex job;
  MachineIndex machine;
};

// What a task of `job` scores on `m`; nothing where it may not go or does not fit.
bool allowed(const PlaceJob &job, const PlaceMachine &machine);
bool has_room(const PlaceJob &job, const PlaceMachine &machine);
double fit_score(const PlaceJob &job, const PlaceMachine &machine); // F of the paper
double place_score(const PlaceJob &job, const PlaceMachine &machine, const PlaceOptions &options);

// Rounds until nothing more fits. `team_room` (CPUs and GPUs left under each team's limit, or
// negative for none) is used up along the way. `reserved`: which machines a job that has waited too long keeps for
// itself; until the next round over all machines nothing else may be placed there.
std::vector<Assignment> place_round(std::vector<PlaceMachine> machines, const std::vector<const PlaceJob *> &jobs,
                                    std::vector<Resources> team_room, const PlaceOptions &options,
                                    std::vector<Reservation> *reserved = nullptr);
std::vector<Assignment> place_round(std::vector<PlaceMachine> machines, const std::vector<PlaceJob> &jobs,
                                    std::vector<Resources> team_room, const PlaceOptions &options,
                                    std::vector<Reservation> *reserved = nullptr);

} // namespace loftrouter::core
