// Configuration that changes while the service runs: how a team's limit is divided among cells, against a slow plain
// model; records and the older documents side by side; lowered limits, takeovers, lost watches and cuts in the
// simulated worlds. The argument: docs/safety.md, "Quotas that change".
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

double sum_held(const wire::QuotaRecord &r) {
  double sum = 0;
  for (const auto &[cell, a] : r.held)
    sum += a.cpus;
  return sum;
}

// The owner and its cells as plain as can be: frames are copies of whole records that may be lost, doubled and late by
// any time; a cell goes by the record of the highest version it has seen, starts up to its cap, and ends work slowly.
class PlainFleet {
public:
  PlainFleet(std::uint64_t seed, double limit) : rng_(seed), file_{limit, wire::Amounts::kUnlimited} {
    for (const auto &name : kCells)
      cells_[name] = {cells::even_share(file_, kCells.size()).cpus, 0, {}};
  }

  void step() {
    if (draw() < 0.08) change();
    for (auto &[name, cell] : cells_) {
      const double cap = cell.record.version ? cell.record.caps[name].cpus : cell.cap;
      cell.cap = cap;
      if (draw() < 0.7) cell.used = std::max(cell.used, std::floor(cap * draw())); // starts, never beyond the cap
      if (draw() < 0.3) cell.used = std::floor(cell.used * draw());                // ends
      if (draw() < 0.4) send(name);
    }
    deliver();
    owner_steps();
  }
  // The largest that may run at once by what the cells go by and have running.
  double may_run() const {
    double sum = 0;
    for (const auto &[name, cell] : cells_)
      sum += std::max(cell.used, cell.cap);
    return sum;
  }
  double limit() const { return record_.version ? record_.limits.most.cpus : file_.cpus; }
  const wire::QuotaRecord &record() const { return record_; }
  bool settled() const {
    const auto wanted = cells::target_shares(record_.limits.most, record_.shares, kCells);
    for (const auto &[name, cell] : cells_)
      if (std::abs(cell.cap - wanted.at(name).cpus) > 1e-6) return false;
    return true;
  }
  void calm() {
    calm_ = true;
    for (auto &[name, cell] : cells_)
      cell.used = 0;
  }

private:
  struct Cell {
    double cap, used;
    wire::QuotaRecord record;
  };
  struct Frame {
    std::string to;
    wire::QuotaRecord record;
    int late;
  };
  double draw() { return std::uniform_real_distribution<double>(0, 1)(rng_); }

  void change() {
    if (calm_) return;
    if (record_.version == 0) record_.limits.most = file_;
    record_.limits.most.cpus = std::floor(file_.cpus * draw());
    record_.shares.clear();
    if (draw() < 0.5)
      record_.shares[kCells[0]] = {std::floor(record_.limits.most.cpus * draw()), wire::Amounts::kUnlimited};
    cells::lower_caps(record_, kCells, cells::even_share(file_, kCells.size()));
    cells::raise_caps(record_, kCells);
    ++record_.version;
  }
  void send(const std::string &name) {
    if (record_.version == 0 || (!calm_ && draw() < 0.3)) return;
    for (int copies = !calm_ && draw() < 0.2 ? 2 : 1; copies > 0; --copies)
      frames_.push_back({name, record_, calm_ ? 0 : static_cast<int>(draw() * draw() * 40)});
  }
  void deliver() {
    for (auto &frame : frames_) {
      if (frame.late-- > 0) continue;
      Cell &cell = cells_[frame.to];
      if (frame.record.version > cell.record.version) cell.record = frame.record;
      if (frame.record.version != cell.record.version) continue;
      cell.cap = cell.record.caps[frame.to].cpus;
      said_[frame.to] = {cell.record.version, cell.used <= cell.cap}; // the answer, at once
    }
    std::erase_if(frames_, [](const Frame &f) { return f.late < 0; });
  }
  void owner_steps() {
    if (record_.version == 0) return;
    auto next = record_;
    bool changed = false;
    for (const auto &[name, said] : said_)
      if (said.first == record_.version && said.second) changed |= cells::acknowledge(next, name);
    changed |= cells::raise_caps(next, kCells);
    if (!changed) return;
    ++next.version;
    record_ = next;
  }

