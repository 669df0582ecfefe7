// Cells: what this one tells others of itself, and how long its own work will wait.
#include "federation_limits.hpp"

#include <algorithm>
#include <cmath>

namespace loftrouter::core {

// Machines by kind, with what they still have to do and what waits for them, job after job in the order of their turns:
// from it, how long each job's work will wait here.
void CellFederation::survey() {
  std::map<MachineKind, Lot> lots;
  workers_.each([&](MachineIndex, const Machine &machine) {
    if (machine.type < 0 || machine.lost() || machine.returning() || machine.admin_state || machine.reclaim_at) return;
    Lot &lot = lots[{machine.type, machine.zone, machine.spot}];
    lot.size = machine.size;
    if (!machine.heartbeat.received()) {
      ++lot.starting;
      return;
    }
    if (machine.heartbeat_overdue(runtime_.now(), settings_.heartbeat_interval_s)) return;
    ++lot.machines;
    lot.idle += machine.allocations.empty();
    lot.cpus += machine.size.cpus;
    lot.free.add(machine.size);
    lot.free.add(machine.used, -1);
    for (const auto &s : machine.allocations) {
      if (!s.job.valid() || s.completed() || jobs_[s.job].delegated_here) continue;
      const double ran = s.running_since >= 0 ? runtime_.now() - s.running_since : 0;
      lot.busy += std::max(3.0, jobs_[s.job].spec.estimate_s - ran) * s.need.cpus;
    }
  });
  for (std::size_t t = 0; t < catalog_.types().size(); ++t)
    for (const auto &zone : catalog_.types()[t].zones)
      for (bool spot : {false, true}) {
        const MachineKind kind(static_cast<int>(t), catalog_.find_zone(zone), spot);
        if (kind.zone < 0) continue;
        Lot &lot = lots[kind];
        lot.size = catalog_.types()[t].size;
        lot.refused = autoscaler_.refused(kind);
      }
  lots_.clear();
  for (auto &[kind, l] : lots) {
    l.kind = kind;
    lots_.push_back(l);
  }
  std::vector<JobIndex> order;
  jobs_.each([&](JobIndex job_index, const Job &job) {
    if (!job.delegated_here && !job.cancelled && job.pending() > 0 && job.spec.dependencies.empty())
      order.push_back(job_index);
  });
  std::sort(order.begin(), order.end(), [this](JobIndex a, JobIndex b) {
    return std::pair(-static_cast<int>(jobs_[a].spec.priority), jobs_[a].submit_wall) <
           std::pair(-static_cast<int>(jobs_[b].spec.priority), jobs_[b].submit_wall);
  });
  waits_.assign(jobs_.index_limit(), 0);
  std::fill(std::begin(wait_by_urgency_), std::end(wait_by_urgency_), 0);
  own_waiting_cpus_ = 0;
  const double cheapest = catalog_.cheapest_cpu();
  for (JobIndex job_index : order) {
    const Job &job = jobs_[job_index];
    const auto work = work_of(job_index);
    const double est = std::max(3.0, job.spec.estimate_s), own = job.pending() * job.spec.need.cpus * est;
    double cpus = 0, load = 0, places = 0, soon = std::numeric_limits<double>::infinity();
    std::vector<Lot *> mine;
    for (auto &l : lots_) {
      if (!may_use(work, l)) continue;
      mine.push_back(&l);
      cpus += l.cpus;
      load += l.busy + l.ahead;
      if (l.ahead <= 0) {
        cells::View one;
        one.kinds.push_back({"", "", l.kind.spot, false, static_cast<std::uint32_t>(l.machines),
                             static_cast<std::uint32_t>(l.idle), l.size, l.free, 0, 1});
        auto any = work;
        any.types.clear();
        places += cells::room(any, one);
      }
      const auto &type = catalog_.type(l.kind.type);
      const bool price_premium = InstanceTypeCatalog::cpu_price(type, l.kind.spot) > kExpensiveRatio * cheapest;
      if (l.starting > 0 || (!l.refused && !(price_premium && job.spec.priority == Priority::Low)))
        soon = std::min(soon, 1.1 * type.boot_s + 1);
    }
    double wait = cpus > 0 ? (load + 0.5 * own) / cpus : std::numeric_limits<double>::infinity();
    // A whole machine for each is free when what is on it ends, not when the average has ended.
    if (job.spec.shape == Shape::Gang && places < job.pending()) wait = std::max(wait, 0.5 * est);
    if (places >= job.pending()) wait = 0.25;
    wait = std::min(wait, soon);
    // Whatever the figures say: what has waited for so long without a start will wait on.
    const double age = runtime_.wall() - job.submit_wall;
    if (job.placed + job.done + job.unaccounted == 0 && age > kLongWait) wait = std::max(wait, 0.5 * age);
    waits_[job_index.position()] = std::isfinite(wait) ? wait : 1e6;
    auto &of_class = wait_by_urgency_[static_cast<std::size_t>(job.spec.priority)];
    of_class = std::max(of_class, std::min(wait, 3600.0));
    own_waiting_cpus_ += job.pending() * job.spec.need.cpus;
    for (auto *l : mine)
      l->ahead += cpus > 0 ? own * l->cpus / cpus : 0;
  }
}

void CellFederation::summarize(wire::CellMessage &message) const {
  message.address = settings_.peer_listen;
  message.lease_s = settings_.lease_s;
  message.wait_s.assign(std::begin(wait_by_urgency_), std::end(wait_by_urgency_));
  for (const auto &l : lots_) {
    wire::CellKind k;
    const auto [type, zone, spot] = l.kind;
    k.type = catalog_.type_name(type);
    k.zone = catalog_.zone_name(zone);
    k.spot = spot;
    k.refused = l.refused;
    k.machines = static_cast<std::uint32_t>(l.machines);
    k.size = l.size;
    if (l.ahead <= 0) { // otherwise its own work waits for it
      k.free = l.free;
      k.idle = static_cast<std::uint32_t>(l.idle);
    }
    k.boot_s = catalog_.type(type).boot_s;
    k.fetch_gb_per_s = catalog_.type(type).fetch_gb_per_s;
    if (message.kinds.size() < wire::kCellMaxKinds) message.kinds.push_back(std::move(k));
  }
}

} // namespace loftrouter::core
