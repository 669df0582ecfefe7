// The placement rounds compared with a slow, plain model, and their invariants on random cases.
#include <gtest/gtest.h>

#include <algorithm>
#include <random>

#include "loftrouter/core/runtime/ranges.hpp"
#include "loftrouter/core/scheduling/placement.hpp"

using namespace loftrouter;
using namespace loftrouter::core;

namespace {

struct Case {
  std::vector<PlacementMachine> machines;
  std::vector<PlacementJob> jobs;
  std::vector<Resources> room;
};

Case random_case(std::mt19937 &rng, int max_machines = 8, int max_jobs = 6) {
  auto pick = [&](int n) { return static_cast<int>(rng() % static_cast<unsigned>(n)); };
  Case c;
  for (int i = 0, n = 1 + pick(max_machines); i < n; ++i) {
    PlacementMachine m;
    m.id = MachineIndex(static_cast<std::size_t>(i));
    m.type = pick(2);
    m.size = m.type ? Resources{32, 4, 128} : Resources{4, 0, 16};
    m.free = {m.size.cpus - pick(4), m.size.gpus, m.size.memory - pick(8)};
    m.zone = pick(2);
    m.spot = pick(2);
    m.reserved_for_large = !m.spot && m.type == 1 && pick(2);
    m.small_work_room = {2.0 + pick(6), 1, 40};
    m.price_premium = 0.2 * pick(5);
    if (pick(2)) m.images.push_back(pick(3));
    c.machines.push_back(m);
  }
  for (int i = 0, n = 1 + pick(max_jobs); i < n; ++i) {
    PlacementJob j;
    j.need = {1.0 + pick(6), static_cast<double>(pick(4) == 0), 1.0 + pick(12)};
    j.types = {static_cast<char>(pick(4) > 0), static_cast<char>(pick(4) > 0)};
    j.zone = pick(4) ? -1 : pick(2);
    j.spot = pick(2);
    j.gang = pick(3) == 0;
    j.one_zone = pick(4) == 0;
    j.pending = static_cast<std::uint32_t>(1 + pick(std::max(6, max_machines)));
    j.limit = j.pending;
    if (pick(4) == 0) j.max_per_zone = static_cast<int>((j.pending + 1) / 2);
    j.priority = static_cast<Priority>(pick(4));
    j.wait_s = pick(200);
    j.image = pick(3);
    j.in_time = pick(2);
    j.started = pick(2);
    j.small = pick(2);
    j.team = pick(2);
    if (pick(5) == 0)
      j.avoided_machines.emplace_back(static_cast<std::size_t>(pick(static_cast<int>(c.machines.size()))));
    c.jobs.push_back(j);
  }
  c.room = {{-1, -1, -1}, {static_cast<double>(pick(20)), -1, -1}};
  return c;
}

// The design's own words, done the slow way: every task of every waiting job is tried on every machine,
// for jobs without zone rules, waits or ranks.
std::vector<std::pair<int, int>> plain_round(std::vector<PlacementMachine> ms, std::vector<PlacementJob> jobs,
                                             const PlacementOptions &o) {
  std::vector<std::pair<int, int>> out;
  std::vector<char> open(jobs.size(), 1);
  for (;;) {
    int best = -1;
    double best_value = 0;
    std::vector<int> best_machines;
    for (std::size_t j = 0; j < jobs.size(); ++j) {
      if (!open[j]) continue;
      auto trial = ms;
      std::vector<int> plan;
      double sum = 0;
      for (std::uint32_t t = 0; t < jobs[j].pending; ++t) {
        int at = -1;
        double top = -1e18;
        for (int m = 0; m < static_cast<int>(trial.size()); ++m) {
          auto &x = trial[static_cast<std::size_t>(m)];
          if (!allowed(jobs[j], x) || !jobs[j].need.fits(x.free)) continue;
          if (x.reserved_for_large && jobs[j].small && !jobs[j].need.fits(x.small_work_room)) continue;
          double f = placement_score(jobs[j], x, o);
          if (f > top) {
            top = f;
            at = m;
          }
        }
        if (at < 0) break;
        trial[static_cast<std::size_t>(at)].free.add(jobs[j].need, -1);
        if (jobs[j].small) trial[static_cast<std::size_t>(at)].small_work_room.add(jobs[j].need, -1);
        plan.push_back(at);
        sum += top;
      }
      if (plan.empty() || (jobs[j].gang && plan.size() < jobs[j].pending)) continue;
      double value = sum / static_cast<double>(plan.size()) + (plan.size() == jobs[j].pending ? o.full_plan_bonus : 0) +
                     o.age_weight * jobs[j].wait_s + (jobs[j].in_time ? o.in_time_bonus : 0);
      if (best < 0 || value > best_value) {
        best = static_cast<int>(j);
        best_value = value;
        best_machines = plan;
      }
    }
    if (best < 0) return out;
    open[static_cast<std::size_t>(best)] = 0;
    for (int m : best_machines) {
      auto &x = ms[static_cast<std::size_t>(m)];
      x.free.add(jobs[static_cast<std::size_t>(best)].need, -1);
      if (jobs[static_cast<std::size_t>(best)].small)
        x.small_work_room.add(jobs[static_cast<std::size_t>(best)].need, -1);
      int image = jobs[static_cast<std::size_t>(best)].image;
      if (std::find(x.images.begin(), x.images.end(), image) == x.images.end()) x.images.push_back(image);
      out.emplace_back(best, m);
    }
  }
}

} // namespace

