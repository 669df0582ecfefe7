#include "loftrouter/client/tables.hpp"

#include <fmt/format.h>

#include "loftrouter/client/json_fields.hpp"

namespace loftrouter::client {

using nlohmann::json;

namespace {

const std::vector<std::string> kUsageHead = {"cpu_h",     "useful", "fetch",    "gang_wait", "lost", "unsorted",
                                             "uncertain", "gb_h",   "attempts", "retries",   "cost"};

std::vector<std::string> usage_cells(const json &usage) {
  std::vector<std::string> cells;
  for (const char *kind : {"held", "useful", "fetch", "gang_wait", "lost", "unsorted", "uncertain"})
    cells.push_back(cpu_hours_text(usage, kind));
  for (const char *name : {"gb_hours", "attempts", "retries", "cost"})
    cells.push_back(field_text(usage, name));
  return cells;
}

void append(std::vector<std::string> &cells, const std::vector<std::string> &more) {
  cells.insert(cells.end(), more.begin(), more.end());
}

std::vector<std::string> field_cells(const json &object, std::initializer_list<const char *> names) {
  std::vector<std::string> cells;
  for (const char *name : names)
    cells.push_back(field_text(object, name));
  return cells;
}

// Adds one more part to a list in words.
void add_part(std::string &list, const std::string &part, const char *separator = ", ") {
  if (!list.empty()) list += separator;
  list += part;
}

} // namespace

Table jobs_table(const json &jobs) {
  Table table{{"job", "team", "class", "state", "done", "tasks", "late", "reason"}, {}};
  for (const auto &job : field_list(jobs, "jobs"))
    table.rows.push_back(field_cells(job, {"id", "team", "class", "outcome", "done", "tasks", "late", "reason"}));
  return table;
}

Table usage_by_team_table(const json &statement) {
  Table table{{"team", "budget", "spent"}, {}};
  append(table.head, kUsageHead);
  for (const auto &team : field_list(statement, "teams")) {
    table.rows.push_back(field_cells(team, {"team", "budget_cpu_hours", "spent"}));
    append(table.rows.back(), usage_cells(team));
  }
  return table;
}

Table usage_by_job_table(const json &statement) {
  Table table{{"job", "team", "class", "outcome", "late", "retried"}, {}};
  append(table.head, kUsageHead);
  table.head.emplace_back("reason");
  for (const auto &job : field_list(statement, "jobs")) {
    table.rows.push_back(field_cells(job, {"id", "team", "class", "outcome", "late", "retried"}));
    append(table.rows.back(), usage_cells(job));
    table.rows.back().push_back(field_text(job, "reason"));
  }
  return table;
}

Table budgets_table(const json &budgets) {
  Table table{{"team", "cpu_hours", "warn_share", "when_spent", "every", "starts", "utc_offset"}, {}};
  const json teams = field_object(budgets, "teams");
  for (const auto &[name, budget] : teams.items()) {
    table.rows.push_back({name});
    append(table.rows.back(), field_cells(budget, {"cpu_hours", "warn_share", "when_spent"}));
    append(table.rows.back(), field_cells(budgets, {"every", "starts", "utc_offset"}));
  }
  return table;
}

Table quotas_table(const json &quotas) {
  Table table{{"team", "cpus", "cpus_max", "here_cpus_max", "gpus", "gpus_max", "version", "owner", "held_by_cells"},
              {}};
  const json teams = field_object(quotas, "teams");
  for (const auto &[name, quota] : teams.items()) {
    const json here = field_object(quota, "here");
    const json by_cell = field_object(quota, "held");
    std::string held;
    for (const auto &[cell, amounts] : by_cell.items())
      add_part(held, fmt::format("{}={}", cell, field_text(amounts, "cpus")), " ");
    table.rows.push_back({name});
    append(table.rows.back(), field_cells(quota, {"cpus", "cpus_max"}));
    append(table.rows.back(), field_cells(here, {"cpus_max"}));
    append(table.rows.back(), field_cells(quota, {"gpus", "gpus_max", "version", "owner"}));
    table.rows.back().push_back(held);
  }
  return table;
}

Table configuration_table(const json &configuration) {
  Table table{{"record", "revision", "in_force_at", "not_in_force_at"}, {}};
  for (const auto &record : field_list(configuration, "records")) {
    const json since_by_node = field_object(record, "in_force_since");
    std::string in_force;
    for (const auto &[node, since] : since_by_node.items())
      add_part(in_force, fmt::format("{} since {}", node, since.get<std::string>()));
    std::string missing;
    for (const auto &node : field_list(record, "not_in_force_at"))
      add_part(missing, node.get<std::string>());
    table.rows.push_back({field_text(record, "record"), field_text(record, "revision"), in_force, missing});
  }
  return table;
}

Table history_table(const json &history) {
  Table table{{"at", "cpus", "cpus_max", "gpus", "gpus_max"}, {}};
  for (const auto &change : field_list(history, "changes")) {
    const json guaranteed = field_object(change, "guaranteed");
    const json limit = field_object(change, "most");
    table.rows.push_back({field_text(change, "at"), field_text(guaranteed, "cpus"), field_text(limit, "cpus"),
                          field_text(guaranteed, "gpus"), field_text(limit, "gpus")});
  }
  return table;
}

} // namespace loftrouter::client
