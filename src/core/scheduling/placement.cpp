#include "loftrouter/core/scheduling/placement.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

#include "loftrouter/core/runtime/util.hpp"

namespace loftrouter::core {

bool allowed(const PlaceJob &job, const PlaceMachine &machine) {
  if (machine.type < 0 || static_cast<std::size_t>(machine.type) >= job.types.size() ||
      !job.types[static_cast<std::size_t>(machine.type)])
    return false;
  if (job.zone >= 0 && job.zone != machine.zone) return false;
  if (machine.spot && !job.spot) return false;
  if (!machine.spot && machine.price_premium > job.max_price_premium) return false;
  if (machine.held_for.valid() && machine.held_for != job.self) return false;
  return std::find(job.barred.begin(), job.barred.end(), machine.id) == job.barred.end();
}

bool has_room(const PlaceJob &job, const PlaceMachine &machine) {
  return job.need.fits(machine.free) && !(machine.kept && job.small && !job.need.fits(machine.spare));
}

static void occupy(const PlaceJob &job, PlaceMachine &machine, double times) {
  machine.free.add(job.need, -times);
  if (machine.kept && job.small) machine.spare.add(job.need, -times);
}

double fit_score(const PlaceJob &job, const PlaceMachine &machine) {
  auto part = [](double free, double size, double need) {
    return size > 0 ? std::max(0.0, free / size) * (need / size) : 0.0;
  };
  return part(machine.free.cpus, machine.size.cpus, job.need.cpus) +
         part(machine.free.gpus, machine.size.gpus, job.need.gpus) +
         part(machine.free.memory, machine.size.memory, job.need.memory);
}

double place_score(const PlaceJob &job, const PlaceMachine &machine, const PlaceOptions &options) {
  double score = fit_score(job, machine);
  if (job.image >= 0 && std::find(machine.images.begin(), machine.images.end(), job.image) != machine.images.end())
    score += options.image_weight;
  return score - options.price_weight * machine.price_premium;
}

namespace {

struct Plan {
  std::vector<int> machines;
  double score = 0, first = 0; // sum over the tasks; the first and so the highest of them
  bool whole = false;
};

// The machines of a round, and which of them may still have room for anything. Where the fleet is full, which it
// is whenever much waits, a job is then tried on a few machines and not on thousands.
struct Field {
  std::vector<PlaceMachine> &machines;
  Resources least;        // no job of this round needs less of any resource
  std::vector<int> open;  // indices, ascending; never lacks a machine that has room for `least`
  std::vector<int> zones; // of all machines, each once

