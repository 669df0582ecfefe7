// Requests machines from the cloud. A retried request keeps its name, and names contain the leader's term, so no
// request is fulfilled twice.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "loftrouter/core/autoscaling/autoscaling_context.hpp"
#include "loftrouter/core/runtime/token_bucket.hpp"

namespace loftrouter::core {

struct CapacityRequest {
  MachineKind kind;
  int machines = 0;
  int jobs = 0;       // that the machines are for
  JobIndex first_job; // the one with the highest priority
};

class ScaleOut {
public:
  ScaleOut(const AutoscalingContext &context, TokenBucket &call_limiter)
      : context_(context), call_limiter_(call_limiter) {}

  // Requests as many machines as the rate limit allows; the next plan repeats the rest.
  void request(const CapacityRequest &wanted);
  // Returns whether the cloud recently reported no capacity for this kind of machine.
  bool lacks_capacity(const MachineKind &kind) const;
  std::vector<MachineKind> kinds_without_capacity() const;
  // Returns the number of machines in requests that the cloud hasn't answered yet.
  const std::map<MachineKind, int> &in_flight() const { return in_flight_; }
  bool in_flight(const MachineKind &kind) const;
  void on(const TermEnded &) { in_flight_.clear(); }

private:
  void send(const CloudScaleOut &call, const MachineKind &kind, int attempts_left);
  void finish(const CloudScaleOut &call, const MachineKind &kind, const wire::CloudReply &reply);

  const AutoscalingContext &context_;
  TokenBucket &call_limiter_;
  std::uint64_t last_request_number_ = 0;
  std::map<MachineKind, int> in_flight_;
  std::map<MachineKind, double> no_capacity_until_; // monotonic
};

} // namespace loftrouter::core
