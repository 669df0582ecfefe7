// Operators' own settings and their orders about machines, as the state service has them.
//
// Owns both. They are read again every few seconds on every node; a record that cannot be read changes nothing.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "loftrouter/core/events.hpp"
#include "loftrouter/core/port.hpp"
#include "loftrouter/wire/admin.hpp"

namespace loft::core {

class Operators {
public:
  static constexpr const char *kTunablesKey = "conf/operator", *kOrdersKey = "conf/machines",
                              *kBudgetsKey = "conf/budgets", *kCellsKey = "conf/cells";

  Operators(Port &port, Events &events) : port_(port), events_(events) {}

  void tick();
  void take(const std::vector<wire::Entry> &entries);
  const wire::Tunables &tunables() const { return tunables_; }
  const wire::Budgets &budgets() const { return budgets_; }
  const wire::CellRules &cell_rules() const { return cell_rules_; }
  const wire::MachineOrders &orders() const { return orders_; }
  std::optional<wire::MachineOrder> order(const std::string &machine) const;

private:
  Port &port_;
  Events &events_;
  wire::Tunables tunables_;
  wire::MachineOrders orders_;
  wire::Budgets budgets_;
  wire::CellRules cell_rules_;
  bool loading_ = false;
  double next_ = 0;
};

} // namespace loft::core
