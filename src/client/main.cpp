// loft, the command-line client.
#include <cstdio>
#include <fstream>
#include <iostream>

#include <CLI/CLI.hpp>
#include <fmt/format.h>

#include "loftrouter/client/ask.hpp"
#include "loftrouter/client/render.hpp"

using namespace loft::client;
using nlohmann::json;

namespace {

enum Exit { kGood = 0, kRefused = 1, kUsage = 2, kUnreachable = 3 };

struct Stop {
  int code;
  std::string why;
};

json ask(Service &service, const std::string &method, const std::string &path, const json &body = nullptr) {
  const auto a = service.ask(method, path, body.is_null() ? "" : body.dump());
  if (a.status == 0) throw Stop{kUnreachable, "no answer: " + a.problem};
  auto j = json::parse(a.body, nullptr, false);
  const std::string error = j.is_object() ? j.value("error", "") : "";
  if (a.status >= 500) throw Stop{kUnreachable, fmt::format("the service cannot tell now ({}): {}", a.status, error)};
  if (a.status >= 400) throw Stop{kRefused, fmt::format("{} ({})", error.empty() ? "refused" : error, a.status)};
  if (!j.is_object()) throw Stop{kUnreachable, "not an answer of loftrouter: is this its address?"};
  return j;
}

// All pages of a list of jobs.
json pages(Service &service, const std::string &path, const std::string &query) {
  json all;
  for (std::string from;;) {
    std::string q = query;
    if (!from.empty()) q += (q.empty() ? "" : "&") + ("from=" + from);
    auto page = ask(service, "GET", path + (q.empty() ? "" : "?" + q));
    if (all.is_null())
      all = page;
    else
      for (auto &x : page["jobs"])
        all["jobs"].push_back(std::move(x));
    const auto next = page.value("next", json());
    if (!next.is_string() || next == from) return all;
    from = next.get<std::string>();
  }
}

} // namespace

