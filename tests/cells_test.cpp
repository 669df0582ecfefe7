// Several cells as one fleet, each with its own controllers, state service, cloud and workers: whatever fails, no task
// runs in two of them, each job ends once, and waiting work goes where there is room.
#include <gtest/gtest.h>

#include "federation.hpp"
#include "scenario.hpp"

using namespace loftrouter;
using namespace loftrouter::test;

namespace {

std::string all(const Federation &f) {
  std::string out;
  for (const auto &b : f.broken())
    out += b + "\n";
  return out;
}

// Cell 0 has few machines, the others as many as they want.
std::vector<WorldOptions> one_small(int cells = 2, long machines = 4) {
  std::vector<WorldOptions> out(static_cast<std::size_t>(cells));
  out[0].max_machines = machines;
  return out;
}

JobSpec batch(World &w, std::uint32_t tasks, double run_s, const std::string &team = "red") {
  auto s = w.job(Shape::Array, tasks, 2, run_s, team);
  s.spot = true;
  return s;
}

} // namespace

TEST(CellFederation, WaitingWorkGoesWhereThereIsRoom) {
  double alone = 0;
  for (bool delegate : {false, true}) {
    Federation f(1, one_small());
    if (!delegate) f.cut(0, 1, 1000);
    for (int i = 0; i < 6; ++i)
      f[0].at(5 + i, [&f] { f[0].submit(batch(f[0], 30, 20)); });
    double over = 0;
    for (double t = 10; t < 900 && !over; t += 5) {
      f.run(t);
      if (f[0].accepted_jobs == 6 && f.all_over()) over = t;
    }
    EXPECT_TRUE(f.broken().empty()) << all(f);
    ASSERT_GT(over, 0) << f[0].finished_jobs;
    if (delegate) {
      EXPECT_LT(over, 0.7 * alone);
      EXPECT_FALSE(f.started_elsewhere.empty());
    } else {
      EXPECT_TRUE(f.started_elsewhere.empty());
      alone = over;
    }
  }
}

// The borrower is cut off in the middle, for good or for a while: what it told stays done, the rest comes home by the
// bound, and each job ends once.
TEST(CellFederation, WorkOfAVanishedCellComesHome) {
  for (double gone_for : {1000.0, 30.0, 15.0})
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      Federation f(seed, one_small());
      for (int i = 0; i < 6; ++i)
        f[0].at(5 + i, [&f] { f[0].submit(batch(f[0], 30, 20)); });
      f.run(45);
      EXPECT_FALSE(f.started_elsewhere.empty());
      f.cut(0, 1, gone_for);
      f.run(900);
      EXPECT_TRUE(f.broken().empty()) << all(f);
      EXPECT_TRUE(f.all_over()) << f[0].finished_jobs << " of " << f[0].accepted_jobs;
    }
}

// A loan that has lapsed may have been started at home; a next leader there that reads of it must not confirm it to the
// borrower, which is back by then with what it still holds. (It did: docs/incidents/lapsed-loan-confirmed.md.)
TEST(CellFederation, LapsedLoansAreNotConfirmedByTheNextLeader) {
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    Federation f(seed, one_small(2, 6));
    for (int i = 0; i < 6; ++i)
      f[0].at(5 + i, [&f] { f[0].submit(batch(f[0], 30, 25)); });
    f.run(45);
    f.cut(0, 1, 28);
    for (int k = 0; k < 3; ++k)
      f[1].cut_state(k, 28, World::Cut::Drop); // so that it cannot forget what it has closed
    f.run(72);
    f[0].crash(std::max(0, f[0].leader()), 3);
    f[1].crash(std::max(0, f[1].leader()), 3);
    f.run(900);
    EXPECT_TRUE(f.broken().empty()) << seed << "\n" << all(f);
    EXPECT_TRUE(f.all_over());
  }
}

