#include "loftrouter/client/commands.hpp"

#include <cstdio>
#include <fstream>
#include <iostream>

#include <fmt/format.h>

#include "loftrouter/client/report.hpp"
#include "loftrouter/client/service_client.hpp"
#include "loftrouter/client/table_format.hpp"
#include "loftrouter/client/tables.hpp"

namespace loftrouter::client {

using nlohmann::json;

namespace {

constexpr int kFirstErrorStatus = 400;
constexpr int kFirstServerErrorStatus = 500;

// Ends a command with an exit code and the line that says why.
struct CommandError {
  ExitCode code;
  std::string reason;
};

json ask(ServiceClient &service, const std::string &method, const std::string &path, const json &body = nullptr) {
  const Answer answer = service.ask(method, path, body.is_null() ? "" : body.dump());
  if (answer.status == 0) throw CommandError{ExitCode::Unreachable, "no answer: " + answer.problem};
  auto parsed = json::parse(answer.body, nullptr, false);
  const std::string error = parsed.is_object() ? parsed.value("error", "") : "";
  if (answer.status >= kFirstServerErrorStatus)
    throw CommandError{ExitCode::Unreachable,
                       fmt::format("the service cannot tell now ({}): {}", answer.status, error)};
  if (answer.status >= kFirstErrorStatus)
    throw CommandError{ExitCode::Refused, fmt::format("{} ({})", error.empty() ? "refused" : error, answer.status)};
  if (!parsed.is_object())
    throw CommandError{ExitCode::Unreachable, "not an answer of loftrouter: is this its address?"};
  return parsed;
}

std::string join_query(const std::string &first, const std::string &second) {
  return first + (first.empty() || second.empty() ? "" : "&") + second;
}

std::string with_query(const std::string &path, const std::string &query) {
  return query.empty() ? path : path + "?" + query;
}

// All pages of a list, in one answer; `entries` is the field that holds them.
json all_pages(ServiceClient &service, const std::string &path, const std::string &query,
               const char *entries = "jobs") {
  json all;
  std::string from;
  while (true) {
    const std::string page_query = join_query(query, from.empty() ? "" : "from=" + from);
    auto page = ask(service, "GET", with_query(path, page_query));
    if (all.is_null()) {
      all = page;
    } else {
      for (auto &entry : page[entries])
        all[entries].push_back(std::move(entry));
    }
    const auto next = page.value("next", json());
    if (!next.is_string() || next == from) return all;
    from = next.get<std::string>();
  }
}

std::string team_query(const Command &command) {
  return command.team.empty() ? "" : "team=" + command.team;
}

std::string period_query(const Command &command) {
  return command.period.empty() ? "" : "period=" + command.period;
}

void show(const Command &command, const json &answer, const Table &table) {
  if (command.output == "json") {
    std::cout << answer.dump(2) << "\n";
    return;
  }
  std::cout << (command.output == "csv" ? to_csv(table) : to_text(table));
}

// The answer with one team alone, if the command names it.
json only_team(json quotas, const std::string &team) {
  if (team.empty()) return quotas;
  if (!quotas["teams"].contains(team)) throw CommandError{ExitCode::Refused, "there is no such team"};
  return {{"teams", {{team, quotas["teams"][team]}}}};
}

// ---- jobs and statements ----

void show_status(ServiceClient &service, const Command &) {
  std::cout << ask(service, "GET", "/admin/v1/status").dump(2) << "\n";
}

const char *jobs_path(const Command &command) {
  if (command.ended) return "/admin/v1/report";
  if (command.late) return "/admin/v1/foreseen";
  return "/admin/v1/jobs";
}

void show_jobs(ServiceClient &service, const Command &command) {
  const auto jobs = all_pages(service, jobs_path(command), team_query(command));
  show(command, jobs, jobs_table(jobs));
}

void show_statement(ServiceClient &service, const Command &command) {
  const std::string path = "/admin/v1/statement";
  const std::string query = join_query(team_query(command), period_query(command));
  const bool needs_jobs = command.by_job || command.output == "json";
  const auto statement = needs_jobs ? all_pages(service, path, query) : ask(service, "GET", path + ("?" + query));
  show(command, statement, command.by_job ? usage_by_job_table(statement) : usage_by_team_table(statement));
}

void write_report(ServiceClient &service, const Command &command) {
  const auto statement = all_pages(service, "/admin/v1/statement", period_query(command));
  const auto plot = plot_by_hour(statement);
  std::ofstream file(command.html);
  file << report_html(statement, all_pages(service, "/admin/v1/jobs", ""), plot);
  if (!file.flush()) throw CommandError{ExitCode::Usage, command.html + ": cannot be written"};
  if (plot.empty()) std::fputs("loftrouterctl: no plot: nothing has ended, or gnuplot is not installed\n", stderr);
  std::cout << command.html << "\n";
}

// ---- budgets ----

void show_budgets(ServiceClient &service, const Command &command) {
  const auto budgets = ask(service, "GET", "/admin/v1/budgets");
  show(command, budgets, budgets_table(budgets));
}

json team_budget(const Command &command) {
  json budget = json::object();
  if (command.cpu_hours) budget["cpu_hours"] = *command.cpu_hours;
  if (command.warn_share) budget["warn_share"] = *command.warn_share;
  if (!command.when_spent.empty()) budget["when_spent"] = command.when_spent;
  return budget;
}

json budget_change(const Command &command) {
  json change = json::object();
  const json budget = team_budget(command);
  if (command.team.empty() && (command.none || !budget.empty()))
    throw CommandError{ExitCode::Usage, "name the team whose budget this is"};
  if (!command.team.empty() && !command.none && budget.empty())
    throw CommandError{ExitCode::Usage, "nothing to set for this team"};
  if (!command.team.empty()) change["teams"][command.team] = command.none ? json() : budget;
  if (!command.every.empty()) change["every"] = command.every;
  if (!command.starts.empty()) change["starts"] = command.starts;
  if (!command.utc_offset.empty()) change["utc_offset"] = command.utc_offset;
  if (change.empty()) throw CommandError{ExitCode::Usage, "nothing to set; see loftrouterctl budget set --help"};
  return change;
}

void set_budget(ServiceClient &service, const Command &command) {
  const auto budgets = ask(service, "PUT", "/admin/v1/budgets", budget_change(command));
  show(command, budgets, budgets_table(budgets));
}

// ---- quotas and configuration ----

void show_quotas(ServiceClient &service, const Command &command) {
  const auto quotas = only_team(ask(service, "GET", "/admin/v1/quotas"), command.team);
  show(command, quotas, quotas_table(quotas));
}

// CPUs in "cell=CPUs"; nothing if it cannot be read.
std::optional<double> share_cpus(const std::string &share, std::size_t equals) {
  if (equals == std::string::npos) return std::nullopt;
  try {
    std::size_t read = 0;
    const double cpus = std::stod(share.substr(equals + 1), &read);
    if (read == 0 || equals + 1 + read != share.size()) return std::nullopt;
    return cpus;
  } catch (const std::exception &) { // not a number, or out of range
    return std::nullopt;
  }
}

json quota_change(const Command &command) {
  json change = json::object();
  const auto put = [&change](const char *name, const std::optional<double> &value) {
    if (value) change[name] = *value;
  };
  put("cpus", command.cpus);
  put("cpus_max", command.cpus_max);
  put("gpus", command.gpus);
  put("gpus_max", command.gpus_max);
  if (command.none) change = {{"cpus_max", nullptr}, {"gpus_max", nullptr}, {"shares", nullptr}};
  for (const auto &share : command.shares) {
    const auto equals = share.find('=');
    const auto cpus = share_cpus(share, equals);
    if (!cpus) throw CommandError{ExitCode::Usage, "--share: cell=CPUs is wanted"};
    change["shares"][share.substr(0, equals)] = {{"cpus", *cpus}};
  }
  if (change.empty()) throw CommandError{ExitCode::Usage, "nothing to set; see loftrouterctl quota set --help"};
  if (command.version) change["version"] = *command.version;
  return change;
}

void set_quota(ServiceClient &service, const Command &command) {
  const auto answer = ask(service, "PUT", "/admin/v1/quotas/" + command.team, quota_change(command));
  const auto quotas = only_team(answer, command.team);
  show(command, quotas, quotas_table(quotas));
}

void show_configuration(ServiceClient &service, const Command &command) {
  const auto configuration = all_pages(service, "/admin/v1/configuration", "", "records");
  show(command, configuration, configuration_table(configuration));
}

void show_history(ServiceClient &service, const Command &command) {
  const auto history = ask(service, "GET", "/admin/v1/configuration/history/quota/" + command.team);
  show(command, history, history_table(history));
}

void dispatch(ServiceClient &service, const Command &command) {
  switch (command.kind) {
  case Command::Kind::Status:
    return show_status(service, command);
  case Command::Kind::Jobs:
    return show_jobs(service, command);
  case Command::Kind::Statement:
    return show_statement(service, command);
  case Command::Kind::BudgetGet:
    return show_budgets(service, command);
  case Command::Kind::BudgetSet:
    return set_budget(service, command);
  case Command::Kind::Report:
    return write_report(service, command);
  case Command::Kind::QuotaShow:
    return show_quotas(service, command);
  case Command::Kind::QuotaSet:
    return set_quota(service, command);
  case Command::Kind::ConfigStatus:
    return show_configuration(service, command);
  case Command::Kind::ConfigHistory:
    return show_history(service, command);
  }
}

} // namespace

ExitCode run(const Command &command) {
  ServiceClient service(command.servers, command.timeout_s, curl_transport(), real_clock());
  try {
    dispatch(service, command);
  } catch (const CommandError &error) {
    std::fprintf(stderr, "loftrouterctl: %s\n", error.reason.c_str());
    return error.code;
  }
  return ExitCode::Success;
}

} // namespace loftrouter::client