  std::mt19937_64 rng_;
  wire::Amounts file_;
  bool calm_ = false;
  wire::QuotaRecord record_; // the owner's
  std::map<std::string, Cell> cells_;
  std::vector<Frame> frames_;
  std::map<std::string, std::pair<std::uint64_t, bool>> said_;
};

TEST(ConfigShares, WhatMayRunNeverExceedsWhatIsHeldNorHeldTheLimitOnceItIsFollowed) {
  for (std::uint64_t seed = 1; seed <= static_cast<std::uint64_t>(seeds(150)); ++seed) {
    PlainFleet fleet(seed, 90);
    double most = fleet.limit(); // that the sum may still be, as it falls towards a lowered limit
    for (int i = 0; i < 300; ++i) {
      fleet.step();
      const bool configured = fleet.record().version > 0;
      const double held = configured ? sum_held(fleet.record()) : 90;
      most = std::max(fleet.limit(), std::min(most, held));
      ASSERT_LE(fleet.may_run(), held + 1e-6) << "seed " << seed << " step " << i;
      ASSERT_LE(held, most + 1e-6) << "seed " << seed << " step " << i << ": held rose while it was above the limit";
    }
    fleet.calm();
    for (int i = 0; i < 200 && fleet.record().version > 0 && !fleet.settled(); ++i)
      fleet.step();
    EXPECT_TRUE(fleet.record().version == 0 || fleet.settled()) << "seed " << seed;
  }
}

TEST(ConfigShares, PartsAndOwners) {
  const auto parts =
      cells::target_shares({90, wire::Amounts::kUnlimited}, {{"south", {60, wire::Amounts::kUnlimited}}}, kCells);
  EXPECT_EQ(parts.at("south").cpus, 60);
  EXPECT_EQ(parts.at("north").cpus, 15);
  EXPECT_TRUE(std::isinf(parts.at("west").gpus));
  EXPECT_TRUE(cells::validate_shares({90, 0}, {{"east", {1, 0}}}, kCells));
  EXPECT_TRUE(cells::validate_shares({90, 0}, {{"north", {50, 0}}, {"south", {50, 0}}}, kCells));
  EXPECT_FALSE(cells::validate_shares({90, 0}, {{"north", {50, 0}}, {"south", {40, 0}}}, kCells));
  std::map<std::string, int> owned;
  for (int t = 0; t < 230; ++t)
    ++owned[cells::owner_cell("team" + std::to_string(t), kCells)];
  for (const auto &name : kCells)
    EXPECT_GT(owned[name], 50) << name;
}

TEST(ConfigRecords, ComeBackAsTheyWereAndNonsenseDoesNot) {
  wire::QuotaRecord r;
  r.version = 7;
  r.limits = {{4, 0}, {90, wire::Amounts::kUnlimited}};
  r.shares["north"] = {50, 2};
  r.caps["north"] = {40, wire::Amounts::kUnlimited};
  r.held["north"] = {45, 1};
  r.history.push_back({123, 1.7e9, r.limits});
  const auto back = wire::quota_from_json(wire::to_json(r));
  ASSERT_TRUE(back);
  EXPECT_EQ(wire::to_json(*back), wire::to_json(r));
  EXPECT_LT(wire::to_json(r).dump().size(), 500U);
  auto bad = wire::to_json(r);
  bad["caps"]["north"]["cpus"] = -1;
  EXPECT_FALSE(wire::quota_from_json(bad));
  EXPECT_FALSE(wire::quota_from_json({{"version", "7"}}));
  EXPECT_FALSE(wire::quota_from_json(nullptr));
  EXPECT_FALSE(wire::applied_from_json({{"revision", -1}, {"at", 1}}));
  EXPECT_FALSE(wire::forwarded_from_json({{"team", "red"}, {"change", {{"cpus", "x"}}}}));
}

