// Configuration changes at run time: division of a team's limit among cells, tested against a model of the cells;
// records and the documents of earlier versions; lowered limits under failovers, lost watches and partitions in
// simulated clusters. See docs/safety.md, "Quotas that change".
#include <gtest/gtest.h>

#include <deque>
#include <random>

#include "federation.hpp"
#include "loftrouter/core/quotas/quota_shares.hpp"
#include "loftrouter/wire/admin_configuration.hpp"
#include "scenario.hpp"

using namespace loftrouter;
using namespace loftrouter::test;
using nlohmann::json;

namespace {

const std::vector<std::string> kCells = {"north", "south", "west"};

double sum_held(const wire::QuotaRecord &record) {
  double sum = 0;
  for (const auto &[cell, amounts] : record.held)
    sum += amounts.cpus;
  return sum;
}

// Model of an owner cell and the cells that it sends a quota record to. Messages may be lost, duplicated and delayed. A
// cell applies the record of the highest version it has received, starts tasks up to its cap and ends them slowly.
class CellsModel {
public:
  CellsModel(std::uint64_t seed, double limit) : rng_(seed), platform_limit_{limit, wire::Amounts::kUnlimited} {
    for (const auto &name : kCells)
      cells_[name] = {cells::even_share(platform_limit_, kCells.size()).cpus, 0, {}};
  }

  void step() {
    if (random_fraction() < 0.08) change_limit();
    for (auto &[name, cell] : cells_) {
      const double cap = cell.record.version ? cell.record.caps[name].cpus : cell.cap;
      cell.cap = cap;
      if (random_fraction() < 0.7)
        cell.used = std::max(cell.used, std::floor(cap * random_fraction()));             // starts up to the cap
      if (random_fraction() < 0.3) cell.used = std::floor(cell.used * random_fraction()); // ends
      if (random_fraction() < 0.4) send(name);
    }
    deliver();
    step_owner();
  }
  // The most CPUs that may be in use over all cells under the present caps.
  double max_usage() const {
    double sum = 0;
    for (const auto &[name, cell] : cells_)
      sum += std::max(cell.used, cell.cap);
    return sum;
  }
  double limit() const { return record_.version ? record_.limits.most.cpus : platform_limit_.cpus; }
  const wire::QuotaRecord &record() const { return record_; }
  // Returns whether all cells apply their final share.
  bool converged() const {
    const auto targets = cells::target_shares(record_.limits.most, record_.shares, kCells);
    for (const auto &[name, cell] : cells_)
      if (std::abs(cell.cap - targets.at(name).cpus) > 1e-6) return false;
    return true;
  }
  // Ends changes, message loss, delays and all running tasks.
  void stop_disturbances() {
    undisturbed_ = true;
    for (auto &[name, cell] : cells_)
      cell.used = 0;
  }

private:
  struct Cell {
    double cap, used;
    wire::QuotaRecord record;
  };
  struct Message {
    std::string to;
    wire::QuotaRecord record;
    int delay_steps;
  };
  double random_fraction() { return std::uniform_real_distribution<double>(0, 1)(rng_); }

  void change_limit() {
    if (undisturbed_) return;
    if (record_.version == 0) record_.limits.most = platform_limit_;
    record_.limits.most.cpus = std::floor(platform_limit_.cpus * random_fraction());
    record_.shares.clear();
    if (random_fraction() < 0.5)
      record_.shares[kCells[0]] = {std::floor(record_.limits.most.cpus * random_fraction()), wire::Amounts::kUnlimited};
    cells::lower_caps(record_, kCells, cells::even_share(platform_limit_, kCells.size()));
    cells::raise_caps(record_, kCells);
    ++record_.version;
  }
  void send(const std::string &name) {
    if (record_.version == 0 || (!undisturbed_ && random_fraction() < 0.3)) return;
    for (int copies = !undisturbed_ && random_fraction() < 0.2 ? 2 : 1; copies > 0; --copies)
      messages_.push_back(
          {name, record_, undisturbed_ ? 0 : static_cast<int>(random_fraction() * random_fraction() * 40)});
  }
  void deliver() {
    for (auto &message : messages_) {
      if (message.delay_steps-- > 0) continue;
      Cell &cell = cells_[message.to];
      if (message.record.version > cell.record.version) cell.record = message.record;
      if (message.record.version != cell.record.version) continue;
      cell.cap = cell.record.caps[message.to].cpus;
      acknowledged_[message.to] = {cell.record.version, cell.used <= cell.cap}; // acknowledgement, received at once
    }
    std::erase_if(messages_, [](const Message &message) { return message.delay_steps < 0; });
  }
  void step_owner() {
    if (record_.version == 0) return;
    auto next = record_;
    bool changed = false;
    for (const auto &[name, acknowledgement] : acknowledged_)
      if (acknowledgement.first == record_.version && acknowledgement.second) changed |= cells::acknowledge(next, name);
    changed |= cells::raise_caps(next, kCells);
    if (!changed) return;
    ++next.version;
    record_ = next;
  }

