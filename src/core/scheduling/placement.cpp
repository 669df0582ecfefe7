#include "loftrouter/core/scheduling/placement.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>
#include <utility>

#include "loftrouter/core/runtime/growing_table.hpp"

namespace loftrouter::core {

namespace {

constexpr double kMaxTasks = 1e6; // of one plan; keeps a quotient within an integer
constexpr double kRounding = 1e-9;

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
  return std::find(avoided.begin(), avoided.end(), machine.id) == avoided.end();
}

bool has_room(const PlacementJob &job, const PlacementMachine &machine) {
  if (!job.need.fits(machine.free)) return false;
  return !machine.reserved_for_large || !job.small || job.need.fits(machine.small_work_room);
}

double fit_score(const PlacementJob &job, const PlacementMachine &machine) {
  const auto part = [](double free, double size, double need) {
    return size > 0 ? std::max(0.0, free / size) * (need / size) : 0.0;
  };
  return part(machine.free.cpus, machine.size.cpus, job.need.cpus) +
         part(machine.free.gpus, machine.size.gpus, job.need.gpus) +
         part(machine.free.memory, machine.size.memory, job.need.memory);
}

double placement_score(const PlacementJob &job, const PlacementMachine &machine, const PlacementOptions &options) {
  double score = fit_score(job, machine);
  if (job.image >= 0 && holds_image(machine, job.image)) score += options.image_weight;
  return score - options.price_weight * machine.price_premium;
}

namespace {

// Where the tasks of one job would go.
struct Plan {
  std::vector<int> machines; // by position, one for each task
  double score = 0;          // sum over the tasks
  double first_score = 0;    // the first task's, and so the highest
  bool whole = false;        // all pending tasks
};

// A plan, and what it was made of. Machines only fill up while a round goes on, so a plan stays the best one as long as
// its own machines are untouched, and what it was worth bounds what a new one can be worth.
struct Draft {
  std::size_t job = 0;
  Plan plan;
  double value = 0;            // of the plan
  double bound = 0;            // of any later plan
  std::size_t made_at = 0;     // the commit after which the plan was made
  std::size_t verified_at = 0; // the commit after which it was still the best one
  bool outdated = false;       // by more than what happened to its machines

  double key(std::size_t commit) const { return verified_at == commit ? value : bound; }
};

// The state of one round over some machines.
class Round {
public:
  Round(std::vector<PlacementMachine> machines, const std::vector<const PlacementJob *> &jobs,
        std::vector<Resources> team_room, const PlacementOptions &options, std::vector<Reservation> *reserved);
  std::vector<Assignment> run();

private:
  using Positions = std::vector<std::size_t>;

  PlacementMachine &machine(int position) { return machines_[static_cast<std::size_t>(position)]; }
  std::size_t &changed_at(int position) { return changed_at_[static_cast<std::size_t>(position)]; }
  // The room left to the job's team; null: no limit.
  Resources *team_room(const PlacementJob &job);
  bool waits_long(const PlacementJob &job) const { return !job.started && job.wait_s > options_.reserve_after_s; }
  int rank(std::size_t job) const;
  void place_rank(Positions::const_iterator begin, Positions::const_iterator end);

  std::uint32_t max_tasks(const PlacementJob &job);
  Plan greedy_plan(const PlacementJob &job, std::uint32_t tasks, int only_zone);
  Plan one_zone_plan(const PlacementJob &job, std::uint32_t tasks);
  Plan plan(const PlacementJob &job);

  void draw_up(Draft &draft);
  bool still_best(const Draft &draft);
  std::size_t best_of(const std::vector<Draft> &drafts) const;
  void commit(const Draft &draft);
  void assign(const PlacementJob &job, std::size_t job_position, int machine_position);
  void update_others(std::vector<Draft> &drafts, const PlacementJob &placed);
  void reserve_without_plan(const PlacementJob &job);
  void reserve(const PlacementJob &job);
  void occupy(const PlacementJob &job, PlacementMachine &machine, double times) const;

