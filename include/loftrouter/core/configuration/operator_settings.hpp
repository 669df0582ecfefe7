// Operators' tunables, budgets, cell rules and machine admin states, read from this node's copy of the configuration.
//
// Owns the values in force. A record that cannot be read is logged and changes nothing. Budgets and machine admin
// states are stored as one record each and, as far as they fit, in the documents that earlier versions read and write;
// `entries` decides which of the two applies (docs/configuration.md, "Side by side").
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "loftrouter/core/configuration/configuration.hpp"
#include "loftrouter/wire/admin_budgets.hpp"
#include "loftrouter/wire/admin_cell_rules.hpp"
#include "loftrouter/wire/admin_settings.hpp"

namespace loftrouter::core {

class OperatorSettings {
public:
  static constexpr const char *kTunablesKey = "conf/operator", *kMachineAdminStatesKey = "conf/machines",
                              *kBudgetsKey = "conf/budgets", *kCellsKey = "conf/cells";

  OperatorSettings(Runtime &runtime, Events &events, const Configuration &configuration)
      : runtime_(runtime), events_(events), configuration_(configuration) {}

  void on(const ConfigurationChanged &event);
  const wire::Tunables &tunables() const { return tunables_; }
  const wire::Budgets &budgets() const { return budgets_; }
  const wire::CellRules &cell_rules() const { return cell_rules_; }
  const wire::MachineAdminStates &machine_admin_states() const { return machine_admin_states_; }
  std::optional<wire::MachineAdminState> machine_admin_state(const std::string &machine) const;

private:
  // Merges the records under `prefix` and the document's entries; returns those that apply, by name.
  std::map<std::string, wire::Json> entries(std::string_view prefix, const wire::Json &document,
                                            std::uint64_t document_revision) const;
  void read_tunables();
  void read_budgets();
  void read_cell_rules();
  void read_machine_admin_states();
  void read_machine_admin_state(const std::string &machine);

  Runtime &runtime_;
  Events &events_;
  const Configuration &configuration_;
  wire::Tunables tunables_;
  wire::MachineAdminStates machine_admin_states_;
  wire::Budgets budgets_;
  wire::CellRules cell_rules_;
};

} // namespace loftrouter::core
