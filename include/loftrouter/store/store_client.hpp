// Client of the state service: turns the core's operations into requests, and answers into its replies.
//
// Belongs to the thread of its loop, and calls back from there, once for each operation. The loop has to outlive it.
#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "loftrouter/core/runtime/effects.hpp"
#include "loftrouter/net/client.hpp"
#include "loftrouter/net/reply_observer.hpp"

namespace loftrouter::store {

class StoreClient {
public:
  using Done = std::function<void(core::OpId, wire::StoreReply &&)>;
  // The observer must outlive the client.
  StoreClient(net::Loop &loop, net::Address address, net::ReplyObserver &observer, Done done);

  // Sends a request. Its reply has status 0 if there is no answer by the operation's deadline.
  void send(const core::StoreOp &operation);

private:
  void request(net::HttpClient &client, const core::StoreOp &operation, std::string_view method,
               const std::string &target, const std::string &body = "");

  // Connections of their own, so that a queue of requests delays no renewal, and a watch that waits holds up nothing:
  // a lease that is renewed too late costs the leadership.
  net::HttpClient requests_;
  net::HttpClient leases_;
  net::HttpClient watches_;
  net::ReplyObserver &observer_;
  Done done_;
};

} // namespace loftrouter::store