int main(int argc, char **argv) {
  CLI::App app{"loft, the command-line client of loftrouter", "loft"};
  app.require_subcommand(1);
  app.set_version_flag("--version", std::string("loft ") + LOFTROUTER_VERSION);
  app.footer("Exit codes: 0 good, 1 refused by the service, 2 wrong use, 3 no answer in time.\n"
             "LOFT_SERVER names the nodes: LOFT_SERVER=10.0.0.1:8080,10.0.0.2:8080 loft jobs");
  std::string server = "127.0.0.1:8080", output = "table";
  double timeout = 20;
  app.add_option("--server", server, "nodes of the service, joined by commas")->envname("LOFT_SERVER");
  app.add_option("-o,--output", output, "table, json or csv")->check(CLI::IsMember({"table", "json", "csv"}));
  app.add_option("--timeout", timeout, "seconds for an answer, all tries together")->check(CLI::Range(0.1, 3600.0));
  app.fallthrough();

  std::string team, period, html, when_spent, every, starts, offset, budget_team;
  double cpu_hours = -1, warn = -1;
  bool late = false, ended = false, none = false;
  auto for_team = [&](CLI::App *c) { c->add_option("--team", team, "only this team's"); };
  auto *jobs = app.add_subcommand("jobs", "open jobs: how far they are, and why they wait");
  for_team(jobs);
  jobs->add_flag("--late", late, "only those that will miss or have missed their time");
  jobs->add_flag("--ended", ended, "those that ended within a day instead");
  jobs->footer("loft jobs --team backoffice --late");
  auto *statement = app.add_subcommand("statement", "what each team and its jobs have used in a period");
  for_team(statement);
  statement->add_option("--period", period, "date of its beginning, 2026-12-01; the present one if left out");
  bool by_job = false;
  statement->add_flag("--jobs", by_job, "by job rather than by team");
  statement->footer("loft statement --jobs -o csv > night.csv");
  auto *budget = app.add_subcommand("budget", "what teams may use in a period");
  budget->require_subcommand(1);
  auto *get = budget->add_subcommand("get", "budgets and the clock of their periods");
  auto *set = budget->add_subcommand("set", "set a team's budget, or the clock");
  set->add_option("team", budget_team, "the team; may be left out to set the clock alone");
  set->add_option("--cpu-hours", cpu_hours, "CPU hours a period");
  set->add_option("--warn-share", warn, "share of it from which on it is told that it will run out");
  set->add_option("--when-spent", when_spent, "running tasks: finish or stop (with saving)");
  set->add_flag("--none", none, "no budget for this team");
  set->add_option("--every", every, "day or week");
  set->add_option("--starts", starts, "time of day at which periods begin, 20:00");
  set->add_option("--utc-offset", offset, "local time minus UTC, +05:30");
  set->footer("loft budget set backoffice --cpu-hours 120 --when-spent stop\n"
              "loft budget set --starts 20:00 --utc-offset +05:30");
  auto *report = app.add_subcommand("report", "the morning statement as one HTML file that opens offline");
  report->add_option("--html", html, "file to write")->required();
  report->add_option("--period", period, "date of its beginning; the present one if left out");
  report->footer("loft report --html night.html");
  auto *status = app.add_subcommand("status", "leader, fleet, queues and troubles, as JSON");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError &e) {
    return app.exit(e) == 0 ? kGood : kUsage;
  }

  Service service(server, timeout, curl_transport(), real_clock());
  auto show = [&](const json &answer, const Table &table) {
    if (output == "json")
      std::cout << answer.dump(2) << "\n";
    else
      std::cout << (output == "csv" ? to_csv(table) : to_text(table));
  };
  std::string of_team = team.empty() ? "" : "team=" + team;
  auto with = [](std::string q, const std::string &more) { return q + (q.empty() || more.empty() ? "" : "&") + more; };
  const std::string of_period = period.empty() ? "" : "period=" + period;
  try {
    if (*status) {
      std::cout << ask(service, "GET", "/admin/v1/status").dump(2) << "\n";
    } else if (*jobs) {
      const auto all = pages(service,
                             ended  ? "/admin/v1/report"
                             : late ? "/admin/v1/foreseen"
                                    : "/admin/v1/jobs",
                             of_team);
      show(all, jobs_table(all));
    } else if (*statement) {
      const auto path = "/admin/v1/statement";
      const auto all = by_job || output == "json" ? pages(service, path, with(of_team, of_period))
                                                  : ask(service, "GET", path + ("?" + with(of_team, of_period)));
      show(all, by_job ? used_table(all) : teams_table(all));
    } else if (*get) {
      const auto all = ask(service, "GET", "/admin/v1/budgets");
      show(all, budgets_table(all));
    } else if (*set) {
      json change = json::object(), one = json::object();
      if (cpu_hours >= 0) one["cpu_hours"] = cpu_hours;
      if (warn >= 0) one["warn_share"] = warn;
      if (!when_spent.empty()) one["when_spent"] = when_spent;
      if (budget_team.empty() && (none || !one.empty())) throw Stop{kUsage, "name the team whose budget this is"};
      if (!budget_team.empty() && !none && one.empty()) throw Stop{kUsage, "nothing to set for this team"};
      if (!budget_team.empty()) change["teams"][budget_team] = none ? json() : one;
      if (!every.empty()) change["every"] = every;
      if (!starts.empty()) change["starts"] = starts;
      if (!offset.empty()) change["utc_offset"] = offset;
      if (change.empty()) throw Stop{kUsage, "nothing to set; see loft budget set --help"};
      const auto all = ask(service, "PUT", "/admin/v1/budgets", change);
      show(all, budgets_table(all));
    } else if (*report) {
      const auto all = pages(service, "/admin/v1/statement", of_period);
      const auto plot = plot_by_hour(all);
      std::ofstream file(html);
      file << report_html(all, pages(service, "/admin/v1/jobs", ""), plot);
      if (!file.flush()) throw Stop{kUsage, html + ": cannot be written"};
      if (plot.empty()) std::fprintf(stderr, "loft: no plot: nothing has ended, or gnuplot is not installed\n");
      std::cout << html << "\n";
    }
  } catch (const Stop &s) {
    std::fprintf(stderr, "loft: %s\n", s.why.c_str());
    return s.code;
  }
  return kGood;
}
