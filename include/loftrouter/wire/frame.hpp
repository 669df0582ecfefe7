// Defines the result of reading a frame from a receive buffer. Frames carry the messages between controller nodes
// (loftrouter/wire/peer.hpp) and between cells (cell.hpp).
#pragma once

#include <cstdint>

namespace loftrouter::wire {

enum class FrameRead : std::uint8_t {
  NeedMore, // the frame is incomplete; the buffer is unchanged
  Frame,    // a message was read and removed from the buffer
  Garbage   // invalid frame; the connection must be closed, as the next frame boundary is unknown
};

} // namespace loftrouter::wire
