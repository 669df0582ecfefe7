// What the parts of the administration API share: bodies are indented JSON, so that an operator can read them as they
// come.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "loftrouter/wire/cbor.hpp"
#include "loftrouter/wire/field_error.hpp"

namespace loftrouter::wire {

// The body of an answer. Text that is not UTF-8 is replaced rather than thrown for.
[[nodiscard]] std::string dump_admin_json(const Json &json);

// An age in seconds, to one place; null for a negative one, "never".
[[nodiscard]] Json age_json(double age_s);

// Null for an empty text.
[[nodiscard]] Json text_or_null(std::string_view text);

// Whether a text can name a team, job class or machine: 1 to 64 letters, digits, '-', '_' and '.'. Only such texts
// are repeated in errors.
[[nodiscard]] bool valid_name(std::string_view name);

// The error for a field that isn't known.
[[nodiscard]] FieldError no_such_setting(std::string_view name);

// A number from `min` to `max`.
[[nodiscard]] std::optional<double> read_number(const Json &json, double min, double max);

} // namespace loftrouter::wire
