#include "loftrouter/wire/cbor.hpp"

#include <cmath>
#include <vector>

namespace loftrouter::wire {

namespace {

// A sequence of UTF-8 by its first byte. The bounds of the second byte rule out overlong forms, surrogates and code
// points that are too large; later bytes are plain continuations.
struct Utf8Sequence {
  unsigned char first_min;
  unsigned char first_max;
  std::size_t length;
  unsigned char second_min;
  unsigned char second_max;
};
constexpr unsigned char kContinuationMin = 0x80;
constexpr unsigned char kContinuationMax = 0xBF;
constexpr Utf8Sequence kUtf8Sequences[] = {
    {0x00, 0x7F, 1, 0, 0},
    {0xC2, 0xDF, 2, kContinuationMin, kContinuationMax},
    {0xE0, 0xE0, 3, 0xA0, kContinuationMax}, // not overlong
    {0xE1, 0xEC, 3, kContinuationMin, kContinuationMax},
    {0xED, 0xED, 3, kContinuationMin, 0x9F}, // no surrogate
    {0xEE, 0xEF, 3, kContinuationMin, kContinuationMax},
    {0xF0, 0xF0, 4, 0x90, kContinuationMax}, // not overlong
    {0xF1, 0xF3, 4, kContinuationMin, kContinuationMax},
    {0xF4, 0xF4, 4, kContinuationMin, 0x8F}, // at most U+10FFFF
};

bool within(char byte, unsigned char min, unsigned char max) {
  const auto value = static_cast<unsigned char>(byte);
  return value >= min && value <= max;
}

// The length of the sequence that a text begins with; 0: it is malformed.
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

// Builds a tree from the parser's events. Returning false ends the parse: the parser recurses, so the depth is bounded
// here.
class BoundedTreeBuilder final : public nlohmann::json_sax<Json> {
public:
  BoundedTreeBuilder(Json &root, DecodeLimits limits) : root_(root), limits_(limits) {}

  bool null() override { return put(nullptr); }
  bool boolean(bool value) override { return put(value); }
  bool number_integer(number_integer_t value) override { return put(value); }
  bool number_unsigned(number_unsigned_t value) override { return put(value); }
  bool number_float(number_float_t value, const string_t &) override { return std::isfinite(value) && put(value); }
  bool string(string_t &value) override { return valid_utf8(value) && put(std::move(value)); }
  bool binary(binary_t &) override { return false; }
  bool start_object(std::size_t) override { return open(Json::object()); }
  bool start_array(std::size_t) override { return open(Json::array()); }
  bool end_object() override { return close(); }
  bool end_array() override { return close(); }
  bool key(string_t &name) override {
    if (!valid_utf8(name) || open_.back()->contains(name)) return false;
    key_ = std::move(name);
    return true;
  }
  bool parse_error(std::size_t, const std::string &, const nlohmann::detail::exception &) override { return false; }

private:
  template <class Value> bool put(Value &&value) { return add(Json(std::forward<Value>(value))) != nullptr; }

  // Where the value stands in the tree; null: there are too many.
  Json *add(Json &&value) {
    if (++items_ > limits_.items) return nullptr;
    if (open_.empty()) {
      root_ = std::move(value);
      return &root_;
    }
    Json &parent = *open_.back();
    if (parent.is_array()) {
      parent.push_back(std::move(value));
      return &parent.back();
    }
    Json &member = parent[key_];
    member = std::move(value);
    return &member;
  }

  bool open(Json &&empty) {
    if (open_.size() >= limits_.depth) return false;
    Json *const added = add(std::move(empty));
    if (!added) return false;
    open_.push_back(added);
    return true;
  }

  bool close() {
    open_.pop_back();
    return true;
  }

  Json &root_;
  DecodeLimits limits_;
  std::vector<Json *> open_; // maps and lists that are open, the innermost last
  std::string key_;          // of the next value, in a map
  std::size_t items_ = 0;
};

} // namespace

bool valid_utf8(std::string_view text) {
  while (!text.empty()) {
    const std::size_t length = utf8_sequence_length(text);
    if (length == 0) return false;
    text.remove_prefix(length);
  }
  return true;
}

std::optional<Json> decode(std::string_view bytes, DecodeLimits limits) {
  Json root;
  BoundedTreeBuilder builder(root, limits);
  if (!Json::sax_parse(bytes.begin(), bytes.end(), &builder, Json::input_format_t::cbor, true)) return std::nullopt;
  return root;
}

std::string encode(const Json &value) {
  std::string out;
  Json::to_cbor(value, out);
  return out;
}

} // namespace loftrouter::wire
