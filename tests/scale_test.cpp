// What the scale run's figures rest on: scenarios are checked, the judge sees each rule broken, the stand-in for the
// state service enforces its limits, and lines are fitted as they should be.
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>

#include "../bench/scale/capacity_table.hpp"
#include "../bench/scale/judge.hpp"
#include "../bench/scale/measurements.hpp"
#include "../bench/scale/stand_in_state.hpp"
#include "free_port.hpp"
#include "loftrouter/net/client.hpp"
#include "loftrouter/wire/cbor.hpp"

using namespace loftrouter;
using namespace loftrouter::scale;

namespace {

const std::string kScenario = R"(
name = "small"
workers = 120
teams = 4
task_starts_per_s = 10.0
[[worker_types]]
name = "only"
cpus = 4.0
[[job_classes]]
name = "bulk"
shape = "array"
urgency = "low"
least_tasks = 3
most_tasks = 3
starts_share = 0.5
[[job_classes]]
name = "joint"
shape = "gang"
urgency = "normal"
least_tasks = 4
most_tasks = 4
one_zone = true
starts_share = 0.5
)";

std::string problem_with(const std::string &scenario) {
  try {
    parse_scenario(scenario);
  } catch (const ScenarioError &e) {
    return e.what();
  }
  return "";
}

TEST(Scale, ScenarioNamesTheFieldThatIsWrong) {
  EXPECT_EQ(problem_with(kScenario), "");
  EXPECT_NE(problem_with("workers = 0\n" + kScenario).find("workers"), std::string::npos);
  EXPECT_NE(problem_with(kScenario + "color = 1\n").find("job_classes[1].color: no such field"), std::string::npos);
  EXPECT_NE(problem_with(kScenario + "[state]\nvalue_kb = \"8\"\n").find("state.value_kb"), std::string::npos);
  EXPECT_NE(problem_with(kScenario + "[[faults]]\nkind = \"flood\"\n").find("faults[0].kind"), std::string::npos);
  EXPECT_NE(problem_with("name = \n").find("line 1"), std::string::npos);
}

TEST(Scale, AScenarioSaysOnlyWhatDiffersFromItsBase) {
  const auto directory = std::filesystem::temp_directory_path() / ("loft-scenario-" + std::to_string(::getpid()));
  std::filesystem::create_directories(directory);
  std::ofstream(directory / "base.toml") << kScenario;
  std::ofstream(directory / "other.toml") << "base = \"base.toml\"\nname = \"other\"\n[state]\nvalue_kb = 4.0\n";
  const auto s = load_scenario((directory / "other.toml").string());
  std::filesystem::remove_all(directory);
  EXPECT_EQ(s.name, "other");
  EXPECT_EQ(s.workers, 120);
  EXPECT_EQ(s.state_value_kb, 4);
  EXPECT_EQ(s.classes.size(), 2U);
}

class ScaleJudge : public testing::Test {
protected:
  std::uint64_t broken(const std::string &rule) {
    judge.advance(1e6);
    const auto it = judge.broken().find(rule);
    return it == judge.broken().end() ? 0 : it->second;
  }
  std::uint32_t job_of(Shape shape) const {
    for (std::uint32_t n = 0;; ++n)
      if (workload.job(n).spec.shape == shape) return n;
  }
  void submit(std::uint32_t job) { judge.add({.kind = JudgeEvent::Kind::Submitted, .at = 1, .job = job}); }
  void on(double at, int worker, std::uint32_t job, std::uint32_t index) {
    judge.add({.kind = JudgeEvent::Kind::TaskOn, .at = at, .worker = worker, .job = job, .index = index, .attempt = 1});
  }
  void off(double at, int worker, std::uint32_t job, std::uint32_t index) {
    judge.add({.kind = JudgeEvent::Kind::TaskOff,
               .at = at,
               .worker = worker,
               .job = job,
               .index = index,
               .attempt = 1,
               .cause = ExitCause::Done});
  }

  const Scenario scenario = parse_scenario(kScenario);
  const Workload workload{scenario, 3};
  Judge judge{scenario, workload};
};

TEST_F(ScaleJudge, AnOrdinaryRunBreaksNothing) {
  const auto job = job_of(Shape::Array);
  submit(job);
  for (std::uint32_t i = 0; i < 3; ++i) {
    on(2, 5, job, i);
    off(3, 5, job, i);
  }
  judge.add({.kind = JudgeEvent::Kind::Done, .at = 4, .job = job});
  judge.advance(100);
  EXPECT_TRUE(judge.broken().empty());
}

TEST_F(ScaleJudge, SeesATaskOnTwoMachinesAlsoWhenToldOutOfOrder) {
  const auto job = job_of(Shape::Array);
  on(3, 7, job, 0);
  off(4, 5, job, 0);
  on(2, 5, job, 0);
  submit(job);
  EXPECT_EQ(broken("ran_twice"), 1U);
}

