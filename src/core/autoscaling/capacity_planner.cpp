#include "loftrouter/core/autoscaling/capacity_planner.hpp"

#include <algorithm>
#include <cmath>
#include <compare>
#include <limits>
#include <map>
#include <optional>
#include <utility>

namespace loftrouter::core {

namespace {

constexpr double kQueueSlackShare = 0.7; // of the time left until the target; a job may queue that long
constexpr double kVeryLateFactor = 8.0;  // multiple of a job's target time that counts as very late
constexpr double kWaveTimeShare = 0.5;   // of the time left until the target; sets `Demand::waves`
constexpr double kMinWaves = 2.0;
constexpr double kMaxWaves = 6.0;
constexpr double kMinEstimateS = 8.0;           // lower bound for a task's estimated run time
constexpr double kMinRemainingS = 5.0;          // lower bound for what remains of a running task
constexpr double kUnresolvedStartS = 0.5;       // assumed start delay while dependencies are being looked up
constexpr double kBootCostPerS = 0.003;         // share of the price added per second of boot time
constexpr double kMinShortageTasks = 0.5;       // smaller ones are ignored
constexpr double kSlotsWithoutCpuRequest = 100; // per machine
constexpr double kRoundingTolerance = 1e-6;

constexpr double kInfinite = std::numeric_limits<double>::infinity();

// A requested or booting machine, with the resources that jobs planned earlier leave free.
struct BootingMachine {
  Resources free;
  MachineKind kind;
};

// Equivalent running machines, with the CPU seconds that their work still needs.
struct MachineGroup {
  PlacementMachine machine; // a representative
  double count = 0;
  double busy_cpu_s = 0;
};
struct MachineGroupKey {
  int type;
  int zone;
  bool spot;
  bool reserved_for_large;
  JobIndex nominated_for;
  auto operator<=>(const MachineGroupKey &) const = default;
};

// The resources that one job still needs, and when.
struct Demand {
  JobIndex job_index;
  PlacementJob job;
  double starts_in_s = 0; // 0: it can start now
  double estimate_s = 0;  // run time of a task
  double target_s = 0;    // completion target, from when the job could start
  double time_left_s = 0; // until the target
  bool low_priority = false;
  // All tasks must run at the same time. Set only for gangs that have waited long; for others the estimate assumes
  // that tasks may run one after the other, which costs less and usually suffices.
  bool simultaneous = false;
  bool same_zone = false;    // simultaneous, and all tasks in one zone
  double waves = 1;          // tasks that a slot runs one after the other
  double unserved_tasks = 0; // no capacity is planned for these yet
};

// The cheapest way found so far to meet a demand.
struct MachineChoice {
  MachineKind kind;
  int machines = 0;
  double cost = kInfinite;
};

class PlanBuilder {
public:
  PlanBuilder(const AutoscalingContext &context, const ScaleOut &scale_out);
  CapacityPlan build();

private:
  void list_booting();
  void list_running();
  std::vector<JobIndex> jobs_by_priority() const;
  std::vector<double> start_delays() const;
  double max_boot_s() const;

  void plan_job(JobIndex job_index);
  std::optional<PlacementJob> placement_job_for(JobIndex job_index) const;
  Demand demand_for(JobIndex job_index, PlacementJob job) const;
  bool allowed_on(const Demand &demand, const MachineKind &kind) const;
  void assign_to_booting(Demand &demand, BootingMachine &machine) const;

  double tasks_per_machine(const Demand &demand, const MachineType &type) const;
  double cheapest_task_price(const Demand &demand) const;
  MachineChoice cheapest_choice(const Demand &demand) const;
  void consider_type(const Demand &demand, int type_index, double cheapest_price, MachineChoice &best) const;
  double horizon_s(const Demand &demand, const MachineType &type, double task_price, double cheapest_price) const;
  double shortage(const Demand &demand, int zone, double horizon_s) const;
  double booting_slots_in_zone(const Demand &demand, int zone) const;
  double tasks_served_by_running(const Demand &demand, int zone, double horizon_s) const;
  double tasks_served_by(const Demand &demand, const PlacementMachine &machine, double count, double busy_cpu_s,
                         int zone, double horizon_s) const;

