#include "loftrouter/wire/configuration.hpp"

#include <cmath>

#include <fmt/format.h>

#include "json_fields.hpp"
#include "protocol_names.hpp"

namespace loftrouter::wire {

namespace {

constexpr std::size_t kMaxCells = 17; // this cell and 16 others
constexpr std::uint64_t kMaxHttpStatus = 599;

void put_unless_unlimited(Json &json, const char *name, double value) {
  if (std::isfinite(value)) json[name] = value;
}

Json amounts_json(const Amounts &amounts) {
  Json json = Json::object();
  put_unless_unlimited(json, setting::kCpus, amounts.cpus);
  put_unless_unlimited(json, setting::kGpus, amounts.gpus);
  return json;
}

// Reads an amount; a missing one is unlimited. Returns false if it is invalid, which includes null.
bool read_amount_or_unlimited(const Json &json, const char *name, double &out) {
  out = Amounts::kUnlimited;
  if (!json.contains(name)) return true;
  const auto value = read_amount(json[name]);
  if (value) out = *value;
  return value.has_value();
}

std::optional<Amounts> amounts_from_json(const Json &json) {
  if (!json.is_object()) return std::nullopt;
  Amounts amounts;
  if (!read_amount_or_unlimited(json, setting::kCpus, amounts.cpus)) return std::nullopt;
  if (!read_amount_or_unlimited(json, setting::kGpus, amounts.gpus)) return std::nullopt;
  return amounts;
}

Json amounts_by_cell_json(const AmountsByCell &by_cell) {
  Json json = Json::object();
  for (const auto &[cell, amounts] : by_cell)
    json[cell] = amounts_json(amounts);
  return json;
}

std::optional<AmountsByCell> amounts_by_cell_from_json(const Json &json) {
  if (!json.is_object() || json.size() > kMaxCells) return std::nullopt;
  AmountsByCell by_cell;
  for (const auto &[cell, value] : json.items()) {
    const auto amounts = amounts_from_json(value);
    if (!amounts) return std::nullopt;
    by_cell[cell] = *amounts;
  }
  return by_cell;
}

Json to_json(const QuotaLimits &limits) {
  return {{setting::kGuaranteed, amounts_json(limits.guaranteed)}, {setting::kMaximum, amounts_json(limits.most)}};
}

std::optional<QuotaLimits> limits_from_json(const Json &json) {
  const auto guaranteed = amounts_from_json(member(json, setting::kGuaranteed));
  const auto maximum = amounts_from_json(member(json, setting::kMaximum));
  if (!guaranteed || !maximum) return std::nullopt;
  // An unlimited guarantee could never be met.
  if (!std::isfinite(guaranteed->cpus) || !std::isfinite(guaranteed->gpus)) return std::nullopt;
  return QuotaLimits{*guaranteed, *maximum};
}

std::optional<double> wall_time_from_json(const Json &json) {
  return json.is_number() ? std::optional(json.get<double>()) : std::nullopt;
}

Json to_json(const QuotaRecord::Change &change) {
  return {{setting::kNumber, change.number}, {setting::kAt, change.wall}, {setting::kLimits, to_json(change.limits)}};
}

std::optional<QuotaRecord::Change> change_from_json(const Json &json) {
  const auto number = read_count(member(json, setting::kNumber));
  const auto wall_time_s = wall_time_from_json(member(json, setting::kAt));
  const auto limits = limits_from_json(member(json, setting::kLimits));
  if (!number || !wall_time_s || !limits) return std::nullopt;
  return QuotaRecord::Change{*number, *wall_time_s, *limits};
}

// Returns the history of a quota record, empty if it is missing, or nullopt if it is malformed.
std::optional<std::vector<QuotaRecord::Change>> history_from_json(const Json &record) {
  std::vector<QuotaRecord::Change> history;
  if (!record.contains(setting::kHistory)) return history;
  const Json &list = record[setting::kHistory];
  if (!list.is_array() || list.size() > kMaxQuotaHistory) return std::nullopt;
  for (const auto &entry : list) {
    auto change = change_from_json(entry);
    if (!change) return std::nullopt;
    history.push_back(*change);
  }
  return history;
}

// AmountField describes a field of a quota change that holds an amount.
struct AmountField {
  const char *name;
  std::optional<double> QuotaChange::*field;
  bool nullable; // null resets to the limit of the settings file
};
constexpr AmountField kAmountFields[] = {
    {setting::kCpus, &QuotaChange::guaranteed_cpus, false},
    {setting::kGpus, &QuotaChange::guaranteed_gpus, false},
    {setting::kMaxCpus, &QuotaChange::max_cpus, true},
    {setting::kMaxGpus, &QuotaChange::max_gpus, true},
};

std::optional<FieldError> read_amount_field(const AmountField &amount, const Json &value, QuotaChange &change) {
  auto requested = amount.nullable && value.is_null() ? std::optional(Amounts::kUnlimited) : read_amount(value);
  if (!requested)
    return FieldError{fmt::format("{}: must be a number from 0 to {:g}{}", amount.name, kMaxAmount,
                                  amount.nullable ? ", or null for the limit of the settings file" : "")};
  change.*amount.field = requested;
  return std::nullopt;
}

std::optional<FieldError> read_shares(const Json &value, QuotaChange &change) {
  change.shares = amounts_by_cell_from_json(value.is_null() ? Json::object() : value);
  if (!change.shares) return FieldError{"shares: must be a map from cells to cpus and gpus, or null"};
  return std::nullopt;
}

std::optional<FieldError> read_version(const Json &value, QuotaChange &change) {
  change.version = read_count(value);
  if (!change.version) return FieldError{"version: must be a whole number"};
  return std::nullopt;
}

std::optional<FieldError> read_change_field(const std::string &name, const Json &value, QuotaChange &change) {
  for (const auto &amount : kAmountFields)
    if (name == amount.name) return read_amount_field(amount, value, change);
  if (name == setting::kShares) return read_shares(value, change);
  if (name == setting::kVersion) return read_version(value, change);
  return FieldError{"unknown field; expected cpus, cpus_max, gpus, gpus_max, shares or version"};
}

} // namespace

Json to_json(const QuotaRecord &record) {
  Json history = Json::array();
  for (const auto &change : record.history)
    history.push_back(to_json(change));
  return {{setting::kVersion, record.version},
          {setting::kLimits, to_json(record.limits)},
          {setting::kShares, amounts_by_cell_json(record.shares)},
          {setting::kCaps, amounts_by_cell_json(record.caps)},
          {setting::kHeld, amounts_by_cell_json(record.held)},
          {setting::kHistory, std::move(history)}};
}

std::optional<QuotaRecord> quota_from_json(const Json &json) {
  if (!json.is_object()) return std::nullopt;
  const auto version = read_count(member(json, setting::kVersion));
  const auto limits = limits_from_json(member(json, setting::kLimits));
  auto shares = amounts_by_cell_from_json(member(json, setting::kShares));
  auto caps = amounts_by_cell_from_json(member(json, setting::kCaps));
  auto held = amounts_by_cell_from_json(member(json, setting::kHeld));
  auto history = history_from_json(json);
  if (!version || !limits || !shares || !caps || !held || !history) return std::nullopt;
  return QuotaRecord{*version, *limits, std::move(*shares), std::move(*caps), std::move(*held), std::move(*history)};
}

std::variant<QuotaChange, FieldError> read_quota_change(std::string_view team, const Json &json) {
  if (!json.is_object()) return FieldError{"body: must be a map"};
  QuotaChange change;
  change.team = team;
  for (const auto &[name, value] : json.items())
    if (auto error = read_change_field(name, value, change)) return *error;
  return change;
}

Json to_json(const QuotaChange &change) {
  Json json = Json::object();
  for (const auto &amount : kAmountFields)
    if (const auto &value = change.*amount.field) json[amount.name] = std::isfinite(*value) ? Json(*value) : Json();
  if (change.shares) json[setting::kShares] = amounts_by_cell_json(*change.shares);
  if (change.version) json[setting::kVersion] = *change.version;
  return json;
}

std::string encode_quota_update(const QuotaUpdate &update) {
  return encode({{setting::kTeam, update.team}, {setting::kRecord, to_json(update.record)}});
}

std::optional<QuotaUpdate> decode_quota_update(std::string_view body) {
  const auto json = decode(body);
  if (!json) return std::nullopt;
  auto team = read_text(member(*json, setting::kTeam));
  auto record = quota_from_json(member(*json, setting::kRecord));
  if (!team || !record) return std::nullopt;
  return QuotaUpdate{std::move(*team), std::move(*record)};
}

Json to_json(const EntryRecord &entry) {
  return {{setting::kValue, entry.value}, {setting::kInDocument, entry.in_document}};
}

std::optional<EntryRecord> entry_from_json(const Json &json) {
  if (!json.is_object() || !json.contains(setting::kValue)) return std::nullopt;
  if (json.contains(setting::kInDocument) && !json[setting::kInDocument].is_boolean()) return std::nullopt;
  return EntryRecord{json[setting::kValue], read_flag(member(json, setting::kInDocument))};
}

Json to_json(const ForwardedChange &forwarded) {
  return {{setting::kTeam, forwarded.change.team},
          {setting::kChange, to_json(forwarded.change)},
          {setting::kNode, forwarded.node},
          {setting::kStatus, forwarded.status},
          {setting::kText, forwarded.text}};
}

std::optional<ForwardedChange> forwarded_from_json(const Json &json) {
  auto change = read_quota_change(read_text_or_empty(member(json, setting::kTeam)), member(json, setting::kChange));
  if (!std::holds_alternative<QuotaChange>(change)) return std::nullopt;
  ForwardedChange forwarded;
  forwarded.change = std::move(std::get<QuotaChange>(change));
  forwarded.node = read_text_or_empty(member(json, setting::kNode));
  if (const auto status = read_count(member(json, setting::kStatus)); status && *status <= kMaxHttpStatus)
    forwarded.status = static_cast<int>(*status);
  forwarded.text = read_text_or_empty(member(json, setting::kText));
  return forwarded;
}

Json to_json(const AppliedRecord &applied) {
  return {{setting::kRevision, applied.revision}, {setting::kAt, applied.wall}};
}

std::optional<AppliedRecord> applied_from_json(const Json &json) {
  const auto revision = read_count(member(json, setting::kRevision));
  const auto wall_time_s = wall_time_from_json(member(json, setting::kAt));
  if (!revision || !wall_time_s) return std::nullopt;
  return AppliedRecord{*revision, *wall_time_s};
}

} // namespace loftrouter::wire
