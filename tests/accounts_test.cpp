// Usage accounting: exact sums, bounds on charged usage under failures, enforcement of budgets.
#include <gtest/gtest.h>

#include "loftrouter/accounts/period.hpp"
#include "loftrouter/wire/storage_keys.hpp"
#include "scenario.hpp"

using namespace loftrouter;
using namespace loftrouter::test;
using namespace loftrouter::accounts;

namespace {

// The accounting records that a simulated cluster has stored: the usage of ended jobs, and sums.
class RecordedAccounts {
public:
  struct JobUsage {
    Usage usage;
    Resources need;
  };

  explicit RecordedAccounts(const World &world) {
    for (const auto &record : world.records("end/"))
      add_end(wire::record_name(record.key), wire::end_from_json(record.value));
    for (const auto &record : world.records("open/"))
      add_end(wire::record_name(record.key), wire::final_from_json(record.value));
    for (const auto &record : world.records("progress/"))
      if (const auto shard = wire::progress_from_json(record.key, record.value)) {
        add_sums(shard->sums);
        jobs_with_progress += shard->jobs.size();
      }
    for (const auto &record : world.records("accounts/"))
      if (const auto sums = wire::sums_from_json(record.value)) add_sums(*sums);
  }

  std::map<std::string, JobUsage> ended_jobs; // by id
  std::map<std::string, Sums> by_team;        // from the stored sums
  std::map<std::string, Sums> by_period;
  std::map<std::string, Sums> team_totals; // by team, computed from ended jobs
  std::size_t jobs_with_progress = 0;

private:
  void add_sums(const SumsByTeam &sums) {
    for (const auto &[key, row] : sums) {
      by_team[key.second] += row;
      by_period[key.first] += row;
    }
  }
  void add_end(const std::string &id, const std::optional<EndRecord> &end) {
    if (!end || !end->usage) return;
    ended_jobs[id] = {*end->usage, end->need};
    team_totals[end->team] += sums_of(*end->usage, end->need);
  }
};

// Makes accounting days begin at 22:14, which is 40 s after the start of the simulation.
void set_day_start(World &world) {
  world.put_record(
      "conf/budgets",
      {{"every", "day"}, {"starts", "22:14"}, {"utc_offset", "+00:00"}, {"teams", nlohmann::json::object()}});
}

} // namespace

TEST(Accounts, PackedRowsRoundTrip) {
  Usage usage;
  usage[Useful] = 1;
  usage[Lost] = 123456789012345;
  EXPECT_EQ(unpack<kUsageColumns>(pack(usage)), usage);
  EXPECT_EQ(unpack<kUsageColumns>(pack(Usage{})), Usage{});
}

TEST(Accounts, MalformedRowsAreRejected) {
  for (const char *text : {"1.", "-1", "1..2", "1.2.3.4.5.6.7.8.9.a", "zzzzzzzzzzzzzzzz", "1 "})
    EXPECT_FALSE(unpack<kUsageColumns>(text)) << text;
}

TEST(Accounts, SumsAreUsageTimesResources) {
  Usage usage;
  usage[Useful] = 1;
  usage[Lost] = 123456789012345;
  const Sums sums = sums_of(usage, {0.5, 2, 1.25});
  EXPECT_EQ(sums[Useful], 500);
  EXPECT_EQ(sums[Gpu], 2000 * usage.held());
  EXPECT_EQ(sums[Memory], 1250 * usage.held());
}

TEST(Accounts, DaysBeginAtLocalTime) {
  const PeriodSchedule night{20 * 60, 330, false}; // 20:00 at +05:30 is 14:30 UTC
  EXPECT_EQ(night.begin(1.7e9), 1699972200);       // 2023-11-14 14:30 UTC
  EXPECT_EQ(night.name(1.7e9), "2023-11-14");
  EXPECT_EQ(night.name(night.begin(1.7e9) - 1), "2023-11-13");
}

TEST(Accounts, WeeksBeginOnMonday) {
  const PeriodSchedule week{0, -600, true};
  EXPECT_EQ(week.name(1.7e9), "2023-11-13"); // a Monday
  EXPECT_EQ(week.end(1.7e9) - week.begin(1.7e9), 7 * 86400);
}

TEST(Accounts, InvalidTimesAndOffsetsAreRejected) {
  EXPECT_FALSE(parse_minute("24:00"));
  EXPECT_FALSE(parse_minute("2O:00"));
  EXPECT_FALSE(parse_offset("05:30"));
  EXPECT_FALSE(parse_offset("+15:00"));
}