  void add_work_to_running(const Demand &demand);
  void add_request(Demand &demand, const MachineChoice &choice);

  const AutoscalingContext &context_;
  const ScaleOut &scale_out_;
  std::vector<BootingMachine> booting_;
  std::vector<PlacementMachine> running_;
  // Work left on each machine, by position in `running_`. Used for jobs above low priority; the others use the sums in
  // `groups_`.
  std::vector<double> busy_cpu_s_;
  std::map<MachineGroupKey, MachineGroup> groups_;
  std::vector<double> starts_in_s_; // by job index
  double max_boot_s_ = 0;
  CapacityPlan plan_;
};

PlanBuilder::PlanBuilder(const AutoscalingContext &context, const ScaleOut &scale_out)
    : context_(context), scale_out_(scale_out) {
  list_booting();
  list_running();
  starts_in_s_ = start_delays();
  max_boot_s_ = max_boot_s();
}

CapacityPlan PlanBuilder::build() {
  for (JobIndex job_index : jobs_by_priority())
    plan_job(job_index);
  return std::move(plan_);
}

void PlanBuilder::list_booting() {
  context_.workers.each([this](MachineIndex, const Machine &machine) {
    const bool is_running = machine.heartbeat.received() || machine.listing.running;
    if (!is_running && !machine.returning() && machine.type >= 0)
      booting_.push_back({machine.size, {machine.type, machine.zone, machine.spot}});
  });
  for (const auto &[kind, count] : scale_out_.in_flight())
    for (int i = 0; i < count; ++i)
      booting_.push_back({context_.catalog.type(kind.type).size, kind});
}

void PlanBuilder::list_running() {
  running_ = context_.scheduler.snapshot().schedulable_machines([this](MachineIndex machine_index) {
    const Machine &machine = context_.workers[machine_index];
    const bool soon_verified = machine.available() && !machine.downlink.verified() && !machine.downlink.lost();
    return soon_verified || context_.failure_detector.must_not_replace(machine_index);
  });
  busy_cpu_s_.assign(running_.size(), 0);
  for (std::size_t i = 0; i < running_.size(); ++i) {
    const PlacementMachine &machine = running_[i];
    auto &group =
        groups_[{machine.type, machine.zone, machine.spot, machine.reserved_for_large, machine.nominated_for}];
    group.machine = machine;
    group.machine.index = {}; // `avoided_machines` must not match the representative
    ++group.count;
    for (const auto &allocation : context_.workers[machine.index].allocations) {
      if (!allocation.job.valid() || allocation.completed()) continue;
      const double ran_s = allocation.running_since >= 0 ? context_.runtime.now() - allocation.running_since : 0;
      const double remaining_s = std::max(kMinRemainingS, context_.jobs[allocation.job].spec.estimate_s - ran_s);
      busy_cpu_s_[i] += remaining_s * allocation.need.cpus;
    }
    group.busy_cpu_s += busy_cpu_s_[i];
  }
}

std::vector<JobIndex> PlanBuilder::jobs_by_priority() const {
  std::vector<JobIndex> order;
  context_.jobs.each([&order](JobIndex job_index, const Job &) { order.push_back(job_index); });
  const auto rank = [this](JobIndex job_index) {
    return std::pair(-static_cast<int>(context_.dependencies.priority(job_index)),
                     context_.jobs[job_index].submit_wall);
  };
  std::sort(order.begin(), order.end(), [&rank](JobIndex left, JobIndex right) { return rank(left) < rank(right); });
  return order;
}

// Estimates in how many seconds each job can start (0: now), from its critical path.
std::vector<double> PlanBuilder::start_delays() const {
  const Dependencies &dependencies = context_.dependencies;
  auto path = dependencies.critical_path([&](JobIndex job_index) {
    const double age_s = dependencies.ready(job_index) ? std::max(0.0, context_.scheduler.queue().age_s(job_index)) : 0;
    return std::max(1.0, context_.jobs[job_index].spec.estimate_s - age_s);
  });
  context_.jobs.each([&](JobIndex job_index, const Job &) {
    if (dependencies.ready(job_index)) return;
    double &starts_in_s = path.starts_in_s[job_index.position()];
    starts_in_s = std::max(starts_in_s, kUnresolvedStartS);
  });
  return std::move(path.starts_in_s);
}

double PlanBuilder::max_boot_s() const {
  double boot_s = 0;
  for (const auto &type : context_.catalog.types())
    boot_s = std::max(boot_s, type.boot_s);
  return boot_s;
}

void PlanBuilder::plan_job(JobIndex job_index) {
  auto placement_job = placement_job_for(job_index);
  if (!placement_job) return;
  const PlacementQueue &queue = context_.scheduler.queue();
  if (!queue.deferrable(job_index) || queue.starved(job_index))
    plan_.waiting_cpus += placement_job->pending * placement_job->need.cpus;
  Demand demand = demand_for(job_index, std::move(*placement_job));
  // A demand for a single zone is assigned booting machines once its zone is chosen (`add_request`).
  for (auto &machine : booting_)
    if (!demand.same_zone && allowed_on(demand, machine.kind)) assign_to_booting(demand, machine);
  if (demand.unserved_tasks < 1) return;
  const MachineChoice choice = cheapest_choice(demand);
  add_work_to_running(demand);
  if (choice.machines > 0) add_request(demand, choice);
}

// Returns no value if no machines are to be requested for the job.
std::optional<PlacementJob> PlanBuilder::placement_job_for(JobIndex job_index) const {
  const Job &job = context_.jobs[job_index];
  PlacementJob placement_job = context_.scheduler.queue().placement_job(job_index);
  // Machines are requested while the last dependencies still run, so that they have booted when the job can start.
  const double starts_in_s = starts_in_s_[job_index.position()];
  const bool starts_soon = starts_in_s > 0 && starts_in_s <= max_boot_s_;
  if (placement_job.limit == 0 && starts_soon && !job.cancelled && !job.ending && job.team >= 0)
    placement_job.limit = placement_job.pending;
  if (placement_job.limit == 0) return std::nullopt;
  if (!context_.failure_attribution.suspected(job_index)) return placement_job;
  // A suspected job gets new machines only if no running machine could retry it.
  placement_job.avoided_machines.clear();
  const bool can_be_retried =
      std::any_of(running_.begin(), running_.end(), [&placement_job](const PlacementMachine &machine) {
        return allowed(placement_job, machine) && placement_job.need.fits(machine.size);
      });
  return can_be_retried ? std::nullopt : std::optional(std::move(placement_job));
}

Demand PlanBuilder::demand_for(JobIndex job_index, PlacementJob job) const {
  const JobSpec &spec = context_.jobs[job_index].spec;
  Demand demand;
  demand.job_index = job_index;
  demand.starts_in_s = starts_in_s_[job_index.position()];
  demand.estimate_s = std::max(kMinEstimateS, spec.estimate_s);
  demand.target_s = context_.objectives.achievable_target(spec, context_.dependencies.deadline(job_index),
                                                          context_.scheduler.queue().age_s(job_index));
  demand.time_left_s = demand.target_s - job.wait_s;
  demand.low_priority = job.priority == Priority::Low;
  demand.simultaneous = job.gang && job.wait_s > context_.operators.tunables().reserve_after_s;
  demand.same_zone = demand.simultaneous && job.one_zone;
  if (demand.low_priority && !demand.simultaneous)
    demand.waves = std::clamp(kWaveTimeShare * demand.time_left_s / demand.estimate_s, kMinWaves, kMaxWaves);
  demand.unserved_tasks = job.pending;
  demand.job = std::move(job);
  return demand;
}

bool PlanBuilder::allowed_on(const Demand &demand, const MachineKind &kind) const {
  PlacementMachine machine;
  machine.type = kind.type;
  machine.zone = kind.zone;
  machine.spot = kind.spot;
  return allowed(demand.job, machine);
}

void PlanBuilder::assign_to_booting(Demand &demand, BootingMachine &machine) const {
  if (demand.unserved_tasks < 1) return;
  const double wanted = std::floor((demand.unserved_tasks - 1) / demand.waves) + 1;
  const double slots = std::min<double>(wanted, demand.job.need.count_in(machine.free));
  machine.free.add(demand.job.need, -slots);
  demand.unserved_tasks -= slots * demand.waves;
}

double PlanBuilder::tasks_per_machine(const Demand &demand, const MachineType &type) const {
  const Resources &need = demand.job.need;
  double tasks = need.count_in(type.size);
  if (need.cpus <= 0) tasks = std::min(tasks, kSlotsWithoutCpuRequest);
  return std::max(1.0, tasks);
}

double PlanBuilder::cheapest_task_price(const Demand &demand) const {
  double cheapest = kInfinite;
  const auto &types = context_.catalog.types();
  for (std::size_t i = 0; i < types.size(); ++i) {
    const MachineType &type = types[i];
    if (!demand.job.types[i] || !demand.job.need.fits(type.size)) continue;
    const double price = demand.job.spot ? std::min(type.spot_price, type.price) : type.price;
    cheapest = std::min(cheapest, price / tasks_per_machine(demand, type));
  }
  return cheapest;
}

MachineChoice PlanBuilder::cheapest_choice(const Demand &demand) const {
  MachineChoice best;
  const double cheapest_price = cheapest_task_price(demand);
  const auto &types = context_.catalog.types();
  for (std::size_t i = 0; i < types.size(); ++i) {
    const MachineType &type = types[i];
    if (!demand.job.types[i] || !demand.job.need.fits(type.size) || demand.starts_in_s > type.boot_s) continue;
    consider_type(demand, static_cast<int>(i), cheapest_price, best);
  }
  return best;
}

void PlanBuilder::consider_type(const Demand &demand, int type_index, double cheapest_price,
                                MachineChoice &best) const {
  const MachineType &type = context_.catalog.type(type_index);
  const double tasks = tasks_per_machine(demand, type);
  for (const auto &zone_name : type.zones) {
    const int zone = context_.catalog.find_or_add_zone(zone_name);
    if (demand.job.zone >= 0 && demand.job.zone != zone) continue;
    for (bool spot : {true, false}) {
      if (spot && !demand.job.spot) continue;
      const MachineKind kind{type_index, zone, spot};
      if (scale_out_.lacks_capacity(kind) || scale_out_.in_flight(kind)) continue;
      const double price = spot ? type.spot_price : type.price;
      const double missing_tasks = shortage(demand, zone, horizon_s(demand, type, price / tasks, cheapest_price));
      if (missing_tasks < kMinShortageTasks) continue;
      const int machines = static_cast<int>(std::ceil(std::ceil(missing_tasks / demand.waves) / tasks));
      const double cost = price * machines * (1 + kBootCostPerS * type.boot_s);
      if (cost < best.cost) best = {kind, machines, cost};
    }
  }
}

// Returns how long the job may queue for running machines before this type is requested. Cheap types are requested for
// whatever would queue longer than their boot takes. Low-priority jobs get
// expensive types only to meet a target that queueing would miss, or if they would otherwise be very late.
double PlanBuilder::horizon_s(const Demand &demand, const MachineType &type, double task_price,
                              double cheapest_price) const {
  const double horizon_s = type.boot_s + (demand.low_priority ? demand.estimate_s : 0.0);
  if (!demand.low_priority || task_price <= kExpensiveRatio * cheapest_price) return horizon_s;
  const bool can_meet = kQueueSlackShare * demand.time_left_s > horizon_s;
  const double patience_s = can_meet ? demand.time_left_s : kVeryLateFactor * demand.target_s - demand.job.wait_s;
  return std::max(horizon_s, kQueueSlackShare * patience_s);
}

// Returns for how many tasks the present machines have no capacity within the horizon.
double PlanBuilder::shortage(const Demand &demand, int zone, double horizon_s) const {
  const double served = tasks_served_by_running(demand, zone, horizon_s);
  const double booting_slots = demand.same_zone ? booting_slots_in_zone(demand, zone) : 0;
  return demand.unserved_tasks - booting_slots - (demand.low_priority ? served : std::floor(served));
}

double PlanBuilder::booting_slots_in_zone(const Demand &demand, int zone) const {
  double slots = 0;
  for (const BootingMachine &machine : booting_)
    if (machine.kind.zone == zone && allowed_on(demand, machine.kind)) slots += demand.job.need.count_in(machine.free);
  return slots;
}

double PlanBuilder::tasks_served_by_running(const Demand &demand, int zone, double horizon_s) const {
  double tasks = 0;
  if (demand.low_priority) {
    for (const auto &[key, group] : groups_)
      tasks += tasks_served_by(demand, group.machine, group.count, group.busy_cpu_s, zone, horizon_s);
    return tasks;
  }
  for (std::size_t i = 0; i < running_.size(); ++i)
    tasks += tasks_served_by(demand, running_[i], 1, busy_cpu_s_[i], zone, horizon_s);
  return tasks;
}

// Returns how many of the tasks can run on `count` such machines within the horizon, after `busy_cpu_s` of other work.
double PlanBuilder::tasks_served_by(const Demand &demand, const PlacementMachine &machine, double count,
                                    double busy_cpu_s, int zone, double horizon_s) const {
  const PlacementJob &job = demand.job;
  if (!allowed(job, machine) || !job.need.fits(machine.size)) return 0;
  if (machine.reserved_for_large && job.small) return 0;
  if (demand.same_zone && machine.zone != zone) return 0;
  const double cpus = std::max(job.need.cpus, 0.01);
  const double slots = count * std::floor(machine.size.cpus / cpus + kRoundingTolerance);
  const double tasks = std::max(0.0, slots * cpus * horizon_s - busy_cpu_s) / (cpus * demand.estimate_s);
  return demand.simultaneous ? std::min(tasks, slots) : tasks;
}

// Spreads the job's work over the running machines, so that jobs planned later don't count the same capacity.
void PlanBuilder::add_work_to_running(const Demand &demand) {
  const PlacementJob &job = demand.job;
  const auto can_run = [&job](const PlacementMachine &machine) {
    return allowed(job, machine) && job.need.fits(machine.size);
  };
  const auto group_can_run = [&](const MachineGroup &group) {
    return can_run(group.machine) && !(group.machine.reserved_for_large && job.small);
  };
  double cpus = 0;
  for (const auto &[key, group] : groups_)
    if (group_can_run(group)) cpus += group.count * group.machine.size.cpus;
  const double cpu_s_per_cpu = cpus > 0 ? demand.unserved_tasks * demand.estimate_s * job.need.cpus / cpus : 0;
  for (auto &[key, group] : groups_)
    if (group_can_run(group)) group.busy_cpu_s += cpu_s_per_cpu * group.count * group.machine.size.cpus;
  if (demand.low_priority) return;
  for (std::size_t i = 0; i < running_.size(); ++i)
    if (can_run(running_[i])) busy_cpu_s_[i] += cpu_s_per_cpu * running_[i].size.cpus;
}

void PlanBuilder::add_request(Demand &demand, const MachineChoice &choice) {
  auto &requests = plan_.requests;
  auto request = std::find_if(requests.begin(), requests.end(),
                              [&choice](const CapacityRequest &other) { return other.kind == choice.kind; });
  if (request == requests.end()) request = requests.insert(request, {choice.kind, 0, 0, demand.job_index});
  request->machines += choice.machines;
  ++request->jobs;
  if (demand.same_zone)
    for (auto &machine : booting_)
      if (machine.kind.zone == choice.kind.zone && allowed_on(demand, machine.kind)) assign_to_booting(demand, machine);
  for (int i = 0; i < choice.machines; ++i) {
    BootingMachine machine{context_.catalog.type(choice.kind.type).size, choice.kind};
    assign_to_booting(demand, machine);
    booting_.push_back(machine);
  }
}

} // namespace

CapacityPlan CapacityPlanner::plan() const {
  return PlanBuilder(context_, scale_out_).build();
}

} // namespace loftrouter::core
