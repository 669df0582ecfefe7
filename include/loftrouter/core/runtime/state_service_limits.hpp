// This node's part of what the state service allows all nodes together: reads and writes for users, and the leader's
// own writes. (The leader's lease is outside of it.)
//
// Owns the three budgets. Siblings say how much they use; a node may use what they leave of the users' share, and its
// equal part at any time. A sibling that is not heard may be using its part. The leader's own records have what
// users leave, and a part in any case. Bursts may add up to a little more than one second's worth: what the state
// service refuses by rate is retried.
#pragma once

#include <optional>
#include <vector>

#include "loftrouter/core/runtime/util.hpp"
#include "loftrouter/model/settings.hpp"
#include "loftrouter/wire/cbor.hpp"

namespace loftrouter::core {

class StateServiceLimits {
public:
  struct Use { // a second
    double reads = 0, writes = 0;
  };
  explicit StateServiceLimits(const Settings &settings);

  bool take_read(double now, double amount = 1) { return reads_.take(now, amount); }
  bool take_write(double now) { return writes_.take(now); }
  double leader_writes(double now) { return leader_writes_.level(now); }
  void take_leader_writes(double now, double amount) { leader_writes_.take(now, amount); }

  // Whether a record may be written, now and after the limits fall, with so many characters to spare.
  static constexpr std::size_t kRoomForMark = 64; // of a new open record: it may have to be marked as cancelled
  bool fits(const wire::Json &value, std::size_t spare = 0) const;

  // Own use for users, smoothed.
  const Use &use() const { return use_; }
  // The state service has refused something by rate. Three times that within seconds, while nodes have kept to what is
  // in force, says that its limits have fallen to those announced: from then on those are kept to. True: just now.
  bool refused(double now);

  // Every `dt_s`: shares out anew. One entry a sibling; nothing for one that is not heard.
  void share(double now, double dt_s, const std::vector<std::optional<Use>> &replicas);

private:
  void share_evenly(double now);
  const Settings &settings_;
  double rps_, write_rps_; // in force, as far as known
  std::vector<double> refused_at_;
  TokenBucket reads_, writes_, leader_writes_;
  Use use_, taken_; // the latter: in all, when last looked at
};

} // namespace loftrouter::core
