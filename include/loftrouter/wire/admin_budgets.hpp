// Defines team budgets per accounting period, as used by administration requests and the state service.
//
// All functions are pure.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "loftrouter/accounts/period.hpp"
#include "loftrouter/accounts/usage.hpp"
#include "loftrouter/wire/cbor.hpp"
#include "loftrouter/wire/field_error.hpp"

namespace loftrouter::wire {

// TeamBudget limits what a team may use in an accounting period.
struct TeamBudget {
  double cpu_hours = -1;   // negative: no budget
  double warn_share = 0.8; // share of cpu_hours from which the status shows a warning
  bool stop = false;       // checkpoint and stop running tasks once the budget is spent; otherwise let them finish
  // Returns cpu_hours in the unit of accounts::Sums.
  [[nodiscard]] std::int64_t limit() const { return static_cast<std::int64_t>(cpu_hours * accounts::kSumsPerHour); }
};

// Budgets are the accounting schedule and the budget of each team that has one.
struct Budgets {
  accounts::PeriodSchedule clock;
  std::map<std::string, TeamBudget> teams;
};

[[nodiscard]] Json to_json(const Budgets &budgets);
// Overwrites the fields of `budgets` that `json` contains: the schedule, and each team listed (null removes its
// budget). The error names the invalid field; fields before it may already have been overwritten.
[[nodiscard]] std::optional<FieldError> apply_budgets(const Json &json, Budgets &budgets);

// Encodes the response of GET /admin/v1/budgets.
[[nodiscard]] std::string encode_budgets(const Budgets &budgets);

} // namespace loftrouter::wire
