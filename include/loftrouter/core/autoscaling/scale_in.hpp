// Returns machines to the cloud. A machine counts as gone only once the cloud has confirmed it; until then its tasks
// may still be running (docs/safety.md "ran_twice").
#pragma once

#include <string>
#include <vector>

#include "loftrouter/core/autoscaling/autoscaling_context.hpp"
#include "loftrouter/core/runtime/token_bucket.hpp"

namespace loftrouter::core {

class ScaleIn {
public:
  ScaleIn(const AutoscalingContext &context, TokenBucket &call_limiter)
      : context_(context), call_limiter_(call_limiter) {}

  // Returns the machines that are due, one call at a time.
  void return_machines();
  // Drains expensive machines whose load the rest of the fleet can take. `waiting_cpus`: see `CapacityPlan`.
  void drain_surplus(double waiting_cpus);
  // Keeps machines from counting as idle while this node can't place tasks.
  void note_scheduling_paused() { scheduling_paused_until_ = context_.runtime.now(); }
  void on(const TermEnded &) { call_in_flight_ = false; }

private:
  // Counts machines that have sent a heartbeat.
  struct FleetCounts {
    int available = 0;
    int lost = 0;
    int downlink_lost = 0;
  };
  FleetCounts count_fleet() const;
  std::vector<std::string> mark_and_list_returning();
  bool should_return(MachineIndex machine_index, const Machine &machine, const FleetCounts &fleet) const;
  bool never_came_up(const Machine &machine, double boot_s) const;
  bool lost_for_good(const Machine &machine, const FleetCounts &fleet) const;
  bool reclaimed_by_cloud(const Machine &machine) const;
  bool idle_too_long(const Machine &machine, double boot_s) const;
  double max_idle_s(const Machine &machine, double boot_s) const;
  bool downlink_lost_too_long(const Machine &machine, double boot_s, const FleetCounts &fleet) const;

  const AutoscalingContext &context_;
  TokenBucket &call_limiter_;
  bool call_in_flight_ = false;
  double scheduling_paused_until_ = -1e9; // monotonic
};

} // namespace loftrouter::core
