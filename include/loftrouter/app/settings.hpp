// The platform's settings file, checked field by field.
#pragma once

#include <string>
#include <variant>

#include "loftrouter/model/settings.hpp"

namespace loftrouter::app {

// The settings, or one line naming the field that is wrong.
std::variant<Settings, std::string> parse_settings(const std::string &text);
std::variant<Settings, std::string> load_settings(const std::string &path);

} // namespace loftrouter::app
