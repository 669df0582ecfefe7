#include "loftrouter/wire/admin_budgets.hpp"

#include "admin_json.hpp"
#include "json_fields.hpp"
#include "protocol_names.hpp"

namespace loftrouter::wire {

namespace {

constexpr std::size_t kMaxTeams = 100;
constexpr double kMaxCpuHours = 1e6;

std::optional<FieldError> apply_period(const Json &value, accounts::PeriodSchedule &schedule) {
  if (value != setting::kDaily && value != setting::kWeekly) return FieldError{"every: must be day or week"};
  schedule.weekly = value == setting::kWeekly;
  return std::nullopt;
}

std::optional<FieldError> apply_period_start(const Json &value, accounts::PeriodSchedule &schedule) {
  const auto minute = accounts::parse_minute(read_text_or_empty(value));
  if (!minute) return FieldError{"starts: must be a time of day such as 20:00"};
  schedule.starts_min = *minute;
  return std::nullopt;
}

std::optional<FieldError> apply_utc_offset(const Json &value, accounts::PeriodSchedule &schedule) {
  const auto offset = accounts::parse_offset(read_text_or_empty(value));
  if (!offset) return FieldError{"utc_offset: must be an offset from UTC such as +05:30"};
  schedule.offset_min = *offset;
  return std::nullopt;
}

std::optional<FieldError> apply_budgets_field(const std::string &name, const Json &value,
                                              accounts::PeriodSchedule &schedule) {
  if (name == setting::kPeriod) return apply_period(value, schedule);
  if (name == setting::kPeriodStart) return apply_period_start(value, schedule);
  if (name == setting::kUtcOffset) return apply_utc_offset(value, schedule);
  if (name != setting::kTeams) return no_such_setting(name);
  if (!value.is_object() || value.size() > kMaxTeams) return FieldError{"teams: must be a map of at most 100 teams"};
  return std::nullopt;
}

// Returns false if the field is unknown or its value is invalid.
bool apply_team_field(const std::string &name, const Json &value, TeamBudget &budget) {
  if (name == setting::kCpuHours) {
    const auto cpu_hours = read_number(value, 0, kMaxCpuHours);
    if (cpu_hours) budget.cpu_hours = *cpu_hours;
    return cpu_hours.has_value();
  }
  if (name == setting::kWarnShare) {
    const auto share = read_number(value, 0, 1);
    if (share) budget.warn_share = *share;
    return share.has_value();
  }
  if (name != setting::kWhenSpent) return false;
  budget.stop = value == setting::kStop;
  return budget.stop || value == setting::kFinish;
}

std::optional<FieldError> apply_team(const std::string &team, const Json &value, Budgets &budgets) {
  if (value.is_null()) {
    budgets.teams.erase(team);
    return std::nullopt;
  }
  const std::string path = "teams." + (valid_name(team) ? team : std::string("a team"));
  if (!value.is_object()) return FieldError{path + ": must be a map, or null for no budget"};
  TeamBudget budget;
  if (const auto existing = budgets.teams.find(team); existing != budgets.teams.end()) budget = existing->second;
  for (const auto &[name, field] : value.items())
    if (!apply_team_field(name, field, budget))
      return FieldError{path +
                        ": expected cpu_hours (0 to 1000000), warn_share (0 to 1) and when_spent (finish or stop)"};
  budgets.teams[team] = budget;
  return std::nullopt;
}

Json to_json(const TeamBudget &budget) {
  Json json = {{setting::kWarnShare, budget.warn_share},
               {setting::kWhenSpent, budget.stop ? setting::kStop : setting::kFinish}};
  if (budget.cpu_hours >= 0) json[setting::kCpuHours] = budget.cpu_hours;
  return json;
}

} // namespace

Json to_json(const Budgets &budgets) {
  Json teams = Json::object();
  for (const auto &[name, budget] : budgets.teams)
    teams[name] = to_json(budget);
  return {{setting::kPeriod, budgets.clock.weekly ? setting::kWeekly : setting::kDaily},
          {setting::kPeriodStart, accounts::format_minute(budgets.clock.starts_min)},
          {setting::kUtcOffset, accounts::format_offset(budgets.clock.offset_min)},
          {setting::kTeams, std::move(teams)}};
}

std::optional<FieldError> apply_budgets(const Json &json, Budgets &budgets) {
  for (const auto &[name, value] : json.items())
    if (auto error = apply_budgets_field(name, value, budgets.clock)) return error;
  if (!json.contains(setting::kTeams)) return std::nullopt;
  for (const auto &[team, value] : json[setting::kTeams].items())
    if (auto error = apply_team(team, value, budgets)) return error;
  return std::nullopt;
}

std::string encode_budgets(const Budgets &budgets) {
  return dump_admin_json(to_json(budgets));
}

} // namespace loftrouter::wire
