// Rents machines: scale out.
//
// Owns the requests to the cloud that are not answered yet, and which kinds it had none of lately. A request that is
// repeated has the same name, and no two leaders share one, so nothing is rented twice.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "loftrouter/core/autoscaling/autoscaling_context.hpp"
#include "loftrouter/core/runtime/token_bucket.hpp"

namespace loftrouter::core {

struct CapacityRequest { // for machines of one kind
  MachineKind kind;
  int machines = 0;
  int jobs = 0;
  JobIndex first_job; // that wants them
};

class ScaleOut {
public:
  // `calls`: the budget of calls to the cloud.
  ScaleOut(const AutoscalingContext &context, TokenBucket &calls) : context_(context), calls_(calls) {}

  // As far as the budget goes; the rest is asked for again when it is still wanted.
  void request(const CapacityRequest &wanted);
  // The cloud had none of this kind to give, lately.
  bool lacks_capacity(const MachineKind &kind) const;
  std::vector<MachineKind> kinds_without_capacity() const;
  // Machines asked for and not answered yet.
  const std::map<MachineKind, int> &in_flight() const { return in_flight_; }
  bool in_flight(const MachineKind &kind) const;
  void on(const TermEnded &) { in_flight_.clear(); }

private:
  void send(const CloudScaleOut &call, const MachineKind &kind, int tries);
  void finish(const CloudScaleOut &call, const MachineKind &kind, const wire::CloudReply &reply);

  const AutoscalingContext &context_;
  TokenBucket &calls_;
  std::uint64_t requests_ = 0;
  std::map<MachineKind, int> in_flight_;
  std::map<MachineKind, double> no_capacity_until_; // monotonic
};

} // namespace loftrouter::core
