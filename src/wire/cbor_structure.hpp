// Bounds the structure of a CBOR item before it is decoded: nesting, item count and declared lengths.
//
// The decoder library recurses into containers and into texts in several pieces, for the latter without any callback.
// The scan keeps a bounded stack of its own, so the library meets only input whose nesting is known to be limited.
// The scan may accept input that the library rejects (keys that are not text, say), but within the limits it rejects
// nothing that the library would accept, other than byte strings.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <string_view>

#include "loftrouter/wire/cbor.hpp"

namespace loftrouter::wire {

// The heads of CBOR items (RFC 8949, section 3): an initial byte of type and additional information, and up to eight
// bytes of an argument.
namespace cbor_head {

enum class Type : std::uint8_t { Unsigned, Negative, Bytes, Text, Array, Map, Tag, Simple };

inline constexpr unsigned kInfoBits = 5;
inline constexpr unsigned kFirstSizedInfo = 24; // 24 to 27: an argument of 1, 2, 4 or 8 bytes follows
inline constexpr unsigned kLastSizedInfo = 27;
inline constexpr unsigned kIndefiniteInfo = 31;
inline constexpr unsigned kFalse = 20;
inline constexpr unsigned kNull = 22;
inline constexpr unsigned kHalfFloat = 25;
inline constexpr unsigned kBreak = 0xFF;

constexpr Type type(unsigned initial_byte) {
  return static_cast<Type>(initial_byte >> kInfoBits);
}

constexpr unsigned info(unsigned initial_byte) {
  return initial_byte & ((1U << kInfoBits) - 1);
}

constexpr bool sized(unsigned info) {
  return info >= kFirstSizedInfo && info <= kLastSizedInfo;
}

// Returns the size of the argument that follows the initial byte.
constexpr std::size_t argument_bytes(unsigned info) {
  return sized(info) ? std::size_t{1} << (info - kFirstSizedInfo) : 0;
}

// Returns the size of a scalar, with its head, if the initial byte says it; otherwise 0.
constexpr std::size_t scalar_bytes(unsigned initial_byte) {
  const unsigned additional = info(initial_byte);
  switch (type(initial_byte)) {
  case Type::Unsigned:
  case Type::Negative:
    return additional <= kLastSizedInfo ? 1 + argument_bytes(additional) : 0;
  case Type::Text:
    return additional < kFirstSizedInfo ? 1 + additional : 0;
  case Type::Simple:
    if (additional >= kFalse && additional <= kNull) return 1;
    return additional >= kHalfFloat && additional <= kLastSizedInfo ? 1 + argument_bytes(additional) : 0;
  default:
    return 0;
  }
}

inline constexpr auto kScalarBytes = [] {
  std::array<std::uint8_t, 256> sizes{};
  for (unsigned initial_byte = 0; initial_byte < sizes.size(); ++initial_byte)
    sizes[initial_byte] = static_cast<std::uint8_t>(scalar_bytes(initial_byte));
  return sizes;
}();

} // namespace cbor_head

// Scans one item at the front of the input. Bytes after it are not looked at.
class CborStructureScan {
public:
  CborStructureScan(std::string_view bytes, DecodeLimits limits)
      : next_(bytes.data()), end_(bytes.data() + bytes.size()), max_depth_(std::min(limits.depth, kMaxDecodeDepth)),
        items_left_(limits.items) {}

  // Returns whether the item is complete, consists of the supported types and is within the limits.
  [[nodiscard]] bool within_limits() {
    do {
      if (next_ == end_) return false;
      const unsigned initial_byte = static_cast<unsigned char>(*next_);
      const std::size_t scalar_bytes = cbor_head::kScalarBytes[initial_byte];
      const bool valid = scalar_bytes > 0 ? count_element() && skip(scalar_bytes) : scan_other(initial_byte);
      if (!valid) return false;
      while (depth_ > 0 && innermost().remaining == 0)
        --depth_;
    } while (depth_ > 0);
    return true;
  }

private:
  // The decoder takes this element count, too, for an indefinite length.
  static constexpr std::uint64_t kIndefiniteLength = std::numeric_limits<std::uint64_t>::max();

  struct Container {
    // Elements; a map has two for each entry, so the next one is a key if this is even. An indefinite length counts
    // down from a number that no input reaches.
    std::uint64_t remaining;
    bool indefinite;
    bool map;
  };

