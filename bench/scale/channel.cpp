#include "channel.hpp"

#include <algorithm>
#include <cerrno>
#include <cstdlib>

#include <fcntl.h>
#include <fmt/format.h>
#include <unistd.h>

namespace loftrouter::scale {

namespace {
constexpr double kLagTick = 0.05, kTellEvery = 1.0; // s

void set_nonblocking(int fd) {
  ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) | O_NONBLOCK);
}
} // namespace

LineChannel::LineChannel(net::Loop &loop, int read_fd, int write_fd, OnLine on_line, OnEnd on_end)
    : write_fd_(write_fd), read_fd_(read_fd), on_line_(std::move(on_line)), on_end_(std::move(on_end)),
      reader_(loop, read_fd, [this](int) { read_some(); }), writer_(loop, write_fd, [this](int) { write_some(); }) {
  set_nonblocking(read_fd);
  set_nonblocking(write_fd);
  reader_.want(EV_READ);
}

void LineChannel::read_some() {
  char buffer[65536];
  const ssize_t got = ::read(read_fd_, buffer, sizeof buffer);
  if (got < 0 && (errno == EAGAIN || errno == EINTR)) return;
  if (got <= 0) {
    reader_.want(0);
    if (on_end_) on_end_();
    return;
  }
  in_.append(buffer, static_cast<std::size_t>(got));
  std::size_t begin = 0;
  for (auto end = in_.find('\n'); end != std::string::npos; end = in_.find('\n', begin)) {
    on_line_(std::string_view(in_).substr(begin, end - begin));
    begin = end + 1;
  }
  in_.erase(0, begin);
  if (in_.size() > kMaxLine) std::abort();
}

void LineChannel::send(std::string_view line) {
  out_.append(line).push_back('\n');
  if (out_.size() > kMaxUnsent) std::abort();
  writer_.want(EV_WRITE);
}

void LineChannel::write_some() {
  const ssize_t sent = ::write(write_fd_, out_.data(), out_.size());
  if (sent < 0 && (errno == EAGAIN || errno == EINTR)) return;
  if (sent < 0) return writer_.want(0);
  out_.erase(0, static_cast<std::size_t>(sent));
  if (out_.empty()) writer_.want(0);
}

LagMeter::LagMeter(net::Loop &loop, LineChannel &runner) : runner_(runner), timer_(loop, [this] { tick(); }) {
  expected_ = told_at_ = net::mono_now();
  timer_.once(kLagTick);
}

void LagMeter::tick() {
  const double now = net::mono_now();
  worst_ = std::max(worst_, now - expected_ - kLagTick);
  expected_ = now;
  timer_.once(kLagTick);
  if (now - told_at_ < kTellEvery) return;
  runner_.send(fmt::format("lag {:.4f}", worst_));
  told_at_ = now;
  worst_ = 0;
}

} // namespace loftrouter::scale
