// Where work goes, and how other cells are reached: against a slow plain model, and case by case.
#include <gtest/gtest.h>

#include <cmath>
#include <random>

#include "loftrouter/core/federation/cell_membership.hpp"
#include "loftrouter/core/federation/delegation_plan.hpp"

using namespace loftrouter;
using namespace loftrouter::cells;

namespace {

// The words of docs/cells.md, one after the other.
std::optional<int> plain_choice(const Work &w, const std::vector<View> &cells, const Rules &r) {
  std::optional<int> best;
  double best_score = 0, best_wait = 0;
  for (int c = 0; c < static_cast<int>(cells.size()); ++c) {
    const View &v = cells[static_cast<std::size_t>(c)];
    if (!v.open || v.age_s >= r.fresh_s) continue;
    double places = 0, all[3] = {}, free[3] = {}, wait = 1e18;
    const double need[3] = {w.need.cpus, w.need.gpus, w.need.memory};
    std::vector<wire::CellKind> mine;
    for (const auto &k : v.kinds) {
      bool named = w.types.empty();
      for (const auto &t : w.types)
        named |= t == k.type;
      const double size[3] = {k.size.cpus, k.size.gpus, k.size.memory},
                   room[3] = {k.free.cpus, k.free.gpus, k.free.memory};
      bool fits = named && (!k.spot || w.spot);
      for (int i = 0; i < 3; ++i)
        fits &= need[i] <= size[i] + 1e-6;
      if (!fits) continue;
      mine.push_back(k);
      double whole = 1e6, rest = 1e6;
      bool small = true;
      for (int i = 0; i < 3; ++i) {
        all[i] += size[i] * k.machines;
        free[i] += room[i];
        small &= need[i] <= 0.25 * size[i] + 1e-6;
        if (need[i] <= 0) continue;
        whole = std::min(whole, std::floor(size[i] / need[i] + 1e-9));
        rest = std::min(rest, std::floor((room[i] - k.idle * size[i]) / need[i] + 1e-9));
      }
      places += k.idle * whole + (small ? std::max(0.0, rest) : 0);
    }
    for (const auto &k : mine) {
      const double fetch = w.image_gb / std::max(0.01, k.fetch_gb_per_s);
      if (places >= (w.whole ? w.tasks : 1) && k.machines > 0) wait = std::min(wait, fetch);
      if (!k.refused) wait = std::min(wait, k.boot_s + fetch);
      if (k.machines > 0 && static_cast<std::size_t>(w.priority) < v.wait_s.size())
        wait = std::min(wait, v.wait_s[static_cast<std::size_t>(w.priority)] + fetch);
    }
    if (wait > 1e17) continue;
    wait += r.hand_over_s + v.age_s;
    if (w.wait_here_s < wait + r.margin_s + r.margin_share * w.wait_here_s) continue;
    double score = 0;
    for (int i = 0; i < 3; ++i)
      if (all[i] > 0) score += std::clamp(free[i] / all[i], 0.0, 1.0) * std::min(1.0, need[i] * w.tasks / all[i]);
    score *= 1 - v.age_s / r.fresh_s;
    if (!best || score > best_score + 1e-12 || (score > best_score - 1e-12 && wait < best_wait)) {
      best = c;
      best_score = score;
      best_wait = wait;
    }
  }
  return best;
}

} // namespace