WorldOptions configured() {
  WorldOptions o;
  o.configuration = true;
  o.accounts = true;
  o.min_fetch = o.max_fetch = 0.05; // what was sent is on its machine soon
  return o;
}

// Of a world, or of one of a federation's; `all` is what time goes on for.
template <class All>
int put_quota(All &all, World &w, int node, const std::string &team, const std::string &body, double within_s = 10) {
  const auto answer = w.admin(node, "PUT", "/admin/v1/quotas/" + team, body);
  const double until = all.now() + within_s;
  while (answer->status == 0 && all.now() < until)
    all.run(all.now() + 0.05);
  return answer->status;
}

int put_quota(World &w, int node, const std::string &team, const std::string &body) {
  return put_quota(w, w, node, team, body);
}

json ask(World &w, int node, const std::string &target) {
  const auto answer = w.admin(node, "GET", target);
  const double until = w.now() + 3;
  while (answer->status == 0 && w.now() < until)
    w.run(w.now() + 0.05);
  return answer->body;
}

// CPUs of a team's tasks on machines, kept up by the world's own events.
class Used {
public:
  explicit Used(World &w, const std::string &team) : w_(w), team_(team) {
    w.started = [this](const World::On &task) { count(task, 1); };
    w.stopped = [this](const World::On &task) { count(task, -1); };
  }
  double cpus = 0, most = 0; // the latter: after a start, since it was last set to 0

private:
  void count(const World::On &task, int sign) {
    const auto *told = w_.own(task.job);
    if (!told || told->spec.team != team_) return;
    cpus += sign * told->spec.need.cpus;
    if (sign > 0) most = std::max(most, cpus);
  }
  World &w_;
  std::string team_;
};

TEST(Config, ALoweredLimitStartsNothingBeyondItAndStopsTheRestWithTimeToSave) {
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    World w(seed, configured());
    Used used(w, "blue"); // at most 12 CPUs by the settings file
    for (int i = 0; i < 6; ++i)
      w.at(5 + i, [&w] {
        auto s = w.job(Shape::Array, 6, 1, 100, "blue");
        s.checkpoint_s = 5;
        s.save_s = 2;
        w.submit(s);
      });
    w.run(60);
    ASSERT_GT(used.cpus, 8) << "it uses most of its limit";
    ASSERT_EQ(put_quota(w, 1, "blue", R"({"cpus_max": 4})"), 200);
    w.run(w.now() + 1); // until the leader's watch has told it
    used.most = 0;
    w.run(w.now() + 20);
    EXPECT_LE(used.most, 4) << "a start beyond the lowered limit";
    EXPECT_GT(used.cpus, 4) << "what runs is given time";
    w.run(w.now() + 30);
    EXPECT_LE(used.cpus, 4);
    EXPECT_GT(w.saves, 0);
    ASSERT_EQ(put_quota(w, 2, "blue", R"({"cpus_max": null})"), 200);
    w.run(w.now() + 60);
    EXPECT_GT(used.cpus, 8) << "raised again";
    EXPECT_TRUE(w.broken.empty()) << test::all(w);
  }
}

TEST(Config, ATakeoverAtEachStepStartsNothingBeyondTheNewestAcknowledgedLimit) {
  for (int step = 0; step < 8; ++step)
    for (bool lose_watches : {false, true}) {
      World w(static_cast<std::uint64_t>(step) + 1, configured());
      Used used(w, "blue");
      for (int i = 0; i < 8; ++i)
        w.at(5 + i, [&w] { w.submit(w.job(Shape::Array, 6, 1, 15, "blue")); });
      w.run(40);
      const int leader = w.leader();
      ASSERT_GE(leader, 0);
      w.lose_watches = lose_watches;
      ASSERT_EQ(put_quota(w, leader, "blue", R"({"cpus_max": 3})"), 200); // acknowledged by the leader itself
      w.run(w.now() + 0.2 * step);
      w.crash(leader, 2);
      w.run(w.now() + 0.5); // what it had sent is on its machine
      used.most = 0;
      w.run(w.now() + 60);
      EXPECT_LE(used.most, 3) << "step " << step << (lose_watches ? ", watches lost" : "");
      EXPECT_TRUE(w.broken.empty()) << test::all(w);
    }
}

