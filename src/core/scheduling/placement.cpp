#include "loftrouter/core/scheduling/placement.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>
#include <utility>

#include "loftrouter/core/runtime/growing_table.hpp"

namespace loftrouter::core {

namespace {

constexpr double kMaxTasks = 1e6; // per job and round; keeps the conversion to an integer in range
constexpr double kRoundingTolerance = 1e-9;

bool holds_image(const PlacementMachine &machine, int image) {
  return std::find(machine.images.begin(), machine.images.end(), image) != machine.images.end();
}

} // namespace

bool allowed(const PlacementJob &job, const PlacementMachine &machine) {
  if (machine.type < 0 || static_cast<std::size_t>(machine.type) >= job.types.size()) return false;
  if (!job.types[static_cast<std::size_t>(machine.type)]) return false;
  if (job.zone >= 0 && job.zone != machine.zone) return false;
  if (machine.spot && !job.spot) return false;
  if (!machine.spot && machine.price_premium > job.max_price_premium) return false;
  if (machine.nominated_for.valid() && machine.nominated_for != job.index) return false;
  const auto &avoided = job.avoided_machines;
  return std::find(avoided.begin(), avoided.end(), machine.index) == avoided.end();
}

bool fits_free_resources(const PlacementJob &job, const PlacementMachine &machine) {
  if (!job.need.fits(machine.free)) return false;
  return !machine.reserved_for_large || !job.small || job.need.fits(machine.small_task_headroom);
}

double fit_score(const PlacementJob &job, const PlacementMachine &machine) {
  const auto resource_score = [](double free, double size, double need) {
    return size > 0 ? std::max(0.0, free / size) * (need / size) : 0.0;
  };
  return resource_score(machine.free.cpus, machine.size.cpus, job.need.cpus) +
         resource_score(machine.free.gpus, machine.size.gpus, job.need.gpus) +
         resource_score(machine.free.memory, machine.size.memory, job.need.memory);
}

double placement_score(const PlacementJob &job, const PlacementMachine &machine, const PlacementOptions &options) {
  double score = fit_score(job, machine);
  if (job.image >= 0 && holds_image(machine, job.image)) score += options.image_weight;
  return score - options.price_weight * machine.price_premium;
}

namespace {

// A tentative placement of one job's tasks.
struct Plan {
  std::vector<int> machines; // positions, one for each task
  double score = 0;          // sum over the tasks
  double first_score = 0;    // of the first task, which gets the highest
  bool complete = false;     // places all pending tasks
};

// A job's plan, cached between commits. Machines only fill up during a round, so a plan stays optimal while its own
// machines are unchanged.
struct CachedPlan {
  std::size_t job = 0;
  Plan plan;
  double value = 0;
  double bound = 0;            // upper bound on the value of any later plan
  std::size_t computed_at = 0; // commit number
  std::size_t verified_at = 0; // last commit number at which it was known to be optimal
  bool outdated = false;       // another machine may be better now

  double best_possible_value(std::size_t commit) const { return verified_at == commit ? value : bound; }
};

class Round {
public:
  Round(std::vector<PlacementMachine> machines, const std::vector<const PlacementJob *> &jobs,
        std::vector<Resources> team_headroom, const PlacementOptions &options,
        std::vector<MachineReservation> *reserved);
  std::vector<Assignment> run();

private:
  using Positions = std::vector<std::size_t>;

  PlacementMachine &machine(int position) { return machines_[static_cast<std::size_t>(position)]; }
  std::size_t &changed_at(int position) { return changed_at_[static_cast<std::size_t>(position)]; }
  // Returns null if no team limits apply.
  Resources *team_headroom(const PlacementJob &job);
  bool waited_too_long(const PlacementJob &job) const {
    return !job.cannot_reserve && job.wait_s > options_.reserve_after_s;
  }
  int rank(std::size_t job_position) const;
  void place_rank(Positions::const_iterator begin, Positions::const_iterator end);

  std::uint32_t max_tasks(const PlacementJob &job);
  Plan greedy_plan(const PlacementJob &job, std::uint32_t tasks, int only_zone);
  Plan one_zone_plan(const PlacementJob &job, std::uint32_t tasks);
  Plan plan(const PlacementJob &job);

  void compute_plan(CachedPlan &cached);
  bool still_optimal(const CachedPlan &cached);
  std::size_t most_valuable(const std::vector<CachedPlan> &cached_plans) const;
  void commit(const CachedPlan &cached);
  void assign(const PlacementJob &job, std::size_t job_position, int machine_position);
  void update_cached_plans(std::vector<CachedPlan> &cached_plans, const PlacementJob &placed);
  void reserve_if_waited_too_long(const PlacementJob &job);
  void reserve(const PlacementJob &job);
  void add_tasks(const PlacementJob &job, PlacementMachine &machine, double count) const;