  std::mt19937_64 rng_;
  wire::Amounts platform_limit_;
  bool undisturbed_ = false;
  wire::QuotaRecord record_; // in the owner cell
  std::map<std::string, Cell> cells_;
  std::vector<Message> messages_;
  std::map<std::string, std::pair<std::uint64_t, bool>> acknowledged_; // by cell: version, and usage within the cap
};

TEST(ConfigShares, UsageStaysWithinHeldAmountsAndHeldAmountsWithinTheLimit) {
  for (std::uint64_t seed = 1; seed <= static_cast<std::uint64_t>(seeds(150)); ++seed) {
    CellsModel model(seed, 90);
    double max_held = model.limit(); // decreases towards a lowered limit
    for (int step = 0; step < 300; ++step) {
      model.step();
      const bool has_record = model.record().version > 0;
      const double held = has_record ? sum_held(model.record()) : 90;
      max_held = std::max(model.limit(), std::min(max_held, held));
      ASSERT_LE(model.max_usage(), held + 1e-6) << "seed " << seed << " step " << step;
      ASSERT_LE(held, max_held + 1e-6) << "seed " << seed << " step " << step
                                       << ": held rose while it was above the limit";
    }
    model.stop_disturbances();
    for (int step = 0; step < 200 && model.record().version > 0 && !model.converged(); ++step)
      model.step();
    EXPECT_TRUE(model.record().version == 0 || model.converged()) << "seed " << seed;
  }
}

TEST(ConfigShares, SharesAreValidatedAndOwnersSpreadOverCells) {
  const auto targets =
      cells::target_shares({90, wire::Amounts::kUnlimited}, {{"south", {60, wire::Amounts::kUnlimited}}}, kCells);
  EXPECT_EQ(targets.at("south").cpus, 60);
  EXPECT_EQ(targets.at("north").cpus, 15);
  EXPECT_TRUE(std::isinf(targets.at("west").gpus));
  EXPECT_TRUE(cells::validate_shares({90, 0}, {{"east", {1, 0}}}, kCells));
  EXPECT_TRUE(cells::validate_shares({90, 0}, {{"north", {50, 0}}, {"south", {50, 0}}}, kCells));
  EXPECT_FALSE(cells::validate_shares({90, 0}, {{"north", {50, 0}}, {"south", {40, 0}}}, kCells));
  std::map<std::string, int> owned;
  for (int number = 0; number < 230; ++number)
    ++owned[cells::owner_cell("team" + std::to_string(number), kCells)];
  for (const auto &name : kCells)
    EXPECT_GT(owned[name], 50) << name;
}

TEST(ConfigRecords, RoundTripAndMalformedRecordsAreRejected) {
  wire::QuotaRecord record;
  record.version = 7;
  record.limits = {{4, 0}, {90, wire::Amounts::kUnlimited}};
  record.shares["north"] = {50, 2};
  record.caps["north"] = {40, wire::Amounts::kUnlimited};
  record.held["north"] = {45, 1};
  record.history.push_back({123, 1.7e9, record.limits});
  const auto decoded = wire::quota_from_json(wire::to_json(record));
  ASSERT_TRUE(decoded);
  EXPECT_EQ(wire::to_json(*decoded), wire::to_json(record));
  EXPECT_LT(wire::to_json(record).dump().size(), 500U);
  auto malformed = wire::to_json(record);
  malformed["caps"]["north"]["cpus"] = -1;
  EXPECT_FALSE(wire::quota_from_json(malformed));
  EXPECT_FALSE(wire::quota_from_json({{"version", "7"}}));
  EXPECT_FALSE(wire::quota_from_json(nullptr));
  EXPECT_FALSE(wire::applied_from_json({{"revision", -1}, {"at", 1}}));
  EXPECT_FALSE(wire::forwarded_from_json({{"team", "red"}, {"change", {{"cpus", "x"}}}}));
  const json forwarded = {{"team", "red"}, {"change", {{"cpus_max", 4}}}, {"status", 200}};
  ASSERT_TRUE(wire::forwarded_from_json(forwarded));
  EXPECT_EQ(wire::forwarded_from_json(forwarded)->status, 200);
  for (const json &status : {json(1e300), json(-1e300), json(4'000'000'000U), json(-7), json("200")}) {
    auto malformed_status = forwarded;
    malformed_status["status"] = status;
    EXPECT_EQ(wire::forwarded_from_json(malformed_status)->status, 0) << status;
  }
}

WorldOptions configuration_options() {
  WorldOptions options;
  options.configuration = true;
  options.accounts = true;
  options.min_fetch = options.max_fetch = 0.05; // tasks start soon after they are sent
  return options;
}

// Requests a quota change and returns the HTTP status. `simulation` is the world or the federation that contains it.
template <class Simulation>
int put_quota(Simulation &simulation, World &world, int node, const std::string &team, const std::string &body,
              double within_s = 10) {
  const auto answer = world.admin(node, "PUT", "/admin/v1/quotas/" + team, body);
  const double until = simulation.now() + within_s;
  while (answer->status == 0 && simulation.now() < until)
    simulation.run(simulation.now() + 0.05);
  return answer->status;
}

int put_quota(World &world, int node, const std::string &team, const std::string &body) {
  return put_quota(world, world, node, team, body);
}

json admin_get(World &world, int node, const std::string &target) {
  const auto answer = world.admin(node, "GET", target);
  const double until = world.now() + 3;
  while (answer->status == 0 && world.now() < until)
    world.run(world.now() + 0.05);
  return answer->body;
}

// Tracks the CPUs used by a team's tasks on machines.
class TeamUsage {
public:
  explicit TeamUsage(World &world, const std::string &team) : world_(world), team_(team) {
    world.started = [this](const World::On &task) { count(task, 1); };
    world.stopped = [this](const World::On &task) { count(task, -1); };
  }
  double cpus = 0;
  double max_after_start = 0; // since it was last reset

private:
  void count(const World::On &task, int sign) {
    const auto *job = world_.own(task.job);
    if (!job || job->spec.team != team_) return;
    cpus += sign * job->spec.need.cpus;
    if (sign > 0) max_after_start = std::max(max_after_start, cpus);
  }
  World &world_;
  std::string team_;
};

TEST(Config, LoweredLimitPreventsStartsAndStopsTasksWithTimeToSave) {
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    World world(seed, configuration_options());
    TeamUsage usage(world, "blue"); // limited to 12 CPUs by the settings file
    for (int second = 5; second < 11; ++second)
      world.at(second, [&world] {
        auto job = world.job(Shape::Array, 6, 1, 100, "blue");
        job.checkpoint_s = 5;
        job.save_s = 2;
        world.submit(job);
      });
    world.run(60);
    ASSERT_GT(usage.cpus, 8) << "the load is too low for this test";
    ASSERT_EQ(put_quota(world, 1, "blue", R"({"cpus_max": 4})"), 200);
    world.run(world.now() + 1); // until the leader's watch has delivered the change
    usage.max_after_start = 0;
    world.run(world.now() + 20);
    EXPECT_LE(usage.max_after_start, 4) << "a task was started beyond the lowered limit";
    EXPECT_GT(usage.cpus, 4) << "tasks were stopped before the end of the grace period";
    world.run(world.now() + 30);
    EXPECT_LE(usage.cpus, 4);
    EXPECT_GT(world.saves, 0);
    ASSERT_EQ(put_quota(world, 2, "blue", R"({"cpus_max": null})"), 200);
    world.run(world.now() + 60);
    EXPECT_GT(usage.cpus, 8) << "no tasks were started after the limit was raised";
    EXPECT_TRUE(world.broken.empty()) << test::all(world);
  }
}

TEST(Config, FailoverKeepsTheNewestAcknowledgedLimit) {
  for (int step = 0; step < 8; ++step)
    for (bool lose_watches : {false, true}) {
      World world(static_cast<std::uint64_t>(step) + 1, configuration_options());
      TeamUsage usage(world, "blue");
      for (int second = 5; second < 13; ++second)
        world.at(second, [&world] { world.submit(world.job(Shape::Array, 6, 1, 15, "blue")); });
      world.run(40);
      const int leader = world.leader();
      ASSERT_GE(leader, 0);
      world.lose_watches = lose_watches;
      ASSERT_EQ(put_quota(world, leader, "blue", R"({"cpus_max": 3})"), 200); // acknowledged by the leader itself
      world.run(world.now() + 0.2 * step);
      world.crash(leader, 2);
      world.run(world.now() + 0.5); // until the old leader's commands have arrived
      usage.max_after_start = 0;
      world.run(world.now() + 60);
      EXPECT_LE(usage.max_after_start, 3) << "step " << step << (lose_watches ? ", watches lost" : "");
      EXPECT_TRUE(world.broken.empty()) << test::all(world);
    }
}

TEST(Config, ChangesReachEveryNodeWithAndWithoutWatches) {
  for (bool lose_watches : {false, true}) {
    World world(5, configuration_options());
    world.run(10);
    world.lose_watches = lose_watches;
    ASSERT_EQ(put_quota(world, 0, "red", R"({"cpus_max": 77})"), 200);
    world.run(world.now() + (lose_watches ? 10 : 1));
    for (int node = 0; node < 3; ++node)
      EXPECT_EQ(admin_get(world, node, "/admin/v1/quotas")["teams"]["red"]["cpus_max"], 77) << node;
    world.run(world.now() + 5);
    const auto status = admin_get(world, 1, "/admin/v1/configuration");
    ASSERT_EQ(status["records"].size(), 1U) << status;
    EXPECT_EQ(status["records"][0]["in_force_since"].size(), 3U) << status;
    EXPECT_EQ(admin_get(world, 2, "/admin/v1/configuration/history/quota/red")["changes"].size(), 1U);
  }
}

TEST(Config, InvalidChangesAreRejected) {
  World world(6, configuration_options());
  world.run(10);
  EXPECT_EQ(put_quota(world, 0, "blue", R"({"cpus_max": 13})"), 422) << "limit above that of the settings file";
  EXPECT_EQ(put_quota(world, 0, "blue", R"({"cpus_max": 3, "cpus": 4})"), 422) << "guarantee above the limit";
  EXPECT_EQ(put_quota(world, 0, "nobody", R"({"cpus_max": 3})"), 422);
  EXPECT_EQ(put_quota(world, 0, "blue", R"({"shares": {"elsewhere": {"cpus": 1}}})"), 422);
  EXPECT_EQ(put_quota(world, 0, "blue", R"({"cpus_max": -3})"), 400);
  EXPECT_EQ(put_quota(world, 0, "blue", R"({"cpu_max": 3})"), 400);
  EXPECT_EQ(put_quota(world, 0, "blue", "[]"), 400);
  EXPECT_EQ(put_quota(world, 0, "blue", R"({"cpus_max": 3, "version": 0})"), 200);
  EXPECT_EQ(put_quota(world, 1, "blue", R"({"cpus_max": 5, "version": 0})"), 409) << "stale version";
  world.run(world.now() + 1);
  EXPECT_EQ(put_quota(world, 1, "blue", R"({"cpus_max": 5, "version": 1})"), 200);
  world.outage(20);
  world.run(world.now() + 1);
  EXPECT_EQ(put_quota(world, 1, "blue", R"({"cpus_max": 6})"), 503);
  EXPECT_TRUE(world.broken.empty()) << test::all(world);
}

TEST(Config, JobLargerThanEveryShareShowsTheReason) {
  std::vector<WorldOptions> options(2, configuration_options());
  Federation federation(3, options);
  std::string id;
  federation[0].at(5, [&] { // 8 CPUs; the limit over both cells is 12, each share 6
    id = federation[0].submit(federation[0].job(Shape::Gang, 4, 2, 10, "blue"));
  });
  federation.run(30);
  const auto pending = federation[0].look_up(federation[0].leader(), id);
  federation.run(31);
  EXPECT_NE(pending->body.value("reason", "").find("no cell has a larger share than 6"), std::string::npos)
      << pending->body;
  EXPECT_EQ(put_quota(federation, federation[0], 0, "blue", R"({"cpus_max": 7})"), 200);
  federation.run(federation.now() + 5);
  const auto refused = federation[0].submit_at(0, federation[0].job(Shape::Gang, 4, 2, 10, "blue"));
  federation.run(federation.now() + 2);
  EXPECT_EQ(refused->status, 422) << "the gang needs 8 CPUs; the limit over all cells is 7";
}

// Random changes under lost, duplicated and delayed messages, partitions and restarts: usage over all cells never
// exceeds the settings file's limit (tests/federation.cpp checks it at each start), and all nodes converge.
TEST(Config, LimitOverAllCellsHoldsUnderRandomFailures) {
  for (std::uint64_t seed = 1; seed <= static_cast<std::uint64_t>(seeds(2)); ++seed) {
    Federation federation(seed, std::vector<WorldOptions>(3, configuration_options()), seed % 3 == 0 ? 0.0 : 0.03);
    std::mt19937_64 rng(seed);
    auto random_below = [&rng](int below) { return std::uniform_int_distribution<int>(0, below - 1)(rng); };
    for (int cell = 0; cell < 3; ++cell)
      for (int job = 0; job < 10; ++job)
        federation[cell].at(5 + 8 * job, [&federation, cell] {
          federation[cell].submit(federation[cell].job(Shape::Array, 8, 1, 10, "blue"));
        });
    int accepted = 0;
    for (int round = 0; round < 12; ++round) {
      federation.run(15 + 7 * round);
      const int cell = random_below(3), node = random_below(3);
      if (random_below(4) == 0) federation[random_below(3)].crash(random_below(3), 2);
      if (random_below(4) == 0) federation.cut(random_below(3), random_below(3), 10);
      json change = {{"cpus_max", 1 + random_below(12)}};
      if (random_below(3) == 0) change["shares"] = {{Federation::name(random_below(3)), {{"cpus", 1}}}};
      accepted += put_quota(federation, federation[cell], node, "blue", change.dump(), 3) == 200;
    }
    EXPECT_GT(accepted, 0) << "seed " << seed;
    federation.run(150);
    int final_status = 0;
    for (int attempt = 0; attempt < 10 && final_status != 200; ++attempt) {
      const auto answer = federation[1].admin(0, "PUT", "/admin/v1/quotas/blue", R"({"cpus_max": 9, "shares": null})");
      federation.run(federation.now() + 9);
      final_status = answer->status;
    }
    EXPECT_EQ(final_status, 200) << "seed " << seed;
    federation.run(federation.now() + 60);
    for (int cell = 0; cell < 3; ++cell)
      for (int node = 0; node < 3; ++node) {
        const auto answer = federation[cell].admin(node, "GET", "/admin/v1/quotas");
        federation.run(federation.now() + 0.1);
        const auto blue = answer->body["teams"]["blue"];
        EXPECT_EQ(blue["cpus_max"], 9) << "seed " << seed << " cell " << cell << " node " << node << blue;
        EXPECT_EQ(blue["here"]["cpus_max"], 3) << "seed " << seed << " cell " << cell << " node " << node << blue;
      }
    EXPECT_TRUE(federation.broken().empty()) << "seed " << seed << "\n" << federation.broken().front();
  }
}

// A partitioned cell keeps its share, which no other cell gets, and catches up soon after the partition.
TEST(Config, PartitionedCellKeepsItsShareAndCatchesUp) {
  Federation federation(4, std::vector<WorldOptions>(3, configuration_options()));
  federation.run(20);
  const std::vector<std::string> names = {Federation::name(0), Federation::name(1), Federation::name(2)};
  const auto owner =
      static_cast<int>(std::find(names.begin(), names.end(), cells::owner_cell("blue", names)) - names.begin());
  const int partitioned = (owner + 1) % 3, other = (owner + 2) % 3;
  federation.cut(partitioned, owner, 60);
  federation.cut(partitioned, other, 60);
  const auto change = json{{"shares", {{names[static_cast<std::size_t>(other)], {{"cpus", 8}}}}}}.dump();
  ASSERT_EQ(put_quota(federation, federation[other], 0, "blue", change), 200); // forwarded to the owner
  federation.run(40);
  auto local_limit = [&federation](int cell) {
    const auto answer = federation[cell].admin(0, "GET", "/admin/v1/quotas");
    federation.run(federation.now() + 0.2);
    return answer->body["teams"]["blue"]["here"]["cpus_max"].get<double>();
  };
  EXPECT_EQ(local_limit(owner), 2) << "the owner lowers its own share immediately";
  EXPECT_EQ(local_limit(partitioned), 4) << "a partitioned cell keeps its share";
  EXPECT_EQ(local_limit(other), 6) << "raised by no more than the owner has given up";
  federation.run(95); // 15 s after the partition
  EXPECT_EQ(local_limit(partitioned), 2);
  EXPECT_EQ(local_limit(other), 8);
  EXPECT_TRUE(federation.broken().empty()) << federation.broken().front();
}

// ---- records and the documents of earlier versions ----

TEST(ConfigDocuments, StayWithinEightKilobytesWithManyTeamsAndMachines) {
  auto options = configuration_options();
  options.teams.clear();
  for (int number = 0; number < 230; ++number)
    options.teams.push_back({"team" + std::to_string(number), 0, 0, 0, 0});
  options.page = 200;
  options.state_rps = options.state_write_rps = 5000;
  World world(7, options);
  world.run(10);
  for (int first = 0; first < 230; first += 23) {
    json teams;
    for (int number = first; number < first + 23; ++number)
      teams["team" + std::to_string(number)] = {{"cpu_hours", 1000 + number}};
    const auto answer = world.admin(0, "PUT", "/admin/v1/budgets", json{{"teams", teams}}.dump());
    world.run(world.now() + 3);
    ASSERT_EQ(answer->status, 200) << answer->body;
  }
  for (int number = 0; number < 880; ++number) // records that are not mirrored in the full document
    world.put_record("config/machine/box-" + std::to_string(number), {{"value", "drain"}, {"in_document", false}});
  for (int number = 880; number < 1000; ++number) {
    const auto answer = world.admin(number % 3, "POST", "/admin/v1/machines/box-" + std::to_string(number) + "/drain");
    world.run(world.now() + 0.15);
    ASSERT_EQ(answer->status, 200) << number << " " << answer->body;
  }
  world.run(world.now() + 2);
  for (int node = 0; node < 3; ++node) {
    const auto budgets = admin_get(world, node, "/admin/v1/budgets")["teams"];
    ASSERT_EQ(budgets.size(), 230U) << node;
    EXPECT_EQ(budgets["team229"]["cpu_hours"], 1229);
    EXPECT_EQ(admin_get(world, node, "/admin/v1/settings")["machines"].size(), 1000U) << node;
  }
  // The documents stay within the bounds of earlier versions.
  for (const auto &document : world.records("conf/"))
    EXPECT_LE(document.value.dump().size(), 8U * 1024) << document.key;
  wire::Budgets document_budgets;
  EXPECT_FALSE(wire::apply_budgets(world.records("conf/budgets").at(0).value, document_budgets));
  EXPECT_EQ(document_budgets.teams.size(), 100U);
  EXPECT_TRUE(world.broken.empty()) << test::all(world);
}

TEST(ConfigDocuments, ChangesByEarlierVersionsTakeEffect) {
  World world(8, configuration_options());
  world.run(10);
  auto change = [&world](const std::string &method, const std::string &target, const std::string &body = "") {
    const auto answer = world.admin(0, method, target, body);
    world.run(world.now() + 1);
    EXPECT_EQ(answer->status, 200) << answer->body;
  };
  change("PUT", "/admin/v1/budgets", R"({"teams": {"red": {"cpu_hours": 5}, "blue": {"cpu_hours": 6}}})");
  change("POST", "/admin/v1/machines/box-1/drain");
  change("POST", "/admin/v1/machines/box-2/drain");
  // Earlier versions write whole documents and no records.
  auto budgets = world.records("conf/budgets").at(0).value;
  budgets["teams"]["red"]["cpu_hours"] = 9;
  budgets["teams"].erase("blue");
  world.put_record("conf/budgets", budgets);
  world.put_record("conf/machines", {{"box-2", "quarantine"}, {"box-3", "drain"}});
  world.run(world.now() + 8);
  for (int node = 0; node < 3; ++node) {
    const auto teams = admin_get(world, node, "/admin/v1/budgets")["teams"];
    EXPECT_EQ(teams, json({{"red", {{"cpu_hours", 9.0}, {"warn_share", 0.8}, {"when_spent", "finish"}}}})) << node;
    EXPECT_EQ(admin_get(world, node, "/admin/v1/settings")["machines"],
              json({{"box-2", "quarantine"}, {"box-3", "drain"}}));
  }
  change("PUT", "/admin/v1/budgets", R"({"teams": {"red": null, "blue": {"cpu_hours": 7}}})");
  change("POST", "/admin/v1/machines/box-2/release");
  EXPECT_EQ(world.records("conf/budgets").at(0).value["teams"].size(), 1U) << "records are mirrored in the document";
  EXPECT_EQ(admin_get(world, 1, "/admin/v1/budgets")["teams"]["blue"]["cpu_hours"], 7);
  EXPECT_EQ(admin_get(world, 2, "/admin/v1/settings")["machines"], json({{"box-3", "drain"}}));
}

// Guards against the end of every controller, at each start anew, by a stored entry with a field of another type.
TEST(ConfigDocuments, EntryWithAFieldOfAnotherTypeIsIgnored) {
  for (const json &in_document : {json("yes"), json(1), json(nullptr), json::array({true})}) {
    World world(9, configuration_options());
    world.put_record("conf/machines", {{"box-2", "quarantine"}});
    world.put_record("config/machine/box-1", {{"value", "drain"}, {"in_document", in_document}});
    world.put_record("config/machine/box-2", {{"value", "drain"}, {"in_document", in_document}});
    world.put_record("config/budget/red", {{"value", {{"cpu_hours", 5}}}, {"in_document", in_document}});
    world.run(10);
    world.crash(0, 1);
    world.run(20);
    for (int node = 0; node < 3; ++node) {
      EXPECT_EQ(admin_get(world, node, "/admin/v1/budgets")["teams"], json::object()) << in_document;
      EXPECT_EQ(admin_get(world, node, "/admin/v1/settings")["machines"], json({{"box-2", "quarantine"}}))
          << in_document;
    }
  }
}

// Guards against the end of a leader by a message of another cell with a field of another type.
TEST(ConfigDocuments, QuotaMessageWithAFieldOfAnotherTypeIsIgnored) {
  Federation federation(5, std::vector<WorldOptions>(2, configuration_options()));
  federation.run(20);
  const json record = wire::to_json(wire::QuotaRecord{});
  const std::vector<json> bodies = {{{"team", 7}, {"record", record}},
                                    {{"team", nullptr}, {"record", record}},
                                    {{"team", {{"red", 1}}}, {"record", record}},
                                    {{"record", record}},
                                    {{"team", "red"}, {"record", 3}},
                                    json::array({"team", "record"})};
  for (const auto &body : bodies)
    for (int node = 0; node < 3; ++node) {
      core::CellMessageCommand command{-1, 0, {}};
      command.message.kind = wire::CellMessage::Kind::Quota;
      command.message.from = Federation::name(1);
      command.message.to = Federation::name(0);
      command.message.version = 1;
      command.message.body = wire::encode(body);
      federation[0].deliver_cell(node, std::move(command), 0.1);
    }
  federation.run(25);
  EXPECT_EQ(put_quota(federation, federation[0], 0, "blue", R"({"cpus_max": 9})"), 200);
  EXPECT_TRUE(federation.broken().empty()) << federation.broken().front();
}

// ---- limits on records and responses ----

constexpr std::size_t kMaxResponseBytes = 64 * 1024;

std::string machine_name(int number) {
  char name[16];
  std::snprintf(name, sizeof name, "n-%06d", number);
  return name;
}

// Reads all pages of a listing and checks the size of each.
template <class Add> void read_pages(World &world, int node, const std::string &target, Add add) {
  std::string from;
  do {
    const auto page = admin_get(world, node, target + (from.empty() ? "" : "?from=" + from));
    ASSERT_TRUE(page.is_object()) << target << " after " << from;
    ASSERT_LE(page.dump(2).size(), kMaxResponseBytes) << target << " after " << from;
    add(page);
    from = page["next"].is_string() ? page["next"].get<std::string>() : "";
  } while (!from.empty());
}

std::size_t count_machine_states(World &world, int node) {
  json machines = json::object();
  read_pages(world, node, "/admin/v1/settings", [&machines](const json &page) { machines.update(page["machines"]); });
  return machines.size();
}

// Model of an operator's script: sends one request per machine, several concurrently, and retries until each returns
// 200.
class MachineScript {
public:
  MachineScript(World &world, const std::string &action, int machines) : world_(world), action_(action) {
    for (int number = 0; number < machines; ++number)
      waiting_.push_back(machine_name(number));
  }
  // Runs until at most `max_left` machines are left or `within_s` has passed.
  void run(std::size_t max_left, double within_s) {
    const double until = world_.now() + within_s;
    while (waiting_.size() + pending_.size() > max_left && world_.now() < until) {
      while (!waiting_.empty() && pending_.size() < kMaxConcurrent)
        send_next();
      world_.run(world_.now() + 0.05);
      handle_responses();
    }
  }
  std::size_t left() const { return waiting_.size() + pending_.size(); }
  std::size_t largest_response() const { return largest_response_; }

private:
  static constexpr std::size_t kMaxConcurrent = 6;
  static constexpr double kTimeoutS = 3.0;
  struct Request {
    std::string machine;
    double sent_at;
    std::shared_ptr<World::Answer> answer;
  };

  void send_next() {
    const auto machine = waiting_.front();
    waiting_.pop_front();
    next_node_ = (next_node_ + 1) % 3;
    pending_.push_back(
        {machine, world_.now(), world_.admin(next_node_, "POST", "/admin/v1/machines/" + machine + action_)});
  }
  void handle_responses() {
    std::erase_if(pending_, [this](const Request &request) {
      const int status = request.answer->status;
      if (status == 0 && world_.now() - request.sent_at < kTimeoutS) return false;
      largest_response_ = std::max(largest_response_, request.answer->body.dump(2).size());
      if (status != 200) waiting_.push_back(request.machine);
      return true;
    });
  }

  World &world_;
  std::string action_;
  std::deque<std::string> waiting_;
  std::vector<Request> pending_;
  int next_node_ = 0;
  std::size_t largest_response_ = 0;
};

WorldOptions thousands_of_machines() {
  auto options = configuration_options();
  options.page = 1000; // maximum page size of the state service
  options.state_write_rps = 60;
  return options;
}

TEST(ConfigLimits, FourThousandMachinesAreQuarantinedAcrossFailoversAndReleased) {
  constexpr int kMachines = 4000;
  World world(9, thousands_of_machines());
  world.run(10);
  MachineScript quarantine(world, "/quarantine", kMachines);
  quarantine.run(kMachines / 2, 300);
  ASSERT_GE(world.leader(), 0);
  world.crash(world.leader(), 3);
  quarantine.run(0, 300);
  ASSERT_EQ(quarantine.left(), 0U);
  RecordProperty("quarantine_took_s", static_cast<int>(world.now() - 10));
  EXPECT_LE(quarantine.largest_response(), kMaxResponseBytes);
  EXPECT_EQ(world.records("config/machine/").size(), static_cast<std::size_t>(kMachines));
  const auto document = world.records("conf/machines").at(0).value;
  EXPECT_EQ(document.size(), 100U) << "earlier versions read at most 100 machines";
  EXPECT_LE(document.dump().size(), 8U * 1024);

  // After a failover the new leader starts no task on a quarantined machine.
  const int old_leader = world.leader();
  ASSERT_GE(old_leader, 0);
  world.crash(old_leader, 10);
  world.run(world.now() + 15);
  ASSERT_GE(world.leader(), 0);
  EXPECT_NE(world.leader(), old_leader);
  world.submit(world.job(Shape::Array, 4, 1, 5));
  world.run(world.now() + 40);
  EXPECT_EQ(world.starts, 0);
  for (int node = 0; node < 3; ++node) {
    EXPECT_EQ(count_machine_states(world, node), static_cast<std::size_t>(kMachines)) << node;
    std::size_t records = 0, in_force = 0;
    read_pages(world, node, "/admin/v1/configuration", [&](const json &page) {
      records += page["records"].size();
      for (const auto &record : page["records"])
        in_force += record["in_force_since"].size();
    });
    EXPECT_EQ(records, static_cast<std::size_t>(kMachines)) << node;
    EXPECT_EQ(in_force, 3U * kMachines) << node;
  }

  MachineScript release(world, "/release", kMachines);
  release.run(0, 600);
  ASSERT_EQ(release.left(), 0U);
  world.run(world.now() + 40);
  for (int node = 0; node < 3; ++node)
    EXPECT_EQ(count_machine_states(world, node), 0U) << node;
  EXPECT_TRUE(world.records("config/machine/").empty());
  EXPECT_TRUE(world.records("conf/machines").at(0).value.empty());
  EXPECT_EQ(world.finished_jobs, 1) << "machines accept tasks again";
  EXPECT_TRUE(world.broken.empty()) << test::all(world);
}

TEST(ConfigLimits, RecordsBeyondTheMaximumAreRejected) {
  constexpr int kMax = static_cast<int>(wire::kMaxConfigRecords);
  static_assert(kMax >= 11'000);
  World world(10, thousands_of_machines());
  for (int number = 0; number < kMax - 1; ++number)
    world.put_record("config/machine/" + machine_name(number), {{"value", "drain"}, {"in_document", false}});
  world.run(40); // past the first and a periodic list
  auto set_state = [&world](int number, const std::string &action) {
    const auto answer = world.admin(1, "POST", "/admin/v1/machines/" + machine_name(number) + action);
    world.run(world.now() + 1);
    return answer->status;
  };
  EXPECT_EQ(set_state(kMax - 1, "/drain"), 200);
  EXPECT_EQ(set_state(kMax, "/drain"), 409);
  EXPECT_EQ(set_state(0, "/quarantine"), 200) << "an existing record can be changed";
  EXPECT_EQ(set_state(1, "/release"), 200);
  EXPECT_EQ(set_state(kMax, "/drain"), 200);
  world.crash(2, 1); // restarts and loads all records
  world.run(world.now() + 10);
  for (int node = 0; node < 3; ++node)
    EXPECT_EQ(count_machine_states(world, node), wire::kMaxConfigRecords) << node;
  EXPECT_TRUE(world.broken.empty()) << test::all(world);
}

TEST(ConfigLimits, ListContinuationIsValidated) {
  const auto status_of = [](const std::string &target) {
    const auto read = wire::read_admin_request("GET", target, "");
    const auto *error = std::get_if<wire::AdminError>(&read);
    return error ? error->status : 200;
  };
  EXPECT_EQ(status_of("/admin/v1/settings?from=n-000123"), 200);
  EXPECT_EQ(status_of("/admin/v1/configuration?from=machine/n-000123"), 200);
  EXPECT_EQ(status_of("/admin/v1/settings?from="), 400);
  EXPECT_EQ(status_of("/admin/v1/settings?from=" + std::string(201, 'n')), 400);
  EXPECT_EQ(status_of("/admin/v1/settings?from=a b"), 400);
  EXPECT_EQ(status_of("/admin/v1/jobs?from=j-000123"), 200);
  for (const std::string list : {"jobs", "foreseen", "report", "statement"})
    EXPECT_EQ(status_of("/admin/v1/" + list + "?from=machine/n-000123"), 400) << list;
}

} // namespace
