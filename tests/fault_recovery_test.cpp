// Recovery from faults in the simulated world: copied heartbeats, lost downlinks, isolated leaders, processes and
// machines that restart at once; no job is forgotten, and none waits for ever.
#include <gtest/gtest.h>

#include "scenario.hpp"

using namespace loftrouter;
using namespace loftrouter::test;

namespace {

// One fault, drawn at random.
void inject_fault(World &world, std::mt19937_64 &rng) {
  const auto pick = [&rng](int count) { return static_cast<int>(rng() % static_cast<unsigned>(count)); };
  const int node = pick(4) ? std::max(0, world.leader()) : pick(3), kind = pick(8);
  if (kind == 0) world.cut_inbound(0.1 * (1 + pick(5)), 5 + pick(40));
  if (kind == 1) world.isolate(node, 2 + pick(30));
  if (kind == 2 || kind == 3) world.crash(node, 0.05 + 0.1 * pick(5));
  if (kind == 3)
    world.at(world.now() + 0.3 + 0.2 * pick(10), [&world, node] { world.crash(node, 0.1); }); // within an election
  if (kind == 4) world.restart_machines(0.1 * (1 + pick(5)));
  if (kind == 5) world.outage(3 + pick(15));
  if (kind == 6) world.cut_outbound(0.2, 4 + pick(14));
  for (int i = 0; i < 3 && kind == 7; ++i)
    world.crash(i, 0.2);
}

void inject_faults(World &world, std::uint64_t seed, double from, double until) {
  auto rng = std::make_shared<std::mt19937_64>(seed * 131 + 7);
  for (double at = from; at < until; at += 14)
    world.at(at, [&world, rng, until] {
      inject_fault(world, *rng);
      if ((*rng)() % 2 && world.now() + 3 < until) // a second one on top
        world.at(world.now() + 0.1 * static_cast<double>((*rng)() % 30), [&world, rng] { inject_fault(world, *rng); });
    });
}

WorldOptions with_copies(std::uint64_t seed) {
  WorldOptions options;
  options.copies = 0.15;
  options.loss = seed % 2 ? 0.01 : 0;
  options.accounts = seed % 3 == 0;
  options.die_per_hour = 6;
  options.hang_per_hour = seed % 4 == 1 ? 15 : 0;
  if (seed % 5 >= 3) options.cpu_share = 0.004;
  return options;
}

} // namespace

// A machine whose heartbeats arrive while no response reaches it looks alive. Its tasks start elsewhere, it gets no
// more of them and is replaced.
TEST(FaultRecovery, MachinesWithoutADownlinkAreReplaced) {
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    WorldOptions options;
    if (seed % 2) options.nodes = 1; // every report reaches the leader, so that no silence gives the machine away
    World world(seed, options);
    world.at(2, [&world] { world.submit(world.job(Shape::Array, 30, 1, 20)); });
    world.at(25, [&world] { world.cut_inbound(0.4, 400); });
    for (int i = 0; i < 10; ++i)
      world.at(26 + 2 * i, [&world, i] { world.submit(world.job(i % 2 ? Shape::Array : Shape::Gang, 3, 1, 8)); });
    world.run(110);
    EXPECT_TRUE(world.broken.empty()) << all(world);
    EXPECT_TRUE(world.all_over()) << "seed " << seed << ": " << world.finished_jobs << " of " << world.accepted_jobs;
    EXPECT_GT(world.returned, 0) << "replaced";
  }
}

TEST(FaultRecovery, NoMachineIsScaledInWhenAllLoseTheirDownlink) {
  World world(9, {});
  world.at(2, [&world] { world.submit(world.job(Shape::Array, 60, 1, 300)); });
  world.run(40);
  const int up = world.machines_up();
  world.cut_inbound(1, 30);
  world.run(70);
  EXPECT_EQ(world.machines_up(), up);
  world.run(120);
  EXPECT_GT(world.leader(), -1);
}

// Copies of heartbeats from before the machines were gone are all that a new leader receives of them.
TEST(FaultRecovery, CopiedHeartbeatsOfDeadMachinesGetNoTasks) {
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    WorldOptions options;
    options.copies = 1;
    World world(seed, options);
    world.at(2, [&world] { world.submit(world.job(Shape::Array, 24, 1, 300)); });
    world.run(40);
    const auto gone = world.kill_machines(1);
    ASSERT_GT(gone, 0);
    world.crash(world.leader(), 0.2);
    world.at(42, [&world] { world.submit(world.job(Shape::Array, 12, 1, 5)); });
    world.run(75); // a lease, a boot, and a run
    EXPECT_EQ(world.finished_jobs, 1) << "seed " << seed;
    EXPECT_TRUE(world.broken.empty()) << all(world);
  }
}

// A leader that reaches nothing but its workers: another takes over, no worker's lease expires, users are refused at
// once.
TEST(FaultRecovery, IsolatedLeaderIsReplacedWithoutALostLease) {
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    World world(seed, {});
    world.at(2, [&world] { world.submit(world.job(Shape::Array, 12, 1, 200)); });
    world.run(40);
    const int cut = world.leader();
    const int kills = world.lease_kills;
    world.isolate(cut, 40);
    world.run(46);
    const auto looked_up = world.look_up(cut, "j-000001");
    const auto up = world.up(cut);
    const auto submitted = world.submit_at(cut, world.job(Shape::Array, 1, 1, 5));
    world.run(46.05);
    for (const auto &answer : {looked_up, up, submitted})
      EXPECT_EQ(answer->status, 503) << "at once";
    world.run(70);
    EXPECT_NE(world.leader(), cut);
    EXPECT_EQ(world.lease_kills, kills) << "seed " << seed;
    world.run(90); // healed: it follows
    EXPECT_EQ(world.leaders(), 1);
    auto healed = world.look_up(cut, "j-000001");
    world.run(92);
    EXPECT_EQ(healed->status, 200);
    EXPECT_TRUE(world.broken.empty()) << all(world);
  }
}

