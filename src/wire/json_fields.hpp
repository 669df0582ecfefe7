// Checked reading of single JSON values and of the required fields of a map.
//
// Everything here takes input from other programs: a value of the wrong kind or beyond its bound is reported, never
// thrown, so that no message can end the process.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "loftrouter/wire/cbor.hpp"
#include "protocol_names.hpp"

namespace loftrouter::wire {

inline constexpr std::size_t kMaxTextBytes = 200; // of a name, unless a field says otherwise
inline constexpr double kMaxAmount = 1e9;         // of an amount, unless a field says otherwise
inline constexpr double kMaxWallTimeS = 1e12;     // seconds since 1970

// The value of a field; null if `json` is no map or has no such field.
[[nodiscard]] const Json &member(const Json &json, const char *name);

// Text that is neither empty nor longer than `max_bytes`.
[[nodiscard]] std::optional<std::string> read_text(const Json &json, std::size_t max_bytes = kMaxTextBytes);

// A finite number from 0 to `max`.
[[nodiscard]] std::optional<double> read_amount(const Json &json, double max = kMaxAmount);

// A whole number from 0 to 2^64 - 1.
[[nodiscard]] std::optional<std::uint64_t> read_count(const Json &json);

// Any text, or empty if it is none.
[[nodiscard]] std::string read_text_or_empty(const Json &json);

// True only for the boolean true: a field that is missing or of another kind is false.
[[nodiscard]] bool read_flag(const Json &json);

template <class Enum, std::size_t Count>
[[nodiscard]] std::optional<Enum> read_spelling(const Json &json, const EnumSpellings<Enum, Count> &spellings) {
  if (!json.is_string()) return std::nullopt;
  return spellings.find(json.get_ref<const std::string &>());
}

// Reads required fields of one map into variables and remembers the first that was missing or invalid. A variable
// whose field is refused keeps its value.
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

  // The value of an optional field, or nothing if it is missing or null.
  [[nodiscard]] const Json *optional(const char *name) const;
  // Reports a field as invalid that the caller has checked itself.
  void refuse(const char *name) {
    if (!refused_) refused_ = name;
  }
  // The first field that was missing or invalid; null: all were read.
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
