#include "loftrouter/core/heartbeats/heartbeat_load_balancer.hpp"

namespace loftrouter::core {

namespace {
constexpr double kSmoothing = 0.2;          // weight of the newest rate
constexpr double kReclaimBelow = 0.6;       // of the limits, before workers are taken back from the other replicas
constexpr double kRedirectsPerSecond = 0.2; // of the limit of direct heartbeats
constexpr double kMinRedirectsPerSecond = 1.0;
} // namespace

void HeartbeatLoadBalancer::begin_term(bool forwarding_wanted) {
  *this = HeartbeatLoadBalancer(limits_);
  forwarding_wanted_ = forwarding_wanted;
}

void HeartbeatLoadBalancer::update(double now, double dt_s, std::size_t workers) {
  direct_rate_ += kSmoothing * (static_cast<double>(direct_) / dt_s - direct_rate_);
  total_rate_ += kSmoothing * (static_cast<double>(direct_ + forwarded_) / dt_s - total_rate_);
  direct_ = 0;
  forwarded_ = 0;
  overloaded_ = direct_rate_ > limits_.direct_per_s || workers > limits_.connections;
  const bool room_for_all = total_rate_ < kReclaimBelow * limits_.direct_per_s &&
                            static_cast<double>(workers) < kReclaimBelow * static_cast<double>(limits_.connections);
  if (overloaded_ || now < wanted_until_)
    forwarding_wanted_ = true;
  else if (room_for_all)
    forwarding_wanted_ = false;
  redirects_.set_rate(now, std::max(kMinRedirectsPerSecond, kRedirectsPerSecond * limits_.direct_per_s));
}

} // namespace loftrouter::core
