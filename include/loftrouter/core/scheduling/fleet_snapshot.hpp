// Lists the machines that may take tasks, with their free resources, for a placement round.
// Machines on which a task would probably not start are left out; safety doesn't depend on that.
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
  // Decides whether to include a machine that is unreachable at present.
  using IncludeUnreachable = std::function<bool(MachineIndex)>;

  FleetSnapshot(const SchedulingContext &context, const LargeTaskReservations &reservations,
                const Nominations &nominations)
      : context_(context), reservations_(reservations), nominations_(nominations) {}

  std::vector<PlacementMachine> schedulable_machines(const IncludeUnreachable &include_unreachable = {}) const;
  // Returns no value if the machine takes no tasks.
  std::optional<PlacementMachine> schedulable_machine(MachineIndex machine_index) const;

private:
  bool in_service(const Machine &machine) const;
  bool reachable(const Machine &machine) const;
  PlacementMachine placement_machine(MachineIndex machine_index, const Machine &machine,
                                     double cheapest_cpu_price) const;
  bool is_small(const Allocation &allocation) const;
  bool runs_only_small_tasks(MachineIndex machine_index) const;
  void release_surplus_reserved(std::vector<PlacementMachine> &machines) const;

  const SchedulingContext &context_;
  const LargeTaskReservations &reservations_;
  const Nominations &nominations_;
};

} // namespace loftrouter::core
