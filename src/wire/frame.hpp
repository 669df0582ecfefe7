// Frames messages between controllers with a 12-byte header:
//
//   magic u32 | version u16 | kind u16 | body length u32 | body
//
// All integers are little-endian. The body length is checked against the limit of the message kind before the body is
// buffered, so that a sender cannot exhaust a node's memory.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "loftrouter/wire/frame.hpp"

namespace loftrouter::wire {

struct FrameFormat {
  std::uint32_t magic;
  std::uint16_t version;
  std::uint16_t max_kind;                      // valid kinds are 1 to max_kind
  std::size_t (*max_body)(std::uint16_t kind); // bytes
};

// Refers to a frame in a receive buffer.
struct FrameView {
  std::uint16_t kind = 0;
  std::string_view body;
  std::size_t size = 0; // header and body, bytes
};

[[nodiscard]] std::string encode_frame(const FrameFormat &format, std::uint16_t kind, std::string_view body);

// Parses the frame at the front of `buffer` without removing it. `out.body` points into `buffer`.
[[nodiscard]] FrameRead find_frame(const FrameFormat &format, std::string_view buffer, FrameView &out);

} // namespace loftrouter::wire
