#include "loftrouter/core/scheduling/fleet_snapshot.hpp"

#include <algorithm>
#include <unordered_map>

namespace loftrouter::core {

namespace {
constexpr double kReservedFor = 600.0; // s, that a type is reserved after a job has wanted it whole
} // namespace

std::vector<PlacementMachine> FleetSnapshot::all(const IncludeUnreachable &include_unreachable) const {
  std::vector<PlacementMachine> machines;
  const double cheapest_cpu = context_.catalog.cheapest_cpu();
  context_.workers.each([&](MachineIndex machine_index, const Machine &machine) {
    if (!in_service(machine)) return;
    const bool included = reachable(machine) || (include_unreachable && include_unreachable(machine_index));
    if (included) machines.push_back(view(machine_index, machine, cheapest_cpu));
  });
  open_surplus_reserved(machines);
  return machines;
}

std::optional<PlacementMachine> FleetSnapshot::one(MachineIndex machine_index) const {
  const Machine *machine = context_.workers.find(machine_index);
  if (!machine || !in_service(*machine) || !reachable(*machine)) return std::nullopt;
  PlacementMachine out = view(machine_index, *machine, context_.catalog.cheapest_cpu());
  // As it was decided when all machines were looked at.
  if (const auto *nomination = nominations_.find(machine_index)) out.reserved_for_large &= !nomination->open_to_small;
  return out;
}

bool FleetSnapshot::in_service(const Machine &machine) const {
  return !machine.returning() && !machine.reclaim_at && !machine.draining() && !machine.admin_state &&
         machine.type >= 0;
}

// The others are probably dead, hanging or cut off.
bool FleetSnapshot::reachable(const Machine &machine) const {
  return machine.available() &&
         !machine.heartbeat_overdue(context_.runtime.now(), context_.settings.heartbeat_interval_s) &&
         machine.downlink.accepts_commands();
}

PlacementMachine FleetSnapshot::view(MachineIndex machine_index, const Machine &machine, double cheapest_cpu) const {
  const auto &type = context_.catalog.type(machine.type);
  const double cpu_price = InstanceTypeCatalog::cpu_price(type, machine.spot);
  PlacementMachine out;
  out.id = machine_index;
  out.size = machine.size;
  out.free = machine.size;
  out.free.add(machine.used, -1);
  out.type = machine.type;
  out.zone = machine.zone;
  out.spot = machine.spot;
  out.price_premium = 1 - cheapest_cpu / std::max(cheapest_cpu, cpu_price);
  out.fetch_gb_per_s = type.fetch_gb_per_s;
  for (const auto &[image, image_gb] : machine.images)
    out.images.push_back(image);
  const auto *nomination = nominations_.find(machine_index);
  if (nomination && context_.runtime.now() < nomination->until)
    out.nominated_for = context_.jobs.index(nomination->job_id);
  const auto *reservation = machine.spot ? nullptr : reservations_.find(machine.type, kReservedFor);
  if (!reservation) return out;
  out.reserved_for_large = true;
  out.small_work_room = machine.size;
  out.small_work_room.add(reservation->need, -1);
  for (const auto &allocation : machine.allocations)
    if (!allocation.completed() && is_small(allocation)) out.small_work_room.add(allocation.need, -1);
  return out;
}

bool FleetSnapshot::is_small(const Allocation &allocation) const {
  if (!allocation.job.valid()) return false;
  const JobSpec &spec = context_.jobs[allocation.job].spec;
  return core::is_small(spec, spec.priority);
}

bool FleetSnapshot::holds_only_small(MachineIndex machine_index) const {
  const auto &allocations = context_.workers[machine_index].allocations;
  return std::all_of(allocations.begin(), allocations.end(),
                     [this](const Allocation &allocation) { return allocation.completed() || is_small(allocation); });
}

// Of the reserved machines that hold no large task one a type, the one with least small work, is reserved for the next;
// the others are open to small work rather than paid for nothing.
void FleetSnapshot::open_surplus_reserved(std::vector<PlacementMachine> &machines) const {
  std::unordered_map<int, PlacementMachine *> reserved; // by type
  for (auto &machine : machines) {
    if (!machine.reserved_for_large || machine.nominated_for.valid() || !holds_only_small(machine.id)) continue;
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
