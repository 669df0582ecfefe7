#include "admin_json.hpp"

#include <algorithm>
#include <cmath>

#include <fmt/format.h>

namespace loftrouter::wire {

namespace {

constexpr std::size_t kMaxNameBytes = 64;

bool is_name_character(char character) {
  return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') ||
         (character >= '0' && character <= '9') || character == '-' || character == '_' || character == '.';
}

} // namespace

std::string dump_admin_json(const Json &json) {
  constexpr int indent = 2;
  return json.dump(indent, ' ', false, Json::error_handler_t::replace) + "\n";
}

Json age_json(double age_s) {
  return age_s < 0 ? Json() : Json(std::round(age_s * 10) / 10);
}

Json text_or_null(std::string_view text) {
  return text.empty() ? Json() : Json(text);
}

bool valid_name(std::string_view name) {
  return !name.empty() && name.size() <= kMaxNameBytes && std::all_of(name.begin(), name.end(), is_name_character);
}

FieldError no_such_setting(std::string_view name) {
  return {fmt::format("{}: no such setting", valid_name(name) ? name : "a field")};
}

std::optional<double> read_number(const Json &json, double min, double max) {
  if (!json.is_number()) return std::nullopt;
  const double value = json.get<double>();
  if (!(value >= min && value <= max)) return std::nullopt; // also rejects NaN
  return value;
}

} // namespace loftrouter::wire