  Field(std::vector<PlaceMachine> &all, const std::vector<const PlaceJob *> &jobs) : machines(all) {
    constexpr double inf = std::numeric_limits<double>::infinity();
    least = {inf, inf, inf};
    for (const auto *j : jobs)
      if (j->limit > 0)
        least = {std::min(least.cpus, j->need.cpus), std::min(least.gpus, j->need.gpus),
                 std::min(least.memory, j->need.memory)};
    for (int i = 0; i < static_cast<int>(machines.size()); ++i) {
      const auto &m = machines[static_cast<std::size_t>(i)];
      if (least.fits(m.free)) open.push_back(i);
      if (std::find(zones.begin(), zones.end(), m.zone) == zones.end()) zones.push_back(m.zone);
    }
  }
  // Machines only fill up while a round goes on.
  void close_full() {
    std::erase_if(open, [this](int i) { return !least.fits(machines[static_cast<std::size_t>(i)].free); });
  }
};

// Placing a task changes the score of its machine alone, so a heap of scores gives each task the best
// machine without trying them all again; of equal scores the lower index wins.
Plan greedy(const PlaceJob &job, Field &field, std::uint32_t want, int only_zone, const PlaceOptions &options) {
  auto &machines = field.machines;
  Plan plan;
  std::vector<int> zone_used;
  if (job.zone_cap >= 0) zone_used = job.zone_used;
  std::vector<std::pair<double, int>> heap; // score, -index
  for (int i : field.open) {
    const auto &m = machines[static_cast<std::size_t>(i)];
    if (has_room(job, m) && (only_zone < 0 || m.zone == only_zone) && allowed(job, m))
      heap.emplace_back(place_score(job, m, options), -i);
  }
  std::make_heap(heap.begin(), heap.end());
  while (plan.machines.size() < want && !heap.empty()) {
    std::pop_heap(heap.begin(), heap.end());
    auto [score, negative] = heap.back();
    heap.pop_back();
    auto &m = machines[static_cast<std::size_t>(-negative)];
    if (job.zone_cap >= 0 && grown(zone_used, m.zone) >= job.zone_cap) continue; // and stays so
    occupy(job, m, 1);
    if (job.zone_cap >= 0) ++grown(zone_used, m.zone);
    if (plan.machines.empty()) plan.first = score;
    plan.machines.push_back(-negative);
    plan.score += score;
    if (!has_room(job, m)) continue;
    heap.emplace_back(place_score(job, m, options), negative);
    std::push_heap(heap.begin(), heap.end());
  }
  for (int i : plan.machines)
    occupy(job, machines[static_cast<std::size_t>(i)], -1);
  plan.whole = plan.machines.size() == job.ready && job.ready > 0;
  return plan;
}

Plan plan_job(const PlaceJob &job, Field &field, const Resources &room, const PlaceOptions &options) {
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
    for (int zone_index : fixed >= 0 ? std::vector<int>{fixed} : field.zones) {
      Plan plan = greedy(job, field, want, zone_index, options);
      if (plan.machines.size() > best.machines.size() ||
          (plan.machines.size() == best.machines.size() && plan.score > best.score))
        best = std::move(plan);
    }
  } else {
    best = greedy(job, field, want, -1, options);
  }
  if (job.gang && best.machines.size() < job.ready) return {};
  return best;
}

// A job that has waited too long keeps machines for itself: those that could hold its tasks and are
// nearest to it take nothing else until it has started.
void reserve(const PlaceJob &job, std::vector<PlaceMachine> &machines, std::vector<Reservation> *reserved) {
  std::vector<std::pair<double, int>> near;
  for (int i = 0; i < static_cast<int>(machines.size()); ++i) {
    auto &m = machines[static_cast<std::size_t>(i)];
    if (!allowed(job, m) || !job.need.fits(m.size)) continue;
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
    if (reserved) reserved->push_back({job.self, m.id});
  }
}

} // namespace

