// What teams have used: exact sums, bounds that hold whatever fails, and budgets that are held.
#include <gtest/gtest.h>

#include "loftrouter/accounts/period.hpp"
#include "scenario.hpp"

using namespace loftrouter;
using namespace loftrouter::test;
using namespace loftrouter::accounts;

namespace {

// What the records of a world say: every ended job's usage, and the sums.
struct Books {
  std::map<std::string, std::pair<Usage, Resources>> jobs;
  std::map<std::string, Sums> by_team, by_period, of_jobs; // the last: by team, added up from jobs
  std::size_t ghosts = 0;

  explicit Books(const World &w) {
    auto add = [&](const SumsByTeam &sums) {
      for (const auto &[key, row] : sums) {
        by_team[key.second] += row;
        by_period[key.first] += row;
      }
    };
    auto ended = [&](const std::string &id, const std::optional<EndRecord> &e) {
      if (!e || !e->usage) return;
      jobs[id] = {*e->usage, e->need};
      of_jobs[e->team] += sums_of(*e->usage, e->need);
    };
    for (const auto &e : w.records("end/"))
      ended(e.key.substr(4), wire::end_from_json(e.value));
    for (const auto &e : w.records("open/"))
      ended(e.key.substr(5), wire::final_from_json(e.value));
    for (const auto &e : w.records("progress/"))
      if (auto shard = wire::progress_from_json(e.key, e.value)) {
        add(shard->sums);
        ghosts += shard->jobs.size();
      }
    for (const auto &e : w.records("accounts/"))
      if (auto sums = wire::sums_from_json(e.value)) add(*sums);
  }
};

// Days begin at 22:14, 40 s into the simulated world.
void begin_days(World &w) {
  w.put_record("conf/budgets",
               {{"every", "day"}, {"starts", "22:14"}, {"utc_offset", "+00:00"}, {"teams", nlohmann::json::object()}});
}

} // namespace

TEST(Accounts, RowsGoThereAndBackAndBadOnesAreRefused) {
  Usage u;
  u[Useful] = 1;
  u[Lost] = 123456789012345;
  EXPECT_EQ(unpack<kUsageColumns>(pack(u)), u);
  EXPECT_EQ(unpack<kUsageColumns>(pack(Usage{})), Usage{});
  for (const char *bad : {"1.", "-1", "1..2", "1.2.3.4.5.6.7.8.9.a", "zzzzzzzzzzzzzzzz", "1 "})
    EXPECT_FALSE(unpack<kUsageColumns>(bad)) << bad;
  const Sums s = sums_of(u, {0.5, 2, 1.25});
  EXPECT_EQ(s[Useful], 500);
  EXPECT_EQ(s[Gpu], 2000 * u.held());
  EXPECT_EQ(s[Memory], 1250 * u.held());
}

TEST(Accounts, PeriodsBeginByTheLocalClock) {
  const Clock night{20 * 60, 330, false};    // 20:00 at +05:30 is 14:30 UTC
  EXPECT_EQ(night.begin(1.7e9), 1699972200); // 2023-11-14 14:30 UTC
  EXPECT_EQ(night.name(1.7e9), "2023-11-14");
  EXPECT_EQ(night.name(night.begin(1.7e9) - 1), "2023-11-13");
  const Clock week{0, -600, true};
  EXPECT_EQ(week.name(1.7e9), "2023-11-13"); // a Monday
  EXPECT_EQ(week.end(1.7e9) - week.begin(1.7e9), 7 * 86400);
  EXPECT_FALSE(parse_minute("24:00") || parse_offset("05:30") || parse_offset("+15:00"));
}

// A later program's record is not guessed at, and one without sums, as earlier programs wrote it, is read.
TEST(Accounts, RecordsOfOtherVersions) {
  EXPECT_FALSE(wire::progress_from_json("progress/s0", {{"v", 3}, {"jobs", nlohmann::json::object()}}));
  const auto old = wire::progress_from_json("progress/s0", {{"jobs", {{"j-1", {{"s", "0"}, {"f", "0"}}}}}});
  ASSERT_TRUE(old);
  EXPECT_TRUE(old->sums.empty());
  EXPECT_EQ(old->jobs[0].second.at_ms, 0);
}

