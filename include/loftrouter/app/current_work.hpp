// Keeps what the process is working on, for the line that it writes when a fault ends it.
//
// One thread writes it, and reads it from its own signal handler. Nothing here allocates memory.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace loftrouter::app {

class CurrentWork {
public:
  enum class Stage : std::uint8_t { Idle, DecodingBody, ApplyingCommand };

  // A body is about to be decoded. Long texts are cut.
  void decode_body(std::string_view interface, std::string_view method, std::string_view path, std::size_t bytes) {
    interface_.assign(interface);
    method_.assign(method);
    path_.assign(path);
    body_bytes_ = bytes;
    stage_ = Stage::DecodingBody;
  }
  // The core is about to apply a command of this kind, a string literal.
  void apply_command(std::string_view kind) {
    command_ = kind;
    stage_ = Stage::ApplyingCommand;
  }
  void finish() { stage_ = Stage::Idle; }
  // 0 while this process does not lead.
  void set_leader_term(std::uint64_t term) { leader_term_ = term; }

  Stage stage() const { return stage_; }
  std::string_view interface() const { return interface_.view(); }
  std::string_view method() const { return method_.view(); }
  std::string_view path() const { return path_.view(); }
  std::size_t body_bytes() const { return body_bytes_; }
  std::string_view command() const { return command_; }
  std::uint64_t leader_term() const { return leader_term_; }

private:
  template <std::size_t Capacity> class CutText {
  public:
    void assign(std::string_view text) {
      size_ = std::min(text.size(), Capacity);
      std::copy_n(text.data(), size_, bytes_.data());
    }
    std::string_view view() const { return {bytes_.data(), size_}; }

  private:
    std::array<char, Capacity> bytes_{};
    std::size_t size_ = 0;
  };

  static constexpr std::size_t kMaxNameBytes = 16;
  static constexpr std::size_t kMaxPathBytes = 120;

  Stage stage_ = Stage::Idle;
  CutText<kMaxNameBytes> interface_;
  CutText<kMaxNameBytes> method_;
  CutText<kMaxPathBytes> path_;
  std::size_t body_bytes_ = 0;
  std::string_view command_;
  std::uint64_t leader_term_ = 0;
};

} // namespace loftrouter::app
