#include "scenarios.hpp"

#include <algorithm>
#include <array>
#include <memory>
#include <random>

#include "../federation.hpp"
#include "../scenario.hpp"

namespace loftrouter::fingerprint {

namespace {

using test::Federation;
using test::World;
using test::WorldOptions;
using Cut = World::Cut;

constexpr int kNodes = 3;

// Whole numbers that are the same on every platform, unlike the standard library's distributions.
class Draw {
public:
  explicit Draw(std::uint64_t seed) : engine_(seed * 7919 + 17) {}
  int below(int bound) { return static_cast<int>(engine_() % static_cast<unsigned>(bound)); }
  bool one_in(int count) { return below(count) == 0; }
  double between(int least, int most) { return least + below(most - least + 1); }

private:
  std::mt19937_64 engine_;
};

// Events that are scheduled in a world share it.
using SharedDraw = std::shared_ptr<Draw>;
SharedDraw shared_draw(std::uint64_t seed) {
  return std::make_shared<Draw>(seed);
}

void record(World &world, EffectsHash &hash, int cell = 0) {
  world.on_effects = [&hash, cell](int node, double now, const core::Effects &effects) {
    hash.add({cell, node}, now, effects);
  };
}

void record(Federation &federation, EffectsHash &hash) {
  for (int cell = 0; cell < federation.size(); ++cell)
    record(federation[cell], hash, cell);
}

// ---- load ----

// A job of any shape, size and kind.
JobSpec any_job(World &world, Draw &draw) {
  constexpr std::array kShapes{Shape::Array, Shape::Array, Shape::Array, Shape::Gang, Shape::Service};
  const auto shape = kShapes[static_cast<std::size_t>(draw.below(kShapes.size()))];
  const auto tasks = static_cast<std::uint32_t>(shape == Shape::Array ? 1 + draw.below(16) : 1 + draw.below(3));
  auto spec = world.job(shape, tasks, 0.5 * (1 + draw.below(6)), draw.between(3, 25), draw.one_in(3) ? "blue" : "red");
  spec.priority = static_cast<Priority>(draw.below(4));
  spec.spread = draw.one_in(5);
  spec.one_zone = shape == Shape::Gang && draw.one_in(2);
  if (draw.one_in(8)) spec.zone = draw.one_in(2) ? "a" : "b";
  if (draw.one_in(8)) spec.types = std::vector<std::string>{draw.one_in(2) ? "small" : "big"};
  if (draw.one_in(4)) spec.deadline_s = draw.between(15, 90);
  if (draw.one_in(3)) {
    spec.checkpoint_s = draw.between(1, 5);
    spec.save_s = draw.between(1, 3);
  }
  return spec;
}

// One of the jobs that were submitted may be cancelled later; one that was accepted may be waited for.
void any_load(World &world, std::uint64_t seed, int jobs, double every_s) {
  const auto draw = shared_draw(seed);
  const auto submitted = std::make_shared<std::vector<std::string>>();
  for (int i = 0; i < jobs; ++i)
    world.at(2 + i * every_s, [&world, draw, submitted] {
      auto spec = any_job(world, *draw);
      if (!submitted->empty() && draw->one_in(3)) {
        const auto &earlier = (*submitted)[static_cast<std::size_t>(draw->below(static_cast<int>(submitted->size())))];
        const auto *needed = world.own(earlier);
        if (needed && needed->accepted && needed->spec.shape != Shape::Service) spec.dependencies = {earlier};
      }
      const bool service = spec.shape == Shape::Service;
      const auto id = world.submit(spec);
      submitted->push_back(id);
      if (service || draw->one_in(5)) world.at(world.now() + draw->between(1, 60), [&world, id] { world.cancel(id); });
    });
}

// Many tasks of a low urgency, gangs of a high one above them.
void preempting_load(World &world, int jobs) {
  for (int i = 0; i < jobs; ++i) {
    world.at(2 + 3 * i, [&world] {
      auto spec = world.job(Shape::Array, 30, 1, 25);
      spec.priority = Priority::Low;
      spec.checkpoint_s = 4;
      spec.save_s = 1;
      world.submit(spec);
    });
    world.at(15 + 5 * i, [&world, i] {
      auto spec = world.job(Shape::Gang, 2, 3, 6, i % 2 ? "blue" : "red");
      spec.priority = i % 3 ? Priority::High : Priority::Production;
      spec.spread = i % 4 == 0;
      world.submit(spec);
    });
  }
}

// ---- users and operators who ask ----

const std::vector<std::string> &admin_pages() {
  static const std::vector<std::string> pages{"status",
                                              "jobs",
                                              "jobs?team=red",
                                              "foreseen",
                                              "report?period_s=3600",
                                              "settings",
                                              "budgets",
                                              "statement",
                                              "cells",
                                              "quotas",
                                              "statement?team=blue",
                                              "configuration",
                                              "configuration/history/quota/red"};
  return pages;
}

// Each page of the administration API in turn, at each node in turn.
void ask_admin(World &world, double from, double until, double every_s) {
  int question = 0;
  for (double t = from; t < until; t += every_s, ++question)
    world.at(t, [&world, question] {
      const auto &pages = admin_pages();
      world.admin(question % kNodes, "GET", "/admin/v1/" + pages[static_cast<std::size_t>(question) % pages.size()]);
      world.up(question % kNodes);
    });
}

void change(World &world, double t, int node, const std::string &method, const std::string &path,
            const std::string &body = "") {
  world.at(t, [&world, node, method, path, body] { world.admin(node, method, "/admin/v1/" + path, body); });
}

std::string machine_name(int number) {
  char name[16];
  std::snprintf(name, sizeof name, "n-%06d", number);
  return name;
}

void change_machines(World &world, Draw &draw, double from, double until) {
  constexpr std::array kOrders{"drain", "quarantine", "release"};
  for (double t = from; t < until; t += draw.between(4, 12))
    change(world, t, draw.below(kNodes), "POST",
           "machines/" + machine_name(draw.below(12)) + "/" + kOrders[static_cast<std::size_t>(draw.below(3))]);
}

void change_quotas(World &world, Draw &draw, double from, double until) {
  for (double t = from; t < until; t += draw.between(6, 15)) {
    nlohmann::json body = {{"cpus_max", 2 + draw.below(11)}};
    if (draw.one_in(3)) body["cpus"] = draw.below(3);
    if (draw.one_in(5)) body["version"] = draw.below(4); // sometimes the present one
    if (draw.one_in(6)) body["cpus_max"] = nullptr;
    change(world, t, draw.below(kNodes), "PUT", draw.one_in(4) ? "quotas/red" : "quotas/blue", body.dump());
  }
}

void change_settings(World &world, Draw &draw, double from, double until) {
  for (double t = from; t < until; t += draw.between(20, 40)) {
    const nlohmann::json settings = {{"age_weight", 0.01 * draw.below(50)}, {"image_weight", 0.1 * draw.below(9)}};
    change(world, t, draw.below(kNodes), "PUT", "settings", settings.dump());
    const nlohmann::json budget = {{"cpu_hours", 0.02 * (1 + draw.below(30))},
                                   {"when_spent", draw.one_in(2) ? "stop" : "finish"}};
    change(world, t + 3, draw.below(kNodes), "PUT", "budgets", nlohmann::json{{"teams", {{"blue", budget}}}}.dump());
  }
}

// ---- faults ----

// Faults of machines and links, also more than one at a time.
void any_fault(World &world, Draw &draw) {
  const int node = draw.one_in(3) ? draw.below(kNodes) : std::max(0, world.leader());
  const double for_s = draw.between(2, 30);
  const auto how = static_cast<Cut>(draw.below(6));
  switch (draw.below(14)) {
  case 0:
    return world.cut_inbound(0.1 * draw.between(1, 5), for_s);
  case 1:
    return world.isolate(node, for_s, how);
  case 2:
    return world.crash(node, 0.1 * draw.between(1, 40));
  case 3:
    return world.restart_machines(0.1 * draw.between(1, 5));
  case 4:
    return world.outage(for_s);
  case 5:
    return world.cut_outbound(0.1 * draw.between(1, 6), for_s);
  case 6:
    return world.cut_state(node, for_s, how);
  case 7:
    return world.cut_cloud(node, for_s, how);
  case 8:
    return world.stall(node, for_s, draw.one_in(2));
  case 9:
    return world.cut_workers(node, for_s, draw.one_in(2));
  case 10:
    return world.cut_apart(node, (node + 1) % kNodes, for_s, draw.one_in(2) ? Cut::Drop : Cut::Hold);
  case 11:
    world.kill_machines(0.1 * draw.between(1, 5));
    return;
  case 12:
    return world.cut_users(node, for_s);
  default:
    return world.cut_peers(for_s);
  }
}

void any_faults(World &world, std::uint64_t seed, double from, double until, double every_s) {
  const auto draw = shared_draw(seed + 1000);
  for (double t = from; t < until; t += every_s)
    world.at(t, [&world, draw] { any_fault(world, *draw); });
}

// ---- scenarios ----

std::vector<std::string> play_calm(std::uint64_t seed, EffectsHash &hash) {
  WorldOptions options;
  options.users_at_once = seed % 2;
  World world(seed, options);
  record(world, hash);
  any_load(world, seed, 40, 2.5);
  ask_admin(world, 10, 150, 9);
  world.run(200);
  return world.broken;
}

std::vector<std::string> play_faults(std::uint64_t seed, EffectsHash &hash) {
  World world(seed, test::troubled(seed));
  record(world, hash);
  test::mixed_load(world, 30);
  test::make_trouble(world, seed);
  world.run(320);
  return world.broken;
}

std::vector<std::string> play_pairs_of_faults(std::uint64_t seed, EffectsHash &hash) {
  WorldOptions options;
  options.copies = 0.15;
  options.loss = seed % 2 ? 0.01 : 0;
  options.accounts = seed % 3 == 0;
  options.configuration = seed % 3 == 1;
  options.die_per_hour = 6;
  options.hang_per_hour = seed % 4 == 1 ? 15 : 0;
  if (seed % 5 >= 3) options.cpu_share = 0.004; // replicas relay reports
  World world(seed, options);
  record(world, hash);
  any_load(world, seed, 50, 3);
  any_faults(world, seed, 12, 180, 14);
  any_faults(world, seed + 1, 16, 180, 25);
  world.run(300);
  return world.broken;
}

std::vector<std::string> play_slow_state_service(std::uint64_t seed, EffectsHash &hash) {
  WorldOptions options;
  options.late_writes = 0.1;
  options.held_up = 0.1;
  options.users_at_once = true;
  options.state_rps = 40;
  options.state_write_rps = 6;
  if (seed % 3 == 0) options.untold_value_kb = 0.8;
  World world(seed, options);
  record(world, hash);
  any_load(world, seed, 40, 2.5);
  for (int node = 0; node < kNodes; ++node)
    world.at(30 + 4 * node, [&world, node] { world.cut_state(node, 25, Cut::Slow); });
  world.at(75, [&world] { world.lose_watches = true; });
  world.at(95, [&world] { world.lose_watches = false; });
  world.at(100, [&world] { world.lost_events = 0.5; });
  world.at(110, [&world] { world.cut_state(std::max(0, world.leader()), 14, Cut::Refuse); });
  world.at(130, [&world] { world.cut_state(std::max(0, world.leader()), 20, Cut::Lists); });
  world.at(140, [&world] { world.outage(45); });
  world.run(280);
  return world.broken;
}

// A leader that no worker reaches steps down while the others can't lead, so that nobody stands for a time; the others
// learn of cancellations by word alone.
std::vector<std::string> play_no_candidate(std::uint64_t seed, EffectsHash &hash) {
  WorldOptions options;
  if (seed % 2) options.cancel_s = 18; // little more than a lease
  World world(seed, options);
  record(world, hash);
  for (int i = 0; i < 6; ++i)
    world.at(2 + i, [&world] { world.submit(world.job(Shape::Array, 20, 2, 90)); });
  any_load(world, seed, 20, 5);
  const auto draw = shared_draw(seed);
  for (const double t : {40.0, 110.0})
    world.at(t, [&world, draw] {
      const int leader = std::max(0, world.leader());
      const double for_s = draw->between(15, 40);
      world.cut_workers(leader, for_s, Cut::Drop);
      for (int other = 1; other < kNodes; ++other)
        world.cut_state((leader + other) % kNodes, for_s, draw->one_in(2) ? Cut::Drop : Cut::NoAnswers);
      const auto id = world.submit(world.job(Shape::Array, 6, 1, 100));
      world.at(world.now() + draw->between(2, 10), [&world, id, leader] { world.cancel(id, (leader + 1) % kNodes); });
    });
  world.run(200);
  return world.broken;
}

std::vector<std::string> play_zones(std::uint64_t seed, EffectsHash &hash) {
  WorldOptions options;
  options.node_zones = seed % 2 ? std::vector<std::string>{"a", "b", "b"} : std::vector<std::string>{"a", "a", "b"};
  options.boot_fail = 0.1;
  World world(seed, options);
  record(world, hash);
  any_load(world, seed, 40, 3);
  test::mixed_load(world, 15);
  const auto draw = shared_draw(seed);
  const std::string zone = draw->one_in(2) ? "a" : "b";
  const auto how = draw->one_in(2) ? Cut::Drop : Cut::Hold;
  const double for_s = draw->between(8, 45);
  world.at(35, [&world, zone, how, for_s] { world.cut_zone(zone, for_s, how); });
  world.at(90, [&world, zone] {
    world.limit_zone(zone, 2);
    world.kill_machines(0.7, zone);
  });
  world.at(120, [&world, zone] { world.cut_outbound(0.8, 20, zone); });
  world.run(260);
  return world.broken;
}

std::vector<std::string> play_unhealthy_machines(std::uint64_t seed, EffectsHash &hash) {
  WorldOptions options;
  options.sick = 0.2;
  options.boot_fail = 0.2;
  options.die_per_hour = 40;
  options.hang_per_hour = 40;
  options.copies = 0.1;
  World world(seed, options);
  record(world, hash);
  any_load(world, seed, 40, 3);
  for (int i = 0; i < 6; ++i)
    world.at(20 + 8 * i, [&world, i] {
      const auto id = world.submit_broken(world.job(i % 3 ? Shape::Array : Shape::Gang, 3, 1, 10));
      world.at(world.now() + 70, [&world, id] { world.cancel(id); });
      world.hang(id, 15);
    });
  world.at(60, [&world] { world.cut_inbound(0.4, 60); });
  world.at(100, [&world] { world.hold_back_reports(0.5); });
  world.at(104, [&world] { world.crash(std::max(0, world.leader()), 3); });
  world.at(118, [&world] {
    world.hold_back_reports(0);
    world.deliver_held_back(std::max(0, world.leader()));
  });
  world.run(260);
  return world.broken;
}

std::vector<std::string> play_preemption(std::uint64_t seed, EffectsHash &hash) {
  WorldOptions options;
  options.max_machines = 10 + static_cast<long>(seed % 4);
  options.capacity = {{"big", 5}, {"small", 6}};
  options.teams = {{"red", 20, 60, 0, 0}, {"blue", 8, 24, 0, 0}};
  options.loss = seed % 2 ? 0.02 : 0;
  World world(seed, options);
  record(world, hash);
  preempting_load(world, 20);
  world.at(60, [&world] { // for whole machines: those that it waits for are emptied
    auto gang = world.job(Shape::Gang, 3, 15, 15);
    gang.spot = true;
    world.submit(gang);
  });
  ask_admin(world, 20, 200, 8);
  world.at(110, [&world] { world.crash(std::max(0, world.leader()), 2); });
  world.run(300);
  return world.broken;
}

std::vector<std::string> play_cancellations(std::uint64_t seed, EffectsHash &hash) {
  WorldOptions options;
  options.told_once = seed % 2;
  options.users_at_once = seed % 3 == 0;
  options.late_writes = seed % 4 == 1 ? 0.1 : 0;
  World world(seed, options);
  record(world, hash);
  const auto draw = shared_draw(seed);
  // Some at the very end of a job, some at any time, some twice or at a node that is cut off.
  world.last_task_done = [&world, draw](const std::string &id) {
    if (draw->one_in(2)) world.at(world.now() + 0.02 * draw->below(60), [&world, id] { world.cancel(id); });
  };
  any_load(world, seed, 50, 2);
  for (int i = 0; i < 25; ++i)
    world.at(5 + 4 * i, [&world, draw] {
      const auto id = world.submit(world.job(draw->one_in(3) ? Shape::Gang : Shape::Array, 4, 1, 40));
      const int node = draw->below(kNodes);
      world.at(world.now() + draw->between(1, 30), [&world, id, node] { world.cancel(id, node); });
      if (draw->one_in(3)) world.at(world.now() + 31, [&world, id, node] { world.abort_at(node, id); });
    });
  world.at(45, [&world, draw] { world.isolate(std::max(0, world.leader()), draw->between(5, 40)); });
  world.at(100, [&world] { world.outage(30); });
  world.at(105, [&world] { world.crash(std::max(0, world.leader()), 3); });
  world.run(240);
  return world.broken;
}

std::vector<std::string> play_accounts(std::uint64_t seed, EffectsHash &hash) {
  WorldOptions options = test::troubled(seed);
  options.accounts = true;
  options.teams = {{"red", 4, 0, 0, 0}, {"blue", 0, 30, 0, 0}};
  World world(seed, options);
  record(world, hash);
  // A day ends 40 s into the simulated time.
  const nlohmann::json red = {{"cpu_hours", 0.08}, {"when_spent", seed % 2 ? "stop" : "finish"}};
  world.put_record("conf/budgets",
                   {{"every", "day"}, {"starts", "22:14"}, {"utc_offset", "+00:00"}, {"teams", {{"red", red}}}});
  any_load(world, seed, 45, 2.5);
  ask_admin(world, 20, 220, 6);
  Draw draw(seed + 5);
  change_settings(world, draw, 60, 160);
  world.at(90, [&world] { world.crash(std::max(0, world.leader()), 4); });
  world.run(280);
  return world.broken;
}

std::vector<std::string> play_configuration(std::uint64_t seed, EffectsHash &hash) {
  WorldOptions options;
  options.configuration = true;
  options.accounts = seed % 2;
  options.loss = seed % 3 ? 0 : 0.02;
  World world(seed, options);
  record(world, hash);
  any_load(world, seed, 40, 3);
  Draw draw(seed + 5);
  change_quotas(world, draw, 15, 170);
  change_settings(world, draw, 20, 170);
  change_machines(world, draw, 25, 170);
  ask_admin(world, 12, 200, 5);
  for (const double t : {30.0, 80.0}) { // refused
    change(world, t, 0, "PUT", "quotas/blue", R"({"cpus_max": 3, "cpus": 4})");
    change(world, t, 1, "PUT", "quotas/nobody", R"({"cpus_max": 3})");
    change(world, t, 2, "PUT", "settings", R"({"age_weight": -1})");
  }
  world.at(60, [&world] { world.crash(std::max(0, world.leader()), 2); });
  world.at(75, [&world] { world.lose_watches = true; });
  world.at(95, [&world] { world.lose_watches = false; });
  world.at(120, [&world] { world.outage(15); });
  world.at(150, [&world] { // as an earlier version writes it
    world.put_record("conf/machines", {{"n-000002", "quarantine"}, {"n-000003", "drain"}});
  });
  world.run(240);
  return world.broken;
}

std::vector<std::string> play_upgrade(std::uint64_t seed, EffectsHash &hash) {
  WorldOptions options = test::troubled(seed);
  options.accounts = seed % 2;
  options.next_value_kb = 2;
  options.next_txn_ops = 4;
  options.begins_old = true;
  World world(seed, options);
  record(world, hash);
  for (int i = 0; i < 4; ++i)
    world.at(1 + 0.1 * i, [&world] {
      auto spec = world.job(Shape::Array, 900, 0.05, 30);
      spec.priority = Priority::Low;
      world.submit(spec);
    });
  for (int node = 0; node < kNodes; ++node)
    world.at(8 + 3 * node, [&world, node] { world.upgrade(node, 1); });
  world.at(16 + static_cast<double>(seed % 60), [&world] { world.limits_fall(); });
  any_load(world, seed, 40, 3);
  any_faults(world, seed, 30, 120, 30);
  world.run(260);
  return world.broken;
}

std::vector<std::string> play_one_node(std::uint64_t seed, EffectsHash &hash) {
  WorldOptions options;
  options.nodes = 1;
  options.accounts = seed % 2;
  World world(seed, options);
  record(world, hash);
  any_load(world, seed, 40, 2.5);
  world.at(25, [&world] { world.cut_inbound(0.4, 100); });
  world.at(60, [&world] { world.crash(0, 3); });
  world.at(90, [&world] { world.stall(0, 12, true); });
  world.at(110, [&world] { world.outage(20); });
  world.run(220);
  return world.broken;
}

std::vector<std::string> play_cells(std::uint64_t seed, EffectsHash &hash) {
  const int cells = seed % 3 == 2 ? 3 : 2;
  std::vector<WorldOptions> options;
  for (int cell = 0; cell < cells; ++cell) {
    options.push_back(test::troubled(seed + static_cast<std::uint64_t>(cell)));
    options.back().accounts = seed % 2;
    options.back().max_machines = cell == 0 ? 5 : 60;
  }
  Federation federation(seed, options, seed % 3 ? 0.03 : 0);
  record(federation, hash);
  for (int cell = 0; cell < cells; ++cell)
    any_load(federation[cell], seed + static_cast<std::uint64_t>(cell), cell ? 8 : 20, 4);
  for (int i = 0; i < 6; ++i)
    federation[0].at(5 + 8 * i, [&federation] {
      auto spec = federation[0].job(Shape::Array, 25, 2, 15);
      spec.spot = true;
      const auto id = federation[0].submit(spec);
      if (federation[0].now() > 35)
        federation[0].at(federation[0].now() + 25, [&federation, id] { federation[0].cancel(id); });
    });
  change(federation[0], 50, 0, "PUT", "cells", R"({"stay_teams": ["blue"], "stay_classes": ["secret"]})");
  ask_admin(federation[0], 20, 200, 9);
  if (seed % 2) test::make_trouble(federation[1], seed + 100);
  federation.run(45);
  federation.cut(0, 1, 5 + 5 * static_cast<double>(seed % 7));
  federation.run(90);
  federation[0].crash(std::max(0, federation[0].leader()), 3);
  federation[1].crash(std::max(0, federation[1].leader()), 3);
  federation.run(260);
  return federation.broken();
}

std::vector<std::string> play_cells_configuration(std::uint64_t seed, EffectsHash &hash) {
  constexpr int kCells = 3;
  WorldOptions one;
  one.configuration = true;
  one.accounts = true;
  std::vector<WorldOptions> options(kCells, one);
  options[0].max_machines = 6;
  Federation federation(seed, options, seed % 3 == 0 ? 0.0 : 0.03);
  record(federation, hash);
  for (int cell = 0; cell < kCells; ++cell) {
    World &world = federation[cell];
    const auto cell_seed = seed + 100 * static_cast<std::uint64_t>(cell);
    any_load(world, cell_seed, 15, 5);
    ask_admin(world, 15 + cell, 150, 8);
    Draw draw(cell_seed + 5);
    change_quotas(world, draw, 15, 130);
    const nlohmann::json shares = {{"shares", {{Federation::name((cell + 1) % kCells), {{"cpus", 4}}}}}};
    change(world, 70 + 9 * cell, draw.below(kNodes), "PUT", "quotas/blue", shares.dump());
    if (draw.one_in(2)) world.at(40 + 20 * cell, [&world] { world.crash(std::max(0, world.leader()), 2); });
  }
  federation.run(30);
  federation.cut(0, 1, 15);
  federation.run(80);
  federation.cut(1, 2, 25);
  federation.run(180);
  return federation.broken();
}

std::vector<std::string> play_large(std::uint64_t seed, EffectsHash &hash) {
  WorldOptions options;
  options.max_machines = 300;
  options.heartbeat_interval_s = 5;
  options.lease_s = 26;
  options.cancel_s = 52;
  options.min_boot = 1;
  options.max_boot = 5;
  options.page = 100;
  options.teams = {{"red", 200, 0, 0, 0}, {"blue", 0, 300, 0, 0}};
  options.types.push_back({"accelerated", {8, 2, 32}, 50, 1, 2, 0.9, 8, {"a", "b"}});
  World world(seed, options);
  record(world, hash);
  const auto draw = shared_draw(seed);
  for (int i = 0; i < 16; ++i)
    world.at(2 + 2.5 * i, [&world, draw, i] {
      auto spec = world.job(Shape::Array, static_cast<std::uint32_t>(draw->between(100, 500)), 1, draw->between(10, 30),
                            i % 4 ? "red" : "blue");
      spec.priority = static_cast<Priority>(draw->below(3));
      spec.spread = draw->one_in(6);
      if (draw->one_in(5)) spec.need.gpus = 1;
      world.submit(spec);
    });
  for (int i = 0; i < 6; ++i)
    world.at(20 + 6 * i, [&world, draw] {
      auto gang = world.job(Shape::Gang, static_cast<std::uint32_t>(draw->between(4, 12)), 12, 10);
      gang.priority = draw->one_in(2) ? Priority::Production : Priority::High;
      gang.one_zone = draw->one_in(2);
      world.submit(gang);
    });
  ask_admin(world, 15, 80, 6);
  world.at(50, [&world] { world.crash(std::max(0, world.leader()), 3); });
  world.run(90);
  return world.broken;
}

} // namespace

const std::vector<Scenario> &scenarios() {
  static const std::vector<Scenario> all{
      {"calm", "jobs of every shape and kind, nothing fails", play_calm},
      {"faults", "lost messages, crashes, cuts, outages, stalls", play_faults},
      {"pairs-of-faults", "two faults at a time, reports that arrive twice", play_pairs_of_faults},
      {"slow-state-service", "slow answers, late writes, lost watches, small limits", play_slow_state_service},
      {"no-candidate", "a leader without workers steps down and nobody else can lead", play_no_candidate},
      {"zones", "a zone is cut off, loses its machines, has no more", play_zones},
      {"unhealthy-machines", "machines fail, hang, die, hear nothing; reports held back", play_unhealthy_machines},
      {"preemption", "more work than room, guarantees and limits of teams", play_preemption},
      {"cancellations", "at any time, at the end of a job, in an outage", play_cancellations},
      {"accounts", "usage, budgets, statements, the end of a period", play_accounts},
      {"configuration", "quotas, budgets, settings and machines are changed", play_configuration},
      {"upgrade", "nodes of an earlier version, limits that fall", play_upgrade},
      {"one-node", "one controller alone", play_one_node},
      {"cells", "two or three cells lend each other work, cuts between them", play_cells},
      {"cells-configuration", "three cells, quotas that are changed in each", play_cells_configuration},
      {"large", "300 machines, several thousand tasks", play_large},
  };
  return all;
}

const Scenario *find_scenario(std::string_view name) {
  const auto &all = scenarios();
  const auto found = std::find_if(all.begin(), all.end(), [name](const Scenario &s) { return s.name == name; });
  return found == all.end() ? nullptr : &*found;
}

SeedResult play_seed(const Scenario &scenario, std::uint64_t seed, TextContents texts) {
  EffectsHash hash(texts);
  SeedResult result;
  result.broken_rules = scenario.play(seed, hash);
  result.hash = hash.value();
  result.messages = hash.messages();
  return result;
}

} // namespace loftrouter::fingerprint