// On a machine that falls behind, a start may be told after the end that followed it: that is no proof of anything.
TEST_F(ScaleJudge, CountsEventsThatCameTooLateToBeJudgedInOrder) {
  const auto job = job_of(Shape::Array);
  submit(job);
  judge.advance(50);
  EXPECT_EQ(judge.late_events(), 0U);
  on(30, 5, job, 0);
  EXPECT_EQ(judge.late_events(), 1U);
}

TEST_F(ScaleJudge, SeesJobsDoneTooEarlyAndTasksAfterTheirCancellation) {
  const auto job = job_of(Shape::Array);
  submit(job);
  on(2, 5, job, 0);
  judge.add({.kind = JudgeEvent::Kind::Done, .at = 3, .job = job});
  judge.add({.kind = JudgeEvent::Kind::Cancelled, .at = 4, .job = job});
  EXPECT_EQ(broken("not_done"), 1U);
  EXPECT_EQ(broken("ran_cancelled"), 1U);
}

TEST_F(ScaleJudge, SeesAGangInTwoZonesAndStartsThatNobodySubmitted) {
  const auto job = job_of(Shape::Gang);
  on(2, 0, job, 0);
  on(2.1, scenario.regions, job, 1); // the next zone of the same region
  EXPECT_EQ(broken("wrong_place"), 1U);
  EXPECT_EQ(broken("invented"), 2U);
}

TEST_F(ScaleJudge, AddsUpATeamOverItsRegions) {
  double used[2] = {};
  std::uint32_t jobs = 0;
  for (std::uint32_t n = 0; used[0] + used[1] <= workload.team_limit(0); ++n) {
    const auto plan = workload.job(n);
    if (plan.team != 0 || plan.region > 1) continue;
    submit(n);
    for (std::uint32_t i = 0; i < plan.spec.tasks; ++i)
      on(2, plan.region, n, i);
    used[plan.region] += plan.spec.need.cpus * plan.spec.tasks;
    ++jobs;
  }
  ASSERT_LE(std::max(used[0], used[1]), workload.team_limit(0));
  EXPECT_GT(broken("quota_over_regions"), 0U);
  EXPECT_EQ(broken("quota"), 0U);
}

TEST(Scale, LeastSquares) {
  const auto line = fit({1, 2, 3, 4}, {3, 5, 7, 9});
  EXPECT_NEAR(line.base, 1, 1e-9);
  EXPECT_NEAR(line.slope, 2, 1e-9);
  EXPECT_NEAR(line.residual, 0, 1e-9);
  EXPECT_NEAR(fit({1, 2, 3, 4}, {1, 3, 3, 1}).residual, 1, 1e-9);
  EXPECT_EQ(quantile({5, 1, 4, 2, 3}, 0.5), 3);
  EXPECT_EQ(quantile({}, 0.5), 0);
}

// Asks the stand-in one question after the other.
class ScaleState : public testing::Test {
protected:
  int ask(const std::string &method, const std::string &target, const wire::Json &body = {}) {
    int status = 0;
    client.request(method, target, wire::encode(body), 5, [&](int s, std::string &&text) {
      status = s;
      answer = wire::decode(text).value_or(wire::Json());
      loop.stop();
    });
    loop.run();
    return status;
  }
  int put(const std::string &key, const wire::Json &value, std::uint64_t guard) {
    return ask("POST", "/commit",
               {{"guards", {{{"k", key}, {"stamp", guard}}}}, {"writes", {{{"set", key}, {"v", value}}}}});
  }

  net::Loop loop;
  const std::string address = "127.0.0.1:" + std::to_string(test::free_port());
  StateStandIn state{loop, address, {.changes_per_s = 3, .value_kb = 1, .transaction_changes = 2}};
  net::HttpClient client{loop, *net::parse_address(address), {}};
  wire::Json answer;
};

TEST_F(ScaleState, EnforcesItsLimits) {
  EXPECT_EQ(put("a", 1, 0), 200);
  EXPECT_EQ(put("a", 2, 0), 409) << "the guard names another revision";
  EXPECT_EQ(put("b", std::string(2000, 'x'), 0), 400) << "too large";
  EXPECT_EQ(put("b", 1, 0), 200);
  EXPECT_EQ(put("c", 1, 0), 429) << "the fourth change within a second, failed ones counted";
  EXPECT_EQ(ask("GET", "/store?under=&most=1"), 200);
  EXPECT_EQ(answer["entries"].size(), 1U);
  EXPECT_EQ(answer["truncated"], true);
  EXPECT_EQ(ask("GET", "/store/c"), 404);
  EXPECT_EQ(ask("GET", "/follow?under=b&from=0&hold_ms=0"), 200);
  EXPECT_EQ(answer["events"].size(), 1U);
}

} // namespace