TEST(Config, EveryNodeHasAChangeWithinSecondsAndWithoutItsWatchToo) {
  for (bool lose_watches : {false, true}) {
    World w(5, configured());
    w.run(10);
    w.lose_watches = lose_watches;
    ASSERT_EQ(put_quota(w, 0, "red", R"({"cpus_max": 77})"), 200);
    w.run(w.now() + (lose_watches ? 10 : 1));
    for (int node = 0; node < 3; ++node)
      EXPECT_EQ(ask(w, node, "/admin/v1/quotas")["teams"]["red"]["cpus_max"], 77) << node;
    w.run(w.now() + 5);
    const auto status = ask(w, 1, "/admin/v1/configuration");
    ASSERT_EQ(status["records"].size(), 1U) << status;
    EXPECT_EQ(status["records"][0]["in_force_since"].size(), 3U) << status;
    EXPECT_EQ(ask(w, 2, "/admin/v1/configuration/history/quota/red")["changes"].size(), 1U);
  }
}

TEST(Config, WhatCannotBeIsRefused) {
  World w(6, configured());
  w.run(10);
  EXPECT_EQ(put_quota(w, 0, "blue", R"({"cpus_max": 13})"), 422) << "more than the settings file allows";
  EXPECT_EQ(put_quota(w, 0, "blue", R"({"cpus_max": 3, "cpus": 4})"), 422) << "a guarantee above the limit";
  EXPECT_EQ(put_quota(w, 0, "nobody", R"({"cpus_max": 3})"), 422);
  EXPECT_EQ(put_quota(w, 0, "blue", R"({"shares": {"elsewhere": {"cpus": 1}}})"), 422);
  EXPECT_EQ(put_quota(w, 0, "blue", R"({"cpus_max": -3})"), 400);
  EXPECT_EQ(put_quota(w, 0, "blue", R"({"cpu_max": 3})"), 400);
  EXPECT_EQ(put_quota(w, 0, "blue", "[]"), 400);
  EXPECT_EQ(put_quota(w, 0, "blue", R"({"cpus_max": 3, "version": 0})"), 200);
  EXPECT_EQ(put_quota(w, 1, "blue", R"({"cpus_max": 5, "version": 0})"), 409) << "somebody has changed it since";
  w.run(w.now() + 1);
  EXPECT_EQ(put_quota(w, 1, "blue", R"({"cpus_max": 5, "version": 1})"), 200);
  w.outage(20);
  w.run(w.now() + 1);
  EXPECT_EQ(put_quota(w, 1, "blue", R"({"cpus_max": 6})"), 503);
  EXPECT_TRUE(w.broken.empty()) << test::all(w);
}

TEST(Config, AJobThatFitsTheLimitButNoShareSaysSo) {
  std::vector<WorldOptions> options(2, configured());
  Federation f(3, options);
  std::string id;
  f[0].at(5, [&] { id = f[0].submit(f[0].job(Shape::Gang, 4, 2, 10, "blue")); }); // 8 of 12 CPUs; shares of 6
  f.run(30);
  const auto seen = f[0].look_up(f[0].leader(), id);
  f.run(31);
  EXPECT_NE(seen->body.value("reason", "").find("no cell has a larger share than 6"), std::string::npos) << seen->body;
  EXPECT_EQ(put_quota(f, f[0], 0, "blue", R"({"cpus_max": 7})"), 200);
  f.run(f.now() + 5);
  const auto refused = f[0].submit_at(0, f[0].job(Shape::Gang, 4, 2, 10, "blue"));
  f.run(f.now() + 2);
  EXPECT_EQ(refused->status, 422) << "more than the limit over all cells";
}

