#include "loftrouter/core/operators.hpp"

#include "loftrouter/wire/configuration.hpp"

namespace loft::core {

void Operators::on(const ConfigurationChanged &e) {
  if (e.key == kTunablesKey) read_tunables();
  if (e.key == kCellsKey) read_cell_rules();
  if (e.key == kBudgetsKey || e.key.starts_with(wire::kConfigBudget)) read_budgets();
  if (e.key == kOrdersKey || e.key.starts_with(wire::kConfigMachine)) read_orders();
}

void Operators::read_tunables() {
  const auto *document = configuration_.find(kTunablesKey);
  wire::Tunables t;
  if (!document) return;
  if (auto problem = wire::apply_tunables(document->value, t))
    port_.log(LogLevel::Error, "operators_settings_unreadable", {{"why", *problem}});
  else
    tunables_ = t;
}

void Operators::read_cell_rules() {
  const auto *document = configuration_.find(kCellsKey);
  wire::CellRules r;
  if (!document) return;
  if (auto problem = wire::apply_cell_rules(document->value, r))
    port_.log(LogLevel::Error, "cell_rules_unreadable", {{"why", *problem}});
  else
    cell_rules_ = std::move(r);
}

std::map<std::string, wire::Json> Operators::entries(std::string_view prefix, const wire::Json &document,
                                                     std::uint64_t document_revision) const {
  std::map<std::string, wire::Json> out;
  if (document.is_object())
    for (const auto &[name, value] : document.items())
      out[name] = value;
  configuration_.each(prefix, [&](std::string_view name, const Configuration::Record &r) {
    if (!r.value.is_object() || !r.value.contains("value")) return;
    // The document was changed since by somebody who knows nothing of records, and had the entry before it.
    if (r.value.value("in_document", false) && document_revision > r.revision) return;
    out[std::string(name)] = r.value["value"];
  });
  return out;
}

void Operators::read_budgets() {
  const auto *document = configuration_.find(kBudgetsKey);
  wire::Json whole = document ? document->value : wire::Json::object();
  if (!whole.is_object()) whole = wire::Json::object();
  const auto teams =
      entries(wire::kConfigBudget, whole.value("teams", wire::Json::object()), document ? document->revision : 0);
  whole.erase("teams");
  wire::Budgets b;
  auto problem = wire::apply_budgets(whole, b);
  for (auto it = teams.begin(); it != teams.end() && !problem; ++it)
    problem = wire::apply_budgets({{"teams", {{it->first, it->second}}}}, b);
  if (problem)
    port_.log(LogLevel::Error, "budgets_unreadable", {{"why", *problem}});
  else
    budgets_ = std::move(b);
}

void Operators::read_orders() {
  const auto *document = configuration_.find(kOrdersKey);
  orders_.clear();
  for (const auto &[machine, order] :
       entries(wire::kConfigMachine, document ? document->value : wire::Json(), document ? document->revision : 0))
    if (const auto read = wire::machine_order_from_json(order)) orders_[machine] = *read;
  events_.publish(OrdersChanged{});
}

std::optional<wire::MachineOrder> Operators::order(const std::string &machine) const {
  auto it = orders_.find(machine);
  return it == orders_.end() ? std::nullopt : std::optional(it->second);
}

} // namespace loft::core
