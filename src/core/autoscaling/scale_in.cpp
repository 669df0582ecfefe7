#include "loftrouter/core/autoscaling/scale_in.hpp"

#include <algorithm>
#include <tuple>

namespace loftrouter::core {

namespace {
constexpr std::size_t kMaxMachinesPerCall = 100;
constexpr double kDeadline = 5.0;              // s, of a call
constexpr double kRemovalsKept = 600.0;        // s
constexpr double kUnknownBoot = 60.0;          // s, of a machine whose type is not known
constexpr double kBootGiveUp = 2.0;            // boot times after which a machine is taken for one that never comes up
constexpr double kBootGiveUpMargin = 10.0;     // s
constexpr double kLostPatience = 30.0;         // s beyond its lease, where many machines are lost at once
constexpr double kReclaimMargin = 1.0;         // s
constexpr double kDownlinkLossPatience = 15.0; // s beyond its lease, of a machine that no response reaches
constexpr int kFewDownlinksLost = 3;           // fewer are the machines' fault; so are a third of all
constexpr double kReservedHoldBoots = 1.5; // boot times that an idle machine is held which some job class needs whole
constexpr double kReservedWithin = 300.0;  // s, in which such a job came
constexpr double kReservedWithinForDrain = 600.0;
constexpr double kDrainingHold = 3.0; // s, that a draining machine is held once it is idle
constexpr double kChargeMargin = 2.0; // s
constexpr double kHeldForever = 1e9;  // s, of a quarantined machine
constexpr double kDrainBelow = 0.85;  // expensive machines are drained until the rest is used that much
} // namespace

// ---- returns ----

void ScaleIn::return_machines() {
  context_.workers.forget_removals(kRemovalsKept);
  if (call_in_flight_) return;
  const auto names = mark_and_list_returning();
  if (names.empty() || !calls_.take(context_.runtime.now())) return;
  call_in_flight_ = true;
  const auto epoch = context_.leadership.epoch();
  context_.runtime.cloud(CloudScaleIn{names}, kDeadline, [this, names, epoch](const wire::CloudReply &reply) {
    if (epoch != context_.leadership.epoch()) return;
    call_in_flight_ = false;
    if (reply.status != 200) return; // asked again: a machine is gone only when the cloud has said so
    for (const auto &name : names)
      if (const MachineIndex machine_index = context_.workers.index(name); machine_index.valid())
        context_.workers.remove(machine_index);
  });
}

std::vector<std::string> ScaleIn::mark_and_list_returning() {
  std::vector<std::string> names;
  const FleetCounts fleet = count_fleet();
  context_.workers.each([&](MachineIndex machine_index, const Machine &machine) {
    if (should_return(machine_index, machine, fleet)) context_.workers.mark_returning(machine_index);
    if (machine.returning() && names.size() < kMaxMachinesPerCall) names.push_back(machine.name);
  });
  return names;
}

ScaleIn::FleetCounts ScaleIn::count_fleet() const {
  FleetCounts counts;
  context_.workers.each([&counts](MachineIndex, const Machine &machine) {
    if (!machine.heartbeat.received()) return;
    ++(machine.lost() ? counts.lost : counts.available);
    if (machine.downlink.lost()) ++counts.downlink_lost;
  });
  return counts;
}

bool ScaleIn::should_return(MachineIndex machine_index, const Machine &machine, const FleetCounts &fleet) const {
  const double boot_s = machine.type >= 0 ? context_.catalog.type(machine.type).boot_s : kUnknownBoot;
  if (reclaimed(machine) || downlink_lost_too_long(machine, boot_s, fleet)) return true;
  if (context_.failure_detector.must_not_scale_in(machine_index)) return false;
  return never_came_up(machine, boot_s) || lost_for_good(machine, fleet) || idle_too_long(machine, boot_s);
}

bool ScaleIn::never_came_up(const Machine &machine, double boot_s) const {
  if (machine.heartbeat.received()) return false;
  const double now = context_.runtime.now();
  return now - machine.known_since > kBootGiveUpMargin &&
         now - machine.rented_at > kBootGiveUp * boot_s + kBootGiveUpMargin;
}

// Many machines lost at once point at the network rather than at them.
bool ScaleIn::lost_for_good(const Machine &machine, const FleetCounts &fleet) const {
  if (!machine.heartbeat.received() || !machine.lost()) return false;
  const double silent_s = context_.runtime.now() - machine.heartbeat.last_accepted_at;
  return fleet.lost <= fleet.available || silent_s > context_.settings.lease_s + kLostPatience;
}

bool ScaleIn::reclaimed(const Machine &machine) const {
  const double now = context_.runtime.now();
  return machine.reclaim_at && now > *machine.reclaim_at + kReclaimMargin &&
         now - machine.heartbeat.last_accepted_at > context_.settings.heartbeat_interval_s * 1.5 + 1;
}

// Guards against what has come up, or has become free, in an outage being returned the moment that it is over.
bool ScaleIn::idle_too_long(const Machine &machine, double boot_s) const {
  if (!machine.available() || !machine.allocations.empty() || machine.idle_since < 0) return false;
  const double now = context_.runtime.now();
  const bool charged = now - machine.rented_at >= kMinimumCharge - kChargeMargin;
  if (!charged && !machine.admin_state) return false;
  return now - std::max(machine.idle_since, placing_stopped_until_) > idle_hold_s(machine, boot_s);
}

double ScaleIn::idle_hold_s(const Machine &machine, double boot_s) const {
  if (machine.admin_state) return *machine.admin_state == wire::MachineAdminState::Drain ? 0 : kHeldForever;
  const bool reserved =
      !machine.spot && context_.scheduler.large_task_reservations().find(machine.type, kReservedWithin);
  double hold_s = boot_s * (reserved ? kReservedHoldBoots : context_.operators.tunables().idle_boots);
  if (!reserved && machine.type >= 0 && machine.size.cpus > 0) { // expensive ones are held for less
    const double price = InstanceTypeCatalog::cpu_price(context_.catalog.type(machine.type), machine.spot);
    hold_s *= std::min(1.0, context_.catalog.cheapest_cpu_price() / price);
  }
  return machine.draining() ? std::min(hold_s, kDrainingHold) : hold_s;
}

// One that no response reaches is replaced once its tasks are over by its lease; where many are so it is the network,
// and they are waited for as silent ones are.
bool ScaleIn::downlink_lost_too_long(const Machine &machine, double boot_s, const FleetCounts &fleet) const {
  if (!machine.downlink.lost()) return false;
  const bool few = fleet.downlink_lost < kFewDownlinksLost || 3 * fleet.downlink_lost <= fleet.available;
  const double patience_s = few ? kDownlinkLossPatience : kMinimumCharge + boot_s;
  return context_.runtime.now() - machine.downlink.lost_since() > context_.settings.lease_s + patience_s;
}

// ---- draining ----

void ScaleIn::drain_surplus(double waiting_cpus) {
  struct Candidate {
    double price = 0;
    double used_share = 0;
    MachineIndex machine_index;
    const Machine *machine = nullptr;
    // Most expensive first. Of the same price those go on draining that have begun, then those with least on them.
    auto rank() const { return std::tuple(-price, !machine->draining(), used_share); }
  };
  const double cheapest_cpu_price = context_.catalog.cheapest_cpu_price();
  const auto &reservations = context_.scheduler.large_task_reservations();
  std::vector<Candidate> candidates;
  double used_cpus = waiting_cpus;
  double size_cpus = 0;
  context_.workers.each([&](MachineIndex machine_index, const Machine &machine) {
    if (!machine.available() || machine.returning() || machine.type < 0) return;
    if (!machine.spot && reservations.find(machine.type, kReservedWithinForDrain)) return;
    used_cpus += machine.used.cpus;
    size_cpus += machine.size.cpus;
    for (const auto &allocation : machine.allocations) {
      if (!allocation.job.valid() || allocation.completed()) continue;
      if (!context_.scheduler.queue().deferrable(allocation.job)) continue;
      used_cpus -= allocation.need.cpus; // it keeps no expensive machine
      size_cpus -= allocation.need.cpus;
    }
    const double price = InstanceTypeCatalog::cpu_price(context_.catalog.type(machine.type), machine.spot);
    const bool charged = context_.runtime.now() - machine.rented_at >= kMinimumCharge;
    if (charged && price >= kExpensiveRatio * cheapest_cpu_price)
      candidates.push_back({price, machine.used.cpus / std::max(0.01, machine.size.cpus), machine_index, &machine});
    else
      context_.workers.set_draining(machine_index, false);
  });
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate &left, const Candidate &right) { return left.rank() < right.rank(); });
  double surplus_cpus = size_cpus - used_cpus / kDrainBelow;
  for (const auto &candidate : candidates) {
    surplus_cpus -= candidate.machine->size.cpus;
    context_.workers.set_draining(candidate.machine_index, surplus_cpus >= 0);
  }
}

} // namespace loftrouter::core
