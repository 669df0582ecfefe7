// Client of the cloud's API.
#pragma once

#include <functional>

#include "loftrouter/core/runtime/effects.hpp"
#include "loftrouter/net/client.hpp"

namespace loftrouter::cloud {

class CloudClient {
public:
  using Done = std::function<void(core::OpId, wire::CloudReply &&)>;
  CloudClient(net::Loop &loop, net::Address address, Done done);
  void send(const core::CloudOp &op);

private:
  net::HttpClient http_;
  Done done_;
};

} // namespace loftrouter::cloud
