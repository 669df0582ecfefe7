#include "loftrouter/wire/cbor.hpp"

#include <algorithm>
#include <cmath>
#include <vector>

#include "cbor_structure.hpp"

namespace loftrouter::wire {

namespace {

// Describes the UTF-8 sequences whose first byte is in a given range. The bounds of the second byte exclude overlong
// forms, surrogates and code points beyond U+10FFFF.
struct Utf8Sequence {
  unsigned char first_min;
  unsigned char first_max;
  unsigned char length;
  unsigned char second_min;
  unsigned char second_max;
};
constexpr unsigned char kContinuationMin = 0x80;
constexpr unsigned char kContinuationMax = 0xBF;
constexpr Utf8Sequence kUtf8Sequences[] = {
    {0x00, 0x7F, 1, 0, 0},
    {0xC2, 0xDF, 2, kContinuationMin, kContinuationMax},
    {0xE0, 0xE0, 3, 0xA0, kContinuationMax}, // excludes overlong forms
    {0xE1, 0xEC, 3, kContinuationMin, kContinuationMax},
    {0xED, 0xED, 3, kContinuationMin, 0x9F}, // excludes surrogates
    {0xEE, 0xEF, 3, kContinuationMin, kContinuationMax},
    {0xF0, 0xF0, 4, 0x90, kContinuationMax}, // excludes overlong forms
    {0xF1, 0xF3, 4, kContinuationMin, kContinuationMax},
    {0xF4, 0xF4, 4, kContinuationMin, 0x8F}, // excludes code points beyond U+10FFFF
};

bool within(char byte, unsigned char min, unsigned char max) {
  const auto value = static_cast<unsigned char>(byte);
  return value >= min && value <= max;
}

// Returns the length of the sequence at the front of `text`, which must not be empty, or 0 if it is malformed.
std::size_t utf8_sequence_length(std::string_view text) {
  for (const auto &sequence : kUtf8Sequences) {
    if (!within(text[0], sequence.first_min, sequence.first_max)) continue;
    if (text.size() < sequence.length) return 0;
    if (sequence.length > 1 && !within(text[1], sequence.second_min, sequence.second_max)) return 0;
    for (std::size_t i = 2; i < sequence.length; ++i)
      if (!within(text[i], kContinuationMin, kContinuationMax)) return 0;
    return sequence.length;
  }
  return 0;
}

// Builds a JSON tree from parser events. A callback that returns false aborts the parse.
class TreeBuilder final : public nlohmann::json_sax<Json> {
public:
  explicit TreeBuilder(Json &root) : root_(root) {}

  bool null() override { return add_value(nullptr); }
  bool boolean(bool value) override { return add_value(value); }
  bool number_integer(number_integer_t value) override { return add_value(value); }
  bool number_unsigned(number_unsigned_t value) override { return add_value(value); }
  bool number_float(number_float_t value, const string_t &) override {
    return std::isfinite(value) && add_value(value);
  }
  bool string(string_t &value) override { return valid_utf8(value) && add_value(std::move(value)); }
  bool binary(binary_t &) override { return false; }
  bool start_object(std::size_t) override { return open_container(Json::object()); }
  bool start_array(std::size_t) override { return open_container(Json::array()); }
  bool end_object() override { return close_container(); }
  bool end_array() override { return close_container(); }
  bool key(string_t &name) override {
    if (!valid_utf8(name) || open_containers_.back()->contains(name)) return false;
    next_key_ = std::move(name);
    return true;
  }
  bool parse_error(std::size_t, const std::string &, const nlohmann::detail::exception &) override { return false; }

private:
  template <class Value> bool add_value(Value &&value) {
    add(Json(std::forward<Value>(value)));
    return true;
  }

  // Returns the value's place in the tree.
  Json *add(Json &&value) {
    if (open_containers_.empty()) {
      root_ = std::move(value);
      return &root_;
    }
    Json &parent = *open_containers_.back();
    if (parent.is_array()) {
      parent.push_back(std::move(value));
      return &parent.back();
    }
    Json &member = parent[next_key_];
    member = std::move(value);
    return &member;
  }

  bool open_container(Json &&empty) {
    open_containers_.push_back(add(std::move(empty)));
    return true;
  }

  bool close_container() {
    open_containers_.pop_back();
    return true;
  }

  Json &root_;
  std::vector<Json *> open_containers_; // unfinished maps and arrays, innermost last
  std::string next_key_;                // key of the next value of the innermost map
};

} // namespace

bool valid_utf8(std::string_view text) {
  const auto ascii = [](char character) { return static_cast<unsigned char>(character) < kContinuationMin; };
  for (;;) {
    const auto *const other = std::find_if_not(text.begin(), text.end(), ascii);
    text.remove_prefix(static_cast<std::size_t>(other - text.begin()));
    if (text.empty()) return true;
    const std::size_t length = utf8_sequence_length(text);
    if (length == 0) return false;
    text.remove_prefix(length);
  }
}

std::optional<Json> decode(std::string_view bytes, DecodeLimits limits) {
  Json root;
  TreeBuilder builder(root);
  if (!parse_cbor(bytes, limits, builder)) return std::nullopt;
  return root;
}

std::string encode(const Json &value) {
  std::string out;
  Json::to_cbor(value, out);
  return out;
}

} // namespace loftrouter::wire