// Back within a fraction of a second, again and again, also in the middle of an election.
TEST(FaultRecovery, ReplicasAndMachinesThatRestartAtOnceBreakNoRule) {
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    World world(seed, with_copies(seed));
    mixed_load(world, 15);
    for (int i = 0; i < 12; ++i) {
      world.at(20 + 5 * i, [&world] {
        if (world.leader() >= 0) world.crash(world.leader(), 0.1);
      });
      world.at(22 + 5 * i, [&world, i] { world.crash(i % 3, 0.05); });
      world.at(23 + 10 * i, [&world] { world.restart_machines(0.3); });
    }
    world.run(400);
    EXPECT_TRUE(world.broken.empty()) << all(world);
    EXPECT_TRUE(world.all_over()) << world.finished_jobs << " of " << world.accepted_jobs;
  }
}

// Machines start during an outage, in which no task can be started: they are kept for what waits when it is over.
TEST(FaultRecovery, MachinesThatStartedDuringAnOutageAreUsed) {
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    WorldOptions options;
    options.min_boot = 6;
    options.max_boot = 12;
    World world(seed, options);
    world.at(2, [&world] { world.submit(world.job(Shape::Array, 40, 1, 30)); });
    world.run(6);
    ASSERT_GT(world.rented, 1);
    world.outage(100);
    world.run(105);
    const int up = world.machines_up(), rented = world.rented;
    ASSERT_GT(up, 1);
    world.run(116);
    EXPECT_EQ(world.machines_up(), up) << "seed " << seed;
    EXPECT_EQ(world.rented, rented) << "no others had to be";
    EXPECT_EQ(world.on_machines().size(), 40U);
    world.run(240);
    EXPECT_TRUE(world.broken.empty()) << all(world);
    EXPECT_TRUE(world.all_over());
  }
}

// Small deferrable work avoids expensive machines, but does not wait for ever beside one that has room for it and is up
// for other work anyhow.
TEST(FaultRecovery, DeferrableWorkUsesExpensiveMachinesInTheEnd) {
  WorldOptions options;
  options.capacity = {{"small", 0}, {"big", 1}};
  World world(3, options);
  auto price_premium = world.job(Shape::Array, 1, 9, 600);
  price_premium.spot = false;
  world.at(2, [&world, &price_premium] { world.submit(price_premium); });
  world.run(30);
  ASSERT_EQ(world.on_machines().size(), 1U);
  auto deferrable = world.job(Shape::Array, 3, 1, 5);
  deferrable.spot = true;
  deferrable.priority = Priority::Low;
  world.submit(deferrable);
  world.run(60);
  EXPECT_EQ(world.starts_of(deferrable.id), 0) << "it waits for a cheap place at first";
  world.calm();
  world.run(200);
  EXPECT_EQ(world.starts_of(deferrable.id), 3);
  EXPECT_TRUE(world.broken.empty()) << all(world);
}

// Whatever floods of small work come beside them, and whoever leads.
TEST(FaultRecovery, LargestJobsStartWithinFourMinutesBesideAFlood) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    WorldOptions options;
    options.max_machines = 12; // scarce
    options.capacity = {{"big", 6}, {"small", 6}};
    World world(seed, options);
    std::vector<std::string> large;
    for (int i = 0; i < 200; ++i)
      world.at(2 + 1.5 * i, [&world] {
        auto job = world.job(Shape::Array, 12, 1, 10);
        job.spot = true;
        world.submit(job);
      });
    world.at(60, [&] {
      auto gang = world.job(Shape::Gang, 5, 15, 20); // five whole machines of six
      gang.spot = true;
      large.push_back(world.submit(gang));
      auto array = world.job(Shape::Array, 5000, 0.5, 3);
      array.spot = true;
      array.priority = Priority::Low;
      large.push_back(world.submit(array));
    });
    world.at(150, [&world] { world.crash(world.leader(), 1); });
    world.run(60 + 240);
    auto status = world.admin(world.leader(), "GET", "/admin/v1/status");
    world.run(world.now() + 0.5);
    for (const auto &row : status->body["served"]) // what the leader says of it
      if (row["of"] == "largest of class") {
        EXPECT_GT(row["begun"].get<int>(), 0) << row;
      }
    for (const auto &id : large) {
      auto why = world.look_up(world.leader(), id);
      world.run(world.now() + 0.5);
      EXPECT_GT(world.starts_of(id), 0) << "seed " << seed << " " << id << " " << why->body;
    }
    EXPECT_TRUE(world.broken.empty()) << all(world);
  }
}

class FaultSeeds : public ::testing::TestWithParam<int> {};

TEST_P(FaultSeeds, InjectedFaultsBreakNoRuleAndLoseNoJob) {
  const auto seed = static_cast<std::uint64_t>(GetParam());
  World world(seed, with_copies(seed));
  mixed_load(world, 30);
  inject_faults(world, seed, 12, 180);
  world.run(180 + 75);
  EXPECT_EQ(forgotten(world, 1, 30), "");
  world.run(600);
  EXPECT_TRUE(world.broken.empty()) << all(world);
  EXPECT_TRUE(world.all_over()) << world.finished_jobs << " done, " << world.cancelled_jobs << " cancelled of "
                                << world.accepted_jobs;
}

INSTANTIATE_TEST_SUITE_P(FaultRecovery, FaultSeeds, ::testing::Range(1, 1 + seeds(10)));
