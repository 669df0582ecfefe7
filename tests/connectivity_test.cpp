// Simulation tests of connectivity faults between the replicas, the state service, the cloud provider and the workers,
// with checks of the safety rules and of progress. LOFTROUTER_LINKS=N simulates every N-th set of broken links (1:
// all); docs/measurements.md has the results of a full run.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <random>

#include "scenario.hpp"

using namespace loftrouter;
using namespace loftrouter::test;

namespace {

using Cut = World::Cut;

constexpr int kReplicas = 3;
constexpr double kCutAtS = 60;
constexpr double kCutDurationS = 60;
constexpr double kEndS = 170;

// A set of links of three replicas that are broken at the same time. A replica is identified by its offset from the
// leader at the time of the fault, which has offset 0. Peer links are indexed by the dialling replica first.
struct BrokenLinks {
  static constexpr unsigned kSetCount = 1U << 12;
  bool state_service[kReplicas] = {};
  bool workers[kReplicas] = {};
  bool peer[kReplicas][kReplicas] = {};

  // Each bit of `set` is 1 if a certain link is broken.
  explicit BrokenLinks(unsigned set) {
    int bit = 0;
    for (bool &broken : state_service)
      broken = set >> bit++ & 1;
    for (bool &broken : workers)
      broken = set >> bit++ & 1;
    for (int i = 0; i < kReplicas; ++i)
      for (int j = 0; j < kReplicas; ++j)
        if (i != j) peer[i][j] = set >> bit++ & 1;
  }

  // Whether workers can reach some replica that can lead, directly or by forwarding.
  bool can_be_served() const {
    for (int i = 0; i < kReplicas; ++i)
      for (int j = 0; j < kReplicas; ++j)
        if (!state_service[i] && !workers[j] && (i == j || !peer[j][i])) return true;
    return false;
  }

  // Whether this replica can answer user requests.
  bool can_answer(int replica) const {
    bool answers = !state_service[replica];
    for (int other = 0; other < kReplicas; ++other)
      answers |= other != replica && !state_service[other] && !peer[replica][other];
    return answers;
  }
};

struct Result {
  double longest_gap_s = 0;        // between task starts, while links were broken
  double longest_healed_gap_s = 0; // between task starts, after the links were restored
  int refused = 0;                 // look-ups not answered with 200 by replicas that can answer, from 6 s after the cut
  int scaled_out = 0;              // machines rented since the cut
  int scaled_in = 0;               // machines returned since the cut
  std::string broken_rules;
};

// Submits short tasks faster than they run, so that some are always pending.
void submit_steady_load(World &world, double until) {
  for (int i = 0; 2 + 2 * i < until; ++i)
    world.at(2 + 2 * i, [&world] {
      auto job = world.job(Shape::Array, 8, 1, 6);
      job.spot = true;
      world.submit(job);
    });
}

// Breaks the links, each with a random kind of cut.
void break_links(World &world, const BrokenLinks &broken, int leader, std::mt19937_64 &rng) {
  const auto random_cut = [&rng] {
    constexpr Cut kCuts[] = {Cut::Drop, Cut::Refuse, Cut::Hold};
    return kCuts[rng() % 3];
  };
  const auto node = [leader](int offset) { return (leader + offset) % kReplicas; };
  for (int i = 0; i < kReplicas; ++i) {
    if (broken.state_service[i]) world.cut_state(node(i), kCutDurationS, random_cut());
    if (broken.workers[i]) world.cut_workers(node(i), kCutDurationS, random_cut());
    for (int j = 0; j < kReplicas; ++j) {
      if (!broken.peer[i][j]) continue;
      const Cut cut = random_cut() == Cut::Hold ? Cut::Hold : Cut::Drop;
      world.cut_peer(node(i), node(j), kCutDurationS, cut);
    }
  }
}

double longest_gap_s(const World &world, double from, double to) {
  double gap_s = 0;
  double last = from;
  for (const double started_at : world.started_at)
    if (started_at >= from && started_at < to) {
      gap_s = std::max(gap_s, started_at - last);
      last = started_at;
    }
  return std::max(gap_s, to - last);
}

Result simulate(unsigned set, std::uint64_t seed) {
  const BrokenLinks broken(set);
  World world(seed, {});
  std::mt19937_64 rng(seed);
  submit_steady_load(world, 160);
  Result result;
  std::string job_id;
  world.at(50, [&] { job_id = world.submit(world.job(Shape::Array, 1, 1, 300)); });
  std::vector<std::shared_ptr<World::Answer>> answers;
  world.at(kCutAtS, [&] {
    const int leader = std::max(0, world.leader());
    result.scaled_out = -world.rented;
    result.scaled_in = -world.returned;
    break_links(world, broken, leader, rng);
    for (int offset = 0; offset < kReplicas; ++offset) {
      if (!broken.can_answer(offset)) continue;
      for (int i = 0; i < 20; ++i)
        world.at(kCutAtS + 6 + 2.5 * i, [&world, &answers, &job_id, node = (leader + offset) % kReplicas] {
          answers.push_back(world.look_up(node, job_id));
        });
    }
  });
  world.run(kEndS);
  result.scaled_out += world.rented;
  result.scaled_in += world.returned;
  for (const auto &answer : answers)
    result.refused += answer->status != 200;
  result.longest_gap_s = longest_gap_s(world, kCutAtS, kCutAtS + kCutDurationS);
  result.longest_healed_gap_s = longest_gap_s(world, kCutAtS + kCutDurationS, kEndS - 12); // work is pending until then
  result.broken_rules = all(world);
  return result;
}

// The number of terms that began within [from, to).
int count_terms(const World &world, double from, double to) {
  return static_cast<int>(std::count_if(world.elected_at.begin(), world.elected_at.end(),
                                        [=](double elected_at) { return elected_at >= from && elected_at < to; }));
}

} // namespace

