// HTTP server: one request at a time per connection, every wait bounded, sockets kept in reserve.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

#include "loftrouter/net/http.hpp"
#include "loftrouter/net/loop.hpp"

namespace loftrouter::net {

using ConnId = std::uint64_t;

class HttpServer {
public:
  struct Options {
    std::size_t max_connections = 200;
    double request_timeout_s = 10; // from a request's first byte to its last
    double idle_timeout_s = 75;
    double write_timeout_s = 10;
  };
  using Handler = std::function<void(ConnId, HttpMessage &&)>;
  // Called for a request that is malformed or too large, which the server answers itself.
  using RejectionHandler = std::function<void(ConnId, const char *text)>;

  HttpServer(Loop &loop, Fd listener, Options options, Handler handler, RejectionHandler on_rejected = {});
  ~HttpServer();

  // Answers the request a connection is waiting on; unknown ids (closed meanwhile) are ignored.
  void respond(ConnId id, int status, std::string_view body, std::optional<int> retry_after = {},
               std::string_view content_type = "application/cbor");
  std::size_t connections() const { return conns_.size(); }
  // Returns the client's address and port, or an empty text if the connection is closed.
  std::string remote_address(ConnId id) const;

private:
  struct Conn;
  void accept_ready();
  void on_io(Conn &connection, int events);
  void drive(Conn &connection);
  void flush(Conn &connection);
  void close(ConnId id);
  void sweep();
  void make_room();

  Loop &loop_;
  Fd listener_;
  Fd spare_; // given up to accept and close a connection when descriptors have run out
  Options options_;
  Handler handler_;
  RejectionHandler on_rejected_;
  IoWatch accept_watch_;
  Timer sweep_timer_;
  ConnId next_id_ = 1;
  std::unordered_map<ConnId, std::unique_ptr<Conn>> conns_;
  std::vector<std::unique_ptr<Conn>> graveyard_;
};

} // namespace loftrouter::net
