// Defines the operators' delegation rules, as used by administration requests and the state service.
//
// All functions are pure.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "loftrouter/wire/cbor.hpp"
#include "loftrouter/wire/field_error.hpp"

namespace loftrouter::wire {

// CellRules restrict the delegation of jobs to other cells and the acceptance of theirs.
struct CellRules {
  bool delegate = true;
  bool accept = true;
  double max_accepted_cpus = 1e6;
  std::vector<std::string> stay_teams;   // their jobs are never delegated
  std::vector<std::string> stay_classes; // jobs of these classes are never delegated
};

[[nodiscard]] Json to_json(const CellRules &rules);
// Overwrites the fields of `rules` that `json` contains. The error names the invalid field; fields before it may
// already have been overwritten.
[[nodiscard]] std::optional<FieldError> apply_cell_rules(const Json &json, CellRules &rules);

// Encodes the response of GET /admin/v1/cells.
[[nodiscard]] std::string encode_cell_rules(const CellRules &rules);

} // namespace loftrouter::wire