// Tasks keep starting while workers can reach a replica that reaches the state service, and every replica that can
// answer users does. Guards against partial partitions that stall the cell.
TEST(Connectivity, TasksKeepStartingUnderBrokenLinks) {
  const char *stride_setting = std::getenv("LOFTROUTER_LINKS");
  const unsigned stride = stride_setting ? static_cast<unsigned>(std::max(1, std::atoi(stride_setting))) : 64;
  const char *part_setting = std::getenv("LOFTROUTER_PART"); // k/n: simulates part k of n, for parallel processes
  unsigned part = 0;
  unsigned parts = 1;
  if (part_setting) std::sscanf(part_setting, "%u/%u", &part, &parts);
  int simulated_sets = 0;
  for (unsigned set = 1 + 3 * (stride > 1); set < BrokenLinks::kSetCount; set += stride) {
    if (set % parts != part) continue;
    const BrokenLinks broken(set);
    const Result result = simulate(set, 1000 + set);
    ++simulated_sets;
    if (stride_setting)
      std::printf("set %u served %d gap %.1f healed %.1f refused %d rented %d returned %d\n", set,
                  broken.can_be_served(), result.longest_gap_s, result.longest_healed_gap_s, result.refused,
                  result.scaled_out, result.scaled_in);
    EXPECT_EQ(result.broken_rules, "") << "set " << set;
    if (broken.can_be_served()) {
      EXPECT_LE(result.longest_gap_s, 40) << "set " << set;
    }
    EXPECT_LE(result.longest_healed_gap_s, 20) << "set " << set;
    EXPECT_LE(result.refused, 1) << "set " << set; // one may exceed a rate limit
  }
  EXPECT_GT(simulated_sets, 0);
}

// A leader that no worker reaches learns of better connected replicas from the state service if all peer links are
// down. Guards against worker leases expiring and reachable machines being replaced.
TEST(Connectivity, LeaderWithoutWorkersStepsDownWithoutPeerLinks) {
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    WorldOptions options;
    options.heartbeat_interval_s = 2;
    options.lease_s = 16;
    World world(seed, options);
    submit_steady_load(world, 140);
    int leader = -1;
    int rented = 0;
    world.at(60, [&] { world.cut_peers(80); });
    world.at(70, [&] {
      leader = world.leader();
      rented = world.rented;
      world.cut_workers(leader, 60, Cut::Hold);
    });
    world.run(90);
    EXPECT_NE(world.leader(), leader) << seed;
    EXPECT_EQ(world.lease_kills, 0) << seed;
    EXPECT_LE(world.rented - rented, 4) << seed;
    EXPECT_TRUE(world.broken.empty()) << all(world);
  }
}

