#include "loftrouter/core/heartbeats/heartbeat_load_balancer.hpp"

namespace loftrouter::core {

namespace {
constexpr double kSmoothing = 0.2;         // weight of the newest rate
constexpr double kReclaimThreshold = 0.6;  // share of the limits below which forwarding ends
constexpr double kRedirectRateShare = 0.2; // share of the limit of direct heartbeats
constexpr double kMinRedirectsPerSecond = 1.0;
} // namespace

void HeartbeatLoadBalancer::begin_term(bool forwarding_wanted) {
  *this = HeartbeatLoadBalancer(limits_);
  forwarding_wanted_ = forwarding_wanted;
}

void HeartbeatLoadBalancer::update(double now, double elapsed_s, std::size_t workers) {
  direct_rate_ += kSmoothing * (static_cast<double>(direct_count_) / elapsed_s - direct_rate_);
  total_rate_ += kSmoothing * (static_cast<double>(direct_count_ + forwarded_count_) / elapsed_s - total_rate_);
  direct_count_ = 0;
  forwarded_count_ = 0;
  overloaded_ = direct_rate_ > limits_.direct_per_s || workers > limits_.connections;
  const bool underloaded = total_rate_ < kReclaimThreshold * limits_.direct_per_s &&
                           static_cast<double>(workers) < kReclaimThreshold * static_cast<double>(limits_.connections);
  if (overloaded_ || now < forwarding_wanted_until_)
    forwarding_wanted_ = true;
  else if (underloaded)
    forwarding_wanted_ = false;
  redirect_budget_.set_rate(now, std::max(kMinRedirectsPerSecond, kRedirectRateShare * limits_.direct_per_s));
}

} // namespace loftrouter::core
