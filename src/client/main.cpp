// loft, the command-line client: reads its command line.
#include <CLI/CLI.hpp>

#include "loftrouter/client/verbs.hpp"

using namespace loftrouter::client;

int main(int argc, char **argv) {
  CLI::App app{"loft, the command-line client of loftrouter", "loft"};
  app.require_subcommand(1);
  app.set_version_flag("--version", std::string("loft ") + LOFTROUTER_VERSION);
  app.footer("Exit codes: 0 good, 1 refused by the service, 2 wrong use, 3 no answer in time.\n"
             "LOFT_SERVER names the nodes: LOFT_SERVER=10.0.0.1:8080,10.0.0.2:8080 loft jobs");
  Verb verb;
  app.add_option("--server", verb.servers, "nodes of the service, joined by commas")->envname("LOFT_SERVER");
  app.add_option("-o,--output", verb.output, "table, json or csv")->check(CLI::IsMember({"table", "json", "csv"}));
  app.add_option("--timeout", verb.timeout_s, "seconds for an answer, all tries together")
      ->check(CLI::Range(0.1, 3600.0));
  app.fallthrough();

  auto for_team = [&](CLI::App *c) { c->add_option("--team", verb.team, "only this team's"); };
  auto *jobs = app.add_subcommand("jobs", "open jobs: how far they are, and why they wait");
  for_team(jobs);
  jobs->add_flag("--late", verb.late, "only those that will miss or have missed their time");
  jobs->add_flag("--ended", verb.ended, "those that ended within a day instead");
  jobs->footer("loft jobs --team backoffice --late");
  auto *statement = app.add_subcommand("statement", "what each team and its jobs have used in a period");
  for_team(statement);
  statement->add_option("--period", verb.period, "date of its beginning, 2026-12-01; the present one if left out");
  statement->add_flag("--jobs", verb.by_job, "by job rather than by team");
  statement->footer("loft statement --jobs -o csv > night.csv");
  auto *budget = app.add_subcommand("budget", "what teams may use in a period");
  budget->require_subcommand(1);
  auto *get = budget->add_subcommand("get", "budgets and the clock of their periods");
  auto *set = budget->add_subcommand("set", "set a team's budget, or the clock");
  set->add_option("team", verb.team, "the team; may be left out to set the clock alone");
  set->add_option("--cpu-hours", verb.cpu_hours, "CPU hours a period");
  set->add_option("--warn-share", verb.warn_share, "share of it from which on it is told that it will run out");
  set->add_option("--when-spent", verb.when_spent, "running tasks: finish or stop (with saving)");
  set->add_flag("--none", verb.none, "no budget for this team");
  set->add_option("--every", verb.every, "day or week");
  set->add_option("--starts", verb.starts, "time of day at which periods begin, 20:00");
  set->add_option("--utc-offset", verb.utc_offset, "local time minus UTC, +05:30");
  set->footer("loft budget set backoffice --cpu-hours 120 --when-spent stop\n"
              "loft budget set --starts 20:00 --utc-offset +05:30");
  auto *quota = app.add_subcommand("quota", "what teams may use at a time");
  quota->require_subcommand(1);
  auto *quota_show = quota->add_subcommand("show", "guarantees and limits in force, and each cell's share");
  for_team(quota_show);
  auto *quota_set = quota->add_subcommand("set", "change a team's guarantee, limit or shares");
  quota_set->add_option("team", verb.team, "the team")->required();
  quota_set->add_option("--cpus", verb.cpus, "guaranteed CPUs");
  quota_set->add_option("--cpus-max", verb.cpus_max, "most CPUs, up to the settings file's limit");
  quota_set->add_option("--gpus", verb.gpus, "guaranteed GPUs");
  quota_set->add_option("--gpus-max", verb.gpus_max, "most GPUs");
  quota_set->add_option("--share", verb.shares, "CPUs of a cell, cell=CPUs; the others divide the rest evenly");
  quota_set->add_flag("--none", verb.none, "the settings file's limits again");
  quota_set->add_option("--if-version", verb.version, "only if the quota's version is still this one");
  quota_set->footer("loft quota set backoffice --cpus-max 400 --share north=300");
  auto *config = app.add_subcommand("config", "what is configured, and where it is in force");
  config->require_subcommand(1);
  auto *config_status = config->add_subcommand("status", "each record, and on which nodes it is in force since when");
  auto *config_history = config->add_subcommand("history", "the last changes of a team's quota");
  config_history->add_option("team", verb.team, "the team")->required();
  auto *report = app.add_subcommand("report", "the morning statement as one HTML file that opens offline");
  report->add_option("--html", verb.html, "file to write")->required();
  report->add_option("--period", verb.period, "date of its beginning; the present one if left out");
  report->footer("loft report --html night.html");
  app.add_subcommand("status", "leader, fleet, queues and troubles, as JSON");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError &e) {
    return app.exit(e) == 0 ? kGood : kUsage;
  }
  using Kind = Verb::Kind;
  verb.kind = *jobs             ? Kind::Jobs
              : *statement      ? Kind::Statement
              : *get            ? Kind::BudgetGet
              : *set            ? Kind::BudgetSet
              : *report         ? Kind::Report
              : *quota_show     ? Kind::QuotaShow
              : *quota_set      ? Kind::QuotaSet
              : *config_status  ? Kind::ConfigStatus
              : *config_history ? Kind::ConfigHistory
                                : Kind::Status;
  return run(verb);
}