  std::vector<PlacementMachine> machines_;
  const std::vector<const PlacementJob *> &jobs_;
  std::vector<Resources> team_room_;
  const PlacementOptions &options_;
  std::vector<Reservation> *reserved_;
  // Where the fleet is full, which it is whenever much waits, a job is tried on a few machines and not on thousands.
  Resources least_need_;                // no job of this round needs less of any resource
  std::vector<int> open_machines_;      // ascending; never lacks a machine that has room for `least_need_`
  std::vector<int> zones_;              // of all machines, each once
  std::vector<std::size_t> changed_at_; // by machine: the commit that last touched it
  std::size_t commit_ = 1;
  std::vector<Assignment> assignments_;
};

Round::Round(std::vector<PlacementMachine> machines, const std::vector<const PlacementJob *> &jobs,
             std::vector<Resources> team_room, const PlacementOptions &options, std::vector<Reservation> *reserved)
    : machines_(std::move(machines)), jobs_(jobs), team_room_(std::move(team_room)), options_(options),
      reserved_(reserved), changed_at_(machines_.size(), 0) {
  constexpr double infinite = std::numeric_limits<double>::infinity();
  least_need_ = {infinite, infinite, infinite};
  for (const auto *job : jobs_) {
    if (job->limit == 0) continue;
    least_need_ = {std::min(least_need_.cpus, job->need.cpus), std::min(least_need_.gpus, job->need.gpus),
                   std::min(least_need_.memory, job->need.memory)};
  }
  for (int i = 0; i < static_cast<int>(machines_.size()); ++i) {
    if (least_need_.fits(machine(i).free)) open_machines_.push_back(i);
    if (std::find(zones_.begin(), zones_.end(), machine(i).zone) == zones_.end()) zones_.push_back(machine(i).zone);
  }
}

Resources *Round::team_room(const PlacementJob &job) {
  const auto team = static_cast<std::size_t>(job.team);
  return team < team_room_.size() ? &team_room_[team] : nullptr;
}

int Round::rank(std::size_t job) const {
  const PlacementJob &ranked = *jobs_[job];
  if (ranked.delegated_here) return -1;
  return (waits_long(ranked) ? 100 : 0) + static_cast<int>(ranked.priority) * 2 + (ranked.guaranteed ? 1 : 0);
}

// The most pressing rank is planned first; within it the best plan goes first.
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
  std::vector<Draft> drafts;
  for (auto job = begin; job != end; ++job) {
    Draft draft;
    draft.job = *job;
    draw_up(draft);
    if (draft.plan.machines.empty())
      reserve_without_plan(*jobs_[draft.job]);
    else
      drafts.push_back(std::move(draft));
  }
  while (!drafts.empty()) {
    const auto best = drafts.begin() + static_cast<std::ptrdiff_t>(best_of(drafts));
    const PlacementJob &job = *jobs_[best->job];
    if (best->verified_at != commit_) {
      if (still_best(*best))
        best->verified_at = commit_;
      else
        draw_up(*best);
      if (best->plan.machines.empty()) {
        reserve_without_plan(job);
        drafts.erase(best);
      }
      continue;
    }
    commit(*best);
    const bool whole = best->plan.whole;
    drafts.erase(best);
    if (!whole && waits_long(job)) {
      reserve(job);
      std::fill(changed_at_.begin(), changed_at_.end(), commit_);
    }
    update_others(drafts, job);
  }
}

// ---- plans ----

std::uint32_t Round::max_tasks(const PlacementJob &job) {
  std::uint32_t tasks = std::min(job.pending, job.limit);
  const Resources *room = team_room(job);
  if (!room) return tasks;
  const auto cap = [&tasks](double left, double need) {
    if (left < 0 || need <= 0) return;
    tasks = std::min(tasks, static_cast<std::uint32_t>(std::min(kMaxTasks, std::floor(left / need + kRounding))));
  };
  cap(room->cpus, job.need.cpus);
  cap(room->gpus, job.need.gpus);
  return tasks;
}

Plan Round::plan(const PlacementJob &job) {
  const std::uint32_t tasks = max_tasks(job);
  if (tasks == 0 || (job.gang && tasks < job.pending)) return {};
  Plan plan = job.one_zone ? one_zone_plan(job, tasks) : greedy_plan(job, tasks, -1);
  if (job.gang && plan.machines.size() < job.pending) return {};
  return plan;
}

// In the zone of the tasks that it has already, or in the one that takes most.
Plan Round::one_zone_plan(const PlacementJob &job, std::uint32_t tasks) {
  int used_zone = -1;
  for (std::size_t zone = 0; zone < job.zone_used.size(); ++zone)
    if (job.zone_used[zone] > 0) used_zone = static_cast<int>(zone);
  if (used_zone >= 0) return greedy_plan(job, tasks, used_zone);
  Plan best;
  for (int zone : zones_) {
    Plan plan = greedy_plan(job, tasks, zone);
    const bool same_size = plan.machines.size() == best.machines.size();
    if (plan.machines.size() > best.machines.size() || (same_size && plan.score > best.score)) best = std::move(plan);
  }
  return best;
}

// Placing a task changes the score of its machine alone, so a heap of scores gives each task the best machine without
// trying them all again; of equal scores the lower position wins. `only_zone`: -1 for any.
Plan Round::greedy_plan(const PlacementJob &job, std::uint32_t tasks, int only_zone) {
  Plan plan;
  const bool spread = job.max_per_zone >= 0;
  std::vector<int> zone_used;
  if (spread) zone_used = job.zone_used;
  std::vector<std::pair<double, int>> heap; // score, -position
  for (int position : open_machines_) {
    const PlacementMachine &candidate = machine(position);
    if (has_room(job, candidate) && (only_zone < 0 || candidate.zone == only_zone) && allowed(job, candidate))
      heap.emplace_back(placement_score(job, candidate, options_), -position);
  }
  std::make_heap(heap.begin(), heap.end());
  while (plan.machines.size() < tasks && !heap.empty()) {
    std::pop_heap(heap.begin(), heap.end());
    const auto [score, negative_position] = heap.back();
    heap.pop_back();
    PlacementMachine &best = machine(-negative_position);
    if (spread && get_or_create(zone_used, best.zone) >= job.max_per_zone) continue; // and stays so
    occupy(job, best, 1);
    if (spread) ++get_or_create(zone_used, best.zone);
    if (plan.machines.empty()) plan.first_score = score;
    plan.machines.push_back(-negative_position);
    plan.score += score;
    if (!has_room(job, best)) continue;
    heap.emplace_back(placement_score(job, best, options_), negative_position);
    std::push_heap(heap.begin(), heap.end());
  }
  for (int position : plan.machines)
    occupy(job, machine(position), -1);
  plan.whole = plan.machines.size() == job.pending && job.pending > 0;
  return plan;
}

void Round::occupy(const PlacementJob &job, PlacementMachine &machine, double times) const {
  machine.free.add(job.need, -times);
  if (machine.reserved_for_large && job.small) machine.small_work_room.add(job.need, -times);
}

// ---- drafts ----

void Round::draw_up(Draft &draft) {
  const PlacementJob &job = *jobs_[draft.job];
  draft.plan = plan(job);
  draft.made_at = commit_;
  draft.verified_at = commit_;
  draft.outdated = false;
  if (draft.plan.machines.empty()) return;
  const double age = options_.age_weight * job.wait_s + (job.in_time ? options_.in_time_bonus : 0);
  draft.value = draft.plan.score / static_cast<double>(draft.plan.machines.size()) +
                (draft.plan.whole ? options_.full_plan_bonus : 0) + age;
  // A plan that loses tasks loses the bonus, but its mean may rise up to the first task's score.
  draft.bound = std::max(draft.value, draft.plan.first_score + age);
}

bool Round::still_best(const Draft &draft) {
  if (draft.outdated) return false;
  const Resources *room = team_room(*jobs_[draft.job]);
  if (room && (room->cpus >= 0 || room->gpus >= 0)) return false;
  return std::all_of(draft.plan.machines.begin(), draft.plan.machines.end(),
                     [&](int position) { return changed_at(position) <= draft.made_at; });
}

std::size_t Round::best_of(const std::vector<Draft> &drafts) const {
  std::size_t best = 0;
  for (std::size_t i = 1; i < drafts.size(); ++i)
    if (drafts[i].key(commit_) > drafts[best].key(commit_)) best = i;
  return best;
}

void Round::commit(const Draft &draft) {
  ++commit_;
  for (int position : draft.plan.machines)
    assign(*jobs_[draft.job], draft.job, position);
  // Machines only fill up while a round goes on.
  std::erase_if(open_machines_, [this](int position) { return !least_need_.fits(machine(position).free); });
}

void Round::assign(const PlacementJob &job, std::size_t job_position, int machine_position) {
  PlacementMachine &assigned = machine(machine_position);
  occupy(job, assigned, 1);
  changed_at(machine_position) = commit_;
  if (job.image >= 0 && !holds_image(assigned, job.image)) assigned.images.push_back(job.image);
  assignments_.push_back({static_cast<int>(job_position), machine_position});
  Resources *room = team_room(job);
  if (!room) return;
  if (room->cpus >= 0) room->cpus = std::max(0.0, room->cpus - job.need.cpus);
  if (room->gpus >= 0) room->gpus = std::max(0.0, room->gpus - job.need.gpus);
}

void Round::update_others(std::vector<Draft> &drafts, const PlacementJob &placed) {
  if (machines_.size() == 1) // what no longer fits need not be planned again
    std::erase_if(drafts, [this](const Draft &draft) { return !has_room(*jobs_[draft.job], machines_[0]); });
  if (placed.image < 0) return;
  // The one thing that makes a machine better for another job: it now holds that job's image.
  for (auto &draft : drafts) {
    if (jobs_[draft.job]->image != placed.image) continue;
    draft.outdated = true;
    draft.bound += std::max(0.0, options_.image_weight);
  }
}

// ---- reservations ----

void Round::reserve_without_plan(const PlacementJob &job) {
  if (!waits_long(job) || job.limit == 0) return;
  reserve(job);
  ++commit_;
  std::fill(changed_at_.begin(), changed_at_.end(), commit_);
}

// A job that has waited too long keeps machines for itself: those that could hold its tasks and are nearest to being
// free take nothing else until it has started.
void Round::reserve(const PlacementJob &job) {
  std::vector<std::pair<double, int>> nearest; // -share of free CPUs, position
  for (int i = 0; i < static_cast<int>(machines_.size()); ++i) {
    const PlacementMachine &candidate = machine(i);
    if (!allowed(job, candidate) || !job.need.fits(candidate.size)) continue;
    const double free_share = candidate.size.cpus > 0 ? candidate.free.cpus / candidate.size.cpus : 0;
    nearest.emplace_back(-free_share, i);
  }
  std::sort(nearest.begin(), nearest.end());
  std::uint32_t tasks = job.pending;
  for (const auto &[negative_share, position] : nearest) {
    if (tasks == 0) break;
    PlacementMachine &kept = machine(position);
    while (tasks > 0 && job.need.fits(kept.size)) {
      kept.size.add(job.need, -1);
      --tasks;
    }
    kept.free = {};
    if (reserved_) reserved_->push_back({job.index, kept.id});
  }
}

} // namespace

std::vector<Assignment> place_round(std::vector<PlacementMachine> machines,
                                    const std::vector<const PlacementJob *> &jobs, std::vector<Resources> team_room,
                                    const PlacementOptions &options, std::vector<Reservation> *reserved) {
  return Round(std::move(machines), jobs, std::move(team_room), options, reserved).run();
}

std::vector<Assignment> place_round(std::vector<PlacementMachine> machines, const std::vector<PlacementJob> &jobs,
                                    std::vector<Resources> team_room, const PlacementOptions &options,
                                    std::vector<Reservation> *reserved) {
  std::vector<const PlacementJob *> all;
  all.reserve(jobs.size());
  for (const auto &job : jobs)
    all.push_back(&job);
  return place_round(std::move(machines), all, std::move(team_room), options, reserved);
}

} // namespace loftrouter::core
