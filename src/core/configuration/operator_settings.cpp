#include "loftrouter/core/configuration/operator_settings.hpp"

#include "loftrouter/wire/configuration.hpp"

namespace loftrouter::core {

namespace {
// Returns the record's entry if it takes precedence over the document's entry of this name.
std::optional<wire::EntryRecord> preceding_entry(const Configuration::Record &record, std::uint64_t document_revision) {
  auto entry = wire::entry_from_json(record.value);
  // An earlier version has written the document since.
  if (entry && entry->in_document && document_revision > record.revision) return std::nullopt;
  return entry;
}
} // namespace

void OperatorSettings::on(const ConfigurationChanged &event) {
  if (event.key == kTunablesKey) read_tunables();
  if (event.key == kCellsKey) read_cell_rules();
  if (event.key == kBudgetsKey || event.key.starts_with(wire::kConfigBudget)) read_budgets();
  if (event.key == kMachineAdminStatesKey) read_machine_admin_states();
  if (event.key.starts_with(wire::kConfigMachine))
    read_machine_admin_state(event.key.substr(wire::kConfigMachine.size()));
}

void OperatorSettings::read_tunables() {
  const auto *document = configuration_.find(kTunablesKey);
  wire::Tunables tunables;
  if (!document) return;
  if (auto problem = wire::apply_tunables(document->value, tunables))
    runtime_.log(LogLevel::Error, "operator_settings_rejected", {{"why", problem->message}});
  else
    tunables_ = tunables;
}

void OperatorSettings::read_cell_rules() {
  const auto *document = configuration_.find(kCellsKey);
  wire::CellRules rules;
  if (!document) return;
  if (auto problem = wire::apply_cell_rules(document->value, rules))
    runtime_.log(LogLevel::Error, "cell_rules_rejected", {{"why", problem->message}});
  else
    cell_rules_ = std::move(rules);
}

std::map<std::string, wire::Json> OperatorSettings::entries(std::string_view prefix, const wire::Json &document,
                                                            std::uint64_t document_revision) const {
  std::map<std::string, wire::Json> merged;
  if (document.is_object())
    for (const auto &[name, value] : document.items())
      merged[name] = value;
  configuration_.each(prefix, [&](std::string_view name, const Configuration::Record &record) {
    if (auto entry = preceding_entry(record, document_revision)) merged[std::string(name)] = std::move(entry->value);
  });
  return merged;
}

void OperatorSettings::read_budgets() {
  const auto *document = configuration_.find(kBudgetsKey);
  wire::Json settings = document ? document->value : wire::Json::object();
  if (!settings.is_object()) settings = wire::Json::object();
  const wire::Json document_teams = settings.contains("teams") ? settings["teams"] : wire::Json::object();
  const auto teams = entries(wire::kConfigBudget, document_teams, document ? document->revision : 0);
  settings.erase("teams");
  wire::Budgets budgets;
  auto problem = wire::apply_budgets(settings, budgets);
  for (auto it = teams.begin(); it != teams.end() && !problem; ++it)
    problem = wire::apply_budgets({{"teams", {{it->first, it->second}}}}, budgets);
  if (problem)
    runtime_.log(LogLevel::Error, "budgets_rejected", {{"why", problem->message}});
  else
    budgets_ = std::move(budgets);
}

void OperatorSettings::read_machine_admin_states() {
  const auto *document = configuration_.find(kMachineAdminStatesKey);
  machine_admin_states_.clear();
  for (const auto &[machine, value] :
       entries(wire::kConfigMachine, document ? document->value : wire::Json(), document ? document->revision : 0))
    if (const auto read = wire::machine_admin_state_from_json(value)) machine_admin_states_[machine] = *read;
  events_.publish(MachineAdminStatesChanged{});
}

// Reads one machine's state instead of all: a node's first list may publish thousands of changes.
void OperatorSettings::read_machine_admin_state(const std::string &machine) {
  const auto *document = configuration_.find(kMachineAdminStatesKey);
  const auto *record = configuration_.find(std::string(wire::kConfigMachine) + machine);
  std::optional<wire::MachineAdminState> read;
  std::optional<wire::EntryRecord> entry;
  if (record) entry = preceding_entry(*record, document ? document->revision : 0);
  if (entry)
    read = wire::machine_admin_state_from_json(entry->value);
  else if (document && document->value.is_object() && document->value.contains(machine))
    read = wire::machine_admin_state_from_json(document->value[machine]);
  if (read)
    machine_admin_states_[machine] = *read;
  else
    machine_admin_states_.erase(machine);
  events_.publish(MachineAdminStatesChanged{machine});
}

std::optional<wire::MachineAdminState> OperatorSettings::machine_admin_state(const std::string &machine) const {
  const auto found = machine_admin_states_.find(machine);
  return found == machine_admin_states_.end() ? std::nullopt : std::optional(found->second);
}

} // namespace loftrouter::core
