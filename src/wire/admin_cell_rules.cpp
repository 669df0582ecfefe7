#include "loftrouter/wire/admin_cell_rules.hpp"

#include "admin_json.hpp"
#include "protocol_names.hpp"

namespace loftrouter::wire {

namespace {

constexpr std::size_t kMaxNames = 100;
constexpr double kMaxCpus = 1e6;

std::optional<FieldError> apply_flag(const std::string &name, const Json &value, bool &out) {
  if (!value.is_boolean()) return FieldError{name + ": must be true or false"};
  out = value.get<bool>();
  return std::nullopt;
}

std::optional<FieldError> apply_max_accepted_cpus(const Json &value, CellRules &rules) {
  const auto cpus = read_number(value, 0, kMaxCpus);
  if (!cpus) return FieldError{"most_borrowed_cpus: must be a number from 0 to 1000000"};
  rules.max_accepted_cpus = *cpus;
  return std::nullopt;
}

std::optional<FieldError> apply_names(const std::string &field, const Json &value, std::vector<std::string> &out) {
  if (!value.is_array() || value.size() > kMaxNames) return FieldError{field + ": must be a list of at most 100 names"};
  std::vector<std::string> names;
  for (const auto &element : value) {
    if (!element.is_string() || !valid_name(element.get_ref<const std::string &>()))
      return FieldError{field + ": contains an invalid name"};
    names.push_back(element.get<std::string>());
  }
  out = std::move(names);
  return std::nullopt;
}

std::optional<FieldError> apply_field(const std::string &name, const Json &value, CellRules &rules) {
  if (name == setting::kDelegate) return apply_flag(name, value, rules.delegate);
  if (name == setting::kAccept) return apply_flag(name, value, rules.accept);
  if (name == setting::kMaxAcceptedCpus) return apply_max_accepted_cpus(value, rules);
  if (name == setting::kLocalTeams) return apply_names(name, value, rules.stay_teams);
  if (name == setting::kLocalClasses) return apply_names(name, value, rules.stay_classes);
  return no_such_setting(name);
}

} // namespace

Json to_json(const CellRules &rules) {
  return {{setting::kDelegate, rules.delegate},
          {setting::kAccept, rules.accept},
          {setting::kMaxAcceptedCpus, rules.max_accepted_cpus},
          {setting::kLocalTeams, rules.stay_teams},
          {setting::kLocalClasses, rules.stay_classes}};
}

std::optional<FieldError> apply_cell_rules(const Json &json, CellRules &rules) {
  for (const auto &[name, value] : json.items())
    if (auto error = apply_field(name, value, rules)) return error;
  return std::nullopt;
}

std::string encode_cell_rules(const CellRules &rules) {
  return dump_admin_json(to_json(rules));
}

} // namespace loftrouter::wire
