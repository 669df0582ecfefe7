#include "links.hpp"

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <stdexcept>

#include <fmt/format.h>
#include <sys/socket.h>

#include "loftrouter/wire/cell.hpp"

namespace loftrouter::scale {

namespace {
constexpr double kSweepEvery = 1.0;               // s
constexpr std::size_t kMaxHeld = 4 * 1024 * 1024; // bytes of one direction that wait to be written

// Counts whole frames in a stream.
class FrameCounter {
public:
  std::uint64_t add(std::string_view bytes) {
    buffer_.append(bytes);
    std::string_view rest = buffer_;
    std::uint64_t frames = 0;
    wire::CellMessage message;
    while (wire::read_cell(rest, message) == wire::FrameRead::Frame)
      ++frames;
    buffer_.erase(0, buffer_.size() - rest.size());
    return frames;
  }

private:
  std::string buffer_;
};
} // namespace

struct Links::Door {
  LinkAddress address;
  net::Fd listener;
  std::unique_ptr<net::IoWatch> watch;
};

struct Links::Pipe {
  int from = 0, to = 0;
  net::Fd near, far; // the dialling controller's connection, and the one to the controller dialled
  std::unique_ptr<net::IoWatch> near_watch, far_watch;
  std::string outwards, inwards; // read, and not yet written
  FrameCounter out_frames, in_frames;
  bool over = false;
};

Links::Links(net::Loop &loop, LineChannel &runner, const std::vector<LinkAddress> &addresses)
    : loop_(loop), runner_(runner), sweep_(loop, [this] { sweep(); }) {
  for (const auto &address : addresses) {
    auto door = std::make_unique<Door>();
    std::string error;
    door->address = address;
    door->listener = net::listen_on(*net::parse_address(address.listen), error);
    if (!door->listener) throw std::runtime_error(address.listen + ": " + error);
    door->watch =
        std::make_unique<net::IoWatch>(loop, door->listener.get(), [this, d = door.get()](int) { accept_on(*d); });
    door->watch->want(EV_READ);
    doors_.push_back(std::move(door));
  }
  sweep_.once(kSweepEvery);
}

Links::~Links() = default;

bool Links::cut(const Pipe &pipe) const {
  return cut_.contains(pipe.from) != cut_.contains(pipe.to);
}

void Links::on_line(std::string_view line) {
  const auto space = line.find(' ');
  int region = 0;
  std::from_chars(line.data() + space + 1, line.data() + line.size(), region);
  if (line.substr(0, space) == "cut")
    cut_.insert(region);
  else
    cut_.erase(region);
  for (auto &door : doors_)
    door->watch->want(cut_.contains(door->address.from) != cut_.contains(door->address.to) ? 0 : EV_READ);
  for (auto &pipe : pipes_)
    arm(*pipe);
}

void Links::accept_on(Door &door) {
  auto pipe = std::make_unique<Pipe>();
  pipe->from = door.address.from;
  pipe->to = door.address.to;
  pipe->near = net::Fd(::accept4(door.listener.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
  if (!pipe->near) return;
  pipe->far = net::connect_to(*net::parse_address(door.address.target));
  if (!pipe->far) return;
  auto *raw = pipe.get();
  auto moved = [this, raw](int) {
    move(*raw, true);
    move(*raw, false);
    arm(*raw);
  };
  pipe->near_watch = std::make_unique<net::IoWatch>(loop_, pipe->near.get(), moved);
  pipe->far_watch = std::make_unique<net::IoWatch>(loop_, pipe->far.get(), moved);
  arm(*pipe);
  pipes_.push_back(std::move(pipe));
}

void Links::arm(Pipe &pipe) {
  if (pipe.over || cut(pipe)) {
    pipe.near_watch->want(0);
    pipe.far_watch->want(0);
    return;
  }
  pipe.near_watch->want(EV_READ | (pipe.inwards.empty() ? 0 : EV_WRITE));
  pipe.far_watch->want(EV_READ | (pipe.outwards.empty() ? 0 : EV_WRITE));
}

void Links::move(Pipe &pipe, bool outwards) {
  if (pipe.over || cut(pipe)) return;
  const int from = outwards ? pipe.near.get() : pipe.far.get();
  const int to = outwards ? pipe.far.get() : pipe.near.get();
  auto &held = outwards ? pipe.outwards : pipe.inwards;
  char buffer[32768];
  const ssize_t got = held.size() < kMaxHeld ? ::recv(from, buffer, sizeof buffer, 0) : -1;
  if (got > 0) {
    const std::string_view bytes(buffer, static_cast<std::size_t>(got));
    bytes_ += bytes.size();
    frames_ += (outwards ? pipe.out_frames : pipe.in_frames).add(bytes);
    held.append(bytes);
  } else if (got == 0 || (held.size() < kMaxHeld && errno != EAGAIN && errno != EINTR && errno != ENOTCONN)) {
    pipe.over = true;
    return;
  }
  if (held.empty()) return;
  const ssize_t sent = ::send(to, held.data(), held.size(), MSG_NOSIGNAL);
  if (sent > 0) held.erase(0, static_cast<std::size_t>(sent));
  if (sent < 0 && errno != EAGAIN && errno != EINTR && errno != ENOTCONN) pipe.over = true;
}

void Links::sweep() {
  sweep_.once(kSweepEvery);
  std::erase_if(pipes_, [](const auto &pipe) { return pipe->over; });
  runner_.send(fmt::format("count frames {} bytes {}", frames_, bytes_));
}

} // namespace loftrouter::scale