TEST(Connectivity, FlappingLinksChangeLeaderAtMostOncePerMinute) {
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    World world(seed, {});
    submit_steady_load(world, 230);
    world.at(50, [&world] { world.cut_peers(200); });
    for (int i = 0; i < 9; ++i)
      world.at(60 + 20 * i, [&world, i] {
        const int leader = std::max(0, world.leader());
        world.cut_workers(leader, 9, Cut::Drop);
        world.cut_workers((leader + 1 + i % 2) % 3, 9, Cut::Drop);
      });
    world.run(260);
    for (double from = 60; from < 200; from += 10)
      EXPECT_LE(count_terms(world, from, from + 59), 1) << "seed " << seed << " from " << from;
    EXPECT_TRUE(world.broken.empty()) << all(world);
  }
}

// A replica cut off from the state service still serves submissions, look-ups and cancellations, and acknowledged
// changes persist.
TEST(Connectivity, RequestsAreForwardedToReplicaWithStateService) {
  for (const Cut cut : {Cut::Drop, Cut::Refuse, Cut::Hold}) {
    World world(5, {});
    world.run(30);
    const int node = (world.leader() + 1) % 3;
    world.cut_state(node, 60, cut);
    world.run(33);
    auto job = world.job(Shape::Array, 2, 1, 200);
    const auto up = world.up(node);
    const auto first = world.submit_at(node, job);
    world.run(33.5);
    const auto resubmitted = world.submit_at(node, job);
    const auto unknown = world.look_up(node, "j-777777");
    auto unknown_team_job = world.job(Shape::Array, 2, 1, 5);
    unknown_team_job.team = "nobody";
    const auto refused = world.submit_at(node, unknown_team_job);
    world.run(55);
    const auto looked_up = world.look_up(node, job.id);
    const auto cancelled = world.abort_at(node, job.id);
    world.run(56);
    const auto after = world.look_up(node, job.id);
    const auto at_other_replica = world.look_up((node + 1) % 3, job.id);
    world.run(57);
    EXPECT_EQ(up->status, 200);
    EXPECT_EQ(first->status, 201);
    EXPECT_EQ(resubmitted->status, 200);
    EXPECT_EQ(unknown->status, 404);
    EXPECT_EQ(refused->status, 422);
    EXPECT_EQ(looked_up->body.value("status", ""), "running") << looked_up->body;
    EXPECT_EQ(cancelled->body.value("status", ""), "aborted") << cancelled->body;
    EXPECT_EQ(after->body.value("status", ""), "aborted") << after->body;
    EXPECT_EQ(at_other_replica->body.value("status", ""), "aborted") << at_other_replica->body;
    EXPECT_TRUE(world.broken.empty()) << all(world);
  }
}

// Guards against requests that time out or are forwarded in a loop.
TEST(Connectivity, RequestsAreRefusedImmediatelyDuringStateServiceOutage) {
  World world(6, {});
  world.run(30);
  world.outage(30);
  world.run(35);
  const auto submitted = world.submit_at(0, world.job(Shape::Array, 1, 1, 5));
  const auto looked_up = world.look_up(1, "j-000001");
  world.run(35.1);
  EXPECT_EQ(submitted->status, 503);
  EXPECT_EQ(looked_up->status, 503);
}

// Guards against discarding the fleet on a network fault.
TEST(Connectivity, UnreachableFleetIsNeitherScaledInNorReplaced) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    World world(seed, {});
    submit_steady_load(world, 300);
    int rented = 0;
    int returned = 0;
    world.at(80, [&] {
      rented = world.rented;
      returned = world.returned;
      for (int node = 0; node < kReplicas; ++node)
        world.cut_workers(node, 40, Cut::Hold);
    });
    world.run(119);
    EXPECT_EQ(world.rented, rented) << seed;
    EXPECT_LE(world.returned, returned + 1) << seed; // one may have been scaled in already
    world.run(400);
    EXPECT_TRUE(world.broken.empty()) << all(world);
    EXPECT_TRUE(world.all_over());
  }
}

