// Serializes and parses binary messages: little-endian integers and length-prefixed strings.
//
// The reader checks every length against the remaining input. After the first error `ok` stays false and later values
// are meaningless: callers may check once at the end, but must check before they use a count as a loop bound.
#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>

namespace loftrouter::wire {

class PackedWriter {
public:
  void reserve(std::size_t bytes) { out_.reserve(bytes); }

  void u8(std::uint8_t value) { number(value); }
  void u16(std::uint16_t value) { number(value); }
  void u32(std::uint32_t value) { number(value); }
  void u64(std::uint64_t value) { number(value); }
  void flag(bool value) { u8(value ? 1 : 0); }

  // Writes a one-byte length and the text, truncated to 255 bytes.
  void text(std::string_view text) {
    text = text.substr(0, std::numeric_limits<std::uint8_t>::max());
    u8(static_cast<std::uint8_t>(text.size()));
    out_ += text;
  }

  // Writes a four-byte length and the bytes. Must be the last value, as PackedReader::body() reads up to the end.
  void body(std::string_view bytes) {
    u32(static_cast<std::uint32_t>(bytes.size()));
    out_ += bytes;
  }

  [[nodiscard]] std::string take() && { return std::move(out_); }

private:
  template <class Number> void number(Number value) {
    for (std::size_t i = 0; i < sizeof value; ++i)
      out_.push_back(static_cast<char>(value >> (8 * i)));
  }

  std::string out_;
};

class PackedReader {
public:
  explicit PackedReader(std::string_view bytes) : rest_(bytes) {}

  [[nodiscard]] bool ok() const { return ok_; }
  // Returns whether all input was read without an error.
  [[nodiscard]] bool complete() const { return ok_ && rest_.empty(); }
  // Marks the input as invalid. Always returns false, so that a parse function can return the result.
  bool fail() {
    ok_ = false;
    return false;
  }

  std::uint8_t u8() { return number<std::uint8_t>(); }
  std::uint16_t u16() { return number<std::uint16_t>(); }
  std::uint32_t u32() { return number<std::uint32_t>(); }
  std::uint64_t u64() { return number<std::uint64_t>(); }

  // Fails on any byte other than 0 and 1.
  bool flag() {
    const auto value = u8();
    if (value > 1) fail();
    return value == 1;
  }

  bool text(std::string &out) {
    const std::size_t size = u8();
    if (!ok_ || rest_.size() < size) return fail();
    out = rest_.substr(0, size);
    rest_.remove_prefix(size);
    return true;
  }

  // Fails unless the length that was written is that of all remaining input.
  bool body(std::string &out) {
    const std::size_t size = u32();
    if (!ok_ || size != rest_.size()) return fail();
    out = rest_;
    rest_ = {};
    return true;
  }

private:
  template <class Number> Number number() {
    if (rest_.size() < sizeof(Number)) {
      fail();
      return 0;
    }
    Number value = 0;
    for (std::size_t i = 0; i < sizeof value; ++i) {
      const Number byte = static_cast<unsigned char>(rest_[i]);
      value = static_cast<Number>(value | static_cast<Number>(byte << (8 * i)));
    }
    rest_.remove_prefix(sizeof value);
    return value;
  }

  std::string_view rest_;
  bool ok_ = true;
};

} // namespace loftrouter::wire