// A team whose budget is spent starts nothing more, also under the next leader; the other team goes on, what is held
// says so in plain words and is no cancellation, and with a larger budget it runs to its end.
TEST(Accounts, SpentBudgetIsHeldOverATakeoverAndSaysSo) {
  for (const char *when_spent : {"finish", "stop"}) {
    WorldOptions o;
    o.accounts = true;
    o.teams = {{"red", 0, 0, 0, 0}, {"blue", 0, 0, 0, 0}};
    World w(11, o);
    w.put_record("conf/budgets", {{"teams", {{"red", {{"cpu_hours", 0.05}, {"when_spent", when_spent}}}}}});
    std::string red, blue;
    w.at(2, [&] {
      auto job = w.job(Shape::Array, 200, 1, 10, "red");
      job.checkpoint_s = 1;
      red = w.submit(job);
      blue = w.submit(w.job(Shape::Array, 60, 1, 10, "blue"));
    });
    w.run(100);
    const int starts = w.starts_of(red);
    EXPECT_GT(starts, 10);
    EXPECT_LT(starts, 150);
    const double held = w.held_s(red);
    auto before = w.look_up(0, red);
    w.run(101);
    EXPECT_EQ(before->body["status"], "queued") << before->body;
    const auto reason = before->body.value("reason", "");
    EXPECT_NE(reason.find("held: team red has used its 0.05 CPU hours of this day"), std::string::npos) << reason;
    const bool stopped = std::string(when_spent) == "stop";
    EXPECT_TRUE(!stopped || reason.find("stopped because team red had used its budget") != std::string::npos) << reason;
    w.crash(w.leader(), 5);
    w.run(250);
    EXPECT_EQ(w.starts_of(red), starts) << "the next leader knows what was used";
    EXPECT_EQ(w.held_s(red), held);
    EXPECT_EQ(w.finished_jobs, 1); // blue's
    auto statement = w.admin(1, "GET", "/admin/v1/statement?team=red");
    w.run(251);
    auto raised = w.admin(1, "PUT", "/admin/v1/budgets", R"({"teams":{"red":{"cpu_hours":5}}})");
    w.run(700);
    EXPECT_EQ(statement->body["teams"][0]["spent"], true) << statement->body;
    EXPECT_GE(statement->body["teams"][0]["cpu_hours"]["held"].get<double>() * 3600, held);
    EXPECT_EQ(raised->body["teams"]["red"]["cpu_hours"], 5.0) << raised->body;
    EXPECT_EQ(w.finished_jobs, 2);
    EXPECT_TRUE(w.broken.empty()) << all(w);
  }
}

// Guards against records that outgrow the state service's limit, which would never be written again: accounts and sums
// have to find their room beside the sets of tasks. (With 30 characters reserved for an account this fails.)
TEST(Accounts, RecordsStayWithinWhatTheStateServiceTakes) {
  WorldOptions o;
  o.accounts = true;
  o.value_kb = 1.2;
  World w(5, o);
  begin_days(w);
  for (int i = 0; i < 60; ++i)
    w.at(2 + 0.1 * i, [&w, i] {
      auto job = w.job(Shape::Array, i % 3 ? 2 : 90, 1, 5, i % 2 ? "red" : "blue");
      if (i % 3 == 0) job.urgency = i % 2 ? Urgency::Low : Urgency::High; // preempted, so that starts are scattered too
      w.submit(job);
    });
  for (int i = 1; i < 4; ++i)
    w.at(20 * i, [&w] { w.crash(w.leader(), 3); });
  w.run(1500);
  EXPECT_TRUE(w.broken.empty()) << all(w).substr(0, 500);
  EXPECT_TRUE(w.all_over()) << w.finished_jobs;
  EXPECT_GT(w.records("progress/").size(), 3u);
}

