#include "loftrouter/net/server.hpp"

#include <cerrno>

#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace loftrouter::net {

struct HttpServer::Conn {
  Conn(ConnId i, Fd descriptor) : id(i), fd(std::move(descriptor)) {}
  ConnId id;
  Fd fd;
  HttpParser parser{HttpParser::Kind::Request};
  std::string out;
  std::unique_ptr<IoWatch> watch;
  bool waiting = false; // a request is with the handler
  bool request_keep_alive = true;
  bool closing = false; // close once `out` is written
  double since = 0;     // when the present phase began
};

HttpServer::HttpServer(Loop &loop, Fd listener, Options options, Handler handler, RejectionHandler on_rejected)
    : loop_(loop), listener_(std::move(listener)), spare_(::open("/dev/null", O_RDONLY | O_CLOEXEC)), options_(options),
      handler_(std::move(handler)), on_rejected_(std::move(on_rejected)),
      accept_watch_(loop, listener_.get(), [this](int) { accept_ready(); }), sweep_timer_(loop, [this] { sweep(); }) {
  accept_watch_.want(EV_READ);
  sweep_timer_.once(0.5);
}

HttpServer::~HttpServer() = default;

void HttpServer::accept_ready() {
  for (int i = 0; i < 32; ++i) {
    Fd fd(::accept4(listener_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (!fd) {
      if ((errno == EMFILE || errno == ENFILE) && spare_) {
        // Without this the connection stays in the backlog and the loop spins on it.
        spare_.reset();
        Fd drop(::accept4(listener_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
        drop.reset();
        spare_ = Fd(::open("/dev/null", O_RDONLY | O_CLOEXEC));
        make_room();
      }
      return;
    }
    if (conns_.size() >= options_.max_connections) make_room();
    if (conns_.size() >= options_.max_connections) continue; // closes it
    int one = 1;
    ::setsockopt(fd.get(), IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    auto id = next_id_++;
    auto conn = std::make_unique<Conn>(id, std::move(fd));
    conn->since = loop_.now();
    auto *raw = conn.get();
    conn->watch = std::make_unique<IoWatch>(loop_, raw->fd.get(), [this, raw](int events) { on_io(*raw, events); });
    conn->watch->want(EV_READ);
    conns_.emplace(id, std::move(conn));
  }
}

// Closes the connection that has been idle longest, if any is idle.
void HttpServer::make_room() {
  Conn *oldest = nullptr;
  for (auto &[id, c] : conns_)
    if (!c->waiting && c->parser.idle() && c->out.empty() && (!oldest || c->since < oldest->since)) oldest = c.get();
  if (oldest) close(oldest->id);
}

void HttpServer::on_io(Conn &connection, int events) {
  auto id = connection.id;
  if (events & EV_WRITE) {
    flush(connection);
    if (!conns_.contains(id)) return;
  }
  if (!(events & EV_READ)) return;
  char buf[16384];
  ssize_t n = ::recv(connection.fd.get(), buf, sizeof buf, 0);
  if (n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR)) {
    close(id);
    return;
  }
  if (n < 0) return;
  if (connection.parser.idle()) connection.since = loop_.now();
  connection.parser.feed({buf, static_cast<std::size_t>(n)});
  // While a request is being handled nothing more may be sent; a peer that floods is cut off.
  if (connection.waiting && connection.parser.buffered() > 16 * 1024) {
    close(id);
    return;
  }
  drive(connection);
}

void HttpServer::drive(Conn &connection) {
  if (connection.waiting || connection.closing || !connection.out.empty()) return;
  switch (connection.parser.poll()) {
  case HttpParser::State::NeedMore:
    return;
  case HttpParser::State::Failed:
    if (on_rejected_) on_rejected_(connection.id, connection.parser.error_text());
    connection.closing = true;
    connection.out =
        format_response(connection.parser.error_status(), connection.parser.error_text(), {}, false, "text/plain");
    flush(connection);
    return;
  case HttpParser::State::Complete:
    break;
  }
  auto msg = connection.parser.take();
  connection.waiting = true;
  connection.request_keep_alive = msg.keep_alive;
  connection.since = loop_.now();
  handler_(connection.id, std::move(msg));
}

std::string HttpServer::remote_address(ConnId id) const {
  const auto it = conns_.find(id);
  sockaddr_in address{};
  socklen_t size = sizeof address;
  if (it == conns_.end() || ::getpeername(it->second->fd.get(), reinterpret_cast<sockaddr *>(&address), &size) != 0)
    return {};
  return format_address(ntohl(address.sin_addr.s_addr), ntohs(address.sin_port));
}

void HttpServer::respond(ConnId id, int status, std::string_view body, std::optional<int> retry_after,
                         std::string_view content_type) {
  auto it = conns_.find(id);
  if (it == conns_.end() || !it->second->waiting) return;
  Conn &connection = *it->second;
  connection.waiting = false;
  connection.closing = !connection.request_keep_alive;
  connection.since = loop_.now();
  connection.out = format_response(status, body, retry_after, connection.request_keep_alive, content_type);
  flush(connection);
}

void HttpServer::flush(Conn &connection) {
  while (!connection.out.empty()) {
    ssize_t n = ::send(connection.fd.get(), connection.out.data(), connection.out.size(), MSG_NOSIGNAL);
    if (n < 0 && errno == EINTR) continue;
    if (n < 0 && errno == EAGAIN) {
      connection.watch->want(EV_READ | EV_WRITE);
      return;
    }
    if (n <= 0) {
      close(connection.id);
      return;
    }
    connection.out.erase(0, static_cast<std::size_t>(n));
  }
  if (connection.closing) {
    ::shutdown(connection.fd.get(), SHUT_WR);
    close(connection.id);
    return;
  }
  connection.watch->want(EV_READ);
  if (connection.parser.buffered()) drive(connection);
}

// The connection's watcher may be running right now, so it is destroyed at the next sweep.
void HttpServer::close(ConnId id) {
  auto it = conns_.find(id);
  if (it == conns_.end()) return;
  it->second->watch->want(0);
  it->second->fd.reset();
  graveyard_.push_back(std::move(it->second));
  conns_.erase(it);
}

void HttpServer::sweep() {
  graveyard_.clear();
  double now = loop_.now();
  std::vector<ConnId> late;
  for (auto &[id, c] : conns_) {
    double age = now - c->since;
    double limit = !c->out.empty()    ? options_.write_timeout_s
                   : c->waiting       ? 60.0
                   : c->parser.idle() ? options_.idle_timeout_s
                                      : options_.request_timeout_s;
    if (age > limit) late.push_back(id);
  }
  for (auto id : late)
    close(id);
  sweep_timer_.once(0.5);
}

} // namespace loftrouter::net
