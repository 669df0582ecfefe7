// Divides the state service's rate limits among the replicas: reads and writes for user requests, and the leader's own
// writes. Renewals of the leader's lease are not counted.
//
// Owns three token buckets and the limits that are believed to be in force. Replicas exchange their usage. Each replica
// may always use an equal share of the rate for users, and beyond it what the others leave unused; a replica without a
// recent report counts as using its whole share. The leader's writes get a reserved rate and what users leave unused.
// If the sum exceeded the limit for long, the state service would reject the leader's writes too; requests rejected in
// a short burst are retried.
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

  // Characters to keep free in a new open record, so that it can be marked as cancelled later.
  static constexpr std::size_t kCancellationMarkRoom = 64;

  explicit StateServiceLimits(const Settings &settings);

  // Takes tokens for a user's read or write and returns whether there were enough. `reads`: mean reads per request.
  [[nodiscard]] bool take_read(double now, double reads = 1) { return reads_.take(now, reads); }
  [[nodiscard]] bool take_write(double now) { return writes_.take(now); }

  // Returns how many writes the leader may make now; it then takes tokens for those that it makes.
  [[nodiscard]] double leader_writes_available(double now) { return leader_writes_.level(now); }
  void take_leader_writes(double now, double writes) { leader_writes_.take(now, writes); }

  // Returns whether a record and `spare` more characters fit the present and the announced size limit.
  [[nodiscard]] bool fits(const wire::Json &value, std::size_t spare = 0) const;

  // Smoothed rate of user requests at this replica.
  [[nodiscard]] const Usage &usage() const { return usage_; }

  // Records that the state service has rejected a request by rate. After repeated rejections the announced lower limits
  // are taken to be in force. Returns whether this call has lowered the limits.
  [[nodiscard]] bool request_rejected(double now);

  // Redistributes the rates, `dt_s` seconds after the last call. `others`: usage of the other replicas; nothing for
  // one without a recent report.
  void rebalance(double now, double dt_s, const std::vector<std::optional<Usage>> &others);

private:
  void share_evenly(double now);
  void measure_usage(double dt_s);

  const Settings &settings_;
  double requests_per_s_; // believed to be in force
  double writes_per_s_;   // believed to be in force
  std::vector<double> rejected_at_;
  TokenBucket reads_;
  TokenBucket writes_;
  TokenBucket leader_writes_;
  Usage usage_;
  double reads_measured_ = 0;  // total at the last measurement
  double writes_measured_ = 0; // total at the last measurement
};

} // namespace loftrouter::core
