// A stand-in for the cloud's API, after the published protocol: machine types, rentals by request name, returns, and a
// list that lags. Which machines there are is the owner's affair: it hands out those that it is given as spare. Used by
// the scale run and by the daemon test.
//
// Single-threaded: everything runs on the loop that it is given.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "loftrouter/core/runtime/token_bucket.hpp"
#include "loftrouter/model/types.hpp"
#include "loftrouter/net/loop.hpp"
#include "loftrouter/net/server.hpp"
#include "loftrouter/wire/cbor.hpp"

namespace loftrouter::scale {

struct CloudLimits {
  double requests_per_s = 1e6; // above: 429, with bursts of two seconds' worth
  double list_lag_s = 0;
};

class CloudStandIn {
public:
  struct Machine {
    std::string name, address, type, zone;
  };
  struct Counters {
    std::uint64_t requests = 0, refused = 0, rented = 0, returned = 0;
  };
  // Told when a machine that was rented has booted, and when one is returned.
  using Told = std::function<void(const std::string &machine, bool up)>;

  // Throws std::runtime_error if the address cannot be listened on.
  CloudStandIn(net::Loop &loop, const std::string &address, CloudLimits limits, std::vector<MachineType> types,
               Told told);
  void add_running(const Machine &m);
  void add_spare(const Machine &m) { spare_[{m.type, m.zone}].push_back(m); }
  void fail(const std::string &name); // it has stopped by itself: listed as failed half a minute later
  const Counters &counters() const { return counters_; }

private:
  using Json = nlohmann::json;
  struct Rented {
    Machine machine;
    double since;
    double up_at;
    double failed_at = 0; // 0: it has not
  };

  void on_request(net::ConnId id, const net::HttpMessage &m);
  void answer(net::ConnId id, int status, const Json &body);
  Json types_json() const;
  Json list(const std::string &target) const;
  void rent(net::ConnId id, const Json &body);
  void give_back(const Json &body);
  void tick();

  net::Loop &loop_;
  const CloudLimits limits_;
  const std::vector<MachineType> types_;
  Told told_;
  std::unique_ptr<net::HttpServer> server_;
  net::Timer tick_;
  std::map<std::pair<std::string, std::string>, std::vector<Machine>> spare_; // by type and zone
  std::map<std::string, Rented> rented_;
  std::map<std::string, Json> answered_; // by request name
  std::vector<std::string> booting_;
  core::TokenBucket requests_;
  Counters counters_;
};

} // namespace loftrouter::scale
