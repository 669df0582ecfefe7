#include "loftrouter/client/commands.hpp"

#include <cstdio>
#include <fstream>
#include <iostream>

#include <fmt/format.h>

#include "loftrouter/client/service_client.hpp"
#include "loftrouter/client/tables.hpp"

namespace loftrouter::client {

using nlohmann::json;

namespace {

struct CommandError {
  int code;
  std::string why;
};

json ask(ServiceClient &service, const std::string &method, const std::string &path, const json &body = nullptr) {
  const auto a = service.ask(method, path, body.is_null() ? "" : body.dump());
  if (a.status == 0) throw CommandError{kUnreachable, "no answer: " + a.problem};
  auto j = json::parse(a.body, nullptr, false);
  const std::string error = j.is_object() ? j.value("error", "") : "";
  if (a.status >= 500)
    throw CommandError{kUnreachable, fmt::format("the service cannot tell now ({}): {}", a.status, error)};
  if (a.status >= 400)
    throw CommandError{kRefused, fmt::format("{} ({})", error.empty() ? "refused" : error, a.status)};
  if (!j.is_object()) throw CommandError{kUnreachable, "not an answer of loftrouter: is this its address?"};
  return j;
}

std::string joined(const std::string &query, const std::string &more) {
  return query + (query.empty() || more.empty() ? "" : "&") + more;
}

// All pages of a list, in one answer; `entries` is the field that holds them.
json pages(ServiceClient &service, const std::string &path, const std::string &query, const char *entries = "jobs") {
  json all;
  for (std::string from;;) {
    const std::string q = joined(query, from.empty() ? "" : "from=" + from);
    auto page = ask(service, "GET", path + (q.empty() ? "" : "?" + q));
    if (all.is_null())
      all = page;
    else
      for (auto &x : page[entries])
        all[entries].push_back(std::move(x));
    const auto next = page.value("next", json());
    if (!next.is_string() || next == from) return all;
    from = next.get<std::string>();
  }
}

json quota_change(const Command &command) {
  json change = json::object();
  auto put = [&change](const char *name, const std::optional<double> &value) {
    if (value) change[name] = *value;
  };
  put("cpus", command.cpus);
  put("cpus_max", command.cpus_max);
  put("gpus", command.gpus);
  put("gpus_max", command.gpus_max);
  if (command.none) change = {{"cpus_max", nullptr}, {"gpus_max", nullptr}, {"shares", nullptr}};
  for (const auto &share : command.shares) {
    const auto equals = share.find('=');
    std::size_t read = 0;
    double cpus = 0;
    try {
      cpus = equals == std::string::npos ? 0 : std::stod(share.substr(equals + 1), &read);
    } catch (const std::exception &) {
      read = 0;
    }
    if (read == 0 || equals + 1 + read != share.size()) throw CommandError{kUsage, "--share: cell=CPUs is wanted"};
    change["shares"][share.substr(0, equals)] = {{"cpus", cpus}};
  }
  if (change.empty()) throw CommandError{kUsage, "nothing to set; see loftrouterctl quota set --help"};
  if (command.version) change["version"] = *command.version;
  return change;
}

// Of one team alone, if it is named.
json only_team(json quotas, const std::string &team) {
  if (team.empty()) return quotas;
  if (!quotas["teams"].contains(team)) throw CommandError{kRefused, "there is no such team"};
  return {{"teams", {{team, quotas["teams"][team]}}}};
}

} // namespace

int run(const Command &command) {
  using Kind = Command::Kind;
  ServiceClient service(command.servers, command.timeout_s, curl_transport(), real_clock());
  auto show = [&](const json &answer, const Table &table) {
    if (command.output == "json")
      std::cout << answer.dump(2) << "\n";
    else
      std::cout << (command.output == "csv" ? to_csv(table) : to_text(table));
  };
  std::string of_team = command.team.empty() ? "" : "team=" + command.team;
  const std::string of_period = command.period.empty() ? "" : "period=" + command.period;
  try {
    if (command.kind == Kind::Status) {
      std::cout << ask(service, "GET", "/admin/v1/status").dump(2) << "\n";
    } else if (command.kind == Kind::Jobs) {
      const auto all = pages(service,
                             command.ended  ? "/admin/v1/report"
                             : command.late ? "/admin/v1/foreseen"
                                            : "/admin/v1/jobs",
                             of_team);
      show(all, jobs_table(all));
    } else if (command.kind == Kind::Statement) {
      const auto path = "/admin/v1/statement";
      const auto all = command.by_job || command.output == "json"
                           ? pages(service, path, joined(of_team, of_period))
                           : ask(service, "GET", path + ("?" + joined(of_team, of_period)));
      show(all, command.by_job ? usage_by_job_table(all) : usage_by_team_table(all));
    } else if (command.kind == Kind::BudgetGet) {
      const auto all = ask(service, "GET", "/admin/v1/budgets");
      show(all, budgets_table(all));
    } else if (command.kind == Kind::BudgetSet) {
      json change = json::object(), one = json::object();
      if (command.cpu_hours) one["cpu_hours"] = *command.cpu_hours;
      if (command.warn_share) one["warn_share"] = *command.warn_share;
      if (!command.when_spent.empty()) one["when_spent"] = command.when_spent;
      if (command.team.empty() && (command.none || !one.empty()))
        throw CommandError{kUsage, "name the team whose budget this is"};
      if (!command.team.empty() && !command.none && one.empty())
        throw CommandError{kUsage, "nothing to set for this team"};
      if (!command.team.empty()) change["teams"][command.team] = command.none ? json() : one;
      if (!command.every.empty()) change["every"] = command.every;
      if (!command.starts.empty()) change["starts"] = command.starts;
      if (!command.utc_offset.empty()) change["utc_offset"] = command.utc_offset;
      if (change.empty()) throw CommandError{kUsage, "nothing to set; see loftrouterctl budget set --help"};
      const auto all = ask(service, "PUT", "/admin/v1/budgets", change);
      show(all, budgets_table(all));
    } else if (command.kind == Kind::QuotaShow) {
      const auto all = only_team(ask(service, "GET", "/admin/v1/quotas"), command.team);
      show(all, quotas_table(all));
    } else if (command.kind == Kind::QuotaSet) {
      const auto all =
          only_team(ask(service, "PUT", "/admin/v1/quotas/" + command.team, quota_change(command)), command.team);
      show(all, quotas_table(all));
    } else if (command.kind == Kind::ConfigStatus) {
      const auto all = pages(service, "/admin/v1/configuration", "", "records");
      show(all, configuration_table(all));
    } else if (command.kind == Kind::ConfigHistory) {
      const auto all = ask(service, "GET", "/admin/v1/configuration/history/quota/" + command.team);
      show(all, history_table(all));
    } else if (command.kind == Kind::Report) {
      const auto all = pages(service, "/admin/v1/statement", of_period);
      const auto plot = plot_by_hour(all);
      std::ofstream file(command.html);
      file << report_html(all, pages(service, "/admin/v1/jobs", ""), plot);
      if (!file.flush()) throw CommandError{kUsage, command.html + ": cannot be written"};
      if (plot.empty())
        std::fprintf(stderr, "loftrouterctl: no plot: nothing has ended, or gnuplot is not installed\n");
      std::cout << command.html << "\n";
    }
  } catch (const CommandError &s) {
    std::fprintf(stderr, "loftrouterctl: %s\n", s.why.c_str());
    return s.code;
  }
  return kGood;
}

} // namespace loftrouter::client
