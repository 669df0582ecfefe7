#include "loftrouter/core/operators.hpp"

namespace loft::core {

namespace {
constexpr double kEvery = 5.0, kDeadline = 2.0; // s
} // namespace

void Operators::tick() {
  if (loading_ || port_.now() < next_) return;
  next_ = port_.now() + kEvery;
  loading_ = true;
  port_.store(StoreList{"conf/", ""}, kDeadline, [this](const wire::StoreReply &r) {
    loading_ = false;
    if (r.status == 200) take(r.entries);
  });
}

void Operators::take(const std::vector<wire::Entry> &entries) {
  for (const auto &e : entries) {
    if (e.key == kTunablesKey) {
      wire::Tunables t;
      if (auto problem = wire::apply_tunables(e.value, t))
        port_.log(LogLevel::Error, "operators_settings_unreadable", {{"why", *problem}});
      else
        tunables_ = t;
    } else if (e.key == kBudgetsKey) {
      wire::Budgets b;
      if (auto problem = wire::apply_budgets(e.value, b))
        port_.log(LogLevel::Error, "budgets_unreadable", {{"why", *problem}});
      else
        budgets_ = std::move(b);
    } else if (e.key == kCellsKey) {
      wire::CellRules r;
      if (auto problem = wire::apply_cell_rules(e.value, r))
        port_.log(LogLevel::Error, "cell_rules_unreadable", {{"why", *problem}});
      else
        cell_rules_ = std::move(r);
    } else if (e.key == kOrdersKey) {
      orders_ = wire::machine_orders_from_json(e.value);
    }
  }
  events_.publish(OrdersChanged{});
}

std::optional<wire::MachineOrder> Operators::order(const std::string &machine) const {
  auto it = orders_.find(machine);
  return it == orders_.end() ? std::nullopt : std::optional(it->second);
}

} // namespace loft::core
