#include "loftrouter/wire/admin_configuration.hpp"

#include <cmath>

#include "admin_json.hpp"
#include "loftrouter/wire/admin_status.hpp"

namespace loftrouter::wire {

namespace {

// Encodes a missing limit as null, unlike stored records, which omit it.
Json amounts_json(const Amounts &amounts) {
  const auto limit_json = [](double limit) { return std::isfinite(limit) ? Json(limit) : Json(); };
  return {{"cpus", limit_json(amounts.cpus)}, {"gpus", limit_json(amounts.gpus)}};
}

Json amounts_by_cell_json(const AmountsByCell &by_cell) {
  Json json = Json::object();
  for (const auto &[cell, amounts] : by_cell)
    json[cell] = amounts_json(amounts);
  return json;
}

// Encodes a team's guarantee and limit. A limit of 0 means no limit and becomes null.
Json limits_json(const Team &team) {
  return {{"cpus", team.cpus},
          {"gpus", team.gpus},
          {"cpus_max", team.cpus_max > 0 ? Json(team.cpus_max) : Json()},
          {"gpus_max", team.gpus_max > 0 ? Json(team.gpus_max) : Json()}};
}

Json to_json(const AdminQuota &quota) {
  Json json = limits_json(quota.over_all_cells);
  json["version"] = quota.version;
  json["here"] = limits_json(quota.here);
  if (quota.owner.empty()) return json;
  json["owner"] = quota.owner;
  json["caps"] = amounts_by_cell_json(quota.caps);
  json["held"] = amounts_by_cell_json(quota.held);
  return json;
}

Json clock_times_json(const std::map<std::string, double> &since) {
  Json json = Json::object();
  for (const auto &[name, wall] : since)
    json[name] = clock_time(wall);
  return json;
}

Json to_json(const AdminConfigRecord &record, const std::vector<std::string> &nodes) {
  Json missing = Json::array();
  for (const auto &node : nodes)
    if (!record.in_force.contains(node)) missing.push_back(node);
  Json json = {{"record", record.key},
               {"revision", record.revision},
               {"in_force_since", clock_times_json(record.in_force)},
               {"not_in_force_at", std::move(missing)}};
  if (!record.acknowledged_cells.empty())
    json["acknowledged_by_cells_since"] = clock_times_json(record.acknowledged_cells);
  return json;
}

} // namespace

std::string encode_quotas(const std::vector<AdminQuota> &quotas) {
  Json teams = Json::object();
  for (const auto &quota : quotas)
    teams[quota.here.name] = to_json(quota);
  return dump_admin_json({{"teams", std::move(teams)}});
}

std::size_t listed_bytes(const AdminConfigRecord &record, std::size_t nodes) {
  constexpr std::size_t fixed_bytes = 200;
  constexpr std::size_t line_bytes = 100; // per node or cell: a name of up to 64 bytes and a time
  return fixed_bytes + record.key.size() + line_bytes * (nodes + record.acknowledged_cells.size());
}

std::string encode_configuration(const AdminConfiguration &configuration) {
  Json records = Json::array();
  for (const auto &record : configuration.records)
    records.push_back(to_json(record, configuration.nodes));
  return dump_admin_json({{"node", configuration.node},
                          {"revision", configuration.revision},
                          {"watches", configuration.watch_open},
                          {"current_s_ago", age_json(configuration.current_s)},
                          {"records", std::move(records)},
                          {"next", text_or_null(configuration.next)}});
}

std::string encode_quota_history(const std::string &team, const std::vector<QuotaRecord::Change> &history) {
  Json changes = Json::array();
  for (const auto &change : history)
    changes.push_back({{"at", clock_time(change.wall)},
                       {"guaranteed", amounts_json(change.limits.guaranteed)},
                       {"most", amounts_json(change.limits.most)}});
  return dump_admin_json({{"record", "quota/" + team}, {"changes", std::move(changes)}});
}

} // namespace loftrouter::wire
