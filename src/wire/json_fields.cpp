#include "json_fields.hpp"

#include <cmath>

namespace loftrouter::wire {

const Json &member(const Json &json, const char *name) {
  static const Json kNull;
  if (!json.is_object()) return kNull;
  const auto found = json.find(name);
  return found == json.end() ? kNull : *found;
}

std::optional<std::string> read_text(const Json &json, std::size_t max_bytes) {
  if (!json.is_string()) return std::nullopt;
  const auto &text = json.get_ref<const std::string &>();
  if (text.empty() || text.size() > max_bytes) return std::nullopt;
  return text;
}

std::optional<double> read_amount(const Json &json, double max) {
  if (!json.is_number()) return std::nullopt;
  const double value = json.get<double>();
  if (!std::isfinite(value) || value < 0 || value > max) return std::nullopt;
  return value;
}

std::optional<std::uint64_t> read_count(const Json &json) {
  if (json.is_number_unsigned()) return json.get<std::uint64_t>();
  if (!json.is_number_integer()) return std::nullopt;
  const auto value = json.get<std::int64_t>();
  if (value < 0) return std::nullopt;
  return static_cast<std::uint64_t>(value);
}

std::string read_text_or_empty(const Json &json) {
  return json.is_string() ? json.get<std::string>() : std::string();
}

bool read_flag(const Json &json) {
  return json.is_boolean() && json.get<bool>();
}

void FieldReader::text(const char *name, std::string &out) {
  store(name, read_text(member(json_, name)), out);
}

void FieldReader::amount(const char *name, double &out) {
  store(name, read_amount(member(json_, name)), out);
}

void FieldReader::flag(const char *name, bool &out) {
  const Json &value = member(json_, name);
  store(name, value.is_boolean() ? std::optional(value.get<bool>()) : std::nullopt, out);
}

const Json *FieldReader::optional(const char *name) const {
  const Json &value = member(json_, name);
  return value.is_null() ? nullptr : &value;
}

} // namespace loftrouter::wire
