// A stand-in for the state service, after the published protocol, on a loopback address: keys with revisions, guarded
// transactions, leases, watches, and the limits that the service enforces (requests and changes a second, value size,
// changes a transaction). Used by the scale run and by the daemon test.
//
// Single-threaded: everything runs on the loop that it is given.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "loftrouter/core/runtime/token_bucket.hpp"
#include "loftrouter/net/loop.hpp"
#include "loftrouter/net/server.hpp"
#include "loftrouter/wire/cbor.hpp"

namespace loftrouter::scale {

struct StateLimits {
  double requests_per_s = 1e6; // above: 429
  double changes_per_s = 1e6;  // above: 429; counted a put, also in transactions that fail
  double value_kb = 64;        // of a value as JSON; above: 400
  int transaction_changes = 64;
  double latency_s = 0; // added to each answer
};

class StateStandIn {
public:
  struct Counters {
    std::uint64_t requests = 0, changes = 0, refused_requests = 0, refused_changes = 0, too_large = 0;
    std::uint64_t bytes_in = 0, bytes_out = 0, keys = 0, value_bytes = 0;
  };

  // Throws std::runtime_error if the address cannot be listened on.
  StateStandIn(net::Loop &loop, const std::string &address, StateLimits limits);
  const Counters &counters() const { return counters_; }

private:
  using Json = nlohmann::json;
  struct Key {
    Json value;
    std::uint64_t mod_revision, lease;
    std::size_t bytes;
  };
  struct Lease {
    double ttl_s, ends;
  };
  struct Watch {
    net::ConnId connection;
    std::string prefix;
    std::uint64_t from;
    double until;
  };
  struct Change {
    std::uint64_t revision;
    std::string key;
    Json event;
  };
  struct Answer {
    double due;
    net::ConnId connection;
    int status;
    std::string body;
  };

  void on_request(net::ConnId id, const net::HttpMessage &m);
  void list(net::ConnId id, const std::string &target);
  void get(net::ConnId id, const std::string &key);
  void commit(net::ConnId id, const Json &body);
  void follow(net::ConnId id, const std::string &target);
  void lease(net::ConnId id, const std::string &method, const std::string &path, const Json &body);
  void set(const std::string &key, const Json *value, std::uint64_t lease);
  void end_lease(std::uint64_t id);
  void serve_watches();
  void tick();
  void answer(net::ConnId id, int status, const Json &body);
  void send_due();

  net::Loop &loop_;
  const StateLimits limits_;
  std::unique_ptr<net::HttpServer> server_;
  net::Timer tick_, send_;
  std::deque<Answer> answers_;
  std::map<std::string, Key> keys_;
  std::map<std::uint64_t, Lease> leases_;
  std::deque<Change> history_;
  std::vector<Watch> watches_;
  std::uint64_t revision_ = 1, next_lease_ = 0;
  core::TokenBucket requests_, changes_;
  Counters counters_;
};

} // namespace loftrouter::scale
