// CBOR bodies: nlohmann's decoder behind a SAX handler that stops early on anything hostile.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace loftrouter::wire {

using Json = nlohmann::json;

struct DecodeLimits {
  std::size_t depth = 16;
  std::size_t items = 200'000;
};

// Nothing on: truncated or trailing input, nesting too deep, duplicate or non-text keys, byte
// strings, tags, NaN or infinity, text that is not UTF-8.
std::optional<Json> decode(std::string_view bytes, DecodeLimits limits = {});
std::string encode(const Json &value);
bool valid_utf8(std::string_view text);

} // namespace loftrouter::wire
