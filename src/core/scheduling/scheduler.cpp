#include "loftrouter/core/scheduling/scheduler.hpp"

#include <algorithm>
#include <cassert>

namespace loftrouter::core {

namespace {
constexpr double kRound = 0.25;
constexpr double kFirstRound = 0.5;   // after a term has begun
constexpr double kImageWorth = 2.0;   // a fetch spared, against the CPU seconds of work lost
constexpr double kHoldForJob = 15.0;  // s, that a machine emptied for a job stays free for it
constexpr double kHoldReserved = 1.0; // s, the same for one that has waited too long; said again in each round
constexpr double kPassedOver = 60.0;  // s, without a place, after which a job may have whatever has room
constexpr double kKeptFor = 600.0;    // s, that a machine type is kept after a job has wanted it whole
constexpr double kAheadEvery = 0.25;
constexpr double kAheadShare = 0.15; // of the fleet's CPUs: tasks recorded ahead of their placement
constexpr std::uint32_t kAheadLeast = 4;
} // namespace

void Scheduler::on(const TermStarted &) {
  next_round_ = runtime_.now() + kFirstRound;
}

void Scheduler::on(const TermEnded &) {
  line_.clear();
  line_serials_.clear();
  waits_.clear();
  nominations_.clear();
}

void Scheduler::on(const MachineRemoved &event) {
  if (held(event.machine)) grown(nominations_, event.machine) = {};
}

// A job that may not use spot machines and fits only one type needs those machines whole when it
// comes: small work that can go elsewhere keeps off them.
void Scheduler::on(const JobAccepted &event) {
  const JobSpec &spec = jobs_[event.job].spec;
  if (spec.spot || jobs_[event.job].cancelled) return;
  int only = -1;
  for (int t = 0; t < static_cast<int>(catalog_.types().size()); ++t) {
    const auto &type = catalog_.type(t);
    if (!spec.need.fits(type.size)) continue;
    if (spec.types && std::find(spec.types->begin(), spec.types->end(), type.name) == spec.types->end()) continue;
    if (only >= 0) return;
    only = t;
  }
  if (only < 0) return;
  const auto &size = catalog_.type(only).size;
  if (spec.need.cpus * 2 <= size.cpus && spec.need.memory * 2 <= size.memory) return;
  LargeTaskReservation &k = kept_[only];
  k.seen = runtime_.now();
  k.need = {std::max(k.need.cpus, spec.need.cpus), std::max(k.need.gpus, spec.need.gpus),
            std::max(k.need.memory, spec.need.memory)};
}

const Scheduler::LargeTaskReservation *Scheduler::kept(int type, double within_s) const {
  auto it = kept_.find(type);
  return it != kept_.end() && runtime_.now() - it->second.seen < within_s ? &it->second : nullptr;
}

bool Scheduler::deferrable(JobIndex job_index) const {
  if (!dependencies_.dependents(job_index).empty() || !jobs_[job_index].spec.waits_for.empty())
    return false; // others wait with it
  return objectives_.deferrable(jobs_[job_index].spec, dependencies_.urgency(job_index),
                                dependencies_.deadline(job_index), age(job_index));
}

PlaceOptions Scheduler::options() const {
  const auto &t = operators_.tunables();
  return {t.full_plan_bonus, t.age_weight, t.image_weight, t.price_weight, t.reserve_after_s, t.in_time_bonus};
}

// ---- what is seen ----

std::vector<PlaceMachine> Scheduler::snapshot(std::vector<MachineIndex> &index, MachineIndex only,
                                              const std::function<bool(MachineIndex)> &silent_too) const {
  std::vector<PlaceMachine> out;
  const double cheapest = catalog_.cheapest_cpu();
  auto small = [this](const Allocation &allocation) {
    return allocation.job.valid() && is_small(jobs_[allocation.job].spec, jobs_[allocation.job].spec.urgency);
  };
  const std::size_t first = only.valid() ? only.position() : 0;
  const std::size_t end = only.valid() ? first + 1 : workers_.index_limit();
  for (std::size_t position = first; position < end; ++position) {
    const MachineIndex machine_index(position);
    const Machine *p = workers_.find(machine_index);
    if (!p || p->returning() || p->reclaim_at || p->draining() || p->admin_state || p->type < 0) continue;
    // Probably dead, hanging or cut off.
    if ((!p->available() || p->heartbeat_overdue(runtime_.now(), settings_.heartbeat_interval_s) ||
         !p->downlink.accepts_commands()) &&
        !(silent_too && silent_too(machine_index)))
      continue;
    PlaceMachine machine;
    machine.id = machine_index;
    machine.size = p->size;
    machine.free = p->size;
    machine.free.add(p->used, -1);
    machine.type = p->type;
    machine.zone = p->zone;
    machine.spot = p->spot;
    const auto &type = catalog_.type(p->type);
    machine.price_premium = 1 - cheapest / std::max(cheapest, InstanceTypeCatalog::cpu_price(type, p->spot));
    if (const Nomination *nomination = held(machine_index); nomination && runtime_.now() < nomination->until)
      machine.held_for = jobs_.index(nomination->job);
    machine.speed_gb_s = type.fetch_gb_per_s;
    for (const auto &[image, gb] : p->images)
      machine.images.push_back(image);
    if (const LargeTaskReservation *k = p->spot ? nullptr : kept(p->type, kKeptFor)) {
      machine.kept = true;
      machine.spare = p->size;
      machine.spare.add(k->need, -1);
      for (const auto &s : p->allocations)
        if (!s.completed() && small(s)) machine.spare.add(s.need, -1);
    }
    out.push_back(std::move(machine));
    index.push_back(machine_index);
  }
  if (only.valid()) {
    if (const Nomination *nomination = held(only); !out.empty() && nomination)
      out[0].kept &= !nomination->open_to_small;
    return out;
  }
  // Of the kept machines that hold no large task one a type, the one with least small work, is reserved
  // for the next; the others are open to small work rather than paid for nothing.
  std::unordered_map<int, int> reserved;
  auto small_only = [&](int k) {
    const auto &allocations = workers_[index[static_cast<std::size_t>(k)]].allocations;
    return std::all_of(allocations.begin(), allocations.end(),
                       [&](const Allocation &allocation) { return allocation.completed() || small(allocation); });
  };
  for (int k = 0; k < static_cast<int>(out.size()); ++k) {
    auto &m = out[static_cast<std::size_t>(k)];
    if (!m.kept || m.held_for.valid() || !small_only(k)) continue;
    auto [it, first_of_type] = reserved.try_emplace(m.type, k);
    if (first_of_type) continue;
    auto &other = out[static_cast<std::size_t>(it->second)];
    if (m.free.cpus > other.free.cpus) {
      other.kept = false;
      it->second = k;
    } else {
      m.kept = false;
    }
  }
  return out;
}

PlaceJob Scheduler::place_job(JobIndex job_index) const {
  const Job &n = jobs_[job_index];
  const auto &types = catalog_.types();
  const bool suspect = failure_attribution_.suspected(job_index);
  PlaceJob job;
  job.self = job_index;
  job.need = n.spec.need;
  job.types.assign(types.size(), 1);
  if (n.spec.types)
    for (std::size_t t = 0; t < types.size(); ++t)
      job.types[t] = std::find(n.spec.types->begin(), n.spec.types->end(), types[t].name) != n.spec.types->end();
  if (n.spec.zone) {
    const int zone_index = catalog_.find_zone(*n.spec.zone);
    job.zone = zone_index >= 0 ? zone_index : 1'000'000;
  }
  job.spot = n.spec.spot;
  job.gang = n.spec.shape == Shape::Gang;
  job.one_zone = n.spec.one_zone;
  job.zone_used = n.zone_used;
  if (n.spec.spread) job.zone_cap = static_cast<int>((n.spec.tasks + 1) / 2);
  job.barred = failure_attribution_.avoided_machines(job_index);
  job.ready = n.pending();
  bool held = n.cancelled || n.ending || n.paused ||
              ledger_.budget_exhausted(n.team) || // of its team's budget, not an end
              !dependencies_.ready(job_index);
  if (suspect) { // one task, or one gang, at a time and seldom
    held |= runtime_.now() < failure_attribution_.retry_at(job_index) || n.placed > 0 || n.unaccounted > 0;
    if (n.spec.shape != Shape::Gang) job.ready = std::min(job.ready, 1U);
  }
  // Where unaccounted tasks are is not known, so neither are their zones.
  if ((n.spec.one_zone || n.spec.spread) && n.unaccounted) held = true;
  if (job.gang) {
    if (n.unaccounted) held = true;
    if (n.placed && n.gang_closed) held = true; // the old attempt has to be gone first
  }
  job.limit = held ? 0 : job.ready;
  job.urgency = dependencies_.urgency(job_index);
  job.wait_s = std::max(0.0, age(job_index));
  job.delegated_here = n.delegated_here.has_value();
  job.started =
      n.placed + n.done > 0 || suspect || job.delegated_here; // a suspect reserves nothing, nor does others' work
  // Work that nobody wants at a certain time waits for cheap places, of which it may have what others leave.
  if (deferrable(job_index)) job.max_price_premium = 1 - 1 / kExpensiveRatio;
  // The last of its tasks starts once the others have had their turn on the fleet.
  const auto deadline = dependencies_.deadline(job_index);
  job.in_time = objectives_.completion_target(n.spec, deadline) &&
                job.wait_s + n.spec.estimate_s * (1 + job.ready * job.need.cpus / std::max(1.0, up_cpus_)) <=
                    objectives_.achievable_target(n.spec, deadline, age(job_index));
  job.image = n.image;
  job.image_gb = n.spec.image_gb;
  job.small = is_small(n.spec, n.spec.urgency); // whatever it is wanted for
  job.team = std::max(0, n.team);
  return job;
}

bool Scheduler::passed_over(JobIndex job_index) const {
  if (job_index.position() >= waits_.size()) return false;
  const Wait &w = waits_[job_index.position()];
  return w.serial == jobs_[job_index].serial && w.seen - w.since > kPassedOver;
}

// What keeps work off places that have room for it (the price of small work, machines kept for work that needs them
// whole) puts it off and no more. Guards against a job that waits beside room for it, for as long as those that the
// machine is up for run. What is rented does not follow: places that are there anyhow cost nothing.
PlaceJob Scheduler::candidate(JobIndex job_index) const {
  PlaceJob job = place_job(job_index);
  if (!passed_over(job_index)) return job;
  job.max_price_premium = 1;
  job.small = false;
  return job;
}

// ---- rounds ----

void Scheduler::tick() {
  if (runtime_.now() >= next_round_) {
    stop_spent();
    round();
  }
  if (runtime_.now() >= next_ahead_) plan_ahead();
}

void Scheduler::settle() {
  if (wanted() && runtime_.now() >= next_round_) round();
}

void Scheduler::offer(MachineIndex machine_index) {
  if (!wanted() || workers_[machine_index].returning() || !workers_[machine_index].downlink.accepts_commands() ||
      !leadership_.active() || !quotas_.ready() || line_.empty())
    return;
  std::vector<MachineIndex> index;
  auto machines = snapshot(index, machine_index);
  if (machines.empty()) return;
  std::vector<const PlaceJob *> jobs;
  std::vector<JobIndex> order;
  for (std::size_t k = 0; k < line_.size(); ++k) {
    PlaceJob &place_job = line_[k];
    if (!has_room(place_job, machines[0])) continue;
    const Job *job = jobs_.find(place_job.self);
    if (!job || job->serial != line_serials_[k] || job->cancelled || job->ending || job->paused ||
        ledger_.budget_exhausted(job->team))
      continue;
    if (place_job.gang || place_job.one_zone || place_job.zone_cap >= 0 ||
        failure_attribution_.has_failed(place_job.self)) {
      const bool guaranteed = place_job.guaranteed;
      place_job = candidate(place_job.self);
      place_job.guaranteed = guaranteed;
    } else {
      place_job.ready = place_job.limit = job->pending();
    }
    if (place_job.limit == 0) continue;
    jobs.push_back(&place_job);
    order.push_back(place_job.self);
  }
  if (jobs.empty()) return;
  carry_out(place_round(std::move(machines), jobs, quotas_.room(), options()), order, index);
}

// How many tasks of each job were placed.
std::vector<std::uint32_t> Scheduler::carry_out(const std::vector<Assignment> &plan, const std::vector<JobIndex> &order,
                                                const std::vector<MachineIndex> &index) {
  std::vector<std::uint32_t> cursor(order.size(), 0), placed(order.size(), 0);
  for (const auto &a : plan) {
    const auto p = static_cast<std::size_t>(a.job);
    const Job &job = jobs_[order[p]];
    auto &i = cursor[p];
    while (i < job.spec.tasks && job.tasks[i].state != TaskState::Pending)
      ++i;
    if (i >= job.spec.tasks) continue;
    place(order[p], i, index[static_cast<std::size_t>(a.machine)]);
    ++placed[p];
  }
  return placed;
}

void Scheduler::place(JobIndex job_index, std::uint32_t i, MachineIndex machine_index) {
  const Job &job = jobs_[job_index];
  std::uint64_t attempt;
  if (job.spec.shape != Shape::Gang)
    attempt = (leadership_.term() << 20) + ++attempts_;
  else if (job.placed == 0)
    attempt = jobs_.next_gang_attempt(job_index, (leadership_.term() << 20) + ++attempts_);
  else
    attempt = job.gang_attempt;
  state_writer_.mark_started(job_index, i);
  jobs_.place(job_index, i, machine_index, workers_[machine_index].zone);
  workers_.allocate(machine_index, job_index, i, attempt);
  grown(waits_, job_index).since = runtime_.now();
  if (!state_writer_.start_recorded(job_index, i)) jobs_.changed(job_index, true);
  if (job.placed == 1 && runtime_.shows(LogLevel::Debug))
    runtime_.log(LogLevel::Debug, "job_started",
                 {{"job", job.spec.id},
                  {"class", job.spec.job_class},
                  {"machine", workers_[machine_index].name},
                  {"type", catalog_.type_name(workers_[machine_index].type)},
                  {"after_s", age(job_index)}});
}

void Scheduler::round() {
  next_round_ = runtime_.now() + kRound;
  seen();
  line_.clear();
  line_serials_.clear();
  if (!leadership_.active() || !quotas_.ready()) return;
  std::vector<MachineIndex> index;
  auto machines = snapshot(index, {});
  up_cpus_ = 0;
  for (const auto &m : machines) {
    up_cpus_ += m.size.cpus;
    grown(nominations_, m.id).open_to_small = !m.kept;
  }
  std::vector<Resources> wanted(settings_.teams.size());
  std::vector<JobIndex> order;
  jobs_.each([&](JobIndex job_index, const Job &job) {
    if (job.team >= 0 && !job.cancelled && job.pending() > 0 && dependencies_.ready(job_index))
      order.push_back(job_index);
  });
  // Oldest first, so that a team's guarantee covers its earliest unfinished jobs.
  std::sort(order.begin(), order.end(),
            [this](JobIndex a, JobIndex b) { return jobs_[a].submit_wall < jobs_[b].submit_wall; });
  for (JobIndex job_index : order) {
    const Job &n = jobs_[job_index];
    Wait &wait = grown(waits_, job_index);
    if (wait.serial != n.serial || runtime_.now() - wait.seen > 4 * kRound)
      wait = {n.serial, runtime_.now(), runtime_.now()};
    wait.seen = runtime_.now();
    PlaceJob job = candidate(job_index);
    const Team &team = quotas_.here(n.team);
    auto &w = wanted[static_cast<std::size_t>(n.team)];
    w.add(n.spec.need, n.spec.tasks - n.done);
    job.guaranteed = (team.cpus > 0 || team.gpus > 0) && w.cpus <= team.cpus + 1e-6 && w.gpus <= team.gpus + 1e-6;
    line_.push_back(std::move(job));
    line_serials_.push_back(n.serial);
  }
  if (line_.empty()) return;
  std::vector<Reservation> reserved;
  const auto placed =
      carry_out(place_round(std::move(machines), line_, quotas_.room(), options(), &reserved), order, index);
  // Guards against a machine kept for a job that has waited too long being filled, place by place as places come free,
  // between two rounds over all machines.
  for (const auto &r : reserved) {
    grown(nominations_, r.machine).job = jobs_[r.job].spec.id;
    grown(nominations_, r.machine).until = runtime_.now() + kHoldReserved;
  }
  seen();
  std::vector<JobIndex> starved;
  for (std::size_t k = 0; k < order.size(); ++k)
    if (line_[k].limit > 0 && placed[k] == 0 && !failure_attribution_.suspected(order[k])) starved.push_back(order[k]);
  if (!starved.empty()) preempt(starved);
}

// How many tasks of each job are to be recorded ahead: as many as the fleet may start within the next seconds,
// counted along the order in which jobs will have their turn.
void Scheduler::plan_ahead() {
  next_ahead_ = runtime_.now() + kAheadEvery;
  std::vector<std::tuple<int, bool, double, JobIndex>> line;
  jobs_.each([&](JobIndex job_index, const Job &job) {
    if (job.cancelled || job.spec.shape == Shape::Gang || job.pending() == 0 || !dependencies_.ready(job_index)) return;
    line.emplace_back(-static_cast<int>(dependencies_.urgency(job_index)), !place_job(job_index).in_time,
                      job.submit_wall, job_index);
  });
  std::sort(line.begin(), line.end());
  double left = kAheadShare * up_cpus_;
  for (auto [urgency, late, submitted, j] : line) {
    const Job &job = jobs_[j];
    const double fits = std::max(0.0, left / std::max(0.01, job.spec.need.cpus));
    const auto ahead = std::min(job.pending(), std::max(kAheadLeast, static_cast<std::uint32_t>(std::min(1e6, fits))));
    left -= ahead * job.spec.need.cpus;
    state_writer_.set_prerecorded_tasks(j, ahead);
  }
}

// ---- making room ----

// Where an operator wants it so, the running tasks of a team whose budget is spent are stopped, with time to save.
void Scheduler::stop_spent() {
  for (int team = 0; team < static_cast<int>(settings_.teams.size()); ++team)
    if (const auto *b = ledger_.budget(team); b && b->stop && ledger_.budget_exhausted(team)) {
      std::vector<JobIndex> running;
      jobs_.each([&](JobIndex job_index, const Job &job) {
        if (job.team == team && job.placed > 0) running.push_back(job_index);
      });
      for (JobIndex job_index : running)
        if (workers_.stop_job(job_index, jobs_[job_index].spec.save_s + 1))
          events_.publish(TasksStoppedByBudget{job_index});
    }
}

// What a job that fits nowhere could take on one machine: the tasks of lower priority that would go, the
// least work lost first.
struct Scheduler::Offer {
  struct Victim {
    double lost; // CPU seconds
    std::size_t allocation;
    Resources need;
  };
  std::size_t position = 0;
  Resources free;
  std::vector<Victim> victims;
  bool at_once = true;   // all that goes exits without saving
  std::size_t goes = 0;  // so many victims make room for `places` tasks,
  std::size_t tried = 0; // so many for one more, at `cost`
  std::uint32_t places = 0;
  double cost = 0;

