// How a leader spreads workers over the replicas: whether the others are to forward heartbeats, and when workers are
// redirected to them.
//
// Owns the rates of heartbeats. Direct heartbeats are what is limited: they cost many times what forwarded ones cost. A
// replica that does not lead measures its rates too, for the status pages. Nothing but load rests on the decisions.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>

#include "loftrouter/core/runtime/token_bucket.hpp"

namespace loftrouter::core {

// Times are monotonic, in seconds.
class HeartbeatLoadBalancer {
public:
  struct Limits {
    double direct_per_s = 0;     // heartbeats that this replica takes itself
    std::size_t connections = 0; // of workers
  };
  explicit HeartbeatLoadBalancer(Limits limits) : limits_(limits) {}

  // Starts a term. `forwarding_wanted`: as the last leader had it.
  void begin_term(bool forwarding_wanted);

  void count_direct() { ++direct_; }
  void count_forwarded() { ++forwarded_; }

  // Until then, forwarding is wanted whatever the load: some workers do not reach this replica, and may reach another.
  void want_forwarding_until(double until) { wanted_until_ = std::max(wanted_until_, until); }

  // Measures the rates, `dt_s` seconds after the last time. `workers`: that send their heartbeats straight here.
  void update(double now, double dt_s, std::size_t workers);

  // Whether the other replicas are to forward heartbeats.
  [[nodiscard]] bool forwarding_wanted() const { return forwarding_wanted_; }

  // Whether a worker may be redirected now. Only some a second are, so that the other replicas and the measured rates
  // keep up.
  [[nodiscard]] bool may_redirect(double now) {
    return forwarding_wanted_ && overloaded_ && redirects_.level(now) >= 1;
  }
  void count_redirect(double now) { redirects_.take(now); }

  [[nodiscard]] const Limits &limits() const { return limits_; }
  // Heartbeats per second, smoothed.
  [[nodiscard]] double direct_rate() const { return direct_rate_; }
  [[nodiscard]] double forwarded_rate() const { return total_rate_ - direct_rate_; }

private:
  Limits limits_;
  std::uint64_t direct_ = 0;    // since the last update
  std::uint64_t forwarded_ = 0; // since the last update
  double direct_rate_ = 0;
  double total_rate_ = 0;
  bool forwarding_wanted_ = false;
  bool overloaded_ = false;
  double wanted_until_ = -1e9;
  TokenBucket redirects_{1, 1};
};

} // namespace loftrouter::core