  std::vector<PlacementMachine> machines_;
  const std::vector<const PlacementJob *> &jobs_;
  std::vector<Resources> team_headroom_;
  const PlacementOptions &options_;
  std::vector<MachineReservation> *reserved_;
  // A full fleet, as whenever much waits, is searched on a few machines and not on thousands.
  Resources least_need_;                // minimum over all jobs, for each resource
  std::vector<int> usable_machines_;    // ascending positions; without those too full for `least_need_`
  std::vector<int> zones_;              // without duplicates
  std::vector<std::size_t> changed_at_; // by machine position: number of the last commit that changed it
  std::size_t commit_number_ = 1;
  std::vector<Assignment> assignments_;
};

Round::Round(std::vector<PlacementMachine> machines, const std::vector<const PlacementJob *> &jobs,
             std::vector<Resources> team_headroom, const PlacementOptions &options,
             std::vector<MachineReservation> *reserved)
    : machines_(std::move(machines)), jobs_(jobs), team_headroom_(std::move(team_headroom)), options_(options),
      reserved_(reserved), changed_at_(machines_.size(), 0) {
  constexpr double infinite = std::numeric_limits<double>::infinity();
  least_need_ = {infinite, infinite, infinite};
  for (const auto *job : jobs_) {
    if (job->limit == 0) continue;
    least_need_ = {std::min(least_need_.cpus, job->need.cpus), std::min(least_need_.gpus, job->need.gpus),
                   std::min(least_need_.memory, job->need.memory)};
  }
  for (int i = 0; i < static_cast<int>(machines_.size()); ++i) {
    if (least_need_.fits(machine(i).free)) usable_machines_.push_back(i);
    if (std::find(zones_.begin(), zones_.end(), machine(i).zone) == zones_.end()) zones_.push_back(machine(i).zone);
  }
}

Resources *Round::team_headroom(const PlacementJob &job) {
  const auto team = static_cast<std::size_t>(job.team);
  return team < team_headroom_.size() ? &team_headroom_[team] : nullptr;
}

// Ranks jobs that have waited too long first, then by priority, then by guaranteed quota.
int Round::rank(std::size_t job_position) const {
  const PlacementJob &ranked = *jobs_[job_position];
  if (ranked.delegated_here) return -1;
  return (waited_too_long(ranked) ? 100 : 0) + static_cast<int>(ranked.priority) * 2 + (ranked.guaranteed ? 1 : 0);
}

// Places jobs by descending rank; within a rank the plan with the highest value is committed first.
std::vector<Assignment> Round::run() {
  Positions order(jobs_.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::stable_sort(order.begin(), order.end(),
                   [this](std::size_t left, std::size_t right) { return rank(left) > rank(right); });
  for (auto begin = order.cbegin(); begin != order.cend();) {
    const auto end =
        std::find_if(begin, order.cend(), [this, begin](std::size_t job) { return rank(job) != rank(*begin); });
    place_rank(begin, end);
    begin = end;
  }
  return std::move(assignments_);
}

void Round::place_rank(Positions::const_iterator begin, Positions::const_iterator end) {
  std::vector<CachedPlan> cached_plans;
  for (auto job = begin; job != end; ++job) {
    CachedPlan cached;
    cached.job = *job;
    compute_plan(cached);
    if (cached.plan.machines.empty())
      reserve_if_waited_too_long(*jobs_[cached.job]);
    else
      cached_plans.push_back(std::move(cached));
  }
  while (!cached_plans.empty()) {
    const auto best = cached_plans.begin() + static_cast<std::ptrdiff_t>(most_valuable(cached_plans));
    const PlacementJob &job = *jobs_[best->job];
    if (best->verified_at != commit_number_) {
      if (still_optimal(*best))
        best->verified_at = commit_number_;
      else
        compute_plan(*best);
      if (best->plan.machines.empty()) {
        reserve_if_waited_too_long(job);
        cached_plans.erase(best);
      }
      continue;
    }
    commit(*best);
    const bool complete = best->plan.complete;
    cached_plans.erase(best);
    if (!complete && waited_too_long(job)) {
      reserve(job);
      std::fill(changed_at_.begin(), changed_at_.end(), commit_number_);
    }
    update_cached_plans(cached_plans, job);
  }
}

std::uint32_t Round::max_tasks(const PlacementJob &job) {
  std::uint32_t tasks = std::min(job.pending, job.limit);
  const Resources *headroom = team_headroom(job);
  if (!headroom) return tasks;
  const auto limit_tasks = [&tasks](double left, double need) {
    if (left < 0 || need <= 0) return;
    tasks =
        std::min(tasks, static_cast<std::uint32_t>(std::min(kMaxTasks, std::floor(left / need + kRoundingTolerance))));
  };
  limit_tasks(headroom->cpus, job.need.cpus);
  limit_tasks(headroom->gpus, job.need.gpus);
  return tasks;
}

Plan Round::plan(const PlacementJob &job) {
  const std::uint32_t tasks = max_tasks(job);
  if (tasks == 0 || (job.gang && tasks < job.pending)) return {};
  Plan plan = job.one_zone ? one_zone_plan(job, tasks) : greedy_plan(job, tasks, -1);
  if (job.gang && plan.machines.size() < job.pending) return {};
  return plan;
}

// Uses the zone of the tasks already placed; if there are none, the zone that takes the most tasks.
Plan Round::one_zone_plan(const PlacementJob &job, std::uint32_t tasks) {
  int used_zone = -1;
  for (std::size_t zone = 0; zone < job.placed_by_zone.size(); ++zone)
    if (job.placed_by_zone[zone] > 0) used_zone = static_cast<int>(zone);
  if (used_zone >= 0) return greedy_plan(job, tasks, used_zone);
  Plan best;
  for (int zone : zones_) {
    Plan plan = greedy_plan(job, tasks, zone);
    const bool same_size = plan.machines.size() == best.machines.size();
    if (plan.machines.size() > best.machines.size() || (same_size && plan.score > best.score)) best = std::move(plan);
  }
  return best;
}

// Gives each task the machine with the highest score; on a tie, the one with the lower position. Placing a task changes
// only its own machine's score, so a heap suffices. `only_zone`: -1 for any.
Plan Round::greedy_plan(const PlacementJob &job, std::uint32_t tasks, int only_zone) {
  Plan plan;
  const bool spread = job.max_per_zone >= 0;
  std::vector<int> placed_by_zone;
  if (spread) placed_by_zone = job.placed_by_zone;
  std::vector<std::pair<double, int>> heap; // score, -position
  for (int position : usable_machines_) {
    const PlacementMachine &candidate = machine(position);
    if (fits_free_resources(job, candidate) && (only_zone < 0 || candidate.zone == only_zone) &&
        allowed(job, candidate))
      heap.emplace_back(placement_score(job, candidate, options_), -position);
  }
  std::make_heap(heap.begin(), heap.end());
  while (plan.machines.size() < tasks && !heap.empty()) {
    std::pop_heap(heap.begin(), heap.end());
    const auto [score, negative_position] = heap.back();
    heap.pop_back();
    PlacementMachine &best = machine(-negative_position);
    if (spread && get_or_create(placed_by_zone, best.zone) >= job.max_per_zone)
      continue; // drops the machine: the zone stays full
    add_tasks(job, best, 1);
    if (spread) ++get_or_create(placed_by_zone, best.zone);
    if (plan.machines.empty()) plan.first_score = score;
    plan.machines.push_back(-negative_position);
    plan.score += score;
    if (!fits_free_resources(job, best)) continue;
    heap.emplace_back(placement_score(job, best, options_), negative_position);
    std::push_heap(heap.begin(), heap.end());
  }
  for (int position : plan.machines)
    add_tasks(job, machine(position), -1);
  plan.complete = plan.machines.size() == job.pending && job.pending > 0;
  return plan;
}

void Round::add_tasks(const PlacementJob &job, PlacementMachine &machine, double count) const {
  machine.free.add(job.need, -count);
  if (machine.reserved_for_large && job.small) machine.small_task_headroom.add(job.need, -count);
}

void Round::compute_plan(CachedPlan &cached) {
  const PlacementJob &job = *jobs_[cached.job];
  cached.plan = plan(job);
  cached.computed_at = commit_number_;
  cached.verified_at = commit_number_;
  cached.outdated = false;
  if (cached.plan.machines.empty()) return;
  const double job_bonus = options_.age_weight * job.wait_s + (job.in_time ? options_.in_time_bonus : 0);
  cached.value = cached.plan.score / static_cast<double>(cached.plan.machines.size()) +
                 (cached.plan.complete ? options_.full_plan_bonus : 0) + job_bonus;
  // A later plan with fewer tasks loses the full-plan bonus, but its mean score may rise to the first task's.
  cached.bound = std::max(cached.value, cached.plan.first_score + job_bonus);
}

bool Round::still_optimal(const CachedPlan &cached) {
  if (cached.outdated) return false;
  const Resources *headroom = team_headroom(*jobs_[cached.job]);
  if (headroom && (headroom->cpus >= 0 || headroom->gpus >= 0)) return false;
  return std::all_of(cached.plan.machines.begin(), cached.plan.machines.end(),
                     [&](int position) { return changed_at(position) <= cached.computed_at; });
}

std::size_t Round::most_valuable(const std::vector<CachedPlan> &cached_plans) const {
  std::size_t best = 0;
  for (std::size_t i = 1; i < cached_plans.size(); ++i)
    if (cached_plans[i].best_possible_value(commit_number_) > cached_plans[best].best_possible_value(commit_number_))
      best = i;
  return best;
}

void Round::commit(const CachedPlan &cached) {
  ++commit_number_;
  for (int position : cached.plan.machines)
    assign(*jobs_[cached.job], cached.job, position);
  std::erase_if(usable_machines_, [this](int position) { return !least_need_.fits(machine(position).free); });
}

void Round::assign(const PlacementJob &job, std::size_t job_position, int machine_position) {
  PlacementMachine &assigned = machine(machine_position);
  add_tasks(job, assigned, 1);
  changed_at(machine_position) = commit_number_;
  if (job.image >= 0 && !holds_image(assigned, job.image)) assigned.images.push_back(job.image);
  assignments_.push_back({static_cast<int>(job_position), machine_position});
  Resources *headroom = team_headroom(job);
  if (!headroom) return;
  if (headroom->cpus >= 0) headroom->cpus = std::max(0.0, headroom->cpus - job.need.cpus);
  if (headroom->gpus >= 0) headroom->gpus = std::max(0.0, headroom->gpus - job.need.gpus);
}

void Round::update_cached_plans(std::vector<CachedPlan> &cached_plans, const PlacementJob &placed) {
  if (machines_.size() == 1) // drops jobs that no longer fit
    std::erase_if(cached_plans,
                  [this](const CachedPlan &cached) { return !fits_free_resources(*jobs_[cached.job], machines_[0]); });
  if (placed.image < 0) return;
  // Machines that now hold the image have become better for other jobs that use it.
  for (auto &cached : cached_plans) {
    if (jobs_[cached.job]->image != placed.image) continue;
    cached.outdated = true;
    cached.bound += std::max(0.0, options_.image_weight);
  }
}

void Round::reserve_if_waited_too_long(const PlacementJob &job) {
  if (!waited_too_long(job) || job.limit == 0) return;
  reserve(job);
  ++commit_number_;
  std::fill(changed_at_.begin(), changed_at_.end(), commit_number_);
}

// Reserves the suitable machines with the most free CPUs, so that smaller jobs don't starve this one.
void Round::reserve(const PlacementJob &job) {
  std::vector<std::pair<double, int>> most_free; // -share of free CPUs, position
  for (int i = 0; i < static_cast<int>(machines_.size()); ++i) {
    const PlacementMachine &candidate = machine(i);
    if (!allowed(job, candidate) || !job.need.fits(candidate.size)) continue;
    const double free_share = candidate.size.cpus > 0 ? candidate.free.cpus / candidate.size.cpus : 0;
    most_free.emplace_back(-free_share, i);
  }
  std::sort(most_free.begin(), most_free.end());
  std::uint32_t tasks = job.pending;
  for (const auto &[negative_share, position] : most_free) {
    if (tasks == 0) break;
    PlacementMachine &reserved_machine = machine(position);
    const std::uint32_t reserved_tasks = std::min(tasks, job.need.count_in(reserved_machine.size));
    reserved_machine.size.add(job.need, -static_cast<double>(reserved_tasks));
    tasks -= reserved_tasks;
    reserved_machine.free = {};
    if (reserved_) reserved_->push_back({job.index, reserved_machine.index});
  }
}

} // namespace

std::vector<Assignment> place_round(std::vector<PlacementMachine> machines,
                                    const std::vector<const PlacementJob *> &jobs, std::vector<Resources> team_headroom,
                                    const PlacementOptions &options, std::vector<MachineReservation> *reserved) {
  return Round(std::move(machines), jobs, std::move(team_headroom), options, reserved).run();
}

std::vector<Assignment> place_round(std::vector<PlacementMachine> machines, const std::vector<PlacementJob> &jobs,
                                    std::vector<Resources> team_headroom, const PlacementOptions &options,
                                    std::vector<MachineReservation> *reserved) {
  std::vector<const PlacementJob *> job_pointers;
  job_pointers.reserve(jobs.size());
  for (const auto &job : jobs)
    job_pointers.push_back(&job);
  return place_round(std::move(machines), job_pointers, std::move(team_headroom), options, reserved);
}

} // namespace loftrouter::core
