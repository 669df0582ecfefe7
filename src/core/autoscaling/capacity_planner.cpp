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

constexpr double kSlackShare = 0.7; // of the time left, what the queue may take
constexpr double kVeryLate = 8.0;   // times the time a job was given
// How often a rented machine's place may be used for one backlog: as often as the time left allows.
constexpr double kWavesShare = 0.5;
constexpr double kMinWaves = 2.0;
constexpr double kMaxWaves = 6.0;
constexpr double kMinEstimate = 8.0;       // s, of a task
constexpr double kMinRemaining = 5.0;      // s, of a task that runs
constexpr double kUnresolvedStart = 0.5;   // s, until a job can start whose dependencies are being looked up
constexpr double kBootCostShare = 0.003;   // of the price, for each second that a type takes to boot
constexpr double kMinShortage = 0.5;       // of a task: less is met by what is there
constexpr double kPlacesWithoutNeed = 100; // on a machine, of tasks that need no CPU
constexpr double kRounding = 1e-6;

constexpr double kInfinite = std::numeric_limits<double>::infinity();

// A machine that is on its way, and what is left of it for later jobs.
struct BootingMachine {
  Resources free;
  MachineKind kind;
};

// Machines already up that are alike, and the CPU seconds that they are expected to still spend.
struct MachineGroup {
  PlacementMachine machine; // one of them
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

// What a job asks of the fleet.
struct Demand {
  JobIndex job_index;
  PlacementJob job;
  double starts_in_s = 0; // 0: it can
  double estimate_s = 0;
  double target_s = 0; // after it could start
  double left_s = 0;   // until then
  bool low = false;    // of low urgency
  // A gang needs all its places at the same time, perhaps in one zone: none serves two of its tasks, one after the
  // other. Counting so from the start rents more than others leave time for (measured: worse); a gang that has waited
  // long is what the easier count does not serve.
  bool strict = false;
  bool in_zone = false; // strict, and in one zone
  double waves = 1;     // tasks that one place serves, one after the other
  double waiting = 0;   // tasks that nothing is there for yet
};

struct Choice {
  MachineKind kind;
  int machines = 0;
  double cost = kInfinite;
};

// One run of the planner.
class Planning {
public:
  Planning(const AutoscalingContext &context, const ScaleOut &scale_out);
  CapacityPlan run();

private:
  void list_booting();
  void list_up();
  std::vector<JobIndex> jobs_by_urgency() const;
  std::vector<double> starts_in() const;
  double max_boot_s() const;

  void plan_job(JobIndex job_index);
  std::optional<PlacementJob> placement_of(JobIndex job_index) const;
  Demand demand_of(JobIndex job_index, PlacementJob job) const;
  bool allowed_on(const Demand &demand, const MachineKind &kind) const;
  void fill(Demand &demand, BootingMachine &machine) const;

  double tasks_per_machine(const Demand &demand, const MachineType &type) const;
  double cheapest_task_price(const Demand &demand) const;
  Choice cheapest_choice(const Demand &demand) const;
  void consider_type(const Demand &demand, int type, double cheapest, Choice &best) const;
  double horizon_s(const Demand &demand, const MachineType &type, double task_price, double cheapest) const;
  double shortage(const Demand &demand, int zone, double horizon_s) const;
  double booked_in_zone(const Demand &demand, int zone) const;
  double carried(const Demand &demand, int zone, double horizon_s) const;
  double carried_by(const Demand &demand, const PlacementMachine &machine, double count, double busy_cpu_s, int zone,
                    double horizon_s) const;

  void count_on_machines_up(const Demand &demand);
  void add_request(Demand &demand, const Choice &choice);

