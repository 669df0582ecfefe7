// What a placement round sees of the machines: those that may take tasks, with what is free on them.
//
// Owns nothing. Quota and placement rules don't rest on it: it only leaves machines out on which a task would probably
// not start.
#pragma once

#include <functional>
#include <optional>
#include <vector>

#include "loftrouter/core/scheduling/large_task_reservations.hpp"
#include "loftrouter/core/scheduling/nominations.hpp"
#include "loftrouter/core/scheduling/placement.hpp"
#include "loftrouter/core/scheduling/scheduling_context.hpp"

namespace loftrouter::core {

class FleetSnapshot {
public:
  // Says of a machine that is not reachable at present whether it is taken all the same.
  using IncludeUnreachable = std::function<bool(MachineIndex)>;

  FleetSnapshot(const SchedulingContext &context, const LargeTaskReservations &reservations,
                const Nominations &nominations)
      : context_(context), reservations_(reservations), nominations_(nominations) {}

  std::vector<PlacementMachine> all(const IncludeUnreachable &include_unreachable = {}) const;
  std::optional<PlacementMachine> one(MachineIndex machine_index) const; // nothing: it takes no tasks

private:
  bool in_service(const Machine &machine) const;
  bool reachable(const Machine &machine) const;
  PlacementMachine view(MachineIndex machine_index, const Machine &machine, double cheapest_cpu_price) const;
  bool is_small(const Allocation &allocation) const;
  bool holds_only_small(MachineIndex machine_index) const;
  void open_surplus_reserved(std::vector<PlacementMachine> &machines) const;

  const SchedulingContext &context_;
  const LargeTaskReservations &reservations_;
  const Nominations &nominations_;
};

} // namespace loftrouter::core
