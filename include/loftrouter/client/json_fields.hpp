// Fields of the administration API's answers, read leniently: what is missing is empty.
#pragma once

#include <string>

#include <nlohmann/json.hpp>

namespace loftrouter::client {

// A field as it is shown: yes or no for booleans, three decimals for fractions; empty if it is missing or null.
std::string field_text(const nlohmann::json &object, const char *name);
// A field that is a list; an empty list if it is missing.
const nlohmann::json &field_list(const nlohmann::json &object, const char *name);
// A field that is an object; an empty object if it is missing.
nlohmann::json field_object(const nlohmann::json &object, const char *name);
// Of `cpu_hours`, the part of this kind.
std::string cpu_hours_text(const nlohmann::json &object, const char *kind);

} // namespace loftrouter::client
