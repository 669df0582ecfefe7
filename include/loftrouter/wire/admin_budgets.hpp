// Budgets of teams for accounting periods, as administration requests and the state service hold them.
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

// What a team may use of the machines in a period.
struct TeamBudget {
  double cpu_hours = -1;   // negative: no budget is set
  double warn_share = 0.8; // of cpu_hours; from there on the status warns that it will run out
  bool stop = false;       // running tasks are stopped, with saving, once it is spent; otherwise they may finish
  // In the unit of accounts::Sums.
  [[nodiscard]] std::int64_t limit() const { return static_cast<std::int64_t>(cpu_hours * accounts::kSumsPerHour); }
};

struct Budgets {
  accounts::PeriodSchedule clock; // the accounting periods
  std::map<std::string, TeamBudget> teams;
};

[[nodiscard]] Json to_json(const Budgets &budgets);
// What `json` names replaces parts of `budgets`: the clock, and teams one by one (null: no budget). On an error, which
// names the field, parts before it may have been replaced.
[[nodiscard]] std::optional<FieldError> apply_budgets(const Json &json, Budgets &budgets);

// The answer of GET /admin/v1/budgets.
[[nodiscard]] std::string encode_budgets(const Budgets &budgets);

} // namespace loftrouter::wire
