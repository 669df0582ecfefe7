#include "loftrouter/net/outbound_request_pool.hpp"

#include <algorithm>

namespace loftrouter::net {

namespace {
constexpr double kDeadline = 1.0, kSweepEvery = 0.25;
}

struct OutboundRequestPool::OutboundRequest {
  OutboundRequest(Loop &loop, const Address &address) : client(loop, address, {1, 1, 256 * 1024}) {}
  HttpClient client;
  bool over = false;
};

OutboundRequestPool::OutboundRequestPool(Loop &loop) : loop_(loop), sweep_timer_(loop, [this] { sweep(); }) {
  sweep_timer_.once(kSweepEvery);
}
OutboundRequestPool::~OutboundRequestPool() = default;

void OutboundRequestPool::post(const Address &address, std::string_view target, std::string_view body) {
  if (requests_.size() >= kMax) return;
  requests_.push_back(std::make_unique<OutboundRequest>(loop_, address));
  OutboundRequest *e = requests_.back().get();
  e->client.request("POST", target, body, kDeadline, [e](int, std::string &&) { e->over = true; });
}

// Not from within an answer: the client that brings it is destroyed here.
void OutboundRequestPool::sweep() {
  std::erase_if(requests_, [](const auto &e) { return e->over; });
  sweep_timer_.once(kSweepEvery);
}

} // namespace loftrouter::net
