#include "loftrouter/client/verbs.hpp"

#include <cstdio>
#include <fstream>
#include <iostream>

#include <fmt/format.h>

#include "loftrouter/client/ask.hpp"
#include "loftrouter/client/render.hpp"

namespace loftrouter::client {

using nlohmann::json;

namespace {

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

std::string joined(const std::string &query, const std::string &more) {
  return query + (query.empty() || more.empty() ? "" : "&") + more;
}

// All pages of a list, in one answer; `entries` is the field that holds them.
json pages(Service &service, const std::string &path, const std::string &query, const char *entries = "jobs") {
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

json quota_change(const Verb &v) {
  json change = json::object();
  auto put = [&change](const char *name, const std::optional<double> &value) {
    if (value) change[name] = *value;
  };
  put("cpus", v.cpus);
  put("cpus_max", v.cpus_max);
  put("gpus", v.gpus);
  put("gpus_max", v.gpus_max);
  if (v.none) change = {{"cpus_max", nullptr}, {"gpus_max", nullptr}, {"shares", nullptr}};
  for (const auto &share : v.shares) {
    const auto equals = share.find('=');
    std::size_t read = 0;
    double cpus = 0;
    try {
      cpus = equals == std::string::npos ? 0 : std::stod(share.substr(equals + 1), &read);
    } catch (const std::exception &) {
      read = 0;
    }
    if (read == 0 || equals + 1 + read != share.size()) throw Stop{kUsage, "--share: cell=CPUs is wanted"};
    change["shares"][share.substr(0, equals)] = {{"cpus", cpus}};
  }
  if (change.empty()) throw Stop{kUsage, "nothing to set; see loft quota set --help"};
  if (v.version) change["version"] = *v.version;
  return change;
}

// Of one team alone, if it is named.
json only_team(json quotas, const std::string &team) {
  if (team.empty()) return quotas;
  if (!quotas["teams"].contains(team)) throw Stop{kRefused, "there is no such team"};
  return {{"teams", {{team, quotas["teams"][team]}}}};
}

} // namespace

int run(const Verb &v) {
  using Kind = Verb::Kind;
  Service service(v.servers, v.timeout_s, curl_transport(), real_clock());
  auto show = [&](const json &answer, const Table &table) {
    if (v.output == "json")
      std::cout << answer.dump(2) << "\n";
    else
      std::cout << (v.output == "csv" ? to_csv(table) : to_text(table));
  };
  std::string of_team = v.team.empty() ? "" : "team=" + v.team;
  const std::string of_period = v.period.empty() ? "" : "period=" + v.period;
  try {
    if (v.kind == Kind::Status) {
      std::cout << ask(service, "GET", "/admin/v1/status").dump(2) << "\n";
    } else if (v.kind == Kind::Jobs) {
      const auto all = pages(service,
                             v.ended  ? "/admin/v1/report"
                             : v.late ? "/admin/v1/foreseen"
                                      : "/admin/v1/jobs",
                             of_team);
      show(all, jobs_table(all));
    } else if (v.kind == Kind::Statement) {
      const auto path = "/admin/v1/statement";
      const auto all = v.by_job || v.output == "json" ? pages(service, path, joined(of_team, of_period))
                                                      : ask(service, "GET", path + ("?" + joined(of_team, of_period)));
      show(all, v.by_job ? used_table(all) : teams_table(all));
    } else if (v.kind == Kind::BudgetGet) {
      const auto all = ask(service, "GET", "/admin/v1/budgets");
      show(all, budgets_table(all));
    } else if (v.kind == Kind::BudgetSet) {
      json change = json::object(), one = json::object();
      if (v.cpu_hours) one["cpu_hours"] = *v.cpu_hours;
      if (v.warn_share) one["warn_share"] = *v.warn_share;
      if (!v.when_spent.empty()) one["when_spent"] = v.when_spent;
      if (v.team.empty() && (v.none || !one.empty())) throw Stop{kUsage, "name the team whose budget this is"};
      if (!v.team.empty() && !v.none && one.empty()) throw Stop{kUsage, "nothing to set for this team"};
      if (!v.team.empty()) change["teams"][v.team] = v.none ? json() : one;
      if (!v.every.empty()) change["every"] = v.every;
      if (!v.starts.empty()) change["starts"] = v.starts;
      if (!v.utc_offset.empty()) change["utc_offset"] = v.utc_offset;
      if (change.empty()) throw Stop{kUsage, "nothing to set; see loft budget set --help"};
      const auto all = ask(service, "PUT", "/admin/v1/budgets", change);
      show(all, budgets_table(all));
    } else if (v.kind == Kind::QuotaShow) {
      const auto all = only_team(ask(service, "GET", "/admin/v1/quotas"), v.team);
      show(all, quotas_table(all));
    } else if (v.kind == Kind::QuotaSet) {
      const auto all = only_team(ask(service, "PUT", "/admin/v1/quotas/" + v.team, quota_change(v)), v.team);
      show(all, quotas_table(all));
    } else if (v.kind == Kind::ConfigStatus) {
      const auto all = pages(service, "/admin/v1/configuration", "", "records");
      show(all, configuration_table(all));
    } else if (v.kind == Kind::ConfigHistory) {
      const auto all = ask(service, "GET", "/admin/v1/configuration/history/quota/" + v.team);
      show(all, history_table(all));
    } else if (v.kind == Kind::Report) {
      const auto all = pages(service, "/admin/v1/statement", of_period);
      const auto plot = plot_by_hour(all);
      std::ofstream file(v.html);
      file << report_html(all, pages(service, "/admin/v1/jobs", ""), plot);
      if (!file.flush()) throw Stop{kUsage, v.html + ": cannot be written"};
      if (plot.empty()) std::fprintf(stderr, "loft: no plot: nothing has ended, or gnuplot is not installed\n");
      std::cout << v.html << "\n";
    }
  } catch (const Stop &s) {
    std::fprintf(stderr, "loft: %s\n", s.why.c_str());
    return s.code;
  }
  return kGood;
}

} // namespace loftrouter::client
