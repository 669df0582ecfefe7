// The placement rounds: what the leader sees, what goes where, and what makes room.
#include "loftrouter/core/core.hpp"

#include <cmath>

#include <fmt/format.h>

namespace loft::core {

namespace {
constexpr double kRound = 0.25;
constexpr double kImageWorth = 2.0;  // a fetch spared, against the CPU seconds of work lost
constexpr double kHoldForJob = 15.0; // a machine emptied for a job stays free for it
constexpr double kPatience = 1800.0; // of small work without a wish: afterwards it may use dear machines too
} // namespace

// Small work that nobody wants at a certain time.
bool Core::patient(const Job &n) const {
  return is_small(n) && !wanted_after(n) && now_.wall - n.submit_wall < kPatience;
}

// The machines that may take tasks, or the one asked for if it may.
std::vector<PlaceMachine> Core::snapshot(std::vector<int> &index, int only) const {
  std::vector<PlaceMachine> out;
  const double cheapest = cheapest_cpu();
  const std::size_t first = only >= 0 ? static_cast<std::size_t>(only) : 0;
  const std::size_t end = only >= 0 ? first + 1 : machines_.size();
  for (std::size_t i = first; i < end; ++i) {
    const auto &p = machines_[i];
    if (!p || !p->heard || p->lost || p->returning || p->taken_at || p->draining || p->order || p->type < 0) continue;
    // Silent for a while: probably dead, hanging or cut off.
    if (now() - p->last_answer > 2.5 * settings_.report_s + 1) continue;
    PlaceMachine pm;
    pm.id = static_cast<int>(i);
    pm.size = p->size;
    pm.free = p->size;
    pm.free.add(p->used, -1);
    pm.type = p->type;
    pm.zone = p->zone;
    pm.spot = p->spot;
    const auto &type = types_[static_cast<std::size_t>(p->type)];
    pm.dear = 1 - cheapest / std::max(cheapest, cpu_price(type, p->spot));
    if (now() < p->held_until)
      if (auto it = job_index_.find(p->held_for); it != job_index_.end()) pm.held_for = it->second;
    pm.speed_gb_s = type.fetch_gb_per_s;
    for (const auto &[image, gb] : p->images)
      pm.images.push_back(image);
    auto kept = kept_types_.find(p->type);
    pm.kept = !p->spot && kept != kept_types_.end() && now() - kept->second.seen < 600;
    if (pm.kept) {
      pm.spare = p->size;
      pm.spare.add(kept->second.need, -1);
      for (const auto &s : p->slots)
        if (s.job >= 0 && !s.finished && is_small(*jobs_[static_cast<std::size_t>(s.job)])) pm.spare.add(s.need, -1);
    }
    out.push_back(std::move(pm));
    index.push_back(static_cast<int>(i));
  }
  if (only >= 0) {
    if (!out.empty()) out[0].kept &= !machines_[first]->open_to_small;
    return out;
  }
  // Of the kept machines that hold no large task one a type, the one with least small work, is reserved
  // for the next; the others are open to small work rather than paid for nothing.
  std::unordered_map<int, int> reserved;
  auto small_only = [&](int k) {
    const auto &slots = machines_[static_cast<std::size_t>(index[static_cast<std::size_t>(k)])]->slots;
    return std::all_of(slots.begin(), slots.end(), [&](const Slot &s) {
      return s.finished || (s.job >= 0 && is_small(*jobs_[static_cast<std::size_t>(s.job)]));
    });
  };
  for (int k = 0; k < static_cast<int>(out.size()); ++k) {
    auto &m = out[static_cast<std::size_t>(k)];
    if (!m.kept || m.held_for >= 0 || !small_only(k)) continue;
    auto [it, first] = reserved.try_emplace(m.type, k);
    if (first) continue;
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

PlaceJob Core::place_job(int j) const {
  const Job &n = *jobs_[static_cast<std::size_t>(j)];
  PlaceJob p;
  p.self = j;
  p.need = n.spec.need;
  p.types.assign(types_.size(), 1);
  if (n.spec.types)
    for (std::size_t t = 0; t < types_.size(); ++t)
      p.types[t] = std::find(n.spec.types->begin(), n.spec.types->end(), types_[t].name) != n.spec.types->end();
  if (n.spec.zone) {
    int z = zone_names_.find(*n.spec.zone);
    p.zone = z >= 0 ? z : 1'000'000;
  }
  p.spot = n.spec.spot;
  p.gang = n.spec.shape == Shape::Gang;
  p.one_zone = n.spec.one_zone;
  p.zone_used = n.zone_used;
  if (n.spec.spread) p.zone_cap = static_cast<int>((n.spec.tasks + 1) / 2);
  for (const auto &f : n.failures)
    if (now() - f.at < kBarredFor) p.barred.push_back(f.machine);
  p.ready = n.spec.tasks - n.done - n.placed - n.unaccounted;
  bool held = n.cancelled || n.ending;
  if (suspect(n)) { // one task, or one gang, at a time and seldom
    held |= now() < n.retry_at || n.placed > 0 || n.unaccounted > 0;
    if (n.spec.shape != Shape::Gang) p.ready = std::min(p.ready, 1U);
  }
  // Where unaccounted tasks are is not known, so neither are their zones.
  if ((n.spec.one_zone || n.spec.spread) && n.unaccounted) held = true;
  if (p.gang) {
    if (n.unaccounted) held = true;
    if (n.placed && n.gang_closed) held = true; // the old attempt has to be gone first
  }
  p.limit = held ? 0 : p.ready;
  p.urgency = n.spec.urgency;
  p.wait_s = std::max(0.0, now_.wall - n.submit_wall);
  p.started = n.placed + n.done > 0 || suspect(n); // a suspect reserves nothing
  // The last of its tasks starts once the others have had their turn on the fleet.
  // Work that nobody wants at a certain time waits for cheap places, of which it may have what others leave.
  if (patient(n)) p.most_dear = 1 - 1 / kDear;
  p.in_time = wanted_after(n) &&
              p.wait_s + n.spec.estimate_s * (1 + p.ready * p.need.cpus / std::max(1.0, up_cpus_)) <= due_after(n);
  p.image = n.image;
  p.image_gb = n.spec.image_gb;
  p.small = is_small(n);
  p.team = std::max(0, n.team);
  return p;
}

void Core::place(int j, std::uint32_t i, int m) {
  Job &n = job(j);
  Slot slot;
  slot.job = j;
  slot.job_id = n.spec.id;
  slot.index = i;
  if (n.spec.shape == Shape::Gang) {
    if (n.placed == 0) {
      n.gang_attempt = std::max(n.gang_attempt + 1, (term_ << 20) + ++attempt_counter_);
      n.gang_closed = false;
    }
    slot.attempt = n.gang_attempt;
  } else {
    slot.attempt = (term_ << 20) + ++attempt_counter_;
  }
  slot.need = n.spec.need;
  slot.placed_at = now();
  slot.durable = n.tasks[i].recorded;
  n.tasks[i].started = true;
  set_task(j, i, TaskState::Placed, m);
  machine(m).used.add(slot.need);
  machine(m).idle_since = -1;
  touch_image(machine(m), n.image, n.spec.image_gb);
  if (!slot.durable) mark_dirty(j, true);
  if (n.placed == 1)
    log(LogLevel::Debug, fmt::format("job {} ({}): first task to {} ({}) after {:.1f} s", n.spec.id, n.spec.job_class,
                                     machine(m).name, type_names_.name(machine(m).type), now_.wall - n.submit_wall));
  machine(m).slots.push_back(std::move(slot));
}

// What each team may still use. Everything that may be on a machine counts against the limit, unaccounted
// tasks included.
std::vector<Resources> Core::team_room() const {
  std::vector<Resources> room;
  bool limits = false;
  for (const auto &t : settings_.teams) {
    room.push_back({t.cpus_max > 0 ? t.cpus_max : -1, t.gpus_max > 0 ? t.gpus_max : -1, -1});
    limits |= t.cpus_max > 0 || t.gpus_max > 0;
  }
  if (!limits) return room;
  for (const auto &n : jobs_) {
    if (!n || n->team < 0) continue;
    auto &left = room[static_cast<std::size_t>(n->team)];
    const double on = n->placed + n->unaccounted;
    if (left.cpus >= 0) left.cpus = std::max(0.0, left.cpus - on * n->spec.need.cpus);
    if (left.gpus >= 0) left.gpus = std::max(0.0, left.gpus - on * n->spec.need.gpus);
  }
  return room;
}

PlaceOptions Core::place_options() const {
  return {tunables_.whole_bonus,  tunables_.age_weight,      tunables_.image_weight,
          tunables_.price_weight, tunables_.reserve_after_s, tunables_.in_time_bonus};
}

// A round for one machine alone, which has just reported room, among the jobs that the last full round saw.
void Core::round_on(int m) {
  if (!active() || line_.empty()) return;
  std::vector<int> index;
  auto machines = snapshot(index, m);
  if (machines.empty()) return;
  std::vector<const PlaceJob *> jobs;
  std::vector<int> order;
  for (std::size_t k = 0; k < line_.size(); ++k) {
    PlaceJob &p = line_[k];
    if (!has_room(p, machines[0])) continue;
    const auto &n = jobs_[static_cast<std::size_t>(p.self)];
    if (!n || n->serial != line_serials_[k] || n->cancelled || n->ending) continue;
    if (p.gang || p.one_zone || p.zone_cap >= 0 || n->failed_on > 0) {
      bool guaranteed = p.guaranteed;
      p = place_job(p.self);
      p.guaranteed = guaranteed;
    } else {
      p.ready = p.limit = n->spec.tasks - n->done - n->placed - n->unaccounted;
    }
    if (p.limit == 0) continue;
    jobs.push_back(&p);
    order.push_back(p.self);
  }
  if (jobs.empty()) return;
  carry_out(place_round(std::move(machines), jobs, team_room(), place_options()), order, index);
}

// How many tasks of each job were placed.
std::vector<std::uint32_t> Core::carry_out(const std::vector<Assignment> &plan, const std::vector<int> &order,
                                           const std::vector<int> &index) {
  std::vector<std::uint32_t> cursor(order.size(), 0), placed(order.size(), 0);
  for (const auto &a : plan) {
    auto p = static_cast<std::size_t>(a.job);
    const Job &n = job(order[p]);
    auto &i = cursor[p];
    while (i < n.spec.tasks && n.tasks[i].state != TaskState::Pending)
      ++i;
    if (i >= n.spec.tasks) continue;
    place(order[p], i, index[static_cast<std::size_t>(a.machine)]);
    ++placed[p];
  }
  return placed;
}

void Core::round() {
  next_round_ = now() + kRound;
  round_wanted_ = false;
  line_.clear();
  line_serials_.clear();
  if (!active()) return;
  std::vector<int> index;
  auto machines = snapshot(index, -1);
  up_cpus_ = 0;
  for (const auto &m : machines) {
    up_cpus_ += m.size.cpus;
    machine(m.id).open_to_small = !m.kept;
  }
  std::vector<Resources> wanted(settings_.teams.size());
  std::vector<int> order;
  for (int j = 0; j < static_cast<int>(jobs_.size()); ++j)
    if (const auto &n = jobs_[static_cast<std::size_t>(j)];
        n && n->team >= 0 && !n->cancelled && n->done + n->placed + n->unaccounted < n->spec.tasks)
      order.push_back(j);
  // Oldest first, so that a team's guarantee covers its earliest unfinished jobs.
  std::sort(order.begin(), order.end(), [this](int a, int b) { return job(a).submit_wall < job(b).submit_wall; });
  for (int j : order) {
    PlaceJob p = place_job(j);
    const Team &t = settings_.teams[static_cast<std::size_t>(job(j).team)];
    auto &w = wanted[static_cast<std::size_t>(job(j).team)];
    w.add(job(j).spec.need, job(j).spec.tasks - job(j).done);
    p.guaranteed = (t.cpus > 0 || t.gpus > 0) && w.cpus <= t.cpus + 1e-6 && w.gpus <= t.gpus + 1e-6;
    line_.push_back(std::move(p));
    line_serials_.push_back(job(j).serial);
  }
  if (line_.empty()) return;
  auto placed = carry_out(place_round(std::move(machines), line_, team_room(), place_options()), order, index);
  round_wanted_ = false;
  std::vector<int> starved;
  for (std::size_t k = 0; k < order.size(); ++k)
    if (line_[k].limit > 0 && placed[k] == 0 && !suspect(job(order[k]))) starved.push_back(order[k]);
  if (!starved.empty()) preempt(starved);
}

// What a job that fits nowhere could take on one machine: the tasks of lower priority that would go, the
// least work lost first.
struct Core::Offer {
  struct Victim {
    double lost; // CPU seconds
    std::size_t slot;
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
std::vector<Core::Offer> Core::seek_places(const PlaceJob &p, const std::vector<PlaceMachine> &machines,
                                           const std::vector<int> &index, int zone) const {
  std::vector<Offer> offers;
  for (std::size_t i = 0; i < machines.size(); ++i) {
    const auto &pm = machines[i];
    if ((zone >= 0 && pm.zone != zone) || !allowed(p, pm) || !p.need.fits(pm.size)) continue;
    Offer o;
    o.position = i;
    o.free = pm.free;
    const auto &slots = machines_[static_cast<std::size_t>(index[i])]->slots;
    for (std::size_t s = 0; s < slots.size(); ++s) {
      const Slot &slot = slots[s];
      const Job *owner = slot.job >= 0 ? jobs_[static_cast<std::size_t>(slot.job)].get() : nullptr;
      if (slot.finished) continue;
      if (slot.stop) { // going anyway
        o.free.add(slot.need);
        o.at_once &= owner && owner->spec.checkpoint_s <= 0;
      } else if (owner && owner->spec.urgency < p.urgency && owner->spec.shape == Shape::Array) {
        double ran = slot.running_since >= 0 ? now() - slot.running_since : 0.1;
        o.victims.push_back({ran * slot.need.cpus, s, slot.need});
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
void Core::preempt(std::vector<int> starved) {
  std::erase_if(starved, [this](int j) { return job(j).spec.urgency == Urgency::Low; });
  if (starved.empty()) return;
  std::stable_sort(starved.begin(), starved.end(),
                   [this](int a, int b) { return job(a).spec.urgency > job(b).spec.urgency; });
  std::vector<int> index;
  auto machines = snapshot(index, -1);
  for (int j : starved) {
    Job &n = job(j);
    PlaceJob p = place_job(j);
    const Team &team = settings_.teams[static_cast<std::size_t>(p.team)];
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
    bool at_once = p.zone_cap < 0 && team.cpus_max <= 0 && team.gpus_max <= 0 &&
                   std::all_of(best.begin(), best.end(), [](const Offer &o) { return o.at_once; });
    std::uint32_t next = 0;
    for (const auto &o : best) {
      int m = index[o.position];
      if (o.goes)
        log(LogLevel::Info, fmt::format("job {} takes {} places on machine {} from {} tasks of lower priority",
                                        n.spec.id, o.places, machine(m).name, o.goes));
      if (!at_once) { // small work must not move in while the last tasks are being stopped
        machine(m).held_for = n.spec.id;
        machine(m).held_until = now() + kHoldForJob;
      }
      machines[o.position].held_for = j;
      machines[o.position].free = {}; // taken, as far as the next job is concerned
      std::vector<std::size_t> slots;
      for (std::size_t v = 0; v < o.goes; ++v)
        slots.push_back(o.victims[v].slot);
      std::sort(slots.rbegin(), slots.rend());
      for (std::size_t s : slots) {
        Slot &slot = machine(m).slots[s];
        Job &owner = job(slot.job);
        happened(owner, fmt::format("a task was stopped to make room for job {} of higher priority", n.spec.id));
        if (!slot.sent && !slot.seen)
          drop_slot(m, s, true);
        else
          stop_slot(m, slot, owner.spec.checkpoint_s > 0 ? owner.spec.save_s + 1 : 0);
      }
      for (std::uint32_t k = 0; at_once && k < o.places; ++k) {
        while (next < n.spec.tasks && n.tasks[next].state != TaskState::Pending)
          ++next;
        if (next < n.spec.tasks) place(j, next, m);
      }
    }
  }
}

} // namespace loft::core