// A cancellation at home, at each step of a loan, also when the borrower cannot be told.
TEST(CellFederation, CancelledWorkIsOverEverywhereInTime) {
  for (bool cut : {false, true})
    for (int step = 0; step < 12; ++step) {
      Federation f(static_cast<std::uint64_t>(step) + 1, one_small());
      std::vector<std::string> ids;
      for (int i = 0; i < 5; ++i)
        f[0].at(5 + i, [&] { ids.push_back(f[0].submit(batch(f[0], 30, 60))); });
      const double at = 12 + 2.5 * step;
      f.run(at);
      if (cut) f.cut(0, 1, 1000);
      for (const auto &id : ids)
        f[0].cancel(id);
      f.run(at + 120);
      EXPECT_TRUE(f.broken().empty()) << "step " << step << "\n" << all(f);
      EXPECT_TRUE(f.all_over());
    }
}

// A team's limit holds over all cells together.
TEST(CellFederation, TeamLimitsHoldOverAllCells) {
  Federation f(3, one_small());
  for (int i = 0; i < 8; ++i)
    f[0].at(5 + i, [&f] {
      f[0].submit(batch(f[0], 20, 15, "blue")); // at most 12 CPUs
      f[0].submit(batch(f[0], 20, 15));
    });
  f.run(900);
  EXPECT_TRUE(f.broken().empty()) << all(f);
  EXPECT_TRUE(f.all_over());
  EXPECT_FALSE(f.started_elsewhere.empty());
}

// What may not leave stays, however long the queue, and whoever asks is told where the rest is.
TEST(CellFederation, WorkThatMayNotLeaveStays) {
  Federation f(4, one_small());
  f.run(10);
  const auto set = f[0].admin(0, "PUT", "/admin/v1/cells", R"({"stay_teams": ["blue"], "stay_classes": ["secret"]})");
  f.run(18);
  ASSERT_EQ(set->status, 200);
  std::vector<std::string> stays;
  std::string goes;
  for (int i = 0; i < 4; ++i)
    f[0].at(18 + i, [&] {
      stays.push_back(f[0].submit(batch(f[0], 20, 15, "blue")));
      auto secret = batch(f[0], 20, 15);
      secret.job_class = "secret";
      stays.push_back(f[0].submit(secret));
      goes = f[0].submit(batch(f[0], 40, 15));
    });
  f.run(60);
  const auto seen = f[0].look_up(f[0].leader(), goes), elsewhere = f[1].look_up(0, goes);
  const auto status = f[0].admin(f[0].leader(), "GET", "/admin/v1/status");
  f.run(61);
  EXPECT_NE(seen->body.value("reason", "").find("in cell q"), std::string::npos) << seen->body;
  EXPECT_EQ(elsewhere->status, 404) << "nobody has submitted it there";
  EXPECT_EQ(status->body["cells"][0]["cell"], "q");
  f.run(900);
  for (const auto &id : stays)
    EXPECT_EQ(f.started_elsewhere.count(id), 0u) << id;
  EXPECT_GT(f.started_elsewhere.count(goes), 0u);
  EXPECT_TRUE(f.broken().empty()) << all(f);
  EXPECT_TRUE(f.all_over());
}

// Ids that both cells' users have chosen are not mixed: neither is lent over the other, and an own user who comes later
// gets the id.
TEST(CellFederation, SameIdsInTwoCellsAreNotMixed) {
  auto options = one_small();
  options[0].first_job = options[1].first_job = 500;
  Federation f(5, options);
  for (int i = 0; i < 6; ++i) {
    f[0].at(5 + i, [&f] { f[0].submit(batch(f[0], 20, 20)); });
    if (i % 2) f[1].at(4 + i, [&f] { f[1].submit(batch(f[1], 3, 5)); }); // their numbers meet here and there
  }
  f[1].at(40, [&f] {
    for (int i = 0; i < 5; ++i)
      f[1].submit(batch(f[1], 2, 5));
  });
  f.run(900);
  EXPECT_TRUE(f.broken().empty()) << all(f);
  EXPECT_TRUE(f.all_over()) << f[0].finished_jobs << " " << f[1].finished_jobs;
  EXPECT_EQ(f[1].finished_jobs, 8);
}

