// Compares placement rounds with a brute-force reference and checks their invariants on random cases.
#include <gtest/gtest.h>

#include <algorithm>
#include <random>

#include "loftrouter/core/runtime/ranges.hpp"
#include "loftrouter/core/scheduling/placement.hpp"

using namespace loftrouter;
using namespace loftrouter::core;

namespace {

struct PlacementCase {
  std::vector<PlacementMachine> machines;
  std::vector<PlacementJob> jobs;
  std::vector<Resources> team_headroom;
};

PlacementCase random_case(std::mt19937 &rng, int max_machines = 8, int max_jobs = 6) {
  auto pick = [&](int n) { return static_cast<int>(rng() % static_cast<unsigned>(n)); };
  PlacementCase test_case;
  for (int i = 0, n = 1 + pick(max_machines); i < n; ++i) {
    PlacementMachine machine;
    machine.index = MachineIndex(static_cast<std::size_t>(i));
    machine.type = pick(2);
    machine.size = machine.type ? Resources{32, 4, 128} : Resources{4, 0, 16};
    machine.free = {machine.size.cpus - pick(4), machine.size.gpus, machine.size.memory - pick(8)};
    machine.zone = pick(2);
    machine.spot = pick(2);
    machine.reserved_for_large = !machine.spot && machine.type == 1 && pick(2);
    machine.small_task_headroom = {2.0 + pick(6), 1, 40};
    machine.price_premium = 0.2 * pick(5);
    if (pick(2)) machine.images.push_back(pick(3));
    test_case.machines.push_back(machine);
  }
  for (int i = 0, n = 1 + pick(max_jobs); i < n; ++i) {
    PlacementJob job;
    job.need = {1.0 + pick(6), static_cast<double>(pick(4) == 0), 1.0 + pick(12)};
    job.types = {static_cast<char>(pick(4) > 0), static_cast<char>(pick(4) > 0)};
    job.zone = pick(4) ? -1 : pick(2);
    job.spot = pick(2);
    job.gang = pick(3) == 0;
    job.one_zone = pick(4) == 0;
    job.pending = static_cast<std::uint32_t>(1 + pick(std::max(6, max_machines)));
    job.limit = job.pending;
    if (pick(4) == 0) job.max_per_zone = static_cast<int>((job.pending + 1) / 2);
    job.priority = static_cast<Priority>(pick(4));
    job.wait_s = pick(200);
    job.image = pick(3);
    job.in_time = pick(2);
    job.cannot_reserve = pick(2);
    job.small = pick(2);
    job.team = pick(2);
    if (pick(5) == 0)
      job.avoided_machines.emplace_back(static_cast<std::size_t>(pick(static_cast<int>(test_case.machines.size()))));
    test_case.jobs.push_back(job);
  }
  test_case.team_headroom = {{-1, -1, -1}, {static_cast<double>(pick(20)), -1, -1}};
  return test_case;
}

// Brute-force reference: tries every task of every pending job on every machine. Supports no zone constraints, ranks or
// reservations.
std::vector<std::pair<int, int>> reference_round(std::vector<PlacementMachine> machines, std::vector<PlacementJob> jobs,
                                                 const PlacementOptions &options) {
  std::vector<std::pair<int, int>> assignments;
  std::vector<char> unplaced(jobs.size(), 1);
  for (;;) {
    int best_job = -1;
    double best_value = 0;
    std::vector<int> best_machines;
    for (std::size_t job_position = 0; job_position < jobs.size(); ++job_position) {
      if (!unplaced[job_position]) continue;
      const PlacementJob &job = jobs[job_position];
      auto trial_machines = machines;
      std::vector<int> plan;
      double score_sum = 0;
      for (std::uint32_t task = 0; task < job.pending; ++task) {
        int best_machine = -1;
        double best_score = -1e18;
        for (int machine_position = 0; machine_position < static_cast<int>(trial_machines.size()); ++machine_position) {
          auto &machine = trial_machines[static_cast<std::size_t>(machine_position)];
          if (!allowed(job, machine) || !job.need.fits(machine.free)) continue;
          if (machine.reserved_for_large && job.small && !job.need.fits(machine.small_task_headroom)) continue;
          double score = placement_score(job, machine, options);
          if (score > best_score) {
            best_score = score;
            best_machine = machine_position;
          }
        }
        if (best_machine < 0) break;
        trial_machines[static_cast<std::size_t>(best_machine)].free.add(job.need, -1);
        if (job.small) trial_machines[static_cast<std::size_t>(best_machine)].small_task_headroom.add(job.need, -1);
        plan.push_back(best_machine);
        score_sum += best_score;
      }
      if (plan.empty() || (job.gang && plan.size() < job.pending)) continue;
      double value = score_sum / static_cast<double>(plan.size()) +
                     (plan.size() == job.pending ? options.full_plan_bonus : 0) + options.age_weight * job.wait_s +
                     (job.in_time ? options.in_time_bonus : 0);
      if (best_job < 0 || value > best_value) {
        best_job = static_cast<int>(job_position);
        best_value = value;
        best_machines = plan;
      }
    }
    if (best_job < 0) return assignments;
    unplaced[static_cast<std::size_t>(best_job)] = 0;
    const PlacementJob &placed_job = jobs[static_cast<std::size_t>(best_job)];
    for (int machine_position : best_machines) {
      auto &machine = machines[static_cast<std::size_t>(machine_position)];
      machine.free.add(placed_job.need, -1);
      if (placed_job.small) machine.small_task_headroom.add(placed_job.need, -1);
      int image = placed_job.image;
      if (std::find(machine.images.begin(), machine.images.end(), image) == machine.images.end())
        machine.images.push_back(image);
      assignments.emplace_back(best_job, machine_position);
    }
  }
}

} // namespace

