#include "loftrouter/wire/configuration.hpp"

#include <algorithm>
#include <cmath>

#include <fmt/format.h>

namespace loftrouter::wire {

namespace {

constexpr double kMaxAmount = 1e9;
constexpr std::size_t kMaxCells = 17; // a cell and 16 others

std::optional<double> amount(const Json &j, const char *name) {
  const auto it = j.find(name);
  if (it == j.end() || !it->is_number()) return std::nullopt;
  const double value = it->get<double>();
  return value >= 0 && value <= kMaxAmount ? std::optional(value) : std::nullopt;
}

std::optional<std::uint64_t> count(const Json &j, const char *name) {
  const auto it = j.find(name);
  return it != j.end() && it->is_number_unsigned() ? std::optional(it->get<std::uint64_t>()) : std::nullopt;
}

void put(Json &j, const char *name, double value) {
  if (std::isfinite(value)) j[name] = value;
}

// Left out where there is no limit.
Json amounts_json(const Amounts &a) {
  Json j = Json::object();
  put(j, "cpus", a.cpus);
  put(j, "gpus", a.gpus);
  return j;
}

std::optional<Amounts> amounts_from(const Json &j) {
  if (!j.is_object()) return std::nullopt;
  Amounts a{Amounts::kUnlimited, Amounts::kUnlimited};
  for (auto [name, field] : {std::pair{"cpus", &a.cpus}, std::pair{"gpus", &a.gpus}}) {
    if (!j.contains(name)) continue;
    const auto value = amount(j, name);
    if (!value) return std::nullopt;
    *field = *value;
  }
  return a;
}

Json by_cell_json(const AmountsByCell &all) {
  Json j = Json::object();
  for (const auto &[cell, a] : all)
    j[cell] = amounts_json(a);
  return j;
}

std::optional<AmountsByCell> by_cell_from(const Json &j) {
  if (!j.is_object() || j.size() > kMaxCells) return std::nullopt;
  AmountsByCell all;
  for (const auto &[cell, value] : j.items()) {
    const auto a = amounts_from(value);
    if (!a) return std::nullopt;
    all[cell] = *a;
  }
  return all;
}

Json limits_json(const QuotaLimits &l) {
  return {{"guaranteed", amounts_json(l.guaranteed)}, {"most", amounts_json(l.most)}};
}

std::optional<QuotaLimits> limits_from(const Json &j) {
  if (!j.is_object() || !j.contains("guaranteed") || !j.contains("most")) return std::nullopt;
  const auto guaranteed = amounts_from(j["guaranteed"]), most = amounts_from(j["most"]);
  if (!guaranteed || !most || !std::isfinite(guaranteed->cpus) || !std::isfinite(guaranteed->gpus)) return std::nullopt;
  return QuotaLimits{*guaranteed, *most};
}

} // namespace

Json to_json(const QuotaRecord &r) {
  Json history = Json::array();
  for (const auto &c : r.history)
    history.push_back({{"number", c.number}, {"at", c.wall}, {"limits", limits_json(c.limits)}});
  return {{"version", r.version},         {"limits", limits_json(r.limits)}, {"shares", by_cell_json(r.shares)},
          {"caps", by_cell_json(r.caps)}, {"held", by_cell_json(r.held)},    {"history", std::move(history)}};
}

std::optional<QuotaRecord> quota_from_json(const Json &j) {
  if (!j.is_object()) return std::nullopt;
  QuotaRecord r;
  const auto version = count(j, "version");
  const auto limits = limits_from(j.value("limits", Json()));
  const auto shares = by_cell_from(j.value("shares", Json())), caps = by_cell_from(j.value("caps", Json())),
             held = by_cell_from(j.value("held", Json()));
  const Json history = j.value("history", Json::array());
  if (!version || !limits || !shares || !caps || !held || !history.is_array() || history.size() > kMaxQuotaHistory)
    return std::nullopt;
  for (const auto &c : history) {
    const auto number = c.is_object() ? count(c, "number") : std::nullopt;
    const auto changed = c.is_object() ? limits_from(c.value("limits", Json())) : std::nullopt;
    if (!number || !changed || !c.contains("at") || !c["at"].is_number()) return std::nullopt;
    r.history.push_back({*number, c["at"].get<double>(), *changed});
  }
  r.version = *version;
  r.limits = *limits;
  r.shares = *shares;
  r.caps = *caps;
  r.held = *held;
  return r;
}

std::variant<QuotaChange, std::string> read_quota_change(std::string_view team, const Json &j) {
  QuotaChange change;
  change.team = team;
  if (!j.is_object()) return std::string("body: a map is wanted");
  for (const auto &[name, value] : j.items()) {
    const bool limit = name == "cpus_max" || name == "gpus_max";
    if (limit || name == "cpus" || name == "gpus") {
      const auto wanted = limit && value.is_null() ? std::optional(Amounts::kUnlimited) : amount(j, name.c_str());
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
      change.version = count(j, "version");
      if (!change.version) return std::string("version: a whole number is wanted");
    } else {
      return std::string("no such field; cpus, cpus_max, gpus, gpus_max, shares and version are known");
    }
  }
  return change;
}

Json to_json(const QuotaChange &c) {
  Json j = Json::object();
  auto limit = [&j](const char *name, const std::optional<double> &value) {
    if (value) j[name] = std::isfinite(*value) ? Json(*value) : Json();
  };
  limit("cpus", c.guaranteed_cpus);
  limit("gpus", c.guaranteed_gpus);
  limit("cpus_max", c.max_cpus);
  limit("gpus_max", c.max_gpus);
  if (c.shares) j["shares"] = by_cell_json(*c.shares);
  if (c.version) j["version"] = *c.version;
  return j;
}

Json to_json(const ForwardedChange &f) {
  return {
      {"team", f.change.team}, {"change", to_json(f.change)}, {"node", f.node}, {"status", f.status}, {"text", f.text}};
}

std::optional<ForwardedChange> forwarded_from_json(const Json &j) {
  if (!j.is_object() || !j.contains("change")) return std::nullopt;
  auto change = read_quota_change(j.value("team", ""), j["change"]);
  if (!std::holds_alternative<QuotaChange>(change)) return std::nullopt;
  return ForwardedChange{std::move(std::get<QuotaChange>(change)), j.value("node", ""), j.value("status", 0),
                         j.value("text", "")};
}

Json to_json(const AppliedRecord &a) {
  return {{"revision", a.revision}, {"at", a.wall}};
}

std::optional<AppliedRecord> applied_from_json(const Json &j) {
  const auto revision = j.is_object() ? count(j, "revision") : std::nullopt;
  if (!revision || !j.contains("at") || !j["at"].is_number()) return std::nullopt;
  return AppliedRecord{*revision, j["at"].get<double>()};
}

} // namespace loftrouter::wire