std::vector<Assignment> place_round(std::vector<PlaceMachine> machines, const std::vector<const PlaceJob *> &jobs,
                                    std::vector<Resources> team_room, const PlaceOptions &options,
                                    std::vector<Reservation> *reserved) {
  std::vector<Assignment> out;
  auto waits_long = [&](const PlaceJob &job) { return !job.started && job.wait_s > options.reserve_after_s; };
  auto rank = [&](std::size_t i) {
    const auto &j = *jobs[i];
    if (j.delegated_here) return -1;
    return (waits_long(j) ? 100 : 0) + static_cast<int>(j.urgency) * 2 + (j.guaranteed ? 1 : 0);
  };
  const auto none = Resources{-1, -1, -1};
  Field field(machines, jobs);
  // What a plan was made of. Machines only fill up while a round goes on, so a plan stays the best one as
  // long as its own machines are untouched, and what it was worth bounds what a new one can be worth.
  struct Draft {
    std::size_t job = 0;
    Plan plan;
    double value = 0; // of the plan
    double bound = 0; // of any later plan
    std::size_t made = 0, checked = 0;
    bool outdated = false; // by more than what happened to its machines
    double key(std::size_t commits) const { return checked == commits ? value : bound; }
  };
  std::vector<std::size_t> changed(machines.size(), 0); // the commit that last touched it
  std::size_t commits = 1;
  auto draw_up = [&](Draft &draft) {
    const auto &job = *jobs[draft.job];
    auto team = static_cast<std::size_t>(job.team);
    draft.plan = plan_job(job, field, team < team_room.size() ? team_room[team] : none, options);
    draft.made = draft.checked = commits;
    draft.outdated = false;
    if (draft.plan.machines.empty()) return;
    double age = options.age_weight * job.wait_s + (job.in_time ? options.in_time_bonus : 0);
    draft.value = draft.plan.score / static_cast<double>(draft.plan.machines.size()) +
                  (draft.plan.whole ? options.full_plan_bonus : 0) + age;
    // A plan that loses tasks loses the bonus, but its mean may rise up to the first task's score.
    draft.bound = std::max(draft.value, draft.plan.first + age);
  };
  auto current = [&](const Draft &draft) {
    if (draft.outdated) return false;
    const auto &job = *jobs[draft.job];
    auto team = static_cast<std::size_t>(job.team);
    if (team < team_room.size() && (team_room[team].cpus >= 0 || team_room[team].gpus >= 0)) return false;
    return std::all_of(draft.plan.machines.begin(), draft.plan.machines.end(), [&](int machine_index) {
      return changed[static_cast<std::size_t>(machine_index)] <= draft.made;
    });
  };
  std::vector<std::size_t> order(jobs.size());
  for (std::size_t i = 0; i < order.size(); ++i)
    order[i] = i;
  std::stable_sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) { return rank(a) > rank(b); });
  for (std::size_t begin = 0, end; begin < order.size(); begin = end) {
    // The most pressing rank is planned first; within it the best plan goes first.
    for (end = begin; end < order.size() && rank(order[end]) == rank(order[begin]);)
      ++end;
    std::vector<Draft> drafts;
    auto give_up = [&](const PlaceJob &job) {
      if (!waits_long(job) || job.limit == 0) return;
      reserve(job, machines, reserved);
      std::fill(changed.begin(), changed.end(), ++commits);
    };
    for (std::size_t k = begin; k < end; ++k) {
      Draft draft;
      draft.job = order[k];
      draw_up(draft);
      if (draft.plan.machines.empty())
        give_up(*jobs[draft.job]);
      else
        drafts.push_back(std::move(draft));
    }
    while (!drafts.empty()) {
      std::size_t best = 0;
      for (std::size_t k = 1; k < drafts.size(); ++k)
        if (drafts[k].key(commits) > drafts[best].key(commits)) best = k;
      Draft &d = drafts[best];
      const auto &job = *jobs[d.job];
      if (d.checked != commits) {
        if (current(d))
          d.checked = commits;
        else
          draw_up(d);
        if (d.plan.machines.empty()) {
          give_up(job);
          drafts.erase(drafts.begin() + static_cast<long>(best));
        }
        continue;
      }
      ++commits;
      for (int machine_index : d.plan.machines) {
        auto &machine = machines[static_cast<std::size_t>(machine_index)];
        occupy(job, machine, 1);
        changed[static_cast<std::size_t>(machine_index)] = commits;
        if (job.image >= 0 &&
            std::find(machine.images.begin(), machine.images.end(), job.image) == machine.images.end())
          machine.images.push_back(job.image);
        out.push_back({static_cast<int>(d.job), machine_index});
        auto team = static_cast<std::size_t>(job.team);
        if (team < team_room.size()) {
          auto &room = team_room[team];
          if (room.cpus >= 0) room.cpus = std::max(0.0, room.cpus - job.need.cpus);
          if (room.gpus >= 0) room.gpus = std::max(0.0, room.gpus - job.need.gpus);
        }
      }
      field.close_full();
      const bool whole = d.plan.whole;
      drafts.erase(drafts.begin() + static_cast<long>(best));
      if (!whole && waits_long(job)) {
        reserve(job, machines, reserved);
        std::fill(changed.begin(), changed.end(), commits);
      }
      if (machines.size() == 1) // what no longer fits need not be planned again
        std::erase_if(drafts, [&](const Draft &draft) { return !has_room(*jobs[draft.job], machines[0]); });
      // The one thing that makes a machine better for another job: it now holds that job's image.
      if (job.image >= 0)
        for (auto &other : drafts)
          if (jobs[other.job]->image == job.image) {
            other.outdated = true;
            other.bound += std::max(0.0, options.image_weight);
          }
    }
  }
  return out;
}

std::vector<Assignment> place_round(std::vector<PlaceMachine> machines, const std::vector<PlaceJob> &jobs,
                                    std::vector<Resources> team_room, const PlaceOptions &options,
                                    std::vector<Reservation> *reserved) {
  std::vector<const PlaceJob *> all;
  for (const auto &j : jobs)
    all.push_back(&j);
  return place_round(std::move(machines), all, std::move(team_room), options, reserved);
}

} // namespace loftrouter::core
