// What reading a frame off the front of a buffer comes to. Frames carry the messages between controller nodes and
// between cells; loftrouter/wire/peer.hpp and cell.hpp say what they hold.
#pragma once

#include <cstdint>

namespace loftrouter::wire {

enum class FrameRead : std::uint8_t {
  NeedMore, // the frame is not complete yet; the buffer stays as it is
  Frame,    // a message was read, and its bytes were taken off the buffer
  Garbage   // no valid frame: the connection has to be closed, as the next frame can't be found
};

} // namespace loftrouter::wire
