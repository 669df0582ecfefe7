#include "loftrouter/core/placement.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace loft::core {

bool allowed(const PlaceJob &job, const PlaceMachine &m, int index) {
  if (m.type < 0 || static_cast<std::size_t>(m.type) >= job.types.size() ||
      !job.types[static_cast<std::size_t>(m.type)])
    return false;
  if (job.zone >= 0 && job.zone != m.zone) return false;
  if (m.spot && !job.spot) return false;
  if (m.held_for >= 0 && m.held_for != job.self) return false;
  return std::find(job.barred.begin(), job.barred.end(), index) == job.barred.end();
}

bool has_room(const PlaceJob &job, const PlaceMachine &m) {
  return job.need.fits(m.free) && !(m.kept && job.small && !job.need.fits(m.spare));
}

static void occupy(const PlaceJob &job, PlaceMachine &m, double times) {
  m.free.add(job.need, -times);
  if (m.kept && job.small) m.spare.add(job.need, -times);
}

double fit_score(const PlaceJob &job, const PlaceMachine &m) {
  auto part = [](double free, double size, double need) {
    return size > 0 ? std::max(0.0, free / size) * (need / size) : 0.0;
  };
  return part(m.free.cpus, m.size.cpus, job.need.cpus) + part(m.free.gpus, m.size.gpus, job.need.gpus) +
         part(m.free.memory, m.size.memory, job.need.memory);
}

double place_score(const PlaceJob &job, const PlaceMachine &m, const PlaceOptions &o) {
  double score = fit_score(job, m);
  if (job.image >= 0 && std::find(m.images.begin(), m.images.end(), job.image) != m.images.end())
    score += o.image_weight;
  if (m.size.cpus > 0) score -= o.price_weight * m.hourly / m.size.cpus;
  return score;
}

namespace {

struct Plan {
  std::vector<int> machines;
  double score = 0;
  bool whole = false;
};

Plan greedy(const PlaceJob &job, std::vector<PlaceMachine> &machines, std::uint32_t want, int only_zone,
            const PlaceOptions &o) {
  Plan plan;
  std::vector<int> zone_used = job.zone_used;
  auto used = [&](int z) -> int & {
    if (static_cast<std::size_t>(z) >= zone_used.size()) zone_used.resize(static_cast<std::size_t>(z) + 1);
    return zone_used[static_cast<std::size_t>(z)];
  };
  std::vector<int> candidates;
  for (int i = 0; i < static_cast<int>(machines.size()); ++i)
    if (allowed(job, machines[static_cast<std::size_t>(i)], i) &&
        (only_zone < 0 || machines[static_cast<std::size_t>(i)].zone == only_zone))
      candidates.push_back(i);
  for (std::uint32_t n = 0; n < want; ++n) {
    int best = -1;
    double best_score = -std::numeric_limits<double>::infinity();
    for (int i : candidates) {
      const auto &m = machines[static_cast<std::size_t>(i)];
      if (!has_room(job, m)) continue;
      if (job.zone_cap >= 0 && used(m.zone) >= job.zone_cap) continue;
      double s = place_score(job, m, o);
      if (s > best_score) {
        best_score = s;
        best = i;
      }
    }
    if (best < 0) break;
    auto &m = machines[static_cast<std::size_t>(best)];
    occupy(job, m, 1);
    ++used(m.zone);
    plan.machines.push_back(best);
    plan.score += best_score;
  }
  for (int i : plan.machines)
    occupy(job, machines[static_cast<std::size_t>(i)], -1);
  plan.whole = plan.machines.size() == job.ready && job.ready > 0;
  return plan;
}

Plan plan_job(const PlaceJob &job, std::vector<PlaceMachine> &machines, const Resources &room, const PlaceOptions &o) {
  std::uint32_t want = std::min(job.ready, job.limit);
  auto cap = [&](double left, double need) {
    if (left < 0 || need <= 0) return;
    want = std::min(want, static_cast<std::uint32_t>(std::min(1e6, std::floor(left / need + 1e-9))));
  };
  cap(room.cpus, job.need.cpus);
  cap(room.gpus, job.need.gpus);
  if (want == 0 || (job.gang && want < job.ready)) return {};
  Plan best;
  if (job.one_zone) {
    int fixed = -1;
    for (std::size_t z = 0; z < job.zone_used.size(); ++z)
      if (job.zone_used[z] > 0) fixed = static_cast<int>(z);
    std::vector<int> zones;
    if (fixed >= 0)
      zones.push_back(fixed);
    else
      for (const auto &m : machines)
        if (std::find(zones.begin(), zones.end(), m.zone) == zones.end()) zones.push_back(m.zone);
    for (int z : zones) {
      Plan p = greedy(job, machines, want, z, o);
      if (p.machines.size() > best.machines.size() ||
          (p.machines.size() == best.machines.size() && p.score > best.score))
        best = std::move(p);
    }
  } else {
    best = greedy(job, machines, want, -1, o);
  }
  if (job.gang && best.machines.size() < job.ready) return {};
  return best;
}

// A job that has waited too long keeps machines for itself: those that could hold its tasks and are
// nearest to it take nothing else until it has started.
void reserve(const PlaceJob &job, std::vector<PlaceMachine> &machines) {
  std::vector<std::pair<double, int>> near;
  for (int i = 0; i < static_cast<int>(machines.size()); ++i) {
    auto &m = machines[static_cast<std::size_t>(i)];
    if (!allowed(job, m, i) || !job.need.fits(m.size)) continue;
    double share = m.size.cpus > 0 ? m.free.cpus / m.size.cpus : 0;
    near.emplace_back(-share, i);
  }
  std::sort(near.begin(), near.end());
  std::uint32_t need = job.ready;
  for (auto [share, i] : near) {
    if (need == 0) break;
    auto &m = machines[static_cast<std::size_t>(i)];
    while (need && job.need.fits(m.size)) {
      m.size.add(job.need, -1);
      --need;
    }
    m.free = {};
  }
}

} // namespace