// Changes at any node of any cell, among lost, doubled and late frames, cuts and restarts: the sum over all cells never
// exceeds the settings file's limit (tests/federation.cpp counts it at each start), and in the end all agree.
TEST(Config, LimitsOverCellsHoldOnRandomSchedules) {
  for (std::uint64_t seed = 1; seed <= static_cast<std::uint64_t>(seeds(2)); ++seed) {
    Federation f(seed, std::vector<WorldOptions>(3, configured()), seed % 3 == 0 ? 0.0 : 0.03);
    std::mt19937_64 rng(seed);
    auto draw = [&rng](int below) { return std::uniform_int_distribution<int>(0, below - 1)(rng); };
    for (int c = 0; c < 3; ++c)
      for (int i = 0; i < 10; ++i)
        f[c].at(5 + 8 * i, [&f, c] { f[c].submit(f[c].job(Shape::Array, 8, 1, 10, "blue")); });
    int answered = 0;
    for (int i = 0; i < 12; ++i) {
      f.run(15 + 7 * i);
      const int cell = draw(3), node = draw(3);
      if (draw(4) == 0) f[draw(3)].crash(draw(3), 2);
      if (draw(4) == 0) f.cut(draw(3), draw(3), 10);
      json change = {{"cpus_max", 1 + draw(12)}};
      if (draw(3) == 0) change["shares"] = {{Federation::name(draw(3)), {{"cpus", 1}}}};
      answered += put_quota(f, f[cell], node, "blue", change.dump(), 3) == 200;
    }
    EXPECT_GT(answered, 0) << "seed " << seed;
    f.run(150);
    int last = 0;
    for (int tries = 0; tries < 10 && last != 200; ++tries) {
      const auto answer = f[1].admin(0, "PUT", "/admin/v1/quotas/blue", R"({"cpus_max": 9, "shares": null})");
      f.run(f.now() + 9);
      last = answer->status;
    }
    EXPECT_EQ(last, 200) << "seed " << seed;
    f.run(f.now() + 60);
    for (int c = 0; c < 3; ++c)
      for (int node = 0; node < 3; ++node) {
        const auto answer = f[c].admin(node, "GET", "/admin/v1/quotas");
        f.run(f.now() + 0.1);
        const auto blue = answer->body["teams"]["blue"];
        EXPECT_EQ(blue["cpus_max"], 9) << "seed " << seed << " cell " << c << " node " << node << blue;
        EXPECT_EQ(blue["here"]["cpus_max"], 3) << "seed " << seed << " cell " << c << " node " << node << blue;
      }
    EXPECT_TRUE(f.broken().empty()) << "seed " << seed << "\n" << f.broken().front();
  }
}

// A cell that is cut off keeps its share, and nothing is raised against it; it catches up soon after the cut.
TEST(Config, ACellThatIsCutOffKeepsItsShareAndCatchesUp) {
  Federation f(4, std::vector<WorldOptions>(3, configured()));
  f.run(20);
  const std::vector<std::string> names = {Federation::name(0), Federation::name(1), Federation::name(2)};
  const auto owner =
      static_cast<int>(std::find(names.begin(), names.end(), cells::owner_cell("blue", names)) - names.begin());
  const int away = (owner + 1) % 3, other = (owner + 2) % 3;
  f.cut(away, owner, 60);
  f.cut(away, other, 60);
  const auto change = json{{"shares", {{names[static_cast<std::size_t>(other)], {{"cpus", 8}}}}}}.dump();
  ASSERT_EQ(put_quota(f, f[other], 0, "blue", change), 200); // by way of the owner
  f.run(40);
  auto here = [&f](int cell) {
    const auto answer = f[cell].admin(0, "GET", "/admin/v1/quotas");
    f.run(f.now() + 0.2);
    return answer->body["teams"]["blue"]["here"]["cpus_max"].get<double>();
  };
  EXPECT_EQ(here(owner), 2) << "lowered at once";
  EXPECT_EQ(here(away), 4) << "goes on with what it has";
  EXPECT_EQ(here(other), 6) << "raised by what the owner has given up, and no more";
  f.run(95); // 15 s after the cut
  EXPECT_EQ(here(away), 2);
  EXPECT_EQ(here(other), 8);
  EXPECT_TRUE(f.broken().empty()) << f.broken().front();
}