// Guards against taking dead machines for unreachable ones.
TEST(Connectivity, DeadMachinesAreReplaced) {
  int died = 0;
  int replaced = 0;
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    World world(seed, {});
    for (int i = 0; i < 4; ++i)
      submit_steady_load(world, 160);
    world.run(80);
    const int rented = world.rented;
    died += world.kill_machines(0.6);
    world.run(100);
    replaced += world.rented - rented;
    world.run(400);
    EXPECT_TRUE(world.all_over());
    EXPECT_TRUE(world.broken.empty()) << all(world);
  }
  EXPECT_GE(died, 10);
  EXPECT_GE(replaced, died / 2);
}

TEST(Connectivity, LeaderWithoutCloudProviderStepsDown) {
  World world(9, {});
  submit_steady_load(world, 200);
  world.run(70);
  const int leader = world.leader();
  const int connected = (leader + 2) % kReplicas;
  for (int i = 0; i < 3; ++i)
    if (i != connected) world.cut_cloud(i, 150, Cut::Drop);
  world.run(85);
  EXPECT_EQ(world.leader(), leader) << "the leader must allow the provider some time to recover";
  world.run(140);
  EXPECT_EQ(world.leader(), connected);
  world.run(300);
  EXPECT_TRUE(world.broken.empty()) << all(world);
}

namespace {

// Cuts one link. The link, the node and the kind of cut are derived from `random_bits`.
void cut_some_link(World &world, std::uint64_t random_bits, double duration_s) {
  constexpr int kNodes = 5;
  const int first = static_cast<int>(random_bits % kNodes);
  const int second = static_cast<int>(random_bits / 5 % kNodes);
  const auto cut = static_cast<Cut>(random_bits / 25 % 5);
  const int node = world.leader() >= 0 && random_bits / 125 % 2 ? world.leader() : first;
  switch (random_bits / 250 % 4) {
  case 0:
    return world.cut_state(node, duration_s, cut);
  case 1:
    return world.cut_workers(node, duration_s, cut == Cut::NoAnswers ? Cut::Drop : cut);
  case 2:
    return world.cut_cloud(node, duration_s, cut);
  default:
    if (node == second) return world.cut_peers(duration_s);
    return world.cut_peer(node, second, duration_s, cut == Cut::Hold ? Cut::Hold : Cut::Drop);
  }
}

} // namespace

// Cuts random links within milliseconds of a crash, stall, outage or cancellation, when the safety rules are most at
// risk.
class FiveReplicaConnectivity : public ::testing::TestWithParam<int> {};
TEST_P(FiveReplicaConnectivity, RandomLinkCutsBreakNoRule) {
  const auto seed = static_cast<std::uint64_t>(GetParam());
  WorldOptions options = troubled(seed);
  options.nodes = 5;
  World world(seed + 5000, options);
  mixed_load(world, 30);
  std::mt19937_64 rng(seed * 31 + 7);
  const auto random_below = [&rng](int count) { return static_cast<int>(rng() % static_cast<unsigned>(count)); };
  for (int i = 0; i < 14; ++i) {
    const double at = 10 + random_below(150);
    const double duration_s = 2 + random_below(30);
    const auto random_bits = rng();
    const auto more_random_bits = rng();
    const int kind = random_below(5);
    world.at(at, [&world, kind, random_bits, more_random_bits, duration_s] {
      const int node = static_cast<int>(random_bits % 5);
      if (kind == 0) world.crash(std::max(0, world.leader()), 3);
      if (kind == 1) world.stall(node, duration_s / 2, random_bits & 64);
      if (kind == 2) world.outage(duration_s / 2);
      if (kind == 3) world.cancel(world.submit(world.job(Shape::Array, 3, 1, 20)));
      const double first_cut_s = 0.002 * static_cast<double>(more_random_bits % 8);
      const double second_cut_s = 0.002 * static_cast<double>(more_random_bits / 8 % 8);
      world.at(world.now() + first_cut_s,
               [&world, random_bits, duration_s] { cut_some_link(world, random_bits, duration_s); });
      world.at(world.now() + second_cut_s,
               [&world, more_random_bits, duration_s] { cut_some_link(world, more_random_bits, duration_s); });
    });
  }
  world.run(500);
  EXPECT_TRUE(world.broken.empty()) << all(world);
  EXPECT_TRUE(world.all_over()) << world.finished_jobs << " of " << world.accepted_jobs;
}
INSTANTIATE_TEST_SUITE_P(Connectivity, FiveReplicaConnectivity, ::testing::Range(1, 1 + seeds(8)));
