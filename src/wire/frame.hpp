// The framing of messages between controllers: a header of 12 bytes, then the body.
//
//   magic u32 | version u16 | kind u16 | length of the body u32 | body
//
// All numbers are little-endian. A length beyond the bound of its kind is refused before any of the body is waited
// for, so that a stray client cannot make a node buffer without end.
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
  std::uint16_t max_kind;                      // kinds count from 1
  std::size_t (*max_body)(std::uint16_t kind); // bytes
};

struct FrameView {
  std::uint16_t kind = 0;
  std::string_view body;
  std::size_t size = 0; // of the whole frame, bytes
};

[[nodiscard]] std::string encode_frame(const FrameFormat &format, std::uint16_t kind, std::string_view body);

// Finds the frame at the front of `buffer`, without taking it off.
[[nodiscard]] FrameRead find_frame(const FrameFormat &format, std::string_view buffer, FrameView &out);

} // namespace loftrouter::wire