TEST(Accounts, ProgressRecordOfLaterVersionIsRejected) {
  EXPECT_FALSE(wire::progress_from_json("progress/s0", {{"v", 3}, {"jobs", nlohmann::json::object()}}));
}

// Earlier versions write progress records without sums.
TEST(Accounts, ProgressRecordWithoutSumsIsAccepted) {
  const auto shard = wire::progress_from_json("progress/s0", {{"jobs", {{"j-1", {{"s", "0"}, {"f", "0"}}}}}});
  ASSERT_TRUE(shard);
  EXPECT_TRUE(shard->sums.empty());
  EXPECT_EQ(shard->jobs[0].second.at_ms, 0);
}

class ExhaustedBudget : public ::testing::TestWithParam<const char *> {}; // parameter: `when_spent`

// A team with an exhausted budget starts no tasks, also after a failover, and its jobs show the reason. Other teams are
// not affected, and the jobs complete after the budget is raised.
TEST_P(ExhaustedBudget, IsEnforcedAcrossFailover) {
  const std::string when_spent = GetParam();
  WorldOptions options;
  options.accounts = true;
  options.teams = {{"red", 0, 0, 0, 0}, {"blue", 0, 0, 0, 0}};
  World world(11, options);
  world.put_record("conf/budgets", {{"teams", {{"red", {{"cpu_hours", 0.05}, {"when_spent", when_spent}}}}}});
  std::string red, blue;
  world.at(2, [&] {
    auto job = world.job(Shape::Array, 200, 1, 10, "red");
    job.checkpoint_s = 1;
    red = world.submit(job);
    blue = world.submit(world.job(Shape::Array, 60, 1, 10, "blue"));
  });
  world.run(100);
  const int starts = world.starts_of(red);
  EXPECT_GT(starts, 10);
  EXPECT_LT(starts, 150);
  const double held = world.held_s(red);
  auto red_view = world.look_up(0, red);
  world.run(101);
  EXPECT_EQ(red_view->body["status"], "queued") << red_view->body;
  const auto reason = red_view->body.value("reason", "");
  EXPECT_NE(reason.find("held: team red has used its 0.05 CPU hours of this day"), std::string::npos) << reason;
  const bool stopped = when_spent == "stop";
  EXPECT_TRUE(!stopped || reason.find("stopped because team red had used its budget") != std::string::npos) << reason;
  world.crash(world.leader(), 5);
  world.run(250);
  EXPECT_EQ(world.starts_of(red), starts) << "a task was started after the failover";
  EXPECT_EQ(world.held_s(red), held);
  EXPECT_EQ(world.finished_jobs, 1); // team blue's
  auto statement = world.admin(1, "GET", "/admin/v1/statement?team=red");
  world.run(251);
  auto raised = world.admin(1, "PUT", "/admin/v1/budgets", R"({"teams":{"red":{"cpu_hours":5}}})");
  world.run(700);
  EXPECT_EQ(statement->body["teams"][0]["spent"], true) << statement->body;
  EXPECT_GE(statement->body["teams"][0]["cpu_hours"]["held"].get<double>() * 3600, held);
  EXPECT_EQ(raised->body["teams"]["red"]["cpu_hours"], 5.0) << raised->body;
  EXPECT_EQ(world.finished_jobs, 2);
  EXPECT_TRUE(world.broken.empty()) << all(world);
}

INSTANTIATE_TEST_SUITE_P(Accounts, ExhaustedBudget, ::testing::Values("finish", "stop"));

// A progress record that exceeds the state service's value size could never be written again.
TEST(Accounts, ProgressRecordsStayWithinTheValueSize) {
  WorldOptions options;
  options.accounts = true;
  options.value_kb = 1.2;
  World world(5, options);
  set_day_start(world);
  for (int number = 0; number < 60; ++number)
    world.at(2 + 0.1 * number, [&world, number] {
      auto job = world.job(Shape::Array, number % 3 ? 2 : 90, 1, 5, number % 2 ? "red" : "blue");
      if (number % 3 == 0)
        job.priority = number % 2 ? Priority::Low : Priority::High; // preemption scatters the started tasks
      world.submit(job);
    });
  for (int crash = 1; crash < 4; ++crash)
    world.at(20 * crash, [&world] { world.crash(world.leader(), 3); });
  world.run(1500);
  EXPECT_TRUE(world.broken.empty()) << all(world).substr(0, 500);
  EXPECT_TRUE(world.all_over()) << world.finished_jobs;
  EXPECT_GT(world.records("progress/").size(), 3u);
}

