#include "loftrouter/net/couriers.hpp"

#include <algorithm>

namespace loft::net {

namespace {
constexpr double kDeadline = 1.0, kSweepEvery = 0.25;
}

struct Couriers::Errand {
  Errand(Loop &loop, const Address &to) : client(loop, to, {1, 1, 256 * 1024}) {}
  HttpClient client;
  bool over = false;
};

Couriers::Couriers(Loop &loop) : loop_(loop), sweep_timer_(loop, [this] { sweep(); }) {
  sweep_timer_.once(kSweepEvery);
}
Couriers::~Couriers() = default;

void Couriers::post(const Address &to, std::string_view target, std::string_view body) {
  if (errands_.size() >= kMost) return;
  errands_.push_back(std::make_unique<Errand>(loop_, to));
  Errand *e = errands_.back().get();
  e->client.request("POST", target, body, kDeadline, [e](int, std::string &&) { e->over = true; });
}

// Not from within an answer: the client that brings it is destroyed here.
void Couriers::sweep() {
  std::erase_if(errands_, [](const auto &e) { return e->over; });
  sweep_timer_.once(kSweepEvery);
}

} // namespace loft::net
