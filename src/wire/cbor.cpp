#include "loftrouter/wire/cbor.hpp"

#include <cmath>

namespace loftrouter::wire {

bool valid_utf8(std::string_view s) {
  std::size_t i = 0;
  auto cont = [&](std::size_t k) { return k < s.size() && (static_cast<unsigned char>(s[k]) & 0xC0) == 0x80; };
  while (i < s.size()) {
    unsigned c = static_cast<unsigned char>(s[i]);
    if (c < 0x80) {
      i += 1;
    } else if (c >= 0xC2 && c < 0xE0) {
      if (!cont(i + 1)) return false;
      i += 2;
    } else if (c >= 0xE0 && c < 0xF0) {
      if (!cont(i + 1) || !cont(i + 2)) return false;
      unsigned d = static_cast<unsigned char>(s[i + 1]);
      if ((c == 0xE0 && d < 0xA0) || (c == 0xED && d >= 0xA0)) return false; // overlong, surrogate
      i += 3;
    } else if (c >= 0xF0 && c < 0xF5) {
      if (!cont(i + 1) || !cont(i + 2) || !cont(i + 3)) return false;
      unsigned d = static_cast<unsigned char>(s[i + 1]);
      if ((c == 0xF0 && d < 0x90) || (c == 0xF4 && d >= 0x90)) return false;
      i += 4;
    } else {
      return false;
    }
  }
  return true;
}

namespace {

// Returning false ends the parse: nlohmann's CBOR reader recurses, so depth is cut here.
class BoundedDom final : public nlohmann::json_sax<Json> {
public:
  BoundedDom(Json &root, DecodeLimits limits) : root_(root), limits_(limits) {}
  bool null() override { return put(nullptr); }
  bool boolean(bool v) override { return put(v); }
  bool number_integer(number_integer_t v) override { return put(v); }
  bool number_unsigned(number_unsigned_t v) override { return put(v); }
  bool number_float(number_float_t v, const string_t &) override { return std::isfinite(v) && put(v); }
  bool string(string_t &v) override { return valid_utf8(v) && put(std::move(v)); }
  bool binary(binary_t &) override { return false; }
  bool start_object(std::size_t) override { return open(Json::object()); }
  bool start_array(std::size_t) override { return open(Json::array()); }
  bool end_object() override { return shut(); }
  bool end_array() override { return shut(); }
  bool key(string_t &v) override {
    if (!valid_utf8(v) || stack_.back()->contains(v)) return false;
    key_ = std::move(v);
    return true;
  }
  bool parse_error(std::size_t, const std::string &, const nlohmann::detail::exception &) override { return false; }

private:
  template <class T> bool put(T &&v) { return add(Json(std::forward<T>(v))) != nullptr; }
  Json *add(Json &&json) {
    if (++items_ > limits_.items) return nullptr;
    if (stack_.empty()) {
      root_ = std::move(json);
      return &root_;
    }
    Json &top = *stack_.back();
    if (top.is_array()) {
      top.push_back(std::move(json));
      return &top.back();
    }
    return &(top[key_] = std::move(json));
  }
  bool open(Json &&json) {
    if (stack_.size() >= limits_.depth) return false;
    Json *at = add(std::move(json));
    if (!at) return false;
    stack_.push_back(at);
    return true;
  }
  bool shut() {
    stack_.pop_back();
    return true;
  }

  Json &root_;
  DecodeLimits limits_;
  std::vector<Json *> stack_;
  std::string key_;
  std::size_t items_ = 0;
};

} // namespace

std::optional<Json> decode(std::string_view bytes, DecodeLimits limits) {
  Json root;
  BoundedDom dom(root, limits);
  if (!Json::sax_parse(bytes.begin(), bytes.end(), &dom, Json::input_format_t::cbor, true)) return std::nullopt;
  return root;
}

std::string encode(const Json &value) {
  std::string out;
  Json::to_cbor(value, out);
  return out;
}

} // namespace loftrouter::wire
