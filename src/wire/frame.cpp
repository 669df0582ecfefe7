#include "frame.hpp"

#include "packed.hpp"

namespace loftrouter::wire {

namespace {
constexpr std::size_t kHeaderBytes = 12;
} // namespace

std::string encode_frame(const FrameFormat &format, std::uint16_t kind, std::string_view body) {
  PackedWriter writer;
  writer.reserve(kHeaderBytes + body.size());
  writer.u32(format.magic);
  writer.u16(format.version);
  writer.u16(kind);
  writer.body(body);
  return std::move(writer).take();
}

FrameRead find_frame(const FrameFormat &format, std::string_view buffer, FrameView &out) {
  PackedReader header(buffer);
  const auto magic = header.u32();
  const auto version = header.u16();
  const auto kind = header.u16();
  const auto length = header.u32();
  if (!header.ok()) return FrameRead::NeedMore;
  if (magic != format.magic || version != format.version) return FrameRead::Garbage;
  if (kind < 1 || kind > format.max_kind) return FrameRead::Garbage;
  if (length > format.max_body(kind)) return FrameRead::Garbage;
  if (buffer.size() < kHeaderBytes + length) return FrameRead::NeedMore;
  out = {kind, buffer.substr(kHeaderBytes, length), kHeaderBytes + length};
  return FrameRead::Frame;
}

} // namespace loftrouter::wire
