// Rate limiting with a token bucket. It reads no clock: the caller passes the time.
#pragma once

#include <algorithm>

namespace loftrouter::core {

// A token bucket: limits a rate and allows bursts of up to `burst` tokens. Times are seconds on the monotonic clock. A
// new bucket is full.
class TokenBucket {
public:
  TokenBucket() = default;
  TokenBucket(double rate_per_s, double burst) : rate_per_s_(rate_per_s), burst_(burst), level_(burst) {}

  // Returns the tokens available now.
  [[nodiscard]] double level(double now) {
    refill(now);
    return level_;
  }

  // Takes the tokens if there are enough and returns whether it did.
  bool take(double now, double tokens = 1) {
    refill(now);
    if (level_ < tokens) return false;
    level_ -= tokens;
    taken_ += tokens;
    return true;
  }

  // Changes the rate from now on and keeps the level.
  void set_rate(double now, double rate_per_s) {
    refill(now);
    rate_per_s_ = rate_per_s;
  }

  // Changes rate and burst. Caps the level at the new burst; a bucket that was never used is filled.
  void reset(double now, double rate_per_s, double burst) {
    if (used()) refill(now);
    level_ = used() ? std::min(level_, burst) : burst;
    rate_per_s_ = rate_per_s;
    burst_ = burst;
  }

  [[nodiscard]] double total_taken() const { return taken_; }

private:
  [[nodiscard]] bool used() const { return last_refill_at_ >= 0; }
  void refill(double now) {
    if (used()) level_ = std::min(burst_, level_ + std::max(0.0, now - last_refill_at_) * rate_per_s_);
    last_refill_at_ = now;
  }

  double rate_per_s_ = 1;
  double burst_ = 1;
  double level_ = 1;
  double last_refill_at_ = -1; // negative: never
  double taken_ = 0;
};

} // namespace loftrouter::core
