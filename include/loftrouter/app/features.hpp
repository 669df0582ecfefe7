// What is switched on beyond the platform's settings: a TOML file of our own, checked in full.
#pragma once

#include <string>
#include <variant>

namespace loft::app {

struct Features {
  bool accounts = false; // what teams use is kept, and their budgets are held
};
// Or what is wrong, with line and column. Unknown tables and keys are refused.
std::variant<Features, std::string> parse_features(const std::string &text);
std::variant<Features, std::string> load_features(const std::string &path);

} // namespace loft::app
