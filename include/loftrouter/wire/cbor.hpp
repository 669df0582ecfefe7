// CBOR bodies of messages to and from other components.
//
// All functions are pure. `decode` takes input from anybody: the parser's recursion and memory are bounded, so that no
// message can end the process.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace loftrouter::wire {

using Json = nlohmann::json;

struct DecodeLimits {
  std::size_t depth = 16;      // of nested maps and lists
  std::size_t items = 200'000; // values in all
};

// Nothing on: truncated or trailing input, nesting too deep, too many items, duplicate or non-text keys, byte strings,
// tags, NaN or infinity, text that is not UTF-8.
[[nodiscard]] std::optional<Json> decode(std::string_view bytes, DecodeLimits limits = {});

[[nodiscard]] std::string encode(const Json &value);

// Whether a text is well-formed UTF-8: no overlong forms, surrogates or code points beyond U+10FFFF.
[[nodiscard]] bool valid_utf8(std::string_view text);

} // namespace loftrouter::wire
