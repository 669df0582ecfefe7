#include "loftrouter/net/peers.hpp"

#include <cerrno>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace loftrouter::net {

namespace {
constexpr std::size_t kMaxIncoming = 16;
// Of reports passed on, several hundred may wait for one turn; a node takes them within milliseconds.
constexpr std::size_t kMaxBuffered = 256 * 1024;
constexpr double kSilence = 3.0; // after which a link is closed and dialled anew
} // namespace

struct PeerLinks::Link {
  LinkId id = 0;
  int replica = -1;
  Fd fd;
  std::string in, out;
  std::unique_ptr<IoWatch> watch;
  double heard = 0;
  std::uint32_t remote = 0;
};

PeerLinks::PeerLinks(Loop &loop, Fd listener, std::vector<Address> replicas, Reader reader)
    : loop_(loop), listener_(std::move(listener)), replicas_(std::move(replicas)), dialled_(replicas_.size(), 0),
      reader_(std::move(reader)), accept_watch_(loop, listener_.get(), [this](int) { accept_ready(); }),
      sweep_timer_(loop, [this] { sweep(); }) {
  accept_watch_.want(EV_READ);
  sweep_timer_.once(0.5);
}

PeerLinks::~PeerLinks() = default;

PeerLinks::Link *PeerLinks::open(Fd fd, int replica) {
  auto link = std::make_unique<Link>();
  link->id = next_++;
  link->replica = replica;
  link->fd = std::move(fd);
  link->heard = loop_.now();
  auto *raw = link.get();
  link->watch = std::make_unique<IoWatch>(loop_, raw->fd.get(), [this, raw](int events) { on_io(*raw, events); });
  link->watch->want(EV_READ);
  links_.emplace(raw->id, std::move(link));
  return raw;
}

void PeerLinks::accept_ready() {
  sockaddr_in from{};
  socklen_t length = sizeof from;
  Fd fd(::accept4(listener_.get(), reinterpret_cast<sockaddr *>(&from), &length, SOCK_NONBLOCK | SOCK_CLOEXEC));
  if (!fd || links_.size() >= kMaxIncoming + replicas_.size()) return;
  int one = 1;
  ::setsockopt(fd.get(), IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  open(std::move(fd), -1)->remote = ntohl(from.sin_addr.s_addr);
}

std::uint32_t PeerLinks::remote_ip(LinkId link) const {
  const auto it = links_.find(link);
  return it == links_.end() ? 0 : it->second->remote;
}

void PeerLinks::send_to_replica(int replica, std::string_view bytes) {
  auto &id = dialled_[static_cast<std::size_t>(replica)];
  if (!links_.contains(id)) {
    Fd fd = connect_to(replicas_[static_cast<std::size_t>(replica)]);
    if (!fd) return;
    Link *link = open(std::move(fd), replica);
    link->remote = replicas_[static_cast<std::size_t>(replica)].ip;
    id = link->id;
  }
  send_on(id, bytes);
}

void PeerLinks::send_on(LinkId id, std::string_view bytes) {
  auto it = links_.find(id);
  if (it == links_.end() || it->second->out.size() + bytes.size() > kMaxBuffered) return;
  if (it->second->out.empty()) unsent_.push_back(id);
  it->second->out.append(bytes);
}

void PeerLinks::send_all() {
  for (LinkId id : std::exchange(unsent_, {}))
    if (auto it = links_.find(id); it != links_.end()) flush(*it->second);
}

void PeerLinks::on_io(Link &link, int events) {
  if (!link.fd) return;
  if (events & EV_WRITE) flush(link);
  if (!link.fd || !(events & EV_READ)) return;
  char buf[16384];
  ssize_t n = ::recv(link.fd.get(), buf, sizeof buf, 0);
  if (n < 0 && (errno == EAGAIN || errno == EINTR)) return;
  if (n <= 0) return close(link);
  link.heard = loop_.now();
  link.in.append(buf, static_cast<std::size_t>(n));
  if (!reader_(link.id, link.replica, link.in) || link.in.size() > kMaxBuffered) close(link);
}

void PeerLinks::flush(Link &link) {
  while (!link.out.empty()) {
    ssize_t n = ::send(link.fd.get(), link.out.data(), link.out.size(), MSG_NOSIGNAL);
    if (n < 0 && (errno == EAGAIN || errno == EINTR || errno == ENOTCONN)) return link.watch->want(EV_READ | EV_WRITE);
    if (n <= 0) return close(link);
    link.out.erase(0, static_cast<std::size_t>(n));
  }
  link.watch->want(EV_READ);
}

// The link's watcher may be running right now, so it is destroyed at the next sweep.
void PeerLinks::close(Link &link) {
  link.watch->want(0);
  link.fd.reset();
  auto it = links_.find(link.id);
  if (it == links_.end()) return;
  graveyard_.push_back(std::move(it->second));
  links_.erase(it);
}

void PeerLinks::sweep() {
  graveyard_.clear();
  std::vector<Link *> silent;
  for (auto &[id, l] : links_)
    if (loop_.now() - l->heard > kSilence) silent.push_back(l.get());
  for (auto *l : silent)
    close(*l);
  sweep_timer_.once(0.5);
}

} // namespace loftrouter::net