// If a period record cannot be read, its sums stay in the progress records and jobs continue.
TEST(Accounts, UnreadablePeriodRecordIsNotOverwritten) {
  WorldOptions options;
  options.accounts = true;
  World world(6, options);
  set_day_start(world);
  world.put_record("accounts/2023-11-13", "scribble");
  mixed_load(world, 10);
  world.run(400);
  EXPECT_TRUE(world.broken.empty()) << all(world);
  EXPECT_TRUE(world.all_over()) << world.finished_jobs;
  EXPECT_EQ(world.records("accounts/2023-11-13")[0].value, "scribble");
  EXPECT_TRUE(RecordedAccounts(world).by_period.contains("2023-11-13")) << "sums missing from the progress records";
}

namespace {
void expect_rejected(const char *body, int status, const char *message_part) {
  WorldOptions options;
  options.accounts = true;
  World world(12, options);
  world.run(20);
  const auto answer = world.admin(0, "PUT", "/admin/v1/budgets", body);
  world.run(25);
  EXPECT_EQ(answer->status, status) << body;
  EXPECT_NE(answer->body.dump().find(message_part), std::string::npos) << answer->body;
}
} // namespace

TEST(Accounts, BudgetWithoutHoursIsUnlimited) {
  wire::Budgets budgets;
  EXPECT_FALSE(wire::apply_budgets({{"teams", {{"red", {{"warn_share", 0.5}}}}}}, budgets));
  EXPECT_LT(budgets.teams.at("red").cpu_hours, 0);
  EXPECT_FALSE(wire::to_json(budgets)["teams"]["red"].contains("cpu_hours"));
}

TEST(Accounts, RejectionOfInvalidBudgetNamesTheField) {
  expect_rejected(R"({"teams":{"red":{"cpu_hours":-1}}})", 400, "teams.red");
  expect_rejected(R"({"starts":"8 pm"})", 400, "starts");
  expect_rejected(R"({"utc_offset":"IST"})", 400, "utc_offset");
  expect_rejected(R"({"teams":{"nobody":{"cpu_hours":1}}})", 422, "no such team");
  expect_rejected(R"({"tems":{}})", 400, "tems");
}

class AccountsSeeds : public ::testing::TestWithParam<int> {};

// Under random failures, failovers and the end of a period: jobs are charged at least the time that their tasks have
// held, only uncertain usage may be charged twice, and the sums of each team equal those of its jobs exactly.
TEST_P(AccountsSeeds, ChargeAllHeldTimeAndAddUp) {
  const auto seed = static_cast<std::uint64_t>(GetParam());
  auto options = troubled(seed);
  options.accounts = true;
  World world(seed, options);
  set_day_start(world);
  mixed_load(world, 30);
  make_trouble(world, seed);
  for (double until = 400; until <= 3000 && (until == 400 || world.open_records() > 0); until += 200)
    world.run(until);
  world.run(world.now() + 10); // until delayed writes are committed
  EXPECT_TRUE(world.broken.empty()) << all(world);
  const RecordedAccounts recorded(world);
  EXPECT_GT(recorded.ended_jobs.size(), 20u);
  for (const auto &[id, job] : recorded.ended_jobs) {
    const Usage &usage = job.usage;
    const double held = world.held_s(id) * 1000;
    EXPECT_GE(usage.held() + 20, held) << "seed " << seed << " job " << id; // clock differences between nodes
    // An allocation is also held while commands and heartbeats are in transit and until a lost machine's lease expires.
    const double overhead =
        static_cast<double>(usage[Attempts] + usage[Retries] + 3) * (options.lease_s + 8 + 30) * 1000;
    EXPECT_LE(usage.held() - usage[Uncertain] - usage[Unresolved], held + overhead) << "seed " << seed << " job " << id;
  }
  ASSERT_EQ(recorded.jobs_with_progress, 0u)
      << "seed " << seed << ": progress records remain after all jobs have ended";
  for (const auto &[team, sums] : recorded.team_totals) {
    EXPECT_EQ(recorded.by_team.at(team), sums) << "seed " << seed << " team " << team;
  }
  EXPECT_EQ(recorded.by_period.size(), 2u);
  EXPECT_EQ(world.records("accounts/").size(), 1u) << "only the day that has ended should have a record";
}

INSTANTIATE_TEST_SUITE_P(Accounts, AccountsSeeds, ::testing::Range(1, 1 + seeds(8)));