// Guards against counts that never end or that differ from taking the resources of one task after another.
TEST(Resources, CountInMatchesRepeatedSubtraction) {
  std::mt19937_64 rng(3);
  const auto draw = [&rng](double high) {
    return rng() % 4 ? std::round(std::uniform_real_distribution<double>(0, high)(rng) * 100) / 100 : 0.0;
  };
  for (int round = 0; round < 20'000; ++round) {
    Resources need{draw(4), draw(2), draw(8)};
    const Resources free{draw(64) - 1, draw(8), draw(256)};
    if (need.cpus + need.gpus + need.memory == 0) need.memory = 0.5;
    std::uint32_t expected = 0;
    for (Resources left = free; need.fits(left); left.add(need, -1))
      ++expected;
    ASSERT_EQ(need.count_in(free), expected) << need.cpus << " " << need.gpus << " " << need.memory;
  }
  const Resources machine{4, 0, 16};
  EXPECT_EQ(Resources{}.count_in(machine), Resources::kMaxCount);
  EXPECT_EQ((Resources{1e-300, 0, 0}.count_in(machine)), Resources::kMaxCount);
  EXPECT_EQ((Resources{0, 0, 1e-9}.count_in(machine)), Resources::kMaxCount);
  EXPECT_EQ((Resources{0, 1, 0}.count_in(machine)), 0U);
  EXPECT_EQ(Resources{}.count_in({-1, 0, 0}), 0U);
}

TEST(Placement, FitScoreIsFreeShareTimesRequestedShare) {
  PlacementMachine machine;
  machine.size = {10, 0, 100};
  machine.free = {5, 0, 50};
  PlacementJob job;
  job.need = {2, 0, 10};
  EXPECT_NEAR(fit_score(job, machine), 0.5 * 0.2 + 0.5 * 0.1, 1e-12);
}

void compare_with_reference(std::mt19937 &rng, int cases, int max_machines, int max_jobs) {
  for (int i = 0; i < cases; ++i) {
    auto test_case = random_case(rng, max_machines, max_jobs);
    for (auto &job : test_case.jobs) {
      job.one_zone = false;
      job.max_per_zone = -1;
      job.priority = Priority::Normal;
      job.wait_s = std::min(job.wait_s, 100.0);
    }
    std::vector<std::pair<int, int>> assignments;
    for (auto assignment : place_round(test_case.machines, test_case.jobs, {}, {}))
      assignments.emplace_back(assignment.job, assignment.machine);
    ASSERT_EQ(assignments, reference_round(test_case.machines, test_case.jobs, {})) << "case " << i;
  }
}

TEST(Placement, MatchesReference) {
  std::mt19937 rng(11);
  compare_with_reference(rng, 2000, 8, 6);
}

// Guards against cached plans that differ from recomputed ones.
TEST(Placement, MatchesReferenceOnLargeCases) {
  std::mt19937 rng(12);
  compare_with_reference(rng, 60, 60, 25);
}

