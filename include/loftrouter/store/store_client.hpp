// Client of the state service: turns the core's operations into requests.
#pragma once

#include <functional>

#include "loftrouter/core/runtime/effects.hpp"
#include "loftrouter/net/client.hpp"

namespace loftrouter::store {

class StoreClient {
public:
  using Done = std::function<void(core::OpId, wire::StoreReply &&)>;
  StoreClient(net::Loop &loop, net::Address address, Done done);
  void send(const core::StoreOp &op);

private:
  net::HttpClient requests_;
  net::HttpClient leases_;  // of its own, so that no queue delays a renewal
  net::HttpClient follows_; // long waits hold up nothing else
  Done done_;
};

} // namespace loftrouter::store
