#include "loftrouter/wire/admin_settings.hpp"

#include <algorithm>

#include <fmt/format.h>

#include "admin_json.hpp"
#include "json_fields.hpp"
#include "protocol_names.hpp"

namespace loftrouter::wire {

namespace {

struct TunableField {
  const char *name;
  double Tunables::*field;
  double min;
  double max;
};
constexpr TunableField kTunableFields[] = {
    {setting::kFullPlanBonus, &Tunables::full_plan_bonus, 0, 1000},
    {setting::kAgeWeight, &Tunables::age_weight, 0, 10},
    {setting::kImageWeight, &Tunables::image_weight, 0, 100},
    {setting::kPriceWeight, &Tunables::price_weight, 0, 100},
    {setting::kInTimeBonus, &Tunables::in_time_bonus, 0, 1000},
    {setting::kReserveAfterS, &Tunables::reserve_after_s, 1, 86400},
    {setting::kIdleBoots, &Tunables::idle_boots, 0, 100},
    {setting::kProbePauseS, &Tunables::probe_pause_s, 1, 3600},
    {setting::kLateNoticeShare, &Tunables::late_notice_share, 0.1, 1},
};

constexpr EnumSpellings<MachineAdminState, 2> kMachineAdminStates{{setting::kDrain, setting::kQuarantine}};

} // namespace

Json to_json(const Tunables &tunables) {
  Json json = Json::object();
  for (const auto &tunable : kTunableFields)
    json[tunable.name] = tunables.*tunable.field;
  return json;
}

std::optional<FieldError> apply_tunables(const Json &json, Tunables &tunables) {
  for (const auto &item : json.items()) {
    const std::string &name = item.key();
    const auto tunable = std::find_if(std::begin(kTunableFields), std::end(kTunableFields),
                                      [&name](const TunableField &field) { return name == field.name; });
    if (tunable == std::end(kTunableFields)) return no_such_setting(name);
    const auto value = read_number(item.value(), tunable->min, tunable->max);
    if (!value) return FieldError{fmt::format("{}: must be a number from {} to {}", name, tunable->min, tunable->max)};
    tunables.*tunable->field = *value;
  }
  return std::nullopt;
}

Json to_json(MachineAdminState state) {
  return kMachineAdminStates[state];
}

std::optional<MachineAdminState> machine_admin_state_from_json(const Json &json) {
  return read_spelling(json, kMachineAdminStates);
}

Json to_json(const MachineAdminStates &states) {
  Json json = Json::object();
  for (const auto &[machine, state] : states)
    json[machine] = to_json(state);
  return json;
}

MachineAdminStates machine_admin_states_from_json(const Json &json) {
  MachineAdminStates states;
  if (!json.is_object()) return states;
  for (const auto &[machine, value] : json.items()) {
    if (states.size() >= kMaxMachineOrders) break;
    if (const auto state = machine_admin_state_from_json(value)) states[machine] = *state;
  }
  return states;
}

std::size_t listed_bytes(const std::string &machine) {
  constexpr std::size_t bytes_without_name = 24; // indentation, quotes, the longest state, comma and newline
  return machine.size() + bytes_without_name;
}

std::string encode_settings(const Tunables &tunables, const MachineAdminStates &states, std::string_view next) {
  return dump_admin_json(
      {{"settings", to_json(tunables)}, {"machines", to_json(states)}, {"next", text_or_null(next)}});
}

} // namespace loftrouter::wire
