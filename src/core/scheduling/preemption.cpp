#include "loftrouter/core/scheduling/preemption.hpp"

#include <algorithm>
#include <functional>
#include <utility>

namespace loftrouter::core {

namespace {
constexpr double kImageFetchWeight = 2.0; // lost CPU seconds that a saved CPU second of image fetch outweighs
constexpr double kNominationS = 15.0;     // a machine emptied for a job is kept free for it that long
constexpr double kUnconfirmedRunS = 0.1;  // assumed run time of a task not reported as running yet
} // namespace

// A machine on which victims could be stopped for a job.
struct Preemption::Candidate {
  struct Victim {
    double lost_cpu_s = 0;
    std::size_t allocation = 0; // position in the machine's allocations
    Resources need;
  };
  std::size_t machine = 0; // position in the snapshot
  Resources free;
  std::vector<Victim> victims;          // all that may be stopped, the least work lost first
  bool victims_exit_immediately = true; // none saves a checkpoint
  std::uint32_t slots = 0;              // tasks of the job that fit once the chosen victims are gone
  std::size_t victim_count = 0;         // chosen victims, from the front
  std::size_t examined_count = 0;       // victims to stop for one more task, from the front
  double cost = 0;                      // of that task: lost CPU seconds, less the image fetch saved

  // Examines further victims until a task fits. Returns false if it doesn't fit even without all of them.
  bool free_resources_for(const Resources &need) {
    while (!need.fits(free)) {
      if (examined_count == victims.size()) return false;
      cost += victims[examined_count].lost_cpu_s;
      free.add(victims[examined_count].need);
      ++examined_count;
    }
    return true;
  }
  // Adds the work that the chosen victims lose to `total`.
  double add_lost_cpu_s(double total) const {
    for (std::size_t i = 0; i < victim_count; ++i)
      total += victims[i].lost_cpu_s;
    return total;
  }
};

Preemption::Candidate Preemption::candidate_for(const PlacementJob &job, const PlacementMachine &machine,
                                                std::size_t position) const {
  Candidate candidate;
  candidate.machine = position;
  candidate.free = machine.free;
  const auto &allocations = context_.workers[machine.index].allocations;
  for (std::size_t i = 0; i < allocations.size(); ++i) {
    const Allocation &allocation = allocations[i];
    if (allocation.completed()) continue;
    const Job *owner = allocation.job.valid() ? context_.jobs.find(allocation.job) : nullptr;
    const bool owner_exits_immediately = owner && owner->spec.checkpoint_s <= 0;
    if (allocation.stop_requested()) { // already stopping
      candidate.free.add(allocation.need);
      candidate.victims_exit_immediately &= owner_exits_immediately;
      continue;
    }
    if (!owner || owner->spec.shape != Shape::Array) continue;
    const bool yields = owner->delegated_here || context_.dependencies.priority(allocation.job) < job.priority;
    if (!yields) continue;
    const double ran_s =
        allocation.running_since >= 0 ? context_.runtime.now() - allocation.running_since : kUnconfirmedRunS;
    candidate.victims.push_back({ran_s * allocation.need.cpus, i, allocation.need});
    candidate.victims_exit_immediately &= owner_exits_immediately;
  }
  std::sort(
      candidate.victims.begin(), candidate.victims.end(),
      [](const Candidate::Victim &left, const Candidate::Victim &right) { return left.lost_cpu_s < right.lost_cpu_s; });
  const auto &images = machine.images;
  if (job.image >= 0 && std::find(images.begin(), images.end(), job.image) != images.end())
    candidate.cost -= kImageFetchWeight * job.need.cpus * job.image_gb / std::max(0.01, machine.fetch_gb_per_s);
  return candidate;
}

// Chooses victims for as many of the job's tasks as possible, for a gang all or none. `zone`: -1 for any.
Preemption::Candidates Preemption::cheapest_candidates(const PlacementJob &job,
                                                       const std::vector<PlacementMachine> &machines, int zone) const {
  Candidates candidates;
  for (std::size_t i = 0; i < machines.size(); ++i) {
    const PlacementMachine &machine = machines[i];
    if ((zone >= 0 && machine.zone != zone) || !allowed(job, machine) || !job.need.fits(machine.size)) continue;
    Candidate candidate = candidate_for(job, machine, i);
    if (candidate.free_resources_for(job.need)) candidates.push_back(std::move(candidate));
  }
  std::vector<std::pair<double, std::size_t>> heap; // -cost, position in `candidates`
  for (std::size_t i = 0; i < candidates.size(); ++i)
    heap.emplace_back(-candidates[i].cost, i);
  std::make_heap(heap.begin(), heap.end());
  std::uint32_t slots = 0;
  for (; slots < job.pending && !heap.empty(); ++slots) {
    std::pop_heap(heap.begin(), heap.end());
    Candidate &candidate = candidates[heap.back().second];
    ++candidate.slots;
    candidate.victim_count = candidate.examined_count;
    candidate.free.add(job.need, -1);
    candidate.cost = 0;
    if (candidate.free_resources_for(job.need)) {
      heap.back().first = -candidate.cost;
      std::push_heap(heap.begin(), heap.end());
    } else {
      heap.pop_back();
    }
  }
  if (job.gang && slots < job.pending) return {};
  std::erase_if(candidates, [](const Candidate &candidate) { return candidate.slots == 0; });
  return candidates;
}

Preemption::Candidates Preemption::best_candidates(const PlacementJob &job,
                                                   const std::vector<PlacementMachine> &machines) const {
  if (!job.one_zone) return cheapest_candidates(job, machines, -1);
  std::vector<int> zones;
  for (const auto &machine : machines)
    if (std::find(zones.begin(), zones.end(), machine.zone) == zones.end()) zones.push_back(machine.zone);
  for (std::size_t zone = 0; zone < job.placed_by_zone.size(); ++zone)
    if (job.placed_by_zone[zone] > 0) zones = {static_cast<int>(zone)};
  Candidates best;
  double best_cost = 0;
  for (int zone : zones) {
    Candidates candidates = cheapest_candidates(job, machines, zone);
    double cost = 0;
    for (const auto &candidate : candidates)
      cost = candidate.add_lost_cpu_s(cost);
    if (candidates.empty() || (!best.empty() && cost >= best_cost)) continue;
    best = std::move(candidates);
    best_cost = cost;
  }
  return best;
}

// Jobs of low priority and those of other cells never preempt.
void Preemption::preempt_for(std::vector<JobIndex> unplaced) {
  std::erase_if(unplaced, [this](JobIndex job_index) {
    return context_.dependencies.priority(job_index) == Priority::Low || context_.jobs[job_index].delegated_here;
  });
  if (unplaced.empty()) return;
  std::stable_sort(unplaced.begin(), unplaced.end(), [this](JobIndex left, JobIndex right) {
    return context_.dependencies.priority(left) > context_.dependencies.priority(right);
  });
  auto machines = snapshot_.schedulable_machines();
  for (JobIndex job_index : unplaced)
    preempt_for_job(job_index, machines);
}

void Preemption::preempt_for_job(JobIndex job_index, std::vector<PlacementMachine> &machines) {
  const Job &job = context_.jobs[job_index];
  const PlacementJob placement_job = queue_.placement_job(job_index);
  const Candidates candidates = best_candidates(placement_job, machines);
  if (candidates.empty()) return;
  const bool start_immediately = can_start_immediately(placement_job, candidates);
  std::uint32_t next_task = 0;
  for (const auto &candidate : candidates) {
    PlacementMachine &machine = machines[candidate.machine];
    if (candidate.victim_count > 0)
      context_.runtime.log(LogLevel::Info, "preemption_started",
                           {{"job", job.spec.id},
                            {"machine", context_.workers[machine.index].name},
                            {"places", candidate.slots},
                            {"tasks_stopped", candidate.victim_count}});
    // Small tasks must not refill the machine while the victims stop.
    if (!start_immediately) nominations_.nominate(machine.index, job.spec.id, context_.runtime.now() + kNominationS);
    machine.nominated_for = job_index;
    machine.free = {}; // unavailable to the next job
    stop_victims(candidate, machine.index, job.spec.id);
    for (std::uint32_t i = 0; start_immediately && i < candidate.slots; ++i) {
      next_task = next_pending_task(job, next_task);
      if (next_task < job.spec.tasks) placer_.place(job_index, next_task, machine.index);
    }
  }
}

// Returns whether the job's tasks can be placed before the victims are gone. Victims without checkpoints exit
// immediately, so one response can stop them and start their successors. A team with a limit must wait, as victims
// count against quotas until they are gone.
bool Preemption::can_start_immediately(const PlacementJob &job, const Candidates &candidates) const {
  const Team &team = context_.quotas.local_quota(job.team);
  if (job.max_per_zone >= 0 || team.cpus_max > 0 || team.gpus_max > 0) return false;
  return std::all_of(candidates.begin(), candidates.end(),
                     [](const Candidate &candidate) { return candidate.victims_exit_immediately; });
}

void Preemption::stop_victims(const Candidate &candidate, MachineIndex machine_index, const std::string &preemptor_id) {
  std::vector<std::size_t> allocations;
  for (std::size_t i = 0; i < candidate.victim_count; ++i)
    allocations.push_back(candidate.victims[i].allocation);
  // In descending order, as releasing an allocation moves those after it.
  std::sort(allocations.begin(), allocations.end(), std::greater<>());
  for (std::size_t allocation : allocations) {
    const JobIndex victim = context_.workers[machine_index].allocations[allocation].job;
    const JobSpec &spec = context_.jobs[victim].spec;
    context_.events.publish(TaskPreempted{victim, preemptor_id});
    context_.workers.stop(machine_index, allocation, spec.checkpoint_s > 0 ? spec.save_s + 1 : 0);
  }
}

void Preemption::stop_teams_over_budget() {
  for (int team = 0; team < static_cast<int>(context_.settings.teams.size()); ++team) {
    const auto *budget = context_.ledger.budget(team);
    if (!budget || !budget->stop || !context_.ledger.budget_exhausted(team)) continue;
    std::vector<JobIndex> running;
    context_.jobs.each([&running, team](JobIndex job_index, const Job &job) {
      if (job.team == team && job.placed > 0) running.push_back(job_index);
    });
    for (JobIndex job_index : running)
      if (context_.workers.stop_job(job_index, context_.jobs[job_index].spec.save_s + 1))
        context_.events.publish(TasksStoppedByBudget{job_index});
  }
}

} // namespace loftrouter::core