  std::size_t bytes_left() const { return static_cast<std::size_t>(end_ - next_); }
  unsigned take_byte() { return static_cast<unsigned char>(*next_++); }
  Container &innermost() { return containers_[depth_ - 1]; }

  bool skip(std::uint64_t bytes) {
    if (bytes > bytes_left()) return false;
    next_ += bytes;
    return true;
  }

  // Takes the argument that follows the initial byte: a length or an element count.
  bool take_argument(unsigned info, std::uint64_t &argument) {
    argument = info == cbor_head::kIndefiniteInfo ? kIndefiniteLength : info;
    if (!cbor_head::sized(info)) return info < cbor_head::kFirstSizedInfo || info == cbor_head::kIndefiniteInfo;
    const std::size_t size = cbor_head::argument_bytes(info);
    if (size > bytes_left()) return false;
    argument = 0;
    for (std::size_t i = 0; i < size; ++i)
      argument = argument << 8 | take_byte();
    return true;
  }

  // Scans what the table of scalars leaves out: long texts, containers and their ends, and what is not supported.
  bool scan_other(unsigned initial_byte) {
    ++next_;
    if (initial_byte == cbor_head::kBreak) return close_indefinite_container();
    const unsigned info = cbor_head::info(initial_byte);
    std::uint64_t argument = 0;
    if (!count_element() || !take_argument(info, argument)) return false;
    switch (cbor_head::type(initial_byte)) {
    case cbor_head::Type::Text:
      return info == cbor_head::kIndefiniteInfo ? skip_text_pieces() : skip(argument);
    case cbor_head::Type::Array:
      return open_container(argument, false);
    case cbor_head::Type::Map:
      return open_container(argument, true);
    default:
      return false;
    }
  }

  // Skips the pieces of a text of indefinite length. A piece may itself be such a text, as the decoder accepts that.
  bool skip_text_pieces() {
    std::size_t open_texts = 1;
    while (open_texts > 0) {
      if (next_ == end_) return false;
      const unsigned initial_byte = take_byte();
      if (initial_byte == cbor_head::kBreak) {
        --open_texts;
        continue;
      }
      if (cbor_head::type(initial_byte) != cbor_head::Type::Text) return false;
      const unsigned info = cbor_head::info(initial_byte);
      std::uint64_t length = 0;
      if (!take_argument(info, length)) return false;
      const bool valid = info == cbor_head::kIndefiniteInfo ? ++open_texts <= max_depth_ : skip(length);
      if (!valid) return false;
    }
    return true;
  }

  // Counts an element of the innermost container. Keys do not count as items.
  bool count_element() {
    if (depth_ > 0) {
      Container &container = innermost();
      const bool key = container.map && container.remaining % 2 == 0;
      --container.remaining;
      if (key) return true;
    }
    if (items_left_ == 0) return false;
    --items_left_;
    return true;
  }

  bool open_container(std::uint64_t elements, bool map) {
    if (depth_ >= max_depth_) return false;
    const bool indefinite = elements == kIndefiniteLength;
    if (indefinite)
      elements = kIndefiniteLength - 1;
    else if (elements > bytes_left()) // each element takes a byte at least
      return false;
    else if (map)
      elements *= 2;
    containers_[depth_++] = {elements, indefinite, map};
    return true;
  }

  bool close_indefinite_container() {
    if (depth_ == 0 || !innermost().indefinite) return false;
    --depth_;
    return true;
  }

  const char *next_;
  const char *const end_;
  const std::size_t max_depth_;
  std::size_t items_left_;
  std::size_t depth_ = 0;                             // open containers
  std::array<Container, kMaxDecodeDepth> containers_; // the first `depth_` are open, innermost last
};

// Decodes one CBOR value, passing its events to a handler with nlohmann's SAX interface. Returns false if the input is
// malformed or exceeds the limits, or if the handler rejected an event. All decoding of CBOR goes through here.
template <class Handler> [[nodiscard]] bool parse_cbor(std::string_view bytes, DecodeLimits limits, Handler &handler) {
  return CborStructureScan(bytes, limits).within_limits() &&
         Json::sax_parse(bytes.begin(), bytes.end(), &handler, Json::input_format_t::cbor, true);
}

} // namespace loftrouter::wire
