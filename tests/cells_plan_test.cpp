// Tests the choice of a remote cell against a reference implementation, capacity grants, and the choice of the node
// through which another cell is contacted.
#include <gtest/gtest.h>

#include <cmath>
#include <random>

#include "loftrouter/core/federation/cell_membership.hpp"
#include "loftrouter/core/federation/delegation_plan.hpp"

using namespace loftrouter;
using namespace loftrouter::cells;

namespace {

// Reference implementation of the rules in docs/cells.md.
std::optional<int> reference_choice(const DelegationCandidate &work, const std::vector<CellCapacity> &cells,
                                    const PlanRules &rules) {
  std::optional<int> best;
  double best_score = 0, best_wait_s = 0;
  for (int c = 0; c < static_cast<int>(cells.size()); ++c) {
    const CellCapacity &cell = cells[static_cast<std::size_t>(c)];
    if (!cell.available || cell.age_s >= rules.max_summary_age_s) continue;
    double slots = 0, total[3] = {}, free[3] = {}, wait_s = 1e18;
    const double need[3] = {work.need.cpus, work.need.gpus, work.need.memory};
    std::vector<wire::CellKind> usable;
    for (const auto &kind : cell.kinds) {
      bool type_allowed = work.types.empty();
      for (const auto &type : work.types)
        type_allowed |= type == kind.type;
      const double size[3] = {kind.size.cpus, kind.size.gpus, kind.size.memory},
                   available_size[3] = {kind.free.cpus, kind.free.gpus, kind.free.memory};
      bool fits = type_allowed && (!kind.spot || work.spot);
      for (int i = 0; i < 3; ++i)
        fits &= need[i] <= size[i] + 1e-6;
      if (!fits) continue;
      usable.push_back(kind);
      double per_idle_machine = 1e6, fragmented = 1e6;
      bool small = true;
      for (int i = 0; i < 3; ++i) {
        total[i] += size[i] * kind.machines;
        free[i] += available_size[i];
        small &= need[i] <= 0.25 * size[i] + 1e-6;
        if (need[i] <= 0) continue;
        per_idle_machine = std::min(per_idle_machine, std::floor(size[i] / need[i] + 1e-9));
        fragmented = std::min(fragmented, std::floor((available_size[i] - kind.idle * size[i]) / need[i] + 1e-9));
      }
      slots += kind.idle * per_idle_machine + (small ? std::max(0.0, fragmented) : 0);
    }
    for (const auto &kind : usable) {
      const double fetch_s = work.image_gb / std::max(0.01, kind.fetch_gb_per_s);
      if (slots >= (work.all_or_nothing ? work.tasks : 1) && kind.machines > 0) wait_s = std::min(wait_s, fetch_s);
      if (!kind.refused) wait_s = std::min(wait_s, kind.boot_s + fetch_s);
      if (kind.machines > 0 && static_cast<std::size_t>(work.priority) < cell.wait_s.size())
        wait_s = std::min(wait_s, cell.wait_s[static_cast<std::size_t>(work.priority)] + fetch_s);
    }
    if (wait_s > 1e17) continue;
    wait_s += rules.handover_s + cell.age_s;
    if (work.local_wait_s < wait_s + rules.margin_s + rules.margin_share * work.local_wait_s) continue;
    double score = 0;
    for (int i = 0; i < 3; ++i)
      if (total[i] > 0)
        score += std::clamp(free[i] / total[i], 0.0, 1.0) * std::min(1.0, need[i] * work.tasks / total[i]);
    score *= 1 - cell.age_s / rules.max_summary_age_s;
    if (!best || score > best_score + 1e-12 || (score > best_score - 1e-12 && wait_s < best_wait_s)) {
      best = c;
      best_score = score;
      best_wait_s = wait_s;
    }
  }
  return best;
}

} // namespace

