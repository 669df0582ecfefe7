#include "loftrouter/core/runtime/log.hpp"

#include <algorithm>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace loftrouter::core {

LogField::LogField(std::string_view name, double amount)
    : key(name), value(fmt::format("{:.1f}", amount)), number(true) {}

namespace {
bool control_character(unsigned char character) {
  return character < ' ' || character == 0x7f;
}

// Returns whether the value needs no quotes in a text line.
bool needs_no_quotes(const std::string &value) {
  const auto plain_character = [](unsigned char character) {
    return character > ' ' && character < 0x7f && character != '"' && character != '=' && character != '\\';
  };
  return !value.empty() && std::all_of(value.begin(), value.end(), plain_character);
}

std::string quoted(const std::string &value) {
  std::string out = "\"";
  for (const unsigned char character : value) {
    if (control_character(character)) {
      out += fmt::format("\\x{:02x}", character);
      continue;
    }
    if (character == '"' || character == '\\') out += '\\';
    out += static_cast<char>(character);
  }
  return out + '"';
}

nlohmann::ordered_json json_value(const LogField &field) {
  if (!field.number) return field.value;
  auto number = nlohmann::ordered_json::parse(field.value, nullptr, false);
  return number.is_discarded() ? nlohmann::ordered_json(field.value) : number; // inf and nan are not JSON numbers
}
} // namespace

std::string log_text(const LogLine &line) {
  std::string out = line.event;
  for (const LogField &field : line.fields) {
    const bool unquoted = field.number || needs_no_quotes(field.value);
    out += ' ' + field.key + '=' + (unquoted ? field.value : quoted(field.value));
  }
  return out;
}

std::string log_json(const LogLine &line) {
  nlohmann::ordered_json members{{"event", line.event}};
  for (const LogField &field : line.fields)
    members[field.key] = json_value(field);
  const std::string object = members.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
  return object.substr(1, object.size() - 2);
}

} // namespace loftrouter::core