// ---- records and the documents of the production version ----

TEST(ConfigDocuments, TwoHundredTeamsAndAThousandOrdersUnderEightKilobytes) {
  auto o = configured();
  o.teams.clear();
  for (int t = 0; t < 230; ++t)
    o.teams.push_back({"team" + std::to_string(t), 0, 0, 0, 0});
  o.page = 200;
  o.state_rps = o.state_write_rps = 5000;
  World w(7, o);
  w.run(10);
  for (int first = 0; first < 230; first += 23) {
    json teams;
    for (int t = first; t < first + 23; ++t)
      teams["team" + std::to_string(t)] = {{"cpu_hours", 1000 + t}};
    const auto answer = w.admin(0, "PUT", "/admin/v1/budgets", json{{"teams", teams}}.dump());
    w.run(w.now() + 3);
    ASSERT_EQ(answer->status, 200) << answer->body;
  }
  for (int m = 0; m < 880; ++m) // as they are when the document is full
    w.put_record("config/machine/box-" + std::to_string(m), {{"value", "drain"}, {"in_document", false}});
  for (int m = 880; m < 1000; ++m) {
    const auto answer = w.admin(m % 3, "POST", "/admin/v1/machines/box-" + std::to_string(m) + "/drain");
    w.run(w.now() + 0.15);
    ASSERT_EQ(answer->status, 200) << m << " " << answer->body;
  }
  w.run(w.now() + 2);
  for (int node = 0; node < 3; ++node) {
    const auto budgets = ask(w, node, "/admin/v1/budgets")["teams"];
    ASSERT_EQ(budgets.size(), 230U) << node;
    EXPECT_EQ(budgets["team229"]["cpu_hours"], 1229);
    EXPECT_EQ(ask(w, node, "/admin/v1/settings")["machines"].size(), 1000U) << node;
  }
  // What the production version reads: documents within its bounds.
  for (const auto &document : w.records("conf/"))
    EXPECT_LE(document.value.dump().size(), 8U * 1024) << document.key;
  wire::Budgets as_before;
  EXPECT_FALSE(wire::apply_budgets(w.records("conf/budgets").at(0).value, as_before));
  EXPECT_EQ(as_before.teams.size(), 100U);
  EXPECT_TRUE(w.broken.empty()) << test::all(w);
}

TEST(ConfigDocuments, WhatTheProductionVersionChangesCounts) {
  World w(8, configured());
  w.run(10);
  auto change = [&w](const std::string &method, const std::string &target, const std::string &body = "") {
    const auto answer = w.admin(0, method, target, body);
    w.run(w.now() + 1);
    EXPECT_EQ(answer->status, 200) << answer->body;
  };
  change("PUT", "/admin/v1/budgets", R"({"teams": {"red": {"cpu_hours": 5}, "blue": {"cpu_hours": 6}}})");
  change("POST", "/admin/v1/machines/box-1/drain");
  change("POST", "/admin/v1/machines/box-2/drain");
  // It writes whole documents, and knows nothing of records.
  auto budgets = w.records("conf/budgets").at(0).value;
  budgets["teams"]["red"]["cpu_hours"] = 9;
  budgets["teams"].erase("blue");
  w.put_record("conf/budgets", budgets);
  w.put_record("conf/machines", {{"box-2", "quarantine"}, {"box-3", "drain"}});
  w.run(w.now() + 8);
  for (int node = 0; node < 3; ++node) {
    const auto teams = ask(w, node, "/admin/v1/budgets")["teams"];
    EXPECT_EQ(teams, json({{"red", {{"cpu_hours", 9.0}, {"warn_share", 0.8}, {"when_spent", "finish"}}}})) << node;
    EXPECT_EQ(ask(w, node, "/admin/v1/settings")["machines"], json({{"box-2", "quarantine"}, {"box-3", "drain"}}));
  }
  change("PUT", "/admin/v1/budgets", R"({"teams": {"red": null, "blue": {"cpu_hours": 7}}})");
  change("POST", "/admin/v1/machines/box-2/release");
  EXPECT_EQ(w.records("conf/budgets").at(0).value["teams"].size(), 1U) << "it sees what records say";
  EXPECT_EQ(ask(w, 1, "/admin/v1/budgets")["teams"]["blue"]["cpu_hours"], 7);
  EXPECT_EQ(ask(w, 2, "/admin/v1/settings")["machines"], json({{"box-3", "drain"}}));
}

