// One-off requests to many addresses, each on a connection of its own: what the next answer to a worker would say
// anyway, said sooner. Bounded: what does not fit is dropped.
#pragma once

#include <memory>
#include <string_view>
#include <vector>

#include "loftrouter/net/client.hpp"

namespace loftrouter::net {

class OutboundRequestPool {
public:
  static constexpr std::size_t kMax = 32; // connections at a time

  explicit OutboundRequestPool(Loop &loop);
  ~OutboundRequestPool();
  void post(const Address &address, std::string_view target, std::string_view body);

private:
  struct OutboundRequest;
  void sweep();

  Loop &loop_;
  std::vector<std::unique_ptr<OutboundRequest>> requests_;
  Timer sweep_timer_;
};

} // namespace loftrouter::net
