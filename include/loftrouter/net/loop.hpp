// Thin RAII over libev: one loop, watchers that unregister themselves, and non-blocking sockets.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include <ev.h>

namespace loftrouter::net {

double mono_now(); // steady clock, seconds
double wall_now(); // time of day, seconds

class Loop {
public:
  Loop();
  ~Loop();
  Loop(const Loop &) = delete;
  Loop &operator=(const Loop &) = delete;
  struct ev_loop *raw() {
    return loop_;
  }
  void run();
  void stop();
  // The steady clock as it was when this turn began.
  double now();

private:
  struct ev_loop *loop_;
  double now_ = 0;
  unsigned turn_ = 0;
};

// Runs once a turn, when all that had arrived has been handled and before the loop waits again.
class BeforeWait {
public:
  BeforeWait(Loop &loop, std::function<void()> fn);
  ~BeforeWait();
  BeforeWait(const BeforeWait &) = delete;
  BeforeWait &operator=(const BeforeWait &) = delete;

private:
  Loop &loop_;
  std::function<void()> fn_;
  ev_prepare prepare_;
};

class Timer {
public:
  Timer(Loop &loop, std::function<void()> fn);
  ~Timer();
  Timer(const Timer &) = delete;
  Timer &operator=(const Timer &) = delete;
  void once(double after);
  void stop();

private:
  Loop &loop_;
  std::function<void()> fn_;
  ev_timer timer_;
};

class IoWatch {
public:
  IoWatch(Loop &loop, int fd, std::function<void(int)> fn);
  ~IoWatch();
  IoWatch(const IoWatch &) = delete;
  IoWatch &operator=(const IoWatch &) = delete;
  void want(int events);

private:
  Loop &loop_;
  std::function<void(int)> fn_;
  ev_io io_;
  int events_ = 0;
};

struct Address {
  std::uint32_t ip = 0; // host order
  std::uint16_t port = 0;
  std::string text;
};

std::optional<Address> parse_address(std::string_view text); // "10.0.0.1:8080"
// The reverse. `ip` is in host order.
std::string format_address(std::uint32_t ip, std::uint16_t port);

class Fd {
public:
  Fd() = default;
  explicit Fd(int fd) : fd_(fd) {}
  Fd(Fd &&descriptor) noexcept : fd_(std::exchange(descriptor.fd_, -1)) {}
  Fd &operator=(Fd &&descriptor) noexcept;
  ~Fd() { reset(); }
  int get() const { return fd_; }
  explicit operator bool() const { return fd_ >= 0; }
  void reset();

private:
  int fd_ = -1;
};

Fd listen_on(const Address &addr, std::string &error);
Fd connect_to(const Address &addr); // connection in progress, or empty

} // namespace loftrouter::net
