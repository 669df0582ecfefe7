#include "loftrouter/core/configuration/operator_settings.hpp"

#include "loftrouter/wire/configuration.hpp"

namespace loftrouter::core {

namespace {
// Whether a record, and not the document's entry of this name, says what is in force.
bool counts(const Configuration::Record &record, std::uint64_t document_revision) {
  if (!record.value.is_object() || !record.value.contains("value")) return false;
  // The document was changed since by somebody who knows nothing of records, and had the entry before it.
  return !record.value.value("in_document", false) || document_revision <= record.revision;
}
} // namespace

void OperatorSettings::on(const ConfigurationChanged &event) {
  if (event.key == kTunablesKey) read_tunables();
  if (event.key == kCellsKey) read_cell_rules();
  if (event.key == kBudgetsKey || event.key.starts_with(wire::kConfigBudget)) read_budgets();
  if (event.key == kMachineAdminStatesKey) read_orders();
  if (event.key.starts_with(wire::kConfigMachine)) read_order(event.key.substr(wire::kConfigMachine.size()));
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
  std::map<std::string, wire::Json> out;
  if (document.is_object())
    for (const auto &[name, value] : document.items())
      out[name] = value;
  configuration_.each(prefix, [&](std::string_view name, const Configuration::Record &record) {
    if (counts(record, document_revision)) out[std::string(name)] = record.value["value"];
  });
  return out;
}

void OperatorSettings::read_budgets() {
  const auto *document = configuration_.find(kBudgetsKey);
  wire::Json whole = document ? document->value : wire::Json::object();
  if (!whole.is_object()) whole = wire::Json::object();
  const auto teams =
      entries(wire::kConfigBudget, whole.value("teams", wire::Json::object()), document ? document->revision : 0);
  whole.erase("teams");
  wire::Budgets budgets;
  auto problem = wire::apply_budgets(whole, budgets);
  for (auto it = teams.begin(); it != teams.end() && !problem; ++it)
    problem = wire::apply_budgets({{"teams", {{it->first, it->second}}}}, budgets);
  if (problem)
    runtime_.log(LogLevel::Error, "budgets_rejected", {{"why", problem->message}});
  else
    budgets_ = std::move(budgets);
}

void OperatorSettings::read_orders() {
  const auto *document = configuration_.find(kMachineAdminStatesKey);
  orders_.clear();
  for (const auto &[machine, machine_admin_state] :
       entries(wire::kConfigMachine, document ? document->value : wire::Json(), document ? document->revision : 0))
    if (const auto read = wire::machine_admin_state_from_json(machine_admin_state)) orders_[machine] = *read;
  events_.publish(MachineAdminStatesChanged{});
}

// One record alone: thousands come one by one when a node lists them first.
void OperatorSettings::read_order(const std::string &machine) {
  const auto *document = configuration_.find(kMachineAdminStatesKey);
  const auto *record = configuration_.find(std::string(wire::kConfigMachine) + machine);
  std::optional<wire::MachineAdminState> read;
  if (record && counts(*record, document ? document->revision : 0))
    read = wire::machine_admin_state_from_json(record->value["value"]);
  else if (document && document->value.is_object() && document->value.contains(machine))
    read = wire::machine_admin_state_from_json(document->value[machine]);
  if (read)
    orders_[machine] = *read;
  else
    orders_.erase(machine);
  events_.publish(MachineAdminStatesChanged{machine});
}

std::optional<wire::MachineAdminState> OperatorSettings::machine_admin_state(const std::string &machine) const {
  auto it = orders_.find(machine);
  return it == orders_.end() ? std::nullopt : std::optional(it->second);
}

} // namespace loftrouter::core