  const AutoscalingContext &context_;
  const ScaleOut &scale_out_;
  std::vector<BootingMachine> booting_;
  std::vector<PlacementMachine> up_;
  std::vector<double> busy_cpu_s_; // of each machine that is up, for work that needs them whole
  std::map<MachineGroupKey, MachineGroup> groups_;
  std::vector<double> starts_in_s_; // by job
  double max_boot_s_ = 0;
  CapacityPlan plan_;
};

Planning::Planning(const AutoscalingContext &context, const ScaleOut &scale_out)
    : context_(context), scale_out_(scale_out) {
  list_booting();
  list_up();
  starts_in_s_ = starts_in();
  max_boot_s_ = max_boot_s();
}

CapacityPlan Planning::run() {
  for (JobIndex job_index : jobs_by_urgency())
    plan_job(job_index);
  return std::move(plan_);
}

// ---- what is there ----

void Planning::list_booting() {
  context_.workers.each([this](MachineIndex, const Machine &machine) {
    const bool is_up = machine.heartbeat.received() || machine.listing.running;
    if (!is_up && !machine.returning() && machine.type >= 0)
      booting_.push_back({machine.size, {machine.type, machine.zone, machine.spot}});
  });
  for (const auto &[kind, count] : scale_out_.in_flight())
    for (int i = 0; i < count; ++i)
      booting_.push_back({context_.catalog.type(kind.type).size, kind});
}

void Planning::list_up() {
  up_ = context_.scheduler.snapshot().all([this](MachineIndex machine_index) {
    const Machine &machine = context_.workers[machine_index];
    // One that is available and not verified yet is so within a heartbeat or two.
    const bool soon_verified = machine.available() && !machine.downlink.verified() && !machine.downlink.lost();
    return soon_verified || context_.failure_detector.must_not_replace(machine_index);
  });
  busy_cpu_s_.assign(up_.size(), 0);
  for (std::size_t i = 0; i < up_.size(); ++i) {
    const PlacementMachine &machine = up_[i];
    auto &group =
        groups_[{machine.type, machine.zone, machine.spot, machine.reserved_for_large, machine.nominated_for}];
    group.machine = machine;
    group.machine.id = {}; // it stands for others, on which the job may not have failed
    ++group.count;
    for (const auto &allocation : context_.workers[machine.id].allocations) {
      if (!allocation.job.valid() || allocation.completed()) continue;
      const double ran_s = allocation.running_since >= 0 ? context_.runtime.now() - allocation.running_since : 0;
      const double remaining_s = std::max(kMinRemaining, context_.jobs[allocation.job].spec.estimate_s - ran_s);
      busy_cpu_s_[i] += remaining_s * allocation.need.cpus;
    }
    group.busy_cpu_s += busy_cpu_s_[i];
  }
}

std::vector<JobIndex> Planning::jobs_by_urgency() const {
  std::vector<JobIndex> order;
  context_.jobs.each([&order](JobIndex job_index, const Job &) { order.push_back(job_index); });
  const auto rank = [this](JobIndex job_index) {
    return std::pair(-static_cast<int>(context_.dependencies.priority(job_index)),
                     context_.jobs[job_index].submit_wall);
  };
  std::sort(order.begin(), order.end(), [&rank](JobIndex left, JobIndex right) { return rank(left) < rank(right); });
  return order;
}

// Seconds until each job can probably start; 0: it can. By its owners' estimates, so never beyond what is being run.
std::vector<double> Planning::starts_in() const {
  const Dependencies &dependencies = context_.dependencies;
  auto path = dependencies.critical_path([&](JobIndex job_index) {
    const double age_s = dependencies.ready(job_index) ? std::max(0.0, context_.scheduler.queue().age_s(job_index)) : 0;
    return std::max(1.0, context_.jobs[job_index].spec.estimate_s - age_s);
  });
  context_.jobs.each([&](JobIndex job_index, const Job &) {
    if (dependencies.ready(job_index)) return;
    double &starts_in_s = path.starts_in_s[job_index.position()];
    starts_in_s = std::max(starts_in_s, kUnresolvedStart);
  });
  return std::move(path.starts_in_s);
}

double Planning::max_boot_s() const {
  double boot_s = 0;
  for (const auto &type : context_.catalog.types())
    boot_s = std::max(boot_s, type.boot_s);
  return boot_s;
}

// ---- one job ----

void Planning::plan_job(JobIndex job_index) {
  auto placement = placement_of(job_index);
  if (!placement) return;
  const PlacementQueue &queue = context_.scheduler.queue();
  if (!queue.deferrable(job_index) || queue.passed_over(job_index))
    plan_.waiting_cpus += placement->pending * placement->need.cpus;
  Demand demand = demand_of(job_index, std::move(*placement));
  // What is on its way takes them first. Tasks that must be in one zone count on that of the place that is chosen.
  for (auto &machine : booting_)
    if (!demand.in_zone && allowed_on(demand, machine.kind)) fill(demand, machine);
  if (demand.waiting < 1) return;
  const Choice choice = cheapest_choice(demand);
  count_on_machines_up(demand);
  if (choice.machines > 0) add_request(demand, choice);
}

// Nothing if no machines are to be rented for it.
std::optional<PlacementJob> Planning::placement_of(JobIndex job_index) const {
  const Job &job = context_.jobs[job_index];
  PlacementJob placement = context_.scheduler.queue().job(job_index);
  // What will be able to start within a boot: machines for it are on their way by then.
  const double starts_in_s = starts_in_s_[job_index.position()];
  const bool starts_soon = starts_in_s > 0 && starts_in_s <= max_boot_s_;
  if (placement.limit == 0 && starts_soon && !job.cancelled && !job.ending && job.team >= 0)
    placement.limit = placement.pending;
  if (placement.limit == 0) return std::nullopt;
  if (!context_.failure_attribution.suspected(job_index)) return placement;
  // For work that fails everywhere nothing is rented, unless it could never be tried again.
  placement.avoided_machines.clear();
  const bool can_be_tried = std::any_of(up_.begin(), up_.end(), [&placement](const PlacementMachine &machine) {
    return allowed(placement, machine) && placement.need.fits(machine.size);
  });
  return can_be_tried ? std::nullopt : std::optional(std::move(placement));
}

Demand Planning::demand_of(JobIndex job_index, PlacementJob job) const {
  const JobSpec &spec = context_.jobs[job_index].spec;
  Demand demand;
  demand.job_index = job_index;
  demand.starts_in_s = starts_in_s_[job_index.position()];
  demand.estimate_s = std::max(kMinEstimate, spec.estimate_s);
  demand.target_s = context_.objectives.achievable_target(spec, context_.dependencies.deadline(job_index),
                                                          context_.scheduler.queue().age_s(job_index));
  demand.left_s = demand.target_s - job.wait_s;
  demand.low = job.priority == Priority::Low;
  demand.strict = job.gang && job.wait_s > context_.operators.tunables().reserve_after_s;
  demand.in_zone = demand.strict && job.one_zone;
  if (demand.low && !demand.strict)
    demand.waves = std::clamp(kWavesShare * demand.left_s / demand.estimate_s, kMinWaves, kMaxWaves);
  demand.waiting = job.pending;
  demand.job = std::move(job);
  return demand;
}

bool Planning::allowed_on(const Demand &demand, const MachineKind &kind) const {
  PlacementMachine machine;
  machine.type = kind.type;
  machine.zone = kind.zone;
  machine.spot = kind.spot;
  return allowed(demand.job, machine);
}

void Planning::fill(Demand &demand, BootingMachine &machine) const {
  while (demand.waiting >= 1 && demand.job.need.fits(machine.free)) {
    machine.free.add(demand.job.need, -1);
    demand.waiting -= demand.waves;
  }
}

// ---- what to rent ----

double Planning::tasks_per_machine(const Demand &demand, const MachineType &type) const {
  const Resources &need = demand.job.need;
  double tasks = need.cpus > 0 ? std::floor(type.size.cpus / need.cpus + kRounding) : kPlacesWithoutNeed;
  if (need.memory > 0) tasks = std::min(tasks, std::floor(type.size.memory / need.memory + kRounding));
  if (need.gpus > 0) tasks = std::min(tasks, std::floor(type.size.gpus / need.gpus + kRounding));
  return std::max(1.0, tasks);
}

double Planning::cheapest_task_price(const Demand &demand) const {
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

Choice Planning::cheapest_choice(const Demand &demand) const {
  Choice best;
  const double cheapest = cheapest_task_price(demand);
  const auto &types = context_.catalog.types();
  for (std::size_t i = 0; i < types.size(); ++i) {
    const MachineType &type = types[i];
    if (!demand.job.types[i] || !demand.job.need.fits(type.size) || demand.starts_in_s > type.boot_s) continue;
    consider_type(demand, static_cast<int>(i), cheapest, best);
  }
  return best;
}

void Planning::consider_type(const Demand &demand, int type_index, double cheapest, Choice &best) const {
  const MachineType &type = context_.catalog.type(type_index);
  const double tasks = tasks_per_machine(demand, type);
  for (const auto &zone_name : type.zones) {
    const int zone = context_.catalog.find_or_add_zone(zone_name);
    if (demand.job.zone >= 0 && demand.job.zone != zone) continue;
    for (bool spot : {true, false}) {
      if (spot && !demand.job.spot) continue;
      const MachineKind kind{type_index, zone, spot};
      if (scale_out_.refused(kind) || scale_out_.in_flight(kind)) continue;
      const double price = spot ? type.spot_price : type.price;
      const double missing = shortage(demand, zone, horizon_s(demand, type, price / tasks, cheapest));
      if (missing < kMinShortage) continue;
      const int machines = static_cast<int>(std::ceil(std::ceil(missing / demand.waves) / tasks));
      const double cost = price * machines * (1 + kBootCostShare * type.boot_s);
      if (cost < best.cost) best = {kind, machines, cost};
    }
  }
}

// How long the job may wait for machines that are up. Cheap places are rented for whatever would wait longer than their
// boot. Expensive ones only where they come early enough to save a deadline that the queue endangers, or against
// waiting without end.
double Planning::horizon_s(const Demand &demand, const MachineType &type, double task_price, double cheapest) const {
  const double horizon_s = type.boot_s + (demand.low ? demand.estimate_s : 0.0);
  if (!demand.low || task_price <= kExpensiveRatio * cheapest) return horizon_s;
  const bool can_meet = kSlackShare * demand.left_s > horizon_s;
  const double patience_s = can_meet ? demand.left_s : kVeryLate * demand.target_s - demand.job.wait_s;
  return std::max(horizon_s, kSlackShare * patience_s);
}

// Tasks that would find no place within the horizon.
double Planning::shortage(const Demand &demand, int zone, double horizon_s) const {
  const double on_machines_up = carried(demand, zone, horizon_s);
  const double booked = demand.in_zone ? booked_in_zone(demand, zone) : 0;
  return demand.waiting - booked - (demand.low ? on_machines_up : std::floor(on_machines_up));
}

// Places on their way in this zone.
double Planning::booked_in_zone(const Demand &demand, int zone) const {
  double places = 0;
  for (BootingMachine machine : booting_) {
    if (machine.kind.zone != zone || !allowed_on(demand, machine.kind)) continue;
    while (demand.job.need.fits(machine.free)) {
      machine.free.add(demand.job.need, -1);
      ++places;
    }
  }
  return places;
}

// Tasks that machines already up get to within the horizon.
double Planning::carried(const Demand &demand, int zone, double horizon_s) const {
  double tasks = 0;
  if (demand.low) {
    for (const auto &[key, group] : groups_)
      tasks += carried_by(demand, group.machine, group.count, group.busy_cpu_s, zone, horizon_s);
    return tasks;
  }
  for (std::size_t i = 0; i < up_.size(); ++i)
    tasks += carried_by(demand, up_[i], 1, busy_cpu_s_[i], zone, horizon_s);
  return tasks;
}

double Planning::carried_by(const Demand &demand, const PlacementMachine &machine, double count, double busy_cpu_s,
                            int zone, double horizon_s) const {
  const PlacementJob &job = demand.job;
  if (!allowed(job, machine) || !job.need.fits(machine.size)) return 0;
  if (machine.reserved_for_large && job.small) return 0;
  if (demand.in_zone && machine.zone != zone) return 0;
  const double cpus = std::max(job.need.cpus, 0.01);
  const double places = count * std::floor(machine.size.cpus / cpus + kRounding);
  const double tasks = std::max(0.0, places * cpus * horizon_s - busy_cpu_s) / (cpus * demand.estimate_s);
  return demand.strict ? std::min(tasks, places) : tasks;
}

// ---- what that leaves for the next job ----

// Work counted here is not counted again for later jobs: it lies on the machines that may take it, by their CPUs.
void Planning::count_on_machines_up(const Demand &demand) {
  const PlacementJob &job = demand.job;
  const auto takes = [&job](const PlacementMachine &machine) {
    return allowed(job, machine) && job.need.fits(machine.size);
  };
  const auto group_takes = [&](const MachineGroup &group) {
    return takes(group.machine) && !(group.machine.reserved_for_large && job.small);
  };
  double cpus = 0;
  for (const auto &[key, group] : groups_)
    if (group_takes(group)) cpus += group.count * group.machine.size.cpus;
  const double cpu_s_per_cpu = cpus > 0 ? demand.waiting * demand.estimate_s * job.need.cpus / cpus : 0;
  for (auto &[key, group] : groups_)
    if (group_takes(group)) group.busy_cpu_s += cpu_s_per_cpu * group.count * group.machine.size.cpus;
  if (demand.low) return;
  for (std::size_t i = 0; i < up_.size(); ++i)
    if (takes(up_[i])) busy_cpu_s_[i] += cpu_s_per_cpu * up_[i].size.cpus;
}

void Planning::add_request(Demand &demand, const Choice &choice) {
  auto &requests = plan_.requests;
  auto request = std::find_if(requests.begin(), requests.end(),
                              [&choice](const CapacityRequest &known) { return known.kind == choice.kind; });
  if (request == requests.end()) request = requests.insert(request, {choice.kind, 0, 0, demand.job_index});
  request->machines += choice.machines;
  ++request->jobs;
  if (demand.in_zone)
    for (auto &machine : booting_)
      if (machine.kind.zone == choice.kind.zone && allowed_on(demand, machine.kind)) fill(demand, machine);
  for (int i = 0; i < choice.machines; ++i) {
    BootingMachine machine{context_.catalog.type(choice.kind.type).size, choice.kind};
    fill(demand, machine);
    booting_.push_back(machine);
  }
}

} // namespace

CapacityPlan CapacityPlanner::plan() const {
  return Planning(context_, scale_out_).run();
}

} // namespace loftrouter::core
