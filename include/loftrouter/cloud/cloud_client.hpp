// Client of the cloud's API: turns the core's operations into requests, and answers into its replies.
//
// Belongs to the thread of its loop, and calls back from there, once for each operation. The loop has to outlive it.
#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "loftrouter/core/runtime/effects.hpp"
#include "loftrouter/net/client.hpp"
#include "loftrouter/net/reply_observer.hpp"

namespace loftrouter::cloud {

class CloudClient {
public:
  using Done = std::function<void(core::OpId, wire::CloudReply &&)>;
  // The observer must outlive the client.
  CloudClient(net::Loop &loop, net::Address address, net::ReplyObserver &observer, Done done);

  // Sends a request. Its reply has status 0 if there is no answer by the operation's deadline.
  void send(const core::CloudOp &operation);

private:
  void request(const core::CloudOp &operation, wire::CloudCall call, std::string_view method, const std::string &target,
               const std::string &body = "");

  net::HttpClient http_;
  net::ReplyObserver &observer_;
  Done done_;
};

} // namespace loftrouter::cloud