// What an earlier loan of a job has done here stays in the progress record for a while; the next loan of the same job
// must not be told as done by it. (It was, once in 2,000 seeded worlds: not_done.)
TEST(CellFederation, WhatAnEarlierLoanDidIsNotTakenForThisOnes) {
  for (std::uint64_t written_by : {5, 7}) {
    WorldOptions o;
    o.cells = {"q", {{"p", {"p:0"}}}};
    World w(1, o);
    auto spec = w.job(Shape::Array, 24, 1, 10);
    ProgressRecord progress;
    progress.finished = {{0, 22}};
    progress.delegated_here = written_by;
    w.put_record("open/" + spec.id, wire::to_json(OpenRecord{spec, 1.7e9, false, DelegationSource{"p", 7, {{8, 24}}}}));
    w.put_record("progress/s0", wire::progress_shard({{spec.id, wire::to_json(progress)}}));
    Ranges told;
    bool ended = false;
    w.send_cell = [&](int, const core::CellSend &s) {
      if (s.message.kind != wire::CellMessage::Kind::Progress) return;
      told = s.message.ranges;
      ended |= s.message.ended;
    };
    w.run(20); // nobody confirms it: it ends
    EXPECT_TRUE(ended);
    EXPECT_EQ(told, written_by == 7 ? Ranges({{8, 22}}) : Ranges()) << written_by;
  }
}

class CellSeeds : public ::testing::TestWithParam<int> {};

// Everything at once, in both cells and between them.
TEST_P(CellSeeds, TroublesBreakNoRule) {
  const auto seed = static_cast<std::uint64_t>(GetParam());
  std::vector<WorldOptions> options;
  const int cells = seed % 4 == 3 ? 3 : 2;
  for (int c = 0; c < cells; ++c) {
    auto o = troubled(seed + static_cast<std::uint64_t>(c));
    o.accounts = seed % 2;
    o.max_machines = c == 0 ? 5 : seed % 3 ? 400 : 8;
    options.push_back(o);
  }
  Federation f(seed, options, seed % 3 ? 0.03 : 0);
  for (int c = 0; c < cells; ++c)
    mixed_load(f[c], c ? 8 : 25);
  for (int i = 0; i < 5; ++i)
    f[0].at(20 + 10 * i, [&f] { f[0].submit(batch(f[0], 25, 12)); });
  std::mt19937_64 rng(seed * 13 + 1);
  auto pick = [&](int n) { return static_cast<int>(rng() % static_cast<unsigned>(n)); };
  for (int c = 0; c < cells; ++c)
    if (seed % 2 || c == 1) make_trouble(f[c], seed + static_cast<std::uint64_t>(100 * c));
  struct Break {
    double at;
    int from, from_node, to, to_node;
    double for_s;
    bool both;
  };
  std::vector<Break> breaks;
  for (int i = 0; i < 6; ++i) {
    const int from = pick(cells), to = (from + 1 + pick(cells - 1)) % cells;
    breaks.push_back(
        {30.0 + pick(130), from, pick(2) ? -1 : pick(3), to, pick(2) ? -1 : pick(3), 3.0 + pick(50), pick(2) == 1});
  }
  std::sort(breaks.begin(), breaks.end(), [](const Break &a, const Break &b) { return a.at < b.at; });
  for (const auto &b : breaks) {
    f.run(b.at);
    f.cut(b.from, b.from_node, b.to, b.to_node, b.for_s);
    if (b.both) f.cut(b.to, b.to_node, b.from, b.from_node, b.for_s);
  }
  f.run(700);
  EXPECT_TRUE(f.broken().empty()) << all(f);
  EXPECT_TRUE(f.all_over()) << f[0].finished_jobs << " of " << f[0].accepted_jobs;
}

INSTANTIATE_TEST_SUITE_P(CellFederation, CellSeeds, ::testing::Range(1, 1 + seeds(6)));
