// HTTP client for one fixed address: a bounded pool of kept-alive connections, a bounded queue,
// and a deadline on every request, after which the connection is closed.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <vector>

#include "loftrouter/net/http.hpp"
#include "loftrouter/net/loop.hpp"

namespace loftrouter::net {

class HttpClient {
public:
  struct Options {
    std::size_t max_connections = 8;
    std::size_t max_queued = 256;
    std::size_t max_response = 4 * 1024 * 1024;
  };
  // Callbacks must not call `request` themselves: they hand the answer to the owner's queue.
  // status 0: no response; the request may have been carried out, or may yet be.
  using Callback = std::function<void(int status, std::string &&body)>;

  HttpClient(Loop &loop, Address address, Options options);
  ~HttpClient();

  void request(std::string_view method, std::string_view target, std::string_view body, double deadline_s,
               Callback done);

private:
  struct Conn;
  struct Pending {
    std::string wire;
    double deadline;
    Callback done;
  };
  void start(Conn &connection, Pending p);
  void pump();
  void on_io(Conn &connection, int events);
  void finish(Conn &connection, int status, std::string body, bool reuse);
  void sweep();

  Loop &loop_;
  Address address_;
  Options options_;
  std::vector<std::unique_ptr<Conn>> conns_;
  std::deque<Pending> queue_;
  Timer sweep_timer_;
};

} // namespace loftrouter::net