// A broken record of a period that is over stops nothing, and is not written over.
TEST(Accounts, BrokenRecordIsLeftAlone) {
  WorldOptions o;
  o.accounts = true;
  World w(6, o);
  begin_days(w);
  w.put_record("accounts/2023-11-13", "scribble");
  mixed_load(w, 10);
  w.run(400);
  EXPECT_TRUE(w.broken.empty()) << all(w);
  EXPECT_TRUE(w.all_over()) << w.finished_jobs;
  EXPECT_EQ(w.records("accounts/2023-11-13")[0].value, "scribble");
  EXPECT_TRUE(Books(w).by_period.contains("2023-11-13")) << "its sums stay where they are";
}

TEST(Accounts, BadBudgetsAreRefusedNamingTheField) {
  auto refused = [](const char *body, int status, const char *what) {
    WorldOptions o;
    o.accounts = true;
    World w(12, o);
    w.run(20);
    auto a = w.admin(0, "PUT", "/admin/v1/budgets", body);
    w.run(25);
    EXPECT_EQ(a->status, status) << body;
    EXPECT_NE(a->body.dump().find(what), std::string::npos) << a->body;
  };
  wire::Budgets b; // named, but without hours: as much as there is
  EXPECT_FALSE(wire::apply_budgets({{"teams", {{"red", {{"warn_share", 0.5}}}}}}, b));
  EXPECT_LT(b.teams.at("red").cpu_hours, 0);
  EXPECT_FALSE(wire::to_json(b)["teams"]["red"].contains("cpu_hours"));
  refused(R"({"teams":{"red":{"cpu_hours":-1}}})", 400, "teams.red");
  refused(R"({"starts":"8 pm"})", 400, "starts");
  refused(R"({"utc_offset":"IST"})", 400, "utc_offset");
  refused(R"({"teams":{"nobody":{"cpu_hours":1}}})", 422, "no such team");
  refused(R"({"tems":{}})", 400, "tems");
}

class AccountsSeeds : public ::testing::TestWithParam<int> {};

// Whatever fails: no team is charged less than its tasks have held, nothing is charged twice beyond the part that is
// called uncertain, and the teams' sums are their jobs' to the last digit, over takeovers and the end of a period.
TEST_P(AccountsSeeds, EncloseTheTruthAndAddUp) {
  const auto seed = static_cast<std::uint64_t>(GetParam());
  auto o = troubled(seed);
  o.accounts = true;
  World w(seed, o);
  begin_days(w);
  mixed_load(w, 30);
  make_trouble(w, seed);
  for (double t = 400; t <= 3000 && (t == 400 || w.open_records() > 0); t += 200)
    w.run(t);
  w.run(w.now() + 10); // what is written lazily
  EXPECT_TRUE(w.broken.empty()) << all(w);
  const Books books(w);
  EXPECT_GT(books.jobs.size(), 20u);
  for (const auto &[id, job] : books.jobs) {
    const auto &u = job.first;
    const double held = w.held_s(id) * 1000;
    EXPECT_GE(u.held() + 20, held) << "seed " << seed << " job " << id; // clocks of nodes differ by some ms
    // What a place is held for beyond the work itself: the start on its way, reports, and leases of lost machines.
    const double beyond = static_cast<double>(u[Attempts] + u[Retries] + 3) * (o.lease_s + 8 + 30) * 1000;
    EXPECT_LE(u.held() - u[Uncertain] - u[Unsorted], held + beyond) << "seed " << seed << " job " << id;
  }
  ASSERT_EQ(books.ghosts, 0u) << "seed " << seed << ": jobs are over, their records have followed";
  for (const auto &[team, sums] : books.of_jobs) {
    EXPECT_EQ(books.by_team.at(team), sums) << "seed " << seed << " team " << team;
  }
  EXPECT_EQ(books.by_period.size(), 2u);
  EXPECT_EQ(w.records("accounts/").size(), 1u) << "the day that is over is in a record of its own";
}

INSTANTIATE_TEST_SUITE_P(Accounts, AccountsSeeds, ::testing::Range(1, 1 + seeds(8)));
