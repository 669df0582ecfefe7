#include "loftrouter/core/scheduling/preemption.hpp"

#include <algorithm>
#include <functional>
#include <utility>

namespace loftrouter::core {

namespace {
constexpr double kImageWorth = 2.0;    // a fetch spared, against the CPU seconds of work lost
constexpr double kNominatedFor = 15.0; // s, that a machine emptied for a job stays free for it
constexpr double kUnseenRun = 0.1;     // s, of a task that was not seen running yet
} // namespace

// What a job that fits nowhere could take on one machine: the tasks of lower urgency that would go, the least work lost
// first.
struct Preemption::Offer {
  struct Victim {
    double lost_cpu_s = 0;
    std::size_t allocation = 0; // its position among the machine's
    Resources need;
  };
  std::size_t machine = 0; // position in the snapshot
  Resources free;
  std::vector<Victim> victims;
  bool at_once = true;          // all that goes exits without saving
  std::uint32_t places = 0;     // tasks that `victim_count` victims make room for
  std::size_t victim_count = 0; // of the first victims
  std::size_t tried_count = 0;  // so many make room for one task more, at `cost`
  double cost = 0;

  bool make_room(const Resources &need) {
    while (!need.fits(free)) {
      if (tried_count == victims.size()) return false;
      cost += victims[tried_count].lost_cpu_s;
      free.add(victims[tried_count].need);
      ++tried_count;
    }
    return true;
  }
  double lost_cpu_s(double sum) const {
    for (std::size_t i = 0; i < victim_count; ++i)
      sum += victims[i].lost_cpu_s;
    return sum;
  }
};

// ---- what could be taken ----

Preemption::Offer Preemption::offer_of(const PlacementJob &job, const PlacementMachine &machine,
                                       std::size_t position) const {
  Offer offer;
  offer.machine = position;
  offer.free = machine.free;
  const auto &allocations = context_.workers[machine.id].allocations;
  for (std::size_t i = 0; i < allocations.size(); ++i) {
    const Allocation &allocation = allocations[i];
    if (allocation.completed()) continue;
    const Job *owner = allocation.job.valid() ? context_.jobs.find(allocation.job) : nullptr;
    const bool exits_at_once = owner && owner->spec.checkpoint_s <= 0;
    if (allocation.stop_requested()) { // going anyway
      offer.free.add(allocation.need);
      offer.at_once &= exits_at_once;
      continue;
    }
    if (!owner || owner->spec.shape != Shape::Array) continue;
    const bool yields = owner->delegated_here || context_.dependencies.priority(allocation.job) < job.priority;
    if (!yields) continue;
    const double ran_s = allocation.running_since >= 0 ? context_.runtime.now() - allocation.running_since : kUnseenRun;
    offer.victims.push_back({ran_s * allocation.need.cpus, i, allocation.need});
    offer.at_once &= exits_at_once;
  }
  std::sort(offer.victims.begin(), offer.victims.end(),
            [](const Offer::Victim &left, const Offer::Victim &right) { return left.lost_cpu_s < right.lost_cpu_s; });
  // A machine that holds the image spares its fetch, during which the places stand idle.
  const auto &images = machine.images;
  if (job.image >= 0 && std::find(images.begin(), images.end(), job.image) != images.end())
    offer.cost -= kImageWorth * job.need.cpus * job.image_gb / std::max(0.01, machine.fetch_gb_per_s);
  return offer;
}

// The places that cost least, for as many of the job's tasks as there are places: for a gang all or none. `zone`: -1
// for any.
Preemption::Offers Preemption::cheapest_offers(const PlacementJob &job, const std::vector<PlacementMachine> &machines,
                                               int zone) const {
  Offers offers;
  for (std::size_t i = 0; i < machines.size(); ++i) {
    const PlacementMachine &machine = machines[i];
    if ((zone >= 0 && machine.zone != zone) || !allowed(job, machine) || !job.need.fits(machine.size)) continue;
    Offer offer = offer_of(job, machine, i);
    if (offer.make_room(job.need)) offers.push_back(std::move(offer));
  }
  std::vector<std::pair<double, std::size_t>> heap; // -cost, offer
  for (std::size_t i = 0; i < offers.size(); ++i)
    heap.emplace_back(-offers[i].cost, i);
  std::make_heap(heap.begin(), heap.end());
  std::uint32_t places = 0;
  for (; places < job.pending && !heap.empty(); ++places) {
    std::pop_heap(heap.begin(), heap.end());
    Offer &offer = offers[heap.back().second];
    ++offer.places;
    offer.victim_count = offer.tried_count;
    offer.free.add(job.need, -1);
    offer.cost = 0;
    if (offer.make_room(job.need)) {
      heap.back().first = -offer.cost;
      std::push_heap(heap.begin(), heap.end());
    } else {
      heap.pop_back();
    }
  }
  if (job.gang && places < job.pending) return {};
  std::erase_if(offers, [](const Offer &offer) { return offer.places == 0; });
  return offers;
}

// Of a job that has to be in one zone those of the zone where least work is lost.
Preemption::Offers Preemption::best_offers(const PlacementJob &job,
                                           const std::vector<PlacementMachine> &machines) const {
  if (!job.one_zone) return cheapest_offers(job, machines, -1);
  std::vector<int> zones;
  for (const auto &machine : machines)
    if (std::find(zones.begin(), zones.end(), machine.zone) == zones.end()) zones.push_back(machine.zone);
  for (std::size_t zone = 0; zone < job.zone_used.size(); ++zone)
    if (job.zone_used[zone] > 0) zones = {static_cast<int>(zone)};
  Offers best;
  double best_cost = 0;
  for (int zone : zones) {
    Offers offers = cheapest_offers(job, machines, zone);
    double cost = 0;
    for (const auto &offer : offers)
      cost = offer.lost_cpu_s(cost);
    if (offers.empty() || (!best.empty() && cost >= best_cost)) continue;
    best = std::move(offers);
    best_cost = cost;
  }
  return best;
}

// ---- taking it ----

// Jobs of low urgency and other cells' preempt nothing.
void Preemption::make_room(std::vector<JobIndex> unplaced) {
  std::erase_if(unplaced, [this](JobIndex job_index) {
    return context_.dependencies.priority(job_index) == Priority::Low || context_.jobs[job_index].delegated_here;
  });
  if (unplaced.empty()) return;
  std::stable_sort(unplaced.begin(), unplaced.end(), [this](JobIndex left, JobIndex right) {
    return context_.dependencies.priority(left) > context_.dependencies.priority(right);
  });
  auto machines = snapshot_.all();
  for (JobIndex job_index : unplaced)
    make_room_for(job_index, machines);
}

void Preemption::make_room_for(JobIndex job_index, std::vector<PlacementMachine> &machines) {
  const Job &job = context_.jobs[job_index];
  const PlacementJob placement = queue_.job(job_index);
  const Offers offers = best_offers(placement, machines);
  if (offers.empty()) return;
  const bool at_once = may_start_at_once(placement, offers);
  std::uint32_t next_task = 0;
  for (const auto &offer : offers) {
    PlacementMachine &machine = machines[offer.machine];
    if (offer.victim_count > 0)
      context_.runtime.log(LogLevel::Info, "preemption_started",
                           {{"job", job.spec.id},
                            {"machine", context_.workers[machine.id].name},
                            {"places", offer.places},
                            {"tasks_stopped", offer.victim_count}});
    // Small work must not move in while the last tasks are being stopped.
    if (!at_once) nominations_.nominate(machine.id, job.spec.id, context_.runtime.now() + kNominatedFor);
    machine.nominated_for = job_index;
    machine.free = {}; // taken, as far as the next job is concerned
    stop_victims(offer, machine.id, job.spec.id);
    for (std::uint32_t i = 0; at_once && i < offer.places; ++i) {
      next_task = next_pending_task(job, next_task);
      if (next_task < job.spec.tasks) placer_.place(job_index, next_task, machine.id);
    }
  }
}

// Tasks that cannot save exit as soon as they are told, so their successors are started by the very same response.
// Victims count against their team until they are gone, so a team with a limit waits for that.
bool Preemption::may_start_at_once(const PlacementJob &job, const Offers &offers) const {
  const Team &team = context_.quotas.local_quota(job.team);
  if (job.max_per_zone >= 0 || team.cpus_max > 0 || team.gpus_max > 0) return false;
  return std::all_of(offers.begin(), offers.end(), [](const Offer &offer) { return offer.at_once; });
}

void Preemption::stop_victims(const Offer &offer, MachineIndex machine_index, const std::string &preemptor_id) {
  std::vector<std::size_t> allocations;
  for (std::size_t i = 0; i < offer.victim_count; ++i)
    allocations.push_back(offer.victims[i].allocation);
  // The last first: one that is released at once moves those after it.
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