// ---- thousands of machines ----

constexpr std::size_t kMaxAnswerBytes = 64 * 1024;

std::string machine_name(int number) {
  char name[16];
  std::snprintf(name, sizeof name, "n-%06d", number);
  return name;
}

// All entries of a listing that comes in pages; fails if a page is larger than an answer may be.
template <class Add> void read_pages(World &w, int node, const std::string &target, Add add) {
  std::string from;
  do {
    const auto page = ask(w, node, target + (from.empty() ? "" : "?from=" + from));
    ASSERT_TRUE(page.is_object()) << target << " after " << from;
    ASSERT_LE(page.dump(2).size(), kMaxAnswerBytes) << target << " after " << from;
    add(page);
    from = page["next"].is_string() ? page["next"].get<std::string>() : "";
  } while (!from.empty());
}

std::size_t count_orders(World &w, int node) {
  json all = json::object();
  read_pages(w, node, "/admin/v1/settings", [&all](const json &page) { all.update(page["machines"]); });
  return all.size();
}

// An operator's script: each machine by a request of its own, some at a time, repeated until it is answered with 200.
class OrderScript {
public:
  OrderScript(World &w, const std::string &action, int machines) : w_(w), action_(action) {
    for (int m = 0; m < machines; ++m)
      left_.push_back(machine_name(m));
  }
  // Until so many are left, or the time is over.
  void run(std::size_t until_left, double within_s) {
    const double until = w_.now() + within_s;
    while (left_.size() + asked_.size() > until_left && w_.now() < until) {
      while (!left_.empty() && asked_.size() < kAtOnce)
        ask_next();
      w_.run(w_.now() + 0.05);
      take_answers();
    }
  }
  std::size_t left() const { return left_.size() + asked_.size(); }
  std::size_t largest_answer() const { return largest_answer_; }

private:
  static constexpr std::size_t kAtOnce = 6;
  static constexpr double kPatience = 3.0; // s
  struct Asked {
    std::string machine;
    double at;
    std::shared_ptr<World::Answer> answer;
  };

  void ask_next() {
    const auto machine = left_.front();
    left_.pop_front();
    next_node_ = (next_node_ + 1) % 3;
    asked_.push_back({machine, w_.now(), w_.admin(next_node_, "POST", "/admin/v1/machines/" + machine + action_)});
  }
  void take_answers() {
    std::erase_if(asked_, [this](const Asked &asked) {
      const int status = asked.answer->status;
      if (status == 0 && w_.now() - asked.at < kPatience) return false;
      largest_answer_ = std::max(largest_answer_, asked.answer->body.dump(2).size());
      if (status != 200) left_.push_back(asked.machine);
      return true;
    });
  }

  World &w_;
  std::string action_;
  std::deque<std::string> left_;
  std::vector<Asked> asked_;
  int next_node_ = 0;
  std::size_t largest_answer_ = 0;
};

WorldOptions thousands_of_machines() {
  auto o = configured();
  o.page = 1000; // as the state service lists
  o.state_write_rps = 60;
  return o;
}

