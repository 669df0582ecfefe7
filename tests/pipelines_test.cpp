// Jobs that wait for others: the graph against a slow model, and pipelines in the simulated world under every trouble,
// while versions change and the limits of the state service fall.
#include <gtest/gtest.h>

#include "scenario.hpp"

using namespace loft;
using namespace loft::test;

namespace {

// A pipeline of four stages, as its users submit it: each job as soon as those that it needs are accepted.
struct Pipeline {
  std::vector<std::string> ids;
};

void submit_when_accepted(World &w, JobSpec spec, double until) {
  for (const auto &name : spec.waits_for)
    if (const auto *named = w.own(name); !named || !named->accepted) {
      if (w.now() < until) w.at(w.now() + 0.2, [&w, spec, until] { submit_when_accepted(w, spec, until); });
      return;
    }
  w.submit(spec);
}

std::shared_ptr<Pipeline> pipeline(World &w, int kind) {
  auto p = std::make_shared<Pipeline>();
  auto first = w.job(Shape::Array, 4, 1, 4);
  auto left = w.job(Shape::Array, 6, 1, 5, kind % 3 == 0 ? "blue" : "red"), right = w.job(Shape::Gang, 2, 1, 5);
  auto last = w.job(Shape::Array, 2, 1, 3);
  first.urgency = left.urgency = Urgency::Low;
  last.urgency = Urgency::High;
  last.deadline_s = 60;
  left.waits_for = right.waits_for = {first.id};
  last.waits_for = {left.id, right.id};
  if (kind % 4 == 1) last.waits_for.push_back(first.id);
  for (const auto &s : {first, left, right, last}) {
    p->ids.push_back(s.id);
    submit_when_accepted(w, s, w.now() + 120);
  }
  return p;
}

void pipelines(World &w, int count, std::uint64_t seed) {
  for (int i = 0; i < count; ++i)
    w.at(15 + 6.0 * i, [&w, i, seed] {
      auto p = pipeline(w, i);
      if (i % 3 == 2) // in the middle of it, at any stage
        w.at(w.now() + 1 + (seed * 7 + static_cast<std::uint64_t>(i) * 5) % 25, [&w, p, i] {
          const auto &id = p->ids[static_cast<std::size_t>(i / 3) % 3];
          if (const auto *job = w.own(id); job && job->accepted) w.cancel(id);
        });
    });
}

} // namespace

TEST(Pipelines, StagesFollowEachOther) {
  World w(1, {});
  pipelines(w, 8, 1);
  w.run(300);
  EXPECT_TRUE(w.broken.empty()) << all(w);
  EXPECT_TRUE(w.all_over()) << w.finished_jobs << " done, " << w.cancelled_jobs << " cancelled of " << w.accepted_jobs;
  EXPECT_EQ(w.accepted_jobs, 32);
}

class PipelineSeeds : public ::testing::TestWithParam<int> {};

// Everything at once, while nodes change from a version that fills 8 KiB records to this one and the limits fall.
TEST_P(PipelineSeeds, TroublesBreakNoRule) {
  const auto seed = static_cast<std::uint64_t>(GetParam());
  WorldOptions o = troubled(seed);
  o.accounts = seed % 2;
  o.next_value_kb = 2;
  o.next_txn_ops = 4;
  o.begins_old = true;
  World w(seed, o);
  mixed_load(w, 24);
  for (int i = 0; i < 12; ++i) // large sets of tasks, so that records are larger than they may be afterwards
    w.at(1 + 0.1 * i, [&w] {
      auto s = w.job(Shape::Array, 900, 0.05, 30);
      s.urgency = Urgency::Low;
      w.submit(s);
    });
  for (int n = 0; n < 3; ++n)
    w.at(8 + 3 * n, [&w, n] { w.upgrade(n, 1); });
  w.at(16 + static_cast<double>(seed % 60), [&w] { w.limits_fall(); });
  pipelines(w, 12, seed);
  make_trouble(w, seed);
  w.run(600);
  EXPECT_TRUE(w.broken.empty()) << all(w);
  EXPECT_GE(w.finished_jobs + w.cancelled_jobs, w.accepted_jobs * 9 / 10)
      << w.finished_jobs << " done, " << w.cancelled_jobs << " cancelled of " << w.accepted_jobs;
}

static int pipeline_seeds() {
  const char *env = std::getenv("LOFTROUTER_SEEDS");
  return env ? std::atoi(env) : 8;
}
INSTANTIATE_TEST_SUITE_P(Pipelines, PipelineSeeds, ::testing::Range(1, 1 + pipeline_seeds()));
