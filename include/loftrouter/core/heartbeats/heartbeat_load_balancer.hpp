// Balances worker connections over the replicas: decides whether followers should forward heartbeats, and when the
// leader redirects workers to them.
//
// Owns the measured heartbeat rates. Only direct heartbeats are limited, because a forwarded one costs a small fraction
// of a direct one. Followers measure their rates too, for the status pages. Safety does not depend on the decisions.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>

#include "loftrouter/core/runtime/token_bucket.hpp"

namespace loftrouter::core {

// Times are monotonic, s.
class HeartbeatLoadBalancer {
public:
  struct Limits {
    double direct_per_s = 0;     // direct heartbeats
    std::size_t connections = 0; // worker connections
  };
  explicit HeartbeatLoadBalancer(Limits limits) : limits_(limits) {}

  // Resets the balancer for a new term. `forwarding_wanted` is the last leader's decision.
  void begin_term(bool forwarding_wanted);

  void count_direct() { ++direct_count_; }
  void count_forwarded() { ++forwarded_count_; }

  // Keeps forwarding enabled until this time, whatever the load, for workers that can only reach other replicas.
  void want_forwarding_until(double until) { forwarding_wanted_until_ = std::max(forwarding_wanted_until_, until); }

  // Measures the rates, `elapsed_s` seconds after the last update. `workers` counts those that send heartbeats
  // directly.
  void update(double now, double elapsed_s, std::size_t workers);

  // Whether followers should forward heartbeats.
  [[nodiscard]] bool forwarding_wanted() const { return forwarding_wanted_; }

  // Whether a worker may be redirected now. Redirects are rate-limited, so that the measured rates can follow.
  [[nodiscard]] bool may_redirect(double now) {
    return forwarding_wanted_ && overloaded_ && redirect_budget_.level(now) >= 1;
  }
  void count_redirect(double now) { redirect_budget_.take(now); }

  [[nodiscard]] const Limits &limits() const { return limits_; }
  // Heartbeats per second, smoothed.
  [[nodiscard]] double direct_rate() const { return direct_rate_; }
  [[nodiscard]] double forwarded_rate() const { return total_rate_ - direct_rate_; }

private:
  Limits limits_;
  std::uint64_t direct_count_ = 0;    // since the last update
  std::uint64_t forwarded_count_ = 0; // since the last update
  double direct_rate_ = 0;
  double total_rate_ = 0;
  bool forwarding_wanted_ = false;
  bool overloaded_ = false; // a limit is exceeded
  double forwarding_wanted_until_ = -1e9;
  TokenBucket redirect_budget_{1, 1}; // the rate is set by `update`
};

} // namespace loftrouter::core
