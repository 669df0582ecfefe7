// The command-line client's parts, and the features file.
#include <gtest/gtest.h>

#include "loftrouter/app/features.hpp"
#include "loftrouter/client/report.hpp"
#include "loftrouter/client/service_client.hpp"
#include "loftrouter/client/tables.hpp"

using namespace loftrouter;
using namespace loftrouter::client;
using nlohmann::json;

namespace {

// A service of which each try is answered from a list; time passes only by waiting.
struct Fake {
  std::vector<Answer> answers;
  std::vector<std::string> urls;
  double now = 0;

  Answer ask(const std::string &method, double deadline_s) {
    ServiceClient s("a:1,http://b:2/", deadline_s,
                    [this](const std::string &, const std::string &url, const std::string &, double) {
                      urls.push_back(url);
                      now += 0.01;
                      return answers[std::min(urls.size(), answers.size()) - 1];
                    },
                    {[this] { return now; }, [this](double s) { now += s; }, [] { return 0.5; }});
    return s.ask(method, "/x");
  }
};

} // namespace

TEST(Client, TriesOtherNodesAndHeedsRetryAfterWithinItsDeadline) {
  Fake f;
  f.answers = {{0, "", "refused", 0}, {503, "", "", 7}, {200, "yes", "", 0}};
  EXPECT_EQ(f.ask("GET", 30).body, "yes");
  EXPECT_EQ(f.urls, (std::vector<std::string>{"http://a:1/x", "http://b:2/x", "http://a:1/x"}));
  EXPECT_GT(f.now, 7);
  Fake late;
  late.answers = {{503, "", "", 7}};
  EXPECT_EQ(late.ask("GET", 5).status, 503); // not kept waiting for what cannot come in time
  EXPECT_LT(late.now, 5);
  Fake once;
  once.answers = {{0, "", "no answer", 0}};
  EXPECT_EQ(once.ask("POST", 30).status, 0); // may have been carried out
  EXPECT_EQ(once.urls.size(), 1u);
}

TEST(Client, NamesFromOutsideAreNeitherFormulasNorMarkupNorControl) {
  const Table t{{"a", "b"}, {{"=cmd()", "x,\"y\"\n"}, {"-3.5", "\x1b[2J"}}};
  EXPECT_EQ(to_csv(t), "a,b\r\n'=cmd(),\"x,\"\"y\"\"\n\"\r\n-3.5,\x1b[2J\r\n");
  EXPECT_EQ(to_text(t).find('\x1b'), std::string::npos);
  const json statement = {
      {"period", {{"name", "2026-12-01"}}},
      {"teams", {{{"team", "red"}, {"budget_cpu_hours", 2.0}, {"spent", true}}}},
      {"jobs",
       {{{"id", "j-1"}, {"team", "red"}, {"class", "<script>"}, {"outcome", "done"}, {"late", false}},
        {{"id", "j-2"}, {"team", "blue"}, {"outcome", "done"}, {"late", false}}}}};
  const json open = {
      {"jobs", {{{"id", "j-3"}, {"team", "red"}, {"reason", "held: team red has used its 2 CPU hours"}}}}};
  const auto page = report_html(statement, open, "<svg/>");
  EXPECT_EQ(page.find("<script>"), std::string::npos);
  EXPECT_NE(page.find("&lt;script&gt;"), std::string::npos);
  EXPECT_NE(page.find("<svg/>"), std::string::npos);
  EXPECT_NE(page.find("Held by the budget"), std::string::npos);
  EXPECT_EQ(page.find("j-2"), std::string::npos) << "another team's, which this statement does not list";
  EXPECT_EQ(page.find("http"), std::string::npos) << "it opens offline";
}

