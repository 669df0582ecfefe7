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

json quota_change(const Verb &verb) {
  json change = json::object();
  auto put = [&change](const char *name, const std::optional<double> &value) {
    if (value) change[name] = *value;
  };
  put("cpus", verb.cpus);
  put("cpus_max", verb.cpus_max);
  put("gpus", verb.gpus);
  put("gpus_max", verb.gpus_max);
  if (verb.none) change = {{"cpus_max", nullptr}, {"gpus_max", nullptr}, {"shares", nullptr}};
  for (const auto &share : verb.shares) {
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
  if (change.empty()) throw Stop{kUsage, "nothing to set; see loftrouterctl quota set --help"};
  if (verb.version) change["version"] = *verb.version;
  return change;
}

// Of one team alone, if it is named.
json only_team(json quotas, const std::string &team) {
  if (team.empty()) return quotas;
  if (!quotas["teams"].contains(team)) throw Stop{kRefused, "there is no such team"};
  return {{"teams", {{team, quotas["teams"][team]}}}};
}

} // namespace

int run(const Verb &verb) {
  using Kind = Verb::Kind;
  Service service(verb.servers, verb.timeout_s, curl_transport(), real_clock());
  auto show = [&](const json &answer, const Table &table) {
    if (verb.output == "json")
      std::cout << answer.dump(2) << "\n";
    else
      std::cout << (verb.output == "csv" ? to_csv(table) : to_text(table));
  };
  std::string of_team = verb.team.empty() ? "" : "team=" + verb.team;
  const std::string of_period = verb.period.empty() ? "" : "period=" + verb.period;
  try {
    if (verb.kind == Kind::Status) {
      std::cout << ask(service, "GET", "/admin/v1/status").dump(2) << "\n";
    } else if (verb.kind == Kind::Jobs) {
      const auto all = pages(service,
                             verb.ended  ? "/admin/v1/report"
                             : verb.late ? "/admin/v1/foreseen"
                                         : "/admin/v1/jobs",
                             of_team);
      show(all, jobs_table(all));
    } else if (verb.kind == Kind::Statement) {
      const auto path = "/admin/v1/statement";
      const auto all = verb.by_job || verb.output == "json"
                           ? pages(service, path, joined(of_team, of_period))
                           : ask(service, "GET", path + ("?" + joined(of_team, of_period)));
      show(all, verb.by_job ? used_table(all) : teams_table(all));
    } else if (verb.kind == Kind::BudgetGet) {
      const auto all = ask(service, "GET", "/admin/v1/budgets");
      show(all, budgets_table(all));
    } else if (verb.kind == Kind::BudgetSet) {
      json change = json::object(), one = json::object();
      if (verb.cpu_hours) one["cpu_hours"] = *verb.cpu_hours;
      if (verb.warn_share) one["warn_share"] = *verb.warn_share;
      if (!verb.when_spent.empty()) one["when_spent"] = verb.when_spent;
      if (verb.team.empty() && (verb.none || !one.empty())) throw Stop{kUsage, "name the team whose budget this is"};
      if (!verb.team.empty() && !verb.none && one.empty()) throw Stop{kUsage, "nothing to set for this team"};
      if (!verb.team.empty()) change["teams"][verb.team] = verb.none ? json() : one;
      if (!verb.every.empty()) change["every"] = verb.every;
      if (!verb.starts.empty()) change["starts"] = verb.starts;
      if (!verb.utc_offset.empty()) change["utc_offset"] = verb.utc_offset;
      if (change.empty()) throw Stop{kUsage, "nothing to set; see loftrouterctl budget set --help"};
      const auto all = ask(service, "PUT", "/admin/v1/budgets", change);
      show(all, budgets_table(all));
    } else if (verb.kind == Kind::QuotaShow) {
      const auto all = only_team(ask(service, "GET", "/admin/v1/quotas"), verb.team);
      show(all, quotas_table(all));
    } else if (verb.kind == Kind::QuotaSet) {
      const auto all = only_team(ask(service, "PUT", "/admin/v1/quotas/" + verb.team, quota_change(verb)), verb.team);
      show(all, quotas_table(all));
    } else if (verb.kind == Kind::ConfigStatus) {
      const auto all = pages(service, "/admin/v1/configuration", "", "records");
      show(all, configuration_table(all));
    } else if (verb.kind == Kind::ConfigHistory) {
      const auto all = ask(service, "GET", "/admin/v1/configuration/history/quota/" + verb.team);
      show(all, history_table(all));
    } else if (verb.kind == Kind::Report) {
      const auto all = pages(service, "/admin/v1/statement", of_period);
      const auto plot = plot_by_hour(all);
      std::ofstream file(verb.html);
      file << report_html(all, pages(service, "/admin/v1/jobs", ""), plot);
      if (!file.flush()) throw Stop{kUsage, verb.html + ": cannot be written"};
      if (plot.empty())
        std::fprintf(stderr, "loftrouterctl: no plot: nothing has ended, or gnuplot is not installed\n");
      std::cout << verb.html << "\n";
    }
  } catch (const Stop &s) {
    std::fprintf(stderr, "loftrouterctl: %s\n", s.why.c_str());
    return s.code;
  }
  return kGood;
}

} // namespace loftrouter::client