  bool room_for(const Resources &need) {
    while (!need.fits(free)) {
      if (tried == victims.size()) return false;
      cost += victims[tried].lost;
      free.add(victims[tried++].need);
    }
    return true;
  }
};

// The places that cost least, for as many of the job's tasks as there are places: for a gang all or none.
std::vector<Scheduler::Offer> Scheduler::seek_places(const PlaceJob &job, const std::vector<PlaceMachine> &machines,
                                                     const std::vector<MachineIndex> &index, int zone) const {
  std::vector<Offer> offers;
  for (std::size_t i = 0; i < machines.size(); ++i) {
    const auto &pm = machines[i];
    if ((zone >= 0 && pm.zone != zone) || !allowed(job, pm) || !job.need.fits(pm.size)) continue;
    Offer offer;
    offer.position = i;
    offer.free = pm.free;
    const auto &allocations = workers_[index[i]].allocations;
    for (std::size_t s = 0; s < allocations.size(); ++s) {
      const Allocation &allocation = allocations[s];
      const Job *owner = allocation.job.valid() ? jobs_.find(allocation.job) : nullptr;
      if (allocation.completed()) continue;
      if (allocation.stop_requested()) { // going anyway
        offer.free.add(allocation.need);
        offer.at_once &= owner && owner->spec.checkpoint_s <= 0;
      } else if (owner && (dependencies_.urgency(allocation.job) < job.urgency || owner->delegated_here) &&
                 owner->spec.shape == Shape::Array) {
        const double ran = allocation.running_since >= 0 ? runtime_.now() - allocation.running_since : 0.1;
        offer.victims.push_back({ran * allocation.need.cpus, s, allocation.need});
        offer.at_once &= owner->spec.checkpoint_s <= 0;
      }
    }
    std::sort(offer.victims.begin(), offer.victims.end(), [](const auto &a, const auto &b) { return a.lost < b.lost; });
    // A machine that holds the image spares its fetch, during which the places stand idle.
    if (job.image >= 0 && std::find(pm.images.begin(), pm.images.end(), job.image) != pm.images.end())
      offer.cost -= kImageWorth * job.need.cpus * job.image_gb / std::max(0.01, pm.speed_gb_s);
    if (offer.room_for(job.need)) offers.push_back(std::move(offer));
  }
  std::vector<std::pair<double, std::size_t>> heap; // -cost, offer
  for (std::size_t k = 0; k < offers.size(); ++k)
    heap.emplace_back(-offers[k].cost, k);
  std::make_heap(heap.begin(), heap.end());
  std::uint32_t found = 0;
  for (; found < job.ready && !heap.empty(); ++found) {
    std::pop_heap(heap.begin(), heap.end());
    Offer &offer = offers[heap.back().second];
    ++offer.places;
    offer.goes = offer.tried;
    offer.free.add(job.need, -1);
    offer.cost = 0;
    if (offer.room_for(job.need)) {
      heap.back().first = -offer.cost;
      std::push_heap(heap.begin(), heap.end());
    } else {
      heap.pop_back();
    }
  }
  if (job.gang && found < job.ready) return {};
  std::erase_if(offers, [](const Offer &offer) { return offer.places == 0; });
  return offers;
}

// A job that fits nowhere may take the place of work of lower priority, where the least work is lost. Tasks
// that cannot save exit as soon as they are told, so their successors are started by the very same answer.
void Scheduler::preempt(std::vector<JobIndex> starved) {
  std::erase_if(starved, [this](JobIndex job_index) {
    return dependencies_.urgency(job_index) == Urgency::Low || jobs_[job_index].delegated_here;
  });
  if (starved.empty()) return;
  std::stable_sort(starved.begin(), starved.end(),
                   [this](JobIndex a, JobIndex b) { return dependencies_.urgency(a) > dependencies_.urgency(b); });
  std::vector<MachineIndex> index;
  auto machines = snapshot(index, {});
  for (JobIndex job_index : starved) {
    const Job &n = jobs_[job_index];
    const PlaceJob job = place_job(job_index);
    const Team &team = quotas_.here(job.team);
    std::vector<int> zones{-1};
    if (job.one_zone) {
      zones.clear();
      for (const auto &m : machines)
        if (std::find(zones.begin(), zones.end(), m.zone) == zones.end()) zones.push_back(m.zone);
      for (std::size_t z = 0; z < job.zone_used.size(); ++z)
        if (job.zone_used[z] > 0) zones = {static_cast<int>(z)};
    }
    std::vector<Offer> best;
    double best_cost = 0;
    for (int zone_index : zones) {
      auto offers = seek_places(job, machines, index, zone_index);
      double cost = 0;
      for (const auto &o : offers)
        for (std::size_t v = 0; v < o.goes; ++v)
          cost += o.victims[v].lost;
      if (!offers.empty() && (best.empty() || cost < best_cost)) {
        best = std::move(offers);
        best_cost = cost;
      }
    }
    if (best.empty()) continue;
    // Victims count against their team until they are gone, so a team with a limit waits for that.
    const bool at_once = job.zone_cap < 0 && team.cpus_max <= 0 && team.gpus_max <= 0 &&
                         std::all_of(best.begin(), best.end(), [](const Offer &offer) { return offer.at_once; });
    std::uint32_t next = 0;
    for (const auto &o : best) {
      const MachineIndex machine_index = index[o.position];
      if (o.goes)
        runtime_.log(LogLevel::Info, "preemption_started",
                     {{"job", n.spec.id},
                      {"machine", workers_[machine_index].name},
                      {"places", o.places},
                      {"tasks_stopped", o.goes}});
      if (!at_once) { // small work must not move in while the last tasks are being stopped
        grown(nominations_, machine_index).job = n.spec.id;
        grown(nominations_, machine_index).until = runtime_.now() + kHoldForJob;
      }
      machines[o.position].held_for = job_index;
      machines[o.position].free = {}; // taken, as far as the next job is concerned
      std::vector<std::size_t> allocations;
      for (std::size_t v = 0; v < o.goes; ++v)
        allocations.push_back(o.victims[v].allocation);
      std::sort(allocations.rbegin(), allocations.rend()); // a slot that goes at once moves those after it
      for (std::size_t s : allocations) {
        const JobIndex victim = workers_[machine_index].allocations[s].job;
        const JobSpec &owner = jobs_[victim].spec;
        events_.publish(TaskPreempted{victim, n.spec.id});
        workers_.stop(machine_index, s, owner.checkpoint_s > 0 ? owner.save_s + 1 : 0);
      }
      for (std::uint32_t k = 0; at_once && k < o.places; ++k) {
        while (next < n.spec.tasks && n.tasks[next].state != TaskState::Pending)
          ++next;
        if (next < n.spec.tasks) place(job_index, next, machine_index);
      }
    }
  }
}

} // namespace loftrouter::core
