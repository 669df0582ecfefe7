// The fleet's size: what to rent, what to give back, and what the cloud's list says.
#include "loftrouter/core/core.hpp"

#include <cmath>
#include <limits>

#include <fmt/format.h>

namespace loft::core {

namespace {
constexpr double kScaleEvery = 1.0;
constexpr double kListEvery = 3.0;
constexpr double kTypesEvery = 60.0;
constexpr double kNoCapacityPause = 12.0;
constexpr double kMinimumCharge = 60.0; // a returned machine costs at least this long
constexpr double kHoldBootsKept = 1.5;  // boot times an idle machine is held that some job class needs whole
constexpr double kBootGiveUp = 2.0;     // boot times after which a machine is taken for one that never comes up
constexpr double kDrainBelow = 0.85;    // dear machines are drained until the rest is used that much
constexpr double kSlackShare = 0.7;     // of the time left, what the queue may take
constexpr double kVeryLate = 8.0;       // times the time a job was given
constexpr double kDefaultDue = 3600.0;  // for jobs without a deadline or an objective: dear machines can wait
// How often a rented machine's place may be used for one backlog: as often as the time left allows.
constexpr double kWavesShare = 0.5, kMinWaves = 2.0, kMaxWaves = 6.0;
constexpr int kMostACall = 50;     // machines, by the cloud's protocol
constexpr double kCallsKept = 1.0; // of the cloud's, for the list and for returns
const char *const kTypesKey = "conf/types";
} // namespace

void Core::set_types(std::vector<MachineType> types) {
  if (types.empty()) return;
  for (auto &t : types) {
    int i = type_names_.get(t.name);
    if (static_cast<std::size_t>(i) >= types_.size()) types_.resize(static_cast<std::size_t>(i) + 1);
    types_[static_cast<std::size_t>(i)] = std::move(t);
  }
  types_known_ = true;
}

// The types are kept in the state service, so that a node can judge jobs while the cloud is silent.
void Core::load_types() {
  types_loading_ = true;
  next_types_ = now() + (types_known_ ? kTypesEvery : 1.0);
  auto from_cloud = [this] {
    if (!cloud_calls_.take(now())) {
      types_loading_ = false;
      return;
    }
    cloud(CloudTypes{}, 3.0, [this](const wire::CloudReply &r) {
      types_loading_ = false;
      if (r.status != 200 || r.types.empty()) return;
      bool first = !types_known_;
      set_types(r.types);
      if (first && role_ == Role::Follower)
        store(StoreCommit{{{kTypesKey, 0}}, {{kTypesKey, wire::to_json(types_), 0}}}, 2.0,
              [](const wire::StoreReply &) {});
    });
  };
  if (types_known_) return from_cloud();
  store(StoreGet{kTypesKey}, 1.0, [this, from_cloud](const wire::StoreReply &r) {
    if (r.status == 200 && r.entries.size() == 1)
      if (auto types = wire::types_from_json(r.entries[0].value)) {
        set_types(std::move(*types));
        types_loading_ = false;
        return;
      }
    from_cloud();
  });
}

// A job that may not use spot machines and fits only one type needs those machines whole when it
// comes: small work that can go elsewhere keeps off them.
void Core::note_whole_machine_job(const Job &j) {
  if (j.spec.spot || j.cancelled) return;
  int only = -1;
  for (int t = 0; t < static_cast<int>(types_.size()); ++t) {
    const auto &type = types_[static_cast<std::size_t>(t)];
    if (!j.spec.need.fits(type.size)) continue;
    if (j.spec.types && std::find(j.spec.types->begin(), j.spec.types->end(), type.name) == j.spec.types->end())
      continue;
    if (only >= 0) return;
    only = t;
  }
  if (only < 0) return;
  const auto &size = types_[static_cast<std::size_t>(only)].size;
  if (j.spec.need.cpus * 2 > size.cpus || j.spec.need.memory * 2 > size.memory) {
    Kept &k = kept_types_[only];
    k.seen = now();
    k.need = {std::max(k.need.cpus, j.spec.need.cpus), std::max(k.need.gpus, j.spec.need.gpus),
              std::max(k.need.memory, j.spec.need.memory)};
  }
}

void Core::tick_cloud() {
  if (!types_loading_ && now() >= next_types_ && (!types_known_ || role_ == Role::Leading)) load_types();
  if (!active()) return;
  if (!listing_ && now() >= next_list_ && cloud_calls_.take(now())) {
    listing_ = true;
    next_list_ = now() + kListEvery;
    list_machines("");
  }
  return_machines();
  if (now() >= next_scale_) {
    next_scale_ = now() + kScaleEvery;
    scale();
  }
}

void Core::list_machines(std::string from) {
  cloud(CloudList{from}, 3.0, [this, guard = epoch_guard_](const wire::CloudReply &r) {
    if (guard != epoch_guard_) return;
    if (r.status != 200) {
      listing_ = false;
      return;
    }
    merge_list(r);
    if (r.more && !r.machines.empty()) return list_machines(r.machines.back().name);
    listing_ = false;
    if (listed_once_at_ < 0) listed_once_at_ = now();
  });
}

void Core::merge_list(const wire::CloudReply &r) {
  for (const auto &l : r.machines) {
    if (auto it = gone_.find(l.name); it != gone_.end()) {
      if (now() - it->second < 4 * settings_.cloud_list_lag_s + 5) continue; // the list lags
      gone_.erase(it);                                                       // still there: give it back again
      machine(machine_index(l.name, l.type, l.zone, l.spot)).returning = true;
      continue;
    }
    bool fresh = !machine_index_.contains(l.name);
    int m = machine_index(l.name, l.type, l.zone, l.spot);
    if (fresh) machine(m).rented_at = now() - l.age_s;
    if (l.status == MachineStatus::Failed && !machine(m).listed_failed) {
      machine(m).listed_failed = true;
      lose_machine(m, "it stopped on its own");
      machine(m).returning = true;
    }
  }
}

double Core::cheapest_cpu() const {
  double cheapest = std::numeric_limits<double>::infinity();
  for (const auto &t : types_)
    cheapest = std::min({cheapest, cpu_price(t, true), cpu_price(t, false)});
  return std::max(1e-9, cheapest);
}

std::vector<std::string> Core::names_to_return() {
  std::vector<std::string> names;
  int live = 0, lost = 0;
  for (const auto &m : machines_)
    if (m && m->heard) ++(m->lost ? lost : live);
  const double cheapest = cheapest_cpu();
  for (auto &p : machines_) {
    if (!p) continue;
    Machine &n = *p;
    double age = now() - n.rented_at;
    double boot = n.type >= 0 ? types_[static_cast<std::size_t>(n.type)].boot_s : 60;
    if (!n.heard && now() - n.known_since > 10 && age > kBootGiveUp * boot + 10) n.returning = true;
    // Many machines silent at once points at this node's network rather than at them.
    if (n.heard && n.lost && (lost <= live || now() - n.last_answer > settings_.lease_s + 30)) n.returning = true;
    if (n.taken_at && now() > *n.taken_at + 1 && now() - n.last_answer > settings_.report_s * 1.5 + 1)
      n.returning = true;
    if (n.heard && !n.lost && n.slots.empty() && n.idle_since >= 0 && (age >= kMinimumCharge - 2 || n.order)) {
      auto kept = kept_types_.find(n.type);
      bool keep = !n.spot && kept != kept_types_.end() && now() - kept->second.seen < 300;
      double hold = boot * (keep ? kHoldBootsKept : tunables_.idle_boots);
      if (!keep && n.type >= 0 && n.size.cpus > 0) {
        hold *= std::min(1.0, cheapest / cpu_price(types_[static_cast<std::size_t>(n.type)], n.spot));
      }
      if (n.draining) hold = std::min(hold, 3.0);
      if (n.order) hold = *n.order == wire::MachineOrder::Drain ? 0 : 1e9;
      if (now() - n.idle_since > hold) n.returning = true;
    }
    if (n.returning && names.size() < 100) names.push_back(n.name);
  }
  return names;
}

void Core::return_machines() {
  std::erase_if(gone_, [this](const auto &g) { return now() - g.second > 600; });
  if (returning_) return;
  auto names = names_to_return();
  if (names.empty() || !cloud_calls_.take(now())) return;
  returning_ = true;
  cloud(CloudReturn{names}, 5.0, [this, names, guard = epoch_guard_](const wire::CloudReply &r) {
    if (guard != epoch_guard_) return;
    returning_ = false;
    if (r.status != 200) return; // asked again: a machine is gone only when the cloud has said so
    for (const auto &name : names)
      if (auto it = machine_index_.find(name); it != machine_index_.end()) remove_machine(it->second);
  });
}

// When a job should be complete, in seconds after its submission: of several objectives the first that it can
// still meet.
double Core::due_after(const Job &j) const {
  if (j.spec.deadline_s) return *j.spec.deadline_s;
  const double soonest = now_.wall - j.submit_wall + j.spec.estimate_s;
  double first = std::numeric_limits<double>::infinity(), last = 0;
  for (const auto &o : settings_.objectives) {
    if (o.kind != "finished" || o.job_class != j.spec.job_class) continue;
    if (o.within_s >= soonest) first = std::min(first, o.within_s);
    last = std::max(last, o.within_s);
  }
  if (last <= 0) return kDefaultDue;
  return std::isfinite(first) ? first : last;
}

// Roomy-first placement spreads work over every machine there is, so none would ever become idle. What the
// work at hand does not need is emptied, the dearest machines first; cheap ones are left to their idle time.
void Core::drain_surplus(double waiting_cpus) {
  const double cheapest = cheapest_cpu();
  struct Candidate {
    double price, used_share;
    Machine *machine;
  };
  std::vector<Candidate> candidates;
  double used = waiting_cpus, size = 0;
  for (auto &p : machines_) {
    if (!p || p->returning || p->lost || !p->heard || p->type < 0) continue;
    Machine &n = *p;
    auto kept = kept_types_.find(n.type);
    if (!n.spot && kept != kept_types_.end() && now() - kept->second.seen < 600) continue;
    used += n.used.cpus;
    size += n.size.cpus;
    for (const auto &s : n.slots) // it keeps no dear machine
      if (s.job >= 0 && !s.finished && patient(job(s.job))) {
        used -= s.need.cpus;
        size -= s.need.cpus;
      }
    double price = cpu_price(types_[static_cast<std::size_t>(n.type)], n.spot);
    if (now() - n.rented_at < kMinimumCharge || price < kDear * cheapest) {
      n.draining = false;
      continue;
    }
    candidates.push_back({price, n.used.cpus / std::max(0.01, n.size.cpus), &n});
  }
  // Of the same price those go on draining that have begun, then those with least on them.
  std::sort(candidates.begin(), candidates.end(), [](const Candidate &a, const Candidate &b) {
    return std::tuple(-a.price, !a.machine->draining, a.used_share) <
           std::tuple(-b.price, !b.machine->draining, b.used_share);
  });
  double surplus = size - used / kDrainBelow;
  for (auto &c : candidates) {
    surplus -= c.machine->size.cpus;
    c.machine->draining = surplus >= 0;
  }
}

void Core::scale() {
  if (listed_once_at_ < 0 || now() - listed_once_at_ < 1.0) return;
  struct Place {
    Resources free;
    int type, zone;
    bool spot;
  };
  std::vector<Place> booting;
  for (const auto &m : machines_)
    if (m && !m->heard && !m->returning && m->type >= 0) booting.push_back({m->size, m->type, m->zone, m->spot});
  for (const auto &[key, count] : rents_open_)
    for (int i = 0; i < count; ++i) {
      auto [t, z, spot] = key;
      booting.push_back({types_[static_cast<std::size_t>(t)].size, t, z, spot});
    }
  std::vector<int> order;
  for (int j = 0; j < static_cast<int>(jobs_.size()); ++j)
    if (jobs_[static_cast<std::size_t>(j)]) order.push_back(j);
  std::sort(order.begin(), order.end(), [this](int a, int b) {
    return std::pair(-static_cast<int>(job(a).spec.urgency), job(a).submit_wall) <
           std::pair(-static_cast<int>(job(b).spec.urgency), job(b).submit_wall);
  });
  std::vector<int> index;
  auto up = snapshot(index, -1);
  // Machines already up, those alike together, and the CPU seconds that they are expected to still spend.
  struct Alike {
    PlaceMachine one;
    double count = 0, busy = 0;
  };
  std::map<std::tuple<int, int, bool, bool, int>, Alike> groups;
  std::vector<double> busy(up.size(), 0); // machine by machine, for work that needs them whole
  for (std::size_t i = 0; i < up.size(); ++i) {
    auto &group = groups[{up[i].type, up[i].zone, up[i].spot, up[i].kept, up[i].held_for}];
    group.one = up[i];
    group.one.id = -1;
    ++group.count;
    for (const auto &s : machine(index[i]).slots) {
      if (s.job < 0 || s.finished) continue;
      double ran = s.running_since >= 0 ? now() - s.running_since : 0;
      busy[i] += std::max(5.0, job(s.job).spec.estimate_s - ran) * s.need.cpus;
    }
    group.busy += busy[i];
  }
  double pending = 0;
  std::vector<Wanted> wanted; // in the order of the jobs that want them first
  for (int j : order) {
    Job &n = job(j);
    PlaceJob p = place_job(j);
    if (p.limit == 0) continue;
    // For work that fails everywhere nothing is rented, unless it could never be tried again.
    if (suspect(n)) {
      p.barred.clear();
      if (std::any_of(up.begin(), up.end(), [&](const auto &m) { return allowed(p, m) && p.need.fits(m.size); }))
        continue;
    }
    if (!patient(n)) pending += p.ready * p.need.cpus;
    const bool low = p.urgency == Urgency::Low;
    const double est = std::max(8.0, n.spec.estimate_s);
    const double due = due_after(n), left = due - p.wait_s;
    const double waves = low ? std::clamp(kWavesShare * left / est, kMinWaves, kMaxWaves) : 1.0;
    double waiting = p.ready;
    auto fill = [&](Place &place) {
      for (; waiting >= 1 && p.need.fits(place.free); waiting -= waves)
        place.free.add(p.need, -1);
    };
    for (auto &b : booting) { // what is on its way takes them first
      PlaceMachine pm;
      pm.type = b.type;
      pm.zone = b.zone;
      pm.spot = b.spot;
      if (!allowed(p, pm)) continue;
      fill(b);
    }
    if (waiting < 1) continue;
    struct Choice {
      int type = -1, zone = -1;
      bool spot = false;
      int count = 0;
      double cost = std::numeric_limits<double>::infinity();
    } best;
    auto places_on = [&](const MachineType &type) {
      double per = p.need.cpus > 0 ? std::floor(type.size.cpus / p.need.cpus + 1e-6) : 100;
      if (p.need.memory > 0) per = std::min(per, std::floor(type.size.memory / p.need.memory + 1e-6));
      if (p.need.gpus > 0) per = std::min(per, std::floor(type.size.gpus / p.need.gpus + 1e-6));
      return std::max(1.0, per);
    };
    double cheapest = std::numeric_limits<double>::infinity();
    for (int t = 0; t < static_cast<int>(types_.size()); ++t) {
      const auto &type = types_[static_cast<std::size_t>(t)];
      if (!p.types[static_cast<std::size_t>(t)] || !p.need.fits(type.size)) continue;
      cheapest = std::min(cheapest, (p.spot ? std::min(type.spot_price, type.price) : type.price) / places_on(type));
    }
    for (int t = 0; t < static_cast<int>(types_.size()); ++t) {
      const auto &type = types_[static_cast<std::size_t>(t)];
      if (!p.types[static_cast<std::size_t>(t)] || !p.need.fits(type.size)) continue;
      const double per = places_on(type);
      for (const auto &zone : type.zones) {
        int z = zone_names_.get(zone);
        if (p.zone >= 0 && p.zone != z) continue;
        for (bool spot : {true, false}) {
          if (spot && !p.spot) continue;

          auto key = std::tuple(t, z, spot);
          if (auto it = no_capacity_until_.find(key); it != no_capacity_until_.end() && now() < it->second) continue;
          if (rents_open_[key] > 0) continue;
          // Cheap places are rented for whatever would wait longer than their boot. Dear ones only where they
          // come early enough to save a deadline that the queue endangers, or against waiting without end.
          double price = spot ? type.spot_price : type.price;
          double horizon = type.boot_s + (low ? est : 0.0);
          if (low && price / per > kDear * cheapest)
            horizon =
                std::max(horizon, kSlackShare * (kSlackShare * left > horizon ? left : kVeryLate * due - p.wait_s));
          double carried = 0; // tasks that machines already up get to within the horizon
          const double cpus = std::max(p.need.cpus, 0.01);
          auto carries = [&](const PlaceMachine &m, double count, double spent) {
            if (!allowed(p, m) || !p.need.fits(m.size) || (m.kept && p.small)) return 0.0;
            return std::max(0.0, count * std::floor(m.size.cpus / cpus + 1e-6) * cpus * horizon - spent) / (cpus * est);
          };
          if (low)
            for (const auto &[like, g] : groups)
              carried += carries(g.one, g.count, g.busy);
          else
            for (std::size_t i = 0; i < up.size(); ++i)
              carried += carries(up[i], 1, busy[i]);
          double rest = waiting - (low ? carried : std::floor(carried));
          if (rest < 0.5) continue;
          int count = static_cast<int>(std::ceil(std::ceil(rest / waves) / per));
          double cost = price * count * (1 + 0.003 * type.boot_s);
          if (cost < best.cost) best = {t, z, spot, count, cost};
        }
      }
    }
    // Work counted here is not counted again for later jobs.
    for (auto &[like, g] : groups)
      if (allowed(p, g.one) && p.need.fits(g.one.size) && !(g.one.kept && p.small))
        g.busy += waiting * est * p.need.cpus * g.count / std::max<double>(1, static_cast<double>(up.size()));
    for (std::size_t i = 0; i < up.size() && !low; ++i)
      if (allowed(p, up[i]) && p.need.fits(up[i].size))
        busy[i] += waiting * est * p.need.cpus / static_cast<double>(up.size());
    if (best.type < 0) continue;
    auto key = std::tuple(best.type, best.zone, best.spot);
    auto it = std::find_if(wanted.begin(), wanted.end(), [&](const Wanted &w) { return w.key == key; });
    if (it == wanted.end()) it = wanted.insert(it, {key, 0, 0, j});
    it->count += best.count;
    ++it->jobs;
    // What this job leaves of them is there for the next.
    for (int i = 0; i < best.count; ++i) {
      Place place{types_[static_cast<std::size_t>(best.type)].size, best.type, best.zone, best.spot};
      fill(place);
      booting.push_back(place);
    }
  }
  for (const auto &w : wanted)
    rent(w);
  drain_surplus(pending);
}

// All that is wanted of one kind at once: a backlog of thousands of tasks is not to be met by a few machines a second.
void Core::rent(const Wanted &w) {
  const auto [type, zone, spot] = w.key;
  const Job &why = job(w.job);
  for (int left = w.count; left > 0 && cloud_calls_.level(now()) >= 1 + kCallsKept;) {
    const int count = std::min(left, kMostACall);
    left -= count;
    rents_open_[w.key] += count;
    CloudRent call{fmt::format("r-{}-{}", term_, ++rent_counter_), type_names_.name(type), zone_names_.name(zone), spot,
                   count};
    log(LogLevel::Info, fmt::format("renting {} x {} in {}{} for {} jobs, first of them {} ({}), {} tasks waiting",
                                    count, call.type, call.zone, spot ? " (spot)" : "", w.jobs, why.spec.id,
                                    why.spec.job_class, why.spec.tasks - why.done - why.placed - why.unaccounted));
    send_rent(std::move(call), w.key, 3);
  }
}

void Core::send_rent(CloudRent call, std::tuple<int, int, bool> key, int tries) {
  if (!cloud_calls_.take(now())) {
    rents_open_[key] -= call.count;
    return;
  }
  cloud(call, 3.0, [this, call, key, tries, guard = epoch_guard_](const wire::CloudReply &r) {
    if (guard != epoch_guard_) return;
    if (r.status == 0 && tries > 1) return send_rent(call, key, tries - 1); // same name: rents nothing twice
    rents_open_[key] -= call.count;
    if (r.status == 200) {
      for (const auto &name : r.names)
        if (!gone_.contains(name)) machine_index(name, call.type, call.zone, call.spot);
      if (static_cast<int>(r.names.size()) < call.count) no_capacity_until_[key] = now() + kNoCapacityPause;
    } else if (r.status == 503 && r.no_capacity) {
      no_capacity_until_[key] = now() + kNoCapacityPause;
    }
  });
}

} // namespace loft::core
