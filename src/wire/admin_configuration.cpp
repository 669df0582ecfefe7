#include "loftrouter/wire/admin_configuration.hpp"

#include <cmath>

#include "loftrouter/wire/admin.hpp"

namespace loftrouter::wire {

namespace {

std::string dump(const Json &json) {
  return json.dump(2, ' ', false, Json::error_handler_t::replace) + "\n";
}

Json amounts_json(const Amounts &amounts) {
  auto limit = [](double x) { return std::isfinite(x) ? Json(x) : Json(); };
  return {{"cpus", limit(amounts.cpus)}, {"gpus", limit(amounts.gpus)}};
}

Json by_cell_json(const AmountsByCell &all) {
  Json json = Json::object();
  for (const auto &[cell, a] : all)
    json[cell] = amounts_json(a);
  return json;
}

void put_limits(Json &json, const Team &team) {
  json["cpus"] = team.cpus;
  json["gpus"] = team.gpus;
  json["cpus_max"] = team.cpus_max > 0 ? Json(team.cpus_max) : Json();
  json["gpus_max"] = team.gpus_max > 0 ? Json(team.gpus_max) : Json();
}

Json times_json(const std::map<std::string, double> &since) {
  Json json = Json::object();
  for (const auto &[name, wall] : since)
    json[name] = clock_time(wall);
  return json;
}

} // namespace

std::string encode_quotas(const std::vector<AdminQuota> &quotas) {
  Json teams = Json::object();
  for (const auto &q : quotas) {
    Json json = {{"version", q.version}}, here = Json::object();
    put_limits(json, q.over_all_cells);
    put_limits(here, q.here);
    json["here"] = std::move(here);
    if (!q.owner.empty()) {
      json["owner"] = q.owner;
      json["caps"] = by_cell_json(q.caps);
      json["held"] = by_cell_json(q.held);
    }
    teams[q.here.name] = std::move(json);
  }
  return dump({{"teams", std::move(teams)}});
}

std::size_t listed_bytes(const AdminConfigRecord &record, std::size_t nodes) {
  constexpr std::size_t kFields = 200, kLine = 100; // of a node or cell: its name, of 64 characters, and a time
  return kFields + record.key.size() + kLine * (nodes + record.acknowledged_cells.size());
}

std::string encode_configuration(const AdminConfiguration &c) {
  Json records = Json::array();
  for (const auto &r : c.records) {
    Json json = {{"record", r.key}, {"revision", r.revision}, {"in_force_since", times_json(r.in_force)}};
    Json missing = Json::array();
    for (const auto &node : c.nodes)
      if (!r.in_force.contains(node)) missing.push_back(node);
    json["not_in_force_at"] = std::move(missing);
    if (!r.acknowledged_cells.empty()) json["acknowledged_by_cells_since"] = times_json(r.acknowledged_cells);
    records.push_back(std::move(json));
  }
  return dump({{"node", c.node},
               {"revision", c.revision},
               {"watches", c.watches},
               {"current_s_ago", c.current_s < 0 ? Json() : Json(std::round(c.current_s * 10) / 10)},
               {"records", std::move(records)},
               {"next", c.next.empty() ? Json() : Json(c.next)}});
}

std::string encode_quota_history(const std::string &team, const std::vector<QuotaRecord::Change> &history) {
  Json changes = Json::array();
  for (const auto &c : history)
    changes.push_back({{"at", clock_time(c.wall)},
                       {"guaranteed", amounts_json(c.limits.guaranteed)},
                       {"most", amounts_json(c.limits.most)}});
  return dump({{"record", "quota/" + team}, {"changes", std::move(changes)}});
}

} // namespace loftrouter::wire
