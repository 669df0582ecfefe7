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

void Scheduler::on(const MachineRemoved &e) {
  if (held(e.machine)) grown(nominations_, e.machine) = {};
}

// A job that may not use spot machines and fits only one type needs those machines whole when it
// comes: small work that can go elsewhere keeps off them.
void Scheduler::on(const JobAccepted &e) {
  const JobSpec &spec = jobs_[e.job].spec;
  if (spec.spot || jobs_[e.job].cancelled) return;
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

bool Scheduler::deferrable(int j) const {
  if (!dependencies_.needed_by(j).empty() || !jobs_[j].spec.waits_for.empty()) return false; // others wait with it
  return objectives_.deferrable(jobs_[j].spec, dependencies_.urgency(j), dependencies_.deadline(j), age(j));
}

PlaceOptions Scheduler::options() const {
  const auto &t = operators_.tunables();
  return {t.full_plan_bonus, t.age_weight, t.image_weight, t.price_weight, t.reserve_after_s, t.in_time_bonus};
}

// ---- what is seen ----

std::vector<PlaceMachine> Scheduler::snapshot(std::vector<int> &index, int only,
                                              const std::function<bool(int)> &silent_too) const {
  std::vector<PlaceMachine> out;
  const double cheapest = catalog_.cheapest_cpu();
  auto small = [this](const Allocation &s) {
    return s.job >= 0 && is_small(jobs_[s.job].spec, jobs_[s.job].spec.urgency);
  };
  const int first = std::max(0, only), end = only >= 0 ? only + 1 : static_cast<int>(workers_.index_limit());
  for (int m = first; m < end; ++m) {
    const Machine *p = workers_.find(m);
    if (!p || p->returning || p->taken_at || p->draining || p->order || p->type < 0) continue;
    // Probably dead, hanging or cut off.
    if ((!p->heard || p->lost || p->silent(runtime_.now(), settings_.heartbeat_interval_s) || !p->accepts_commands()) &&
        !(silent_too && silent_too(m)))
      continue;
    PlaceMachine pm;
    pm.id = m;
    pm.size = p->size;
    pm.free = p->size;
    pm.free.add(p->used, -1);
    pm.type = p->type;
    pm.zone = p->zone;
    pm.spot = p->spot;
    const auto &type = catalog_.type(p->type);
    pm.price_premium = 1 - cheapest / std::max(cheapest, InstanceTypeCatalog::cpu_price(type, p->spot));
    if (const Nomination *h = held(m); h && runtime_.now() < h->until) pm.held_for = jobs_.index(h->job);
    pm.speed_gb_s = type.fetch_gb_per_s;
    for (const auto &[image, gb] : p->images)
      pm.images.push_back(image);
    if (const LargeTaskReservation *k = p->spot ? nullptr : kept(p->type, kKeptFor)) {
      pm.kept = true;
      pm.spare = p->size;
      pm.spare.add(k->need, -1);
      for (const auto &s : p->allocations)
        if (!s.finished && small(s)) pm.spare.add(s.need, -1);
    }
    out.push_back(std::move(pm));
    index.push_back(m);
  }
  if (only >= 0) {
    if (const Nomination *h = held(only); !out.empty() && h) out[0].kept &= !h->open_to_small;
    return out;
  }
  // Of the kept machines that hold no large task one a type, the one with least small work, is reserved
  // for the next; the others are open to small work rather than paid for nothing.
  std::unordered_map<int, int> reserved;
  auto small_only = [&](int k) {
    const auto &allocations = workers_[index[static_cast<std::size_t>(k)]].allocations;
    return std::all_of(allocations.begin(), allocations.end(),
                       [&](const Allocation &s) { return s.finished || small(s); });
  };
  for (int k = 0; k < static_cast<int>(out.size()); ++k) {
    auto &m = out[static_cast<std::size_t>(k)];
    if (!m.kept || m.held_for >= 0 || !small_only(k)) continue;
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

PlaceJob Scheduler::place_job(int j) const {
  const Job &n = jobs_[j];
  const auto &types = catalog_.types();
  const bool suspect = failure_attribution_.suspect(j);
  PlaceJob p;
  p.self = j;
  p.need = n.spec.need;
  p.types.assign(types.size(), 1);
  if (n.spec.types)
    for (std::size_t t = 0; t < types.size(); ++t)
      p.types[t] = std::find(n.spec.types->begin(), n.spec.types->end(), types[t].name) != n.spec.types->end();
  if (n.spec.zone) {
    const int z = catalog_.find_zone(*n.spec.zone);
    p.zone = z >= 0 ? z : 1'000'000;
  }
  p.spot = n.spec.spot;
  p.gang = n.spec.shape == Shape::Gang;
  p.one_zone = n.spec.one_zone;
  p.zone_used = n.zone_used;
  if (n.spec.spread) p.zone_cap = static_cast<int>((n.spec.tasks + 1) / 2);
  p.barred = failure_attribution_.barred(j);
  p.ready = n.pending();
  bool held = n.cancelled || n.ending || n.paused || ledger_.spent(n.team) || // of its team's budget, not an end
              !dependencies_.ready(j);
  if (suspect) { // one task, or one gang, at a time and seldom
    held |= runtime_.now() < failure_attribution_.retry_at(j) || n.placed > 0 || n.unaccounted > 0;
    if (n.spec.shape != Shape::Gang) p.ready = std::min(p.ready, 1U);
  }
  // Where unaccounted tasks are is not known, so neither are their zones.
  if ((n.spec.one_zone || n.spec.spread) && n.unaccounted) held = true;
  if (p.gang) {
    if (n.unaccounted) held = true;
    if (n.placed && n.gang_closed) held = true; // the old attempt has to be gone first
  }
  p.limit = held ? 0 : p.ready;
  p.urgency = dependencies_.urgency(j);
  p.wait_s = std::max(0.0, age(j));
  p.delegated_here = n.delegated_here.has_value();
  p.started = n.placed + n.done > 0 || suspect || p.delegated_here; // a suspect reserves nothing, nor does others' work
  // Work that nobody wants at a certain time waits for cheap places, of which it may have what others leave.
  if (deferrable(j)) p.max_price_premium = 1 - 1 / kExpensiveRatio;
  // The last of its tasks starts once the others have had their turn on the fleet.
  const auto deadline = dependencies_.deadline(j);
  p.in_time = objectives_.wanted_after(n.spec, deadline) &&
              p.wait_s + n.spec.estimate_s * (1 + p.ready * p.need.cpus / std::max(1.0, up_cpus_)) <=
                  objectives_.due_after(n.spec, deadline, age(j));
  p.image = n.image;
  p.image_gb = n.spec.image_gb;
  p.small = is_small(n.spec, n.spec.urgency); // whatever it is wanted for
  p.team = std::max(0, n.team);
  return p;
}

bool Scheduler::passed_over(int j) const {
  if (static_cast<std::size_t>(j) >= waits_.size()) return false;
  const Wait &w = waits_[static_cast<std::size_t>(j)];
  return w.serial == jobs_[j].serial && w.seen - w.since > kPassedOver;
}

// What keeps work off places that have room for it (the price of small work, machines kept for work that needs them
// whole) puts it off and no more. Guards against a job that waits beside room for it, for as long as those that the
// machine is up for run. What is rented does not follow: places that are there anyhow cost nothing.
PlaceJob Scheduler::candidate(int j) const {
  PlaceJob p = place_job(j);
  if (!passed_over(j)) return p;
  p.max_price_premium = 1;
  p.small = false;
  return p;
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

void Scheduler::offer(int m) {
  if (!wanted() || workers_[m].returning || !workers_[m].accepts_commands() || !leadership_.active() ||
      !quotas_.ready() || line_.empty())
    return;
  std::vector<int> index;
  auto machines = snapshot(index, m);
  if (machines.empty()) return;
  std::vector<const PlaceJob *> jobs;
  std::vector<int> order;
  for (std::size_t k = 0; k < line_.size(); ++k) {
    PlaceJob &p = line_[k];
    if (!has_room(p, machines[0])) continue;
    const Job *n = jobs_.find(p.self);
    if (!n || n->serial != line_serials_[k] || n->cancelled || n->ending || n->paused || ledger_.spent(n->team))
      continue;
    if (p.gang || p.one_zone || p.zone_cap >= 0 || failure_attribution_.failed_lately(p.self)) {
      const bool guaranteed = p.guaranteed;
      p = candidate(p.self);
      p.guaranteed = guaranteed;
    } else {
      p.ready = p.limit = n->pending();
    }
    if (p.limit == 0) continue;
    jobs.push_back(&p);
    order.push_back(p.self);
  }
  if (jobs.empty()) return;
  carry_out(place_round(std::move(machines), jobs, quotas_.room(), options()), order, index);
}

// How many tasks of each job were placed.
std::vector<std::uint32_t> Scheduler::carry_out(const std::vector<Assignment> &plan, const std::vector<int> &order,
                                                const std::vector<int> &index) {
  std::vector<std::uint32_t> cursor(order.size(), 0), placed(order.size(), 0);
  for (const auto &a : plan) {
    const auto p = static_cast<std::size_t>(a.job);
    const Job &n = jobs_[order[p]];
    auto &i = cursor[p];
    while (i < n.spec.tasks && n.tasks[i].state != TaskState::Pending)
      ++i;
    if (i >= n.spec.tasks) continue;
    place(order[p], i, index[static_cast<std::size_t>(a.machine)]);
    ++placed[p];
  }
  return placed;
}

void Scheduler::place(int j, std::uint32_t i, int m) {
  const Job &n = jobs_[j];
  std::uint64_t attempt;
  if (n.spec.shape != Shape::Gang)
    attempt = (leadership_.term() << 20) + ++attempts_;
  else if (n.placed == 0)
    attempt = jobs_.next_gang_attempt(j, (leadership_.term() << 20) + ++attempts_);
  else
    attempt = n.gang_attempt;
  state_writer_.start(j, i);
  jobs_.place(j, i, m, workers_[m].zone);
  workers_.put(m, j, i, attempt);
  grown(waits_, j).since = runtime_.now();
  if (!state_writer_.recorded(j, i)) jobs_.changed(j, true);
  if (n.placed == 1 && runtime_.shows(LogLevel::Debug))
    runtime_.log(LogLevel::Debug, "job_started",
                 {{"job", n.spec.id},
                  {"class", n.spec.job_class},
                  {"machine", workers_[m].name},
                  {"type", catalog_.type_name(workers_[m].type)},
                  {"after_s", age(j)}});
}

void Scheduler::round() {
  next_round_ = runtime_.now() + kRound;
  seen();
  line_.clear();
  line_serials_.clear();
  if (!leadership_.active() || !quotas_.ready()) return;
  std::vector<int> index;
  auto machines = snapshot(index, -1);
  up_cpus_ = 0;
  for (const auto &m : machines) {
    up_cpus_ += m.size.cpus;
    grown(nominations_, m.id).open_to_small = !m.kept;
  }
  std::vector<Resources> wanted(settings_.teams.size());
  std::vector<int> order;
  jobs_.each([&](int j, const Job &n) {
    if (n.team >= 0 && !n.cancelled && n.pending() > 0 && dependencies_.ready(j)) order.push_back(j);
  });
  // Oldest first, so that a team's guarantee covers its earliest unfinished jobs.
  std::sort(order.begin(), order.end(), [this](int a, int b) { return jobs_[a].submit_wall < jobs_[b].submit_wall; });
  for (int j : order) {
    const Job &n = jobs_[j];
    Wait &wait = grown(waits_, j);
    if (wait.serial != n.serial || runtime_.now() - wait.seen > 4 * kRound)
      wait = {n.serial, runtime_.now(), runtime_.now()};
    wait.seen = runtime_.now();
    PlaceJob p = candidate(j);
    const Team &t = quotas_.here(n.team);
    auto &w = wanted[static_cast<std::size_t>(n.team)];
    w.add(n.spec.need, n.spec.tasks - n.done);
    p.guaranteed = (t.cpus > 0 || t.gpus > 0) && w.cpus <= t.cpus + 1e-6 && w.gpus <= t.gpus + 1e-6;
    line_.push_back(std::move(p));
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
  std::vector<int> starved;
  for (std::size_t k = 0; k < order.size(); ++k)
    if (line_[k].limit > 0 && placed[k] == 0 && !failure_attribution_.suspect(order[k])) starved.push_back(order[k]);
  if (!starved.empty()) preempt(starved);
}

// How many tasks of each job are to be recorded ahead: as many as the fleet may start within the next seconds,
// counted along the order in which jobs will have their turn.
void Scheduler::plan_ahead() {
  next_ahead_ = runtime_.now() + kAheadEvery;
  std::vector<std::tuple<int, bool, double, int>> line;
  jobs_.each([&](int j, const Job &n) {
    if (n.cancelled || n.spec.shape == Shape::Gang || n.pending() == 0 || !dependencies_.ready(j)) return;
    line.emplace_back(-static_cast<int>(dependencies_.urgency(j)), !place_job(j).in_time, n.submit_wall, j);
  });
  std::sort(line.begin(), line.end());
  double left = kAheadShare * up_cpus_;
  for (auto [urgency, late, submitted, j] : line) {
    const Job &n = jobs_[j];
    const double fits = std::max(0.0, left / std::max(0.01, n.spec.need.cpus));
    const auto ahead = std::min(n.pending(), std::max(kAheadLeast, static_cast<std::uint32_t>(std::min(1e6, fits))));
    left -= ahead * n.spec.need.cpus;
    state_writer_.set_ahead(j, ahead);
  }
}

// ---- making room ----

// Where an operator wants it so, the running tasks of a team whose budget is spent are stopped, with time to save.
void Scheduler::stop_spent() {
  for (int team = 0; team < static_cast<int>(settings_.teams.size()); ++team)
    if (const auto *b = ledger_.budget(team); b && b->stop && ledger_.spent(team)) {
      std::vector<int> running;
      jobs_.each([&](int j, const Job &n) {
        if (n.team == team && n.placed > 0) running.push_back(j);
      });
      for (int j : running)
        if (workers_.stop_all(j, jobs_[j].spec.save_s + 1)) events_.publish(TasksStoppedByBudget{j});
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
std::vector<Scheduler::Offer> Scheduler::seek_places(const PlaceJob &p, const std::vector<PlaceMachine> &machines,
                                                     const std::vector<int> &index, int zone) const {
  std::vector<Offer> offers;
  for (std::size_t i = 0; i < machines.size(); ++i) {
    const auto &pm = machines[i];
    if ((zone >= 0 && pm.zone != zone) || !allowed(p, pm) || !p.need.fits(pm.size)) continue;
    Offer o;
    o.position = i;
    o.free = pm.free;
    const auto &allocations = workers_[index[i]].allocations;
    for (std::size_t s = 0; s < allocations.size(); ++s) {
      const Allocation &allocation = allocations[s];
      const Job *owner = allocation.job >= 0 ? jobs_.find(allocation.job) : nullptr;
      if (allocation.finished) continue;
      if (allocation.stop) { // going anyway
        o.free.add(allocation.need);
        o.at_once &= owner && owner->spec.checkpoint_s <= 0;
      } else if (owner && (dependencies_.urgency(allocation.job) < p.urgency || owner->delegated_here) &&
                 owner->spec.shape == Shape::Array) {
        const double ran = allocation.running_since >= 0 ? runtime_.now() - allocation.running_since : 0.1;
        o.victims.push_back({ran * allocation.need.cpus, s, allocation.need});
        o.at_once &= owner->spec.checkpoint_s <= 0;
      }
    }
    std::sort(o.victims.begin(), o.victims.end(), [](const auto &a, const auto &b) { return a.lost < b.lost; });
    // A machine that holds the image spares its fetch, during which the places stand idle.
    if (p.image >= 0 && std::find(pm.images.begin(), pm.images.end(), p.image) != pm.images.end())
      o.cost -= kImageWorth * p.need.cpus * p.image_gb / std::max(0.01, pm.speed_gb_s);
    if (o.room_for(p.need)) offers.push_back(std::move(o));
  }
  std::vector<std::pair<double, std::size_t>> heap; // -cost, offer
  for (std::size_t k = 0; k < offers.size(); ++k)
    heap.emplace_back(-offers[k].cost, k);
  std::make_heap(heap.begin(), heap.end());
  std::uint32_t found = 0;
  for (; found < p.ready && !heap.empty(); ++found) {
    std::pop_heap(heap.begin(), heap.end());
    Offer &o = offers[heap.back().second];
    ++o.places;
    o.goes = o.tried;
    o.free.add(p.need, -1);
    o.cost = 0;
    if (o.room_for(p.need)) {
      heap.back().first = -o.cost;
      std::push_heap(heap.begin(), heap.end());
    } else {
      heap.pop_back();
    }
  }
  if (p.gang && found < p.ready) return {};
  std::erase_if(offers, [](const Offer &o) { return o.places == 0; });
  return offers;
}

// A job that fits nowhere may take the place of work of lower priority, where the least work is lost. Tasks
// that cannot save exit as soon as they are told, so their successors are started by the very same answer.
void Scheduler::preempt(std::vector<int> starved) {
  std::erase_if(starved, [this](int j) { return dependencies_.urgency(j) == Urgency::Low || jobs_[j].delegated_here; });
  if (starved.empty()) return;
  std::stable_sort(starved.begin(), starved.end(),
                   [this](int a, int b) { return dependencies_.urgency(a) > dependencies_.urgency(b); });
  std::vector<int> index;
  auto machines = snapshot(index, -1);
  for (int j : starved) {
    const Job &n = jobs_[j];
    const PlaceJob p = place_job(j);
    const Team &team = quotas_.here(p.team);
    std::vector<int> zones{-1};
    if (p.one_zone) {
      zones.clear();
      for (const auto &m : machines)
        if (std::find(zones.begin(), zones.end(), m.zone) == zones.end()) zones.push_back(m.zone);
      for (std::size_t z = 0; z < p.zone_used.size(); ++z)
        if (p.zone_used[z] > 0) zones = {static_cast<int>(z)};
    }
    std::vector<Offer> best;
    double best_cost = 0;
    for (int z : zones) {
      auto offers = seek_places(p, machines, index, z);
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
    const bool at_once = p.zone_cap < 0 && team.cpus_max <= 0 && team.gpus_max <= 0 &&
                         std::all_of(best.begin(), best.end(), [](const Offer &o) { return o.at_once; });
    std::uint32_t next = 0;
    for (const auto &o : best) {
      const int m = index[o.position];
      if (o.goes)
        runtime_.log(
            LogLevel::Info, "preemption_started",
            {{"job", n.spec.id}, {"machine", workers_[m].name}, {"places", o.places}, {"tasks_stopped", o.goes}});
      if (!at_once) { // small work must not move in while the last tasks are being stopped
        grown(nominations_, m).job = n.spec.id;
        grown(nominations_, m).until = runtime_.now() + kHoldForJob;
      }
      machines[o.position].held_for = j;
      machines[o.position].free = {}; // taken, as far as the next job is concerned
      std::vector<std::size_t> allocations;
      for (std::size_t v = 0; v < o.goes; ++v)
        allocations.push_back(o.victims[v].allocation);
      std::sort(allocations.rbegin(), allocations.rend()); // a slot that goes at once moves those after it
      for (std::size_t s : allocations) {
        const int victim = workers_[m].allocations[s].job;
        const JobSpec &owner = jobs_[victim].spec;
        events_.publish(TaskPreempted{victim, n.spec.id});
        workers_.stop(m, s, owner.checkpoint_s > 0 ? owner.save_s + 1 : 0);
      }
      for (std::uint32_t k = 0; at_once && k < o.places; ++k) {
        while (next < n.spec.tasks && n.tasks[next].state != TaskState::Pending)
          ++next;
        if (next < n.spec.tasks) place(j, next, m);
      }
    }
  }
}

} // namespace loftrouter::core
