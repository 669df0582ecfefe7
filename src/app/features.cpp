#include "loftrouter/app/features.hpp"

#include <fstream>
#include <sstream>

#include <fmt/format.h>
#include <toml++/toml.h>

namespace loft::app {

namespace {
std::string at(const toml::source_region &where, std::string_view what) {
  return fmt::format("line {}, column {}: {}", where.begin.line, where.begin.column, what);
}
} // namespace

std::variant<Features, std::string> parse_features(const std::string &text) {
  Features out;
  try {
    const toml::table file = toml::parse(text);
    for (const auto &[name, node] : file) {
      if (name.str() != "accounts") return at(name.source(), fmt::format("{}: no such part", name.str()));
      const auto *part = node.as_table();
      if (!part) return at(node.source(), fmt::format("{}: must be a table", name.str()));
      for (const auto &[key, value] : *part) {
        if (key.str() != "enabled") return at(key.source(), fmt::format("{}.{}: no such key", name.str(), key.str()));
        if (!value.is_boolean()) return at(value.source(), "accounts.enabled: true or false is wanted");
        out.accounts = value.as_boolean()->get();
      }
    }
  } catch (const toml::parse_error &e) {
    return at(e.source(), e.description());
  }
  return out;
}

std::variant<Features, std::string> load_features(const std::string &path) {
  std::ifstream file(path);
  std::stringstream text;
  if (!file || !(text << file.rdbuf())) return path + ": cannot be read";
  auto out = parse_features(text.str());
  if (auto *problem = std::get_if<std::string>(&out)) *problem = path + ", " + *problem;
  return out;
}

} // namespace loft::app
