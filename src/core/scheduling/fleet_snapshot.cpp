#include "loftrouter/core/scheduling/fleet_snapshot.hpp"

#include <algorithm>
#include <unordered_map>

namespace loftrouter::core {

namespace {
constexpr double kTypeReservationS = 600.0; // after the last large job was accepted
} // namespace

std::vector<PlacementMachine> FleetSnapshot::schedulable_machines(const IncludeUnreachable &include_unreachable) const {
  std::vector<PlacementMachine> machines;
  const double cheapest_cpu_price = context_.catalog.cheapest_cpu_price();
  context_.workers.each([&](MachineIndex machine_index, const Machine &machine) {
    if (!in_service(machine)) return;
    const bool included = reachable(machine) || (include_unreachable && include_unreachable(machine_index));
    if (included) machines.push_back(placement_machine(machine_index, machine, cheapest_cpu_price));
  });
  release_surplus_reserved(machines);
  return machines;
}

std::optional<PlacementMachine> FleetSnapshot::schedulable_machine(MachineIndex machine_index) const {
  const Machine *machine = context_.workers.find(machine_index);
  if (!machine || !in_service(*machine) || !reachable(*machine)) return std::nullopt;
  PlacementMachine result = placement_machine(machine_index, *machine, context_.catalog.cheapest_cpu_price());
  // Keeps the last decision of `release_surplus_reserved`.
  if (const auto *nomination = nominations_.find(machine_index))
    result.reserved_for_large &= !nomination->open_to_small_tasks;
  return result;
}

bool FleetSnapshot::in_service(const Machine &machine) const {
  return !machine.returning() && !machine.reclaim_at && !machine.draining() && !machine.admin_state &&
         machine.type >= 0;
}

bool FleetSnapshot::reachable(const Machine &machine) const {
  return machine.available() &&
         !machine.heartbeat_overdue(context_.runtime.now(), context_.settings.heartbeat_interval_s) &&
         machine.downlink.accepts_commands();
}

PlacementMachine FleetSnapshot::placement_machine(MachineIndex machine_index, const Machine &machine,
                                                  double cheapest_cpu_price) const {
  const auto &type = context_.catalog.type(machine.type);
  const double cpu_price = InstanceTypeCatalog::cpu_price(type, machine.spot);
  PlacementMachine result;
  result.index = machine_index;
  result.size = machine.size;
  result.free = machine.size;
  result.free.add(machine.used, -1);
  result.type = machine.type;
  result.zone = machine.zone;
  result.spot = machine.spot;
  result.price_premium = 1 - cheapest_cpu_price / std::max(cheapest_cpu_price, cpu_price);
  result.fetch_gb_per_s = type.fetch_gb_per_s;
  for (const auto &[image, image_gb] : machine.images)
    result.images.push_back(image);
  const auto *nomination = nominations_.find(machine_index);
  if (nomination && context_.runtime.now() < nomination->expires_at)
    result.nominated_for = context_.jobs.index(nomination->job_id);
  const auto *reservation = machine.spot ? nullptr : reservations_.find(machine.type, kTypeReservationS);
  if (!reservation) return result;
  result.reserved_for_large = true;
  result.small_task_headroom = machine.size;
  result.small_task_headroom.add(reservation->need, -1);
  for (const auto &allocation : machine.allocations)
    if (!allocation.completed() && is_small(allocation)) result.small_task_headroom.add(allocation.need, -1);
  return result;
}

bool FleetSnapshot::is_small(const Allocation &allocation) const {
  if (!allocation.job.valid()) return false;
  const JobSpec &spec = context_.jobs[allocation.job].spec;
  return core::is_small(spec, spec.priority);
}

bool FleetSnapshot::runs_only_small_tasks(MachineIndex machine_index) const {
  const auto &allocations = context_.workers[machine_index].allocations;
  return std::all_of(allocations.begin(), allocations.end(),
                     [this](const Allocation &allocation) { return allocation.completed() || is_small(allocation); });
}

// Keeps one machine of each type reserved among those that run no large task: the one with the most free CPUs. The
// others must not stand idle.
void FleetSnapshot::release_surplus_reserved(std::vector<PlacementMachine> &machines) const {
  std::unordered_map<int, PlacementMachine *> reserved; // by type
  for (auto &machine : machines) {
    if (!machine.reserved_for_large || machine.nominated_for.valid() || !runs_only_small_tasks(machine.index)) continue;
    const auto [it, first_of_type] = reserved.try_emplace(machine.type, &machine);
    if (first_of_type) continue;
    PlacementMachine &other = *it->second;
    if (machine.free.cpus > other.free.cpus) {
      other.reserved_for_large = false;
      it->second = &machine;
    } else {
      machine.reserved_for_large = false;
    }
  }
}

} // namespace loftrouter::core
