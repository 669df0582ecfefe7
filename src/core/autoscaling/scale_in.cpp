#include "loftrouter/core/autoscaling/scale_in.hpp"

#include <algorithm>
#include <tuple>

namespace loftrouter::core {

namespace {
constexpr std::size_t kMaxMachinesPerCall = 100;
constexpr double kCallDeadlineS = 5.0;
constexpr double kRemovalRetentionS = 600.0;
constexpr double kUnknownTypeBootS = 60.0;
// A machine that has not come up after so many boot times of its type, and the margin, is taken for one that never
// will.
constexpr double kBootTimeoutFactor = 2.0;
constexpr double kBootTimeoutMarginS = 10.0;
constexpr double kMassLossTimeoutS = 30.0; // beyond the lease, while more machines are lost than available
constexpr double kReclaimMarginS = 1.0;
constexpr double kDownlinkLossTimeoutS = 15.0; // beyond the lease
constexpr int kMassDownlinkLosses = 3;         // fewer are the machines' own fault, not the network's
constexpr double kReservedIdleBoots = 1.5;     // in boot times, for types reserved for large tasks
constexpr double kReservedWithinS = 300.0;
constexpr double kReservedWithinForDrainS = 600.0;
constexpr double kMaxDrainingIdleS = 3.0;
constexpr double kChargeMarginS = 2.0;
constexpr double kNeverS = 1e9;                  // keeps quarantined machines
constexpr double kDrainTargetUtilization = 0.85; // of the CPUs that remain after a drain
} // namespace

void ScaleIn::return_machines() {
  context_.workers.forget_removals(kRemovalRetentionS);
  if (call_in_flight_) return;
  const auto names = mark_and_list_returning();
  if (names.empty() || !call_limiter_.take(context_.runtime.now())) return;
  call_in_flight_ = true;
  const auto epoch = context_.leadership.epoch();
  context_.runtime.cloud(CloudScaleIn{names}, kCallDeadlineS, [this, names, epoch](const wire::CloudReply &reply) {
    if (epoch != context_.leadership.epoch()) return;
    call_in_flight_ = false;
    if (reply.status != 200) return; // retried by the next tick
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
  const double boot_s = machine.type >= 0 ? context_.catalog.type(machine.type).boot_s : kUnknownTypeBootS;
  if (reclaimed_by_cloud(machine) || downlink_lost_too_long(machine, boot_s, fleet)) return true;
  if (context_.failure_detector.must_not_scale_in(machine_index)) return false;
  return never_came_up(machine, boot_s) || lost_for_good(machine, fleet) || idle_too_long(machine, boot_s);
}

bool ScaleIn::never_came_up(const Machine &machine, double boot_s) const {
  if (machine.heartbeat.received()) return false;
  const double now = context_.runtime.now();
  return now - machine.known_since > kBootTimeoutMarginS &&
         now - machine.launched_at > kBootTimeoutFactor * boot_s + kBootTimeoutMarginS;
}

// Waits longer if most machines are lost, which points at the network.
bool ScaleIn::lost_for_good(const Machine &machine, const FleetCounts &fleet) const {
  if (!machine.heartbeat.received() || !machine.lost()) return false;
  const double silent_s = context_.runtime.now() - machine.heartbeat.last_accepted_at;
  return fleet.lost <= fleet.available || silent_s > context_.settings.lease_s + kMassLossTimeoutS;
}

bool ScaleIn::reclaimed_by_cloud(const Machine &machine) const {
  const double now = context_.runtime.now();
  return machine.reclaim_at && now > *machine.reclaim_at + kReclaimMarginS &&
         now - machine.heartbeat.last_accepted_at > context_.settings.heartbeat_interval_s * 1.5 + 1;
}

// Ignores idle time during which this node couldn't place tasks, so that machines aren't returned in bulk after an
// outage.
bool ScaleIn::idle_too_long(const Machine &machine, double boot_s) const {
  if (!machine.available() || !machine.allocations.empty() || machine.idle_since < 0) return false;
  const double now = context_.runtime.now();
  const bool minimum_charged = now - machine.launched_at >= kMinimumChargeS - kChargeMarginS;
  if (!minimum_charged && !machine.admin_state) return false;
  return now - std::max(machine.idle_since, scheduling_paused_until_) > max_idle_s(machine, boot_s);
}

// Returns how long a machine may stay idle before it is returned.
double ScaleIn::max_idle_s(const Machine &machine, double boot_s) const {
  if (machine.admin_state) return *machine.admin_state == wire::MachineAdminState::Drain ? 0 : kNeverS;
  const bool reserved =
      !machine.spot && context_.scheduler.large_task_reservations().find(machine.type, kReservedWithinS);
  double idle_s = boot_s * (reserved ? kReservedIdleBoots : context_.operators.tunables().idle_boots);
  if (!reserved && machine.type >= 0 && machine.size.cpus > 0) { // the more expensive, the shorter
    const double price = InstanceTypeCatalog::cpu_price(context_.catalog.type(machine.type), machine.spot);
    idle_s *= std::min(1.0, context_.catalog.cheapest_cpu_price() / price);
  }
  return machine.draining() ? std::min(idle_s, kMaxDrainingIdleS) : idle_s;
}

// Waits until the lease has expired, so that the machine's tasks have ended, and longer if many machines are affected,
// which points at the network.
bool ScaleIn::downlink_lost_too_long(const Machine &machine, double boot_s, const FleetCounts &fleet) const {
  if (!machine.downlink.lost()) return false;
  const bool few_affected = fleet.downlink_lost < kMassDownlinkLosses || 3 * fleet.downlink_lost <= fleet.available;
  const double timeout_s = few_affected ? kDownlinkLossTimeoutS : kMinimumChargeS + boot_s;
  return context_.runtime.now() - machine.downlink.lost_since() > context_.settings.lease_s + timeout_s;
}

void ScaleIn::drain_surplus(double waiting_cpus) {
  struct Candidate {
    double price = 0;
    double used_share = 0;
    MachineIndex machine_index;
    const Machine *machine = nullptr;
    // Most expensive first; at equal price machines that are already draining, then the least used.
    auto rank() const { return std::tuple(-price, !machine->draining(), used_share); }
  };
  const double cheapest_cpu_price = context_.catalog.cheapest_cpu_price();
  const auto &reservations = context_.scheduler.large_task_reservations();
  std::vector<Candidate> candidates;
  double used_cpus = waiting_cpus;
  double total_cpus = 0;
  context_.workers.each([&](MachineIndex machine_index, const Machine &machine) {
    if (!machine.available() || machine.returning() || machine.type < 0) return;
    if (!machine.spot && reservations.find(machine.type, kReservedWithinForDrainS)) return;
    used_cpus += machine.used.cpus;
    total_cpus += machine.size.cpus;
    for (const auto &allocation : machine.allocations) {
      if (!allocation.job.valid() || allocation.completed()) continue;
      if (!context_.scheduler.queue().deferrable(allocation.job)) continue;
      used_cpus -= allocation.need.cpus; // deferrable work doesn't justify an expensive machine
      total_cpus -= allocation.need.cpus;
    }
    const double price = InstanceTypeCatalog::cpu_price(context_.catalog.type(machine.type), machine.spot);
    const bool minimum_charged = context_.runtime.now() - machine.launched_at >= kMinimumChargeS;
    if (minimum_charged && price >= kExpensiveRatio * cheapest_cpu_price)
      candidates.push_back({price, machine.used.cpus / std::max(0.01, machine.size.cpus), machine_index, &machine});
    else
      context_.workers.set_draining(machine_index, false);
  });
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate &left, const Candidate &right) { return left.rank() < right.rank(); });
  double surplus_cpus = total_cpus - used_cpus / kDrainTargetUtilization;
  for (const auto &candidate : candidates) {
    surplus_cpus -= candidate.machine->size.cpus;
    context_.workers.set_draining(candidate.machine_index, surplus_cpus >= 0);
  }
}

} // namespace loftrouter::core
