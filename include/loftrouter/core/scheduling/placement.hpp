// Computes one placement round (bin packing) as a pure function of a snapshot. See docs/design.md.
//
// Within a round, positions in the vectors passed to `place_round` identify jobs and machines.
#pragma once

#include <cstdint>
#include <vector>

#include "loftrouter/core/runtime/dense_index.hpp"
#include "loftrouter/model/types.hpp"

namespace loftrouter::core {

struct PlacementMachine {
  MachineIndex index;
  Resources size;
  Resources free;
  int type = 0;
  int zone = 0;
  bool spot = false;
  bool reserved_for_large = false; // see `LargeTaskReservations`
  Resources small_task_headroom;   // what small tasks may still use of a reserved machine
  JobIndex nominated_for;          // if valid, the only job that may use the machine
  double price_premium = 0;        // 1 - cheapest CPU price / this machine's; 0 to 1
  std::vector<int> images;         // cached or being fetched
  double fetch_gb_per_s = 1;
};

struct PlacementJob {
  JobIndex index;
  Resources need; // of each task
  int team = 0;

  // Constraints.
  std::vector<char> types; // by type index: whether allowed
  int zone = -1;           // -1: any
  bool spot = false;       // may use spot machines
  bool gang = false;       // places all of `pending` or nothing
  bool one_zone = false;
  int max_per_zone = -1;                      // spread constraint; -1: none
  std::vector<int> placed_by_zone;            // tasks placed in earlier rounds, by zone index
  std::vector<MachineIndex> avoided_machines; // where its tasks have failed
  bool small = false;                         // may use little of a reserved machine (`small_task_headroom`)
  double max_price_premium = 1;               // for on-demand machines

  std::uint32_t pending = 0; // tasks to place
  std::uint32_t limit = 0;   // maximum to place now

  // Ranking.
  Priority priority = Priority::Normal;
  bool guaranteed = false;     // within its team's guaranteed quota
  bool delegated_here = false; // ranks below all local jobs
  double wait_s = 0;
  bool cannot_reserve = false; // reserves no machines however long it waits
  bool in_time = false;        // would meet its completion target if placed now

  int image = -1;
  double image_gb = 0;
};

struct PlacementOptions {
  double full_plan_bonus = 10;  // for a plan that places all pending tasks
  double age_weight = 0.05;     // per second waited
  double image_weight = 0.3;    // for a machine that holds the image
  double price_weight = 1.0;    // times the machine's price premium
  double reserve_after_s = 120; // a job that has waited longer reserves machines
  double in_time_bonus = 30;    // keeps late jobs from delaying those still in time
};

// Assigns a task of a job to a machine, both by position.
struct Assignment {
  int job = 0;
  int machine = 0;
};
// Keeps a machine for a job that has waited too long.
struct MachineReservation {
  JobIndex job;
  MachineIndex machine;
};

// Returns whether the job may use the machine, regardless of free resources.
bool allowed(const PlacementJob &job, const PlacementMachine &machine);
// Returns whether one more task fits the machine's free resources.
bool fits_free_resources(const PlacementJob &job, const PlacementMachine &machine);
// F of the paper (docs/design.md): sums, over the resources, the free share of the machine times the share that a task
// requests.
double fit_score(const PlacementJob &job, const PlacementMachine &machine);
// Adds a bonus for a cached image to the fit score and subtracts the price premium, both weighted.
double placement_score(const PlacementJob &job, const PlacementMachine &machine, const PlacementOptions &options);

// Places tasks until nothing more fits. `team_headroom`: CPUs and GPUs left under each team's limit, negative: no
// limit. `reserved` receives the machines kept for jobs that have waited too long; nothing else may be placed there
// until the next full round.
std::vector<Assignment> place_round(std::vector<PlacementMachine> machines,
                                    const std::vector<const PlacementJob *> &jobs, std::vector<Resources> team_headroom,
                                    const PlacementOptions &options,
                                    std::vector<MachineReservation> *reserved = nullptr);
std::vector<Assignment> place_round(std::vector<PlacementMachine> machines, const std::vector<PlacementJob> &jobs,
                                    std::vector<Resources> team_headroom, const PlacementOptions &options,
                                    std::vector<MachineReservation> *reserved = nullptr);

} // namespace loftrouter::core
