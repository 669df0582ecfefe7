// The size of the fleet: what to rent, what to return, and what the cloud's list of machines says.
//
// Owns the budget of calls to the cloud, with its parts the calls under way; used by the core's thread alone.
// Invariants: no call is made beyond the cloud's limit, a request that is repeated has the same name, and a machine
// counts as gone only when the cloud has said so (ran_twice).
#pragma once

#include <string>
#include <vector>

#include "loftrouter/core/autoscaling/autoscaling_context.hpp"
#include "loftrouter/core/autoscaling/capacity_planner.hpp"
#include "loftrouter/core/autoscaling/catalog_loader.hpp"
#include "loftrouter/core/autoscaling/scale_in.hpp"
#include "loftrouter/core/autoscaling/scale_out.hpp"
#include "loftrouter/core/runtime/token_bucket.hpp"

namespace loftrouter::core {

class Autoscaler {
public:
  explicit Autoscaler(const AutoscalingContext &context);
  // Its parts refer to one another.
  Autoscaler(const Autoscaler &) = delete;
  Autoscaler &operator=(const Autoscaler &) = delete;

  void tick();
  // Asks the cloud something, so that it is known whether it answers this node; seldom.
  void probe() { catalog_loader_.probe(); }
  // The cloud had none of this kind to give, lately.
  bool lacks_capacity(const MachineKind &kind) const { return scale_out_.lacks_capacity(kind); }
  std::vector<MachineKind> kinds_without_capacity() const { return scale_out_.kinds_without_capacity(); }
  void on(const TermStarted &);
  void on(const TermEnded &);

private:
  void list_machines(const std::string &from);
  void take_listed(const ListedMachine &listed);
  void scale();

  const AutoscalingContext context_;
  TokenBucket calls_;
  CatalogLoader catalog_loader_;
  ScaleIn scale_in_;
  ScaleOut scale_out_;
  CapacityPlanner planner_;
  bool listing_ = false; // a list is being read
  double next_list_ = 0; // monotonic
  double next_scale_ = 0;
  double listed_at_ = -1; // when the machines were first listed as a whole in this term; -1: not yet
};

} // namespace loftrouter::core
