// What is switched on beyond the platform's settings: a TOML file of our own, checked in full.
#pragma once

#include <string>
#include <variant>

#include "loftrouter/model/settings.hpp"

namespace loftrouter::app {

struct Features {
  bool accounts = false;      // what teams use is kept, and their budgets are held
  bool configuration = false; // it is watched, a record for each thing, and quotas change while the service runs
  CellSettings cells;         // that work as one fleet with this one
};
// Or what is wrong, with line and column. Unknown tables and keys are refused.
std::variant<Features, std::string> parse_features(const std::string &text);
std::variant<Features, std::string> load_features(const std::string &path);
// Into the settings; or what does not go with them.
std::string apply_features(const Features &features, Settings &settings);

} // namespace loftrouter::app