TEST(Features, BadFilesAreRefusedWithTheirPlace) {
  auto problem = [](const std::string &text) {
    auto out = app::parse_features(text);
    auto *p = std::get_if<std::string>(&out);
    return p ? *p : "";
  };
  EXPECT_EQ(problem(""), "");
  EXPECT_EQ(problem("[accounts]\nenabled = true"), "");
  EXPECT_EQ(problem("[accounts]\nenabled = 1"), "line 2, column 11: accounts.enabled: true or false is wanted");
  EXPECT_EQ(problem("\n  [acounts]").substr(0, 7), "line 2,");
  EXPECT_NE(problem("[accounts]\nenabeld = true").find("line 2, column 1: accounts.enabeld: no such key"),
            std::string::npos);
  EXPECT_EQ(problem("[accounts\n").substr(0, 7), "line 1,");
  const std::string cells = "[cells]\nname = \"north\"\n[[cells.other]]\n";
  EXPECT_EQ(problem(cells + "name = \"south\"\nnodes = [\"10.0.0.1:1\"]"), "");
  EXPECT_EQ(problem(cells + "name = \"north\"\nnodes = [\"10.0.0.1:1\"]"),
            "line 4, column 8: cells.other.name: is this cell itself");
  EXPECT_NE(problem(cells + "name = \"south\"\nnodes = [\"a\"]").find("an IPv4 address and port"), std::string::npos);
  const auto twice = cells + "name = \"south\"\nnodes = [\"10.0.0.1:1\"]\n[[cells.other]]\n";
  EXPECT_NE(problem(twice + "name = \"south\"\nnodes = [\"10.0.0.2:1\"]").find("is there twice"), std::string::npos);
  EXPECT_NE(problem(twice + "name = \"west\"\nnodes = [\"10.0.0.1:1\"]").find("in two cells"), std::string::npos);
  EXPECT_NE(problem("[cells]\n").find("the name of this cell is wanted"), std::string::npos);
  auto example = app::load_features(CELLS);
  Settings own;
  own.peer_listen = "10.9.0.1:8081"; // an address of the example's other cell
  EXPECT_NE(app::apply_features(std::get<app::Features>(example), own), "");
  own.peer_listen = "10.0.0.1:8081";
  EXPECT_EQ(app::apply_features(std::get<app::Features>(example), own), "");
  EXPECT_EQ(own.cells.others.size(), 1u);
  auto real = app::load_features(FEATURES);
  EXPECT_TRUE(std::get<app::Features>(real).accounts);
}

// Guards against tables that read what is gone: they iterated over a map that had ended with its expression.
TEST(Client, TablesOfQuotasAndOfWhereTheyAreInForce) {
  const auto quotas =
      loftrouter::client::quotas_table(nlohmann::json::parse(R"({"teams": {"red": {"cpus": 1.0, "cpus_max": 90.0,
    "here": {"cpus_max": 30.0}, "version": 4, "owner": "south", "held": {"north": {"cpus": 30.0}, "south": {"cpus": 60.0}}},
    "blue": {"here": {}}}})"));
  ASSERT_EQ(quotas.rows.size(), 2U);
  EXPECT_EQ(quotas.rows[0].front(), "blue");
  EXPECT_EQ(quotas.rows[1].back(), "north=30.000 south=60.000");
  EXPECT_EQ(quotas.rows[1][3], "30.000");
  const auto status =
      loftrouter::client::configuration_table(nlohmann::json::parse(R"({"records": [{"record": "config/quota/red",
    "revision": 12, "in_force_since": {"a": "01:02:03Z", "b": "01:02:04Z"}, "not_in_force_at": ["c"]}]})"));
  ASSERT_EQ(status.rows.size(), 1U);
  EXPECT_EQ(status.rows[0][2], "a since 01:02:03Z, b since 01:02:04Z");
  EXPECT_EQ(status.rows[0][3], "c");
  const auto history = loftrouter::client::history_table(nlohmann::json::parse(
      R"({"changes": [{"at": "01:02:03Z", "guaranteed": {"cpus": 0.0}, "most": {"cpus": 5.0}}]})"));
  ASSERT_EQ(history.rows.size(), 1U);
  EXPECT_EQ(history.rows[0][2], "5.000");
  EXPECT_TRUE(loftrouter::client::quotas_table(nullptr).rows.empty());
  EXPECT_TRUE(loftrouter::client::configuration_table(nullptr).rows.empty());
}
