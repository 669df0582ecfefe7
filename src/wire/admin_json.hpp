// JSON helpers of the administration API.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "loftrouter/wire/cbor.hpp"
#include "loftrouter/wire/field_error.hpp"

namespace loftrouter::wire {

// Serializes a response body, indented for reading in a terminal. Replaces invalid UTF-8 instead of throwing.
[[nodiscard]] std::string dump_admin_json(const Json &json);

// Rounds an age to 0.1 s; a negative age means "never" and becomes null.
[[nodiscard]] Json age_json(double age_s);

// Returns null for an empty text.
[[nodiscard]] Json text_or_null(std::string_view text);

// Returns whether a text is a valid name of a team, job class or machine: 1 to 64 letters, digits, '-', '_' and '.'.
// Error messages quote only valid names.
[[nodiscard]] bool valid_name(std::string_view name);

// Returns the error for an unknown field.
[[nodiscard]] FieldError no_such_setting(std::string_view name);

// Reads a number from `min` to `max`, or returns nullopt.
[[nodiscard]] std::optional<double> read_number(const Json &json, double min, double max);

} // namespace loftrouter::wire