TEST(Placement, NeverOvercommitsMachinesOrExceedsLimits) {
  std::mt19937 rng(5);
  for (int i = 0; i < 3000; ++i) {
    auto test_case = random_case(rng);
    auto plan = place_round(test_case.machines, test_case.jobs, test_case.team_headroom, {});
    std::vector<int> placed_tasks(test_case.jobs.size(), 0);
    std::vector<std::vector<int>> tasks_by_zone(test_case.jobs.size(), std::vector<int>(2, 0));
    double team1_cpus = 0;
    for (auto assignment : plan) {
      auto &job = test_case.jobs[static_cast<std::size_t>(assignment.job)];
      auto &machine = test_case.machines[static_cast<std::size_t>(assignment.machine)];
      ASSERT_TRUE(allowed(job, machine));
      ASSERT_TRUE(job.need.fits(machine.free));
      machine.free.add(job.need, -1);
      ++placed_tasks[static_cast<std::size_t>(assignment.job)];
      ++tasks_by_zone[static_cast<std::size_t>(assignment.job)][static_cast<std::size_t>(machine.zone)];
      if (job.team == 1) team1_cpus += job.need.cpus;
    }
    EXPECT_LE(team1_cpus, test_case.team_headroom[1].cpus + 1e-6);
    for (std::size_t position = 0; position < test_case.jobs.size(); ++position) {
      EXPECT_TRUE(!test_case.jobs[position].gang || placed_tasks[position] == 0 ||
                  placed_tasks[position] == static_cast<int>(test_case.jobs[position].pending));
      EXPECT_TRUE(!test_case.jobs[position].one_zone || tasks_by_zone[position][0] == 0 ||
                  tasks_by_zone[position][1] == 0);
      EXPECT_TRUE(test_case.jobs[position].max_per_zone < 0 ||
                  std::max(tasks_by_zone[position][0], tasks_by_zone[position][1]) <=
                      test_case.jobs[position].max_per_zone);
    }
  }
}

// Guards against starvation of large jobs by small tasks spread over all machines.
TEST(Placement, LongWaitingJobReservesMachine) {
  PlacementMachine machine;
  machine.size = {32, 0, 128};
  machine.free = {20, 0, 100};
  PlacementJob large_job, small_job;
  large_job.need = {30, 0, 64};
  large_job.types = small_job.types = {1};
  large_job.pending = large_job.limit = 1;
  large_job.gang = true;
  small_job.need = {1, 0, 1};
  small_job.pending = small_job.limit = 5;
  EXPECT_EQ(place_round({machine}, {large_job, small_job}, {}, {}).size(), 5u);
  large_job.wait_s = 121;
  EXPECT_TRUE(place_round({machine}, {large_job, small_job}, {}, {}).empty());
}

// Guards against a machine that preemption is clearing being refilled with small tasks, which would then be preempted
// too.
TEST(Placement, NominatedMachineAcceptsOnlyNominatedJob) {
  PlacementMachine machine;
  machine.size = {32, 0, 128};
  machine.free = {20, 0, 100};
  machine.nominated_for = JobIndex(7);
  PlacementJob large_job, small_job;
  large_job.need = {30, 0, 64};
  small_job.need = {1, 0, 1};
  large_job.types = small_job.types = {1};
  large_job.index = JobIndex(7);
  small_job.index = JobIndex(3);
  large_job.pending = large_job.limit = 1;
  small_job.pending = small_job.limit = 5;
  EXPECT_TRUE(place_round({machine}, {large_job, small_job}, {}, {}).empty());
  machine.free = machine.size;
  auto plan = place_round({machine}, {large_job, small_job}, {}, {});
  ASSERT_EQ(plan.size(), 1u);
  EXPECT_EQ(plan[0].job, 0);
  machine.nominated_for = {};
  EXPECT_EQ(place_round({machine}, {large_job, small_job}, {}, {}).size(), 3u);
}

TEST(Ranges, WidenCoversSupersetAndNarrowCoversSubset) {
  std::mt19937 rng(2);
  for (int i = 0; i < 500; ++i) {
    std::vector<char> included(300);
    for (auto &entry : included)
      entry = rng() % 3 == 0;
    auto ranges = make_ranges(300, [&](std::uint32_t index) { return included[index]; });
    auto covers = [](const Ranges &covering_ranges, std::uint32_t index) {
      return std::any_of(covering_ranges.begin(), covering_ranges.end(),
                         [&](auto entry) { return index >= entry.first && index < entry.second; });
    };
    std::size_t max_ranges = 1 + rng() % 40;
    auto widened = widen(ranges, max_ranges), narrowed = narrow(ranges, max_ranges);
    EXPECT_LE(widened.size(), max_ranges);
    EXPECT_LE(narrowed.size(), max_ranges);
    for (std::uint32_t index = 0; index < 300; ++index) {
      EXPECT_EQ(covers(ranges, index), static_cast<bool>(included[index]));
      EXPECT_TRUE(included[index] ? covers(widened, index) : !covers(narrowed, index));
    }
  }
}
