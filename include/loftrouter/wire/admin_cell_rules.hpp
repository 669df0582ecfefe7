// Operators' rules of delegation between cells, as administration requests and the state service hold them.
//
// All functions are pure.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "loftrouter/wire/cbor.hpp"
#include "loftrouter/wire/field_error.hpp"

namespace loftrouter::wire {

// What may be delegated from this cell, and what is accepted from others.
struct CellRules {
  bool delegate = true;
  bool accept = true;
  double max_accepted_cpus = 1e6;
  std::vector<std::string> stay_teams;   // teams whose work is never delegated, however long the queue
  std::vector<std::string> stay_classes; // job classes of which the same holds
};

[[nodiscard]] Json to_json(const CellRules &rules);
// What `json` names replaces fields of `rules`; the rest stays. On an error, which names the field, fields before it
// may have been replaced.
[[nodiscard]] std::optional<FieldError> apply_cell_rules(const Json &json, CellRules &rules);

// The answer of GET /admin/v1/cells.
[[nodiscard]] std::string encode_cell_rules(const CellRules &rules);

} // namespace loftrouter::wire
