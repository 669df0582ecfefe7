// Estimates how long local jobs will wait, and fills the capacity summaries sent to other cells.
#include "federation_limits.hpp"

#include <algorithm>
#include <cmath>

namespace loftrouter::core {

namespace {
constexpr double kNextRoundWaitS = 0.25; // expected wait of a job that fits now, for the next placement round
} // namespace

// Groups the machines by kind and sums the remaining run time of their tasks. Then estimates the wait of each pending
// local job, by priority and age, from the load of the machines it can use and of the jobs queued before it.
void CellFederation::survey_capacity() {
  std::map<MachineKind, MachinePool> pools;
  workers_.each([&](MachineIndex, const Machine &machine) {
    if (machine.type < 0 || machine.lost() || machine.returning() || machine.admin_state || machine.reclaim_at) return;
    MachinePool &pool = pools[{machine.type, machine.zone, machine.spot}];
    pool.size = machine.size;
    if (!machine.heartbeat.received()) {
      ++pool.starting;
      return;
    }
    if (machine.heartbeat_overdue(runtime_.now(), settings_.heartbeat_interval_s)) return;
    ++pool.machines;
    pool.idle += machine.allocations.empty();
    pool.cpus += machine.size.cpus;
    pool.free.add(machine.size);
    pool.free.add(machine.used, -1);
    for (const auto &allocation : machine.allocations) {
      if (!allocation.job.valid() || allocation.completed() || jobs_[allocation.job].delegated_here) continue;
      const double run_s = allocation.running_since >= 0 ? runtime_.now() - allocation.running_since : 0;
      pool.busy_cpu_s += std::max(3.0, jobs_[allocation.job].spec.estimate_s - run_s) * allocation.need.cpus;
    }
  });
  for (std::size_t type_index = 0; type_index < catalog_.types().size(); ++type_index)
    for (const auto &zone : catalog_.types()[type_index].zones)
      for (bool spot : {false, true}) {
        const MachineKind kind(static_cast<int>(type_index), catalog_.find_zone(zone), spot);
        if (kind.zone < 0) continue;
        MachinePool &pool = pools[kind];
        pool.size = catalog_.types()[type_index].size;
        pool.lacks_capacity = autoscaler_.lacks_capacity(kind);
      }
  machine_pools_.clear();
  for (auto &[kind, pool] : pools) {
    pool.kind = kind;
    machine_pools_.push_back(pool);
  }
  std::vector<JobIndex> waiting_jobs;
  jobs_.each([&](JobIndex job_index, const Job &job) {
    if (!job.delegated_here && !job.cancelled && job.pending() > 0 && job.spec.dependencies.empty())
      waiting_jobs.push_back(job_index);
  });
  std::sort(waiting_jobs.begin(), waiting_jobs.end(), [this](JobIndex a, JobIndex b) {
    return std::pair(-static_cast<int>(jobs_[a].spec.priority), jobs_[a].submit_wall) <
           std::pair(-static_cast<int>(jobs_[b].spec.priority), jobs_[b].submit_wall);
  });
  local_waits_.assign(jobs_.index_limit(), 0);
  std::fill(std::begin(wait_by_priority_), std::end(wait_by_priority_), 0);
  own_waiting_cpus_ = 0;
  const double lowest_cpu_price = catalog_.cheapest_cpu_price();
  for (JobIndex job_index : waiting_jobs) {
    const Job &job = jobs_[job_index];
    const auto work = candidate(job_index);
    const double estimate_s = std::max(3.0, job.spec.estimate_s),
                 job_cpu_s = job.pending() * job.spec.need.cpus * estimate_s;
    double usable_cpus = 0, load_cpu_s = 0, fitting_tasks = 0, scale_out_s = std::numeric_limits<double>::infinity();
    std::vector<MachinePool *> usable_pools;
    for (auto &pool : machine_pools_) {
      if (!can_run_on(work, pool)) continue;
      usable_pools.push_back(&pool);
      usable_cpus += pool.cpus;
      load_cpu_s += pool.busy_cpu_s + pool.queued_cpu_s;
      if (pool.queued_cpu_s <= 0) {
        cells::CellCapacity pool_capacity;
        pool_capacity.kinds.push_back({"", "", pool.kind.spot, false, static_cast<std::uint32_t>(pool.machines),
                                       static_cast<std::uint32_t>(pool.idle), pool.size, pool.free, 0, 1});
        auto any_type = work;
        any_type.types.clear();
        fitting_tasks += cells::free_slots(any_type, pool_capacity);
      }
      const auto &type = catalog_.type(pool.kind.type);
      const bool expensive = InstanceTypeCatalog::cpu_price(type, pool.kind.spot) > kExpensiveRatio * lowest_cpu_price;
      if (pool.starting > 0 || (!pool.lacks_capacity && !(expensive && job.spec.priority == Priority::Low)))
        scale_out_s = std::min(scale_out_s, 1.1 * type.boot_s + 1);
    }
    double wait_s =
        usable_cpus > 0 ? (load_cpu_s + 0.5 * job_cpu_s) / usable_cpus : std::numeric_limits<double>::infinity();
    // All machines of a gang must be free at the same time, which takes longer than the average load suggests.
    if (job.spec.shape == Shape::Gang && fitting_tasks < job.pending()) wait_s = std::max(wait_s, 0.5 * estimate_s);
    if (fitting_tasks >= job.pending()) wait_s = kNextRoundWaitS; // all tasks fit now
    wait_s = std::min(wait_s, scale_out_s);
    // A job that has waited long without a start is expected to keep waiting, whatever the estimate.
    const double age_s = runtime_.wall() - job.submit_wall;
    if (job.placed + job.done + job.unaccounted == 0 && age_s > kLongWaitS) wait_s = std::max(wait_s, 0.5 * age_s);
    local_waits_[job_index.position()] = std::isfinite(wait_s) ? wait_s : 1e6; // infinite: no machine can run it
    auto &priority_wait = wait_by_priority_[static_cast<std::size_t>(job.spec.priority)];
    priority_wait = std::max(priority_wait, std::min(wait_s, 3600.0));
    own_waiting_cpus_ += job.pending() * job.spec.need.cpus;
    for (auto *pool : usable_pools)
      pool->queued_cpu_s += usable_cpus > 0 ? job_cpu_s * pool->cpus / usable_cpus : 0;
  }
}

void CellFederation::fill_summary(wire::CellMessage &message) const {
  message.address = settings_.peer_listen;
  message.lease_s = settings_.lease_s;
  message.wait_s.assign(std::begin(wait_by_priority_), std::end(wait_by_priority_));
  for (const auto &pool : machine_pools_) {
    wire::CellKind kind;
    const auto [type, zone, spot] = pool.kind;
    kind.type = catalog_.type_name(type);
    kind.zone = catalog_.zone_name(zone);
    kind.spot = spot;
    kind.refused = pool.lacks_capacity;
    kind.machines = static_cast<std::uint32_t>(pool.machines);
    kind.size = pool.size;
    if (pool.queued_cpu_s <= 0) { // otherwise local jobs need the free capacity
      kind.free = pool.free;
      kind.idle = static_cast<std::uint32_t>(pool.idle);
    }
    kind.boot_s = catalog_.type(type).boot_s;
    kind.fetch_gb_per_s = catalog_.type(type).fetch_gb_per_s;
    if (message.kinds.size() < wire::kCellMaxKinds) message.kinds.push_back(std::move(kind));
  }
}

} // namespace loftrouter::core
