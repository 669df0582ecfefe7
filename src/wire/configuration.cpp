#include "loftrouter/wire/configuration.hpp"

#include <algorithm>
#include <cmath>

#include <fmt/format.h>

namespace loftrouter::wire {

namespace {

constexpr double kMaxAmount = 1e9;
constexpr std::size_t kMaxCells = 17; // a cell and 16 others

std::optional<double> amount(const Json &json, const char *name) {
  const auto it = json.find(name);
  if (it == json.end() || !it->is_number()) return std::nullopt;
  const double value = it->get<double>();
  return value >= 0 && value <= kMaxAmount ? std::optional(value) : std::nullopt;
}

std::optional<std::uint64_t> count(const Json &json, const char *name) {
  const auto it = json.find(name);
  return it != json.end() && it->is_number_unsigned() ? std::optional(it->get<std::uint64_t>()) : std::nullopt;
}

void put(Json &json, const char *name, double value) {
  if (std::isfinite(value)) json[name] = value;
}

// Left out where there is no limit.
Json amounts_json(const Amounts &amounts) {
  Json json = Json::object();
  put(json, "cpus", amounts.cpus);
  put(json, "gpus", amounts.gpus);
  return json;
}

std::optional<Amounts> amounts_from(const Json &json) {
  if (!json.is_object()) return std::nullopt;
  Amounts amounts{Amounts::kUnlimited, Amounts::kUnlimited};
  for (auto [name, field] : {std::pair{"cpus", &amounts.cpus}, std::pair{"gpus", &amounts.gpus}}) {
    if (!json.contains(name)) continue;
    const auto value = amount(json, name);
    if (!value) return std::nullopt;
    *field = *value;
  }
  return amounts;
}

Json by_cell_json(const AmountsByCell &all) {
  Json json = Json::object();
  for (const auto &[cell, a] : all)
    json[cell] = amounts_json(a);
  return json;
}

std::optional<AmountsByCell> by_cell_from(const Json &json) {
  if (!json.is_object() || json.size() > kMaxCells) return std::nullopt;
  AmountsByCell all;
  for (const auto &[cell, value] : json.items()) {
    const auto a = amounts_from(value);
    if (!a) return std::nullopt;
    all[cell] = *a;
  }
  return all;
}

Json limits_json(const QuotaLimits &l) {
  return {{"guaranteed", amounts_json(l.guaranteed)}, {"most", amounts_json(l.most)}};
}

std::optional<QuotaLimits> limits_from(const Json &json) {
  if (!json.is_object() || !json.contains("guaranteed") || !json.contains("most")) return std::nullopt;
  const auto guaranteed = amounts_from(json["guaranteed"]), most = amounts_from(json["most"]);
  if (!guaranteed || !most || !std::isfinite(guaranteed->cpus) || !std::isfinite(guaranteed->gpus)) return std::nullopt;
  return QuotaLimits{*guaranteed, *most};
}

} // namespace

Json to_json(const QuotaRecord &record) {
  Json history = Json::array();
  for (const auto &c : record.history)
    history.push_back({{"number", c.number}, {"at", c.wall}, {"limits", limits_json(c.limits)}});
  return {{"version", record.version},
          {"limits", limits_json(record.limits)},
          {"shares", by_cell_json(record.shares)},
          {"caps", by_cell_json(record.caps)},
          {"held", by_cell_json(record.held)},
          {"history", std::move(history)}};
}

std::optional<QuotaRecord> quota_from_json(const Json &json) {
  if (!json.is_object()) return std::nullopt;
  QuotaRecord record;
  const auto version = count(json, "version");
  const auto limits = limits_from(json.value("limits", Json()));
  const auto shares = by_cell_from(json.value("shares", Json())), caps = by_cell_from(json.value("caps", Json())),
             held = by_cell_from(json.value("held", Json()));
  const Json history = json.value("history", Json::array());
  if (!version || !limits || !shares || !caps || !held || !history.is_array() || history.size() > kMaxQuotaHistory)
    return std::nullopt;
  for (const auto &c : history) {
    const auto number = c.is_object() ? count(c, "number") : std::nullopt;
    const auto changed = c.is_object() ? limits_from(c.value("limits", Json())) : std::nullopt;
    if (!number || !changed || !c.contains("at") || !c["at"].is_number()) return std::nullopt;
    record.history.push_back({*number, c["at"].get<double>(), *changed});
  }
  record.version = *version;
  record.limits = *limits;
  record.shares = *shares;
  record.caps = *caps;
  record.held = *held;
  return record;
}

std::variant<QuotaChange, std::string> read_quota_change(std::string_view team, const Json &json) {
  QuotaChange change;
  change.team = team;
  if (!json.is_object()) return std::string("body: a map is wanted");
  for (const auto &[name, value] : json.items()) {
    const bool limit = name == "cpus_max" || name == "gpus_max";
    if (limit || name == "cpus" || name == "gpus") {
      const auto wanted = limit && value.is_null() ? std::optional(Amounts::kUnlimited) : amount(json, name.c_str());
      if (!wanted)
        return fmt::format("{}: a number from 0 to {:g} is wanted{}", name, kMaxAmount,
                           limit ? ", or null for the limit of the settings file" : "");
      (name == "cpus"       ? change.guaranteed_cpus
       : name == "gpus"     ? change.guaranteed_gpus
       : name == "cpus_max" ? change.max_cpus
                            : change.max_gpus) = wanted;
    } else if (name == "shares") {
      change.shares = by_cell_from(value.is_null() ? Json::object() : value);
      if (!change.shares) return std::string("shares: a map from cells to cpus and gpus is wanted, or null");
    } else if (name == "version") {
      change.version = count(json, "version");
      if (!change.version) return std::string("version: a whole number is wanted");
    } else {
      return std::string("no such field; cpus, cpus_max, gpus, gpus_max, shares and version are known");
    }
  }
  return change;
}

Json to_json(const QuotaChange &change) {
  Json json = Json::object();
  auto limit = [&json](const char *name, const std::optional<double> &value) {
    if (value) json[name] = std::isfinite(*value) ? Json(*value) : Json();
  };
  limit("cpus", change.guaranteed_cpus);
  limit("gpus", change.guaranteed_gpus);
  limit("cpus_max", change.max_cpus);
  limit("gpus_max", change.max_gpus);
  if (change.shares) json["shares"] = by_cell_json(*change.shares);
  if (change.version) json["version"] = *change.version;
  return json;
}

Json to_json(const ForwardedChange &f) {
  return {
      {"team", f.change.team}, {"change", to_json(f.change)}, {"node", f.node}, {"status", f.status}, {"text", f.text}};
}

std::optional<ForwardedChange> forwarded_from_json(const Json &json) {
  if (!json.is_object() || !json.contains("change")) return std::nullopt;
  auto change = read_quota_change(json.value("team", ""), json["change"]);
  if (!std::holds_alternative<QuotaChange>(change)) return std::nullopt;
  return ForwardedChange{std::move(std::get<QuotaChange>(change)), json.value("node", ""), json.value("status", 0),
                         json.value("text", "")};
}

Json to_json(const AppliedRecord &a) {
  return {{"revision", a.revision}, {"at", a.wall}};
}

std::optional<AppliedRecord> applied_from_json(const Json &json) {
  const auto revision = json.is_object() ? count(json, "revision") : std::nullopt;
  if (!revision || !json.contains("at") || !json["at"].is_number()) return std::nullopt;
  return AppliedRecord{*revision, json["at"].get<double>()};
}

} // namespace loftrouter::wire
