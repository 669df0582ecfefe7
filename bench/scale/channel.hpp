// Lines of text between the runner of a scale run and its processes, over pipes. Bounded: a line is at most kMaxLine
// bytes, and what the far end doesn't take within kMaxUnsent bytes ends the process, as the run would be worthless.
#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "loftrouter/net/loop.hpp"

namespace loftrouter::scale {

class LineChannel {
public:
  using OnLine = std::function<void(std::string_view line)>;
  using OnEnd = std::function<void()>; // the far end has closed

  LineChannel(net::Loop &loop, int read_fd, int write_fd, OnLine on_line, OnEnd on_end);
  void send(std::string_view line); // without its newline

private:
  static constexpr std::size_t kMaxLine = 64 * 1024, kMaxUnsent = 64 * 1024 * 1024;
  void read_some();
  void write_some();

  int write_fd_;
  int read_fd_;
  OnLine on_line_;
  OnEnd on_end_;
  std::string in_, out_;
  net::IoWatch reader_, writer_;
};

// Tells the runner, about once a second, how late this process's timers have been: a stand-in that falls behind makes
// the run invalid.
class LagMeter {
public:
  LagMeter(net::Loop &loop, LineChannel &runner);

private:
  void tick();

  LineChannel &runner_;
  net::Timer timer_;
  double expected_ = 0, worst_ = 0, told_at_ = 0;
};

} // namespace loftrouter::scale
