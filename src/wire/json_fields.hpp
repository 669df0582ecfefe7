// Reads and validates JSON values and map fields from untrusted input.
//
// A value of the wrong type or out of range is reported by the return value, never by an exception.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "loftrouter/wire/cbor.hpp"
#include "protocol_names.hpp"

namespace loftrouter::wire {

inline constexpr std::size_t kMaxTextBytes = 200; // default limit of a text field
inline constexpr double kMaxAmount = 1e9;         // default limit of an amount
inline constexpr double kMaxWallTimeS = 1e12;     // since the Unix epoch

// Returns the value of a field, or a JSON null if `json` is not a map or lacks the field.
[[nodiscard]] const Json &member(const Json &json, const char *name);

// Returns a string of 1 to `max_bytes` bytes; otherwise nullopt.
[[nodiscard]] std::optional<std::string> read_text(const Json &json, std::size_t max_bytes = kMaxTextBytes);

// Returns a finite number from 0 to `max`; otherwise nullopt.
[[nodiscard]] std::optional<double> read_amount(const Json &json, double max = kMaxAmount);

// Returns an integer from 0 to 2^64 - 1; otherwise nullopt.
[[nodiscard]] std::optional<std::uint64_t> read_count(const Json &json);

// Returns a string of any length, or an empty one if `json` is not a string.
[[nodiscard]] std::string read_text_or_empty(const Json &json);

// Returns true only for the boolean true; missing fields and other types count as false.
[[nodiscard]] bool read_flag(const Json &json);

// Returns the enum value with this spelling; otherwise nullopt.
template <class Enum, std::size_t Count>
[[nodiscard]] std::optional<Enum> read_spelling(const Json &json, const EnumSpellings<Enum, Count> &spellings) {
  if (!json.is_string()) return std::nullopt;
  return spellings.find(json.get_ref<const std::string &>());
}

// Reads required fields of a map and records the first one that is missing or invalid. The output variable of such a
// field is left unchanged. `json` must outlive the reader.
class FieldReader {
public:
  explicit FieldReader(const Json &json) : json_(json) {}

  void text(const char *name, std::string &out);
  void amount(const char *name, double &out);
  void flag(const char *name, bool &out);
  template <class Enum, std::size_t Count>
  void spelled(const char *name, const EnumSpellings<Enum, Count> &spellings, Enum &out) {
    store(name, read_spelling(member(json_, name), spellings), out);
  }

  // Returns the value of an optional field, or nullptr if it is missing or null.
  [[nodiscard]] const Json *optional(const char *name) const;
  // Records a field that the caller found to be invalid.
  void refuse(const char *name) {
    if (!refused_) refused_ = name;
  }
  // Returns the first missing or invalid field, or nullptr if there is none.
  [[nodiscard]] const char *refused() const { return refused_; }

private:
  template <class Value> void store(const char *name, std::optional<Value> &&value, Value &out) {
    if (value)
      out = std::move(*value);
    else
      refuse(name);
  }

  const Json &json_;
  const char *refused_ = nullptr;
};

} // namespace loftrouter::wire
