// Structured log lines, written as key=value text or as JSON. Values are escaped, so that a field cannot break or forge
// a line.
#pragma once

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace loftrouter::core {

enum class LogLevel : std::uint8_t { Error, Info, Debug };

struct LogField {
  std::string key;
  std::string value;
  bool number = false; // written without quotes

  LogField(std::string_view name, std::string_view text) : key(name), value(text) {}
  LogField(std::string_view name, const char *text) : key(name), value(text) {}
  LogField(std::string_view name, const std::string &text) : key(name), value(text) {}
  LogField(std::string_view name, double amount); // with one decimal
  LogField(std::string_view name, bool flag) : key(name), value(flag ? "true" : "false"), number(true) {}
  template <std::integral Integer>
  LogField(std::string_view name, Integer amount) : key(name), value(std::to_string(amount)), number(true) {}
};

struct LogLine {
  LogLevel level;
  std::string event; // snake case, a noun and a past participle: `machine_lost`
  std::vector<LogField> fields;
};

// Formats the line as `event key=value key="with spaces"`, without line breaks or control characters.
[[nodiscard]] std::string log_text(const LogLine &line);

// Formats the line as the members of a JSON object, without braces: `"event":"...","key":value`. Valid UTF-8.
[[nodiscard]] std::string log_json(const LogLine &line);

} // namespace loftrouter::core
