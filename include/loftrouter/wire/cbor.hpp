// Encodes and decodes CBOR message bodies.
//
// All functions are pure. `decode` accepts untrusted input: nesting, item count and declared lengths are checked before
// anything is decoded, so that no message can exhaust the stack or memory.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace loftrouter::wire {

using Json = nlohmann::json;

inline constexpr std::size_t kMaxDecodeDepth = 64; // limits on depth beyond this count as this

struct DecodeLimits {
  std::size_t depth = 16;      // nested maps and arrays; also of nested texts of indefinite length
  std::size_t items = 200'000; // maps, arrays and scalars in total
};

// Decodes one CBOR value. Returns nullopt for truncated or trailing input, exceeded limits, duplicate or non-text keys,
// byte strings, tags, NaN, infinity and text that is not UTF-8.
[[nodiscard]] std::optional<Json> decode(std::string_view bytes, DecodeLimits limits = {});

[[nodiscard]] std::string encode(const Json &value);

// Returns whether `text` is well-formed UTF-8, without overlong forms, surrogates or code points beyond U+10FFFF.
[[nodiscard]] bool valid_utf8(std::string_view text);

} // namespace loftrouter::wire
