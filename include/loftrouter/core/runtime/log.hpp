// Log lines: one event, one line. The event's name and its fields stay apart until they are written, so that a line
// can be read by people (key=value) or by programs (JSON). Whatever a field holds, it cannot break or forge a line.
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
  LogField(std::string_view name, double amount); // one digit after the point
  LogField(std::string_view name, bool truth) : key(name), value(truth ? "true" : "false"), number(true) {}
  template <std::integral Integer>
  LogField(std::string_view name, Integer amount) : key(name), value(std::to_string(amount)), number(true) {}
};

struct LogLine {
  LogLevel level;
  std::string event; // a noun, then a verb in the past: lower case, words joined by _
  std::vector<LogField> fields;
};

// The line as `event key=value key="with spaces"`, without line breaks or control characters.
[[nodiscard]] std::string log_text(const LogLine &line);

// The line as the members of a JSON object without its braces: `"event":"...","key":value`. Valid UTF-8.
[[nodiscard]] std::string log_json(const LogLine &line);

} // namespace loftrouter::core