TEST(Placement, FitScoreIsFreeShareTimesDemand) {
  PlacementMachine m;
  m.size = {10, 0, 100};
  m.free = {5, 0, 50};
  PlacementJob j;
  j.need = {2, 0, 10};
  EXPECT_NEAR(fit_score(j, m), 0.5 * 0.2 + 0.5 * 0.1, 1e-12);
}

void compare_with_plain(std::mt19937 &rng, int cases, int max_machines, int max_jobs) {
  for (int i = 0; i < cases; ++i) {
    auto c = random_case(rng, max_machines, max_jobs);
    for (auto &j : c.jobs) {
      j.one_zone = false;
      j.max_per_zone = -1;
      j.priority = Priority::Normal;
      j.wait_s = std::min(j.wait_s, 100.0);
    }
    std::vector<std::pair<int, int>> got;
    for (auto a : place_round(c.machines, c.jobs, {}, {}))
      got.emplace_back(a.job, a.machine);
    ASSERT_EQ(got, plain_round(c.machines, c.jobs, {})) << "case " << i;
  }
}

TEST(Placement, AgreesWithThePlainModel) {
  std::mt19937 rng(11);
  compare_with_plain(rng, 2000, 8, 6);
}

// Plans that are kept from one pass to the next must be those that planning all over again would give.
TEST(Placement, AgreesWithThePlainModelAtSize) {
  std::mt19937 rng(12);
  compare_with_plain(rng, 60, 60, 25);
}

TEST(Placement, NeverOverfillsNorBreaksALimit) {
  std::mt19937 rng(5);
  for (int i = 0; i < 3000; ++i) {
    auto c = random_case(rng);
    auto plan = place_round(c.machines, c.jobs, c.room, {});
    std::vector<int> count(c.jobs.size(), 0);
    std::vector<std::vector<int>> zones(c.jobs.size(), std::vector<int>(2, 0));
    double team1 = 0;
    for (auto a : plan) {
      auto &j = c.jobs[static_cast<std::size_t>(a.job)];
      auto &m = c.machines[static_cast<std::size_t>(a.machine)];
      ASSERT_TRUE(allowed(j, m));
      ASSERT_TRUE(j.need.fits(m.free));
      m.free.add(j.need, -1);
      ++count[static_cast<std::size_t>(a.job)];
      ++zones[static_cast<std::size_t>(a.job)][static_cast<std::size_t>(m.zone)];
      if (j.team == 1) team1 += j.need.cpus;
    }
    EXPECT_LE(team1, c.room[1].cpus + 1e-6);
    for (std::size_t k = 0; k < c.jobs.size(); ++k) {
      EXPECT_TRUE(!c.jobs[k].gang || count[k] == 0 || count[k] == static_cast<int>(c.jobs[k].pending));
      EXPECT_TRUE(!c.jobs[k].one_zone || zones[k][0] == 0 || zones[k][1] == 0);
      EXPECT_TRUE(c.jobs[k].max_per_zone < 0 || std::max(zones[k][0], zones[k][1]) <= c.jobs[k].max_per_zone);
    }
  }
}

// Roomy-first scatters small tasks; a job that has waited two minutes must get its machine all the same.
TEST(Placement, LongWaitReservesAMachine) {
  PlacementMachine m;
  m.size = {32, 0, 128};
  m.free = {20, 0, 100};
  PlacementJob big, small;
  big.need = {30, 0, 64};
  big.types = small.types = {1};
  big.pending = big.limit = 1;
  big.gang = true;
  small.need = {1, 0, 1};
  small.pending = small.limit = 5;
  EXPECT_EQ(place_round({m}, {big, small}, {}, {}).size(), 5u);
  big.wait_s = 121;
  EXPECT_TRUE(place_round({m}, {big, small}, {}, {}).empty());
}

// A machine being emptied for an urgent job was refilled with small work round after round, and its
// place taken again each time (1560 times on one day).
TEST(Placement, MachineBeingEmptiedTakesNothingElse) {
  PlacementMachine m;
  m.size = {32, 0, 128};
  m.free = {20, 0, 100};
  m.nominated_for = JobIndex(7);
  PlacementJob big, small;
  big.need = {30, 0, 64};
  small.need = {1, 0, 1};
  big.types = small.types = {1};
  big.index = JobIndex(7);
  small.index = JobIndex(3);
  big.pending = big.limit = 1;
  small.pending = small.limit = 5;
  EXPECT_TRUE(place_round({m}, {big, small}, {}, {}).empty());
  m.free = m.size;
  auto plan = place_round({m}, {big, small}, {}, {});
  ASSERT_EQ(plan.size(), 1u);
  EXPECT_EQ(plan[0].job, 0);
  m.nominated_for = {};
  EXPECT_EQ(place_round({m}, {big, small}, {}, {}).size(), 3u);
}

TEST(Ranges, WidenCoversMoreAndNarrowCoversLess) {
  std::mt19937 rng(2);
  for (int i = 0; i < 500; ++i) {
    std::vector<char> in(300);
    for (auto &x : in)
      x = rng() % 3 == 0;
    auto r = make_ranges(300, [&](std::uint32_t k) { return in[k]; });
    auto covers = [](const Ranges &rs, std::uint32_t k) {
      return std::any_of(rs.begin(), rs.end(), [&](auto x) { return k >= x.first && k < x.second; });
    };
    std::size_t max = 1 + rng() % 40;
    auto wide = widen(r, max), thin = narrow(r, max);
    EXPECT_LE(wide.size(), max);
    EXPECT_LE(thin.size(), max);
    for (std::uint32_t k = 0; k < 300; ++k) {
      EXPECT_EQ(covers(r, k), static_cast<bool>(in[k]));
      EXPECT_TRUE(in[k] ? covers(wide, k) : !covers(thin, k));
    }
  }
}
