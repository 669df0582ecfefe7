#include "loftrouter/core/autoscaling/autoscaler.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

#include <fmt/format.h>

namespace loftrouter::core {

namespace {
constexpr double kScaleEvery = 1.0, kFirstScale = 1.0; // the latter: after it could place nothing
constexpr double kListEvery = 3.0;
constexpr double kTypesEvery = 60.0;
constexpr double kProbeEvery = 5.0;
constexpr double kNoCapacityPause = 12.0;
constexpr double kMinimumCharge = 60.0;        // a returned machine costs at least this long
constexpr double kHoldBootsKept = 1.5;         // boot times an idle machine is held that some job class needs whole
constexpr double kBootGiveUp = 2.0;            // boot times after which a machine is taken for one that never comes up
constexpr double kDownlinkLossPatience = 15.0; // s beyond its lease, of a machine that hears nothing
constexpr double kDrainBelow = 0.85;           // dear machines are drained until the rest is used that much
constexpr double kSlackShare = 0.7;            // of the time left, what the queue may take
constexpr double kVeryLate = 8.0;              // times the time a job was given
// How often a rented machine's place may be used for one backlog: as often as the time left allows.
constexpr double kWavesShare = 0.5, kMinWaves = 2.0, kMaxWaves = 6.0;
constexpr int kMaxACall = 50;      // machines, by the cloud's protocol
constexpr double kCallsKept = 1.0; // of the cloud's, for the list and for returns
const char *const kTypesKey = "conf/types";
} // namespace

Autoscaler::Autoscaler(Runtime &runtime, const Settings &settings, InstanceTypeCatalog &catalog,
                       const Operators &operators, const Leadership &leadership, const JobTable &jobs,
                       const Dependencies &dependencies, const FailureAttribution &failure_attribution,
                       WorkerRegistry &workers, const FailureDetector &failure_detector, const Scheduler &scheduler,
                       const JobObjectives &objectives)
    : runtime_(runtime), settings_(settings), catalog_(catalog), operators_(operators), leadership_(leadership),
      jobs_(jobs), dependencies_(dependencies), failure_attribution_(failure_attribution), workers_(workers),
      failure_detector_(failure_detector), scheduler_(scheduler), objectives_(objectives),
      calls_(0.7 * settings.cloud_rps, std::max(1.0, 0.7 * settings.cloud_rps)) {}

void Autoscaler::on(const TermStarted &) {
  next_list_ = runtime_.now();
  next_scale_ = runtime_.now() + kFirstScale;
  listed_once_at_ = -1;
}

void Autoscaler::on(const TermEnded &) {
  listing_ = returning_ = false;
  listed_once_at_ = -1;
  rents_open_.clear();
}

bool Autoscaler::refused(const MachineKind &kind) const {
  auto it = no_capacity_until_.find(kind);
  return it != no_capacity_until_.end() && runtime_.now() < it->second;
}

std::vector<MachineKind> Autoscaler::refused_kinds() const {
  std::vector<MachineKind> out;
  for (const auto &[kind, until] : no_capacity_until_)
    if (runtime_.now() < until) out.push_back(kind);
  return out;
}

// The types are kept in the state service, so that a node can judge jobs while the cloud is silent.
void Autoscaler::load_types() {
  types_loading_ = true;
  next_types_ = runtime_.now() + (catalog_.known() ? kTypesEvery : 1.0);
  auto from_cloud = [this] {
    if (!calls_.take(runtime_.now())) {
      types_loading_ = false;
      return;
    }
    runtime_.cloud(CloudTypes{}, 3.0, [this](const wire::CloudReply &reply) {
      types_loading_ = false;
      if (reply.status != 200 || reply.types.empty()) return;
      const bool first = !catalog_.known();
      catalog_.update(reply.types);
      if (first && leadership_.role() == Role::Follower)
        runtime_.store(StoreCommit{{{kTypesKey, 0}}, {{kTypesKey, wire::to_json(catalog_.types()), 0}}}, 2.0,
                       [](const wire::StoreReply &) {});
    });
  };
  if (catalog_.known()) return from_cloud();
  runtime_.store(StoreGet{kTypesKey}, 1.0, [this, from_cloud](const wire::StoreReply &reply) {
    if (reply.status == 200 && reply.entries.size() == 1)
      if (auto types = wire::types_from_json(reply.entries[0].value)) {
        catalog_.update(std::move(*types));
        types_loading_ = false;
        return;
      }
    from_cloud();
  });
}

void Autoscaler::probe() {
  if (types_loading_ || !catalog_.known() || runtime_.now() < next_probe_) return;
  next_probe_ = runtime_.now() + kProbeEvery * (0.8 + 0.4 * runtime_.random());
  load_types();
}

void Autoscaler::tick() {
  if (!types_loading_ && runtime_.now() >= next_types_ && (!catalog_.known() || leadership_.leading())) load_types();
  if (!leadership_.active()) {
    nothing_placed_until_ = runtime_.now();
    next_scale_ = runtime_.now() + kFirstScale; // once what waits has been placed on what is up
    return;
  }
  if (!listing_ && runtime_.now() >= next_list_ && calls_.take(runtime_.now())) {
    listing_ = true;
    next_list_ = runtime_.now() + kListEvery;
    list("");
  }
  return_machines();
  if (runtime_.now() >= next_scale_) {
    next_scale_ = runtime_.now() + kScaleEvery;
    scale();
  }
}

// ---- the cloud's list ----

void Autoscaler::list(std::string from) {
  runtime_.cloud(CloudList{from}, 3.0, [this, epoch = leadership_.epoch()](const wire::CloudReply &reply) {
    if (epoch != leadership_.epoch()) return;
    if (reply.status != 200) {
      listing_ = false;
      return;
    }
    merge(reply);
    if (reply.more && !reply.machines.empty()) return list(reply.machines.back().name);
    listing_ = false;
    if (listed_once_at_ < 0) listed_once_at_ = runtime_.now();
  });
}

void Autoscaler::merge(const wire::CloudReply &reply) {
  for (const auto &l : reply.machines) {
    if (const auto gone = workers_.removed_at(l.name)) {
      if (runtime_.now() - *gone < 4 * settings_.cloud_list_lag_s + 5) continue; // the list lags
      workers_.forget_removal(l.name);                                           // still there: give it back again
      workers_.mark_returning(workers_.find_or_add(l.name, l.type, l.zone, l.spot));
      continue;
    }
    const bool fresh = !workers_.index(l.name).valid();
    const MachineIndex machine_index = workers_.find_or_add(l.name, l.type, l.zone, l.spot);
    if (fresh) workers_.set_rented_at(machine_index, runtime_.now() - l.age_s);
    if (l.status == MachineStatus::Running) workers_.mark_listed_running(machine_index);
    if (l.status == MachineStatus::Failed) workers_.mark_listed_failed(machine_index);
  }
}

// ---- giving back ----

std::vector<std::string> Autoscaler::names_to_return() {
  std::vector<std::string> names;
  int live = 0, lost = 0, downlink_lost = 0;
  workers_.each([&](MachineIndex, const Machine &machine) {
    if (!machine.heartbeat.received()) return;
    ++(machine.lost() ? lost : live);
    downlink_lost += machine.downlink.lost();
  });
  const double now = runtime_.now(), cheapest = catalog_.cheapest_cpu();
  workers_.each([&](MachineIndex machine_index, const Machine &machine) {
    const double age = now - machine.rented_at, boot = machine.type >= 0 ? catalog_.type(machine.type).boot_s : 60;
    const bool awaited = failure_detector_.awaited(machine_index);
    bool go =
        !machine.heartbeat.received() && !awaited && now - machine.known_since > 10 && age > kBootGiveUp * boot + 10;
    // Many machines silent at once points at the network rather than at them.
    go |= machine.heartbeat.received() && machine.lost() && !awaited &&
          (lost <= live || now - machine.heartbeat.last_accepted_at > settings_.lease_s + 30);
    go |= machine.reclaim_at && now > *machine.reclaim_at + 1 &&
          now - machine.heartbeat.last_accepted_at > settings_.heartbeat_interval_s * 1.5 + 1;
    if (machine.available() && !awaited && machine.allocations.empty() && machine.idle_since >= 0 &&
        (age >= kMinimumCharge - 2 || machine.admin_state)) {
      const bool keep = !machine.spot && scheduler_.kept(machine.type, 300);
      double hold = boot * (keep ? kHoldBootsKept : operators_.tunables().idle_boots);
      if (!keep && machine.type >= 0 && machine.size.cpus > 0)
        hold *= std::min(1.0, cheapest / InstanceTypeCatalog::cpu_price(catalog_.type(machine.type), machine.spot));
      if (machine.draining()) hold = std::min(hold, 3.0);
      if (machine.admin_state) hold = *machine.admin_state == wire::MachineAdminState::Drain ? 0 : 1e9;
      // Guards against what has come up, or has become free, in an outage being given back the moment that it is over.
      go |= now - std::max(machine.idle_since, nothing_placed_until_) > hold;
    }
    // One that hears nothing is replaced once its tasks are over by its lease; where many hear nothing it is the
    // network, and they are waited for as silent ones are.
    if (machine.downlink.lost())
      go |= now - machine.downlink.lost_since() >
            settings_.lease_s +
                (downlink_lost < 3 || 3 * downlink_lost <= live ? kDownlinkLossPatience : kMinimumCharge + boot);
    if (go) workers_.mark_returning(machine_index);
    if (machine.returning() && names.size() < 100) names.push_back(machine.name);
  });
  return names;
}

void Autoscaler::return_machines() {
  workers_.forget_removals(600);
  if (returning_) return;
  auto names = names_to_return();
  if (names.empty() || !calls_.take(runtime_.now())) return;
  returning_ = true;
  runtime_.cloud(CloudScaleIn{names}, 5.0, [this, names, epoch = leadership_.epoch()](const wire::CloudReply &reply) {
    if (epoch != leadership_.epoch()) return;
    returning_ = false;
    if (reply.status != 200) return; // asked again: a machine is gone only when the cloud has said so
    for (const auto &name : names)
      if (const MachineIndex machine_index = workers_.index(name); machine_index.valid())
        workers_.remove(machine_index);
  });
}

void Autoscaler::drain_surplus(double waiting_cpus) {
  const double cheapest = catalog_.cheapest_cpu();
  struct Candidate {
    double price, used_share;
    MachineIndex machine_index;
    const Machine *machine;
  };
  std::vector<Candidate> candidates;
  double used = waiting_cpus, size = 0;
  workers_.each([&](MachineIndex machine_index, const Machine &machine) {
    if (machine.returning() || machine.lost() || !machine.heartbeat.received() || machine.type < 0) return;
    if (!machine.spot && scheduler_.kept(machine.type, 600)) return;
    used += machine.used.cpus;
    size += machine.size.cpus;
    for (const auto &s : machine.allocations) // it keeps no dear machine
      if (s.job.valid() && !s.completed() && scheduler_.deferrable(s.job)) {
        used -= s.need.cpus;
        size -= s.need.cpus;
      }
    const double price = InstanceTypeCatalog::cpu_price(catalog_.type(machine.type), machine.spot);
    if (runtime_.now() - machine.rented_at < kMinimumCharge || price < kExpensiveRatio * cheapest)
      workers_.set_draining(machine_index, false);
    else
      candidates.push_back({price, machine.used.cpus / std::max(0.01, machine.size.cpus), machine_index, &machine});
  });
  // Of the same price those go on draining that have begun, then those with least on them.
  std::sort(candidates.begin(), candidates.end(), [](const Candidate &a, const Candidate &candidate) {
    return std::tuple(-a.price, !a.machine->draining(), a.used_share) <
           std::tuple(-candidate.price, !candidate.machine->draining(), candidate.used_share);
  });
  double surplus = size - used / kDrainBelow;
  for (const auto &c : candidates) {
    surplus -= c.machine->size.cpus;
    workers_.set_draining(c.machine_index, surplus >= 0);
  }
}

// Seconds until each job can probably start; 0: it can. By its owners' estimates, so never beyond what is being run.
std::vector<double> Autoscaler::ready_soon() const {
  auto out = dependencies_.critical_path([this](JobIndex job_index) {
    const double age = dependencies_.ready(job_index) ? std::max(0.0, scheduler_.age(job_index)) : 0;
    return std::max(1.0, jobs_[job_index].spec.estimate_s - age);
  });
  jobs_.each([&](JobIndex job_index, const Job &) { // one whose names are all being looked up still waits
    auto &in = out.starts_in_s[job_index.position()];
    if (!dependencies_.ready(job_index)) in = std::max(in, 0.5);
  });
  return std::move(out.starts_in_s);
}

void Autoscaler::scale() {
  if (listed_once_at_ < 0 || runtime_.now() - listed_once_at_ < 1.0 || failure_detector_.nobody_heard()) return;
  const auto &types = catalog_.types();
  struct Place {
    Resources free;
    int type, zone;
    bool spot;
  };
  std::vector<Place> booting;
  workers_.each([&](MachineIndex, const Machine &machine) {
    if (!machine.heartbeat.received() && !machine.listing.running && !machine.returning() && machine.type >= 0)
      booting.push_back({machine.size, machine.type, machine.zone, machine.spot});
  });
  for (const auto &[key, count] : rents_open_)
    for (int i = 0; i < count; ++i) {
      auto [t, z, spot] = key;
      booting.push_back({catalog_.type(t).size, t, z, spot});
    }
  std::vector<JobIndex> order;
  jobs_.each([&](JobIndex job_index, const Job &) { order.push_back(job_index); });
  std::sort(order.begin(), order.end(), [this](JobIndex a, JobIndex b) {
    return std::pair(-static_cast<int>(dependencies_.urgency(a)), jobs_[a].submit_wall) <
           std::pair(-static_cast<int>(dependencies_.urgency(b)), jobs_[b].submit_wall);
  });
  std::vector<MachineIndex> index;
  auto up = scheduler_.snapshot(index, {}, [this](MachineIndex machine_index) {
    const Machine &machine =
        workers_[machine_index]; // one that is heard and not proven yet is so within a report or two
    return failure_detector_.expected(machine_index) ||
           (machine.available() && !machine.downlink.verified() && !machine.downlink.lost());
  });
  // Machines already up, those alike together, and the CPU seconds that they are expected to still spend.
  struct Alike {
    PlaceMachine one;
    double count = 0, busy = 0;
  };
  std::map<std::tuple<int, int, bool, bool, JobIndex>, Alike> groups;
  std::vector<double> busy(up.size(), 0); // machine by machine, for work that needs them whole
  for (std::size_t i = 0; i < up.size(); ++i) {
    auto &group = groups[{up[i].type, up[i].zone, up[i].spot, up[i].kept, up[i].held_for}];
    group.one = up[i];
    group.one.id = {};
    ++group.count;
    for (const auto &s : workers_[index[i]].allocations) {
      if (!s.job.valid() || s.completed()) continue;
      const double ran = s.running_since >= 0 ? runtime_.now() - s.running_since : 0;
      busy[i] += std::max(5.0, jobs_[s.job].spec.estimate_s - ran) * s.need.cpus;
    }
    group.busy += busy[i];
  }
  // What will be able to start within a boot: machines for it are on their way by then.
  const auto ready_in = ready_soon();
  double max_boot = 0;
  for (const auto &t : types)
    max_boot = std::max(max_boot, t.boot_s);
  double pending = 0;
  std::vector<Wanted> wanted; // in the order of the jobs that want them first
  for (JobIndex job_index : order) {
    const Job &n = jobs_[job_index];
    PlaceJob job = scheduler_.place_job(job_index);
    const double soon = ready_in[job_index.position()];
    if (job.limit == 0 && soon > 0 && soon <= max_boot && !n.cancelled && !n.ending && n.team >= 0)
      job.limit = job.ready;
    if (job.limit == 0) continue;
    // For work that fails everywhere nothing is rented, unless it could never be tried again.
    if (failure_attribution_.suspected(job_index)) {
      job.barred.clear();
      if (std::any_of(up.begin(), up.end(), [&](const auto &m) { return allowed(job, m) && job.need.fits(m.size); }))
        continue;
    }
    if (!scheduler_.deferrable(job_index) || scheduler_.passed_over(job_index)) pending += job.ready * job.need.cpus;
    const bool low = job.urgency == Urgency::Low;
    const double est = std::max(8.0, n.spec.estimate_s);
    const double due = objectives_.achievable_target(n.spec, dependencies_.deadline(job_index),
                                                     scheduler_.age(job_index)),
                 left = due - job.wait_s;
    // A gang needs all its places at the same time, perhaps in one zone: none serves two of its tasks, one after the
    // other. Counting so from the start rents more than others leave time for (measured: worse); a gang that has waited
    // long is what the easier count does not serve.
    const bool strict = job.gang && job.wait_s > operators_.tunables().reserve_after_s;
    const bool in_zone = strict && job.one_zone;
    const double waves = low && !strict ? std::clamp(kWavesShare * left / est, kMinWaves, kMaxWaves) : 1.0;
    double waiting = job.ready;
    auto fill = [&](Place &place) {
      for (; waiting >= 1 && job.need.fits(place.free); waiting -= waves)
        place.free.add(job.need, -1);
    };
    auto suits = [&](const Place &b) {
      PlaceMachine machine;
      machine.type = b.type;
      machine.zone = b.zone;
      machine.spot = b.spot;
      return allowed(job, machine);
    };
    // What is on its way takes them first. Tasks that must be in one zone count on that of the place that is chosen.
    for (auto &b : booting)
      if (!in_zone && suits(b)) fill(b);
    if (waiting < 1) continue;
    struct Choice {
      int type = -1, zone = -1;
      bool spot = false;
      int count = 0;
      double cost = std::numeric_limits<double>::infinity();
    } best;
    auto places_on = [&](const MachineType &type) {
      double per = job.need.cpus > 0 ? std::floor(type.size.cpus / job.need.cpus + 1e-6) : 100;
      if (job.need.memory > 0) per = std::min(per, std::floor(type.size.memory / job.need.memory + 1e-6));
      if (job.need.gpus > 0) per = std::min(per, std::floor(type.size.gpus / job.need.gpus + 1e-6));
      return std::max(1.0, per);
    };
    double cheapest = std::numeric_limits<double>::infinity();
    for (int t = 0; t < static_cast<int>(types.size()); ++t) {
      const auto &type = catalog_.type(t);
      if (!job.types[static_cast<std::size_t>(t)] || !job.need.fits(type.size)) continue;
      cheapest = std::min(cheapest, (job.spot ? std::min(type.spot_price, type.price) : type.price) / places_on(type));
    }
    for (int t = 0; t < static_cast<int>(types.size()); ++t) {
      const auto &type = catalog_.type(t);
      if (!job.types[static_cast<std::size_t>(t)] || !job.need.fits(type.size) || soon > type.boot_s) continue;
      const double per = places_on(type);
      for (const auto &zone : type.zones) {
        const int zone_index = catalog_.find_or_add_zone(zone);
        if (job.zone >= 0 && job.zone != zone_index) continue;
        for (bool spot : {true, false}) {
          if (spot && !job.spot) continue;
          const MachineKind kind(t, zone_index, spot);
          if (refused(kind) || rents_open_[kind] > 0) continue;
          // Cheap places are rented for whatever would wait longer than their boot. Dear ones only where they
          // come early enough to save a deadline that the queue endangers, or against waiting without end.
          double price = spot ? type.spot_price : type.price;
          double horizon = type.boot_s + (low ? est : 0.0);
          if (low && price / per > kExpensiveRatio * cheapest)
            horizon =
                std::max(horizon, kSlackShare * (kSlackShare * left > horizon ? left : kVeryLate * due - job.wait_s));
          double booked = 0; // places on their way in this zone
          for (std::size_t k = 0; in_zone && k < booting.size(); ++k)
            if (Place b = booting[k]; b.zone == zone_index && suits(b))
              for (; job.need.fits(b.free); ++booked)
                b.free.add(job.need, -1);
          double carried = 0; // tasks that machines already up get to within the horizon
          const double cpus = std::max(job.need.cpus, 0.01);
          auto carries = [&](const PlaceMachine &machine, double count, double spent) {
            if (!allowed(job, machine) || !job.need.fits(machine.size) || (machine.kept && job.small)) return 0.0;
            if (in_zone && machine.zone != zone_index) return 0.0;
            const double places = count * std::floor(machine.size.cpus / cpus + 1e-6);
            const double tasks = std::max(0.0, places * cpus * horizon - spent) / (cpus * est);
            return strict ? std::min(tasks, places) : tasks;
          };
          if (low)
            for (const auto &[like, g] : groups)
              carried += carries(g.one, g.count, g.busy);
          else
            for (std::size_t i = 0; i < up.size(); ++i)
              carried += carries(up[i], 1, busy[i]);
          double rest = waiting - booked - (low ? carried : std::floor(carried));
          if (rest < 0.5) continue;
          int count = static_cast<int>(std::ceil(std::ceil(rest / waves) / per));
          double cost = price * count * (1 + 0.003 * type.boot_s);
          if (cost < best.cost) best = {t, zone_index, spot, count, cost};
        }
      }
    }
    // Work counted here is not counted again for later jobs: it lies on the machines that may take it, by their CPUs.
    double on = 0;
    for (const auto &[like, g] : groups)
      if (allowed(job, g.one) && job.need.fits(g.one.size) && !(g.one.kept && job.small))
        on += g.count * g.one.size.cpus;
    const double each_cpu = on > 0 ? waiting * est * job.need.cpus / on : 0;
    for (auto &[like, g] : groups)
      if (allowed(job, g.one) && job.need.fits(g.one.size) && !(g.one.kept && job.small))
        g.busy += each_cpu * g.count * g.one.size.cpus;
    for (std::size_t i = 0; i < up.size() && !low; ++i)
      if (allowed(job, up[i]) && job.need.fits(up[i].size)) busy[i] += each_cpu * up[i].size.cpus;
    if (best.type < 0) continue;
    const MachineKind kind(best.type, best.zone, best.spot);
    auto it = std::find_if(wanted.begin(), wanted.end(), [&](const Wanted &wanted) { return wanted.kind == kind; });
    if (it == wanted.end()) it = wanted.insert(it, {kind, 0, 0, job_index});
    it->count += best.count;
    ++it->jobs;
    // What this job leaves of them is there for the next.
    if (in_zone)
      for (auto &b : booting)
        if (b.zone == best.zone && suits(b)) fill(b);
    for (int i = 0; i < best.count; ++i) {
      Place place{catalog_.type(best.type).size, best.type, best.zone, best.spot};
      fill(place);
      booting.push_back(place);
    }
  }
  for (const auto &w : wanted)
    rent(w);
  drain_surplus(pending);
}

// ---- renting ----

// All that is wanted of one kind at once: a backlog of thousands of tasks is not to be met by a few machines a second.
void Autoscaler::rent(const Wanted &wanted) {
  const auto [type, zone, spot] = wanted.kind;
  const Job &why = jobs_[wanted.job];
  for (int left = wanted.count; left > 0 && calls_.level(runtime_.now()) >= 1 + kCallsKept;) {
    const int count = std::min(left, kMaxACall);
    left -= count;
    rents_open_[wanted.kind] += count;
    CloudScaleOut call{fmt::format("r-{}-{}", leadership_.term(), ++rents_), catalog_.type_name(type),
                       catalog_.zone_name(zone), spot, count};
    runtime_.log(LogLevel::Info, "scale_out_requested",
                 {{"request", call.request},
                  {"machines", count},
                  {"type", call.type},
                  {"zone", call.zone},
                  {"spot", spot},
                  {"jobs", wanted.jobs},
                  {"first_job", why.spec.id},
                  {"class", why.spec.job_class},
                  {"its_waiting_tasks", why.pending()}});
    send_rent(std::move(call), wanted.kind, 3);
  }
}

void Autoscaler::send_rent(CloudScaleOut call, MachineKind kind, int tries) {
  if (!calls_.take(runtime_.now())) {
    rents_open_[kind] -= call.count;
    return;
  }
  runtime_.cloud(call, 3.0, [this, call, kind, tries, epoch = leadership_.epoch()](const wire::CloudReply &reply) {
    if (epoch != leadership_.epoch()) return;
    if (reply.status == 0 && tries > 1) return send_rent(call, kind, tries - 1); // same name: rents nothing twice
    rents_open_[kind] -= call.count;
    const auto pause = runtime_.now() + kNoCapacityPause;
    if (reply.status == 200) {
      for (const auto &name : reply.names)
        if (!workers_.removed_at(name))
          workers_.mark_verified(workers_.find_or_add(name, call.type, call.zone, call.spot));
      if (static_cast<int>(reply.names.size()) < call.count) no_capacity_until_[kind] = pause;
    } else if (reply.status == 503 && reply.no_capacity) {
      no_capacity_until_[kind] = pause;
    }
  });
}

} // namespace loftrouter::core
