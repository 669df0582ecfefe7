#include "loftrouter/net/loop.hpp"

#include <charconv>
#include <chrono>
#include <cstring>
#include <utility>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <fmt/format.h>

namespace loftrouter::net {

namespace {
// Connections that wait to be accepted: after a takeover all 11,000 workers may come at once. The kernel cuts this to
// its own limit (net.core.somaxconn), and whom it turns away asks again after a second.
constexpr int kMaxBacklog = 12'000;
} // namespace

double mono_now() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

double wall_now() {
  return std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
}

Loop::Loop() : loop_(ev_loop_new(static_cast<unsigned>(EVBACKEND_EPOLL) | EVFLAG_NOENV)) {
  if (!loop_) loop_ = ev_loop_new(EVFLAG_AUTO);
}
Loop::~Loop() {
  ev_loop_destroy(loop_);
}
void Loop::run() {
  ev_run(loop_, 0);
}
void Loop::stop() {
  ev_break(loop_, EVBREAK_ALL);
}

double Loop::now() {
  if (const unsigned turn = ev_iteration(loop_); turn != turn_ || now_ == 0) {
    turn_ = turn;
    now_ = mono_now();
  }
  return now_;
}

BeforeWait::BeforeWait(Loop &loop, std::function<void()> fn) : loop_(loop), fn_(std::move(fn)) {
  ev_prepare_init(&prepare_, [](struct ev_loop *, ev_prepare *w, int) { static_cast<BeforeWait *>(w->data)->fn_(); });
  prepare_.data = this;
  ev_prepare_start(loop_.raw(), &prepare_);
}

BeforeWait::~BeforeWait() {
  ev_prepare_stop(loop_.raw(), &prepare_);
}

Timer::Timer(Loop &loop, std::function<void()> fn) : loop_(loop), fn_(std::move(fn)) {
  ev_init(&timer_, [](struct ev_loop *, ev_timer *w, int) { static_cast<Timer *>(w->data)->fn_(); });
  timer_.data = this;
}
Timer::~Timer() {
  stop();
}
void Timer::once(double after) {
  ev_timer_stop(loop_.raw(), &timer_);
  ev_timer_set(&timer_, after > 0 ? after : 0, 0);
  ev_timer_start(loop_.raw(), &timer_);
}
void Timer::stop() {
  ev_timer_stop(loop_.raw(), &timer_);
}

IoWatch::IoWatch(Loop &loop, int fd, std::function<void(int)> fn) : loop_(loop), fn_(std::move(fn)) {
  ev_io_init(
      &io_, [](struct ev_loop *, ev_io *w, int events) { static_cast<IoWatch *>(w->data)->fn_(events); }, fd, 0);
  io_.data = this;
}
IoWatch::~IoWatch() {
  ev_io_stop(loop_.raw(), &io_);
}
void IoWatch::want(int events) {
  if (events == events_) return;
  ev_io_stop(loop_.raw(), &io_);
  ev_io_set(&io_, io_.fd, events);
  events_ = events;
  if (events) ev_io_start(loop_.raw(), &io_);
}

std::optional<Address> parse_address(std::string_view text) {
  auto colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  in_addr ip{};
  std::string host(text.substr(0, colon));
  if (inet_pton(AF_INET, host.c_str(), &ip) != 1) return std::nullopt;
  auto port_text = text.substr(colon + 1);
  unsigned port = 0;
  auto [end, err] = std::from_chars(port_text.data(), port_text.data() + port_text.size(), port);
  if (err != std::errc() || end != port_text.data() + port_text.size() || port == 0 || port > 65535)
    return std::nullopt;
  return Address{ntohl(ip.s_addr), static_cast<std::uint16_t>(port), std::string(text)};
}

std::string format_address(std::uint32_t ip, std::uint16_t port) {
  return fmt::format("{}.{}.{}.{}:{}", ip >> 24, ip >> 16 & 0xFF, ip >> 8 & 0xFF, ip & 0xFF, port);
}

Fd &Fd::operator=(Fd &&descriptor) noexcept {
  if (this != &descriptor) {
    reset();
    fd_ = std::exchange(descriptor.fd_, -1);
  }
  return *this;
}

void Fd::reset() {
  if (fd_ >= 0) ::close(fd_);
  fd_ = -1;
}

static sockaddr_in to_sockaddr(const Address &addr) {
  sockaddr_in sa{};
  sa.sin_family = AF_INET;
  sa.sin_port = htons(addr.port);
  sa.sin_addr.s_addr = htonl(addr.ip);
  return sa;
}

Fd listen_on(const Address &addr, std::string &error) {
  Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!fd) {
    error = std::strerror(errno);
    return {};
  }
  int one = 1;
  ::setsockopt(fd.get(), SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  auto sa = to_sockaddr(addr);
  if (::bind(fd.get(), reinterpret_cast<sockaddr *>(&sa), sizeof sa) != 0 || ::listen(fd.get(), kMaxBacklog) != 0) {
    error = std::strerror(errno);
    return {};
  }
  return fd;
}

Fd connect_to(const Address &addr) {
  Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!fd) return {};
  int one = 1;
  ::setsockopt(fd.get(), IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  auto sa = to_sockaddr(addr);
  if (::connect(fd.get(), reinterpret_cast<sockaddr *>(&sa), sizeof sa) != 0 && errno != EINPROGRESS) return {};
  return fd;
}

} // namespace loftrouter::net
