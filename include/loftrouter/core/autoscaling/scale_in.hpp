// Returns machines to the cloud: scale in.
//
// Owns the call that is under way. A machine counts as gone only when the cloud has said so; until then what runs there
// may still run (ran_twice).
#pragma once

#include <string>
#include <vector>

#include "loftrouter/core/autoscaling/autoscaling_context.hpp"
#include "loftrouter/core/runtime/token_bucket.hpp"

namespace loftrouter::core {

class ScaleIn {
public:
  // `calls`: the budget of calls to the cloud.
  ScaleIn(const AutoscalingContext &context, TokenBucket &calls) : context_(context), calls_(calls) {}

  void return_machines();
  // Drains expensive machines that the others could do without. `waiting_cpus`: of tasks without a place.
  void drain_surplus(double waiting_cpus);
  // This leader can place nothing at present: no machine is idle for want of work.
  void note_placing_stopped() { placing_stopped_until_ = context_.runtime.now(); }
  void on(const TermEnded &) { call_in_flight_ = false; }

private:
  struct FleetCounts { // of machines that have sent heartbeats
    int available = 0;
    int lost = 0;
    int downlink_lost = 0;
  };
  FleetCounts count_fleet() const;
  std::vector<std::string> mark_and_list_returning();
  bool should_return(MachineIndex machine_index, const Machine &machine, const FleetCounts &fleet) const;
  bool never_came_up(const Machine &machine, double boot_s) const;
  bool lost_for_good(const Machine &machine, const FleetCounts &fleet) const;
  bool reclaimed(const Machine &machine) const;
  bool idle_too_long(const Machine &machine, double boot_s) const;
  double idle_hold_s(const Machine &machine, double boot_s) const;
  bool downlink_lost_too_long(const Machine &machine, double boot_s, const FleetCounts &fleet) const;

  const AutoscalingContext &context_;
  TokenBucket &calls_;
  bool call_in_flight_ = false;
  double placing_stopped_until_ = -1e9; // monotonic
};

} // namespace loftrouter::core