TEST(CellPlan, ChoosesAsThePlainModelDoes) {
  std::mt19937_64 rng(7);
  auto draw = [&](double a, double b) { return std::uniform_real_distribution<double>(a, b)(rng); };
  int chosen = 0;
  for (int round = 0; round < 4000; ++round) {
    Work w;
    w.need = {draw(0.5, 10), rng() % 4 ? 0.0 : 1.0, draw(1, 40)};
    if (rng() % 2) w.types = {"a", "b"};
    w.spot = rng() % 2;
    w.whole = rng() % 3 == 0;
    w.tasks = 1 + static_cast<std::uint32_t>(rng() % 40);
    w.image_gb = draw(0, 5);
    w.priority = static_cast<Priority>(rng() % 4);
    w.wait_here_s = draw(0, 200);
    std::vector<View> cells(rng() % 4);
    for (auto &v : cells) {
      v.age_s = draw(0, 13);
      v.open = rng() % 5;
      for (int u = 0; u < 4; ++u)
        v.wait_s.push_back(draw(0, 200));
      v.kinds.resize(rng() % 5);
      for (auto &k : v.kinds) {
        k.type = std::string(1, static_cast<char>('a' + rng() % 3));
        k.spot = rng() % 2;
        k.refused = rng() % 2;
        k.machines = static_cast<std::uint32_t>(rng() % 20);
        k.size = {draw(2, 16), rng() % 2 ? 2.0 : 0.0, draw(8, 64)};
        k.idle = static_cast<std::uint32_t>(rng() % (k.machines + 1));
        const double busy = k.machines - k.idle;
        k.free = {k.size.cpus * (k.idle + busy * draw(0, 1)), k.size.gpus * (k.idle + busy * draw(0, 1)),
                  k.size.memory * (k.idle + busy * draw(0, 1))};
        k.boot_s = draw(10, 60);
        k.fetch_gb_per_s = draw(0.2, 2);
      }
    }
    const auto fast = choose(w, cells, {});
    const auto slow = plain_choice(w, cells, {});
    ASSERT_EQ(fast.has_value(), slow.has_value()) << round;
    if (fast) {
      ASSERT_EQ(fast->cell, *slow) << round;
    }
    chosen += fast.has_value();
  }
  EXPECT_GT(chosen, 500);
}

// Three cells that all see the same empty one do not fill it three times over.
TEST(CellPlan, RoomIsPromisedOnce) {
  CapacityGrants p;
  EXPECT_EQ(p.promise(1, 2, 30, false, 100, 0), 30u);
  EXPECT_EQ(p.promise(2, 2, 30, false, 100, 0), 20u);
  EXPECT_EQ(p.promise(3, 2, 30, false, 100, 0), 0u);
  EXPECT_FALSE(p.take(2, 21, 1)) << "more than was promised";
  EXPECT_TRUE(p.take(2, 20, 1));
  EXPECT_FALSE(p.take(2, 20, 1)) << "used up";
  EXPECT_EQ(p.promise(4, 2, 30, true, 100, 1), 0u) << "whole or not at all";
  EXPECT_EQ(p.promise(5, 2, 20, true, 100, 1), 20u);
  EXPECT_EQ(p.promised_cpus(20), 0) << "nobody came";
  EXPECT_FALSE(p.take(1, 30, 20));
}

TEST(CellMembership, FindsTheLeaderThroughAnyNodeAndTriesSeldom) {
  CellMembership m({10, 11, 12});
  double t = 0;
  std::vector<std::pair<double, int>> tries;
  auto turn = [&](auto answers) {
    m.tick(t, 0.5);
    if (const int node = m.target(t); node >= 0) {
      tries.emplace_back(t, node);
      m.asked(t);
      if (answers(node)) m.answered(node, 12, t); // 12 leads there
    }
    t += 1;
  };
  for (int i = 0; i < 3; ++i)
    turn([](int) { return true; });
  EXPECT_EQ(m.target(t), 12);
  // The leader cannot be dialled from here: by way of another node, and not back to it every time.
  for (int i = 0; i < 20; ++i)
    turn([](int node) { return node == 10; });
  EXPECT_EQ(m.target(t), 10);
  EXPECT_TRUE(m.reached(t));
  // Nobody answers any more: soon seldom.
  tries.clear();
  const double from = t;
  for (int i = 0; i < 300; ++i)
    turn([](int) { return false; });
  int late = 0;
  for (auto [at, node] : tries)
    late += at > from + 200;
  EXPECT_LE(late, 3 * 9) << "at most three nodes a pause of 30 s or so";
  EXPECT_FALSE(m.reached(t));
  for (int i = 0; i < 60; ++i)
    turn([](int) { return true; });
  EXPECT_TRUE(m.reached(t));
}
