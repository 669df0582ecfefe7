// Log lines: one event, one line. The event's name and its fields stay apart until they are written, so that a line
// can be read by people (key=value) or by programs (JSON).
#pragma once

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace loftrouter::core {

enum class LogLevel : std::uint8_t { Error, Info, Debug };

struct LogField {
  std::string key, value;
  bool number = false; // written without quotes
  LogField(std::string_view k, std::string_view v) : key(k), value(v) {}
  LogField(std::string_view k, const char *v) : key(k), value(v) {}
  LogField(std::string_view k, const std::string &v) : key(k), value(v) {}
  LogField(std::string_view k, double v); // one digit after the point
  LogField(std::string_view k, bool v) : key(k), value(v ? "true" : "false"), number(true) {}
  template <std::integral T> LogField(std::string_view k, T v) : key(k), value(std::to_string(v)), number(true) {}
};

struct LogLine {
  LogLevel level;
  std::string event; // lower case, words joined by _
  std::vector<LogField> fields;
};

// event key=value key="with spaces"; no line breaks or control characters, whatever a field holds.
std::string log_text(const LogLine &line);
// "event":"...","key":value - the members of a JSON object without its braces, valid UTF-8.
std::string log_json(const LogLine &line);

} // namespace loftrouter::core
