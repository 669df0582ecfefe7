// This replica's part of what the state service allows all replicas together: reads and writes for users, and the
// leader's own writes. (The leader's lease is outside of it.)
//
// Owns the three token buckets and the limits in force, as far as known. Replicas tell each other how much they use: a
// replica may use what the others leave of the users' share, and its equal part at any time; one that is not heard of
// may be using its part. The leader's own records get what users leave, and a part in any case. Bursts may add up to
// a little more than one second's worth: what the state service rejects by rate is retried. If the parts added up to
// more for long, the leader's writes would be rejected along with everything else.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "loftrouter/core/runtime/token_bucket.hpp"
#include "loftrouter/model/settings.hpp"
#include "loftrouter/wire/cbor.hpp"

namespace loftrouter::core {

class StateServiceLimits {
public:
  struct Usage {
    double reads_per_s = 0;
    double writes_per_s = 0;
  };

  // Room that a new open record leaves, in characters: it may have to be marked as cancelled.
  static constexpr std::size_t kCancellationMarkRoom = 64;

  explicit StateServiceLimits(const Settings &settings);

  // Takes a user's read or write, and returns whether there was room for it. `reads`: what it costs, on average.
  [[nodiscard]] bool take_read(double now, double reads = 1) { return reads_.take(now, reads); }
  [[nodiscard]] bool take_write(double now) { return writes_.take(now); }

  // How many writes of its own the leader may make now, and what it has made.
  [[nodiscard]] double leader_writes_available(double now) { return leader_writes_.level(now); }
  void take_leader_writes(double now, double writes) { leader_writes_.take(now, writes); }

  // Whether a record may be written, now and after the announced limits come into force, with so many characters to
  // spare.
  [[nodiscard]] bool fits(const wire::Json &value, std::size_t spare = 0) const;

  // This replica's own usage for users, smoothed.
  [[nodiscard]] const Usage &usage() const { return usage_; }

  // The state service has rejected a request by rate. If that happens repeatedly while replicas keep to the limits in
  // force, the limits have fallen to those announced, which are kept to from then on. Returns whether they just were.
  [[nodiscard]] bool request_rejected(double now);

  // Shares the limits out anew, `dt_s` seconds after the last time. `others`: the other replicas' usage; nothing for
  // one that is not heard of.
  void rebalance(double now, double dt_s, const std::vector<std::optional<Usage>> &others);

private:
  // Gives each replica its equal part.
  void share_evenly(double now);
  void measure_usage(double dt_s);

  const Settings &settings_;
  double requests_per_s_; // in force, as far as known
  double writes_per_s_;   // in force, as far as known
  std::vector<double> rejected_at_;
  TokenBucket reads_;
  TokenBucket writes_;
  TokenBucket leader_writes_;
  Usage usage_;
  double reads_measured_ = 0;  // taken in all when the usage was last measured
  double writes_measured_ = 0; // the same
};

} // namespace loftrouter::core
