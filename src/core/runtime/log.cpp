#include "loftrouter/core/runtime/log.hpp"

#include <algorithm>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace loftrouter::core {

LogField::LogField(std::string_view k, double v) : key(k), value(fmt::format("{:.1f}", v)), number(true) {}

namespace {
bool plain(const std::string &v) {
  return !v.empty() && std::all_of(v.begin(), v.end(), [](unsigned char c) {
    return c > ' ' && c < 0x7f && c != '"' && c != '=' && c != '\\';
  });
}

std::string quoted(const std::string &v) {
  std::string out = "\"";
  for (unsigned char c : v) {
    if (c == '"' || c == '\\') {
      out += '\\';
      out += static_cast<char>(c);
    } else if (c < ' ' || c == 0x7f) {
      out += fmt::format("\\x{:02x}", c);
    } else {
      out += static_cast<char>(c);
    }
  }
  return out + '"';
}
} // namespace

std::string log_text(const LogLine &line) {
  std::string out = line.event;
  for (const auto &f : line.fields)
    out += ' ' + f.key + '=' + (f.number || plain(f.value) ? f.value : quoted(f.value));
  return out;
}

std::string log_json(const LogLine &line) {
  nlohmann::ordered_json j{{"event", line.event}};
  for (const auto &f : line.fields) {
    auto number = f.number ? nlohmann::ordered_json::parse(f.value, nullptr, false) : nlohmann::ordered_json(f.value);
    j[f.key] = number.is_discarded() ? nlohmann::ordered_json(f.value) : std::move(number); // inf, nan
  }
  const std::string object = j.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
  return object.substr(1, object.size() - 2);
}

} // namespace loftrouter::core
