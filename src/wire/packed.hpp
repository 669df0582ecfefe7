// What frames between controllers are packed with: little-endian numbers, short text, bytes. Reading checks every
// length; what does not decode leaves `ok` false.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace loftrouter::wire::packed {

template <class T> inline void put(std::string &out, T v) {
  for (std::size_t i = 0; i < sizeof v; ++i)
    out.push_back(static_cast<char>(v >> (8 * i)));
}

struct Reader {
  std::string_view in;
  bool ok = true;
  template <class T> T get() {
    T v = 0;
    if (in.size() < sizeof v) {
      ok = false;
      return 0;
    }
    for (std::size_t i = 0; i < sizeof v; ++i)
      v = static_cast<T>(v | static_cast<T>(static_cast<T>(static_cast<unsigned char>(in[i])) << (8 * i)));
    in.remove_prefix(sizeof v);
    return v;
  }
  // Short text: its length, then its bytes.
  bool text(std::string &to) {
    auto n = get<std::uint8_t>();
    if (!ok || in.size() < n) return ok = false;
    to = in.substr(0, n);
    in.remove_prefix(n);
    return true;
  }
};

inline void put_text(std::string &out, std::string_view text) {
  text = text.substr(0, 255);
  put(out, static_cast<std::uint8_t>(text.size()));
  out += text;
}

// Bytes, as they are; the last in their frame.
inline void put_body(std::string &out, std::string_view body) {
  put(out, static_cast<std::uint32_t>(body.size()));
  out += body;
}
inline bool get_body(Reader &reader, std::string &to) {
  const auto n = reader.get<std::uint32_t>();
  if (!reader.ok || n != reader.in.size()) return reader.ok = false;
  to = reader.in;
  reader.in = {};
  return true;
}

} // namespace loftrouter::wire::packed