TEST(DelegationPlan, ChoosesTheSameCellAsTheReference) {
  std::mt19937_64 rng(7);
  auto draw = [&](double low, double high) { return std::uniform_real_distribution<double>(low, high)(rng); };
  int chosen = 0;
  for (int round = 0; round < 4000; ++round) {
    DelegationCandidate work;
    work.need = {draw(0.5, 10), rng() % 4 ? 0.0 : 1.0, draw(1, 40)};
    if (rng() % 2) work.types = {"a", "b"};
    work.spot = rng() % 2;
    work.all_or_nothing = rng() % 3 == 0;
    work.tasks = 1 + static_cast<std::uint32_t>(rng() % 40);
    work.image_gb = draw(0, 5);
    work.priority = static_cast<Priority>(rng() % 4);
    work.local_wait_s = draw(0, 200);
    std::vector<CellCapacity> cells(rng() % 4);
    for (auto &cell : cells) {
      cell.age_s = draw(0, 13);
      cell.available = rng() % 5;
      for (int priority = 0; priority < 4; ++priority)
        cell.wait_s.push_back(draw(0, 200));
      cell.kinds.resize(rng() % 5);
      for (auto &kind : cell.kinds) {
        kind.type = std::string(1, static_cast<char>('a' + rng() % 3));
        kind.spot = rng() % 2;
        kind.refused = rng() % 2;
        kind.machines = static_cast<std::uint32_t>(rng() % 20);
        kind.size = {draw(2, 16), rng() % 2 ? 2.0 : 0.0, draw(8, 64)};
        kind.idle = static_cast<std::uint32_t>(rng() % (kind.machines + 1));
        const double busy = kind.machines - kind.idle;
        kind.free = {kind.size.cpus * (kind.idle + busy * draw(0, 1)), kind.size.gpus * (kind.idle + busy * draw(0, 1)),
                     kind.size.memory * (kind.idle + busy * draw(0, 1))};
        kind.boot_s = draw(10, 60);
        kind.fetch_gb_per_s = draw(0.2, 2);
      }
    }
    const auto actual = choose_cell(work, cells, {});
    const auto expected = reference_choice(work, cells, {});
    ASSERT_EQ(actual.has_value(), expected.has_value()) << round;
    if (actual) {
      ASSERT_EQ(actual->cell, *expected) << round;
    }
    chosen += actual.has_value();
  }
  EXPECT_GT(chosen, 500);
}

// Guards against several origin cells filling the same free capacity.
TEST(CapacityGrants, GrantsTheSameCapacityOnce) {
  CapacityGrants grants;
  EXPECT_EQ(grants.grant(1, 2, 30, false, 100, 0), 30u);
  EXPECT_EQ(grants.grant(2, 2, 30, false, 100, 0), 20u);
  EXPECT_EQ(grants.grant(3, 2, 30, false, 100, 0), 0u);
  EXPECT_FALSE(grants.redeem(2, 21, 1)) << "more than was granted";
  EXPECT_TRUE(grants.redeem(2, 20, 1));
  EXPECT_FALSE(grants.redeem(2, 20, 1)) << "already redeemed";
  EXPECT_EQ(grants.grant(4, 2, 30, true, 100, 1), 0u) << "all or nothing";
  EXPECT_EQ(grants.grant(5, 2, 20, true, 100, 1), 20u);
  EXPECT_EQ(grants.granted_cpus(20), 0) << "expired";
  EXPECT_FALSE(grants.redeem(1, 30, 20));
}

TEST(CellMembership, FindsTheLeaderThroughAnyNodeAndBacksOff) {
  CellMembership membership({10, 11, 12});
  double now = 0;
  std::vector<std::pair<double, int>> attempts;
  auto step = [&](auto answers) {
    membership.tick(now, 0.5);
    if (const int node = membership.target(now); node >= 0) {
      attempts.emplace_back(now, node);
      membership.request_sent(now);
      if (answers(node)) membership.response_received(node, 12, now); // node 12 leads
    }
    now += 1;
  };
  for (int i = 0; i < 3; ++i)
    step([](int) { return true; });
  EXPECT_EQ(membership.target(now), 12);
  // The leader can't be reached: requests keep going through another node.
  for (int i = 0; i < 20; ++i)
    step([](int node) { return node == 10; });
  EXPECT_EQ(membership.target(now), 10);
  EXPECT_TRUE(membership.reachable(now));
  // No node answers: attempts become rare.
  attempts.clear();
  const double from = now;
  for (int i = 0; i < 300; ++i)
    step([](int) { return false; });
  int late_attempts = 0;
  for (auto [at, node] : attempts)
    late_attempts += at > from + 200;
  EXPECT_LE(late_attempts, 3 * 9) << "at most three nodes per backoff of about 30 s";
  EXPECT_FALSE(membership.reachable(now));
  for (int i = 0; i < 60; ++i)
    step([](int) { return true; });
  EXPECT_TRUE(membership.reachable(now));
}
