// Operators' own settings, budgets and orders about machines, as this node's copy of the configuration has them.
//
// Owns what is in force of them. A record that cannot be read changes nothing. Budgets and orders stand in records of
// their own and, as far as they fit, in the documents that the production version knows; which of the two counts is
// decided in one place, `entries` (docs/configuration.md, "Side by side").
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
  const wire::MachineAdminStates &machine_admin_states() const { return orders_; }
  std::optional<wire::MachineAdminState> machine_admin_state(const std::string &machine) const;

private:
  // Of the records under `prefix` and the document's entries: those that count, by name.
  std::map<std::string, wire::Json> entries(std::string_view prefix, const wire::Json &document,
                                            std::uint64_t document_revision) const;
  void read_tunables();
  void read_budgets();
  void read_cell_rules();
  void read_orders();
  void read_order(const std::string &machine);

  Runtime &runtime_;
  Events &events_;
  const Configuration &configuration_;
  wire::Tunables tunables_;
  wire::MachineAdminStates orders_;
  wire::Budgets budgets_;
  wire::CellRules cell_rules_;
};

} // namespace loftrouter::core
