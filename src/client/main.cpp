// loftrouterctl, the command-line client: reads its command line and hands it on.
#include <cstdlib>

#include <CLI/CLI.hpp>

#include "loftrouter/client/verbs.hpp"

namespace {

using loftrouter::client::Verb;
using Kind = Verb::Kind;

constexpr const char *kServerVariable = "LOFTROUTER_SERVER";
// What the client read before it was called loftrouterctl; operators' scripts may still set it.
constexpr const char *kOldServerVariable = "LOFT_SERVER";

// A subcommand that is not divided further: what it stands for once it has been chosen.
CLI::App *add_leaf(CLI::App &parent, Verb &verb, Kind kind, const std::string &name, const std::string &description) {
  CLI::App *leaf = parent.add_subcommand(name, description);
  leaf->callback([&verb, kind] { verb.kind = kind; });
  return leaf;
}

CLI::App *add_group(CLI::App &parent, const std::string &name, const std::string &description) {
  CLI::App *group = parent.add_subcommand(name, description);
  group->require_subcommand(1);
  return group;
}

void add_team_filter(CLI::App *command, Verb &verb) {
  command->add_option("--team", verb.team, "only this team's");
}

void add_common_options(CLI::App &app, Verb &verb) {
  app.add_option("--server", verb.servers, "nodes of the service, joined by commas")->envname(kServerVariable);
  app.add_option("-o,--output", verb.output, "table, json or csv")->check(CLI::IsMember({"table", "json", "csv"}));
  app.add_option("--timeout", verb.timeout_s, "seconds for an answer, all tries together")
      ->check(CLI::Range(0.1, 3600.0));
}

void add_jobs(CLI::App &app, Verb &verb) {
  auto *jobs = add_leaf(app, verb, Kind::Jobs, "jobs", "open jobs: how far they are, and why they wait");
  add_team_filter(jobs, verb);
  jobs->add_flag("--late", verb.late, "only those that will miss or have missed their time");
  jobs->add_flag("--ended", verb.ended, "those that ended within a day instead");
  jobs->footer("loftrouterctl jobs --team backoffice --late");
}

void add_statement(CLI::App &app, Verb &verb) {
  auto *statement =
      add_leaf(app, verb, Kind::Statement, "statement", "what each team and its jobs have used in a period");
  add_team_filter(statement, verb);
  statement->add_option("--period", verb.period, "date of its beginning, 2026-12-01; the present one if left out");
  statement->add_flag("--jobs", verb.by_job, "by job rather than by team");
  statement->footer("loftrouterctl statement --jobs -o csv > night.csv");
}

void add_budget(CLI::App &app, Verb &verb) {
  auto *budget = add_group(app, "budget", "what teams may use in a period");
  add_leaf(*budget, verb, Kind::BudgetGet, "get", "budgets and the clock of their periods");
  auto *set = add_leaf(*budget, verb, Kind::BudgetSet, "set", "set a team's budget, or the clock");
  set->add_option("team", verb.team, "the team; may be left out to set the clock alone");
  set->add_option("--cpu-hours", verb.cpu_hours, "CPU hours a period");
  set->add_option("--warn-share", verb.warn_share, "share of it from which on it is told that it will run out");
  set->add_option("--when-spent", verb.when_spent, "running tasks: finish or stop (with saving)");
  set->add_flag("--none", verb.none, "no budget for this team");
  set->add_option("--every", verb.every, "day or week");
  set->add_option("--starts", verb.starts, "time of day at which periods begin, 20:00");
  set->add_option("--utc-offset", verb.utc_offset, "local time minus UTC, +05:30");
  set->footer("loftrouterctl budget set backoffice --cpu-hours 120 --when-spent stop\n"
              "loftrouterctl budget set --starts 20:00 --utc-offset +05:30");
}

void add_quota(CLI::App &app, Verb &verb) {
  auto *quota = add_group(app, "quota", "what teams may use at a time");
  auto *show = add_leaf(*quota, verb, Kind::QuotaShow, "show", "guarantees and limits in force, and each cell's share");
  add_team_filter(show, verb);
  auto *set = add_leaf(*quota, verb, Kind::QuotaSet, "set", "change a team's guarantee, limit or shares");
  set->add_option("team", verb.team, "the team")->required();
  set->add_option("--cpus", verb.cpus, "guaranteed CPUs");
  set->add_option("--cpus-max", verb.cpus_max, "most CPUs, up to the settings file's limit");
  set->add_option("--gpus", verb.gpus, "guaranteed GPUs");
  set->add_option("--gpus-max", verb.gpus_max, "most GPUs");
  set->add_option("--share", verb.shares, "CPUs of a cell, cell=CPUs; the others divide the rest evenly");
  set->add_flag("--none", verb.none, "the settings file's limits again");
  set->add_option("--if-version", verb.version, "only if the quota's version is still this one");
  set->footer("loftrouterctl quota set backoffice --cpus-max 400 --share north=300");
}

void add_config(CLI::App &app, Verb &verb) {
  auto *config = add_group(app, "config", "what is configured, and where it is in force");
  add_leaf(*config, verb, Kind::ConfigStatus, "status", "each record, and on which nodes it is in force since when");
  auto *history = add_leaf(*config, verb, Kind::ConfigHistory, "history", "the last changes of a team's quota");
  history->add_option("team", verb.team, "the team")->required();
}

void add_report(CLI::App &app, Verb &verb) {
  auto *report =
      add_leaf(app, verb, Kind::Report, "report", "the morning statement as one HTML file that opens offline");
  report->add_option("--html", verb.html, "file to write")->required();
  report->add_option("--period", verb.period, "date of its beginning; the present one if left out");
  report->footer("loftrouterctl report --html night.html");
}

// The servers that the old variable names, where neither the option nor the new variable does.
void apply_old_server_variable(const CLI::App &app, Verb &verb) {
  if (app.get_option("--server")->count() > 0) return;
  if (const char *servers = std::getenv(kOldServerVariable)) verb.servers = servers;
}

} // namespace

int main(int argc, char **argv) {
  CLI::App app{"loftrouterctl, the command-line client of loftrouter", "loftrouterctl"};
  app.require_subcommand(1);
  app.set_version_flag("--version", std::string("loftrouterctl ") + LOFTROUTER_VERSION);
  app.footer("Exit codes: 0 good, 1 refused by the service, 2 wrong use, 3 no answer in time.\n"
             "LOFTROUTER_SERVER names the nodes: LOFTROUTER_SERVER=10.0.0.1:8080,10.0.0.2:8080 loftrouterctl jobs");
  Verb verb;
  add_common_options(app, verb);
  app.fallthrough();
  add_jobs(app, verb);
  add_statement(app, verb);
  add_budget(app, verb);
  add_quota(app, verb);
  add_config(app, verb);
  add_report(app, verb);
  add_leaf(app, verb, Kind::Status, "status", "leader, fleet, queues and troubles, as JSON");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError &error) {
    return app.exit(error) == 0 ? loftrouter::client::kGood : loftrouter::client::kUsage;
  }
  apply_old_server_variable(app, verb);
  return loftrouter::client::run(verb);
}
