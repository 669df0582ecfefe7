// loftrouterctl, the command-line client: reads its command line and hands it on.
#include <cstdio>
#include <cstdlib>
#include <exception>

#include <CLI/CLI.hpp>

#include "loftrouter/client/commands.hpp"

namespace {

using loftrouter::client::Command;
using loftrouter::client::ExitCode;
using Kind = Command::Kind;

constexpr const char *kServerVariable = "LOFTROUTER_SERVER";
// What the client read before it was called loftrouterctl; operators' scripts may still set it.
constexpr const char *kOldServerVariable = "LOFT_SERVER";

// A subcommand that is not divided further: what it stands for once it has been chosen.
CLI::App *add_leaf(CLI::App &parent, Command &command, Kind kind, const std::string &name,
                   const std::string &description) {
  CLI::App *leaf = parent.add_subcommand(name, description);
  leaf->callback([&command, kind] { command.kind = kind; });
  return leaf;
}

CLI::App *add_group(CLI::App &parent, const std::string &name, const std::string &description) {
  CLI::App *group = parent.add_subcommand(name, description);
  group->require_subcommand(1);
  return group;
}

void add_team_filter(CLI::App *subcommand, Command &command) {
  subcommand->add_option("--team", command.team, "only this team's");
}

void add_common_options(CLI::App &app, Command &command) {
  app.add_option("--server", command.servers, "nodes of the service, joined by commas")->envname(kServerVariable);
  app.add_option("-o,--output", command.output, "table, json or csv")->check(CLI::IsMember({"table", "json", "csv"}));
  app.add_option("--timeout", command.timeout_s, "seconds for an answer, all tries together")
      ->check(CLI::Range(0.1, 3600.0));
}

void add_jobs(CLI::App &app, Command &command) {
  auto *jobs = add_leaf(app, command, Kind::Jobs, "jobs", "open jobs: how far they are, and why they wait");
  add_team_filter(jobs, command);
  jobs->add_flag("--late", command.late, "only those that will miss or have missed their time");
  jobs->add_flag("--ended", command.ended, "those that ended within a day instead");
  jobs->footer("loftrouterctl jobs --team backoffice --late");
}

void add_statement(CLI::App &app, Command &command) {
  auto *statement =
      add_leaf(app, command, Kind::Statement, "statement", "what each team and its jobs have used in a period");
  add_team_filter(statement, command);
  statement->add_option("--period", command.period, "date of its beginning, 2026-12-01; the present one if left out");
  statement->add_flag("--jobs", command.by_job, "by job rather than by team");
  statement->footer("loftrouterctl statement --jobs -o csv > night.csv");
}

void add_budget(CLI::App &app, Command &command) {
  auto *budget = add_group(app, "budget", "what teams may use in a period");
  add_leaf(*budget, command, Kind::BudgetGet, "get", "budgets and the clock of their periods");
  auto *set = add_leaf(*budget, command, Kind::BudgetSet, "set", "set a team's budget, or the clock");
  set->add_option("team", command.team, "the team; may be left out to set the clock alone");
  set->add_option("--cpu-hours", command.cpu_hours, "CPU hours a period");
  set->add_option("--warn-share", command.warn_share, "share of it from which on it is told that it will run out");
  set->add_option("--when-spent", command.when_spent, "running tasks: finish or stop (with saving)");
  set->add_flag("--none", command.none, "no budget for this team");
  set->add_option("--every", command.every, "day or week");
  set->add_option("--starts", command.starts, "time of day at which periods begin, 20:00");
  set->add_option("--utc-offset", command.utc_offset, "local time minus UTC, +05:30");
  set->footer("loftrouterctl budget set backoffice --cpu-hours 120 --when-spent stop\n"
              "loftrouterctl budget set --starts 20:00 --utc-offset +05:30");
}

void add_quota(CLI::App &app, Command &command) {
  auto *quota = add_group(app, "quota", "what teams may use at a time");
  auto *show =
      add_leaf(*quota, command, Kind::QuotaShow, "show", "guarantees and limits in force, and each cell's share");
  add_team_filter(show, command);
  auto *set = add_leaf(*quota, command, Kind::QuotaSet, "set", "change a team's guarantee, limit or shares");
  set->add_option("team", command.team, "the team")->required();
  set->add_option("--cpus", command.cpus, "guaranteed CPUs");
  set->add_option("--cpus-max", command.cpus_max, "most CPUs, up to the settings file's limit");
  set->add_option("--gpus", command.gpus, "guaranteed GPUs");
  set->add_option("--gpus-max", command.gpus_max, "most GPUs");
  set->add_option("--share", command.shares, "CPUs of a cell, cell=CPUs; the others divide the rest evenly");
  set->add_flag("--none", command.none, "the settings file's limits again");
  set->add_option("--if-version", command.version, "only if the quota's version is still this one");
  set->footer("loftrouterctl quota set backoffice --cpus-max 400 --share north=300");
}

void add_config(CLI::App &app, Command &command) {
  auto *config = add_group(app, "config", "what is configured, and where it is in force");
  add_leaf(*config, command, Kind::ConfigStatus, "status", "each record, and on which nodes it is in force since when");
  auto *history = add_leaf(*config, command, Kind::ConfigHistory, "history", "the last changes of a team's quota");
  history->add_option("team", command.team, "the team")->required();
}

void add_report(CLI::App &app, Command &command) {
  auto *report =
      add_leaf(app, command, Kind::Report, "report", "the morning statement as one HTML file that opens offline");
  report->add_option("--html", command.html, "file to write")->required();
  report->add_option("--period", command.period, "date of its beginning; the present one if left out");
  report->footer("loftrouterctl report --html night.html");
}

// The servers that the old variable names, where neither the option nor the new variable does.
void apply_old_server_variable(const CLI::App &app, Command &command) {
  if (app.get_option("--server")->count() > 0) return;
  if (const char *servers = std::getenv(kOldServerVariable)) command.servers = servers;
}

void add_all(CLI::App &app, Command &command) {
  add_common_options(app, command);
  app.fallthrough();
  add_jobs(app, command);
  add_statement(app, command);
  add_budget(app, command);
  add_quota(app, command);
  add_config(app, command);
  add_report(app, command);
  add_leaf(app, command, Kind::Status, "status", "leader, fleet, queues and troubles, as JSON");
}

ExitCode parse_and_run(int argc, char **argv) {
  CLI::App app{"loftrouterctl, the command-line client of loftrouter", "loftrouterctl"};
  app.require_subcommand(1);
  app.set_version_flag("--version", std::string("loftrouterctl ") + LOFTROUTER_VERSION);
  app.footer("Exit codes: 0 good, 1 refused by the service, 2 wrong use, 3 no answer in time.\n"
             "LOFTROUTER_SERVER names the nodes: LOFTROUTER_SERVER=10.0.0.1:8080,10.0.0.2:8080 loftrouterctl jobs");
  Command command;
  add_all(app, command);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError &error) {
    return app.exit(error) == 0 ? ExitCode::Success : ExitCode::Usage; // help and version are such errors, too
  }
  apply_old_server_variable(app, command);
  return loftrouter::client::run(command);
}

} // namespace

int main(int argc, char **argv) {
  try {
    return static_cast<int>(parse_and_run(argc, argv));
  } catch (const std::exception &error) { // out of memory, or an answer whose fields are of other types
    std::fprintf(stderr, "loftrouterctl: %s\n", error.what());
  } catch (...) {
    std::fputs("loftrouterctl: an unknown error\n", stderr);
  }
  return static_cast<int>(ExitCode::Unreachable);
}