std::vector<Assignment> place_round(std::vector<PlaceMachine> machines, const std::vector<PlaceJob> &jobs,
                                    std::vector<Resources> team_room, const PlaceOptions &o) {
  std::vector<Assignment> out;
  std::vector<char> left(jobs.size(), 1);
  auto rank = [&](const PlaceJob &j) {
    return (j.wait_s > o.reserve_after_s ? 100 : 0) + static_cast<int>(j.urgency) * 2 + (j.guaranteed ? 1 : 0);
  };
  auto none = Resources{-1, -1, -1};
  for (;;) {
    // The most pressing rank still waiting is planned first; within it the best plan goes first.
    int top = -1;
    for (std::size_t i = 0; i < jobs.size(); ++i)
      if (left[i]) top = std::max(top, rank(jobs[i]));
    if (top < 0) break;
    int best = -1;
    double best_value = 0;
    Plan best_plan;
    for (std::size_t i = 0; i < jobs.size(); ++i) {
      if (!left[i] || rank(jobs[i]) != top) continue;
      const auto &job = jobs[i];
      auto team = static_cast<std::size_t>(job.team);
      Plan p = plan_job(job, machines, team < team_room.size() ? team_room[team] : none, o);
      if (p.machines.empty()) {
        if (job.wait_s > o.reserve_after_s && job.limit > 0) reserve(job, machines);
        left[i] = 0;
        continue;
      }
      double value =
          p.score / static_cast<double>(p.machines.size()) + (p.whole ? o.whole_bonus : 0) + o.age_weight * job.wait_s;
      if (best < 0 || value > best_value) {
        best = static_cast<int>(i);
        best_value = value;
        best_plan = std::move(p);
      }
    }
    if (best < 0) continue;
    const auto &job = jobs[static_cast<std::size_t>(best)];
    left[static_cast<std::size_t>(best)] = 0;
    for (int m : best_plan.machines) {
      auto &machine = machines[static_cast<std::size_t>(m)];
      occupy(job, machine, 1);
      if (job.image >= 0 && std::find(machine.images.begin(), machine.images.end(), job.image) == machine.images.end())
        machine.images.push_back(job.image);
      out.push_back({best, m});
      auto team = static_cast<std::size_t>(job.team);
      if (team < team_room.size()) {
        auto &room = team_room[team];
        if (room.cpus >= 0) room.cpus = std::max(0.0, room.cpus - job.need.cpus);
        if (room.gpus >= 0) room.gpus = std::max(0.0, room.gpus - job.need.gpus);
      }
    }
    if (!best_plan.whole && job.wait_s > o.reserve_after_s) reserve(job, machines);
  }
  return out;
}

} // namespace loft::core