TEST(ConfigLimits, FourThousandMachinesAreSetAsideOverATakeoverAndLiftedAgain) {
  constexpr int kMachines = 4000;
  World w(9, thousands_of_machines());
  w.run(10);
  OrderScript quarantine(w, "/quarantine", kMachines);
  quarantine.run(kMachines / 2, 300);
  ASSERT_GE(w.leader(), 0);
  w.crash(w.leader(), 3);
  quarantine.run(0, 300);
  ASSERT_EQ(quarantine.left(), 0U);
  RecordProperty("orders_took_s", static_cast<int>(w.now() - 10));
  EXPECT_LE(quarantine.largest_answer(), kMaxAnswerBytes);
  EXPECT_EQ(w.records("config/machine/").size(), static_cast<std::size_t>(kMachines));
  const auto document = w.records("conf/machines").at(0).value;
  EXPECT_EQ(document.size(), 100U) << "no more than the production version reads";
  EXPECT_LE(document.dump().size(), 8U * 1024);

  // A takeover with all of them in force: the new leader starts nothing on any of them.
  const int before = w.leader();
  ASSERT_GE(before, 0);
  w.crash(before, 10);
  w.run(w.now() + 15);
  ASSERT_GE(w.leader(), 0);
  EXPECT_NE(w.leader(), before);
  w.submit(w.job(Shape::Array, 4, 1, 5));
  w.run(w.now() + 40);
  EXPECT_EQ(w.starts, 0);
  for (int node = 0; node < 3; ++node) {
    EXPECT_EQ(count_orders(w, node), static_cast<std::size_t>(kMachines)) << node;
    std::size_t records = 0, in_force = 0;
    read_pages(w, node, "/admin/v1/configuration", [&](const json &page) {
      records += page["records"].size();
      for (const auto &record : page["records"])
        in_force += record["in_force_since"].size();
    });
    EXPECT_EQ(records, static_cast<std::size_t>(kMachines)) << node;
    EXPECT_EQ(in_force, 3U * kMachines) << node;
  }

  OrderScript release(w, "/release", kMachines);
  release.run(0, 600);
  ASSERT_EQ(release.left(), 0U);
  w.run(w.now() + 40);
  for (int node = 0; node < 3; ++node)
    EXPECT_EQ(count_orders(w, node), 0U) << node;
  EXPECT_TRUE(w.records("config/machine/").empty());
  EXPECT_TRUE(w.records("conf/machines").at(0).value.empty());
  EXPECT_EQ(w.finished_jobs, 1) << "machines take tasks again";
  EXPECT_TRUE(w.broken.empty()) << test::all(w);
}

TEST(ConfigLimits, TheLastRecordOfAKindIsTakenAndTheNextRefused) {
  constexpr int kMax = static_cast<int>(wire::kMaxConfigRecords);
  static_assert(kMax >= 11'000);
  World w(10, thousands_of_machines());
  for (int m = 0; m < kMax - 1; ++m)
    w.put_record("config/machine/" + machine_name(m), {{"value", "drain"}, {"in_document", false}});
  w.run(40); // past the first list, and one in between
  auto order = [&w](int m, const std::string &action) {
    const auto answer = w.admin(1, "POST", "/admin/v1/machines/" + machine_name(m) + action);
    w.run(w.now() + 1);
    return answer->status;
  };
  EXPECT_EQ(order(kMax - 1, "/drain"), 200);
  EXPECT_EQ(order(kMax, "/drain"), 409);
  EXPECT_EQ(order(0, "/quarantine"), 200) << "one that stands already can be changed";
  EXPECT_EQ(order(1, "/release"), 200);
  EXPECT_EQ(order(kMax, "/drain"), 200);
  w.crash(2, 1); // and one that loads them anew
  w.run(w.now() + 10);
  for (int node = 0; node < 3; ++node)
    EXPECT_EQ(count_orders(w, node), wire::kMaxConfigRecords) << node;
  EXPECT_TRUE(w.broken.empty()) << test::all(w);
}

TEST(ConfigLimits, WhereAListingGoesOnIsChecked) {
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
