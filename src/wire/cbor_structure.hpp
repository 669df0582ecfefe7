// Bounds the structure of a CBOR item before it is decoded: nesting, item count and declared lengths.
//
// The decoder library recurses into containers and into texts in several pieces, for the latter without any callback.
// The scan keeps a bounded stack of its own, so the library meets only input whose nesting is known to be limited.
// The scan may accept input that the library rejects (keys that are not text, say), but within the limits it rejects
// nothing that the library would accept, other than byte strings.
#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <string_view>
#include <vector>

#include "loftrouter/wire/cbor.hpp"

namespace loftrouter::wire {

// Scans one item at the front of the input. Bytes after it are not looked at.
class CborStructureScan {
public:
  CborStructureScan(std::string_view bytes, DecodeLimits limits) : rest_(bytes), limits_(limits) {}

  // Returns whether the item is complete, consists of the supported types and is within the limits.
  [[nodiscard]] bool within_limits() {
    do {
      if (!scan_element()) return false;
      close_full_containers();
    } while (!open_containers_.empty());
    return true;
  }

private:
  // The upper three bits of an initial byte.
  enum class MajorType : std::uint8_t { Unsigned, Negative, Bytes, Text, Array, Map, Tag, Simple };

  static constexpr unsigned kInfoBits = 5;
  static constexpr unsigned kInfoMask = 31;
  static constexpr unsigned kFirstSizedInfo = 24; // 24 to 27: an argument of 1, 2, 4 or 8 bytes follows
  static constexpr unsigned kLastSizedInfo = 27;
  static constexpr unsigned kIndefiniteInfo = 31;
  static constexpr unsigned kFalse = 20;
  static constexpr unsigned kNull = 22;
  static constexpr unsigned kHalfFloat = 25;
  static constexpr std::uint8_t kBreak = 0xFF;
  // The decoder takes this element count, too, for an indefinite length.
  static constexpr std::uint64_t kIndefiniteLength = std::numeric_limits<std::uint64_t>::max();

  struct Head {
    MajorType type;
    unsigned info;
    std::uint64_t argument; // value, length or element count; kIndefiniteLength if it is indefinite
  };

  struct Container {
    std::uint64_t remaining; // elements; a map has two for each entry
    bool indefinite;
    bool map;
    bool at_key;
  };

  std::optional<std::uint8_t> next_byte() {
    if (rest_.empty()) return std::nullopt;
    const auto byte = static_cast<std::uint8_t>(rest_.front());
    rest_.remove_prefix(1);
    return byte;
  }

  bool skip(std::uint64_t bytes) {
    if (bytes > rest_.size()) return false;
    rest_.remove_prefix(static_cast<std::size_t>(bytes));
    return true;
  }

  bool read_argument(unsigned info, std::uint64_t &argument) {
    argument = info;
    if (info < kFirstSizedInfo) return true;
    argument = kIndefiniteLength;
    if (info == kIndefiniteInfo) return true;
    if (info > kLastSizedInfo) return false;
    const std::size_t size = std::size_t{1} << (info - kFirstSizedInfo);
    if (rest_.size() < size) return false;
    argument = 0;
    for (const char byte : rest_.substr(0, size))
      argument = argument << 8 | static_cast<unsigned char>(byte);
    return skip(size);
  }

  bool read_head(std::uint8_t initial_byte, Head &head) {
    head.type = static_cast<MajorType>(initial_byte >> kInfoBits);
    head.info = initial_byte & kInfoMask;
    return read_argument(head.info, head.argument);
  }

  // Scans a scalar, the start of a container, or the break that ends one.
  bool scan_element() {
    const auto initial_byte = next_byte();
    if (!initial_byte) return false;
    if (*initial_byte == kBreak) return close_indefinite_container();
    Head head;
    if (!read_head(*initial_byte, head) || !count_element()) return false;
    switch (head.type) {
    case MajorType::Unsigned:
    case MajorType::Negative:
      return head.info != kIndefiniteInfo;
    case MajorType::Text:
      return head.info == kIndefiniteInfo ? skip_text_pieces() : skip(head.argument);
    case MajorType::Array:
      return open_container(head.argument, false);
    case MajorType::Map:
      return open_container(head.argument, true);
    case MajorType::Simple:
      return (head.info >= kFalse && head.info <= kNull) || (head.info >= kHalfFloat && head.info <= kLastSizedInfo);
    case MajorType::Bytes:
    case MajorType::Tag:
      return false;
    }
    return false;
  }

  // Skips the pieces of a text of indefinite length. A piece may itself be such a text, as the decoder accepts that.
  bool skip_text_pieces() {
    std::size_t open_texts = 1;
    while (open_texts > 0) {
      const auto initial_byte = next_byte();
      if (!initial_byte) return false;
      if (*initial_byte == kBreak) {
        --open_texts;
        continue;
      }
      Head head;
      if (!read_head(*initial_byte, head) || head.type != MajorType::Text) return false;
      if (head.info != kIndefiniteInfo) {
        if (!skip(head.argument)) return false;
      } else if (++open_texts > limits_.depth) {
        return false;
      }
    }
    return true;
  }

  // Counts an element of the innermost container. Keys do not count as items.
  bool count_element() {
    if (open_containers_.empty()) return ++item_count_ <= limits_.items;
    Container &container = open_containers_.back();
    if (!container.indefinite) --container.remaining;
    const bool key = container.map && container.at_key;
    container.at_key = !container.at_key;
    return key || ++item_count_ <= limits_.items;
  }

  bool open_container(std::uint64_t elements, bool map) {
    if (open_containers_.size() >= limits_.depth) return false;
    const bool indefinite = elements == kIndefiniteLength;
    // Each element takes a byte at least.
    if (!indefinite && elements > rest_.size()) return false;
    open_containers_.push_back({map ? 2 * elements : elements, indefinite, map, true});
    return true;
  }

  bool close_indefinite_container() {
    if (open_containers_.empty() || !open_containers_.back().indefinite) return false;
    open_containers_.pop_back();
    return true;
  }

  void close_full_containers() {
    while (!open_containers_.empty() && !open_containers_.back().indefinite && open_containers_.back().remaining == 0)
      open_containers_.pop_back();
  }

  std::string_view rest_;
  DecodeLimits limits_;
  std::vector<Container> open_containers_; // innermost last
  std::size_t item_count_ = 0;
};

// Decodes one CBOR value, passing its events to a handler with nlohmann's SAX interface. Returns false if the input is
// malformed or exceeds the limits, or if the handler rejected an event. All decoding of CBOR goes through here.
template <class Handler> [[nodiscard]] bool parse_cbor(std::string_view bytes, DecodeLimits limits, Handler &handler) {
  return CborStructureScan(bytes, limits).within_limits() &&
         Json::sax_parse(bytes.begin(), bytes.end(), &handler, Json::input_format_t::cbor, true);
}

} // namespace loftrouter::wire
