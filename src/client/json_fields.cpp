#include "loftrouter/client/json_fields.hpp"

#include <fmt/format.h>

namespace loftrouter::client {

using nlohmann::json;

std::string field_text(const json &object, const char *name) {
  if (!object.is_object()) return "";
  const auto field = object.find(name);
  if (field == object.end() || field->is_null()) return "";
  if (field->is_string()) return field->get<std::string>();
  if (field->is_boolean()) return field->get<bool>() ? "yes" : "no";
  if (field->is_number_float()) return fmt::format("{:.3f}", field->get<double>());
  return field->dump();
}

const json &field_list(const json &object, const char *name) {
  static const json kEmptyList = json::array();
  if (!object.is_object()) return kEmptyList;
  const auto field = object.find(name);
  return field != object.end() && field->is_array() ? *field : kEmptyList;
}

json field_object(const json &object, const char *name) {
  return object.is_object() ? object.value(name, json::object()) : json::object();
}

std::string cpu_hours_text(const json &object, const char *kind) {
  return object.is_object() && object.contains("cpu_hours") ? field_text(object["cpu_hours"], kind) : "";
}

} // namespace loftrouter::client
