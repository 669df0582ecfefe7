#include "loftrouter/net/client.hpp"

#include <algorithm>
#include <cerrno>

#include <sys/socket.h>

namespace loftrouter::net {

struct HttpClient::Conn {
  Conn(HttpLimits limits) : parser(HttpParser::Kind::Response, limits) {}
  Fd fd;
  HttpParser parser;
  std::unique_ptr<IoWatch> watch;
  std::string out;
  bool busy = false;
  bool dead = false; // removed at the next sweep, never inside its own callback
  double deadline = 0;
  double idle_since = 0;
  Callback done;
};

HttpClient::HttpClient(Loop &loop, Address address, Options options)
    : loop_(loop), address_(std::move(address)), options_(options), sweep_timer_(loop, [this] { sweep(); }) {
  sweep_timer_.once(0.1);
}

HttpClient::~HttpClient() = default;

void HttpClient::request(std::string_view method, std::string_view target, std::string_view body, double deadline_s,
                         Callback done) {
  if (queue_.size() >= options_.max_queued) {
    done(0, {});
    return;
  }
  queue_.push_back({format_request(method, target, address_.text, body), loop_.now() + deadline_s, std::move(done)});
  pump();
}

void HttpClient::pump() {
  while (!queue_.empty()) {
    Conn *free = nullptr;
    std::size_t live = 0;
    for (auto &c : conns_) {
      if (c->dead) continue;
      ++live;
      if (!c->busy) free = c.get();
    }
    if (!free) {
      if (live >= options_.max_connections) return;
      auto conn = std::make_unique<Conn>(HttpLimits{8 * 1024, options_.max_response});
      conn->fd = connect_to(address_);
      if (!conn->fd) { // out of descriptors or refused at once
        auto p = std::move(queue_.front());
        queue_.pop_front();
        p.done(0, {});
        continue;
      }
      auto *raw = conn.get();
      conn->watch = std::make_unique<IoWatch>(loop_, raw->fd.get(), [this, raw](int events) { on_io(*raw, events); });
      conns_.push_back(std::move(conn));
      free = raw;
    }
    auto p = std::move(queue_.front());
    queue_.pop_front();
    start(*free, std::move(p));
  }
}

void HttpClient::start(Conn &connection, Pending p) {
  connection.busy = true;
  connection.out = std::move(p.wire);
  connection.deadline = p.deadline;
  connection.done = std::move(p.done);
  connection.watch->want(EV_READ | EV_WRITE);
}

void HttpClient::finish(Conn &connection, int status, std::string body, bool reuse) {
  auto done = std::move(connection.done);
  connection.done = nullptr;
  connection.busy = false;
  connection.idle_since = loop_.now();
  if (reuse) {
    connection.watch->want(EV_READ); // to notice the far end closing
  } else {
    connection.dead = true;
    connection.watch->want(0);
    connection.fd.reset();
  }
  if (done) done(status, std::move(body));
}

void HttpClient::on_io(Conn &connection, int events) {
  if (connection.dead) return;
  if ((events & EV_WRITE) && !connection.out.empty()) {
    ssize_t n = ::send(connection.fd.get(), connection.out.data(), connection.out.size(), MSG_NOSIGNAL);
    if (n < 0 && errno != EAGAIN && errno != EINTR) {
      finish(connection, 0, {}, false);
      return pump();
    }
    if (n > 0) connection.out.erase(0, static_cast<std::size_t>(n));
    if (connection.out.empty()) connection.watch->want(EV_READ);
  }
  if (!(events & EV_READ)) return;
  char buf[32768];
  ssize_t n = ::recv(connection.fd.get(), buf, sizeof buf, 0);
  if (n < 0 && (errno == EAGAIN || errno == EINTR)) return;
  if (n <= 0 || !connection.busy) { // closed, or bytes nobody asked for
    bool whole = connection.busy && n == 0 && connection.parser.finish_at_close();
    if (whole) {
      auto msg = connection.parser.take();
      finish(connection, msg.status, std::move(msg.body), false);
    } else {
      finish(connection, 0, {}, false);
    }
    return pump();
  }
  connection.parser.feed({buf, static_cast<std::size_t>(n)});
  auto state = connection.parser.poll();
  if (state == HttpParser::State::NeedMore) return;
  if (state == HttpParser::State::Failed) {
    finish(connection, 0, {}, false);
  } else {
    auto msg = connection.parser.take();
    finish(connection, msg.status, std::move(msg.body), msg.keep_alive && connection.out.empty());
  }
  pump();
}

void HttpClient::sweep() {
  double now = loop_.now();
  std::erase_if(conns_, [](auto &c) { return c->dead; });
  for (std::size_t i = 0; i < conns_.size(); ++i) {
    Conn &connection = *conns_[i];
    if (connection.dead) continue;
    if (connection.busy && now > connection.deadline)
      finish(connection, 0, {}, false);
    else if (!connection.busy && now - connection.idle_since > 30)
      finish(connection, 0, {}, false);
  }
  while (!queue_.empty() && now > queue_.front().deadline) {
    auto p = std::move(queue_.front());
    queue_.pop_front();
    p.done(0, {});
  }
  pump();
  sweep_timer_.once(0.1);
}

} // namespace loftrouter::net
